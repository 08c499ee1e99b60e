//! Ends of calls that were read before their begin: a cancel before its set-up, a server's release before the call is
//! handed over.
//!
//! The two come on different connections, which are read in no order that their writers agreed on. Without this the
//! set-up of a caller that has gone would be sent on, and a call that is over be held as standing.

use std::collections::{HashMap, VecDeque};

/// Ids remembered; past that the oldest is forgotten.
const MOST: usize = 1024;

/// Ids of such calls. An id is never used twice, so one that is not asked for any more is only forgotten.
#[derive(Default)]
pub struct EarlyIds {
    until: HashMap<u64, f64>,
    /// The same in the order in which they came.
    order: VecDeque<u64>,
}

impl EarlyIds {
    /// Remembers one for that long.
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

    /// Whether the end of that call has been read already; it is asked once.
    pub fn take(&mut self, now: f64, id: u64) -> bool {
        self.until.remove(&id).is_some_and(|until| now < until)
    }
}

#[cfg(test)]
#[path = "early_tests.rs"]
mod tests;
