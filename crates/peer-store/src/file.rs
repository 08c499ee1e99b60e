//! The file: its form, reading all of it, writing one step.

use postcard::{from_bytes, to_stdvec};
use redb::{
    Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition, TableError,
};
use shalespindle_peers::FrontId;
use shalespindle_replica::{Changes, IncarnationKey, Key, Snapshot, StoredFact, StoredIncarnation};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

/// The form that is written and read.
pub const VERSION: u32 = 1;

const ABOUT: TableDefinition<&[u8], &[u8]> = TableDefinition::new("about");
/// By front and life; the life, its facts aside.
const LIVES: TableDefinition<&[u8], &[u8]> = TableDefinition::new("lives");
/// By front, life and key.
const FACTS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("facts");

const ABOUT_VERSION: &[u8] = b"version";
const ABOUT_FRONT: &[u8] = b"front";
const ABOUT_SAVED: &[u8] = b"saved at";
const ABOUT_SETTLED: &[u8] = b"settled lives";

/// Why a file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    #[error("another process has it open")]
    InUse,
    #[error("it has version {0}, and {VERSION} is the latest that is known here: a later program wrote it")]
    NewerVersion(u32),
    #[error("another front wrote it")]
    WrongFront,
    /// What is in it is of no use to anybody.
    #[error("it cannot be read: {0}")]
    Corrupt(String),
    #[error("{0}")]
    Io(String),
}

/// Facts of the file whose checksum or form is wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CorruptFacts(pub u64);

/// The open file.
pub struct File {
    /// None only while it is dropped.
    database: Option<Database>,
    own: FrontId,
}

impl Drop for File {
    /// Guards against a panic of the storage over bytes that it never wrote, as at its opening.
    fn drop(&mut self) {
        let database = self.database.take();
        let _ = catch_unwind(AssertUnwindSafe(|| drop(database)));
    }
}

fn spoilt(why: impl ToString) -> OpenError {
    OpenError::Corrupt(why.to_string())
}

fn opened(why: DatabaseError) -> OpenError {
    match why {
        DatabaseError::DatabaseAlreadyOpen => OpenError::InUse,
        DatabaseError::Storage(redb::StorageError::Io(why))
            if why.kind() != std::io::ErrorKind::InvalidData =>
        {
            OpenError::Io(why.to_string())
        }
        other => spoilt(other),
    }
}

impl File {
    /// Opens the file at `path`, or makes it. What it holds is read in the same step.
    pub fn open(path: &Path, own: FrontId) -> Result<(File, Option<Snapshot>, CorruptFacts), OpenError> {
        // Guards against a panic of the storage over bytes that it never wrote.
        let opening = || File::with(Database::create(path).map_err(opened)?, own);
        catch_unwind(AssertUnwindSafe(opening))
            .unwrap_or_else(|_| Err(spoilt("the storage gave up over its bytes")))
    }

    /// The same over any storage.
    pub fn with_backend(
        backend: impl StorageBackend,
        own: FrontId,
    ) -> Result<(File, Option<Snapshot>, CorruptFacts), OpenError> {
        File::with(Database::builder().create_with_backend(backend).map_err(opened)?, own)
    }

    fn with(
        mut database: Database,
        own: FrontId,
    ) -> Result<(File, Option<Snapshot>, CorruptFacts), OpenError> {
        // All pages against their checksums: what a disk has changed is found here and not while it is used.
        let intact = catch_unwind(AssertUnwindSafe(|| database.check_integrity()));
        let file = File { database: Some(database), own };
        match intact {
            // False: it was mended as after a step that was cut short.
            Ok(Ok(_)) => {}
            Ok(Err(why)) => return Err(opened(why)),
            Err(_) => return Err(spoilt("the storage gave up over its bytes")),
        }
        let (kept, bad) = file.read()?;
        Ok((file, kept, bad))
    }

    fn database(&self) -> Result<&Database, OpenError> {
        self.database.as_ref().ok_or_else(|| spoilt("it is closed"))
    }

    /// Nothing where nothing was ever written.
    fn read(&self) -> Result<(Option<Snapshot>, CorruptFacts), OpenError> {
        let reading = self.database()?.begin_read().map_err(spoilt)?;
        let about = match reading.open_table(ABOUT) {
            Ok(about) => about,
            Err(TableError::TableDoesNotExist(_)) => return Ok((None, CorruptFacts::default())),
            Err(why) => return Err(spoilt(why)),
        };
        let said = |name: &[u8]| -> Result<Option<Vec<u8>>, OpenError> {
            Ok(about.get(name).map_err(spoilt)?.map(|v| v.value().to_vec()))
        };
        let number = |name: &[u8]| -> Result<Vec<u8>, OpenError> {
            said(name)?
                .ok_or_else(|| spoilt(format!("it does not say its {}", String::from_utf8_lossy(name))))
        };
        match from_bytes(&number(ABOUT_VERSION)?).map_err(spoilt)? {
            VERSION => {}
            version => return Err(OpenError::NewerVersion(version)),
        }
        if from_bytes::<u64>(&number(ABOUT_FRONT)?).map_err(spoilt)? != self.own.0 {
            return Err(OpenError::WrongFront);
        }
        let saved_at = from_bytes(&number(ABOUT_SAVED)?).map_err(spoilt)?;
        let settled = from_bytes(&number(ABOUT_SETTLED)?).map_err(spoilt)?;
        let mut bad = CorruptFacts::default();
        let mut facts: BTreeMap<IncarnationKey, Vec<(Key, StoredFact)>> = BTreeMap::new();
        for row in reading.open_table(FACTS).map_err(spoilt)?.iter().map_err(spoilt)? {
            let (name, value) = row.map_err(spoilt)?;
            match fact(name.value(), value.value()) {
                Some((life, key, fact)) => facts.entry(life).or_default().push((key, fact)),
                None => bad.0 += 1,
            }
        }
        let mut lives = Vec::new();
        for row in reading.open_table(LIVES).map_err(spoilt)?.iter().map_err(spoilt)? {
            let (name, value) = row.map_err(spoilt)?;
            match unchecked::<StoredIncarnation>(name.value(), value.value()) {
                Some(life) => lives.push((life, facts.remove(&life.key()).unwrap_or_default())),
                None => bad.0 += 1,
            }
        }
        Ok((Some(Snapshot { incarnations: lives, obsolete: settled, saved_at }), bad))
    }

