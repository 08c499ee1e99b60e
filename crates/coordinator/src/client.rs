//! A front as a client of the coordinators.

use crate::configuration::{Acknowledgement, ConfigurationVersion, OutdatedVersion, VersionId};
use crate::follower::Follower;
use crate::message::{Continuity, Heartbeat, Message, Subscription, Update, MAX_PUBLISHED, MAX_SERVERS};
use crate::statement::{Incarnation, Key, NodeId, ServerState, Statement, Value, Version};
use crate::store::fingerprint;
use crate::Outgoing;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Parameters of a client. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientParams {
    /// Interval between heartbeats.
    pub heartbeat_every: f64,
    /// A missing answer is requested again after this,
    pub answer_timeout: f64,
    /// and the client fails over to another coordinator after this.
    pub failover_after: f64,
    /// After all coordinators have failed, the next round starts after a random pause of at most this.
    pub max_pause: f64,
    /// Maximum number of own statements.
    pub max_published: usize,
}

impl Default for ClientParams {
    fn default() -> ClientParams {
        ClientParams {
            heartbeat_every: 1.0,
            answer_timeout: 0.4,
            failover_after: 2.0,
            max_pause: 2.0,
            max_published: 512,
        }
    }
}

/// An event for the client's host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// This configuration version is in force: the host must accept or refuse it.
    InForce(ConfigurationVersion),
    /// The newest state of a server; none if no front reports it any more.
    Server(SocketAddr, Option<ServerState>),
    /// The level that an operator has pinned; none if there is no pin.
    Level(Option<u8>),
    /// Whether a coordinator answers. While none does, the last state stays in use.
    Connected(bool),
}

/// Status of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientStatus {
    /// The coordinator that it follows; none while that one doesn't answer.
    pub coordinator: Option<NodeId>,
    /// Seconds since it last had all changes of a coordinator; none if it never had.
    pub age: Option<f64>,
    /// The configuration version that it knows to be in force.
    pub in_force: Option<ConfigurationVersion>,
    /// The configuration version that it uses.
    pub acts_on: VersionId,
    /// Number of other nodes' statements that it has.
    pub statements: usize,
    /// Number of own statements that no coordinator has acknowledged.
    pub unpublished: usize,
    /// Number of own statements dropped because the maximum was reached.
    pub rejected_statements: u64,
}

/// Key under which a client stores a statement: the newest of each kind, whoever owns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Slot {
    Server(SocketAddr),
    Level,
    Configuration,
}

impl Slot {
    /// None: clients do not store statements of that kind.
    fn of(key: Key) -> Option<Slot> {
        match key {
            Key::Server(address) => Some(Slot::Server(address)),
            Key::Level => Some(Slot::Level),
            Key::Configuration => Some(Slot::Configuration),
            Key::Member | Key::Acknowledgement => None,
        }
    }
}

/// A client of the coordinators; see the crate's documentation.
pub struct Client {
    params: ClientParams,
    own_id: NodeId,
    incarnation: Incarnation,
    /// The coordinators in failover order, and the index of the one that is followed now.
    coordinators: Vec<NodeId>,
    current: usize,
    follower: Follower,
    servers: BTreeSet<SocketAddr>,
    subscription_number: u64,
    acknowledged_subscription: u64,
    /// Other nodes' statements.
    statements: BTreeMap<Slot, Statement>,
    /// Slots that the snapshot in progress has not contained yet, and the revision at which it ends.
    pending_snapshot: Option<(BTreeSet<Slot>, u64)>,
    /// Operators' statements that a snapshot did not contain: the coordinator lost them, so they are
    /// published again.
    to_republish: Vec<Statement>,
    /// Own statements.
    published: BTreeMap<Key, Statement>,
    sequence: u64,
    acknowledged_sequence: u64,
    heartbeat_number: u64,
    next_heartbeat_at: f64,
    /// Since when an answer is awaited.
    awaiting_answer_since: Option<f64>,
    failed_attempts: usize,
    is_connected: bool,
    in_force: Option<ConfigurationVersion>,
    acts_on: VersionId,
    rejected_statements: u64,
    rng: ChaCha8Rng,
    outgoing: VecDeque<Outgoing>,
    events: VecDeque<ClientEvent>,
}

