//! Snapshots: stored by replicas, and restored or rejected at the next start, under virtual time.

mod common;

use common::{record, server, Network, HEARTBEAT_INTERVAL};
use shalespindle_peers::{FrontId, Incarnation};
use shalespindle_replica::{
    Changes, FleetEvent, FleetParams, IncarnationKey, ReportedState, SaveSchedule, ServerRecord, Snapshot,
    StoredFact,
};

const HOLD: f64 = 5.0;
/// The wall clock at the start of virtual time.
const WALL: f64 = 1_700_000_000.0;

fn net(count: usize) -> Network {
    let mut params = FleetParams::with_heartbeat_interval(HEARTBEAT_INTERVAL);
    params.calls.hold = HOLD;
    params.max_message_bytes = 3000;
    let mut net = Network::new(count, 1, params);
    (0..count).for_each(|n| net.at(n).track_changes());
    net
}

/// What a store would return after that write: a complete one, or one on top of what was there.
fn apply_changes(before: Option<Snapshot>, changes: &Changes) -> Snapshot {
    let before = before.filter(|_| !changes.complete).unwrap_or_default();
    let stored = |incarnation: IncarnationKey| -> Vec<(shalespindle_replica::Key, StoredFact)> {
        let before = before
            .incarnations
            .iter()
            .find(|i| i.0.key() == incarnation)
            .map(|i| i.1.clone())
            .unwrap_or_default();
        let changed = |key| changes.facts.iter().any(|f| f.0 == incarnation && f.1 == key);
        let new =
            changes.facts.iter().filter(|f| f.0 == incarnation).filter_map(|f| Some((f.1, f.2.clone()?)));
        before.into_iter().filter(|f| !changed(f.0)).chain(new).collect()
    };
    let incarnations =
        changes.incarnations.iter().map(|incarnation| (*incarnation, stored(incarnation.key()))).collect();
    Snapshot { incarnations, obsolete: changes.obsolete.clone(), saved_at: changes.saved_at }
}

fn save(net: &mut Network, front: usize, before: Option<Snapshot>) -> Snapshot {
    let (now, complete) = (net.now, before.is_none());
    let changes = net.at(front).changes(now, WALL + now, complete);
    apply_changes(before, &changes)
}

/// Restarts a front with its snapshot, under a wall clock that is off by `off` seconds.
fn restart_from(net: &mut Network, front: usize, snapshot: &Snapshot, off: f64) {
    let wished = Incarnation { number: 2 + (1000.0 * net.now) as u64, nonce: front as u64 };
    let incarnation = snapshot.next_incarnation(FrontId(front as u64), wished).number;
    net.restart(front, incarnation);
    let now = net.now;
    net.at(front).track_changes();
    net.at(front).restore(now, WALL + now + off, snapshot.clone());
}

