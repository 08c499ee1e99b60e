//! JSON lines exchanged with signalling servers.

use crate::limits::MAX_MESSAGE_BYTES;
use memchr::memchr;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use shalespindle_control::interface::{EndReason, Report};
use shalespindle_startup::ReportLayout;
use std::borrow::Cow;

/// Splits the bytes of one connection into lines.
#[derive(Default)]
pub struct LineFramer {
    bytes: Vec<u8>,
    start: usize,
    searched: usize,
}

/// A line exceeds [`MAX_MESSAGE_BYTES`].
#[derive(Debug, PartialEq, Eq)]
pub struct TooLong;

impl LineFramer {
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.start);
        self.searched -= self.start;
        self.start = 0;
        self.bytes.extend_from_slice(bytes);
    }

    pub fn next_line(&mut self) -> Result<Option<&[u8]>, TooLong> {
        let Some(end) = memchr(b'\n', &self.bytes[self.searched..]).map(|at| self.searched + at) else {
            self.searched = self.bytes.len();
            return if self.searched - self.start > MAX_MESSAGE_BYTES { Err(TooLong) } else { Ok(None) };
        };
        let start = self.start;
        (self.start, self.searched) = (end + 1, end + 1);
        if end - start > MAX_MESSAGE_BYTES {
            Err(TooLong)
        } else {
            Ok(Some(&self.bytes[start..end]))
        }
    }
}

/// The type of a line from a signalling server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Answer,
    Release,
    Ping,
    Pong,
    State,
    /// Progress, the confirmation of a release, or any type that the front ignores.
    Other,
}

/// A parsed line from a signalling server.
#[derive(Debug, PartialEq)]
pub struct Line<'a> {
    pub kind: Kind,
    /// Id of the call or probe; none if the line belongs to neither.
    pub id: Option<u64>,
    pub cause: u16,
    pub note: Option<String>,
    load: Option<String>,
    pub description: Cow<'a, str>,
}

#[derive(Deserialize)]
struct WireLine<'a> {
    #[serde(borrow, rename = "type")]
    kind: Cow<'a, str>,
    #[serde(borrow, default)]
    id: Cow<'a, str>,
    #[serde(default)]
    fields: Fields,
    cause: Option<u16>,
    #[serde(borrow)]
    sdp: Option<Cow<'a, str>>,
}

#[derive(Default, Deserialize)]
struct Fields {
    note: Option<Value>,
    load: Option<Value>,
}

fn text(value: Option<Value>) -> Option<String> {
    match value? {
        Value::String(text) => Some(text),
        other => Some(other.to_string()),
    }
}

/// Parses exactly sixteen lower-case hex digits, so that an id is written again as it was read.
pub fn call_id(text: &str) -> Option<u64> {
    let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    (text.len() == 16 && text.bytes().all(hex)).then(|| u64::from_str_radix(text, 16).ok())?
}

/// Parses a line; none if it is malformed or lacks a required field.
pub fn read(line: &[u8]) -> Option<Line<'_>> {
    let wire: WireLine = serde_json::from_slice(line).ok()?;
    let kind = match &*wire.kind {
        "answer" => Kind::Answer,
        "release" => Kind::Release,
        "ping" => Kind::Ping,
        "pong" => Kind::Pong,
        "state" => Kind::State,
        _ => Kind::Other,
    };
    let id = call_id(&wire.id);
    if matches!(kind, Kind::Answer | Kind::Release | Kind::Pong) && id.is_none()
        || kind == Kind::Answer && wire.sdp.is_none()
        || matches!(kind, Kind::Release | Kind::Pong) && wire.cause.is_none()
    {
        return None;
    }
    Some(Line {
        kind,
        id,
        cause: wire.cause.unwrap_or(0),
        note: text(wire.fields.note),
        load: text(wire.fields.load),
        description: wire.sdp.unwrap_or_default(),
    })
}

