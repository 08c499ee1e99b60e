//! Each term: kept on a sound record, found broken on a planted fault.

use shalespindle_trials::record::{Entry, Event};
use shalespindle_trials::rules::{breaches, Rule, RuleLimits};

const LIMITS: RuleLimits = RuleLimits {
    guard: 0.5,
    drain_grace: 0.25,
    answer_slack: 0.5,
    end_after_release: 1.05,
    end_after_silence: 8.05,
    end_after_hand_over: 4.0,
    accepted_after_signal: 0.7,
    ready_within: 10.0,
    abandon_within: 0.1,
    transit_allowance: 0.1,
};
const END: f64 = 60.0;

/// One call from its request to its end, told in time.
fn sound() -> Vec<Entry> {
    vec![
        (0.0, Event::Launched { front: 0 }),
        (0.1, Event::Ready { front: 0 }),
        (1.0, Event::Requested { call: 1, front: 0, until: 4.0 }),
        (1.1, Event::SetUp { call: 1, server: 0 }),
        (1.3, Event::AttemptEnded { call: 1, server: 0, unsure: true }),
        (1.9, Event::SetUp { call: 1, server: 1 }),
        (2.0, Event::AttemptEnded { call: 1, server: 1, unsure: false }),
        (2.1, Event::Answered { call: 1, status: 200, sound: true }),
        (5.0, Event::CallOver { call: 1, released: true }),
        (5.2, Event::ReleasedToCaller { call: 1 }),
        (6.0, Event::BadClient { was_turned_away: true }),
    ]
}

fn rules(entries: &[Entry]) -> Vec<Rule> {
    let mut entries = entries.to_vec();
    entries.sort_by(|a, b| a.0.total_cmp(&b.0));
    breaches(&entries, &LIMITS, END).into_iter().map(|b| b.rule).collect()
}

/// The sound record with one event more.
fn with(at: f64, event: Event) -> Vec<Rule> {
    let mut entries = sound();
    entries.push((at, event));
    rules(&entries)
}

/// The sound record with the events that match moved or taken away.
fn changed(change: impl Fn(Entry) -> Option<Entry>) -> Vec<Rule> {
    rules(&sound().into_iter().filter_map(change).collect::<Vec<_>>())
}

#[test]
fn a_sound_record_breaks_nothing() {
    assert_eq!(rules(&sound()), []);
}

#[test]
fn each_planted_fault_is_found() {
    let without = |unwanted: fn(&Event) -> bool| changed(move |e| Some(e).filter(|e| !unwanted(&e.1)));
    let lost = without(|e| matches!(e, Event::Answered { .. }));
    assert_eq!(lost, [Rule::Lost]);
    assert_eq!(with(2.5, Event::Answered { call: 1, status: 503, sound: true }), [Rule::SecondAnswer]);
    assert_eq!(with(1.2, Event::SetUp { call: 1, server: 0 }), [Rule::TwoAttempts]);
    assert_eq!(with(1.2, Event::CallerLeft { call: 1 }), [Rule::SentAfterCallerLeft]);
    assert_eq!(with(1.0, Event::ToldToLeave { server: 1 }), [Rule::SentToDrained]);
    assert_eq!(with(7.0, Event::Exited { front: 0 }), [Rule::Crashed]);
    assert_eq!(with(7.0, Event::BadClient { was_turned_away: false }), [Rule::BadClientServed]);
    assert_eq!(with(7.0, Event::Launched { front: 0 }), [Rule::NotReady]);
    let unsound = changed(|(at, event)| match event {
        Event::Answered { call, status, .. } => Some((at, Event::Answered { call, status, sound: false })),
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
fn the_time_for_a_calls_end_depends_on_whether_its_server_could_say_so() {
    let told = |after: f64, released: bool| {
        changed(move |(at, event)| match event {
            Event::CallOver { call, .. } => Some((at, Event::CallOver { call, released })),
            Event::ReleasedToCaller { .. } => Some((5.0 + after, event)),
            other => Some((at, other)),
        })
    };
    assert_eq!(told(1.1, true), []);
    assert_eq!(told(1.2, true), [Rule::EndNotTold]);
    assert_eq!(told(8.1, false), []);
    assert_eq!(told(8.2, false), [Rule::EndNotTold]);
}

#[test]
fn what_is_unanswered_at_a_fronts_end_is_lost_or_not_by_how_it_ended() {
    let unanswered = |events: &[(f64, Event)]| {
        let mut entries = vec![(2.0, Event::Requested { call: 9, front: 0, until: 4.0 })];
        entries.extend(events.iter().cloned());
        entries.push((30.0, Event::Launched { front: 0 }));
        entries.push((30.1, Event::Ready { front: 0 }));
        rules(&entries)
    };
    let signal = |at: f64| (at, Event::Terminated { front: 0 });
    let killed = (3.0, Event::Killed { front: 0 });
    assert_eq!(unanswered(std::slice::from_ref(&killed)), [], "killed outright");
    assert_eq!(unanswered(&[signal(1.5), killed.clone()]), [], "came 0.5 s after SIGTERM");
    assert_eq!(unanswered(&[signal(1.2), killed]), [Rule::Lost], "came 0.8 s after SIGTERM");
    assert_eq!(
        unanswered(&[signal(1.5), (3.0, Event::Exited { front: 0 })]),
        [Rule::Lost],
        "it ended by itself"
    );
    let crossed = [(2.01, Event::ConnectionEnded { call: 9 }), (2.01, Event::CrossedClose { call: 9 })];
    assert_eq!(unanswered(&crossed), [], "it crossed a close");
}
