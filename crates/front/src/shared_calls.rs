//! Calls known to several fronts. This front publishes its own calls; it looks up and releases calls of other
//! fronts when a caller or a server ends them here, or when their front has died. Which front owns a call is
//! decided elsewhere.

use crate::front::{AttachStage, Front, Leg, LegStage, TimerEvent};
use crate::io::{Output, Source};
use crate::links::{Frame, LegRef};
use shalespindle_control::interface::Report;
use shalespindle_replica::{dialog_hash, CallRecord};
use shalespindle_signalling::message::{address, tag, Message};
use shalespindle_signalling::transaction::{NonInviteClient, TransactionAction, TRANSACTION_TIMEOUT};
use shalespindle_signalling::write::{ResponseHead, Writer};
use slab::Slab;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Time within which [`crate::io::Input::FindCallResult`] must come, or the call counts as unknown; seconds.
const FIND_CALL_TIMEOUT: f64 = 0.5;
/// Maximum number of look-ups at a time. Beyond it, a call that is not this front's counts as unknown.
const MAX_PENDING_QUERIES: usize = 4096;

/// The BYE that is answered when a call has been looked up.
enum PendingQuery {
    Caller { source: Source, head: ResponseHead },
    Server { link: usize, connection: u64, head: ResponseHead },
}

/// A BYE towards the caller of another front's call.
struct ForeignBye {
    serial: u32,
    client: NonInviteClient,
    to: SocketAddr,
    bytes: Vec<u8>,
}

#[derive(Default)]
pub(crate) struct SharedCalls {
    pending_queries: BTreeMap<u64, PendingQuery>,
    last_ticket: u64,
    foreign_byes: Slab<ForeignBye>,
    /// Attach keys of this front's own calls, by the hashed dialog name that other fronts use.
    own_calls: HashMap<u64, usize>,
}

impl Front {
    /// Publishes to other fronts that a call of this front was established on `leg`, or with `None` that it
    /// ended.
    pub(crate) fn publish_call(&mut self, key: usize, leg: Option<LegRef>) {
        if !self.params.has_peers {
            return;
        }
        let attach = &self.attaches[key];
        let Some(own) = tag(&attach.local) else { return };
        let call = dialog_hash(own);
        let record = leg.and_then(|at| Some((at, self.leg(at)?))).map(|(at, leg)| {
            let caller = match attach.source {
                Source::Datagram(from) => Some(from),
                Source::Stream(_) => None,
            };
            let target = if attach.contact.is_empty() { address(&attach.remote) } else { &attach.contact };
            Box::new(CallRecord {
                epoch: 1,
                server: self.links[leg.link].address,
                leg_call_id: format!("{}-{:x}-{:x}", self.tag, at.key, at.serial),
                leg_from: leg.from.to_string(),
                leg_to: leg.to.to_string(),
                leg_target: leg.remote_target.to_string(),
                call_id: attach.call_id.to_string(),
                local: attach.local.to_string(),
                remote: attach.remote.to_string(),
                target: target.to_string(),
                caller,
            })
        });
        match record {
            Some(_) => self.shared_calls.own_calls.insert(call, key),
            None => self.shared_calls.own_calls.remove(&call),
        };
        self.outputs.push_back(Output::CallChanged { call, record });
    }

    /// Looks up a call that a caller releases and that is not this front's. Returns false if it cannot be
    /// looked up.
    pub(crate) fn find_call_of_caller(&mut self, now: f64, source: Source, message: &Message) -> bool {
        let Some(name) = message.to().ok().and_then(tag).map(dialog_hash) else { return false };
        let head = ResponseHead::for_request(message, &self.tag);
        self.find_call(now, name, false, PendingQuery::Caller { source, head })
    }

    /// Looks up a call that a server releases and that is not this front's. Returns false if it cannot be
    /// looked up.
    pub(crate) fn find_call_of_server(&mut self, now: f64, link: usize, message: &Message) -> bool {
        let Some(name) = message.call_id().ok().map(dialog_hash) else { return false };
        let (connection, head) = (self.links[link].connection, ResponseHead::for_request(message, &self.tag));
        self.find_call(now, name, true, PendingQuery::Server { link, connection, head })
    }

    fn find_call(&mut self, now: f64, name: u64, by_leg: bool, query: PendingQuery) -> bool {
        if !self.params.has_peers || self.shared_calls.pending_queries.len() >= MAX_PENDING_QUERIES {
            return false;
        }
        self.shared_calls.last_ticket += 1;
        let ticket = self.shared_calls.last_ticket;
        self.shared_calls.pending_queries.insert(ticket, query);
        self.timers.set(now + FIND_CALL_TIMEOUT, TimerEvent::FindCall { ticket });
        self.outputs.push_back(Output::FindCall { ticket, name, by_leg });
        true
    }

