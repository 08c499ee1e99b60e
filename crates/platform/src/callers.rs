//! The callers' side of a front: what comes on their connections, and what goes out to them.

use crate::calls::{CallState, PendingCall, Stands};
use crate::causes::{CLEARED, CUT};
use crate::client_connection::{Use, MOST_BAD};
use crate::edge::{ConnectionId, Due, Edge, Output};
use crate::log::{call_subject, connection_subject, LogLevel};
use crate::releases::Release;
use crate::sip;
use shalespindle_control::interface::{EndReason, NewAttach, PoolId, Report, UeId};
use shalespindle_signalling::write::{ResponseHead, Writer};
use shalespindle_signalling::{Framer, Message, Method, Start};

/// Time for what has come on a connection to be read before it is closed, seconds.
const READ_TO_END: f64 = 0.001;

impl Edge {
    pub(crate) fn client_bytes(&mut self, now: f64, arrived: f64, connection: ConnectionId, bytes: &[u8]) {
        let Some(client) = self.clients.all.get_mut(&connection) else { return };
        let empty = Framer::with_max_body(0);
        let mut framer = std::mem::replace(&mut client.framer, empty);
        framer.push(bytes);
        loop {
            match framer.next_frame() {
                Ok(Some(frame)) => match Message::parse(frame) {
                    Ok(message) => self.message(now, arrived, connection, &message),
                    Err(_) => return self.unreadable(now, connection, 400),
                },
                Ok(None) => break,
                Err(shalespindle_signalling::FrameError::ContentLength) => {
                    return self.unreadable(now, connection, 413)
                }
                Err(shalespindle_signalling::FrameError::HeadTooLong) => {
                    return self.unreadable(now, connection, 400)
                }
            }
            if !self.clients.all.contains_key(&connection) {
                return;
            }
        }
        if let Some(client) = self.clients.all.get_mut(&connection) {
            client.partial_since = (framer.buffered() > 0).then(|| client.partial_since.unwrap_or(now));
            client.framer = framer;
        }
    }

    /// What cannot be read ends its connection: nothing after it can be told apart.
    fn unreadable(&mut self, now: f64, connection: ConnectionId, status: u16) {
        self.counters.unreadable += 1;
        self.out.push_back(Output::Write { connection, bytes: sip::unreadable(status) });
        self.close_client(now, connection, "what came on it cannot be read");
    }

    fn message(&mut self, now: f64, arrived: f64, connection: ConnectionId, message: &Message) {
        if let Some(client) = self.clients.all.get_mut(&connection) {
            // What is whole was no part of what is not.
            client.partial_since = None;
        }
        match message.start {
            Start::Request { method: Method::Invite, .. } => self.invite(now, arrived, connection, message),
            Start::Request { method: Method::Ack, .. } => self.ack(now, connection, message),
            Start::Request { method: Method::Cancel, .. } => self.cancel(now, connection, message),
            Start::Request { method: Method::Bye, .. } => self.bye(now, connection, message),
            Start::Request { method: Method::Options, .. } => {
                self.clients.used(now, connection, Use::Tests);
                self.respond(connection, 200, message);
            }
            Start::Request { .. } => self.bad(now, connection, message, 405),
            Start::Response { .. } => {
                if let (Some(id), Ok((_, Method::Bye))) = (sip::id(message), message.cseq()) {
                    if self.releases.heard(id) {
                        self.counters.byes_heard += 1;
                        self.clients.used(now, connection, Use::Caller);
                    }
                }
            }
        }
    }

    fn respond(&mut self, connection: ConnectionId, status: u16, message: &Message) {
        let bytes = Writer::response(status, &ResponseHead::for_request(message, "")).finish();
        self.out.push_back(Output::Write { connection, bytes });
    }

    /// Of bad form: answered, and the connection closed when that goes on.
    fn bad(&mut self, now: f64, connection: ConnectionId, message: &Message, status: u16) {
        self.counters.bad_form += 1;
        self.respond(connection, status, message);
        let Some(client) = self.clients.all.get_mut(&connection) else { return };
        client.bad += 1;
        if client.bad >= MOST_BAD {
            self.close_client(now, connection, "too many messages of bad form");
        }
    }

