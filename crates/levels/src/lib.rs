//! Levels of reduced service: a decision module without I/O, at a front's door.
//!
//! Each level takes less than the one before, by what an attach can still earn. The figure that moves it is
//! *pressure*: of the utility that the levels protect and the present one takes, the share that did not stand
//! within its latency target. The module may refuse an attach before the router is asked; it never chooses a route. It is told
//! what the front sees, takes time as an argument, draws chance from its seed, and gives the same levels for
//! the same history. docs/design-notes/levels.md has the ways weighed.

mod machine;
mod pressure;
mod rate_limits;
mod redials;
mod tenant_shares;

pub use machine::{Change, ChangeReason, Levels, LevelsStatus, Pin};

/// One step of reduced service. The first one, full service, is not listed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelStep {
    /// It is entered at this pressure of the level before it,
    pub entry_pressure: f64,
    /// and left when its own is down to this.
    pub exit_pressure: f64,
    /// It takes whatever earns this part of the highest utility, or more,
    pub min_utility: f64,
    /// and of what earns less (not counting late redials) this share.
    pub share_below: f64,
    /// Of what the floor takes, this share is taken: under 1 only in the last step, a trickle that measures.
    pub share_above: f64,
}

impl LevelParams {
    /// No levels at all: a door at which only parts are asked.
    pub fn without_steps(self) -> LevelParams {
        LevelParams { steps: Vec::new(), ..self }
    }
}

/// What the levels are started with. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelParams {
    pub steps: Vec<LevelStep>,
    /// No two changes of level are nearer than this.
    pub min_stay: f64,
    /// Outcomes are forgotten over this time.
    pub window: f64,
    /// Attaches within the window below which nothing is judged.
    pub min_evidence: f64,
    /// Pressure is read from attaches that earn this part of the highest utility or more: what the last
    /// levels protect. The router refuses some of the rest on every busy day.
    pub min_judged_utility: f64,
    /// A redial counts as late from this part of its latency target on.
    pub late_redial_fraction: f64,
    /// From this pressure on, a level that would be entered next but one is entered at once.
    pub skip_pressure: f64,
    /// Thresholds and stays of each front differ by up to this part, so that fronts do not step as one.
    pub jitter: f64,
    /// A crossed threshold must stay crossed for a time drawn anew for each step, up to this: fronts that see
    /// the same trouble step at different moments, and the later ones see what the earlier ones' steps did.
    pub max_entry_delay: f64,
    /// The pause named at the first level; it doubles with each further one.
    pub base_pause: f64,
    pub max_pause: f64,
    /// How long a caller who went unserved is known by its number.
    pub redial_memory: f64,
    /// TenantShares of the tenants, by their index; empty where none are set.
    pub tenant_shares: Vec<f64>,
}

/// An attach at the door.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttachRequest {
    /// The number called; 0 where none is told.
    pub called_number: u64,
    /// Its utility as a part of the highest.
    pub relative_utility: f64,
    /// Part of that which is left past the latency target.
    pub late_share: f64,
    pub latency_target: f64,
    pub tenant: Option<usize>,
    /// Place of its procedure, as parts are given by it.
    pub procedure: usize,
}

/// Whose word refuses an attach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedBy {
    /// The level of reduced service.
    Level,
    /// The fleet's plan for a site that is out: this front's part of its procedure is used up.
    Plan,
}

/// What the door says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// Taken: the router is asked. `ticket` goes with its outcome.
    Admit(Ticket),
    /// Refused here; its caller may come back after `pause` seconds (0: none is named).
    Refuse { pause: f64, by: RefusedBy },
}

/// What an outcome is judged by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ticket {
    /// When its caller first asked, as far as is known.
    pub first_asked_at: f64,
    pub arrived_at: f64,
    pub latency_target: f64,
    pub relative_utility: f64,
    pub called_number: u64,
    /// The level that took it.
    pub level: usize,
}

/// How a taken attach ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Established,
    /// Refused by the router, throttled to the end, timed out, aborted.
    Failed,
    /// Its caller went away by its own choice: says nothing of the servers.
    Abandoned,
}
