//! One front. The methods called by the host update the state; [`Edge::poll`] handles expired timers and
//! executes the decisions of `Control`; [`Edge::next_output`] returns what the host has to do.

use crate::callers::UndecidedAttach;
use crate::calls::{CallState, Calls, Try};
use crate::client_connection::{ClientConnection, ClientConnections};
use crate::expiring_ids::{ExpiringIds, ID_BYTES};
use crate::feed::{Event, Feed};
use crate::handover::UnresolvedHandover;
use crate::limits::{
    EARLY_RELEASE_MEMORY_SHARE, PARTIAL_MEMORY_SHARE, QUEUE_MEMORY_SHARE, SENT_ID_MEMORY_SHARE,
    SET_UP_MEMORY_SHARE,
};
use crate::lines;
use crate::link::{LinkState, Phase, Servers};
use crate::log::{call_subject, LogRecord};
use crate::releases::Releases;
use crate::sip;
use crate::start_file::StartFile;
use shalespindle_control::control::Control;
use shalespindle_control::interface::{Decision, EndReason, PoolId, Report, UeId};
use shalespindle_control::liveness::ProbeMethod;
use shalespindle_signalling::timers::Timers;
use shalespindle_startup::ReportLayout;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Identifies a connection. The host assigns even numbers to connections it accepts; the front assigns odd
/// numbers to those it dials.
pub type ConnectionId = u64;

/// How a connection ended, or why it was not established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The peer refused the connection: nothing sent on it was processed.
    Refused,
    Broken,
}

/// An action for the host.
#[derive(Debug, PartialEq)]
pub enum Output {
    Dial {
        connection: ConnectionId,
        to: SocketAddr,
        timeout: f64,
    },
    Write {
        connection: ConnectionId,
        bytes: Vec<u8>,
    },
    /// With `reset`, unsent bytes are discarded and must not arrive.
    Close {
        connection: ConnectionId,
        reset: bool,
    },
    Log(LogRecord),
}

/// Counters since the start. Their names are metric names in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub attaches: u64,
    /// Calls established.
    pub stood: u64,
    /// Attaches refused by `Control`.
    pub refused: u64,
    /// Attaches aborted by `Control` because no time was left.
    pub aborted: u64,
    /// Attaches whose caller left before the final answer.
    pub left: u64,
    /// Attaches answered by the front itself because it shut down or closed their connection.
    pub given_up: u64,
    /// Malformed requests.
    pub bad_form: u64,
    /// Messages whose bytes could not be parsed.
    pub unreadable: u64,
    /// Set-ups and handovers not accepted because a limit was reached, because they do not fit into a message
    /// to a server, or because the front shuts down.
    pub no_place: u64,
    /// Setup tries, and below them those that ended without an answer, by reason.
    pub tries: u64,
    pub unreached: u64,
    pub throttled: u64,
    pub rejected: u64,
    pub timed_out: u64,
    pub cut: u64,
    pub cancelled: u64,
    /// Links dropped because of an unreadable line.
    pub links_spoilt: u64,
    /// Links lost after they had come up.
    pub links_lost: u64,
    /// Answers to setup tries that had ended.
    pub late_answers: u64,
    /// Established calls ended because their server fell silent.
    pub calls_at_silent_servers: u64,
    /// Calls released normally by their server before the answer arrived.
    pub ended_before_answer: u64,
    /// Client connections closed to free a descriptor.
    pub clients_evicted: u64,
    /// Client connections closed because a time limit had passed.
    pub clients_overdue: u64,
    /// Links not dialled because no descriptor was available.
    pub no_descriptor: u64,
    /// Probes sent to servers.
    pub tests: u64,
    /// Releases written to callers, repeated on another connection, confirmed, and never confirmed.
    pub byes: u64,
    pub byes_again: u64,
    pub byes_heard: u64,
    pub byes_unheard: u64,
}

