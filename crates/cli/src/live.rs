//! A live front on the operators' platform, from the variables and the file that it gives.

use crate::commands::BAD_INPUT;
use crate::signals::Signals;
use shalespindle_platform::{read_file, StartFile};
use shalespindle_platform_service::{use_single_worker, Service};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tracing::{error, info};
use tracing_subscriber::EnvFilter;

/// A new configuration that cannot be read may be half written: it is read again for so long.
const REREAD_FOR: Duration = Duration::from_secs(5);
/// Time between two looks at signals.
const LOOK: Duration = Duration::from_millis(10);

fn read(config: &Path) -> Result<StartFile, String> {
    let text = std::fs::read(config).map_err(|e| format!("{}: {e}", config.display()))?;
    read_file(&text).map_err(|e| format!("{}: {e}", config.display()))
}

pub fn run(config: &Path, listen: Option<SocketAddr>, name: Option<String>) -> io::Result<ExitCode> {
    // Before anything else: a signal must not end the process in the middle of its start.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let mut file = match read(config) {
        Ok(file) => file,
        Err(why) => {
            eprintln!("shalespindle: {why}");
            return Ok(ExitCode::from(BAD_INPUT));
        }
    };
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info,may=warn"));
    tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).with_writer(io::stderr).init();
    // The environment says where this copy is; the file may have been written for several.
    file.listen = listen.unwrap_or(file.listen);
    file.name = name.unwrap_or(file.name);
    let name = file.name.clone();
    // Before the first coroutine.
    use_single_worker();
    let service = Service::start(file)?;
    info!(target: "shalespindle::platform", name, address = %service.address(), "in service");
    let mut asked = false;
    let mut reload = Reload::default();
    while !service.has_ended() {
        for signal in signals.pending() {
            if signal == SIGHUP {
                reload = Reload { until: Some(Instant::now() + REREAD_FOR), told: false };
            } else {
                asked = true;
                info!(target: "shalespindle::platform", signal, "asked to end");
                service.end();
            }
        }
        reload.go_on(config, &service);
        std::thread::sleep(LOOK);
    }
    info!(target: "shalespindle::platform", name, "ended");
    Ok(if asked { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// A new configuration that was announced and is not taken yet.
#[derive(Default)]
struct Reload {
    until: Option<Instant>,
    /// Its fault has been logged.
    told: bool,
}

impl Reload {
    /// Guards against a file that is announced before it is whole: its one signal has come by then.
    fn go_on(&mut self, config: &Path, service: &Service) {
        let Some(until) = self.until else { return };
        match read(config) {
            Ok(file) => {
                service.reload(file);
                self.until = None;
            }
            Err(why) => {
                if !std::mem::replace(&mut self.told, true) {
                    error!(target: "shalespindle::platform", why, "the old configuration stays");
                }
                self.until = Some(until).filter(|until| Instant::now() < *until);
            }
        }
    }
}
