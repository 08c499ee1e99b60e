//! Ids of calls that are remembered for a time, up to a limit.
//!
//! The end of a call may be read before its beginning: a CANCEL before its set-up, or a server's release before the
//! call is handed over. The two messages arrive on different connections, which are not read in the order of
//! writing. Without this record the set-up of a caller that has left would be sent on, and a call that has ended
//! would be kept as established. A call that was sent to a server is remembered so that it does not run twice.

use crate::edge::ConnectionId;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Memory that one remembered id takes at most, bytes.
pub const ID_BYTES: usize = 80;

struct ExpiringId {
    expires_at: f64,
    /// The connection on which the id was read.
    source: ConnectionId,
}

/// Remembered ids. An id is never reused, so an unclaimed one only has to expire.
pub struct ExpiringIds {
    /// Limit of the ids remembered; beyond it the oldest of the connection with the most ids is discarded, so
    /// that one peer cannot displace the ids of others.
    max_ids: usize,
    ids: HashMap<u64, ExpiringId>,
    /// The same ids in the order of their arrival.
    order: VecDeque<u64>,
    /// Number of ids by connection.
    count_by_source: BTreeMap<ConnectionId, usize>,
}

impl ExpiringIds {
    /// Remembers at most `max_ids` ids.
    pub fn new(max_ids: usize) -> ExpiringIds {
        ExpiringIds { max_ids, ids: HashMap::new(), order: VecDeque::new(), count_by_source: BTreeMap::new() }
    }

    /// Remembers an id read on connection `source` for `lifetime` seconds.
    pub fn add(&mut self, now: f64, source: ConnectionId, id: u64, lifetime: f64) {
        self.remove(id);
        while self.order.front().is_some_and(|oldest| self.ids[oldest].expires_at <= now) {
            self.remove_at(0);
        }
        if self.order.len() >= self.max_ids {
            self.discard_from_largest_source();
        }
        self.ids.insert(id, ExpiringId { expires_at: now + lifetime, source });
        self.order.push_back(id);
        *self.count_by_source.entry(source).or_default() += 1;
    }

    /// Whether the id is remembered.
    pub fn contains(&self, now: f64, id: u64) -> bool {
        self.ids.get(&id).is_some_and(|early| now < early.expires_at)
    }

    /// Removes the id and returns whether it was remembered, so that an end is reported only once.
    pub fn take(&mut self, now: f64, id: u64) -> bool {
        self.remove(id).is_some_and(|early| now < early.expires_at)
    }

    fn discard_from_largest_source(&mut self) {
        let largest = self.count_by_source.iter().max_by_key(|(_, count)| **count).map(|(source, _)| *source);
        let is_from_largest = |id: &u64| Some(self.ids[id].source) == largest;
        if let Some(position) = self.order.iter().position(is_from_largest) {
            self.remove_at(position);
        }
    }

    fn remove(&mut self, id: u64) -> Option<ExpiringId> {
        if !self.ids.contains_key(&id) {
            return None;
        }
        let position = self.order.iter().position(|other| *other == id)?;
        self.remove_at(position)
    }

    fn remove_at(&mut self, position: usize) -> Option<ExpiringId> {
        let removed = self.ids.remove(&self.order.remove(position)?)?;
        if let Some(count) = self.count_by_source.get_mut(&removed.source) {
            *count -= 1;
            if *count == 0 {
                self.count_by_source.remove(&removed.source);
            }
        }
        Some(removed)
    }
}

#[cfg(test)]
#[path = "expiring_ids_tests.rs"]
mod tests;
