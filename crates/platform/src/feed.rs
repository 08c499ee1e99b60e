//! Follows the feed of server lists: numbered events, each applied once and in order, across connections that
//! break, fall silent or start again.
//!
//! A request that is overdue is not given up, because the next one would wait from the beginning again: a
//! second request is made beside it, and the one that comes further first is followed.

use crate::edge::ConnectionId;
use crate::feed_request::{FeedRequest, Stage, DIAL_TIMEOUT};
use serde::Deserialize;
use std::net::SocketAddr;

/// Time limit of a dial beside which others are made, seconds. A connection may be slow to come up, and
/// dialling anew would wait from the beginning again.
const FIRST_DIAL_TIMEOUT: f64 = 4.0;
/// Pauses before the feed is dialled again, seconds; each is twice the previous one.
const MIN_PAUSE: f64 = 0.05;
const MAX_PAUSE: f64 = 0.4;

/// One numbered event of the feed.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    pub n: u64,
    pub members: Option<Members>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Members {
    /// Whether this is the whole list rather than the changes to it.
    pub complete: bool,
    pub members: Vec<Member>,
}

/// One signalling server as written by the feed; a removed one may come without the other fields.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    pub id: String,
    pub host_port: Option<SocketAddr>,
    #[serde(default)]
    pub cell: u16,
    pub phase: String,
    /// Unix time in milliseconds at which the server started, or 0 if it has run for long.
    #[serde(default)]
    pub up_since_ms: f64,
}

/// A connection of the feed that the host has to close, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedRequest {
    pub connection: ConnectionId,
    pub reason: &'static str,
}

/// What bytes of the feed lead to.
#[derive(Debug, Default)]
pub struct FeedInput {
    /// The new events, in order.
    pub events: Vec<Event>,
    pub closed: Vec<ClosedRequest>,
    /// Time from the request to the head of its response, seconds, if the head is now complete.
    pub responded_after: Option<f64>,
}

/// The state of a front's requests to the feed.
pub struct Feed {
    pub address: SocketAddr,
    /// Number of the last event applied.
    pub last_event: u64,
    current: Option<FeedRequest>,
    /// A request made beside an overdue one.
    second: Option<FeedRequest>,
    /// Earliest time of the next dial.
    dial_at: f64,
    pause: f64,
}

impl Feed {
    pub fn new(address: SocketAddr, now: f64) -> Feed {
        Feed { address, last_event: 0, current: None, second: None, dial_at: now, pause: MIN_PAUSE }
    }

    /// The connections of all requests.
    pub fn connections(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        self.current.iter().chain(&self.second).map(|request| request.connection)
    }

    /// Whether the connection belongs to the feed.
    pub fn owns(&self, connection: ConnectionId) -> bool {
        self.connections().any(|own| own == connection)
    }

    /// Whether the connection is established and the request was sent on it.
    pub fn is_requested_on(&self, connection: ConnectionId) -> bool {
        let mut requests = self.current.iter().chain(&self.second);
        requests.any(|request| request.connection == connection && request.stage() > Stage::Dialled)
    }

    /// A new connection is being dialled; returns the time limit of the dial, seconds.
    pub fn dialled(&mut self, now: f64, connection: ConnectionId) -> f64 {
        let request = FeedRequest::dialled(now, connection);
        if self.current.is_none() {
            self.current = Some(request);
            FIRST_DIAL_TIMEOUT
        } else {
            self.second = Some(request);
            DIAL_TIMEOUT
        }
    }

    /// A connection is established; returns the request to write on it, and a connection that is not needed
    /// any more.
    pub fn connected(&mut self, now: f64, connection: ConnectionId) -> (Vec<u8>, Option<ClosedRequest>) {
        if let Some(request) = self.request_mut(connection) {
            request.sent(now);
        }
        let closed = self.settle(connection, false);
        let (address, last_event) = (self.address, self.last_event);
        let request = format!(
            "GET /v1/events HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\nLast-Event-ID: {last_event}\r\n\r\n"
        );
        (request.into_bytes(), closed)
    }

