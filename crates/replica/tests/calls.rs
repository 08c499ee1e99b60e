//! Standing calls of fronts that die: given back, released by one, released once; cuts and losses between.

mod common;

use common::{record, Net, HEARTBEAT_INTERVAL};
use shalespindle_peers::FrontId;
use shalespindle_replica::{dialog_hash, CallRecord, FleetParams};

const HOLD: f64 = 5.0;

fn net(count: usize) -> Net {
    let mut params = FleetParams::with_heartbeat_interval(HEARTBEAT_INTERVAL);
    params.calls.hold = HOLD;
    params.replicas.max_facts = 200_000;
    Net::new(count, 1, params)
}

#[test]
fn a_front_that_returns_is_given_its_calls_back_by_its_fleet() {
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
        assert_eq!(net.all_released(), Vec::<u64>::new(), "nothing of it is released");
        // They are its own again: their end is told like any other.
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
fn the_calls_of_a_front_that_stays_away_are_released_once_each_and_not_before_their_time() {
    let mut net = net(5);
    net.loss = 0.25;
    net.establish(2, 0..60);
    net.advance(3.0);
    net.fronts[2] = None;
    // Gone after fifteen beats, then held.
    net.advance(15.0 * HEARTBEAT_INTERVAL + HOLD - 1.0);
    assert_eq!(net.all_released(), Vec::<u64>::new());
    net.advance(5.0);
    assert_eq!(net.all_released(), (0..60).collect::<Vec<_>>());
    // Over several fronts: each bears its part.
    let bear = (0..5).filter(|front| !net.released(*front).is_empty()).count();
    assert!(bear >= 3, "{bear}");
    // It returns too late: they are over, and nobody gives them back.
    net.restart(2, 2);
    net.advance(5.0);
    assert_eq!(net.owned(2), 0);
    assert_eq!(net.all_released().len(), 60);
}

#[test]
fn whoever_is_told_that_a_call_is_over_finds_it_once() {
    let mut net = net(3);
    net.establish(0, 0..3);
    net.advance(2.0);
    let now = net.now;
    // By its caller at another front, while its own lives.
    assert_eq!(net.at(1).end_call(now, 0, false), Some((0, Some(record(0)))));
    assert_eq!(net.at(1).end_call(now, 0, false), Some((0, None)), "told again");
    net.advance(2.0);
    assert_eq!(net.ended(0), [0]);
    assert_eq!(net.at(2).end_call(now, 0, false), Some((0, None)), "known everywhere");
    // By its server, after its own front died.
    net.fronts[0] = None;
    assert_eq!(net.at(2).end_call(now, dialog_hash("leg-1"), true), Some((1, Some(record(1)))));
    assert_eq!(net.at(2).end_call(now, 99, false), None);
    assert_eq!(net.at(2).end_call(now, dialog_hash("leg-99"), true), None);
    net.advance(15.0 * HEARTBEAT_INTERVAL + HOLD + 3.0);
    assert_eq!(net.all_released(), [2], "the rest was over");
}

#[test]
fn on_two_sides_of_a_cut_only_most_of_the_fronts_release_and_the_others_hear_of_it() {
    let mut net = net(5);
    net.establish(0, 0..20);
    net.establish(4, 20..40);
    net.advance(2.0);
    let few = |n: usize| n < 2;
    net.cut = (0..5).flat_map(|a| (0..5).map(move |b| (a, b))).filter(|(a, b)| few(*a) != few(*b)).collect();
    // The few are alone among themselves: they wait, and release nothing at all.
    net.advance(40.0 * HEARTBEAT_INTERVAL + HOLD + 4.0);
    assert_eq!(net.all_released(), (0..20).collect::<Vec<_>>(), "those of front 0, by the three");
    assert!((0..2).all(|front| net.released(front).is_empty()));
    // On the side of the few one of the many's calls ends meanwhile.
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
fn two_releases_of_one_call_are_counted_and_listed_on_every_front() {
    let mut net = net(3);
    net.establish(0, 0..1);
    net.advance(2.0);
    net.cut = vec![(1, 2), (2, 1), (0, 1), (1, 0), (0, 2), (2, 0)];
    let now = net.now;
    assert!(net.at(1).end_call(now, 0, false).unwrap().1.is_some());
    assert!(net.at(2).end_call(now, 0, false).unwrap().1.is_some(), "the cut hides the other's record");
    net.cut.clear();
    net.advance(3.0);
    for front in 0..3 {
        let status = net.at(front).status(now);
        assert_eq!(status.double_releases, [(0, vec![FrontId(1), FrontId(2)])]);
        assert_eq!(status.calls.double_releases, 1);
    }
}

#[test]
fn a_claim_of_a_front_that_dies_before_it_releases_holds_nobody_up() {
    let mut net = net(5);
    net.establish(0, 0..40);
    net.advance(2.0);
    net.fronts[0] = None;
    // Stepwise, until somebody has claimed and released nothing yet.
    let claimed = |net: &mut Net| (1..5).find(|n| net.at(*n).status(0.0).calls.claims > 0);
    let claimer = (0..400).find_map(|_| {
        net.advance(HEARTBEAT_INTERVAL / 4.0);
        claimed(&mut net)
    });
    let claimer = claimer.unwrap();
    assert_eq!(net.all_released(), Vec::<u64>::new());
    // Its claims have been told.
    net.advance(2.0 * HEARTBEAT_INTERVAL);
    net.fronts[claimer] = None;
    net.advance(20.0);
    assert_eq!(net.all_released(), (0..40).collect::<Vec<_>>());
}

/// A front that comes empty to one with that many calls: messages sent by both, and seconds until it has all.
fn catch_up(calls: u64) -> (usize, f64) {
    let mut net = net(2);
    net.fronts[1] = None;
    net.establish(0, 0..calls);
    net.advance(1.0);
    net.restart(1, 2);
    let (sent, begin) = (net.sent, net.now);
    while net.at(1).replicas().fact_count(FrontId(0)) < calls as usize {
        net.advance(HEARTBEAT_INTERVAL / 4.0);
        assert!(net.now - begin < 600.0, "{calls} calls never come");
    }
    (net.sent - sent, net.now - begin)
}

#[test]
fn catching_up_costs_what_is_missing_and_asks_once_for_each_burst() {
    let (few, some) = (catch_up(1000), catch_up(4000));
    // About sixteen calls a message.
    assert!(few.0 < 1000 / 8 && some.0 < 4000 / 8, "{few:?} {some:?}");
    assert!(some.1 < 8.0 * few.1.max(HEARTBEAT_INTERVAL), "{few:?} {some:?}");
}

/// By hand (`--ignored --nocapture`).
#[test]
#[ignore = "a measurement"]
fn catching_up_at_size() {
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
fn what_cannot_be_told_is_not_told() {
    let mut net = net(2);
    let now = net.now;
    let long = CallRecord { leg_to: "x".repeat(256), ..record(1) };
    let split = CallRecord { target: "sip:a\r\nRoute: b".into(), ..record(2) };
    net.at(0).publish_call(now, 1, Some(long));
    net.at(0).publish_call(now, 2, Some(split));
    assert_eq!(net.owned(0), 0);
}

/// Guards against what a copy that lags makes of a life that ended: a front that was cut off while calls ended, and
/// hears of their front's next life before it hears of their end.
#[test]
fn what_ended_before_a_front_died_is_not_brought_back_by_one_that_was_cut_off() {
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
    assert_eq!(net.owned(0), 11, "one that stood on and ten that are younger");
    // Nor after they were its own again and ended there.
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

/// Guards against what a life said that is over itself: that a call ended is known by that word alone.
#[test]
fn a_word_that_a_call_is_over_outlives_the_life_that_said_it() {
    let mut net = net(4);
    net.establish(0, 0..10);
    net.advance(2.0);
    net.restart(0, 2);
    net.advance(2.0);
    assert_eq!(net.owned(0), 10);
    let now = net.now;
    // Four end at their front, three at another; both start anew.
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
