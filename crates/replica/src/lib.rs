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
mod copies;
mod copy;
mod exchange;
mod facts;
mod fleet;
mod kept;
mod message;
mod status;
mod view;

pub use calls::{dialog_name, CallCounts, Calls, CallsParams};
pub use copies::{Applied, Copies, CopiesParams, Full};
pub use facts::{CallWord, Fact, Key, LevelWord, OverWord, ServerWord};
pub use fleet::{Counts, Fleet, FleetParams, Out};
pub use kept::{Changes, Inventory, Keeping, Kept, KeptFact, KeptLife, LifeName, Restored};
pub use message::{Item, Known, Message, Part, PastReach, Reach};
pub use shalespindle_membership::ReportedState;
pub use status::{FleetStatus, PeerStatus};
pub use view::{Meeting, News, View};
