//! Dissemination of control state through a few coordinators, decided without I/O.
//!
//! A front is a [`Client`] of one coordinator at a time: it sends heartbeats with what it publishes, and receives
//! changes of what it subscribes to. A [`Coordinator`] holds a [`Store`] of statements and the sessions of its clients;
//! the other coordinators are clients of it that subscribe to everything, so that each becomes a replica of the others.
//!
//! Every statement has one writer, its owner, and a version that only its owner raises: of two statements under one
//! key the higher version counts, so loss, doubling, reordering and any way round lead to the same store. Each store
//! numbers its own changes (its *revision*); a client names the revision that it has reached, and gets what came later,
//! or, where that can not be told any more, a snapshot. Nothing here needs agreement between coordinators, and a client
//! that hears none of them goes on with its last state.
//!
//! Times are f64 seconds on the host's clock. The same inputs give the same outputs; chance comes from the seed.
//! docs/design-notes/coordinators.md has the ways weighed.

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
    /// Who is to get it.
    pub to: NodeId,
    /// What it is to get.
    pub message: Message,
}
