//! What outlives a process: kept by copies, believed or not at the next start, under virtual time.

mod common;

use common::{record, server, Net, HEARTBEAT_INTERVAL};
use shalespindle_peers::{FrontId, Incarnation};
use shalespindle_replica::{
    Changes, FleetEvent, FleetParams, IncarnationKey, ReportedState, SaveSchedule, ServerRecord, Snapshot,
    StoredFact,
};

const HOLD: f64 = 5.0;
/// The wall clock when virtual time began.
const WALL: f64 = 1_700_000_000.0;

fn net(count: usize) -> Net {
    let mut params = FleetParams::with_heartbeat_interval(HEARTBEAT_INTERVAL);
    params.calls.hold = HOLD;
    params.max_message_bytes = 3000;
    let mut net = Net::new(count, 1, params);
    (0..count).for_each(|n| net.at(n).track_changes());
    net
}

/// What a store would give back after that step: a whole one, or one upon what was there.
fn after(before: Option<Snapshot>, changes: &Changes) -> Snapshot {
    let before = before.filter(|_| !changes.complete).unwrap_or_default();
    let held = |name: IncarnationKey| -> Vec<(shalespindle_replica::Key, StoredFact)> {
        let was =
            before.incarnations.iter().find(|l| l.0.key() == name).map(|l| l.1.clone()).unwrap_or_default();
        let changed = |key| changes.facts.iter().any(|f| f.0 == name && f.1 == key);
        let new = changes.facts.iter().filter(|f| f.0 == name).filter_map(|f| Some((f.1, f.2.clone()?)));
        was.into_iter().filter(|f| !changed(f.0)).chain(new).collect()
    };
    let incarnations =
        changes.incarnations.iter().map(|incarnation| (*incarnation, held(incarnation.key()))).collect();
    Snapshot { incarnations, obsolete: changes.obsolete.clone(), saved_at: changes.saved_at }
}

fn save(net: &mut Net, front: usize, before: Option<Snapshot>) -> Snapshot {
    let (now, complete) = (net.now, before.is_none());
    let changes = net.at(front).changes(now, WALL + now, complete);
    after(before, &changes)
}

/// A front starts anew with what it kept, under a wall clock that is off by so much.
fn restart_from(net: &mut Net, front: usize, kept: &Snapshot, off: f64) {
    let wished = Incarnation { number: 2 + (1000.0 * net.now) as u64, nonce: front as u64 };
    let incarnation = kept.next_incarnation(FrontId(front as u64), wished).number;
    net.restart(front, incarnation);
    let now = net.now;
    net.at(front).track_changes();
    net.at(front).restore(now, WALL + now + off, kept.clone());
}

#[test]
fn calls_that_ended_since_do_not_come_back_with_an_old_file() {
    for loss in [0.0, 0.3] {
        let mut net = net(3);
        net.loss = loss;
        net.establish(0, 0..3);
        net.advance(2.0);
        let old = save(&mut net, 0, None);
        restart_from(&mut net, 0, &old, 0.0);
        net.advance(2.0);
        assert_eq!(net.owned(0), 3);
        let now = net.now;
        (0..2).for_each(|n| assert!(net.at(0).end_call(now, n, false).unwrap().1.is_some()));
        net.advance(2.0);
        restart_from(&mut net, 0, &old, 0.0);
        net.advance(HOLD + 4.0);
        assert_eq!((net.owned(0), net.all_released()), (1, Vec::new()), "loss {loss}");
    }
}

#[test]
fn a_whole_fleet_that_starts_anew_at_once_has_its_calls_again_and_nothing_that_ended() {
    let mut net = net(4);
    (0..4).for_each(|front| net.establish(front, 100 * front as u64..100 * front as u64 + 50));
    net.advance(3.0);
    // Front 2's file is older than the others': calls of it and of front 3 end after it was written.
    let mut kept: Vec<Snapshot> = (0..4).map(|front| save(&mut net, front, None)).collect();
    let now = net.now;
    (200..210).for_each(|n| net.at(2).publish_call(now, n, None));
    (300..310).for_each(|n| net.at(3).publish_call(now, n, None));
    net.advance(2.0);
    for front in [0, 1, 3] {
        let before = Some(kept[front].clone());
        kept[front] = save(&mut net, front, before);
    }
    let files = kept.clone();
    files.iter().enumerate().for_each(|(front, file)| restart_from(&mut net, front, file, 0.0));
    net.advance(HOLD + 4.0);
    let owned: Vec<usize> = (0..4).map(|front| net.owned(front)).collect();
    assert_eq!((owned, net.all_released()), (vec![50, 50, 40, 40], Vec::new()));
    assert!(net.replicas_are_equal());
}

