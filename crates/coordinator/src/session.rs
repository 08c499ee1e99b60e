//! One client's session at a coordinator: how far it has come, and what is under way to it.

use crate::statement::Incarnation;
use crate::store::Filter;

pub(crate) struct Session {
    pub incarnation: Incarnation,
    /// The number of its last heartbeat, and when that came.
    pub heartbeat_number: u64,
    pub last_heartbeat_at: f64,
    pub filter: Filter,
    pub subscription_number: u64,
    /// The revision that the client has said to have reached; none while it has none of this coordinator's.
    pub acknowledged: Option<u64>,
    /// The end of the last update sent, and when that was.
    pub sent_revision: u64,
    pub sent_at: f64,
    /// Changes up to here have been looked at: those since `told` were none of the client's.
    pub scanned: u64,
    /// Updates sent since the last acknowledgement.
    pub in_flight: usize,
    /// A snapshot is under way: it ends at this revision.
    pub snapshot_until: Option<u64>,
    /// The digest that the client without a cursor named.
    pub digest: Option<u64>,
    pub published: u64,
    pub wants_answer: bool,
}

impl Session {
    pub fn new(now: f64, incarnation: Incarnation, heartbeat_number: u64) -> Session {
        Session {
            incarnation,
            heartbeat_number,
            last_heartbeat_at: now,
            filter: Filter::Servers(Default::default()),
            subscription_number: 0,
            acknowledged: None,
            sent_revision: 0,
            sent_at: now,
            scanned: 0,
            in_flight: 0,
            snapshot_until: None,
            digest: None,
            published: 0,
            wants_answer: false,
        }
    }

    /// The client has reached a revision.
    pub fn acknowledge(&mut self, revision: u64) {
        if self.acknowledged.is_none_or(|before| revision > before) {
            self.acknowledged = Some(revision);
            // What went out after that is still under way, or lost.
            self.in_flight = self.in_flight.saturating_sub(1).max(1);
        }
        if self.sent_revision <= revision {
            (self.sent_revision, self.scanned) = (revision, self.scanned.max(revision));
            self.in_flight = 0;
        }
        if self.snapshot_until.is_some_and(|until| revision >= until) {
            self.snapshot_until = None;
        }
    }

    /// A snapshot is under way, and its client takes it up.
    pub fn is_receiving_snapshot(&self, now: f64, stalled_after: f64) -> bool {
        self.snapshot_until.is_some() && now - self.sent_at < stalled_after
    }

    /// The client has no revision of this coordinator's: it is told everything anew.
    pub fn reset(&mut self) {
        self.acknowledged = None;
        (self.sent_revision, self.scanned, self.in_flight) = (0, 0, 0);
        self.snapshot_until = None;
    }

    /// What was sent and not acknowledged within the time goes out again.
    pub fn resend_if_due(&mut self, now: f64, after: f64) {
        let reached = self.acknowledged.unwrap_or(0);
        if self.in_flight > 0 && now - self.sent_at >= after {
            (self.sent_revision, self.scanned, self.in_flight) = (reached, reached, 0);
            if self.acknowledged.is_none() {
                self.snapshot_until = None;
            }
        }
    }
}
