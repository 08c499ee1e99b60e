//! A live front as a child process of a test, with its configuration, callers and signals.

use crate::process::{spawn, wait_until, without_spawning, Front, TIMEOUT};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};
use shalespindle_signalling::{Framer, Message, Start};
use shalespindle_standin::platform::{EventFeed, LineServer};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};
use tempfile::TempDir;

pub fn signal(front: &Front, signal: Signal) {
    kill(Pid::from_raw(front.0.id() as i32), signal).unwrap();
}

/// Runs `act` while the process is stopped, so that everything sent meanwhile is unread when it continues.
pub fn while_stopped(front: &Front, act: impl FnOnce()) {
    signal(front, Signal::SIGSTOP);
    let state = PathBuf::from(format!("/proc/{}/stat", front.0.id()));
    wait_until("the process to stop", || std::fs::read_to_string(&state).is_ok_and(|s| s.contains(") T ")));
    without_spawning(act);
    signal(front, Signal::SIGCONT);
}

/// Event number `n` of the feed: a complete list of servers.
pub fn event(n: u64, servers: &[(&str, SocketAddr)]) -> String {
    let members: Vec<Value> = servers
        .iter()
        .enumerate()
        .map(|(cell, (id, address))| {
            json!({"id": id, "host_port": address.to_string(), "cell": cell, "phase": "up", "up_since_ms": 0})
        })
        .collect();
    json!({"n": n, "members": {"revision": n, "complete": true, "members": members}}).to_string()
}

/// Writes the configuration of a front that starts with the event `known`.
pub fn write_config(path: &Path, listen: SocketAddr, feed: SocketAddr, known: &str) {
    let settings = json!({
        "classes": [{"aim_s": 2.0, "deadline_s": 9.0, "late_share": 0.25, "name": "voice", "worth": 1.0}],
        "domain": {"class_cells": [[0, 1]], "guard_s": 0.5, "tells_wait": false},
        "limits": {"cancelling": true, "dial_timeout_s": 0.5, "max_attempts": 4, "max_retry_after_s": 2.0,
            "most_held": 100, "probes": true, "retry_after": true},
        "safety": {"start_capacity": 0.3, "tip_multiple": 2.0, "warm_after_s": 15.0},
        "stats": {"fields": ["free", "size", "latency_ms"]}});
    let known: Value = serde_json::from_str(known).unwrap();
    let config = json!({"name": "n0", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "feed": feed.to_string(),
        "known": {"n": 1, "events": [known]}, "settings": settings});
    std::fs::write(path, config.to_string()).unwrap();
}

/// A message from the front.
pub struct Received {
    /// Status code or method.
    pub kind: String,
    pub call_id: String,
    pub body: String,
}

/// A caller with one TCP connection.
pub struct Caller {
    pub stream: TcpStream,
    framer: Framer,
}

