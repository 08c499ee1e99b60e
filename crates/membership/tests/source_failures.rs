//! Cases in which the two sources fail, report wrong data, or disagree, and the bounds on what is stored.

use shalespindle_membership::*;
use std::net::SocketAddr;

fn params() -> MembershipParams {
    MembershipParams::short(100)
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], n))
}

fn entry(n: u16, state: ReportedState, incarnation: u64, started: f64) -> ListEntry {
    ListEntry { address: address(n), pool: n, state, incarnation, started }
}

fn record(n: u16, priority: u16, weight: u16) -> DnsRecord {
    DnsRecord { address: address(n), pool: n, priority, weight }
}

fn answer(servers: &[u16], lifetime: f64) -> LookupResult {
    LookupResult::Servers { records: servers.iter().map(|n| record(*n, 10, 10)).collect(), lifetime }
}

fn statuses(members: &mut Membership, now: f64) -> Vec<(u16, ServiceStatus)> {
    members.evaluate(now);
    members.members().map(|m| (m.address().port(), m.status())).collect()
}

fn changes(members: &mut Membership) -> Vec<Change> {
    std::iter::from_fn(|| members.next_change()).collect()
}

use ServiceStatus::{Draining, In, Out};

#[test]
fn record_expiry_during_a_drain_changes_nothing() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_list(
        1.0,
        true,
        &[entry(1, ReportedState::Ready, 1, 0.0), entry(2, ReportedState::Ready, 1, 0.0)],
    );
    members.apply_lookup(1.0, 0, &answer(&[1, 2], 5.0));
    members.evaluate(1.0);
    members.apply_list(4.0, false, &[entry(1, ReportedState::Draining, 1, 0.0)]);
    for now in [4.0, 6.5, 60.0, 300.0] {
        assert_eq!(statuses(&mut members, now), [(1, Draining), (2, In)], "at {now}");
    }
}

#[test]
fn empty_answers_take_servers_out_only_after_max_stale() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_lookup(1.0, 0, &answer(&[1, 2], 60.0));
    assert_eq!(statuses(&mut members, 1.0), [(1, In), (2, In)]);
    members.apply_lookup(2.0, 0, &LookupResult::Empty);
    members.apply_lookup(50.0, 0, &LookupResult::Servers { records: Vec::new(), lifetime: 60.0 });
    assert_eq!(statuses(&mut members, 100.0), [(1, In), (2, In)]);
    // After max_stale they count, but with no other server left the last known ones are the last resort.
    assert_eq!(statuses(&mut members, 123.0), [(1, In), (2, In)]);
    assert!(members.members().all(|m| m.reason() == StatusReason::LastResort && m.needs_attention()));
    members.apply_list(124.0, true, &[entry(3, ReportedState::Ready, 1, 0.0)]);
    assert_eq!(statuses(&mut members, 124.0), [(1, Out), (2, Out), (3, In)]);
}

#[test]
fn disagreeing_sources_do_not_bring_a_draining_server_back_within_the_hold() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_list(
        0.0,
        true,
        &[entry(1, ReportedState::Ready, 1, 0.0), entry(2, ReportedState::Ready, 1, 0.0)],
    );
    members.apply_lookup(0.0, 0, &answer(&[1, 2], 600.0));
    members.evaluate(0.0);
    // DNS alternately names and omits the server while the list drains it; then the feed is lost.
    members.apply_list(1.0, false, &[entry(1, ReportedState::Draining, 1, 0.0)]);
    for n in 0..9 {
        let now = 1.0 + f64::from(n);
        members.apply_lookup(now, 0, &answer(if n % 2 == 0 { &[1, 2] } else { &[2] }, 600.0));
        assert_eq!(statuses(&mut members, now), [(1, Draining), (2, In)], "at {now}");
    }
    members.feed_lost(9.5);
    members.apply_lookup(10.5, 0, &answer(&[1, 2], 600.0));
    assert_eq!(statuses(&mut members, 20.0), [(1, Draining), (2, In)], "named within the hold");
    members.apply_lookup(21.0, 0, &answer(&[1, 2], 600.0));
    assert_eq!(
        statuses(&mut members, 21.0),
        [(1, In), (2, In)],
        "named after the hold, and the list is silent"
    );
    let back = changes(&mut members).into_iter().rfind(|c| c.address == address(1)).unwrap();
    assert_eq!(back.started, 21.0, "treated as cold");
}

#[test]
fn record_lifetimes_of_0_and_of_68_years() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_lookup(1.0, 0, &answer(&[1], 0.0));
    members.apply_lookup(1.0, 1, &answer(&[2], f64::from(i32::MAX)));
    assert_eq!(statuses(&mut members, 1.0), [(1, In), (2, In)]);
    assert_eq!(statuses(&mut members, 100.0), [(1, In), (2, In)]);
    assert_eq!(statuses(&mut members, 1e8), [(1, Out), (2, In)]);
    assert_eq!(statuses(&mut members, 1e8 + 1000.0), [(2, In)], "the first one is removed");
}

