//! Log records: every change of state, and the reason for each close, retry and refusal, with the id of the
//! call, server or connection concerned.

use crate::edge::{ConnectionId, Edge, Output};
use shalespindle_control::interface::PoolId;

/// The importance of a record to an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// A change of state, or an event outside the normal course.
    Info,
    /// A step in the normal course of a call.
    Debug,
}

/// What happened, to which call, server or connection, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    pub level: LogLevel,
    pub event: &'static str,
    pub subject: String,
    pub reason: String,
}

/// How the log names a call: by its id on the wire.
pub(crate) fn call_subject(id: u64) -> String {
    format!("{id:016x}")
}

/// How the log names a connection.
pub(crate) fn connection_subject(connection: ConnectionId) -> String {
    format!("connection {connection}")
}

impl Edge {
    pub(crate) fn log_info(
        &mut self,
        event: &'static str,
        subject: impl ToString,
        reason: impl Into<String>,
    ) {
        self.log(LogLevel::Info, event, subject.to_string(), reason.into());
    }

    pub(crate) fn log_debug(
        &mut self,
        event: &'static str,
        subject: impl ToString,
        reason: impl Into<String>,
    ) {
        self.log(LogLevel::Debug, event, subject.to_string(), reason.into());
    }

    pub(crate) fn log(&mut self, level: LogLevel, event: &'static str, subject: String, reason: String) {
        self.outputs.push_back(Output::Log(LogRecord { level, event, subject, reason }));
    }

    /// The name of a listed server.
    pub(crate) fn server_name(&self, pool: PoolId) -> &str {
        self.servers.all.get(&pool).map_or("a server no longer listed", |server| server.id.as_str())
    }
}
