//! What crosses between fronts, before the codec.

use crate::observation::Observation;
use crate::record::{SiteRecord, Stage};
use serde::{Deserialize, Serialize};

/// A observation on its way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedObservation {
    pub front: u64,
    /// Number of its life.
    pub incarnation: u64,
    /// Seconds since it was made, as far as the sender knows.
    pub age: f32,
    pub observation: Observation,
}

/// A record on its way: the place of its site, and ages in place of times.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordMessage {
    pub site: u8,
    pub epoch: u64,
    pub stage: Stage,
    pub losses: u8,
    pub age: f32,
    /// Seconds for which an operator still holds it; 0: none does.
    pub hold_left: f32,
}

/// What one front tells another at a beat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SitesMessage {
    /// Of the sender's table: places mean the same only where it is the receiver's too.
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

    /// None where a figure is out of range.
    pub fn record(&self, now: f64, longest: f64) -> Option<SiteRecord> {
        let good = |x: f32| x.is_finite() && x >= 0.0;
        if !good(self.age) || !good(self.hold_left) || f64::from(self.hold_left) > longest {
            return None;
        }
        let held_until = (self.hold_left > 0.0).then(|| now + f64::from(self.hold_left));
        let since = now - f64::from(self.age);
        Some(SiteRecord { epoch: self.epoch, stage: self.stage, losses: self.losses, since, held_until })
    }
}