#[test]
fn members_are_identified_by_address_and_not_by_name() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_lookup(1.0, 0, &answer(&[1, 2], 60.0));
    members.apply_lookup(1.0, 1, &LookupResult::Servers { records: vec![record(1, 5, 1)], lifetime: 60.0 });
    assert_eq!(statuses(&mut members, 1.0), [(1, In), (2, In)]);
    assert_eq!(members.members().next().unwrap().rank(), Some((5, 1)), "the better rank of its two names");
    members.apply_lookup(2.0, 0, &answer(&[2], 60.0));
    assert_eq!(statuses(&mut members, 2.0), [(1, In), (2, In)], "the other name still resolves to it");
    members.apply_lookup(3.0, 1, &answer(&[3], 60.0));
    assert_eq!(statuses(&mut members, 3.0), [(1, Draining), (2, In), (3, In)]);
}

#[test]
fn a_target_with_a_new_address_drains_at_its_old_one() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_lookup(1.0, 0, &answer(&[1], 60.0));
    members.evaluate(1.0);
    let moved = DnsRecord { pool: 1, ..record(7, 10, 10) };
    members.apply_lookup(30.0, 0, &LookupResult::Servers { records: vec![moved], lifetime: 60.0 });
    assert_eq!(statuses(&mut members, 30.0), [(1, Draining), (7, In)]);
    let last = changes(&mut members);
    let new = last.iter().find(|c| c.address == address(7)).unwrap();
    assert_eq!((new.pool, new.started), (1, 30.0), "same pool, another processor, cold");
    assert_eq!(
        statuses(&mut members, 41.0),
        [(1, Out), (7, In)],
        "established work may go on, no new work comes"
    );
}

#[test]
fn a_restart_with_both_sources_down_uses_the_stored_members() {
    let mut before = Membership::new(params(), 0.0);
    before.apply_list(
        1.0,
        true,
        &[entry(1, ReportedState::Ready, 1, 0.0), entry(2, ReportedState::Ready, 1, 0.0)],
    );
    before.evaluate(1.0);
    before.apply_list(2.0, false, &[entry(2, ReportedState::Draining, 1, 0.0)]);
    before.evaluate(2.0);
    let file = encode_members(100, &before.stored_members()).unwrap();
    let (known, age) = decode_members(105, &file).unwrap();
    let mut after = Membership::new(params(), 50.0);
    after.restore(50.0, age as f64, &known);
    assert_eq!(statuses(&mut after, 50.0), [(1, In), (2, Out)]);
    let first = changes(&mut after);
    assert_eq!((first.len(), first[0].started, first[0].needs_attention), (1, 50.0, true));
    // DNS answers first and still names the drained server, which stays out during the hold.
    after.apply_lookup(51.0, 0, &answer(&[1, 2], 60.0));
    assert_eq!(statuses(&mut after, 51.0), [(1, In), (2, Out)]);
    after.apply_list(52.0, true, &[entry(1, ReportedState::Ready, 1, 0.0)]);
    after.evaluate(52.0);
    let warm = changes(&mut after).into_iter().rfind(|c| c.address == address(1)).unwrap();
    assert_eq!((warm.started, warm.needs_attention), (0.0, false), "the list has reported the start");
    // Members that were stored too long ago are only used as the last resort.
    let mut late = Membership::new(params(), 50.0);
    late.restore(50.0, 301.0, &known);
    assert!(statuses(&mut late, 50.0).iter().any(|v| v.1 == In), "the last resort, with a warning");
    assert!(late.members().all(|m| m.status() != In || m.needs_attention()));
}

#[test]
fn without_any_report_there_are_no_members_and_no_deadline() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_lookup(1.0, 0, &LookupResult::Failed);
    members.apply_lookup(2.0, 0, &LookupResult::Empty);
    assert!(statuses(&mut members, 3.0).is_empty() && changes(&mut members).is_empty());
    assert_eq!((members.next_deadline(3.0), members.feed_lost_for(3.0)), (f64::INFINITY, Some(3.0)));
}

#[test]
fn a_flapping_server_waits_longer_each_time_and_a_single_restart_does_not_wait() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_list(
        0.0,
        true,
        &[entry(1, ReportedState::Ready, 1, 0.0), entry(2, ReportedState::Ready, 1, 0.0)],
    );
    members.evaluate(0.0);
    let mut waits = Vec::new();
    let mut now = 100.0;
    for round in 2..7 {
        members.apply_list(now, false, &[entry(1, ReportedState::Gone, round - 1, 0.0)]);
        members.evaluate(now);
        now += 0.5;
        members.apply_list(now, false, &[entry(1, ReportedState::Ready, round, now)]);
        members.evaluate(now);
        let back = now;
        while members.members().next().unwrap().status() != In {
            assert_eq!(members.members().next().unwrap().reason(), StatusReason::Flapping);
            now = members.next_deadline(now);
            members.evaluate(now);
        }
        waits.push(now - back);
    }
    assert_eq!(waits[0], 0.0, "the first return is not delayed");
    assert!(waits[1] > 2.0 && waits.windows(2).all(|w| w[1] >= w[0]), "{waits:?}");
    // With no other server left it is used at once: a single flapping server is better than none.
    members.apply_list(now + 1.0, false, &[entry(1, ReportedState::Gone, 6, 0.0)]);
    members.evaluate(now + 1.0);
    members.apply_list(now + 1.5, true, &[entry(1, ReportedState::Ready, 7, now + 1.5)]);
    assert_eq!(statuses(&mut members, now + 1.5), [(1, In), (2, Out)]);
}

