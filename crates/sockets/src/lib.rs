//! Socket utilities for `may` coroutines: a bounded mailbox, stream writers that never block, sockets for
//! single queries, and a monotonic clock with stall detection. This crate knows no protocol and makes no
//! routing decisions.

pub mod clock;
pub mod mailbox;
pub mod queries;
pub mod split;
pub mod stream;

pub use clock::MonotonicClock;
pub use mailbox::{mailbox, Mailbox, MailboxClosed, MailboxReceiver};
pub use queries::{QueryEvent, QuerySockets};
pub use split::{split, ReadHalf, WriteHalf};
pub use stream::{StreamWriter, WriteStatus};

/// Stack size of a coroutine that only reads or writes a socket, in machine words.
pub const SMALL_STACK: usize = 8 * 1024;
/// Stack size of a coroutine that owns a protocol core, in machine words.
pub const LARGE_STACK: usize = 64 * 1024;
/// Size of a read buffer, bytes; the buffer is allocated on the heap.
pub const READ_SIZE: usize = 16 * 1024;

/// A handle on a coroutine.
pub type Handle = may::coroutine::JoinHandle<()>;

/// Reads `stream` in chunks of at most `size` bytes and passes each to `deliver`, until the stream ends or
/// fails, or until `deliver` returns false.
pub fn read_all(stream: &mut impl std::io::Read, size: usize, mut deliver: impl FnMut(Vec<u8>) -> bool) {
    let mut buffer = vec![0; size];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return,
            Ok(n) => {
                if !deliver(buffer[..n].to_vec()) {
                    return;
                }
            }
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    }
}

/// Starts a coroutine with a stack of `stack` machine words.
pub fn start(stack: usize, run: impl FnOnce() + Send + 'static) -> std::io::Result<Handle> {
    may::go_with!(stack, run)
}

/// Cancels a coroutine that waits on a socket or a timer, and waits until it has ended.
pub fn end(handle: Handle) {
    // SAFETY: called only for coroutines that hold sockets, buffers and mailboxes, all of which are safe to
    // drop at any point where the coroutine waits.
    unsafe { handle.coroutine().cancel() };
    // `may` reports a cancellation as a panic of the coroutine; the result carries no other information.
    let _ = handle.join();
}
