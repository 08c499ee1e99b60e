//! Inputs, outputs and log events of a front, and its counters.

use serde::{Deserialize, Serialize};
use shalespindle_levels::ChangeReason;
use shalespindle_membership::{Change, ListEntry, PeerWarning};
use shalespindle_replica::CallRecord;
use shalespindle_sites::{Restrictions, Sample};
use shalespindle_srv::{ResolverInput, Step, Ticket};
use std::net::SocketAddr;

/// Transport address that a caller's message came from and that its answers go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    Datagram(SocketAddr),
    /// A caller's connection, by the number that the host gave it. Numbers are not reused.
    Stream(u64),
}

/// One connection to one server. Each reconnect of a link gets a new `connection` number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId {
    /// Index of the link within the front.
    pub link: usize,
    pub connection: u64,
}

/// What the host reports. An input only updates the front's state; the host then calls
/// [`crate::Front::turn`] and pulls outputs until there are none.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    Datagram {
        from: SocketAddr,
        bytes: &'a [u8],
    },
    CallerBytes {
        stream: u64,
        bytes: &'a [u8],
    },
    CallerClosed {
        stream: u64,
    },
    Connected {
        id: LinkId,
    },
    /// The connection was refused, timed out, closed or reset.
    LinkLost {
        id: LinkId,
    },
    LinkBytes {
        id: LinkId,
        bytes: &'a [u8],
    },
    /// The last write pulled for this link did not fit into its socket; the host buffers the rest.
    Blocked {
        id: LinkId,
    },
    /// Everything that the host had buffered for this link is written.
    Writable {
        id: LinkId,
    },
    FeedConnected,
    FeedBytes {
        bytes: &'a [u8],
    },
    FeedLost,
    /// An answer to a DNS query, or the loss of its socket.
    Dns(ResolverInput<'a>),
    /// The combined state that other fronts' lists report for a server.
    ServerWarning(PeerWarning),
    /// The answer to [`Output::FindCall`].
    FindCallResult {
        ticket: u64,
        /// The call belongs to the fleet. If `call` is absent as well, it has been released already.
        known: bool,
        call: Option<Box<CallRecord>>,
    },
    /// Another front has released a call of this front, towards both the caller and the server.
    CallReleased {
        call: u64,
    },
    /// The restrictions that follow for this front from the fleet's decisions on sites.
    SiteRestriction(Restrictions),
    /// A call of a front that died must be released towards both the caller and the server.
    ReleaseCall(Box<CallRecord>),
    /// Graceful shutdown: refuse new attaches, answer the pending ones, then be done.
    Shutdown,
}

/// What the host is asked to do.
#[derive(Clone, Debug)]
pub enum Output {
    Datagram {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    ToCaller {
        stream: u64,
        bytes: Vec<u8>,
    },
    CloseCaller {
        stream: u64,
    },
    Connect {
        id: LinkId,
        to: SocketAddr,
    },
    ToServer {
        id: LinkId,
        bytes: Vec<u8>,
    },
    /// Close at once and discard unwritten bytes. `reset` asks for a TCP reset, which also discards bytes
    /// that were written to the socket but not sent yet.
    CloseLink {
        id: LinkId,
        reset: bool,
    },
    /// Send a DNS query from a socket of its own on a fresh port.
    DnsQuery {
        ticket: Ticket,
        to: SocketAddr,
        tcp: bool,
        bytes: Vec<u8>,
    },
    /// Close the socket of that DNS query.
    DnsClose {
        ticket: Ticket,
    },
    /// A server's state in this front's list, to be forwarded to other fronts.
    ServerListed(ListEntry),
    /// This front's observations of sites, to be forwarded to the fleet.
    SitesObserved(Sample),
    /// A call of this front was established (`record` is present) or has ended, to be forwarded to other
    /// fronts.
    CallChanged {
        call: u64,
        record: Option<Box<CallRecord>>,
    },
    /// Look up a call that another front may have set up. `name` is the hashed name of its dialog with the
    /// caller, or with the server if `by_leg`. [`Input::FindCallResult`] is expected within half a second.
    FindCall {
        ticket: u64,
        name: u64,
        by_leg: bool,
    },
    /// For the log only.
    Event(Event),
}

/// How an attach ended for its caller: one of the three final answers, or the caller abandoned it first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    Established,
    Refused,
    Failed,
    Abandoned,
}

