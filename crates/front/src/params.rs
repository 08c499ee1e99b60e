//! What a front must know at start.

use shalespindle_control::interface::Deployment;
use shalespindle_levels::LevelParams;
use std::collections::HashMap;

/// Start-up values of one front. Times are seconds.
#[derive(Clone, Debug)]
pub struct Params {
    /// What the decision module is told of the deployment.
    pub deployment: Deployment,
    /// Resource-Priority value (RFC 4412) to procedure, by its place in `deployment.procedures`.
    pub priorities: HashMap<String, usize>,
    /// Trunk group (RFC 4904) to the number of the pool that is its first choice.
    pub trunk_groups: HashMap<String, u16>,
    /// Tenants by the host of a caller's address, to their places in `levels.tenant_shares`.
    pub tenants: HashMap<String, usize>,
    /// Levels of reduced service; none: full service always.
    pub levels: Option<LevelParams>,
    /// Procedure of an INVITE without Resource-Priority, or with one that no procedure names.
    pub usual_procedure: usize,
    /// The front's host as it names itself in Via and Contact.
    pub host: String,
    /// So long before the caller's time is up its answer is sent: what the way back may take.
    pub answer_margin: f64,
    /// Attaches in hand past which new ones are refused unseen.
    pub most_in_hand: usize,
    /// Frames that may wait for one server's socket.
    pub most_queued: usize,
    /// A connection not up after this is given up.
    pub connect_within: f64,
    /// Least and longest pause before a lost connection is tried again.
    pub reconnect: (f64, f64),
    /// Time after the news of a drain within which nothing new may leave for that server (rule 3).
    pub drain_grace: f64,
    /// Longest time that standing attaches hold up an orderly end.
    pub end_within: f64,
}
