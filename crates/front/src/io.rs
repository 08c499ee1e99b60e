//! What goes into a front and what comes out of it.

use serde::{Deserialize, Serialize};
use shalespindle_levels::ChangeReason;
use shalespindle_membership::{Change, ListEntry, PeerWarning};
use shalespindle_replica::CallWord;
use shalespindle_sites::{Restrictions, Sample};
use shalespindle_srv::{In, Step, Ticket};
use std::net::SocketAddr;

/// Where a caller's message came from, and where its answers go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    Datagram(SocketAddr),
    /// A caller's connection, by the host's number for it; a number is not used twice.
    Stream(u64),
}

/// One connection to one server; a link that is connected again has a new `connection`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId {
    pub link: usize,
    pub connection: u64,
}

/// What the host reports. Reports only update what is known; the host then calls [`crate::Front::turn`]
/// and pulls outputs until there are none.
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
    /// The last frame pulled for this link did not fit into its socket; the host keeps the rest.
    Blocked {
        id: LinkId,
    },
    /// All that was kept is written.
    Writable {
        id: LinkId,
    },
    FeedConnected,
    FeedBytes {
        bytes: &'a [u8],
    },
    FeedLost,
    /// What became of a question to a name server.
    Dns(In<'a>),
    /// What other fronts' lists come to for a server.
    ServerWarning(PeerWarning),
    /// What became of a question for a call that another front set up.
    FindCallResult {
        ticket: u64,
        /// It is one of the fleet's; without `call` it has been released already.
        known: bool,
        call: Option<Box<CallWord>>,
    },
    /// A call of this front was released by another, in both directions.
    CallReleased {
        call: u64,
    },
    /// What the fleet's word on sites leaves this front.
    SiteRestriction(Restrictions),
    /// A call of a front that died is to be released in both directions.
    ReleaseCall(Box<CallWord>),
    /// Take no new attaches, answer those in hand, then be done.
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
    /// Close at once and forget what is not written: `reset` asks for a reset, so that nothing written but
    /// not yet sent leaves either.
    CloseLink {
        id: LinkId,
        reset: bool,
    },
    /// Ask a name server: on a socket of its own, with a fresh port.
    DnsQuery {
        ticket: Ticket,
        to: SocketAddr,
        tcp: bool,
        bytes: Vec<u8>,
    },
    /// Close that question's socket.
    DnsClose {
        ticket: Ticket,
    },
    /// This front's list told of a server: for other fronts, where there are any.
    ServerListed(ListEntry),
    /// What this front sees of sites: for the fleet.
    SitesObserved(Sample),
    /// A call stands here, or stands no more: for other fronts.
    CallChanged {
        call: u64,
        record: Option<Box<CallWord>>,
    },
    /// Which call is meant that another front may have set up: by the name of its dialog with the caller, or with
    /// the server. [`Input::FindCallResult`] is due within half a second.
    FindCall {
        ticket: u64,
        name: u64,
        by_leg: bool,
    },
    /// For the log; carries nothing to do.
    Event(Event),
}

/// How an attach ended for its caller, one of the rule's final answers, or its caller left first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    Established,
    Refused,
    Failed,
    Abandoned,
}

impl Outcome {
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Established => "stands",
            Outcome::Refused => "refused",
            Outcome::Failed => "fails",
            Outcome::Abandoned => "left",
        }
    }
}

/// One final answer, with what an operator asks first.
#[derive(Clone, Debug)]
pub struct FinalAnswer {
    pub session: Box<str>,
    pub number: Box<str>,
    pub outcome: Outcome,
    pub status: u16,
    /// The server of the last setup try.
    pub last_server: Option<SocketAddr>,
    pub tries: u32,
    /// Seconds from its arrival to this answer.
    pub answered_after: f64,
    /// Seconds of its last setup try, where that stood.
    pub set_up_delay: f64,
}

/// What is worth a line in the log.
#[derive(Clone, Debug)]
pub enum Event {
    FinalAnswer(FinalAnswer),
    /// A standing attach has ended; `cut` when its server's connection was lost or a side never confirmed.
    Released {
        session: Box<str>,
        cut: bool,
        established_for: f64,
    },
    /// A server's verdict changed; `age` is its processor's, seconds.
    ServerChanged {
        change: Change,
        age: f64,
    },
    /// A step of a look-up; `trouble`: not an ordinary one.
    DnsStep {
        step: Step,
        unusual: bool,
    },
    LinkUp {
        server: SocketAddr,
    },
    LinkLost {
        server: SocketAddr,
        cut: usize,
        retry_after: f64,
    },
    /// Set-ups taken back before they left.
    SetUpsWithdrawn {
        server: SocketAddr,
        count: usize,
    },
    Feed {
        what: &'static str,
        detail: String,
    },
    /// The level of reduced service changed.
    LevelChanged {
        from: usize,
        to: usize,
        why: ChangeReason,
        admits: String,
    },
    /// An operator holds a level for so many seconds, or lets it go.
    LevelPinned {
        level: Option<usize>,
        seconds: f64,
    },
    BadInput {
        from: &'static str,
        why: String,
    },
    /// The fleet's word on sites leaves this front less, or all again: pools of servers that it leaves alone, and
    /// attaches a second by procedure.
    SitesRestricted {
        pools: Vec<u16>,
        rates: Vec<Option<f64>>,
    },
    ShuttingDown {
        pending: usize,
        established: usize,
    },
}

/// Counts since the front was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    pub offered: u64,
    pub stands: u64,
    pub refused: u64,
    pub fails: u64,
    pub left: u64,
    pub setup_tries: u64,
    pub taken_back: u64,
    pub probes: u64,
    /// Repeats of a message that was already seen.
    pub repeats: u64,
    /// Late 200s met with ACK and BYE.
    pub late_answers: u64,
    pub released: u64,
    pub cut: u64,
    pub bad_messages: u64,
    pub bad_list_lines: u64,
    pub unknown_priority: u64,
    pub unknown_trunk_group: u64,
    /// Refused at the door: too many in hand, or the front is ending.
    pub door_refused: u64,
    /// Refused by the level of reduced service.
    pub level_refused: u64,
    /// Refused by the fleet's plan for a site that is out.
    #[serde(default)]
    pub plan_refused: u64,
    /// Calls of other fronts that a caller or a server released here, calls of this front released by others, and
    /// releases that could not go out, since this front does not know the server.
    #[serde(default)]
    pub released_for_others: u64,
    #[serde(default)]
    pub released_by_others: u64,
    #[serde(default)]
    pub unknown_servers: u64,
}
