//! Releases owed to callers, and the connection on which each is sent next.
//!
//! An established call does not depend on a connection: if its own has closed, the release is sent on another
//! one. Not every client is a caller, and neither is everyone who sends requests, so a release that is not
//! confirmed is repeated on other connections, those with evidence of a caller first.

use crate::client_connection::{ClientConnection, ClientConnections, Usage};
use crate::edge::ConnectionId;
use std::collections::BTreeMap;

/// The platform requires a release to be delivered within 1 s, in which four connections can be tried.
/// Seconds.
const CONFIRM_TIMEOUT: f64 = 0.2;
/// The platform requires the end of a call to be reported within this time if its server could not release
/// it, seconds. A release is useful for as long.
pub(crate) const RELEASE_LIFETIME: f64 = 8.0;
/// Limit of the connections on which one release is sent.
const MAX_CONNECTIONS_TRIED: usize = 8;
/// Limit of the releases remembered; beyond it the oldest is discarded.
const MAX_RELEASES: usize = 4096;
/// Time that a front in shutdown waits for the confirmation of a release, seconds.
const SHUTDOWN_CONFIRM_TIMEOUT: f64 = 2.0;

struct PendingRelease {
    cause: u16,
    own_connection: ConnectionId,
    /// The connections on which it was sent, the latest last.
    tried: Vec<ConnectionId>,
    since: f64,
    /// Earliest time at which it may be sent again.
    next_send_at: f64,
}

/// One release to write: connection, call and cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Release {
    pub connection: ConnectionId,
    pub id: u64,
    pub cause: u16,
    /// Whether it was sent before and not confirmed.
    pub is_repeat: bool,
}

/// Releases by call id.
#[derive(Default)]
pub struct Releases {
    owed: BTreeMap<u64, PendingRelease>,
}

impl Releases {
    /// Records a release that is owed to the caller of a call.
    pub fn add(&mut self, now: f64, id: u64, cause: u16, own_connection: ConnectionId) {
        if self.owed.len() >= MAX_RELEASES {
            let oldest = self.owed.iter().min_by(|a, b| a.1.since.total_cmp(&b.1.since)).map(|o| *o.0);
            oldest.map(|id| self.owed.remove(&id));
        }
        self.owed.entry(id).or_insert(PendingRelease {
            cause,
            own_connection,
            tried: Vec::new(),
            since: now,
            next_send_at: now,
        });
    }

    /// Removes a release confirmed by the caller; true if it was owed and had been sent.
    pub fn confirm(&mut self, id: u64) -> bool {
        let was_sent = self.owed.get(&id).is_some_and(|o| !o.tried.is_empty());
        was_sent && self.owed.remove(&id).is_some()
    }

    /// Releases last sent on a lost connection are sent again without waiting for a confirmation.
    pub fn client_connection_lost(&mut self, now: f64, connection: ConnectionId) {
        for owed in self.owed.values_mut().filter(|o| o.tried.last() == Some(&connection)) {
            owed.next_send_at = now;
        }
    }

    /// Returns the releases to write now and records that they are sent.
    pub fn take_due(&mut self, now: f64, clients: &ClientConnections) -> Vec<Release> {
        let due = |o: &PendingRelease| o.next_send_at <= now && o.tried.len() < MAX_CONNECTIONS_TRIED;
        if !self.owed.values().any(due) {
            return Vec::new();
        }
        // Connections with evidence of a caller come before those with mere requests, the latest used first.
        let mut others: Vec<(ConnectionId, &ClientConnection)> =
            clients.all.iter().map(|c| (*c.0, c.1)).collect();
        others.retain(|(_, client)| client.usage >= Usage::Requests);
        others.sort_by(|(_, a), (_, b)| b.usage.cmp(&a.usage).then(b.last_at.total_cmp(&a.last_at)));
        let mut out = Vec::new();
        for (id, owed) in self.owed.iter_mut().filter(|(_, o)| due(o)) {
            // The call's own connection comes first, whatever it has been used for.
            let own_connection = Some(owed.own_connection).filter(|c| clients.all.contains_key(c));
            let mut candidates = own_connection.into_iter().chain(others.iter().map(|c| c.0));
            let Some(connection) = candidates.find(|c| !owed.tried.contains(c)) else { continue };
            out.push(Release { connection, id: *id, cause: owed.cause, is_repeat: !owed.tried.is_empty() });
            owed.tried.push(connection);
            owed.next_send_at = now + CONFIRM_TIMEOUT;
        }
        out
    }

    /// Discards expired releases and returns their calls.
    pub fn expire(&mut self, now: f64) -> Vec<u64> {
        let expired: Vec<u64> =
            self.owed.iter().filter(|o| now - o.1.since >= RELEASE_LIFETIME).map(|o| *o.0).collect();
        for id in &expired {
            self.owed.remove(id);
        }
        expired
    }

    /// Whether no release is left for which a front in shutdown should wait.
    pub fn is_quiet(&self, now: f64) -> bool {
        self.owed.values().all(|o| !o.tried.is_empty() && now - o.since >= SHUTDOWN_CONFIRM_TIMEOUT)
    }
}
