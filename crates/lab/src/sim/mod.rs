//! Runs a scenario under virtual time: the same fronts, servers, callers and pool list as on sockets, in one
//! thread, over links that only add delay. The same seed gives the same run.

mod event;
mod fronts;

use crate::baseline::{Baseline, Pick};
use crate::compare::Variant;
use crate::fleet_sites::{FleetOutput, FleetSites};
use crate::plan::{plan, Action};
use crate::scenario::Scenario;
use crate::summary::{report, Report};
use crate::zone::Zone;
use event::{FrontInput, SimEvent};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_front::{Counters, Front, Input, LinkId};
use shalespindle_signalling::timers::Timers;
use shalespindle_sites::SiteRecord;
use shalespindle_standin::callers::Callers;
use shalespindle_standin::checker::check;
use shalespindle_standin::feed::Feed;
use shalespindle_standin::server::{Server, ServerOut};
use shalespindle_standin::trace::{Seen, Trace};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Time that fronts allow for their messages on the way, seconds. Under virtual time only the links' delay,
/// in both directions, counts against it.
const MARGIN: f64 = 0.05;

/// A front and its state in the simulation.
struct Host {
    /// None while it is down. Boxed, because it is large and moved out for each turn.
    front: Option<Box<Front>>,
    /// Number of its starts; events for an earlier one are discarded.
    incarnation: u64,
    /// While its process is paused: what has arrived since, with the time of arrival.
    paused: Option<VecDeque<(f64, FrontInput)>>,
    /// Time of its next scheduled turn.
    wake: f64,
}

/// Results of a run.
pub struct Run {
    pub report: Report,
    pub counters: Vec<Counters>,
    /// Changes of level: time, front, old level, new level.
    pub levels: Vec<(f64, usize, usize, usize)>,
    /// Virtual time of the last event, seconds.
    pub end_time: f64,
    pub trace: Trace,
    /// Times at which queries arrived at name servers.
    pub dns_queries: Vec<f64>,
    /// Decisions on servers: time, front, server, whether the server is in service from then on.
    pub status_changes: Vec<(f64, usize, usize, bool)>,
    /// Changed records of sites: time, front, site, new record.
    pub site_records: Vec<(f64, usize, usize, SiteRecord)>,
    /// All actions of the lab, with their times.
    pub actions: Vec<(f64, Action)>,
}

/// Time from which a front with `Planted::IgnoresDrains` discards replies of name servers, seconds; before it
/// the front learns of the servers.
const IGNORES_DNS_FROM: f64 = 4.0;

/// A fault planted into every front of a run, to test that the checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Rule 1: a second final answer follows the first.
    SecondAnswer,
    /// Rule 1: no answer but 200 is ever sent.
    NoRefusal,
    /// Rule 2: every set-up goes to two servers.
    TwoTries,
    /// Rule 3: reports that a server drains or has gone are read as 'ready'.
    IgnoresDrains,
    /// Rule 4: pools are picked at random, without regard to cold servers.
    IgnoresCold,
    /// Rule 5: the release guard is 0.
    NoGuard,
}

/// How the fronts of a run are configured.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub variant: Variant,
    pub planted: Option<Planted>,
}

impl Setup {
    pub fn of(variant: Variant) -> Setup {
        Setup { variant, planted: None }
    }
}

/// State of a run.
struct Simulation<'a> {
    scenario: &'a Scenario,
    now: f64,
    events: Timers<SimEvent>,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    /// Times of the next scheduled turns of the servers; likewise for callers, feed and fleet.
    server_wake: Vec<f64>,
    callers: Vec<Callers>,
    caller_wake: Vec<f64>,
    feed: Feed,
    feed_wake: f64,
    zone: Zone,
    trace: Trace,
    actions: Vec<(f64, Action)>,
    /// Server by its address.
    by_address: HashMap<SocketAddr, usize>,
    /// Connection number to front, its incarnation, its link and the server.
    connections: BTreeMap<u64, (usize, u64, LinkId, usize)>,
    /// The reverse: front, its incarnation and its link to the connection number.
    by_link: HashMap<(usize, u64, LinkId), u64>,
    next_connection: u64,
    rng: ChaCha8Rng,
    setup: Setup,
    /// None where no decisions on sites are made.
    fleet_sites: Option<FleetSites>,
    fleet_wake: Vec<f64>,
    site_records: Vec<(f64, usize, usize, SiteRecord)>,
    levels: Vec<(f64, usize, usize, usize)>,
    status_changes: Vec<(f64, usize, usize, bool)>,
}