/// What a timer of the front is for.
pub(crate) enum TimerEvent {
    Wake,
    /// The time limit of a setup try: its attach and the try's number.
    TryTimeout(UeId, u32),
    /// The longest time that a setup try waits for a link: its attach and the try's number.
    LinkWaitTimeout(UeId, u32),
    /// The time limit for a link to come up.
    LinkTimeout(ConnectionId),
    /// A connected link on which the server has not sent its state is probed.
    ProbeNewLink(ConnectionId),
    /// The next dial to a server after a pause.
    Redial(PoolId),
    /// Calls still established at a removed server are ended.
    RemovalGraceOver(PoolId),
    /// A front that shuts down answers all pending attaches.
    AnswerAllPending,
    /// Closes the client connections marked for closing; what had arrived on them has been read by then.
    CloseMarked,
    Sweep,
}

/// Interval between two checks for overdue connections, releases and servers, seconds.
const SWEEP_INTERVAL: f64 = 0.1;
/// On sockets the platform allows this much beyond its time limits, seconds; the release guard is extended by
/// the same time.
const SOCKET_SLACK: f64 = 0.05;
/// Time for which the id of a call that was sent to a server is remembered, seconds.
const SENT_ID_LIFETIME: f64 = 30.0;
/// Limit of the CANCELs remembered that were read before their set-ups.
const MAX_EARLY_CANCELS: usize = 1024;

/// The state of one front.
pub struct Edge {
    pub(crate) control: Control,
    pub(crate) report_layout: ReportLayout,
    /// Names of the procedures, and the longest time in seconds that a caller of each may wait.
    pub(crate) procedures: Vec<(String, f64)>,
    pub(crate) max_pending: usize,
    pub(crate) max_stored_bytes: usize,
    /// Limit of the memory for incomplete messages of clients, bytes.
    pub(crate) max_partial_bytes: usize,
    /// Limit of the bytes queued for all peers that do not read.
    max_queued_bytes: usize,
    pub(crate) max_sockets: usize,
    pub(crate) dial_timeout: f64,
    /// Unix time at which the host's clock is zero, seconds.
    pub(crate) clock_epoch: f64,
    pub(crate) calls: Calls,
    pub(crate) clients: ClientConnections,
    pub(crate) releases: Releases,
    pub(crate) early_cancels: ExpiringIds,
    /// Calls released by a server before this front knew them; their callers may hand them over later.
    pub(crate) early_releases: ExpiringIds,
    /// Calls whose set-up was sent to a server; it may have run there, whatever became of it.
    pub(crate) sent_ids: ExpiringIds,
    /// Client connections to close once everything that has arrived on them is read.
    pub(crate) closing: BTreeSet<ConnectionId>,
    /// When at least one client connection was last open.
    pub(crate) last_client_seen_at: f64,
    pub(crate) servers: Servers,
    pub(crate) feed: Feed,
    pub(crate) timers: Timers<TimerEvent>,
    pub(crate) outputs: VecDeque<Output>,
    pub(crate) counters: Counters,
    /// Calls handed over to this front whose server is not in the list yet.
    pub(crate) unresolved_handovers: Vec<UnresolvedHandover>,
    pub(crate) shutdown_since: Option<f64>,
    /// Servers with a link that has just come up; tries that wait for one are sent on the next poll.
    pub(crate) newly_linked: Vec<PoolId>,
    /// New attaches in the order of their arrival.
    pub(crate) undecided: Vec<UndecidedAttach>,
    /// Client connections with input that was not read in time.
    pub(crate) unread_clients: BTreeSet<ConnectionId>,
    last_connection_id: ConnectionId,
    last_probe_id: u64,
}

