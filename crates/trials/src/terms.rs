//! The operators' terms, checked over what was seen in a trial and nothing else.

use crate::record::{CallId, Entry, Event, FrontId, ServerId};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// The figures of the terms, seconds. `passing` is added to each of them for what sockets and a busy machine take.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub guard: f64,
    pub drain_grace: f64,
    /// After its time a request may still be answered for so long; it then only earns nothing.
    pub answer_slack: f64,
    /// A call's end is told within this of its server's release.
    pub told_after_release: f64,
    /// And within this of its end where its server could release nothing.
    pub told_after_silence: f64,
    /// A front that was told of a call by its caller has this long at least.
    pub told_after_hand_over: f64,
    /// A request that came later than this after SIGTERM must not be found unanswered by SIGKILL.
    pub taken_after_signal: f64,
    pub ready_within: f64,
    /// No attempt begins later than this after its caller has gone.
    pub gone_within: f64,
    pub passing: f64,
}

/// The end of a process and the ends of its connections are seen apart by this at most, seconds.
const KILL_SEEN_LATE: f64 = 0.05;

/// Which term was broken.
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
    crossed: bool,
    /// The attempt that is out.
    out_at: Option<ServerId>,
    free_at: f64,
    handed_over: Option<(f64, FrontId)>,
    /// When it was over, and whether its server could say so.
    over: Option<(f64, bool)>,
    told_at: Option<f64>,
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
pub fn breaches(entries: &[Entry], terms: &Terms, end: f64) -> Vec<Breach> {
    let mut checker = Checker {
        terms,
        end,
        calls: HashMap::new(),
        fronts: BTreeMap::new(),
        left: HashMap::new(),
        found: Vec::new(),
    };
    for (at, event) in entries {
        checker.see(*at, event);
    }
    checker.finish();
    checker.found.sort_by(|a, b| a.at.total_cmp(&b.at));
    checker.found
}

struct Checker<'a> {
    terms: &'a Terms,
    end: f64,
    calls: HashMap<CallId, Call>,
    fronts: BTreeMap<FrontId, Front>,
    /// Servers that take nothing new, and since when every front counts as told.
    left: HashMap<ServerId, f64>,
    found: Vec<Breach>,
}

