//! A scenario under virtual time: the same fronts, servers, callers and feed as on sockets, in one thread,
//! with links that only take time. One seed gives one run.

mod fronts;

use crate::baseline::{Baseline, Pick};
use crate::compare::Variant;
use crate::country::{Country, Frame, Given};
use crate::plan::{plan, Action};
use crate::scenario::Scenario;
use crate::summary::{report, Report};
use crate::zone::Zone;
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

/// What may take on the way under virtual time: nothing but the link's delay, both ways.
const MARGIN: f64 = 0.05;

enum Happening {
    ToFront {
        front: usize,
        life: u64,
        what: FrontNews,
    },
    ToServer {
        server: usize,
        connection: u64,
        bytes: Vec<u8>,
    },
    ServerConnect {
        server: usize,
        connection: u64,
    },
    ServerLost {
        server: usize,
        connection: u64,
    },
    ToCallers {
        front: usize,
        bytes: Vec<u8>,
    },
    Front(usize),
    Server(usize),
    Callers(usize),
    Feed,
    NameAsk {
        front: usize,
        life: u64,
        ticket: u64,
        place: usize,
        tcp: bool,
        question: Vec<u8>,
    },
    Do(usize),
    /// The front's part in the fleet: its turn, and a frame of another front.
    Fleet(usize),
    FleetFrame {
        front: usize,
        life: u64,
        frame: Frame,
    },
}

enum FrontNews {
    Datagram(Vec<u8>),
    Connected(LinkId),
    Lost(LinkId),
    Bytes(LinkId, Vec<u8>),
    Feed(Vec<u8>),
    FeedUp,
    FeedLost,
    /// An answer of the name server at that place.
    Name {
        ticket: u64,
        place: usize,
        tcp: bool,
        bytes: Vec<u8>,
    },
}

struct Host {
    /// Boxed: it is taken out for each turn, and large.
    front: Option<Box<Front>>,
    /// Counts its starts; what was meant for an earlier one is lost.
    life: u64,
    /// While stopped, what comes is kept with its time.
    stopped: Option<VecDeque<(f64, FrontNews)>>,
    wake: f64,
}

/// What a run gives beside its report.
pub struct Run {
    pub report: Report,
    pub counters: Vec<Counters>,
    /// Changes of level: when, of which front, from, to.
    pub levels: Vec<(f64, usize, usize, usize)>,
    /// Virtual seconds.
    pub lasted: f64,
    pub trace: Trace,
    /// When questions came to name servers.
    pub asked: Vec<f64>,
    /// Verdicts: when, of which front, on which server, whether it is in service.
    pub verdicts: Vec<(f64, usize, usize, bool)>,
    /// Words on sites: when, of which front, on which site.
    pub words: Vec<(f64, usize, usize, SiteRecord)>,
    /// What was done to the fleet, and when.
    pub actions: Vec<(f64, Action)>,
}

/// From then on a front that is deaf to drains takes no answer of name servers.
const DEAF_FROM: f64 = 4.0;

/// A fault planted into every front of a run, to see the checker find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Rule 1: a second final answer follows the first.
    SecondAnswer,
    /// Rule 1: no answer but 200 is ever sent.
    NoRefusal,
    /// Rule 2: every set-up goes to two servers.
    TwoTries,
    /// Rule 3: news of a drain is read as 'ready'.
    DeafToDrains,
    /// Rule 4: starts are taken for long ago, and servers for idle.
    BlindToCold,
    /// Rule 5: no guard.
    NoGuard,
}

/// How the fronts of a run are made.
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

struct World<'a> {
    scenario: &'a Scenario,
    now: f64,
    events: Timers<Happening>,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    server_wake: Vec<f64>,
    callers: Vec<Callers>,
    caller_wake: Vec<f64>,
    feed: Feed,
    feed_wake: f64,
    zone: Zone,
    trace: Trace,
    actions: Vec<(f64, Action)>,
    by_address: HashMap<SocketAddr, usize>,
    /// Connection number at its server to the front's link, and back.
    connections: BTreeMap<u64, (usize, u64, LinkId, usize)>,
    by_link: HashMap<(usize, u64, LinkId), u64>,
    next_connection: u64,
    rng: ChaCha8Rng,
    setup: Setup,
    country: Option<Country>,
    fleet_wake: Vec<f64>,
    words: Vec<(f64, usize, usize, SiteRecord)>,
    levels: Vec<(f64, usize, usize, usize)>,
    verdicts: Vec<(f64, usize, usize, bool)>,
}

