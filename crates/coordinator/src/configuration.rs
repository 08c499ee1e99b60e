//! Versions of the configuration: which one is in force, and which one each front uses.

use crate::statement::NodeId;
use serde::{Deserialize, Serialize};

/// Maximum length of the reason of a refusal, bytes; longer ones are truncated.
const MAX_REASON_BYTES: usize = 200;

/// Identifies a version. Of two versions the one with the higher number prevails, then the one with the
/// higher publisher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionId {
    /// Chosen by the operator, higher than all previous ones.
    pub number: u64,
    /// The node at which it was announced; none if no version has been announced.
    pub publisher: Option<NodeId>,
}

/// A version that an operator announced. Its content reaches fronts by file and signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ConfigurationVersion {
    /// Identifier.
    pub id: VersionId,
    /// Hash of the content.
    pub digest: u64,
    /// The version that was in force at the publisher when this one was announced.
    pub replaces: VersionId,
}

/// A front's response to the version in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Acknowledgement {
    /// It uses that version.
    ActsOn(VersionId),
    /// It refused `refused` for the given reason and continues to use `acts_on`.
    Refused {
        /// The version that it refused.
        refused: VersionId,
        /// The version that it uses.
        acts_on: VersionId,
        /// The reason, with what an operator can do about it.
        reason: String,
    },
}

impl Acknowledgement {
    /// A refusal; the reason is truncated to [`MAX_REASON_BYTES`].
    pub fn refused(refused: VersionId, acts_on: VersionId, reason: &str) -> Acknowledgement {
        let mut end = reason.len().min(MAX_REASON_BYTES);
        while !reason.is_char_boundary(end) {
            end -= 1;
        }
        Acknowledgement::Refused { refused, acts_on, reason: reason[..end].to_string() }
    }

    /// The version that its sender uses.
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

    pub(crate) fn is_valid(&self) -> bool {
        self.reason_length() <= MAX_REASON_BYTES
    }
}

/// A version was announced under a number that is not higher than the number in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("version {announced} is not newer than version {in_force}, which is in force: announce it as {next} or higher")]
pub struct OutdatedVersion {
    /// The number that was announced.
    pub announced: u64,
    /// The number in force.
    pub in_force: u64,
    /// The lowest number that would be accepted.
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

/// Whether `version` was overruled by the version in force although its publisher did not know of that one:
/// both were announced while their publishers were partitioned from each other.
pub(crate) fn is_conflicting(version: &ConfigurationVersion, in_force: &ConfigurationVersion) -> bool {
    version.id < in_force.id && version.id > in_force.replaces
}
