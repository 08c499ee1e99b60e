//! The fleet's judging of sites in a run under virtual time: beats of fronts and what they tell of sites, over links
//! between fronts that only take time. The cores are those of fronts in service.

use crate::scenario::Scenario;
use shalespindle_peer_wire::front_id;
use shalespindle_peers::{FrontId, Life, Peers, PeersParams, Word as PeerWord};
use shalespindle_sites::{
    Output, Restrictions, Sample, SiteRecord, SiteTable, Sites, SitesMessage, SitesParams,
};
use std::collections::BTreeMap;

/// Fronts told at a beat, and bytes of a message at most, as the settings have it where they say nothing.
const FANOUT: usize = 3;
const BYTES: usize = 8_000;

struct Side {
    peers: Peers,
    sites: Sites,
}

/// What crosses between fronts.
#[derive(Clone, Debug)]
pub enum Frame {
    Beat(Vec<PeerWord>),
    Sites(FrontId, SitesMessage),
}

/// What a front's turn gives.
pub enum Given {
    Frame { to: usize, frame: Frame },
    Narrow(Restrictions),
    Word { site: usize, word: SiteRecord },
}

/// The fronts of a run, as the fleet.
pub struct Country {
    params: SitesParams,
    table: SiteTable,
    every: f64,
    names: Vec<FrontId>,
    places: BTreeMap<FrontId, usize>,
    sides: Vec<Option<Side>>,
    lives: u64,
}

impl Country {
    /// None where the scenario has no sites, or no plan for them.
    pub fn new(scenario: &Scenario) -> Option<Country> {
        let side = scenario.sites.as_ref().filter(|sites| sites.on)?;
        let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let (params, table) = scenario.settings(nowhere, nowhere, &[], 0.0).sites_params()?;
        let names: Vec<FrontId> = (0..scenario.fleet.fronts).map(|f| front_id(&front_name(f))).collect();
        let places = names.iter().enumerate().map(|(place, name)| (*name, place)).collect();
        let sides = names.iter().map(|_| None).collect();
        Some(Country { params, table, every: side.beat, names, places, sides, lives: 0 })
    }

    pub fn start(&mut self, now: f64, front: usize) {
        self.lives += 1;
        let (own, life) = (self.names[front], Life { number: self.lives, nonce: front as u64 });
        // Beats of fronts are not in step.
        let begin = now + self.every * (front as f64 / self.names.len() as f64);
        let params = PeersParams::beating(self.every);
        let peers = Peers::new(params, own, life, &self.names, self.lives, begin);
        let sites = Sites::new(self.params.clone(), self.table.clone(), own, self.lives, begin);
        self.sides[front] = Some(Side { peers, sites });
    }

    pub fn kill(&mut self, front: usize) {
        self.sides[front] = None;
    }

    pub fn heard(&mut self, now: f64, front: usize, frame: Frame) {
        let Some(side) = &mut self.sides[front] else { return };
        match frame {
            Frame::Beat(words) => words.into_iter().for_each(|word| side.peers.hear(now, word)),
            Frame::Sites(from, message) => side.sites.receive(now, &side.peers, from, message),
        }
    }

    pub fn observed(&mut self, now: f64, front: usize, seen: &Sample) {
        if let Some(side) = self.sides[front].as_mut().filter(|s| now >= s.sites.next_sample_at()) {
            side.sites.record_sample(now, &side.peers, seen);
        }
    }

    pub fn due(&self, front: usize) -> f64 {
        self.sides[front].as_ref().map_or(f64::INFINITY, |s| s.peers.due().min(s.sites.next_tick_at()))
    }

    pub fn turn(&mut self, now: f64, front: usize) -> Vec<Given> {
        let Some(side) = &mut self.sides[front] else { return Vec::new() };
        let mut given = Vec::new();
        if side.peers.turn(now) {
            let words = side.peers.words();
            for to in side.peers.targets() {
                given.push(Given::Frame { to: self.places[&to], frame: Frame::Beat(words.clone()) });
            }
        }
        while side.peers.next_change().is_some() {}
        side.sites.tick(now, &side.peers, FANOUT, BYTES);
        while let Some(out) = side.sites.next_output() {
            match out {
                Output::Send { to, message } => {
                    let frame = Frame::Sites(self.names[front], message);
                    given.push(Given::Frame { to: self.places[&to], frame });
                }
                Output::Restrict(narrowing) => given.push(Given::Narrow(narrowing)),
                Output::RecordChanged { site, to, .. } => given.push(Given::Word { site, word: to }),
                Output::CutOff(_) => {}
            }
        }
        given
    }
}

/// A front's name in the fleet.
pub fn front_name(front: usize) -> String {
    format!("f{front}")
}

impl crate::sim::Run {
    /// What the fronts found of sites, one column a site: a word stands where the first front held it.
    pub fn timeline(&self) -> shalespindle_timeline::Timeline {
        let count = self.words.iter().map(|w| w.2 + 1).max().unwrap_or(0);
        let mut timeline = shalespindle_timeline::Timeline::new((0..count).map(|s| format!("site-{s}")), 0.1);
        let mut told = std::collections::BTreeSet::new();
        for (at, _, site, word) in &self.words {
            if told.insert((*site, word.epoch)) {
                timeline.add(*at, *site, format!("{:?}", word.stage));
            }
        }
        timeline
    }
}
