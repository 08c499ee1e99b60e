//! A simulated signalling server without I/O: SIP over streams, one processor, injected faults.

use crate::processor::{Cold, Job, Kind, Processor, Work};
use crate::trace::{Entry, FrontId, Seen, ServerId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use shalespindle_signalling::message::{Message, Method};
use shalespindle_signalling::write::{ResponseHead, Writer};
use shalespindle_signalling::{Framer, Start};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Properties of a server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServerSpec {
    pub work: Work,
    pub cold: Cold,
    pub lines: u32,
    /// Seconds that a line rings before it is answered; ringing does not occupy the processor.
    pub ring: f64,
    /// Queueing time beyond which set-ups are refused, seconds.
    pub full_wait: f64,
    /// Refusals carry a Retry-After.
    pub tells_wait: bool,
    /// Answers report the queueing time and the free lines, refreshed at this interval, seconds; 0: never.
    pub report_every: f64,
    /// All other jobs are served before set-ups.
    pub answers_first: bool,
    /// A cancelled set-up is removed from the queue; otherwise its work is still done.
    pub drops_given_up: bool,
}

/// Faults of a server that are active now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Accepts all messages and answers none, probes included.
    pub silent: bool,
    /// Accepts set-ups and answers none; probes are answered.
    pub hung: bool,
    /// Fraction of the answers to set-ups that are lost in transit.
    pub answers_lost: f64,
    /// Answers set-ups with 500.
    pub errors: bool,
}

