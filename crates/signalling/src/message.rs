//! A parsed SIP message, which borrows its buffer, and accessors for the headers that a router uses.

use crate::grammar;
use memchr::memmem::Finder;
use smallvec::SmallVec;
use std::fmt;
use std::sync::LazyLock;

/// Maximum size of a message head, bytes. It bounds the number of header lines too, since each has four bytes
/// at least.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a body, bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Why bytes are not a valid SIP message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    #[error("the head is not UTF-8 text")]
    NotUtf8,
    #[error("the head is longer than {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    #[error("no empty line ends the head")]
    UnterminatedHead,
    #[error("the first line is neither a request nor a status line")]
    StartLine,
    #[error("a header line is malformed")]
    MalformedHeader,
    #[error("the header {0} is missing or malformed")]
    RequiredHeader(&'static str),
    #[error("the body is shorter than Content-Length says, or longer than allowed")]
    BodyLength,
}

/// The methods that the router acts on (RFC 3261 section 7.1); others are answered with 405.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Method {
    Invite,
    Ack,
    Bye,
    Cancel,
    Options,
    Other,
}

impl Method {
    /// The method of that name, which is case-sensitive (RFC 3261 section 7.1).
    pub fn from_name(text: &str) -> Method {
        match text {
            "INVITE" => Method::Invite,
            "ACK" => Method::Ack,
            "BYE" => Method::Bye,
            "CANCEL" => Method::Cancel,
            "OPTIONS" => Method::Options,
            _ => Method::Other,
        }
    }

    /// The name on the wire; `OTHER` for methods that the router does not act on.
    pub fn name(self) -> &'static str {
        match self {
            Method::Invite => "INVITE",
            Method::Ack => "ACK",
            Method::Bye => "BYE",
            Method::Cancel => "CANCEL",
            Method::Options => "OPTIONS",
            Method::Other => "OTHER",
        }
    }
}

impl fmt::Display for Method {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The first line of a message: a request line or a status line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start<'a> {
    Request { method: Method, uri: &'a str },
    Response { status: u16, reason: &'a str },
}

/// One header line: its name as written and its value, trimmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header<'a> {
    pub name: &'a str,
    pub value: &'a str,
}

/// A parsed message, which borrows the buffer that it was parsed from.
#[derive(Clone, Debug)]
pub struct Message<'a> {
    pub start: Start<'a>,
    pub headers: SmallVec<[Header<'a>; 24]>,
    pub body: &'a [u8],
}

/// The parts of the topmost Via that match a message to its transaction (RFC 3261 section 17.2.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Via<'a> {
    pub transport: &'a str,
    pub sent_by: &'a str,
    pub branch: &'a str,
}

/// The called number and the trunk group (RFC 4904) of a Request-URI.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CalledParty<'a> {
    pub number: &'a str,
    pub trunk_group: Option<&'a str>,
}

impl<'a> Message<'a> {
    /// Parses one whole message: a datagram, or a frame of [`crate::Framer`]. Bytes after Content-Length are
    /// ignored, as RFC 3261 section 18.3 requires for datagrams.
    pub fn parse(bytes: &'a [u8]) -> Result<Message<'a>, ParseError> {
        let end = head_end(bytes).ok_or(if bytes.len() > MAX_HEAD_BYTES {
            ParseError::HeadTooLong
        } else {
            ParseError::UnterminatedHead
        })?;
        let head = std::str::from_utf8(&bytes[..end]).map_err(|_| ParseError::NotUtf8)?;
        let (start, headers) = grammar::head(head)?;
        let mut message = Message { start, headers, body: &bytes[end..] };
        if let Some(length) = message.content_length()? {
            if length > message.body.len() || length > MAX_BODY_BYTES {
                return Err(ParseError::BodyLength);
            }
            message.body = &message.body[..length];
        }
        Ok(message)
    }

    /// The first header of that name, or of its compact form (RFC 3261 section 7.3.3).
    pub fn header(&self, name: &str) -> Option<&'a str> {
        let compact = grammar::compact(name);
        let matches = |h: &&Header| {
            h.name.eq_ignore_ascii_case(name) || compact.is_some_and(|c| h.name.eq_ignore_ascii_case(c))
        };
        self.headers.iter().find(matches).map(|h| h.value)
    }

    /// The method of a request; none for a response.
    pub fn method(&self) -> Option<Method> {
        match self.start {
            Start::Request { method, .. } => Some(method),
            Start::Response { .. } => None,
        }
    }

