//! One front as a library, without I/O. A [`Front`] owns one decision module, every pending attach, its setup
//! tries, dialogs and timers, and the pool list. It is driven by bytes and time and yields frames to send. It
//! has no sockets, threads or clock, so dropping it leaves nothing running and two fronts share no state. The
//! design is in docs/design-notes/front.md, the wire protocol in docs/wire.md.
//!
//! Comments refer to the routing rules by number: (1) every attach gets exactly one final answer within its
//! caller's patience, (2) it has at most one set-up out at a time, (3) nothing new is sent to a server after
//! the grace of its drain, (4) a processor that has just started is not overloaded, (5) a try that timed out
//! or was cut or cancelled is not repeated within the release guard.

mod callers;
mod decisions;
mod front;
pub mod io;
pub mod links;
pub mod params;
pub mod pool_list;
pub mod router;
pub mod server_answer;
mod servers;
mod shared_calls;
mod sites;
mod sources;

pub use front::Front;
pub use io::{Counters, Event, FinalAnswer, Input, LinkId, Outcome, Output, Source};
pub use params::{Params, SiteParams};
pub use sources::NameStatus;
