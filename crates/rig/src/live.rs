//! Runs `live` fronts of the operators' platform as processes, with stand-in servers, a feed and callers,
//! under graceful restarts and kills drawn from a seed. The events are recorded in a trace for the checkers.

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
    /// Number of callers; each makes one attach at a time.
    pub callers: usize,
    /// Nominal capacity of a warm server in set-ups per second; the stand-ins do not slow down under load.
    pub capacity: f64,
    pub seconds: f64,
    /// Limit of file descriptors of each front, in its configuration and as `ulimit -n`.
    pub descriptors: usize,
}

/// The result of a run, in addition to its trace.
#[derive(Clone, Debug, Default)]
pub struct LiveSummary {
    pub attaches: u64,
    pub established: u64,
    pub refused: u64,
    /// Attaches that a front never answered although it was not killed meanwhile.
    pub lost: Vec<String>,
    /// Fronts that ended unexpectedly.
    pub crashed: Vec<FrontId>,
    /// Fronts that logged a link to the new server but have no connection to it long after the feed came
    /// back.
    pub unlinked: usize,
    /// Time from the feed's return until the last front had connected to the server that the feed added,
    /// measured for up to `LINK_TIMEOUT`; seconds.
    pub linked_after: f64,
}

/// Time that a caller waits for an answer, and the tolerance for late answers; seconds.
const PATIENCE: f64 = 3.0;
const ANSWER_SLACK: f64 = 0.5;
/// Callers may still connect to a front for at most this time after its SIGTERM, seconds.
const CONNECT_AFTER_SIGTERM: f64 = 0.3;
/// Rate of attaches as a share of the capacity of all warm servers; further setup tries come on top.
const LOAD_SHARE: f64 = 0.8;
/// Maximum time for all fronts, including those that restart meanwhile, to find the feed again; seconds.
const LINK_TIMEOUT: f64 = 10.0;
/// A front that has not ended by then after SIGTERM is killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(8);

/// The address at which a front of a run listens. Each front has a loopback host of its own, so that no other
/// process can use its port.
pub fn own_address(run_number: u8, host_number: u8) -> io::Result<SocketAddr> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, (high % 100) + 100 + run_number % 50, low, host_number.max(1));
    TcpListener::bind((host, 0))?.local_addr()
}

struct Front {
    listen: SocketAddr,
    config: PathBuf,
    child: Mutex<Option<Child>>,
    /// Whether callers may connect.
    open: AtomicBool,
    /// Times at which it was killed with SIGKILL.
    killed: Mutex<Vec<f64>>,
}

