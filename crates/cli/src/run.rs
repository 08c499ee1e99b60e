//! A front in service: settings, sockets, signals.

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

/// Reads settings; each fault goes to standard error.
pub fn settings(config: &Path) -> Result<Settings, ExitCode> {
    read(config).map_err(|faults| {
        for fault in faults {
            eprintln!("{fault}");
        }
        ExitCode::from(BAD_INPUT)
    })
}

pub fn check(config: &Path) -> io::Result<ExitCode> {
    Ok(match settings(config) {
        Ok(settings) => {
            let (procedures, groups) = (settings.procedures.len(), settings.trunk_groups.len());
            println!("{}: good; {procedures} procedures, {groups} trunk groups", config.display());
            ExitCode::SUCCESS
        }
        Err(code) => code,
    })
}

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
    let mut asked = 0;
    while !service.has_ended() {
        for signal in signals.pending() {
            match signal {
                SIGHUP => reload(config, &mut settings, &service),
                _ if asked > 0 => {
                    warn!(target: "shalespindle::front", "asked twice: ends at once");
                    return Ok(ExitCode::FAILURE);
                }
                _ => {
                    asked += 1;
                    service.end();
                }
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    info!(target: "shalespindle::front", "ended");
    Ok(if asked > 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// SIGHUP: the file is checked, so that a bad one is found before the next start. Of what it says only the list of
/// other fronts is taken up in service; all else that a front decides by is fixed at its start.
fn reload(config: &Path, current: &mut Settings, service: &Service) {
    let mut new = match read(config) {
        Ok(new) => new,
        Err(faults) => {
            for fault in faults {
                error!(target: "shalespindle::front", %fault, "settings read again: bad, the running ones stay");
            }
            return;
        }
    };
    if let (Some(now), Some(then)) = (&mut current.fleet, &mut new.fleet) {
        if now.other_fronts() != then.other_fronts() && service.set_peers(then) {
            now.peers.clone_from(&then.peers);
        }
    }
    let same = serde_json::to_value(&new).ok() == serde_json::to_value(&*current).ok();
    let what = if same { "nothing else to change" } else { "good; the rest holds from the next start on" };
    info!(target: "shalespindle::front", "settings read again: {what}");
}
