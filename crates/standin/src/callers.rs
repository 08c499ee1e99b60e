//! The simulated callers of one front, without I/O: they send INVITEs over UDP, wait until their patience
//! ends, redial, hold their calls and release them.

use crate::trace::{Entry, FrontId, Seen};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use serde::{Deserialize, Serialize};
use shalespindle_signalling::message::{address, Message, Method};
use shalespindle_signalling::timers::Timers;
use shalespindle_signalling::transaction::{T1, T2, TRANSACTION_TIMEOUT};
use shalespindle_signalling::write::{ResponseHead, Writer};
use shalespindle_signalling::Start;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// A procedure (kind of attach) from the callers' point of view. Times are seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AskSpec {
    pub name: String,
    /// Fraction of all attaches.
    pub share: f64,
    /// Value of Resource-Priority.
    pub priority: String,
    /// Latency target: time within which the attach should be established.
    pub target: f64,
    pub t_timer: f64,
    pub utility: f64,
    pub late_share: f64,
    /// Mean duration of a call.
    pub holding: f64,
}

/// Behaviour of the callers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallerSpec {
    pub procedures: Vec<AskSpec>,
    /// Trunk groups, one of which each attach names. Half of the attaches name the current favourite.
    pub trunk_groups: Vec<String>,
    /// Minimum time between two draws of the favourite trunk group, seconds.
    pub shift_every: f64,
    /// Names and shares of the tenants.
    pub tenants: Vec<(String, f64)>,
    /// Minimum and maximum patience of one dial, as multiples of the T-timer.
    pub patience: (f64, f64),
    pub redials: u32,
    /// Minimum and maximum pause before a redial, seconds.
    pub redial_wait: (f64, f64),
    /// Callers wait at least for the Retry-After of a refusal.
    pub heeds_retry_after: bool,
}

/// Faults of callers that are active now.
#[derive(Clone, Debug, Default)]
pub struct CallerFaults {
    /// Factor on the arrival rate.
    pub burst: Option<f64>,
    /// Callers give up after this fraction of the patience that their INVITE announces.
    pub give_up: Option<f64>,
    /// Callers of this tenant redial up to 20 times with pauses below 0.1 s.
    pub abuse: Option<usize>,
}

/// A call that a user wants to make. It may need several dials.
#[derive(Clone, Debug)]
pub struct CallRequest {
    pub asked_at: f64,
    pub procedure: usize,
    pub tenant: usize,
    pub dials: u32,
    /// Seconds from `asked_at` until a dial was established.
    pub stood_after: Option<f64>,
    /// The front released the established call.
    pub cut: bool,
    number: u64,
    trunk_group: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Asking,
    /// The caller gave up: it sent CANCEL, or its patience ended without any response.
    Abandoned,
    Established,
    Ended,
}

#[derive(Clone, Debug)]
struct Dial {
    request: usize,
    session: Arc<str>,
    state: State,
    /// A response to the INVITE has arrived.
    responded: bool,
    /// Current interval between retransmissions, seconds.
    resend_interval: f64,
    resend_at: f64,
    /// End of the patience.
    until: f64,
    invite: Vec<u8>,
    /// To header of the 200.
    to: String,
    /// Request URI for requests in the dialog.
    contact: String,
    /// The BYE, until it is answered.
    bye: Option<Vec<u8>>,
}

/// Interval after which the time to the next arrival is drawn again, seconds.
const MAX_ARRIVAL_GAP: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
enum Timer {
    Arrival,
    /// Nothing arrived within the maximum gap; the next gap is drawn.
    NoArrival,
    Resend(usize),
    Patience(usize),
    Redial(usize),
    Release(usize),
    Forget(usize),
}

/// Numbers of dials by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct DialCounts {
    pub dials: u64,
    pub stood: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
}

