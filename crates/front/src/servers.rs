//! The servers' side: links, setup tries as a user agent client (RFC 3261 sections 9.1, 13.2, 17.1), their
//! withdrawal, and releases.

use crate::front::{AttachStage, Front, Leg, LegStage, TimerEvent};
use crate::io::{Event, LinkId, Outcome, Output};
use crate::links::{Frame, LegRef, Link, LinkState};
use crate::router::RouterInput;
use crate::server_answer;
use rand::Rng;
use shalespindle_control::interface::{EndReason, Report};
use shalespindle_membership::Change;
use shalespindle_signalling::message::{address, Message, Method};
use shalespindle_signalling::transaction::TRANSACTION_TIMEOUT;
use shalespindle_signalling::write::{ResponseHead, Writer};

impl Front {
    // ---- links ----

    pub(crate) fn connect(&mut self, now: f64, link_index: usize) {
        let timeout = self.params.connect_timeout;
        let link = &mut self.links[link_index];
        link.connection += 1;
        link.state = LinkState::Connecting;
        link.observations.connect_attempted = true;
        link.observations.expect_answer(now);
        let (id, to) = (link.id(link_index), link.address);
        self.timers.set(now + timeout, TimerEvent::Link { link: link_index, connection: id.connection });
        self.outputs.push_back(Output::Connect { id, to });
    }

    /// Returns the index of the link to a server, which is created at the server's first change.
    pub(crate) fn link_for(&mut self, change: &Change) -> usize {
        if let Some(&link_index) = self.link_by_pool.get(&change.id) {
            return link_index;
        }
        self.links.push(Link::new(change.id, change.pool, change.address));
        self.link_by_pool.insert(change.id, self.links.len() - 1);
        self.links.len() - 1
    }

    /// Connects to a server, unless the pause after a lost connection has not passed yet.
    pub(crate) fn connect_if_allowed(&mut self, now: f64, link_index: usize) {
        if matches!(self.links[link_index].state, LinkState::Down { retry_at } if retry_at <= now) {
            self.connect(now, link_index);
        }
    }

    /// A half-written frame may be continued within the drain's grace, not after it.
    pub(crate) fn start_drain_timer(&mut self, now: f64, link_index: usize) {
        let link = &self.links[link_index];
        if link.blocked {
            let at = now + self.params.drain_grace / 2.0;
            self.timers.set(at, TimerEvent::DrainGrace { link: link_index, connection: link.connection });
        }
    }

    pub(crate) fn connected(&mut self, now: f64, id: LinkId) {
        let Some(link) = self.links.get_mut(id.link).filter(|l| l.connection == id.connection) else {
            return;
        };
        if link.state == LinkState::Connecting {
            link.state = LinkState::Up;
            link.pause = 0.0;
            link.observations.connected(now);
            let server = link.address;
            // Rule 4: what ended the connection may have ended the processor, too, and the server may have
            // restarted before any report of it arrived.
            if std::mem::take(&mut link.lost_by_server) {
                self.server_reconnected(now, server);
            }
            self.event(Event::LinkUp { server });
        }
    }

    /// `by_server`: the connection was not closed by this front.
    pub(crate) fn link_lost(&mut self, now: f64, id: LinkId, by_server: bool) {
        let known = self.links.get(id.link).filter(|l| l.connection == id.connection);
        if known.is_none_or(|l| matches!(l.state, LinkState::Down { .. })) {
            return;
        }
        let random = self.rng.random();
        let (min_pause, max_pause) = self.params.reconnect_pause;
        let link = &mut self.links[id.link];
        let ended_by_server = link.state == LinkState::Up && by_server;
        link.lost_by_server |= ended_by_server;
        link.observations.lost_connections += u64::from(ended_by_server);
        link.observations.disconnected(now);
        let retry_after = link.next_backoff(min_pause, max_pause, random);
        link.state = LinkState::Down { retry_at: now + retry_after };
        // The next connection gets a new number, so that late reports of this one are ignored.
        link.connection += 1;
        link.clear_connection_state();
        let (server, wanted) = (link.address, link.listed || link.legs > 0);
        if wanted {
            let event = TimerEvent::Link { link: id.link, connection: link.connection };
            self.timers.set(now + retry_after, event);
        }
        let cut = self.end_legs_of_link(now, id.link);
        self.event(Event::LinkLost { server, cut, retry_after });
    }

