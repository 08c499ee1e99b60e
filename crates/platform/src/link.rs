//! The signalling servers a front knows and its links to them. Links belong to a server, not to an address:
//! a new server may take the address of one that went.

use crate::edge::ConnectionId;
use crate::lines::Lines;
use crate::releases::TOLD_WITHIN;
use shalespindle_control::interface::{PoolId, UeId};
use shalespindle_control::liveness::{Liveness, ProbeMethod};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Links to one server: it sends its state on so many.
pub const MOST_LINKS: usize = 4;
/// Tests out on one link that are remembered.
const MOST_TESTS: usize = 4;

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
    pub lines: Lines,
    /// Set-ups out on it.
    pub open: Vec<UeId>,
    /// Tests out on it, oldest first.
    tests: VecDeque<u64>,
    pub heard_at: f64,
    /// Since when something that wants an answer has met silence.
    asked_at: Option<f64>,
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
            lines: Lines::default(),
            open: Vec::new(),
            tests: VecDeque::new(),
            heard_at: now,
            asked_at: None,
            retired: false,
            blocked: false,
        }
    }

    pub fn asked(&mut self, now: f64) {
        self.asked_at.get_or_insert(now);
    }

    pub fn test_sent(&mut self, now: f64, id: u64) {
        self.asked(now);
        if self.tests.len() == MOST_TESTS {
            self.tests.pop_front();
        }
        self.tests.push_back(id);
    }

    /// A test came back; those before it will not.
    pub fn test_back(&mut self, id: u64) -> bool {
        let Some(place) = self.tests.iter().position(|t| *t == id) else { return false };
        self.tests.drain(..=place);
        true
    }

    /// A whole line came and has been dealt with; what is still out counts as asked from now on.
    pub fn heard(&mut self, now: f64) {
        self.heard_at = now;
        self.asked_at = (!self.open.is_empty() || !self.tests.is_empty()).then_some(now);
    }

    /// Since when something that wants an answer has met silence on it.
    pub fn unanswered_since(&self) -> Option<f64> {
        self.asked_at
    }

    /// Silent for longer than a new connection would take: it may be dead without a sign.
    pub fn is_doubtful(&self, now: f64, within: f64) -> bool {
        self.asked_at.is_some_and(|at| now - at > within)
    }

    fn is_sound(&self, now: f64, within: f64) -> bool {
        self.state == LinkState::Up && !self.retired && !self.blocked && !self.is_doubtful(now, within)
    }
}

pub struct Server {
    pub id: String,
    pub pool: PoolId,
    pub address: SocketAddr,
    pub number: u16,
    pub started: f64,
    pub phase: Phase,
    pub links: Vec<ConnectionId>,
    /// Setup tries that wait for a link.
    pub waiting: VecDeque<UeId>,
    /// It has said its state first on a link that was made, unasked.
    pub says_state: bool,
    /// It did not, and never has: its next links are up when they are made.
    pub mute: bool,
    /// A test waits for a link.
    pub test_waits: bool,
    /// Releases that wait for a link.
    pub owed: VecDeque<(u64, u16)>,
    /// Pause before the next dial, doubling.
    pub pause: f64,
    pub liveness: Liveness,
    pub standing: usize,
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
    pub asking: ProbeMethod,
}

impl Servers {
    pub fn new(asking: ProbeMethod) -> Servers {
        let (all, by_id, links) = Default::default();
        Servers { all, by_id, links, last: 0, asking }
    }

    pub fn named(&self, id: &str) -> Option<PoolId> {
        self.by_id.get(id).copied()
    }

    pub fn add(&mut self, id: &str, address: SocketAddr, number: u16, started: f64) -> PoolId {
        self.last += 1;
        let pool = self.last;
        self.by_id.insert(id.to_string(), pool);
        let server = Server {
            id: id.to_string(),
            pool,
            address,
            number,
            started,
            phase: Phase::Up,
            links: Vec::new(),
            waiting: VecDeque::new(),
            says_state: false,
            mute: false,
            test_waits: false,
            owed: VecDeque::new(),
            pause: 0.0,
            liveness: Liveness::new(TOLD_WITHIN, self.asking),
            standing: 0,
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
    pub fn best_link(&self, now: f64, pool: PoolId, within: f64) -> Option<ConnectionId> {
        let links = self.all.get(&pool)?.links.iter();
        let sound = links.filter(|w| self.links.get(w).is_some_and(|l| l.is_sound(now, within)));
        sound.min_by_key(|w| self.links[w].open.len()).copied()
    }

    /// Any link that is up, for what need not be answered.
    pub fn any_link(&self, now: f64, pool: PoolId, within: f64) -> Option<ConnectionId> {
        let up = |w: &&ConnectionId| self.links.get(w).is_some_and(|l| l.state == LinkState::Up);
        self.best_link(now, pool, within)
            .or_else(|| self.all.get(&pool)?.links.iter().rev().find(up).copied())
    }

    pub fn is_dialling(&self, pool: PoolId) -> bool {
        let Some(server) = self.all.get(&pool) else { return false };
        server.links.iter().any(|w| self.links.get(w).is_some_and(|l| l.state != LinkState::Up))
    }

    /// A link that may be closed to make room for another: doubtful, with nothing out on it.
    pub fn spare(&self, now: f64, pool: PoolId, within: f64) -> Option<ConnectionId> {
        let links = self.all.get(&pool)?.links.iter();
        let spare = |l: &Link| l.open.is_empty() && (l.retired || l.is_doubtful(now, within));
        links.filter(|w| self.links.get(w).is_some_and(spare)).copied().next()
    }
}
