//! Settings of sites and of the plan for the loss of one; docs/operators/sites.md.

use crate::fleet::FleetSettings;
use crate::model::{over_zero, ProcedureSettings};
use crate::Span;
use garde::Validate;
use ipnet::IpNet;
use miette::Diagnostic;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use shalespindle_front::SiteParams;
use shalespindle_peer_wire::front_id;
use shalespindle_peers::FrontId;
use shalespindle_sites::{ProcedureClass, SiteSpec, SiteTable, SitesError, SitesParams};

/// A named group of fronts and servers that can be lost together.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SiteSettings {
    #[garde(length(min = 1, max = 64))]
    pub name: String,
    /// Its fronts, as `fleet.name` and `[[fleet.peers]]` name them.
    #[serde(default)]
    #[garde(length(max = 1024), inner(length(min = 1, max = 255)))]
    pub fronts: Vec<String>,
    /// Its servers, by the numbers of their pools
    #[serde(default)]
    #[garde(length(max = 1024))]
    pub pools: Vec<u16>,
    /// or by networks that hold their addresses, such as 10.1.0.0/16.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    #[garde(length(max = 256))]
    pub networks: Vec<IpNet>,
    /// Set-ups a second that its servers bear together when warm; learned where it is left out, once they were full.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(inner(range(min = 0.001, max = 1e9)))]
    pub bears: Option<f64>,
}

/// How the loss and the return of a site are found, and what is taken meanwhile.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct SitePlanSettings {
    /// A server that owes an answer or a connection for so long does not answer.
    #[garde(custom(over_zero))]
    pub silent_after: Span,
    /// Most fronts outside a site must miss it for so long before it is declared lost.
    #[garde(custom(over_zero))]
    pub lost_after: Span,
    /// Most must reach it again for so long before it returns; doubled with each loss of late, up to the longest.
    #[garde(custom(over_zero))]
    pub return_after: Span,
    #[garde(custom(over_zero))]
    pub return_longest: Span,
    /// A site up for so long has its losses forgotten.
    #[garde(custom(over_zero))]
    pub forget_after: Span,
    /// Least time that a step of a return lasts.
    #[garde(custom(over_zero))]
    pub step_stay: Span,
    /// Parts of the other fronts that may use a returning site, step by step; its own fronts always may.
    #[garde(length(min = 1, max = 16), inner(range(min = 0.0, max = 1.0)))]
    pub steps: Vec<f64>,
    /// Between two sights that a front tells.
    #[garde(custom(over_zero))]
    pub every: Span,
    /// From this wait on a server counts as full.
    #[garde(custom(over_zero))]
    pub busy_wait: Span,
    /// Part of what servers bear that is promised.
    #[garde(range(min = 0.1, max = 1.0))]
    pub margin: f64,
    /// Part of each procedure's and each tenant's attaches that is taken whatever the order of refusals says.
    #[garde(range(min = 0.0, max = 1.0))]
    pub floor: f64,
    /// While a site is out and what is left is full, attaches are refused by the plan's order of procedures; else by
    /// each front's own bound alone, which did better in fleets of hundreds.
    #[garde(skip)]
    pub refuses: bool,
}

impl Default for SitePlanSettings {
    fn default() -> SitePlanSettings {
        SitePlanSettings {
            silent_after: Span::from_millis(3_000),
            lost_after: Span::from_millis(2_000),
            return_after: Span::from_millis(1_000),
            return_longest: Span::from_millis(300_000),
            forget_after: Span::from_millis(600_000),
            step_stay: Span::from_millis(1_000),
            steps: vec![0.25, 1.0],
            every: Span::from_millis(1_000),
            busy_wait: Span::from_millis(300),
            margin: 1.0,
            floor: 0.5,
            refuses: false,
        }
    }
}

/// The longest order of an operator, seconds: one that is forgotten must not outlive a day.
const LONGEST_ORDER: f64 = 86_400.0;
/// A sight counts for so many times the pause between two.
const SIGHTS: f64 = 6.0;

