//! Exhaustive model test of the membership module: runs every sequence of events of its two sources up to a
//! given depth, and checks invariants after each event against a simple model of the sources.

use shalespindle_membership::{
    DnsRecord, ListEntry, LookupResult, Membership, MembershipParams, ReportedState, ServiceStatus,
};
use std::net::SocketAddr;

/// Number of servers.
const SERVERS: usize = 2;

/// An event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The pool list reports a server's state; `restarted`: of a new processor.
    Listed {
        server: usize,
        state: ReportedState,
        restarted: bool,
    },
    /// The pool list sends its whole contents, as after a reconnect.
    FullList,
    FeedLost,
    /// A DNS answer names these servers, one bit each; 0: an empty answer.
    DnsAnswer(u8),
    LookupFailed,
    /// So many seconds pass.
    TimePasses(u32),
}

/// All events, in the order in which they are tried.
pub fn steps() -> Vec<Step> {
    let mut all = Vec::new();
    for server in 0..SERVERS {
        all.push(Step::Listed { server, state: ReportedState::Ready, restarted: false });
        all.push(Step::Listed { server, state: ReportedState::Ready, restarted: true });
        all.push(Step::Listed { server, state: ReportedState::Draining, restarted: false });
        all.push(Step::Listed { server, state: ReportedState::Gone, restarted: false });
    }
    all.extend([Step::FullList, Step::FeedLost, Step::LookupFailed]);
    all.extend((0..1 << SERVERS).map(Step::DnsAnswer));
    // A moment; longer than the hold of a withdrawal; longer than any record may be stale.
    all.extend([1, 11, 200].map(Step::TimePasses));
    all
}

/// A fault planted into the test, to check that the invariants detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A withdrawal by one source is not held against the other source.
    NoHold,
    /// The module receives a drain that the model does not have.
    FalseDrain,
    /// Changes are not passed on to the router.
    DropsChanges,
}

/// A violated invariant, and the events that lead to it.
#[derive(Clone, Debug)]
pub struct Violation {
    pub what: String,
    pub path: Vec<Step>,
}

/// Results of a walk.
#[derive(Clone, Debug, Default)]
pub struct WalkResult {
    /// Number of states checked.
    pub states: u64,
    pub broken: Vec<Violation>,
}

/// The model of one server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerModel {
    /// State in the pool list, and since when.
    listed: Option<(ReportedState, f64)>,
    incarnation: u64,
    /// Time of the last DNS answer that names it.
    named: Option<f64>,
    /// Time of the first DNS answer after that which does not name it.
    left_out: Option<f64>,
}

/// The module under test and the model.
#[derive(Clone)]
struct WalkState {
    now: f64,
    members: Membership,
    servers: [ServerModel; SERVERS],
    /// Time since which the pool list is disconnected.
    feed_lost_at: Option<f64>,
    /// Time since which DNS answers are empty.
    empty_since: Option<f64>,
    /// Status of each server as the router knows it, from the changes pulled so far.
    router_status: [ServiceStatus; SERVERS],
}

/// Lifetime of DNS records, seconds.
const RECORD_LIFETIME: f64 = 60.0;

fn params() -> MembershipParams {
    MembershipParams::short(16)
}

fn address(server: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], server as u16 + 1))
}

impl WalkState {
    fn new(fault: Option<Fault>) -> WalkState {
        let mut params = params();
        if fault == Some(Fault::NoHold) {
            params.withdrawal_hold = 0.0;
        }
        WalkState {
            now: 1.0,
            members: Membership::new(params, 1.0),
            servers: [ServerModel::default(); SERVERS],
            feed_lost_at: Some(1.0),
            empty_since: None,
            router_status: [ServiceStatus::Out; SERVERS],
        }
    }

    fn list_entry(&self, server: usize, state: ReportedState) -> ListEntry {
        let model = self.servers[server];
        ListEntry {
            address: address(server),
            pool: server as u16,
            state,
            incarnation: model.incarnation,
            started: model.incarnation as f64,
        }
    }

    fn step(&mut self, step: Step, fault: Option<Fault>) {
        // No two events have the same time.
        self.now += 0.01;
        let now = self.now;
        match step {
            Step::Listed { server, state, restarted } => {
                self.feed_lost_at = None;
                let model = &mut self.servers[server];
                model.incarnation += u64::from(restarted);
                let since = model.listed.filter(|l| l.0 == state && !restarted).map_or(now, |l| l.1);
                model.listed = Some((state, since));
                let line = self.list_entry(server, state);
                self.members.apply_list(now, false, &[line]);
                if fault == Some(Fault::FalseDrain) && state == ReportedState::Ready {
                    let line = self.list_entry(server, ReportedState::Draining);
                    self.members.apply_list(now, false, &[line]);
                }
            }
            Step::FullList => {
                self.feed_lost_at = None;
                let known = |s: &usize| {
                    self.servers[*s].listed.is_some_and(|(state, _)| state != ReportedState::Gone)
                };
                let all: Vec<usize> = (0..SERVERS).filter(known).collect();
                let state = |s: usize| self.servers[s].listed.map_or(ReportedState::Gone, |l| l.0);
                let lines: Vec<ListEntry> = all.iter().map(|s| self.list_entry(*s, state(*s))).collect();
                self.members.apply_list(now, true, &lines);
            }
            Step::FeedLost => {
                self.feed_lost_at.get_or_insert(now);
                self.members.feed_lost(now);
            }
            Step::DnsAnswer(0) => {
                self.empty_since.get_or_insert(now);
                self.members.apply_lookup(now, 0, &LookupResult::Empty);
            }
            Step::DnsAnswer(servers) => self.dns_answer(servers),
            Step::LookupFailed => self.members.apply_lookup(now, 0, &LookupResult::Failed),
            Step::TimePasses(seconds) => self.pass(f64::from(seconds)),
        }
        self.members.evaluate(self.now);
        if fault != Some(Fault::DropsChanges) {
            self.pull();
        }
    }

