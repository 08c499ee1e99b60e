//! The tables of the capacity page, in Markdown.

use super::data::{Coordinated, Runs};
use super::fit::Line;
use std::collections::BTreeMap;
use std::fmt::Write;

// The size of fleet that the operators stated, and the limits that they set for a front and for the fleet.

/// Fronts in a fleet of the stated size.
const STATED_FRONTS: f64 = 600.0;
/// Calls per second of the whole fleet.
const CALLS_PER_SECOND: f64 = 160_000.0;
/// Maximum traffic of a front between nodes, bytes per second.
const MAX_FRONT_BYTES: f64 = 2000.0;
/// Maximum share of one core for a front.
const MAX_CORE_SHARE: f64 = 0.04;
/// Maximum memory of a front, megabytes.
const MAX_MEMORY_MB: f64 = 64.0;
/// Maximum time until a change is in force on all fronts, seconds.
const MAX_CHANGE_S: f64 = 7.0;
/// Maximum time that a front adds to a set-up, microseconds.
const MAX_ADDED_US: f64 = 600.0;

/// The names of all tables.
pub(crate) const NAMES: [&str; 7] =
    ["ranking", "held-against", "gossip", "steady", "troubles", "added", "chain"];

/// Returns the table with that name; none if there is no such table.
pub(crate) fn table(name: &str, runs: &Runs) -> Option<String> {
    match name {
        "ranking" => Some(ranking(runs)),
        "held-against" => Some(held_against(runs)),
        "gossip" => Some(gossip(runs)),
        "steady" => Some(steady(runs)),
        "troubles" => Some(troubles(runs)),
        "added" => Some(added(runs)),
        "chain" => Some(chain(runs)),
        _ => None,
    }
}

/// A Markdown table under construction.
struct Table(String);

impl Table {
    fn new(head: &[&str]) -> Table {
        let mut table = Table(String::new());
        table.row(head);
        table.row(&vec!["---"; head.len()]);
        table
    }

    fn row<T: AsRef<str>>(&mut self, cells: &[T]) {
        let cells: Vec<&str> = cells.iter().map(AsRef::as_ref).collect();
        // Writing to a string does not fail.
        let _ = writeln!(self.0, "| {} |", cells.join(" | "));
    }
}

/// Formats a number with a precision that depends on its size.
fn figure(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => thousands(value.round() as i64),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.1 || size == 0.0 => format!("{value:.2}"),
        _ => format!("{value:.5}"),
    }
}

/// Formats a number with a comma between groups of three digits.
fn thousands(value: i64) -> String {
    let digits = value.unsigned_abs().to_string();
    let mut out = String::new();
    for (place, digit) in digits.chars().enumerate() {
        if place > 0 && (digits.len() - place).is_multiple_of(3) {
            out.push(',');
        }
        out.push(digit);
    }
    if value < 0 {
        format!("-{out}")
    } else {
        out
    }
}

/// Formats a fraction as a signed percentage.
fn percent(fraction: f64) -> String {
    format!("{:+.1}%", fraction * 100.0)
}

/// A line fitted to the runs below the stated size, its value at that size, and the run of that size if
/// there is one.
struct Prediction {
    line: Line,
    predicted: f64,
    measured: Option<f64>,
}

fn predict(points: &[(f64, f64)]) -> Option<Prediction> {
    let below: Vec<(f64, f64)> =
        points.iter().copied().filter(|(fronts, _)| *fronts < STATED_FRONTS).collect();
    let line = Line::through(&below)?;
    let measured = points.iter().find(|(fronts, _)| *fronts == STATED_FRONTS).map(|(_, value)| *value);
    Some(Prediction { line, predicted: line.at(STATED_FRONTS), measured })
}

/// Table of predictions, one row per figure.
fn predictions(rows: &[(&str, Vec<(f64, f64)>)]) -> String {
    let mut table =
        Table::new(&["figure", "line", "residual", "predicted for 600", "run at 600", "difference"]);
    for (name, points) in rows {
        let Some(found) = predict(points) else { continue };
        let Prediction { line, predicted, measured } = found;
        table.row(&[
            name.to_string(),
            format!("{} + {} x fronts", figure(line.base), figure(line.slope)),
            figure(line.residual),
            figure(predicted),
            measured.map_or("not run".into(), figure),
            measured.map_or("-".into(), |measured| percent((measured - predicted) / predicted)),
        ]);
    }
    table.0
}

/// Compares processes with simulated fleets of the same size.
fn held_against(runs: &Runs) -> String {
    let mut table = Table::new(&[
        "fronts",
        "bytes sent a second: processes",
        "simulated",
        "difference",
        "frames: processes",
        "simulated",
        "processes: core share",
        "processes: MB at most",
    ]);
    for process in &runs.processes {
        let Some(simulated) = runs.gossip.iter().find(|simulated| simulated.fronts == process.fronts) else {
            continue;
        };
        table.row(&[
            process.fronts.to_string(),
            figure(process.sent_bytes),
            figure(simulated.idle_bytes),
            percent((simulated.idle_bytes - process.sent_bytes) / process.sent_bytes),
            figure(process.sent_frames),
            figure(simulated.idle_frames),
            figure(process.core_share),
            figure(process.memory_mb_max),
        ]);
    }
    table.0
}

