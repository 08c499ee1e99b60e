//! The coroutine that owns the core: events in, polls, outputs out.

use crate::places::Places;
use crate::readers;
use shalespindle_platform::{ConnectionId, Edge, LogLevel, LogRecord, Loss, Output, StartFile, UNCOUNTED};
use shalespindle_sockets::{Mailbox, MailboxReceiver, MonotonicClock, WriteHalf};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tracing::{debug, info};

/// The longest time that the core's turn is put off while more and more comes.
const INTAKE: f64 = 0.02;
/// What the scheduler gets to look at its sockets where something lies unread.
const LOOK: Duration = Duration::from_millis(1);
/// Bytes that may wait for a peer that does not read.
const BACKLOG: usize = 256 * 1024;
/// Wait before another try to write what waits.
const AGAIN: f64 = 0.005;
/// What readers get to read what came while the process stood still.
const SETTLE: Duration = Duration::from_millis(5);
/// A connection that is closed in order waits so long for its peer to read what was written, seconds.
const LINGERS: f64 = 3.0;
/// Time between two lines of counters in the log.
const COUNTERS: f64 = 5.0;

/// What reaches the owner.
pub(crate) enum OwnerEvent {
    Accepted { connection: ConnectionId, writing: WriteHalf },
    Connected { connection: ConnectionId, writing: WriteHalf },
    Bytes { arrived: f64, connection: ConnectionId, bytes: Vec<u8> },
    Lost { connection: ConnectionId, loss: Loss },
    Reload(Box<StartFile>),
    End,
}

struct Peer {
    writing: WriteHalf,
    /// What did not fit into the socket yet.
    waiting: Vec<u8>,
    /// The core has closed it: it goes once that is written, or then.
    closes_at: Option<f64>,
}

impl Peer {
    fn new(writing: WriteHalf) -> Peer {
        Peer { writing, waiting: Vec::new(), closes_at: None }
    }
}

pub(crate) struct Owner {
    edge: Edge,
    ground: MonotonicClock,
    mailbox: Mailbox<OwnerEvent>,
    mail: MailboxReceiver<OwnerEvent>,
    peers: BTreeMap<ConnectionId, Peer>,
    dialled: BTreeSet<ConnectionId>,
    places: Places,
    counted_at: f64,
    /// The longest time that the owner was late since the last line of counters.
    late: f64,
}

impl Owner {
    pub fn new(
        edge: Edge,
        ground: MonotonicClock,
        mailbox: Mailbox<OwnerEvent>,
        mail: MailboxReceiver<OwnerEvent>,
        places: Places,
    ) -> Owner {
        let (peers, dialled) = Default::default();
        Owner { edge, ground, mailbox, mail, peers, dialled, places, counted_at: 0.0, late: 0.0 }
    }

    /// Runs until the end that was asked for.
    pub fn run(mut self) {
        loop {
            let blocked = self.peers.values().any(|p| !p.waiting.is_empty());
            let again = if blocked { self.ground.now() + AGAIN } else { f64::INFINITY };
            let due = self.edge.wake_at().min(again);
            let next = self.mail.recv_timeout(self.ground.duration_until(due));
            if self.ground.just_resumed() {
                // Guards rule 3 and callers' patience: all that came meanwhile is known before it decides.
                may::coroutine::sleep(SETTLE);
            }
            let now = self.ground.now();
            if next.is_none() && due.is_finite() {
                self.late = self.late.max(now - due);
            }
            self.take_in(next);
            let now = self.ground.now();
            self.edge.poll(now);
            self.places.set_most(self.edge.most_clients() + UNCOUNTED);
            if blocked {
                self.write_on();
            }
            self.carry();
            self.count(now);
            // Guards answers that a caller has not made room for yet: they are written, and not only decided, before the end.
            let blocked = self.peers.values().any(|p| !p.waiting.is_empty());
            if self.edge.is_done(now) && (!blocked || self.edge.is_overdue(now)) {
                return;
            }
        }
    }

    /// Takes in all that has come. Guards attaches whose callers have closed or cancelled, and servers that the list
    /// has taken out: what was said before the core's turn must not lie behind it, neither in the mailbox, nor with a
    /// reader that waits for room in it, nor unread in a socket.
    fn take_in(&mut self, first: Option<OwnerEvent>) {
        let until = self.ground.now() + INTAKE;
        let mut next = first;
        loop {
            while let Some(event) = next {
                self.take(event);
                next = if self.ground.now() < until { self.mail.try_recv() } else { None };
            }
            // Readers that were woken or wait for room run now; the owner goes on behind them, on their worker.
            may::coroutine::yield_now();
            if self.ground.now() >= until {
                return;
            }
            next = self.mail.try_recv();
            if next.is_none() {
                if !self.lies_unread() {
                    return;
                }
                may::coroutine::sleep(LOOK);
            }
        }
    }

