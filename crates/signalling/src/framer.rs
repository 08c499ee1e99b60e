//! Cuts a TCP stream into messages by Content-Length (RFC 3261 section 18.3, RFC 5626 keep-alives).

use crate::message::{head_end, LONGEST_BODY, LONGEST_HEAD};

/// Why a stream cannot be followed any more; its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("a head without end")]
    Head,
    #[error("no Content-Length, or one that is no number or too large")]
    Length,
}

/// Bytes of one connection that are not yet a whole message. Holds at most one message and one read.
#[derive(Debug)]
pub struct Framer {
    bytes: Vec<u8>,
    from: usize,
    longest_body: usize,
}

impl Default for Framer {
    fn default() -> Framer {
        Framer::with_longest_body(LONGEST_BODY)
    }
}

impl Framer {
    /// For peers that agreed on less: a longer body is refused as soon as its length is read.
    pub fn with_longest_body(longest_body: usize) -> Framer {
        Framer { bytes: Vec::new(), from: 0, longest_body: longest_body.min(LONGEST_BODY) }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        if self.from > 0 {
            self.bytes.drain(..self.from);
            self.from = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Bytes held.
    pub fn held(&self) -> usize {
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
            return if rest.len() > LONGEST_HEAD { Err(FrameError::Head) } else { Ok(None) };
        };
        let length = content_length(&rest[..end]).ok_or(FrameError::Length)?;
        if length > self.longest_body {
            return Err(FrameError::Length);
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
            assert_eq!((got, framer.held()), (2, 0), "reads of {step} bytes");
        }
    }

    #[test]
    fn endless_heads_and_bad_lengths_end_the_stream() {
        let fails = |bytes: &[u8]| {
            let mut framer = Framer::default();
            framer.push(bytes);
            framer.next_frame().map(|f| f.is_some())
        };
        assert_eq!(fails(&[b'x'; LONGEST_HEAD + 1]), Err(FrameError::Head));
        assert_eq!(fails(b"BYE sip:a SIP/2.0\r\nA: b\r\n\r\n"), Err(FrameError::Length));
        assert_eq!(fails(b"BYE sip:a SIP/2.0\r\nl: 99999999\r\n\r\n"), Err(FrameError::Length));
        assert_eq!(fails(b"BYE sip:a SIP/2.0\r\nl: -1\r\n\r\n"), Err(FrameError::Length));
        let mut small = Framer::with_longest_body(2);
        small.push(b"BYE sip:a SIP/2.0\r\nl: 3\r\n\r\n");
        assert_eq!(small.next_frame(), Err(FrameError::Length));
    }
}
