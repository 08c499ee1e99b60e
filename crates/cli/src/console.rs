//! Questions to a running front.

use crate::commands::BAD_INPUT;
use crate::run::settings;
use clap::Args;
use shalespindle_console::{differences, Reply, Request};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(10);

/// Which front is asked.
#[derive(Args)]
#[group(required = true, multiple = false)]
pub struct Which {
    /// Its settings; `console.socket` names the socket.
    #[arg(long)]
    config: Option<PathBuf>,
    /// Its console's socket.
    #[arg(long)]
    socket: Option<PathBuf>,
}

impl Which {
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

/// Puts a question; the code to end with where the settings name no socket.
fn put(front: &Which, question: &Request) -> io::Result<Result<Reply, ExitCode>> {
    let socket = match front.socket() {
        Ok(socket) => socket,
        Err(code) => return Ok(Err(code)),
    };
    shalespindle_console::ask(&socket, question, WITHIN).map(Ok).map_err(io::Error::other)
}

/// Puts a question and prints the answer; a refusal or an unreachable front is a failure.
pub fn ask(front: &Which, question: &Request, json: bool) -> io::Result<ExitCode> {
    let reply = match put(front, question)? {
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

/// Servers of which fronts were told different things; a failure where there are any.
pub fn diff(front: &Which, json: bool) -> io::Result<ExitCode> {
    let standing = match put(front, &Request::Fleet)? {
        Ok(Reply::Fleet(standing)) => standing,
        Ok(other) => {
            println!("{other}");
            return Ok(ExitCode::FAILURE);
        }
        Err(code) => return Ok(code),
    };
    match json {
        true => println!("{}", serde_json::to_string(&standing.conflicts)?),
        false => print!("{}", differences(&standing)),
    }
    Ok(if standing.conflicts.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