impl Client {
    /// Creates a client without any statements. `coordinators` are those of its region; the seed determines
    /// the first one.
    pub fn new(
        params: ClientParams,
        own_id: NodeId,
        incarnation: Incarnation,
        coordinators: &[NodeId],
        seed: u64,
        now: f64,
    ) -> Client {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut coordinators = coordinators.to_vec();
        coordinators.shuffle(&mut rng);
        let next_heartbeat_at = now + params.heartbeat_every * rng.random::<f64>();
        Client {
            params,
            own_id,
            incarnation,
            coordinators,
            current: 0,
            follower: Follower::default(),
            servers: BTreeSet::new(),
            subscription_number: 1,
            acknowledged_subscription: 0,
            statements: BTreeMap::new(),
            pending_snapshot: None,
            to_republish: Vec::new(),
            published: BTreeMap::new(),
            sequence: 0,
            acknowledged_sequence: 0,
            heartbeat_number: 0,
            next_heartbeat_at,
            awaiting_answer_since: None,
            failed_attempts: 0,
            is_connected: false,
            in_force: None,
            acts_on: VersionId::default(),
            rejected_statements: 0,
            rng,
            outgoing: VecDeque::new(),
            events: VecDeque::new(),
        }
    }

    // ---- input from the host ----

    /// Subscribes to statements about these servers; those over [`MAX_SERVERS`] are left out.
    pub fn subscribe(&mut self, now: f64, servers: impl IntoIterator<Item = SocketAddr>) {
        let servers: BTreeSet<SocketAddr> = servers.into_iter().take(MAX_SERVERS).collect();
        if servers == self.servers {
            return;
        }
        self.statements
            .retain(|slot, _| !matches!(slot, Slot::Server(address) if !servers.contains(address)));
        self.servers = servers;
        self.subscription_number += 1;
        self.follower.reset();
        self.next_heartbeat_at = now;
    }

    /// Publishes what the front's own list reports about a server; none if it no longer reports it.
    pub fn report_server(&mut self, now: f64, address: SocketAddr, state: Option<ServerState>) {
        self.publish(now, Key::Server(address), state.map(Value::Server));
    }

    /// Announces a configuration version for all fronts, on behalf of an operator at this front.
    pub fn announce(&mut self, now: f64, number: u64, digest: u64) -> Result<VersionId, OutdatedVersion> {
        let replaces = self.in_force.map(|version| version.id).unwrap_or_default();
        OutdatedVersion::check(number, replaces)?;
        let id = VersionId { number, publisher: Some(self.own_id) };
        let version = ConfigurationVersion { id, digest, replaces };
        self.publish(now, Key::Configuration, Some(Value::Configuration(version)));
        self.update_in_force(version);
        Ok(id)
    }

    /// Acknowledges that the host uses the version in force.
    pub fn accept_version(&mut self, now: f64) {
        let Some(version) = self.in_force else { return };
        self.acts_on = version.id;
        self.acknowledge(now, Acknowledgement::ActsOn(version.id));
    }

    /// Refuses the version in force; the host continues to use the previous one.
    pub fn refuse_version(&mut self, now: f64, reason: &str) {
        let Some(version) = self.in_force else { return };
        self.acknowledge(now, Acknowledgement::refused(version.id, self.acts_on, reason));
    }

    fn acknowledge(&mut self, now: f64, acknowledgement: Acknowledgement) {
        self.publish(now, Key::Acknowledgement, Some(Value::Acknowledgement(acknowledgement)));
    }

    /// Informs the coordinator at once that this front shuts down in an orderly way.
    pub fn leave(&mut self) {
        self.send_heartbeat(false, true);
    }

    fn publish(&mut self, now: f64, key: Key, value: Option<Value>) {
        if !self.published.contains_key(&key) && self.published.len() >= self.params.max_published {
            self.rejected_statements += 1;
            return;
        }
        self.sequence += 1;
        let version = Version { incarnation: self.incarnation, sequence: self.sequence };
        self.published.insert(key, Statement { owner: self.own_id, key, version, value });
        // At once if a coordinator answers and no answer is outstanding; otherwise with the next heartbeat.
        if self.is_connected && self.awaiting_answer_since.is_none() {
            self.next_heartbeat_at = now;
        }
    }

    fn unpublished(&self) -> impl Iterator<Item = &Statement> {
        self.published.values().filter(|statement| statement.version.sequence > self.acknowledged_sequence)
    }

    // ---- received messages ----

    /// Handles a message of another node; the codec has authenticated its sender.
    pub fn receive(&mut self, now: f64, from: NodeId, message: Message) {
        if self.coordinators.get(self.current) != Some(&from) {
            return;
        }
        match message {
            Message::Update(update) if update.client == self.incarnation => self.handle_update(now, update),
            Message::Update(_) => {}
            Message::Busy { retry_after } => self.handle_busy(now, retry_after),
            // Fronts have no clients.
            Message::Heartbeat(_) => {}
        }
    }