impl Line<'_> {
    /// The sender's reported load, limited to the values named in the settings.
    pub fn report(&self, layout: &ReportLayout) -> Report {
        let mut report = Report::default();
        for (name, value) in self.load.iter().flat_map(|l| l.split(';')).filter_map(|p| p.split_once(':')) {
            let Some(value) = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0) else {
                continue;
            };
            match name.trim() {
                "x0" | "free" if layout.free_agents_index.is_some() => report.free_agents = Some(value),
                "x1" | "size" if layout.agents_index.is_some() => report.agents = Some(value),
                "latency_ms" if layout.wait_index.is_some() => report.wait = Some(value / 1000.0),
                _ => {}
            }
        }
        report
    }

    /// How a release before the answer ends a setup try.
    pub fn end_reason(&self) -> EndReason {
        match (self.cause, self.note.as_deref()) {
            (34, Some("congestion")) => EndReason::NoAgent,
            (34, _) => EndReason::Throttled { wait: None },
            (17 | 47, _) => EndReason::Rejected,
            (102, _) => EndReason::Unreached,
            _ => EndReason::Cut,
        }
    }
}

#[derive(Serialize)]
struct SetUp<'a> {
    #[serde(rename = "type")]
    kind: &'a str,
    id: &'a str,
    fields: SetUpFields<'a>,
    sdp: &'a str,
}

#[derive(Serialize)]
struct SetUpFields<'a> {
    class: &'a str,
    left: &'a str,
    key: &'a str,
}

#[derive(Serialize)]
struct PlainLine<'a> {
    #[serde(rename = "type")]
    kind: &'a str,
    id: &'a str,
    fields: NoFields,
    #[serde(skip_serializing_if = "Option::is_none")]
    cause: Option<u16>,
}

#[derive(Serialize)]
struct NoFields {}

fn line(value: &impl Serialize) -> Vec<u8> {
    // Only strings and numbers, so serialising to memory cannot fail.
    let mut bytes = serde_json::to_vec(value).unwrap_or_default();
    bytes.push(b'\n');
    bytes
}

/// A set-up: call id, procedure, called number, time left in seconds, description.
pub fn set_up(id: u64, class: &str, number: &str, left: f64, description: &str) -> Vec<u8> {
    let left = format!("{}", (left * 1000.0).floor().max(1.0) as u64);
    let fields = SetUpFields { class, left: &left, key: number };
    line(&SetUp { kind: "setup", id: &format!("{id:016x}"), fields, sdp: description })
}

/// Whether a set-up is no longer than a message may be; `left` is the longest time left that is written.
pub fn set_up_fits(class: &str, number: &str, left: f64, description: &str) -> bool {
    /// Size of a line without its texts, which is below this, bytes.
    const MAX_OVERHEAD: usize = 160;
    /// Size of the longest escape sequence, `\u0000`, bytes.
    const MAX_ESCAPED: usize = 6;
    let texts = class.len() + number.len() + description.len();
    let surely_fits = MAX_OVERHEAD + MAX_ESCAPED * texts <= MAX_MESSAGE_BYTES;
    surely_fits || set_up(0, class, number, left, description).len() <= MAX_MESSAGE_BYTES
}

pub fn release(id: u64, cause: u16) -> Vec<u8> {
    line(&PlainLine { kind: "release", id: &format!("{id:016x}"), fields: NoFields {}, cause: Some(cause) })
}

pub fn released(id: u64) -> Vec<u8> {
    line(&PlainLine { kind: "released", id: &format!("{id:016x}"), fields: NoFields {}, cause: None })
}

/// A probe that asks the server for a report.
pub fn ping(id: u64) -> Vec<u8> {
    line(&PlainLine { kind: "ping", id: &format!("{id:016x}"), fields: NoFields {}, cause: Some(1) })
}

pub fn pong(id: u64) -> Vec<u8> {
    line(&PlainLine { kind: "pong", id: &format!("{id:016x}"), fields: NoFields {}, cause: Some(1) })
}

#[cfg(test)]
#[path = "lines_tests.rs"]
mod tests;