/// An output of a server.
#[derive(Clone, Debug)]
pub enum ServerOut {
    Bytes { connection: u64, bytes: Vec<u8> },
    Close { connection: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct CallKey(u64);

#[derive(Clone, Debug)]
struct Call {
    leg: Arc<str>,
    connection: u64,
    head: ResponseHead,
    answered: bool,
    established: bool,
    /// The 200 was lost in transit: a CANCEL then frees the line.
    lost: bool,
}

/// The state machine of one server.
pub struct Server {
    id: ServerId,
    address: String,
    spec: ServerSpec,
    pub faults: Faults,
    processor: Processor<CallKey>,
    rng: ChaCha8Rng,
    running: bool,
    /// Collapsed under overload; it does not start again.
    collapsed: bool,
    connections: BTreeMap<u64, Framer>,
    calls: BTreeMap<CallKey, Call>,
    by_leg: HashMap<Arc<str>, CallKey>,
    /// Responses to releases and probes that wait for the processor.
    replies: BTreeMap<CallKey, (u64, ResponseHead)>,
    next_key: u64,
    /// Number of established calls, each of which occupies a line.
    standing: u32,
    /// The load report in use: its time, queueing time in seconds, free lines.
    report: (f64, f64, u32),
    /// Deadlines at which an unanswered set-up gets a 100.
    trying: VecDeque<(f64, CallKey)>,
    /// Times at which the ringing of a call ends.
    ringing: VecDeque<(f64, CallKey)>,
    out: VecDeque<ServerOut>,
    seen: Vec<Entry>,
    fronts: Arc<HashMap<String, FrontId>>,
}

impl Server {
    /// `fronts` maps the sent-by of a Via to its front.
    pub fn new(
        id: ServerId,
        address: String,
        spec: ServerSpec,
        fronts: Arc<HashMap<String, FrontId>>,
        seed: u64,
    ) -> Server {
        Server {
            id,
            address,
            processor: Processor::new(spec.work, spec.cold, spec.answers_first),
            spec,
            faults: Faults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            running: false,
            collapsed: false,
            connections: BTreeMap::new(),
            calls: BTreeMap::new(),
            by_leg: HashMap::new(),
            replies: BTreeMap::new(),
            next_key: 0,
            standing: 0,
            report: (f64::NEG_INFINITY, 0.0, 0),
            trying: VecDeque::new(),
            ringing: VecDeque::new(),
            out: VecDeque::new(),
            seen: Vec::new(),
            fronts,
        }
    }

    pub fn is_running(&self) -> bool {
        self.running
    }

    pub fn standing(&self) -> u32 {
        self.standing
    }

    /// Starts the processor, unless it has collapsed.
    pub fn start(&mut self, now: f64, cold: bool) {
        if self.collapsed {
            return;
        }
        self.running = true;
        self.faults = Faults::default();
        self.processor.start(now, cold);
        self.report = (f64::NEG_INFINITY, 0.0, 0);
        self.record(now, Seen::Started { server: self.id, cold, capacity: self.processor.capacity() });
    }

    /// Ends the process: connections are closed and all calls are lost.
    pub fn stop(&mut self, now: f64) {
        self.running = false;
        self.calls.clear();
        self.by_leg.clear();
        self.replies.clear();
        self.trying.clear();
        self.ringing.clear();
        self.standing = 0;
        self.processor.start(now, false);
        for (connection, _) in std::mem::take(&mut self.connections) {
            self.out.push_back(ServerOut::Close { connection });
        }
        self.record(now, Seen::Stopped { server: self.id });
    }

    pub fn slow(&mut self, factor: f64) {
        self.processor.slow = factor;
    }

    pub fn connected(&mut self, connection: u64) {
        if self.running {
            self.connections.insert(connection, Framer::default());
        } else {
            self.out.push_back(ServerOut::Close { connection });
        }
    }

    pub fn closed(&mut self, now: f64, connection: u64) {
        if self.connections.remove(&connection).is_none() {
            return;
        }
        // Established calls outlive a connection; pending ones cannot be answered any more.
        let lost: Vec<CallKey> = self
            .calls
            .iter()
            .filter(|(_, c)| c.connection == connection && !c.answered)
            .map(|(k, _)| *k)
            .collect();
        for key in lost {
            let call = self.calls.remove(&key).map(|c| c.leg);
            self.processor.withdraw(|k| *k == key);
            if let Some(leg) = call {
                self.by_leg.remove(&leg);
                self.record(now, Seen::Lost { server: self.id, leg });
            }
        }
    }

    pub fn bytes(&mut self, now: f64, connection: u64, bytes: &[u8]) {
        let Some(mut framer) = self.connections.remove(&connection) else { return };
        framer.push(bytes);
        let mut alive = true;
        while alive {
            match framer.next_frame() {
                Ok(Some(frame)) => {
                    if let Ok(message) = Message::parse(frame) {
                        self.message(now, connection, &message);
                    }
                }
                Ok(None) => break,
                Err(_) => {
                    self.out.push_back(ServerOut::Close { connection });
                    alive = false;
                }
            }
            alive &= self.running;
        }
        if alive {
            self.connections.insert(connection, framer);
        }
    }

    fn record(&mut self, now: f64, seen: Seen) {
        self.seen.push((now, seen));
    }

    /// Takes the trace entries since the last call.
    pub fn take_seen(&mut self) -> Vec<Entry> {
        std::mem::take(&mut self.seen)
    }

    pub fn next_output(&mut self) -> Option<ServerOut> {
        self.out.pop_front()
    }

    /// Time of the next event for which `tick` must be called.
    pub fn due(&self) -> f64 {
        let trying = self.trying.front().map_or(f64::INFINITY, |t| t.0);
        let ringing = self.ringing.front().map_or(f64::INFINITY, |t| t.0);
        self.processor.due().min(trying).min(ringing)
    }

    fn message(&mut self, now: f64, connection: u64, message: &Message) {
        let Start::Request { method, .. } = message.start else { return };
        let (Ok(via), Ok(call_id)) = (message.via(), message.call_id()) else { return };
        let front = self.fronts.get(via.sent_by).copied().unwrap_or(FrontId::MAX);
        let leg: Arc<str> = call_id.into();
        let silent = self.faults.silent;
        match method {
            Method::Invite => self.invite(now, connection, front, leg, message),
            Method::Cancel => self.cancel(now, connection, leg, message),
            Method::Ack => self.record(now, Seen::Acknowledged { server: self.id, leg }),
            Method::Bye => {
                self.record(now, Seen::Released { server: self.id, leg: leg.clone() });
                if silent {
                    return;
                }
                let Some(key) = self.by_leg.remove(&leg) else {
                    let head = ResponseHead::for_request(message, "");
                    return self.send(connection, Writer::response(481, &head).finish());
                };
                if self.calls.remove(&key).is_some_and(|c| c.established) {
                    self.standing -= 1;
                }
                self.reply_after(now, Kind::Release, connection, message);
            }
            Method::Options => {
                self.record(now, Seen::Probed { server: self.id, front });
                if !silent {
                    self.reply_after(now, Kind::Probe, connection, message);
                }
            }
            Method::Other => {}
        }
    }

    /// Queues the work of a release or probe, after which the response is sent.
    fn reply_after(&mut self, now: f64, kind: Kind, connection: u64, message: &Message) {
        let key = self.key();
        self.replies.insert(key, (connection, ResponseHead::for_request(message, "s")));
        self.processor.add(now, Job { kind, token: key });
    }

    fn key(&mut self) -> CallKey {
        self.next_key += 1;
        CallKey(self.next_key)
    }

    fn invite(&mut self, now: f64, connection: u64, front: FrontId, leg: Arc<str>, message: &Message) {
        let session: Arc<str> = message.session_id().unwrap_or_default().into();
        self.record(now, Seen::SetUp { server: self.id, front, session, leg: leg.clone() });
        if self.processor.collapses_on_set_up(now) {
            self.collapsed = true;
            self.record(now, Seen::Fell { server: self.id });
            return self.stop(now);
        }
        let key = self.key();
        let head = ResponseHead::for_request(message, &format!("s{}", key.0));
        let call =
            Call { leg: leg.clone(), connection, head, answered: false, established: false, lost: false };
        self.calls.insert(key, call);
        self.by_leg.insert(leg, key);
        if self.faults.silent || self.faults.hung {
            return;
        }
        if self.faults.errors {
            return self.refuse(now, key, 500);
        }
        if self.standing >= self.spec.lines {
            return self.refuse(now, key, 480);
        }
        if self.processor.wait(now) > self.spec.full_wait {
            return self.refuse(now, key, 503);
        }
        self.processor.add(now, Job { kind: Kind::SetUp, token: key });
        // RFC 3261 section 17.2.1: a 100 unless an answer follows within 200 ms.
        self.trying.push_back((now + 0.2, key));
    }

    /// Refuses a set-up. A refusal costs work too, but the response does not wait for it.
    fn refuse(&mut self, now: f64, key: CallKey, status: u16) {
        self.processor.add(now, Job { kind: Kind::Reject, token: key });
        let wait = self.processor.wait(now);
        let sends_wait = self.spec.tells_wait;
        self.answer(now, key, status, |w| match status {
            480 => w.with("Reason", "Q.850;cause=34"),
            503 if sends_wait => w.retry_after(wait),
            _ => w,
        });
        if let Some(call) = self.calls.remove(&key) {
            self.by_leg.remove(&call.leg);
        }
    }

    fn cancel(&mut self, now: f64, connection: u64, leg: Arc<str>, message: &Message) {
        self.record(now, Seen::Cancelled { server: self.id, leg: leg.clone() });
        if self.faults.silent {
            return;
        }
        let known = self.by_leg.get(&leg).copied();
        let head = ResponseHead::for_request(message, "s");
        self.send(connection, Writer::response(if known.is_some() { 200 } else { 481 }, &head).finish());
        let Some(key) = known else { return };
        if self.calls.get(&key).is_some_and(|c| c.answered && !c.lost) {
            return;
        }
        if self.calls.get(&key).is_some_and(|c| c.established) {
            self.standing -= 1;
        }
        if self.spec.drops_given_up {
            self.processor.withdraw(|k| *k == key);
        }
        if !self.faults.hung {
            self.answer(now, key, 487, |w| w);
        }
        self.calls.remove(&key);
        self.by_leg.remove(&leg);
    }

    fn answer(&mut self, now: f64, key: CallKey, status: u16, more: impl FnOnce(Writer) -> Writer) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        let (connection, leg) = (call.connection, call.leg.clone());
        call.answered = true;
        let writer =
            Writer::response(status, &call.head).with_args("Contact", format_args!("<sip:{}>", self.address));
        let lost = self.faults.answers_lost > 0.0 && self.rng.random::<f64>() < self.faults.answers_lost;
        if lost {
            call.lost = true;
            return;
        }
        let bytes = self.with_report(now, more(writer)).finish();
        self.record(now, Seen::ServerAnswered { server: self.id, leg, status });
        self.send(connection, bytes);
    }

    fn with_report(&mut self, now: f64, writer: Writer) -> Writer {
        if self.spec.report_every <= 0.0 {
            return writer;
        }
        if now - self.report.0 >= self.spec.report_every {
            self.report = (now, self.processor.wait(now), self.spec.lines.saturating_sub(self.standing));
        }
        writer
            .with_args("Processor-Wait-Ms", format_args!("{:.3}", self.report.1 * 1000.0))
            .with_args("Free-Lines", format_args!("{}", self.report.2))
            .with_args("Lines", format_args!("{}", self.spec.lines))
    }

    fn send(&mut self, connection: u64, bytes: Vec<u8>) {
        self.out.push_back(ServerOut::Bytes { connection, bytes });
    }

    /// Handles all timers and jobs that have ended by now.
    pub fn tick(&mut self, now: f64) {
        while let Some(&(_, key)) = self.trying.front().filter(|t| t.0 <= now) {
            self.trying.pop_front();
            let open = self.calls.get(&key).filter(|c| !c.answered);
            if let Some((connection, head)) = open.map(|c| (c.connection, c.head.clone())) {
                self.send(connection, Writer::response(100, &head).finish());
            }
        }
        while let Some(&(_, key)) = self.ringing.front().filter(|t| t.0 <= now) {
            self.ringing.pop_front();
            self.processor.add(now, Job { kind: Kind::Answer, token: key });
        }
        while let Some(job) = self.processor.finished(now) {
            match job.kind {
                Kind::SetUp => {
                    // A cancelled set-up has no call any more; its work has no effect.
                    if self.calls.contains_key(&job.token) && self.spec.ring > 0.0 {
                        self.ringing.push_back((now + self.spec.ring, job.token));
                    } else if self.calls.contains_key(&job.token) {
                        self.processor.add(now, Job { kind: Kind::Answer, token: job.token });
                    }
                }
                Kind::Answer => {
                    let silent = self.faults.silent || self.faults.hung;
                    let Some(call) = self.calls.get_mut(&job.token).filter(|_| !silent) else { continue };
                    call.established = true;
                    self.standing += 1;
                    self.answer(now, job.token, 200, |w| w);
                }
                Kind::Release | Kind::Probe => {
                    let Some((connection, head)) = self.replies.remove(&job.token) else { continue };
                    if !self.faults.silent {
                        let writer = Writer::response(200, &head);
                        let bytes = self.with_report(now, writer).finish();
                        self.send(connection, bytes);
                    }
                }
                Kind::Reject => {}
            }
        }
    }
}
