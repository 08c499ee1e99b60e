//! Copies, warnings and operators' words among fronts, under a network that fails in every way.

mod common;

use common::{server, Net, EVERY};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_peers::FrontId;
use shalespindle_replica::{FleetParams, Known, Message, News, Out, ReportedState, ServerWord};

fn word(incarnation: u64, told: ReportedState) -> ServerWord {
    ServerWord { pool: 1, incarnation, told, age: Some(1.0) }
}

fn params() -> FleetParams {
    // Small messages: everything takes several.
    FleetParams { bytes: 600, ..FleetParams::beating(EVERY) }
}

/// Every message with a delay of its own.
fn net(count: usize, seed: u64) -> Net {
    let mut net = Net::new(count, seed, params());
    net.late = EVERY;
    net
}

#[test]
fn copies_are_equal_soon_after_the_last_fault_whatever_it_was() {
    for seed in 0..12 {
        let mut net = net(5, seed);
        net.loss = 0.3;
        let mut script = ChaCha8Rng::seed_from_u64(seed + 100);
        let mut lives = [1; 5];
        for _ in 0..60 {
            let front = script.random_range(0..5usize);
            match script.random_range(0..10) {
                0..=5 if net.fronts[front].is_some() => {
                    let told = [ReportedState::Ready, ReportedState::Draining, ReportedState::Gone]
                        [script.random_range(0..3)];
                    let (n, incarnation) = (script.random_range(1..40), script.random_range(1..4));
                    net.tell(front, n, word(incarnation, told));
                }
                6 if net.fronts[front].is_some() => net.forget(front, script.random_range(1..40)),
                7 => net.fronts[front] = None,
                8 => {
                    lives[front] += 1;
                    net.restart(front, lives[front]);
                }
                9 => {
                    let one_way = script.random_range(0..5);
                    net.cut = (0..5).filter(|to| *to != front).map(|to| (front, to)).collect();
                    net.cut.push((one_way, front));
                }
                _ => net.cut.clear(),
            }
            net.pass(0.3);
        }
        net.cut.clear();
        net.loss = 0.0;
        for (front, life) in lives.into_iter().enumerate() {
            if net.fronts[front].is_none() {
                net.restart(front, life + 1);
            }
        }
        // Ten beats: two for each message of the largest copy, and some to be heard of.
        net.pass(10.0 * EVERY);
        assert!(net.is_equal(), "seed {seed}");
    }
}

#[test]
fn the_most_careful_word_counts_and_meetings_are_listed() {
    let mut net = net(3, 1);
    net.tell(0, 7, word(4, ReportedState::Ready));
    net.tell(1, 7, word(4, ReportedState::Draining));
    net.pass(2.0);
    let settled = |news: &News| matches!(news, News::Server(s) if s.state == ReportedState::Draining && s.incarnation == 4);
    assert!(net.news[&2].iter().any(settled));
    assert!(net.news[&0].iter().any(settled), "front 0 called it ready");
    // Front 1 hears only what it knows better.
    assert!(!net.news.get(&1).is_some_and(|news| news.iter().any(settled)));
    let status = net.fronts[2].as_ref().unwrap().status(net.now);
    assert_eq!((status.met, status.meetings.len()), (1, 1));
    assert_eq!(status.meetings[0].settled, ReportedState::Draining);
    // A later start is another matter.
    net.tell(0, 7, word(5, ReportedState::Ready));
    net.pass(2.0);
    let last = net.news[&2].last().unwrap();
    assert!(
        matches!(last, News::Server(s) if s.state == ReportedState::Ready && s.incarnation == 5),
        "{last:?}"
    );
    assert_eq!(net.fronts[2].as_ref().unwrap().status(net.now).meetings, []);
}

#[test]
fn the_last_word_of_an_operator_counts_on_every_front_and_at_equal_versions_the_higher_fronts() {
    let mut net = net(3, 2);
    net.fronts[0].as_mut().unwrap().tell_level(0.0, Some(1), 60.0, "f0");
    net.pass(2.0);
    net.fronts[2].as_mut().unwrap().tell_level(2.0, Some(3), 60.0, "f2");
    net.pass(2.0);
    let level = |net: &Net, n: usize| match net.news[&n].last() {
        Some(News::Level { level, by, .. }) => (*level, by.clone()),
        other => panic!("{other:?}"),
    };
    assert_eq!((level(&net, 0), level(&net, 1)), ((Some(3), "f2".into()), (Some(3), "f2".into())));
    // Two at once, on two sides of a cut.
    net.cut = vec![(0, 1), (1, 0), (0, 2), (2, 0)];
    net.fronts[0].as_mut().unwrap().tell_level(net.now, None, 0.0, "f0");
    net.fronts[1].as_mut().unwrap().tell_level(net.now, Some(2), 60.0, "f1");
    net.pass(2.0);
    net.cut.clear();
    net.pass(4.0);
    assert_eq!(level(&net, 0), (Some(2), "f1".into()));
    assert_eq!(level(&net, 2), (Some(2), "f1".into()));
}

