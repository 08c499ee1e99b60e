//! The thread that writes the file, so that no other thread waits for the disk.

use crate::file::{CorruptFacts, File, OpenError};
use crate::sys::mpsc::{channel, sync_channel, Receiver, SyncSender, TrySendError};
use crate::sys::thread::{Builder, JoinHandle};
use shalespindle_peers::FrontId;
use shalespindle_replica::{Changes, Snapshot};
use std::path::{Path, PathBuf};

/// The outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Saved { facts: usize },
    Failed(String),
}

/// A file that a dedicated thread writes. Dropping the store blocks until all accepted writes are done.
pub struct Store {
    writes: Option<SyncSender<Changes>>,
    outcomes: Receiver<Outcome>,
    thread: Option<JoinHandle<()>>,
}

/// The result of [`Store::open`].
pub struct Opened {
    pub store: Store,
    /// The stored state; none in a new file.
    pub snapshot: Option<Snapshot>,
    /// Number of facts that could not be read.
    pub corrupt: CorruptFacts,
    /// Path that an unreadable file was moved to, and why it is unreadable.
    pub set_aside: Option<(PathBuf, String)>,
}

/// An open file and what was found in it; the fields are as in [`Opened`].
struct OpenedFile {
    file: File,
    snapshot: Option<Snapshot>,
    corrupt: CorruptFacts,
    set_aside: Option<(PathBuf, String)>,
}

/// Opens the file. An unreadable one is moved aside and replaced by a new one.
fn open_or_replace(path: &Path, own: FrontId) -> Result<OpenedFile, OpenError> {
    let (opened, set_aside) = match File::open(path, own) {
        Err(OpenError::Corrupt(why)) => {
            let moved_to = path.with_extension("spoilt");
            std::fs::rename(path, &moved_to).map_err(|e| OpenError::Io(e.to_string()))?;
            (File::open(path, own)?, Some((moved_to, why)))
        }
        other => (other?, None),
    };
    let (file, snapshot, corrupt) = opened;
    Ok(OpenedFile { file, snapshot, corrupt, set_aside })
}

impl Store {
    /// Opens the file, or creates it. An unreadable one is moved aside and replaced by a new one.
    pub fn open(path: &Path, own: FrontId) -> Result<Opened, OpenError> {
        let OpenedFile { file, snapshot, corrupt, set_aside } = open_or_replace(path, own)?;
        let path = path.to_path_buf();
        let store = Store::with_file(file, move || Ok(open_or_replace(&path, own)?.file))?;
        Ok(Opened { store, snapshot, corrupt, set_aside })
    }

    /// Writes to `file`, and after a failed write to the one that `reopen` returns, because the storage
    /// accepts no writes after its first error.
    pub fn with_file(
        file: File,
        mut reopen: impl FnMut() -> Result<File, OpenError> + Send + 'static,
    ) -> Result<Store, OpenError> {
        // One write may be queued while another is in progress.
        let (writes, queue) = sync_channel::<Changes>(1);
        let (report, outcomes) = channel();
        let write = move || {
            let mut file = Some(file);
            for changes in queue {
                let outcome = match file.take().map_or_else(&mut reopen, Ok) {
                    Ok(open) => match open.write(&changes) {
                        Ok(()) => {
                            file = Some(open);
                            Outcome::Saved { facts: changes.facts.len() }
                        }
                        Err(why) => Outcome::Failed(why),
                    },
                    Err(why) => Outcome::Failed(why.to_string()),
                };
                if report.send(outcome).is_err() {
                    return;
                }
            }
        };
        let thread = Builder::new().name("fleet-store".into()).spawn(write);
        let thread = thread.map_err(|e| OpenError::Io(e.to_string()))?;
        Ok(Store { writes: Some(writes), outcomes, thread: Some(thread) })
    }

    /// Queues a write without blocking; false if the queue is full or the thread has ended.
    pub fn offer(&self, changes: Changes) -> bool {
        let offered = self.writes.as_ref().map(|writes| writes.try_send(changes));
        !matches!(offered, None | Some(Err(TrySendError::Full(_) | TrySendError::Disconnected(_))))
    }

    /// Returns the next outcome that has not been returned yet, without blocking.
    pub fn outcome(&self) -> Option<Outcome> {
        self.outcomes.try_recv().ok()
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        drop(self.writes.take());
        if let Some(thread) = self.thread.take() {
            // A panic in the thread has already printed its message.
            let _ = thread.join();
        }
    }
}
