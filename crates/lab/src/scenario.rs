//! Scenarios, read from TOML: a fleet, its callers, faults and the limits of the rules.

use crate::fleet_sites::front_name;
use crate::zone;
use clap::ValueEnum;
use serde::Deserialize;
use shalespindle_settings::*;
use shalespindle_standin::callers::{AskSpec, CallerSpec};
use shalespindle_standin::checker::Figures;
use shalespindle_standin::nameserver::Script;
use shalespindle_standin::processor::{Cold, Work};
use shalespindle_standin::server::ServerSpec;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The scenario of `lab bad-day`.
pub const BAD_DAY: &str = include_str!("../scenarios/bad-day.toml");

/// Why a scenario cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
    #[error("{file}: {why}")]
    File { file: PathBuf, why: std::io::Error },
    #[error("{key}: {why}")]
    Value { key: String, why: String },
}

/// One scenario. Times are seconds from its start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// Time during which callers make calls; after it the run continues until all are answered.
    pub seconds: f64,
    pub fleet: Fleet,
    pub servers: Servers,
    pub callers: Callers,
    pub rules: Rules,
    /// SRV records as a second source of servers.
    #[serde(default)]
    pub dns: Option<DnsSection>,
    /// Sites whose loss the fleet decides on; used under virtual time only.
    #[serde(default)]
    pub sites: Option<SitesSection>,
    #[serde(default)]
    pub site_plan: SitePlanSettings,
    #[serde(default)]
    pub levels: LevelSettings,
    #[serde(default)]
    pub membership: MembershipSettings,
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// Size of the fleet, its delays, and the limits of its fronts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub fronts: usize,
    pub servers: usize,
    /// Delay of the pool list, seconds.
    pub list_delay: f64,
    /// One-way delay between a front and a server under virtual time, seconds.
    #[serde(default)]
    pub link_delay: f64,
    /// Maximum number of setup tries of an attach.
    pub tries: u32,
    /// Fronts may probe servers.
    pub probes: bool,
    /// Fronts may cancel setup tries.
    pub cancels: bool,
    /// Maximum Retry-After sent to a refused caller, seconds; 0: none is sent.
    #[serde(rename = "longest_pause")]
    pub max_retry_after: f64,
}

/// The DNS zone of a scenario and how fronts look it up.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DnsSection {
    /// Lifetime of records, seconds.
    pub ttl: u32,
    /// Seconds until a change of a server is in the zone.
    pub delay: f64,
    pub name_servers: usize,
    /// Seconds over which the first look-ups are spread.
    pub start_spread: f64,
    /// Minimum lifetime of a record at the fronts, whatever its TTL, seconds.
    #[serde(rename = "lifetime_least")]
    pub min_lifetime: f64,
    /// DNS is the only source: the pool list sends nothing.
    pub alone: bool,
}

impl Default for DnsSection {
    fn default() -> DnsSection {
        DnsSection { ttl: 2, delay: 0.2, name_servers: 2, start_spread: 0.5, min_lifetime: 1.0, alone: false }
    }
}

/// Sites of a scenario: fronts and servers are assigned to them in contiguous blocks.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SitesSection {
    pub count: usize,
    /// Seconds between two heartbeats of a front.
    #[serde(rename = "beat")]
    pub heartbeat_interval: f64,
    /// The settings state the capacity of a site's servers; else fronts learn it.
    #[serde(rename = "told")]
    pub capacity_configured: bool,
    /// Fronts know of the sites; else only faults refer to them.
    #[serde(default = "enabled")]
    pub on: bool,
}

/// What the servers are like; see `ServerSpec`. Times are seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// Set-ups a second that a server of speed 1 can do.
    pub capacity: f64,
    /// Speeds, assigned to the servers in rotation.
    pub speeds: Vec<f64>,
    /// Work of the answer, of the release, of a probe and of a rejection, as fractions of the work of a
    /// set-up.
    pub answer: f64,
    pub release: f64,
    pub probe: f64,
    pub reject: f64,
    /// Calls that a server can hold at a time.
    pub lines: u32,
    /// Ringing time before the answer; it takes no work.
    #[serde(default)]
    pub ring: f64,
    /// Set-ups are rejected while the processor's queue is longer than this.
    pub full_wait: f64,
    /// Rejections carry the wait as Retry-After.
    pub tells_wait: bool,
    /// Interval at which the load that is reported in answers is refreshed; 0: none is reported.
    pub report_every: f64,
    /// Answers and releases are served before set-ups.
    pub answers_first: bool,
    /// A cancelled set-up is removed from the queue; else its work is still done.
    pub drops_given_up: bool,
}

