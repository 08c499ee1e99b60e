//! Start-up settings of any customer that the wire page allows, and of some that it does not: the front starts or names
//! key and remedy, its time-outs, guard and pauses stand in their ratios to them, and no name changes a decision.

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};
use shalespindle_platform::{read_file, Loss};

#[derive(Clone, Debug)]
struct Class {
    aim: f64,
    deadline: f64,
    worth: f64,
    late_share: f64,
}

#[derive(Clone, Debug)]
struct Site {
    classes: Vec<Class>,
    servers: u16,
    guard: f64,
    attempts: u32,
    longest_pause: f64,
    dial: f64,
    flags: [bool; 4],
    cold: (f64, f64, f64, f64),
    sockets: usize,
    memory: f64,
    held: usize,
    fields: Vec<&'static str>,
}

fn class() -> impl Strategy<Value = Class> {
    (0.05f64..30.0, 0.2f64..60.0, 0.01f64..20.0, 0.0f64..1.0)
        .prop_map(|(aim, deadline, worth, late_share)| Class { aim, deadline, worth, late_share })
}

fn site() -> impl Strategy<Value = Site> {
    let limits = (64usize..4096, 8.0f64..2048.0, 1usize..20_000, any::<[bool; 4]>());
    let cold = (0.01f64..1.0, 0.1f64..60.0, 1.0f64..6.0, 0.1f64..10.0);
    let fields = proptest::sample::subsequence(vec!["free", "size", "latency_ms", "util", "queue"], 0..=5);
    let times = (0.0f64..10.0, 1u32..8, 0.0f64..10.0, 0.05f64..5.0);
    (proptest::collection::vec(class(), 1..6), 1u16..6, times, cold, limits, fields).prop_map(
        |(classes, servers, (guard, attempts, longest_pause, dial), cold, limits, fields)| {
            let (sockets, memory, held, flags) = limits;
            Site {
                classes,
                servers,
                guard,
                attempts,
                longest_pause,
                dial,
                flags,
                cold,
                sockets,
                memory,
                held,
                fields,
            }
        },
    )
}

impl Site {
    fn value(&self, names: &Names) -> Value {
        let classes: Vec<Value> = self
            .classes
            .iter()
            .enumerate()
            .map(|(n, c)| {
                json!({"name": names.class(n), "aim_s": c.aim, "deadline_s": c.deadline, "worth": c.worth,
                    "late_share": c.late_share})
            })
            .collect();
        let cells: Vec<Vec<u16>> = self.classes.iter().map(|_| (0..self.servers).collect()).collect();
        let members: Vec<Value> = (0..self.servers)
            .map(|cell| {
                json!({"id": names.server(cell), "host_port": format!("127.0.0.1:{}", 6000 + cell), "cell": cell,
                    "phase": "up", "up_since_ms": 0})
            })
            .collect();
        let known = json!({"n": 1, "members": {"revision": 1, "complete": true, "members": members}});
        json!({"name": names.front, "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "feed": "127.0.0.1:4222",
            "limits": {"cores": 1.0, "memory_mb": self.memory, "sockets": self.sockets},
            "known": {"n": 1, "events": [known]},
            "settings": {"classes": classes,
                "domain": {"class_cells": cells, "guard_s": self.guard, "tells_wait": self.flags[0]},
                "limits": {"cancelling": self.flags[1], "dial_timeout_s": self.dial, "max_attempts": self.attempts,
                    "max_retry_after_s": self.longest_pause, "most_held": self.held, "probes": self.flags[2],
                    "retry_after": self.flags[3]},
                "safety": {"start_capacity": self.cold.0, "warm_after_s": self.cold.1, "tip_multiple": self.cold.2,
                    "fall_s": self.cold.3},
                "stats": {"fields": self.fields}}})
    }
}

struct Names {
    classes: [&'static str; 6],
    servers: [&'static str; 6],
    front: &'static str,
}

/// Plain ones, and ones that are prefixes of each other, in upper case, with dashes, and words of the wire itself.
const PLAIN: Names = Names {
    classes: ["a", "b", "c", "d", "e", "f"],
    servers: ["s0", "s1", "s2", "s3", "s4", "s5"],
    front: "n0",
};
const ODD: Names = Names {
    classes: ["voice", "voice-2", "VOICE", "v", "setup", "login-check"],
    servers: ["up", "s", "s-", "S0", "removed", "0"],
    front: "Front-Z",
};

impl Names {
    fn class(&self, n: usize) -> &'static str {
        self.classes[n]
    }

    fn server(&self, cell: u16) -> &'static str {
        self.servers[usize::from(cell)]
    }
}

