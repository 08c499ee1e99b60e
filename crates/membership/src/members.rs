//! The members themselves: inputs, the decision over all of them, and what is told of it.

use crate::flaps::Flaps;
use crate::sources::{dns_word, FeedState, ListSays, NameState, NamedBy};
use crate::table::{row, Decision, Row};
use crate::{
    Change, DnsRecord, DnsStatus, ListEntry, ListStatus, LookupResult, MembershipParams, PeerWarning,
    ReportedState, ServiceStatus, StatusReason, StoredMember,
};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// A server that is out is remembered for so many flap windows, so that it is not forgiven by being forgotten.
const REMEMBERED_OUT: f64 = 4.0;

/// A start that the list tells may be so much before the moment at which this front saw it: starting takes
/// time, and connections are tried again after a pause; seconds.
const EARLIER: f64 = 5.0;

/// Two fronts that were told of one start may differ by so much, seconds.
const SAME_START: f64 = 1.0;

/// One server as this front knows it.
#[derive(Clone, Debug)]
pub struct Member {
    name: u64,
    address: SocketAddr,
    pool: u16,
    list: Option<ListSays>,
    /// What other fronts warn of.
    warning: Option<PeerWarning>,
    named: BTreeMap<usize, NamedBy>,
    /// Known from the last run, and used until then while no source has spoken of it.
    remembered_until: f64,
    /// As the list told; none where it never did.
    told_start: Option<f64>,
    /// When this front saw what may have been a start, if the list has not told of that one since.
    seen_start: Option<f64>,
    /// As the router is told.
    started: f64,
    flaps: Flaps,
    status: ServiceStatus,
    since: f64,
    list_word: ListStatus,
    dns_word: DnsStatus,
    reason: StatusReason,
    needs_attention: bool,
    /// What was last yielded.
    yielded: Option<(ServiceStatus, f64, u16, bool)>,
}

impl Member {
    pub fn name(&self) -> u64 {
        self.name
    }
    pub fn address(&self) -> SocketAddr {
        self.address
    }
    pub fn pool(&self) -> u16 {
        self.pool
    }
    pub fn status(&self) -> ServiceStatus {
        self.status
    }
    /// Its processor's last start, as the router is told; 0: long ago.
    pub fn started(&self) -> f64 {
        self.started
    }
    /// Since when the status holds.
    pub fn since(&self) -> f64 {
        self.since
    }
    /// The two words that the status was made of.
    pub fn source_statuses(&self) -> (ListStatus, DnsStatus) {
        (self.list_word, self.dns_word)
    }
    pub fn reason(&self) -> StatusReason {
        self.reason
    }
    pub fn needs_attention(&self) -> bool {
        self.needs_attention
    }
    /// What the list last told, and when.
    pub fn list_report(&self) -> Option<(ReportedState, f64)> {
        self.list.map(|l| (l.state, l.since))
    }
    /// For each name that named it: its place, when it last did and until when that was good.
    pub fn dns_reports(&self) -> impl Iterator<Item = (usize, f64, f64)> + '_ {
        self.named.iter().map(|(name, by)| (*name, by.at, by.until))
    }
    /// Best priority and the weight that goes with it, of the names that still name it.
    pub fn rank(&self) -> Option<(u16, u16)> {
        let naming = self.named.values().filter(|by| by.left_out_at.is_none());
        naming.map(|by| (by.priority, by.weight)).min_by_key(|r| (r.0, u16::MAX - r.1))
    }

    fn new(name: u64, address: SocketAddr, pool: u16, now: f64) -> Member {
        Member {
            name,
            address,
            pool,
            list: None,
            warning: None,
            named: BTreeMap::new(),
            remembered_until: f64::NEG_INFINITY,
            told_start: None,
            seen_start: None,
            started: 0.0,
            flaps: Flaps::default(),
            status: ServiceStatus::Out,
            since: now,
            list_word: ListStatus::NeverReported,
            dns_word: DnsStatus::NeverReported,
            reason: StatusReason::Row,
            needs_attention: false,
            yielded: None,
        }
    }

    fn hear(&mut self, now: f64, sources: &Sources, params: &MembershipParams) {
        self.dns_word = dns_word(now, &self.named, &sources.names, params);
        let Some(says) = self.list else {
            self.list_word = ListStatus::NeverReported;
            return;
        };
        let word = match says.state {
            ReportedState::Ready => ListStatus::Ready,
            ReportedState::Draining => ListStatus::Draining,
            ReportedState::Gone => ListStatus::Gone,
        };
        self.list_word = match (sources.feed.silent(now, params), says.state) {
            (false, _) => word,
            (true, ReportedState::Ready) => ListStatus::Silent,
            // Guards against a feed that died in the middle of a deploy: what it drained would be out for
            // ever. DNS may bring it back, with an answer younger than the drain and its hold.
            (true, _)
                if self.dns_word == DnsStatus::Present
                    && self.named_after(says.since + params.withdrawal_hold) =>
            {
                ListStatus::NeverReported
            }
            (true, _) => word,
        };
        // Of one start the more careful word counts, whoever was told it.
        let warning = self.warning.filter(|w| now < w.until && w.incarnation >= says.incarnation);
        self.list_word = match (warning.map(|w| w.state), self.list_word) {
            (Some(ReportedState::Gone), ListStatus::Ready | ListStatus::Silent | ListStatus::Draining) => {
                ListStatus::Gone
            }
            (Some(ReportedState::Draining), ListStatus::Ready | ListStatus::Silent) => ListStatus::Draining,
            (_, word) => word,
        };
    }

    fn named_after(&self, time: f64) -> bool {
        self.named.values().any(|by| by.left_out_at.is_none() && by.at >= time)
    }

    /// When DNS first left it out, where it did.
    fn withdrawn_at(&self) -> Option<f64> {
        self.named.values().filter_map(|by| by.left_out_at).reduce(f64::max)
    }

    /// When the words, the row or what follows from it can next change by time alone.
    fn due(&self, now: f64, sources: &Sources, params: &MembershipParams) -> f64 {
        let named = self.named.iter().filter_map(|(name, by)| Some((by, sources.names.get(name)?)));
        let named = named.map(|(by, state)| by.due(now, state, params));
        let moments = [
            sources.feed.silent_at(params).filter(|_| self.list.is_some()),
            Some(self.flaps.hold_until),
            self.list.map(|l| l.since + params.withdrawal_hold),
            self.withdrawn_at().map(|at| at + params.withdrawal_hold),
            Some(self.remembered_until),
            self.warning.map(|w| w.until),
        ];
        let moments = moments.into_iter().flatten().filter(|at| *at > now);
        moments.chain(named).fold(f64::INFINITY, f64::min)
    }
}