#[test]
fn an_operators_word_outlives_the_front_that_was_asked() {
    let mut net = net(3, 6);
    net.fronts[0].as_mut().unwrap().tell_level(0.0, Some(2), 600.0, "f0");
    net.pass(2.0);
    // Its own front forgets it, and another joins while the first is away.
    net.fronts[0] = None;
    net.restart(1, 2);
    net.pass(2.0);
    net.restart(0, 2);
    net.news.clear();
    net.pass(3.0);
    let held = |news: &News| matches!(news, News::Level { level: Some(2), until, .. } if (590.0..610.0).contains(until));
    assert!(net.news[&0].iter().any(held), "{:?}", net.news);
    // A later word ends it everywhere, and it does not come back.
    let now = net.now;
    net.fronts[1].as_mut().unwrap().tell_level(now, None, 0.0, "f1");
    net.news.clear();
    net.pass(5.0);
    for front in [0, 2] {
        assert!(matches!(net.news[&front][..], [News::Level { level: None, .. }]), "{:?}", net.news);
    }
}

#[test]
fn a_front_that_returns_empty_catches_up_and_one_that_left_is_forgotten_in_time() {
    let mut net = net(4, 3);
    for n in 1..200 {
        net.tell(0, n, word(1, ReportedState::Ready));
    }
    net.pass(4.0);
    assert!(net.is_equal());
    net.fronts[3] = None;
    net.pass(1.0);
    net.restart(3, 2);
    assert!(!net.fronts[3].as_ref().unwrap().status(net.now).caught_up);
    net.pass(10.0 * EVERY);
    let status = net.fronts[3].as_ref().unwrap().status(net.now);
    assert!(status.caught_up);
    assert_eq!(
        status.peers.iter().map(|p| (p.facts, p.behind)).collect::<Vec<_>>(),
        [(199, 0), (0, 0), (0, 0)]
    );
    // Front 0 leaves in order: its words stay for a while, and then nobody brings them back.
    let now = net.now;
    net.fronts[0].as_mut().unwrap().leave(now);
    net.pass(0.2);
    net.fronts[0] = None;
    net.pass(1.0);
    assert_eq!(net.fronts[1].as_ref().unwrap().copies().held(FrontId(0)), 199);
    net.pass(params().keep + 5.0);
    for front in 1..4 {
        assert_eq!(net.fronts[front].as_ref().unwrap().copies().held(FrontId(0)), 0);
    }
    // Its next life is taken up.
    net.restart(0, 9);
    net.tell(0, 1, word(2, ReportedState::Gone));
    net.pass(3.0);
    assert_eq!(net.fronts[2].as_ref().unwrap().copies().held(FrontId(0)), 1);
}

#[test]
fn what_is_sent_grows_with_the_difference_and_not_with_the_state() {
    let sent = |facts: u16| {
        let mut net = net(3, 4);
        for n in 1..=facts {
            net.tell(0, n, word(1, ReportedState::Ready));
        }
        net.pass(10.0);
        let before = net.sent;
        net.tell(0, 1, word(1, ReportedState::Draining));
        net.pass(2.0);
        assert!(net.is_equal());
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
            net.tell(usize::from(n % 5), n, word(u64::from(n), ReportedState::Draining));
            net.pass(0.1);
        }
        (net.sent, format!("{:?}", net.news))
    };
    assert_eq!(run(), run());
}

#[test]
fn a_front_that_gave_its_name_up_tells_nothing_and_sleeps_until_its_next_beat() {
    let mut net = net(2, 7);
    net.pass(1.0);
    let now = net.now;
    let front = net.fronts[0].as_mut().unwrap();
    for _ in 0..5 {
        // Another process of its name with a higher nonce, each time a life ahead.
        let (front_id, life) = (0, (front.life().number + 1, 99));
        let (settled, past) = ((0, 0), Vec::new());
        let known = Known { front: front_id, life, beat: 1, left: false, reach: None, settled, past };
        front.heard(now, FrontId(1), Message::Digest { known: vec![known], whole: false, answer: false });
    }
    assert!(front.status(now).silenced);
    front.tell_server(now, server(1), word(1, ReportedState::Ready));
    front.turn(now + EVERY);
    assert!(front.wake_at() > now + EVERY, "nothing that it may not say keeps it awake");
    while let Some(out) = front.next_output() {
        assert!(!matches!(out, Out::Send { message: Message::Parts { .. }, .. }));
    }
}

#[test]
fn one_front_alone_never_waits_and_is_bounded() {
    let mut net = net(2, 5);
    net.cut = vec![(0, 1), (1, 0)];
    for round in 0..50u64 {
        for n in 1..100 {
            net.tell(0, n, word(round, ReportedState::Ready));
        }
        net.pass(0.1);
    }
    assert_eq!(net.fronts[0].as_ref().unwrap().status(net.now).own_facts, 99);
    assert!(net.under_way.is_empty());
}

/// A network that delays each frame by another time turns bursts around: what comes before its turn is used all the
/// same, so that catching up takes little longer than over one that keeps order.
#[test]
fn parts_that_come_before_their_turn_are_not_lost() {
    let seconds = |late: f64| {
        let mut net = Net::new(2, 8, params());
        net.late = late;
        net.fronts[1] = None;
        for n in 1..600 {
            net.tell(0, n, word(1, ReportedState::Ready));
        }
        net.restart(1, 2);
        let begin = net.now;
        while net.at(1).copies().held(FrontId(0)) < 599 {
            net.pass(EVERY / 8.0);
            assert!(net.now - begin < 60.0, "they never come");
        }
        net.now - begin
    };
    let (steady, turned) = (seconds(0.0), seconds(EVERY));
    // Six bursts, each there and back in two beats at most; one frame in its turn at a time would be fifty beats.
    assert!(turned < steady + 20.0 * EVERY, "{steady} s in order, {turned} s turned around");
}
