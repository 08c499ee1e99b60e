//! The connections of the feed: what the front dials, writes and closes for it, and the events applied.

use crate::edge::{ConnectionId, Edge, Output};
use crate::feed::ClosedRequest;

impl Edge {
    /// Dials the feed where that is due, beside a request that is overdue.
    pub(crate) fn poll_feed(&mut self, now: f64) {
        if let Some(closed) = self.feed.drop_overdue(now) {
            self.close_feed_request(closed);
        }
        let Some(overdue) = self.feed.dial_due(now) else { return };
        if let Some(reason) = overdue {
            self.log_info("feed overdue", self.feed.address, format!("{reason}; requested again beside it"));
        }
        let connection = self.new_connection_id();
        let timeout = self.feed.dialled(now, connection);
        self.outputs.push_back(Output::Dial { connection, to: self.feed.address, timeout });
    }

    pub(crate) fn feed_connected(&mut self, now: f64, connection: ConnectionId) {
        let (bytes, closed) = self.feed.connected(now, connection);
        let reason = format!("after event {}", self.feed.last_event);
        self.log_info("feed connected", self.feed.address, reason);
        self.outputs.push_back(Output::Write { connection, bytes });
        closed.into_iter().for_each(|closed| self.close_feed_request(closed));
    }

    pub(crate) fn feed_lost(&mut self, now: f64, connection: ConnectionId) {
        if self.feed.is_requested_on(connection) {
            self.log_info("feed lost", self.feed.address, format!("connection {connection} ended"));
        }
        self.feed.lost(now, connection);
    }

    pub(crate) fn feed_bytes(&mut self, now: f64, connection: ConnectionId, bytes: &[u8]) {
        let input = self.feed.bytes(now, connection, bytes);
        if let Some(seconds) = input.responded_after {
            self.log_info("feed responded", self.feed.address, format!("after {seconds:.3} s"));
            self.shorten_handover_waits(now);
        }
        for event in input.events {
            self.list_event(now, event);
        }
        input.closed.into_iter().for_each(|closed| self.close_feed_request(closed));
    }

    pub(crate) fn close_feed_request(&mut self, closed: ClosedRequest) {
        let ClosedRequest { connection, reason } = closed;
        self.log_info("feed dropped", self.feed.address, format!("connection {connection}: {reason}"));
        self.outputs.push_back(Output::Close { connection, reset: false });
    }
}
