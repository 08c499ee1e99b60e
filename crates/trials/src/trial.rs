//! One trial from its plan to its outcome.

use crate::address::{placeholder, Hosts};
use crate::bad_clients;
use crate::callers::Callers;
use crate::discovery::{Discovery, Mode};
use crate::front::Front;
use crate::plan::{Plan, Trouble};
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
const ASKING: f64 = 12.0;
/// And what they left has so long to come to its end.
const LONGEST: f64 = 22.0;
/// New connections come for so long after SIGTERM, seconds.
const CONNECTS_AFTER_SIGNAL: f64 = 0.3;
const LOOK: Duration = Duration::from_millis(5);
/// Time from the word that a server drains to its end, and from there to its successor, seconds.
const DRAINS_FOR: f64 = 0.8;
const LAST_RELEASES: f64 = 0.3;
const SUCCEEDS_AFTER: f64 = 0.4;
/// A front gets no SIGHUP so soon after it was ready, seconds.
const NO_RELOAD_BEFORE: f64 = 1.1;

/// What a trial came to.
pub struct Outcome {
    pub entries: Vec<Entry>,
    pub end: f64,
    pub asked: u64,
    pub served: u64,
    /// The fronts' logs.
    pub logs: Vec<PathBuf>,
    /// Troubles that the machine could not play.
    pub unplayed: Vec<String>,
}

struct World {
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
    left: Mutex<Vec<(ServerId, f64)>>,
    ready_at: Mutex<Vec<f64>>,
    unplayed: Mutex<Vec<String>>,
    seed: u64,
}

/// Plays the plan of a seed with fronts of that binary; files go into the folder.
pub fn play(binary: &Path, folder: &Path, seed: u64, plan: Plan) -> io::Result<Outcome> {
    let recorder = Recorder::default();
    let hosts = Hosts::of_trial(seed, plan.fronts);
    let servers = (0..plan.servers)
        .map(|id| Ok((id, Server::start(id, &hosts, None, plan.quirks, seed ^ id as u64, &recorder)?)))
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
    let callers = Callers::start(fronts.clone(), plan.settings, plan.habits, plan.servers, seed, &recorder);
    let next_server = AtomicU64::new(plan.servers as u64);
    let ready_at = Mutex::new(vec![recorder.now(); plan.fronts]);
    let world = Arc::new(World {
        plan,
        recorder,
        fronts,
        servers: Mutex::new(servers),
        next_server,
        discovery,
        hosts,
        callers,
        left: Mutex::default(),
        ready_at,
        unplayed: Mutex::default(),
        seed,
    });
    world.run()
}

impl World {
    fn run(self: &Arc<World>) -> io::Result<Outcome> {
        let begin = self.recorder.now();
        let mut playing: Vec<JoinHandle<()>> = Vec::new();
        for (at, trouble) in &self.plan.troubles {
            self.wait_until(begin + at)?;
            let (world, trouble) = (self.clone(), *trouble);
            playing.push(std::thread::spawn(move || {
                if let Err(why) = world.play(trouble) {
                    locked(&world.unplayed).push(format!("{trouble:?}: {why}"));
                }
            }));
        }
        self.wait_until(begin + ASKING)?;
        self.callers.rest();
        for thread in playing {
            while !thread.is_finished() && self.recorder.now() < begin + LONGEST {
                self.wait_until(self.recorder.now() + 0.05)?;
            }
        }
        while !self.callers.is_quiet() && self.recorder.now() < begin + LONGEST {
            self.wait_until(self.recorder.now() + 0.05)?;
        }
        self.wait_until(self.recorder.now() + self.plan.settings.deadline + 0.8)?;
        let end = self.recorder.now();
        self.callers.end();
        self.discovery.end();
        for (server, at) in locked(&self.left).iter() {
            self.recorder.saw_at(self.discovery.told_at(*at), Event::ToldToLeave { server: *server });
        }
        let entries = self.recorder.sorted().into_iter().filter(|e| e.0 <= end).collect();
        for (_, server) in locked(&self.servers).iter() {
            server.die()?;
        }
        // Threads of callers may hold them for longer than this.
        self.fronts.iter().try_for_each(|front| front.end())?;
        Ok(Outcome {
            entries,
            end,
            asked: self.callers.asked.load(Ordering::Relaxed),
            served: self.callers.served.load(Ordering::Relaxed),
            logs: self.fronts.iter().map(|f| f.log_path()).collect(),
            unplayed: locked(&self.unplayed).clone(),
        })
    }

