//! The last known members on disk: read at the start, written anew beside the old file, synced, renamed
//! over it. A thread of its own writes, since a sync may block for long.

use shalespindle_membership::{decode_members, encode_members, StoredMember};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// Least time between two writes: a fleet that flaps must not wear the disk.
const APART: Duration = Duration::from_millis(200);

/// Writes what it is given last, in the background.
pub(crate) struct Memory {
    waiting: Arc<Waiting>,
    writer: Option<JoinHandle<()>>,
}

/// What is to be written next: the newest, whatever came before it.
#[derive(Default)]
struct Waiting {
    newest: Mutex<Newest>,
    changed: Condvar,
}

#[derive(Default)]
struct Newest {
    members: Option<Vec<StoredMember>>,
    ended: bool,
}

fn seconds_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs())
}

/// What the last run left, and its age in seconds; a file that cannot be used is set aside, and the front
/// starts without.
pub(crate) fn recall(path: &Path) -> Option<(Vec<StoredMember>, f64)> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(why) if why.kind() == io::ErrorKind::NotFound => return None,
        Err(why) => {
            warn!(target: "shalespindle::members", file = %path.display(), %why, "last known members unread");
            return None;
        }
    };
    match decode_members(seconds_now(), &bytes) {
        Ok((members, age)) => {
            info!(target: "shalespindle::members", count = members.len(), age_s = age, "last known members read");
            Some((members, age as f64))
        }
        Err(why) => {
            let aside = path.with_extension("set-aside");
            let moved = fs::rename(path, &aside).is_ok();
            warn!(
                target: "shalespindle::members", file = %path.display(), aside = %aside.display(), moved, %why,
                "last known members set aside"
            );
            None
        }
    }
}

impl Memory {
    pub fn start(path: PathBuf) -> io::Result<Memory> {
        let waiting = Arc::new(Waiting::default());
        let from = waiting.clone();
        let writer = std::thread::Builder::new().name("members".into()).spawn(move || {
            while from.is_there() {
                // What comes meanwhile takes its place; the last one is what counts.
                std::thread::sleep(APART);
                let Some(members) = from.lock().members.take() else { continue };
                if let Err(why) = keep(&path, &members) {
                    warn!(target: "shalespindle::members", file = %path.display(), %why, "last known members not written");
                }
            }
        })?;
        Ok(Memory { waiting, writer: Some(writer) })
    }

    /// Takes what should be written, in place of what still waits.
    pub fn offer(&self, members: Vec<StoredMember>) {
        self.waiting.lock().members = Some(members);
        self.waiting.changed.notify_one();
    }
}

impl Waiting {
    /// Held for a swap only: the front's owner takes it too.
    fn lock(&self) -> MutexGuard<'_, Newest> {
        self.newest.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Waits until there is something to write; false when there never will be.
    fn is_there(&self) -> bool {
        let idle = |n: &mut Newest| n.members.is_none() && !n.ended;
        let newest = self.changed.wait_while(self.lock(), idle).unwrap_or_else(|e| e.into_inner());
        newest.members.is_some()
    }
}

impl Drop for Memory {
    fn drop(&mut self) {
        self.waiting.lock().ended = true;
        self.waiting.changed.notify_one();
        if let Some(writer) = self.writer.take() {
            // A panic in the writer has been reported by its own message.
            let _ = writer.join();
        }
    }
}

/// Guards against a file half written: after a crash there is the old one or the new one.
fn keep(path: &Path, members: &[StoredMember]) -> io::Result<()> {
    let bytes = encode_members(seconds_now(), members).map_err(io::Error::other)?;
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    fs::rename(&beside, path)?;
    match path.parent().filter(|p| !p.as_os_str().is_empty()) {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_kept_is_recalled_and_what_is_damaged_is_set_aside() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("members");
        assert!(recall(&path).is_none());
        let one = StoredMember { address: "127.0.0.1:5070".parse().unwrap(), pool: 2, taken_out: true };
        let memory = Memory::start(path.clone()).unwrap();
        memory.offer(vec![one]);
        drop(memory);
        let (members, age) = recall(&path).unwrap();
        assert!(members == [one] && age < 60.0);
        let mut bytes = fs::read(&path).unwrap();
        let last = bytes.len() - 5;
        bytes[last] ^= 1;
        fs::write(&path, &bytes).unwrap();
        assert!(recall(&path).is_none());
        assert_eq!(fs::read(path.with_extension("set-aside")).unwrap(), bytes, "kept for whoever looks");
        assert!(!path.exists() && recall(&path).is_none());
    }
}
