//! The bad day under virtual time.

use shalespindle_lab::scenario::Scenario;
use shalespindle_lab::sim;

fn bad_day() -> Scenario {
    Scenario::read(include_str!("../scenarios/bad-day.toml")).unwrap()
}

#[test]
fn the_bad_day_keeps_the_rules_and_is_the_same_each_time() {
    for seed in 0..6 {
        let run = sim::run(&bad_day(), seed, &|p| p);
        let summary = &run.report.summary;
        println!("{}", serde_json::to_string(summary).unwrap());
        println!("{:?}", run.counters);
        assert!(
            run.report.rules_kept(),
            "seed {seed}: {:?}",
            run.report.verdict.broken.iter().take(5).collect::<Vec<_>>()
        );
        assert_eq!(summary.unanswered, 0);
        assert!(summary.attaches > 2000 && summary.within_target_utility > 0.5, "{summary:?}");
        let again = sim::run(&bad_day(), seed, &|p| p);
        assert_eq!(run.trace.sorted(), again.trace.sorted(), "seed {seed} is one run");
    }
}
