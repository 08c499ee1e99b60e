//! The callers' side of a front: messages received on client connections, and those sent to callers.

use crate::calls::{CallState, EstablishedCall, PendingCall};
use crate::causes::{NORMAL_CLEARING, TEMPORARY_FAILURE};
use crate::client_connection::{Usage, MAX_BAD_MESSAGES};
use crate::edge::{ConnectionId, Edge, Output, TimerEvent};
use crate::lines;
use crate::log::{call_subject, connection_subject, LogLevel};
use crate::releases::Release;
use crate::sip;
use shalespindle_control::interface::{EndReason, NewAttach, PoolId, Report, UeId};
use shalespindle_signalling::write::{ResponseHead, Writer};
use shalespindle_signalling::{FrameError, Message, Method, ParseError, Start};
use std::collections::BTreeSet;

/// Longest time for which an attach waits for the input behind it on its connection to be read, seconds.
const MAX_UNREAD_DELAY: f64 = 0.1;
/// This fraction (one sixteenth) of the places for pending attaches is kept for connections that hold no more than
/// as many.
const RESERVED_SHARE_DIVISOR: usize = 16;
/// Time between marking a connection for closing and closing it, in which pending input is read, seconds.
const CLOSE_DELAY: f64 = 0.001;

/// An attach that `Control` does not know yet.
pub(crate) struct UndecidedAttach {
    new: NewAttach,
    connection: ConnectionId,
    read_at: f64,
}

impl Edge {
    pub(crate) fn client_bytes(&mut self, now: f64, arrived: f64, connection: ConnectionId, bytes: &[u8]) {
        let Some(mut framer) = self.clients.take_framer(connection) else { return };
        framer.push(bytes);
        loop {
            match framer.next_frame() {
                Ok(Some(frame)) => self.frame(now, arrived, connection, frame),
                Ok(None) => break,
                Err(error) => return self.unreadable(now, connection, &error),
            }
            if !self.clients.all.contains_key(&connection) {
                return;
            }
        }
        self.clients.put_framer(now, connection, framer);
        self.limit_partial_messages(now);
    }

    /// Closes connections while incomplete messages take too much memory.
    fn limit_partial_messages(&mut self, now: f64) {
        while self.clients.partial_bytes() > self.max_partial_bytes {
            let Some(candidate) = self.clients.partial_eviction_candidate() else { return };
            self.counters.clients_evicted += 1;
            self.outputs.push_back(Output::Write { connection: candidate, bytes: sip::unreadable(503) });
            self.close_client(now, candidate, "closed to free the memory of an incomplete message");
        }
    }

    /// Handles one complete message.
    fn frame(&mut self, now: f64, arrived: f64, connection: ConnectionId, frame: &[u8]) {
        if let Some(client) = self.clients.all.get_mut(&connection) {
            // The message is complete, so no part of one is waiting.
            client.partial_since = None;
        }
        match Message::parse(frame) {
            Ok(message) => self.message(now, arrived, connection, &message),
            Err(error) => self.unparsed(now, connection, frame, &error),
        }
    }

    /// Answers a message that is complete but cannot be parsed. Where it ends is known, so the connection can
    /// go on serving others.
    fn unparsed(&mut self, now: f64, connection: ConnectionId, frame: &[u8], error: &ParseError) {
        self.counters.unreadable += 1;
        self.log_debug("message rejected", connection_subject(connection), error.to_string());
        self.outputs.push_back(Output::Write { connection, bytes: sip::unparsed(400, frame) });
        self.count_bad_message(now, connection);
    }

    /// Answers and closes the connection: the end of the message is unknown, so nothing after it can be read.
    fn unreadable(&mut self, now: f64, connection: ConnectionId, error: &FrameError) {
        self.counters.unreadable += 1;
        let status = match error {
            FrameError::ContentLength => 413,
            FrameError::HeadTooLong => 400,
        };
        let reason = format!("unreadable message: {error}");
        self.answer_pending_on(now, connection, &reason);
        self.outputs.push_back(Output::Write { connection, bytes: sip::unreadable(status) });
        self.close_client(now, connection, &reason);
    }

