//! The two sources of servers, as a front follows them: lines of the pool list and look-ups of SRV names go
//! to the membership module; what it rules goes to the decision module and to the links.

use crate::front::{Due, Front};
use crate::io::{Event, Output};
use crate::params::{DnsParams, FirstChoice, Params};
use crate::pool_list::{PoolList, RejectedLine};
use crate::router::RouterInput;
use shalespindle_control::interface::PoolEntry;
use shalespindle_membership::{
    first_choices, Change, DnsRecord, LookupResult, Member, Membership, PeerWarning, PoolNumbers,
    ServiceStatus, StoredMember,
};
use shalespindle_srv::{In, Out, Outcome, Resolver, Step};
use std::net::SocketAddr;

/// The number of no pool.
const NO_POOL: u16 = u16::MAX;

/// Pools that DNS alone may number.
const MOST_NUMBERED: usize = 1024;

/// What a front keeps of its sources.
pub(crate) struct Sources {
    pub list: PoolList,
    pub members: Membership,
    dns: Option<Dns>,
    /// First choices of the trunk groups that DNS deals, by their places; dealt anew at each ruling.
    dealt: Vec<u16>,
    wake: f64,
    /// Something was reported since the last ruling.
    stirred: bool,
}

struct Dns {
    resolver: Resolver,
    numbers: PoolNumbers,
    names: Vec<String>,
    /// What the last look-up of each name came to, and when.
    last: Vec<Option<(f64, &'static str)>>,
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
            dealt: Vec::new(),
            wake: f64::INFINITY,
            stirred: true,
        }
    }
}

impl Dns {
    fn new(params: &DnsParams, seed: u64, now: f64) -> Dns {
        Dns {
            resolver: Resolver::new(params.resolver.clone(), seed, now),
            numbers: PoolNumbers::new(params.pools.clone(), params.first_pool, MOST_NUMBERED),
            names: params.resolver.names.iter().map(|n| n.to_string()).collect(),
            last: vec![None; params.resolver.names.len()],
        }
    }

    /// Targets as the membership module takes them: each address a server of its target's pool.
    fn answer(&mut self, outcome: Outcome) -> LookupResult {
        let (targets, lifetime) = match outcome {
            Outcome::Servers { targets, lifetime } => (targets, lifetime),
            Outcome::Empty => return LookupResult::Empty,
            Outcome::Failed => return LookupResult::Failed,
        };
        let mut found = Vec::new();
        for target in targets {
            let Some(pool) = self.numbers.number_for(&target.name.to_string()) else { continue };
            for address in target.addresses {
                let address = SocketAddr::new(address, target.port);
                let (priority, weight) = (target.priority, target.weight);
                found.push(DnsRecord { address, pool, priority, weight });
            }
        }
        LookupResult::Servers { records: found, lifetime }
    }
}

impl Front {
    /// What the last run knew, `age` seconds ago. Call it before the first report.
    pub fn restore(&mut self, now: f64, age: f64, remembered: &[StoredMember]) {
        self.sources.stirred = true;
        self.sources.members.restore(now, age, remembered);
    }

    /// What the next run should know.
    pub fn remember(&self) -> Vec<StoredMember> {
        self.sources.members.stored_members()
    }

