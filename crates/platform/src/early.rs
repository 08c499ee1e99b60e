//! Cancels that were read before the set-up that they belong to.
//!
//! A cancel may come on another connection than its set-up, and connections are read in no order that their writers
//! agreed on. Without this the set-up of a caller that has gone would be sent on.

use std::collections::{HashMap, VecDeque};

/// Cancels remembered; past that the oldest is forgotten.
const MOST: usize = 1024;

/// Call ids of such cancels. An id is never used twice, so one that is not asked for any more is only forgotten.
#[derive(Default)]
pub struct EarlyCancels {
    until: HashMap<u64, f64>,
    /// The same in the order in which they came.
    order: VecDeque<u64>,
}

impl EarlyCancels {
    /// Remembers one for as long as its caller can have wanted to wait.
    pub fn add(&mut self, now: f64, id: u64, longest: f64) {
        while let Some(oldest) = self.order.front() {
            let over = self.until.get(oldest).is_none_or(|until| *until <= now);
            if !over && self.order.len() < MOST {
                break;
            }
            self.order.pop_front().map(|oldest| self.until.remove(&oldest));
        }
        if self.until.insert(id, now + longest).is_none() {
            self.order.push_back(id);
        }
    }

    /// Whether that set-up has been cancelled already; it is asked once.
    pub fn take(&mut self, now: f64, id: u64) -> bool {
        self.until.remove(&id).is_some_and(|until| now < until)
    }
}

#[cfg(test)]
#[path = "early_tests.rs"]
mod tests;
