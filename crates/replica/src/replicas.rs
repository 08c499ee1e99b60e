//! Copies of what each origin wrote, this front's own among them.

use crate::facts::{CallEnd, CallRecord, Fact, Key};
use crate::message::{to_incarnation, Cursor, Delta};
use crate::replica::{is_sound, Entry, Replica};
use shalespindle_peers::{FrontId, Incarnation};
use std::collections::BTreeMap;

/// What copies are kept by. Times are seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaParams {
    /// Facts and remembered deletions of one origin at most.
    pub max_facts: usize,
    /// Deletions are remembered for so long.
    pub deletion_retention: f64,
}

/// An origin has no room for another fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// What became of a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Taken in; these keys may have changed, and there is more to ask for where `more`.
    Changed { keys: Vec<Key>, more: bool },
    /// It says nothing new.
    AlreadyKnown,
    /// Of a life that is over.
    OldIncarnation,
    /// Something before it is missing.
    Gap,
    /// Out of order within itself, too many facts, or a fact under a wrong key: not taken.
    Invalid,
}

/// Ended lives of one front that are kept at most; a front that ends more often than that while ended lives are kept
/// loses the calls of the first.
pub(crate) const MAX_ENDED: usize = 8;

/// The copy of a life that ended: equal on all fronts before long, so that they agree on which calls stood at its end.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndedReplica {
    pub replica: Replica,
    /// When this front learned that the life is over.
    pub since: f64,
    /// How far any front's copy of it is known to go.
    ahead: u64,
}

impl EndedReplica {
    /// Nothing is known to be missing.
    fn is_complete(&self) -> bool {
        self.replica.cursor.seq >= self.ahead && self.replica.unconfirmed.is_empty()
    }
}

/// A call that stood at the end of a life.
#[derive(Clone, Copy, Debug)]
pub struct OrphanedCall<'a> {
    pub owner: FrontId,
    pub incarnation: Incarnation,
    /// When it was learned here that the life is over.
    pub since: f64,
    pub record: &'a CallRecord,
}

/// Copies of all origins.
#[derive(Clone, Debug, PartialEq)]
pub struct Replicas {
    pub(crate) params: ReplicaParams,
    own: FrontId,
    pub(crate) current: BTreeMap<FrontId, Replica>,
    pub(crate) ended: BTreeMap<(FrontId, Incarnation), EndedReplica>,
    /// Lives up to this one are of no use any more, whoever still has copies of them.
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

    /// Writes a fact, in place of one of the same key; nothing happens where it says the same.
    pub fn write(&mut self, now: f64, key: Key, fact: Fact) -> Result<bool, Full> {
        self.put_own(now, key, Some(fact))
    }

