//! The signalling servers' side of a front: the list of servers, the links, and the lines received on them.

use crate::calls::CallState;
use crate::causes::NORMAL_CLEARING;
use crate::edge::{ConnectionId, Edge, Loss, Output, TimerEvent};
use crate::feed::Event;
use crate::limits::MAX_MESSAGE_BYTES;
use crate::lines::{self, Kind, Line};
use crate::link::{Link, LinkState, Phase, Server, MAX_LINKS};
use crate::log::call_subject;
use crate::sip;
use shalespindle_control::interface::{EndReason, PoolEntry, PoolId, Report, UeId};
use std::collections::HashSet;

/// Pauses between dials to a server that cannot be reached, seconds; each is twice the previous one.
const MIN_PAUSE: f64 = 0.05;
const MAX_PAUSE: f64 = 1.0;
/// Time after a server's removal in which it can release its calls itself, seconds; then they are ended.
const REMOVAL_GRACE: f64 = 0.5;
/// Time for which a release is remembered if the call has not been handed over to this front yet, seconds.
const EARLY_RELEASE_LIFETIME: f64 = 30.0;
/// Fraction of the dial timeout within which a server has to announce its state.
const UNPROMPTED_STATE_SHARE: f64 = 0.2;
/// Limit of the releases queued until a server has a link.
pub(crate) const MAX_QUEUED_RELEASES: usize = 4096;

impl Edge {
    // ---- server list ----

    pub(crate) fn list_event(&mut self, now: f64, event: Event) {
        let Some(update) = event.members else { return };
        let mut entries = Vec::new();
        let last_known = self.servers.last_pool();
        if update.complete {
            let named: HashSet<&str> = update.members.iter().map(|m| m.id.as_str()).collect();
            let unlisted = self.servers.all.values().filter(|s| !named.contains(s.id.as_str()));
            for pool in unlisted.map(|s| s.pool).collect::<Vec<_>>() {
                self.set_phase(now, pool, Phase::Removed);
            }
        }
        for member in update.members {
            let phase = match member.phase.as_str() {
                "up" => Phase::Up,
                "removed" => Phase::Removed,
                _ => Phase::Draining,
            };
            let unix = member.up_since_ms / 1000.0;
            // On the host's clock; a start before its zero counts as long ago.
            let started = if unix > 0.0 { (unix - self.clock_epoch).max(0.0) } else { 0.0 };
            let pool = match (self.servers.named(&member.id), member.host_port) {
                (Some(pool), address) => {
                    self.server_listed_again(now, pool, address, started);
                    pool
                }
                (None, Some(address)) if phase != Phase::Removed => {
                    self.servers.add(&member.id, address, member.cell, started)
                }
                (None, _) => continue,
            };
            let number = self.servers.all.get(&pool).map_or(member.cell, |s| s.number);
            entries.push(PoolEntry { id: pool, number, started, ready: phase == Phase::Up });
            let at = self.servers.all.get(&pool).map(|s| s.address);
            let reason = format!("{phase:?}, pool {number}, {at:?}, started {started}, event {}", event.n);
            self.log_info("server listed", &member.id, reason);
            self.set_phase(now, pool, phase);
        }
        let retired = self.retire_predecessors(now, last_known);
        entries.retain(|entry| retired.iter().all(|gone| gone.id != entry.id));
        // A predecessor comes first, so that the new server takes its place.
        let entries = [retired, entries].concat();
        self.control.pools_listed(now, &entries, update.complete);
        self.resolve_handovers(now);
    }

    pub(crate) fn set_phase(&mut self, now: f64, pool: PoolId, phase: Phase) {
        let Some(server) = self.servers.all.get_mut(&pool) else { return };
        let before = std::mem::replace(&mut server.phase, phase);
        if phase == Phase::Up {
            server.successor = None;
            return self.ensure_link(now, pool);
        }
        // Platform rule 3: set-ups that wait for a link must not be sent to a server that is out of service.
        for ue in std::mem::take(&mut server.waiting) {
            self.end_try(now, ue, EndReason::Unreached, Report::default());
        }
        if phase == Phase::Removed {
            self.drop_unfinished_links(now, pool);
        }
        if phase == Phase::Removed && before != Phase::Removed {
            if let Some(server) = self.servers.all.get_mut(&pool) {
                server.removed_at = now;
            }
            self.timers.set(now + REMOVAL_GRACE, TimerEvent::RemovalGraceOver(pool));
        }
    }

