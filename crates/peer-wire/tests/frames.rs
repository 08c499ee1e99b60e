//! Frames that are good, and every kind that is not.

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
const LIFE: Incarnation = Incarnation { number: 1_700_000_000_000, nonce: u64::MAX };

fn pair() -> (Codec, Codec, FrontId) {
    let (a, b) = (front_id("a"), front_id("b"));
    (Codec::new(KEY, a, 8), Codec::new(KEY, b, 8), b)
}

fn digest(n: u64) -> Message {
    let cursor = Some(Cursor { seq: u64::MAX, floor: n });
    let life = (u64::MAX, u64::MAX);
    let ended = vec![EndedCursor { incarnation: life, cursor: Cursor { seq: n, floor: 1 } }; 2];
    let known = DigestEntry {
        front: u64::MAX,
        incarnation: life,
        heartbeat: u64::MAX,
        left: true,
        cursor,
        obsolete_up_to: life,
        ended,
    };
    Message::Digest { entries: vec![known; 3], complete: true, wants_answer: false }
}

fn parts() -> Message {
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
fn what_is_written_is_read_once() {
    let (mut a, mut b, to) = pair();
    for message in [digest(1), parts()] {
        let frame = a.write(to, LIFE, message.clone()).unwrap();
        assert_eq!(b.read(&frame), Ok((front_id("a"), Body::Fleet(message))));
        assert_eq!(b.read(&frame), Err(FrameError::Replayed));
    }
    // Out of order within the window is new; further back counts as seen.
    let frames: Vec<Vec<u8>> = (0..100).map(|n| a.write(to, LIFE, digest(n)).unwrap()).collect();
    let order =
        [(99, true), (98, true), (40, true), (99, false), (36, true), (36, false), (35, false), (0, false)];
    for (n, new) in order {
        assert_eq!(b.read(&frames[n]).is_ok(), new, "{n}");
    }
    // An earlier life says nothing any more.
    let earlier = Incarnation { number: LIFE.number - 1, ..LIFE };
    let later = Incarnation { number: LIFE.number + 1, ..LIFE };
    assert!(b.read(&a.write(to, later, digest(0)).unwrap()).is_ok());
    assert_eq!(b.read(&a.write(to, earlier, digest(0)).unwrap()), Err(FrameError::Replayed));
}

#[test]
fn what_is_not_a_good_frame_is_told_apart_and_counted() {
    let (mut a, mut b, to) = pair();
    let good = a.write(to, LIFE, parts()).unwrap();
    let other = Codec::new([8; 32], front_id("a"), 8).write(to, LIFE, parts()).unwrap();
    let version = [&good[..2], &[COORDINATOR_VERSION + 1], &good[3..]].concat();
    let cases = [
        (vec![0; MAX_FRAME_BYTES + 1], FrameError::TooLarge),
        (b"sf".to_vec(), FrameError::NotAFrame),
        ([b"sip ", &good[4..]].concat(), FrameError::NotAFrame),
        (version, FrameError::Version(COORDINATOR_VERSION + 1)),
        (other, FrameError::Forged),
        (good[..good.len() - 1].to_vec(), FrameError::Forged),
        ([&good[..], b"x"].concat(), FrameError::Forged),
        (a.write(front_id("c"), LIFE, parts()).unwrap(), FrameError::NotForUs),
        (Codec::new(KEY, front_id("b"), 8).write(to, LIFE, parts()).unwrap(), FrameError::NotForUs),
    ];
    for (frame, why) in &cases {
        assert_eq!(b.read(frame), Err(*why));
    }
    let counts = b.dropped();
    assert_eq!(
        (counts.large, counts.foreign, counts.version, counts.forged, counts.not_for_us),
        (1, 2, 1, 3, 2)
    );
    assert!(b.read(&good).is_ok());
    // Senders are remembered up to a bound.
    for n in 0..20 {
        let name = format!("f{n}");
        let taken = b.read(&Codec::new(KEY, front_id(&name), 8).write(to, LIFE, digest(0)).unwrap());
        assert_eq!(taken.is_ok(), n < 7);
    }
}

/// Whoever has the key may still be broken: any bytes under a right hash.
#[test]
fn mutated_frames_never_panic_and_nothing_but_good_ones_is_taken() {
    let (mut a, mut b, to) = pair();
    let frames = [a.write(to, LIFE, digest(1)).unwrap(), a.write(to, LIFE, parts()).unwrap()];
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    // By hand a million: MUTATED_FRAMES=1000000.
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
        // The same bytes behind a right hash: read, or refused by their form.
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
    assert!(b.dropped().form > 1000);
}

#[test]
fn frames_about_sites_go_in_a_version_of_their_own_that_fronts_of_before_drop() {
    let (mut a, mut b, to) = pair();
    let observation = Observation {
        sequence: 4,
        sites: vec![SiteObservation { tried: 2, reached: 1, established: 120, wait_code: 9 }],
        requested: vec![7],
    };
    let observations = vec![RelayedObservation { front: 3, incarnation: 8, age: 0.5, observation }];
    let message = SitesMessage { table_digest: 17, records: Vec::new(), observations };
    let frame = a.write_sites(to, LIFE, message.clone()).unwrap();
    assert_eq!(frame[2], SITES_VERSION);
    assert_eq!(b.read(&frame), Ok((front_id("a"), Body::Sites(message))));
    assert_eq!(b.read(&frame), Err(FrameError::Replayed));
    // All else goes as it did: a front of before, which reads VERSION alone, loses nothing.
    assert_eq!(a.write(to, LIFE, parts()).unwrap()[2], VERSION);
    // A frame of one version under the other's mark has a wrong hash.
    let mut turned = a.write(to, LIFE, parts()).unwrap();
    turned[2] = SITES_VERSION;
    assert_eq!(b.read(&turned), Err(FrameError::Forged));
}
