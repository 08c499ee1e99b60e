//! One coordinator: sessions of its clients, and its following of the other coordinators.

use crate::configuration::{ConfigurationVersion, OutdatedVersion, VersionId};
use crate::follower::Follower;
use crate::message::{Heartbeat, Message, Update, MAX_PUBLISHED};
use crate::session::Session;
use crate::statement::{Incarnation, Key, LevelPin, MemberState, NodeId, Statement, Value, Version};
use crate::store::{Applied, Filter, Source, Store};
use crate::Outgoing;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

/// The number of the subscription of every coordinator at every other one.
const REPLICA_SUBSCRIPTION: u64 = 1;

/// What a coordinator is started with. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorParams {
    /// Between two heartbeats to another coordinator.
    pub heartbeat_every: f64,
    /// Without a heartbeat a client is suspected after this.
    pub suspect_after: f64,
    /// Changes are gathered for so long before clients are told.
    pub batch_delay: f64,
    /// An update that is not acknowledged goes out again after this.
    pub resend_after: f64,
    /// Deletions are remembered for so long.
    pub deletion_retention: f64,
    /// Two replicas that hold something else for so long are brought level by a snapshot.
    pub repair_after: f64,
    /// Sessions at most.
    pub max_sessions: usize,
    /// Statements and deletions held at most.
    pub max_statements: usize,
    /// Snapshots under way at once.
    pub max_snapshots: usize,
    /// Bytes of statements sent in a second at most.
    pub max_bytes_per_second: f64,
    /// Bytes of statements in one update to a front at most, and to another coordinator.
    pub update_bytes: usize,
    /// See `update_bytes`.
    pub replica_update_bytes: usize,
    /// A client that is turned away is told to come back after between once and twice this.
    pub retry_after: f64,
}

impl Default for CoordinatorParams {
    fn default() -> CoordinatorParams {
        CoordinatorParams {
            heartbeat_every: 0.5,
            suspect_after: 4.0,
            batch_delay: 0.05,
            resend_after: 0.3,
            deletion_retention: 86_400.0,
            repair_after: 3.0,
            max_sessions: 1024,
            max_statements: 200_000,
            max_snapshots: 16,
            max_bytes_per_second: 1e6,
            update_bytes: 1100,
            replica_update_bytes: 8000,
            retry_after: 0.25,
        }
    }
}

/// What a coordinator tells its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoordinatorEvent {
    /// These clients stopped their heartbeats, found in one look.
    Suspected(Vec<NodeId>),
    /// More than half of the clients are quiet (true): nobody is suspected, for the coordinator may be cut off itself.
    Isolated(bool),
    /// Another version of the configuration is in force.
    InForce(ConfigurationVersion),
}

/// What has been counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Updates sent, and the bytes of statements in them.
    pub updates: u64,
    /// See `updates`.
    pub statement_bytes: u64,
    /// Snapshots begun.
    pub snapshots: u64,
    /// Clients that held just what a snapshot would have told.
    pub confirmed: u64,
    /// Clients turned away for want of room.
    pub turned_away: u64,
    /// Updates sent again for want of an acknowledgement.
    pub resent: u64,
    /// Statements refused: not the client's own, unsound, or without room.
    pub refused: u64,
    /// Looks at which clients were suspected.
    pub suspicions: u64,
    /// Snapshots asked of other replicas because they held something else.
    pub repairs: u64,
}

/// See the crate's documentation.
pub struct Coordinator {
    pub(crate) params: CoordinatorParams,
    own: NodeId,
    pub(crate) incarnation: Incarnation,
    pub(crate) store: Store,
    pub(crate) sessions: BTreeMap<NodeId, Session>,
    pub(crate) followed: BTreeMap<NodeId, Follower>,
    sequence: u64,
    heartbeat: u64,
    heartbeat_at: f64,
    pub(crate) poll_at: f64,
    /// Bytes that may be sent now, and when that was counted.
    pub(crate) allowance: f64,
    pub(crate) allowance_at: f64,
    /// The client served last: the next poll goes on behind it.
    pub(crate) served_last: Option<NodeId>,
    pub(crate) is_isolated: bool,
    told_in_force: Option<ConfigurationVersion>,
    rng: ChaCha8Rng,
    pub(crate) outgoing: VecDeque<Outgoing>,
    events: VecDeque<CoordinatorEvent>,
    pub(crate) counts: Counts,
}

