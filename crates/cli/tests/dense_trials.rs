//! Short trials of the live front by seed, with two or three kinds of fault at once, checked against the
//! operators' acceptance rules. `TRIAL_SEEDS=1-50` selects the seeds, `TRIAL_JOBS=4` the number of concurrent
//! trials, and `TRIAL_LOGS=DIR` stores the logs of trials with a breach.

use shalespindle_trials::plan::plan;
use shalespindle_trials::record::Event;
use shalespindle_trials::rules::{breaches, Breach, RuleLimits};
use shalespindle_trials::{run, Outcome};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

const CI_SEEDS: &str = "1-6";
const CI_JOBS: usize = 2;
/// Allows for delays, as stand-ins and fronts share the machine's cores with other tests, seconds.
const TRANSIT_ALLOWANCE: f64 = 0.15;

fn summary(seed: u64, outcome: &Outcome, found: &[Breach]) -> String {
    let count = |wanted: fn(&Event) -> bool| outcome.entries.iter().filter(|e| wanted(&e.1)).count();
    let ended = count(|e| matches!(e, Event::CallOver { .. }));
    let unreleased = count(|e| matches!(e, Event::CallOver { released: false, .. }));
    let starts = count(|e| matches!(e, Event::Launched { .. }));
    format!(
        "seed {seed}: {} attaches, {} served, {ended} calls ended, {unreleased} of them without a release, {starts} starts, {:.1} s, {} breaches{}",
        outcome.asked,
        outcome.served,
        outcome.end,
        found.len(),
        if outcome.failed_faults.is_empty() { String::new() } else { format!(", not played: {:?}", outcome.failed_faults) }
    )
}

/// Plays one seed and returns the breaches.
fn trial(seed: u64) -> Vec<String> {
    let work_folder = tempfile::tempdir().unwrap();
    let plan = plan(seed);
    let rule_limits = RuleLimits::of_platform(plan.settings.guard, TRANSIT_ALLOWANCE);
    let faults = format!("{:?}", plan.faults);
    let outcome = run(Path::new(env!("CARGO_BIN_EXE_shalespindle")), work_folder.path(), seed, plan).unwrap();
    let found = breaches(&outcome.entries, &rule_limits, outcome.end);
    println!("{}\n    {faults}", summary(seed, &outcome, &found));
    if let Some(root) = std::env::var_os("TRIAL_LOGS").filter(|_| !found.is_empty()) {
        let folder = Path::new(&root).join(format!("seed-{seed}"));
        std::fs::create_dir_all(&folder).unwrap();
        for log in &outcome.logs {
            std::fs::copy(log, folder.join(log.file_name().unwrap())).unwrap();
        }
        let events: Vec<String> =
            outcome.entries.iter().map(|(at, event)| format!("{at:.4} {event:?}")).collect();
        std::fs::write(folder.join("seen.txt"), events.join("\n")).unwrap();
    }
    assert!(outcome.failed_faults.is_empty(), "seed {seed}: {:?}", outcome.failed_faults);
    assert!(outcome.served > 20, "seed {seed}: too little load");
    found.into_iter().map(|breach| format!("seed {seed}: {breach}")).collect()
}

fn number<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text:?} is not a number"))
}

#[test]
fn dense_trials_meet_the_acceptance_rules() {
    let seeds = std::env::var("TRIAL_SEEDS").unwrap_or_else(|_| CI_SEEDS.into());
    let jobs = std::env::var("TRIAL_JOBS").map_or(CI_JOBS, |jobs| number(&jobs));
    let (first, last) = seeds.split_once('-').unwrap_or((&seeds, &seeds));
    let (next, last) = (AtomicU64::new(number(first)), number::<u64>(last));
    let all_breaches = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed > last {
                    return;
                }
                // Played before taking the lock, which the other threads need.
                let found = trial(seed);
                all_breaches.lock().unwrap().extend(found);
            });
        }
    });
    let all_breaches = all_breaches.into_inner().unwrap();
    assert!(all_breaches.is_empty(), "{} breaches:\n{}", all_breaches.len(), all_breaches.join("\n"));
}
