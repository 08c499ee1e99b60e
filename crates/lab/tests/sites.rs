//! A site's loss and return under virtual time: found by all, rules kept, nothing narrowed without a plan.

use shalespindle_lab::compare::Variant;
use shalespindle_lab::scenario::Scenario;
use shalespindle_lab::sim::{run, Setup};
use shalespindle_sites::Stage;
use std::path::Path;

fn scenario(fronts: usize) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/site-loss.toml");
    let mut scenario = Scenario::load(&path).unwrap();
    scenario.fleet.fronts = fronts;
    scenario
}

#[test]
fn the_loss_and_the_return_of_a_site_are_found_by_all_and_cost_no_rule() {
    let run = run(&scenario(8), 3, &Setup::of(Variant::Module));
    assert!(run.report.rules_kept(), "{:?}", run.report.summary);
    let fronts = |stage: Stage| -> usize {
        let mut held: Vec<usize> =
            run.site_records.iter().filter(|w| w.3.stage == stage).map(|w| w.1).collect();
        held.sort_unstable();
        held.dedup();
        held.len()
    };
    assert_eq!((fronts(Stage::Lost), fronts(Stage::Up)), (8, 8));
    assert!(run.site_records.iter().all(|w| w.2 == 0), "only the site that was lost is spoken of");
    // Rounded to seconds: what the fleet found, whoever found it first.
    let text = run.timeline().to_string();
    insta::assert_snapshot!("site_loss_of_eight_fronts", text);
}

#[test]
fn without_the_plan_no_word_is_said_and_nothing_refused_for_it() {
    let run = run(&scenario(8), 3, &Setup::of(Variant::WithoutPlan));
    assert!(run.report.rules_kept() && run.site_records.is_empty());
    assert_eq!(run.counters.iter().map(|c| c.plan_refused).sum::<u64>(), 0);
}

#[test]
fn equal_seed_equal_run() {
    let of = |seed| {
        let run = run(&scenario(8), seed, &Setup::of(Variant::Module));
        (run.site_records, run.report.summary.established)
    };
    assert_eq!(of(5), of(5));
}
