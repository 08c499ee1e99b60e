//! Fronts that are killed and restart with the state they stored on disk, be it current, outdated or damaged.

#[path = "common/cluster.rs"]
#[allow(dead_code)]
mod cluster;
#[allow(dead_code)]
mod common;

use cluster::{call_id, send_bye_to, Cluster, PROGRAM};
use common::{in_dialog, reply, status, wait_until, Caller};
use shalespindle_console::{Reply, Request};
use shalespindle_peer_service::PersistenceState;
use shalespindle_peer_store::File;
use shalespindle_peer_wire::front_id;
use shalespindle_replica::Changes;
use shalespindle_rig::{Fleet, FleetShape, Row, State};
use shalespindle_signalling::Method;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

const KEEP_EVERY: Option<Duration> = Some(Duration::from_millis(20));

fn count(fleet: &Fleet, front: usize, name: &str) -> u64 {
    fleet.standing(front).unwrap().counts[name]
}

/// Waits until the current state of a front is on disk, that is, until two more writes are done.
fn wait_until_stored(cluster: &Cluster, front: usize) {
    let writes = count(&cluster.fleet, front, "steps_kept") + 2;
    // A write is skipped when nothing changed, but repeated after a while.
    cluster.wait_until("the state to be stored", |fleet| count(fleet, front, "steps_kept") >= writes);
}

fn kill_all(cluster: &mut Cluster) {
    (0..3).for_each(|front| cluster.fleet.kill(front));
}

#[test]
fn calls_survive_killing_the_whole_fleet_at_once() {
    for keep_every in [None, KEEP_EVERY] {
        let mut cluster = Cluster::with_storage("", keep_every);
        let caller = Caller::new(cluster.front(0));
        caller.send(&caller.invite("1", "idukki"));
        let (ok, set_up) = cluster.establish_call(&caller, 1, 0);
        if keep_every.is_some() {
            wait_until_stored(&cluster, 0);
        }
        kill_all(&mut cluster);
        (0..3).for_each(|front| cluster.start(front));
        if keep_every.is_none() {
            // Control case: without storage no front knows the call any more.
            cluster.wait_until("all fronts to catch up", |fleet| {
                (0..3).all(|f| fleet.standing(f).unwrap().caught_up)
            });
            assert_eq!(status(&send_bye_to(&caller, cluster.front(0), &ok)), 481);
            continue;
        }
        cluster
            .wait_until("the front to take its call back", |fleet| count(fleet, 0, "calls_taken_back") == 1);
        assert_eq!(status(&send_bye_to(&caller, cluster.front(0), &ok)), 200);
        let (connection, bye) = cluster.server.expect(Method::Bye);
        assert_eq!(call_id(&bye), call_id(&set_up));
        cluster.server.send(connection, &reply(&bye, 200, ""));
    }
}

#[test]
fn a_pin_survives_killing_the_whole_fleet_at_once() {
    let mut cluster = Cluster::with_storage("", KEEP_EVERY);
    let mut command = Command::new(PROGRAM);
    command.args(["pin", "2", "--for", "10m", "--fleet", "--config"]).arg(cluster.fleet.settings(1));
    assert!(command.status().unwrap().success());
    let level = |fleet: &Fleet, front: usize| match fleet.ask(front, &Request::Status) {
        Some(Reply::Status(s)) => s.level.map(|l| (l.level, l.pinned_for.is_some())),
        other => panic!("{other:?}"),
    };
    cluster.wait_until("the pin on all fronts", |fleet| (0..3).all(|f| level(fleet, f) == Some((2, true))));
    (0..3).for_each(|front| wait_until_stored(&cluster, front));
    kill_all(&mut cluster);
    (0..3).for_each(|front| cluster.start(front));
    cluster.wait_until("the pin to be restored on all fronts", |fleet| {
        (0..3).all(|f| level(fleet, f) == Some((2, true)))
    });
}

