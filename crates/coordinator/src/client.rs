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

/// What a client is started with. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientParams {
    /// Between two heartbeats.
    pub heartbeat_every: f64,
    /// An answer that has not come after this is asked for again,
    pub answer_timeout: f64,
    /// and after this another coordinator is tried.
    pub failover_after: f64,
    /// Once all have been tried the next round begins after at most this, drawn from the seed.
    pub max_pause: f64,
    /// Own statements at most.
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

/// What a client makes known to its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// This version of the configuration is in force: the host is to act on it or refuse it.
    InForce(ConfigurationVersion),
    /// The newest that is known of a server; none: nobody tells of it any more.
    Server(SocketAddr, Option<ServerState>),
    /// The level that an operator has pinned; none: none is.
    Level(Option<u8>),
    /// A coordinator answers (true), or none does: the last state goes on holding.
    Connected(bool),
}

/// How a client stands.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientStatus {
    /// The coordinator that it follows, where that answers.
    pub coordinator: Option<NodeId>,
    /// Seconds since it was last level with a coordinator; none: it never was.
    pub age: Option<f64>,
    /// The configuration version that it knows to be in force.
    pub in_force: Option<ConfigurationVersion>,
    /// The one that it acts on.
    pub acts_on: VersionId,
    /// Statements of others that it holds.
    pub held: usize,
    /// Own statements that no coordinator has said to hold.
    pub unpublished: usize,
    /// Own statements that had no room.
    pub rejected_statements: u64,
}

/// What a client holds: the newest statement of anybody of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Slot {
    Server(SocketAddr),
    Level,
    Configuration,
}

impl Slot {
    /// None: no client holds statements of that kind.
    fn of(key: Key) -> Option<Slot> {
        match key {
            Key::Server(address) => Some(Slot::Server(address)),
            Key::Level => Some(Slot::Level),
            Key::Configuration => Some(Slot::Configuration),
            Key::Member | Key::Acknowledgement => None,
        }
    }
}

/// See the crate's documentation.
pub struct Client {
    params: ClientParams,
    own: NodeId,
    incarnation: Incarnation,
    /// The coordinators in the order in which they are tried, and which is followed now.
    coordinators: Vec<NodeId>,
    current: usize,
    follower: Follower,
    servers: BTreeSet<SocketAddr>,
    subscription_number: u64,
    subscribed: u64,
    held: BTreeMap<Slot, Statement>,
    /// What a snapshot that is under way has not named yet, and where that snapshot ends.
    unconfirmed: Option<(BTreeSet<Slot>, u64)>,
    /// Operators' words that a snapshot did not name: the coordinator lost them, and is given them back.
    to_return: Vec<Statement>,
    published: BTreeMap<Key, Statement>,
    sequence: u64,
    stored: u64,
    heartbeat: u64,
    next_heartbeat_at: f64,
    /// Since when an answer is awaited.
    asked_at: Option<f64>,
    tried: usize,
    is_connected: bool,
    in_force: Option<ConfigurationVersion>,
    acts_on: VersionId,
    rejected_statements: u64,
    rng: ChaCha8Rng,
    outgoing: VecDeque<Outgoing>,
    events: VecDeque<ClientEvent>,
}

