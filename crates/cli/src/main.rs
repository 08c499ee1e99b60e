//! The binary `shalespindle`: sub-commands, logging, signals; nothing else.

mod commands;
mod console;
mod kept;
mod lab;
mod live;
mod resolve;
mod run;
mod signals;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    commands::Cli::parse().run()
}
