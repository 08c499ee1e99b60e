//! Operators' questions to a running front: one JSON object a line over a Unix socket, one answer a line.
//! The front's owner answers; nothing is decided here.

mod client;
mod server;
mod words;

pub use client::{ask, ConsoleError};
pub use server::{serve, Console};
pub use shalespindle_sites::Order;
pub use words::differences;

use serde::{Deserialize, Serialize};
use shalespindle_front::Counters;
use shalespindle_peer_service::FleetStatus;

/// The longest question taken, bytes.
pub const MAX_LINE_BYTES: u64 = 4096;

/// A question or an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case", deny_unknown_fields)]
pub enum Request {
    Status,
    /// Each server with what the sources say of it.
    Members,
    /// Holds a level of reduced service for so many seconds.
    PinLevel {
        level: usize,
        seconds: f64,
    },
    /// Ends a pin before its time.
    UnpinLevel,
    /// The other fronts, as this one knows them.
    Fleet,
    /// Holds a level on all fronts for so many seconds; none lets it go.
    PinFleet {
        level: Option<usize>,
        seconds: f64,
    },
    /// An operator's word on a site, for all fronts.
    Site {
        name: String,
        order: Order,
        seconds: f64,
    },
}

/// What a front says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum Reply {
    Status(Box<FrontStatus>),
    Members(Box<Members>),
    Fleet(Box<FleetStatus>),
    Done {
        what: String,
    },
    /// Not done, and why.
    Bad {
        why: String,
    },
}

/// A front's state at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FrontStatus {
    /// Its name in Via and Contact.
    pub front: String,
    pub seconds_in_service: f64,
    #[serde(rename = "ending")]
    pub shutting_down: bool,
    /// None where levels are off.
    pub level: Option<LevelState>,
    #[serde(rename = "in_hand")]
    pub pending: usize,
    #[serde(rename = "standing")]
    pub established: usize,
    pub attaches_held: usize,
    pub legs_held: usize,
    pub datagrams_dropped: u64,
    /// How late the owner handled what came and what was due, milliseconds.
    pub lag_p50_ms: f64,
    pub lag_p99_ms: f64,
    pub counters: Counters,
}

/// The level of reduced service; docs/operators/levels.md.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LevelState {
    pub level: usize,
    #[serde(rename = "deepest")]
    pub max_level: usize,
    /// How long it has been this one.
    pub seconds: f64,
    /// The figure that crossed which threshold, in words.
    #[serde(rename = "why")]
    pub reason: String,
    #[serde(rename = "takes")]
    pub admits: String,
    /// Share of the protected utility lost just now; none with too little to judge by.
    pub pressure: Option<f64>,
    /// Seconds left of a pin.
    pub pinned_for: Option<f64>,
    #[serde(rename = "taken")]
    pub admitted: u64,
    pub refused: u64,
    pub changes: u64,
}

/// The servers that a front knows; docs/operators/membership.md.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Members {
    /// Seconds that the pool list's feed has been away; none while it is there.
    #[serde(rename = "feed_away")]
    pub feed_lost_for: Option<f64>,
    pub names: Vec<NameState>,
    pub members: Vec<MemberState>,
    /// Servers not taken up for want of room.
    #[serde(rename = "turned_away")]
    pub over_capacity: u64,
}

/// A name that is looked up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NameState {
    pub name: String,
    /// What the last look-up came to.
    pub last: Option<String>,
    /// Seconds since then.
    pub age: Option<f64>,
    /// Seconds until the next; none while one is under way.
    pub next_in: Option<f64>,
}

/// One server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberState {
    pub address: std::net::SocketAddr,
    pub pool: u16,
    #[serde(rename = "verdict")]
    pub status: String,
    pub seconds: f64,
    pub list: String,
    /// Seconds since the list last told something new.
    pub list_age: Option<f64>,
    pub dns: String,
    /// Seconds since DNS last named it, and what is left of that answer's lifetime (negative: past).
    pub dns_age: Option<f64>,
    pub dns_left: Option<f64>,
    /// Priority and weight (RFC 2782).
    pub rank: Option<(u16, u16)>,
    #[serde(rename = "because")]
    pub reason: String,
    #[serde(rename = "warned")]
    pub needs_attention: bool,
}
