//! Observations of the fronts, and the latest one of each.

use serde::{Deserialize, Serialize};
use shalespindle_peers::FrontId;
use std::collections::BTreeMap;

/// The servers of one site as a front observes them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteObservation {
    /// Number of servers that are in service according to the front's list and that it has tried to reach.
    pub tried: u16,
    /// Number of these that answer.
    pub reached: u16,
    /// Set-ups established there, in hundredths per second.
    pub established: u32,
    /// The mean wait that the servers reported, in milliseconds plus one; 0: none reported a wait.
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

/// What one front observes of all sites, and what is requested of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Counts the observations of the front's incarnation.
    pub sequence: u32,
    /// By index of the site.
    pub sites: Vec<SiteObservation>,
    /// Attaches requested, in hundredths per second, by index of the procedure.
    pub requested: Vec<u32>,
}

/// The latest observation of one front.
#[derive(Clone, Debug)]
pub(crate) struct StoredObservation {
    /// Number of the front's incarnation.
    pub incarnation: u64,
    /// On this front's clock.
    pub made_at: f64,
    pub observation: Observation,
    /// Number of ticks in which it is still relayed.
    pub relays_left: u8,
}

/// The latest observation of each front.
#[derive(Clone, Debug, Default)]
pub(crate) struct Observations {
    pub all: BTreeMap<FrontId, StoredObservation>,
}

impl Observations {
    /// Stores an observation if it is newer than the stored one.
    pub fn insert(&mut self, front: FrontId, new: StoredObservation) {
        let is_older = |stored: &StoredObservation| {
            (stored.incarnation, stored.observation.sequence) < (new.incarnation, new.observation.sequence)
        };
        if self.all.get(&front).is_none_or(is_older) {
            self.all.insert(front, new);
        }
    }

    /// Returns the observations that are no older than `lifetime` seconds.
    pub fn fresh(&self, now: f64, lifetime: f64) -> impl Iterator<Item = (FrontId, &Observation)> {
        let is_fresh = move |stored: &StoredObservation| now - stored.made_at <= lifetime;
        self.all
            .iter()
            .filter(move |(_, stored)| is_fresh(stored))
            .map(|(f, stored)| (*f, &stored.observation))
    }
}

impl Observation {
    /// Whether it fits the table and the procedures and reaches no more servers than it tried.
    pub fn is_valid(&self, table: &crate::SiteTable, params: &crate::SitesParams) -> bool {
        self.sites.len() == table.len()
            && self.requested.len() <= params.classes.len()
            && self.sites.iter().all(|s| s.reached <= s.tried)
    }
}
