//! When a silent server is asked and when its calls are over, under a fake clock.

use shalespindle_control::liveness::{Liveness, LivenessStatus, ProbeMethod};

const LIMIT: f64 = 8.0;
const STEP: f64 = 0.1;

/// Judges every tenth of a second until the server is gone or the time is up; asks as it is told to. Returns the times
/// at which it was asked, and when it was gone.
fn watch(liveness: &mut Liveness, from: f64, until: f64) -> (Vec<f64>, Option<f64>) {
    let mut asked = Vec::new();
    for step in 0.. {
        let now = from + STEP * f64::from(step);
        if now > until {
            return (asked, None);
        }
        match liveness.evaluate(now, true) {
            LivenessStatus::Alive => {}
            LivenessStatus::ProbeDue => {
                liveness.probe_sent(now);
                asked.push(now);
            }
            LivenessStatus::Dead => return (asked, Some(now)),
        }
    }
    unreachable!("time passes")
}

#[test]
fn a_server_that_vanished_is_asked_and_gone_before_the_limit() {
    let mut liveness = Liveness::new(LIMIT, ProbeMethod::Test);
    liveness.message_received(100.0);
    let (asked, gone) = watch(&mut liveness, 100.0, 120.0);
    assert!(asked.len() >= 4 && asked[0] <= 102.2, "{asked:?}");
    let gone = gone.unwrap();
    assert!((106.9..107.2).contains(&gone), "{gone}");
}

#[test]
fn a_server_that_speaks_or_answers_is_never_gone() {
    let mut liveness = Liveness::new(LIMIT, ProbeMethod::Test);
    liveness.message_received(0.0);
    let mut asked = 0;
    for step in 0..1000 {
        let now = STEP * f64::from(step);
        match liveness.evaluate(now, true) {
            LivenessStatus::Alive => {}
            LivenessStatus::ProbeDue => {
                asked += 1;
                liveness.probe_sent(now);
                // Each answer is late by more than the next question.
                if asked % 3 == 0 {
                    liveness.message_received(now);
                }
            }
            LivenessStatus::Dead => panic!("gone at {now}"),
        }
    }
    assert!(asked > 50, "{asked}");
}

/// A cut of six seconds that begins just before the next word.
#[test]
fn a_server_that_is_back_after_six_seconds_keeps_its_calls() {
    let mut liveness = Liveness::new(LIMIT, ProbeMethod::Test);
    liveness.message_received(0.0);
    assert_eq!(watch(&mut liveness, 0.0, 6.5).1, None);
    liveness.message_received(6.6);
    assert_eq!(watch(&mut liveness, 6.6, 13.0).1, None);
}

#[test]
fn without_calls_nobody_is_asked_and_silence_from_before_them_counts_only_once_asked() {
    let mut liveness = Liveness::new(LIMIT, ProbeMethod::Test);
    liveness.message_received(0.0);
    assert_eq!(liveness.evaluate(50.0, false), LivenessStatus::Alive);
    let (asked, gone) = watch(&mut liveness, 60.0, 70.0);
    assert_eq!(asked[0], 60.0);
    let gone = gone.unwrap();
    assert!((61.0..61.2).contains(&gone), "{gone}");
}

#[test]
fn a_front_that_stood_still_asks_before_it_judges() {
    let mut liveness = Liveness::new(LIMIT, ProbeMethod::Test);
    liveness.message_received(0.0);
    assert_eq!(liveness.evaluate(0.1, true), LivenessStatus::Alive);
    assert_eq!(liveness.evaluate(30.0, true), LivenessStatus::ProbeDue);
    liveness.probe_sent(30.0);
    assert_eq!(liveness.evaluate(30.5, true), LivenessStatus::Alive);
    liveness.message_received(30.6);
    assert_eq!(liveness.evaluate(31.1, true), LivenessStatus::Alive);
}

/// A call that was handed over: it may have ended long before this front knew of it.
#[test]
fn a_server_never_heard_is_asked_at_once_and_gone_sooner() {
    let mut liveness = Liveness::new(LIMIT, ProbeMethod::Test);
    let (asked, gone) = watch(&mut liveness, 10.0, 20.0);
    assert_eq!(asked[0], 10.0);
    let gone = gone.unwrap();
    assert!((13.0..13.2).contains(&gone), "{gone}");
}

#[test]
fn where_tests_are_not_allowed_it_is_asked_less_often_and_gone_as_soon() {
    let mut liveness = Liveness::new(LIMIT, ProbeMethod::Dial);
    liveness.message_received(0.0);
    let (asked, gone) = watch(&mut liveness, 0.0, 20.0);
    assert_eq!(asked.len(), 2, "{asked:?}");
    assert!((6.9..7.2).contains(&gone.unwrap()));
}

#[test]
fn refusals_tell_of_a_process_that_is_gone_or_of_another_one() {
    let mut liveness = Liveness::new(LIMIT, ProbeMethod::Test);
    assert!(!liveness.connection_refused(0.0));
    assert!(!liveness.is_another_process(), "none was heard before");
    let mut handed_over = Liveness::new(LIMIT, ProbeMethod::Test);
    handed_over.evaluate(0.0, true);
    handed_over.connection_refused(0.2);
    assert!(handed_over.is_another_process(), "a call was said to stand there");
    liveness.message_received(1.0);
    assert!(!liveness.is_another_process());
    assert!(!liveness.connection_refused(2.0));
    assert!(liveness.is_another_process());
    // It speaks on an older connection: it only has no room for another.
    liveness.message_received(2.5);
    assert!(!liveness.is_another_process());
    assert!(
        !liveness.connection_refused(3.0)
            && !liveness.connection_refused(4.9)
            && liveness.connection_refused(5.0)
    );
}