fn gossip(runs: &Runs) -> String {
    let mut table = Table::new(&[
        "fronts",
        "sent a second, idle",
        "both ways",
        "core share",
        "MB",
        "with one call a second a front",
        "a warning known to all, s",
    ]);
    for run in &runs.gossip {
        let churn = runs.churn.iter().find(|churn| churn.fronts == run.fronts);
        table.row(&[
            run.fronts.to_string(),
            figure(run.idle_bytes),
            figure(run.idle_bytes + run.idle_received_bytes),
            figure(run.idle_core_share),
            figure(run.memory_mb),
            churn.map_or("not run".into(), |churn| figure(churn.churn_bytes)),
            figure(run.spread_all),
        ]);
    }
    let of = |value: &dyn Fn(&super::data::Gossip) -> f64| -> Vec<(f64, f64)> {
        runs.gossip.iter().map(|run| (run.fronts as f64, value(run))).collect()
    };
    let rows = [
        ("bytes sent, idle", of(&|run| run.idle_bytes)),
        ("core share, idle", of(&|run| run.idle_core_share)),
        ("MB", of(&|run| run.memory_mb)),
    ];
    format!("{}\n{}", table.0, predictions(&rows))
}

fn steady(runs: &Runs) -> String {
    let mut table = Table::new(&[
        "fronts",
        "front, bytes a second: median",
        "worst 10 s of any",
        "coordinator, worst 10 s",
        "front, core share",
        "coordinator, core share",
        "slowest change, s",
        "behind, went back, resurrected",
    ]);
    for run in &runs.steady {
        table.row(&[
            run.fronts.to_string(),
            figure(run.front_bytes_median),
            figure(run.front_bytes_max),
            figure(run.coordinator_bytes_max),
            figure(run.front_core_share),
            figure(run.coordinator_core_share),
            figure(run.change_all_s),
            format!("{}, {}, {}", run.behind, run.went_back, run.resurrected),
        ]);
    }
    let of = |value: &dyn Fn(&Coordinated) -> f64| -> Vec<(f64, f64)> {
        runs.steady.iter().map(|run| (run.fronts as f64, value(run))).collect()
    };
    let rows = [
        ("front, median bytes", of(&|run| run.front_bytes_median)),
        ("front, worst 10 s", of(&|run| run.front_bytes_max)),
        ("coordinator, worst 10 s", of(&|run| run.coordinator_bytes_max)),
        ("coordinator, core share", of(&|run| run.coordinator_core_share)),
    ];
    format!("{}\n{}", table.0, predictions(&rows))
}

/// Maximum of a figure over the runs.
fn worst(runs: &[&Coordinated], value: impl Fn(&Coordinated) -> f64) -> f64 {
    runs.iter().map(|run| value(run)).fold(0.0, f64::max)
}

fn troubles(runs: &Runs) -> String {
    let mut table = Table::new(&[
        "scenario",
        "seeds",
        "recovered, s: worst",
        "front, worst 10 s",
        "coordinator, worst 10 s",
        "oldest state meanwhile, s",
        "suspected wrongly",
        "behind, went back, resurrected",
    ]);
    let mut by_scenario: BTreeMap<&str, Vec<&Coordinated>> = BTreeMap::new();
    for run in &runs.troubles {
        by_scenario.entry(&run.scenario).or_default().push(run);
    }
    for (scenario, runs) in by_scenario {
        let never = runs.iter().filter(|run| run.recovered_s.is_none()).count();
        let recovered = figure(worst(&runs, |run| run.recovered_s.unwrap_or(0.0)));
        let sum = |value: fn(&Coordinated) -> u64| runs.iter().map(|run| value(run)).sum::<u64>();
        table.row(&[
            scenario.to_string(),
            runs.len().to_string(),
            if never > 0 { format!("{never} never") } else { recovered },
            figure(worst(&runs, |run| run.front_bytes_max)),
            figure(worst(&runs, |run| run.coordinator_bytes_max)),
            figure(worst(&runs, |run| run.age_max_s)),
            sum(|run| run.suspected_wrongly).to_string(),
            format!(
                "{}, {}, {}",
                sum(|run| run.behind),
                sum(|run| run.went_back),
                sum(|run| run.resurrected)
            ),
        ]);
    }
    table.0
}

fn added(runs: &Runs) -> String {
    let mut table = Table::new(&[
        "set-ups a second",
        "servers",
        "relay p99, us",
        "front p99, us",
        "added p50, us",
        "added p99, us",
        "failed",
    ]);
    for run in &runs.added {
        table.row(&[
            figure(run.rate),
            run.servers.to_string(),
            run.relay_p99_us.to_string(),
            run.front_p99_us.to_string(),
            run.added_p50_us.to_string(),
            run.added_p99_us.to_string(),
            run.failed.to_string(),
        ]);
    }
    table.0
}

