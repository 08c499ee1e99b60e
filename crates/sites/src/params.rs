//! Parameters of the module.

use ipnet::IpNet;
use shalespindle_peers::FrontId;

/// A site as configured.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSpec {
    pub name: String,
    pub fronts: Vec<FrontId>,
    /// Pool numbers of its servers.
    pub pools: Vec<u16>,
    /// Networks of its servers' addresses, for servers whose pool number is in no site.
    pub networks: Vec<IpNet>,
    /// Set-ups per second that its warm servers can take together; `None`: estimated once they have been
    /// busy.
    pub capacity: Option<f64>,
}

/// A procedure, with what determines the order of refusals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcedureClass {
    pub utility: f64,
    /// Fraction of the utility that is left past the latency target: what a refused attach still earns when
    /// retried.
    pub late_share: f64,
    /// Processor time of one set-up, relative to the other procedures.
    pub work: f64,
    /// Whether callers retry a refused attach.
    pub repeatable: bool,
}

impl ProcedureClass {
    /// The utility lost by refusing one attach, per unit of processor time saved.
    pub fn refusal_cost(&self) -> f64 {
        let retained = if self.repeatable { self.late_share.clamp(0.0, 1.0) } else { 0.0 };
        self.utility * (1.0 - retained) / self.work
    }
}

/// Parameters of [`crate::Sites`]. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct SitesParams {
    pub classes: Vec<ProcedureClass>,
    /// Time between two observations of this front.
    pub observation_interval: f64,
    /// Age up to which an observation counts.
    pub observation_lifetime: f64,
    /// Time for which a majority must miss a site before it is declared lost.
    pub lost_after: f64,
    /// Time for which a majority must reach a lost site before it returns; doubled with each further loss.
    pub return_after: f64,
    /// Upper bound of the doubled `return_after`.
    pub max_return_after: f64,
    /// The losses of a site are forgotten once it has been up for this long.
    pub forget_after: f64,
    /// Minimum duration of each step of a return.
    pub min_step_duration: f64,
    /// Fractions of the fronts outside a returning site that may use it, step by step; its own fronts always
    /// may.
    pub return_steps: Vec<f64>,
    /// Servers that report this wait or more count as busy.
    pub busy_wait: f64,
    /// Fraction of the capacity that the plan uses; the rest covers load that observations do not show.
    pub capacity_margin: f64,
    /// Minimum share of each procedure's and each tenant's demand that the plan admits.
    pub floor: f64,
    /// Whether the plan refuses attaches while the remaining servers are busy; otherwise only the router's
    /// own limits do.
    pub enforce_plan: bool,
    /// Maximum duration of an operator's order.
    pub max_order_duration: f64,
}

impl SitesParams {
    /// Returns parameters derived from the interval between heartbeats alone.
    pub fn from_heartbeat_interval(interval: f64, classes: Vec<ProcedureClass>) -> SitesParams {
        SitesParams {
            classes,
            observation_interval: 2.0 * interval,
            observation_lifetime: 12.0 * interval,
            lost_after: 4.0 * interval,
            return_after: 10.0 * interval,
            max_return_after: 600.0 * interval,
            forget_after: 1200.0 * interval,
            min_step_duration: 10.0 * interval,
            return_steps: vec![0.0, 0.125, 0.25, 0.5, 1.0],
            busy_wait: 0.3,
            capacity_margin: 0.95,
            floor: 0.5,
            enforce_plan: true,
            max_order_duration: 86_400.0,
        }
    }
}