    /// Deletes a fact, if there is one.
    pub fn delete(&mut self, now: f64, key: Key) -> bool {
        let there = self.own_fact(&key).is_some();
        there && self.put_own(now, key, None).is_ok()
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
        // What nobody was told of needs no deletion: calls that end before they are told leave nothing behind.
        let unsent = before.is_some_and(|e| e.is_new && e.seq > replica.sent_up_to);
        let first = unsent || before.is_none();
        if before.is_none() && replica.entries.len() >= max_facts {
            // Deletions make room first, however young; many at once, since looking for them takes time.
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
        replica.put(key, Entry { seq: replica.cursor.seq, written_at: now, fact, is_new: first });
        Ok(true)
    }

    /// This front has a new life: what it holds is written again under it. Others hold it under the one before, and so
    /// does this front, to tell them later what of it ended.
    pub fn renew(&mut self, now: f64, incarnation: Incarnation) {
        let Some(replica) = self.current.get_mut(&self.own) else { return };
        let before = replica.clone();
        (replica.incarnation, replica.sent_up_to) = (incarnation, 0);
        if let Some(changed) = &mut replica.changed {
            changed.extend(before.entries.keys());
        }
        self.end_incarnation(now, self.own, before);
    }

    /// Forgets deletions that are old enough; in batches, since others begin anew where the floor overtakes them.
    pub fn tick(&mut self, now: f64) {
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

    // ---- others' ----

    /// A front is known to have that life now: a copy of an earlier one is a past life's.
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

    /// A life of a front ended with that copy, as was learned at `since`.
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

    /// Ended lives of a front and how far their copies go, from the first on.
    pub fn ended_cursors(&self, front: FrontId) -> Vec<(Incarnation, Cursor)> {
        let top = Incarnation { number: u64::MAX, nonce: u64::MAX };
        let range = self.ended.range((front, Incarnation::default())..=(front, top));
        range.map(|((_, incarnation), ended)| (*incarnation, ended.replica.cursor)).collect()
    }

    /// How far the copy of an ended life goes, where somebody's goes up to `ahead`; none where it is of no use any more.
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

    /// The copy of an ended life, a new one where there is none.
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

    /// Lives of a front up to that one are of no use any more: what was kept of them is dropped.
    pub fn discard_up_to(&mut self, front: FrontId, incarnation: Incarnation) -> Vec<Key> {
        if self.is_obsolete(front, incarnation) {
            return Vec::new();
        }
        self.obsolete_up_to.insert(front, incarnation);
        let over: Vec<Incarnation> =
            self.ended_cursors(front).into_iter().map(|p| p.0).filter(|l| *l <= incarnation).collect();
        let gone = over.into_iter().filter_map(|incarnation| self.ended.remove(&(front, incarnation)));
        gone.flat_map(|ended| ended.replica.entries.into_keys()).collect()
    }

    /// Settles lives that ended so long ago, seconds.
    pub fn discard_older(&mut self, now: f64, age: f64) -> Vec<Key> {
        let old = self.ended.iter().filter(|(_, ended)| now - ended.since >= age);
        let old: Vec<(FrontId, Incarnation)> = old.map(|(at, _)| *at).collect();
        old.into_iter().flat_map(|(front, incarnation)| self.discard_up_to(front, incarnation)).collect()
    }

    /// What was kept of a front is of no use any more. Its life stays known, so that an old copy that somebody
    /// still has does not bring it back.
    pub fn drop_facts(&mut self, front: FrontId) -> Vec<Key> {
        let Some(replica) = self.current.get_mut(&front).filter(|_| front != self.own) else {
            return Vec::new();
        };
        replica.dropped = true;
        replica.clear()
    }

    /// The front is off the list: nothing of it is kept.
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

    /// What this front holds of others and of ended lives is too old to be believed: it begins from nothing.
    pub fn clear_others(&mut self) -> Vec<Key> {
        let ended = std::mem::take(&mut self.ended);
        let mut keys: Vec<Key> = ended.into_values().flat_map(|p| p.replica.entries.into_keys()).collect();
        let own = self.own;
        let others = self.current.iter_mut().filter(|(front, _)| **front != own);
        keys.extend(others.flat_map(|(_, replica)| replica.clear()));
        keys
    }

    /// The life that a front is known to have.
    pub fn incarnation(&self, front: FrontId) -> Incarnation {
        self.current.get(&front).map(|replica| replica.incarnation).unwrap_or_default()
    }

    /// How far the copy of that life of a front goes; none where it is not wanted any more.
    pub fn cursor(&self, front: FrontId, incarnation: Incarnation) -> Option<Cursor> {
        match self.current.get(&front).filter(|c| c.incarnation == incarnation) {
            Some(replica) => (!replica.dropped).then_some(replica.cursor),
            None => Some(Cursor::default()),
        }
    }

    /// What a copy of `reach` of that life lacks, as far as `bytes` hold it. Of one that ended and is not kept, what the
    /// life after it wrote.
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

    /// Takes a part in.
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
            // The new life alone is news.
            other if !before.is_empty() => {
                Applied::Changed { keys: before, more: other != Applied::AlreadyKnown }
            }
            other => other,
        }
    }

    // ---- what is read ----

