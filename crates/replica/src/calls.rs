//! Established calls of fronts that died: which front takes them back or releases them, so that exactly one
//! does.
//!
//! A call belongs to the front that wrote its fact. When that front restarts under a new incarnation, all
//! fronts bring their replicas of the earlier incarnation to the same end, and the front takes back the calls
//! that were established there. When it stays away for the holding time, one other front releases its calls,
//! after a claim that all fronts can see. A front that learns from a caller or a server that a call has ended
//! publishes that at once, whichever front owns the call. Two fronts can release the same call only on two
//! sides of a network cut, and only the side with more than half of the fronts releases; if both sides did
//! all the same, it is counted and listed.

use crate::facts::{CallEnd, CallRecord, Fact, Key};
use crate::message::Cursor;
use crate::replicas::Replicas;
use crate::view::FleetEvent;
use shalespindle_peers::{FrontId, Incarnation, Peers, State};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum number of calls that are taken back per heartbeat.
const MAX_RECOVERED_PER_HEARTBEAT: usize = 1024;
/// Heartbeat intervals between the first report of another front about this one's incarnations and the
/// recovery of its calls: meanwhile the remaining fronts report their cursors for them.
const RECOVERY_DELAY: f64 = 3.0;
/// Fraction of the holding time after which a front recovers the calls that it knows of, although another
/// front knew more.
const MAX_RECOVERY_WAIT: f64 = 0.5;
/// Heartbeat intervals between a claim and the release: meanwhile the claims of other fronts arrive.
const CLAIM_DELAY: f64 = 4.0;
/// Maximum number of double releases that are listed for operators.
const MAX_DOUBLE_RELEASES: usize = 1000;

/// Parameters of [`Calls`]. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallsParams {
    /// The calls of a dead front are held for it for this time.
    pub hold: f64,
}

/// A call that was established at the end of an incarnation.
#[derive(Clone, Copy, Debug)]
struct Orphan {
    owner: FrontId,
    since: f64,
}

/// A claim of this front to release a call.
#[derive(Clone, Debug)]
struct Claim {
    record: CallRecord,
    owner: FrontId,
    claimed_at: f64,
}

/// An action for the caller of this module.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutput {
    Write(Key, Fact),
    Delete(Key),
    Event(FleetEvent),
}

/// Counters, and numbers of calls that are held now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    pub orphans: usize,
    pub claims: usize,
    pub recovered: u64,
    /// Calls released here for a dead front.
    pub released: u64,
    /// Calls found here after a caller or a server ended them.
    pub found: u64,
    /// Calls released by two or more fronts.
    pub double_releases: u64,
}

/// The established calls of other fronts and of earlier incarnations of this one.
pub struct Calls {
    params: CallsParams,
    orphans: BTreeMap<u64, Orphan>,
    claims: BTreeMap<u64, Claim>,
    /// Calls by the hash of their dialog with the server, and the reverse.
    by_leg: BTreeMap<u64, u64>,
    leg_of: BTreeMap<u64, u64>,
    double_releases: BTreeMap<u64, Vec<FrontId>>,
    /// Calls that this front took back, with the incarnation they were established in.
    recovered: BTreeMap<u64, Incarnation>,
    /// The cursors of the ended incarnations when the recovered calls were last checked.
    known_cursors: Vec<(Incarnation, Cursor)>,
    outputs: VecDeque<CallOutput>,
    counts: CallCounts,
}

/// The hash by which fronts identify a dialog. It is the same for the same text in every process of one
/// build; a front of another build only fails to find the dialog.
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

/// Whether this front acts for a call of another front, among the fronts that are alive. Rendezvous hashing:
/// when a front dies, only the calls that it was responsible for move to others.
fn is_responsible(call: u64, owner: FrontId, peers: &Peers, now: f64) -> bool {
    let own = weight(call, peers.own());
    let others = peers.all(now).filter(|(front, state, _)| *state == State::Alive && *front != owner);
    !peers.is_silenced() && others.map(|(front, ..)| weight(call, front)).all(|w| w < own)
}

