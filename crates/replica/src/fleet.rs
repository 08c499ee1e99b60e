//! One front among others: beats, digests, parts, and what they make known.

use crate::calls::{CallOutput, Calls, CallsParams};
use crate::facts::{CallEnd, CallRecord, Fact, Key, LevelOrder, ServerRecord};
use crate::message::{incarnation_pair, Cursor, Delta, DigestEntry, EndedCursor, Message};
use crate::replicas::{Full, ReplicaParams, Replicas};
use crate::view::{FleetEvent, View};
use shalespindle_peers::{Change, FrontId, Incarnation, PeerReport, Peers, PeersParams, State};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// What the module is started with. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetParams {
    pub peers: PeersParams,
    pub replicas: ReplicaParams,
    pub calls: CallsParams,
    /// A warning of another front counts for so long.
    pub warning_ttl: f64,
    /// What a front wrote is kept for so long after it is gone or has left.
    pub retention: f64,
    /// Bytes that one message may fill.
    pub max_message_bytes: usize,
    /// Messages with parts that one digest may call forth.
    pub max_burst: usize,
}

impl FleetParams {
    pub fn with_heartbeat_interval(heartbeat_interval: f64) -> FleetParams {
        FleetParams {
            peers: PeersParams::with_heartbeat_interval(heartbeat_interval),
            replicas: ReplicaParams { max_facts: 20_000, deletion_retention: 300.0 },
            calls: CallsParams { hold: 60.0 },
            warning_ttl: 60.0,
            retention: 600.0,
            max_message_bytes: 8000,
            max_burst: 8,
        }
    }
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
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
    pub deltas: u64,
    pub already_known: u64,
    pub gaps: u64,
    pub old_incarnations: u64,
    pub invalid: u64,
    pub unlisted: u64,
    pub late_turns: u64,
    /// Facts that had no room.
    pub rejected_full: u64,
}

/// The bytes that one front takes in a digest at most, and each of its ended lives.
const MAX_ENTRY_BYTES: usize = 76;
const MAX_ENDED_BYTES: usize = 40;
/// Parts of a beat between two pushes of what this front wrote.
const MIN_PUSH_INTERVAL: f64 = 0.1;
/// The bytes of a part beside its items at most.
pub(crate) const MAX_DELTA_HEADER_BYTES: usize = 64;

pub struct Fleet {
    pub(crate) params: FleetParams,
    pub(crate) peers: Peers,
    pub(crate) replicas: Replicas,
    pub(crate) view: View,
    pub(crate) calls: Calls,
    /// How far each front is known to have come, by anybody's word.
    pub(crate) ahead: BTreeMap<FrontId, (Incarnation, u64)>,
    /// Since when a front has been gone or has left.
    down_since: BTreeMap<FrontId, f64>,
    pub(crate) out: VecDeque<Output>,
    /// How far its own facts have been pushed, and when they may be again.
    pushed: u64,
    push_at: f64,
    last_turn_at: f64,
    /// Parts that came before their turn: a network that delays each frame by another time turns bursts around.
    pub(crate) out_of_order: VecDeque<Delta>,
    /// Who was last asked for what is missing, and when.
    pub(crate) pending_request: Option<(FrontId, f64)>,
    /// When another front first told what it knows of this one.
    pub(crate) reported_at: Option<f64>,
    pub(crate) caught_up: bool,
    pub(crate) counts: Counts,
}

impl Fleet {
    pub fn new(
        params: FleetParams,
        own: FrontId,
        incarnation: Incarnation,
        listed: &[FrontId],
        seed: u64,
        now: f64,
    ) -> Fleet {
        Fleet {
            peers: Peers::new(params.peers, own, incarnation, listed, seed, now),
            replicas: Replicas::new(params.replicas, own, incarnation),
            view: View::new(params.warning_ttl),
            calls: Calls::new(params.calls),
            ahead: BTreeMap::new(),
            down_since: BTreeMap::new(),
            out: VecDeque::new(),
            pushed: 0,
            push_at: now,
            last_turn_at: now,
            out_of_order: VecDeque::new(),
            pending_request: None,
            reported_at: None,
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
            self.down_since.remove(&front);
            let keys = self.replicas.remove_front(front);
            self.keys_changed(now, &keys);
        }
    }

    // ---- this front's own words ----

    /// What this front's list told of a server.
    pub fn publish_server(&mut self, now: f64, address: SocketAddr, record: ServerRecord) {
        self.write(now, Key::Server(address), Fact::Server(record));
    }

    /// Its list does not name a server any more, and has not for long.
    pub fn withdraw_server(&mut self, now: f64, address: SocketAddr) {
        self.delete(now, Key::Server(address));
    }

