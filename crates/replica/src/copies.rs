//! Copies of what each origin wrote, this front's own among them.

use crate::copy::{is_sound, Copy, Entry};
use crate::facts::{CallWord, Fact, Key, OverWord};
use crate::message::{life, Part, Reach};
use shalespindle_peers::{FrontId, Life};
use std::collections::BTreeMap;

/// What copies are kept by. Times are seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CopiesParams {
    /// Facts and remembered deletions of one origin at most.
    pub most: usize,
    /// Deletions are remembered for so long.
    pub remember: f64,
}

/// An origin has no room for another fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// What became of a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Taken in; these keys may have changed, and there is more to ask for where `more`.
    News { keys: Vec<Key>, more: bool },
    /// It says nothing new.
    Known,
    /// Of a life that is over.
    OldLife,
    /// Something before it is missing.
    Gap,
    /// Out of order within itself, too many facts, or a fact under a wrong key: not taken.
    Bad,
}

/// Ended lives of one front that are kept at most; a front that ends more often than that while ended lives are kept
/// loses the calls of the first.
pub(crate) const MOST_PASTS: usize = 8;

/// The copy of a life that ended: equal on all fronts before long, so that they agree on which calls stood at its end.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Past {
    pub copy: Copy,
    /// When this front learned that the life is over.
    pub since: f64,
    /// How far any front's copy of it is known to go.
    ahead: u64,
}

impl Past {
    /// Nothing is known to be missing.
    fn is_whole(&self) -> bool {
        self.copy.reach.seq >= self.ahead && self.copy.ghosts.is_empty()
    }
}

/// A call that stood at the end of a life.
#[derive(Clone, Copy, Debug)]
pub struct PastCall<'a> {
    pub of: FrontId,
    pub life: Life,
    /// When it was learned here that the life is over.
    pub since: f64,
    pub word: &'a CallWord,
}

/// Copies of all origins.
#[derive(Clone, Debug, PartialEq)]
pub struct Copies {
    pub(crate) params: CopiesParams,
    own: FrontId,
    pub(crate) all: BTreeMap<FrontId, Copy>,
    pub(crate) past: BTreeMap<(FrontId, Life), Past>,
    /// Lives up to this one are of no use any more, whoever still has copies of them.
    pub(crate) settled: BTreeMap<FrontId, Life>,
    pub(crate) keeps: bool,
}

impl Copies {
    pub fn new(params: CopiesParams, own: FrontId, life: Life) -> Copies {
        let all = BTreeMap::from([(own, Copy::new(life, false))]);
        Copies { params, own, all, past: BTreeMap::new(), settled: BTreeMap::new(), keeps: false }
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
        self.all.get(&self.own)?.fact(key)
    }

    fn put_own(&mut self, now: f64, key: Key, fact: Option<Fact>) -> Result<bool, Full> {
        let most = self.params.most;
        let Some(copy) = self.all.get_mut(&self.own) else { return Err(Full) };
        let before = copy.entries.get(&key);
        if before.is_some_and(|e| e.fact == fact) {
            return Ok(false);
        }
        // What nobody was told of needs no deletion: calls that end before they are told leave nothing behind.
        let untold = before.is_some_and(|e| e.first && e.seq > copy.told);
        let first = untold || before.is_none();
        if before.is_none() && copy.entries.len() >= most {
            // Deletions make room first, however young; many at once, since looking for them takes time.
            let Some(seq) = copy.dead.iter().take(most / 8 + 1).next_back().copied() else {
                return Err(Full);
            };
            copy.forget_below(seq);
        }
        if fact.is_none() && untold {
            copy.remove(&key);
            return Ok(true);
        }
        copy.reach.seq += 1;
        copy.put(key, Entry { seq: copy.reach.seq, written: now, fact, first });
        Ok(true)
    }

    /// This front has a new life: what it holds is written again under it. Others hold it under the one before, and so
    /// does this front, to tell them later what of it ended.
    pub fn renew(&mut self, now: f64, life: Life) {
        let Some(copy) = self.all.get_mut(&self.own) else { return };
        let before = copy.clone();
        (copy.life, copy.told) = (life, 0);
        if let Some(touched) = &mut copy.touched {
            touched.extend(before.entries.keys());
        }
        self.end(now, self.own, before);
    }

