//! What goes into and comes out of [`crate::Sites`] beside messages: operators' orders, restrictions and
//! outputs.

use crate::message::SitesMessage;
use crate::record::SiteRecord;
use serde::{Deserialize, Serialize};
use shalespindle_peers::FrontId;

/// An operator's order on a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Treat the site as lost, whatever the fronts observe.
    Lost,
    /// No front sends anything new to the site, its own fronts included.
    KeepOut,
    /// Let the site return step by step.
    Return,
}

/// What this front must not do, by the fleet's findings. Restrictions only take away: a front never uses a
/// server that it would not use without them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Restrictions {
    /// Indexes of the sites whose servers this front does not use, each with true if an operator's order
    /// excludes the site even where no other server is left.
    pub excluded: Vec<(usize, bool)>,
    /// Attaches per second that this front admits, by procedure; `None`: unlimited. Empty: no plan is in
    /// force.
    pub rate_limits: Vec<Option<f64>>,
    /// Share of each tenant's attaches that is admitted ahead of the others'.
    pub floor: f64,
}

/// What the host must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        to: FrontId,
        message: SitesMessage,
    },
    /// Apply these restrictions in place of the former ones.
    Restrict(Restrictions),
    /// For the log: the record of a site changed. `missed` of `outside` fronts voted that they miss the site;
    /// both are 0 if the change was not decided by votes.
    RecordChanged {
        site: usize,
        from: SiteRecord,
        to: SiteRecord,
        missed: usize,
        outside: usize,
    },
    /// For the log: this front no longer receives heartbeats from a majority of the fleet (true), or does
    /// again (false).
    CutOff(bool),
}
