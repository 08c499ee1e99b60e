//! What passed on the sockets, as each far end saw it, on one monotonic clock.

use std::sync::{Arc, Mutex};

/// A server, by its number in the fleet.
pub type ServerId = usize;
/// A front, by its number in the fleet.
pub type FrontId = usize;

/// One thing that passed, or that the lab did to a front or server.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A caller sent the first copy of its INVITE. `utility` and `target` say what it is worth.
    Asked {
        front: FrontId,
        session: Arc<str>,
        until: f64,
    },
    /// A final answer reached the caller; repeats of it are here too.
    Answered {
        session: Arc<str>,
        status: u16,
        pause: Option<f64>,
    },
    /// The caller sent CANCEL.
    Withdrawn {
        session: Arc<str>,
    },
    /// The caller closed or reset the connection that its set-up came on.
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
    /// A processor fell over.
    Fell {
        server: ServerId,
    },
    /// A processor ended: all it held is lost.
    Stopped {
        server: ServerId,
    },
    /// The feed wrote to a front that this server is ready (or not).
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
    /// It serves: it has answered a test.
    FrontUp {
        front: FrontId,
    },
    FrontKilled {
        front: FrontId,
    },
    /// The lab stopped a front's process, or let it go on.
    FrontStopped {
        front: FrontId,
    },
    FrontGoesOn {
        front: FrontId,
    },
}

/// A time and what passed then.
pub type Entry = (f64, Seen);

/// Entries that are kept together: a trace grows by whole chunks, since moving a long one would hold up
/// every core that adds to it.
const CHUNK: usize = 1 << 14;

/// A trace that several coroutines add to.
#[derive(Clone)]
pub struct Trace(Option<Arc<Mutex<Vec<Vec<Entry>>>>>);

impl Default for Trace {
    fn default() -> Trace {
        Trace(Some(Arc::default()))
    }
}

impl Trace {
    /// Keeps nothing: for measurements of speed.
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
            if chunks.last().is_none_or(|c| c.len() == CHUNK) {
                chunks.push(Vec::with_capacity(CHUNK));
            }
            if let Some(chunk) = chunks.last_mut() {
                chunk.push(entry);
            }
        }
    }

    /// All of it so far, in order of time; entries of equal time keep the order they came in.
    pub fn sorted(&self) -> Vec<Entry> {
        let Some(chunks) = &self.0 else { return Vec::new() };
        let mut entries = chunks.lock().unwrap_or_else(|e| e.into_inner()).concat();
        entries.sort_by(|a, b| a.0.total_cmp(&b.0));
        entries
    }
}