    /// Handles each leg of a lost connection. Returns how many established attaches were cut.
    fn end_legs_of_link(&mut self, now: f64, link_index: usize) -> usize {
        let mut cut = 0;
        let keys: Vec<usize> =
            self.legs.iter().filter(|(_, l)| l.link == link_index).map(|(k, _)| k).collect();
        for key in keys {
            let leg = &self.legs[key];
            let at = LegRef { key, serial: leg.serial };
            match leg.stage {
                // Nothing of the INVITE was written.
                LegStage::Queued => self.end_try(now, at, EndReason::Unreached, Report::default()),
                LegStage::Sent => self.end_try(now, at, EndReason::Cut, Report::default()),
                // A late 200 can no longer arrive: a new connection does not have this transaction.
                LegStage::Cancelled => self.remove_leg(now, key),
                LegStage::Established => {
                    cut += 1;
                    let (ue, pool) = (leg.ue, self.links[link_index].pool);
                    let attach = leg.attach;
                    let report = Report::default();
                    self.control.handle(
                        now,
                        RouterInput::TryEnded { ue, pool, ended: EndReason::Cut, finished: true, report },
                    );
                    if let Some((attach, _)) = attach {
                        self.release(now, attach, true, true, true);
                    }
                }
                LegStage::Releasing => self.queue_bye(at),
            }
        }
        cut
    }

    pub(crate) fn on_link_timer(&mut self, now: f64, link_index: usize, connection: u64) {
        let link = &self.links[link_index];
        if link.connection != connection {
            return;
        }
        match link.state {
            LinkState::Connecting => {
                let id = link.id(link_index);
                self.outputs.push_back(Output::CloseLink { id, reset: false });
                self.link_lost(now, id, false);
            }
            LinkState::Down { .. } if link.listed || link.legs > 0 => self.connect(now, link_index),
            _ => {}
        }
    }

    /// Closes a link that no source of servers names any more once it has no legs.
    pub(crate) fn close_unused(&mut self, now: f64, link_index: usize) {
        let link = &self.links[link_index];
        if !link.listed && link.legs == 0 && !matches!(link.state, LinkState::Down { .. }) {
            let id = link.id(link_index);
            self.outputs.push_back(Output::CloseLink { id, reset: false });
            self.link_lost(now, id, false);
        }
    }

    /// Rule 3: withdraws the set-ups that wait for the socket of a server that drains or was removed.
    pub(crate) fn withdraw_queued(&mut self, now: f64, link_index: usize) {
        let is_queued = |l: &Leg| l.link == link_index && l.stage == LegStage::Queued;
        let queued: Vec<LegRef> = self
            .legs
            .iter()
            .filter(|(_, l)| is_queued(l))
            .map(|(key, l)| LegRef { key, serial: l.serial })
            .collect();
        for at in &queued {
            self.counters.taken_back += 1;
            self.end_try(now, *at, EndReason::Unreached, Report::default());
        }
        if !queued.is_empty() {
            let server = self.links[link_index].address;
            self.event(Event::SetUpsWithdrawn { server, count: queued.len() });
        }
    }

    pub(crate) fn on_drain_timer(&mut self, now: f64, link_index: usize, connection: u64) {
        let link = &self.links[link_index];
        if link.connection == connection && link.blocked && !link.ready {
            self.reset_link(now, link_index);
        }
    }

    /// Resets a connection, which discards set-ups that were written to a full socket but not sent.
    fn reset_link(&mut self, now: f64, link_index: usize) {
        let id = self.links[link_index].id(link_index);
        self.outputs.push_back(Output::CloseLink { id, reset: true });
        self.link_lost(now, id, false);
    }

    // ---- setup tries ----