impl Edge {
    /// Creates a front from its start file and applies the known list of servers; `unix` is the current Unix
    /// time in seconds.
    pub fn new(file: StartFile, now: f64, unix: f64) -> Result<Edge, String> {
        let startup = file.settings.into_startup()?;
        let mut deployment = startup.deployment;
        deployment.release_guard += SOCKET_SLACK;
        let t_timers = deployment.procedures.iter().map(|p| p.t_timer);
        let probe_method = if deployment.may_probe { ProbeMethod::Test } else { ProbeMethod::Dial };
        let memory_bytes = file.limits.memory_mb * 1e6;
        let procedures = startup.host.procedure_names.into_iter().zip(t_timers).collect();
        let mut edge = Edge {
            control: Control::new(file.seed, deployment, now),
            report_layout: startup.report_layout,
            procedures,
            max_pending: startup.host.max_pending_attaches,
            max_stored_bytes: (memory_bytes * SET_UP_MEMORY_SHARE) as usize,
            max_partial_bytes: (memory_bytes * PARTIAL_MEMORY_SHARE) as usize,
            max_queued_bytes: (memory_bytes * QUEUE_MEMORY_SHARE) as usize,
            max_sockets: file.limits.sockets,
            dial_timeout: startup.host.connect_timeout,
            clock_epoch: unix - now,
            calls: Calls::default(),
            clients: ClientConnections::default(),
            releases: Releases::default(),
            early_cancels: ExpiringIds::new(MAX_EARLY_CANCELS),
            early_releases: ExpiringIds::new((memory_bytes * EARLY_RELEASE_MEMORY_SHARE) as usize / ID_BYTES),
            sent_ids: ExpiringIds::new((memory_bytes * SENT_ID_MEMORY_SHARE) as usize / ID_BYTES),
            closing: BTreeSet::new(),
            last_client_seen_at: now,
            servers: Servers::new(probe_method),
            feed: Feed::new(file.feed, now),
            timers: Timers::default(),
            outputs: VecDeque::new(),
            counters: Counters::default(),
            unresolved_handovers: Vec::new(),
            shutdown_since: None,
            newly_linked: Vec::new(),
            undecided: Vec::new(),
            unread_clients: BTreeSet::new(),
            last_connection_id: 1,
            last_probe_id: file.seed,
        };
        edge.apply_known_events(now, file.known.n, file.known.events);
        edge.timers.set(now + SWEEP_INTERVAL, TimerEvent::Sweep);
        Ok(edge)
    }

    /// Applies the events of a start file; the feed continues after event `n`.
    fn apply_known_events(&mut self, now: f64, n: u64, events: Vec<Event>) {
        let last_event = self.feed.last_event;
        for event in events.into_iter().filter(|e| e.n > last_event) {
            self.list_event(now, event);
        }
        self.feed.last_event = self.feed.last_event.max(n);
    }

    // ---- inputs from the host ----

    /// The host accepted a connection from a client.
    pub fn accepted(&mut self, now: f64, connection: ConnectionId) {
        self.clients.open(now, connection);
    }

    /// A connection dialled by the front was established.
    pub fn connected(&mut self, now: f64, connection: ConnectionId) {
        if self.feed.owns(connection) {
            self.feed_connected(now, connection);
        } else {
            self.link_connected(now, connection);
        }
    }

    /// A connection ended, or could not be established.
    pub fn lost(&mut self, now: f64, connection: ConnectionId, loss: Loss) {
        if self.feed.owns(connection) {
            self.feed_lost(now, connection);
        } else if self.clients.all.contains_key(&connection) {
            self.client_connection_lost(now, connection);
        } else {
            let pool =
                self.servers.links.get(&connection).filter(|l| l.state == LinkState::Up).map(|l| l.pool);
            self.link_lost(now, connection, loss);
            if let Some(pool) = pool {
                self.probe_other_links(now, pool);
            }
        }
    }

    /// Bytes arrived on a connection; `arrived` is the earliest time at which they can have arrived.
    pub fn bytes(&mut self, now: f64, arrived: f64, connection: ConnectionId, bytes: &[u8]) {
        if self.clients.all.contains_key(&connection) {
            self.client_bytes(now, arrived, connection, bytes);
        } else if self.servers.links.contains_key(&connection) {
            self.link_bytes(now, connection, bytes);
        } else if self.feed.owns(connection) {
            self.feed_bytes(now, connection, bytes);
        }
    }

