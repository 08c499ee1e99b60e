//! Simulates calls that pass through several fronts in a row.
//!
//! Measures how setup tries multiply along the chain, and which tries still run after the caller has given
//! up. Each hop is a real decision module under virtual time; links, servers and failures are simulated.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use shalespindle_control::control::Control;
use shalespindle_control::interface::{
    ColdStart, Decision, Deployment, EndReason, NewAttach, PoolEntry, Procedure, Report,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Servers of one hop: the average number of servers of a service.
const SERVERS: u64 = 6;
/// Delay of a message from one hop to the next, seconds.
const WAY: f64 = 0.001;
/// Time that the last server takes to answer, seconds.
const WORK: f64 = 0.02;
/// Interval between two calls, seconds.
const APART: f64 = 0.2;

/// Hops at which tries fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failing {
    /// Only the middle hop.
    OneHop,
    /// Every hop.
    AllHops,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct ChainShape {
    /// Number of fronts that a call passes through.
    pub hops: usize,
    /// Number of calls.
    pub calls: u32,
    /// Fraction of the tries that fail at a failing hop.
    pub failing: f64,
    /// The failing hops.
    pub at: Failing,
    /// Time after which a caller gives up, seconds.
    pub patience: f64,
    /// Seed of the random generator.
    pub seed: u64,
}

/// Results of a simulation.
#[derive(Clone, Debug, Serialize)]
pub struct ChainCost {
    /// Number of fronts that a call passes through.
    pub hops: usize,
    /// Number of calls.
    pub calls: u32,
    /// Fraction of the tries that fail at a failing hop.
    pub failing: f64,
    /// The failing hops.
    pub at: Failing,
    /// Seed of the random generator.
    pub seed: u64,
    /// Fraction of the calls that were established.
    pub stood: f64,
    /// Tries that reached the last server, per call.
    pub tries_at_last: f64,
    /// Tries of all hops, per call.
    pub tries: f64,
    /// Median of the time from a call's arrival until it is established, seconds.
    pub p50_s: f64,
    /// 99th percentile of the same time, seconds.
    pub p99_s: f64,
    /// Tries that reached the last server after the caller had given up, per call.
    pub run_for_nobody: f64,
}

type Ue = u32;

/// An event at a hop. A try is identified by its attach and its number within the attach.
#[derive(Clone, Copy, Debug)]
enum Event {
    Arrives { hop: usize, call: u32, patience: f64, of: Option<(Ue, u32)> },
    Answered { hop: usize, ue: Ue, number: u32, ended: Option<EndReason> },
    TimedOut { hop: usize, ue: Ue, number: u32 },
    GivenUp { hop: usize, call: u32 },
    Wake { hop: usize },
}

struct Attach {
    call: u32,
    /// The try of the previous hop that this attach serves; none at the first hop.
    of: Option<(Ue, u32)>,
    tries: u32,
    out: Option<(u64, f64)>,
}

struct Hop {
    control: Control,
    attaches: BTreeMap<Ue, Attach>,
    next: Ue,
}

struct Chain<'a> {
    shape: &'a ChainShape,
    hops: Vec<Hop>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event: u64,
    rng: ChaCha8Rng,
    arrived_at: Vec<f64>,
    stood_after: Vec<f64>,
    tries: u64,
    tries_at_last: u64,
    run_for_nobody: u64,
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).round() as u64
}

fn deployment(patience: f64) -> Deployment {
    let procedure = Procedure {
        latency_target: patience / 2.0,
        utility: 1.0,
        late_share: 0.25,
        t_timer: patience,
        pools: (0..SERVERS as u16).collect(),
    };
    Deployment {
        procedures: vec![procedure],
        may_probe: true,
        may_cancel: true,
        max_tries: 4,
        release_guard: 0.5,
        max_pause: 2.0,
        cold: ColdStart {
            start_capacity: 0.3,
            warm_after: 15.0,
            overload_multiple: 2.0,
            overload_window: 1.0,
        },
    }
}

