//! How fronts stand with each other, for operators.

use crate::calls::CallCounts;
use crate::fleet::{Counts, Fleet};
use crate::view::Meeting;
use shalespindle_peers::{FrontId, Life, State};

/// A peer, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerStatus {
    pub front: FrontId,
    pub state: State,
    /// Since its beat last rose.
    pub quiet_for: f64,
    /// Facts held of it, and how many numbers it is known to be ahead of the copy.
    pub facts: usize,
    pub behind: u64,
    /// Equal where the copies of it are equal.
    pub mark: u64,
}

/// The whole, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetStatus {
    pub life: Life,
    pub silenced: bool,
    pub alone: bool,
    /// A peer was heard and what it had is here.
    pub caught_up: bool,
    pub own_facts: usize,
    pub own_mark: u64,
    pub peers: Vec<PeerStatus>,
    pub met: u64,
    pub meetings: Vec<Meeting>,
    pub calls: CallCounts,
    /// Calls that two or more fronts released, and which.
    pub doubles: Vec<(u64, Vec<FrontId>)>,
    pub counts: Counts,
}

impl Fleet {
    pub fn status(&self, now: f64) -> FleetStatus {
        let (old_lives, strangers, held_up) = self.peers.counts();
        let mut counts = self.counts;
        counts.old_lives += old_lives;
        counts.strangers += strangers;
        counts.held_up = held_up;
        let peer = |(front, state, quiet_for): (FrontId, State, f64)| {
            let held = self.peers.life_of(front).and_then(|life| self.copies.reach(front, life));
            let ahead = self.ahead.get(&front).filter(|a| Some(a.0) == self.peers.life_of(front));
            let behind = ahead.map_or(0, |a| a.1.saturating_sub(held.unwrap_or_default().seq));
            let (facts, mark) = (self.copies.held(front), self.copies.mark(front));
            PeerStatus { front, state, quiet_for, facts, behind, mark }
        };
        FleetStatus {
            life: self.peers.life(),
            silenced: self.peers.is_silenced(),
            alone: self.peers.is_alone(),
            caught_up: self.caught_up,
            own_facts: self.copies.held(self.peers.own()),
            own_mark: self.copies.mark(self.peers.own()),
            peers: self.peers.all(now).map(peer).collect(),
            met: self.view.met_so_far(),
            meetings: self.view.meetings().cloned().collect(),
            calls: self.calls.counts(),
            doubles: self.calls.doubles().map(|(call, fronts)| (call, fronts.to_vec())).collect(),
            counts,
        }
    }
}