    fn lies_unread(&self) -> bool {
        let unread = |connection| self.peers.get(connection).is_some_and(|p| p.writing.has_unread());
        self.edge.read_first(self.ground.now()).iter().any(unread)
    }

    fn take(&mut self, event: OwnerEvent) {
        let now = self.ground.now();
        match event {
            OwnerEvent::Accepted { connection, writing } => {
                self.peers.insert(connection, Peer::new(writing));
                self.edge.accepted(now, connection);
            }
            OwnerEvent::Connected { connection, writing } => {
                if self.dialled.remove(&connection) {
                    self.peers.insert(connection, Peer::new(writing));
                    self.edge.connected(now, connection);
                }
            }
            OwnerEvent::Bytes { arrived, connection, bytes } => {
                if self.peers.contains_key(&connection) {
                    self.late = self.late.max(now - arrived);
                    self.edge.bytes(now, arrived, connection, &bytes);
                }
            }
            OwnerEvent::Lost { connection, loss } => {
                let known = self.peers.remove(&connection).is_some() | self.dialled.remove(&connection);
                if known {
                    self.edge.lost(now, connection, loss);
                }
            }
            OwnerEvent::Reload(file) => self.edge.reconfigured(now, *file),
            OwnerEvent::End => self.edge.end(now),
        }
    }

    fn carry(&mut self) {
        while let Some(output) = self.edge.next_output() {
            match output {
                Output::Dial { connection, to, within } => {
                    self.dialled.insert(connection);
                    let within = Duration::from_secs_f64(within);
                    readers::dial(connection, to, within, &self.mailbox, &self.ground);
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

    /// Guards answers that wait for their reader: a connection that is closed in order is closed behind them.
    fn close(&mut self, connection: ConnectionId, reset: bool) {
        let Some(mut peer) = self.peers.remove(&connection) else { return };
        if reset || peer.waiting.is_empty() {
            return peer.writing.close(reset);
        }
        peer.closes_at = Some(self.ground.now() + LINGERS);
        self.peers.insert(connection, peer);
    }

    fn write(&mut self, connection: ConnectionId, bytes: &[u8]) {
        let Some(peer) = self.peers.get_mut(&connection) else { return };
        let written = if peer.waiting.is_empty() { peer.writing.write_some(bytes) } else { Ok(0) };
        match written {
            Ok(size) => {
                if peer.waiting.is_empty() && size < bytes.len() {
                    self.edge.blocked(connection, true);
                    info!(target: "shalespindle::platform", connection, "writing waits for its reader");
                }
                peer.waiting.extend_from_slice(&bytes[size..]);
            }
            // Its reader reports the loss.
            Err(_) => return,
        }
        if peer.waiting.len() > BACKLOG {
            // Guards memory against peers that ask and never read.
            self.shut(connection);
        }
    }

    /// Writes on what waited.
    fn write_on(&mut self) {
        let now = self.ground.now();
        // Guards set-ups of which only a part has left: their callers may have gone by what lies unread.
        let links_wait = self.lies_unread();
        let (mut lost, mut closed) = (Vec::new(), Vec::new());
        for (connection, peer) in self.peers.iter_mut().filter(|p| !p.1.waiting.is_empty()) {
            if links_wait && self.edge.is_link(*connection) {
                continue;
            }
            match peer.writing.write_some(&peer.waiting) {
                Ok(size) => {
                    peer.waiting.drain(..size);
                    if peer.waiting.is_empty() {
                        self.edge.blocked(*connection, false);
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
                peer.writing.close(!peer.waiting.is_empty());
            }
        }
        lost.into_iter().for_each(|connection| self.shut(connection));
    }

    fn shut(&mut self, connection: ConnectionId) {
        if let Some(peer) = self.peers.remove(&connection) {
            peer.writing.close(true);
            self.edge.lost(self.ground.now(), connection, Loss::Broken);
        }
    }

    fn count(&mut self, now: f64) {
        if now - self.counted_at < COUNTERS {
            return;
        }
        self.counted_at = now;
        let [in_hand, standing, clients, links] = self.edge.held();
        let late_ms = (std::mem::take(&mut self.late) * 1000.0).round();
        let counters = self.edge.counters();
        info!(target: "shalespindle::platform", in_hand, standing, clients, links, late_ms, ?counters, "counters");
    }
}

fn log(record: &LogRecord) {
    let LogRecord { level, event, subject, reason } = record;
    match level {
        LogLevel::Info => info!(target: "shalespindle::platform", of = subject, why = reason, "{event}"),
        LogLevel::Debug => debug!(target: "shalespindle::platform", of = subject, why = reason, "{event}"),
    }
}
