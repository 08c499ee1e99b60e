//! From what the host counts to rates.

use crate::sights::{Sight, SiteSight};
use crate::table::Table;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Counts are smoothed over so many sights.
const SMOOTHED: f64 = 4.0;

/// One server as the host sees it; counts run since the front's start.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedServer {
    pub pool: u16,
    pub address: IpAddr,
    /// It answers; none: not tried yet, or its list took it out.
    pub reached: Option<bool>,
    pub stood: u64,
    /// Connections that it ended.
    pub cuts: u64,
    /// Wait that it told last, seconds.
    pub wait: Option<f64>,
}

/// What the host sees, and what is asked of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observed {
    pub servers: Vec<ObservedServer>,
    /// Attaches asked so far, by the place of their procedure.
    pub asked: Vec<u64>,
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
pub(crate) struct Rates {
    at: Option<f64>,
    sights: u32,
    stood: Vec<Rate>,
    asked: Vec<Rate>,
    cuts: BTreeMap<(u16, IpAddr), u64>,
}

impl Rates {
    /// The next sight, and the sites of which a server fell since the last one.
    pub fn sight(&mut self, now: f64, seen: &Observed, table: &Table) -> (Sight, Vec<usize>) {
        let seconds = self.at.map_or(1.0, |at| (now - at).max(1e-3));
        self.at = Some(now);
        self.sights += 1;
        // The first one only learns where counts begin; the next ones count in full until there are enough to smooth.
        let weight = match self.sights {
            1 => 0.0,
            n => (1.0 / f64::from(n - 1)).max(2.0 / (SMOOTHED + 1.0)),
        };
        let mut fell = Vec::new();
        let mut sites = vec![SiteSight::default(); table.len()];
        let mut stood = vec![0; table.len()];
        let mut waits = vec![(0.0, 0.0); table.len()];
        for server in &seen.servers {
            let Some(site) = table.of_server(server.pool, Some(server.address)) else { continue };
            let cuts = self.cuts.entry((server.pool, server.address)).or_insert(server.cuts);
            if std::mem::replace(cuts, server.cuts) < server.cuts {
                fell.push(site);
            }
            stood[site] += server.stood;
            let Some(reached) = server.reached else { continue };
            sites[site].listed = sites[site].listed.saturating_add(1);
            sites[site].reached += u16::from(reached);
            if let Some(wait) = server.wait.filter(|_| reached) {
                waits[site] = (waits[site].0 + wait, waits[site].1 + 1.0);
            }
        }
        self.cuts.retain(|(pool, at), _| seen.servers.iter().any(|s| (s.pool, s.address) == (*pool, *at)));
        self.stood.resize(table.len(), Rate::default());
        for (place, sight) in sites.iter_mut().enumerate() {
            self.stood[place].add(stood[place], seconds, weight);
            sight.stood = hundredths(self.stood[place].a_second);
            let (sum, told) = waits[place];
            sight.wait = if told > 0.0 { (sum / told * 1000.0).clamp(0.0, 65_000.0) as u16 + 1 } else { 0 };
        }
        self.asked.resize(seen.asked.len(), Rate::default());
        for (rate, count) in self.asked.iter_mut().zip(&seen.asked) {
            rate.add(*count, seconds, weight);
        }
        let asked = self.asked.iter().map(|r| hundredths(r.a_second)).collect();
        (Sight { number: self.sights, sites, asked }, fell)
    }
}

fn hundredths(a_second: f64) -> u32 {
    (a_second * 100.0).round().clamp(0.0, f64::from(u32::MAX)) as u32
}
