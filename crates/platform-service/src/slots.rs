//! Counts the open client connections against their limit. The accepting coroutine checks it, so that
//! descriptors remain for servers, the feed and files.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

#[derive(Clone)]
pub(crate) struct ConnectionSlots(Arc<Inner>);

struct Inner {
    held: AtomicUsize,
    max: AtomicUsize,
}

/// One open connection; its slot is freed on drop.
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

    /// Takes a slot. Called only by the accepting coroutine, after it has found a free one.
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
