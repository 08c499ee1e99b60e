//! Established calls of fronts that die: they are taken back, or released exactly once, despite cuts and
//! message loss.

mod common;

use common::{record, Network, HEARTBEAT_INTERVAL};
use shalespindle_peers::FrontId;
use shalespindle_replica::{dialog_hash, CallRecord, FleetParams};

const HOLD: f64 = 5.0;

fn net(count: usize) -> Network {
    let mut params = FleetParams::with_heartbeat_interval(HEARTBEAT_INTERVAL);
    params.calls.hold = HOLD;
    params.replicas.max_facts = 200_000;
    Network::new(count, 1, params)
}

#[test]
fn a_restarted_front_takes_its_calls_back_from_the_replicas_of_others() {
    for loss in [0.0, 0.33] {
        let mut net = net(4);
        net.loss = loss;
        net.establish(0, 0..100);
        net.advance(3.0);
        net.fronts[0] = None;
        net.advance(1.0);
        net.restart(0, 2);
        net.advance(4.0);
        assert_eq!(net.owned(0), 100, "loss {loss}");
        net.advance(2.0 * HOLD);
        assert_eq!(net.all_released(), Vec::<u64>::new(), "none of its calls is released");
        // The calls belong to it again: their end is published like any other.
        let now = net.now;
        (0..100).for_each(|n| net.at(0).publish_call(now, n, None));
        net.advance(3.0);
        for front in 1..4 {
            let status = net.at(front).status(now);
            let held = net.at(front).replicas().calls_of(FrontId(0)).count();
            assert_eq!((status.calls.orphans, held), (0, 0));
        }
    }
}

#[test]
fn calls_of_a_dead_front_are_released_once_each_and_only_after_the_holding_time() {
    let mut net = net(5);
    net.loss = 0.25;
    net.establish(2, 0..60);
    net.advance(3.0);
    net.fronts[2] = None;
    // The front is gone after fifteen heartbeat intervals; then its calls are held for the holding time.
    net.advance(15.0 * HEARTBEAT_INTERVAL + HOLD - 1.0);
    assert_eq!(net.all_released(), Vec::<u64>::new());
    net.advance(5.0);
    assert_eq!(net.all_released(), (0..60).collect::<Vec<_>>());
    // The releases are spread over several fronts.
    let releasing = (0..5).filter(|front| !net.released(*front).is_empty()).count();
    assert!(releasing >= 3, "{releasing}");
    // It returns too late: the calls have ended, and no front gives them back.
    net.restart(2, 2);
    net.advance(5.0);
    assert_eq!(net.owned(2), 0);
    assert_eq!(net.all_released().len(), 60);
}

#[test]
fn a_call_is_ended_once_through_any_front_that_its_caller_or_server_reaches() {
    let mut net = net(3);
    net.establish(0, 0..3);
    net.advance(2.0);
    let now = net.now;
    // By its caller at another front, while its own front is alive.
    assert_eq!(net.at(1).end_call(now, 0, false), Some((0, Some(record(0)))));
    assert_eq!(net.at(1).end_call(now, 0, false), Some((0, None)), "ended a second time");
    net.advance(2.0);
    assert_eq!(net.ended(0), [0]);
    assert_eq!(net.at(2).end_call(now, 0, false), Some((0, None)), "known everywhere");
    // By its server, after its own front died.
    net.fronts[0] = None;
    assert_eq!(net.at(2).end_call(now, dialog_hash("leg-1"), true), Some((1, Some(record(1)))));
    assert_eq!(net.at(2).end_call(now, 99, false), None);
    assert_eq!(net.at(2).end_call(now, dialog_hash("leg-99"), true), None);
    net.advance(15.0 * HEARTBEAT_INTERVAL + HOLD + 3.0);
    assert_eq!(net.all_released(), [2], "the other calls had ended");
}

#[test]
fn only_the_majority_side_of_a_cut_releases_calls_and_the_other_side_learns_of_it() {
    let mut net = net(5);
    net.establish(0, 0..20);
    net.establish(4, 20..40);
    net.advance(2.0);
    let in_minority = |n: usize| n < 2;
    net.cut = (0..5)
        .flat_map(|a| (0..5).map(move |b| (a, b)))
        .filter(|(a, b)| in_minority(*a) != in_minority(*b))
        .collect();
    // The two are isolated: they wait, and release nothing at all.
    net.advance(40.0 * HEARTBEAT_INTERVAL + HOLD + 4.0);
    assert_eq!(net.all_released(), (0..20).collect::<Vec<_>>(), "the calls of front 0, by the other three");
    assert!((0..2).all(|front| net.released(front).is_empty()));
    // On the side of the minority a call of the majority ends meanwhile.
    let now = net.now;
    assert!(net.at(1).end_call(now, 30, false).is_some());
    net.cut.clear();
    net.advance(5.0);
    assert_eq!(net.ended(0), (0..20).collect::<Vec<_>>());
    assert_eq!(net.ended(4), [30]);
    assert_eq!((net.owned(0), net.owned(4)), (0, 19));
    assert_eq!(net.at(3).status(now).calls.double_releases, 0);
}

