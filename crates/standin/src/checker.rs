//! Checks the five rules over a trace of the messages that the peers sent and received; it never asks a
//! front.

use crate::processor::{warmth, Cold};
use crate::trace::{Entry, FrontId, Seen, ServerId};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Limits of the rules, seconds, and the allowance for the sockets' delay.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Rule 1: an answer within this time after the caller's patience has ended is still in time.
    pub answer_slack: f64,
    /// Rule 3: time after the report of a drain within which set-ups may still be sent to that server.
    pub drain_grace: f64,
    /// Rule 5: minimum time between an abandoned try and the next one.
    pub release_guard: f64,
    /// Rule 4: capacity of a cold server.
    pub cold: Cold,
    /// Allowance for the delay of the sockets.
    pub passing: f64,
    /// A server that one source (pool list or DNS) removed is not restored by the other within this time.
    pub hold: f64,
}

/// Allowance for a stopped process to run again after it was continued, seconds.
const RESUME_ALLOWANCE: f64 = 0.1;

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub rule: u8,
    pub at: f64,
    pub what: String,
}

/// Result of a check.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub broken: Vec<Broken>,
    /// Attaches without an answer whose front ran until the caller's patience ended.
    pub unanswered: u64,
    pub attaches: u64,
    /// Attaches that are not evaluated because their front was killed before their deadline.
    pub killed: u64,
    /// Attaches whose patience ended while their front's process was stopped from outside, so that it could
    /// not answer. They must be answered as soon as it continues.
    pub held_up: u64,
    pub set_ups: u64,
}

impl Verdict {
    pub fn count(&self, rule: u8) -> u64 {
        self.broken.iter().filter(|b| b.rule == rule).count() as u64
    }
}

#[derive(Default)]
struct Session {
    front: FrontId,
    asked: f64,
    until: f64,
    finals: Vec<(f64, u16)>,
    withdrawn: Option<f64>,
}

struct Leg {
    session: Arc<str>,
    server: ServerId,
    front: FrontId,
    from: f64,
    /// When the try ended, and whether `release_guard` applies after it.
    ended: Option<(f64, bool)>,
    established: Option<f64>,
    released: bool,
}

/// Checks a trace, which must be in order of time.
pub fn check(entries: &[Entry], figures: &Figures) -> Verdict {
    let mut checker = Checker::new(figures);
    for (now, seen) in entries {
        checker.observe(*now, seen);
    }
    let end = entries.last().map_or(0.0, |e| e.0);
    checker.finish(end)
}

struct Checker<'a> {
    figures: &'a Figures,
    verdict: Verdict,
    sessions: BTreeMap<Arc<str>, Session>,
    legs: Vec<Leg>,
    by_leg: HashMap<Arc<str>, usize>,
    by_session: HashMap<Arc<str>, Vec<usize>>,
    /// Per front and server: when the list first reported to the front that the server is not ready.
    not_ready: HashMap<(FrontId, ServerId), f64>,
    /// Per front and server: when a DNS answer last named the server, and when one first omitted it since.
    named: HashMap<(FrontId, ServerId), (f64, Option<f64>)>,
    /// Per server: time of its last start, whether it was cold, set-ups a second when warm.
    started: HashMap<ServerId, (f64, bool, f64)>,
    /// Per cold server: times of the set-ups in the current window.
    recent: HashMap<ServerId, VecDeque<f64>>,
    stopped: HashMap<ServerId, Vec<f64>>,
    killed: HashMap<FrontId, Vec<f64>>,
    /// Per front: when its process was stopped and when it continued.
    stops: HashMap<FrontId, Vec<(f64, f64)>>,
}

