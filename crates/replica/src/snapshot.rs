//! Snapshots of the replicas that outlast a process: what is stored, when it is written, and what is restored
//! after the next start.
//!
//! Times in a snapshot are seconds of the wall clock, since no other clock survives a restart. A clock that
//! was set can make them wrong; the consequences err on the safe side.

use crate::facts::{Fact, Key, LevelOrder};
use crate::fleet::Fleet;
use crate::message::{incarnation_pair, to_incarnation, Cursor};
use crate::replica::{Entry, Replica};
use crate::replicas::Replicas;
use crate::view::FleetEvent;
use serde::{Deserialize, Serialize};
use shalespindle_peers::{FrontId, Incarnation};
use std::collections::{BTreeMap, BTreeSet};

/// A front, and number and nonce of one of its incarnations.
pub type IncarnationKey = (u64, (u64, u64));

/// The replica of one incarnation of a front, without its facts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredIncarnation {
    pub front: u64,
    pub incarnation: (u64, u64),
    pub cursor: Cursor,
    /// When this front learned that it had ended; none for a current incarnation.
    pub ended: Option<f64>,
    pub dropped: bool,
    /// Number of its facts and deletions; a stored incarnation with fewer or more of them is rejected.
    pub fact_count: usize,
}

impl StoredIncarnation {
    pub fn key(&self) -> IncarnationKey {
        (self.front, self.incarnation)
    }
}

/// A stored fact or deletion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredFact {
    pub seq: u64,
    pub written_at: f64,
    pub fact: Option<Fact>,
}

/// What has to be written to bring the stored snapshot up to date: all of it in one transaction, or nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// It is the complete state: it replaces everything that was stored before.
    pub complete: bool,
    /// All current and ended incarnations; stored ones that are not listed are removed.
    pub incarnations: Vec<StoredIncarnation>,
    pub obsolete: Vec<IncarnationKey>,
    /// None if nothing is stored under the key any more.
    pub facts: Vec<(IncarnationKey, Key, Option<StoredFact>)>,
    pub saved_at: f64,
}

/// What was stored by an earlier process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    pub incarnations: Vec<(StoredIncarnation, Vec<(Key, StoredFact)>)>,
    pub obsolete: Vec<IncarnationKey>,
    pub saved_at: f64,
}

impl Snapshot {
    /// Returns an incarnation above any that this front is known to have had.
    pub fn next_incarnation(&self, own: FrontId, wished: Incarnation) -> Incarnation {
        let used_numbers = self
            .incarnations
            .iter()
            .filter(|(stored, _)| stored.front == own.0)
            .map(|(stored, _)| stored.incarnation.0);
        let above = used_numbers.max().map_or(0, |number| number.saturating_add(1));
        Incarnation { number: wished.number.max(above), ..wished }
    }
}

/// The outcome of restoring a snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    pub incarnations: u64,
    pub facts: u64,
    /// Incarnations that were rejected: of a front that is not on the list, or incomplete.
    pub refused: u64,
    /// The snapshot is too old, or its age is not plausible: its facts are not restored.
    pub too_old: bool,
}

impl Replicas {
    /// Starts to record changes for [`Replicas::changes`].
    pub fn track_changes(&mut self) {
        self.tracks_changes = true;
        let ended = self.ended.values_mut().map(|ended| &mut ended.replica);
        for replica in self.current.values_mut().chain(ended) {
            replica.changed.get_or_insert_with(|| replica.entries.keys().copied().collect());
        }
    }

