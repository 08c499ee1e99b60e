//! Simple routers that the decision module is compared with; only the lab uses them.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_control::interface::*;
use shalespindle_front::router::{Router, RouterInput};
use std::collections::{BTreeMap, VecDeque};

/// An attach that is not yet established.
struct PendingAttach {
    procedure: usize,
    gives_up_at: f64,
    tries: u32,
    first_choice: u16,
    /// The pool of its setup try in progress.
    trying: Option<PoolId>,
    /// Earliest time of the next try, by the release guard.
    not_before: f64,
}

/// How a baseline picks a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Any allowed pool in service, at random.
    Random,
    /// Of two drawn at random the one with fewer setup tries of this front in progress.
    LeastOfTwo,
    /// The attach's first choice; a random one while that is not in service.
    FirstChoice,
}

/// Sends each attach to a pool picked without any estimate of load, and throttles none. It keeps the rules on
/// tries, drains and the release guard, but does not limit the load of cold or overloaded pools.
pub struct Baseline {
    pick: Pick,
    /// Setup tries in progress at each pool.
    outstanding: BTreeMap<PoolId, usize>,
    deployment: Deployment,
    rng: ChaCha8Rng,
    /// Pool number, and whether the pool is in service.
    pools: BTreeMap<PoolId, (u16, bool)>,
    pending: BTreeMap<UeId, PendingAttach>,
    /// Attaches to decide on now.
    undecided: VecDeque<UeId>,
    /// Attaches that the release guard holds back, with the time until which it does.
    guarded: VecDeque<(f64, UeId)>,
    /// Time of the wake-up that was last asked for.
    wake_at: f64,
}

impl Baseline {
    pub fn new(pick: Pick, seed: u64, deployment: Deployment) -> Baseline {
        Baseline {
            pick,
            outstanding: BTreeMap::new(),
            deployment,
            rng: ChaCha8Rng::seed_from_u64(seed),
            pools: BTreeMap::new(),
            pending: BTreeMap::new(),
            undecided: VecDeque::new(),
            guarded: VecDeque::new(),
            wake_at: f64::INFINITY,
        }
    }

    /// Counts the end of a setup try at that pool.
    fn try_ended(&mut self, pool: PoolId) {
        if let Some(count) = self.outstanding.get_mut(&pool) {
            *count = count.saturating_sub(1);
        }
    }
}

impl Router for Baseline {
    fn handle(&mut self, now: f64, input: &RouterInput) {
        match input {
            RouterInput::PoolsListed { entries, whole } => {
                if *whole {
                    self.pools.values_mut().for_each(|p| p.1 = false);
                }
                for e in entries {
                    self.pools.insert(e.id, (e.number, e.ready));
                }
            }
            RouterInput::AttachArrived(new) => {
                let NewAttach { procedure, gives_up_at, first_choice, .. } = *new;
                let attach = PendingAttach {
                    procedure,
                    gives_up_at,
                    tries: 0,
                    first_choice,
                    trying: None,
                    not_before: now,
                };
                self.pending.insert(new.ue, attach);
                self.undecided.push_back(new.ue);
            }
            RouterInput::AttachEstablished { ue, .. } | RouterInput::CallerLeft { ue } => {
                if let Some(pool) = self.pending.remove(ue).and_then(|a| a.trying) {
                    self.try_ended(pool);
                }
            }
            RouterInput::TryEnded { ue, ended, finished, .. } => {
                let Some(attach) = self.pending.get_mut(ue) else { return };
                let tried = attach.trying.take();
                if *finished {
                    self.pending.remove(ue);
                }
                let Some(pool) = tried else { return };
                self.try_ended(pool);
                let Some(attach) = self.pending.get_mut(ue) else { return };
                if matches!(ended, EndReason::TimedOut | EndReason::Cut | EndReason::Cancelled) {
                    attach.not_before = now + self.deployment.release_guard;
                    self.guarded.push_back((attach.not_before, *ue));
                } else {
                    self.undecided.push_back(*ue);
                }
            }
            RouterInput::Wake => self.wake_at = f64::INFINITY,
            RouterInput::PoolReport { .. } | RouterInput::DecisionPulled(_) => {}
        }
    }

    fn next_decision(&mut self, now: f64) -> Option<Decision> {
        while self.guarded.front().is_some_and(|w| w.0 <= now) {
            self.undecided.extend(self.guarded.pop_front().map(|w| w.1));
        }
        while let Some(ue) = self.undecided.pop_front() {
            let Some(attach) = self.pending.get_mut(&ue) else { continue };
            let procedure = &self.deployment.procedures[attach.procedure];
            let remaining = attach.gives_up_at - now;
            let usable: Vec<PoolId> = self
                .pools
                .iter()
                .filter(|(_, (number, ready))| *ready && procedure.pools.contains(number))
                .map(|(name, _)| *name)
                .collect();
            if remaining <= 0.0 || attach.tries >= self.deployment.max_tries || usable.is_empty() {
                self.pending.remove(&ue);
                return Some(Decision::Abort { ue });
            }
            attach.tries += 1;
            let first = usable.iter().find(|p| self.pools[p].0 == attach.first_choice).copied();
            let mut draw = || usable[self.rng.random_range(0..usable.len())];
            let pool = match self.pick {
                Pick::Random => draw(),
                Pick::FirstChoice => first.unwrap_or_else(draw),
                Pick::LeastOfTwo => {
                    let (a, b) = (draw(), draw());
                    let in_progress = |pool| self.outstanding.get(&pool).copied().unwrap_or(0);
                    if in_progress(b) < in_progress(a) {
                        b
                    } else {
                        a
                    }
                }
            };
            attach.trying = Some(pool);
            *self.outstanding.entry(pool).or_default() += 1;
            return Some(Decision::SetUp { ue, pool, timeout: procedure.latency_target.min(remaining) });
        }
        let next = self.guarded.front().map_or(f64::INFINITY, |w| w.0);
        if next < self.wake_at {
            self.wake_at = next;
            return Some(Decision::Wake { after: next - now });
        }
        None
    }
}
