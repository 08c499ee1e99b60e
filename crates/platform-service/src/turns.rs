//! Takes input from all connections in turn. A reader passes one read to the owner and reads on once the owner has
//! handled it; so a peer that sends at full speed delays the input of another one by one read a connection, and what
//! it sends beyond that waits in its own socket.

use may::sync::Semphore;
use std::sync::Arc;

/// The turns of one connection's reader.
pub(crate) struct Turns(Arc<Semphore>);

/// Accompanies one read; it counts as handled when this is dropped.
pub(crate) struct Turn(Arc<Semphore>);

impl Turns {
    pub fn new() -> Turns {
        Turns(Arc::new(Semphore::new(0)))
    }

    /// Begins a turn, which the next read takes along.
    pub fn begin(&self) -> Turn {
        Turn(self.0.clone())
    }

    /// Waits until the read of the last turn was handled.
    pub fn wait_until_handled(&self) {
        self.0.wait();
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.0.post();
    }
}
