//! The two sources of servers, as a front follows them: lines of the pool list and look-ups of SRV names go
//! to the membership module; what it rules goes to the decision module and to the links.

use crate::front::{Front, TimerEvent};
use crate::io::{Event, Output};
use crate::params::{DnsParams, FirstChoice, Params};
use crate::pool_list::{PoolList, RejectedLine};
use crate::router::RouterInput;
use shalespindle_control::interface::PoolEntry;
use shalespindle_membership::{
    first_choices, Answer, Change, Found, Member, Membership, Numbers, Remembered, Verdict, Warning,
};
use shalespindle_srv::{In, Out, Outcome, Resolver, Step};
use std::net::SocketAddr;

/// The number of no pool.
const NO_POOL: u16 = u16::MAX;

/// Pools that DNS alone may number.
const MAX_DNS_POOLS: usize = 1024;

/// What a front keeps of its sources.
pub(crate) struct Sources {
    pub list: PoolList,
    pub members: Membership,
    dns: Option<Dns>,
    /// First choices of the trunk groups that DNS deals, by their places; dealt anew at each ruling.
    dns_first_choices: Vec<u16>,
    timer_at: f64,
    /// Something was reported since the last ruling.
    changed: bool,
}

struct Dns {
    resolver: Resolver,
    numbers: Numbers,
    names: Vec<String>,
    /// What the last look-up of each name came to, and when.
    last_results: Vec<Option<(f64, &'static str)>>,
}

/// A name that is looked up, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct NameStatus {
    pub name: String,
    /// What the last look-up came to and how long ago, seconds.
    pub last: Option<(&'static str, f64)>,
    /// Seconds until the next.
    pub next_in: f64,
}

impl Sources {
    pub fn new(params: &Params, seed: u64, now: f64) -> Sources {
        let dns = params.dns.as_ref().map(|dns| Dns::new(dns, seed, now));
        let members = Membership::new(params.membership.clone(), now);
        Sources {
            list: PoolList::default(),
            members,
            dns,
            dns_first_choices: Vec::new(),
            timer_at: f64::INFINITY,
            changed: true,
        }
    }
}

impl Dns {
    fn new(params: &DnsParams, seed: u64, now: f64) -> Dns {
        Dns {
            resolver: Resolver::new(params.resolver.clone(), seed, now),
            numbers: Numbers::new(params.pools.clone(), params.first_pool, MAX_DNS_POOLS),
            names: params.resolver.names.iter().map(|n| n.to_string()).collect(),
            last_results: vec![None; params.resolver.names.len()],
        }
    }

    /// Targets as the membership module takes them: each address a server of its target's pool.
    fn answer(&mut self, outcome: Outcome) -> Answer {
        let (targets, lifetime) = match outcome {
            Outcome::Servers { targets, lifetime } => (targets, lifetime),
            Outcome::Empty => return Answer::Empty,
            Outcome::Failed => return Answer::Failed,
        };
        let mut found = Vec::new();
        for target in targets {
            let Some(pool) = self.numbers.of(&target.name.to_string()) else { continue };
            for address in target.addresses {
                let address = SocketAddr::new(address, target.port);
                let (priority, weight) = (target.priority, target.weight);
                found.push(Found { address, pool, priority, weight });
            }
        }
        Answer::Servers { found, lifetime }
    }
}

impl Front {
    /// What the last run knew, `age` seconds ago. Call it before the first report.
    pub fn restore(&mut self, now: f64, age: f64, remembered: &[Remembered]) {
        self.sources.changed = true;
        self.sources.members.restore(now, age, remembered);
    }

    /// What the next run should know.
    pub fn remember(&self) -> Vec<Remembered> {
        self.sources.members.remember()
    }

    /// All servers known, with what each source says of them.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.sources.members.members()
    }

    /// Servers not taken up for want of room.
    pub fn servers_over_capacity(&self) -> u64 {
        self.sources.members.turned_away()
    }

    /// Seconds that the pool list's feed has been away; none while it is there.
    pub fn feed_lost_for(&self, now: f64) -> Option<f64> {
        self.sources.members.feed_away(now)
    }

    /// The names that are looked up.
    pub fn names(&self, now: f64) -> Vec<NameStatus> {
        let Some(dns) = &self.sources.dns else { return Vec::new() };
        let one = |(place, name): (usize, &String)| NameStatus {
            name: name.clone(),
            last: dns.last_results[place].map(|(at, what)| (what, now - at)),
            next_in: dns.resolver.next_lookup(place).map_or(f64::INFINITY, |at| at - now),
        };
        dns.names.iter().enumerate().map(one).collect()
    }

    pub(crate) fn feed_bytes(&mut self, now: f64, bytes: &[u8]) {
        self.sources.changed = true;
        if !self.sources.list.push(bytes) {
            self.counters.bad_list_lines += 1;
            self.sources.list.connected();
            self.event(Event::Feed { what: "line too long", detail: String::new() });
        }
        while let Some(line) = self.sources.list.next_line(now) {
            match line {
                Ok(news) => {
                    self.sources.members.listed(now, news.whole, &news.servers);
                    if self.params.has_peers {
                        self.outputs.extend(news.servers.into_iter().map(Output::ServerListed));
                    }
                }
                Err(RejectedLine::Invalid(why)) => {
                    self.counters.bad_list_lines += 1;
                    self.event(Event::Feed { what: "nonsense", detail: why });
                }
                Err(RejectedLine::Outdated { epoch, sequence }) => {
                    // No news, but the feed is there.
                    self.sources.members.listed(now, false, &[]);
                    let detail = format!("epoch {epoch}, line {sequence}");
                    self.event(Event::Feed { what: "old news", detail });
                }
            }
        }
    }

