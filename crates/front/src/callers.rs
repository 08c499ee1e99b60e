//! The callers' side: INVITE, ACK, CANCEL, BYE and OPTIONS as a user agent server (RFC 3261 sections 8.2,
//! 9.2, 13.3, 15.1.2), and this front's BYE to a caller.

use crate::front::{Attach, AttachStage, CallerStream, Front, TimerEvent};
use crate::io::{Event, Outcome, Output, Source};
use crate::router::RouterInput;
use rand::Rng;
use shalespindle_control::interface::NewAttach;
use shalespindle_levels::{Admission, AttachRequest, RefusedBy};
use shalespindle_signalling::message::{address, host, tag, Message, Method, ParseError};
use shalespindle_signalling::transaction::{
    max_first_copy_age, InviteServer, NonInviteClient, TransactionAction, T4, TRANSACTION_TIMEOUT,
};
use shalespindle_signalling::write::{ResponseHead, Writer};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Header with a caller's patience in milliseconds, for callers that need finer steps than the seconds of
/// Expires.
pub const PATIENCE_HEADER: &str = "Attach-Patience-Ms";
/// Bound on attaches in memory as a multiple of `max_pending`. It leaves space for answered attaches, which
/// are remembered to answer retransmissions.
const ATTACHES_PER_PENDING: usize = 8;
/// Delay after which a caller without a final answer gets a 100, seconds.
const TRYING_DELAY: f64 = 0.2;
/// Maximum time in which an incomplete message must become complete, seconds.
const MAX_PARTIAL_AGE: f64 = TRANSACTION_TIMEOUT / 4.0;

impl Front {
    pub(crate) fn caller_bytes(&mut self, now: f64, arrived: f64, stream: u64, bytes: &[u8]) {
        let mut caller: CallerStream = self.streams.remove(&stream).unwrap_or_default();
        caller.framer.push(bytes);
        loop {
            match caller.framer.next_frame() {
                Ok(Some(frame)) => {
                    caller.partial_since = None;
                    let frame = frame.to_vec();
                    self.caller_message(now, arrived, Source::Stream(stream), &frame);
                }
                Ok(None) => break,
                Err(why) => {
                    self.bad_message("caller's stream", why.to_string());
                    self.outputs.push_back(Output::CloseCaller { stream });
                    self.caller_closed(now, stream);
                    return;
                }
            }
        }
        if caller.framer.buffered() > 0 {
            // Otherwise a caller could hold a connection forever by sending one byte a second.
            if now - *caller.partial_since.get_or_insert(now) > MAX_PARTIAL_AGE {
                self.bad_message("caller's stream", "part of a message for too long".into());
                self.outputs.push_back(Output::CloseCaller { stream });
                self.caller_closed(now, stream);
                return;
            }
        }
        self.streams.insert(stream, caller);
    }

    /// A caller's connection was lost: its pending attaches are abandoned, its established ones released.
    pub(crate) fn caller_closed(&mut self, now: f64, stream: u64) {
        self.streams.remove(&stream);
        let from = Source::Stream(stream);
        let keys: Vec<usize> =
            self.attaches.iter().filter(|(_, a)| a.source == from).map(|(k, _)| k).collect();
        for key in keys {
            match self.attaches[key].stage {
                AttachStage::Pending => {
                    self.caller_left(now, key);
                    self.remove_attach(key);
                }
                AttachStage::Established => self.release(now, key, false, true, true),
                AttachStage::Ended => self.remove_attach(key),
            }
        }
    }

