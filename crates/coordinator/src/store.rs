//! The statements of a coordinator, numbered by its own revisions.

use crate::configuration::{is_conflicting, ConfigurationVersion};
use crate::statement::{
    Incarnation, Key, MemberState, NodeId, OperatorRank, ServerState, Statement, Value, Version,
};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;

/// Maximum number of statements examined for one page of changes.
const MAX_SCANNED: usize = 4096;

/// Result of applying a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It was newer than the stored one and has replaced it.
    Newer,
    /// The same or a newer one was already stored.
    Known,
    /// The store has reached its maximum number of statements.
    Full,
    /// Its value doesn't match its key.
    Invalid,
}

/// Which statements a client receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Filter {
    /// For a replica that receives a snapshot: all that a replica needs, from whatever source.
    Everything,
    /// For a replica that receives deltas: statements that reached this coordinator directly.
    Direct,
    /// For a front.
    Servers(BTreeSet<SocketAddr>),
}

/// Changes after a revision, as many as fit.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Page {
    /// All changes up to this revision have been examined.
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

/// From whom a statement was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A client with a session here, or this coordinator itself: other replicas receive it from this one.
    Direct,
    /// Another replica.
    Replica,
}

/// Statements by owner and key. Deletions are retained for a time, so that no older statement comes back.
pub struct Store {
    entries: BTreeMap<(NodeId, Key), Entry>,
    by_revision: BTreeMap<u64, (NodeId, Key)>,
    /// Owners of statements about a server.
    owners: BTreeMap<SocketAddr, BTreeSet<NodeId>>,
    /// The owner of the newest statement about a server, which is the one that clients receive.
    leaders: BTreeMap<SocketAddr, NodeId>,
    /// The owner of the newest operator's statement of each kind, which is the one that clients receive.
    newest_operator_owners: BTreeMap<Key, NodeId>,
    revision: u64,
    /// The cached replica digest, and the revision for which it was computed (revision, digest).
    replica_digest: (u64, u64),
    /// Deletions up to this revision may have been purged.
    floor: u64,
    max_statements: usize,
}

impl Store {
    /// An empty store for at most `max_statements` statements.
    pub fn new(max_statements: usize) -> Store {
        Store {
            entries: BTreeMap::new(),
            by_revision: BTreeMap::new(),
            owners: BTreeMap::new(),
            leaders: BTreeMap::new(),
            newest_operator_owners: BTreeMap::new(),
            revision: 0,
            replica_digest: (0, 0),
            floor: 0,
            max_statements,
        }
    }

