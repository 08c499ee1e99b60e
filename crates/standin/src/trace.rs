//! The trace of a run: messages as the peers of the fronts sent and received them, on one monotonic clock.

use std::sync::{Arc, Mutex};

/// A server, by its number in the fleet.
pub type ServerId = usize;
/// A front, by its number in the fleet.
pub type FrontId = usize;

/// One event: a message sent or received, or an action of the lab on a front or server.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A caller sent the first copy of its INVITE; `until` is the end of its patience.
    Asked {
        front: FrontId,
        session: Arc<str>,
        until: f64,
    },
    /// A final answer reached the caller; retransmissions are recorded too.
    Answered {
        session: Arc<str>,
        status: u16,
        pause: Option<f64>,
    },
    /// The caller sent CANCEL.
    Withdrawn {
        session: Arc<str>,
    },
    /// The caller closed or reset the connection on which it sent its set-up.
    Gone {
        session: Arc<str>,
    },
    /// An INVITE reached a server. `leg` is its Call-ID.
    SetUp {
        server: ServerId,
        front: FrontId,
        session: Arc<str>,
        leg: Arc<str>,
    },
    /// A CANCEL reached a server.
    Cancelled {
        server: ServerId,
        leg: Arc<str>,
    },
    /// A server sent a final answer to an INVITE.
    ServerAnswered {
        server: ServerId,
        leg: Arc<str>,
        status: u16,
    },
    /// An ACK or a BYE reached a server.
    Acknowledged {
        server: ServerId,
        leg: Arc<str>,
    },
    Released {
        server: ServerId,
        leg: Arc<str>,
    },
    /// A server's connection with that leg's front ended.
    Lost {
        server: ServerId,
        leg: Arc<str>,
    },
    Probed {
        server: ServerId,
        front: FrontId,
    },
    /// A processor started: `capacity` is set-ups a second when warm.
    Started {
        server: ServerId,
        cold: bool,
        capacity: f64,
    },
    /// A processor collapsed under overload.
    Fell {
        server: ServerId,
    },
    /// A processor ended: all its calls are lost.
    Stopped {
        server: ServerId,
    },
    /// The pool list reported to a front that this server is ready or not.
    Told {
        front: FrontId,
        server: ServerId,
        ready: bool,
    },
    /// A name server sent a front an answer that names these servers and no others.
    Named {
        front: FrontId,
        servers: Vec<ServerId>,
    },
    /// A front's process was started.
    FrontLaunched {
        front: FrontId,
    },
    /// A front serves: it has answered a probe.
    FrontUp {
        front: FrontId,
    },
    FrontKilled {
        front: FrontId,
    },
    /// The lab stopped a front's process.
    FrontStopped {
        front: FrontId,
    },
    /// The lab continued a stopped front's process.
    FrontGoesOn {
        front: FrontId,
    },
}

/// The time of an event, seconds, and the event.
pub type Entry = (f64, Seen);

/// Entries in one chunk. A trace grows by whole chunks, since reallocating a long vector would block every
/// state machine that adds to it.
const CHUNK_SIZE: usize = 1 << 14;

/// A trace that several coroutines add to.
#[derive(Clone)]
pub struct Trace(Option<Arc<Mutex<Vec<Vec<Entry>>>>>);

impl Default for Trace {
    fn default() -> Trace {
        Trace(Some(Arc::default()))
    }
}

impl Trace {
    /// Returns a trace that discards all entries, for throughput measurements.
    pub fn off() -> Trace {
        Trace(None)
    }

    pub fn add(&self, now: f64, seen: Seen) {
        self.extend([(now, seen)]);
    }

    pub fn extend(&self, entries: impl IntoIterator<Item = Entry>) {
        let Some(chunks) = &self.0 else { return };
        let mut chunks = chunks.lock().unwrap_or_else(|e| e.into_inner());
        for entry in entries {
            if chunks.last().is_none_or(|c| c.len() == CHUNK_SIZE) {
                chunks.push(Vec::with_capacity(CHUNK_SIZE));
            }
            if let Some(chunk) = chunks.last_mut() {
                chunk.push(entry);
            }
        }
    }

    /// Returns all entries so far in order of time; entries of equal time keep the order in which they were
    /// added.
    pub fn sorted(&self) -> Vec<Entry> {
        let Some(chunks) = &self.0 else { return Vec::new() };
        let mut entries = chunks.lock().unwrap_or_else(|e| e.into_inner()).concat();
        entries.sort_by(|a, b| a.0.total_cmp(&b.0));
        entries
    }
}
