//! The coroutine that owns the `Edge`: it passes events in, polls, and carries out the outputs.

use crate::readers;
use crate::slots::ConnectionSlots;
use crate::turns::Turn;
use shalespindle_platform::{
    ConnectionId, Edge, LogLevel, LogRecord, Loss, Output, StartFile, UNCOUNTED_CONNECTIONS,
};
use shalespindle_sockets::{Mailbox, MailboxReceiver, MonotonicClock, WriteHalf};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tracing::{debug, info};

/// Limit of the time spent on receiving events before the `Edge` is polled, seconds.
const MAX_INTAKE: f64 = 0.02;
/// Pause in which the scheduler checks its sockets and timers. It does so only when no coroutine can run.
const SOCKET_CHECK: Duration = Duration::from_millis(1);
/// Longest time without such a check, seconds. A peer that sends at full speed keeps its reader and the owner
/// runnable, and without a pause no input of another one would be noticed until it ends.
const MAX_UNCHECKED: f64 = 0.005;
/// Limit of the bytes queued for a peer that does not read.
const MAX_BACKLOG: usize = 256 * 1024;
/// Pause before queued bytes are written again, seconds.
const WRITE_RETRY: f64 = 0.005;
/// Pause in which readers read what arrived while the process was stalled.
const SETTLE_TIME: Duration = Duration::from_millis(5);
/// Time that a connection closed in order waits for its peer to read the remaining bytes, seconds.
const LINGER: f64 = 3.0;
/// Interval between two log events with the counters, seconds.
const COUNTERS_INTERVAL: f64 = 5.0;

/// What the owner receives.
pub(crate) enum OwnerEvent {
    Accepted { connection: ConnectionId, writer: WriteHalf },
    Connected { connection: ConnectionId, writer: WriteHalf },
    Bytes { arrived: f64, connection: ConnectionId, bytes: Vec<u8>, turn: Turn },
    Lost { connection: ConnectionId, loss: Loss },
    Reload(Box<StartFile>),
    End,
}

struct Peer {
    writer: WriteHalf,
    /// Bytes that did not fit into the socket yet.
    waiting: Vec<u8>,
    /// Set once the `Edge` has closed the connection: it is closed when all bytes are written, or at this
    /// time.
    closes_at: Option<f64>,
}

impl Peer {
    fn new(writer: WriteHalf) -> Peer {
        Peer { writer, waiting: Vec::new(), closes_at: None }
    }
}

pub(crate) struct Owner {
    edge: Edge,
    clock: MonotonicClock,
    mailbox: Mailbox<OwnerEvent>,
    receiver: MailboxReceiver<OwnerEvent>,
    peers: BTreeMap<ConnectionId, Peer>,
    dialled: BTreeSet<ConnectionId>,
    slots: ConnectionSlots,
    /// When the scheduler last checked its sockets for certain.
    sockets_checked_at: f64,
    counters_logged_at: f64,
    /// The longest delay of the owner since the last log event with the counters, seconds.
    max_lateness: f64,
}

impl Owner {
    pub fn new(
        edge: Edge,
        clock: MonotonicClock,
        mailbox: Mailbox<OwnerEvent>,
        receiver: MailboxReceiver<OwnerEvent>,
        slots: ConnectionSlots,
    ) -> Owner {
        let (peers, dialled) = Default::default();
        Owner {
            edge,
            clock,
            mailbox,
            receiver,
            peers,
            dialled,
            slots,
            sockets_checked_at: 0.0,
            counters_logged_at: 0.0,
            max_lateness: 0.0,
        }
    }

    /// Runs until the shutdown has finished.
    pub fn run(mut self) {
        loop {
            let blocked = self.peers.values().any(|p| !p.waiting.is_empty());
            let again = if blocked { self.clock.now() + WRITE_RETRY } else { f64::INFINITY };
            let due = self.edge.wake_at().min(again);
            let next = self.wait_for_event(due);
            if self.clock.just_resumed() {
                // After a stall all input that arrived meanwhile is read before anything is decided: callers
                // may have left, and servers may have gone out of service (platform rule 3).
                may::coroutine::sleep(SETTLE_TIME);
            }
            let now = self.clock.now();
            if next.is_none() && due.is_finite() {
                self.max_lateness = self.max_lateness.max(now - due);
            }
            self.receive_events(next);
            let now = self.clock.now();
            self.edge.poll(now);
            self.slots.set_max(self.edge.max_clients() + UNCOUNTED_CONNECTIONS);
            if blocked {
                self.flush_waiting();
            }
            self.execute_outputs();
            self.log_counters(now);
            self.check_sockets_if_due();
            // Answers queued for a slow reader must be written before the end.
            let blocked = self.peers.values().any(|p| !p.waiting.is_empty());
            if self.edge.is_done(now) && (!blocked || self.edge.is_overdue(now)) {
                return;
            }
        }
    }