fn chain(runs: &Runs) -> String {
    let mut table = Table::new(&[
        "hops",
        "failing",
        "where",
        "stood",
        "tries at the last server a call",
        "tries of all hops a call",
        "p50, s",
        "p99, s",
        "run for nobody a call",
    ]);
    for run in &runs.chain {
        table.row(&[
            run.hops.to_string(),
            format!("{}%", run.failing * 100.0),
            run.at.clone(),
            format!("{:.3}", run.stood),
            format!("{:.3}", run.tries_at_last),
            figure(run.tries),
            figure(run.p50_s),
            figure(run.p99_s),
            format!("{:.4}", run.run_for_nobody),
        ]);
    }
    table.0
}

/// Ranks the limits by needed over allowed, the largest first: the first row is the limit reached first.
fn ranking(runs: &Runs) -> String {
    struct Row {
        what: &'static str,
        needed: f64,
        allowed: f64,
        source: &'static str,
        carried_by: &'static str,
    }
    let mut rows = Vec::new();
    let mut row = |what, needed: Option<f64>, allowed, source, carried_by| {
        if let Some(needed) = needed {
            rows.push(Row { what, needed, allowed, source, carried_by });
        }
    };
    let churn: Vec<(f64, f64)> = runs
        .churn
        .iter()
        .filter_map(|churn| {
            let idle = runs.gossip.iter().find(|idle| idle.fronts == churn.fronts)?;
            // One call per second at each front: the number of fronts is the fleet's calls per second.
            Some((churn.fronts as f64, churn.churn_bytes - idle.idle_bytes))
        })
        .collect();
    let bytes_per_call = Line::through(&churn).map(|line| line.slope);
    let at_size = |all: &[Coordinated], value: fn(&Coordinated) -> f64| {
        all.iter().filter(|run| run.fronts as f64 == STATED_FRONTS).map(value).max_by(f64::total_cmp)
    };
    let gossip_at_size = runs.gossip.iter().find(|run| run.fronts as f64 == STATED_FRONTS);
    let largest_process = runs.processes.iter().max_by_key(|run| run.fronts);
    let mut added: Vec<f64> = runs.added.iter().map(|run| run.added_p99_us as f64).collect();
    added.sort_by(f64::total_cmp);
    let added = added.get(added.len() / 2).copied();
    row(
        "facts of calls between fronts, bytes a second a front",
        bytes_per_call.map(|bytes| bytes * CALLS_PER_SECOND),
        MAX_FRONT_BYTES,
        "slope x 160,000 calls a second; estimated",
        "none, missing: the call itself is to carry them",
    );
    row(
        "fronts that tell each other, idle, bytes a second both ways",
        gossip_at_size.map(|run| run.idle_bytes + run.idle_received_bytes),
        MAX_FRONT_BYTES,
        "simulated at 600",
        "coordinators, below",
    );
    row(
        "coordinators, a day's changes in ten minutes, bytes a second of the worst front",
        at_size(&runs.steady, |run| run.front_bytes_max),
        MAX_FRONT_BYTES,
        "simulated at 600",
        "crates/coordinator (core; not yet on sockets)",
    );
    row(
        "coordinators, all down and back, bytes a second of the worst front",
        at_size(&runs.troubles, |run| run.front_bytes_max),
        MAX_FRONT_BYTES,
        "simulated at 600, all scenarios and seeds",
        "crates/coordinator (core; not yet on sockets)",
    );
    row(
        "a change everywhere, s",
        at_size(&runs.steady, |run| run.change_all_s),
        MAX_CHANGE_S,
        "simulated at 600",
        "crates/coordinator (core; not yet on sockets)",
    );
    row(
        "after a trouble all up to date, s",
        at_size(&runs.troubles, |run| run.recovered_s.unwrap_or(f64::INFINITY)),
        MAX_CHANGE_S,
        "simulated at 600, all scenarios and seeds",
        "crates/coordinator (core; not yet on sockets)",
    );
    row(
        "time added to a set-up, us, 99 in 100",
        added,
        MAX_ADDED_US,
        "median round on sockets; the relay's own 99th percentile varies by more: not resolved",
        "the front in service on SIP",
    );
    row(
        "core share of an idle process that tells 99 others",
        largest_process.map(|run| run.core_share),
        MAX_CORE_SHARE,
        "processes",
        "the front's process",
    );
    row(
        "memory of that process, MB",
        largest_process.map(|run| run.memory_mb_max),
        MAX_MEMORY_MB,
        "processes",
        "the front's process",
    );
    rows.sort_by(|a, b| (b.needed / b.allowed).total_cmp(&(a.needed / a.allowed)));
    let mut table = Table::new(&["what", "needed", "allowed", "factor", "from", "carried by"]);
    for Row { what, needed, allowed, source, carried_by } in rows {
        let factor = figure(needed / allowed);
        table.row(&[what, &figure(needed), &figure(allowed), &factor, source, carried_by]);
    }
    table.0
}
