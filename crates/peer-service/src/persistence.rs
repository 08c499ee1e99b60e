//! Carries what is to be kept to its file, and says how that stands.

use serde::{Deserialize, Serialize};
use shalespindle_peer_store::{Outcome, Store};
use shalespindle_peers::{FrontId, Incarnation};
use shalespindle_replica::{Fleet, Restored, SaveSchedule, Snapshot};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tracing::{info, warn};

/// What is kept on disk.
#[derive(Clone, Debug)]
pub struct Persistence {
    pub file: PathBuf,
    /// Between two steps, seconds.
    pub interval: f64,
}

/// How the schedule stands, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PersistenceState {
    /// No file is set.
    Off,
    /// The last step was written, or none was due yet.
    Good,
    /// The last step was not written, or there is no file to write to.
    Failing(String),
}

pub(crate) fn wall() -> f64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or(Duration::ZERO).as_secs_f64()
}

/// The file and when it is written. Without a file nothing is kept, and the front goes on as one that returns empty.
pub(crate) struct Persister {
    store: Option<Store>,
    schedule: SaveSchedule,
    state: PersistenceState,
    restored: Restored,
    saves: u64,
    failed: u64,
    facts: u64,
}

impl Persister {
    /// What an earlier process of this front kept, if there is any.
    pub fn open(keep: Option<&Persistence>, own: FrontId, now: f64) -> (Persister, Option<Snapshot>) {
        let every = keep.map_or(1.0, |k| k.interval);
        let (store, state, kept) = match keep {
            None => (None, PersistenceState::Off, None),
            Some(keep) => match open(&keep.file, own) {
                Ok((store, kept)) => (Some(store), PersistenceState::Good, kept),
                Err(why) => {
                    let file = keep.file.display();
                    warn!(target: "shalespindle::fleet", %file, why, "nothing is kept on disk");
                    (None, PersistenceState::Failing(why), None)
                }
            },
        };
        let schedule = SaveSchedule::new(every, now);
        let restored = Restored::default();
        (Persister { store, schedule, state, restored, saves: 0, failed: 0, facts: 0 }, kept)
    }

    /// The fleet takes what was kept, and remembers from now on what changes.
    pub fn restore(&mut self, now: f64, fleet: &mut Fleet, kept: Option<Snapshot>) {
        if self.store.is_none() {
            return;
        }
        fleet.track_changes();
        let Some(kept) = kept else { return };
        let ago = wall() - kept.saved_at;
        self.restored = fleet.restore(now, wall(), kept);
        let Restored { incarnations, facts, refused, too_old } = self.restored;
        match too_old {
            true => {
                warn!(target: "shalespindle::fleet", ago, "what was kept is too old, or its clock differs: not taken")
            }
            false => {
                info!(target: "shalespindle::fleet", ago, lives = incarnations, facts, refused, "what was kept is taken")
            }
        }
    }

    /// Hands over what changed, if that is due, and hears what became of it; waits for nothing.
    pub fn turn(&mut self, now: f64, fleet: &mut Fleet) {
        let Some(store) = &self.store else { return };
        while let Some(outcome) = store.outcome() {
            match outcome {
                Outcome::Saved { facts } => {
                    if self.state != PersistenceState::Good {
                        info!(target: "shalespindle::fleet", "the file is written again");
                    }
                    (self.state, self.saves, self.facts) =
                        (PersistenceState::Good, self.saves + 1, self.facts + facts as u64);
                    self.schedule.saved(now);
                }
                Outcome::Failed(why) => {
                    let pause = self.schedule.failed(now);
                    warn!(target: "shalespindle::fleet", why, pause, "what is to be kept was not written; all of it is tried again");
                    (self.state, self.failed) = (PersistenceState::Failing(why), self.failed + 1);
                }
            }
        }
        if let Some(whole) = self.schedule.start_write(now) {
            let changes = fleet.changes(now, wall(), whole);
            if self.schedule.should_write(now, &changes) && !store.offer(changes) {
                // Its thread has ended: what was taken from the fleet is lost, so the next step is a whole one.
                self.schedule.failed(now);
                self.state = PersistenceState::Failing("whoever writes has ended".into());
            }
        }
    }

    /// The last step of all; whoever drops the store waits until it is written.
    pub fn end(self, now: f64, fleet: &mut Fleet) -> Option<Store> {
        let store = self.store?;
        // A whole one where the step before failed.
        store.offer(fleet.changes(now, wall(), self.saves == 0 || self.state != PersistenceState::Good));
        Some(store)
    }

    pub fn state(&self) -> PersistenceState {
        self.state.clone()
    }

    pub fn count(&self, now: f64, counts: &mut BTreeMap<String, u64>) {
        let since = self.schedule.saved_at().map(|at| ((now - at) * 1000.0) as u64);
        let counted = [
            ("steps_kept", Some(self.saves)),
            ("steps_not_kept", Some(self.failed)),
            ("facts_kept", Some(self.facts)),
            ("kept_ms_ago", since),
            ("lives_restored", Some(self.restored.incarnations)),
            ("facts_restored", Some(self.restored.facts)),
            ("lives_not_restored", Some(self.restored.refused)),
        ];
        counts.extend(counted.into_iter().filter_map(|(name, n)| Some((name.to_string(), n?))));
    }
}

fn open(file: &Path, own: FrontId) -> Result<(Store, Option<Snapshot>), String> {
    let opened = Store::open(file, own).map_err(|e| e.to_string())?;
    if let Some((aside, why)) = opened.set_aside {
        let aside = aside.display();
        warn!(target: "shalespindle::fleet", %aside, why, "what was kept cannot be read: put aside, begun anew");
    }
    if opened.corrupt.0 > 0 {
        warn!(target: "shalespindle::fleet", facts = opened.corrupt.0, "facts that were kept have wrong checksums");
    }
    Ok((opened.store, opened.snapshot))
}

/// This process's life: above any that is known from before.
pub(crate) fn life(kept: Option<&Snapshot>, own: FrontId, nonce: u64) -> Incarnation {
    // A clock that was set back gives a life that the others know to be over, and say so.
    let wished = Incarnation { number: (wall() * 1000.0) as u64, nonce };
    kept.map_or(wished, |kept| kept.next_incarnation(own, wished))
}
