//! DNS as a source of servers (SRV records), under virtual time.

use shalespindle_lab::compare::Variant;
use shalespindle_lab::scenario::Scenario;
use shalespindle_lab::sim::{self, Planted, Setup};
use shalespindle_standin::nameserver::Script;
use std::path::Path;

fn scenario(name: &str) -> Scenario {
    let folder = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios"));
    Scenario::load(&folder.join(name)).unwrap()
}

#[test]
fn rules_hold_on_a_day_with_stale_records_under_every_name_server_script() {
    let mut day = scenario("stale-day-dns.toml");
    let (mut established, mut query_count) = (0, 0);
    for (seed, script) in
        [Script::Plain, Script::Truncates, Script::Lossy(0.3), Script::Nxdomain, Script::TcpHangs]
            .into_iter()
            .enumerate()
    {
        day.faults.retain(|t| t.script == Script::Plain);
        let mut names = day.faults[0].clone();
        names.kind = shalespindle_lab::scenario::FaultKind::NameServer;
        (names.from, names.duration, names.share, names.script) = (10.0, 30.0, 1.0, script);
        day.faults.push(names);
        let run = sim::run(&day, seed as u64, &Setup::of(Variant::Module));
        assert!(run.report.rules_kept(), "{script:?}: {:?}", run.report.verdict.broken.first());
        assert_eq!(run.report.summary.unanswered, 0);
        established += run.report.summary.established;
        query_count += run.dns_queries.len();
    }
    assert!(established > 10_000 && query_count > 1000, "{established} established, {query_count} queries");
}

/// The checker of rule 3 detects a front that does not receive the withdrawal of a record.
#[test]
fn front_that_ignores_withdrawn_records_is_detected() {
    let mut day = scenario("deploy-day-dns.toml");
    let dns = day.dns.as_mut().unwrap();
    (dns.alone, dns.ttl) = (true, 1);
    let good = sim::run(&day, 1, &Setup::of(Variant::Module));
    assert!(good.report.rules_kept(), "{:?}", good.report.verdict.broken.first());
    let planted = Setup { variant: Variant::Module, planted: Some(Planted::IgnoresDrains) };
    let broken = sim::run(&day, 1, &planted).report.summary.rules_broken;
    assert!(broken["3"] > 0, "{broken:?}");
}
