//! A fleet of front processes, with faults on the paths between them.

#[path = "common/process.rs"]
#[allow(dead_code)]
mod process;

use process::{wait_for_value, wait_until, Sockets};
use shalespindle_console::{Reply, Request};
use shalespindle_rig::{check, look, play, Breach, Faults, Fleet, FleetShape, Row, Seen, State};
use std::net::{SocketAddr, UdpSocket};
use std::process::Command;
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_shalespindle");

fn server(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 9, 1], 21_000 + n))
}

fn row(n: u16, state: State, incarnation: u64) -> Row {
    Row { pool: n % 3, state, incarnation }
}

/// Starts fronts whose pool lists have three ready servers.
fn start_fleet(fronts: usize) -> Fleet {
    let mut fleet = Fleet::new(&FleetShape::new(PROGRAM, fronts, 1), None).unwrap();
    for feed in &fleet.feeds {
        (0..3).for_each(|n| feed.set(server(n), row(n, State::Ready, 1)));
    }
    (0..fronts).for_each(|front| fleet.start(front).unwrap());
    fleet
}

/// The state of a server at a front, as `members` prints it.
fn server_state(fleet: &Fleet, front: usize, n: u16) -> String {
    let members = fleet.members(front).unwrap().members;
    members.iter().find(|m| m.address == server(n)).map_or("unknown".into(), |m| m.status.clone())
}

fn wait_for_server_state(fleet: &Fleet, front: usize, n: u16, expected: &str) {
    wait_for_value("the state of a server", || server_state(fleet, front, n), |state| state == expected);
}

/// Waits until the replicas of all fronts agree, and returns the state of each front.
fn wait_until_equal(fleet: &Fleet) -> Vec<Seen> {
    wait_for_value("equal replicas", || check(&look(fleet).unwrap()), Vec::is_empty);
    look(fleet).unwrap()
}

#[test]
fn a_drain_in_one_list_reaches_every_front_and_one_that_restarts_without_state() {
    let mut fleet = start_fleet(3);
    wait_until("equal replicas", || check(&look(&fleet).unwrap()).is_empty());
    fleet.feeds[0].set(server(1), row(1, State::Draining, 1));
    for front in 0..3 {
        wait_for_server_state(&fleet, front, 1, "draining");
    }
    assert_eq!(server_state(&fleet, 2, 0), "in");
    // A killed front restarts without state; its own list still has the server as ready.
    fleet.kill(2);
    fleet.start(2).unwrap();
    wait_for_server_state(&fleet, 2, 1, "draining");
    wait_until("the restarted front to catch up", || fleet.standing(2).unwrap().caught_up);
    // The report of a front still applies after that front has crashed.
    fleet.kill(0);
    wait_until("front 0 to be detected as gone", || {
        let standing = fleet.standing(1).unwrap();
        standing.peers.iter().any(|p| p.name == "f0" && p.state == "gone")
    });
    assert_eq!(server_state(&fleet, 1, 1), "draining");
    // A later incarnation of the server that the lists report as ready is used again.
    fleet.start(0).unwrap();
    fleet.feeds.iter().for_each(|feed| feed.set(server(1), row(1, State::Ready, 2)));
    for front in 0..3 {
        wait_for_server_state(&fleet, front, 1, "in");
    }
    wait_until_equal(&fleet);
}

