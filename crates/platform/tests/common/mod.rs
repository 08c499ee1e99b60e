//! A front with a simulated clock and scripted peers, without I/O.

// Each test binary uses a part of this module.
#![allow(dead_code)]

use shalespindle_platform::{read_file, ConnectionId, Edge, LogRecord, Loss, Output};
use shalespindle_signalling::{Message, Start};
use std::collections::BTreeMap;

/// Unix time, in seconds, when the simulated clock is at `BEGIN`.
pub const UNIX: f64 = 1.7e9;
pub const BEGIN: f64 = 1e6;
/// The line a server sends first on a connection, and later without a request.
pub const STATE: &str = r#"{"type":"state","id":"","fields":{"load":"x0:40;x1:40"}}"#;

pub fn settings() -> String {
    r#"{"classes": [{"aim_s": 2.0, "deadline_s": 9.0, "late_share": 0.25, "name": "voice", "worth": 1.0}],
        "domain": {"class_cells": [[0, 1, 2]], "guard_s": 0.5, "tells_wait": false},
        "limits": {"cancelling": true, "dial_timeout_s": 0.5, "max_attempts": 4, "max_retry_after_s": 2.0,
        "most_held": 50, "probes": true, "retry_after": true}, "safety": {"start_capacity": 0.29,
        "tip_multiple": 2.0, "warm_after_s": 15.0}, "stats": {"fields": ["free", "size", "latency_ms"]}}"#
        .into()
}

pub fn member(id: &str, cell: u16, phase: &str, up_since_ms: u64) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"127.0.0.1:{}","cell":{cell},"phase":"{phase}","up_since_ms":{up_since_ms}}}"#,
        6000 + cell
    )
}

pub fn event(n: u64, complete: bool, members: &[String]) -> String {
    format!(
        r#"{{"n":{n},"members":{{"revision":1,"complete":{complete},"members":[{}]}}}}"#,
        members.join(",")
    )
}

pub fn file(known: &[String], feed: u16) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"feed":"127.0.0.1:{feed}",
            "known":{{"n":{},"events":[{}]}},"settings":{}}}"#,
        known.len(),
        known.join(","),
        settings()
    )
}

/// A front, its clock, and the outputs it has produced.
pub struct TestFront {
    pub edge: Edge,
    pub now: f64,
    /// Bytes written to each connection that the test has not taken yet.
    pub written: BTreeMap<ConnectionId, Vec<u8>>,
    /// All writes in order with their times; a close is recorded without bytes.
    pub log: Vec<(f64, ConnectionId, Option<Vec<u8>>)>,
    pub dials: Vec<(ConnectionId, u16)>,
    /// The time limit of each dial, seconds.
    pub dial_timeouts: BTreeMap<ConnectionId, f64>,
    pub closed: Vec<(ConnectionId, bool)>,
    pub records: Vec<LogRecord>,
    last_client: ConnectionId,
}

impl TestFront {
    /// A front that knows `servers` signalling servers, named `s0`, `s1` and so on, none of them linked.
    pub fn new(servers: u16) -> TestFront {
        let members: Vec<String> = (0..servers).map(|c| member(&format!("s{c}"), c, "up", 0)).collect();
        TestFront::from(&file(&[event(1, true, &members)], 4222))
    }

    pub fn from(text: &str) -> TestFront {
        let edge = Edge::new(read_file(text.as_bytes()).unwrap(), BEGIN, UNIX).unwrap();
        let mut front = TestFront {
            edge,
            now: BEGIN,
            written: BTreeMap::new(),
            log: Vec::new(),
            dials: Vec::new(),
            dial_timeouts: BTreeMap::new(),
            closed: Vec::new(),
            records: Vec::new(),
            last_client: 0,
        };
        front.poll();
        front
    }

    /// The same with a link to every server.
    pub fn with_links(servers: u16) -> (TestFront, Vec<ConnectionId>) {
        let mut front = TestFront::new(servers);
        let links = (0..servers).map(|cell| front.bring_up_link(cell)).collect();
        (front, links)
    }

    pub fn poll(&mut self) {
        self.edge.poll(self.now);
        while let Some(output) = self.edge.next_output() {
            match output {
                Output::Dial { connection, to, timeout } => {
                    self.dials.push((connection, to.port()));
                    self.dial_timeouts.insert(connection, timeout);
                }
                Output::Write { connection, bytes } => {
                    self.log.push((self.now, connection, Some(bytes.clone())));
                    self.written.entry(connection).or_default().extend(bytes);
                }
                Output::Close { connection, reset } => {
                    self.log.push((self.now, connection, None));
                    self.closed.push((connection, reset));
                }
                Output::Log(record) => self.records.push(record),
            }
        }
    }

    /// Advances the clock and polls whenever the front asks for it.
    pub fn advance(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.edge.wake_at() <= until {
            self.now = self.edge.wake_at().max(self.now + 1e-6);
            self.poll();
        }
        self.now = until;
        self.poll();
    }

    /// Takes the pending dial to a server's address.
    pub fn take_dial(&mut self, cell: u16) -> ConnectionId {
        let position = self.dials.iter().position(|d| d.1 == 6000 + cell);
        self.dials.remove(position.unwrap_or_else(|| panic!("pool {cell} is not dialled"))).0
    }

