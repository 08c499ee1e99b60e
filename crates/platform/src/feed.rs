//! Following the control feed: numbered events, each taken once and in order, over connections that break,
//! fall silent and begin again.

use crate::edge::ConnectionId;
use crate::sse::Events;
use serde::Deserialize;
use std::net::SocketAddr;

/// A comment comes every second: with nothing heard for this long the stream has stopped.
const SILENT: f64 = 1.7;
/// An event is written whole: one that has come in part and goes on no more has stopped short. Waiting for the
/// silence would hold back what it tells, such as that a server with calls is gone.
const STOPPED_SHORT: f64 = 0.3;
/// A connection that has not come up within this is given up.
pub const DIAL_WITHIN: f64 = 0.5;
/// Pauses before the feed is asked again, doubling.
const FIRST_PAUSE: f64 = 0.05;
const LONGEST_PAUSE: f64 = 0.4;

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
    pub to: SocketAddr,
    /// Number of the last event taken.
    pub taken: u64,
    pub connection: Option<ConnectionId>,
    up: bool,
    events: Events,
    heard_at: f64,
    ask_at: f64,
    pause: f64,
}

impl Feed {
    pub fn new(to: SocketAddr, now: f64) -> Feed {
        Feed {
            to,
            taken: 0,
            connection: None,
            up: false,
            events: Events::default(),
            heard_at: now,
            ask_at: now,
            pause: FIRST_PAUSE,
        }
    }

    /// A new connection is being made.
    pub fn asked(&mut self, now: f64, connection: ConnectionId) {
        self.connection = Some(connection);
        self.up = false;
        self.events = Events::default();
        self.heard_at = now;
        self.ask_at = f64::INFINITY;
    }

    pub fn connected(&mut self, now: f64) -> Vec<u8> {
        self.up = true;
        self.heard_at = now;
        let (to, taken) = (self.to, self.taken);
        format!(
            "GET /v1/events HTTP/1.1\r\nHost: {to}\r\nAccept: text/event-stream\r\nLast-Event-ID: {taken}\r\n\r\n"
        )
        .into_bytes()
    }

    /// Takes bytes; hands out the events that are new, in order. False: the stream is of no further use.
    pub fn bytes(&mut self, now: f64, bytes: &[u8], news: &mut Vec<Event>) -> bool {
        self.heard_at = now;
        let (taken, pause, mut good) = (&mut self.taken, &mut self.pause, true);
        let read = self.events.push(bytes, |data| {
            match serde_json::from_slice::<Event>(data) {
                // Written twice, or known from the start.
                Ok(event) if event.n <= *taken => {}
                // After a gap nothing is taken: asking again brings what is missing.
                Ok(event) if good && event.n == *taken + 1 => {
                    *taken = event.n;
                    *pause = FIRST_PAUSE;
                    news.push(event);
                }
                _ => good = false,
            }
        });
        good && read.is_ok()
    }

    /// The connection is gone, or is of no further use.
    pub fn lost(&mut self, now: f64) {
        self.connection = None;
        self.ask_at = now + self.pause;
        self.pause = (2.0 * self.pause).min(LONGEST_PAUSE);
    }

    /// Another address tells the rest; at once, since the old one tells nothing more.
    pub fn moved(&mut self, now: f64, to: SocketAddr) {
        self.to = to;
        self.pause = FIRST_PAUSE;
        self.ask_at = now;
    }

    pub fn due(&self) -> f64 {
        let patience = if self.is_up() && self.events.is_partial() { STOPPED_SHORT } else { SILENT };
        let silent = if self.connection.is_some() { self.heard_at + patience } else { f64::INFINITY };
        self.ask_at.min(silent)
    }

    /// Whether the feed is to be asked on a new connection now: after a pause or a move, or because it stopped
    /// while its connection stayed open. That connection is the owner's to close.
    pub fn asks(&self, now: f64) -> bool {
        now >= self.due()
    }

    /// Why it is to be asked anew while its connection stands, in words.
    pub fn why_left(&self) -> &'static str {
        match self.events.is_partial() {
            true => "an event that stopped short",
            false => "silent, or moved",
        }
    }

    pub fn is_up(&self) -> bool {
        self.connection.is_some() && self.up
    }
}
