//! The signalling servers' side of a front: the list, links, and what comes on them.

use crate::calls::CallState;
use crate::causes::{NORMAL_CLEARING, TEMPORARY_FAILURE};
use crate::edge::{ConnectionId, Edge, Loss, Output, TimerEvent};
use crate::feed::Event;
use crate::lines::{self, Kind, Line};
use crate::link::{Link, LinkState, Phase, MAX_LINKS};
use crate::log::call_subject;
use crate::sip;
use shalespindle_control::interface::{EndReason, PoolEntry, PoolId, Report, UeId};
use std::collections::HashSet;

/// Pauses between dials to a server that cannot be reached, doubling.
const MIN_PAUSE: f64 = 0.05;
const MAX_PAUSE: f64 = 1.0;
/// So long after a server was removed what stood there is over, unless it said so itself.
const REMOVAL_GRACE: f64 = 0.5;
/// A call whose end was read before its caller told of it is remembered for so long.
const EARLY_RELEASE_LIFETIME: f64 = 30.0;
/// Part of the time for a dial that a server has to say its state unasked.
const UNPROMPTED_STATE_SHARE: f64 = 0.2;
/// Releases that wait for a link to one server.
pub(crate) const MAX_QUEUED_RELEASES: usize = 4096;

impl Edge {
    // ---- the list ----

