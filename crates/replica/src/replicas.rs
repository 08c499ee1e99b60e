//! Replicas of what each origin wrote, including this front.

use crate::facts::{CallEnd, CallRecord, Fact, Key};
use crate::message::{to_incarnation, Cursor, Delta};
use crate::replica::{is_sound, Entry, Replica};
use shalespindle_peers::{FrontId, Incarnation};
use std::collections::BTreeMap;

/// Parameters of [`Replicas`]. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaParams {
    /// Maximum number of facts and remembered deletions of one origin.
    pub max_facts: usize,
    /// Deletions are remembered for this time.
    pub deletion_retention: f64,
}

/// The replica of this front is full and cannot take another fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// The outcome of applying a delta.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Applied: these keys may have changed; with `more`, further facts can be requested.
    Changed { keys: Vec<Key>, more: bool },
    /// It contains nothing new.
    AlreadyKnown,
    /// Its incarnation has ended and is no longer needed.
    OldIncarnation,
    /// Facts that precede it are missing.
    Gap,
    /// Rejected: out of order within itself, too many facts, or a fact under a wrong key.
    Invalid,
}

/// Maximum number of ended incarnations that are kept of one front. If more end while earlier ones are still
/// kept, the calls of the earliest are lost.
pub(crate) const MAX_ENDED: usize = 8;

/// The replica of an ended incarnation. It becomes equal on all fronts before long, so that they agree on
/// which calls were established at its end.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndedReplica {
    pub replica: Replica,
    /// When this front learned that the incarnation had ended.
    pub since: f64,
    /// The highest number in any front's replica of it, as far as reported.
    ahead: u64,
}

impl EndedReplica {
    /// Whether nothing is known to be missing.
    fn is_complete(&self) -> bool {
        self.replica.cursor.seq >= self.ahead && self.replica.unconfirmed.is_empty()
    }
}

/// A call that was established at the end of an incarnation.
#[derive(Clone, Copy, Debug)]
pub struct OrphanedCall<'a> {
    pub owner: FrontId,
    pub incarnation: Incarnation,
    /// When this front learned that the incarnation had ended.
    pub since: f64,
    pub record: &'a CallRecord,
}

/// Replicas of all origins.
#[derive(Clone, Debug, PartialEq)]
pub struct Replicas {
    pub(crate) params: ReplicaParams,
    own: FrontId,
    pub(crate) current: BTreeMap<FrontId, Replica>,
    pub(crate) ended: BTreeMap<(FrontId, Incarnation), EndedReplica>,
    /// Incarnations up to this one are no longer needed, even if some front still has replicas of them.
    pub(crate) obsolete_up_to: BTreeMap<FrontId, Incarnation>,
    pub(crate) tracks_changes: bool,
}

impl Replicas {
    pub fn new(params: ReplicaParams, own: FrontId, incarnation: Incarnation) -> Replicas {
        let current = BTreeMap::from([(own, Replica::new(incarnation, false))]);
        Replicas {
            params,
            own,
            current,
            ended: BTreeMap::new(),
            obsolete_up_to: BTreeMap::new(),
            tracks_changes: false,
        }
    }

    // ---- this front's own facts ----

    /// Writes a fact, replacing one under the same key. Returns false if the same fact was there already.
    pub fn write(&mut self, now: f64, key: Key, fact: Fact) -> Result<bool, Full> {
        self.put_own(now, key, Some(fact))
    }

    /// Deletes a fact if there is one.
    pub fn delete(&mut self, now: f64, key: Key) -> bool {
        let exists = self.own_fact(&key).is_some();
        exists && self.put_own(now, key, None).is_ok()
    }

    pub fn own_fact(&self, key: &Key) -> Option<&Fact> {
        self.current.get(&self.own)?.fact(key)
    }

