//! Random histories and the hard cases, each with a clock of the test's own.

use proptest::prelude::*;
use shalespindle_levels::{
    Admission, AttachRequest, Change, ChangeReason, LevelParams, LevelStep, Levels, Outcome,
};

fn params() -> LevelParams {
    let step = |enter, floor, below, above| LevelStep {
        entry_pressure: enter,
        exit_pressure: enter / 3.0,
        min_utility: floor,
        share_below: below,
        share_above: above,
    };
    LevelParams {
        steps: vec![
            step(0.1, 0.3, 1.0, 1.0),
            step(0.2, 0.5, 0.5, 1.0),
            step(0.3, 0.5, 0.0, 1.0),
            step(0.6, 0.5, 0.0, 0.1),
        ],
        min_stay: 2.0,
        window: 3.0,
        min_evidence: 8.0,
        min_judged_utility: 0.0,
        late_redial_fraction: 1.0,
        skip_pressure: 0.6,
        jitter: 0.2,
        max_entry_delay: 4.0,
        base_pause: 0.5,
        max_pause: 4.0,
        redial_memory: 9.0,
        tenant_shares: vec![0.5, 0.3, 0.2],
    }
}

fn ask(number: u64, relative_utility: f64, tenant: usize) -> AttachRequest {
    AttachRequest {
        called_number: number,
        relative_utility,
        late_share: 0.2,
        latency_target: 1.5,
        tenant: Some(tenant),
        procedure: 0,
    }
}

/// `rate` attaches a second for `seconds`; each stands after 0.1 s unless `lost` says otherwise.
fn drive(
    levels: &mut Levels,
    now: &mut f64,
    seconds: f64,
    rate: f64,
    mut lost: impl FnMut(f64, u64) -> bool,
) -> Vec<Change> {
    let (end, mut changes) = (*now + seconds, Vec::new());
    while *now < end {
        *now += 1.0 / rate;
        let number = (*now * 1000.0) as u64;
        let relative_utility = if number.is_multiple_of(4) { 1.0 } else { 1.0 / 3.0 };
        if let Admission::Admit(ticket) =
            levels.admit(*now, &ask(number, relative_utility, (number % 3) as usize))
        {
            let outcome = if lost(*now, number) { Outcome::Failed } else { Outcome::Established };
            levels.record_outcome(*now, &ticket, outcome);
        }
        changes.extend(std::iter::from_fn(|| levels.next_change()));
    }
    changes
}

fn apart(changes: &[Change], least: f64) -> bool {
    changes.windows(2).all(|w| w[1].at - w[0].at >= least - 1e-9)
}

#[test]
fn trouble_steps_up_and_its_end_steps_back_one_at_a_time() {
    let (mut levels, mut now) = (Levels::new(1, params(), 0.0), 0.0);
    assert!(drive(&mut levels, &mut now, 20.0, 20.0, |_, _| false).is_empty());
    let up = drive(&mut levels, &mut now, 30.0, 20.0, |_, n| n * 7919 % 101 < 80);
    assert!(up.iter().any(|c| c.to >= 3), "{up:?}");
    assert!(up.iter().any(|c| c.to == c.from + 2), "pressure over the skip_pressure skips a level: {up:?}");
    let down = drive(&mut levels, &mut now, 120.0, 20.0, |_, _| false);
    assert_eq!(levels.level(), 0);
    assert!(down.iter().all(|c| c.to + 1 == c.from) && apart(&down, 2.0), "{down:?}");
}

#[test]
fn load_that_hovers_at_a_threshold_changes_seldom() {
    let (mut levels, mut now) = (Levels::new(2, params(), 0.0), 0.0);
    // Within 1 % of the first threshold for ten minutes, at this front's own leaning.
    let changes =
        drive(&mut levels, &mut now, 600.0, 50.0, |t, n| (n * 7919 % 1000) as f64 <= 100.0 + (t * 3.0).sin());
    assert!(apart(&changes, 2.0));
    assert!(changes.len() < 600 / 4, "{} changes; 300 at the least stay alone", changes.len());
}

