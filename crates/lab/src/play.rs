//! A scenario on loopback sockets: fronts as processes of their own (or inside this one), stand-ins here.

use crate::plan::{plan, Action};
use crate::scenario::Scenario;
use crate::summary::{report, Report};
use crate::zone::Zone;
use may::net::{TcpListener, UdpSocket};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_settings::Settings;
use shalespindle_sockets::MonotonicClock;
use shalespindle_standin::callers::Callers;
use shalespindle_standin::checker::check;
use shalespindle_standin::feed::Feed;
use shalespindle_standin::loopback::{free_address, networks};
use shalespindle_standin::names::{self, HostedNames};
use shalespindle_standin::net::{self, Hosted, HostedServer};
use shalespindle_standin::server::Server;
use shalespindle_standin::trace::{Entry, Seen, Trace};
use shalespindle_transport::{FrontStatus, Service};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// What a front's messages may take on the loopback sockets of a busy machine, seconds.
pub const MARGIN: f64 = 0.05;
/// What the checker grants the sockets: half of it, so that the front's margin is what keeps the rules.
const PASSING: f64 = MARGIN / 2.0;
/// After the last question: the longest wait for answers, and for releases of what should not stand.
const ANSWERS_WITHIN: f64 = 12.0;
const RELEASES_WITHIN: f64 = 6.0;

/// Where the fronts run.
#[derive(Clone, Debug)]
pub enum Fronts {
    /// Each a process of this program, with its settings and log in that folder.
    Processes { program: PathBuf, folder: PathBuf },
    /// All inside this process; they cannot be killed or stopped.
    Inside,
}

enum Running {
    Process(Child),
    Inside(Box<Service>),
    Down,
}

/// What a played run gives.
pub struct Played {
    pub report: Report,
    pub trace: Vec<Entry>,
    /// State of each front inside this process, taken before it was ended.
    pub snapshots: Vec<FrontStatus>,
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    fronts: &'a Fronts,
    ground: MonotonicClock,
    trace: Trace,
    settings: Vec<Settings>,
    running: Vec<Running>,
    servers: Vec<HostedServer>,
    feed: Hosted<Feed>,
    zone: Arc<Mutex<Zone>>,
    _name_servers: Vec<HostedNames>,
    callers: Vec<Hosted<Callers>>,
    rng: ChaCha8Rng,
}

/// Kinds of loopback network of a fleet: fronts, servers, name servers.
const FRONTS: u8 = 0;
const SERVERS: u8 = 1;
const NAMES: u8 = 2;

/// A name server for one front, so that what it is told is known to be told to it.
fn name_server(
    zone: &Arc<Mutex<Zone>>,
    network: u8,
    front: usize,
    place: usize,
    ground: &MonotonicClock,
    trace: &Trace,
) -> io::Result<(SocketAddr, HostedNames)> {
    let at = free_address(network, front)?;
    let (udp, tcp) = (UdpSocket::bind(at)?, TcpListener::bind(at)?);
    let (zone, ground, trace) = (zone.clone(), ground.clone(), trace.clone());
    let answer = move |question: &[u8], stream: bool| {
        let now = ground.now();
        let (replies, named) =
            zone.lock().unwrap_or_else(|e| e.into_inner()).ask(place, now, question, stream);
        // What passed is in the trace before it can have an effect elsewhere.
        if let Some(servers) = named {
            trace.add(now, Seen::Named { front, servers });
        }
        replies
    };
    Ok((at, names::name_server(udp, tcp, Arc::new(answer))?))
}

