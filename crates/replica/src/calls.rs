//! Standing calls of fronts that died: who takes them back, who releases them, and that one does.
//!
//! A call belongs to the front that wrote its fact. When that front has a new life, all fronts bring their copies of
//! the life before to the same end, and it takes back from that what stood; when it is gone for as long as calls are
//! held, one other releases them, after a claim that all can see. Whoever is told by a caller or a server that a
//! call is over says so at once, whoever owns it. Two that release one call can only be on two sides of a cut, and of
//! these only the side with more than half of the fronts does; where both did all the same, it is counted and listed.

use crate::facts::{CallEnd, CallRecord, Fact, Key};
use crate::message::Cursor;
use crate::replicas::Replicas;
use crate::view::FleetEvent;
use shalespindle_peers::{FrontId, Incarnation, Peers, State};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Calls taken back in one beat at most.
const MAX_RECOVERED_PER_HEARTBEAT: usize = 1024;
/// Beats from the first word of another front on this one's lives to the taking back of its calls: the rest tell
/// meanwhile how far they know them.
const RECOVERY_DELAY: f64 = 3.0;
/// Part of the holding time after which a front takes back what it knows of, though somebody knew more.
const MAX_RECOVERY_WAIT: f64 = 0.5;
/// Beats between a claim and the release: others' claims come to be known meanwhile.
const CLAIM_DELAY: f64 = 4.0;
/// Double releases kept for operators.
const MAX_DOUBLE_RELEASES: usize = 1000;

/// What calls are held by. Times are seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallsParams {
    /// The calls of a front that died are held for it so long.
    pub hold: f64,
}

/// A call that stood at the end of a life.
#[derive(Clone, Copy, Debug)]
struct Orphan {
    owner: FrontId,
    since: f64,
}

#[derive(Clone, Debug)]
struct Claim {
    record: CallRecord,
    owner: FrontId,
    at: f64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutput {
    Write(Key, Fact),
    Delete(Key),
    Event(FleetEvent),
}

/// What has been counted, and what is held now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    pub orphans: usize,
    pub claims: usize,
    pub recovered: u64,
    /// Released here for a front that died.
    pub released: u64,
    /// Found here for a caller or a server that asked.
    pub found: u64,
    /// Released by two fronts.
    pub double_releases: u64,
}

pub struct Calls {
    params: CallsParams,
    orphans: BTreeMap<u64, Orphan>,
    claims: BTreeMap<u64, Claim>,
    /// Calls by the name of their dialog with the server, and back.
    by_leg: BTreeMap<u64, u64>,
    leg_of: BTreeMap<u64, u64>,
    double_releases: BTreeMap<u64, Vec<FrontId>>,
    /// Calls that this front took back, and from which of its lives.
    recovered: BTreeMap<u64, Incarnation>,
    /// How far those lives were known when that was last looked at.
    known_cursors: Vec<(Incarnation, Cursor)>,
    out: VecDeque<CallOutput>,
    counts: CallCounts,
}

