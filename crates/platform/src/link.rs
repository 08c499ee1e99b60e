//! The signalling servers known to a front and its links to them. Links belong to a server and not to an
//! address, because a new server may take the address of a removed one.

use crate::edge::ConnectionId;
use crate::lines::LineFramer;
use crate::releases::RELEASE_LIFETIME;
use shalespindle_control::interface::{PoolId, UeId};
use shalespindle_control::liveness::{Liveness, ProbeMethod};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Limit of links to one server; each server sends its state on this many.
pub const MAX_LINKS: usize = 4;
/// Limit of unanswered probes remembered on one link.
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
    /// The connection is established, but the server has not announced its state, which it sends first. A
    /// machine may accept connections on behalf of a process that does not respond.
    Made,
    Up,
}

pub struct Link {
    pub pool: PoolId,
    pub dialled_at: f64,
    /// When the first line was received.
    pub up_at: f64,
    pub state: LinkState,
    pub lines: LineFramer,
    /// Attaches whose current setup try is out on the link.
    pub open: Vec<UeId>,
    /// Unanswered probes, oldest first.
    probes: VecDeque<u64>,
    pub last_received_at: f64,
    /// Since when a request sent on the link has been waiting for any response.
    awaiting_since: Option<f64>,
    /// Takes no new set-ups and is closed once no set-up is out on it.
    pub retired: bool,
    /// The server does not read, so writes are queued in the front's memory.
    pub blocked: bool,
}

impl Link {
    pub fn new(now: f64, pool: PoolId) -> Link {
        Link {
            pool,
            dialled_at: now,
            up_at: f64::INFINITY,
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

    /// Earliest time at which a process may have accepted the connection, by what the front knows.
    pub fn process_known_since(&self) -> f64 {
        if self.state == LinkState::Up {
            self.up_at
        } else {
            self.dialled_at
        }
    }

    /// Records that a request was sent which expects a response.
    pub fn request_sent(&mut self, now: f64) {
        self.awaiting_since.get_or_insert(now);
    }

    /// Records a probe that was sent.
    pub fn probe_sent(&mut self, now: f64, id: u64) {
        self.request_sent(now);
        if self.probes.len() == MAX_PROBES {
            self.probes.pop_front();
        }
        self.probes.push_back(id);
    }

    /// Removes an answered probe and those before it; false if the probe is unknown.
    pub fn take_probe(&mut self, id: u64) -> bool {
        let Some(position) = self.probes.iter().position(|t| *t == id) else { return false };
        self.probes.drain(..=position);
        true
    }

    /// A whole line has been received and handled; remaining requests count as sent now.
    pub fn line_received(&mut self, now: f64) {
        self.last_received_at = now;
        self.awaiting_since = (!self.open.is_empty() || !self.probes.is_empty()).then_some(now);
    }

    /// Since when a request sent on the link has been waiting for any response.
    pub fn unanswered_since(&self) -> Option<f64> {
        self.awaiting_since
    }

    /// Whether the link has been silent for longer than a new connection would take: it may be broken without
    /// a notice.
    pub fn is_suspect(&self, now: f64, timeout: f64) -> bool {
        self.awaiting_since.is_some_and(|at| now - at > timeout)
    }

    /// Whether new set-ups may be sent on the link.
    fn is_usable(&self, now: f64, timeout: f64) -> bool {
        self.state == LinkState::Up && !self.retired && !self.blocked && !self.is_suspect(now, timeout)
    }
}

pub struct Server {
    pub id: String,
    pub pool: PoolId,
    pub address: SocketAddr,
    /// Pool number in the deployment, which a successor keeps.
    pub number: u16,
    pub started_at: f64,
    pub phase: Phase,
    pub links: Vec<ConnectionId>,
    /// Setup tries that wait for a link.
    pub waiting: VecDeque<UeId>,
    /// The server has announced its state unprompted on a connected link.
    pub has_announced_state: bool,
    /// The server has not announced its state on any link: its next links count as up once they are
    /// connected.
    pub does_not_announce: bool,
    /// A probe waits for a link.
    pub probe_pending: bool,
    /// When a link ended on which the server may have sent a release: it repeats it on the next connection that
    /// opens.
    pub release_missed_at: Option<f64>,
    /// Releases that wait for a link, as call id and cause.
    pub queued_releases: VecDeque<(u64, u16)>,
    /// Pause before the next dial, seconds; doubles with each failed dial.
    pub pause: f64,
    pub liveness: Liveness,
    /// Number of calls established at the server.
    pub established: usize,
    /// When the server was removed from the list.
    pub removed_at: f64,
    /// The server listed later at the same address: this one has gone, and the remaining links of its entry
    /// lead to the successor's process.
    pub successor: Option<PoolId>,
}

impl Server {
    /// Whether a link is to be dialled even if no set-up waits for one: there is none, or a release was missed
    /// that the server repeats on the next one.
    pub fn lacks_link(&self) -> bool {
        let has_calls = self.established > 0 || !self.queued_releases.is_empty();
        let is_wanted = self.phase == Phase::Up || self.phase == Phase::Draining && has_calls;
        let misses_release = self.release_missed_at.is_some() && self.established > 0;
        is_wanted && (self.links.is_empty() || misses_release)
    }
}

/// Servers by their pool id, and links by connection.
pub struct Servers {
    pub all: BTreeMap<PoolId, Server>,
    by_id: BTreeMap<String, PoolId>,
    pub links: BTreeMap<ConnectionId, Link>,
    last: PoolId,
    /// How a silent server is probed.
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
            has_announced_state: false,
            does_not_announce: false,
            probe_pending: false,
            release_missed_at: None,
            queued_releases: VecDeque::new(),
            pause: 0.0,
            liveness: Liveness::new(RELEASE_LIFETIME, self.probe_method),
            established: 0,
            removed_at: 0.0,
            successor: None,
        };
        self.all.insert(pool, server);
        pool
    }

