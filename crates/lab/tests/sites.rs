//! Loss and return of a site under virtual time: every front detects both, all rules hold, and without a plan
//! no attach is refused for it.

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
fn all_fronts_detect_loss_and_return_of_a_site_and_the_rules_hold() {
    let run = run(&scenario(8), 3, &Setup::of(Variant::Module));
    assert!(run.report.rules_kept(), "{:?}", run.report.summary);
    let fronts = |stage: Stage| -> usize {
        let mut fronts: Vec<usize> =
            run.site_records.iter().filter(|w| w.3.stage == stage).map(|w| w.1).collect();
        fronts.sort_unstable();
        fronts.dedup();
        fronts.len()
    };
    assert_eq!((fronts(Stage::Lost), fronts(Stage::Up)), (8, 8));
    assert!(run.site_records.iter().all(|w| w.2 == 0), "reports name only the lost site");
    // Each stage at the time of the first front that reached it; times are rounded to a tenth of a second.
    let text = run.timeline().to_string();
    insta::assert_snapshot!("site_loss_of_eight_fronts", text);
}

#[test]
fn without_the_plan_no_stage_is_reported_and_no_attach_is_refused() {
    let run = run(&scenario(8), 3, &Setup::of(Variant::WithoutPlan));
    assert!(run.report.rules_kept() && run.site_records.is_empty());
    assert_eq!(run.counters.iter().map(|c| c.plan_refused).sum::<u64>(), 0);
}

#[test]
fn same_seed_gives_the_same_run() {
    let of = |seed| {
        let run = run(&scenario(8), seed, &Setup::of(Variant::Module));
        (run.site_records, run.report.summary.established)
    };
    assert_eq!(of(5), of(5));
}