    /// Drops links of a removed server that have not come up: the process that now accepts connections at
    /// that address may be a new server, listed under another name.
    pub(crate) fn drop_unfinished_links(&mut self, now: f64, pool: PoolId) {
        let links = self.servers.all.get(&pool).map(|s| s.links.clone()).unwrap_or_default();
        for connection in links {
            if self.servers.links.get(&connection).is_none_or(|l| l.state == LinkState::Up) {
                continue;
            }
            // Removes dials that the host has not started: a server sends some messages only once, and one
            // that accepted this connection would send them there.
            let is_its_dial =
                |o: &Output| matches!(o, Output::Dial { connection: dialled, .. } if *dialled == connection);
            self.outputs.retain(|output| !is_its_dial(output));
            self.drop_link(now, connection, "not up when its server was removed");
        }
    }

    /// Whether two entries of the list have the same address, so that lines from either come from one
    /// process.
    fn have_same_address(&self, one: PoolId, other: PoolId) -> bool {
        let address = |pool| self.servers.all.get(&pool).map(|s| s.address);
        one == other || address(one).is_some() && address(one) == address(other)
    }

    /// Removes a server, and ends its calls, once the grace period after its removal has passed.
    pub(crate) fn removal_expired(&mut self, now: f64, pool: PoolId) {
        // A server that was listed again and removed once more gets its full grace period: the timer of the
        // first removal is ignored.
        let is_expired =
            |s: &&Server| s.phase == Phase::Removed && now >= s.removed_at + REMOVAL_GRACE - 1e-6;
        let Some(server) = self.servers.all.get(&pool).filter(is_expired) else { return };
        for connection in server.links.clone() {
            self.drop_link(now, connection, "its server was removed");
        }
        self.process_ended(now, pool, "its server was removed");
        self.servers.forget(pool);
    }

    pub(crate) fn call_left_server(&mut self, pool: PoolId) {
        if let Some(server) = self.servers.all.get_mut(&pool) {
            server.established = server.established.saturating_sub(1);
        }
    }

    // ---- links ----

    /// Dials a server that lacks a link.
    pub(crate) fn ensure_link(&mut self, now: f64, pool: PoolId) {
        if self.servers.all.get(&pool).is_some_and(Server::lacks_link) {
            self.dial(now, pool);
        }
    }

    /// Dials one more link unless one is being dialled or there is no descriptor for it.
    pub(crate) fn dial(&mut self, now: f64, pool: PoolId) {
        if self.servers.is_dialling(pool) {
            return;
        }
        let count = self.servers.all.get(&pool).map_or(MAX_LINKS, |s| s.links.len());
        if count >= MAX_LINKS {
            match self.servers.replaceable_link(now, pool, self.dial_timeout) {
                Some(connection) => self.drop_link(now, connection, "silent, replaced by another link"),
                None => return,
            }
        }
        let found = self.servers.all.get(&pool).map(|s| (s.address, s.links.is_empty()));
        let Some((to, is_first)) = found else { return };
        if !self.has_descriptor_for_link(is_first) {
            self.counters.no_descriptor += 1;
            return;
        }
        let connection = self.new_connection_id();
        if let Some(server) = self.servers.all.get_mut(&pool) {
            server.links.push(connection);
        }
        self.servers.links.insert(connection, Link::new(now, pool));
        self.timers.set(now + self.dial_timeout, TimerEvent::LinkTimeout(connection));
        self.outputs.push_back(Output::Dial { connection, to, timeout: self.dial_timeout });
    }

    pub(crate) fn redial(&mut self, now: f64, pool: PoolId) {
        let Some(server) = self.servers.all.get(&pool) else { return };
        if !server.waiting.is_empty() || server.probe_pending {
            self.dial(now, pool);
        } else {
            self.ensure_link(now, pool);
        }
    }

    pub(crate) fn link_connected(&mut self, now: f64, connection: ConnectionId) {
        let Some(link) = self.servers.links.get_mut(&connection) else { return };
        link.state = LinkState::Made;
        if self.servers.all.get(&link.pool).is_some_and(|s| s.does_not_announce) {
            self.link_up(now, connection);
        } else {
            self.timers
                .set(now + self.dial_timeout * UNPROMPTED_STATE_SHARE, TimerEvent::ProbeNewLink(connection));
        }
    }

    /// Probes a connected link on which the server has not announced its state, to learn whether a process is
    /// there.
    pub(crate) fn new_link_silent(&mut self, now: f64, connection: ConnectionId) {
        let Some(link) = self.servers.links.get(&connection).filter(|l| l.state == LinkState::Made) else {
            return;
        };
        if let Some(server) = self.servers.all.get_mut(&link.pool) {
            // A server that has announced its state before hangs or is late: an established connection alone
            // proves nothing.
            server.does_not_announce = !server.has_announced_state;
        }
        self.probe_link(now, connection);
    }

