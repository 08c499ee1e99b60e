//! Live fronts of the operators' platform as processes beside stand-in servers, a feed and callers, under a plan of
//! restarts and kills drawn from a seed. What passed is a trace for the checkers.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use shalespindle_standin::platform::EventFeed;
use shalespindle_standin::trace::{FrontId, Seen, Trace};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct LiveShape {
    pub fronts: usize,
    pub servers: usize,
    /// Callers that ask one after the other.
    pub callers: usize,
    /// Set-ups a second that a warm server is said to bear; the stand-ins do not slow down.
    pub capacity: f64,
    pub seconds: f64,
    /// Descriptors of each front, by its configuration and by the system.
    pub descriptors: usize,
}

/// What a run came to, beside its trace.
#[derive(Clone, Debug, Default)]
pub struct LiveSummary {
    pub attaches: u64,
    pub stood: u64,
    pub refused: u64,
    /// Asked of a front that was not killed meanwhile, and never answered.
    pub lost: Vec<String>,
    /// Fronts that ended without being told to.
    pub crashed: Vec<FrontId>,
    /// Fronts that the new server has no connection from, long after the feed came back.
    pub unlinked: usize,
    /// From the feed's return until the last front had asked it and linked the server it told of, seconds.
    pub linked_after: f64,
}

/// How long a caller waits, and how much later an answer still counts.
const PATIENCE: f64 = 3.0;
const SLACK: f64 = 0.5;
/// After SIGTERM nobody new connects for longer than this.
const STILL_COME: f64 = 0.3;
/// Attaches asked, of what all servers bear when warm; further tries come on top.
const LOAD: f64 = 0.8;
/// All fronts, also those that restart meanwhile, have found the feed again by then.
const LINKED_WITHIN: f64 = 10.0;
const ORDERLY_END: Duration = Duration::from_secs(8);

/// Where a front of a run listens: hosts of its own on loopback, so that no port is anybody else's.
pub fn own_address(run: u8, place: u8) -> io::Result<SocketAddr> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, (high % 100) + 100 + run % 50, low, place.max(1));
    TcpListener::bind((host, 0))?.local_addr()
}

struct Front {
    listen: SocketAddr,
    config: PathBuf,
    child: Mutex<Option<Child>>,
    /// Callers may connect.
    open: AtomicBool,
    /// Times at which it was killed outright.
    killed: Mutex<Vec<f64>>,
}

struct World {
    shape: LiveShape,
    begin: Instant,
    trace: Trace,
    fronts: Vec<Front>,
    over: AtomicBool,
    next_call: AtomicU64,
    summary: Mutex<LiveSummary>,
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl World {
    fn now(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    fn sleep_until(&self, at: f64) {
        std::thread::sleep(Duration::from_secs_f64((at - self.now()).max(0.0)));
    }

    fn saw(&self, seen: Seen) {
        self.trace.add(self.now(), seen);
    }
}

/// A stand-in server's ways: what it does with a set-up, by chance.
fn serve(world: &World, server: usize, stream: TcpStream, seed: u64) -> io::Result<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let write = |line: &Value| (&stream).write_all(format!("{line}\n").as_bytes());
    write(&json!({"type": "state", "id": "", "fields": {"load": "x0:40;x1:40"}}))?;
    for line in BufReader::new(stream.try_clone()?).lines() {
        let line: Value = serde_json::from_str(&line?)?;
        let id = line["id"].as_str().unwrap_or("");
        match line["type"].as_str() {
            Some("ping") => {
                let fields = json!({"load": "x0:40;x1:40;latency_ms:1"});
                write(&json!({"type": "pong", "id": id, "fields": fields, "cause": 1}))?;
            }
            Some("setup") => {
                let session: Arc<str> = id.into();
                world.saw(Seen::SetUp { server, front: 0, session: session.clone(), leg: session });
                match rng.random_range(0..100) {
                    // Turned away, cut, or left without an answer: further tries come from these.
                    0..10 => {
                        let fields = json!({"note": "throttled"});
                        write(&json!({"type": "release", "id": id, "fields": fields, "cause": 34}))?;
                    }
                    10..18 => write(&json!({"type": "release", "id": id, "fields": {}, "cause": 41}))?,
                    18 => {}
                    19 => return stream.shutdown(Shutdown::Both),
                    _ => write(&json!({"type": "answer", "id": id, "fields": {}, "sdp": "77"}))?,
                }
            }
            _ => {}
        }
    }
    Ok(())
}

/// Starts a server; returns its address.
fn server(world: &Arc<World>, number: usize, seed: u64) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let (address, world) = (listener.local_addr()?, world.clone());
    std::thread::spawn(move || {
        for (n, stream) in listener.incoming().flatten().enumerate() {
            let world = world.clone();
            // Ends with its connection.
            std::thread::spawn(move || drop(serve(&world, number, stream, seed ^ n as u64)));
        }
    });
    Ok(address)
}

