//! One front: what it is told, what it does about it. Inputs update what is known; [`Edge::poll`] then pulls
//! the module's decisions and carries them out; [`Edge::next_output`] hands out what the host is to do.

use crate::calls::{CallState, Calls, Try};
use crate::client_connection::{ClientConnection, ClientConnections};
use crate::early::EarlyIds;
use crate::feed::{Event, Feed, DIAL_WITHIN};
use crate::file::StartFile;
use crate::handover::Handed;
use crate::lines;
use crate::link::{LinkState, Phase, Servers};
use crate::log::{call_subject, LogRecord};
use crate::releases::Releases;
use crate::sip;
use shalespindle_control::control::Control;
use shalespindle_control::interface::{Decision, EndReason, PoolId, Report, UeId};
use shalespindle_control::liveness::ProbeMethod;
use shalespindle_signalling::timers::Timers;
use shalespindle_startup::ReportLayout;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Name of a connection. The host gives even ones to those it accepts; the front dials odd ones.
pub type ConnectionId = u64;

/// How a connection ended, or never came up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Refused: proof that nothing ran.
    Refused,
    Broken,
}

/// What the host is to do.
#[derive(Debug, PartialEq)]
pub enum Output {
    Dial {
        connection: ConnectionId,
        to: SocketAddr,
        within: f64,
    },
    Write {
        connection: ConnectionId,
        bytes: Vec<u8>,
    },
    /// With `reset` what was not sent must not arrive any more.
    Close {
        connection: ConnectionId,
        reset: bool,
    },
    Log(LogRecord),
}

/// What has been counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub attaches: u64,
    pub stood: u64,
    pub refused: u64,
    pub aborted: u64,
    pub left: u64,
    /// Answered by the front itself: it ended, or had no room.
    pub given_up: u64,
    pub bad_form: u64,
    pub unreadable: u64,
    pub no_place: u64,
    pub tries: u64,
    pub unreached: u64,
    pub throttled: u64,
    pub rejected: u64,
    pub timed_out: u64,
    pub cut: u64,
    pub cancelled: u64,
    pub links_spoilt: u64,
    pub links_lost: u64,
    pub late_answers: u64,
    /// Calls that stood on servers which fell silent, and are taken for over.
    pub calls_at_silent_servers: u64,
    /// Calls that came to their end at their server before their answer was heard.
    pub ended_before_answer: u64,
    pub clients_evicted: u64,
    pub clients_overdue: u64,
    /// Links that were not made for want of a descriptor.
    pub no_descriptor: u64,
    pub tests: u64,
    /// Releases written to callers, those written again elsewhere, confirmed, and never confirmed.
    pub byes: u64,
    pub byes_again: u64,
    pub byes_heard: u64,
    pub byes_unheard: u64,
}

/// What falls due.
pub(crate) enum Due {
    Wake,
    /// A setup try's time is up.
    Try(UeId, u32),
    /// So long may a setup try wait for a link.
    Waited(UeId, u32),
    /// A link must be up by now.
    Link(ConnectionId),
    /// A link that is made and still silent is asked for a word.
    Silent(ConnectionId),
    /// Another dial to that server.
    Dial(PoolId),
    /// What stands at a server that was removed is over.
    Gone(PoolId),
    /// An ending front answers what is still in hand.
    LastAnswers,
    /// Callers' connections that were to be closed have been read to their end.
    Close,
    Sweep,
}

/// Time between two looks at what may be overdue.
const SWEEP: f64 = 0.1;
/// A platform's time limits are longer by this on sockets; the guard is kept by that much longer too.
const SOCKET_SLACK: f64 = 0.05;
/// Part of the memory limit that descriptions in hand may fill.
const HELD_PART: f64 = 0.125;

