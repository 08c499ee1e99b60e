//! Copies, warnings and operators' words among fronts, under a network that fails in every way.

mod common;

use common::{server, Net, HEARTBEAT_INTERVAL};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_peers::FrontId;
use shalespindle_replica::{
    DigestEntry, FleetEvent, FleetParams, Message, Output, ReportedState, ServerRecord,
};

fn record(incarnation: u64, reported: ReportedState) -> ServerRecord {
    ServerRecord { pool: 1, incarnation, reported, age: Some(1.0) }
}

fn params() -> FleetParams {
    // Small messages: everything takes several.
    FleetParams { max_message_bytes: 600, ..FleetParams::with_heartbeat_interval(HEARTBEAT_INTERVAL) }
}

/// Every message with a delay of its own.
fn net(count: usize, seed: u64) -> Net {
    let mut net = Net::new(count, seed, params());
    net.max_delay = HEARTBEAT_INTERVAL;
    net
}

#[test]
fn copies_are_equal_soon_after_the_last_fault_whatever_it_was() {
    for seed in 0..12 {
        let mut net = net(5, seed);
        net.loss = 0.3;
        let mut script = ChaCha8Rng::seed_from_u64(seed + 100);
        let mut incarnations = [1; 5];
        for _ in 0..60 {
            let front = script.random_range(0..5usize);
            match script.random_range(0..10) {
                0..=5 if net.fronts[front].is_some() => {
                    let told = [ReportedState::Ready, ReportedState::Draining, ReportedState::Gone]
                        [script.random_range(0..3)];
                    let (n, incarnation) = (script.random_range(1..40), script.random_range(1..4));
                    net.publish(front, n, record(incarnation, told));
                }
                6 if net.fronts[front].is_some() => net.withdraw(front, script.random_range(1..40)),
                7 => net.fronts[front] = None,
                8 => {
                    incarnations[front] += 1;
                    net.restart(front, incarnations[front]);
                }
                9 => {
                    let one_way = script.random_range(0..5);
                    net.cut = (0..5).filter(|to| *to != front).map(|to| (front, to)).collect();
                    net.cut.push((one_way, front));
                }
                _ => net.cut.clear(),
            }
            net.advance(0.3);
        }
        net.cut.clear();
        net.loss = 0.0;
        for (front, incarnation) in incarnations.into_iter().enumerate() {
            if net.fronts[front].is_none() {
                net.restart(front, incarnation + 1);
            }
        }
        // Ten beats: two for each message of the largest copy, and some to be heard of.
        net.advance(10.0 * HEARTBEAT_INTERVAL);
        assert!(net.replicas_are_equal(), "seed {seed}");
    }
}

#[test]
fn the_most_careful_word_counts_and_meetings_are_listed() {
    let mut net = net(3, 1);
    net.publish(0, 7, record(4, ReportedState::Ready));
    net.publish(1, 7, record(4, ReportedState::Draining));
    net.advance(2.0);
    let resolved = |events: &FleetEvent| matches!(events, FleetEvent::Server(s) if s.state == ReportedState::Draining && s.incarnation == 4);
    assert!(net.events[&2].iter().any(resolved));
    assert!(net.events[&0].iter().any(resolved), "front 0 called it ready");
    // Front 1 hears only what it knows better.
    assert!(!net.events.get(&1).is_some_and(|events| events.iter().any(resolved)));
    let status = net.fronts[2].as_ref().unwrap().status(net.now);
    assert_eq!((status.conflict_count, status.conflicts.len()), (1, 1));
    assert_eq!(status.conflicts[0].resolved, ReportedState::Draining);
    // A later start is another matter.
    net.publish(0, 7, record(5, ReportedState::Ready));
    net.advance(2.0);
    let last = net.events[&2].last().unwrap();
    assert!(
        matches!(last, FleetEvent::Server(s) if s.state == ReportedState::Ready && s.incarnation == 5),
        "{last:?}"
    );
    assert_eq!(net.fronts[2].as_ref().unwrap().status(net.now).conflicts, []);
}

