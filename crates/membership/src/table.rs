//! The table for disagreement: one row for each pair of what the list and DNS say of a server.
//!
//! Two principles give every row. Whoever takes a server out goes before whoever lets it in. And silence,
//! failure and emptiness are not words: what was last known stands, for a time, with a warning.

use crate::{DnsWord, ListWord};

/// What a row rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ruling {
    In,
    /// In, and taken for cold until the list tells when its processor started.
    InCold,
    /// In on old news, with a warning.
    InWarned,
    /// Nothing new.
    Drain,
    Out,
    /// Out for want of words, not because a source took it out: in again when nothing else is left.
    OutSoft,
}

/// One row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    pub ruling: Ruling,
    pub reason: &'static str,
}

/// The row for what the sources say of one server.
pub fn row(list: ListWord, dns: DnsWord) -> Row {
    use DnsWord as D;
    use ListWord as L;
    use Ruling::*;
    let (ruling, reason) = match (list, dns) {
        (L::Ready, D::Present) => (In, "both name it"),
        (L::Ready, D::Absent) => (Drain, "DNS withdrew it: whoever takes out goes first"),
        (L::Ready, D::Expired) => (In, "DNS has no word left, the list has"),
        (L::Ready, D::Failing) => (In, "the list tells what runs; DNS fails"),
        (L::Ready, D::Empty) => (InWarned, "an empty answer takes nothing out that runs"),
        (L::Ready, D::NeverHeard) => (In, "the list alone knows it"),
        (L::Draining, D::Present) => (Drain, "the list drains it; a record only says that it may exist"),
        (L::Draining, D::Absent) => (Drain, "both take it out; what stands ends"),
        (L::Draining, D::Expired) => (Drain, "a record that ends during a drain changes nothing"),
        (L::Draining, D::Failing) => (Drain, "the list drains it"),
        (L::Draining, D::Empty) => (Drain, "the list drains it"),
        (L::Draining, D::NeverHeard) => (Drain, "the list drains it"),
        (L::Gone, D::Present) => (Out, "its processor does not run; records outlive processors"),
        (L::Gone, D::Absent) => (Out, "both take it out"),
        (L::Gone, D::Expired) => (Out, "its processor does not run"),
        (L::Gone, D::Failing) => (Out, "its processor does not run"),
        (L::Gone, D::Empty) => (Out, "its processor does not run"),
        (L::Gone, D::NeverHeard) => (Out, "its processor does not run"),
        (L::Silent, D::Present) => (In, "the list's last word was ready and DNS still names it"),
        (L::Silent, D::Absent) => (Drain, "DNS withdrew it after the list fell silent"),
        (L::Silent, D::Expired) => (InWarned, "no word is newer than the list's last"),
        (L::Silent, D::Failing) => (InWarned, "both sources fail: what was last known stands"),
        (L::Silent, D::Empty) => (InWarned, "an empty answer does not empty the fleet at once"),
        (L::Silent, D::NeverHeard) => (InWarned, "the list's last word stands"),
        (L::NeverHeard, D::Present) => (InCold, "found by DNS alone: cold until known better"),
        (L::NeverHeard, D::Absent) => (Drain, "DNS withdrew what it alone had named"),
        (L::NeverHeard, D::Expired) => (OutSoft, "nobody has named it for too long"),
        (L::NeverHeard, D::Failing) => (InWarned, "what DNS last named stands while it fails"),
        (L::NeverHeard, D::Empty) => (InWarned, "an empty answer does not empty the fleet at once"),
        (L::NeverHeard, D::NeverHeard) => (OutSoft, "only the last run knew it, and too long ago"),
    };
    Row { ruling, reason }
}

/// All rows, for the operators' page and for tests.
pub fn rows() -> impl Iterator<Item = (ListWord, DnsWord, Row)> {
    ListWord::ALL.into_iter().flat_map(|l| DnsWord::ALL.into_iter().map(move |d| (l, d, row(l, d))))
}
