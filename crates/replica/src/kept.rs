//! What of the copies outlives a process, when it is written, and what is believed of it after the next start.
//!
//! Times in what is kept are seconds of the wall clock, since nothing else outlives a process. A clock that was set
//! can make them wrong: what would follow from that errs to the careful side.

use crate::copies::Copies;
use crate::copy::{Copy, Entry};
use crate::facts::{Fact, Key, LevelWord};
use crate::fleet::Fleet;
use crate::message::{life, pair, Reach};
use crate::view::News;
use serde::{Deserialize, Serialize};
use shalespindle_peers::{FrontId, Life};
use std::collections::{BTreeMap, BTreeSet};

/// A front, and number and nonce of one of its lives.
pub type LifeName = (u64, (u64, u64));

/// The copy of one life of a front, its facts aside.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptLife {
    pub front: u64,
    pub life: (u64, u64),
    pub reach: Reach,
    /// When this front learned that it is over; none for one that is not.
    pub ended: Option<f64>,
    pub dropped: bool,
    /// Facts and deletions of it: one that was kept with fewer or more is not believed.
    pub facts: usize,
}

impl KeptLife {
    pub fn name(&self) -> LifeName {
        (self.front, self.life)
    }
}

/// A fact or a deletion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptFact {
    pub seq: u64,
    pub written: f64,
    pub fact: Option<Fact>,
}

/// What is to be written to bring what is kept up to the copies: all of it in one step, or none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// It is all there is: what was kept before is replaced.
    pub whole: bool,
    /// All lives there are; what is kept of others goes.
    pub lives: Vec<KeptLife>,
    pub settled: Vec<LifeName>,
    /// None: nothing is kept under the key any more.
    pub facts: Vec<(LifeName, Key, Option<KeptFact>)>,
    pub saved_at: f64,
}

/// What was kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kept {
    pub lives: Vec<(KeptLife, Vec<(Key, KeptFact)>)>,
    pub settled: Vec<LifeName>,
    pub saved_at: f64,
}

impl Kept {
    /// A life above any that this front is known to have had.
    pub fn next_life(&self, own: FrontId, wished: Life) -> Life {
        let had = self.lives.iter().filter(|(kept, _)| kept.front == own.0).map(|(kept, _)| kept.life.0);
        let above = had.max().map_or(0, |number| number.saturating_add(1));
        Life { number: wished.number.max(above), ..wished }
    }
}

/// What became of what was kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Restored {
    pub lives: u64,
    pub facts: u64,
    /// Lives that were not taken: of a front that is not on the list, or not whole.
    pub refused: u64,
    /// All of it is too old, or its age cannot be believed: the facts are not taken.
    pub too_old: bool,
}

impl Copies {
    /// From now on what changes is remembered for [`Copies::changes`].
    pub fn keep_changes(&mut self) {
        self.keeps = true;
        let pasts = self.past.values_mut().map(|past| &mut past.copy);
        for copy in self.all.values_mut().chain(pasts) {
            copy.touched.get_or_insert_with(|| copy.entries.keys().copied().collect());
        }
    }

    /// What changed since this was last asked, or all there is.
    pub fn changes(&mut self, now: f64, wall: f64, whole: bool) -> Changes {
        let at = |time: f64| wall - (now - time).max(0.0);
        let mut changes = Changes { whole, saved_at: wall, ..Changes::default() };
        changes.settled = self.settled.iter().map(|(f, life)| (f.0, pair(*life))).collect();
        let pasts = self.past.iter_mut().map(|((front, _), p)| (*front, Some(at(p.since)), &mut p.copy));
        let all = self.all.iter_mut().map(|(front, copy)| (*front, None, copy));
        for (front, ended, copy) in all.chain(pasts) {
            let life = pair(copy.life);
            let facts = copy.entries.len() - copy.ghosts.len();
            let (reach, dropped) = (copy.reach, copy.dropped);
            changes.lives.push(KeptLife { front: front.0, life, reach, ended, dropped, facts });
            let touched = copy.touched.as_mut().map(std::mem::take).unwrap_or_default();
            let keys: Vec<Key> = match whole {
                true => copy.entries.keys().copied().collect(),
                false => touched.into_iter().collect(),
            };
            for key in keys {
                // What a fresh beginning has not confirmed has no number to be kept under.
                let entry = copy.entries.get(&key).filter(|_| !copy.ghosts.contains(&key));
                let kept =
                    entry.map(|e| KeptFact { seq: e.seq, written: at(e.written), fact: e.fact.clone() });
                changes.facts.push(((front.0, life), key, kept));
            }
        }
        changes
    }

