//! The callers in front of one front, without I/O: they ask over datagrams, wait as long as their patience,
//! dial again, hold their calls and release them.

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

/// One kind of attach, as its callers see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AskSpec {
    pub name: String,
    /// Share of all attaches.
    pub share: f64,
    /// Its Resource-Priority.
    pub priority: String,
    /// Seconds within which it is wanted to stand.
    pub target: f64,
    pub t_timer: f64,
    pub utility: f64,
    pub late_share: f64,
    /// Mean seconds that a call lasts.
    pub holding: f64,
}

/// What callers do.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallerSpec {
    pub procedures: Vec<AskSpec>,
    /// Trunk groups, one of which an attach names; which are named more often shifts every so many seconds.
    pub trunk_groups: Vec<String>,
    pub shift_every: f64,
    /// Names and shares.
    pub tenants: Vec<(String, f64)>,
    /// Patience of one dial, in T-timers, from and to.
    pub patience: (f64, f64),
    pub redials: u32,
    /// Seconds before dialling again, from and to.
    pub redial_wait: (f64, f64),
    pub heeds_retry_after: bool,
}

/// Troubles of callers.
#[derive(Clone, Debug, Default)]
pub struct CallerFaults {
    /// Times the usual rate.
    pub burst: Option<f64>,
    /// They hang up after this part of the patience that they told.
    pub give_up: Option<f64>,
    /// This tenant's callers dial again at once, many times.
    pub abuse: Option<usize>,
}

/// One wish for a call; its dials belong to it.
#[derive(Clone, Debug)]
pub struct Wish {
    pub asked_at: f64,
    pub procedure: usize,
    pub tenant: usize,
    pub dials: u32,
    /// When a dial of it stood, in seconds after `asked_at`.
    pub stood_after: Option<f64>,
    pub cut: bool,
    number: u64,
    trunk_group: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Asking,
    /// CANCEL sent, or patience over with nothing heard.
    Left,
    Stands,
    Over,
}

#[derive(Clone, Debug)]
struct Dial {
    wish: usize,
    session: Arc<str>,
    state: State,
    heard: bool,
    gap: f64,
    resend_at: f64,
    until: f64,
    invite: Vec<u8>,
    to: String,
    contact: String,
    bye: Option<Vec<u8>>,
}

/// Seconds after which a gap between wishes is drawn anew.
const LONGEST_GAP: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
enum Due {
    Arrival,
    /// None came for the longest gap; the next is drawn anew.
    NoArrival,
    Again(usize),
    Patience(usize),
    Redial(usize),
    Release(usize),
    Forget(usize),
}

/// Counts over dials.
#[derive(Clone, Copy, Debug, Default)]
pub struct Dialled {
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
    timers: Timers<Due>,
    dials: HashMap<usize, Dial>,
    by_session: HashMap<Arc<str>, usize>,
    next_dial: usize,
    wishes: Vec<Wish>,
    counts: Dialled,
    favourite: (f64, usize),
    out: VecDeque<Vec<u8>>,
    seen: Vec<Entry>,
    /// Seconds from the first dial to its standing.
    pub stood_after: Vec<f64>,
}

impl Callers {
    /// `host` is where they are reached, `to` the front; `rate` is wishes a second until `stop_at`.
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
            wishes: Vec::new(),
            counts: Dialled::default(),
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

    pub fn wishes(&self) -> &[Wish] {
        &self.wishes
    }

    pub fn counts(&self) -> Dialled {
        self.counts
    }

    pub fn spec(&self) -> &CallerSpec {
        &self.spec
    }

    /// Dials that wait for their final answer.
    pub fn asking(&self) -> usize {
        self.dials.values().filter(|d| d.state == State::Asking).count()
    }

    pub fn due(&self) -> f64 {
        self.timers.next()
    }

    pub fn next_output(&mut self) -> Option<Vec<u8>> {
        self.out.pop_front()
    }

    pub fn take_seen(&mut self) -> Vec<Entry> {
        std::mem::take(&mut self.seen)
    }

