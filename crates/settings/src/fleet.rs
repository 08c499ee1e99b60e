//! Settings of a front in a fleet.

use crate::model::over_zero;
use crate::Span;
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use shalespindle_peers::PeersParams;
use shalespindle_replica::{CallsParams, FleetParams, ReplicaParams};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Maximum number of other fronts on the list.
const MAX_FRONTS: usize = 1024;
/// Range of the maximum size of a datagram between fronts, in bytes.
const DATAGRAM_BYTES: std::ops::RangeInclusive<usize> = 512..=60_000;

/// The other fronts, and how state is shared with them; docs/operators/fleet.md.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Name of this front in the fleet. It must stay the same over restarts.
    #[garde(length(min = 1, max = 255))]
    pub name: String,
    /// Address on which datagrams of other fronts are received (UDP).
    #[schemars(with = "String")]
    #[garde(skip)]
    pub listen: SocketAddr,
    /// File with the key that all fronts share: 64 hex digits.
    #[garde(skip)]
    pub key_file: PathBuf,
    /// The other fronts. This front may be on the list, so that all fronts can use the same one.
    #[garde(length(max = MAX_FRONTS), dive)]
    pub peers: Vec<PeerSettings>,
    /// Interval between two heartbeats.
    #[serde(default = "default_every")]
    #[garde(custom(over_zero))]
    pub every: Span,
    /// Number of fronts that each heartbeat is sent to.
    #[serde(default = "default_fanout")]
    #[garde(range(min = 1, max = 64))]
    pub fanout: usize,
    /// Time without an increase of its heartbeat after which a front is suspect.
    #[serde(default = "default_suspect_after")]
    #[garde(custom(over_zero))]
    pub suspect_after: Span,
    /// Time without an increase of its heartbeat after which a front is gone.
    #[serde(default = "default_gone_after")]
    #[garde(custom(over_zero))]
    pub gone_after: Span,
    /// How long the facts of a front are kept after it is gone or has left.
    #[serde(default = "default_keep")]
    #[garde(custom(over_zero))]
    pub keep: Span,
    /// How long the calls of a dead front are held for it. After that, one of the other fronts releases them.
    #[serde(default = "default_hold_calls")]
    #[garde(custom(over_zero))]
    pub hold_calls: Span,
    /// How long a warning of another front counts.
    #[serde(default = "default_warnings_for")]
    #[garde(custom(over_zero))]
    pub warnings_for: Span,
    /// How long deletions are remembered. A front that was away for longer receives all facts anew.
    #[serde(default = "default_remember")]
    #[garde(custom(over_zero))]
    pub remember: Span,
    /// File that stores this front's replica of the fleet's state over a restart; left out: a restart begins
    /// without any state.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub keep_file: Option<PathBuf>,
    /// Interval between two writes to that file.
    #[serde(default = "default_keep_every")]
    #[garde(custom(over_zero))]
    pub keep_every: Span,
    /// Maximum number of facts of one front.
    #[serde(default = "default_facts")]
    #[garde(range(min = 16, max = 1_000_000))]
    pub facts: usize,
    /// Maximum size of a datagram in bytes.
    #[serde(default = "default_bytes")]
    #[garde(range(min = *DATAGRAM_BYTES.start(), max = *DATAGRAM_BYTES.end()))]
    pub bytes: usize,
}

/// A front on the list: its name and the address of its datagrams.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    #[garde(length(min = 1, max = 255))]
    pub name: String,
    #[schemars(with = "String")]
    #[garde(skip)]
    pub address: SocketAddr,
}

