//! Measures how the traffic between fronts grows with the size of the fleet.
//!
//! The replication state machines and the codec of the fronts run under virtual time over a network that
//! delays and loses frames. The figures are those of simulated fronts, not of sockets.

use crate::resources::{resident_bytes, thread_seconds};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use shalespindle_peer_wire::{front_id, Body, Codec};
use shalespindle_peers::{FrontId, Incarnation};
use shalespindle_replica::{CallRecord, Fleet, FleetParams, Message, Output, ReportedState, ServerRecord};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Heartbeat interval, seconds: the default of the settings.
const HEARTBEAT_INTERVAL: f64 = 0.5;
/// Simulation steps per heartbeat interval.
const STEPS_PER_HEARTBEAT: f64 = 20.0;
/// Network delay of a frame, seconds: the minimum, and the maximum of the random time added to it.
const NETWORK_DELAY: (f64, f64) = (0.02, 0.02);
/// Duration of a call in the churn, seconds.
const CALL_DURATION: f64 = 10.0;
/// Base of incarnation numbers: milliseconds of Unix time, as real processes use.
const INCARNATION_BASE: u64 = 1_790_000_000_000;
/// Duration of the measurement of an idle fleet, seconds.
const IDLE_DURATION: f64 = 10.0;

/// Parameters of one measurement.
#[derive(Clone, Debug)]
pub struct SizeShape {
    /// Number of fronts.
    pub fronts: usize,
    /// Established calls in the whole fleet when one front restarts without state; 0: no front restarts.
    pub calls: u64,
    /// Calls per second that begin at each front during the churn; 0: no churn.
    pub calls_a_second: f64,
    /// Fraction of the frames that is lost.
    pub loss: f64,
    /// Seed of the random generator.
    pub seed: u64,
}

/// Results of one measurement. Bytes are those of frames, without IP and UDP headers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Size {
    pub fronts: usize,
    pub calls: u64,
    pub loss: f64,
    /// Bytes per second that a front sends when idle.
    pub idle_bytes: f64,
    /// Frames per second that a front sends when idle.
    pub idle_frames: f64,
    /// Bytes per second that a front receives when idle.
    pub idle_received_bytes: f64,
    /// Maximum over the fronts of the bytes per second sent and received when idle.
    pub idle_bytes_max: f64,
    /// The share of `idle_bytes` that is digests, bytes per second; the rest is deltas.
    pub idle_digest_bytes: f64,
    /// Processor time of an idle front divided by elapsed virtual time; includes the simulated network's
    /// work.
    pub idle_core_share: f64,
    /// Resident memory that a front adds to the process, megabytes; includes frames in flight.
    pub memory_mb: f64,
    /// Bytes per second that a front sends while calls begin and end.
    pub churn_bytes: f64,
    /// Seconds until a warning of one front is known to more than half of the fronts.
    pub spread_half: f64,
    /// Seconds until a warning of one front is known to all fronts.
    pub spread_all: f64,
    /// Seconds until a front that restarted without state holds the records of all calls, its own included.
    pub catch_up: f64,
    /// Bytes sent by all fronts during the catch-up, idle traffic subtracted.
    pub catch_up_bytes: u64,
    /// Maximum over the other fronts of the bytes per second sent during the catch-up, idle traffic
    /// subtracted.
    pub most_asked: f64,
    /// Seconds from the start until every front knows the incarnation of every other front.
    pub met_after: f64,
}

/// The simulated fleet and its network.
struct Sim {
    params: FleetParams,
    now: f64,
    names: Vec<FrontId>,
    indices: BTreeMap<FrontId, usize>,
    fronts: Vec<Option<(Fleet, Codec)>>,
    /// Frames in flight, by the step at which they arrive: destination and frame.
    in_flight: BTreeMap<u64, Vec<(usize, Vec<u8>)>>,
    step_number: u64,
    rng: ChaCha8Rng,
    loss: f64,
    /// Frames and bytes that each front has sent.
    sent: Vec<(u64, u64)>,
    received_bytes: Vec<u64>,
    digest_bytes: u64,
}

/// Traffic of the average front over an interval, per second.
#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    frames: f64,
    bytes: f64,
    received_bytes: f64,
    /// Sent and received together, of the front with the most traffic.
    bytes_max: f64,
    digest_bytes: f64,
    core_share: f64,
}

