//! Settings of the two sources of servers: DNS, and how it and the pool list are weighed.

use crate::model::over_zero;
use crate::Span;
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use shalespindle_front::params::DnsParams;
use shalespindle_membership::MembershipParams;
use shalespindle_srv::{Name, ResolverParams};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Names that are looked up, and how.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DnsSettings {
    /// Names of SRV records (RFC 2782), such as `_sip._tcp.auth.example.org`.
    #[garde(length(min = 1, max = 64), inner(length(min = 1, max = 253)))]
    pub names: Vec<String>,
    /// Name servers, asked in the order of their health.
    #[schemars(with = "Vec<String>")]
    #[garde(length(min = 1, max = 16))]
    pub servers: Vec<SocketAddr>,
    /// Targets whose pool number is set here.
    #[serde(default)]
    #[garde(length(max = 10_000), dive)]
    pub targets: Vec<DnsTarget>,
    /// Other targets are numbered from here, in the order in which they are first seen.
    #[serde(default = "first_pool")]
    #[garde(skip)]
    pub first_pool: u16,
    /// A try of a question is given up after this.
    #[serde(default = "try_within")]
    #[garde(custom(over_zero))]
    pub try_within: Span,
    /// Tries of a question over all name servers.
    #[serde(default = "dns_tries")]
    #[garde(range(min = 1, max = 32))]
    pub tries: u32,
    /// Least time that a record is taken to be good for, whatever it says.
    #[serde(default = "lifetime_least")]
    #[garde(custom(over_zero))]
    pub lifetime_least: Span,
    #[serde(default = "lifetime_longest")]
    #[garde(custom(over_zero))]
    pub lifetime_longest: Span,
    /// Longest time that a negative answer is kept (RFC 2308).
    #[serde(default = "negative_longest")]
    #[garde(skip)]
    pub negative_longest: Span,
    /// A refresh starts within this last part of a lifetime.
    #[serde(default = "early")]
    #[garde(range(min = 0.05, max = 0.9))]
    pub early: f64,
    /// Least and longest pause after a look-up that failed or was empty.
    #[serde(default = "pause_least")]
    #[garde(custom(over_zero))]
    pub pause_least: Span,
    #[serde(default = "pause_longest")]
    #[garde(custom(over_zero))]
    pub pause_longest: Span,
    /// First look-ups of fronts started together are spread over this.
    #[serde(default = "start_spread")]
    #[garde(skip)]
    pub start_spread: Span,
    /// Size of UDP answers that is asked for (RFC 6891).
    #[serde(default = "udp_size")]
    #[garde(range(min = 512, max = 4096))]
    pub udp_size: u16,
    /// Records that an answer may have.
    #[serde(default = "most_records")]
    #[garde(range(min = 1, max = 4096))]
    pub most_records: usize,
}

