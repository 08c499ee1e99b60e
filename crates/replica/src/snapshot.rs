//! What of the copies outlives a process, when it is written, and what is believed of it after the next start.
//!
//! Times in what is kept are seconds of the wall clock, since nothing else outlives a process. A clock that was set
//! can make them wrong: what would follow from that errs to the careful side.

use crate::facts::{Fact, Key, LevelOrder};
use crate::fleet::Fleet;
use crate::message::{incarnation_pair, to_incarnation, Cursor};
use crate::replica::{Entry, Replica};
use crate::replicas::Replicas;
use crate::view::FleetEvent;
use serde::{Deserialize, Serialize};
use shalespindle_peers::{FrontId, Incarnation};
use std::collections::{BTreeMap, BTreeSet};

/// A front, and number and nonce of one of its lives.
pub type IncarnationKey = (u64, (u64, u64));

/// The copy of one life of a front, its facts aside.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredIncarnation {
    pub front: u64,
    pub incarnation: (u64, u64),
    pub cursor: Cursor,
    /// When this front learned that it is over; none for one that is not.
    pub ended: Option<f64>,
    pub dropped: bool,
    /// Facts and deletions of it: one that was kept with fewer or more is not believed.
    pub fact_count: usize,
}

impl StoredIncarnation {
    pub fn key(&self) -> IncarnationKey {
        (self.front, self.incarnation)
    }
}

/// A fact or a deletion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredFact {
    pub seq: u64,
    pub written_at: f64,
    pub fact: Option<Fact>,
}

/// What is to be written to bring what is kept up to the copies: all of it in one step, or none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// It is all there is: what was kept before is replaced.
    pub complete: bool,
    /// All lives there are; what is kept of others goes.
    pub incarnations: Vec<StoredIncarnation>,
    pub obsolete: Vec<IncarnationKey>,
    /// None: nothing is kept under the key any more.
    pub facts: Vec<(IncarnationKey, Key, Option<StoredFact>)>,
    pub saved_at: f64,
}

/// What was kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    pub incarnations: Vec<(StoredIncarnation, Vec<(Key, StoredFact)>)>,
    pub obsolete: Vec<IncarnationKey>,
    pub saved_at: f64,
}

impl Snapshot {
    /// A life above any that this front is known to have had.
    pub fn next_incarnation(&self, own: FrontId, wished: Incarnation) -> Incarnation {
        let had = self
            .incarnations
            .iter()
            .filter(|(stored, _)| stored.front == own.0)
            .map(|(stored, _)| stored.incarnation.0);
        let above = had.max().map_or(0, |number| number.saturating_add(1));
        Incarnation { number: wished.number.max(above), ..wished }
    }
}

/// What became of what was kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    pub incarnations: u64,
    pub facts: u64,
    /// Lives that were not taken: of a front that is not on the list, or not whole.
    pub refused: u64,
    /// All of it is too old, or its age cannot be believed: the facts are not taken.
    pub too_old: bool,
}

impl Replicas {
    /// From now on what changes is remembered for [`Copies::changes`].
    pub fn track_changes(&mut self) {
        self.tracks_changes = true;
        let ended = self.ended.values_mut().map(|ended| &mut ended.replica);
        for replica in self.current.values_mut().chain(ended) {
            replica.changed.get_or_insert_with(|| replica.entries.keys().copied().collect());
        }
    }

    /// What changed since this was last asked, or all there is.
    pub fn changes(&mut self, now: f64, wall: f64, complete: bool) -> Changes {
        let at = |time: f64| wall - (now - time).max(0.0);
        let mut changes = Changes { complete, saved_at: wall, ..Changes::default() };
        changes.obsolete = self
            .obsolete_up_to
            .iter()
            .map(|(f, incarnation)| (f.0, incarnation_pair(*incarnation)))
            .collect();
        let ended = self.ended.iter_mut().map(|((front, _), p)| (*front, Some(at(p.since)), &mut p.replica));
        let all = self.current.iter_mut().map(|(front, replica)| (*front, None, replica));
        for (front, ended, replica) in all.chain(ended) {
            let incarnation = incarnation_pair(replica.incarnation);
            let fact_count = replica.entries.len() - replica.unconfirmed.len();
            let (cursor, dropped) = (replica.cursor, replica.dropped);
            changes.incarnations.push(StoredIncarnation {
                front: front.0,
                incarnation,
                cursor,
                ended,
                dropped,
                fact_count,
            });
            let changed = replica.changed.as_mut().map(std::mem::take).unwrap_or_default();
            let keys: Vec<Key> = match complete {
                true => replica.entries.keys().copied().collect(),
                false => changed.into_iter().collect(),
            };
            for key in keys {
                // What a fresh beginning has not confirmed has no number to be kept under.
                let entry = replica.entries.get(&key).filter(|_| !replica.unconfirmed.contains(&key));
                let stored = entry.map(|e| StoredFact {
                    seq: e.seq,
                    written_at: at(e.written_at),
                    fact: e.fact.clone(),
                });
                changes.facts.push(((front.0, incarnation), key, stored));
            }
        }
        changes
    }

