//! Runs each script of the name server on sockets and checks, from the trace, the servers that fronts use
//! against the membership table.

use crate::parallel;
use crate::play::{play, Fronts};
use crate::scenario::{Fault, FaultKind, Scenario, ScenarioError};
use shalespindle_membership::table::{row, Decision};
use shalespindle_membership::{DnsStatus, ListStatus};
use shalespindle_standin::nameserver::Script;
use shalespindle_standin::trace::{Entry, FrontId, Seen, ServerId};
use std::collections::{BTreeSet, HashMap};
use std::io;

/// The scenario of these runs.
pub const NAMES: &str = include_str!("../scenarios/names.toml");

/// Scripts with which a resolver obtains the records.
pub const WORKING: [Script; 8] = [
    Script::Plain,
    Script::Late(0.1),
    Script::Lossy(0.3),
    Script::WrongId,
    Script::Truncates,
    Script::NoAdditional,
    Script::Lies,
    Script::NoEdns,
];
/// Scripts with which a resolver obtains no records.
pub const FAILING: [Script; 10] = [
    Script::Silent,
    Script::Servfail,
    Script::Refused,
    Script::Nxdomain,
    Script::Empty,
    Script::WrongQuestion,
    Script::Lame,
    Script::TcpHangs,
    Script::TooLarge,
    Script::Garbage,
];

/// When a script applies, and whether there is a pool list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// DNS is the only source; the script applies from the start.
    DnsOnlyFromStart,
    /// DNS is the only source; the script applies once fronts know all servers.
    DnsOnlyLater,
    /// The pool list is a second source; the script applies from the start.
    WithList,
}

/// One run, the servers used in it, and what was wrong.
#[derive(Clone, Debug)]
pub struct Case {
    pub script: Script,
    pub when: When,
    pub used: BTreeSet<ServerId>,
    pub faults: Vec<String>,
}

/// Seconds after the start of the run from which servers in use are counted: a script of `DnsOnlyLater` has
/// full effect by then.
const SETTLE_TIME: f64 = 5.0;

/// Compares each set-up of a trace with the membership table; returns the set-ups that no row allows.
pub fn against_table(trace: &[Entry], lifetime: f64, with_list: bool, grace: f64) -> Vec<String> {
    let mut listed: HashMap<(FrontId, ServerId), bool> = HashMap::new();
    // Time of the last DNS answer that names the server, and of the first one after it that does not.
    let mut named: HashMap<(FrontId, ServerId), (f64, Option<f64>)> = HashMap::new();
    let mut faults = Vec::new();
    for (now, seen) in trace {
        match seen {
            Seen::Told { front, server, ready } => {
                listed.insert((*front, *server), *ready);
            }
            Seen::Named { front, servers } => {
                for ((_, server), known) in named.iter_mut().filter(|(at, _)| at.0 == *front) {
                    if !servers.contains(server) {
                        known.1.get_or_insert(*now);
                    }
                }
                named.extend(servers.iter().map(|s| ((*front, *s), (*now, None))));
            }
            Seen::SetUp { front, server, .. } => {
                let list = match listed.get(&(*front, *server)).filter(|_| with_list) {
                    Some(true) => ListStatus::Ready,
                    Some(false) => ListStatus::Draining,
                    None => ListStatus::NeverReported,
                };
                let dns = match named.get(&(*front, *server)) {
                    Some((_, Some(at))) if *now > at + grace => DnsStatus::Absent,
                    Some((at, _)) if *now < at + lifetime => DnsStatus::Present,
                    Some(_) => DnsStatus::Failing,
                    None => DnsStatus::NeverReported,
                };
                let row = row(list, dns);
                if !matches!(row.decision, Decision::In | Decision::InCold | Decision::InWithWarning) {
                    faults.push(format!(
                        "{now:.3}: set-up to server {server} in row list {list}, DNS {dns}: {}",
                        row.reason
                    ));
                }
            }
            _ => {}
        }
    }
    faults
}