    fn message(&mut self, now: f64, arrived: f64, connection: ConnectionId, message: &Message) {
        match message.start {
            Start::Request { method: Method::Invite, .. } => self.invite(now, arrived, connection, message),
            Start::Request { method: Method::Ack, .. } => self.ack(now, connection, message),
            Start::Request { method: Method::Cancel, .. } => self.cancel(now, connection, message),
            Start::Request { method: Method::Bye, .. } => self.bye(now, connection, message),
            Start::Request { method: Method::Options, .. } => {
                self.clients.used(now, connection, Usage::Probes);
                self.respond(connection, 200, message);
            }
            Start::Request { .. } => self.bad(now, connection, message, 405),
            Start::Response { status, .. } => {
                if let (Some(id), Ok((_, Method::Bye))) = (sip::id(message), message.cseq()) {
                    self.release_answered(now, connection, id, status);
                }
            }
        }
    }

    /// Handles the response to a release. A client that is not the caller's may have got it, and rejects it.
    fn release_answered(&mut self, now: f64, connection: ConnectionId, id: u64, status: u16) {
        let is_heard = (200..300).contains(&status) || self.releases.is_own_connection(id, connection);
        if !is_heard {
            self.releases.rejected_on(now, id, connection);
            return self.send_releases(now);
        }
        if self.releases.confirm(id) {
            self.counters.byes_heard += 1;
            self.caller_shown(now, connection, Usage::Caller);
        }
    }

    fn respond(&mut self, connection: ConnectionId, status: u16, message: &Message) {
        let bytes = Writer::response(status, &ResponseHead::for_request(message, "")).finish();
        self.outputs.push_back(Output::Write { connection, bytes });
    }

    /// Answers a malformed message.
    fn bad(&mut self, now: f64, connection: ConnectionId, message: &Message, status: u16) {
        self.counters.bad_form += 1;
        self.respond(connection, status, message);
        self.count_bad_message(now, connection);
    }

    /// Closes the connection if there were too many bad messages on it and no attach is pending there.
    fn count_bad_message(&mut self, now: f64, connection: ConnectionId) {
        let Some(client) = self.clients.all.get_mut(&connection) else { return };
        client.bad_messages += 1;
        if client.bad_messages >= MAX_BAD_MESSAGES && client.open.is_empty() {
            self.close_client(now, connection, "too many malformed messages");
        }
    }

