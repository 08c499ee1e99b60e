//! Fronts that return in the middle of things: killed while they take or send what is missing, stopped for longer than
//! anything is remembered, half of them at once, with a hundred thousand calls.

#[path = "common/process.rs"]
#[allow(dead_code)]
mod process;

use process::until;
use shalespindle_peer_store::File;
use shalespindle_peer_wire::front_id;
use shalespindle_peers::Incarnation;
use shalespindle_replica::{CallRecord, Fact, Key, ReplicaParams, Replicas};
use shalespindle_rig::{check, look, Faults, Fleet, FleetShape, Row, State};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PROGRAM: &str = env!("CARGO_BIN_EXE_shalespindle");
const SERVERS: u16 = 300;

fn server(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 9, 1], 24_000 + n))
}

fn tell(fleet: &Fleet, front: usize, n: u16, state: State, incarnation: u64) {
    fleet.feeds[front].set(server(n), Row { pool: n % 3, state, incarnation });
}

/// Fronts of which the first has much to tell.
fn fleet(shape: &FleetShape) -> Fleet {
    let mut fleet = Fleet::new(shape, None).unwrap();
    (0..SERVERS).for_each(|n| tell(&fleet, 0, n, State::Ready, 1));
    (0..shape.fronts).for_each(|front| fleet.start(front).unwrap());
    until_equal(&fleet);
    fleet
}

fn until_equal(fleet: &Fleet) {
    process::until_got("copies that are equal", || check(&look(fleet).unwrap()), Vec::is_empty);
}

/// Facts that a front holds of another.
fn held(fleet: &Fleet, front: usize, of: usize) -> usize {
    let name = format!("f{of}");
    let peers = fleet.standing(front).map(|s| s.peers).unwrap_or_default();
    peers.iter().find(|p| p.name == name).map_or(0, |p| p.facts)
}

#[test]
fn a_front_killed_while_it_takes_or_sends_what_is_missing_leaves_equal_copies() {
    let mut shape = FleetShape::new(PROGRAM, 3, 1);
    shape.keep_every = Some(Duration::from_millis(5));
    let mut fleet = fleet(&shape);
    // Slow enough that a front can be met in the middle of it.
    let slow = |faults: &mut Faults| faults.delay = Duration::from_millis(15);
    let mut in_the_middle = 0;
    for (round, part) in [1, 40, 80, 120, 160, 200, 240, 280].into_iter().enumerate() {
        fleet.relays.set(slow);
        fleet.kill(2);
        // Every other time from nothing, else from what it has kept of the time before.
        if round % 2 == 0 {
            std::fs::remove_file(fleet.kept(2)).unwrap();
        }
        (0..SERVERS).for_each(|n| tell(&fleet, 0, n, State::Ready, round as u64 + 2));
        fleet.start(2).unwrap();
        until("so much of it is there", || held(&fleet, 2, 0) >= part);
        in_the_middle += usize::from(held(&fleet, 2, 0) < usize::from(SERVERS));
        let dies = if round % 4 < 2 { 2 } else { 0 };
        fleet.kill(dies);
        fleet.start(dies).unwrap();
        fleet.relays.set(|faults| faults.delay = Duration::ZERO);
        until_equal(&fleet);
    }
    assert!(in_the_middle >= 2, "only {in_the_middle} were met in the middle");
}

#[test]
fn a_front_that_stood_still_for_longer_than_anything_is_remembered_begins_anew() {
    let mut shape = FleetShape::new(PROGRAM, 3, 1);
    shape.more = "hold_calls = \"300ms\"\nkeep = \"1500ms\"\nremember = \"400ms\"".into();
    let mut fleet = fleet(&shape);
    fleet.hold(2, true).unwrap();
    let begin = Instant::now();
    // Its socket fills up; nobody waits for it.
    for round in 0..20u64 {
        (0..SERVERS).for_each(|n| tell(&fleet, 0, n, State::Ready, round + 2));
        let asked = Instant::now();
        assert!(fleet.standing(1).is_some() && asked.elapsed() < Duration::from_secs(5));
        std::thread::sleep(Duration::from_millis(20));
    }
    tell(&fleet, 1, 5, State::Draining, 21);
    std::thread::sleep(Duration::from_millis(2500).saturating_sub(begin.elapsed()));
    fleet.hold(2, false).unwrap();
    until_equal(&fleet);
    assert_eq!(held(&fleet, 2, 0), usize::from(SERVERS));
}

