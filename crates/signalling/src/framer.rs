//! Cuts a TCP stream into messages by Content-Length (RFC 3261 section 18.3, RFC 5626 keep-alives).

use crate::message::{head_end, MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// Why a stream cannot be followed any more; its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("a head without end")]
    HeadTooLong,
    #[error("no Content-Length, or one that is no number or too large")]
    ContentLength,
}

/// Bytes of one connection that are not yet a whole message. Holds at most one message and one read.
#[derive(Debug)]
pub struct Framer {
    bytes: Vec<u8>,
    from: usize,
    max_body: usize,
}

impl Default for Framer {
    fn default() -> Framer {
        Framer::with_max_body(MAX_BODY_BYTES)
    }
}

impl Framer {
    /// For peers that agreed on less: a longer body is refused as soon as its length is read.
    pub fn with_max_body(max_body: usize) -> Framer {
        Framer { bytes: Vec::new(), from: 0, max_body: max_body.min(MAX_BODY_BYTES) }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        if self.from > 0 {
            self.bytes.drain(..self.from);
            self.from = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Bytes held.
    pub fn buffered(&self) -> usize {
        self.bytes.len() - self.from
    }

    /// The next whole message, if there is one.
    pub fn next_frame(&mut self) -> Result<Option<&[u8]>, FrameError> {
        while self.bytes[self.from..].starts_with(b"\r\n") {
            self.from += 2;
        }
        let rest = &self.bytes[self.from..];
        let Some(end) = head_end(rest) else {
            // Guards against a peer that sends a head for ever.
            return if rest.len() > MAX_HEAD_BYTES { Err(FrameError::HeadTooLong) } else { Ok(None) };
        };
        let length = content_length(&rest[..end]).ok_or(FrameError::ContentLength)?;
        if length > self.max_body {
            return Err(FrameError::ContentLength);
        }
        if rest.len() < end + length {
            return Ok(None);
        }
        let from = self.from;
        self.from += end + length;
        Ok(Some(&self.bytes[from..from + end + length]))
    }
}

/// Content-Length of a head that need not be well-formed otherwise; on streams it must be there (20.14).
fn content_length(head: &[u8]) -> Option<usize> {
    let mut from = 0;
    for end in memchr::memchr_iter(b'\n', head).chain([head.len()]) {
        let line = &head[from.min(end)..end];
        from = end + 1;
        if !matches!(line.trim_ascii_start().first(), Some(b'C' | b'c' | b'L' | b'l')) {
            continue;
        }
        let Some(colon) = line.iter().position(|&b| b == b':') else { continue };
        let name = line[..colon].trim_ascii();
        if name.eq_ignore_ascii_case(b"Content-Length") || name.eq_ignore_ascii_case(b"l") {
            return std::str::from_utf8(line[colon + 1..].trim_ascii()).ok()?.parse().ok();
        }
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_are_cut_out_wherever_reads_end() {
        let one = b"OPTIONS sip:a SIP/2.0\r\nContent-Length: 3\r\n\r\nabc";
        let stream = [&b"\r\n\r\n"[..], one, b"\r\n", one].concat();
        for step in 1..stream.len() {
            let mut framer = Framer::default();
            let mut got = 0;
            for part in stream.chunks(step) {
                framer.push(part);
                while let Some(frame) = framer.next_frame().unwrap() {
                    assert_eq!(frame, one);
                    got += 1;
                }
            }
            assert_eq!((got, framer.buffered()), (2, 0), "reads of {step} bytes");
        }
    }

    #[test]
    fn endless_heads_and_bad_lengths_end_the_stream() {
        let fails = |bytes: &[u8]| {
            let mut framer = Framer::default();
            framer.push(bytes);
            framer.next_frame().map(|f| f.is_some())
        };
        assert_eq!(fails(&[b'x'; MAX_HEAD_BYTES + 1]), Err(FrameError::HeadTooLong));
        assert_eq!(fails(b"BYE sip:a SIP/2.0\r\nA: b\r\n\r\n"), Err(FrameError::ContentLength));
        assert_eq!(fails(b"BYE sip:a SIP/2.0\r\nl: 99999999\r\n\r\n"), Err(FrameError::ContentLength));
        assert_eq!(fails(b"BYE sip:a SIP/2.0\r\nl: -1\r\n\r\n"), Err(FrameError::ContentLength));
        let mut small = Framer::with_max_body(2);
        small.push(b"BYE sip:a SIP/2.0\r\nl: 3\r\n\r\n");
        assert_eq!(small.next_frame(), Err(FrameError::ContentLength));
    }
}
