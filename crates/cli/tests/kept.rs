//! What outlives a process: fronts that are killed and return with what they kept on disk, right, old or spoilt.

#[allow(dead_code)]
mod common;
#[path = "common/place.rs"]
#[allow(dead_code)]
mod place;

use common::{reply, status, until, within, Caller};
use place::{bye_elsewhere, call_id, Place, PROGRAM};
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

const KEEPS: Option<Duration> = Some(Duration::from_millis(20));

fn count(fleet: &Fleet, front: usize, name: &str) -> u64 {
    fleet.standing(front).unwrap().counts[name]
}

/// Waits until what a front knows now is on its disk: two steps that began after it was known.
fn until_kept(place: &Place, front: usize) {
    let steps = count(&place.fleet, front, "steps_kept") + 2;
    // A step is left out where nothing changed, and made again after a while.
    place.until("it is kept", |fleet| count(fleet, front, "steps_kept") >= steps);
}

fn kill_all(place: &mut Place) {
    (0..3).for_each(|front| place.fleet.kill(front));
}

#[test]
fn calls_outlive_a_whole_fleet_that_is_killed_at_once() {
    for keeps in [None, KEEPS] {
        let mut place = Place::shaped("", keeps);
        let caller = Caller::new(place.front(0));
        caller.send(&caller.invite("1", "idukki"));
        let (ok, set_up) = place.stands(&caller, 1, 0);
        if keeps.is_some() {
            until_kept(&place, 0);
        }
        kill_all(&mut place);
        (0..3).for_each(|front| place.start(front));
        if keeps.is_none() {
            // The check is shown failing: nobody knows the call any more.
            place.until("all have caught up", |fleet| (0..3).all(|f| fleet.standing(f).unwrap().caught_up));
            assert_eq!(status(&bye_elsewhere(&caller, place.front(0), &ok)), 481);
            continue;
        }
        place.until("its call is its own again", |fleet| count(fleet, 0, "calls_taken_back") == 1);
        assert_eq!(status(&bye_elsewhere(&caller, place.front(0), &ok)), 200);
        let (at, bye) = place.server.expect(Method::Bye);
        assert_eq!(call_id(&bye), call_id(&set_up));
        place.server.send(at, &reply(&bye, 200, ""));
    }
}

#[test]
fn an_operators_word_outlives_a_whole_fleet_that_is_killed_at_once() {
    let mut place = Place::shaped("", KEEPS);
    let mut command = Command::new(PROGRAM);
    command.args(["pin", "2", "--for", "10m", "--fleet", "--config"]).arg(place.fleet.settings(1));
    assert!(command.status().unwrap().success());
    let level = |fleet: &Fleet, front: usize| match fleet.ask(front, &Request::Status) {
        Some(Reply::Status(s)) => s.level.map(|l| (l.level, l.pinned_for.is_some())),
        other => panic!("{other:?}"),
    };
    place.until("the pin is everywhere", |fleet| (0..3).all(|f| level(fleet, f) == Some((2, true))));
    (0..3).for_each(|front| until_kept(&place, front));
    kill_all(&mut place);
    (0..3).for_each(|front| place.start(front));
    place.until("the pin is there again", |fleet| (0..3).all(|f| level(fleet, f) == Some((2, true))));
}

#[test]
fn calls_that_ended_do_not_come_back_with_an_old_file() {
    let mut place = Place::shaped("", KEEPS);
    let caller = Caller::new(place.front(0));
    let mut calls = Vec::new();
    for nth in 1..4 {
        caller.send(&caller.invite(&nth.to_string(), "idukki"));
        calls.push(place.stands(&caller, nth, 0).0);
    }
    until_kept(&place, 0);
    place.fleet.put_aside(0).unwrap();
    place.start(0);
    place.until("its calls are its own again", |fleet| count(fleet, 0, "calls_taken_back") == 3);
    for ok in &calls[..2] {
        assert_eq!(status(&bye_elsewhere(&caller, place.front(0), ok)), 200);
        let (at, bye) = place.server.expect(Method::Bye);
        place.server.send(at, &reply(&bye, 200, ""));
    }
    // The others know that two are over; its old file says that all three stand.
    place.until("that is known", |fleet| {
        let own = fleet.standing(0).unwrap().own_digest;
        let has =
            |f: usize| fleet.standing(f).unwrap().peers.iter().any(|p| p.name == "f0" && p.digest == own);
        has(1) && has(2)
    });
    place.fleet.put_back(0).unwrap();
    place.start(0);
    place.until("the one is its own again", |fleet| count(fleet, 0, "calls_taken_back") >= 1);
    place.until("it has caught up", |fleet| fleet.standing(0).unwrap().caught_up);
    for ok in &calls[..2] {
        assert_eq!(
            status(&bye_elsewhere(&caller, place.front(0), ok)),
            200,
            "known to be over, released once"
        );
    }
    assert_eq!(status(&bye_elsewhere(&caller, place.front(0), &calls[2])), 200);
    let (at, bye) = place.server.expect(Method::Bye);
    place.server.send(at, &reply(&bye, 200, ""));
    assert_eq!((place.server.count(Method::Bye), count(&place.fleet, 0, "calls_taken_back")), (0, 1));
}

