//! A copy of what one life of an origin wrote.

use crate::copies::Applied;
use crate::facts::{room, Fact, Key};
use crate::message::{pair, Item, Part, Reach};
use shalespindle_peers::{FrontId, Life};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Entry {
    pub seq: u64,
    pub written: f64,
    /// None: deleted.
    pub fact: Option<Fact>,
    /// Nothing was there under its key before it.
    pub first: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Copy {
    pub life: Life,
    pub reach: Reach,
    pub entries: BTreeMap<Key, Entry>,
    pub by_seq: BTreeMap<u64, Key>,
    /// Numbers of deletions.
    pub dead: BTreeSet<u64>,
    /// Held from before a fresh beginning, and not confirmed since. They count until the beginning is through, so
    /// that no warning is forgotten meanwhile, and are told to nobody.
    pub ghosts: BTreeSet<Key>,
    /// How far the fresh beginning must come.
    anew_until: u64,
    /// Not wanted any more: its front has been gone for long.
    pub dropped: bool,
    /// How far it has been told to anybody; of this front's own.
    pub told: u64,
    /// Facts that hold, and a sum over them with their numbers: equal on copies that are equal.
    pub live: usize,
    pub mark: u64,
    /// What changed since it was last kept; none where nothing is kept.
    pub touched: Option<BTreeSet<Key>>,
}

impl Copy {
    pub fn new(life: Life, keeps: bool) -> Copy {
        Copy { life, touched: keeps.then(BTreeSet::new), ..Copy::default() }
    }

    /// It begins from nothing, of the same life: the keys that it had.
    pub fn clear(&mut self) -> Vec<Key> {
        let (life, dropped) = (self.life, self.dropped);
        let before = std::mem::replace(self, Copy { life, dropped, ..Copy::default() });
        let keys: Vec<Key> = before.entries.into_keys().collect();
        self.touched =
            before.touched.map(|touched| touched.into_iter().chain(keys.iter().copied()).collect());
        keys
    }

    fn touch(&mut self, key: Key) {
        if let Some(touched) = &mut self.touched {
            touched.insert(key);
        }
    }

    fn count(&mut self, key: &Key, entry: &Entry, comes: bool) {
        let Some(fact) = &entry.fact else { return };
        // Fixed keys: the same facts give the same mark in every process.
        let mut hasher = DefaultHasher::new();
        (key, entry.seq, fact).hash(&mut hasher);
        let part = hasher.finish();
        (self.live, self.mark) = match comes {
            true => (self.live + 1, self.mark.wrapping_add(part)),
            false => (self.live - 1, self.mark.wrapping_sub(part)),
        };
    }

    pub fn put(&mut self, key: Key, entry: Entry) {
        let (seq, dead) = (entry.seq, entry.fact.is_none());
        self.count(&key, &entry, true);
        if let Some(before) = self.entries.insert(key, entry) {
            self.count(&key, &before, false);
            self.unlist(&key, before.seq);
        }
        self.ghosts.remove(&key);
        self.by_seq.insert(seq, key);
        if dead {
            self.dead.insert(seq);
        }
        self.touch(key);
    }

    fn unlist(&mut self, key: &Key, seq: u64) {
        if self.by_seq.get(&seq) == Some(key) {
            self.by_seq.remove(&seq);
            self.dead.remove(&seq);
        }
    }

    pub fn remove(&mut self, key: &Key) {
        if let Some(entry) = self.entries.remove(key) {
            self.count(key, &entry, false);
            self.unlist(key, entry.seq);
        }
        self.ghosts.remove(key);
        self.touch(*key);
    }

    /// Deletions up to the floor are forgotten.
    pub fn forget_below(&mut self, floor: u64) {
        let old = self.dead.range(..=floor);
        let dead: Vec<Key> = old.filter_map(|seq| self.by_seq.get(seq).copied()).collect();
        dead.iter().for_each(|key| self.remove(key));
        self.reach.floor = self.reach.floor.max(floor);
    }

    pub fn fact(&self, key: &Key) -> Option<&Fact> {
        self.entries.get(key)?.fact.as_ref()
    }

    fn begin_anew(&mut self, part: &Part) {
        self.ghosts = self.entries.keys().copied().collect();
        if let Some(touched) = &mut self.touched {
            touched.extend(&self.ghosts);
        }
        self.by_seq.clear();
        self.dead.clear();
        self.reach = Reach { seq: 0, floor: part.floor };
        self.anew_until = part.last;
    }

    /// What a copy of `reach` lacks, as far as `bytes` hold it.
    pub fn part(&self, now: f64, front: FrontId, reach: Reach, bytes: usize) -> Option<Part> {
        // One that has begun anew is no copy to begin from until it has come past the floor.
        if self.dropped || self.reach.seq < self.reach.floor {
            return None;
        }
        let follows = reach.seq >= self.reach.floor || reach.floor == self.reach.floor;
        let from = if follows { reach.seq } else { 0 };
        if from >= self.reach.seq {
            return None;
        }
        let mut part = Part {
            front: front.0,
            life: pair(self.life),
            floor: self.reach.floor,
            from,
            to: self.reach.seq,
            last: self.reach.seq,
            items: Vec::new(),
        };
        let mut left = bytes;
        for (seq, key) in self.by_seq.range(from + 1..) {
            let Some(entry) = self.entries.get(key) else { continue };
            let size = room(entry.fact.as_ref());
            if size > left && !part.items.is_empty() {
                part.to = part.items.last().map_or(from, |i| i.seq);
                break;
            }
            left = left.saturating_sub(size);
            let age = (now - entry.written).max(0.0);
            part.items.push(Item { seq: *seq, age, key: *key, fact: entry.fact.clone() });
        }
        Some(part)
    }

    /// Takes a part of this life in.
    pub fn apply(&mut self, now: f64, part: &Part, most: usize) -> Applied {
        // Below a floor that it did not begin under, a copy may hold what was deleted.
        let below = self.reach.seq < part.floor && self.reach.floor < part.floor;
        let anew = below && part.from == 0;
        if !anew && (below || part.from > self.reach.seq) {
            return Applied::Gap;
        }
        if !anew && part.to <= self.reach.seq {
            return Applied::Known;
        }
        let fresh = part.items.iter().filter(|i| !self.entries.contains_key(&i.key)).count();
        if self.entries.len() - self.ghosts.len() + fresh > most {
            return Applied::Bad;
        }
        if anew {
            self.begin_anew(part);
        }
        let mut keys = Vec::new();
        let held = self.reach.seq;
        for item in part.items.iter().filter(|i| i.seq > held) {
            let entry =
                Entry { seq: item.seq, written: now - item.age, fact: item.fact.clone(), first: false };
            self.put(item.key, entry);
            keys.push(item.key);
        }
        self.reach.seq = part.to;
        if part.floor > self.reach.floor {
            self.forget_below(part.floor);
        }
        if !self.ghosts.is_empty() && self.reach.seq >= self.anew_until {
            // Through: what was not said again is deleted.
            for key in std::mem::take(&mut self.ghosts) {
                self.remove(&key);
                keys.push(key);
            }
        }
        Applied::News { keys, more: part.to < part.last }
    }
}

/// Numbers rise within the range, and every fact is under a key of its class.
pub(crate) fn is_sound(part: &Part) -> bool {
    let mut last = part.from;
    let rising = part.items.iter().all(|i| std::mem::replace(&mut last, i.seq) < i.seq);
    let sound =
        |i: &Item| i.age.is_finite() && i.age >= 0.0 && i.fact.as_ref().is_none_or(|f| f.is_sound(&i.key));
    rising && last <= part.to && part.from <= part.to && part.to <= part.last && part.items.iter().all(sound)
}
