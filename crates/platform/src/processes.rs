//! Which process runs at a server's address. An entry of the list stands for one process, but its links belong to
//! whichever process accepted them: a new server may take the address of one that has gone before the list tells.
//! So calls are told apart by the link of their set-up, which a process that started later cannot have accepted.

use crate::causes::TEMPORARY_FAILURE;
use crate::edge::{ConnectionId, Edge};
use crate::link::{LinkState, Phase, Server, MAX_LINKS};
use crate::servers::MAX_QUEUED_RELEASES;
use shalespindle_control::interface::{EndReason, PoolEntry, PoolId, Report, UeId};
use std::net::SocketAddr;

/// A process may accept a connection this much before its start as the list gives it, in whole milliseconds and by
/// another clock, seconds.
const START_TOLERANCE: f64 = 0.05;

impl Edge {
    /// A server that is known already is listed again: applies its start and address.
    pub(crate) fn server_listed_again(
        &mut self,
        now: f64,
        pool: PoolId,
        address: Option<SocketAddr>,
        started_at: f64,
    ) {
        let Some(server) = self.servers.all.get_mut(&pool) else { return };
        let has_moved = address.is_some_and(|address| address != server.address);
        let has_restarted = started_at > server.started_at || has_moved;
        server.started_at = server.started_at.max(started_at);
        server.address = address.unwrap_or(server.address);
        if has_restarted {
            self.server_restarted(now, pool, has_moved);
        }
    }

    /// Another process runs under the same name since its start, or at another address: calls and links of the
    /// previous one are ended. Those over a link that came up since the start belong to the new process.
    fn server_restarted(&mut self, now: f64, pool: PoolId, has_moved: bool) {
        let Some(server) = self.servers.all.get(&pool) else { return };
        let first_link_at =
            if has_moved { f64::INFINITY } else { server.started_at.min(now) - START_TOLERANCE };
        let is_of_previous = |c: &&ConnectionId| {
            self.servers.links.get(c).is_some_and(|l| l.process_known_since() < first_link_at)
        };
        let links: Vec<ConnectionId> = server.links.iter().filter(is_of_previous).copied().collect();
        let is_linked_to_new = links.len() < server.links.len();
        for connection in links {
            self.drop_link(now, connection, "its server was restarted");
        }
        if !is_linked_to_new {
            return self.process_ended(now, pool, "its server was restarted");
        }
        for ue in self.calls.established_before(pool, first_link_at).0 {
            self.end_cut_call(now, ue, pool, "its server was restarted");
        }
    }

    /// Where a new server is listed at an address, the one that had it has gone, although the list may say so
    /// only later. Its entry gets no more set-ups, which would reach the new server: that one may be draining.
    /// `last_known` is the last entry from before this event; of two new ones, that which started earlier has
    /// gone. Returns the entries that were up.
    pub(crate) fn retire_predecessors(&mut self, now: f64, last_known: PoolId) -> Vec<PoolEntry> {
        let mut retired = Vec::new();
        for (old, new) in self.predecessors(last_known) {
            let Some(server) = self.servers.all.get(&old) else { continue };
            if server.phase == Phase::Up {
                let (number, started) = (server.number, server.started_at);
                retired.push(PoolEntry { id: old, number, started, ready: false });
                let name = server.id.clone();
                self.log_info("server retired", name, "a new server is listed at its address");
                self.set_phase(now, old, Phase::Draining);
            }
            self.succeed(now, old, new);
        }
        retired
    }

    /// Entries whose address a server has that was listed later than `last_known`, each with that server.
    fn predecessors(&self, last_known: PoolId) -> Vec<(PoolId, PoolId)> {
        let age = |s: &Server| (s.pool > last_known, s.started_at);
        let is_listed = |s: &&Server| s.phase != Phase::Removed;
        let new: Vec<&Server> =
            self.servers.all.values().filter(|s| s.pool > last_known).filter(is_listed).collect();
        let successor = |old: &Server| {
            let later = new.iter().filter(|s| s.address == old.address && age(s) > age(old));
            later.max_by(|a, b| a.started_at.total_cmp(&b.started_at)).map(|s| (old.pool, s.pool))
        };
        self.servers.all.values().filter_map(successor).collect()
    }

