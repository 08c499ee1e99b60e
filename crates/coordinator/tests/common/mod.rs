//! Coordinators and clients under a fake clock, with a network that a test can cut: nothing else.

// Each test program uses a part of it.
#![allow(dead_code)]

use shalespindle_coordinator::{
    Client, ClientEvent, ClientParams, Coordinator, CoordinatorEvent, CoordinatorParams, Incarnation,
    Message, NodeId, ServerState,
};
use shalespindle_membership::ReportedState;
use shalespindle_timeline::Timeline;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A message's way, seconds.
pub const DELAY: f64 = 0.02;

pub fn server(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, n], 5060))
}

pub fn state(incarnation: u64, state: ReportedState) -> ServerState {
    ServerState { incarnation, state }
}

fn name_of(node: NodeId) -> String {
    match node.0.checked_sub(FIRST_CLIENT) {
        Some(client) => format!("f{client}"),
        None => format!("c{}", node.0),
    }
}

fn coordinator_words(event: &CoordinatorEvent) -> String {
    match event {
        CoordinatorEvent::Suspected(nodes) => {
            let names: Vec<String> = nodes.iter().map(|node| name_of(*node)).collect();
            format!("suspects {}", names.join(" "))
        }
        CoordinatorEvent::Isolated(true) => "isolated".into(),
        CoordinatorEvent::Isolated(false) => "not isolated".into(),
        CoordinatorEvent::InForce(version) => format!("version {}", version.id.number),
    }
}

fn client_words(event: &ClientEvent) -> String {
    match event {
        ClientEvent::InForce(version) => format!("acts on {}", version.id.number),
        ClientEvent::Server(address, Some(state)) => {
            format!("{address} {:?} {}", state.state, state.incarnation)
        }
        ClientEvent::Server(address, None) => format!("{address} gone"),
        ClientEvent::Level(level) => format!("level {level:?}"),
        ClientEvent::Connected(true) => "connected".into(),
        ClientEvent::Connected(false) => "not connected".into(),
    }
}

/// Coordinators have the first names, clients those from 100 on.
pub const FIRST_CLIENT: u64 = 100;

#[derive(Default)]
pub struct World {
    pub now: f64,
    pub coordinators: BTreeMap<NodeId, Coordinator>,
    pub clients: BTreeMap<NodeId, Client>,
    pub client_events: Vec<(NodeId, ClientEvent)>,
    pub coordinator_events: Vec<(NodeId, CoordinatorEvent)>,
    /// Nodes that nobody hears and that hear nobody.
    pub cut_off: BTreeSet<NodeId>,
    /// Every message: when it was sent, from, to.
    pub log: Vec<(f64, NodeId, NodeId, Message)>,
    under_way: Vec<(f64, NodeId, NodeId, Message)>,
    starts: u64,
    peers: Vec<NodeId>,
    pub params: CoordinatorParams,
    /// Clients whose hosts refuse every version, and why.
    pub refusing: BTreeMap<NodeId, String>,
    /// What coordinators and clients made known.
    pub timeline: Timeline,
}

impl World {
    /// So many coordinators that know each other, and so many clients of all of them.
    pub fn new(coordinators: u64, clients: u64) -> World {
        World::with(CoordinatorParams::default(), coordinators, clients)
    }

    pub fn with(params: CoordinatorParams, coordinators: u64, clients: u64) -> World {
        let peers = (0..coordinators).map(NodeId).collect();
        const COLUMN_STEP: f64 = 0.1;
        let names = (0..coordinators).map(|n| format!("c{n}"));
        let names = names.chain((0..clients).map(|n| format!("f{n}")));
        let timeline = Timeline::new(names, COLUMN_STEP);
        let mut world = World { peers, params, timeline, ..World::default() };
        (0..coordinators).for_each(|n| world.start_coordinator(n));
        (0..clients).for_each(|n| world.start_client(n));
        world
    }

    /// With version 1 in force everywhere.
    pub fn settled(coordinators: u64, clients: u64) -> World {
        let mut world = World::new(coordinators, clients);
        let now = world.now;
        world.coordinator(0).announce(now, 1, 10).unwrap();
        world.until("version 1 everywhere", 5.0, |world| world.all_act_on(1));
        world.pass(2.0);
        world
    }

