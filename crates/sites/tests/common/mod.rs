//! A simulation of fronts in several sites under virtual time: heartbeats and messages about sites go over a
//! network with faults, and the links to the servers can be cut.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_peers::{FrontId, Incarnation, PeerReport, Peers, PeersParams};
use shalespindle_sites::{
    Order, Output, ProcedureClass, Restrictions, Sample, ServerSample, SiteSpec, SiteTable, Sites,
    SitesMessage, SitesParams, Stage,
};
use shalespindle_timeline::Timeline;
use std::collections::BTreeSet;

/// Interval between heartbeats, seconds.
pub const HEARTBEAT_INTERVAL: f64 = 0.5;
/// Servers of each site.
pub const SERVERS: usize = 2;

pub struct Front {
    pub peers: Peers,
    pub sites: Sites,
    pub restrictions: Restrictions,
}

enum Frame {
    Heartbeat(Vec<PeerReport>),
    Sites(FrontId, SitesMessage),
}

pub struct Simulation {
    pub now: f64,
    pub names: Vec<&'static str>,
    /// The site of each front.
    pub home_site: Vec<usize>,
    pub fronts: Vec<Option<Front>>,
    /// Frames on the network: time of arrival, receiver, frame.
    in_flight: Vec<(f64, usize, Frame)>,
    /// Cut paths between fronts: sender, receiver.
    pub cut_paths: BTreeSet<(usize, usize)>,
    /// Cut links to servers: front, site of the servers.
    pub cut_links: BTreeSet<(usize, usize)>,
    pub servers_up: Vec<bool>,
    /// Fronts whose process is stalled.
    pub stalled: BTreeSet<usize>,
    /// Fronts of an earlier version: they send heartbeats and drop messages about sites.
    pub without_sites: BTreeSet<usize>,
    /// Probability that a frame is lost.
    pub loss: f64,
    /// Probability that a frame is sent twice.
    pub duplication: f64,
    /// Mean delay of a frame, seconds.
    pub delay: f64,
    /// Attaches per second that are requested of each front.
    pub request_rates: Vec<f64>,
    /// Number of connections that the servers of each site have ended.
    pub disconnects: Vec<u64>,
    /// The wait that the servers of each site report, seconds.
    pub waits: Vec<f64>,
    /// Attaches requested of each front since its start.
    request_counts: Vec<f64>,
    pub rng: ChaCha8Rng,
    pub timeline: Timeline,
    pub params: SitesParams,
    table: SiteTable,
}

pub fn id(front: usize) -> FrontId {
    FrontId(1000 + front as u64)
}

pub fn class(utility: f64) -> ProcedureClass {
    ProcedureClass { utility, late_share: 0.25, work: 1.0, repeatable: true }
}

