//! When a silent server is probed and when it counts as dead, on a simulated clock.

use shalespindle_control::liveness::{Liveness, LivenessStatus, ProbeMethod};

const LIMIT: f64 = 8.0;
const STEP: f64 = 0.1;

/// Evaluates every tenth of a second until the server is dead or the time `until` has passed, and probes when
/// a probe is due. Returns the times of the probes and the time at which the server was dead.
fn run_until_dead(liveness: &mut Liveness, from: f64, until: f64) -> (Vec<f64>, Option<f64>) {
    let mut probed = Vec::new();
    for step in 0.. {
        let now = from + STEP * f64::from(step);
        if now > until {
            return (probed, None);
        }
        match liveness.evaluate(now, true) {
            LivenessStatus::Alive => {}
            LivenessStatus::ProbeDue => {
                liveness.probe_sent(now);
                probed.push(now);
            }
            LivenessStatus::Dead => return (probed, Some(now)),
        }
    }
    unreachable!("the loop ends at `until`")
}

#[test]
fn a_vanished_server_is_probed_and_dead_before_the_limit() {
    let mut liveness = Liveness::new(LIMIT, ProbeMethod::Test);
    liveness.message_received(100.0);
    let (probed, dead_at) = run_until_dead(&mut liveness, 100.0, 120.0);
    assert!(probed.len() >= 4 && probed[0] <= 102.2, "{probed:?}");
    let dead_at = dead_at.unwrap();
    assert!((106.9..107.2).contains(&dead_at), "{dead_at}");
}

#[test]
fn a_server_that_answers_late_is_never_dead() {
    let mut liveness = Liveness::new(LIMIT, ProbeMethod::Test);
    liveness.message_received(0.0);
    let mut probed = 0;
    for step in 0..1000 {
        let now = STEP * f64::from(step);
        match liveness.evaluate(now, true) {
            LivenessStatus::Alive => {}
            LivenessStatus::ProbeDue => {
                probed += 1;
                liveness.probe_sent(now);
                // Each answer arrives only after further probes.
                if probed % 3 == 0 {
                    liveness.message_received(now);
                }
            }
            LivenessStatus::Dead => panic!("dead at {now}"),
        }
    }
    assert!(probed > 50, "{probed}");
}

/// The network fails for six seconds, beginning just before the next message.
#[test]
fn a_server_that_returns_after_six_seconds_keeps_its_calls() {
    let mut liveness = Liveness::new(LIMIT, ProbeMethod::Test);
    liveness.message_received(0.0);
    assert_eq!(run_until_dead(&mut liveness, 0.0, 6.5).1, None);
    liveness.message_received(6.6);
    assert_eq!(run_until_dead(&mut liveness, 6.6, 13.0).1, None);
}

#[test]
fn without_calls_no_probe_is_due_and_earlier_silence_counts_only_after_a_probe() {
    let mut liveness = Liveness::new(LIMIT, ProbeMethod::Test);
    liveness.message_received(0.0);
    assert_eq!(liveness.evaluate(50.0, false), LivenessStatus::Alive);
    let (probed, dead_at) = run_until_dead(&mut liveness, 60.0, 70.0);
    assert_eq!(probed[0], 60.0);
    let dead_at = dead_at.unwrap();
    assert!((61.0..61.2).contains(&dead_at), "{dead_at}");
}

#[test]
fn after_a_stall_the_front_probes_before_it_declares_a_server_dead() {
    let mut liveness = Liveness::new(LIMIT, ProbeMethod::Test);
    liveness.message_received(0.0);
    assert_eq!(liveness.evaluate(0.1, true), LivenessStatus::Alive);
    assert_eq!(liveness.evaluate(30.0, true), LivenessStatus::ProbeDue);
    liveness.probe_sent(30.0);
    assert_eq!(liveness.evaluate(30.5, true), LivenessStatus::Alive);
    liveness.message_received(30.6);
    assert_eq!(liveness.evaluate(31.1, true), LivenessStatus::Alive);
}

/// A call taken over from another front may have ended long before this front knew of it.
#[test]
fn a_server_without_any_message_is_probed_at_once_and_dead_sooner() {
    let mut liveness = Liveness::new(LIMIT, ProbeMethod::Test);
    let (probed, dead_at) = run_until_dead(&mut liveness, 10.0, 20.0);
    assert_eq!(probed[0], 10.0);
    let dead_at = dead_at.unwrap();
    assert!((13.0..13.2).contains(&dead_at), "{dead_at}");
}

#[test]
fn without_tests_a_server_is_probed_less_often_and_dead_as_soon() {
    let mut liveness = Liveness::new(LIMIT, ProbeMethod::Dial);
    liveness.message_received(0.0);
    let (probed, dead_at) = run_until_dead(&mut liveness, 0.0, 20.0);
    assert_eq!(probed.len(), 2, "{probed:?}");
    assert!((6.9..7.2).contains(&dead_at.unwrap()));
}

#[test]
fn refused_connections_mean_that_the_process_ended_or_was_replaced() {
    let mut liveness = Liveness::new(LIMIT, ProbeMethod::Test);
    assert!(!liveness.connection_refused(0.0));
    assert!(!liveness.is_another_process(), "no message came before");
    let mut handed_over = Liveness::new(LIMIT, ProbeMethod::Test);
    handed_over.evaluate(0.0, true);
    handed_over.connection_refused(0.2);
    assert!(handed_over.is_another_process(), "a call was established there before");
    liveness.message_received(1.0);
    assert!(!liveness.is_another_process());
    assert!(!liveness.connection_refused(2.0));
    assert!(liveness.is_another_process());
    // A message arrives on an older connection: the server only has no capacity for another connection.
    liveness.message_received(2.5);
    assert!(!liveness.is_another_process());
    assert!(
        !liveness.connection_refused(3.0)
            && !liveness.connection_refused(4.9)
            && liveness.connection_refused(5.0)
    );
}
