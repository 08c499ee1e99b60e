//! What happened in a trial, as those around the fronts saw it, on one clock.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

pub type CallId = u64;
pub type FrontId = usize;
pub type ServerId = usize;

/// One thing that was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The last byte of a set-up was written to a front, whose caller waits until then.
    Requested {
        call: CallId,
        front: FrontId,
        until: f64,
    },
    /// A final answer came; `sound` is false for one that says served with something that no server made for it.
    Answered {
        call: CallId,
        status: u16,
        sound: bool,
    },
    /// Its connection ended before a final answer.
    ConnectionEnded {
        call: CallId,
    },
    /// Its connection ended just as it was written, with nothing else open on it: it may be sent once more.
    CrossedClose {
        call: CallId,
    },
    /// Its caller cancelled it, or closed its connection.
    CallerLeft {
        call: CallId,
    },
    /// A caller told a front of a call that stands.
    HandedOver {
        call: CallId,
        front: FrontId,
    },
    /// A release came to the caller.
    ReleasedToCaller {
        call: CallId,
    },
    EndedByCaller {
        call: CallId,
    },
    /// A set-up arrived whole at a server.
    SetUp {
        call: CallId,
        server: ServerId,
    },
    /// That attempt ended: by the server's word, by the front's, or with its connection. `unsure`: it may still run.
    AttemptEnded {
        call: CallId,
        server: ServerId,
        unsure: bool,
    },
    /// A call that its server had answered is over there. `released`: its server could write its release.
    CallOver {
        call: CallId,
        released: bool,
    },
    /// By now every front counts as told that a server takes nothing new.
    ToldToLeave {
        server: ServerId,
    },
    Launched {
        front: FrontId,
    },
    Ready {
        front: FrontId,
    },
    /// SIGTERM.
    Terminated {
        front: FrontId,
    },
    /// SIGKILL.
    Killed {
        front: FrontId,
    },
    /// It ended by itself; after SIGTERM that is no crash.
    Exited {
        front: FrontId,
    },
    /// A client that sends what cannot be used had a refusal, an error or a close, or not, by the time it is owed one.
    BadClient {
        was_turned_away: bool,
    },
}

/// An event and when it was seen, seconds since the trial's begin.
pub type Entry = (f64, Event);

/// Takes events from all threads of a trial.
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
    pub fn now(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    pub fn record(&self, event: Event) {
        self.record_at(self.now(), event);
    }

    pub fn record_at(&self, at: f64, event: Event) {
        locked(&self.entries).push((at, event));
    }

    /// All that was seen, in order of time.
    pub fn sorted(&self) -> Vec<Entry> {
        let mut entries = locked(&self.entries).clone();
        entries.sort_by(|a, b| a.0.total_cmp(&b.0));
        entries
    }
}

/// The value behind a lock; a thread that panicked with it does not matter here.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
