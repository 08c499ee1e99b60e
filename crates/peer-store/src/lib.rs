//! What a front keeps of its fleet on disk: one file (`redb`), written in whole steps by a thread of its own, so that
//! whoever decides never waits for a disk. What is worth keeping and what of it is believed is decided elsewhere
//! (`shalespindle_replica::Snapshot`); here it is bytes with a version and checksums.
//!
//! Guards: a step that was cut short leaves the one before (redb's two commit slots); a fact whose checksum is wrong
//! is left out, and then its life is not believed; a file that cannot be read is put aside, and one of a later version
//! or of another front is left alone.

mod file;
mod thread;

/// Threads and channels; the test of their interleavings puts others in their place.
mod sys {
    pub use std::sync::mpsc;
    pub use std::thread;
}

pub use file::{CorruptFacts, File, OpenError, VERSION};
pub use thread::{Opened, Outcome, Store};