    fn invite(&mut self, now: f64, arrived: f64, connection: ConnectionId, message: &Message) {
        let Some(id) = sip::id(message) else { return self.bad(now, connection, message, 400) };
        let Ok(route) = sip::route(message) else { return self.bad(now, connection, message, 400) };
        if let Some(server) = route.at {
            return self.handed_over(now, connection, id, server);
        }
        if let Some(call) = self.calls.by_id(id) {
            let (ue, same, in_hand) =
                (call.ue, call.client == connection, matches!(call.state, CallState::Pending(_)));
            if same && in_hand {
                // Two set-ups that one answer would belong to: the one answer is that neither is served.
                self.client_left(now, ue);
            }
            return self.bad(now, connection, message, 482);
        }
        if self.early_cancels.take(now, id) {
            self.counters.left += 1;
            self.clients.used(now, connection, Use::Asks);
            return self.respond(connection, 487, message);
        }
        let asked = match sip::asked(message, &route, &self.procedures) {
            Ok(asked) => asked,
            Err(_) => return self.bad(now, connection, message, 400),
        };
        let full = self.calls.in_hand() >= self.most_held
            || self.calls.bytes() + asked.description.len() > self.most_bytes;
        if full || self.takes_no_more(now) {
            self.counters.no_place += 1;
            let reason = if full { "503: no room" } else { "503: the front ends" };
            self.log_info("attach refused", call_subject(id), reason);
            self.clients.used(now, connection, Use::Asks);
            return self.respond(connection, 503, message);
        }
        let gives_up_at = arrived + asked.patience;
        let pending = PendingCall {
            procedure: asked.procedure,
            number: asked.number.into(),
            description: asked.description.into(),
            head: ResponseHead::for_request(message, ""),
            gives_up_at,
            tries: 0,
            out: None,
        };
        let ue = self.calls.add(id, connection, CallState::Pending(Box::new(pending)));
        self.counters.attaches += 1;
        self.log_debug("attach taken", call_subject(id), format!("connection {connection}"));
        self.clients.used(now, connection, Use::Asks);
        if let Some(client) = self.clients.all.get_mut(&connection) {
            client.open.push(ue);
        }
        let new = NewAttach {
            ue,
            procedure: asked.procedure,
            // One that no pool has where none is named.
            first_choice: asked.first_choice.unwrap_or(u16::MAX),
            called_number: sip::number(asked.number),
            gives_up_at,
        };
        self.control.attach_arrived(now, new);
        self.send_releases(now);
    }

    fn ack(&mut self, now: f64, connection: ConnectionId, message: &Message) {
        let Some(call) = sip::id(message).and_then(|id| self.calls.by_id(id)) else { return };
        let (ue, client) = (call.ue, call.client);
        if let CallState::Stands(stands) = &mut call.state {
            stands.confirmed = true;
            if let Some(client) = self.clients.all.get_mut(&client) {
                client.unconfirmed.retain(|u| *u != ue);
            }
            self.clients.used(now, connection, Use::Caller);
            self.send_releases(now);
        }
    }

    fn cancel(&mut self, now: f64, connection: ConnectionId, message: &Message) {
        let Some(id) = sip::id(message) else { return self.respond(connection, 481, message) };
        let Some(call) = self.calls.by_id(id) else {
            let longest = self.procedures.iter().fold(0.0, |l: f64, p| l.max(p.1));
            self.early_cancels.add(now, id, longest);
            return self.respond(connection, 481, message);
        };
        let ue = call.ue;
        match &call.state {
            CallState::Pending(pending) => {
                // No answer is owed, but RFC 3261 section 9.2 gives the set-up one.
                let (client, bytes) = (call.client, sip::refusal(487, &pending.head, None));
                self.clients.used(now, connection, Use::Asks);
                self.respond(connection, 200, message);
                self.out.push_back(Output::Write { connection: client, bytes });
                self.client_left(now, ue);
            }
            // It crossed the answer: its caller no longer waits for a call.
            CallState::Stands(Stands { confirmed: false, .. }) => {
                let client = call.client;
                self.respond(connection, 200, message);
                self.released_by_caller(now, ue, CLEARED);
                self.send_release(now, client, id, CLEARED);
            }
            CallState::Stands(_) => self.respond(connection, 200, message),
        }
    }

    fn bye(&mut self, now: f64, connection: ConnectionId, message: &Message) {
        let cause = message.q850_cause().unwrap_or(CLEARED);
        let Some(call) = sip::id(message).and_then(|id| self.calls.by_id(id)) else {
            let handed = sip::id(message).is_some_and(|id| self.handed_released(id, cause));
            return self.respond(connection, if handed { 200 } else { 481 }, message);
        };
        let (ue, stands) = (call.ue, matches!(call.state, CallState::Stands(_)));
        self.clients.used(now, connection, if stands { Use::Caller } else { Use::Asks });
        self.respond(connection, 200, message);
        if stands {
            self.released_by_caller(now, ue, cause);
        } else {
            self.client_left(now, ue);
        }
    }

    /// The caller stopped waiting: no answer is owed, and its setup try is given up.
    pub(crate) fn client_left(&mut self, now: f64, ue: UeId) {
        self.counters.left += 1;
        self.control.client_left(now, ue);
        let Some((id, client, _)) = self.calls.pending(ue) else { return };
        self.log_debug("caller left", call_subject(id), format!("connection {client}"));
        if let Some(out) = self.take_try(now, ue) {
            if let Some(connection) = out.link {
                self.end_try_on(now, connection, id);
            }
            self.count(EndReason::Cancelled);
            self.control.try_ended(now, ue, out.pool, EndReason::Cancelled, true, Report::default());
        }
        self.leave_client(now, client, ue);
        self.calls.remove(ue);
    }

