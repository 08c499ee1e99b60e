//! How many callers' connections are open, beside how many may be: read by the coroutine that accepts, so that
//! descriptors are left for servers, the list and files whatever callers do.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

#[derive(Clone)]
pub(crate) struct Places(Arc<Inner>);

struct Inner {
    held: AtomicUsize,
    most: AtomicUsize,
}

/// One open connection; its place is free again when it is dropped.
pub(crate) struct Place(Places);

impl Places {
    pub fn new(most: usize) -> Places {
        Places(Arc::new(Inner { held: AtomicUsize::new(0), most: AtomicUsize::new(most) }))
    }

    pub fn set_most(&self, most: usize) {
        self.0.most.store(most, Ordering::Relaxed);
    }

    pub fn are_full(&self) -> bool {
        self.0.held.load(Ordering::Acquire) >= self.0.most.load(Ordering::Relaxed)
    }

    /// Takes one: by the coroutine that accepts alone, after it has found them not full.
    pub fn take(&self) -> Place {
        self.0.held.fetch_add(1, Ordering::AcqRel);
        Place(self.clone())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0 .0.held.fetch_sub(1, Ordering::AcqRel);
    }
}
