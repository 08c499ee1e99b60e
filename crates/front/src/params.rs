//! What a front must know at start.

use shalespindle_control::interface::Deployment;
use shalespindle_levels::LevelParams;
use shalespindle_membership::MembershipParams;
use shalespindle_sites::SiteTable;
use shalespindle_srv::ResolverParams;
use std::collections::{BTreeMap, HashMap};

/// Start-up values of one front. Times are seconds.
#[derive(Clone, Debug)]
pub struct Params {
    /// What the decision module is told of the deployment.
    pub deployment: Deployment,
    /// Resource-Priority value (RFC 4412) to procedure, by its place in `deployment.procedures`.
    pub priorities: HashMap<String, usize>,
    /// Trunk groups (RFC 4904) and their first choices.
    pub trunk_groups: HashMap<String, FirstChoice>,
    /// How many of them are dealt by DNS.
    pub dns_groups: usize,
    pub membership: MembershipParams,
    /// Other fronts are told what the list tells.
    pub has_peers: bool,
    /// Sites whose loss the fleet decides on; none: nothing is seen for it, nothing narrowed.
    pub sites: Option<SiteParams>,
    /// DNS as a second source of servers; none: the pool list alone.
    pub dns: Option<DnsParams>,
    /// Tenants by the host of a caller's address, to their places in `levels.tenant_shares`.
    pub tenants: HashMap<String, usize>,
    /// Levels of reduced service; none: full service always.
    pub levels: Option<LevelParams>,
    /// Procedure of an INVITE without Resource-Priority, or with one that no procedure names.
    pub default_procedure: usize,
    /// The front's host as it names itself in Via and Contact.
    pub host: String,
    /// So long before the caller's time is up its answer is sent: what the way back may take.
    pub answer_margin: f64,
    /// Attaches in hand past which new ones are refused unseen.
    pub max_pending: usize,
    /// Frames that may wait for one server's socket.
    pub max_queued_frames: usize,
    /// A connection not up after this is given up.
    pub connect_timeout: f64,
    /// Least and longest pause before a lost connection is tried again.
    pub reconnect_pause: (f64, f64),
    /// Time after the news of a drain within which nothing new may leave for that server (rule 3).
    pub drain_grace: f64,
    /// Longest time that standing attaches hold up an orderly end.
    pub shutdown_timeout: f64,
}

/// The pool that is a trunk group's first choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstChoice {
    /// The one of that number.
    Pool(u16),
    /// By priority and weight of DNS; its place among the groups dealt so.
    Dns(usize),
}

/// What a front must know of sites.
#[derive(Clone, Debug)]
pub struct SiteParams {
    pub table: SiteTable,
    /// Between two sights told.
    pub report_interval: f64,
    /// A server that owes an answer for so long, or is not connected for so long, does not answer.
    pub silent_after: f64,
}

/// DNS as a source of servers.
#[derive(Clone, Debug)]
pub struct DnsParams {
    pub resolver: ResolverParams,
    /// Pool numbers of targets that the settings list.
    pub pools: BTreeMap<String, u16>,
    /// Other targets are numbered from here.
    pub first_pool: u16,
}
