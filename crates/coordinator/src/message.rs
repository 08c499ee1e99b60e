//! Messages between clients and coordinators.

use crate::statement::{Incarnation, Statement};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Servers that one client may subscribe to.
pub const MAX_SERVERS: usize = 256;
/// Statements that one heartbeat may publish.
pub const MAX_PUBLISHED: usize = 16;

/// What a front wants to be told: versions of the configuration, pins of levels, and the newest word on each of these
/// servers. Coordinators are told everything.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscription {
    /// Addresses, [`MAX_SERVERS`] at most.
    pub servers: Vec<SocketAddr>,
}

impl Subscription {
    pub(crate) fn is_sound(&self) -> bool {
        self.servers.len() <= MAX_SERVERS
    }
}

/// How far a client has followed a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// The coordinator's process; revisions of another one say nothing of this one's.
    pub coordinator: Incarnation,
    /// All of its changes up to this revision have been taken.
    pub revision: u64,
}

/// From a client: it is there, has come so far, and publishes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The client's process.
    pub incarnation: Incarnation,
    /// Counts the heartbeats of that process.
    pub number: u64,
    /// None: it has not followed this coordinator yet.
    pub cursor: Option<Cursor>,
    /// Of what it holds; none where it has a cursor. A coordinator that would tell it the same tells it only that.
    pub digest: Option<u64>,
    /// Counts the changes of the subscription.
    pub subscription_number: u64,
    /// Left out once the coordinator has said that it holds that number.
    pub subscription: Option<Subscription>,
    /// Own statements that the coordinator has not said to hold yet, oldest first.
    pub publish: Vec<Statement>,
    /// It wants an answer though there may be no news.
    pub wants_answer: bool,
    /// It departs in order.
    pub is_leaving: bool,
}

/// How an update follows what its client holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Continuity {
    /// Changes after the client's cursor.
    Delta,
    /// The first changes of a snapshot: what the client holds and the snapshot does not name is gone.
    SnapshotBegins,
    /// The client holds just what a snapshot would tell.
    Confirmed,
}

/// From a coordinator: changes, in the order of its revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The coordinator's process.
    pub coordinator: Incarnation,
    /// The client's process: what was on its way to the one before says nothing to this one.
    pub client: Incarnation,
    /// The changes after this revision,
    pub from: u64,
    /// up to this one.
    pub to: u64,
    /// The coordinator's own revision: there is more where it is higher than `to`.
    pub revision: u64,
    /// How it follows what the client holds.
    pub continuity: Continuity,
    /// Those that the client subscribes to.
    pub statements: Vec<Statement>,
    /// The highest sequence of the client's own statements that the coordinator holds.
    pub published: u64,
    /// The number of the subscription that the coordinator holds.
    pub subscription_number: u64,
    /// Equal at replicas that hold the same; none to a front.
    pub replica_digest: Option<u64>,
}

/// What crosses between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Client to coordinator.
    Heartbeat(Heartbeat),
    /// Coordinator to client.
    Update(Update),
    /// Coordinator to client: it takes no further session, or starts no further snapshot, for so many seconds.
    Busy {
        /// Seconds.
        retry_after: f64,
    },
}