fn run_case(base: &Scenario, script: Script, when: When, seed: u64) -> io::Result<Case> {
    let mut scenario = base.clone();
    let dns = scenario.dns.get_or_insert_default();
    dns.alone = when != When::WithList;
    let lifetime = f64::from(dns.ttl).max(dns.min_lifetime);
    let from = if when == When::DnsOnlyLater { 3.0 } else { 0.0 };
    scenario.faults.push(Fault {
        kind: FaultKind::NameServer,
        from,
        duration: scenario.seconds - from,
        share: 1.0,
        period: None,
        script,
        size: 0.0,
    });
    let played = play(&scenario, seed, &Fronts::Inside, &mut |_| {})?;
    let grace = scenario.rules.drain_grace;
    let mut faults = against_table(&played.trace, lifetime, when == When::WithList, grace);
    let started = played.trace.first().map_or(0.0, |e| e.0);
    let used: BTreeSet<ServerId> = played
        .trace
        .iter()
        .filter_map(|(at, seen)| match seen {
            Seen::SetUp { server, .. } if *at > started + SETTLE_TIME => Some(*server),
            _ => None,
        })
        .collect();
    // As documented: all servers, but none where DNS is the only source and has never returned a record.
    let none = when == When::DnsOnlyFromStart && FAILING.contains(&script);
    let expected: BTreeSet<ServerId> =
        if none { BTreeSet::new() } else { (0..scenario.fleet.servers).collect() };
    if used != expected {
        faults.push(format!("servers {used:?} are used, expected {expected:?}"));
    }
    let verdict = &played.report.verdict;
    faults.extend(verdict.broken.iter().map(|b| format!("rule {}: {}", b.rule, b.what)));
    if verdict.unanswered > 0 {
        faults.push(format!("{} attaches unanswered", verdict.unanswered));
    }
    Ok(Case { script, when, used, faults })
}

/// Runs every script in every combination, `concurrency` runs at a time; `report` receives each result.
pub fn all(seed: u64, concurrency: usize, report: &(dyn Fn(&Case) + Sync)) -> io::Result<Vec<Case>> {
    let base = Scenario::read(NAMES).map_err(|why: ScenarioError| io::Error::other(why.to_string()))?;
    let whens = [When::DnsOnlyFromStart, When::DnsOnlyLater, When::WithList];
    let scripts = WORKING.into_iter().chain(FAILING);
    let runs: Vec<(Script, When)> = scripts.flat_map(|s| whens.map(|w| (s, w))).collect();
    let cases = parallel::each(&runs, concurrency, |index, &(script, when)| {
        let case = run_case(&base, script, when, seed + index as u64);
        case.inspect(report)
    });
    cases.into_iter().collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::Arc;

    fn set_up(at: f64, server: ServerId) -> Entry {
        (at, Seen::SetUp { server, front: 0, session: Arc::from("s"), leg: Arc::from("l") })
    }

    #[test]
    fn set_ups_that_no_row_allows_are_reported() {
        let listed = |at, server, ready| (at, Seen::Told { front: 0, server, ready });
        let named = |at, servers: &[ServerId]| (at, Seen::Named { front: 0, servers: servers.to_vec() });
        let good = [named(1.0, &[0, 1]), set_up(2.0, 0), set_up(9.0, 1)];
        assert!(against_table(&good, 5.0, false, 0.2).is_empty());
        for bad in [
            vec![set_up(1.0, 0)],
            vec![named(1.0, &[0, 1]), named(2.0, &[1]), set_up(2.5, 0)],
            vec![listed(1.0, 0, true), listed(2.0, 0, false), named(3.0, &[0]), set_up(3.5, 0)],
        ] {
            assert_eq!(against_table(&bad, 5.0, true, 0.2).len(), 1, "{bad:?}");
        }
    }
}
