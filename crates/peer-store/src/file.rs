//! The format of the file; reads all of it and writes changes to it in transactions.

use postcard::{from_bytes, to_stdvec};
use redb::{
    Database, DatabaseError, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition, TableError,
};
use shalespindle_peers::FrontId;
use shalespindle_replica::{Changes, IncarnationKey, Key, Snapshot, StoredFact, StoredIncarnation};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

/// The version of the format that is written and read.
pub const VERSION: u32 = 1;

/// Version, owner and time of the file.
const ABOUT: TableDefinition<&[u8], &[u8]> = TableDefinition::new("about");
/// Incarnations without their facts, by front and incarnation.
const INCARNATIONS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("lives");
/// Facts, by front, incarnation and key.
const FACTS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("facts");

const ABOUT_VERSION: &[u8] = b"version";
const ABOUT_FRONT: &[u8] = b"front";
const ABOUT_SAVED: &[u8] = b"saved at";
const ABOUT_OBSOLETE: &[u8] = b"settled lives";

/// Reason why a file cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    #[error("another process has it open")]
    InUse,
    #[error("it has version {0}, written by a newer program: {VERSION} is the latest supported version")]
    NewerVersion(u32),
    #[error("another front wrote it")]
    WrongFront,
    /// The content is invalid; no front can use it.
    #[error("it cannot be read: {0}")]
    Corrupt(String),
    #[error("{0}")]
    Io(String),
}

/// Number of rows in the file whose checksum or encoding is wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CorruptFacts(pub u64);

/// The open file.
pub struct File {
    /// `None` only while the file is being dropped.
    database: Option<Database>,
    own: FrontId,
}

impl Drop for File {
    /// Contains a panic of the storage on invalid bytes, as [`File::open`] does.
    fn drop(&mut self) {
        let database = self.database.take();
        let _ = catch_unwind(AssertUnwindSafe(|| drop(database)));
    }
}

fn corrupt(why: impl ToString) -> OpenError {
    OpenError::Corrupt(why.to_string())
}

fn open_error(why: DatabaseError) -> OpenError {
    match why {
        DatabaseError::DatabaseAlreadyOpen => OpenError::InUse,
        DatabaseError::Storage(redb::StorageError::Io(why))
            if why.kind() != std::io::ErrorKind::InvalidData =>
        {
            OpenError::Io(why.to_string())
        }
        other => corrupt(other),
    }
}

impl File {
    /// Opens the file at `path`, or creates it, and reads its content.
    pub fn open(path: &Path, own: FrontId) -> Result<(File, Option<Snapshot>, CorruptFacts), OpenError> {
        // Contains a panic of the storage on invalid bytes.
        let opening = || File::check_and_read(Database::create(path).map_err(open_error)?, own);
        catch_unwind(AssertUnwindSafe(opening))
            .unwrap_or_else(|_| Err(corrupt("the storage panicked on its content")))
    }

    /// As [`File::open`], on any storage.
    pub fn with_backend(
        backend: impl StorageBackend,
        own: FrontId,
    ) -> Result<(File, Option<Snapshot>, CorruptFacts), OpenError> {
        File::check_and_read(Database::builder().create_with_backend(backend).map_err(open_error)?, own)
    }

    /// Verifies the checksums of the whole database, then reads its content.
    fn check_and_read(
        mut database: Database,
        own: FrontId,
    ) -> Result<(File, Option<Snapshot>, CorruptFacts), OpenError> {
        // Checks all pages now, so that damage on the disk is found here and not during use.
        let intact = catch_unwind(AssertUnwindSafe(|| database.check_integrity()));
        let file = File { database: Some(database), own };
        match intact {
            // False: the database was repaired, as after an interrupted write.
            Ok(Ok(_)) => {}
            Ok(Err(why)) => return Err(open_error(why)),
            Err(_) => return Err(corrupt("the storage panicked on its content")),
        }
        let (snapshot, corrupt) = file.read()?;
        Ok((file, snapshot, corrupt))
    }

