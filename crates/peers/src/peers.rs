//! The fronts on the list, their lives and beats.

use crate::{Change, FrontId, Incarnation, PeerReport, PeersParams, Round, State};
use std::collections::{BTreeMap, VecDeque};

/// A turn that comes later than this many beats shows that this front stood still.
const LATE_TURN: f64 = 1.0;
/// So often a front renews its life against another process of its name before it gives way.
const MAX_RENEWALS: u32 = 4;
/// A renewal is forgotten after so many times the time to be gone.
const RENEWAL_MEMORY: f64 = 4.0;

struct Peer {
    incarnation: Incarnation,
    heartbeat: u64,
    /// When its beat last rose, on this front's clock; moved on by the times that this front stood still.
    heartbeat_at: f64,
    state: State,
}

/// All fronts, as this one knows them.
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
    /// Words that changed nothing: of old lives, and of fronts that are not on the list.
    old_incarnations: u64,
    unlisted: u64,
    late_turns: u64,
}

impl Peers {
    /// `life` should be higher than any that this front has had; where it is not, the others say so.
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

    /// The list of fronts changed; this one need not be on it. Those not on it are forgotten.
    pub fn relist(&mut self, now: f64, listed: &[FrontId]) {
        let wanted = |f: &FrontId| *f != self.own;
        let listed: Vec<FrontId> =
            listed.iter().copied().filter(wanted).take(self.params.max_fronts).collect();
        self.table.retain(|front, _| listed.contains(front));
        self.round.clear();
        for front in listed {
            let unheard = Peer {
                incarnation: Incarnation::default(),
                heartbeat: 0,
                heartbeat_at: now,
                state: State::NeverSeen,
            };
            self.table.entry(front).or_insert(unheard);
        }
    }

    // ---- what is heard ----

    /// What a front said of itself or of another.
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
        // A departure is final for a life: a late beat of before it does not bring the front back.
        let was_left = peer.state == State::Left && !restarted;
        let to = if report.left || was_left { State::Left } else { State::Alive };
        self.set_state(report.front, to);
    }

    /// Guards against two processes under one name, and against a start with a clock that was set back: the
    /// higher life counts everywhere, so this front must have it, or be silent.
    fn record_own(&mut self, now: f64, report: PeerReport) {
        if report.incarnation <= self.incarnation || self.silenced {
            return;
        }
        if now - self.renewed_at > RENEWAL_MEMORY * self.params.gone_after {
            self.renewals = 0;
        }
        self.renewals += 1;
        self.renewed_at = now;
        // Of two processes that keep overtaking each other one must give way, and both must know which.
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

    /// Beats when it is time to, and judges the others; true when it has beaten, and [`Peers::targets`] are to
    /// be told.
    pub fn turn(&mut self, now: f64) -> bool {
        if now < self.next_heartbeat_at {
            return false;
        }
        let late = now - self.next_heartbeat_at;
        if late > LATE_TURN * self.params.heartbeat_interval {
            // Guards others against a front that stood still: what it did not hear meanwhile is its own fault.
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
        let quiet = |p: &Peer| now - p.heartbeat_at;
        let counted = || self.table.values().filter(|p| !matches!(p.state, State::NeverSeen | State::Left));
        let (all, missed) =
            (counted().count(), counted().filter(|p| quiet(p) >= self.params.suspect_after).count());
        // One peer that is missed may be gone; all of two or more are more likely missed by a front cut off.
        let isolated = all >= 2 && missed == all;
        if isolated != std::mem::replace(&mut self.isolated, isolated) {
            self.changes.push_back(Change::Isolated(isolated));
        }
        // A front alone waits twice as long before it calls others gone: what they hold is taken over then.
        let gone_after = self.params.gone_after * if isolated { 2.0 } else { 1.0 };
        let mut turned = Vec::new();
        for (front, peer) in &self.table {
            let to = match peer.state {
                State::Alive | State::Suspect if quiet(peer) >= gone_after => State::Gone,
                State::Alive if quiet(peer) >= self.params.suspect_after => State::Suspect,
                _ => continue,
            };
            turned.push((*front, to));
        }
        for (front, to) in turned {
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

    /// This front departs in order. Its words say so from now on.
    pub fn leave(&mut self) {
        self.left = true;
        self.heartbeat += 1;
    }

    // ---- what it tells ----

    /// Whom to tell at this beat: every front of the list in turn, in an order drawn anew each round, those
    /// that are gone among them, so that a cut that heals is found by either side.
    pub fn targets(&mut self) -> Vec<FrontId> {
        let all: Vec<FrontId> = self.table.keys().copied().collect();
        self.round.next(self.params.fanout, &all)
    }

    /// What this front says of itself; nothing once it has given its name up.
    pub fn own_report(&self) -> Option<PeerReport> {
        let report = PeerReport {
            front: self.own,
            incarnation: self.incarnation,
            heartbeat: self.heartbeat,
            left: self.left,
        };
        (!self.silenced).then_some(report)
    }

    /// What it knows of the others, itself first.
    pub fn reports(&self) -> Vec<PeerReport> {
        let heard = self.table.iter().filter(|(_, p)| p.state != State::NeverSeen);
        let others = heard.map(|(front, p)| PeerReport {
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

    // ---- what is asked of it ----

    pub fn own(&self) -> FrontId {
        self.own
    }

    /// Between two beats, seconds.
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

    /// Other fronts on the list.
    pub fn listed_count(&self) -> usize {
        self.table.len()
    }

    /// All fronts, this one among them, in the order of their ids: the same on fronts with the same list.
    pub fn all_fronts(&self) -> impl Iterator<Item = FrontId> + '_ {
        let before = self.table.range(..self.own).map(|(front, _)| *front);
        let after = self.table.range(self.own..).map(|(front, _)| *front);
        before.chain([self.own]).chain(after)
    }

    /// How a front stands; none where it is not on the list.
    pub fn state(&self, front: FrontId) -> Option<State> {
        self.table.get(&front).map(|p| p.state)
    }

    pub fn incarnation_of(&self, front: FrontId) -> Option<Incarnation> {
        self.table.get(&front).map(|p| p.incarnation)
    }

    /// Each front with its state and the seconds since its beat last rose.
    pub fn all(&self, now: f64) -> impl Iterator<Item = (FrontId, State, f64)> + '_ {
        self.table.iter().map(move |(front, p)| (*front, p.state, now - p.heartbeat_at))
    }

    /// Words of old lives, words of fronts not on the list, turns that came too late.
    pub fn counts(&self) -> (u64, u64, u64) {
        (self.old_incarnations, self.unlisted, self.late_turns)
    }
}
