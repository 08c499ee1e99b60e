//! The client of the console, for the command line.

use crate::{Reply, Request};
use std::io::{self, BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// Reason why there is no reply.
#[derive(Debug, thiserror::Error)]
pub enum ConsoleError {
    #[error("{socket}: {why}")]
    Unreachable { socket: String, why: io::Error },
    #[error("the reply cannot be parsed: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// Sends one request to the front that listens on `socket` and returns its reply. `timeout` applies to each
/// read and each write.
pub fn ask(socket: &Path, request: &Request, timeout: Duration) -> Result<Reply, ConsoleError> {
    let line = serde_json::to_string(request)?;
    let exchange = || -> io::Result<String> {
        let mut stream = UnixStream::connect(socket)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut reply = String::new();
        if BufReader::new(stream).read_line(&mut reply)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(reply)
    };
    let reply =
        exchange().map_err(|why| ConsoleError::Unreachable { socket: socket.display().to_string(), why })?;
    Ok(serde_json::from_str(&reply)?)
}
