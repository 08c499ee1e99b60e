//! Whether a server is still there, for the calls that stand on it. Without I/O; times are seconds on the host's clock.
//!
//! The list of servers may be away when one falls silent, and a machine that vanished closes nothing and refuses
//! nothing. So the end of its calls is judged by what is heard of it: a silent server is asked, and one that answers
//! nothing for most of the time in which callers must be told is taken for gone.

/// A server that has been silent for this part of the limit is asked. A test is work for its server: probe_method at half of
/// this cost a third more tests on a calm day.
const ASK_AFTER: f64 = 1.0 / 4.0;
/// And asked again after this.
const ASK_AGAIN_AFTER: f64 = 1.0 / 8.0;
/// Both where probe_method takes a new connection.
const ASK_BY_DIAL_AFTER: f64 = 3.0 / 8.0;
/// Silent for this part of the limit, it is gone: what is left of the limit is for its callers to be told.
const GONE_AFTER: f64 = 7.0 / 8.0;
/// The same for a server that this front has never heard: its call may be older than the front.
const NEVER_HEARD_GONE_AFTER: f64 = 3.0 / 8.0;
/// It must have had this part of the limit to answer: the front itself may have stood still.
const TIME_TO_ANSWER: f64 = 1.0 / 8.0;
/// One connection that has been silent for this part of the limit is asked, also where its server speaks on others.
const ASK_CONNECTION_AFTER: f64 = 5.0 / 8.0;
/// It refuses every connection for this part of the limit: no process is there.
const REFUSED_FOR: f64 = 1.0 / 4.0;

/// How a silent server is asked for a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeMethod {
    /// By a test on its connections.
    Test,
    /// By a new connection, where tests are not allowed.
    Dial,
}

/// What to do about a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessStatus {
    Alive,
    /// It has been silent: ask it for a word.
    ProbeDue,
    /// It does not answer any more: what stood on it is over.
    Dead,
}

/// What is known of one server's presence.
#[derive(Clone, Debug)]
pub struct Liveness {
    /// Callers must be told of a call's end within this.
    limit: f64,
    probe_method: ProbeMethod,
    heard_at: Option<f64>,
    /// Since when calls stand on it without a break.
    watched_since: Option<f64>,
    /// When it was first asked since it was last heard.
    unanswered_since: Option<f64>,
    asked_at: f64,
    /// Since when it has refused connections and said nothing.
    refused_since: Option<f64>,
}

impl Liveness {
    pub fn new(limit: f64, probe_method: ProbeMethod) -> Liveness {
        Liveness {
            limit,
            probe_method,
            heard_at: None,
            watched_since: None,
            unanswered_since: None,
            asked_at: f64::NEG_INFINITY,
            refused_since: None,
        }
    }

    /// Something came from the server's process.
    pub fn message_received(&mut self, now: f64) {
        self.heard_at = Some(now);
        self.unanswered_since = None;
        self.refused_since = None;
    }

    /// It was asked for a word.
    pub fn probe_sent(&mut self, now: f64) {
        self.asked_at = now;
        self.unanswered_since.get_or_insert(now);
    }

    /// Its address refused a connection. True: it has done so for so long that no process is there.
    pub fn connection_refused(&mut self, now: f64) -> bool {
        now - *self.refused_since.get_or_insert(now) >= REFUSED_FOR * self.limit
    }

    /// Whether a connection that comes up now leads to another process than the one heard before, or than the one that
    /// calls stood on: its address refused connections since, and nothing was heard on any older one.
    pub fn is_another_process(&self) -> bool {
        let stood_before = |refused| self.watched_since.is_some_and(|watched| watched < refused);
        self.refused_since.is_some_and(|refused| self.heard_at.is_some() || stood_before(refused))
    }

    /// Whether one connection still leads to the server: it was heard then, and has been asked since then without an
    /// answer. The end of a call comes on one connection, so silence on that one matters while others speak.
    pub fn evaluate_connection(
        &self,
        now: f64,
        heard_at: f64,
        unanswered_since: Option<f64>,
    ) -> LivenessStatus {
        match unanswered_since {
            None if now - heard_at >= ASK_CONNECTION_AFTER * self.limit => LivenessStatus::ProbeDue,
            Some(since)
                if now - since >= TIME_TO_ANSWER * self.limit
                    && self.heard_at.is_some_and(|at| at > since) =>
            {
                LivenessStatus::Dead
            }
            _ => LivenessStatus::Alive,
        }
    }

    /// Whether the server is there. `has_calls` says whether calls stand on it: only then does it matter.
    pub fn evaluate(&mut self, now: f64, has_calls: bool) -> LivenessStatus {
        if !has_calls {
            self.watched_since = None;
            self.unanswered_since = None;
            return LivenessStatus::Alive;
        }
        let watched_since = *self.watched_since.get_or_insert(now);
        let silent_for = now - self.heard_at.unwrap_or(watched_since);
        let asked_for = self.unanswered_since.map_or(0.0, |since| now - since);
        let gone_after = if self.heard_at.is_some() { GONE_AFTER } else { NEVER_HEARD_GONE_AFTER };
        if silent_for >= gone_after * self.limit && asked_for >= TIME_TO_ANSWER * self.limit {
            return LivenessStatus::Dead;
        }
        let (ask_after, ask_again_after) = match self.probe_method {
            ProbeMethod::Test => (ASK_AFTER, ASK_AGAIN_AFTER),
            ProbeMethod::Dial => (ASK_BY_DIAL_AFTER, ASK_BY_DIAL_AFTER),
        };
        // One never heard has no connection that could say anything unasked.
        let is_silent = silent_for >= ask_after * self.limit || self.heard_at.is_none();
        if is_silent && now - self.asked_at >= ask_again_after * self.limit {
            return LivenessStatus::ProbeDue;
        }
        LivenessStatus::Alive
    }
}
