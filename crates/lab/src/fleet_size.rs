//! How what crosses between fronts grows with the fleet: the fronts' own cores and codec under virtual time, with a
//! network that delays and loses; figures of simulated fronts, not of sockets.

use crate::resources::{resident_bytes, thread_seconds};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use shalespindle_peer_wire::{front_id, Body, Codec};
use shalespindle_peers::{FrontId, Life};
use shalespindle_replica::{CallWord, Fleet, FleetParams, Message, Out, ReportedState, ServerWord};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Seconds between two beats, as the settings have it where they say nothing.
const EVERY: f64 = 0.5;
/// Parts of a beat between two looks at the clock.
const FINE: f64 = 20.0;
/// A frame's way, seconds: at least, and so much more at most.
const DELAY: (f64, f64) = (0.02, 0.02);
/// How long a call stands in the churn, seconds.
const STANDS: f64 = 10.0;
/// A start in milliseconds of Unix time.
const LIFE_BASE: u64 = 1_790_000_000_000;
/// How long a fleet in which nothing happens is measured, seconds.
const IDLE: f64 = 10.0;

/// What is measured.
#[derive(Clone, Debug)]
pub struct SizeShape {
    pub fronts: usize,
    /// Calls that stand in the whole fleet when one front returns empty.
    /// None: no front returns.
    pub calls: u64,
    /// Calls that begin at each front in a second of the churn; none: no churn.
    pub calls_a_second: f64,
    pub loss: f64,
    pub seed: u64,
}

/// What came of it. Bytes are of frames, without IP and UDP.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Size {
    pub fronts: usize,
    pub calls: u64,
    pub loss: f64,
    /// Sent by a front in a second when nothing happens; and frames of it.
    pub idle_bytes: f64,
    pub idle_frames: f64,
    /// Received by a front in a second when nothing happens.
    pub idle_received_bytes: f64,
    /// The most that any front sent and received together.
    pub idle_bytes_max: f64,
    /// Of the bytes sent idle, those of digests; the rest are of parts.
    pub idle_digest_bytes: f64,
    /// Processor time of a front over its time, idle; the simulated network's own work is in it.
    pub idle_core_share: f64,
    /// Resident memory that a front adds to the process, megabytes; frames under way are in it.
    pub memory_mb: f64,
    /// Sent by a front in a second while calls come and go.
    pub churn_bytes: f64,
    /// Seconds until a warning of one front is known to half of the others, and to all.
    pub spread_half: f64,
    pub spread_all: f64,
    /// Seconds and bytes until a front that returns empty has what the others have; its own calls among it are its own again.
    pub catch_up: f64,
    pub catch_up_bytes: u64,
    /// Of the most that one other front sent in a second meanwhile, beside what it sends in the idle state.
    pub most_asked: f64,
    /// Seconds until all hear all at the start.
    pub met_after: f64,
}

struct Sim {
    params: FleetParams,
    now: f64,
    names: Vec<FrontId>,
    places: BTreeMap<FrontId, usize>,
    fronts: Vec<Option<(Fleet, Codec)>>,
    /// By the look at which they arrive: to, from, frame.
    under_way: BTreeMap<u64, Vec<(usize, Vec<u8>)>>,
    look: u64,
    rng: ChaCha8Rng,
    loss: f64,
    /// Frames and bytes sent by each front.
    sent: Vec<(u64, u64)>,
    received_bytes: Vec<u64>,
    digest_bytes: u64,
}

/// What fronts sent and received in a second of some time.
#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    frames: f64,
    bytes: f64,
    received_bytes: f64,
    /// Both ways, of the front with the most.
    bytes_max: f64,
    digest_bytes: f64,
    core_share: f64,
}

impl Sim {
    fn new(shape: &SizeShape) -> Sim {
        let names: Vec<FrontId> = (0..shape.fronts).map(|n| front_id(&format!("f{n}"))).collect();
        let mut params = FleetParams::beating(EVERY);
        params.copies.most = 2_000_000;
        let mut sim = Sim {
            params,
            now: 0.0,
            places: names.iter().enumerate().map(|(place, name)| (*name, place)).collect(),
            names,
            fronts: Vec::new(),
            under_way: BTreeMap::new(),
            look: 0,
            rng: ChaCha8Rng::seed_from_u64(shape.seed),
            loss: shape.loss,
            sent: vec![(0, 0); shape.fronts],
            received_bytes: vec![0; shape.fronts],
            digest_bytes: 0,
        };
        (0..shape.fronts).for_each(|_| sim.fronts.push(None));
        (0..shape.fronts).for_each(|place| sim.start(place, 1));
        sim
    }

    fn start(&mut self, place: usize, life: u64) {
        // As large as a process has them: its start in milliseconds of Unix time, and 64 random bits.
        let life = Life { number: LIFE_BASE + life, nonce: self.rng.random() };
        let own = self.names[place];
        // Beats of fronts are not in step.
        let begin = self.now + EVERY * self.rng.random::<f64>();
        let fleet = Fleet::new(self.params.clone(), own, life, &self.names, place as u64, begin);
        self.fronts[place] = Some((fleet, Codec::new([7; 32], own, self.names.len())));
    }

