//! The limit of file descriptors: how many clients may hold, and how many are reserved for servers, the feed,
//! the listener and files.

use crate::edge::Edge;
use crate::link::MAX_LINKS;

/// Descriptors that a front may need besides clients and links: standard streams, listener, two of the
/// coroutine scheduler, the feed and the connection that replaces it, and the configuration file while it is
/// read.
const OWN_DESCRIPTORS: usize = 12;
/// Connections that may have been accepted and not yet reported to the front.
pub const UNCOUNTED_CONNECTIONS: usize = 4;
/// Smallest number of descriptors reserved for everything but clients, where the limit leaves clients their
/// guaranteed share.
const MIN_RESERVED: usize = 72;
/// Clients may always hold this fraction (one third) of the limit, the most that the platform lets them hold.
const CLIENT_SHARE_DIVISOR: usize = 3;

impl Edge {
    /// Number of connections that clients may hold now.
    pub fn max_clients(&self) -> usize {
        let reserved =
            MIN_RESERVED.max(OWN_DESCRIPTORS + UNCOUNTED_CONNECTIONS + MAX_LINKS * self.servers.all.len());
        self.max_sockets.saturating_sub(reserved).max(self.max_sockets / CLIENT_SHARE_DIVISOR)
    }

    /// Whether one more link to a server may be dialled. The first link to each server takes precedence.
    pub(crate) fn has_descriptor_for_link(&self, is_first: bool) -> bool {
        let max_links =
            self.max_sockets.saturating_sub(OWN_DESCRIPTORS + UNCOUNTED_CONNECTIONS + self.max_clients());
        let unlinked = self.servers.all.values().filter(|s| s.links.is_empty()).count();
        let reserved_for_first = if is_first { 0 } else { unlinked };
        self.servers.links.len() + reserved_for_first < max_links
    }

    /// Closes client connections if there are too many. Called after all input has been handled, so that the
    /// connection of a complete set-up counts as useful.
    pub(crate) fn evict_clients(&mut self, now: f64) {
        while self.clients.all.len() > self.max_clients() {
            let Some(candidate) = self.clients.eviction_candidate(now) else { return };
            // If all others have a pending attach, the newest client stays until it can be refused, rather
            // than being closed without an answer.
            if self.clients.may_still_request(now, candidate)
                && self.clients.all.len() <= self.max_clients() + UNCOUNTED_CONNECTIONS
            {
                return;
            }
            self.counters.clients_evicted += 1;
            self.close_client(now, candidate, "closed to free a descriptor");
        }
    }
}
