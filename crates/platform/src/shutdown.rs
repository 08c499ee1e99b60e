//! The shutdown of a front: which set-ups it still accepts after SIGTERM, the answers it sends before it is
//! killed, and when it is done.

use crate::client_connection::ClientConnection;
use crate::edge::{ConnectionId, Edge, TimerEvent};
use shalespindle_control::interface::UeId;

/// Time after SIGTERM in which new set-ups still arrive and are accepted, seconds; later ones are refused at
/// once.
const ACCEPT_PERIOD: f64 = 0.7;
/// Earliest end of a front with nothing pending, seconds after SIGTERM.
const MIN_SHUTDOWN: f64 = 0.85;
/// The platform kills a front `ACCEPT_PERIOD` plus its callers' longest patience after SIGTERM, with the
/// patience limited to this, seconds.
const MAX_PATIENCE: f64 = 3.0;
/// The front ends this long before it would be killed, seconds.
const SHUTDOWN_MARGIN: f64 = 0.1;
/// All pending attaches are answered this long before the end, so that the answers can still be read,
/// seconds.
const FINAL_ANSWER_LEAD: f64 = 0.1;

/// Time in which a caller confirms an answer or a release, and in which a request follows a new connection,
/// seconds.
const CONFIRM_PERIOD: f64 = 0.1;
/// Connections kept open for releases of calls whose own connection has closed.
const CONNECTIONS_FOR_RELEASES: usize = 2;
/// Time in which a caller connects again if its set-up crossed the close of its connection, seconds.
const RECONNECT_PERIOD: f64 = 0.15;

impl Edge {
    /// Starts an orderly shutdown.
    pub fn begin_shutdown(&mut self, now: f64) {
        if self.shutdown_since.is_none() {
            self.shutdown_since = Some(now);
            let remaining = self.shutdown_deadline(now) - now;
            self.log_info("shutting down", "front", format!("within {remaining:.3} s"));
            self.timers.set(self.shutdown_deadline(now) - FINAL_ANSWER_LEAD, TimerEvent::AnswerAllPending);
        }
    }

    /// Time at which a front whose shutdown began at `since` ends at the latest.
    fn shutdown_deadline(&self, since: f64) -> f64 {
        let max_patience = self.procedures.iter().fold(0.0, |l: f64, p| l.max(p.1)).min(MAX_PATIENCE);
        since + max_patience + ACCEPT_PERIOD - SHUTDOWN_MARGIN
    }

    /// Whether the shutdown has finished and nothing is left to do.
    pub fn is_done(&self, now: f64) -> bool {
        let Some(since) = self.shutdown_since else { return false };
        // Established calls are released through this front as long as it runs.
        let nothing_left = self.calls.pending_count() == 0
            && self.calls.established_count() == 0
            && self.releases.is_quiet(now);
        // A caller whose set-up crossed the close of its connection sends it again on a new one.
        let no_client_expected =
            self.clients.all.is_empty() && now - self.last_client_seen_at > RECONNECT_PERIOD;
        nothing_left && no_client_expected && now - since > MIN_SHUTDOWN || self.is_overdue(now)
    }

    /// Client connections that are not needed during shutdown: no pending attach, no established call and no
    /// unconfirmed answer or release. A later set-up on them would be refused, and one that crossed the end
    /// of the front would be lost.
    pub(crate) fn idle_at_shutdown(&self, now: f64) -> Vec<ConnectionId> {
        if !self.refuses_new_calls(now) {
            return Vec::new();
        }
        let is_unneeded = |client: &ClientConnection| {
            let is_waiting = !client.unconfirmed.is_empty() || client.partial_since.is_some();
            client.carries_no_call() && !is_waiting && now - client.last_at > CONFIRM_PERIOD
        };
        let idle = self.clients.all.iter().filter(|c| is_unneeded(c.1));
        let mut idle: Vec<(ConnectionId, &ClientConnection)> = idle.map(|c| (*c.0, c.1)).collect();
        if self.calls.any_established(|client| !self.clients.all.contains_key(&client))
            || !self.releases.is_quiet(now)
        {
            // Releases of calls whose own connection has closed need other connections, so the last ones used
            // by callers stay open.
            // So do those on which an owed release is still to be sent: its caller may have connected last.
            let is_quiet = self.releases.is_quiet(now);
            idle.retain(|(connection, client)| {
                is_quiet || !client.is_release_target() || !self.releases.has_unsent_on(*connection)
            });
            idle.sort_by(|(_, a), (_, b)| a.usage.cmp(&b.usage).then(a.last_at.total_cmp(&b.last_at)));
            idle.truncate(idle.len().saturating_sub(CONNECTIONS_FOR_RELEASES));
        }
        idle.into_iter().map(|c| c.0).collect()
    }

    /// Whether the front has reached its deadline and ends whatever is left to do.
    pub fn is_overdue(&self, now: f64) -> bool {
        self.shutdown_since.is_some_and(|since| now > self.shutdown_deadline(since))
    }

    /// Whether new set-ups are refused because the front shuts down.
    pub(crate) fn refuses_new_calls(&self, now: f64) -> bool {
        self.shutdown_since.is_some_and(|since| now - since > ACCEPT_PERIOD)
    }

    /// Answers all pending attaches before the end; without an answer they would be lost when their
    /// connections close.
    pub(crate) fn answer_all_pending(&mut self, now: f64) {
        for ue in self.calls.all_pending() {
            self.fail_attach(now, ue, "the front shuts down");
        }
    }

    /// Fails an attach on behalf of the front: 504 if a setup try was sent, because another try elsewhere
    /// might run the call twice, and 503 otherwise.
    pub(crate) fn fail_attach(&mut self, now: f64, ue: UeId, reason: &str) {
        let Some((_, _, pending)) = self.calls.pending(ue) else { return };
        let was_sent = pending.current_try.as_ref().is_some_and(|t| t.link.is_some());
        self.counters.given_up += 1;
        self.send_final_answer(now, ue, if was_sent { 504 } else { 503 }, None, reason);
        self.control.client_left(now, ue);
    }
}
