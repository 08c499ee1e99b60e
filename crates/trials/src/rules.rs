//! The operators' acceptance rules, checked over the recorded events of a trial and nothing else.

use crate::record::{CallId, Entry, Event, FrontId, ServerId};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// Limits of the acceptance rules, seconds.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// After an attempt that may still be running, no other attempt of the call starts within this.
    pub guard: f64,
    /// A drained server may receive set-ups for this long after the fronts were notified.
    pub drain_grace: f64,
    /// An answer may come this long after the caller's patience has ended; it then only earns nothing.
    pub answer_slack: f64,
    /// The caller is notified of a call's end within this after its server's release.
    pub end_after_release: f64,
    /// The caller is notified within this after the end of a call whose server could not send a release.
    pub end_after_silence: f64,
    /// A front that received a call by hand-over has at least this long to report its end.
    pub end_after_hand_over: f64,
    /// A request that was sent later than this after SIGTERM counts as lost if SIGKILL leaves it unanswered.
    pub accepted_after_signal: f64,
    /// A launched process answers OPTIONS within this.
    pub ready_within: f64,
    /// No attempt starts later than this after its caller has left.
    pub abandon_within: f64,
    /// Added to the other limits for the time that sockets and a busy machine take.
    pub transit_allowance: f64,
}

impl RuleLimits {
    /// The platform's limits; the guard is a setting of the deployment.
    pub const fn of_platform(guard: f64, transit_allowance: f64) -> RuleLimits {
        RuleLimits {
            guard,
            drain_grace: 0.25,
            answer_slack: 0.5,
            end_after_release: 1.05,
            end_after_silence: 8.05,
            end_after_hand_over: 4.0,
            accepted_after_signal: 0.7,
            ready_within: 10.0,
            abandon_within: 0.1,
            transit_allowance,
        }
    }
}

/// Maximum time between the observed end of a process and the observed ends of its connections, seconds.
const KILL_DETECTION_DELAY: f64 = 0.05;

/// The acceptance rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request got no answer in time.
    Lost,
    /// A request got two final answers.
    SecondAnswer,
    /// A 200 carried a description that no server made for the call.
    UnsoundAnswer,
    /// The caller was not notified of the call's end in time.
    EndNotTold,
    /// A second attempt started while the first one was running.
    TwoAttempts,
    /// An attempt started within the guard time of one that may still be running.
    SentWithinGuard,
    /// An attempt started after its caller had left.
    SentAfterCallerLeft,
    /// A drained server received a set-up after the grace period.
    SentToDrained,
    /// A process exited without SIGTERM or SIGKILL.
    Crashed,
    /// A process was not ready in time.
    NotReady,
    /// A client with a malformed or invalid message was not turned away.
    BadClientServed,
}

/// One breach of a rule.
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

/// State of one call.
#[derive(Default)]
struct CallState {
    front: Option<FrontId>,
    requested_at: f64,
    until: f64,
    answered: Option<FinalAnswer>,
    left_at: Option<f64>,
    connection_ended_at: Option<f64>,
    crossed_close: bool,
    /// The server of the running attempt.
    attempt_at: Option<ServerId>,
    next_attempt_at: f64,
    handed_over: Option<(f64, FrontId)>,
    /// Its ends by server. A server whose answer was lost may hold, and end, a call that stands at another.
    ends: BTreeMap<ServerId, CallEnd>,
    end_reported_at: Option<f64>,
}

/// The first final answer of a call.
#[derive(Clone, Copy)]
struct FinalAnswer {
    at: f64,
    status: u16,
    /// The server whose description it carries, where the call stands.
    server: Option<ServerId>,
}

/// End of a call at one server.
#[derive(Clone, Copy)]
struct CallEnd {
    at: f64,
    /// The server could send the release.
    released: bool,
}

/// State of one front's processes.
#[derive(Default)]
struct FrontState {
    launched: Option<f64>,
    is_ready: bool,
    terminated: Option<f64>,
    /// Ends of its processes in order of time.
    ends: Vec<ProcessEnd>,
}