    /// Writes one step: all of it or nothing.
    pub fn write(&self, changes: &Changes) -> Result<(), String> {
        let database = self.database().map_err(|e| e.to_string())?;
        catch_unwind(AssertUnwindSafe(|| self.step(database, changes).map_err(|e| e.to_string())))
            .unwrap_or_else(|_| Err("the storage gave up".into()))
    }

    fn step(&self, database: &Database, changes: &Changes) -> Result<(), redb::Error> {
        let writing = database.begin_write()?;
        if changes.complete {
            writing.delete_table(FACTS)?;
            writing.delete_table(LIVES)?;
        }
        {
            let mut facts = writing.open_table(FACTS)?;
            let mut lives = writing.open_table(LIVES)?;
            let names: Vec<Vec<u8>> = changes.incarnations.iter().map(|l| life_name(l.key())).collect();
            let kept = lives.iter()?.map(|row| Ok(row?.0.value().to_vec()));
            let kept: Vec<Vec<u8>> = kept.collect::<Result<_, redb::StorageError>>()?;
            for over in kept.iter().filter(|name| !names.contains(name)) {
                lives.remove(over.as_slice())?;
                let rest = facts.range(over.as_slice()..after(over).as_slice())?;
                let rest = rest.map(|row| Ok(row?.0.value().to_vec()));
                for name in rest.collect::<Result<Vec<_>, redb::StorageError>>()? {
                    facts.remove(name.as_slice())?;
                }
            }
            for (life, name) in changes.incarnations.iter().zip(&names) {
                lives.insert(name.as_slice(), checked(name, life).as_slice())?;
            }
            for (life, key, fact) in &changes.facts {
                let name = fact_name(*life, key);
                match fact {
                    Some(fact) => facts.insert(name.as_slice(), checked(&name, fact).as_slice())?,
                    None => facts.remove(name.as_slice())?,
                };
            }
            let mut about = writing.open_table(ABOUT)?;
            let settled = &changes.obsolete;
            let says = [
                (ABOUT_VERSION, to_stdvec(&VERSION)),
                (ABOUT_FRONT, to_stdvec(&self.own.0)),
                (ABOUT_SAVED, to_stdvec(&changes.saved_at)),
                (ABOUT_SETTLED, to_stdvec(settled)),
            ];
            for (name, value) in says {
                about.insert(name, value.unwrap_or_default().as_slice())?;
            }
        }
        Ok(writing.commit()?)
    }
}

/// Fixed length, so that the facts of a life are a range.
fn life_name((front, (number, nonce)): IncarnationKey) -> Vec<u8> {
    [front, number, nonce].iter().flat_map(|n| n.to_be_bytes()).collect()
}

/// The first name past all of a life.
fn after(life: &[u8]) -> Vec<u8> {
    [life, &[u8::MAX; 64]].concat()
}

fn fact_name(life: IncarnationKey, key: &Key) -> Vec<u8> {
    // Keys are small and of plain numbers: their form cannot fail.
    [life_name(life), to_stdvec(key).unwrap_or_default()].concat()
}

/// A checksum over name and value, so that neither can be another's.
fn sum(name: &[u8], value: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(name);
    hasher.update(value);
    hasher.finalize().to_le_bytes()
}

fn checked<T: serde::Serialize>(name: &[u8], value: &T) -> Vec<u8> {
    let value = to_stdvec(value).unwrap_or_default();
    [&sum(name, &value)[..], &value].concat()
}

fn unchecked<T: serde::de::DeserializeOwned>(name: &[u8], bytes: &[u8]) -> Option<T> {
    let (check, value) = bytes.split_at_checked(4)?;
    (check == sum(name, value)).then(|| from_bytes(value).ok()).flatten()
}

fn fact(name: &[u8], bytes: &[u8]) -> Option<(IncarnationKey, Key, StoredFact)> {
    let fact = unchecked(name, bytes)?;
    let (life, key) = name.split_at_checked(24)?;
    let mut numbers = life.chunks_exact(8).map(|n| n.try_into().map(u64::from_be_bytes).unwrap_or(0));
    let mut next = || numbers.next().unwrap_or(0);
    Some(((next(), (next(), next())), from_bytes(key).ok()?, fact))
}
