//! `fleet kept`: checks and prints the fleet state that a stopped front has stored on disk.

use crate::commands::BAD_INPUT;
use crate::run::settings;
use shalespindle_peer_store::File;
use shalespindle_peer_wire::front_id;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Prints what the file of `fleet.keep_file` holds. Fails if the file is missing, in use or partly invalid.
pub fn show(config: &Path, json: bool) -> io::Result<ExitCode> {
    let settings = match settings(config) {
        Ok(settings) => settings,
        Err(code) => return Ok(code),
    };
    let configured = settings.fleet.as_ref().and_then(|fleet| Some((&fleet.name, fleet.keep_file.as_ref()?)));
    let Some((name, path)) = configured else {
        eprintln!("{}: fleet.keep_file is not set", config.display());
        return Ok(ExitCode::from(BAD_INPUT));
    };
    // `File::open` would create a missing file.
    if !path.exists() {
        eprintln!("{}: file does not exist", path.display());
        return Ok(ExitCode::FAILURE);
    }
    let (_file, stored, rejected) = match File::open(path, front_id(name)) {
        Ok(opened) => opened,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return Ok(ExitCode::FAILURE);
        }
    };
    let stored = stored.unwrap_or_default();
    let inventory = stored.inventory();
    if json {
        println!("{}", serde_json::to_string(&inventory)?);
    } else {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
        println!("{}: written {:.1} s ago", path.display(), now - stored.saved_at);
        println!(
            "  {} fronts, {} ended incarnations of fronts",
            inventory.incarnations, inventory.ended_incarnations
        );
        for (class, count) in &inventory.facts {
            println!("  {count} {class}");
        }
        println!("  {} deletions", inventory.deletions);
        for fault in &inventory.faults {
            println!("  would be rejected: {fault}");
        }
    }
    let valid = inventory.faults.is_empty() && rejected.0 == 0;
    Ok(if valid { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
