//! Every sequence of what can happen to two sources, to a stated depth, through the membership module's own
//! code, with invariants checked after each event against an account of its own.

use shalespindle_membership::{
    DnsRecord, ListEntry, LookupResult, Membership, MembershipParams, ReportedState, ServiceStatus,
};
use std::net::SocketAddr;

/// Servers in the walk.
const SERVERS: usize = 2;

/// What can happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The list tells a server's state; `anew`: of a processor that has just started.
    Listed {
        server: usize,
        told: ReportedState,
        anew: bool,
    },
    /// The list tells all that it knows again, as after a reconnect.
    Whole,
    FeedLost,
    /// DNS names these servers, by bit; none: an empty answer.
    Named(u8),
    LookUpFails,
    /// Time passes: a moment, longer than a drain, longer than any stale time.
    Passes(u32),
}

/// All steps, in order.
pub fn steps() -> Vec<Step> {
    let mut all = Vec::new();
    for server in 0..SERVERS {
        all.push(Step::Listed { server, told: ReportedState::Ready, anew: false });
        all.push(Step::Listed { server, told: ReportedState::Ready, anew: true });
        all.push(Step::Listed { server, told: ReportedState::Draining, anew: false });
        all.push(Step::Listed { server, told: ReportedState::Gone, anew: false });
    }
    all.extend([Step::Whole, Step::FeedLost, Step::LookUpFails]);
    all.extend((0..1 << SERVERS).map(Step::Named));
    all.extend([1, 11, 200].map(Step::Passes));
    all
}

/// A fault planted into the walk, to see each invariant fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The module holds no drain against the other source.
    NoHold,
    /// The module is told of a drain that nobody ordered.
    FalseDrain,
    /// Its changes are not passed on.
    Deaf,
}

/// An invariant that did not hold.
#[derive(Clone, Debug)]
pub struct Broken {
    pub what: String,
    pub path: Vec<Step>,
}

/// What a walk came to.
#[derive(Clone, Debug, Default)]
pub struct Walked {
    pub states: u64,
    pub broken: Vec<Broken>,
}

/// What the walker itself knows of one server.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    listed: Option<(ReportedState, f64)>,
    incarnation: u64,
    /// Last named by DNS, and left out by a later answer.
    named: Option<f64>,
    left_out: Option<f64>,
}

#[derive(Clone)]
struct World {
    now: f64,
    members: Membership,
    accounts: [Account; SERVERS],
    feed_away: Option<f64>,
    empty_since: Option<f64>,
    /// What the router was told, by pulled changes alone.
    told: [ServiceStatus; SERVERS],
}

const LIFETIME: f64 = 60.0;

fn params() -> MembershipParams {
    MembershipParams::short(16)
}

fn address(server: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], server as u16 + 1))
}

impl World {
    fn new(fault: Option<Fault>) -> World {
        let mut params = params();
        if fault == Some(Fault::NoHold) {
            params.withdrawal_hold = 0.0;
        }
        World {
            now: 1.0,
            members: Membership::new(params, 1.0),
            accounts: [Account::default(); SERVERS],
            feed_away: Some(1.0),
            empty_since: None,
            told: [ServiceStatus::Out; SERVERS],
        }
    }

    fn listed(&self, server: usize, told: ReportedState) -> ListEntry {
        let account = self.accounts[server];
        ListEntry {
            address: address(server),
            pool: server as u16,
            state: told,
            incarnation: account.incarnation,
            started: account.incarnation as f64,
        }
    }

    fn step(&mut self, step: Step, fault: Option<Fault>) {
        // Nothing happens at the very same moment.
        self.now += 0.01;
        let now = self.now;
        match step {
            Step::Listed { server, told, anew } => {
                self.feed_away = None;
                let account = &mut self.accounts[server];
                account.incarnation += u64::from(anew);
                let since = account.listed.filter(|l| l.0 == told && !anew).map_or(now, |l| l.1);
                account.listed = Some((told, since));
                let line = self.listed(server, told);
                self.members.apply_list(now, false, &[line]);
                if fault == Some(Fault::FalseDrain) && told == ReportedState::Ready {
                    let line = self.listed(server, ReportedState::Draining);
                    self.members.apply_list(now, false, &[line]);
                }
            }
            Step::Whole => {
                self.feed_away = None;
                let known =
                    |s: &usize| matches!(self.accounts[*s].listed, Some((t, _)) if t != ReportedState::Gone);
                let all: Vec<usize> = (0..SERVERS).filter(known).collect();
                let told = |s: usize| self.accounts[s].listed.map_or(ReportedState::Gone, |l| l.0);
                let lines: Vec<ListEntry> = all.iter().map(|s| self.listed(*s, told(*s))).collect();
                self.members.apply_list(now, true, &lines);
            }
            Step::FeedLost => {
                self.feed_away.get_or_insert(now);
                self.members.feed_lost(now);
            }
            Step::Named(0) => {
                self.empty_since.get_or_insert(now);
                self.members.apply_lookup(now, 0, &LookupResult::Empty);
            }
            Step::Named(which) => self.named(which),
            Step::LookUpFails => self.members.apply_lookup(now, 0, &LookupResult::Failed),
            Step::Passes(seconds) => self.pass(f64::from(seconds)),
        }
        self.members.evaluate(self.now);
        if fault != Some(Fault::Deaf) {
            self.pull();
        }
    }

