//! Fronts under trial: real processes, their configuration, signals and restarts.

use crate::record::{locked, Event, FrontId, Recorder};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The settings of a trial that the checker and the callers need too, seconds.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub deadline: f64,
    pub guard: f64,
    pub dial_timeout: f64,
    pub max_descriptors: usize,
    pub probes: bool,
}

/// SIGKILL comes no sooner than the longest deadline, counted as this at most, and `KILL_MARGIN` after SIGTERM.
const MAX_DEADLINE_COUNTED: f64 = 3.0;
const KILL_MARGIN: f64 = 0.7;
/// Between two looks at a process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const READY_TIMEOUT: f64 = 30.0;

impl Settings {
    /// The earliest time of SIGKILL after SIGTERM.
    pub fn kill_after(&self) -> f64 {
        self.deadline.min(MAX_DEADLINE_COUNTED) + KILL_MARGIN
    }

    fn json(&self, pools: usize) -> Value {
        json!({
            "classes": [{"aim_s": 0.6 * self.deadline, "deadline_s": self.deadline, "late_share": 0.25, "name": "voice", "worth": 1.0}],
            "domain": {"class_cells": [(0..pools).collect::<Vec<_>>()], "guard_s": self.guard, "tells_wait": false},
            "limits": {"cancelling": true, "dial_timeout_s": self.dial_timeout, "max_attempts": 4,
                "max_retry_after_s": 2.0, "most_held": 2000, "probes": self.probes, "retry_after": true},
            "safety": {"start_capacity": 0.3, "tip_multiple": 2.0, "warm_after_s": 5.0, "fall_s": 1.0},
            "stats": {"fields": ["free", "size", "latency_ms"]}})
    }
}

struct Process {
    child: Option<Child>,
    terminated: bool,
}

/// One front; its process comes and goes.
pub struct Front {
    pub id: FrontId,
    pub listen: SocketAddr,
    config: PathBuf,
    binary: PathBuf,
    settings: Settings,
    pools: usize,
    process: Mutex<Process>,
    /// New connections come to it.
    pub accepts_connections: AtomicBool,
    launches: AtomicU64,
    recorder: Recorder,
}

impl Front {
    pub fn new(
        id: FrontId,
        host: Ipv4Addr,
        folder: &Path,
        binary: &Path,
        settings: Settings,
        pools: usize,
        recorder: &Recorder,
    ) -> io::Result<Arc<Front>> {
        Ok(Arc::new(Front {
            id,
            listen: TcpListener::bind((host, 0))?.local_addr()?,
            config: folder.join(format!("n{id}.json")),
            binary: binary.to_path_buf(),
            settings,
            pools,
            process: Mutex::new(Process { child: None, terminated: false }),
            accepts_connections: AtomicBool::new(false),
            launches: AtomicU64::new(0),
            recorder: recorder.clone(),
        }))
    }

    /// Writes its configuration: discovery's address and all events so far.
    pub fn configure(&self, discovery: SocketAddr, events: &[String]) -> io::Result<()> {
        let known_events: Vec<Value> = events.iter().filter_map(|e| serde_json::from_str(e).ok()).collect();
        let start = self.launches.load(Ordering::Relaxed);
        let config = json!({"name": format!("n{}", self.id), "listen": self.listen.to_string(),
            "seed": format!("{:016x}", 0x8c1f_30d2 + 97 * self.id as u64 + start), "feed": discovery.to_string(),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.settings.max_descriptors},
            "known": {"n": known_events.len(), "events": known_events}, "settings": self.settings.json(self.pools)});
        let new = self.config.with_extension("new");
        std::fs::write(&new, config.to_string())?;
        std::fs::rename(new, &self.config)
    }

    /// Starts its process and waits until it passes a test.
    pub fn launch(&self) -> io::Result<()> {
        self.launches.fetch_add(1, Ordering::Relaxed);
        let limited =
            format!("ulimit -n {} && exec {} live", self.settings.max_descriptors, self.binary.display());
        let log = std::fs::File::options().create(true).append(true).open(self.log_path())?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &limited]).env("ROUTER_LISTEN", self.listen.to_string());
        command.env("ROUTER_CONFIG", &self.config).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        if std::env::var_os("RUST_LOG").is_none() {
            command.env("RUST_LOG", "debug,may=warn");
        }
        self.recorder.record(Event::Launched { front: self.id });
        *locked(&self.process) = Process { child: Some(command.spawn()?), terminated: false };
        let begin = self.recorder.now();
        while self.recorder.now() - begin < READY_TIMEOUT {
            if self.answers_options().unwrap_or(false) {
                self.recorder.record(Event::Ready { front: self.id });
                self.accepts_connections.store(true, Ordering::Release);
                return Ok(());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    pub fn log_path(&self) -> PathBuf {
        self.config.with_extension("log")
    }

    fn answers_options(&self) -> io::Result<bool> {
        let mut stream = TcpStream::connect(self.listen)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(
            b"OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: aaaaaaaaaaaaaaaa\r\n\
              CSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n",
        )?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer)?;
        Ok(answer.starts_with(b"SIP/2.0 200"))
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &locked(&self.process).child {
            // Ended already: seen where it is waited for.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// SIGTERM; callers still connect for a moment.
    pub fn terminate(&self) {
        self.recorder.record(Event::Terminated { front: self.id });
        locked(&self.process).terminated = true;
        self.signal(Signal::SIGTERM);
    }

    /// SIGKILL, where it has not ended by itself.
    pub fn kill(&self) -> io::Result<()> {
        self.accepts_connections.store(false, Ordering::Release);
        self.check_exit()?;
        let mut process = locked(&self.process);
        let Some(mut child) = process.child.take() else { return Ok(()) };
        child.kill()?;
        child.wait()?;
        self.recorder.record(Event::Killed { front: self.id });
        Ok(())
    }

    /// The trial is over: its process ends with it, unseen.
    pub fn stop(&self) -> io::Result<()> {
        let Some(mut child) = locked(&self.process).child.take() else { return Ok(()) };
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Whether its process has ended by itself; seen once.
    pub fn check_exit(&self) -> io::Result<bool> {
        let mut process = locked(&self.process);
        let ended = match &mut process.child {
            Some(child) => child.try_wait()?.is_some(),
            None => return Ok(true),
        };
        if ended {
            process.child = None;
            self.accepts_connections.store(false, Ordering::Release);
            self.recorder.record(Event::Exited { front: self.id });
        }
        Ok(ended)
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        if let Some(mut child) = locked(&self.process).child.take() {
            // Ended already: so much the better.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
