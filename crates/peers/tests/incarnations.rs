//! Lives, suspicion, departure and return, under a clock of the test's own.

use shalespindle_peers::{Change, FrontId, Incarnation, PeerReport, Peers, PeersParams, State};

const HEARTBEAT_INTERVAL: f64 = 0.2;

fn id(n: u64) -> FrontId {
    FrontId(n)
}

fn incarnation(number: u64, nonce: u64) -> Incarnation {
    Incarnation { number, nonce }
}

fn front(own: u64, of: u64, now: f64) -> Peers {
    let listed: Vec<FrontId> = (0..of).map(id).collect();
    Peers::new(
        PeersParams::with_heartbeat_interval(HEARTBEAT_INTERVAL),
        id(own),
        incarnation(10, own),
        &listed,
        own + 1,
        now,
    )
}

fn report(n: u64, number: u64, heartbeat: u64) -> PeerReport {
    PeerReport { front: id(n), incarnation: incarnation(number, n), heartbeat, left: false }
}

fn changes(peers: &mut Peers) -> Vec<Change> {
    std::iter::from_fn(|| peers.next_change()).collect()
}

/// Fronts that tell each other at each beat; `hears(from, to, time)` says whether a word gets through.
fn play(fronts: &mut [Peers], from: f64, until: f64, hears: impl Fn(usize, usize, f64) -> bool) -> f64 {
    let mut now = from;
    while now < until {
        for place in 0..fronts.len() {
            if !fronts[place].turn(now) {
                continue;
            }
            let reports = fronts[place].reports();
            for target in fronts[place].targets() {
                let to = target.0 as usize;
                if to < fronts.len() && hears(place, to, now) {
                    reports.iter().for_each(|w| fronts[to].record(now, *w));
                }
            }
        }
        now += HEARTBEAT_INTERVAL / 4.0;
    }
    now
}

#[test]
fn a_front_that_dies_is_suspect_then_gone_and_back_with_a_new_life() {
    let mut fronts: Vec<Peers> = (0..5).map(|n| front(n, 5, 0.0)).collect();
    let now = play(&mut fronts, 0.0, 3.0, |_, _, _| true);
    for f in &mut fronts {
        assert!(f.all(now).all(|(_, state, _)| state == State::Alive));
        changes(f);
    }
    // Front 4 says nothing any more.
    let now = play(&mut fronts, now, now + 1.6, |from, _, _| from != 4);
    assert_eq!(fronts[0].state(id(4)), Some(State::Suspect));
    let now = play(&mut fronts, now, now + 3.0, |from, _, _| from != 4);
    assert_eq!(fronts[0].state(id(4)), Some(State::Gone));
    assert!(fronts[..4].iter().all(|f| !f.is_isolated()));
    fronts[4] = Peers::new(
        PeersParams::with_heartbeat_interval(HEARTBEAT_INTERVAL),
        id(4),
        incarnation(11, 4),
        &[id(0), id(1)],
        9,
        now,
    );
    let now = play(&mut fronts, now, now + 2.0, |_, _, _| true);
    assert!(fronts[..4].iter().all(|f| f.state(id(4)) == Some(State::Alive)));
    assert!(changes(&mut fronts[0]).contains(&Change::Restarted { front: id(4) }));
    // What the old life said, coming late, changes nothing.
    fronts[0].record(now, PeerReport { left: true, ..report(4, 10, 9999) });
    assert_eq!(fronts[0].state(id(4)), Some(State::Alive));
    assert_eq!(fronts[0].counts().0, 1);
}

#[test]
fn news_of_a_front_travels_over_others_where_the_direct_way_is_cut() {
    let mut fronts: Vec<Peers> = (0..4).map(|n| front(n, 4, 0.0)).collect();
    // 0 and 3 never hear each other directly; one direction of 1 to 2 is cut too.
    let cut = |from: usize, to: usize| (from, to) == (1, 2) || from + to == 3 && from != 1 && from != 2;
    let now = play(&mut fronts, 0.0, 12.0, |from, to, _| !cut(from, to));
    for f in &fronts {
        assert!(f.all(now).all(|(_, state, _)| state == State::Alive));
    }
}