    /// An operator's word on the level for all fronts; none lets it go.
    pub fn publish_level(&mut self, now: f64, level: Option<u8>, valid_for: f64, by: &str) {
        let version = self.view.next_version();
        let record = LevelOrder { level, valid_for, version, issued_by: by.to_string() };
        self.write(now, Key::Level, Fact::Level(record));
    }

    pub(crate) fn write(&mut self, now: f64, key: Key, fact: Fact) {
        match self.replicas.write(now, key, fact) {
            Ok(_) => self.keys_changed(now, &[key]),
            Err(Full) => self.counts.rejected_full += 1,
        }
    }

    fn delete(&mut self, now: f64, key: Key) {
        self.replicas.delete(now, key);
        self.keys_changed(now, &[key]);
    }

    /// A call stands at this front, or stands no more.
    pub fn publish_call(&mut self, now: f64, call: u64, record: Option<CallRecord>) {
        match record.filter(CallRecord::is_sound) {
            Some(record) => self.write(now, Key::Call(call), Fact::Call(Box::new(record))),
            None => {
                // In copies of an earlier life it stands for good: its end must be told there.
                if self.replicas.orphaned_call(call).is_some() {
                    self.write(now, Key::CallEnd(call), Fact::CallEnd(CallEnd { claim: false }));
                }
                self.delete(now, Key::Call(call));
            }
        }
        self.apply_call_outputs(now);
    }

    /// A caller (or, by its own dialog, a server) tells this front that a call is over which it does not know: the
    /// call, which counts as over on all fronts from now on. This front is to release its other side, unless the word
    /// is missing: then that was done.
    pub fn end_call(&mut self, now: f64, name: u64, by_leg: bool) -> Option<(u64, Option<CallRecord>)> {
        let found = self.calls.end_call(&self.replicas, name, by_leg);
        self.apply_call_outputs(now);
        found
    }

    /// This front departs in order: all are told at once.
    pub fn leave(&mut self, now: f64) {
        self.peers.leave();
        let entries: Vec<DigestEntry> =
            self.peers.own_report().map(|w| self.digest_entry(&w)).into_iter().collect();
        let all: Vec<FrontId> = self.peers.all(now).map(|p| p.0).collect();
        for to in all {
            let message = Message::Digest { entries: entries.clone(), complete: false, wants_answer: false };
            self.out.push_back(Output::Send { to, message });
        }
    }

    // ---- what is heard ----

    /// A message of a front that has been told apart from a stranger by the codec.
    pub fn receive(&mut self, now: f64, from: FrontId, message: Message) {
        if !self.peers.is_listed(from) {
            self.counts.unlisted += 1;
            return;
        }
        match message {
            Message::Digest { entries, complete, wants_answer } => {
                self.receive_digest(now, from, &entries, complete, wants_answer)
            }
            Message::Deltas { deltas, more_follow } => self.receive_deltas(now, from, deltas, more_follow),
        }
        self.apply_call_outputs(now);
        self.forward_peer_changes();
    }

    pub(crate) fn keys_changed(&mut self, now: f64, keys: &[Key]) {
        for key in keys {
            self.view.key_changed(now, &self.replicas, key);
            if let Key::Call(call) | Key::CallEnd(call) = key {
                self.calls.call_changed(&self.replicas, *call);
            }
        }
        if let Some(record) = self.view.take_adopted_order() {
            // Without room it is not passed on; it holds here all the same.
            let _ = self.replicas.write(now, Key::Level, Fact::Level(record));
        }
    }

    fn apply_call_outputs(&mut self, now: f64) {
        while let Some(out) = self.calls.next_output() {
            match out {
                CallOutput::Write(key, fact) => self.write(now, key, fact),
                CallOutput::Delete(key) => self.delete(now, key),
                CallOutput::Event(news) => self.view.push_event(news),
            }
        }
    }

    /// It has been gone for so long that nothing of it is kept.
    pub(crate) fn is_expired(&self, now: f64, front: FrontId) -> bool {
        let is_down = matches!(self.peers.state(front), Some(State::Gone | State::Left));
        is_down && self.down_since.get(&front).is_some_and(|since| now - since >= self.params.retention)
    }

    // ---- time ----

    pub fn next_wakeup(&self) -> f64 {
        let push = self.unpushed().map_or(f64::INFINITY, |_| self.push_at);
        self.peers.next_heartbeat().min(push)
    }

    /// How far its own facts go, where they go further than what has been pushed and may be told at all.
    fn unpushed(&self) -> Option<Cursor> {
        let own = self.replicas.cursor(self.peers.own(), self.peers.incarnation())?;
        (own.seq > self.pushed && !self.peers.is_silenced()).then_some(own)
    }

