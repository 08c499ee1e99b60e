//! Exhaustive exploration of the replication code itself with three fronts, one of which writes, deletes and
//! forgets: every order of exchanges, losses, duplications, crashes and restarts up to a fixed depth. After
//! each step a clone of the state is run over a repaired network; all replicas must become equal there, and
//! nothing that was deleted may come back. Planted faults check that a replica which skips a check is found.

use shalespindle_peers::{FrontId, Incarnation};
use shalespindle_replica::{Applied, Cursor, Delta, Fact, Key, LevelOrder, ReplicaParams, Replicas};
use std::collections::{BTreeMap, BTreeSet, HashSet};

const PARAMS: ReplicaParams = ReplicaParams { max_facts: 8, deletion_retention: 10.0 };
const WRITER: FrontId = FrontId(0);
/// Seconds between two steps: deletions are forgotten after three of them.
const STEP: f64 = 4.0;
/// Byte budget for one item: every longer answer comes in several deltas.
const ONE_ITEM: usize = 1;

fn key(n: u8) -> Key {
    match n {
        0 => Key::Level,
        n => Key::Server(format!("127.0.0.1:{n}").parse().unwrap()),
    }
}

fn fact(n: u8, version: u64) -> Fact {
    match n {
        0 => Fact::Level(LevelOrder { level: None, valid_for: 1.0, version, issued_by: String::new() }),
        _ => Fact::Server(shalespindle_replica::ServerRecord {
            pool: 1,
            incarnation: version,
            reported: shalespindle_replica::ReportedState::Ready,
            age: None,
        }),
    }
}

/// A fault that replaces a check of the code.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// A reader keeps its replica of an ended incarnation and receives nothing more of it.
    EndedNotSent,
    /// Applies a delta although facts that precede it are missing.
    GapApplied,
    /// Serves from the requested cursor, whatever deletions have been forgotten.
    FloorIgnored,
}

/// A key, its number and its fact.
type HeldFact = (Key, u64, Fact);

#[derive(Clone)]
struct Model {
    now: f64,
    incarnation: Incarnation,
    replicas: Vec<Replicas>,
    /// Deltas in flight: receiver, delta.
    in_flight: Vec<(usize, Delta)>,
    /// What the writer holds, recorded independently of its replica.
    truth: BTreeMap<Key, Fact>,
    /// What it held at the end of each incarnation, with numbers, and the highest number it had reached.
    ended: BTreeMap<Incarnation, (u64, Vec<HeldFact>)>,
    version: u64,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Write(u8),
    Delete(u8),
    /// `to` sends its cursor to `from`, whose answer is then in flight.
    Request {
        to: usize,
        from: usize,
    },
    /// The same for the last ended incarnation.
    RequestEnded {
        to: usize,
        from: usize,
    },
    /// The oldest delta in flight arrives, and is removed or stays for a second arrival.
    Arrive {
        stays: bool,
    },
    Lose,
    /// A reader restarts empty.
    CrashReader(usize),
    /// The writer restarts empty under a new incarnation.
    RestartWriter,
}

const STEPS: [Step; 15] = [
    Step::Write(0),
    Step::Write(1),
    Step::Delete(0),
    Step::Delete(1),
    Step::Request { to: 1, from: 0 },
    Step::Request { to: 2, from: 0 },
    Step::Request { to: 2, from: 1 },
    Step::Request { to: 1, from: 2 },
    Step::RequestEnded { to: 2, from: 1 },
    Step::RequestEnded { to: 1, from: 2 },
    Step::Arrive { stays: false },
    Step::Arrive { stays: true },
    Step::Lose,
    Step::CrashReader(1),
    Step::RestartWriter,
];

impl Model {
    fn new() -> Model {
        let incarnation = Incarnation { number: 1, nonce: 1 };
        let replicas = (0..3)
            .map(|n| Replicas::new(PARAMS, FrontId(n), Incarnation { number: 1, nonce: n + 1 }))
            .collect();
        Model {
            now: 0.0,
            incarnation,
            replicas,
            in_flight: Vec::new(),
            truth: BTreeMap::new(),
            ended: BTreeMap::new(),
            version: 0,
        }
    }

    fn cursor(&self, of: usize) -> (Incarnation, Cursor) {
        let incarnation = self.replicas[of].incarnation(WRITER).max(Incarnation { number: 1, nonce: 1 });
        (incarnation, self.replicas[of].cursor(WRITER, incarnation).unwrap_or_default())
    }