/// The table that settings come to.
pub(crate) fn table(sites: &[SiteSettings]) -> Result<SiteTable, SitesError> {
    let spec = |site: &SiteSettings| SiteSpec {
        name: site.name.clone(),
        fronts: site.fronts.iter().map(|name| front_id(name)).collect(),
        pools: site.pools.clone(),
        networks: site.networks.clone(),
        capacity: site.bears,
    };
    let name = |front: FrontId| {
        let mut names = sites.iter().flat_map(|s| &s.fronts);
        names.find(|n| front_id(n) == front).cloned().unwrap_or_default()
    };
    SiteTable::new(sites.iter().map(spec).collect(), name)
}

/// Each fault of the sites with its key; its text says what to do.
pub(crate) fn faults(
    sites: &[SiteSettings],
    plan: &SitePlanSettings,
    fleet: Option<&FleetSettings>,
) -> Vec<(String, String)> {
    if sites.is_empty() {
        return Vec::new();
    }
    let mut faults = Vec::new();
    let Some(fleet) = fleet else {
        return vec![("sites".into(), "[fleet] is needed: a site is judged by many fronts".into())];
    };
    if let Err(fault) = table(sites) {
        faults.push(("sites".into(), said(&fault)));
    }
    for (place, site) in sites.iter().enumerate() {
        let known = |name: &String| *name == fleet.name || fleet.peers.iter().any(|p| p.name == *name);
        if let Some(front) = site.fronts.iter().find(|name| !known(name)) {
            let fault = SitesError::UnknownFront { front: front.clone(), site: site.name.clone() };
            faults.push((format!("sites[{place}].fronts"), said(&fault)));
        }
    }
    if plan.steps.windows(2).any(|w| w[0] > w[1]) || plan.steps.last() != Some(&1.0) {
        faults.push((
            "site_plan.steps".into(),
            "each must let in no less than the one before, the last all (1.0)".into(),
        ));
    }
    if plan.return_longest < plan.return_after {
        faults.push(("site_plan.return_longest".into(), "must not be shorter than return_after".into()));
    }
    if fleet.gone_after < plan.lost_after {
        faults.push(("site_plan.lost_after".into(), "must not be longer than fleet.gone_after".into()));
    }
    faults
}

/// What is wrong and what to do, in one line.
fn said(fault: &SitesError) -> String {
    match fault.help() {
        Some(help) => format!("{fault}: {help}"),
        None => fault.to_string(),
    }
}

/// What the core is started with.
pub(crate) fn params(
    sites: &[SiteSettings],
    plan: &SitePlanSettings,
    procedures: &[ProcedureSettings],
) -> Option<(SitesParams, SiteTable)> {
    let table = table(sites).ok().filter(|table| !table.is_empty())?;
    let class = |p: &ProcedureSettings| ProcedureClass {
        utility: p.utility,
        late_share: p.late_share,
        work: p.work,
        repeatable: p.repeatable,
    };
    let every = plan.every.seconds();
    let params = SitesParams {
        classes: procedures.iter().map(class).collect(),
        observation_interval: every,
        observation_lifetime: SIGHTS * every,
        lost_after: plan.lost_after.seconds(),
        return_after: plan.return_after.seconds(),
        max_return_after: plan.return_longest.seconds(),
        forget_after: plan.forget_after.seconds(),
        min_step_duration: plan.step_stay.seconds(),
        return_steps: plan.steps.clone(),
        busy_wait: plan.busy_wait.seconds(),
        capacity_margin: plan.margin,
        floor: plan.floor,
        enforce_plan: plan.refuses,
        max_order_duration: LONGEST_ORDER,
    };
    Some((params, table))
}

/// What a front is told of sites.
pub(crate) fn front(sites: &[SiteSettings], plan: &SitePlanSettings) -> Option<SiteParams> {
    let table = table(sites).ok().filter(|table| !table.is_empty())?;
    Some(SiteParams {
        table,
        report_interval: plan.every.seconds(),
        silent_after: plan.silent_after.seconds(),
    })
}