    /// The start file was replaced: the feed continues at the address in the new file.
    pub fn reconfigured(&mut self, now: f64, file: StartFile) {
        self.log_info("configuration applied", file.feed, format!("events known up to {}", file.known.n));
        // Events of the file are only applied if they follow the last event without a gap.
        let first = file.known.events.iter().map(|e| e.n).find(|n| *n > self.feed.last_event);
        if first == Some(self.feed.last_event + 1) {
            self.apply_known_events(now, file.known.n, file.known.events);
        }
        let closed = self.feed.address_changed(now, file.feed);
        closed.into_iter().for_each(|closed| self.close_feed_request(closed));
    }

    // ---- polling and outputs ----

    /// The latest time at which [`Edge::poll`] must be called.
    pub fn wake_at(&self) -> f64 {
        self.timers.next().min(self.feed.wake_at())
    }

    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Limit of the bytes that the host queues for all peers that do not read.
    pub fn max_queued_bytes(&self) -> usize {
        self.max_queued_bytes
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Numbers of pending attaches, established calls, client connections and links.
    pub fn gauges(&self) -> [usize; 4] {
        [
            self.calls.pending_count(),
            self.calls.established_count(),
            self.clients.all.len(),
            self.servers.links.len(),
        ]
    }

    /// Connections whose unread input may change what is sent or closed next, so the host reads them first:
    /// clients with unsent attaches together with the feed, and clients that may be closed, because requests
    /// that have arrived on them must still be answered. Empty if nothing may be sent or closed.
    pub fn connections_to_read_first(&self, now: f64) -> Vec<ConnectionId> {
        let all_may_close = self.refuses_new_calls(now) || self.clients.all.len() > self.max_clients();
        // Part of a set-up may still be queued here if its server does not read.
        let is_blocked = |link| self.servers.links.get(&link).is_some_and(|l| l.blocked);
        let is_waiting =
            |ue: &UeId| self.calls.is_unsent(*ue) || self.calls.link_of_try(*ue).is_some_and(is_blocked);
        let has_unsent = |c: &ClientConnection| c.open.iter().any(is_waiting);
        let (mut connections, mut sends) = (Vec::new(), false);
        for (connection, client) in &self.clients.all {
            let is_unsent = has_unsent(client);
            sends |= is_unsent;
            if is_unsent || all_may_close || self.closing.contains(connection) {
                connections.push(*connection);
            }
        }
        if sends {
            connections.extend(self.feed.connections());
        }
        connections
    }

    /// Whether the connection is a link to a server.
    pub fn is_link(&self, connection: ConnectionId) -> bool {
        self.servers.links.contains_key(&connection)
    }

    /// Handles expired timers, then executes decisions until there are none left.
    pub fn poll(&mut self, now: f64) {
        self.send_waiting_tries(now);
        while let Some(due) = self.timers.pop(now) {
            self.handle_timer(now, due);
        }
        self.poll_feed(now);
        self.pass_new_attaches(now);
        while let Some(decision) = self.control.next_decision(now) {
            self.execute(now, decision);
        }
        self.evict_clients(now);
    }

    fn handle_timer(&mut self, now: f64, due: TimerEvent) {
        match due {
            TimerEvent::Wake => self.control.wake(now),
            TimerEvent::TryTimeout(ue, number) => self.try_timed_out(now, ue, number),
            TimerEvent::LinkWaitTimeout(ue, number) => {
                let is_waiting = |t: &Try| t.link.is_none();
                let pending = self.calls.pending(ue).map(|c| c.2);
                if pending
                    .is_some_and(|h| h.tries == number && h.current_try.as_ref().is_some_and(is_waiting))
                {
                    self.end_try(now, ue, EndReason::Unreached, Report::default());
                }
            }
            TimerEvent::LinkTimeout(connection) => self.link_timed_out(now, connection),
            TimerEvent::ProbeNewLink(connection) => self.new_link_silent(now, connection),
            TimerEvent::Redial(pool) => self.redial(now, pool),
            TimerEvent::RemovalGraceOver(pool) => self.removal_expired(now, pool),
            TimerEvent::AnswerAllPending => self.answer_all_pending(now),
            TimerEvent::CloseMarked => self.close_marked(now),
            TimerEvent::Sweep => {
                self.sweep(now);
                self.check_servers(now);
                if !self.clients.all.is_empty() {
                    self.last_client_seen_at = now;
                }
                self.timers.set(now + SWEEP_INTERVAL, TimerEvent::Sweep);
            }
        }
    }

    fn execute(&mut self, now: f64, decision: Decision) {
        match decision {
            Decision::SetUp { ue, pool, timeout } => self.set_up(now, ue, pool, timeout),
            Decision::Cancel { ue, setup_try } => {
                if self
                    .calls
                    .pending(ue)
                    .is_some_and(|c| c.2.current_try.is_some() && c.2.tries == setup_try + 1)
                {
                    self.abandon_try(now, ue, EndReason::Cancelled);
                }
            }
            Decision::Refuse { ue, pause } => {
                self.counters.refused += 1;
                self.send_final_answer(now, ue, 503, Some(pause), "no server can take it now");
            }
            Decision::Abort { ue } => {
                self.counters.aborted += 1;
                self.send_final_answer(now, ue, 504, None, "no time left for another try");
            }
            Decision::Probe { pool } => self.probe(now, pool),
            Decision::Wake { after } => self.timers.set(now + after, TimerEvent::Wake),
        }
    }

    fn set_up(&mut self, now: f64, ue: UeId, pool: PoolId, timeout: f64) {
        let Some((_, _, pending)) = self.calls.pending(ue) else { return };
        pending.tries += 1;
        pending.current_try = Some(Try { pool, link: None, sent_at: now });
        let (number, until) = (pending.tries, (now + timeout).min(pending.gives_up_at));
        self.counters.tries += 1;
        self.timers.set(until, TimerEvent::TryTimeout(ue, number));
        if self.servers.all.get(&pool).is_none_or(|s| s.phase != Phase::Up) {
            return self.end_try(now, ue, EndReason::Unreached, Report::default());
        }
        match self.servers.best_link(now, pool, self.dial_timeout) {
            Some(connection) => {
                if !self.servers.links[&connection].open.is_empty() {
                    // Gives the next set-up a link of its own, so that a broken link affects few set-ups.
                    self.dial(now, pool);
                }
                self.write_set_up(now, ue, connection);
            }
            None => {
                if let Some(server) = self.servers.all.get_mut(&pool) {
                    server.waiting.push_back(ue);
                }
                self.timers.set(now + self.dial_timeout, TimerEvent::LinkWaitTimeout(ue, number));
                self.dial(now, pool);
            }
        }
    }

    /// Writes a setup try to a link. The caller has checked that the server still accepts set-ups.
    pub(crate) fn write_set_up(&mut self, now: f64, ue: UeId, connection: ConnectionId) {
        let Some((id, client, pending)) = self.calls.pending(ue) else { return };
        let Some(setup_try) = pending.current_try.as_mut() else { return };
        self.sent_ids.add(now, client, id, SENT_ID_LIFETIME);
        setup_try.link = Some(connection);
        let (number, pool) = (pending.tries, setup_try.pool);
        let class = &self.procedures[pending.procedure].0;
        let bytes =
            lines::set_up(id, class, &pending.number, pending.gives_up_at - now, &pending.description);
        if let Some(link) = self.servers.links.get_mut(&connection) {
            link.open.push(ue);
            link.request_sent(now);
        }
        self.outputs.push_back(Output::Write { connection, bytes });
        let reason = format!("try {number} at {} on connection {connection}", self.server_name(pool));
        self.log_debug("set-up sent", call_subject(id), reason);
    }

    /// Removes the current setup try from its attach, and from its link or from its server's queue, and
    /// returns it.
    pub(crate) fn take_try(&mut self, now: f64, ue: UeId) -> Option<Try> {
        let setup_try = self.calls.pending(ue)?.2.current_try.take()?;
        match setup_try.link {
            Some(connection) => {
                if let Some(link) = self.servers.links.get_mut(&connection) {
                    link.open.retain(|u| *u != ue);
                    if link.retired && link.open.is_empty() {
                        self.drop_link(now, connection, "silent, and no set-up is out on it");
                    }
                }
            }
            None => {
                if let Some(server) = self.servers.all.get_mut(&setup_try.pool) {
                    server.waiting.retain(|u| *u != ue);
                }
            }
        }
        Some(setup_try)
    }

    /// Ends a setup try on behalf of its server or its link; the attach still has to be answered.
    pub(crate) fn end_try(&mut self, now: f64, ue: UeId, ended: EndReason, report: Report) {
        let Some(setup_try) = self.take_try(now, ue) else { return };
        self.count_try_end(ended);
        self.log_try_end(now, ue, &setup_try, ended);
        self.control.try_ended(now, ue, setup_try.pool, ended, false, report);
    }

    fn log_try_end(&mut self, now: f64, ue: UeId, setup_try: &Try, ended: EndReason) {
        let Some((id, _, pending)) = self.calls.pending(ue) else { return };
        let (number, lasted) = (pending.tries, now - setup_try.sent_at);
        let reason =
            format!("{ended:?}, try {number} at {}, after {lasted:.3} s", self.server_name(setup_try.pool));
        self.log_info("setup try ended", call_subject(id), reason);
    }

    pub(crate) fn count_try_end(&mut self, ended: EndReason) {
        let counters = &mut self.counters;
        let counter = match ended {
            EndReason::Unreached => &mut counters.unreached,
            EndReason::Throttled { .. } | EndReason::NoAgent => &mut counters.throttled,
            EndReason::Rejected => &mut counters.rejected,
            EndReason::TimedOut => &mut counters.timed_out,
            EndReason::Cut => &mut counters.cut,
            EndReason::Cancelled => &mut counters.cancelled,
            EndReason::Released => return,
        };
        *counter += 1;
    }

    /// Ends a setup try on behalf of the front and releases it at the server, so that no call is left there.
    pub(crate) fn abandon_try(&mut self, now: f64, ue: UeId, ended: EndReason) {
        let Some((id, _, pending)) = self.calls.pending(ue) else { return };
        let connection = pending.current_try.as_ref().and_then(|t| t.link);
        self.end_try(now, ue, ended, Report::default());
        if let Some(connection) = connection {
            self.release_try(now, connection, id);
        }
    }

    fn try_timed_out(&mut self, now: f64, ue: UeId, number: u32) {
        let Some((_, _, pending)) = self.calls.pending(ue) else { return };
        let Some(setup_try) = pending.current_try.as_ref().filter(|_| pending.tries == number) else {
            return;
        };
        let Some(connection) = setup_try.link else {
            // The try waits for a link, so nothing has been sent.
            return self.end_try(now, ue, EndReason::Unreached, Report::default());
        };
        let sent_at = setup_try.sent_at;
        if let Some(link) = self.servers.links.get_mut(&connection) {
            // Nothing was received since: the link may lead to a machine that is gone.
            if link.last_received_at < sent_at {
                link.retired = true;
            }
        }
        self.abandon_try(now, ue, EndReason::TimedOut);
    }

    /// Sends the one final answer of an attach whose call was not established.
    pub(crate) fn send_final_answer(
        &mut self,
        now: f64,
        ue: UeId,
        status: u16,
        pause: Option<f64>,
        reason: &str,
    ) {
        // `Control` answers only while no try is out; a try that is out nevertheless must be released.
        if self.calls.pending(ue).is_some_and(|c| c.2.current_try.is_some()) {
            self.abandon_try(now, ue, EndReason::Cancelled);
        }
        let Some(call) = self.calls.remove(ue) else { return };
        if let CallState::Pending(pending) = call.state {
            self.detach_from_client(now, call.client, ue);
            let bytes = sip::refusal(status, &pending.head, pause);
            self.outputs.push_back(Output::Write { connection: call.client, bytes });
            let reason = format!("{status} after {} tries: {reason}", pending.tries);
            self.log_info("attach refused", call_subject(call.id), reason);
        }
    }

    pub(crate) fn new_connection_id(&mut self) -> ConnectionId {
        self.last_connection_id += 2;
        self.last_connection_id
    }

    pub(crate) fn new_probe_id(&mut self) -> u64 {
        self.last_probe_id = self.last_probe_id.wrapping_add(1);
        self.last_probe_id
    }
}
