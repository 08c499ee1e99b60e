//! Warnings from other fronts' lists can take a server out of service or mark it as cold, but never put one
//! in service.

use shalespindle_membership::{
    Change, ListEntry, Membership, MembershipParams, PeerWarning, ReportedState, ServiceStatus,
};
use std::net::SocketAddr;

const NOW: f64 = 1e6;

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 5070))
}

fn apply_list(members: &mut Membership, now: f64, state: ReportedState, incarnation: u64) -> Vec<Change> {
    members.apply_list(
        now,
        true,
        &[ListEntry { address: address(), pool: 1, state, incarnation, started: 0.0 }],
    );
    evaluate(members, now)
}

fn evaluate(members: &mut Membership, now: f64) -> Vec<Change> {
    members.evaluate(now);
    std::iter::from_fn(|| members.next_change()).collect()
}

fn apply_warning(members: &mut Membership, now: f64, state: ReportedState, incarnation: u64) -> Vec<Change> {
    let warning =
        PeerWarning { address: address(), pool: 1, incarnation, state, started: None, until: now + 30.0 };
    members.apply_warning(now, warning);
    evaluate(members, now)
}

fn last_status(changes: &[Change]) -> Option<ServiceStatus> {
    changes.last().map(|c| c.status)
}

#[test]
fn about_one_start_the_more_cautious_report_counts_until_it_expires() {
    let mut members = Membership::new(MembershipParams::short(10), NOW);
    assert_eq!(last_status(&apply_list(&mut members, NOW, ReportedState::Ready, 3)), Some(ServiceStatus::In));
    assert_eq!(
        last_status(&apply_warning(&mut members, NOW + 1.0, ReportedState::Draining, 3)),
        Some(ServiceStatus::Draining)
    );
    // The own list reports ready again: it may only be late.
    assert_eq!(apply_list(&mut members, NOW + 2.0, ReportedState::Ready, 3), []);
    assert_eq!(
        last_status(&apply_warning(&mut members, NOW + 3.0, ReportedState::Gone, 3)),
        Some(ServiceStatus::Out)
    );
    // A warning about an earlier start is outdated; one about a later start is ahead of the list.
    assert_eq!(
        last_status(&apply_list(&mut members, NOW + 4.0, ReportedState::Ready, 4)),
        Some(ServiceStatus::In)
    );
    assert_eq!(apply_warning(&mut members, NOW + 5.0, ReportedState::Gone, 3), []);
    assert_eq!(
        last_status(&apply_warning(&mut members, NOW + 6.0, ReportedState::Draining, 5)),
        Some(ServiceStatus::Draining)
    );
    let deadline = members.next_deadline(NOW + 6.0);
    assert!(deadline <= NOW + 36.0);
    assert_eq!(last_status(&evaluate(&mut members, NOW + 36.5)), Some(ServiceStatus::In));
}

#[test]
fn warnings_put_nothing_in_service_and_an_early_drain_warning_counts() {
    let mut members = Membership::new(MembershipParams::short(10), NOW);
    assert!(apply_warning(&mut members, NOW, ReportedState::Ready, 3)
        .iter()
        .all(|c| c.status != ServiceStatus::In));
    apply_warning(&mut members, NOW + 1.0, ReportedState::Draining, 3);
    // The list is late: it still reports that start as ready.
    let changes = apply_list(&mut members, NOW + 2.0, ReportedState::Ready, 3);
    assert!(changes.iter().all(|c| c.status != ServiceStatus::In), "{changes:?}");
    assert_eq!(
        last_status(&apply_list(&mut members, NOW + 3.0, ReportedState::Ready, 4)),
        Some(ServiceStatus::In)
    );
}

#[test]
fn a_start_reported_by_other_fronts_makes_a_server_cold() {
    let mut members = Membership::new(MembershipParams::short(10), NOW);
    let before = apply_list(&mut members, NOW, ReportedState::Ready, 3);
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
    assert_eq!(evaluate(&mut members, NOW + 4.0).last().unwrap().started, NOW + 3.0);
    // About the same start as the list's report: the later of the two start times counts.
    let mut members = Membership::new(MembershipParams::short(10), NOW);
    apply_list(&mut members, NOW, ReportedState::Ready, 3);
    members.apply_warning(NOW + 4.0, warning(3, started));
    assert_eq!(evaluate(&mut members, NOW + 4.0).last().unwrap().started, NOW + 3.0);
    members.apply_warning(NOW + 5.0, warning(3, Some(NOW + 3.4)));
    assert_eq!(
        evaluate(&mut members, NOW + 5.0),
        [],
        "start times differ because reports take different times to arrive"
    );
}
