//! Measures a simulated fleet with coordinators under one scenario.

use super::fleet::{Fleet, Node, NodeIndex};
use super::scenario::{CoordinatedShape, Planted, Scenario};
use crate::resources::resident_bytes;
use rand::Rng;
use serde::Serialize;
use shalespindle_coordinator::{Key, ServerState, Value};
use shalespindle_membership::ReportedState;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Length of the windows over which traffic is averaged, seconds.
const WINDOW: f64 = 10.0;
/// Time into which the steady scenario compresses the changes and restarts of a day, seconds.
const STEADY_DURATION: f64 = 600.0;
/// Configuration changes in the steady scenario.
const CHANGES_PER_DAY: usize = 430;
/// Server restarts in the steady scenario.
const RESTARTS_PER_DAY: usize = 230;
/// Maximum time for a fleet to converge, seconds.
const CONVERGENCE_TIMEOUT: f64 = 120.0;
/// Downtime of a killed zone, seconds; coordinators stay down for twice that time.
const DOWNTIME: f64 = 30.0;
/// Time within which fronts detect that their coordinator has restarted, seconds.
const RESTART_DETECTION: f64 = 3.0;
/// Duration of the partition of a region, seconds.
const PARTITION_DURATION: f64 = 300.0;

/// Results of one measurement.
///
/// Traffic is bytes per second of frames, without IP and UDP headers, sent and received together. Maxima are
/// over all nodes and all windows of ten seconds.
#[derive(Clone, Debug, Serialize)]
pub struct CoordinatedCost {
    /// Number of fronts.
    pub fronts: usize,
    /// Number of coordinators.
    pub coordinators: usize,
    /// The scenario.
    pub scenario: Scenario,
    /// Seed of the random generator.
    pub seed: u64,
    /// Traffic of the front with the most traffic, in its worst window.
    pub front_bytes_max: f64,
    /// Traffic of the median front, averaged over the whole scenario.
    pub front_bytes_median: f64,
    /// Traffic of the coordinator with the most traffic, in its worst window.
    pub coordinator_bytes_max: f64,
    /// Processor time of a front, codec included, divided by elapsed virtual time.
    pub front_core_share: f64,
    /// Processor time of a coordinator, codec included, divided by elapsed virtual time.
    pub coordinator_core_share: f64,
    /// Resident memory of the whole simulation divided by the number of fronts, megabytes; includes
    /// coordinators, frames in flight and the simulation itself.
    pub front_memory_mb: f64,
    /// Seconds until the slowest change was in force on all fronts that were running when it was announced.
    pub change_all_s: f64,
    /// Seconds from the end of the fault until all fronts are connected, synchronized and act on one version.
    pub recovered_s: f64,
    /// Maximum time since a front was last synchronized with a coordinator, seconds.
    pub age_max_s: f64,
    /// Snapshots that coordinators began.
    pub snapshots: u64,
    /// Clients to which a coordinator confirmed that their state is already complete.
    pub confirmed: u64,
    /// Checks in which clients were suspected, counted over all coordinators.
    pub suspicions: u64,
    /// Running fronts that a coordinator suspects at the end, counted over all coordinators.
    pub suspected_wrongly: u64,
    /// Versions that lost a conflict, as the first coordinator lists them at the end.
    pub lost_versions: usize,
    /// Fronts that do not act on the newest version at the end.
    pub behind: u64,
    /// Number of times that a front changed to an older version than the one it acted on.
    pub went_back: u64,
    /// Server entries of ended incarnations that a coordinator still stores as live at the end.
    pub resurrected: u64,
}

/// A version that is not in force everywhere yet.
struct Announced {
    at: f64,
    number: u64,
    publisher: NodeIndex,
}

/// State of one measurement.
struct Run {
    fleet: Fleet,
    shape: CoordinatedShape,
    /// Number of starts of each server.
    server_starts: Vec<u64>,
    next_number: u64,
    pending: Vec<Announced>,
    change_all_s: f64,
    age_max_s: f64,
    window_begin: f64,
    window_bytes: Vec<u64>,
    front_bytes_max: f64,
    coordinator_bytes_max: f64,
}

