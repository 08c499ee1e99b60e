//! One front among others: beats, digests, parts, and what they make known.

use crate::calls::{CallOut, Calls, CallsParams};
use crate::copies::{Copies, CopiesParams, Full};
use crate::facts::{CallWord, Fact, Key, LevelWord, OverWord, ServerWord};
use crate::message::{pair, Known, Message, Part, PastReach, Reach};
use crate::view::{News, View};
use shalespindle_peers::{Change, FrontId, Life, Peers, PeersParams, State, Word};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// What the module is started with. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetParams {
    pub peers: PeersParams,
    pub copies: CopiesParams,
    pub calls: CallsParams,
    /// A warning of another front counts for so long.
    pub warnings_for: f64,
    /// What a front wrote is kept for so long after it is gone or has left.
    pub keep: f64,
    /// Bytes that one message may fill.
    pub bytes: usize,
    /// Messages with parts that one digest may call forth.
    pub burst: usize,
}

impl FleetParams {
    pub fn beating(every: f64) -> FleetParams {
        FleetParams {
            peers: PeersParams::beating(every),
            copies: CopiesParams { most: 20_000, remember: 300.0 },
            calls: CallsParams { hold: 60.0 },
            warnings_for: 60.0,
            keep: 600.0,
            bytes: 8000,
            burst: 8,
        }
    }
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Send {
        to: FrontId,
        message: Message,
    },
    /// For the log.
    Peer(Change),
}

/// What has been counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub digests: u64,
    pub parts: u64,
    pub known: u64,
    pub gaps: u64,
    pub old_lives: u64,
    pub bad: u64,
    pub strangers: u64,
    pub held_up: u64,
    /// Facts that had no room.
    pub full: u64,
}

/// The bytes that one front takes in a digest at most, and each of its ended lives.
const KNOWN_ROOM: usize = 76;
const PAST_ROOM: usize = 40;
/// Parts of a beat between two pushes of what this front wrote.
const PUSHES_APART: f64 = 0.1;
/// The bytes of a part beside its items at most.
pub(crate) const PART_ROOM: usize = 64;

pub struct Fleet {
    pub(crate) params: FleetParams,
    pub(crate) peers: Peers,
    pub(crate) copies: Copies,
    pub(crate) view: View,
    pub(crate) calls: Calls,
    /// How far each front is known to have come, by anybody's word.
    pub(crate) ahead: BTreeMap<FrontId, (Life, u64)>,
    /// Since when a front has been gone or has left.
    over_since: BTreeMap<FrontId, f64>,
    pub(crate) out: VecDeque<Out>,
    /// How far its own facts have been pushed, and when they may be again.
    pushed: u64,
    push_at: f64,
    turned_at: f64,
    /// Parts that came before their turn: a network that delays each frame by another time turns bursts around.
    pub(crate) early: VecDeque<Part>,
    /// Who was last asked for what is missing, and when.
    pub(crate) asked: Option<(FrontId, f64)>,
    /// When another front first told what it knows of this one.
    pub(crate) told_at: Option<f64>,
    pub(crate) caught_up: bool,
    pub(crate) counts: Counts,
}

impl Fleet {
    pub fn new(
        params: FleetParams,
        own: FrontId,
        life: Life,
        listed: &[FrontId],
        seed: u64,
        now: f64,
    ) -> Fleet {
        Fleet {
            peers: Peers::new(params.peers, own, life, listed, seed, now),
            copies: Copies::new(params.copies, own, life),
            view: View::new(params.warnings_for),
            calls: Calls::new(params.calls),
            ahead: BTreeMap::new(),
            over_since: BTreeMap::new(),
            out: VecDeque::new(),
            pushed: 0,
            push_at: now,
            turned_at: now,
            early: VecDeque::new(),
            asked: None,
            told_at: None,
            caught_up: false,
            counts: Counts::default(),
            params,
        }
    }

    /// The list of fronts changed.
    pub fn relist(&mut self, now: f64, listed: &[FrontId]) {
        let before: Vec<FrontId> = self.peers.all(now).map(|p| p.0).collect();
        self.peers.relist(now, listed);
        for front in before {
            if self.peers.is_listed(front) {
                continue;
            }
            self.ahead.remove(&front);
            self.over_since.remove(&front);
            let keys = self.copies.forget(front);
            self.look(now, &keys);
        }
    }

    // ---- this front's own words ----