    fn put_own(&mut self, now: f64, key: Key, fact: Option<Fact>) -> Result<bool, Full> {
        let max_facts = self.params.max_facts;
        let Some(replica) = self.current.get_mut(&self.own) else { return Err(Full) };
        let before = replica.entries.get(&key);
        if before.is_some_and(|e| e.fact == fact) {
            return Ok(false);
        }
        // A fact that was never sent needs no deletion: calls that end before they are sent leave nothing
        // behind.
        let unsent = before.is_some_and(|e| e.is_new && e.seq > replica.sent_up_to);
        let is_new = unsent || before.is_none();
        if before.is_none() && replica.entries.len() >= max_facts {
            // Deletions are dropped first to free capacity, however recent; many at once, because finding
            // them takes time.
            let Some(seq) = replica.deletions.iter().take(max_facts / 8 + 1).next_back().copied() else {
                return Err(Full);
            };
            replica.forget_deletions_up_to(seq);
        }
        if fact.is_none() && unsent {
            replica.remove(&key);
            return Ok(true);
        }
        replica.cursor.seq += 1;
        replica.put(key, Entry { seq: replica.cursor.seq, written_at: now, fact, is_new });
        Ok(true)
    }

    /// Starts a new incarnation of this front: its facts are rewritten under the new one. The other fronts
    /// hold them under the previous one, and so does this front, to report later which of them ended.
    pub fn start_incarnation(&mut self, now: f64, incarnation: Incarnation) {
        let Some(replica) = self.current.get_mut(&self.own) else { return };
        let before = replica.clone();
        (replica.incarnation, replica.sent_up_to) = (incarnation, 0);
        if let Some(changed) = &mut replica.changed {
            changed.extend(before.entries.keys());
        }
        self.end_incarnation(now, self.own, before);
    }

    /// Forgets deletions that are old enough; in batches, because replicas that the floor overtakes must be
    /// rebuilt.
    pub fn forget_old_deletions(&mut self, now: f64) {
        let deletion_retention = self.params.deletion_retention;
        let Some(replica) = self.current.get_mut(&self.own) else { return };
        let age = |seq: &u64| {
            let entry = replica.by_seq.get(seq).and_then(|key| replica.entries.get(key));
            entry.map_or(f64::INFINITY, |entry| now - entry.written_at)
        };
        if replica.deletions.first().is_none_or(|first| age(first) < deletion_retention) {
            return;
        }
        let floor =
            replica.deletions.iter().take_while(|seq| age(seq) >= deletion_retention / 2.0).last().copied();
        if let Some(floor) = floor {
            replica.forget_deletions_up_to(floor);
        }
    }

    // ---- replicas of other fronts ----

    /// Notes that a front has that incarnation now: the replica of an earlier one becomes that of an ended
    /// incarnation. Returns the keys that may have changed.
    pub fn advance_incarnation(&mut self, now: f64, front: FrontId, incarnation: Incarnation) -> Vec<Key> {
        if front == self.own {
            return Vec::new();
        }
        let tracks_changes = self.tracks_changes;
        let replica =
            self.current.entry(front).or_insert_with(|| Replica::new(Incarnation::default(), tracks_changes));
        if replica.incarnation >= incarnation {
            replica.dropped &= replica.incarnation > incarnation;
            return Vec::new();
        }
        let before = std::mem::replace(replica, Replica::new(incarnation, tracks_changes));
        let mut keys: Vec<Key> = before.entries.keys().copied().collect();
        keys.extend(self.end_incarnation(now, front, before));
        keys
    }

    /// Stores the final replica of an incarnation of a front; `since` is when this front learned that it had
    /// ended.
    pub(crate) fn end_incarnation(&mut self, since: f64, front: FrontId, replica: Replica) -> Vec<Key> {
        if replica.dropped {
            return self.discard_up_to(front, replica.incarnation);
        }
        if replica.cursor.seq == 0 || self.is_obsolete(front, replica.incarnation) {
            return Vec::new();
        }
        let ahead = replica.cursor.seq;
        self.ended.insert((front, replica.incarnation), EndedReplica { replica, since, ahead });
        let ended = self.ended_cursors(front);
        match ended.len().checked_sub(MAX_ENDED + 1) {
            Some(oldest) => self.discard_up_to(front, ended[oldest].0),
            None => Vec::new(),
        }
    }

