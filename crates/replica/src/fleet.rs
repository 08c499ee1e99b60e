//! One front of a fleet: heartbeats, digests, deltas, and the events that result from them.

use crate::calls::{CallOutput, Calls, CallsParams};
use crate::facts::{CallEnd, CallRecord, Fact, Key, LevelOrder, ServerRecord};
use crate::message::{incarnation_pair, Cursor, Delta, DigestEntry, EndedCursor, Message};
use crate::replicas::{Full, ReplicaParams, Replicas};
use crate::view::{FleetEvent, View};
use shalespindle_peers::{Change, FrontId, Incarnation, PeerReport, Peers, PeersParams, State};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Parameters of [`Fleet`]. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetParams {
    pub peers: PeersParams,
    pub replicas: ReplicaParams,
    pub calls: CallsParams,
    /// The time for which a warning of another front counts.
    pub warning_ttl: f64,
    /// The time for which the facts of a front are kept after it is gone or has left.
    pub retention: f64,
    /// Maximum size of a message in bytes.
    pub max_message_bytes: usize,
    /// Maximum number of messages with deltas that one digest may cause.
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

/// An action for the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        to: FrontId,
        message: Message,
    },
    /// A change of a peer, for the log.
    Peer(Change),
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub digests: u64,
    pub deltas: u64,
    /// Deltas with nothing new.
    pub already_known: u64,
    /// Deltas whose predecessors were missing.
    pub gaps: u64,
    /// Reports and deltas of earlier incarnations.
    pub old_incarnations: u64,
    pub invalid: u64,
    /// Messages, reports and deltas of fronts that are not on the list.
    pub unlisted: u64,
    /// Turns that came too late because this front was stalled.
    pub late_turns: u64,
    /// Facts of this front that were rejected because its replica was full.
    pub rejected_full: u64,
}

/// Upper bounds for the encoded size of one front in a digest, and of each of its ended incarnations.
const MAX_ENTRY_BYTES: usize = 76;
const MAX_ENDED_BYTES: usize = 40;
/// Fraction of the heartbeat interval between two pushes of this front's own facts.
const MIN_PUSH_INTERVAL: f64 = 0.1;
/// Upper bound for the encoded size of a delta without its items.
pub(crate) const MAX_DELTA_HEADER_BYTES: usize = 64;

/// This front among the others: membership, replicas, and the state merged from them.
pub struct Fleet {
    pub(crate) params: FleetParams,
    pub(crate) peers: Peers,
    pub(crate) replicas: Replicas,
    pub(crate) view: View,
    pub(crate) calls: Calls,
    /// The highest number of each front that any digest or delta has named.
    pub(crate) ahead: BTreeMap<FrontId, (Incarnation, u64)>,
    /// Since when a front has been gone or has left.
    down_since: BTreeMap<FrontId, f64>,
    pub(crate) outputs: VecDeque<Output>,
    /// The highest own number that was pushed, and when the next push may happen.
    pushed: u64,
    push_at: f64,
    last_turn_at: f64,
    /// Deltas that arrived before their predecessors: a network that delays each frame differently reorders
    /// bursts.
    pub(crate) out_of_order: VecDeque<Delta>,
    /// The front that was last asked for missing facts, and when.
    pub(crate) pending_request: Option<(FrontId, f64)>,
    /// When another front first reported what it knows of this one.
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
            outputs: VecDeque::new(),
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

    /// Replaces the list of fronts.
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

    // ---- this front's own facts ----

    /// Publishes what this front's pool list reported about a server.
    pub fn publish_server(&mut self, now: f64, address: SocketAddr, record: ServerRecord) {
        self.write(now, Key::Server(address), Fact::Server(record));
    }

    /// Withdraws a server that the pool list has not named for long.
    pub fn withdraw_server(&mut self, now: f64, address: SocketAddr) {
        self.delete(now, Key::Server(address));
    }

