//! One trial from its plan to its outcome.

use crate::address::{placeholder_address, Hosts};
use crate::bad_clients;
use crate::callers::Callers;
use crate::discovery::{Discovery, Mode};
use crate::front::Front;
use crate::plan::{Fault, Plan};
use crate::record::{locked, Entry, Event, FrontId, Recorder, ServerId};
use crate::server::{server_name, Server};
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use shalespindle_standin::presence::Presence;
use std::io;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Requests come for so long, seconds.
const REQUEST_SECONDS: f64 = 12.0;
/// And what they left has so long to come to its end.
const MAX_TRIAL_SECONDS: f64 = 22.0;
/// New connections come for so long after SIGTERM, seconds.
const CONNECTS_AFTER_SIGTERM: f64 = 0.3;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time from the word that a server drains to its end, and from there to its successor, seconds.
const DRAIN_SECONDS: f64 = 0.8;
const RELEASE_SECONDS: f64 = 0.3;
const REPLACEMENT_DELAY: f64 = 0.4;
/// A front gets no SIGHUP so soon after it was ready, seconds.
const MIN_UPTIME_BEFORE_RELOAD: f64 = 1.1;

/// What a trial came to.
pub struct Outcome {
    pub entries: Vec<Entry>,
    pub end: f64,
    pub asked: u64,
    pub served: u64,
    /// The fronts' logs.
    pub logs: Vec<PathBuf>,
    /// Troubles that the machine could not play.
    pub failed_faults: Vec<String>,
}

struct Trial {
    plan: Plan,
    recorder: Recorder,
    fronts: Vec<Arc<Front>>,
    /// The server in each pool.
    servers: Mutex<Vec<(ServerId, Server)>>,
    next_server: AtomicU64,
    discovery: Discovery,
    hosts: Hosts,
    callers: Arc<Callers>,
    /// Servers that the list said take nothing new, and when it did.
    withdrawn: Mutex<Vec<(ServerId, f64)>>,
    ready_at: Mutex<Vec<f64>>,
    failed_faults: Mutex<Vec<String>>,
    seed: u64,
}

/// Plays the plan of a seed with fronts of that binary; files go into the folder.
pub fn run(binary: &Path, folder: &Path, seed: u64, plan: Plan) -> io::Result<Outcome> {
    let recorder = Recorder::default();
    let hosts = Hosts::for_trial(seed, plan.fronts);
    let servers = (0..plan.servers)
        .map(|id| Ok((id, Server::start(id, &hosts, None, plan.fault_profile, seed ^ id as u64, &recorder)?)))
        .collect::<io::Result<Vec<_>>>()?;
    let members: Vec<Value> = servers.iter().map(|(id, s)| member(*id, *id, s.port, "up", 0)).collect();
    let discovery = Discovery::start(event(1, &members), hosts.clone(), &recorder)?;
    let fronts = (0..plan.fronts)
        .map(|id| {
            let front =
                Front::new(id, hosts.fronts[id], folder, binary, plan.settings, plan.servers, &recorder)?;
            front.configure(discovery.address(id), &discovery.events(id))?;
            Ok(front)
        })
        .collect::<io::Result<Vec<_>>>()?;
    for front in &fronts {
        front.launch()?;
    }
    let callers =
        Callers::start(fronts.clone(), plan.settings, plan.behaviour, plan.servers, seed, &recorder);
    let next_server = AtomicU64::new(plan.servers as u64);
    let ready_at = Mutex::new(vec![recorder.now(); plan.fronts]);
    let trial = Arc::new(Trial {
        plan,
        recorder,
        fronts,
        servers: Mutex::new(servers),
        next_server,
        discovery,
        hosts,
        callers,
        withdrawn: Mutex::default(),
        ready_at,
        failed_faults: Mutex::default(),
        seed,
    });
    trial.run()
}