#[derive(Clone, Debug)]
struct Sources {
    feed: FeedState,
    names: BTreeMap<usize, NameState>,
}

/// All members of one front.
#[derive(Clone, Debug)]
pub struct Membership {
    params: MembershipParams,
    sources: Sources,
    members: BTreeMap<SocketAddr, Member>,
    next_name: u64,
    changes: VecDeque<Change>,
    /// Servers not taken up for want of room.
    turned_away: u64,
}

impl Membership {
    pub fn new(params: MembershipParams, now: f64) -> Membership {
        Membership {
            params,
            sources: Sources { feed: FeedState { away_since: Some(now) }, names: BTreeMap::new() },
            members: BTreeMap::new(),
            next_name: 0,
            changes: VecDeque::new(),
            turned_away: 0,
        }
    }

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub fn rejected(&self) -> u64 {
        self.turned_away
    }

    /// How long the feed has been away at `now`; none while it is there.
    pub fn feed_lost_for(&self, now: f64) -> Option<f64> {
        self.sources.feed.away_since.map(|since| now - since)
    }

    // ---- what the host reports ----

    /// A line of the pool list: all servers there are (`whole`), or those that changed. A line without news
    /// says that the feed is there.
    pub fn apply_list(&mut self, now: f64, whole: bool, servers: &[ListEntry]) {
        self.sources.feed.away_since = None;
        if whole {
            for member in self.members.values_mut() {
                if servers.iter().any(|s| s.address == member.address) {
                    continue;
                }
                // What only the last run knew is not confirmed by the list that knows all.
                member.remembered_until = f64::NEG_INFINITY;
                if let Some(says) = member.list.as_mut().filter(|l| l.state != ReportedState::Gone) {
                    (says.state, says.since) = (ReportedState::Gone, now);
                }
            }
        }
        for server in servers {
            self.listed_one(now, server);
        }
    }

    fn listed_one(&mut self, now: f64, server: &ListEntry) {
        // One that is gone is taken up too: DNS may name it next, and must not bring it in.
        let Some(member) = self.member(now, server.address, server.pool) else { return };
        let known = member.list;
        // Guards against a line put together from old and new parts: an earlier start is old news.
        if known.is_some_and(|k| server.incarnation < k.incarnation) {
            return;
        }
        if known.is_none_or(|k| server.incarnation > k.incarnation) {
            // Told late, a start seems later than it was, which errs on the side of cold.
            member.told_start = Some(server.started);
            // The list may be so late that it tells of an earlier start than the one that was seen.
            member.seen_start = member.seen_start.filter(|seen| server.started < seen - EARLIER);
        }
        let since = match known {
            Some(k) if k.state == server.state && k.incarnation == server.incarnation => k.since,
            _ => now,
        };
        member.list = Some(ListSays { state: server.state, since, incarnation: server.incarnation });
        member.pool = server.pool;
    }