/// The traffic and the behaviour of callers. Times are seconds; pairs are ranges.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// New calls per second over all fronts, as a fraction of the capacity of all servers.
    pub load: f64,
    pub procedures: Vec<AskSpec>,
    /// Names and shares of the traffic.
    pub tenants: Vec<(String, f64)>,
    /// Interval at which the distribution of trunk groups among calls shifts.
    pub shift_every: f64,
    /// Patience of one dial, in T-timers.
    pub patience: (f64, f64),
    /// Maximum number of redials of a call.
    pub redials: u32,
    /// Wait before a redial.
    pub redial_wait: (f64, f64),
    /// A redial waits at least for the Retry-After of the refusal.
    pub heeds_retry_after: bool,
}

/// Limits of the rules that the checker verifies and that fronts are configured with. Times are seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Rule 1: an answer so long after the caller's deadline still counts.
    pub answer_slack: f64,
    /// Rule 3: set-ups may reach a server for so long after its drain is reported.
    pub drain_grace: f64,
    /// Rule 5: minimum time between the end of a setup try without an answer and the next try.
    pub release_guard: f64,
    /// Rule 4, of cold servers, from here on.
    pub start_capacity: f64,
    pub warm_after: f64,
    pub tip_multiple: f64,
    pub fall_after: f64,
}

/// The kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, ValueEnum)]
#[serde(rename_all = "snake_case")]
#[value(rename_all = "snake_case")]
pub enum FaultKind {
    // Comments here, not doc comments: clap would show those as help texts.
    // Servers end, which the pool list reports, and start again cold.
    Crash,
    // Servers stop answering without closing their connections, and are restarted at the end of the fault.
    Vanish,
    // Servers accept set-ups and answer none, but do answer probes.
    Hang,
    // Servers take `size` times as long.
    Slow,
    // The callers' rate is multiplied by `size`.
    Burst,
    // Servers are drained and replaced one after the other.
    Deploy,
    // The pool list is late by another `size` seconds.
    DiscoveryStale,
    // Fronts are killed, and start again.
    BalancerCrash,
    // Fronts are stopped, and continue.
    BalancerStall,
    // Servers lose a share `size` of their answers.
    AnswerLost,
    // Callers give up after a share `size` of their patience.
    GiveUp,
    // The callers of one tenant redial at once, many times.
    RetryAbuse,
    /// Name servers follow a script.
    NameServer,
    /// The pool list sends nothing.
    FeedSilent,
    /// All servers of site number `size` end, and start again cold; the pool list does not report it.
    SiteLost,
}

/// A fault, which occurs once or periodically.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    /// Start of the first occurrence.
    pub from: f64,
    #[serde(rename = "for")]
    pub duration: f64,
    /// Share of the servers or fronts that it affects, rounded up.
    #[serde(default = "all", rename = "part")]
    pub share: f64,
    /// Interval between the starts of two occurrences, seconds; none: it occurs once.
    #[serde(default, rename = "every")]
    pub period: Option<f64>,
    /// Behaviour of the name servers during `NameServer`.
    #[serde(default)]
    pub script: Script,
    /// Its size, by kind: factor of time, factor of the rate, share of answers lost, share of patience,
    /// seconds of delay, number of a site.
    #[serde(default)]
    pub size: f64,
}

/// Maximum depth of bases, against files that name each other as base.
const MAX_BASES: usize = 4;

/// Reads a file merged over its base; `bases` is the number of further bases allowed.
fn read_merged(path: &Path, bases: usize) -> Result<toml::Table, ScenarioError> {
    let text = std::fs::read_to_string(path).map_err(|why| ScenarioError::File { file: path.into(), why })?;
    let mut own: toml::Table = toml::from_str(&text)?;
    let Some(base) = own.remove("base") else { return Ok(own) };
    let bad = |why: &str| ScenarioError::Value { key: "base".into(), why: why.into() };
    let base = base.as_str().ok_or_else(|| bad("the name of a file beside this one"))?;
    if bases == 0 {
        return Err(bad("bases are too deep"));
    }
    let mut merged = read_merged(&path.with_file_name(base), bases - 1)?;
    merge_over(&mut merged, own);
    Ok(merged)
}

/// Puts the keys of `over` into `under`, table by table.
fn merge_over(under: &mut toml::Table, over: toml::Table) {
    for (key, value) in over {
        match (under.get_mut(&key), value) {
            (Some(toml::Value::Table(under)), toml::Value::Table(over)) => merge_over(under, over),
            (_, value) => {
                under.insert(key, value);
            }
        }
    }
}

fn enabled() -> bool {
    true
}

fn all() -> f64 {
    1.0
}