    fn named(&mut self, which: u8) {
        let (now, stale) = (self.now, params().max_stale);
        self.empty_since = None;
        let mut found = Vec::new();
        for (server, account) in self.accounts.iter_mut().enumerate() {
            if which >> server & 1 == 1 {
                (account.named, account.left_out) = (Some(now), None);
                found.push(DnsRecord {
                    address: address(server),
                    pool: server as u16,
                    priority: 1,
                    weight: 1,
                });
            } else if account.left_out.is_none() {
                // A word that lapsed long ago is not withdrawn now.
                account.named = account.named.filter(|at| now < at + LIFETIME + stale);
                account.left_out = account.named.map(|_| now);
            }
        }
        self.members.apply_lookup(now, 0, &LookupResult::Servers { records: found, lifetime: LIFETIME });
    }

    /// As a host does: wakes when the module asks to be woken.
    fn pass(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.members.next_deadline(self.now) < end {
            self.now = self.members.next_deadline(self.now);
            self.members.evaluate(self.now);
            self.pull();
        }
        self.now = end;
    }

    fn pull(&mut self) {
        while let Some(change) = self.members.next_change() {
            self.told[change.address.port() as usize - 1] = change.status;
        }
    }

    /// What must always hold, from the walker's own account.
    fn broken(&mut self) -> Option<String> {
        let (now, params) = (self.now, params());
        let silent = self.feed_away.is_some_and(|at| now >= at + params.list_timeout);
        let mut lives = false;
        for (server, account) in self.accounts.iter().enumerate() {
            let told_in = self.told[server] == ServiceStatus::In;
            let withdrawn = account.left_out.is_some_and(|at| now < at + params.withdrawal_hold);
            let list_took = account.listed.is_some_and(|(told, since)| {
                let again = account.named.filter(|_| account.left_out.is_none());
                told != ReportedState::Ready
                    && !(silent && again.is_some_and(|at| at >= since + params.withdrawal_hold))
            });
            if told_in && (withdrawn || list_took) {
                return Some(format!("server {server} is in service although a source took it out"));
            }
            let ready =
                account.listed.is_some_and(|l| l.0 == ReportedState::Ready) && account.left_out.is_none();
            let by_dns = account.listed.is_none()
                && account.left_out.is_none()
                && self.empty_since.is_none()
                && account.named.is_some_and(|at| now < at + LIFETIME);
            lives |= ready || by_dns;
        }
        if lives && !self.told.contains(&ServiceStatus::In) {
            return Some("no server is in service although one is known to live".into());
        }
        for member in self.members.members() {
            let server = member.address().port() as usize - 1;
            if member.status() != self.told[server] && self.told[server] == ServiceStatus::In {
                return Some(format!("server {server}: the router was told {:?}", self.told[server]));
            }
        }
        // Nothing is left to say, and time alone says when to look again.
        self.members.evaluate(now);
        if self.members.next_change().is_some() || self.members.next_deadline(now) <= now {
            return Some("the ruling does not come to rest".into());
        }
        None
    }
}

/// Walks all sequences of `depth` steps; stops at the first `most` broken ones.
pub fn walk(depth: usize, fault: Option<Fault>, most: usize) -> Walked {
    let mut walked = Walked::default();
    let mut path = Vec::new();
    go(&World::new(fault), depth, fault, most, &steps(), &mut path, &mut walked);
    walked
}

fn go(
    world: &World,
    depth: usize,
    fault: Option<Fault>,
    most: usize,
    steps: &[Step],
    path: &mut Vec<Step>,
    walked: &mut Walked,
) {
    for step in steps {
        if walked.broken.len() >= most {
            return;
        }
        let mut next = world.clone();
        next.step(*step, fault);
        walked.states += 1;
        path.push(*step);
        if let Some(what) = next.broken() {
            walked.broken.push(Broken { what, path: path.clone() });
        } else if depth > 1 {
            go(&next, depth - 1, fault, most, steps, path, walked);
        }
        path.pop();
    }
}