impl Default for DnsSettings {
    /// No name and no server yet: what a file must say.
    fn default() -> DnsSettings {
        DnsSettings {
            names: Vec::new(),
            servers: Vec::new(),
            targets: Vec::new(),
            first_pool: first_pool(),
            try_within: try_within(),
            tries: dns_tries(),
            lifetime_least: lifetime_least(),
            lifetime_longest: lifetime_longest(),
            negative_longest: negative_longest(),
            early: early(),
            pause_least: pause_least(),
            pause_longest: pause_longest(),
            start_spread: start_spread(),
            udp_size: udp_size(),
            most_records: most_records(),
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DnsTarget {
    #[garde(length(min = 1, max = 253))]
    pub name: String,
    #[garde(skip)]
    pub pool: u16,
}

/// How the two sources are weighed; docs/operators/membership.md.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// The feed may be away so long before it counts as silent.
    #[garde(skip)]
    pub list_patience: Span,
    /// What one source drained or took out is not brought back by the other within this.
    #[garde(custom(over_zero))]
    pub hold: Span,
    /// A record is used so long past its lifetime without a warning,
    #[garde(skip)]
    pub stale_quiet: Span,
    /// and so long with one. An empty answer is not believed before this.
    #[garde(custom(over_zero))]
    pub stale_longest: Span,
    /// Comings and goings are forgotten over this time.
    #[garde(custom(over_zero))]
    pub flap_window: Span,
    /// From its second return within the window on a server waits so long, doubled with each further one,
    #[garde(skip)]
    pub flap_hold: Span,
    /// and never longer than this.
    #[garde(skip)]
    pub flap_longest: Span,
    /// So long servers of the last run are used while no source speaks.
    #[garde(skip)]
    pub remembered_for: Span,
    #[garde(range(min = 1, max = 100_000))]
    pub servers: usize,
    /// Where the last known servers are kept over a restart; not kept where it is left out.
    #[garde(skip)]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<PathBuf>,
}

impl Default for MembershipSettings {
    fn default() -> MembershipSettings {
        MembershipSettings {
            list_patience: Span::from_millis(5000),
            hold: Span::from_millis(10_000),
            stale_quiet: Span::from_millis(60_000),
            stale_longest: Span::from_millis(3_600_000),
            flap_window: Span::from_millis(30_000),
            flap_hold: Span::from_millis(2000),
            flap_longest: Span::from_millis(60_000),
            remembered_for: Span::from_millis(3_600_000),
            servers: 4096,
            file: None,
        }
    }
}

fn first_pool() -> u16 {
    1000
}
fn try_within() -> Span {
    Span::from_millis(1000)
}
fn dns_tries() -> u32 {
    4
}
fn lifetime_least() -> Span {
    Span::from_millis(5000)
}
fn lifetime_longest() -> Span {
    Span::from_millis(3_600_000)
}
fn negative_longest() -> Span {
    Span::from_millis(30_000)
}
fn early() -> f64 {
    0.3
}
fn pause_least() -> Span {
    Span::from_millis(1000)
}
fn pause_longest() -> Span {
    Span::from_millis(30_000)
}
fn start_spread() -> Span {
    Span::from_millis(3000)
}
fn udp_size() -> u16 {
    1232
}
fn most_records() -> usize {
    256
}
impl DnsSettings {
    pub(crate) fn dns_params(&self) -> DnsParams {
        // Names were checked; one that cannot be read has stopped the start already.
        let name = |n: &String| absolute(n);
        DnsParams {
            resolver: ResolverParams {
                upstreams: self.servers.clone(),
                names: self.names.iter().filter_map(name).collect(),
                try_timeout: self.try_within.seconds(),
                max_tries: self.tries,
                lifetime_bounds: (self.lifetime_least.seconds(), self.lifetime_longest.seconds()),
                max_negative_lifetime: self.negative_longest.seconds(),
                refresh_fraction: self.early,
                retry_pause: (self.pause_least.seconds(), self.pause_longest.seconds()),
                start_spread: self.start_spread.seconds(),
                udp_size: self.udp_size,
                max_records: self.most_records,
            },
            pools: self
                .targets
                .iter()
                .filter_map(|t| Some((absolute(&t.name)?.to_string(), t.pool)))
                .collect(),
            first_pool: self.first_pool,
        }
    }

    pub(crate) fn faults(&self) -> Vec<(String, String)> {
        let mut faults = Vec::new();
        for (place, name) in self.names.iter().enumerate() {
            if absolute(name).is_none() {
                faults.push((format!("dns.names[{place}]"), format!("'{name}' is no domain name")));
            }
        }
        for (place, target) in self.targets.iter().enumerate() {
            if absolute(&target.name).is_none() {
                let why = format!("'{}' is no domain name", target.name);
                faults.push((format!("dns.targets[{place}].name"), why));
            }
        }
        if self.lifetime_longest < self.lifetime_least {
            let why = "must not be shorter than lifetime_least".into();
            faults.push(("dns.lifetime_longest".into(), why));
        }
        if self.pause_longest < self.pause_least {
            faults.push(("dns.pause_longest".into(), "must not be shorter than pause_least".into()));
        }
        faults
    }
}

/// A domain name, absolute whether it ends in a dot or not.
fn absolute(text: &str) -> Option<Name> {
    let mut name = Name::from_ascii(text).ok()?;
    name.set_fqdn(true);
    Some(name)
}

impl MembershipSettings {
    pub(crate) fn membership_params(&self) -> MembershipParams {
        MembershipParams {
            list_timeout: self.list_patience.seconds(),
            withdrawal_hold: self.hold.seconds(),
            stale_without_warning: self.stale_quiet.seconds(),
            max_stale: self.stale_longest.seconds(),
            flap_window: self.flap_window.seconds(),
            base_flap_hold: self.flap_hold.seconds(),
            max_flap_hold: self.flap_longest.seconds(),
            stored_max_age: self.remembered_for.seconds(),
            max_members: self.servers,
        }
    }

    pub(crate) fn faults(&self) -> Vec<(String, String)> {
        let mut faults = Vec::new();
        if self.stale_longest < self.stale_quiet {
            let why = "must not be shorter than stale_quiet".into();
            faults.push(("membership.stale_longest".into(), why));
        }
        if self.flap_longest < self.flap_hold {
            faults.push(("membership.flap_longest".into(), "must not be shorter than flap_hold".into()));
        }
        faults
    }
}