/// The name by which fronts know a dialog; the same for the same text in every process of one build, and a front
/// of another build merely does not find it.
pub fn dialog_hash(text: &str) -> u64 {
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
fn is_responsible(call: u64, owner: FrontId, peers: &Peers, now: f64) -> bool {
    let own = weight(call, peers.own());
    let others = peers.all(now).filter(|(front, state, _)| *state == State::Alive && *front != owner);
    !peers.is_silenced() && others.map(|(front, ..)| weight(call, front)).all(|w| w < own)
}

/// Of all fronts on the list this one and those that it hears are more than half.
fn has_majority(peers: &Peers, now: f64) -> bool {
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
            leg_of: BTreeMap::new(),
            double_releases: BTreeMap::new(),
            recovered: BTreeMap::new(),
            known_cursors: Vec::new(),
            out: VecDeque::new(),
            counts: CallCounts::default(),
        }
    }

    fn index(&mut self, call: u64, record: &CallRecord) {
        let leg = dialog_hash(&record.leg_call_id);
        self.by_leg.insert(leg, call);
        self.leg_of.insert(call, leg);
    }

    fn unindex(&mut self, call: u64) {
        if let Some(leg) = self.leg_of.remove(&call) {
            self.by_leg.remove(&leg);
        }
    }

    /// The facts of a call may have changed.
    pub fn call_changed(&mut self, replicas: &Replicas, call: u64) {
        let mut owners = owners(replicas, call);
        let owner = owners.next();
        // Ended lives are looked through only for a call that no life holds.
        let ended = if owner.is_none() { replicas.orphaned_call(call) } else { None };
        let ended = ended.filter(|_| !is_ended(replicas, call));
        match owner.map(|o| o.1).or(ended.map(|p| p.record)) {
            Some(record) => self.index(call, record),
            None => self.unindex(call),
        }
        match ended {
            Some(ended) => drop(self.orphans.insert(call, Orphan { owner: ended.owner, since: ended.since })),
            None => {
                let orphan = self.orphans.remove(&call);
                let owned_again =
                    |o: &Orphan| owner.into_iter().chain(owners).any(|(front, _)| front == o.owner);
                // Its front has it back.
                if orphan.is_some_and(|o| owned_again(&o)) {
                    self.unclaim(call);
                }
            }
        }
        let mut ended_by: Vec<FrontId> = call_ends(replicas, call).filter(|o| !o.1).map(|o| o.0).collect();
        if ended_by.is_empty() {
            return;
        }
        self.orphans.remove(&call);
        if self.claims.remove(&call).is_some() && !ended_by.contains(&replicas.own()) {
            self.out.push_back(CallOutput::Delete(Key::CallEnd(call)));
        }
        ended_by.sort();
        if ended_by.len() > 1 && self.double_releases.get(&call) != Some(&ended_by) {
            self.counts.double_releases += u64::from(!self.double_releases.contains_key(&call));
            if self.double_releases.len() < MAX_DOUBLE_RELEASES {
                self.double_releases.insert(call, ended_by.clone());
            }
        }
        // This front's own call was released by another.
        let own = replicas.own_fact(&Key::Call(call)).is_some();
        if own && ended_by.iter().any(|front| *front != replicas.own()) {
            self.out.push_back(CallOutput::Delete(Key::Call(call)));
            self.out.push_back(CallOutput::Event(FleetEvent::CallEnded { call }));
        }
    }

    /// Guards against what was taken back from a copy that went less far than another's, heard of later: the call had
    /// ended.
    fn drop_ended_calls(&mut self, replicas: &Replicas) {
        let is_active = |call: &u64| replicas.own_fact(&Key::Call(*call)).is_some();
        self.recovered.retain(|call, _| is_active(call));
        let ended = self
            .recovered
            .iter()
            .filter(|(call, incarnation)| replicas.ended_lacks(replicas.own(), **incarnation, **call));
        self.out.extend(ended.map(|(call, _)| CallOutput::Delete(Key::Call(*call))));
    }

    fn unclaim(&mut self, call: u64) {
        if self.claims.remove(&call).is_some() {
            self.out.push_back(CallOutput::Delete(Key::CallEnd(call)));
        }
    }

    /// A caller or a server tells that a call is over, by the name of its dialog with this side: the call, now known
    /// to be over everywhere; without its word where that was known already.
    pub fn end_call(
        &mut self,
        replicas: &Replicas,
        dialog: u64,
        by_leg: bool,
    ) -> Option<(u64, Option<CallRecord>)> {
        let call = if by_leg { *self.by_leg.get(&dialog)? } else { dialog };
        if is_ended(replicas, call) {
            return Some((call, None));
        }
        let ended = || replicas.orphaned_call(call).map(|p| p.record);
        let record = owners(replicas, call).next().map(|o| o.1).or_else(ended)?.clone();
        self.counts.found += 1;
        self.orphans.remove(&call);
        self.claims.remove(&call);
        self.out.push_back(CallOutput::Write(Key::CallEnd(call), Fact::CallEnd(CallEnd { claim: false })));
        if owners(replicas, call).any(|(front, _)| front == replicas.own()) {
            self.out.push_back(CallOutput::Delete(Key::Call(call)));
        }
        Some((call, Some(record)))
    }

    /// Takes back, claims and releases what is due; `gone` are fronts and since when they are gone.
    /// Another front first told at `told_at` what it knows of this one.
    pub fn turn(
        &mut self,
        now: f64,
        peers: &Peers,
        replicas: &Replicas,
        gone: &[(FrontId, f64)],
        reported_at: Option<f64>,
    ) {
        let heartbeat_interval = peers.heartbeat_interval();
        self.recover(now, peers, replicas, reported_at);
        if has_majority(peers, now) {
            self.claim(now, peers, replicas, gone);
        }
        self.release(now, peers, replicas, heartbeat_interval);
    }

    /// Calls of this front's earlier lives become its own again.
    fn recover(&mut self, now: f64, peers: &Peers, replicas: &Replicas, reported_at: Option<f64>) {
        if peers.is_silenced() {
            return;
        }
        let reported = reported_at.is_some_and(|at| now - at >= RECOVERY_DELAY * peers.heartbeat_interval());
        let complete = reported && replicas.ended_are_complete(replicas.own());
        let known_cursors = replicas.ended_cursors(replicas.own());
        if complete && known_cursors != self.known_cursors {
            self.drop_ended_calls(replicas);
            self.known_cursors = known_cursors;
        }
        let due = |o: &Orphan| complete || now - o.since >= MAX_RECOVERY_WAIT * self.params.hold;
        let own = self.orphans.iter().filter(|(_, o)| o.owner == replicas.own() && due(o));
        for call in own.map(|(call, _)| *call).take(MAX_RECOVERED_PER_HEARTBEAT).collect::<Vec<_>>() {
            let Some(ended) = replicas.orphaned_call(call) else { continue };
            let mut record = ended.record.clone();
            self.recovered.insert(call, ended.incarnation);
            record.epoch = record.epoch.saturating_add(1);
            self.counts.recovered += 1;
            self.out.push_back(CallOutput::Write(Key::Call(call), Fact::Call(Box::new(record))));
        }
    }

    fn claim(&mut self, now: f64, peers: &Peers, replicas: &Replicas, gone: &[(FrontId, f64)]) {
        let held = |o: &Orphan| o.owner != replicas.own() && now - o.since >= self.params.hold;
        let orphans = self.orphans.iter().filter(|(_, o)| held(o));
        let orphans =
            orphans.filter_map(|(call, o)| Some((*call, o.owner, replicas.orphaned_call(*call)?.record)));
        let gone = gone.iter().filter(|(_, since)| now - since >= self.params.hold);
        let theirs =
            gone.flat_map(|(of, _)| replicas.calls_of(*of).map(|(call, record)| (call, *of, record)));
        // A claim of a front that died since is void.
        let is_valid = |(front, claim): (FrontId, bool)| !claim || peers.state(front) == Some(State::Alive);
        let known = |call: u64| {
            self.claims.contains_key(&call)
                || call_ends(replicas, call).any(is_valid)
                || replicas.ended_earlier(call)
        };
        let due = orphans.chain(theirs);
        let due = due.filter(|(call, of, _)| !known(*call) && is_responsible(*call, *of, peers, now));
        // Only what is claimed is copied: the rest is looked at again with each beat.
        let due: Vec<(u64, Claim)> = due
            .map(|(call, of, record)| (call, Claim { record: record.clone(), owner: of, at: now }))
            .collect();
        for (call, claim) in due {
            self.claims.insert(call, claim);
            self.out.push_back(CallOutput::Write(Key::CallEnd(call), Fact::CallEnd(CallEnd { claim: true })));
        }
    }

    fn release(&mut self, now: f64, peers: &Peers, replicas: &Replicas, heartbeat_interval: f64) {
        let due = self.claims.iter().filter(|(_, c)| now - c.at >= CLAIM_DELAY * heartbeat_interval);
        for call in due.map(|(call, _)| *call).collect::<Vec<_>>() {
            let Some(claim) = self.claims.get(&call) else { continue };
            let orphan = self.orphans.contains_key(&call);
            let is_present = matches!(peers.state(claim.owner), Some(State::Alive | State::Suspect));
            let returned = !orphan && is_present;
            let others = call_ends(replicas, call).filter(|o| o.0 != replicas.own());
            // Of two that claim, the higher front; one that has released already comes before any claim.
            let yields = others.clone().any(|(front, claims)| {
                !claims || front > replicas.own() && peers.state(front) == Some(State::Alive)
            });
            if returned || yields || replicas.ended_earlier(call) || !has_majority(peers, now) {
                self.unclaim(call);
                continue;
            }
            let Some(claim) = self.claims.remove(&call) else { continue };
            self.orphans.remove(&call);
            self.counts.released += 1;
            self.out
                .push_back(CallOutput::Write(Key::CallEnd(call), Fact::CallEnd(CallEnd { claim: false })));
            self.out
                .push_back(CallOutput::Event(FleetEvent::Release { call, record: Box::new(claim.record) }));
        }
    }

    pub fn next_output(&mut self) -> Option<CallOutput> {
        self.out.pop_front()
    }

    pub fn counts(&self) -> CallCounts {
        CallCounts { orphans: self.orphans.len(), claims: self.claims.len(), ..self.counts }
    }

    /// Calls that two or more fronts released.
    pub fn double_releases(&self) -> impl Iterator<Item = (u64, &[FrontId])> {
        self.double_releases.iter().map(|(call, fronts)| (*call, fronts.as_slice()))
    }
}

fn owners(replicas: &Replicas, call: u64) -> impl Iterator<Item = (FrontId, &CallRecord)> {
    replicas.facts_for(Key::Call(call)).filter_map(|(front, _, fact)| match fact {
        Fact::Call(record) => Some((front, &**record)),
        _ => None,
    })
}

/// Who says that it is over, and whether that is a claim only.
fn call_ends(replicas: &Replicas, call: u64) -> impl Iterator<Item = (FrontId, bool)> + Clone + '_ {
    replicas.facts_for(Key::CallEnd(call)).filter_map(|(front, _, fact)| match fact {
        Fact::CallEnd(end) => Some((front, end.claim)),
        _ => None,
    })
}

fn is_ended(replicas: &Replicas, call: u64) -> bool {
    call_ends(replicas, call).any(|o| !o.1) || replicas.ended_earlier(call)
}