#[test]
fn the_last_word_of_an_operator_counts_on_every_front_and_at_equal_versions_the_higher_fronts() {
    let mut net = net(3, 2);
    net.fronts[0].as_mut().unwrap().publish_level(0.0, Some(1), 60.0, "f0");
    net.advance(2.0);
    net.fronts[2].as_mut().unwrap().publish_level(2.0, Some(3), 60.0, "f2");
    net.advance(2.0);
    let level = |net: &Net, n: usize| match net.events[&n].last() {
        Some(FleetEvent::Level { level, issued_by, .. }) => (*level, issued_by.clone()),
        other => panic!("{other:?}"),
    };
    assert_eq!((level(&net, 0), level(&net, 1)), ((Some(3), "f2".into()), (Some(3), "f2".into())));
    // Two at once, on two sides of a cut.
    net.cut = vec![(0, 1), (1, 0), (0, 2), (2, 0)];
    net.fronts[0].as_mut().unwrap().publish_level(net.now, None, 0.0, "f0");
    net.fronts[1].as_mut().unwrap().publish_level(net.now, Some(2), 60.0, "f1");
    net.advance(2.0);
    net.cut.clear();
    net.advance(4.0);
    assert_eq!(level(&net, 0), (Some(2), "f1".into()));
    assert_eq!(level(&net, 2), (Some(2), "f1".into()));
}

#[test]
fn an_operators_word_outlives_the_front_that_was_asked() {
    let mut net = net(3, 6);
    net.fronts[0].as_mut().unwrap().publish_level(0.0, Some(2), 600.0, "f0");
    net.advance(2.0);
    // Its own front forgets it, and another joins while the first is away.
    net.fronts[0] = None;
    net.restart(1, 2);
    net.advance(2.0);
    net.restart(0, 2);
    net.events.clear();
    net.advance(3.0);
    let held = |events: &FleetEvent| matches!(events, FleetEvent::Level { level: Some(2), until, .. } if (590.0..610.0).contains(until));
    assert!(net.events[&0].iter().any(held), "{:?}", net.events);
    // A later word ends it everywhere, and it does not come back.
    let now = net.now;
    net.fronts[1].as_mut().unwrap().publish_level(now, None, 0.0, "f1");
    net.events.clear();
    net.advance(5.0);
    for front in [0, 2] {
        assert!(
            matches!(net.events[&front][..], [FleetEvent::Level { level: None, .. }]),
            "{:?}",
            net.events
        );
    }
}

#[test]
fn a_front_that_returns_empty_catches_up_and_one_that_left_is_forgotten_in_time() {
    let mut net = net(4, 3);
    for n in 1..200 {
        net.publish(0, n, record(1, ReportedState::Ready));
    }
    net.advance(4.0);
    assert!(net.replicas_are_equal());
    net.fronts[3] = None;
    net.advance(1.0);
    net.restart(3, 2);
    assert!(!net.fronts[3].as_ref().unwrap().status(net.now).caught_up);
    net.advance(10.0 * HEARTBEAT_INTERVAL);
    let status = net.fronts[3].as_ref().unwrap().status(net.now);
    assert!(status.caught_up);
    assert_eq!(
        status.peers.iter().map(|p| (p.facts, p.behind)).collect::<Vec<_>>(),
        [(199, 0), (0, 0), (0, 0)]
    );
    // Front 0 leaves in order: its words stay for a while, and then nobody brings them back.
    let now = net.now;
    net.fronts[0].as_mut().unwrap().leave(now);
    net.advance(0.2);
    net.fronts[0] = None;
    net.advance(1.0);
    assert_eq!(net.fronts[1].as_ref().unwrap().replicas().fact_count(FrontId(0)), 199);
    net.advance(params().retention + 5.0);
    for front in 1..4 {
        assert_eq!(net.fronts[front].as_ref().unwrap().replicas().fact_count(FrontId(0)), 0);
    }
    // Its next life is taken up.
    net.restart(0, 9);
    net.publish(0, 1, record(2, ReportedState::Gone));
    net.advance(3.0);
    assert_eq!(net.fronts[2].as_ref().unwrap().replicas().fact_count(FrontId(0)), 1);
}

