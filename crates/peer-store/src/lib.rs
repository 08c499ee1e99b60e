//! Stores a front's fleet state on disk: one `redb` file, written in transactions by a dedicated thread, so
//! that the thread that makes decisions never waits for the disk. `shalespindle_replica::Snapshot` decides
//! what is stored and what of it is restored; this crate adds a version and checksums.
//!
//! - An interrupted write leaves the previous transaction intact (redb has two commit slots).
//! - A fact with a wrong checksum is left out; the incarnation that lacks a fact is then not restored.
//! - A file that cannot be read is moved aside. A file of a later version or of another front is left
//!   untouched.

mod file;
mod thread;

/// Threads and channels of the standard library. The test of their interleavings replaces this module.
mod sys {
    pub use std::sync::mpsc;
    pub use std::thread;
}

pub use file::{CorruptFacts, File, OpenError, VERSION};
pub use thread::{Opened, Outcome, Store};
