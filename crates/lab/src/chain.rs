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
const NETWORK_DELAY: f64 = 0.001;
/// Time that the last server takes to answer, seconds.
const SERVER_DELAY: f64 = 0.02;
/// Interval between two calls, seconds.
const CALL_INTERVAL: f64 = 0.2;

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
    #[serde(rename = "stood")]
    pub established: f64,
    /// Tries that reached the last server, per call.
    pub tries_at_last: f64,
    /// Tries of all hops, per call.
    pub tries: f64,
    /// Median of the time from a call's arrival until it is established, seconds.
    pub p50_s: f64,
    /// 99th percentile of the same time, seconds.
    pub p99_s: f64,
    /// Tries that reached the last server after the caller had given up, per call.
    #[serde(rename = "run_for_nobody")]
    pub tries_after_give_up: f64,
}

type Ue = u32;

/// An event at a hop. A try is identified by its attach and its number within the attach.
#[derive(Clone, Copy, Debug)]
enum Event {
    Arrives { hop: usize, call: u32, patience: f64, previous: Option<(Ue, u32)> },
    Answered { hop: usize, ue: Ue, number: u32, ended: Option<EndReason> },
    TimedOut { hop: usize, ue: Ue, number: u32 },
    Cancelled { hop: usize, call: u32 },
    Wake { hop: usize },
}

/// A pending attach of one hop.
struct Attach {
    call: u32,
    /// The try of the previous hop that this attach serves; none at the first hop.
    previous: Option<(Ue, u32)>,
    /// Number of tries so far.
    tries: u32,
    /// Pool and sending time of the pending try.
    pending: Option<(u64, f64)>,
}

/// A front of the chain.
struct Hop {
    control: Control,
    attaches: BTreeMap<Ue, Attach>,
    last_ue: Ue,
}

/// State of a simulation.
struct Chain<'a> {
    shape: &'a ChainShape,
    hops: Vec<Hop>,
    /// Times, microseconds, and numbers of the pending events, earliest first.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event: u64,
    rng: ChaCha8Rng,
    arrived_at: Vec<f64>,
    /// Time from arrival until established of each established call, seconds.
    setup_times: Vec<f64>,
    tries: u64,
    tries_at_last: u64,
    tries_after_give_up: u64,
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
    while let Some(Reverse((at, number))) = chain.queue.pop() {
        let Some(event) = chain.events.remove(&number) else { continue };
        chain.handle(at as f64 / 1e6, event);
    }
    let calls = f64::from(shape.calls.max(1));
    chain.setup_times.sort_by(f64::total_cmp);
    let established = chain.setup_times.len();
    let quantile = |fraction: f64| {
        let index = (fraction * established.saturating_sub(1) as f64).round() as usize;
        chain.setup_times.get(index).copied().unwrap_or(0.0)
    };
    ChainCost {
        hops: shape.hops,
        calls: shape.calls,
        failing: shape.failing,
        at: shape.at,
        seed: shape.seed,
        established: established as f64 / calls,
        tries_at_last: chain.tries_at_last as f64 / calls,
        tries: chain.tries as f64 / calls,
        p50_s: quantile(0.5),
        p99_s: quantile(0.99),
        tries_after_give_up: chain.tries_after_give_up as f64 / calls,
    }
}

