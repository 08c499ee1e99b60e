//! The connection to one server: its queue of frames, reconnects and observations for the fleet. A frame
//! leaves the queue only when the host pulls it and the socket accepts writes, so a set-up that is queued
//! here has provably not been sent and can be withdrawn.

use crate::io::LinkId;
use shalespindle_control::interface::PoolId;
use shalespindle_signalling::Framer;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// A leg, by its slab key and its serial number. Keys are reused, serial numbers tell the legs apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LegRef {
    pub key: usize,
    pub serial: u32,
}

/// A frame that waits for a socket.
#[derive(Clone, Debug)]
pub(crate) enum Frame {
    /// An INVITE; skipped if its leg is no longer queued.
    Invite(LegRef, Vec<u8>),
    /// A BYE; it is kept for the next connection when this one is lost.
    Bye(LegRef, Vec<u8>),
    /// ACK, CANCEL, OPTIONS and answers; they are meaningless on another connection.
    Other(Vec<u8>),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LinkState {
    /// Not connected, and no attempt before `retry_at`.
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
    /// The server is in service and not excluded: set-ups may be sent.
    pub ready: bool,
    /// A source of servers still names it. Otherwise the link is closed when its last leg is gone.
    pub listed: bool,
    pub queue: VecDeque<Frame>,
    pub framer: Framer,
    /// The host buffers the rest of the last write.
    pub blocked: bool,
    /// The INVITEs in the last write.
    pub last_invites: Vec<LegRef>,
    /// The server ended a connection that was up, and none has been up since.
    pub lost_by_server: bool,
    /// Upper bound of the last pause before a reconnect, seconds; doubled by each failure.
    pub pause: f64,
    /// Number of legs on this link, in any stage.
    pub legs: usize,
    /// Serial number of the unanswered probe.
    pub probe: Option<u32>,
    pub observations: ServerObservations,
}

/// This front's observations of a server, from which the fleet evaluates sites.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerObservations {
    /// Since when an answer or a connection has been awaited.
    pub awaiting_since: Option<f64>,
    /// A connection was attempted at least once.
    pub connect_attempted: bool,
    /// Number of attaches established there.
    pub established: u64,
    /// Number of connections that the server ended.
    pub lost_connections: u64,
    /// The processor wait that it reported last, seconds.
    pub reported_wait: Option<f64>,
    /// `awaiting_since` from before the connection came up, kept until the server sends something or the
    /// connection has lasted for `silent_after`: a middlebox may accept connections for a server that is
    /// gone.
    awaited_before_connect: Option<f64>,
    /// When the connection came up.
    connected_at: f64,
}

impl ServerObservations {
    /// Something that the server must answer was sent.
    pub fn expect_answer(&mut self, now: f64) {
        self.awaiting_since.get_or_insert(now);
    }

    /// The server sent something.
    pub fn answered(&mut self) {
        (self.awaiting_since, self.awaited_before_connect) = (None, None);
    }

    /// A connection came up; nothing is awaited on it yet.
    pub fn connected(&mut self, now: f64) {
        (self.awaited_before_connect, self.connected_at) = (self.awaiting_since.take(), now);
    }

    /// The connection was lost, or never came up.
    pub fn disconnected(&mut self, now: f64) {
        self.awaiting_since = self.awaited_before_connect.take().or(self.awaiting_since).or(Some(now));
    }

    /// Seconds for which an answer or a connection has been awaited. A connection that has been up for
    /// `silent_after` ends the wait from before it.
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

    /// Whether a frame can be queued: the link is up or connecting, and the queue is not full.
    pub fn can_queue(&self, max_queued: usize) -> bool {
        !matches!(self.state, LinkState::Down { .. }) && self.queue.len() < max_queued
    }

    /// Returns the pause before the next connection, seconds. Its upper bound doubles from `min` to `max`;
    /// `random` in 0..1 places the pause between half of the bound and the whole. This keeps all fronts from
    /// reconnecting at once to a server that has returned.
    pub fn next_backoff(&mut self, min: f64, max: f64, random: f64) -> f64 {
        self.pause = (self.pause * 2.0).clamp(min, max);
        self.pause * (0.5 + 0.5 * random)
    }

    /// The connection was lost: drops all state that is meaningless on another one.
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
