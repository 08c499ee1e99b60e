//! Writes requests and responses. Values come from parsed messages or from the router itself; line breaks
//! in them are turned into spaces, so that no peer can smuggle a header through another one's message.

use crate::message::{Message, Method};
use std::fmt::Write;

/// A message under construction; [`Writer::finish`] adds Content-Length and the empty line.
pub struct Writer(String);

impl Writer {
    pub fn request(method: Method, uri: &str) -> Writer {
        let mut out = String::with_capacity(512);
        out.push_str(method.name());
        out.push(' ');
        out.push_str(uri);
        out.push_str(" SIP/2.0\r\n");
        Writer(out)
    }

    pub fn status(status: u16) -> Writer {
        let mut out = String::with_capacity(512);
        let _ = write!(out, "SIP/2.0 {status} {}\r\n", reason(status));
        Writer(out)
    }

    /// A response to a request: Via lines, From, To, Call-ID and CSeq copied (RFC 3261 section 8.2.6);
    /// `tag` is added to a To that has none.
    pub fn response(status: u16, request: &Message, tag: &str) -> Writer {
        let mut out = Writer::status(status);
        for header in &request.headers {
            let name = header.name;
            if name.eq_ignore_ascii_case("Via") || name.eq_ignore_ascii_case("v") {
                out = out.with("Via", header.value);
            }
        }
        for name in ["From", "To", "Call-ID", "CSeq"] {
            let Some(value) = request.header(name) else { continue };
            if name == "To" && status > 100 && !tag.is_empty() && crate::message::tag(value).is_none() {
                out = out.with_args(name, format_args!("{value};tag={tag}"));
            } else {
                out = out.with(name, value);
            }
        }
        out
    }

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

    /// For values that the router itself makes up.
    pub fn with_args(mut self, name: &str, value: std::fmt::Arguments<'_>) -> Writer {
        let _ = write!(self.0, "{name}: {value}\r\n");
        self
    }

    /// Retry-After in whole seconds, rounded up, with our parameter `ms` for what lies between.
    pub fn retry_after(self, seconds: f64) -> Writer {
        let ms = (seconds * 1000.0).ceil().max(0.0) as u64;
        self.with_args("Retry-After", format_args!("{};ms={ms}", ms.div_ceil(1000).max(1)))
    }

    pub fn finish(mut self) -> Vec<u8> {
        self.0.push_str("Content-Length: 0\r\n\r\n");
        self.0.into_bytes()
    }
}

/// The reason phrase of a status (RFC 3261 section 21).
pub fn reason(status: u16) -> &'static str {
    match status {
        100 => "Trying",
        180 => "Ringing",
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        480 => "Temporarily Unavailable",
        481 => "Call/Transaction Does Not Exist",
        482 => "Loop Detected",
        483 => "Too Many Hops",
        486 => "Busy Here",
        487 => "Request Terminated",
        500 => "Server Internal Error",
        503 => "Service Unavailable",
        505 => "Version Not Supported",
        _ => "Status",
    }
}
