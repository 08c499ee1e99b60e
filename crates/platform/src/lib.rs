//! The core of a live front on the operators' platform, without I/O: SIP over TCP with callers, JSON lines
//! with signalling servers, and the feed of server-sent events that lists those servers. The host reports
//! bytes and time to [`Edge`], which returns what to dial, write, close and log. Routing and admission
//! decisions are made by `shalespindle_control`.

mod callers;
mod calls;
mod causes;
mod client_connection;
mod descriptors;
mod edge;
mod expiring_ids;
mod feed;
mod feed_io;
mod feed_request;
mod handover;
mod limits;
mod lines;
mod link;
mod log;
mod processes;
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
