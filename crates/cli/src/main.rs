//! The binary `shalespindle`: sub-commands, logging and signal handling. All else is in the other crates.

mod commands;
mod console;
mod lab;
mod live;
mod resolve;
mod run;
mod signals;
mod stored_state;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    commands::Cli::parse().run()
}