    /// Takes what was kept. What this front itself wrote in its last life is that life's, which is over.
    pub(crate) fn restore(
        &mut self,
        now: f64,
        wall: f64,
        stored: Snapshot,
        listed: impl Fn(FrontId) -> bool,
    ) -> Restored {
        let since = |at: f64| now - (wall - at).max(0.0);
        let mut restored = Restored::default();
        for (front, obsolete) in stored.obsolete {
            if listed(FrontId(front)) {
                self.discard_up_to(FrontId(front), to_incarnation(obsolete));
            }
        }
        for (stored, facts) in stored.incarnations {
            let front = FrontId(stored.front);
            let replica =
                rebuild_replica(&stored, &facts, self.params.max_facts, since).filter(|_| listed(front));
            let Some(mut replica) = replica else {
                restored.refused += 1;
                continue;
            };
            restored.incarnations += 1;
            restored.facts += replica.entries.len() as u64;
            replica.changed = self.tracks_changes.then(BTreeSet::new);
            let ended = stored.ended.map(since).or((front == self.own()).then_some(now));
            match ended {
                // All keys are looked at when all is restored.
                Some(since) => drop(self.end_incarnation(since, front, replica)),
                None => drop(self.current.insert(front, replica)),
            }
        }
        restored
    }

    /// All keys of all copies.
    pub(crate) fn keys(&self) -> BTreeSet<Key> {
        let ended = self.ended.values().map(|ended| &ended.replica);
        self.current.values().chain(ended).flat_map(|replica| replica.entries.keys().copied()).collect()
    }
}

impl Fleet {
    /// From now on what changes is remembered for [`Fleet::changes`]; before anything else is told or heard.
    pub fn track_changes(&mut self) {
        self.replicas.track_changes();
    }

    /// What is to be kept, on the wall clock; `whole`: all of it, not what changed since this was last asked.
    pub fn changes(&mut self, now: f64, wall: f64, complete: bool) -> Changes {
        self.replicas.changes(now, wall, complete)
    }

    /// Takes what an earlier process of this front kept. Calls that stood then may have ended since, and their end may
    /// be known to nobody any more after `keep`: what is older than that, or from the future, is not believed, but for
    /// which lives are settled and operators' words that still hold.
    pub fn restore(&mut self, now: f64, wall: f64, mut stored: Snapshot) -> Restored {
        self.restore_level(now, wall, &stored);
        let age = wall - stored.saved_at;
        let too_old = !(0.0..self.params.retention).contains(&age);
        if too_old {
            stored.incarnations.clear();
        }
        let peers = &self.peers;
        let restored = self.replicas.restore(now, wall, stored, |front| peers.is_listed(front));
        let keys: Vec<Key> = self.replicas.keys().into_iter().collect();
        self.keys_changed(now, &keys);
        Restored { too_old, ..restored }
    }

    /// An operator's word that was kept holds on, whoever was asked, unless a later one is heard.
    fn restore_level(&mut self, now: f64, wall: f64, stored: &Snapshot) {
        let facts = stored
            .incarnations
            .iter()
            .filter(|(incarnation, _)| self.peers.is_listed(FrontId(incarnation.front)));
        let records = facts.flat_map(|(_, facts)| facts).filter_map(|(_, stored)| match &stored.fact {
            Some(Fact::Level(record)) => Some((stored.written_at, record)),
            _ => None,
        });
        let Some((written, record)) = records.max_by_key(|w| w.1.rank()) else {
            return;
        };
        let valid_for = (record.valid_for - (wall - written).max(0.0)).max(0.0);
        let level = record.level.filter(|_| valid_for > 0.0);
        self.write(now, Key::Level, Fact::Level(LevelOrder { valid_for, ..record.clone() }));
        if level.is_some() {
            self.view.push_event(FleetEvent::Level {
                level,
                until: now + valid_for,
                issued_by: record.issued_by.clone(),
            });
        }
    }
}

/// None where the facts are not what the life says of them.
fn rebuild_replica(
    stored: &StoredIncarnation,
    facts: &[(Key, StoredFact)],
    max_facts: usize,
    since: impl Fn(f64) -> f64,
) -> Option<Replica> {
    let sound = |(key, stored_fact): &(Key, StoredFact)| {
        stored_fact.seq <= stored.cursor.seq
            && stored_fact.written_at.is_finite()
            && stored_fact.fact.as_ref().is_none_or(|fact| fact.is_sound(key))
    };
    if facts.len() != stored.fact_count || facts.len() > max_facts || !facts.iter().all(sound) {
        return None;
    }
    let mut replica = Replica::new(to_incarnation(stored.incarnation), false);
    (replica.cursor, replica.dropped) = (stored.cursor, stored.dropped);
    for (key, fact) in facts {
        let entry = Entry {
            seq: fact.seq,
            written_at: since(fact.written_at),
            fact: fact.fact.clone(),
            is_new: false,
        };
        replica.put(*key, entry);
    }
    // Two facts of one number, or of one key.
    (replica.by_seq.len() == facts.len()).then_some(replica)
}

