//! Writes requests and responses. Values come from parsed messages or from the router itself; line breaks in
//! them are replaced by spaces, so that a peer cannot inject headers into the router's messages.

use crate::grammar::compact;
use crate::message::{head_end, tag, Message, Method};
use std::fmt::Write;

/// The header lines that every response to one request repeats (RFC 3261 section 8.2.6.2): Via, From, To
/// with the responder's tag, Call-ID and CSeq. Stored instead of the request.
#[derive(Clone, Debug)]
pub struct ResponseHead(Box<str>);

impl ResponseHead {
    /// No header lines, for a response where the request's head is not known.
    pub fn empty() -> ResponseHead {
        ResponseHead(Box::default())
    }

    /// The header lines for a request that could not be parsed, as far as they can be read: without them its
    /// sender could not match the response.
    pub fn for_unparsed(frame: &[u8]) -> ResponseHead {
        let head = head_end(frame).map_or(frame, |end| &frame[..end]);
        let lines = head.split(|byte| *byte == b'\n').filter_map(|line| std::str::from_utf8(line).ok());
        let mut out = Writer::lines();
        for (name, value) in lines.filter_map(|line| line.split_once(':')) {
            let matches = |long: &&str| {
                let is_compact =
                    compact(long).is_some_and(|short| short.eq_ignore_ascii_case(name.trim_end()));
                is_compact || long.eq_ignore_ascii_case(name.trim_end())
            };
            if let Some(long) = ["Via", "From", "To", "Call-ID", "CSeq"].into_iter().find(matches) {
                out = out.with(long, value.trim());
            }
        }
        ResponseHead(out.into_lines())
    }

    /// Size of the header lines, bytes.
    pub fn size(&self) -> usize {
        self.0.len()
    }

    /// The header lines for a request. `own_tag` is added to a To without a tag, unless it is empty.
    pub fn for_request(request: &Message, own_tag: &str) -> ResponseHead {
        let mut out = Writer(String::with_capacity(384));
        for header in &request.headers {
            if header.name.eq_ignore_ascii_case("Via") || header.name.eq_ignore_ascii_case("v") {
                out = out.with("Via", header.value);
            }
        }
        for name in ["From", "To", "Call-ID", "CSeq"] {
            let Some(value) = request.header(name) else { continue };
            out = out.with(name, value);
            if name == "To" && !own_tag.is_empty() && tag(value).is_none() {
                out.0.truncate(out.0.len() - 2);
                let _ = write!(out.0, ";tag={own_tag}\r\n");
            }
        }
        ResponseHead(out.0.into_boxed_str())
    }
}

/// A message under construction; [`Writer::finish`] adds Content-Length and the empty line.
pub struct Writer(String);

impl Writer {
    /// Starts a request.
    pub fn request(method: Method, uri: &str) -> Writer {
        let mut out = String::with_capacity(512);
        out.push_str(method.name());
        out.push(' ');
        out.push_str(uri);
        out.push_str(" SIP/2.0\r\n");
        Writer(out)
    }

    /// Starts a response.
    pub fn response(status: u16, head: &ResponseHead) -> Writer {
        let mut out = String::with_capacity(head.0.len() + 160);
        let _ = write!(out, "SIP/2.0 {status} {}\r\n", reason_phrase(status));
        out.push_str(&head.0);
        Writer(out)
    }

    /// Adds a header line; line breaks in the value become spaces.
    pub fn with(mut self, name: &str, value: &str) -> Writer {
        self.0.push_str(name);
        self.0.push_str(": ");
        if value.contains(['\r', '\n']) {
            self.0.extend(value.chars().map(|c| if c == '\r' || c == '\n' { ' ' } else { c }));
        } else {
            self.0.push_str(value);
        }
        self.0.push_str("\r\n");
        self
    }

    /// Adds a header line with a formatted value, which must not contain line breaks.
    pub fn with_args(mut self, name: &str, value: std::fmt::Arguments<'_>) -> Writer {
        let _ = write!(self.0, "{name}: {value}\r\n");
        self
    }

    /// Adds header lines that another `Writer` wrote.
    pub fn with_lines(mut self, lines: &str) -> Writer {
        self.0.push_str(lines);
        self
    }

    /// Starts a set of header lines without a message, for [`Writer::with_lines`].
    pub fn lines() -> Writer {
        Writer(String::new())
    }

    /// Returns the header lines started by [`Writer::lines`].
    pub fn into_lines(self) -> Box<str> {
        self.0.into_boxed_str()
    }

    /// Adds Retry-After in whole seconds, rounded up, and the exact value in the router's own parameter `ms`
    /// (RFC 3261 section 20.33 allows parameters).
    pub fn retry_after(self, seconds: f64) -> Writer {
        let ms = (seconds * 1000.0).ceil().max(0.0) as u64;
        self.with_args("Retry-After", format_args!("{};ms={ms}", ms.div_ceil(1000).max(1)))
    }

    /// Ends a message without a body.
    pub fn finish(self) -> Vec<u8> {
        self.finish_with(b"")
    }

    /// Ends a message with a body.
    pub fn finish_with(mut self, body: &[u8]) -> Vec<u8> {
        let _ = write!(self.0, "Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = self.0.into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }
}

/// The reason phrase of a status (RFC 3261 section 21); `Status` for statuses that the router does not send.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Trying",
        180 => "Ringing",
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Request Entity Too Large",
        480 => "Temporarily Unavailable",
        481 => "Call/Transaction Does Not Exist",
        482 => "Loop Detected",
        483 => "Too Many Hops",
        486 => "Busy Here",
        487 => "Request Terminated",
        488 => "Not Acceptable Here",
        500 => "Server Internal Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Server Time-out",
        513 => "Message Too Large",
        _ => "Status",
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_response_to_an_unparsed_request_repeats_the_lines_that_can_be_read() {
        let text =
            b"INVITE sip:a SIP/2.0\r\nv: SIP/2.0/TCP peer\r\nno colon\r\nFrom: \xff\r\nCall-ID : c\r\n\
            CSeq: 1 INVITE\r\nX-Free: 1\r\n\r\nTo: body";
        assert!(Message::parse(text).is_err());
        let bytes = Writer::response(400, &ResponseHead::for_unparsed(text)).finish();
        let answer = Message::parse(&bytes).unwrap();
        let names: Vec<&str> = answer.headers.iter().map(|header| header.name).collect();
        assert_eq!(names, ["Via", "Call-ID", "CSeq", "Content-Length"]);
        assert_eq!((answer.call_id(), answer.cseq()), (Ok("c"), Ok((1, Method::Invite))));
    }

    #[test]
    fn a_folded_value_cannot_inject_a_header() {
        let text =
            "OPTIONS sip:a SIP/2.0\r\nVia: SIP/2.0/UDP h;branch=z9hG4bKb\r\nFrom: <sip:a>\r\n X-Evil: 1\r\n\
            To: <sip:b>\r\nCall-ID: c\r\nCSeq: 1 OPTIONS\r\n\r\n";
        let request = Message::parse(text.as_bytes()).unwrap();
        let bytes =
            Writer::response(200, &ResponseHead::for_request(&request, "own")).retry_after(0.3).finish();
        let answer = Message::parse(&bytes).unwrap();
        assert_eq!(answer.header("X-Evil"), None);
        assert_eq!(answer.to(), Ok("<sip:b>;tag=own"));
        assert_eq!(answer.retry_after(), Some(0.3));
    }
}
