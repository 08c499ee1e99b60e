//! What coroutines share on sockets: a bounded mailbox, streams that never block their writer, and a clock
//! that knows when its process stood still. Nothing here knows SIP or decides anything.

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

/// Stack of a coroutine that only carries bytes, in machine words.
pub const SMALL_STACK: usize = 8 * 1024;
/// Stack of a coroutine that owns a core, in machine words.
pub const LARGE_STACK: usize = 64 * 1024;
/// Bytes read at once; on the heap.
pub const READ_SIZE: usize = 16 * 1024;

/// A handle on a coroutine.
pub type Handle = may::coroutine::JoinHandle<()>;

/// Hands on what is read, `size` bytes at most at once, until the end or until nobody wants it.
pub fn read_all(stream: &mut impl std::io::Read, size: usize, mut hand_on: impl FnMut(Vec<u8>) -> bool) {
    let mut buffer = vec![0; size];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return,
            Ok(n) => {
                if !hand_on(buffer[..n].to_vec()) {
                    return;
                }
            }
            Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    }
}

/// Starts a coroutine with a stack of that many words.
pub fn start(stack: usize, run: impl FnOnce() + Send + 'static) -> std::io::Result<Handle> {
    may::go_with!(stack, run)
}

/// Ends a coroutine that waits on a socket or a timer, and waits until it has ended.
pub fn end(handle: Handle) {
    // SAFETY: only for coroutines that hold sockets, buffers and mailboxes, all safe to drop at any wait.
    unsafe { handle.coroutine().cancel() };
    // Cancelling is reported as a panic of the coroutine; there is nothing else to learn from it.
    let _ = handle.join();
}