    pub(crate) fn caller_message(&mut self, now: f64, arrived: f64, source: Source, bytes: &[u8]) {
        if bytes.iter().all(|b| b.is_ascii_whitespace()) {
            return; // Keep-alive (RFC 5626 section 3.5.1).
        }
        let message = match Message::parse(bytes) {
            Ok(message) => message,
            Err(why) => return self.bad_message("caller", why.to_string()),
        };
        let Some(method) = message.method() else {
            return self.caller_response(now, &message);
        };
        let needed = || -> Result<_, ParseError> {
            message.from()?;
            message.to()?;
            Ok((message.via()?, message.cseq()?, message.call_id()?))
        };
        let (via, cseq, _) = match needed() {
            Ok(parts) => parts,
            Err(why) => {
                self.bad_message("caller", why.to_string());
                if method != Method::Ack && message.header("Via").is_some() {
                    self.answer_stateless(source, &message, 400);
                }
                return;
            }
        };
        if cseq.1 != method && method != Method::Other {
            self.bad_message("caller", "CSeq names another method".into());
            if method != Method::Ack {
                self.answer_stateless(source, &message, 400);
            }
            return;
        }
        let transaction = format!("{}|{}", via.branch, via.sent_by);
        match method {
            Method::Invite => self.invite(now, arrived, source, &message, transaction),
            Method::Ack => self.ack(now, &message, &transaction),
            Method::Cancel => self.cancel(now, source, &message, &transaction),
            Method::Bye => self.bye(now, source, &message),
            Method::Options => {
                self.answer_stateless(source, &message, if self.is_shutting_down() { 503 } else { 200 })
            }
            Method::Other => {
                let head = ResponseHead::for_request(&message, &self.tag);
                let allow = "INVITE, ACK, BYE, CANCEL, OPTIONS";
                self.send_to_caller(source, Writer::response(405, &head).with("Allow", allow).finish());
            }
        }
    }

    fn invite(&mut self, now: f64, arrived: f64, source: Source, message: &Message, transaction: String) {
        if let Some(&key) = self.attach_by_transaction.get(transaction.as_str()) {
            self.counters.repeats += 1;
            let attach = &self.attaches[key];
            if attach.last_answer.is_empty() {
                self.answer(key, 100, |w| w);
            } else if attach.invite_server.retransmission_received() == TransactionAction::Retransmit {
                let bytes = attach.last_answer.clone();
                self.send_to_caller(source, bytes);
            }
            return;
        }
        if message.to().ok().and_then(tag).is_some() {
            let status = if self.find_dialog(message).is_some() { 488 } else { 481 };
            return self.answer_stateless(source, message, status);
        }
        let max_forwards = message.header("Max-Forwards").and_then(|v| v.parse().ok()).unwrap_or(70u32);
        if max_forwards == 0 {
            return self.answer_stateless(source, message, 483);
        }
        let Some(called) = message.called_party() else {
            return self.answer_stateless(source, message, 404);
        };
        if self.attaches.len() >= ATTACHES_PER_PENDING * self.params.max_pending {
            // Bounds memory under a flood. The INVITE is dropped without an answer; callers retransmit it.
            self.counters.door_refused += 1;
            return;
        }
        let procedure = self.procedure_of(message);
        let first_choice = self.first_choice(called.trunk_group);
        let timer = self.params.deployment.procedures.get(procedure).map_or(0.0, |p| p.t_timer);
        let patience =
            [message.expires(), message.millis(PATIENCE_HEADER)].into_iter().flatten().fold(timer, f64::min);
        // Rule 1 in a front that has just started: the first INVITE that it receives may be a retransmission
        // of one that the caller has been sending for a while to a front that died.
        let already_waited = match source {
            Source::Datagram(_) => {
                max_first_copy_age(arrived - self.started, patience + self.params.answer_margin)
            }
            Source::Stream(_) => 0.0,
        };
        let gives_up_at = arrived - already_waited + patience - self.params.answer_margin;

        let serial = self.new_serial();
        self.next_ue = self.next_ue.wrapping_add(1);
        let ue = self.next_ue;
        let remote: Box<str> = message.from().unwrap_or_default().into();
        let own_tag = format!("{}-{:x}-{serial:x}", self.tag, self.attaches.vacant_key());
        let session = match message.session_id() {
            Some(session) => session.into(),
            None => format!("{:032x}", self.rng.random::<u128>()).into_boxed_str(),
        };
        let key = self.attaches.insert(Attach {
            serial,
            ue,
            stage: AttachStage::Pending,
            source,
            response_head: ResponseHead::for_request(message, &own_tag),
            call_id: message.call_id().unwrap_or_default().into(),
            remote,
            local: format!("{};tag={own_tag}", message.to().unwrap_or_default()).into_boxed_str(),
            contact: message.header("Contact").map(address).unwrap_or_default().into(),
            called_number: called.number.into(),
            session,
            relayed_headers: relayed_headers(message),
            body: message.body.into(),
            max_forwards,
            arrived_at: arrived,
            gives_up_at,
            established_at: 0.0,
            leg: None,
            tries: 0,
            last_server: None,
            invite_server: InviteServer::new(matches!(source, Source::Stream(_))),
            last_answer: Vec::new(),
            bye: None,
            remove_at: f64::INFINITY,
            level_ticket: None,
            transaction: transaction.clone().into_boxed_str(),
        });
        self.attach_by_transaction.insert(transaction.into_boxed_str(), key);
        self.attach_by_ue.insert(ue, key);
        self.pending += 1;
        self.counters.offered += 1;
        if self.is_shutting_down() || self.pending > self.params.max_pending {
            self.counters.door_refused += 1;
            let pause = self.params.deployment.max_pause;
            return self.final_answer(now, key, Outcome::Refused, 503, Some(pause).filter(|p| *p > 0.0));
        }
        let number = number_as_u64(called.number);
        if let Some(pause) = self.level_refusal(now, key, procedure, number) {
            return self.final_answer(now, key, Outcome::Refused, 503, Some(pause).filter(|p| *p > 0.0));
        }
        // RFC 3261 section 17.2.1: a 100 is sent unless an answer follows within 200 ms, which it mostly
        // does.
        self.timers.set(now + TRYING_DELAY, TimerEvent::CallerTransaction { key, serial });
        let new = NewAttach { ue, procedure, first_choice, called_number: number, gives_up_at };
        self.control.handle(now, RouterInput::AttachArrived(new));
    }

