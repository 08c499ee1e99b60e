//! What a front has kept of its fleet on disk, read while it is not running.

use crate::commands::BAD_INPUT;
use crate::run::settings;
use shalespindle_peer_store::File;
use shalespindle_peer_wire::front_id;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

pub fn kept(config: &Path, json: bool) -> io::Result<ExitCode> {
    let settings = match settings(config) {
        Ok(settings) => settings,
        Err(code) => return Ok(code),
    };
    let named = settings.fleet.as_ref().and_then(|fleet| Some((&fleet.name, fleet.keep_file.as_ref()?)));
    let Some((name, path)) = named else {
        eprintln!("{}: fleet.keep_file is not set", config.display());
        return Ok(ExitCode::from(BAD_INPUT));
    };
    // Opening makes a file where there is none; asking must not.
    if !path.exists() {
        eprintln!("{}: there is none", path.display());
        return Ok(ExitCode::FAILURE);
    }
    let (_file, kept, bad) = match File::open(path, front_id(name)) {
        Ok(opened) => opened,
        Err(why) => {
            eprintln!("{}: {why}", path.display());
            return Ok(ExitCode::FAILURE);
        }
    };
    let kept = kept.unwrap_or_default();
    let inventory = kept.inventory();
    if json {
        println!("{}", serde_json::to_string(&inventory)?);
    } else {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
        println!("{}: written {:.1} s ago", path.display(), now - kept.saved_at);
        println!(
            "  {} fronts, {} ended lives of fronts",
            inventory.incarnations, inventory.ended_incarnations
        );
        for (class, count) in &inventory.facts {
            println!("  {count} {class}");
        }
        println!("  {} deletions", inventory.deletions);
        for fault in &inventory.faults {
            println!("  not to be taken: {fault}");
        }
    }
    let good = inventory.faults.is_empty() && bad.0 == 0;
    Ok(if good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