    fn at(&mut self, place: usize) -> Option<&mut Fleet> {
        self.fronts[place].as_mut().map(|front| &mut front.0)
    }

    fn step(&mut self) {
        let fine = EVERY / FINE;
        self.look += 1;
        self.now = self.look as f64 * fine;
        let now = self.now;
        for (to, frame) in self.under_way.remove(&self.look).unwrap_or_default() {
            let Some((fleet, codec)) = &mut self.fronts[to] else { continue };
            self.received_bytes[to] += frame.len() as u64;
            if let Ok((from, Body::Fleet(message))) = codec.read(&frame) {
                fleet.heard(now, from, message);
            }
        }
        for place in 0..self.fronts.len() {
            let Some((fleet, codec)) = &mut self.fronts[place] else { continue };
            if fleet.wake_at() <= now {
                fleet.turn(now);
            }
            while fleet.next_news().is_some() {}
            while let Some(out) = fleet.next_output() {
                let Out::Send { to, message } = out else { continue };
                let is_digest = matches!(message, Message::Digest { .. });
                let Some(frame) = codec.write(to, fleet.life(), message) else { continue };
                let sent = &mut self.sent[place];
                *sent = (sent.0 + 1, sent.1 + frame.len() as u64);
                self.digest_bytes += if is_digest { frame.len() as u64 } else { 0 };
                if self.rng.random::<f64>() >= self.loss {
                    let delay = DELAY.0 + DELAY.1 * self.rng.random::<f64>();
                    let look = self.look + (delay / fine).ceil().max(1.0) as u64;
                    self.under_way.entry(look).or_default().push((self.places[&to], frame));
                }
            }
        }
    }

    fn pass(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.step();
        }
    }

    /// Steps until it holds, `most` seconds at most: seconds.
    fn until(&mut self, most: f64, mut holds: impl FnMut(&mut Sim) -> bool) -> f64 {
        let begin = self.now;
        while !holds(self) && self.now - begin < most {
            self.step();
        }
        self.now - begin
    }

    fn rates(&mut self, seconds: f64, mut each: impl FnMut(&mut Sim)) -> Rates {
        let (sent, received) = (self.sent.clone(), self.received_bytes.clone());
        let (digests, processor) = (self.digest_bytes, thread_seconds());
        let until = self.now + seconds;
        while self.now < until {
            self.step();
            each(self);
        }
        let mut rates = Rates::default();
        let per = seconds * self.fronts.len() as f64;
        for place in 0..self.fronts.len() {
            let frames = self.sent[place].0 - sent[place].0;
            let bytes = self.sent[place].1 - sent[place].1;
            let received_bytes = self.received_bytes[place] - received[place];
            rates.frames += frames as f64 / per;
            rates.bytes += bytes as f64 / per;
            rates.received_bytes += received_bytes as f64 / per;
            rates.bytes_max = rates.bytes_max.max((bytes + received_bytes) as f64 / seconds);
        }
        rates.digest_bytes = (self.digest_bytes - digests) as f64 / per;
        rates.core_share = (thread_seconds() - processor) / per;
        rates
    }
}

fn call(n: u64) -> CallWord {
    let at = SocketAddr::from(([10, 0, (n / 250 % 250) as u8, (n % 250) as u8], 5060));
    CallWord {
        epoch: 1,
        server: SocketAddr::from(([10, 1, 0, (n % 16) as u8], 5060)),
        leg_call_id: format!("{n:016x}-{:x}-{:x}", n % 4096, n % 65_536),
        leg_from: format!("<sip:front@10.0.0.1>;tag={n:016x}"),
        leg_to: format!("<sip:+91{n:010}@10.1.0.1>;tag=s{n:08x}"),
        leg_target: format!("sip:s@10.1.0.{}:5060", n % 16),
        call_id: format!("{n:016x}@caller.example.org"),
        local: format!("<sip:+91{n:010}@10.0.0.1>;tag={n:016x}"),
        remote: format!("<sip:r@example.org>;tag=g{n:08x}"),
        target: format!("sip:r@{at}"),
        caller: Some(at),
    }
}

