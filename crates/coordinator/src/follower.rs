//! Follows the revisions of one coordinator: puts updates in order and maintains the cursor.

use crate::message::{Continuity, Cursor, Update};
use crate::statement::Incarnation;
use std::collections::BTreeMap;

/// Maximum number of out-of-order updates that are buffered.
const MAX_OUT_OF_ORDER: usize = 16;

#[derive(Default)]
pub(crate) struct Follower {
    cursor: Option<Cursor>,
    /// Updates received out of order, by the revision that they follow.
    out_of_order: BTreeMap<u64, Update>,
    /// When it last had all changes of the coordinator.
    pub synced_at: Option<f64>,
    /// Since when the other replica's digest has differed from this one's.
    differs_since: Option<f64>,
}

impl Follower {
    pub fn cursor(&self) -> Option<Cursor> {
        self.cursor
    }

    /// Discards the cursor and the buffered updates.
    pub fn reset(&mut self) {
        *self = Follower { synced_at: self.synced_at, ..Follower::default() };
    }

    /// Compares digests with another replica. Returns true if they have differed for so long that this
    /// replica must have missed changes that the other one received from a third one.
    pub fn has_missed_changes(&mut self, now: f64, is_equal: bool, after: f64) -> bool {
        if is_equal {
            self.differs_since = None;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        let has_missed_changes = now - since >= after;
        if has_missed_changes {
            self.differs_since = None;
        }
        has_missed_changes
    }

    /// Returns the updates to apply now, in order: this one and the buffered ones that follow it, or none.
    pub fn accept(&mut self, now: f64, update: Update) -> Vec<Update> {
        if !self.follows(&update) {
            self.buffer(update);
            return Vec::new();
        }
        let coordinator = update.coordinator;
        let mut in_order = vec![update];
        self.advance(&in_order[0], coordinator);
        while let Some(next) = self.take_buffered() {
            self.advance(&next, coordinator);
            in_order.push(next);
        }
        let reached = self.cursor.map_or(0, |cursor| cursor.revision);
        if in_order.last().is_some_and(|last| reached >= last.revision) {
            self.synced_at = Some(now);
        }
        in_order
    }

    fn follows(&self, update: &Update) -> bool {
        match update.continuity {
            Continuity::SnapshotBegins | Continuity::Confirmed => true,
            Continuity::Delta => self.cursor.is_some_and(|cursor| {
                cursor.coordinator == update.coordinator && update.from <= cursor.revision
            }),
        }
    }

    fn buffer(&mut self, update: Update) {
        let is_of_same_process = self.cursor.is_some_and(|c| c.coordinator == update.coordinator);
        if is_of_same_process && self.out_of_order.len() < MAX_OUT_OF_ORDER {
            self.out_of_order.insert(update.from, update);
        }
    }

    fn advance(&mut self, update: &Update, coordinator: Incarnation) {
        let is_delta = update.continuity == Continuity::Delta;
        if !is_delta {
            self.out_of_order.clear();
        }
        let reached = self.cursor.filter(|_| is_delta).map_or(0, |cursor| cursor.revision);
        self.cursor = Some(Cursor { coordinator, revision: reached.max(update.to) });
    }

    fn take_buffered(&mut self) -> Option<Update> {
        let reached = self.cursor?.revision;
        let from = *self.out_of_order.range(..=reached).next()?.0;
        self.out_of_order.remove(&from)
    }
}