#[test]
fn a_front_that_stood_still_doubts_itself_and_not_others() {
    let mut fronts: Vec<Peers> = (0..3).map(|n| front(n, 3, 0.0)).collect();
    let now = play(&mut fronts, 0.0, 3.0, |_, _, _| true);
    changes(&mut fronts[0]);
    // It stands still for far longer than it takes to be gone.
    let now = now + 60.0;
    assert!(fronts[0].turn(now));
    assert_eq!(changes(&mut fronts[0]), []);
    assert_eq!(fronts[0].counts().2, 1);
    // Silence that it lives through is another matter.
    let late = play(&mut fronts[..1], now, now + 1.5, |_, _, _| false);
    assert_eq!(fronts[0].state(id(1)), Some(State::Suspect));
    assert!(fronts[0].is_isolated());
    let late = play(&mut fronts[..1], late, late + 2.0, |_, _, _| false);
    assert_eq!(fronts[0].state(id(1)), Some(State::Suspect), "isolated, it waits twice as long");
    play(&mut fronts[..1], late, late + 4.0, |_, _, _| false);
    assert_eq!(fronts[0].state(id(1)), Some(State::Gone));
}

#[test]
fn a_front_that_leaves_is_not_brought_back_by_a_late_beat() {
    let mut f = front(0, 2, 0.0);
    f.record(0.1, report(1, 10, 5));
    f.record(0.2, PeerReport { left: true, ..report(1, 10, 7) });
    assert_eq!(f.state(id(1)), Some(State::Left));
    f.record(0.3, report(1, 10, 6));
    f.record(0.4, report(1, 10, 8));
    assert_eq!(f.state(id(1)), Some(State::Left));
    f.record(0.5, report(1, 11, 1));
    assert_eq!(f.state(id(1)), Some(State::Alive));
    // The list shrinks and grows.
    f.relist(1.0, &[id(0)]);
    f.record(1.1, report(1, 11, 2));
    assert_eq!((f.state(id(1)), f.counts().1), (None, 1));
    f.relist(1.2, &[id(0), id(1)]);
    f.record(1.3, report(1, 11, 3));
    assert_eq!(f.state(id(1)), Some(State::Alive));
}

#[test]
fn a_clock_set_back_gives_a_life_that_is_renewed_and_two_processes_of_one_name_come_to_one() {
    // Others still know of life 10; this one starts with 7.
    let mut f = Peers::new(
        PeersParams::with_heartbeat_interval(HEARTBEAT_INTERVAL),
        id(0),
        incarnation(7, 1),
        &[id(1)],
        3,
        0.0,
    );
    f.record(0.1, report(0, 10, 400));
    assert_eq!(f.incarnation(), incarnation(11, 1));
    assert_eq!(changes(&mut f), [Change::Renewed { incarnation: incarnation(11, 1) }]);
    assert!(f.own_report().is_some());

    // Two processes under the name of front 0, with a third between them.
    let both: Vec<FrontId> = (0..2).map(id).collect();
    let mut a = Peers::new(
        PeersParams::with_heartbeat_interval(HEARTBEAT_INTERVAL),
        id(0),
        incarnation(20, 5),
        &both,
        1,
        0.0,
    );
    let mut b = Peers::new(
        PeersParams::with_heartbeat_interval(HEARTBEAT_INTERVAL),
        id(0),
        incarnation(20, 9),
        &both,
        2,
        0.0,
    );
    let mut between = front(1, 2, 0.0);
    let mut now = 0.0;
    for _ in 0..200 {
        now += HEARTBEAT_INTERVAL;
        for twin in [&mut a, &mut b] {
            twin.turn(now);
            twin.reports().into_iter().for_each(|w| between.record(now, w));
            between.reports().into_iter().for_each(|w| twin.record(now, w));
        }
    }
    assert!(a.is_silenced() && !b.is_silenced(), "the lower nonce gives way");
    assert_eq!(between.incarnation_of(id(0)), Some(b.incarnation()));
    assert!(a.reports().iter().all(|w| w.front != id(0)));
}

#[test]
fn every_front_is_told_in_each_round_and_the_order_is_the_seeds() {
    let drawn = |seed: u64| {
        let listed: Vec<FrontId> = (0..20).map(id).collect();
        let mut f = Peers::new(
            PeersParams::with_heartbeat_interval(HEARTBEAT_INTERVAL),
            id(0),
            incarnation(1, 1),
            &listed,
            seed,
            0.0,
        );
        (0..7).flat_map(|_| f.targets()).collect::<Vec<_>>()
    };
    let mut told = drawn(1)[..19].to_vec();
    told.sort();
    told.dedup();
    assert_eq!(told.len(), 19);
    assert_eq!(drawn(1), drawn(1));
    assert_ne!(drawn(1), drawn(2));
}