pub struct Edge {
    pub(crate) control: Control,
    pub(crate) reading: ReportLayout,
    /// Names of the procedures and the longest time that a caller of each may wait.
    pub(crate) procedures: Vec<(String, f64)>,
    pub(crate) most_held: usize,
    pub(crate) most_bytes: usize,
    pub(crate) most_sockets: usize,
    pub(crate) dial_within: f64,
    /// Unix time of the clock's zero, seconds.
    pub(crate) zero: f64,
    pub(crate) calls: Calls,
    pub(crate) clients: ClientConnections,
    pub(crate) releases: Releases,
    pub(crate) early_cancels: EarlyIds,
    /// Calls that a server released before this front knew of them: their callers may yet hand them over.
    pub(crate) early_releases: EarlyIds,
    /// Callers' connections to close once all that has come on them is read.
    pub(crate) closing: BTreeSet<ConnectionId>,
    /// When a caller's connection was last there.
    pub(crate) clients_at: f64,
    pub(crate) servers: Servers,
    pub(crate) feed: Feed,
    pub(crate) timers: Timers<Due>,
    pub(crate) out: VecDeque<Output>,
    pub(crate) counters: Counters,
    /// Calls handed over whose server is not known yet.
    pub(crate) handed: Vec<Handed>,
    pub(crate) ending: Option<f64>,
    /// Servers that have a link again: what waits for one goes out in the front's next turn.
    pub(crate) linked: Vec<PoolId>,
    last_connection_id: ConnectionId,
    last_test: u64,
}

impl Edge {
    /// A front as its file says; `unix` is the Unix time now, seconds. The list as far as it is known is taken
    /// at once.
    pub fn new(file: StartFile, now: f64, unix: f64) -> Result<Edge, String> {
        let startup = file.settings.into_startup()?;
        let mut deployment = startup.deployment;
        deployment.release_guard += SOCKET_SLACK;
        let longest = deployment.procedures.iter().map(|p| p.t_timer);
        let asking = if deployment.may_probe { ProbeMethod::Test } else { ProbeMethod::Dial };
        let procedures = startup.host.procedure_names.into_iter().zip(longest).collect();
        let mut edge = Edge {
            control: Control::new(file.seed, deployment, now),
            reading: startup.report_layout,
            procedures,
            most_held: startup.host.max_pending_attaches,
            most_bytes: (file.limits.memory_mb * 1e6 * HELD_PART) as usize,
            most_sockets: file.limits.sockets,
            dial_within: startup.host.connect_timeout,
            zero: unix - now,
            calls: Calls::default(),
            clients: ClientConnections::default(),
            releases: Releases::default(),
            early_cancels: EarlyIds::default(),
            early_releases: EarlyIds::default(),
            closing: BTreeSet::new(),
            clients_at: now,
            servers: Servers::new(asking),
            feed: Feed::new(file.feed, now),
            timers: Timers::default(),
            out: VecDeque::new(),
            counters: Counters::default(),
            handed: Vec::new(),
            ending: None,
            linked: Vec::new(),
            last_connection_id: 1,
            last_test: file.seed,
        };
        edge.know(now, file.known.n, file.known.events);
        edge.timers.set(now + SWEEP, Due::Sweep);
        Ok(edge)
    }

    /// Events that a file brings along, and the number that the feed goes on from.
    fn know(&mut self, now: f64, n: u64, events: Vec<Event>) {
        let taken = self.feed.taken;
        for event in events.into_iter().filter(|e| e.n > taken) {
            self.listed(now, event);
        }
        self.feed.taken = self.feed.taken.max(n);
    }

    // ---- what the host tells ----

    /// A caller's connection was accepted.
    pub fn accepted(&mut self, now: f64, connection: ConnectionId) {
        self.clients.open(now, connection);
    }

    /// A connection that the front dialled is made.
    pub fn connected(&mut self, now: f64, connection: ConnectionId) {
        if self.feed.connection == Some(connection) {
            let bytes = self.feed.connected(now);
            self.log_info("feed connected", self.feed.to, format!("after event {}", self.feed.taken));
            self.out.push_back(Output::Write { connection, bytes });
        } else {
            self.link_made(now, connection);
        }
    }

    /// A connection ended, or never came up.
    pub fn lost(&mut self, now: f64, connection: ConnectionId, loss: Loss) {
        if self.feed.connection == Some(connection) {
            if self.feed.is_up() {
                self.log_info("feed lost", self.feed.to, "connection ended");
            }
            self.feed.lost(now);
        } else if self.clients.all.contains_key(&connection) {
            self.client_lost(now, connection);
        } else {
            let pool =
                self.servers.links.get(&connection).filter(|l| l.state == LinkState::Up).map(|l| l.pool);
            self.link_lost(now, connection, loss);
            if let Some(pool) = pool {
                self.ask_other_links(now, pool);
            }
        }
    }

