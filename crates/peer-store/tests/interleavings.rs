//! Runs the source of the store's thread on `shuttle`'s threads and channels, which try many interleavings of
//! the owner and the writing thread, with a disk whose writes sometimes fail.

#[path = "../src/thread.rs"]
#[allow(dead_code)]
mod thread;

/// Replaces the standard library's threads and channels in the store's source.
mod sys {
    pub use shuttle::sync::mpsc;
    pub use shuttle::thread;
}

/// Replaces the file by one that records the writes.
#[allow(dead_code)]
mod file {
    use shalespindle_peers::FrontId;
    use shalespindle_replica::{Changes, Snapshot};
    use shuttle::rand::Rng;
    use std::path::Path;
    use std::sync::{Arc, Mutex};

    pub struct CorruptFacts;

    #[derive(Debug, thiserror::Error)]
    pub enum OpenError {
        #[error("{0}")]
        Corrupt(String),
        #[error("{0}")]
        Io(String),
    }

    /// Successful writes: time of the state, and whether it was complete.
    pub type Written = Arc<Mutex<Vec<(f64, bool)>>>;

    pub struct File {
        pub written: Written,
        pub fails: bool,
    }

    impl File {
        pub fn open(_: &Path, _: FrontId) -> Result<(File, Option<Snapshot>, CorruptFacts), OpenError> {
            Err(OpenError::Io("not here".into()))
        }

        pub fn write(&self, changes: &Changes) -> Result<(), String> {
            if self.fails && shuttle::rand::thread_rng().gen_bool(0.3) {
                return Err("disk full".into());
            }
            shuttle::thread::yield_now();
            self.written.lock().unwrap().push((changes.saved_at, changes.complete));
            Ok(())
        }
    }
}

use file::{File, Written};
use shalespindle_replica::{Changes, Cursor, SaveSchedule, StoredIncarnation};
use thread::{Outcome, Store};

/// Runs an owner for `turns` turns on a disk that may fail. With `awaits_outcome` it queues a write only
/// after the outcome of the previous one.
fn run_owner(turns: u32, fails: bool, awaits_outcome: bool) {
    let written = Written::default();
    let file = |written: &Written| File { written: written.clone(), fails };
    let reopened = written.clone();
    let store =
        Store::with_file(file(&written), move || Ok(File { written: reopened.clone(), fails })).unwrap();
    let (mut schedule, mut offered, mut failed) = (SaveSchedule::new(1.0, 0.0), Vec::new(), 0);
    for turn in 0..turns {
        // The time between turns exceeds every backoff.
        let now = f64::from(turn) * 1000.0;
        while let Some(outcome) = store.outcome() {
            match outcome {
                Outcome::Saved { .. } => schedule.saved(now - 999.0),
                Outcome::Failed(_) => {
                    failed += 1;
                    schedule.failed(now - 999.0);
                }
            }
        }
        let due = if awaits_outcome { schedule.start_write(now) } else { Some(false) };
        if let Some(complete) = due {
            let cursor = Cursor { seq: u64::from(turn), floor: 0 };
            let incarnation = StoredIncarnation {
                front: 1,
                incarnation: (1, 1),
                cursor,
                ended: None,
                dropped: false,
                fact_count: 0,
            };
            let changes =
                Changes { complete, incarnations: vec![incarnation], saved_at: now, ..Changes::default() };
            assert!(schedule.should_write(now, &changes));
            let accepted = store.offer(changes);
            assert!(accepted, "a write is accepted after the outcome of the previous one is known");
            offered.push((now, complete));
        }
        shuttle::thread::yield_now();
    }
    // Dropping the store waits for all accepted writes.
    drop(store);
    let written = written.lock().unwrap().clone();
    assert!(written.is_sorted_by(|a, b| a.0 < b.0), "not in order: {written:?}");
    assert!(written.iter().all(|write| offered.contains(write)));
    let lost = offered.len() - written.len();
    assert!(fails || lost == 0, "{offered:?}, written {written:?}");
    // The write after a failed one is complete.
    let mut complete_after_failure = true;
    for (index, write) in offered.iter().enumerate().skip(1) {
        let before = offered[index - 1];
        complete_after_failure &= written.contains(&before) || write.1;
    }
    assert!(complete_after_failure, "{offered:?}, written {written:?}, {failed} failures reported");
}

#[test]
fn writes_are_in_order_and_complete_after_a_failure_in_any_interleaving() {
    shuttle::check_random(|| run_owner(8, true, true), 3000);
    shuttle::check_random(|| run_owner(8, false, true), 1000);
}

#[test]
#[should_panic(expected = "is accepted after the outcome")]
fn an_owner_that_does_not_await_outcomes_is_detected() {
    shuttle::check_random(|| run_owner(8, false, false), 1000);
}