impl<'a> Checker<'a> {
    fn new(figures: &'a Figures) -> Checker<'a> {
        Checker {
            figures,
            verdict: Verdict::default(),
            sessions: BTreeMap::new(),
            legs: Vec::new(),
            by_leg: HashMap::new(),
            by_session: HashMap::new(),
            not_ready: HashMap::new(),
            named: HashMap::new(),
            started: HashMap::new(),
            recent: HashMap::new(),
            stopped: HashMap::new(),
            killed: HashMap::new(),
            stops: HashMap::new(),
        }
    }

    fn broken(&mut self, rule: u8, at: f64, what: String) {
        self.verdict.broken.push(Broken { rule, at, what });
    }

    fn observe(&mut self, now: f64, seen: &Seen) {
        match seen {
            Seen::Asked { front, session, until } => {
                self.verdict.attaches += 1;
                let new = Session { front: *front, asked: now, until: *until, ..Session::default() };
                self.sessions.insert(session.clone(), new);
            }
            Seen::Answered { session, status, .. } => self.answered(now, session, *status),
            Seen::Withdrawn { session } => {
                if let Some(session) = self.sessions.get_mut(session) {
                    session.withdrawn = Some(now);
                }
            }
            Seen::SetUp { server, front, session, leg } => self.set_up(now, *server, *front, session, leg),
            Seen::Cancelled { leg, .. } => self.ended(leg, now, true),
            Seen::ServerAnswered { leg, status, .. } => {
                if let Some(&place) = self.by_leg.get(leg) {
                    if (200..300).contains(status) {
                        self.legs[place].established = Some(now);
                    }
                }
                self.ended(leg, now, false);
            }
            Seen::Lost { leg, .. } => self.ended(leg, now, true),
            Seen::Released { leg, .. } => {
                if let Some(&place) = self.by_leg.get(leg) {
                    self.legs[place].released = true;
                }
            }
            Seen::Started { server, cold, capacity } => {
                self.started.insert(*server, (now, *cold, *capacity));
                self.recent.remove(server);
            }
            Seen::Fell { server } => {
                self.broken(4, now, format!("server {server} was pushed over"));
            }
            Seen::Stopped { server } => {
                self.stopped.entry(*server).or_default().push(now);
                for leg in self.legs.iter_mut().filter(|l| l.server == *server) {
                    // Pending tries are reset, established calls are lost.
                    if leg.ended.is_none() {
                        leg.ended = Some((now, true));
                    }
                    leg.released = true;
                }
            }
            Seen::Told { front, server, ready } => {
                if *ready {
                    self.not_ready.remove(&(*front, *server));
                } else {
                    self.not_ready.entry((*front, *server)).or_insert(now);
                }
            }
            Seen::Named { front, servers } => {
                for ((_, server), named) in self.named.iter_mut().filter(|(at, _)| at.0 == *front) {
                    if !servers.contains(server) {
                        named.1.get_or_insert(now);
                    }
                }
                for server in servers {
                    self.named.insert((*front, *server), (now, None));
                }
            }
            Seen::FrontKilled { front } => {
                self.killed.entry(*front).or_default().push(now);
                self.not_ready.retain(|(f, _), _| f != front);
                self.named.retain(|(f, _), _| f != front);
                for leg in self.legs.iter_mut().filter(|l| l.front == *front) {
                    // A killed front is no longer responsible for its legs.
                    leg.ended.get_or_insert((now, false));
                    leg.released = true;
                }
            }
            Seen::FrontStopped { front } => self.stops.entry(*front).or_default().push((now, f64::INFINITY)),
            Seen::FrontGoesOn { front } => {
                if let Some(stop) = self.stops.entry(*front).or_default().last_mut() {
                    stop.1 = now;
                }
            }
            Seen::Gone { .. } | Seen::FrontLaunched { .. } => {}
            Seen::FrontUp { .. } | Seen::Probed { .. } | Seen::Acknowledged { .. } => {}
        }
    }

    fn ended(&mut self, leg: &Arc<str>, now: f64, guarded: bool) {
        if let Some(&place) = self.by_leg.get(leg) {
            self.legs[place].ended.get_or_insert((now, guarded));
        }
    }

    fn answered(&mut self, now: f64, name: &Arc<str>, status: u16) {
        let Some(session) = self.sessions.get_mut(name) else {
            return self.broken(1, now, format!("an answer {status} for {name}, which nobody asked for"));
        };
        let repeat = session.finals.iter().any(|f| f.1 == status);
        session.finals.push((now, status));
        if repeat {
            return;
        }
        let others = session.finals.iter().any(|f| f.1 != status);
        let slack = self.figures.answer_slack + self.figures.passing;
        let mut late =
            session.finals.len() == 1 && session.withdrawn.is_none() && now > session.until + slack;
        let (front, until) = (session.front, session.until);
        let stops = self.stops.get(&front).map_or(&[][..], Vec::as_slice);
        if late && stops.iter().any(|s| s.0 <= until + slack && now <= s.1 + slack + RESUME_ALLOWANCE) {
            self.verdict.held_up += 1;
            late = false;
        }
        if others {
            self.broken(1, now, format!("{name} is answered {status} after another final answer"));
        }
        if late {
            self.broken(1, now, format!("{name} is answered {status} after its caller's time was up"));
        }
    }

    fn set_up(&mut self, now: f64, server: ServerId, front: FrontId, name: &Arc<str>, leg: &Arc<str>) {
        self.verdict.set_ups += 1;
        let passing = self.figures.passing;
        if let Some(session) = self.sessions.get(name) {
            if let Some(&(at, status)) = session.finals.first().filter(|f| now > f.0 + passing) {
                self.broken(
                    1,
                    now,
                    format!("{name} is sent to server {server} {:.3} s after its answer {status}", now - at),
                );
            }
        }
        let earlier: Vec<usize> = self.by_session.get(name).cloned().unwrap_or_default();
        for place in earlier {
            let (other, from) = (self.legs[place].server, self.legs[place].from);
            match self.legs[place].ended {
                None => self.broken(
                    2,
                    now,
                    format!("{name} has tries out at servers {other} (since {from:.3}) and {server}"),
                ),
                Some((at, true)) if now < at + self.figures.release_guard - passing => {
                    self.broken(
                        5,
                        now,
                        format!(
                            "{name} is sent again {:.3} s after its try at {other} was given up",
                            now - at
                        ),
                    );
                }
                Some(_) => {}
            }
        }
        if let Some(reported) = self.removed_since(now, front, server) {
            if now > reported + self.figures.drain_grace + passing {
                let late = now - reported;
                self.broken(
                    3,
                    now,
                    format!("front {front} sends to server {server} {late:.3} s after it was told"),
                );
            }
        }
        self.check_cold_load(now, server);
        self.by_session.entry(name.clone()).or_default().push(self.legs.len());
        self.by_leg.insert(leg.clone(), self.legs.len());
        self.legs.push(Leg {
            session: name.clone(),
            server,
            front,
            from: now,
            ended: None,
            established: None,
            released: false,
        });
    }

    /// When this front was informed that the server drains or was removed. A report of the list applies until
    /// the list reports otherwise, or until DNS names the server after the hold; one of DNS applies during
    /// the hold.
    fn removed_since(&self, now: f64, front: FrontId, server: ServerId) -> Option<f64> {
        let hold = self.figures.hold;
        let named = self.named.get(&(front, server));
        let by_list = self.not_ready.get(&(front, server)).copied();
        let by_list = by_list.filter(|at| !named.is_some_and(|n| n.1.is_none() && n.0 >= at + hold));
        let by_dns = named.and_then(|n| n.1).filter(|at| now < at + hold);
        match (by_list, by_dns) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// Rule 4: the load on a cold server within one window.
    fn check_cold_load(&mut self, now: f64, server: ServerId) {
        let Some(&(started, true, capacity)) = self.started.get(&server) else { return };
        let cold = &self.figures.cold;
        let age = now - started;
        if age >= cold.warm_after {
            return;
        }
        let recent = self.recent.entry(server).or_default();
        while recent.front().is_some_and(|&t| t <= now - cold.fall_after) {
            recent.pop_front();
        }
        recent.push_back(now);
        let served = capacity * warmth(cold, age) * cold.fall_after;
        let (sent, limit) = (recent.len() as f64, (cold.tip_multiple * served).max(2.0));
        if sent > limit {
            self.broken(
                4,
                now,
                format!(
                    "{sent} set-ups within {} s for cold server {server}: {limit:.1} at most",
                    cold.fall_after
                ),
            );
        }
    }

    fn finish(mut self, end: f64) -> Verdict {
        let sessions = std::mem::take(&mut self.sessions);
        for (name, session) in &sessions {
            let last = session.until + self.figures.answer_slack + self.figures.passing;
            if !session.finals.is_empty() || last > end {
                continue;
            }
            let killed = self.killed.get(&session.front);
            // Killed while the attach was pending, or down already when it was sent and restarted later.
            if killed.is_some_and(|k| k.iter().any(|&t| t >= session.asked - 10.0 && t <= last)) {
                self.verdict.killed += 1;
            } else if session.withdrawn.is_none_or(|w| w >= session.until) {
                self.verdict.unanswered += 1;
                self.broken(1, last, format!("{name} never got an answer from front {}", session.front));
            } else {
                self.broken(1, last, format!("{name} was withdrawn and got no final answer"));
            }
        }
        // A call that is established at a server although its caller received a refusal must be released.
        let legs = std::mem::take(&mut self.legs);
        for leg in &legs {
            let (Some(established), false) = (leg.established, leg.released) else { continue };
            let accepted = sessions.get(&leg.session).map(|s| s.finals.iter().any(|f| f.1 < 300));
            if accepted == Some(false) && end > established + 5.0 {
                let what = format!(
                    "{} stands at server {} although its caller was told otherwise",
                    leg.session, leg.server
                );
                self.broken(1, end, what);
            }
        }
        self.verdict
    }
}
