//! What outlives a process: kept by copies, believed or not at the next start, under virtual time.

mod common;

use common::{server, word, Net, EVERY};
use shalespindle_peers::{FrontId, Life};
use shalespindle_replica::{
    Changes, FleetParams, Keeping, Kept, KeptFact, LifeName, News, ReportedState, ServerWord,
};

const HOLD: f64 = 5.0;
/// The wall clock when virtual time began.
const WALL: f64 = 1_700_000_000.0;

fn net(count: usize) -> Net {
    let mut params = FleetParams::beating(EVERY);
    params.calls.hold = HOLD;
    params.bytes = 3000;
    let mut net = Net::new(count, 1, params);
    (0..count).for_each(|n| net.at(n).keep_changes());
    net
}

/// What a store would give back after that step: a whole one, or one upon what was there.
fn after(before: Option<Kept>, changes: &Changes) -> Kept {
    let before = before.filter(|_| !changes.whole).unwrap_or_default();
    let held = |name: LifeName| -> Vec<(shalespindle_replica::Key, KeptFact)> {
        let was = before.lives.iter().find(|l| l.0.name() == name).map(|l| l.1.clone()).unwrap_or_default();
        let changed = |key| changes.facts.iter().any(|f| f.0 == name && f.1 == key);
        let new = changes.facts.iter().filter(|f| f.0 == name).filter_map(|f| Some((f.1, f.2.clone()?)));
        was.into_iter().filter(|f| !changed(f.0)).chain(new).collect()
    };
    let lives = changes.lives.iter().map(|life| (*life, held(life.name()))).collect();
    Kept { lives, settled: changes.settled.clone(), saved_at: changes.saved_at }
}

fn keep(net: &mut Net, front: usize, before: Option<Kept>) -> Kept {
    let (now, whole) = (net.now, before.is_none());
    let changes = net.at(front).changes(now, WALL + now, whole);
    after(before, &changes)
}

/// A front starts anew with what it kept, under a wall clock that is off by so much.
fn return_with(net: &mut Net, front: usize, kept: &Kept, off: f64) {
    let wished = Life { number: 2 + (1000.0 * net.now) as u64, nonce: front as u64 };
    let life = kept.next_life(FrontId(front as u64), wished).number;
    net.restart(front, life);
    let now = net.now;
    net.at(front).keep_changes();
    net.at(front).restore(now, WALL + now + off, kept.clone());
}

#[test]
fn calls_that_ended_since_do_not_come_back_with_an_old_file() {
    for loss in [0.0, 0.3] {
        let mut net = net(3);
        net.loss = loss;
        net.stands(0, 0..3);
        net.pass(2.0);
        let old = keep(&mut net, 0, None);
        return_with(&mut net, 0, &old, 0.0);
        net.pass(2.0);
        assert_eq!(net.owned(0), 3);
        let now = net.now;
        (0..2).for_each(|n| assert!(net.at(0).whose(now, n, false).unwrap().1.is_some()));
        net.pass(2.0);
        return_with(&mut net, 0, &old, 0.0);
        net.pass(HOLD + 4.0);
        assert_eq!((net.owned(0), net.all_released()), (1, Vec::new()), "loss {loss}");
    }
}

#[test]
fn a_whole_fleet_that_starts_anew_at_once_has_its_calls_again_and_nothing_that_ended() {
    let mut net = net(4);
    (0..4).for_each(|front| net.stands(front, 100 * front as u64..100 * front as u64 + 50));
    net.pass(3.0);
    // Front 2's file is older than the others': calls of it and of front 3 end after it was written.
    let mut kept: Vec<Kept> = (0..4).map(|front| keep(&mut net, front, None)).collect();
    let now = net.now;
    (200..210).for_each(|n| net.at(2).tell_call(now, n, None));
    (300..310).for_each(|n| net.at(3).tell_call(now, n, None));
    net.pass(2.0);
    for front in [0, 1, 3] {
        let before = Some(kept[front].clone());
        kept[front] = keep(&mut net, front, before);
    }
    let files = kept.clone();
    files.iter().enumerate().for_each(|(front, file)| return_with(&mut net, front, file, 0.0));
    net.pass(HOLD + 4.0);
    let owned: Vec<usize> = (0..4).map(|front| net.owned(front)).collect();
    assert_eq!((owned, net.all_released()), (vec![50, 50, 40, 40], Vec::new()));
    assert!(net.is_equal());
}