#[test]
fn a_partitioned_fleet_stays_in_service_and_applies_the_stricter_state_afterwards() {
    let fleet = start_fleet(4);
    wait_until_equal(&fleet);
    let partition = |faults: &mut Faults| {
        let apart = |a: usize, b: usize| (a < 2) != (b < 2);
        let pairs = (0..4).flat_map(|a| (0..4).map(move |b| (a, b)));
        faults.cut = pairs.filter(|(a, b)| apart(*a, *b)).collect();
    };
    fleet.relays.set(partition);
    fleet.feeds[0].set(server(0), row(0, State::Draining, 1));
    fleet.feeds[3].set(server(2), row(2, State::Gone, 1));
    wait_for_server_state(&fleet, 1, 0, "draining");
    wait_for_server_state(&fleet, 2, 2, "out");
    wait_until("both sides to detect the other as gone", || {
        let is_gone = |front: usize, name: &str| {
            let peers = fleet.standing(front).unwrap().peers;
            peers.iter().any(|p| p.name == name && p.state == "gone")
        };
        is_gone(1, "f2") && is_gone(2, "f1")
    });
    assert_eq!((server_state(&fleet, 2, 0), server_state(&fleet, 1, 2)), ("in".into(), "in".into()));
    fleet.relays.set(|faults| faults.cut.clear());
    wait_for_server_state(&fleet, 3, 0, "draining");
    wait_for_server_state(&fleet, 0, 2, "out");
    let seen = wait_until_equal(&fleet);
    // Every front counts and lists each conflict between the pool lists.
    assert!(seen.iter().all(|s| s.standing.conflict_count >= 2 && s.standing.conflicts.len() == 2));
    let mut command = Command::new(PROGRAM);
    let output = command.args(["fleet", "diff", "--config"]).arg(fleet.settings(1)).output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains(&server(0).to_string()) && text.contains("counts as draining"), "{text}");
}

#[test]
fn random_faults_leave_equal_replicas_and_admit_no_drained_server() {
    let mut starts = 0;
    for seed in [3, 7] {
        let shape = FleetShape::new(PROGRAM, 4, seed);
        let summary = play(&shape, 25, None, &mut |_| ()).unwrap();
        assert_eq!(summary.breaches, Vec::<String>::new(), "seed {seed}");
        assert!(summary.frames_passed > 100, "{summary:?}");
        starts += summary.starts;
    }
    assert!(starts > 8, "too few restarts: {starts} starts");
}

#[test]
fn each_check_reports_a_planted_breach() {
    let fleet = start_fleet(3);
    wait_until_equal(&fleet);
    fleet.feeds[0].set(server(1), row(1, State::Draining, 1));
    wait_for_server_state(&fleet, 2, 1, "draining");
    let check_with = |modify: &dyn Fn(&mut Vec<Seen>)| {
        let mut seen = wait_until_equal(&fleet);
        modify(&mut seen);
        check(&seen)
    };
    let found = check_with(&|seen| seen[1].standing.peers[0].digest ^= 1);
    assert!(matches!(&found[..], [Breach::CopiesDiffer { of, .. }] if of != "f1"), "{found:?}");
    let found = check_with(&|seen| seen[1].standing.peers[1].behind = 3);
    assert!(matches!(found[..], [Breach::Behind { by: 3, .. }]), "{found:?}");
    let found = check_with(&|seen| seen[2].standing.peers[0].state = "gone".into());
    assert!(matches!(found[..], [Breach::Unheard { .. }]), "{found:?}");
    let set_state = |seen: &mut Vec<Seen>, n: u16, status: &str| {
        let members = &mut seen[2].members.members;
        members.iter_mut().find(|m| m.address == server(n)).unwrap().status = status.into();
    };
    let found = check_with(&|seen| set_state(seen, 1, "in"));
    assert!(matches!(found[..], [Breach::LetIn { by: 0, .. }]), "{found:?}");
    let found = check_with(&|seen| set_state(seen, 2, "out"));
    assert!(matches!(found[..], [Breach::KeptOut { .. }]), "{found:?}");
}

