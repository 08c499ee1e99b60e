//! Runs a scenario on loopback sockets: fronts as separate processes (or inside this one); the simulated
//! servers, pool list, name servers and callers inside this process.

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

/// Time that fronts allow for their messages on the loopback sockets of a busy machine, seconds.
pub const MARGIN: f64 = 0.05;
/// Delay of the sockets that the checker tolerates, seconds. Half of the fronts' margin, so that the rules
/// are kept by that margin and not by the checker's tolerance.
const SOCKET_DELAY: f64 = MARGIN / 2.0;
/// Maximum wait for answers after callers stop making calls, seconds.
const ANSWER_TIMEOUT: f64 = 12.0;
/// Wait after that for the releases of calls that should not remain established, seconds.
const RELEASE_WAIT: f64 = 6.0;

/// Where the fronts run.
#[derive(Clone, Debug)]
pub enum Fronts {
    /// Each in a process of that program, with its settings and log in that folder.
    Processes { program: PathBuf, folder: PathBuf },
    /// All inside this process, where they cannot be killed or paused.
    Inside,
}

/// A front of the run.
enum FrontHandle {
    Process(Child),
    Inside(Box<Service>),
    Down,
}

/// Results of a run on sockets.
pub struct Played {
    pub report: Report,
    pub trace: Vec<Entry>,
    /// Status of each front inside this process before it was ended.
    pub statuses: Vec<FrontStatus>,
}

/// Everything that runs for a scenario.
struct Fleet<'a> {
    scenario: &'a Scenario,
    fronts: &'a Fronts,
    clock: MonotonicClock,
    trace: Trace,
    settings: Vec<Settings>,
    running: Vec<FrontHandle>,
    servers: Vec<HostedServer>,
    feed: Hosted<Feed>,
    zone: Arc<Mutex<Zone>>,
    _name_servers: Vec<HostedNames>,
    callers: Vec<Hosted<Callers>>,
    rng: ChaCha8Rng,
}

/// Offsets from the fleet's first loopback network to those of fronts, servers and name servers.
const FRONT_NETWORK: u8 = 0;
const SERVER_NETWORK: u8 = 1;
const NAME_SERVER_NETWORK: u8 = 2;

/// Starts a name server for one front alone, so that the trace can record which front received an answer.
fn name_server(
    zone: &Arc<Mutex<Zone>>,
    network: u8,
    front: usize,
    index: usize,
    clock: &MonotonicClock,
    trace: &Trace,
) -> io::Result<(SocketAddr, HostedNames)> {
    let at = free_address(network, front)?;
    let (udp, tcp) = (UdpSocket::bind(at)?, TcpListener::bind(at)?);
    let (zone, clock, trace) = (zone.clone(), clock.clone(), trace.clone());
    let answer = move |question: &[u8], stream: bool| {
        let now = clock.now();
        let (replies, named) =
            zone.lock().unwrap_or_else(|e| e.into_inner()).ask(index, now, question, stream);
        // The trace has the answer before the answer can have an effect.
        if let Some(servers) = named {
            trace.add(now, Seen::Named { front, servers });
        }
        replies
    };
    Ok((at, names::name_server(udp, tcp, Arc::new(answer))?))
}

