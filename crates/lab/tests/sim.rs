//! The bad day under virtual time.

use shalespindle_lab::compare::{compare, Variant};
use shalespindle_lab::scenario::Scenario;
use shalespindle_lab::sim::{self, Planted, Setup};

fn bad_day() -> Scenario {
    Scenario::read(include_str!("../scenarios/bad-day.toml")).unwrap()
}

#[test]
fn the_bad_day_keeps_the_rules_and_is_the_same_each_time() {
    for seed in 0..12 {
        let run = sim::run(&bad_day(), seed, &Setup::of(Variant::Module));
        let summary = &run.report.summary;
        assert!(
            run.report.rules_kept(),
            "seed {seed}: {:?}",
            run.report.verdict.broken.iter().take(5).collect::<Vec<_>>()
        );
        assert_eq!(summary.unanswered, 0);
        assert!(summary.attaches > 2000 && summary.within_target_utility > 0.5, "{summary:?}");
        let again = sim::run(&bad_day(), seed, &Setup::of(Variant::Module));
        assert_eq!(run.trace.sorted(), again.trace.sorted(), "seed {seed} is one run");
    }
}

/// Each checker fails on the fault that is planted for it, and names the rule.
#[test]
fn planted_faults_are_found() {
    let faults = [
        (Planted::SecondAnswer, 1),
        (Planted::NoRefusal, 1),
        (Planted::TwoTries, 2),
        (Planted::DeafToDrains, 3),
        (Planted::BlindToCold, 4),
        (Planted::NoGuard, 5),
    ];
    for (planted, rule) in faults {
        let setup = Setup { variant: Variant::Module, planted: Some(planted) };
        let broken = sim::run(&bad_day(), 3, &setup).report.summary.rules_broken;
        println!("{planted:?}: {broken:?}");
        assert!(broken[&rule.to_string()] > 0, "{planted:?} must break rule {rule}: {broken:?}");
    }
}

#[test]
fn the_module_beats_any_route_at_random() {
    let day = bad_day();
    let result = compare((&day, Variant::Module), (&day, Variant::RandomRoute), 1, 4);
    println!("{result}");
    let all = result.figures["all"];
    assert!(result.rules_kept && all.mean + all.half < 0.0, "{result}");
}

/// Servers that swing: the levels earn more than they refuse, and change no faster than they may.
#[test]
fn levels_gain_where_servers_swing_and_keep_their_stay() {
    let swing = Scenario::read(include_str!("../scenarios/swing.toml")).unwrap();
    let result = compare((&swing, Variant::WithoutLevels), (&swing, Variant::Module), 1, 4);
    println!("{result}");
    assert!(result.figures["all"].mean > 0.01 && result.rules_kept, "{result}");
    let run = sim::run(&swing, 1, &Setup::of(Variant::Module));
    assert!(!run.levels.is_empty());
    for front in 0..swing.fleet.fronts {
        let times: Vec<f64> = run.levels.iter().filter(|l| l.1 == front).map(|l| l.0).collect();
        let stay = swing.levels.least_stay.seconds();
        assert!(times.windows(2).all(|w| w[1] - w[0] >= stay - 1e-6), "front {front}: {times:?}");
    }
}
