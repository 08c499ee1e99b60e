//! The state of the fleet for operators.

use crate::calls::CallCounts;
use crate::fleet::{Counts, Fleet};
use crate::view::Conflict;
use shalespindle_peers::{FrontId, Incarnation, State};

/// The state of one peer.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerStatus {
    pub front: FrontId,
    pub state: State,
    /// Seconds since its heartbeat last increased.
    pub quiet_for: f64,
    /// Number of facts in the replica of it, and by how many numbers the peer is known to be ahead of that
    /// replica.
    pub facts: usize,
    pub behind: u64,
    /// Equal on fronts whose replicas of it are equal.
    pub digest: u64,
}

/// The state of this front and its peers.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetStatus {
    pub incarnation: Incarnation,
    pub silenced: bool,
    pub isolated: bool,
    /// A digest from a peer has arrived, and this front has everything that the digest named.
    pub caught_up: bool,
    pub own_facts: usize,
    pub own_digest: u64,
    pub peers: Vec<PeerStatus>,
    pub conflict_count: u64,
    pub conflicts: Vec<Conflict>,
    pub calls: CallCounts,
    /// Calls that two or more fronts released, with those fronts.
    pub double_releases: Vec<(u64, Vec<FrontId>)>,
    pub counts: Counts,
}

impl Fleet {
    pub fn status(&self, now: f64) -> FleetStatus {
        let (old_incarnations, unlisted, late_turns) = self.peers.counts();
        let mut counts = self.counts;
        counts.old_incarnations += old_incarnations;
        counts.unlisted += unlisted;
        counts.late_turns = late_turns;
        let peer = |(front, state, quiet_for): (FrontId, State, f64)| {
            let held = self
                .peers
                .incarnation_of(front)
                .and_then(|incarnation| self.replicas.cursor(front, incarnation));
            let ahead = self.ahead.get(&front).filter(|a| Some(a.0) == self.peers.incarnation_of(front));
            let behind = ahead.map_or(0, |a| a.1.saturating_sub(held.unwrap_or_default().seq));
            let (facts, digest) = (self.replicas.fact_count(front), self.replicas.digest(front));
            PeerStatus { front, state, quiet_for, facts, behind, digest }
        };
        FleetStatus {
            incarnation: self.peers.incarnation(),
            silenced: self.peers.is_silenced(),
            isolated: self.peers.is_isolated(),
            caught_up: self.caught_up,
            own_facts: self.replicas.fact_count(self.peers.own()),
            own_digest: self.replicas.digest(self.peers.own()),
            peers: self.peers.all(now).map(peer).collect(),
            conflict_count: self.view.conflict_count(),
            conflicts: self.view.conflicts().cloned().collect(),
            calls: self.calls.counts(),
            double_releases: self
                .calls
                .double_releases()
                .map(|(call, fronts)| (call, fronts.to_vec()))
                .collect(),
            counts,
        }
    }
}
