//! Routers that are measured against, never shipped: they live in the lab alone.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_control::interface::*;
use shalespindle_front::told::{Router, Told};
use std::collections::{BTreeMap, VecDeque};

struct Asking {
    procedure: usize,
    gives_up_at: f64,
    tries: u32,
    out: bool,
    not_before: f64,
}

/// Sends each attach to any allowed pool in service, at random, and refuses nothing. It keeps the rules on
/// tries, drains and the release guard; nothing spares a cold or crowded pool.
pub struct RandomRoute {
    deployment: Deployment,
    rng: ChaCha8Rng,
    pools: BTreeMap<PoolName, (u16, bool)>,
    asking: BTreeMap<UeName, Asking>,
    undecided: VecDeque<UeName>,
    waiting: VecDeque<(f64, UeName)>,
    wake_at: f64,
}

impl RandomRoute {
    pub fn new(seed: u64, deployment: Deployment) -> RandomRoute {
        RandomRoute {
            deployment,
            rng: ChaCha8Rng::seed_from_u64(seed),
            pools: BTreeMap::new(),
            asking: BTreeMap::new(),
            undecided: VecDeque::new(),
            waiting: VecDeque::new(),
            wake_at: f64::INFINITY,
        }
    }
}

impl Router for RandomRoute {
    fn tell(&mut self, now: f64, told: &Told) {
        match told {
            Told::PoolsListed { entries, whole } => {
                if *whole {
                    self.pools.values_mut().for_each(|p| p.1 = false);
                }
                for e in entries {
                    self.pools.insert(e.name, (e.number, e.ready));
                }
            }
            Told::Arrived(new) => {
                let NewAttach { procedure, gives_up_at, .. } = *new;
                let asking = Asking { procedure, gives_up_at, tries: 0, out: false, not_before: now };
                self.asking.insert(new.ue, asking);
                self.undecided.push_back(new.ue);
            }
            Told::Stands { ue, .. } | Told::Left { ue } => {
                self.asking.remove(ue);
            }
            Told::Ended { ue, ended, finished, .. } => {
                if *finished {
                    self.asking.remove(ue);
                }
                let Some(asking) = self.asking.get_mut(ue).filter(|a| a.out) else { return };
                asking.out = false;
                if matches!(ended, Ended::TimedOut | Ended::Cut | Ended::Cancelled) {
                    asking.not_before = now + self.deployment.release_guard;
                    self.waiting.push_back((asking.not_before, *ue));
                } else {
                    self.undecided.push_back(*ue);
                }
            }
            Told::Wake => self.wake_at = f64::INFINITY,
            Told::Heard { .. } | Told::Pulled(_) => {}
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
            let usable: Vec<PoolName> = self
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
            asking.out = true;
            let pool = usable[self.rng.random_range(0..usable.len())];
            return Some(Decision::SetUp { ue, pool, time_out: procedure.latency_target.min(left) });
        }
        let next = self.waiting.front().map_or(f64::INFINITY, |w| w.0);
        if next < self.wake_at {
            self.wake_at = next;
            return Some(Decision::Wake { after: next - now });
        }
        None
    }
}
