//! The settings of a front, as their file writes them.

use crate::fleet::FleetSettings;
use crate::sites::{self, SitePlanSettings, SiteSettings};
use crate::sources::{DnsSettings, MembershipSettings};
use crate::Span;
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use shalespindle_control::interface::{ColdStart, Deployment, Procedure as ToldProcedure};
use shalespindle_front::params::FirstChoice;
use shalespindle_front::Params;
use shalespindle_levels::{LevelParams, LevelStep};
use shalespindle_sites::{SiteTable, SitesParams};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::PathBuf;

pub(crate) fn over_zero(span: &Span, _: &()) -> garde::Result {
    if span.0.is_zero() {
        return Err(garde::Error::new("must be longer than 0"));
    }
    Ok(())
}

/// A settings file.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    #[garde(dive)]
    pub front: FrontSettings,
    #[garde(dive)]
    pub pool_list: PoolListSettings,
    /// What an attach can be; the first one is meant where an INVITE names none.
    #[garde(length(min = 1, max = 256), dive)]
    pub procedures: Vec<ProcedureSettings>,
    /// Trunk groups (RFC 4904) and the pool that is the first choice of each.
    #[serde(default)]
    #[garde(length(max = 10_000), dive)]
    pub trunk_groups: Vec<TrunkGroup>,
    #[garde(dive)]
    pub rules: RulesSettings,
    #[serde(default)]
    #[garde(dive)]
    pub limits: LimitSettings,
    #[serde(default)]
    #[garde(dive)]
    pub links: LinkSettings,
    /// Who shares the service; its name is the host of its callers' addresses.
    #[serde(default)]
    #[garde(length(max = 10_000), dive)]
    pub tenants: Vec<TenantSettings>,
    /// SRV records as a second source of servers; docs/operators/membership.md.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub dns: Option<DnsSettings>,
    #[serde(default)]
    #[garde(dive)]
    pub membership: MembershipSettings,
    /// Other fronts; docs/operators/fleet.md.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(dive)]
    pub fleet: Option<FleetSettings>,
    /// Groups of fronts and servers that can be lost together; docs/operators/sites.md.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = 64), dive)]
    pub sites: Vec<SiteSettings>,
    #[serde(default)]
    #[garde(dive)]
    pub site_plan: SitePlanSettings,
    #[serde(default)]
    #[garde(dive)]
    pub levels: LevelSettings,
    #[serde(default)]
    #[garde(skip)]
    pub console: ConsoleSettings,
    #[serde(default)]
    #[garde(skip)]
    pub log: LogSettings,
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TenantSettings {
    #[garde(length(min = 1, max = 255))]
    pub name: String,
    /// Part of the service that is its own.
    #[garde(range(min = 0.0, max = 1.0))]
    pub share: f64,
}

/// Levels of reduced service; docs/operators/levels.md.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LevelSettings {
    #[garde(skip)]
    pub on: bool,
    /// No two changes are nearer than this.
    #[garde(custom(over_zero))]
    pub least_stay: Span,
    /// Outcomes are forgotten over so many of the shortest latency target.
    #[garde(range(min = 0.1, max = 100.0))]
    pub window: f64,
    /// Attaches within the window below which nothing is judged.
    #[garde(range(min = 1.0, max = 1000.0))]
    pub evidence: f64,
    /// Pressure is read from what earns this part of the highest utility or more.
    #[garde(range(min = 0.0, max = 1.0))]
    pub judge_from: f64,
    /// A redial counts as late from this part of its latency target on: what is left must do for a set-up.
    #[garde(range(min = 0.1, max = 1.0))]
    pub reach: f64,
    /// Pressure from which a level is skipped on the way up.
    #[garde(range(min = 0.0, max = 1.0))]
    pub leap: f64,
    /// Part by which fronts differ.
    #[garde(range(min = 0.0, max = 0.9))]
    pub spread: f64,
    /// A crossed threshold must stay crossed for a time drawn anew for each step, up to this part of the
    /// least stay.
    #[garde(range(min = 0.0, max = 10.0))]
    pub patience: f64,
    /// Pause named at the first level, in shortest latency targets; doubles with each further one.
    #[garde(range(min = 0.0, max = 10.0))]
    pub pause: f64,
    #[garde(length(min = 1, max = 16), dive)]
    pub steps: Vec<StepSettings>,
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct StepSettings {
    /// Pressure of the level before at which it is entered.
    #[garde(range(min = 0.001, max = 1.0))]
    pub enter: f64,
    /// Its own pressure at which it is left.
    #[garde(range(min = 0.0, max = 1.0))]
    pub exit: f64,
    /// Part of the highest utility that it takes in any case.
    #[garde(range(min = 0.0, max = 1.0))]
    pub floor: f64,
    /// Share taken of what earns less.
    #[garde(range(min = 0.0, max = 1.0))]
    pub below: f64,
    /// Share taken of the rest.
    #[garde(range(min = 0.001, max = 1.0))]
    pub above: f64,
}

