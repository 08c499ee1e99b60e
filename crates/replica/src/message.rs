//! Messages between fronts, before encoding.

use crate::facts::{Fact, Key};
use serde::{Deserialize, Serialize};
use shalespindle_peers::Incarnation;

/// How far a replica of one incarnation of an origin is complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cursor {
    /// The replica is complete up to this number.
    pub seq: u64,
    /// The origin has forgotten its deletions up to this number: a replica that is behind it must be rebuilt
    /// from the start, unless its rebuild began under this very floor.
    pub floor: u64,
}

/// What a digest says about one front.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DigestEntry {
    pub front: u64,
    /// Number and nonce of its incarnation.
    pub incarnation: (u64, u64),
    pub heartbeat: u64,
    pub left: bool,
    /// Cursor of the sender's replica; none if the sender no longer wants one.
    pub cursor: Option<Cursor>,
    /// Incarnations up to this one are no longer needed.
    pub obsolete_up_to: (u64, u64),
    /// Its ended incarnations that are still needed, with the cursors of their replicas.
    pub ended: Vec<EndedCursor>,
}

/// How far the replica of an ended incarnation is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndedCursor {
    pub incarnation: (u64, u64),
    pub cursor: Cursor,
}

/// One fact or deletion in a delta.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    pub seq: u64,
    /// Seconds since the origin wrote it, as far as the sender knows.
    pub age: f64,
    pub key: Key,
    /// None for a deletion.
    pub fact: Option<Fact>,
}

/// All facts and remembered deletions of an origin's incarnation with numbers above `from` and up to `to`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    pub front: u64,
    pub incarnation: (u64, u64),
    pub floor: u64,
    pub from: u64,
    pub to: u64,
    /// The highest number in the sender's replica; if it is above `to`, more can be requested.
    pub sender_seq: u64,
    pub items: Vec<Item>,
}

/// A message between two fronts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    Digest {
        entries: Vec<DigestEntry>,
        /// The digest covers every front that the sender knows: what it does not name is missing there.
        complete: bool,
        /// The sender wants to learn what it could request.
        wants_answer: bool,
    },
    Deltas {
        deltas: Vec<Delta>,
        /// Further messages of the same answer follow: the receiver requests nothing yet.
        more_follow: bool,
    },
}

/// Converts an incarnation to the number and nonce that are sent and stored.
pub(crate) fn incarnation_pair(incarnation: Incarnation) -> (u64, u64) {
    (incarnation.number, incarnation.nonce)
}

pub(crate) fn to_incarnation((number, nonce): (u64, u64)) -> Incarnation {
    Incarnation { number, nonce }
}
