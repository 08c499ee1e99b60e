//! `live`: a front on the operators' platform, configured by the environment variables and the file it
//! provides.

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

/// A new configuration that cannot be read may be half written, so reading is retried for this long.
const RELOAD_RETRY_PERIOD: Duration = Duration::from_secs(5);
/// Interval at which signals and the end of the service are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

fn read(config: &Path) -> Result<StartFile, String> {
    let text = std::fs::read(config).map_err(|e| format!("{}: {e}", config.display()))?;
    read_file(&text).map_err(|e| format!("{}: {e}", config.display()))
}

/// Runs the front until it ends; succeeds if a signal requested the end.
pub fn run(config: &Path, listen: Option<SocketAddr>, name: Option<String>) -> io::Result<ExitCode> {
    // First of all: a signal during the start must not kill the process.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let mut file = match read(config) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("shalespindle: {error}");
            return Ok(ExitCode::from(BAD_INPUT));
        }
    };
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info,may=warn"));
    tracing_subscriber::fmt().with_env_filter(filter).with_ansi(false).with_writer(io::stderr).init();
    // The environment overrides the file, which several fronts may share.
    file.listen = listen.unwrap_or(file.listen);
    file.name = name.unwrap_or(file.name);
    let name = file.name.clone();
    // Configures the coroutine scheduler, so it must run before the first coroutine starts.
    use_single_worker();
    let service = Service::start(file)?;
    info!(target: "shalespindle::platform", name, address = %service.address(), "in service");
    let mut shutdown_requested = false;
    let mut reload = Reload::default();
    while !service.has_ended() {
        for signal in signals.pending() {
            if signal == SIGHUP {
                reload = Reload { until: Some(Instant::now() + RELOAD_RETRY_PERIOD), error_logged: false };
            } else {
                shutdown_requested = true;
                info!(target: "shalespindle::platform", signal, "signal received, shutting down");
                service.end();
            }
        }
        reload.poll(config, &service);
        std::thread::sleep(POLL_INTERVAL);
    }
    info!(target: "shalespindle::platform", name, "ended");
    Ok(if shutdown_requested { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// A reload that SIGHUP requested and that has not succeeded yet.
#[derive(Default)]
struct Reload {
    /// When retrying stops; `None` when no reload is pending.
    until: Option<Instant>,
    /// Whether the first read error has been logged.
    error_logged: bool,
}

impl Reload {
    /// Tries a pending reload. Retries are needed because SIGHUP may come, once only, before the file is
    /// completely written.
    fn poll(&mut self, config: &Path, service: &Service) {
        let Some(until) = self.until else { return };
        match read(config) {
            Ok(file) => {
                service.reload(file);
                self.until = None;
            }
            Err(why) => {
                if !std::mem::replace(&mut self.error_logged, true) {
                    error!(
                        target: "shalespindle::platform",
                        why, "configuration cannot be read, keeping the current one"
                    );
                }
                self.until = Some(until).filter(|until| Instant::now() < *until);
            }
        }
    }
}
