//! The levels under random histories and in difficult cases; each test advances its own clock.

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

fn request(number: u64, relative_utility: f64, tenant: usize) -> AttachRequest {
    AttachRequest {
        called_number: number,
        relative_utility,
        late_share: 0.2,
        latency_target: 1.5,
        tenant: Some(tenant),
        procedure: 0,
    }
}

/// Offers `rate` attaches a second for `seconds`. Each admitted one ends at once: failed if `fails` returns
/// true for its time and number, established otherwise. Returns the changes of level.
fn drive(
    levels: &mut Levels,
    now: &mut f64,
    seconds: f64,
    rate: f64,
    mut fails: impl FnMut(f64, u64) -> bool,
) -> Vec<Change> {
    let (end, mut changes) = (*now + seconds, Vec::new());
    while *now < end {
        *now += 1.0 / rate;
        let number = (*now * 1000.0) as u64;
        let relative_utility = if number.is_multiple_of(4) { 1.0 } else { 1.0 / 3.0 };
        if let Admission::Admit(ticket) =
            levels.admit(*now, &request(number, relative_utility, (number % 3) as usize))
        {
            let outcome = if fails(*now, number) { Outcome::Failed } else { Outcome::Established };
            levels.record_outcome(*now, &ticket, outcome);
        }
        changes.extend(std::iter::from_fn(|| levels.next_change()));
    }
    changes
}

/// Whether consecutive changes are at least `min_distance` seconds apart.
fn apart(changes: &[Change], min_distance: f64) -> bool {
    changes.windows(2).all(|w| w[1].at - w[0].at >= min_distance - 1e-9)
}

#[test]
fn pressure_raises_the_level_and_its_end_lowers_it_one_level_at_a_time() {
    let (mut levels, mut now) = (Levels::new(1, params(), 0.0), 0.0);
    assert!(drive(&mut levels, &mut now, 20.0, 20.0, |_, _| false).is_empty());
    let up = drive(&mut levels, &mut now, 30.0, 20.0, |_, n| n * 7919 % 101 < 80);
    assert!(up.iter().any(|c| c.to >= 3), "{up:?}");
    assert!(up.iter().any(|c| c.to == c.from + 2), "pressure above skip_pressure skips a level: {up:?}");
    let down = drive(&mut levels, &mut now, 120.0, 20.0, |_, _| false);
    assert_eq!(levels.level(), 0);
    assert!(down.iter().all(|c| c.to + 1 == c.from) && apart(&down, 2.0), "{down:?}");
}

#[test]
fn pressure_around_a_threshold_changes_the_level_rarely() {
    let (mut levels, mut now) = (Levels::new(2, params(), 0.0), 0.0);
    // Within 1 % of the first threshold, before this front's random factor, for ten minutes.
    let changes =
        drive(&mut levels, &mut now, 600.0, 50.0, |t, n| (n * 7919 % 1000) as f64 <= 100.0 + (t * 3.0).sin());
    assert!(apart(&changes, 2.0));
    assert!(changes.len() < 600 / 4, "{} changes; min_stay alone would allow 300", changes.len());
}

#[test]
fn alternating_failures_change_the_level_no_faster_than_the_min_stay() {
    for period in [0.5, 1.0, 3.0, 5.0, 10.0, 30.0] {
        let (mut levels, mut now) = (Levels::new(3, params(), 0.0), 0.0);
        let changes =
            drive(&mut levels, &mut now, 300.0, 30.0, |t, _| ((t / period) as u64).is_multiple_of(2));
        assert!(apart(&changes, 2.0), "{period}: {changes:?}");
    }
}

#[test]
fn too_little_evidence_changes_nothing_and_silence_lowers_the_level() {
    let (mut levels, mut now) = (Levels::new(4, params(), 0.0), 0.0);
    assert!(
        drive(&mut levels, &mut now, 60.0, 1.0, |_, _| true).is_empty(),
        "one attach a second is too little evidence"
    );
    drive(&mut levels, &mut now, 20.0, 30.0, |_, _| true);
    assert!(levels.level() > 0);
    // No traffic for a minute: the level is lowered by timer, one level at a time.
    let mut at = now;
    while levels.deadline().is_finite() && at < now + 60.0 {
        at = levels.deadline().max(at + 0.01);
        levels.tick(at);
    }
    assert_eq!(levels.level(), 0);
    now += 60.0;
    // A burst that is served afterwards does not raise the level.
    assert!(drive(&mut levels, &mut now, 5.0, 200.0, |_, _| false)
        .iter()
        .all(|c| c.reason == ChangeReason::Silence));
}

#[test]
fn a_stall_of_the_front_is_not_counted_as_slow_servers() {
    let level_after_stall = |recorded: bool| {
        let mut levels = Levels::new(5, params(), 0.0);
        let (mut now, mut tickets) = (0.0, Vec::new());
        drive(&mut levels, &mut now, 10.0, 30.0, |_, _| false);
        for n in 0..60u32 {
            if let Admission::Admit(ticket) =
                levels.admit(now + f64::from(n) * 0.01, &request(n.into(), 1.0, 0))
            {
                tickets.push(ticket);
            }
        }
        now += 2.6;
        if recorded {
            levels.record_stall(now);
        }
        tickets.iter().for_each(|t| levels.record_outcome(now, t, Outcome::Established));
        levels.tick(now + 3.0);
        levels.level()
    };
    assert_eq!(level_after_stall(true), 0);
    assert!(level_after_stall(false) > 0, "an unrecorded stall must raise the level");
}

