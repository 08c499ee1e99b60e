//! Writes to a stream without ever blocking the coroutine that owns a protocol core: bytes that the socket
//! does not accept at once are written by a separate coroutine, which reports when it has finished.

use crate::SMALL_STACK;
use may::net::TcpStream;
use socket2::SockRef;
use std::io::{self, Write};
use std::net::Shutdown;
use std::time::Duration;

/// The result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStatus {
    /// All bytes were written.
    Complete,
    /// The rest is being written in the background; the callback reports when that is done.
    Pending,
    /// The connection is lost.
    Lost,
}

/// Writes to a connection that another coroutine reads.
pub struct StreamWriter {
    stream: std::net::TcpStream,
}

impl StreamWriter {
    /// Clones the descriptor of `stream`, which its coroutine goes on reading.
    pub fn new(stream: &TcpStream) -> io::Result<StreamWriter> {
        Ok(StreamWriter { stream: stream.inner().try_clone()? })
    }

    /// Writes as much as the socket accepts now. If that is not all, a coroutine writes the rest and calls
    /// `on_complete` when it has succeeded. The next write must wait until then, or the bytes would
    /// interleave.
    pub fn write(&mut self, bytes: &[u8], on_complete: impl FnOnce() + Send + 'static) -> WriteStatus {
        let mut written = 0;
        while written < bytes.len() {
            match self.stream.write(&bytes[written..]) {
                Ok(0) => return WriteStatus::Lost,
                Ok(n) => written += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return self.write_rest(bytes[written..].to_vec(), on_complete);
                }
                Err(_) => return WriteStatus::Lost,
            }
        }
        WriteStatus::Complete
    }

    fn write_rest(&self, rest: Vec<u8>, on_complete: impl FnOnce() + Send + 'static) -> WriteStatus {
        let Ok(stream) = self.stream.try_clone() else { return WriteStatus::Lost };
        let started = crate::start(SMALL_STACK, move || {
            // Converted only here, since only the coroutine that uses the stream may register it.
            let Ok(mut stream) = into_coroutine_stream(stream) else { return };
            if stream.write_all(&rest).is_ok() {
                on_complete();
            }
        });
        match started {
            Ok(_) => WriteStatus::Pending,
            Err(_) => WriteStatus::Lost,
        }
    }

    /// Ends the connection; its reader gets the end of the stream. With `reset`, unsent bytes are discarded.
    pub fn close(&self, reset: bool) {
        if reset {
            // If the socket refuses the option, the connection is closed without a reset.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Converts a std stream into one of the coroutine library.
fn into_coroutine_stream(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    use std::os::fd::{FromRawFd, IntoRawFd};
    // SAFETY: `into_raw_fd` gives up the descriptor, so that the new stream is its only owner.
    Ok(unsafe { TcpStream::from_raw_fd(stream.into_raw_fd()) })
}