impl Coordinator {
    /// A coordinator that holds nothing yet; `peers` are the other ones.
    pub fn new(
        params: CoordinatorParams,
        own: NodeId,
        incarnation: Incarnation,
        peers: &[NodeId],
        seed: u64,
        now: f64,
    ) -> Coordinator {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let heartbeat_at = now + params.heartbeat_every * rng.random::<f64>();
        let followed = peers.iter().filter(|peer| **peer != own).map(|peer| (*peer, Follower::default()));
        let mut coordinator = Coordinator {
            own,
            incarnation,
            store: Store::new(params.max_statements),
            sessions: BTreeMap::new(),
            followed: followed.collect(),
            sequence: 0,
            heartbeat: 0,
            heartbeat_at,
            poll_at: heartbeat_at,
            allowance: params.max_bytes_per_second,
            allowance_at: now,
            served_last: None,
            is_isolated: false,
            told_in_force: None,
            rng,
            outgoing: VecDeque::new(),
            events: VecDeque::new(),
            counts: Counts::default(),
            params,
        };
        coordinator.state_member(now, own, incarnation, 0, MemberState::Alive);
        coordinator
    }

    // ---- an operator's words ----

    /// Announces a configuration version, for all fronts.
    pub fn announce(&mut self, now: f64, number: u64, digest: u64) -> Result<VersionId, OutdatedVersion> {
        let replaces = self.store.in_force().map(|version| version.id).unwrap_or_default();
        OutdatedVersion::check(number, replaces)?;
        let id = VersionId { number, publisher: Some(self.own) };
        self.publish(
            now,
            Key::Configuration,
            Value::Configuration(ConfigurationVersion { id, digest, replaces }),
        );
        Ok(id)
    }

    /// Pins the level of reduced service for all fronts; none ends a pin.
    pub fn pin_level(&mut self, now: f64, level: Option<u8>) {
        let versions = self.store.live().filter_map(|(_, _, value)| match value {
            Value::Level(pin) => Some(pin.version),
            _ => None,
        });
        let version = versions.max().unwrap_or(0) + 1;
        self.publish(now, Key::Level, Value::Level(LevelPin { version, level }));
    }

    fn publish(&mut self, now: f64, key: Key, value: Value) {
        self.sequence += 1;
        let version = Version { incarnation: self.incarnation, sequence: self.sequence };
        self.apply(now, Statement { owner: self.own, key, version, value: Some(value) }, Source::Direct);
    }

    // ---- what is heard ----