impl Caller {
    /// Connects to a front, waiting until it listens.
    pub fn new(to: SocketAddr) -> Caller {
        let start = Instant::now();
        let stream = loop {
            match TcpStream::connect(to) {
                Ok(stream) => break stream,
                Err(error) => assert!(start.elapsed() < TIMEOUT, "the front does not listen: {error}"),
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        Caller::with_stream(stream)
    }

    fn with_stream(stream: TcpStream) -> Caller {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        // Each write must be readable by the front at once, so it may not wait for acknowledgements of
        // earlier data.
        stream.set_nodelay(true).unwrap();
        Caller { stream, framer: Framer::default() }
    }

    /// Connects with minimal socket buffers on both sides, so that unread answers soon block the front.
    pub fn with_small_buffers(to: SocketAddr) -> Caller {
        drop(Caller::accepted(to));
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        // Small segments make the kernel use a small send buffer on the other side too.
        socket.set_tcp_mss(536).unwrap();
        socket.connect(&to.into()).unwrap();
        Caller::with_stream(socket.into())
    }

    /// Sends a request on a call with a set-up time of 9 s.
    pub fn send(&mut self, method: &str, call: &str, body: &str) {
        self.send_with(method, call, "dest:0;width:1;via:-1", body);
    }

    /// Hands over a call that is already established at that server.
    pub fn hand_over(&mut self, call: &str, server: &str) {
        self.send_with("INVITE", call, &format!("at:{server}"), "x");
    }

    fn send_with(&mut self, method: &str, call: &str, route: &str, body: &str) {
        let text = format!(
            "{method} sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\n\
             CSeq: 1 {method}\r\nX-Service: voice\r\nX-Setup-Ms: 9000\r\nX-Route: {route}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Connects and waits until the front has answered a test on the connection.
    pub fn accepted(to: SocketAddr) -> Caller {
        let mut caller = Caller::new(to);
        caller.send("OPTIONS", "aaaaaaaaaaaaaaaa", "");
        assert_eq!(caller.next().0, "200");
        caller
    }

    /// Returns status or method and the body of the next message.
    pub fn next(&mut self) -> (String, String) {
        let received = self.next_message();
        (received.kind, received.body)
    }

    /// Waits for the next message.
    pub fn next_message(&mut self) -> Received {
        let mut buffer = [0; 4096];
        loop {
            if let Some(frame) = self.framer.next_frame().unwrap() {
                let message = Message::parse(frame).unwrap();
                let kind = match message.start {
                    Start::Response { status, .. } => status.to_string(),
                    Start::Request { method, .. } => method.to_string(),
                };
                let call_id = message.call_id().unwrap_or("").to_string();
                return Received { kind, call_id, body: String::from_utf8(message.body.to_vec()).unwrap() };
            }
            let size = self.stream.read(&mut buffer).unwrap();
            assert!(size > 0, "the front closed the connection");
            self.framer.push(&buffer[..size]);
        }
    }

    /// Establishes a call at a server: set up, answered, confirmed.
    pub fn establish(&mut self, call: &str, server: &LineServer) {
        self.send("INVITE", call, "9d41\r\n");
        let set_up = server.expect("setup", TIMEOUT).unwrap();
        assert_eq!(set_up.id(), call);
        set_up.reply(&json!({"type": "answer", "id": call, "fields": {}, "sdp": "77"})).unwrap();
        assert_eq!(self.next_message().kind, "200");
        self.send("ACK", call, "");
    }

    /// Answers the BYE of a call.
    pub fn confirm_release(&mut self, call: &str) {
        let text = format!(
            "SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n"
        );
        self.stream.write_all(text.as_bytes()).unwrap();
    }
}

/// A live front in service with stand-in servers (`s-0`, `s-1` and so on, a pool each) and its feed.
pub struct Live {
    pub front: Front,
    pub listen: SocketAddr,
    pub servers: Vec<LineServer>,
    pub feed: EventFeed,
    folder: TempDir,
}

impl Live {
    /// Starts a front with this many servers.
    pub fn start(servers: usize) -> Live {
        Live::with_servers((0..servers).map(|_| LineServer::start().unwrap()).collect())
    }

    /// Starts a front with these servers.
    pub fn with_servers(servers: Vec<LineServer>) -> Live {
        let names: Vec<String> = (0..servers.len()).map(|n| format!("s-{n}")).collect();
        let listed: Vec<(&str, SocketAddr)> =
            names.iter().zip(&servers).map(|(name, server)| (name.as_str(), server.address)).collect();
        let known = event(1, &listed);
        let feed = EventFeed::start(vec![known.clone()]).unwrap();
        let listen = free_address();
        let folder = tempfile::tempdir().unwrap();
        write_config(&folder.path().join("config.json"), listen, feed.address, &known);
        let front = run(&folder.path().join("config.json"), listen);
        Live { front, listen, servers, feed, folder }
    }

    pub fn config(&self) -> PathBuf {
        self.folder.path().join("config.json")
    }

    /// Returns what the front has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.config().with_extension("log")).unwrap_or_default()
    }

    /// Runs `act` while the process is stopped, so that everything sent meanwhile is unread when it
    /// continues.
    pub fn while_stopped(&self, act: impl FnOnce()) {
        while_stopped(&self.front, act);
    }

    /// Waits for the process to exit.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        wait_until("the front to exit", || self.front.0.try_wait().unwrap().is_some());
        self.front.0.wait().unwrap()
    }
}

/// Returns a loopback address that nothing else uses: each call in each test process takes another host of
/// 127.0.0.0/8. A free port of 127.0.0.1 could be taken by another process before the test uses it.
pub fn free_address() -> SocketAddr {
    static CALLS: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = [127, high.max(1), low, CALLS.fetch_add(1, Ordering::Relaxed)];
    TcpListener::bind((Ipv4Addr::from(host), 0)).unwrap().local_addr().unwrap()
}

/// Starts a live front with that configuration; its log goes to a file with the extension `log` beside it.
pub fn run(config: &Path, listen: SocketAddr) -> Front {
    let mut command = Command::new(env!("CARGO_BIN_EXE_shalespindle"));
    command.arg("live").env("ROUTER_NAME", "n0").env("ROUTER_LISTEN", listen.to_string());
    let log = std::fs::File::create(config.with_extension("log")).unwrap();
    command.env("ROUTER_CONFIG", config).stdout(Stdio::null()).stderr(log);
    spawn(&mut command)
}

/// Starts a live front that may open only this many descriptors, and states that limit in its configuration.
pub fn run_limited(config: &Path, listen: SocketAddr, sockets: usize) -> Front {
    let text = std::fs::read_to_string(config).unwrap();
    std::fs::write(config, text.replace("\"sockets\":256", &format!("\"sockets\":{sockets}"))).unwrap();
    let limited = format!("ulimit -n {sockets} && exec {} live", env!("CARGO_BIN_EXE_shalespindle"));
    let mut command = Command::new("/bin/sh");
    command.args(["-c", &limited]).env("ROUTER_NAME", "n0").env("ROUTER_LISTEN", listen.to_string());
    command.env("ROUTER_CONFIG", config).stdout(Stdio::null()).stderr(Stdio::null());
    spawn(&mut command)
}
