//! Established calls handed over to this front by their callers while their server is not in the list.
//!
//! A removed server is in no list, but a new one may be missing only because the list has not arrived yet.
//! The front waits for the list before it ends such a call, because releasing it at once would end calls that
//! are still established.

use crate::calls::{CallState, EstablishedCall};
use crate::causes::{NORMAL_CLEARING, TEMPORARY_FAILURE};
use crate::client_connection::Usage;
use crate::edge::{ConnectionId, Edge};
use crate::log::call_subject;
use shalespindle_control::interface::{PoolId, UeId};
use std::collections::BTreeMap;

/// Time in which a front that is connected to the feed learns of a new server, seconds.
const FOLLOWED_LIST_TIMEOUT: f64 = 0.5;
/// The same for a front that still waits for the feed, whose response may take 2 s; afterwards the call counts
/// as ended together with its server. Seconds.
const UNFOLLOWED_LIST_TIMEOUT: f64 = 2.5;

/// Each connection may hold this fraction (one sixteenth) of the limit of calls in unresolved handovers, whatever
/// others hold.
const GUARANTEED_SHARE_DIVISOR: usize = 16;

/// A call whose server is not in the list yet.
pub struct UnresolvedHandover {
    id: u64,
    client: ConnectionId,
    server: String,
    expires_at: f64,
    /// Cause of the caller's release; it is sent to the server once the server is known.
    released_cause: Option<u16>,
}

impl Edge {
    /// A caller reports a call that is already established, set up by another front or by this one before a
    /// restart.
    pub(crate) fn call_handed_over(&mut self, now: f64, client: ConnectionId, id: u64, server: &str) {
        if let Some(ue) = self.calls.by_id(id).map(|call| call.ue) {
            return self.held_call_named(now, client, ue);
        }
        if self.unresolved_handovers.iter().any(|h| h.id == id) {
            return self.caller_shown(now, client, Usage::Requests);
        }
        if self.releases.is_owed(id) {
            // The call ended while its caller had no connection.
            self.releases.caller_moved(now, id, client);
            return self.caller_shown(now, client, Usage::Caller);
        }
        // A server repeats its releases on the first connection from a front, which may precede the handover.
        if self.early_releases.take(now, id) {
            self.clients.used(now, client, Usage::Requests);
            self.log_info("call handed over", call_subject(id), format!("ended before at {server}"));
            return self.send_release(now, client, id, NORMAL_CLEARING);
        }
        // Limited like the pending attaches; beyond the limit the call is not recorded and the caller gets no
        // release.
        let is_full = self.calls.established_count() + self.unresolved_handovers.len() >= self.max_pending;
        if is_full {
            self.counters.no_place += 1;
            if !self.displace_handover(client) {
                return self.caller_shown(now, client, Usage::Requests);
            }
        }
        self.clients.used(now, client, Usage::Requests);
        self.log_info("call handed over", call_subject(id), format!("established at {server}"));
        match self.servers.named(server) {
            Some(pool) => self.add_established(now, client, id, pool),
            None => {
                let timeout =
                    if self.feed.is_followed(now) { FOLLOWED_LIST_TIMEOUT } else { UNFOLLOWED_LIST_TIMEOUT };
                let (server, expires_at) = (server.to_string(), now + timeout);
                self.unresolved_handovers.push(UnresolvedHandover {
                    id,
                    client,
                    server,
                    expires_at,
                    released_cause: None,
                });
            }
        }
        self.send_releases(now);
    }

    /// Makes room for a handover on connection `client`: discards the newest unresolved one of the connection
    /// with the most, unless `client` has used up its guaranteed share. So one client that invents handovers
    /// cannot take the place of all others.
    fn displace_handover(&mut self, client: ConnectionId) -> bool {
        let mut counts: BTreeMap<ConnectionId, usize> = BTreeMap::new();
        for handed in &self.unresolved_handovers {
            *counts.entry(handed.client).or_default() += 1;
        }
        let own_count = counts.get(&client).copied().unwrap_or(0);
        let Some((largest, count)) = counts.into_iter().max_by_key(|(_, count)| *count) else { return false };
        if own_count >= self.max_pending.div_ceil(GUARANTEED_SHARE_DIVISOR) || count <= own_count + 1 {
            return false;
        }
        let newest = self.unresolved_handovers.iter().rposition(|h| h.client == largest);
        newest.map(|position| self.unresolved_handovers.remove(position)).is_some()
    }

