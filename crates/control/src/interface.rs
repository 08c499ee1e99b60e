//! Plain types that cross the border of the decision module. Times are seconds on the host's clock.

/// Name of a core server's processor as the host spells it; opaque to the module.
pub type PoolId = u64;
/// Name of an attach as the host spells it; opaque to the module and not used twice.
pub type UeId = u32;

/// What the module needs to know of a deployment at start.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    pub procedures: Vec<Procedure>,
    pub may_probe: bool,
    pub may_cancel: bool,
    pub max_tries: u32,
    pub release_guard: f64,
    pub max_pause: f64,
    pub cold: ColdStart,
}

/// What a processor that has just started can bear.
#[derive(Clone, Debug, Default)]
pub struct ColdStart {
    pub start_capacity: f64,
    pub warm_after: f64,
    /// It falls over at this multiple of what it can do, sent for so long, seconds.
    pub overload_multiple: f64,
    pub overload_window: f64,
}

/// One kind of attach.
#[derive(Clone, Debug, Default)]
pub struct Procedure {
    pub latency_target: f64,
    pub utility: f64,
    /// Share of the utility that is left past the latency target.
    pub late_share: f64,
    pub t_timer: f64,
    /// Numbers of the pools that can take it.
    pub pools: Vec<u16>,
}

/// How the list of pools names one of them.
#[derive(Clone, Copy, Debug)]
pub struct PoolEntry {
    pub id: PoolId,
    pub number: u16,
    /// Last start on the host's clock; 0 when long ago.
    pub started: f64,
    pub ready: bool,
}

/// An attach handed to this front.
#[derive(Clone, Copy, Debug)]
pub struct NewAttach {
    pub ue: UeId,
    pub procedure: usize,
    pub first_choice: u16,
    /// The number called; 0 where none is told.
    pub called_number: u64,
    pub gives_up_at: f64,
}

/// What a pool says of itself; absent where it says nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    pub free_agents: Option<f64>,
    /// How many agents it has in all.
    pub agents: Option<f64>,
    /// Wait at the processor, seconds.
    pub wait: Option<f64>,
}

/// How a setup try (or a standing attach) ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndReason {
    /// A standing attach came to its ordinary end.
    Released,
    /// The called line is busy or signalling failed.
    Rejected,
    /// The pool had no free agent.
    NoAgent,
    /// The processor was too busy; it may name a wait in seconds.
    Throttled {
        wait: Option<f64>,
    },
    /// Proved never to have reached a processor.
    Unreached,
    TimedOut,
    Cut,
    Cancelled,
}

/// What the host is asked to do next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    SetUp {
        ue: UeId,
        pool: PoolId,
        timeout: f64,
    },
    /// Give up this setup try; the host reports how it ended.
    Cancel {
        ue: UeId,
        setup_try: u32,
    },
    /// Final answer: refused; the caller is advised to stay away so long (0: no advice).
    Refuse {
        ue: UeId,
        pause: f64,
    },
    /// Final answer: fails.
    Abort {
        ue: UeId,
    },
    Probe {
        pool: PoolId,
    },
    /// Call `wake` after this many seconds.
    Wake {
        after: f64,
    },
}
