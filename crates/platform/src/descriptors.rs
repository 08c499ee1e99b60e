//! Descriptors: what callers may hold of them, and what is kept for servers, the list, the listener and files.

use crate::edge::Edge;
use crate::link::MAX_LINKS;

/// What a front holds or may need beside callers and links: standard streams, listener, the scheduler's two, the feed
/// and the connection that takes its place, the configuration while it is read.
const OWN_DESCRIPTORS: usize = 12;
/// Connections that may have been accepted and not yet been counted by the front.
pub const UNCOUNTED_CONNECTIONS: usize = 4;
/// Least kept for all that is not a caller's connection, where the limit leaves callers their part.
const MIN_RESERVED: usize = 72;
/// Part of the limit that callers can always have: what the platform's page says they hold at most.
const CLIENT_SHARE_DIVISOR: usize = 3;

impl Edge {
    /// Connections that callers may hold now.
    pub fn max_clients(&self) -> usize {
        let reserved =
            MIN_RESERVED.max(OWN_DESCRIPTORS + UNCOUNTED_CONNECTIONS + MAX_LINKS * self.servers.all.len());
        self.max_sockets.saturating_sub(reserved).max(self.max_sockets / CLIENT_SHARE_DIVISOR)
    }

    /// Whether one more link to a server may be made. The first to each server goes before others.
    pub(crate) fn has_descriptor_for_link(&self, is_first: bool) -> bool {
        let max_links =
            self.max_sockets.saturating_sub(OWN_DESCRIPTORS + UNCOUNTED_CONNECTIONS + self.max_clients());
        let unlinked = self.servers.all.values().filter(|s| s.links.is_empty()).count();
        let reserved_for_first = if is_first { 0 } else { unlinked };
        self.servers.links.len() + reserved_for_first < max_links
    }

    /// Closes callers' connections where there are too many. After all that came has been taken in: a set-up that has
    /// come whole is no longer on a connection of no use.
    pub(crate) fn evict_clients(&mut self, now: f64) {
        while self.clients.all.len() > self.max_clients() {
            let Some(candidate) = self.clients.eviction_candidate(now) else { return };
            // Where all others owe an answer a newcomer is told that it is refused, rather than closed on.
            if self.clients.may_still_request(now, candidate)
                && self.clients.all.len() <= self.max_clients() + UNCOUNTED_CONNECTIONS
            {
                return;
            }
            self.counters.clients_evicted += 1;
            // Guards what is open there against being lost with its connection.
            for ue in self.clients.all.get(&candidate).map(|d| d.open.clone()).unwrap_or_default() {
                self.fail_attach(now, ue, "its connection makes room for another");
            }
            self.close_client(now, candidate, "it makes room for another");
        }
    }
}
