//! Decides, without I/O, which servers a front may use, from two sources: the pool list and DNS.
//!
//! [`Membership`] stores what each source last reported about each server, since when and until when. It
//! combines the two reports by the table in [`table`] and yields the changes for the router; it never picks a
//! route. Inputs only update the stored reports: [`Membership::evaluate`] decides, and
//! [`Membership::next_change`] is called until it returns none. Times are f64 seconds on the host's clock.
//! docs/design-notes/membership.md compares the alternatives.

mod first_choices;
mod flap_damping;
mod members;
mod pool_numbers;
mod sources;
mod stored_members;
pub mod table;

pub use first_choices::first_choices;
pub use members::{Member, Membership};
pub use pool_numbers::PoolNumbers;
pub use sources::{DnsStatus, ListStatus};
pub use stored_members::{decode_members, encode_members, StoredMember, StoredMembersError, VERSION};

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Parameters of a [`Membership`]. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipParams {
    /// How long the feed of the pool list may be disconnected before the list counts as silent.
    pub list_timeout: f64,
    /// How long a server that one source drained or removed can't be brought back by the other source.
    pub withdrawal_hold: f64,
    /// How long past its lifetime a DNS record is used without a warning while look-ups fail.
    pub stale_without_warning: f64,
    /// How long past its lifetime a DNS record is used at all while look-ups fail (RFC 8767 section 5). Also
    /// how long answers must stay empty before they count.
    pub max_stale: f64,
    /// Time constant of the exponential decay of a server's flap count.
    pub flap_window: f64,
    /// Wait before the second return to service within the window; doubled with each further return.
    pub base_flap_hold: f64,
    /// Longest wait before a return to service.
    pub max_flap_hold: f64,
    /// How long a server known from the previous run is used before any source has reported it.
    pub stored_max_age: f64,
    /// Maximum number of known servers: bounds memory against a source that names new ones without end.
    pub max_members: usize,
}

impl MembershipParams {
    /// Short times, for model checks and tests that advance a fake clock by hours.
    pub fn short(max_members: usize) -> MembershipParams {
        MembershipParams {
            list_timeout: 5.0,
            withdrawal_hold: 10.0,
            stale_without_warning: 30.0,
            max_stale: 120.0,
            flap_window: 30.0,
            base_flap_hold: 3.0,
            max_flap_hold: 60.0,
            stored_max_age: 300.0,
            max_members,
        }
    }
}

/// State of a processor as the pool list reports it. The order is that of caution: of two reports about the
/// same start the greater one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReportedState {
    Ready,
    Draining,
    Gone,
}

/// One server in a line of the pool list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListEntry {
    pub address: SocketAddr,
    /// Number of the pool, as procedures and trunk groups refer to it.
    pub pool: u16,
    pub state: ReportedState,
    /// Counts the starts of the processor; an entry with a lower one than known is outdated.
    pub incarnation: u64,
    /// When the processor started; 0 when long ago.
    pub started: f64,
}

/// Combined report of other fronts' lists about one server. It can take a server out of service or mark it as
/// cold, but never puts one in service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerWarning {
    pub address: SocketAddr,
    pub pool: u16,
    pub incarnation: u64,
    /// Most cautious state reported for that incarnation.
    pub state: ReportedState,
    /// Latest start time that any front reports; none when long ago.
    pub started: Option<f64>,
    /// When the warning expires.
    pub until: f64,
}

/// One server in a DNS answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DnsRecord {
    pub address: SocketAddr,
    pub pool: u16,
    /// RFC 2782: lower is preferred.
    pub priority: u16,
    /// RFC 2782: relative share among the records of one priority.
    pub weight: u16,
}

/// Result of the look-up of one name.
#[derive(Clone, Debug, PartialEq)]
pub enum LookupResult {
    /// Records, with their lifetime in seconds.
    Servers { records: Vec<DnsRecord>, lifetime: f64 },
    /// The name has no such records, or does not exist (RFC 2308).
    Empty,
    /// No resolver returned a usable answer.
    Failed,
}

/// Whether this front may use a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServiceStatus {
    /// In service: the router may choose it.
    In,
    /// It gets no new work; established work goes on.
    Draining,
    /// It is not used.
    Out,
}

/// Why a server has its [`ServiceStatus`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StatusReason {
    /// The table's row for the statuses of the two sources.
    Row,
    /// The row puts it in service, but it went out of service too often recently.
    Flapping,
    /// The row keeps it out of service only for lack of reports, and no other server is left.
    LastResort,
}

/// One change of what the router may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Identifies the member for the router; it stays the same for one address.
    pub id: u64,
    pub address: SocketAddr,
    pub pool: u16,
    pub status: ServiceStatus,
    /// Last start of its processor; 0 when long ago. An unknown start counts as now: the processor is cold.
    pub started: f64,
    pub list: ListStatus,
    pub dns: DnsStatus,
    pub reason: StatusReason,
    /// It is in service on outdated reports: an operator should check.
    pub needs_attention: bool,
}
