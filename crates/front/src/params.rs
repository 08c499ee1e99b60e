//! Start-up parameters of a front.

use shalespindle_control::interface::Deployment;
use shalespindle_levels::LevelParams;
use shalespindle_membership::MembershipParams;
use shalespindle_sites::SiteTable;
use shalespindle_srv::ResolverParams;
use std::collections::{BTreeMap, HashMap};

/// Start-up parameters of one front. Times are seconds.
#[derive(Clone, Debug)]
pub struct Params {
    /// Parameters of the decision module.
    pub deployment: Deployment,
    /// Resource-Priority value (RFC 4412) to the index of its procedure in `deployment.procedures`.
    pub priorities: HashMap<String, usize>,
    /// Trunk groups (RFC 4904) and their first choices.
    pub trunk_groups: HashMap<String, FirstChoice>,
    /// Number of trunk groups whose first choice comes from DNS.
    pub dns_groups: usize,
    pub membership: MembershipParams,
    /// There are other fronts, to which this front forwards list entries and calls.
    pub has_peers: bool,
    /// Sites whose loss the fleet decides on; none: no observations are reported, no site is restricted.
    pub sites: Option<SiteParams>,
    /// DNS as a second source of servers; none: the pool list alone.
    pub dns: Option<DnsParams>,
    /// Host part of a caller's address to the index of its tenant in `levels.tenant_shares`.
    pub tenants: HashMap<String, usize>,
    /// Levels of reduced service; none: full service always.
    pub levels: Option<LevelParams>,
    /// Procedure of an INVITE without Resource-Priority, or whose Resource-Priority matches no procedure.
    pub default_procedure: usize,
    /// The host name of this front in Via and Contact.
    pub host: String,
    /// Time before the end of the caller's patience at which its answer is sent, to allow for the way back.
    pub answer_margin: f64,
    /// Pending attaches beyond which new ones are refused without asking the decision module.
    pub max_pending: usize,
    /// Frames that may wait for one server's socket.
    pub max_queued_frames: usize,
    /// A connection attempt that takes longer is given up.
    pub connect_timeout: f64,
    /// Minimum and maximum pause before a lost connection is tried again.
    pub reconnect_pause: (f64, f64),
    /// Time after the report of a drain within which nothing new may be sent to that server (rule 3).
    pub drain_grace: f64,
    /// Maximum time that a graceful shutdown waits for established attaches to end.
    pub shutdown_timeout: f64,
}

/// The pool that is a trunk group's first choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstChoice {
    /// The pool of that number.
    Pool(u16),
    /// Chosen by priority and weight of the DNS records; the index among the trunk groups of this kind.
    Dns(usize),
}

/// What a front needs to know of sites.
#[derive(Clone, Debug)]
pub struct SiteParams {
    pub table: SiteTable,
    /// Interval between two reports of observations, seconds.
    pub report_interval: f64,
    /// A server that has not answered for so long, or has not been connected for so long, is unreachable;
    /// seconds.
    pub silent_after: f64,
}

/// DNS as a source of servers.
#[derive(Clone, Debug)]
pub struct DnsParams {
    pub resolver: ResolverParams,
    /// Pool numbers of the targets that the settings name.
    pub pools: BTreeMap<String, u16>,
    /// First number for the pools of all other targets.
    pub first_pool: u16,
}
