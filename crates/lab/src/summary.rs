//! What a run came to: the summary line and the figures behind it.

use crate::plan::Action;
use crate::sim::Run;
use hdrhistogram::Histogram;
use serde::Serialize;
use shalespindle_standin::callers::{Callers, DialCounts};
use shalespindle_standin::checker::Verdict;
use shalespindle_standin::feed::Listed;
use std::collections::BTreeMap;

/// The last line of standard output, as JSON; the keys are fixed.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    pub scenario: String,
    pub seed: u64,
    pub attaches: u64,
    pub stood: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    pub unanswered: u64,
    pub rules_broken: BTreeMap<String, u64>,
    pub within_target_utility: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// Utility by procedure or tenant: offered and earned within target.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Utility {
    pub offered: f64,
    pub in_target: f64,
    pub late: f64,
    pub cut: f64,
}

impl Utility {
    /// Share of what was offered that stood within target and was not cut; 1 where nothing was offered.
    pub fn share(&self) -> f64 {
        if self.offered > 0.0 {
            self.in_target / self.offered
        } else {
            1.0
        }
    }
}

/// A run's outcome in full.
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

/// Puts a run's callers and its verdict together.
pub fn report(scenario: &str, seed: u64, callers: &[&Callers], verdict: Verdict) -> Report {
    let mut counts = DialCounts::default();
    let mut whole = Utility::default();
    let mut by_procedure: BTreeMap<String, Utility> = BTreeMap::new();
    let mut by_tenant: BTreeMap<String, Utility> = BTreeMap::new();
    // Three figures over 1 us to 100 s: far more than the callers' own clocks tell apart.
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
            add(&mut whole);
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
        stood: counts.stood,
        refused: counts.refused,
        failed: counts.failed,
        left: counts.left,
        unanswered: verdict.unanswered,
        rules_broken: (1..=5).map(|rule| (rule.to_string(), verdict.count(rule))).collect(),
        within_target_utility: whole.share(),
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
    };
    Report { summary, by_procedure, by_tenant, verdict }
}

/// Of moments in order of time, how many lie within one second of the first of them, at most.
fn most_in_a_second(moments: &[f64]) -> usize {
    let within = |(place, from): (usize, &f64)| moments[place..].partition_point(|at| *at <= from + 1.0);
    moments.iter().enumerate().map(within).max().unwrap_or(0)
}

/// What a run's changes of level come to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelSteps {
    pub changes: usize,
    pub fronts: usize,
    /// Steps up within one second, at most, over all fronts.
    pub together: usize,
    /// Seconds between two changes of one front, at least; infinite where none changed twice.
    pub least_apart: f64,
    pub deepest: usize,
}

impl LevelSteps {
    /// Of changes in order of time: when, of which front, from, to.
    pub fn of(changes: &[(f64, usize, usize, usize)], fronts: usize) -> LevelSteps {
        let ups: Vec<f64> = changes.iter().filter(|c| c.3 > c.2).map(|c| c.0).collect();
        let mut last = vec![f64::NEG_INFINITY; fronts];
        let mut least_apart = f64::INFINITY;
        for &(at, front, _, _) in changes {
            least_apart = least_apart.min(at - last[front]);
            last[front] = at;
        }
        LevelSteps {
            changes: changes.len(),
            fronts,
            together: most_in_a_second(&ups),
            least_apart,
            deepest: changes.iter().map(|c| c.3).max().unwrap_or(0),
        }
    }

    /// Whether no front changed twice within `seconds`.
    pub fn apart_by(&self, seconds: f64) -> bool {
        // Virtual time is summed from parts; their rounding is no change too soon.
        self.least_apart >= seconds - 1e-6
    }
}

impl std::fmt::Display for LevelSteps {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "levels: {} changes over {} fronts, to {} at most; {} steps up within one second at most; \
             changes of a front {:.2} s apart at least",
            self.changes, self.fronts, self.deepest, self.together, self.least_apart
        )
    }
}

