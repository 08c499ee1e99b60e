//! Results of a run: the summary line and the figures behind it.

use crate::plan::Action;
use crate::sim::Run;
use hdrhistogram::Histogram;
use serde::Serialize;
use shalespindle_standin::callers::{Callers, DialCounts};
use shalespindle_standin::checker::Verdict;
use shalespindle_standin::feed::Listed;
use std::collections::BTreeMap;

/// The last line of standard output, as JSON; its keys are an outer interface. Counts are of dials.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    pub scenario: String,
    pub seed: u64,
    pub attaches: u64,
    /// Established.
    #[serde(rename = "stood")]
    pub established: u64,
    pub refused: u64,
    pub failed: u64,
    /// Given up by the caller.
    pub left: u64,
    /// Without any final answer.
    pub unanswered: u64,
    /// Number of violations by number of the rule.
    pub rules_broken: BTreeMap<String, u64>,
    pub within_target_utility: f64,
    /// Quantiles of the time to an established call.
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// Utility of a procedure or tenant.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Utility {
    /// Of all calls that callers wanted.
    pub offered: f64,
    /// Of calls established within the latency target.
    pub in_target: f64,
    /// Of calls established later, at their procedure's late share.
    pub late: f64,
    /// Of established calls that were cut off.
    pub cut: f64,
}

impl Utility {
    /// Share of the offered utility that was established within target and not cut off; 1 if none was
    /// offered.
    pub fn share(&self) -> f64 {
        if self.offered > 0.0 {
            self.in_target / self.offered
        } else {
            1.0
        }
    }
}

/// All results of a run.
#[derive(Clone, Debug)]
pub struct Report {
    pub summary: Summary,
    pub by_procedure: BTreeMap<String, Utility>,
    pub by_tenant: BTreeMap<String, Utility>,
    pub verdict: Verdict,
}

impl Report {
    pub fn rules_kept(&self) -> bool {
        self.summary.rules_broken.values().all(|n| *n == 0)
    }
}

/// Combines the results of a run's callers with the checker's.
pub fn report(scenario: &str, seed: u64, callers: &[&Callers], verdict: Verdict) -> Report {
    let mut counts = DialCounts::default();
    let mut total = Utility::default();
    let mut by_procedure: BTreeMap<String, Utility> = BTreeMap::new();
    let mut by_tenant: BTreeMap<String, Utility> = BTreeMap::new();
    // Three significant figures from 1 us to 100 s: finer than the resolution of the callers' clocks.
    let mut delays = Histogram::<u64>::new_with_bounds(1, 100_000_000, 3).ok();
    for callers in callers {
        let c = callers.counts();
        counts.dials += c.dials;
        counts.stood += c.stood;
        counts.refused += c.refused;
        counts.failed += c.failed;
        counts.left += c.left;
        for wish in callers.call_requests() {
            let procedure = &callers.spec().procedures[wish.procedure];
            let tenant = &callers.spec().tenants[wish.tenant].0;
            let add = |u: &mut Utility| {
                u.offered += procedure.utility;
                match wish.stood_after {
                    Some(_) if wish.cut => u.cut += procedure.utility,
                    Some(after) if after <= procedure.target => u.in_target += procedure.utility,
                    Some(_) => u.late += procedure.utility * procedure.late_share,
                    None => {}
                }
            };
            add(&mut total);
            add(by_procedure.entry(procedure.name.clone()).or_default());
            add(by_tenant.entry(tenant.clone()).or_default());
        }
        for after in &callers.stood_after {
            if let Some(delays) = &mut delays {
                delays.saturating_record((after * 1e6) as u64);
            }
        }
    }
    let quantile = |q: f64| delays.as_ref().map_or(0.0, |d| d.value_at_quantile(q) as f64 / 1000.0);
    let summary = Summary {
        scenario: scenario.into(),
        seed,
        attaches: counts.dials,
        established: counts.stood,
        refused: counts.refused,
        failed: counts.failed,
        left: counts.left,
        unanswered: verdict.unanswered,
        rules_broken: (1..=5).map(|rule| (rule.to_string(), verdict.count(rule))).collect(),
        within_target_utility: total.share(),
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
    };
    Report { summary, by_procedure, by_tenant, verdict }
}

/// Maximum number of these times, which are in order, within any one second.
fn max_per_second(times: &[f64]) -> usize {
    let within = |(index, from): (usize, &f64)| times[index..].partition_point(|at| *at <= from + 1.0);
    times.iter().enumerate().map(within).max().unwrap_or(0)
}

/// Statistics of a run's changes of level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelSteps {
    pub changes: usize,
    pub fronts: usize,
    /// Maximum number of steps to a higher level within one second, over all fronts.
    pub max_ups_per_second: usize,
    /// Minimum time between two changes of one front, seconds; infinite if none changed twice.
    pub min_interval: f64,
    /// Highest level reached.
    pub max_level: usize,
}

