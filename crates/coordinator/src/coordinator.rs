//! One coordinator: the sessions of its clients, and its replication from the other coordinators.

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

/// Subscription number of a coordinator at every other one; it never changes.
const REPLICA_SUBSCRIPTION: u64 = 1;

/// Parameters of a coordinator. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorParams {
    /// Interval between heartbeats to another coordinator.
    pub heartbeat_every: f64,
    /// A client without a heartbeat for this long is suspected.
    pub suspect_after: f64,
    /// Delay for which changes are batched before clients receive them.
    pub batch_delay: f64,
    /// An update that is not acknowledged within this time is sent again.
    pub resend_after: f64,
    /// How long deletions are retained.
    pub deletion_retention: f64,
    /// A replica whose digest has differed from another one's for this long requests a snapshot from it.
    pub repair_after: f64,
    /// Maximum number of sessions.
    pub max_sessions: usize,
    /// Maximum number of statements and retained deletions.
    pub max_statements: usize,
    /// Maximum number of snapshots in progress.
    pub max_snapshots: usize,
    /// Maximum rate at which bytes of statements are sent.
    pub max_bytes_per_second: f64,
    /// Maximum bytes of statements in one update to a front,
    pub update_bytes: usize,
    /// and in one to another coordinator.
    pub replica_update_bytes: usize,
    /// A rejected client is asked to try again after between one and two times this.
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

/// An event for the coordinator's host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoordinatorEvent {
    /// These clients were found to have stopped their heartbeats, in one check.
    Suspected(Vec<NodeId>),
    /// Whether more than half of the clients are silent: then none is suspected, since the coordinator itself
    /// may be cut off.
    Isolated(bool),
    /// Another version of the configuration is in force.
    InForce(ConfigurationVersion),
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Updates sent, and the bytes of statements in them.
    pub updates: u64,
    /// See `updates`.
    pub statement_bytes: u64,
    /// Snapshots started.
    pub snapshots: u64,
    /// Clients that already had the content of a snapshot.
    pub confirmed: u64,
    /// Heartbeats rejected because a limit on sessions or snapshots was reached.
    pub turned_away: u64,
    /// Updates sent again for lack of an acknowledgement.
    pub resent: u64,
    /// Statements rejected: not the client's own, invalid, or over the maximum number.
    pub refused: u64,
    /// Checks in which clients were suspected.
    pub suspicions: u64,
    /// Snapshots requested from other replicas because their digests differed.
    pub repairs: u64,
}

/// A coordinator; see the crate's documentation.
pub struct Coordinator {
    pub(crate) params: CoordinatorParams,
    own_id: NodeId,
    pub(crate) incarnation: Incarnation,
    pub(crate) store: Store,
    pub(crate) sessions: BTreeMap<NodeId, Session>,
    pub(crate) followed: BTreeMap<NodeId, Follower>,
    sequence: u64,
    heartbeat_number: u64,
    next_heartbeat_at: f64,
    pub(crate) poll_at: f64,
    /// Bytes that may be sent now, and when that was last updated.
    pub(crate) send_budget: f64,
    pub(crate) budget_at: f64,
    /// The client served last: the next poll continues after it.
    pub(crate) last_served: Option<NodeId>,
    pub(crate) is_isolated: bool,
    reported_in_force: Option<ConfigurationVersion>,
    rng: ChaCha8Rng,
    pub(crate) outgoing: VecDeque<Outgoing>,
    events: VecDeque<CoordinatorEvent>,
    pub(crate) counts: Counts,
}

