//! The members: applies reports of the sources, evaluates all members, and yields the changes for the router.

use crate::flap_damping::FlapDamping;
use crate::sources::{combined_dns_status, DnsReport, FeedState, ListReport, NameState};
use crate::table::{row, Decision, Row};
use crate::{
    Change, DnsRecord, DnsStatus, ListEntry, ListStatus, LookupResult, MembershipParams, PeerWarning,
    ReportedState, ServiceStatus, StatusReason, StoredMember,
};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// A member out of service is retained for this many flap windows, so that forgetting it doesn't reset its
/// flap count.
const OUT_RETENTION_WINDOWS: f64 = 4.0;

/// A start that the list reports may precede the moment at which this front observed it by this many seconds:
/// starting takes time, and connection attempts are repeated only after a pause.
const MAX_START_LEAD_S: f64 = 5.0;

/// Two fronts that were informed of the same start may differ by this many seconds.
const SAME_START_TOLERANCE_S: f64 = 1.0;

/// One server as this front knows it.
#[derive(Clone, Debug)]
pub struct Member {
    id: u64,
    address: SocketAddr,
    pool: u16,
    list_report: Option<ListReport>,
    /// Warning from other fronts.
    warning: Option<PeerWarning>,
    /// By the index of the name in the settings.
    dns_reports: BTreeMap<usize, DnsReport>,
    /// Known from the previous run, and used until then if no source reports it.
    stored_until: f64,
    /// Last start as the list reported it; none if it never did.
    reported_start: Option<f64>,
    /// When this front observed a possible start, if the list has not reported that start since.
    observed_start: Option<f64>,
    /// Last start as the router is informed of it.
    started: f64,
    flap_damping: FlapDamping,
    status: ServiceStatus,
    since: f64,
    list_status: ListStatus,
    dns_status: DnsStatus,
    reason: StatusReason,
    needs_attention: bool,
    /// Status, start, pool and warning of the last yielded change.
    last_yielded: Option<(ServiceStatus, f64, u16, bool)>,
}

impl Member {
    /// Identifies the member for the router; it stays the same for one address.
    pub fn id(&self) -> u64 {
        self.id
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
    /// Last start of its processor, as the router is informed of it; 0: long ago.
    pub fn started(&self) -> f64 {
        self.started
    }
    /// When the status last changed.
    pub fn since(&self) -> f64 {
        self.since
    }
    /// The statuses in the two sources that the service status was derived from.
    pub fn source_statuses(&self) -> (ListStatus, DnsStatus) {
        (self.list_status, self.dns_status)
    }
    pub fn reason(&self) -> StatusReason {
        self.reason
    }
    pub fn needs_attention(&self) -> bool {
        self.needs_attention
    }
    /// What the list last reported, and since when.
    pub fn list_report(&self) -> Option<(ReportedState, f64)> {
        self.list_report.map(|report| (report.state, report.since))
    }
    /// For each name that resolved to it: the name's index, the time of the last such answer and when its
    /// lifetime ends.
    pub fn dns_reports(&self) -> impl Iterator<Item = (usize, f64, f64)> + '_ {
        self.dns_reports.iter().map(|(name, report)| (*name, report.answered_at, report.valid_until))
    }
    /// Best priority and its weight, over the names that still resolve to it.
    pub fn rank(&self) -> Option<(u16, u16)> {
        let naming = self.dns_reports.values().filter(|report| report.omitted_at.is_none());
        naming
            .map(|report| (report.priority, report.weight))
            .min_by_key(|(priority, weight)| (*priority, u16::MAX - weight))
    }

    fn new(id: u64, address: SocketAddr, pool: u16, now: f64) -> Member {
        Member {
            id,
            address,
            pool,
            list_report: None,
            warning: None,
            dns_reports: BTreeMap::new(),
            stored_until: f64::NEG_INFINITY,
            reported_start: None,
            observed_start: None,
            started: 0.0,
            flap_damping: FlapDamping::default(),
            status: ServiceStatus::Out,
            since: now,
            list_status: ListStatus::NeverReported,
            dns_status: DnsStatus::NeverReported,
            reason: StatusReason::Row,
            needs_attention: false,
            last_yielded: None,
        }
    }

