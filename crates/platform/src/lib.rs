//! A front on the operators' platform, without I/O: SIP over TCP from callers, JSON lines to signalling
//! servers, server-sent events for the list of them. [`Edge`] is told of bytes and of time and says what to
//! dial, write and close; every choice about traffic is the decision module's.

mod callers;
mod calls;
mod causes;
mod client_connection;
mod descriptors;
mod early;
mod edge;
mod feed;
mod handover;
mod lines;
mod link;
mod log;
mod releases;
mod servers;
mod shutdown;
mod silent_servers;
mod sip;
mod sse;
mod start_file;

pub use descriptors::UNCOUNTED_CONNECTIONS;
pub use edge::{ConnectionId, Counters, Edge, Loss, Output};
pub use log::{LogLevel, LogRecord};
pub use start_file::{read_file, StartFile};