#[test]
fn one_alone_has_what_it_kept_after_a_while_and_corrects_it_when_it_hears_others() {
    let mut net = net(3);
    net.establish(0, 0..100);
    net.advance(2.0);
    let old = save(&mut net, 0, None);
    let now = net.now;
    // More than one message holds.
    (0..80).for_each(|n| net.at(0).publish_call(now, n, None));
    net.advance(1.0);
    net.cut = vec![(0, 1), (0, 2), (1, 0), (2, 0)];
    restart_from(&mut net, 0, &old, 0.0);
    // A caller that ends its call meanwhile is heard.
    let now = net.now;
    assert!(net.at(0).end_call(now, 99, false).unwrap().1.is_some());
    net.advance(HOLD);
    assert_eq!(net.owned(0), 99);
    net.cut.clear();
    net.advance(4.0);
    assert_eq!((net.owned(0), net.all_released()), (19, Vec::new()));
}

#[test]
fn a_file_of_another_age_than_can_be_believed_gives_no_facts() {
    let tracks_changes = FleetParams::with_heartbeat_interval(HEARTBEAT_INTERVAL).retention;
    for (off, believed) in
        [(0.0, true), (tracks_changes - 10.0, true), (tracks_changes + 1.0, false), (-3600.0, false)]
    {
        let mut net = net(2);
        net.establish(0, 0..20);
        net.advance(2.0);
        let kept = save(&mut net, 0, None);
        (0..2).for_each(|front| net.fronts[front] = None);
        restart_from(&mut net, 0, &kept, off);
        net.advance(HOLD + 2.0);
        assert_eq!(net.owned(0), if believed { 20 } else { 0 }, "off by {off}");
        // Its life is above the one before all the same.
        assert!(net.at(0).incarnation() > Incarnation { number: 1, nonce: 0 });
    }
}

#[test]
fn warnings_and_operators_words_hold_on_as_long_as_they_would_have() {
    let mut net = net(2);
    let told = ServerRecord { pool: 1, incarnation: 3, reported: ReportedState::Draining, age: None };
    net.publish(1, 7, told);
    net.at(1).publish_level(0.0, Some(2), 60.0, "f1");
    net.advance(2.0);
    let kept = save(&mut net, 0, None);
    net.fronts[1] = None;
    for (off, holds) in [(0.0, true), (55.0, true), (70.0, false)] {
        net.events.clear();
        restart_from(&mut net, 0, &kept, off);
        net.advance(HEARTBEAT_INTERVAL);
        let events = net.events.get(&0).cloned().unwrap_or_default();
        let warned = events.iter().any(
            |n| matches!(n, FleetEvent::Server(w) if w.address == server(7) && w.state == ReportedState::Draining),
        );
        let held = events.iter().any(|n| matches!(n, FleetEvent::Level { level: Some(2), .. }));
        assert_eq!((warned, held), (holds, holds), "off by {off}: {events:?}");
    }
}

