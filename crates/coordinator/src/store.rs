//! The statements that a coordinator holds, numbered by its own revisions.

use crate::configuration::{is_lost, ConfigurationVersion};
use crate::statement::{
    Incarnation, Key, MemberState, NodeId, ServerState, Statement, Value, Version, WordRank,
};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Statements looked at for one page of changes at most.
const MOST_SCANNED: usize = 4096;

/// What became of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is newer than what was held, and is held now.
    Newer,
    /// The same or a newer one was held.
    Known,
    /// There is no room for another statement.
    Full,
    /// Its value does not fit its key.
    Invalid,
}

/// Which statements a client is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Filter {
    /// For a replica that begins: all that it needs, wherever it came from.
    Everything,
    /// For a replica that has begun: what came from here.
    Direct,
    /// For a front.
    Servers(BTreeSet<SocketAddr>),
}

/// Changes after some revision, as many as have room.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Page {
    /// All changes up to this revision have been looked at.
    pub to: u64,
    pub statements: Vec<Statement>,
}

struct Entry {
    version: Version,
    value: Option<Value>,
    revision: u64,
    changed_at: f64,
    source: Source,
}

/// From whom a statement came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A client's session here, or this coordinator itself: other replicas have it from here.
    Direct,
    /// Another replica.
    Replica,
}

/// Statements by owner and key. Deletions are held for a time, so that no older statement comes back.
pub struct Store {
    entries: BTreeMap<(NodeId, Key), Entry>,
    by_revision: BTreeMap<u64, (NodeId, Key)>,
    /// Owners of statements about a server.
    owners: BTreeMap<SocketAddr, BTreeSet<NodeId>>,
    /// The owner of the newest statement about a server: the one that clients are told.
    leaders: BTreeMap<SocketAddr, NodeId>,
    /// The owner of the newest operator's word of each kind: the one that clients are told.
    newest_words: BTreeMap<Key, NodeId>,
    revision: u64,
    /// The digest of a replica, and the revision that it is of.
    replica_digest: (u64, u64),
    /// Deletions up to this revision may have been forgotten.
    floor: u64,
    most: usize,
}

impl Store {
    /// An empty store of at most so many statements.
    pub fn new(most: usize) -> Store {
        Store {
            entries: BTreeMap::new(),
            by_revision: BTreeMap::new(),
            owners: BTreeMap::new(),
            leaders: BTreeMap::new(),
            newest_words: BTreeMap::new(),
            revision: 0,
            replica_digest: (0, 0),
            floor: 0,
            most,
        }
    }