    /// Takes the result of a look-up. `known`: the call belongs to the fleet; if `call` is absent as well, it
    /// has been released already.
    pub(crate) fn find_call_result(
        &mut self,
        now: f64,
        ticket: u64,
        known: bool,
        call: Option<Box<CallRecord>>,
    ) {
        let Some(query) = self.shared_calls.pending_queries.remove(&ticket) else {
            // Too late: the BYE was answered as for an unknown call, so both sides are released.
            if let Some(call) = call {
                self.release_foreign(now, &call, true, true);
            }
            return;
        };
        let status = if known { 200 } else { 481 };
        let by_server = matches!(query, PendingQuery::Server { .. });
        match query {
            PendingQuery::Caller { source, head } => {
                self.send_to_caller(source, Writer::response(status, &head).finish());
            }
            PendingQuery::Server { link, connection, head } => {
                if self.links[link].connection == connection {
                    let answer = Writer::response(status, &head).finish();
                    self.links[link].queue.push_back(Frame::Other(answer));
                }
            }
        }
        if let Some(call) = call {
            self.counters.released_for_others += 1;
            self.release_foreign(now, &call, by_server, !by_server);
        }
    }

    /// Releases a call that another front set up.
    pub(crate) fn release_foreign(&mut self, now: f64, call: &CallRecord, to_caller: bool, to_server: bool) {
        if to_server {
            self.release_foreign_leg(now, call);
        }
        if let (true, Some(to)) = (to_caller, call.caller) {
            self.release_foreign_caller(now, call, to);
        }
    }

    fn release_foreign_leg(&mut self, now: f64, call: &CallRecord) {
        let Some(link) = self.links.iter().position(|l| l.address == call.server) else {
            // Neither this front's list nor DNS has named that server.
            self.counters.unknown_servers += 1;
            return;
        };
        let serial = self.new_serial();
        let leg = Leg {
            serial,
            stage: LegStage::Releasing,
            attach: None,
            ue: 0,
            link,
            setup_try: 0,
            sent_at: now,
            expires_at: now + TRANSACTION_TIMEOUT,
            request_uri: call.leg_target.as_str().into(),
            from: call.leg_from.as_str().into(),
            to: call.leg_to.as_str().into(),
            remote_target: call.leg_target.as_str().into(),
            call_id: Some(call.leg_call_id.as_str().into()),
        };
        let key = self.legs.insert(leg);
        self.links[link].legs += 1;
        self.timers.set(now + TRANSACTION_TIMEOUT, TimerEvent::Leg { key, serial });
        self.queue_bye(LegRef { key, serial });
        // The front may not be connected to a draining server; the BYE waits for the link.
        self.connect_if_allowed(now, link);
    }

    fn release_foreign_caller(&mut self, now: f64, call: &CallRecord, to: SocketAddr) {
        let (serial, key) = (self.new_serial(), self.shared_calls.foreign_byes.vacant_key());
        let dialog = [&*call.target, &call.local, &call.remote, &call.call_id];
        let bytes = self.caller_bye("UDP", format_args!("{key:x}-{serial:x}-y"), dialog).finish();
        let client = NonInviteClient::new(now, false);
        let due = client.next_timeout();
        self.shared_calls.foreign_byes.insert(ForeignBye { serial, client, to, bytes: bytes.clone() });
        self.timers.set(due, TimerEvent::ForeignBye { key, serial });
        self.outputs.push_back(Output::Datagram { to, bytes });
    }

    pub(crate) fn on_foreign_bye_timer(&mut self, now: f64, key: usize, serial: u32) {
        let Some(bye) = self.shared_calls.foreign_byes.get_mut(key).filter(|b| b.serial == serial) else {
            return;
        };
        match bye.client.handle_timeout(now) {
            TransactionAction::Retransmit => {
                self.outputs.push_back(Output::Datagram { to: bye.to, bytes: bye.bytes.clone() });
            }
            TransactionAction::TimedOut | TransactionAction::Terminated => {
                drop(self.shared_calls.foreign_byes.remove(key))
            }
            TransactionAction::None => {}
        }
        if let Some(bye) = self.shared_calls.foreign_byes.get(key) {
            let due = bye.client.next_timeout();
            self.timers.set(due, TimerEvent::ForeignBye { key, serial });
        }
    }

    /// A caller's answer to a BYE for another front's call.
    pub(crate) fn foreign_bye_answered(&mut self, name: &str) {
        let Some((key, serial)) = self.parse_own_id(name) else { return };
        if self.shared_calls.foreign_byes.get(key).is_some_and(|b| b.serial == serial) {
            self.shared_calls.foreign_byes.remove(key);
        }
    }

    /// Another front has released a call of this front towards both sides; no BYE is needed.
    pub(crate) fn released_elsewhere(&mut self, now: f64, call: u64) {
        let Some(&key) = self.shared_calls.own_calls.get(&call) else { return };
        if self.attaches.get(key).is_none_or(|a| a.stage != AttachStage::Established) {
            return;
        }
        self.counters.released_by_others += 1;
        if let Some(at) = self.attaches[key].leg {
            self.ended_by_server(now, at, Report::default(), false);
        }
    }
}