    /// Writes the INVITE of a leg. Its branch and Call-ID consist of this front's tag and the leg's key and
    /// serial number.
    pub(crate) fn write_invite(&self, now: f64, at: LegRef) -> Vec<u8> {
        let leg = &self.legs[at.key];
        let attach = leg.attach.map(|(key, _)| &self.attaches[key]);
        let mut writer = self.leg_request(Method::Invite, at, &leg.request_uri, "i", "1 INVITE");
        writer = writer.with_args("Contact", format_args!("<sip:{};transport=tcp>", self.params.host));
        let Some(attach) = attach else { return writer.finish() };
        let seconds = (leg.expires_at - now).max(0.0).ceil();
        writer
            .with_args("Expires", format_args!("{seconds}"))
            .with("Session-ID", &attach.session)
            .with_lines(&attach.relayed_headers)
            .finish_with(&attach.body)
    }

    /// Begins a request on a leg. `branch_suffix` distinguishes the leg's transactions.
    fn leg_request(&self, method: Method, at: LegRef, uri: &str, branch_suffix: &str, cseq: &str) -> Writer {
        let leg = &self.legs[at.key];
        let (tag, host) = (&self.tag, &self.params.host);
        let name = format_args!("{:x}-{:x}", at.key, at.serial).to_string();
        let hops = leg.attach.and_then(|(key, _)| self.attaches.get(key)).map_or(69, |a| a.max_forwards - 1);
        Writer::request(method, uri)
            .with_args("Via", format_args!("SIP/2.0/TCP {host};branch=z9hG4bK{tag}-{name}-{branch_suffix}"))
            .with_args("Max-Forwards", format_args!("{hops}"))
            .with("From", &leg.from)
            .with("To", &leg.to)
            .with("Call-ID", leg.call_id.as_deref().unwrap_or(&format!("{tag}-{name}")))
            .with("CSeq", cseq)
    }

    pub(crate) fn leg(&self, at: LegRef) -> Option<&Leg> {
        self.legs.get(at.key).filter(|l| l.serial == at.serial)
    }

    /// A queued or sent setup try has ended: removes its leg and reports the end to the decision module.
    pub(crate) fn end_try(&mut self, now: f64, at: LegRef, ended: EndReason, report: Report) {
        let Some(leg) = self.leg(at) else { return };
        let (ue, pool, attach) = (leg.ue, self.links[leg.link].pool, leg.attach);
        if let Some(attach) =
            attach.and_then(|(key, serial)| self.attaches.get_mut(key).filter(|a| a.serial == serial))
        {
            if attach.leg == Some(at) {
                attach.leg = None;
            }
        }
        self.remove_leg(now, at.key);
        self.control.handle(now, RouterInput::TryEnded { ue, pool, ended, finished: false, report });
    }

    /// Gives up a try: withdraws its INVITE if it was not sent, else sends CANCEL. `finished`: its caller has
    /// abandoned the attach.
    pub(crate) fn abandon_try(&mut self, now: f64, at: LegRef, ended: EndReason, finished: bool) {
        let Some(leg) = self.leg(at) else { return };
        let (ue, link_index, stage) = (leg.ue, leg.link, leg.stage);
        let pool = self.links[link_index].pool;
        let ended = match stage {
            LegStage::Queued => {
                self.counters.taken_back += 1;
                self.remove_leg(now, at.key);
                EndReason::Unreached
            }
            LegStage::Sent => {
                let blocked =
                    self.links[link_index].blocked && self.links[link_index].last_invites.contains(&at);
                let leg = &mut self.legs[at.key];
                leg.stage = LegStage::Cancelled;
                leg.attach = None;
                leg.expires_at = now + TRANSACTION_TIMEOUT;
                self.timers
                    .set(now + TRANSACTION_TIMEOUT, TimerEvent::Leg { key: at.key, serial: at.serial });
                if blocked {
                    // The INVITE may be half written to a full socket; the rest must never be sent.
                    self.reset_link(now, link_index);
                } else {
                    let uri = self.legs[at.key].request_uri.clone();
                    let cancel = self.leg_request(Method::Cancel, at, &uri, "i", "1 CANCEL").finish();
                    self.links[link_index].queue.push_back(Frame::Other(cancel));
                }
                ended
            }
            _ => return,
        };
        self.control
            .handle(now, RouterInput::TryEnded { ue, pool, ended, finished, report: Report::default() });
    }

