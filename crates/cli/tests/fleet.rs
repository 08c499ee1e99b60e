//! Several processes of the program as fronts of one fleet, with faults between them.

#[path = "common/process.rs"]
#[allow(dead_code)]
mod process;

use process::{until, until_got, Sockets};
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

/// Fronts in service whose lists call three servers ready.
fn fleet(fronts: usize) -> Fleet {
    let mut fleet = Fleet::new(&FleetShape::new(PROGRAM, fronts, 1), None).unwrap();
    for feed in &fleet.feeds {
        (0..3).for_each(|n| feed.set(server(n), row(n, State::Ready, 1)));
    }
    (0..fronts).for_each(|front| fleet.start(front).unwrap());
    fleet
}

fn verdict(fleet: &Fleet, front: usize, n: u16) -> String {
    let members = fleet.members(front).unwrap().members;
    members.iter().find(|m| m.address == server(n)).map_or("unknown".into(), |m| m.status.clone())
}

fn until_verdict(fleet: &Fleet, front: usize, n: u16, wanted: &str) {
    until_got("a verdict", || verdict(fleet, front, n), |got| got == wanted);
}

fn until_equal(fleet: &Fleet) -> Vec<Seen> {
    until_got("copies that are equal", || check(&look(fleet).unwrap()), Vec::is_empty);
    look(fleet).unwrap()
}

#[test]
fn a_drain_that_one_list_tells_reaches_every_front_and_one_that_returns_from_nothing() {
    let mut fleet = fleet(3);
    until("all know each other", || check(&look(&fleet).unwrap()).is_empty());
    fleet.feeds[0].set(server(1), row(1, State::Draining, 1));
    for front in 0..3 {
        until_verdict(&fleet, front, 1, "draining");
    }
    assert_eq!(verdict(&fleet, 2, 0), "in");
    // Killed outright, it comes back empty; its own list still calls the server ready.
    fleet.kill(2);
    fleet.start(2).unwrap();
    until_verdict(&fleet, 2, 1, "draining");
    until("the front that returned has caught up", || fleet.standing(2).unwrap().caught_up);
    // The front that was told is gone: what it said still counts.
    fleet.kill(0);
    until("front 0 is missed", || {
        let standing = fleet.standing(1).unwrap();
        standing.peers.iter().any(|p| p.name == "f0" && p.state == "gone")
    });
    assert_eq!(verdict(&fleet, 1, 1), "draining");
    // A later start that their own lists tell is let in.
    fleet.start(0).unwrap();
    fleet.feeds.iter().for_each(|feed| feed.set(server(1), row(1, State::Ready, 2)));
    for front in 0..3 {
        until_verdict(&fleet, front, 1, "in");
    }
    until_equal(&fleet);
}

#[test]
fn on_two_sides_of_a_cut_each_front_goes_on_alone_and_after_it_the_more_careful_word_counts() {
    let fleet = fleet(4);
    until_equal(&fleet);
    let sides = |faults: &mut Faults| {
        let apart = |a: usize, b: usize| (a < 2) != (b < 2);
        let pairs = (0..4).flat_map(|a| (0..4).map(move |b| (a, b)));
        faults.cut = pairs.filter(|(a, b)| apart(*a, *b)).collect();
    };
    fleet.relays.set(sides);
    fleet.feeds[0].set(server(0), row(0, State::Draining, 1));
    fleet.feeds[3].set(server(2), row(2, State::Gone, 1));
    until_verdict(&fleet, 1, 0, "draining");
    until_verdict(&fleet, 2, 2, "out");
    until("both sides miss each other", || {
        let missed = |front: usize, name: &str| {
            let peers = fleet.standing(front).unwrap().peers;
            peers.iter().any(|p| p.name == name && p.state == "gone")
        };
        missed(1, "f2") && missed(2, "f1")
    });
    assert_eq!((verdict(&fleet, 2, 0), verdict(&fleet, 1, 2)), ("in".into(), "in".into()));
    fleet.relays.set(|faults| faults.cut.clear());
    until_verdict(&fleet, 3, 0, "draining");
    until_verdict(&fleet, 0, 2, "out");
    let seen = until_equal(&fleet);
    // Each meeting of lists that differ is counted on every front and listed.
    assert!(seen.iter().all(|s| s.standing.conflict_count >= 2 && s.standing.conflicts.len() == 2));
    let mut command = Command::new(PROGRAM);
    let output = command.args(["fleet", "diff", "--config"]).arg(fleet.settings(1)).output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains(&server(0).to_string()) && text.contains("counts as draining"), "{text}");
}

