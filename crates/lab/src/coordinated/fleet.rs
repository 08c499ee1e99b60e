//! The simulated fleet: its nodes, the frames in flight, and the traffic and processor time spent.

use crate::resources::thread_seconds;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_coordinator::{
    Client, ClientEvent, ClientParams, Coordinator, CoordinatorParams, Incarnation, NodeId, Outgoing,
};
use shalespindle_peer_wire::{front_id, Body, Codec};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Simulation step, seconds.
pub(crate) const STEP_SECONDS: f64 = 0.025;
/// Network delay of a frame, seconds: the minimum, and the maximum of the random time added to it.
const NETWORK_DELAY: (f64, f64) = (0.02, 0.02);
/// Base of incarnation numbers: milliseconds of Unix time, as real processes use.
const INCARNATION_BASE: u64 = 1_790_000_000_000;
/// Maximum number of senders for which one codec holds state.
const MAX_SENDERS: usize = 4096;

/// Index of a node in the fleet: coordinators first, then fronts.
pub(crate) type NodeIndex = usize;

/// A simulated front: the client of the coordinators and the state of its host.
pub(crate) struct Front {
    pub client: Client,
    pub started_at: f64,
    /// Number of the configuration version in force on this front.
    pub in_force: u64,
    /// The servers that the front subscribes to.
    pub scope: Vec<SocketAddr>,
}

/// A node and its state.
pub(crate) enum Node {
    Down,
    Coordinator(Box<Coordinator>),
    Front(Box<Front>),
}

/// Frames and their bytes, sent and received together.
#[derive(Clone, Copy, Default)]
pub(crate) struct Traffic {
    pub bytes: u64,
    pub frames: u64,
}

/// The fleet and its network.
pub(crate) struct Fleet {
    pub now: f64,
    step_number: u64,
    pub coordinators: usize,
    pub regions: usize,
    pub nodes: Vec<Node>,
    codecs: Vec<Option<Codec>>,
    pub names: Vec<NodeId>,
    node_indices: BTreeMap<NodeId, NodeIndex>,
    /// Frames in flight, by the step at which they arrive: destination and frame.
    in_flight: BTreeMap<u64, Vec<(NodeIndex, Vec<u8>)>>,
    pub rng: ChaCha8Rng,
    loss: f64,
    /// The region that is partitioned from the others.
    pub partitioned_region: Option<usize>,
    pub traffic: Vec<Traffic>,
    /// Processor time spent in fronts, their codecs included.
    pub front_seconds: f64,
    /// Processor time spent in coordinators, their codecs included.
    pub coordinator_seconds: f64,
    starts: u64,
    /// Number of times that the version in force on a front decreased within one incarnation.
    pub version_regressions: u64,
}

impl Fleet {
    pub fn new(coordinators: usize, fronts: usize, regions: usize, loss: f64, seed: u64) -> Fleet {
        let coordinator_names = (0..coordinators).map(|n| format!("c{n}"));
        let names = coordinator_names.chain((0..fronts).map(|n| format!("f{n}")));
        let names: Vec<NodeId> = names.map(|name| NodeId(front_id(&name).0)).collect();
        let count = names.len();
        Fleet {
            now: 0.0,
            step_number: 0,
            coordinators,
            regions,
            nodes: (0..count).map(|_| Node::Down).collect(),
            codecs: (0..count).map(|_| None).collect(),
            node_indices: names.iter().enumerate().map(|(index, name)| (*name, index)).collect(),
            names,
            in_flight: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss,
            partitioned_region: None,
            traffic: vec![Traffic::default(); count],
            front_seconds: 0.0,
            coordinator_seconds: 0.0,
            starts: 0,
            version_regressions: 0,
        }
    }

    /// Region of a node; coordinators and fronts are each distributed over the regions in turn.
    pub fn region(&self, index: NodeIndex) -> usize {
        match index.checked_sub(self.coordinators) {
            Some(front) => front % self.regions,
            None => index % self.regions,
        }
    }

    pub fn fronts(&self) -> std::ops::Range<NodeIndex> {
        self.coordinators..self.nodes.len()
    }

    fn incarnation(&mut self) -> Incarnation {
        self.starts += 1;
        Incarnation { number: INCARNATION_BASE + self.starts, nonce: self.rng.random() }
    }

    fn codec(&self, index: NodeIndex) -> Codec {
        Codec::new([7; 32], shalespindle_peers::FrontId(self.names[index].0), MAX_SENDERS)
    }

    pub fn start_coordinator(&mut self, index: NodeIndex) {
        let incarnation = self.incarnation();
        let peers = self.names[..self.coordinators].to_vec();
        let seed = self.rng.random();
        let params = CoordinatorParams::default();
        let coordinator = Coordinator::new(params, self.names[index], incarnation, &peers, seed, self.now);
        self.codecs[index] = Some(self.codec(index));
        self.nodes[index] = Node::Coordinator(Box::new(coordinator));
    }

