//! Measures the traffic, processor time and memory of an idle fleet of real processes. Simulated fronts are
//! compared with these figures.

use crate::fleet::{Fleet, FleetShape};
use serde::Serialize;
use std::io;
use std::time::{Duration, Instant};

/// Clock ticks per second of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes of a memory page in `/proc`.
const PAGE_BYTES: f64 = 4096.0;
/// Maximum wait until every front sees all others alive.
const ALIVE_TIMEOUT: Duration = Duration::from_secs(120);
/// Maximum size of a datagram in bytes: the default of the settings.
const MAX_DATAGRAM_BYTES: usize = 8000;

/// Means over all processes; bytes and frames are per second.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessCost {
    pub fronts: usize,
    /// Duration of the measurement, seconds.
    pub seconds: f64,
    pub sent_bytes: f64,
    pub received_bytes: f64,
    pub sent_frames: f64,
    /// Processor time of a process as a share of elapsed time.
    pub core_share: f64,
    /// Resident memory of a process, megabytes: mean and maximum.
    pub memory_mb: f64,
    pub memory_mb_max: f64,
}

/// Sums over all processes since their start.
#[derive(Clone, Copy, Default)]
struct Totals {
    sent_bytes: u64,
    received_bytes: u64,
    sent_frames: u64,
    processor_seconds: f64,
}

/// Starts `fronts` fronts that send directly to each other and measures them for `seconds`.
pub fn measure_processes(program: &std::path::Path, fronts: usize, seconds: f64) -> io::Result<ProcessCost> {
    let mut shape = FleetShape::new(program, fronts, 1);
    shape.heartbeat_interval = Duration::from_millis(500);
    shape.bytes = MAX_DATAGRAM_BYTES;
    shape.relayed = false;
    let mut fleet = Fleet::new(&shape, None)?;
    (0..fronts).try_for_each(|front| fleet.start(front))?;
    wait_until_alive(&fleet)?;
    let begin = Instant::now();
    let before = totals(&fleet)?;
    std::thread::sleep(Duration::from_secs_f64(seconds));
    let after = totals(&fleet)?;
    let elapsed = begin.elapsed().as_secs_f64();
    let memory = (0..fronts).map(|front| memory_mb(&fleet, front)).collect::<io::Result<Vec<f64>>>()?;
    let mean = |before: f64, after: f64| (after - before) / elapsed / fronts as f64;
    Ok(ProcessCost {
        fronts,
        seconds: elapsed,
        sent_bytes: mean(before.sent_bytes as f64, after.sent_bytes as f64),
        received_bytes: mean(before.received_bytes as f64, after.received_bytes as f64),
        sent_frames: mean(before.sent_frames as f64, after.sent_frames as f64),
        core_share: mean(before.processor_seconds, after.processor_seconds),
        memory_mb: memory.iter().sum::<f64>() / fronts as f64,
        memory_mb_max: memory.iter().copied().fold(0.0, f64::max),
    })
}

fn wait_until_alive(fleet: &Fleet) -> io::Result<()> {
    let begin = Instant::now();
    let sees_all_alive = |front| {
        fleet.standing(front).is_some_and(|standing| standing.peers.iter().all(|peer| peer.state == "alive"))
    };
    while !(0..fleet.count()).all(sees_all_alive) {
        if begin.elapsed() > ALIVE_TIMEOUT {
            return Err(io::Error::other("not every front saw all others alive in time"));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

fn totals(fleet: &Fleet) -> io::Result<Totals> {
    let mut totals = Totals::default();
    for front in 0..fleet.count() {
        let standing = fleet.standing(front).ok_or_else(|| fleet.error_with_log(front, "does not answer"))?;
        let count = |name: &str| standing.counts.get(name).copied().unwrap_or(0);
        totals.sent_bytes += count("bytes_sent");
        totals.received_bytes += count("bytes_taken");
        totals.sent_frames += count("frames_sent");
        totals.processor_seconds += processor_seconds(fleet, front)?;
    }
    Ok(totals)
}

fn read_proc_file(fleet: &Fleet, front: usize, file: &str) -> io::Result<String> {
    let id = fleet.process_id(front).ok_or_else(|| fleet.error_with_log(front, "is not running"))?;
    std::fs::read_to_string(format!("/proc/{id}/{file}"))
}

fn processor_seconds(fleet: &Fleet, front: usize) -> io::Result<f64> {
    let stat = read_proc_file(fleet, front, "stat")?;
    // The name in parentheses may hold spaces; user and system time are the 12th and 13th fields after it.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace().skip(11).take(2);
    Ok(fields.filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND)
}

fn memory_mb(fleet: &Fleet, front: usize) -> io::Result<f64> {
    let statm = read_proc_file(fleet, front, "statm")?;
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    Ok(pages.ok_or_else(|| io::Error::other("cannot read the resident size from /proc/PID/statm"))?
        * PAGE_BYTES
        / 1e6)
}
