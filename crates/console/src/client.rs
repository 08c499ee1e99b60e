//! The asking side, for the command line.

use crate::{Reply, Request};
use std::io::{self, BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum ConsoleError {
    #[error("{socket}: {why}")]
    Unreachable { socket: String, why: io::Error },
    #[error("what came back is no answer: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// Asks the front behind `socket` one question and waits at most `within` for each step.
pub fn ask(socket: &Path, question: &Request, within: Duration) -> Result<Reply, ConsoleError> {
    let line = serde_json::to_string(question)?;
    let exchange = || -> io::Result<String> {
        let mut stream = UnixStream::connect(socket)?;
        stream.set_read_timeout(Some(within))?;
        stream.set_write_timeout(Some(within))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut answer = String::new();
        if BufReader::new(stream).read_line(&mut answer)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(answer)
    };
    let answer =
        exchange().map_err(|why| ConsoleError::Unreachable { socket: socket.display().to_string(), why })?;
    Ok(serde_json::from_str(&answer)?)
}