impl Sim {
    fn new(shape: &SizeShape) -> Sim {
        let names: Vec<FrontId> = (0..shape.fronts).map(|n| front_id(&format!("f{n}"))).collect();
        let mut params = FleetParams::with_heartbeat_interval(HEARTBEAT_INTERVAL);
        params.replicas.max_facts = 2_000_000;
        let mut sim = Sim {
            params,
            now: 0.0,
            indices: names.iter().enumerate().map(|(index, name)| (*name, index)).collect(),
            names,
            fronts: Vec::new(),
            in_flight: BTreeMap::new(),
            step_number: 0,
            rng: ChaCha8Rng::seed_from_u64(shape.seed),
            loss: shape.loss,
            sent: vec![(0, 0); shape.fronts],
            received_bytes: vec![0; shape.fronts],
            digest_bytes: 0,
        };
        (0..shape.fronts).for_each(|_| sim.fronts.push(None));
        (0..shape.fronts).for_each(|index| sim.start(index, 1));
        sim
    }

    /// Starts a front without state; `start_number` counts the starts.
    fn start(&mut self, index: usize, start_number: u64) {
        // As large as in a real process: the start time in milliseconds of Unix time and 64 random bits.
        let incarnation = Incarnation { number: INCARNATION_BASE + start_number, nonce: self.rng.random() };
        let own = self.names[index];
        // Heartbeats of different fronts are not synchronized.
        let begin = self.now + HEARTBEAT_INTERVAL * self.rng.random::<f64>();
        let fleet = Fleet::new(self.params.clone(), own, incarnation, &self.names, index as u64, begin);
        self.fronts[index] = Some((fleet, Codec::new([7; 32], own, self.names.len())));
    }

    fn fleet(&mut self, index: usize) -> Option<&mut Fleet> {
        self.fronts[index].as_mut().map(|front| &mut front.0)
    }

    /// Advances the clock by one step: delivers frames, runs expired timers and sends output.
    fn step(&mut self) {
        let step_seconds = HEARTBEAT_INTERVAL / STEPS_PER_HEARTBEAT;
        self.step_number += 1;
        self.now = self.step_number as f64 * step_seconds;
        let now = self.now;
        for (to, frame) in self.in_flight.remove(&self.step_number).unwrap_or_default() {
            let Some((fleet, codec)) = &mut self.fronts[to] else { continue };
            self.received_bytes[to] += frame.len() as u64;
            if let Ok((from, Body::Fleet(message))) = codec.read(&frame) {
                fleet.receive(now, from, message);
            }
        }
        for index in 0..self.fronts.len() {
            let Some((fleet, codec)) = &mut self.fronts[index] else { continue };
            if fleet.next_wakeup() <= now {
                fleet.turn(now);
            }
            while fleet.next_event().is_some() {}
            while let Some(out) = fleet.next_output() {
                let Output::Send { to, message } = out else { continue };
                let is_digest = matches!(message, Message::Digest { .. });
                let Some(frame) = codec.write(to, fleet.incarnation(), message) else { continue };
                let sent = &mut self.sent[index];
                *sent = (sent.0 + 1, sent.1 + frame.len() as u64);
                self.digest_bytes += if is_digest { frame.len() as u64 } else { 0 };
                if self.rng.random::<f64>() >= self.loss {
                    let delay = NETWORK_DELAY.0 + NETWORK_DELAY.1 * self.rng.random::<f64>();
                    let step_number = self.step_number + (delay / step_seconds).ceil().max(1.0) as u64;
                    self.in_flight.entry(step_number).or_default().push((self.indices[&to], frame));
                }
            }
        }
    }

