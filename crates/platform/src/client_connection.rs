//! Client connections, and which of them is closed if there are too many.

use crate::edge::ConnectionId;
use crate::limits::MAX_MESSAGE_BYTES;
use shalespindle_control::interface::UeId;
use shalespindle_signalling::Framer;
use std::collections::{BTreeMap, BTreeSet};

/// The platform requires a refusal, an error or a close within 3 s on every client connection: one without a
/// useful message is closed a little earlier. Seconds.
const UNUSED_TIMEOUT: f64 = 2.4;
/// Callers close a connection without a call after 4 s; one that stays open longer is not needed. Seconds.
const IDLE_TIMEOUT: f64 = 6.0;
/// Time in which a caller that has connected sends its first request, seconds.
const FIRST_REQUEST_PERIOD: f64 = 0.25;
/// Number of malformed messages after which a connection is closed.
pub const MAX_BAD_MESSAGES: u32 = 4;

/// The most useful message received on a connection so far; the least useful connection is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Usage {
    None,
    /// Only OPTIONS probes. Ranked lowest, so that a crowd of probing clients cannot displace callers.
    Probes,
    /// A set-up, or a request that belongs to one; bad clients can send these too.
    Requests,
    /// A message that only the caller of an established call sends: the confirmation of its answer or
    /// release, or its own release.
    Caller,
}

pub struct ClientConnection {
    pub framer: Framer,
    pub opened_at: f64,
    pub usage: Usage,
    pub last_at: f64,
    /// Since when part of a message has been waiting for the rest.
    pub partial_since: Option<f64>,
    /// Pending attaches that arrived on the connection.
    pub open: Vec<UeId>,
    /// Calls whose answer was written to the connection and is not confirmed yet.
    pub unconfirmed: Vec<UeId>,
    /// Established calls whose set-up arrived on the connection, where their releases are sent.
    pub established: BTreeSet<UeId>,
    pub bad_messages: u32,
    /// The peer has closed the connection; what it sent before is still being read.
    pub has_closed: bool,
    /// Releases written to the connection that nobody confirmed in time.
    pub unconfirmed_releases: u32,
}

impl ClientConnection {
    fn new(now: f64) -> ClientConnection {
        ClientConnection {
            framer: Framer::with_max_message(MAX_MESSAGE_BYTES),
            opened_at: now,
            usage: Usage::None,
            last_at: now,
            partial_since: None,
            open: Vec::new(),
            unconfirmed: Vec::new(),
            established: BTreeSet::new(),
            bad_messages: 0,
            has_closed: false,
            unconfirmed_releases: 0,
        }
    }

    /// Whether releases of calls that did not arrive on the connection may be sent on it.
    pub fn is_release_target(&self) -> bool {
        self.usage >= Usage::Requests
    }

    fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    /// Whether the connection has neither a pending attach nor an established call.
    pub fn carries_no_call(&self) -> bool {
        self.is_idle() && self.established.is_empty()
    }
}

#[derive(Default)]
pub struct ClientConnections {
    pub all: BTreeMap<ConnectionId, ClientConnection>,
    /// Number of connections so far on which releases of any call may be sent.
    release_targets_seen: u64,
    /// Memory allocated for incomplete messages on all connections, bytes.
    partial_bytes: usize,
}

impl ClientConnections {
    pub fn open(&mut self, now: f64, connection: ConnectionId) {
        self.all.insert(connection, ClientConnection::new(now));
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, connection: ConnectionId) -> Option<ClientConnection> {
        let removed = self.all.remove(&connection)?;
        self.partial_bytes -= removed.framer.allocated();
        Some(removed)
    }

    /// Takes the framer of a connection, to be put back with [`ClientConnections::put_framer`].
    pub fn take_framer(&mut self, connection: ConnectionId) -> Option<Framer> {
        let client = self.all.get_mut(&connection)?;
        self.partial_bytes -= client.framer.allocated();
        Some(std::mem::replace(&mut client.framer, Framer::with_max_message(0)))
    }

    /// Puts the framer back after all complete messages were taken from it.
    pub fn put_framer(&mut self, now: f64, connection: ConnectionId, mut framer: Framer) {
        let Some(client) = self.all.get_mut(&connection) else { return };
        client.partial_since = (framer.buffered() > 0).then(|| client.partial_since.unwrap_or(now));
        framer.release_memory();
        self.partial_bytes += framer.allocated();
        client.framer = framer;
    }

