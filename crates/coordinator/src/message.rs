//! Messages between clients and coordinators.

use crate::statement::{Incarnation, Statement};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum number of servers that one client may subscribe to.
pub const MAX_SERVERS: usize = 256;
/// Maximum number of statements that one heartbeat may publish.
pub const MAX_PUBLISHED: usize = 16;

/// Which statements a front receives: configuration versions, level pins, and the newest statement about each
/// of these servers. Coordinators subscribe to everything.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscription {
    /// Addresses, at most [`MAX_SERVERS`].
    pub servers: Vec<SocketAddr>,
}

impl Subscription {
    pub(crate) fn is_valid(&self) -> bool {
        self.servers.len() <= MAX_SERVERS
    }
}

/// Position of a client in the changes of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Process of the coordinator; revisions are only comparable within one process.
    pub coordinator: Incarnation,
    /// All changes up to this revision have been applied.
    pub revision: u64,
}

/// Message of a client: a sign of life, its cursor, and the statements that it publishes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Process of the client.
    pub incarnation: Incarnation,
    /// Counts the heartbeats of that process.
    pub number: u64,
    /// None if it has not followed this coordinator yet.
    pub cursor: Option<Cursor>,
    /// Digest of the statements that the client has; none where it has a cursor. If the coordinator's
    /// snapshot has the same digest, it confirms this instead of sending the snapshot.
    pub digest: Option<u64>,
    /// Counts the changes of the subscription.
    pub subscription_number: u64,
    /// Omitted once the coordinator has acknowledged `subscription_number`.
    pub subscription: Option<Subscription>,
    /// Own statements that the coordinator has not acknowledged yet, oldest first.
    pub publish: Vec<Statement>,
    /// The client wants an answer even if there are no changes.
    pub wants_answer: bool,
    /// The client shuts down in an orderly way.
    pub is_leaving: bool,
}

/// How an update relates to what its client already has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Continuity {
    /// Changes after the client's cursor.
    Delta,
    /// The first changes of a snapshot: the client removes what it has and the snapshot does not contain.
    SnapshotBegins,
    /// The client already has exactly the content of a snapshot.
    Confirmed,
}

/// Message of a coordinator: changes, in the order of its revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Process of the coordinator.
    pub coordinator: Incarnation,
    /// Process of the client: an update that was sent to its previous process is ignored by the next one.
    pub client: Incarnation,
    /// The update contains the changes after this revision,
    pub from: u64,
    /// up to and including this one.
    pub to: u64,
    /// Current revision of the coordinator: if it is higher than `to`, more changes follow.
    pub revision: u64,
    /// How the update relates to what the client has.
    pub continuity: Continuity,
    /// The changed statements that the client subscribes to.
    pub statements: Vec<Statement>,
    /// The highest sequence of the client's own statements that the coordinator has stored.
    pub published: u64,
    /// The number of the client's subscription that the coordinator has.
    pub subscription_number: u64,
    /// Equal at replicas with equal content; none in an update to a front.
    pub replica_digest: Option<u64>,
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Client to coordinator.
    Heartbeat(Heartbeat),
    /// Coordinator to client.
    Update(Update),
    /// Coordinator to client: it accepts no further session, or starts no further snapshot, for now.
    Busy {
        /// Seconds after which the client should try again.
        retry_after: f64,
    },
}
