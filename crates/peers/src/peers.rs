//! The fronts on the list, their lives and beats.

use crate::{Change, FrontId, Life, PeersParams, Round, State, Word};
use std::collections::{BTreeMap, VecDeque};

/// A turn that comes later than this many beats shows that this front stood still.
const HELD_UP: f64 = 1.0;
/// So often a front renews its life against another process of its name before it gives way.
const MOST_RENEWALS: u32 = 4;
/// A renewal is forgotten after so many times the time to be gone.
const RENEWAL_FORGOTTEN: f64 = 4.0;

struct Peer {
    life: Life,
    beat: u64,
    /// When its beat last rose, on this front's clock; moved on by the times that this front stood still.
    risen_at: f64,
    state: State,
}

/// All fronts, as this one knows them.
pub struct Peers {
    params: PeersParams,
    own: FrontId,
    life: Life,
    beat: u64,
    left: bool,
    table: BTreeMap<FrontId, Peer>,
    round: Round,
    beat_at: f64,
    renewals: u32,
    renewed_at: f64,
    silenced: bool,
    alone: bool,
    changes: VecDeque<Change>,
    /// Words that changed nothing: of old lives, and of fronts that are not on the list.
    old_lives: u64,
    strangers: u64,
    held_up: u64,
}

impl Peers {
    /// `life` should be higher than any that this front has had; where it is not, the others say so.
    pub fn new(
        params: PeersParams,
        own: FrontId,
        life: Life,
        listed: &[FrontId],
        seed: u64,
        now: f64,
    ) -> Peers {
        let mut peers = Peers {
            params,
            own,
            life,
            beat: 0,
            left: false,
            table: BTreeMap::new(),
            round: Round::new(seed),
            beat_at: now,
            renewals: 0,
            renewed_at: now,
            silenced: false,
            alone: false,
            changes: VecDeque::new(),
            old_lives: 0,
            strangers: 0,
            held_up: 0,
        };
        peers.relist(now, listed);
        peers
    }

    /// The list of fronts changed; this one need not be on it. Those not on it are forgotten.
    pub fn relist(&mut self, now: f64, listed: &[FrontId]) {
        let wanted = |f: &FrontId| *f != self.own;
        let listed: Vec<FrontId> = listed.iter().copied().filter(wanted).take(self.params.most).collect();
        self.table.retain(|front, _| listed.contains(front));
        self.round.clear();
        for front in listed {
            let unheard = Peer { life: Life::default(), beat: 0, risen_at: now, state: State::Unheard };
            self.table.entry(front).or_insert(unheard);
        }
    }

    // ---- what is heard ----

    /// What a front said of itself or of another.
    pub fn hear(&mut self, now: f64, word: Word) {
        if word.front == self.own {
            return self.hear_of_self(now, word);
        }
        let Some(peer) = self.table.get_mut(&word.front) else {
            self.strangers += 1;
            return;
        };
        if word.life < peer.life {
            self.old_lives += 1;
            return;
        }
        let reborn = word.life > peer.life;
        if reborn && peer.state != State::Unheard {
            self.changes.push_back(Change::Reborn { front: word.front });
        }
        if reborn || word.beat > peer.beat {
            (peer.life, peer.beat, peer.risen_at) = (word.life, word.beat, now);
        } else if !word.left {
            return;
        }
        // A departure is final for a life: a late beat of before it does not bring the front back.
        let was_left = peer.state == State::Left && !reborn;
        let to = if word.left || was_left { State::Left } else { State::Alive };
        self.become_so(word.front, to);
    }

    /// Guards against two processes under one name, and against a start with a clock that was set back: the
    /// higher life counts everywhere, so this front must have it, or be silent.
    fn hear_of_self(&mut self, now: f64, word: Word) {
        if word.life <= self.life || self.silenced {
            return;
        }
        if now - self.renewed_at > RENEWAL_FORGOTTEN * self.params.gone_after {
            self.renewals = 0;
        }
        self.renewals += 1;
        self.renewed_at = now;
        // Of two processes that keep overtaking each other one must give way, and both must know which.
        if self.renewals > MOST_RENEWALS && self.life.nonce < word.life.nonce {
            self.silenced = true;
            self.changes.push_back(Change::Silenced);
            return;
        }
        self.life = Life { number: word.life.number + 1, nonce: self.life.nonce };
        self.beat = 0;
        self.changes.push_back(Change::Renewed { life: self.life });
    }

    // ---- time ----

    /// When [`Peers::turn`] is due.
    pub fn due(&self) -> f64 {
        self.beat_at
    }

