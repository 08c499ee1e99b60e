//! How many callers' connections are open, beside how many may be: read by the coroutine that accepts, so that
//! descriptors are left for servers, the list and files whatever callers do.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

#[derive(Clone)]
pub(crate) struct ConnectionSlots(Arc<Inner>);

struct Inner {
    held: AtomicUsize,
    max: AtomicUsize,
}

/// One open connection; its place is free again when it is dropped.
pub(crate) struct Slot(ConnectionSlots);

impl ConnectionSlots {
    pub fn new(max: usize) -> ConnectionSlots {
        ConnectionSlots(Arc::new(Inner { held: AtomicUsize::new(0), max: AtomicUsize::new(max) }))
    }

    pub fn set_max(&self, max: usize) {
        self.0.max.store(max, Ordering::Relaxed);
    }

    pub fn are_full(&self) -> bool {
        self.0.held.load(Ordering::Acquire) >= self.0.max.load(Ordering::Relaxed)
    }

    /// Takes one: by the coroutine that accepts alone, after it has found them not full.
    pub fn take(&self) -> Slot {
        self.0.held.fetch_add(1, Ordering::AcqRel);
        Slot(self.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0 .0.held.fetch_sub(1, Ordering::AcqRel);
    }
}
