//! The signalling servers a front knows and its links to them. Links belong to a server, not to an address:
//! a new server may take the address of one that went.

use crate::edge::ConnectionId;
use crate::lines::LineFramer;
use crate::releases::RELEASE_LIFETIME;
use shalespindle_control::interface::{PoolId, UeId};
use shalespindle_control::liveness::{Liveness, ProbeMethod};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Links to one server: it sends its state on so many.
pub const MAX_LINKS: usize = 4;
/// Tests out on one link that are remembered.
const MAX_PROBES: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Up,
    Draining,
    Removed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    Dialled,
    /// The connection is made, but its server has not said its state, which it does first of all: a machine
    /// may take connections for a process that does not.
    Made,
    Up,
}

pub struct Link {
    pub pool: PoolId,
    pub state: LinkState,
    pub lines: LineFramer,
    /// Set-ups out on it.
    pub open: Vec<UeId>,
    /// Tests out on it, oldest first.
    probes: VecDeque<u64>,
    pub last_received_at: f64,
    /// Since when something that wants an answer has met silence.
    awaiting_since: Option<f64>,
    /// Takes nothing new and is closed when nothing is out on it.
    pub retired: bool,
    /// Its server does not read: what is written waits in the front's own memory.
    pub blocked: bool,
}

impl Link {
    pub fn new(now: f64, pool: PoolId) -> Link {
        Link {
            pool,
            state: LinkState::Dialled,
            lines: LineFramer::default(),
            open: Vec::new(),
            probes: VecDeque::new(),
            last_received_at: now,
            awaiting_since: None,
            retired: false,
            blocked: false,
        }
    }

    pub fn request_sent(&mut self, now: f64) {
        self.awaiting_since.get_or_insert(now);
    }

    pub fn probe_sent(&mut self, now: f64, id: u64) {
        self.request_sent(now);
        if self.probes.len() == MAX_PROBES {
            self.probes.pop_front();
        }
        self.probes.push_back(id);
    }

    /// A test came back; those before it will not.
    pub fn take_probe(&mut self, id: u64) -> bool {
        let Some(place) = self.probes.iter().position(|t| *t == id) else { return false };
        self.probes.drain(..=place);
        true
    }

    /// A whole line came and has been dealt with; what is still out counts as asked from now on.
    pub fn line_received(&mut self, now: f64) {
        self.last_received_at = now;
        self.awaiting_since = (!self.open.is_empty() || !self.probes.is_empty()).then_some(now);
    }

    /// Since when something that wants an answer has met silence on it.
    pub fn unanswered_since(&self) -> Option<f64> {
        self.awaiting_since
    }

    /// Silent for longer than a new connection would take: it may be dead without a sign.
    pub fn is_suspect(&self, now: f64, timeout: f64) -> bool {
        self.awaiting_since.is_some_and(|at| now - at > timeout)
    }

    fn is_usable(&self, now: f64, timeout: f64) -> bool {
        self.state == LinkState::Up && !self.retired && !self.blocked && !self.is_suspect(now, timeout)
    }
}

pub struct Server {
    pub id: String,
    pub pool: PoolId,
    pub address: SocketAddr,
    pub number: u16,
    pub started_at: f64,
    pub phase: Phase,
    pub links: Vec<ConnectionId>,
    /// Setup tries that wait for a link.
    pub waiting: VecDeque<UeId>,
    /// It has said its state first on a link that was made, unasked.
    pub announces_state: bool,
    /// It did not, and never has: its next links are up when they are made.
    pub never_announced: bool,
    /// A test waits for a link.
    pub probe_pending: bool,
    /// Releases that wait for a link.
    pub queued_releases: VecDeque<(u64, u16)>,
    /// Pause before the next dial, doubling.
    pub pause: f64,
    pub liveness: Liveness,
    pub established: usize,
    /// When it was removed.
    pub removed_at: f64,
}

/// Servers by the name the module knows them by, and links by connection.
pub struct Servers {
    pub all: BTreeMap<PoolId, Server>,
    by_id: BTreeMap<String, PoolId>,
    pub links: BTreeMap<ConnectionId, Link>,
    last: PoolId,
    /// How a silent one is asked for a word.
    pub probe_method: ProbeMethod,
}

impl Servers {
    pub fn new(probe_method: ProbeMethod) -> Servers {
        let (all, by_id, links) = Default::default();
        Servers { all, by_id, links, last: 0, probe_method }
    }

    pub fn named(&self, id: &str) -> Option<PoolId> {
        self.by_id.get(id).copied()
    }

    pub fn add(&mut self, id: &str, address: SocketAddr, number: u16, started_at: f64) -> PoolId {
        self.last += 1;
        let pool = self.last;
        self.by_id.insert(id.to_string(), pool);
        let server = Server {
            id: id.to_string(),
            pool,
            address,
            number,
            started_at,
            phase: Phase::Up,
            links: Vec::new(),
            waiting: VecDeque::new(),
            announces_state: false,
            never_announced: false,
            probe_pending: false,
            queued_releases: VecDeque::new(),
            pause: 0.0,
            liveness: Liveness::new(RELEASE_LIFETIME, self.probe_method),
            established: 0,
            removed_at: 0.0,
        };
        self.all.insert(pool, server);
        pool
    }

    pub fn forget(&mut self, pool: PoolId) {
        if let Some(server) = self.all.remove(&pool) {
            self.by_id.remove(&server.id);
        }
    }

    /// The sound link with the fewest set-ups out: one that is spoilt takes few with it.
    pub fn best_link(&self, now: f64, pool: PoolId, timeout: f64) -> Option<ConnectionId> {
        let links = self.all.get(&pool)?.links.iter();
        let sound = links.filter(|c| self.links.get(c).is_some_and(|l| l.is_usable(now, timeout)));
        sound.min_by_key(|c| self.links[c].open.len()).copied()
    }

    /// Any link that is up, for what need not be answered.
    pub fn any_link(&self, now: f64, pool: PoolId, timeout: f64) -> Option<ConnectionId> {
        let up = |c: &&ConnectionId| self.links.get(c).is_some_and(|l| l.state == LinkState::Up);
        self.best_link(now, pool, timeout)
            .or_else(|| self.all.get(&pool)?.links.iter().rev().find(up).copied())
    }

    pub fn is_dialling(&self, pool: PoolId) -> bool {
        let Some(server) = self.all.get(&pool) else { return false };
        server.links.iter().any(|c| self.links.get(c).is_some_and(|l| l.state != LinkState::Up))
    }

    /// A link that may be closed to make room for another: doubtful, with nothing out on it.
    pub fn replaceable_link(&self, now: f64, pool: PoolId, timeout: f64) -> Option<ConnectionId> {
        let links = self.all.get(&pool)?.links.iter();
        let replaceable_link = |l: &Link| l.open.is_empty() && (l.retired || l.is_suspect(now, timeout));
        links.filter(|c| self.links.get(c).is_some_and(replaceable_link)).copied().next()
    }
}
