//! Which servers a front may use, decided without I/O from what two sources say: the pool list and DNS.
//!
//! The module keeps what each source last said of each server, since when and until when, rules by the table
//! in [`table`], and yields the changes that the router is told. It never picks a route. Inputs only update
//! what is known; [`Membership::evaluate`] rules, [`Membership::next_change`] is pulled until there is none.
//! Times are f64 seconds on the host's clock. docs/design-notes/membership.md has the ways weighed.

mod first_choices;
mod flaps;
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

/// What the module is started with. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipParams {
    /// The feed may be away so long before its last words are those of a silent list.
    pub list_timeout: f64,
    /// What one source drained or took out is not brought back by the other within this.
    pub withdrawal_hold: f64,
    /// So long past its lifetime a record is used without a warning while look-ups fail,
    pub stale_without_warning: f64,
    /// and so long with one (RFC 8767 section 5). An empty answer is not believed before this either.
    pub max_stale: f64,
    /// Comings and goings are forgotten over this time.
    pub flap_window: f64,
    /// From the second return within the window on, a server waits so long; doubled with each further one,
    pub base_flap_hold: f64,
    /// and never longer than this.
    pub max_flap_hold: f64,
    /// So long a server of the last run is used while no source has spoken.
    pub stored_max_age: f64,
    /// Servers kept at most: guards memory against a source that names new ones for ever.
    pub max_members: usize,
}

impl MembershipParams {
    /// Short times: for the walk and for tests, which pass hours by hand.
    pub fn short(most: usize) -> MembershipParams {
        MembershipParams {
            list_timeout: 5.0,
            withdrawal_hold: 10.0,
            stale_without_warning: 30.0,
            max_stale: 120.0,
            flap_window: 30.0,
            base_flap_hold: 3.0,
            max_flap_hold: 60.0,
            stored_max_age: 300.0,
            max_members: most,
        }
    }
}

/// State of a processor as the pool list tells it, in the order of care.
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
    /// The pool's number, as procedures and trunk groups name it.
    pub pool: u16,
    pub state: ReportedState,
    /// Counts the starts of its processor; an earlier one than known is old news.
    pub incarnation: u64,
    /// When it started; 0 when long ago.
    pub started: f64,
}

/// What other fronts' lists come to for a server: heeded as a warning, never to let one in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerWarning {
    pub address: SocketAddr,
    pub pool: u16,
    pub incarnation: u64,
    /// The most careful word on that incarnation.
    pub state: ReportedState,
    /// The youngest start that anybody tells; none when long ago.
    pub started: Option<f64>,
    /// Until when it counts.
    pub until: f64,
}

/// One server in an answer of DNS.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DnsRecord {
    pub address: SocketAddr,
    pub pool: u16,
    /// RFC 2782: lower is better.
    pub priority: u16,
    /// RFC 2782: share among those of one priority.
    pub weight: u16,
}

/// What a look-up of one name came to.
#[derive(Clone, Debug, PartialEq)]
pub enum LookupResult {
    /// Servers, good for so many seconds.
    Servers { records: Vec<DnsRecord>, lifetime: f64 },
    /// The name has no such records, or does not exist (RFC 2308).
    Empty,
    /// No resolver gave an answer that can be used.
    Failed,
}

/// How a server stands with this front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServiceStatus {
    /// In service: the router may choose it.
    In,
    /// Nothing new goes to it; what stands goes on.
    Draining,
    /// It is not used.
    Out,
}

/// What a status follows from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StatusReason {
    /// The table's row for the two sources' words.
    Row,
    /// The row lets it in, but it came and went too often of late.
    Flapping,
    /// The row keeps it out softly, but no server would be left.
    LastResort,
}

/// One change of what the router may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The member's name for the router; one address keeps its name.
    pub name: u64,
    pub address: SocketAddr,
    pub pool: u16,
    pub status: ServiceStatus,
    /// Last start of its processor; 0 when long ago. What is not known is taken for now: cold.
    pub started: f64,
    pub list: ListStatus,
    pub dns: DnsStatus,
    pub reason: StatusReason,
    /// Used on old news: an operator should look.
    pub needs_attention: bool,
}
