//! A resolver of SRV records (RFC 2782) without I/O: it is told the time, what arrived and what was lost, and
//! yields questions to send, sockets to close and what look-ups came to. One ticket is one try of one
//! question on a socket of its own, so that each has a fresh port beside its fresh id (RFC 5452 section 9.2).
//!
//! docs/design-notes/membership.md has the ways weighed. The codec is hickory-proto's.

mod cache;
mod chain;
mod lookup;
mod resolver;
mod upstreams;
mod wire;

pub use hickory_proto::rr::{Name, RecordType};
pub use resolver::Resolver;

use std::net::{IpAddr, SocketAddr};

/// Names one try of a question; never used twice.
pub type Ticket = u64;

/// What the resolver is started with. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolverParams {
    /// Name servers, tried in the order of their health.
    pub upstreams: Vec<SocketAddr>,
    /// Names of SRV records, such as `_sip._tcp.auth.example.org.`.
    pub names: Vec<Name>,
    /// A try is given up after this.
    pub try_timeout: f64,
    /// Tries of one question over all name servers.
    pub max_tries: u32,
    /// Least and longest time that a record is taken to be good for.
    pub lifetime_bounds: (f64, f64),
    /// The longest time that a negative answer is kept (RFC 2308 section 5).
    pub max_negative_lifetime: f64,
    /// A refresh starts within the last part of a lifetime, drawn anew each time.
    pub refresh_fraction: f64,
    /// Least and longest pause after a look-up that failed.
    pub retry_pause: (f64, f64),
    /// First look-ups are spread over this, so that fronts started together do not ask together.
    pub start_spread: f64,
    /// Size of answers over UDP that is asked for (RFC 6891 section 6.2.5).
    pub udp_size: u16,
    /// Records that an answer may have.
    pub max_records: usize,
}

/// What the host reports.
#[derive(Clone, Debug)]
pub enum ResolverInput<'a> {
    Datagram {
        ticket: Ticket,
        from: SocketAddr,
        bytes: &'a [u8],
    },
    /// Bytes of a stream, in any parts.
    Stream {
        ticket: Ticket,
        bytes: &'a [u8],
    },
    /// The socket could not be opened, or its stream has ended.
    SocketLost {
        ticket: Ticket,
    },
}

/// What the host is asked to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ResolverOutput {
    /// Open a socket, send, and report what comes; over TCP the length is in front already.
    SendQuery { ticket: Ticket, to: SocketAddr, tcp: bool, bytes: Vec<u8> },
    /// Close its socket.
    CloseSocket { ticket: Ticket },
    /// What a look-up of the name at that place came to.
    LookupDone { name_index: usize, outcome: Outcome },
}

/// What a look-up came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Servers and how long they are good for, seconds.
    Servers {
        targets: Vec<Target>,
        lifetime: f64,
    },
    /// The name does not exist, has no such records, or says that there is no such service.
    Empty,
    Failed,
}

/// One SRV record with the addresses of its target.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub name: Name,
    pub port: u16,
    pub priority: u16,
    pub weight: u16,
    pub addresses: Vec<IpAddr>,
}

/// One step of a look-up, for operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Asked {
        name: Name,
        kind: RecordType,
        to: SocketAddr,
        tcp: bool,
    },
    Answered {
        code: String,
        records: usize,
        after: f64,
    },
    Truncated {
        by: SocketAddr,
    },
    /// Dropped; the try goes on waiting.
    Dropped {
        why: DropReason,
    },
    /// The try is over without an answer that can be used.
    TryFailed {
        by: SocketAddr,
        why: &'static str,
    },
    /// Known still.
    Cached {
        name: Name,
        kind: RecordType,
    },
    Alias {
        from: Name,
        to: Name,
    },
    /// A chain of aliases that comes back to itself or is too long.
    AliasLoop {
        at: Name,
    },
    /// Its addresses could not be had; those last known are used.
    LastKnown {
        target: Name,
    },
    Finished {
        name: Name,
        outcome: String,
    },
}

/// Why an answer was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Not from where it was asked.
    WrongSource,
    WrongId,
    WrongQuestion,
    NoAnswer,
    Malformed,
    TooLarge,
}

/// Counts since the resolver was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub lookups: u64,
    pub asked: u64,
    pub asked_tcp: u64,
    pub answered: u64,
    pub timed_out: u64,
    pub refused: u64,
    pub truncated: u64,
    pub dropped: u64,
    pub failed: u64,
    pub empty: u64,
}