/// State shared by the threads of a run.
struct Run {
    shape: LiveShape,
    begin: Instant,
    trace: Trace,
    fronts: Vec<Front>,
    ended: AtomicBool,
    next_call: AtomicU64,
    summary: Mutex<LiveSummary>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Run {
    fn now(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    fn sleep_until(&self, at: f64) {
        std::thread::sleep(Duration::from_secs_f64((at - self.now()).max(0.0)));
    }

    fn record(&self, seen: Seen) {
        self.trace.add(self.now(), seen);
    }
}

/// Serves one connection of a stand-in server; the reaction to each set-up is drawn at random.
fn serve_connection(run: &Run, server: usize, stream: TcpStream, seed: u64) -> io::Result<()> {
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
                run.record(Seen::SetUp { server, front: 0, session: session.clone(), leg: session });
                match rng.random_range(0..100) {
                    // Refused, cut or left unanswered: these cause further setup tries.
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

/// Starts a stand-in server; returns its address.
fn start_server(run: &Arc<Run>, number: usize, seed: u64) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let (address, run) = (listener.local_addr()?, run.clone());
    std::thread::spawn(move || {
        for (n, stream) in listener.incoming().flatten().enumerate() {
            let run = run.clone();
            // The thread ends with its connection.
            std::thread::spawn(move || drop(serve_connection(&run, number, stream, seed ^ n as u64)));
        }
    });
    Ok(address)
}

/// Reads until the final response and returns its status.
fn final_status(stream: &mut TcpStream) -> io::Result<u16> {
    let (mut text, mut buffer) = (String::new(), [0; 4096]);
    loop {
        let size = stream.read(&mut buffer)?;
        if size == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..size]));
        let statuses = text.split("SIP/2.0 ").skip(1).filter_map(|s| s.get(..3)?.parse::<u16>().ok());
        // The connection carries only the responses to this one request.
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

/// Makes one attach at a random front, from the connection to its end.
fn call(run: &Run, rng: &mut ChaCha8Rng) {
    let front_id = rng.random_range(0..run.fronts.len());
    let front = &run.fronts[front_id];
    if !front.open.load(Ordering::Acquire) {
        return std::thread::sleep(Duration::from_millis(20));
    }
    // The front is down or full: no attach was made.
    let Ok(mut stream) = TcpStream::connect_timeout(&front.listen, Duration::from_secs(1)) else { return };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(PATIENCE + ANSWER_SLACK)));
    let id = format!("{:016x}", run.next_call.fetch_add(1, Ordering::Relaxed));
    let session: Arc<str> = id.as_str().into();
    let asked = run.now();
    run.record(Seen::Asked { front: front_id, session: session.clone(), until: asked + PATIENCE });
    let invite = message("INVITE", &id, "9d41\r\n", rng.random_range(0..run.shape.servers));
    if stream.write_all(invite.as_bytes()).is_err() {
        return;
    }
    lock(&run.summary).attaches += 1;
    // Some callers leave: at once, soon, or while a further setup try waits for the guard time.
    let leaves = match rng.random_range(0..10) {
        0 => Some(Duration::ZERO),
        1 => Some(Duration::from_millis(rng.random_range(1..20))),
        2 => Some(Duration::from_millis(rng.random_range(20..700))),
        _ => None,
    };
    if let Some(after) = leaves {
        std::thread::sleep(after);
        if rng.random_bool(0.3) && stream.write_all(message("CANCEL", &id, "", 0).as_bytes()).is_ok() {
            run.record(Seen::Withdrawn { session });
            // An answer may have crossed the CANCEL; any final response ends the attach.
            let _ = final_status(&mut stream);
            return;
        }
        let _ = stream.shutdown(Shutdown::Both);
        return run.record(Seen::Gone { session });
    }
    match final_status(&mut stream) {
        Ok(status) => {
            run.record(Seen::Answered { session, status, pause: None });
            if status == 200 {
                let bye = [message("ACK", &id, "", 0), message("BYE", &id, "", 0)].concat();
                let _ = stream.write_all(bye.as_bytes());
            }
            let mut summary = lock(&run.summary);
            *(if status == 200 { &mut summary.established } else { &mut summary.refused }) += 1;
        }
        Err(error) => {
            let killed = lock(&front.killed).iter().any(|at| *at >= asked - 0.05);
            if !killed {
                let after = run.now() - asked;
                lock(&run.summary).lost.push(format!("{id} at front {front_id}, {after:.3} s: {error}"));
            }
        }
    }
}

