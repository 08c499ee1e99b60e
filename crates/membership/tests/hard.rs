//! The hard cases of two sources that fail, lie and disagree.

use shalespindle_membership::*;
use std::net::SocketAddr;

fn params() -> MembershipParams {
    MembershipParams::short(100)
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], n))
}

fn listed(n: u16, told: ReportedState, incarnation: u64, started: f64) -> ListEntry {
    ListEntry { address: address(n), pool: n, state: told, incarnation, started }
}

fn ranked(n: u16, priority: u16, weight: u16) -> DnsRecord {
    DnsRecord { address: address(n), pool: n, priority, weight }
}

fn servers(of: &[u16], lifetime: f64) -> LookupResult {
    LookupResult::Servers { records: of.iter().map(|n| ranked(*n, 10, 10)).collect(), lifetime }
}

fn verdicts(members: &mut Membership, now: f64) -> Vec<(u16, ServiceStatus)> {
    members.evaluate(now);
    members.members().map(|m| (m.address().port(), m.status())).collect()
}

fn changes(members: &mut Membership) -> Vec<Change> {
    std::iter::from_fn(|| members.next_change()).collect()
}

use ServiceStatus::{Draining, In, Out};

#[test]
fn a_record_that_expires_during_a_drain_changes_nothing() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_list(
        1.0,
        true,
        &[listed(1, ReportedState::Ready, 1, 0.0), listed(2, ReportedState::Ready, 1, 0.0)],
    );
    members.apply_lookup(1.0, 0, &servers(&[1, 2], 5.0));
    members.evaluate(1.0);
    members.apply_list(4.0, false, &[listed(1, ReportedState::Draining, 1, 0.0)]);
    for now in [4.0, 6.5, 60.0, 300.0] {
        assert_eq!(verdicts(&mut members, now), [(1, Draining), (2, In)], "at {now}");
    }
}

#[test]
fn an_empty_answer_empties_nothing_and_is_believed_only_in_the_end() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_lookup(1.0, 0, &servers(&[1, 2], 60.0));
    assert_eq!(verdicts(&mut members, 1.0), [(1, In), (2, In)]);
    members.apply_lookup(2.0, 0, &LookupResult::Empty);
    members.apply_lookup(50.0, 0, &LookupResult::Servers { records: Vec::new(), lifetime: 60.0 });
    assert_eq!(verdicts(&mut members, 100.0), [(1, In), (2, In)]);
    // Then it is: but with nothing else left, what was last known is the last resort.
    assert_eq!(verdicts(&mut members, 123.0), [(1, In), (2, In)]);
    assert!(members.members().all(|m| m.reason() == StatusReason::LastResort && m.needs_attention()));
    members.apply_list(124.0, true, &[listed(3, ReportedState::Ready, 1, 0.0)]);
    assert_eq!(verdicts(&mut members, 124.0), [(1, Out), (2, Out), (3, In)]);
}

#[test]
fn sources_that_flap_against_each_other_bring_nothing_back_inside_the_drain() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_list(
        0.0,
        true,
        &[listed(1, ReportedState::Ready, 1, 0.0), listed(2, ReportedState::Ready, 1, 0.0)],
    );
    members.apply_lookup(0.0, 0, &servers(&[1, 2], 600.0));
    members.evaluate(0.0);
    // DNS names it again and again while the list drains it; then the feed dies.
    members.apply_list(1.0, false, &[listed(1, ReportedState::Draining, 1, 0.0)]);
    for n in 0..9 {
        let now = 1.0 + f64::from(n);
        members.apply_lookup(now, 0, &servers(if n % 2 == 0 { &[1, 2] } else { &[2] }, 600.0));
        assert_eq!(verdicts(&mut members, now), [(1, Draining), (2, In)], "at {now}");
    }
    members.feed_lost(9.5);
    members.apply_lookup(10.5, 0, &servers(&[1, 2], 600.0));
    assert_eq!(verdicts(&mut members, 20.0), [(1, Draining), (2, In)], "named inside the hold");
    members.apply_lookup(21.0, 0, &servers(&[1, 2], 600.0));
    assert_eq!(verdicts(&mut members, 21.0), [(1, In), (2, In)], "named after it, and the list is silent");
    let back = changes(&mut members).into_iter().rfind(|c| c.address == address(1)).unwrap();
    assert_eq!(back.started, 21.0, "taken for cold");
}

#[test]
fn lifetimes_of_nothing_and_of_68_years() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_lookup(1.0, 0, &servers(&[1], 0.0));
    members.apply_lookup(1.0, 1, &servers(&[2], f64::from(i32::MAX)));
    assert_eq!(verdicts(&mut members, 1.0), [(1, In), (2, In)]);
    assert_eq!(verdicts(&mut members, 100.0), [(1, In), (2, In)]);
    assert_eq!(verdicts(&mut members, 1e8), [(1, Out), (2, In)]);
    assert_eq!(verdicts(&mut members, 1e8 + 1000.0), [(2, In)], "the first is forgotten");
}