    fn database(&self) -> Result<&Database, OpenError> {
        self.database.as_ref().ok_or_else(|| corrupt("it is closed"))
    }

    /// Reads the content; no snapshot if nothing was ever written.
    fn read(&self) -> Result<(Option<Snapshot>, CorruptFacts), OpenError> {
        let transaction = self.database()?.begin_read().map_err(corrupt)?;
        let about = match transaction.open_table(ABOUT) {
            Ok(about) => about,
            Err(TableError::TableDoesNotExist(_)) => return Ok((None, CorruptFacts::default())),
            Err(why) => return Err(corrupt(why)),
        };
        let value = |name: &[u8]| -> Result<Option<Vec<u8>>, OpenError> {
            Ok(about.get(name).map_err(corrupt)?.map(|v| v.value().to_vec()))
        };
        let required = |name: &[u8]| -> Result<Vec<u8>, OpenError> {
            value(name)?
                .ok_or_else(|| corrupt(format!("the entry {:?} is missing", String::from_utf8_lossy(name))))
        };
        match from_bytes(&required(ABOUT_VERSION)?).map_err(corrupt)? {
            VERSION => {}
            version => return Err(OpenError::NewerVersion(version)),
        }
        if from_bytes::<u64>(&required(ABOUT_FRONT)?).map_err(corrupt)? != self.own.0 {
            return Err(OpenError::WrongFront);
        }
        let saved_at = from_bytes(&required(ABOUT_SAVED)?).map_err(corrupt)?;
        let obsolete = from_bytes(&required(ABOUT_OBSOLETE)?).map_err(corrupt)?;
        let mut corrupt_facts = CorruptFacts::default();
        let mut facts: BTreeMap<IncarnationKey, Vec<(Key, StoredFact)>> = BTreeMap::new();
        for row in transaction.open_table(FACTS).map_err(corrupt)?.iter().map_err(corrupt)? {
            let (name, value) = row.map_err(corrupt)?;
            match decode_fact(name.value(), value.value()) {
                Some((incarnation, key, fact)) => facts.entry(incarnation).or_default().push((key, fact)),
                None => corrupt_facts.0 += 1,
            }
        }
        let mut incarnations = Vec::new();
        for row in transaction.open_table(INCARNATIONS).map_err(corrupt)?.iter().map_err(corrupt)? {
            let (name, value) = row.map_err(corrupt)?;
            match verify::<StoredIncarnation>(name.value(), value.value()) {
                Some(incarnation) => {
                    let facts = facts.remove(&incarnation.key()).unwrap_or_default();
                    incarnations.push((incarnation, facts));
                }
                None => corrupt_facts.0 += 1,
            }
        }
        Ok((Some(Snapshot { incarnations, obsolete, saved_at }), corrupt_facts))
    }

    /// Writes the changes in one transaction.
    pub fn write(&self, changes: &Changes) -> Result<(), String> {
        let database = self.database().map_err(|e| e.to_string())?;
        catch_unwind(AssertUnwindSafe(|| self.apply(database, changes).map_err(|e| e.to_string())))
            .unwrap_or_else(|_| Err("the storage panicked".into()))
    }

