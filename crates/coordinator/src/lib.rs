//! Dissemination of control state through a few coordinators, decided without I/O.
//!
//! A front is a [`Client`] of one coordinator at a time: it sends heartbeats with the statements that it
//! publishes, and receives the changes that it subscribes to. A [`Coordinator`] has a [`Store`] of statements
//! and a session with each client. The other coordinators are also its clients and subscribe to everything,
//! so all coordinators are replicas of each other.
//!
//! Every statement has one writer, its owner, and a version that only the owner increases. Of two statements
//! under one key the higher version wins, so lost, duplicated, reordered and rerouted messages lead to the
//! same store. Each store numbers its own changes (its *revision*). A client sends the revision that it has
//! reached and receives the later changes, or a snapshot if those are no longer available. Coordinators need
//! no agreement among each other, and a client that reaches none of them continues with its last state.
//!
//! Times are f64 seconds on the host's clock. The same inputs give the same outputs; random values come from
//! the seed. docs/design-notes/coordinators.md compares the alternatives.

mod client;
mod configuration;
mod coordinator;
mod follower;
mod message;
mod serving;
mod session;
mod statement;
mod status;
mod store;

pub use client::{Client, ClientEvent, ClientParams, ClientStatus};
pub use configuration::{Acknowledgement, ConfigurationVersion, OutdatedVersion, VersionId};
pub use coordinator::{Coordinator, CoordinatorEvent, CoordinatorParams, Counts};
pub use message::{Continuity, Cursor, Heartbeat, Message, Subscription, Update, MAX_PUBLISHED, MAX_SERVERS};
pub use statement::{
    Incarnation, Key, LevelPin, MemberState, NodeId, ServerState, Statement, Value, Version,
};
pub use status::{CoordinatorStatus, FrontProgress};
pub use store::{Applied, Source, Store};

/// A message for another node.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The receiver.
    pub to: NodeId,
    /// The message.
    pub message: Message,
}