    /// Returns what changed since the last call, or everything if `complete`.
    pub fn changes(&mut self, now: f64, wall: f64, complete: bool) -> Changes {
        let wall_time = |time: f64| wall - (now - time).max(0.0);
        let mut changes = Changes { complete, saved_at: wall, ..Changes::default() };
        changes.obsolete = self
            .obsolete_up_to
            .iter()
            .map(|(f, incarnation)| (f.0, incarnation_pair(*incarnation)))
            .collect();
        let ended =
            self.ended.iter_mut().map(|((front, _), p)| (*front, Some(wall_time(p.since)), &mut p.replica));
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
                // An entry that a resync has not confirmed has no number to be stored under.
                let entry = replica.entries.get(&key).filter(|_| !replica.unconfirmed.contains(&key));
                let stored = entry.map(|e| StoredFact {
                    seq: e.seq,
                    written_at: wall_time(e.written_at),
                    fact: e.fact.clone(),
                });
                changes.facts.push(((front.0, incarnation), key, stored));
            }
        }
        changes
    }

    /// Restores a snapshot. What this front itself wrote belongs to its previous incarnation, which has
    /// ended.
    pub(crate) fn restore(
        &mut self,
        now: f64,
        wall: f64,
        snapshot: Snapshot,
        listed: impl Fn(FrontId) -> bool,
    ) -> Restored {
        let local_time = |at: f64| now - (wall - at).max(0.0);
        let mut restored = Restored::default();
        for (front, obsolete) in snapshot.obsolete {
            if listed(FrontId(front)) {
                self.discard_up_to(FrontId(front), to_incarnation(obsolete));
            }
        }
        for (stored, facts) in snapshot.incarnations {
            let front = FrontId(stored.front);
            let replica =
                rebuild_replica(&stored, &facts, self.params.max_facts, local_time).filter(|_| listed(front));
            let Some(mut replica) = replica else {
                restored.refused += 1;
                continue;
            };
            restored.incarnations += 1;
            restored.facts += replica.entries.len() as u64;
            replica.changed = self.tracks_changes.then(BTreeSet::new);
            let ended = stored.ended.map(local_time).or((front == self.own()).then_some(now));
            match ended {
                // The caller evaluates all keys once everything is restored.
                Some(since) => drop(self.end_incarnation(since, front, replica)),
                None => drop(self.current.insert(front, replica)),
            }
        }
        restored
    }

    /// All keys of all replicas.
    pub(crate) fn keys(&self) -> BTreeSet<Key> {
        let ended = self.ended.values().map(|ended| &ended.replica);
        self.current.values().chain(ended).flat_map(|replica| replica.entries.keys().copied()).collect()
    }
}

impl Fleet {
    /// Starts to record changes for [`Fleet::changes`]; must be called before anything is published or
    /// received.
    pub fn track_changes(&mut self) {
        self.replicas.track_changes();
    }

    /// Returns what has to be stored, on the wall clock; everything if `complete`, otherwise what changed
    /// since the last call.
    pub fn changes(&mut self, now: f64, wall: f64, complete: bool) -> Changes {
        self.replicas.changes(now, wall, complete)
    }

    /// Restores what an earlier process of this front stored. Calls that were established then may have ended
    /// since, and after the retention time possibly no front knows about their end any more. Facts of a
    /// snapshot that is older than that, or from the future, are therefore not restored; only the obsolete
    /// incarnations and operators' orders that are still valid are.
    pub fn restore(&mut self, now: f64, wall: f64, mut snapshot: Snapshot) -> Restored {
        self.restore_level(now, wall, &snapshot);
        let age = wall - snapshot.saved_at;
        let too_old = !(0.0..self.params.retention).contains(&age);
        if too_old {
            snapshot.incarnations.clear();
        }
        let peers = &self.peers;
        let restored = self.replicas.restore(now, wall, snapshot, |front| peers.is_listed(front));
        let keys: Vec<Key> = self.replicas.keys().into_iter().collect();
        self.keys_changed(now, &keys);
        Restored { too_old, ..restored }
    }

    /// Restores an operator's level order, whichever front issued it; it applies until a later one arrives.
    fn restore_level(&mut self, now: f64, wall: f64, snapshot: &Snapshot) {
        let facts = snapshot
            .incarnations
            .iter()
            .filter(|(incarnation, _)| self.peers.is_listed(FrontId(incarnation.front)));
        let orders = facts.flat_map(|(_, facts)| facts).filter_map(|(_, stored)| match &stored.fact {
            Some(Fact::Level(order)) => Some((stored.written_at, order)),
            _ => None,
        });
        let Some((written_at, order)) = orders.max_by_key(|o| o.1.rank()) else {
            return;
        };
        let valid_for = (order.valid_for - (wall - written_at).max(0.0)).max(0.0);
        let level = order.level.filter(|_| valid_for > 0.0);
        self.write(now, Key::Level, Fact::Level(LevelOrder { valid_for, ..order.clone() }));
        if level.is_some() {
            self.view.push_event(FleetEvent::Level {
                level,
                until: now + valid_for,
                issued_by: order.issued_by.clone(),
            });
        }
    }
}