    /// The ended incarnations of a front with the cursors of their replicas, earliest first.
    pub fn ended_cursors(&self, front: FrontId) -> Vec<(Incarnation, Cursor)> {
        let max = Incarnation { number: u64::MAX, nonce: u64::MAX };
        let range = self.ended.range((front, Incarnation::default())..=(front, max));
        range.map(|((_, incarnation), ended)| (*incarnation, ended.replica.cursor)).collect()
    }

    /// Returns the cursor for an ended incarnation of which some front has facts up to number `ahead`; none
    /// if the incarnation is no longer needed.
    pub fn ended_cursor(
        &mut self,
        now: f64,
        front: FrontId,
        incarnation: Incarnation,
        ahead: u64,
    ) -> Option<Cursor> {
        if self.is_obsolete(front, incarnation) {
            return None;
        }
        if ahead == 0
            || !self.ended.contains_key(&(front, incarnation)) && self.ended_cursors(front).len() >= MAX_ENDED
        {
            return Some(
                self.ended.get(&(front, incarnation)).map(|ended| ended.replica.cursor).unwrap_or_default(),
            );
        }
        let ended = self.ended_entry(now, front, incarnation);
        ended.ahead = ended.ahead.max(ahead);
        Some(ended.replica.cursor)
    }

    /// Returns the replica of an ended incarnation, a new one if there is none.
    fn ended_entry(&mut self, now: f64, front: FrontId, incarnation: Incarnation) -> &mut EndedReplica {
        let tracks_changes = self.tracks_changes;
        let fresh =
            || EndedReplica { replica: Replica::new(incarnation, tracks_changes), since: now, ahead: 0 };
        self.ended.entry((front, incarnation)).or_insert_with(fresh)
    }

    pub fn obsolete_up_to(&self, front: FrontId) -> Incarnation {
        self.obsolete_up_to.get(&front).copied().unwrap_or_default()
    }

    fn is_obsolete(&self, front: FrontId, incarnation: Incarnation) -> bool {
        incarnation <= self.obsolete_up_to(front)
    }

    /// Marks the incarnations of a front up to that one as no longer needed and discards their replicas.
    /// Returns the keys that may have changed.
    pub fn discard_up_to(&mut self, front: FrontId, incarnation: Incarnation) -> Vec<Key> {
        if self.is_obsolete(front, incarnation) {
            return Vec::new();
        }
        self.obsolete_up_to.insert(front, incarnation);
        let discarded: Vec<Incarnation> =
            self.ended_cursors(front).into_iter().map(|p| p.0).filter(|l| *l <= incarnation).collect();
        let removed =
            discarded.into_iter().filter_map(|incarnation| self.ended.remove(&(front, incarnation)));
        removed.flat_map(|ended| ended.replica.entries.into_keys()).collect()
    }

    /// Discards incarnations that ended at least `age` seconds ago.
    pub fn discard_older(&mut self, now: f64, age: f64) -> Vec<Key> {
        let old = self.ended.iter().filter(|(_, ended)| now - ended.since >= age);
        let old: Vec<(FrontId, Incarnation)> = old.map(|(at, _)| *at).collect();
        old.into_iter().flat_map(|(front, incarnation)| self.discard_up_to(front, incarnation)).collect()
    }

    /// Drops the facts of a front that are no longer needed. Its incarnation stays known, so that an old
    /// replica that some front still has does not bring them back.
    pub fn drop_facts(&mut self, front: FrontId) -> Vec<Key> {
        let Some(replica) = self.current.get_mut(&front).filter(|_| front != self.own) else {
            return Vec::new();
        };
        replica.dropped = true;
        replica.clear()
    }

    /// Removes everything of a front that is no longer listed.
    pub fn remove_front(&mut self, front: FrontId) -> Vec<Key> {
        if front == self.own {
            return Vec::new();
        }
        let last = self.ended_cursors(front).last().map(|p| p.0).unwrap_or_default();
        let mut keys = self.discard_up_to(front, last);
        self.obsolete_up_to.remove(&front);
        keys.extend(self.current.remove(&front).into_iter().flat_map(|replica| replica.entries.into_keys()));
        keys
    }

