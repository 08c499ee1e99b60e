//! Requests to the console socket of a running front.

use crate::commands::BAD_INPUT;
use crate::run::settings;
use clap::Args;
use shalespindle_console::{differences, Reply, Request};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Selects the front to which a request is sent.
#[derive(Args)]
#[group(required = true, multiple = false)]
pub struct FrontSelector {
    /// Settings file of the front; `console.socket` gives the path of the socket.
    #[arg(long)]
    config: Option<PathBuf>,
    /// Path of the front's console socket.
    #[arg(long)]
    socket: Option<PathBuf>,
}

impl FrontSelector {
    fn socket(&self) -> Result<PathBuf, ExitCode> {
        if let Some(socket) = &self.socket {
            return Ok(socket.clone());
        }
        let config = self.config.as_deref().unwrap_or(std::path::Path::new(""));
        settings(config)?.console.socket.ok_or_else(|| {
            eprintln!("{}: console.socket is not set", config.display());
            ExitCode::from(BAD_INPUT)
        })
    }
}

/// Sends a request and waits for the reply. The inner error is the process's exit code when no socket is
/// known.
fn send(front: &FrontSelector, request: &Request) -> io::Result<Result<Reply, ExitCode>> {
    let socket = match front.socket() {
        Ok(socket) => socket,
        Err(code) => return Ok(Err(code)),
    };
    shalespindle_console::ask(&socket, request, REPLY_TIMEOUT).map(Ok).map_err(io::Error::other)
}

/// Sends a request and prints the reply. A refused request is a failure.
pub fn ask(front: &FrontSelector, request: &Request, json: bool) -> io::Result<ExitCode> {
    let reply = match send(front, request)? {
        Ok(reply) => reply,
        Err(code) => return Ok(code),
    };
    match json {
        true => println!("{}", serde_json::to_string(&reply)?),
        false => println!("{}", reply.to_string().trim_end()),
    }
    Ok(match reply {
        Reply::Bad { .. } => ExitCode::FAILURE,
        Reply::Status(_) | Reply::Members(_) | Reply::Fleet(_) | Reply::Done { .. } => ExitCode::SUCCESS,
    })
}

/// Prints the servers whose states differ between the fronts' pool lists; exits with a failure if there are
/// any.
pub fn diff(front: &FrontSelector, json: bool) -> io::Result<ExitCode> {
    let fleet = match send(front, &Request::Fleet)? {
        Ok(Reply::Fleet(fleet)) => fleet,
        Ok(other) => {
            println!("{other}");
            return Ok(ExitCode::FAILURE);
        }
        Err(code) => return Ok(code),
    };
    match json {
        true => println!("{}", serde_json::to_string(&fleet.conflicts)?),
        false => print!("{}", differences(&fleet)),
    }
    Ok(if fleet.conflicts.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
