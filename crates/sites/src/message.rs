//! Messages about sites between fronts, before they are encoded. postcard writes them: the order of fields
//! and variants is the wire format.

use crate::observation::Observation;
use crate::record::{SiteRecord, Stage};
use serde::{Deserialize, Serialize};

/// An observation, as it is sent by its front or relayed by another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedObservation {
    /// The front that made it.
    pub front: u64,
    /// Number of the incarnation of that front.
    pub incarnation: u64,
    /// Seconds since it was made, as far as the sender knows.
    pub age: f32,
    pub observation: Observation,
}

/// A [`SiteRecord`] as it is sent: with the index of its site, and ages in place of times.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordMessage {
    pub site: u8,
    pub epoch: u64,
    pub stage: Stage,
    pub losses: u8,
    /// Seconds since the record was written.
    pub age: f32,
    /// Seconds for which an operator's order still holds the record; 0: no order does.
    pub hold_left: f32,
}

/// What one front sends another in a tick.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SitesMessage {
    /// Digest of the sender's table of sites: indexes have the same meaning only if the receiver's is equal.
    pub table_digest: u64,
    pub records: Vec<RecordMessage>,
    pub observations: Vec<RelayedObservation>,
}

impl RecordMessage {
    pub fn of(site: usize, now: f64, record: &SiteRecord) -> RecordMessage {
        RecordMessage {
            site: site as u8,
            epoch: record.epoch,
            stage: record.stage,
            losses: record.losses,
            age: (now - record.since).max(0.0) as f32,
            hold_left: record.held_until.map_or(0.0, |until| (until - now).max(0.0)) as f32,
        }
    }

    /// Returns the record, or `None` if a number is out of range. `max_hold` is the longest valid hold in
    /// seconds.
    pub fn record(&self, now: f64, max_hold: f64) -> Option<SiteRecord> {
        let is_valid = |x: f32| x.is_finite() && x >= 0.0;
        if !is_valid(self.age) || !is_valid(self.hold_left) || f64::from(self.hold_left) > max_hold {
            return None;
        }
        let held_until = (self.hold_left > 0.0).then(|| now + f64::from(self.hold_left));
        let since = now - f64::from(self.age);
        Some(SiteRecord { epoch: self.epoch, stage: self.stage, losses: self.losses, since, held_until })
    }
}
