//! Routers that are measured against, never shipped: they live in the lab alone.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_control::interface::*;
use shalespindle_front::router::{Router, RouterInput};
use std::collections::{BTreeMap, VecDeque};

struct Asking {
    procedure: usize,
    gives_up_at: f64,
    tries: u32,
    first_choice: u16,
    /// Where its setup try is out.
    out: Option<PoolId>,
    not_before: f64,
}

/// How a baseline picks a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Any allowed pool in service.
    Random,
    /// Of two drawn at random the one with fewer set-ups of this front out.
    LeastOfTwo,
    /// The first choice always; any other only while it is not in service.
    FirstChoice,
}

/// Sends each attach to a pool picked without any estimate, and refuses nothing. It keeps the rules on
/// tries, drains and the release guard; nothing spares a cold or crowded pool.
pub struct Baseline {
    pick: Pick,
    /// Set-ups out at each pool.
    outstanding: BTreeMap<PoolId, usize>,
    deployment: Deployment,
    rng: ChaCha8Rng,
    pools: BTreeMap<PoolId, (u16, bool)>,
    asking: BTreeMap<UeId, Asking>,
    undecided: VecDeque<UeId>,
    waiting: VecDeque<(f64, UeId)>,
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
            asking: BTreeMap::new(),
            undecided: VecDeque::new(),
            waiting: VecDeque::new(),
            wake_at: f64::INFINITY,
        }
    }

    /// A set-up at that pool is no longer out.
    fn back(&mut self, pool: PoolId) {
        if let Some(count) = self.outstanding.get_mut(&pool) {
            *count = count.saturating_sub(1);
        }
    }
}

impl Router for Baseline {
    fn handle(&mut self, now: f64, told: &RouterInput) {
        match told {
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
                let asking =
                    Asking { procedure, gives_up_at, tries: 0, first_choice, out: None, not_before: now };
                self.asking.insert(new.ue, asking);
                self.undecided.push_back(new.ue);
            }
            RouterInput::AttachEstablished { ue, .. } | RouterInput::CallerLeft { ue } => {
                if let Some(pool) = self.asking.remove(ue).and_then(|a| a.out) {
                    self.back(pool);
                }
            }
            RouterInput::TryEnded { ue, ended, finished, .. } => {
                let Some(asking) = self.asking.get_mut(ue) else { return };
                let out = asking.out.take();
                if *finished {
                    self.asking.remove(ue);
                }
                let Some(pool) = out else { return };
                self.back(pool);
                let Some(asking) = self.asking.get_mut(ue) else { return };
                if matches!(ended, EndReason::TimedOut | EndReason::Cut | EndReason::Cancelled) {
                    asking.not_before = now + self.deployment.release_guard;
                    self.waiting.push_back((asking.not_before, *ue));
                } else {
                    self.undecided.push_back(*ue);
                }
            }
            RouterInput::Wake => self.wake_at = f64::INFINITY,
            RouterInput::PoolReport { .. } | RouterInput::DecisionPulled(_) => {}
        }
    }

    fn next_decision(&mut self, now: f64) -> Option<Decision> {
        while self.waiting.front().is_some_and(|w| w.0 <= now) {
            self.undecided.extend(self.waiting.pop_front().map(|w| w.1));
        }
        while let Some(ue) = self.undecided.pop_front() {
            let Some(asking) = self.asking.get_mut(&ue) else { continue };
            let procedure = &self.deployment.procedures[asking.procedure];
            let left = asking.gives_up_at - now;
            let usable: Vec<PoolId> = self
                .pools
                .iter()
                .filter(|(_, (number, ready))| *ready && procedure.pools.contains(number))
                .map(|(name, _)| *name)
                .collect();
            if left <= 0.0 || asking.tries >= self.deployment.max_tries || usable.is_empty() {
                self.asking.remove(&ue);
                return Some(Decision::Abort { ue });
            }
            asking.tries += 1;
            let first = usable.iter().find(|p| self.pools[p].0 == asking.first_choice).copied();
            let mut draw = || usable[self.rng.random_range(0..usable.len())];
            let pool = match self.pick {
                Pick::Random => draw(),
                Pick::FirstChoice => first.unwrap_or_else(draw),
                Pick::LeastOfTwo => {
                    let (a, b) = (draw(), draw());
                    let out = |pool| self.outstanding.get(&pool).copied().unwrap_or(0);
                    if out(b) < out(a) {
                        b
                    } else {
                        a
                    }
                }
            };
            asking.out = Some(pool);
            *self.outstanding.entry(pool).or_default() += 1;
            return Some(Decision::SetUp { ue, pool, timeout: procedure.latency_target.min(left) });
        }
        let next = self.waiting.front().map_or(f64::INFINITY, |w| w.0);
        if next < self.wake_at {
            self.wake_at = next;
            return Some(Decision::Wake { after: next - now });
        }
        None
    }
}