/// Rebuilds a replica; none if the facts are not those that the stored incarnation describes.
fn rebuild_replica(
    stored: &StoredIncarnation,
    facts: &[(Key, StoredFact)],
    max_facts: usize,
    local_time: impl Fn(f64) -> f64,
) -> Option<Replica> {
    let is_valid = |(key, stored_fact): &(Key, StoredFact)| {
        stored_fact.seq <= stored.cursor.seq
            && stored_fact.written_at.is_finite()
            && stored_fact.fact.as_ref().is_none_or(|fact| fact.is_sound(key))
    };
    if facts.len() != stored.fact_count || facts.len() > max_facts || !facts.iter().all(is_valid) {
        return None;
    }
    let mut replica = Replica::new(to_incarnation(stored.incarnation), false);
    (replica.cursor, replica.dropped) = (stored.cursor, stored.dropped);
    for (key, fact) in facts {
        let entry = Entry {
            seq: fact.seq,
            written_at: local_time(fact.written_at),
            fact: fact.fact.clone(),
            is_new: false,
        };
        replica.put(*key, entry);
    }
    // Two facts with the same number or the same key are rejected.
    (replica.by_seq.len() == facts.len()).then_some(replica)
}

/// The incarnations with their cursors and dropped flags, and the obsolete incarnations: every other change
/// is a change of facts.
type Heads = (Vec<(IncarnationKey, Cursor, bool)>, Vec<IncarnationKey>);

/// Decides when a snapshot is written, also after failed writes. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct SaveSchedule {
    interval: f64,
    due: f64,
    /// A write is in progress.
    writing: bool,
    /// The stored snapshot may differ from what was written last: the next write must be complete.
    complete: bool,
    /// Number of consecutive failures.
    failures: u32,
    /// What was handed over last, without its facts.
    last: Heads,
    saved_at: Option<f64>,
}

/// An unchanged snapshot is written again after this multiple of the interval, because its age counts at the
/// next start.
const MAX_SNAPSHOT_AGE: f64 = 20.0;
/// A failed write is retried after this multiple of the interval, doubled with each failure up to
/// `MAX_RETRY`.
const FIRST_RETRY: f64 = 2.0;
/// Maximum pause before a retry, as a multiple of the interval.
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

    /// Starts a write if one is due; returns whether it must be complete.
    pub fn start_write(&mut self, now: f64) -> Option<bool> {
        if self.writing || now < self.due {
            return None;
        }
        self.writing = true;
        Some(self.complete)
    }

    /// Whether a write that is due is worthwhile: something changed, or the last write is old.
    pub fn should_write(&mut self, now: f64, changes: &Changes) -> bool {
        let incarnations = changes.incarnations.iter().map(|i| (i.key(), i.cursor, i.dropped)).collect();
        let heads = (incarnations, changes.obsolete.clone());
        let unchanged = self.last == heads;
        let is_recent = self.saved_at.is_some_and(|at| now - at < MAX_SNAPSHOT_AGE * self.interval);
        if unchanged && is_recent && changes.facts.is_empty() && !changes.complete {
            self.writing = false;
            self.due = now + self.interval;
            return false;
        }
        self.last = heads;
        true
    }

    /// Notes that the write succeeded.
    pub fn saved(&mut self, now: f64) {
        (self.writing, self.complete, self.failures) = (false, false, 0);
        self.saved_at = Some(now);
        self.due = now + self.interval;
    }

    /// Notes a failed write and returns the pause until the next attempt.
    pub fn failed(&mut self, now: f64) -> f64 {
        (self.writing, self.complete) = (false, true);
        let pause = (FIRST_RETRY * 2f64.powi(self.failures.min(16) as i32)).min(MAX_RETRY) * self.interval;
        self.failures += 1;
        self.due = now + pause;
        pause
    }

    /// When the last write succeeded.
    pub fn saved_at(&self) -> Option<f64> {
        self.saved_at
    }
}

/// Contents of a snapshot, for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Inventory {
    #[serde(rename = "lives")]
    pub incarnations: usize,
    #[serde(rename = "ended_lives")]
    pub ended_incarnations: usize,
    pub deletions: usize,
    /// Number of facts by class.
    pub facts: BTreeMap<&'static str, usize>,
    /// Incarnations that would be rejected, and why.
    pub faults: Vec<String>,
}

impl Snapshot {
    /// Counts the contents and lists the incarnations that a restore would reject.
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
                    "front {front:016x}, incarnation {number}: {} of {} facts are there, or some are invalid",
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
