//! What crosses between fronts, before the codec.

use crate::sights::Sight;
use crate::word::{Stage, Word};
use serde::{Deserialize, Serialize};

/// A sight on its way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rumour {
    pub front: u64,
    /// Number of its life.
    pub life: u64,
    /// Seconds since it was made, as far as the sender knows.
    pub age: f32,
    pub sight: Sight,
}

/// A word on its way: the place of its site, and ages in place of times.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ToldWord {
    pub site: u8,
    pub epoch: u64,
    pub stage: Stage,
    pub losses: u8,
    pub age: f32,
    /// Seconds for which an operator still holds it; 0: none does.
    pub held: f32,
}

/// What one front tells another at a beat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SitesMessage {
    /// Of the sender's table: places mean the same only where it is the receiver's too.
    pub table: u64,
    pub words: Vec<ToldWord>,
    pub sights: Vec<Rumour>,
}

impl ToldWord {
    pub fn of(site: usize, now: f64, word: &Word) -> ToldWord {
        ToldWord {
            site: site as u8,
            epoch: word.epoch,
            stage: word.stage,
            losses: word.losses,
            age: (now - word.since).max(0.0) as f32,
            held: word.held_until.map_or(0.0, |until| (until - now).max(0.0)) as f32,
        }
    }

    /// None where a figure is out of range.
    pub fn word(&self, now: f64, longest: f64) -> Option<Word> {
        let good = |x: f32| x.is_finite() && x >= 0.0;
        if !good(self.age) || !good(self.held) || f64::from(self.held) > longest {
            return None;
        }
        let held_until = (self.held > 0.0).then(|| now + f64::from(self.held));
        let since = now - f64::from(self.age);
        Some(Word { epoch: self.epoch, stage: self.stage, losses: self.losses, since, held_until })
    }
}