impl LevelSteps {
    /// Computes them from changes in order of time: time, front, old level, new level.
    pub fn of(changes: &[(f64, usize, usize, usize)], fronts: usize) -> LevelSteps {
        let ups: Vec<f64> = changes.iter().filter(|c| c.3 > c.2).map(|c| c.0).collect();
        let mut last = vec![f64::NEG_INFINITY; fronts];
        let mut min_interval = f64::INFINITY;
        for &(at, front, _, _) in changes {
            min_interval = min_interval.min(at - last[front]);
            last[front] = at;
        }
        LevelSteps {
            changes: changes.len(),
            fronts,
            max_ups_per_second: max_per_second(&ups),
            min_interval,
            max_level: changes.iter().map(|c| c.3).max().unwrap_or(0),
        }
    }

    /// Whether no front changed twice within `seconds`.
    pub fn apart_by(&self, seconds: f64) -> bool {
        // Virtual times are sums, whose rounding errors must not count as a change too early.
        self.min_interval >= seconds - 1e-6
    }
}

impl std::fmt::Display for LevelSteps {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "levels: {} changes over {} fronts, highest level {}; at most {} steps up within one second; \
             at least {:.2} s between two changes of a front",
            self.changes, self.fronts, self.max_level, self.max_ups_per_second, self.min_interval
        )
    }
}

/// How soon fronts learn of changes of servers, and how often name servers are queried.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DiscoveryStats {
    pub changes: usize,
    /// Seconds until half of the fronts, and until the last one, knew of a change; the maximum over all
    /// changes.
    pub half: f64,
    pub last: f64,
    /// Changes that some front did not learn of before the next change of the same server.
    pub missed: usize,
    pub queries: usize,
    /// Maximum number of queries within one second, in the first minute and after it.
    pub first_minute: usize,
    pub later: usize,
}

impl DiscoveryStats {
    /// Computes them for a run, from those actions on servers that a source reports before the server ends.
    pub fn of_run(run: &Run, fronts: usize) -> DiscoveryStats {
        let change = |(at, action): &(f64, Action)| match action {
            Action::List { server, state, .. } if *state != Listed::Gone => {
                Some((*at, *server, *state == Listed::Ready))
            }
            _ => None,
        };
        let changes: Vec<(f64, usize, bool)> = run.actions.iter().filter_map(change).collect();
        DiscoveryStats::of(&changes, &run.status_changes, &run.dns_queries, fronts)
    }

    /// `changes`: time, server, whether it is available from then on. `statuses`: time, front, server,
    /// whether the front has it in service from then on. `queries`: times of queries to name servers. All in
    /// order of time.
    pub fn of(
        changes: &[(f64, usize, bool)],
        statuses: &[(f64, usize, usize, bool)],
        queries: &[f64],
        fronts: usize,
    ) -> DiscoveryStats {
        let mut all =
            DiscoveryStats { changes: changes.len(), queries: queries.len(), ..DiscoveryStats::default() };
        for (index, &(at, server, available)) in changes.iter().enumerate() {
            let next = changes[index + 1..].iter().find(|c| c.1 == server).map_or(f64::INFINITY, |c| c.0);
            let mut delays: Vec<f64> = (0..fronts)
                .filter_map(|front| {
                    let matches = |v: &&(f64, usize, usize, bool)| {
                        v.1 == front && v.2 == server && v.3 == available && v.0 >= at && v.0 < next
                    };
                    statuses.iter().find(matches).map(|v| v.0 - at)
                })
                .collect();
            delays.sort_by(f64::total_cmp);
            all.missed += usize::from(delays.len() < fronts);
            all.half = all.half.max(delays.get(delays.len() / 2).copied().unwrap_or(0.0));
            all.last = all.last.max(delays.last().copied().unwrap_or(0.0));
        }
        let minute = queries.partition_point(|t| *t < 60.0);
        (all.first_minute, all.later) =
            (max_per_second(&queries[..minute]), max_per_second(&queries[minute..]));
        all
    }
}

impl std::fmt::Display for DiscoveryStats {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} changes of servers; half of the fronts knew after {:.2} s, the last after {:.2} s, \
             {} changes missed by some front; {} DNS queries, \
             at most {} a second in the first minute, {} later",
            self.changes, self.half, self.last, self.missed, self.queries, self.first_minute, self.later
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn discovery_stats_count_the_last_front_and_missed_changes() {
        let statuses = [(1.5, 0, 7, false), (2.5, 1, 7, false), (5.2, 0, 7, true)];
        let known =
            DiscoveryStats::of(&[(1.0, 7, false), (5.0, 7, true)], &statuses, &[0.1, 0.5, 1.2, 70.0], 2);
        assert_eq!((known.changes, known.missed, known.last), (2, 1, 1.5));
        assert_eq!((known.queries, known.first_minute, known.later), (4, 2, 1));
    }

    #[test]
    fn level_steps_count_short_intervals_and_simultaneous_steps() {
        let steps = LevelSteps::of(&[(1.0, 0, 0, 1), (1.5, 1, 0, 1), (2.5, 1, 1, 2), (4.0, 0, 1, 0)], 2);
        assert_eq!((steps.changes, steps.max_ups_per_second, steps.max_level), (4, 2, 2));
        assert!(steps.apart_by(1.0) && !steps.apart_by(1.1));
        assert!(LevelSteps::of(&[], 3).apart_by(1e9));
    }
}
