//! The pool list of a front. The feed sends JSON lines (schema by `shalespindle schema --feed`), each a whole
//! list or a set of changes, which become entries for the membership module.
//!
//! The feed may stop, repeat itself, send invalid lines or go backwards. Lines older than the last accepted
//! one are rejected, invalid lines are counted, and without a feed the last known list stays in use. Ages are
//! relative (`age_ms`), so clocks need not agree. A restarted server has a higher `incarnation`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use shalespindle_membership::{ListEntry, ReportedState};
use std::net::SocketAddr;

/// Maximum length of a line, bytes. A longer line ends the connection.
pub const MAX_LINE_BYTES: usize = 1 << 20;
/// Maximum number of servers in a line.
pub const MAX_SERVERS: usize = 10_000;

/// One line of the feed.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// Identifies one run of the feed. It never decreases; a feed that restarts takes a higher one.
    pub epoch: u64,
    /// Counts the lines of an epoch. It never decreases either.
    pub sequence: u64,
    /// True: `servers` is the complete list. False: it holds only those that changed.
    pub whole: bool,
    pub servers: Vec<Server>,
}

/// The state of one server in the feed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Server {
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// The pool's number, by which procedures and trunk groups refer to it.
    pub pool: u16,
    pub state: ServerState,
    /// Counts the starts of its processor. It never decreases.
    pub incarnation: u64,
    /// Milliseconds from that start to the writing of the line; absent: long ago.
    #[serde(default)]
    pub age_ms: Option<u64>,
}

/// Returns the JSON schema of a line of the feed.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Line).to_value()
}

/// State of a server: ready for new attaches, draining, or gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    Ready,
    Draining,
    Gone,
}

/// The content of an accepted line.
#[derive(Clone, Debug, Default)]
pub struct ListUpdate {
    pub whole: bool,
    pub servers: Vec<ListEntry>,
}

/// Why a line was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejectedLine {
    /// Not JSON, not of the schema, or with values out of range.
    Invalid(String),
    /// Not newer than the last accepted line.
    Outdated { epoch: u64, sequence: u64 },
}

/// Reads the feed's bytes and tracks the position of the last accepted line.
#[derive(Debug, Default)]
pub struct PoolList {
    bytes: Vec<u8>,
    /// Epoch and sequence number of the last accepted line.
    last_position: Option<(u64, u64)>,
}

impl PoolList {
    /// Discards a partial line: a new connection begins at the start of a line.
    pub fn connected(&mut self) {
        self.bytes.clear();
    }

    /// Adds bytes of the feed. Returns false if a line is too long and the connection must end.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.bytes.extend_from_slice(bytes);
        self.bytes.len() <= MAX_LINE_BYTES || self.bytes.contains(&b'\n')
    }

    /// Returns the content of the next complete line, if there is one.
    pub fn next_line(&mut self, now: f64) -> Option<Result<ListUpdate, RejectedLine>> {
        let end = self.bytes.iter().position(|&b| b == b'\n')?;
        let line: Vec<u8> = self.bytes.drain(..=end).collect();
        let line = line.trim_ascii();
        if line.is_empty() {
            return self.next_line(now);
        }
        Some(self.accept(now, line))
    }

    fn accept(&mut self, now: f64, line: &[u8]) -> Result<ListUpdate, RejectedLine> {
        let line: Line = serde_json::from_slice(line).map_err(|e| RejectedLine::Invalid(e.to_string()))?;
        if line.servers.len() > MAX_SERVERS {
            return Err(RejectedLine::Invalid(format!(
                "{} servers; {MAX_SERVERS} at most",
                line.servers.len()
            )));
        }
        let position = (line.epoch, line.sequence);
        // An outdated line could undo a drain. A whole list at the same position is the ordinary first line
        // after a reconnect and brings no change.
        if self.last_position.is_some_and(|last| position <= last) {
            return Err(RejectedLine::Outdated { epoch: line.epoch, sequence: line.sequence });
        }
        // A new epoch has no earlier state to change, so it must begin with a whole list.
        if !line.whole && self.last_position.map(|l| l.0) != Some(line.epoch) {
            return Err(RejectedLine::Invalid(format!("epoch {} begins without a whole list", line.epoch)));
        }
        self.last_position = Some(position);
        let servers = line.servers.iter().map(|server| to_listed(now, server)).collect();
        Ok(ListUpdate { whole: line.whole, servers })
    }
}

