//! Server-sent events from an HTTP/1.1 response with a plain or chunked body.

use crate::limits::MAX_MESSAGE_BYTES;
use memchr::{memchr, memchr_iter};

/// Longest response head, bytes; a stream that exceeds it is dropped.
const MAX_HEAD: usize = MAX_MESSAGE_BYTES;
/// Longest event, bytes. It may hold the whole list of servers; a stream that exceeds it is dropped.
const MAX_EVENT: usize = 1 << 20;

/// Why a stream is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    Head,
    Chunk,
    TooLong,
}

enum Body {
    /// The head is not complete yet.
    Head,
    Plain,
    /// Bytes left of the current chunk, including its line end; at 0 a size line follows.
    Chunks(usize),
}

/// Splits the bytes of one response into events. Holds at most one event and one read.
pub struct EventStream {
    body: Body,
    raw: Vec<u8>,
    text: Vec<u8>,
    data: Vec<u8>,
    /// A line of an event that is not complete was received.
    has_event_line: bool,
}

impl Default for EventStream {
    fn default() -> EventStream {
        EventStream {
            body: Body::Head,
            raw: Vec::new(),
            text: Vec::new(),
            data: Vec::new(),
            has_event_line: false,
        }
    }
}

impl EventStream {
    /// Parses bytes and calls `on_event` with the data of each complete event. An event cut off by the end of
    /// the stream is never passed on.
    pub fn push(&mut self, bytes: &[u8], mut on_event: impl FnMut(&[u8])) -> Result<(), StreamError> {
        self.raw.extend_from_slice(bytes);
        if let Body::Head = self.body {
            if !self.head()? {
                return Ok(());
            }
        }
        self.unwrap_body()?;
        let mut from = 0;
        while let Some(end) = memchr(b'\n', &self.text[from..]) {
            let line =
                self.text[from..from + end].strip_suffix(b"\r").unwrap_or(&self.text[from..from + end]);
            from += end + 1;
            self.has_event_line = !line.is_empty() && (self.has_event_line || !line.starts_with(b":"));
            if line.is_empty() {
                if !self.data.is_empty() {
                    on_event(&self.data);
                    self.data.clear();
                }
            } else if let Some(value) = line.strip_prefix(b"data:") {
                if !self.data.is_empty() {
                    self.data.push(b'\n');
                }
                self.data.extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
            }
        }
        self.text.drain(..from);
        // Bounds the memory used by an event that never ends.
        if self.text.len() > MAX_EVENT || self.data.len() > MAX_EVENT {
            return Err(StreamError::TooLong);
        }
        Ok(())
    }

    /// Whether part of an event, of a chunk or of the head has been received without the rest.
    pub fn is_partial(&self) -> bool {
        let within = matches!(self.body, Body::Chunks(left) if left > 0);
        within || !self.raw.is_empty() || !self.text.is_empty() || self.has_event_line
    }

    /// Whether part of an event has been received without the rest; comments do not count.
    pub fn is_within_event(&self) -> bool {
        self.has_event_line || !self.text.is_empty() && !self.text.starts_with(b":")
    }

    /// Whether the head of the response has been received.
    pub fn has_head(&self) -> bool {
        !matches!(self.body, Body::Head)
    }

    fn head(&mut self) -> Result<bool, StreamError> {
        // The size of the head bounds its lines.
        let max_lines = memchr_iter(b'\n', &self.raw[..self.raw.len().min(MAX_HEAD)]).count();
        let mut headers = vec![httparse::EMPTY_HEADER; max_lines];
        let mut response = httparse::Response::new(&mut headers);
        let size = match response.parse(&self.raw) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) if self.raw.len() <= MAX_HEAD => return Ok(false),
            _ => return Err(StreamError::Head),
        };
        if response.code != Some(200) {
            return Err(StreamError::Head);
        }
        let chunked = |h: &httparse::Header| {
            h.name.eq_ignore_ascii_case("transfer-encoding") && h.value.eq_ignore_ascii_case(b"chunked")
        };
        self.body = if response.headers.iter().any(chunked) { Body::Chunks(0) } else { Body::Plain };
        self.raw.drain(..size);
        Ok(true)
    }

    fn unwrap_body(&mut self) -> Result<(), StreamError> {
        let Body::Chunks(left) = &mut self.body else {
            self.text.append(&mut self.raw);
            return Ok(());
        };
        let mut from = 0;
        while from < self.raw.len() {
            if *left > 0 {
                let size = (*left).min(self.raw.len() - from);
                // The last two bytes of a chunk are its line end and not part of the text.
                let text = size.min(left.saturating_sub(2));
                self.text.extend_from_slice(&self.raw[from..from + text]);
                *left -= size;
                from += size;
                continue;
            }
            let Some(end) = memchr(b'\n', &self.raw[from..]) else { break };
            let line = std::str::from_utf8(&self.raw[from..from + end]).map_err(|_| StreamError::Chunk)?;
            let digits = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(digits, 16).map_err(|_| StreamError::Chunk)?;
            if size > MAX_EVENT {
                return Err(StreamError::TooLong);
            }
            *left = size + 2;
            from += end + 1;
        }
        self.raw.drain(..from);
        if self.raw.len() > MAX_HEAD {
            Err(StreamError::Chunk)
        } else {
            Ok(())
        }
    }
}

#[cfg(test)]
#[path = "sse_tests.rs"]
mod tests;
