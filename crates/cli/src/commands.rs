//! The command line.

use crate::{console, kept, lab, live, resolve, run};
use clap::{Args, Parser, Subcommand};
use shalespindle_console::Request;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for bad arguments, settings or scenarios.
pub const BAD_INPUT: u8 = 2;

/// A call router at the edge of a network with central servers.
#[derive(Parser)]
#[command(version, about)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// One front in service.
    Run {
        #[arg(long)]
        config: PathBuf,
    },
    /// One live front on the operators' platform, as its environment says.
    Live {
        /// The file that tells of the front, as JSON.
        #[arg(long, env = "ROUTER_CONFIG")]
        config: PathBuf,
        /// Where callers connect; the file's address where it is left out.
        #[arg(long, env = "ROUTER_LISTEN")]
        listen: Option<std::net::SocketAddr>,
        /// The front's name in the log; the file's where it is left out.
        #[arg(long, env = "ROUTER_NAME")]
        name: Option<String>,
    },
    /// Checks settings and starts nothing.
    Check {
        #[arg(long)]
        config: PathBuf,
    },
    /// What a running front is at: level of reduced service, attaches, counters.
    Status {
        #[command(flatten)]
        front: console::Which,
        #[arg(long)]
        json: bool,
    },
    /// Each server that a running front knows: what the pool list and DNS say of it, and the verdict.
    Members {
        #[command(flatten)]
        front: console::Which,
        #[arg(long)]
        json: bool,
    },
    /// Holds a level of reduced service of a running front for a time; it falls back by itself.
    Pin {
        /// 0 is full service.
        level: usize,
        /// With its unit, such as 5m.
        #[arg(long = "for")]
        lasts: humantime::Duration,
        /// On all fronts of its fleet.
        #[arg(long)]
        fleet: bool,
        #[command(flatten)]
        front: console::Which,
    },
    /// Ends a pin before its time.
    Unpin {
        /// On all fronts of its fleet.
        #[arg(long)]
        fleet: bool,
        #[command(flatten)]
        front: console::Which,
    },
    /// The other fronts, as a running front knows them.
    Fleet {
        #[command(subcommand)]
        command: Fleet,
    },
    /// Looks an SRV name up as a front would, step by step.
    Resolve {
        /// Such as _sip._tcp.auth.example.org.
        name: String,
        /// A name server; may be given several times.
        #[arg(long = "server", required = true)]
        servers: Vec<std::net::SocketAddr>,
        /// Longest wait for each try.
        #[arg(long, default_value = "1s")]
        within: humantime::Duration,
    },
    /// Prints the JSON schema of the settings.
    Schema {
        /// The schema of a line of the pool list's feed instead.
        #[arg(long)]
        feed: bool,
    },
    /// Scripted servers and a pool list, as a scenario describes them, until a signal ends them.
    Standin {
        #[arg(long)]
        config: PathBuf,
        /// Where the first front finds the feed of the pool list; further fronts on the ports after it.
        #[arg(long, default_value = "127.0.0.1:7060")]
        feed: std::net::SocketAddr,
    },
    /// The laboratory.
    Lab {
        #[command(subcommand)]
        command: Lab,
    },
}

