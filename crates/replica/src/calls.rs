//! Standing calls of fronts that died: who takes them back, who releases them, and that one does.
//!
//! A call belongs to the front that wrote its fact. When that front has a new life, all fronts bring their copies of
//! the life before to the same end, and it takes back from that what stood; when it is gone for as long as calls are
//! held, one other releases them, after a claim that all can see. Whoever is told by a caller or a server that a
//! call is over says so at once, whoever owns it. Two that release one call can only be on two sides of a cut, and of
//! these only the side with more than half of the fronts does; where both did all the same, it is counted and listed.

use crate::copies::Copies;
use crate::facts::{CallWord, Fact, Key, OverWord};
use crate::message::Reach;
use crate::view::News;
use shalespindle_peers::{FrontId, Life, Peers, State};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Calls taken back in one beat at most.
const BACK_A_BEAT: usize = 1024;
/// Beats from the first word of another front on this one's lives to the taking back of its calls: the rest tell
/// meanwhile how far they know them.
const TOLD_WITHIN: f64 = 3.0;
/// Part of the holding time after which a front takes back what it knows of, though somebody knew more.
const WAITED_FOR_MORE: f64 = 0.5;
/// Beats between a claim and the release: others' claims come to be known meanwhile.
const CLAIMED_FOR: f64 = 4.0;
/// Double releases kept for operators.
const MOST_DOUBLES: usize = 1000;

/// What calls are held by. Times are seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallsParams {
    /// The calls of a front that died are held for it so long.
    pub hold: f64,
}

/// A call that stood at the end of a life.
#[derive(Clone, Copy, Debug)]
struct Orphan {
    of: FrontId,
    since: f64,
}

#[derive(Clone, Debug)]
struct Claim {
    word: CallWord,
    of: FrontId,
    at: f64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOut {
    Write(Key, Fact),
    Delete(Key),
    News(News),
}

/// What has been counted, and what is held now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    pub orphans: usize,
    pub claims: usize,
    pub taken_back: u64,
    /// Released here for a front that died.
    pub released: u64,
    /// Found here for a caller or a server that asked.
    pub found: u64,
    /// Released by two fronts.
    pub doubles: u64,
}

pub struct Calls {
    params: CallsParams,
    orphans: BTreeMap<u64, Orphan>,
    claims: BTreeMap<u64, Claim>,
    /// Calls by the name of their dialog with the server, and back.
    by_leg: BTreeMap<u64, u64>,
    legs: BTreeMap<u64, u64>,
    doubles: BTreeMap<u64, Vec<FrontId>>,
    /// Calls that this front took back, and from which of its lives.
    taken: BTreeMap<u64, Life>,
    /// How far those lives were known when that was last looked at.
    known: Vec<(Life, Reach)>,
    out: VecDeque<CallOut>,
    counts: CallCounts,
}

