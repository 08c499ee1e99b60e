//! Releases owed to callers, and the connection on which each is sent next.
//!
//! An established call does not depend on a connection: if its own has closed, the release is sent on another
//! one. Not every client is a caller, and neither is everyone who sends requests, so a release that is not
//! confirmed is repeated on other connections, those with evidence of a caller first. It is repeated as long as
//! it is useful: bad clients can have more connections than any limit on the attempts would allow for, and the
//! caller may connect last.

use crate::client_connection::ClientConnections;
use crate::edge::ConnectionId;
use std::collections::BTreeMap;

/// The platform requires a release to be delivered within 1 s, in which four connections can be tried.
/// Seconds.
const CONFIRM_TIMEOUT: f64 = 0.2;
/// The platform requires the end of a call to be reported within this time if its server could not release
/// it, seconds. A release is useful for as long.
pub(crate) const RELEASE_LIFETIME: f64 = 8.0;
/// Limit of the releases remembered; beyond it the oldest of the connection to which the most are owed is
/// discarded, so that one client cannot displace the releases of others.
const MAX_RELEASES: usize = 4096;
/// Limit of the releases written on a connection that the front is about to close.
const MAX_BEFORE_CLOSE: usize = 64;
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
    /// [`ClientConnections::release_targets_seen`] when it had been sent on every connection.
    exhausted_at: Option<u64>,
}

impl PendingRelease {
    /// Whether it is time to send it, and there may be a connection on which it was not sent yet.
    fn is_due(&self, now: f64, targets_seen: u64) -> bool {
        self.next_send_at <= now && self.exhausted_at != Some(targets_seen)
    }
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
    /// Number of releases owed by the connection of their set-up.
    count_by_connection: BTreeMap<ConnectionId, usize>,
}

impl Releases {
    /// Records a release that is owed to the caller of a call.
    pub fn add(&mut self, now: f64, id: u64, cause: u16, own_connection: ConnectionId) {
        if self.owed.contains_key(&id) {
            return;
        }
        if self.owed.len() >= MAX_RELEASES {
            self.discard_from_largest();
        }
        let (tried, exhausted_at) = (Vec::new(), None);
        let release =
            PendingRelease { cause, own_connection, tried, since: now, next_send_at: now, exhausted_at };
        self.owed.insert(id, release);
        *self.count_by_connection.entry(own_connection).or_default() += 1;
    }

    /// Discards the oldest release of the connection to which the most are owed.
    fn discard_from_largest(&mut self) {
        let largest = self.count_by_connection.iter().max_by_key(|(_, count)| **count).map(|c| *c.0);
        let of_largest = self.owed.iter().filter(|(_, o)| Some(o.own_connection) == largest);
        let oldest = of_largest.min_by(|a, b| a.1.since.total_cmp(&b.1.since)).map(|o| *o.0);
        oldest.map(|id| self.remove(id));
    }

    fn remove(&mut self, id: u64) -> Option<PendingRelease> {
        let removed = self.owed.remove(&id)?;
        if let Some(count) = self.count_by_connection.get_mut(&removed.own_connection) {
            *count -= 1;
            if *count == 0 {
                self.count_by_connection.remove(&removed.own_connection);
            }
        }
        Some(removed)
    }

    /// Removes a release confirmed by the caller; true if it was owed and had been sent.
    pub fn confirm(&mut self, id: u64) -> bool {
        let was_sent = self.owed.get(&id).is_some_and(|o| !o.tried.is_empty());
        was_sent && self.remove(id).is_some()
    }

    /// Whether the set-up of the call arrived on the connection, so that its caller is at the other end.
    pub fn is_own_connection(&self, id: u64, connection: ConnectionId) -> bool {
        self.owed.get(&id).is_some_and(|o| o.own_connection == connection)
    }

    /// The client of a connection does not know the call: the release is sent on another one at once.
    pub fn rejected_on(&mut self, now: f64, id: u64, connection: ConnectionId) {
        if let Some(owed) = self.owed.get_mut(&id).filter(|o| o.tried.last() == Some(&connection)) {
            owed.next_send_at = now;
        }
    }

    /// Whether the caller of the call is still to be told of its end.
    pub fn is_owed(&self, id: u64) -> bool {
        self.owed.contains_key(&id)
    }