    pub(crate) fn list_event(&mut self, now: f64, event: Event) {
        let Some(members) = event.members else { return };
        let mut entries = Vec::new();
        if members.complete {
            let named: HashSet<&str> = members.members.iter().map(|m| m.id.as_str()).collect();
            let unlisted = self.servers.all.values().filter(|s| !named.contains(s.id.as_str()));
            for pool in unlisted.map(|s| s.pool).collect::<Vec<_>>() {
                self.set_phase(now, pool, Phase::Removed);
            }
        }
        for member in members.members {
            let phase = match member.phase.as_str() {
                "up" => Phase::Up,
                "removed" => Phase::Removed,
                _ => Phase::Draining,
            };
            let unix = member.up_since_ms / 1000.0;
            // On the front's clock; what began before it did is long ago.
            let started = if unix > 0.0 { (unix - self.clock_epoch).max(0.0) } else { 0.0 };
            let pool = match (self.servers.named(&member.id), member.host_port) {
                (Some(pool), address) => {
                    let server = self.servers.all.get_mut(&pool);
                    let restarted = server.is_some_and(|s| {
                        let restarted = started > s.started_at || address.is_some_and(|a| a != s.address);
                        s.started_at = s.started_at.max(started);
                        s.address = address.unwrap_or(s.address);
                        restarted
                    });
                    if restarted {
                        self.server_restarted(now, pool);
                    }
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
        self.control.pools_listed(now, &entries, members.complete);
        self.resolve_handovers(now);
    }

    fn set_phase(&mut self, now: f64, pool: PoolId, phase: Phase) {
        let Some(server) = self.servers.all.get_mut(&pool) else { return };
        let before = std::mem::replace(&mut server.phase, phase);
        if phase == Phase::Up {
            return self.ensure_link(now, pool);
        }
        // Guards rule 3: what waits for a link must not go out after the grace.
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

    /// Guards the calls of a new server against links that a removed one never had: what comes up at its address now
    /// is somebody else, who may be listed under another name.
    fn drop_unfinished_links(&mut self, now: f64, pool: PoolId) {
        let links = self.servers.all.get(&pool).map(|s| s.links.clone()).unwrap_or_default();
        for connection in links {
            if self.servers.links.get(&connection).is_none_or(|l| l.state == LinkState::Up) {
                continue;
            }
            // One that the host has not begun is not made at all: who takes it would say there what is said once.
            let begins_it =
                |o: &Output| matches!(o, Output::Dial { connection: dialled, .. } if *dialled == connection);
            self.outputs.retain(|output| !begins_it(output));
            self.drop_link(now, connection, "not up, and its server was removed");
        }
    }

    /// Two entries of the list lead to one address: what is said there comes from one process.
    fn have_same_address(&self, one: PoolId, other: PoolId) -> bool {
        let address = |pool| self.servers.all.get(&pool).map(|s| s.address);
        one == other || address(one).is_some() && address(one) == address(other)
    }

    /// Another process under the same name: what was there is over.
    fn server_restarted(&mut self, now: f64, pool: PoolId) {
        let Some(server) = self.servers.all.get(&pool) else { return };
        for connection in server.links.clone() {
            self.drop_link(now, connection, "its server started anew");
        }
        self.process_ended(now, pool, "its server started anew");
    }

    /// A server that was removed has had the time for its last words.
    pub(crate) fn removal_expired(&mut self, now: f64, pool: PoolId) {
        // Guards the last words of one that was back in between and is removed again: its first removal's time is no
        // longer its own.
        let is_expired = |s: &&crate::link::Server| {
            s.phase == Phase::Removed && now >= s.removed_at + REMOVAL_GRACE - 1e-6
        };
        let Some(server) = self.servers.all.get(&pool).filter(is_expired) else { return };
        for connection in server.links.clone() {
            self.drop_link(now, connection, "its server was removed");
        }
        self.process_ended(now, pool, "its server was removed");
        self.servers.forget(pool);
    }

    /// What stands at a server is over.
    pub(crate) fn end_calls_at(&mut self, now: f64, pool: PoolId, reason: &'static str) {
        for ue in self.calls.standing_at(pool) {
            self.control.try_ended(now, ue, pool, EndReason::Cut, true, Report::default());
            self.end_established_call(now, ue, pool, TEMPORARY_FAILURE, reason);
        }
    }

    /// The process is gone, and with it what stood there: it need not be told of anything.
    pub(crate) fn process_ended(&mut self, now: f64, pool: PoolId, reason: &'static str) {
        self.end_calls_at(now, pool, reason);
        if let Some(server) = self.servers.all.get_mut(&pool) {
            server.queued_releases.clear();
        }
    }

    pub(crate) fn call_left_server(&mut self, pool: PoolId) {
        if let Some(server) = self.servers.all.get_mut(&pool) {
            server.established = server.established.saturating_sub(1);
        }
    }

    // ---- links ----

    /// Sees to it that a server which is up, or at which calls stand, has a link or is dialled.
    pub(crate) fn ensure_link(&mut self, now: f64, pool: PoolId) {
        let Some(server) = self.servers.all.get(&pool) else { return };
        let wanted = server.phase == Phase::Up
            || server.phase == Phase::Draining
                && (server.established > 0 || !server.queued_releases.is_empty());
        if wanted && server.links.is_empty() {
            self.dial(now, pool);
        }
    }

    /// Dials one more link, if none is being dialled and there is room.
    pub(crate) fn dial(&mut self, now: f64, pool: PoolId) {
        if self.servers.is_dialling(pool) {
            return;
        }
        let count = self.servers.all.get(&pool).map_or(MAX_LINKS, |s| s.links.len());
        if count >= MAX_LINKS {
            match self.servers.replaceable_link(now, pool, self.dial_timeout) {
                Some(connection) => self.drop_link(now, connection, "silent, another takes its place"),
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
        if self.servers.all.get(&link.pool).is_some_and(|s| s.never_announced) {
            self.link_up(now, connection);
        } else {
            self.timers
                .set(now + self.dial_timeout * UNPROMPTED_STATE_SHARE, TimerEvent::LinkSilent(connection));
        }
    }

    /// Guards against servers that do not say their state first: whether a process is there is asked.
    pub(crate) fn new_link_silent(&mut self, now: f64, connection: ConnectionId) {
        let Some(link) = self.servers.links.get(&connection).filter(|l| l.state == LinkState::Made) else {
            return;
        };
        if let Some(server) = self.servers.all.get_mut(&link.pool) {
            // One that has said its state before hangs, or its word is late: that a connection is made tells nothing.
            server.never_announced = !server.announces_state;
        }
        self.probe_link(now, connection);
    }

    /// A link that is not up by now will not come up.
    pub(crate) fn link_timed_out(&mut self, now: f64, connection: ConnectionId) {
        if self.servers.links.get(&connection).is_some_and(|l| l.state != LinkState::Up) {
            self.outputs.push_back(Output::Close { connection, reset: true });
            self.link_lost(now, connection, Loss::Broken);
        }
    }

    /// The front gives a link up; what has not left it must not arrive.
    pub(crate) fn drop_link(&mut self, now: f64, connection: ConnectionId, reason: &'static str) {
        if let Some(link) = self.servers.links.get(&connection) {
            let of = self.servers.all.get(&link.pool).map_or(String::new(), |s| s.id.clone());
            self.log_info("link given up", of, format!("connection {connection}: {reason}"));
            self.outputs.push_back(Output::Close { connection, reset: true });
            self.link_lost(now, connection, Loss::Broken);
        }
    }

    /// The host can not write on for now, or can again.
    pub fn set_blocked(&mut self, connection: ConnectionId, blocked: bool) {
        if let Some(link) = self.servers.links.get_mut(&connection) {
            link.blocked = blocked;
        }
    }

    /// Tells a server that a setup try is given up. Where its link is blocked the try itself may not have left yet: it
    /// must not arrive after its end, so the link goes with all that waits there.
    pub(crate) fn release_try(&mut self, now: f64, connection: ConnectionId, id: u64) {
        if self.servers.links.get(&connection).is_some_and(|l| l.blocked) {
            self.drop_link(now, connection, "blocked, with a set-up that was given up");
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
        server.links.retain(|w| *w != connection);
        let id = server.id.clone();
        let refused = !was_up && loss == Loss::Refused;
        let dead = refused && server.liveness.connection_refused(now);
        if was_up {
            server.pause = 0.0;
        }
        let pause = server.pause;
        server.pause = (2.0 * pause).clamp(MIN_PAUSE, MAX_PAUSE);
        // Refused, nothing that waits can be sent; reset while new, another dial may still bring it there.
        let waiting = if refused { std::mem::take(&mut server.waiting) } else { Default::default() };
        for ue in waiting {
            self.end_try(now, ue, EndReason::Unreached, Report::default());
        }
        self.log_info("link down", id, format!("connection {connection}: {:?}, {loss:?}", link.state));
        if dead {
            self.process_ended(now, pool, "its server's address refuses connections");
        }
        if pause > 0.0 {
            self.timers.set(now + pause, TimerEvent::Redial(pool));
        } else {
            self.redial(now, pool);
        }
    }

    /// Its first line came: the process behind it is there.
    fn link_up(&mut self, now: f64, connection: ConnectionId) {
        let Some(link) = self.servers.links.get_mut(&connection) else { return };
        link.state = LinkState::Up;
        let pool = link.pool;
        let Some(server) = self.servers.all.get_mut(&pool) else { return };
        server.pause = 0.0;
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
    }

    /// Guards against attaches whose callers have gone: what waited for a link goes out only when all that came beside
    /// the server's first word has been taken in.
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
                return self.drop_link(now, connection, "a line that cannot be read");
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
                (server.announces_state, server.never_announced) = (true, false);
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
                if pending.out.as_ref().is_some_and(|t| t.link == Some(connection))
                    && now <= pending.gives_up_at =>
            {
                (ue, client)
            }
            // A second copy.
            Some((_, _, CallState::Established(established))) if established.pool == pool => return,
            // Late, or for a try that is over: nothing may be left standing of it.
            _ => {
                self.counters.late_answers += 1;
                self.outputs
                    .push_back(Output::Write { connection, bytes: lines::release(id, NORMAL_CLEARING) });
                return;
            }
        };
        let Some(out) = self.take_try(now, ue) else { return };
        let Some((_, _, pending)) = self.calls.pending(ue) else { return };
        let bytes = sip::answer(&pending.head, &line.description);
        self.counters.stood += 1;
        self.log_debug("call stands", call_subject(id), self.server_name(pool).to_string());
        self.control.attach_established(now, ue, pool, now - out.sent_at);
        self.calls.establish(ue, pool, connection);
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
                if pending.out.as_ref().is_some_and(|t| t.link == Some(connection)) =>
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
                self.end_established_call(now, ue, pool, line.cause, "its server's word");
            }
            Some(_) => self.control.pool_reported(now, pool, false, report),
            None => {
                self.control.pool_reported(now, pool, false, report);
                if !self.handover_ended(now, id, line.cause) {
                    self.early_releases.add(now, id, EARLY_RELEASE_LIFETIME);
                }
            }
        }
    }

    /// The call came to its ordinary end while its answer is still on the way, or lost. It ran, so it is not set up
    /// again: its caller would hold a call standing that is over by its first server's word.
    fn ended_before_answer(&mut self, now: f64, ue: UeId, report: Report) {
        self.counters.ended_before_answer += 1;
        self.end_try(now, ue, EndReason::Released, report);
        self.send_final_answer(now, ue, 504, None, "it ended before its answer came");
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

    /// The module's probe.
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