    /// Bytes came; `arrived` is the earliest time at which they can have come.
    pub fn bytes(&mut self, now: f64, arrived: f64, connection: ConnectionId, bytes: &[u8]) {
        if self.clients.all.contains_key(&connection) {
            self.client_bytes(now, arrived, connection, bytes);
        } else if self.servers.links.contains_key(&connection) {
            self.link_bytes(now, connection, bytes);
        } else if self.feed.connection == Some(connection) {
            let mut news = Vec::new();
            let good = self.feed.bytes(now, bytes, &mut news);
            for event in news {
                self.listed(now, event);
            }
            if !good {
                self.log_info("feed left", self.feed.to, "a gap, or what cannot be read");
                self.out.push_back(Output::Close { connection, reset: false });
                self.feed.lost(now);
            }
        }
    }

    /// The file was replaced: the feed goes on at the address it names.
    pub fn reconfigured(&mut self, now: f64, file: StartFile) {
        self.log_info("configuration taken", file.feed, format!("known to {}", file.known.n));
        // Only what follows without a gap, or begins anew with the whole list, may be taken from the file.
        let first = file.known.events.iter().map(|e| e.n).find(|n| *n > self.feed.taken);
        if first == Some(self.feed.taken + 1) {
            self.know(now, file.known.n, file.known.events);
        }
        self.feed.moved(now, file.feed);
    }

    // ---- what it does ----

    /// When [`Edge::poll`] is due again at the latest.
    pub fn wake_at(&self) -> f64 {
        self.timers.next().min(self.feed.due())
    }

