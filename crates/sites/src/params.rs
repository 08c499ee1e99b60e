//! What the module is started with.

use ipnet::IpNet;
use shalespindle_peers::FrontId;

/// A site as the settings name it.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSpec {
    pub name: String,
    pub fronts: Vec<FrontId>,
    /// Its servers, by the number of their pool
    pub pools: Vec<u16>,
    /// or by their address; a pool's number goes first.
    pub networks: Vec<IpNet>,
    /// Set-ups a second that its servers bear together when warm; none: learned, once they have been full.
    pub capacity: Option<f64>,
}

/// A procedure, as the order of refusals sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcedureClass {
    pub utility: f64,
    /// Part of the utility that is left past the latency target: what a refused attach that comes back still earns.
    pub late_share: f64,
    /// Processor time of one set-up, beside the other procedures'.
    pub work: f64,
    /// A refused attach of it may be requested again.
    pub repeatable: bool,
}

impl ProcedureClass {
    /// What refusing one attach of it loses for a unit of processor time.
    pub fn refusal_cost(&self) -> f64 {
        let kept = if self.repeatable { self.late_share.clamp(0.0, 1.0) } else { 0.0 };
        self.utility * (1.0 - kept) / self.work
    }
}

/// Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct SitesParams {
    pub classes: Vec<ProcedureClass>,
    /// Between two observations of this front.
    pub observation_interval: f64,
    /// A observation counts so long from when it was made.
    pub observation_lifetime: f64,
    /// Most fronts must miss a site for so long before it is declared lost.
    pub lost_after: f64,
    /// Most fronts must reach a lost site for so long before it returns; doubled with each further loss
    pub return_after: f64,
    /// up to this.
    pub max_return_after: f64,
    /// A site that has been up for so long has its losses forgotten.
    pub forget_after: f64,
    /// Least time that a step of a return lasts.
    pub min_step_duration: f64,
    /// AdmissionPlan of the fronts outside it that may use a returning site, step by step; home fronts always may.
    pub return_steps: Vec<f64>,
    /// From this wait on a server counts as full.
    pub busy_wait: f64,
    /// Part of what servers bear that is promised: the rest is for what observations do not show.
    pub capacity_margin: f64,
    /// Part of each procedure's demand, and of each tenant's, that is taken whatever the order says.
    pub floor: f64,
    /// Attaches are refused by the plan's order while what is left is full; else by the module's own bound alone.
    pub enforce_plan: bool,
    /// The longest order of an operator.
    pub max_order_duration: f64,
}

impl SitesParams {
    /// By the time between beats alone.
    pub fn from_heartbeat_interval(every: f64, classes: Vec<ProcedureClass>) -> SitesParams {
        SitesParams {
            classes,
            observation_interval: 2.0 * every,
            observation_lifetime: 12.0 * every,
            lost_after: 4.0 * every,
            return_after: 10.0 * every,
            max_return_after: 600.0 * every,
            forget_after: 1200.0 * every,
            min_step_duration: 10.0 * every,
            return_steps: vec![0.0, 0.125, 0.25, 0.5, 1.0],
            busy_wait: 0.3,
            capacity_margin: 0.95,
            floor: 0.5,
            enforce_plan: true,
            max_order_duration: 86_400.0,
        }
    }
}
