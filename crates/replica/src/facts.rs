//! The classes of facts: what fronts tell each other, who writes it and how long it holds.

use serde::{Deserialize, Serialize};
use shalespindle_membership::ReportedState;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// The state of a server that a front's own pool list last reported: a warning or its absence.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerRecord {
    pub pool: u16,
    /// Incarnation of the core processor; increases with each of its starts.
    pub incarnation: u64,
    pub reported: ReportedState,
    /// Seconds between that start and the writing of the fact; none if the start was long before.
    pub age: Option<f64>,
}

/// An operator's order for the level of reduced service, for all fronts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LevelOrder {
    /// None ends a pin.
    pub level: Option<u8>,
    /// How long the order holds from when it was written, in seconds.
    pub valid_for: f64,
    /// Increases with every order of any operator; the highest version wins, then the higher name of the
    /// issuing front.
    pub version: u64,
    /// The name of the front that received the order from the operator.
    pub issued_by: String,
}

impl LevelOrder {
    /// The order with the highest rank wins.
    pub(crate) fn rank(&self) -> (u64, &str) {
        (self.version, &self.issued_by)
    }
}

/// An established call: enough for another front to release it in both directions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallRecord {
    /// Increases each time the call changes its owner.
    pub epoch: u32,
    /// The server, and the dialog between this side and it.
    pub server: SocketAddr,
    pub leg_call_id: String,
    pub leg_from: String,
    pub leg_to: String,
    pub leg_target: String,
    /// The dialog with the caller: the names of both sides in it, and the target of requests to the caller.
    pub call_id: String,
    pub local: String,
    pub remote: String,
    pub target: String,
    /// Source address of the caller's datagrams; none for a caller on a connection, which ends together with
    /// its front.
    pub caller: Option<SocketAddr>,
}

impl CallRecord {
    fn texts(&self) -> [&String; 8] {
        let leg = [&self.leg_call_id, &self.leg_from, &self.leg_to, &self.leg_target];
        let caller = [&self.call_id, &self.local, &self.remote, &self.target];
        [leg[0], leg[1], leg[2], leg[3], caller[0], caller[1], caller[2], caller[3]]
    }

    /// Whether all texts are short enough to be sent and free of line ends, which could split one header into
    /// two.
    pub fn is_sound(&self) -> bool {
        let sound = |t: &&String| t.len() <= MAX_NAME_BYTES && !t.contains(['\r', '\n']);
        self.texts().iter().all(sound)
    }
}

/// The call has ended; with `claim`, its writer is about to release it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallEnd {
    pub claim: bool,
}

/// What a fact is about. An origin has at most one fact per key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    Server(SocketAddr),
    Level,
    /// By the hash of the call's dialog with its caller.
    Call(u64),
    CallEnd(u64),
}

impl Hash for ServerRecord {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.pool, self.incarnation, self.reported, self.age.map(f64::to_bits)).hash(state);
    }
}

impl Hash for LevelOrder {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (self.level, self.valid_for.to_bits(), self.version, &self.issued_by).hash(state);
    }
}

#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub enum Fact {
    Server(ServerRecord),
    Level(LevelOrder),
    Call(Box<CallRecord>),
    CallEnd(CallEnd),
}

/// Upper bound for the encoded size of any fact with its key and number, not counting texts in it.
const MAX_FACT_BYTES: usize = 72;
/// Maximum length of a text in a fact, in bytes.
pub const MAX_NAME_BYTES: usize = 255;

impl Fact {
    /// Whether the fact belongs under that key and all its figures are in range.
    pub fn is_sound(&self, key: &Key) -> bool {
        let good = |seconds: f64| seconds.is_finite() && seconds >= 0.0;
        match (self, key) {
            (Fact::Server(record), Key::Server(_)) => record.age.is_none_or(good),
            (Fact::Level(record), Key::Level) => {
                good(record.valid_for) && record.issued_by.len() <= MAX_NAME_BYTES
            }
            (Fact::Call(record), Key::Call(_)) => record.is_sound(),
            (Fact::CallEnd(_), Key::CallEnd(_)) => true,
            _ => false,
        }
    }
}

/// Upper bound for the encoded size of an item.
pub(crate) fn max_encoded_size(fact: Option<&Fact>) -> usize {
    match fact {
        Some(Fact::Level(record)) => MAX_FACT_BYTES + record.issued_by.len(),
        Some(Fact::Call(record)) => {
            MAX_FACT_BYTES + 64 + record.texts().iter().map(|t| t.len()).sum::<usize>()
        }
        _ => MAX_FACT_BYTES,
    }
}
