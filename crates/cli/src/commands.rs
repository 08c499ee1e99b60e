//! Command-line arguments and the dispatch of sub-commands.

use crate::{console, lab, live, resolve, run, stored_state};
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
    /// Runs one front with settings from a TOML file.
    Run {
        #[arg(long)]
        config: PathBuf,
    },
    /// Runs one live front on the operators' platform, configured by environment variables and a JSON file.
    Live {
        /// The JSON configuration file of the front.
        #[arg(long, env = "ROUTER_CONFIG")]
        config: PathBuf,
        /// The address on which callers connect; defaults to the address in the file.
        #[arg(long, env = "ROUTER_LISTEN")]
        listen: Option<std::net::SocketAddr>,
        /// The front's name in the log; defaults to the name in the file.
        #[arg(long, env = "ROUTER_NAME")]
        name: Option<String>,
    },
    /// Validates settings without starting a front.
    Check {
        #[arg(long)]
        config: PathBuf,
    },
    /// Shows the state of a running front: level of reduced service, attaches, counters.
    Status {
        #[command(flatten)]
        front: console::FrontSelector,
        #[arg(long)]
        json: bool,
    },
    /// Lists the servers that a running front knows: their state in the pool list and in DNS, and the
    /// resulting state.
    Members {
        #[command(flatten)]
        front: console::FrontSelector,
        #[arg(long)]
        json: bool,
    },
    /// Pins a level of reduced service on a running front for a time; the pin expires automatically.
    Pin {
        /// The level to pin; 0 is full service.
        level: usize,
        /// How long the pin lasts, with its unit, such as 5m.
        #[arg(long = "for", value_name = "LASTS")]
        duration: humantime::Duration,
        /// Applies to all fronts of the front's fleet.
        #[arg(long)]
        fleet: bool,
        #[command(flatten)]
        front: console::FrontSelector,
    },
    /// Removes a pin before it expires.
    Unpin {
        /// Applies to all fronts of the front's fleet.
        #[arg(long)]
        fleet: bool,
        #[command(flatten)]
        front: console::FrontSelector,
    },
    /// Shows and controls the fleet of a running front.
    Fleet {
        #[command(subcommand)]
        command: Fleet,
    },
    /// Looks up an SRV name the way a front does and prints each step.
    Resolve {
        /// The SRV name, such as _sip._tcp.auth.example.org.
        name: String,
        /// Address of a name server; may be given several times.
        #[arg(long = "server", required = true)]
        servers: Vec<std::net::SocketAddr>,
        /// Timeout of each query.
        #[arg(long, default_value = "1s")]
        within: humantime::Duration,
    },
    /// Prints the JSON schema of the settings.
    Schema {
        /// Prints the schema of a line of the pool list's feed instead.
        #[arg(long)]
        feed: bool,
    },
    /// Runs the scripted servers and the pool list of a scenario until SIGTERM or SIGINT.
    Standin {
        #[arg(long)]
        config: PathBuf,
        /// Address of the pool list's feed for the first front; further fronts use the following ports.
        #[arg(long, default_value = "127.0.0.1:7060")]
        feed: std::net::SocketAddr,
    },
    /// Simulations, trials and measurements.
    Lab {
        #[command(subcommand)]
        command: Lab,
    },
}

