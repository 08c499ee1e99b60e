//! Seeded random runs of a front among peers that fail in every way, with the five rules checked on what it
//! wrote; and each rule's check shown failing on a planted fault.

mod common;
#[path = "common/rules.rs"]
mod rules;

use common::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rules::{broken, Seen, GRACE, GUARD};
use serde_json::Value;
use shalespindle_platform::{ConnectionId, Loss};
use shalespindle_signalling::{Framer, Message, Method, Start};
use std::collections::{BTreeMap, BTreeSet};

/// A server's word that is under way.
struct Word {
    at: f64,
    connection: ConnectionId,
    line: String,
    over: Option<(u64, bool)>,
}

struct Run {
    w: World,
    rng: ChaCha8Rng,
    /// When what is looked at just now passed.
    at: f64,
    seen: Vec<(f64, Seen)>,
    clients: BTreeMap<ConnectionId, Framer>,
    /// Links and the port they were dialled to.
    links: BTreeMap<ConnectionId, u16>,
    /// Which server has a port, and whether the feed calls it up.
    servers: BTreeMap<u16, (u64, bool)>,
    words: Vec<Word>,
    /// Tries out: their link.
    out: BTreeMap<u64, ConnectionId>,
    open: BTreeSet<u64>,
    homes: BTreeMap<u64, ConnectionId>,
    feed: Option<ConnectionId>,
    events: u64,
    next_call: u64,
    next_server: u64,
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut run = Run {
            w: World::new(3),
            rng: ChaCha8Rng::seed_from_u64(seed),
            at: BEGIN,
            seen: Vec::new(),
            clients: BTreeMap::new(),
            links: BTreeMap::new(),
            servers: (0..3).map(|n| (6000 + n, (u64::from(n), true))).collect(),
            words: Vec::new(),
            out: BTreeMap::new(),
            open: BTreeSet::new(),
            homes: BTreeMap::new(),
            feed: None,
            events: 1,
            next_call: 0,
            next_server: 3,
        };
        run.look();
        run
    }

    fn note(&mut self, what: Seen) {
        self.seen.push((self.at, what));
    }

    fn chance(&mut self, of: f64) -> bool {
        self.rng.random::<f64>() < of
    }

    fn over(&mut self, id: u64, unsure: bool) {
        if self.out.remove(&id).is_some() {
            self.note(Seen::Over { id, unsure });
        }
    }

    /// Takes in what the front has done, until it has done nothing more.
    fn look(&mut self) {
        loop {
            let dials = std::mem::take(&mut self.w.dials);
            let log = std::mem::take(&mut self.w.log);
            if dials.is_empty() && log.is_empty() {
                return;
            }
            for (at, connection, bytes) in log {
                self.at = at;
                match bytes {
                    None => self.wire_gone(connection),
                    Some(bytes) if self.links.contains_key(&connection) => {
                        let text = String::from_utf8(bytes).unwrap();
                        text.lines().for_each(|line| self.line(connection, line));
                    }
                    Some(bytes) if self.clients.contains_key(&connection) => self.answers(connection, &bytes),
                    Some(_) => {}
                }
            }
            self.at = self.w.now;
            for (connection, port) in dials {
                self.dial(connection, port);
            }
        }
    }

    fn wire_gone(&mut self, connection: ConnectionId) {
        self.clients.remove(&connection);
        if self.links.remove(&connection).is_some() {
            let cut: Vec<u64> = self.out.iter().filter(|o| *o.1 == connection).map(|o| *o.0).collect();
            cut.into_iter().for_each(|id| self.over(id, true));
            self.words.retain(|w| w.connection != connection);
        }
        if self.feed == Some(connection) {
            self.feed = None;
        }
        let left: Vec<u64> =
            self.open.iter().filter(|id| self.homes.get(id) == Some(&connection)).copied().collect();
        for id in left {
            self.open.remove(&id);
            self.note(Seen::Left { id });
        }
    }

    fn dial(&mut self, connection: ConnectionId, port: u16) {
        if port == 4222 {
            self.feed = Some(connection);
            self.w.edge.connected(self.w.now, connection);
            self.w.bytes(connection, b"HTTP/1.1 200 OK\r\n\r\n");
            return;
        }
        match self.rng.random_range(0..20) {
            0 => self.w.lose(connection, Loss::Refused),
            1 => {}
            _ => {
                self.links.insert(connection, port);
                self.w.edge.connected(self.w.now, connection);
                let state = r#"{"type":"state","id":"","fields":{"load":"x0:40;x1:40"}}"#;
                self.w.say(connection, state);
            }
        }
    }

    fn line(&mut self, connection: ConnectionId, line: &str) {
        let value: Value = serde_json::from_str(line).unwrap();
        let id = u64::from_str_radix(value["id"].as_str().unwrap(), 16).unwrap();
        let mut later = self.w.now + self.rng.random_range(0.005..0.06);
        match value["type"].as_str().unwrap() {
            "setup" => {
                let server = self.servers[&self.links[&connection]].0;
                self.note(Seen::Tried { id, server });
                self.out.insert(id, connection);
                let (line, over) = match self.rng.random_range(0..150) {
                    0..=119 => (answer(id), Some((id, false))),
                    120 => (release(id, 34, r#""note":"throttled""#), Some((id, false))),
                    121..=124 => (release(id, 47, ""), Some((id, false))),
                    125..=129 => (release(id, 41, ""), Some((id, true))),
                    130..=134 => {
                        later += self.rng.random_range(0.0..4.0);
                        (answer(id), Some((id, false)))
                    }
                    135..=137 => ("noise".into(), None),
                    138..=142 => (format!("{}\n{}", answer(id ^ 1 << 60), answer(id)), Some((id, false))),
                    _ => return,
                };
                self.words.push(Word { at: later, connection, line, over });
            }
            "release" => {
                self.over(id, true);
                self.words.retain(|w| w.over.is_none_or(|o| o.0 != id) || w.connection != connection);
            }
            "ping" => {
                let line =
                    line.replace("ping", "pong").replace("{}", r#"{"load":"x0:40;x1:40;latency_ms:2"}"#);
                self.words.push(Word { at: later, connection, line, over: None });
            }
            _ => {}
        }
    }

    fn answers(&mut self, connection: ConnectionId, bytes: &[u8]) {
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
            if self.open.remove(&id) || !self.homes.contains_key(&id) {
                self.note(Seen::Final { id });
                self.w.edge.bytes(self.w.now, self.w.now, connection, request("ACK", id).as_bytes());
            } else if self.seen.iter().any(|s| s.1 == Seen::Final { id }) {
                self.note(Seen::Final { id });
            }
        }
    }

    fn tell(&mut self, member: String, out: Option<u64>) {
        let Some(feed) = self.feed else { return };
        self.events += 1;
        let event = event(self.events, false, &[member]);
        if let Some(server) = out {
            self.note(Seen::Out { server });
        }
        self.w.bytes(feed, format!("data: {event}\n\n").as_bytes());
    }

    fn name(server: u64) -> String {
        format!("s{server}")
    }

    fn step(&mut self) {
        let pause = self.rng.random_range(0.001..0.02);
        self.w.pass(pause);
        self.look();
        let now = self.w.now;
        self.at = now;
        let (due, later) = std::mem::take(&mut self.words).into_iter().partition(|w| w.at <= now);
        self.words = later;
        for word in due {
            let Word { connection, line, over, .. }: Word = word;
            if !self.links.contains_key(&connection) {
                continue;
            }
            if let Some((id, unsure)) = over {
                self.over(id, unsure);
            }
            self.w.say(connection, &line);
            self.look();
        }
        if self.chance(0.5) {
            self.ask();
            self.look();
        }
        match self.rng.random_range(0..400) {
            0..=2 => {
                if let Some(connection) = self.links.keys().next().copied() {
                    self.wire_gone(connection);
                    self.w.lose(connection, Loss::Broken);
                }
            }
            3 => {
                if let Some(connection) = self.clients.keys().next().copied() {
                    self.wire_gone(connection);
                    self.w.lose(connection, Loss::Broken);
                }
            }
            4..=8 => {
                let id = self.open.iter().next().copied();
                if let Some((id, connection)) = id.and_then(|id| Some((id, *self.homes.get(&id)?))) {
                    self.open.remove(&id);
                    self.note(Seen::Left { id });
                    self.w.bytes(connection, request("CANCEL", id).as_bytes());
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
                    self.w.bytes(feed, b": tick\n\n");
                }
            }
            _ => {}
        }
        self.look();
    }

    fn ask(&mut self) {
        if self.clients.len() < 4 {
            let client = self.w.client();
            self.clients.insert(client, Framer::default());
        }
        let place = self.rng.random_range(0..self.clients.len());
        let connection = *self.clients.keys().nth(place).unwrap();
        self.next_call += 1;
        let id = self.next_call;
        let patience: u32 = self.rng.random_range(300..3000);
        self.note(Seen::Asked { id, until: self.w.now + f64::from(patience) / 1000.0 });
        self.open.insert(id);
        self.homes.insert(id, connection);
        let dest = self.rng.random_range(0..3);
        let lines = format!("X-Setup-Ms: {patience}\r\nX-Route: dest:{dest};width:1;via:-1\r\n");
        self.w.bytes(connection, invite_with(id, &lines, "9d41\r\n").as_bytes());
    }

    /// One server drains, or is replaced by a new and cold one at its address.
    fn replace(&mut self, port: u16) {
        let cell = port - 6000;
        let (old, up) = self.servers[&port];
        if up {
            self.servers.insert(port, (old, false));
            self.tell(member(&Run::name(old), cell, "draining", 0), Some(old));
            return;
        }
        if self.feed.is_none() {
            return;
        }
        self.tell(member(&Run::name(old), cell, "removed", 0), Some(old));
        let gone: Vec<ConnectionId> = self.links.iter().filter(|l| *l.1 == port).map(|l| *l.0).collect();
        for connection in gone {
            self.wire_gone(connection);
            self.w.lose(connection, Loss::Broken);
        }
        let new = self.next_server;
        self.next_server += 1;
        self.servers.insert(port, (new, true));
        // All attaches come through this one front: its predecessor bore at most all of them.
        self.note(Seen::Cold { server: new, most: 2.0 * 45.0 });
        let unix = UNIX + (self.w.now - BEGIN);
        self.tell(member(&Run::name(new), cell, "up", (unix * 1000.0) as u64), None);
    }

    fn finish(mut self) -> (Vec<(f64, Seen)>, f64, World) {
        for _ in 0..4000 {
            if self.open.is_empty() {
                break;
            }
            self.w.pass(0.01);
            self.look();
        }
        (self.seen, self.w.now + 1.0, self.w)
    }
}

fn run(seed: u64) -> (Vec<(f64, Seen)>, f64, World) {
    let mut run = Run::new(seed);
    for _ in 0..3000 {
        run.step();
    }
    run.finish()
}

#[test]
fn the_rules_hold_whatever_the_peers_do() {
    for seed in 0..12 {
        let (seen, end, world) = run(seed);
        assert_eq!(broken(&seen, end), None, "seed {seed}");
        let counters = world.edge.counters();
        assert!(counters.stood > 150 && counters.cut > 10 && counters.cancelled > 0, "{counters:?}");
        assert_eq!(world.edge.gauges()[0], 0, "seed {seed}: nothing is left in hand");
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    assert_eq!(run(5).0, run(5).0);
}

#[test]
fn each_rule_is_found_broken_when_a_fault_is_planted() {
    let (seen, end, _) = run(1);
    let place = |wanted: &dyn Fn(&Seen) -> bool| seen.iter().position(|s| wanted(&s.1)).unwrap();
    let rule = |seen: &[(f64, Seen)]| broken(seen, end).map(|b| b.0);
    let with = |at: usize, extra: (f64, Seen)| {
        let mut seen = seen.clone();
        seen.insert(at + 1, extra);
        rule(&seen)
    };
    let last = place(&|s| matches!(s, Seen::Final { .. }));
    assert_eq!(with(last, seen[last]), Some(1), "a second answer");
    let mut without = seen.clone();
    without.remove(last);
    assert_eq!(rule(&without), Some(1), "no answer");
    let tried = place(&|s| matches!(s, Seen::Tried { .. }));
    assert_eq!(with(tried, seen[tried]), Some(2), "two tries out");
    let Seen::Tried { id, server } = seen[tried].1 else { unreachable!() };
    let told = (seen[tried].0 - GRACE - 0.01, Seen::Out { server });
    let mut early = seen.clone();
    early.insert(tried, told);
    assert_eq!(rule(&early), Some(3), "a try past the grace");
    let mut cold = seen.clone();
    cold.insert(0, (BEGIN, Seen::Cold { server, most: 0.0 }));
    assert_eq!(rule(&cold), Some(4), "too much for a cold server");
    let mut soon = seen[..=tried].to_vec();
    let at = seen[tried].0;
    soon.push((at, Seen::Over { id, unsure: true }));
    soon.push((at + GUARD - 0.01, Seen::Tried { id, server }));
    assert_eq!(rule(&soon), Some(5), "a try within the guard");
}
