//! Silent servers: the calls that stand on them are not left to the list of servers, which may be away.

use crate::causes::CUT;
use crate::edge::{ConnectionId, Edge, Output};
use crate::lines;
use crate::link::{LinkState, Server};
use crate::servers::MOST_OWED;
use shalespindle_control::interface::PoolId;
use shalespindle_control::liveness::{LivenessStatus, ProbeMethod};

impl Edge {
    /// Looks after every server on which calls stand: asks those that are silent, and ends the calls of those that do
    /// not answer any more.
    pub(crate) fn watch_servers(&mut self, now: f64) {
        let judge = |(pool, server): (&PoolId, &mut Server)| {
            let verdict = server.liveness.evaluate(now, server.standing > 0);
            (server.standing > 0).then_some((*pool, verdict))
        };
        let watched: Vec<(PoolId, LivenessStatus)> = self.servers.all.iter_mut().filter_map(judge).collect();
        for (pool, verdict) in watched {
            match verdict {
                LivenessStatus::Alive => self.watch_links(now, pool),
                LivenessStatus::ProbeDue => self.ask_server(now, pool),
                LivenessStatus::Dead => self.server_silent(now, pool),
            }
        }
    }

    /// A server speaks on some connection; one with calls that is silent beside it leads nowhere any more.
    fn watch_links(&mut self, now: f64, pool: PoolId) {
        let Some(server) = self.servers.all.get(&pool) else { return };
        let verdict_of = |connection: &ConnectionId| {
            let link = self.servers.links.get(connection).filter(|l| l.state == LinkState::Up)?;
            let verdict = server.liveness.evaluate_connection(now, link.heard_at, link.unanswered_since());
            // What is out on it has a time of its own.
            let keeps = verdict == LivenessStatus::Dead && !link.open.is_empty();
            Some((*connection, verdict)).filter(|_| verdict != LivenessStatus::Alive && !keeps)
        };
        let mut verdicts: Vec<(ConnectionId, LivenessStatus)> =
            server.links.iter().filter_map(verdict_of).collect();
        if verdicts.is_empty() {
            return;
        }
        let with_calls = self.calls.links_of_standing_at(pool);
        verdicts.retain(|(connection, _)| with_calls.contains(connection));
        for (connection, verdict) in verdicts {
            match verdict {
                LivenessStatus::ProbeDue if self.servers.asking == ProbeMethod::Test => {
                    self.test_on(now, connection)
                }
                LivenessStatus::Dead => {
                    self.drop_link(now, connection, "silent, while its server speaks on another");
                    // What the server could not say there it says on the next one that is made.
                    self.dial(now, pool);
                }
                LivenessStatus::ProbeDue | LivenessStatus::Alive => {}
            }
        }
    }

    /// Asks a silent server for a word: on the connection that has been silent longest, and on a new one where none is
    /// sound any more.
    fn ask_server(&mut self, now: f64, pool: PoolId) {
        let Some(server) = self.servers.all.get_mut(&pool) else { return };
        server.liveness.probe_sent(now);
        let links = server.links.iter().filter_map(|c| Some((*c, self.servers.links.get(c)?)));
        let up = links.filter(|(_, link)| link.state == LinkState::Up);
        let unasked = up.filter(|(_, link)| link.unanswered_since().is_none());
        let longest = unasked.min_by(|(_, a), (_, b)| a.heard_at.total_cmp(&b.heard_at)).map(|(c, _)| c);
        if let Some(connection) = longest.filter(|_| self.servers.asking == ProbeMethod::Test) {
            self.test_on(now, connection);
        }
        let none_sound = self.servers.best_link(now, pool, self.dial_within).is_none();
        if none_sound || self.servers.asking == ProbeMethod::Dial {
            self.dial(now, pool);
        }
    }

    /// Nothing has been heard of a server for so long that its calls are over, whatever became of it. It may only be cut
    /// off: should it be heard again, it is told of their ends.
    fn server_silent(&mut self, now: f64, pool: PoolId) {
        let standing = self.calls.standing_at(pool);
        let ids: Vec<u64> = standing.iter().filter_map(|ue| self.calls.by_ue(*ue).map(|c| c.id)).collect();
        let name = self.server_name(pool).to_string();
        self.log_info("server silent", name, format!("{} calls stand there", ids.len()));
        self.counters.calls_at_silent_servers += ids.len() as u64;
        self.ends_at(now, pool, "its server is silent");
        if let Some(server) = self.servers.all.get_mut(&pool) {
            let room = MOST_OWED.saturating_sub(server.owed.len());
            server.owed.extend(ids.into_iter().take(room).map(|id| (id, CUT)));
        }
    }

    /// A connection came up to another process than the one heard before, at the same address: what stood there is over,
    /// and older connections lead nowhere.
    pub(crate) fn process_replaced(&mut self, now: f64, pool: PoolId, newest: ConnectionId) {
        let older = self.servers.all.get(&pool).map(|s| s.links.clone()).unwrap_or_default();
        for connection in older.into_iter().filter(|c| *c != newest) {
            let is_up = self.servers.links.get(&connection).is_some_and(|l| l.state == LinkState::Up);
            if is_up {
                self.drop_link(now, connection, "another process is at its address");
            }
        }
        self.process_gone(now, pool, "another process is at its server's address");
    }

    /// Guards standing calls against a process that ends without a sign on some of its links: it is asked for a word on
    /// those that are left, and where nobody is there the word is refused.
    pub(crate) fn ask_other_links(&mut self, now: f64, pool: PoolId) {
        let Some(server) = self.servers.all.get(&pool).filter(|s| s.standing > 0) else { return };
        if self.servers.asking == ProbeMethod::Dial {
            return;
        }
        for connection in server.links.clone() {
            if self.servers.links.get(&connection).is_some_and(|l| l.state == LinkState::Up) {
                self.test_on(now, connection);
            }
        }
    }

    /// Tells a server on a link that is up which calls are over, where no link could take the word before.
    pub(crate) fn send_owed(&mut self, pool: PoolId, connection: ConnectionId) {
        let Some(server) = self.servers.all.get_mut(&pool) else { return };
        for (id, cause) in std::mem::take(&mut server.owed) {
            self.out.push_back(Output::Write { connection, bytes: lines::release(id, cause) });
        }
    }
}