#[test]
fn calls_that_ended_since_do_not_come_back_with_an_old_snapshot() {
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
fn a_fleet_that_restarts_at_once_recovers_its_calls_and_none_that_ended() {
    let mut net = net(4);
    (0..4).for_each(|front| net.establish(front, 100 * front as u64..100 * front as u64 + 50));
    net.advance(3.0);
    // Front 2's snapshot is older than the others': calls of fronts 2 and 3 end after it was written.
    let mut snapshots: Vec<Snapshot> = (0..4).map(|front| save(&mut net, front, None)).collect();
    let now = net.now;
    (200..210).for_each(|n| net.at(2).publish_call(now, n, None));
    (300..310).for_each(|n| net.at(3).publish_call(now, n, None));
    net.advance(2.0);
    for front in [0, 1, 3] {
        let before = Some(snapshots[front].clone());
        snapshots[front] = save(&mut net, front, before);
    }
    let stored = snapshots.clone();
    stored.iter().enumerate().for_each(|(front, snapshot)| restart_from(&mut net, front, snapshot, 0.0));
    net.advance(HOLD + 4.0);
    let owned: Vec<usize> = (0..4).map(|front| net.owned(front)).collect();
    assert_eq!((owned, net.all_released()), (vec![50, 50, 40, 40], Vec::new()));
    assert!(net.replicas_are_equal());
}

#[test]
fn an_isolated_front_recovers_its_snapshot_and_corrects_it_once_others_are_reachable() {
    let mut net = net(3);
    net.establish(0, 0..100);
    net.advance(2.0);
    let old = save(&mut net, 0, None);
    let now = net.now;
    // More than fits into one message.
    (0..80).for_each(|n| net.at(0).publish_call(now, n, None));
    net.advance(1.0);
    net.cut = vec![(0, 1), (0, 2), (1, 0), (2, 0)];
    restart_from(&mut net, 0, &old, 0.0);
    // A request of a caller that ends its call meanwhile is accepted.
    let now = net.now;
    assert!(net.at(0).end_call(now, 99, false).unwrap().1.is_some());
    net.advance(HOLD);
    assert_eq!(net.owned(0), 99);
    net.cut.clear();
    net.advance(4.0);
    assert_eq!((net.owned(0), net.all_released()), (19, Vec::new()));
}

#[test]
fn a_snapshot_of_implausible_age_restores_no_facts() {
    let retention = FleetParams::with_heartbeat_interval(HEARTBEAT_INTERVAL).retention;
    for (off, is_restored) in
        [(0.0, true), (retention - 10.0, true), (retention + 1.0, false), (-3600.0, false)]
    {
        let mut net = net(2);
        net.establish(0, 0..20);
        net.advance(2.0);
        let snapshot = save(&mut net, 0, None);
        (0..2).for_each(|front| net.fronts[front] = None);
        restart_from(&mut net, 0, &snapshot, off);
        net.advance(HOLD + 2.0);
        assert_eq!(net.owned(0), if is_restored { 20 } else { 0 }, "off by {off}");
        // Its incarnation is above the previous one all the same.
        assert!(net.at(0).incarnation() > Incarnation { number: 1, nonce: 0 });
    }
}

#[test]
fn restored_warnings_and_level_orders_keep_their_expiry() {
    let mut net = net(2);
    let draining = ServerRecord { pool: 1, incarnation: 3, reported: ReportedState::Draining, age: None };
    net.publish(1, 7, draining);
    net.at(1).publish_level(0.0, Some(2), 60.0, "f1");
    net.advance(2.0);
    let snapshot = save(&mut net, 0, None);
    net.fronts[1] = None;
    for (off, holds) in [(0.0, true), (55.0, true), (70.0, false)] {
        net.events.clear();
        restart_from(&mut net, 0, &snapshot, off);
        net.advance(HEARTBEAT_INTERVAL);
        let events = net.events.get(&0).cloned().unwrap_or_default();
        let warned = events.iter().any(
            |e| matches!(e, FleetEvent::Server(w) if w.address == server(7) && w.state == ReportedState::Draining),
        );
        let pinned = events.iter().any(|e| matches!(e, FleetEvent::Level { level: Some(2), .. }));
        assert_eq!((warned, pinned), (holds, holds), "off by {off}: {events:?}");
    }
}

#[test]
fn an_incomplete_or_invalid_incarnation_is_rejected_and_the_others_are_restored() {
    let mut net = net(3);
    net.establish(1, 0..20);
    net.establish(2, 20..40);
    net.advance(3.0);
    let good = save(&mut net, 0, None);
    let index = good.incarnations.iter().position(|i| i.0.front == 1).unwrap();
    let corruptions: [&dyn Fn(&mut Snapshot); 6] = [
        &|snapshot| drop(snapshot.incarnations[index].1.pop()),
        &|snapshot| snapshot.incarnations[index].0.fact_count += 1,
        &|snapshot| snapshot.incarnations[index].1[0].1.seq = u64::MAX,
        &|snapshot| snapshot.incarnations[index].1[0].1.seq = snapshot.incarnations[index].1[1].1.seq,
        &|snapshot| snapshot.incarnations[index].1[0].1.written_at = f64::NAN,
        &|snapshot| snapshot.incarnations[index].0.front = 77,
    ];
    for (n, corrupt) in corruptions.into_iter().enumerate() {
        let mut snapshot = good.clone();
        corrupt(&mut snapshot);
        net.restart(0, 5);
        let now = net.now;
        let restored = net.at(0).restore(now, WALL + now, snapshot.clone());
        assert_eq!(restored.refused, 1, "corruption {n}");
        assert_eq!(net.at(0).replicas().fact_count(FrontId(2)), 20);
        assert_eq!(net.at(0).replicas().fact_count(FrontId(1)), 0);
        assert_eq!(snapshot.inventory().faults.len(), usize::from(n < 5));
        // The facts arrive from the other fronts.
        net.advance(3.0);
        assert_eq!(net.at(0).replicas().fact_count(FrontId(1)), 20);
    }
}

/// Incremental writes on top of each other give the same as a complete write, whatever happened between them.
#[test]
fn incremental_changes_add_up_to_the_complete_state() {
    let mut net = net(4);
    net.loss = 0.2;
    let mut snapshot: Option<Snapshot> = None;
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
            // Longer than deletions are remembered: replicas are rebuilt.
            net.cut = (1..4).flat_map(|n| [(0, n), (n, 0)]).collect();
            net.advance(400.0);
            net.cut.clear();
        }
        net.advance(0.3);
        snapshot = Some(save(&mut net, 0, snapshot));
        let sorted = |mut snapshot: Snapshot| {
            snapshot.incarnations.sort_by_key(|i| i.0.key());
            snapshot.incarnations.iter_mut().for_each(|i| i.1.sort_by_key(|f| f.1.seq));
            snapshot
        };
        let complete = save(&mut net, 0, None);
        let (snapshot, complete) = (sorted(snapshot.clone().unwrap()), sorted(complete));
        // Times are left out: they are computed in two steps and may differ in rounding.
        let facts = |k: &Snapshot| {
            k.incarnations
                .iter()
                .map(|i| {
                    (
                        i.0.key(),
                        i.0.cursor,
                        i.1.iter().map(|f| (f.0, f.1.seq, f.1.fact.clone())).collect::<Vec<_>>(),
                    )
                })
                .collect::<Vec<_>>()
        };
        assert_eq!(facts(&snapshot), facts(&complete), "round {round}");
        assert!(snapshot.inventory().faults.is_empty());
    }
}

#[test]
fn failed_writes_are_retried_with_backoff_and_then_complete() {
    let mut schedule = SaveSchedule::new(1.0, 0.0);
    let changed = Changes { complete: true, ..Changes::default() };
    assert_eq!(schedule.start_write(0.0), Some(true));
    assert!(schedule.should_write(0.0, &changed));
    assert_eq!(schedule.start_write(5.0), None, "a write is in progress");
    let pauses: Vec<f64> = (0..8).map(|_| schedule.failed(5.0)).collect();
    assert_eq!(pauses, [2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 64.0, 64.0]);
    assert_eq!((schedule.start_write(68.0), schedule.start_write(70.0)), (None, Some(true)));
    schedule.saved(70.0);
    assert_eq!((schedule.start_write(70.5), schedule.start_write(71.0)), (None, Some(false)));
    // Unchanged content is not written, unless the last write is old.
    let same = Changes { complete: false, ..changed };
    assert!(!schedule.should_write(71.0, &same));
    assert_eq!(schedule.start_write(72.0), Some(false));
    assert!(!schedule.should_write(72.0, &same));
    assert_eq!(schedule.start_write(95.0), Some(false));
    assert!(schedule.should_write(95.0, &same));
}
