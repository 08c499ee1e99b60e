//! `lab` and `standin`: simulations, trials, measurements and scripted servers.

use crate::commands::{Lab, RunOptions, BAD_INPUT};
use clap::ValueEnum;
use shalespindle_lab::baseline::Pick;
use shalespindle_lab::compare::{compare, Variant, Where};
use shalespindle_lab::play::{play, Fronts};
use shalespindle_lab::scenario::{Scenario, BAD_DAY};
use shalespindle_lab::summary::{DiscoveryStats, LevelSteps, Report};
use shalespindle_lab::{
    capacity, chain, coordinated, fleet_cost, fleet_size, names, scale, sim, throughput, walk,
};
use shalespindle_rig::FleetShape;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Number of regions in a simulated fleet with coordinators.
const REGIONS: usize = 3;

/// Simple routing policies to which the decision module is compared.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Baseline {
    /// Picks any allowed pool in service at random.
    Random,
    /// Draws two pools at random and picks the one with fewer outstanding set-ups of this front.
    LeastOfTwo,
    /// Picks the first choice while it is in service.
    FirstChoice,
}

/// Whether the fleet's plan for the loss of a site is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Plan {
    On,
    Off,
}

/// Overrides the number of fronts of a scenario.
fn with_fronts(mut scenario: Scenario, fronts: Option<usize>) -> Scenario {
    scenario.fleet.fronts = fronts.unwrap_or(scenario.fleet.fronts).clamp(1, 1000);
    scenario
}

/// Reads a scenario and prints an error on standard error.
fn scenario(path: &Path) -> Result<Scenario, ExitCode> {
    Scenario::load(path).map_err(|why| {
        eprintln!("{}: {why}", path.display());
        ExitCode::from(BAD_INPUT)
    })
}

fn variant(baseline: Option<Baseline>) -> Variant {
    match baseline {
        None => Variant::Module,
        Some(Baseline::Random) => Variant::Baseline(Pick::Random),
        Some(Baseline::LeastOfTwo) => Variant::Baseline(Pick::LeastOfTwo),
        Some(Baseline::FirstChoice) => Variant::Baseline(Pick::FirstChoice),
    }
}

