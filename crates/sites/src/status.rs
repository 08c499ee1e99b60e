//! The status of all sites for operators. It is sent to them as JSON; serde attributes keep its keys.

use crate::record::Stage;
use crate::sites::Sites;
use serde::{Deserialize, Serialize};
use shalespindle_peers::{FrontId, Peers, State};

/// The state of a site as evaluated by this front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SiteState {
    Up,
    /// Some fronts outside the site miss it, but not a majority.
    Doubtful,
    /// This front receives heartbeats from too few others to evaluate the site.
    CutOff,
    Lost,
    KeptOut,
    Returning,
}

impl SiteState {
    /// Returns the state as it is shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            SiteState::Up => "up",
            SiteState::Doubtful => "doubtful",
            SiteState::CutOff => "cut off",
            SiteState::Lost => "lost",
            SiteState::KeptOut => "kept out",
            SiteState::Returning => "returning",
        }
    }
}

/// The status of one site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteStatus {
    pub name: String,
    #[serde(rename = "verdict")]
    pub state: SiteState,
    pub epoch: u64,
    pub stage: Stage,
    /// Seconds since the site's record was written.
    #[serde(rename = "since")]
    pub stage_age: f64,
    /// Seconds for which an operator's order still holds the record.
    pub held_for: Option<f64>,
    /// Number of recent losses.
    pub losses: u8,
    /// Number of the site's fronts.
    pub fronts: usize,
    /// Number of these whose heartbeats this front receives.
    #[serde(rename = "fronts_heard")]
    pub fronts_alive: usize,
    /// Number of fronts outside the site.
    pub outside: usize,
    /// Number of these that reach none of its servers.
    pub missed: usize,
    /// Number of these that reach some of its servers.
    pub reached: usize,
    /// Set-ups established there per second.
    #[serde(rename = "stood")]
    pub established: f64,
    /// Estimated capacity in set-ups per second; `None`: unknown.
    #[serde(rename = "bears")]
    pub capacity: Option<f64>,
    /// Its servers report waits that count as busy.
    pub busy: bool,
    /// This front does not use the site's servers now.
    #[serde(rename = "out_here")]
    pub excluded_here: bool,
    /// Set-ups per second that the other sites would have to take if this one were lost now.
    #[serde(rename = "if_lost_needs")]
    pub required_if_lost: f64,
    /// Set-ups per second that the other sites could take then; `None`: unknown.
    #[serde(rename = "if_lost_bears")]
    pub capacity_if_lost: Option<f64>,
}

/// The status of all sites.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SitesStatus {
    pub sites: Vec<SiteStatus>,
    /// This front does not receive heartbeats from a majority of the fleet.
    pub cut_off: bool,
    /// Number of fronts with a fresh observation.
    #[serde(rename = "sights")]
    pub observations: usize,
    /// Number of all listed fronts.
    pub fleet: usize,
    /// Admitted shares of the demand, by procedure; empty: everything is admitted.
    pub shares: Vec<f64>,
    /// Number of messages from fronts with another table of sites.
    pub other_tables: u64,
    /// Number of invalid messages.
    #[serde(rename = "bad")]
    pub invalid_messages: u64,
}

impl Sites {
    pub fn status(&self, now: f64, peers: &Peers) -> SitesStatus {
        let fleet: Vec<FrontId> = peers.all_fronts().collect();
        let demand = self.demand(now, peers, &fleet);
        let required: f64 = demand
            .total_by_class(self.params.classes.len())
            .iter()
            .zip(&self.params.classes)
            .map(|(d, c)| d * c.work)
            .sum();
        let status_of = |site: usize| {
            let (spec, record, capacity) = (self.table.site(site), self.records[site], self.capacities[site]);
            let votes = self.votes(now, site, peers, &fleet);
            let is_alive = |f: &&FrontId| **f == self.own || peers.state(**f) == Some(State::Alive);
            let state = match record.stage {
                Stage::KeptOut => SiteState::KeptOut,
                _ if self.cut_off.is_some() => SiteState::CutOff,
                Stage::Lost => SiteState::Lost,
                Stage::Returning { .. } => SiteState::Returning,
                Stage::Up if votes.is_doubtful() => SiteState::Doubtful,
                Stage::Up => SiteState::Up,
            };
            SiteStatus {
                name: spec.name.clone(),
                state,
                epoch: record.epoch,
                stage: record.stage,
                stage_age: now - record.since,
                held_for: record.held_until.map(|until| until - now).filter(|left| *left > 0.0),
                losses: record.losses,
                fronts: spec.fronts.len(),
                fronts_alive: spec.fronts.iter().filter(is_alive).count(),
                outside: votes.outside,
                missed: votes.missed,
                reached: votes.reached,
                established: capacity.established,
                capacity: capacity.capacity,
                busy: capacity.busy,
                excluded_here: self.restrictions().excluded.iter().any(|(s, _)| *s == site),
                required_if_lost: required,
                capacity_if_lost: self.capacity(&fleet, |s| s == site),
            }
        };
        SitesStatus {
            sites: (0..self.table.len()).map(status_of).collect(),
            cut_off: self.cut_off.is_some(),
            observations: demand.known.len(),
            fleet: fleet.len(),
            shares: if self.admission_plan.refuses() {
                self.admission_plan.shares.clone()
            } else {
                Vec::new()
            },
            other_tables: self.other_tables,
            invalid_messages: self.invalid_messages,
        }
    }
}
