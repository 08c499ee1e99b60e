//! The last known membership as bytes that outlive a front: a line with version and checksum, then JSON.
//!
//! Reading trusts nothing: a damaged file, one of a newer version and one that names impossible values are
//! told apart, so that the host can set them aside with a message. Writing is the host's: a new file beside
//! the old, synced, then renamed over it.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The version written; a higher one is not read.
pub const VERSION: u32 = 1;
const MAGIC: &str = "shalespindle-members";

/// One server as the last run knew it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredMember {
    pub address: SocketAddr,
    pub pool: u16,
    /// It drained or was gone: kept so that a restart inside a drain does not bring it back.
    pub taken_out: bool,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    /// Seconds since 1970 when it was written.
    written: u64,
    members: Vec<StoredMember>,
}

/// Why a file is not used.
#[derive(Debug, thiserror::Error)]
pub enum StoredMembersError {
    #[error("not a file of last known members")]
    UnknownFormat,
    #[error("written by version {0}; this one reads up to {VERSION}")]
    NewerVersion(u32),
    #[error("damaged: its checksum is {found:08x}, the line says {said:08x}")]
    ChecksumMismatch { said: u32, found: u32 },
    #[error("damaged: {0}")]
    InvalidBody(#[from] serde_json::Error),
    #[error("written {0} s in the future")]
    FromTheFuture(u64),
}

/// The bytes of a file; `written` is seconds since 1970.
pub fn encode_members(written: u64, members: &[StoredMember]) -> Result<Vec<u8>, StoredMembersError> {
    let body = serde_json::to_vec(&Body { written, members: members.to_vec() })?;
    let sum = crc32fast::hash(&body);
    let mut bytes = format!("{MAGIC} {VERSION} {sum:08x}\n").into_bytes();
    bytes.extend_from_slice(&body);
    bytes.push(b'\n');
    Ok(bytes)
}

/// The members of a file and their age in seconds at `now`, seconds since 1970.
pub fn decode_members(now: u64, bytes: &[u8]) -> Result<(Vec<StoredMember>, u64), StoredMembersError> {
    let end = bytes.iter().position(|&b| b == b'\n').ok_or(StoredMembersError::UnknownFormat)?;
    let head = std::str::from_utf8(&bytes[..end]).map_err(|_| StoredMembersError::UnknownFormat)?;
    let mut words = head.split(' ');
    if words.next() != Some(MAGIC) {
        return Err(StoredMembersError::UnknownFormat);
    }
    let version = words
        .next()
        .and_then(|w| w.parse().ok())
        .filter(|v| *v > 0)
        .ok_or(StoredMembersError::UnknownFormat)?;
    if version > VERSION {
        return Err(StoredMembersError::NewerVersion(version));
    }
    let said = words
        .next()
        .and_then(|w| u32::from_str_radix(w, 16).ok())
        .ok_or(StoredMembersError::UnknownFormat)?;
    let body = bytes[end + 1..].strip_suffix(b"\n").unwrap_or(&bytes[end + 1..]);
    let found = crc32fast::hash(body);
    if found != said {
        return Err(StoredMembersError::ChecksumMismatch { said, found });
    }
    let body: Body = serde_json::from_slice(body)?;
    // Guards against a clock that was set back: such a file has no age to distrust it by.
    let age = now
        .checked_sub(body.written)
        .ok_or(StoredMembersError::FromTheFuture(body.written.wrapping_sub(now)))?;
    Ok((body.members, age))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn one() -> Vec<StoredMember> {
        vec![StoredMember { address: "127.0.0.1:5070".parse().unwrap(), pool: 3, taken_out: false }]
    }

    #[test]
    fn what_is_written_is_read_with_its_age() {
        let bytes = encode_members(1000, &one()).unwrap();
        assert_eq!(decode_members(1060, &bytes).unwrap(), (one(), 60));
        assert!(matches!(decode_members(999, &bytes), Err(StoredMembersError::FromTheFuture(1))));
    }

    #[test]
    fn every_cut_and_every_flipped_bit_is_noticed() {
        let bytes = encode_members(1000, &one()).unwrap();
        for end in 0..bytes.len() - 1 {
            assert!(decode_members(1060, &bytes[..end]).is_err(), "cut at {end}");
        }
        for place in 0..bytes.len() - 1 {
            for bit in 0..8 {
                let mut bad = bytes.clone();
                bad[place] ^= 1 << bit;
                // Letters of the checksum in the other case are the same number.
                let same = decode_members(1060, &bad).is_ok_and(|r| r == (one(), 60));
                let harmless = place < 40 && bad[place].eq_ignore_ascii_case(&bytes[place]);
                assert!(decode_members(1060, &bad).is_err() || same && harmless, "byte {place}, bit {bit}");
            }
        }
    }

    #[test]
    fn newer_and_other_files_are_told_apart() {
        let bytes = encode_members(1000, &one()).unwrap();
        let newer = String::from_utf8(bytes).unwrap().replace("members 1 ", "members 2 ");
        assert!(matches!(decode_members(1060, newer.as_bytes()), Err(StoredMembersError::NewerVersion(2))));
        for other in ["", "\n", "hello\n", "shalespindle-members\n", "shalespindle-members x y\n{}"] {
            assert!(
                matches!(decode_members(0, other.as_bytes()), Err(StoredMembersError::UnknownFormat)),
                "{other:?}"
            );
        }
    }
}
