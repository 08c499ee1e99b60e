//! What crosses between fronts, before the codec.

use crate::facts::{Fact, Key};
use serde::{Deserialize, Serialize};
use shalespindle_peers::Incarnation;

/// How far a copy of one life of an origin goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cursor {
    /// Complete up to this number.
    pub seq: u64,
    /// The origin has forgotten its deletions up to this number: a copy that goes less far must begin anew,
    /// unless it began under this very floor.
    pub floor: u64,
}

/// What a digest says of one front.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DigestEntry {
    pub front: u64,
    /// Number and nonce of its life.
    pub incarnation: (u64, u64),
    pub heartbeat: u64,
    pub left: bool,
    /// Of the copy; none where no copy is wanted any more.
    pub cursor: Option<Cursor>,
    /// Its lives up to this one are of no use any more.
    pub obsolete_up_to: (u64, u64),
    /// Its ended lives that are still of use, and how far their copies go.
    pub ended: Vec<EndedCursor>,
}

/// How far the copy of an ended life goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndedCursor {
    pub incarnation: (u64, u64),
    pub cursor: Cursor,
}

/// One fact or deletion in a part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    pub seq: u64,
    /// Seconds since the origin wrote it, as far as the sender knows.
    pub age: f64,
    pub key: Key,
    /// None: deleted.
    pub fact: Option<Fact>,
}

/// All facts and remembered deletions of an origin's life numbered after `from` up to `to`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    pub front: u64,
    pub incarnation: (u64, u64),
    pub floor: u64,
    pub from: u64,
    pub to: u64,
    /// How far the sender's copy goes.
    pub sender_seq: u64,
    pub items: Vec<Item>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    Digest {
        entries: Vec<DigestEntry>,
        /// It names all that its sender knows: what it does not name is missing there.
        complete: bool,
        /// Its sender wants to know what it could ask for.
        wants_answer: bool,
    },
    Deltas {
        deltas: Vec<Delta>,
        /// It is not the end of an answer: nothing is asked for at it.
        more_follow: bool,
    },
}

/// A life as it crosses between fronts and is kept: its number and nonce.
pub(crate) fn incarnation_pair(incarnation: Incarnation) -> (u64, u64) {
    (incarnation.number, incarnation.nonce)
}

pub(crate) fn to_incarnation((number, nonce): (u64, u64)) -> Incarnation {
    Incarnation { number, nonce }
}