/// End of a process.
struct ProcessEnd {
    at: f64,
    /// Time of the SIGTERM that came before.
    terminated: Option<f64>,
    /// It was ended by SIGKILL.
    killed: bool,
}

/// Returns all breaches in the events up to `end`, in order of time.
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
    calls: HashMap<CallId, CallState>,
    fronts: BTreeMap<FrontId, FrontState>,
    /// Servers that accept no new set-ups, and the time by which every front must have been notified.
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
                let state = self.calls.entry(call).or_default();
                (state.front, state.requested_at, state.until) = (Some(front), at, until);
            }
            Event::Answered { call, status, server } => self.observe_answer(at, call, status, server),
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
                let state = self.calls.entry(call).or_default();
                if state.attempt_at == Some(server) {
                    state.attempt_at = None;
                    state.next_attempt_at = at + guard;
                }
            }
            Event::CallOver { call, server, released } => {
                let ends = &mut self.calls.entry(call).or_default().ends;
                ends.entry(server).or_insert(CallEnd { at, released });
            }
            Event::ToldToLeave { server } => {
                self.drained.entry(server).or_insert(at);
            }
            Event::BadClient { was_turned_away } => {
                if !was_turned_away {
                    self.report(
                        Rule::BadClientServed,
                        at,
                        "an invalid client message got no refusal, error or close".into(),
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

    fn observe_answer(&mut self, at: f64, call: CallId, status: u16, server: Option<ServerId>) {
        let state = self.calls.entry(call).or_default();
        let before = state.answered;
        state.answered.get_or_insert(FinalAnswer { at, status, server });
        let crossed_cancel = state.left_at.is_some();
        if let Some(first) = before.filter(|_| !crossed_cancel) {
            let what = format!("{call:016x} got {status}, answered at {:.3}", first.at);
            self.report(Rule::SecondAnswer, at, what);
        }
        if status == 200 && server.is_none() {
            self.report(
                Rule::UnsoundAnswer,
                at,
                format!("{call:016x} got a 200 whose description no server made for it"),
            );
        }
    }

    fn observe_setup(&mut self, at: f64, call: CallId, server: ServerId) {
        let RuleLimits { transit_allowance, abandon_within, drain_grace, .. } = *self.limits;
        let state = self.calls.entry(call).or_default();
        let (left_at, next_attempt_at) = (state.left_at, state.next_attempt_at);
        let previous = state.attempt_at.replace(server);
        if let Some(previous) = previous {
            self.report(
                Rule::TwoAttempts,
                at,
                format!("{call:016x} at server {server} while an attempt runs at {previous}"),
            );
        }
        if at < next_attempt_at - transit_allowance {
            self.report(
                Rule::SentWithinGuard,
                at,
                format!("{call:016x} at server {server}, allowed from {next_attempt_at:.3}"),
            );
        }
        if let Some(left) = left_at.filter(|left| at > left + abandon_within + transit_allowance) {
            self.report(
                Rule::SentAfterCallerLeft,
                at,
                format!("{call:016x}, {:.3} s after its caller left", at - left),
            );
        }
        if let Some(notified) = self
            .drained
            .get(&server)
            .copied()
            .filter(|notified| at > notified + drain_grace + transit_allowance)
        {
            self.report(
                Rule::SentToDrained,
                at,
                format!("{call:016x} at server {server}, drain notice due at {notified:.3}"),
            );
        }
    }

    fn observe_process(&mut self, at: f64, event: &Event) {
        let front = match *event {
            Event::Launched { front } | Event::Ready { front } | Event::Terminated { front } => front,
            Event::Killed { front } | Event::Exited { front } => front,
            _ => return,
        };
        let state = self.fronts.entry(front).or_default();
        match event {
            Event::Launched { .. } => {
                (state.launched, state.is_ready, state.terminated) = (Some(at), false, None)
            }
            Event::Ready { .. } => {
                state.is_ready = true;
                let took = state.launched.map_or(0.0, |launched| at - launched);
                if took > self.limits.ready_within {
                    self.report(Rule::NotReady, at, format!("front {front} became ready after {took:.3} s"));
                }
            }
            Event::Terminated { .. } => {
                state.terminated.get_or_insert(at);
            }
            Event::Killed { .. } => {
                let terminated = state.terminated;
                state.ends.push(ProcessEnd { at, terminated, killed: true });
            }
            _ => {
                let terminated = state.terminated;
                state.ends.push(ProcessEnd { at, terminated, killed: false });
                if terminated.is_none() {
                    self.report(Rule::Crashed, at, format!("front {front} exited without SIGTERM"));
                }
            }
        }
    }

    /// The first end of a process of that front at or after that time.
    fn end_after(&self, front: FrontId, at: f64) -> Option<&ProcessEnd> {
        self.fronts.get(&front)?.ends.iter().find(|end| end.at >= at)
    }

    fn finish(&mut self) {
        let mut found = Vec::new();
        for (call, state) in &self.calls {
            found.extend(self.check_lost(*call, state));
            found.extend(self.check_end_reported(*call, state));
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
            self.report(Rule::NotReady, self.end, format!("front {front} did not become ready"));
        }
    }

    fn check_lost(&self, call: CallId, state: &CallState) -> Option<Breach> {
        let front = state.front?;
        let due = state.until + self.limits.answer_slack + self.limits.transit_allowance;
        let in_time = state.answered.is_some_and(|answer| answer.at <= due);
        let ended = self.end_after(front, state.requested_at).filter(|end| end.at <= due);
        // A connection that ended with SIGKILL was not closed by the front, so it is no crossed close.
        let killed_under_it = ended.is_some_and(|end| {
            end.killed && state.connection_ended_at.is_some_and(|at| at >= end.at - KILL_DETECTION_DELAY)
        });
        if in_time || state.crossed_close && !killed_under_it || state.left_at.is_some() {
            return None;
        }
        let excused = ended.is_some_and(|end| match end.terminated {
            // SIGKILL without SIGTERM: pending requests are lost with the process.
            None => end.killed,
            Some(signal) => end.killed && state.requested_at <= signal + self.limits.accepted_after_signal,
        });
        if excused || due > self.end {
            return None;
        }
        let how = match (state.answered, state.connection_ended_at) {
            (Some(FinalAnswer { at, status, .. }), _) => {
                format!("answered {status}, {:.3} s too late", at - state.until)
            }
            (None, Some(at)) => {
                format!("its connection ended {:.3} s after the request", at - state.requested_at)
            }
            (None, None) => "no answer".to_string(),
        };
        let what = format!("{call:016x} at front {front}, requested at {:.3}: {how}", state.requested_at);
        Some(Breach { rule: Rule::Lost, at: state.requested_at, what })
    }

    fn check_end_reported(&self, call: CallId, state: &CallState) -> Option<Breach> {
        let answer = state.answered.filter(|answer| answer.status == 200)?;
        let served_at = answer.at;
        let CallEnd { at: ended_at, released } = *state.ends.get(&answer.server?)?;
        let limit = if released { self.limits.end_after_release } else { self.limits.end_after_silence };
        let mut due = ended_at.max(served_at) + limit;
        let mut front = state.front?;
        if let Some((at, to)) = state.handed_over {
            front = to;
            due = due.max(at + self.limits.end_after_hand_over);
        }
        due += self.limits.transit_allowance;
        let since = state.handed_over.map_or(served_at, |(at, _)| at);
        let front_ended = self.end_after(front, since).is_some_and(|end| end.at <= due);
        if state.end_reported_at.is_some_and(|at| at <= due) || front_ended || due > self.end {
            return None;
        }
        let notified =
            state.end_reported_at.map_or("never".to_string(), |at| format!("{:.3} s after", at - ended_at));
        let how = if released { "released" } else { "ended without a release" };
        let what =
            format!("{call:016x} at front {front}, {how} at {ended_at:.3}, caller notified {notified}");
        Some(Breach { rule: Rule::EndNotTold, at: ended_at, what })
    }
}
