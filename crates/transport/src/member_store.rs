//! Stores the last known members in a file, which is read at start. A new file is written beside the old
//! one, synced and renamed over it, on a separate thread because a sync may block for long.

use shalespindle_membership::{decode_members, encode_members, StoredMember};
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// Minimum time between two writes, so that flapping servers do not wear the disk.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Writes the latest members in the background.
pub(crate) struct MemberStore {
    pending: Arc<Pending>,
    writer: Option<JoinHandle<()>>,
}

/// The members to be written next; newer ones replace those that have not been written yet.
#[derive(Default)]
struct Pending {
    state: Mutex<PendingState>,
    changed: Condvar,
}

/// The members that wait, and whether the store has been dropped.
#[derive(Default)]
struct PendingState {
    members: Option<Vec<StoredMember>>,
    ended: bool,
}

/// Seconds since the Unix epoch.
fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs())
}

/// Reads the members that the last run stored, and their age in seconds. A file that cannot be decoded is
/// renamed with the extension `set-aside`, and the front starts without stored members.
pub(crate) fn load(path: &Path) -> Option<(Vec<StoredMember>, f64)> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(why) if why.kind() == io::ErrorKind::NotFound => return None,
        Err(why) => {
            warn!(
                target: "shalespindle::members", file = %path.display(), %why,
                "cannot read last known members"
            );
            return None;
        }
    };
    match decode_members(unix_seconds(), &bytes) {
        Ok((members, age)) => {
            info!(
                target: "shalespindle::members", count = members.len(), age_s = age,
                "last known members read"
            );
            Some((members, age as f64))
        }
        Err(why) => {
            let aside = path.with_extension("set-aside");
            let moved = fs::rename(path, &aside).is_ok();
            warn!(
                target: "shalespindle::members", file = %path.display(), aside = %aside.display(), moved,
                %why, "cannot decode last known members, file set aside"
            );
            None
        }
    }
}

impl MemberStore {
    /// Starts the thread that writes to `path`; it ends when the store is dropped, after a last write.
    pub fn start(path: PathBuf) -> io::Result<MemberStore> {
        let pending = Arc::new(Pending::default());
        let shared = pending.clone();
        let writer = std::thread::Builder::new().name("members".into()).spawn(move || {
            while shared.wait_for_members() {
                // Members offered during the pause replace these; only the latest are written.
                std::thread::sleep(MIN_WRITE_INTERVAL);
                let Some(members) = shared.lock().members.take() else { continue };
                if let Err(why) = write_file(&path, &members) {
                    warn!(
                        target: "shalespindle::members", file = %path.display(), %why,
                        "cannot write last known members"
                    );
                }
            }
        })?;
        Ok(MemberStore { pending, writer: Some(writer) })
    }

    /// Queues members to be written, in place of those that have not been written yet.
    pub fn offer(&self, members: Vec<StoredMember>) {
        self.pending.lock().members = Some(members);
        self.pending.changed.notify_one();
    }
}

impl Pending {
    /// The lock must be held for a swap only, since the front's owner takes it too.
    fn lock(&self) -> MutexGuard<'_, PendingState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Waits until there are members to write; false if the store has been dropped and none are left.
    fn wait_for_members(&self) -> bool {
        let idle = |s: &mut PendingState| s.members.is_none() && !s.ended;
        let state = self.changed.wait_while(self.lock(), idle).unwrap_or_else(|e| e.into_inner());
        state.members.is_some()
    }
}

impl Drop for MemberStore {
    fn drop(&mut self) {
        self.pending.lock().ended = true;
        self.pending.changed.notify_one();
        if let Some(writer) = self.writer.take() {
            // A panic of the writer thread has already been reported on standard error.
            let _ = writer.join();
        }
    }
}

/// Replaces the file atomically: after a crash there is either the old file or the new one, never a part.
fn write_file(path: &Path, members: &[StoredMember]) -> io::Result<()> {
    let bytes = encode_members(unix_seconds(), members).map_err(io::Error::other)?;
    let temporary = path.with_extension("new");
    let mut file = File::create(&temporary)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    match path.parent().filter(|p| !p.as_os_str().is_empty()) {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn stored_members_are_loaded_and_a_damaged_file_is_set_aside() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("members");
        assert!(load(&path).is_none());
        let one = StoredMember { address: "127.0.0.1:5070".parse().unwrap(), pool: 2, taken_out: true };
        let member_store = MemberStore::start(path.clone()).unwrap();
        member_store.offer(vec![one]);
        drop(member_store);
        let (members, age) = load(&path).unwrap();
        assert!(members == [one] && age < 60.0);
        let mut bytes = fs::read(&path).unwrap();
        let last = bytes.len() - 5;
        bytes[last] ^= 1;
        fs::write(&path, &bytes).unwrap();
        assert!(load(&path).is_none());
        assert_eq!(
            fs::read(path.with_extension("set-aside")).unwrap(),
            bytes,
            "the damaged file is kept for inspection"
        );
        assert!(!path.exists() && load(&path).is_none());
    }
}