    fn released_by_caller(&mut self, now: f64, ue: UeId, cause: u16) {
        let Some(call) = self.calls.remove(ue) else { return };
        let CallState::Stands(stands) = call.state else { return };
        self.leave_client(now, call.client, ue);
        self.control.try_ended(now, ue, stands.pool, EndReason::Cancelled, true, Report::default());
        self.release_to(now, stands.pool, call.id, cause);
        self.stands_no_more(stands.pool);
    }

    /// A call that stood is over by its server's word or end: its caller is told.
    pub(crate) fn over(&mut self, now: f64, ue: UeId, pool: PoolId, cause: u16, reason: &'static str) {
        let Some(call) = self.calls.remove(ue) else { return };
        let level = if cause == CLEARED { LogLevel::Debug } else { LogLevel::Info };
        let reason = format!("cause {cause} at {}: {reason}", self.server_name(pool));
        self.log(level, "call over", call_subject(call.id), reason);
        self.leave_client(now, call.client, ue);
        self.send_release(now, call.client, call.id, cause);
        self.stands_no_more(pool);
    }

    pub(crate) fn send_release(&mut self, now: f64, own: ConnectionId, id: u64, cause: u16) {
        self.releases.owe(now, id, cause, own);
        self.send_releases(now);
    }

    /// Sends what is owed and not heard, as far as there are connections that can take it.
    pub(crate) fn send_releases(&mut self, now: f64) {
        for Release { connection, id, cause, again } in self.releases.due(now, &self.clients) {
            self.counters.byes += 1;
            if again {
                self.counters.byes_again += 1;
                let use_of = self.clients.all.get(&connection).map_or(Use::None, |d| d.use_of);
                let reason = format!("again on {connection}, {use_of:?}");
                self.log_info("release not heard", call_subject(id), reason);
            }
            self.out.push_back(Output::Write { connection, bytes: sip::bye(id, cause) });
        }
    }

    pub(crate) fn leave_client(&mut self, now: f64, connection: ConnectionId, ue: UeId) {
        if let Some(client) = self.clients.all.get_mut(&connection) {
            client.open.retain(|u| *u != ue);
            client.unconfirmed.retain(|u| *u != ue);
            client.standing.remove(&ue);
            client.last_at = now;
        }
    }

    pub(crate) fn close_client(&mut self, now: f64, connection: ConnectionId, reason: &'static str) {
        self.log_info("client closed", connection_subject(connection), reason);
        self.out.push_back(Output::Close { connection, reset: false });
        self.client_lost(now, connection);
    }

    pub(crate) fn client_lost(&mut self, now: f64, connection: ConnectionId) {
        let Some(client) = self.clients.all.remove(&connection) else { return };
        for ue in client.open {
            self.client_left(now, ue);
        }
        // Whether the answer was read is not known: neither side is left with half a call.
        for ue in client.unconfirmed {
            let Some(id) = self.calls.by_ue(ue).map(|c| c.id) else { continue };
            self.released_by_caller(now, ue, CUT);
            self.send_release(now, connection, id, CUT);
        }
        self.releases.client_lost(now, connection);
        self.send_releases(now);
    }

    pub(crate) fn sweep(&mut self, now: f64) {
        self.mark_for_close(now);
        self.expire_handed(now);
        for id in self.releases.expire(now) {
            self.counters.byes_unheard += 1;
            self.log_info("release never heard", call_subject(id), "given up");
        }
        self.send_releases(now);
    }

    /// Finds the connections that have had their time, and those that an ending front keeps for nothing.
    fn mark_for_close(&mut self, now: f64) {
        self.closing = self.clients.overdue(now).into_iter().chain(self.idle_at_end(now)).collect();
        if !self.closing.is_empty() {
            self.timers.set(now + READ_TO_END, Due::Close);
        }
    }

    /// Closes the connections that were marked, unless something has come on them that keeps them open: all that came
    /// has been read since.
    pub(crate) fn close_marked(&mut self, now: f64) {
        let marked = std::mem::take(&mut self.closing);
        for connection in self.idle_at_end(now).into_iter().filter(|c| marked.contains(c)) {
            self.close_client(now, connection, "the front ends, and nothing is left on it");
        }
        for connection in self.clients.overdue(now).into_iter().filter(|c| marked.contains(c)) {
            self.counters.clients_overdue += 1;
            let useless = self
                .clients
                .all
                .get(&connection)
                .is_some_and(|d| d.use_of == Use::None || d.partial_since.is_some());
            if useless {
                self.out.push_back(Output::Write { connection, bytes: sip::unreadable(408) });
            }
            let reason = if useless { "nothing of use came in time" } else { "idle" };
            self.close_client(now, connection, reason);
        }
    }
}