    /// Asks the level of reduced service to admit an attach. Returns the pause for the caller if it refuses.
    fn level_refusal(&mut self, now: f64, key: usize, procedure: usize, number: u64) -> Option<f64> {
        let levels = self.levels.as_mut()?;
        let procedures = &self.params.deployment.procedures;
        let spec = procedures.get(procedure)?;
        let highest = procedures.iter().fold(0.0, |top: f64, p| top.max(p.utility));
        let attach = &mut self.attaches[key];
        let tenant = host(&attach.remote).and_then(|h| self.params.tenants.get(h).copied());
        let request = AttachRequest {
            called_number: number,
            relative_utility: spec.utility / highest,
            late_share: spec.late_share,
            latency_target: spec.latency_target,
            tenant,
            procedure,
        };
        match levels.admit(now, &request) {
            Admission::Admit(ticket) => {
                attach.level_ticket = Some(ticket);
                None
            }
            Admission::Refuse { pause, by } => {
                match by {
                    RefusedBy::Level => self.counters.level_refused += 1,
                    RefusedBy::Plan => self.counters.plan_refused += 1,
                }
                Some(pause)
            }
        }
    }

    /// Returns the index of the procedure that the message's Resource-Priority selects.
    fn procedure_of(&mut self, message: &Message) -> usize {
        let Some(value) = message.header("Resource-Priority") else { return self.params.default_procedure };
        let known = value.split(',').find_map(|v| self.params.priorities.get(v.trim()).copied());
        self.counters.unknown_priority += u64::from(known.is_none());
        known.unwrap_or(self.params.default_procedure)
    }

    /// Returns the attach to whose dialog a caller's request belongs (RFC 3261 section 12.2.2).
    fn find_dialog(&self, message: &Message) -> Option<usize> {
        let (key, serial) = self.parse_own_id(tag(message.to().ok()?)?)?;
        let attach = self.attaches.get(key).filter(|a| a.serial == serial)?;
        (*attach.call_id == *message.call_id().ok()?).then_some(key)
    }

