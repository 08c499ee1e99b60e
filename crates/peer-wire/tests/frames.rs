//! Valid frames and every kind of invalid frame.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_peer_wire::{
    front_id, Body, Codec, FrameError, COORDINATOR_VERSION, MAX_FRAME_BYTES, SITES_VERSION, VERSION,
};
use shalespindle_peers::{FrontId, Incarnation};
use shalespindle_replica::{
    Cursor, Delta, DigestEntry, EndedCursor, Fact, Item, Key, LevelOrder, Message, ReportedState,
    ServerRecord,
};
use shalespindle_sites::{Observation, RelayedObservation, SiteObservation, SitesMessage};

const KEY: [u8; 32] = [7; 32];
const INCARNATION: Incarnation = Incarnation { number: 1_700_000_000_000, nonce: u64::MAX };

/// Two codecs with the same key, and the id of the second one.
fn codecs() -> (Codec, Codec, FrontId) {
    let (a, b) = (front_id("a"), front_id("b"));
    (Codec::new(KEY, a, 8), Codec::new(KEY, b, 8), b)
}

fn digest(n: u64) -> Message {
    let cursor = Some(Cursor { seq: u64::MAX, floor: n });
    let incarnation = (u64::MAX, u64::MAX);
    let ended = vec![EndedCursor { incarnation, cursor: Cursor { seq: n, floor: 1 } }; 2];
    let entry = DigestEntry {
        front: u64::MAX,
        incarnation,
        heartbeat: u64::MAX,
        left: true,
        cursor,
        obsolete_up_to: incarnation,
        ended,
    };
    Message::Digest { entries: vec![entry; 3], complete: true, wants_answer: false }
}

fn deltas() -> Message {
    let server =
        ServerRecord { pool: 9, incarnation: u64::MAX, reported: ReportedState::Draining, age: Some(2.5) };
    let level =
        LevelOrder { level: Some(3), valid_for: 60.0, version: 4, issued_by: "front-of-kochi".into() };
    let items = vec![
        Item {
            seq: 4,
            age: 0.25,
            key: Key::Server("[::1]:5060".parse().unwrap()),
            fact: Some(Fact::Server(server)),
        },
        Item { seq: 5, age: 0.5, key: Key::Level, fact: Some(Fact::Level(level)) },
        Item { seq: 8, age: 9.0, key: Key::Server("127.0.0.1:1".parse().unwrap()), fact: None },
    ];
    Message::Deltas {
        deltas: vec![Delta {
            front: 3,
            incarnation: (1, 2),
            floor: 1,
            from: 3,
            to: 9,
            sender_seq: 12,
            items,
        }],
        more_follow: true,
    }
}

#[test]
fn a_frame_is_accepted_exactly_once() {
    let (mut a, mut b, to) = codecs();
    for message in [digest(1), deltas()] {
        let frame = a.write(to, INCARNATION, message.clone()).unwrap();
        assert_eq!(b.read(&frame), Ok((front_id("a"), Body::Fleet(message))));
        assert_eq!(b.read(&frame), Err(FrameError::Replayed));
    }
    // Frames out of order within the window are new; those below the window count as replayed.
    let frames: Vec<Vec<u8>> = (0..100).map(|n| a.write(to, INCARNATION, digest(n)).unwrap()).collect();
    let order =
        [(99, true), (98, true), (40, true), (99, false), (36, true), (36, false), (35, false), (0, false)];
    for (n, new) in order {
        assert_eq!(b.read(&frames[n]).is_ok(), new, "{n}");
    }
    // Frames of an earlier incarnation are dropped.
    let earlier = Incarnation { number: INCARNATION.number - 1, ..INCARNATION };
    let later = Incarnation { number: INCARNATION.number + 1, ..INCARNATION };
    assert!(b.read(&a.write(to, later, digest(0)).unwrap()).is_ok());
    assert_eq!(b.read(&a.write(to, earlier, digest(0)).unwrap()), Err(FrameError::Replayed));
}