    /// Counts the changes of this store.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn floor(&self) -> u64 {
        self.floor
    }

    /// Statements and remembered deletions held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes a statement up where it is newer than what is held under its key.
    pub fn apply(&mut self, now: f64, statement: Statement, source: Source) -> Applied {
        if !statement.is_sound() {
            return Applied::Invalid;
        }
        let (owner, key, version) = (statement.owner, statement.key, statement.version);
        let place = (owner, key);
        let held = self.entries.get(&place);
        let is_known = match statement.value.as_ref().and_then(|value| value.word_rank(owner)) {
            // What an operator said counts by its number, whichever process of its publisher said it.
            Some(rank) => self.word_rank(owner, key) >= Some(rank),
            None => held.is_some_and(|entry| entry.version >= version),
        };
        if is_known || self.is_of_ended_process(owner, key, version) {
            if source == Source::Direct {
                self.take_over(place, version);
            }
            return Applied::Known;
        }
        if held.is_none() && self.entries.len() >= self.most {
            return Applied::Full;
        }
        self.put(now, place, version, statement.value, source);
        if key == Key::Member {
            self.end_processes_before(now, owner, version.incarnation);
        }
        Applied::Newer
    }

    /// A client says here what it had said to another coordinator, which may have died before it told all replicas.
    fn take_over(&mut self, place: (NodeId, Key), version: Version) {
        let Some(entry) = self.entries.get_mut(&place) else { return };
        if entry.version == version && entry.source == Source::Replica {
            entry.source = Source::Direct;
            self.renumber(place);
        }
    }

    /// Guards against words of a process that has ended, told on by somebody who has not heard of its successor.
    fn is_of_ended_process(&self, owner: NodeId, key: Key, version: Version) -> bool {
        let current = self.entries.get(&(owner, Key::Member)).map(|entry| entry.version.incarnation);
        !key.outlives_process() && current.is_some_and(|current| version.incarnation < current)
    }

    /// Deletes what processes of that owner before this one had said, operators' words apart.
    fn end_processes_before(&mut self, now: f64, owner: NodeId, incarnation: Incarnation) {
        let of_owner = self.entries.range((owner, Key::Member)..=(owner, Key::Acknowledgement));
        let ended: Vec<Key> = of_owner
            .filter(|((_, key), entry)| {
                !key.outlives_process() && entry.value.is_some() && entry.version.incarnation < incarnation
            })
            .map(|((_, key), _)| *key)
            .collect();
        for key in ended {
            // Every replica does the same when it hears of the new process.
            let version = Version { incarnation, sequence: 0 };
            self.put(now, (owner, key), version, None, Source::Replica);
        }
    }

    fn put(
        &mut self,
        now: f64,
        place: (NodeId, Key),
        version: Version,
        value: Option<Value>,
        source: Source,
    ) {
        self.revision += 1;
        let entry = Entry { version, value, revision: self.revision, changed_at: now, source };
        if let Some(before) = self.entries.insert(place, entry) {
            self.by_revision.remove(&before.revision);
        }
        self.by_revision.insert(self.revision, place);
        if let Key::Server(address) = place.1 {
            self.owners.entry(address).or_default().insert(place.0);
            self.choose_leader(address);
        }
        if place.1.is_operators() {
            self.choose_newest_word(place);
        }
    }

    fn word_rank(&self, owner: NodeId, key: Key) -> Option<WordRank> {
        self.value(owner, key).and_then(|value| value.word_rank(owner))
    }

    fn choose_newest_word(&mut self, (owner, key): (NodeId, Key)) {
        let newest = self.newest_words.get(&key).and_then(|newest| self.word_rank(*newest, key));
        if self.word_rank(owner, key) >= newest {
            self.newest_words.insert(key, owner);
        }
    }

    fn server_state(&self, address: SocketAddr, owner: NodeId) -> Option<ServerState> {
        match self.entries.get(&(owner, Key::Server(address)))?.value {
            Some(Value::Server(state)) => Some(state),
            _ => None,
        }
    }

    /// Chooses whose statement about a server clients are told: the newest start's latest state. The one chosen
    /// before stays while nobody's is newer.
    fn choose_leader(&mut self, address: SocketAddr) {
        let owners = self.owners.get(&address).into_iter().flatten();
        let newest = owners.filter_map(|owner| Some((self.server_state(address, *owner)?, *owner))).max();
        let before = self.leaders.get(&address).copied();
        let Some((state, owner)) = newest else {
            self.leaders.remove(&address);
            return;
        };
        let stays = before.is_some_and(|before| self.server_state(address, before) == Some(state));
        if stays || before == Some(owner) {
            return;
        }
        self.leaders.insert(address, owner);
        self.renumber((owner, Key::Server(address)));
    }

    /// Gives a statement a revision of now: clients are told it anew.
    fn renumber(&mut self, place: (NodeId, Key)) {
        let Some(entry) = self.entries.get_mut(&place) else { return };
        if entry.revision == self.revision {
            return;
        }
        self.by_revision.remove(&entry.revision);
        self.revision += 1;
        entry.revision = self.revision;
        self.by_revision.insert(self.revision, place);
    }

    /// Forgets deletions of before that time.
    pub fn forget_deletions(&mut self, before: f64) {
        let old = |entry: &Entry| entry.value.is_none() && entry.changed_at < before;
        let places: Vec<(NodeId, Key)> =
            self.entries.iter().filter(|(_, entry)| old(entry)).map(|(place, _)| *place).collect();
        for place in places {
            let Some(entry) = self.entries.remove(&place) else { continue };
            self.by_revision.remove(&entry.revision);
            self.floor = self.floor.max(entry.revision);
            if let Key::Server(address) = place.1 {
                self.forget_owner(address, place.0);
            }
        }
    }

    fn forget_owner(&mut self, address: SocketAddr, owner: NodeId) {
        let Some(owners) = self.owners.get_mut(&address) else { return };
        owners.remove(&owner);
        if owners.is_empty() {
            self.owners.remove(&address);
        }
    }

    fn is_told(&self, filter: &Filter, place: &(NodeId, Key), entry: &Entry) -> bool {
        match filter {
            Filter::Everything => self.is_of_use_to_replicas(place, entry),
            Filter::Direct => entry.source == Source::Direct && self.is_of_use_to_replicas(place, entry),
            Filter::Servers(servers) => self.is_told_to_fronts(servers, place, entry),
        }
    }

    /// Of what many fronts tell of one server a replica needs the newest alone.
    fn is_of_use_to_replicas(&self, place: &(NodeId, Key), entry: &Entry) -> bool {
        match place.1 {
            Key::Server(address) => entry.value.is_none() || self.leaders.get(&address) == Some(&place.0),
            _ => true,
        }
    }

    fn is_told_to_fronts(
        &self,
        servers: &BTreeSet<SocketAddr>,
        place: &(NodeId, Key),
        entry: &Entry,
    ) -> bool {
        match place.1 {
            Key::Level | Key::Configuration => self.newest_words.get(&place.1) == Some(&place.0),
            Key::Member | Key::Acknowledgement => false,
            Key::Server(address) if servers.contains(&address) => match self.leaders.get(&address) {
                Some(leader) => *leader == place.0,
                None => entry.value.is_none(),
            },
            Key::Server(_) => false,
        }
    }

    /// Changes after a revision that pass the filter, so many bytes at most but one statement at least.
    pub(crate) fn changes_after(&self, revision: u64, filter: &Filter, bytes: usize) -> Page {
        let mut page = Page { to: revision, statements: Vec::new() };
        let mut left = bytes;
        for (number, place) in self.by_revision.range(revision + 1..).take(MOST_SCANNED) {
            let entry = &self.entries[place];
            if self.is_told(filter, place, entry) {
                let statement = statement(place, entry);
                let size = statement.size();
                if size > left && !page.statements.is_empty() {
                    return page;
                }
                left = left.saturating_sub(size);
                page.statements.push(statement);
            }
            page.to = *number;
        }
        if self.by_revision.range(page.to + 1..).next().is_none() {
            page.to = self.revision;
        }
        page
    }

    /// A hash over the live statements that pass the filter, whatever their order.
    pub(crate) fn digest(&self, filter: &Filter) -> u64 {
        let live = self.entries.iter().filter(|(_, entry)| entry.value.is_some());
        let told = live.filter(|(place, entry)| self.is_told(filter, place, entry));
        told.fold(0, |digest, (place, entry)| digest ^ fingerprint(&statement(place, entry)))
    }

    /// Equal at replicas that hold the same, whatever words on servers they hold beside the newest. Acknowledgements are
    /// left out: they change so often that replicas would seldom be equal, and their fronts say them again.
    pub(crate) fn replica_digest(&mut self) -> u64 {
        let (revision, digest) = self.replica_digest;
        if revision == self.revision {
            return digest;
        }
        let of_servers = self
            .leaders
            .iter()
            .filter_map(|(address, leader)| Some(hash_of(&(address, self.server_state(*address, *leader)?))));
        let live = self.entries.iter().filter(|(_, entry)| entry.value.is_some());
        let others = live.filter(|(place, _)| !matches!(place.1, Key::Server(_) | Key::Acknowledgement));
        let of_others = others.map(|(place, entry)| fingerprint(&statement(place, entry)));
        let digest = of_servers.chain(of_others).fold(0, |digest, hash| digest ^ hash);
        self.replica_digest = (self.revision, digest);
        digest
    }

    /// The live value under an owner's key.
    pub fn value(&self, owner: NodeId, key: Key) -> Option<&Value> {
        self.entries.get(&(owner, key))?.value.as_ref()
    }

    /// All live statements: owner, key, value.
    pub fn live(&self) -> impl Iterator<Item = (NodeId, Key, &Value)> {
        self.entries.iter().filter_map(|((owner, key), entry)| Some((*owner, *key, entry.value.as_ref()?)))
    }

    /// The highest sequence of an owner's process that is held, of its own statements.
    pub(crate) fn sequence_of(&self, owner: NodeId, incarnation: Incarnation) -> u64 {
        let own = self.entries.range((owner, Key::Member)..=(owner, Key::Acknowledgement));
        let numbered =
            own.filter(|((_, key), entry)| *key != Key::Member && entry.version.incarnation == incarnation);
        numbered.map(|(_, entry)| entry.version.sequence).max().unwrap_or(0)
    }

    /// The owner's process that made a statement.
    pub fn incarnation_of(&self, owner: NodeId, key: Key) -> Option<Incarnation> {
        self.entries.get(&(owner, key)).map(|entry| entry.version.incarnation)
    }

    /// The process and the number under which a member was last told of.
    pub(crate) fn member_version(&self, member: NodeId) -> Option<Version> {
        self.entries.get(&(member, Key::Member)).map(|entry| entry.version)
    }

    /// How a member stands.
    pub fn member(&self, member: NodeId) -> Option<MemberState> {
        match self.value(member, Key::Member)? {
            Value::Member(state) => Some(*state),
            _ => None,
        }
    }

    fn configurations(&self) -> impl Iterator<Item = &ConfigurationVersion> {
        self.live().filter_map(|(_, _, value)| match value {
            Value::Configuration(version) => Some(version),
            _ => None,
        })
    }

    /// The configuration version in force: the highest that anybody announced.
    pub fn in_force(&self) -> Option<ConfigurationVersion> {
        self.configurations().max_by_key(|version| version.id).copied()
    }

    /// Versions that were announced by publishers that did not know of the one in force, and lost to it.
    pub fn lost(&self) -> Vec<ConfigurationVersion> {
        let Some(in_force) = self.in_force() else { return Vec::new() };
        self.configurations().filter(|version| is_lost(version, &in_force)).copied().collect()
    }
}

fn statement(place: &(NodeId, Key), entry: &Entry) -> Statement {
    Statement { owner: place.0, key: place.1, version: entry.version, value: entry.value.clone() }
}

/// A hash of a statement that does not depend on the process.
pub(crate) fn fingerprint(statement: &Statement) -> u64 {
    hash_of(statement)
}

/// FNV-1a.
fn hash_of(what: &impl Hash) -> u64 {
    struct Fnv(u64);
    impl Hasher for Fnv {
        fn finish(&self) -> u64 {
            self.0
        }
        fn write(&mut self, bytes: &[u8]) {
            const PRIME: u64 = 0x0100_0000_01b3;
            bytes.iter().for_each(|byte| self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME));
        }
    }
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    let mut hasher = Fnv(OFFSET_BASIS);
    what.hash(&mut hasher);
    hasher.finish()
}