    fn update_source_statuses(&mut self, now: f64, sources: &Sources, params: &MembershipParams) {
        self.dns_status = combined_dns_status(now, &self.dns_reports, &sources.names, params);
        let Some(report) = self.list_report else {
            self.list_status = ListStatus::NeverReported;
            return;
        };
        let reported = match report.state {
            ReportedState::Ready => ListStatus::Ready,
            ReportedState::Draining => ListStatus::Draining,
            ReportedState::Gone => ListStatus::Gone,
        };
        self.list_status = match (sources.feed.is_silent(now, params), report.state) {
            (false, _) => reported,
            (true, ReportedState::Ready) => ListStatus::Silent,
            // If the feed fails in the middle of a deploy, servers that it drained would stay out forever.
            // DNS may bring them back, with an answer that is later than the drain and its hold.
            (true, _)
                if self.dns_status == DnsStatus::Present
                    && self.is_named_since(report.since + params.withdrawal_hold) =>
            {
                ListStatus::NeverReported
            }
            (true, _) => reported,
        };
        // About one start the more cautious report counts, whichever front received it.
        let warning = self.warning.filter(|w| now < w.until && w.incarnation >= report.incarnation);
        self.list_status = match (warning.map(|w| w.state), self.list_status) {
            (Some(ReportedState::Gone), ListStatus::Ready | ListStatus::Silent | ListStatus::Draining) => {
                ListStatus::Gone
            }
            (Some(ReportedState::Draining), ListStatus::Ready | ListStatus::Silent) => ListStatus::Draining,
            (_, status) => status,
        };
    }

    /// Whether a name resolves to it by an answer not older than `time`.
    fn is_named_since(&self, time: f64) -> bool {
        self.dns_reports.values().any(|report| report.omitted_at.is_none() && report.answered_at >= time)
    }

    /// When DNS first omitted it; the latest such time over all names.
    fn withdrawn_at(&self) -> Option<f64> {
        self.dns_reports.values().filter_map(|report| report.omitted_at).reduce(f64::max)
    }

    /// When the source statuses, the row or the resulting service status can next change by time alone.
    fn next_deadline(&self, now: f64, sources: &Sources, params: &MembershipParams) -> f64 {
        let dns_deadlines = self
            .dns_reports
            .iter()
            .filter_map(|(name, report)| Some((report, sources.names.get(name)?)))
            .map(|(report, name_state)| report.next_deadline(now, name_state, params));
        let deadlines = [
            sources.feed.silent_at(params).filter(|_| self.list_report.is_some()),
            Some(self.flap_damping.hold_until),
            self.list_report.map(|report| report.since + params.withdrawal_hold),
            self.withdrawn_at().map(|at| at + params.withdrawal_hold),
            Some(self.stored_until),
            self.warning.map(|w| w.until),
        ];
        let deadlines = deadlines.into_iter().flatten().filter(|at| *at > now);
        deadlines.chain(dns_deadlines).fold(f64::INFINITY, f64::min)
    }
}

#[derive(Clone, Debug)]
struct Sources {
    feed: FeedState,
    /// By the index of the name in the settings.
    names: BTreeMap<usize, NameState>,
}

/// All members of one front.
#[derive(Clone, Debug)]
pub struct Membership {
    params: MembershipParams,
    sources: Sources,
    members: BTreeMap<SocketAddr, Member>,
    last_id: u64,
    changes: VecDeque<Change>,
    /// Servers not added because `max_members` was reached.
    rejected: u64,
}

