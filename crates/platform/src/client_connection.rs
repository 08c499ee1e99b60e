//! The connections that callers hold, and which of them is closed when there are too many.

use crate::edge::ConnectionId;
use crate::lines::LONGEST;
use shalespindle_control::interface::UeId;
use shalespindle_signalling::Framer;
use std::collections::{BTreeMap, BTreeSet};

/// A caller's connection is owed a refusal, an error or its close within 3 s: one on which nothing of use
/// has come by then is closed a little earlier.
const USELESS: f64 = 2.4;
/// Callers close a connection without a call after 4 s; one that is kept longer is kept for nothing.
const IDLE: f64 = 6.0;
/// A caller that connects to ask has asked by then.
const ON_ITS_WAY: f64 = 0.25;
/// Messages of bad form after which a connection is closed.
pub const MOST_BAD: u32 = 4;

/// What a connection has been of use for so far; the least of them is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Use {
    None,
    /// Tests alone. Guards against a crowd that asks for nothing else and would push callers out.
    Tests,
    /// An attach asked for, or a word on one: what bad clients can say too.
    Asks,
    /// A word that only the caller of a call that stood has: its answer or its release confirmed, its release.
    Caller,
}

pub struct ClientConnection {
    pub framer: Framer,
    pub opened_at: f64,
    pub use_of: Use,
    pub last_at: f64,
    /// Since when part of a message has waited for the rest.
    pub partial_since: Option<f64>,
    /// Attaches in hand that came on it.
    pub open: Vec<UeId>,
    /// Calls whose answer went out on it and is not yet confirmed.
    pub unconfirmed: Vec<UeId>,
    /// Calls that stand and whose set-up came on it: their ends are told on it.
    pub standing: BTreeSet<UeId>,
    pub bad: u32,
}

impl ClientConnection {
    fn new(now: f64) -> ClientConnection {
        ClientConnection {
            framer: Framer::with_max_body(LONGEST),
            opened_at: now,
            use_of: Use::None,
            last_at: now,
            partial_since: None,
            open: Vec::new(),
            unconfirmed: Vec::new(),
            standing: BTreeSet::new(),
            bad: 0,
        }
    }

    fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    /// Nothing is left on it: neither an attach in hand nor a call that stands.
    pub fn carries_nothing(&self) -> bool {
        self.is_idle() && self.standing.is_empty()
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

    pub fn used(&mut self, now: f64, connection: ConnectionId, use_of: Use) {
        if let Some(client) = self.all.get_mut(&connection) {
            client.use_of = client.use_of.max(use_of);
            client.last_at = now;
        }
    }

    /// The one to close first where there are too many: of least use so far, then longest idle. After them the one that
    /// came last, whose request may still be on its way; then those whose calls stand, and those that wait for their
    /// caller's word on an answer; one
    /// on which an answer is owed only where all owe one, and then the newest.
    pub fn least_useful(&self, now: f64) -> Option<ConnectionId> {
        let rank = |connection, d: &ClientConnection| {
            (
                !d.is_idle(),
                !d.unconfirmed.is_empty(),
                !d.standing.is_empty(),
                self.is_awaited(now, connection),
            )
        };
        let least = self.all.iter().min_by(|(a_connection, a), (b_connection, b)| {
            let order = rank(**a_connection, a).cmp(&rank(**b_connection, b)).then(a.use_of.cmp(&b.use_of));
            let newest_first = b.opened_at.total_cmp(&a.opened_at);
            order.then(if a.is_idle() { a.last_at.total_cmp(&b.last_at) } else { newest_first })
        });
        least.map(|d| *d.0)
    }

    /// The one that came last, only just now, and has said nothing yet.
    pub fn is_awaited(&self, now: f64, connection: ConnectionId) -> bool {
        let last = self.all.last_key_value().filter(|d| *d.0 == connection);
        last.is_some_and(|(_, d)| d.use_of == Use::None && now - d.opened_at < ON_ITS_WAY)
    }

    /// Those that have had their time.
    pub fn overdue(&self, now: f64) -> Vec<ConnectionId> {
        let over = |d: &ClientConnection| {
            let useless = d.use_of == Use::None && d.is_idle() && now - d.opened_at > USELESS;
            let partial = d.partial_since.is_some_and(|since| now - since > USELESS);
            useless || partial || d.carries_nothing() && now - d.last_at > IDLE
        };
        self.all.iter().filter(|d| over(d.1)).map(|d| *d.0).collect()
    }
}