impl Coordinator {
    /// Creates a coordinator with an empty store; `peers` are the other coordinators.
    pub fn new(
        params: CoordinatorParams,
        own_id: NodeId,
        incarnation: Incarnation,
        peers: &[NodeId],
        seed: u64,
        now: f64,
    ) -> Coordinator {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let next_heartbeat_at = now + params.heartbeat_every * rng.random::<f64>();
        let followed = peers.iter().filter(|peer| **peer != own_id).map(|peer| (*peer, Follower::default()));
        let mut coordinator = Coordinator {
            own_id,
            incarnation,
            store: Store::new(params.max_statements),
            sessions: BTreeMap::new(),
            followed: followed.collect(),
            sequence: 0,
            heartbeat_number: 0,
            next_heartbeat_at,
            poll_at: next_heartbeat_at,
            send_budget: params.max_bytes_per_second,
            budget_at: now,
            last_served: None,
            is_isolated: false,
            reported_in_force: None,
            rng,
            outgoing: VecDeque::new(),
            events: VecDeque::new(),
            counts: Counts::default(),
            params,
        };
        coordinator.publish_member_state(now, own_id, incarnation, 0, MemberState::Alive);
        coordinator
    }

    // ---- operators' commands ----

    /// Announces a configuration version for all fronts.
    pub fn announce(&mut self, now: f64, number: u64, digest: u64) -> Result<VersionId, OutdatedVersion> {
        let replaces = self.store.in_force().map(|version| version.id).unwrap_or_default();
        OutdatedVersion::check(number, replaces)?;
        let id = VersionId { number, publisher: Some(self.own_id) };
        self.publish(
            now,
            Key::Configuration,
            Value::Configuration(ConfigurationVersion { id, digest, replaces }),
        );
        Ok(id)
    }

