//! A bounded channel between coroutines. Senders wait while it is full, so that a slow receiver slows down
//! the socket readers and, through TCP flow control, the peers.

use may::sync::{mpsc, Semphore};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The receiving side has been dropped.
#[derive(Debug)]
pub struct MailboxClosed;

/// Number of free slots, shared by both sides.
struct Capacity {
    free: Semphore,
    closed: AtomicBool,
}

/// The sending side; clones share its capacity.
pub struct Mailbox<T> {
    tx: mpsc::Sender<T>,
    capacity: Arc<Capacity>,
}

impl<T> Clone for Mailbox<T> {
    fn clone(&self) -> Mailbox<T> {
        Mailbox { tx: self.tx.clone(), capacity: self.capacity.clone() }
    }
}

/// The receiving side; dropping it wakes every waiting sender with an error.
pub struct MailboxReceiver<T> {
    rx: mpsc::Receiver<T>,
    capacity: Arc<Capacity>,
}

/// Creates a mailbox for at most `capacity` messages.
pub fn mailbox<T>(capacity: usize) -> (Mailbox<T>, MailboxReceiver<T>) {
    let (tx, rx) = mpsc::channel();
    let capacity = Arc::new(Capacity { free: Semphore::new(capacity), closed: AtomicBool::new(false) });
    (Mailbox { tx, capacity: capacity.clone() }, MailboxReceiver { rx, capacity })
}

impl<T> Mailbox<T> {
    /// Waits for a free slot, then sends.
    pub fn send(&self, message: T) -> Result<(), MailboxClosed> {
        self.capacity.free.wait();
        if self.capacity.closed.load(Ordering::Acquire) {
            // Passes the slot on, so that the next waiting sender wakes too.
            self.capacity.free.post();
            return Err(MailboxClosed);
        }
        self.tx.send(message).map_err(|_| MailboxClosed)
    }

    /// Adds a slot, which stays after the message is received, then sends. Only for the few messages that the
    /// process itself generates, never for data from peers.
    pub fn send_unbounded(&self, message: T) -> Result<(), MailboxClosed> {
        self.capacity.free.post();
        self.send(message)
    }
}

impl<T> MailboxReceiver<T> {
    /// Takes the next message without waiting.
    pub fn try_recv(&self) -> Option<T> {
        let message = self.rx.try_recv().ok()?;
        self.capacity.free.post();
        Some(message)
    }

    /// Takes the next message, waiting for it at most `timeout`.
    pub fn recv_timeout(&self, timeout: Duration) -> Option<T> {
        if timeout.is_zero() {
            return self.try_recv();
        }
        // Rounds up to whole milliseconds to prevent waits without end: `may` truncates timeouts to
        // milliseconds, treats 0 as no timeout, and restarts the whole wait if it wakes before the deadline.
        let whole = Duration::from_millis(timeout.as_nanos().div_ceil(1_000_000) as u64);
        let message = self.rx.recv_timeout(whole).ok()?;
        self.capacity.free.post();
        Some(message)
    }
}

impl<T> Drop for MailboxReceiver<T> {
    fn drop(&mut self) {
        self.capacity.closed.store(true, Ordering::Release);
        self.capacity.free.post();
    }
}

#[cfg(test)]
#[path = "mailbox_tests.rs"]
mod tests;