/// A scripted day: attaches of all classes at all pools, throttled, cut, answered and left alone in turn. What was
/// written, with each name put back to its number.
fn day(site: &Site, names: &Names) -> Vec<(f64, u64, String)> {
    let mut w = World::from(&site.value(names).to_string());
    let links: Vec<u64> = (0..site.servers)
        .filter(|c| w.dials.iter().any(|d| d.1 == 6000 + c))
        .collect::<Vec<_>>()
        .into_iter()
        .map(|cell| w.link(cell))
        .collect();
    for call in 0..24u64 {
        let n = call as usize % site.classes.len();
        let lines = format!(
            "X-Setup-Ms: {:.0}\r\nX-Route: dest:{};width:1;via:-1\r\n",
            (1000.0 * site.classes[n].deadline).floor(),
            call % u64::from(site.servers)
        );
        let client = w.client();
        let invite = invite_with(call, &lines, "9d41\r\n");
        w.bytes(
            client,
            invite.replace("X-Service: voice", &format!("X-Service: {}", names.class(n))).as_bytes(),
        );
        for link in &links {
            if w.edge.gauges()[0] > 0 {
                let said = match call % 5 {
                    0 => release(call, 34, r#""note":"throttled""#),
                    1 => release(call, 41, ""),
                    2 => answer(call),
                    _ => continue,
                };
                w.say(*link, &said);
            }
        }
        if call % 7 == 6 {
            w.lose(client, Loss::Broken);
        }
        w.pass(0.3);
    }
    w.edge.begin_shutdown(w.now);
    w.pass(5.0);
    assert!(w.edge.is_done(w.now));
    let log = std::mem::take(&mut w.log);
    let plain = |bytes: Option<Vec<u8>>| {
        let mut text = bytes.map_or("closed".to_string(), |b| String::from_utf8(b).unwrap());
        for n in (0..site.classes.len()).rev() {
            text = text.replace(&format!(r#""class":"{}""#, names.class(n)), &format!(r#""class":{n}"#));
        }
        text
    };
    log.into_iter().map(|(at, connection, bytes)| (at, connection, plain(bytes))).collect()
}

proptest! {
    // The same cases each time.
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn names_change_no_decision(site in site()) {
        prop_assert_eq!(day(&site, &PLAIN), day(&site, &ODD));
    }

    /// With one silent server: the time-out is the latency target or what is left of the caller's patience, the next try
    /// keeps the guard, a refusal's pause is within the longest.
    #[test]
    fn times_stand_in_their_ratios_to_the_settings(site in site()) {
        let mut w = World::from(&site.value(&PLAIN).to_string());
        let links: Vec<u64> = (0..site.servers).map(|cell| w.link(cell)).collect();
        let class = &site.classes[0];
        let ms = (1000.0 * class.deadline).floor();
        let client = w.client();
        let begin = w.now;
        let lines = format!("X-Setup-Ms: {ms:.0}\r\nX-Route: dest:0;width:1;via:-1\r\n");
        w.bytes(client, invite_with(1, &lines, "9d41\r\n").replace("X-Service: voice", "X-Service: a").as_bytes());
        w.pass(class.deadline + 1.0);
        let of = |part: &str| -> Vec<f64> {
            let there = |e: &&(f64, u64, Option<Vec<u8>>)| links.contains(&e.1)
                && e.2.as_ref().is_some_and(|b| String::from_utf8_lossy(b).contains(part));
            w.log.iter().filter(there).map(|e| e.0 - begin).collect()
        };
        let (sent, over) = (of(r#""setup""#), of(r#""release""#));
        prop_assert!(sent.len() <= site.attempts as usize && sent.len() == over.len(), "{sent:?} {over:?}");
        if let (Some(first), Some(end)) = (sent.first(), over.first()) {
            let wanted = class.aim.min(ms / 1000.0);
            prop_assert!(*first == 0.0 && (end - wanted).abs() < 1e-3, "time-out after {end}, {wanted} wanted");
        }
        for (next, end) in sent.iter().skip(1).zip(&over) {
            prop_assert!(next - end >= site.guard + 0.05, "{next} after {end}, guard {}", site.guard);
        }
        let answers = w.answers(client);
        prop_assert_eq!(answers.len(), 1);
        let text = String::from_utf8_lossy(w.log.iter().find(|e| e.1 == client).and_then(|e| e.2.as_ref()).unwrap()).to_string();
        let pause = text.split("Retry-After-Ms: ").nth(1).and_then(|t| t.split("\r\n").next()?.parse::<f64>().ok());
        let longest = if site.flags[3] { 1000.0 * site.longest_pause } else { 0.0 };
        prop_assert!(pause.unwrap_or(0.0) <= longest.ceil(), "pause {pause:?}, longest {longest}");
    }

    /// One figure is spoilt: what starts runs on, what does not names the key and what is allowed.
    #[test]
    fn a_bad_figure_is_named_with_its_remedy_and_never_a_panic(site in site(), key in 0usize..KEYS.len(), bad in 0usize..BAD.len()) {
        let mut value = site.value(&PLAIN);
        let (place, name) = KEYS[key];
        *value.pointer_mut(place).unwrap() = serde_json::from_str(BAD[bad]).unwrap();
        let text = value.to_string();
        match read_file(text.as_bytes()) {
            Ok(_) => {
                let mut w = World::from(&text);
                let client = w.client();
                w.bytes(client, invite(1, 0).replace("X-Service: voice", "X-Service: a").as_bytes());
                w.pass(2.0);
            }
            Err(why) => {
                prop_assert!(why.contains(name), "{}: {why}", BAD[bad]);
                let remedy = ["allowed", "expected", "invalid", "needed"].iter().any(|word| why.contains(word));
                prop_assert!(remedy, "{why}");
            }
        }
    }
}

const KEYS: [(&str, &str); 20] = [
    ("/settings/classes/0/aim_s", "aim_s"),
    ("/settings/classes/0/deadline_s", "deadline_s"),
    ("/settings/classes/0/worth", "worth"),
    ("/settings/classes/0/late_share", "late_share"),
    ("/settings/classes/0/name", "name"),
    ("/settings/classes", "classes"),
    ("/settings/domain/class_cells", "class_cells"),
    ("/settings/domain/guard_s", "guard_s"),
    ("/settings/limits/dial_timeout_s", "dial_timeout_s"),
    ("/settings/limits/max_attempts", "max_attempts"),
    ("/settings/limits/max_retry_after_s", "max_retry_after_s"),
    ("/settings/limits/most_held", "most_held"),
    ("/settings/safety/start_capacity", "start_capacity"),
    ("/settings/safety/warm_after_s", "warm_after_s"),
    ("/settings/safety/tip_multiple", "tip_multiple"),
    ("/settings/safety/fall_s", "fall_s"),
    ("/settings/stats/fields", "fields"),
    ("/limits/sockets", "sockets"),
    ("/limits/memory_mb", "memory_mb"),
    ("/seed", "seed"),
];
const BAD: [&str; 10] =
    ["0", "-1", "1e300", "-1e300", "\"x\"", "null", "[]", "{}", "0.5", "18446744073709551615"];

/// Every key beside every bad figure: a host that takes the figure as a time, a count or a size must not panic on it.
#[test]
fn what_is_accepted_can_be_used_by_a_host() {
    let site = Site {
        classes: vec![Class { aim: 2.0, deadline: 9.0, worth: 1.0, late_share: 0.2 }],
        servers: 2,
        guard: 0.5,
        attempts: 4,
        longest_pause: 2.0,
        dial: 0.5,
        flags: [false, true, true, true],
        cold: (0.3, 15.0, 2.0, 1.0),
        sockets: 256,
        memory: 64.0,
        held: 100,
        fields: vec!["free", "size"],
    };
    let mut accepted = Vec::new();
    for (place, name) in KEYS {
        for bad in BAD {
            let mut value = site.value(&PLAIN);
            *value.pointer_mut(place).unwrap() = serde_json::from_str(bad).unwrap();
            let text = value.to_string();
            let Ok(file) = read_file(text.as_bytes()) else { continue };
            accepted.push((name, bad));
            let mut edge = shalespindle_platform::Edge::new(file, BEGIN, UNIX).unwrap();
            edge.poll(BEGIN);
            while let Some(output) = edge.next_output() {
                if let shalespindle_platform::Output::Dial { timeout, .. } = output {
                    // What the shell does with it.
                    assert!(std::time::Duration::from_secs_f64(timeout) > std::time::Duration::ZERO);
                }
            }
        }
    }
    // No figure that makes no sense is among them.
    for (name, bad) in accepted {
        let sense = match name {
            "fields" => bad == "[]",
            "name" => bad == "\"x\"",
            "late_share" | "guard_s" | "max_retry_after_s" => bad == "0" || bad == "0.5",
            "most_held" | "sockets" => bad == "18446744073709551615",
            "worth" | "aim_s" | "deadline_s" | "dial_timeout_s" | "start_capacity" | "warm_after_s"
            | "fall_s" => bad == "0.5",
            _ => false,
        };
        assert!(sense, "{name} may be {bad}");
    }
}