/// Starts a simulation of sites, each with a name and a number of fronts.
pub fn simulation(sites: &[(&'static str, usize)], seed: u64) -> Simulation {
    let (mut home_site, mut names) = (Vec::new(), Vec::new());
    for (site, (_, count)) in sites.iter().enumerate() {
        for n in 0..*count {
            names.push(format!("{}{n}", &sites[site].0[..1]));
            home_site.push(site);
        }
    }
    let spec = |(site, (name, _)): (usize, &(&'static str, usize))| SiteSpec {
        name: name.to_string(),
        fronts: (0..home_site.len()).filter(|f| home_site[*f] == site).map(id).collect(),
        pools: (0..SERVERS).map(|n| (site * SERVERS + n) as u16).collect(),
        networks: Vec::new(),
        capacity: Some(100.0),
    };
    let specs: Vec<SiteSpec> = sites.iter().enumerate().map(spec).collect();
    let params = SitesParams::from_heartbeat_interval(HEARTBEAT_INTERVAL, vec![class(1.0), class(0.2)]);
    let count = home_site.len();
    let mut sim = Simulation {
        now: 0.0,
        names: sites.iter().map(|s| s.0).collect(),
        fronts: (0..count).map(|_| None).collect(),
        in_flight: Vec::new(),
        cut_paths: BTreeSet::new(),
        cut_links: BTreeSet::new(),
        servers_up: vec![true; sites.len()],
        stalled: BTreeSet::new(),
        without_sites: BTreeSet::new(),
        loss: 0.0,
        duplication: 0.0,
        delay: 0.02,
        request_rates: vec![1.0; count],
        disconnects: vec![0; sites.len()],
        waits: vec![0.0; sites.len()],
        request_counts: vec![0.0; count],
        rng: ChaCha8Rng::seed_from_u64(seed),
        timeline: Timeline::new(names, 1.0),
        params,
        table: SiteTable::new(specs, |f| f.0.to_string()).unwrap(),
        home_site,
    };
    (0..count).for_each(|front| sim.start(front));
    sim
}

impl Simulation {
    /// Starts a front as a new incarnation.
    pub fn start(&mut self, front: usize) {
        let life = Incarnation { number: 1 + (self.now * 1000.0) as u64, nonce: front as u64 };
        let listed: Vec<FrontId> = (0..self.home_site.len()).map(id).collect();
        let begin = self.now + HEARTBEAT_INTERVAL * self.rng.random::<f64>();
        let peers = Peers::new(
            PeersParams::with_heartbeat_interval(HEARTBEAT_INTERVAL),
            id(front),
            life,
            &listed,
            front as u64,
            begin,
        );
        let table = self.table.clone();
        let sites = Sites::new(self.params.clone(), table, id(front), front as u64, begin);
        self.fronts[front] = Some(Front { peers, sites, restrictions: Restrictions::default() });
        self.request_counts[front] = 0.0;
    }

    /// Ends the process of a front.
    pub fn kill(&mut self, front: usize) {
        self.fronts[front] = None;
    }

    /// Returns the fronts of a site.
    pub fn fronts_of(&self, site: usize) -> Vec<usize> {
        (0..self.home_site.len()).filter(|f| self.home_site[*f] == site).collect()
    }

    /// Cuts all paths and links between the given sites and the others.
    pub fn cut_off(&mut self, sites: &[usize]) {
        let within = |site: usize| sites.contains(&site);
        for a in 0..self.home_site.len() {
            for b in 0..self.home_site.len() {
                if within(self.home_site[a]) != within(self.home_site[b]) {
                    self.cut_paths.insert((a, b));
                }
            }
            for site in 0..self.names.len() {
                if within(self.home_site[a]) != within(site) {
                    self.cut_links.insert((a, site));
                }
            }
        }
    }

    /// Restores all paths and links.
    pub fn heal(&mut self) {
        self.cut_paths.clear();
        self.cut_links.clear();
    }

    fn sample(&self, front: usize) -> Sample {
        let servers = (0..self.names.len()).flat_map(|site| {
            let reached = self.servers_up[site] && !self.cut_links.contains(&(front, site));
            let (disconnects, wait) = (self.disconnects[site], self.waits[site]);
            (0..SERVERS).map(move |n| ServerSample {
                pool: (site * SERVERS + n) as u16,
                address: [10, site as u8, 0, n as u8].into(),
                reached: Some(reached),
                established: 0,
                disconnects: if n == 0 { disconnects } else { 0 },
                wait: Some(wait),
            })
        });
        let requested = self.request_counts[front] as u64;
        Sample { servers: servers.collect(), requested: vec![requested, requested / 2] }
    }

    /// Advances the time by a tenth of the heartbeat interval.
    pub fn step(&mut self) {
        self.now += HEARTBEAT_INTERVAL / 10.0;
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|arrival| arrival.0 <= now);
        self.in_flight = later;
        let due: Vec<(f64, usize, Frame)> = due;
        for (_, to, frame) in due {
            let ignores_sites = self.without_sites.contains(&to);
            let Some(front) = self.fronts[to].as_mut().filter(|_| !self.stalled.contains(&to)) else {
                continue;
            };
            match frame {
                Frame::Heartbeat(heartbeats) => {
                    heartbeats.into_iter().for_each(|heartbeat| front.peers.record(now, heartbeat))
                }
                Frame::Sites(from, message) if !ignores_sites => {
                    front.sites.receive(now, &front.peers, from, message)
                }
                Frame::Sites(..) => {}
            }
        }
        for index in 0..self.fronts.len() {
            self.request_counts[index] += self.request_rates[index] * HEARTBEAT_INTERVAL / 10.0;
            if self.stalled.contains(&index) {
                continue;
            }
            let sample = self.sample(index);
            let ignores_sites = self.without_sites.contains(&index);
            let Some(front) = &mut self.fronts[index] else { continue };
            let mut sent: Vec<(FrontId, Frame)> = Vec::new();
            if front.peers.turn(now) {
                let heartbeats = front.peers.reports();
                let targets = front.peers.targets();
                sent.extend(targets.into_iter().map(|to| (to, Frame::Heartbeat(heartbeats.clone()))));
            }
            while front.peers.next_change().is_some() {}
            if !ignores_sites {
                if now >= front.sites.next_sample_at() {
                    front.sites.record_sample(now, &front.peers, &sample);
                }
                front.sites.tick(now, &front.peers, 3, 1200);
            }
            let mut entries = Vec::new();
            while let Some(output) = front.sites.next_output() {
                match output {
                    Output::Send { to, message } => sent.push((to, Frame::Sites(id(index), message))),
                    Output::Restrict(restrictions) => front.restrictions = restrictions,
                    Output::RecordChanged { site, to, .. } => {
                        entries.push(format!("{} {}", self.names[site], stage_text(to.stage)))
                    }
                    Output::CutOff(true) => entries.push("cut off".into()),
                    Output::CutOff(false) => entries.push("has majority".into()),
                }
            }
            entries.into_iter().for_each(|entry| self.timeline.add(now, index, entry));
            for (to, frame) in sent {
                let to = (to.0 - 1000) as usize;
                let copies = if self.rng.random::<f64>() < self.duplication { 2 } else { 1 };
                for _ in 0..copies {
                    let lost = self.cut_paths.contains(&(index, to)) || self.rng.random::<f64>() < self.loss;
                    let arrival = now + self.delay * (0.5 + self.rng.random::<f64>());
                    let copy = match &frame {
                        Frame::Heartbeat(heartbeats) => Frame::Heartbeat(heartbeats.clone()),
                        Frame::Sites(from, message) => Frame::Sites(*from, message.clone()),
                    };
                    if !lost {
                        self.in_flight.push((arrival, to, copy));
                    }
                }
            }
        }
    }

    /// Runs for a time.
    pub fn run_for(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.step();
        }
    }

    /// Runs until a condition holds and returns the seconds that took. Panics with the timeline after
    /// `max_seconds`.
    pub fn run_until(&mut self, what: &str, max_seconds: f64, holds: impl Fn(&Simulation) -> bool) -> f64 {
        let begin = self.now;
        while !holds(self) {
            assert!(self.now - begin < max_seconds, "{what} did not happen\n{}", self.timeline);
            self.step();
        }
        self.now - begin
    }

    pub fn stage(&self, front: usize, site: usize) -> Option<Stage> {
        self.fronts[front].as_ref().map(|f| f.sites.record(site).stage)
    }

    /// Whether all running fronts have that stage of a site.
    pub fn all_have(&self, site: usize, stage: Stage) -> bool {
        (0..self.fronts.len()).filter_map(|f| self.stage(f, site)).all(|s| s == stage)
    }

    pub fn order(&mut self, front: usize, site: &str, order: Order, seconds: f64) {
        let now = self.now;
        self.fronts[front].as_mut().unwrap().sites.apply_order(now, site, order, seconds).unwrap();
    }
}

pub fn stage_text(stage: Stage) -> String {
    match stage {
        Stage::Up => "up".into(),
        Stage::Returning { step } => format!("returns, step {step}"),
        Stage::Lost => "lost".into(),
        Stage::KeptOut => "kept out".into(),
    }
}