impl Client {
    /// A client that holds nothing yet. `coordinators` are those of its region; which it begins with comes from the seed.
    pub fn new(
        params: ClientParams,
        own: NodeId,
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
            own,
            incarnation,
            coordinators,
            current: 0,
            follower: Follower::default(),
            servers: BTreeSet::new(),
            subscription_number: 1,
            subscribed: 0,
            held: BTreeMap::new(),
            unconfirmed: None,
            to_return: Vec::new(),
            published: BTreeMap::new(),
            sequence: 0,
            stored: 0,
            heartbeat: 0,
            next_heartbeat_at,
            asked_at: None,
            tried: 0,
            is_connected: false,
            in_force: None,
            acts_on: VersionId::default(),
            rejected_statements: 0,
            rng,
            outgoing: VecDeque::new(),
            events: VecDeque::new(),
        }
    }

    // ---- what the host says ----

    /// The servers that it wants to be told of; those past the bound are left out.
    pub fn subscribe(&mut self, now: f64, servers: impl IntoIterator<Item = SocketAddr>) {
        let servers: BTreeSet<SocketAddr> = servers.into_iter().take(MAX_SERVERS).collect();
        if servers == self.servers {
            return;
        }
        self.held.retain(|slot, _| !matches!(slot, Slot::Server(address) if !servers.contains(address)));
        self.servers = servers;
        self.subscription_number += 1;
        self.follower.begin_anew();
        self.next_heartbeat_at = now;
    }

    /// What its own list tells of a server; none: nothing any more.
    pub fn report_server(&mut self, now: f64, address: SocketAddr, state: Option<ServerState>) {
        self.publish(now, Key::Server(address), state.map(Value::Server));
    }

    /// An operator announces a configuration version at this front, for all.
    pub fn announce(&mut self, now: f64, number: u64, digest: u64) -> Result<VersionId, OutdatedVersion> {
        let replaces = self.in_force.map(|version| version.id).unwrap_or_default();
        OutdatedVersion::check(number, replaces)?;
        let id = VersionId { number, publisher: Some(self.own) };
        let version = ConfigurationVersion { id, digest, replaces };
        self.publish(now, Key::Configuration, Some(Value::Configuration(version)));
        self.heed_configuration(version);
        Ok(id)
    }

    /// The host acts on the version in force.
    pub fn accept_version(&mut self, now: f64) {
        let Some(version) = self.in_force else { return };
        self.acts_on = version.id;
        self.acknowledge(now, Acknowledgement::ActsOn(version.id));
    }

    /// The host refuses the version in force, and goes on with the one that it acts on.
    pub fn refuse_version(&mut self, now: f64, reason: &str) {
        let Some(version) = self.in_force else { return };
        self.acknowledge(now, Acknowledgement::refused(version.id, self.acts_on, reason));
    }

    fn acknowledge(&mut self, now: f64, acknowledgement: Acknowledgement) {
        self.publish(now, Key::Acknowledgement, Some(Value::Acknowledgement(acknowledgement)));
    }

    /// It departs in order: its coordinator is told at once.
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
        self.published.insert(key, Statement { owner: self.own, key, version, value });
        // At once where a coordinator answers and nothing is awaited; else with the next heartbeat.
        if self.is_connected && self.asked_at.is_none() {
            self.next_heartbeat_at = now;
        }
    }

    fn unpublished(&self) -> impl Iterator<Item = &Statement> {
        self.published.values().filter(|statement| statement.version.sequence > self.stored)
    }

    // ---- what is heard ----

    /// A message of another node, told apart from a stranger by the codec.
    pub fn receive(&mut self, now: f64, from: NodeId, message: Message) {
        if self.coordinators.get(self.current) != Some(&from) {
            return;
        }
        match message {
            Message::Update(update) if update.client == self.incarnation => self.update_heard(now, update),
            Message::Update(_) => {}
            Message::Busy { retry_after } => self.busy_heard(now, retry_after),
            // Nobody is a client of a front.
            Message::Heartbeat(_) => {}
        }
    }

    fn busy_heard(&mut self, now: f64, retry_after: f64) {
        let wait = if retry_after.is_finite() { retry_after } else { self.params.max_pause };
        self.asked_at = None;
        self.next_heartbeat_at = now + wait.clamp(0.0, self.params.max_pause);
    }

    fn update_heard(&mut self, now: f64, update: Update) {
        self.asked_at = None;
        self.tried = 0;
        if !std::mem::replace(&mut self.is_connected, true) {
            self.events.push_back(ClientEvent::Connected(true));
        }
        self.stored = self.stored.max(update.published);
        self.subscribed = update.subscription_number;
        self.to_return.clear();
        let carries_news = !update.statements.is_empty() || update.continuity != Continuity::Delta;
        if self.follower.cursor().is_some_and(|cursor| cursor.coordinator != update.coordinator) {
            // Another process under that name: it is told what is held here, and says what differs.
            self.follower.begin_anew();
            self.unconfirmed = None;
            self.stored = 0;
            self.next_heartbeat_at = now;
        }
        let in_order = self.follower.take(now, update);
        let advances = !in_order.is_empty();
        in_order.into_iter().for_each(|update| self.take_up(update));
        if carries_news && advances {
            // Acknowledges it.
            self.send_heartbeat(false, false);
        }
        let is_unsubscribed = self.subscribed != self.subscription_number;
        if is_unsubscribed || self.unpublished().next().is_some() || !self.to_return.is_empty() {
            self.next_heartbeat_at = now;
        }
    }

    fn take_up(&mut self, update: Update) {
        if update.continuity == Continuity::SnapshotBegins {
            self.unconfirmed = Some((self.held.keys().copied().collect(), update.revision));
        }
        for statement in update.statements {
            self.hold(statement);
        }
        let ends = |until: u64| update.to >= until;
        if let Some((left, _)) = self.unconfirmed.take_if(|(_, until)| ends(*until)) {
            left.into_iter().for_each(|slot| self.settle_unnamed(slot));
        }
        if update.continuity == Continuity::Confirmed {
            self.unconfirmed = None;
        }
    }

    /// A snapshot did not name what is held: an operator's word is kept and given back, all else is gone.
    fn settle_unnamed(&mut self, slot: Slot) {
        match self.held.get(&slot) {
            Some(word) if word.key.is_operators() => self.to_return.push(word.clone()),
            _ => self.drop_slot(slot),
        }
    }

    fn hold(&mut self, statement: Statement) {
        let Some(slot) = Slot::of(statement.key) else { return };
        if let Some((left, _)) = &mut self.unconfirmed {
            left.remove(&slot);
        }
        if !statement.is_sound() || !self.is_subscribed(slot) {
            return;
        }
        let Some(value) = statement.value.clone() else { return self.drop_slot(slot) };
        let rank = |statement: &Statement| statement.value.as_ref()?.word_rank(statement.owner);
        if let Some(before) = self.held.get(&slot) {
            if rank(before) > rank(&statement) {
                // The coordinator lags behind what this client knows.
                self.to_return.push(before.clone());
                return;
            }
            if *before == statement {
                return;
            }
        }
        self.held.insert(slot, statement);
        match (slot, value) {
            (Slot::Server(address), Value::Server(state)) => {
                self.events.push_back(ClientEvent::Server(address, Some(state)));
            }
            (_, Value::Level(pin)) => self.events.push_back(ClientEvent::Level(pin.level)),
            (_, Value::Configuration(version)) => self.heed_configuration(version),
            _ => {}
        }
    }

    fn is_subscribed(&self, slot: Slot) -> bool {
        match slot {
            Slot::Server(address) => self.servers.contains(&address),
            Slot::Level | Slot::Configuration => true,
        }
    }

    fn drop_slot(&mut self, slot: Slot) {
        if self.held.remove(&slot).is_none() {
            return;
        }
        // A configuration version that was in force is never left for an older one: nothing to tell of it.
        match slot {
            Slot::Server(address) => self.events.push_back(ClientEvent::Server(address, None)),
            Slot::Level => self.events.push_back(ClientEvent::Level(None)),
            Slot::Configuration => {}
        }
    }

    fn heed_configuration(&mut self, version: ConfigurationVersion) {
        if self.in_force.is_none_or(|in_force| version.id > in_force.id) {
            self.in_force = Some(version);
            self.events.push_back(ClientEvent::InForce(version));
        }
    }

    // ---- time ----

    /// When [`Client::poll`] is due.
    pub fn wake_at(&self) -> f64 {
        let awaited = self.asked_at.map_or(f64::INFINITY, |at| at + self.params.failover_after);
        self.next_heartbeat_at.min(awaited)
    }

    /// Deals with what is due.
    pub fn poll(&mut self, now: f64) {
        if self.asked_at.is_some_and(|at| now - at >= self.params.failover_after) {
            self.try_next(now);
        }
        if now < self.next_heartbeat_at {
            return;
        }
        self.heartbeat += 1;
        // An answer that does not come is asked for again sooner than the next heartbeat would.
        let asks_again = self.asked_at.is_some() || self.unpublished().next().is_some();
        let after = if asks_again { self.params.answer_timeout } else { self.params.heartbeat_every };
        self.next_heartbeat_at = now + after;
        self.asked_at.get_or_insert(now);
        self.send_heartbeat(true, false);
    }

    /// The coordinator that is followed does not answer.
    fn try_next(&mut self, now: f64) {
        if std::mem::replace(&mut self.is_connected, false) {
            self.events.push_back(ClientEvent::Connected(false));
        }
        self.asked_at = None;
        self.follower.begin_anew();
        self.unconfirmed = None;
        self.subscribed = 0;
        // Another one may not hold what this one did.
        self.stored = 0;
        self.current = (self.current + 1) % self.coordinators.len().max(1);
        self.tried += 1;
        let pause = match self.tried >= self.coordinators.len() {
            true => self.params.max_pause,
            // Those of one coordinator come to the others spread over a moment.
            false => self.params.answer_timeout,
        };
        self.next_heartbeat_at = now + pause * self.rng.random::<f64>();
    }

    fn send_heartbeat(&mut self, wants_answer: bool, is_leaving: bool) {
        let Some(to) = self.coordinators.get(self.current).copied() else { return };
        let cursor = self.follower.cursor();
        let mut publish: Vec<Statement> = self.unpublished().cloned().collect();
        publish.sort_by_key(|statement| statement.version.sequence);
        publish.extend(self.to_return.iter().cloned());
        publish.truncate(MAX_PUBLISHED);
        // Whether anybody is there is asked in few bytes: all else follows the first answer.
        if !self.is_connected {
            publish.clear();
        }
        let is_unknown = self.is_connected && self.subscribed != self.subscription_number;
        let servers = || Subscription { servers: self.servers.iter().copied().collect() };
        let heartbeat = Heartbeat {
            incarnation: self.incarnation,
            number: self.heartbeat,
            cursor,
            digest: cursor.is_none().then(|| self.digest()),
            subscription_number: self.subscription_number,
            subscription: is_unknown.then(servers),
            publish: if wants_answer { publish } else { Vec::new() },
            wants_answer,
            is_leaving,
        };
        self.outgoing.push_back(Outgoing { to, message: Message::Heartbeat(heartbeat) });
    }

    fn digest(&self) -> u64 {
        self.held.values().fold(0, |digest, statement| digest ^ fingerprint(statement))
    }

    // ---- what the host takes ----

    /// Its process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The next message to send.
    pub fn next_outgoing(&mut self) -> Option<Outgoing> {
        self.outgoing.pop_front()
    }

    /// The next thing that became known.
    pub fn next_event(&mut self) -> Option<ClientEvent> {
        self.events.pop_front()
    }

    /// How it stands.
    pub fn status(&self, now: f64) -> ClientStatus {
        ClientStatus {
            coordinator: self.coordinators.get(self.current).copied().filter(|_| self.is_connected),
            age: self.follower.level_at.map(|at| now - at),
            in_force: self.in_force,
            acts_on: self.acts_on,
            held: self.held.len(),
            unpublished: self.unpublished().count(),
            rejected_statements: self.rejected_statements,
        }
    }

    /// The newest that is known of a server.
    pub fn server(&self, address: SocketAddr) -> Option<ServerState> {
        match self.held.get(&Slot::Server(address))?.value {
            Some(Value::Server(state)) => Some(state),
            _ => None,
        }
    }
}
