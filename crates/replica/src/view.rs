//! The merged view of the facts of several origins. Each class has its rule, which gives the same result on
//! every front.

use crate::facts::{CallRecord, Fact, Key, LevelOrder, ServerRecord};
use crate::replicas::Replicas;
use shalespindle_membership::{PeerWarning, ReportedState};
use shalespindle_peers::FrontId;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Maximum number of conflicts that are listed for operators.
const MAX_CONFLICTS: usize = 1000;

/// A change that results from facts of other fronts.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// The merged state of a server in the pool lists of other fronts.
    Server(PeerWarning),
    /// The level that operators have pinned, and until when; none if the pin has ended.
    Level { level: Option<u8>, until: f64, issued_by: String },
    /// A call of this front was released by another front.
    CallEnded { call: u64 },
    /// This front has to release a call of a dead front in both directions.
    Release { call: u64, record: Box<CallRecord> },
}

/// Two or more origins that report different states for one incarnation of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    pub address: SocketAddr,
    pub incarnation: u64,
    pub reports: Vec<(FrontId, ReportedState)>,
    pub resolved: ReportedState,
    pub since: f64,
}

/// The merged view, and the changes that were not yet taken from it.
#[derive(Clone, Debug)]
pub struct View {
    warning_ttl: f64,
    servers: BTreeMap<SocketAddr, PeerWarning>,
    /// Version of the level order in effect, and the front that issued it.
    level_rank: (u64, String),
    adopted_order: Option<LevelOrder>,
    events: VecDeque<FleetEvent>,
    open_conflicts: BTreeMap<SocketAddr, Conflict>,
    conflict_count: u64,
}

impl View {
    /// `warning_ttl` is the time in seconds for which a warning of another front counts, from when it was
    /// written.
    pub fn new(warning_ttl: f64) -> View {
        View {
            warning_ttl,
            servers: BTreeMap::new(),
            level_rank: (0, String::new()),
            adopted_order: None,
            events: VecDeque::new(),
            open_conflicts: BTreeMap::new(),
            conflict_count: 0,
        }
    }

    /// Recomputes the view of a key whose facts may have changed.
    pub fn key_changed(&mut self, now: f64, replicas: &Replicas, key: &Key) {
        match key {
            Key::Server(address) => self.update_server(now, replicas, key, *address),
            Key::Level => self.update_level(now, replicas),
            // Calls are merged by `Calls`.
            Key::Call(_) | Key::CallEnd(_) => {}
        }
    }

    /// Merges the records of a server: only those of the highest incarnation count; of them the most severe
    /// state, and the latest start.
    fn update_server(&mut self, now: f64, replicas: &Replicas, key: &Key, address: SocketAddr) {
        let records: Vec<(FrontId, f64, ServerRecord)> = replicas
            .facts_for(*key)
            .filter_map(|(front, written, fact)| match fact {
                Fact::Server(record) => Some((front, written, *record)),
                _ => None,
            })
            .collect();
        let highest = records.iter().map(|r| r.2.incarnation).max();
        let of_highest = || records.iter().filter(|r| Some(r.2.incarnation) == highest);
        self.update_conflict(now, address, of_highest().map(|r| (r.0, r.2.reported)).collect(), highest);
        // This front already acts on its own records.
        let others = of_highest().filter(|r| r.0 != replicas.own());
        let started = others.clone().filter_map(|r| Some(r.1 - r.2.age?)).reduce(f64::max);
        // Of two fronts with the same state, the record written later is valid for longer.
        let latest = others.max_by(|a, b| a.2.reported.cmp(&b.2.reported).then(a.1.total_cmp(&b.1)));
        let Some(&(_, written, record)) = latest else {
            self.servers.remove(&address);
            return;
        };
        let until = written + self.warning_ttl;
        let (pool, incarnation, state) = (record.pool, record.incarnation, record.reported);
        let warning = PeerWarning { address, pool, incarnation, state, started, until };
        let before = self.servers.insert(address, warning);
        let is_same = |b: PeerWarning| {
            let close = |a: f64, b: f64| (a - b).abs() < 1.0;
            let same_start = match (b.started, started) {
                (Some(a), Some(b)) => close(a, b),
                (a, b) => a.is_none() && b.is_none(),
            };
            (b.incarnation, b.state) == (warning.incarnation, warning.state)
                && same_start
                && close(b.until, until)
        };
        if until > now && !before.is_some_and(is_same) {
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
        let resolved = reports.iter().map(|r| r.1).max();
        let differ = reports.iter().any(|r| Some(r.1) != resolved);
        let (Some(resolved), Some(incarnation), true) = (resolved, highest, differ) else {
            self.open_conflicts.remove(&address);
            return;
        };
        match self.open_conflicts.get_mut(&address).filter(|c| c.incarnation == incarnation) {
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

    /// Applies the level order of the highest version, then of the higher name of the front that issued it:
    /// the same result whichever front passes it on.
    fn update_level(&mut self, now: f64, replicas: &Replicas) {
        let Some((front, written, order)) = highest_order(replicas) else { return };
        if order.rank() <= (self.level_rank.0, self.level_rank.1.as_str()) {
            return;
        }
        self.level_rank = (order.version, order.issued_by.clone());
        let until = written + order.valid_for;
        if front != replicas.own() {
            let level = order.level.filter(|_| until > now);
            self.events.push_back(FleetEvent::Level { level, until, issued_by: order.issued_by.clone() });
            // Republished as this front's own fact, so that the order outlives the front that received it
            // from the operator.
            self.adopted_order = Some(LevelOrder { valid_for: (until - now).max(0.0), ..order.clone() });
        }
    }

    /// Returns an operator's level order that was adopted since the last call.
    pub fn take_adopted_order(&mut self) -> Option<LevelOrder> {
        self.adopted_order.take()
    }

    /// The version that a new level order needs to take precedence.
    pub fn next_version(&self) -> u64 {
        self.level_rank.0 + 1
    }

    /// Queues an event for [`View::next_event`].
    pub fn push_event(&mut self, event: FleetEvent) {
        self.events.push_back(event);
    }

    pub fn next_event(&mut self) -> Option<FleetEvent> {
        self.events.pop_front()
    }

    /// The current conflicts and how they are resolved.
    pub fn conflicts(&self) -> impl Iterator<Item = &Conflict> {
        self.open_conflicts.values()
    }

    /// Number of conflicts so far.
    pub fn conflict_count(&self) -> u64 {
        self.conflict_count
    }
}

fn highest_order(replicas: &Replicas) -> Option<(FrontId, f64, &LevelOrder)> {
    let orders = replicas.facts_for(Key::Level).filter_map(|(front, written, fact)| match fact {
        Fact::Level(order) => Some((front, written, order)),
        _ => None,
    });
    orders.max_by_key(|o| o.2.rank())
}