#[test]
fn invalid_frames_are_dropped_and_counted_by_reason() {
    let (mut a, mut b, to) = codecs();
    let valid = a.write(to, INCARNATION, deltas()).unwrap();
    let other_key = Codec::new([8; 32], front_id("a"), 8).write(to, INCARNATION, deltas()).unwrap();
    let version = [&valid[..2], &[COORDINATOR_VERSION + 1], &valid[3..]].concat();
    let cases = [
        (vec![0; MAX_FRAME_BYTES + 1], FrameError::TooLarge),
        (b"sf".to_vec(), FrameError::NotAFrame),
        ([b"sip ", &valid[4..]].concat(), FrameError::NotAFrame),
        (version, FrameError::Version(COORDINATOR_VERSION + 1)),
        (other_key, FrameError::Forged),
        (valid[..valid.len() - 1].to_vec(), FrameError::Forged),
        ([&valid[..], b"x"].concat(), FrameError::Forged),
        (a.write(front_id("c"), INCARNATION, deltas()).unwrap(), FrameError::NotForUs),
        (Codec::new(KEY, front_id("b"), 8).write(to, INCARNATION, deltas()).unwrap(), FrameError::NotForUs),
    ];
    for (frame, why) in &cases {
        assert_eq!(b.read(frame), Err(*why));
    }
    let counts = b.dropped();
    assert_eq!(
        (counts.too_large, counts.not_a_frame, counts.version, counts.forged, counts.not_for_us),
        (1, 2, 1, 3, 2)
    );
    assert!(b.read(&valid).is_ok());
    // The number of senders with a replay window is limited: "a" and seven more.
    for n in 0..20 {
        let name = format!("f{n}");
        let read = b.read(&Codec::new(KEY, front_id(&name), 8).write(to, INCARNATION, digest(0)).unwrap());
        assert_eq!(read.is_ok(), n < 7);
    }
}

/// A sender that has the key may still be faulty, so random bytes with a right hash must not cause a panic
/// either.
#[test]
fn mutated_frames_are_rejected_without_a_panic() {
    let (mut a, mut b, to) = codecs();
    let frames = [a.write(to, INCARNATION, digest(1)).unwrap(), a.write(to, INCARNATION, deltas()).unwrap()];
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    // More rounds: MUTATED_FRAMES=1000000.
    let rounds = std::env::var("MUTATED_FRAMES").ok().and_then(|n| n.parse().ok()).unwrap_or(60_000);
    for round in 0..rounds {
        let mut frame = frames[round % 2].clone();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..frame.len());
            frame[at] ^= rng.random_range(1..=255u8);
        }
        frame.truncate(rng.random_range(0..=frame.len()));
        if frame != frames[round % 2] {
            assert!(b.read(&frame).is_err());
        }
        // The same bytes with a right hash are decoded or rejected as malformed, not as forged.
        let body = frame.split_off(frame.len().min(19));
        let mut hasher = blake3::Hasher::new_keyed(&KEY);
        hasher.update(&[VERSION]).update(&body);
        let hash = hasher.finalize();
        let sealed = [b"sf", &[VERSION][..], &hash.as_bytes()[..16], &body].concat();
        assert!(!matches!(
            b.read(&sealed),
            Err(FrameError::Forged | FrameError::NotAFrame | FrameError::Version(_))
        ));
    }
    assert!(b.dropped().malformed > 1000);
}

#[test]
fn frames_about_sites_have_a_version_of_their_own_that_older_fronts_drop() {
    let (mut a, mut b, to) = codecs();
    let observation = Observation {
        sequence: 4,
        sites: vec![SiteObservation { tried: 2, reached: 1, established: 120, wait_code: 9 }],
        requested: vec![7],
    };
    let observations = vec![RelayedObservation { front: 3, incarnation: 8, age: 0.5, observation }];
    let message = SitesMessage { table_digest: 17, records: Vec::new(), observations };
    let frame = a.write_sites(to, INCARNATION, message.clone()).unwrap();
    assert_eq!(frame[2], SITES_VERSION);
    assert_eq!(b.read(&frame), Ok((front_id("a"), Body::Sites(message))));
    assert_eq!(b.read(&frame), Err(FrameError::Replayed));
    // All other frames keep VERSION, the only one that an older front reads.
    assert_eq!(a.write(to, INCARNATION, deltas()).unwrap()[2], VERSION);
    // The hash covers the version: a frame whose version was changed is rejected.
    let mut changed = a.write(to, INCARNATION, deltas()).unwrap();
    changed[2] = SITES_VERSION;
    assert_eq!(b.read(&changed), Err(FrameError::Forged));
}