    /// Clears the replicas of other fronts and of ended incarnations, which are too old to rely on.
    pub fn clear_others(&mut self) -> Vec<Key> {
        let ended = std::mem::take(&mut self.ended);
        let mut keys: Vec<Key> = ended.into_values().flat_map(|p| p.replica.entries.into_keys()).collect();
        let own = self.own;
        let others = self.current.iter_mut().filter(|(front, _)| **front != own);
        keys.extend(others.flat_map(|(_, replica)| replica.clear()));
        keys
    }

    /// The incarnation that a front is known to have.
    pub fn incarnation(&self, front: FrontId) -> Incarnation {
        self.current.get(&front).map(|replica| replica.incarnation).unwrap_or_default()
    }

    /// The cursor of the replica of that incarnation of a front; none if the replica is no longer wanted.
    pub fn cursor(&self, front: FrontId, incarnation: Incarnation) -> Option<Cursor> {
        match self.current.get(&front).filter(|c| c.incarnation == incarnation) {
            Some(replica) => (!replica.dropped).then_some(replica.cursor),
            None => Some(Cursor::default()),
        }
    }

    /// Returns what a replica at `cursor` of that incarnation lacks, as far as it fits into `bytes`. For an
    /// incarnation that ended and is not kept here, returns what the current incarnation wrote.
    pub fn delta(
        &mut self,
        now: f64,
        front: FrontId,
        incarnation: Incarnation,
        cursor: Cursor,
        bytes: usize,
    ) -> Option<Delta> {
        if let Some(ended) = self.ended.get(&(front, incarnation)) {
            return ended.replica.delta(now, front, cursor, bytes);
        }
        let replica = self.current.get_mut(&front).filter(|replica| replica.incarnation >= incarnation)?;
        let cursor = if replica.incarnation > incarnation { Cursor::default() } else { cursor };
        let delta = replica.delta(now, front, cursor, bytes)?;
        replica.sent_up_to = replica.sent_up_to.max(delta.to);
        Some(delta)
    }

    /// Applies a delta.
    pub fn apply(&mut self, now: f64, delta: &Delta) -> Applied {
        let (front, incarnation) = (FrontId(delta.front), to_incarnation(delta.incarnation));
        let current = self.incarnation(front);
        if front == self.own && incarnation >= current {
            return Applied::AlreadyKnown;
        }
        if incarnation < current && self.is_obsolete(front, incarnation) {
            return Applied::OldIncarnation;
        }
        if !is_sound(delta) {
            return Applied::Invalid;
        }
        let before = if incarnation > current {
            self.advance_incarnation(now, front, incarnation)
        } else {
            Vec::new()
        };
        let (max_facts, tracks_changes) = (self.params.max_facts, self.tracks_changes);
        let applied = if incarnation < current {
            if !self.ended.contains_key(&(front, incarnation)) && self.ended_cursors(front).len() >= MAX_ENDED
            {
                return Applied::OldIncarnation;
            }
            let ended = self.ended_entry(now, front, incarnation);
            ended.ahead = ended.ahead.max(delta.sender_seq);
            ended.replica.apply(now, delta, max_facts)
        } else {
            let replica =
                self.current.entry(front).or_insert_with(|| Replica::new(incarnation, tracks_changes));
            if replica.dropped {
                return Applied::OldIncarnation;
            }
            replica.apply(now, delta, max_facts)
        };
        match applied {
            Applied::Changed { mut keys, more } => {
                keys.extend(before);
                Applied::Changed { keys, more }
            }
            // The new incarnation alone is a change.
            other if !before.is_empty() => {
                Applied::Changed { keys: before, more: other != Applied::AlreadyKnown }
            }
            other => other,
        }
    }

    // ---- queries ----

    /// The fact of each origin under a key, with the time of its writing.
    pub fn facts_for(&self, key: Key) -> impl Iterator<Item = (FrontId, f64, &Fact)> + Clone {
        self.current.iter().filter_map(move |(front, replica)| {
            let entry = replica.entries.get(&key)?;
            Some((*front, entry.written_at, entry.fact.as_ref()?))
        })
    }