#[test]
fn one_alone_has_what_it_kept_after_a_while_and_corrects_it_when_it_hears_others() {
    let mut net = net(3);
    net.stands(0, 0..100);
    net.pass(2.0);
    let old = keep(&mut net, 0, None);
    let now = net.now;
    // More than one message holds.
    (0..80).for_each(|n| net.at(0).tell_call(now, n, None));
    net.pass(1.0);
    net.cut = vec![(0, 1), (0, 2), (1, 0), (2, 0)];
    return_with(&mut net, 0, &old, 0.0);
    // A caller that ends its call meanwhile is heard.
    let now = net.now;
    assert!(net.at(0).whose(now, 99, false).unwrap().1.is_some());
    net.pass(HOLD);
    assert_eq!(net.owned(0), 99);
    net.cut.clear();
    net.pass(4.0);
    assert_eq!((net.owned(0), net.all_released()), (19, Vec::new()));
}

#[test]
fn a_file_of_another_age_than_can_be_believed_gives_no_facts() {
    let keeps = FleetParams::beating(EVERY).keep;
    for (off, believed) in [(0.0, true), (keeps - 10.0, true), (keeps + 1.0, false), (-3600.0, false)] {
        let mut net = net(2);
        net.stands(0, 0..20);
        net.pass(2.0);
        let kept = keep(&mut net, 0, None);
        (0..2).for_each(|front| net.fronts[front] = None);
        return_with(&mut net, 0, &kept, off);
        net.pass(HOLD + 2.0);
        assert_eq!(net.owned(0), if believed { 20 } else { 0 }, "off by {off}");
        // Its life is above the one before all the same.
        assert!(net.at(0).life() > Life { number: 1, nonce: 0 });
    }
}

#[test]
fn warnings_and_operators_words_hold_on_as_long_as_they_would_have() {
    let mut net = net(2);
    let told = ServerWord { pool: 1, incarnation: 3, told: ReportedState::Draining, age: None };
    net.tell(1, 7, told);
    net.at(1).tell_level(0.0, Some(2), 60.0, "f1");
    net.pass(2.0);
    let kept = keep(&mut net, 0, None);
    net.fronts[1] = None;
    for (off, holds) in [(0.0, true), (55.0, true), (70.0, false)] {
        net.news.clear();
        return_with(&mut net, 0, &kept, off);
        net.pass(EVERY);
        let news = net.news.get(&0).cloned().unwrap_or_default();
        let warned = news.iter().any(
            |n| matches!(n, News::Server(w) if w.address == server(7) && w.state == ReportedState::Draining),
        );
        let held = news.iter().any(|n| matches!(n, News::Level { level: Some(2), .. }));
        assert_eq!((warned, held), (holds, holds), "off by {off}: {news:?}");
    }
}