fn default_every() -> Span {
    Span::from_millis(500)
}
fn default_fanout() -> usize {
    3
}
fn default_suspect_after() -> Span {
    Span::from_millis(3_000)
}
fn default_gone_after() -> Span {
    Span::from_millis(10_000)
}
fn default_keep() -> Span {
    Span::from_millis(600_000)
}
fn default_hold_calls() -> Span {
    Span::from_millis(60_000)
}
fn default_warnings_for() -> Span {
    Span::from_millis(60_000)
}
fn default_remember() -> Span {
    Span::from_millis(300_000)
}
fn default_keep_every() -> Span {
    Span::from_millis(1_000)
}
fn default_facts() -> usize {
    20_000
}
fn default_bytes() -> usize {
    8_000
}

impl FleetSettings {
    /// Checks that span several values: returns each wrong key with its error message.
    pub(crate) fn errors(&self) -> Vec<(String, String)> {
        let mut errors = Vec::new();
        let mut names = HashSet::new();
        for (index, peer) in self.peers.iter().enumerate() {
            if !names.insert(&peer.name) {
                let message = format!("another front already has the name {:?}", peer.name);
                errors.push((format!("fleet.peers[{index}].name"), message));
            }
        }
        if self.suspect_after < self.every {
            errors.push(("fleet.suspect_after".into(), "must not be shorter than fleet.every".into()));
        }
        if self.gone_after < self.suspect_after {
            errors.push(("fleet.gone_after".into(), "must not be shorter than suspect_after".into()));
        }
        if self.keep_file.as_ref().is_some_and(|file| file.as_os_str().is_empty()) {
            errors.push((
                "fleet.keep_file".into(),
                "must be the path of a file; leave the key out to store nothing".into(),
            ));
        }
        if self.keep <= self.keep_every {
            errors.push(("fleet.keep_every".into(), "must be shorter than fleet.keep".into()));
        }
        if self.keep < self.hold_calls {
            errors.push(("fleet.keep".into(), "must not be shorter than hold_calls".into()));
        }
        errors
    }

    /// Returns the parameters of the fleet module.
    pub fn fleet_params(&self) -> FleetParams {
        FleetParams {
            peers: PeersParams {
                heartbeat_interval: self.every.seconds(),
                fanout: self.fanout,
                suspect_after: self.suspect_after.seconds(),
                gone_after: self.gone_after.seconds(),
                // The list may grow while the front is in service.
                max_fronts: MAX_FRONTS,
            },
            replicas: ReplicaParams { max_facts: self.facts, deletion_retention: self.remember.seconds() },
            calls: CallsParams { hold: self.hold_calls.seconds() },
            warning_ttl: self.warnings_for.seconds(),
            retention: self.keep.seconds(),
            max_message_bytes: self.bytes,
            ..FleetParams::with_heartbeat_interval(self.every.seconds())
        }
    }

    /// Returns the names and addresses of the fronts on the list, without this one.
    pub fn other_fronts(&self) -> Vec<(String, SocketAddr)> {
        let others = self.peers.iter().filter(|p| p.name != self.name);
        others.map(|p| (p.name.clone(), p.address)).collect()
    }
}

/// Reads a key file: 64 hex digits, which may be surrounded by white space.
pub fn read_key_file(path: &Path) -> Result<[u8; 32], String> {
    let error = |message: String| format!("fleet.key_file {}: {message}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| error(e.to_string()))?;
    let key = blake3::Hash::from_hex(text.trim()).map_err(|_| error("64 hex digits are allowed".into()))?;
    Ok(*key.as_bytes())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_file_holds_64_hex_digits() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("key");
        let read = |text: &str| {
            std::fs::write(&path, text).unwrap();
            read_key_file(&path)
        };
        assert_eq!(read(&format!("{}\n", "0a".repeat(32))), Ok([10; 32]));
        for bad in ["", "0a", &"zz".repeat(32), &"0a".repeat(33), &"\u{e9}".repeat(32)] {
            let message = read(bad).unwrap_err();
            assert!(message.contains("key_file") && message.contains("64 hex digits"), "{message}");
        }
        assert!(read_key_file(&folder.path().join("none")).unwrap_err().contains("none"));
    }
}
