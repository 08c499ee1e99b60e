//! A coordinator's session with one client: the client's cursor and the updates in flight to it.

use crate::statement::Incarnation;
use crate::store::Filter;

pub(crate) struct Session {
    pub incarnation: Incarnation,
    /// Number of the last heartbeat, and when it was received.
    pub heartbeat_number: u64,
    pub last_heartbeat_at: f64,
    pub filter: Filter,
    pub subscription_number: u64,
    /// The revision that the client has acknowledged; none while it has no state of this coordinator's
    /// process.
    pub acknowledged: Option<u64>,
    /// The end of the last update sent, and when it was sent.
    pub sent_revision: u64,
    pub sent_at: f64,
    /// Changes up to this revision have been examined: those after `sent_revision` are not in the client's
    /// subscription.
    pub scanned: u64,
    /// Updates sent since the last acknowledgement.
    pub in_flight: usize,
    /// The revision at which the snapshot in progress ends; none if there is no snapshot in progress.
    pub snapshot_until: Option<u64>,
    /// The digest that a client without a cursor sent.
    pub digest: Option<u64>,
    /// The highest acknowledged sequence of the client's own statements.
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

    /// Records that the client has reached a revision.
    pub fn acknowledge(&mut self, revision: u64) {
        if self.acknowledged.is_none_or(|before| revision > before) {
            self.acknowledged = Some(revision);
            // Updates that were sent after that one are still in flight, or lost.
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

    /// Whether a snapshot is in progress and something was sent to the client within `stalled_after`.
    pub fn is_receiving_snapshot(&self, now: f64, stalled_after: f64) -> bool {
        self.snapshot_until.is_some() && now - self.sent_at < stalled_after
    }

    /// Starts over with a full snapshot: the client has no state of this coordinator's process.
    pub fn reset(&mut self) {
        self.acknowledged = None;
        (self.sent_revision, self.scanned, self.in_flight) = (0, 0, 0);
        self.snapshot_until = None;
    }

    /// Rewinds to the acknowledged revision if an update was not acknowledged in time, so that it is sent
    /// again.
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