    /// All servers known, with what each source says of them.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.sources.members.members()
    }

    /// Servers not taken up for want of room.
    pub fn servers_over_capacity(&self) -> u64 {
        self.sources.members.rejected()
    }

    /// Seconds that the pool list's feed has been away; none while it is there.
    pub fn feed_lost_for(&self, now: f64) -> Option<f64> {
        self.sources.members.feed_lost_for(now)
    }

    /// The names that are looked up.
    pub fn names(&self, now: f64) -> Vec<NameStatus> {
        let Some(dns) = &self.sources.dns else { return Vec::new() };
        let one = |(place, name): (usize, &String)| NameStatus {
            name: name.clone(),
            last: dns.last[place].map(|(at, what)| (what, now - at)),
            next_in: dns.resolver.next_lookup(place).map_or(f64::INFINITY, |at| at - now),
        };
        dns.names.iter().enumerate().map(one).collect()
    }

    pub(crate) fn feed_bytes(&mut self, now: f64, bytes: &[u8]) {
        self.sources.stirred = true;
        if !self.sources.list.push(bytes) {
            self.counters.bad_list_lines += 1;
            self.sources.list.connected();
            self.event(Event::Feed { what: "line too long", detail: String::new() });
        }
        while let Some(line) = self.sources.list.next_line(now) {
            match line {
                Ok(news) => {
                    self.sources.members.apply_list(now, news.whole, &news.servers);
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
                    self.sources.members.apply_list(now, false, &[]);
                    let detail = format!("epoch {epoch}, line {sequence}");
                    self.event(Event::Feed { what: "old news", detail });
                }
            }
        }
    }

    pub(crate) fn warned(&mut self, now: f64, warning: PeerWarning) {
        self.sources.stirred = true;
        self.sources.members.apply_warning(now, warning);
    }

    pub(crate) fn feed_lost(&mut self, now: f64) {
        self.sources.stirred = true;
        self.sources.members.feed_lost(now);
        self.event(Event::Feed { what: "lost", detail: "the last known list stands".into() });
    }

    /// A server that ended its connection is up again.
    pub(crate) fn came_back(&mut self, now: f64, server: SocketAddr) {
        self.sources.stirred = true;
        self.sources.members.reconnected(now, server);
    }

    pub(crate) fn dns(&mut self, now: f64, report: In) {
        self.sources.stirred = true;
        if let Some(dns) = &mut self.sources.dns {
            dns.resolver.take(now, report);
        }
    }

    /// Pulls what the resolver and the membership module have to say until there is nothing more.
    pub(crate) fn heed_sources(&mut self, now: f64) {
        if !std::mem::take(&mut self.sources.stirred) {
            return;
        }
        self.heed_resolver(now);
        self.sources.members.evaluate(now);
        self.sources.dealt = first_choices(self.sources.members.members(), self.params.dns_groups);
        let mut entries = Vec::new();
        let mut changes = Vec::new();
        while let Some(change) = self.sources.members.next_change() {
            entries.push(PoolEntry {
                id: change.id,
                number: change.pool,
                started: change.started,
                ready: change.status == ServiceStatus::In && !self.narrowed.leaves_alone(change.id),
            });
            changes.push(change);
        }
        if !entries.is_empty() {
            self.control.handle(now, RouterInput::PoolsListed { entries, whole: false });
        }
        for change in changes {
            self.listed(now, &change);
        }
        // A server that the list has just named may be of a site that is out.
        self.leave_alone(now);
        let resolver = self.sources.dns.as_ref().map_or(f64::INFINITY, |dns| dns.resolver.due());
        let due = resolver.min(self.sources.members.next_deadline(now));
        if due < self.sources.wake {
            self.sources.wake = due;
            self.timers.set(due, Due::Sources);
        }
    }

    pub(crate) fn sources_due(&mut self, now: f64) {
        self.sources.wake = f64::INFINITY;
        self.sources.stirred = true;
        if let Some(dns) = &mut self.sources.dns {
            dns.resolver.tick(now);
        }
    }

    fn heed_resolver(&mut self, now: f64) {
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
                    dns.last[name] = Some((now, what));
                    let answer = dns.answer(outcome);
                    self.sources.members.apply_lookup(now, name, &answer);
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
            Some(FirstChoice::Dns(place)) => self.sources.dealt.get(*place).copied().unwrap_or(NO_POOL),
            None => {
                self.counters.unknown_trunk_group += 1;
                NO_POOL
            }
        }
    }

    /// A server's verdict changed: its link follows.
    fn listed(&mut self, now: f64, change: &Change) {
        let place = self.link_of(change);
        let link = &mut self.links[place];
        link.number = change.pool;
        link.ready = change.status == ServiceStatus::In && !self.narrowed.leaves_alone(change.id);
        link.listed = change.status != ServiceStatus::Out;
        let is_in = change.status == ServiceStatus::In;
        self.event(Event::ServerChanged { change: *change, age: age(now, change.started) });
        if is_in {
            return self.connect_when_due(now, place);
        }
        self.take_back(now, place);
        self.drain(now, place);
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