/// Runs a scenario; `progress` receives a line for each step.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    fronts: &Fronts,
    progress: &mut dyn FnMut(String),
) -> io::Result<Played> {
    let mut fleet = Fleet::new(scenario, seed, fronts)?;
    let begin = fleet.clock.now();
    progress(format!(
        "{}: seed {seed}, {} fronts, {} servers, {:.0} attaches a second, {} s",
        scenario.name,
        scenario.fleet.fronts,
        scenario.fleet.servers,
        scenario.rate(),
        scenario.seconds
    ));
    for (at, action) in plan(scenario, seed) {
        fleet.wait_until(begin + at);
        progress(format!("{at:6.1} s  {action:?}"));
        fleet.act(action)?;
    }
    fleet.wait_until(begin + scenario.seconds);
    progress(format!("{:6.1} s  callers make no more calls", scenario.seconds));
    let until = fleet.clock.now() + ANSWER_TIMEOUT;
    while fleet.clock.now() < until && fleet.pending_calls() > 0 {
        std::thread::sleep(Duration::from_millis(50));
    }
    fleet.wait_until(fleet.clock.now() + RELEASE_WAIT);
    fleet.finish(seed)
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario, seed: u64, fronts: &'a Fronts) -> io::Result<Fleet<'a>> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (clock, trace) = (MonotonicClock::new(), Trace::default());
        let networks = networks();
        let count = scenario.fleet.fronts;
        let mut front_by_address = HashMap::new();
        let mut endpoints = Vec::new();
        let mut listeners = Vec::new();
        for front in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let (address, feed) = (free_address(networks + FRONT_NETWORK, front)?, listener.local_addr()?);
            front_by_address.insert(address.to_string(), front);
            endpoints.push((address, feed));
            listeners.push(listener);
        }
        let front_by_address = Arc::new(front_by_address);
        let mut feed = Feed::new(1, count, scenario.fleet.list_delay);
        feed.silence(scenario.dns.as_ref().is_some_and(|d| d.alone));
        let mut servers = Vec::new();
        let mut addresses = Vec::new();
        for s in 0..scenario.fleet.servers {
            let address = free_address(networks + SERVER_NETWORK, s)?;
            feed.known(s, address, s as u16);
            addresses.push(address);
            let core = Server::new(
                s,
                address.to_string(),
                scenario.server(s),
                front_by_address.clone(),
                rng.random(),
            );
            servers.push(HostedServer::start(core, address, clock.clone(), trace.clone())?);
        }
        let zone = Arc::new(Mutex::new(Zone::new(scenario, seed, addresses)));
        let mut name_servers = Vec::new();
        let mut settings = Vec::new();
        for (front, (address, feed)) in endpoints.into_iter().enumerate() {
            let mut names = Vec::new();
            for index in 0..scenario.dns.as_ref().map_or(0, |d| d.name_servers) {
                let (at, hosted) =
                    name_server(&zone, networks + NAME_SERVER_NETWORK, front, index, &clock, &trace)?;
                names.push(at);
                name_servers.push(hosted);
            }
            settings.push(scenario.settings(address, feed, &names, MARGIN));
        }
        let feed = net::feed(feed, listeners, clock.clone(), trace.clone())?;
        let mut fleet = Fleet {
            scenario,
            fronts,
            clock,
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
            fleet.running.push(FrontHandle::Down);
            fleet.start_front(front)?;
        }
        fleet.start_callers()?;
        Ok(fleet)
    }

    fn start_callers(&mut self) -> io::Result<()> {
        let count = self.scenario.fleet.fronts;
        let rate = self.scenario.rate() / count as f64;
        // The fronts get a second to connect and to receive the pool list.
        let (from, to) = (self.clock.now() + 1.0, self.clock.now() + self.scenario.seconds);
        for front in 0..count {
            let udp = UdpSocket::bind("127.0.0.1:0")?;
            let host = udp.local_addr()?.to_string();
            let address = self.settings[front].front.listen;
            let seed = self.rng.random();
            let core =
                Callers::new(front, host, address.to_string(), self.scenario.caller(), rate, seed, from, to);
            let hosted = net::callers(core, udp, address, self.clock.clone(), self.trace.clone())?;
            self.callers.push(hosted);
        }
        Ok(())
    }

    fn wait_until(&self, at: f64) {
        let left = at - self.clock.now();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left));
        }
    }

    /// Number of calls that are not answered yet.
    fn pending_calls(&self) -> usize {
        self.callers.iter().map(|c| c.ask(|core| core.asking()).unwrap_or(0)).sum()
    }

    fn start_front(&mut self, front: usize) -> io::Result<()> {
        let seed = self.rng.random();
        let settings = &mut self.settings[front];
        self.running[front] = match self.fronts {
            Fronts::Inside => {
                FrontHandle::Inside(Box::new(Service::start(settings, seed, self.clock.clone())?))
            }
            Fronts::Processes { program, folder } => {
                // TOML integers are signed, with 64 bits.
                settings.front.seed = Some(seed >> 1);
                FrontHandle::Process(spawn(program, folder, front, settings)?)
            }
        };
        self.trace.add(self.clock.now(), Seen::FrontUp { front });
        Ok(())
    }

    fn signal(&self, front: usize, signal: Signal) -> io::Result<()> {
        if let FrontHandle::Process(child) = &self.running[front] {
            kill(Pid::from_raw(child.id() as i32), signal).map_err(io::Error::from)?;
        }
        Ok(())
    }

    fn act(&mut self, action: Action) -> io::Result<()> {
        let now = self.clock.now();
        match action {
            Action::StopServer(s) => self.servers[s].stop(),
            Action::StartServer(s) => self.servers[s].start_again()?,
            Action::List { server, state, restarted } => {
                self.feed.act(move |feed, now| feed.change(now, server, state, restarted));
            }
            Action::Slow(s, factor) => self.servers[s].core.act(move |core, _| core.slow(factor)),
            Action::Silent(s, on) => self.servers[s].core.act(move |core, _| core.faults.silent = on),
            Action::Hung(s, on) => self.servers[s].core.act(move |core, _| core.faults.hung = on),
            Action::AnswersLost(s, share) => {
                self.servers[s].core.act(move |core, _| core.faults.answers_lost = share);
            }
            Action::Publish(s, present) => self.zone().publish(s, present),
            Action::NameServer(index, script) => self.zone().script(index, script),
            Action::FeedSilent(silent) => self.feed.act(move |feed, _| feed.silence(silent)),
            Action::ListDelay(delay) => self.feed.act(move |feed, _| feed.delay = delay),
            Action::KillFront(f) => {
                self.signal(f, Signal::SIGKILL)?;
                self.trace.add(now, Seen::FrontKilled { front: f });
                if let FrontHandle::Process(mut child) =
                    std::mem::replace(&mut self.running[f], FrontHandle::Down)
                {
                    child.wait()?;
                }
            }
            Action::StartFront(f) => self.start_front(f)?,
            Action::PauseFront(f) => {
                self.trace.add(now, Seen::FrontStopped { front: f });
                self.signal(f, Signal::SIGSTOP)?;
            }
            Action::ResumeFront(f) => {
                self.signal(f, Signal::SIGCONT)?;
                self.trace.add(self.clock.now(), Seen::FrontGoesOn { front: f });
            }
            Action::Burst(size) => self.change_callers(move |c| c.faults.burst = size),
            Action::GiveUp(size) => self.change_callers(move |c| c.faults.give_up = size),
            Action::Abuse(tenant) => self.change_callers(move |c| c.faults.abuse = tenant),
        }
        Ok(())
    }

    fn zone(&self) -> MutexGuard<'_, Zone> {
        // A thread that panicked with the lock held leaves no partial record behind.
        self.zone.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Applies a change to the callers of all fronts.
    fn change_callers(&self, change: impl Fn(&mut Callers) + Send + Clone + 'static) {
        for callers in &self.callers {
            let change = change.clone();
            callers.act(move |core, _| change(core));
        }
    }

    /// Ends everything, checks the trace and collects the results.
    fn finish(mut self, seed: u64) -> io::Result<Played> {
        let timed_out = |what: &str| io::Error::other(format!("{what} did not end in time"));
        let entries = self.trace.sorted();
        let mut statuses = Vec::new();
        for running in &mut self.running {
            match std::mem::replace(running, FrontHandle::Down) {
                FrontHandle::Process(mut child) => {
                    kill(Pid::from_raw(child.id() as i32), Signal::SIGKILL).map_err(io::Error::from)?;
                    child.wait()?;
                }
                FrontHandle::Inside(service) => statuses.extend(service.status()),
                FrontHandle::Down => {}
            }
        }
        let mut cores = Vec::new();
        for callers in self.callers.drain(..) {
            cores.push(callers.finish().ok_or_else(|| timed_out("callers"))?);
        }
        for server in self.servers.drain(..) {
            server.finish().ok_or_else(|| timed_out("a server"))?;
        }
        let verdict = check(&entries, &self.scenario.figures(SOCKET_DELAY));
        let callers: Vec<&Callers> = cores.iter().collect();
        let report = report(&self.scenario.name, seed, &callers, verdict);
        Ok(Played { report, trace: entries, statuses })
    }
}

impl Drop for Fleet<'_> {
    fn drop(&mut self) {
        // Ends the front processes that this run has started if the run fails early.
        for running in &mut self.running {
            if let FrontHandle::Process(child) = running {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// Starts a front's process; its log is appended to a file.
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
