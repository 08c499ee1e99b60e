//! The table of listed fronts with their incarnations and heartbeats.

use crate::{Change, FrontId, Incarnation, PeerReport, PeersParams, Round, State};
use std::collections::{BTreeMap, VecDeque};

/// A turn that is late by more than this many heartbeat intervals shows that this front was stalled.
const LATE_TURN: f64 = 1.0;
/// Number of times a front raises its incarnation against another process of its name before it may be
/// silenced.
const MAX_RENEWALS: u32 = 4;
/// Renewals are forgotten after this multiple of `gone_after`.
const RENEWAL_MEMORY: f64 = 4.0;

struct Peer {
    incarnation: Incarnation,
    heartbeat: u64,
    /// When its heartbeat last increased, on this front's clock; moved forward by the time that this front
    /// was stalled.
    heartbeat_at: f64,
    state: State,
}

/// The fronts of the fleet as this front knows them.
pub struct Peers {
    params: PeersParams,
    own: FrontId,
    incarnation: Incarnation,
    heartbeat: u64,
    left: bool,
    table: BTreeMap<FrontId, Peer>,
    round: Round,
    next_heartbeat_at: f64,
    renewals: u32,
    renewed_at: f64,
    silenced: bool,
    isolated: bool,
    changes: VecDeque<Change>,
    /// Reports that were ignored: of earlier incarnations, and of fronts that are not on the list.
    old_incarnations: u64,
    unlisted: u64,
    late_turns: u64,
}

impl Peers {
    /// `incarnation` should be higher than any that this front has had; where it is not, reports from the
    /// others raise it.
    pub fn new(
        params: PeersParams,
        own: FrontId,
        incarnation: Incarnation,
        listed: &[FrontId],
        seed: u64,
        now: f64,
    ) -> Peers {
        let mut peers = Peers {
            params,
            own,
            incarnation,
            heartbeat: 0,
            left: false,
            table: BTreeMap::new(),
            round: Round::new(seed),
            next_heartbeat_at: now,
            renewals: 0,
            renewed_at: now,
            silenced: false,
            isolated: false,
            changes: VecDeque::new(),
            old_incarnations: 0,
            unlisted: 0,
            late_turns: 0,
        };
        peers.relist(now, listed);
        peers
    }

    /// Replaces the list of fronts; this front need not be on it. Fronts that are no longer listed are
    /// removed.
    pub fn relist(&mut self, now: f64, listed: &[FrontId]) {
        let is_other = |f: &FrontId| *f != self.own;
        let listed: Vec<FrontId> =
            listed.iter().copied().filter(is_other).take(self.params.max_fronts).collect();
        self.table.retain(|front, _| listed.contains(front));
        self.round.clear();
        for front in listed {
            let never_seen = Peer {
                incarnation: Incarnation::default(),
                heartbeat: 0,
                heartbeat_at: now,
                state: State::NeverSeen,
            };
            self.table.entry(front).or_insert(never_seen);
        }
    }

    // ---- incoming reports ----

    /// Records what a front reported about itself or about another.
    pub fn record(&mut self, now: f64, report: PeerReport) {
        if report.front == self.own {
            return self.record_own(now, report);
        }
        let Some(peer) = self.table.get_mut(&report.front) else {
            self.unlisted += 1;
            return;
        };
        if report.incarnation < peer.incarnation {
            self.old_incarnations += 1;
            return;
        }
        let restarted = report.incarnation > peer.incarnation;
        if restarted && peer.state != State::NeverSeen {
            self.changes.push_back(Change::Restarted { front: report.front });
        }
        if restarted || report.heartbeat > peer.heartbeat {
            (peer.incarnation, peer.heartbeat, peer.heartbeat_at) =
                (report.incarnation, report.heartbeat, now);
        } else if !report.left {
            return;
        }
        // A departure is final for an incarnation: a late heartbeat from before it does not bring the front
        // back.
        let was_left = peer.state == State::Left && !restarted;
        let to = if report.left || was_left { State::Left } else { State::Alive };
        self.set_state(report.front, to);
    }

    /// Handles a report about this front's own name. Guards against two processes under one name, and against
    /// a start with a clock that was set back: the higher incarnation wins everywhere, so this front must
    /// take a higher one or stop publishing.
    fn record_own(&mut self, now: f64, report: PeerReport) {
        if report.incarnation <= self.incarnation || self.silenced {
            return;
        }
        if now - self.renewed_at > RENEWAL_MEMORY * self.params.gone_after {
            self.renewals = 0;
        }
        self.renewals += 1;
        self.renewed_at = now;
        // Two processes that keep overtaking each other cannot both continue; comparing nonces lets both
        // decide which one stops.
        if self.renewals > MAX_RENEWALS && self.incarnation.nonce < report.incarnation.nonce {
            self.silenced = true;
            self.changes.push_back(Change::Silenced);
            return;
        }
        self.incarnation =
            Incarnation { number: report.incarnation.number + 1, nonce: self.incarnation.nonce };
        self.heartbeat = 0;
        self.changes.push_back(Change::Renewed { incarnation: self.incarnation });
    }

    // ---- time ----

    /// When [`Peers::turn`] is due.
    pub fn next_heartbeat(&self) -> f64 {
        self.next_heartbeat_at
    }