impl Membership {
    pub fn new(params: MembershipParams, now: f64) -> Membership {
        Membership {
            params,
            sources: Sources { feed: FeedState { lost_since: Some(now) }, names: BTreeMap::new() },
            members: BTreeMap::new(),
            last_id: 0,
            changes: VecDeque::new(),
            rejected: 0,
        }
    }

    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Number of servers not added because the maximum number of members was reached.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// How long the feed has been disconnected at `now`; none while it is connected.
    pub fn feed_lost_for(&self, now: f64) -> Option<f64> {
        self.sources.feed.lost_since.map(|since| now - since)
    }

    // ---- reports from the host ----

    /// Applies a line of the pool list: the complete list (`whole`), or the servers that changed. A line
    /// without servers only shows that the feed is connected.
    pub fn apply_list(&mut self, now: f64, whole: bool, servers: &[ListEntry]) {
        self.sources.feed.lost_since = None;
        if whole {
            for member in self.members.values_mut() {
                if servers.iter().any(|s| s.address == member.address) {
                    continue;
                }
                // A server known only from the previous run is not confirmed by the complete list.
                member.stored_until = f64::NEG_INFINITY;
                if let Some(report) = member.list_report.as_mut().filter(|r| r.state != ReportedState::Gone) {
                    (report.state, report.since) = (ReportedState::Gone, now);
                }
            }
        }
        for server in servers {
            self.apply_list_entry(now, server);
        }
    }

    fn apply_list_entry(&mut self, now: f64, server: &ListEntry) {
        // A server that is gone is added too: DNS may name it next, and must not put it in service.
        let Some(member) = self.find_or_add(now, server.address, server.pool) else { return };
        let known = member.list_report;
        // A line may combine old and new entries: an entry about an earlier start is outdated.
        if known.is_some_and(|k| server.incarnation < k.incarnation) {
            return;
        }
        if known.is_none_or(|k| server.incarnation > k.incarnation) {
            // A start that is reported late seems later than it was, which errs on the side of cold.
            member.reported_start = Some(server.started);
            // The list may be so late that it reports an earlier start than the observed one.
            member.observed_start =
                member.observed_start.filter(|observed| server.started < observed - MAX_START_LEAD_S);
        }
        let since = match known {
            Some(k) if k.state == server.state && k.incarnation == server.incarnation => k.since,
            _ => now,
        };
        member.list_report = Some(ListReport { state: server.state, since, incarnation: server.incarnation });
        member.pool = server.pool;
    }

    /// Applies the combined report of other fronts' lists. It can take a server out of service or mark it as
    /// cold, but never puts one in service. It may precede this front's own list.
    pub fn apply_warning(&mut self, now: f64, warning: PeerWarning) {
        let Some(member) = self.find_or_add(now, warning.address, warning.pool) else { return };
        let known = member.list_report.map_or(0, |report| report.incarnation);
        if warning.incarnation < known || warning.until <= now {
            return;
        }
        member.warning = Some(warning);
        let Some(started) = warning.started.filter(|_| warning.state == ReportedState::Ready) else { return };
        if warning.incarnation > known {
            // Its processor restarted and this front's list is late: without this a cold processor would get
            // more than its share (rule 4).
            member.observed_start =
                Some(member.observed_start.map_or(started, |observed| observed.max(started)));
        } else if member.reported_start.is_some_and(|reported| started > reported + SAME_START_TOLERANCE_S) {
            member.reported_start = Some(started);
        }
    }

    /// Records that the feed's connection is lost.
    pub fn feed_lost(&mut self, now: f64) {
        self.sources.feed.lost_since.get_or_insert(now);
    }

    /// Records that the server ended a connection and a new one is up, which counts as a restart of its
    /// processor: a cold processor must not get more than its share (rule 4) while the sources are late or
    /// disconnected.
    pub fn reconnected(&mut self, now: f64, address: SocketAddr) {
        if let Some(member) = self.members.get_mut(&address) {
            member.observed_start = Some(now.max(f64::MIN_POSITIVE));
        }
    }

