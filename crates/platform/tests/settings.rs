//! Start-up settings of any deployment that the platform allows, and invalid ones: the front starts or
//! reports the field and the allowed values, its time limits follow the settings, and names do not affect its
//! decisions.

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
struct Deployment {
    classes: Vec<Class>,
    servers: u16,
    guard: f64,
    max_attempts: u32,
    max_pause: f64,
    dial_timeout: f64,
    flags: [bool; 4],
    cold: (f64, f64, f64, f64),
    sockets: usize,
    memory: f64,
    max_pending: usize,
    fields: Vec<&'static str>,
}

fn class() -> impl Strategy<Value = Class> {
    (0.05f64..30.0, 0.2f64..60.0, 0.01f64..20.0, 0.0f64..1.0)
        .prop_map(|(aim, deadline, worth, late_share)| Class { aim, deadline, worth, late_share })
}

fn deployment() -> impl Strategy<Value = Deployment> {
    let limits = (64usize..4096, 8.0f64..2048.0, 1usize..20_000, any::<[bool; 4]>());
    let cold = (0.01f64..1.0, 0.1f64..60.0, 1.0f64..6.0, 0.1f64..10.0);
    let fields = proptest::sample::subsequence(vec!["free", "size", "latency_ms", "util", "queue"], 0..=5);
    let times = (0.0f64..10.0, 1u32..8, 0.0f64..10.0, 0.05f64..5.0);
    (proptest::collection::vec(class(), 1..6), 1u16..6, times, cold, limits, fields).prop_map(
        |(classes, servers, (guard, max_attempts, max_pause, dial_timeout), cold, limits, fields)| {
            let (sockets, memory, max_pending, flags) = limits;
            Deployment {
                classes,
                servers,
                guard,
                max_attempts,
                max_pause,
                dial_timeout,
                flags,
                cold,
                sockets,
                memory,
                max_pending,
                fields,
            }
        },
    )
}

