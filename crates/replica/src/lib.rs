//! Replication of state between fronts, decided without I/O.
//!
//! Every fact has one writer, the front that observed it: its *origin*. An origin numbers its facts; a
//! replica of an origin is complete up to a number, its *cursor*. Fronts exchange digests of their cursors
//! and send each other what is missing as *deltas*: complete statements about a range of numbers, so that
//! loss, duplication, reordering and any route between fronts lead to the same replicas. Facts of several
//! origins about one key are merged when they are read, by the rule of their class, with the same result on
//! every front ([`View`]).
//!
//! [`Fleet`] combines all of it: it takes messages and the time, and returns what to send and what has
//! changed. Times are f64 seconds on the host's clock. Fronts exchange only ages, so their clocks need not
//! agree. docs/design-notes/replication.md compares the alternatives.

mod calls;
mod exchange;
mod facts;
mod fleet;
mod message;
mod replica;
mod replicas;
mod snapshot;
mod status;
mod view;

pub use calls::{dialog_hash, CallCounts, Calls, CallsParams};
pub use facts::{CallEnd, CallRecord, Fact, Key, LevelOrder, ServerRecord};
pub use fleet::{Counts, Fleet, FleetParams, Output};
pub use message::{Cursor, Delta, DigestEntry, EndedCursor, Item, Message};
pub use replicas::{Applied, Full, ReplicaParams, Replicas};
pub use shalespindle_membership::ReportedState;
pub use snapshot::{
    Changes, IncarnationKey, Inventory, Restored, SaveSchedule, Snapshot, StoredFact, StoredIncarnation,
};
pub use status::{FleetStatus, PeerStatus};
pub use view::{Conflict, FleetEvent, View};
