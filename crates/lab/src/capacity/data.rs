//! Reads the measured runs behind the capacity page, stored under `docs/capacity/`.

use serde::de::DeserializeOwned;
use serde::Deserialize;
use std::path::Path;

/// Error reading the runs.
#[derive(Debug, thiserror::Error)]
pub enum RunsFault {
    /// The file is missing or cannot be read.
    #[error("{file}: {why}; run the command that docs/CAPACITY.md names for it")]
    File {
        /// Name of the file.
        file: String,
        /// Error of the operating system.
        why: std::io::Error,
    },
    /// A line is not valid output of the command.
    #[error("{file}, line {line}: {why}; every line must be one line of the command's output")]
    Line {
        /// Name of the file.
        file: String,
        /// Line number, counted from 1.
        line: usize,
        /// Error of the JSON parser.
        why: serde_json::Error,
    },
}

/// Simulated fronts that replicate to each other: a line of `lab fleet-size`.
#[derive(Clone, Debug, Deserialize)]
pub struct Gossip {
    pub fronts: usize,
    pub idle_bytes: f64,
    pub idle_frames: f64,
    pub idle_received_bytes: f64,
    pub idle_core_share: f64,
    pub memory_mb: f64,
    pub churn_bytes: f64,
    pub spread_all: f64,
}

/// Front processes that replicate to each other: a line of `lab fleet-size --processes`.
#[derive(Clone, Debug, Deserialize)]
pub struct Processes {
    pub fronts: usize,
    pub sent_bytes: f64,
    pub sent_frames: f64,
    pub core_share: f64,
    pub memory_mb_max: f64,
}

/// Simulated fronts with coordinators: a line of `lab fleet-size --coordinators`.
#[derive(Clone, Debug, Deserialize)]
pub struct Coordinated {
    pub fronts: usize,
    pub scenario: String,
    pub front_bytes_max: f64,
    pub front_bytes_median: f64,
    pub coordinator_bytes_max: f64,
    pub front_core_share: f64,
    pub coordinator_core_share: f64,
    pub front_memory_mb: f64,
    pub change_all_s: f64,
    /// None: the fleet did not recover within the run.
    pub recovered_s: Option<f64>,
    pub age_max_s: f64,
    pub suspected_wrongly: u64,
    pub behind: u64,
    pub went_back: u64,
    pub resurrected: u64,
}

/// A simulated chain of fronts: a line of `lab chain`.
#[derive(Clone, Debug, Deserialize)]
pub struct Chain {
    pub hops: usize,
    pub failing: f64,
    pub at: String,
    pub stood: f64,
    pub tries_at_last: f64,
    pub tries: f64,
    pub p50_s: f64,
    pub p99_s: f64,
    pub run_for_nobody: f64,
}

/// Latency that a front adds on sockets: a line of `lab throughput --rate`.
#[derive(Clone, Debug, Deserialize)]
pub struct Added {
    pub rate: f64,
    pub servers: usize,
    pub relay_p99_us: u64,
    pub front_p99_us: u64,
    pub added_p50_us: i64,
    pub added_p99_us: i64,
    pub failed: u64,
}

/// All runs, one list per file.
#[derive(Clone, Debug)]
pub struct Runs {
    pub gossip: Vec<Gossip>,
    pub churn: Vec<Gossip>,
    pub processes: Vec<Processes>,
    pub steady: Vec<Coordinated>,
    pub troubles: Vec<Coordinated>,
    pub chain: Vec<Chain>,
    pub added: Vec<Added>,
}

impl Runs {
    /// Reads all runs from a folder.
    pub fn read(folder: &Path) -> Result<Runs, RunsFault> {
        Ok(Runs {
            gossip: lines(folder, "gossip-idle.jsonl")?,
            churn: lines(folder, "gossip-calls.jsonl")?,
            processes: lines(folder, "processes.jsonl")?,
            steady: lines(folder, "coordinators-steady.jsonl")?,
            troubles: lines(folder, "coordinators-troubles.jsonl")?,
            chain: lines(folder, "chain.jsonl")?,
            added: lines(folder, "added.jsonl")?,
        })
    }
}

fn lines<T: DeserializeOwned>(folder: &Path, name: &str) -> Result<Vec<T>, RunsFault> {
    let file = name.to_string();
    let text = std::fs::read_to_string(folder.join(name))
        .map_err(|why| RunsFault::File { file: file.clone(), why })?;
    let read = |(n, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|why| RunsFault::Line { file: file.clone(), line: n + 1, why })
    };
    text.lines().enumerate().map(read).collect()
}
