//! The decision table: one row for each pair of a server's status in the pool list and its status in DNS.
//!
//! Every row follows from two principles. A source that takes a server out of service prevails over one that
//! puts it in. And silence, failed look-ups and empty answers are not reports: the last known state stays in
//! force for a limited time, with a warning.

use crate::{DnsStatus, ListStatus};

/// Decision of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// In service.
    In,
    /// In service, and treated as cold until the list reports when its processor started.
    InCold,
    /// In service on outdated reports, with a warning.
    InWithWarning,
    /// It gets no new work.
    Drain,
    /// Out of service.
    Out,
    /// Out of service for lack of reports, not because a source took it out: used again as the last resort,
    /// when no other server is left.
    OutUnlessLastResort,
}

/// One row of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    pub decision: Decision,
    /// Shown to operators; docs/operators/membership.md has the same text for each row.
    pub reason: &'static str,
}

/// The row for a server's statuses in the two sources.
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
        (L::NeverReported, D::Expired) => (OutUnlessLastResort, "nobody has named it for too long"),
        (L::NeverReported, D::Failing) => (InWithWarning, "what DNS last named stands while it fails"),
        (L::NeverReported, D::Empty) => (InWithWarning, "an empty answer does not empty the fleet at once"),
        (L::NeverReported, D::NeverReported) => {
            (OutUnlessLastResort, "only the last run knew it, and too long ago")
        }
    };
    Row { decision, reason }
}

/// All rows, for the operators' documentation and for tests.
pub fn rows() -> impl Iterator<Item = (ListStatus, DnsStatus, Row)> {
    ListStatus::ALL
        .into_iter()
        .flat_map(|list| DnsStatus::ALL.into_iter().map(move |dns| (list, dns, row(list, dns))))
}
