//! Ends of calls that were read before their begin: a cancel before its set-up, a server's release before the call is
//! handed over.
//!
//! The two come on different connections, which are read in no order that their writers agreed on. Without this the
//! set-up of a caller that has gone would be sent on, and a call that is over be held as standing.

use std::collections::{HashMap, VecDeque};

/// Ids remembered; past that the oldest is forgotten.
const MAX_IDS: usize = 1024;

/// Ids of such calls. An id is never used twice, so one that is not asked for any more is only forgotten.
#[derive(Default)]
pub struct EarlyIds {
    expires_at: HashMap<u64, f64>,
    /// The same in the order in which they came.
    order: VecDeque<u64>,
}

impl EarlyIds {
    /// Remembers one for that long.
    pub fn add(&mut self, now: f64, id: u64, lifetime: f64) {
        while let Some(oldest) = self.order.front() {
            let expired = self.expires_at.get(oldest).is_none_or(|expires_at| *expires_at <= now);
            if !expired && self.order.len() < MAX_IDS {
                break;
            }
            self.order.pop_front().map(|oldest| self.expires_at.remove(&oldest));
        }
        if self.expires_at.insert(id, now + lifetime).is_none() {
            self.order.push_back(id);
        }
    }

    /// Whether the end of that call has been read already; it is asked once.
    pub fn take(&mut self, now: f64, id: u64) -> bool {
        self.expires_at.remove(&id).is_some_and(|expires_at| now < expires_at)
    }
}

#[cfg(test)]
#[path = "early_tests.rs"]
mod tests;