    /// Draws when the next wish comes. A gap without memory may be drawn anew at any time: it is, so that a
    /// rate that changes is followed within a second.
    fn next_arrival(&mut self, now: f64) {
        let rate = self.rate * self.faults.burst.unwrap_or(1.0);
        let gap = Exp::new(rate).map_or(f64::INFINITY, |d| d.sample(&mut self.rng));
        match gap <= LONGEST_GAP {
            true => self.timers.set(now + gap, Due::Arrival),
            false => self.timers.set(now + LONGEST_GAP, Due::NoArrival),
        }
    }

    pub fn tick(&mut self, now: f64) {
        while let Some(due) = self.timers.pop(now) {
            match due {
                Due::NoArrival if now < self.stop_at => self.next_arrival(now),
                Due::NoArrival => {}
                Due::Arrival => {
                    if now < self.stop_at {
                        self.wish(now);
                        self.next_arrival(now);
                    }
                }
                Due::Again(dial) => self.resend(now, dial),
                Due::Patience(dial) => self.patience_over(now, dial),
                Due::Redial(wish) => self.dial(now, wish),
                Due::Release(dial) => self.release(now, dial),
                Due::Forget(dial) => {
                    if let Some(dial) = self.dials.remove(&dial) {
                        self.by_session.remove(&dial.session);
                    }
                }
            }
        }
    }

    /// A new wish, dialled at once; for callers driven by hand too.
    pub fn wish(&mut self, now: f64) {
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
        // Half of all go to the favourite of the moment, the rest anywhere.
        let trunk_group =
            if self.rng.random::<bool>() { self.favourite.1 } else { self.rng.random_range(0..groups) };
        let number = 910_000_000_000 + self.rng.random_range(0..10_000_000_000u64);
        let wish = Wish {
            asked_at: now,
            procedure,
            tenant,
            dials: 0,
            stood_after: None,
            cut: false,
            number,
            trunk_group,
        };
        self.wishes.push(wish);
        self.dial(now, self.wishes.len() - 1);
    }

