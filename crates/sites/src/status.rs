//! How the sites stand, for operators.

use crate::record::Stage;
use crate::sites::Sites;
use serde::{Deserialize, Serialize};
use shalespindle_peers::{FrontId, Peers, State};

/// A site's state as this front judges it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SiteState {
    Up,
    /// Some fronts outside it miss it, not most.
    Doubtful,
    /// This front hears too few others to judge by.
    CutOff,
    Lost,
    KeptOut,
    Returning,
}

impl SiteState {
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

/// One site.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteStatus {
    pub name: String,
    #[serde(rename = "verdict")]
    pub state: SiteState,
    pub epoch: u64,
    pub stage: Stage,
    /// Seconds since that record was written.
    #[serde(rename = "since")]
    pub stage_age: f64,
    /// Seconds for which an operator holds it.
    pub held_for: Option<f64>,
    pub losses: u8,
    /// Its fronts on the list, and those that are heard.
    pub fronts: usize,
    #[serde(rename = "fronts_heard")]
    pub fronts_alive: usize,
    /// Fronts outside it, those that miss its servers, those that reach some.
    pub outside: usize,
    pub missed: usize,
    pub reached: usize,
    /// Set-ups a second that stand there, and that it is believed to bear.
    #[serde(rename = "stood")]
    pub established: f64,
    #[serde(rename = "bears")]
    pub capacity: Option<f64>,
    pub busy: bool,
    /// Its servers are not used by this front now.
    #[serde(rename = "out_here")]
    pub excluded_here: bool,
    /// Were it lost now: set-ups a second that would be needed and borne by the others.
    #[serde(rename = "if_lost_needs")]
    pub required_if_lost: f64,
    #[serde(rename = "if_lost_bears")]
    pub capacity_if_lost: Option<f64>,
}

/// All sites.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SitesStatus {
    pub sites: Vec<SiteStatus>,
    pub cut_off: bool,
    /// Fronts whose observations count, of all on the list.
    #[serde(rename = "sights")]
    pub observations: usize,
    pub fleet: usize,
    /// Shares of what is requested that are taken now, by procedure; empty: all.
    pub shares: Vec<f64>,
    /// Messages of another table of sites, and those of bad form.
    pub other_tables: u64,
    #[serde(rename = "bad")]
    pub invalid_messages: u64,
}

impl Sites {
    pub fn status(&self, now: f64, peers: &Peers) -> SitesStatus {
        let fleet: Vec<FrontId> = peers.fleet().collect();
        let demand = self.demand(now, peers, &fleet);
        let required: f64 = demand
            .total_by_class(self.params.classes.len())
            .iter()
            .zip(&self.params.classes)
            .map(|(d, c)| d * c.work)
            .sum();
        let one = |site: usize| {
            let (spec, record, held) = (self.table.site(site), self.records[site], self.held[site]);
            let votes = self.votes(now, site, peers, &fleet);
            let alive = |f: &&FrontId| **f == self.own || peers.state(**f) == Some(State::Alive);
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
                fronts_alive: spec.fronts.iter().filter(alive).count(),
                outside: votes.outside,
                missed: votes.missed,
                reached: votes.reached,
                established: held.established,
                capacity: held.capacity,
                busy: held.busy,
                excluded_here: self.restrictions().excluded.iter().any(|(s, _)| *s == site),
                required_if_lost: required,
                capacity_if_lost: self.capacity(&fleet, |s| s == site),
            }
        };
        SitesStatus {
            sites: (0..self.table.len()).map(one).collect(),
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