/// What a front kept, as a clock that differs by so much would have had it written.
fn move_clock(path: &Path, by: f64) {
    let (file, kept, _) = File::open(path, front_id("f0")).unwrap();
    let kept = kept.unwrap();
    let incarnations = kept.incarnations.iter().map(|(life, _)| *life).collect();
    let saved_at = kept.saved_at + by;
    file.write(&Changes { incarnations, obsolete: kept.obsolete, saved_at, ..Changes::default() }).unwrap();
}

/// A file whose age cannot be believed, or is past what anybody remembers: nothing of its calls is taken.
#[test]
fn a_file_from_the_future_or_from_yesterday_gives_no_calls() {
    let mut place = Place::shaped("", KEEPS);
    let caller = Caller::new(place.front(0));
    caller.send(&caller.invite("1", "idukki"));
    place.stands(&caller, 1, 0);
    until_kept(&place, 0);
    kill_all(&mut place);
    for (moved, taken) in [(3600.0, false), (-86_400.0, false), (0.0, true)] {
        let path = place.fleet.kept(0).to_path_buf();
        move_clock(&path, moved);
        std::fs::copy(&path, path.with_extension("moved")).unwrap();
        place.start(0);
        let restored = count(&place.fleet, 0, "facts_restored");
        assert_eq!(restored > 0, taken, "moved by {moved}: {restored}");
        place.fleet.kill(0);
        // As it was, for the next.
        std::fs::copy(path.with_extension("moved"), &path).unwrap();
        move_clock(&path, -moved);
    }
}

#[test]
fn a_front_killed_at_any_moment_of_its_writing_leaves_a_file_that_is_whole() {
    let mut place = Place::shaped("", Some(Duration::from_millis(1)));
    for round in 0..12u16 {
        for n in 0..40 {
            let state = if (n + round) % 2 == 0 { State::Ready } else { State::Draining };
            let address = ([127, 0, 9, 1], 22_000 + n).into();
            place.fleet.feeds[0].set(address, Row { pool: 1, state, incarnation: u64::from(round) + 2 });
        }
        std::thread::sleep(Duration::from_millis(3 * u64::from(round)));
        place.fleet.kill(0);
        let mut command = Command::new(PROGRAM);
        command.args(["fleet", "kept", "--config"]).arg(place.fleet.settings(0));
        let output = command.output().unwrap();
        let said = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success() && said.contains("fronts"), "{said}");
        place.start(0);
    }
    assert_eq!(count(&place.fleet, 0, "lives_not_restored"), 0);
}

#[test]
fn without_a_file_that_can_be_used_a_front_goes_on_and_says_so() {
    let mut place = Place::shaped("", KEEPS);
    until_kept(&place, 1);
    // Asked while it runs: the file is its own.
    let mut command = Command::new(PROGRAM);
    let output = command.args(["fleet", "kept", "--config"]).arg(place.fleet.settings(1)).output().unwrap();
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("another process has it open"));
    // One of no sense is put aside, and begun anew.
    place.fleet.kill(1);
    std::fs::write(place.fleet.kept(1), "of no sense").unwrap();
    place.start(1);
    until_kept(&place, 1);
    assert_eq!(place.fleet.standing(1).unwrap().persistence, PersistenceState::Good);
    assert_eq!(std::fs::read(place.fleet.kept(1).with_extension("spoilt")).unwrap(), b"of no sense");
    // Another front's is left alone.
    kill_all(&mut place);
    std::fs::copy(place.fleet.kept(2), place.fleet.kept(1)).unwrap();
    (0..3).for_each(|front| place.start(front));
    let failing = |state: PersistenceState, what: &str| matches!(state, PersistenceState::Failing(why) if why.contains(what));
    assert!(failing(place.fleet.standing(1).unwrap().persistence, "another front"));
    // It has its part in the fleet all the same.
    let caller = Caller::new(place.front(1));
    caller.send(&caller.invite("1", "idukki"));
    let (ok, _) = place.stands(&caller, 1, 1);
    caller.send(&within(&ok, "BYE"));
}

/// A disk on which each file has room for 8 KiB.
#[test]
fn a_full_disk_keeps_nothing_and_holds_nobody_up() {
    let folder = tempfile::tempdir().unwrap();
    let script = folder.path().join("limited");
    // A write past the limit is an error then, not the end of the process.
    let text = format!("#!/bin/sh\ntrap '' XFSZ\nulimit -f 16\nexec {PROGRAM} \"$@\"\n");
    std::fs::write(&script, text).unwrap();
    std::fs::set_permissions(&script, std::fs::Permissions::from_mode(0o755)).unwrap();
    let mut shape = FleetShape::new(&script, 2, 1);
    shape.keep_every = KEEPS;
    let mut fleet = Fleet::new(&shape, None).unwrap();
    (0..2).for_each(|front| fleet.start(front).unwrap());
    let address = ([127, 0, 9, 1], 23_000).into();
    fleet.feeds[0].set(address, Row { pool: 1, state: State::Draining, incarnation: 1 });
    until("the other hears of it", || {
        fleet.standing(1).unwrap().peers.iter().any(|p| p.facts == 1 && p.state == "alive")
    });
    until("that is told", || matches!(fleet.standing(0).unwrap().persistence, PersistenceState::Failing(_)));
    fleet.kill(0);
    fleet.start(0).unwrap();
    until("it has caught up", || fleet.standing(0).unwrap().caught_up);
}
