//! Checks the five rules over a trace of what passed on the sockets; it never asks a front.

use crate::processor::{warmth, Cold};
use crate::trace::{Entry, FrontId, Seen, ServerId};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// The figures of the rules, seconds, and what the sockets' own delay may add to each.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Rule 1: an answer so long after the caller's time is up still counts.
    pub answer_slack: f64,
    /// Rule 3.
    pub drain_grace: f64,
    /// Rule 5.
    pub release_guard: f64,
    /// Rule 4.
    pub cold: Cold,
    /// What passing the sockets may take.
    pub passing: f64,
    /// So long what one source took out is not brought back by the other.
    pub hold: f64,
}

/// What a process that went on may take to find its feet, seconds.
const STIRRING: f64 = 0.1;

/// One broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    pub rule: u8,
    pub at: f64,
    pub what: String,
}

/// What the checker found.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub broken: Vec<Broken>,
    /// Attaches asked of a front that was running until their time was up, and never answered.
    pub unanswered: u64,
    pub attaches: u64,
    /// Attaches not judged since their front was killed in their time.
    pub killed: u64,
    /// Attaches whose time ended while their front was stopped from outside: a process that does not run
    /// answers nobody. They must be answered as soon as it goes on.
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
    /// When it was out no more, and whether the guard binds after it.
    ended: Option<(f64, bool)>,
    stood: Option<f64>,
    released: bool,
}

/// Checks a trace in order of time.
pub fn check(entries: &[Entry], figures: &Figures) -> Verdict {
    let mut checker = Checker::new(figures);
    for (now, seen) in entries {
        checker.take(*now, seen);
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
    /// Per front and server: since when it has been told that it is not ready.
    not_ready: HashMap<(FrontId, ServerId), f64>,
    /// Per front and server: when DNS last named it, and since when it no longer does.
    named: HashMap<(FrontId, ServerId), (f64, Option<f64>)>,
    started: HashMap<ServerId, (f64, bool, f64)>,
    recent: HashMap<ServerId, VecDeque<f64>>,
    stopped: HashMap<ServerId, Vec<f64>>,
    killed: HashMap<FrontId, Vec<f64>>,
    /// When each front was stopped and went on.
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

    fn take(&mut self, now: f64, seen: &Seen) {
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
                        self.legs[place].stood = Some(now);
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
                    // What was out is reset; what stood is gone.
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
                    // What a killed front held is no longer its duty.
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
        if late && stops.iter().any(|s| s.0 <= until + slack && now <= s.1 + slack + STIRRING) {
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
        if let Some(told) = self.taken_out(now, front, server) {
            if now > told + self.figures.drain_grace + passing {
                let late = now - told;
                self.broken(
                    3,
                    now,
                    format!("front {front} sends to server {server} {late:.3} s after it was told"),
                );
            }
        }
        self.cold(now, server);
        self.by_session.entry(name.clone()).or_default().push(self.legs.len());
        self.by_leg.insert(leg.clone(), self.legs.len());
        self.legs.push(Leg {
            session: name.clone(),
            server,
            front,
            from: now,
            ended: None,
            stood: None,
            released: false,
        });
    }

    /// Since when this front knows that the server drains or is gone. The list's word holds until the list
    /// says otherwise, or DNS names the server after the hold; that of DNS holds within it.
    fn taken_out(&self, now: f64, front: FrontId, server: ServerId) -> Option<f64> {
        let hold = self.figures.hold;
        let named = self.named.get(&(front, server));
        let by_list = self.not_ready.get(&(front, server)).copied();
        let by_list = by_list.filter(|told| !named.is_some_and(|n| n.1.is_none() && n.0 >= told + hold));
        let by_dns = named.and_then(|n| n.1).filter(|at| now < at + hold);
        match (by_list, by_dns) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    fn cold(&mut self, now: f64, server: ServerId) {
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
        let can = capacity * warmth(cold, age) * cold.fall_after;
        let (sent, most) = (recent.len() as f64, (cold.tip_multiple * can).max(2.0));
        if sent > most {
            self.broken(
                4,
                now,
                format!(
                    "{sent} set-ups within {} s for cold server {server}: {most:.1} at most",
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
            // Dead in its time, or dead already when it asked and up again later.
            if killed.is_some_and(|k| k.iter().any(|&t| t >= session.asked - 10.0 && t <= last)) {
                self.verdict.killed += 1;
            } else if session.withdrawn.is_none_or(|w| w >= session.until) {
                self.verdict.unanswered += 1;
                self.broken(1, last, format!("{name} never got an answer from front {}", session.front));
            } else {
                self.broken(1, last, format!("{name} was withdrawn and got no final answer"));
            }
        }
        // A call that stands at a server although its caller was told otherwise must be released.
        let legs = std::mem::take(&mut self.legs);
        for leg in &legs {
            let (Some(stood), false) = (leg.stood, leg.released) else { continue };
            let told = sessions.get(&leg.session).map(|s| s.finals.iter().any(|f| f.1 < 300));
            if told == Some(false) && end > stood + 5.0 {
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
