//! Derives rates from the host's counters.

use crate::observation::{Observation, SiteObservation};
use crate::table::SiteTable;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Number of samples over which rates are smoothed.
const SMOOTHING_SAMPLES: f64 = 4.0;

/// One server as the host observes it; counters start with the front.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSample {
    pub pool: u16,
    pub address: IpAddr,
    /// Whether it answers; `None`: not tried yet, or not in service according to the list.
    pub reached: Option<bool>,
    /// Number of set-ups established.
    pub established: u64,
    /// Number of connections that the server ended.
    pub disconnects: u64,
    /// The last wait that it reported, seconds.
    pub wait: Option<f64>,
}

/// What the host observes, and what is requested of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    pub servers: Vec<ServerSample>,
    /// Number of attaches requested since the start, by index of the procedure.
    pub requested: Vec<u64>,
}

/// The smoothed rate of a counter.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    last_count: u64,
    per_second: f64,
}

impl Rate {
    fn add(&mut self, count: u64, seconds: f64, weight: f64) {
        let current = count.saturating_sub(self.last_count) as f64 / seconds;
        self.per_second += weight * (current - self.per_second);
        self.last_count = count;
    }
}

/// Turns counts into rates.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateEstimator {
    sampled_at: Option<f64>,
    samples: u32,
    established: Vec<Rate>,
    requested: Vec<Rate>,
    /// By pool and address of the server.
    disconnects: BTreeMap<(u16, IpAddr), u64>,
}

impl RateEstimator {
    /// Returns the next observation, and the site of each server that has ended connections since the last
    /// sample.
    pub fn observation(&mut self, now: f64, sample: &Sample, table: &SiteTable) -> (Observation, Vec<usize>) {
        let seconds = self.sampled_at.map_or(1.0, |at| (now - at).max(1e-3));
        self.sampled_at = Some(now);
        self.samples += 1;
        // The first sample only sets the start of the counters. The next ones are averaged with equal weight
        // until there are enough for exponential smoothing.
        let weight = match self.samples {
            1 => 0.0,
            n => (1.0 / f64::from(n - 1)).max(2.0 / (SMOOTHING_SAMPLES + 1.0)),
        };
        let mut failed_sites = Vec::new();
        let mut sites = vec![SiteObservation::default(); table.len()];
        let mut established = vec![0; table.len()];
        let mut waits = vec![(0.0, 0.0); table.len()];
        for server in &sample.servers {
            let Some(site) = table.site_of_server(server.pool, Some(server.address)) else { continue };
            let disconnects =
                self.disconnects.entry((server.pool, server.address)).or_insert(server.disconnects);
            if std::mem::replace(disconnects, server.disconnects) < server.disconnects {
                failed_sites.push(site);
            }
            established[site] += server.established;
            let Some(reached) = server.reached else { continue };
            sites[site].tried = sites[site].tried.saturating_add(1);
            sites[site].reached += u16::from(reached);
            if let Some(wait) = server.wait.filter(|_| reached) {
                waits[site] = (waits[site].0 + wait, waits[site].1 + 1.0);
            }
        }
        self.disconnects.retain(|(pool, address), _| {
            sample.servers.iter().any(|s| (s.pool, s.address) == (*pool, *address))
        });
        self.established.resize(table.len(), Rate::default());
        for (index, observation) in sites.iter_mut().enumerate() {
            self.established[index].add(established[index], seconds, weight);
            observation.established = hundredths(self.established[index].per_second);
            let (sum, count) = waits[index];
            observation.wait_code =
                if count > 0.0 { (sum / count * 1000.0).clamp(0.0, 65_000.0) as u16 + 1 } else { 0 };
        }
        self.requested.resize(sample.requested.len(), Rate::default());
        for (rate, count) in self.requested.iter_mut().zip(&sample.requested) {
            rate.add(*count, seconds, weight);
        }
        let requested = self.requested.iter().map(|r| hundredths(r.per_second)).collect();
        (Observation { sequence: self.samples, sites, requested }, failed_sites)
    }
}

/// Converts a rate to hundredths per second.
fn hundredths(per_second: f64) -> u32 {
    (per_second * 100.0).round().clamp(0.0, f64::from(u32::MAX)) as u32
}
