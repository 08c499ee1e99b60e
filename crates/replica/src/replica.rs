//! A copy of what one life of an origin wrote.

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
    /// None: deleted.
    pub fact: Option<Fact>,
    /// Nothing was there under its key before it.
    pub is_new: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Replica {
    pub incarnation: Incarnation,
    pub cursor: Cursor,
    pub entries: BTreeMap<Key, Entry>,
    pub by_seq: BTreeMap<u64, Key>,
    /// Numbers of deletions.
    pub deletions: BTreeSet<u64>,
    /// Held from before a fresh beginning, and not confirmed since. They count until the beginning is through, so
    /// that no warning is forgotten meanwhile, and are told to nobody.
    pub unconfirmed: BTreeSet<Key>,
    /// How far the fresh beginning must come.
    resync_until: u64,
    /// Not wanted any more: its front has been gone for long.
    pub dropped: bool,
    /// How far it has been told to anybody; of this front's own.
    pub sent_up_to: u64,
    /// Facts that hold, and a sum over them with their numbers: equal on copies that are equal.
    pub fact_count: usize,
    pub digest: u64,
    /// What changed since it was last kept; none where nothing is kept.
    pub changed: Option<BTreeSet<Key>>,
}

impl Replica {
    pub fn new(incarnation: Incarnation, tracks_changes: bool) -> Replica {
        Replica { incarnation, changed: tracks_changes.then(BTreeSet::new), ..Replica::default() }
    }

    /// It begins from nothing, of the same life: the keys that it had.
    pub fn clear(&mut self) -> Vec<Key> {
        let (incarnation, dropped) = (self.incarnation, self.dropped);
        let before = std::mem::replace(self, Replica { incarnation, dropped, ..Replica::default() });
        let keys: Vec<Key> = before.entries.into_keys().collect();
        self.changed =
            before.changed.map(|changed| changed.into_iter().chain(keys.iter().copied()).collect());
        keys
    }

    fn touch(&mut self, key: Key) {
        if let Some(changed) = &mut self.changed {
            changed.insert(key);
        }
    }

    fn update_digest(&mut self, key: &Key, entry: &Entry, added: bool) {
        let Some(fact) = &entry.fact else { return };
        // Fixed keys: the same facts give the same mark in every process.
        let mut hasher = DefaultHasher::new();
        (key, entry.seq, fact).hash(&mut hasher);
        let delta = hasher.finish();
        (self.fact_count, self.digest) = match added {
            true => (self.fact_count + 1, self.digest.wrapping_add(delta)),
            false => (self.fact_count - 1, self.digest.wrapping_sub(delta)),
        };
    }

    pub fn put(&mut self, key: Key, entry: Entry) {
        let (seq, deletions) = (entry.seq, entry.fact.is_none());
        self.update_digest(&key, &entry, true);
        if let Some(before) = self.entries.insert(key, entry) {
            self.update_digest(&key, &before, false);
            self.remove_seq(&key, before.seq);
        }
        self.unconfirmed.remove(&key);
        self.by_seq.insert(seq, key);
        if deletions {
            self.deletions.insert(seq);
        }
        self.touch(key);
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
        self.touch(*key);
    }

    /// Deletions up to the floor are forgotten.
    pub fn forget_deletions_up_to(&mut self, floor: u64) {
        let old = self.deletions.range(..=floor);
        let deletions: Vec<Key> = old.filter_map(|seq| self.by_seq.get(seq).copied()).collect();
        deletions.iter().for_each(|key| self.remove(key));
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

    /// What a copy of `reach` lacks, as far as `bytes` hold it.
    pub fn delta(&self, now: f64, front: FrontId, cursor: Cursor, bytes: usize) -> Option<Delta> {
        // One that has begun anew is no copy to begin from until it has come past the floor.
        if self.dropped || self.cursor.seq < self.cursor.floor {
            return None;
        }
        let follows = cursor.seq >= self.cursor.floor || cursor.floor == self.cursor.floor;
        let from = if follows { cursor.seq } else { 0 };
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
        let mut left = bytes;
        for (seq, key) in self.by_seq.range(from + 1..) {
            let Some(entry) = self.entries.get(key) else { continue };
            let size = max_encoded_size(entry.fact.as_ref());
            if size > left && !delta.items.is_empty() {
                delta.to = delta.items.last().map_or(from, |i| i.seq);
                break;
            }
            left = left.saturating_sub(size);
            let age = (now - entry.written_at).max(0.0);
            delta.items.push(Item { seq: *seq, age, key: *key, fact: entry.fact.clone() });
        }
        Some(delta)
    }

    /// Takes a part of this life in.
    pub fn apply(&mut self, now: f64, delta: &Delta, max_facts: usize) -> Applied {
        // Below a floor that it did not begin under, a copy may hold what was deleted.
        let below = self.cursor.seq < delta.floor && self.cursor.floor < delta.floor;
        let resync = below && delta.from == 0;
        if !resync && (below || delta.from > self.cursor.seq) {
            return Applied::Gap;
        }
        if !resync && delta.to <= self.cursor.seq {
            return Applied::AlreadyKnown;
        }
        let new_count = delta.items.iter().filter(|i| !self.entries.contains_key(&i.key)).count();
        if self.entries.len() - self.unconfirmed.len() + new_count > max_facts {
            return Applied::Invalid;
        }
        if resync {
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
            // Through: what was not said again is deleted.
            for key in std::mem::take(&mut self.unconfirmed) {
                self.remove(&key);
                keys.push(key);
            }
        }
        Applied::Changed { keys, more: delta.to < delta.sender_seq }
    }
}

/// Numbers rise within the range, and every fact is under a key of its class.
pub(crate) fn is_sound(delta: &Delta) -> bool {
    let mut last = delta.from;
    let rising = delta.items.iter().all(|i| std::mem::replace(&mut last, i.seq) < i.seq);
    let sound =
        |i: &Item| i.age.is_finite() && i.age >= 0.0 && i.fact.as_ref().is_none_or(|f| f.is_sound(&i.key));
    rising
        && last <= delta.to
        && delta.from <= delta.to
        && delta.to <= delta.sender_seq
        && delta.items.iter().all(sound)
}