impl Default for LevelSettings {
    fn default() -> LevelSettings {
        let step = |enter, exit, floor, below, above| StepSettings { enter, exit, floor, below, above };
        LevelSettings {
            on: true,
            least_stay: Span::from_millis(2000),
            window: 2.0,
            evidence: 6.0,
            judge_from: 0.0,
            reach: 1.0,
            leap: 0.99,
            spread: 0.2,
            patience: 2.0,
            pause: 0.25,
            steps: vec![
                step(0.05, 0.02, 0.0, 1.0, 1.0),
                step(0.85, 0.6, 0.5, 0.8, 1.0),
                step(0.9, 0.65, 0.5, 0.5, 1.0),
                step(0.97, 0.8, 0.5, 0.0, 0.3),
            ],
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FrontSettings {
    /// Where callers reach it, over UDP and TCP.
    #[schemars(with = "String")]
    #[garde(skip)]
    pub listen: SocketAddr,
    /// Its name in Via and Contact; the listening address where it is left out.
    #[serde(default)]
    #[garde(inner(length(min = 1, max = 255)))]
    pub host: Option<String>,
    /// Starts its chance; drawn anew at each start where it is left out.
    #[serde(default)]
    #[garde(skip)]
    pub seed: Option<u64>,
    /// So long before a caller's time is up its answer is sent.
    #[serde(default = "answer_margin")]
    #[garde(skip)]
    pub answer_margin: Span,
    /// Added to the release guard, so that it holds as seen from the servers too.
    #[serde(default = "wire_margin")]
    #[garde(skip)]
    pub wire_margin: Span,
    /// How long standing attaches may hold up an orderly end.
    #[serde(default = "end_within")]
    #[garde(skip)]
    pub end_within: Span,
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PoolListSettings {
    /// The feed of the pool list, over TCP.
    #[schemars(with = "String")]
    #[garde(skip)]
    pub feed: SocketAddr,
    /// Longest pause before a lost feed is tried again.
    #[serde(default = "feed_reconnect")]
    #[garde(custom(over_zero))]
    pub reconnect_longest: Span,
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ProcedureSettings {
    #[garde(length(min = 1, max = 64))]
    pub name: String,
    /// Resource-Priority values (RFC 4412) that mean it.
    #[serde(default)]
    #[garde(skip)]
    pub priorities: Vec<String>,
    #[garde(custom(over_zero))]
    pub latency_target: Span,
    #[garde(custom(over_zero))]
    pub t_timer: Span,
    #[garde(range(min = 0.0, max = 1e6))]
    pub utility: f64,
    /// Share of the utility that is left past the latency target.
    #[garde(range(min = 0.0, max = 1.0))]
    pub late_share: f64,
    /// Numbers of the pools that can take it.
    #[garde(length(min = 1))]
    pub pools: Vec<u16>,
    /// Processor time of one set-up, beside the other procedures'; what a plan for a lost site goes by.
    #[serde(default = "one")]
    #[garde(range(min = 0.001, max = 1000.0))]
    pub work: f64,
    /// A caller that is refused may ask again.
    #[serde(default = "yes")]
    #[garde(skip)]
    pub repeatable: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TrunkGroup {
    #[garde(length(min = 1, max = 64))]
    pub name: String,
    /// Left out: dealt by priority and weight of DNS.
    #[garde(skip)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_choice: Option<u16>,
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RulesSettings {
    /// Rule 3: nothing new so long after the news of a drain.
    #[garde(custom(over_zero))]
    pub drain_grace: Span,
    /// Rule 5: no resend within this after a try that timed out, was reset or cancelled.
    #[garde(skip)]
    pub release_guard: Span,
    /// Rule 4.
    #[garde(dive)]
    pub cold: ColdSettings,
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ColdSettings {
    /// Least share of its capacity that a processor starts with.
    #[garde(range(min = 0.01, max = 1.0))]
    pub start_capacity: f64,
    #[garde(custom(over_zero))]
    pub warm_after: Span,
    /// Multiple of what it can do at which it falls over.
    #[garde(range(min = 1.0, max = 100.0))]
    pub tip_multiple: f64,
    /// Sent for so long.
    #[serde(default = "fall_after")]
    #[garde(custom(over_zero))]
    pub fall_after: Span,
}

fn fall_after() -> Span {
    Span::from_millis(1000)
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Setup tries of an attach.
    #[garde(range(min = 1, max = 32))]
    pub tries: u32,
    #[garde(skip)]
    pub probes: bool,
    #[garde(skip)]
    pub cancels: bool,
    /// Longest pause named to a refused caller; `0s`: none is named.
    #[garde(skip)]
    pub longest_pause: Span,
    #[garde(range(min = 1, max = 1_000_000))]
    pub attaches_in_hand: usize,
    #[garde(range(min = 1, max = 1_000_000))]
    pub caller_connections: usize,
}

impl Default for LimitSettings {
    fn default() -> LimitSettings {
        LimitSettings {
            tries: 4,
            probes: true,
            cancels: true,
            longest_pause: Span::from_millis(2000),
            attaches_in_hand: 20_000,
            caller_connections: 10_000,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LinkSettings {
    #[garde(custom(over_zero))]
    pub connect_within: Span,
    #[garde(custom(over_zero))]
    pub reconnect_least: Span,
    #[garde(custom(over_zero))]
    pub reconnect_longest: Span,
    /// Frames that may wait for one server's socket.
    #[garde(range(min = 1, max = 1_000_000))]
    pub frames_queued: usize,
}

impl Default for LinkSettings {
    fn default() -> LinkSettings {
        LinkSettings {
            connect_within: Span::from_millis(500),
            reconnect_least: Span::from_millis(100),
            reconnect_longest: Span::from_millis(2000),
            frames_queued: 4096,
        }
    }
}

/// Operators' questions; docs/operators/front.md.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ConsoleSettings {
    /// Path of the local socket; none is opened where it is left out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub socket: Option<PathBuf>,
}

/// How the log is written.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    pub form: LogForm,
    /// A filter such as `info` or `shalespindle=debug`.
    pub filter: Option<String>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogForm {
    #[default]
    Text,
    Json,
}

fn one() -> f64 {
    1.0
}
fn yes() -> bool {
    true
}
fn answer_margin() -> Span {
    Span::from_millis(50)
}
fn wire_margin() -> Span {
    Span::from_millis(25)
}
fn end_within() -> Span {
    Span::from_millis(10_000)
}
fn feed_reconnect() -> Span {
    Span::from_millis(2000)
}

impl Settings {
    /// What no single value shows: each fault with its key.
    pub(crate) fn cross_checks(&self) -> Vec<(String, String)> {
        let mut faults = Vec::new();
        let mut priorities = HashSet::new();
        for (place, p) in self.procedures.iter().enumerate() {
            if p.t_timer < p.latency_target {
                faults.push((
                    format!("procedures[{place}].t_timer"),
                    "must not be shorter than its latency_target".into(),
                ));
            }
            for priority in &p.priorities {
                if !priorities.insert(priority) {
                    faults.push((
                        format!("procedures[{place}].priorities"),
                        format!("{priority:?} already means another procedure"),
                    ));
                }
            }
        }
        let mut names = HashSet::new();
        for (place, group) in self.trunk_groups.iter().enumerate() {
            if !names.insert(&group.name) {
                faults.push((
                    format!("trunk_groups[{place}].name"),
                    "a trunk group of this name is there".into(),
                ));
            }
            let key = format!("trunk_groups[{place}].first_choice");
            match group.first_choice {
                Some(pool) if !self.procedures.iter().any(|p| p.pools.contains(&pool)) => {
                    faults.push((key, format!("no procedure may go to pool {pool}")));
                }
                None if self.dns.is_none() => {
                    faults.push((key, "needed where there is no [dns] to deal it".into()));
                }
                _ => {}
            }
        }
        for (place, step) in self.levels.steps.iter().enumerate() {
            if step.exit >= step.enter {
                faults.push((format!("levels.steps[{place}].exit"), "must be less than its enter".into()));
            }
            let before = place.checked_sub(1).map_or(0.0, |p| self.levels.steps[p].floor);
            if step.floor < before {
                faults.push((
                    format!("levels.steps[{place}].floor"),
                    "must not take what the step before refuses".into(),
                ));
            }
        }
        faults.extend(self.dns.iter().flat_map(DnsSettings::faults));
        faults.extend(self.membership.faults());
        faults.extend(self.fleet.iter().flat_map(FleetSettings::faults));
        faults.extend(sites::faults(&self.sites, &self.site_plan, self.fleet.as_ref()));
        let shares: f64 = self.tenants.iter().map(|t| t.share).sum();
        if shares > 1.0 + 1e-9 {
            faults.push(("tenants".into(), format!("shares add up to {shares}, over 1")));
        }
        if self.links.reconnect_longest < self.links.reconnect_least {
            faults
                .push(("links.reconnect_longest".into(), "must not be shorter than reconnect_least".into()));
        }
        faults
    }

    /// What the fleet's judging of sites is started with; none where no sites are named.
    pub fn sites_params(&self) -> Option<(SitesParams, SiteTable)> {
        sites::params(&self.sites, &self.site_plan, &self.procedures)
    }

    /// What the front is started with.
    pub fn front_params(&self) -> Params {
        let procedure = |p: &ProcedureSettings| ToldProcedure {
            latency_target: p.latency_target.seconds(),
            utility: p.utility,
            late_share: p.late_share,
            t_timer: p.t_timer.seconds(),
            pools: p.pools.clone(),
        };
        let mut dealt = 0;
        let mut trunk_groups = HashMap::new();
        for group in &self.trunk_groups {
            let choice = group.first_choice.map_or_else(
                || {
                    dealt += 1;
                    FirstChoice::Dns(dealt - 1)
                },
                FirstChoice::Pool,
            );
            trunk_groups.insert(group.name.clone(), choice);
        }
        let named = |(place, p): (usize, &ProcedureSettings)| -> Vec<(String, usize)> {
            p.priorities.iter().map(|name| (name.clone(), place)).collect()
        };
        let cold = &self.rules.cold;
        let shortest =
            self.procedures.iter().map(|p| p.latency_target.seconds()).fold(f64::INFINITY, f64::min);
        let longest = self.procedures.iter().map(|p| p.t_timer.seconds()).fold(0.0, f64::max);
        let l = &self.levels;
        let step = |s: &StepSettings| LevelStep {
            entry_pressure: s.enter,
            exit_pressure: s.exit,
            min_utility: s.floor,
            share_below: s.below,
            share_above: s.above,
        };
        let levels = LevelParams {
            steps: l.steps.iter().map(step).collect(),
            min_stay: l.least_stay.seconds(),
            window: l.window * shortest,
            min_evidence: l.evidence,
            min_judged_utility: l.judge_from,
            late_redial_fraction: l.reach,
            skip_pressure: l.leap,
            jitter: l.spread,
            max_entry_delay: l.patience * l.least_stay.seconds(),
            base_pause: l.pause * shortest,
            max_pause: self.limits.longest_pause.seconds(),
            redial_memory: longest,
            tenant_shares: self.tenants.iter().map(|t| t.share).collect(),
        };
        Params {
            tenants: self.tenants.iter().enumerate().map(|(i, t)| (t.name.clone(), i)).collect(),
            sites: sites::front(&self.sites, &self.site_plan),
            levels: match l.on {
                true => Some(levels),
                // A plan for a lost site speaks at the same door.
                false => (!self.sites.is_empty()).then(|| levels.without_steps()),
            },
            deployment: Deployment {
                procedures: self.procedures.iter().map(procedure).collect(),
                may_probe: self.limits.probes,
                may_cancel: self.limits.cancels,
                max_tries: self.limits.tries,
                release_guard: self.rules.release_guard.seconds() + self.front.wire_margin.seconds(),
                max_pause: self.limits.longest_pause.seconds(),
                cold: ColdStart {
                    start_capacity: cold.start_capacity,
                    warm_after: cold.warm_after.seconds(),
                    overload_multiple: cold.tip_multiple,
                    overload_window: cold.fall_after.seconds(),
                },
            },
            priorities: self.procedures.iter().enumerate().flat_map(named).collect(),
            trunk_groups,
            dns_groups: dealt,
            membership: self.membership.membership_params(),
            has_peers: self.fleet.is_some(),
            dns: self.dns.as_ref().map(DnsSettings::dns_params),
            default_procedure: 0,
            host: self.front.host.clone().unwrap_or_else(|| self.front.listen.to_string()),
            answer_margin: self.front.answer_margin.seconds(),
            max_pending: self.limits.attaches_in_hand,
            max_queued_frames: self.links.frames_queued,
            connect_timeout: self.links.connect_within.seconds(),
            reconnect_pause: (self.links.reconnect_least.seconds(), self.links.reconnect_longest.seconds()),
            drain_grace: self.rules.drain_grace.seconds(),
            shutdown_timeout: self.front.end_within.seconds(),
        }
    }
}