    fn invite(&mut self, now: f64, arrived: f64, connection: ConnectionId, message: &Message) {
        let Some(id) = sip::id(message) else { return self.bad(now, connection, message, 400) };
        let Ok(route) = sip::route(message) else { return self.bad(now, connection, message, 400) };
        if let Some(server) = route.at {
            return self.call_handed_over(now, connection, id, server);
        }
        if self.clients.all.get(&connection).is_some_and(|c| c.has_closed) {
            // Nobody waits for an answer.
            self.counters.left += 1;
            return;
        }
        if let Some(call) = self.calls.by_id(id) {
            let (ue, same_connection, is_pending) =
                (call.ue, call.client == connection, matches!(call.state, CallState::Pending(_)));
            if same_connection && is_pending {
                // A repeated set-up with the same id on the same connection: a single answer would be
                // ambiguous, so both are rejected.
                self.caller_left(now, ue);
            }
            return self.bad(now, connection, message, 482);
        }
        if self.sent_ids.contains(now, id) {
            // The call has run, or its end is uncertain: set up again, it might run twice.
            self.log_info("attach refused", call_subject(id), "482: it was sent to a server before");
            self.clients.used(now, connection, Usage::Requests);
            return self.respond(connection, 482, message);
        }
        if self.early_cancels.take(now, id) {
            self.counters.left += 1;
            self.clients.used(now, connection, Usage::Requests);
            return self.respond(connection, 487, message);
        }
        let request = match sip::read_set_up(message, &route, &self.procedures) {
            Ok(request) => request,
            Err(_) => return self.bad(now, connection, message, 400),
        };
        let pending = PendingCall {
            procedure: request.procedure,
            number: request.number.into(),
            description: request.description.into(),
            head: ResponseHead::for_request(message, ""),
            gives_up_at: arrived + request.patience,
            tries: 0,
            current_try: None,
        };
        let class = &self.procedures[request.procedure].0;
        if !lines::set_up_fits(class, request.number, request.patience, request.description) {
            self.counters.no_place += 1;
            self.log_info("attach refused", call_subject(id), "513: too long for a server");
            self.clients.used(now, connection, Usage::Requests);
            return self.respond(connection, 513, message);
        }
        let is_full = self.has_no_place_for(connection, &pending);
        if is_full || self.refuses_new_calls(now) {
            self.counters.no_place += 1;
            let reason = if is_full { "503: limit reached" } else { "503: shutting down" };
            self.log_info("attach refused", call_subject(id), reason);
            self.clients.used(now, connection, Usage::Requests);
            return self.respond(connection, 503, message);
        }
        self.add_attach(now, connection, id, pending, request.first_choice);
    }

    /// Whether the pending attaches have reached their limit in number or memory. The last places are kept for
    /// connections with few pending attaches, so that one client cannot take them all.
    fn has_no_place_for(&self, connection: ConnectionId, pending: &PendingCall) -> bool {
        let own_count = self.clients.all.get(&connection).map_or(0, |c| c.open.len());
        let reserved = self.max_pending / RESERVED_SHARE_DIVISOR;
        let max_pending = if own_count > reserved { self.max_pending - reserved } else { self.max_pending };
        self.calls.pending_count() >= max_pending
            || self.calls.stored_bytes() + pending.stored_bytes() > self.max_stored_bytes
    }

    /// Records a new attach and passes it to `Control`.
    fn add_attach(
        &mut self,
        now: f64,
        connection: ConnectionId,
        id: u64,
        pending: PendingCall,
        first_choice: Option<u16>,
    ) {
        let (procedure, gives_up_at) = (pending.procedure, pending.gives_up_at);
        let called_number = sip::number(&pending.number);
        let ue = self.calls.add(id, connection, CallState::Pending(Box::new(pending)));
        self.counters.attaches += 1;
        self.log_debug("attach accepted", call_subject(id), format!("connection {connection}"));
        self.clients.used(now, connection, Usage::Requests);
        if let Some(client) = self.clients.all.get_mut(&connection) {
            client.open.push(ue);
        }
        // A number that no pool has, where the caller names no first choice.
        let first_choice = first_choice.unwrap_or(u16::MAX);
        let new = NewAttach { ue, procedure, first_choice, called_number, gives_up_at };
        self.undecided.push(UndecidedAttach { new, connection, read_at: now });
        self.send_releases(now);
    }

    /// Passes new attaches to `Control`, but for a while not those of connections with unread input, which may
    /// end in a close.
    pub(crate) fn pass_new_attaches(&mut self, now: f64) {
        for undecided in std::mem::take(&mut self.undecided) {
            let is_behind = self.unread_clients.contains(&undecided.connection);
            if is_behind && now - undecided.read_at < MAX_UNREAD_DELAY {
                self.undecided.push(undecided);
            } else if self.calls.pending(undecided.new.ue).is_some() {
                self.control.attach_arrived(now, undecided.new);
            }
        }
    }

    /// Names the client connections with input that was not read in time before the next poll.
    pub fn set_unread_clients(&mut self, unread: BTreeSet<ConnectionId>) {
        self.unread_clients = unread;
    }