impl Scenario {
    /// Reads and checks a scenario.
    pub fn read(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Reads and checks a scenario's file. The key `base` may name another file in the same folder, whose
    /// keys this file's override, table by table; lists are replaced as a whole.
    pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = read_merged(path, MAX_BASES)?.try_into()?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Sets the period of all periodic faults; each occurrence lasts half of it.
    pub fn set_period(&mut self, period: f64) {
        for fault in self.faults.iter_mut().filter(|t| t.period.is_some()) {
            fault.period = Some(period);
            fault.duration = period / 2.0;
        }
    }

    fn check(&self) -> Result<(), ScenarioError> {
        let bad = |key: &str, why: &str| Err(ScenarioError::Value { key: key.into(), why: why.into() });
        if !(1..=1000).contains(&self.fleet.fronts) {
            return bad("fleet.fronts", "1 to 1000");
        }
        if !(1..=200).contains(&self.fleet.servers) {
            return bad("fleet.servers", "1 to 200");
        }
        if !(self.seconds > 0.0 && self.seconds <= 86_400.0) {
            return bad("seconds", "more than 0, at most 86400");
        }
        if self.servers.speeds.is_empty() || self.servers.speeds.iter().any(|s| *s <= 0.0) {
            return bad("servers.speeds", "one or more, each over 0");
        }
        if self.servers.capacity <= 0.0 {
            return bad("servers.capacity", "over 0");
        }
        if self.callers.procedures.is_empty() || self.callers.tenants.is_empty() {
            return bad("callers", "one procedure and one tenant at least");
        }
        if self.dns.as_ref().is_some_and(|d| !(1..=8).contains(&d.name_servers) || d.delay < 0.0) {
            return bad("dns", "1 to 8 name_servers, delay 0 or more");
        }
        if self.sites.as_ref().is_some_and(|s| {
            !(1..=16).contains(&s.count) || s.heartbeat_interval.is_nan() || s.heartbeat_interval < 0.05
        }) {
            return bad("sites", "count 1 to 16, beat 0.05 or more");
        }
        if self.callers.load < 0.0 {
            return bad("callers.load", "0 or more");
        }
        for (index, fault) in self.faults.iter().enumerate() {
            let key = format!("troubles[{index}]");
            if fault.period.is_some_and(|period| period < 0.1 || period.is_nan()) {
                return bad(&key, "every 0.1 or more");
            }
            if !(0.0..=1.0).contains(&fault.share) || fault.duration < 0.0 || fault.from < 0.0 {
                return bad(&key, "part in 0 to 1, from and for 0 or more");
            }
            let size_needed = matches!(fault.kind, FaultKind::Slow | FaultKind::Burst);
            if size_needed && fault.size <= 0.0 {
                return bad(&key, "size over 0");
            }
            if matches!(fault.kind, FaultKind::AnswerLost | FaultKind::GiveUp)
                && !(0.0..=1.0).contains(&fault.size)
            {
                return bad(&key, "size in 0 to 1");
            }
        }
        Ok(())
    }

    /// The servers of a site.
    pub fn site_servers(&self, site: usize) -> impl Iterator<Item = usize> + '_ {
        let (count, all) = (self.sites.as_ref().map_or(1, |s| s.count), self.fleet.servers);
        (0..all).filter(move |s| s * count / all == site)
    }

    fn site_settings(&self) -> Vec<SiteSettings> {
        let Some(sites) = self.sites.as_ref().filter(|s| s.on) else { return Vec::new() };
        let (count, fronts) = (sites.count, self.fleet.fronts);
        let one = |site: usize| SiteSettings {
            name: format!("site-{site}"),
            fronts: (0..fronts).filter(|f| f * count / fronts == site).map(front_name).collect(),
            pools: self.site_servers(site).map(|s| s as u16).collect(),
            networks: Vec::new(),
            bears: sites
                .capacity_configured
                .then(|| self.site_servers(site).map(|s| self.servers.capacity * self.speed(s)).sum()),
        };
        (0..count).map(one).collect()
    }

    /// Rule 4's limits of cold servers.
    pub fn cold(&self) -> Cold {
        let r = &self.rules;
        Cold {
            start_capacity: r.start_capacity,
            warm_after: r.warm_after,
            tip_multiple: r.tip_multiple,
            fall_after: r.fall_after,
        }
    }

    /// Speed of a server as a factor of `servers.capacity`.
    pub fn speed(&self, server: usize) -> f64 {
        self.servers.speeds[server % self.servers.speeds.len()]
    }

    /// Properties of server number `server`.
    pub fn server(&self, server: usize) -> ServerSpec {
        let s = &self.servers;
        let set_up = 1.0 / (s.capacity * self.speed(server) * (1.0 + s.answer + s.release));
        ServerSpec {
            work: Work {
                set_up,
                answer: set_up * s.answer,
                release: set_up * s.release,
                probe: set_up * s.probe,
                reject: set_up * s.reject,
            },
            cold: self.cold(),
            lines: s.lines,
            ring: s.ring,
            full_wait: s.full_wait,
            tells_wait: s.tells_wait,
            report_every: s.report_every,
            answers_first: s.answers_first,
            drops_given_up: s.drops_given_up,
        }
    }