#[test]
fn half_of_the_fleet_and_all_of_it_started_anew_at_once() {
    let mut shape = FleetShape::new(PROGRAM, 4, 1);
    shape.keep_every = Some(Duration::from_millis(20));
    let mut fleet = fleet(&shape);
    for some in [vec![0, 1], vec![2, 3], vec![0, 1, 2, 3]] {
        tell(&fleet, some[0], 7, State::Draining, 1);
        some.iter().for_each(|front| fleet.kill(*front));
        some.iter().for_each(|front| fleet.start(*front).unwrap());
        until_equal(&fleet);
    }
}

fn call(n: u64) -> CallRecord {
    let at = SocketAddr::from(([127, 0, 9, 2], 5060));
    CallRecord {
        epoch: 1,
        server: at,
        leg_call_id: format!("{n:016x}-{n:x}-{n:x}"),
        leg_from: format!("<sip:front@127.0.0.1>;tag={n:016x}"),
        leg_to: format!("<sip:+91{n:010}@127.0.0.1>;tag=s{n:08x}"),
        leg_target: "sip:s@127.0.9.2:5060".into(),
        call_id: format!("{n:016x}@caller.example.org"),
        local: format!("<sip:+91{n:010}@127.0.0.1>;tag={n:016x}"),
        remote: format!("<sip:r@example.org>;tag=g{n:08x}"),
        target: "sip:r@127.0.9.3:5060".into(),
        caller: Some(at),
    }
}

/// A front whose file holds that many calls, and two that know nothing: seconds until its calls are its own again, and
/// until the others have them.
fn with_calls(calls: u64) -> (f64, f64) {
    let mut shape = FleetShape::new(PROGRAM, 3, 1);
    (shape.keep_every, shape.bytes) = (Some(Duration::from_millis(500)), 8000);
    shape.more = format!("facts = {}", 3 * calls);
    let mut fleet = Fleet::new(&shape, None).unwrap();
    let (own, wall) = (front_id("f0"), SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64());
    let params = ReplicaParams { max_facts: calls as usize, deletion_retention: 300.0 };
    let mut copies = Replicas::new(params, own, Incarnation { number: 1, nonce: 1 });
    (0..calls).for_each(|n| {
        copies.write(0.0, Key::Call(n), Fact::Call(Box::new(call(n)))).unwrap();
    });
    let (file, ..) = File::open(fleet.kept(0), own).unwrap();
    file.write(&copies.changes(0.0, wall, true)).unwrap();
    drop(file);
    let begin = Instant::now();
    (0..3).for_each(|front| fleet.start(front).unwrap());
    let taken = || fleet.standing(0).unwrap().counts["calls_taken_back"];
    until("its calls are its own again", || taken() == calls);
    let back = begin.elapsed().as_secs_f64();
    until("the others have them", || (1..3).all(|front| held(&fleet, front, 0) == calls as usize));
    let all = begin.elapsed().as_secs_f64();
    until_equal(&fleet);
    (back, all)
}

#[test]
fn calls_by_the_thousand_come_back_from_a_file_and_reach_the_others() {
    with_calls(3000);
}

/// By hand (`--ignored --nocapture`).
#[test]
#[ignore = "a measurement"]
fn a_hundred_thousand_calls() {
    for calls in [1000, 10_000, 100_000] {
        let (back, all) = with_calls(calls);
        println!(
            "{calls} calls: {back:.1} s until they are its own again, {all:.1} s until the others have them"
        );
    }
}