    fn ack(&mut self, now: f64, connection: ConnectionId, message: &Message) {
        let Some(id) = sip::id(message) else { return };
        if self.releases.is_owed(id) {
            // The confirmation of an answer whose call has ended meanwhile.
            return self.caller_shown(now, connection, Usage::Caller);
        }
        let Some(call) = self.calls.by_id(id) else { return };
        let (ue, client) = (call.ue, call.client);
        if let CallState::Established(established) = &mut call.state {
            established.confirmed = true;
            if let Some(client) = self.clients.all.get_mut(&client) {
                client.unconfirmed.retain(|u| *u != ue);
            }
            self.caller_shown(now, connection, Usage::Caller);
        }
    }

    /// A message shows that a caller uses the connection, on which owed releases can therefore be sent.
    pub(crate) fn caller_shown(&mut self, now: f64, connection: ConnectionId, usage: Usage) {
        if self.clients.used(now, connection, usage) {
            self.send_releases(now);
        }
    }

    fn cancel(&mut self, now: f64, connection: ConnectionId, message: &Message) {
        let Some(id) = sip::id(message) else { return self.respond(connection, 481, message) };
        let Some(call) = self.calls.by_id(id) else {
            return self.cancel_unknown(now, connection, id, message);
        };
        let ue = call.ue;
        match &call.state {
            CallState::Pending(pending) => {
                // A caller that has left is owed no answer, but RFC 3261 section 9.2 requires one to the
                // set-up.
                let (client, bytes) = (call.client, sip::refusal(487, &pending.head, None));
                self.clients.used(now, connection, Usage::Requests);
                self.respond(connection, 200, message);
                self.outputs.push_back(Output::Write { connection: client, bytes });
                self.caller_left(now, ue);
            }
            // The CANCEL crossed the answer: the caller no longer wants the call.
            CallState::Established(EstablishedCall { confirmed: false, .. }) => {
                let client = call.client;
                self.respond(connection, 200, message);
                self.released_by_caller(now, ue, NORMAL_CLEARING);
                self.clients.used(now, connection, Usage::Requests);
                self.send_release(now, client, id, NORMAL_CLEARING);
            }
            CallState::Established(_) => {
                self.respond(connection, 200, message);
                self.caller_shown(now, connection, Usage::Requests);
            }
        }
    }

    /// Handles the CANCEL of a call that is not held: its set-up may still be unread, or the call has ended.
    fn cancel_unknown(&mut self, now: f64, connection: ConnectionId, id: u64, message: &Message) {
        self.respond(connection, 481, message);
        if self.releases.is_owed(id) {
            return self.caller_shown(now, connection, Usage::Caller);
        }
        let max_patience = self.procedures.iter().fold(0.0, |l: f64, p| l.max(p.1));
        self.early_cancels.add(now, connection, id, max_patience);
        self.caller_shown(now, connection, Usage::Requests);
    }

    fn bye(&mut self, now: f64, connection: ConnectionId, message: &Message) {
        let Some(id) = sip::id(message) else { return self.respond(connection, 481, message) };
        let cause = message.q850_cause().unwrap_or(NORMAL_CLEARING);
        let Some(call) = self.calls.by_id(id) else {
            return self.bye_of_ended_call(now, connection, id, cause, message);
        };
        let (ue, established) = (call.ue, matches!(call.state, CallState::Established(_)));
        self.respond(connection, 200, message);
        self.caller_shown(now, connection, if established { Usage::Caller } else { Usage::Requests });
        if established {
            self.released_by_caller(now, ue, cause);
        } else {
            self.caller_left(now, ue);
        }
    }