    fn incarnation(&mut self) -> Incarnation {
        self.starts += 1;
        Incarnation { number: 1000 + self.starts, nonce: self.starts }
    }

    pub fn start_coordinator(&mut self, n: u64) {
        let incarnation = self.incarnation();
        let coordinator =
            Coordinator::new(self.params.clone(), NodeId(n), incarnation, &self.peers, n, self.now);
        self.coordinators.insert(NodeId(n), coordinator);
    }

    pub fn start_client(&mut self, n: u64) {
        let (incarnation, name) = (self.incarnation(), NodeId(FIRST_CLIENT + n));
        let params = ClientParams::default();
        let mut client = Client::new(params, name, incarnation, &self.peers, n, self.now);
        client.subscribe(self.now, [server(0), server(1)]);
        self.clients.insert(name, client);
    }

    pub fn client(&mut self, n: u64) -> &mut Client {
        self.clients.get_mut(&NodeId(FIRST_CLIENT + n)).unwrap()
    }

    pub fn coordinator(&mut self, n: u64) -> &mut Coordinator {
        self.coordinators.get_mut(&NodeId(n)).unwrap()
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: Message) {
        self.log.push((self.now, from, to, message.clone()));
        if !self.cut_off.contains(&from) && !self.cut_off.contains(&to) {
            self.under_way.push((self.now + DELAY, from, to, message));
        }
    }

    /// One look at the clock.
    pub fn step(&mut self) {
        const STEP: f64 = 0.01;
        self.now += STEP;
        let now = self.now;
        let (arrived, rest) =
            std::mem::take(&mut self.under_way).into_iter().partition(|(at, ..)| *at <= now);
        self.under_way = rest;
        let arrived: Vec<(f64, NodeId, NodeId, Message)> = arrived;
        for (_, from, to, message) in arrived {
            if let Some(coordinator) = self.coordinators.get_mut(&to) {
                coordinator.receive(now, from, message);
            } else if let Some(client) = self.clients.get_mut(&to) {
                client.receive(now, from, message);
            }
        }
        let mut sent = Vec::new();
        for (name, coordinator) in &mut self.coordinators {
            if coordinator.wake_at() <= now {
                coordinator.poll(now);
            }
            sent.extend(std::iter::from_fn(|| coordinator.next_outgoing()).map(|out| (*name, out)));
            while let Some(event) = coordinator.next_event() {
                self.timeline.add(now, name.0 as usize, coordinator_words(&event));
                self.coordinator_events.push((*name, event));
            }
        }
        for (name, client) in &mut self.clients {
            if client.wake_at() <= now {
                client.poll(now);
            }
            while let Some(event) = client.next_event() {
                if matches!(event, ClientEvent::InForce(_)) {
                    match self.refusing.get(name) {
                        Some(reason) => client.refuse_version(now, reason),
                        None => client.accept_version(now),
                    }
                }
                let place = self.peers.len() + (name.0 - FIRST_CLIENT) as usize;
                self.timeline.add(now, place, client_words(&event));
                self.client_events.push((*name, event));
            }
            sent.extend(std::iter::from_fn(|| client.next_outgoing()).map(|out| (*name, out)));
        }
        sent.into_iter().for_each(|(from, out)| self.send(from, out.to, out.message));
    }

    pub fn pass(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.step();
        }
    }

    /// Steps until it holds: seconds. Fails past `most`.
    pub fn until(&mut self, what: &str, most: f64, mut holds: impl FnMut(&mut World) -> bool) -> f64 {
        let begin = self.now;
        while !holds(self) {
            assert!(self.now - begin < most, "{what} did not come within {most} s");
            self.step();
        }
        self.now - begin
    }

    /// Every client acts on that version number.
    pub fn all_act_on(&self, number: u64) -> bool {
        self.clients.values().all(|client| client.status(self.now).acts_on.number == number)
    }

    pub fn all_connected(&self) -> bool {
        self.clients.values().all(|client| client.status(self.now).coordinator.is_some())
    }
}