#[derive(Subcommand)]
pub enum Fleet {
    /// Shows the peers with their states, the size of the local replica of each, and counters.
    Status {
        #[command(flatten)]
        front: console::FrontSelector,
        #[arg(long)]
        json: bool,
    },
    /// Sends an operator's order about a site to all fronts of the fleet.
    Site {
        /// Name of the site in [[sites]].
        name: String,
        #[arg(value_enum)]
        order: SiteOrder,
        /// How long `lost` and `keep-out` last, with the unit, such as 10m.
        #[arg(long = "for", value_name = "LASTS", default_value = "10m")]
        duration: humantime::Duration,
        #[command(flatten)]
        front: console::FrontSelector,
    },
    /// Lists servers whose states differ between the fronts' pool lists, and the effective state of each. The
    /// exit code is 1 if there are any.
    Diff {
        #[command(flatten)]
        front: console::FrontSelector,
        #[arg(long)]
        json: bool,
    },
    /// Checks and summarizes the state that a stopped front has stored on disk (`fleet.keep_file`). The exit
    /// code is 1 if any of it would be rejected at the next start.
    Kept {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

/// An operator's order about a site.
#[derive(Clone, Copy, clap::ValueEnum)]
pub enum SiteOrder {
    /// The site is treated as lost, whatever the fronts observe.
    Lost,
    /// No front sends new attaches to its servers.
    KeepOut,
    /// The site returns to service in steps, starting now.
    Return,
}

#[derive(Subcommand)]
pub enum Lab {
    /// Plays a scenario with fronts, stand-ins and callers on loopback sockets and checks the routing rules.
    Play {
        scenario: PathBuf,
        #[command(flatten)]
        with: RunOptions,
        /// Runs all fronts inside this process instead of one process each; then none can be killed or
        /// stopped.
        #[arg(long)]
        inside: bool,
        /// Disables the levels of reduced service.
        #[arg(long)]
        without_levels: bool,
    },
    /// Simulates a scenario under virtual time.
    Sim {
        scenario: PathBuf,
        #[command(flatten)]
        with: RunOptions,
        /// Replaces the decision module with a baseline.
        #[arg(long, value_enum)]
        baseline: Option<lab::Baseline>,
        /// Overrides the number of fronts.
        #[arg(long)]
        fronts: Option<usize>,
        /// `off` disables the fleet's plan for the scenario's sites.
        #[arg(long, value_enum, default_value = "on")]
        plan: lab::Plan,
    },
    /// Compares two scenarios, or one with a baseline, in runs paired by seed under virtual time.
    Compare {
        a: PathBuf,
        /// The other scenario; defaults to the first one.
        b: Option<PathBuf>,
        /// Number of pairs; seeds count up from --seed.
        #[arg(long, default_value_t = 20)]
        pairs: u64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Overrides the period of the scenarios' repeated faults, in seconds; each lasts half of it.
        #[arg(long)]
        period: Option<f64>,
        /// Runs on loopback sockets instead of under virtual time, with this many pairs at once; 0 is virtual
        /// time.
        #[arg(long, default_value_t = 0)]
        sockets: usize,
        /// Disables the levels of reduced service in B.
        #[arg(long, conflicts_with = "baseline")]
        without_levels: bool,
        /// `off` disables the fleet's plan for sites in B.
        #[arg(long, value_enum, default_value = "on")]
        plan: lab::Plan,
        /// Overrides the number of fronts in both.
        #[arg(long)]
        fronts: Option<usize>,
        /// Replaces the decision module with a baseline in B.
        #[arg(long, value_enum)]
        baseline: Option<lab::Baseline>,
    },
    /// Prints a table of the decision module against the baselines, by number of fronts and kind of fault.
    Scale {
        /// Gives load, servers and callers; its faults are replaced by one of each kind.
        scenario: PathBuf,
        #[arg(long, value_delimiter = ',', default_value = "8,64,281")]
        fronts: Vec<usize>,
        /// Kinds of fault as scenarios name them; defaults to all.
        #[arg(long, value_delimiter = ',')]
        kinds: Vec<shalespindle_lab::scenario::FaultKind>,
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// Runs the stand-in name server in each of its scripts on sockets and checks the resulting membership.
    Names {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of concurrent runs.
        #[arg(long, default_value_t = 6)]
        at_once: usize,
    },
    /// Checks the membership module with every sequence of events of two sources up to a depth.
    Walk {
        #[arg(long, default_value_t = 5)]
        depth: usize,
    },
    /// Runs the fronts of one fleet as processes with seeded faults on the paths between them, and checks
    /// that their replicas agree at the end.
    Fleet {
        #[arg(long, default_value_t = 5)]
        fronts: usize,
        /// Number of faults and list changes, three heartbeats apart.
        #[arg(long, default_value_t = 40)]
        steps: usize,
        #[command(flatten)]
        with: RunOptions,
    },
    /// Measures under virtual time how traffic between fronts grows with the fleet: bytes per second, the
    /// propagation time of a warning, the catch-up of a front that restarts without state. Prints one JSON
    /// line per size.
    FleetSize {
        #[arg(long, num_args = 1.., default_values_t = [8, 64])]
        fronts: Vec<usize>,
        /// Measures idle processes of this program for this many seconds instead, as a reference for
        /// simulated fronts.
        #[arg(long, value_name = "SECONDS")]
        processes: Option<f64>,
        /// Makes the simulated fronts clients of this many coordinators instead of peers of each other.
        #[arg(long, conflicts_with = "processes")]
        coordinators: Option<usize>,
        /// The course of a run with coordinators.
        #[arg(long, value_enum, default_value_t = shalespindle_lab::coordinated::Scenario::Steady)]
        scenario: shalespindle_lab::coordinated::Scenario,
        /// Number of established calls in the whole fleet.
        #[arg(long, default_value_t = 1000)]
        calls: u64,
        /// New calls per second at each front.
        #[arg(long, default_value_t = 1.0)]
        calls_a_second: f64,
        /// Fraction of frames lost.
        #[arg(long, default_value_t = 0.01)]
        loss: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Simulates calls along a chain of fronts under virtual time, with 0.1%, 1% and 10% of the tries failing
    /// at one hop and at all hops. Prints one JSON line per case: tries at the last server, added time, and
    /// work done for callers that have given up.
    Chain {
        #[arg(long, default_value_t = 18)]
        hops: usize,
        #[arg(long, default_value_t = 2000)]
        calls: u32,
        /// Patience of the callers, in seconds.
        #[arg(long, default_value_t = 9.0)]
        patience: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Writes the tables of the capacity page from the stored runs.
    CapacityPage {
        #[arg(long, default_value = "docs/capacity")]
        data: PathBuf,
        #[arg(long, default_value = "docs/CAPACITY.md")]
        page: PathBuf,
    },
    /// Plays the embedded bad-day scenario on sockets.
    BadDay {
        #[command(flatten)]
        with: RunOptions,
    },
    /// Measures attaches per second through one front and through a bare relay on the same sockets, and the
    /// latency that a front adds.
    Throughput {
        /// Length of each measurement, in seconds.
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        #[arg(long, default_value_t = 3)]
        rounds: usize,
        /// Fixed rate of set-ups per second instead of the maximum; prints the latency that a front adds to a
        /// relay.
        #[arg(long, conflicts_with = "fleet")]
        rate: Option<f64>,
        /// Servers in scope, with --rate.
        #[arg(long, default_value_t = 16, requires = "rate")]
        servers: usize,
        /// Measures the cost of replication instead: a single front against one of a fleet of four.
        #[arg(long)]
        fleet: bool,
    },
}

#[derive(Args, Clone)]
pub struct RunOptions {
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Folder for settings, logs and the trace; defaults to a temporary one.
    #[arg(long)]
    pub out: Option<PathBuf>,
}

impl Cli {
    pub fn run(self) -> ExitCode {
        let result = match self.command {
            Command::Run { config } => run::run(&config),
            Command::Live { config, listen, name } => live::run(&config, listen, name),
            Command::Check { config } => run::check(&config),
            Command::Status { front, json } => console::ask(&front, &Request::Status, json),
            Command::Members { front, json } => console::ask(&front, &Request::Members, json),
            Command::Pin { level, duration, fleet, front } => {
                let seconds = duration.as_secs_f64();
                let request = match fleet {
                    true => Request::PinFleet { level: Some(level), seconds },
                    false => Request::PinLevel { level, seconds },
                };
                console::ask(&front, &request, false)
            }
            Command::Unpin { fleet: true, front } => {
                console::ask(&front, &Request::PinFleet { level: None, seconds: 0.0 }, false)
            }
            Command::Unpin { fleet: false, front } => console::ask(&front, &Request::UnpinLevel, false),
            Command::Fleet { command: Fleet::Status { front, json } } => {
                console::ask(&front, &Request::Fleet, json)
            }
            Command::Fleet { command: Fleet::Site { name, order, duration, front } } => {
                let order = match order {
                    SiteOrder::Lost => shalespindle_console::Order::Lost,
                    SiteOrder::KeepOut => shalespindle_console::Order::KeepOut,
                    SiteOrder::Return => shalespindle_console::Order::Return,
                };
                console::ask(&front, &Request::Site { name, order, seconds: duration.as_secs_f64() }, false)
            }
            Command::Fleet { command: Fleet::Kept { config, json } } => stored_state::show(&config, json),
            Command::Fleet { command: Fleet::Diff { front, json } } => console::diff(&front, json),
            Command::Resolve { name, servers, within } => resolve::resolve(&name, &servers, *within),
            Command::Schema { feed } => run::schema(feed),
            Command::Standin { config, feed } => lab::standin(&config, feed),
            Command::Lab { command } => lab::lab(command),
        };
        result.unwrap_or_else(|error| {
            eprintln!("shalespindle: {error}");
            ExitCode::FAILURE
        })
    }
}