    /// Waits for the next event until a time on the clock.
    fn wait_for_event(&mut self, due: f64) -> Option<OwnerEvent> {
        let begin = self.clock.now();
        let next = self.receiver.recv_timeout(self.clock.duration_until(due));
        let now = self.clock.now();
        if now - begin >= SOCKET_CHECK.as_secs_f64() {
            // No coroutine could run for a while.
            self.sockets_checked_at = now;
        }
        next
    }

    /// Pauses if the scheduler has not checked its sockets for long.
    fn check_sockets_if_due(&mut self) {
        if self.clock.now() - self.sockets_checked_at >= MAX_UNCHECKED {
            self.check_sockets();
        }
    }

    fn check_sockets(&mut self) {
        may::coroutine::sleep(SOCKET_CHECK);
        self.sockets_checked_at = self.clock.now();
    }

    /// Handles all events that have arrived. A caller's close or CANCEL and a server's removal must be known
    /// before the next poll, so events in the mailbox, with a reader that waits for space in it, and unread
    /// in a socket are all included; of other connections, what a read or two bring.
    fn receive_events(&mut self, first: Option<OwnerEvent>) {
        let until = self.clock.now() + MAX_INTAKE;
        if let Some(event) = first {
            self.handle_event(event);
        }
        loop {
            self.empty_mailbox(until);
            // Lets readers that were woken or wait for mailbox space run first, on the same worker.
            may::coroutine::yield_now();
            self.check_sockets_if_due();
            let was_empty = !self.empty_mailbox(until);
            if !self.has_unread_input() {
                return self.edge.set_unread_clients(BTreeSet::new());
            }
            if self.clock.now() >= until {
                return self.report_unread_clients();
            }
            if was_empty {
                self.check_sockets();
            }
        }
    }

    /// Reports clients that have sent more than could be read in time, and which of them have closed their
    /// connection behind it.
    fn report_unread_clients(&mut self) {
        let now = self.clock.now();
        let mut unread = BTreeSet::new();
        for connection in self.edge.connections_to_read_first(now) {
            let Some(peer) = self.peers.get(&connection) else { continue };
            if peer.writer.has_peer_closed() {
                self.edge.client_has_closed(now, connection);
            } else if peer.writer.has_unread() {
                unread.insert(connection);
            }
        }
        self.edge.set_unread_clients(unread);
    }

    /// Handles the events in the mailbox; returns whether there were any. Readers do not run meanwhile, so there
    /// is one read of each connection at most.
    fn empty_mailbox(&mut self, until: f64) -> bool {
        let mut had_events = false;
        while self.clock.now() < until {
            let Some(event) = self.receiver.try_recv() else { break };
            self.handle_event(event);
            had_events = true;
        }
        had_events
    }

    fn has_unread_input(&self) -> bool {
        let unread = |connection| self.peers.get(connection).is_some_and(|p| p.writer.has_unread());
        self.edge.connections_to_read_first(self.clock.now()).iter().any(unread)
    }

    fn handle_event(&mut self, event: OwnerEvent) {
        let now = self.clock.now();
        match event {
            OwnerEvent::Accepted { connection, writer } => {
                self.peers.insert(connection, Peer::new(writer));
                self.edge.accepted(now, connection);
            }
            OwnerEvent::Connected { connection, writer } => {
                if self.dialled.remove(&connection) {
                    self.peers.insert(connection, Peer::new(writer));
                    self.edge.connected(now, connection);
                }
            }
            OwnerEvent::Bytes { arrived, connection, bytes, turn } => {
                if self.peers.contains_key(&connection) {
                    self.max_lateness = self.max_lateness.max(now - arrived);
                    self.edge.bytes(now, arrived, connection, &bytes);
                }
                drop(turn);
            }
            OwnerEvent::Lost { connection, loss } => {
                let known = self.peers.remove(&connection).is_some() | self.dialled.remove(&connection);
                if known {
                    self.edge.lost(now, connection, loss);
                }
            }
            OwnerEvent::Reload(file) => self.edge.reconfigured(now, *file),
            OwnerEvent::End => self.edge.begin_shutdown(now),
        }
    }

