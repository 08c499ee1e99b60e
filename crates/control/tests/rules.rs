//! Model tests with seeded random histories; `common` checks the five rules after every step.

mod common;

use common::*;
use quickcheck::{Gen, QuickCheck, TestResult};
use rand::{Rng, SeedableRng};
use shalespindle_control::interface::*;

/// Events in order: kind, detail, and milliseconds that pass before the event.
type Script = Vec<(u8, u8, u16)>;

fn run(script: Script, seed: u64, probes: bool) -> World {
    let mut world = World::new(seed, Deployment { may_probe: probes, ..deployment() });
    for (kind, detail, pause) in script {
        world.advance(f64::from(pause % 700) / 1000.0);
        let detail_index = usize::from(detail);
        let pool = u64::from(detail % 3);
        let in_progress = world.tries_in_progress();
        let report = Report {
            free_agents: Some(9.0),
            wait: (detail & 1 == 1).then(|| f64::from(detail) / 50.0),
            ..Report::default()
        };
        match kind % 16 {
            0..=6 => {
                let patience = PATIENCE * (0.01 + f64::from(detail) / 255.0);
                world.arrive(detail_index % 2, u16::from(detail % 3), patience);
            }
            7 | 8 if !in_progress.is_empty() => {
                world.establish(in_progress[detail_index % in_progress.len()].0)
            }
            9 | 10 if !in_progress.is_empty() => {
                let wait = (detail & 2 == 2).then_some(0.7);
                let reasons = [
                    EndReason::Cut,
                    EndReason::Throttled { wait },
                    EndReason::Unreached,
                    EndReason::Rejected,
                    EndReason::Cancelled,
                ];
                world.end_try(
                    in_progress[detail_index % in_progress.len()].0,
                    reasons[detail_index / 7 % 5],
                    report,
                );
            }
            11 if !in_progress.is_empty() => {
                world.client_leaves(in_progress[detail_index % in_progress.len()].0)
            }
            12 => world.update_list(&[entry(pool, 0.0, detail & 4 == 0)], false),
            13 => world.update_list(&[entry(pool, world.now - f64::from(detail % 5), true)], false),
            14 if detail > 200 => world.update_list(&[entry(pool, 0.0, true)], true),
            14 => world.update_list(&[entry(0, 0.0, true), entry(1, 0.0, true), entry(2, 0.0, true)], true),
            15 => {
                // Late reports on attaches that ended long ago, and answers to probes.
                let ended = u32::from(detail);
                if !in_progress.iter().any(|o| o.0 == ended)
                    && world
                        .decisions
                        .iter()
                        .any(|d| matches!(d, Decision::Refuse { ue, .. } if *ue == ended))
                {
                    world.control.try_ended(world.now, ended, pool, EndReason::TimedOut, true, report);
                    world.control.client_left(world.now, ended);
                }
                world.report(pool, detail & 8 == 0, report);
                world.pull();
            }
            _ => {}
        }
        if world.violation.is_some() {
            return world;
        }
    }
    world.advance(10.0);
    world
}

#[test]
fn the_rules_hold_in_random_histories() {
    fn rules_hold(script: Script, seed: u64, probes: bool) -> TestResult {
        match run(script, seed, probes).violation {
            Some(violation) => TestResult::error(violation),
            None => TestResult::passed(),
        }
    }
    for seed in 0..20 {
        let mut check =
            QuickCheck::new().rng(Gen::from_size_and_seed(60 + 40 * seed as usize, seed)).tests(100);
        check.quickcheck(rules_hold as fn(Script, u64, bool) -> TestResult);
    }
}

#[test]
fn the_same_input_gives_the_same_decisions() {
    fn same(script: Script, seed: u64) -> bool {
        run(script.clone(), seed, true).decisions == run(script, seed, true).decisions
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(300, 7)).tests(50);
    check.quickcheck(same as fn(Script, u64) -> bool);
}

/// All pools are cold at the same time under a steady rate of attaches: the combined budget holds.
#[test]
fn cold_pools_are_not_overloaded() {
    for seed in 0..20 {
        let mut world = World::new(seed, deployment());
        for n in 0..500 {
            if n == 200 {
                let now = world.now;
                world.update_list(&[entry(0, now, true), entry(1, now, true), entry(2, now, true)], true);
            }
            world.advance(0.05);
            let ue = world.arrive(0, n % 3, PATIENCE);
            world.establish(ue);
        }
        assert_eq!(world.violation, None);
        let sent = world.decisions.iter().filter(|d| matches!(d, Decision::SetUp { pool: 1, .. })).count();
        assert!(sent > 100, "{sent} set-ups to pool 1, of which 67 were sent before it was cold");
    }
}

/// Rule 4 with hundreds of fronts and one cold pool: each front sent a small share of the load before.
#[test]
fn the_budgets_of_many_fronts_sum_to_less_than_the_overload_of_a_cold_pool() {
    for seed in 0..5 {
        let mut fronts: Vec<World> = (0..200).map(|n| World::new(seed * 1000 + n, deployment())).collect();
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut sent_steps = Vec::new();
        for step in 0..800 {
            for world in &mut fronts {
                world.advance(0.05);
                if step == 400 {
                    world.update_list(&[entry(0, world.now, true)], false);
                }
                // Each front gets 0.2 attaches a second for the pool before its restart, 2 a second after.
                let one_in = if step < 400 { 100 } else { 10 };
                if rng.random_range(0..one_in) == 0 {
                    let ue = world.arrive(1, 0, PATIENCE);
                    let sent = world.tries_in_progress().iter().any(|o| o.0 == ue && o.1.pool == 0);
                    sent_steps.extend((sent && step >= 400).then_some(step));
                    world.establish(ue);
                }
            }
        }
        // The load before was 40 a second. Twice the capacity is 24 a second after the restart and rises to
        // 80 in 15 s.
        for from in 400..680 {
            let window = sent_steps.iter().filter(|&&s| s >= from && s < from + 20).count() as f64;
            let limit = 24.0 + 56.0 * f64::from(from - 400) / 300.0;
            // A quarter is allowed for random variation: 24 to 80 independent fronts send within a second.
            assert!(
                window <= 1.25 * limit,
                "seed {seed}: {window} set-ups in one second from step {from}, limit {limit}"
            );
        }
        assert!(
            sent_steps.len() > 400 && sent_steps[60] < 500,
            "{} set-ups in all, 60 by step {}",
            sent_steps.len(),
            sent_steps[60]
        );
    }
}
