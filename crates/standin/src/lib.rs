//! Scripted peers of a front (servers, callers, pool list, name server) and the checker of the five rules.
//! The state machines (`server`, `callers`, `feed`) perform no I/O and take the time as an argument, so that
//! the same code runs on sockets (`net`) and under virtual time. The checker reads only the trace of the
//! messages that the peers sent and received.

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