#[test]
fn ended_calls_are_not_restored_from_an_old_file() {
    let mut cluster = Cluster::with_storage("", KEEP_EVERY);
    let caller = Caller::new(cluster.front(0));
    let mut calls = Vec::new();
    for nth in 1..4 {
        caller.send(&caller.invite(&nth.to_string(), "idukki"));
        calls.push(cluster.establish_call(&caller, nth, 0).0);
    }
    wait_until_stored(&cluster, 0);
    cluster.fleet.put_aside(0).unwrap();
    cluster.start(0);
    cluster.wait_until("the front to take its calls back", |fleet| count(fleet, 0, "calls_taken_back") == 3);
    for ok in &calls[..2] {
        assert_eq!(status(&send_bye_to(&caller, cluster.front(0), ok)), 200);
        let (connection, bye) = cluster.server.expect(Method::Bye);
        cluster.server.send(connection, &reply(&bye, 200, ""));
    }
    // The other fronts know that two calls have ended, while the old file holds all three as established.
    cluster.wait_until("the releases replicated", |fleet| {
        let own = fleet.standing(0).unwrap().own_digest;
        let is_current =
            |f: usize| fleet.standing(f).unwrap().peers.iter().any(|p| p.name == "f0" && p.digest == own);
        is_current(1) && is_current(2)
    });
    cluster.fleet.put_back(0).unwrap();
    cluster.start(0);
    cluster.wait_until("the front to take the remaining call back", |fleet| {
        count(fleet, 0, "calls_taken_back") >= 1
    });
    cluster.wait_until("the front to catch up", |fleet| fleet.standing(0).unwrap().caught_up);
    for ok in &calls[..2] {
        assert_eq!(status(&send_bye_to(&caller, cluster.front(0), ok)), 200, "the call has ended already");
    }
    assert_eq!(status(&send_bye_to(&caller, cluster.front(0), &calls[2])), 200);
    let (connection, bye) = cluster.server.expect(Method::Bye);
    cluster.server.send(connection, &reply(&bye, 200, ""));
    assert_eq!((cluster.server.count(Method::Bye), count(&cluster.fleet, 0, "calls_taken_back")), (0, 1));
}

/// Rewrites the stored state of a front as if its clock had been ahead by `seconds` at the time of writing.
fn shift_saved_at(path: &Path, seconds: f64) {
    let (file, stored, _) = File::open(path, front_id("f0")).unwrap();
    let stored = stored.unwrap();
    let incarnations = stored.incarnations.iter().map(|(incarnation, _)| *incarnation).collect();
    let saved_at = stored.saved_at + seconds;
    file.write(&Changes { incarnations, obsolete: stored.obsolete, saved_at, ..Changes::default() }).unwrap();
}

/// No calls are taken from a file that is dated in the future or older than the retention time.
#[test]
fn no_calls_are_restored_from_a_file_from_the_future_or_from_yesterday() {
    let mut cluster = Cluster::with_storage("", KEEP_EVERY);
    let caller = Caller::new(cluster.front(0));
    caller.send(&caller.invite("1", "idukki"));
    cluster.establish_call(&caller, 1, 0);
    wait_until_stored(&cluster, 0);
    kill_all(&mut cluster);
    for (shift, expected) in [(3600.0, false), (-86_400.0, false), (0.0, true)] {
        let path = cluster.fleet.kept(0).to_path_buf();
        shift_saved_at(&path, shift);
        std::fs::copy(&path, path.with_extension("shifted")).unwrap();
        cluster.start(0);
        let restored = count(&cluster.fleet, 0, "facts_restored");
        assert_eq!(restored > 0, expected, "shifted by {shift} s: {restored}");
        cluster.fleet.kill(0);
        // Restores the original file for the next case.
        std::fs::copy(path.with_extension("shifted"), &path).unwrap();
        shift_saved_at(&path, -shift);
    }
}