    /// Applies the result of a look-up of the name at index `name` in the settings.
    pub fn apply_lookup(&mut self, now: f64, name: usize, result: &LookupResult) {
        let state = self.sources.names.entry(name).or_default();
        match result {
            // Earlier reports stay in force until they expire.
            LookupResult::Failed => {}
            LookupResult::Servers { records, lifetime } if !records.is_empty() => {
                state.empty_since = None;
                self.apply_records(now, name, records, *lifetime);
            }
            LookupResult::Servers { .. } | LookupResult::Empty => {
                state.empty_since.get_or_insert(now);
            }
        }
    }

    fn apply_records(&mut self, now: f64, name: usize, records: &[DnsRecord], lifetime: f64) {
        let max_stale = self.params.max_stale;
        for member in self.members.values_mut() {
            if records.iter().any(|record| record.address == member.address) {
                continue;
            }
            // A report that expired long ago is dropped instead of being treated as withdrawn now.
            member.dns_reports.retain(|n, report| {
                *n != name || report.omitted_at.is_some() || now < report.valid_until + max_stale
            });
            if let Some(report) = member.dns_reports.get_mut(&name) {
                report.omitted_at.get_or_insert(now);
            }
        }
        for record in records {
            let Some(member) = self.find_or_add(now, record.address, record.pool) else { continue };
            let report = DnsReport {
                answered_at: now,
                valid_until: now + lifetime.max(0.0),
                omitted_at: None,
                priority: record.priority,
                weight: record.weight,
            };
            let before = member.dns_reports.insert(name, report);
            // A server that DNS withdrew and names again may be another processor at the same address, and a
            // late list reports the previous one; a cold processor must not get more than its share (rule 4).
            // Both sources mean the same start only if the list reported one after the withdrawal, and no
            // longer ago than the lifetime of the answer.
            let omitted_at = before.and_then(|b| b.omitted_at);
            let is_same_start = omitted_at.is_some_and(|at| {
                member.reported_start.is_some_and(|reported| reported >= at)
                    && member.list_report.is_some_and(|report| now <= report.since + lifetime)
            });
            if omitted_at.is_some() && !is_same_start {
                member.observed_start = Some(now.max(f64::MIN_POSITIVE));
            }
            if member.list_report.is_none() {
                member.pool = record.pool;
            }
        }
    }

    /// Adds the members of the previous run, stored `age` seconds ago; too old ones are not used. Must be
    /// called before any report is applied.
    pub fn restore(&mut self, now: f64, age: f64, stored: &[StoredMember]) {
        let until = now + (self.params.stored_max_age - age).max(0.0);
        for server in stored {
            let hold = self.params.withdrawal_hold;
            let Some(member) = self.find_or_add(now, server.address, server.pool) else { return };
            if !server.taken_out {
                member.stored_until = until;
            } else if age < hold {
                // Across a restart too nothing new may go to a draining server (rule 3), whatever DNS reports
                // first.
                let report = ListReport { state: ReportedState::Gone, since: now - age, incarnation: 0 };
                member.list_report = Some(report);
            }
        }
    }

    /// The members to store for the next run.
    pub fn stored_members(&self) -> Vec<StoredMember> {
        let is_relevant = |m: &&Member| m.status != ServiceStatus::Out || m.list_report.is_some();
        let stored = |m: &Member| StoredMember {
            address: m.address,
            pool: m.pool,
            taken_out: m.status != ServiceStatus::In && m.reason == StatusReason::Row,
        };
        self.members.values().filter(is_relevant).map(stored).collect()
    }

    /// Finds a member or adds it. At the maximum number of members the one that has been out of service for
    /// longest is evicted; none if there is none to evict.
    fn find_or_add(&mut self, now: f64, address: SocketAddr, pool: u16) -> Option<&mut Member> {
        if !self.members.contains_key(&address) && self.members.len() >= self.params.max_members {
            let is_out = |m: &&Member| {
                m.status == ServiceStatus::Out && m.last_yielded.is_none_or(|y| y.0 == ServiceStatus::Out)
            };
            let oldest = self.members.values().filter(is_out).min_by(|a, b| a.since.total_cmp(&b.since));
            let Some(oldest) = oldest.map(|m| m.address) else {
                self.rejected += 1;
                return None;
            };
            self.members.remove(&oldest);
        }
        let last_id = &mut self.last_id;
        Some(self.members.entry(address).or_insert_with(|| {
            *last_id += 1;
            Member::new(*last_id, address, pool, now)
        }))
    }