    /// What this front's list told of a server.
    pub fn tell_server(&mut self, now: f64, address: SocketAddr, word: ServerWord) {
        self.write(now, Key::Server(address), Fact::Server(word));
    }

    /// Its list does not name a server any more, and has not for long.
    pub fn forget_server(&mut self, now: f64, address: SocketAddr) {
        self.delete(now, Key::Server(address));
    }

    /// An operator's word on the level for all fronts; none lets it go.
    pub fn tell_level(&mut self, now: f64, level: Option<u8>, lasts: f64, by: &str) {
        let version = self.view.next_version();
        let word = LevelWord { level, lasts, version, by: by.to_string() };
        self.write(now, Key::Level, Fact::Level(word));
    }

    pub(crate) fn write(&mut self, now: f64, key: Key, fact: Fact) {
        match self.copies.write(now, key, fact) {
            Ok(_) => self.look(now, &[key]),
            Err(Full) => self.counts.full += 1,
        }
    }

    fn delete(&mut self, now: f64, key: Key) {
        self.copies.delete(now, key);
        self.look(now, &[key]);
    }

    /// A call stands at this front, or stands no more.
    pub fn tell_call(&mut self, now: f64, call: u64, word: Option<CallWord>) {
        match word.filter(CallWord::is_sound) {
            Some(word) => self.write(now, Key::Call(call), Fact::Call(Box::new(word))),
            None => {
                // In copies of an earlier life it stands for good: its end must be told there.
                if self.copies.past_call(call).is_some() {
                    self.write(now, Key::Over(call), Fact::Over(OverWord { claim: false }));
                }
                self.delete(now, Key::Call(call));
            }
        }
        self.heed_calls(now);
    }

    /// A caller (or, by its own dialog, a server) tells this front that a call is over which it does not know: the
    /// call, which counts as over on all fronts from now on. This front is to release its other side, unless the word
    /// is missing: then that was done.
    pub fn whose(&mut self, now: f64, name: u64, by_leg: bool) -> Option<(u64, Option<CallWord>)> {
        let found = self.calls.whose(&self.copies, name, by_leg);
        self.heed_calls(now);
        found
    }

    /// This front departs in order: all are told at once.
    pub fn leave(&mut self, now: f64) {
        self.peers.leave();
        let known: Vec<Known> = self.peers.own_word().map(|w| self.known(&w)).into_iter().collect();
        let all: Vec<FrontId> = self.peers.all(now).map(|p| p.0).collect();
        for to in all {
            let message = Message::Digest { known: known.clone(), whole: false, answer: false };
            self.out.push_back(Out::Send { to, message });
        }
    }

    // ---- what is heard ----

    /// A message of a front that has been told apart from a stranger by the codec.
    pub fn heard(&mut self, now: f64, from: FrontId, message: Message) {
        if !self.peers.is_listed(from) {
            self.counts.strangers += 1;
            return;
        }
        match message {
            Message::Digest { known, whole, answer } => self.digest(now, from, &known, whole, answer),
            Message::Parts { parts, follow } => self.parts(now, from, parts, follow),
        }
        self.heed_calls(now);
        self.heed_peers();
    }

    pub(crate) fn look(&mut self, now: f64, keys: &[Key]) {
        for key in keys {
            self.view.changed(now, &self.copies, key);
            if let Key::Call(call) | Key::Over(call) = key {
                self.calls.changed(&self.copies, *call);
            }
        }
        if let Some(word) = self.view.take_heeded() {
            // Without room it is not passed on; it holds here all the same.
            let _ = self.copies.write(now, Key::Level, Fact::Level(word));
        }
    }

    fn heed_calls(&mut self, now: f64) {
        while let Some(out) = self.calls.next_output() {
            match out {
                CallOut::Write(key, fact) => self.write(now, key, fact),
                CallOut::Delete(key) => self.delete(now, key),
                CallOut::News(news) => self.view.tell(news),
            }
        }
    }

    /// It has been gone for so long that nothing of it is kept.
    pub(crate) fn is_over(&self, now: f64, front: FrontId) -> bool {
        let over = matches!(self.peers.state(front), Some(State::Gone | State::Left));
        over && self.over_since.get(&front).is_some_and(|since| now - since >= self.params.keep)
    }

    // ---- time ----

    pub fn wake_at(&self) -> f64 {
        let push = self.unpushed().map_or(f64::INFINITY, |_| self.push_at);
        self.peers.due().min(push)
    }