    fn dial(&mut self, now: f64, wish: usize) {
        let told = &mut self.wishes[wish];
        told.dials += 1;
        let (number, tenant) = (told.number, told.tenant);
        let procedure = &self.spec.procedures[told.procedure];
        let group = self.spec.trunk_groups.get(told.trunk_group).cloned().unwrap_or_default();
        let (low, high) = self.spec.patience;
        let patience = procedure.t_timer * (low + (high - low) * self.rng.random::<f64>());
        let left = told.asked_at + procedure.t_timer - now;
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
                wish,
                session,
                state: State::Asking,
                heard: false,
                gap: T1,
                resend_at: now + T1,
                until: now + patience,
                invite,
                to: String::new(),
                contact: uri,
                bye: None,
            },
        );
        self.timers.set(now + T1, Due::Again(dial));
        let hang_up = patience * self.faults.give_up.unwrap_or(1.0);
        // The rule's slack belongs to the caller's wait too: an answer on the last millisecond still counts.
        let slack = if self.faults.give_up.is_some() { 0.0 } else { 0.02 };
        self.timers.set(now + hang_up + slack, Due::Patience(dial));
    }

    /// INVITE by Timer A until something is heard (17.1.1.2), BYE by Timer E (17.1.2.2).
    fn resend(&mut self, now: f64, key: usize) {
        let Some(dial) = self.dials.get_mut(&key) else { return };
        let bytes = match dial.state {
            State::Asking if !dial.heard => &dial.invite,
            State::Over if dial.bye.is_some() => dial.bye.as_ref().unwrap_or(&dial.invite),
            _ => return,
        };
        if now < dial.resend_at || dial.state == State::Asking && now > dial.until {
            return;
        }
        self.out.push_back(bytes.clone());
        dial.gap = (dial.gap * 2.0).min(T2);
        dial.resend_at = now + dial.gap;
        self.timers.set(dial.resend_at, Due::Again(key));
    }

    fn patience_over(&mut self, now: f64, key: usize) {
        let Some(dial) = self.dials.get_mut(&key).filter(|d| d.state == State::Asking) else { return };
        dial.state = State::Left;
        self.counts.left += 1;
        if dial.heard {
            // Section 9.1: only once something was heard.
            let session = dial.session.clone();
            let cancel = self.in_transaction(key, Method::Cancel, "");
            self.out.push_back(cancel);
            self.seen.push((now, Seen::Withdrawn { session }));
        }
        self.timers.set(now + TRANSACTION_TIMEOUT, Due::Forget(key));
        self.redial(now, key, None);
    }

    fn redial(&mut self, now: f64, key: usize, pause: Option<f64>) {
        let wish = self.dials[&key].wish;
        let told = &self.wishes[wish];
        let abuse = self.faults.abuse == Some(told.tenant);
        let most = if abuse { 20 } else { self.spec.redials };
        if told.dials > most {
            return;
        }
        let (low, high) = if abuse { (0.02, 0.1) } else { self.spec.redial_wait };
        let mut wait = low + (high - low) * self.rng.random::<f64>();
        if let (Some(pause), true) = (pause, self.spec.heeds_retry_after && !abuse) {
            wait = wait.max(pause);
        }
        let procedure = &self.spec.procedures[told.procedure];
        if now + wait < told.asked_at + procedure.t_timer {
            self.timers.set(now + wait, Due::Redial(wish));
        }
    }

    fn release(&mut self, now: f64, key: usize) {
        let Some(dial) = self.dials.get_mut(&key).filter(|d| d.state == State::Stands) else { return };
        dial.state = State::Over;
        self.hang_up(now, key);
    }

    fn hang_up(&mut self, now: f64, key: usize) {
        let bye = self.in_dialog(key, Method::Bye, 2);
        self.out.push_back(bye.clone());
        if let Some(dial) = self.dials.get_mut(&key) {
            dial.bye = Some(bye);
            dial.gap = T1;
            dial.resend_at = now + T1;
        }
        self.timers.set(now + T1, Due::Again(key));
        self.timers.set(now + TRANSACTION_TIMEOUT, Due::Forget(key));
    }

    /// CANCEL, or ACK to a refusal: the INVITE's own branch and CSeq number.
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

    /// ACK to a 200, or BYE: a transaction of its own in the dialog.
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

    /// A datagram from the front.
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
                    if dial.state == State::Stands {
                        dial.state = State::Over;
                        self.wishes[dial.wish].cut = true;
                        let key = key.unwrap_or_default();
                        self.timers.set(now + TRANSACTION_TIMEOUT, Due::Forget(key));
                    }
                }
            }
        }
    }

    fn response(&mut self, now: f64, key: usize, method: Method, status: u16, message: &Message) {
        let Some(dial) = self.dials.get_mut(&key) else { return };
        dial.heard = true;
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
            let (state, wish) = (dial.state, dial.wish);
            let ack = self.in_dialog(key, Method::Ack, 1);
            self.out.push_back(ack);
            match state {
                State::Asking => self.stood(now, key, wish),
                State::Left => {
                    // CANCEL and 200 crossed: the call is not wanted any more (section 15).
                    if let Some(dial) = self.dials.get_mut(&key) {
                        dial.state = State::Over;
                    }
                    self.hang_up(now, key);
                }
                _ => {}
            }
            return;
        }
        let was = std::mem::replace(&mut dial.state, State::Over);
        let to = message.to().unwrap_or_default().to_string();
        let ack = self.in_transaction(key, Method::Ack, &to);
        self.out.push_back(ack);
        if was == State::Asking {
            match status {
                503 => self.counts.refused += 1,
                _ => self.counts.failed += 1,
            }
            self.timers.set(now + TRANSACTION_TIMEOUT, Due::Forget(key));
            self.redial(now, key, pause);
        }
    }

    fn stood(&mut self, now: f64, key: usize, wish: usize) {
        let wish = &mut self.wishes[wish];
        let after = now - wish.asked_at;
        wish.stood_after = Some(after);
        self.stood_after.push(after);
        self.counts.stood += 1;
        let holding = self.spec.procedures[wish.procedure].holding;
        let lasts = Exp::new(1.0 / holding).map_or(holding, |d| d.sample(&mut self.rng));
        if let Some(dial) = self.dials.get_mut(&key) {
            dial.state = State::Stands;
        }
        self.timers.set(now + lasts, Due::Release(key));
    }
}

/// The place in `shares` that a draw in 0..1 falls on.
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
