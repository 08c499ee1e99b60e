//! The configuration file of one front: listen address, limits, feed, the known list of servers, and the
//! start-up settings.

use crate::feed::Event;
use serde::Deserialize;
use shalespindle_startup::StartupSettings;
use std::net::SocketAddr;

/// The parsed and validated file.
#[derive(Clone, Debug, Deserialize)]
pub struct StartFile {
    pub name: String,
    pub listen: SocketAddr,
    #[serde(deserialize_with = "hexadecimal")]
    pub seed: u64,
    pub limits: Limits,
    pub feed: SocketAddr,
    pub known: KnownEvents,
    pub settings: StartupSettings,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    pub memory_mb: f64,
    pub sockets: usize,
}

/// The events of the feed up to number `n`.
#[derive(Clone, Debug, Deserialize)]
pub struct KnownEvents {
    pub n: u64,
    pub events: Vec<Event>,
}

fn hexadecimal<'d, D: serde::Deserializer<'d>>(from: D) -> Result<u64, D::Error> {
    let text = String::deserialize(from)?;
    u64::from_str_radix(&text, 16).map_err(|_| serde::de::Error::custom("up to 16 hex digits are allowed"))
}

/// The smallest limits with which a front can operate.
const MIN_SOCKETS: usize = 64;
const MIN_MEMORY_MB: f64 = 8.0;
/// More than any machine has; larger values are rejected.
const MAX_MEMORY_MB: f64 = 1e9;

/// Parses and validates the file; an error names the field and the allowed values.
pub fn read_file(text: &[u8]) -> Result<StartFile, String> {
    let json = &mut serde_json::Deserializer::from_slice(text);
    let file: StartFile = serde_path_to_error::deserialize(json).map_err(|e| e.to_string())?;
    if file.limits.sockets < MIN_SOCKETS {
        return Err(format!("limits.sockets is {}; {MIN_SOCKETS} or more is allowed", file.limits.sockets));
    }
    if !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&file.limits.memory_mb) {
        let found = file.limits.memory_mb;
        return Err(format!(
            "limits.memory_mb is {found}; {MIN_MEMORY_MB} or more, up to {MAX_MEMORY_MB} is allowed"
        ));
    }
    // Validated here so that no front starts, or takes over a new file, with unusable settings.
    file.settings.clone().into_startup()?;
    Ok(file)
}
