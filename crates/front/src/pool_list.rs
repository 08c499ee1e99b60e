//! The pool list as a front follows it: JSON lines from a feed (schema by `shalespindle schema --feed`),
//! whole lists and changes, turned into what the membership module takes.
//!
//! The feed may stop, repeat itself, send nonsense or go backwards: what is older than what is known is
//! dropped, what cannot be read is counted, and with no feed the last known list stands. Ages are relative
//! (`age_ms`), so no clocks need to agree; a server that started anew is known by its `incarnation`.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use shalespindle_membership::{Listed, Told};
use std::net::SocketAddr;

/// Longest line of the feed, bytes; a longer one ends the connection.
pub const MAX_LINE_BYTES: usize = 1 << 20;
/// Most servers that a list may name.
pub const MAX_SERVERS: usize = 10_000;

/// One line of the feed.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Line {
    /// Names one life of the feed; it never falls. A feed that restarts takes a higher one.
    pub epoch: u64,
    /// Counts the lines of an epoch; it never falls either.
    pub sequence: u64,
    /// True: all servers there are. False: those that changed.
    pub whole: bool,
    pub servers: Vec<Server>,
}

/// What the feed says of one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Server {
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// The pool's number, as procedures and trunk groups name it.
    pub pool: u16,
    pub state: ServerState,
    /// Counts the starts of its processor; it never falls.
    pub incarnation: u64,
    /// Milliseconds since that start when the line was written; absent: long ago.
    #[serde(default)]
    pub age_ms: Option<u64>,
}

/// The JSON schema of a line of the feed.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Line).to_value()
}

/// Whether a processor runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    Ready,
    Draining,
    Gone,
}

/// What a line says.
#[derive(Clone, Debug, Default)]
pub struct ListUpdate {
    pub whole: bool,
    pub servers: Vec<Listed>,
}

/// Why a line was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejectedLine {
    /// Not JSON, not of the schema, or with values out of range.
    Invalid(String),
    /// Older than, or the same as, one already taken.
    Outdated { epoch: u64, sequence: u64 },
}

/// The feed's bytes and how far it has come.
#[derive(Debug, Default)]
pub struct PoolList {
    bytes: Vec<u8>,
    last: Option<(u64, u64)>,
}

impl PoolList {
    /// A new connection begins at the start of a line.
    pub fn connected(&mut self) {
        self.bytes.clear();
    }

    /// Takes bytes of the feed; false when a line is too long to follow and the connection must end.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.bytes.extend_from_slice(bytes);
        self.bytes.len() <= MAX_LINE_BYTES || self.bytes.contains(&b'\n')
    }

    /// The next whole line's news, if there is a whole line.
    pub fn next_line(&mut self, now: f64) -> Option<Result<ListUpdate, RejectedLine>> {
        let end = self.bytes.iter().position(|&b| b == b'\n')?;
        let line: Vec<u8> = self.bytes.drain(..=end).collect();
        let line = line.trim_ascii();
        if line.is_empty() {
            return self.next_line(now);
        }
        Some(self.take(now, line))
    }

    fn take(&mut self, now: f64, line: &[u8]) -> Result<ListUpdate, RejectedLine> {
        let line: Line = serde_json::from_slice(line).map_err(|e| RejectedLine::Invalid(e.to_string()))?;
        if line.servers.len() > MAX_SERVERS {
            return Err(RejectedLine::Invalid(format!(
                "{} servers; {MAX_SERVERS} at most",
                line.servers.len()
            )));
        }
        let position = (line.epoch, line.sequence);
        // Guards against a feed that repeats itself or goes backwards: old news would undo a drain. A whole
        // list of the same position is the ordinary greeting after a reconnect and says nothing new.
        if self.last.is_some_and(|last| position <= last) {
            return Err(RejectedLine::Outdated { epoch: line.epoch, sequence: line.sequence });
        }
        // A new epoch knows nothing of what was: only a whole list can begin it.
        if !line.whole && self.last.map(|l| l.0) != Some(line.epoch) {
            return Err(RejectedLine::Invalid(format!("epoch {} begins without a whole list", line.epoch)));
        }
        self.last = Some(position);
        let servers = line.servers.iter().map(|server| listed(now, server)).collect();
        Ok(ListUpdate { whole: line.whole, servers })
    }
}

fn listed(now: f64, server: &Server) -> Listed {
    Listed {
        address: server.address,
        pool: server.pool,
        told: match server.state {
            ServerState::Ready => Told::Ready,
            ServerState::Draining => Told::Draining,
            ServerState::Gone => Told::Gone,
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
        let one = |(port, state, incarnation): &(u16, &str, u64)| {
            format!(
                r#"{{"address":"127.0.0.1:{port}","pool":{port},"state":"{state}","incarnation":{incarnation},"age_ms":500}}"#
            )
        };
        let servers: Vec<String> = servers.iter().map(one).collect();
        format!(
            "{{\"epoch\":{epoch},\"sequence\":{sequence},\"whole\":{whole},\"servers\":[{}]}}\n",
            servers.join(",")
        )
    }

    fn taken(list: &mut PoolList, text: &str) -> Result<ListUpdate, RejectedLine> {
        assert!(list.push(text.as_bytes()));
        list.next_line(100.0).expect("a whole line")
    }

    #[test]
    fn a_line_becomes_server_records() {
        let mut list = PoolList::default();
        let news = taken(&mut list, &line(1, 1, true, &[(1, "ready", 3), (2, "draining", 1)])).unwrap();
        let told: Vec<Told> = news.servers.iter().map(|s| s.told).collect();
        assert_eq!((news.whole, told), (true, vec![Told::Ready, Told::Draining]));
        assert_eq!((news.servers[0].started, news.servers[0].incarnation), (99.5, 3));
    }

    #[test]
    fn repeated_and_outdated_lines_are_rejected() {
        let mut list = PoolList::default();
        taken(&mut list, &line(2, 5, true, &[(1, "ready", 1)])).unwrap();
        taken(&mut list, &line(2, 6, false, &[(1, "draining", 1)])).unwrap();
        for (epoch, sequence) in [(2, 6), (2, 5), (1, 99)] {
            let dropped = taken(&mut list, &line(epoch, sequence, true, &[(1, "ready", 1)])).unwrap_err();
            assert_eq!(dropped, RejectedLine::Outdated { epoch, sequence });
        }
        assert!(matches!(
            taken(&mut list, &line(3, 1, false, &[(1, "ready", 1)])),
            Err(RejectedLine::Invalid(_))
        ));
        taken(&mut list, &line(3, 1, true, &[(1, "ready", 1)])).unwrap();
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
            assert!(matches!(taken(&mut list, text), Err(RejectedLine::Invalid(_))), "{text}");
        }
        assert!(list.next_line(0.0).is_none());
        assert!(!list.push(&vec![b'x'; MAX_LINE_BYTES + 1]));
    }
}