#[test]
fn one_server_under_two_names_is_one_and_two_behind_one_name_are_two() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_lookup(1.0, 0, &servers(&[1, 2], 60.0));
    members.apply_lookup(1.0, 1, &LookupResult::Servers { records: vec![ranked(1, 5, 1)], lifetime: 60.0 });
    assert_eq!(verdicts(&mut members, 1.0), [(1, In), (2, In)]);
    assert_eq!(members.members().next().unwrap().rank(), Some((5, 1)), "the better of its names");
    members.apply_lookup(2.0, 0, &servers(&[2], 60.0));
    assert_eq!(verdicts(&mut members, 2.0), [(1, In), (2, In)], "the other name still names it");
    members.apply_lookup(3.0, 1, &servers(&[3], 60.0));
    assert_eq!(verdicts(&mut members, 3.0), [(1, Draining), (2, In), (3, In)]);
}

#[test]
fn a_target_that_moves_drains_at_its_old_address() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_lookup(1.0, 0, &servers(&[1], 60.0));
    members.evaluate(1.0);
    let moved = DnsRecord { pool: 1, ..ranked(7, 10, 10) };
    members.apply_lookup(30.0, 0, &LookupResult::Servers { records: vec![moved], lifetime: 60.0 });
    assert_eq!(verdicts(&mut members, 30.0), [(1, Draining), (7, In)]);
    let last = changes(&mut members);
    let new = last.iter().find(|c| c.address == address(7)).unwrap();
    assert_eq!((new.pool, new.started), (1, 30.0), "the same pool, another processor, cold");
    assert_eq!(verdicts(&mut members, 41.0), [(1, Out), (7, In)], "what stood may go on, nothing new comes");
}

#[test]
fn a_restart_with_both_sources_down_goes_on_with_what_was_known() {
    let mut before = Membership::new(params(), 0.0);
    before.apply_list(
        1.0,
        true,
        &[listed(1, ReportedState::Ready, 1, 0.0), listed(2, ReportedState::Ready, 1, 0.0)],
    );
    before.evaluate(1.0);
    before.apply_list(2.0, false, &[listed(2, ReportedState::Draining, 1, 0.0)]);
    before.evaluate(2.0);
    let file = encode_members(100, &before.stored_members()).unwrap();
    let (known, age) = decode_members(105, &file).unwrap();
    let mut after = Membership::new(params(), 50.0);
    after.restore(50.0, age as f64, &known);
    assert_eq!(verdicts(&mut after, 50.0), [(1, In), (2, Out)]);
    let first = changes(&mut after);
    assert_eq!((first.len(), first[0].started, first[0].needs_attention), (1, 50.0, true));
    // DNS wakes first and still names the drained one: not inside the drain.
    after.apply_lookup(51.0, 0, &servers(&[1, 2], 60.0));
    assert_eq!(verdicts(&mut after, 51.0), [(1, In), (2, Out)]);
    after.apply_list(52.0, true, &[listed(1, ReportedState::Ready, 1, 0.0)]);
    after.evaluate(52.0);
    let warm = changes(&mut after).into_iter().rfind(|c| c.address == address(1)).unwrap();
    assert_eq!((warm.started, warm.needs_attention), (0.0, false), "known better now");
    // What is old is not trusted.
    let mut late = Membership::new(params(), 50.0);
    late.restore(50.0, 301.0, &known);
    assert!(verdicts(&mut late, 50.0).iter().any(|v| v.1 == In), "the last resort, with a warning");
    assert!(late.members().all(|m| m.status() != In || m.needs_attention()));
}

#[test]
fn no_source_at_all_means_nobody_and_says_so() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_lookup(1.0, 0, &LookupResult::Failed);
    members.apply_lookup(2.0, 0, &LookupResult::Empty);
    assert!(verdicts(&mut members, 3.0).is_empty() && changes(&mut members).is_empty());
    assert_eq!((members.next_deadline(3.0), members.feed_lost_for(3.0)), (f64::INFINITY, Some(3.0)));
}

