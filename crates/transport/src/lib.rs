//! Carries frames between sockets and a front on `may` coroutines. One coroutine owns the front; readers
//! send it what comes over one bounded mailbox; it writes without blocking. No decision is made here.

mod answers;
mod fleet;
mod log;
mod memory;
mod names;
mod owner;
mod readers;
mod service;

pub use log::log_event;
pub use names::resolver_input;
pub use service::Service;
pub use shalespindle_console::FrontStatus;
