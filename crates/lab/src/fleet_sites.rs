//! The fleet's decisions on sites in a run under virtual time: heartbeats and site messages between fronts
//! over links that only add delay. `Peers` and `Sites` are the same code that fronts run in service.

use crate::scenario::Scenario;
use shalespindle_peer_wire::front_id;
use shalespindle_peers::{FrontId, Incarnation, PeerReport, Peers, PeersParams};
use shalespindle_sites::{
    Output, Restrictions, Sample, SiteRecord, SiteTable, Sites, SitesMessage, SitesParams,
};
use std::collections::BTreeMap;

/// Fronts that a message goes to, and its maximum size in bytes: the defaults of the settings.
const FANOUT: usize = 3;
const MAX_MESSAGE_BYTES: usize = 8_000;

/// The peer and site state of one running front.
struct FrontState {
    peers: Peers,
    sites: Sites,
}

/// A message from one front to another.
#[derive(Clone, Debug)]
pub enum Frame {
    Heartbeat(Vec<PeerReport>),
    Sites(FrontId, SitesMessage),
}

/// An output of a front's turn.
pub enum FleetOutput {
    Frame { to: usize, frame: Frame },
    Restrict(Restrictions),
    RecordChanged { site: usize, record: SiteRecord },
}

/// Peer and site state of all fronts of a run, by the front's index; none while a front is down.
pub struct FleetSites {
    params: SitesParams,
    table: SiteTable,
    /// Seconds between two heartbeats of a front.
    heartbeat_interval: f64,
    names: Vec<FrontId>,
    index_by_name: BTreeMap<FrontId, usize>,
    fronts: Vec<Option<FrontState>>,
    /// Starts of fronts so far; numbers their incarnations.
    starts: u64,
}

impl FleetSites {
    /// None where the scenario has no sites, or no plan for them.
    pub fn new(scenario: &Scenario) -> Option<FleetSites> {
        let section = scenario.sites.as_ref().filter(|sites| sites.on)?;
        let unused = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let (params, table) = scenario.settings(unused, unused, &[], 0.0).sites_params()?;
        let names: Vec<FrontId> = (0..scenario.fleet.fronts).map(|f| front_id(&front_name(f))).collect();
        let index_by_name = names.iter().enumerate().map(|(index, name)| (*name, index)).collect();
        let fronts = names.iter().map(|_| None).collect();
        Some(FleetSites {
            params,
            table,
            heartbeat_interval: section.heartbeat_interval,
            names,
            index_by_name,
            fronts,
            starts: 0,
        })
    }

    /// A front starts with empty state, as a new incarnation.
    pub fn start(&mut self, now: f64, front: usize) {
        self.starts += 1;
        let (own, incarnation) =
            (self.names[front], Incarnation { number: self.starts, nonce: front as u64 });
        // The fronts' heartbeats are spread over the interval.
        let first_heartbeat = now + self.heartbeat_interval * (front as f64 / self.names.len() as f64);
        let params = PeersParams::with_heartbeat_interval(self.heartbeat_interval);
        let peers = Peers::new(params, own, incarnation, &self.names, self.starts, first_heartbeat);
        let sites = Sites::new(self.params.clone(), self.table.clone(), own, self.starts, first_heartbeat);
        self.fronts[front] = Some(FrontState { peers, sites });
    }

    /// A front ends without notice to others.
    pub fn kill(&mut self, front: usize) {
        self.fronts[front] = None;
    }

    /// Delivers a frame of another front.
    pub fn receive(&mut self, now: f64, front: usize, frame: Frame) {
        let Some(state) = &mut self.fronts[front] else { return };
        match frame {
            Frame::Heartbeat(reports) => {
                reports.into_iter().for_each(|report| state.peers.record(now, report))
            }
            Frame::Sites(from, message) => state.sites.receive(now, &state.peers, from, message),
        }
    }

    /// Records a front's own observations of servers, at most once per sample interval.
    pub fn record_sample(&mut self, now: f64, front: usize, sample: &Sample) {
        if let Some(state) = self.fronts[front].as_mut().filter(|s| now >= s.sites.next_sample_at()) {
            state.sites.record_sample(now, &state.peers, sample);
        }
    }

    /// Time of a front's next turn.
    pub fn next_deadline(&self, front: usize) -> f64 {
        self.fronts[front]
            .as_ref()
            .map_or(f64::INFINITY, |s| s.peers.next_heartbeat().min(s.sites.next_tick_at()))
    }

    /// Does what has become due for a front.
    pub fn turn(&mut self, now: f64, front: usize) -> Vec<FleetOutput> {
        let Some(state) = &mut self.fronts[front] else { return Vec::new() };
        let mut outputs = Vec::new();
        if state.peers.turn(now) {
            let reports = state.peers.reports();
            for to in state.peers.targets() {
                outputs.push(FleetOutput::Frame {
                    to: self.index_by_name[&to],
                    frame: Frame::Heartbeat(reports.clone()),
                });
            }
        }
        while state.peers.next_change().is_some() {}
        state.sites.tick(now, &state.peers, FANOUT, MAX_MESSAGE_BYTES);
        while let Some(out) = state.sites.next_output() {
            match out {
                Output::Send { to, message } => {
                    let frame = Frame::Sites(self.names[front], message);
                    outputs.push(FleetOutput::Frame { to: self.index_by_name[&to], frame });
                }
                Output::Restrict(restrictions) => outputs.push(FleetOutput::Restrict(restrictions)),
                Output::RecordChanged { site, to, .. } => {
                    outputs.push(FleetOutput::RecordChanged { site, record: to })
                }
                Output::CutOff(_) => {}
            }
        }
        outputs
    }
}

/// A front's name in the fleet.
pub fn front_name(front: usize) -> String {
    format!("f{front}")
}

impl crate::sim::Run {
    /// The records of sites, one column for each site: an entry is at the time when the first front had it.
    pub fn timeline(&self) -> shalespindle_timeline::Timeline {
        let count = self.site_records.iter().map(|r| r.2 + 1).max().unwrap_or(0);
        let mut timeline = shalespindle_timeline::Timeline::new((0..count).map(|s| format!("site-{s}")), 0.1);
        let mut seen_epochs = std::collections::BTreeSet::new();
        for (at, _, site, record) in &self.site_records {
            if seen_epochs.insert((*site, record.epoch)) {
                timeline.add(*at, *site, format!("{:?}", record.stage));
            }
        }
        timeline
    }
}