    fn answer(&mut self, to: usize, from: usize, fault: Fault) -> Option<Delta> {
        let (incarnation, mut cursor) = self.cursor(to);
        if fault == Fault::FloorIgnored {
            // As if the replica never forgot deletions.
            cursor.floor = self.replicas[from].cursor(WRITER, self.incarnation).unwrap_or_default().floor;
        }
        self.replicas[from].delta(self.now, WRITER, incarnation, cursor, ONE_ITEM)
    }

    fn answer_ended(&mut self, to: usize, from: usize, incarnation: Incarnation) -> Option<Delta> {
        let cursor = self.replicas[to].ended_cursor(self.now, WRITER, incarnation, 0)?;
        let has_replica = self.replicas[from].ended_cursors(WRITER).iter().any(|p| p.0 == incarnation);
        // A front that does not know of the end takes it for the current incarnation.
        let knows_of_end = self.replicas[to].incarnation(WRITER) > incarnation;
        (has_replica && knows_of_end)
            .then(|| self.replicas[from].delta(self.now, WRITER, incarnation, cursor, ONE_ITEM))
            .flatten()
    }

    fn arrive(&mut self, to: usize, delta: &Delta, fault: Fault) -> Applied {
        let mut delta = delta.clone();
        if fault == Fault::GapApplied {
            let (_, cursor) = self.cursor(to);
            delta.from = delta.from.min(cursor.seq);
        }
        self.replicas[to].apply(self.now, &delta)
    }

    /// Returns false if the step has no effect here.
    fn step(&mut self, step: Step, fault: Fault) -> bool {
        self.now += STEP;
        let now = self.now;
        self.replicas[0].forget_old_deletions(now);
        match step {
            Step::Write(n) => {
                self.version += 1;
                let fact = fact(n, self.version);
                self.truth.insert(key(n), fact.clone());
                self.replicas[0].write(now, key(n), fact).is_ok()
            }
            Step::Delete(n) => {
                self.truth.remove(&key(n));
                self.replicas[0].delete(now, key(n))
            }
            Step::Request { to, from } => match self.answer(to, from, fault) {
                Some(delta) if self.in_flight.len() < 2 => {
                    self.in_flight.push((to, delta));
                    true
                }
                _ => false,
            },
            Step::RequestEnded { to, from } => {
                let last = self.replicas[from].ended_cursors(WRITER).last().map(|p| p.0);
                match last.and_then(|incarnation| self.answer_ended(to, from, incarnation)) {
                    Some(delta) if self.in_flight.len() < 2 => {
                        self.in_flight.push((to, delta));
                        true
                    }
                    _ => false,
                }
            }
            Step::Arrive { stays } => {
                let Some((to, delta)) = self.in_flight.first().cloned() else { return false };
                self.arrive(to, &delta, fault);
                if !stays {
                    self.in_flight.remove(0);
                }
                true
            }
            Step::Lose => {
                !self.in_flight.is_empty() && {
                    self.in_flight.remove(0);
                    true
                }
            }
            Step::CrashReader(n) => {
                let incarnation = Incarnation { number: 1, nonce: n as u64 + 1 };
                let empty = Replicas::new(PARAMS, FrontId(n as u64), incarnation);
                let changed = self.replicas[n] != empty;
                self.replicas[n] = empty;
                changed
            }
            Step::RestartWriter => {
                let (_, cursor) = self.cursor(0);
                self.ended.insert(self.incarnation, (cursor.seq, self.replicas[0].facts(WRITER)));
                self.truth.clear();
                self.incarnation.number += 1;
                self.replicas[0] = Replicas::new(PARAMS, WRITER, self.incarnation);
                self.incarnation.number <= 3
            }
        }
    }