#[test]
fn what_is_sent_grows_with_the_difference_and_not_with_the_state() {
    let sent = |facts: u16| {
        let mut net = net(3, 4);
        for n in 1..=facts {
            net.publish(0, n, record(1, ReportedState::Ready));
        }
        net.advance(10.0);
        let before = net.sent;
        net.publish(0, 1, record(1, ReportedState::Draining));
        net.advance(2.0);
        assert!(net.replicas_are_equal());
        net.sent - before
    };
    let (few, many) = (sent(10), sent(1000));
    assert!(many <= few + few / 4, "{few} messages beside 10 facts, {many} beside 1000");
}

#[test]
fn equal_seeds_and_inputs_give_equal_output() {
    let run = || {
        let mut net = net(5, 9);
        net.loss = 0.2;
        for n in 1..30 {
            net.publish(usize::from(n % 5), n, record(u64::from(n), ReportedState::Draining));
            net.advance(0.1);
        }
        (net.sent, format!("{:?}", net.events))
    };
    assert_eq!(run(), run());
}

#[test]
fn a_front_that_gave_its_name_up_tells_nothing_and_sleeps_until_its_next_beat() {
    let mut net = net(2, 7);
    net.advance(1.0);
    let now = net.now;
    let front = net.fronts[0].as_mut().unwrap();
    for _ in 0..5 {
        // Another process of its name with a higher nonce, each time a life ahead.
        let (front_id, incarnation) = (0, (front.incarnation().number + 1, 99));
        let (obsolete_up_to, ended) = ((0, 0), Vec::new());
        let known = DigestEntry {
            front: front_id,
            incarnation,
            heartbeat: 1,
            left: false,
            cursor: None,
            obsolete_up_to,
            ended,
        };
        front.receive(
            now,
            FrontId(1),
            Message::Digest { entries: vec![known], complete: false, wants_answer: false },
        );
    }
    assert!(front.status(now).silenced);
    front.publish_server(now, server(1), record(1, ReportedState::Ready));
    front.turn(now + HEARTBEAT_INTERVAL);
    assert!(
        front.next_wakeup() > now + HEARTBEAT_INTERVAL,
        "nothing that it may not say tracks_changes it awake"
    );
    while let Some(out) = front.next_output() {
        assert!(!matches!(out, Output::Send { message: Message::Deltas { .. }, .. }));
    }
}

#[test]
fn one_front_alone_never_waits_and_is_bounded() {
    let mut net = net(2, 5);
    net.cut = vec![(0, 1), (1, 0)];
    for round in 0..50u64 {
        for n in 1..100 {
            net.publish(0, n, record(round, ReportedState::Ready));
        }
        net.advance(0.1);
    }
    assert_eq!(net.fronts[0].as_ref().unwrap().status(net.now).own_facts, 99);
    assert!(net.in_flight.is_empty());
}

/// A network that delays each frame by another time turns bursts around: what comes before its turn is used all the
/// same, so that catching up takes little longer than over one that keeps order.
#[test]
fn parts_that_come_before_their_turn_are_not_lost() {
    let seconds = |late: f64| {
        let mut net = Net::new(2, 8, params());
        net.max_delay = late;
        net.fronts[1] = None;
        for n in 1..600 {
            net.publish(0, n, record(1, ReportedState::Ready));
        }
        net.restart(1, 2);
        let begin = net.now;
        while net.at(1).replicas().fact_count(FrontId(0)) < 599 {
            net.advance(HEARTBEAT_INTERVAL / 8.0);
            assert!(net.now - begin < 60.0, "they never come");
        }
        net.now - begin
    };
    let (steady, turned) = (seconds(0.0), seconds(HEARTBEAT_INTERVAL));
    // Six bursts, each there and back in two beats at most; one frame in its turn at a time would be fifty beats.
    assert!(turned < steady + 20.0 * HEARTBEAT_INTERVAL, "{steady} s in order, {turned} s turned around");
}