    /// Forgets deletions that are old enough; in batches, since others begin anew where the floor overtakes them.
    pub fn tick(&mut self, now: f64) {
        let remember = self.params.remember;
        let Some(copy) = self.all.get_mut(&self.own) else { return };
        let age = |seq: &u64| {
            let entry = copy.by_seq.get(seq).and_then(|key| copy.entries.get(key));
            entry.map_or(f64::INFINITY, |entry| now - entry.written)
        };
        if copy.dead.first().is_none_or(|first| age(first) < remember) {
            return;
        }
        let floor = copy.dead.iter().take_while(|seq| age(seq) >= remember / 2.0).last().copied();
        if let Some(floor) = floor {
            copy.forget_below(floor);
        }
    }

    // ---- others' ----

    /// A front is known to have that life now: a copy of an earlier one is a past life's.
    pub fn lives(&mut self, now: f64, front: FrontId, life: Life) -> Vec<Key> {
        if front == self.own {
            return Vec::new();
        }
        let keeps = self.keeps;
        let copy = self.all.entry(front).or_insert_with(|| Copy::new(Life::default(), keeps));
        if copy.life >= life {
            copy.dropped &= copy.life > life;
            return Vec::new();
        }
        let before = std::mem::replace(copy, Copy::new(life, keeps));
        let mut keys: Vec<Key> = before.entries.keys().copied().collect();
        keys.extend(self.end(now, front, before));
        keys
    }

    /// A life of a front ended with that copy, as was learned at `since`.
    pub(crate) fn end(&mut self, since: f64, front: FrontId, copy: Copy) -> Vec<Key> {
        if copy.dropped {
            return self.settle(front, copy.life);
        }
        if copy.reach.seq == 0 || self.is_settled(front, copy.life) {
            return Vec::new();
        }
        let ahead = copy.reach.seq;
        self.past.insert((front, copy.life), Past { copy, since, ahead });
        let pasts = self.pasts(front);
        match pasts.len().checked_sub(MOST_PASTS + 1) {
            Some(oldest) => self.settle(front, pasts[oldest].0),
            None => Vec::new(),
        }
    }

    /// Ended lives of a front and how far their copies go, from the first on.
    pub fn pasts(&self, front: FrontId) -> Vec<(Life, Reach)> {
        let top = Life { number: u64::MAX, nonce: u64::MAX };
        let range = self.past.range((front, Life::default())..=(front, top));
        range.map(|((_, life), past)| (*life, past.copy.reach)).collect()
    }

    /// How far the copy of an ended life goes, where somebody's goes up to `ahead`; none where it is of no use any more.
    pub fn past_reach(&mut self, now: f64, front: FrontId, life: Life, ahead: u64) -> Option<Reach> {
        if self.is_settled(front, life) {
            return None;
        }
        if ahead == 0 || !self.past.contains_key(&(front, life)) && self.pasts(front).len() >= MOST_PASTS {
            return Some(self.past.get(&(front, life)).map(|past| past.copy.reach).unwrap_or_default());
        }
        let past = self.past_of(now, front, life);
        past.ahead = past.ahead.max(ahead);
        Some(past.copy.reach)
    }

    /// The copy of an ended life, a new one where there is none.
    fn past_of(&mut self, now: f64, front: FrontId, life: Life) -> &mut Past {
        let keeps = self.keeps;
        let fresh = || Past { copy: Copy::new(life, keeps), since: now, ahead: 0 };
        self.past.entry((front, life)).or_insert_with(fresh)
    }

    pub fn settled(&self, front: FrontId) -> Life {
        self.settled.get(&front).copied().unwrap_or_default()
    }

    fn is_settled(&self, front: FrontId, life: Life) -> bool {
        life <= self.settled(front)
    }

    /// Lives of a front up to that one are of no use any more: what was kept of them is dropped.
    pub fn settle(&mut self, front: FrontId, life: Life) -> Vec<Key> {
        if self.is_settled(front, life) {
            return Vec::new();
        }
        self.settled.insert(front, life);
        let over: Vec<Life> = self.pasts(front).into_iter().map(|p| p.0).filter(|l| *l <= life).collect();
        let gone = over.into_iter().filter_map(|life| self.past.remove(&(front, life)));
        gone.flat_map(|past| past.copy.entries.into_keys()).collect()
    }

