//! Settings of the sites and of the plan for the loss of a site; docs/operators/sites.md.

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
    /// Name of the site.
    #[garde(length(min = 1, max = 64))]
    pub name: String,
    /// Names of its fronts, as in `fleet.name` and `[[fleet.peers]]`.
    #[serde(default)]
    #[garde(length(max = 1024), inner(length(min = 1, max = 255)))]
    pub fronts: Vec<String>,
    /// Numbers of the pools of its servers.
    #[serde(default)]
    #[garde(length(max = 1024))]
    pub pools: Vec<u16>,
    /// Networks that contain the addresses of its servers, such as 10.1.0.0/16.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    #[garde(length(max = 256))]
    pub networks: Vec<IpNet>,
    /// Capacity of its servers together when warm, in set-ups a second. Left out: it is measured once they
    /// have been fully loaded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(inner(range(min = 0.001, max = 1e9)))]
    pub bears: Option<f64>,
}

/// How the loss and the return of a site are detected, and what is admitted in the meantime.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct SitePlanSettings {
    /// A server that has not answered for so long, or has not been connected for so long, is unreachable.
    #[garde(custom(over_zero))]
    pub silent_after: Span,
    /// How long a majority of the fronts outside a site must miss it before it is declared lost.
    #[garde(custom(over_zero))]
    pub lost_after: Span,
    /// How long a majority must reach a lost site before it returns; doubled with each recent loss, up to
    /// `return_longest`.
    #[garde(custom(over_zero))]
    pub return_after: Span,
    /// Upper bound of the doubled `return_after`.
    #[garde(custom(over_zero))]
    pub return_longest: Span,
    /// The losses of a site are forgotten once it has been up for so long.
    #[garde(custom(over_zero))]
    pub forget_after: Span,
    /// Minimum duration of each step of a return.
    #[garde(custom(over_zero))]
    pub step_stay: Span,
    /// Fractions of the fronts outside a returning site that may use it, step by step; its own fronts
    /// always may.
    #[garde(length(min = 1, max = 16), inner(range(min = 0.0, max = 1.0)))]
    pub steps: Vec<f64>,
    /// Interval between two reports of a front's observations.
    #[garde(custom(over_zero))]
    pub every: Span,
    /// Servers that report this wait or more count as busy.
    #[garde(custom(over_zero))]
    pub busy_wait: Span,
    /// Fraction of the servers' capacity that the plan uses.
    #[garde(range(min = 0.1, max = 1.0))]
    pub margin: f64,
    /// Minimum share of each procedure's and each tenant's attaches that the plan admits.
    #[garde(range(min = 0.0, max = 1.0))]
    pub floor: f64,
    /// Whether the plan refuses attaches, in its order of procedures, while a site is out and the remaining
    /// servers are busy. Otherwise only each front's own limit does, which gave better results in fleets of
    /// hundreds.
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

/// Maximum duration of an operator's order, in seconds: a forgotten order ends within a day.
const MAX_ORDER_DURATION: f64 = 86_400.0;
/// Lifetime of an observation, in intervals between two observations.
const OBSERVATION_LIFETIME_INTERVALS: f64 = 6.0;

/// Returns the table of the sites.
pub(crate) fn site_table(sites: &[SiteSettings]) -> Result<SiteTable, SitesError> {
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

/// Checks that span several values: returns each wrong key with an error message that says what to do.
pub(crate) fn errors(
    sites: &[SiteSettings],
    plan: &SitePlanSettings,
    fleet: Option<&FleetSettings>,
) -> Vec<(String, String)> {
    if sites.is_empty() {
        return Vec::new();
    }
    let mut errors = Vec::new();
    let Some(fleet) = fleet else {
        return vec![(
            "sites".into(),
            "[fleet] is needed: many fronts together decide whether a site is lost".into(),
        )];
    };
    if let Err(error) = site_table(sites) {
        errors.push(("sites".into(), message_with_help(&error)));
    }
    for (index, site) in sites.iter().enumerate() {
        let known = |name: &String| *name == fleet.name || fleet.peers.iter().any(|p| p.name == *name);
        if let Some(front) = site.fronts.iter().find(|name| !known(name)) {
            let error = SitesError::UnknownFront { front: front.clone(), site: site.name.clone() };
            errors.push((format!("sites[{index}].fronts"), message_with_help(&error)));
        }
    }
    if plan.steps.windows(2).any(|w| w[0] > w[1]) || plan.steps.last() != Some(&1.0) {
        errors.push((
            "site_plan.steps".into(),
            "each step must not be less than the one before, and the last must be 1.0".into(),
        ));
    }
    if plan.return_longest < plan.return_after {
        errors.push(("site_plan.return_longest".into(), "must not be shorter than return_after".into()));
    }
    if fleet.gone_after < plan.lost_after {
        errors.push(("site_plan.lost_after".into(), "must not be longer than fleet.gone_after".into()));
    }
    errors
}

/// Returns what is wrong and what to do, in one line.
fn message_with_help(error: &SitesError) -> String {
    match error.help() {
        Some(help) => format!("{error}: {help}"),
        None => error.to_string(),
    }
}

/// Returns the parameters of the module that decides on sites; none if no sites are configured.
pub(crate) fn sites_params(
    sites: &[SiteSettings],
    plan: &SitePlanSettings,
    procedures: &[ProcedureSettings],
) -> Option<(SitesParams, SiteTable)> {
    let table = site_table(sites).ok().filter(|table| !table.is_empty())?;
    let class = |p: &ProcedureSettings| ProcedureClass {
        utility: p.utility,
        late_share: p.late_share,
        work: p.work,
        repeatable: p.repeatable,
    };
    let interval = plan.every.seconds();
    let params = SitesParams {
        classes: procedures.iter().map(class).collect(),
        observation_interval: interval,
        observation_lifetime: OBSERVATION_LIFETIME_INTERVALS * interval,
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
        max_order_duration: MAX_ORDER_DURATION,
    };
    Some((params, table))
}

/// Returns the parameters of a front about sites; none if no sites are configured.
pub(crate) fn front_site_params(sites: &[SiteSettings], plan: &SitePlanSettings) -> Option<SiteParams> {
    let table = site_table(sites).ok().filter(|table| !table.is_empty())?;
    Some(SiteParams {
        table,
        report_interval: plan.every.seconds(),
        silent_after: plan.silent_after.seconds(),
    })
}
