//! Frames between fronts: two magic bytes, a version, a keyed hash of the rest (BLAKE3), then the envelope
//! encoded with postcard.
//!
//! A frame that is forged, replayed, too large, of an unknown version or for another receiver is dropped and
//! counted. The envelope is decoded only after the hash has been verified. docs/wire-fleet.md describes the
//! format.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shalespindle_coordinator::{Incarnation, Message as CoordinatorMessage, NodeId};
use shalespindle_peers::{FrontId, Incarnation as FrontIncarnation};
use shalespindle_replica::Message;
use shalespindle_sites::SitesMessage;
use std::collections::BTreeMap;

/// Version of the frames that all fronts support: heartbeats, digests and deltas.
pub const VERSION: u8 = 2;
/// Version of the frames about sites. Older fronts drop and count them. All other frames still use
/// [`VERSION`], so that older and newer fronts can run side by side.
pub const SITES_VERSION: u8 = 3;
/// Version of the frames between coordinators and their clients. Fronts without support for it drop and count
/// them.
pub const COORDINATOR_VERSION: u8 = 4;
/// First bytes of every frame.
const MAGIC: [u8; 2] = *b"sf";
/// Length of the hash in a frame, bytes.
const HASH_LENGTH: usize = 16;
/// Length of magic bytes, version and hash, bytes.
const HEADER_LENGTH: usize = MAGIC.len() + 1 + HASH_LENGTH;
/// Maximum size of a frame: the payload of a UDP datagram over IPv4.
pub const MAX_FRAME_BYTES: usize = 65_507;

/// Returns the id of the front with the given name in the settings: the first eight bytes of the name's hash.
pub fn front_id(name: &str) -> FrontId {
    let hash = blake3::hash(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    FrontId(u64::from_le_bytes(first))
}

/// Reason why a frame was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("larger than {MAX_FRAME_BYTES} bytes")]
    TooLarge,
    #[error("not a frame: wrong magic bytes or too short")]
    NotAFrame,
    #[error("unsupported version {0}; supported are {VERSION}, {SITES_VERSION} and {COORDINATOR_VERSION}")]
    Version(u8),
    #[error("the hash is wrong")]
    Forged,
    #[error("the hash is right, but the envelope cannot be decoded")]
    Malformed,
    #[error("for another front, from this one, or from a sender beyond the maximum number")]
    NotForUs,
    #[error("received before, or from an earlier incarnation of the sender")]
    Replayed,
}

/// Number of dropped frames, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DropCounts {
    #[serde(rename = "large")]
    pub too_large: u64,
    #[serde(rename = "foreign")]
    pub not_a_frame: u64,
    pub version: u64,
    pub forged: u64,
    #[serde(rename = "form")]
    pub malformed: u64,
    pub not_for_us: u64,
    pub replayed: u64,
}

/// The message in a frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    Fleet(Message),
    Sites(SitesMessage),
    Coordinator(CoordinatorMessage),
}

/// Sender, receiver and message; encoded in the order of the fields.
#[derive(Serialize, Deserialize)]
struct Envelope<M> {
    from: u64,
    to: u64,
    /// Number and nonce of the sender's incarnation.
    incarnation: (u64, u64),
    /// Sequence number of the frame within that incarnation.
    sequence: u64,
    message: M,
}

/// Replay window of one sender: the latest incarnation, its highest sequence number, and a bit map of the
/// received numbers from the highest one (bit 0) down to 63 below it.
#[derive(Clone, Copy, Default)]
struct ReplayWindow {
    incarnation: (u64, u64),
    highest: u64,
    received: u64,
}

impl ReplayWindow {
    /// Records a frame; true if it is new. Frames of earlier incarnations and below the window count as
    /// received.
    fn accept(&mut self, incarnation: (u64, u64), sequence: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = ReplayWindow { incarnation, highest: sequence, received: 1 };
            return true;
        }
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.received = if shift >= 64 { 0 } else { self.received << shift } | 1;
            self.highest = sequence;
            return true;
        }
        let offset = self.highest - sequence;
        let new = offset < 64 && self.received & (1 << offset) == 0;
        if new {
            self.received |= 1 << offset;
        }
        new
    }
}

/// Encodes and decodes the frames of one front.
pub struct Codec {
    key: [u8; 32],
    own: FrontId,
    /// Sequence number of the last frame written.
    sequence: u64,
    windows: BTreeMap<FrontId, ReplayWindow>,
    /// Maximum number of replay windows; only senders with the key get one.
    max_senders: usize,
    dropped: DropCounts,
}

impl Codec {
    pub fn new(key: [u8; 32], own: FrontId, max_senders: usize) -> Codec {
        Codec { key, own, sequence: 0, windows: BTreeMap::new(), max_senders, dropped: DropCounts::default() }
    }

    /// Encodes a frame; none if the message is too large for one.
    pub fn write(&mut self, to: FrontId, incarnation: FrontIncarnation, message: Message) -> Option<Vec<u8>> {
        self.frame(VERSION, to, incarnation, message)
    }

