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
    pub bears: Option<f64>,
}

/// A procedure, as the order of refusals sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    pub utility: f64,
    /// Part of the utility that is left past the latency target: what a refused attach that comes back still earns.
    pub late_share: f64,
    /// Processor time of one set-up, beside the other procedures'.
    pub work: f64,
    /// A refused attach of it may be asked again.
    pub repeatable: bool,
}

impl Class {
    /// What refusing one attach of it loses for a unit of processor time.
    pub fn loss(&self) -> f64 {
        let kept = if self.repeatable { self.late_share.clamp(0.0, 1.0) } else { 0.0 };
        self.utility * (1.0 - kept) / self.work
    }
}

/// Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct SitesParams {
    pub classes: Vec<Class>,
    /// Between two sights of this front.
    pub every: f64,
    /// A sight counts so long from when it was made.
    pub sight_for: f64,
    /// Most fronts must miss a site for so long before it is declared lost.
    pub lost_after: f64,
    /// Most fronts must reach a lost site for so long before it returns; doubled with each further loss
    pub return_after: f64,
    /// up to this.
    pub return_longest: f64,
    /// A site that has been up for so long has its losses forgotten.
    pub forget_after: f64,
    /// Least time that a step of a return lasts.
    pub step_stay: f64,
    /// Parts of the fronts outside it that may use a returning site, step by step; home fronts always may.
    pub steps: Vec<f64>,
    /// From this wait on a server counts as full.
    pub busy_wait: f64,
    /// Part of what servers bear that is promised: the rest is for what sights do not show.
    pub margin: f64,
    /// Part of each procedure's demand, and of each tenant's, that is taken whatever the order says.
    pub floor: f64,
    /// Attaches are refused by the plan's order while what is left is full; else by the module's own bound alone.
    pub refuses: bool,
    /// The longest order of an operator.
    pub longest_order: f64,
}

impl SitesParams {
    /// By the time between beats alone.
    pub fn beating(every: f64, classes: Vec<Class>) -> SitesParams {
        SitesParams {
            classes,
            every: 2.0 * every,
            sight_for: 12.0 * every,
            lost_after: 4.0 * every,
            return_after: 10.0 * every,
            return_longest: 600.0 * every,
            forget_after: 1200.0 * every,
            step_stay: 10.0 * every,
            steps: vec![0.0, 0.125, 0.25, 0.5, 1.0],
            busy_wait: 0.3,
            margin: 0.95,
            floor: 0.5,
            refuses: true,
            longest_order: 86_400.0,
        }
    }
}