    fn handle_busy(&mut self, now: f64, retry_after: f64) {
        let wait = if retry_after.is_finite() { retry_after } else { self.params.max_pause };
        self.awaiting_answer_since = None;
        self.next_heartbeat_at = now + wait.clamp(0.0, self.params.max_pause);
    }

    fn handle_update(&mut self, now: f64, update: Update) {
        self.awaiting_answer_since = None;
        self.failed_attempts = 0;
        if !std::mem::replace(&mut self.is_connected, true) {
            self.events.push_back(ClientEvent::Connected(true));
        }
        self.acknowledged_sequence = self.acknowledged_sequence.max(update.published);
        self.acknowledged_subscription = update.subscription_number;
        self.to_republish.clear();
        let has_changes = !update.statements.is_empty() || update.continuity != Continuity::Delta;
        if self.follower.cursor().is_some_and(|cursor| cursor.coordinator != update.coordinator) {
            // The coordinator has restarted under the same id: send it the digest of the statements here, and
            // receive what differs.
            self.follower.reset();
            self.pending_snapshot = None;
            self.acknowledged_sequence = 0;
            self.next_heartbeat_at = now;
        }
        let in_order = self.follower.accept(now, update);
        let advances = !in_order.is_empty();
        in_order.into_iter().for_each(|update| self.apply_update(update));
        if has_changes && advances {
            // This heartbeat acknowledges the update.
            self.send_heartbeat(false, false);
        }
        let needs_subscription = self.acknowledged_subscription != self.subscription_number;
        if needs_subscription || self.unpublished().next().is_some() || !self.to_republish.is_empty() {
            self.next_heartbeat_at = now;
        }
    }

    fn apply_update(&mut self, update: Update) {
        if update.continuity == Continuity::SnapshotBegins {
            self.pending_snapshot = Some((self.statements.keys().copied().collect(), update.revision));
        }
        for statement in update.statements {
            self.apply_statement(statement);
        }
        let ends = |until: u64| update.to >= until;
        if let Some((unlisted, _)) = self.pending_snapshot.take_if(|(_, until)| ends(*until)) {
            unlisted.into_iter().for_each(|slot| self.handle_unlisted(slot));
        }
        if update.continuity == Continuity::Confirmed {
            self.pending_snapshot = None;
        }
    }

    /// Handles a statement that a snapshot did not contain: an operator's statement stays and is published
    /// again, any other is removed.
    fn handle_unlisted(&mut self, slot: Slot) {
        match self.statements.get(&slot) {
            Some(statement) if statement.key.is_from_operator() => self.to_republish.push(statement.clone()),
            _ => self.remove_slot(slot),
        }
    }

    fn apply_statement(&mut self, statement: Statement) {
        let Some(slot) = Slot::of(statement.key) else { return };
        if let Some((unlisted, _)) = &mut self.pending_snapshot {
            unlisted.remove(&slot);
        }
        if !statement.is_valid() || !self.is_subscribed(slot) {
            return;
        }
        let Some(value) = statement.value.clone() else { return self.remove_slot(slot) };
        let rank = |statement: &Statement| statement.value.as_ref()?.operator_rank(statement.owner);
        if let Some(before) = self.statements.get(&slot) {
            if rank(before) > rank(&statement) {
                // The coordinator's statement is older than this client's.
                self.to_republish.push(before.clone());
                return;
            }
            if *before == statement {
                return;
            }
        }
        self.statements.insert(slot, statement);
        match (slot, value) {
            (Slot::Server(address), Value::Server(state)) => {
                self.events.push_back(ClientEvent::Server(address, Some(state)));
            }
            (_, Value::Level(pin)) => self.events.push_back(ClientEvent::Level(pin.level)),
            (_, Value::Configuration(version)) => self.update_in_force(version),
            _ => {}
        }
    }

    fn is_subscribed(&self, slot: Slot) -> bool {
        match slot {
            Slot::Server(address) => self.servers.contains(&address),
            Slot::Level | Slot::Configuration => true,
        }
    }

    fn remove_slot(&mut self, slot: Slot) {
        if self.statements.remove(&slot).is_none() {
            return;
        }
        // A configuration version in force is never replaced by an older one, so there is no event for it.
        match slot {
            Slot::Server(address) => self.events.push_back(ClientEvent::Server(address, None)),
            Slot::Level => self.events.push_back(ClientEvent::Level(None)),
            Slot::Configuration => {}
        }
    }