/// Plays a scenario; `tell` gets lines of progress.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    fronts: &Fronts,
    tell: &mut dyn FnMut(String),
) -> io::Result<Played> {
    let mut fleet = Fleet::new(scenario, seed, fronts)?;
    let begin = fleet.ground.now();
    tell(format!(
        "{}: seed {seed}, {} fronts, {} servers, {:.0} attaches a second, {} s",
        scenario.name,
        scenario.fleet.fronts,
        scenario.fleet.servers,
        scenario.rate(),
        scenario.seconds
    ));
    let plan = plan(scenario, seed);
    for (at, action) in plan {
        fleet.wait_until(begin + at);
        tell(format!("{at:6.1} s  {action:?}"));
        fleet.act(action)?;
    }
    fleet.wait_until(begin + scenario.seconds);
    tell(format!("{:6.1} s  callers stop asking", scenario.seconds));
    let until = fleet.ground.now() + ANSWERS_WITHIN;
    while fleet.ground.now() < until && fleet.asking() > 0 {
        std::thread::sleep(Duration::from_millis(50));
    }
    fleet.wait_until(fleet.ground.now() + RELEASES_WITHIN);
    fleet.finish(seed)
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario, seed: u64, fronts: &'a Fronts) -> io::Result<Fleet<'a>> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (ground, trace) = (MonotonicClock::new(), Trace::default());
        let networks = networks();
        let count = scenario.fleet.fronts;
        let mut names = HashMap::new();
        let mut settings = Vec::new();
        let mut listeners = Vec::new();
        for front in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let (address, feed) = (free_address(networks + FRONTS, front)?, listener.local_addr()?);
            names.insert(address.to_string(), front);
            settings.push((address, feed));
            listeners.push(listener);
        }
        let names = Arc::new(names);
        let mut feed = Feed::new(1, count, scenario.fleet.list_delay);
        feed.silence(scenario.dns.as_ref().is_some_and(|d| d.alone));
        let mut servers = Vec::new();
        let mut addresses = Vec::new();
        for s in 0..scenario.fleet.servers {
            let address = free_address(networks + SERVERS, s)?;
            feed.known(s, address, s as u16);
            addresses.push(address);
            let core = Server::new(s, address.to_string(), scenario.server(s), names.clone(), rng.random());
            servers.push(HostedServer::start(core, address, ground.clone(), trace.clone())?);
        }
        let zone = Arc::new(Mutex::new(Zone::new(scenario, seed, addresses)));
        let mut name_servers = Vec::new();
        let mut all_settings = Vec::new();
        for (front, (address, feed)) in settings.into_iter().enumerate() {
            let mut names = Vec::new();
            for place in 0..scenario.dns.as_ref().map_or(0, |d| d.name_servers) {
                let (at, hosted) = name_server(&zone, networks + NAMES, front, place, &ground, &trace)?;
                names.push(at);
                name_servers.push(hosted);
            }
            all_settings.push(scenario.settings(address, feed, &names, MARGIN));
        }
        let settings = all_settings;
        let feed = net::feed(feed, listeners, ground.clone(), trace.clone())?;
        let mut fleet = Fleet {
            scenario,
            fronts,
            ground,
            trace,
            settings,
            running: Vec::new(),
            servers,
            feed,
            zone,
            _name_servers: name_servers,
            callers: Vec::new(),
            rng,
        };
        for front in 0..count {
            fleet.running.push(Running::Down);
            fleet.front_starts(front)?;
        }
        fleet.callers_start()?;
        Ok(fleet)
    }

    fn callers_start(&mut self) -> io::Result<()> {
        let count = self.scenario.fleet.fronts;
        let rate = self.scenario.rate() / count as f64;
        // The fronts get a second to connect and to hear the list.
        let (from, to) = (self.ground.now() + 1.0, self.ground.now() + self.scenario.seconds);
        for front in 0..count {
            let udp = UdpSocket::bind("127.0.0.1:0")?;
            let host = udp.local_addr()?.to_string();
            let address = self.settings[front].front.listen;
            let seed = self.rng.random();
            let core =
                Callers::new(front, host, address.to_string(), self.scenario.caller(), rate, seed, from, to);
            let hosted = net::callers(core, udp, address, self.ground.clone(), self.trace.clone())?;
            self.callers.push(hosted);
        }
        Ok(())
    }

    fn wait_until(&self, at: f64) {
        let left = at - self.ground.now();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left));
        }
    }

    fn asking(&self) -> usize {
        self.callers.iter().map(|c| c.ask(|core| core.asking()).unwrap_or(0)).sum()
    }

    fn front_starts(&mut self, front: usize) -> io::Result<()> {
        let seed = self.rng.random();
        let settings = &mut self.settings[front];
        self.running[front] = match self.fronts {
            Fronts::Inside => Running::Inside(Box::new(Service::start(settings, seed, self.ground.clone())?)),
            Fronts::Processes { program, folder } => {
                // TOML's integers end at 63 bits.
                settings.front.seed = Some(seed >> 1);
                Running::Process(spawn(program, folder, front, settings)?)
            }
        };
        self.trace.add(self.ground.now(), Seen::FrontUp { front });
        Ok(())
    }

    fn signal(&self, front: usize, signal: Signal) -> io::Result<()> {
        if let Running::Process(child) = &self.running[front] {
            kill(Pid::from_raw(child.id() as i32), signal).map_err(io::Error::from)?;
        }
        Ok(())
    }

    fn act(&mut self, action: Action) -> io::Result<()> {
        let now = self.ground.now();
        match action {
            Action::ServerStops(s) => self.servers[s].stop(),
            Action::ServerStarts(s) => self.servers[s].start_again()?,
            Action::List { server, state, anew } => {
                self.feed.act(move |feed, now| feed.change(now, server, state, anew));
            }
            Action::Slow(s, factor) => self.servers[s].core.act(move |core, _| core.slow(factor)),
            Action::Silent(s, on) => self.servers[s].core.act(move |core, _| core.faults.silent = on),
            Action::Hung(s, on) => self.servers[s].core.act(move |core, _| core.faults.hung = on),
            Action::AnswersLost(s, share) => {
                self.servers[s].core.act(move |core, _| core.faults.answers_lost = share);
            }
            Action::Published(s, there) => self.zone().publish(s, there),
            Action::NameServer(place, script) => self.zone().script(place, script),
            Action::FeedSilent(silent) => self.feed.act(move |feed, _| feed.silence(silent)),
            Action::ListDelay(delay) => self.feed.act(move |feed, _| feed.delay = delay),
            Action::FrontKilled(f) => {
                self.signal(f, Signal::SIGKILL)?;
                self.trace.add(now, Seen::FrontKilled { front: f });
                if let Running::Process(mut child) = std::mem::replace(&mut self.running[f], Running::Down) {
                    child.wait()?;
                }
            }
            Action::FrontStarts(f) => self.front_starts(f)?,
            Action::FrontStops(f) => {
                self.trace.add(now, Seen::FrontStopped { front: f });
                self.signal(f, Signal::SIGSTOP)?;
            }
            Action::FrontGoesOn(f) => {
                self.signal(f, Signal::SIGCONT)?;
                self.trace.add(self.ground.now(), Seen::FrontGoesOn { front: f });
            }
            Action::Burst(size) => self.each_callers(move |c| c.faults.burst = size),
            Action::GiveUp(size) => self.each_callers(move |c| c.faults.give_up = size),
            Action::Abuse(tenant) => self.each_callers(move |c| c.faults.abuse = tenant),
        }
        Ok(())
    }

    fn zone(&self) -> MutexGuard<'_, Zone> {
        // Whoever panicked with it left whole records behind.
        self.zone.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn each_callers(&self, change: impl Fn(&mut Callers) + Send + Clone + 'static) {
        for callers in &self.callers {
            let change = change.clone();
            callers.act(move |core, _| change(core));
        }
    }

    fn finish(mut self, seed: u64) -> io::Result<Played> {
        let lost = |what: &str| io::Error::other(format!("{what} did not end in time"));
        let entries = self.trace.sorted();
        let mut snapshots = Vec::new();
        for running in &mut self.running {
            match std::mem::replace(running, Running::Down) {
                Running::Process(mut child) => {
                    kill(Pid::from_raw(child.id() as i32), Signal::SIGKILL).map_err(io::Error::from)?;
                    child.wait()?;
                }
                Running::Inside(service) => snapshots.extend(service.snapshot()),
                Running::Down => {}
            }
        }
        let mut cores = Vec::new();
        for callers in self.callers.drain(..) {
            cores.push(callers.finish().ok_or_else(|| lost("callers"))?);
        }
        for server in self.servers.drain(..) {
            server.finish().ok_or_else(|| lost("a server"))?;
        }
        let verdict = check(&entries, &self.scenario.figures(PASSING));
        let callers: Vec<&Callers> = cores.iter().collect();
        let report = report(&self.scenario.name, seed, &callers, verdict);
        Ok(Played { report, trace: entries, snapshots })
    }
}

impl Drop for Fleet<'_> {
    fn drop(&mut self) {
        // Guards against fronts that outlive a lab that failed half way; only those started here.
        for running in &mut self.running {
            if let Running::Process(child) = running {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

fn spawn(program: &Path, folder: &Path, front: usize, settings: &Settings) -> io::Result<Child> {
    let file = folder.join(format!("front-{front}.toml"));
    let text = toml::to_string(settings).map_err(io::Error::other)?;
    std::fs::write(&file, text)?;
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join(format!("front-{front}.log")))?;
    Command::new(program)
        .arg("run")
        .arg("--config")
        .arg(&file)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
}