    /// Repairs the network, runs exchanges, and returns the first replica that differs from the writer's.
    fn violation_after_repair(mut self, fault: Fault) -> Option<String> {
        // Deltas in flight may arrive at any time; here they arrive first.
        for (to, delta) in std::mem::take(&mut self.in_flight) {
            self.arrive(to, &delta, fault);
        }
        // Each exchange carries one item, between the writer and the readers and among the readers.
        for _ in 0..12 {
            for (to, from) in [(1, 0), (2, 1), (2, 0), (1, 2)] {
                // A digest tells every front the writer's incarnation.
                self.replicas[to].advance_incarnation(self.now, WRITER, self.incarnation);
                if let Some(delta) = self.answer(to, from, fault) {
                    self.arrive(to, &delta, fault);
                }
            }
            for incarnation in self.ended.keys().copied().collect::<Vec<_>>() {
                for (to, from) in [(2, 1), (1, 2), (0, 1)] {
                    let is_sent = fault != Fault::EndedNotSent;
                    if let Some(delta) = self.answer_ended(to, from, incarnation).filter(|_| is_sent) {
                        self.arrive(to, &delta, fault);
                    }
                }
            }
        }
        if let Some(violation) = self.ended_difference() {
            return Some(violation);
        }
        let wanted: Vec<(Key, Fact)> = self.truth.clone().into_iter().collect();
        (0..3).find_map(|n| {
            let held: Vec<(Key, Fact)> =
                self.replicas[n].facts(WRITER).into_iter().map(|(k, _, f)| (k, f)).collect();
            let (first, this) = (&self.replicas[0], &self.replicas[n]);
            let wrong = held != wanted
                || this.digest(WRITER) != first.digest(WRITER)
                || this.fact_count(WRITER) != wanted.len();
            wrong.then(|| format!("front {n} holds {held:?}, wanted {wanted:?}"))
        })
    }
}

impl Model {
    /// Replicas of an ended incarnation must reach the same number, and those that are complete must be as it
    /// was at its end. If no front has it to its end, replicas may differ in what its writer rewrote or
    /// deleted after that.
    fn ended_difference(&self) -> Option<String> {
        self.ended.iter().find_map(|(incarnation, (end, truth))| {
            let held: Vec<_> = (0..3)
                .map(|n| {
                    let seq = self.replicas[n]
                        .ended_cursors(WRITER)
                        .iter()
                        .find(|p| p.0 == *incarnation)
                        .map(|p| p.1.seq);
                    (seq, self.replicas[n].facts_of(WRITER, *incarnation))
                })
                .collect();
            let first_seq = held[0].0;
            let first: BTreeSet<String> = held[0].1.iter().map(|f| format!("{f:?}")).collect();
            let still_valid = |f: &HeldFact| truth.iter().any(|t| t.0 == f.0 && t.1 == f.1);
            let wrong = held.iter().any(|(seq, facts)| {
                let other: BTreeSet<String> = facts.iter().map(|f| format!("{f:?}")).collect();
                let different = held[0].1.iter().chain(facts).filter(|f| {
                    let f = format!("{f:?}");
                    first.contains(&f) != other.contains(&f)
                });
                *seq != first_seq
                    || *seq == Some(*end) && facts != truth
                    || different.into_iter().any(still_valid)
            });
            wrong.then(|| format!("{incarnation:?} ended at {end} with {truth:?}, held are {held:?}"))
        })
    }
}

/// Explores to a depth. Returns the number of states, or the steps to the first violation.
fn explore(depth: usize, fault: Fault) -> Result<usize, (Vec<Step>, String)> {
    let mut seen: HashSet<String> = HashSet::new();
    let mut frontier = vec![(Model::new(), Vec::new())];
    for _ in 0..depth {
        let mut next = Vec::new();
        for (model, steps) in &frontier {
            for step in STEPS {
                let mut model = model.clone();
                if !model.step(step, fault) {
                    continue;
                }
                let state = format!(
                    "{:?}{:?}{:?}{:?}{:?}",
                    model.replicas, model.in_flight, model.truth, model.ended, model.incarnation
                );
                if !seen.insert(state) {
                    continue;
                }
                let steps: Vec<Step> = steps.iter().copied().chain([step]).collect();
                if let Some(violation) = model.clone().violation_after_repair(fault) {
                    return Err((steps, violation));
                }
                next.push((model, steps));
            }
        }
        frontier = next;
    }
    Ok(seen.len())
}

#[test]
fn replicas_converge_and_nothing_deleted_comes_back() {
    let states =
        explore(7, Fault::None).unwrap_or_else(|(steps, violation)| panic!("{steps:?}: {violation}"));
    println!("{states} states");
    assert!(states > 10_000, "{states}");
}

#[test]
fn each_planted_fault_is_found() {
    for fault in [Fault::GapApplied, Fault::FloorIgnored, Fault::EndedNotSent] {
        assert!(explore(7, fault).is_err() || forgotten_deletion_returns(fault), "not found");
    }
}

