//! The operators' terms, checked over what was seen in a trial and nothing else.

use crate::record::{CallId, Entry, Event, FrontId, ServerId};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// The figures of the limits, seconds. `transit_allowance` is added to each of them for what sockets and a busy machine take.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    pub guard: f64,
    pub drain_grace: f64,
    /// After its time a request may still be answered for so long; it then only earns nothing.
    pub answer_slack: f64,
    /// A call's end is told within this of its server's release.
    pub end_after_release: f64,
    /// And within this of its end where its server could release nothing.
    pub end_after_silence: f64,
    /// A front that was told of a call by its caller has this long at least.
    pub end_after_hand_over: f64,
    /// A request that came later than this after SIGTERM must not be found unanswered by SIGKILL.
    pub accepted_after_signal: f64,
    pub ready_within: f64,
    /// No attempt begins later than this after its caller has gone.
    pub abandon_within: f64,
    pub transit_allowance: f64,
}

/// The end of a process and the ends of its connections are seen apart by this at most, seconds.
const KILL_DETECTION_DELAY: f64 = 0.05;

/// Which term was report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    Lost,
    SecondAnswer,
    UnsoundAnswer,
    EndNotTold,
    TwoAttempts,
    SentWithinGuard,
    SentAfterCallerLeft,
    SentToDrained,
    Crashed,
    NotReady,
    BadClientServed,
}

/// One breach: the term, when, and what happened.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub rule: Rule,
    pub at: f64,
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3}: {}", self.rule, self.at, self.what)
    }
}

/// What is known of one call.
#[derive(Default)]
struct Call {
    front: Option<FrontId>,
    requested_at: f64,
    until: f64,
    answered: Option<(f64, u16)>,
    left_at: Option<f64>,
    connection_ended_at: Option<f64>,
    crossed_close: bool,
    /// The attempt that is out.
    attempt_at: Option<ServerId>,
    next_attempt_at: f64,
    handed_over: Option<(f64, FrontId)>,
    /// When it was over, and whether its server could say so.
    ended: Option<(f64, bool)>,
    end_reported_at: Option<f64>,
}

/// What is known of one front's processes.
#[derive(Default)]
struct Front {
    launched: Option<f64>,
    is_ready: bool,
    terminated: Option<f64>,
    /// Ends of its processes: when, when SIGTERM came before, and whether it was SIGKILL.
    ends: Vec<ProcessEnd>,
}

struct ProcessEnd {
    at: f64,
    terminated: Option<f64>,
    killed: bool,
}

/// All breaches in what was seen until `end`.
pub fn breaches(entries: &[Entry], limits: &RuleLimits, end: f64) -> Vec<Breach> {
    let mut checker = Checker {
        limits,
        end,
        calls: HashMap::new(),
        fronts: BTreeMap::new(),
        drained: HashMap::new(),
        found: Vec::new(),
    };
    for (at, event) in entries {
        checker.observe(*at, event);
    }
    checker.finish();
    checker.found.sort_by(|a, b| a.at.total_cmp(&b.at));
    checker.found
}

struct Checker<'a> {
    limits: &'a RuleLimits,
    end: f64,
    calls: HashMap<CallId, Call>,
    fronts: BTreeMap<FrontId, Front>,
    /// Servers that take nothing new, and since when every front counts as told.
    drained: HashMap<ServerId, f64>,
    found: Vec<Breach>,
}

