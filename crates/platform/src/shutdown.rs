//! The last seconds of a front: what it still takes after SIGTERM, the answers it owes before it is killed, and
//! when it is done.

use crate::client_connection::ClientConnection;
use crate::edge::{ConnectionId, Edge, TimerEvent};
use shalespindle_control::interface::UeId;

/// After SIGTERM set-ups still come for so long; later ones are refused at once.
const ACCEPT_PERIOD: f64 = 0.7;
/// And after so long a front with nothing in hand ends.
const MIN_SHUTDOWN: f64 = 0.85;
/// A front is left for the longest time that a caller waits, at most so long, and `STILL_TAKES` beside.
const MAX_PATIENCE: f64 = 3.0;
/// It ends by itself so long before.
const SHUTDOWN_MARGIN: f64 = 0.1;
/// And so long before that end it answers what is still in hand: time for the answers to be read.
const FINAL_ANSWER_LEAD: f64 = 0.1;

/// A caller confirms an answer or a release within this, and a request follows its connection.
const CONFIRM_PERIOD: f64 = 0.1;
/// Connections that stay open for releases of calls whose own has gone.
const CONNECTIONS_FOR_RELEASES: usize = 2;
/// And connects anew within this where its set-up crossed the close of its connection.
const RECONNECT_PERIOD: f64 = 0.15;

impl Edge {
    /// An orderly end is asked for.
    pub fn begin_shutdown(&mut self, now: f64) {
        if self.shutdown_since.is_none() {
            self.shutdown_since = Some(now);
            let remaining = self.shutdown_deadline(now) - now;
            self.log_info("ending", "front", format!("asked to; in {remaining:.3} s at the latest"));
            self.timers.set(self.shutdown_deadline(now) - FINAL_ANSWER_LEAD, TimerEvent::AnswerAllPending);
        }
    }

    /// When a front that was asked to end at that time is gone at the latest.
    fn shutdown_deadline(&self, since: f64) -> f64 {
        let max_patience = self.procedures.iter().fold(0.0, |l: f64, p| l.max(p.1)).min(MAX_PATIENCE);
        since + max_patience + ACCEPT_PERIOD - SHUTDOWN_MARGIN
    }

    /// Nothing is left to do after an end was asked for.
    pub fn is_done(&self, now: f64) -> bool {
        let Some(since) = self.shutdown_since else { return false };
        // Calls that stand are released through this front for as long as it is there.
        let nothing_left = self.calls.pending_count() == 0
            && self.calls.established_count() == 0
            && self.releases.is_quiet(now);
        // A caller whose set-up crossed the close of its connection sends it once more, on a new one.
        let no_client_expected =
            self.clients.all.is_empty() && now - self.last_client_seen_at > RECONNECT_PERIOD;
        nothing_left && no_client_expected && now - since > MIN_SHUTDOWN || self.is_overdue(now)
    }

    /// Connections of callers that an ending front keeps for nothing: no attach is in hand there, no call stands whose
    /// set-up came on them, no answer and no release waits for its confirmation. A set-up that came later would be
    /// refused on them, and one that crossed the front's end be lost.
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
        if self.calls.any_standing(|client| !self.clients.all.contains_key(&client))
            || !self.releases.is_quiet(now)
        {
            // Calls whose own connection has gone are released on others: the callers' last used ones stay for that.
            idle.sort_by(|(_, a), (_, b)| a.usage.cmp(&b.usage).then(a.last_at.total_cmp(&b.last_at)));
            idle.truncate(idle.len().saturating_sub(CONNECTIONS_FOR_RELEASES));
        }
        idle.into_iter().map(|c| c.0).collect()
    }

    /// It ends now, whatever is left to do.
    pub fn is_overdue(&self, now: f64) -> bool {
        self.shutdown_since.is_some_and(|since| now > self.shutdown_deadline(since))
    }

    /// A set-up that comes now is refused at once: the front ends.
    pub(crate) fn refuses_new_calls(&self, now: f64) -> bool {
        self.shutdown_since.is_some_and(|since| now - since > ACCEPT_PERIOD)
    }

    /// Guards attaches that are in hand when the front ends by itself: what was taken is answered. A front that left
    /// them to the close of their connections lost them.
    pub(crate) fn answer_all_pending(&mut self, now: f64) {
        for ue in self.calls.all_pending() {
            self.fail_attach(now, ue, "the front ends");
        }
    }

    /// The front itself gives an attach up. Where a setup try is out, another might not be harmless: it has failed.
    pub(crate) fn fail_attach(&mut self, now: f64, ue: UeId, reason: &'static str) {
        let Some((_, _, pending)) = self.calls.pending(ue) else { return };
        let was_sent = pending.out.as_ref().is_some_and(|t| t.link.is_some());
        self.counters.given_up += 1;
        self.send_final_answer(now, ue, if was_sent { 504 } else { 503 }, None, reason);
        self.control.client_left(now, ue);
    }
}