#[test]
fn a_life_that_is_not_whole_or_not_sound_is_refused_and_the_rest_taken() {
    let mut net = net(3);
    net.establish(1, 0..20);
    net.establish(2, 20..40);
    net.advance(3.0);
    let good = save(&mut net, 0, None);
    let place = good.incarnations.iter().position(|l| l.0.front == 1).unwrap();
    let spoil: [&dyn Fn(&mut Snapshot); 6] = [
        &|kept| drop(kept.incarnations[place].1.pop()),
        &|kept| kept.incarnations[place].0.fact_count += 1,
        &|kept| kept.incarnations[place].1[0].1.seq = u64::MAX,
        &|kept| kept.incarnations[place].1[0].1.seq = kept.incarnations[place].1[1].1.seq,
        &|kept| kept.incarnations[place].1[0].1.written_at = f64::NAN,
        &|kept| kept.incarnations[place].0.front = 77,
    ];
    for (n, spoil) in spoil.into_iter().enumerate() {
        let mut kept = good.clone();
        spoil(&mut kept);
        net.restart(0, 5);
        let now = net.now;
        let restored = net.at(0).restore(now, WALL + now, kept.clone());
        assert_eq!(restored.refused, 1, "spoilt {n}");
        assert_eq!(net.at(0).replicas().fact_count(FrontId(2)), 20);
        assert_eq!(net.at(0).replicas().fact_count(FrontId(1)), 0);
        assert_eq!(kept.inventory().faults.len(), usize::from(n < 5));
        // The others make up for it.
        net.advance(3.0);
        assert_eq!(net.at(0).replicas().fact_count(FrontId(1)), 20);
    }
}

/// Steps upon each other give what a whole one gives, whatever happened between them.
#[test]
fn steps_of_changes_add_up_to_the_whole() {
    let mut net = net(4);
    net.loss = 0.2;
    let mut kept: Option<Snapshot> = None;
    let mut incarnations = [1; 4];
    for round in 0..40u64 {
        let front = (round % 3) as usize + 1;
        net.establish(front, 10 * round..10 * round + 10);
        let now = net.now;
        if round >= 3 {
            (0..7).for_each(|n| net.at(front).publish_call(now, 10 * (round - 3) + n, None));
        }
        net.at(0).publish_call(now, 10_000 + round, Some(record(round)));
        if round % 5 == 4 {
            incarnations[front] += 1;
            net.restart(front, incarnations[front]);
        }
        if round == 30 {
            // Longer than deletions are remembered: copies begin anew.
            net.cut = (1..4).flat_map(|n| [(0, n), (n, 0)]).collect();
            net.advance(400.0);
            net.cut.clear();
        }
        net.advance(0.3);
        kept = Some(save(&mut net, 0, kept));
        let sorted = |mut kept: Snapshot| {
            kept.incarnations.sort_by_key(|l| l.0.key());
            kept.incarnations.iter_mut().for_each(|l| l.1.sort_by_key(|f| f.1.seq));
            kept
        };
        let complete = save(&mut net, 0, None);
        let (kept, complete) = (sorted(kept.clone().unwrap()), sorted(complete));
        // Times are told in two steps of arithmetic.
        let facts = |k: &Snapshot| {
            k.incarnations
                .iter()
                .map(|l| {
                    (
                        l.0.key(),
                        l.0.cursor,
                        l.1.iter().map(|f| (f.0, f.1.seq, f.1.fact.clone())).collect::<Vec<_>>(),
                    )
                })
                .collect::<Vec<_>>()
        };
        assert_eq!(facts(&kept), facts(&complete), "round {round}");
        assert!(kept.inventory().faults.is_empty());
    }
}

#[test]
fn a_write_that_fails_is_tried_again_later_and_later_and_whole() {
    let mut schedule = SaveSchedule::new(1.0, 0.0);
    let changed = Changes { complete: true, ..Changes::default() };
    assert_eq!(schedule.start_write(0.0), Some(true));
    assert!(schedule.should_write(0.0, &changed));
    assert_eq!(schedule.start_write(5.0), None, "one is under way");
    let pauses: Vec<f64> = (0..8).map(|_| schedule.failed(5.0)).collect();
    assert_eq!(pauses, [2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 64.0, 64.0]);
    assert_eq!((schedule.start_write(68.0), schedule.start_write(70.0)), (None, Some(true)));
    schedule.saved(70.0);
    assert_eq!((schedule.start_write(70.5), schedule.start_write(71.0)), (None, Some(false)));
    // Nothing has changed: left out, but for its age.
    let same = Changes { complete: false, ..changed };
    assert!(!schedule.should_write(71.0, &same));
    assert_eq!(schedule.start_write(72.0), Some(false));
    assert!(!schedule.should_write(72.0, &same));
    assert_eq!(schedule.start_write(95.0), Some(false));
    assert!(schedule.should_write(95.0, &same));
}