impl Chain<'_> {
    fn new(shape: &ChainShape) -> Chain<'_> {
        let entries: Vec<PoolEntry> = (0..SERVERS)
            .map(|name| PoolEntry { id: name, number: name as u16, started: 0.0, ready: true })
            .collect();
        let hop = |index: usize| {
            let mut control = Control::new(shape.seed + index as u64, deployment(shape.patience), 0.0);
            control.pools_listed(0.0, &entries, true);
            Hop { control, attaches: BTreeMap::new(), last_ue: 0 }
        };
        let mut chain = Chain {
            shape,
            hops: (0..shape.hops).map(hop).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            rng: ChaCha8Rng::seed_from_u64(shape.seed),
            arrived_at: (0..shape.calls).map(|call| f64::from(call) * CALL_INTERVAL).collect(),
            setup_times: Vec::new(),
            tries: 0,
            tries_at_last: 0,
            tries_after_give_up: 0,
        };
        for call in 0..shape.calls {
            let event = Event::Arrives { hop: 0, call, patience: shape.patience, previous: None };
            chain.schedule(f64::from(call) * CALL_INTERVAL, event);
        }
        chain
    }

    fn schedule(&mut self, time: f64, event: Event) {
        self.last_event += 1;
        self.events.insert(self.last_event, event);
        self.queue.push(Reverse((micros(time), self.last_event)));
    }

    fn handle(&mut self, now: f64, event: Event) {
        let hop = match event {
            Event::Arrives { hop, call, patience, previous } => {
                if hop == self.shape.hops {
                    return self.at_last_server(now, call, previous);
                }
                self.on_arrival(now, hop, call, patience, previous);
                hop
            }
            Event::Answered { hop, ue, number, ended } => {
                self.on_answer(now, hop, ue, number, ended);
                hop
            }
            Event::TimedOut { hop, ue, number } => {
                self.end_try(now, hop, ue, number, EndReason::TimedOut);
                hop
            }
            Event::Cancelled { hop, call } => {
                self.on_cancel(now, hop, call);
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
    fn at_last_server(&mut self, now: f64, call: u32, previous: Option<(Ue, u32)>) {
        self.tries_at_last += 1;
        let gives_up_at = self.arrived_at[call as usize] + self.shape.patience;
        self.tries_after_give_up += u64::from(now > gives_up_at);
        if let Some((ue, number)) = previous {
            let hop = self.shape.hops - 1;
            self.schedule(now + SERVER_DELAY, Event::Answered { hop, ue, number, ended: None });
        }
    }

    fn on_arrival(&mut self, now: f64, hop: usize, call: u32, patience: f64, previous: Option<(Ue, u32)>) {
        let state = &mut self.hops[hop];
        state.last_ue += 1;
        let ue = state.last_ue;
        state.attaches.insert(ue, Attach { call, previous, tries: 0, pending: None });
        let first_choice = (call as u64 % SERVERS) as u16;
        let gives_up_at = now + patience;
        let new = NewAttach { ue, procedure: 0, first_choice, called_number: u64::from(call), gives_up_at };
        state.control.attach_arrived(now, new);
    }

    fn on_answer(&mut self, now: f64, hop: usize, ue: Ue, number: u32, ended: Option<EndReason>) {
        if let Some(ended) = ended {
            return self.end_try(now, hop, ue, number, ended);
        }
        let Some(attach) = self.hops[hop].attaches.get_mut(&ue) else { return };
        let Some((pool, sent_at)) = attach.pending.filter(|_| attach.tries == number) else { return };
        self.hops[hop].control.attach_established(now, ue, pool, now - sent_at);
        // Established calls are not simulated further: the try is released at once.
        self.hops[hop].control.try_ended(now, ue, pool, EndReason::Released, true, Report::default());
        self.finish(now, hop, ue, None);
    }

    /// Ends a try that was not established. After a timeout or a cancel, the next hop gets a cancel as well.
    fn end_try(&mut self, now: f64, hop: usize, ue: Ue, number: u32, ended: EndReason) {
        let Some(attach) = self.hops[hop].attaches.get_mut(&ue) else { return };
        let Some((pool, _)) = attach.pending.filter(|_| attach.tries == number) else { return };
        attach.pending = None;
        let call = attach.call;
        if matches!(ended, EndReason::TimedOut | EndReason::Cancelled) && hop + 1 < self.shape.hops {
            self.schedule(now + NETWORK_DELAY, Event::Cancelled { hop: hop + 1, call });
        }
        self.hops[hop].control.try_ended(now, ue, pool, ended, false, Report::default());
    }

    /// Handles a cancel from the previous hop: the call's pending attaches end here and at the hops after
    /// this one.
    fn on_cancel(&mut self, now: f64, hop: usize, call: u32) {
        let attaches_of_call = self.hops[hop].attaches.iter().filter(|(_, attach)| attach.call == call);
        let ues: Vec<(Ue, u32)> = attaches_of_call.map(|(ue, attach)| (*ue, attach.tries)).collect();
        for (ue, number) in ues {
            self.end_try(now, hop, ue, number, EndReason::Cancelled);
            self.hops[hop].control.client_left(now, ue);
            self.hops[hop].attaches.remove(&ue);
        }
    }

    /// Sends the final answer of an attach to the previous hop; `ended` is none if the attach is established.
    fn finish(&mut self, now: f64, hop: usize, ue: Ue, ended: Option<EndReason>) {
        let Some(attach) = self.hops[hop].attaches.remove(&ue) else { return };
        match attach.previous {
            Some((ue, number)) => {
                self.schedule(now + NETWORK_DELAY, Event::Answered { hop: hop - 1, ue, number, ended });
            }
            None if ended.is_none() => self.setup_times.push(now - self.arrived_at[attach.call as usize]),
            None => {}
        }
    }

    /// Carries out the pending decisions of a hop.
    fn decide(&mut self, now: f64, hop: usize) {
        while let Some(decision) = self.hops[hop].control.next_decision(now) {
            match decision {
                Decision::SetUp { ue, pool, timeout } => self.set_up(now, hop, ue, pool, timeout),
                Decision::Cancel { ue, setup_try } => {
                    self.end_try(now, hop, ue, setup_try + 1, EndReason::Cancelled)
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
                Decision::Wake { after } if !self.has_ended(now) => {
                    self.schedule(now + after, Event::Wake { hop })
                }
                Decision::Wake { .. } => {}
            }
        }
    }

    /// True once every caller has been answered or has given up, with a margin.
    fn has_ended(&self, now: f64) -> bool {
        now > f64::from(self.shape.calls) * CALL_INTERVAL + 2.0 * self.shape.patience
    }

    fn set_up(&mut self, now: f64, hop: usize, ue: Ue, pool: u64, timeout: f64) {
        let Some(attach) = self.hops[hop].attaches.get_mut(&ue) else { return };
        attach.tries += 1;
        attach.pending = Some((pool, now));
        let (number, call) = (attach.tries, attach.call);
        self.tries += 1;
        self.schedule(now + timeout, Event::TimedOut { hop, ue, number });
        let fails_here = self.shape.at == Failing::AllHops || hop == self.shape.hops / 2;
        if fails_here && self.rng.random::<f64>() < self.shape.failing {
            let ended = Some(EndReason::Cut);
            self.schedule(now + 2.0 * NETWORK_DELAY, Event::Answered { hop, ue, number, ended });
        } else {
            let patience = (timeout - NETWORK_DELAY).max(0.0);
            self.schedule(
                now + NETWORK_DELAY,
                Event::Arrives { hop: hop + 1, call, patience, previous: Some((ue, number)) },
            );
        }
    }
}