    /// What other fronts' lists come to for a server. It takes a server out or calls it cold; nothing is let in
    /// by it. A server that this front's list has not named yet is warned of in advance.
    pub fn apply_warning(&mut self, now: f64, warning: PeerWarning) {
        let Some(member) = self.member(now, warning.address, warning.pool) else { return };
        let known = member.list.map_or(0, |l| l.incarnation);
        if warning.incarnation < known || warning.until <= now {
            return;
        }
        member.warning = Some(warning);
        let Some(started) = warning.started.filter(|_| warning.state == ReportedState::Ready) else { return };
        if warning.incarnation > known {
            // Guards rule 4: its processor started anew, and this front's list is late.
            member.seen_start = Some(member.seen_start.map_or(started, |seen| seen.max(started)));
        } else if member.told_start.is_some_and(|told| started > told + SAME_START) {
            member.told_start = Some(started);
        }
    }

    /// The feed's connection is lost.
    pub fn feed_lost(&mut self, now: f64) {
        self.sources.feed.away_since.get_or_insert(now);
    }

    /// Its server ended a connection, and now another is up: a processor that started anew, as far as this
    /// front can see. Guards rule 4 while the sources are late or away.
    pub fn reconnected(&mut self, now: f64, address: SocketAddr) {
        if let Some(member) = self.members.get_mut(&address) {
            member.seen_start = Some(now.max(f64::MIN_POSITIVE));
        }
    }

    /// A look-up of the name at place `name` in the settings has ended.
    pub fn apply_lookup(&mut self, now: f64, name: usize, answer: &LookupResult) {
        let state = self.sources.names.entry(name).or_default();
        match answer {
            // What was known stands until its own time is up.
            LookupResult::Failed => {}
            LookupResult::Servers { records: found, lifetime } if !found.is_empty() => {
                state.empty_since = None;
                self.found(now, name, found, *lifetime);
            }
            LookupResult::Servers { .. } | LookupResult::Empty => {
                state.empty_since.get_or_insert(now);
            }
        }
    }

    fn found(&mut self, now: f64, name: usize, found: &[DnsRecord], lifetime: f64) {
        let stale = self.params.max_stale;
        for member in self.members.values_mut() {
            if found.iter().any(|f| f.address == member.address) {
                continue;
            }
            // A word that lapsed long ago is not withdrawn now: forgotten or not, it counts for nothing.
            member.named.retain(|n, by| *n != name || by.left_out_at.is_some() || now < by.until + stale);
            if let Some(by) = member.named.get_mut(&name) {
                by.left_out_at.get_or_insert(now);
            }
        }
        for server in found {
            let Some(member) = self.member(now, server.address, server.pool) else { continue };
            let by = NamedBy {
                at: now,
                until: now + lifetime.max(0.0),
                left_out_at: None,
                priority: server.priority,
                weight: server.weight,
            };
            let before = member.named.insert(name, by);
            // Guards rule 4: what DNS withdrew and names again may be another processor at the same address,
            // and a list that is late tells of the one before. Both speak of the same start only if the list
            // told of one after the withdrawal, and not longer ago than an answer takes to be asked for anew.
            let left_out = before.and_then(|b| b.left_out_at);
            let same = left_out.is_some_and(|at| {
                member.told_start.is_some_and(|told| told >= at)
                    && member.list.is_some_and(|says| now <= says.since + lifetime)
            });
            if left_out.is_some() && !same {
                member.seen_start = Some(now.max(f64::MIN_POSITIVE));
            }
            if member.list.is_none() {
                member.pool = server.pool;
            }
        }
    }

    /// What the last run knew, `age` seconds ago; distrusted by age. Call it before any other report.
    pub fn restore(&mut self, now: f64, age: f64, remembered: &[StoredMember]) {
        let until = now + (self.params.stored_max_age - age).max(0.0);
        for old in remembered {
            let hold = self.params.withdrawal_hold;
            let Some(member) = self.member(now, old.address, old.pool) else { return };
            if !old.taken_out {
                member.remembered_until = until;
            } else if age < hold {
                // Guards rule 3 across a restart: what drained then still does, whatever DNS says first.
                let says = ListSays { state: ReportedState::Gone, since: now - age, incarnation: 0 };
                member.list = Some(says);
            }
        }
    }

