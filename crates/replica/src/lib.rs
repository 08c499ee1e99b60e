//! What fronts tell each other and keep for each other, decided without I/O.
//!
//! Every fact has one writer, the front that saw it: its *origin*. An origin numbers its facts; a copy of an
//! origin is complete up to a number, its *reach*. Fronts exchange digests of their reaches and send each other
//! what is missing as *parts*: complete statements about a range of numbers, so that loss, doubling, reordering
//! and any way round lead to the same copies. What facts of several origins come to together is settled when
//! they are read, by the rule of their class, the same on every front ([`View`]).
//!
//! [`Fleet`] is the whole: told of messages and time, it says what to send and what is news. Times are f64
//! seconds on the host's clock; between fronts only ages are told, so no clocks need to agree.
//! docs/design-notes/replication.md has the ways weighed.

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