/// Runs a `lab` command.
pub fn lab(command: Lab) -> io::Result<ExitCode> {
    match command {
        Lab::Play { scenario: path, with, inside, without_levels } => match scenario(&path) {
            Ok(mut scenario) => {
                scenario.levels.on &= !without_levels;
                on_sockets(&scenario, &with, inside)
            }
            Err(code) => Ok(code),
        },
        Lab::BadDay { with } => match Scenario::read(BAD_DAY) {
            Ok(scenario) => on_sockets(&scenario, &with, false),
            Err(why) => Err(io::Error::other(why.to_string())),
        },
        Lab::Sim { scenario: path, with, baseline, fronts, plan } => match scenario(&path) {
            Ok(scenario) => {
                let scenario = with_fronts(scenario, fronts);
                let variant = if plan == Plan::Off { Variant::WithoutPlan } else { variant(baseline) };
                let run = sim::run(&scenario, with.seed, &sim::Setup::of(variant));
                if !run.site_records.is_empty() {
                    println!("{}", run.timeline());
                }
                if let Some(out) = &with.out {
                    std::fs::create_dir_all(out)?;
                    write_trace(out, &run.trace.sorted())?;
                }
                let steps = LevelSteps::of(&run.levels, scenario.fleet.fronts);
                println!("{steps}");
                println!("{}", DiscoveryStats::of_run(&run, scenario.fleet.fronts));
                let spacing_kept = steps.apart_by(scenario.levels.least_stay.seconds());
                if !spacing_kept {
                    println!("levels changed sooner than levels.least_stay");
                }
                Ok(if spacing_kept { print_report(&run.report)? } else { ExitCode::FAILURE })
            }
            Err(code) => Ok(code),
        },
        Lab::Compare { a, b, pairs, seed, without_levels, baseline, period, sockets, plan, fronts } => {
            let variant_of_b = match (without_levels, plan) {
                (true, _) => Variant::WithoutLevels,
                (_, Plan::Off) => Variant::WithoutPlan,
                _ => variant(baseline),
            };
            let b = b.unwrap_or_else(|| a.clone());
            match (scenario(&a), scenario(&b)) {
                (Ok(first), Ok(second)) => {
                    let (mut first, mut second) = (with_fronts(first, fronts), with_fronts(second, fronts));
                    let place = match sockets {
                        0 => Where::VirtualTime,
                        pairs_at_once => Where::Sockets { pairs_at_once },
                    };
                    if let Some(period) = period {
                        first.set_period(period);
                        second.set_period(period);
                    }
                    let result =
                        compare((&first, Variant::Module), (&second, variant_of_b), place, seed, pairs)?;
                    print!("{result}");
                    Ok(if result.rules_kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
                }
                (Err(code), _) | (_, Err(code)) => Ok(code),
            }
        }
        Lab::Fleet { fronts, steps, with } => {
            if !(2..=64).contains(&fronts) {
                eprintln!("--fronts is {fronts}; it must be between 2 and 64");
                return Ok(ExitCode::from(BAD_INPUT));
            }
            let shape = FleetShape::new(std::env::current_exe()?, fronts, with.seed);
            let summary =
                shalespindle_rig::play(&shape, steps, with.out.as_deref(), &mut |line| println!("{line}"))?;
            println!("{}", serde_json::to_string(&summary)?);
            Ok(if summary.breaches.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Lab::Names { seed, at_once } => {
            let cases = names::all(seed, at_once, &|case| {
                println!("{:?} {:?}: servers {:?}", case.script, case.when, case.used);
                case.faults.iter().take(5).for_each(|fault| println!("  {fault}"));
            })?;
            let failed = cases.iter().filter(|c| !c.faults.is_empty()).count();
            println!("{} runs, {failed} not as documented", cases.len());
            Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Lab::Scale { scenario: path, fronts, kinds, seeds } => {
            let base = match scenario(&path) {
                Ok(base) => base,
                Err(code) => return Ok(code),
            };
            let table = scale::table(&base, &fronts, &kinds, seeds);
            print!("{table}");
            Ok(if table.rules_kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Lab::Walk { depth } => {
            let start = std::time::Instant::now();
            let walked = walk::walk(depth, None, 10);
            for broken in &walked.broken {
                println!("{}: {:?}", broken.what, broken.path);
            }
            println!(
                "{} states, {} broken, {:.1} s",
                walked.states,
                walked.broken.len(),
                start.elapsed().as_secs_f64()
            );
            Ok(if walked.broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Lab::FleetSize { fronts, processes: Some(seconds), .. } => {
            let program = std::env::current_exe()?;
            for fronts in fronts {
                let cost = shalespindle_rig::measure_processes(&program, fronts, seconds)?;
                println!("{}", serde_json::to_string(&cost)?);
            }
            Ok(ExitCode::SUCCESS)
        }
        Lab::FleetSize { fronts, coordinators: Some(coordinators), scenario, loss, seed, .. } => {
            coordinated_sizes(&fronts, coordinators, scenario, loss, seed)
        }
        Lab::FleetSize { fronts, calls, calls_a_second, loss, seed, .. } => {
            for fronts in fronts {
                let shape = fleet_size::SizeShape { fronts, calls, calls_a_second, loss, seed };
                println!("{}", serde_json::to_string(&fleet_size::measure(&shape))?);
            }
            Ok(ExitCode::SUCCESS)
        }
        Lab::CapacityPage { data, page } => capacity_page(&data, &page),
        Lab::Chain { hops, calls, patience, seed } => chains(hops, calls, patience, seed),
        Lab::Throughput { seconds, rounds, rate: Some(rate), servers, .. } => {
            for added in throughput::measure_added(seconds, rounds, rate, servers.max(1))? {
                println!("{}", serde_json::to_string(&added)?);
            }
            Ok(ExitCode::SUCCESS)
        }
        Lab::Throughput { seconds, rounds, fleet: true, .. } => {
            print!("{}", fleet_cost::measure(seconds, rounds)?);
            Ok(ExitCode::SUCCESS)
        }
        Lab::Throughput { seconds, rounds, fleet: false, .. } => {
            print!("{}", throughput::measure(seconds, rounds)?);
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// Fills the tables of the capacity page from the stored runs.
fn capacity_page(data: &Path, page: &Path) -> io::Result<ExitCode> {
    let text = std::fs::read_to_string(page)?;
    let filled = capacity::Runs::read(data)
        .map_err(|why| why.to_string())
        .and_then(|runs| capacity::fill(&text, &runs).map_err(|why| format!("{}: {why}", page.display())));
    match filled {
        Ok(filled) => std::fs::write(page, filled).map(|()| ExitCode::SUCCESS),
        Err(why) => {
            eprintln!("{why}");
            Ok(ExitCode::from(BAD_INPUT))
        }
    }
}

/// Measures chains of fronts, one JSON line per share of failing tries and place of failure.
fn chains(hops: usize, calls: u32, patience: f64, seed: u64) -> io::Result<ExitCode> {
    for at in [chain::Failing::OneHop, chain::Failing::AllHops] {
        for failing in [0.001, 0.01, 0.1] {
            let shape = chain::ChainShape { hops: hops.max(1), calls, failing, at, patience, seed };
            println!("{}", serde_json::to_string(&chain::measure(&shape))?);
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints one JSON line per size. Fails if a front lagged behind at the end, regressed to older state, or a
/// deleted item reappeared.
fn coordinated_sizes(
    fronts: &[usize],
    coordinators: usize,
    scenario: coordinated::Scenario,
    loss: f64,
    seed: u64,
) -> io::Result<ExitCode> {
    if coordinators == 0 || !coordinators.is_multiple_of(REGIONS) {
        eprintln!(
            "--coordinators is {coordinators}; it must be a multiple of {REGIONS}, the same number for each region"
        );
        return Ok(ExitCode::from(BAD_INPUT));
    }
    let mut all_converged = true;
    for fronts in fronts {
        let mut shape = coordinated::CoordinatedShape::new(*fronts, coordinators, scenario, seed);
        shape.loss = loss;
        let cost = coordinated::measure(&shape);
        println!("{}", serde_json::to_string(&cost)?);
        all_converged &= cost.behind == 0 && cost.went_back == 0 && cost.resurrected == 0;
    }
    Ok(if all_converged { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Plays a scenario on loopback sockets and prints the report.
fn on_sockets(scenario: &Scenario, with: &RunOptions, inside: bool) -> io::Result<ExitCode> {
    let temporary = tempfile::tempdir()?;
    let folder: PathBuf = with.out.clone().unwrap_or_else(|| temporary.path().to_path_buf());
    std::fs::create_dir_all(&folder)?;
    let fronts = match inside {
        true => Fronts::Inside,
        false => Fronts::Processes { program: std::env::current_exe()?, folder: folder.clone() },
    };
    let played = play(scenario, with.seed, &fronts, &mut |line| println!("{line}"))?;
    if with.out.is_some() {
        write_trace(&folder, &played.trace)?;
    }
    for (front, s) in played.statuses.iter().enumerate() {
        println!(
            "front {front}: lag p50 {:.2} ms, p99 {:.2} ms; held {} attaches, {} legs; {:?}",
            s.lag_p50_ms, s.lag_p99_ms, s.attaches_held, s.legs_held, s.counters
        );
    }
    print_report(&played.report)
}

/// Writes the trace to `trace.txt`, one event per line.
fn write_trace(folder: &Path, trace: &[shalespindle_standin::trace::Entry]) -> io::Result<()> {
    use std::io::Write;
    let mut file = io::BufWriter::new(std::fs::File::create(folder.join("trace.txt"))?);
    for (at, event) in trace {
        writeln!(file, "{at:.6} {event:?}")?;
    }
    file.flush()
}

/// Prints the table by procedure and tenant and, as the last line, the summary as JSON.
fn print_report(report: &Report) -> io::Result<ExitCode> {
    let s = &report.summary;
    println!(
        "attaches {}: stood {}, refused {}, failed {}, left {}",
        s.attaches, s.established, s.refused, s.failed, s.left
    );
    println!(
        "set-ups {}, unanswered {}, front killed meanwhile {}, front stopped meanwhile {}",
        report.verdict.set_ups, s.unanswered, report.verdict.killed, report.verdict.held_up
    );
    let rows = report
        .by_procedure
        .iter()
        .map(|r| ("procedure", r))
        .chain(report.by_tenant.iter().map(|r| ("tenant", r)));
    for (kind, (name, u)) in rows {
        println!(
            "{kind:10} {name:28} offered {:8.0}  within target {:.3}  late {:.3}  cut {:.3}",
            u.offered,
            u.share(),
            u.late / u.offered.max(1.0),
            u.cut / u.offered.max(1.0)
        );
    }
    for broken in report.verdict.broken.iter().take(10) {
        println!("rule {} broken at {:.3}: {}", broken.rule, broken.at, broken.what);
    }
    println!("{}", serde_json::to_string(s)?);
    Ok(if report.rules_kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs the servers and the pool list of a scenario until SIGTERM or SIGINT.
pub fn standin(config: &Path, feed: SocketAddr) -> io::Result<ExitCode> {
    let scenario = match scenario(config) {
        Ok(scenario) => scenario,
        Err(code) => return Ok(code),
    };
    let standins = shalespindle_lab::stand_ins::StandIns::start(&scenario, feed)?;
    println!("{standins}");
    let mut signals =
        signal_hook::iterator::Signals::new([signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT])?;
    signals.forever().next();
    drop(standins);
    Ok(ExitCode::SUCCESS)
}
