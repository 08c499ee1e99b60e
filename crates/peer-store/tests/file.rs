//! The file under a disk that tears writes, loses them, fills up and flips bits.

use redb::StorageBackend;
use shalespindle_peer_store::{CorruptFacts, File, OpenError, Outcome, Store};
use shalespindle_peers::{FrontId, Incarnation};
use shalespindle_replica::{CallEnd, CallRecord, Changes, Fact, Key, ReplicaParams, Replicas, Snapshot};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const OWN: FrontId = FrontId(7);

#[derive(Clone, Debug)]
enum Op {
    Write(u64, Vec<u8>),
    Length(u64),
    Sync,
}

#[derive(Clone, Debug, Default)]
struct Platter {
    bytes: Vec<u8>,
    ops: Vec<Op>,
    /// Bytes that fit.
    room: Option<u64>,
}

/// A disk in memory that remembers what was asked of it.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Platter>>);

impl Disk {
    fn holding(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(Platter { bytes, ..Platter::default() })))
    }

    fn bytes(&self) -> Vec<u8> {
        self.0.lock().unwrap().bytes.clone()
    }
}

fn apply(bytes: &mut Vec<u8>, op: &Op) {
    match op {
        Op::Write(at, data) => {
            let (at, end) = (*at as usize, *at as usize + data.len());
            bytes.resize(bytes.len().max(end), 0);
            bytes[at..end].copy_from_slice(data);
        }
        Op::Length(length) => bytes.resize(*length as usize, 0),
        Op::Sync => {}
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().bytes.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let platter = self.0.lock().unwrap();
        let from = platter.bytes.get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(from.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.lock().unwrap().take(Op::Length(len))
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.lock().unwrap().take(Op::Sync)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.lock().unwrap().take(Op::Write(offset, data.to_vec()))
    }
}

impl Platter {
    fn take(&mut self, op: Op) -> io::Result<()> {
        let needed = match &op {
            Op::Write(at, data) => *at + data.len() as u64,
            Op::Length(length) => *length,
            Op::Sync => 0,
        };
        if self.room.is_some_and(|room| needed > room) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        apply(&mut self.bytes, &op);
        self.ops.push(op);
        Ok(())
    }
}

fn call(n: u64) -> Fact {
    let text = |what: &str| format!("{what}-{n}");
    Fact::Call(Box::new(CallRecord {
        epoch: 1,
        server: "127.0.0.1:5070".parse().unwrap(),
        leg_call_id: text("leg"),
        leg_from: text("from"),
        leg_to: text("to"),
        leg_target: text("target"),
        call_id: text("call"),
        local: text("local"),
        remote: text("remote"),
        target: text("back"),
        caller: None,
    }))
}

/// Copies that keep what changes.
fn copies() -> Replicas {
    let mut copies = Replicas::new(
        ReplicaParams { max_facts: 10_000, deletion_retention: 300.0 },
        OWN,
        Incarnation { number: 3, nonce: 4 },
    );
    copies.track_changes();
    copies
}

fn stand(copies: &mut Replicas, calls: std::ops::Range<u64>) {
    calls.for_each(|n| assert!(copies.write(1.0, Key::Call(n), call(n)).unwrap()));
}

fn read(bytes: Vec<u8>) -> Result<(Option<Snapshot>, CorruptFacts), OpenError> {
    File::with_backend(Disk::holding(bytes), OWN).map(|(_, kept, bad)| (kept, bad))
}

/// Two steps, and what the disk held before the second.
fn two_steps() -> (Vec<u8>, Vec<Op>, Snapshot, Snapshot) {
    let disk = Disk::default();
    let mut copies = copies();
    let (file, kept, _) = File::with_backend(disk.clone(), OWN).unwrap();
    assert_eq!(kept, None);
    stand(&mut copies, 0..40);
    file.write(&copies.changes(1.0, 1001.0, true)).unwrap();
    let before = disk.bytes();
    disk.0.lock().unwrap().ops.clear();
    stand(&mut copies, 40..60);
    copies.delete(2.0, Key::Call(5));
    copies.write(2.0, Key::CallEnd(5), Fact::CallEnd(CallEnd { claim: false })).unwrap();
    file.write(&copies.changes(2.0, 1002.0, false)).unwrap();
    let ops = disk.0.lock().unwrap().ops.clone();
    let first = read(before.clone()).unwrap().0.unwrap();
    let second = read(disk.bytes()).unwrap().0.unwrap();
    (before, ops, first, second)
}

#[test]
fn what_was_written_is_read_and_what_is_over_is_gone() {
    let (_, _, first, second) = two_steps();
    let facts = |kept: &Snapshot| kept.incarnations.iter().map(|l| l.1.len()).collect::<Vec<_>>();
    assert_eq!((facts(&first), first.saved_at), (vec![40], 1001.0));
    // Sixty but for the one that ended untold, and the word that it is over.
    assert_eq!((facts(&second), second.saved_at), (vec![60], 1002.0));
    assert_eq!(second.inventory().faults, Vec::<String>::new());
    // A life that is not named any more takes its facts with it.
    let disk = Disk::default();
    let (file, ..) = File::with_backend(disk.clone(), OWN).unwrap();
    let mut copies = copies();
    stand(&mut copies, 0..40);
    file.write(&copies.changes(1.0, 1001.0, true)).unwrap();
    file.write(&Changes { saved_at: 1002.0, ..Changes::default() }).unwrap();
    let (kept, bad) = read(disk.bytes()).unwrap();
    assert_eq!((kept.unwrap().incarnations, bad), (Vec::new(), CorruptFacts(0)));
}

/// The last step is cut short after any of its writes, within any of them, and with any of those since the last sync
/// lost: what is read is that step or the one before, whole.
#[test]
fn a_step_that_is_torn_anywhere_leaves_it_or_the_one_before() {
    let (before, ops, first, second) = two_steps();
    let mut seen = [0, 0];
    let mut check = |bytes: Vec<u8>, what: &str| {
        let (kept, bad) = read(bytes).unwrap_or_else(|why| panic!("{what}: {why}"));
        let kept = kept.unwrap_or_else(|| panic!("{what}: nothing"));
        assert_eq!(bad, CorruptFacts(0), "{what}");
        let which = [&first, &second].iter().position(|k| **k == kept);
        seen[which.unwrap_or_else(|| panic!("{what}: a mixture"))] += 1;
    };
    let mut whole = before.clone();
    for (place, op) in ops.iter().enumerate() {
        if let Op::Write(at, data) = op {
            let last = ops[place + 1..].iter().all(|op| !matches!(op, Op::Write(..)));
            // Every byte of the last write, and of those before some in each.
            for cut in (0..data.len()).step_by(if last { 1 } else { 509 }) {
                let mut torn = whole.clone();
                apply(&mut torn, &Op::Write(*at, data[..cut].to_vec()));
                check(torn, &format!("{cut} bytes of write {place}"));
            }
        }
        apply(&mut whole, op);
        check(whole.clone(), &format!("after {place}"));
    }
    // Between two syncs a disk may write in any order: any one write may be the only one that is missing.
    let mut synced = before;
    for chunk in ops.split_inclusive(|op| matches!(op, Op::Sync)) {
        for missing in 0..chunk.len() {
            let mut torn = synced.clone();
            let there = chunk.iter().enumerate().filter(|(place, _)| *place != missing);
            there.for_each(|(_, op)| apply(&mut torn, op));
            check(torn, &format!("without one of {}", chunk.len()));
        }
        chunk.iter().for_each(|op| apply(&mut synced, op));
    }
    assert!(seen[0] > 20 && seen[1] > 0, "{seen:?}");
}

#[test]
fn bits_that_flip_are_found_or_put_aside_and_never_a_panic() {
    let disk = Disk::default();
    let (file, ..) = File::with_backend(disk.clone(), OWN).unwrap();
    let mut copies = copies();
    stand(&mut copies, 0..40);
    file.write(&copies.changes(1.0, 1001.0, true)).unwrap();
    drop(file);
    let folder = tempfile::tempdir().unwrap();
    let (path, good) = (folder.path().join("fleet.redb"), disk.bytes());
    let (mut faults, mut spoilt, mut same) = (0, 0, 0);
    for at in (0..good.len()).step_by(good.len() / 400) {
        let mut bytes = good.clone();
        bytes[at] ^= 1 << (at % 8);
        std::fs::write(&path, bytes).unwrap();
        match File::open(&path, OWN) {
            Ok((_, Some(kept), bad)) if bad.0 > 0 => {
                // A life with a fact missing is not believed.
                assert!(!kept.inventory().faults.is_empty());
                faults += 1;
            }
            Ok((_, Some(kept), _)) => {
                same +=
                    usize::from(kept.incarnations.iter().all(|(life, facts)| life.fact_count == facts.len()));
            }
            Ok((_, None, _)) | Err(_) => spoilt += 1,
        }
        let _ = std::fs::remove_file(&path);
    }
    assert!(same > 0 && faults + spoilt > 0, "{same} {faults} {spoilt}");
}

/// Waits for what became of a step.
fn outcome(store: &Store) -> Outcome {
    let begin = Instant::now();
    loop {
        if let Some(outcome) = store.outcome() {
            return outcome;
        }
        assert!(begin.elapsed() < Duration::from_secs(20));
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn a_full_disk_is_told_keeps_what_was_there_and_is_written_to_again_when_it_has_room() {
    let disk = Disk::default();
    let (file, ..) = File::with_backend(disk.clone(), OWN).unwrap();
    let again = disk.clone();
    let store = Store::with_file(file, move || Ok(File::with_backend(again.clone(), OWN)?.0)).unwrap();
    let mut copies = copies();
    stand(&mut copies, 0..40);
    assert!(store.offer(copies.changes(1.0, 1001.0, true)));
    assert_eq!(outcome(&store), Outcome::Saved { facts: 40 });
    let held = disk.bytes().len() as u64;
    disk.0.lock().unwrap().room = Some(held);
    stand(&mut copies, 40..9000);
    assert!(store.offer(copies.changes(2.0, 1002.0, false)));
    assert!(matches!(outcome(&store), Outcome::Failed(_)));
    assert_eq!(read(disk.bytes()).unwrap().0.unwrap().saved_at, 1001.0);
    // Still full, then not.
    assert!(store.offer(copies.changes(3.0, 1003.0, true)));
    assert!(matches!(outcome(&store), Outcome::Failed(_)));
    disk.0.lock().unwrap().room = None;
    assert!(store.offer(copies.changes(4.0, 1004.0, true)));
    assert_eq!(outcome(&store), Outcome::Saved { facts: 9000 });
    drop(store);
    let kept = read(disk.bytes()).unwrap().0.unwrap();
    assert_eq!((kept.saved_at, kept.incarnations[0].1.len()), (1004.0, 9000));
}

#[test]
fn files_of_others_of_later_versions_and_of_no_sense_are_told_apart() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("fleet.redb");
    let opened = Store::open(&path, OWN).unwrap();
    assert!(opened.snapshot.is_none() && opened.set_aside.is_none());
    assert!(matches!(Store::open(&path, OWN), Err(OpenError::InUse)));
    let mut copies = copies();
    stand(&mut copies, 0..3);
    assert!(opened.store.offer(copies.changes(1.0, 1001.0, true)));
    assert_eq!(outcome(&opened.store), Outcome::Saved { facts: 3 });
    drop(opened);
    assert!(matches!(Store::open(&path, FrontId(8)), Err(OpenError::WrongFront)));
    assert_eq!(Store::open(&path, OWN).unwrap().snapshot.unwrap().saved_at, 1001.0);
    {
        let database = redb::Database::create(&path).unwrap();
        let writing = database.begin_write().unwrap();
        let table = redb::TableDefinition::<&[u8], &[u8]>::new("about");
        writing.open_table(table).unwrap().insert(&b"version"[..], &[9u8][..]).unwrap();
        writing.commit().unwrap();
    }
    assert!(matches!(Store::open(&path, OWN), Err(OpenError::NewerVersion(9))));
    std::fs::write(&path, b"of no sense at all").unwrap();
    let opened = Store::open(&path, OWN).unwrap();
    let (aside, _) = opened.set_aside.unwrap();
    assert!(opened.snapshot.is_none());
    assert_eq!(std::fs::read(aside).unwrap(), b"of no sense at all");
    assert!(matches!(Store::open(&folder.path().join("none/fleet.redb"), OWN), Err(OpenError::Io(_))));
}
