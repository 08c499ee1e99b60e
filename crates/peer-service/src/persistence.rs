//! Passes the changes of the fleet's state to the thread that writes the file, and reports the outcome.

use serde::{Deserialize, Serialize};
use shalespindle_peer_store::{Outcome, Store};
use shalespindle_peers::{FrontId, Incarnation};
use shalespindle_replica::{Fleet, Restored, SaveSchedule, Snapshot};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tracing::{info, warn};

/// Settings of the file that the fleet's state is stored in.
#[derive(Clone, Debug)]
pub struct Persistence {
    pub file: PathBuf,
    /// Time between two writes, seconds.
    pub interval: f64,
}

/// State of persistence, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PersistenceState {
    /// No file is set.
    Off,
    /// The last write succeeded, or none was needed yet.
    Good,
    /// The last write failed, or the file could not be opened; with the reason.
    Failing(String),
}

/// Seconds since the Unix epoch by the wall clock.
pub(crate) fn unix_time() -> f64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or(Duration::ZERO).as_secs_f64()
}

/// The store and the schedule of its writes. Without a store nothing is persisted, and the front starts
/// without stored state.
pub(crate) struct Persister {
    store: Option<Store>,
    schedule: SaveSchedule,
    state: PersistenceState,
    restored: Restored,
    writes: u64,
    failed_writes: u64,
    /// Facts written since the start.
    facts_written: u64,
}

impl Persister {
    /// Opens the file and returns what an earlier process of this front stored, if anything.
    pub fn open(settings: Option<&Persistence>, own: FrontId, now: f64) -> (Persister, Option<Snapshot>) {
        let interval = settings.map_or(1.0, |settings| settings.interval);
        let (store, state, snapshot) = match settings {
            None => (None, PersistenceState::Off, None),
            Some(settings) => match open(&settings.file, own) {
                Ok((store, snapshot)) => (Some(store), PersistenceState::Good, snapshot),
                Err(why) => {
                    let file = settings.file.display();
                    warn!(
                        target: "shalespindle::fleet", %file, why,
                        "the file of the fleet state cannot be opened: nothing is persisted"
                    );
                    (None, PersistenceState::Failing(why), None)
                }
            },
        };
        let schedule = SaveSchedule::new(interval, now);
        let restored = Restored::default();
        (
            Persister { store, schedule, state, restored, writes: 0, failed_writes: 0, facts_written: 0 },
            snapshot,
        )
    }

    /// Restores the stored state into the fleet and makes the fleet track its changes from now on.
    pub fn restore(&mut self, now: f64, fleet: &mut Fleet, snapshot: Option<Snapshot>) {
        if self.store.is_none() {
            return;
        }
        fleet.track_changes();
        let Some(snapshot) = snapshot else { return };
        let ago = unix_time() - snapshot.saved_at;
        self.restored = fleet.restore(now, unix_time(), snapshot);
        let Restored { incarnations, facts, refused, too_old } = self.restored;
        match too_old {
            true => {
                warn!(
                    target: "shalespindle::fleet", ago,
                    "the stored state is too old or the wall clock has changed: not restored"
                )
            }
            false => {
                info!(
                    target: "shalespindle::fleet", ago, lives = incarnations, facts, refused,
                    "the stored state is restored"
                )
            }
        }
    }

    /// Handles the outcomes of earlier writes and starts the next one when it is due. Never blocks.
    pub fn turn(&mut self, now: f64, fleet: &mut Fleet) {
        let Some(store) = &self.store else { return };
        while let Some(outcome) = store.outcome() {
            match outcome {
                Outcome::Saved { facts } => {
                    if self.state != PersistenceState::Good {
                        info!(target: "shalespindle::fleet", "the fleet state is written to its file again");
                    }
                    (self.state, self.writes, self.facts_written) =
                        (PersistenceState::Good, self.writes + 1, self.facts_written + facts as u64);
                    self.schedule.saved(now);
                }
                Outcome::Failed(why) => {
                    let pause = self.schedule.failed(now);
                    warn!(
                        target: "shalespindle::fleet", why, pause,
                        "writing the fleet state failed: the next write contains all of it"
                    );
                    (self.state, self.failed_writes) =
                        (PersistenceState::Failing(why), self.failed_writes + 1);
                }
            }
        }
        if let Some(complete) = self.schedule.start_write(now) {
            let changes = fleet.changes(now, unix_time(), complete);
            if self.schedule.should_write(now, &changes) && !store.offer(changes) {
                // The store's thread has ended: the changes taken from the fleet are lost, so the next write
                // must be a complete one.
                self.schedule.failed(now);
                self.state = PersistenceState::Failing("the thread that writes the file has ended".into());
            }
        }
    }

    /// Hands over the final write. Dropping the returned store blocks until it is written.
    pub fn finish(self, now: f64, fleet: &mut Fleet) -> Option<Store> {
        let store = self.store?;
        // A complete write if the previous one failed or there was none.
        store.offer(fleet.changes(
            now,
            unix_time(),
            self.writes == 0 || self.state != PersistenceState::Good,
        ));
        Some(store)
    }

    pub fn state(&self) -> PersistenceState {
        self.state.clone()
    }

    /// Adds the counters of persistence to `counts`.
    pub fn add_counts(&self, now: f64, counts: &mut BTreeMap<String, u64>) {
        let age_ms = self.schedule.saved_at().map(|at| ((now - at) * 1000.0) as u64);
        let values = [
            ("steps_kept", Some(self.writes)),
            ("steps_not_kept", Some(self.failed_writes)),
            ("facts_kept", Some(self.facts_written)),
            ("kept_ms_ago", age_ms),
            ("lives_restored", Some(self.restored.incarnations)),
            ("facts_restored", Some(self.restored.facts)),
            ("lives_not_restored", Some(self.restored.refused)),
        ];
        counts.extend(values.into_iter().filter_map(|(name, n)| Some((name.to_string(), n?))));
    }
}

/// Opens the store and logs what could not be read.
fn open(file: &Path, own: FrontId) -> Result<(Store, Option<Snapshot>), String> {
    let opened = Store::open(file, own).map_err(|e| e.to_string())?;
    if let Some((aside, why)) = opened.set_aside {
        let aside = aside.display();
        warn!(
            target: "shalespindle::fleet", %aside, why,
            "the file of the fleet state cannot be read: moved aside, a new one is created"
        );
    }
    if opened.corrupt.0 > 0 {
        warn!(target: "shalespindle::fleet", facts = opened.corrupt.0, "stored facts have wrong checksums");
    }
    Ok((opened.store, opened.snapshot))
}

/// Returns the incarnation of this process, higher than any stored one of this front.
pub(crate) fn new_incarnation(snapshot: Option<&Snapshot>, own: FrontId, nonce: u64) -> Incarnation {
    // After the wall clock was set back, peers may know a later incarnation than this one; they report it,
    // and this front takes a higher number.
    let proposed = Incarnation { number: (unix_time() * 1000.0) as u64, nonce };
    snapshot.map_or(proposed, |snapshot| snapshot.next_incarnation(own, proposed))
}