fn server_address(server: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, 0, 1], 6000 + server as u16))
}

fn name_server(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 3, 0, 1], 53 + index as u16))
}

/// Runs a scenario under virtual time.
pub fn run(scenario: &Scenario, seed: u64, setup: &Setup) -> Run {
    let mut simulation = Simulation::new(scenario, seed, *setup);
    let end = scenario.seconds + 45.0;
    while simulation.events.next() <= end {
        let at = simulation.events.next();
        simulation.now = at.max(simulation.now);
        if let Some(event) = simulation.events.pop(simulation.now) {
            simulation.handle(event);
        }
    }
    simulation.finish(seed)
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, seed: u64, setup: Setup) -> Simulation<'a> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let fronts = scenario.fleet.fronts;
        let names: HashMap<String, usize> = (0..fronts).map(|f| (front_host(f), f)).collect();
        let names = Arc::new(names);
        let mut feed = Feed::new(1, fronts, scenario.fleet.list_delay);
        let mut by_address = HashMap::new();
        let mut servers = Vec::new();
        let trace = Trace::default();
        for s in 0..scenario.fleet.servers {
            let address = server_address(s);
            by_address.insert(address, s);
            feed.known(s, address, s as u16);
            let mut server =
                Server::new(s, address.to_string(), scenario.server(s), names.clone(), rng.random());
            server.start(0.0, false);
            servers.push(server);
        }
        let zone = Zone::new(scenario, seed, (0..scenario.fleet.servers).map(server_address).collect());
        feed.silence(scenario.dns.as_ref().is_some_and(|d| d.alone));
        let rate = scenario.rate() / fronts as f64;
        let callers = (0..fronts).map(|f| {
            let host = format!("callers-{f}");
            Callers::new(f, host, front_host(f), scenario.caller(), rate, rng.random(), 1.0, scenario.seconds)
        });
        let callers: Vec<Callers> = callers.collect();
        let mut simulation = Simulation {
            scenario,
            now: 0.0,
            events: Timers::default(),
            hosts: Vec::new(),
            server_wake: vec![f64::INFINITY; servers.len()],
            servers,
            caller_wake: vec![f64::INFINITY; fronts],
            callers,
            feed,
            feed_wake: f64::INFINITY,
            zone,
            trace,
            actions: plan(scenario, seed),
            by_address,
            connections: BTreeMap::new(),
            by_link: HashMap::new(),
            next_connection: 0,
            rng,
            setup,
            fleet_sites: FleetSites::new(scenario).filter(|_| setup.variant != Variant::WithoutPlan),
            fleet_wake: vec![f64::INFINITY; fronts],
            site_records: Vec::new(),
            levels: Vec::new(),
            status_changes: Vec::new(),
        };
        for front in 0..fronts {
            simulation.hosts.push(Host { front: None, incarnation: 0, paused: None, wake: f64::INFINITY });
            simulation.start_front(front);
        }
        for index in 0..simulation.actions.len() {
            simulation.events.set(simulation.actions[index].0, SimEvent::Act(index));
        }
        for front in 0..fronts {
            simulation.schedule_callers(front);
        }
        simulation
    }

    fn start_front(&mut self, front: usize) {
        let unused = SocketAddr::from(([127, 0, 0, 1], 1));
        let count = self.scenario.dns.as_ref().map_or(0, |d| d.name_servers);
        let names: Vec<SocketAddr> = (0..count).map(name_server).collect();
        let mut settings = self.scenario.settings(unused, unused, &names, MARGIN);
        settings.levels.on &= matches!(self.setup.variant, Variant::Module | Variant::WithoutPlan);
        if self.fleet_sites.is_none() {
            settings.sites.clear();
        }
        let mut params = settings.front_params();
        params.host = front_host(front);
        let planted = self.setup.planted;
        if planted == Some(Planted::NoGuard) {
            params.deployment.release_guard = 0.0;
        }
        let seed = self.rng.random();
        let pick = match self.setup.variant {
            Variant::Baseline(pick) => Some(pick),
            _ => (planted == Some(Planted::IgnoresCold)).then_some(Pick::Random),
        };
        let new = if let Some(pick) = pick {
            let router = Baseline::new(pick, seed, params.deployment.clone());
            Front::with_router(params, seed, Box::new(router), self.now)
        } else {
            Front::new(params, seed, self.now)
        };
        let host = &mut self.hosts[front];
        host.incarnation += 1;
        host.front = Some(Box::new(new));
        host.paused = None;
        host.wake = f64::INFINITY;
        let incarnation = host.incarnation;
        self.trace.add(self.now, Seen::FrontUp { front });
        if let Some(fleet_sites) = &mut self.fleet_sites {
            fleet_sites.start(self.now, front);
        }
        self.schedule_fleet(front);
        self.events.set(self.now, SimEvent::ToFront { front, incarnation, what: FrontInput::FeedUp });
        self.feed.connected(self.now, front);
        self.send_feed();
    }

    fn kill_front(&mut self, front: usize) {
        let incarnation = self.hosts[front].incarnation;
        self.hosts[front].front = None;
        self.hosts[front].paused = None;
        if let Some(fleet_sites) = &mut self.fleet_sites {
            fleet_sites.kill(front);
        }
        self.feed.closed(front);
        self.trace.add(self.now, Seen::FrontKilled { front });
        let lost: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, c)| c.0 == front && c.1 == incarnation)
            .map(|(k, _)| *k)
            .collect();
        for connection in lost {
            self.drop_connection(connection, false);
        }
    }

    /// Closes a connection, from the server's side (`server_first`) or the front's; the other side is
    /// notified after the link's delay.
    fn drop_connection(&mut self, connection: u64, server_first: bool) {
        let Some((front, incarnation, id, server)) = self.connections.remove(&connection) else { return };
        self.by_link.remove(&(front, incarnation, id));
        let at = self.now + self.scenario.fleet.link_delay;
        if server_first {
            self.events.set(at, SimEvent::ToFront { front, incarnation, what: FrontInput::Lost(id) });
        } else {
            self.events.set(at, SimEvent::ServerLost { server, connection });
        }
    }

    fn handle(&mut self, event: SimEvent) {
        let now = self.now;
        match event {
            SimEvent::ToFront { front, incarnation, what } => {
                if self.hosts[front].incarnation != incarnation {
                    return;
                }
                if let Some(queue) = &mut self.hosts[front].paused {
                    queue.push_back((now, what));
                    return;
                }
                self.deliver(front, now, &what);
                self.run_front(front);
            }
            SimEvent::Front(front) => {
                if self.hosts[front].wake <= now && self.hosts[front].paused.is_none() {
                    self.hosts[front].wake = f64::INFINITY;
                    self.run_front(front);
                }
            }
            SimEvent::ServerConnect { server, connection } => {
                if self.connections.contains_key(&connection) {
                    self.servers[server].connected(connection);
                    self.run_server(server);
                }
            }
            SimEvent::ToServer { server, connection, bytes } => {
                self.servers[server].bytes(now, connection, &bytes);
                self.run_server(server);
            }
            SimEvent::ServerLost { server, connection } => {
                self.servers[server].closed(now, connection);
                self.run_server(server);
            }
            SimEvent::Server(server) => {
                if self.server_wake[server] <= now {
                    self.server_wake[server] = f64::INFINITY;
                    self.run_server(server);
                }
            }
            SimEvent::ToCallers { front, bytes } => {
                self.callers[front].datagram(now, &bytes);
                self.run_callers(front);
            }
            SimEvent::Callers(front) => {
                if self.caller_wake[front] <= now {
                    self.caller_wake[front] = f64::INFINITY;
                    self.run_callers(front);
                }
            }
            SimEvent::Feed => {
                self.feed_wake = f64::INFINITY;
                self.feed.tick(now);
                self.send_feed();
            }
            SimEvent::DnsQuery { front, incarnation, ticket, index, tcp, question } => {
                self.query_name_server(front, incarnation, ticket, index, tcp, &question);
            }
            SimEvent::Fleet(front) => {
                if self.fleet_wake[front] <= now && self.hosts[front].paused.is_none() {
                    self.fleet_wake[front] = f64::INFINITY;
                    self.run_fleet(front);
                }
            }
            SimEvent::FleetFrame { front, incarnation, frame } => {
                let running =
                    self.hosts[front].incarnation == incarnation && self.hosts[front].paused.is_none();
                if let Some(fleet_sites) = self.fleet_sites.as_mut().filter(|_| running) {
                    fleet_sites.receive(now, front, frame);
                    self.schedule_fleet(front);
                }
            }
            SimEvent::Act(index) => {
                let action = self.actions[index].1.clone();
                self.act(action);
            }
        }
    }

    fn schedule_fleet(&mut self, front: usize) {
        let deadline = self
            .fleet_sites
            .as_ref()
            .map_or(f64::INFINITY, |fleet_sites| fleet_sites.next_deadline(front))
            .max(self.now);
        if deadline < self.fleet_wake[front] {
            self.fleet_wake[front] = deadline;
            self.events.set(deadline, SimEvent::Fleet(front));
        }
    }

    /// A turn of the front's peer and site state: sends its frames, and applies the restrictions that follow
    /// from the records of sites.
    fn run_fleet(&mut self, front: usize) {
        let now = self.now;
        let Some(fleet_sites) = &mut self.fleet_sites else { return };
        for output in fleet_sites.turn(now, front) {
            match output {
                FleetOutput::Frame { to, frame } => {
                    let (at, incarnation) =
                        (now + self.scenario.fleet.link_delay, self.hosts[to].incarnation);
                    self.events.set(at, SimEvent::FleetFrame { front: to, incarnation, frame });
                }
                FleetOutput::Restrict(restrictions) => {
                    if let Some(running) = &mut self.hosts[front].front {
                        running.take(now, now, Input::SiteRestriction(restrictions));
                    }
                }
                FleetOutput::RecordChanged { site, record } => {
                    self.site_records.push((now, front, site, record))
                }
            }
        }
        self.run_front(front);
        self.schedule_fleet(front);
    }

    /// Executes an action of the lab.
    fn act(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::StopServer(s) => {
                self.servers[s].stop(now);
                self.run_server(s);
            }
            Action::StartServer(s) => {
                self.servers[s].start(now, true);
                self.run_server(s);
            }
            Action::List { server, state, restarted } => {
                self.feed.change(now, server, state, restarted);
                self.send_feed();
            }
            Action::Slow(s, factor) => self.servers[s].slow(factor),
            Action::Silent(s, on) => self.servers[s].faults.silent = on,
            Action::Hung(s, on) => self.servers[s].faults.hung = on,
            Action::AnswersLost(s, share) => self.servers[s].faults.answers_lost = share,
            Action::ListDelay(delay) => self.feed.delay = delay,
            Action::Publish(s, present) => self.zone.publish(s, present),
            Action::NameServer(index, script) => self.zone.script(index, script),
            Action::FeedSilent(silent) => self.feed_silent(silent),
            Action::KillFront(f) => self.kill_front(f),
            Action::StartFront(f) => self.start_front(f),
            Action::PauseFront(f) => {
                self.trace.add(now, Seen::FrontStopped { front: f });
                self.hosts[f].paused.get_or_insert_default();
            }
            Action::ResumeFront(f) => self.resume_front(f),
            Action::Burst(size) => self.callers.iter_mut().for_each(|c| c.faults.burst = size),
            Action::GiveUp(size) => self.callers.iter_mut().for_each(|c| c.faults.give_up = size),
            Action::Abuse(tenant) => self.callers.iter_mut().for_each(|c| c.faults.abuse = tenant),
        }
    }

    fn query_name_server(
        &mut self,
        front: usize,
        incarnation: u64,
        ticket: u64,
        index: usize,
        tcp: bool,
        question: &[u8],
    ) {
        let (replies, named) = self.zone.ask(index, self.now, question, tcp);
        if let Some(servers) = named {
            self.trace.add(self.now, Seen::Named { front, servers });
        }
        for reply in replies {
            let mut bytes = reply.bytes;
            if tcp {
                bytes.splice(0..0, (bytes.len() as u16).to_be_bytes());
            }
            let at = self.now + self.scenario.fleet.link_delay + reply.after;
            let what = FrontInput::DnsReply { ticket, index, tcp, bytes };
            self.events.set(at, SimEvent::ToFront { front, incarnation, what });
        }
    }

    fn feed_silent(&mut self, silent: bool) {
        self.feed.silence(silent);
        for front in (0..self.hosts.len()).filter(|_| !silent) {
            let incarnation = self.hosts[front].incarnation;
            self.events.set(self.now, SimEvent::ToFront { front, incarnation, what: FrontInput::FeedUp });
            self.feed.connected(self.now, front);
        }
        self.send_feed();
    }

    /// Lets a server do its due work and delivers its output.
    fn run_server(&mut self, s: usize) {
        let now = self.now;
        self.servers[s].tick(now);
        while let Some(out) = self.servers[s].next_output() {
            match out {
                ServerOut::Bytes { connection, bytes } => {
                    if let Some(&(front, incarnation, id, _)) = self.connections.get(&connection) {
                        let at = now + self.scenario.fleet.link_delay;
                        let what = FrontInput::Bytes(id, bytes);
                        self.events.set(at, SimEvent::ToFront { front, incarnation, what });
                    }
                }
                ServerOut::Close { connection } => self.drop_connection(connection, true),
            }
        }
        self.trace.extend(self.servers[s].take_seen());
        let at = self.servers[s].due();
        if at < self.server_wake[s] {
            self.server_wake[s] = at;
            self.events.set(at, SimEvent::Server(s));
        }
    }

    /// Lets a front's callers do their due work and delivers their datagrams.
    fn run_callers(&mut self, front: usize) {
        let now = self.now;
        self.callers[front].tick(now);
        while let Some(bytes) = self.callers[front].next_output() {
            let incarnation = self.hosts[front].incarnation;
            if self.hosts[front].front.is_some() {
                self.events
                    .set(now, SimEvent::ToFront { front, incarnation, what: FrontInput::Datagram(bytes) });
            }
        }
        self.trace.extend(self.callers[front].take_seen());
        self.schedule_callers(front);
    }

    fn schedule_callers(&mut self, front: usize) {
        let at = self.callers[front].due();
        if at < self.caller_wake[front] {
            self.caller_wake[front] = at;
            self.events.set(at, SimEvent::Callers(front));
        }
    }

    /// Delivers the output of the pool list.
    fn send_feed(&mut self) {
        while let Some(out) = self.feed.next_output() {
            let front = out.front;
            if let Some(host) = self.hosts.get(front) {
                let incarnation = host.incarnation;
                let what = match out.line {
                    Some(line) => FrontInput::Feed(line),
                    None => {
                        self.feed.closed(front);
                        FrontInput::FeedLost
                    }
                };
                self.events.set(self.now, SimEvent::ToFront { front, incarnation, what });
            }
        }
        self.trace.extend(self.feed.take_seen());
        let at = self.feed.due();
        if at < self.feed_wake {
            self.feed_wake = at;
            self.events.set(at, SimEvent::Feed);
        }
    }

    /// Checks the trace and collects the results.
    fn finish(self, seed: u64) -> Run {
        let entries = self.trace.sorted();
        // Under virtual time only the links delay a message.
        let figures = self.scenario.figures(2.0 * self.scenario.fleet.link_delay + 0.001);
        let verdict = check(&entries, &figures);
        let callers: Vec<&Callers> = self.callers.iter().collect();
        Run {
            report: report(&self.scenario.name, seed, &callers, verdict),
            counters: self.hosts.iter().filter_map(|h| h.front.as_ref()).map(|f| f.counters()).collect(),
            levels: self.levels,
            end_time: self.now,
            trace: self.trace,
            dns_queries: self.zone.query_times(),
            status_changes: self.status_changes,
            site_records: self.site_records,
            actions: self.actions,
        }
    }
}

fn front_host(front: usize) -> String {
    format!("front-{front}.example.org")
}
