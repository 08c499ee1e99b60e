//! Recovery of replicas: fronts killed during catch-up, stopped for longer than the retention time, restarted
//! in groups, and restarted with many calls.

#[path = "common/process.rs"]
#[allow(dead_code)]
mod process;

use process::wait_until;
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

/// Sets the state of a server in the pool list of a front.
fn set_server(fleet: &Fleet, front: usize, n: u16, state: State, incarnation: u64) {
    fleet.feeds[front].set(server(n), Row { pool: n % 3, state, incarnation });
}

/// A fleet whose first front has many servers to replicate.
fn fleet(shape: &FleetShape) -> Fleet {
    let mut fleet = Fleet::new(shape, None).unwrap();
    (0..SERVERS).for_each(|n| set_server(&fleet, 0, n, State::Ready, 1));
    (0..shape.fronts).for_each(|front| fleet.start(front).unwrap());
    until_equal(&fleet);
    fleet
}

fn until_equal(fleet: &Fleet) {
    process::wait_for_value("equal replicas", || check(&look(fleet).unwrap()), Vec::is_empty);
}

/// Number of facts that a front has replicated from another.
fn replicated(fleet: &Fleet, front: usize, of: usize) -> usize {
    let name = format!("f{of}");
    let peers = fleet.standing(front).map(|s| s.peers).unwrap_or_default();
    peers.iter().find(|p| p.name == name).map_or(0, |p| p.facts)
}

#[test]
fn killing_either_side_of_a_catch_up_leaves_equal_replicas() {
    let mut shape = FleetShape::new(PROGRAM, 3, 1);
    shape.keep_every = Some(Duration::from_millis(5));
    let mut fleet = fleet(&shape);
    // Slow enough that a front can be killed during catch-up.
    let slow = |faults: &mut Faults| faults.delay = Duration::from_millis(15);
    let mut partial = 0;
    for (round, facts) in [1, 40, 80, 120, 160, 200, 240, 280].into_iter().enumerate() {
        fleet.relays.set(slow);
        fleet.kill(2);
        // Alternates between starting without a file and starting from the stored state.
        if round % 2 == 0 {
            std::fs::remove_file(fleet.kept(2)).unwrap();
        }
        (0..SERVERS).for_each(|n| set_server(&fleet, 0, n, State::Ready, round as u64 + 2));
        fleet.start(2).unwrap();
        wait_until("the facts replicated so far", || replicated(&fleet, 2, 0) >= facts);
        partial += usize::from(replicated(&fleet, 2, 0) < usize::from(SERVERS));
        let victim = if round % 4 < 2 { 2 } else { 0 };
        fleet.kill(victim);
        fleet.start(victim).unwrap();
        fleet.relays.set(|faults| faults.delay = Duration::ZERO);
        until_equal(&fleet);
    }
    assert!(partial >= 2, "only {partial} kills came during catch-up");
}

#[test]
fn a_front_stopped_for_longer_than_the_retention_time_starts_over() {
    let mut shape = FleetShape::new(PROGRAM, 3, 1);
    shape.more = "hold_calls = \"300ms\"\nkeep = \"1500ms\"\nremember = \"400ms\"".into();
    let mut fleet = fleet(&shape);
    fleet.hold(2, true).unwrap();
    let start = Instant::now();
    // Its socket buffer fills up, which must not block the others.
    for round in 0..20u64 {
        (0..SERVERS).for_each(|n| set_server(&fleet, 0, n, State::Ready, round + 2));
        let asked = Instant::now();
        assert!(fleet.standing(1).is_some() && asked.elapsed() < Duration::from_secs(5));
        std::thread::sleep(Duration::from_millis(20));
    }
    set_server(&fleet, 1, 5, State::Draining, 21);
    std::thread::sleep(Duration::from_millis(2500).saturating_sub(start.elapsed()));
    fleet.hold(2, false).unwrap();
    until_equal(&fleet);
    assert_eq!(replicated(&fleet, 2, 0), usize::from(SERVERS));
}

#[test]
fn restarting_half_or_all_of_the_fleet_at_once_leaves_equal_replicas() {
    let mut shape = FleetShape::new(PROGRAM, 4, 1);
    shape.keep_every = Some(Duration::from_millis(20));
    let mut fleet = fleet(&shape);
    for group in [vec![0, 1], vec![2, 3], vec![0, 1, 2, 3]] {
        set_server(&fleet, group[0], 7, State::Draining, 1);
        group.iter().for_each(|front| fleet.kill(*front));
        group.iter().for_each(|front| fleet.start(*front).unwrap());
        until_equal(&fleet);
    }
}

/// The record of call number `n`.
fn call(n: u64) -> CallRecord {
    let address = SocketAddr::from(([127, 0, 9, 2], 5060));
    CallRecord {
        epoch: 1,
        server: address,
        leg_call_id: format!("{n:016x}-{n:x}-{n:x}"),
        leg_from: format!("<sip:front@127.0.0.1>;tag={n:016x}"),
        leg_to: format!("<sip:+91{n:010}@127.0.0.1>;tag=s{n:08x}"),
        leg_target: "sip:s@127.0.9.2:5060".into(),
        call_id: format!("{n:016x}@caller.example.org"),
        local: format!("<sip:+91{n:010}@127.0.0.1>;tag={n:016x}"),
        remote: format!("<sip:r@example.org>;tag=g{n:08x}"),
        target: "sip:r@127.0.9.3:5060".into(),
        caller: Some(address),
    }
}

/// Starts a front whose file holds this many calls, and two fronts without state. Returns the seconds until
/// the first has taken its calls back, and until the others have replicated them.
fn recover_calls(calls: u64) -> (f64, f64) {
    let mut shape = FleetShape::new(PROGRAM, 3, 1);
    (shape.keep_every, shape.bytes) = (Some(Duration::from_millis(500)), 8000);
    shape.more = format!("facts = {}", 3 * calls);
    let mut fleet = Fleet::new(&shape, None).unwrap();
    let (own, wall) = (front_id("f0"), SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64());
    let params = ReplicaParams { max_facts: calls as usize, deletion_retention: 300.0 };
    let mut replicas = Replicas::new(params, own, Incarnation { number: 1, nonce: 1 });
    (0..calls).for_each(|n| {
        replicas.write(0.0, Key::Call(n), Fact::Call(Box::new(call(n)))).unwrap();
    });
    let (file, ..) = File::open(fleet.kept(0), own).unwrap();
    file.write(&replicas.changes(0.0, wall, true)).unwrap();
    drop(file);
    let start = Instant::now();
    (0..3).for_each(|front| fleet.start(front).unwrap());
    let taken_back = || fleet.standing(0).unwrap().counts["calls_taken_back"];
    wait_until("the front to take its calls back", || taken_back() == calls);
    let seconds_taken_back = start.elapsed().as_secs_f64();
    wait_until("the calls replicated to the others", || {
        (1..3).all(|front| replicated(&fleet, front, 0) == calls as usize)
    });
    let seconds_replicated = start.elapsed().as_secs_f64();
    until_equal(&fleet);
    (seconds_taken_back, seconds_replicated)
}

#[test]
fn thousands_of_calls_are_restored_from_a_file_and_replicated() {
    recover_calls(3000);
}

/// Prints the recovery times. Run manually with `--ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn recovery_times_up_to_a_hundred_thousand_calls() {
    for calls in [1000, 10_000, 100_000] {
        let (taken_back, replicated) = recover_calls(calls);
        println!("{calls} calls: {taken_back:.1} s until taken back, {replicated:.1} s until replicated");
    }
}