    // ---- evaluation ----

    /// Evaluates all members at `now` and queues the changes for [`Membership::next_change`].
    pub fn evaluate(&mut self, now: f64) {
        let params = &self.params;
        let mut evaluations = Vec::with_capacity(self.members.len());
        for member in self.members.values_mut() {
            member.update_source_statuses(now, &self.sources, params);
            evaluations.push(evaluate_member(now, member, params));
        }
        let is_held = |m: &Member| m.status != ServiceStatus::In && now < m.flap_damping.hold_until;
        let any_admitted = evaluations.iter().any(|e| e.is_admitted);
        let any_usable = self.members.values().zip(&evaluations).any(|(m, e)| e.is_admitted && !is_held(m));
        for (member, evaluation) in self.members.values_mut().zip(&evaluations) {
            // A member in service as the last resort stays in: taking it out when another one returns would
            // itself be a flap.
            let is_last_resort = member.status == ServiceStatus::In
                && member.reason == StatusReason::LastResort
                && now < member.flap_damping.hold_until;
            let (status, reason) = if evaluation.is_admitted && (!is_held(member) || !any_usable) {
                let is_resort = is_held(member) || is_last_resort;
                (ServiceStatus::In, if is_resort { StatusReason::LastResort } else { StatusReason::Row })
            } else if evaluation.is_admitted {
                (ServiceStatus::Draining, StatusReason::Flapping)
            } else if evaluation.allows_last_resort && !any_admitted {
                (ServiceStatus::In, StatusReason::LastResort)
            } else {
                (evaluation.status_if_not_in, StatusReason::Row)
            };
            member.set_status(now, status, reason, evaluation, params);
            member.needs_attention = status == ServiceStatus::In
                && (evaluation.needs_attention || reason == StatusReason::LastResort);
            if let Some(change) = member.take_change() {
                self.changes.push_back(change);
            }
        }
        self.forget(now);
    }

    /// Removes members that have long been out of service and that no source reports. A member that the list
    /// reported as gone is retained until it is evicted: a record that outlives its processor must not put it
    /// in service.
    fn forget(&mut self, now: f64) {
        let retention = self.params.withdrawal_hold.max(OUT_RETENTION_WINDOWS * self.params.flap_window);
        self.members.retain(|_, m| {
            let is_reported = m.dns_status == DnsStatus::Present || m.list_report.is_some();
            is_reported
                || m.status != ServiceStatus::Out
                || now - m.since <= retention
                || m.stored_until > now
        });
    }

    /// Takes the next change, oldest first.
    pub fn next_change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    /// When [`Membership::evaluate`] must be called at the latest; infinite when time alone changes nothing.
    pub fn next_deadline(&self, now: f64) -> f64 {
        let deadline = |m: &Member| m.next_deadline(now, &self.sources, &self.params);
        self.members.values().map(deadline).fold(f64::INFINITY, f64::min)
    }
}

/// Evaluation of one member alone, without regard to flap damping and to the other members.
struct Evaluation {
    is_admitted: bool,
    treat_as_cold: bool,
    needs_attention: bool,
    /// It may be put in service when no other server is left.
    allows_last_resort: bool,
    status_if_not_in: ServiceStatus,
}