    /// What each origin says of a key, with when it was written.
    pub fn facts_for(&self, key: Key) -> impl Iterator<Item = (FrontId, f64, &Fact)> + Clone {
        self.current.iter().filter_map(move |(front, replica)| {
            let entry = replica.entries.get(&key)?;
            Some((*front, entry.written_at, entry.fact.as_ref()?))
        })
    }

    /// Calls that a front owns.
    pub fn calls_of(&self, front: FrontId) -> impl Iterator<Item = (u64, &CallRecord)> {
        let entries = self.current.get(&front).into_iter().flat_map(|replica| &replica.entries);
        entries.filter_map(|(key, entry)| match (key, &entry.fact) {
            (Key::Call(call), Some(Fact::Call(record))) => Some((*call, &**record)),
            _ => None,
        })
    }

    /// A call that stood at the end of a life, of the latest such: whose, since when that is known, the call.
    pub fn orphaned_call(&self, call: u64) -> Option<OrphanedCall<'_>> {
        let found = self.ended.iter().filter_map(|((of, incarnation), ended)| {
            match ended.replica.fact(&Key::Call(call)) {
                Some(Fact::Call(record)) => {
                    Some(OrphanedCall { owner: *of, incarnation: *incarnation, since: ended.since, record })
                }
                _ => None,
            }
        });
        found.max_by_key(|found| found.incarnation)
    }

    /// Whether a front's ended life is known to its end, as far as anybody knows it, and the call did not stand there.
    pub fn ended_lacks(&self, front: FrontId, incarnation: Incarnation, call: u64) -> bool {
        let ended = self.ended.get(&(front, incarnation));
        ended.is_some_and(|ended| ended.is_complete() && ended.replica.fact(&Key::Call(call)).is_none())
    }

    /// Whether a front said in an ended life that a call is over: that holds on, claims do not.
    pub fn ended_earlier(&self, call: u64) -> bool {
        let over = Fact::CallEnd(CallEnd { claim: false });
        self.ended.values().any(|ended| ended.replica.fact(&Key::CallEnd(call)) == Some(&over))
    }

    /// Whether nothing is known to be missing of a front's ended lives.
    pub fn ended_are_complete(&self, front: FrontId) -> bool {
        let mut ended = self.ended.iter().filter(|((of, _), _)| *of == front);
        ended.all(|(_, ended)| ended.is_complete())
    }

    /// This front's words that calls are over which are older than that, seconds.
    pub fn old_call_ends(&self, now: f64, age: f64) -> Vec<Key> {
        let own = self.current.get(&self.own).into_iter();
        // Keys are in the order of their classes: the calls before them are not looked at.
        let call_ends =
            own.flat_map(|replica| replica.entries.range(Key::CallEnd(0)..=Key::CallEnd(u64::MAX)));
        let old = call_ends.filter(|(_, e)| e.fact.is_some() && now - e.written_at >= age);
        old.map(|(key, _)| *key).collect()
    }

    /// Facts that are held of a front.
    pub fn fact_count(&self, front: FrontId) -> usize {
        self.current.get(&front).map_or(0, |replica| replica.fact_count)
    }

    /// Facts of a front with their numbers: equal on copies that are equal.
    pub fn facts(&self, front: FrontId) -> Vec<(Key, u64, Fact)> {
        self.facts_of(front, self.incarnation(front))
    }

    /// Facts of one life of a front with their numbers.
    pub fn facts_of(&self, front: FrontId, incarnation: Incarnation) -> Vec<(Key, u64, Fact)> {
        let current = self.current.get(&front).filter(|replica| replica.incarnation == incarnation);
        let ended = self.ended.get(&(front, incarnation)).map(|ended| &ended.replica);
        let Some(replica) = current.or(ended) else { return Vec::new() };
        let fact_count = replica.entries.iter().filter_map(|(k, e)| Some((*k, e.seq, e.fact.clone()?)));
        fact_count.collect()
    }

    /// A mark of what is held of a front: equal on copies that are equal.
    pub fn digest(&self, front: FrontId) -> u64 {
        self.current.get(&front).map_or(0, |replica| replica.digest)
    }

    pub fn own(&self) -> FrontId {
        self.own
    }
}
