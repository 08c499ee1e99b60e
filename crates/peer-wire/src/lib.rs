//! Frames between fronts: two bytes of mark, a version, a keyed hash of the rest (BLAKE3), then the envelope in
//! postcard's form. A frame that is forged, replayed, too large, of another version or for somebody else is
//! dropped and counted; nothing of it is read before its hash is right. docs/wire-fleet.md has the form.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shalespindle_coordinator::{Incarnation, Message as CoordinatorMessage, NodeId};
use shalespindle_peers::{FrontId, Incarnation as FrontIncarnation};
use shalespindle_replica::Message;
use shalespindle_sites::SitesMessage;
use std::collections::BTreeMap;

/// The version of frames that every front speaks: beats, digests, parts.
pub const VERSION: u8 = 2;
/// The version of frames about sites. Fronts of before drop them and count them; all else still goes in [`VERSION`], so
/// that fronts of both serve side by side.
pub const SITES_VERSION: u8 = 3;
/// The version of frames between coordinators and their clients. Whoever knows of none drops them and counts them.
pub const COORDINATOR_VERSION: u8 = 4;
const MAGIC: [u8; 2] = *b"sf";
/// Bytes of the hash that a frame carries.
const HASH: usize = 16;
const HEAD: usize = MAGIC.len() + 1 + HASH;
/// The largest frame: a UDP datagram over IPv4.
pub const MAX_FRAME_BYTES: usize = 65_507;

/// The name by which fronts know a front of that name in the settings.
pub fn front_id(name: &str) -> FrontId {
    let hash = blake3::hash(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    FrontId(u64::from_le_bytes(first))
}

/// Why a frame was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("larger than {MAX_FRAME_BYTES} bytes")]
    TooLarge,
    #[error("not a frame of this kind")]
    NotAFrame,
    #[error("of version {0}; {VERSION}, {SITES_VERSION} and {COORDINATOR_VERSION} are read")]
    Version(u8),
    #[error("its hash is wrong")]
    Forged,
    #[error("its hash is right and its form is not")]
    Malformed,
    #[error("for another front, or from this one")]
    NotForUs,
    #[error("seen before, or of an earlier life of its sender")]
    Replayed,
}

/// How many were dropped, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DropCounts {
    pub large: u64,
    pub foreign: u64,
    pub version: u64,
    pub forged: u64,
    pub form: u64,
    pub not_for_us: u64,
    pub replayed: u64,
}

/// What a frame carries.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    Fleet(Message),
    Sites(SitesMessage),
    Coordinator(CoordinatorMessage),
}

#[derive(Serialize, Deserialize)]
struct Envelope<M> {
    from: u64,
    to: u64,
    /// Number and nonce of the sender's life.
    life: (u64, u64),
    /// Counts the frames of that life.
    number: u64,
    message: M,
}

/// Numbers of one sender's life that have been seen: the highest, and which of the 64 below it.
#[derive(Clone, Copy, Default)]
struct Window {
    life: (u64, u64),
    highest: u64,
    seen: u64,
}

impl Window {
    /// True the first time only; what is further back than the window counts as seen.
    fn is_new(&mut self, life: (u64, u64), number: u64) -> bool {
        if life < self.life {
            return false;
        }
        if life > self.life {
            *self = Window { life, highest: number, seen: 1 };
            return true;
        }
        if number > self.highest {
            let by = number - self.highest;
            self.seen = if by >= 64 { 0 } else { self.seen << by } | 1;
            self.highest = number;
            return true;
        }
        let back = self.highest - number;
        let new = back < 64 && self.seen & (1 << back) == 0;
        if new {
            self.seen |= 1 << back;
        }
        new
    }
}

/// Writes and reads the frames of one front.
pub struct Codec {
    key: [u8; 32],
    own: FrontId,
    number: u64,
    windows: BTreeMap<FrontId, Window>,
    /// Senders remembered at most; only those with the key are.
    most: usize,
    dropped: DropCounts,
}

impl Codec {
    pub fn new(key: [u8; 32], own: FrontId, most: usize) -> Codec {
        Codec { key, own, number: 0, windows: BTreeMap::new(), most, dropped: DropCounts::default() }
    }

    /// A frame; none where the message is too large for one.
    pub fn write(&mut self, to: FrontId, life: FrontIncarnation, message: Message) -> Option<Vec<u8>> {
        self.frame(VERSION, to, life, message)
    }

