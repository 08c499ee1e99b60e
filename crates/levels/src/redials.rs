//! Callers who went unserved, by the number that they called, for a while and in bounded number.

use std::collections::{HashMap, VecDeque};

/// Numbers kept at most; the oldest goes first. Guards memory against floods of distinct numbers.
const MAX_CALLERS: usize = 1 << 14;

/// When each of them first asked.
#[derive(Debug, Default)]
pub(crate) struct Redials {
    first: HashMap<u64, f64>,
    order: VecDeque<(f64, u64)>,
}

impl Redials {
    /// When the caller of that number first asked; `now` when it is not known.
    pub fn first_asked_at(&mut self, now: f64, number: u64, redial_memory: f64) -> f64 {
        while self.order.front().is_some_and(|o| now - o.0 > redial_memory) || self.order.len() > MAX_CALLERS
        {
            if let Some((_, old)) = self.order.pop_front() {
                self.first.remove(&old);
            }
        }
        self.first.get(&number).copied().unwrap_or(now)
    }

    pub fn unserved(&mut self, now: f64, number: u64, first_asked_at: f64) {
        if number != 0 && self.first.insert(number, first_asked_at).is_none() {
            self.order.push_back((now, number));
        }
    }

    pub fn len(&self) -> usize {
        self.first.len().max(self.order.len())
    }
}