/// Measures one simulated fleet.
pub fn measure(shape: &CoordinatedShape) -> CoordinatedCost {
    let resident_before = resident_bytes();
    let mut run = Run::new(shape.clone());
    run.settle();
    let traffic_before: Vec<u64> = run.fleet.traffic.iter().map(|t| t.bytes).collect();
    let begin = run.fleet.now;
    let (front_before, coordinator_before) = (run.fleet.front_seconds, run.fleet.coordinator_seconds);
    let recovered_s = match shape.scenario {
        Scenario::Steady => run.steady(),
        Scenario::RestartZone => run.restart_zone(),
        Scenario::RegionCut => run.region_cut(),
        Scenario::CoordinatorsDown => run.coordinators_down(),
        Scenario::SessionsLost => run.sessions_lost(),
    };
    if let Some(planted) = shape.planted {
        run.inject(planted);
    }
    let seconds = run.fleet.now - begin;
    let share = |spent: f64, nodes: usize| spent / seconds / nodes.max(1) as f64;
    let mut front_bytes: Vec<f64> = run
        .fleet
        .fronts()
        .map(|index| (run.fleet.traffic[index].bytes - traffic_before[index]) as f64 / seconds)
        .collect();
    front_bytes.sort_by(f64::total_cmp);
    let (snapshots, confirmed, suspicions) = run.totals();
    CoordinatedCost {
        fronts: shape.fronts,
        coordinators: shape.coordinators,
        scenario: shape.scenario,
        seed: shape.seed,
        front_bytes_max: run.front_bytes_max,
        front_bytes_median: front_bytes.get(front_bytes.len() / 2).copied().unwrap_or(0.0),
        coordinator_bytes_max: run.coordinator_bytes_max,
        front_core_share: share(run.fleet.front_seconds - front_before, shape.fronts),
        coordinator_core_share: share(run.fleet.coordinator_seconds - coordinator_before, shape.coordinators),
        front_memory_mb: resident_bytes().saturating_sub(resident_before) as f64 / 1e6 / shape.fronts as f64,
        change_all_s: run.change_all_s,
        recovered_s,
        age_max_s: run.age_max_s,
        snapshots,
        confirmed,
        suspicions,
        suspected_wrongly: run.suspected_wrongly(),
        lost_versions: run.lost_versions(),
        behind: run.behind(),
        went_back: run.fleet.version_regressions,
        resurrected: run.resurrected(),
    }
}

fn server_address(server: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (server / 250) as u8, (server % 250) as u8], 5060))
}

impl Run {
    fn new(shape: CoordinatedShape) -> Run {
        let mut fleet = Fleet::new(shape.coordinators, shape.fronts, shape.regions, shape.loss, shape.seed);
        (0..shape.coordinators).for_each(|index| fleet.start_coordinator(index));
        let count = fleet.nodes.len();
        let mut run = Run {
            fleet,
            // There is one server per front.
            server_starts: vec![1; shape.fronts],
            shape,
            next_number: 1,
            pending: Vec::new(),
            change_all_s: 0.0,
            age_max_s: 0.0,
            window_begin: 0.0,
            window_bytes: vec![0; count],
            front_bytes_max: 0.0,
            coordinator_bytes_max: 0.0,
        };
        run.fleet.fronts().for_each(|index| run.start_front(index));
        run
    }

    /// The servers in a front's scope: its own and those that follow, modulo the number of servers.
    fn scope(&self, index: NodeIndex) -> Vec<usize> {
        let front = index - self.shape.coordinators;
        let count = self.shape.servers_in_scope.min(self.shape.fronts);
        (0..count).map(|n| (front + n) % self.shape.fronts).collect()
    }

    fn start_front(&mut self, index: NodeIndex) {
        let scope = self.scope(index);
        self.fleet.start_front(index, scope.iter().map(|server| server_address(*server)).collect());
    }

    /// Announces the next version at a node.
    fn announce_at(&mut self, index: NodeIndex) {
        let (now, number) = (self.fleet.now, self.next_number);
        let announced = match &mut self.fleet.nodes[index] {
            Node::Coordinator(coordinator) => coordinator.announce(now, number, number).is_ok(),
            Node::Front(front) => front.client.announce(now, number, number).is_ok(),
            Node::Down => false,
        };
        if announced {
            self.next_number += 1;
            self.pending.push(Announced { at: now, number, publisher: index });
        }
    }