#[test]
fn plans_of_faults_leave_equal_copies_and_let_no_server_in() {
    let mut starts = 0;
    for seed in [3, 7] {
        let shape = FleetShape::new(PROGRAM, 4, seed);
        let summary = play(&shape, 25, None, &mut |_| ()).unwrap();
        assert_eq!(summary.breaches, Vec::<String>::new(), "seed {seed}");
        assert!(summary.frames_passed > 100, "{summary:?}");
        starts += summary.starts;
    }
    assert!(starts > 8, "nothing was started again in {starts}");
}

#[test]
fn each_checker_is_shown_failing() {
    let fleet = fleet(3);
    until_equal(&fleet);
    fleet.feeds[0].set(server(1), row(1, State::Draining, 1));
    until_verdict(&fleet, 2, 1, "draining");
    let broken = |plant: &dyn Fn(&mut Vec<Seen>)| {
        let mut seen = until_equal(&fleet);
        plant(&mut seen);
        check(&seen)
    };
    let found = broken(&|seen| seen[1].standing.peers[0].digest ^= 1);
    assert!(matches!(&found[..], [Breach::CopiesDiffer { of, .. }] if of != "f1"), "{found:?}");
    let found = broken(&|seen| seen[1].standing.peers[1].behind = 3);
    assert!(matches!(found[..], [Breach::Behind { by: 3, .. }]), "{found:?}");
    let found = broken(&|seen| seen[2].standing.peers[0].state = "gone".into());
    assert!(matches!(found[..], [Breach::Unheard { .. }]), "{found:?}");
    let say = |seen: &mut Vec<Seen>, n: u16, verdict: &str| {
        let members = &mut seen[2].members.members;
        members.iter_mut().find(|m| m.address == server(n)).unwrap().status = verdict.into();
    };
    let found = broken(&|seen| say(seen, 1, "in"));
    assert!(matches!(found[..], [Breach::LetIn { by: 0, .. }]), "{found:?}");
    let found = broken(&|seen| say(seen, 2, "out"));
    assert!(matches!(found[..], [Breach::KeptOut { .. }]), "{found:?}");
}

