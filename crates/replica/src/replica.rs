//! A replica of the facts that one incarnation of an origin wrote.

use crate::facts::{max_encoded_size, Fact, Key};
use crate::message::{incarnation_pair, Cursor, Delta, Item};
use crate::replicas::Applied;
use shalespindle_peers::{FrontId, Incarnation};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Entry {
    pub seq: u64,
    pub written_at: f64,
    /// None for a deletion.
    pub fact: Option<Fact>,
    /// There was no entry under its key before it.
    pub is_new: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Replica {
    pub incarnation: Incarnation,
    pub cursor: Cursor,
    pub entries: BTreeMap<Key, Entry>,
    pub by_seq: BTreeMap<u64, Key>,
    /// Numbers of the deletions.
    pub deletions: BTreeSet<u64>,
    /// Keys that were held before a resync and have not been confirmed since. They count until the resync is
    /// complete, so that no warning is lost meanwhile, but are not sent to other fronts.
    pub unconfirmed: BTreeSet<Key>,
    /// The resync is complete at this number.
    resync_until: u64,
    /// Its front has been gone for so long that its facts are no longer kept.
    pub dropped: bool,
    /// The highest number that was sent to any front; only for this front's own replica.
    pub sent_up_to: u64,
    /// The number of facts, and a sum of hashes over them with their numbers: equal on equal replicas.
    pub fact_count: usize,
    pub digest: u64,
    /// Keys that changed since they were last stored; none if nothing is stored.
    pub changed: Option<BTreeSet<Key>>,
}

impl Replica {
    pub fn new(incarnation: Incarnation, tracks_changes: bool) -> Replica {
        Replica { incarnation, changed: tracks_changes.then(BTreeSet::new), ..Replica::default() }
    }

    /// Empties the replica, which stays of the same incarnation. Returns the keys that it had.
    pub fn clear(&mut self) -> Vec<Key> {
        let (incarnation, dropped) = (self.incarnation, self.dropped);
        let before = std::mem::replace(self, Replica { incarnation, dropped, ..Replica::default() });
        let keys: Vec<Key> = before.entries.into_keys().collect();
        self.changed =
            before.changed.map(|changed| changed.into_iter().chain(keys.iter().copied()).collect());
        keys
    }

    fn note_change(&mut self, key: Key) {
        if let Some(changed) = &mut self.changed {
            changed.insert(key);
        }
    }

    fn update_digest(&mut self, key: &Key, entry: &Entry, added: bool) {
        let Some(fact) = &entry.fact else { return };
        // The hasher has fixed keys: the same facts give the same digest in every process.
        let mut hasher = DefaultHasher::new();
        (key, entry.seq, fact).hash(&mut hasher);
        let fact_hash = hasher.finish();
        (self.fact_count, self.digest) = match added {
            true => (self.fact_count + 1, self.digest.wrapping_add(fact_hash)),
            false => (self.fact_count - 1, self.digest.wrapping_sub(fact_hash)),
        };
    }

    pub fn put(&mut self, key: Key, entry: Entry) {
        let (seq, is_deletion) = (entry.seq, entry.fact.is_none());
        self.update_digest(&key, &entry, true);
        if let Some(before) = self.entries.insert(key, entry) {
            self.update_digest(&key, &before, false);
            self.remove_seq(&key, before.seq);
        }
        self.unconfirmed.remove(&key);
        self.by_seq.insert(seq, key);
        if is_deletion {
            self.deletions.insert(seq);
        }
        self.note_change(key);
    }

    fn remove_seq(&mut self, key: &Key, seq: u64) {
        if self.by_seq.get(&seq) == Some(key) {
            self.by_seq.remove(&seq);
            self.deletions.remove(&seq);
        }
    }

    pub fn remove(&mut self, key: &Key) {
        if let Some(entry) = self.entries.remove(key) {
            self.update_digest(key, &entry, false);
            self.remove_seq(key, entry.seq);
        }
        self.unconfirmed.remove(key);
        self.note_change(*key);
    }

    /// Forgets the deletions up to the floor.
    pub fn forget_deletions_up_to(&mut self, floor: u64) {
        let old = self.deletions.range(..=floor);
        let keys: Vec<Key> = old.filter_map(|seq| self.by_seq.get(seq).copied()).collect();
        keys.iter().for_each(|key| self.remove(key));
        self.cursor.floor = self.cursor.floor.max(floor);
    }

    pub fn fact(&self, key: &Key) -> Option<&Fact> {
        self.entries.get(key)?.fact.as_ref()
    }

    fn begin_resync(&mut self, delta: &Delta) {
        self.unconfirmed = self.entries.keys().copied().collect();
        if let Some(changed) = &mut self.changed {
            changed.extend(&self.unconfirmed);
        }
        self.by_seq.clear();
        self.deletions.clear();
        self.cursor = Cursor { seq: 0, floor: delta.floor };
        self.resync_until = delta.sender_seq;
    }

    /// Returns what a replica at `cursor` lacks, as far as it fits into `bytes`.
    pub fn delta(&self, now: f64, front: FrontId, cursor: Cursor, bytes: usize) -> Option<Delta> {
        // A replica in resync cannot serve others until it is past the floor.
        if self.dropped || self.cursor.seq < self.cursor.floor {
            return None;
        }
        let continues = cursor.seq >= self.cursor.floor || cursor.floor == self.cursor.floor;
        let from = if continues { cursor.seq } else { 0 };
        if from >= self.cursor.seq {
            return None;
        }
        let mut delta = Delta {
            front: front.0,
            incarnation: incarnation_pair(self.incarnation),
            floor: self.cursor.floor,
            from,
            to: self.cursor.seq,
            sender_seq: self.cursor.seq,
            items: Vec::new(),
        };
        let mut bytes_left = bytes;
        for (seq, key) in self.by_seq.range(from + 1..) {
            let Some(entry) = self.entries.get(key) else { continue };
            let size = max_encoded_size(entry.fact.as_ref());
            if size > bytes_left && !delta.items.is_empty() {
                delta.to = delta.items.last().map_or(from, |i| i.seq);
                break;
            }
            bytes_left = bytes_left.saturating_sub(size);
            let age = (now - entry.written_at).max(0.0);
            delta.items.push(Item { seq: *seq, age, key: *key, fact: entry.fact.clone() });
        }
        Some(delta)
    }

    /// Applies a delta of this incarnation.
    pub fn apply(&mut self, now: f64, delta: &Delta, max_facts: usize) -> Applied {
        // A replica below a floor that its rebuild did not begin under may hold facts that have been deleted
        // since.
        let is_below_floor = self.cursor.seq < delta.floor && self.cursor.floor < delta.floor;
        let must_resync = is_below_floor && delta.from == 0;
        if !must_resync && (is_below_floor || delta.from > self.cursor.seq) {
            return Applied::Gap;
        }
        if !must_resync && delta.to <= self.cursor.seq {
            return Applied::AlreadyKnown;
        }
        let new_count = delta.items.iter().filter(|i| !self.entries.contains_key(&i.key)).count();
        if self.entries.len() - self.unconfirmed.len() + new_count > max_facts {
            return Applied::Invalid;
        }
        if must_resync {
            self.begin_resync(delta);
        }
        let mut keys = Vec::new();
        let held_seq = self.cursor.seq;
        for item in delta.items.iter().filter(|i| i.seq > held_seq) {
            let entry =
                Entry { seq: item.seq, written_at: now - item.age, fact: item.fact.clone(), is_new: false };
            self.put(item.key, entry);
            keys.push(item.key);
        }
        self.cursor.seq = delta.to;
        if delta.floor > self.cursor.floor {
            self.forget_deletions_up_to(delta.floor);
        }
        if !self.unconfirmed.is_empty() && self.cursor.seq >= self.resync_until {
            // The resync is complete: what was not confirmed is deleted.
            for key in std::mem::take(&mut self.unconfirmed) {
                self.remove(&key);
                keys.push(key);
            }
        }
        Applied::Changed { keys, more: delta.to < delta.sender_seq }
    }
}

/// Whether the numbers increase within the range and every fact is under a key of its class.
pub(crate) fn is_sound(delta: &Delta) -> bool {
    let mut last = delta.from;
    let increasing = delta.items.iter().all(|i| std::mem::replace(&mut last, i.seq) < i.seq);
    let sound =
        |i: &Item| i.age.is_finite() && i.age >= 0.0 && i.fact.as_ref().is_none_or(|f| f.is_sound(&i.key));
    increasing
        && last <= delta.to
        && delta.from <= delta.to
        && delta.to <= delta.sender_seq
        && delta.items.iter().all(sound)
}
