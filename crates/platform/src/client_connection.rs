//! The connections that callers hold, and which of them is closed when there are too many.

use crate::edge::ConnectionId;
use crate::lines::MAX_LINE;
use shalespindle_control::interface::UeId;
use shalespindle_signalling::Framer;
use std::collections::{BTreeMap, BTreeSet};

/// A caller's connection is owed a refusal, an error or its close within 3 s: one on which nothing of use
/// has come by then is closed a little earlier.
const UNUSED_TIMEOUT: f64 = 2.4;
/// Callers close a connection without a call after 4 s; one that is kept longer is kept for nothing.
const IDLE_TIMEOUT: f64 = 6.0;
/// A caller that connects to ask has asked by then.
const FIRST_REQUEST_PERIOD: f64 = 0.25;
/// Messages of bad form after which a connection is closed.
pub const MAX_BAD_MESSAGES: u32 = 4;

/// What a connection has been of use for so far; the least of them is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Usage {
    None,
    /// Tests alone. Guards against a crowd that asks for nothing else and would push callers out.
    Probes,
    /// An attach asked for, or a word on one: what bad clients can say too.
    Requests,
    /// A word that only the caller of a call that stood has: its answer or its release confirmed, its release.
    Caller,
}

pub struct ClientConnection {
    pub framer: Framer,
    pub opened_at: f64,
    pub usage: Usage,
    pub last_at: f64,
    /// Since when part of a message has waited for the rest.
    pub partial_since: Option<f64>,
    /// Attaches in hand that came on it.
    pub open: Vec<UeId>,
    /// Calls whose answer went out on it and is not yet confirmed.
    pub unconfirmed: Vec<UeId>,
    /// Calls that stand and whose set-up came on it: their ends are told on it.
    pub established: BTreeSet<UeId>,
    pub bad_messages: u32,
}

impl ClientConnection {
    fn new(now: f64) -> ClientConnection {
        ClientConnection {
            framer: Framer::with_longest_body(MAX_LINE),
            opened_at: now,
            usage: Usage::None,
            last_at: now,
            partial_since: None,
            open: Vec::new(),
            unconfirmed: Vec::new(),
            established: BTreeSet::new(),
            bad_messages: 0,
        }
    }

    fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    /// Nothing is left on it: neither an attach in hand nor a call that stands.
    pub fn carries_no_call(&self) -> bool {
        self.is_idle() && self.established.is_empty()
    }
}

#[derive(Default)]
pub struct ClientConnections {
    pub all: BTreeMap<ConnectionId, ClientConnection>,
}

impl ClientConnections {
    pub fn open(&mut self, now: f64, connection: ConnectionId) {
        self.all.insert(connection, ClientConnection::new(now));
    }

    pub fn used(&mut self, now: f64, connection: ConnectionId, usage: Usage) {
        if let Some(client) = self.all.get_mut(&connection) {
            client.usage = client.usage.max(usage);
            client.last_at = now;
        }
    }

    /// The one to close first where there are too many: of least use so far, then longest idle. After them the one that
    /// came last, whose request may still be on its way; then those whose calls stand, and those that wait for their
    /// caller's word on an answer; one
    /// on which an answer is owed only where all owe one, and then the newest.
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

    /// The one that came last, only just now, and has said nothing yet.
    pub fn may_still_request(&self, now: f64, connection: ConnectionId) -> bool {
        let last = self.all.last_key_value().filter(|c| *c.0 == connection);
        last.is_some_and(|(_, c)| c.usage == Usage::None && now - c.opened_at < FIRST_REQUEST_PERIOD)
    }

    /// Those that have had their time.
    pub fn overdue(&self, now: f64) -> Vec<ConnectionId> {
        let is_overdue = |c: &ClientConnection| {
            let useless = c.usage == Usage::None && c.is_idle() && now - c.opened_at > UNUSED_TIMEOUT;
            let partial = c.partial_since.is_some_and(|since| now - since > UNUSED_TIMEOUT);
            useless || partial || c.carries_no_call() && now - c.last_at > IDLE_TIMEOUT
        };
        self.all.iter().filter(|c| is_overdue(c.1)).map(|c| *c.0).collect()
    }
}
