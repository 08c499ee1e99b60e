//! Callers who were not served, by the number that they called, for a bounded time and in bounded number.

use std::collections::{HashMap, VecDeque};

/// Maximum number of callers kept; the oldest is dropped first. Bounds memory in a flood of distinct numbers.
const MAX_CALLERS: usize = 1 << 14;

/// Time of the first attempt of each caller.
#[derive(Debug, Default)]
pub(crate) struct Redials {
    first_attempts: HashMap<u64, f64>,
    /// Time of insertion and called number, oldest first.
    order: VecDeque<(f64, u64)>,
}

impl Redials {
    /// Returns the time of the first attempt at that number, or `now` if it is not known. Forgets callers
    /// that were inserted more than `redial_memory` seconds ago.
    pub fn first_asked_at(&mut self, now: f64, called_number: u64, redial_memory: f64) -> f64 {
        while self.order.front().is_some_and(|o| now - o.0 > redial_memory) || self.order.len() > MAX_CALLERS
        {
            if let Some((_, oldest)) = self.order.pop_front() {
                self.first_attempts.remove(&oldest);
            }
        }
        self.first_attempts.get(&called_number).copied().unwrap_or(now)
    }

    /// Remembers a caller that was refused or failed; the number 0 stands for an unknown one and is ignored.
    pub fn insert(&mut self, now: f64, called_number: u64, first_asked_at: f64) {
        if called_number != 0 && self.first_attempts.insert(called_number, first_asked_at).is_none() {
            self.order.push_back((now, called_number));
        }
    }

    pub fn len(&self) -> usize {
        self.first_attempts.len().max(self.order.len())
    }
}