/// Waits until the front answers OPTIONS with 200, then lets callers connect.
fn wait_until_ready(run: &Run, front_id: FrontId) {
    let front = &run.fronts[front_id];
    let answers_options = || -> io::Result<bool> {
        let mut stream = TcpStream::connect(front.listen)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(message("OPTIONS", "aaaaaaaaaaaaaaaa", "", 0).as_bytes())?;
        Ok(final_status(&mut stream)? == 200)
    };
    let begin = Instant::now();
    while begin.elapsed() < Duration::from_secs(30) {
        if answers_options().unwrap_or(false) {
            run.record(Seen::FrontUp { front: front_id });
            return front.open.store(true, Ordering::Release);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn launch(run: &Run, binary: &Path, front_id: FrontId) -> io::Result<()> {
    let front = &run.fronts[front_id];
    let shell_command = format!("ulimit -n {} && exec {} live", run.shape.descriptors, binary.display());
    let log = std::fs::File::options().create(true).append(true).open(front.config.with_extension("log"))?;
    let mut command = Command::new("/bin/sh");
    command.args(["-c", &shell_command]).env("ROUTER_LISTEN", front.listen.to_string());
    command.env("ROUTER_CONFIG", &front.config).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    run.record(Seen::FrontLaunched { front: front_id });
    *lock(&front.child) = Some(command.spawn()?);
    Ok(())
}

fn signal(child: &Child, signal: nix::sys::signal::Signal) {
    // Fails if the process has ended already; the caller finds that out when it waits for the process.
    let _ = nix::sys::signal::kill(nix::unistd::Pid::from_raw(child.id() as i32), signal);
}

/// Restarts one front, gracefully or by SIGKILL, and waits until it is ready.
fn restart(run: &Run, binary: &Path, front_id: FrontId, graceful: bool) -> io::Result<()> {
    let front = &run.fronts[front_id];
    front.open.store(false, Ordering::Release);
    let Some(mut child) = lock(&front.child).take() else { return Ok(()) };
    if child.try_wait()?.is_some() {
        lock(&run.summary).crashed.push(front_id);
    }
    if graceful {
        signal(&child, nix::sys::signal::Signal::SIGTERM);
        std::thread::sleep(Duration::from_secs_f64(CONNECT_AFTER_SIGTERM));
        let begin = Instant::now();
        while child.try_wait()?.is_none() && begin.elapsed() < SHUTDOWN_TIMEOUT {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    if child.try_wait()?.is_none() {
        // Recorded before the kill: attaches that are not answered from here on are not counted as lost.
        lock(&front.killed).push(run.now());
        child.kill()?;
        child.wait()?;
        run.record(Seen::FrontKilled { front: front_id });
    }
    launch(run, binary, front_id)?;
    wait_until_ready(run, front_id);
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

/// Runs one trial. After a fifth of the time, one server is replaced by a cold one. Throughout, a tenth of
/// the fronts at a time is restarted, half of them by SIGKILL. During the third quarter the feed is
/// unavailable and idle clients fill two fronts; a server that is added then must be connected to by all
/// fronts after the feed's return.
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
    let (ended, next_call, summary) = (AtomicBool::new(false), AtomicU64::new(seed << 32), Mutex::default());
    let run = Arc::new(Run {
        shape,
        begin: Instant::now(),
        trace: trace.clone(),
        fronts,
        ended,
        next_call,
        summary,
    });

    let addresses =
        (0..shape.servers).map(|n| start_server(&run, n, rng.random())).collect::<io::Result<Vec<_>>>()?;
    let first: Vec<Value> =
        addresses.iter().enumerate().map(|(n, a)| member(format!("s-{n}"), *a, n, "up", 0)).collect();
    let known: Value = serde_json::from_str(&event(1, &first))?;
    let feed = EventFeed::start(vec![event(1, &first)])?;
    for (n, front) in run.fronts.iter().enumerate() {
        let config = json!({"name": format!("n{n}"), "listen": front.listen.to_string(),
            "seed": format!("{:016x}", rng.random::<u64>()), "feed": feed.address.to_string(),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": shape.descriptors},
            "known": {"n": 1, "events": [known]}, "settings": settings(shape.servers)});
        std::fs::write(&front.config, config.to_string())?;
    }
    for front in 0..shape.fronts {
        launch(&run, binary, front)?;
    }
    (0..shape.fronts).for_each(|front| wait_until_ready(&run, front));

    let start = run.now();
    let at = |fraction: f64| start + fraction * shape.seconds;
    let callers: Vec<_> = (0..shape.callers)
        .map(|_| {
            let (run, mut rng) = (run.clone(), ChaCha8Rng::seed_from_u64(rng.random()));
            std::thread::spawn(move || {
                // A rate that warm servers can carry, whatever the speed of the machine.
                let attach_rate = LOAD_SHARE * run.shape.capacity * run.shape.servers as f64;
                let gap = run.shape.callers as f64 / attach_rate;
                while !run.ended.load(Ordering::Acquire) {
                    let next = run.now() - gap * (1.0 - rng.random::<f64>()).ln();
                    call(&run, &mut rng);
                    run.sleep_until(next.min(run.now() + 1.0));
                }
            })
        })
        .collect();
    // Restarts the fronts one tenth after the other, in rotation.
    let restarts = {
        let (run, binary, mut rng) =
            (run.clone(), binary.to_path_buf(), ChaCha8Rng::seed_from_u64(rng.random()));
        std::thread::spawn(move || -> io::Result<()> {
            let tenth = (shape.fronts / 10).max(1);
            for first in (0..).step_by(tenth) {
                if run.now() > start + 0.9 * shape.seconds {
                    return Ok(());
                }
                let chosen: Vec<(FrontId, bool)> =
                    (first..first + tenth).map(|n| (n % shape.fronts, rng.random())).collect();
                std::thread::scope(|scope| {
                    for (front, graceful) in chosen {
                        let (run, binary) = (&run, &binary);
                        scope.spawn(move || restart(run, binary, front, graceful));
                    }
                });
            }
            Ok(())
        })
    };

    run.sleep_until(at(0.2));
    let cold = start_server(&run, shape.servers, rng.random())?;
    run.record(Seen::Started { server: shape.servers, cold: true, capacity: shape.capacity });
    let replaced = [
        member("s-0".into(), addresses[0], 0, "removed", 0),
        member("s-cold".into(), cold, 0, "up", unix_ms()),
    ];
    feed.tell(event(2, &replaced));

    run.sleep_until(at(0.5));
    feed.set_away(true);
    let idle: Vec<TcpStream> = (0..2)
        .flat_map(|front| (0..2 * shape.descriptors).map(move |_| front))
        .filter_map(|front| {
            TcpStream::connect_timeout(&run.fronts[front].listen, Duration::from_millis(200)).ok()
        })
        .collect();
    let new = start_server(&run, shape.servers + 1, rng.random())?;
    feed.tell(event(3, &[member("s-new".into(), new, 1, "up", 0)]));
    run.sleep_until(at(0.75));
    feed.set_away(false);
    // The idle clients stay until every front has found the feed and the server that it added.
    let back = run.now();
    // A front that is being restarted is checked when it is ready again.
    let not_linked = |f: &&Front| f.open.load(Ordering::Acquire) && !has_logged_link(f);
    while run.fronts.iter().any(|f| not_linked(&f)) && run.now() < back + LINK_TIMEOUT {
        std::thread::sleep(Duration::from_millis(20));
    }
    let linked_after = run.now() - back;
    let unlinked = run.fronts.iter().filter(|front| lacks_connection(front, new)).count();
    drop(idle);

    run.sleep_until(at(1.0));
    run.ended.store(true, Ordering::Release);
    for caller in callers {
        let _ = caller.join();
    }
    restarts.join().map_err(|_| io::Error::other("the thread that restarts the fronts panicked"))??;
    let mut summary = std::mem::take(&mut *lock(&run.summary));
    summary.unlinked = unlinked;
    summary.linked_after = linked_after;
    for (n, front) in run.fronts.iter().enumerate() {
        let Some(mut child) = lock(&front.child).take() else { continue };
        if child.try_wait()?.is_some() {
            summary.crashed.push(n);
        }
        let _ = child.kill();
        child.wait()?;
    }
    Ok((trace, summary))
}

/// Whether a front has logged since its last start that its link to the new server is up.
fn has_logged_link(front: &Front) -> bool {
    logged_links(front).iter().any(|line| line.contains("link up"))
}

/// What a front's present process has logged of its links to the new server.
fn logged_links(front: &Front) -> Vec<String> {
    let log = std::fs::read_to_string(front.config.with_extension("log")).unwrap_or_default();
    let last_process = log.rsplit("in service").next().unwrap_or_default();
    last_process.lines().filter(|line| line.contains("of=\"s-new\"")).map(str::to_string).collect()
}

/// Whether a front has logged a link to the new server without a connection in the kernel's tables. Reading
/// these takes long: a link that a server resets meanwhile is replaced within a millisecond, and a front may
/// be restarted. So a reading counts only if the same process had the same log before and after it.
fn lacks_connection(front: &Front, new: SocketAddr) -> bool {
    let serving_process =
        || lock(&front.child).as_ref().map(Child::id).filter(|_| front.open.load(Ordering::Acquire));
    loop {
        let before = (serving_process(), logged_links(front));
        if before.0.is_none() || !has_logged_link(front) || count_connections(front, new) > 0 {
            return false;
        }
        if before == (serving_process(), logged_links(front)) {
            return true;
        }
    }
}

/// Number of connections of a front's process to an address, by the kernel's tables.
fn count_connections(front: &Front, to: SocketAddr) -> usize {
    let Some(id) = lock(&front.child).as_ref().map(Child::id) else { return 0 };
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