/// What a caller reads until the final answer to its set-up.
fn final_status(stream: &mut TcpStream) -> io::Result<u16> {
    let (mut text, mut buffer) = (String::new(), [0; 4096]);
    loop {
        let size = stream.read(&mut buffer)?;
        if size == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..size]));
        let statuses = text.split("SIP/2.0 ").skip(1).filter_map(|s| s.get(..3)?.parse::<u16>().ok());
        // Its answers alone come on a connection of its own.
        if let Some(status) = statuses.into_iter().find(|s| *s >= 200).filter(|_| text.contains("\r\n\r\n")) {
            return Ok(status);
        }
    }
}

fn message(method: &str, id: &str, body: &str, dest: usize) -> String {
    format!(
        "{method} sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {id}\r\nCSeq: 1 {method}\r\n\
         X-Service: voice\r\nX-Setup-Ms: {:.0}\r\nX-Route: dest:{dest};width:1;via:-1\r\nContent-Length: {}\r\n\r\n{body}",
        1000.0 * PATIENCE,
        body.len()
    )
}

/// One attach from its connection to its end.
fn call(world: &World, rng: &mut ChaCha8Rng) {
    let front_id = rng.random_range(0..world.fronts.len());
    let front = &world.fronts[front_id];
    if !front.open.load(Ordering::Acquire) {
        return std::thread::sleep(Duration::from_millis(20));
    }
    // Not up, or full: nothing was asked.
    let Ok(mut stream) = TcpStream::connect_timeout(&front.listen, Duration::from_secs(1)) else { return };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(PATIENCE + SLACK)));
    let id = format!("{:016x}", world.next_call.fetch_add(1, Ordering::Relaxed));
    let session: Arc<str> = id.as_str().into();
    let asked = world.now();
    world.saw(Seen::Asked { front: front_id, session: session.clone(), until: asked + PATIENCE });
    let invite = message("INVITE", &id, "9d41\r\n", rng.random_range(0..world.shape.servers));
    if stream.write_all(invite.as_bytes()).is_err() {
        return;
    }
    locked(&world.summary).attaches += 1;
    // Some leave: at once, soon, or while a further try waits out the guard.
    let leaves = match rng.random_range(0..10) {
        0 => Some(Duration::ZERO),
        1 => Some(Duration::from_millis(rng.random_range(1..20))),
        2 => Some(Duration::from_millis(rng.random_range(20..700))),
        _ => None,
    };
    if let Some(after) = leaves {
        std::thread::sleep(after);
        if rng.random_bool(0.3) && stream.write_all(message("CANCEL", &id, "", 0).as_bytes()).is_ok() {
            world.saw(Seen::Withdrawn { session });
            // An answer may have crossed it; either ends this.
            let _ = final_status(&mut stream);
            return;
        }
        let _ = stream.shutdown(Shutdown::Both);
        return world.saw(Seen::Gone { session });
    }
    match final_status(&mut stream) {
        Ok(status) => {
            world.saw(Seen::Answered { session, status, pause: None });
            if status == 200 {
                let bye = [message("ACK", &id, "", 0), message("BYE", &id, "", 0)].concat();
                let _ = stream.write_all(bye.as_bytes());
            }
            let mut summary = locked(&world.summary);
            *(if status == 200 { &mut summary.stood } else { &mut summary.refused }) += 1;
        }
        Err(why) => {
            let killed = locked(&front.killed).iter().any(|at| *at >= asked - 0.05);
            if !killed {
                let after = world.now() - asked;
                locked(&world.summary).lost.push(format!("{id} at front {front_id}, {after:.3} s: {why}"));
            }
        }
    }
}