    /// A caller names a call that this front holds already: if the connection of its set-up has ended, the call
    /// belongs to this one, on which its release is sent first.
    fn held_call_named(&mut self, now: f64, client: ConnectionId, ue: UeId) {
        self.caller_shown(now, client, Usage::Requests);
        let Some(call) = self.calls.by_ue(ue) else { return };
        let is_established = matches!(call.state, CallState::Established(_));
        if !is_established || self.clients.all.contains_key(&call.client) {
            return;
        }
        call.client = client;
        if let Some(client) = self.clients.all.get_mut(&client) {
            client.established.insert(ue);
        }
    }

    fn add_established(&mut self, now: f64, client: ConnectionId, id: u64, pool: PoolId) {
        if self.servers.all.get(&pool).is_some_and(|s| s.successor.is_some()) {
            let reason = format!("{} has gone, another server has its address", self.server_name(pool));
            self.log_info("call ended", call_subject(id), reason);
            return self.send_release(now, client, id, TEMPORARY_FAILURE);
        }
        let ue = self.calls.add(
            id,
            client,
            CallState::Established(EstablishedCall {
                pool,
                link: None,
                link_up_at: f64::NEG_INFINITY,
                confirmed: true,
            }),
        );
        if let Some(client) = self.clients.all.get_mut(&client) {
            client.established.insert(ue);
        }
        if let Some(server) = self.servers.all.get_mut(&pool) {
            server.established += 1;
        }
        self.ensure_link(now, pool);
    }

    /// Assigns handed-over calls to servers that are now in the list.
    pub(crate) fn resolve_handovers(&mut self, now: f64) {
        for handed in std::mem::take(&mut self.unresolved_handovers) {
            match (self.servers.named(&handed.server), handed.released_cause) {
                (Some(pool), Some(cause)) => self.release_to(now, pool, handed.id, cause),
                (Some(pool), None) => self.add_established(now, handed.client, handed.id, pool),
                (None, _) => self.unresolved_handovers.push(handed),
            }
        }
    }

    /// A server that is not in the list yet has released such a call; false if no such call is recorded.
    pub(crate) fn handover_ended(&mut self, now: f64, id: u64, cause: u16) -> bool {
        let Some(position) = self.unresolved_handovers.iter().position(|h| h.id == id) else { return false };
        let handed = self.unresolved_handovers.swap_remove(position);
        if handed.released_cause.is_none() {
            self.send_release(now, handed.client, id, cause);
        }
        true
    }

    /// The caller has released such a call; false if no such call is recorded.
    pub(crate) fn handover_released(&mut self, id: u64, cause: u16) -> bool {
        let handed = self.unresolved_handovers.iter_mut().find(|h| h.id == id);
        handed.map(|h| h.released_cause = Some(cause)).is_some()
    }

    /// The feed responds, so new servers are listed soon.
    pub(crate) fn shorten_handover_waits(&mut self, now: f64) {
        for handed in &mut self.unresolved_handovers {
            handed.expires_at = handed.expires_at.min(now + FOLLOWED_LIST_TIMEOUT);
        }
    }

    /// Ends the calls whose server has not appeared in the list in time.
    pub(crate) fn expire_handovers(&mut self, now: f64) {
        let (expired, remaining): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.unresolved_handovers).into_iter().partition(|h| h.expires_at <= now);
        self.unresolved_handovers = remaining;
        for handed in expired.into_iter().filter(|h| h.released_cause.is_none()) {
            self.log_info(
                "call ended",
                call_subject(handed.id),
                format!("its server {} is not listed", handed.server),
            );
            self.send_release(now, handed.client, handed.id, TEMPORARY_FAILURE);
        }
    }
}
