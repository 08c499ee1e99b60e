//! Follows the feed of server lists: numbered events, each applied once and in order, across connections that
//! break, fall silent or start again.

use crate::edge::ConnectionId;
use crate::sse::EventStream;
use serde::Deserialize;
use std::net::SocketAddr;

/// The feed sends a comment every second; after this time without input the stream counts as stopped,
/// seconds.
const SILENCE_TIMEOUT: f64 = 1.7;
/// Time for the rest of a partly received event, seconds. Events are written whole, so a pause means that the
/// stream has stopped. Waiting for the silence timeout would delay the event's content, such as the removal
/// of a server with calls.
const PARTIAL_EVENT_TIMEOUT: f64 = 0.3;
/// Time limit for a connection to the feed, seconds.
pub const DIAL_TIMEOUT: f64 = 0.5;
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

/// The state of a front's connection to the feed.
pub struct Feed {
    pub address: SocketAddr,
    /// Number of the last event applied.
    pub last_event: u64,
    pub connection: Option<ConnectionId>,
    is_connected: bool,
    stream: EventStream,
    last_received_at: f64,
    dial_at: f64,
    pause: f64,
}

impl Feed {
    pub fn new(address: SocketAddr, now: f64) -> Feed {
        Feed {
            address,
            last_event: 0,
            connection: None,
            is_connected: false,
            stream: EventStream::default(),
            last_received_at: now,
            dial_at: now,
            pause: MIN_PAUSE,
        }
    }

    /// A new connection is being dialled.
    pub fn dialled(&mut self, now: f64, connection: ConnectionId) {
        self.connection = Some(connection);
        self.is_connected = false;
        self.stream = EventStream::default();
        self.last_received_at = now;
        self.dial_at = f64::INFINITY;
    }

    pub fn connected(&mut self, now: f64) -> Vec<u8> {
        self.is_connected = true;
        self.last_received_at = now;
        let (address, last_event) = (self.address, self.last_event);
        format!(
            "GET /v1/events HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\nLast-Event-ID: {last_event}\r\n\r\n"
        )
        .into_bytes()
    }

    /// Parses bytes and appends the new events in order; false if the stream must be dropped.
    pub fn bytes(&mut self, now: f64, bytes: &[u8], events: &mut Vec<Event>) -> bool {
        self.last_received_at = now;
        let (last_event, pause, mut usable) = (&mut self.last_event, &mut self.pause, true);
        let read = self.stream.push(bytes, |data| {
            match serde_json::from_slice::<Event>(data) {
                // A repeated event, or one known from the start file.
                Ok(event) if event.n <= *last_event => {}
                // After a gap nothing more is applied: the next connection brings the missing events.
                Ok(event) if usable && event.n == *last_event + 1 => {
                    *last_event = event.n;
                    *pause = MIN_PAUSE;
                    events.push(event);
                }
                _ => usable = false,
            }
        });
        usable && read.is_ok()
    }

    /// The connection ended or was dropped.
    pub fn lost(&mut self, now: f64) {
        self.connection = None;
        self.dial_at = now + self.pause;
        self.pause = (2.0 * self.pause).min(MAX_PAUSE);
    }

    /// The feed continues at another address; it is dialled at once because the old address sends nothing
    /// more.
    pub fn address_changed(&mut self, now: f64, address: SocketAddr) {
        self.address = address;
        self.pause = MIN_PAUSE;
        self.dial_at = now;
    }

    pub fn wake_at(&self) -> f64 {
        let patience =
            if self.is_up() && self.stream.is_partial() { PARTIAL_EVENT_TIMEOUT } else { SILENCE_TIMEOUT };
        let silent = if self.connection.is_some() { self.last_received_at + patience } else { f64::INFINITY };
        self.dial_at.min(silent)
    }

    /// Whether to dial the feed now: after a pause, after a change of address, or because the stream stopped
    /// on an open connection. The caller closes that connection.
    pub fn should_reconnect(&self, now: f64) -> bool {
        now >= self.wake_at()
    }

    /// Why the feed is dialled again although its connection is open, for the log.
    pub fn close_reason(&self) -> &'static str {
        match self.stream.is_partial() {
            true => "stopped within an event",
            false => "silent, or address changed",
        }
    }

    pub fn is_up(&self) -> bool {
        self.connection.is_some() && self.is_connected
    }
}