#[test]
fn a_front_killed_during_writes_leaves_an_intact_file() {
    let mut cluster = Cluster::with_storage("", Some(Duration::from_millis(1)));
    for round in 0..12u16 {
        for n in 0..40 {
            let state = if (n + round) % 2 == 0 { State::Ready } else { State::Draining };
            let address = ([127, 0, 9, 1], 22_000 + n).into();
            cluster.fleet.feeds[0].set(address, Row { pool: 1, state, incarnation: u64::from(round) + 2 });
        }
        std::thread::sleep(Duration::from_millis(3 * u64::from(round)));
        cluster.fleet.kill(0);
        let mut command = Command::new(PROGRAM);
        command.args(["fleet", "kept", "--config"]).arg(cluster.fleet.settings(0));
        let output = command.output().unwrap();
        let printed = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success() && printed.contains("fronts"), "{printed}");
        cluster.start(0);
    }
    assert_eq!(count(&cluster.fleet, 0, "lives_not_restored"), 0);
}

#[test]
fn a_front_without_a_usable_file_stays_in_service_and_reports_it() {
    let mut cluster = Cluster::with_storage("", KEEP_EVERY);
    wait_until_stored(&cluster, 1);
    // While the front runs, it holds the file open exclusively.
    let mut command = Command::new(PROGRAM);
    let output = command.args(["fleet", "kept", "--config"]).arg(cluster.fleet.settings(1)).output().unwrap();
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("another process has it open"));
    // An unreadable file is set aside and a new one created.
    cluster.fleet.kill(1);
    std::fs::write(cluster.fleet.kept(1), "of no sense").unwrap();
    cluster.start(1);
    wait_until_stored(&cluster, 1);
    assert_eq!(cluster.fleet.standing(1).unwrap().persistence, PersistenceState::Good);
    assert_eq!(std::fs::read(cluster.fleet.kept(1).with_extension("spoilt")).unwrap(), b"of no sense");
    // A file of another front is not used and not changed.
    kill_all(&mut cluster);
    std::fs::copy(cluster.fleet.kept(2), cluster.fleet.kept(1)).unwrap();
    (0..3).for_each(|front| cluster.start(front));
    let failing = |state: PersistenceState, what: &str| matches!(state, PersistenceState::Failing(why) if why.contains(what));
    assert!(failing(cluster.fleet.standing(1).unwrap().persistence, "another front"));
    // The front takes part in the fleet nevertheless.
    let caller = Caller::new(cluster.front(1));
    caller.send(&caller.invite("1", "idukki"));
    let (ok, _) = cluster.establish_call(&caller, 1, 1);
    caller.send(&in_dialog(&ok, "BYE"));
}

/// A limit of 8 KiB on the size of files simulates a full disk.
#[test]
fn a_full_disk_is_reported_and_does_not_block_the_fleet() {
    let folder = tempfile::tempdir().unwrap();
    let script = folder.path().join("limited");
    // With SIGXFSZ ignored, a write past the limit fails instead of killing the process.
    let text = format!("#!/bin/sh\ntrap '' XFSZ\nulimit -f 16\nexec {PROGRAM} \"$@\"\n");
    std::fs::write(&script, text).unwrap();
    std::fs::set_permissions(&script, std::fs::Permissions::from_mode(0o755)).unwrap();
    let mut shape = FleetShape::new(&script, 2, 1);
    shape.keep_every = KEEP_EVERY;
    let mut fleet = Fleet::new(&shape, None).unwrap();
    (0..2).for_each(|front| fleet.start(front).unwrap());
    let address = ([127, 0, 9, 1], 23_000).into();
    fleet.feeds[0].set(address, Row { pool: 1, state: State::Draining, incarnation: 1 });
    wait_until("the other front to replicate it", || {
        fleet.standing(1).unwrap().peers.iter().any(|p| p.facts == 1 && p.state == "alive")
    });
    wait_until("the failing writes to be reported", || {
        matches!(fleet.standing(0).unwrap().persistence, PersistenceState::Failing(_))
    });
    fleet.kill(0);
    fleet.start(0).unwrap();
    wait_until("the front to catch up", || fleet.standing(0).unwrap().caught_up);
}
