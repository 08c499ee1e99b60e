//! Fleet membership: which fronts exist and whether they are alive, decided without I/O from what fronts
//! report about themselves and about each other.
//!
//! Each front increments a heartbeat counter. Fronts pass on the highest heartbeat that they know of every
//! other front, so a front's heartbeat arrives over whichever fronts are reachable. A front whose heartbeat
//! stops increasing becomes suspect, then gone. A front that was stalled itself, or that misses every other
//! front at once, assumes a fault of its own before it suspects the others. Two processes that run under one
//! front's name are told apart by their [`Incarnation`]; reports from an earlier incarnation are ignored. No
//! other state is held here. docs/design-notes/replication.md compares the alternatives.

mod peers;
mod round;

pub use peers::Peers;
pub use round::Round;

/// Identifies a front between fronts; stable across restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FrontId(pub u64);

/// One run of a front's process: `number` increases with each start, `nonce` distinguishes two processes that
/// took the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    pub number: u64,
    pub nonce: u64,
}

/// What one front reports about itself or about another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReport {
    pub front: FrontId,
    pub incarnation: Incarnation,
    pub heartbeat: u64,
    /// The front has left the fleet in an orderly shutdown.
    pub left: bool,
}

/// The state of a front as seen by this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// On the list, but no report about it has arrived.
    NeverSeen,
    Alive,
    /// Its heartbeat has not increased for `suspect_after`.
    Suspect,
    /// Its heartbeat has not increased for `gone_after`: treated as dead.
    Gone,
    /// It reported that it is leaving.
    Left,
}

impl State {
    pub fn name(self) -> &'static str {
        match self {
            State::NeverSeen => "unheard",
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Gone => "gone",
            State::Left => "left",
        }
    }
}

/// A change of state, for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    State {
        front: FrontId,
        from: State,
        to: State,
    },
    /// A new process runs under a known name.
    Restarted {
        front: FrontId,
    },
    /// A report names this front with a higher incarnation than its own: this front took a still higher one.
    Renewed {
        incarnation: Incarnation,
    },
    /// Another process uses this front's name and keeps raising its incarnation: this front publishes nothing
    /// of its own any more.
    Silenced,
    /// Whether this front misses every other front at once, in which case it is more likely cut off itself.
    Isolated(bool),
}

/// Parameters of [`Peers`]. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeersParams {
    /// Interval between two heartbeats of this front.
    pub heartbeat_interval: f64,
    /// Number of fronts that each heartbeat is sent to.
    pub fanout: usize,
    /// Time without an increase of its heartbeat after which a front is suspect.
    pub suspect_after: f64,
    /// Time without an increase of its heartbeat after which a front is gone.
    pub gone_after: f64,
    /// Maximum number of fronts on the list.
    pub max_fronts: usize,
}

impl PeersParams {
    /// Derives all timeouts from the heartbeat interval: suspect after five missed heartbeats, gone after
    /// fifteen.
    pub fn with_heartbeat_interval(heartbeat_interval: f64) -> PeersParams {
        PeersParams {
            heartbeat_interval,
            fanout: 3,
            suspect_after: 5.0 * heartbeat_interval,
            gone_after: 15.0 * heartbeat_interval,
            max_fronts: 1024,
        }
    }
}