/// The name by which fronts know a dialog; the same for the same text in every process of one build, and a front
/// of another build merely does not find it.
pub fn dialog_name(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

fn weight(call: u64, front: FrontId) -> u64 {
    let mut hasher = DefaultHasher::new();
    (call, front.0).hash(&mut hasher);
    hasher.finish()
}

/// Of the fronts that live, and this one, the one that acts for a call of another; by rendezvous, so that the end
/// of one front moves its calls alone.
fn is_responsible(call: u64, of: FrontId, peers: &Peers, now: f64) -> bool {
    let own = weight(call, peers.own());
    let others = peers.all(now).filter(|(front, state, _)| *state == State::Alive && *front != of);
    !peers.is_silenced() && others.map(|(front, ..)| weight(call, front)).all(|w| w < own)
}

/// Of all fronts on the list this one and those that it hears are more than half.
fn are_most(peers: &Peers, now: f64) -> bool {
    let (alive, all) = peers
        .all(now)
        .fold((1, 1), |(alive, all), (_, state, _)| (alive + usize::from(state == State::Alive), all + 1));
    2 * alive > all
}

impl Calls {
    pub fn new(params: CallsParams) -> Calls {
        Calls {
            params,
            orphans: BTreeMap::new(),
            claims: BTreeMap::new(),
            by_leg: BTreeMap::new(),
            legs: BTreeMap::new(),
            doubles: BTreeMap::new(),
            taken: BTreeMap::new(),
            known: Vec::new(),
            out: VecDeque::new(),
            counts: CallCounts::default(),
        }
    }

    fn index(&mut self, call: u64, word: &CallWord) {
        let leg = dialog_name(&word.leg_call_id);
        self.by_leg.insert(leg, call);
        self.legs.insert(call, leg);
    }

    fn forget_leg(&mut self, call: u64) {
        if let Some(leg) = self.legs.remove(&call) {
            self.by_leg.remove(&leg);
        }
    }

    /// The facts of a call may have changed.
    pub fn changed(&mut self, copies: &Copies, call: u64) {
        let mut owners = owners(copies, call);
        let owner = owners.next();
        // Ended lives are looked through only for a call that no life holds.
        let past = if owner.is_none() { copies.past_call(call) } else { None };
        let past = past.filter(|_| !is_over(copies, call));
        match owner.map(|o| o.1).or(past.map(|p| p.word)) {
            Some(word) => self.index(call, word),
            None => self.forget_leg(call),
        }
        match past {
            Some(past) => drop(self.orphans.insert(call, Orphan { of: past.of, since: past.since })),
            None => {
                let orphan = self.orphans.remove(&call);
                let its_own = |o: &Orphan| owner.into_iter().chain(owners).any(|(front, _)| front == o.of);
                // Its front has it back.
                if orphan.is_some_and(|o| its_own(&o)) {
                    self.unclaim(call);
                }
            }
        }
        let mut over: Vec<FrontId> = overs(copies, call).filter(|o| !o.1).map(|o| o.0).collect();
        if over.is_empty() {
            return;
        }
        self.orphans.remove(&call);
        if self.claims.remove(&call).is_some() && !over.contains(&copies.own()) {
            self.out.push_back(CallOut::Delete(Key::Over(call)));
        }
        over.sort();
        if over.len() > 1 && self.doubles.get(&call) != Some(&over) {
            self.counts.doubles += u64::from(!self.doubles.contains_key(&call));
            if self.doubles.len() < MOST_DOUBLES {
                self.doubles.insert(call, over.clone());
            }
        }
        // This front's own call was released by another.
        let own = copies.own_fact(&Key::Call(call)).is_some();
        if own && over.iter().any(|front| *front != copies.own()) {
            self.out.push_back(CallOut::Delete(Key::Call(call)));
            self.out.push_back(CallOut::News(News::CallOver { call }));
        }
    }

    /// Guards against what was taken back from a copy that went less far than another's, heard of later: the call had
    /// ended.
    fn correct(&mut self, copies: &Copies) {
        let stands = |call: &u64| copies.own_fact(&Key::Call(*call)).is_some();
        self.taken.retain(|call, _| stands(call));
        let ended = self.taken.iter().filter(|(call, life)| copies.past_lacks(copies.own(), **life, **call));
        self.out.extend(ended.map(|(call, _)| CallOut::Delete(Key::Call(*call))));
    }

    fn unclaim(&mut self, call: u64) {
        if self.claims.remove(&call).is_some() {
            self.out.push_back(CallOut::Delete(Key::Over(call)));
        }
    }

    /// A caller or a server tells that a call is over, by the name of its dialog with this side: the call, now known
    /// to be over everywhere; without its word where that was known already.
    pub fn whose(&mut self, copies: &Copies, name: u64, by_leg: bool) -> Option<(u64, Option<CallWord>)> {
        let call = if by_leg { *self.by_leg.get(&name)? } else { name };
        if is_over(copies, call) {
            return Some((call, None));
        }
        let past = || copies.past_call(call).map(|p| p.word);
        let word = owners(copies, call).next().map(|o| o.1).or_else(past)?.clone();
        self.counts.found += 1;
        self.orphans.remove(&call);
        self.claims.remove(&call);
        self.out.push_back(CallOut::Write(Key::Over(call), Fact::Over(OverWord { claim: false })));
        if owners(copies, call).any(|(front, _)| front == copies.own()) {
            self.out.push_back(CallOut::Delete(Key::Call(call)));
        }
        Some((call, Some(word)))
    }

    /// Takes back, claims and releases what is due; `gone` are fronts and since when they are gone.
    /// Another front first told at `told_at` what it knows of this one.
    pub fn turn(
        &mut self,
        now: f64,
        peers: &Peers,
        copies: &Copies,
        gone: &[(FrontId, f64)],
        told_at: Option<f64>,
    ) {
        let every = peers.every();
        self.take_back(now, peers, copies, told_at);
        if are_most(peers, now) {
            self.claim(now, peers, copies, gone);
        }
        self.release(now, peers, copies, every);
    }

    /// Calls of this front's earlier lives become its own again.
    fn take_back(&mut self, now: f64, peers: &Peers, copies: &Copies, told_at: Option<f64>) {
        if peers.is_silenced() {
            return;
        }
        let told = told_at.is_some_and(|at| now - at >= TOLD_WITHIN * peers.every());
        let whole = told && copies.pasts_are_whole(copies.own());
        let known = copies.pasts(copies.own());
        if whole && known != self.known {
            self.correct(copies);
            self.known = known;
        }
        let due = |o: &Orphan| whole || now - o.since >= WAITED_FOR_MORE * self.params.hold;
        let own = self.orphans.iter().filter(|(_, o)| o.of == copies.own() && due(o));
        for call in own.map(|(call, _)| *call).take(BACK_A_BEAT).collect::<Vec<_>>() {
            let Some(past) = copies.past_call(call) else { continue };
            let mut word = past.word.clone();
            self.taken.insert(call, past.life);
            word.epoch = word.epoch.saturating_add(1);
            self.counts.taken_back += 1;
            self.out.push_back(CallOut::Write(Key::Call(call), Fact::Call(Box::new(word))));
        }
    }

    fn claim(&mut self, now: f64, peers: &Peers, copies: &Copies, gone: &[(FrontId, f64)]) {
        let held = |o: &Orphan| o.of != copies.own() && now - o.since >= self.params.hold;
        let orphans = self.orphans.iter().filter(|(_, o)| held(o));
        let orphans = orphans.filter_map(|(call, o)| Some((*call, o.of, copies.past_call(*call)?.word)));
        let gone = gone.iter().filter(|(_, since)| now - since >= self.params.hold);
        let theirs = gone.flat_map(|(of, _)| copies.calls_of(*of).map(|(call, word)| (call, *of, word)));
        // A claim of a front that died since is void.
        let stands = |(front, claim): (FrontId, bool)| !claim || peers.state(front) == Some(State::Alive);
        let known = |call: u64| {
            self.claims.contains_key(&call) || overs(copies, call).any(stands) || copies.was_over(call)
        };
        let due = orphans.chain(theirs);
        let due = due.filter(|(call, of, _)| !known(*call) && is_responsible(*call, *of, peers, now));
        // Only what is claimed is copied: the rest is looked at again with each beat.
        let due: Vec<(u64, Claim)> =
            due.map(|(call, of, word)| (call, Claim { word: word.clone(), of, at: now })).collect();
        for (call, claim) in due {
            self.claims.insert(call, claim);
            self.out.push_back(CallOut::Write(Key::Over(call), Fact::Over(OverWord { claim: true })));
        }
    }

    fn release(&mut self, now: f64, peers: &Peers, copies: &Copies, every: f64) {
        let ripe = self.claims.iter().filter(|(_, c)| now - c.at >= CLAIMED_FOR * every);
        for call in ripe.map(|(call, _)| *call).collect::<Vec<_>>() {
            let Some(claim) = self.claims.get(&call) else { continue };
            let orphan = self.orphans.contains_key(&call);
            let lives = matches!(peers.state(claim.of), Some(State::Alive | State::Suspect));
            let returned = !orphan && lives;
            let others = overs(copies, call).filter(|o| o.0 != copies.own());
            // Of two that claim, the higher front; one that has released already comes before any claim.
            let yields = others.clone().any(|(front, claims)| {
                !claims || front > copies.own() && peers.state(front) == Some(State::Alive)
            });
            if returned || yields || copies.was_over(call) || !are_most(peers, now) {
                self.unclaim(call);
                continue;
            }
            let Some(claim) = self.claims.remove(&call) else { continue };
            self.orphans.remove(&call);
            self.counts.released += 1;
            self.out.push_back(CallOut::Write(Key::Over(call), Fact::Over(OverWord { claim: false })));
            self.out.push_back(CallOut::News(News::Release { call, word: Box::new(claim.word) }));
        }
    }

    pub fn next_output(&mut self) -> Option<CallOut> {
        self.out.pop_front()
    }

    pub fn counts(&self) -> CallCounts {
        CallCounts { orphans: self.orphans.len(), claims: self.claims.len(), ..self.counts }
    }

    /// Calls that two or more fronts released.
    pub fn doubles(&self) -> impl Iterator<Item = (u64, &[FrontId])> {
        self.doubles.iter().map(|(call, fronts)| (*call, fronts.as_slice()))
    }
}

fn owners(copies: &Copies, call: u64) -> impl Iterator<Item = (FrontId, &CallWord)> {
    copies.of(Key::Call(call)).filter_map(|(front, _, fact)| match fact {
        Fact::Call(word) => Some((front, &**word)),
        _ => None,
    })
}

/// Who says that it is over, and whether that is a claim only.
fn overs(copies: &Copies, call: u64) -> impl Iterator<Item = (FrontId, bool)> + Clone + '_ {
    copies.of(Key::Over(call)).filter_map(|(front, _, fact)| match fact {
        Fact::Over(over) => Some((front, over.claim)),
        _ => None,
    })
}

fn is_over(copies: &Copies, call: u64) -> bool {
    overs(copies, call).any(|o| !o.1) || copies.was_over(call)
}
