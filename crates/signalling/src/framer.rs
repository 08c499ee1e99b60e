//! Splits a TCP stream into messages by Content-Length (RFC 3261 section 18.3, RFC 5626 keep-alives).

use crate::message::{head_end, MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// Why a stream cannot be split into messages any more; its connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("the head is longer than {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    #[error("Content-Length is missing, not a number, or too large")]
    ContentLength,
}

/// Splits the bytes of one connection into messages. Buffers at most one message and one read.
#[derive(Debug)]
pub struct Framer {
    bytes: Vec<u8>,
    /// Start of the bytes that have not been returned yet.
    start: usize,
    /// Longest message, head and body, bytes.
    max_message: usize,
}

impl Default for Framer {
    fn default() -> Framer {
        Framer::with_max_message(MAX_HEAD_BYTES + MAX_BODY_BYTES)
    }
}

impl Framer {
    /// A framer for peers that agreed on a limit for a whole message, in bytes: a longer one is an error as
    /// soon as its Content-Length is read.
    pub fn with_max_message(max_message: usize) -> Framer {
        Framer { bytes: Vec::new(), start: 0, max_message }
    }

    /// Appends bytes that were read from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.start > 0 {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Number of bytes that have not been returned as part of a message.
    pub fn buffered(&self) -> usize {
        self.bytes.len() - self.start
    }

    /// Memory that is allocated for the buffer, bytes.
    pub fn allocated(&self) -> usize {
        self.bytes.capacity()
    }

    /// Frees the memory of messages that have been returned. Called once all complete messages are taken, so that
    /// a connection holds no more than twice the part of a message that waits for the rest.
    pub fn release_memory(&mut self) {
        self.bytes.drain(..self.start);
        self.start = 0;
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
        } else if self.bytes.capacity() > 2 * self.bytes.len() {
            self.bytes.shrink_to_fit();
        }
    }

    /// Takes the next complete message, if there is one. Line breaks before it (keep-alives) are skipped.
    pub fn next_frame(&mut self) -> Result<Option<&[u8]>, FrameError> {
        while self.bytes[self.start..].starts_with(b"\r\n") {
            self.start += 2;
        }
        let rest = &self.bytes[self.start..];
        let Some(end) = head_end(rest) else {
            // Limits the memory used by a peer that sends an endless head.
            let max_head = self.max_message.min(MAX_HEAD_BYTES);
            return if rest.len() >= max_head { Err(FrameError::HeadTooLong) } else { Ok(None) };
        };
        let length = content_length(&rest[..end]).ok_or(FrameError::ContentLength)?;
        let max_length = self.max_message.saturating_sub(end).min(MAX_BODY_BYTES);
        if length > max_length {
            return Err(FrameError::ContentLength);
        }
        if rest.len() < end + length {
            return Ok(None);
        }
        let start = self.start;
        self.start += end + length;
        Ok(Some(&self.bytes[start..start + end + length]))
    }
}

/// The Content-Length of a head that need not be well-formed otherwise; streams require it (RFC 3261
/// section 20.14).
fn content_length(head: &[u8]) -> Option<usize> {
    let mut from = 0;
    for end in memchr::memchr_iter(b'\n', head).chain([head.len()]) {
        let line = &head[from.min(end)..end];
        from = end + 1;
        // A line that begins with white space continues the header before it (section 7.3.1).
        if !matches!(line.first(), Some(b'C' | b'c' | b'L' | b'l')) {
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
    fn messages_are_found_wherever_reads_end() {
        let one = b"OPTIONS sip:a SIP/2.0\r\nContent-Length: 3\r\n\r\nabc";
        let stream = [&b"\r\n\r\n"[..], one, b"\r\n", one].concat();
        for step in 1..stream.len() {
            let mut framer = Framer::default();
            let mut frames = 0;
            for read in stream.chunks(step) {
                framer.push(read);
                while let Some(frame) = framer.next_frame().unwrap() {
                    assert_eq!(frame, one);
                    frames += 1;
                }
            }
            assert_eq!((frames, framer.buffered()), (2, 0), "reads of {step} bytes");
        }
    }

    #[test]
    fn endless_heads_and_bad_lengths_are_errors() {
        let next_frame = |bytes: &[u8]| {
            let mut framer = Framer::default();
            framer.push(bytes);
            framer.next_frame().map(|f| f.is_some())
        };
        assert_eq!(next_frame(&[b'x'; MAX_HEAD_BYTES + 1]), Err(FrameError::HeadTooLong));
        assert_eq!(next_frame(b"BYE sip:a SIP/2.0\r\nA: b\r\n\r\n"), Err(FrameError::ContentLength));
        assert_eq!(next_frame(b"BYE sip:a SIP/2.0\r\nl: 99999999\r\n\r\n"), Err(FrameError::ContentLength));
        assert_eq!(next_frame(b"BYE sip:a SIP/2.0\r\nl: -1\r\n\r\n"), Err(FrameError::ContentLength));
    }

    /// Guards against the loss of all later messages: a folded header line was taken for Content-Length.
    #[test]
    fn a_continued_header_line_is_not_taken_for_content_length() {
        let message = b"BYE sip:a SIP/2.0\r\nSubject: one\r\n l: 9\r\n\tContent-Length: 8\r\nl: 3\r\n\r\nabc";
        let mut framer = Framer::default();
        framer.push(message);
        assert_eq!(framer.next_frame(), Ok(Some(&message[..])));
    }

    #[test]
    fn a_limit_of_the_whole_message_is_exact_and_bounds_what_is_buffered() {
        let message = b"BYE sip:a SIP/2.0\r\nl: 3\r\n\r\nabc";
        let next_frame = |max_message: usize, bytes: &[u8]| {
            let mut framer = Framer::with_max_message(max_message);
            framer.push(bytes);
            framer.next_frame().map(|f| f.is_some())
        };
        assert_eq!(next_frame(message.len(), message), Ok(true));
        assert_eq!(next_frame(message.len() - 1, message), Err(FrameError::ContentLength));
        // The body need not have arrived.
        assert_eq!(
            next_frame(message.len() - 1, &message[..message.len() - 3]),
            Err(FrameError::ContentLength)
        );
        assert_eq!(next_frame(50, &[b'x'; 49]), Ok(false));
        assert_eq!(next_frame(50, &[b'x'; 50]), Err(FrameError::HeadTooLong));
    }
}