    /// Publishes an operator's order for the level on all fronts; no level ends the pin.
    pub fn publish_level(&mut self, now: f64, level: Option<u8>, valid_for: f64, issued_by: &str) {
        let version = self.view.next_version();
        let order = LevelOrder { level, valid_for, version, issued_by: issued_by.to_string() };
        self.write(now, Key::Level, Fact::Level(order));
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

    /// Publishes that a call is established at this front, or with no record that it has ended.
    pub fn publish_call(&mut self, now: f64, call: u64, record: Option<CallRecord>) {
        match record.filter(CallRecord::is_sound) {
            Some(record) => self.write(now, Key::Call(call), Fact::Call(Box::new(record))),
            None => {
                // In replicas of an earlier incarnation the call remains established, so its end must be
                // published as a fact of its own.
                if self.replicas.orphaned_call(call).is_some() {
                    self.write(now, Key::CallEnd(call), Fact::CallEnd(CallEnd { claim: false }));
                }
                self.delete(now, Key::Call(call));
            }
        }
        self.apply_call_outputs(now);
    }

    /// Handles a request of a caller, or of a server by its own dialog, that ends a call unknown to this
    /// front. Returns the call, which counts as ended on all fronts from now on. This front has to release
    /// its other side, unless the record is missing: then that was done before.
    pub fn end_call(&mut self, now: f64, dialog: u64, by_leg: bool) -> Option<(u64, Option<CallRecord>)> {
        let found = self.calls.end_call(&self.replicas, dialog, by_leg);
        self.apply_call_outputs(now);
        found
    }

    /// Announces to all fronts at once that this front leaves.
    pub fn leave(&mut self, now: f64) {
        self.peers.leave();
        let entries: Vec<DigestEntry> =
            self.peers.own_report().map(|report| self.digest_entry(&report)).into_iter().collect();
        let all: Vec<FrontId> = self.peers.all(now).map(|p| p.0).collect();
        for to in all {
            let message = Message::Digest { entries: entries.clone(), complete: false, wants_answer: false };
            self.outputs.push_back(Output::Send { to, message });
        }
    }

    // ---- incoming messages ----

    /// Handles a message whose sender the codec has authenticated.
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

    /// Recomputes what depends on keys whose facts may have changed.
    pub(crate) fn keys_changed(&mut self, now: f64, keys: &[Key]) {
        for key in keys {
            self.view.key_changed(now, &self.replicas, key);
            if let Key::Call(call) | Key::CallEnd(call) = key {
                self.calls.call_changed(&self.replicas, *call);
            }
        }
        if let Some(order) = self.view.take_adopted_order() {
            // If the replica is full the order is not passed on, but it still applies here.
            let _ = self.replicas.write(now, Key::Level, Fact::Level(order));
        }
    }

    fn apply_call_outputs(&mut self, now: f64) {
        while let Some(out) = self.calls.next_output() {
            match out {
                CallOutput::Write(key, fact) => self.write(now, key, fact),
                CallOutput::Delete(key) => self.delete(now, key),
                CallOutput::Event(event) => self.view.push_event(event),
            }
        }
    }

    /// Whether a front has been down for so long that its facts are no longer kept.
    pub(crate) fn is_expired(&self, now: f64, front: FrontId) -> bool {
        let is_down = matches!(self.peers.state(front), Some(State::Gone | State::Left));
        is_down && self.down_since.get(&front).is_some_and(|since| now - since >= self.params.retention)
    }

    // ---- time ----

    /// When [`Fleet::turn`] is due.
    pub fn next_wakeup(&self) -> f64 {
        let push = self.unpushed().map_or(f64::INFINITY, |_| self.push_at);
        self.peers.next_heartbeat().min(push)
    }

    /// The cursor of this front's own facts, if it is beyond what was pushed and this front may publish at
    /// all.
    fn unpushed(&self) -> Option<Cursor> {
        let own = self.replicas.cursor(self.peers.own(), self.peers.incarnation())?;
        (own.seq > self.pushed && !self.peers.is_silenced()).then_some(own)
    }

    /// Sends newly written facts of this front to some other fronts at once: facts that only this front knows
    /// are lost with it. A receiver that lacks the preceding facts requests them with its next digest.
    fn push(&mut self, now: f64) {
        let Some(own_cursor) = self.unpushed().filter(|_| now >= self.push_at) else { return };
        let (front, incarnation) = (self.peers.own(), self.peers.incarnation());
        let cursor = Cursor { seq: self.pushed, floor: own_cursor.floor };
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
            // It does not end an answer to any request.
            let message = Message::Deltas { deltas: vec![delta.clone()], more_follow: true };
            self.outputs.push_back(Output::Send { to, message });
        }
        self.pushed = own_cursor.seq;
        self.push_at = now + MIN_PUSH_INTERVAL * self.params.peers.heartbeat_interval;
    }

    /// Pushes new facts; when a heartbeat is due, also expires old state, handles the calls of dead fronts and
    /// sends digests.
    pub fn turn(&mut self, now: f64) {
        self.push(now);
        if !self.peers.turn(now) {
            return self.forward_peer_changes();
        }
        self.forward_peer_changes();
        self.replicas.forget_old_deletions(now);
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
        let reports = self.peers.reports();
        let entries: Vec<DigestEntry> = reports.iter().map(|report| self.digest_entry(report)).collect();
        let digests = self.split_digest(entries);
        let complete = digests.len() == 1;
        for to in self.peers.targets() {
            for entries in &digests {
                let message = Message::Digest { entries: entries.clone(), complete, wants_answer: true };
                self.outputs.push_back(Output::Send { to, message });
            }
        }
    }

    /// Splits the entries into as many digests as are needed for each to fit into a message.
    fn split_digest(&self, entries: Vec<DigestEntry>) -> Vec<Vec<DigestEntry>> {
        let (mut digests, mut bytes_left) = (vec![Vec::new()], self.params.max_message_bytes);
        for entry in entries {
            let size = MAX_ENTRY_BYTES + MAX_ENDED_BYTES * entry.ended.len();
            if size > bytes_left && digests.last().is_some_and(|d| !d.is_empty()) {
                digests.push(Vec::new());
                bytes_left = self.params.max_message_bytes;
            }
            bytes_left = bytes_left.saturating_sub(size);
            if let Some(digest) = digests.last_mut() {
                digest.push(entry);
            }
        }
        digests
    }

    pub(crate) fn digest_entry(&self, report: &PeerReport) -> DigestEntry {
        DigestEntry {
            front: report.front.0,
            incarnation: incarnation_pair(report.incarnation),
            heartbeat: report.heartbeat,
            left: report.left,
            cursor: self.replicas.cursor(report.front, report.incarnation),
            obsolete_up_to: incarnation_pair(self.replicas.obsolete_up_to(report.front)),
            ended: self.replicas.ended_cursors(report.front).into_iter().map(ended_cursor).collect(),
        }
    }

    fn forward_peer_changes(&mut self) {
        while let Some(change) = self.peers.next_change() {
            self.outputs.push_back(Output::Peer(change));
        }
    }

    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    pub fn next_event(&mut self) -> Option<FleetEvent> {
        self.view.next_event()
    }

    // ---- queries ----

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
