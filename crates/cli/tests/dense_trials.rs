//! Short, dense trials of the live front by seed: two or three kinds of trouble at once, the operators' terms checked.
//! `TRIAL_SEEDS=1-50` plays others, `TRIAL_JOBS=4` so many side by side, `TRIAL_LOGS=DIR` keeps the logs of those with
//! a breach.

use shalespindle_trials::plan::plan;
use shalespindle_trials::record::Event;
use shalespindle_trials::rules::{breaches, Breach, RuleLimits};
use shalespindle_trials::{run, Outcome, Settings};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

const CI_SEEDS: &str = "1-6";
const CI_JOBS: usize = 2;

fn terms(settings: &Settings) -> RuleLimits {
    RuleLimits {
        guard: settings.guard,
        drain_grace: 0.25,
        answer_slack: 0.5,
        end_after_release: 1.05,
        end_after_silence: 8.05,
        end_after_hand_over: 4.0,
        accepted_after_signal: 0.7,
        ready_within: 10.0,
        abandon_within: 0.1,
        // Stand-ins and fronts share the machine's cores with other tests.
        transit_allowance: 0.15,
    }
}

fn summary(seed: u64, outcome: &Outcome, found: &[Breach]) -> String {
    let count = |wanted: fn(&Event) -> bool| outcome.entries.iter().filter(|e| wanted(&e.1)).count();
    let over = count(|e| matches!(e, Event::CallOver { .. }));
    let unheard = count(|e| matches!(e, Event::CallOver { released: false, .. }));
    let starts = count(|e| matches!(e, Event::Launched { .. }));
    format!(
        "seed {seed}: {} asked, {} served, {over} over, {unheard} of them without a word, {starts} starts, {:.1} s, {} breaches{}",
        outcome.asked,
        outcome.served,
        outcome.end,
        found.len(),
        if outcome.failed_faults.is_empty() { String::new() } else { format!(", not played: {:?}", outcome.failed_faults) }
    )
}

/// Plays one seed; returns what broke.
fn trial(seed: u64) -> Vec<String> {
    let folder = tempfile::tempdir().unwrap();
    let plan = plan(seed);
    let terms = terms(&plan.settings);
    let troubles = format!("{:?}", plan.faults);
    let outcome = run(Path::new(env!("CARGO_BIN_EXE_shalespindle")), folder.path(), seed, plan).unwrap();
    let found = breaches(&outcome.entries, &terms, outcome.end);
    println!("{}\n    {troubles}", summary(seed, &outcome, &found));
    if let Some(kept) = std::env::var_os("TRIAL_LOGS").filter(|_| !found.is_empty()) {
        let kept = Path::new(&kept).join(format!("seed-{seed}"));
        std::fs::create_dir_all(&kept).unwrap();
        for log in &outcome.logs {
            std::fs::copy(log, kept.join(log.file_name().unwrap())).unwrap();
        }
        let seen: Vec<String> =
            outcome.entries.iter().map(|(at, event)| format!("{at:.4} {event:?}")).collect();
        std::fs::write(kept.join("seen.txt"), seen.join("\n")).unwrap();
    }
    assert!(outcome.failed_faults.is_empty(), "seed {seed}: {:?}", outcome.failed_faults);
    assert!(outcome.served > 20, "seed {seed}: nothing was put to the fronts");
    found.into_iter().map(|breach| format!("seed {seed}: {breach}")).collect()
}

fn number<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text:?} is no number"))
}

#[test]
fn dense_trials_keep_the_terms() {
    let seeds = std::env::var("TRIAL_SEEDS").unwrap_or_else(|_| CI_SEEDS.into());
    let jobs = std::env::var("TRIAL_JOBS").map_or(CI_JOBS, |jobs| number(&jobs));
    let (first, last) = seeds.split_once('-').unwrap_or((&seeds, &seeds));
    let (next, last) = (AtomicU64::new(number(first)), number::<u64>(last));
    let broken = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed > last {
                    return;
                }
                // Before the lock, which others need.
                let found = trial(seed);
                broken.lock().unwrap().extend(found);
            });
        }
    });
    let broken = broken.into_inner().unwrap();
    assert!(broken.is_empty(), "{} breaches:\n{}", broken.len(), broken.join("\n"));
}
