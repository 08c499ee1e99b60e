//! Which fronts there are, decided without I/O from what fronts say of themselves and of each other.
//!
//! Each front counts beats; fronts pass on the highest beat that they know of every other one, so that news of
//! a front travels over whoever is reachable. A beat that no longer rises makes a front suspect, then gone. A
//! front that was held up itself, or that misses everybody at once, doubts itself before it doubts others. Two
//! lives of one front are told apart by [`Life`]; what an old one says changes nothing. No other state is kept
//! here. docs/design-notes/replication.md has the ways weighed.

mod peers;
mod round;

pub use peers::Peers;
pub use round::Round;

/// A front as fronts name each other; stable over restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FrontId(pub u64);

/// One run of one front's process: `number` grows with each start, `nonce` tells two processes apart that
/// took the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    pub number: u64,
    pub nonce: u64,
}

/// What is said of one front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReport {
    pub front: FrontId,
    pub incarnation: Incarnation,
    pub heartbeat: u64,
    /// It departed in order.
    pub left: bool,
}

/// How a front stands with this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// On the list, never heard of.
    NeverSeen,
    Alive,
    /// Its beat has not risen for a while.
    Suspect,
    /// For so long that it counts as dead.
    Gone,
    /// It said that it leaves.
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

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    State {
        front: FrontId,
        from: State,
        to: State,
    },
    /// It is a new process under an old name.
    Restarted {
        front: FrontId,
    },
    /// This front's own name was heard from a life that is not this one: it took a higher one.
    Renewed {
        incarnation: Incarnation,
    },
    /// Another process holds this front's name and does not let go: this one says nothing of its own any more.
    Silenced,
    /// This front missed everybody at once: more likely it is cut off itself.
    Isolated(bool),
}

/// What the module is started with. Times are seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeersParams {
    /// Between two beats of this front.
    pub heartbeat_interval: f64,
    /// Fronts told at each beat.
    pub fanout: usize,
    /// Without a rise of its beat a front is suspect after this,
    pub suspect_after: f64,
    /// and gone after this.
    pub gone_after: f64,
    /// Fronts on the list at most.
    pub max_fronts: usize,
}

impl PeersParams {
    /// By the time between beats alone: suspect after five of them, gone after fifteen.
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
