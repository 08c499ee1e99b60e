//! Detection of silent servers. Their calls are ended without waiting for the list of servers, because the
//! feed may be unavailable.

use crate::causes::TEMPORARY_FAILURE;
use crate::edge::{ConnectionId, Edge, Output};
use crate::lines;
use crate::link::{LinkState, Server};
use crate::servers::MAX_QUEUED_RELEASES;
use shalespindle_control::interface::PoolId;
use shalespindle_control::liveness::{LivenessStatus, ProbeMethod};

impl Edge {
    /// Checks every server with established calls: probes the silent ones, and ends the calls of those that
    /// no longer respond.
    pub(crate) fn check_servers(&mut self, now: f64) {
        let evaluate = |(pool, server): (&PoolId, &mut Server)| {
            let status = server.liveness.evaluate(now, server.established > 0);
            (server.established > 0).then_some((*pool, status))
        };
        let watched: Vec<(PoolId, LivenessStatus)> =
            self.servers.all.iter_mut().filter_map(evaluate).collect();
        for (pool, status) in watched {
            match status {
                LivenessStatus::Alive => self.check_links(now, pool),
                LivenessStatus::ProbeDue => self.probe_server(now, pool),
                LivenessStatus::Dead => self.end_calls_of_silent_server(now, pool),
            }
        }
    }

    /// Checks the links of a server that sends on at least one of them; a link with calls that stays silent
    /// meanwhile is broken.
    fn check_links(&mut self, now: f64, pool: PoolId) {
        let Some(server) = self.servers.all.get(&pool) else { return };
        let status_of = |connection: &ConnectionId| {
            let link = self.servers.links.get(connection).filter(|l| l.state == LinkState::Up)?;
            let status =
                server.liveness.evaluate_connection(now, link.last_received_at, link.unanswered_since());
            // Set-ups on the link have time limits of their own.
            let is_kept = status == LivenessStatus::Dead && !link.open.is_empty();
            Some((*connection, status)).filter(|_| status != LivenessStatus::Alive && !is_kept)
        };
        let mut statuses: Vec<(ConnectionId, LivenessStatus)> =
            server.links.iter().filter_map(status_of).collect();
        if statuses.is_empty() {
            return;
        }
        let with_calls = self.calls.links_of_established_at(pool);
        statuses.retain(|(connection, _)| with_calls.contains(connection));
        for (connection, status) in statuses {
            match status {
                LivenessStatus::ProbeDue if self.servers.probe_method == ProbeMethod::Test => {
                    self.probe_link(now, connection)
                }
                LivenessStatus::Dead => {
                    self.drop_link(now, connection, "silent while its server sends on another link")
                }
                LivenessStatus::ProbeDue | LivenessStatus::Alive => {}
            }
        }
    }

    /// Probes a silent server on the link that has been silent longest, and on a new link if none is usable.
    fn probe_server(&mut self, now: f64, pool: PoolId) {
        let Some(server) = self.servers.all.get_mut(&pool) else { return };
        server.liveness.probe_sent(now);
        let links = server.links.iter().filter_map(|c| Some((*c, self.servers.links.get(c)?)));
        let up = links.filter(|(_, link)| link.state == LinkState::Up);
        let unprobed = up.filter(|(_, link)| link.unanswered_since().is_none());
        let longest = unprobed
            .min_by(|(_, a), (_, b)| a.last_received_at.total_cmp(&b.last_received_at))
            .map(|(c, _)| c);
        if let Some(connection) = longest.filter(|_| self.servers.probe_method == ProbeMethod::Test) {
            self.probe_link(now, connection);
        }
        let no_usable_link = self.servers.best_link(now, pool, self.dial_timeout).is_none();
        if no_usable_link || self.servers.probe_method == ProbeMethod::Dial {
            self.dial(now, pool);
        }
    }

    /// Ends the calls of a server that has been silent for too long. The server may only be unreachable, so
    /// the releases are queued for it in case it returns.
    fn end_calls_of_silent_server(&mut self, now: f64, pool: PoolId) {
        let established = self.calls.established_at(pool);
        let ids: Vec<u64> = established.iter().filter_map(|ue| self.calls.by_ue(*ue).map(|c| c.id)).collect();
        let name = self.server_name(pool).to_string();
        self.log_info("server silent", name, format!("{} established calls", ids.len()));
        self.counters.calls_at_silent_servers += ids.len() as u64;
        self.end_calls_at(now, pool, "its server is silent");
        if let Some(server) = self.servers.all.get_mut(&pool) {
            let capacity = MAX_QUEUED_RELEASES.saturating_sub(server.queued_releases.len());
            server.queued_releases.extend(ids.into_iter().take(capacity).map(|id| (id, TEMPORARY_FAILURE)));
        }
    }

    /// Called when a link of a server with established calls is lost. If the process has ended, its other
    /// links may give no sign of it, so each is probed; without a process the probe is refused.
    pub(crate) fn probe_other_links(&mut self, now: f64, pool: PoolId) {
        let Some(server) = self.servers.all.get(&pool).filter(|s| s.established > 0) else { return };
        if self.servers.probe_method == ProbeMethod::Dial {
            return;
        }
        for connection in server.links.clone() {
            if self.servers.links.get(&connection).is_some_and(|l| l.state == LinkState::Up) {
                self.probe_link(now, connection);
            }
        }
    }

    /// Sends the releases queued while the server had no usable link.
    pub(crate) fn send_queued_releases(&mut self, pool: PoolId, connection: ConnectionId) {
        let Some(server) = self.servers.all.get_mut(&pool) else { return };
        for (id, cause) in std::mem::take(&mut server.queued_releases) {
            self.outputs.push_back(Output::Write { connection, bytes: lines::release(id, cause) });
        }
    }
}
