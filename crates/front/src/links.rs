//! One connection to one server: what waits for its socket, when it is tried again, what may still be
//! taken back. A frame leaves the queue only when the host asks for it and its socket has room, so a set-up
//! that waits here has provably not been sent.

use crate::io::LinkId;
use shalespindle_control::interface::PoolId;
use shalespindle_signalling::Framer;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// A leg, by its place and its serial number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LegRef {
    pub key: usize,
    pub serial: u32,
}

/// What waits for a socket.
#[derive(Clone, Debug)]
pub(crate) enum Frame {
    /// An INVITE; void when its leg is no longer queued.
    SetUp(LegRef, Vec<u8>),
    /// A BYE that is worth sending on the next connection too.
    Release(LegRef, Vec<u8>),
    /// ACK, CANCEL, OPTIONS and answers: worth nothing on another connection.
    Other(Vec<u8>),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LinkState {
    /// Not connected; not tried before.
    Down {
        retry_at: f64,
    },
    Connecting,
    Up,
}

#[derive(Debug)]
pub(crate) struct Link {
    pub pool: PoolId,
    pub number: u16,
    pub address: SocketAddr,
    pub connection: u64,
    pub state: LinkState,
    /// The list last said ready.
    pub ready: bool,
    /// The list names it; else it is closed once nothing is left on it.
    pub listed: bool,
    pub queue: VecDeque<Frame>,
    pub framer: Framer,
    /// The host keeps the rest of the last frame.
    pub blocked: bool,
    /// The set-ups among the last frames that left together.
    pub last_set_ups: Vec<LegRef>,
    /// Its server ended a connection that was up, and none has been up since.
    pub cut_off: bool,
    /// The last pause before a new connection.
    pub pause: f64,
    /// Legs bound to it, in any state.
    pub legs: usize,
    /// Serial number and time of the probe that is out.
    pub probe: Option<u32>,
    /// What the fleet is told of its server.
    pub seen: Seen,
}

/// What this front sees of a server, for the fleet's judging of sites.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Seen {
    /// Since when it owes an answer, or a connection.
    pub owes_since: Option<f64>,
    /// A connection was asked for at least once.
    pub tried: bool,
    /// Set-ups that stood there.
    pub stood: u64,
    /// Connections that it ended.
    pub cuts: u64,
    /// The wait that it told last.
    pub wait: Option<f64>,
    /// What it owed when its connection came up, until it says something or the connection has lasted: what stands
    /// between may take connections for a server that is gone.
    shelved: Option<f64>,
    /// When the connection came up.
    up_at: f64,
}

impl Seen {
    /// Something went out that it is to answer.
    pub fn owes(&mut self, now: f64) {
        self.owes_since.get_or_insert(now);
    }

    /// It said something.
    pub fn spoke(&mut self) {
        (self.owes_since, self.shelved) = (None, None);
    }

    /// A connection is up: nothing is owed on it yet.
    pub fn up(&mut self, now: f64) {
        (self.shelved, self.up_at) = (self.owes_since.take(), now);
    }

    /// The connection was lost, or never came up.
    pub fn down(&mut self, now: f64) {
        self.owes_since = self.shelved.take().or(self.owes_since).or(Some(now));
    }

    /// For how long it has owed a word or a connection, where it is to say something within `silent_after`.
    pub fn owed(&mut self, now: f64, silent_after: f64) -> f64 {
        if now - self.up_at >= silent_after {
            self.shelved = None;
        }
        let since = match (self.shelved, self.owes_since) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        since.map_or(0.0, |since| now - since)
    }
}

impl Link {
    pub fn new(pool: PoolId, number: u16, address: SocketAddr) -> Link {
        Link {
            pool,
            number,
            address,
            connection: 0,
            state: LinkState::Down { retry_at: f64::NEG_INFINITY },
            ready: false,
            listed: true,
            queue: VecDeque::new(),
            framer: Framer::default(),
            blocked: false,
            last_set_ups: Vec::new(),
            cut_off: false,
            pause: 0.0,
            legs: 0,
            probe: None,
            seen: Seen::default(),
        }
    }

    pub fn id(&self, link: usize) -> LinkId {
        LinkId { link, connection: self.connection }
    }

    /// May a frame be queued now: up or on the way, with room.
    pub fn takes(&self, most: usize) -> bool {
        !matches!(self.state, LinkState::Down { .. }) && self.queue.len() < most
    }

    /// The pause before the next connection: doubled up to the longest, by `chance` in 0..1 between half
    /// and the whole of it. Guards a server that comes back against all fronts' connections at once.
    pub fn back_off(&mut self, least: f64, longest: f64, chance: f64) -> f64 {
        self.pause = (self.pause * 2.0).clamp(least, longest);
        self.pause * (0.5 + 0.5 * chance)
    }

    /// The connection is lost: forgets what is worth nothing on another one.
    pub fn lost(&mut self) {
        self.queue.retain(|f| matches!(f, Frame::Release(..)));
        self.framer = Framer::default();
        self.blocked = false;
        self.last_set_ups.clear();
        self.probe = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn back_off_doubles_to_its_longest_and_is_spread() {
        let mut link = Link::new(1, 0, "127.0.0.1:1".parse().unwrap());
        let pauses: Vec<f64> = (0..6).map(|_| link.back_off(0.1, 1.0, 1.0)).collect();
        assert_eq!(pauses, [0.1, 0.2, 0.4, 0.8, 1.0, 1.0]);
        assert_eq!(link.back_off(0.1, 1.0, 0.0), 0.5);
    }
}