    /// Waits, and notices fronts that end by themselves meanwhile.
    fn wait_until(&self, at: f64) -> io::Result<()> {
        while self.recorder.now() < at {
            for front in &self.fronts {
                front.notice_end()?;
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    fn pause(&self, seconds: f64) {
        std::thread::sleep(Duration::from_secs_f64(seconds));
    }

    fn play(&self, trouble: Trouble) -> io::Result<()> {
        match trouble {
            Trouble::Restart { front, signals_between } => self.restart(front, signals_between),
            Trouble::Kill { front } => {
                self.fronts[front].kill()?;
                self.start_again(front)
            }
            Trouble::Vanish { first, count, listed_after } => self.vanish(first, count, listed_after),
            Trouble::Hang { server, seconds } => self.absent(server, seconds, Presence::Hanging),
            Trouble::Cut { server, seconds } => self.absent(server, seconds, Presence::Vanished),
            Trouble::Die { server, replaced_after, listed_after } => {
                let (old, gone) = self.server(server);
                gone.die()?;
                self.pause(replaced_after);
                let new = self.successor(server, Some(gone.port))?;
                self.pause((listed_after - replaced_after).max(0.0));
                self.leaves(old, gone.port, server, "removed");
                self.tell(&[member(new.0, server, new.1, "up", unix_ms())]);
                Ok(())
            }
            Trouble::Replace { server } => self.replace(server),
            Trouble::DiscoveryDown { seconds } => {
                self.discovery.set_mode(Mode::Down)?;
                self.pause(seconds);
                self.discovery.set_mode(Mode::Up)
            }
            Trouble::DiscoverySilent => self.discovery.set_mode(Mode::OpenWatchesSilent),
            Trouble::DiscoveryBreaks => {
                self.discovery.break_next();
                Ok(())
            }
            Trouble::Reloads { count } => self.reload(count),
            Trouble::BadClients { count } => {
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
            Trouble::Crowd { connections, rate } => self.crowd(connections, rate),
        }
    }

    fn server(&self, pool: usize) -> (ServerId, Server) {
        locked(&self.servers)[pool].clone()
    }

    /// Starts a new server in a pool, at that address.
    fn successor(&self, pool: usize, at: Option<u16>) -> io::Result<(ServerId, u16)> {
        let id = self.next_server.fetch_add(1, Ordering::Relaxed) as ServerId;
        let seed = self.seed ^ (id as u64) << 8;
        let start = |at| Server::start(id, &self.hosts, at, self.plan.quirks, seed, &self.recorder);
        let server = match start(at) {
            // Its predecessor has vanished and left its address taken: two troubles met.
            Err(why) if why.kind() == io::ErrorKind::AddrInUse => start(None)?,
            started => started?,
        };
        let port = server.port;
        locked(&self.servers)[pool] = (id, server);
        Ok((id, port))
    }

    fn tell(&self, members: &[Value]) {
        self.discovery.tell_members(members);
    }

    /// The list says that a server drains or is gone.
    fn leaves(&self, id: ServerId, port: u16, pool: usize, phase: &str) {
        locked(&self.left).push((id, self.recorder.now()));
        self.tell(&[member(id, pool, port, phase, 0)]);
    }

    fn restart(&self, front: FrontId, signals_between: u32) -> io::Result<()> {
        let under_trial = &self.fronts[front];
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0x5157 ^ front as u64);
        let signalled = self.recorder.now();
        under_trial.terminate();
        let kill_after = self.plan.settings.kill_after();
        let mut between: Vec<f64> =
            (0..signals_between).map(|_| rng.random_range(0.02..kill_after)).collect();
        between.push(CONNECTS_AFTER_SIGNAL);
        between.sort_by(f64::total_cmp);
        for at in between {
            self.pause((signalled + at - self.recorder.now()).max(0.0));
            if at == CONNECTS_AFTER_SIGNAL {
                under_trial.accepts.store(false, Ordering::Release);
            } else {
                under_trial.signal(if rng.random() { Signal::SIGHUP } else { Signal::SIGTERM });
            }
        }
        while self.recorder.now() < signalled + kill_after {
            under_trial.notice_end()?;
            std::thread::sleep(Duration::from_millis(1));
        }
        under_trial.kill()?;
        self.start_again(front)
    }

    fn start_again(&self, front: FrontId) -> io::Result<()> {
        self.callers.front_ended(front);
        let under_trial = &self.fronts[front];
        under_trial.configure(self.discovery.address(front), &self.discovery.events(front))?;
        under_trial.launch()?;
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
            self.leaves(*id, server.port, *pool, "removed");
        }
        for pool in pools {
            let new = self.successor(pool, None)?;
            self.tell(&[member(new.0, pool, new.1, "up", unix_ms())]);
        }
        Ok(())
    }

    fn absent(&self, pool: usize, seconds: f64, presence: Presence) -> io::Result<()> {
        let (_, server) = self.server(pool);
        server.set_presence(presence)?;
        self.pause(seconds);
        server.set_presence(Presence::Serving)
    }

    fn replace(&self, pool: usize) -> io::Result<()> {
        let (old, server) = self.server(pool);
        self.leaves(old, server.port, pool, "draining");
        self.pause(DRAINS_FOR);
        server.end_calls();
        self.pause(LAST_RELEASES);
        server.die()?;
        self.leaves(old, server.port, pool, "removed");
        self.pause(SUCCEEDS_AFTER);
        let new = self.successor(pool, Some(server.port))?;
        self.tell(&[member(new.0, pool, new.1, "up", unix_ms())]);
        Ok(())
    }

    fn reload(&self, count: u32) -> io::Result<()> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0x4e1d);
        for _ in 0..count {
            // Not in a front's first second, and not to one that is about to end.
            let now = self.recorder.now();
            let settled = locked(&self.ready_at).iter().all(|at| now - at > NO_RELOAD_BEFORE);
            let accept = self.fronts.iter().all(|f| f.accepts.load(Ordering::Acquire));
            if settled && accept {
                self.discovery.moves()?;
                for front in &self.fronts {
                    front.configure(self.discovery.address(front.id), &self.discovery.events(front.id))?;
                    front.signal(Signal::SIGHUP);
                }
                self.discovery.leaves_old_addresses();
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
        self.callers.set_rate(self.plan.habits.rate);
        Ok(())
    }
}

fn member(id: ServerId, pool: usize, port: u16, phase: &str, up_since_ms: u64) -> Value {
    json!({"id": server_name(id), "host_port": placeholder(port), "cell": pool, "phase": phase, "up_since_ms": up_since_ms})
}

pub(crate) fn event(n: usize, members: &[Value]) -> String {
    json!({"n": n, "members": {"revision": n, "complete": n == 1, "members": members}}).to_string()
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_millis() as u64
}