    /// Parses `tag-key-serial` if the tag is this front's own.
    pub(crate) fn parse_own_id(&self, text: &str) -> Option<(usize, u32)> {
        let rest = text.strip_prefix(self.tag.as_str())?.strip_prefix('-')?;
        let (key, serial) = rest.split_once('-')?;
        Some((usize::from_str_radix(key, 16).ok()?, u32::from_str_radix(serial, 16).ok()?))
    }

    fn ack(&mut self, now: f64, message: &Message, transaction: &str) {
        // The ACK to a refusal belongs to the INVITE's transaction, the ACK to a 200 has a transaction of its
        // own (17.1.1.3, 13.2.2.4).
        let known =
            self.attach_by_transaction.get(transaction).copied().or_else(|| self.find_dialog(message));
        let Some(key) = known else { return };
        let attach = &mut self.attaches[key];
        attach.invite_server.ack_received(now);
        let (due, serial) = (attach.invite_server.next_timeout(), attach.serial);
        self.timers.set(due, TimerEvent::CallerTransaction { key, serial });
    }

    fn cancel(&mut self, now: f64, source: Source, message: &Message, transaction: &str) {
        let Some(&key) = self.attach_by_transaction.get(transaction) else {
            return self.answer_stateless(source, message, 481);
        };
        self.answer_stateless(source, message, 200);
        if self.attaches[key].stage == AttachStage::Pending {
            self.caller_left(now, key);
            self.answer(key, 487, |w| w);
            self.final_answer_sent(now, key, false);
        }
    }

    /// The caller abandoned its attach before the final answer.
    fn caller_left(&mut self, now: f64, key: usize) {
        self.record_outcome(now, key, Outcome::Abandoned, 487, 0.0);
        let attach = &mut self.attaches[key];
        attach.stage = AttachStage::Ended;
        let ue = attach.ue;
        let leg = attach.leg.take();
        self.attach_by_ue.remove(&ue);
        self.control.handle(now, RouterInput::CallerLeft { ue });
        if let Some(leg) = leg {
            self.abandon_try(now, leg, shalespindle_control::interface::EndReason::Cancelled, true);
        }
    }

    fn bye(&mut self, now: f64, source: Source, message: &Message) {
        let Some(key) = self.find_dialog(message) else {
            if !self.find_call_of_caller(now, source, message) {
                self.answer_stateless(source, message, 481);
            }
            return;
        };
        self.answer_stateless(source, message, 200);
        if self.attaches[key].stage == AttachStage::Established {
            self.release(now, key, false, true, false);
        }
    }

    /// A caller's answer to this front's BYE.
    fn caller_response(&mut self, now: f64, message: &Message) {
        let Ok(via) = message.via() else { return };
        let Some(branch) = via.branch.strip_prefix("z9hG4bK") else { return };
        if let Some(name) = branch.strip_suffix("-y") {
            return self.foreign_bye_answered(name);
        }
        let Some((key, serial)) = branch.strip_suffix("-c").and_then(|n| self.parse_own_id(n)) else {
            return;
        };
        if let Some(attach) = self.attaches.get_mut(key).filter(|a| a.serial == serial) {
            if attach.bye.take().is_some() {
                attach.remove_at = now;
                self.timers.set(now, TimerEvent::CallerTransaction { key, serial });
            }
        }
    }

    /// Sends the one final answer of a pending attach that failed or is refused.
    pub(crate) fn final_answer(
        &mut self,
        now: f64,
        key: usize,
        outcome: Outcome,
        status: u16,
        pause: Option<f64>,
    ) {
        self.record_outcome(now, key, outcome, status, 0.0);
        let attach = &mut self.attaches[key];
        attach.stage = AttachStage::Ended;
        let ue = attach.ue;
        self.attach_by_ue.remove(&ue);
        self.answer(key, status, |w| match pause {
            Some(pause) => w.retry_after(pause),
            None => w,
        });
        self.final_answer_sent(now, key, false);
    }