#[test]
fn double_releases_are_counted_and_listed_on_every_front() {
    let mut net = net(3);
    net.establish(0, 0..1);
    net.advance(2.0);
    net.cut = vec![(1, 2), (2, 1), (0, 1), (1, 0), (0, 2), (2, 0)];
    let now = net.now;
    assert!(net.at(1).end_call(now, 0, false).unwrap().1.is_some());
    assert!(
        net.at(2).end_call(now, 0, false).unwrap().1.is_some(),
        "the cut hides the end that the other front published"
    );
    net.cut.clear();
    net.advance(3.0);
    for front in 0..3 {
        let status = net.at(front).status(now);
        assert_eq!(status.double_releases, [(0, vec![FrontId(1), FrontId(2)])]);
        assert_eq!(status.calls.double_releases, 1);
    }
}

#[test]
fn the_claim_of_a_front_that_dies_before_the_release_is_void() {
    let mut net = net(5);
    net.establish(0, 0..40);
    net.advance(2.0);
    net.fronts[0] = None;
    // Advances in small steps until a front has claimed calls and none has been released.
    let claimed = |net: &mut Network| (1..5).find(|n| net.at(*n).status(0.0).calls.claims > 0);
    let claimer = (0..400).find_map(|_| {
        net.advance(HEARTBEAT_INTERVAL / 4.0);
        claimed(&mut net)
    });
    let claimer = claimer.unwrap();
    assert_eq!(net.all_released(), Vec::<u64>::new());
    // Its claims reach the other fronts.
    net.advance(2.0 * HEARTBEAT_INTERVAL);
    net.fronts[claimer] = None;
    net.advance(20.0);
    assert_eq!(net.all_released(), (0..40).collect::<Vec<_>>());
}

/// A front that starts empty next to one with that many calls. Returns the messages sent by both, and the
/// seconds until it has all of them.
fn catch_up(calls: u64) -> (usize, f64) {
    let mut net = net(2);
    net.fronts[1] = None;
    net.establish(0, 0..calls);
    net.advance(1.0);
    net.restart(1, 2);
    let (sent, begin) = (net.sent, net.now);
    while net.at(1).replicas().fact_count(FrontId(0)) < calls as usize {
        net.advance(HEARTBEAT_INTERVAL / 4.0);
        assert!(net.now - begin < 600.0, "{calls} calls never arrive");
    }
    (net.sent - sent, net.now - begin)
}

#[test]
fn catching_up_takes_messages_in_proportion_to_what_is_missing() {
    let (small, large) = (catch_up(1000), catch_up(4000));
    // About sixteen calls fit into a message.
    assert!(small.0 < 1000 / 8 && large.0 < 4000 / 8, "{small:?} {large:?}");
    assert!(large.1 < 8.0 * small.1.max(HEARTBEAT_INTERVAL), "{small:?} {large:?}");
}

/// Run by hand with `--ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn catching_up_with_many_calls() {
    for calls in [1000, 10_000, 100_000] {
        let begin = std::time::Instant::now();
        let (sent, seconds) = catch_up(calls);
        println!(
            "{calls} calls: {sent} messages, {seconds:.2} s of virtual time, {:?} of real time",
            begin.elapsed()
        );
    }
}

#[test]
fn records_that_are_too_long_or_contain_line_ends_are_not_published() {
    let mut net = net(2);
    let now = net.now;
    let long = CallRecord { leg_to: "x".repeat(256), ..record(1) };
    let split = CallRecord { target: "sip:a\r\nRoute: b".into(), ..record(2) };
    net.at(0).publish_call(now, 1, Some(long));
    net.at(0).publish_call(now, 2, Some(split));
    assert_eq!(net.owned(0), 0);
}

/// Guards against a stale replica of an ended incarnation: a front that was cut off while calls ended learns
/// of their front's next incarnation before it learns of their end.
#[test]
fn calls_that_ended_before_a_crash_do_not_come_back_from_a_stale_replica() {
    let mut net = net(4);
    net.establish(0, 0..50);
    net.advance(2.0);
    net.cut = (0..3).flat_map(|n| [(n, 3), (3, n)]).collect();
    let now = net.now;
    (0..49).for_each(|n| net.at(0).publish_call(now, n, None));
    net.establish(0, 50..60);
    net.advance(1.0);
    net.fronts[0] = None;
    net.restart(0, 2);
    net.cut.clear();
    net.advance(4.0);
    assert_eq!(net.owned(0), 11, "one that remained established and ten later ones");
    // Nor after the front took them back and they ended there.
    let now = net.now;
    (49..60).for_each(|n| net.at(0).publish_call(now, n, None));
    net.advance(2.0);
    net.restart(3, 2);
    net.advance(HOLD + 4.0);
    assert_eq!((net.owned(0), net.all_released()), (0, Vec::new()));
    for front in 0..4 {
        assert_eq!(net.at(front).status(now).calls.orphans, 0, "at {front}");
    }
}

/// Guards against the loss of a call's end when the incarnation that published it ends: that fact alone tells
/// that the call ended.
#[test]
fn the_end_of_a_call_outlives_the_incarnation_that_published_it() {
    let mut net = net(4);
    net.establish(0, 0..10);
    net.advance(2.0);
    net.restart(0, 2);
    net.advance(2.0);
    assert_eq!(net.owned(0), 10);
    let now = net.now;
    // Four calls end at their front, three at another front; both fronts restart.
    (0..4).for_each(|n| net.at(0).publish_call(now, n, None));
    (4..7).for_each(|n| assert!(net.at(1).end_call(now, n, false).unwrap().1.is_some()));
    net.advance(2.0);
    net.restart(0, 3);
    net.restart(1, 2);
    net.advance(HOLD + 4.0);
    assert_eq!((net.owned(0), net.all_released()), (3, Vec::new()));
    let now = net.now;
    assert_eq!(net.at(2).end_call(now, 5, false), Some((5, None)));
}
