//! Twenty live fronts as processes beside cold servers, restarted and killed in tenths, with callers that leave and a feed
//! that goes away while idle clients fill descriptors. `LIVE_SEEDS=1-20` plays others, `LIVE_SECONDS=60` longer.

use shalespindle_rig::{play_live, LiveShape};
use shalespindle_standin::acceptance::{evaluate, AcceptanceLimits};
use shalespindle_standin::processor::Cold;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

fn number<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text:?} is no number"))
}

#[test]
fn fronts_that_restart_beside_cold_servers_lose_nothing_and_keep_the_stricter_terms() {
    let seeds = std::env::var("LIVE_SEEDS").unwrap_or_else(|_| "1-2".into());
    let seconds = number(&std::env::var("LIVE_SECONDS").unwrap_or_else(|_| "8".into()));
    let (first, last) = seeds.split_once('-').unwrap_or((&seeds, &seeds));
    let shape = LiveShape { fronts: 20, servers: 4, callers: 24, capacity: 40.0, seconds, descriptors: 128 };
    let terms = AcceptanceLimits {
        gone_within: 0.1,
        // Stand-ins and fronts share the machine's cores with other tests.
        passing: 0.1,
        cold: Cold { start_capacity: 0.3, warm_after: 15.0, tip_multiple: 2.0, fall_after: 1.0 },
        ready_within: 10.0,
    };
    let mut broken = Vec::new();
    for seed in number::<u64>(first)..=number::<u64>(last) {
        let folder = tempfile::tempdir().unwrap();
        let binary = Path::new(env!("CARGO_BIN_EXE_shalespindle"));
        let (trace, summary) = play_live(binary, folder.path(), seed, shape).unwrap();
        let found = evaluate(&trace.sorted(), &terms);
        println!(
            "seed {seed}: {} attaches, {} stood, {} refused; {} callers gone, last attempt begun {:.3} s after; fullest \
             cold window {:?}; {} starts, slowest ready after {:.3} s; all linked to a new server {:.2} s \
             after the feed's return",
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
        let mut of_seed = found.broken(&terms);
        of_seed.extend(summary.lost.iter().map(|lost| format!("lost: {lost}")));
        of_seed.extend(summary.crashed.iter().map(|front| format!("front {front} ended by itself")));
        of_seed.extend(
            (summary.unlinked > 0).then(|| format!("{} fronts without the new server", summary.unlinked)),
        );
        broken.extend(of_seed.into_iter().map(|what| format!("seed {seed}: {what}")));
        assert!(summary.stood > 50 && found.gone > 10, "nothing was put to the fronts: {summary:?}");
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// The planted fault: fronts that are gone two seconds after their start without anybody having told them to.
#[test]
fn fronts_that_end_by_themselves_are_found_and_so_is_what_they_held() {
    let folder = tempfile::tempdir().unwrap();
    let faulty = folder.path().join("faulty");
    // Whoever kills the script takes the front with it.
    let front = env!("CARGO_BIN_EXE_shalespindle");
    let script = format!("#!/bin/sh\nexec timeout -s KILL 2 setpriv --pdeathsig KILL {front} \"$@\"\n");
    std::fs::write(&faulty, script).unwrap();
    std::fs::set_permissions(&faulty, std::fs::Permissions::from_mode(0o755)).unwrap();
    let shape =
        LiveShape { fronts: 4, servers: 2, callers: 16, capacity: 40.0, seconds: 5.0, descriptors: 128 };
    let (_, summary) = play_live(&faulty, folder.path(), 90, shape).unwrap();
    assert!(!summary.crashed.is_empty(), "{summary:?}");
}
