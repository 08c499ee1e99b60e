//! The thread's own code with `shuttle`'s threads and channels in place of the system's: every step that an owner hands
//! over, in many orders of what both do, with a disk that fails at times.

#[path = "../src/thread.rs"]
#[allow(dead_code)]
mod thread;

/// What the thread's code finds in place of the system's.
mod sys {
    pub use shuttle::sync::mpsc;
    pub use shuttle::thread;
}

/// A disk that remembers the steps that it was given.
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

    /// Steps that were written, by when they were right, and whether they were whole.
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
                return Err("no room".into());
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

/// An owner of so many turns; `heeds`: it waits for what became of a step before it hands the next over.
fn owner(turns: u32, fails: bool, heeds: bool) {
    let written = Written::default();
    let file = |written: &Written| File { written: written.clone(), fails };
    let again = written.clone();
    let store = Store::with_file(file(&written), move || Ok(File { written: again.clone(), fails })).unwrap();
    let (mut keeping, mut offered, mut failed) = (SaveSchedule::new(1.0, 0.0), Vec::new(), 0);
    for turn in 0..turns {
        // Long enough for every pause to be over.
        let now = f64::from(turn) * 1000.0;
        while let Some(outcome) = store.outcome() {
            match outcome {
                Outcome::Saved { .. } => keeping.saved(now - 999.0),
                Outcome::Failed(_) => {
                    failed += 1;
                    keeping.failed(now - 999.0);
                }
            }
        }
        let due = if heeds { keeping.start_write(now) } else { Some(false) };
        if let Some(whole) = due {
            let reach = Cursor { seq: u64::from(turn), floor: 0 };
            let life = StoredIncarnation {
                front: 1,
                incarnation: (1, 1),
                cursor: reach,
                ended: None,
                dropped: false,
                fact_count: 0,
            };
            let changes =
                Changes { complete: whole, incarnations: vec![life], saved_at: now, ..Changes::default() };
            assert!(keeping.should_write(now, &changes));
            let taken = store.offer(changes);
            assert!(taken, "whoever heeds what became of the last step finds room for the next");
            offered.push((now, whole));
        }
        shuttle::thread::yield_now();
    }
    // Dropping it waits for all that was handed over.
    drop(store);
    let written = written.lock().unwrap().clone();
    assert!(written.is_sorted_by(|a, b| a.0 < b.0), "in their order: {written:?}");
    assert!(written.iter().all(|step| offered.contains(step)));
    let lost = offered.len() - written.len();
    assert!(fails || lost == 0, "{offered:?}, written {written:?}");
    // After each failure that was heard of, what is written next is whole.
    let mut sound = true;
    for (place, step) in offered.iter().enumerate().skip(1) {
        let before = offered[place - 1];
        sound &= written.contains(&before) || step.1;
    }
    assert!(sound, "{offered:?}, written {written:?}, {failed} failures heard of");
}

#[test]
fn steps_are_written_in_order_and_whole_after_a_failure_in_any_interleaving() {
    shuttle::check_random(|| owner(8, true, true), 3000);
    shuttle::check_random(|| owner(8, false, true), 1000);
}

#[test]
#[should_panic(expected = "finds room for the next")]
fn an_owner_that_does_not_wait_is_found() {
    shuttle::check_random(|| owner(8, false, false), 1000);
}
