//! The live front on sockets. One coroutine owns the core; readers send it what comes over one bounded
//! mailbox; it writes without blocking and decides nothing.

mod owner;
mod readers;
mod service;
mod slots;

pub use service::{use_single_worker, Service};