    /// A DNS answer with at least one server.
    fn dns_answer(&mut self, servers: u8) {
        let (now, stale) = (self.now, params().max_stale);
        self.empty_since = None;
        let mut found = Vec::new();
        for (server, model) in self.servers.iter_mut().enumerate() {
            if servers >> server & 1 == 1 {
                (model.named, model.left_out) = (Some(now), None);
                found.push(DnsRecord {
                    address: address(server),
                    pool: server as u16,
                    priority: 1,
                    weight: 1,
                });
            } else if model.left_out.is_none() {
                // A record that expired beyond its stale time can no longer be withdrawn.
                model.named = model.named.filter(|at| now < at + RECORD_LIFETIME + stale);
                model.left_out = model.named.map(|_| now);
            }
        }
        self.members.apply_lookup(
            now,
            0,
            &LookupResult::Servers { records: found, lifetime: RECORD_LIFETIME },
        );
    }

    /// Lets time pass, and calls the module at each of its deadlines, as a front does.
    fn pass(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.members.next_deadline(self.now) < end {
            self.now = self.members.next_deadline(self.now);
            self.members.evaluate(self.now);
            self.pull();
        }
        self.now = end;
    }

    /// Passes the module's changes to the router.
    fn pull(&mut self) {
        while let Some(change) = self.members.next_change() {
            self.router_status[change.address.port() as usize - 1] = change.status;
        }
    }

    /// Returns the first violated invariant.
    fn violation(&mut self) -> Option<String> {
        let (now, params) = (self.now, params());
        let list_timed_out = self.feed_lost_at.is_some_and(|at| now >= at + params.list_timeout);
        let mut any_available = false;
        for (server, model) in self.servers.iter().enumerate() {
            let in_service = self.router_status[server] == ServiceStatus::In;
            let withdrawn = model.left_out.is_some_and(|at| now < at + params.withdrawal_hold);
            let removed_by_list = model.listed.is_some_and(|(state, since)| {
                let named_again_at = model.named.filter(|_| model.left_out.is_none());
                state != ReportedState::Ready
                    && !(list_timed_out
                        && named_again_at.is_some_and(|at| at >= since + params.withdrawal_hold))
            });
            if in_service && (withdrawn || removed_by_list) {
                return Some(format!("server {server} is in service although a source took it out"));
            }
            let ready = model.listed.is_some_and(|l| l.0 == ReportedState::Ready) && model.left_out.is_none();
            let by_dns = model.listed.is_none()
                && model.left_out.is_none()
                && self.empty_since.is_none()
                && model.named.is_some_and(|at| now < at + RECORD_LIFETIME);
            any_available |= ready || by_dns;
        }
        if any_available && !self.router_status.contains(&ServiceStatus::In) {
            return Some("no server is in service although one is known to live".into());
        }
        for member in self.members.members() {
            let server = member.address().port() as usize - 1;
            if member.status() != self.router_status[server]
                && self.router_status[server] == ServiceStatus::In
            {
                return Some(format!(
                    "server {server}: the last status sent to the router is {:?}",
                    self.router_status[server]
                ));
            }
        }
        // A second evaluation at the same time must give no changes, and the next deadline must be later.
        self.members.evaluate(now);
        if self.members.next_change().is_some() || self.members.next_deadline(now) <= now {
            return Some("another evaluation at the same time gives changes or a deadline".into());
        }
        None
    }
}

/// Runs all sequences of `depth` events; stops after `max_violations`.
pub fn walk(depth: usize, fault: Option<Fault>, max_violations: usize) -> WalkResult {
    let mut result = WalkResult::default();
    let mut path = Vec::new();
    extend(&WalkState::new(fault), depth, fault, max_violations, &steps(), &mut path, &mut result);
    result
}

/// Extends `path` by each event, and recurses while no invariant is violated.
fn extend(
    state: &WalkState,
    depth: usize,
    fault: Option<Fault>,
    max_violations: usize,
    steps: &[Step],
    path: &mut Vec<Step>,
    result: &mut WalkResult,
) {
    for step in steps {
        if result.broken.len() >= max_violations {
            return;
        }
        let mut next = state.clone();
        next.step(*step, fault);
        result.states += 1;
        path.push(*step);
        if let Some(what) = next.violation() {
            result.broken.push(Violation { what, path: path.clone() });
        } else if depth > 1 {
            extend(&next, depth - 1, fault, max_violations, steps, path, result);
        }
        path.pop();
    }
}