/// Waits until the front answers a test.
fn wait_ready(world: &World, front_id: FrontId) {
    let front = &world.fronts[front_id];
    let tested = || -> io::Result<bool> {
        let mut stream = TcpStream::connect(front.listen)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(message("OPTIONS", "aaaaaaaaaaaaaaaa", "", 0).as_bytes())?;
        Ok(final_status(&mut stream)? == 200)
    };
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(30) {
        if tested().unwrap_or(false) {
            world.saw(Seen::FrontUp { front: front_id });
            return front.open.store(true, Ordering::Release);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn launch(world: &World, binary: &Path, front_id: FrontId) -> io::Result<()> {
    let front = &world.fronts[front_id];
    let limited = format!("ulimit -n {} && exec {} live", world.shape.descriptors, binary.display());
    let log = std::fs::File::options().create(true).append(true).open(front.config.with_extension("log"))?;
    let mut command = Command::new("/bin/sh");
    command.args(["-c", &limited]).env("ROUTER_LISTEN", front.listen.to_string());
    command.env("ROUTER_CONFIG", &front.config).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    world.saw(Seen::FrontLaunched { front: front_id });
    *locked(&front.child) = Some(command.spawn()?);
    Ok(())
}

fn signal(child: &Child, signal: nix::sys::signal::Signal) {
    // Ended already: seen where it is waited for.
    let _ = nix::sys::signal::kill(nix::unistd::Pid::from_raw(child.id() as i32), signal);
}

/// Restarts one front, in order or not, and waits until it is ready.
fn restart(world: &World, binary: &Path, front_id: FrontId, in_order: bool) -> io::Result<()> {
    let front = &world.fronts[front_id];
    front.open.store(false, Ordering::Release);
    let Some(mut child) = locked(&front.child).take() else { return Ok(()) };
    if child.try_wait()?.is_some() {
        locked(&world.summary).crashed.push(front_id);
    }
    if in_order {
        signal(&child, nix::sys::signal::Signal::SIGTERM);
        std::thread::sleep(Duration::from_secs_f64(STILL_COME));
        let begin = Instant::now();
        while child.try_wait()?.is_none() && begin.elapsed() < ORDERLY_END {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    if child.try_wait()?.is_none() {
        // Before it is: what it answers from here on does not count against it.
        locked(&front.killed).push(world.now());
        child.kill()?;
        child.wait()?;
        world.saw(Seen::FrontKilled { front: front_id });
    }
    launch(world, binary, front_id)?;
    wait_ready(world, front_id);
    Ok(())
}

fn settings(servers: usize) -> Value {
    json!({
        "classes": [{"aim_s": 2.0, "deadline_s": PATIENCE, "late_share": 0.25, "name": "voice", "worth": 1.0}],
        "domain": {"class_cells": [(0..servers).collect::<Vec<_>>()], "guard_s": 0.3, "tells_wait": false},
        "limits": {"cancelling": true, "dial_timeout_s": 0.5, "max_attempts": 4, "max_retry_after_s": 2.0,
            "most_held": 1000, "probes": true, "retry_after": true},
        "safety": {"start_capacity": 0.3, "tip_multiple": 2.0, "warm_after_s": 15.0, "fall_s": 1.0},
        "stats": {"fields": ["free", "size", "latency_ms"]}})
}

fn event(n: u64, members: &[Value]) -> String {
    json!({"n": n, "members": {"revision": n, "complete": n == 1, "members": members}}).to_string()
}

fn member(id: String, address: SocketAddr, cell: usize, phase: &str, up_since_ms: u128) -> Value {
    json!({"id": id, "host_port": address.to_string(), "cell": cell, "phase": phase, "up_since_ms": up_since_ms as u64})
}

fn unix_ms() -> u128 {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    unix.unwrap_or(Duration::ZERO).as_millis()
}

/// Plays one run. A fifth of the time in, one server is replaced by a cold one; fronts are restarted in tenths all along,
/// half of them killed; for the third quarter the feed is away while idle clients fill two fronts, and a server that is
/// new by then must be linked by all after the feed's return.
pub fn play_live(
    binary: &Path,
    folder: &Path,
    seed: u64,
    shape: LiveShape,
) -> io::Result<(Trace, LiveSummary)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let trace = Trace::default();
    let fronts = (0..shape.fronts)
        .map(|n| {
            Ok(Front {
                listen: own_address(seed as u8, n as u8 + 1)?,
                config: folder.join(format!("n{n}.json")),
                child: Mutex::new(None),
                open: AtomicBool::new(false),
                killed: Mutex::default(),
            })
        })
        .collect::<io::Result<Vec<Front>>>()?;
    let (over, next_call, summary) = (AtomicBool::new(false), AtomicU64::new(seed << 32), Mutex::default());
    let world = Arc::new(World {
        shape,
        begin: Instant::now(),
        trace: trace.clone(),
        fronts,
        over,
        next_call,
        summary,
    });

    let addresses =
        (0..shape.servers).map(|n| server(&world, n, rng.random())).collect::<io::Result<Vec<_>>>()?;
    let first: Vec<Value> =
        addresses.iter().enumerate().map(|(n, a)| member(format!("s-{n}"), *a, n, "up", 0)).collect();
    let known: Value = serde_json::from_str(&event(1, &first))?;
    let feed = EventFeed::start(vec![event(1, &first)])?;
    for (n, front) in world.fronts.iter().enumerate() {
        let config = json!({"name": format!("n{n}"), "listen": front.listen.to_string(),
            "seed": format!("{:016x}", rng.random::<u64>()), "feed": feed.address.to_string(),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": shape.descriptors},
            "known": {"n": 1, "events": [known]}, "settings": settings(shape.servers)});
        std::fs::write(&front.config, config.to_string())?;
    }
    for front in 0..shape.fronts {
        launch(&world, binary, front)?;
    }
    (0..shape.fronts).for_each(|front| wait_ready(&world, front));

    let start = world.now();
    let at = |part: f64| start + part * shape.seconds;
    let callers: Vec<_> = (0..shape.callers)
        .map(|_| {
            let (world, mut rng) = (world.clone(), ChaCha8Rng::seed_from_u64(rng.random()));
            std::thread::spawn(move || {
                // So many a second that warm servers bear what is asked, however fast the machine is.
                let asked = LOAD * world.shape.capacity * world.shape.servers as f64;
                let gap = world.shape.callers as f64 / asked;
                while !world.over.load(Ordering::Acquire) {
                    let next = world.now() - gap * (1.0 - rng.random::<f64>()).ln();
                    call(&world, &mut rng);
                    world.sleep_until(next.min(world.now() + 1.0));
                }
            })
        })
        .collect();
    // In tenths, one tenth after the other, over and over.
    let rolling = {
        let (world, binary, mut rng) =
            (world.clone(), binary.to_path_buf(), ChaCha8Rng::seed_from_u64(rng.random()));
        std::thread::spawn(move || -> io::Result<()> {
            let tenth = (shape.fronts / 10).max(1);
            for first in (0..).step_by(tenth) {
                if world.now() > start + 0.9 * shape.seconds {
                    return Ok(());
                }
                let chosen: Vec<(FrontId, bool)> =
                    (first..first + tenth).map(|n| (n % shape.fronts, rng.random())).collect();
                std::thread::scope(|scope| {
                    for (front, in_order) in chosen {
                        let (world, binary) = (&world, &binary);
                        scope.spawn(move || restart(world, binary, front, in_order));
                    }
                });
            }
            Ok(())
        })
    };

    world.sleep_until(at(0.2));
    let cold = server(&world, shape.servers, rng.random())?;
    world.saw(Seen::Started { server: shape.servers, cold: true, capacity: shape.capacity });
    let replaced = [
        member("s-0".into(), addresses[0], 0, "removed", 0),
        member("s-cold".into(), cold, 0, "up", unix_ms()),
    ];
    feed.tell(event(2, &replaced));

    world.sleep_until(at(0.5));
    feed.set_away(true);
    let idle: Vec<TcpStream> = (0..2)
        .flat_map(|front| (0..2 * shape.descriptors).map(move |_| front))
        .filter_map(|front| {
            TcpStream::connect_timeout(&world.fronts[front].listen, Duration::from_millis(200)).ok()
        })
        .collect();
    let new = server(&world, shape.servers + 1, rng.random())?;
    feed.tell(event(3, &[member("s-new".into(), new, 1, "up", 0)]));
    world.sleep_until(at(0.75));
    feed.set_away(false);
    // The idle ones stay until every front has found the feed and the server that it tells of.
    let back = world.now();
    // One that is just being restarted is asked when it is ready again.
    let silent = |f: &&Front| f.open.load(Ordering::Acquire) && !says_linked(f);
    while world.fronts.iter().any(|f| silent(&f)) && world.now() < back + LINKED_WITHIN {
        std::thread::sleep(Duration::from_millis(20));
    }
    let linked_after = world.now() - back;
    // What they say is held against the kernel's tables; these take long to read, so only of those that served before
    // and after it as one process, and said so.
    let serves =
        |f: &Front| locked(&f.child).as_ref().map(Child::id).filter(|_| f.open.load(Ordering::Acquire));
    let without = |f: &&Front| {
        let before = serves(f).filter(|_| says_linked(f));
        before.is_some() && own_connections(f, new) == 0 && serves(f) == before
    };
    let unlinked = world.fronts.iter().filter(without).count();
    drop(idle);

    world.sleep_until(at(1.0));
    world.over.store(true, Ordering::Release);
    for caller in callers {
        let _ = caller.join();
    }
    rolling.join().map_err(|_| io::Error::other("the restarts"))??;
    let mut summary = std::mem::take(&mut *locked(&world.summary));
    summary.unlinked = unlinked;
    summary.linked_after = linked_after;
    for (n, front) in world.fronts.iter().enumerate() {
        let Some(mut child) = locked(&front.child).take() else { continue };
        if child.try_wait()?.is_some() {
            summary.crashed.push(n);
        }
        let _ = child.kill();
        child.wait()?;
    }
    Ok((trace, summary))
}

/// Whether a front has told since its last start that it is linked to the server that is new.
fn says_linked(front: &Front) -> bool {
    let log = std::fs::read_to_string(front.config.with_extension("log")).unwrap_or_default();
    log.rsplit("in service").next().is_some_and(|last| last.contains("link up of=\"s-new\""))
}

/// Connections of a front's process to an address, by the kernel's tables.
fn own_connections(front: &Front, to: SocketAddr) -> usize {
    let Some(id) = locked(&front.child).as_ref().map(Child::id) else { return 0 };
    let inodes: Vec<String> = std::fs::read_dir(format!("/proc/{id}/fd"))
        .into_iter()
        .flatten()
        .flatten()
        .filter_map(|fd| {
            let link = std::fs::read_link(fd.path()).ok()?;
            Some(link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_string())
        })
        .collect();
    let SocketAddr::V4(to) = to else { return 0 };
    let remote = format!("{:08X}:{:04X}", u32::from_le_bytes(to.ip().octets()), to.port());
    let table = std::fs::read_to_string(format!("/proc/{id}/net/tcp")).unwrap_or_default();
    let rows = table.lines().skip(1).map(|l| l.split_whitespace().collect::<Vec<_>>());
    // State 01: established.
    rows.filter(|r| r.len() > 9 && r[2] == remote && r[3] == "01" && inodes.iter().any(|i| i == r[9])).count()
}