    /// Every front that subscribes to the server reports the server's state.
    fn report_server_state(&mut self, server: usize, reported: ReportedState) {
        let now = self.fleet.now;
        let (address, state) = (
            server_address(server),
            ServerState { incarnation: self.server_starts[server], state: reported },
        );
        for index in self.fleet.fronts() {
            if let Some(front) = self.fleet.front(index).filter(|front| front.scope.contains(&address)) {
                front.client.report_server(now, address, Some(state));
            }
        }
    }

    // ---- stepping and observation ----

    fn step(&mut self) {
        self.fleet.step();
        let now = self.fleet.now;
        if now - self.window_begin >= WINDOW {
            self.close_window();
        }
        let number = |fleet: &mut Fleet, index| fleet.front(index).map_or(u64::MAX, |front| front.in_force);
        while let Some(oldest) = self.pending.first() {
            let (at, target) = (oldest.at, oldest.number);
            let fleet = &mut self.fleet;
            let mut fronts = fleet.fronts();
            let all = fronts.all(|index| {
                let started = fleet.front(index).map_or(f64::INFINITY, |front| front.started_at);
                started > at || number(fleet, index) >= target
            });
            if !all {
                break;
            }
            self.change_all_s = self.change_all_s.max(now - at);
            self.pending.remove(0);
        }
    }

    /// Ends a window: updates the maxima of traffic and age.
    fn close_window(&mut self) {
        let seconds = self.fleet.now - self.window_begin;
        for index in 0..self.fleet.nodes.len() {
            let bytes = self.fleet.traffic[index].bytes;
            let rate = (bytes - self.window_bytes[index]) as f64 / seconds;
            let max = match index < self.shape.coordinators {
                true => &mut self.coordinator_bytes_max,
                false => &mut self.front_bytes_max,
            };
            *max = max.max(rate);
            self.window_bytes[index] = bytes;
        }
        self.window_begin = self.fleet.now;
        let now = self.fleet.now;
        for index in self.fleet.fronts() {
            if let Some(front) = self.fleet.front(index) {
                let age = front.client.status(now).age.unwrap_or(now - front.started_at);
                self.age_max_s = self.age_max_s.max(age);
            }
        }
    }

    fn run_for(&mut self, seconds: f64) {
        let until = self.fleet.now + seconds;
        while self.fleet.now < until {
            self.step();
        }
    }

    /// True if all fronts are connected, have published everything and act on the newest announced version.
    fn has_converged(&mut self) -> bool {
        let now = self.fleet.now;
        let newest = self.next_number - 1;
        let fleet = &mut self.fleet;
        let mut fronts = fleet.fronts();
        fronts.all(|index| {
            fleet.front(index).is_some_and(|front| {
                let status = front.client.status(now);
                status.coordinator.is_some() && status.unpublished == 0 && front.in_force >= newest
            })
        })
    }

    /// Steps until the fleet has converged; returns the elapsed seconds, infinite if it does not converge in
    /// time.
    fn converge(&mut self) -> f64 {
        let begin = self.fleet.now;
        while !self.has_converged() {
            if self.fleet.now - begin > CONVERGENCE_TIMEOUT {
                return f64::INFINITY;
            }
            self.step();
        }
        self.fleet.now - begin
    }

    /// Runs from the start until a first version is in force everywhere; excluded from the results.
    fn settle(&mut self) {
        (0..self.shape.fronts).for_each(|server| self.report_server_state(server, ReportedState::Ready));
        self.run_for(5.0);
        self.announce_at(0);
        self.converge();
        self.run_for(10.0);
        self.close_window();
        (self.front_bytes_max, self.coordinator_bytes_max) = (0.0, 0.0);
        (self.change_all_s, self.age_max_s) = (0.0, 0.0);
    }

    // ---- scenarios: each returns the time from the end of the fault to convergence ----