    /// Beats when it is time to, and judges the others; true when it has beaten, and [`Peers::targets`] are to
    /// be told.
    pub fn turn(&mut self, now: f64) -> bool {
        if now < self.beat_at {
            return false;
        }
        let late = now - self.beat_at;
        if late > HELD_UP * self.params.every {
            // Guards others against a front that stood still: what it did not hear meanwhile is its own fault.
            self.held_up += 1;
            for peer in self.table.values_mut() {
                peer.risen_at += late;
            }
        }
        self.beat_at = now + self.params.every;
        self.beat += 1;
        self.judge(now);
        true
    }

    fn judge(&mut self, now: f64) {
        let quiet = |p: &Peer| now - p.risen_at;
        let counted = || self.table.values().filter(|p| !matches!(p.state, State::Unheard | State::Left));
        let (all, missed) =
            (counted().count(), counted().filter(|p| quiet(p) >= self.params.suspect_after).count());
        // One peer that is missed may be gone; all of two or more are more likely missed by a front cut off.
        let alone = all >= 2 && missed == all;
        if alone != std::mem::replace(&mut self.alone, alone) {
            self.changes.push_back(Change::Alone(alone));
        }
        // A front alone waits twice as long before it calls others gone: what they hold is taken over then.
        let gone_after = self.params.gone_after * if alone { 2.0 } else { 1.0 };
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
            self.become_so(front, to);
        }
    }

    fn become_so(&mut self, front: FrontId, to: State) {
        let Some(peer) = self.table.get_mut(&front) else { return };
        let from = std::mem::replace(&mut peer.state, to);
        if from != to {
            self.changes.push_back(Change::State { front, from, to });
        }
    }

    /// This front departs in order. Its words say so from now on.
    pub fn leave(&mut self) {
        self.left = true;
        self.beat += 1;
    }

    // ---- what it tells ----

    /// Whom to tell at this beat: every front of the list in turn, in an order drawn anew each round, those
    /// that are gone among them, so that a cut that heals is found by either side.
    pub fn targets(&mut self) -> Vec<FrontId> {
        let all: Vec<FrontId> = self.table.keys().copied().collect();
        self.round.next(self.params.fanout, &all)
    }

    /// What this front says of itself; nothing once it has given its name up.
    pub fn own_word(&self) -> Option<Word> {
        let word = Word { front: self.own, life: self.life, beat: self.beat, left: self.left };
        (!self.silenced).then_some(word)
    }

    /// What it knows of the others, itself first.
    pub fn words(&self) -> Vec<Word> {
        let heard = self.table.iter().filter(|(_, p)| p.state != State::Unheard);
        let others = heard.map(|(front, p)| Word {
            front: *front,
            life: p.life,
            beat: p.beat,
            left: p.state == State::Left,
        });
        self.own_word().into_iter().chain(others).collect()
    }

    pub fn next_change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    // ---- what is asked of it ----

    pub fn own(&self) -> FrontId {
        self.own
    }

    /// Between two beats, seconds.
    pub fn every(&self) -> f64 {
        self.params.every
    }

    pub fn life(&self) -> Life {
        self.life
    }

    pub fn is_silenced(&self) -> bool {
        self.silenced
    }

    pub fn is_alone(&self) -> bool {
        self.alone
    }

    pub fn is_listed(&self, front: FrontId) -> bool {
        front == self.own || self.table.contains_key(&front)
    }

    /// Other fronts on the list.
    pub fn listed(&self) -> usize {
        self.table.len()
    }

    /// All fronts, this one among them, in the order of their ids: the same on fronts with the same list.
    pub fn fleet(&self) -> impl Iterator<Item = FrontId> + '_ {
        let before = self.table.range(..self.own).map(|(front, _)| *front);
        let after = self.table.range(self.own..).map(|(front, _)| *front);
        before.chain([self.own]).chain(after)
    }

    /// How a front stands; none where it is not on the list.
    pub fn state(&self, front: FrontId) -> Option<State> {
        self.table.get(&front).map(|p| p.state)
    }

    pub fn life_of(&self, front: FrontId) -> Option<Life> {
        self.table.get(&front).map(|p| p.life)
    }

    /// Each front with its state and the seconds since its beat last rose.
    pub fn all(&self, now: f64) -> impl Iterator<Item = (FrontId, State, f64)> + '_ {
        self.table.iter().map(move |(front, p)| (*front, p.state, now - p.risen_at))
    }

    /// Words of old lives, words of fronts not on the list, turns that came too late.
    pub fn counts(&self) -> (u64, u64, u64) {
        (self.old_lives, self.strangers, self.held_up)
    }
}
