//! Settings of DNS as a source of servers, and of how DNS and the pool list are combined.

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

/// Names that are looked up in DNS, and how.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DnsSettings {
    /// Names of SRV records (RFC 2782), such as `_sip._tcp.auth.example.org`.
    #[garde(length(min = 1, max = 64), inner(length(min = 1, max = 253)))]
    pub names: Vec<String>,
    /// Name servers in order of preference; one that failed recently is asked last.
    #[schemars(with = "Vec<String>")]
    #[garde(length(min = 1, max = 16))]
    pub servers: Vec<SocketAddr>,
    /// Pool numbers of SRV targets.
    #[serde(default)]
    #[garde(length(max = 10_000), dive)]
    pub targets: Vec<DnsTarget>,
    /// Targets without a pool number are numbered from here, in the order in which they are first found.
    #[serde(default = "default_first_pool")]
    #[garde(skip)]
    pub first_pool: u16,
    /// Time after which a try of a query without an answer fails.
    #[serde(default = "default_try_within")]
    #[garde(custom(over_zero))]
    pub try_within: Span,
    /// Maximum number of tries of a query over all name servers.
    #[serde(default = "default_tries")]
    #[garde(range(min = 1, max = 32))]
    pub tries: u32,
    /// Minimum lifetime of a record, whatever its TTL.
    #[serde(default = "default_lifetime_least")]
    #[garde(custom(over_zero))]
    pub lifetime_least: Span,
    /// Maximum lifetime of a record, whatever its TTL.
    #[serde(default = "default_lifetime_longest")]
    #[garde(custom(over_zero))]
    pub lifetime_longest: Span,
    /// Maximum time that a negative answer is cached (RFC 2308).
    #[serde(default = "default_negative_longest")]
    #[garde(skip)]
    pub negative_longest: Span,
    /// Last fraction of a lifetime within which the refresh starts, at a random time.
    #[serde(default = "default_early")]
    #[garde(range(min = 0.05, max = 0.9))]
    pub early: f64,
    /// First pause after a look-up that failed or was empty; doubled with each one in a row.
    #[serde(default = "default_pause_least")]
    #[garde(custom(over_zero))]
    pub pause_least: Span,
    /// Longest pause after a look-up that failed or was empty.
    #[serde(default = "default_pause_longest")]
    #[garde(custom(over_zero))]
    pub pause_longest: Span,
    /// First look-ups start at random times within this, so that fronts started together don't query
    /// together.
    #[serde(default = "default_start_spread")]
    #[garde(skip)]
    pub start_spread: Span,
    /// Maximum size of an answer over UDP, in bytes, advertised through EDNS (RFC 6891).
    #[serde(default = "default_udp_size")]
    #[garde(range(min = 512, max = 4096))]
    pub udp_size: u16,
    /// Maximum number of records in an answer.
    #[serde(default = "default_most_records")]
    #[garde(range(min = 1, max = 4096))]
    pub most_records: usize,
}

impl Default for DnsSettings {
    /// The defaults, without names and name servers, which have none.
    fn default() -> DnsSettings {
        DnsSettings {
            names: Vec::new(),
            servers: Vec::new(),
            targets: Vec::new(),
            first_pool: default_first_pool(),
            try_within: default_try_within(),
            tries: default_tries(),
            lifetime_least: default_lifetime_least(),
            lifetime_longest: default_lifetime_longest(),
            negative_longest: default_negative_longest(),
            early: default_early(),
            pause_least: default_pause_least(),
            pause_longest: default_pause_longest(),
            start_spread: default_start_spread(),
            udp_size: default_udp_size(),
            most_records: default_most_records(),
        }
    }
}

/// Pool number of an SRV target.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DnsTarget {
    #[garde(length(min = 1, max = 253))]
    pub name: String,
    #[garde(skip)]
    pub pool: u16,
}