    fn steady(&mut self) -> f64 {
        // Changes at random nodes, and servers that are drained, restarted and ready again; in order of time,
        // milliseconds.
        let mut schedule: BTreeMap<u64, Vec<SteadyEvent>> = BTreeMap::new();
        let millis = |seconds: f64| (seconds * 1000.0) as u64;
        for _ in 0..CHANGES_PER_DAY {
            let at = millis(STEADY_DURATION * self.fleet.rng.random::<f64>());
            schedule.entry(at).or_default().push(SteadyEvent::Change);
        }
        for _ in 0..RESTARTS_PER_DAY {
            let at = STEADY_DURATION * self.fleet.rng.random::<f64>();
            let server = self.fleet.rng.random_range(0..self.shape.fronts);
            schedule.entry(millis(at)).or_default().push(SteadyEvent::Drain(server));
            schedule.entry(millis(at + 5.0)).or_default().push(SteadyEvent::Restart(server));
        }
        let begin = self.fleet.now;
        while let Some((at, events)) = schedule.pop_first() {
            while millis(self.fleet.now - begin) < at {
                self.step();
            }
            events.into_iter().for_each(|event| self.handle(event));
        }
        let recovered = self.converge();
        self.run_for(10.0);
        recovered
    }

    fn handle(&mut self, event: SteadyEvent) {
        match event {
            SteadyEvent::Change => {
                let index = self.fleet.rng.random_range(0..self.fleet.nodes.len());
                self.announce_at(index);
            }
            SteadyEvent::Drain(server) => self.report_server_state(server, ReportedState::Draining),
            SteadyEvent::Restart(server) => {
                self.server_starts[server] += 1;
                // The front of the server restarts with it.
                let index = self.shape.coordinators + server;
                self.drop_unreceived(index);
                self.fleet.kill(index);
                self.start_front(index);
                self.report_own_scope(index);
                self.report_server_state(server, ReportedState::Ready);
            }
        }
    }

    /// Drops the pending versions of a front that ends before any coordinator has received them.
    fn drop_unreceived(&mut self, index: NodeIndex) {
        let name = self.fleet.names[index];
        let mut received = 0;
        for coordinator in 0..self.shape.coordinators {
            let store = self.fleet.coordinator(coordinator).map(|coordinator| coordinator.store());
            if let Some(Value::Configuration(version)) = store.and_then(|s| s.value(name, Key::Configuration))
            {
                received = received.max(version.id.number);
            }
        }
        self.pending.retain(|announced| announced.publisher != index || announced.number <= received);
    }

    /// A front that starts reports the servers in its scope as ready.
    fn report_own_scope(&mut self, index: NodeIndex) {
        let now = self.fleet.now;
        for server in self.scope(index) {
            let state = ServerState { incarnation: self.server_starts[server], state: ReportedState::Ready };
            if let Some(front) = self.fleet.front(index) {
                front.client.report_server(now, server_address(server), Some(state));
            }
        }
    }

    /// The fronts of a zone.
    fn zone(&self, zone: usize) -> Vec<NodeIndex> {
        let zones = self.shape.zones;
        self.fleet.fronts().filter(|index| (index - self.shape.coordinators) % zones == zone).collect()
    }

    fn restart_zone(&mut self) -> f64 {
        let zone = self.zone(0);
        zone.iter().for_each(|index| self.fleet.kill(*index));
        self.run_for(DOWNTIME);
        for index in zone {
            self.start_front(index);
            self.report_own_scope(index);
        }
        let recovered = self.converge();
        self.run_for(WINDOW);
        recovered
    }

    fn region_cut(&mut self) -> f64 {
        self.fleet.partitioned_region = Some(0);
        self.run_for(PARTITION_DURATION / 2.0);
        // The same number on both sides: neither side knows of the other's version.
        let number = self.next_number;
        self.announce_at(0);
        self.next_number = number;
        self.announce_at(1);
        self.pending.clear();
        self.run_for(PARTITION_DURATION / 2.0);
        self.fleet.partitioned_region = None;
        let recovered = self.converge_on_one_version();
        self.run_for(WINDOW);
        recovered
    }

    /// Steps until all fronts act on the same version; returns the elapsed seconds, infinite if that takes
    /// too long.
    fn converge_on_one_version(&mut self) -> f64 {
        let begin = self.fleet.now;
        loop {
            let now = self.fleet.now;
            let fleet = &mut self.fleet;
            let versions: std::collections::BTreeSet<_> = fleet
                .fronts()
                .filter_map(|index| Some(fleet.front(index)?.client.status(now).acts_on))
                .collect();
            if versions.len() == 1 && self.has_converged() {
                return now - begin;
            }
            if now - begin > CONVERGENCE_TIMEOUT {
                return f64::INFINITY;
            }
            self.step();
        }
    }

