//! What each source last reported about one server, and the source's current status derived from it.

use crate::{MembershipParams, ReportedState};
use std::collections::BTreeMap;
use std::fmt;

/// Status of a server according to the pool list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ListStatus {
    Ready,
    Draining,
    Gone,
    /// It was reported as ready, and the feed has been disconnected for longer than its timeout.
    Silent,
    /// The list never named this server, or its last report no longer counts.
    NeverReported,
}

/// Status of a server according to DNS.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DnsStatus {
    /// The last answer names it and is within its lifetime.
    Present,
    /// The last answer names others but not this one.
    Absent,
    /// The last answer that named it is too far past its lifetime.
    Expired,
    /// The record is past its lifetime and look-ups fail, but it may still be used.
    Failing,
    /// Answers are empty, but not yet for long enough to count.
    Empty,
    NeverReported,
}

impl ListStatus {
    pub const ALL: [ListStatus; 5] = [
        ListStatus::Ready,
        ListStatus::Draining,
        ListStatus::Gone,
        ListStatus::Silent,
        ListStatus::NeverReported,
    ];

    /// Name in logs, in the console's output and in the operators' documentation.
    pub fn name(self) -> &'static str {
        match self {
            ListStatus::Ready => "ready",
            ListStatus::Draining => "draining",
            ListStatus::Gone => "gone",
            ListStatus::Silent => "silent",
            ListStatus::NeverReported => "never heard",
        }
    }
}

impl DnsStatus {
    pub const ALL: [DnsStatus; 6] = [
        DnsStatus::Present,
        DnsStatus::Absent,
        DnsStatus::Expired,
        DnsStatus::Failing,
        DnsStatus::Empty,
        DnsStatus::NeverReported,
    ];

    /// Name in logs, in the console's output and in the operators' documentation.
    pub fn name(self) -> &'static str {
        match self {
            DnsStatus::Present => "present",
            DnsStatus::Absent => "absent",
            DnsStatus::Expired => "expired",
            DnsStatus::Failing => "failing",
            DnsStatus::Empty => "empty",
            DnsStatus::NeverReported => "never heard",
        }
    }
}

impl fmt::Display for ListStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl fmt::Display for DnsStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The pool list's last report about one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ListReport {
    pub state: ReportedState,
    /// When this state was first reported for this incarnation.
    pub since: f64,
    pub incarnation: u64,
}

/// Connection state of the pool list's feed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FeedState {
    /// Since when it is disconnected; none while connected.
    pub lost_since: Option<f64>,
}

impl FeedState {
    pub fn is_silent(&self, now: f64, params: &MembershipParams) -> bool {
        self.silent_at(params).is_some_and(|at| now >= at)
    }

    /// When the list starts to count as silent, unless the feed reconnects before.
    pub fn silent_at(&self, params: &MembershipParams) -> Option<f64> {
        self.lost_since.map(|since| since + params.list_timeout)
    }
}

/// State of the look-ups of one name, independent of the servers that it resolved to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct NameState {
    /// Since when answers have been empty.
    pub empty_since: Option<f64>,
}

/// What the answers for one name report about one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct DnsReport {
    /// When the last answer that named the server came.
    pub answered_at: f64,
    /// When the lifetime of that answer ends.
    pub valid_until: f64,
    /// When an answer with other servers first omitted this one.
    pub omitted_at: Option<f64>,
    pub priority: u16,
    pub weight: u16,
}

impl DnsReport {
    pub fn status(&self, now: f64, name: &NameState, params: &MembershipParams) -> DnsStatus {
        if self.omitted_at.is_some() {
            return DnsStatus::Absent;
        }
        if let Some(since) = name.empty_since {
            // A name that stays empty for this long no longer names any server.
            return if now < since + params.max_stale { DnsStatus::Empty } else { DnsStatus::Expired };
        }
        if now < self.valid_until {
            DnsStatus::Present
        } else if now < self.valid_until + params.max_stale {
            DnsStatus::Failing
        } else {
            DnsStatus::Expired
        }
    }

    /// When the status, or whether it needs a warning, can next change by time alone.
    pub fn next_deadline(&self, now: f64, name: &NameState, params: &MembershipParams) -> f64 {
        let deadlines = match name.empty_since {
            Some(since) => [since + params.max_stale, f64::INFINITY, f64::INFINITY],
            None => [
                self.valid_until,
                self.valid_until + params.stale_without_warning,
                self.valid_until + params.max_stale,
            ],
        };
        deadlines.into_iter().filter(|at| *at > now).fold(f64::INFINITY, f64::min)
    }
}

/// The best status over all names: a server under two names counts as named while one of them names it.
pub(crate) fn combined_dns_status(
    now: f64,
    reports: &BTreeMap<usize, DnsReport>,
    names: &BTreeMap<usize, NameState>,
    params: &MembershipParams,
) -> DnsStatus {
    const BEST_FIRST: [DnsStatus; 5] =
        [DnsStatus::Present, DnsStatus::Failing, DnsStatus::Empty, DnsStatus::Absent, DnsStatus::Expired];
    let status = |(name, report): (&usize, &DnsReport)| {
        names.get(name).map(|name_state| report.status(now, name_state, params))
    };
    let statuses: Vec<DnsStatus> = reports.iter().filter_map(status).collect();
    BEST_FIRST.into_iter().find(|best| statuses.contains(best)).unwrap_or(DnsStatus::NeverReported)
}