impl Trial {
    fn run(self: &Arc<Trial>) -> io::Result<Outcome> {
        let begin = self.recorder.now();
        let mut injecting: Vec<JoinHandle<()>> = Vec::new();
        for (at, fault) in &self.plan.faults {
            self.wait_until(begin + at)?;
            let (trial, fault) = (self.clone(), *fault);
            injecting.push(std::thread::spawn(move || {
                if let Err(error) = trial.inject(fault) {
                    locked(&trial.failed_faults).push(format!("{fault:?}: {error}"));
                }
            }));
        }
        self.wait_until(begin + REQUEST_SECONDS)?;
        self.callers.stop_requests();
        for thread in injecting {
            while !thread.is_finished() && self.recorder.now() < begin + MAX_TRIAL_SECONDS {
                self.wait_until(self.recorder.now() + 0.05)?;
            }
        }
        while !self.callers.is_idle() && self.recorder.now() < begin + MAX_TRIAL_SECONDS {
            self.wait_until(self.recorder.now() + 0.05)?;
        }
        self.wait_until(self.recorder.now() + self.plan.settings.deadline + 0.8)?;
        let end = self.recorder.now();
        self.callers.end();
        self.discovery.end();
        for (server, at) in locked(&self.withdrawn).iter() {
            self.recorder.record_at(self.discovery.received_by(*at), Event::ToldToLeave { server: *server });
        }
        let entries = self.recorder.sorted().into_iter().filter(|e| e.0 <= end).collect();
        for (_, server) in locked(&self.servers).iter() {
            server.die()?;
        }
        // Threads of callers may hold them for longer than this.
        self.fronts.iter().try_for_each(|front| front.stop())?;
        Ok(Outcome {
            entries,
            end,
            asked: self.callers.asked.load(Ordering::Relaxed),
            served: self.callers.served.load(Ordering::Relaxed),
            logs: self.fronts.iter().map(|f| f.log_path()).collect(),
            failed_faults: locked(&self.failed_faults).clone(),
        })
    }

    /// Waits, and notices fronts that end by themselves meanwhile.
    fn wait_until(&self, at: f64) -> io::Result<()> {
        while self.recorder.now() < at {
            for front in &self.fronts {
                front.check_exit()?;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn pause(&self, seconds: f64) {
        std::thread::sleep(Duration::from_secs_f64(seconds));
    }

    fn inject(&self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Restart { front, signals_between } => self.restart(front, signals_between),
            Fault::Kill { front } => {
                self.fronts[front].kill()?;
                self.relaunch(front)
            }
            Fault::Vanish { first, count, listed_after } => self.vanish(first, count, listed_after),
            Fault::Hang { server, seconds } => self.make_absent(server, seconds, Presence::Hanging),
            Fault::Cut { server, seconds } => self.make_absent(server, seconds, Presence::Vanished),
            Fault::Die { server, replaced_after, listed_after } => {
                let (old, gone) = self.server(server);
                gone.die()?;
                self.pause(replaced_after);
                let new = self.start_successor(server, Some(gone.port))?;
                self.pause((listed_after - replaced_after).max(0.0));
                self.withdraw(old, gone.port, server, "removed");
                self.publish(&[member(new.0, server, new.1, "up", unix_ms())]);
                Ok(())
            }
            Fault::Replace { server } => self.replace(server),
            Fault::DiscoveryDown { seconds } => {
                self.discovery.set_mode(Mode::Down)?;
                self.pause(seconds);
                self.discovery.set_mode(Mode::Up)
            }
            Fault::DiscoverySilent => self.discovery.set_mode(Mode::OpenWatchesSilent),
            Fault::DiscoveryBreaks => {
                self.discovery.break_next_event();
                Ok(())
            }
            Fault::Reloads { count } => self.reload(count),
            Fault::BadClients { count } => {
                let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ u64::from(count));
                for _ in 0..count {
                    let front = &self.fronts[rng.random_range(0..self.fronts.len())];
                    let (to, recorder) = (front.listen, self.recorder.clone());
                    let mut rng = ChaCha8Rng::seed_from_u64(rng.random());
                    std::thread::spawn(move || bad_clients::try_one(to, &mut rng, &recorder));
                    self.pause(0.05);
                }
                Ok(())
            }
            Fault::Crowd { connections, rate } => self.crowd(connections, rate),
        }
    }

    fn server(&self, pool: usize) -> (ServerId, Server) {
        locked(&self.servers)[pool].clone()
    }

    /// Starts a new server in a pool, at that address.
    fn start_successor(&self, pool: usize, at: Option<u16>) -> io::Result<(ServerId, u16)> {
        let id = self.next_server.fetch_add(1, Ordering::Relaxed) as ServerId;
        let seed = self.seed ^ (id as u64) << 8;
        let start = |at| Server::start(id, &self.hosts, at, self.plan.fault_profile, seed, &self.recorder);
        let server = match start(at) {
            // Its predecessor has vanished and left its address taken: two faults met.
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => start(None)?,
            started => started?,
        };
        let port = server.port;
        locked(&self.servers)[pool] = (id, server);
        Ok((id, port))
    }

    fn publish(&self, members: &[Value]) {
        self.discovery.publish_members(members);
    }

    /// The list says that a server drains or is gone.
    fn withdraw(&self, id: ServerId, port: u16, pool: usize, phase: &str) {
        locked(&self.withdrawn).push((id, self.recorder.now()));
        self.publish(&[member(id, pool, port, phase, 0)]);
    }

    fn restart(&self, front: FrontId, signals_between: u32) -> io::Result<()> {
        let process = &self.fronts[front];
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0x5157 ^ front as u64);
        let signalled = self.recorder.now();
        process.terminate();
        let kill_after = self.plan.settings.kill_after();
        let mut between: Vec<f64> =
            (0..signals_between).map(|_| rng.random_range(0.02..kill_after)).collect();
        between.push(CONNECTS_AFTER_SIGTERM);
        between.sort_by(f64::total_cmp);
        for at in between {
            self.pause((signalled + at - self.recorder.now()).max(0.0));
            if at == CONNECTS_AFTER_SIGTERM {
                process.accepts_connections.store(false, Ordering::Release);
            } else {
                process.signal(if rng.random() { Signal::SIGHUP } else { Signal::SIGTERM });
            }
        }
        while self.recorder.now() < signalled + kill_after {
            process.check_exit()?;
            std::thread::sleep(Duration::from_millis(1));
        }
        process.kill()?;
        self.relaunch(front)
    }