    /// New calls per second over all fronts.
    pub fn rate(&self) -> f64 {
        let all: f64 = (0..self.fleet.servers).map(|s| self.servers.capacity * self.speed(s)).sum();
        self.callers.load * all
    }

    /// Name of the trunk group whose first choice is that server.
    pub fn trunk_group(server: usize) -> String {
        format!("tg-{server}")
    }

    /// Properties of the callers of each front.
    pub fn caller(&self) -> CallerSpec {
        let c = &self.callers;
        CallerSpec {
            procedures: c.procedures.clone(),
            trunk_groups: (0..self.fleet.servers).map(Scenario::trunk_group).collect(),
            shift_every: c.shift_every,
            tenants: c.tenants.clone(),
            patience: c.patience,
            redials: c.redials,
            redial_wait: c.redial_wait,
            heeds_retry_after: c.heeds_retry_after,
        }
    }

    /// Limits for the checker; `passing` is the delay that the sockets themselves may add, seconds.
    pub fn figures(&self, passing: f64) -> Figures {
        Figures {
            answer_slack: self.rules.answer_slack,
            drain_grace: self.rules.drain_grace,
            release_guard: self.rules.release_guard,
            cold: self.cold(),
            passing,
            hold: self.membership.hold.seconds(),
        }
    }

    fn dns_settings(&self, dns: &DnsSection, names: &[SocketAddr]) -> DnsSettings {
        let span = |seconds: f64| Span(Duration::from_secs_f64(seconds));
        let target = |s: usize| DnsTarget { name: zone::target(s), pool: s as u16 };
        DnsSettings {
            names: vec![zone::SERVICE.into()],
            servers: names.to_vec(),
            targets: (0..self.fleet.servers).map(target).collect(),
            start_spread: span(dns.start_spread),
            lifetime_least: span(dns.min_lifetime),
            try_within: span(0.5),
            pause_least: span(0.5),
            pause_longest: span(2.0),
            ..DnsSettings::default()
        }
    }

    /// The settings of a front of this scenario. `names` are its name servers, where it has any; `margin` is
    /// the time that its messages may take on the way, seconds.
    pub fn settings(
        &self,
        listen: SocketAddr,
        feed: SocketAddr,
        names: &[SocketAddr],
        margin: f64,
    ) -> Settings {
        let span = |seconds: f64| Span(Duration::from_secs_f64(seconds));
        let pools: Vec<u16> = (0..self.fleet.servers as u16).collect();
        let procedure = |p: &AskSpec| ProcedureSettings {
            name: p.name.clone(),
            priorities: vec![p.priority.clone()],
            latency_target: span(p.target),
            t_timer: span(p.t_timer),
            utility: p.utility,
            late_share: p.late_share,
            pools: pools.clone(),
            work: 1.0,
            repeatable: true,
        };
        let group = |p: &u16| TrunkGroup { name: Scenario::trunk_group((*p).into()), first_choice: Some(*p) };
        Settings {
            front: FrontSettings {
                listen,
                host: None,
                seed: None,
                answer_margin: span(margin),
                wire_margin: span(margin / 2.0),
                end_within: span(10.0),
            },
            pool_list: PoolListSettings { feed, reconnect_longest: span(1.0) },
            procedures: self.callers.procedures.iter().map(procedure).collect(),
            trunk_groups: pools.iter().map(group).collect(),
            rules: RulesSettings {
                drain_grace: span(self.rules.drain_grace),
                release_guard: span(self.rules.release_guard),
                cold: ColdSettings {
                    start_capacity: self.rules.start_capacity,
                    warm_after: span(self.rules.warm_after),
                    tip_multiple: self.rules.tip_multiple,
                    fall_after: span(self.rules.fall_after),
                },
            },
            limits: LimitSettings {
                tries: self.fleet.tries,
                probes: self.fleet.probes,
                cancels: self.fleet.cancels,
                longest_pause: span(self.fleet.max_retry_after),
                ..LimitSettings::default()
            },
            links: LinkSettings::default(),
            tenants: self
                .callers
                .tenants
                .iter()
                .map(|(name, share)| TenantSettings { name: name.clone(), share: *share })
                .collect(),
            dns: self.dns.as_ref().map(|dns| self.dns_settings(dns, names)),
            membership: self.membership.clone(),
            levels: self.levels.clone(),
            fleet: None,
            sites: self.site_settings(),
            site_plan: self.site_plan.clone(),
            console: ConsoleSettings::default(),
            log: LogSettings::default(),
        }
    }
}