    /// Handles the release of a call that is not held as established: it may have ended already, and the
    /// caller may not have been told yet.
    fn bye_of_ended_call(
        &mut self,
        now: f64,
        connection: ConnectionId,
        id: u64,
        cause: u16,
        message: &Message,
    ) {
        // Only its caller knows the id of a call; with its own release it needs no other.
        let was_owed = self.releases.released_by_caller(id);
        let is_known = was_owed || self.handover_released(id, cause);
        self.respond(connection, if is_known { 200 } else { 481 }, message);
        self.caller_shown(now, connection, if was_owed { Usage::Caller } else { Usage::Requests });
    }

    /// Removes a pending attach whose caller stopped waiting: no answer is owed, and its setup try is
    /// released.
    pub(crate) fn caller_left(&mut self, now: f64, ue: UeId) {
        self.counters.left += 1;
        self.control.client_left(now, ue);
        let Some((id, client, _)) = self.calls.pending(ue) else { return };
        self.log_debug("caller left", call_subject(id), format!("connection {client}"));
        if let Some(setup_try) = self.take_try(now, ue) {
            if let Some(connection) = setup_try.link {
                self.release_try(now, connection, id);
            }
            self.count_try_end(EndReason::Cancelled);
            self.control.try_ended(now, ue, setup_try.pool, EndReason::Cancelled, true, Report::default());
        }
        self.detach_from_client(now, client, ue);
        self.calls.remove(ue);
    }

    fn released_by_caller(&mut self, now: f64, ue: UeId, cause: u16) {
        let Some(call) = self.calls.remove(ue) else { return };
        let CallState::Established(established) = call.state else { return };
        self.detach_from_client(now, call.client, ue);
        self.control.try_ended(now, ue, established.pool, EndReason::Cancelled, true, Report::default());
        self.release_to(now, established.pool, call.id, cause);
        self.call_left_server(established.pool);
    }

    /// Ends an established call on behalf of its server or of the front and sends the release to the caller.
    pub(crate) fn end_established_call(
        &mut self,
        now: f64,
        ue: UeId,
        pool: PoolId,
        cause: u16,
        reason: &'static str,
    ) {
        let Some(call) = self.calls.remove(ue) else { return };
        let level = if cause == NORMAL_CLEARING { LogLevel::Debug } else { LogLevel::Info };
        let reason = format!("cause {cause} at {}: {reason}", self.server_name(pool));
        self.log(level, "call ended", call_subject(call.id), reason);
        self.detach_from_client(now, call.client, ue);
        self.send_release(now, call.client, call.id, cause);
        self.call_left_server(pool);
    }

    pub(crate) fn send_release(&mut self, now: f64, own_connection: ConnectionId, id: u64, cause: u16) {
        self.releases.add(now, id, cause, own_connection);
        self.send_releases(now);
    }

    /// Sends the releases that are not confirmed yet, as far as there are suitable connections.
    pub(crate) fn send_releases(&mut self, now: f64) {
        let due = self.releases.take_due(now, &mut self.clients);
        self.write_releases(due);
    }

    fn write_releases(&mut self, releases: Vec<Release>) {
        for Release { connection, id, cause, is_repeat } in releases {
            self.counters.byes += 1;
            if is_repeat {
                self.counters.byes_again += 1;
                let usage = self.clients.all.get(&connection).map_or(Usage::None, |c| c.usage);
                let reason = format!("repeated on connection {connection}, usage {usage:?}");
                self.log_info("release not confirmed", call_subject(id), reason);
            }
            self.outputs.push_back(Output::Write { connection, bytes: sip::bye(id, cause) });
        }
    }

    pub(crate) fn detach_from_client(&mut self, now: f64, connection: ConnectionId, ue: UeId) {
        if let Some(client) = self.clients.all.get_mut(&connection) {
            client.open.retain(|u| *u != ue);
            client.unconfirmed.retain(|u| *u != ue);
            client.established.remove(&ue);
            client.last_at = now;
        }
    }

