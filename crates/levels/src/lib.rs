//! Levels of reduced service: admission control of one front, without I/O.
//!
//! Each level admits less than the one before, by the utility that an attach can still earn. The level
//! follows *pressure*: of the utility that the levels protect and the current level admits, the share that
//! was not established within its latency target. The module may refuse an attach before the router is asked;
//! it never chooses a route. It receives the front's observations and the current time as arguments, draws
//! random numbers from its seed, and yields the same levels for the same history. docs/design-notes/levels.md
//! compares the alternatives.

mod machine;
mod pressure;
mod rate_limits;
mod redials;
mod tenant_shares;

pub use machine::{Change, ChangeReason, Levels, LevelsStatus, Pin};

/// One level of reduced service. Level 0, full service, is not listed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelStep {
    /// The level is entered when the pressure of the level before it reaches this.
    pub entry_pressure: f64,
    /// The level is left when its own pressure is down to this.
    pub exit_pressure: f64,
    /// Fraction of the highest utility that separates `share_above` from `share_below`.
    pub min_utility: f64,
    /// Share that is admitted of attaches that earn less than `min_utility`. Late redials are always refused.
    pub share_below: f64,
    /// Share that is admitted of attaches that earn `min_utility` or more. Below 1 only in the last level,
    /// which admits just enough to measure the pressure.
    pub share_above: f64,
}

impl LevelParams {
    /// Parameters without levels: admission applies rate limits only.
    pub fn without_steps(self) -> LevelParams {
        LevelParams { steps: Vec::new(), ..self }
    }
}

/// Parameters of the levels. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct LevelParams {
    /// The levels in order; the first one is level 1.
    pub steps: Vec<LevelStep>,
    /// Minimum time between two changes of level.
    pub min_stay: f64,
    /// Time constant of the exponential decay by which outcomes are forgotten.
    pub window: f64,
    /// Number of attaches within the window that is needed to determine the pressure.
    pub min_evidence: f64,
    /// Only attaches that earn this fraction of the highest utility or more count towards the pressure: those
    /// that the last levels protect. The router refuses some of the others on every busy day.
    pub min_judged_utility: f64,
    /// A redial counts as late once this fraction of its latency target has passed.
    pub late_redial_fraction: f64,
    /// At this pressure or more, the next level is skipped and the one after it is entered.
    pub skip_pressure: f64,
    /// Thresholds and stays of each front vary by up to this fraction, so that fronts do not change level
    /// together.
    pub jitter: f64,
    /// Upper bound of the random time, drawn for each change, for which pressure must stay above a threshold
    /// before the next level is entered. Fronts that observe the same fault change at different times, and
    /// the later ones observe the effect of the earlier changes.
    pub max_entry_delay: f64,
    /// Retry pause that is named to refused callers at level 1; it doubles with each further level.
    pub base_pause: f64,
    /// Upper bound of the retry pause.
    pub max_pause: f64,
    /// Time for which a caller who was not served is remembered by the number that it called.
    pub redial_memory: f64,
    /// Shares of the tenants, by tenant index; empty where none are set.
    pub tenant_shares: Vec<f64>,
}

/// An attach that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttachRequest {
    /// The called number; 0 if the request names none.
    pub called_number: u64,
    /// Utility as a fraction of the highest utility.
    pub relative_utility: f64,
    /// Fraction of the utility that is left past the latency target.
    pub late_share: f64,
    /// Seconds.
    pub latency_target: f64,
    /// Index of the caller's tenant, if it has one.
    pub tenant: Option<usize>,
    /// Index of the procedure, as used by the rate limits.
    pub procedure: usize,
}

/// The rule by which an attach was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedBy {
    /// The level of reduced service.
    Level,
    /// The fleet's plan for a site that is out of service: this front's rate limit for the procedure is used
    /// up.
    Plan,
}

/// The decision on an [`AttachRequest`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The router is asked. The ticket is handed back with the outcome.
    Admit(Ticket),
    /// The attach is refused; its caller may retry after `pause` seconds (0: no pause is named).
    Refuse { pause: f64, by: RefusedBy },
}

/// Facts about an admitted attach that are needed to evaluate its outcome. Times are seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ticket {
    /// Time of the caller's first attempt, as far as it is known.
    pub first_asked_at: f64,
    pub arrived_at: f64,
    pub latency_target: f64,
    /// Utility as a fraction of the highest utility; for a late redial only the late share of it.
    pub relative_utility: f64,
    pub called_number: u64,
    /// The level at which it was admitted.
    pub level: usize,
}

/// How an admitted attach ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Established,
    /// Refused by the router, throttled until the end, timed out or aborted.
    Failed,
    /// Ended by the caller before it was established, which says nothing about the servers.
    Abandoned,
}
