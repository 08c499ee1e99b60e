//! What other fronts' lists say: it takes out and calls cold, and lets nothing in.

use shalespindle_membership::{
    Change, ListEntry, Membership, MembershipParams, PeerWarning, ReportedState, ServiceStatus,
};
use std::net::SocketAddr;

const NOW: f64 = 1e6;

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 5070))
}

fn list(members: &mut Membership, now: f64, told: ReportedState, incarnation: u64) -> Vec<Change> {
    members.apply_list(
        now,
        true,
        &[ListEntry { address: address(), pool: 1, state: told, incarnation, started: 0.0 }],
    );
    changes(members, now)
}

fn changes(members: &mut Membership, now: f64) -> Vec<Change> {
    members.evaluate(now);
    std::iter::from_fn(|| members.next_change()).collect()
}

fn warn(members: &mut Membership, now: f64, told: ReportedState, incarnation: u64) -> Vec<Change> {
    let warning = PeerWarning {
        address: address(),
        pool: 1,
        incarnation,
        state: told,
        started: None,
        until: now + 30.0,
    };
    members.apply_warning(now, warning);
    changes(members, now)
}

fn last(changes: &[Change]) -> Option<ServiceStatus> {
    changes.last().map(|c| c.status)
}

#[test]
fn of_one_start_the_more_careful_word_counts_until_its_time_is_up() {
    let mut members = Membership::new(MembershipParams::short(10), NOW);
    assert_eq!(last(&list(&mut members, NOW, ReportedState::Ready, 3)), Some(ServiceStatus::In));
    assert_eq!(
        last(&warn(&mut members, NOW + 1.0, ReportedState::Draining, 3)),
        Some(ServiceStatus::Draining)
    );
    // The own list says ready once more: it may only be late.
    assert_eq!(list(&mut members, NOW + 2.0, ReportedState::Ready, 3), []);
    assert_eq!(last(&warn(&mut members, NOW + 3.0, ReportedState::Gone, 3)), Some(ServiceStatus::Out));
    // Of an earlier start it is old news, of a later one it is ahead of the list.
    assert_eq!(last(&list(&mut members, NOW + 4.0, ReportedState::Ready, 4)), Some(ServiceStatus::In));
    assert_eq!(warn(&mut members, NOW + 5.0, ReportedState::Gone, 3), []);
    assert_eq!(
        last(&warn(&mut members, NOW + 6.0, ReportedState::Draining, 5)),
        Some(ServiceStatus::Draining)
    );
    let due = members.next_deadline(NOW + 6.0);
    assert!(due <= NOW + 36.0);
    assert_eq!(last(&changes(&mut members, NOW + 36.5)), Some(ServiceStatus::In));
}

#[test]
fn nothing_is_let_in_by_others_and_a_drain_known_in_advance_holds() {
    let mut members = Membership::new(MembershipParams::short(10), NOW);
    assert!(warn(&mut members, NOW, ReportedState::Ready, 3).iter().all(|c| c.status != ServiceStatus::In));
    warn(&mut members, NOW + 1.0, ReportedState::Draining, 3);
    // The list is late: it still says ready of that start.
    let told = list(&mut members, NOW + 2.0, ReportedState::Ready, 3);
    assert!(told.iter().all(|c| c.status != ServiceStatus::In), "{told:?}");
    assert_eq!(last(&list(&mut members, NOW + 3.0, ReportedState::Ready, 4)), Some(ServiceStatus::In));
}

#[test]
fn a_start_that_others_were_told_of_makes_a_server_cold() {
    let mut members = Membership::new(MembershipParams::short(10), NOW);
    let before = list(&mut members, NOW, ReportedState::Ready, 3);
    assert_eq!(before.last().unwrap().started, 0.0, "long ago");
    let started = Some(NOW + 3.0);
    let warning = |incarnation, started| PeerWarning {
        address: address(),
        pool: 1,
        incarnation,
        state: ReportedState::Ready,
        started,
        until: NOW + 60.0,
    };
    members.apply_warning(NOW + 4.0, warning(4, started));
    assert_eq!(changes(&mut members, NOW + 4.0).last().unwrap().started, NOW + 3.0);
    // Of the same start as the list's: the younger of the two.
    let mut members = Membership::new(MembershipParams::short(10), NOW);
    list(&mut members, NOW, ReportedState::Ready, 3);
    members.apply_warning(NOW + 4.0, warning(3, started));
    assert_eq!(changes(&mut members, NOW + 4.0).last().unwrap().started, NOW + 3.0);
    members.apply_warning(NOW + 5.0, warning(3, Some(NOW + 3.4)));
    assert_eq!(changes(&mut members, NOW + 5.0), [], "two ways there take different times");
}