    /// Closes a client connection on behalf of the front. Its callers have not left, so pending attaches are
    /// answered first, and releases are written that their callers may only read here; calls whose answer is
    /// unconfirmed stay established, because an orderly close delivers what was written before it.
    pub(crate) fn close_client(&mut self, now: f64, connection: ConnectionId, reason: &str) {
        self.answer_pending_on(now, connection, reason);
        let last_releases = self.releases.take_before_close(now, connection, &self.clients);
        self.write_releases(last_releases);
        self.log_info("client closed", connection_subject(connection), reason);
        self.outputs.push_back(Output::Close { connection, reset: false });
        if self.clients.remove(connection).is_some() {
            self.resend_releases_of(now, connection);
        }
    }

    /// Fails all pending attaches that arrived on a connection.
    fn answer_pending_on(&mut self, now: f64, connection: ConnectionId, reason: &str) {
        let pending = self.clients.all.get(&connection).map(|c| c.open.clone()).unwrap_or_default();
        for ue in pending {
            self.fail_attach(now, ue, reason);
        }
    }

    /// The peer has closed a client connection on which there is more to read than can be read before the next
    /// decision. Its callers have left: set-ups on it are not sent on, while releases that it sent still count.
    pub fn client_has_closed(&mut self, now: f64, connection: ConnectionId) {
        let Some(client) = self.clients.all.get_mut(&connection) else { return };
        client.has_closed = true;
        for ue in client.open.clone() {
            self.caller_left(now, ue);
        }
    }

    /// The peer ended a client connection, or it broke.
    pub(crate) fn client_connection_lost(&mut self, now: f64, connection: ConnectionId) {
        let Some(client) = self.clients.remove(connection) else { return };
        for ue in client.open {
            self.caller_left(now, ue);
        }
        // It is unknown whether the caller read the answer, so the call is released on both sides.
        for ue in client.unconfirmed {
            let Some(id) = self.calls.by_ue(ue).map(|c| c.id) else { continue };
            self.released_by_caller(now, ue, TEMPORARY_FAILURE);
            self.send_release(now, connection, id, TEMPORARY_FAILURE);
        }
        self.resend_releases_of(now, connection);
    }

    /// Sends the releases last sent on a connection that has ended on other connections.
    fn resend_releases_of(&mut self, now: f64, connection: ConnectionId) {
        self.releases.client_connection_lost(now, connection);
        self.send_releases(now);
    }

    pub(crate) fn sweep(&mut self, now: f64) {
        self.mark_for_close(now);
        self.expire_handovers(now);
        for id in self.releases.expire(now) {
            self.counters.byes_unheard += 1;
            self.log_info("release never confirmed", call_subject(id), "expired");
        }
        self.send_releases(now);
    }

    /// Marks overdue connections, and during shutdown idle ones, to be closed after the pending input is
    /// read.
    fn mark_for_close(&mut self, now: f64) {
        self.closing = self.clients.overdue(now).into_iter().chain(self.idle_at_shutdown(now)).collect();
        if !self.closing.is_empty() {
            self.timers.set(now + CLOSE_DELAY, TimerEvent::CloseMarked);
        }
    }

    /// Closes the marked connections unless input read in the meantime keeps them open.
    pub(crate) fn close_marked(&mut self, now: f64) {
        let marked = std::mem::take(&mut self.closing);
        for connection in self.idle_at_shutdown(now).into_iter().filter(|c| marked.contains(c)) {
            self.close_client(now, connection, "shutting down, and unused");
        }
        for connection in self.clients.overdue(now).into_iter().filter(|c| marked.contains(c)) {
            self.counters.clients_overdue += 1;
            let useless = self
                .clients
                .all
                .get(&connection)
                .is_some_and(|c| c.usage == Usage::None || c.partial_since.is_some());
            if useless {
                self.outputs.push_back(Output::Write { connection, bytes: sip::unreadable(408) });
            }
            let reason = if useless { "no useful message in time" } else { "idle" };
            self.close_client(now, connection, reason);
        }
    }
}
