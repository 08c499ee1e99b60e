//! What each source last said of one server, and what that comes to now.

use crate::{MembershipParams, ReportedState};
use std::collections::BTreeMap;
use std::fmt;

/// What the pool list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ListStatus {
    Ready,
    Draining,
    Gone,
    /// It said ready, and the feed has been away for longer than its patience.
    Silent,
    /// It never named this server, or what it said is no longer held to.
    NeverReported,
}

/// What DNS says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DnsStatus {
    /// The last answer names it and is within its lifetime.
    Present,
    /// The last answer names others and no longer this one.
    Absent,
    /// The last answer that named it is too long past its lifetime.
    Expired,
    /// It is past its lifetime, look-ups fail, and it still may be used.
    Failing,
    /// The last answer was empty, not long ago.
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

/// The list's part of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ListSays {
    pub state: ReportedState,
    pub since: f64,
    pub incarnation: u64,
}

/// The feed itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FeedState {
    /// Since when it is away; none while it is there.
    pub away_since: Option<f64>,
}

impl FeedState {
    pub fn silent(&self, now: f64, params: &MembershipParams) -> bool {
        self.silent_at(params).is_some_and(|at| now >= at)
    }

    pub fn silent_at(&self, params: &MembershipParams) -> Option<f64> {
        self.away_since.map(|since| since + params.list_timeout)
    }
}

/// One name's last answers, whatever server they named.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct NameState {
    /// Since when answers have been empty.
    pub empty_since: Option<f64>,
}

/// What one name's answers say of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct NamedBy {
    /// The last answer that named it: when, and until when it was good.
    pub at: f64,
    pub until: f64,
    /// When an answer with others first left it out.
    pub left_out_at: Option<f64>,
    pub priority: u16,
    pub weight: u16,
}

impl NamedBy {
    pub fn word(&self, now: f64, name: &NameState, params: &MembershipParams) -> DnsStatus {
        if self.left_out_at.is_some() {
            return DnsStatus::Absent;
        }
        if let Some(since) = name.empty_since {
            // Believed in the end: a name that stays empty names nobody.
            return if now < since + params.max_stale { DnsStatus::Empty } else { DnsStatus::Expired };
        }
        if now < self.until {
            DnsStatus::Present
        } else if now < self.until + params.max_stale {
            DnsStatus::Failing
        } else {
            DnsStatus::Expired
        }
    }

    /// When its word can next change by time alone.
    pub fn due(&self, now: f64, name: &NameState, params: &MembershipParams) -> f64 {
        let moments = match name.empty_since {
            Some(since) => [since + params.max_stale, f64::INFINITY, f64::INFINITY],
            None => [self.until, self.until + params.stale_without_warning, self.until + params.max_stale],
        };
        moments.into_iter().filter(|at| *at > now).fold(f64::INFINITY, f64::min)
    }
}

/// The best word of all names: a server under two names is named while one of them names it.
pub(crate) fn dns_word(
    now: f64,
    named: &BTreeMap<usize, NamedBy>,
    names: &BTreeMap<usize, NameState>,
    params: &MembershipParams,
) -> DnsStatus {
    const BEST: [DnsStatus; 5] =
        [DnsStatus::Present, DnsStatus::Failing, DnsStatus::Empty, DnsStatus::Absent, DnsStatus::Expired];
    let word = |(name, by): (&usize, &NamedBy)| names.get(name).map(|state| by.word(now, state, params));
    let words: Vec<DnsStatus> = named.iter().filter_map(word).collect();
    BEST.into_iter().find(|best| words.contains(best)).unwrap_or(DnsStatus::NeverReported)
}
