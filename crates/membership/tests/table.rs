//! Every row of the table, reached by a history, with what it must rule.

use shalespindle_membership::table::rows;
use shalespindle_membership::*;
use std::net::SocketAddr;

const NOW: f64 = 1000.0;

fn params() -> MembershipParams {
    MembershipParams::short(100)
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], n))
}

fn listed(n: u16, told: ReportedState) -> ListEntry {
    ListEntry { address: address(n), pool: n, state: told, incarnation: 1, started: 0.0 }
}

fn found(n: u16) -> DnsRecord {
    DnsRecord { address: address(n), pool: n, priority: 10, weight: 10 }
}

/// What a source reports at one moment.
enum Report {
    List(Vec<ListEntry>),
    Lost,
    Dns(LookupResult),
}

fn list_history(word: ListStatus) -> Vec<(f64, Report)> {
    let both = |told| Report::List(vec![listed(1, told), listed(2, ReportedState::Ready)]);
    match word {
        ListStatus::Ready => vec![(NOW - 40.0, both(ReportedState::Ready))],
        ListStatus::Draining => {
            vec![(NOW - 40.0, both(ReportedState::Ready)), (NOW - 2.0, both(ReportedState::Draining))]
        }
        ListStatus::Gone => {
            vec![(NOW - 40.0, both(ReportedState::Ready)), (NOW - 2.0, both(ReportedState::Gone))]
        }
        ListStatus::Silent => vec![(NOW - 40.0, both(ReportedState::Ready)), (NOW - 10.0, Report::Lost)],
        ListStatus::NeverReported => vec![(NOW - 40.0, Report::List(vec![listed(2, ReportedState::Ready)]))],
    }
}

fn dns_history(word: DnsStatus) -> Vec<(f64, Report)> {
    let servers = |of: &[u16], lifetime| {
        Report::Dns(LookupResult::Servers { records: of.iter().map(|n| found(*n)).collect(), lifetime })
    };
    match word {
        DnsStatus::Present => vec![(NOW - 20.0, servers(&[1, 2], 3600.0))],
        DnsStatus::Absent => vec![(NOW - 20.0, servers(&[1, 2], 3600.0)), (NOW - 1.0, servers(&[2], 3600.0))],
        DnsStatus::Expired => vec![(NOW - 200.0, servers(&[1], 10.0))],
        DnsStatus::Failing => {
            vec![(NOW - 90.0, servers(&[1], 10.0)), (NOW - 75.0, Report::Dns(LookupResult::Failed))]
        }
        DnsStatus::Empty => {
            vec![(NOW - 20.0, servers(&[1, 2], 3600.0)), (NOW - 1.0, Report::Dns(LookupResult::Empty))]
        }
        DnsStatus::NeverReported => Vec::new(),
    }
}

fn after(list: ListStatus, dns: DnsStatus) -> Membership {
    let mut reports = list_history(list);
    reports.extend(dns_history(dns));
    reports.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut members = Membership::new(params(), 0.0);
    for (at, report) in reports {
        match report {
            Report::List(servers) => members.apply_list(at, false, &servers),
            Report::Lost => members.feed_lost(at),
            Report::Dns(answer) => members.apply_lookup(at, 0, &answer),
        }
        members.evaluate(at);
        while members.next_change().is_some() {}
    }
    members.evaluate(NOW);
    members
}

/// Written out once more by hand, so that a slip in the table is seen.
#[test]
fn every_pair_of_words_gives_its_row() {
    use DnsStatus as D;
    use ListStatus as L;
    use ServiceStatus::*;
    let expected = [
        (L::Ready, D::Present, In, false),
        (L::Ready, D::Absent, Draining, false),
        (L::Ready, D::Expired, In, false),
        (L::Ready, D::Failing, In, false),
        (L::Ready, D::Empty, In, true),
        (L::Ready, D::NeverReported, In, false),
        (L::Draining, D::Present, Draining, false),
        (L::Draining, D::Absent, Draining, false),
        (L::Draining, D::Expired, Draining, false),
        (L::Draining, D::Failing, Draining, false),
        (L::Draining, D::Empty, Draining, false),
        (L::Draining, D::NeverReported, Draining, false),
        (L::Gone, D::Present, Out, false),
        (L::Gone, D::Absent, Out, false),
        (L::Gone, D::Expired, Out, false),
        (L::Gone, D::Failing, Out, false),
        (L::Gone, D::Empty, Out, false),
        (L::Gone, D::NeverReported, Out, false),
        (L::Silent, D::Present, In, false),
        (L::Silent, D::Absent, Draining, false),
        (L::Silent, D::Expired, In, true),
        (L::Silent, D::Failing, In, true),
        (L::Silent, D::Empty, In, true),
        (L::Silent, D::NeverReported, In, true),
        (L::NeverReported, D::Present, In, false),
        (L::NeverReported, D::Absent, Draining, false),
        (L::NeverReported, D::Expired, Out, false),
        (L::NeverReported, D::Failing, In, true),
        (L::NeverReported, D::Empty, In, true),
    ];
    let mut seen = Vec::new();
    for (list, dns, status, warned) in expected {
        let members = after(list, dns);
        let member = members.members().find(|m| m.address() == address(1)).expect("it is known");
        assert_eq!(member.source_statuses(), (list, dns), "the history leads to the row");
        assert_eq!((member.status(), member.needs_attention()), (status, warned), "{list}, {dns}");
        assert_eq!(member.reason(), StatusReason::Row);
        seen.push((list, dns));
    }
    // The last row has no history of sources: only the last run can know such a server.
    let mut members = Membership::new(params(), 0.0);
    members.apply_list(0.0, true, &[listed(2, ReportedState::Ready)]);
    let old = StoredMember { address: address(1), pool: 1, taken_out: false };
    members.restore(0.0, 100.0, &[old]);
    for (at, status, warned) in [(1.0, In, true), (199.0, In, true), (201.0, Out, false)] {
        members.evaluate(at);
        let member = members.members().find(|m| m.address() == address(1)).unwrap();
        assert_eq!(
            (member.source_statuses(), member.status(), member.needs_attention()),
            ((L::NeverReported, D::NeverReported), status, warned)
        );
    }
    seen.push((L::NeverReported, D::NeverReported));
    assert!(rows().all(|(l, d, row)| seen.contains(&(l, d)) && !row.reason.is_empty()));
    assert_eq!(rows().count(), seen.len());
}

#[test]
fn the_operators_page_has_every_row() {
    let page = include_str!("../../../docs/operators/membership.md");
    for (list, dns, row) in rows() {
        let begin = format!("| {list} | {dns} | ");
        let line = page.lines().find(|l| l.starts_with(&begin)).unwrap_or_else(|| panic!("{begin}"));
        assert!(line.ends_with(&format!(" | {} |", row.reason)), "{line}");
    }
}