/// How the pool list and DNS are combined; docs/operators/membership.md.
#[derive(Clone, Debug, Serialize, Deserialize, Validate, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// How long the feed of the pool list may be disconnected before the list counts as silent.
    #[garde(skip)]
    pub list_patience: Span,
    /// How long a server that one source drained or removed can't be brought back by the other source.
    #[garde(custom(over_zero))]
    pub hold: Span,
    /// How long past its lifetime a DNS record is used without a warning while look-ups fail.
    #[garde(skip)]
    pub stale_quiet: Span,
    /// How long past its lifetime a DNS record is used at all while look-ups fail. Also how long answers
    /// must stay empty before they count.
    #[garde(custom(over_zero))]
    pub stale_longest: Span,
    /// Time constant of the exponential decay of a server's flap count.
    #[garde(custom(over_zero))]
    pub flap_window: Span,
    /// Wait before the second return to service within the window; doubled with each further return.
    #[garde(skip)]
    pub flap_hold: Span,
    /// Longest wait before a return to service.
    #[garde(skip)]
    pub flap_longest: Span,
    /// How long a server known from the previous run is used before any source has reported it.
    #[garde(skip)]
    pub remembered_for: Span,
    /// Maximum number of known servers.
    #[garde(range(min = 1, max = 100_000))]
    pub servers: usize,
    /// File that stores the known servers over a restart; left out: they are not stored.
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

fn default_first_pool() -> u16 {
    1000
}
fn default_try_within() -> Span {
    Span::from_millis(1000)
}
fn default_tries() -> u32 {
    4
}
fn default_lifetime_least() -> Span {
    Span::from_millis(5000)
}
fn default_lifetime_longest() -> Span {
    Span::from_millis(3_600_000)
}
fn default_negative_longest() -> Span {
    Span::from_millis(30_000)
}
fn default_early() -> f64 {
    0.3
}
fn default_pause_least() -> Span {
    Span::from_millis(1000)
}
fn default_pause_longest() -> Span {
    Span::from_millis(30_000)
}
fn default_start_spread() -> Span {
    Span::from_millis(3000)
}
fn default_udp_size() -> u16 {
    1232
}
fn default_most_records() -> usize {
    256
}
impl DnsSettings {
    pub(crate) fn dns_params(&self) -> DnsParams {
        // `errors` rejects names that don't parse, so none is left out here.
        let name = |n: &String| parse_name(n);
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
                .filter_map(|t| Some((parse_name(&t.name)?.to_string(), t.pool)))
                .collect(),
            first_pool: self.first_pool,
        }
    }

    /// Checks that span several values: returns each wrong key with its error message.
    pub(crate) fn errors(&self) -> Vec<(String, String)> {
        let mut errors = Vec::new();
        for (index, name) in self.names.iter().enumerate() {
            if parse_name(name).is_none() {
                errors.push((format!("dns.names[{index}]"), format!("'{name}' is not a domain name")));
            }
        }
        for (index, target) in self.targets.iter().enumerate() {
            if parse_name(&target.name).is_none() {
                let message = format!("'{}' is not a domain name", target.name);
                errors.push((format!("dns.targets[{index}].name"), message));
            }
        }
        if self.lifetime_longest < self.lifetime_least {
            let message = "must not be shorter than lifetime_least".into();
            errors.push(("dns.lifetime_longest".into(), message));
        }
        if self.pause_longest < self.pause_least {
            errors.push(("dns.pause_longest".into(), "must not be shorter than pause_least".into()));
        }
        errors
    }
}

/// Parses a domain name as absolute, with or without a final dot.
fn parse_name(text: &str) -> Option<Name> {
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

    /// Checks that span several values: returns each wrong key with its error message.
    pub(crate) fn errors(&self) -> Vec<(String, String)> {
        let mut errors = Vec::new();
        if self.stale_longest < self.stale_quiet {
            let message = "must not be shorter than stale_quiet".into();
            errors.push(("membership.stale_longest".into(), message));
        }
        if self.flap_longest < self.flap_hold {
            errors.push(("membership.flap_longest".into(), "must not be shorter than flap_hold".into()));
        }
        errors
    }
}