/// Whether this front and the fronts alive for it are more than half of all listed fronts.
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
            outputs: VecDeque::new(),
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

    /// Updates the state of a call whose facts may have changed.
    pub fn call_changed(&mut self, replicas: &Replicas, call: u64) {
        let mut owners = owners(replicas, call);
        let owner = owners.next();
        // Ended incarnations are searched only for a call that no current incarnation holds.
        let ended = if owner.is_none() { replicas.orphaned_call(call) } else { None };
        let ended = ended.filter(|_| !is_ended(replicas, call));
        match owner.map(|o| o.1).or(ended.map(|o| o.record)) {
            Some(record) => self.index(call, record),
            None => self.unindex(call),
        }
        match ended {
            Some(ended) => drop(self.orphans.insert(call, Orphan { owner: ended.owner, since: ended.since })),
            None => {
                let orphan = self.orphans.remove(&call);
                let owned_again =
                    |o: &Orphan| owner.into_iter().chain(owners).any(|(front, _)| front == o.owner);
                // Its owner has taken it back.
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
            self.outputs.push_back(CallOutput::Delete(Key::CallEnd(call)));
        }
        ended_by.sort();
        if ended_by.len() > 1 && self.double_releases.get(&call) != Some(&ended_by) {
            self.counts.double_releases += u64::from(!self.double_releases.contains_key(&call));
            if self.double_releases.len() < MAX_DOUBLE_RELEASES {
                self.double_releases.insert(call, ended_by.clone());
            }
        }
        // This front's own call was released by another front.
        let own = replicas.own_fact(&Key::Call(call)).is_some();
        if own && ended_by.iter().any(|front| *front != replicas.own()) {
            self.outputs.push_back(CallOutput::Delete(Key::Call(call)));
            self.outputs.push_back(CallOutput::Event(FleetEvent::CallEnded { call }));
        }
    }

    /// Deletes recovered calls that had already ended. Guards against a recovery from a replica that was less
    /// complete than one that another front reported later.
    fn drop_ended_calls(&mut self, replicas: &Replicas) {
        let is_active = |call: &u64| replicas.own_fact(&Key::Call(*call)).is_some();
        self.recovered.retain(|call, _| is_active(call));
        let ended = self
            .recovered
            .iter()
            .filter(|(call, incarnation)| replicas.ended_without_call(replicas.own(), **incarnation, **call));
        self.outputs.extend(ended.map(|(call, _)| CallOutput::Delete(Key::Call(*call))));
    }

    fn unclaim(&mut self, call: u64) {
        if self.claims.remove(&call).is_some() {
            self.outputs.push_back(CallOutput::Delete(Key::CallEnd(call)));
        }
    }

    /// Handles a request of a caller or a server that ends a call, identified by its dialog with this side.
    /// `dialog` is the hash of the dialog with the caller, or with the server if `by_leg`. Returns the call,
    /// which counts as ended on every front from now on, with its record; without the record if its end was
    /// known already.
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
        let ended = || replicas.orphaned_call(call).map(|o| o.record);
        let record = owners(replicas, call).next().map(|o| o.1).or_else(ended)?.clone();
        self.counts.found += 1;
        self.orphans.remove(&call);
        self.claims.remove(&call);
        self.outputs
            .push_back(CallOutput::Write(Key::CallEnd(call), Fact::CallEnd(CallEnd { claim: false })));
        if owners(replicas, call).any(|(front, _)| front == replicas.own()) {
            self.outputs.push_back(CallOutput::Delete(Key::Call(call)));
        }
        Some((call, Some(record)))
    }

    /// Recovers, claims and releases the calls that are due; `gone` lists the fronts that are gone and since
    /// when. `reported_at` is when another front first reported what it knows of this one.
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

    /// Takes back the calls of this front's earlier incarnations.
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
            self.outputs.push_back(CallOutput::Write(Key::Call(call), Fact::Call(Box::new(record))));
        }
    }

    fn claim(&mut self, now: f64, peers: &Peers, replicas: &Replicas, gone: &[(FrontId, f64)]) {
        let is_expired = |o: &Orphan| o.owner != replicas.own() && now - o.since >= self.params.hold;
        let orphans = self.orphans.iter().filter(|(_, o)| is_expired(o));
        let orphans =
            orphans.filter_map(|(call, o)| Some((*call, o.owner, replicas.orphaned_call(*call)?.record)));
        let gone = gone.iter().filter(|(_, since)| now - since >= self.params.hold);
        let of_gone_fronts = gone
            .flat_map(|(owner, _)| replicas.calls_of(*owner).map(|(call, record)| (call, *owner, record)));
        // A claim of a front that has died since is void.
        let is_valid = |(front, claim): (FrontId, bool)| !claim || peers.state(front) == Some(State::Alive);
        let is_handled = |call: u64| {
            self.claims.contains_key(&call)
                || call_ends(replicas, call).any(is_valid)
                || replicas.has_earlier_end(call)
        };
        let due = orphans.chain(of_gone_fronts);
        let due =
            due.filter(|(call, owner, _)| !is_handled(*call) && is_responsible(*call, *owner, peers, now));
        // Only claimed calls are cloned; the others are evaluated again at each heartbeat.
        let due: Vec<(u64, Claim)> = due
            .map(|(call, owner, record)| (call, Claim { record: record.clone(), owner, claimed_at: now }))
            .collect();
        for (call, claim) in due {
            self.claims.insert(call, claim);
            self.outputs
                .push_back(CallOutput::Write(Key::CallEnd(call), Fact::CallEnd(CallEnd { claim: true })));
        }
    }

    fn release(&mut self, now: f64, peers: &Peers, replicas: &Replicas, heartbeat_interval: f64) {
        let due = self.claims.iter().filter(|(_, c)| now - c.claimed_at >= CLAIM_DELAY * heartbeat_interval);
        for call in due.map(|(call, _)| *call).collect::<Vec<_>>() {
            let Some(claim) = self.claims.get(&call) else { continue };
            let orphan = self.orphans.contains_key(&call);
            let is_present = matches!(peers.state(claim.owner), Some(State::Alive | State::Suspect));
            let returned = !orphan && is_present;
            let others = call_ends(replicas, call).filter(|o| o.0 != replicas.own());
            // Of two claims that of the higher front wins; a release that has happened already takes
            // precedence over any claim.
            let yields = others.clone().any(|(front, claims)| {
                !claims || front > replicas.own() && peers.state(front) == Some(State::Alive)
            });
            if returned || yields || replicas.has_earlier_end(call) || !has_majority(peers, now) {
                self.unclaim(call);
                continue;
            }
            let Some(claim) = self.claims.remove(&call) else { continue };
            self.orphans.remove(&call);
            self.counts.released += 1;
            self.outputs
                .push_back(CallOutput::Write(Key::CallEnd(call), Fact::CallEnd(CallEnd { claim: false })));
            self.outputs
                .push_back(CallOutput::Event(FleetEvent::Release { call, record: Box::new(claim.record) }));
        }
    }

    pub fn next_output(&mut self) -> Option<CallOutput> {
        self.outputs.pop_front()
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

/// The fronts that published an end of the call, and whether it is only a claim.
fn call_ends(replicas: &Replicas, call: u64) -> impl Iterator<Item = (FrontId, bool)> + Clone + '_ {
    replicas.facts_for(Key::CallEnd(call)).filter_map(|(front, _, fact)| match fact {
        Fact::CallEnd(end) => Some((front, end.claim)),
        _ => None,
    })
}

fn is_ended(replicas: &Replicas, call: u64) -> bool {
    call_ends(replicas, call).any(|o| !o.1) || replicas.has_earlier_end(call)
}