    /// Writes and sends an answer to the attach's INVITE.
    pub(crate) fn answer(&mut self, key: usize, status: u16, more: impl FnOnce(Writer) -> Writer) {
        let attach = &mut self.attaches[key];
        let writer = Writer::response(status, &attach.response_head).with("Session-ID", &attach.session);
        let bytes = more(writer).finish();
        attach.last_answer.clone_from(&bytes);
        let source = attach.source;
        self.send_to_caller(source, bytes);
    }

    /// Starts the INVITE transaction's timers after a final answer.
    pub(crate) fn final_answer_sent(&mut self, now: f64, key: usize, success: bool) {
        let attach = &mut self.attaches[key];
        attach.invite_server.final_response_sent(now, success);
        let (due, serial) = (attach.invite_server.next_timeout(), attach.serial);
        self.timers.set(due, TimerEvent::CallerTransaction { key, serial });
    }

    pub(crate) fn on_caller_timer(&mut self, now: f64, key: usize, serial: u32) {
        let Some(attach) = self.attaches.get_mut(key).filter(|a| a.serial == serial) else { return };
        if now >= attach.remove_at {
            return self.remove_attach(key);
        }
        if attach.remove_at.is_finite() {
            // It was established and is released: its answer is no longer retransmitted.
            let due = attach.remove_at;
            return self.timers.set(due, TimerEvent::CallerTransaction { key, serial });
        }
        if attach.stage == AttachStage::Pending
            && attach.last_answer.is_empty()
            && now >= attach.arrived_at + TRYING_DELAY
        {
            return self.answer(key, 100, |w| w);
        }
        match attach.invite_server.handle_timeout(now) {
            TransactionAction::Retransmit => {
                let (source, bytes) = (attach.source, attach.last_answer.clone());
                let due = attach.invite_server.next_timeout();
                self.send_to_caller(source, bytes);
                self.timers.set(due, TimerEvent::CallerTransaction { key, serial });
            }
            TransactionAction::TimedOut if attach.stage == AttachStage::Established => {
                // RFC 3261 section 13.3.1.4: a 200 that gets no ACK ends the call.
                self.release(now, key, true, true, true);
            }
            TransactionAction::Terminated if attach.stage == AttachStage::Established => {}
            TransactionAction::TimedOut | TransactionAction::Terminated => {
                if attach.bye.is_none() {
                    self.remove_attach(key);
                }
            }
            TransactionAction::None => {
                let due = attach.invite_server.next_timeout().min(attach.remove_at);
                if due > now && attach.stage != AttachStage::Established {
                    self.timers.set(due, TimerEvent::CallerTransaction { key, serial });
                }
            }
        }
    }

    /// Ends an established attach and sends BYE to its caller, its server, both or neither.
    pub(crate) fn release(&mut self, now: f64, key: usize, to_caller: bool, to_server: bool, cut: bool) {
        let attach = &mut self.attaches[key];
        attach.stage = AttachStage::Ended;
        attach.remove_at = now + T4;
        let (serial, leg, ue) = (attach.serial, attach.leg.take(), attach.ue);
        self.publish_call(key, None);
        let attach = &self.attaches[key];
        let event = Event::Released {
            session: attach.session.clone(),
            cut,
            established_for: now - attach.established_at,
        };
        self.established -= 1;
        self.counters.released += 1;
        self.counters.cut += u64::from(cut);
        self.attach_by_ue.remove(&ue);
        self.event(event);
        if to_caller {
            self.send_bye(now, key);
        } else {
            self.timers.set(now + T4, TimerEvent::CallerTransaction { key, serial });
        }
        if let (true, Some(leg)) = (to_server, leg) {
            self.release_leg(now, leg);
        }
    }