    /// Parses bytes of a response.
    pub fn bytes(&mut self, now: f64, connection: ConnectionId, bytes: &[u8]) -> FeedInput {
        let mut input = FeedInput::default();
        let (mut last_event, mut usable) = (self.last_event, true);
        let Some(request) = self.request_mut(connection) else { return input };
        let stage_before = request.stage();
        let read = request.receive(now, bytes, |data| {
            match serde_json::from_slice::<Event>(data) {
                // A repeated event, or one known from the start file.
                Ok(event) if event.n <= last_event => {}
                // After a gap nothing more is applied: the next connection brings the missing events.
                Ok(event) if usable && event.n == last_event + 1 => {
                    last_event = event.n;
                    input.events.push(event);
                }
                _ => usable = false,
            }
        });
        if stage_before < request.stage() {
            input.responded_after = Some(request.age(now));
        }
        let has_advanced = last_event > self.last_event;
        if has_advanced {
            (self.last_event, self.pause) = (last_event, MIN_PAUSE);
        }
        if usable && read.is_ok() {
            input.closed.extend(self.settle(connection, has_advanced));
        } else {
            self.lost(now, connection);
            input.closed.push(ClosedRequest { connection, reason: "gap or unreadable event" });
        }
        input
    }

    /// Drops one of two requests after input on `connection`, if the other serves as well.
    fn settle(&mut self, connection: ConnectionId, has_advanced: bool) -> Option<ClosedRequest> {
        let (current, second) = (self.current.as_ref()?, self.second.as_ref()?);
        if connection == current.connection {
            let dropped = self.second.take_if(|_| !current.is_partial())?;
            let reason = "the earlier request goes on";
            return Some(ClosedRequest { connection: dropped.connection, reason });
        }
        let is_further = second.stage() > current.stage();
        let is_equal = second.stage() == Stage::Streaming && !current.is_within_event();
        if has_advanced || is_further || is_equal {
            return self.follow_second(current.overdue_reason());
        }
        None
    }

    /// Makes the second request the current one and drops the other.
    fn follow_second(&mut self, reason: &'static str) -> Option<ClosedRequest> {
        let dropped = std::mem::replace(&mut self.current, self.second.take())?;
        Some(ClosedRequest { connection: dropped.connection, reason })
    }

    fn request_mut(&mut self, connection: ConnectionId) -> Option<&mut FeedRequest> {
        self.current.iter_mut().chain(&mut self.second).find(|request| request.connection == connection)
    }

    /// A connection ended or was dropped.
    pub fn lost(&mut self, now: f64, connection: ConnectionId) {
        if self.second.take_if(|second| second.connection == connection).is_none() {
            self.current = self.second.take();
        }
        self.dial_at = now + self.pause;
        self.pause = (2.0 * self.pause).min(MAX_PAUSE);
    }

    /// The feed continues at another address, which is dialled at once because the old one sends nothing more;
    /// returns the connections to close. Nothing changes if the address is the same.
    pub fn address_changed(&mut self, now: f64, address: SocketAddr) -> Vec<ClosedRequest> {
        if address == self.address {
            return Vec::new();
        }
        self.address = address;
        self.pause = MIN_PAUSE;
        self.dial_at = now;
        let requests = self.current.take().into_iter().chain(self.second.take());
        let closed = |r: FeedRequest| ClosedRequest { connection: r.connection, reason: "address changed" };
        requests.map(closed).collect()
    }

    /// The latest time at which the feed must be polled.
    pub fn wake_at(&self) -> f64 {
        match (&self.current, &self.second) {
            (None, _) => self.dial_at,
            (Some(current), None) => self.dial_at.max(current.overdue_at()),
            (Some(_), Some(second)) => second.expires_at(),
        }
    }

    /// Drops one of two overdue requests, so that a new one can be made: the second one, unless both receive
    /// events and the first has been silent for longer.
    pub fn drop_overdue(&mut self, now: f64) -> Option<ClosedRequest> {
        let (current, second) = (self.current.as_ref()?, self.second.as_ref()?);
        if now < second.expires_at() {
            return None;
        }
        let first_is_older = current.stage() == Stage::Streaming && current.active_at() < second.active_at();
        if first_is_older && second.stage() == Stage::Streaming {
            return self.follow_second(current.overdue_reason());
        }
        let dropped = ClosedRequest { connection: second.connection, reason: second.overdue_reason() };
        self.lost(now, dropped.connection);
        Some(dropped)
    }

    /// Whether to dial the feed now. Returns why, for the log, if there is a request already.
    pub fn dial_due(&self, now: f64) -> Option<Option<&'static str>> {
        let is_due = self.second.is_none() && now >= self.wake_at();
        is_due.then(|| self.current.as_ref().map(FeedRequest::overdue_reason))
    }

    /// Whether events are received as they are published, as far as the front can tell.
    pub fn is_followed(&self, now: f64) -> bool {
        let mut requests = self.current.iter().chain(&self.second);
        requests.any(|r| r.stage() == Stage::Streaming && now < r.overdue_at())
    }
}