    pub(crate) fn on_leg_timer(&mut self, now: f64, at: LegRef) {
        let Some(leg) = self.leg(at).filter(|l| now >= l.expires_at) else { return };
        match leg.stage {
            LegStage::Queued | LegStage::Sent => {
                let attach = leg.attach;
                self.abandon_try(now, at, EndReason::TimedOut, false);
                if let Some(attach) =
                    attach.and_then(|(k, s)| self.attaches.get_mut(k).filter(|a| a.serial == s))
                {
                    attach.leg = None;
                }
            }
            LegStage::Cancelled | LegStage::Releasing => self.remove_leg(now, at.key),
            LegStage::Established => {}
        }
    }

    pub(crate) fn remove_leg(&mut self, now: f64, key: usize) {
        let leg = self.legs.remove(key);
        self.links[leg.link].legs -= 1;
        self.close_unused(now, leg.link);
    }

    pub(crate) fn release_leg(&mut self, now: f64, at: LegRef) {
        let Some(leg) = self.legs.get_mut(at.key).filter(|l| l.serial == at.serial) else { return };
        leg.stage = LegStage::Releasing;
        leg.attach = None;
        leg.expires_at = now + TRANSACTION_TIMEOUT;
        self.timers.set(now + TRANSACTION_TIMEOUT, TimerEvent::Leg { key: at.key, serial: at.serial });
        self.queue_bye(at);
    }

    pub(crate) fn queue_bye(&mut self, at: LegRef) {
        let leg = &self.legs[at.key];
        let (uri, link_index) = (leg.remote_target.clone(), leg.link);
        let bytes = self.leg_request(Method::Bye, at, &uri, "b", "2 BYE").finish();
        self.links[link_index].queue.push_back(Frame::Bye(at, bytes));
    }

    // ---- what servers send ----

    pub(crate) fn link_bytes(&mut self, now: f64, id: LinkId, bytes: &[u8]) {
        let Some(link) = self.links.get_mut(id.link).filter(|l| l.connection == id.connection) else {
            return;
        };
        link.observations.answered();
        link.framer.push(bytes);
        loop {
            // Handling a message can lose the link; the messages after it are then ignored.
            let Some(link) = self.links.get_mut(id.link).filter(|l| l.connection == id.connection) else {
                return;
            };
            match link.framer.next_frame() {
                Ok(Some(frame)) => {
                    let frame = frame.to_vec();
                    let parsed = Message::parse(&frame);
                    match parsed {
                        Ok(message) => self.server_message(now, id.link, &message),
                        Err(why) => self.bad_message("server", why.to_string()),
                    }
                }
                Ok(None) => return,
                Err(why) => {
                    self.bad_message("server's stream", why.to_string());
                    self.outputs.push_back(Output::CloseLink { id, reset: false });
                    return self.link_lost(now, id, false);
                }
            }
        }
    }

    fn server_message(&mut self, now: f64, link_index: usize, message: &Message) {
        match message.start {
            shalespindle_signalling::Start::Response { status, .. } => {
                self.server_response(now, link_index, status, message)
            }
            shalespindle_signalling::Start::Request { method, .. } => {
                self.server_request(now, link_index, method, message)
            }
        }
    }