    pub(crate) fn server_warning(&mut self, now: f64, warning: Warning) {
        self.sources.changed = true;
        self.sources.members.warned(now, warning);
    }

    pub(crate) fn feed_lost(&mut self, now: f64) {
        self.sources.changed = true;
        self.sources.members.feed_lost(now);
        self.event(Event::Feed { what: "lost", detail: "the last known list stands".into() });
    }

    /// A server that ended its connection is up again.
    pub(crate) fn server_reconnected(&mut self, now: f64, server: SocketAddr) {
        self.sources.changed = true;
        self.sources.members.came_back(now, server);
    }

    pub(crate) fn dns(&mut self, now: f64, report: In) {
        self.sources.changed = true;
        if let Some(dns) = &mut self.sources.dns {
            dns.resolver.take(now, report);
        }
    }

    /// Pulls what the resolver and the membership module have to say until there is nothing more.
    pub(crate) fn update_sources(&mut self, now: f64) {
        if !std::mem::take(&mut self.sources.changed) {
            return;
        }
        self.poll_resolver(now);
        self.sources.members.settle(now);
        self.sources.dns_first_choices =
            first_choices(self.sources.members.members(), self.params.dns_groups);
        let mut entries = Vec::new();
        let mut changes = Vec::new();
        while let Some(change) = self.sources.members.next_change() {
            entries.push(PoolEntry {
                id: change.name,
                number: change.pool,
                started: change.started,
                ready: change.verdict == Verdict::In && !self.site_restriction.excludes(change.name),
            });
            changes.push(change);
        }
        if !entries.is_empty() {
            self.control.handle(now, RouterInput::PoolsListed { entries, whole: false });
        }
        for change in changes {
            self.apply_change(now, &change);
        }
        // A server that the list has just named may be of a site that is out.
        self.update_excluded(now);
        let resolver = self.sources.dns.as_ref().map_or(f64::INFINITY, |dns| dns.resolver.due());
        let due = resolver.min(self.sources.members.due(now));
        if due < self.sources.timer_at {
            self.sources.timer_at = due;
            self.timers.set(due, TimerEvent::Sources);
        }
    }

    pub(crate) fn on_sources_timer(&mut self, now: f64) {
        self.sources.timer_at = f64::INFINITY;
        self.sources.changed = true;
        if let Some(dns) = &mut self.sources.dns {
            dns.resolver.tick(now);
        }
    }

    fn poll_resolver(&mut self, now: f64) {
        let Some(dns) = &mut self.sources.dns else { return };
        while let Some(out) = dns.resolver.next_out() {
            match out {
                Out::Ask { ticket, to, tcp, bytes } => {
                    self.outputs.push_back(Output::DnsQuery { ticket, to, tcp, bytes });
                }
                Out::Close { ticket } => self.outputs.push_back(Output::DnsClose { ticket }),
                Out::Done { name, outcome } => {
                    let what = match outcome {
                        Outcome::Servers { .. } => "servers",
                        Outcome::Empty => "empty",
                        Outcome::Failed => "failed",
                    };
                    dns.last_results[name] = Some((now, what));
                    let answer = dns.answer(outcome);
                    self.sources.members.answered(now, name, &answer);
                }
            }
        }
        while let Some(step) = dns.resolver.next_step() {
            let unusual = !matches!(
                step,
                Step::Asked { .. } | Step::Answered { .. } | Step::Cached { .. } | Step::Alias { .. }
            );
            self.outputs.push_back(Output::Event(Event::DnsStep { step, unusual }));
        }
    }

    /// The pool that is the first choice of a trunk group.
    pub(crate) fn first_choice(&mut self, group: Option<&str>) -> u16 {
        let Some(group) = group else { return NO_POOL };
        match self.params.trunk_groups.get(group) {
            Some(FirstChoice::Pool(pool)) => *pool,
            Some(FirstChoice::Dns(place)) => {
                self.sources.dns_first_choices.get(*place).copied().unwrap_or(NO_POOL)
            }
            None => {
                self.counters.unknown_trunk_group += 1;
                NO_POOL
            }
        }
    }

    /// A server's verdict changed: its link follows.
    fn apply_change(&mut self, now: f64, change: &Change) {
        let place = self.link_for(change);
        let link = &mut self.links[place];
        link.number = change.pool;
        link.ready = change.verdict == Verdict::In && !self.site_restriction.excludes(change.name);
        link.listed = change.verdict != Verdict::Out;
        let is_in = change.verdict == Verdict::In;
        self.event(Event::ServerChanged { change: *change, age: age(now, change.started) });
        if is_in {
            return self.connect_if_allowed(now, place);
        }
        self.withdraw_queued(now, place);
        self.start_drain_timer(now, place);
        self.close_unused(now, place);
    }
}

fn age(now: f64, started: f64) -> f64 {
    if started == 0.0 {
        f64::INFINITY
    } else {
        now - started
    }
}