    /// Memory allocated for incomplete messages, bytes.
    pub fn partial_bytes(&self) -> usize {
        self.partial_bytes
    }

    /// The connection to close if incomplete messages take too much memory: the least useful one without a call
    /// whose message has been incomplete for longest.
    pub fn partial_eviction_candidate(&self) -> Option<ConnectionId> {
        let rank = |c: &ClientConnection| (!c.carries_no_call(), c.usage);
        let partial = self.all.iter().filter_map(|(id, c)| Some((*id, c, c.partial_since?)));
        let candidate = partial.min_by(|(_, a, a_since), (_, b, b_since)| {
            rank(a).cmp(&rank(b)).then(a_since.total_cmp(b_since))
        });
        candidate.map(|(id, _, _)| id)
    }

    /// Records a message that was received; returns whether it is the most useful one so far.
    pub fn used(&mut self, now: f64, connection: ConnectionId, usage: Usage) -> bool {
        let Some(client) = self.all.get_mut(&connection) else { return false };
        client.last_at = now;
        if usage <= client.usage {
            return false;
        }
        let was_release_target = client.is_release_target();
        client.usage = usage;
        self.release_targets_seen += u64::from(!was_release_target && client.is_release_target());
        true
    }

    /// Number of connections so far on which releases of any call may be sent; it grows with each new one.
    pub fn release_targets_seen(&self) -> u64 {
        self.release_targets_seen
    }

    /// Connections on which releases of any call may be sent, the most promising first: those with evidence of
    /// a caller before those with mere requests, then those that left the fewest releases unconfirmed, then the
    /// latest used.
    pub fn release_targets(&self) -> Vec<ConnectionId> {
        let mut targets: Vec<(ConnectionId, &ClientConnection)> =
            self.all.iter().filter(|c| c.1.is_release_target()).map(|c| (*c.0, c.1)).collect();
        targets.sort_by(|(_, a), (_, b)| {
            let by_usage = b.usage.cmp(&a.usage);
            let by_confirmations = a.unconfirmed_releases.cmp(&b.unconfirmed_releases);
            by_usage.then(by_confirmations).then(b.last_at.total_cmp(&a.last_at))
        });
        targets.into_iter().map(|c| c.0).collect()
    }

    /// The connection to close first if there are too many: the least useful, then the longest idle. After
    /// these come the newest one if its first request may still be on its way, those with established calls,
    /// and those with an unconfirmed answer; a connection with a pending attach only if all have one, and
    /// then the newest.
    pub fn eviction_candidate(&self, now: f64) -> Option<ConnectionId> {
        let rank = |connection, c: &ClientConnection| {
            (
                !c.is_idle(),
                !c.unconfirmed.is_empty(),
                !c.established.is_empty(),
                self.may_still_request(now, connection),
            )
        };
        let candidate = self.all.iter().min_by(|(a_connection, a), (b_connection, b)| {
            let order = rank(**a_connection, a).cmp(&rank(**b_connection, b)).then(a.usage.cmp(&b.usage));
            let newest_first = b.opened_at.total_cmp(&a.opened_at);
            order.then(if a.is_idle() { a.last_at.total_cmp(&b.last_at) } else { newest_first })
        });
        candidate.map(|c| *c.0)
    }

    /// Whether the connection is the newest, was opened just now and has received no message yet.
    pub fn may_still_request(&self, now: f64, connection: ConnectionId) -> bool {
        let last = self.all.last_key_value().filter(|c| *c.0 == connection);
        last.is_some_and(|(_, c)| c.usage == Usage::None && now - c.opened_at < FIRST_REQUEST_PERIOD)
    }

    /// Connections that have exceeded one of their time limits.
    pub fn overdue(&self, now: f64) -> Vec<ConnectionId> {
        let is_overdue = |c: &ClientConnection| {
            let useless = c.usage == Usage::None && c.is_idle() && now - c.opened_at > UNUSED_TIMEOUT;
            let partial = c.partial_since.is_some_and(|since| now - since > UNUSED_TIMEOUT);
            useless || partial || c.carries_no_call() && now - c.last_at > IDLE_TIMEOUT
        };
        self.all.iter().filter(|c| is_overdue(c.1)).map(|c| *c.0).collect()
    }
}
