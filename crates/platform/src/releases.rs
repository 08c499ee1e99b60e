//! Releases that callers are owed, and the connection that each goes out on next.
//!
//! A standing call belongs to no connection, so where its own has gone its release goes out on another. But not
//! everybody who connects is a caller, and not everybody who asks for something either: a release that is not
//! heard there goes out again elsewhere, on the connections that callers have been seen on first.

use crate::client_connection::{ClientConnection, ClientConnections, Usage};
use crate::edge::ConnectionId;
use std::collections::BTreeMap;

/// The platform wants a release told within 1 s: four connections can be tried in that time.
const CONFIRM_TIMEOUT: f64 = 0.2;
/// The platform wants a call's end told within this where its server could not release it. A release is of use for as
/// long.
pub(crate) const RELEASE_LIFETIME: f64 = 8.0;
/// Connections that one release goes out on at most.
const MAX_CONNECTIONS_TRIED: usize = 8;
/// Releases remembered; past that the oldest is given up.
const MAX_RELEASES: usize = 4096;
/// An ending front stays so long for a release that went out and is not heard.
const SHUTDOWN_CONFIRM_TIMEOUT: f64 = 2.0;

struct OwedRelease {
    cause: u16,
    own_connection: ConnectionId,
    /// The connections it went out on, the last one last.
    tried: Vec<ConnectionId>,
    since: f64,
    /// When it may go out again.
    next_send_at: f64,
}

/// One release to write: where, of which call, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Release {
    pub connection: ConnectionId,
    pub id: u64,
    pub cause: u16,
    /// It went out before and was not heard.
    pub is_repeat: bool,
}

/// Releases by their calls.
#[derive(Default)]
pub struct Releases {
    owed: BTreeMap<u64, OwedRelease>,
}

impl Releases {
    pub fn owe(&mut self, now: f64, id: u64, cause: u16, own_connection: ConnectionId) {
        if self.owed.len() >= MAX_RELEASES {
            let oldest = self.owed.iter().min_by(|a, b| a.1.since.total_cmp(&b.1.since)).map(|o| *o.0);
            oldest.map(|id| self.owed.remove(&id));
        }
        self.owed.entry(id).or_insert(OwedRelease {
            cause,
            own_connection,
            tried: Vec::new(),
            since: now,
            next_send_at: now,
        });
    }

    /// The caller has confirmed it; true where it was owed and had gone out.
    pub fn confirm(&mut self, id: u64) -> bool {
        let went_out = self.owed.get(&id).is_some_and(|o| !o.tried.is_empty());
        went_out && self.owed.remove(&id).is_some()
    }

    /// What went out last on a connection that has ended need not be waited for.
    pub fn client_connection_lost(&mut self, now: f64, connection: ConnectionId) {
        for owed in self.owed.values_mut().filter(|o| o.tried.last() == Some(&connection)) {
            owed.next_send_at = now;
        }
    }

    /// The releases to write now.
    pub fn take_due(&mut self, now: f64, clients: &ClientConnections) -> Vec<Release> {
        let due = |o: &OwedRelease| o.next_send_at <= now && o.tried.len() < MAX_CONNECTIONS_TRIED;
        if !self.owed.values().any(due) {
            return Vec::new();
        }
        // Where a caller was seen before where something was asked for, the latest used first.
        let mut others: Vec<(ConnectionId, &ClientConnection)> =
            clients.all.iter().map(|c| (*c.0, c.1)).collect();
        others.retain(|(_, client)| client.usage >= Usage::Requests);
        others.sort_by(|(_, a), (_, b)| b.usage.cmp(&a.usage).then(b.last_at.total_cmp(&a.last_at)));
        let mut out = Vec::new();
        for (id, owed) in self.owed.iter_mut().filter(|(_, o)| due(o)) {
            // Its own connection first, whatever came on it since.
            let own_connection = Some(owed.own_connection).filter(|c| clients.all.contains_key(c));
            let mut candidates = own_connection.into_iter().chain(others.iter().map(|c| c.0));
            let Some(connection) = candidates.find(|c| !owed.tried.contains(c)) else { continue };
            out.push(Release { connection, id: *id, cause: owed.cause, is_repeat: !owed.tried.is_empty() });
            owed.tried.push(connection);
            owed.next_send_at = now + CONFIRM_TIMEOUT;
        }
        out
    }

    /// Gives up what is of no use any more; returns the calls whose release nobody has heard.
    pub fn expire(&mut self, now: f64) -> Vec<u64> {
        let expired: Vec<u64> =
            self.owed.iter().filter(|o| now - o.1.since >= RELEASE_LIFETIME).map(|o| *o.0).collect();
        for id in &expired {
            self.owed.remove(id);
        }
        expired
    }

    /// Nothing that an ending front should stay for.
    pub fn is_quiet(&self, now: f64) -> bool {
        self.owed.values().all(|o| !o.tried.is_empty() && now - o.since >= SHUTDOWN_CONFIRM_TIMEOUT)
    }
}