    /// How far its own facts go, where they go further than what has been pushed and may be told at all.
    fn unpushed(&self) -> Option<Reach> {
        let own = self.copies.reach(self.peers.own(), self.peers.life())?;
        (own.seq > self.pushed && !self.peers.is_silenced()).then_some(own)
    }

    /// Tells some others at once what this front has written: what it knows alone is lost with it. Whoever lacks
    /// what came before asks with its next digest.
    fn push(&mut self, now: f64) {
        let Some(own) = self.unpushed().filter(|_| now >= self.push_at) else { return };
        let (front, life) = (self.peers.own(), self.peers.life());
        let reach = Reach { seq: self.pushed, floor: own.floor };
        let Some(part) = self.copies.part(now, front, life, reach, self.params.bytes - PART_ROOM) else {
            return;
        };
        for to in self.peers.targets() {
            // It ends nobody's answer.
            let message = Message::Parts { parts: vec![part.clone()], follow: true };
            self.out.push_back(Out::Send { to, message });
        }
        self.pushed = own.seq;
        self.push_at = now + PUSHES_APART * self.params.peers.every;
    }

    pub fn turn(&mut self, now: f64) {
        self.push(now);
        if !self.peers.turn(now) {
            return self.heed_peers();
        }
        self.heed_peers();
        self.copies.tick(now);
        let stood_still = now - std::mem::replace(&mut self.turned_at, now) >= self.params.keep;
        let mut keys = if stood_still { self.copies.lose() } else { Vec::new() };
        self.caught_up &= !stood_still;
        keys.extend(self.copies.settle_older(now, self.params.keep));
        self.look(now, &keys);
        for key in self.copies.old_overs(now, self.params.keep) {
            self.copies.delete(now, key);
        }
        let standing: Vec<(FrontId, State)> = self.peers.all(now).map(|p| (p.0, p.1)).collect();
        for (front, state) in standing {
            if !matches!(state, State::Gone | State::Left) {
                self.over_since.remove(&front);
                continue;
            }
            let since = *self.over_since.entry(front).or_insert(now);
            if now - since >= self.params.keep && self.copies.held(front) > 0 {
                let keys = self.copies.drop_facts(front);
                self.look(now, &keys);
            }
        }
        let gone: Vec<(FrontId, f64)> = self.over_since.iter().map(|(f, since)| (*f, *since)).collect();
        self.calls.turn(now, &self.peers, &self.copies, &gone, self.told_at);
        self.heed_calls(now);
        let words = self.peers.words();
        let known: Vec<Known> = words.iter().map(|w| self.known(w)).collect();
        let digests = self.split(known);
        let whole = digests.len() == 1;
        for to in self.peers.targets() {
            for known in &digests {
                let message = Message::Digest { known: known.clone(), whole, answer: true };
                self.out.push_back(Out::Send { to, message });
            }
        }
    }

    /// As many digests as it takes for each to have room in a message.
    fn split(&self, known: Vec<Known>) -> Vec<Vec<Known>> {
        let (mut digests, mut left) = (vec![Vec::new()], self.params.bytes);
        for k in known {
            let room = KNOWN_ROOM + PAST_ROOM * k.past.len();
            if room > left && digests.last().is_some_and(|d| !d.is_empty()) {
                digests.push(Vec::new());
                left = self.params.bytes;
            }
            left = left.saturating_sub(room);
            if let Some(digest) = digests.last_mut() {
                digest.push(k);
            }
        }
        digests
    }

    pub(crate) fn known(&self, word: &Word) -> Known {
        Known {
            front: word.front.0,
            life: pair(word.life),
            beat: word.beat,
            left: word.left,
            reach: self.copies.reach(word.front, word.life),
            settled: pair(self.copies.settled(word.front)),
            past: self.copies.pasts(word.front).into_iter().map(past_reach).collect(),
        }
    }

    fn heed_peers(&mut self) {
        while let Some(change) = self.peers.next_change() {
            self.out.push_back(Out::Peer(change));
        }
    }

    pub fn next_output(&mut self) -> Option<Out> {
        self.out.pop_front()
    }

    pub fn next_news(&mut self) -> Option<News> {
        self.view.next_news()
    }

    // ---- what is asked of it ----

    pub fn life(&self) -> Life {
        self.peers.life()
    }

    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    pub fn copies(&self) -> &Copies {
        &self.copies
    }
}

fn past_reach((life, reach): (Life, Reach)) -> PastReach {
    PastReach { life: pair(life), reach }
}
