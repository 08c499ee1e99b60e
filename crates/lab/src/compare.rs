//! Compares two variants of a scenario over pairs of runs with the same seed, under virtual time or on
//! sockets, with confidence intervals.

use crate::baseline::Pick;
use crate::parallel;
use crate::play::{play, Fronts};
use crate::scenario::Scenario;
use crate::sim::{self, Setup};
use crate::summary::Report;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;
use std::fmt;
use std::io;

/// Which router decides in a run, and with which features.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// The decision module as the scenario configures it.
    Module,
    /// The module without levels of reduced service at admission, whatever the scenario says.
    WithoutLevels,
    /// The module without the fleet's plan for sites.
    WithoutPlan,
    Baseline(Pick),
}

/// Means of A and B, the mean of the paired differences B - A, and half the width of its 95 % interval.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Difference {
    pub a: f64,
    pub b: f64,
    pub mean: f64,
    pub half: f64,
}

/// Result of a comparison.
#[derive(Clone, Debug)]
pub struct Comparison {
    pub pairs: u64,
    /// Whether A broke no rule.
    pub rules_kept: bool,
    /// Utility within target by key: "all", then each procedure and tenant.
    pub figures: BTreeMap<String, Difference>,
    /// Number of violations of rules by A and by B.
    pub broken: [u64; 2],
}

/// How pairs are run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Where {
    VirtualTime,
    /// On loopback sockets with all fronts in this process, that many pairs at a time. Both runs of a pair
    /// run at the same time, so that other load on the machine affects both equally.
    Sockets {
        pairs_at_once: usize,
    },
}

fn run_one(scenario: &Scenario, variant: Variant, mode: Where, seed: u64) -> io::Result<Report> {
    if mode == Where::VirtualTime {
        return Ok(sim::run(scenario, seed, &Setup::of(variant)).report);
    }
    let mut scenario = scenario.clone();
    match variant {
        Variant::Module => {}
        Variant::WithoutLevels => scenario.levels.on = false,
        Variant::WithoutPlan => scenario.sites = None,
        Variant::Baseline(_) => return Err(io::Error::other("baselines run under virtual time only")),
    }
    Ok(play(&scenario, seed, &Fronts::Inside, &mut |_| {})?.report)
}

/// Runs both variants with `pairs` seeds from `first_seed`. The first run that fails ends the comparison with
/// its error.
pub fn compare(
    a: (&Scenario, Variant),
    b: (&Scenario, Variant),
    mode: Where,
    first_seed: u64,
    pairs: u64,
) -> io::Result<Comparison> {
    let seeds: Vec<u64> = (first_seed..first_seed + pairs).collect();
    let concurrency = match mode {
        Where::VirtualTime => parallel::cores(),
        Where::Sockets { pairs_at_once } => pairs_at_once,
    };
    let results = parallel::each(&seeds, concurrency, |_, &seed| -> io::Result<[Report; 2]> {
        let run = |(scenario, variant)| run_one(scenario, variant, mode, seed);
        if mode == Where::VirtualTime {
            return Ok([run(a)?, run(b)?]);
        }
        std::thread::scope(|scope| {
            let other = scope.spawn(|| run(b));
            let a = run(a)?;
            let b = other.join().map_err(|_| io::Error::other("a run panicked"))?;
            Ok([a, b?])
        })
    });
    let mut rows: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    let mut broken = [0, 0];
    for both in results {
        let both = both?;
        let [a, b] = both.each_ref().map(figures);
        for (name, value) in a {
            let other = b.get(&name).copied().unwrap_or(value);
            rows.entry(name).or_default().push((value, other));
        }
        for (count, report) in broken.iter_mut().zip(&both) {
            *count += report.summary.rules_broken.values().sum::<u64>();
        }
    }
    let figures = rows.into_iter().map(|(name, pairs)| (name, difference(&pairs))).collect();
    Ok(Comparison { pairs, rules_kept: broken[0] == 0, figures, broken })
}

fn figures(report: &Report) -> BTreeMap<String, f64> {
    let mut all = BTreeMap::from([("all".to_string(), report.summary.within_target_utility)]);
    all.extend(report.by_procedure.iter().map(|(n, u)| (format!("procedure {n}"), u.share())));
    all.extend(report.by_tenant.iter().map(|(n, u)| (format!("tenant {n}"), u.share())));
    all
}

/// Mean of the differences b - a and half the width of their 95 % interval by Student's t distribution.
pub fn difference(pairs: &[(f64, f64)]) -> Difference {
    let n = pairs.len() as f64;
    if pairs.is_empty() {
        return Difference::default();
    }
    let mean_of = |pick: &dyn Fn(&(f64, f64)) -> f64| pairs.iter().map(pick).sum::<f64>() / n;
    let mean = mean_of(&|p| p.1 - p.0);
    let half = if pairs.len() < 2 {
        f64::INFINITY
    } else {
        let variance = pairs.iter().map(|p| (p.1 - p.0 - mean).powi(2)).sum::<f64>() / (n - 1.0);
        let quantile = StudentsT::new(0.0, 1.0, n - 1.0).map_or(f64::INFINITY, |t| t.inverse_cdf(0.975));
        quantile * (variance / n).sqrt()
    };
    Difference { a: mean_of(&|p| p.0), b: mean_of(&|p| p.1), mean, half }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} pairs; rules broken: A {}, B {}", self.pairs, self.broken[0], self.broken[1])?;
        writeln!(f, "{:36} {:>8} {:>8} {:>9}  95 % of B - A", "within-target utility", "A", "B", "B - A")?;
        for (name, d) in &self.figures {
            let (low, high) = (d.mean - d.half, d.mean + d.half);
            writeln!(f, "{name:36} {:8.4} {:8.4} {:+9.4}  {low:+.4} to {high:+.4}", d.a, d.b, d.mean)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_interval_follows_students_t_distribution() {
        let d = difference(&[(0.0, 1.0), (0.0, 2.0), (0.0, 3.0), (0.0, 4.0)]);
        assert_eq!((d.mean, d.b), (2.5, 2.5));
        // t(0.975, 3) = 3.182; standard error = 1.291 / 2.
        assert!((d.half - 3.182 * 0.6455).abs() < 0.002, "{}", d.half);
        assert_eq!(difference(&[(0.5, 0.5)]).half, f64::INFINITY);
    }
}