    /// The process of entry `old` has gone and that of entry `new` has its address: calls of the old process are
    /// ended; calls that were set up at the new one through the old entry belong to the new entry.
    fn succeed(&mut self, now: f64, old: PoolId, new: PoolId) {
        // Without its start nothing tells the processes apart.
        let started_at = self.servers.all.get(&new).map_or(0.0, |s| s.started_at);
        if started_at <= 0.0 {
            return;
        }
        let first_link_at = started_at.min(now) - START_TOLERANCE;
        let (of_old, of_new) = self.calls.established_before(old, first_link_at);
        let reason = format!("{} calls ended, {} belong to the new one", of_old.len(), of_new.len());
        self.log_info("server replaced", self.server_name(old).to_string(), reason);
        if let Some(server) = self.servers.all.get_mut(&old) {
            server.successor = Some(new);
        }
        for ue in of_old {
            self.end_cut_call(now, ue, old, "another server has its address");
        }
        for ue in of_new {
            self.calls.move_to_pool(ue, new);
            self.call_left_server(old);
            if let Some(server) = self.servers.all.get_mut(&new) {
                server.established += 1;
            }
        }
        self.pass_on_queue(old, new);
        self.drop_unfinished_links(now, old);
        self.divide_links(now, old, new, first_link_at);
        self.ensure_link(now, new);
    }

    /// Drops the links of entry `old` that came up before `first_link_at`. The others lead to the process of entry
    /// `new`, to which those without a set-up are passed.
    fn divide_links(&mut self, now: f64, old: PoolId, new: PoolId, first_link_at: f64) {
        let links = self.servers.all.get(&old).map(|s| s.links.clone()).unwrap_or_default();
        for connection in links {
            let Some(link) = self.servers.links.get_mut(&connection) else { continue };
            let has_free_place = self.servers.all.get(&new).is_some_and(|s| s.links.len() < MAX_LINKS);
            if link.up_at < first_link_at {
                self.drop_link(now, connection, "another server has its address");
            } else if link.open.is_empty() && has_free_place {
                link.pool = new;
                self.move_link(connection, old, new);
            }
        }
    }

    /// Passes what is to be sent to the process, or repeated by it, to its entry.
    fn pass_on_queue(&mut self, old: PoolId, new: PoolId) {
        let Some(server) = self.servers.all.get_mut(&old) else { return };
        let queued = std::mem::take(&mut server.queued_releases);
        let missed_at = server.release_missed_at.take();
        if let Some(server) = self.servers.all.get_mut(&new) {
            let free = MAX_QUEUED_RELEASES.saturating_sub(server.queued_releases.len());
            server.queued_releases.extend(queued.into_iter().take(free));
            server.release_missed_at = server.release_missed_at.or(missed_at);
        }
    }

    fn move_link(&mut self, connection: ConnectionId, old: PoolId, new: PoolId) {
        if let Some(server) = self.servers.all.get_mut(&old) {
            server.links.retain(|c| *c != connection);
        }
        if let Some(server) = self.servers.all.get_mut(&new) {
            server.links.push(connection);
        }
        self.newly_linked.push(new);
    }

    /// The entry of the process to which the links of an entry lead now.
    pub(crate) fn entry_of_process(&self, pool: PoolId) -> PoolId {
        let successor = self.servers.all.get(&pool).and_then(|s| s.successor);
        successor.filter(|s| self.servers.all.contains_key(s)).unwrap_or(pool)
    }

    /// A link came up to another process at the same address: the calls of the previous process are ended,
    /// and links to it are dropped.
    pub(crate) fn process_replaced(&mut self, now: f64, pool: PoolId, newest: ConnectionId) {
        let older = self.servers.all.get(&pool).map(|s| s.links.clone()).unwrap_or_default();
        for connection in older.into_iter().filter(|c| *c != newest) {
            let is_up = self.servers.links.get(&connection).is_some_and(|l| l.state == LinkState::Up);
            if is_up {
                self.drop_link(now, connection, "another process has its address");
            }
        }
        self.process_ended(now, pool, "another process has its server's address");
    }

    /// Ends all calls established at a server.
    pub(crate) fn end_calls_at(&mut self, now: f64, pool: PoolId, reason: &'static str) {
        for ue in self.calls.established_at(pool) {
            self.end_cut_call(now, ue, pool, reason);
        }
    }

    fn end_cut_call(&mut self, now: f64, ue: UeId, pool: PoolId, reason: &'static str) {
        self.control.try_ended(now, ue, pool, EndReason::Cut, true, Report::default());
        self.end_established_call(now, ue, pool, TEMPORARY_FAILURE, reason);
    }

    /// The process at a server has ended: its calls are ended, and releases queued for it are discarded.
    pub(crate) fn process_ended(&mut self, now: f64, pool: PoolId, reason: &'static str) {
        self.end_calls_at(now, pool, reason);
        if let Some(server) = self.servers.all.get_mut(&pool) {
            server.queued_releases.clear();
        }
    }
}