    fn server_response(&mut self, now: f64, link_index: usize, status: u16, message: &Message) {
        let (Ok(via), Ok((_, method))) = (message.via(), message.cseq()) else {
            return self.bad_message("server", "an answer without Via or CSeq".into());
        };
        let Some(name) = via.branch.strip_prefix("z9hG4bK") else { return };
        if let Some(name) = name.strip_suffix("-o") {
            return self.probe_answered(now, link_index, name, status, message);
        }
        let Some((name, _)) = name.rsplit_once('-') else { return };
        let Some((key, serial)) = self.parse_own_id(name) else { return };
        let at = LegRef { key, serial };
        // Only the server of a leg may answer for it.
        let Some(leg) = self.leg(at).filter(|l| l.link == link_index) else { return };
        match (method, leg.stage) {
            (Method::Invite, _) if status < 200 => {}
            (Method::Invite, LegStage::Sent) if status < 300 => self.establish(now, at, message),
            (Method::Invite, LegStage::Established | LegStage::Releasing) if status < 300 => {
                self.acknowledge(at)
            }
            (Method::Invite, LegStage::Cancelled) if status < 300 => {
                // Otherwise a call would stay established whose caller was told that it failed.
                self.counters.late_answers += 1;
                self.confirm(at, message);
                self.release_leg(now, at);
            }
            (Method::Invite, stage) => {
                self.acknowledge_refusal(at, message);
                match stage {
                    LegStage::Sent => {
                        let report = server_answer::load_report(message);
                        self.end_try(now, at, server_answer::end_reason(status, message), report);
                    }
                    LegStage::Cancelled => self.remove_leg(now, key),
                    _ => {}
                }
            }
            // The decision module does not know another front's call.
            (Method::Bye, LegStage::Releasing) if status >= 200 && leg.call_id.is_some() => {
                self.remove_leg(now, key);
            }
            (Method::Bye, LegStage::Releasing) if status >= 200 => {
                let (ue, pool) = (leg.ue, self.links[link_index].pool);
                let (ended, report) = (EndReason::Released, server_answer::load_report(message));
                self.control.handle(now, RouterInput::TryEnded { ue, pool, ended, finished: true, report });
                self.remove_leg(now, key);
            }
            _ => {}
        }
    }

    /// Stores a 200's tag and Contact in the dialog and sends its ACK (13.2.2.4).
    fn confirm(&mut self, at: LegRef, message: &Message) {
        let leg = &mut self.legs[at.key];
        if let Ok(to) = message.to() {
            leg.to = to.into();
        }
        if let Some(contact) = message.header("Contact") {
            leg.remote_target = address(contact).into();
        }
        self.acknowledge(at);
    }

    fn acknowledge(&mut self, at: LegRef) {
        let (uri, link_index) = (self.legs[at.key].remote_target.clone(), self.legs[at.key].link);
        let ack = self.leg_request(Method::Ack, at, &uri, "a", "1 ACK").finish();
        self.links[link_index].queue.push_back(Frame::Other(ack));
    }

    /// Sends the ACK to an answer other than 2xx, which belongs to the INVITE's transaction (17.1.1.3).
    fn acknowledge_refusal(&mut self, at: LegRef, message: &Message) {
        if let Ok(to) = message.to() {
            self.legs[at.key].to = to.into();
        }
        let (uri, link_index) = (self.legs[at.key].request_uri.clone(), self.legs[at.key].link);
        let ack = self.leg_request(Method::Ack, at, &uri, "i", "1 ACK").finish();
        self.links[link_index].queue.push_back(Frame::Other(ack));
    }

    /// A try's 200 has come: establishes the call and answers the caller.
    fn establish(&mut self, now: f64, at: LegRef, message: &Message) {
        self.confirm(at, message);
        let leg = &mut self.legs[at.key];
        leg.stage = LegStage::Established;
        let (ue, delay, attach) = (leg.ue, now - leg.sent_at, leg.attach);
        let link = &mut self.links[leg.link];
        let (pool, report) = (link.pool, server_answer::load_report(message));
        link.observations.established += 1;
        link.observations.reported_wait = report.wait.or(link.observations.reported_wait);
        self.control.handle(now, RouterInput::PoolReport { pool, probed: false, report });
        self.control.handle(now, RouterInput::AttachEstablished { ue, pool, delay });
        let Some((key, _)) = attach else { return };
        self.record_outcome(now, key, Outcome::Established, 200, delay);
        self.established += 1;
        let attach = &mut self.attaches[key];
        attach.stage = AttachStage::Established;
        attach.established_at = now;
        let kind = message.header("Content-Type").unwrap_or_default();
        let head = Writer::response(200, &attach.response_head)
            .with("Session-ID", &attach.session)
            .with_args("Contact", format_args!("<sip:{}>", self.params.host));
        let head = if kind.is_empty() { head } else { head.with("Content-Type", kind) };
        attach.last_answer = head.finish_with(message.body);
        // Only setup tries need the body.
        attach.body = Box::default();
        let (source, bytes) = (attach.source, attach.last_answer.clone());
        self.send_to_caller(source, bytes);
        self.final_answer_sent(now, key, true);
        self.publish_call(key, Some(at));
    }

