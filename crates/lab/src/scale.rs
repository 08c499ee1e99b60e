//! Decisions at scale: utility within target over numbers of fronts and kinds of trouble, the module against
//! the baselines, the same seeds for each. The servers and the rate of all callers together stay the same, so
//! that what changes is how small a part each front sees.

use crate::baseline::Pick;
use crate::compare::{difference, Difference, Variant};
use crate::parallel;
use crate::scenario::{Scenario, Trouble, TroubleKind};
use crate::sim::{self, Setup};
use clap::ValueEnum;
use shalespindle_standin::nameserver::Script;
use std::fmt;

/// The baselines of the table.
const BASELINES: [Pick; 3] = [Pick::Random, Pick::LeastOfTwo, Pick::FirstChoice];

/// One row.
#[derive(Clone, Debug)]
pub struct Row {
    pub kind: Option<TroubleKind>,
    pub fronts: usize,
    /// Utility within target of the module, the mean of the seeds.
    pub module: f64,
    /// The module less each baseline, paired by seed.
    pub gains: Vec<Difference>,
    /// Rules that the module broke.
    pub broken: u64,
}

/// The table, in order of kinds and then of fronts.
#[derive(Clone, Debug)]
pub struct Table {
    pub rows: Vec<Row>,
    pub seeds: u64,
}

impl Table {
    /// Whether the module kept the rules everywhere; baselines need not.
    pub fn rules_kept(&self) -> bool {
        self.rows.iter().all(|r| r.broken == 0)
    }
}

/// One trouble of a kind in the middle third of a scenario; none is a quiet day.
fn trouble(kind: TroubleKind, seconds: f64) -> Trouble {
    let (part, size) = match kind {
        TroubleKind::Slow => (0.34, 4.0),
        TroubleKind::Burst => (1.0, 1.6),
        TroubleKind::AnswerLost => (0.34, 0.5),
        TroubleKind::GiveUp => (1.0, 0.5),
        TroubleKind::DiscoveryStale => (1.0, 8.0),
        TroubleKind::Deploy => (0.5, 0.0),
        _ => (0.17, 0.0),
    };
    let (from, lasts) = (seconds / 3.0, seconds / 3.0);
    Trouble { kind, from, lasts, part, every: None, script: Script::Silent, size }
}

/// Runs the table on all cores. No kinds: all there are, and a quiet day.
pub fn table(base: &Scenario, fronts: &[usize], kinds: &[TroubleKind], seeds: u64) -> Table {
    let kinds: Vec<Option<TroubleKind>> = match kinds {
        [] => std::iter::once(None).chain(TroubleKind::value_variants().iter().map(|k| Some(*k))).collect(),
        some => some.iter().map(|k| Some(*k)).collect(),
    };
    let jobs: Vec<(Option<TroubleKind>, usize)> =
        kinds.iter().flat_map(|k| fronts.iter().map(move |f| (*k, *f))).collect();
    let rows = parallel::each(&jobs, parallel::cores(), |_, &(kind, fronts)| row(base, kind, fronts, seeds));
    Table { rows, seeds }
}

fn row(base: &Scenario, kind: Option<TroubleKind>, fronts: usize, seeds: u64) -> Row {
    let mut scenario = base.clone();
    scenario.fleet.fronts = fronts;
    scenario.troubles = kind.iter().map(|k| trouble(*k, base.seconds)).collect();
    if kind == Some(TroubleKind::DiscoveryStale) {
        // A late list hurts by what it hides.
        scenario.troubles.push(trouble(TroubleKind::Deploy, base.seconds));
    }
    if kind == Some(TroubleKind::NameServer) {
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
        write!(f, "{:18} {:>6} {:>8} {:>6}", "trouble", "fronts", "module", "broken")?;
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