impl Checker<'_> {
    fn broken(&mut self, rule: Rule, at: f64, what: String) {
        self.found.push(Breach { rule, at, what });
    }

    fn see(&mut self, at: f64, event: &Event) {
        match *event {
            Event::Requested { call, front, until } => {
                let known = self.calls.entry(call).or_default();
                (known.front, known.requested_at, known.until) = (Some(front), at, until);
            }
            Event::Answered { call, status, sound } => self.answered(at, call, status, sound),
            Event::ConnectionEnded { call } => {
                self.calls.entry(call).or_default().connection_ended_at.get_or_insert(at);
            }
            Event::CrossedClose { call } => self.calls.entry(call).or_default().crossed = true,
            Event::CallerLeft { call } => {
                self.calls.entry(call).or_default().left_at.get_or_insert(at);
            }
            Event::HandedOver { call, front } => {
                self.calls.entry(call).or_default().handed_over = Some((at, front));
            }
            Event::ReleasedToCaller { call } | Event::EndedByCaller { call } => {
                self.calls.entry(call).or_default().told_at.get_or_insert(at);
            }
            Event::SetUp { call, server } => self.set_up(at, call, server),
            Event::AttemptEnded { call, server, unsure } => {
                let guard = if unsure { self.terms.guard } else { 0.0 };
                let known = self.calls.entry(call).or_default();
                if known.out_at == Some(server) {
                    known.out_at = None;
                    known.free_at = at + guard;
                }
            }
            Event::CallOver { call, released } => {
                self.calls.entry(call).or_default().over.get_or_insert((at, released));
            }
            Event::ToldToLeave { server } => {
                self.left.entry(server).or_insert(at);
            }
            Event::BadClient { was_turned_away } => {
                if !was_turned_away {
                    self.broken(
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
                self.process(at, event);
            }
        }
    }

    fn answered(&mut self, at: f64, call: CallId, status: u16, sound: bool) {
        let known = self.calls.entry(call).or_default();
        let before = known.answered;
        known.answered.get_or_insert((at, status));
        let crossed_its_cancel = known.left_at.is_some();
        if let Some((first, _)) = before.filter(|_| !crossed_its_cancel) {
            self.broken(Rule::SecondAnswer, at, format!("{call:016x} got {status}, answered at {first:.3}"));
        }
        if !sound {
            self.broken(
                Rule::UnsoundAnswer,
                at,
                format!("{call:016x} is served with what no server made for it"),
            );
        }
    }

    fn set_up(&mut self, at: f64, call: CallId, server: ServerId) {
        let Terms { passing, gone_within, drain_grace, .. } = *self.terms;
        let known = self.calls.entry(call).or_default();
        let (left_at, free_at) = (known.left_at, known.free_at);
        let out = known.out_at.replace(server);
        if let Some(out) = out {
            self.broken(Rule::TwoAttempts, at, format!("{call:016x} at server {server} while out at {out}"));
        }
        if at < free_at - passing {
            self.broken(
                Rule::SentWithinGuard,
                at,
                format!("{call:016x} at server {server}, free at {free_at:.3}"),
            );
        }
        if let Some(left) = left_at.filter(|left| at > left + gone_within + passing) {
            self.broken(Rule::SentAfterCallerLeft, at, format!("{call:016x}, {:.3} s after", at - left));
        }
        if let Some(told) = self.left.get(&server).copied().filter(|told| at > told + drain_grace + passing) {
            self.broken(
                Rule::SentToDrained,
                at,
                format!("{call:016x} at server {server}, told at {told:.3}"),
            );
        }
    }

    fn process(&mut self, at: f64, event: &Event) {
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
                if took > self.terms.ready_within {
                    self.broken(Rule::NotReady, at, format!("front {front} took {took:.3} s"));
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
                    self.broken(Rule::Crashed, at, format!("front {front} ended by itself"));
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
            found.extend(self.lost(*call, known));
            found.extend(self.end_not_told(*call, known));
        }
        self.found.extend(found);
        let unready: Vec<FrontId> = self
            .fronts
            .iter()
            .filter(|(_, f)| {
                !f.is_ready && f.launched.is_some_and(|at| at + self.terms.ready_within < self.end)
            })
            .map(|(front, _)| *front)
            .collect();
        for front in unready {
            self.broken(Rule::NotReady, self.end, format!("front {front} never was"));
        }
    }

    fn lost(&self, call: CallId, known: &Call) -> Option<Breach> {
        let front = known.front?;
        let due = known.until + self.terms.answer_slack + self.terms.passing;
        let in_time = known.answered.is_some_and(|(at, _)| at <= due);
        let ended = self.end_after(front, known.requested_at).filter(|end| end.at <= due);
        // SIGKILL is no close by the front.
        let killed_under_it = ended.is_some_and(|end| {
            end.killed && known.connection_ended_at.is_some_and(|at| at >= end.at - KILL_SEEN_LATE)
        });
        if in_time || known.crossed && !killed_under_it || known.left_at.is_some() {
            return None;
        }
        let excused = ended.is_some_and(|end| match end.terminated {
            // Killed outright: what was in hand is gone.
            None => end.killed,
            Some(signal) => end.killed && known.requested_at <= signal + self.terms.taken_after_signal,
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

    fn end_not_told(&self, call: CallId, known: &Call) -> Option<Breach> {
        let (over_at, released) = known.over?;
        let (served_at, _) = known.answered.filter(|(_, status)| *status == 200)?;
        let limit = if released { self.terms.told_after_release } else { self.terms.told_after_silence };
        let mut due = over_at.max(served_at) + limit;
        let mut front = known.front?;
        if let Some((at, to)) = known.handed_over {
            front = to;
            due = due.max(at + self.terms.told_after_hand_over);
        }
        due += self.terms.passing;
        let since = known.handed_over.map_or(served_at, |(at, _)| at);
        let front_ended = self.end_after(front, since).is_some_and(|end| end.at <= due);
        if known.told_at.is_some_and(|at| at <= due) || front_ended || due > self.end {
            return None;
        }
        let told = known.told_at.map_or("never".to_string(), |at| format!("{:.3} s after", at - over_at));
        let by = if released { "released" } else { "ended without a word" };
        let what = format!("{call:016x} at front {front}, {by} at {over_at:.3}, told {told}");
        Some(Breach { rule: Rule::EndNotTold, at: over_at, what })
    }
}