    fn execute_outputs(&mut self) {
        while let Some(output) = self.edge.next_output() {
            match output {
                Output::Dial { connection, to, timeout } => {
                    self.dialled.insert(connection);
                    let timeout = Duration::from_secs_f64(timeout);
                    readers::dial(connection, to, timeout, &self.mailbox, &self.clock);
                }
                Output::Write { connection, bytes } => self.write(connection, &bytes),
                Output::Close { connection, reset } => {
                    self.dialled.remove(&connection);
                    self.close(connection, reset);
                }
                Output::Log(record) => log(&record),
            }
        }
    }

    /// Closes a connection. An orderly close waits until the queued bytes are written.
    fn close(&mut self, connection: ConnectionId, reset: bool) {
        let Some(mut peer) = self.peers.remove(&connection) else { return };
        if reset || peer.waiting.is_empty() {
            return peer.writer.close(reset);
        }
        peer.closes_at = Some(self.clock.now() + LINGER);
        self.peers.insert(connection, peer);
    }

    fn write(&mut self, connection: ConnectionId, bytes: &[u8]) {
        let Some(peer) = self.peers.get_mut(&connection) else { return };
        let written = if peer.waiting.is_empty() { peer.writer.write_some(bytes) } else { Ok(0) };
        match written {
            Ok(size) => {
                if peer.waiting.is_empty() && size < bytes.len() {
                    self.edge.set_blocked(connection, true);
                    info!(target: "shalespindle::platform", connection, "peer does not read, writes are queued");
                }
                peer.waiting.extend_from_slice(&bytes[size..]);
            }
            // The connection's reader reports the loss.
            Err(_) => return,
        }
        let is_queued = !peer.waiting.is_empty();
        if peer.waiting.len() > MAX_BACKLOG {
            // Bounds the memory used by a peer that sends requests and never reads.
            self.abort(connection);
        }
        if is_queued {
            self.limit_queued_bytes();
        }
    }

    /// Bounds the memory used by all peers that do not read: those with the most bytes queued are reset.
    fn limit_queued_bytes(&mut self) {
        let mut queued: usize = self.peers.values().map(|p| p.waiting.len()).sum();
        while queued > self.edge.max_queued_bytes() {
            let largest = self.peers.iter().max_by_key(|(_, peer)| peer.waiting.len());
            let Some((connection, size)) = largest.map(|(c, peer)| (*c, peer.waiting.len())) else { return };
            info!(target: "shalespindle::platform", connection, "reset to free the memory of queued writes");
            queued -= size;
            self.abort(connection);
        }
    }

    /// Writes queued bytes.
    fn flush_waiting(&mut self) {
        let now = self.clock.now();
        // A partly written set-up is held back while there is unread input, which may say that its caller has
        // left.
        let holds_links = self.has_unread_input();
        let (mut lost, mut closed) = (Vec::new(), Vec::new());
        for (connection, peer) in self.peers.iter_mut().filter(|p| !p.1.waiting.is_empty()) {
            if holds_links && self.edge.is_link(*connection) {
                continue;
            }
            match peer.writer.write_some(&peer.waiting) {
                Ok(size) => {
                    peer.waiting.drain(..size);
                    if peer.waiting.is_empty() {
                        peer.waiting = Vec::new();
                        self.edge.set_blocked(*connection, false);
                    }
                }
                Err(_) => lost.push(*connection),
            }
            if peer.closes_at.is_some_and(|at| peer.waiting.is_empty() || at <= now) {
                closed.push(*connection);
            }
        }
        for connection in closed {
            if let Some(peer) = self.peers.remove(&connection) {
                peer.writer.close(!peer.waiting.is_empty());
            }
        }
        lost.into_iter().for_each(|connection| self.abort(connection));
    }

    fn abort(&mut self, connection: ConnectionId) {
        if let Some(peer) = self.peers.remove(&connection) {
            peer.writer.close(true);
            self.edge.lost(self.clock.now(), connection, Loss::Broken);
        }
    }

    fn log_counters(&mut self, now: f64) {
        if now - self.counters_logged_at < COUNTERS_INTERVAL {
            return;
        }
        self.counters_logged_at = now;
        let [pending, established, clients, links] = self.edge.gauges();
        let late_ms = (std::mem::take(&mut self.max_lateness) * 1000.0).round();
        let counters = self.edge.counters();
        info!(target: "shalespindle::platform", in_hand = pending, standing = established, clients, links, late_ms, ?counters, "counters");
    }
}

fn log(record: &LogRecord) {
    let LogRecord { level, event, subject, reason } = record;
    match level {
        LogLevel::Info => info!(target: "shalespindle::platform", of = subject, why = reason, "{event}"),
        LogLevel::Debug => debug!(target: "shalespindle::platform", of = subject, why = reason, "{event}"),
    }
}
