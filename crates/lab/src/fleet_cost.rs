//! Measures what replication between fronts costs on the call path.
//!
//! The same load goes through a front without peers, one of four fronts that replicate to each other, and one
//! of four that also store their records on disk; in turn, in one run. All of them share this machine's
//! cores, so the peers' work counts against the measured front.

use crate::throughput::{drive, scenario, servers, Load, Measured, Pace, SERVERS, WINDOW};
use shalespindle_settings::{FleetSettings, Settings};
use shalespindle_sockets::MonotonicClock;
use shalespindle_standin::loopback::{free_address, networks};
use shalespindle_transport::Service;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Number of fronts in a fleet.
const FRONTS: usize = 4;
/// Duration of a call: long enough that its records are replicated before it ends.
const CALL_DURATION: Duration = Duration::from_secs(1);

/// Results of one front: in a closed loop, then in an open loop at half of the rate of the front without
/// peers.
pub type LoadResults = (Measured, Measured);

/// The comparison over all rounds.
#[derive(Clone, Debug, Default)]
pub struct FleetCost {
    /// Per round: the front without peers, one of four fronts, one of four fronts with a file.
    pub rounds: Vec<[LoadResults; 3]>,
    /// Bytes per second that the measured front sent to its peers under load, without and with a file.
    pub sent_a_second: [f64; 2],
}

/// Fleet settings of front number `index`; `with_file` adds a file for its records.
fn fleet_settings(
    folder: &Path,
    index: usize,
    network: u8,
    listen: &[SocketAddr],
    with_file: bool,
) -> io::Result<FleetSettings> {
    let key = folder.join("key");
    std::fs::write(&key, "5a".repeat(32))?;
    let peers = listen.iter().enumerate();
    let peers: String =
        peers.map(|(n, at)| format!("[[peers]]\nname = \"f{n}\"\naddress = \"{at}\"\n")).collect();
    let file = match with_file {
        true => format!("keep_file = {:?}\n", folder.join(format!("{network}-{index}.redb"))),
        false => String::new(),
    };
    let text = format!(
        "name = \"f{index}\"\nlisten = \"{}\"\nkey_file = {key:?}\nfacts = 400000\n{file}{peers}",
        listen[index]
    );
    toml::from_str(&text).map_err(io::Error::other)
}

/// Measures `rounds` rounds of six measurements of `seconds` each.
pub fn measure(seconds: f64, rounds: usize) -> io::Result<FleetCost> {
    let scenario = scenario(SERVERS)?;
    let clock = MonotonicClock::new();
    let servers = servers(&scenario, &clock, false)?;
    let folder = tempfile::tempdir()?;
    let plain = scenario.settings(SocketAddr::from(([127, 0, 0, 1], 0)), servers.feed, &[], 0.05);
    let mut services = vec![Service::start(&plain, 1, clock.clone())?];
    let mut measured = vec![0];
    for with_file in [false, true] {
        let network = networks();
        let listen: Vec<SocketAddr> =
            (0..FRONTS).map(|front| free_address(network, front)).collect::<io::Result<_>>()?;
        measured.push(services.len());
        for index in 0..FRONTS {
            let fleet = Some(fleet_settings(folder.path(), index, network, &listen, with_file)?);
            let settings = Settings { fleet, ..plain.clone() };
            services.push(Service::start(&settings, 1 + index as u64, clock.clone())?);
        }
    }
    std::thread::sleep(Duration::from_millis(1500));
    let address = |n: usize| services[measured[n]].address();
    let mut out = FleetCost::default();
    for _ in 0..rounds {
        let closed = |n| drive(address(n), &Load::of(Pace::Closed(WINDOW), seconds, CALL_DURATION));
        let closed = [closed(0)?, closed(1)?, closed(2)?];
        let rate = closed[0].per_second / 2.0;
        let half = |n| drive(address(n), &Load::of(Pace::Open(rate), seconds, CALL_DURATION));
        let half = [half(0)?, half(1)?, half(2)?];
        let [c0, c1, c2] = closed;
        let [h0, h1, h2] = half;
        out.rounds.push([(c0, h0), (c1, h1), (c2, h2)]);
    }
    for (n, sent) in out.sent_a_second.iter_mut().enumerate() {
        let status = services[measured[n + 1]].fleet();
        let bytes = status.and_then(|s| s.counts.get("bytes_sent").copied()).unwrap_or(0);
        *sent = bytes as f64 / (2.0 * seconds * rounds as f64);
    }
    drop(services);
    servers.finish();
    Ok(out)
}

impl fmt::Display for FleetCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "closed loop of {WINDOW}, calls last {CALL_DURATION:?}; then open loop at half of the plain front's rate")?;
        for round in &self.rounds {
            for ((closed, half), name) in round.iter().zip(["alone", "of four", "of four, kept"]) {
                writeln!(
                    f,
                    "{name:14} {:6.0} attaches/s, {:.3} of alone; at half p50 {} us, p99 {} us; lost {}, refused {}",
                    closed.per_second,
                    closed.per_second / round[0].0.per_second,
                    half.p50_us,
                    half.p99_us,
                    closed.lost + half.lost,
                    closed.refused + half.refused
                )?;
            }
        }
        let median = |of: &dyn Fn(&[LoadResults; 3]) -> f64| -> (f64, f64, f64) {
            let mut all: Vec<f64> = self.rounds.iter().map(of).collect();
            all.sort_by(f64::total_cmp);
            let quantile = |fraction: f64| {
                all.get((fraction * (all.len().max(1) - 1) as f64).round() as usize).copied().unwrap_or(0.0)
            };
            (quantile(0.5), quantile(0.25), quantile(0.75))
        };
        for (n, name) in [(1, "of four"), (2, "of four, kept")] {
            let (rate, low, high) = median(&|r| r[n].0.per_second / r[0].0.per_second);
            let (p99, p99_low, p99_high) = median(&|r| r[n].1.p99_us as f64 / r[0].1.p99_us as f64);
            writeln!(
                f,
                "{name}: median of rounds {rate:.3} of the throughput alone (quartiles {low:.3} to {high:.3}), \
                 p99 at half {p99:.2} times ({p99_low:.2} to {p99_high:.2})"
            )?;
        }
        let [without_file, with_file] = self.sent_a_second;
        writeln!(f, "bytes per second of load sent to peers: {without_file:.0} without a file, {with_file:.0} with a file")
    }
}
