//! The last seconds of a front: what it still takes after SIGTERM, the answers it owes before it is killed, and
//! when it is done.

use crate::client_connection::ClientConnection;
use crate::edge::{ConnectionId, Due, Edge};
use shalespindle_control::interface::UeId;

/// After SIGTERM set-ups still come for so long; later ones are refused at once.
const STILL_TAKES: f64 = 0.7;
/// And after so long a front with nothing in hand ends.
const STILL_LISTENS: f64 = 0.85;
/// A front is left for the longest time that a caller waits, at most so long, and `STILL_TAKES` beside.
const LONGEST_END: f64 = 3.0;
/// It ends by itself so long before.
const END_MARGIN: f64 = 0.1;
/// And so long before that end it answers what is still in hand: time for the answers to be read.
const ANSWERS_READ: f64 = 0.1;

/// A caller confirms an answer or a release within this, and a request follows its connection.
const CONFIRMS: f64 = 0.1;
/// Connections that stay open for releases of calls whose own has gone.
const KEPT_FOR_RELEASES: usize = 2;
/// And connects anew within this where its set-up crossed the close of its connection.
const COMES_AGAIN: f64 = 0.15;

impl Edge {
    /// An orderly end is asked for.
    pub fn begin_shutdown(&mut self, now: f64) {
        if self.ending.is_none() {
            self.ending = Some(now);
            let left = self.ends_at_latest(now) - now;
            self.log_info("ending", "front", format!("asked to; in {left:.3} s at the latest"));
            self.timers.set(self.ends_at_latest(now) - ANSWERS_READ, Due::LastAnswers);
        }
    }

    /// When a front that was asked to end at that time is gone at the latest.
    fn ends_at_latest(&self, since: f64) -> f64 {
        let longest = self.procedures.iter().fold(0.0, |l: f64, p| l.max(p.1)).min(LONGEST_END);
        since + longest + STILL_TAKES - END_MARGIN
    }

    /// Nothing is left to do after an end was asked for.
    pub fn is_done(&self, now: f64) -> bool {
        let Some(since) = self.ending else { return false };
        // Calls that stand are released through this front for as long as it is there.
        let quiet = self.calls.in_hand() == 0 && self.calls.standing() == 0 && self.releases.is_quiet(now);
        // A caller whose set-up crossed the close of its connection sends it once more, on a new one.
        let nobody_comes = self.clients.all.is_empty() && now - self.clients_at > COMES_AGAIN;
        quiet && nobody_comes && now - since > STILL_LISTENS || self.is_overdue(now)
    }

    /// Connections of callers that an ending front keeps for nothing: no attach is in hand there, no call stands whose
    /// set-up came on them, no answer and no release waits for its confirmation. A set-up that came later would be
    /// refused on them, and one that crossed the front's end be lost.
    pub(crate) fn idle_at_end(&self, now: f64) -> Vec<ConnectionId> {
        if !self.takes_no_more(now) {
            return Vec::new();
        }
        let kept_for_nothing = |client: &ClientConnection| {
            let waits = !client.unconfirmed.is_empty() || client.partial_since.is_some();
            client.carries_nothing() && !waits && now - client.last_at > CONFIRMS
        };
        let idle = self.clients.all.iter().filter(|c| kept_for_nothing(c.1));
        let mut idle: Vec<(ConnectionId, &ClientConnection)> = idle.map(|c| (*c.0, c.1)).collect();
        if self.calls.any_standing(|client| !self.clients.all.contains_key(&client))
            || !self.releases.is_quiet(now)
        {
            // Calls whose own connection has gone are released on others: the callers' last used ones stay for that.
            idle.sort_by(|(_, a), (_, b)| a.use_of.cmp(&b.use_of).then(a.last_at.total_cmp(&b.last_at)));
            idle.truncate(idle.len().saturating_sub(KEPT_FOR_RELEASES));
        }
        idle.into_iter().map(|c| c.0).collect()
    }

    /// It ends now, whatever is left to do.
    pub fn is_overdue(&self, now: f64) -> bool {
        self.ending.is_some_and(|since| now > self.ends_at_latest(since))
    }

    /// A set-up that comes now is refused at once: the front ends.
    pub(crate) fn takes_no_more(&self, now: f64) -> bool {
        self.ending.is_some_and(|since| now - since > STILL_TAKES)
    }

    /// Guards attaches that are in hand when the front ends by itself: what was taken is answered. A front that left
    /// them to the close of their connections lost them.
    pub(crate) fn last_answers(&mut self, now: f64) {
        for ue in self.calls.all_pending() {
            self.give_up(now, ue, "the front ends");
        }
    }

    /// The front itself gives an attach up. Where a setup try is out, another might not be harmless: it has failed.
    pub(crate) fn give_up(&mut self, now: f64, ue: UeId, reason: &'static str) {
        let Some((_, _, pending)) = self.calls.pending(ue) else { return };
        let went_out = pending.out.as_ref().is_some_and(|t| t.link.is_some());
        self.counters.given_up += 1;
        self.final_answer(now, ue, if went_out { 504 } else { 503 }, None, reason);
        self.control.client_left(now, ue);
    }
}
