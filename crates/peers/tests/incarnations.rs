//! Incarnations, suspicion, departure and return of fronts, under a virtual clock.

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

/// Fronts that exchange reports at each heartbeat; `delivers(from, to, time)` decides whether a report
/// arrives.
fn run(fronts: &mut [Peers], from: f64, until: f64, delivers: impl Fn(usize, usize, f64) -> bool) -> f64 {
    let mut now = from;
    while now < until {
        for index in 0..fronts.len() {
            if !fronts[index].turn(now) {
                continue;
            }
            let reports = fronts[index].reports();
            for target in fronts[index].targets() {
                let to = target.0 as usize;
                if to < fronts.len() && delivers(index, to, now) {
                    reports.iter().for_each(|r| fronts[to].record(now, *r));
                }
            }
        }
        now += HEARTBEAT_INTERVAL / 4.0;
    }
    now
}

#[test]
fn a_dead_front_is_suspect_then_gone_and_alive_again_with_a_new_incarnation() {
    let mut fronts: Vec<Peers> = (0..5).map(|n| front(n, 5, 0.0)).collect();
    let now = run(&mut fronts, 0.0, 3.0, |_, _, _| true);
    for f in &mut fronts {
        assert!(f.all(now).all(|(_, state, _)| state == State::Alive));
        changes(f);
    }
    // Reports of front 4 no longer arrive.
    let now = run(&mut fronts, now, now + 1.6, |from, _, _| from != 4);
    assert_eq!(fronts[0].state(id(4)), Some(State::Suspect));
    let now = run(&mut fronts, now, now + 3.0, |from, _, _| from != 4);
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
    let now = run(&mut fronts, now, now + 2.0, |_, _, _| true);
    assert!(fronts[..4].iter().all(|f| f.state(id(4)) == Some(State::Alive)));
    assert!(changes(&mut fronts[0]).contains(&Change::Restarted { front: id(4) }));
    // A late report of the earlier incarnation changes nothing.
    fronts[0].record(now, PeerReport { left: true, ..report(4, 10, 9999) });
    assert_eq!(fronts[0].state(id(4)), Some(State::Alive));
    assert_eq!(fronts[0].counts().0, 1);
}

#[test]
fn heartbeats_arrive_over_other_fronts_where_the_direct_path_is_cut() {
    let mut fronts: Vec<Peers> = (0..4).map(|n| front(n, 4, 0.0)).collect();
    // Fronts 0 and 3 never exchange reports directly; one direction between 1 and 2 is cut as well.
    let cut = |from: usize, to: usize| (from, to) == (1, 2) || from + to == 3 && from != 1 && from != 2;
    let now = run(&mut fronts, 0.0, 12.0, |from, to, _| !cut(from, to));
    for f in &fronts {
        assert!(f.all(now).all(|(_, state, _)| state == State::Alive));
    }
}

#[test]
fn a_stalled_front_does_not_suspect_the_others() {
    let mut fronts: Vec<Peers> = (0..3).map(|n| front(n, 3, 0.0)).collect();
    let now = run(&mut fronts, 0.0, 3.0, |_, _, _| true);
    changes(&mut fronts[0]);
    // It is stalled for far longer than `gone_after`.
    let now = now + 60.0;
    assert!(fronts[0].turn(now));
    assert_eq!(changes(&mut fronts[0]), []);
    assert_eq!(fronts[0].counts().2, 1);
    // Silence while it runs does count.
    let late = run(&mut fronts[..1], now, now + 1.5, |_, _, _| false);
    assert_eq!(fronts[0].state(id(1)), Some(State::Suspect));
    assert!(fronts[0].is_isolated());
    let late = run(&mut fronts[..1], late, late + 2.0, |_, _, _| false);
    assert_eq!(fronts[0].state(id(1)), Some(State::Suspect), "isolated, it waits twice as long");
    run(&mut fronts[..1], late, late + 4.0, |_, _, _| false);
    assert_eq!(fronts[0].state(id(1)), Some(State::Gone));
}

#[test]
fn a_front_that_left_is_not_brought_back_by_a_late_heartbeat() {
    let mut f = front(0, 2, 0.0);
    f.record(0.1, report(1, 10, 5));
    f.record(0.2, PeerReport { left: true, ..report(1, 10, 7) });
    assert_eq!(f.state(id(1)), Some(State::Left));
    f.record(0.3, report(1, 10, 6));
    f.record(0.4, report(1, 10, 8));
    assert_eq!(f.state(id(1)), Some(State::Left));
    f.record(0.5, report(1, 11, 1));
    assert_eq!(f.state(id(1)), Some(State::Alive));
    // The list shrinks and grows again.
    f.relist(1.0, &[id(0)]);
    f.record(1.1, report(1, 11, 2));
    assert_eq!((f.state(id(1)), f.counts().1), (None, 1));
    f.relist(1.2, &[id(0), id(1)]);
    f.record(1.3, report(1, 11, 3));
    assert_eq!(f.state(id(1)), Some(State::Alive));
}

#[test]
fn an_old_incarnation_is_raised_and_of_two_processes_with_one_name_one_is_silenced() {
    // The others still know incarnation 10; this one starts with 7.
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

    // Two processes under the name of front 0, with a third front between them.
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
            twin.reports().into_iter().for_each(|r| between.record(now, r));
            between.reports().into_iter().for_each(|r| twin.record(now, r));
        }
    }
    assert!(a.is_silenced() && !b.is_silenced(), "the lower nonce is silenced");
    assert_eq!(between.incarnation_of(id(0)), Some(b.incarnation()));
    assert!(a.reports().iter().all(|r| r.front != id(0)));
}

#[test]
fn every_front_is_a_target_once_a_round_in_an_order_drawn_from_the_seed() {
    let targets_of = |seed: u64| {
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
    let mut targets = targets_of(1)[..19].to_vec();
    targets.sort();
    targets.dedup();
    assert_eq!(targets.len(), 19);
    assert_eq!(targets_of(1), targets_of(1));
    assert_ne!(targets_of(1), targets_of(2));
}
