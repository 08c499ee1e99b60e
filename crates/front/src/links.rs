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
    Invite(LegRef, Vec<u8>),
    /// A BYE that is worth sending on the next connection too.
    Bye(LegRef, Vec<u8>),
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
    pub last_invites: Vec<LegRef>,
    /// Its server ended a connection that was up, and none has been up since.
    pub lost_by_server: bool,
    /// The last pause before a new connection.
    pub pause: f64,
    /// Legs bound to it, in any state.
    pub legs: usize,
    /// Serial number and time of the probe that is out.
    pub probe: Option<u32>,
    /// What the fleet is told of its server.
    pub observations: ServerObservations,
}

/// What this front sees of a server, for the fleet's judging of sites.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerObservations {
    /// Since when it owes an answer, or a connection.
    pub awaiting_since: Option<f64>,
    /// A connection was asked for at least once.
    pub connect_attempted: bool,
    /// Set-ups that stood there.
    pub established: u64,
    /// Connections that it ended.
    pub lost_connections: u64,
    /// The wait that it told last.
    pub reported_wait: Option<f64>,
    /// What it owed when its connection came up, until it says something or the connection has lasted: what stands
    /// between may take connections for a server that is gone.
    awaited_before_connect: Option<f64>,
    /// When the connection came up.
    connected_at: f64,
}

impl ServerObservations {
    /// Something went out that it is to answer.
    pub fn expect_answer(&mut self, now: f64) {
        self.awaiting_since.get_or_insert(now);
    }

    /// It said something.
    pub fn answered(&mut self) {
        (self.awaiting_since, self.awaited_before_connect) = (None, None);
    }

    /// A connection is up: nothing is owed on it yet.
    pub fn connected(&mut self, now: f64) {
        (self.awaited_before_connect, self.connected_at) = (self.awaiting_since.take(), now);
    }

    /// The connection was lost, or never came up.
    pub fn disconnected(&mut self, now: f64) {
        self.awaiting_since = self.awaited_before_connect.take().or(self.awaiting_since).or(Some(now));
    }

    /// For how long it has owed a word or a connection, where it is to say something within `silent_after`.
    pub fn unanswered_for(&mut self, now: f64, silent_after: f64) -> f64 {
        if now - self.connected_at >= silent_after {
            self.awaited_before_connect = None;
        }
        let since = match (self.awaited_before_connect, self.awaiting_since) {
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
            last_invites: Vec::new(),
            lost_by_server: false,
            pause: 0.0,
            legs: 0,
            probe: None,
            observations: ServerObservations::default(),
        }
    }

    pub fn id(&self, link: usize) -> LinkId {
        LinkId { link, connection: self.connection }
    }

    /// May a frame be queued now: up or on the way, with room.
    pub fn can_queue(&self, max_queued: usize) -> bool {
        !matches!(self.state, LinkState::Down { .. }) && self.queue.len() < max_queued
    }

    /// The pause before the next connection: doubled up to the longest, by `chance` in 0..1 between half
    /// and the whole of it. Guards a server that comes back against all fronts' connections at once.
    pub fn next_backoff(&mut self, least: f64, longest: f64, chance: f64) -> f64 {
        self.pause = (self.pause * 2.0).clamp(least, longest);
        self.pause * (0.5 + 0.5 * chance)
    }

    /// The connection is lost: forgets what is worth nothing on another one.
    pub fn clear_connection_state(&mut self) {
        self.queue.retain(|f| matches!(f, Frame::Bye(..)));
        self.framer = Framer::default();
        self.blocked = false;
        self.last_invites.clear();
        self.probe = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn backoff_doubles_up_to_its_maximum_and_is_randomized() {
        let mut link = Link::new(1, 0, "127.0.0.1:1".parse().unwrap());
        let pauses: Vec<f64> = (0..6).map(|_| link.next_backoff(0.1, 1.0, 1.0)).collect();
        assert_eq!(pauses, [0.1, 0.2, 0.4, 0.8, 1.0, 1.0]);
        assert_eq!(link.next_backoff(0.1, 1.0, 0.0), 0.5);
    }
}