fn evaluate_member(now: f64, member: &Member, params: &MembershipParams) -> Evaluation {
    let Row { decision, .. } = row(member.list_status, member.dns_status);
    let is_held = |since: Option<f64>| since.is_some_and(|at| now < at + params.withdrawal_hold);
    let is_drained = decision == Decision::Drain;
    let mut evaluation = Evaluation {
        is_admitted: matches!(decision, Decision::In | Decision::InCold | Decision::InWithWarning),
        treat_as_cold: decision == Decision::InCold,
        needs_attention: decision == Decision::InWithWarning,
        allows_last_resort: decision == Decision::OutUnlessLastResort,
        status_if_not_in: if is_drained { ServiceStatus::Draining } else { ServiceStatus::Out },
    };
    match (member.list_status, member.dns_status) {
        // Known only from the previous run, and not too old.
        (ListStatus::NeverReported, DnsStatus::NeverReported) if now < member.stored_until => {
            evaluation =
                Evaluation { is_admitted: true, treat_as_cold: true, needs_attention: true, ..evaluation };
        }
        // An expired lifetime needs no attention while it is only shortly past.
        (ListStatus::NeverReported, DnsStatus::Failing) => {
            let is_recent = |report: &DnsReport| now < report.valid_until + params.stale_without_warning;
            evaluation.needs_attention = !member.dns_reports.values().any(is_recent);
        }
        (ListStatus::Ready | ListStatus::Silent, DnsStatus::Absent) if !is_held(member.withdrawn_at()) => {
            // Its processor runs as far as is known, and the drain is over: usable as the last resort.
            evaluation.allows_last_resort = true;
        }
        (ListStatus::NeverReported, DnsStatus::Absent) if !is_held(member.withdrawn_at()) => {
            evaluation.status_if_not_in = ServiceStatus::Out;
        }
        _ => {}
    }
    if let (None, Some(warning)) = (member.list_report, member.warning) {
        // Without a report of this front's own list, a server that only other fronts named, and one that they
        // report as draining or gone, is not used even as the last resort.
        let is_out = now < warning.until && warning.state != ReportedState::Ready;
        if is_out || member.dns_reports.is_empty() && now >= member.stored_until {
            evaluation = Evaluation {
                is_admitted: false,
                allows_last_resort: false,
                status_if_not_in: ServiceStatus::Out,
                ..evaluation
            };
        }
    }
    evaluation
}

impl Member {
    fn set_status(
        &mut self,
        now: f64,
        status: ServiceStatus,
        reason: StatusReason,
        evaluation: &Evaluation,
        params: &MembershipParams,
    ) {
        let previous = self.status;
        let enters_service = status == ServiceStatus::In && previous != ServiceStatus::In;
        if previous == ServiceStatus::In && status != ServiceStatus::In {
            self.flap_damping.record_exit(now, params);
        }
        // A source's report of the start prevails over any guess; an unreported start counts as now, i.e.
        // cold.
        let reported = self.reported_start.filter(|_| self.list_status != ListStatus::NeverReported);
        if let Some(observed) = self.observed_start {
            // An observation from before it entered service doesn't cover the time until then.
            let observed = if enters_service { now.max(f64::MIN_POSITIVE) } else { observed };
            (self.observed_start, self.started) = (Some(observed), observed);
        } else if let Some(reported) = reported {
            self.started = reported;
        } else if enters_service && (evaluation.treat_as_cold || self.reported_start.is_none()) {
            self.started = now.max(f64::MIN_POSITIVE);
        }
        if status != previous {
            self.since = now;
        }
        (self.status, self.reason) = (status, reason);
    }

    /// The change since the last call; none if nothing changed, or the member was and is out of service.
    fn take_change(&mut self) -> Option<Change> {
        let current = (self.status, self.started, self.pool, self.needs_attention);
        let last = self.last_yielded.unwrap_or((ServiceStatus::Out, self.started, self.pool, false));
        if last == current || last.0 == ServiceStatus::Out && self.status == ServiceStatus::Out {
            return None;
        }
        self.last_yielded = Some(current);
        Some(Change {
            id: self.id,
            address: self.address,
            pool: self.pool,
            status: self.status,
            started: self.started,
            list: self.list_status,
            dns: self.dns_status,
            reason: self.reason,
            needs_attention: self.needs_attention,
        })
    }
}