    fn update_in_force(&mut self, version: ConfigurationVersion) {
        if self.in_force.is_none_or(|in_force| version.id > in_force.id) {
            self.in_force = Some(version);
            self.events.push_back(ClientEvent::InForce(version));
        }
    }

    // ---- time ----

    /// When [`Client::poll`] must be called.
    pub fn wake_at(&self) -> f64 {
        let awaited = self.awaiting_answer_since.map_or(f64::INFINITY, |at| at + self.params.failover_after);
        self.next_heartbeat_at.min(awaited)
    }

    /// Handles expired timers.
    pub fn poll(&mut self, now: f64) {
        if self.awaiting_answer_since.is_some_and(|at| now - at >= self.params.failover_after) {
            self.fail_over(now);
        }
        if now < self.next_heartbeat_at {
            return;
        }
        self.heartbeat_number += 1;
        // A missing answer is requested again earlier than the next regular heartbeat.
        let asks_again = self.awaiting_answer_since.is_some() || self.unpublished().next().is_some();
        let after = if asks_again { self.params.answer_timeout } else { self.params.heartbeat_every };
        self.next_heartbeat_at = now + after;
        self.awaiting_answer_since.get_or_insert(now);
        self.send_heartbeat(true, false);
    }

    /// Fails over to the next coordinator because the current one doesn't answer.
    fn fail_over(&mut self, now: f64) {
        if std::mem::replace(&mut self.is_connected, false) {
            self.events.push_back(ClientEvent::Connected(false));
        }
        self.awaiting_answer_since = None;
        self.follower.reset();
        self.pending_snapshot = None;
        self.acknowledged_subscription = 0;
        // The next coordinator may not have the statements that this one acknowledged.
        self.acknowledged_sequence = 0;
        self.current = (self.current + 1) % self.coordinators.len().max(1);
        self.failed_attempts += 1;
        let pause = match self.failed_attempts >= self.coordinators.len() {
            true => self.params.max_pause,
            // The clients of a failed coordinator reconnect to the others spread over a short time.
            false => self.params.answer_timeout,
        };
        self.next_heartbeat_at = now + pause * self.rng.random::<f64>();
    }

    fn send_heartbeat(&mut self, wants_answer: bool, is_leaving: bool) {
        let Some(to) = self.coordinators.get(self.current).copied() else { return };
        let cursor = self.follower.cursor();
        let mut publish: Vec<Statement> = self.unpublished().cloned().collect();
        publish.sort_by_key(|statement| statement.version.sequence);
        publish.extend(self.to_republish.iter().cloned());
        publish.truncate(MAX_PUBLISHED);
        // A coordinator is probed with a small heartbeat; the statements follow its first answer.
        if !self.is_connected {
            publish.clear();
        }
        let needs_subscription =
            self.is_connected && self.acknowledged_subscription != self.subscription_number;
        let servers = || Subscription { servers: self.servers.iter().copied().collect() };
        let heartbeat = Heartbeat {
            incarnation: self.incarnation,
            number: self.heartbeat_number,
            cursor,
            digest: cursor.is_none().then(|| self.digest()),
            subscription_number: self.subscription_number,
            subscription: needs_subscription.then(servers),
            publish: if wants_answer { publish } else { Vec::new() },
            wants_answer,
            is_leaving,
        };
        self.outgoing.push_back(Outgoing { to, message: Message::Heartbeat(heartbeat) });
    }

    fn digest(&self) -> u64 {
        self.statements.values().fold(0, |digest, statement| digest ^ fingerprint(statement))
    }

    // ---- output for the host ----

    /// Its own process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The next message to send.
    pub fn next_outgoing(&mut self) -> Option<Outgoing> {
        self.outgoing.pop_front()
    }

    /// The next event.
    pub fn next_event(&mut self) -> Option<ClientEvent> {
        self.events.pop_front()
    }

    /// Current status.
    pub fn status(&self, now: f64) -> ClientStatus {
        ClientStatus {
            coordinator: self.coordinators.get(self.current).copied().filter(|_| self.is_connected),
            age: self.follower.synced_at.map(|at| now - at),
            in_force: self.in_force,
            acts_on: self.acts_on,
            statements: self.statements.len(),
            unpublished: self.unpublished().count(),
            rejected_statements: self.rejected_statements,
        }
    }

    /// The newest known state of a server.
    pub fn server(&self, address: SocketAddr) -> Option<ServerState> {
        match self.statements.get(&Slot::Server(address))?.value {
            Some(Value::Server(state)) => Some(state),
            _ => None,
        }
    }
}