    /// Tells some others at once what this front has written: what it knows alone is lost with it. Whoever lacks
    /// what came before asks with its next digest.
    fn push(&mut self, now: f64) {
        let Some(own) = self.unpushed().filter(|_| now >= self.push_at) else { return };
        let (front, incarnation) = (self.peers.own(), self.peers.incarnation());
        let cursor = Cursor { seq: self.pushed, floor: own.floor };
        let Some(delta) = self.replicas.delta(
            now,
            front,
            incarnation,
            cursor,
            self.params.max_message_bytes - MAX_DELTA_HEADER_BYTES,
        ) else {
            return;
        };
        for to in self.peers.targets() {
            // It ends nobody's answer.
            let message = Message::Deltas { deltas: vec![delta.clone()], more_follow: true };
            self.out.push_back(Output::Send { to, message });
        }
        self.pushed = own.seq;
        self.push_at = now + MIN_PUSH_INTERVAL * self.params.peers.heartbeat_interval;
    }

    pub fn turn(&mut self, now: f64) {
        self.push(now);
        if !self.peers.turn(now) {
            return self.forward_peer_changes();
        }
        self.forward_peer_changes();
        self.replicas.tick(now);
        let stalled = now - std::mem::replace(&mut self.last_turn_at, now) >= self.params.retention;
        let mut keys = if stalled { self.replicas.clear_others() } else { Vec::new() };
        self.caught_up &= !stalled;
        keys.extend(self.replicas.discard_older(now, self.params.retention));
        self.keys_changed(now, &keys);
        for key in self.replicas.old_call_ends(now, self.params.retention) {
            self.replicas.delete(now, key);
        }
        let states: Vec<(FrontId, State)> = self.peers.all(now).map(|p| (p.0, p.1)).collect();
        for (front, state) in states {
            if !matches!(state, State::Gone | State::Left) {
                self.down_since.remove(&front);
                continue;
            }
            let since = *self.down_since.entry(front).or_insert(now);
            if now - since >= self.params.retention && self.replicas.fact_count(front) > 0 {
                let keys = self.replicas.drop_facts(front);
                self.keys_changed(now, &keys);
            }
        }
        let gone: Vec<(FrontId, f64)> = self.down_since.iter().map(|(f, since)| (*f, *since)).collect();
        self.calls.turn(now, &self.peers, &self.replicas, &gone, self.reported_at);
        self.apply_call_outputs(now);
        let records = self.peers.reports();
        let entries: Vec<DigestEntry> = records.iter().map(|w| self.digest_entry(w)).collect();
        let digests = self.split_digest(entries);
        let complete = digests.len() == 1;
        for to in self.peers.targets() {
            for entries in &digests {
                let message = Message::Digest { entries: entries.clone(), complete, wants_answer: true };
                self.out.push_back(Output::Send { to, message });
            }
        }
    }

    /// As many digests as it takes for each to have room in a message.
    fn split_digest(&self, entries: Vec<DigestEntry>) -> Vec<Vec<DigestEntry>> {
        let (mut digests, mut left) = (vec![Vec::new()], self.params.max_message_bytes);
        for entry in entries {
            let size = MAX_ENTRY_BYTES + MAX_ENDED_BYTES * entry.ended.len();
            if size > left && digests.last().is_some_and(|d| !d.is_empty()) {
                digests.push(Vec::new());
                left = self.params.max_message_bytes;
            }
            left = left.saturating_sub(size);
            if let Some(digest) = digests.last_mut() {
                digest.push(entry);
            }
        }
        digests
    }

    pub(crate) fn digest_entry(&self, record: &PeerReport) -> DigestEntry {
        DigestEntry {
            front: record.front.0,
            incarnation: incarnation_pair(record.incarnation),
            heartbeat: record.heartbeat,
            left: record.left,
            cursor: self.replicas.cursor(record.front, record.incarnation),
            obsolete_up_to: incarnation_pair(self.replicas.obsolete_up_to(record.front)),
            ended: self.replicas.ended_cursors(record.front).into_iter().map(ended_cursor).collect(),
        }
    }

    fn forward_peer_changes(&mut self) {
        while let Some(change) = self.peers.next_change() {
            self.out.push_back(Output::Peer(change));
        }
    }

    pub fn next_output(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    pub fn next_event(&mut self) -> Option<FleetEvent> {
        self.view.next_event()
    }

    // ---- what is asked of it ----

    pub fn incarnation(&self) -> Incarnation {
        self.peers.incarnation()
    }

    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    pub fn replicas(&self) -> &Replicas {
        &self.replicas
    }
}

fn ended_cursor((incarnation, cursor): (Incarnation, Cursor)) -> EndedCursor {
    EndedCursor { incarnation: incarnation_pair(incarnation), cursor }
}