    /// The caller has released the call itself and need not be told any more; true if a release was owed.
    pub fn released_by_caller(&mut self, id: u64) -> bool {
        self.remove(id).is_some()
    }

    /// The caller of a call that has ended names it on another connection, on which the release is sent next.
    pub fn caller_moved(&mut self, now: f64, id: u64, connection: ConnectionId) {
        let Some(owed) = self.remove(id) else { return };
        let (since, tried) = (owed.since, owed.tried);
        self.add(now, id, owed.cause, connection);
        if let Some(owed) = self.owed.get_mut(&id) {
            (owed.since, owed.tried) = (since, tried);
        }
    }

    /// Returns the releases to write on a connection before the front closes it, and records that they are
    /// sent: those of calls whose own connection has ended and that were not sent here yet. The oldest come
    /// first, up to a limit.
    pub fn take_before_close(
        &mut self,
        now: f64,
        connection: ConnectionId,
        clients: &ClientConnections,
    ) -> Vec<Release> {
        if !clients.all.get(&connection).is_some_and(|client| client.is_release_target()) {
            return Vec::new();
        }
        let has_no_connection = |o: &PendingRelease| !clients.all.contains_key(&o.own_connection);
        let unsent = self.owed.iter_mut().filter(|(_, o)| !o.tried.contains(&connection));
        let mut chosen: Vec<(u64, &mut PendingRelease)> =
            unsent.filter(|(_, o)| has_no_connection(o)).map(|(id, o)| (*id, o)).collect();
        chosen.sort_by(|a, b| a.1.since.total_cmp(&b.1.since));
        let mut out = Vec::new();
        for (id, owed) in chosen.into_iter().take(MAX_BEFORE_CLOSE) {
            out.push(Release { connection, id, cause: owed.cause, is_repeat: !owed.tried.is_empty() });
            owed.tried.push(connection);
            owed.next_send_at = now + CONFIRM_TIMEOUT;
        }
        out
    }

    /// Releases last sent on a lost connection are sent again without waiting for a confirmation.
    pub fn client_connection_lost(&mut self, now: f64, connection: ConnectionId) {
        for owed in self.owed.values_mut().filter(|o| o.tried.last() == Some(&connection)) {
            owed.next_send_at = now;
        }
    }

    /// Returns the releases to write now and records that they are sent.
    pub fn take_due(&mut self, now: f64, clients: &mut ClientConnections) -> Vec<Release> {
        let seen = clients.release_targets_seen();
        if !self.owed.values().any(|o| o.is_due(now, seen)) {
            return Vec::new();
        }
        let targets = clients.release_targets();
        let mut out = Vec::new();
        for (id, owed) in self.owed.iter_mut().filter(|(_, o)| o.is_due(now, seen)) {
            // The call's own connection comes first, whatever it has been used for.
            let own_connection = Some(owed.own_connection).filter(|c| clients.all.contains_key(c));
            let mut candidates = own_connection.into_iter().chain(targets.iter().copied());
            let Some(connection) = candidates.find(|c| !owed.tried.contains(c)) else {
                owed.exhausted_at = Some(seen);
                continue;
            };
            if let Some(previous) = owed.tried.last().and_then(|c| clients.all.get_mut(c)) {
                previous.unconfirmed_releases += 1;
            }
            out.push(Release { connection, id: *id, cause: owed.cause, is_repeat: !owed.tried.is_empty() });
            owed.tried.push(connection);
            owed.next_send_at = now + CONFIRM_TIMEOUT;
        }
        out
    }

    /// Whether a release is owed that was not sent on the connection yet.
    pub fn has_unsent_on(&self, connection: ConnectionId) -> bool {
        self.owed.values().any(|o| !o.tried.contains(&connection))
    }

    /// Discards expired releases and returns their calls.
    pub fn expire(&mut self, now: f64) -> Vec<u64> {
        let expired: Vec<u64> =
            self.owed.iter().filter(|o| now - o.1.since >= RELEASE_LIFETIME).map(|o| *o.0).collect();
        for id in &expired {
            self.remove(*id);
        }
        expired
    }

    /// Whether no release is left for which a front in shutdown should wait.
    pub fn is_quiet(&self, now: f64) -> bool {
        self.owed.values().all(|o| !o.tried.is_empty() && now - o.since >= SHUTDOWN_CONFIRM_TIMEOUT)
    }
}