    /// Drops a link that has not come up in time.
    pub(crate) fn link_timed_out(&mut self, now: f64, connection: ConnectionId) {
        if self.servers.links.get(&connection).is_some_and(|l| l.state != LinkState::Up) {
            self.outputs.push_back(Output::Close { connection, reset: true });
            self.link_lost(now, connection, Loss::Broken);
        }
    }

    /// Drops a link with a reset, so that unsent bytes do not arrive.
    pub(crate) fn drop_link(&mut self, now: f64, connection: ConnectionId, reason: &'static str) {
        if let Some(link) = self.servers.links.get(&connection) {
            let id = self.servers.all.get(&link.pool).map_or(String::new(), |s| s.id.clone());
            self.log_info("link dropped", id, format!("connection {connection}: {reason}"));
            self.outputs.push_back(Output::Close { connection, reset: true });
            self.link_lost(now, connection, Loss::Broken);
        }
    }

    /// The host can not write to a connection for now, or can again.
    pub fn set_blocked(&mut self, connection: ConnectionId, blocked: bool) {
        if let Some(link) = self.servers.links.get_mut(&connection) {
            link.blocked = blocked;
        }
    }

    /// Releases an abandoned setup try at its server. If the link is blocked, the set-up itself may still be
    /// unsent and must not arrive after its end, so the whole link is dropped.
    pub(crate) fn release_try(&mut self, now: f64, connection: ConnectionId, id: u64) {
        if self.servers.links.get(&connection).is_some_and(|l| l.blocked) {
            self.drop_link(now, connection, "blocked with an abandoned set-up");
        } else {
            self.outputs.push_back(Output::Write { connection, bytes: lines::release(id, NORMAL_CLEARING) });
        }
    }

    pub(crate) fn link_lost(&mut self, now: f64, connection: ConnectionId, loss: Loss) {
        let Some(link) = self.servers.links.remove(&connection) else { return };
        let pool = link.pool;
        let was_up = link.state == LinkState::Up;
        self.counters.links_lost += u64::from(was_up);
        for ue in link.open {
            self.end_try(now, ue, EndReason::Cut, Report::default());
        }
        let Some(server) = self.servers.all.get_mut(&pool) else { return };
        server.links.retain(|c| *c != connection);
        let id = server.id.clone();
        let refused = !was_up && loss == Loss::Refused;
        // Without a process at the address nothing can be repeated; a later link tells what has become of it.
        let may_miss_release = |s: &Server| (!refused && s.established > 0).then_some(now);
        server.release_missed_at = may_miss_release(server);
        let successor = server.successor;
        let dead = refused && server.liveness.connection_refused(now);
        if was_up {
            server.pause = 0.0;
        }
        let pause = server.pause;
        server.pause = (2.0 * pause).clamp(MIN_PAUSE, MAX_PAUSE);
        // After a refusal waiting tries cannot be sent; after a reset during the dial, another dial may still
        // succeed.
        let waiting = if refused { std::mem::take(&mut server.waiting) } else { Default::default() };
        for ue in waiting {
            self.end_try(now, ue, EndReason::Unreached, Report::default());
        }
        self.log_info("link down", id, format!("connection {connection}: {:?}, {loss:?}", link.state));
        if let Some(successor) = successor.and_then(|s| self.servers.all.get_mut(&s)) {
            // The link led to the successor's process.
            successor.release_missed_at = may_miss_release(successor);
        }
        if dead {
            self.process_ended(now, pool, "its server refuses connections");
        }
        if pause > 0.0 {
            self.timers.set(now + pause, TimerEvent::Redial(pool));
        } else {
            self.redial(now, pool);
        }
    }

    /// The first line was received, so a process is at the other end.
    fn link_up(&mut self, now: f64, connection: ConnectionId) {
        let Some(link) = self.servers.links.get_mut(&connection) else { return };
        link.state = LinkState::Up;
        link.up_at = now;
        let (pool, dialled_at) = (link.pool, link.dialled_at);
        let Some(server) = self.servers.all.get_mut(&pool) else { return };
        server.pause = 0.0;
        server.release_missed_at = server.release_missed_at.filter(|missed_at| *missed_at > dialled_at);
        let probe_pending = std::mem::take(&mut server.probe_pending);
        let id = server.id.clone();
        if server.liveness.is_another_process() {
            self.process_replaced(now, pool, connection);
        }
        self.send_queued_releases(pool, connection);
        self.newly_linked.push(pool);
        if probe_pending {
            self.probe_link(now, connection);
        }
        self.log_info("link up", id, format!("connection {connection}"));
        self.ensure_link(now, pool);
    }