    /// Settles lives that ended so long ago, seconds.
    pub fn settle_older(&mut self, now: f64, age: f64) -> Vec<Key> {
        let old = self.past.iter().filter(|(_, past)| now - past.since >= age);
        let old: Vec<(FrontId, Life)> = old.map(|(at, _)| *at).collect();
        old.into_iter().flat_map(|(front, life)| self.settle(front, life)).collect()
    }

    /// What was kept of a front is of no use any more. Its life stays known, so that an old copy that somebody
    /// still has does not bring it back.
    pub fn drop_facts(&mut self, front: FrontId) -> Vec<Key> {
        let Some(copy) = self.all.get_mut(&front).filter(|_| front != self.own) else { return Vec::new() };
        copy.dropped = true;
        copy.clear()
    }

    /// The front is off the list: nothing of it is kept.
    pub fn forget(&mut self, front: FrontId) -> Vec<Key> {
        if front == self.own {
            return Vec::new();
        }
        let last = self.pasts(front).last().map(|p| p.0).unwrap_or_default();
        let mut keys = self.settle(front, last);
        self.settled.remove(&front);
        keys.extend(self.all.remove(&front).into_iter().flat_map(|copy| copy.entries.into_keys()));
        keys
    }

    /// What this front holds of others and of ended lives is too old to be believed: it begins from nothing.
    pub fn lose(&mut self) -> Vec<Key> {
        let past = std::mem::take(&mut self.past);
        let mut keys: Vec<Key> = past.into_values().flat_map(|p| p.copy.entries.into_keys()).collect();
        let own = self.own;
        let others = self.all.iter_mut().filter(|(front, _)| **front != own);
        keys.extend(others.flat_map(|(_, copy)| copy.clear()));
        keys
    }

    /// The life that a front is known to have.
    pub fn life(&self, front: FrontId) -> Life {
        self.all.get(&front).map(|copy| copy.life).unwrap_or_default()
    }

    /// How far the copy of that life of a front goes; none where it is not wanted any more.
    pub fn reach(&self, front: FrontId, life: Life) -> Option<Reach> {
        match self.all.get(&front).filter(|c| c.life == life) {
            Some(copy) => (!copy.dropped).then_some(copy.reach),
            None => Some(Reach::default()),
        }
    }

    /// What a copy of `reach` of that life lacks, as far as `bytes` hold it. Of one that ended and is not kept, what the
    /// life after it wrote.
    pub fn part(&mut self, now: f64, front: FrontId, life: Life, reach: Reach, bytes: usize) -> Option<Part> {
        if let Some(past) = self.past.get(&(front, life)) {
            return past.copy.part(now, front, reach, bytes);
        }
        let copy = self.all.get_mut(&front).filter(|copy| copy.life >= life)?;
        let reach = if copy.life > life { Reach::default() } else { reach };
        let part = copy.part(now, front, reach, bytes)?;
        copy.told = copy.told.max(part.to);
        Some(part)
    }

    /// Takes a part in.
    pub fn apply(&mut self, now: f64, part: &Part) -> Applied {
        let (front, life) = (FrontId(part.front), life(part.life));
        let current = self.life(front);
        if front == self.own && life >= current {
            return Applied::Known;
        }
        if life < current && self.is_settled(front, life) {
            return Applied::OldLife;
        }
        if !is_sound(part) {
            return Applied::Bad;
        }
        let before = if life > current { self.lives(now, front, life) } else { Vec::new() };
        let (most, keeps) = (self.params.most, self.keeps);
        let applied = if life < current {
            if !self.past.contains_key(&(front, life)) && self.pasts(front).len() >= MOST_PASTS {
                return Applied::OldLife;
            }
            let past = self.past_of(now, front, life);
            past.ahead = past.ahead.max(part.last);
            past.copy.apply(now, part, most)
        } else {
            let copy = self.all.entry(front).or_insert_with(|| Copy::new(life, keeps));
            if copy.dropped {
                return Applied::OldLife;
            }
            copy.apply(now, part, most)
        };
        match applied {
            Applied::News { mut keys, more } => {
                keys.extend(before);
                Applied::News { keys, more }
            }
            // The new life alone is news.
            other if !before.is_empty() => Applied::News { keys: before, more: other != Applied::Known },
            other => other,
        }
    }