    /// Increments the heartbeat when it is due and updates the states of the other fronts. Returns true if it
    /// did: the caller then sends reports to [`Peers::targets`].
    pub fn turn(&mut self, now: f64) -> bool {
        if now < self.next_heartbeat_at {
            return false;
        }
        let late = now - self.next_heartbeat_at;
        if late > LATE_TURN * self.params.heartbeat_interval {
            // Guards the other fronts against a stall of this one: heartbeats that arrived during the stall
            // were not read, so the time of the stall must not count against them.
            self.late_turns += 1;
            for peer in self.table.values_mut() {
                peer.heartbeat_at += late;
            }
        }
        self.next_heartbeat_at = now + self.params.heartbeat_interval;
        self.heartbeat += 1;
        self.update_states(now);
        true
    }

    fn update_states(&mut self, now: f64) {
        let silence = |p: &Peer| now - p.heartbeat_at;
        let counted = || self.table.values().filter(|p| !matches!(p.state, State::NeverSeen | State::Left));
        let (all, missed) =
            (counted().count(), counted().filter(|p| silence(p) >= self.params.suspect_after).count());
        // A single missed peer may well be gone; if two or more are all missed, this front is more likely cut
        // off.
        let isolated = all >= 2 && missed == all;
        if isolated != std::mem::replace(&mut self.isolated, isolated) {
            self.changes.push_back(Change::Isolated(isolated));
        }
        // An isolated front waits twice as long before it treats others as gone, because their calls are
        // taken over then.
        let gone_after = self.params.gone_after * if isolated { 2.0 } else { 1.0 };
        let mut changed = Vec::new();
        for (front, peer) in &self.table {
            let to = match peer.state {
                State::Alive | State::Suspect if silence(peer) >= gone_after => State::Gone,
                State::Alive if silence(peer) >= self.params.suspect_after => State::Suspect,
                _ => continue,
            };
            changed.push((*front, to));
        }
        for (front, to) in changed {
            self.set_state(front, to);
        }
    }

    fn set_state(&mut self, front: FrontId, to: State) {
        let Some(peer) = self.table.get_mut(&front) else { return };
        let from = std::mem::replace(&mut peer.state, to);
        if from != to {
            self.changes.push_back(Change::State { front, from, to });
        }
    }

    /// Marks this front as leaving; its reports say so from now on.
    pub fn leave(&mut self) {
        self.left = true;
        self.heartbeat += 1;
    }

    // ---- outgoing reports ----

    /// The fronts to send to at this heartbeat: every listed front in turn, in an order that is drawn anew
    /// each round. Gone fronts are included, so that either side notices when a cut is repaired.
    pub fn targets(&mut self) -> Vec<FrontId> {
        let all: Vec<FrontId> = self.table.keys().copied().collect();
        self.round.next(self.params.fanout, &all)
    }

    /// This front's report about itself; none once it has been silenced.
    pub fn own_report(&self) -> Option<PeerReport> {
        let report = PeerReport {
            front: self.own,
            incarnation: self.incarnation,
            heartbeat: self.heartbeat,
            left: self.left,
        };
        (!self.silenced).then_some(report)
    }

    /// Reports about all known fronts, this one first.
    pub fn reports(&self) -> Vec<PeerReport> {
        let known = self.table.iter().filter(|(_, p)| p.state != State::NeverSeen);
        let others = known.map(|(front, p)| PeerReport {
            front: *front,
            incarnation: p.incarnation,
            heartbeat: p.heartbeat,
            left: p.state == State::Left,
        });
        self.own_report().into_iter().chain(others).collect()
    }

    pub fn next_change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    // ---- queries ----

    pub fn own(&self) -> FrontId {
        self.own
    }

    /// Interval between two heartbeats, in seconds.
    pub fn heartbeat_interval(&self) -> f64 {
        self.params.heartbeat_interval
    }

    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub fn is_silenced(&self) -> bool {
        self.silenced
    }

    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    pub fn is_listed(&self, front: FrontId) -> bool {
        front == self.own || self.table.contains_key(&front)
    }

    /// Number of other fronts on the list.
    pub fn listed_count(&self) -> usize {
        self.table.len()
    }

    /// All fronts including this one, in the order of their ids: the same on every front with the same list.
    pub fn all_fronts(&self) -> impl Iterator<Item = FrontId> + '_ {
        let before = self.table.range(..self.own).map(|(front, _)| *front);
        let after = self.table.range(self.own..).map(|(front, _)| *front);
        before.chain([self.own]).chain(after)
    }

    /// The state of a front; none if it is not on the list.
    pub fn state(&self, front: FrontId) -> Option<State> {
        self.table.get(&front).map(|p| p.state)
    }

    pub fn incarnation_of(&self, front: FrontId) -> Option<Incarnation> {
        self.table.get(&front).map(|p| p.incarnation)
    }

    /// Each other front with its state and the seconds since its heartbeat last increased.
    pub fn all(&self, now: f64) -> impl Iterator<Item = (FrontId, State, f64)> + '_ {
        self.table.iter().map(move |(front, p)| (*front, p.state, now - p.heartbeat_at))
    }

    /// The number of reports about earlier incarnations, of reports about fronts not on the list, and of
    /// turns that came too late.
    pub fn counts(&self) -> (u64, u64, u64) {
        (self.old_incarnations, self.unlisted, self.late_turns)
    }
}
