//! Follows one coordinator's revisions: puts updates in order and knows how far it has come.

use crate::message::{Continuity, Cursor, Update};
use crate::statement::Incarnation;
use std::collections::BTreeMap;

/// Updates that may wait for one before them.
const MAX_EARLY: usize = 16;

#[derive(Default)]
pub(crate) struct Follower {
    cursor: Option<Cursor>,
    /// Updates that came before their turn, by the revision that they follow.
    early: BTreeMap<u64, Update>,
    /// When it was last level with the coordinator.
    pub synced_at: Option<f64>,
    /// Since when that other replica holds something else than this one.
    differs_since: Option<f64>,
}

impl Follower {
    pub fn cursor(&self) -> Option<Cursor> {
        self.cursor
    }

    /// What was followed is of no use any more.
    pub fn reset(&mut self) {
        *self = Follower { synced_at: self.synced_at, ..Follower::default() };
    }

    /// Compares digests with another replica; true where they have differed for so long that changes were missed, which
    /// came to that replica from a third one.
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

    /// The updates that are to be applied now, in order: this one, those that it was waited for with, or none.
    pub fn take(&mut self, now: f64, update: Update) -> Vec<Update> {
        if !self.follows(&update) {
            self.store_early(update);
            return Vec::new();
        }
        let coordinator = update.coordinator;
        let mut in_order = vec![update];
        self.advance(&in_order[0], coordinator);
        while let Some(next) = self.next_early() {
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

    fn store_early(&mut self, update: Update) {
        let is_of_same_process = self.cursor.is_some_and(|c| c.coordinator == update.coordinator);
        if is_of_same_process && self.early.len() < MAX_EARLY {
            self.early.insert(update.from, update);
        }
    }

    fn advance(&mut self, update: &Update, coordinator: Incarnation) {
        let is_delta = update.continuity == Continuity::Delta;
        if !is_delta {
            self.early.clear();
        }
        let reached = self.cursor.filter(|_| is_delta).map_or(0, |cursor| cursor.revision);
        self.cursor = Some(Cursor { coordinator, revision: reached.max(update.to) });
    }

    fn next_early(&mut self) -> Option<Update> {
        let reached = self.cursor?.revision;
        let from = *self.early.range(..=reached).next()?.0;
        self.early.remove(&from)
    }
}