/// Runs one simulation.
pub fn measure(shape: &ChainShape) -> ChainCost {
    let mut chain = Chain::new(shape);
    while let Some(Reverse((at, number))) = chain.due.pop() {
        let Some(event) = chain.events.remove(&number) else { continue };
        chain.happen(at as f64 / 1e6, event);
    }
    let calls = f64::from(shape.calls.max(1));
    chain.stood_after.sort_by(f64::total_cmp);
    let stood = chain.stood_after.len();
    let at = |part: f64| {
        let place = (part * stood.saturating_sub(1) as f64).round() as usize;
        chain.stood_after.get(place).copied().unwrap_or(0.0)
    };
    ChainCost {
        hops: shape.hops,
        calls: shape.calls,
        failing: shape.failing,
        at: shape.at,
        seed: shape.seed,
        stood: stood as f64 / calls,
        tries_at_last: chain.tries_at_last as f64 / calls,
        tries: chain.tries as f64 / calls,
        p50_s: at(0.5),
        p99_s: at(0.99),
        run_for_nobody: chain.run_for_nobody as f64 / calls,
    }
}

impl Chain<'_> {
    fn new(shape: &ChainShape) -> Chain<'_> {
        let entries: Vec<PoolEntry> = (0..SERVERS)
            .map(|name| PoolEntry { id: name, number: name as u16, started: 0.0, ready: true })
            .collect();
        let hop = |place: usize| {
            let mut control = Control::new(shape.seed + place as u64, deployment(shape.patience), 0.0);
            control.pools_listed(0.0, &entries, true);
            Hop { control, attaches: BTreeMap::new(), next: 0 }
        };
        let mut chain = Chain {
            shape,
            hops: (0..shape.hops).map(hop).collect(),
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            rng: ChaCha8Rng::seed_from_u64(shape.seed),
            arrived_at: (0..shape.calls).map(|call| f64::from(call) * APART).collect(),
            stood_after: Vec::new(),
            tries: 0,
            tries_at_last: 0,
            run_for_nobody: 0,
        };
        for call in 0..shape.calls {
            let event = Event::Arrives { hop: 0, call, patience: shape.patience, of: None };
            chain.at(f64::from(call) * APART, event);
        }
        chain
    }

    fn at(&mut self, time: f64, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.due.push(Reverse((micros(time), self.last_event)));
    }

    fn happen(&mut self, now: f64, event: Event) {
        let hop = match event {
            Event::Arrives { hop, call, patience, of } => {
                if hop == self.shape.hops {
                    return self.at_last_server(now, call, of);
                }
                self.arrives(now, hop, call, patience, of);
                hop
            }
            Event::Answered { hop, ue, number, ended } => {
                self.answered(now, hop, ue, number, ended);
                hop
            }
            Event::TimedOut { hop, ue, number } => {
                self.ends(now, hop, ue, number, EndReason::TimedOut);
                hop
            }
            Event::GivenUp { hop, call } => {
                self.given_up(now, hop, call);
                hop
            }
            Event::Wake { hop } => {
                self.hops[hop].control.wake(now);
                hop
            }
        };
        self.decide(now, hop);
    }

    /// Handles a call that has passed all hops: the server after the last hop answers.
    fn at_last_server(&mut self, now: f64, call: u32, of: Option<(Ue, u32)>) {
        self.tries_at_last += 1;
        let gone_at = self.arrived_at[call as usize] + self.shape.patience;
        self.run_for_nobody += u64::from(now > gone_at);
        if let Some((ue, number)) = of {
            let hop = self.shape.hops - 1;
            self.at(now + WORK, Event::Answered { hop, ue, number, ended: None });
        }
    }

    fn arrives(&mut self, now: f64, hop: usize, call: u32, patience: f64, of: Option<(Ue, u32)>) {
        let place = &mut self.hops[hop];
        place.next += 1;
        let ue = place.next;
        place.attaches.insert(ue, Attach { call, of, tries: 0, out: None });
        let first_choice = (call as u64 % SERVERS) as u16;
        let gives_up_at = now + patience;
        let new = NewAttach { ue, procedure: 0, first_choice, called_number: u64::from(call), gives_up_at };
        place.control.attach_arrived(now, new);
    }

    fn answered(&mut self, now: f64, hop: usize, ue: Ue, number: u32, ended: Option<EndReason>) {
        if let Some(ended) = ended {
            return self.ends(now, hop, ue, number, ended);
        }
        let Some(attach) = self.hops[hop].attaches.get_mut(&ue) else { return };
        let Some((pool, sent_at)) = attach.out.filter(|_| attach.tries == number) else { return };
        self.hops[hop].control.attach_established(now, ue, pool, now - sent_at);
        // Established calls are not simulated further: the try is released at once.
        self.hops[hop].control.try_ended(now, ue, pool, EndReason::Released, true, Report::default());
        self.finish(now, hop, ue, None);
    }

    /// Ends a try that was not established. After a timeout or a cancel, the next hop gets a cancel as well.
    fn ends(&mut self, now: f64, hop: usize, ue: Ue, number: u32, ended: EndReason) {
        let Some(attach) = self.hops[hop].attaches.get_mut(&ue) else { return };
        let Some((pool, _)) = attach.out.filter(|_| attach.tries == number) else { return };
        attach.out = None;
        let call = attach.call;
        if matches!(ended, EndReason::TimedOut | EndReason::Cancelled) && hop + 1 < self.shape.hops {
            self.at(now + WAY, Event::GivenUp { hop: hop + 1, call });
        }
        self.hops[hop].control.try_ended(now, ue, pool, ended, false, Report::default());
    }

    /// Handles a cancel from the previous hop: the call's pending attaches end here and at the hops after
    /// this one.
    fn given_up(&mut self, now: f64, hop: usize, call: u32) {
        let of_call = self.hops[hop].attaches.iter().filter(|(_, attach)| attach.call == call);
        let ues: Vec<(Ue, u32)> = of_call.map(|(ue, attach)| (*ue, attach.tries)).collect();
        for (ue, number) in ues {
            self.ends(now, hop, ue, number, EndReason::Cancelled);
            self.hops[hop].control.client_left(now, ue);
            self.hops[hop].attaches.remove(&ue);
        }
    }

    /// Sends the final answer of an attach to the previous hop; `ended` is none if the attach is established.
    fn finish(&mut self, now: f64, hop: usize, ue: Ue, ended: Option<EndReason>) {
        let Some(attach) = self.hops[hop].attaches.remove(&ue) else { return };
        match attach.of {
            Some((ue, number)) => {
                self.at(now + WAY, Event::Answered { hop: hop - 1, ue, number, ended });
            }
            None if ended.is_none() => self.stood_after.push(now - self.arrived_at[attach.call as usize]),
            None => {}
        }
    }

    fn decide(&mut self, now: f64, hop: usize) {
        while let Some(decision) = self.hops[hop].control.next_decision(now) {
            match decision {
                Decision::SetUp { ue, pool, timeout } => self.set_up(now, hop, ue, pool, timeout),
                Decision::Cancel { ue, setup_try } => {
                    self.ends(now, hop, ue, setup_try + 1, EndReason::Cancelled)
                }
                // A refusal proves to the previous hop that no procedure ran; a failure does not.
                Decision::Refuse { ue, .. } => {
                    self.finish(now, hop, ue, Some(EndReason::Throttled { wait: None }));
                }
                Decision::Abort { ue } => self.finish(now, hop, ue, Some(EndReason::Rejected)),
                Decision::Probe { pool } => {
                    self.hops[hop].control.pool_reported(now, pool, true, Report::default());
                }
                // After the end of the simulation no more timers are needed.
                Decision::Wake { after } if !self.is_over(now) => self.at(now + after, Event::Wake { hop }),
                Decision::Wake { .. } => {}
            }
        }
    }

    fn is_over(&self, now: f64) -> bool {
        now > f64::from(self.shape.calls) * APART + 2.0 * self.shape.patience
    }

    fn set_up(&mut self, now: f64, hop: usize, ue: Ue, pool: u64, timeout: f64) {
        let Some(attach) = self.hops[hop].attaches.get_mut(&ue) else { return };
        attach.tries += 1;
        attach.out = Some((pool, now));
        let (number, call) = (attach.tries, attach.call);
        self.tries += 1;
        self.at(now + timeout, Event::TimedOut { hop, ue, number });
        let fails_here = self.shape.at == Failing::AllHops || hop == self.shape.hops / 2;
        if fails_here && self.rng.random::<f64>() < self.shape.failing {
            let ended = Some(EndReason::Cut);
            self.at(now + 2.0 * WAY, Event::Answered { hop, ue, number, ended });
        } else {
            let patience = (timeout - WAY).max(0.0);
            self.at(now + WAY, Event::Arrives { hop: hop + 1, call, patience, of: Some((ue, number)) });
        }
    }
}
