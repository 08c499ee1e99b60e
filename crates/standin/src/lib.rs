//! Stand-ins for what surrounds a front, and the checker of the five rules. The cores (`server`, `callers`,
//! `feed`) hold no I/O and take time as an argument, so that the same ones run on sockets (`net`) and under
//! virtual time. The checker reads only the trace of what passed on the sockets.

pub mod callers;
pub mod checker;
pub mod feed;
pub mod loopback;
pub mod names;
pub mod nameserver;
pub mod net;
pub mod platform;
pub mod presence;
pub mod processor;
pub mod server;
pub mod terms;
pub mod trace;
