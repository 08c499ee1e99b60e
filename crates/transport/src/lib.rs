//! Runs a front on `may` coroutines and sockets. One coroutine owns the front and writes without blocking;
//! reader coroutines send it what arrives over one bounded mailbox. This crate makes no routing decisions.

mod answers;
mod fleet;
mod log;
mod member_store;
mod names;
mod owner;
mod readers;
mod service;

pub use log::log_event;
pub use names::resolver_input;
pub use service::Service;
pub use shalespindle_console::FrontStatus;
