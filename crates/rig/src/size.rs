//! What a fleet of real processes spends when nothing happens: the figures that simulated fronts are held against.

use crate::fleet::{Fleet, FleetShape};
use serde::Serialize;
use std::io;
use std::time::{Duration, Instant};

/// Clock ticks a second of the processor times in `/proc`.
const TICKS_A_SECOND: f64 = 100.0;
/// Bytes of a page of memory in `/proc`.
const PAGE: f64 = 4096.0;
/// The longest wait until all fronts hear each other.
const MET_WITHIN: Duration = Duration::from_secs(120);
/// Bytes of a datagram at most, as the settings have it where they say nothing.
const DATAGRAM: usize = 8000;

/// Means over all processes, a second.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessCost {
    pub fronts: usize,
    /// Seconds of the measurement.
    pub seconds: f64,
    pub sent_bytes: f64,
    pub received_bytes: f64,
    pub sent_frames: f64,
    /// Processor time of a process over real time.
    pub core_share: f64,
    /// Resident memory of a process, megabytes: mean and most.
    pub memory_mb: f64,
    pub memory_mb_max: f64,
}

#[derive(Clone, Copy, Default)]
struct Totals {
    sent_bytes: u64,
    received_bytes: u64,
    sent_frames: u64,
    processor_seconds: f64,
}

/// Starts so many fronts that send straight to each other and measures them for some seconds.
pub fn measure_processes(program: &std::path::Path, fronts: usize, seconds: f64) -> io::Result<ProcessCost> {
    let mut shape = FleetShape::new(program, fronts, 1);
    shape.every = Duration::from_millis(500);
    shape.bytes = DATAGRAM;
    shape.relayed = false;
    let mut fleet = Fleet::new(&shape, None)?;
    (0..fronts).try_for_each(|front| fleet.start(front))?;
    wait_until_met(&fleet)?;
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

fn wait_until_met(fleet: &Fleet) -> io::Result<()> {
    let begin = Instant::now();
    let meets = |front| {
        fleet.standing(front).is_some_and(|standing| standing.peers.iter().all(|peer| peer.state == "alive"))
    };
    while !(0..fleet.count()).all(meets) {
        if begin.elapsed() > MET_WITHIN {
            return Err(io::Error::other("the fronts did not all hear each other"));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

fn totals(fleet: &Fleet) -> io::Result<Totals> {
    let mut totals = Totals::default();
    for front in 0..fleet.count() {
        let standing = fleet.standing(front).ok_or_else(|| fleet.told(front, "does not answer"))?;
        let count = |name: &str| standing.counts.get(name).copied().unwrap_or(0);
        totals.sent_bytes += count("bytes_sent");
        totals.received_bytes += count("bytes_taken");
        totals.sent_frames += count("frames_sent");
        totals.processor_seconds += processor_seconds(fleet, front)?;
    }
    Ok(totals)
}

fn proc_file(fleet: &Fleet, front: usize, file: &str) -> io::Result<String> {
    let id = fleet.process_id(front).ok_or_else(|| fleet.told(front, "is not running"))?;
    std::fs::read_to_string(format!("/proc/{id}/{file}"))
}

fn processor_seconds(fleet: &Fleet, front: usize) -> io::Result<f64> {
    let stat = proc_file(fleet, front, "stat")?;
    // The name in parentheses may hold spaces; user and system time are the 12th and 13th fields after it.
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace().skip(11).take(2);
    Ok(fields.filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / TICKS_A_SECOND)
}

fn memory_mb(fleet: &Fleet, front: usize) -> io::Result<f64> {
    let statm = proc_file(fleet, front, "statm")?;
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    Ok(pages.ok_or_else(|| io::Error::other("statm cannot be read"))? * PAGE / 1e6)
}