impl Deployment {
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
                "limits": {"cancelling": self.flags[1], "dial_timeout_s": self.dial_timeout, "max_attempts": self.max_attempts,
                    "max_retry_after_s": self.max_pause, "most_held": self.max_pending, "probes": self.flags[2],
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

/// Plain names, and names that are prefixes of each other, in upper case, with dashes, or equal to words of
/// the protocol.
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

/// A scripted session: attaches of all classes at all pools, throttled, cut off, answered and ignored in
/// turn. Returns everything written, with class names replaced by their numbers.
fn scripted_session(deployment: &Deployment, names: &Names) -> Vec<(f64, u64, String)> {
    let mut front = TestFront::from(&deployment.value(names).to_string());
    let links: Vec<u64> = (0..deployment.servers)
        .filter(|c| front.dials.iter().any(|d| d.1 == 6000 + c))
        .collect::<Vec<_>>()
        .into_iter()
        .map(|cell| front.bring_up_link(cell))
        .collect();
    for call in 0..24u64 {
        let n = call as usize % deployment.classes.len();
        let lines = format!(
            "X-Setup-Ms: {:.0}\r\nX-Route: dest:{};width:1;via:-1\r\n",
            (1000.0 * deployment.classes[n].deadline).floor(),
            call % u64::from(deployment.servers)
        );
        let client = front.client();
        let invite = invite_with(call, &lines, "9d41\r\n");
        front.bytes(
            client,
            invite.replace("X-Service: voice", &format!("X-Service: {}", names.class(n))).as_bytes(),
        );
        for link in &links {
            if front.edge.gauges()[0] > 0 {
                let lines = match call % 5 {
                    0 => release(call, 34, r#""note":"throttled""#),
                    1 => release(call, 41, ""),
                    2 => answer(call),
                    _ => continue,
                };
                front.send_line(*link, &lines);
            }
        }
        if call % 7 == 6 {
            front.lose_connection(client, Loss::Broken);
        }
        front.advance(0.3);
    }
    front.edge.begin_shutdown(front.now);
    front.advance(5.0);
    assert!(front.edge.is_done(front.now));
    let log = std::mem::take(&mut front.log);
    let plain = |bytes: Option<Vec<u8>>| {
        let mut text = bytes.map_or("closed".to_string(), |b| String::from_utf8(b).unwrap());
        for n in (0..deployment.classes.len()).rev() {
            text = text.replace(&format!(r#""class":"{}""#, names.class(n)), &format!(r#""class":{n}"#));
        }
        text
    };
    log.into_iter().map(|(at, connection, bytes)| (at, connection, plain(bytes))).collect()
}

proptest! {
    // The same cases in every run.
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn names_do_not_affect_decisions(deployment in deployment()) {
        prop_assert_eq!(scripted_session(&deployment, &PLAIN), scripted_session(&deployment, &ODD));
    }

    /// With one silent server: the time-out is the latency target or the rest of the caller's patience, the
    /// next try keeps the guard, and the pause of a refusal is within its limit.
    #[test]
    fn time_limits_follow_the_settings(deployment in deployment()) {
        let mut front = TestFront::from(&deployment.value(&PLAIN).to_string());
        let links: Vec<u64> = (0..deployment.servers).map(|cell| front.bring_up_link(cell)).collect();
        let class = &deployment.classes[0];
        let ms = (1000.0 * class.deadline).floor();
        let client = front.client();
        let begin = front.now;
        let lines = format!("X-Setup-Ms: {ms:.0}\r\nX-Route: dest:0;width:1;via:-1\r\n");
        front.bytes(client, invite_with(1, &lines, "9d41\r\n").replace("X-Service: voice", "X-Service: a").as_bytes());
        front.advance(class.deadline + 1.0);
        let times_written = |part: &str| -> Vec<f64> {
            let matches = |e: &&(f64, u64, Option<Vec<u8>>)| links.contains(&e.1)
                && e.2.as_ref().is_some_and(|b| String::from_utf8_lossy(b).contains(part));
            front.log.iter().filter(matches).map(|e| e.0 - begin).collect()
        };
        let (sent, released) = (times_written(r#""setup""#), times_written(r#""release""#));
        prop_assert!(sent.len() <= deployment.max_attempts as usize && sent.len() == released.len(), "{sent:?} {released:?}");
        if let (Some(first), Some(end)) = (sent.first(), released.first()) {
            let wanted = class.aim.min(ms / 1000.0);
            prop_assert!(*first == 0.0 && (end - wanted).abs() < 1e-3, "time-out after {end}, {wanted} wanted");
        }
        for (next, end) in sent.iter().skip(1).zip(&released) {
            prop_assert!(next - end >= deployment.guard + 0.05, "{next} after {end}, guard {}", deployment.guard);
        }
        let answers = front.take_answers(client);
        prop_assert_eq!(answers.len(), 1);
        let text = String::from_utf8_lossy(front.log.iter().find(|e| e.1 == client).and_then(|e| e.2.as_ref()).unwrap()).to_string();
        let pause = text.split("Retry-After-Ms: ").nth(1).and_then(|t| t.split("\r\n").next()?.parse::<f64>().ok());
        let max_pause = if deployment.flags[3] { 1000.0 * deployment.max_pause } else { 0.0 };
        prop_assert!(pause.unwrap_or(0.0) <= max_pause.ceil(), "pause {pause:?}, limit {max_pause}");
    }

    /// With one invalid value: either the front starts and runs, or the error names the field and what is
    /// allowed.
    #[test]
    fn a_bad_value_is_reported_with_its_field_and_remedy(deployment in deployment(), key in 0usize..KEYS.len(), bad in 0usize..BAD_VALUES.len()) {
        let mut value = deployment.value(&PLAIN);
        let (path, name) = KEYS[key];
        *value.pointer_mut(path).unwrap() = serde_json::from_str(BAD_VALUES[bad]).unwrap();
        let text = value.to_string();
        match read_file(text.as_bytes()) {
            Ok(_) => {
                let mut front = TestFront::from(&text);
                let client = front.client();
                front.bytes(client, invite(1, 0).replace("X-Service: voice", "X-Service: a").as_bytes());
                front.advance(2.0);
            }
            Err(why) => {
                prop_assert!(why.contains(name), "{}: {why}", BAD_VALUES[bad]);
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
const BAD_VALUES: [&str; 10] =
    ["0", "-1", "1e300", "-1e300", "\"x\"", "null", "[]", "{}", "0.5", "18446744073709551615"];

/// Combines every field with every extreme value: a host that uses an accepted value as a time, a count or a
/// size must not panic.
#[test]
fn accepted_settings_never_make_a_host_panic() {
    let deployment = Deployment {
        classes: vec![Class { aim: 2.0, deadline: 9.0, worth: 1.0, late_share: 0.2 }],
        servers: 2,
        guard: 0.5,
        max_attempts: 4,
        max_pause: 2.0,
        dial_timeout: 0.5,
        flags: [false, true, true, true],
        cold: (0.3, 15.0, 2.0, 1.0),
        sockets: 256,
        memory: 64.0,
        max_pending: 100,
        fields: vec!["free", "size"],
    };
    let mut accepted = Vec::new();
    for (path, name) in KEYS {
        for bad in BAD_VALUES {
            let mut value = deployment.value(&PLAIN);
            *value.pointer_mut(path).unwrap() = serde_json::from_str(bad).unwrap();
            let text = value.to_string();
            let Ok(file) = read_file(text.as_bytes()) else { continue };
            accepted.push((name, bad));
            let mut edge = shalespindle_platform::Edge::new(file, BEGIN, UNIX).unwrap();
            edge.poll(BEGIN);
            while let Some(output) = edge.next_output() {
                if let shalespindle_platform::Output::Dial { timeout, .. } = output {
                    // The host converts the timeout like this.
                    assert!(std::time::Duration::from_secs_f64(timeout) > std::time::Duration::ZERO);
                }
            }
        }
    }
    // Values that make no sense are not accepted.
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
