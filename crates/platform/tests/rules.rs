//! Seeded random runs of a front with peers that fail in every way. The platform's five rules are checked on
//! what the front wrote, and each check is shown to detect a planted violation.

mod common;
#[path = "common/rules.rs"]
mod rules;

use common::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rules::{first_violation, WireEvent, GRACE, GUARD};
use serde_json::Value;
use shalespindle_platform::{ConnectionId, Loss};
use shalespindle_signalling::{Framer, Message, Method, Start};
use std::collections::{BTreeMap, BTreeSet};

/// A line that a server will send.
struct PendingLine {
    at: f64,
    connection: ConnectionId,
    line: String,
    ends_try: Option<(u64, bool)>,
}

struct Run {
    front: TestFront,
    rng: ChaCha8Rng,
    /// Time of the event being processed.
    event_time: f64,
    observed: Vec<(f64, WireEvent)>,
    clients: BTreeMap<ConnectionId, Framer>,
    /// Links and the port each was dialled to.
    links: BTreeMap<ConnectionId, u16>,
    /// The server at each port, and whether the feed lists it as up.
    servers: BTreeMap<u16, (u64, bool)>,
    pending_lines: Vec<PendingLine>,
    /// Setup tries that are out, and their links.
    tries_out: BTreeMap<u64, ConnectionId>,
    pending_calls: BTreeSet<u64>,
    client_of_call: BTreeMap<u64, ConnectionId>,
    feed: Option<ConnectionId>,
    event_count: u64,
    next_call: u64,
    next_server: u64,
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut run = Run {
            front: TestFront::new(3),
            rng: ChaCha8Rng::seed_from_u64(seed),
            event_time: BEGIN,
            observed: Vec::new(),
            clients: BTreeMap::new(),
            links: BTreeMap::new(),
            servers: (0..3).map(|n| (6000 + n, (u64::from(n), true))).collect(),
            pending_lines: Vec::new(),
            tries_out: BTreeMap::new(),
            pending_calls: BTreeSet::new(),
            client_of_call: BTreeMap::new(),
            feed: None,
            event_count: 1,
            next_call: 0,
            next_server: 3,
        };
        run.observe();
        run
    }

    fn record(&mut self, what: WireEvent) {
        self.observed.push((self.event_time, what));
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }

    fn try_ended(&mut self, id: u64, uncertain: bool) {
        if self.tries_out.remove(&id).is_some() {
            self.record(WireEvent::TryEnded { id, uncertain });
        }
    }

    /// Processes the front's outputs until there are none left.
    fn observe(&mut self) {
        loop {
            let dials = std::mem::take(&mut self.front.dials);
            let log = std::mem::take(&mut self.front.log);
            if dials.is_empty() && log.is_empty() {
                return;
            }
            for (at, connection, bytes) in log {
                self.event_time = at;
                match bytes {
                    None => self.connection_closed(connection),
                    Some(bytes) if self.links.contains_key(&connection) => {
                        let text = String::from_utf8(bytes).unwrap();
                        text.lines().for_each(|line| self.handle_line(connection, line));
                    }
                    Some(bytes) if self.clients.contains_key(&connection) => {
                        self.handle_answers(connection, &bytes)
                    }
                    Some(_) => {}
                }
            }
            self.event_time = self.front.now;
            for (connection, port) in dials {
                self.dial(connection, port);
            }
        }
    }

    fn connection_closed(&mut self, connection: ConnectionId) {
        self.clients.remove(&connection);
        if self.links.remove(&connection).is_some() {
            let cut: Vec<u64> = self.tries_out.iter().filter(|o| *o.1 == connection).map(|o| *o.0).collect();
            cut.into_iter().for_each(|id| self.try_ended(id, true));
            self.pending_lines.retain(|m| m.connection != connection);
        }
        if self.feed == Some(connection) {
            self.feed = None;
        }
        let left: Vec<u64> = self
            .pending_calls
            .iter()
            .filter(|id| self.client_of_call.get(id) == Some(&connection))
            .copied()
            .collect();
        for id in left {
            self.pending_calls.remove(&id);
            self.record(WireEvent::CallerLeft { id });
        }
    }

    fn dial(&mut self, connection: ConnectionId, port: u16) {
        if port == 4222 {
            self.feed = Some(connection);
            self.front.edge.connected(self.front.now, connection);
            self.front.bytes(connection, b"HTTP/1.1 200 OK\r\n\r\n");
            return;
        }
        match self.rng.random_range(0..20) {
            0 => self.front.lose_connection(connection, Loss::Refused),
            1 => {}
            _ => {
                self.links.insert(connection, port);
                self.front.edge.connected(self.front.now, connection);
                let state = r#"{"type":"state","id":"","fields":{"load":"x0:40;x1:40"}}"#;
                self.front.send_line(connection, state);
            }
        }
    }

    fn handle_line(&mut self, connection: ConnectionId, line: &str) {
        let value: Value = serde_json::from_str(line).unwrap();
        let id = u64::from_str_radix(value["id"].as_str().unwrap(), 16).unwrap();
        let mut send_at = self.front.now + self.rng.random_range(0.005..0.06);
        match value["type"].as_str().unwrap() {
            "setup" => {
                let server = self.servers[&self.links[&connection]].0;
                self.record(WireEvent::TrySent { id, server });
                self.tries_out.insert(id, connection);
                let (line, ends_try) = match self.rng.random_range(0..150) {
                    0..=119 => (answer(id), Some((id, false))),
                    120 => (release(id, 34, r#""note":"throttled""#), Some((id, false))),
                    121..=124 => (release(id, 47, ""), Some((id, false))),
                    125..=129 => (release(id, 41, ""), Some((id, true))),
                    130..=134 => {
                        send_at += self.rng.random_range(0.0..4.0);
                        (answer(id), Some((id, false)))
                    }
                    135..=137 => ("noise".into(), None),
                    138..=142 => (format!("{}\n{}", answer(id ^ 1 << 60), answer(id)), Some((id, false))),
                    _ => return,
                };
                self.pending_lines.push(PendingLine { at: send_at, connection, line, ends_try });
            }
            "release" => {
                self.try_ended(id, true);
                self.pending_lines
                    .retain(|m| m.ends_try.is_none_or(|o| o.0 != id) || m.connection != connection);
            }
            "ping" => {
                let line =
                    line.replace("ping", "pong").replace("{}", r#"{"load":"x0:40;x1:40;latency_ms:2"}"#);
                self.pending_lines.push(PendingLine { at: send_at, connection, line, ends_try: None });
            }
            _ => {}
        }
    }

    fn handle_answers(&mut self, connection: ConnectionId, bytes: &[u8]) {
        let Some(mut framer) = self.clients.remove(&connection) else { return };
        framer.push(bytes);
        let mut finals = Vec::new();
        while let Some(frame) = framer.next_frame().unwrap() {
            let message = Message::parse(frame).unwrap();
            let invite = message.cseq().is_ok_and(|c| c.1 == Method::Invite);
            if let (Start::Response { .. }, true) = (message.start, invite) {
                finals.push(u64::from_str_radix(message.call_id().unwrap(), 16).unwrap());
            }
        }
        self.clients.insert(connection, framer);
        for id in finals {
            if self.pending_calls.remove(&id) || !self.client_of_call.contains_key(&id) {
                self.record(WireEvent::FinalAnswer { id });
                self.front.edge.bytes(
                    self.front.now,
                    self.front.now,
                    connection,
                    request("ACK", id).as_bytes(),
                );
            } else if self.observed.iter().any(|s| s.1 == WireEvent::FinalAnswer { id }) {
                self.record(WireEvent::FinalAnswer { id });
            }
        }
    }

    fn send_feed_event(&mut self, member: String, out_of_service: Option<u64>) {
        let Some(feed) = self.feed else { return };
        self.event_count += 1;
        let event = event(self.event_count, false, &[member]);
        if let Some(server) = out_of_service {
            self.record(WireEvent::OutOfService { server });
        }
        self.front.bytes(feed, format!("data: {event}\n\n").as_bytes());
    }

    fn name(server: u64) -> String {
        format!("s{server}")
    }

    fn step(&mut self) {
        let pause = self.rng.random_range(0.001..0.02);
        self.front.advance(pause);
        self.observe();
        let now = self.front.now;
        self.event_time = now;
        let (due, remaining) = std::mem::take(&mut self.pending_lines).into_iter().partition(|m| m.at <= now);
        self.pending_lines = remaining;
        for pending_line in due {
            let PendingLine { connection, line, ends_try, .. }: PendingLine = pending_line;
            if !self.links.contains_key(&connection) {
                continue;
            }
            if let Some((id, uncertain)) = ends_try {
                self.try_ended(id, uncertain);
            }
            self.front.send_line(connection, &line);
            self.observe();
        }
        if self.chance(0.5) {
            self.send_set_up();
            self.observe();
        }
        match self.rng.random_range(0..400) {
            0..=2 => {
                if let Some(connection) = self.links.keys().next().copied() {
                    self.connection_closed(connection);
                    self.front.lose_connection(connection, Loss::Broken);
                }
            }
            3 => {
                if let Some(connection) = self.clients.keys().next().copied() {
                    self.connection_closed(connection);
                    self.front.lose_connection(connection, Loss::Broken);
                }
            }
            4..=8 => {
                let id = self.pending_calls.iter().next().copied();
                if let Some((id, connection)) = id.and_then(|id| Some((id, *self.client_of_call.get(&id)?))) {
                    self.pending_calls.remove(&id);
                    self.record(WireEvent::CallerLeft { id });
                    self.front.bytes(connection, request("CANCEL", id).as_bytes());
                }
            }
            9 if self.chance(0.3) => {
                let port = 6000 + self.rng.random_range(0..3u16);
                self.replace(port);
            }
            10..=16 => {
                if let Some(port) = self.servers.iter().find(|s| !s.1 .1).map(|s| *s.0) {
                    self.replace(port);
                }
            }
            17..=26 => {
                if let Some(feed) = self.feed {
                    self.front.bytes(feed, b": tick\n\n");
                }
            }
            _ => {}
        }
        self.observe();
    }

    fn send_set_up(&mut self) {
        if self.clients.len() < 4 {
            let client = self.front.client();
            self.clients.insert(client, Framer::default());
        }
        let index = self.rng.random_range(0..self.clients.len());
        let connection = *self.clients.keys().nth(index).unwrap();
        self.next_call += 1;
        let id = self.next_call;
        let patience: u32 = self.rng.random_range(300..3000);
        self.record(WireEvent::SetUpReceived {
            id,
            patience_ends_at: self.front.now + f64::from(patience) / 1000.0,
        });
        self.pending_calls.insert(id);
        self.client_of_call.insert(id, connection);
        let dest = self.rng.random_range(0..3);
        let lines = format!("X-Setup-Ms: {patience}\r\nX-Route: dest:{dest};width:1;via:-1\r\n");
        self.front.bytes(connection, invite_with(id, &lines, "9d41\r\n").as_bytes());
    }

    /// Drains a server, or replaces a draining one by a new, cold one at its address.
    fn replace(&mut self, port: u16) {
        let cell = port - 6000;
        let (old, up) = self.servers[&port];
        if up {
            self.servers.insert(port, (old, false));
            self.send_feed_event(member(&Run::name(old), cell, "draining", 0), Some(old));
            return;
        }
        if self.feed.is_none() {
            return;
        }
        self.send_feed_event(member(&Run::name(old), cell, "removed", 0), Some(old));
        let closed: Vec<ConnectionId> = self.links.iter().filter(|l| *l.1 == port).map(|l| *l.0).collect();
        for connection in closed {
            self.connection_closed(connection);
            self.front.lose_connection(connection, Loss::Broken);
        }
        let new = self.next_server;
        self.next_server += 1;
        self.servers.insert(port, (new, true));
        // All attaches come through this front, so the predecessor had at most all of the load.
        self.record(WireEvent::ColdStart { server: new, max_per_second: 2.0 * 45.0 });
        let unix = UNIX + (self.front.now - BEGIN);
        self.send_feed_event(member(&Run::name(new), cell, "up", (unix * 1000.0) as u64), None);
    }

    fn finish(mut self) -> (Vec<(f64, WireEvent)>, f64, TestFront) {
        for _ in 0..4000 {
            if self.pending_calls.is_empty() {
                break;
            }
            self.front.advance(0.01);
            self.observe();
        }
        (self.observed, self.front.now + 1.0, self.front)
    }
}

fn run(seed: u64) -> (Vec<(f64, WireEvent)>, f64, TestFront) {
    let mut run = Run::new(seed);
    for _ in 0..3000 {
        run.step();
    }
    run.finish()
}

#[test]
fn the_rules_hold_in_random_runs_with_faulty_peers() {
    for seed in 0..12 {
        let (observed, end, front) = run(seed);
        assert_eq!(first_violation(&observed, end), None, "seed {seed}");
        let counters = front.edge.counters();
        assert!(counters.stood > 150 && counters.cut > 10 && counters.cancelled > 0, "{counters:?}");
        assert_eq!(front.edge.gauges()[0], 0, "seed {seed}: no attach is pending");
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    assert_eq!(run(5).0, run(5).0);
}

#[test]
fn each_rule_check_detects_a_planted_violation() {
    let (observed, end, _) = run(1);
    let position = |wanted: &dyn Fn(&WireEvent) -> bool| observed.iter().position(|s| wanted(&s.1)).unwrap();
    let rule = |observed: &[(f64, WireEvent)]| first_violation(observed, end).map(|b| b.0);
    let with = |at: usize, extra: (f64, WireEvent)| {
        let mut observed = observed.clone();
        observed.insert(at + 1, extra);
        rule(&observed)
    };
    let last = position(&|s| matches!(s, WireEvent::FinalAnswer { .. }));
    assert_eq!(with(last, observed[last]), Some(1), "a second answer");
    let mut without = observed.clone();
    without.remove(last);
    assert_eq!(rule(&without), Some(1), "no answer");
    let tried = position(&|s| matches!(s, WireEvent::TrySent { .. }));
    assert_eq!(with(tried, observed[tried]), Some(2), "two tries out");
    let WireEvent::TrySent { id, server } = observed[tried].1 else { unreachable!() };
    let told = (observed[tried].0 - GRACE - 0.01, WireEvent::OutOfService { server });
    let mut early = observed.clone();
    early.insert(tried, told);
    assert_eq!(rule(&early), Some(3), "a try after the grace period");
    let mut cold = observed.clone();
    cold.insert(0, (BEGIN, WireEvent::ColdStart { server, max_per_second: 0.0 }));
    assert_eq!(rule(&cold), Some(4), "too much for a cold server");
    let mut soon = observed[..=tried].to_vec();
    let at = observed[tried].0;
    soon.push((at, WireEvent::TryEnded { id, uncertain: true }));
    soon.push((at + GUARD - 0.01, WireEvent::TrySent { id, server }));
    assert_eq!(rule(&soon), Some(5), "a try within the guard");
}
