//! The live front on sockets. One coroutine owns the [`shalespindle_platform::Edge`]; reader coroutines send
//! it their input through one bounded mailbox. This crate writes without blocking and makes no decisions.

mod owner;
mod readers;
mod service;
mod slots;
mod turns;

pub use service::{use_single_worker, Service};