#[test]
fn first_choices_follow_priority_and_weight() {
    let mut members = Membership::new(params(), 0.0);
    let found = vec![record(1, 10, 30), record(2, 10, 10), record(3, 20, 50)];
    members.apply_lookup(1.0, 0, &LookupResult::Servers { records: found, lifetime: 60.0 });
    members.evaluate(1.0);
    let assign = |members: &Membership| -> Vec<Option<u16>> {
        (0..8).map(|g| first_choices(members.members(), 8).get(g).copied()).collect()
    };
    let counts = |pools: &[Option<u16>], pool| pools.iter().filter(|p| **p == Some(pool)).count();
    let assigned = assign(&members);
    assert_eq!((counts(&assigned, 1), counts(&assigned, 2), counts(&assigned, 3)), (6, 2, 0));
    // The servers of the best priority drain: those of the next priority become first choices.
    members.apply_lookup(
        2.0,
        0,
        &LookupResult::Servers { records: vec![record(3, 20, 0), record(4, 20, 0)], lifetime: 60.0 },
    );
    members.evaluate(2.0);
    let assigned = assign(&members);
    assert_eq!((counts(&assigned, 3), counts(&assigned, 4)), (4, 4), "weights of 0 give equal shares");
    let none = Membership::new(params(), 0.0);
    assert_eq!(first_choices(none.members(), 8).first(), None);
}

#[test]
fn an_observed_start_counts_until_the_list_reports_it() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_list(
        0.0,
        true,
        &[entry(1, ReportedState::Ready, 1, 0.0), entry(2, ReportedState::Ready, 1, 0.0)],
    );
    members.evaluate(0.0);
    changes(&mut members);
    let start = |members: &mut Membership, now| {
        members.evaluate(now);
        changes(members).into_iter().rfind(|c| c.address == address(1)).map(|c| c.started)
    };
    members.reconnected(100.0, address(1));
    assert_eq!(start(&mut members, 100.0), Some(100.0), "cold, though the list still reports an old start");
    // A late report of an earlier start does not replace the observed one.
    members.apply_list(101.0, false, &[entry(1, ReportedState::Ready, 2, 60.0)]);
    assert_eq!(start(&mut members, 101.0), None);
    members.apply_list(110.0, false, &[entry(1, ReportedState::Ready, 3, 98.5)]);
    assert_eq!(start(&mut members, 110.0), Some(98.5), "the list reports the observed start");
    members.reconnected(120.0, address(9));
    assert_eq!(members.members().count(), 2, "a server that no source named is not added");
}

#[test]
fn a_server_that_dns_names_again_is_cold_until_the_list_reports_its_start() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_list(
        0.0,
        true,
        &[entry(1, ReportedState::Ready, 1, 0.0), entry(2, ReportedState::Ready, 1, 0.0)],
    );
    members.apply_lookup(0.0, 0, &answer(&[1, 2], 60.0));
    members.evaluate(0.0);
    members.apply_lookup(100.0, 0, &answer(&[2], 60.0));
    members.evaluate(100.0);
    // The list reports late a start from before the withdrawal.
    members.apply_list(105.0, false, &[entry(1, ReportedState::Ready, 2, 98.0)]);
    assert_eq!(statuses(&mut members, 105.0), [(1, Draining), (2, In)]);
    members.apply_lookup(120.0, 0, &answer(&[1, 2], 60.0));
    assert_eq!(statuses(&mut members, 120.0), [(1, In), (2, In)]);
    let back = changes(&mut members).into_iter().rfind(|c| c.address == address(1)).unwrap();
    assert_eq!(back.started, 120.0);
}

#[test]
fn reports_about_an_earlier_incarnation_are_ignored() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_list(0.0, true, &[entry(1, ReportedState::Ready, 3, 0.0)]);
    members.apply_list(1.0, false, &[entry(1, ReportedState::Gone, 2, 0.0)]);
    assert_eq!(statuses(&mut members, 1.0), [(1, In)]);
}

#[test]
fn the_number_of_members_is_bounded_and_those_out_of_service_are_evicted() {
    let mut members = Membership::new(MembershipParams::short(8), 0.0);
    for n in 0..20 {
        members.apply_list(1.0, false, &[entry(n, ReportedState::Ready, 1, 0.0)]);
        members.evaluate(1.0);
    }
    assert_eq!((members.members().count(), members.rejected()), (8, 12));
    members.apply_list(2.0, false, &[entry(3, ReportedState::Gone, 1, 0.0)]);
    members.evaluate(2.0);
    members.apply_list(3.0, false, &[entry(30, ReportedState::Ready, 1, 0.0)]);
    members.evaluate(3.0);
    assert_eq!(members.members().count(), 8);
    assert!(members.members().any(|m| m.pool() == 30 && m.status() == In));
}