    /// Number of changes of this store.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn floor(&self) -> u64 {
        self.floor
    }

    /// Number of statements and retained deletions.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the store is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Stores a statement if it is newer than the stored one under its key.
    pub fn apply(&mut self, now: f64, statement: Statement, source: Source) -> Applied {
        if !statement.is_valid() {
            return Applied::Invalid;
        }
        let (owner, key, version) = (statement.owner, statement.key, statement.version);
        let entry_key = (owner, key);
        let stored = self.entries.get(&entry_key);
        let is_known = match statement.value.as_ref().and_then(|value| value.operator_rank(owner)) {
            // An operator's statement is ranked by its number, whichever process of its publisher made it.
            Some(rank) => self.operator_rank(owner, key) >= Some(rank),
            None => stored.is_some_and(|entry| entry.version >= version),
        };
        if is_known || self.is_of_ended_process(owner, key, version) {
            if source == Source::Direct {
                self.adopt(entry_key, version);
            }
            return Applied::Known;
        }
        if stored.is_none() && self.entries.len() >= self.max_statements {
            return Applied::Full;
        }
        self.put(now, entry_key, version, statement.value, source);
        if key == Key::Member {
            self.delete_statements_of_earlier_processes(now, owner, version.incarnation);
        }
        Applied::Newer
    }

    /// Marks a stored statement as received directly: its client repeats here what it had sent to another
    /// coordinator, which may have failed before it had sent the statement to all replicas.
    fn adopt(&mut self, entry_key: (NodeId, Key), version: Version) {
        let Some(entry) = self.entries.get_mut(&entry_key) else { return };
        if entry.version == version && entry.source == Source::Replica {
            entry.source = Source::Direct;
            self.assign_new_revision(entry_key);
        }
    }

    /// Whether a statement is of a process that has ended: a node that does not know its successor yet may
    /// still forward such a statement.
    fn is_of_ended_process(&self, owner: NodeId, key: Key, version: Version) -> bool {
        let current = self.entries.get(&(owner, Key::Member)).map(|entry| entry.version.incarnation);
        !key.outlives_process() && current.is_some_and(|current| version.incarnation < current)
    }

    /// Deletes the statements of the owner's earlier processes, except operators' statements.
    fn delete_statements_of_earlier_processes(&mut self, now: f64, owner: NodeId, incarnation: Incarnation) {
        let of_owner = self.entries.range((owner, Key::Member)..=(owner, Key::Acknowledgement));
        let ended: Vec<Key> = of_owner
            .filter(|((_, key), entry)| {
                !key.outlives_process() && entry.value.is_some() && entry.version.incarnation < incarnation
            })
            .map(|((_, key), _)| *key)
            .collect();
        for key in ended {
            // Every replica does the same when it receives the statement about the new process.
            let version = Version { incarnation, sequence: 0 };
            self.put(now, (owner, key), version, None, Source::Replica);
        }
    }

    fn put(
        &mut self,
        now: f64,
        entry_key: (NodeId, Key),
        version: Version,
        value: Option<Value>,
        source: Source,
    ) {
        self.revision += 1;
        let entry = Entry { version, value, revision: self.revision, changed_at: now, source };
        if let Some(before) = self.entries.insert(entry_key, entry) {
            self.by_revision.remove(&before.revision);
        }
        self.by_revision.insert(self.revision, entry_key);
        if let Key::Server(address) = entry_key.1 {
            self.owners.entry(address).or_default().insert(entry_key.0);
            self.choose_leader(address);
        }
        if entry_key.1.is_from_operator() {
            self.choose_newest_operator_statement(entry_key);
        }
    }

    fn operator_rank(&self, owner: NodeId, key: Key) -> Option<OperatorRank> {
        self.value(owner, key).and_then(|value| value.operator_rank(owner))
    }

    fn choose_newest_operator_statement(&mut self, (owner, key): (NodeId, Key)) {
        let newest =
            self.newest_operator_owners.get(&key).and_then(|newest| self.operator_rank(*newest, key));
        if self.operator_rank(owner, key) >= newest {
            self.newest_operator_owners.insert(key, owner);
        }
    }

    fn server_state(&self, address: SocketAddr, owner: NodeId) -> Option<ServerState> {
        match self.entries.get(&(owner, Key::Server(address)))?.value {
            Some(Value::Server(state)) => Some(state),
            _ => None,
        }
    }

    /// Chooses whose statement about a server clients receive: the latest state of the latest incarnation.
    /// The previous choice stays while no other owner's state is newer.
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
        self.assign_new_revision((owner, Key::Server(address)));
    }

    /// Gives a statement a new revision, so that clients receive it again.
    fn assign_new_revision(&mut self, entry_key: (NodeId, Key)) {
        let Some(entry) = self.entries.get_mut(&entry_key) else { return };
        if entry.revision == self.revision {
            return;
        }
        self.by_revision.remove(&entry.revision);
        self.revision += 1;
        entry.revision = self.revision;
        self.by_revision.insert(self.revision, entry_key);
    }

    /// Removes deletions from before that time.
    pub fn purge_deletions(&mut self, before: f64) {
        let is_expired = |entry: &Entry| entry.value.is_none() && entry.changed_at < before;
        let entry_keys: Vec<(NodeId, Key)> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_expired(entry))
            .map(|(entry_key, _)| *entry_key)
            .collect();
        for entry_key in entry_keys {
            let Some(entry) = self.entries.remove(&entry_key) else { continue };
            self.by_revision.remove(&entry.revision);
            self.floor = self.floor.max(entry.revision);
            if let Key::Server(address) = entry_key.1 {
                self.remove_owner(address, entry_key.0);
            }
        }
    }

    fn remove_owner(&mut self, address: SocketAddr, owner: NodeId) {
        let Some(owners) = self.owners.get_mut(&address) else { return };
        owners.remove(&owner);
        if owners.is_empty() {
            self.owners.remove(&address);
        }
    }

    /// Whether a client with this filter receives the statement.
    fn passes(&self, filter: &Filter, entry_key: &(NodeId, Key), entry: &Entry) -> bool {
        match filter {
            Filter::Everything => self.is_needed_by_replicas(entry_key, entry),
            Filter::Direct => entry.source == Source::Direct && self.is_needed_by_replicas(entry_key, entry),
            Filter::Servers(servers) => self.is_sent_to_front(servers, entry_key, entry),
        }
    }

    /// Of several fronts' statements about one server, a replica needs only the newest.
    fn is_needed_by_replicas(&self, entry_key: &(NodeId, Key), entry: &Entry) -> bool {
        match entry_key.1 {
            Key::Server(address) => entry.value.is_none() || self.leaders.get(&address) == Some(&entry_key.0),
            _ => true,
        }
    }

    fn is_sent_to_front(
        &self,
        servers: &BTreeSet<SocketAddr>,
        entry_key: &(NodeId, Key),
        entry: &Entry,
    ) -> bool {
        match entry_key.1 {
            Key::Level | Key::Configuration => {
                self.newest_operator_owners.get(&entry_key.1) == Some(&entry_key.0)
            }
            Key::Member | Key::Acknowledgement => false,
            Key::Server(address) if servers.contains(&address) => match self.leaders.get(&address) {
                Some(leader) => *leader == entry_key.0,
                None => entry.value.is_none(),
            },
            Key::Server(_) => false,
        }
    }

    /// Changes after a revision that pass the filter: at most `bytes`, but at least one statement.
    pub(crate) fn changes_after(&self, revision: u64, filter: &Filter, bytes: usize) -> Page {
        let mut page = Page { to: revision, statements: Vec::new() };
        let mut available = bytes;
        for (number, entry_key) in self.by_revision.range(revision + 1..).take(MAX_SCANNED) {
            let entry = &self.entries[entry_key];
            if self.passes(filter, entry_key, entry) {
                let statement = statement(entry_key, entry);
                let size = statement.size();
                if size > available && !page.statements.is_empty() {
                    return page;
                }
                available = available.saturating_sub(size);
                page.statements.push(statement);
            }
            page.to = *number;
        }
        if self.by_revision.range(page.to + 1..).next().is_none() {
            page.to = self.revision;
        }
        page
    }

    /// An order-independent hash over the live statements that pass the filter.
    pub(crate) fn digest(&self, filter: &Filter) -> u64 {
        let live = self.entries.iter().filter(|(_, entry)| entry.value.is_some());
        let passing = live.filter(|(entry_key, entry)| self.passes(filter, entry_key, entry));
        passing.fold(0, |digest, (entry_key, entry)| digest ^ fingerprint(&statement(entry_key, entry)))
    }

    /// Equal at replicas with equal content, whichever older statements about servers they have besides the
    /// newest ones. Acknowledgements are left out: they change so often that the digests would rarely be
    /// equal, and fronts repeat them.
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
        let others =
            live.filter(|(entry_key, _)| !matches!(entry_key.1, Key::Server(_) | Key::Acknowledgement));
        let of_others = others.map(|(entry_key, entry)| fingerprint(&statement(entry_key, entry)));
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

    /// The highest sequence stored among the own statements of an owner's process.
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

    /// The process and the sequence of the last statement about a member.
    pub(crate) fn member_version(&self, member: NodeId) -> Option<Version> {
        self.entries.get(&(member, Key::Member)).map(|entry| entry.version)
    }

    /// The state of a member.
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

    /// The configuration version in force: the highest one announced anywhere.
    pub fn in_force(&self) -> Option<ConfigurationVersion> {
        self.configurations().max_by_key(|version| version.id).copied()
    }

    /// Versions whose publishers did not know of the one in force, and which were overruled by it.
    pub fn conflicting_versions(&self) -> Vec<ConfigurationVersion> {
        let Some(in_force) = self.in_force() else { return Vec::new() };
        self.configurations().filter(|version| is_conflicting(version, &in_force)).copied().collect()
    }
}

fn statement(entry_key: &(NodeId, Key), entry: &Entry) -> Statement {
    Statement { owner: entry_key.0, key: entry_key.1, version: entry.version, value: entry.value.clone() }
}

/// A hash of a statement that is the same in every process.
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
