//! From what the host counts to rates.

use crate::observation::{Observation, SiteObservation};
use crate::table::SiteTable;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Counts are smoothed over so many observations.
const SMOOTHING_SAMPLES: f64 = 4.0;

/// One server as the host sees it; counts run since the front's start.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSample {
    pub pool: u16,
    pub address: IpAddr,
    /// It answers; none: not tried yet, or its list took it out.
    pub reached: Option<bool>,
    pub established: u64,
    /// Connections that it ended.
    pub disconnects: u64,
    /// Wait that it told last, seconds.
    pub wait: Option<f64>,
}

/// What the host sees, and what is requested of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
    pub servers: Vec<ServerSample>,
    /// Attaches requested so far, by the place of their procedure.
    pub requested: Vec<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    last: u64,
    a_second: f64,
}

impl Rate {
    fn add(&mut self, count: u64, seconds: f64, weight: f64) {
        let now = count.saturating_sub(self.last) as f64 / seconds;
        self.a_second += weight * (now - self.a_second);
        self.last = count;
    }
}

/// Turns counts into rates.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateEstimator {
    at: Option<f64>,
    observations: u32,
    established: Vec<Rate>,
    requested: Vec<Rate>,
    disconnects: BTreeMap<(u16, IpAddr), u64>,
}

impl RateEstimator {
    /// The next observation, and the sites of which a server fell since the last one.
    pub fn observation(&mut self, now: f64, seen: &Sample, table: &SiteTable) -> (Observation, Vec<usize>) {
        let seconds = self.at.map_or(1.0, |at| (now - at).max(1e-3));
        self.at = Some(now);
        self.observations += 1;
        // The first one only learns where counts begin; the next ones count in full until there are enough to smooth.
        let weight = match self.observations {
            1 => 0.0,
            n => (1.0 / f64::from(n - 1)).max(2.0 / (SMOOTHING_SAMPLES + 1.0)),
        };
        let mut fell = Vec::new();
        let mut sites = vec![SiteObservation::default(); table.len()];
        let mut established = vec![0; table.len()];
        let mut waits = vec![(0.0, 0.0); table.len()];
        for server in &seen.servers {
            let Some(site) = table.site_of_server(server.pool, Some(server.address)) else { continue };
            let disconnects =
                self.disconnects.entry((server.pool, server.address)).or_insert(server.disconnects);
            if std::mem::replace(disconnects, server.disconnects) < server.disconnects {
                fell.push(site);
            }
            established[site] += server.established;
            let Some(reached) = server.reached else { continue };
            sites[site].tried = sites[site].tried.saturating_add(1);
            sites[site].reached += u16::from(reached);
            if let Some(wait) = server.wait.filter(|_| reached) {
                waits[site] = (waits[site].0 + wait, waits[site].1 + 1.0);
            }
        }
        self.disconnects
            .retain(|(pool, at), _| seen.servers.iter().any(|s| (s.pool, s.address) == (*pool, *at)));
        self.established.resize(table.len(), Rate::default());
        for (place, observation) in sites.iter_mut().enumerate() {
            self.established[place].add(established[place], seconds, weight);
            observation.established = hundredths(self.established[place].a_second);
            let (sum, told) = waits[place];
            observation.wait_code =
                if told > 0.0 { (sum / told * 1000.0).clamp(0.0, 65_000.0) as u16 + 1 } else { 0 };
        }
        self.requested.resize(seen.requested.len(), Rate::default());
        for (rate, count) in self.requested.iter_mut().zip(&seen.requested) {
            rate.add(*count, seconds, weight);
        }
        let requested = self.requested.iter().map(|r| hundredths(r.a_second)).collect();
        (Observation { sequence: self.observations, sites, requested }, fell)
    }
}

fn hundredths(a_second: f64) -> u32 {
    (a_second * 100.0).round().clamp(0.0, f64::from(u32::MAX)) as u32
}