#[test]
fn a_server_that_flaps_waits_longer_each_time_and_a_deploy_does_not_wait() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_list(
        0.0,
        true,
        &[listed(1, ReportedState::Ready, 1, 0.0), listed(2, ReportedState::Ready, 1, 0.0)],
    );
    members.evaluate(0.0);
    let mut waits = Vec::new();
    let mut now = 100.0;
    for round in 2..7 {
        members.apply_list(now, false, &[listed(1, ReportedState::Gone, round - 1, 0.0)]);
        members.evaluate(now);
        now += 0.5;
        members.apply_list(now, false, &[listed(1, ReportedState::Ready, round, now)]);
        members.evaluate(now);
        let back = now;
        while members.members().next().unwrap().status() != In {
            assert_eq!(members.members().next().unwrap().reason(), StatusReason::Flapping);
            now = members.next_deadline(now);
            members.evaluate(now);
        }
        waits.push(now - back);
    }
    assert_eq!(waits[0], 0.0, "the first return is free");
    assert!(waits[1] > 2.0 && waits.windows(2).all(|w| w[1] >= w[0]), "{waits:?}");
    // Alone, it is let in: a fleet of one that flaps is better than none.
    members.apply_list(now + 1.0, false, &[listed(1, ReportedState::Gone, 6, 0.0)]);
    members.evaluate(now + 1.0);
    members.apply_list(now + 1.5, true, &[listed(1, ReportedState::Ready, 7, now + 1.5)]);
    assert_eq!(verdicts(&mut members, now + 1.5), [(1, In), (2, Out)]);
}

#[test]
fn first_choices_follow_priority_and_weight() {
    let mut members = Membership::new(params(), 0.0);
    let found = vec![ranked(1, 10, 30), ranked(2, 10, 10), ranked(3, 20, 50)];
    members.apply_lookup(1.0, 0, &LookupResult::Servers { records: found, lifetime: 60.0 });
    members.evaluate(1.0);
    let deal = |members: &Membership| -> Vec<Option<u16>> {
        (0..8).map(|g| first_choices(members.members(), 8).get(g).copied()).collect()
    };
    let counts = |pools: &[Option<u16>], pool| pools.iter().filter(|p| **p == Some(pool)).count();
    let dealt = deal(&members);
    assert_eq!((counts(&dealt, 1), counts(&dealt, 2), counts(&dealt, 3)), (6, 2, 0));
    // The better ones drain: the next priority steps in.
    members.apply_lookup(
        2.0,
        0,
        &LookupResult::Servers { records: vec![ranked(3, 20, 0), ranked(4, 20, 0)], lifetime: 60.0 },
    );
    members.evaluate(2.0);
    let dealt = deal(&members);
    assert_eq!((counts(&dealt, 3), counts(&dealt, 4)), (4, 4), "weights of 0 are alike");
    let none = Membership::new(params(), 0.0);
    assert_eq!(first_choices(none.members(), 8).first(), None);
}

#[test]
fn a_start_that_was_seen_holds_until_the_list_tells_of_it() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_list(
        0.0,
        true,
        &[listed(1, ReportedState::Ready, 1, 0.0), listed(2, ReportedState::Ready, 1, 0.0)],
    );
    members.evaluate(0.0);
    changes(&mut members);
    let start = |members: &mut Membership, now| {
        members.evaluate(now);
        changes(members).into_iter().rfind(|c| c.address == address(1)).map(|c| c.started)
    };
    members.reconnected(100.0, address(1));
    assert_eq!(start(&mut members, 100.0), Some(100.0), "cold, though the list still says that it is old");
    // An old start, told late, is not that one.
    members.apply_list(101.0, false, &[listed(1, ReportedState::Ready, 2, 60.0)]);
    assert_eq!(start(&mut members, 101.0), None);
    members.apply_list(110.0, false, &[listed(1, ReportedState::Ready, 3, 98.5)]);
    assert_eq!(start(&mut members, 110.0), Some(98.5), "known better");
    members.reconnected(120.0, address(9));
    assert_eq!(members.members().count(), 2, "one that nobody named is none");
}

#[test]
fn what_dns_names_again_is_cold_until_the_list_tells_of_its_start() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_list(
        0.0,
        true,
        &[listed(1, ReportedState::Ready, 1, 0.0), listed(2, ReportedState::Ready, 1, 0.0)],
    );
    members.apply_lookup(0.0, 0, &servers(&[1, 2], 60.0));
    members.evaluate(0.0);
    members.apply_lookup(100.0, 0, &servers(&[2], 60.0));
    members.evaluate(100.0);
    // The list tells late of a start before this one.
    members.apply_list(105.0, false, &[listed(1, ReportedState::Ready, 2, 98.0)]);
    assert_eq!(verdicts(&mut members, 105.0), [(1, Draining), (2, In)]);
    members.apply_lookup(120.0, 0, &servers(&[1, 2], 60.0));
    assert_eq!(verdicts(&mut members, 120.0), [(1, In), (2, In)]);
    let back = changes(&mut members).into_iter().rfind(|c| c.address == address(1)).unwrap();
    assert_eq!(back.started, 120.0);
}

#[test]
fn an_earlier_incarnation_is_old_news() {
    let mut members = Membership::new(params(), 0.0);
    members.apply_list(0.0, true, &[listed(1, ReportedState::Ready, 3, 0.0)]);
    members.apply_list(1.0, false, &[listed(1, ReportedState::Gone, 2, 0.0)]);
    assert_eq!(verdicts(&mut members, 1.0), [(1, In)]);
}
