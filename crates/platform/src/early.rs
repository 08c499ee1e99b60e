//! Ids of calls whose end was read before their beginning: a CANCEL before its set-up, or a server's release
//! before the call is handed over.
//!
//! The two messages arrive on different connections, which are not read in the order of writing. Without this
//! record the set-up of a caller that has left would be sent on, and a call that has ended would be kept as
//! established.

use std::collections::{HashMap, VecDeque};

/// Memory that one remembered id takes at most, bytes.
pub const ID_BYTES: usize = 64;

/// Remembered ids. An id is never reused, so an unclaimed one only has to expire.
pub struct EarlyIds {
    /// Limit of the ids remembered; beyond it the oldest is discarded.
    max_ids: usize,
    expires_at: HashMap<u64, f64>,
    /// The same ids in the order of their arrival.
    order: VecDeque<u64>,
}

impl EarlyIds {
    /// Remembers at most `max_ids` ids.
    pub fn new(max_ids: usize) -> EarlyIds {
        EarlyIds { max_ids, expires_at: HashMap::new(), order: VecDeque::new() }
    }

    /// Remembers an id for `lifetime` seconds.
    pub fn add(&mut self, now: f64, id: u64, lifetime: f64) {
        while let Some(oldest) = self.order.front() {
            let expired = self.expires_at.get(oldest).is_none_or(|expires_at| *expires_at <= now);
            if !expired && self.order.len() < self.max_ids {
                break;
            }
            self.order.pop_front().map(|oldest| self.expires_at.remove(&oldest));
        }
        if self.expires_at.insert(id, now + lifetime).is_none() {
            self.order.push_back(id);
        }
    }

    /// Removes the id and returns whether it was remembered, so that an end is reported only once.
    pub fn take(&mut self, now: f64, id: u64) -> bool {
        self.expires_at.remove(&id).is_some_and(|expires_at| now < expires_at)
    }
}

#[cfg(test)]
#[path = "early_tests.rs"]
mod tests;
