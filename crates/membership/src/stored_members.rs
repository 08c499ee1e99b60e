//! File format of the last known members, which a front reads when it restarts: a header line with version
//! and checksum, then a body in JSON.
//!
//! The decoder validates everything and has a separate error for a damaged file, a newer version and
//! impossible values, so that the host can set the file aside and log why. File access is left to the host,
//! which writes a new file beside the old one, syncs it, and renames it over the old one.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the format that is written; files with a higher version are not read.
pub const VERSION: u32 = 1;
const MAGIC: &str = "shalespindle-members";

/// One server as the previous run knew it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredMember {
    pub address: SocketAddr,
    pub pool: u16,
    /// It was draining or removed: stored so that a restart during a drain does not bring it back.
    pub taken_out: bool,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    /// When the file was written, seconds since 1970.
    written: u64,
    members: Vec<StoredMember>,
}

/// Why a file of stored members can't be used, or not be written.
#[derive(Debug, thiserror::Error)]
pub enum StoredMembersError {
    #[error("not a file of last known members")]
    UnknownFormat,
    #[error("format version {0} is newer than the highest supported version, {VERSION}")]
    NewerVersion(u32),
    #[error("damaged: the checksum is {computed:08x}, the header has {stored:08x}")]
    ChecksumMismatch { stored: u32, computed: u32 },
    #[error("damaged: invalid body: {0}")]
    InvalidBody(#[from] serde_json::Error),
    #[error("written {0} s in the future")]
    FromTheFuture(u64),
}

/// Encodes members as the bytes of a file; `written` is the current time in seconds since 1970.
pub fn encode_members(written: u64, members: &[StoredMember]) -> Result<Vec<u8>, StoredMembersError> {
    let body = serde_json::to_vec(&Body { written, members: members.to_vec() })?;
    let checksum = crc32fast::hash(&body);
    let mut bytes = format!("{MAGIC} {VERSION} {checksum:08x}\n").into_bytes();
    bytes.extend_from_slice(&body);
    bytes.push(b'\n');
    Ok(bytes)
}

/// Decodes a file into its members and their age in seconds; `now` is seconds since 1970.
pub fn decode_members(now: u64, bytes: &[u8]) -> Result<(Vec<StoredMember>, u64), StoredMembersError> {
    let header_end = bytes.iter().position(|&b| b == b'\n').ok_or(StoredMembersError::UnknownFormat)?;
    let header = std::str::from_utf8(&bytes[..header_end]).map_err(|_| StoredMembersError::UnknownFormat)?;
    let mut fields = header.split(' ');
    if fields.next() != Some(MAGIC) {
        return Err(StoredMembersError::UnknownFormat);
    }
    let version = fields
        .next()
        .and_then(|field| field.parse().ok())
        .filter(|version| *version > 0)
        .ok_or(StoredMembersError::UnknownFormat)?;
    if version > VERSION {
        return Err(StoredMembersError::NewerVersion(version));
    }
    let stored = fields
        .next()
        .and_then(|field| u32::from_str_radix(field, 16).ok())
        .ok_or(StoredMembersError::UnknownFormat)?;
    let body = bytes[header_end + 1..].strip_suffix(b"\n").unwrap_or(&bytes[header_end + 1..]);
    let computed = crc32fast::hash(body);
    if computed != stored {
        return Err(StoredMembersError::ChecksumMismatch { stored, computed });
    }
    let body: Body = serde_json::from_slice(body)?;
    // If the clock was set back, the age of the file is unknown and can't be checked.
    let age = now
        .checked_sub(body.written)
        .ok_or(StoredMembersError::FromTheFuture(body.written.wrapping_sub(now)))?;
    Ok((body.members, age))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn one_member() -> Vec<StoredMember> {
        vec![StoredMember { address: "127.0.0.1:5070".parse().unwrap(), pool: 3, taken_out: false }]
    }

    #[test]
    fn encoded_members_are_decoded_with_their_age() {
        let bytes = encode_members(1000, &one_member()).unwrap();
        assert_eq!(decode_members(1060, &bytes).unwrap(), (one_member(), 60));
        assert!(matches!(decode_members(999, &bytes), Err(StoredMembersError::FromTheFuture(1))));
    }

    #[test]
    fn every_truncation_and_every_flipped_bit_is_detected() {
        let bytes = encode_members(1000, &one_member()).unwrap();
        for end in 0..bytes.len() - 1 {
            assert!(decode_members(1060, &bytes[..end]).is_err(), "truncated at {end}");
        }
        for index in 0..bytes.len() - 1 {
            for bit in 0..8 {
                let mut damaged = bytes.clone();
                damaged[index] ^= 1 << bit;
                // The same checksum in upper-case digits is valid.
                let same = decode_members(1060, &damaged).is_ok_and(|r| r == (one_member(), 60));
                let harmless = index < 40 && damaged[index].eq_ignore_ascii_case(&bytes[index]);
                assert!(
                    decode_members(1060, &damaged).is_err() || same && harmless,
                    "byte {index}, bit {bit}"
                );
            }
        }
    }

    #[test]
    fn newer_versions_and_other_formats_have_different_errors() {
        let bytes = encode_members(1000, &one_member()).unwrap();
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