    fn server_request(&mut self, now: f64, link_index: usize, method: Method, message: &Message) {
        if method == Method::Ack {
            return;
        }
        let status = match method {
            Method::Bye => 200,
            Method::Options => 200,
            _ => 405,
        };
        let leg = message
            .call_id()
            .ok()
            .and_then(|id| self.parse_own_id(id))
            .map(|(key, serial)| LegRef { key, serial });
        let leg = leg.filter(|&at| self.leg(at).is_some_and(|l| l.link == link_index));
        if method == Method::Bye && leg.is_none() && self.find_call_of_server(now, link_index, message) {
            return;
        }
        let status = if method == Method::Bye && leg.is_none() { 481 } else { status };
        let head = ResponseHead::for_request(message, &self.tag);
        let answer = Writer::response(status, &head).finish();
        self.links[link_index].queue.push_back(Frame::Other(answer));
        let (Method::Bye, Some(at)) = (method, leg) else { return };
        self.ended_by_server(now, at, server_answer::load_report(message), true);
    }

    /// An established attach has ended at its server. Releases it, with a BYE to the caller if `send_bye`.
    pub(crate) fn ended_by_server(&mut self, now: f64, at: LegRef, report: Report, send_bye: bool) {
        let Some(leg) = self.leg(at).filter(|l| l.stage == LegStage::Established) else { return };
        let (ue, pool, attach) = (leg.ue, self.links[leg.link].pool, leg.attach);
        self.control.handle(
            now,
            RouterInput::TryEnded { ue, pool, ended: EndReason::Released, finished: true, report },
        );
        if let Some((key, _)) = attach {
            self.release(now, key, send_bye, false, false);
        }
        self.remove_leg(now, at.key);
    }

    // ---- probes ----

    pub(crate) fn probe(&mut self, pool: shalespindle_control::interface::PoolId) {
        let Some(&link_index) = self.link_by_pool.get(&pool) else { return };
        let serial = self.new_serial();
        let max_queued = self.params.max_queued_frames;
        let (tag, host) = (&self.tag, &self.params.host);
        let link = &mut self.links[link_index];
        if link.state != LinkState::Up || !link.can_queue(max_queued) {
            return;
        }
        let to = link.address;
        let bytes = Writer::request(Method::Options, &format!("sip:{to}"))
            .with_args("Via", format_args!("SIP/2.0/TCP {host};branch=z9hG4bK{tag}-{serial:x}-o"))
            .with("Max-Forwards", "70")
            .with_args("From", format_args!("<sip:{host}>;tag={tag}"))
            .with_args("To", format_args!("<sip:{to}>"))
            .with_args("Call-ID", format_args!("{tag}-p{serial:x}"))
            .with("CSeq", "1 OPTIONS")
            .finish();
        link.probe = Some(serial);
        link.queue.push_back(Frame::Other(bytes));
        self.counters.probes += 1;
    }

    fn probe_answered(&mut self, now: f64, link_index: usize, name: &str, status: u16, message: &Message) {
        let serial = name.strip_prefix(self.tag.as_str()).and_then(|n| n.strip_prefix('-'));
        let serial = serial.and_then(|s| u32::from_str_radix(s, 16).ok());
        let link = &mut self.links[link_index];
        if status < 200 || serial.is_none() || link.probe != serial {
            return;
        }
        link.probe = None;
        let (pool, report) = (link.pool, server_answer::load_report(message));
        link.observations.reported_wait = report.wait.or(link.observations.reported_wait);
        let probed = (200..300).contains(&status);
        self.control.handle(now, RouterInput::PoolReport { pool, probed, report });
    }
}
