//! Decides whether a server with established calls still runs. Without I/O; times are seconds on the host's
//! clock.
//!
//! The list of servers may be unavailable when a server fails, and a machine that has vanished neither closes
//! connections nor refuses them. So the end of its calls is decided by the messages received from it: a
//! silent server is probed, and one that does not answer for most of the time limit for telling callers is
//! treated as dead.

/// A server is probed after this fraction of the limit without a message. A test is work for its server:
/// probing at half of this fraction sent a third more tests on a calm day.
const PROBE_AFTER: f64 = 1.0 / 4.0;
/// Fraction of the limit between two probes.
const PROBE_AGAIN_AFTER: f64 = 1.0 / 8.0;
/// Used instead of both where a probe takes a new connection.
const PROBE_BY_DIAL_AFTER: f64 = 3.0 / 8.0;
/// A server is dead after this fraction of the limit without a message; the rest of the limit is for telling
/// its callers.
const DEAD_AFTER: f64 = 7.0 / 8.0;
/// The same for a server from which this front has never received a message: its call may be older than the
/// front.
const NEVER_RECEIVED_DEAD_AFTER: f64 = 3.0 / 8.0;
/// Fraction of the limit that a server has at least to answer a probe: the front itself may have been
/// stalled.
const TIME_TO_ANSWER: f64 = 1.0 / 8.0;
/// A single connection is probed after this fraction of the limit without a message, even if its server sends
/// messages on others.
const PROBE_CONNECTION_AFTER: f64 = 5.0 / 8.0;
/// If every connection is refused for this fraction of the limit, no process runs at the address.
const REFUSED_FOR: f64 = 1.0 / 4.0;

/// How a silent server is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeMethod {
    /// By a test message on its connections.
    Test,
    /// By a new connection, where tests are not allowed.
    Dial,
}

/// Status of a server or of one connection to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LivenessStatus {
    /// It runs, or nothing depends on it.
    Alive,
    /// It has been silent and is to be probed now.
    ProbeDue,
    /// It no longer answers: its established calls have ended.
    Dead,
}

/// Liveness of one server.
#[derive(Clone, Debug)]
pub struct Liveness {
    /// Time within which callers must be told of a call's end, seconds.
    limit: f64,
    probe_method: ProbeMethod,
    /// When the last message from the server arrived.
    received_at: Option<f64>,
    /// Since when calls have been established there without interruption.
    watched_since: Option<f64>,
    /// When the first probe after the last message was sent.
    unanswered_since: Option<f64>,
    /// When the last probe was sent.
    probed_at: f64,
    /// Since when the server has refused connections and sent no message.
    refused_since: Option<f64>,
}

impl Liveness {
    pub fn new(limit: f64, probe_method: ProbeMethod) -> Liveness {
        Liveness {
            limit,
            probe_method,
            received_at: None,
            watched_since: None,
            unanswered_since: None,
            probed_at: f64::NEG_INFINITY,
            refused_since: None,
        }
    }

    /// Records a message from the server's process.
    pub fn message_received(&mut self, now: f64) {
        self.received_at = Some(now);
        self.unanswered_since = None;
        self.refused_since = None;
    }

    /// Records that a probe was sent.
    pub fn probe_sent(&mut self, now: f64) {
        self.probed_at = now;
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that the server's address refused a connection. Returns whether this has lasted so long that
    /// no process runs there.
    pub fn connection_refused(&mut self, now: f64) -> bool {
        now - *self.refused_since.get_or_insert(now) >= REFUSED_FOR * self.limit
    }

    /// Whether a connection that opens now leads to another process than the one that sent messages before,
    /// or that calls were established with: the address has refused connections since, and no message arrived
    /// on an older one.
    pub fn is_another_process(&self) -> bool {
        let watched_before = |refused| self.watched_since.is_some_and(|watched| watched < refused);
        self.refused_since.is_some_and(|refused| self.received_at.is_some() || watched_before(refused))
    }

    /// Status of one connection on which the last message arrived at `received_at` and a probe has been
    /// unanswered since `unanswered_since`. The end of a call comes on one connection, so silence on that one
    /// matters even while messages arrive on others.
    pub fn evaluate_connection(
        &self,
        now: f64,
        received_at: f64,
        unanswered_since: Option<f64>,
    ) -> LivenessStatus {
        match unanswered_since {
            None if now - received_at >= PROBE_CONNECTION_AFTER * self.limit => LivenessStatus::ProbeDue,
            Some(since)
                if now - since >= TIME_TO_ANSWER * self.limit
                    && self.received_at.is_some_and(|at| at > since) =>
            {
                LivenessStatus::Dead
            }
            _ => LivenessStatus::Alive,
        }
    }

    /// Status of the server. `has_calls` says whether calls are established there: only then does it matter.
    pub fn evaluate(&mut self, now: f64, has_calls: bool) -> LivenessStatus {
        if !has_calls {
            self.watched_since = None;
            self.unanswered_since = None;
            return LivenessStatus::Alive;
        }
        let watched_since = *self.watched_since.get_or_insert(now);
        let silent_for = now - self.received_at.unwrap_or(watched_since);
        let unanswered_for = self.unanswered_since.map_or(0.0, |since| now - since);
        let dead_after = if self.received_at.is_some() { DEAD_AFTER } else { NEVER_RECEIVED_DEAD_AFTER };
        if silent_for >= dead_after * self.limit && unanswered_for >= TIME_TO_ANSWER * self.limit {
            return LivenessStatus::Dead;
        }
        let (probe_after, probe_again_after) = match self.probe_method {
            ProbeMethod::Test => (PROBE_AFTER, PROBE_AGAIN_AFTER),
            ProbeMethod::Dial => (PROBE_BY_DIAL_AFTER, PROBE_BY_DIAL_AFTER),
        };
        // A server that has never sent a message has no connection on which one could arrive without a probe.
        let is_silent = silent_for >= probe_after * self.limit || self.received_at.is_none();
        if is_silent && now - self.probed_at >= probe_again_after * self.limit {
            return LivenessStatus::ProbeDue;
        }
        LivenessStatus::Alive
    }
}