    // ---- what is read ----

    /// What each origin says of a key, with when it was written.
    pub fn of(&self, key: Key) -> impl Iterator<Item = (FrontId, f64, &Fact)> + Clone {
        self.all.iter().filter_map(move |(front, copy)| {
            let entry = copy.entries.get(&key)?;
            Some((*front, entry.written, entry.fact.as_ref()?))
        })
    }

    /// Calls that a front owns.
    pub fn calls_of(&self, front: FrontId) -> impl Iterator<Item = (u64, &CallWord)> {
        let entries = self.all.get(&front).into_iter().flat_map(|copy| &copy.entries);
        entries.filter_map(|(key, entry)| match (key, &entry.fact) {
            (Key::Call(call), Some(Fact::Call(word))) => Some((*call, &**word)),
            _ => None,
        })
    }

    /// A call that stood at the end of a life, of the latest such: whose, since when that is known, the call.
    pub fn past_call(&self, call: u64) -> Option<PastCall<'_>> {
        let found =
            self.past.iter().filter_map(|((of, life), past)| match past.copy.fact(&Key::Call(call)) {
                Some(Fact::Call(word)) => Some(PastCall { of: *of, life: *life, since: past.since, word }),
                _ => None,
            });
        found.max_by_key(|found| found.life)
    }

    /// Whether a front's ended life is known to its end, as far as anybody knows it, and the call did not stand there.
    pub fn past_lacks(&self, front: FrontId, life: Life, call: u64) -> bool {
        let past = self.past.get(&(front, life));
        past.is_some_and(|past| past.is_whole() && past.copy.fact(&Key::Call(call)).is_none())
    }

    /// Whether a front said in an ended life that a call is over: that holds on, claims do not.
    pub fn was_over(&self, call: u64) -> bool {
        let over = Fact::Over(OverWord { claim: false });
        self.past.values().any(|past| past.copy.fact(&Key::Over(call)) == Some(&over))
    }

    /// Whether nothing is known to be missing of a front's ended lives.
    pub fn pasts_are_whole(&self, front: FrontId) -> bool {
        let mut pasts = self.past.iter().filter(|((of, _), _)| *of == front);
        pasts.all(|(_, past)| past.is_whole())
    }

    /// This front's words that calls are over which are older than that, seconds.
    pub fn old_overs(&self, now: f64, age: f64) -> Vec<Key> {
        let own = self.all.get(&self.own).into_iter();
        // Keys are in the order of their classes: the calls before them are not looked at.
        let overs = own.flat_map(|copy| copy.entries.range(Key::Over(0)..=Key::Over(u64::MAX)));
        let old = overs.filter(|(_, e)| e.fact.is_some() && now - e.written >= age);
        old.map(|(key, _)| *key).collect()
    }

    /// Facts that are held of a front.
    pub fn held(&self, front: FrontId) -> usize {
        self.all.get(&front).map_or(0, |copy| copy.live)
    }

    /// Facts of a front with their numbers: equal on copies that are equal.
    pub fn facts(&self, front: FrontId) -> Vec<(Key, u64, Fact)> {
        self.facts_of(front, self.life(front))
    }

    /// Facts of one life of a front with their numbers.
    pub fn facts_of(&self, front: FrontId, life: Life) -> Vec<(Key, u64, Fact)> {
        let current = self.all.get(&front).filter(|copy| copy.life == life);
        let past = self.past.get(&(front, life)).map(|past| &past.copy);
        let Some(copy) = current.or(past) else { return Vec::new() };
        let live = copy.entries.iter().filter_map(|(k, e)| Some((*k, e.seq, e.fact.clone()?)));
        live.collect()
    }

    /// A mark of what is held of a front: equal on copies that are equal.
    pub fn mark(&self, front: FrontId) -> u64 {
        self.all.get(&front).map_or(0, |copy| copy.mark)
    }

    pub fn own(&self) -> FrontId {
        self.own
    }
}
