//! Whom to tell next: all of a list in turn, in an order drawn anew each round.

use crate::FrontId;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The turn of all fronts of a list.
pub struct Round {
    /// Those still to be told in this round.
    left: Vec<FrontId>,
    rng: ChaCha8Rng,
}

impl Round {
    pub fn new(seed: u64) -> Round {
        Round { left: Vec::new(), rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// The list changed: a new round begins.
    pub fn clear(&mut self) {
        self.left.clear();
    }

    /// The next `count` of `all`, none of them twice, or all where there are fewer.
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