    /// Pins the level of reduced service for all fronts; none removes the pin.
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
        self.apply(now, Statement { owner: self.own_id, key, version, value: Some(value) }, Source::Direct);
    }

    // ---- received messages ----

    /// Handles a message of another node; the codec has authenticated its sender.
    pub fn receive(&mut self, now: f64, from: NodeId, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(now, from, heartbeat),
            Message::Update(update) if update.client == self.incarnation => {
                self.handle_update(now, from, update);
            }
            Message::Update(_) => {}
            // No retry is needed: the next heartbeat asks again.
            Message::Busy { .. } => {}
        }
    }

    fn handle_update(&mut self, now: f64, from: NodeId, update: Update) {
        let Some(follower) = self.followed.get_mut(&from) else { return };
        let replica_digest = update.replica_digest;
        if follower.cursor().is_some_and(|cursor| cursor.coordinator != update.coordinator) {
            follower.reset();
            return self.send_heartbeat(from, true);
        }
        let in_order = follower.accept(now, update);
        let has_changes = in_order.iter().any(|update| !update.statements.is_empty());
        for statement in in_order.into_iter().flat_map(|update| update.statements) {
            self.apply(now, statement, Source::Replica);
        }
        let is_equal = replica_digest.is_none_or(|theirs| theirs == self.store.replica_digest());
        let Some(follower) = self.followed.get_mut(&from) else { return };
        if follower.has_missed_changes(now, is_equal, self.params.repair_after) {
            self.counts.repairs += 1;
            follower.reset();
        } else if has_changes {
            self.send_heartbeat(from, false);
        }
    }

    fn handle_heartbeat(&mut self, now: f64, from: NodeId, heartbeat: Heartbeat) {
        if !self.ensure_session(now, from, &heartbeat) {
            return;
        }
        let Some(session) = self.sessions.get_mut(&from) else { return };
        if heartbeat.incarnation < session.incarnation || heartbeat.number < session.heartbeat_number {
            return;
        }
        session.heartbeat_number = heartbeat.number;
        session.last_heartbeat_at = now;
        session.wants_answer |= heartbeat.wants_answer;
        session.digest = heartbeat.digest;
        subscribe(session, &heartbeat);
        self.update_cursor(from, &heartbeat);
        self.apply_published(now, from, &heartbeat);
        if heartbeat.is_leaving {
            self.end_session(now, from, MemberState::Left);
        }
        self.schedule_poll(now);
    }

    /// Ensures that a client has a session; returns false if it can't get one.
    fn ensure_session(&mut self, now: f64, from: NodeId, heartbeat: &Heartbeat) -> bool {
        let current = self.sessions.get(&from).map(|session| session.incarnation);
        if current.is_some_and(|current| current >= heartbeat.incarnation) {
            return true;
        }
        let is_peer = self.followed.contains_key(&from);
        if current.is_none() && !is_peer && self.sessions.len() >= self.params.max_sessions {
            self.reject_as_busy(from);
            return false;
        }
        // A late message of a process that has ended opens no session.
        if self.store.member_version(from).is_some_and(|known| known.incarnation > heartbeat.incarnation) {
            return false;
        }
        let mut session = Session::new(now, heartbeat.incarnation, heartbeat.number);
        if is_peer {
            // A coordinator receives everything, without sending a subscription: it may not know that its
            // last session has ended.
            (session.filter, session.subscription_number) = (Filter::Everything, REPLICA_SUBSCRIPTION);
        }
        self.sessions.insert(from, session);
        self.publish_member_state(now, from, heartbeat.incarnation, heartbeat.number, MemberState::Alive);
        true
    }

    pub(crate) fn reject_as_busy(&mut self, from: NodeId) {
        self.counts.turned_away += 1;
        let retry_after = self.params.retry_after * (1.0 + self.rng.random::<f64>());
        self.outgoing.push_back(Outgoing { to: from, message: Message::Busy { retry_after } });
    }

    fn update_cursor(&mut self, from: NodeId, heartbeat: &Heartbeat) {
        let (floor, revision) = (self.store.floor(), self.store.revision());
        let Some(session) = self.sessions.get_mut(&from) else { return };
        let cursor = heartbeat.cursor.filter(|cursor| {
            cursor.coordinator == self.incarnation && (floor..=revision).contains(&cursor.revision)
        });
        match cursor {
            Some(cursor) => session.acknowledge(cursor.revision),
            // It has lost its cursor, or never had one; a snapshot in progress continues.
            None if session.acknowledged.is_some() => session.reset(),
            None => {}
        }
    }

    fn apply_published(&mut self, now: f64, from: NodeId, heartbeat: &Heartbeat) {
        for statement in heartbeat.publish.iter().take(MAX_PUBLISHED) {
            let is_own = statement.owner == from
                && statement.key != Key::Member
                && statement.version.incarnation == heartbeat.incarnation;
            if is_own || statement.key.is_from_operator() {
                self.apply(now, statement.clone(), Source::Direct);
            } else {
                self.counts.refused += 1;
            }
        }
        let stored = self.store.sequence_of(from, heartbeat.incarnation);
        let own = heartbeat.publish.iter().filter(|statement| statement.owner == from);
        let published = own.map(|statement| statement.version.sequence).max();
        if let Some(session) = self.sessions.get_mut(&from) {
            session.published = published.unwrap_or(0).min(stored).max(session.published);
        }
    }

    fn apply(&mut self, now: f64, statement: Statement, source: Source) {
        let (owner, key, version) = (statement.owner, statement.key, statement.version);
        match self.store.apply(now, statement, source) {
            Applied::Newer => {
                if key == Key::Member {
                    self.handle_member_change(now, owner, version);
                }
                if key == Key::Configuration {
                    self.report_in_force();
                }
                self.schedule_poll(now);
            }
            Applied::Known => {}
            Applied::Full | Applied::Invalid => self.counts.refused += 1,
        }
    }

    /// Handles another coordinator's statement about a client of this one. If that coordinator received a
    /// later heartbeat, the session here ends; if it suspects a client that is alive here, the statement is
    /// corrected.
    fn handle_member_change(&mut self, now: f64, member: NodeId, version: Version) {
        let Some(session) = self.sessions.get(&member) else { return };
        let (incarnation, heartbeat) = (session.incarnation, session.heartbeat_number);
        let here = Version { incarnation, sequence: MemberState::Left.sequence(heartbeat) };
        let is_alive_here = now - session.last_heartbeat_at < self.params.suspect_after;
        if version > here {
            if !self.followed.contains_key(&member) {
                self.sessions.remove(&member);
            }
        } else if is_alive_here && self.store.member(member) != Some(MemberState::Alive) {
            self.publish_member_state(now, member, incarnation, heartbeat, MemberState::Alive);
        }
    }

    fn report_in_force(&mut self) {
        let in_force = self.store.in_force();
        if let Some(version) = in_force.filter(|_| in_force != self.reported_in_force) {
            self.reported_in_force = in_force;
            self.events.push_back(CoordinatorEvent::InForce(version));
        }
    }

    fn publish_member_state(
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
        self.publish_member_state(now, client, session.incarnation, session.heartbeat_number, state);
    }

    // ---- time ----

    /// When [`Coordinator::poll`] must be called.
    pub fn wake_at(&self) -> f64 {
        self.poll_at
    }

    pub(crate) fn schedule_poll(&mut self, now: f64) {
        self.poll_at = self.poll_at.min(now + self.params.batch_delay);
    }

    /// Handles expired timers and serves clients.
    pub fn poll(&mut self, now: f64) {
        self.poll_at = self.next_heartbeat_at.max(now);
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + self.params.heartbeat_every;
            self.poll_at = self.next_heartbeat_at;
            self.suspect(now);
            self.store.purge_deletions(now - self.params.deletion_retention);
            self.heartbeat_number += 1;
            let peers: Vec<NodeId> = self.followed.keys().copied().collect();
            peers.into_iter().for_each(|peer| self.send_heartbeat(peer, true));
        }
        self.refill_send_budget(now);
        self.serve_clients(now);
    }

    /// Suspects clients whose heartbeats stopped. If more than half are silent, it is more likely that the
    /// coordinator itself is cut off, and it suspects none.
    fn suspect(&mut self, now: f64) {
        let is_silent = |session: &Session| now - session.last_heartbeat_at >= self.params.suspect_after;
        let silent: Vec<NodeId> = self
            .sessions
            .iter()
            .filter(|(_, session)| is_silent(session))
            .map(|(client, _)| *client)
            .collect();
        let is_isolated = self.sessions.len() > 1 && 2 * silent.len() > self.sessions.len();
        if is_isolated != std::mem::replace(&mut self.is_isolated, is_isolated) {
            self.events.push_back(CoordinatorEvent::Isolated(is_isolated));
        }
        if is_isolated || silent.is_empty() {
            return;
        }
        silent.iter().for_each(|client| self.end_session(now, *client, MemberState::Suspected));
        self.counts.suspicions += 1;
        self.events.push_back(CoordinatorEvent::Suspected(silent));
    }

    fn send_heartbeat(&mut self, to: NodeId, wants_answer: bool) {
        let Some(follower) = self.followed.get(&to) else { return };
        let cursor = follower.cursor();
        let heartbeat = Heartbeat {
            incarnation: self.incarnation,
            number: self.heartbeat_number,
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

    // ---- output for the host ----

    /// The next message to send.
    pub fn next_outgoing(&mut self) -> Option<Outgoing> {
        self.outgoing.pop_front()
    }

    /// The next event.
    pub fn next_event(&mut self) -> Option<CoordinatorEvent> {
        self.events.pop_front()
    }

    /// Its store.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Its own process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of clients with a session, including other coordinators.
    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }
}

fn subscribe(session: &mut Session, heartbeat: &Heartbeat) {
    let Some(subscription) = &heartbeat.subscription else { return };
    if session.subscription_number == heartbeat.subscription_number || !subscription.is_valid() {
        return;
    }
    session.filter = Filter::Servers(subscription.servers.iter().copied().collect());
    session.subscription_number = heartbeat.subscription_number;
    session.reset();
}
