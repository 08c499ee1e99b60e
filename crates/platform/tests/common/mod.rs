//! A front under a fake clock with scripted peers: bytes in, bytes out, nothing else.

// Each test program uses a part of it.
#![allow(dead_code)]

use shalespindle_platform::{read_file, ConnectionId, Edge, Loss, Output};
use shalespindle_signalling::{Message, Start};
use std::collections::BTreeMap;

/// The Unix time at which the tests' clock stands at `BEGIN`.
pub const UNIX: f64 = 1.7e9;
pub const BEGIN: f64 = 1e6;
/// What a server says first on a connection, and again unasked.
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

/// The front, its clock and what it has done.
pub struct World {
    pub edge: Edge,
    pub now: f64,
    /// What was written to each connection and not yet looked at.
    pub written: BTreeMap<ConnectionId, Vec<u8>>,
    /// The same in order, with the time, and each close as no bytes.
    pub log: Vec<(f64, ConnectionId, Option<Vec<u8>>)>,
    pub dials: Vec<(ConnectionId, u16)>,
    pub closed: Vec<(ConnectionId, bool)>,
    next: ConnectionId,
}

impl World {
    /// With so many signalling servers known, ids `s0`, `s1` and so on, none linked yet.
    pub fn new(servers: u16) -> World {
        let members: Vec<String> = (0..servers).map(|c| member(&format!("s{c}"), c, "up", 0)).collect();
        World::from(&file(&[event(1, true, &members)], 4222))
    }

    pub fn from(text: &str) -> World {
        let edge = Edge::new(read_file(text.as_bytes()).unwrap(), BEGIN, UNIX).unwrap();
        let (written, log, dials, closed) = Default::default();
        let mut world = World { edge, now: BEGIN, written, log, dials, closed, next: 0 };
        world.poll();
        world
    }

    /// With every server linked.
    pub fn linked(servers: u16) -> (World, Vec<ConnectionId>) {
        let mut world = World::new(servers);
        let links = (0..servers).map(|cell| world.link(cell)).collect();
        (world, links)
    }

    pub fn poll(&mut self) {
        self.edge.poll(self.now);
        while let Some(output) = self.edge.next_output() {
            match output {
                Output::Dial { connection, to, .. } => self.dials.push((connection, to.port())),
                Output::Write { connection, bytes } => {
                    self.log.push((self.now, connection, Some(bytes.clone())));
                    self.written.entry(connection).or_default().extend(bytes);
                }
                Output::Close { connection, reset } => {
                    self.log.push((self.now, connection, None));
                    self.closed.push((connection, reset));
                }
                Output::Log(_) => {}
            }
        }
    }

    /// Lets time pass, turning whenever the front wants to.
    pub fn pass(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.edge.wake_at() <= until {
            self.now = self.edge.wake_at().max(self.now + 1e-6);
            self.poll();
        }
        self.now = until;
        self.poll();
    }

    /// The dial to a server's address that is under way.
    pub fn dialled(&mut self, cell: u16) -> ConnectionId {
        let place = self.dials.iter().position(|d| d.1 == 6000 + cell);
        self.dials.remove(place.unwrap_or_else(|| panic!("pool {cell} is not dialled"))).0
    }

    pub fn dialled_feed(&mut self, port: u16) -> ConnectionId {
        let place = self.dials.iter().rposition(|d| d.1 == port).expect("the feed is not dialled");
        self.dials.remove(place).0
    }

    /// Makes the link that is being dialled and has the server say its state.
    pub fn link(&mut self, cell: u16) -> ConnectionId {
        let connection = self.dialled(cell);
        self.edge.connected(self.now, connection);
        self.say(connection, STATE);
        connection
    }

    /// A server's line.
    pub fn say(&mut self, connection: ConnectionId, line: &str) {
        self.bytes(connection, format!("{line}\n").as_bytes());
    }

    pub fn bytes(&mut self, connection: ConnectionId, bytes: &[u8]) {
        self.edge.bytes(self.now, self.now, connection, bytes);
        self.poll();
    }

    pub fn lose(&mut self, connection: ConnectionId, loss: Loss) {
        self.edge.lost(self.now, connection, loss);
        self.poll();
    }

    /// A caller's connection.
    pub fn client(&mut self) -> ConnectionId {
        self.next += 2;
        self.edge.accepted(self.now, self.next);
        self.poll();
        self.next
    }

    /// A caller's connection on which a call stands, confirmed.
    pub fn caller(&mut self, link: ConnectionId, call: u64) -> ConnectionId {
        let client = self.client();
        self.bytes(client, invite(call, 0).as_bytes());
        self.say(link, &answer(call));
        self.bytes(client, request("ACK", call).as_bytes());
        self.took(client);
        client
    }

    /// All that was written to a connection since it was last asked.
    pub fn took(&mut self, connection: ConnectionId) -> String {
        String::from_utf8(self.written.remove(&connection).unwrap_or_default()).unwrap()
    }

    /// The statuses (or methods) of the SIP messages written to a caller, with their Call-IDs.
    pub fn answers(&mut self, connection: ConnectionId) -> Vec<(String, String)> {
        let text = self.took(connection);
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

    pub fn first(&mut self, connection: ConnectionId) -> String {
        self.answers(connection).first().map_or(String::new(), |a| a.0.clone())
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