    /// Steps for that many seconds of virtual time.
    fn run_for(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.step();
        }
    }

    /// Steps until the condition holds, at most `max_seconds`; returns the elapsed seconds.
    fn run_until(&mut self, max_seconds: f64, mut condition: impl FnMut(&mut Sim) -> bool) -> f64 {
        let begin = self.now;
        while !condition(self) && self.now - begin < max_seconds {
            self.step();
        }
        self.now - begin
    }

    /// Steps for that many seconds, calls `each` after every step and returns the traffic of the interval.
    fn rates(&mut self, seconds: f64, mut each: impl FnMut(&mut Sim)) -> Rates {
        let (sent, received) = (self.sent.clone(), self.received_bytes.clone());
        let (digests, processor) = (self.digest_bytes, thread_seconds());
        let until = self.now + seconds;
        while self.now < until {
            self.step();
            each(self);
        }
        let mut rates = Rates::default();
        let front_seconds = seconds * self.fronts.len() as f64;
        for index in 0..self.fronts.len() {
            let frames = self.sent[index].0 - sent[index].0;
            let bytes = self.sent[index].1 - sent[index].1;
            let received_bytes = self.received_bytes[index] - received[index];
            rates.frames += frames as f64 / front_seconds;
            rates.bytes += bytes as f64 / front_seconds;
            rates.received_bytes += received_bytes as f64 / front_seconds;
            rates.bytes_max = rates.bytes_max.max((bytes + received_bytes) as f64 / seconds);
        }
        rates.digest_bytes = (self.digest_bytes - digests) as f64 / front_seconds;
        rates.core_share = (thread_seconds() - processor) / front_seconds;
        rates
    }
}

/// A call record whose fields have realistic lengths.
fn call_record(number: u64) -> CallRecord {
    let caller = SocketAddr::from(([10, 0, (number / 250 % 250) as u8, (number % 250) as u8], 5060));
    CallRecord {
        epoch: 1,
        server: SocketAddr::from(([10, 1, 0, (number % 16) as u8], 5060)),
        leg_call_id: format!("{number:016x}-{:x}-{:x}", number % 4096, number % 65_536),
        leg_from: format!("<sip:front@10.0.0.1>;tag={number:016x}"),
        leg_to: format!("<sip:+91{number:010}@10.1.0.1>;tag=s{number:08x}"),
        leg_target: format!("sip:s@10.1.0.{}:5060", number % 16),
        call_id: format!("{number:016x}@caller.example.org"),
        local: format!("<sip:+91{number:010}@10.0.0.1>;tag={number:016x}"),
        remote: format!("<sip:r@example.org>;tag=g{number:08x}"),
        target: format!("sip:r@{caller}"),
        caller: Some(caller),
    }
}

/// Measures one simulated fleet.
pub fn measure(shape: &SizeShape) -> Size {
    let resident_before = resident_bytes();
    let mut sim = Sim::new(shape);
    let count = shape.fronts;
    let mut out = Size { fronts: count, calls: shape.calls, loss: shape.loss, ..Size::default() };
    out.met_after = sim.run_until(120.0, |sim| {
        let names = sim.names.clone();
        // Checked on every 20th step only: the check compares all pairs of fronts.
        sim.step_number % 20 == 0
            && (0..count).all(|n| {
                let knows_all =
                    |f: &mut Fleet| names.iter().all(|of| f.replicas().incarnation(*of).number > 0);
                sim.fleet(n).is_some_and(knows_all)
            })
    });
    let idle = sim.rates(IDLE_DURATION, |_| ());
    (out.idle_frames, out.idle_bytes) = (idle.frames, idle.bytes);
    (out.idle_received_bytes, out.idle_bytes_max) = (idle.received_bytes, idle.bytes_max);
    (out.idle_digest_bytes, out.idle_core_share) = (idle.digest_bytes, idle.core_share);
    out.memory_mb = resident_bytes().saturating_sub(resident_before) as f64 / 1e6 / count as f64;
    measure_spread(&mut sim, &mut out);
    if shape.calls_a_second > 0.0 {
        measure_churn(&mut sim, shape, &mut out);
    }
    if shape.calls > 0 {
        measure_catch_up(&mut sim, shape, &mut out);
    }
    out
}

/// Measures how long a warning of one front takes to reach the others.
fn measure_spread(sim: &mut Sim, out: &mut Size) {
    let now = sim.now;
    let address = SocketAddr::from(([10, 1, 0, 1], 5060));
    let record = ServerRecord { pool: 1, incarnation: 1, reported: ReportedState::Draining, age: None };
    if let Some(front) = sim.fleet(0) {
        front.publish_server(now, address, record);
    }
    let (of, count) = (sim.names[0], sim.fronts.len());
    let mut half = None;
    out.spread_all = sim.run_until(60.0, |sim| {
        let knows = sim.fronts.iter().flatten().filter(|f| f.0.replicas().fact_count(of) > 0).count();
        if 2 * knows > count {
            half.get_or_insert(sim.now - now);
        }
        knows == count
    });
    out.spread_half = half.unwrap_or(f64::INFINITY);
}