impl Checker<'_> {
    fn report(&mut self, rule: Rule, at: f64, what: String) {
        self.found.push(Breach { rule, at, what });
    }

    fn observe(&mut self, at: f64, event: &Event) {
        match *event {
            Event::Requested { call, front, until } => {
                let known = self.calls.entry(call).or_default();
                (known.front, known.requested_at, known.until) = (Some(front), at, until);
            }
            Event::Answered { call, status, sound } => self.observe_answer(at, call, status, sound),
            Event::ConnectionEnded { call } => {
                self.calls.entry(call).or_default().connection_ended_at.get_or_insert(at);
            }
            Event::CrossedClose { call } => self.calls.entry(call).or_default().crossed_close = true,
            Event::CallerLeft { call } => {
                self.calls.entry(call).or_default().left_at.get_or_insert(at);
            }
            Event::HandedOver { call, front } => {
                self.calls.entry(call).or_default().handed_over = Some((at, front));
            }
            Event::ReleasedToCaller { call } | Event::EndedByCaller { call } => {
                self.calls.entry(call).or_default().end_reported_at.get_or_insert(at);
            }
            Event::SetUp { call, server } => self.observe_setup(at, call, server),
            Event::AttemptEnded { call, server, unsure } => {
                let guard = if unsure { self.limits.guard } else { 0.0 };
                let known = self.calls.entry(call).or_default();
                if known.attempt_at == Some(server) {
                    known.attempt_at = None;
                    known.next_attempt_at = at + guard;
                }
            }
            Event::CallOver { call, released } => {
                self.calls.entry(call).or_default().ended.get_or_insert((at, released));
            }
            Event::ToldToLeave { server } => {
                self.drained.entry(server).or_insert(at);
            }
            Event::BadClient { was_turned_away } => {
                if !was_turned_away {
                    self.report(
                        Rule::BadClientServed,
                        at,
                        "a bad client got no refusal, error or close".into(),
                    );
                }
            }
            Event::Launched { .. }
            | Event::Ready { .. }
            | Event::Terminated { .. }
            | Event::Killed { .. }
            | Event::Exited { .. } => {
                self.observe_process(at, event);
            }
        }
    }

    fn observe_answer(&mut self, at: f64, call: CallId, status: u16, sound: bool) {
        let known = self.calls.entry(call).or_default();
        let before = known.answered;
        known.answered.get_or_insert((at, status));
        let crossed_cancel = known.left_at.is_some();
        if let Some((first, _)) = before.filter(|_| !crossed_cancel) {
            self.report(Rule::SecondAnswer, at, format!("{call:016x} got {status}, answered at {first:.3}"));
        }
        if !sound {
            self.report(
                Rule::UnsoundAnswer,
                at,
                format!("{call:016x} is served with what no server made for it"),
            );
        }
    }

    fn observe_setup(&mut self, at: f64, call: CallId, server: ServerId) {
        let RuleLimits { transit_allowance, abandon_within, drain_grace, .. } = *self.limits;
        let known = self.calls.entry(call).or_default();
        let (left_at, next_attempt_at) = (known.left_at, known.next_attempt_at);
        let out = known.attempt_at.replace(server);
        if let Some(out) = out {
            self.report(Rule::TwoAttempts, at, format!("{call:016x} at server {server} while out at {out}"));
        }
        if at < next_attempt_at - transit_allowance {
            self.report(
                Rule::SentWithinGuard,
                at,
                format!("{call:016x} at server {server}, free at {next_attempt_at:.3}"),
            );
        }
        if let Some(left) = left_at.filter(|left| at > left + abandon_within + transit_allowance) {
            self.report(Rule::SentAfterCallerLeft, at, format!("{call:016x}, {:.3} s after", at - left));
        }
        if let Some(told) =
            self.drained.get(&server).copied().filter(|told| at > told + drain_grace + transit_allowance)
        {
            self.report(
                Rule::SentToDrained,
                at,
                format!("{call:016x} at server {server}, told at {told:.3}"),
            );
        }
    }

    fn observe_process(&mut self, at: f64, event: &Event) {
        let front = match *event {
            Event::Launched { front } | Event::Ready { front } | Event::Terminated { front } => front,
            Event::Killed { front } | Event::Exited { front } => front,
            _ => return,
        };
        let known = self.fronts.entry(front).or_default();
        match event {
            Event::Launched { .. } => {
                (known.launched, known.is_ready, known.terminated) = (Some(at), false, None)
            }
            Event::Ready { .. } => {
                known.is_ready = true;
                let took = known.launched.map_or(0.0, |launched| at - launched);
                if took > self.limits.ready_within {
                    self.report(Rule::NotReady, at, format!("front {front} took {took:.3} s"));
                }
            }
            Event::Terminated { .. } => {
                known.terminated.get_or_insert(at);
            }
            Event::Killed { .. } => {
                let terminated = known.terminated;
                known.ends.push(ProcessEnd { at, terminated, killed: true });
            }
            _ => {
                let terminated = known.terminated;
                known.ends.push(ProcessEnd { at, terminated, killed: false });
                if terminated.is_none() {
                    self.report(Rule::Crashed, at, format!("front {front} ended by itself"));
                }
            }
        }
    }

    /// The first end of that front's process after that time.
    fn end_after(&self, front: FrontId, at: f64) -> Option<&ProcessEnd> {
        self.fronts.get(&front)?.ends.iter().find(|end| end.at >= at)
    }

    fn finish(&mut self) {
        let mut found = Vec::new();
        for (call, known) in &self.calls {
            found.extend(self.check_lost(*call, known));
            found.extend(self.check_end_reported(*call, known));
        }
        self.found.extend(found);
        let unready: Vec<FrontId> = self
            .fronts
            .iter()
            .filter(|(_, f)| {
                !f.is_ready && f.launched.is_some_and(|at| at + self.limits.ready_within < self.end)
            })
            .map(|(front, _)| *front)
            .collect();
        for front in unready {
            self.report(Rule::NotReady, self.end, format!("front {front} never was"));
        }
    }

    fn check_lost(&self, call: CallId, known: &Call) -> Option<Breach> {
        let front = known.front?;
        let due = known.until + self.limits.answer_slack + self.limits.transit_allowance;
        let in_time = known.answered.is_some_and(|(at, _)| at <= due);
        let ended = self.end_after(front, known.requested_at).filter(|end| end.at <= due);
        // SIGKILL is no close by the front.
        let killed_under_it = ended.is_some_and(|end| {
            end.killed && known.connection_ended_at.is_some_and(|at| at >= end.at - KILL_DETECTION_DELAY)
        });
        if in_time || known.crossed_close && !killed_under_it || known.left_at.is_some() {
            return None;
        }
        let excused = ended.is_some_and(|end| match end.terminated {
            // Killed outright: what was in hand is gone.
            None => end.killed,
            Some(signal) => end.killed && known.requested_at <= signal + self.limits.accepted_after_signal,
        });
        if excused || due > self.end {
            return None;
        }
        let how = match (known.answered, known.connection_ended_at) {
            (Some((at, status)), _) => format!("answered {status}, {:.3} s too late", at - known.until),
            (None, Some(at)) => {
                format!("its connection ended {:.3} s after it came", at - known.requested_at)
            }
            (None, None) => "no answer".to_string(),
        };
        let what = format!("{call:016x} at front {front}, came at {:.3}: {how}", known.requested_at);
        Some(Breach { rule: Rule::Lost, at: known.requested_at, what })
    }

    fn check_end_reported(&self, call: CallId, known: &Call) -> Option<Breach> {
        let (ended_at, released) = known.ended?;
        let (served_at, _) = known.answered.filter(|(_, status)| *status == 200)?;
        let limit = if released { self.limits.end_after_release } else { self.limits.end_after_silence };
        let mut due = ended_at.max(served_at) + limit;
        let mut front = known.front?;
        if let Some((at, to)) = known.handed_over {
            front = to;
            due = due.max(at + self.limits.end_after_hand_over);
        }
        due += self.limits.transit_allowance;
        let since = known.handed_over.map_or(served_at, |(at, _)| at);
        let front_ended = self.end_after(front, since).is_some_and(|end| end.at <= due);
        if known.end_reported_at.is_some_and(|at| at <= due) || front_ended || due > self.end {
            return None;
        }
        let told =
            known.end_reported_at.map_or("never".to_string(), |at| format!("{:.3} s after", at - ended_at));
        let by = if released { "released" } else { "ended without a word" };
        let what = format!("{call:016x} at front {front}, {by} at {ended_at:.3}, told {told}");
        Some(Breach { rule: Rule::EndNotTold, at: ended_at, what })
    }
}