    /// A frame about sites, in the version that only fronts read that know of them.
    pub fn write_sites(
        &mut self,
        to: FrontId,
        life: FrontIncarnation,
        message: SitesMessage,
    ) -> Option<Vec<u8>> {
        self.frame(SITES_VERSION, to, life, message)
    }

    /// A frame between a coordinator and a client of it.
    pub fn write_coordinator(
        &mut self,
        to: NodeId,
        incarnation: Incarnation,
        message: CoordinatorMessage,
    ) -> Option<Vec<u8>> {
        let life = FrontIncarnation { number: incarnation.number, nonce: incarnation.nonce };
        self.frame(COORDINATOR_VERSION, FrontId(to.0), life, message)
    }

    fn frame(
        &mut self,
        version: u8,
        to: FrontId,
        life: FrontIncarnation,
        message: impl Serialize,
    ) -> Option<Vec<u8>> {
        self.number += 1;
        let life = (life.number, life.nonce);
        let envelope = Envelope { from: self.own.0, to: to.0, life, number: self.number, message };
        let body = postcard::to_stdvec(&envelope).ok()?;
        let mut frame = Vec::with_capacity(HEAD + body.len());
        frame.extend_from_slice(&MAGIC);
        frame.push(version);
        frame.extend_from_slice(&self.hash(version, &body));
        frame.extend_from_slice(&body);
        (frame.len() <= MAX_FRAME_BYTES).then_some(frame)
    }

    /// The sender and what it says.
    pub fn read(&mut self, frame: &[u8]) -> Result<(FrontId, Body), FrameError> {
        let read = self.open(frame);
        if let Err(why) = read {
            let dropped = &mut self.dropped;
            *match why {
                FrameError::TooLarge => &mut dropped.large,
                FrameError::NotAFrame => &mut dropped.foreign,
                FrameError::Version(_) => &mut dropped.version,
                FrameError::Forged => &mut dropped.forged,
                FrameError::Malformed => &mut dropped.form,
                FrameError::NotForUs => &mut dropped.not_for_us,
                FrameError::Replayed => &mut dropped.replayed,
            } += 1;
        }
        read
    }

    fn open(&mut self, frame: &[u8]) -> Result<(FrontId, Body), FrameError> {
        if frame.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge);
        }
        let Some((head, body)) = frame.split_at_checked(HEAD) else { return Err(FrameError::NotAFrame) };
        let (mark, rest) = head.split_at(MAGIC.len());
        if mark != MAGIC {
            return Err(FrameError::NotAFrame);
        }
        if !matches!(rest[0], VERSION | SITES_VERSION | COORDINATOR_VERSION) {
            return Err(FrameError::Version(rest[0]));
        }
        // In constant time: a forger must not learn how much of a hash was right.
        let right = blake3::Hash::from_bytes(whole(&self.hash(rest[0], body)));
        if right != blake3::Hash::from_bytes(whole(&rest[1..])) {
            return Err(FrameError::Forged);
        }
        match rest[0] {
            VERSION => self.take(body, Body::Fleet),
            COORDINATOR_VERSION => self.take(body, Body::Coordinator),
            _ => self.take(body, Body::Sites),
        }
    }

    fn take<M: DeserializeOwned>(
        &mut self,
        body: &[u8],
        wrap: impl FnOnce(M) -> Body,
    ) -> Result<(FrontId, Body), FrameError> {
        let (envelope, left): (Envelope<M>, &[u8]) =
            postcard::take_from_bytes(body).map_err(|_| FrameError::Malformed)?;
        if !left.is_empty() {
            return Err(FrameError::Malformed);
        }
        let from = FrontId(envelope.from);
        if envelope.to != self.own.0 || from == self.own {
            return Err(FrameError::NotForUs);
        }
        if !self.windows.contains_key(&from) && self.windows.len() >= self.most {
            return Err(FrameError::NotForUs);
        }
        if !self.windows.entry(from).or_default().is_new(envelope.life, envelope.number) {
            return Err(FrameError::Replayed);
        }
        Ok((from, wrap(envelope.message)))
    }

    fn hash(&self, version: u8, body: &[u8]) -> [u8; HASH] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&[version]);
        hasher.update(body);
        let mut hash = [0; HASH];
        hash.copy_from_slice(&hasher.finalize().as_bytes()[..HASH]);
        hash
    }

    pub fn dropped(&self) -> DropCounts {
        self.dropped
    }
}

fn whole(part: &[u8]) -> [u8; 32] {
    let mut whole = [0; 32];
    whole[..part.len()].copy_from_slice(part);
    whole
}