    fn coordinators_down(&mut self) -> f64 {
        for index in 0..self.shape.coordinators {
            self.fleet.kill(index);
            self.run_for(5.0);
        }
        self.run_for(2.0 * DOWNTIME);
        (0..self.shape.coordinators).for_each(|index| self.fleet.start_coordinator(index));
        self.converge_and_restart_one()
    }

    /// Waits for convergence, then restarts one front: it must get the state that the other fronts still hold
    /// from the coordinators that restarted without state.
    fn converge_and_restart_one(&mut self) -> f64 {
        let recovered = self.converge();
        let index = self.shape.coordinators;
        self.start_front(index);
        self.report_own_scope(index);
        if self.converge().is_infinite() {
            return f64::INFINITY;
        }
        self.run_for(WINDOW);
        recovered
    }

    fn sessions_lost(&mut self) -> f64 {
        for index in 0..self.shape.coordinators {
            self.fleet.kill(index);
            self.fleet.start_coordinator(index);
        }
        // Fronts detect the restart only with their next request.
        self.run_for(RESTART_DETECTION);
        RESTART_DETECTION + self.converge_and_restart_one()
    }

    fn inject(&mut self, planted: Planted) {
        let index = self.shape.coordinators;
        match planted {
            Planted::FrontWithoutCatchUp => self.start_front(index),
            Planted::FutureVersion => {
                if let Some(front) = self.fleet.front(index) {
                    front.in_force = u64::MAX;
                }
                self.announce_at(0);
                self.converge();
            }
        }
    }

    // ---- state at the end of the run ----

    fn totals(&mut self) -> (u64, u64, u64) {
        let mut totals = (0, 0, 0);
        for index in 0..self.shape.coordinators {
            if let Some(coordinator) = self.fleet.coordinator(index) {
                let counts = coordinator.counts();
                totals.0 += counts.snapshots;
                totals.1 += counts.confirmed;
                totals.2 += counts.suspicions;
            }
        }
        totals
    }

    fn behind(&mut self) -> u64 {
        let newest = self.next_number - 1;
        let fleet = &mut self.fleet;
        let behind = fleet.fronts().filter(|index| fleet.front(*index).is_some_and(|f| f.in_force < newest));
        behind.count() as u64
    }

    fn lost_versions(&mut self) -> usize {
        self.fleet.coordinator(0).map_or(0, |coordinator| coordinator.store().conflicting_versions().len())
    }

    /// Counts the running fronts that a coordinator suspects, over all coordinators.
    fn suspected_wrongly(&mut self) -> u64 {
        let names = self.fleet.names.clone();
        let up: Vec<NodeIndex> =
            self.fleet.fronts().filter(|index| matches!(self.fleet.nodes[*index], Node::Front(_))).collect();
        let mut count = 0;
        for index in 0..self.shape.coordinators {
            let Some(coordinator) = self.fleet.coordinator(index) else { continue };
            let state = |front: &NodeIndex| coordinator.store().member(names[*front]);
            let suspected = Some(shalespindle_coordinator::MemberState::Suspected);
            count += up.iter().filter(|front| state(front) == suspected).count() as u64;
        }
        count
    }

    /// Counts the live server entries of ended processes: those of an incarnation older than their front's
    /// current one.
    fn resurrected(&mut self) -> u64 {
        let names = self.fleet.names.clone();
        let current: BTreeMap<_, _> = self
            .fleet
            .fronts()
            .filter_map(|index| Some((names[index], self.fleet.front(index)?.client.incarnation())))
            .collect();
        let mut count = 0;
        for index in 0..self.shape.coordinators {
            let Some(coordinator) = self.fleet.coordinator(index) else { continue };
            for (owner, key, value) in coordinator.store().live() {
                let is_server = matches!((key, value), (Key::Server(_), Value::Server(_)));
                let written = coordinator.store().incarnation_of(owner, key);
                count += u64::from(is_server && current.get(&owner) > written.as_ref());
            }
        }
        count
    }
}

/// An event of the steady scenario.
enum SteadyEvent {
    Change,
    Drain(usize),
    Restart(usize),
}
