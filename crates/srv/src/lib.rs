//! A resolver of SRV records (RFC 2782) without I/O. The host passes in the time, received bytes and lost
//! sockets; [`Resolver`] yields queries to send, sockets to close and the results of look-ups. Each try of a
//! query has its own ticket and its own socket, so that it has a fresh port and a fresh id (RFC 5452
//! section 9.2).
//!
//! hickory-proto encodes and decodes the messages. docs/design-notes/membership.md compares the alternatives.

mod aliases;
mod cache;
mod lookup;
mod resolver;
mod upstreams;
mod wire;

pub use hickory_proto::rr::{Name, RecordType};
pub use resolver::Resolver;

use std::net::{IpAddr, SocketAddr};

/// Identifies one try of a query and its socket; never reused.
pub type Ticket = u64;

/// Parameters of a [`Resolver`]. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolverParams {
    /// Name servers in order of preference; those that failed recently are asked last.
    pub upstreams: Vec<SocketAddr>,
    /// Names of SRV records, such as `_sip._tcp.auth.example.org.`.
    pub names: Vec<Name>,
    /// Time after which a try without an answer fails.
    pub try_timeout: f64,
    /// Maximum number of tries of one query over all name servers.
    pub max_tries: u32,
    /// Minimum and maximum lifetime of a record, whatever its TTL.
    pub lifetime_bounds: (f64, f64),
    /// Maximum time that a negative answer is cached (RFC 2308 section 5).
    pub max_negative_lifetime: f64,
    /// Last fraction of a lifetime within which the refresh starts; the moment is random for each refresh.
    pub refresh_fraction: f64,
    /// First and longest pause after a look-up that failed or was empty; doubles with each one in a row. The
    /// actual pause is random between half of it and all of it.
    pub retry_pause: (f64, f64),
    /// First look-ups start at random times within this, so that fronts started together don't send their
    /// queries at the same time.
    pub start_spread: f64,
    /// Maximum size of an answer over UDP, in bytes, advertised through EDNS (RFC 6891 section 6.2.5).
    pub udp_size: u16,
    /// Maximum number of records in an answer.
    pub max_records: usize,
}

/// Input to the resolver: an event on a socket that it asked for.
#[derive(Clone, Debug)]
pub enum ResolverInput<'a> {
    /// A datagram was received on the ticket's UDP socket.
    Datagram { ticket: Ticket, from: SocketAddr, bytes: &'a [u8] },
    /// Bytes were received on the ticket's TCP stream, split anywhere.
    Stream { ticket: Ticket, bytes: &'a [u8] },
    /// The socket could not be opened, or its stream has ended.
    SocketLost { ticket: Ticket },
}

/// Output of the resolver: an action for the host, or a result.
#[derive(Clone, Debug, PartialEq)]
pub enum ResolverOutput {
    /// Open a new socket, send the bytes and report what is received. Over TCP the bytes include the length
    /// prefix.
    SendQuery { ticket: Ticket, to: SocketAddr, tcp: bool, bytes: Vec<u8> },
    /// Close the ticket's socket.
    CloseSocket { ticket: Ticket },
    /// A look-up has ended; `name_index` is its position in [`ResolverParams::names`].
    LookupDone { name_index: usize, outcome: Outcome },
}

/// Result of a look-up.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The servers found and how long they are valid, in seconds.
    Servers { targets: Vec<Target>, lifetime: f64 },
    /// The name does not exist, has no SRV records, or its records say that there is no such service.
    Empty,
    /// No usable answer was received.
    Failed,
}

/// An SRV record with the addresses of its target.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub name: Name,
    pub port: u16,
    pub priority: u16,
    pub weight: u16,
    pub addresses: Vec<IpAddr>,
}

/// A step of a look-up, for logs and the `resolve` command. Logs show its Debug form: the names of variants
/// and fields are part of that output.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A query was sent.
    Asked { name: Name, kind: RecordType, to: SocketAddr, tcp: bool },
    /// A valid answer was received; `after` is the seconds since the query was first sent.
    Answered { code: String, records: usize, after: f64 },
    /// The answer of this name server was truncated; the query is repeated over TCP.
    Truncated { by: SocketAddr },
    /// A message was ignored; the try continues to wait.
    Dropped { why: DropReason },
    /// The try ended without a usable answer.
    TryFailed { by: SocketAddr, why: &'static str },
    /// The answer came from the cache.
    Cached { name: Name, kind: RecordType },
    /// A CNAME record was followed.
    Alias { from: Name, to: Name },
    /// A chain of CNAME records loops or is too long.
    AliasLoop { at: Name },
    /// The addresses of the target could not be resolved; the last known ones are used.
    LastKnown { target: Name },
    /// The look-up has ended.
    Finished { name: Name, outcome: String },
}

/// Why a received message was ignored. Logs show the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Not from the name server that was asked.
    WrongSource,
    WrongId,
    WrongQuestion,
    /// The message is not a response to a standard query.
    NoAnswer,
    Malformed,
    /// More bytes or more records than allowed.
    TooLarge,
}

/// Counters since the resolver was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Look-ups started.
    pub lookups: u64,
    /// Tries sent, over UDP or TCP.
    pub asked: u64,
    /// Tries sent over TCP.
    pub asked_tcp: u64,
    /// Queries with a valid answer.
    pub answered: u64,
    /// Tries without an answer in time.
    pub timed_out: u64,
    /// Answers with an error code, or from a server that is not a resolver for the name.
    pub refused: u64,
    /// Truncated answers over UDP.
    pub truncated: u64,
    /// Received messages that were ignored.
    pub dropped: u64,
    /// Look-ups that failed.
    pub failed: u64,
    /// Look-ups with an empty result.
    pub empty: u64,
}
