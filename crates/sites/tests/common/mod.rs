//! Fronts in sites under virtual time: their beats and records on sites over a network with faults, their servers behind
//! links that can be cut.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_peers::{FrontId, Life, Peers, PeersParams, Word as PeerWord};
use shalespindle_sites::{
    Order, Output, ProcedureClass, Restrictions, Sample, ServerSample, SiteSpec, SiteTable, Sites,
    SitesMessage, SitesParams, Stage,
};
use shalespindle_timeline::Timeline;
use std::collections::BTreeSet;

pub const EVERY: f64 = 0.5;
pub const SERVERS: usize = 2;

pub struct Front {
    pub peers: Peers,
    pub sites: Sites,
    pub restrictions: Restrictions,
    pub incarnation: u64,
}

enum Frame {
    Beat(Vec<PeerWord>),
    Sites(FrontId, SitesMessage),
}

pub struct World {
    pub now: f64,
    pub names: Vec<&'static str>,
    /// By place: the site of each front.
    pub home: Vec<usize>,
    pub fronts: Vec<Option<Front>>,
    under_way: Vec<(f64, usize, Frame)>,
    /// Pairs of fronts that do not hear each other: from, to.
    pub cut: BTreeSet<(usize, usize)>,
    /// Links that are cut: a front, a site's servers.
    pub unreached: BTreeSet<(usize, usize)>,
    pub servers_up: Vec<bool>,
    /// Fronts whose process stands still.
    pub stopped: BTreeSet<usize>,
    /// Fronts of an earlier version: they beat, and drop what is about sites.
    pub old: BTreeSet<usize>,
    pub loss: f64,
    pub double: f64,
    pub delay: f64,
    /// Attaches a second that each front is requested.
    pub requested: Vec<f64>,
    /// Falls of servers so far, by site, and the wait that they tell.
    pub falls: Vec<u64>,
    pub waits: Vec<f64>,
    counted: Vec<f64>,
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

/// So many fronts in each site.
pub fn world(sites: &[(&'static str, usize)], seed: u64) -> World {
    let (mut home, mut names) = (Vec::new(), Vec::new());
    for (site, (_, count)) in sites.iter().enumerate() {
        for n in 0..*count {
            names.push(format!("{}{n}", &sites[site].0[..1]));
            home.push(site);
        }
    }
    let spec = |(site, (name, _)): (usize, &(&'static str, usize))| SiteSpec {
        name: name.to_string(),
        fronts: (0..home.len()).filter(|f| home[*f] == site).map(id).collect(),
        pools: (0..SERVERS).map(|n| (site * SERVERS + n) as u16).collect(),
        networks: Vec::new(),
        capacity: Some(100.0),
    };
    let specs: Vec<SiteSpec> = sites.iter().enumerate().map(spec).collect();
    let params = SitesParams::from_heartbeat_interval(EVERY, vec![class(1.0), class(0.2)]);
    let count = home.len();
    let mut world = World {
        now: 0.0,
        names: sites.iter().map(|s| s.0).collect(),
        fronts: (0..count).map(|_| None).collect(),
        under_way: Vec::new(),
        cut: BTreeSet::new(),
        unreached: BTreeSet::new(),
        servers_up: vec![true; sites.len()],
        stopped: BTreeSet::new(),
        old: BTreeSet::new(),
        loss: 0.0,
        double: 0.0,
        delay: 0.02,
        requested: vec![1.0; count],
        falls: vec![0; sites.len()],
        waits: vec![0.0; sites.len()],
        counted: vec![0.0; count],
        rng: ChaCha8Rng::seed_from_u64(seed),
        timeline: Timeline::new(names, 1.0),
        params,
        table: SiteTable::new(specs, |f| f.0.to_string()).unwrap(),
        home,
    };
    (0..count).for_each(|front| world.start(front));
    world
}

impl World {
    pub fn start(&mut self, front: usize) {
        let life = Life { number: 1 + (self.now * 1000.0) as u64, nonce: front as u64 };
        let listed: Vec<FrontId> = (0..self.home.len()).map(id).collect();
        let begin = self.now + EVERY * self.rng.random::<f64>();
        let peers = Peers::new(PeersParams::beating(EVERY), id(front), life, &listed, front as u64, begin);
        let table = self.table.clone();
        let sites = Sites::new(self.params.clone(), table, id(front), front as u64, begin);
        self.fronts[front] =
            Some(Front { peers, sites, restrictions: Restrictions::default(), incarnation: life.number });
        self.counted[front] = 0.0;
    }

    pub fn kill(&mut self, front: usize) {
        self.fronts[front] = None;
    }

    pub fn of_site(&self, site: usize) -> Vec<usize> {
        (0..self.home.len()).filter(|f| self.home[*f] == site).collect()
    }

    /// Cuts the fronts of some sites, and their links to others' servers, from all the rest.
    pub fn cut_off(&mut self, sites: &[usize]) {
        let within = |site: usize| sites.contains(&site);
        for a in 0..self.home.len() {
            for b in 0..self.home.len() {
                if within(self.home[a]) != within(self.home[b]) {
                    self.cut.insert((a, b));
                }
            }
            for site in 0..self.names.len() {
                if within(self.home[a]) != within(site) {
                    self.unreached.insert((a, site));
                }
            }
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
        self.unreached.clear();
    }

    fn record_sample(&self, front: usize) -> Sample {
        let servers = (0..self.names.len()).flat_map(|site| {
            let reached = self.servers_up[site] && !self.unreached.contains(&(front, site));
            let (falls, wait) = (self.falls[site], self.waits[site]);
            (0..SERVERS).map(move |n| ServerSample {
                pool: (site * SERVERS + n) as u16,
                address: [10, site as u8, 0, n as u8].into(),
                reached: Some(reached),
                established: 0,
                disconnects: if n == 0 { falls } else { 0 },
                wait: Some(wait),
            })
        });
        let requested = self.counted[front] as u64;
        Sample { servers: servers.collect(), requested: vec![requested, requested / 2] }
    }

    pub fn step(&mut self) {
        self.now += EVERY / 10.0;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.under_way).into_iter().partition(|f| f.0 <= now);
        self.under_way = later;
        let due: Vec<(f64, usize, Frame)> = due;
        for (_, to, frame) in due {
            let old = self.old.contains(&to);
            let Some(front) = self.fronts[to].as_mut().filter(|_| !self.stopped.contains(&to)) else {
                continue;
            };
            match frame {
                Frame::Beat(records) => records.into_iter().for_each(|w| front.peers.hear(now, w)),
                Frame::Sites(from, message) if !old => front.sites.receive(now, &front.peers, from, message),
                Frame::Sites(..) => {}
            }
        }
        for at in 0..self.fronts.len() {
            self.counted[at] += self.requested[at] * EVERY / 10.0;
            if self.stopped.contains(&at) {
                continue;
            }
            let seen = self.record_sample(at);
            let old = self.old.contains(&at);
            let Some(front) = &mut self.fronts[at] else { continue };
            let mut sent: Vec<(FrontId, Frame)> = Vec::new();
            if front.peers.turn(now) {
                let records = front.peers.words();
                let targets = front.peers.targets();
                sent.extend(targets.into_iter().map(|to| (to, Frame::Beat(records.clone()))));
            }
            while front.peers.next_change().is_some() {}
            if !old {
                if now >= front.sites.next_sample_at() {
                    front.sites.record_sample(now, &front.peers, &seen);
                }
                front.sites.tick(now, &front.peers, 3, 1200);
            }
            let mut said = Vec::new();
            while let Some(out) = front.sites.next_output() {
                match out {
                    Output::Send { to, message } => sent.push((to, Frame::Sites(id(at), message))),
                    Output::Restrict(restrictions) => front.restrictions = restrictions,
                    Output::RecordChanged { site, to, .. } => {
                        said.push(format!("{} {}", self.names[site], records(to.stage)))
                    }
                    Output::CutOff(true) => said.push("cut off".into()),
                    Output::CutOff(false) => said.push("hears most".into()),
                }
            }
            said.into_iter().for_each(|what| self.timeline.add(now, at, what));
            for (to, frame) in sent {
                let to = (to.0 - 1000) as usize;
                let times = if self.rng.random::<f64>() < self.double { 2 } else { 1 };
                for _ in 0..times {
                    let lost = self.cut.contains(&(at, to)) || self.rng.random::<f64>() < self.loss;
                    let due = now + self.delay * (0.5 + self.rng.random::<f64>());
                    let copy = match &frame {
                        Frame::Beat(records) => Frame::Beat(records.clone()),
                        Frame::Sites(from, message) => Frame::Sites(*from, message.clone()),
                    };
                    if !lost {
                        self.under_way.push((due, to, copy));
                    }
                }
            }
        }
    }

    pub fn pass(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.step();
        }
    }

    /// Steps until it holds; seconds. Fails with the timeline.
    pub fn until(&mut self, what: &str, most: f64, holds: impl Fn(&World) -> bool) -> f64 {
        let begin = self.now;
        while !holds(self) {
            assert!(self.now - begin < most, "{what} never came\n{}", self.timeline);
            self.step();
        }
        self.now - begin
    }

    pub fn stage(&self, front: usize, site: usize) -> Option<Stage> {
        self.fronts[front].as_ref().map(|f| f.sites.record(site).stage)
    }

    /// All fronts that run hold that stage of a site.
    pub fn all_say(&self, site: usize, stage: Stage) -> bool {
        (0..self.fronts.len()).filter_map(|f| self.stage(f, site)).all(|s| s == stage)
    }

    pub fn order(&mut self, front: usize, site: &str, order: Order, lasts: f64) {
        let now = self.now;
        self.fronts[front].as_mut().unwrap().sites.order(now, site, order, lasts).unwrap();
    }
}

pub fn records(stage: Stage) -> String {
    match stage {
        Stage::Up => "up".into(),
        Stage::Returning { step } => format!("returns, step {step}"),
        Stage::Lost => "lost".into(),
        Stage::KeptOut => "kept out".into(),
    }
}
