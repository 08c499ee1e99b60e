//! A timer queue. Timers are not removed when they become obsolete; the code that handles an expired timer
//! must check whether it still applies.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

#[derive(Clone, Debug)]
struct Entry<T> {
    at: f64,
    /// Orders timers that expire at the same time.
    sequence: u64,
    timer: T,
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
        self.at.total_cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}

/// A heap of timers; those that expire at the same time are returned in the order in which they were set.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    /// Number of timers set so far.
    sequence: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Timers<T> {
        Timers { heap: BinaryHeap::new(), sequence: 0 }
    }
}

impl<T> Timers<T> {
    /// Sets a timer that expires at `at`, in seconds; one with an infinite time never expires and is not
    /// stored.
    pub fn set(&mut self, at: f64, timer: T) {
        if at.is_finite() {
            self.sequence += 1;
            self.heap.push(Reverse(Entry { at, sequence: self.sequence, timer }));
        }
    }

    /// Time at which the first timer expires; infinite if there is none.
    pub fn next(&self) -> f64 {
        self.heap.peek().map_or(f64::INFINITY, |e| e.0.at)
    }

    /// Removes and returns the first timer if it has expired.
    pub fn pop(&mut self, now: f64) -> Option<T> {
        if self.next() > now {
            return None;
        }
        self.heap.pop().map(|e| e.0.timer)
    }
}
