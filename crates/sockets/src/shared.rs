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
pub struct Reading {
    stream: TcpStream,
    gate: Arc<Gate>,
}

/// The side that writes without blocking; dropping it ends the connection.
pub struct Writing(Arc<Gate>);

/// Splits a stream into its two sides.
pub fn share(stream: TcpStream) -> (Reading, Writing) {
    let gate = Arc::new(Gate(Mutex::new(Some(stream.as_raw_fd()))));
    (Reading { stream, gate: gate.clone() }, Writing(gate))
}

impl Read for Reading {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.read(buffer)
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        // Before the stream itself is dropped: the writer must not meet another one under the same number.
        *self.gate.lock() = None;
    }
}

impl Writing {
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

impl Drop for Writing {
    fn drop(&mut self) {
        // Closed already: so much the better.
        let _ = self.0.with(|stream| stream.shutdown(Shutdown::Both));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpListener;

    fn pair() -> (TcpStream, std::net::TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let own = TcpStream::connect(address).unwrap();
        (own, listener.accept().unwrap().0)
    }

    #[test]
    fn both_sides_work_over_one_descriptor_and_a_close_ends_the_reader() {
        let (own, mut peer) = pair();
        let (mut reading, writing) = share(own);
        assert_eq!(writing.write_some(b"over").unwrap(), 4);
        let mut got = [0; 4];
        peer.read_exact(&mut got).unwrap();
        assert_eq!(&got, b"over");
        let reader = crate::start(crate::SMALL_STACK, move || {
            let mut buffer = [0; 16];
            assert_eq!(reading.read(&mut buffer).unwrap_or(0), 0);
        });
        writing.close(false);
        assert!(reader.unwrap().join().is_ok());
        assert_eq!(peer.read(&mut got).unwrap(), 0);
    }

    #[test]
    fn a_writer_whose_reader_is_gone_writes_nowhere() {
        let (own, _peer) = pair();
        let (reading, writing) = share(own);
        drop(reading);
        // Likely to get the same number; it must not be written to.
        let (other, mut peer) = pair();
        assert!(writing.write_some(b"stray").is_err());
        drop((writing, other));
        assert_eq!(peer.read(&mut [0; 8]).unwrap(), 0);
    }
}
