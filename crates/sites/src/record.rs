//! The record of a site, and how the records of two fronts are merged.

use serde::{Deserialize, Serialize};
use shalespindle_peers::FrontId;

/// The stage of a site between loss and return.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    Up,
    /// On its way back; `step` is an index into `SitesParams::return_steps`.
    Returning {
        step: u8,
    },
    Lost,
    /// Excluded by an operator's order.
    KeptOut,
}

impl Stage {
    /// Order of precedence among stages of one epoch: the more cautious one wins.
    fn precedence(self) -> (u8, u8) {
        match self {
            Stage::Up => (0, 0),
            // An earlier step admits fewer fronts.
            Stage::Returning { step } => (1, u8::MAX - step),
            Stage::Lost => (2, 0),
            Stage::KeptOut => (3, 0),
        }
    }
}

/// The state that was found of a site. Times are seconds on the host's clock; ages are sent between fronts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteRecord {
    /// Incremented by each change.
    pub epoch: u64,
    pub stage: Stage,
    /// Number of recent losses.
    pub losses: u8,
    /// When the record was written, as far as this front knows.
    pub since: f64,
    /// An operator's order holds the record until then: observations do not change it before.
    pub held_until: Option<f64>,
}

impl SiteRecord {
    /// Returns the record of a site before any change.
    pub fn initial(now: f64) -> SiteRecord {
        SiteRecord { epoch: 0, stage: Stage::Up, losses: 0, since: now, held_until: None }
    }

    fn rank(&self) -> (u64, (u8, u8), u8) {
        (self.epoch, self.stage.precedence(), self.losses)
    }

    /// Takes over the other record if it has precedence; returns true if the epoch or the stage changed. The
    /// operation is commutative, associative and idempotent: records may arrive in any order and more than
    /// once.
    pub fn merge(&mut self, other: &SiteRecord) -> bool {
        if other.rank() < self.rank() {
            return false;
        }
        if other.rank() == self.rank() {
            // Of two copies of one record, the longer hold and the earlier time count: the known age only
            // grows.
            let held_until = match (self.held_until, other.held_until) {
                (Some(a), Some(b)) => Some(a.max(b)),
                (a, b) => a.or(b),
            };
            (self.held_until, self.since) = (held_until, self.since.min(other.since));
            return false;
        }
        let changed = self.epoch != other.epoch || self.stage != other.stage;
        *self = *other;
        changed
    }

    /// Returns the record that replaces this one at a new stage.
    pub fn successor(&self, now: f64, stage: Stage) -> SiteRecord {
        SiteRecord { epoch: self.epoch + 1, stage, losses: self.losses, since: now, held_until: None }
    }

    /// Whether an operator's order still holds the record.
    pub fn is_held(&self, now: f64) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }
}

/// The rank of a front, 0 to 1, in the order in which fronts may use a returning site. All fronts compute the
/// same one.
pub(crate) fn return_rank(front: FrontId, site: usize) -> f64 {
    // The finalizer of SplitMix64, a stateless mix of two numbers.
    let mut x = front.0 ^ (site as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
