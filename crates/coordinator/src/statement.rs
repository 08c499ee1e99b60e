//! What crosses between nodes: statements under keys, each with one owner and a version.

use crate::configuration::{Acknowledgement, ConfigurationVersion};
use serde::{Deserialize, Serialize};
use shalespindle_membership::ReportedState;
use std::net::SocketAddr;

/// A front or a coordinator, by a name that outlives restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

/// One run of a node's process. A later start has a higher `number`; `nonce` tells two processes apart that took the
/// same one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Grows with each start.
    pub number: u64,
    /// Drawn at the start.
    pub nonce: u64,
}

/// How a member of the fleet stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Its heartbeats arrive.
    Alive,
    /// Its heartbeats have stopped.
    Suspected,
    /// It departed in order.
    Left,
}

impl MemberState {
    /// The number of the statement about a member that had sent so many heartbeats: of two coordinators that say
    /// different things of one member, the one that heard the later heartbeat counts.
    pub(crate) fn sequence(self, heartbeat: u64) -> u64 {
        const STATES: u64 = 4;
        heartbeat.saturating_mul(STATES).saturating_add(self as u64)
    }
}

/// What a front's own list tells of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerState {
    /// Counts the starts of the server.
    pub incarnation: u64,
    /// What was last told of that start.
    pub state: ReportedState,
}

/// An operator's pin of the level of reduced service for all fronts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LevelPin {
    /// Grows with every pin; the highest counts, then the higher publisher.
    pub version: u64,
    /// None ends a pin.
    pub level: Option<u8>,
}

/// What a statement is about; one owner has at most one statement under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// How the owner stands; told by the coordinator that has its session.
    Member,
    /// What the owner's list tells of the server at that address.
    Server(SocketAddr),
    /// The owner's pin of a level.
    Level,
    /// The configuration version that the owner announced last.
    Configuration,
    /// The configuration version that the owner acts on, or refused.
    Acknowledgement,
}

impl Key {
    /// Whether a statement outlives the process that made it: an operator's words do.
    pub(crate) fn outlives_process(self) -> bool {
        self == Key::Member || self.is_operators()
    }

    /// An operator's word. It is never deleted, only followed by a later one, and whoever holds it may pass it on.
    pub(crate) fn is_operators(self) -> bool {
        matches!(self, Key::Level | Key::Configuration)
    }
}

/// The content of a statement; its kind is that of the key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Value {
    /// Under [`Key::Member`].
    Member(MemberState),
    /// Under [`Key::Server`].
    Server(ServerState),
    /// Under [`Key::Level`].
    Level(LevelPin),
    /// Under [`Key::Configuration`].
    Configuration(ConfigurationVersion),
    /// Under [`Key::Acknowledgement`].
    Acknowledgement(Acknowledgement),
}

impl Value {
    /// The rank of an operator's word; none for all else.
    pub(crate) fn word_rank(&self, owner: NodeId) -> Option<WordRank> {
        match self {
            Value::Level(pin) => Some((pin.version, owner)),
            Value::Configuration(version) => Some((version.id.number, version.id.publisher.unwrap_or(owner))),
            Value::Member(_) | Value::Server(_) | Value::Acknowledgement(_) => None,
        }
    }

    fn fits(&self, key: Key) -> bool {
        matches!(
            (self, key),
            (Value::Member(_), Key::Member)
                | (Value::Server(_), Key::Server(_))
                | (Value::Level(_), Key::Level)
                | (Value::Configuration(_), Key::Configuration)
                | (Value::Acknowledgement(_), Key::Acknowledgement)
        )
    }
}

/// Which of two operators' words of one kind counts: the higher number, then the higher publisher.
pub(crate) type WordRank = (u64, NodeId);

/// Which of two statements under one key is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Of the owner's process.
    pub incarnation: Incarnation,
    /// Grows with each statement of that process.
    pub sequence: u64,
}

/// One statement, or the deletion of one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Statement {
    /// Who made it.
    pub owner: NodeId,
    /// What it is about.
    pub key: Key,
    /// Raised by the owner alone.
    pub version: Version,
    /// None: deleted.
    pub value: Option<Value>,
}

impl Statement {
    /// Its value is of its key's kind.
    pub(crate) fn is_sound(&self) -> bool {
        let Some(value) = &self.value else { return !self.key.is_operators() };
        match value {
            Value::Acknowledgement(acknowledgement) => {
                self.key == Key::Acknowledgement && acknowledgement.is_sound()
            }
            value => value.fits(self.key),
        }
    }

    /// Bytes that it takes in a message, about and not less.
    pub(crate) fn size(&self) -> usize {
        const FIXED: usize = 64;
        let text = match &self.value {
            Some(Value::Acknowledgement(acknowledgement)) => acknowledgement.reason_length(),
            _ => 0,
        };
        FIXED + text
    }
}