fn level(fleet: &Fleet, front: usize) -> Option<(usize, bool)> {
    match fleet.ask(front, &Request::Status) {
        Some(Reply::Status(s)) => s.level.map(|l| (l.level, l.pinned_for.is_some())),
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_operators_word_to_one_front_holds_on_all_and_is_told_to_one_that_comes_later() {
    let mut fleet = fleet(3);
    fleet.kill(2);
    let mut command = Command::new(PROGRAM);
    command.args(["pin", "2", "--for", "10m", "--fleet", "--config"]).arg(fleet.settings(0));
    assert!(command.status().unwrap().success());
    fleet.start(2).unwrap();
    for front in 0..3 {
        until_got("the pin", || level(&fleet, front), |got| *got == Some((2, true)));
    }
    let mut command = Command::new(PROGRAM);
    assert!(command
        .args(["unpin", "--fleet", "--config"])
        .arg(fleet.settings(1))
        .status()
        .unwrap()
        .success());
    for front in 0..3 {
        until_got("its end", || level(&fleet, front), |got| got.is_some_and(|l| !l.1));
    }
}

#[test]
fn strangers_and_forgers_are_counted_and_harm_nobody() {
    let fleet = fleet(2);
    until_equal(&fleet);
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
    until("the strangers are counted", || {
        let counts = fleet.standing(0).unwrap().counts;
        counts["frames_forged"] > 0 && counts["frames_foreign"] > 0
    });
    fleet.feeds[1].set(server(0), row(0, State::Draining, 1));
    until_verdict(&fleet, 0, 0, "draining");
}

#[test]
fn a_front_that_ends_in_order_is_not_suspected() {
    let mut fleet = fleet(3);
    until_equal(&fleet);
    assert!(fleet.end(1).unwrap());
    until("its departure is known", || {
        [0, 2].iter().all(|front| {
            let peers = fleet.standing(*front).unwrap().peers;
            peers.iter().any(|p| p.name == "f1" && p.state == "left")
        })
    });
    fleet.start(1).unwrap();
    until_equal(&fleet);
}

#[test]
fn the_list_of_fronts_grows_and_shrinks_in_service() {
    let mut fleet = Fleet::new(&FleetShape::new(PROGRAM, 3, 1), None).unwrap();
    let whole: Vec<String> = (0..3).map(|f| std::fs::read_to_string(fleet.settings(f)).unwrap()).collect();
    // Fronts 0 and 1 know each other alone.
    let without = |text: &str| text.split("[[fleet.peers]]\nname = \"f2\"").next().unwrap().to_string();
    let write = |fleet: &Fleet, f: usize, text: &str| std::fs::write(fleet.settings(f), text).unwrap();
    (0..2).for_each(|f| write(&fleet, f, &without(&whole[f])));
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
    until_got("two fronts", || states(&fleet, 0), |got| *got == alive(&["f1"]));
    fleet.feeds[2].set(server(0), row(0, State::Draining, 1));
    until("the stranger is counted", || fleet.standing(0).unwrap().counts["of_strangers"] > 0);
    assert_eq!(verdict(&fleet, 0, 0), "in", "a front that is not on the list is not heard");
    // It is put on the list, and later taken off again: then its word counts no more.
    (0..2).for_each(|f| write(&fleet, f, &whole[f]));
    (0..2).for_each(|f| fleet.reload(f).unwrap());
    until_got("three fronts", || states(&fleet, 0), |got| *got == alive(&["f1", "f2"]));
    until_verdict(&fleet, 0, 0, "draining");
    (0..2).for_each(|f| write(&fleet, f, &without(&whole[f])));
    (0..2).for_each(|f| fleet.reload(f).unwrap());
    until_got("two fronts again", || states(&fleet, 1), |got| *got == alive(&["f0"]));
}

#[test]
fn a_second_process_under_a_fronts_name_does_not_take_its_place() {
    let fleet = fleet(3);
    until_equal(&fleet);
    let first = fleet.standing(0).unwrap().incarnation;
    let good = std::fs::read_to_string(fleet.settings(0)).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let (path, console) = (folder.path().join("twin.toml"), folder.path().join("twin.sock"));
    // Everything is the front's but where it listens.
    let lines = good.lines().map(|line| match line.split_once(" = ") {
        Some(("listen", _)) => "listen = \"127.0.0.1:0\"".to_string(),
        Some(("socket", _)) => format!("socket = {console:?}"),
        _ => line.to_string(),
    });
    std::fs::write(&path, lines.collect::<Vec<_>>().join("\n")).unwrap();
    let twin = process::Front::run(&path, std::process::Stdio::null());
    // The others hear of its life, which is later, and tell the front: it takes one above.
    until("the front has a later life than its twin", || {
        let asked = shalespindle_console::ask(&console, &Request::Fleet, Duration::from_secs(5));
        let Ok(Reply::Fleet(of_twin)) = asked else { return false };
        fleet.standing(0).unwrap().incarnation > of_twin.incarnation.max(first)
    });
    fleet.feeds[0].set(server(1), row(1, State::Draining, 1));
    until_verdict(&fleet, 1, 1, "draining");
    until_verdict(&fleet, 2, 1, "draining");
    drop(twin);
    until_equal(&fleet);
    assert!(!fleet.standing(0).unwrap().silenced);
}

/// Settings that cannot be: the place and what is allowed, and nothing starts.
#[test]
fn bad_fleet_settings_are_named() {
    let fleet = Fleet::new(&FleetShape::new(PROGRAM, 2, 1), None).unwrap();
    let good = std::fs::read_to_string(fleet.settings(0)).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("front.toml");
    for (from, to, wanted) in [
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
        let said = String::from_utf8(output.stderr).unwrap();
        let named = said.contains(wanted) || wanted.starts_with("64") && said.contains("fleet.key_file");
        assert!(!output.status.success() && named, "{wanted}: {said}");
    }
}

/// Without `[fleet]` nothing of it is opened.
#[test]
fn a_front_that_knows_no_others_opens_no_socket_for_them() {
    let fleet = Fleet::new(&FleetShape::new(PROGRAM, 2, 1), None).unwrap();
    let text = std::fs::read_to_string(fleet.settings(0)).unwrap();
    std::fs::write(fleet.settings(0), text.split("[fleet]").next().unwrap()).unwrap();
    // It answers, so that it is up; but not on the fleet.
    let mut command = Command::new(PROGRAM);
    command.args(["run", "--config"]).arg(fleet.settings(0)).stderr(std::process::Stdio::null());
    let front = process::Front(command.spawn().unwrap());
    until("the front answers", || matches!(fleet.ask(0, &Request::Status), Some(Reply::Status(_))));
    assert!(matches!(fleet.ask(0, &Request::Fleet), Some(Reply::Bad { .. })));
    let datagrams = Sockets::of(&front).rows("udp", 9);
    let mut ports: Vec<&str> = datagrams.iter().map(|row| row[1].as_str()).collect();
    ports.sort();
    ports.dedup();
    assert_eq!(ports.len(), 1, "its callers' alone");
}
