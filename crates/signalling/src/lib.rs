//! The parts of SIP (RFC 3261) that a call router needs, without I/O: a message parser on `winnow`
//! combinators, a message writer, stream framing by Content-Length, and server and client transactions as
//! state machines that take the time as an argument. This crate makes no routing decisions.

pub mod framer;
pub mod grammar;
pub mod message;
pub mod timers;
pub mod transaction;
pub mod write;

pub use framer::{FrameError, Framer};
pub use message::{Message, Method, ParseError, Start};
