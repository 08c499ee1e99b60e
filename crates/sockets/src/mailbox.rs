//! A bounded channel between coroutines: senders wait while it is full, so that a slow owner slows its
//! readers and, through them, the peers' own sockets.

use may::sync::{mpsc, Semphore};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The receiving side has gone.
#[derive(Debug)]
pub struct MailboxClosed;

struct Room {
    free: Semphore,
    closed: AtomicBool,
}

/// The sending side; clones share its room.
pub struct Mailbox<T> {
    tx: mpsc::Sender<T>,
    room: Arc<Room>,
}

impl<T> Clone for Mailbox<T> {
    fn clone(&self) -> Mailbox<T> {
        Mailbox { tx: self.tx.clone(), room: self.room.clone() }
    }
}

/// The receiving side; dropping it lets every waiting sender go.
pub struct MailboxReceiver<T> {
    rx: mpsc::Receiver<T>,
    room: Arc<Room>,
}

/// A mailbox for at most `room` letters.
pub fn mailbox<T>(room: usize) -> (Mailbox<T>, MailboxReceiver<T>) {
    let (tx, rx) = mpsc::channel();
    let room = Arc::new(Room { free: Semphore::new(room), closed: AtomicBool::new(false) });
    (Mailbox { tx, room: room.clone() }, MailboxReceiver { rx, room })
}

impl<T> Mailbox<T> {
    /// Waits for room, then sends.
    pub fn send(&self, letter: T) -> Result<(), MailboxClosed> {
        self.room.free.wait();
        if self.room.closed.load(Ordering::Acquire) {
            // Passes the place on to the next sender that waits.
            self.room.free.post();
            return Err(MailboxClosed);
        }
        self.tx.send(letter).map_err(|_| MailboxClosed)
    }

    /// Sends past the bound: for the few letters of the owner's own making, never for what peers send.
    pub fn send_unbounded(&self, letter: T) -> Result<(), MailboxClosed> {
        self.room.free.post();
        self.send(letter)
    }
}

impl<T> MailboxReceiver<T> {
    pub fn try_recv(&self) -> Option<T> {
        let letter = self.rx.try_recv().ok()?;
        self.room.free.post();
        Some(letter)
    }

    /// The next letter, if one comes in that time.
    pub fn recv_timeout(&self, time: Duration) -> Option<T> {
        if time.is_zero() {
            return self.try_recv();
        }
        // Guards against waits without end: `may` keeps time-outs in whole milliseconds, cuts the rest off,
        // takes 0 for 'for ever', and begins the whole wait anew when it wakes short of the deadline.
        let whole = Duration::from_millis(time.as_nanos().div_ceil(1_000_000) as u64);
        let letter = self.rx.recv_timeout(whole).ok()?;
        self.room.free.post();
        Some(letter)
    }
}

impl<T> Drop for MailboxReceiver<T> {
    fn drop(&mut self) {
        self.room.closed.store(true, Ordering::Release);
        self.room.free.post();
    }
}

#[cfg(test)]
#[path = "mailbox_tests.rs"]
mod tests;
