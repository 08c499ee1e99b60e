//! Chooses the next targets: all entries of a list in turn, in an order that is drawn anew each round.

use crate::FrontId;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// A round over all fronts of a list.
pub struct Round {
    /// Fronts that are still to come in this round.
    left: Vec<FrontId>,
    rng: ChaCha8Rng,
}

impl Round {
    pub fn new(seed: u64) -> Round {
        Round { left: Vec::new(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Starts a new round after a change of the list.
    pub fn clear(&mut self) {
        self.left.clear();
    }

    /// Returns the next `count` of `all` without repetitions, or all of them where there are fewer.
    pub fn next(&mut self, count: usize, all: &[FrontId]) -> Vec<FrontId> {
        let mut targets = Vec::new();
        while targets.len() < count.min(all.len()) {
            if self.left.is_empty() {
                self.left = all.to_vec();
                self.left.shuffle(&mut self.rng);
            }
            let Some(next) = self.left.pop() else { break };
            if !targets.contains(&next) && all.contains(&next) {
                targets.push(next);
            }
        }
        targets
    }
}