/// The callers of one front.
pub struct Callers {
    front: FrontId,
    host: String,
    to: String,
    spec: CallerSpec,
    rate: f64,
    pub faults: CallerFaults,
    rng: ChaCha8Rng,
    stop_at: f64,
    timers: Timers<Timer>,
    dials: HashMap<usize, Dial>,
    by_session: HashMap<Arc<str>, usize>,
    next_dial: usize,
    call_requests: Vec<CallRequest>,
    counts: DialCounts,
    /// When the favourite trunk group was drawn, and its index.
    favourite: (f64, usize),
    out: VecDeque<Vec<u8>>,
    seen: Vec<Entry>,
    /// Seconds from the first dial of a call until it was established.
    pub stood_after: Vec<f64>,
}

impl Callers {
    /// `host` is the callers' address, `to` the front's; `rate` is new calls a second until `stop_at`.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        front: FrontId,
        host: String,
        to: String,
        spec: CallerSpec,
        rate: f64,
        seed: u64,
        from: f64,
        stop_at: f64,
    ) -> Callers {
        let mut callers = Callers {
            front,
            host,
            to,
            spec,
            rate,
            faults: CallerFaults::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            stop_at,
            timers: Timers::default(),
            dials: HashMap::new(),
            by_session: HashMap::new(),
            next_dial: 0,
            call_requests: Vec::new(),
            counts: DialCounts::default(),
            favourite: (f64::NEG_INFINITY, 0),
            out: VecDeque::new(),
            seen: Vec::new(),
            stood_after: Vec::new(),
        };
        if rate > 0.0 {
            callers.next_arrival(from);
        }
        callers
    }

    pub fn call_requests(&self) -> &[CallRequest] {
        &self.call_requests
    }

    pub fn counts(&self) -> DialCounts {
        self.counts
    }

    pub fn spec(&self) -> &CallerSpec {
        &self.spec
    }

    /// Number of dials that wait for their final answer.
    pub fn asking(&self) -> usize {
        self.dials.values().filter(|d| d.state == State::Asking).count()
    }

    /// Time of the next timer.
    pub fn due(&self) -> f64 {
        self.timers.next()
    }

    pub fn next_output(&mut self) -> Option<Vec<u8>> {
        self.out.pop_front()
    }

    /// Takes the trace entries since the last call.
    pub fn take_seen(&mut self) -> Vec<Entry> {
        std::mem::take(&mut self.seen)
    }

    /// Draws the time of the next arrival. Exponential gaps are memoryless and may be drawn again at any
    /// time; doing so at least once a second makes a change of the rate effective within a second.
    fn next_arrival(&mut self, now: f64) {
        let rate = self.rate * self.faults.burst.unwrap_or(1.0);
        let gap = Exp::new(rate).map_or(f64::INFINITY, |d| d.sample(&mut self.rng));
        match gap <= MAX_ARRIVAL_GAP {
            true => self.timers.set(now + gap, Timer::Arrival),
            false => self.timers.set(now + MAX_ARRIVAL_GAP, Timer::NoArrival),
        }
    }

    pub fn tick(&mut self, now: f64) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                Timer::NoArrival if now < self.stop_at => self.next_arrival(now),
                Timer::NoArrival => {}
                Timer::Arrival => {
                    if now < self.stop_at {
                        self.request_call(now);
                        self.next_arrival(now);
                    }
                }
                Timer::Resend(dial) => self.resend(now, dial),
                Timer::Patience(dial) => self.patience_ended(now, dial),
                Timer::Redial(request) => self.dial(now, request),
                Timer::Release(dial) => self.release(now, dial),
                Timer::Forget(dial) => {
                    if let Some(dial) = self.dials.remove(&dial) {
                        self.by_session.remove(&dial.session);
                    }
                }
            }
        }
    }

    /// Creates a new call and dials at once. Also called directly by owners that schedule the calls
    /// themselves.
    pub fn request_call(&mut self, now: f64) {
        let draw = self.rng.random::<f64>();
        let shares: Vec<f64> = self.spec.procedures.iter().map(|p| p.share).collect();
        let procedure = pick(&shares, draw);
        let draw = self.rng.random::<f64>();
        let shares: Vec<f64> = self.spec.tenants.iter().map(|t| t.1).collect();
        let tenant = pick(&shares, draw);
        if now - self.favourite.0 > self.spec.shift_every {
            self.favourite = (now, self.rng.random_range(0..self.spec.trunk_groups.len().max(1)));
        }
        let groups = self.spec.trunk_groups.len().max(1);
        // Half of all calls go to the current favourite, the rest to any trunk group.
        let trunk_group =
            if self.rng.random::<bool>() { self.favourite.1 } else { self.rng.random_range(0..groups) };
        let number = 910_000_000_000 + self.rng.random_range(0..10_000_000_000u64);
        let request = CallRequest {
            asked_at: now,
            procedure,
            tenant,
            dials: 0,
            stood_after: None,
            cut: false,
            number,
            trunk_group,
        };
        self.call_requests.push(request);
        self.dial(now, self.call_requests.len() - 1);
    }

    fn dial(&mut self, now: f64, request: usize) {
        let call = &mut self.call_requests[request];
        call.dials += 1;
        let (number, tenant) = (call.number, call.tenant);
        let procedure = &self.spec.procedures[call.procedure];
        let group = self.spec.trunk_groups.get(call.trunk_group).cloned().unwrap_or_default();
        let (low, high) = self.spec.patience;
        let patience = procedure.t_timer * (low + (high - low) * self.rng.random::<f64>());
        let left = call.asked_at + procedure.t_timer - now;
        let patience = patience.min(left.max(0.1));
        let session: Arc<str> = format!("{:032x}", self.rng.random::<u128>()).into();
        let dial = self.next_dial;
        self.next_dial += 1;
        let tenant = self.spec.tenants.get(tenant).map_or("tenant.example.org", |t| &t.0);
        let uri = format!("sip:+{number};tgrp={group};trunk-context=example.org@{}", self.to);
        let invite = Writer::request(Method::Invite, &uri)
            .with_args(
                "Via",
                format_args!("SIP/2.0/UDP {};rport;branch=z9hG4bK{}-{dial}", self.host, self.front),
            )
            .with("Max-Forwards", "70")
            .with_args("From", format_args!("<sip:router{number}@{tenant}>;tag=c{dial}"))
            .with_args("To", format_args!("<sip:+{number}@{}>", self.to))
            .with("Call-ID", &session)
            .with("CSeq", "1 INVITE")
            .with_args("Contact", format_args!("<sip:{}>", self.host))
            .with_args("Session-ID", format_args!("{session};remote={:032x}", 0))
            .with("Resource-Priority", &procedure.priority)
            .with_args("Expires", format_args!("{}", patience.ceil()))
            .with_args("Attach-Patience-Ms", format_args!("{:.0}", patience * 1000.0))
            .finish();
        self.out.push_back(invite.clone());
        self.counts.dials += 1;
        self.seen
            .push((now, Seen::Asked { front: self.front, session: session.clone(), until: now + patience }));
        self.by_session.insert(session.clone(), dial);
        self.dials.insert(
            dial,
            Dial {
                request,
                session,
                state: State::Asking,
                responded: false,
                resend_interval: T1,
                resend_at: now + T1,
                until: now + patience,
                invite,
                to: String::new(),
                contact: uri,
                bye: None,
            },
        );
        self.timers.set(now + T1, Timer::Resend(dial));
        let hang_up = patience * self.faults.give_up.unwrap_or(1.0);
        // The caller waits for the checker's slack too, so that an answer at the last millisecond still
        // counts.
        let slack = if self.faults.give_up.is_some() { 0.0 } else { 0.02 };
        self.timers.set(now + hang_up + slack, Timer::Patience(dial));
    }

    /// Retransmits the INVITE by Timer A until any response (RFC 3261 section 17.1.1.2), and the BYE by Timer
    /// E (section 17.1.2.2).
    fn resend(&mut self, now: f64, key: usize) {
        let Some(dial) = self.dials.get_mut(&key) else { return };
        let bytes = match dial.state {
            State::Asking if !dial.responded => &dial.invite,
            State::Ended if dial.bye.is_some() => dial.bye.as_ref().unwrap_or(&dial.invite),
            _ => return,
        };
        if now < dial.resend_at || dial.state == State::Asking && now > dial.until {
            return;
        }
        self.out.push_back(bytes.clone());
        dial.resend_interval = (dial.resend_interval * 2.0).min(T2);
        dial.resend_at = now + dial.resend_interval;
        self.timers.set(dial.resend_at, Timer::Resend(key));
    }

    fn patience_ended(&mut self, now: f64, key: usize) {
        let Some(dial) = self.dials.get_mut(&key).filter(|d| d.state == State::Asking) else { return };
        dial.state = State::Abandoned;
        self.counts.left += 1;
        if dial.responded {
            // RFC 3261 section 9.1: CANCEL only after a provisional response.
            let session = dial.session.clone();
            let cancel = self.in_transaction(key, Method::Cancel, "");
            self.out.push_back(cancel);
            self.seen.push((now, Seen::Withdrawn { session }));
        }
        self.timers.set(now + TRANSACTION_TIMEOUT, Timer::Forget(key));
        self.redial(now, key, None);
    }

    fn redial(&mut self, now: f64, key: usize, pause: Option<f64>) {
        let request = self.dials[&key].request;
        let call = &self.call_requests[request];
        let abuse = self.faults.abuse == Some(call.tenant);
        let max_redials = if abuse { 20 } else { self.spec.redials };
        if call.dials > max_redials {
            return;
        }
        let (low, high) = if abuse { (0.02, 0.1) } else { self.spec.redial_wait };
        let mut wait = low + (high - low) * self.rng.random::<f64>();
        if let (Some(pause), true) = (pause, self.spec.heeds_retry_after && !abuse) {
            wait = wait.max(pause);
        }
        let procedure = &self.spec.procedures[call.procedure];
        if now + wait < call.asked_at + procedure.t_timer {
            self.timers.set(now + wait, Timer::Redial(request));
        }
    }

    fn release(&mut self, now: f64, key: usize) {
        let Some(dial) = self.dials.get_mut(&key).filter(|d| d.state == State::Established) else { return };
        dial.state = State::Ended;
        self.hang_up(now, key);
    }

    fn hang_up(&mut self, now: f64, key: usize) {
        let bye = self.in_dialog(key, Method::Bye, 2);
        self.out.push_back(bye.clone());
        if let Some(dial) = self.dials.get_mut(&key) {
            dial.bye = Some(bye);
            dial.resend_interval = T1;
            dial.resend_at = now + T1;
        }
        self.timers.set(now + T1, Timer::Resend(key));
        self.timers.set(now + TRANSACTION_TIMEOUT, Timer::Forget(key));
    }

    /// Creates a CANCEL, or the ACK to a refusal, with the branch and CSeq number of the INVITE.
    fn in_transaction(&self, key: usize, method: Method, to: &str) -> Vec<u8> {
        let dial = &self.dials[&key];
        let Ok(invite) = Message::parse(&dial.invite) else { return Vec::new() };
        let Start::Request { uri, .. } = invite.start else { return Vec::new() };
        let to = if to.is_empty() { invite.to().unwrap_or_default() } else { to };
        Writer::request(method, uri)
            .with("Via", invite.header("Via").unwrap_or_default())
            .with("Max-Forwards", "70")
            .with("From", invite.from().unwrap_or_default())
            .with("To", to)
            .with("Call-ID", &dial.session)
            .with_args("CSeq", format_args!("1 {method}"))
            .finish()
    }

    /// Creates an ACK to a 200, or a BYE: a separate transaction in the dialog.
    fn in_dialog(&self, key: usize, method: Method, cseq: u32) -> Vec<u8> {
        let dial = &self.dials[&key];
        let Ok(invite) = Message::parse(&dial.invite) else { return Vec::new() };
        let branch = format!("z9hG4bK{}-{key}-{method}", self.front);
        Writer::request(method, &dial.contact)
            .with_args("Via", format_args!("SIP/2.0/UDP {};rport;branch={branch}", self.host))
            .with("Max-Forwards", "70")
            .with("From", invite.from().unwrap_or_default())
            .with("To", &dial.to)
            .with("Call-ID", &dial.session)
            .with_args("CSeq", format_args!("{cseq} {method}"))
            .finish()
    }

    /// Handles a datagram from the front.
    pub fn datagram(&mut self, now: f64, bytes: &[u8]) {
        let Ok(message) = Message::parse(bytes) else { return };
        let Ok(call_id) = message.call_id() else { return };
        let key = self.by_session.get(call_id).copied();
        match message.start {
            Start::Response { status, .. } => {
                let Ok((_, method)) = message.cseq() else { return };
                if let Some(key) = key {
                    self.response(now, key, method, status, &message);
                }
            }
            Start::Request { method, .. } => {
                let status = if key.is_some() { 200 } else { 481 };
                if method != Method::Ack {
                    self.out.push_back(
                        Writer::response(status, &ResponseHead::for_request(&message, "c")).finish(),
                    );
                }
                let dial = key.and_then(|k| self.dials.get_mut(&k));
                if let (Method::Bye, Some(dial)) = (method, dial) {
                    if dial.state == State::Established {
                        dial.state = State::Ended;
                        self.call_requests[dial.request].cut = true;
                        let key = key.unwrap_or_default();
                        self.timers.set(now + TRANSACTION_TIMEOUT, Timer::Forget(key));
                    }
                }
            }
        }
    }

    fn response(&mut self, now: f64, key: usize, method: Method, status: u16, message: &Message) {
        let Some(dial) = self.dials.get_mut(&key) else { return };
        dial.responded = true;
        if method == Method::Bye && status >= 200 {
            dial.bye = None;
        }
        if method != Method::Invite || status < 200 {
            return;
        }
        let pause = message.retry_after();
        self.seen.push((now, Seen::Answered { session: dial.session.clone(), status, pause }));
        if (200..300).contains(&status) {
            dial.to = message.to().unwrap_or_default().into();
            if let Some(contact) = message.header("Contact") {
                dial.contact = address(contact).into();
            }
            let (state, request) = (dial.state, dial.request);
            let ack = self.in_dialog(key, Method::Ack, 1);
            self.out.push_back(ack);
            match state {
                State::Asking => self.established(now, key, request),
                State::Abandoned => {
                    // CANCEL and 200 crossed: the call is no longer wanted and is released (section 15).
                    if let Some(dial) = self.dials.get_mut(&key) {
                        dial.state = State::Ended;
                    }
                    self.hang_up(now, key);
                }
                _ => {}
            }
            return;
        }
        let was = std::mem::replace(&mut dial.state, State::Ended);
        let to = message.to().unwrap_or_default().to_string();
        let ack = self.in_transaction(key, Method::Ack, &to);
        self.out.push_back(ack);
        if was == State::Asking {
            match status {
                503 => self.counts.refused += 1,
                _ => self.counts.failed += 1,
            }
            self.timers.set(now + TRANSACTION_TIMEOUT, Timer::Forget(key));
            self.redial(now, key, pause);
        }
    }

    fn established(&mut self, now: f64, key: usize, request: usize) {
        let request = &mut self.call_requests[request];
        let after = now - request.asked_at;
        request.stood_after = Some(after);
        self.stood_after.push(after);
        self.counts.stood += 1;
        let holding = self.spec.procedures[request.procedure].holding;
        let lasts = Exp::new(1.0 / holding).map_or(holding, |d| d.sample(&mut self.rng));
        if let Some(dial) = self.dials.get_mut(&key) {
            dial.state = State::Established;
        }
        self.timers.set(now + lasts, Timer::Release(key));
    }
}

/// Returns the index in `shares` that a draw in 0..1 selects.
fn pick(shares: &[f64], draw: f64) -> usize {
    let total: f64 = shares.iter().sum();
    let mut left = draw * total;
    for (place, share) in shares.iter().enumerate() {
        left -= share;
        if left < 0.0 {
            return place;
        }
    }
    shares.len().saturating_sub(1)
}