    fn send_bye(&mut self, now: f64, key: usize) {
        let attach = &self.attaches[key];
        let (transport, reliable) = match attach.source {
            Source::Datagram(_) => ("UDP", false),
            Source::Stream(_) => ("TCP", true),
        };
        let uri = if attach.contact.is_empty() { address(&attach.remote) } else { &attach.contact };
        let name = format_args!("{key:x}-{:x}-c", attach.serial);
        let dialog = [uri, &attach.local, &attach.remote, &attach.call_id];
        let bytes = self.caller_bye(transport, name, dialog).with("Session-ID", &attach.session).finish();
        let attach = &mut self.attaches[key];
        let client = NonInviteClient::new(now, reliable);
        let (due, serial, source) = (client.next_timeout(), attach.serial, attach.source);
        attach.remove_at = now + TRANSACTION_TIMEOUT;
        attach.bye = Some((client, bytes.clone()));
        self.timers.set(due, TimerEvent::CallerBye { key, serial });
        self.send_to_caller(source, bytes);
    }

    /// Begins a BYE from this front to a caller. `name` completes the branch after this front's tag. `dialog`
    /// holds the request URI, the local and the remote address, and the Call-ID.
    pub(crate) fn caller_bye(&self, transport: &str, name: fmt::Arguments, dialog: [&str; 4]) -> Writer {
        let ([uri, local, remote, call_id], tag, host) = (dialog, &self.tag, &self.params.host);
        Writer::request(Method::Bye, uri)
            .with_args("Via", format_args!("SIP/2.0/{transport} {host};rport;branch=z9hG4bK{tag}-{name}"))
            .with("Max-Forwards", "70")
            .with("From", local)
            .with("To", remote)
            .with("Call-ID", call_id)
            .with("CSeq", "1 BYE")
    }

    pub(crate) fn on_bye_timer(&mut self, now: f64, key: usize, serial: u32) {
        let Some(attach) = self.attaches.get_mut(key).filter(|a| a.serial == serial) else { return };
        let Some((client, bytes)) = &mut attach.bye else { return };
        match client.handle_timeout(now) {
            TransactionAction::Retransmit => {
                let (bytes, due, source) = (bytes.clone(), client.next_timeout(), attach.source);
                self.timers.set(due, TimerEvent::CallerBye { key, serial });
                self.send_to_caller(source, bytes);
            }
            TransactionAction::TimedOut | TransactionAction::Terminated => self.remove_attach(key),
            TransactionAction::None => {
                let due = client.next_timeout();
                self.timers.set(due, TimerEvent::CallerBye { key, serial });
            }
        }
    }

    fn remove_attach(&mut self, key: usize) {
        let attach = self.attaches.remove(key);
        self.attach_by_transaction.remove(&attach.transaction);
        self.attach_by_ue.remove(&attach.ue);
    }

    /// Sends an answer without creating a transaction.
    fn answer_stateless(&mut self, source: Source, message: &Message, status: u16) {
        let head = ResponseHead::for_request(message, &self.tag);
        self.send_to_caller(source, Writer::response(status, &head).finish());
    }

    pub(crate) fn send_to_caller(&mut self, source: Source, bytes: Vec<u8>) {
        self.outputs.push_back(match source {
            Source::Datagram(to) => Output::Datagram { to, bytes },
            Source::Stream(stream) => Output::ToCaller { stream, bytes },
        });
    }
}

/// Returns the header lines that are forwarded to the server with every setup try.
fn relayed_headers(message: &Message) -> Box<str> {
    let mut lines = Writer::lines();
    for name in ["Resource-Priority", "Content-Type", "P-Asserted-Identity"] {
        if let Some(value) = message.header(name) {
            lines = lines.with(name, value);
        }
    }
    lines.into_lines()
}

/// Maps the called number to the 64 bits that the decision module uses; 0 is reserved for 'none given'.
fn number_as_u64(text: &str) -> u64 {
    let digits = text.strip_prefix('+').unwrap_or(text);
    if let Ok(number) = digits.parse::<u64>() {
        return number.max(1);
    }
    // The hasher's keys are fixed: a text maps to the same number in every front and run.
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish().max(1)
}