/// Lives with how far they go and whether they are dropped, and settled lives: whatever else changes is a fact.
type SavedHead = (Vec<(IncarnationKey, Cursor, bool)>, Vec<IncarnationKey>);

/// When the copies are written, and what after a write that failed. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct SaveSchedule {
    interval: f64,
    due: f64,
    /// A write is under way.
    writing: bool,
    /// What is kept is not known to be what was written last.
    complete: bool,
    /// Failures one after the other.
    failures: u32,
    /// What was last handed over, its facts aside.
    last: SavedHead,
    saved_at: Option<f64>,
}

/// What has not changed for so many times the usual pause is written again: its age counts at the next start.
const MAX_SNAPSHOT_AGE: f64 = 20.0;
/// A write that failed is tried again after so many times the usual pause, doubled with each that fails, up to
const FIRST_RETRY: f64 = 2.0;
/// this many times.
const MAX_RETRY: f64 = 64.0;

impl SaveSchedule {
    pub fn new(interval: f64, now: f64) -> SaveSchedule {
        let (writing, complete) = (false, true);
        SaveSchedule {
            interval,
            due: now,
            writing,
            complete,
            failures: 0,
            last: Default::default(),
            saved_at: None,
        }
    }

    /// Whether to write now; true: all there is.
    pub fn start_write(&mut self, now: f64) -> Option<bool> {
        if self.writing || now < self.due {
            return None;
        }
        self.writing = true;
        Some(self.complete)
    }

    /// Whether what is due is worth a write: something changed, or the time at which it was right is old.
    pub fn should_write(&mut self, now: f64, changes: &Changes) -> bool {
        let incarnations = changes.incarnations.iter().map(|l| (l.key(), l.cursor, l.dropped)).collect();
        let head = (incarnations, changes.obsolete.clone());
        let same = self.last == head;
        let young = self.saved_at.is_some_and(|at| now - at < MAX_SNAPSHOT_AGE * self.interval);
        if same && young && changes.facts.is_empty() && !changes.complete {
            self.writing = false;
            self.due = now + self.interval;
            return false;
        }
        self.last = head;
        true
    }

    pub fn saved(&mut self, now: f64) {
        (self.writing, self.complete, self.failures) = (false, false, 0);
        self.saved_at = Some(now);
        self.due = now + self.interval;
    }

    /// The pause until the next try.
    pub fn failed(&mut self, now: f64) -> f64 {
        (self.writing, self.complete) = (false, true);
        let pause = (FIRST_RETRY * 2f64.powi(self.failures.min(16) as i32)).min(MAX_RETRY) * self.interval;
        self.failures += 1;
        self.due = now + pause;
        pause
    }

    /// When the last write was done.
    pub fn saved_at(&self) -> Option<f64> {
        self.saved_at
    }
}

/// What a kept state holds, for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Inventory {
    #[serde(rename = "lives")]
    pub incarnations: usize,
    #[serde(rename = "ended_lives")]
    pub ended_incarnations: usize,
    pub deletions: usize,
    /// Facts by class.
    pub facts: BTreeMap<&'static str, usize>,
    /// Lives that would not be taken, and why.
    pub faults: Vec<String>,
}

impl Snapshot {
    pub fn inventory(&self) -> Inventory {
        let mut inventory = Inventory::default();
        for (incarnation, facts) in &self.incarnations {
            match incarnation.ended {
                Some(_) => inventory.ended_incarnations += 1,
                None => inventory.incarnations += 1,
            }
            for (_, stored) in facts {
                match &stored.fact {
                    Some(fact) => *inventory.facts.entry(class_name(fact)).or_default() += 1,
                    None => inventory.deletions += 1,
                }
            }
            if rebuild_replica(incarnation, facts, usize::MAX, |at| at).is_none() {
                let (front, (number, _)) = incarnation.key();
                let why = format!(
                    "front {front:016x}, incarnation {number}: {} of {} facts, or unsound ones",
                    facts.len(),
                    incarnation.fact_count
                );
                inventory.faults.push(why);
            }
        }
        inventory
    }
}

fn class_name(fact: &Fact) -> &'static str {
    match fact {
        Fact::Server(_) => "servers",
        Fact::Level(_) => "levels",
        Fact::Call(_) => "calls",
        Fact::CallEnd(_) => "calls that are over",
    }
}