/// How soon fronts know of changes, and what name servers are asked.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Knowledge {
    pub changes: usize,
    /// Seconds until half of the fronts, and until the last one, knew of a change; the longest of all changes.
    pub half: f64,
    pub last: f64,
    /// Changes that some front did not come to know before the next of the same server.
    pub missed: usize,
    pub questions: usize,
    /// Questions within one second at most, in the first minute and after it.
    pub first_minute: usize,
    pub later: usize,
}

impl Knowledge {
    /// Of a run: of all that was done to its servers, what a source can tell before they are gone.
    pub fn of_run(run: &Run, fronts: usize) -> Knowledge {
        let told = |(at, action): &(f64, Action)| match action {
            Action::List { server, state, .. } if *state != Listed::Gone => {
                Some((*at, *server, *state == Listed::Ready))
            }
            _ => None,
        };
        let changes: Vec<(f64, usize, bool)> = run.actions.iter().filter_map(told).collect();
        Knowledge::of(&changes, &run.verdicts, &run.asked, fronts)
    }

    /// `changes` are servers that came or went, with when; `verdicts` what fronts ruled; `asked` when name
    /// servers were asked; all in order of time.
    pub fn of(
        changes: &[(f64, usize, bool)],
        verdicts: &[(f64, usize, usize, bool)],
        asked: &[f64],
        fronts: usize,
    ) -> Knowledge {
        let mut all = Knowledge { changes: changes.len(), questions: asked.len(), ..Knowledge::default() };
        for (place, &(at, server, there)) in changes.iter().enumerate() {
            let next = changes[place + 1..].iter().find(|c| c.1 == server).map_or(f64::INFINITY, |c| c.0);
            let mut knew: Vec<f64> = (0..fronts)
                .filter_map(|front| {
                    let is_it = |v: &&(f64, usize, usize, bool)| {
                        v.1 == front && v.2 == server && v.3 == there && v.0 >= at && v.0 < next
                    };
                    verdicts.iter().find(is_it).map(|v| v.0 - at)
                })
                .collect();
            knew.sort_by(f64::total_cmp);
            all.missed += usize::from(knew.len() < fronts);
            all.half = all.half.max(knew.get(knew.len() / 2).copied().unwrap_or(0.0));
            all.last = all.last.max(knew.last().copied().unwrap_or(0.0));
        }
        let minute = asked.partition_point(|t| *t < 60.0);
        (all.first_minute, all.later) =
            (most_in_a_second(&asked[..minute]), most_in_a_second(&asked[minute..]));
        all
    }
}

impl std::fmt::Display for Knowledge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "servers came or went {} times; half of the fronts knew after {:.2} s, the last after {:.2} s, \
             {} changes missed by some; {} questions, in one second {} at most in the first minute, {} later",
            self.changes, self.half, self.last, self.missed, self.questions, self.first_minute, self.later
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn knowledge_counts_the_last_front_and_those_that_missed_it() {
        let verdicts = [(1.5, 0, 7, false), (2.5, 1, 7, false), (5.2, 0, 7, true)];
        let known = Knowledge::of(&[(1.0, 7, false), (5.0, 7, true)], &verdicts, &[0.1, 0.5, 1.2, 70.0], 2);
        assert_eq!((known.changes, known.missed, known.last), (2, 1, 1.5));
        assert_eq!((known.questions, known.first_minute, known.later), (4, 2, 1));
    }

    #[test]
    fn changes_too_near_and_steps_together_are_found() {
        let steps = LevelSteps::of(&[(1.0, 0, 0, 1), (1.5, 1, 0, 1), (2.5, 1, 1, 2), (4.0, 0, 1, 0)], 2);
        assert_eq!((steps.changes, steps.together, steps.deepest), (4, 2, 2));
        assert!(steps.apart_by(1.0) && !steps.apart_by(1.1));
        assert!(LevelSteps::of(&[], 3).apart_by(1e9));
    }
}
