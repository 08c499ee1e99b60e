//! Versions of the configuration: which one is in force, and how far fronts have followed.

use crate::statement::NodeId;
use serde::{Deserialize, Serialize};

/// The longest reason of a refusal that is passed on, bytes.
const LONGEST_REASON: usize = 200;

/// Names one version. Of two the higher number counts, then the higher publisher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionId {
    /// Chosen by the operator, higher than all before.
    pub number: u64,
    /// The node at which it was announced; none: no version has been announced.
    pub publisher: Option<NodeId>,
}

/// A version that an operator announced. Its content reaches fronts by file and signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ConfigurationVersion {
    /// Its name.
    pub id: VersionId,
    /// Hash of the content.
    pub digest: u64,
    /// The version in force where and when it was announced.
    pub replaces: VersionId,
}

/// What a front says of the version in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Acknowledgement {
    /// It acts on that version.
    ActsOn(VersionId),
    /// It refused `refused` for the reason given and goes on with `acts_on`.
    Refused {
        /// The version that it does not take.
        refused: VersionId,
        /// The version that it acts on.
        acts_on: VersionId,
        /// What an operator can do about it.
        reason: String,
    },
}

impl Acknowledgement {
    /// A refusal, its reason cut to what is passed on.
    pub fn refused(refused: VersionId, acts_on: VersionId, reason: &str) -> Acknowledgement {
        let mut end = reason.len().min(LONGEST_REASON);
        while !reason.is_char_boundary(end) {
            end -= 1;
        }
        Acknowledgement::Refused { refused, acts_on, reason: reason[..end].to_string() }
    }

    /// The version that its sender acts on.
    pub fn acts_on(&self) -> VersionId {
        match self {
            Acknowledgement::ActsOn(id) | Acknowledgement::Refused { acts_on: id, .. } => *id,
        }
    }

    pub(crate) fn reason_length(&self) -> usize {
        match self {
            Acknowledgement::ActsOn(_) => 0,
            Acknowledgement::Refused { reason, .. } => reason.len(),
        }
    }

    pub(crate) fn is_sound(&self) -> bool {
        self.reason_length() <= LONGEST_REASON
    }
}

/// A version was announced under a number that is not higher than the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("version {announced} is not newer than version {in_force}, which is in force: announce it as {next} or higher")]
pub struct OutdatedVersion {
    /// The number that was announced.
    pub announced: u64,
    /// The number in force.
    pub in_force: u64,
    /// The least number that would be taken.
    pub next: u64,
}

impl OutdatedVersion {
    pub(crate) fn check(announced: u64, in_force: VersionId) -> Result<(), OutdatedVersion> {
        if announced > in_force.number {
            return Ok(());
        }
        Err(OutdatedVersion { announced, in_force: in_force.number, next: in_force.number.saturating_add(1) })
    }
}

/// Whether `word` lost against the version in force without its publisher having known of it: both were announced
/// while their publishers did not hear each other.
pub(crate) fn is_lost(word: &ConfigurationVersion, in_force: &ConfigurationVersion) -> bool {
    word.id < in_force.id && word.id > in_force.replaces
}