    /// Returns the pool id of the entry added last.
    pub fn last_pool(&self) -> PoolId {
        self.last
    }

    pub fn forget(&mut self, pool: PoolId) {
        if let Some(server) = self.all.remove(&pool) {
            self.by_id.remove(&server.id);
        }
    }

    /// Returns the usable link with the fewest set-ups out, so that a broken link affects few of them.
    pub fn best_link(&self, now: f64, pool: PoolId, timeout: f64) -> Option<ConnectionId> {
        let links = self.all.get(&pool)?.links.iter();
        let sound = links.filter(|c| self.links.get(c).is_some_and(|l| l.is_usable(now, timeout)));
        sound.min_by_key(|c| self.links[c].open.len()).copied()
    }

    /// Returns a link that is up, for messages that need no response.
    pub fn any_link(&self, now: f64, pool: PoolId, timeout: f64) -> Option<ConnectionId> {
        let up = |c: &&ConnectionId| self.links.get(c).is_some_and(|l| l.state == LinkState::Up);
        self.best_link(now, pool, timeout)
            .or_else(|| self.all.get(&pool)?.links.iter().rev().find(up).copied())
    }

    pub fn is_dialling(&self, pool: PoolId) -> bool {
        let Some(server) = self.all.get(&pool) else { return false };
        server.links.iter().any(|c| self.links.get(c).is_some_and(|l| l.state != LinkState::Up))
    }

    /// Returns a link that may be closed in favour of another: retired or silent for too long, with no set-up
    /// out.
    pub fn replaceable_link(&self, now: f64, pool: PoolId, timeout: f64) -> Option<ConnectionId> {
        let links = self.all.get(&pool)?.links.iter();
        let replaceable_link = |l: &Link| l.open.is_empty() && (l.retired || l.is_suspect(now, timeout));
        links.filter(|c| self.links.get(c).is_some_and(replaceable_link)).copied().next()
    }
}