#[test]
fn a_start_under_failures_raises_the_level() {
    let (mut levels, mut now) = (Levels::new(6, params(), 0.0), 0.0);
    let changes = drive(&mut levels, &mut now, 4.0, 30.0, |_, n| n % 10 < 7);
    assert!(levels.level() > 0 && changes[0].at >= 2.0, "{changes:?}");
}

#[test]
fn redials_of_a_tenant_over_its_share_are_refused_first() {
    let (mut levels, mut now) = (Levels::new(7, params(), 0.0), 0.0);
    drive(&mut levels, &mut now, 8.0, 40.0, |_, n| n % 10 < 2);
    assert!(levels.level() >= 1);
    levels.pin(now, 1, now + 100.0);
    let mut refused = [0; 2];
    for round in 0..400u64 {
        now += 0.02;
        // Tenant 2, with a share of 0.2, redials the same five numbers; tenant 0 calls new ones.
        for (index, (tenant, number)) in
            [(2, 7_000_000 + round % 5), (0, 8_000_000 + round)].into_iter().enumerate()
        {
            match levels.admit(now, &request(number, 1.0, tenant)) {
                Admission::Admit(ticket) => levels.record_outcome(now, &ticket, Outcome::Failed),
                Admission::Refuse { .. } => refused[index] += 1,
            }
        }
    }
    assert!(refused[0] > 300 && refused[1] == 0, "{refused:?}");
}

#[test]
fn pins_hold_and_expire() {
    let mut levels = Levels::new(8, params(), 0.0);
    assert!(!levels.pin(1.0, 9, 50.0) && !levels.pin(1.0, 2, 0.5));
    assert!(levels.pin(1.0, 3, 50.0));
    let mut now = 1.0;
    drive(&mut levels, &mut now, 40.0, 30.0, |_, _| false);
    assert_eq!(levels.level(), 3, "whatever the pressure");
    let decision = levels.admit(now, &request(1, 0.3, 0));
    assert!(matches!(decision, Admission::Refuse { pause, .. } if pause > 0.5), "{decision:?}");
    levels.tick(50.0);
    assert_eq!((levels.level(), levels.status(50.0).reason), (0, ChangeReason::Unpinned));
}

/// The maximum number of these times that lie within one second.
fn max_within_a_second(times: &[f64]) -> usize {
    let count_near = |t: &f64| times.iter().filter(|u| (*u - t).abs() < 0.5).count();
    times.iter().map(count_near).max().unwrap()
}

#[test]
fn fronts_under_slowly_rising_failures_change_level_at_different_times() {
    let mut first = Vec::new();
    for seed in 0..281 {
        let (mut levels, mut now) = (Levels::new(seed, params(), 0.0), 0.0);
        // The same slow rise for all fronts: they differ only by their random factors.
        let changes = drive(&mut levels, &mut now, 120.0, 20.0, |t, n| ((n * 7919 % 1000) as f64) < t * 4.0);
        first.push(changes[0].at);
    }
    let together = max_within_a_second(&first);
    assert!(together < 281 / 3, "{together} of 281 change level within a second of each other");
}

#[test]
fn fronts_under_sudden_failures_change_level_at_different_times() {
    let mut first = Vec::new();
    for seed in 0..281 {
        let (mut levels, mut now) = (Levels::new(seed, params(), 0.0), 0.0);
        // From 10 s on, every attach fails.
        let changes = drive(&mut levels, &mut now, 40.0, 20.0, |t, _| t > 10.0);
        first.push(changes[0].at);
    }
    let together = max_within_a_second(&first);
    assert!(together < 281 / 3, "{together} of 281 change level within a second of each other");
}

#[test]
fn memory_is_bounded_in_a_flood_of_numbers() {
    let mut levels = Levels::new(9, params(), 0.0);
    for n in 0..200_000u64 {
        let now = n as f64 * 1e-5;
        if let Admission::Admit(ticket) = levels.admit(now, &request(n + 1, 1.0, n as usize)) {
            levels.record_outcome(now, &ticket, Outcome::Failed);
        }
    }
    assert!(levels.remembered_callers() <= (1 << 14) + 2, "{}", levels.remembered_callers());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// For any history: no two changes are closer than `min_stay`, the level is lowered by one at a time, the
    /// same history yields the same changes, and once all attaches are established it returns to full
    /// service.
    #[test]
    fn any_history_keeps_the_invariants(
        seed: u64,
        script in proptest::collection::vec((0u8..5, 1u8..60, 0u8..=100), 1..60),
    ) {
        let run = || {
            let (mut levels, mut now) = (Levels::new(seed, params(), 0.0), 0.0);
            let mut changes = Vec::new();
            for (kind, length, share) in &script {
                match kind {
                    0 => now += f64::from(*length) / 10.0,
                    1 => levels.record_stall(now),
                    _ => {
                        let fails = |_, n: u64| n * 7919 % 101 < u64::from(*share);
                        let rate = f64::from(*length);
                        changes.extend(drive(&mut levels, &mut now, 3.0, rate, fails));
                    }
                }
            }
            changes.extend(drive(&mut levels, &mut now, 200.0, 30.0, |_, _| false));
            (levels.level(), changes)
        };
        let (level, changes) = run();
        prop_assert_eq!(level, 0);
        prop_assert!(apart(&changes, 2.0));
        let is_valid = |c: &Change| c.to < c.from && c.to + 1 == c.from || c.to > c.from && c.to <= c.from + 2;
        prop_assert!(changes.iter().all(is_valid));
        prop_assert_eq!(run().1, changes);
    }
}
