//! Operators' questions to a running front: one JSON object a line over a Unix socket, one answer a line.
//! The front's owner answers; nothing is decided here.

mod client;
mod server;
mod words;

pub use client::{ask, ConsoleError};
pub use server::{serve, Console};

use serde::{Deserialize, Serialize};
use shalespindle_front::Counters;

/// The longest question taken, bytes.
pub const LONGEST_LINE: u64 = 4096;

/// A question or an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case", deny_unknown_fields)]
pub enum Ask {
    Status,
    /// Holds a level of reduced service for so many seconds.
    PinLevel {
        level: usize,
        seconds: f64,
    },
    /// Ends a pin before its time.
    UnpinLevel,
}

/// What a front says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum Reply {
    Status(Box<Snapshot>),
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
pub struct Snapshot {
    /// Its name in Via and Contact.
    pub front: String,
    pub seconds_in_service: f64,
    pub ending: bool,
    /// None where levels are off.
    pub level: Option<LevelState>,
    pub in_hand: usize,
    pub standing: usize,
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
    pub deepest: usize,
    /// How long it has been this one.
    pub seconds: f64,
    /// The figure that crossed which threshold, in words.
    pub why: String,
    pub takes: String,
    /// Share of the protected utility lost just now; none with too little to judge by.
    pub pressure: Option<f64>,
    /// Seconds left of a pin.
    pub pinned_for: Option<f64>,
    pub taken: u64,
    pub refused: u64,
    pub changes: u64,
}