fn server_address(server: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, 0, 1], 6000 + server as u16))
}

fn name_server(place: usize) -> SocketAddr {
    SocketAddr::from(([127, 3, 0, 1], 53 + place as u16))
}

/// Runs a scenario under virtual time.
pub fn run(scenario: &Scenario, seed: u64, setup: &Setup) -> Run {
    let mut world = World::new(scenario, seed, *setup);
    let end = scenario.seconds + 45.0;
    while world.events.next() <= end {
        let at = world.events.next();
        world.now = at.max(world.now);
        if let Some(happening) = world.events.pop(world.now) {
            world.happen(happening);
        }
    }
    world.finish(seed)
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, seed: u64, setup: Setup) -> World<'a> {
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
        let mut world = World {
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
            country: Country::new(scenario).filter(|_| setup.variant != Variant::WithoutPlan),
            fleet_wake: vec![f64::INFINITY; fronts],
            words: Vec::new(),
            levels: Vec::new(),
            verdicts: Vec::new(),
        };
        for front in 0..fronts {
            world.hosts.push(Host { front: None, life: 0, stopped: None, wake: f64::INFINITY });
            world.front_starts(front);
        }
        for place in 0..world.actions.len() {
            world.events.set(world.actions[place].0, Happening::Do(place));
        }
        for front in 0..fronts {
            world.callers_wake(front);
        }
        world
    }

    fn front_starts(&mut self, front: usize) {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
        let count = self.scenario.dns.as_ref().map_or(0, |d| d.name_servers);
        let names: Vec<SocketAddr> = (0..count).map(name_server).collect();
        let mut settings = self.scenario.settings(nowhere, nowhere, &names, MARGIN);
        settings.levels.on &= matches!(self.setup.variant, Variant::Module | Variant::WithoutPlan);
        if self.country.is_none() {
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
            _ => (planted == Some(Planted::BlindToCold)).then_some(Pick::Random),
        };
        let made = if let Some(pick) = pick {
            let router = Baseline::new(pick, seed, params.deployment.clone());
            Front::with_router(params, seed, Box::new(router), self.now)
        } else {
            Front::new(params, seed, self.now)
        };
        let host = &mut self.hosts[front];
        host.life += 1;
        host.front = Some(Box::new(made));
        host.stopped = None;
        host.wake = f64::INFINITY;
        let life = host.life;
        self.trace.add(self.now, Seen::FrontUp { front });
        if let Some(country) = &mut self.country {
            country.start(self.now, front);
        }
        self.fleet_wake(front);
        self.events.set(self.now, Happening::ToFront { front, life, what: FrontNews::FeedUp });
        self.feed.connected(self.now, front);
        self.feed_out();
    }

    fn front_killed(&mut self, front: usize) {
        let life = self.hosts[front].life;
        self.hosts[front].front = None;
        self.hosts[front].stopped = None;
        if let Some(country) = &mut self.country {
            country.kill(front);
        }
        self.feed.closed(front);
        self.trace.add(self.now, Seen::FrontKilled { front });
        let lost: Vec<u64> =
            self.connections.iter().filter(|(_, c)| c.0 == front && c.1 == life).map(|(k, _)| *k).collect();
        for connection in lost {
            self.drop_connection(connection, false);
        }
    }

    /// The front's side went first (`server_first` false) or the server's.
    fn drop_connection(&mut self, connection: u64, server_first: bool) {
        let Some((front, life, id, server)) = self.connections.remove(&connection) else { return };
        self.by_link.remove(&(front, life, id));
        let at = self.now + self.scenario.fleet.link_delay;
        if server_first {
            self.events.set(at, Happening::ToFront { front, life, what: FrontNews::Lost(id) });
        } else {
            self.events.set(at, Happening::ServerLost { server, connection });
        }
    }

    fn happen(&mut self, happening: Happening) {
        let now = self.now;
        match happening {
            Happening::ToFront { front, life, what } => {
                if self.hosts[front].life != life {
                    return;
                }
                if let Some(kept) = &mut self.hosts[front].stopped {
                    kept.push_back((now, what));
                    return;
                }
                self.tell_front(front, now, &what);
                self.front_turn(front);
            }
            Happening::Front(front) => {
                if self.hosts[front].wake <= now && self.hosts[front].stopped.is_none() {
                    self.hosts[front].wake = f64::INFINITY;
                    self.front_turn(front);
                }
            }
            Happening::ServerConnect { server, connection } => {
                if self.connections.contains_key(&connection) {
                    self.servers[server].connected(connection);
                    self.server_turn(server);
                }
            }
            Happening::ToServer { server, connection, bytes } => {
                self.servers[server].bytes(now, connection, &bytes);
                self.server_turn(server);
            }
            Happening::ServerLost { server, connection } => {
                self.servers[server].closed(now, connection);
                self.server_turn(server);
            }
            Happening::Server(server) => {
                if self.server_wake[server] <= now {
                    self.server_wake[server] = f64::INFINITY;
                    self.server_turn(server);
                }
            }
            Happening::ToCallers { front, bytes } => {
                self.callers[front].datagram(now, &bytes);
                self.callers_turn(front);
            }
            Happening::Callers(front) => {
                if self.caller_wake[front] <= now {
                    self.caller_wake[front] = f64::INFINITY;
                    self.callers_turn(front);
                }
            }
            Happening::Feed => {
                self.feed_wake = f64::INFINITY;
                self.feed.tick(now);
                self.feed_out();
            }
            Happening::NameAsk { front, life, ticket, place, tcp, question } => {
                self.name_asked(front, life, ticket, place, tcp, &question);
            }
            Happening::Fleet(front) => {
                if self.fleet_wake[front] <= now && self.hosts[front].stopped.is_none() {
                    self.fleet_wake[front] = f64::INFINITY;
                    self.fleet_turn(front);
                }
            }
            Happening::FleetFrame { front, life, frame } => {
                let here = self.hosts[front].life == life && self.hosts[front].stopped.is_none();
                if let Some(country) = self.country.as_mut().filter(|_| here) {
                    country.heard(now, front, frame);
                    self.fleet_wake(front);
                }
            }
            Happening::Do(place) => {
                let action = self.actions[place].1.clone();
                self.act(action);
            }
        }
    }

    fn fleet_wake(&mut self, front: usize) {
        let due = self.country.as_ref().map_or(f64::INFINITY, |country| country.due(front)).max(self.now);
        if due < self.fleet_wake[front] {
            self.fleet_wake[front] = due;
            self.events.set(due, Happening::Fleet(front));
        }
    }

    /// A front's turn in the fleet: what it tells others, and what the fleet's word leaves it.
    fn fleet_turn(&mut self, front: usize) {
        let now = self.now;
        let Some(country) = &mut self.country else { return };
        for given in country.turn(now, front) {
            match given {
                Given::Frame { to, frame } => {
                    let (at, life) = (now + self.scenario.fleet.link_delay, self.hosts[to].life);
                    self.events.set(at, Happening::FleetFrame { front: to, life, frame });
                }
                Given::Narrow(narrowing) => {
                    if let Some(made) = &mut self.hosts[front].front {
                        made.take(now, now, Input::SiteRestriction(narrowing));
                    }
                }
                Given::Word { site, word } => self.words.push((now, front, site, word)),
            }
        }
        self.front_turn(front);
        self.fleet_wake(front);
    }

    fn act(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::ServerStops(s) => {
                self.servers[s].stop(now);
                self.server_turn(s);
            }
            Action::ServerStarts(s) => {
                self.servers[s].start(now, true);
                self.server_turn(s);
            }
            Action::List { server, state, anew } => {
                self.feed.change(now, server, state, anew);
                self.feed_out();
            }
            Action::Slow(s, factor) => self.servers[s].slow(factor),
            Action::Silent(s, on) => self.servers[s].faults.silent = on,
            Action::Hung(s, on) => self.servers[s].faults.hung = on,
            Action::AnswersLost(s, share) => self.servers[s].faults.answers_lost = share,
            Action::ListDelay(delay) => self.feed.delay = delay,
            Action::Published(s, there) => self.zone.publish(s, there),
            Action::NameServer(place, script) => self.zone.script(place, script),
            Action::FeedSilent(silent) => self.feed_silent(silent),
            Action::FrontKilled(f) => self.front_killed(f),
            Action::FrontStarts(f) => self.front_starts(f),
            Action::FrontStops(f) => {
                self.trace.add(now, Seen::FrontStopped { front: f });
                self.hosts[f].stopped.get_or_insert_default();
            }
            Action::FrontGoesOn(f) => self.goes_on(f),
            Action::Burst(size) => self.callers.iter_mut().for_each(|c| c.faults.burst = size),
            Action::GiveUp(size) => self.callers.iter_mut().for_each(|c| c.faults.give_up = size),
            Action::Abuse(tenant) => self.callers.iter_mut().for_each(|c| c.faults.abuse = tenant),
        }
    }

    fn name_asked(&mut self, front: usize, life: u64, ticket: u64, place: usize, tcp: bool, question: &[u8]) {
        let (replies, named) = self.zone.ask(place, self.now, question, tcp);
        if let Some(servers) = named {
            self.trace.add(self.now, Seen::Named { front, servers });
        }
        for reply in replies {
            let mut bytes = reply.bytes;
            if tcp {
                bytes.splice(0..0, (bytes.len() as u16).to_be_bytes());
            }
            let at = self.now + self.scenario.fleet.link_delay + reply.after;
            let what = FrontNews::Name { ticket, place, tcp, bytes };
            self.events.set(at, Happening::ToFront { front, life, what });
        }
    }

    fn feed_silent(&mut self, silent: bool) {
        self.feed.silence(silent);
        for front in (0..self.hosts.len()).filter(|_| !silent) {
            let life = self.hosts[front].life;
            self.events.set(self.now, Happening::ToFront { front, life, what: FrontNews::FeedUp });
            self.feed.connected(self.now, front);
        }
        self.feed_out();
    }

    fn server_turn(&mut self, s: usize) {
        let now = self.now;
        self.servers[s].tick(now);
        while let Some(out) = self.servers[s].next_output() {
            match out {
                ServerOut::Bytes { connection, bytes } => {
                    if let Some(&(front, life, id, _)) = self.connections.get(&connection) {
                        let at = now + self.scenario.fleet.link_delay;
                        let what = FrontNews::Bytes(id, bytes);
                        self.events.set(at, Happening::ToFront { front, life, what });
                    }
                }
                ServerOut::Close { connection } => self.drop_connection(connection, true),
            }
        }
        self.trace.extend(self.servers[s].take_seen());
        let due = self.servers[s].due();
        if due < self.server_wake[s] {
            self.server_wake[s] = due;
            self.events.set(due, Happening::Server(s));
        }
    }

    fn callers_turn(&mut self, front: usize) {
        let now = self.now;
        self.callers[front].tick(now);
        while let Some(bytes) = self.callers[front].next_output() {
            let life = self.hosts[front].life;
            if self.hosts[front].front.is_some() {
                self.events.set(now, Happening::ToFront { front, life, what: FrontNews::Datagram(bytes) });
            }
        }
        self.trace.extend(self.callers[front].take_seen());
        self.callers_wake(front);
    }

    fn callers_wake(&mut self, front: usize) {
        let due = self.callers[front].due();
        if due < self.caller_wake[front] {
            self.caller_wake[front] = due;
            self.events.set(due, Happening::Callers(front));
        }
    }

    fn feed_out(&mut self) {
        while let Some(out) = self.feed.next_output() {
            let front = out.front;
            if let Some(host) = self.hosts.get(front) {
                let life = host.life;
                let what = match out.line {
                    Some(line) => FrontNews::Feed(line),
                    None => {
                        self.feed.closed(front);
                        FrontNews::FeedLost
                    }
                };
                self.events.set(self.now, Happening::ToFront { front, life, what });
            }
        }
        self.trace.extend(self.feed.take_seen());
        let due = self.feed.due();
        if due < self.feed_wake {
            self.feed_wake = due;
            self.events.set(due, Happening::Feed);
        }
    }

    fn finish(self, seed: u64) -> Run {
        let entries = self.trace.sorted();
        // Under virtual time nothing is held up but by the links themselves.
        let figures = self.scenario.figures(2.0 * self.scenario.fleet.link_delay + 0.001);
        let verdict = check(&entries, &figures);
        let callers: Vec<&Callers> = self.callers.iter().collect();
        Run {
            report: report(&self.scenario.name, seed, &callers, verdict),
            counters: self.hosts.iter().filter_map(|h| h.front.as_ref()).map(|f| f.counters()).collect(),
            levels: self.levels,
            lasted: self.now,
            trace: self.trace,
            asked: self.zone.asked(),
            verdicts: self.verdicts,
            words: self.words,
            actions: self.actions,
        }
    }
}

fn front_host(front: usize) -> String {
    format!("front-{front}.example.org")
}
