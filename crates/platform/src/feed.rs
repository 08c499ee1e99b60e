//! Following the control feed: numbered events, each taken once and in order, over connections that break,
//! fall silent and begin again.

use crate::edge::ConnectionId;
use crate::sse::EventStream;
use serde::Deserialize;
use std::net::SocketAddr;

/// A comment comes every second: with nothing heard for this long the stream has stopped.
const SILENCE_TIMEOUT: f64 = 1.7;
/// An event is written whole: one that has come in part and goes on no more has stopped short. Waiting for the
/// silence would hold back what it tells, such as that a server with calls is gone.
const PARTIAL_EVENT_TIMEOUT: f64 = 0.3;
/// A connection that has not come up within this is given up.
pub const DIAL_TIMEOUT: f64 = 0.5;
/// Pauses before the feed is asked again, doubling.
const MIN_PAUSE: f64 = 0.05;
const MAX_PAUSE: f64 = 0.4;

/// One numbered event of the list.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    pub n: u64,
    pub members: Option<Members>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Members {
    /// The whole list, not what has changed.
    pub complete: bool,
    pub members: Vec<Member>,
}

/// One signalling server as the feed writes it; one that is removed may come without the rest.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    pub id: String,
    pub host_port: Option<SocketAddr>,
    #[serde(default)]
    pub cell: u16,
    pub phase: String,
    /// Unix time of a late start, or 0.
    #[serde(default)]
    pub up_since_ms: f64,
}

/// A front's place in the feed.
pub struct Feed {
    pub address: SocketAddr,
    /// Number of the last event taken.
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

    /// A new connection is being made.
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

    /// Takes bytes; hands out the events that are new, in order. False: the stream is of no further use.
    pub fn bytes(&mut self, now: f64, bytes: &[u8], events: &mut Vec<Event>) -> bool {
        self.last_received_at = now;
        let (last_event, pause, mut usable) = (&mut self.last_event, &mut self.pause, true);
        let read = self.stream.push(bytes, |data| {
            match serde_json::from_slice::<Event>(data) {
                // Written twice, or known from the start.
                Ok(event) if event.n <= *last_event => {}
                // After a gap nothing is taken: asking again brings what is missing.
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

    /// The connection is gone, or is of no further use.
    pub fn lost(&mut self, now: f64) {
        self.connection = None;
        self.dial_at = now + self.pause;
        self.pause = (2.0 * self.pause).min(MAX_PAUSE);
    }

    /// Another address tells the rest; at once, since the old one tells nothing more.
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

    /// Whether the feed is to be asked on a new connection now: after a pause or a move, or because it stopped
    /// while its connection stayed open. That connection is the owner's to close.
    pub fn should_reconnect(&self, now: f64) -> bool {
        now >= self.wake_at()
    }

    /// Why it is to be asked anew while its connection stands, in words.
    pub fn close_reason(&self) -> &'static str {
        match self.stream.is_partial() {
            true => "an event that stopped short",
            false => "silent, or moved",
        }
    }

    pub fn is_up(&self) -> bool {
        self.connection.is_some() && self.is_connected
    }
}