    fn relaunch(&self, front: FrontId) -> io::Result<()> {
        self.callers.front_ended(front);
        let process = &self.fronts[front];
        process.configure(self.discovery.address(front), &self.discovery.events(front))?;
        process.launch()?;
        locked(&self.ready_at)[front] = self.recorder.now();
        Ok(())
    }

    fn vanish(&self, first: usize, count: usize, listed_after: f64) -> io::Result<()> {
        let pools: Vec<usize> = (0..count).map(|n| (first + n) % self.plan.servers).collect();
        let gone: Vec<(usize, (ServerId, Server))> = pools.iter().map(|p| (*p, self.server(*p))).collect();
        for (_, (_, server)) in &gone {
            server.vanish_for_good()?;
        }
        self.pause(listed_after);
        for (pool, (id, server)) in &gone {
            self.withdraw(*id, server.port, *pool, "removed");
        }
        for pool in pools {
            let new = self.start_successor(pool, None)?;
            self.publish(&[member(new.0, pool, new.1, "up", unix_ms())]);
        }
        Ok(())
    }

    fn make_absent(&self, pool: usize, seconds: f64, presence: Presence) -> io::Result<()> {
        let (_, server) = self.server(pool);
        server.set_presence(presence)?;
        self.pause(seconds);
        server.set_presence(Presence::Serving)
    }

    fn replace(&self, pool: usize) -> io::Result<()> {
        let (old, server) = self.server(pool);
        self.withdraw(old, server.port, pool, "draining");
        self.pause(DRAIN_SECONDS);
        server.end_calls();
        self.pause(RELEASE_SECONDS);
        server.die()?;
        self.withdraw(old, server.port, pool, "removed");
        self.pause(REPLACEMENT_DELAY);
        let new = self.start_successor(pool, Some(server.port))?;
        self.publish(&[member(new.0, pool, new.1, "up", unix_ms())]);
        Ok(())
    }

    fn reload(&self, count: u32) -> io::Result<()> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0x4e1d);
        for _ in 0..count {
            // Not in a front's first second, and not to one that is about to end.
            let now = self.recorder.now();
            let settled = locked(&self.ready_at).iter().all(|at| now - at > MIN_UPTIME_BEFORE_RELOAD);
            let accept = self.fronts.iter().all(|f| f.accepts_connections.load(Ordering::Acquire));
            if settled && accept {
                self.discovery.move_address()?;
                for front in &self.fronts {
                    front.configure(self.discovery.address(front.id), &self.discovery.events(front.id))?;
                    front.signal(Signal::SIGHUP);
                }
                self.discovery.close_old_listeners();
            }
            self.pause(rng.random_range(0.05..0.7));
        }
        Ok(())
    }

    fn crowd(&self, connections: usize, rate: f64) -> io::Result<()> {
        self.callers.set_rate(rate);
        let to = |n: usize| self.fronts[n % self.fronts.len()].listen;
        let idle: Vec<TcpStream> = (0..connections)
            .filter_map(|n| TcpStream::connect_timeout(&to(n), Duration::from_millis(200)).ok())
            .collect();
        self.pause(2.0);
        drop(idle);
        self.callers.set_rate(self.plan.behaviour.rate);
        Ok(())
    }
}

fn member(id: ServerId, pool: usize, port: u16, phase: &str, up_since_ms: u64) -> Value {
    json!({"id": server_name(id), "host_port": placeholder_address(port), "cell": pool, "phase": phase, "up_since_ms": up_since_ms})
}

pub(crate) fn event(n: usize, members: &[Value]) -> String {
    json!({"n": n, "members": {"revision": n, "complete": n == 1, "members": members}}).to_string()
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_millis() as u64
}
