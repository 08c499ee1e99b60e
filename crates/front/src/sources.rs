//! The two sources of servers of a front. Lines of the pool list and look-ups of SRV names go to the
//! membership module; the changes that it decides on go to the decision module and to the links.

use crate::front::{Front, TimerEvent};
use crate::io::{Event, Output};
use crate::params::{DnsParams, FirstChoice, Params};
use crate::pool_list::{PoolList, RejectedLine};
use crate::router::RouterInput;
use shalespindle_control::interface::PoolEntry;
use shalespindle_membership::{
    first_choices, Change, DnsRecord, LookupResult, Member, Membership, PeerWarning, PoolNumbers,
    ServiceStatus, StoredMember,
};
use shalespindle_srv::{Outcome, Resolver, ResolverInput, ResolverOutput, Step};
use std::net::SocketAddr;

/// A number that no pool has.
const NO_POOL: u16 = u16::MAX;

/// Maximum number of pools that are known from DNS alone.
const MAX_DNS_POOLS: usize = 1024;

/// State of the sources of servers.
pub(crate) struct Sources {
    pub list: PoolList,
    pub members: Membership,
    dns: Option<Dns>,
    /// First choices of the trunk groups whose first choice comes from DNS, by index; recomputed at each
    /// update.
    dns_first_choices: Vec<u16>,
    /// When the next timer for the sources expires.
    timer_at: f64,
    /// Something was reported since the last update.
    changed: bool,
}

