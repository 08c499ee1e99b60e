//! Compares the decision module with the baselines, with the same seeds, over numbers of fronts and kinds of
//! fault. The servers and the total rate of the callers stay the same, so that more fronts mean a smaller
//! share of the traffic for each.

use crate::baseline::Pick;
use crate::compare::{difference, Difference, Variant};
use crate::parallel;
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::sim::{self, Setup};
use clap::ValueEnum;
use shalespindle_standin::nameserver::Script;
use std::fmt;

/// The baselines, in order of the table's columns.
const BASELINES: [Pick; 3] = [Pick::Random, Pick::LeastOfTwo, Pick::FirstChoice];

/// The results of one kind of fault and one number of fronts.
#[derive(Clone, Debug)]
pub struct Row {
    /// None: a run without faults.
    pub kind: Option<FaultKind>,
    pub fronts: usize,
    /// Utility within target of the module, the mean of the seeds.
    pub module: f64,
    /// Utility of the module minus that of each baseline, paired by seed.
    pub gains: Vec<Difference>,
    /// Number of violations of rules by the module.
    pub broken: u64,
}

/// All rows, in order of kinds and then of numbers of fronts.
#[derive(Clone, Debug)]
pub struct Table {
    pub rows: Vec<Row>,
    pub seeds: u64,
}

impl Table {
    /// Whether the module kept the rules in all runs; baselines are not checked.
    pub fn rules_kept(&self) -> bool {
        self.rows.iter().all(|r| r.broken == 0)
    }
}

/// A fault of that kind in the middle third of a scenario.
fn fault(kind: FaultKind, seconds: f64) -> Fault {
    let (share, size) = match kind {
        FaultKind::Slow => (0.34, 4.0),
        FaultKind::Burst => (1.0, 1.6),
        FaultKind::AnswerLost => (0.34, 0.5),
        FaultKind::GiveUp => (1.0, 0.5),
        FaultKind::DiscoveryStale => (1.0, 8.0),
        FaultKind::Deploy => (0.5, 0.0),
        _ => (0.17, 0.0),
    };
    let (from, duration) = (seconds / 3.0, seconds / 3.0);
    Fault { kind, from, duration, share, period: None, script: Script::Silent, size }
}

/// Runs all rows on all cores. `kinds` empty: a run without faults, and every kind.
pub fn table(base: &Scenario, fronts: &[usize], kinds: &[FaultKind], seeds: u64) -> Table {
    let kinds: Vec<Option<FaultKind>> = match kinds {
        [] => std::iter::once(None).chain(FaultKind::value_variants().iter().map(|k| Some(*k))).collect(),
        some => some.iter().map(|k| Some(*k)).collect(),
    };
    let jobs: Vec<(Option<FaultKind>, usize)> =
        kinds.iter().flat_map(|k| fronts.iter().map(move |f| (*k, *f))).collect();
    let rows = parallel::each(&jobs, parallel::cores(), |_, &(kind, fronts)| row(base, kind, fronts, seeds));
    Table { rows, seeds }
}

fn row(base: &Scenario, kind: Option<FaultKind>, fronts: usize, seeds: u64) -> Row {
    let mut scenario = base.clone();
    scenario.fleet.fronts = fronts;
    scenario.faults = kind.iter().map(|k| fault(*k, base.seconds)).collect();
    if kind == Some(FaultKind::DiscoveryStale) {
        // A late list does harm only while servers change.
        scenario.faults.push(fault(FaultKind::Deploy, base.seconds));
    }
    if kind == Some(FaultKind::NameServer) {
        scenario.dns.get_or_insert_default().alone = true;
    }
    let utility = |variant, seed| {
        let summary = sim::run(&scenario, seed, &Setup::of(variant)).report.summary;
        (summary.within_target_utility, summary.rules_broken.values().sum::<u64>())
    };
    let module: Vec<(f64, u64)> = (1..=seeds).map(|s| utility(Variant::Module, s)).collect();
    let gain = |pick| {
        let pairs: Vec<(f64, f64)> =
            (1..=seeds).zip(&module).map(|(s, m)| (utility(Variant::Baseline(pick), s).0, m.0)).collect();
        difference(&pairs)
    };
    Row {
        kind,
        fronts,
        module: module.iter().map(|m| m.0).sum::<f64>() / seeds.max(1) as f64,
        gains: BASELINES.map(gain).to_vec(),
        broken: module.iter().map(|m| m.1).sum(),
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} seeds; utility within target of the module, and its gain over each baseline (half of 95 %)",
            self.seeds
        )?;
        write!(f, "{:18} {:>6} {:>8} {:>6}", "fault", "fronts", "module", "broken")?;
        writeln!(f, " {:>18} {:>18} {:>18}", "random", "least of two", "first choice")?;
        for row in &self.rows {
            let kind = row.kind.and_then(|k| k.to_possible_value());
            let kind = kind.as_ref().map_or("quiet", |k| k.get_name());
            write!(f, "{kind:18} {:6} {:8.4} {:6}", row.fronts, row.module, row.broken)?;
            for gain in &row.gains {
                write!(f, " {:+9.4} ({:.4})", gain.mean, gain.half)?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
