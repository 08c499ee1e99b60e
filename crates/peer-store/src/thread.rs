//! The thread that writes, so that nobody else waits for a disk.

use crate::file::{CorruptFacts, File, OpenError};
use crate::sys::mpsc::{channel, sync_channel, Receiver, SyncSender, TrySendError};
use crate::sys::thread::{Builder, JoinHandle};
use shalespindle_peers::FrontId;
use shalespindle_replica::{Changes, Snapshot};
use std::path::{Path, PathBuf};

/// What became of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Saved { facts: usize },
    Failed(String),
}

/// A file that is written by a thread of its own. Dropping it waits for the step under way.
pub struct Store {
    steps: Option<SyncSender<Changes>>,
    outcomes: Receiver<Outcome>,
    thread: Option<JoinHandle<()>>,
}

/// What came of opening.
pub struct Opened {
    pub store: Store,
    /// What was kept; none in a new file.
    pub snapshot: Option<Snapshot>,
    /// Facts that could not be read.
    pub corrupt: CorruptFacts,
    /// Where a file that could not be read was put aside, and why.
    pub set_aside: Option<(PathBuf, String)>,
}

/// What came of opening a file.
struct Found {
    file: File,
    kept: Option<Snapshot>,
    bad: CorruptFacts,
    aside: Option<(PathBuf, String)>,
}

/// One that cannot be read is put aside and begun anew.
fn find(path: &Path, own: FrontId) -> Result<Found, OpenError> {
    let (opened, aside) = match File::open(path, own) {
        Err(OpenError::Corrupt(why)) => {
            let aside = path.with_extension("spoilt");
            std::fs::rename(path, &aside).map_err(|e| OpenError::Io(e.to_string()))?;
            (File::open(path, own)?, Some((aside, why)))
        }
        other => (other?, None),
    };
    let (file, kept, bad) = opened;
    Ok(Found { file, kept, bad, aside })
}

impl Store {
    /// Opens the file, or makes it; one that cannot be read is put aside and begun anew.
    pub fn open(path: &Path, own: FrontId) -> Result<Opened, OpenError> {
        let Found { file, kept: snapshot, bad: corrupt, aside: set_aside } = find(path, own)?;
        let path = path.to_path_buf();
        let store = Store::with_file(file, move || Ok(find(&path, own)?.file))?;
        Ok(Opened { store, snapshot, corrupt, set_aside })
    }

    /// Writes to that file, and after a failure to the one that `again` opens: the storage takes nothing more after
    /// it has failed once.
    pub fn with_file(
        file: File,
        mut again: impl FnMut() -> Result<File, OpenError> + Send + 'static,
    ) -> Result<Store, OpenError> {
        // One step may wait while one is written.
        let (steps, taken) = sync_channel::<Changes>(1);
        let (tell, outcomes) = channel();
        let write = move || {
            let mut file = Some(file);
            for changes in taken {
                let outcome = match file.take().map_or_else(&mut again, Ok) {
                    Ok(open) => match open.write(&changes) {
                        Ok(()) => {
                            file = Some(open);
                            Outcome::Saved { facts: changes.facts.len() }
                        }
                        Err(why) => Outcome::Failed(why),
                    },
                    Err(why) => Outcome::Failed(why.to_string()),
                };
                if tell.send(outcome).is_err() {
                    return;
                }
            }
        };
        let thread = Builder::new().name("fleet-store".into()).spawn(write);
        let thread = thread.map_err(|e| OpenError::Io(e.to_string()))?;
        Ok(Store { steps: Some(steps), outcomes, thread: Some(thread) })
    }

    /// Hands a step over without waiting; false where there is no room for it, or the thread has ended.
    pub fn offer(&self, changes: Changes) -> bool {
        let offered = self.steps.as_ref().map(|steps| steps.try_send(changes));
        !matches!(offered, None | Some(Err(TrySendError::Full(_) | TrySendError::Disconnected(_))))
    }

    /// What became of a step since this was last asked.
    pub fn outcome(&self) -> Option<Outcome> {
        self.outcomes.try_recv().ok()
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        drop(self.steps.take());
        if let Some(thread) = self.thread.take() {
            // A panic there has been reported by its own message.
            let _ = thread.join();
        }
    }
}