    /// Starts a front that subscribes to these servers.
    pub fn start_front(&mut self, index: NodeIndex, scope: Vec<SocketAddr>) {
        let incarnation = self.incarnation();
        let region = self.region(index);
        let own_region = (0..self.coordinators).filter(|c| self.region(*c) == region);
        let coordinators: Vec<NodeId> = own_region.map(|c| self.names[c]).collect();
        let seed = self.rng.random();
        let params = ClientParams::default();
        let mut client = Client::new(params, self.names[index], incarnation, &coordinators, seed, self.now);
        client.subscribe(self.now, scope.iter().copied());
        self.codecs[index] = Some(self.codec(index));
        let started_at = self.now;
        self.nodes[index] = Node::Front(Box::new(Front { client, started_at, in_force: 0, scope }));
    }

    pub fn kill(&mut self, index: NodeIndex) {
        self.nodes[index] = Node::Down;
        self.codecs[index] = None;
    }

    pub fn front(&mut self, index: NodeIndex) -> Option<&mut Front> {
        match &mut self.nodes[index] {
            Node::Front(front) => Some(front),
            _ => None,
        }
    }

    pub fn coordinator(&mut self, index: NodeIndex) -> Option<&mut Coordinator> {
        match &mut self.nodes[index] {
            Node::Coordinator(coordinator) => Some(coordinator),
            _ => None,
        }
    }

    fn is_partitioned(&self, a: NodeIndex, b: NodeIndex) -> bool {
        self.partitioned_region.is_some_and(|region| (self.region(a) == region) != (self.region(b) == region))
    }

    /// Advances the clock by one step: delivers frames, runs expired timers and sends output.
    pub fn step(&mut self) {
        self.step_number += 1;
        self.now = self.step_number as f64 * STEP_SECONDS;
        let arrived = self.in_flight.remove(&self.step_number).unwrap_or_default();
        let (to_coordinators, to_fronts): (Vec<_>, Vec<_>) =
            arrived.into_iter().partition(|(to, _)| *to < self.coordinators);
        let begin = thread_seconds();
        to_coordinators.into_iter().for_each(|(to, frame)| self.deliver(to, &frame));
        (0..self.coordinators).for_each(|index| self.poll(index));
        let coordinators_done = thread_seconds();
        to_fronts.into_iter().for_each(|(to, frame)| self.deliver(to, &frame));
        self.fronts().for_each(|index| self.poll(index));
        self.coordinator_seconds += coordinators_done - begin;
        self.front_seconds += thread_seconds() - coordinators_done;
    }

    fn deliver(&mut self, to: NodeIndex, frame: &[u8]) {
        let Some(codec) = &mut self.codecs[to] else { return };
        self.traffic[to].bytes += frame.len() as u64;
        self.traffic[to].frames += 1;
        let Ok((from, Body::Coordinator(message))) = codec.read(frame) else { return };
        match &mut self.nodes[to] {
            Node::Coordinator(coordinator) => coordinator.receive(self.now, NodeId(from.0), message),
            Node::Front(front) => front.client.receive(self.now, NodeId(from.0), message),
            Node::Down => {}
        }
    }

    fn poll(&mut self, index: NodeIndex) {
        let now = self.now;
        let mut outgoing = Vec::new();
        let incarnation = match &mut self.nodes[index] {
            Node::Down => return,
            Node::Coordinator(coordinator) => {
                if coordinator.wake_at() <= now {
                    coordinator.poll(now);
                }
                while coordinator.next_event().is_some() {}
                outgoing.extend(std::iter::from_fn(|| coordinator.next_outgoing()));
                coordinator.incarnation()
            }
            Node::Front(front) => {
                self.version_regressions += front.handle_events(now);
                outgoing.extend(std::iter::from_fn(|| front.client.next_outgoing()));
                front.client.incarnation()
            }
        };
        outgoing.into_iter().for_each(|message| self.send(index, incarnation, message));
    }

    fn send(&mut self, from: NodeIndex, incarnation: Incarnation, outgoing: Outgoing) {
        let Some(codec) = &mut self.codecs[from] else { return };
        let Some(frame) = codec.write_coordinator(outgoing.to, incarnation, outgoing.message) else { return };
        self.traffic[from].bytes += frame.len() as u64;
        self.traffic[from].frames += 1;
        let Some(to) = self.node_indices.get(&outgoing.to).copied() else { return };
        if self.rng.random::<f64>() < self.loss || self.is_partitioned(from, to) {
            return;
        }
        let delay = NETWORK_DELAY.0 + NETWORK_DELAY.1 * self.rng.random::<f64>();
        let step_number = self.step_number + (delay / STEP_SECONDS).ceil().max(1.0) as u64;
        self.in_flight.entry(step_number).or_default().push((to, frame));
    }
}

impl Front {
    /// Acts on client events as the host of a front does: accepts the version in force. Returns the number of
    /// versions that were older than the version in force before them.
    fn handle_events(&mut self, now: f64) -> u64 {
        if self.client.wake_at() <= now {
            self.client.poll(now);
        }
        let mut version_regressions = 0;
        while let Some(event) = self.client.next_event() {
            if let ClientEvent::InForce(version) = event {
                version_regressions += u64::from(version.id.number < self.in_force);
                self.in_force = version.id.number;
                self.client.accept_version(now);
            }
        }
        // Output that the events caused is sent in the same step.
        if self.client.wake_at() <= now {
            self.client.poll(now);
        }
        version_regressions
    }
}