    /// A message of another node, told apart from a stranger by the codec.
    pub fn receive(&mut self, now: f64, from: NodeId, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => self.heartbeat_heard(now, from, heartbeat),
            Message::Update(update) if update.client == self.incarnation => {
                self.update_heard(now, from, update);
            }
            Message::Update(_) => {}
            // A coordinator asks its peers again with its next heartbeat.
            Message::Busy { .. } => {}
        }
    }

    fn update_heard(&mut self, now: f64, from: NodeId, update: Update) {
        let Some(follower) = self.followed.get_mut(&from) else { return };
        let replica_digest = update.replica_digest;
        if follower.cursor().is_some_and(|cursor| cursor.coordinator != update.coordinator) {
            follower.begin_anew();
            return self.send_heartbeat(from, true);
        }
        let in_order = follower.take(now, update);
        let has_news = in_order.iter().any(|update| !update.statements.is_empty());
        for statement in in_order.into_iter().flat_map(|update| update.statements) {
            self.apply(now, statement, Source::Replica);
        }
        let is_equal = replica_digest.is_none_or(|theirs| theirs == self.store.replica_digest());
        let Some(follower) = self.followed.get_mut(&from) else { return };
        if follower.has_missed(now, is_equal, self.params.repair_after) {
            self.counts.repairs += 1;
            follower.begin_anew();
        } else if has_news {
            self.send_heartbeat(from, false);
        }
    }

    fn heartbeat_heard(&mut self, now: f64, from: NodeId, heartbeat: Heartbeat) {
        if !self.admit(now, from, &heartbeat) {
            return;
        }
        let Some(session) = self.sessions.get_mut(&from) else { return };
        if heartbeat.incarnation < session.incarnation || heartbeat.number < session.heartbeat {
            return;
        }
        session.heartbeat = heartbeat.number;
        session.heard_at = now;
        session.wants_answer |= heartbeat.wants_answer;
        session.digest = heartbeat.digest;
        subscribe(session, &heartbeat);
        self.follow_cursor(from, &heartbeat);
        self.take_published(now, from, &heartbeat);
        if heartbeat.is_leaving {
            self.end_session(now, from, MemberState::Left);
        }
        self.poll_soon(now);
    }

    /// Sees to it that a client has a session, if there is room.
    fn admit(&mut self, now: f64, from: NodeId, heartbeat: &Heartbeat) -> bool {
        let held = self.sessions.get(&from).map(|session| session.incarnation);
        if held.is_some_and(|held| held >= heartbeat.incarnation) {
            return true;
        }
        let is_peer = self.followed.contains_key(&from);
        if held.is_none() && !is_peer && self.sessions.len() >= self.params.max_sessions {
            self.turn_away(from);
            return false;
        }
        // A message of a process that has ended, come late, opens no session.
        if self.store.member_version(from).is_some_and(|known| known.incarnation > heartbeat.incarnation) {
            return false;
        }
        let mut session = Session::new(now, heartbeat.incarnation, heartbeat.number);
        if is_peer {
            // A coordinator is told all, whether it has heard that its last session was over or not.
            (session.filter, session.subscription_number) = (Filter::Everything, REPLICA_SUBSCRIPTION);
        }
        self.sessions.insert(from, session);
        self.state_member(now, from, heartbeat.incarnation, heartbeat.number, MemberState::Alive);
        true
    }

    pub(crate) fn turn_away(&mut self, from: NodeId) {
        self.counts.turned_away += 1;
        let retry_after = self.params.retry_after * (1.0 + self.rng.random::<f64>());
        self.outgoing.push_back(Outgoing { to: from, message: Message::Busy { retry_after } });
    }

    fn follow_cursor(&mut self, from: NodeId, heartbeat: &Heartbeat) {
        let (floor, revision) = (self.store.floor(), self.store.revision());
        let Some(session) = self.sessions.get_mut(&from) else { return };
        let cursor = heartbeat.cursor.filter(|cursor| {
            cursor.coordinator == self.incarnation && (floor..=revision).contains(&cursor.revision)
        });
        match cursor {
            Some(cursor) => session.acknowledge(cursor.revision),
            // It lost its place, or never had one; a snapshot that is under way goes on.
            None if session.acknowledged.is_some() => session.begin_anew(),
            None => {}
        }
    }

    fn take_published(&mut self, now: f64, from: NodeId, heartbeat: &Heartbeat) {
        for statement in heartbeat.publish.iter().take(MAX_PUBLISHED) {
            let is_own = statement.owner == from
                && statement.key != Key::Member
                && statement.version.incarnation == heartbeat.incarnation;
            if is_own || statement.key.is_operators() {
                self.apply(now, statement.clone(), Source::Direct);
            } else {
                self.counts.refused += 1;
            }
        }
        let held = self.store.sequence_of(from, heartbeat.incarnation);
        let own = heartbeat.publish.iter().filter(|statement| statement.owner == from);
        let published = own.map(|statement| statement.version.sequence).max();
        if let Some(session) = self.sessions.get_mut(&from) {
            session.published = published.unwrap_or(0).min(held).max(session.published);
        }
    }

    fn apply(&mut self, now: f64, statement: Statement, source: Source) {
        let (owner, key, version) = (statement.owner, statement.key, statement.version);
        match self.store.apply(now, statement, source) {
            Applied::Newer => {
                if key == Key::Member {
                    self.heed_member(now, owner, version);
                }
                if key == Key::Configuration {
                    self.tell_in_force();
                }
                self.poll_soon(now);
            }
            Applied::Known => {}
            Applied::Full | Applied::Invalid => self.counts.refused += 1,
        }
    }

    /// What another coordinator says of a client of this one: it heard a later heartbeat, and the session here is over;
    /// or it suspects a client that is heard here, and is put right.
    fn heed_member(&mut self, now: f64, member: NodeId, version: Version) {
        let Some(session) = self.sessions.get(&member) else { return };
        let (incarnation, heartbeat) = (session.incarnation, session.heartbeat);
        let here = Version { incarnation, sequence: MemberState::Left.sequence(heartbeat) };
        let is_heard_here = now - session.heard_at < self.params.suspect_after;
        if version > here {
            if !self.followed.contains_key(&member) {
                self.sessions.remove(&member);
            }
        } else if is_heard_here && self.store.member(member) != Some(MemberState::Alive) {
            self.state_member(now, member, incarnation, heartbeat, MemberState::Alive);
        }
    }

    fn tell_in_force(&mut self) {
        let in_force = self.store.in_force();
        if let Some(version) = in_force.filter(|_| in_force != self.told_in_force) {
            self.told_in_force = in_force;
            self.events.push_back(CoordinatorEvent::InForce(version));
        }
    }

    fn state_member(
        &mut self,
        now: f64,
        member: NodeId,
        incarnation: Incarnation,
        heartbeat: u64,
        state: MemberState,
    ) {
        let version = Version { incarnation, sequence: state.sequence(heartbeat) };
        let value = Some(Value::Member(state));
        self.apply(now, Statement { owner: member, key: Key::Member, version, value }, Source::Direct);
    }

    fn end_session(&mut self, now: f64, client: NodeId, state: MemberState) {
        let Some(session) = self.sessions.remove(&client) else { return };
        self.state_member(now, client, session.incarnation, session.heartbeat, state);
    }

    // ---- time ----

    /// When [`Coordinator::poll`] is due.
    pub fn wake_at(&self) -> f64 {
        self.poll_at
    }

    pub(crate) fn poll_soon(&mut self, now: f64) {
        self.poll_at = self.poll_at.min(now + self.params.batch_delay);
    }

    /// Deals with what is due.
    pub fn poll(&mut self, now: f64) {
        self.poll_at = self.heartbeat_at.max(now);
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + self.params.heartbeat_every;
            self.poll_at = self.heartbeat_at;
            self.suspect(now);
            self.store.forget_deletions(now - self.params.deletion_retention);
            self.heartbeat += 1;
            let peers: Vec<NodeId> = self.followed.keys().copied().collect();
            peers.into_iter().for_each(|peer| self.send_heartbeat(peer, true));
        }
        self.refill(now);
        self.serve_clients(now);
    }

    /// Suspects clients whose heartbeats stopped. Guards many against the coordinator's own isolation: where more than
    /// half are quiet it is more likely cut off itself.
    fn suspect(&mut self, now: f64) {
        let is_quiet = |session: &Session| now - session.heard_at >= self.params.suspect_after;
        let quiet: Vec<NodeId> = self
            .sessions
            .iter()
            .filter(|(_, session)| is_quiet(session))
            .map(|(client, _)| *client)
            .collect();
        let is_isolated = self.sessions.len() > 1 && 2 * quiet.len() > self.sessions.len();
        if is_isolated != std::mem::replace(&mut self.is_isolated, is_isolated) {
            self.events.push_back(CoordinatorEvent::Isolated(is_isolated));
        }
        if is_isolated || quiet.is_empty() {
            return;
        }
        quiet.iter().for_each(|client| self.end_session(now, *client, MemberState::Suspected));
        self.counts.suspicions += 1;
        self.events.push_back(CoordinatorEvent::Suspected(quiet));
    }

    fn send_heartbeat(&mut self, to: NodeId, wants_answer: bool) {
        let Some(follower) = self.followed.get(&to) else { return };
        let cursor = follower.cursor();
        let heartbeat = Heartbeat {
            incarnation: self.incarnation,
            number: self.heartbeat,
            cursor,
            digest: cursor.is_none().then(|| self.store.replica_digest()),
            subscription_number: REPLICA_SUBSCRIPTION,
            subscription: None,
            publish: Vec::new(),
            wants_answer,
            is_leaving: false,
        };
        self.outgoing.push_back(Outgoing { to, message: Message::Heartbeat(heartbeat) });
    }

    // ---- what the host takes ----

    /// The next message to send.
    pub fn next_outgoing(&mut self) -> Option<Outgoing> {
        self.outgoing.pop_front()
    }

    /// The next thing worth logging.
    pub fn next_event(&mut self) -> Option<CoordinatorEvent> {
        self.events.pop_front()
    }

    /// What it holds.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Its process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// What has been counted since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Clients that have a session, other coordinators among them.
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }
}

fn subscribe(session: &mut Session, heartbeat: &Heartbeat) {
    let Some(subscription) = &heartbeat.subscription else { return };
    if session.subscription_number == heartbeat.subscription_number || !subscription.is_sound() {
        return;
    }
    session.filter = Filter::Servers(subscription.servers.iter().copied().collect());
    session.subscription_number = heartbeat.subscription_number;
    session.begin_anew();
}