fn level(fleet: &Fleet, front: usize) -> Option<(usize, bool)> {
    match fleet.ask(front, &Request::Status) {
        Some(Reply::Status(s)) => s.level.map(|l| (l.level, l.pinned_for.is_some())),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_pin_at_one_front_applies_to_all_including_one_that_starts_later() {
    let mut fleet = start_fleet(3);
    fleet.kill(2);
    let mut command = Command::new(PROGRAM);
    command.args(["pin", "2", "--for", "10m", "--fleet", "--config"]).arg(fleet.settings(0));
    assert!(command.status().unwrap().success());
    fleet.start(2).unwrap();
    for front in 0..3 {
        wait_for_value("the pin", || level(&fleet, front), |got| *got == Some((2, true)));
    }
    let mut command = Command::new(PROGRAM);
    assert!(command
        .args(["unpin", "--fleet", "--config"])
        .arg(fleet.settings(1))
        .status()
        .unwrap()
        .success());
    for front in 0..3 {
        wait_for_value("the end of the pin", || level(&fleet, front), |got| got.is_some_and(|l| !l.1));
    }
}

#[test]
fn foreign_and_forged_frames_are_counted_and_ignored() {
    let fleet = start_fleet(2);
    wait_until_equal(&fleet);
    let settings: String = std::fs::read_to_string(fleet.settings(0)).unwrap();
    let listen = settings.split("[fleet]").nth(1).unwrap().split("listen = \"").nth(1).unwrap();
    let to: SocketAddr = listen.split('"').next().unwrap().parse().unwrap();
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    for n in 0..2000u32 {
        let mut frame = b"sf\x02".to_vec();
        frame.extend(std::iter::repeat_n(n as u8, 40));
        stranger.send_to(&frame, to).unwrap();
        stranger.send_to(b"INVITE sip:who", to).unwrap();
    }
    wait_until("the foreign and forged frames to be counted", || {
        let counts = fleet.standing(0).unwrap().counts;
        counts["frames_forged"] > 0 && counts["frames_foreign"] > 0
    });
    fleet.feeds[1].set(server(0), row(0, State::Draining, 1));
    wait_for_server_state(&fleet, 0, 0, "draining");
}

#[test]
fn a_front_that_shuts_down_in_order_is_not_suspected() {
    let mut fleet = start_fleet(3);
    wait_until_equal(&fleet);
    assert!(fleet.end(1).unwrap());
    wait_until("the departure to be known", || {
        [0, 2].iter().all(|front| {
            let peers = fleet.standing(*front).unwrap().peers;
            peers.iter().any(|p| p.name == "f1" && p.state == "left")
        })
    });
    fleet.start(1).unwrap();
    wait_until_equal(&fleet);
}

#[test]
fn peers_can_be_added_and_removed_in_service() {
    let mut fleet = Fleet::new(&FleetShape::new(PROGRAM, 3, 1), None).unwrap();
    let full: Vec<String> = (0..3).map(|f| std::fs::read_to_string(fleet.settings(f)).unwrap()).collect();
    // Fronts 0 and 1 know only each other.
    let without = |text: &str| text.split("[[fleet.peers]]\nname = \"f2\"").next().unwrap().to_string();
    let write = |fleet: &Fleet, f: usize, text: &str| std::fs::write(fleet.settings(f), text).unwrap();
    (0..2).for_each(|f| write(&fleet, f, &without(&full[f])));
    fleet.feeds.iter().for_each(|feed| feed.set(server(0), row(0, State::Ready, 1)));
    (0..3).for_each(|f| fleet.start(f).unwrap());
    let states = |fleet: &Fleet, f: usize| -> Vec<(String, String)> {
        let peers = fleet.standing(f).unwrap().peers;
        let mut states: Vec<(String, String)> = peers.into_iter().map(|p| (p.name, p.state)).collect();
        states.sort();
        states
    };
    let alive =
        |names: &[&str]| names.iter().map(|n| (n.to_string(), "alive".to_string())).collect::<Vec<_>>();
    wait_for_value("two fronts", || states(&fleet, 0), |got| *got == alive(&["f1"]));
    fleet.feeds[2].set(server(0), row(0, State::Draining, 1));
    wait_until("frames of the unlisted front to be counted", || {
        fleet.standing(0).unwrap().counts["of_strangers"] > 0
    });
    assert_eq!(server_state(&fleet, 0, 0), "in", "reports of an unlisted front are ignored");
    // The front is added to the list and later removed again.
    (0..2).for_each(|f| write(&fleet, f, &full[f]));
    (0..2).for_each(|f| fleet.reload(f).unwrap());
    wait_for_value("three fronts", || states(&fleet, 0), |got| *got == alive(&["f1", "f2"]));
    wait_for_server_state(&fleet, 0, 0, "draining");
    (0..2).for_each(|f| write(&fleet, f, &without(&full[f])));
    (0..2).for_each(|f| fleet.reload(f).unwrap());
    wait_for_value("two fronts after the removal", || states(&fleet, 1), |got| *got == alive(&["f0"]));
}

#[test]
fn a_second_process_with_the_same_name_does_not_replace_a_front() {
    let fleet = start_fleet(3);
    wait_until_equal(&fleet);
    let first = fleet.standing(0).unwrap().incarnation;
    let good = std::fs::read_to_string(fleet.settings(0)).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let (path, console) = (folder.path().join("twin.toml"), folder.path().join("twin.sock"));
    // The settings differ only in the addresses to listen on.
    let lines = good.lines().map(|line| match line.split_once(" = ") {
        Some(("listen", _)) => "listen = \"127.0.0.1:0\"".to_string(),
        Some(("socket", _)) => format!("socket = {console:?}"),
        _ => line.to_string(),
    });
    std::fs::write(&path, lines.collect::<Vec<_>>().join("\n")).unwrap();
    let twin = process::Front::run(&path, std::process::Stdio::null());
    // The others report the later incarnation of the twin to the first process, which then takes a higher
    // one.
    wait_until("the front to take a later incarnation than its twin", || {
        let reply = shalespindle_console::ask(&console, &Request::Fleet, Duration::from_secs(5));
        let Ok(Reply::Fleet(of_twin)) = reply else { return false };
        fleet.standing(0).unwrap().incarnation > of_twin.incarnation.max(first)
    });
    fleet.feeds[0].set(server(1), row(1, State::Draining, 1));
    wait_for_server_state(&fleet, 1, 1, "draining");
    wait_for_server_state(&fleet, 2, 1, "draining");
    drop(twin);
    wait_until_equal(&fleet);
    assert!(!fleet.standing(0).unwrap().silenced);
}

/// Invalid settings are reported with their key and what is allowed, and the front does not start.
#[test]
fn invalid_fleet_settings_are_reported() {
    let fleet = Fleet::new(&FleetShape::new(PROGRAM, 2, 1), None).unwrap();
    let good = std::fs::read_to_string(fleet.settings(0)).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("front.toml");
    for (from, to, expected) in [
        ("name = \"f1\"", "name = \"f0\"", "fleet.peers[1].name"),
        ("every = \"100ms\"", "every = \"0s\"", "fleet.every"),
        ("suspect_after = \"800ms\"", "suspect_after = \"50ms\"", "fleet.suspect_after"),
        ("bytes = 1200", "bytes = 100", "fleet.bytes"),
        ("key_file = \"", "key_file = \"/none", "64 hex digits are allowed"),
    ] {
        let text = good.replace(from, to);
        assert_ne!(text, good, "{from}");
        std::fs::write(&path, text).unwrap();
        let output = Command::new(PROGRAM).args(["run", "--config"]).arg(&path).output().unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        let reported =
            stderr.contains(expected) || expected.starts_with("64") && stderr.contains("fleet.key_file");
        assert!(!output.status.success() && reported, "{expected}: {stderr}");
    }
}

/// Without `[fleet]` a front opens no socket for peers.
#[test]
fn a_front_without_a_fleet_opens_no_peer_socket() {
    let fleet = Fleet::new(&FleetShape::new(PROGRAM, 2, 1), None).unwrap();
    let text = std::fs::read_to_string(fleet.settings(0)).unwrap();
    std::fs::write(fleet.settings(0), text.split("[fleet]").next().unwrap()).unwrap();
    // The front answers on its console, but has no fleet.
    let mut command = Command::new(PROGRAM);
    command.args(["run", "--config"]).arg(fleet.settings(0)).stderr(std::process::Stdio::null());
    let front = process::Front(command.spawn().unwrap());
    wait_until("the front to answer", || matches!(fleet.ask(0, &Request::Status), Some(Reply::Status(_))));
    assert!(matches!(fleet.ask(0, &Request::Fleet), Some(Reply::Bad { .. })));
    let datagrams = Sockets::of(&front).rows("udp", 9);
    let mut ports: Vec<&str> = datagrams.iter().map(|row| row[1].as_str()).collect();
    ports.sort();
    ports.dedup();
    assert_eq!(ports.len(), 1, "only the callers' socket");
}
