//! A front on the operators' platform, without I/O: SIP over TCP from callers, JSON lines to signalling
//! servers, server-sent events for the list of them. [`Edge`] is told of bytes and of time and says what to
//! dial, write and close; every choice about traffic is the decision module's.

mod callers;
mod calls;
mod causes;
mod client_connection;
mod early;
mod edge;
mod ending;
mod feed;
mod file;
mod handover;
mod lines;
mod link;
mod log;
mod presence;
mod releases;
mod room;
mod servers;
mod sip;
mod sse;

pub use edge::{ConnectionId, Counters, Edge, Loss, Output};
pub use file::{read_file, StartFile};
pub use log::{LogLevel, LogRecord};
pub use room::UNCOUNTED_CONNECTIONS;
