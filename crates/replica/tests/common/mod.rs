//! Fronts that exchange messages over a simulated network with loss, duplication, reordering, cuts and
//! crashes.

// Each test binary uses only some of these helpers.
#![allow(dead_code)]

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_peers::{FrontId, Incarnation};
use shalespindle_replica::{CallRecord, Fleet, FleetEvent, FleetParams, Message, Output, ServerRecord};
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub const HEARTBEAT_INTERVAL: f64 = 0.2;

pub fn server(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], n))
}

/// Record of the call with that number.
pub fn record(n: u64) -> CallRecord {
    CallRecord {
        epoch: 1,
        server: "127.0.0.1:5070".parse().unwrap(),
        leg_call_id: format!("leg-{n}"),
        leg_from: "<sip:a>;tag=1".into(),
        leg_to: "<sip:b>;tag=2".into(),
        leg_target: "sip:b@127.0.0.1:5070".into(),
        call_id: format!("c{n}"),
        local: "<sip:b>;tag=3".into(),
        remote: "<sip:a>;tag=4".into(),
        target: "sip:a@127.0.0.1:5080".into(),
        caller: Some("127.0.0.1:5080".parse().unwrap()),
    }
}

pub struct Network {
    params: FleetParams,
    pub fronts: Vec<Option<Fleet>>,
    rng: ChaCha8Rng,
    pub now: f64,
    /// Messages in flight: arrival time, receiver, sender, message.
    pub in_flight: Vec<(f64, usize, usize, Message)>,
    /// Fraction of messages that are lost, and of those that are duplicated.
    pub loss: f64,
    /// Maximum delay of a message in seconds, in addition to a step of the clock; drawn for each message.
    pub max_delay: f64,
    /// Pairs of sender and receiver whose messages are all lost.
    pub cut: Vec<(usize, usize)>,
    pub events: BTreeMap<usize, Vec<FleetEvent>>,
    pub sent: usize,
}

impl Network {
    pub fn new(count: usize, seed: u64, params: FleetParams) -> Network {
        let mut net = Network {
            params,
            fronts: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0.0,
            in_flight: Vec::new(),
            loss: 0.0,
            max_delay: 0.0,
            cut: Vec::new(),
            events: BTreeMap::new(),
            sent: 0,
        };
        net.fronts = (0..count).map(|n| Some(net.front(n, count, 1))).collect();
        net
    }

    fn front(&self, own: usize, of: usize, incarnation: u64) -> Fleet {
        let listed: Vec<FrontId> = (0..of as u64).map(FrontId).collect();
        let incarnation = Incarnation { number: incarnation, nonce: own as u64 };
        Fleet::new(
            self.params.clone(),
            FrontId(own as u64),
            incarnation,
            &listed,
            own as u64 + 10 * incarnation.number,
            self.now,
        )
    }

    pub fn restart(&mut self, n: usize, incarnation: u64) {
        self.fronts[n] = Some(self.front(n, self.fronts.len(), incarnation));
    }

    pub fn advance(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += HEARTBEAT_INTERVAL / 8.0;
            let (due, later) = std::mem::take(&mut self.in_flight).into_iter().partition(|u| u.0 <= self.now);
            self.in_flight = later;
            let due: Vec<(f64, usize, usize, Message)> = due;
            for (_, to, from, message) in due {
                if let Some(front) = &mut self.fronts[to] {
                    front.receive(self.now, FrontId(from as u64), message);
                }
            }
            for index in 0..self.fronts.len() {
                let Some(front) = &mut self.fronts[index] else { continue };
                front.turn(self.now);
                while let Some(events) = front.next_event() {
                    self.events.entry(index).or_default().push(events);
                }
                while let Some(out) = front.next_output() {
                    let Output::Send { to, message } = out else { continue };
                    let to = to.0 as usize;
                    self.sent += 1;
                    for _ in 0..2 {
                        let lost = self.rng.random::<f64>() < self.loss || self.cut.contains(&(index, to));
                        let delay = self.max_delay * self.rng.random::<f64>();
                        if !lost {
                            self.in_flight.push((self.now + delay, to, index, message.clone()));
                        }
                        // Duplicated as often as lost.
                        if self.rng.random::<f64>() >= self.loss {
                            break;
                        }
                    }
                }
            }
        }
    }

    pub fn at(&mut self, n: usize) -> &mut Fleet {
        self.fronts[n].as_mut().unwrap()
    }

    /// Establishes the calls with these numbers at a front.
    pub fn establish(&mut self, front: usize, calls: std::ops::Range<u64>) {
        let now = self.now;
        calls.for_each(|n| self.at(front).publish_call(now, n, Some(record(n))));
    }

    /// Whether all replicas on all running fronts are equal.
    pub fn replicas_are_equal(&self) -> bool {
        let running = || self.fronts.iter().flatten();
        (0..self.fronts.len() as u64).all(|of| {
            let mut replicas = running().map(|f| f.replicas().facts(FrontId(of)));
            let first = replicas.next();
            replicas.all(|c| Some(&c) == first.as_ref())
        })
    }

    pub fn publish(&mut self, front: usize, n: u16, record: ServerRecord) {
        let now = self.now;
        self.fronts[front].as_mut().unwrap().publish_server(now, server(n), record);
    }

    pub fn withdraw(&mut self, front: usize, n: u16) {
        let now = self.now;
        self.fronts[front].as_mut().unwrap().withdraw_server(now, server(n));
    }

    pub fn owned(&self, front: usize) -> usize {
        self.fronts[front].as_ref().unwrap().replicas().calls_of(FrontId(front as u64)).count()
    }

    /// Calls that a front had to release for a dead front.
    pub fn released(&self, front: usize) -> Vec<u64> {
        let events = self.events.get(&front).into_iter().flatten();
        events
            .filter_map(|n| if let FleetEvent::Release { call, .. } = n { Some(*call) } else { None })
            .collect()
    }

    /// Calls of a front that other fronts ended, sorted.
    pub fn ended(&self, front: usize) -> Vec<u64> {
        let events = self.events.get(&front).into_iter().flatten();
        let ended =
            events.filter_map(|n| if let FleetEvent::CallEnded { call } = n { Some(*call) } else { None });
        let mut ended: Vec<u64> = ended.collect();
        ended.sort();
        ended
    }

    pub fn all_released(&self) -> Vec<u64> {
        let mut all: Vec<u64> = (0..self.fronts.len()).flat_map(|front| self.released(front)).collect();
        all.sort();
        all
    }
}
