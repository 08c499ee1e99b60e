//! Operators' requests to a running front over a Unix socket: one JSON object per line, one reply per line.
//! The replies come from the front's owner.

mod client;
mod display;
mod server;

pub use client::{ask, ConsoleError};
pub use display::differences;
pub use server::{serve, Console};
pub use shalespindle_sites::Order;

use serde::{Deserialize, Serialize};
use shalespindle_front::Counters;
use shalespindle_peer_service::FleetStatus;

/// Maximum length of a request's line, bytes.
pub const MAX_LINE_BYTES: u64 = 4096;

/// A query or an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case", deny_unknown_fields)]
pub enum Request {
    /// The front's state.
    Status,
    /// Each server with the states that its sources report.
    Members,
    /// Pins a level of reduced service at this front for `seconds`.
    PinLevel { level: usize, seconds: f64 },
    /// Ends a pin before it expires.
    UnpinLevel,
    /// The state of the fleet as this front knows it.
    Fleet,
    /// Pins a level on all fronts for `seconds`; `None` ends the pin.
    PinFleet { level: Option<usize>, seconds: f64 },
    /// An order on a site that applies to all fronts for `seconds`.
    Site { name: String, order: Order, seconds: f64 },
}

/// The reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum Reply {
    Status(Box<FrontStatus>),
    Members(Box<Members>),
    Fleet(Box<FleetStatus>),
    /// The order was carried out; `what` describes the result.
    Done {
        what: String,
    },
    /// The request was refused or could not be parsed, with the reason.
    Bad {
        why: String,
    },
}

/// A front's state at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FrontStatus {
    /// Its name in Via and Contact.
    pub front: String,
    /// Time since the start.
    pub seconds_in_service: f64,
    /// Shutting down: established attaches are still served.
    #[serde(rename = "ending")]
    pub shutting_down: bool,
    /// None if the settings disable levels.
    pub level: Option<LevelState>,
    /// Number of attaches that are not answered yet, and of established ones.
    #[serde(rename = "in_hand")]
    pub pending: usize,
    #[serde(rename = "standing")]
    pub established: usize,
    /// Number of attaches and of legs in memory, finished ones included.
    pub attaches_held: usize,
    pub legs_held: usize,
    pub datagrams_dropped: u64,
    /// Delay of the owner in handling inputs and timers, median and 99th percentile, milliseconds.
    pub lag_p50_ms: f64,
    pub lag_p99_ms: f64,
    pub counters: Counters,
}

/// The level of reduced service; docs/operators/levels.md.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LevelState {
    pub level: usize,
    /// The highest level that the settings define.
    #[serde(rename = "deepest")]
    pub max_level: usize,
    /// Time since the last change of the level.
    pub seconds: f64,
    /// The value that crossed a threshold, as text.
    #[serde(rename = "why")]
    pub reason: String,
    /// What the level admits, as text.
    #[serde(rename = "takes")]
    pub admits: String,
    /// Fraction of the protected utility that is lost at present; none if there are too few samples.
    pub pressure: Option<f64>,
    /// Seconds until the pin expires.
    pub pinned_for: Option<f64>,
    /// Numbers of attaches that the level admitted and refused, and of changes of the level.
    #[serde(rename = "taken")]
    pub admitted: u64,
    pub refused: u64,
    pub changes: u64,
}

/// The servers that a front knows; docs/operators/membership.md.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Members {
    /// Seconds since the connection to the pool list's feed was lost; none while it is connected.
    #[serde(rename = "feed_away")]
    pub feed_lost_for: Option<f64>,
    pub names: Vec<NameState>,
    pub members: Vec<MemberState>,
    /// Servers that were ignored because the maximum number of servers was reached.
    #[serde(rename = "turned_away")]
    pub over_capacity: u64,
}

/// A DNS name that is resolved for server addresses.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NameState {
    pub name: String,
    /// Result of the last lookup; none before it.
    pub last: Option<String>,
    /// Seconds since the last lookup.
    pub age: Option<f64>,
    /// Seconds until the next lookup; none while one is in progress.
    pub next_in: Option<f64>,
}

/// The state of one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberState {
    pub address: std::net::SocketAddr,
    pub pool: u16,
    /// The status that this front has decided, and the seconds since.
    #[serde(rename = "verdict")]
    pub status: String,
    pub seconds: f64,
    /// The state that the pool list reports.
    pub list: String,
    /// Seconds since the list last reported a change.
    pub list_age: Option<f64>,
    /// The state that follows from DNS.
    pub dns: String,
    /// Seconds since a DNS answer last contained it, and until that answer expires (negative: it has
    /// expired).
    pub dns_age: Option<f64>,
    pub dns_left: Option<f64>,
    /// Priority and weight (RFC 2782).
    pub rank: Option<(u16, u16)>,
    /// Reason of the status.
    #[serde(rename = "because")]
    pub reason: String,
    /// In service with a warning about its sources, or as the last resort.
    #[serde(rename = "warned")]
    pub needs_attention: bool,
}
