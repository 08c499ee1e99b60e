//! Twenty live fronts as processes with cold servers. A tenth of the fronts at a time is restarted or killed,
//! callers disconnect, and the feed is down while idle clients use up descriptors. `LIVE_SEEDS=1-20` selects
//! the seeds, `LIVE_SECONDS=60` the length of a run.

use shalespindle_rig::{play_live, LiveShape};
use shalespindle_standin::processor::Cold;
use shalespindle_standin::terms::{look, Terms};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

fn number<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text:?} is not a number"))
}

#[test]
fn fronts_that_restart_with_cold_servers_lose_no_calls_and_meet_the_limits() {
    let seeds = std::env::var("LIVE_SEEDS").unwrap_or_else(|_| "1-2".into());
    let seconds = number(&std::env::var("LIVE_SECONDS").unwrap_or_else(|_| "8".into()));
    let (first, last) = seeds.split_once('-').unwrap_or((&seeds, &seeds));
    let shape = LiveShape { fronts: 20, servers: 4, callers: 24, capacity: 40.0, seconds, descriptors: 128 };
    let terms = Terms {
        gone_within: 0.1,
        // Allows for delays, as stand-ins and fronts share the machine's cores with other tests.
        passing: 0.1,
        cold: Cold { start_capacity: 0.3, warm_after: 15.0, tip_multiple: 2.0, fall_after: 1.0 },
        ready_within: 10.0,
    };
    let mut breaches = Vec::new();
    for seed in number::<u64>(first)..=number::<u64>(last) {
        let folder = tempfile::tempdir().unwrap();
        let binary = Path::new(env!("CARGO_BIN_EXE_shalespindle"));
        let (trace, summary) = play_live(binary, folder.path(), seed, shape).unwrap();
        let found = look(&trace.sorted(), &terms);
        println!(
            "seed {seed}: {} attaches, {} established, {} refused; {} callers disconnected, last try begun {:.3} s after; \
             fullest cold window {:?}; {} starts, slowest ready after {:.3} s; all linked to a new server {:.2} s \
             after the feed was back",
            summary.attaches,
            summary.stood,
            summary.refused,
            found.gone,
            found.longest_after_gone(),
            found.fullest.as_ref().map(|w| (w.sum, w.bound)),
            found.ready.len(),
            found.slowest(),
            summary.linked_after
        );
        let mut seed_breaches = found.broken(&terms);
        seed_breaches.extend(summary.lost.iter().map(|lost| format!("lost: {lost}")));
        seed_breaches
            .extend(summary.crashed.iter().map(|front| format!("front {front} exited unexpectedly")));
        seed_breaches.extend(
            (summary.unlinked > 0).then(|| format!("{} fronts without the new server", summary.unlinked)),
        );
        breaches.extend(seed_breaches.into_iter().map(|what| format!("seed {seed}: {what}")));
        assert!(summary.stood > 50 && found.gone > 10, "too little load: {summary:?}");
    }
    assert!(breaches.is_empty(), "{breaches:#?}");
}

/// Checks the trial itself: fronts that are killed two seconds after their start must be reported.
#[test]
fn fronts_that_exit_unexpectedly_are_reported() {
    let folder = tempfile::tempdir().unwrap();
    let faulty = folder.path().join("faulty");
    // Killing the script kills the front too.
    let front = env!("CARGO_BIN_EXE_shalespindle");
    let script = format!("#!/bin/sh\nexec timeout -s KILL 2 setpriv --pdeathsig KILL {front} \"$@\"\n");
    std::fs::write(&faulty, script).unwrap();
    std::fs::set_permissions(&faulty, std::fs::Permissions::from_mode(0o755)).unwrap();
    let shape =
        LiveShape { fronts: 4, servers: 2, callers: 16, capacity: 40.0, seconds: 5.0, descriptors: 128 };
    let (_, summary) = play_live(&faulty, folder.path(), 90, shape).unwrap();
    assert!(!summary.crashed.is_empty(), "{summary:?}");
}
