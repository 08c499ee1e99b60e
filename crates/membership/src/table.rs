//! The table for disagreement: one row for each pair of what the list and DNS say of a server.
//!
//! Two principles give every row. Whoever takes a server out goes before whoever lets it in. And silence,
//! failure and emptiness are not words: what was last known stands, for a time, with a warning.

use crate::{DnsStatus, ListStatus};

/// What a row rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    In,
    /// In, and taken for cold until the list tells when its processor started.
    InCold,
    /// In on old news, with a warning.
    InWithWarning,
    /// Nothing new.
    Drain,
    Out,
    /// Out for want of words, not because a source took it out: in again when nothing else is left.
    OutSoft,
}

/// One row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    pub decision: Decision,
    pub reason: &'static str,
}

/// The row for what the sources say of one server.
pub fn row(list: ListStatus, dns: DnsStatus) -> Row {
    use Decision::*;
    use DnsStatus as D;
    use ListStatus as L;
    let (decision, reason) = match (list, dns) {
        (L::Ready, D::Present) => (In, "both name it"),
        (L::Ready, D::Absent) => (Drain, "DNS withdrew it: whoever takes out goes first"),
        (L::Ready, D::Expired) => (In, "DNS has no word left, the list has"),
        (L::Ready, D::Failing) => (In, "the list tells what runs; DNS fails"),
        (L::Ready, D::Empty) => (InWithWarning, "an empty answer takes nothing out that runs"),
        (L::Ready, D::NeverReported) => (In, "the list alone knows it"),
        (L::Draining, D::Present) => (Drain, "the list drains it; a record only says that it may exist"),
        (L::Draining, D::Absent) => (Drain, "both take it out; what stands ends"),
        (L::Draining, D::Expired) => (Drain, "a record that ends during a drain changes nothing"),
        (L::Draining, D::Failing) => (Drain, "the list drains it"),
        (L::Draining, D::Empty) => (Drain, "the list drains it"),
        (L::Draining, D::NeverReported) => (Drain, "the list drains it"),
        (L::Gone, D::Present) => (Out, "its processor does not run; records outlive processors"),
        (L::Gone, D::Absent) => (Out, "both take it out"),
        (L::Gone, D::Expired) => (Out, "its processor does not run"),
        (L::Gone, D::Failing) => (Out, "its processor does not run"),
        (L::Gone, D::Empty) => (Out, "its processor does not run"),
        (L::Gone, D::NeverReported) => (Out, "its processor does not run"),
        (L::Silent, D::Present) => (In, "the list's last word was ready and DNS still names it"),
        (L::Silent, D::Absent) => (Drain, "DNS withdrew it after the list fell silent"),
        (L::Silent, D::Expired) => (InWithWarning, "no word is newer than the list's last"),
        (L::Silent, D::Failing) => (InWithWarning, "both sources fail: what was last known stands"),
        (L::Silent, D::Empty) => (InWithWarning, "an empty answer does not empty the fleet at once"),
        (L::Silent, D::NeverReported) => (InWithWarning, "the list's last word stands"),
        (L::NeverReported, D::Present) => (InCold, "found by DNS alone: cold until known better"),
        (L::NeverReported, D::Absent) => (Drain, "DNS withdrew what it alone had named"),
        (L::NeverReported, D::Expired) => (OutSoft, "nobody has named it for too long"),
        (L::NeverReported, D::Failing) => (InWithWarning, "what DNS last named stands while it fails"),
        (L::NeverReported, D::Empty) => (InWithWarning, "an empty answer does not empty the fleet at once"),
        (L::NeverReported, D::NeverReported) => (OutSoft, "only the last run knew it, and too long ago"),
    };
    Row { decision, reason }
}

/// All rows, for the operators' page and for tests.
pub fn rows() -> impl Iterator<Item = (ListStatus, DnsStatus, Row)> {
    ListStatus::ALL.into_iter().flat_map(|l| DnsStatus::ALL.into_iter().map(move |d| (l, d, row(l, d))))
}
