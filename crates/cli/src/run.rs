//! `run`, `check` and `schema`: settings, logging, and a front in service until a signal ends it.

use crate::commands::BAD_INPUT;
use crate::signals::Signals;
use shalespindle_settings::{read, LogForm, LogSettings, Settings};
use shalespindle_sockets::MonotonicClock;
use shalespindle_transport::Service;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use tracing::{error, info, warn};
use tracing_subscriber::EnvFilter;

/// Reads settings and prints each error on standard error.
pub fn settings(config: &Path) -> Result<Settings, ExitCode> {
    read(config).map_err(|faults| {
        for fault in faults {
            eprintln!("{fault}");
        }
        ExitCode::from(BAD_INPUT)
    })
}

/// Validates settings and prints a summary.
pub fn check(config: &Path) -> io::Result<ExitCode> {
    Ok(match settings(config) {
        Ok(settings) => {
            let (procedures, groups) = (settings.procedures.len(), settings.trunk_groups.len());
            println!("{}: valid; {procedures} procedures, {groups} trunk groups", config.display());
            ExitCode::SUCCESS
        }
        Err(code) => code,
    })
}

/// Prints the JSON schema of the settings, or of a line of the pool list's feed.
pub fn schema(feed: bool) -> io::Result<ExitCode> {
    let schema = if feed { shalespindle_front::pool_list::schema() } else { shalespindle_settings::schema() };
    println!("{}", serde_json::to_string_pretty(&schema)?);
    Ok(ExitCode::SUCCESS)
}

fn start_log(log: &LogSettings) {
    let filter = match &log.filter {
        Some(filter) => EnvFilter::new(filter),
        None => EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info")),
    };
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
    match log.form {
        LogForm::Text => builder.with_ansi(false).init(),
        LogForm::Json => builder.json().init(),
    }
}

/// Runs a front until it ends. The first signal starts an orderly shutdown, a second one exits immediately.
pub fn run(config: &Path) -> io::Result<ExitCode> {
    let mut settings = match settings(config) {
        Ok(settings) => settings,
        Err(code) => return Ok(code),
    };
    start_log(&settings.log);
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let seed = settings.front.seed.unwrap_or_else(rand::random);
    let service = Service::start(&settings, seed, MonotonicClock::new())?;
    info!(target: "shalespindle::front", address = %service.address(), seed, "in service");
    let mut shutdown_requested = false;
    while !service.has_ended() {
        for signal in signals.pending() {
            match signal {
                SIGHUP => reload(config, &mut settings, &service),
                _ if shutdown_requested => {
                    warn!(target: "shalespindle::front", "second signal: exiting immediately");
                    return Ok(ExitCode::FAILURE);
                }
                _ => {
                    shutdown_requested = true;
                    service.end();
                }
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    info!(target: "shalespindle::front", "ended");
    Ok(if shutdown_requested { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Reloads the settings on SIGHUP. The whole file is validated, so that errors show before the next restart,
/// but only the list of peers takes effect in service; all other settings are fixed at the start.
fn reload(config: &Path, current: &mut Settings, service: &Service) {
    let mut new = match read(config) {
        Ok(new) => new,
        Err(faults) => {
            for fault in faults {
                error!(target: "shalespindle::front", %fault, "settings reloaded: invalid, keeping the current ones");
            }
            return;
        }
    };
    if let (Some(current_fleet), Some(new_fleet)) = (&mut current.fleet, &mut new.fleet) {
        if current_fleet.other_fronts() != new_fleet.other_fronts() && service.set_peers(new_fleet) {
            current_fleet.peers.clone_from(&new_fleet.peers);
        }
    }
    let unchanged = serde_json::to_value(&new).ok() == serde_json::to_value(&*current).ok();
    let effect =
        if unchanged { "no other changes" } else { "valid; other changes take effect at the next start" };
    info!(target: "shalespindle::front", "settings reloaded: {effect}");
}