#[test]
fn a_server_that_alternates_changes_no_faster_than_the_least_stay() {
    for period in [0.5, 1.0, 3.0, 5.0, 10.0, 30.0] {
        let (mut levels, mut now) = (Levels::new(3, params(), 0.0), 0.0);
        let changes =
            drive(&mut levels, &mut now, 300.0, 30.0, |t, _| ((t / period) as u64).is_multiple_of(2));
        assert!(apart(&changes, 2.0), "{period}: {changes:?}");
    }
}

#[test]
fn too_little_to_judge_by_changes_nothing_and_silence_ends_a_level() {
    let (mut levels, mut now) = (Levels::new(4, params(), 0.0), 0.0);
    assert!(
        drive(&mut levels, &mut now, 60.0, 1.0, |_, _| true).is_empty(),
        "one a second is no min_evidence"
    );
    drive(&mut levels, &mut now, 20.0, 30.0, |_, _| true);
    assert!(levels.level() > 0);
    // No traffic for a minute: time alone leads back, one level at a time.
    let mut at = now;
    while levels.deadline().is_finite() && at < now + 60.0 {
        at = levels.deadline().max(at + 0.01);
        levels.tick(at);
    }
    assert_eq!(levels.level(), 0);
    now += 60.0;
    // Then a burst that is served: nothing is held against it.
    assert!(drive(&mut levels, &mut now, 5.0, 200.0, |_, _| false)
        .iter()
        .all(|c| c.reason == ChangeReason::Silence));
}

#[test]
fn a_pause_of_the_front_is_not_read_as_slow_servers() {
    let stop = |told: bool| {
        let mut levels = Levels::new(5, params(), 0.0);
        let (mut now, mut held) = (0.0, Vec::new());
        drive(&mut levels, &mut now, 10.0, 30.0, |_, _| false);
        for n in 0..60u32 {
            if let Admission::Admit(ticket) = levels.admit(now + f64::from(n) * 0.01, &ask(n.into(), 1.0, 0))
            {
                held.push(ticket);
            }
        }
        now += 2.6;
        if told {
            levels.record_stall(now);
        }
        held.iter().for_each(|t| levels.record_outcome(now, t, Outcome::Established));
        levels.tick(now + 3.0);
        levels.level()
    };
    assert_eq!(stop(true), 0);
    assert!(stop(false) > 0, "and the case can fail");
}

#[test]
fn a_cold_start_in_trouble_finds_its_level() {
    let (mut levels, mut now) = (Levels::new(6, params(), 0.0), 0.0);
    let changes = drive(&mut levels, &mut now, 4.0, 30.0, |_, n| n % 10 < 7);
    assert!(levels.level() > 0 && changes[0].at >= 2.0, "{changes:?}");
}

#[test]
fn a_tenant_that_dials_again_and_again_is_refused_first() {
    let (mut levels, mut now) = (Levels::new(7, params(), 0.0), 0.0);
    drive(&mut levels, &mut now, 8.0, 40.0, |_, n| n % 10 < 2);
    assert!(levels.level() >= 1);
    levels.pin(now, 1, now + 100.0);
    let mut refused = [0; 2];
    for round in 0..400u64 {
        now += 0.02;
        // Tenant 2 has a fifth; it dials the same few numbers over and over, the others fresh ones.
        for (place, (tenant, number)) in
            [(2, 7_000_000 + round % 5), (0, 8_000_000 + round)].into_iter().enumerate()
        {
            match levels.admit(now, &ask(number, 1.0, tenant)) {
                Admission::Admit(ticket) => levels.record_outcome(now, &ticket, Outcome::Failed),
                Admission::Refuse { .. } => refused[place] += 1,
            }
        }
    }
    assert!(refused[0] > 300 && refused[1] == 0, "{refused:?}");
}

