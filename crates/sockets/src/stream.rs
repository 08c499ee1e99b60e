//! A stream that is written without ever blocking the coroutine that owns a core: what does not fit is
//! left to a coroutine of its own, which reports when it is through.

use crate::SMALL_STACK;
use may::net::TcpStream;
use socket2::SockRef;
use std::io::{self, Write};
use std::net::Shutdown;
use std::time::Duration;

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStatus {
    Complete,
    /// The rest is written in the background; the callback tells when.
    Pending,
    /// The connection is lost.
    Lost,
}

/// The writing side of a connection.
pub struct StreamWriter {
    stream: std::net::TcpStream,
}

impl StreamWriter {
    /// A writing side beside the coroutine that reads `stream`.
    pub fn new(stream: &TcpStream) -> io::Result<StreamWriter> {
        Ok(StreamWriter { stream: stream.inner().try_clone()? })
    }

    /// Writes what fits now. When not all does, `through` is called once the rest is written.
    pub fn write(&mut self, bytes: &[u8], through: impl FnOnce() + Send + 'static) -> WriteStatus {
        let mut from = 0;
        while from < bytes.len() {
            match self.stream.write(&bytes[from..]) {
                Ok(0) => return WriteStatus::Lost,
                Ok(n) => from += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return self.rest(bytes[from..].to_vec(), through);
                }
                Err(_) => return WriteStatus::Lost,
            }
        }
        WriteStatus::Complete
    }

    fn rest(&self, rest: Vec<u8>, through: impl FnOnce() + Send + 'static) -> WriteStatus {
        let Ok(stream) = self.stream.try_clone() else { return WriteStatus::Lost };
        let started = crate::start(SMALL_STACK, move || {
            // A std stream again, since only its own coroutine may register it.
            let Ok(mut stream) = adopt(stream) else { return };
            if stream.write_all(&rest).is_ok() {
                through();
            }
        });
        match started {
            Ok(_) => WriteStatus::Pending,
            Err(_) => WriteStatus::Lost,
        }
    }

    /// Ends the connection; its reader sees the end. With `reset` what was not sent is thrown away.
    pub fn close(&self, reset: bool) {
        if reset {
            // Not sent and refused by the socket: nothing else can be done about it.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Makes a coroutine's stream of a plain one.
fn adopt(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    use std::os::fd::{FromRawFd, IntoRawFd};
    // SAFETY: the descriptor was just given up by its only owner.
    Ok(unsafe { TcpStream::from_raw_fd(stream.into_raw_fd()) })
}
