//! Replicas, warnings and operators' orders among fronts, over a network with every kind of fault.

mod common;

use common::{server, Network, HEARTBEAT_INTERVAL};
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
    // Small messages, so that everything takes several.
    FleetParams { max_message_bytes: 600, ..FleetParams::with_heartbeat_interval(HEARTBEAT_INTERVAL) }
}

/// A network that draws a delay for each message.
fn net(count: usize, seed: u64) -> Network {
    let mut net = Network::new(count, seed, params());
    net.max_delay = HEARTBEAT_INTERVAL;
    net
}

#[test]
fn replicas_converge_soon_after_the_last_fault() {
    for seed in 0..12 {
        let mut net = net(5, seed);
        net.loss = 0.3;
        let mut script = ChaCha8Rng::seed_from_u64(seed + 100);
        let mut incarnations = [1; 5];
        for _ in 0..60 {
            let front = script.random_range(0..5usize);
            match script.random_range(0..10) {
                0..=5 if net.fronts[front].is_some() => {
                    let state = [ReportedState::Ready, ReportedState::Draining, ReportedState::Gone]
                        [script.random_range(0..3)];
                    let (n, incarnation) = (script.random_range(1..40), script.random_range(1..4));
                    net.publish(front, n, record(incarnation, state));
                }
                6 if net.fronts[front].is_some() => net.withdraw(front, script.random_range(1..40)),
                7 => net.fronts[front] = None,
                8 => {
                    incarnations[front] += 1;
                    net.restart(front, incarnations[front]);
                }
                9 => {
                    let cut_sender = script.random_range(0..5);
                    net.cut = (0..5).filter(|to| *to != front).map(|to| (front, to)).collect();
                    net.cut.push((cut_sender, front));
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
        // Ten heartbeat intervals: two for each message of the largest replica, and some for the fronts to
        // find each other.
        net.advance(10.0 * HEARTBEAT_INTERVAL);
        assert!(net.replicas_are_equal(), "seed {seed}");
    }
}

#[test]
fn the_most_severe_state_wins_and_conflicts_are_listed() {
    let mut net = net(3, 1);
    net.publish(0, 7, record(4, ReportedState::Ready));
    net.publish(1, 7, record(4, ReportedState::Draining));
    net.advance(2.0);
    let is_draining = |event: &FleetEvent| matches!(event, FleetEvent::Server(s) if s.state == ReportedState::Draining && s.incarnation == 4);
    assert!(net.events[&2].iter().any(is_draining));
    assert!(net.events[&0].iter().any(is_draining), "front 0 reported it as ready");
    // Front 1 receives only reports that are less severe than its own.
    assert!(!net.events.get(&1).is_some_and(|events| events.iter().any(is_draining)));
    let status = net.fronts[2].as_ref().unwrap().status(net.now);
    assert_eq!((status.conflict_count, status.conflicts.len()), (1, 1));
    assert_eq!(status.conflicts[0].resolved, ReportedState::Draining);
    // A later incarnation of the server is evaluated on its own.
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
fn the_latest_level_order_wins_on_every_front_and_the_higher_issuer_at_equal_versions() {
    let mut net = net(3, 2);
    net.fronts[0].as_mut().unwrap().publish_level(0.0, Some(1), 60.0, "f0");
    net.advance(2.0);
    net.fronts[2].as_mut().unwrap().publish_level(2.0, Some(3), 60.0, "f2");
    net.advance(2.0);
    let level = |net: &Network, n: usize| match net.events[&n].last() {
        Some(FleetEvent::Level { level, issued_by, .. }) => (*level, issued_by.clone()),
        other => panic!("{other:?}"),
    };
    assert_eq!((level(&net, 0), level(&net, 1)), ((Some(3), "f2".into()), (Some(3), "f2".into())));
    // Two orders at the same time, on two sides of a cut.
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
fn a_level_order_outlives_the_front_that_issued_it() {
    let mut net = net(3, 6);
    net.fronts[0].as_mut().unwrap().publish_level(0.0, Some(2), 600.0, "f0");
    net.advance(2.0);
    // Its own front restarts empty, and another front restarts while the first is down.
    net.fronts[0] = None;
    net.restart(1, 2);
    net.advance(2.0);
    net.restart(0, 2);
    net.events.clear();
    net.advance(3.0);
    let is_pinned = |event: &FleetEvent| matches!(event, FleetEvent::Level { level: Some(2), until, .. } if (590.0..610.0).contains(until));
    assert!(net.events[&0].iter().any(is_pinned), "{:?}", net.events);
    // A later order ends it everywhere, and it does not come back.
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
fn a_front_that_restarts_empty_catches_up_and_facts_of_one_that_left_expire() {
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
    // Front 0 leaves in an orderly way: its facts are kept for the retention time, and then no front brings
    // them back.
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
    // Its next incarnation is accepted.
    net.restart(0, 9);
    net.publish(0, 1, record(2, ReportedState::Gone));
    net.advance(3.0);
    assert_eq!(net.fronts[2].as_ref().unwrap().replicas().fact_count(FrontId(0)), 1);
}

#[test]
fn traffic_grows_with_the_difference_and_not_with_the_state() {
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
    assert!(many <= few + few / 4, "{few} messages with 10 facts, {many} with 1000");
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
fn a_silenced_front_publishes_nothing_and_sleeps_until_its_next_heartbeat() {
    let mut net = net(2, 7);
    net.advance(1.0);
    let now = net.now;
    let front = net.fronts[0].as_mut().unwrap();
    for _ in 0..5 {
        // Reports of another process of its name with a higher nonce, each one incarnation ahead.
        let (front_id, incarnation) = (0, (front.incarnation().number + 1, 99));
        let (obsolete_up_to, ended) = ((0, 0), Vec::new());
        let entry = DigestEntry {
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
            Message::Digest { entries: vec![entry], complete: false, wants_answer: false },
        );
    }
    assert!(front.status(now).silenced);
    front.publish_server(now, server(1), record(1, ReportedState::Ready));
    front.turn(now + HEARTBEAT_INTERVAL);
    assert!(front.next_wakeup() > now + HEARTBEAT_INTERVAL, "facts that it may not publish must not wake it");
    while let Some(out) = front.next_output() {
        assert!(!matches!(out, Output::Send { message: Message::Deltas { .. }, .. }));
    }
}

#[test]
fn an_isolated_front_keeps_publishing_with_bounded_state() {
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

/// A network that delays each frame differently reorders bursts. Deltas that arrive before their predecessors
/// are still used, so that catching up takes little longer than over a network that keeps the order.
#[test]
fn deltas_that_arrive_out_of_order_are_used() {
    let seconds = |max_delay: f64| {
        let mut net = Network::new(2, 8, params());
        net.max_delay = max_delay;
        net.fronts[1] = None;
        for n in 1..600 {
            net.publish(0, n, record(1, ReportedState::Ready));
        }
        net.restart(1, 2);
        let begin = net.now;
        while net.at(1).replicas().fact_count(FrontId(0)) < 599 {
            net.advance(HEARTBEAT_INTERVAL / 8.0);
            assert!(net.now - begin < 60.0, "the facts never arrive");
        }
        net.now - begin
    };
    let (in_order, reordered) = (seconds(0.0), seconds(HEARTBEAT_INTERVAL));
    // Six bursts, each a round trip of at most two heartbeat intervals; using only one frame in order at a
    // time would take fifty intervals.
    assert!(
        reordered < in_order + 20.0 * HEARTBEAT_INTERVAL,
        "{in_order} s in order, {reordered} s reordered"
    );
}