    /// What the next run should know.
    pub fn stored_members(&self) -> Vec<StoredMember> {
        let worth = |m: &&Member| m.status != ServiceStatus::Out || m.list.is_some();
        let one = |m: &Member| StoredMember {
            address: m.address,
            pool: m.pool,
            taken_out: m.status != ServiceStatus::In && m.reason == StatusReason::Row,
        };
        self.members.values().filter(worth).map(one).collect()
    }

    fn member(&mut self, now: f64, address: SocketAddr, pool: u16) -> Option<&mut Member> {
        if !self.members.contains_key(&address) && self.members.len() >= self.params.max_members {
            let oldest = self
                .members
                .values()
                .filter(|m| {
                    m.status == ServiceStatus::Out && m.yielded.is_none_or(|y| y.0 == ServiceStatus::Out)
                })
                .min_by(|a, b| a.since.total_cmp(&b.since));
            let Some(oldest) = oldest.map(|m| m.address) else {
                self.turned_away += 1;
                return None;
            };
            self.members.remove(&oldest);
        }
        let next_name = &mut self.next_name;
        Some(self.members.entry(address).or_insert_with(|| {
            *next_name += 1;
            Member::new(*next_name, address, pool, now)
        }))
    }

    // ---- the decision ----

    /// Rules over all members by what is known at `now`; changes wait to be pulled.
    pub fn evaluate(&mut self, now: f64) {
        let params = &self.params;
        let mut rulings = Vec::with_capacity(self.members.len());
        for member in self.members.values_mut() {
            member.hear(now, &self.sources, params);
            rulings.push(ruled(now, member, params));
        }
        let held = |m: &Member| m.status != ServiceStatus::In && now < m.flaps.hold_until;
        let wanted = rulings.iter().any(|r| r.wants_in);
        let served = self.members.values().zip(&rulings).any(|(m, r)| r.wants_in && !held(m));
        for (member, decision) in self.members.values_mut().zip(&rulings) {
            // Once let in, it stays: to go out again when another comes back would be a flap of our own.
            let let_in = member.status == ServiceStatus::In
                && member.reason == StatusReason::LastResort
                && now < member.flaps.hold_until;
            let (status, reason) = if decision.wants_in && (!held(member) || !served) {
                let resort = held(member) || let_in;
                (ServiceStatus::In, if resort { StatusReason::LastResort } else { StatusReason::Row })
            } else if decision.wants_in {
                (ServiceStatus::Draining, StatusReason::Flapping)
            } else if decision.soft && !wanted {
                (ServiceStatus::In, StatusReason::LastResort)
            } else {
                (decision.otherwise, StatusReason::Row)
            };
            member.become_so(now, status, reason, decision, params);
            member.needs_attention = status == ServiceStatus::In
                && (decision.needs_attention || reason == StatusReason::LastResort);
            if let Some(change) = member.change() {
                self.changes.push_back(change);
            }
        }
        self.forget(now);
    }

    /// Members out for long, of which no source has a word, are forgotten. What the list called gone stays
    /// known until its room is needed: a record that outlives its processor must not bring it in again.
    fn forget(&mut self, now: f64) {
        let keep = self.params.withdrawal_hold.max(REMEMBERED_OUT * self.params.flap_window);
        self.members.retain(|_, m| {
            let named = m.dns_word == DnsStatus::Present || m.list.is_some();
            named || m.status != ServiceStatus::Out || now - m.since <= keep || m.remembered_until > now
        });
    }

    /// The next change, oldest first.
    pub fn next_change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    /// When [`Membership::evaluate`] must be called at the latest; infinite when time alone changes nothing.
    pub fn next_deadline(&self, now: f64) -> f64 {
        let due = |m: &Member| m.due(now, &self.sources, &self.params);
        self.members.values().map(due).fold(f64::INFINITY, f64::min)
    }
}

/// What a member's row comes to.
struct Ruled {
    wants_in: bool,
    cold: bool,
    needs_attention: bool,
    /// May be let in when nothing else is left.
    soft: bool,
    otherwise: ServiceStatus,
}