    /// The topmost Via.
    pub fn via(&self) -> Result<Via<'a>, ParseError> {
        self.header("Via").and_then(grammar::via).ok_or(ParseError::RequiredHeader("Via"))
    }

    /// The number and the method of CSeq.
    pub fn cseq(&self) -> Result<(u32, Method), ParseError> {
        self.header("CSeq").and_then(grammar::cseq).ok_or(ParseError::RequiredHeader("CSeq"))
    }

    /// The Call-ID.
    pub fn call_id(&self) -> Result<&'a str, ParseError> {
        self.header("Call-ID").filter(|v| !v.is_empty()).ok_or(ParseError::RequiredHeader("Call-ID"))
    }

    /// The value of From.
    pub fn from(&self) -> Result<&'a str, ParseError> {
        self.header("From").filter(|v| !v.is_empty()).ok_or(ParseError::RequiredHeader("From"))
    }

    /// The value of To.
    pub fn to(&self) -> Result<&'a str, ParseError> {
        self.header("To").filter(|v| !v.is_empty()).ok_or(ParseError::RequiredHeader("To"))
    }

    fn content_length(&self) -> Result<Option<usize>, ParseError> {
        let Some(text) = self.header("Content-Length") else { return Ok(None) };
        text.parse().map(Some).map_err(|_| ParseError::RequiredHeader("Content-Length"))
    }

    /// Seconds of Expires (RFC 3261 section 20.19).
    pub fn expires(&self) -> Option<f64> {
        self.header("Expires").and_then(|v| v.parse::<u32>().ok()).map(f64::from)
    }

    /// The value in seconds of one of the router's own headers, which are in milliseconds.
    pub fn millis(&self, name: &str) -> Option<f64> {
        let ms: f64 = self.header(name)?.parse().ok()?;
        (ms.is_finite() && (0.0..=1e9).contains(&ms)).then_some(ms / 1000.0)
    }

    /// The value of one of the router's own headers that hold a count.
    pub fn count(&self, name: &str) -> Option<f64> {
        self.header(name)?.parse::<u32>().ok().map(f64::from)
    }

    /// Seconds of Retry-After (RFC 3261 section 20.33); the router's own parameter `ms` takes precedence
    /// over the whole seconds.
    pub fn retry_after(&self) -> Option<f64> {
        self.header("Retry-After").and_then(grammar::retry_after)
    }

    /// The Q.850 cause of a Reason header (RFC 3326), if there is one.
    pub fn q850_cause(&self) -> Option<u16> {
        let value = self.header("Reason")?;
        value.get(..5).filter(|p| p.eq_ignore_ascii_case("Q.850"))?;
        grammar::parameter(value, "cause")?.parse().ok()
    }

    /// The sender's UUID of Session-ID (RFC 7989 section 5), which identifies an attach on every leg.
    pub fn session_id(&self) -> Option<&'a str> {
        let value = self.header("Session-ID")?;
        let uuid = value.split(';').next()?.trim();
        (uuid.len() == 32 && uuid.bytes().all(|b| b.is_ascii_hexdigit())).then_some(uuid)
    }

    /// The called number and the trunk group of a request's URI.
    pub fn called_party(&self) -> Option<CalledParty<'a>> {
        match self.start {
            Start::Request { uri, .. } => grammar::called_party(uri),
            Start::Response { .. } => None,
        }
    }
}

/// Length of the head including its empty line; none if that is not among the bytes that a head may have.
pub(crate) fn head_end(bytes: &[u8]) -> Option<usize> {
    // The search stops at the maximum head size, so that long invalid input is not scanned on every read.
    let limit = bytes.len().min(MAX_HEAD_BYTES);
    static EMPTY_LINE: LazyLock<Finder> = LazyLock::new(|| Finder::new("\r\n\r\n"));
    EMPTY_LINE.find(&bytes[..limit]).map(|at| at + 4)
}

/// The parameter `tag` of a From or To value (RFC 3261 section 19.3).
pub fn tag(value: &str) -> Option<&str> {
    let after = value.rfind('>').map_or(value, |at| &value[at..]);
    grammar::parameter(after, "tag")
}

/// The host of the address in a From, To or Contact value.
pub fn host(value: &str) -> Option<&str> {
    let uri = address(value);
    let rest = uri.split_once(':')?.1;
    let host = rest.rsplit_once('@').map_or(rest, |(_, host)| host);
    let end = host.find([';', '?', ':', '>']).unwrap_or(host.len());
    Some(&host[..end]).filter(|h| !h.is_empty())
}

/// The URI of an address header: the text in angle brackets, or up to the first parameter.
pub fn address(value: &str) -> &str {
    match value.split_once('<') {
        Some((_, rest)) => rest.split('>').next().unwrap_or(rest),
        None => value.split(';').next().unwrap_or(value).trim(),
    }
}
