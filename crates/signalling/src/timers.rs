//! Due times in order. Entries are not taken out when they become void; whoever they name checks.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

#[derive(Clone, Debug)]
struct Entry<T> {
    at: f64,
    order: u64,
    due: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Entry<T>) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl<T> Eq for Entry<T> {}
impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Entry<T>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Entry<T>) -> Ordering {
        self.at.total_cmp(&other.at).then(self.order.cmp(&other.order))
    }
}

/// A heap of due times; equal ones come in the order they were set.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    order: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Timers<T> {
        Timers { heap: BinaryHeap::new(), order: 0 }
    }
}

impl<T> Timers<T> {
    /// Sets a due time in seconds; an infinite one is never due and takes no place.
    pub fn set(&mut self, at: f64, due: T) {
        if at.is_finite() {
            self.order += 1;
            self.heap.push(Reverse(Entry { at, order: self.order, due }));
        }
    }

    /// The earliest; infinite when there is none.
    pub fn next(&self) -> f64 {
        self.heap.peek().map_or(f64::INFINITY, |e| e.0.at)
    }

    /// Takes the earliest that is due.
    pub fn pop(&mut self, now: f64) -> Option<T> {
        if self.next() > now {
            return None;
        }
        self.heap.pop().map(|e| e.0.due)
    }
}