    pub fn next_output(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Attaches in hand, calls standing, callers' connections, links.
    pub fn gauges(&self) -> [usize; 4] {
        [self.calls.in_hand(), self.calls.standing(), self.clients.all.len(), self.servers.links.len()]
    }

    /// Connections on which something may have come that changes what is sent next: those of callers whose attaches
    /// may be sent on, and the feed; and those of callers that may be closed, since what has come on them is owed an
    /// answer. None where nothing may be sent or closed.
    pub fn connections_to_read_first(&self, now: f64) -> Vec<ConnectionId> {
        let all_may_close = self.takes_no_more(now) || self.clients.all.len() > self.max_clients();
        // Part of one that is being written to a server that does not read may still wait here.
        let is_blocked = |link| self.servers.links.get(&link).is_some_and(|l| l.blocked);
        let waits =
            |ue: &UeId| self.calls.is_unsent(*ue) || self.calls.link_of_try(*ue).is_some_and(is_blocked);
        let unsent = |d: &ClientConnection| d.open.iter().any(waits);
        let (mut connections, mut sends) = (Vec::new(), false);
        for (connection, client) in &self.clients.all {
            let is_unsent = unsent(client);
            sends |= is_unsent;
            if is_unsent || all_may_close || self.closing.contains(connection) {
                connections.push(*connection);
            }
        }
        if sends {
            connections.extend(self.feed.connection);
        }
        connections
    }

    /// Whether a connection is one to a server.
    pub fn is_link(&self, connection: ConnectionId) -> bool {
        self.servers.links.contains_key(&connection)
    }

    /// Deals with what is due, then decides and carries out until there is nothing more.
    pub fn poll(&mut self, now: f64) {
        self.send_waiting(now);
        while let Some(due) = self.timers.pop(now) {
            self.due(now, due);
        }
        if self.feed.asks(now) {
            if let Some(connection) = self.feed.connection {
                self.log_info("feed left", self.feed.to, self.feed.why_left());
                self.out.push_back(Output::Close { connection, reset: false });
            }
            let connection = self.new_connection_id();
            self.feed.asked(now, connection);
            self.out.push_back(Output::Dial { connection, to: self.feed.to, within: DIAL_WITHIN });
        }
        while let Some(decision) = self.control.next_decision(now) {
            self.carry(now, decision);
        }
        self.make_room(now);
    }

    fn due(&mut self, now: f64, due: Due) {
        match due {
            Due::Wake => self.control.wake(now),
            Due::Try(ue, number) => self.try_due(now, ue, number),
            Due::Waited(ue, number) => {
                let waits = |t: &Try| t.link.is_none();
                let pending = self.calls.pending(ue).map(|c| c.2);
                if pending.is_some_and(|h| h.tries == number && h.out.as_ref().is_some_and(waits)) {
                    self.try_over(now, ue, EndReason::Unreached, Report::default());
                }
            }
            Due::Link(connection) => self.link_due(now, connection),
            Due::Silent(connection) => self.link_silent(now, connection),
            Due::Dial(pool) => self.dial_due(now, pool),
            Due::Gone(pool) => self.server_gone(now, pool),
            Due::LastAnswers => self.last_answers(now),
            Due::Close => self.close_marked(now),
            Due::Sweep => {
                self.sweep(now);
                self.watch_servers(now);
                if !self.clients.all.is_empty() {
                    self.clients_at = now;
                }
                self.timers.set(now + SWEEP, Due::Sweep);
            }
        }
    }

    fn carry(&mut self, now: f64, decision: Decision) {
        match decision {
            Decision::SetUp { ue, pool, timeout } => self.set_up(now, ue, pool, timeout),
            Decision::Cancel { ue, setup_try } => {
                if self.calls.pending(ue).is_some_and(|c| c.2.out.is_some() && c.2.tries == setup_try + 1) {
                    self.try_given_up(now, ue, EndReason::Cancelled);
                }
            }
            Decision::Refuse { ue, pause } => {
                self.counters.refused += 1;
                self.final_answer(now, ue, 503, Some(pause), "no server may take it now");
            }
            Decision::Abort { ue } => {
                self.counters.aborted += 1;
                self.final_answer(now, ue, 504, None, "no time is left for another try");
            }
            Decision::Probe { pool } => self.test(now, pool),
            Decision::Wake { after } => self.timers.set(now + after, Due::Wake),
        }
    }

    fn set_up(&mut self, now: f64, ue: UeId, pool: PoolId, timeout: f64) {
        let Some((_, _, pending)) = self.calls.pending(ue) else { return };
        pending.tries += 1;
        pending.out = Some(Try { pool, link: None, sent_at: now });
        let (number, until) = (pending.tries, (now + timeout).min(pending.gives_up_at));
        self.counters.tries += 1;
        self.timers.set(until, Due::Try(ue, number));
        if self.servers.all.get(&pool).is_none_or(|s| s.phase != Phase::Up) {
            return self.try_over(now, ue, EndReason::Unreached, Report::default());
        }
        match self.servers.best_link(now, pool, self.dial_within) {
            Some(connection) => {
                if !self.servers.links[&connection].open.is_empty() {
                    // The next set-up finds a link of its own: one that is spoilt takes few with it.
                    self.dial(now, pool);
                }
                self.write_set_up(now, ue, connection);
            }
            None => {
                if let Some(server) = self.servers.all.get_mut(&pool) {
                    server.waiting.push_back(ue);
                }
                self.timers.set(now + self.dial_within, Due::Waited(ue, number));
                self.dial(now, pool);
            }
        }
    }

    /// Puts a setup try on a link. Callers have checked that its server still takes what is new.
    pub(crate) fn write_set_up(&mut self, now: f64, ue: UeId, connection: ConnectionId) {
        let Some((id, _, pending)) = self.calls.pending(ue) else { return };
        let Some(out) = pending.out.as_mut() else { return };
        out.link = Some(connection);
        let (number, pool) = (pending.tries, out.pool);
        let class = &self.procedures[pending.procedure].0;
        let bytes =
            lines::set_up(id, class, &pending.number, pending.gives_up_at - now, &pending.description);
        if let Some(link) = self.servers.links.get_mut(&connection) {
            link.open.push(ue);
            link.asked(now);
        }
        self.out.push_back(Output::Write { connection, bytes });
        let reason = format!("try {number} at {} on connection {connection}", self.server_name(pool));
        self.log_debug("set-up sent", call_subject(id), reason);
    }

    /// Takes the setup try that is out off the books of its link and of its server; returns it.
    pub(crate) fn take_try(&mut self, now: f64, ue: UeId) -> Option<Try> {
        let out = self.calls.pending(ue)?.2.out.take()?;
        match out.link {
            Some(connection) => {
                if let Some(link) = self.servers.links.get_mut(&connection) {
                    link.open.retain(|u| *u != ue);
                    if link.retired && link.open.is_empty() {
                        self.drop_link(now, connection, "silent, nothing out on it any more");
                    }
                }
            }
            None => {
                if let Some(server) = self.servers.all.get_mut(&out.pool) {
                    server.waiting.retain(|u| *u != ue);
                }
            }
        }
        Some(out)
    }

    /// A setup try ended by its server or by its link; the attach is still owed its answer.
    pub(crate) fn try_over(&mut self, now: f64, ue: UeId, ended: EndReason, report: Report) {
        let Some(out) = self.take_try(now, ue) else { return };
        self.count(ended);
        self.log_try_over(now, ue, &out, ended);
        self.control.try_ended(now, ue, out.pool, ended, false, report);
    }

    fn log_try_over(&mut self, now: f64, ue: UeId, out: &Try, ended: EndReason) {
        let Some((id, _, pending)) = self.calls.pending(ue) else { return };
        let (number, lasted) = (pending.tries, now - out.sent_at);
        let reason =
            format!("{ended:?}, try {number} at {}, after {lasted:.3} s", self.server_name(out.pool));
        self.log_info("try over", call_subject(id), reason);
    }

    pub(crate) fn count(&mut self, ended: EndReason) {
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

    /// The front itself ends a setup try: its server is told, so that nothing of it is left there.
    fn try_given_up(&mut self, now: f64, ue: UeId, ended: EndReason) {
        let Some((id, _, pending)) = self.calls.pending(ue) else { return };
        let connection = pending.out.as_ref().and_then(|t| t.link);
        self.try_over(now, ue, ended, Report::default());
        if let Some(connection) = connection {
            self.end_try_on(now, connection, id);
        }
    }

    fn try_due(&mut self, now: f64, ue: UeId, number: u32) {
        let Some((_, _, pending)) = self.calls.pending(ue) else { return };
        let Some(out) = pending.out.as_ref().filter(|_| pending.tries == number) else { return };
        let Some(connection) = out.link else {
            // Still waiting for a link: nothing of it has left.
            return self.try_over(now, ue, EndReason::Unreached, Report::default());
        };
        let sent_at = out.sent_at;
        if let Some(link) = self.servers.links.get_mut(&connection) {
            // Guards against open links to machines that are gone: nothing has come on it since.
            if link.heard_at < sent_at {
                link.retired = true;
            }
        }
        self.try_given_up(now, ue, EndReason::TimedOut);
    }

    /// The attach's one final answer, other than that its call stands.
    pub(crate) fn final_answer(
        &mut self,
        now: f64,
        ue: UeId,
        status: u16,
        pause: Option<f64>,
        reason: &'static str,
    ) {
        // The module answers only when no try is out; should one be, it must not be left behind.
        if self.calls.pending(ue).is_some_and(|c| c.2.out.is_some()) {
            self.try_given_up(now, ue, EndReason::Cancelled);
        }
        let Some(call) = self.calls.remove(ue) else { return };
        if let CallState::Pending(pending) = call.state {
            self.leave_client(now, call.client, ue);
            let bytes = sip::refusal(status, &pending.head, pause);
            self.out.push_back(Output::Write { connection: call.client, bytes });
            let reason = format!("{status} after {} tries: {reason}", pending.tries);
            self.log_info("attach refused", call_subject(call.id), reason);
        }
    }

    pub(crate) fn new_connection_id(&mut self) -> ConnectionId {
        self.last_connection_id += 2;
        self.last_connection_id
    }

    pub(crate) fn new_test(&mut self) -> u64 {
        self.last_test = self.last_test.wrapping_add(1);
        self.last_test
    }
}