    /// Sends the tries that waited for a link. This happens one poll after the link came up, when all input
    /// that arrived with the server's first line has been handled, so that no attach whose caller has left is
    /// sent.
    pub(crate) fn send_waiting_tries(&mut self, now: f64) {
        for pool in std::mem::take(&mut self.newly_linked) {
            let Some(connection) = self.servers.best_link(now, pool, self.dial_timeout) else { continue };
            let Some(server) = self.servers.all.get_mut(&pool) else { continue };
            for ue in std::mem::take(&mut server.waiting) {
                self.write_set_up(now, ue, connection);
            }
        }
    }

    pub(crate) fn link_bytes(&mut self, now: f64, connection: ConnectionId, bytes: &[u8]) {
        let Some(link) = self.servers.links.get_mut(&connection) else { return };
        let mut framer = std::mem::take(&mut link.lines);
        framer.push(bytes);
        loop {
            let line = match framer.next_line() {
                Ok(Some(line)) => lines::read(line),
                Ok(None) => break,
                Err(lines::TooLong) => None,
            };
            let Some(line) = line else {
                self.counters.links_spoilt += 1;
                return self.drop_link(now, connection, "unreadable line");
            };
            self.line(now, connection, &line);
            match self.servers.links.get_mut(&connection) {
                Some(link) => link.line_received(now),
                None => return,
            }
        }
        if let Some(link) = self.servers.links.get_mut(&connection) {
            link.lines = framer;
        }
    }

    fn line(&mut self, now: f64, connection: ConnectionId, line: &Line) {
        let Some(link) = self.servers.links.get(&connection) else { return };
        let pool = link.pool;
        if link.state != LinkState::Up {
            if let Some(server) = self.servers.all.get_mut(&pool).filter(|_| line.kind == Kind::State) {
                (server.has_announced_state, server.does_not_announce) = (true, false);
            }
            self.link_up(now, connection);
        }
        if let Some(server) = self.servers.all.get_mut(&pool) {
            server.liveness.message_received(now);
        }
        self.send_queued_releases(pool, connection);
        let report = line.report(&self.report_layout);
        match (line.kind, line.id) {
            (Kind::Answer, Some(id)) => self.answer_received(now, connection, pool, id, line),
            (Kind::Release, Some(id)) => self.release_received(now, connection, pool, id, line, report),
            (Kind::Pong, Some(id)) => {
                let known = self.servers.links.get_mut(&connection).is_some_and(|l| l.take_probe(id));
                if known {
                    self.control.pool_reported(now, pool, line.cause == 1, report);
                }
            }
            (Kind::Ping, Some(id)) => {
                self.outputs.push_back(Output::Write { connection, bytes: lines::pong(id) });
            }
            (Kind::State, _) => self.control.pool_reported(now, pool, false, report),
            _ => {}
        }
    }

    fn answer_received(&mut self, now: f64, connection: ConnectionId, pool: PoolId, id: u64, line: &Line) {
        let call = self.calls.by_id(id);
        let ue = call.map(|call| (call.ue, call.client, &call.state));
        let (ue, client) = match ue {
            Some((ue, client, CallState::Pending(pending)))
                if pending.current_try.as_ref().is_some_and(|t| t.link == Some(connection))
                    && now <= pending.gives_up_at =>
            {
                (ue, client)
            }
            // A repeated answer.
            Some((_, _, CallState::Established(established))) if established.pool == pool => return,
            // The answer is late or its try has ended: no call may be left established at the server.
            _ => {
                self.counters.late_answers += 1;
                self.outputs
                    .push_back(Output::Write { connection, bytes: lines::release(id, NORMAL_CLEARING) });
                return;
            }
        };
        let Some((_, _, pending)) = self.calls.pending(ue) else { return };
        let bytes = sip::answer(&pending.head, &line.description);
        if bytes.len() > MAX_MESSAGE_BYTES {
            return self.answer_too_long(now, ue);
        }
        let Some(setup_try) = self.take_try(now, ue) else { return };
        let pool = self.entry_of_process(pool);
        self.counters.stood += 1;
        self.log_debug("call established", call_subject(id), self.server_name(pool).to_string());
        self.control.attach_established(now, ue, setup_try.pool, now - setup_try.sent_at);
        let link_up_at = self.servers.links.get(&connection).map_or(now, |l| l.up_at);
        self.calls.establish(ue, pool, connection, link_up_at);
        if let Some(server) = self.servers.all.get_mut(&pool) {
            server.established += 1;
        }
        self.detach_from_client(now, client, ue);
        if let Some(client) = self.clients.all.get_mut(&client) {
            client.unconfirmed.push(ue);
            client.established.insert(ue);
        }
        self.outputs.push_back(Output::Write { connection: client, bytes });
    }

