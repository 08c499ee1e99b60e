//! Callers who went unserved, by the number that they called, for a while and in bounded number.

use std::collections::{HashMap, VecDeque};

/// Numbers kept at most; the oldest goes first. Guards memory against floods of distinct numbers.
const MOST: usize = 1 << 14;

/// When each of them first asked.
#[derive(Debug, Default)]
pub(crate) struct Redials {
    first: HashMap<u64, f64>,
    order: VecDeque<(f64, u64)>,
}

impl Redials {
    /// When the caller of that number first asked; `now` when it is not known.
    pub fn asked_at(&mut self, now: f64, number: u64, remember: f64) -> f64 {
        while self.order.front().is_some_and(|o| now - o.0 > remember) || self.order.len() > MOST {
            if let Some((_, old)) = self.order.pop_front() {
                self.first.remove(&old);
            }
        }
        self.first.get(&number).copied().unwrap_or(now)
    }

    pub fn unserved(&mut self, now: f64, number: u64, asked_at: f64) {
        if number != 0 && self.first.insert(number, asked_at).is_none() {
            self.order.push_back((now, number));
        }
    }

    pub fn len(&self) -> usize {
        self.first.len().max(self.order.len())
    }
}
