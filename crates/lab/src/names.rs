//! The name server in each of its scripts, on sockets: which servers fronts use, checked against the
//! membership table from what passed on the sockets.

use crate::parallel;
use crate::play::{play, Fronts};
use crate::scenario::{Scenario, ScenarioError, Trouble, TroubleKind};
use shalespindle_membership::table::{row, Decision};
use shalespindle_membership::{DnsStatus, ListStatus};
use shalespindle_standin::nameserver::Script;
use shalespindle_standin::trace::{Entry, FrontId, Seen, ServerId};
use std::collections::{BTreeSet, HashMap};
use std::io;

/// The fleet of these runs.
pub const NAMES: &str = include_str!("../scenarios/names.toml");

/// Scripts by whether a resolver can get at the records.
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

/// How a script meets a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// DNS alone, from the start.
    AloneFromStart,
    /// DNS alone; the script begins when all is known.
    AloneLater,
    /// The pool list is there as well.
    WithList,
}

/// One run and what was wrong with it.
#[derive(Clone, Debug)]
pub struct Case {
    pub script: Script,
    pub when: When,
    pub used: BTreeSet<ServerId>,
    pub faults: Vec<String>,
}

/// From then on a late script is at work in full, seconds after the lab's start.
const SETTLED: f64 = 5.0;

/// What the table says of each set-up of a trace: faults are set-ups that no row lets in.
pub fn against_table(trace: &[Entry], lifetime: f64, with_list: bool, grace: f64) -> Vec<String> {
    let mut listed: HashMap<(FrontId, ServerId), bool> = HashMap::new();
    // When DNS last named it, and when an answer first left it out.
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
                        "{now:.3}: set-up to server {server} by row {list}, {dns}: {}",
                        row.reason
                    ));
                }
            }
            _ => {}
        }
    }
    faults
}

fn one(base: &Scenario, script: Script, when: When, seed: u64) -> io::Result<Case> {
    let mut scenario = base.clone();
    let dns = scenario.dns.get_or_insert_default();
    dns.alone = when != When::WithList;
    let lifetime = f64::from(dns.ttl).max(dns.lifetime_least);
    let from = if when == When::AloneLater { 3.0 } else { 0.0 };
    scenario.troubles.push(Trouble {
        kind: TroubleKind::NameServer,
        from,
        lasts: scenario.seconds - from,
        part: 1.0,
        every: None,
        script,
        size: 0.0,
    });
    let played = play(&scenario, seed, &Fronts::Inside, &mut |_| {})?;
    let grace = scenario.rules.drain_grace;
    let mut faults = against_table(&played.trace, lifetime, when == When::WithList, grace);
    let begun = played.trace.first().map_or(0.0, |e| e.0);
    let used: BTreeSet<ServerId> = played
        .trace
        .iter()
        .filter_map(|(at, seen)| match seen {
            Seen::SetUp { server, .. } if *at > begun + SETTLED => Some(*server),
            _ => None,
        })
        .collect();
    // The documented choice: all servers, but nobody where DNS alone is asked and never gave a record.
    let nobody = when == When::AloneFromStart && FAILING.contains(&script);
    let expected: BTreeSet<ServerId> =
        if nobody { BTreeSet::new() } else { (0..scenario.fleet.servers).collect() };
    if used != expected {
        faults.push(format!("servers {used:?} are used, documented are {expected:?}"));
    }
    let verdict = &played.report.verdict;
    faults.extend(verdict.broken.iter().map(|b| format!("rule {}: {}", b.rule, b.what)));
    if verdict.unanswered > 0 {
        faults.push(format!("{} attaches unanswered", verdict.unanswered));
    }
    Ok(Case { script, when, used, faults })
}

/// Every script in every way, some at once.
pub fn all(seed: u64, at_once: usize, tell: &(dyn Fn(&Case) + Sync)) -> io::Result<Vec<Case>> {
    let base = Scenario::read(NAMES).map_err(|why: ScenarioError| io::Error::other(why.to_string()))?;
    let whens = [When::AloneFromStart, When::AloneLater, When::WithList];
    let scripts = WORKING.into_iter().chain(FAILING);
    let runs: Vec<(Script, When)> = scripts.flat_map(|s| whens.map(|w| (s, w))).collect();
    let cases = parallel::each(&runs, at_once, |place, &(script, when)| {
        let case = one(&base, script, when, seed + place as u64);
        case.inspect(tell)
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
    fn set_ups_that_no_row_lets_in_are_found() {
        let told = |at, server, ready| (at, Seen::Told { front: 0, server, ready });
        let named = |at, servers: &[ServerId]| (at, Seen::Named { front: 0, servers: servers.to_vec() });
        let good = [named(1.0, &[0, 1]), set_up(2.0, 0), set_up(9.0, 1)];
        assert!(against_table(&good, 5.0, false, 0.2).is_empty());
        for bad in [
            vec![set_up(1.0, 0)],
            vec![named(1.0, &[0, 1]), named(2.0, &[1]), set_up(2.5, 0)],
            vec![told(1.0, 0, true), told(2.0, 0, false), named(3.0, &[0]), set_up(3.5, 0)],
        ] {
            assert_eq!(against_table(&bad, 5.0, true, 0.2).len(), 1, "{bad:?}");
        }
    }
}
