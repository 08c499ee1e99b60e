//! Settings of a front among others.

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

/// Fronts on the list at most.
const MOST_FRONTS: usize = 1024;
/// Least and most bytes of a datagram between fronts.
const BYTES: std::ops::RangeInclusive<usize> = 512..=60_000;

/// Which other fronts there are, and what is kept of them; docs/operators/fleet.md.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// This front's name among them; the same after a restart.
    #[garde(length(min = 1, max = 255))]
    pub name: String,
    /// Where their datagrams come (UDP).
    #[schemars(with = "String")]
    #[garde(skip)]
    pub listen: SocketAddr,
    /// A file with the key that all fronts share: 64 hex digits.
    #[garde(skip)]
    pub key_file: PathBuf,
    /// The others. This front may be among them, so that one list does for all.
    #[garde(length(max = MOST_FRONTS), dive)]
    pub peers: Vec<PeerSettings>,
    /// Time between two beats.
    #[serde(default = "every")]
    #[garde(custom(over_zero))]
    pub every: Span,
    /// Fronts told at each beat.
    #[serde(default = "fanout")]
    #[garde(range(min = 1, max = 64))]
    pub fanout: usize,
    /// A front whose beat has not risen for this is suspect,
    #[serde(default = "suspect_after")]
    #[garde(custom(over_zero))]
    pub suspect_after: Span,
    /// and gone after this.
    #[serde(default = "gone_after")]
    #[garde(custom(over_zero))]
    pub gone_after: Span,
    /// What a front told is kept for so long after it is gone or has left.
    #[serde(default = "keep")]
    #[garde(custom(over_zero))]
    pub keep: Span,
    /// The calls of a front that died are held for it so long, then released by one other front.
    #[serde(default = "hold_calls")]
    #[garde(custom(over_zero))]
    pub hold_calls: Span,
    /// A warning of another front counts for so long.
    #[serde(default = "warnings_for")]
    #[garde(custom(over_zero))]
    pub warnings_for: Span,
    /// Deletions are remembered for so long; a front that was away for longer begins anew.
    #[serde(default = "remember")]
    #[garde(custom(over_zero))]
    pub remember: Span,
    /// A file that keeps what this front knows of the fleet over a restart; without it a restart begins from nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(skip)]
    pub keep_file: Option<PathBuf>,
    /// Between two writes to that file.
    #[serde(default = "keep_every")]
    #[garde(custom(over_zero))]
    pub keep_every: Span,
    /// Facts of one front at most.
    #[serde(default = "facts")]
    #[garde(range(min = 16, max = 1_000_000))]
    pub facts: usize,
    /// Bytes of a datagram at most.
    #[serde(default = "bytes")]
    #[garde(range(min = *BYTES.start(), max = *BYTES.end()))]
    pub bytes: usize,
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    #[garde(length(min = 1, max = 255))]
    pub name: String,
    #[schemars(with = "String")]
    #[garde(skip)]
    pub address: SocketAddr,
}

fn every() -> Span {
    Span::from_millis(500)
}
fn fanout() -> usize {
    3
}
fn suspect_after() -> Span {
    Span::from_millis(3_000)
}
fn gone_after() -> Span {
    Span::from_millis(10_000)
}
fn keep() -> Span {
    Span::from_millis(600_000)
}
fn hold_calls() -> Span {
    Span::from_millis(60_000)
}
fn warnings_for() -> Span {
    Span::from_millis(60_000)
}
fn remember() -> Span {
    Span::from_millis(300_000)
}
fn keep_every() -> Span {
    Span::from_millis(1_000)
}
fn facts() -> usize {
    20_000
}
fn bytes() -> usize {
    8_000
}

impl FleetSettings {
    pub(crate) fn faults(&self) -> Vec<(String, String)> {
        let mut faults = Vec::new();
        let mut names = HashSet::new();
        for (place, peer) in self.peers.iter().enumerate() {
            if !names.insert(&peer.name) {
                let why = format!("a front of the name {:?} is there", peer.name);
                faults.push((format!("fleet.peers[{place}].name"), why));
            }
        }
        if self.suspect_after < self.every {
            faults.push(("fleet.suspect_after".into(), "must not be shorter than fleet.every".into()));
        }
        if self.gone_after < self.suspect_after {
            faults.push(("fleet.gone_after".into(), "must not be shorter than suspect_after".into()));
        }
        if self.keep_file.as_ref().is_some_and(|file| file.as_os_str().is_empty()) {
            faults.push(("fleet.keep_file".into(), "a file's path is allowed, or no such key".into()));
        }
        if self.keep <= self.keep_every {
            faults.push(("fleet.keep_every".into(), "must be shorter than fleet.keep".into()));
        }
        if self.keep < self.hold_calls {
            faults.push(("fleet.keep".into(), "must not be shorter than hold_calls".into()));
        }
        faults
    }

    /// What the fleet module is started with.
    pub fn fleet_params(&self) -> FleetParams {
        FleetParams {
            peers: PeersParams {
                heartbeat_interval: self.every.seconds(),
                fanout: self.fanout,
                suspect_after: self.suspect_after.seconds(),
                gone_after: self.gone_after.seconds(),
                // The list may grow in service.
                max_fronts: MOST_FRONTS,
            },
            replicas: ReplicaParams { max_facts: self.facts, deletion_retention: self.remember.seconds() },
            calls: CallsParams { hold: self.hold_calls.seconds() },
            warning_ttl: self.warnings_for.seconds(),
            retention: self.keep.seconds(),
            max_message_bytes: self.bytes,
            ..FleetParams::with_heartbeat_interval(self.every.seconds())
        }
    }

    /// The others: name and address.
    pub fn other_fronts(&self) -> Vec<(String, SocketAddr)> {
        let others = self.peers.iter().filter(|p| p.name != self.name);
        others.map(|p| (p.name.clone(), p.address)).collect()
    }
}

/// Reads a key file: 64 hex digits, white space around them aside.
pub fn read_key_file(path: &Path) -> Result<[u8; 32], String> {
    let named = |why: String| format!("fleet.key_file {}: {why}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
    let key = blake3::Hash::from_hex(text.trim()).map_err(|_| named("64 hex digits are allowed".into()))?;
    Ok(*key.as_bytes())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_is_64_hex_digits() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("key");
        let read = |text: &str| {
            std::fs::write(&path, text).unwrap();
            read_key_file(&path)
        };
        assert_eq!(read(&format!("{}\n", "0a".repeat(32))), Ok([10; 32]));
        for bad in ["", "0a", &"zz".repeat(32), &"0a".repeat(33), &"\u{e9}".repeat(32)] {
            let why = read(bad).unwrap_err();
            assert!(why.contains("key_file") && why.contains("64 hex digits"), "{why}");
        }
        assert!(read_key_file(&folder.path().join("none")).unwrap_err().contains("none"));
    }
}