/// The sequence in which forgetting matters exceeds the exploration depth: write, send, delete, forget.
fn forgotten_deletion_returns(fault: Fault) -> bool {
    let mut model = Model::new();
    let sent =
        [Step::Write(0), Step::Write(1), Step::Request { to: 1, from: 0 }, Step::Arrive { stays: false }];
    let more = [Step::Request { to: 1, from: 0 }, Step::Arrive { stays: false }, Step::Delete(0)];
    for step in sent.into_iter().chain(more) {
        model.step(step, fault);
    }
    // The deletion is forgotten before the reader receives it.
    for _ in 0..4 {
        model.step(Step::Write(1), fault);
    }
    model.violation_after_repair(fault).is_some()
}

#[test]
fn forgotten_deletions_do_not_come_back_from_a_stale_replica() {
    assert!(!forgotten_deletion_returns(Fault::None));
    assert!(forgotten_deletion_returns(Fault::FloorIgnored), "the planted fault has to be found");
}

#[test]
fn a_resync_holds_all_valid_facts_throughout() {
    let mut model = Model::new();
    for n in 1..5 {
        model.step(Step::Write(n), Fault::None);
    }
    while let Some(delta) = model.answer(1, 0, Fault::None) {
        model.arrive(1, &delta, Fault::None);
    }
    assert_eq!(model.replicas[1].fact_count(WRITER), 4);
    model.step(Step::Delete(1), Fault::None);
    for _ in 0..4 {
        model.step(Step::Write(4), Fault::None);
    }
    // One item at a time; at every moment all facts that still hold must be there.
    let mut deltas = 0;
    while let Some(delta) = model.answer(1, 0, Fault::None) {
        model.arrive(1, &delta, Fault::None);
        deltas += 1;
        let held: BTreeSet<Key> = model.replicas[1].facts(WRITER).into_iter().map(|f| f.0).collect();
        assert!([2, 3, 4].into_iter().all(|n| held.contains(&key(n))), "after {deltas}: {held:?}");
    }
    assert!(deltas >= 3);
    assert_eq!(model.replicas[1].fact_count(WRITER), 3);
}

#[test]
fn deltas_out_of_order_too_large_or_under_wrong_keys_are_rejected() {
    let mut model = Model::new();
    for n in 1..4 {
        model.step(Step::Write(n), Fault::None);
    }
    let good =
        model.replicas[0].delta(model.now, WRITER, model.incarnation, Cursor::default(), 10_000).unwrap();
    let bad = |change: &dyn Fn(&mut Delta)| {
        let mut delta = good.clone();
        change(&mut delta);
        let mut replicas = model.replicas[1].clone();
        replicas.apply(model.now, &delta)
    };
    assert_eq!(bad(&|p| p.items.swap(0, 1)), Applied::Invalid);
    assert_eq!(bad(&|p| p.items[0].key = Key::Level), Applied::Invalid);
    assert_eq!(bad(&|p| p.items[0].age = f64::NAN), Applied::Invalid);
    assert_eq!(bad(&|p| p.to = 1), Applied::Invalid);
    assert_eq!(bad(&|p| p.from = 2), Applied::Invalid);
    assert_eq!(
        bad(&|p| {
            p.items = (1..20)
                .map(|n| shalespindle_replica::Item { seq: n.into(), key: key(n), ..p.items[0].clone() })
                .collect();
            (p.to, p.sender_seq) = (19, 19);
        }),
        Applied::Invalid
    );
    assert_eq!(
        bad(&|p| (p.front, p.incarnation) = (1, (1, 2))),
        Applied::AlreadyKnown,
        "a delta about this front itself"
    );
    assert!(matches!(bad(&|_| ()), Applied::Changed { .. }));
}

#[test]
fn a_full_replica_rejects_writes_and_deletions_free_capacity() {
    let mut replicas = Replicas::new(PARAMS, WRITER, Incarnation::default());
    for n in 1..9 {
        assert_eq!(replicas.write(0.0, key(n), fact(n, 1)), Ok(true));
    }
    assert_eq!(replicas.write(0.0, key(1), fact(1, 1)), Ok(false), "the same fact again");
    assert!(replicas.write(0.0, key(9), fact(9, 1)).is_err());
    assert!(replicas.delete(0.0, key(3)));
    assert_eq!(replicas.write(0.0, key(9), fact(9, 1)), Ok(true));
    assert_eq!(replicas.fact_count(WRITER), 8);
}