    /// Takes what was kept. What this front itself wrote in its last life is that life's, which is over.
    pub(crate) fn restore(
        &mut self,
        now: f64,
        wall: f64,
        kept: Kept,
        listed: impl Fn(FrontId) -> bool,
    ) -> Restored {
        let since = |at: f64| now - (wall - at).max(0.0);
        let mut restored = Restored::default();
        for (front, settled) in kept.settled {
            if listed(FrontId(front)) {
                self.settle(FrontId(front), life(settled));
            }
        }
        for (kept, facts) in kept.lives {
            let front = FrontId(kept.front);
            let copy = rebuilt(&kept, &facts, self.params.most, since).filter(|_| listed(front));
            let Some(mut copy) = copy else {
                restored.refused += 1;
                continue;
            };
            restored.lives += 1;
            restored.facts += copy.entries.len() as u64;
            copy.touched = self.keeps.then(BTreeSet::new);
            let ended = kept.ended.map(since).or((front == self.own()).then_some(now));
            match ended {
                // All keys are looked at when all is restored.
                Some(since) => drop(self.end(since, front, copy)),
                None => drop(self.all.insert(front, copy)),
            }
        }
        restored
    }

    /// All keys of all copies.
    pub(crate) fn keys(&self) -> BTreeSet<Key> {
        let pasts = self.past.values().map(|past| &past.copy);
        self.all.values().chain(pasts).flat_map(|copy| copy.entries.keys().copied()).collect()
    }
}

impl Fleet {
    /// From now on what changes is remembered for [`Fleet::changes`]; before anything else is told or heard.
    pub fn keep_changes(&mut self) {
        self.copies.keep_changes();
    }

    /// What is to be kept, on the wall clock; `whole`: all of it, not what changed since this was last asked.
    pub fn changes(&mut self, now: f64, wall: f64, whole: bool) -> Changes {
        self.copies.changes(now, wall, whole)
    }

    /// Takes what an earlier process of this front kept. Calls that stood then may have ended since, and their end may
    /// be known to nobody any more after `keep`: what is older than that, or from the future, is not believed, but for
    /// which lives are settled and operators' words that still hold.
    pub fn restore(&mut self, now: f64, wall: f64, mut kept: Kept) -> Restored {
        self.restore_level(now, wall, &kept);
        let away = wall - kept.saved_at;
        let too_old = !(0.0..self.params.keep).contains(&away);
        if too_old {
            kept.lives.clear();
        }
        let peers = &self.peers;
        let restored = self.copies.restore(now, wall, kept, |front| peers.is_listed(front));
        let keys: Vec<Key> = self.copies.keys().into_iter().collect();
        self.look(now, &keys);
        Restored { too_old, ..restored }
    }

    /// An operator's word that was kept holds on, whoever was asked, unless a later one is heard.
    fn restore_level(&mut self, now: f64, wall: f64, kept: &Kept) {
        let facts = kept.lives.iter().filter(|(life, _)| self.peers.is_listed(FrontId(life.front)));
        let words = facts.flat_map(|(_, facts)| facts).filter_map(|(_, kept)| match &kept.fact {
            Some(Fact::Level(word)) => Some((kept.written, word)),
            _ => None,
        });
        let Some((written, word)) = words.max_by_key(|w| w.1.rank()) else {
            return;
        };
        let lasts = (word.lasts - (wall - written).max(0.0)).max(0.0);
        let level = word.level.filter(|_| lasts > 0.0);
        self.write(now, Key::Level, Fact::Level(LevelWord { lasts, ..word.clone() }));
        if level.is_some() {
            self.view.tell(News::Level { level, until: now + lasts, by: word.by.clone() });
        }
    }
}

