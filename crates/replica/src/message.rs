//! What crosses between fronts, before the codec.

use crate::facts::{Fact, Key};
use serde::{Deserialize, Serialize};
use shalespindle_peers::Life;

/// How far a copy of one life of an origin goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reach {
    /// Complete up to this number.
    pub seq: u64,
    /// The origin has forgotten its deletions up to this number: a copy that goes less far must begin anew,
    /// unless it began under this very floor.
    pub floor: u64,
}

/// What a digest says of one front.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Known {
    pub front: u64,
    /// Number and nonce of its life.
    pub life: (u64, u64),
    pub beat: u64,
    pub left: bool,
    /// Of the copy; none where no copy is wanted any more.
    pub reach: Option<Reach>,
    /// Its lives up to this one are of no use any more.
    pub settled: (u64, u64),
    /// Its ended lives that are still of use, and how far their copies go.
    pub past: Vec<PastReach>,
}

/// How far the copy of an ended life goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PastReach {
    pub life: (u64, u64),
    pub reach: Reach,
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
pub struct Part {
    pub front: u64,
    pub life: (u64, u64),
    pub floor: u64,
    pub from: u64,
    pub to: u64,
    /// How far the sender's copy goes.
    pub last: u64,
    pub items: Vec<Item>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    Digest {
        known: Vec<Known>,
        /// It names all that its sender knows: what it does not name is missing there.
        whole: bool,
        /// Its sender wants to know what it could ask for.
        answer: bool,
    },
    Parts {
        parts: Vec<Part>,
        /// It is not the end of an answer: nothing is asked for at it.
        follow: bool,
    },
}

/// A life as it crosses between fronts and is kept: its number and nonce.
pub(crate) fn pair(life: Life) -> (u64, u64) {
    (life.number, life.nonce)
}

pub(crate) fn life((number, nonce): (u64, u64)) -> Life {
    Life { number, nonce }
}
