//! A SIP message as it is read: borrowed slices of one buffer, and readers for the headers a router uses.

use crate::grammar;
use memchr::memmem::Finder;
use smallvec::SmallVec;
use std::fmt;
use std::sync::LazyLock;

/// Most header lines that a message may have; one with more is refused before it costs memory.
pub const MAX_HEADERS: usize = 64;
/// Longest message head, bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Longest body, bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Why bytes are no SIP message.
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
    #[error("more than {MAX_HEADERS} header lines")]
    TooManyHeaders,
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

/// Request line or status line.
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

/// A message that borrows the buffer it was read from.
#[derive(Clone, Debug)]
pub struct Message<'a> {
    pub start: Start<'a>,
    pub headers: SmallVec<[Header<'a>; 24]>,
    pub body: &'a [u8],
}

/// The topmost Via, as far as transactions are matched by it (RFC 3261 section 17.2.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Via<'a> {
    pub transport: &'a str,
    pub sent_by: &'a str,
    pub branch: &'a str,
}

/// What the Request-URI of an INVITE says: number called, trunk group (RFC 4904).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CalledParty<'a> {
    pub number: &'a str,
    pub trunk_group: Option<&'a str>,
}

impl<'a> Message<'a> {
    /// Reads one whole message: a datagram, or a frame cut out by [`crate::Framer`]. Bytes past
    /// Content-Length are ignored as RFC 3261 section 18.3 says of datagrams.
    pub fn parse(bytes: &'a [u8]) -> Result<Message<'a>, ParseError> {
        let end = head_end(bytes).ok_or(ParseError::UnterminatedHead)?;
        if end > MAX_HEAD_BYTES {
            return Err(ParseError::HeadTooLong);
        }
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
        let short = grammar::compact(name);
        let same = |h: &&Header| {
            h.name.eq_ignore_ascii_case(name) || short.is_some_and(|s| h.name.eq_ignore_ascii_case(s))
        };
        self.headers.iter().find(same).map(|h| h.value)
    }

    pub fn method(&self) -> Option<Method> {
        match self.start {
            Start::Request { method, .. } => Some(method),
            Start::Response { .. } => None,
        }
    }

    pub fn via(&self) -> Result<Via<'a>, ParseError> {
        self.header("Via").and_then(grammar::via).ok_or(ParseError::RequiredHeader("Via"))
    }

    pub fn cseq(&self) -> Result<(u32, Method), ParseError> {
        self.header("CSeq").and_then(grammar::cseq).ok_or(ParseError::RequiredHeader("CSeq"))
    }

    pub fn call_id(&self) -> Result<&'a str, ParseError> {
        self.header("Call-ID").filter(|v| !v.is_empty()).ok_or(ParseError::RequiredHeader("Call-ID"))
    }

    pub fn from(&self) -> Result<&'a str, ParseError> {
        self.header("From").filter(|v| !v.is_empty()).ok_or(ParseError::RequiredHeader("From"))
    }

    pub fn to(&self) -> Result<&'a str, ParseError> {
        self.header("To").filter(|v| !v.is_empty()).ok_or(ParseError::RequiredHeader("To"))
    }

    fn content_length(&self) -> Result<Option<usize>, ParseError> {
        let Some(text) = self.header("Content-Length") else { return Ok(None) };
        text.parse().map(Some).map_err(|_| ParseError::RequiredHeader("Content-Length"))
    }

    /// Whole seconds of `Expires` (RFC 3261 section 20.19).
    pub fn expires(&self) -> Option<f64> {
        self.header("Expires").and_then(|v| v.parse::<u32>().ok()).map(f64::from)
    }

    /// Milliseconds of one of our own headers, as seconds.
    pub fn millis(&self, name: &str) -> Option<f64> {
        let ms: f64 = self.header(name)?.parse().ok()?;
        (ms.is_finite() && (0.0..=1e9).contains(&ms)).then_some(ms / 1000.0)
    }

    /// A count in one of our own headers.
    pub fn count(&self, name: &str) -> Option<f64> {
        self.header(name)?.parse::<u32>().ok().map(f64::from)
    }

    /// Seconds of Retry-After (RFC 3261 section 20.33); our parameter `ms` refines the whole seconds.
    pub fn retry_after(&self) -> Option<f64> {
        self.header("Retry-After").and_then(grammar::retry_after)
    }

    /// The Q.850 cause of a Reason header (RFC 3326), if there is one.
    pub fn q850_cause(&self) -> Option<u16> {
        let value = self.header("Reason")?;
        value.get(..5).filter(|p| p.eq_ignore_ascii_case("Q.850"))?;
        grammar::parameter(value, "cause")?.parse().ok()
    }

    /// The sender's half of Session-ID (RFC 7989 section 5): the name of an attach on every leg.
    pub fn session_id(&self) -> Option<&'a str> {
        let value = self.header("Session-ID")?;
        let uuid = value.split(';').next()?.trim();
        (uuid.len() == 32 && uuid.bytes().all(|b| b.is_ascii_hexdigit())).then_some(uuid)
    }

    /// The number called and the trunk group of a request's URI.
    pub fn called_party(&self) -> Option<CalledParty<'a>> {
        match self.start {
            Start::Request { uri, .. } => grammar::called_party(uri),
            Start::Response { .. } => None,
        }
    }
}

/// Length of the head with its empty line.
pub(crate) fn head_end(bytes: &[u8]) -> Option<usize> {
    // Looked for only as far as a head may reach: guards against long junk scanned anew each read.
    let limit = bytes.len().min(MAX_HEAD_BYTES + 4);
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

/// The URI inside an address header: between angle brackets, or up to the first parameter.
pub fn address(value: &str) -> &str {
    match value.split_once('<') {
        Some((_, rest)) => rest.split('>').next().unwrap_or(rest),
        None => value.split(';').next().unwrap_or(value).trim(),
    }
}
