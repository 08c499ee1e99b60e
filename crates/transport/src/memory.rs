//! The last known members on disk: read at the start, written anew beside the old file, synced, renamed
//! over it. A thread of its own writes, since a sync may block for long.

use shalespindle_membership::{read, write, Remembered};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, SyncSender, TrySendError};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// Least time between two writes: a fleet that flaps must not wear the disk.
const APART: Duration = Duration::from_millis(200);

/// Writes what it is given last, in the background.
pub(crate) struct Memory {
    to: Option<SyncSender<Vec<Remembered>>>,
    writer: Option<JoinHandle<()>>,
}

fn seconds_now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs())
}

/// What the last run left, and its age in seconds; a file that cannot be used is set aside, and the front
/// starts without.
pub(crate) fn recall(path: &Path) -> Option<(Vec<Remembered>, f64)> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(why) if why.kind() == io::ErrorKind::NotFound => return None,
        Err(why) => {
            warn!(target: "shalespindle::members", file = %path.display(), %why, "last known members unread");
            return None;
        }
    };
    match read(seconds_now(), &bytes) {
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
        let (to, from) = sync_channel::<Vec<Remembered>>(1);
        let writer = std::thread::Builder::new().name("members".into()).spawn(move || {
            while let Ok(mut members) = from.recv() {
                // What came meanwhile goes first; the last one is what counts.
                std::thread::sleep(APART);
                while let Ok(later) = from.try_recv() {
                    members = later;
                }
                if let Err(why) = keep(&path, &members) {
                    warn!(target: "shalespindle::members", file = %path.display(), %why, "last known members not written");
                }
            }
        })?;
        Ok(Memory { to: Some(to), writer: Some(writer) })
    }

    /// Takes what should be written; false when the writer has one waiting: offer it again later.
    pub fn offer(&self, members: Vec<Remembered>) -> bool {
        let Some(to) = &self.to else { return true };
        !matches!(to.try_send(members), Err(TrySendError::Full(_)))
    }
}

impl Drop for Memory {
    fn drop(&mut self) {
        self.to = None;
        if let Some(writer) = self.writer.take() {
            // A panic in the writer has been reported by its own message.
            let _ = writer.join();
        }
    }
}

/// Guards against a file half written: after a crash there is the old one or the new one.
fn keep(path: &Path, members: &[Remembered]) -> io::Result<()> {
    let bytes = write(seconds_now(), members).map_err(io::Error::other)?;
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
        let one = Remembered { address: "127.0.0.1:5070".parse().unwrap(), pool: 2, taken_out: true };
        let memory = Memory::start(path.clone()).unwrap();
        assert!(memory.offer(vec![one]));
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