    pub fn is_feed_dialled(&self, port: u16) -> bool {
        self.dials.iter().any(|d| d.1 == port)
    }

    pub fn take_feed_dial(&mut self, port: u16) -> ConnectionId {
        let position = self.dials.iter().rposition(|d| d.1 == port).expect("the feed is not dialled");
        self.dials.remove(position).0
    }

    /// Completes the pending dial to a server, which then sends its state.
    pub fn bring_up_link(&mut self, cell: u16) -> ConnectionId {
        let connection = self.take_dial(cell);
        self.edge.connected(self.now, connection);
        self.send_line(connection, STATE);
        connection
    }

    /// Receives a line from a server.
    pub fn send_line(&mut self, connection: ConnectionId, line: &str) {
        self.bytes(connection, format!("{line}\n").as_bytes());
    }

    pub fn bytes(&mut self, connection: ConnectionId, bytes: &[u8]) {
        self.edge.bytes(self.now, self.now, connection, bytes);
        self.poll();
    }

    pub fn lose_connection(&mut self, connection: ConnectionId, loss: Loss) {
        self.edge.lost(self.now, connection, loss);
        self.poll();
    }

    /// Opens a client connection.
    pub fn client(&mut self) -> ConnectionId {
        self.last_client += 2;
        self.edge.accepted(self.now, self.last_client);
        self.poll();
        self.last_client
    }

    /// Opens a client connection and establishes a confirmed call on it.
    pub fn establish_call(&mut self, link: ConnectionId, call: u64) -> ConnectionId {
        let client = self.client();
        self.bytes(client, invite(call, 0).as_bytes());
        self.send_line(link, &answer(call));
        self.bytes(client, request("ACK", call).as_bytes());
        self.take_written(client);
        client
    }

    /// Takes everything written to a connection since the last call.
    pub fn take_written(&mut self, connection: ConnectionId) -> String {
        String::from_utf8(self.written.remove(&connection).unwrap_or_default()).unwrap()
    }

    /// Takes the SIP messages written to a client: status or method, and Call-ID.
    pub fn take_answers(&mut self, connection: ConnectionId) -> Vec<(String, String)> {
        let text = self.take_written(connection);
        let mut framer = shalespindle_signalling::Framer::default();
        framer.push(text.as_bytes());
        let mut out = Vec::new();
        while let Some(frame) = framer.next_frame().unwrap() {
            let message = Message::parse(frame).unwrap();
            let what = match message.start {
                Start::Response { status, .. } => status.to_string(),
                Start::Request { method, .. } => method.to_string(),
            };
            out.push((what, message.call_id().unwrap_or("").to_string()));
        }
        assert_eq!(framer.buffered(), 0);
        out
    }

    pub fn first_answer(&mut self, connection: ConnectionId) -> String {
        self.take_answers(connection).first().map_or(String::new(), |a| a.0.clone())
    }
}

pub fn id(call: u64) -> String {
    format!("{call:016x}")
}

pub fn invite(call: u64, dest: u16) -> String {
    invite_with(
        call,
        &format!("X-Setup-Ms: 3000\r\nX-Route: dest:{dest};width:1;via:-1\r\n"),
        "9d41\r\nc=IN\r\n",
    )
}

pub fn invite_with(call: u64, lines: &str, body: &str) -> String {
    format!(
        "INVITE sip:7f3a9c21e0b4d{:03x}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\n\
         X-Service: voice\r\n{lines}Content-Length: {}\r\n\r\n{body}",
        call & 0xfff,
        id(call),
        body.len()
    )
}

/// The longest message that the platform allows, bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// A set-up for call 1 of exactly `size` bytes: with as many of `header_line` as fit beside a body that fills
/// the rest.
pub fn invite_of_size(size: usize, header_line: &str) -> String {
    let lines = |count: usize| {
        format!("X-Setup-Ms: 3000\r\nX-Route: dest:0;width:1;via:-1\r\n{}", header_line.repeat(count))
    };
    let empty = invite_with(1, &lines(0), "").len();
    // Room for the digits of Content-Length and a body of at least one byte.
    let count = (size - empty - 10) / header_line.len().max(1);
    let rest = size - invite_with(1, &lines(count), "").len();
    let body =
        (1..=rest).rev().find(|length| invite_with(1, &lines(count), &"x".repeat(*length)).len() == size);
    invite_with(1, &lines(count), &"x".repeat(body.expect("a body of that size")))
}

pub fn request(method: &str, call: u64) -> String {
    format!(
        "{method} sip:net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {}\r\nCSeq: 1 {method}\r\n\
         Content-Length: 0\r\n\r\n",
        id(call)
    )
}

pub fn answer(call: u64) -> String {
    format!(r#"{{"type":"answer","id":"{}","fields":{{}},"sdp":"77aa\r\nm=audio \u0031\r\n"}}"#, id(call))
}

pub fn release(call: u64, cause: u16, fields: &str) -> String {
    format!(r#"{{"type":"release","id":"{}","fields":{{{fields}}},"cause":{cause}}}"#, id(call))
}