    /// The calls that a front owns.
    pub fn calls_of(&self, front: FrontId) -> impl Iterator<Item = (u64, &CallRecord)> {
        let entries = self.current.get(&front).into_iter().flat_map(|replica| &replica.entries);
        entries.filter_map(|(key, entry)| match (key, &entry.fact) {
            (Key::Call(call), Some(Fact::Call(record))) => Some((*call, &**record)),
            _ => None,
        })
    }

    /// The call as it was established at the end of an incarnation, the latest such incarnation.
    pub fn orphaned_call(&self, call: u64) -> Option<OrphanedCall<'_>> {
        let found = self.ended.iter().filter_map(|((owner, incarnation), ended)| {
            match ended.replica.fact(&Key::Call(call)) {
                Some(Fact::Call(record)) => Some(OrphanedCall {
                    owner: *owner,
                    incarnation: *incarnation,
                    since: ended.since,
                    record,
                }),
                _ => None,
            }
        });
        found.max_by_key(|found| found.incarnation)
    }

    /// Whether an ended incarnation is complete, as far as any front knows it, and the call was not
    /// established at its end.
    pub fn ended_without_call(&self, front: FrontId, incarnation: Incarnation, call: u64) -> bool {
        let ended = self.ended.get(&(front, incarnation));
        ended.is_some_and(|ended| ended.is_complete() && ended.replica.fact(&Key::Call(call)).is_none())
    }

    /// Whether a front published in an ended incarnation that a call has ended. That remains valid; claims do
    /// not.
    pub fn has_earlier_end(&self, call: u64) -> bool {
        let call_end = Fact::CallEnd(CallEnd { claim: false });
        self.ended.values().any(|ended| ended.replica.fact(&Key::CallEnd(call)) == Some(&call_end))
    }

    /// Whether nothing is known to be missing of the ended incarnations of a front.
    pub fn ended_are_complete(&self, front: FrontId) -> bool {
        let mut ended = self.ended.iter().filter(|((owner, _), _)| *owner == front);
        ended.all(|(_, ended)| ended.is_complete())
    }

    /// Keys of this front's call ends that are older than `age` seconds.
    pub fn old_call_ends(&self, now: f64, age: f64) -> Vec<Key> {
        let own = self.current.get(&self.own).into_iter();
        // Keys are ordered by class, so the calls before them are skipped.
        let call_ends =
            own.flat_map(|replica| replica.entries.range(Key::CallEnd(0)..=Key::CallEnd(u64::MAX)));
        let old = call_ends.filter(|(_, e)| e.fact.is_some() && now - e.written_at >= age);
        old.map(|(key, _)| *key).collect()
    }

    /// The number of facts in the replica of a front.
    pub fn fact_count(&self, front: FrontId) -> usize {
        self.current.get(&front).map_or(0, |replica| replica.fact_count)
    }

    /// The facts of a front with their numbers: equal on equal replicas.
    pub fn facts(&self, front: FrontId) -> Vec<(Key, u64, Fact)> {
        self.facts_of(front, self.incarnation(front))
    }

    /// The facts of one incarnation of a front with their numbers.
    pub fn facts_of(&self, front: FrontId, incarnation: Incarnation) -> Vec<(Key, u64, Fact)> {
        let current = self.current.get(&front).filter(|replica| replica.incarnation == incarnation);
        let ended = self.ended.get(&(front, incarnation)).map(|ended| &ended.replica);
        let Some(replica) = current.or(ended) else { return Vec::new() };
        let facts = replica.entries.iter().filter_map(|(k, e)| Some((*k, e.seq, e.fact.clone()?)));
        facts.collect()
    }

    /// A digest of the replica of a front: equal on equal replicas.
    pub fn digest(&self, front: FrontId) -> u64 {
        self.current.get(&front).map_or(0, |replica| replica.digest)
    }

    pub fn own(&self) -> FrontId {
        self.own
    }
}