/// None where the facts are not what the life says of them.
fn rebuilt(
    kept: &KeptLife,
    facts: &[(Key, KeptFact)],
    most: usize,
    since: impl Fn(f64) -> f64,
) -> Option<Copy> {
    let sound = |(key, kept_fact): &(Key, KeptFact)| {
        kept_fact.seq <= kept.reach.seq
            && kept_fact.written.is_finite()
            && kept_fact.fact.as_ref().is_none_or(|fact| fact.is_sound(key))
    };
    if facts.len() != kept.facts || facts.len() > most || !facts.iter().all(sound) {
        return None;
    }
    let mut copy = Copy::new(life(kept.life), false);
    (copy.reach, copy.dropped) = (kept.reach, kept.dropped);
    for (key, fact) in facts {
        let entry =
            Entry { seq: fact.seq, written: since(fact.written), fact: fact.fact.clone(), first: false };
        copy.put(*key, entry);
    }
    // Two facts of one number, or of one key.
    (copy.by_seq.len() == facts.len()).then_some(copy)
}

/// Lives with how far they go and whether they are dropped, and settled lives: whatever else changes is a fact.
type Head = (Vec<(LifeName, Reach, bool)>, Vec<LifeName>);

/// When the copies are written, and what after a write that failed. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Keeping {
    every: f64,
    due: f64,
    /// A write is under way.
    busy: bool,
    /// What is kept is not known to be what was written last.
    whole: bool,
    /// Failures one after the other.
    failures: u32,
    /// What was last handed over, its facts aside.
    last: Head,
    saved_at: Option<f64>,
}

/// What has not changed for so many times the usual pause is written again: its age counts at the next start.
const OLD_AFTER: f64 = 20.0;
/// A write that failed is tried again after so many times the usual pause, doubled with each that fails, up to
const FIRST_PAUSE: f64 = 2.0;
/// this many times.
const LONGEST_PAUSE: f64 = 64.0;

impl Keeping {
    pub fn new(every: f64, now: f64) -> Keeping {
        let (busy, whole) = (false, true);
        Keeping { every, due: now, busy, whole, failures: 0, last: Default::default(), saved_at: None }
    }

    /// Whether to write now; true: all there is.
    pub fn due(&mut self, now: f64) -> Option<bool> {
        if self.busy || now < self.due {
            return None;
        }
        self.busy = true;
        Some(self.whole)
    }

    /// Whether what is due is worth a write: something changed, or the time at which it was right is old.
    pub fn is_worth(&mut self, now: f64, changes: &Changes) -> bool {
        let lives = changes.lives.iter().map(|l| (l.name(), l.reach, l.dropped)).collect();
        let head = (lives, changes.settled.clone());
        let same = self.last == head;
        let young = self.saved_at.is_some_and(|at| now - at < OLD_AFTER * self.every);
        if same && young && changes.facts.is_empty() && !changes.whole {
            self.busy = false;
            self.due = now + self.every;
            return false;
        }
        self.last = head;
        true
    }

    pub fn saved(&mut self, now: f64) {
        (self.busy, self.whole, self.failures) = (false, false, 0);
        self.saved_at = Some(now);
        self.due = now + self.every;
    }

    /// The pause until the next try.
    pub fn failed(&mut self, now: f64) -> f64 {
        (self.busy, self.whole) = (false, true);
        let pause = (FIRST_PAUSE * 2f64.powi(self.failures.min(16) as i32)).min(LONGEST_PAUSE) * self.every;
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
    pub lives: usize,
    pub ended_lives: usize,
    pub deletions: usize,
    /// Facts by class.
    pub facts: BTreeMap<&'static str, usize>,
    /// Lives that would not be taken, and why.
    pub faults: Vec<String>,
}

impl Kept {
    pub fn inventory(&self) -> Inventory {
        let mut inventory = Inventory::default();
        for (life, facts) in &self.lives {
            match life.ended {
                Some(_) => inventory.ended_lives += 1,
                None => inventory.lives += 1,
            }
            for (_, kept) in facts {
                match &kept.fact {
                    Some(fact) => *inventory.facts.entry(class(fact)).or_default() += 1,
                    None => inventory.deletions += 1,
                }
            }
            if rebuilt(life, facts, usize::MAX, |at| at).is_none() {
                let (front, (number, _)) = life.name();
                let why = format!(
                    "front {front:016x}, life {number}: {} of {} facts, or unsound ones",
                    facts.len(),
                    life.facts
                );
                inventory.faults.push(why);
            }
        }
        inventory
    }
}

fn class(fact: &Fact) -> &'static str {
    match fact {
        Fact::Server(_) => "servers",
        Fact::Level(_) => "levels",
        Fact::Call(_) => "calls",
        Fact::Over(_) => "calls that are over",
    }
}
