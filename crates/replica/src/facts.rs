//! The classes of facts: what is worth telling other fronts, by whom it is written and how long it holds.

use serde::{Deserialize, Serialize};
use shalespindle_membership::ReportedState;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// A warning or its absence: what a front's own list last told of a server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerWord {
    pub pool: u16,
    /// Counts the starts of its processor.
    pub incarnation: u64,
    pub told: ReportedState,
    /// Seconds between its start and the moment at which the fact was written; none when long ago.
    pub age: Option<f64>,
}

/// An operator's word on the level of reduced service, for all fronts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LevelWord {
    /// None ends a pin.
    pub level: Option<u8>,
    /// How long it holds from when it was written, seconds.
    pub lasts: f64,
    /// Grows with every word that any operator says; the highest counts, then the higher front.
    pub version: u64,
    /// Who said it: the name of the front that was asked.
    pub by: String,
}

impl LevelWord {
    /// Of several words the one of the highest rank counts.
    pub(crate) fn rank(&self) -> (u64, &str) {
        (self.version, &self.by)
    }
}

/// A standing call: enough for another front to release it in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallWord {
    /// Grows each time that it changes hands.
    pub epoch: u32,
    /// The server, and this side's dialog with it.
    pub server: SocketAddr,
    pub leg_call_id: String,
    pub leg_from: String,
    pub leg_to: String,
    pub leg_target: String,
    /// The dialog with the caller: this side's and the caller's names, and where requests to it go.
    pub call_id: String,
    pub local: String,
    pub remote: String,
    pub target: String,
    /// Where its datagrams came from; none for a caller on a connection, which ends with its front.
    pub caller: Option<SocketAddr>,
}

impl CallWord {
    fn texts(&self) -> [&String; 8] {
        let leg = [&self.leg_call_id, &self.leg_from, &self.leg_to, &self.leg_target];
        let caller = [&self.call_id, &self.local, &self.remote, &self.target];
        [leg[0], leg[1], leg[2], leg[3], caller[0], caller[1], caller[2], caller[3]]
    }

    /// Short enough to be told, and without line ends that could make two headers of one.
    pub fn is_sound(&self) -> bool {
        let sound = |t: &&String| t.len() <= LONGEST_NAME && !t.contains(['\r', '\n']);
        self.texts().iter().all(sound)
    }
}

/// A call is over, or is about to be released by who says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OverWord {
    pub claim: bool,
}

/// What a fact is of. One origin has one fact of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    Server(SocketAddr),
    Level,
    /// By the name of the call's dialog with its caller.
    Call(u64),
    Over(u64),
}

impl Hash for ServerWord {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.pool, self.incarnation, self.told, self.age.map(f64::to_bits)).hash(state);
    }
}

impl Hash for LevelWord {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.level, self.lasts.to_bits(), self.version, &self.by).hash(state);
    }
}

#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub enum Fact {
    Server(ServerWord),
    Level(LevelWord),
    Call(Box<CallWord>),
    Over(OverWord),
}

/// Bytes that any fact with its key and number may take on the wire at most, the name in it aside.
const ROOM: usize = 72;
/// The longest name in a fact.
pub const LONGEST_NAME: usize = 255;

impl Fact {
    /// The fact belongs under that key and holds no figure out of range.
    pub fn is_sound(&self, key: &Key) -> bool {
        let good = |seconds: f64| seconds.is_finite() && seconds >= 0.0;
        match (self, key) {
            (Fact::Server(word), Key::Server(_)) => word.age.is_none_or(good),
            (Fact::Level(word), Key::Level) => good(word.lasts) && word.by.len() <= LONGEST_NAME,
            (Fact::Call(word), Key::Call(_)) => word.is_sound(),
            (Fact::Over(_), Key::Over(_)) => true,
            _ => false,
        }
    }
}

/// No less than what the codec makes of an item.
pub(crate) fn room(fact: Option<&Fact>) -> usize {
    match fact {
        Some(Fact::Level(word)) => ROOM + word.by.len(),
        Some(Fact::Call(word)) => ROOM + 64 + word.texts().iter().map(|t| t.len()).sum::<usize>(),
        _ => ROOM,
    }
}
