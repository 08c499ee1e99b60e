//! What has been found of a site, and how records of two fronts meet.

use serde::{Deserialize, Serialize};

/// Where a site is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    Up,
    /// On its way back: the step it has reached.
    Returning {
        step: u8,
    },
    Lost,
    /// By an operator's record.
    KeptOut,
}

impl Stage {
    /// The more careful of two stages of one epoch counts.
    fn precedence(self) -> (u8, u8) {
        match self {
            Stage::Up => (0, 0),
            // An earlier step lets fewer in.
            Stage::Returning { step } => (1, u8::MAX - step),
            Stage::Lost => (2, 0),
            Stage::KeptOut => (3, 0),
        }
    }
}

/// The record that counts of a site. Times are seconds on the host's clock; ages cross between fronts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteRecord {
    /// Grows with each change.
    pub epoch: u64,
    pub stage: Stage,
    /// How often it was lost of late.
    pub losses: u8,
    /// When it was written, as far as is known here.
    pub since: f64,
    /// An operator holds it until then: nothing moves it by itself before.
    pub held_until: Option<f64>,
}

impl SiteRecord {
    pub fn initial(now: f64) -> SiteRecord {
        SiteRecord { epoch: 0, stage: Stage::Up, losses: 0, since: now, held_until: None }
    }

    fn rank(&self) -> (u64, (u8, u8), u8) {
        (self.epoch, self.stage.precedence(), self.losses)
    }

    /// Takes the other's record where it goes before this one; true where it changed. A join: any order of records, any
    /// record twice, comes to the same.
    pub fn merge(&mut self, other: &SiteRecord) -> bool {
        if other.rank() < self.rank() {
            return false;
        }
        if other.rank() == self.rank() {
            // Of one record the longer hold, the earlier moment: what is known of its age only grows.
            let held = match (self.held_until, other.held_until) {
                (Some(a), Some(b)) => Some(a.max(b)),
                (a, b) => a.or(b),
            };
            (self.held_until, self.since) = (held, self.since.min(other.since));
            return false;
        }
        let new = self.epoch != other.epoch || self.stage != other.stage;
        *self = *other;
        new
    }

    /// The next record, written here.
    pub fn successor(&self, now: f64, stage: Stage) -> SiteRecord {
        SiteRecord { epoch: self.epoch + 1, stage, losses: self.losses, since: now, held_until: None }
    }

    pub fn is_held(&self, now: f64) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }
}