#[test]
fn a_life_that_is_not_whole_or_not_sound_is_refused_and_the_rest_taken() {
    let mut net = net(3);
    net.stands(1, 0..20);
    net.stands(2, 20..40);
    net.pass(3.0);
    let good = keep(&mut net, 0, None);
    let place = good.lives.iter().position(|l| l.0.front == 1).unwrap();
    let spoil: [&dyn Fn(&mut Kept); 6] = [
        &|kept| drop(kept.lives[place].1.pop()),
        &|kept| kept.lives[place].0.facts += 1,
        &|kept| kept.lives[place].1[0].1.seq = u64::MAX,
        &|kept| kept.lives[place].1[0].1.seq = kept.lives[place].1[1].1.seq,
        &|kept| kept.lives[place].1[0].1.written = f64::NAN,
        &|kept| kept.lives[place].0.front = 77,
    ];
    for (n, spoil) in spoil.into_iter().enumerate() {
        let mut kept = good.clone();
        spoil(&mut kept);
        net.restart(0, 5);
        let now = net.now;
        let restored = net.at(0).restore(now, WALL + now, kept.clone());
        assert_eq!(restored.refused, 1, "spoilt {n}");
        assert_eq!(net.at(0).copies().held(FrontId(2)), 20);
        assert_eq!(net.at(0).copies().held(FrontId(1)), 0);
        assert_eq!(kept.inventory().faults.len(), usize::from(n < 5));
        // The others make up for it.
        net.pass(3.0);
        assert_eq!(net.at(0).copies().held(FrontId(1)), 20);
    }
}

/// Steps upon each other give what a whole one gives, whatever happened between them.
#[test]
fn steps_of_changes_add_up_to_the_whole() {
    let mut net = net(4);
    net.loss = 0.2;
    let mut kept: Option<Kept> = None;
    let mut lives = [1; 4];
    for round in 0..40u64 {
        let front = (round % 3) as usize + 1;
        net.stands(front, 10 * round..10 * round + 10);
        let now = net.now;
        if round >= 3 {
            (0..7).for_each(|n| net.at(front).tell_call(now, 10 * (round - 3) + n, None));
        }
        net.at(0).tell_call(now, 10_000 + round, Some(word(round)));
        if round % 5 == 4 {
            lives[front] += 1;
            net.restart(front, lives[front]);
        }
        if round == 30 {
            // Longer than deletions are remembered: copies begin anew.
            net.cut = (1..4).flat_map(|n| [(0, n), (n, 0)]).collect();
            net.pass(400.0);
            net.cut.clear();
        }
        net.pass(0.3);
        kept = Some(keep(&mut net, 0, kept));
        let sorted = |mut kept: Kept| {
            kept.lives.sort_by_key(|l| l.0.name());
            kept.lives.iter_mut().for_each(|l| l.1.sort_by_key(|f| f.1.seq));
            kept
        };
        let whole = keep(&mut net, 0, None);
        let (kept, whole) = (sorted(kept.clone().unwrap()), sorted(whole));
        // Times are told in two steps of arithmetic.
        let facts = |k: &Kept| {
            k.lives
                .iter()
                .map(|l| {
                    (
                        l.0.name(),
                        l.0.reach,
                        l.1.iter().map(|f| (f.0, f.1.seq, f.1.fact.clone())).collect::<Vec<_>>(),
                    )
                })
                .collect::<Vec<_>>()
        };
        assert_eq!(facts(&kept), facts(&whole), "round {round}");
        assert!(kept.inventory().faults.is_empty());
    }
}

#[test]
fn a_write_that_fails_is_tried_again_later_and_later_and_whole() {
    let mut keeping = Keeping::new(1.0, 0.0);
    let changed = Changes { whole: true, ..Changes::default() };
    assert_eq!(keeping.due(0.0), Some(true));
    assert!(keeping.is_worth(0.0, &changed));
    assert_eq!(keeping.due(5.0), None, "one is under way");
    let pauses: Vec<f64> = (0..8).map(|_| keeping.failed(5.0)).collect();
    assert_eq!(pauses, [2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 64.0, 64.0]);
    assert_eq!((keeping.due(68.0), keeping.due(70.0)), (None, Some(true)));
    keeping.saved(70.0);
    assert_eq!((keeping.due(70.5), keeping.due(71.0)), (None, Some(false)));
    // Nothing has changed: left out, but for its age.
    let same = Changes { whole: false, ..changed };
    assert!(!keeping.is_worth(71.0, &same));
    assert_eq!(keeping.due(72.0), Some(false));
    assert!(!keeping.is_worth(72.0, &same));
    assert_eq!(keeping.due(95.0), Some(false));
    assert!(keeping.is_worth(95.0, &same));
}