fn ruled(now: f64, member: &Member, params: &MembershipParams) -> Ruled {
    let Row { decision, .. } = row(member.list_word, member.dns_word);
    let held = |since: Option<f64>| since.is_some_and(|at| now < at + params.withdrawal_hold);
    let wants_in = matches!(decision, Decision::In | Decision::InCold | Decision::InWithWarning);
    let mut ruled = Ruled {
        wants_in,
        cold: decision == Decision::InCold,
        needs_attention: decision == Decision::InWithWarning,
        soft: decision == Decision::OutSoft,
        otherwise: if decision == Decision::Drain { ServiceStatus::Draining } else { ServiceStatus::Out },
    };
    match (member.list_word, member.dns_word) {
        // Known from the last run alone, and not for too long.
        (ListStatus::NeverReported, DnsStatus::NeverReported) if now < member.remembered_until => {
            ruled = Ruled { wants_in: true, cold: true, needs_attention: true, ..ruled };
        }
        // Within the quiet time a lifetime that ran out is nothing to look at yet.
        (ListStatus::NeverReported, DnsStatus::Failing) => {
            let quiet = |by: &NamedBy| now < by.until + params.stale_without_warning;
            ruled.needs_attention = !member.named.values().any(quiet);
        }
        (ListStatus::Ready | ListStatus::Silent, DnsStatus::Absent) if !held(member.withdrawn_at()) => {
            // Its processor runs as far as is known, and the drain is over: the last resort.
            ruled.soft = true;
        }
        (ListStatus::NeverReported, DnsStatus::Absent) if !held(member.withdrawn_at()) => {
            ruled.otherwise = ServiceStatus::Out;
        }
        _ => {}
    }
    if let (None, Some(warning)) = (member.list, member.warning) {
        // Guards against a server that nobody but other fronts has named, and against one that they know to
        // drain while this front's list has not spoken: not even as the last resort.
        let out = now < warning.until && warning.state != ReportedState::Ready;
        if out || member.named.is_empty() && now >= member.remembered_until {
            ruled = Ruled { wants_in: false, soft: false, otherwise: ServiceStatus::Out, ..ruled };
        }
    }
    ruled
}

impl Member {
    fn become_so(
        &mut self,
        now: f64,
        status: ServiceStatus,
        reason: StatusReason,
        decision: &Ruled,
        params: &MembershipParams,
    ) {
        let (was, comes) = (self.status, status == ServiceStatus::In && self.status != ServiceStatus::In);
        if was == ServiceStatus::In && status != ServiceStatus::In {
            self.flaps.went_out(now, params);
        }
        // A source's word on the start goes before any guess; a start nobody told is taken for now: cold.
        let told = self.told_start.filter(|_| self.list_word != ListStatus::NeverReported);
        if let Some(seen) = self.seen_start {
            // What was seen before it came in says nothing of what happened until then.
            let seen = if comes { now.max(f64::MIN_POSITIVE) } else { seen };
            (self.seen_start, self.started) = (Some(seen), seen);
        } else if let Some(told) = told {
            self.started = told;
        } else if comes && (decision.cold || self.told_start.is_none()) {
            self.started = now.max(f64::MIN_POSITIVE);
        }
        if status != was {
            self.since = now;
        }
        (self.status, self.reason) = (status, reason);
    }

    fn change(&mut self) -> Option<Change> {
        let now = (self.status, self.started, self.pool, self.needs_attention);
        let before = self.yielded.unwrap_or((ServiceStatus::Out, self.started, self.pool, false));
        if before == now || before.0 == ServiceStatus::Out && self.status == ServiceStatus::Out {
            return None;
        }
        self.yielded = Some(now);
        Some(Change {
            name: self.name,
            address: self.address,
            pool: self.pool,
            status: self.status,
            started: self.started,
            list: self.list_word,
            dns: self.dns_word,
            reason: self.reason,
            needs_attention: self.needs_attention,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn room_is_bounded_and_what_is_out_makes_room() {
        let mut members = Membership::new(MembershipParams::short(8), 0.0);
        let server = |n: u16, told| ListEntry {
            address: SocketAddr::from(([127, 0, 0, 1], n)),
            pool: n,
            state: told,
            incarnation: 1,
            started: 0.0,
        };
        for n in 0..20 {
            members.apply_list(1.0, false, &[server(n, ReportedState::Ready)]);
            members.evaluate(1.0);
        }
        assert_eq!((members.members().count(), members.rejected()), (8, 12));
        members.apply_list(2.0, false, &[server(3, ReportedState::Gone)]);
        members.evaluate(2.0);
        members.apply_list(3.0, false, &[server(30, ReportedState::Ready)]);
        members.evaluate(3.0);
        assert_eq!(members.members().count(), 8);
        assert!(members.members().any(|m| m.pool() == 30 && m.status() == ServiceStatus::In));
    }
}
