//! What each front sees: hints, by their age.

use serde::{Deserialize, Serialize};
use shalespindle_peers::FrontId;
use std::collections::BTreeMap;

/// The servers of one site as a front sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteObservation {
    /// Servers that are in service by its list and that it has tried, and those of them that answer.
    pub tried: u16,
    pub reached: u16,
    /// Set-ups that established there, hundredths a second.
    pub established: u32,
    /// The mean of the waits that they told, milliseconds and one; 0: none told.
    pub wait_code: u16,
}

impl SiteObservation {
    pub fn established_per_second(&self) -> f64 {
        f64::from(self.established) / 100.0
    }

    pub fn wait_seconds(&self) -> Option<f64> {
        self.wait_code.checked_sub(1).map(|ms| f64::from(ms) / 1000.0)
    }
}

/// What one front sees, and what is requested of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Counts the observations of its life.
    pub sequence: u32,
    /// By the places of the sites.
    pub sites: Vec<SiteObservation>,
    /// Attaches requested, hundredths a second, by the places of the procedures.
    pub requested: Vec<u32>,
}

/// The youngest observation of one front.
#[derive(Clone, Debug)]
pub(crate) struct StoredObservation {
    /// Number of its life.
    pub incarnation: u64,
    /// On this front's clock.
    pub made_at: f64,
    pub observation: Observation,
    /// Beats in which it is still passed on.
    pub relays_left: u8,
}

/// The youngest observation of each front.
#[derive(Clone, Debug, Default)]
pub(crate) struct Observations {
    pub all: BTreeMap<FrontId, StoredObservation>,
}

impl Observations {
    /// Takes a observation that is younger than what there is; true where it was.
    pub fn take(&mut self, front: FrontId, kept: StoredObservation) -> bool {
        let older = |k: &StoredObservation| {
            (k.incarnation, k.observation.sequence) < (kept.incarnation, kept.observation.sequence)
        };
        let new = self.all.get(&front).is_none_or(older);
        if new {
            self.all.insert(front, kept);
        }
        new
    }

    /// Those that still count.
    pub fn young(&self, now: f64, counts_for: f64) -> impl Iterator<Item = (FrontId, &Observation)> {
        let young = move |k: &StoredObservation| now - k.made_at <= counts_for;
        self.all.iter().filter(move |(_, k)| young(k)).map(|(f, k)| (*f, &k.observation))
    }
}

impl Observation {
    /// As many sites and procedures as there are, and no more reached than there are.
    pub fn is_sound(&self, table: &crate::SiteTable, params: &crate::SitesParams) -> bool {
        self.sites.len() == table.len()
            && self.requested.len() <= params.classes.len()
            && self.sites.iter().all(|s| s.reached <= s.tried)
    }
}
