//! What each front sees: hints, by their age.

use serde::{Deserialize, Serialize};
use shalespindle_peers::FrontId;
use std::collections::BTreeMap;

/// The servers of one site as a front sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteSight {
    /// Servers that are in service by its list and that it has tried, and those of them that answer.
    pub listed: u16,
    pub reached: u16,
    /// Set-ups that stood there, hundredths a second.
    pub stood: u32,
    /// The mean of the waits that they told, milliseconds and one; 0: none told.
    pub wait: u16,
}

impl SiteSight {
    pub fn stood_a_second(&self) -> f64 {
        f64::from(self.stood) / 100.0
    }

    pub fn wait_seconds(&self) -> Option<f64> {
        self.wait.checked_sub(1).map(|ms| f64::from(ms) / 1000.0)
    }
}

/// What one front sees, and what is asked of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sight {
    /// Counts the sights of its life.
    pub number: u32,
    /// By the places of the sites.
    pub sites: Vec<SiteSight>,
    /// Attaches asked, hundredths a second, by the places of the procedures.
    pub asked: Vec<u32>,
}

/// The youngest sight of one front.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    /// Number of its life.
    pub life: u64,
    /// On this front's clock.
    pub made: f64,
    pub sight: Sight,
    /// Beats in which it is still passed on.
    pub tellings: u8,
}

/// The youngest sight of each front.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sights {
    pub all: BTreeMap<FrontId, Kept>,
}

impl Sights {
    /// Takes a sight that is younger than what there is; true where it was.
    pub fn take(&mut self, front: FrontId, kept: Kept) -> bool {
        let older = |k: &Kept| (k.life, k.sight.number) < (kept.life, kept.sight.number);
        let new = self.all.get(&front).is_none_or(older);
        if new {
            self.all.insert(front, kept);
        }
        new
    }

    /// Those that still count.
    pub fn young(&self, now: f64, counts_for: f64) -> impl Iterator<Item = (FrontId, &Sight)> {
        let young = move |k: &Kept| now - k.made <= counts_for;
        self.all.iter().filter(move |(_, k)| young(k)).map(|(f, k)| (*f, &k.sight))
    }
}

impl Sight {
    /// As many sites and procedures as there are, and no more reached than there are.
    pub fn is_sound(&self, table: &crate::Table, params: &crate::SitesParams) -> bool {
        self.sites.len() == table.len()
            && self.asked.len() <= params.classes.len()
            && self.sites.iter().all(|s| s.reached <= s.listed)
    }
}