#[derive(Subcommand)]
pub enum Fleet {
    /// Peers with their states, what is held of each, and counts.
    Status {
        #[command(flatten)]
        front: console::Which,
        #[arg(long)]
        json: bool,
    },
    /// An operator's word on a site, for all fronts of the fleet.
    Site {
        /// As [[sites]] names it.
        name: String,
        #[arg(value_enum)]
        order: SiteOrder,
        /// How long `lost` and `keep-out` hold, with the unit, such as 10m.
        #[arg(long = "for", default_value = "10m")]
        lasts: humantime::Duration,
        #[command(flatten)]
        front: console::Which,
    },
    /// Servers of which fronts were told different things, and what counts; exit code 1 where there are any.
    Diff {
        #[command(flatten)]
        front: console::Which,
        #[arg(long)]
        json: bool,
    },
    /// What a front that is not running has kept on disk (`fleet.keep_file`), all of it checked; exit code 1 where
    /// something of it would not be taken.
    Kept {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

/// What an operator wants of a site.
#[derive(Clone, Copy, clap::ValueEnum)]
pub enum SiteOrder {
    /// It counts as lost, whatever fronts see.
    Lost,
    /// Nothing new goes to its servers, from no front.
    KeepOut,
    /// It returns, step by step, from now on.
    Return,
}

#[derive(Subcommand)]
pub enum Lab {
    /// Fronts, stand-ins and callers on loopback sockets; the rules are checked.
    Play {
        scenario: PathBuf,
        #[command(flatten)]
        with: RunWith,
        /// All fronts inside this process instead of one process each; none can be killed or stopped then.
        #[arg(long)]
        inside: bool,
        /// Fronts without levels of reduced service.
        #[arg(long)]
        without_levels: bool,
    },
    /// The same scenario under virtual time.
    Sim {
        scenario: PathBuf,
        #[command(flatten)]
        with: RunWith,
        /// A baseline in place of the decision module.
        #[arg(long, value_enum)]
        baseline: Option<lab::Baseline>,
        /// Another number of fronts.
        #[arg(long)]
        fronts: Option<usize>,
        /// Without the fleet's plan for the scenario's sites.
        #[arg(long, value_enum, default_value = "on")]
        plan: lab::Plan,
    },
    /// Two scenarios, or one against a baseline, paired by seed under virtual time.
    Compare {
        a: PathBuf,
        /// The other scenario; the same one where it is left out.
        b: Option<PathBuf>,
        /// Seeds, from --seed on.
        #[arg(long, default_value_t = 20)]
        pairs: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Another period of the scenarios' repeated troubles, seconds; they last half of it.
        #[arg(long)]
        period: Option<f64>,
        /// On loopback sockets instead of virtual time, so many pairs at once.
        #[arg(long, default_value_t = 0)]
        sockets: usize,
        /// B runs without levels of reduced service.
        #[arg(long, conflicts_with = "baseline")]
        without_levels: bool,
        /// `off`: B runs without the fleet's plan for sites.
        #[arg(long, value_enum, default_value = "on")]
        plan: lab::Plan,
        /// Another number of fronts in both.
        #[arg(long)]
        fronts: Option<usize>,
        /// B runs with a baseline in place of the decision module.
        #[arg(long, value_enum)]
        baseline: Option<lab::Baseline>,
    },
    /// A table over numbers of fronts and kinds of trouble: the module against the baselines.
    Scale {
        /// Its load, servers and callers; its troubles are replaced by one of each kind.
        scenario: PathBuf,
        #[arg(long, value_delimiter = ',', default_value = "8,64,281")]
        fronts: Vec<usize>,
        /// Names as scenarios write them; all of them where left out.
        #[arg(long, value_delimiter = ',')]
        kinds: Vec<shalespindle_lab::scenario::FaultKind>,
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// The name server in each of its scripts on sockets, checked against the membership table.
    Names {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Runs at once.
        #[arg(long, default_value_t = 6)]
        at_once: usize,
    },
    /// Every sequence of events of two sources to a depth, through the membership module itself.
    Walk {
        #[arg(long, default_value_t = 5)]
        depth: usize,
    },
    /// Fronts of one fleet as processes, faults on every path between them by seed; copies are checked at the end.
    Fleet {
        #[arg(long, default_value_t = 5)]
        fronts: usize,
        /// Faults and news, three beats apart.
        #[arg(long, default_value_t = 40)]
        steps: usize,
        #[command(flatten)]
        with: RunWith,
    },
    /// How what crosses between fronts grows with the fleet, under virtual time: bytes a second, the spread of a
    /// warning, the catching up of a front that returns empty. One JSON line a size.
    FleetSize {
        #[arg(long, num_args = 1.., default_values_t = [8, 64])]
        fronts: Vec<usize>,
        /// Real processes of this program instead, idle, for so many seconds: what simulated fronts are held against.
        #[arg(long, value_name = "SECONDS")]
        processes: Option<f64>,
        /// Simulated fronts as clients of so many coordinators instead of each other's peers.
        #[arg(long, conflicts_with = "processes")]
        coordinators: Option<usize>,
        /// What happens to fronts with coordinators.
        #[arg(long, value_enum, default_value_t = shalespindle_lab::coordinated::Scenario::Steady)]
        scenario: shalespindle_lab::coordinated::Scenario,
        /// Calls that stand in the whole fleet.
        #[arg(long, default_value_t = 1000)]
        calls: u64,
        /// Calls that begin at each front in a second.
        #[arg(long, default_value_t = 1.0)]
        calls_a_second: f64,
        /// Part of the frames that is lost.
        #[arg(long, default_value_t = 0.01)]
        loss: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// A call along many fronts, under virtual time: tries at the last server, added time, and what runs for nobody, for
    /// 0.1%, 1% and 10% of the tries failing at one hop and at all. One JSON line a case.
    Chain {
        #[arg(long, default_value_t = 18)]
        hops: usize,
        #[arg(long, default_value_t = 2000)]
        calls: u32,
        /// Seconds that callers wait.
        #[arg(long, default_value_t = 9.0)]
        patience: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Writes the tables of the capacity page from the runs kept beside it.
    CapacityPage {
        #[arg(long, default_value = "docs/capacity")]
        data: PathBuf,
        #[arg(long, default_value = "docs/CAPACITY.md")]
        page: PathBuf,
    },
    /// The embedded scripted bad day, on sockets.
    BadDay {
        #[command(flatten)]
        with: RunWith,
    },
    /// Attaches a second through one front against a bare relay on the same sockets, and what a front adds.
    Throughput {
        /// Seconds of each measurement.
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        #[arg(long, default_value_t = 3)]
        rounds: usize,
        /// Set-ups a second instead of as many as go: relay and front in turn, what the front adds.
        #[arg(long, conflicts_with = "fleet")]
        rate: Option<f64>,
        /// Servers in scope, with --rate.
        #[arg(long, default_value_t = 16, requires = "rate")]
        servers: usize,
        /// What telling other fronts costs instead: a front alone against one of four that tell each other.
        #[arg(long)]
        fleet: bool,
    },
}

#[derive(Args, Clone)]
pub struct RunWith {
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Folder for settings, logs and the trace; a temporary one where it is left out.
    #[arg(long)]
    pub out: Option<PathBuf>,
}

impl Cli {
    pub fn run(self) -> ExitCode {
        let done = match self.command {
            Command::Run { config } => run::run(&config),
            Command::Live { config, listen, name } => live::run(&config, listen, name),
            Command::Check { config } => run::check(&config),
            Command::Status { front, json } => console::ask(&front, &Request::Status, json),
            Command::Members { front, json } => console::ask(&front, &Request::Members, json),
            Command::Pin { level, lasts, fleet, front } => {
                let seconds = lasts.as_secs_f64();
                let ask = match fleet {
                    true => Request::PinFleet { level: Some(level), seconds },
                    false => Request::PinLevel { level, seconds },
                };
                console::ask(&front, &ask, false)
            }
            Command::Unpin { fleet: true, front } => {
                console::ask(&front, &Request::PinFleet { level: None, seconds: 0.0 }, false)
            }
            Command::Unpin { fleet: false, front } => console::ask(&front, &Request::UnpinLevel, false),
            Command::Fleet { command: Fleet::Status { front, json } } => {
                console::ask(&front, &Request::Fleet, json)
            }
            Command::Fleet { command: Fleet::Site { name, order, lasts, front } } => {
                let order = match order {
                    SiteOrder::Lost => shalespindle_console::Order::Lost,
                    SiteOrder::KeepOut => shalespindle_console::Order::KeepOut,
                    SiteOrder::Return => shalespindle_console::Order::Return,
                };
                console::ask(&front, &Request::Site { name, order, seconds: lasts.as_secs_f64() }, false)
            }
            Command::Fleet { command: Fleet::Kept { config, json } } => kept::kept(&config, json),
            Command::Fleet { command: Fleet::Diff { front, json } } => console::diff(&front, json),
            Command::Resolve { name, servers, within } => resolve::resolve(&name, &servers, *within),
            Command::Schema { feed } => run::schema(feed),
            Command::Standin { config, feed } => lab::standin(&config, feed),
            Command::Lab { command } => lab::lab(command),
        };
        done.unwrap_or_else(|why| {
            eprintln!("shalespindle: {why}");
            ExitCode::FAILURE
        })
    }
}
