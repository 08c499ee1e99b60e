//! Events of a trial as observed by servers, callers and the process supervisor, on one clock.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

pub type CallId = u64;
pub type FrontId = usize;
pub type ServerId = usize;

/// One observed event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The last byte of a set-up was written to a front; its caller waits for an answer until `until`.
    Requested { call: CallId, front: FrontId, until: f64 },
    /// A final answer arrived. `server` made its description for this call; a 200 without one is unsound.
    Answered { call: CallId, status: u16, server: Option<ServerId> },
    /// The call's connection ended before a final answer.
    ConnectionEnded { call: CallId },
    /// The connection ended just as the set-up was written, with nothing else pending on it: the caller may
    /// send a set-up once more.
    CrossedClose { call: CallId },
    /// The caller cancelled the call or closed its connection.
    CallerLeft { call: CallId },
    /// A caller handed an established call over to a front.
    HandedOver { call: CallId, front: FrontId },
    /// The caller received a release.
    ReleasedToCaller { call: CallId },
    /// The caller sent a BYE.
    EndedByCaller { call: CallId },
    /// A server received a complete set-up.
    SetUp { call: CallId, server: ServerId },
    /// An attempt ended: by the server's message, by the front's release, or with its connection. `unsure`:
    /// the front cannot know whether the attempt is still running.
    AttemptEnded { call: CallId, server: ServerId, unsure: bool },
    /// A call ended at a server that had answered it. `released`: the server could write the release to a
    /// connection.
    CallOver { call: CallId, server: ServerId, released: bool },
    /// Time by which every front must have received the notice that a server accepts no new set-ups.
    ToldToLeave { server: ServerId },
    /// The process was spawned.
    Launched { front: FrontId },
    /// The process answered an OPTIONS request.
    Ready { front: FrontId },
    /// The process was sent SIGTERM.
    Terminated { front: FrontId },
    /// The process was ended with SIGKILL.
    Killed { front: FrontId },
    /// The process exited without SIGKILL; this is a crash unless SIGTERM came before.
    Exited { front: FrontId },
    /// A client sent a malformed or invalid message. `was_turned_away`: it received a refusal, an error or a
    /// close in time.
    BadClient { was_turned_away: bool },
}

/// An event and the time of its observation, seconds since the recorder was created.
pub type Entry = (f64, Event);

/// Collects events from all threads of a trial.
#[derive(Clone)]
pub struct Recorder {
    begin: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder { begin: Instant::now(), entries: Arc::default() }
    }
}

impl Recorder {
    /// Seconds since the recorder was created.
    pub fn now(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    pub fn record(&self, event: Event) {
        self.record_at(self.now(), event);
    }

    pub fn record_at(&self, at: f64, event: Event) {
        locked(&self.entries).push((at, event));
    }

    /// All events in order of time.
    pub fn sorted(&self) -> Vec<Entry> {
        let mut entries = locked(&self.entries).clone();
        entries.sort_by(|a, b| a.0.total_cmp(&b.0));
        entries
    }
}

/// Locks a mutex, ignoring poisoning by a thread that panicked.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
