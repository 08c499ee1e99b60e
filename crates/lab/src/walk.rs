//! Every sequence of what can happen to two sources, to a stated depth, through the membership module's own
//! code, with invariants checked after each event against an account of its own.

use shalespindle_membership::{Answer, Found, Listed, Membership, MembershipParams, Told, Verdict};
use std::net::SocketAddr;

/// Servers in the walk.
const SERVERS: usize = 2;

/// What can happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The list tells a server's state; `anew`: of a processor that has just started.
    Listed {
        server: usize,
        told: Told,
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
        all.push(Step::Listed { server, told: Told::Ready, anew: false });
        all.push(Step::Listed { server, told: Told::Ready, anew: true });
        all.push(Step::Listed { server, told: Told::Draining, anew: false });
        all.push(Step::Listed { server, told: Told::Gone, anew: false });
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
    listed: Option<(Told, f64)>,
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
    told: [Verdict; SERVERS],
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
            params.hold = 0.0;
        }
        World {
            now: 1.0,
            members: Membership::new(params, 1.0),
            accounts: [Account::default(); SERVERS],
            feed_away: Some(1.0),
            empty_since: None,
            told: [Verdict::Out; SERVERS],
        }
    }

    fn listed(&self, server: usize, told: Told) -> Listed {
        let account = self.accounts[server];
        Listed {
            address: address(server),
            pool: server as u16,
            told,
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
                self.members.listed(now, false, &[line]);
                if fault == Some(Fault::FalseDrain) && told == Told::Ready {
                    let line = self.listed(server, Told::Draining);
                    self.members.listed(now, false, &[line]);
                }
            }
            Step::Whole => {
                self.feed_away = None;
                let known = |s: &usize| matches!(self.accounts[*s].listed, Some((t, _)) if t != Told::Gone);
                let all: Vec<usize> = (0..SERVERS).filter(known).collect();
                let told = |s: usize| self.accounts[s].listed.map_or(Told::Gone, |l| l.0);
                let lines: Vec<Listed> = all.iter().map(|s| self.listed(*s, told(*s))).collect();
                self.members.listed(now, true, &lines);
            }
            Step::FeedLost => {
                self.feed_away.get_or_insert(now);
                self.members.feed_lost(now);
            }
            Step::Named(0) => {
                self.empty_since.get_or_insert(now);
                self.members.answered(now, 0, &Answer::Empty);
            }
            Step::Named(which) => self.named(which),
            Step::LookUpFails => self.members.answered(now, 0, &Answer::Failed),
            Step::Passes(seconds) => self.pass(f64::from(seconds)),
        }
        self.members.settle(self.now);
        if fault != Some(Fault::Deaf) {
            self.pull();
        }
    }

    fn named(&mut self, which: u8) {
        let (now, stale) = (self.now, params().stale_longest);
        self.empty_since = None;
        let mut found = Vec::new();
        for (server, account) in self.accounts.iter_mut().enumerate() {
            if which >> server & 1 == 1 {
                (account.named, account.left_out) = (Some(now), None);
                found.push(Found { address: address(server), pool: server as u16, priority: 1, weight: 1 });
            } else if account.left_out.is_none() {
                // A word that lapsed long ago is not withdrawn now.
                account.named = account.named.filter(|at| now < at + LIFETIME + stale);
                account.left_out = account.named.map(|_| now);
            }
        }
        self.members.answered(now, 0, &Answer::Servers { found, lifetime: LIFETIME });
    }

    /// As a host does: wakes when the module asks to be woken.
    fn pass(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.members.due(self.now) < end {
            self.now = self.members.due(self.now);
            self.members.settle(self.now);
            self.pull();
        }
        self.now = end;
    }

    fn pull(&mut self) {
        while let Some(change) = self.members.next_change() {
            self.told[change.address.port() as usize - 1] = change.verdict;
        }
    }

    /// What must always hold, from the walker's own account.
    fn broken(&mut self) -> Option<String> {
        let (now, params) = (self.now, params());
        let silent = self.feed_away.is_some_and(|at| now >= at + params.list_patience);
        let mut lives = false;
        for (server, account) in self.accounts.iter().enumerate() {
            let told_in = self.told[server] == Verdict::In;
            let withdrawn = account.left_out.is_some_and(|at| now < at + params.hold);
            let list_took = account.listed.is_some_and(|(told, since)| {
                let again = account.named.filter(|_| account.left_out.is_none());
                told != Told::Ready && !(silent && again.is_some_and(|at| at >= since + params.hold))
            });
            if told_in && (withdrawn || list_took) {
                return Some(format!("server {server} is in service although a source took it out"));
            }
            let ready = account.listed.is_some_and(|l| l.0 == Told::Ready) && account.left_out.is_none();
            let by_dns = account.listed.is_none()
                && account.left_out.is_none()
                && self.empty_since.is_none()
                && account.named.is_some_and(|at| now < at + LIFETIME);
            lives |= ready || by_dns;
        }
        if lives && !self.told.contains(&Verdict::In) {
            return Some("no server is in service although one is known to live".into());
        }
        for member in self.members.members() {
            let server = member.address().port() as usize - 1;
            if member.verdict() != self.told[server] && self.told[server] == Verdict::In {
                return Some(format!("server {server}: the router was told {:?}", self.told[server]));
            }
        }
        // Nothing is left to say, and time alone says when to look again.
        self.members.settle(now);
        if self.members.next_change().is_some() || self.members.due(now) <= now {
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