    /// Applies the changes. An incarnation that `changes` does not list is removed along with its facts.
    fn apply(&self, database: &Database, changes: &Changes) -> Result<(), redb::Error> {
        let transaction = database.begin_write()?;
        if changes.complete {
            transaction.delete_table(FACTS)?;
            transaction.delete_table(INCARNATIONS)?;
        }
        {
            let mut facts = transaction.open_table(FACTS)?;
            let mut incarnations = transaction.open_table(INCARNATIONS)?;
            let names: Vec<Vec<u8>> =
                changes.incarnations.iter().map(|incarnation| incarnation_name(incarnation.key())).collect();
            let stored = incarnations.iter()?.map(|row| Ok(row?.0.value().to_vec()));
            let stored: Vec<Vec<u8>> = stored.collect::<Result<_, redb::StorageError>>()?;
            for removed in stored.iter().filter(|name| !names.contains(name)) {
                incarnations.remove(removed.as_slice())?;
                let orphans = facts.range(removed.as_slice()..end_of_facts(removed).as_slice())?;
                let orphans = orphans.map(|row| Ok(row?.0.value().to_vec()));
                for name in orphans.collect::<Result<Vec<_>, redb::StorageError>>()? {
                    facts.remove(name.as_slice())?;
                }
            }
            for (incarnation, name) in changes.incarnations.iter().zip(&names) {
                incarnations.insert(name.as_slice(), seal(name, incarnation).as_slice())?;
            }
            for (incarnation, key, fact) in &changes.facts {
                let name = fact_name(*incarnation, key);
                match fact {
                    Some(fact) => facts.insert(name.as_slice(), seal(&name, fact).as_slice())?,
                    None => facts.remove(name.as_slice())?,
                };
            }
            let mut about = transaction.open_table(ABOUT)?;
            let entries = [
                (ABOUT_VERSION, to_stdvec(&VERSION)),
                (ABOUT_FRONT, to_stdvec(&self.own.0)),
                (ABOUT_SAVED, to_stdvec(&changes.saved_at)),
                (ABOUT_OBSOLETE, to_stdvec(&changes.obsolete)),
            ];
            for (name, value) in entries {
                about.insert(name, value.unwrap_or_default().as_slice())?;
            }
        }
        Ok(transaction.commit()?)
    }
}

/// The key of an incarnation's row. Its length is fixed, so that the facts of an incarnation are a contiguous
/// range.
fn incarnation_name((front, (number, nonce)): IncarnationKey) -> Vec<u8> {
    [front, number, nonce].iter().flat_map(|n| n.to_be_bytes()).collect()
}

/// A name greater than those of all facts of an incarnation.
fn end_of_facts(incarnation: &[u8]) -> Vec<u8> {
    [incarnation, &[u8::MAX; 64]].concat()
}

/// The key of a fact's row.
fn fact_name(incarnation: IncarnationKey, key: &Key) -> Vec<u8> {
    // Encoding a key cannot fail: it consists of plain numbers and addresses.
    [incarnation_name(incarnation), to_stdvec(key).unwrap_or_default()].concat()
}

/// The checksum of name and value together, so that a value under a wrong name is detected.
fn checksum(name: &[u8], value: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(name);
    hasher.update(value);
    hasher.finalize().to_le_bytes()
}

/// Encodes a value with its checksum in front.
fn seal<T: serde::Serialize>(name: &[u8], value: &T) -> Vec<u8> {
    let value = to_stdvec(value).unwrap_or_default();
    [&checksum(name, &value)[..], &value].concat()
}

/// Checks the checksum and decodes the value; `None` if either fails.
fn verify<T: serde::de::DeserializeOwned>(name: &[u8], bytes: &[u8]) -> Option<T> {
    let (expected, value) = bytes.split_at_checked(4)?;
    (expected == checksum(name, value)).then(|| from_bytes(value).ok()).flatten()
}

/// Decodes a row of the table of facts; `None` if its checksum or encoding is wrong.
fn decode_fact(name: &[u8], bytes: &[u8]) -> Option<(IncarnationKey, Key, StoredFact)> {
    let fact = verify(name, bytes)?;
    let (incarnation, key) = name.split_at_checked(24)?;
    let mut numbers = incarnation.chunks_exact(8).map(|n| n.try_into().map(u64::from_be_bytes).unwrap_or(0));
    let mut next = || numbers.next().unwrap_or(0);
    Some(((next(), (next(), next())), from_bytes(key).ok()?, fact))
}
