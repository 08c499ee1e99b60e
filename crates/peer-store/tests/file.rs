//! The file on a disk in memory that tears and loses writes, fills up and flips bits.

use redb::StorageBackend;
use shalespindle_peer_store::{CorruptFacts, File, OpenError, Outcome, Store};
use shalespindle_peers::{FrontId, Incarnation};
use shalespindle_replica::{CallEnd, CallRecord, Changes, Fact, Key, ReplicaParams, Replicas, Snapshot};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const OWN: FrontId = FrontId(7);

#[derive(Clone, Debug)]
enum DiskOp {
    Write(u64, Vec<u8>),
    Length(u64),
    Sync,
}

#[derive(Clone, Debug, Default)]
struct DiskState {
    bytes: Vec<u8>,
    /// All operations that succeeded, in order.
    ops: Vec<DiskOp>,
    /// Size of the disk, bytes; none: unlimited.
    capacity: Option<u64>,
}

/// A disk in memory that records the operations.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<DiskState>>);

impl Disk {
    fn with_content(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(DiskState { bytes, ..DiskState::default() })))
    }

    fn bytes(&self) -> Vec<u8> {
        self.0.lock().unwrap().bytes.clone()
    }
}

fn apply(bytes: &mut Vec<u8>, op: &DiskOp) {
    match op {
        DiskOp::Write(at, data) => {
            let (at, end) = (*at as usize, *at as usize + data.len());
            bytes.resize(bytes.len().max(end), 0);
            bytes[at..end].copy_from_slice(data);
        }
        DiskOp::Length(length) => bytes.resize(*length as usize, 0),
        DiskOp::Sync => {}
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().bytes.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.0.lock().unwrap();
        let from = state.bytes.get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(from.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.lock().unwrap().execute(DiskOp::Length(len))
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.lock().unwrap().execute(DiskOp::Sync)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.lock().unwrap().execute(DiskOp::Write(offset, data.to_vec()))
    }
}

impl DiskState {
    /// Applies and records an operation, or fails if the disk is full.
    fn execute(&mut self, op: DiskOp) -> io::Result<()> {
        let needed = match &op {
            DiskOp::Write(at, data) => *at + data.len() as u64,
            DiskOp::Length(length) => *length,
            DiskOp::Sync => 0,
        };
        if self.capacity.is_some_and(|capacity| needed > capacity) {
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

/// Replicas that track their changes.
fn replicas() -> Replicas {
    let mut replicas = Replicas::new(
        ReplicaParams { max_facts: 10_000, deletion_retention: 300.0 },
        OWN,
        Incarnation { number: 3, nonce: 4 },
    );
    replicas.track_changes();
    replicas
}

/// Records calls as established.
fn establish(replicas: &mut Replicas, calls: std::ops::Range<u64>) {
    calls.for_each(|n| assert!(replicas.write(1.0, Key::Call(n), call(n)).unwrap()));
}

fn read(bytes: Vec<u8>) -> Result<(Option<Snapshot>, CorruptFacts), OpenError> {
    File::with_backend(Disk::with_content(bytes), OWN).map(|(_, snapshot, corrupt)| (snapshot, corrupt))
}

/// Writes twice. Returns the disk's content before the second write, the operations of the second write, and
/// the snapshots after each.
fn write_twice() -> (Vec<u8>, Vec<DiskOp>, Snapshot, Snapshot) {
    let disk = Disk::default();
    let mut replicas = replicas();
    let (file, snapshot, _) = File::with_backend(disk.clone(), OWN).unwrap();
    assert_eq!(snapshot, None);
    establish(&mut replicas, 0..40);
    file.write(&replicas.changes(1.0, 1001.0, true)).unwrap();
    let before = disk.bytes();
    disk.0.lock().unwrap().ops.clear();
    establish(&mut replicas, 40..60);
    replicas.delete(2.0, Key::Call(5));
    replicas.write(2.0, Key::CallEnd(5), Fact::CallEnd(CallEnd { claim: false })).unwrap();
    file.write(&replicas.changes(2.0, 1002.0, false)).unwrap();
    let ops = disk.0.lock().unwrap().ops.clone();
    let first = read(before.clone()).unwrap().0.unwrap();
    let second = read(disk.bytes()).unwrap().0.unwrap();
    (before, ops, first, second)
}

#[test]
fn written_facts_are_read_and_ended_incarnations_are_removed() {
    let (_, _, first, second) = write_twice();
    let facts =
        |snapshot: &Snapshot| snapshot.incarnations.iter().map(|(_, facts)| facts.len()).collect::<Vec<_>>();
    assert_eq!((facts(&first), first.saved_at), (vec![40], 1001.0));
    // 60 calls, minus the deleted one, plus its CallEnd.
    assert_eq!((facts(&second), second.saved_at), (vec![60], 1002.0));
    assert_eq!(second.inventory().faults, Vec::<String>::new());
    // An incarnation that the changes do not list is removed along with its facts.
    let disk = Disk::default();
    let (file, ..) = File::with_backend(disk.clone(), OWN).unwrap();
    let mut replicas = replicas();
    establish(&mut replicas, 0..40);
    file.write(&replicas.changes(1.0, 1001.0, true)).unwrap();
    file.write(&Changes { saved_at: 1002.0, ..Changes::default() }).unwrap();
    let (snapshot, corrupt) = read(disk.bytes()).unwrap();
    assert_eq!((snapshot.unwrap().incarnations, corrupt), (Vec::new(), CorruptFacts(0)));
}

/// The last transaction is interrupted after each of its operations, within its writes, and with each single
/// operation between two syncs lost: what is read is always that transaction or the previous one, complete.
#[test]
fn an_interrupted_write_leaves_the_new_or_the_previous_state_complete() {
    let (before, ops, first, second) = write_twice();
    let mut counts = [0, 0];
    let mut check = |bytes: Vec<u8>, what: &str| {
        let (snapshot, corrupt) = read(bytes).unwrap_or_else(|why| panic!("{what}: {why}"));
        let snapshot = snapshot.unwrap_or_else(|| panic!("{what}: nothing"));
        assert_eq!(corrupt, CorruptFacts(0), "{what}");
        let which = [&first, &second].iter().position(|k| **k == snapshot);
        counts[which.unwrap_or_else(|| panic!("{what}: a mixture"))] += 1;
    };
    let mut written = before.clone();
    for (place, op) in ops.iter().enumerate() {
        if let DiskOp::Write(at, data) = op {
            let last = ops[place + 1..].iter().all(|op| !matches!(op, DiskOp::Write(..)));
            // Every length of the last write, and every 509th of the earlier ones.
            for cut in (0..data.len()).step_by(if last { 1 } else { 509 }) {
                let mut torn = written.clone();
                apply(&mut torn, &DiskOp::Write(*at, data[..cut].to_vec()));
                check(torn, &format!("{cut} bytes of write {place}"));
            }
        }
        apply(&mut written, op);
        check(written.clone(), &format!("after {place}"));
    }
    // Between two syncs a disk may write in any order, so any single write may be missing.
    let mut synced = before;
    for chunk in ops.split_inclusive(|op| matches!(op, DiskOp::Sync)) {
        for missing in 0..chunk.len() {
            let mut torn = synced.clone();
            let kept_ops = chunk.iter().enumerate().filter(|(place, _)| *place != missing);
            kept_ops.for_each(|(_, op)| apply(&mut torn, op));
            check(torn, &format!("without one of {}", chunk.len()));
        }
        chunk.iter().for_each(|op| apply(&mut synced, op));
    }
    assert!(counts[0] > 20 && counts[1] > 0, "{counts:?}");
}

#[test]
fn flipped_bits_are_detected_and_never_cause_a_panic() {
    let disk = Disk::default();
    let (file, ..) = File::with_backend(disk.clone(), OWN).unwrap();
    let mut replicas = replicas();
    establish(&mut replicas, 0..40);
    file.write(&replicas.changes(1.0, 1001.0, true)).unwrap();
    drop(file);
    let folder = tempfile::tempdir().unwrap();
    let (path, good) = (folder.path().join("fleet.redb"), disk.bytes());
    let (mut incomplete, mut unreadable, mut intact) = (0, 0, 0);
    for at in (0..good.len()).step_by(good.len() / 400) {
        let mut bytes = good.clone();
        bytes[at] ^= 1 << (at % 8);
        std::fs::write(&path, bytes).unwrap();
        match File::open(&path, OWN) {
            Ok((_, Some(snapshot), corrupt)) if corrupt.0 > 0 => {
                // An incarnation that lacks a fact is reported and not restored.
                assert!(!snapshot.inventory().faults.is_empty());
                incomplete += 1;
            }
            Ok((_, Some(snapshot), _)) => {
                intact += usize::from(
                    snapshot
                        .incarnations
                        .iter()
                        .all(|(incarnation, facts)| incarnation.fact_count == facts.len()),
                );
            }
            Ok((_, None, _)) | Err(_) => unreadable += 1,
        }
        let _ = std::fs::remove_file(&path);
    }
    assert!(intact > 0 && incomplete + unreadable > 0, "{intact} {incomplete} {unreadable}");
}

/// Waits for the outcome of a write.
fn wait_for_outcome(store: &Store) -> Outcome {
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
fn a_full_disk_is_reported_keeps_the_last_state_and_is_written_again_once_it_has_space() {
    let disk = Disk::default();
    let (file, ..) = File::with_backend(disk.clone(), OWN).unwrap();
    let reopened = disk.clone();
    let store = Store::with_file(file, move || Ok(File::with_backend(reopened.clone(), OWN)?.0)).unwrap();
    let mut replicas = replicas();
    establish(&mut replicas, 0..40);
    assert!(store.offer(replicas.changes(1.0, 1001.0, true)));
    assert_eq!(wait_for_outcome(&store), Outcome::Saved { facts: 40 });
    let used = disk.bytes().len() as u64;
    disk.0.lock().unwrap().capacity = Some(used);
    establish(&mut replicas, 40..9000);
    assert!(store.offer(replicas.changes(2.0, 1002.0, false)));
    assert!(matches!(wait_for_outcome(&store), Outcome::Failed(_)));
    assert_eq!(read(disk.bytes()).unwrap().0.unwrap().saved_at, 1001.0);
    // The disk is still full, then it has space again.
    assert!(store.offer(replicas.changes(3.0, 1003.0, true)));
    assert!(matches!(wait_for_outcome(&store), Outcome::Failed(_)));
    disk.0.lock().unwrap().capacity = None;
    assert!(store.offer(replicas.changes(4.0, 1004.0, true)));
    assert_eq!(wait_for_outcome(&store), Outcome::Saved { facts: 9000 });
    drop(store);
    let snapshot = read(disk.bytes()).unwrap().0.unwrap();
    assert_eq!((snapshot.saved_at, snapshot.incarnations[0].1.len()), (1004.0, 9000));
}

#[test]
fn files_of_other_fronts_newer_versions_and_invalid_content_are_distinguished() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("fleet.redb");
    let opened = Store::open(&path, OWN).unwrap();
    assert!(opened.snapshot.is_none() && opened.set_aside.is_none());
    assert!(matches!(Store::open(&path, OWN), Err(OpenError::InUse)));
    let mut replicas = replicas();
    establish(&mut replicas, 0..3);
    assert!(opened.store.offer(replicas.changes(1.0, 1001.0, true)));
    assert_eq!(wait_for_outcome(&opened.store), Outcome::Saved { facts: 3 });
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
    std::fs::write(&path, b"not a database").unwrap();
    let opened = Store::open(&path, OWN).unwrap();
    let (aside, _) = opened.set_aside.unwrap();
    assert!(opened.snapshot.is_none());
    assert_eq!(std::fs::read(aside).unwrap(), b"not a database");
    assert!(matches!(Store::open(&folder.path().join("none/fleet.redb"), OWN), Err(OpenError::Io(_))));
}