struct Dns {
    resolver: Resolver,
    numbers: PoolNumbers,
    names: Vec<String>,
    /// Time and result of each name's last look-up.
    last_results: Vec<Option<(f64, &'static str)>>,
}

/// Status of a name that is looked up in DNS, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct NameStatus {
    pub name: String,
    /// Result of the last look-up and the seconds since.
    pub last: Option<(&'static str, f64)>,
    /// Seconds until the next look-up.
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
            numbers: PoolNumbers::new(params.pools.clone(), params.first_pool, MAX_DNS_POOLS),
            names: params.resolver.names.iter().map(|n| n.to_string()).collect(),
            last_results: vec![None; params.resolver.names.len()],
        }
    }

    /// Converts a look-up's result for the membership module: each address of a target is a server of its
    /// pool.
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
    /// Restores the servers that the last run knew `age` seconds ago. Call it before the first input.
    pub fn restore(&mut self, now: f64, age: f64, remembered: &[StoredMember]) {
        self.sources.changed = true;
        self.sources.members.restore(now, age, remembered);
    }

    /// Returns the servers to be restored in the next run.
    pub fn remember(&self) -> Vec<StoredMember> {
        self.sources.members.stored_members()
    }

    /// Returns all known servers and their state in each source.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.sources.members.members()
    }

    /// Number of servers that were not accepted because the limit on known servers was reached.
    pub fn servers_over_capacity(&self) -> u64 {
        self.sources.members.rejected()
    }

    /// Seconds since the connection to the pool list's feed was lost; none while it is up.
    pub fn feed_lost_for(&self, now: f64) -> Option<f64> {
        self.sources.members.feed_lost_for(now)
    }

    /// Returns the status of each name that is looked up.
    pub fn names(&self, now: f64) -> Vec<NameStatus> {
        let Some(dns) = &self.sources.dns else { return Vec::new() };
        let status = |(index, name): (usize, &String)| NameStatus {
            name: name.clone(),
            last: dns.last_results[index].map(|(at, what)| (what, now - at)),
            next_in: dns.resolver.next_lookup(index).map_or(f64::INFINITY, |at| at - now),
        };
        dns.names.iter().enumerate().map(status).collect()
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
                Ok(update) => {
                    self.sources.members.apply_list(now, update.whole, &update.servers);
                    if self.params.has_peers {
                        self.outputs.extend(update.servers.into_iter().map(Output::ServerListed));
                    }
                }
                Err(RejectedLine::Invalid(why)) => {
                    self.counters.bad_list_lines += 1;
                    self.event(Event::Feed { what: "nonsense", detail: why });
                }
                Err(RejectedLine::Outdated { epoch, sequence }) => {
                    // It changes nothing, but shows that the feed is up.
                    self.sources.members.apply_list(now, false, &[]);
                    let detail = format!("epoch {epoch}, line {sequence}");
                    self.event(Event::Feed { what: "old news", detail });
                }
            }
        }
    }

    pub(crate) fn server_warning(&mut self, now: f64, warning: PeerWarning) {
        self.sources.changed = true;
        self.sources.members.apply_warning(now, warning);
    }

    pub(crate) fn feed_lost(&mut self, now: f64) {
        self.sources.changed = true;
        self.sources.members.feed_lost(now);
        self.event(Event::Feed { what: "lost", detail: "the last known list stays in use".into() });
    }

    /// The connection to a server that had ended it is up again.
    pub(crate) fn server_reconnected(&mut self, now: f64, server: SocketAddr) {
        self.sources.changed = true;
        self.sources.members.reconnected(now, server);
    }

    pub(crate) fn dns(&mut self, now: f64, report: ResolverInput) {
        self.sources.changed = true;
        if let Some(dns) = &mut self.sources.dns {
            dns.resolver.handle(now, report);
        }
    }

    /// Passes the results of the resolver and the changes of the membership module on, until there are none.
    pub(crate) fn update_sources(&mut self, now: f64) {
        if !std::mem::take(&mut self.sources.changed) {
            return;
        }
        self.poll_resolver(now);
        self.sources.members.evaluate(now);
        self.sources.dns_first_choices =
            first_choices(self.sources.members.members(), self.params.dns_groups);
        let mut entries = Vec::new();
        let mut changes = Vec::new();
        while let Some(change) = self.sources.members.next_change() {
            entries.push(PoolEntry {
                id: change.id,
                number: change.pool,
                started: change.started,
                ready: change.status == ServiceStatus::In && !self.site_restriction.excludes(change.id),
            });
            changes.push(change);
        }
        if !entries.is_empty() {
            self.control.handle(now, RouterInput::PoolsListed { entries, whole: false });
        }
        for change in changes {
            self.apply_change(now, &change);
        }
        // A newly listed server may belong to a lost site.
        self.update_excluded(now);
        let resolver = self.sources.dns.as_ref().map_or(f64::INFINITY, |dns| dns.resolver.next_deadline());
        let due = resolver.min(self.sources.members.next_deadline(now));
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
        while let Some(out) = dns.resolver.next_output() {
            match out {
                ResolverOutput::SendQuery { ticket, to, tcp, bytes } => {
                    self.outputs.push_back(Output::DnsQuery { ticket, to, tcp, bytes });
                }
                ResolverOutput::CloseSocket { ticket } => self.outputs.push_back(Output::DnsClose { ticket }),
                ResolverOutput::LookupDone { name_index, outcome } => {
                    let what = match outcome {
                        Outcome::Servers { .. } => "servers",
                        Outcome::Empty => "empty",
                        Outcome::Failed => "failed",
                    };
                    dns.last_results[name_index] = Some((now, what));
                    let answer = dns.answer(outcome);
                    self.sources.members.apply_lookup(now, name_index, &answer);
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

    /// Returns the pool that is the first choice of a trunk group, or [`NO_POOL`].
    pub(crate) fn first_choice(&mut self, group: Option<&str>) -> u16 {
        let Some(group) = group else { return NO_POOL };
        match self.params.trunk_groups.get(group) {
            Some(FirstChoice::Pool(pool)) => *pool,
            Some(FirstChoice::Dns(index)) => {
                self.sources.dns_first_choices.get(*index).copied().unwrap_or(NO_POOL)
            }
            None => {
                self.counters.unknown_trunk_group += 1;
                NO_POOL
            }
        }
    }

    /// Applies a server's change of status to its link.
    fn apply_change(&mut self, now: f64, change: &Change) {
        let link_index = self.link_for(change);
        let link = &mut self.links[link_index];
        link.number = change.pool;
        link.ready = change.status == ServiceStatus::In && !self.site_restriction.excludes(change.id);
        link.listed = change.status != ServiceStatus::Out;
        let is_in = change.status == ServiceStatus::In;
        self.event(Event::ServerChanged { change: *change, age: age(now, change.started) });
        if is_in {
            return self.connect_if_allowed(now, link_index);
        }
        self.withdraw_queued(now, link_index);
        self.start_drain_timer(now, link_index);
        self.close_unused(now, link_index);
    }
}

/// Seconds since a processor started; infinite if it started long ago.
fn age(now: f64, started: f64) -> f64 {
    if started == 0.0 {
        f64::INFINITY
    } else {
        now - started
    }
}
