//! Splits a TCP stream into a read half, for a coroutine, and a write half, for the owner of a protocol core,
//! which share one descriptor. Cloning the stream would take a second descriptor, which where descriptors are
//! scarce means one connection fewer.

use may::net::TcpStream;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::mem::ManuallyDrop;
use std::net::Shutdown;
use std::os::fd::{AsFd, AsRawFd, FromRawFd, RawFd};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The descriptor; none once the read half has been dropped.
struct SharedFd(Mutex<Option<RawFd>>);

impl SharedFd {
    fn lock(&self) -> MutexGuard<'_, Option<RawFd>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `operation` with the stream if it is still open. The lock is held meanwhile, so `operation` must
    /// not block.
    fn with<T>(&self, operation: impl FnOnce(&std::net::TcpStream) -> T) -> Option<T> {
        let guard = self.lock();
        let fd = (*guard)?;
        // SAFETY: the descriptor stays open while the lock is held, and is not closed here.
        let stream = ManuallyDrop::new(unsafe { std::net::TcpStream::from_raw_fd(fd) });
        Some(operation(&stream))
    }
}

/// The half that reads and owns the descriptor; it belongs to a coroutine.
pub struct ReadHalf {
    stream: TcpStream,
    fd: Arc<SharedFd>,
}

/// The half that writes without blocking; dropping it ends the connection.
pub struct WriteHalf(Arc<SharedFd>);

/// Splits a stream into its two halves.
pub fn split(stream: TcpStream) -> (ReadHalf, WriteHalf) {
    let fd = Arc::new(SharedFd(Mutex::new(Some(stream.as_raw_fd()))));
    (ReadHalf { stream, fd: fd.clone() }, WriteHalf(fd))
}

impl Read for ReadHalf {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.read(buffer)
    }
}

impl Drop for ReadHalf {
    fn drop(&mut self) {
        // Done before the stream is dropped: its descriptor number may be reused, and the write half must not
        // write to another stream.
        *self.fd.lock() = None;
    }
}

impl WriteHalf {
    /// Writes as much as the socket accepts now and returns the number of bytes written; an error if
    /// the connection is lost.
    pub fn write_some(&self, bytes: &[u8]) -> io::Result<usize> {
        let result = self.0.with(|mut stream| {
            let mut written = 0;
            while written < bytes.len() {
                match stream.write(&bytes[written..]) {
                    Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                    Ok(n) => written += n,
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                    Err(e) => return Err(e),
                }
            }
            Ok(written)
        });
        result.unwrap_or(Err(io::ErrorKind::NotConnected.into()))
    }

    /// Whether anything is still to be read: bytes, or the peer's close or reset.
    pub fn has_unread(&self) -> bool {
        let unread = self.0.with(|stream| {
            let mut fds = [PollFd::new(stream.as_fd(), PollFlags::POLLIN)];
            // An error of `poll` does not mean that anything is unread; the read half gets the same error.
            poll(&mut fds, PollTimeout::ZERO).is_ok_and(|ready| ready > 0)
        });
        unread.unwrap_or(false)
    }

    /// Whether the peer has closed the connection or reset it, even if bytes that it sent before are still unread.
    pub fn has_peer_closed(&self) -> bool {
        let has_closed = self.0.with(|stream| {
            // A reset is reported whatever is asked for.
            let closed = PollFlags::from_bits_retain(nix::libc::POLLRDHUP);
            let mut fds = [PollFd::new(stream.as_fd(), closed)];
            poll(&mut fds, PollTimeout::ZERO).is_ok_and(|ready| ready > 0)
        });
        has_closed.unwrap_or(false)
    }

    /// Ends the connection; the read half gets the end of the stream. With `reset`, unsent bytes are
    /// discarded.
    pub fn close(self, reset: bool) {
        if reset {
            // If the socket refuses the option, the connection is closed without a reset.
            let _ = self.0.with(|stream| SockRef::from(stream).set_linger(Some(Duration::ZERO)));
        }
    }
}

impl Drop for WriteHalf {
    fn drop(&mut self) {
        // An error means that the connection is already closed.
        let _ = self.0.with(|stream| stream.shutdown(Shutdown::Both));
    }
}

#[cfg(test)]
#[path = "split_tests.rs"]
mod tests;
