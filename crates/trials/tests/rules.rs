//! Each acceptance rule: not reported on a valid record, reported when the record has a breach added.

use shalespindle_trials::record::{Entry, Event};
use shalespindle_trials::rules::{breaches, Rule, RuleLimits};

const LIMITS: RuleLimits = RuleLimits::of_platform(0.5, 0.1);
const END: f64 = 60.0;

/// A valid record: one call from its request to its end, whose caller is notified in time.
fn valid_record() -> Vec<Entry> {
    vec![
        (0.0, Event::Launched { front: 0 }),
        (0.1, Event::Ready { front: 0 }),
        (1.0, Event::Requested { call: 1, front: 0, until: 4.0 }),
        (1.1, Event::SetUp { call: 1, server: 0 }),
        (1.3, Event::AttemptEnded { call: 1, server: 0, unsure: true }),
        (1.9, Event::SetUp { call: 1, server: 1 }),
        (2.0, Event::AttemptEnded { call: 1, server: 1, unsure: false }),
        (2.1, Event::Answered { call: 1, status: 200, server: Some(1) }),
        (5.0, Event::CallOver { call: 1, server: 1, released: true }),
        (5.2, Event::ReleasedToCaller { call: 1 }),
        (6.0, Event::BadClient { was_turned_away: true }),
    ]
}

fn rules(entries: &[Entry]) -> Vec<Rule> {
    let mut entries = entries.to_vec();
    entries.sort_by(|a, b| a.0.total_cmp(&b.0));
    breaches(&entries, &LIMITS, END).into_iter().map(|b| b.rule).collect()
}

/// Checks the valid record with one more event.
fn with(at: f64, event: Event) -> Vec<Rule> {
    let mut entries = valid_record();
    entries.push((at, event));
    rules(&entries)
}

/// Checks the valid record with some events changed or removed.
fn changed(change: impl Fn(Entry) -> Option<Entry>) -> Vec<Rule> {
    rules(&valid_record().into_iter().filter_map(change).collect::<Vec<_>>())
}

#[test]
fn a_valid_record_has_no_breaches() {
    assert_eq!(rules(&valid_record()), []);
}

#[test]
fn each_breach_is_reported() {
    let without = |unwanted: fn(&Event) -> bool| changed(move |e| Some(e).filter(|e| !unwanted(&e.1)));
    let lost = without(|e| matches!(e, Event::Answered { .. }));
    assert_eq!(lost, [Rule::Lost]);
    assert_eq!(with(2.5, Event::Answered { call: 1, status: 503, server: None }), [Rule::SecondAnswer]);
    assert_eq!(with(1.2, Event::SetUp { call: 1, server: 0 }), [Rule::TwoAttempts]);
    assert_eq!(with(1.2, Event::CallerLeft { call: 1 }), [Rule::SentAfterCallerLeft]);
    assert_eq!(with(1.0, Event::ToldToLeave { server: 1 }), [Rule::SentToDrained]);
    assert_eq!(with(7.0, Event::Exited { front: 0 }), [Rule::Crashed]);
    assert_eq!(with(7.0, Event::BadClient { was_turned_away: false }), [Rule::BadClientServed]);
    assert_eq!(with(7.0, Event::Launched { front: 0 }), [Rule::NotReady]);
    let unsound = changed(|(at, event)| match event {
        Event::Answered { call, status, .. } => Some((at, Event::Answered { call, status, server: None })),
        other => Some((at, other)),
    });
    assert_eq!(unsound, [Rule::UnsoundAnswer]);
    let too_soon = changed(|(at, event)| match event {
        Event::SetUp { server: 1, .. } => Some((1.6, event)),
        other => Some((at, other)),
    });
    assert_eq!(too_soon, [Rule::SentWithinGuard]);
}

#[test]
fn the_limit_for_reporting_an_end_depends_on_whether_the_server_sent_a_release() {
    let notified = |after: f64, released: bool| {
        changed(move |(at, event)| match event {
            Event::CallOver { call, server, .. } => Some((at, Event::CallOver { call, server, released })),
            Event::ReleasedToCaller { .. } => Some((5.0 + after, event)),
            other => Some((at, other)),
        })
    };
    assert_eq!(notified(1.1, true), []);
    assert_eq!(notified(1.2, true), [Rule::EndNotTold]);
    assert_eq!(notified(8.1, false), []);
    assert_eq!(notified(8.2, false), [Rule::EndNotTold]);
}

/// Guards against a false EndNotTold (dense trials, seed 4): a server whose answer was lost ended its own copy of a
/// call that stood at another one.
#[test]
fn only_an_end_at_the_server_whose_answer_the_caller_has_must_be_reported() {
    let end_at = |server, at| (at, Event::CallOver { call: 1, server, released: true });
    let told_at = |at| (at, Event::ReleasedToCaller { call: 1 });
    let is_end = |e: &Event| matches!(e, Event::CallOver { .. } | Event::ReleasedToCaller { .. });
    let with_ends = |ends: &[Entry]| {
        let mut entries = valid_record();
        entries.retain(|e| !is_end(&e.1));
        entries.extend(ends.iter().cloned());
        rules(&entries)
    };
    assert_eq!(with_ends(&[end_at(0, 3.0), end_at(1, 5.0), told_at(5.2)]), []);
    assert_eq!(with_ends(&[end_at(0, 3.0)]), []);
    assert_eq!(with_ends(&[end_at(0, 5.1), end_at(1, 3.0), told_at(5.2)]), [Rule::EndNotTold]);
    assert_eq!(with_ends(&[end_at(0, 3.0), end_at(1, 5.0), told_at(6.3)]), [Rule::EndNotTold]);
}

#[test]
fn an_unanswered_request_counts_as_lost_depending_on_how_the_front_ended() {
    let unanswered = |events: &[(f64, Event)]| {
        let mut entries = vec![(2.0, Event::Requested { call: 9, front: 0, until: 4.0 })];
        entries.extend(events.iter().cloned());
        entries.push((30.0, Event::Launched { front: 0 }));
        entries.push((30.1, Event::Ready { front: 0 }));
        rules(&entries)
    };
    let signal = |at: f64| (at, Event::Terminated { front: 0 });
    let killed = (3.0, Event::Killed { front: 0 });
    assert_eq!(unanswered(std::slice::from_ref(&killed)), [], "SIGKILL without SIGTERM");
    assert_eq!(unanswered(&[signal(1.5), killed.clone()]), [], "requested 0.5 s after SIGTERM");
    assert_eq!(unanswered(&[signal(1.2), killed]), [Rule::Lost], "requested 0.8 s after SIGTERM");
    assert_eq!(
        unanswered(&[signal(1.5), (3.0, Event::Exited { front: 0 })]),
        [Rule::Lost],
        "exited without SIGKILL"
    );
    let crossed = [(2.01, Event::ConnectionEnded { call: 9 }), (2.01, Event::CrossedClose { call: 9 })];
    assert_eq!(unanswered(&crossed), [], "the request crossed a close of its connection");
}