impl Outcome {
    /// The name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Established => "stands",
            Outcome::Refused => "refused",
            Outcome::Failed => "fails",
            Outcome::Abandoned => "left",
        }
    }
}

/// One final answer and the details that the log gives of it.
#[derive(Clone, Debug)]
pub struct FinalAnswer {
    pub session: Box<str>,
    /// The called number.
    pub number: Box<str>,
    pub outcome: Outcome,
    pub status: u16,
    /// The server of the last setup try.
    pub last_server: Option<SocketAddr>,
    pub tries: u32,
    /// Seconds from the attach's arrival to this answer.
    pub answered_after: f64,
    /// Seconds that the last setup try took if it succeeded, else 0.
    pub set_up_delay: f64,
}

/// An event for the log.
#[derive(Clone, Debug)]
pub enum Event {
    FinalAnswer(FinalAnswer),
    /// An established attach has ended. `cut`: the server's or the caller's connection was lost, the caller
    /// never sent an ACK, or the front shut down.
    Released {
        session: Box<str>,
        cut: bool,
        /// Seconds.
        established_for: f64,
    },
    /// A server's status changed. `age` is the time since its processor started, seconds.
    ServerChanged {
        change: Change,
        age: f64,
    },
    /// A step of a DNS look-up. `unusual`: not part of every ordinary look-up.
    DnsStep {
        step: Step,
        unusual: bool,
    },
    LinkUp {
        server: SocketAddr,
    },
    LinkLost {
        server: SocketAddr,
        /// Established attaches that ended with the connection.
        cut: usize,
        /// Seconds.
        retry_after: f64,
    },
    /// Set-ups that were withdrawn before they were sent.
    SetUpsWithdrawn {
        server: SocketAddr,
        count: usize,
    },
    Feed {
        what: &'static str,
        detail: String,
    },
    /// The level of reduced service changed. `admits` describes what the new level admits.
    LevelChanged {
        from: usize,
        to: usize,
        why: ChangeReason,
        admits: String,
    },
    /// An operator pinned a level for `seconds`, or removed the pin.
    LevelPinned {
        level: Option<usize>,
        seconds: f64,
    },
    BadInput {
        from: &'static str,
        why: String,
    },
    /// The restrictions from the fleet's decisions on sites changed.
    SitesRestricted {
        /// Pool numbers of the excluded servers.
        pools: Vec<u16>,
        /// Attaches per second that this front may take, by procedure; none: not limited.
        rates: Vec<Option<f64>>,
    },
    /// A graceful shutdown begins with so many pending and established attaches.
    ShuttingDown {
        pending: usize,
        established: usize,
    },
}

/// Counts since the front was created. The field names are the names in the JSON output and in metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Attaches that arrived.
    pub offered: u64,
    /// Attaches answered by 200.
    pub stands: u64,
    /// Attaches refused with 503.
    pub refused: u64,
    /// Attaches answered by 480.
    pub fails: u64,
    /// Attaches that their callers abandoned before the final answer.
    pub left: u64,
    /// INVITEs sent to servers.
    pub setup_tries: u64,
    /// Set-ups withdrawn before they were sent.
    pub taken_back: u64,
    /// OPTIONS probes queued for servers.
    pub probes: u64,
    /// Retransmissions of an INVITE that was already received.
    pub repeats: u64,
    /// 200s that came after the try was cancelled, answered with ACK and BYE.
    pub late_answers: u64,
    /// Established attaches that ended.
    pub released: u64,
    /// Those of `released` that were cut, see [`Event::Released`].
    pub cut: u64,
    pub bad_messages: u64,
    pub bad_list_lines: u64,
    /// INVITEs whose Resource-Priority matches no procedure.
    pub unknown_priority: u64,
    pub unknown_trunk_group: u64,
    /// Refused at admission: too many attaches pending, or the front is shutting down.
    pub door_refused: u64,
    /// Refused by the level of reduced service.
    pub level_refused: u64,
    /// Refused by the fleet's plan for a lost site.
    #[serde(default)]
    pub plan_refused: u64,
    /// Calls of other fronts that a caller or a server released through this front.
    #[serde(default)]
    pub released_for_others: u64,
    /// Calls of this front that other fronts released.
    #[serde(default)]
    pub released_by_others: u64,
    /// Releases that could not be sent because this front does not know the server.
    #[serde(default)]
    pub unknown_servers: u64,
}