#[test]
fn pins_hold_and_end_by_themselves() {
    let mut levels = Levels::new(8, params(), 0.0);
    assert!(!levels.pin(1.0, 9, 50.0) && !levels.pin(1.0, 2, 0.5));
    assert!(levels.pin(1.0, 3, 50.0));
    let mut now = 1.0;
    drive(&mut levels, &mut now, 40.0, 30.0, |_, _| false);
    assert_eq!(levels.level(), 3, "whatever the pressure");
    let refused = levels.admit(now, &ask(1, 0.3, 0));
    assert!(matches!(refused, Admission::Refuse { pause, .. } if pause > 0.5), "{refused:?}");
    levels.tick(50.0);
    assert_eq!((levels.level(), levels.status(50.0).reason), (0, ChangeReason::Unpinned));
}

/// Of these moments, how many lie within one second, at most.
fn within_a_second(moments: &[f64]) -> usize {
    let near = |t: &f64| moments.iter().filter(|u| (*u - t).abs() < 0.5).count();
    moments.iter().map(near).max().unwrap()
}

#[test]
fn fronts_do_not_step_as_one() {
    let mut first = Vec::new();
    for seed in 0..281 {
        let (mut levels, mut now) = (Levels::new(seed, params(), 0.0), 0.0);
        // The same slow rise for all: what differs is only their own leaning.
        let changes = drive(&mut levels, &mut now, 120.0, 20.0, |t, n| ((n * 7919 % 1000) as f64) < t * 4.0);
        first.push(changes[0].at);
    }
    let most = within_a_second(&first);
    assert!(most < 281 / 3, "{most} of 281 step within a second of each other");
}

#[test]
fn fronts_that_see_the_same_trouble_at_once_step_up_apart() {
    let mut first = Vec::new();
    for seed in 0..281 {
        let (mut levels, mut now) = (Levels::new(seed, params(), 0.0), 0.0);
        // Everything is lost from one moment on.
        let changes = drive(&mut levels, &mut now, 40.0, 20.0, |t, _| t > 10.0);
        first.push(changes[0].at);
    }
    let most = within_a_second(&first);
    assert!(most < 281 / 3, "{most} of 281 step within a second of each other");
}

#[test]
fn state_is_bounded_whatever_is_asked() {
    let mut levels = Levels::new(9, params(), 0.0);
    for n in 0..200_000u64 {
        let now = n as f64 * 1e-5;
        if let Admission::Admit(ticket) = levels.admit(now, &ask(n + 1, 1.0, n as usize)) {
            levels.record_outcome(now, &ticket, Outcome::Failed);
        }
    }
    assert!(levels.remembered_callers() <= (1 << 14) + 2, "{}", levels.remembered_callers());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any history: no two changes within the least stay, one level at a time on the way back, the same
    /// history gives the same levels, and when all goes well again the way leads back to full service.
    #[test]
    fn any_history(seed: u64, script in proptest::collection::vec((0u8..5, 1u8..60, 0u8..=100), 1..60)) {
        let run = || {
            let (mut levels, mut now) = (Levels::new(seed, params(), 0.0), 0.0);
            let mut changes = Vec::new();
            for (kind, length, share) in &script {
                match kind {
                    0 => now += f64::from(*length) / 10.0,
                    1 => levels.record_stall(now),
                    _ => {
                        let lost = |_, n: u64| n * 7919 % 101 < u64::from(*share);
                        let rate = f64::from(*length);
                        changes.extend(drive(&mut levels, &mut now, 3.0, rate, lost));
                    }
                }
            }
            changes.extend(drive(&mut levels, &mut now, 200.0, 30.0, |_, _| false));
            (levels.level(), changes)
        };
        let (level, changes) = run();
        prop_assert_eq!(level, 0);
        prop_assert!(apart(&changes, 2.0));
        prop_assert!(changes.iter().all(|c| c.to < c.from && c.to + 1 == c.from || c.to > c.from && c.to <= c.from + 2));
        prop_assert_eq!(run().1, changes);
    }
}