    /// The answer, with the header lines that its caller wants repeated, is longer than a message may be. The
    /// call ran, so it is released at its server and not set up again.
    fn answer_too_long(&mut self, now: f64, ue: UeId) {
        self.abandon_try(now, ue, EndReason::Released);
        self.send_final_answer(now, ue, 502, None, "its answer is too long for its caller");
        self.control.client_left(now, ue);
    }

    fn release_received(
        &mut self,
        now: f64,
        connection: ConnectionId,
        pool: PoolId,
        id: u64,
        line: &Line,
        report: Report,
    ) {
        let server_of_call = self.calls.by_id(id).and_then(|call| match &call.state {
            CallState::Established(established) => Some(established.pool),
            CallState::Pending(_) => None,
        });
        let is_from_its_server = server_of_call.is_some_and(|at| self.have_same_address(at, pool));
        let call = self.calls.by_id(id).map(|call| (call.ue, &call.state));
        match call {
            Some((ue, CallState::Pending(pending)))
                if pending.current_try.as_ref().is_some_and(|t| t.link == Some(connection)) =>
            {
                if line.cause == NORMAL_CLEARING {
                    self.ended_before_answer(now, ue, report);
                } else {
                    self.end_try(now, ue, line.end_reason(), report);
                }
            }
            Some((ue, CallState::Established(established))) if is_from_its_server => {
                let pool = established.pool;
                let ended = if line.cause == NORMAL_CLEARING { EndReason::Released } else { EndReason::Cut };
                self.control.try_ended(now, ue, pool, ended, true, report);
                self.outputs.push_back(Output::Write { connection, bytes: lines::released(id) });
                self.end_established_call(now, ue, pool, line.cause, "released by its server");
            }
            Some(_) => self.control.pool_reported(now, pool, false, report),
            None => {
                self.control.pool_reported(now, pool, false, report);
                if !self.handover_ended(now, id, line.cause) {
                    self.early_releases.add(now, connection, id, EARLY_RELEASE_LIFETIME);
                }
            }
        }
    }

    /// The server released the call normally while its answer was still on the way, or lost. The call ran, so
    /// it is not set up again: a repeated set-up would leave the caller with an established call although the
    /// first server has ended it.
    fn ended_before_answer(&mut self, now: f64, ue: UeId, report: Report) {
        self.counters.ended_before_answer += 1;
        self.end_try(now, ue, EndReason::Released, report);
        self.send_final_answer(now, ue, 504, None, "released before its answer arrived");
        self.control.client_left(now, ue);
    }

    /// Releases a call at its server, now or as soon as there is a link.
    pub(crate) fn release_to(&mut self, now: f64, pool: PoolId, id: u64, cause: u16) {
        if let Some(connection) = self.servers.any_link(now, pool, self.dial_timeout) {
            self.outputs.push_back(Output::Write { connection, bytes: lines::release(id, cause) });
        } else if let Some(server) = self.servers.all.get_mut(&pool) {
            if server.queued_releases.len() < MAX_QUEUED_RELEASES {
                server.queued_releases.push_back((id, cause));
            }
            self.ensure_link(now, pool);
        }
    }

    /// Probes a server on request of `Control`.
    pub(crate) fn probe(&mut self, now: f64, pool: PoolId) {
        match self.servers.best_link(now, pool, self.dial_timeout) {
            Some(connection) => self.probe_link(now, connection),
            None => {
                if let Some(server) = self.servers.all.get_mut(&pool) {
                    server.probe_pending = true;
                }
                self.dial(now, pool);
            }
        }
    }

    pub(crate) fn probe_link(&mut self, now: f64, connection: ConnectionId) {
        let id = self.new_probe_id();
        if let Some(link) = self.servers.links.get_mut(&connection) {
            link.probe_sent(now, id);
            self.counters.tests += 1;
            self.outputs.push_back(Output::Write { connection, bytes: lines::ping(id) });
        }
    }
}
