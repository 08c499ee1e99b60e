//! Statements, which nodes exchange: each has a key, one owner and a version.

use crate::configuration::{Acknowledgement, ConfigurationVersion};
use serde::{Deserialize, Serialize};
use shalespindle_membership::ReportedState;
use std::net::SocketAddr;

/// Identifies a front or a coordinator; it stays the same across restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

/// One run of a node's process. A later start has a higher `number`; `nonce` distinguishes two processes that
/// got the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Increases with each start.
    pub number: u64,
    /// Random, drawn at the start.
    pub nonce: u64,
}

/// State of a member of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Its heartbeats arrive.
    Alive,
    /// Its heartbeats have stopped.
    Suspected,
    /// It shut down in an orderly way.
    Left,
}

impl MemberState {
    /// The sequence of a statement about a member after that many heartbeats: if two coordinators report
    /// different states of one member, the one that received the later heartbeat prevails.
    pub(crate) fn sequence(self, heartbeat: u64) -> u64 {
        const STATES: u64 = 4;
        heartbeat.saturating_mul(STATES).saturating_add(self as u64)
    }
}

/// State of a server according to a front's own pool list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerState {
    /// Counts the starts of the server.
    pub incarnation: u64,
    /// The last reported state of that incarnation.
    pub state: ReportedState,
}

/// An operator's pin of the level of reduced service, for all fronts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LevelPin {
    /// Increases with every pin; the highest version prevails, then the higher publisher.
    pub version: u64,
    /// None removes the pin.
    pub level: Option<u8>,
}

/// Subject of a statement; one owner has at most one statement under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// The state of the owner; published by the coordinator that has its session.
    Member,
    /// What the owner's list reports about the server at that address.
    Server(SocketAddr),
    /// The owner's pin of a level.
    Level,
    /// The configuration version that the owner announced last.
    Configuration,
    /// The configuration version that the owner uses, or refused.
    Acknowledgement,
}

impl Key {
    /// Whether a statement stays valid when the process that made it has ended: operators' statements do.
    pub(crate) fn outlives_process(self) -> bool {
        self == Key::Member || self.is_from_operator()
    }

    /// An operator's statement. It is never deleted, only superseded by a later one, and any node that has it
    /// may republish it.
    pub(crate) fn is_from_operator(self) -> bool {
        matches!(self, Key::Level | Key::Configuration)
    }
}

/// Content of a statement; its kind must match the key.
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
    /// The rank of an operator's statement; none for all other statements.
    pub(crate) fn operator_rank(&self, owner: NodeId) -> Option<OperatorRank> {
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

/// Which of two operators' statements of one kind prevails: the higher number, then the higher publisher.
pub(crate) type OperatorRank = (u64, NodeId);

/// Which of two statements under one key is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Process of the owner.
    pub incarnation: Incarnation,
    /// Increases with each statement of that process.
    pub sequence: u64,
}

/// One statement, or the deletion of one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Statement {
    /// The node that the statement belongs to.
    pub owner: NodeId,
    /// Subject.
    pub key: Key,
    /// Increased only by the owner.
    pub version: Version,
    /// None: the statement is deleted.
    pub value: Option<Value>,
}

impl Statement {
    /// Whether the value is of the key's kind and within its bounds.
    pub(crate) fn is_valid(&self) -> bool {
        let Some(value) = &self.value else { return !self.key.is_from_operator() };
        match value {
            Value::Acknowledgement(acknowledgement) => {
                self.key == Key::Acknowledgement && acknowledgement.is_valid()
            }
            value => value.fits(self.key),
        }
    }

    /// Approximate size in a message, bytes; never less than the actual size.
    pub(crate) fn size(&self) -> usize {
        const FIXED: usize = 64;
        let text = match &self.value {
            Some(Value::Acknowledgement(acknowledgement)) => acknowledgement.reason_length(),
            _ => 0,
        };
        FIXED + text
    }
}
