//! One descriptor for a stream that a coroutine reads and the owner of a core writes. Where descriptors are
//! scarce a cloned stream costs as much as a second caller.

use may::net::TcpStream;
use nix::poll::{poll, PollFd, PollFlags, PollTimeout};
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::mem::ManuallyDrop;
use std::net::Shutdown;
use std::os::fd::{AsFd, AsRawFd, FromRawFd, RawFd};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The descriptor, while the reading side holds it open.
struct Gate(Mutex<Option<RawFd>>);

impl Gate {
    fn lock(&self) -> MutexGuard<'_, Option<RawFd>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Does something with the stream, if it is still open. Held only for calls that never block.
    fn with<T>(&self, what: impl FnOnce(&std::net::TcpStream) -> T) -> Option<T> {
        let held = self.lock();
        let fd = (*held)?;
        // SAFETY: the descriptor stays open while the lock is held, and is not closed here.
        let stream = ManuallyDrop::new(unsafe { std::net::TcpStream::from_raw_fd(fd) });
        Some(what(&stream))
    }
}

/// The side that reads and owns the descriptor; it belongs to a coroutine.
pub struct ReadHalf {
    stream: TcpStream,
    gate: Arc<Gate>,
}

/// The side that writes without blocking; dropping it ends the connection.
pub struct WriteHalf(Arc<Gate>);

/// Splits a stream into its two sides.
pub fn split(stream: TcpStream) -> (ReadHalf, WriteHalf) {
    let gate = Arc::new(Gate(Mutex::new(Some(stream.as_raw_fd()))));
    (ReadHalf { stream, gate: gate.clone() }, WriteHalf(gate))
}

impl Read for ReadHalf {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.read(buffer)
    }
}

impl Drop for ReadHalf {
    fn drop(&mut self) {
        // Before the stream itself is dropped: the writer must not meet another one under the same number.
        *self.gate.lock() = None;
    }
}

impl WriteHalf {
    /// Writes what fits now; an error where the connection is lost.
    pub fn write_some(&self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.0.with(|mut stream| {
            let mut from = 0;
            while from < bytes.len() {
                match stream.write(&bytes[from..]) {
                    Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                    Ok(n) => from += n,
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                    Err(e) => return Err(e),
                }
            }
            Ok(from)
        });
        written.unwrap_or(Err(io::ErrorKind::NotConnected.into()))
    }

    /// Whether something lies unread: bytes, or the peer's close or reset.
    pub fn has_unread(&self) -> bool {
        let unread = self.0.with(|stream| {
            let mut ask = [PollFd::new(stream.as_fd(), PollFlags::POLLIN)];
            // An error says nothing of the peer; its reader meets the same one.
            poll(&mut ask, PollTimeout::ZERO).is_ok_and(|found| found > 0)
        });
        unread.unwrap_or(false)
    }

    /// Ends the connection; its reader sees the end. With `reset` what was not sent is thrown away.
    pub fn close(self, reset: bool) {
        if reset {
            // Refused by the socket: nothing else can be done about it.
            let _ = self.0.with(|stream| SockRef::from(stream).set_linger(Some(Duration::ZERO)));
        }
    }
}

impl Drop for WriteHalf {
    fn drop(&mut self) {
        // Closed already: so much the better.
        let _ = self.0.with(|stream| stream.shutdown(Shutdown::Both));
    }
}

#[cfg(test)]
#[path = "split_tests.rs"]
mod tests;
