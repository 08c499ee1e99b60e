//! Plain types that cross the border between the decision module and its host. Times are seconds on the
//! host's clock.

/// Identifies one processor of a core server. The host chooses the value; the module only compares it.
pub type PoolId = u64;
/// Identifies an attach. The host chooses the value and does not use it twice; the module only compares it.
pub type UeId = u32;

/// What the module needs to know of a deployment at start.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    pub procedures: Vec<Procedure>,
    /// Whether pools may be probed.
    pub may_probe: bool,
    /// Whether a setup try may be cancelled before its timeout.
    pub may_cancel: bool,
    /// Maximum number of setup tries of one attach.
    pub max_tries: u32,
    /// Time after a setup try that ended without an answer before the next may be sent, seconds.
    pub release_guard: f64,
    /// Longest pause that may be advised to a refused caller, seconds; 0 if none may be.
    pub max_pause: f64,
    pub cold: ColdStart,
}

/// How the capacity of a processor grows after its start, and when it is overloaded.
#[derive(Clone, Debug, Default)]
pub struct ColdStart {
    /// Fraction of the full capacity that is available at start.
    pub start_capacity: f64,
    /// Time from the start to full capacity, seconds.
    pub warm_after: f64,
    /// The processor fails when it gets more than this multiple of its present capacity for
    /// `overload_window`.
    pub overload_multiple: f64,
    /// Seconds.
    pub overload_window: f64,
}

/// One kind of attach.
#[derive(Clone, Debug, Default)]
pub struct Procedure {
    /// Seconds from the first dial within which an attach earns its full utility.
    pub latency_target: f64,
    pub utility: f64,
    /// Fraction of the utility that is earned after the latency target.
    pub late_share: f64,
    /// Seconds after which an attach fails.
    pub t_timer: f64,
    /// Numbers of the pools that can serve it.
    pub pools: Vec<u16>,
}

/// One entry of the list of pools.
#[derive(Clone, Copy, Debug)]
pub struct PoolEntry {
    pub id: PoolId,
    /// Number of the pool in the deployment; a processor that replaces another one has the same number.
    pub number: u16,
    /// Last start on the host's clock; 0 if long ago.
    pub started: f64,
    /// Whether the pool is in service.
    pub ready: bool,
}

/// An attach handed to this front.
#[derive(Clone, Copy, Debug)]
pub struct NewAttach {
    pub ue: UeId,
    /// Index in [`Deployment::procedures`].
    pub procedure: usize,
    /// Number of the pool to be preferred.
    pub first_choice: u16,
    /// The number called; 0 if unknown.
    pub called_number: u64,
    /// Time by which the attach must have its final answer.
    pub gives_up_at: f64,
}

/// State that a pool reports; a field is absent if the pool does not report it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    pub free_agents: Option<f64>,
    /// Total number of agents.
    pub agents: Option<f64>,
    /// Wait at the processor, seconds.
    pub wait: Option<f64>,
}

/// How a setup try or an established attach ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndReason {
    /// An established attach was released normally.
    Released,
    /// The called line was busy, or signalling failed.
    Rejected,
    /// The pool had no free agent.
    NoAgent,
    /// The processor was too busy; it may name a wait in seconds.
    Throttled { wait: Option<f64> },
    /// The set-up certainly did not reach a processor.
    Unreached,
    /// The timeout of the set-up expired without an answer.
    TimedOut,
    /// The connection to the processor was lost.
    Cut,
    /// The setup try was cancelled.
    Cancelled,
}

/// What the host is asked to do next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send a setup try to a pool and end it after `timeout` seconds without an answer.
    SetUp { ue: UeId, pool: PoolId, timeout: f64 },
    /// End this setup try, counted from 0; the host reports how it ended.
    Cancel { ue: UeId, setup_try: u32 },
    /// Final answer: refused. The caller is advised to wait `pause` seconds before it dials again; 0 is no
    /// advice.
    Refuse { ue: UeId, pause: f64 },
    /// Final answer: failed.
    Abort { ue: UeId },
    /// Probe a pool; the host reports an answer with `pool_reported`.
    Probe { pool: PoolId },
    /// Call `wake` after this many seconds.
    Wake { after: f64 },
}
