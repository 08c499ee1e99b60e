//! What the facts of several origins come to, by the rule of each class, the same on every front.

use crate::facts::{CallRecord, Fact, Key, LevelOrder, ServerRecord};
use crate::replicas::Replicas;
use shalespindle_membership::{PeerWarning, ReportedState};
use shalespindle_peers::FrontId;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Meetings of copies that differ that are kept for operators.
const MAX_CONFLICTS: usize = 1000;

/// What changed by what other fronts said.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// What others' lists say of a server, settled.
    Server(PeerWarning),
    /// The level that operators hold, and until when; none: it is let go.
    Level { level: Option<u8>, until: f64, issued_by: String },
    /// A call of this front was released by another.
    CallEnded { call: u64 },
    /// This front is to release a call of one that died, in both directions.
    Release { call: u64, record: Box<CallRecord> },
}

/// Two or more origins that say different things of one start of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    pub address: SocketAddr,
    pub incarnation: u64,
    pub reports: Vec<(FrontId, ReportedState)>,
    pub resolved: ReportedState,
    pub since: f64,
}

/// The settled view, and what of it has been told.
#[derive(Clone, Debug)]
pub struct View {
    warning_ttl: f64,
    servers: BTreeMap<SocketAddr, PeerWarning>,
    /// Version of the word on the level that counts, and who said it.
    level: (u64, String),
    adopted_order: Option<LevelOrder>,
    events: VecDeque<FleetEvent>,
    open_conflicts: BTreeMap<SocketAddr, Conflict>,
    conflict_count: u64,
}

impl View {
    /// A warning of another front counts for so many seconds from when it was written.
    pub fn new(warning_ttl: f64) -> View {
        View {
            warning_ttl,
            servers: BTreeMap::new(),
            level: (0, String::new()),
            adopted_order: None,
            events: VecDeque::new(),
            open_conflicts: BTreeMap::new(),
            conflict_count: 0,
        }
    }

    /// A key's facts may have changed.
    pub fn key_changed(&mut self, now: f64, replicas: &Replicas, key: &Key) {
        match key {
            Key::Server(address) => self.update_server(now, replicas, key, *address),
            Key::Level => self.update_level(now, replicas),
            // Settled by the calls' own rule.
            Key::Call(_) | Key::CallEnd(_) => {}
        }
    }

    /// The highest incarnation; of it the most careful word, and the youngest start.
    fn update_server(&mut self, now: f64, replicas: &Replicas, key: &Key, address: SocketAddr) {
        let records: Vec<(FrontId, f64, ServerRecord)> = replicas
            .facts_for(*key)
            .filter_map(|(front, written, fact)| match fact {
                Fact::Server(record) => Some((front, written, *record)),
                _ => None,
            })
            .collect();
        let highest = records.iter().map(|w| w.2.incarnation).max();
        let of_highest = || records.iter().filter(|w| Some(w.2.incarnation) == highest);
        self.update_conflict(now, address, of_highest().map(|w| (w.0, w.2.reported)).collect(), highest);
        // What this front itself said it knows already.
        let others = of_highest().filter(|w| w.0 != replicas.own());
        let started = others.clone().filter_map(|w| Some(w.1 - w.2.age?)).reduce(f64::max);
        // The same word of two fronts: the later one, since it counts for longer.
        let latest = others.max_by(|a, b| a.2.reported.cmp(&b.2.reported).then(a.1.total_cmp(&b.1)));
        let Some(&(_, written, record)) = latest else {
            self.servers.remove(&address);
            return;
        };
        let until = written + self.warning_ttl;
        let (pool, incarnation, told) = (record.pool, record.incarnation, record.reported);
        let warning = PeerWarning { address, pool, incarnation, state: told, started, until };
        let before = self.servers.insert(address, warning);
        let same = |b: PeerWarning| {
            let close = |a: f64, b: f64| (a - b).abs() < 1.0;
            let starts = match (b.started, started) {
                (Some(a), Some(b)) => close(a, b),
                (a, b) => a.is_none() && b.is_none(),
            };
            (b.incarnation, b.state) == (warning.incarnation, warning.state)
                && starts
                && close(b.until, until)
        };
        if until > now && !before.is_some_and(same) {
            self.events.push_back(FleetEvent::Server(warning));
        }
    }

    fn update_conflict(
        &mut self,
        now: f64,
        address: SocketAddr,
        reports: Vec<(FrontId, ReportedState)>,
        highest: Option<u64>,
    ) {
        let resolved = reports.iter().map(|w| w.1).max();
        let differ = reports.iter().any(|w| Some(w.1) != resolved);
        let (Some(resolved), Some(incarnation), true) = (resolved, highest, differ) else {
            self.open_conflicts.remove(&address);
            return;
        };
        match self.open_conflicts.get_mut(&address).filter(|m| m.incarnation == incarnation) {
            Some(conflict) => (conflict.reports, conflict.resolved) = (reports, resolved),
            None => {
                self.conflict_count += 1;
                if self.open_conflicts.len() < MAX_CONFLICTS {
                    self.open_conflicts
                        .insert(address, Conflict { address, incarnation, reports, resolved, since: now });
                }
            }
        }
    }

    /// The word of the highest version, then of the higher name of who said it: the same whoever passes it on.
    fn update_level(&mut self, now: f64, replicas: &Replicas) {
        let Some((front, written, record)) = highest_order(replicas) else { return };
        if record.rank() <= (self.level.0, self.level.1.as_str()) {
            return;
        }
        self.level = (record.version, record.issued_by.clone());
        let until = written + record.valid_for;
        if front != replicas.own() {
            let level = record.level.filter(|_| until > now);
            self.events.push_back(FleetEvent::Level { level, until, issued_by: record.issued_by.clone() });
            // Passed on as this front's own, so that it outlives the front that was asked.
            self.adopted_order = Some(LevelOrder { valid_for: (until - now).max(0.0), ..record.clone() });
        }
    }

    /// An operator's word that was taken up since this was last asked.
    pub fn take_adopted_order(&mut self) -> Option<LevelOrder> {
        self.adopted_order.take()
    }

    /// The version that a new word on the level must have to count.
    pub fn next_version(&self) -> u64 {
        self.level.0 + 1
    }

    pub fn push_event(&mut self, event: FleetEvent) {
        self.events.push_back(event);
    }

    pub fn next_event(&mut self) -> Option<FleetEvent> {
        self.events.pop_front()
    }

    /// Copies that differ now, and how that is settled.
    pub fn conflicts(&self) -> impl Iterator<Item = &Conflict> {
        self.open_conflicts.values()
    }

    /// How often copies that differ have met so far.
    pub fn conflict_count(&self) -> u64 {
        self.conflict_count
    }
}

fn highest_order(replicas: &Replicas) -> Option<(FrontId, f64, &LevelOrder)> {
    let records = replicas.facts_for(Key::Level).filter_map(|(front, written, fact)| match fact {
        Fact::Level(record) => Some((front, written, record)),
        _ => None,
    });
    records.max_by_key(|w| w.2.rank())
}