fn to_listed(now: f64, server: &Server) -> ListEntry {
    ListEntry {
        address: server.address,
        pool: server.pool,
        state: match server.state {
            ServerState::Ready => ReportedState::Ready,
            ServerState::Draining => ReportedState::Draining,
            ServerState::Gone => ReportedState::Gone,
        },
        incarnation: server.incarnation,
        started: match server.age_ms {
            Some(age) => (now - age as f64 / 1000.0).max(f64::MIN_POSITIVE),
            None => 0.0,
        },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(epoch: u64, sequence: u64, whole: bool, servers: &[(u16, &str, u64)]) -> String {
        let server = |(port, state, incarnation): &(u16, &str, u64)| {
            format!(
                r#"{{"address":"127.0.0.1:{port}","pool":{port},"state":"{state}","incarnation":{incarnation},"age_ms":500}}"#
            )
        };
        let servers: Vec<String> = servers.iter().map(server).collect();
        format!(
            "{{\"epoch\":{epoch},\"sequence\":{sequence},\"whole\":{whole},\"servers\":[{}]}}\n",
            servers.join(",")
        )
    }

    fn accepted(list: &mut PoolList, text: &str) -> Result<ListUpdate, RejectedLine> {
        assert!(list.push(text.as_bytes()));
        list.next_line(100.0).expect("a complete line")
    }

    #[test]
    fn a_line_becomes_server_records() {
        let mut list = PoolList::default();
        let update = accepted(&mut list, &line(1, 1, true, &[(1, "ready", 3), (2, "draining", 1)])).unwrap();
        let states: Vec<ReportedState> = update.servers.iter().map(|s| s.state).collect();
        assert_eq!((update.whole, states), (true, vec![ReportedState::Ready, ReportedState::Draining]));
        assert_eq!((update.servers[0].started, update.servers[0].incarnation), (99.5, 3));
    }

    #[test]
    fn repeated_and_outdated_lines_are_rejected() {
        let mut list = PoolList::default();
        accepted(&mut list, &line(2, 5, true, &[(1, "ready", 1)])).unwrap();
        accepted(&mut list, &line(2, 6, false, &[(1, "draining", 1)])).unwrap();
        for (epoch, sequence) in [(2, 6), (2, 5), (1, 99)] {
            let rejected = accepted(&mut list, &line(epoch, sequence, true, &[(1, "ready", 1)])).unwrap_err();
            assert_eq!(rejected, RejectedLine::Outdated { epoch, sequence });
        }
        assert!(matches!(
            accepted(&mut list, &line(3, 1, false, &[(1, "ready", 1)])),
            Err(RejectedLine::Invalid(_))
        ));
        accepted(&mut list, &line(3, 1, true, &[(1, "ready", 1)])).unwrap();
    }

    #[test]
    fn invalid_lines_are_rejected_and_line_length_is_bounded() {
        let mut list = PoolList::default();
        for text in [
            "nonsense\n",
            "{}\n",
            "[1,2]\n",
            "{\"epoch\":1,\"sequence\":1,\"whole\":true,\"servers\":[{\"address\":\"x\"}]}\n",
        ] {
            assert!(matches!(accepted(&mut list, text), Err(RejectedLine::Invalid(_))), "{text}");
        }
        assert!(list.next_line(0.0).is_none());
        assert!(!list.push(&vec![b'x'; MAX_LINE_BYTES + 1]));
    }
}