/// Measures one fleet.
pub fn measure(shape: &SizeShape) -> Size {
    let resident_before = resident_bytes();
    let mut sim = Sim::new(shape);
    let count = shape.fronts;
    let mut out = Size { fronts: count, calls: shape.calls, loss: shape.loss, ..Size::default() };
    out.met_after = sim.until(120.0, |sim| {
        let names = sim.names.clone();
        // Looked at now and then: a look at all is dear.
        sim.look % 20 == 0
            && (0..count).all(|n| {
                let knows = |f: &mut Fleet| names.iter().all(|of| f.copies().life(*of).number > 0);
                sim.at(n).is_some_and(knows)
            })
    });
    let idle = sim.rates(IDLE, |_| ());
    (out.idle_frames, out.idle_bytes) = (idle.frames, idle.bytes);
    (out.idle_received_bytes, out.idle_bytes_max) = (idle.received_bytes, idle.bytes_max);
    (out.idle_digest_bytes, out.idle_core_share) = (idle.digest_bytes, idle.core_share);
    out.memory_mb = resident_bytes().saturating_sub(resident_before) as f64 / 1e6 / count as f64;
    spread(&mut sim, &mut out);
    if shape.calls_a_second > 0.0 {
        churn(&mut sim, shape, &mut out);
    }
    if shape.calls > 0 {
        catch_up(&mut sim, shape, &mut out);
    }
    out
}

fn spread(sim: &mut Sim, out: &mut Size) {
    let now = sim.now;
    let address = SocketAddr::from(([10, 1, 0, 1], 5060));
    let word = ServerWord { pool: 1, incarnation: 1, told: ReportedState::Draining, age: None };
    if let Some(front) = sim.at(0) {
        front.tell_server(now, address, word);
    }
    let (of, count) = (sim.names[0], sim.fronts.len());
    let mut half = None;
    out.spread_all = sim.until(60.0, |sim| {
        let knows = sim.fronts.iter().flatten().filter(|f| f.0.copies().held(of) > 0).count();
        if 2 * knows > count {
            half.get_or_insert(sim.now - now);
        }
        knows == count
    });
    out.spread_half = half.unwrap_or(f64::INFINITY);
}

fn churn(sim: &mut Sim, shape: &SizeShape, out: &mut Size) {
    let mut ending: BTreeMap<u64, Vec<(usize, u64)>> = BTreeMap::new();
    let (mut next, mut due) = (1 << 40, vec![0.0; shape.fronts]);
    let per_step = shape.calls_a_second * EVERY / FINE;
    let mut each = |sim: &mut Sim| {
        let (now, look) = (sim.now, sim.look);
        for (place, due) in due.iter_mut().enumerate() {
            *due += per_step * sim.rng.random::<f64>() * 2.0;
            while *due >= 1.0 {
                *due -= 1.0;
                next += 1;
                let ends = look + (STANDS * FINE / EVERY) as u64;
                ending.entry(ends).or_default().push((place, next));
                if let Some(front) = sim.at(place) {
                    front.tell_call(now, next, Some(call(next)));
                }
            }
        }
        for (place, n) in ending.remove(&look).unwrap_or_default() {
            if let Some(front) = sim.at(place) {
                front.tell_call(now, n, None);
            }
        }
    };
    // Until as many end as begin.
    sim.rates(STANDS, &mut each);
    out.churn_bytes = sim.rates(10.0, &mut each).bytes;
    // The rest ends, so that what follows begins from nothing.
    for (place, n) in std::mem::take(&mut ending).into_values().flatten() {
        let now = sim.now;
        if let Some(front) = sim.at(place) {
            front.tell_call(now, n, None);
        }
    }
    sim.pass(10.0);
}

fn catch_up(sim: &mut Sim, shape: &SizeShape, out: &mut Size) {
    let count = shape.fronts;
    for n in 0..shape.calls {
        let now = sim.now;
        if let Some(front) = sim.at((n % count as u64) as usize) {
            front.tell_call(now, n, Some(call(n)));
        }
    }
    let has = |sim: &mut Sim, place: usize| -> u64 {
        let names = sim.names.clone();
        sim.at(place).map_or(0, |f| names.iter().map(|name| f.copies().calls_of(*name).count() as u64).sum())
    };
    let all: BTreeSet<usize> = (0..count).collect();
    let mut lacks = all.clone();
    sim.until(600.0, |sim| {
        if sim.look % 20 == 0 {
            lacks = lacks.iter().copied().filter(|place| has(sim, *place) < shape.calls).collect();
        }
        lacks.is_empty()
    });
    sim.fronts[1] = None;
    sim.pass(2.0);
    let before = sim.sent.clone();
    let begin = sim.now;
    sim.start(1, 2);
    let mut second = (sim.now, sim.sent.clone());
    let mut most = 0.0f64;
    out.catch_up = sim.until(600.0, |sim| {
        if sim.now - second.0 >= 1.0 {
            let peers = (0..count).filter(|n| *n != 1);
            let sent = peers.map(|n| sim.sent[n].1 - second.1[n].1).max().unwrap_or(0);
            most = most.max(sent as f64 / (sim.now - second.0));
            second = (sim.now, sim.sent.clone());
        }
        sim.look % 4 == 0 && has(sim, 1) >= shape.calls
    });
    let idle = out.idle_bytes * (sim.now - begin) * count as f64;
    let bytes: u64 = (0..count).map(|n| sim.sent[n].1 - before[n].1).sum();
    out.catch_up_bytes = (bytes as f64 - idle).max(0.0) as u64;
    out.most_asked = (most - out.idle_bytes).max(0.0);
}
