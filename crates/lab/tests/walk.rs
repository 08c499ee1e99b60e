//! Exhaustive walk through the step sequences of the membership module; it must detect planted faults.

use shalespindle_lab::walk::{steps, walk, Fault};

#[test]
fn every_sequence_of_five_steps_keeps_the_invariants() {
    let walked = walk(5, None, 1);
    assert!(walked.broken.is_empty(), "{:?}", walked.broken);
    let n = steps().len() as u64;
    assert_eq!(walked.states, n + n.pow(2) + n.pow(3) + n.pow(4) + n.pow(5));
}

#[test]
fn planted_faults_are_detected() {
    for (fault, what) in [
        (Fault::NoHold, "took it out"),
        (Fault::FalseDrain, "known to live"),
        (Fault::DropsChanges, "known to live"),
    ] {
        let walked = walk(4, Some(fault), 200);
        assert!(
            walked.broken.iter().any(|b| b.what.contains(what)),
            "{fault:?}: {:?}",
            walked.broken.first()
        );
    }
}