    /// Encodes a frame about sites, in the version that only fronts with support for sites read.
    pub fn write_sites(
        &mut self,
        to: FrontId,
        incarnation: FrontIncarnation,
        message: SitesMessage,
    ) -> Option<Vec<u8>> {
        self.frame(SITES_VERSION, to, incarnation, message)
    }

    /// Encodes a frame between a coordinator and one of its clients.
    pub fn write_coordinator(
        &mut self,
        to: NodeId,
        incarnation: Incarnation,
        message: CoordinatorMessage,
    ) -> Option<Vec<u8>> {
        let incarnation = FrontIncarnation { number: incarnation.number, nonce: incarnation.nonce };
        self.frame(COORDINATOR_VERSION, FrontId(to.0), incarnation, message)
    }

    /// Encodes the envelope and puts the header in front of it.
    fn frame(
        &mut self,
        version: u8,
        to: FrontId,
        incarnation: FrontIncarnation,
        message: impl Serialize,
    ) -> Option<Vec<u8>> {
        self.sequence += 1;
        let incarnation = (incarnation.number, incarnation.nonce);
        let envelope = Envelope { from: self.own.0, to: to.0, incarnation, sequence: self.sequence, message };
        let body = postcard::to_stdvec(&envelope).ok()?;
        let mut frame = Vec::with_capacity(HEADER_LENGTH + body.len());
        frame.extend_from_slice(&MAGIC);
        frame.push(version);
        frame.extend_from_slice(&self.hash(version, &body));
        frame.extend_from_slice(&body);
        (frame.len() <= MAX_FRAME_BYTES).then_some(frame)
    }

    /// Decodes a frame into its sender and message. A dropped frame is counted.
    pub fn read(&mut self, frame: &[u8]) -> Result<(FrontId, Body), FrameError> {
        let result = self.decode(frame);
        if let Err(why) = result {
            let dropped = &mut self.dropped;
            *match why {
                FrameError::TooLarge => &mut dropped.too_large,
                FrameError::NotAFrame => &mut dropped.not_a_frame,
                FrameError::Version(_) => &mut dropped.version,
                FrameError::Forged => &mut dropped.forged,
                FrameError::Malformed => &mut dropped.malformed,
                FrameError::NotForUs => &mut dropped.not_for_us,
                FrameError::Replayed => &mut dropped.replayed,
            } += 1;
        }
        result
    }

    fn decode(&mut self, frame: &[u8]) -> Result<(FrontId, Body), FrameError> {
        if frame.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge);
        }
        let Some((head, body)) = frame.split_at_checked(HEADER_LENGTH) else {
            return Err(FrameError::NotAFrame);
        };
        let (magic, rest) = head.split_at(MAGIC.len());
        if magic != MAGIC {
            return Err(FrameError::NotAFrame);
        }
        if !matches!(rest[0], VERSION | SITES_VERSION | COORDINATOR_VERSION) {
            return Err(FrameError::Version(rest[0]));
        }
        // blake3::Hash compares in constant time, so that a forger cannot learn how much of a hash is right.
        let expected = blake3::Hash::from_bytes(zero_padded(&self.hash(rest[0], body)));
        if expected != blake3::Hash::from_bytes(zero_padded(&rest[1..])) {
            return Err(FrameError::Forged);
        }
        match rest[0] {
            VERSION => self.decode_body(body, Body::Fleet),
            COORDINATOR_VERSION => self.decode_body(body, Body::Coordinator),
            _ => self.decode_body(body, Body::Sites),
        }
    }

    /// Decodes the envelope and checks receiver, sender and replay window.
    fn decode_body<M: DeserializeOwned>(
        &mut self,
        body: &[u8],
        wrap: impl FnOnce(M) -> Body,
    ) -> Result<(FrontId, Body), FrameError> {
        let (envelope, rest): (Envelope<M>, &[u8]) =
            postcard::take_from_bytes(body).map_err(|_| FrameError::Malformed)?;
        if !rest.is_empty() {
            return Err(FrameError::Malformed);
        }
        let from = FrontId(envelope.from);
        if envelope.to != self.own.0 || from == self.own {
            return Err(FrameError::NotForUs);
        }
        if !self.windows.contains_key(&from) && self.windows.len() >= self.max_senders {
            return Err(FrameError::NotForUs);
        }
        if !self.windows.entry(from).or_default().accept(envelope.incarnation, envelope.sequence) {
            return Err(FrameError::Replayed);
        }
        Ok((from, wrap(envelope.message)))
    }

    fn hash(&self, version: u8, body: &[u8]) -> [u8; HASH_LENGTH] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&[version]);
        hasher.update(body);
        let mut hash = [0; HASH_LENGTH];
        hash.copy_from_slice(&hasher.finalize().as_bytes()[..HASH_LENGTH]);
        hash
    }

    /// Number of dropped frames, by reason.
    pub fn dropped(&self) -> DropCounts {
        self.dropped
    }
}

/// Pads a truncated hash with zeros to the length of `blake3::Hash`.
fn zero_padded(truncated: &[u8]) -> [u8; 32] {
    let mut padded = [0; 32];
    padded[..truncated.len()].copy_from_slice(truncated);
    padded
}