/// Measures the traffic while calls begin and end.
fn measure_churn(sim: &mut Sim, shape: &SizeShape, out: &mut Size) {
    let mut ending: BTreeMap<u64, Vec<(usize, u64)>> = BTreeMap::new();
    let (mut next, mut credit) = (1 << 40, vec![0.0; shape.fronts]);
    let per_step = shape.calls_a_second * HEARTBEAT_INTERVAL / STEPS_PER_HEARTBEAT;
    let mut each = |sim: &mut Sim| {
        let (now, step_number) = (sim.now, sim.step_number);
        for (index, credit) in credit.iter_mut().enumerate() {
            *credit += per_step * sim.rng.random::<f64>() * 2.0;
            while *credit >= 1.0 {
                *credit -= 1.0;
                next += 1;
                let ends = step_number + (CALL_DURATION * STEPS_PER_HEARTBEAT / HEARTBEAT_INTERVAL) as u64;
                ending.entry(ends).or_default().push((index, next));
                if let Some(front) = sim.fleet(index) {
                    front.publish_call(now, next, Some(call_record(next)));
                }
            }
        }
        for (index, n) in ending.remove(&step_number).unwrap_or_default() {
            if let Some(front) = sim.fleet(index) {
                front.publish_call(now, n, None);
            }
        }
    };
    // Warm-up until calls end at the rate at which they begin.
    sim.rates(CALL_DURATION, &mut each);
    out.churn_bytes = sim.rates(10.0, &mut each).bytes;
    // Ends the remaining calls, so that the next measurement starts without calls.
    for (index, n) in std::mem::take(&mut ending).into_values().flatten() {
        let now = sim.now;
        if let Some(front) = sim.fleet(index) {
            front.publish_call(now, n, None);
        }
    }
    sim.run_for(10.0);
}

/// Measures how a front that restarts without state gets the call records of the fleet.
fn measure_catch_up(sim: &mut Sim, shape: &SizeShape, out: &mut Size) {
    let count = shape.fronts;
    for n in 0..shape.calls {
        let now = sim.now;
        if let Some(front) = sim.fleet((n % count as u64) as usize) {
            front.publish_call(now, n, Some(call_record(n)));
        }
    }
    let call_count = |sim: &mut Sim, index: usize| -> u64 {
        let names = sim.names.clone();
        sim.fleet(index)
            .map_or(0, |f| names.iter().map(|name| f.replicas().calls_of(*name).count() as u64).sum())
    };
    let all: BTreeSet<usize> = (0..count).collect();
    let mut incomplete = all.clone();
    sim.run_until(600.0, |sim| {
        if sim.step_number % 20 == 0 {
            incomplete =
                incomplete.iter().copied().filter(|index| call_count(sim, *index) < shape.calls).collect();
        }
        incomplete.is_empty()
    });
    sim.fronts[1] = None;
    sim.run_for(2.0);
    let before = sim.sent.clone();
    let begin = sim.now;
    sim.start(1, 2);
    let mut sample = (sim.now, sim.sent.clone());
    let mut max_rate = 0.0f64;
    out.catch_up = sim.run_until(600.0, |sim| {
        if sim.now - sample.0 >= 1.0 {
            let peers = (0..count).filter(|n| *n != 1);
            let sent = peers.map(|n| sim.sent[n].1 - sample.1[n].1).max().unwrap_or(0);
            max_rate = max_rate.max(sent as f64 / (sim.now - sample.0));
            sample = (sim.now, sim.sent.clone());
        }
        sim.step_number % 4 == 0 && call_count(sim, 1) >= shape.calls
    });
    let idle = out.idle_bytes * (sim.now - begin) * count as f64;
    let bytes: u64 = (0..count).map(|n| sim.sent[n].1 - before[n].1).sum();
    out.catch_up_bytes = (bytes as f64 - idle).max(0.0) as u64;
    out.most_asked = (max_rate - out.idle_bytes).max(0.0);
}
