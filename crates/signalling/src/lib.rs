//! SIP (RFC 3261) as far as a call router needs it, without I/O: messages read by `winnow` combinators,
//! messages written, stream framing by Content-Length, and the server and client transactions as state
//! machines that take time as an argument. Nothing here decides where an attach goes.

pub mod framer;
pub mod grammar;
pub mod message;
pub mod timers;
pub mod transaction;
pub mod write;

pub use framer::{FrameError, Framer};
pub use message::{Message, Method, ParseError, Start};
