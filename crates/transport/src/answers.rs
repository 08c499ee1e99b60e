//! Answers operators' questions to a front.

use hdrhistogram::Histogram;
use shalespindle_console::{Ask, LevelState, MemberState, Members, NameState, Reply, Snapshot};
use shalespindle_front::Front;
use shalespindle_membership::table::row;
use shalespindle_membership::{Member, StatusReason};

/// Maximum duration of a pin, seconds: a forgotten pin must end within a day.
const MAX_PIN: f64 = 86_400.0;

/// Statistics of the host process that the front itself does not have.
pub(crate) struct Host<'a> {
    /// Delay before the owner handled an event or a timer, microseconds.
    pub lag: &'a Histogram<u64>,
    /// Datagrams that could not be sent.
    pub datagrams_dropped: u64,
}

pub(crate) fn answer(front: &mut Front, now: f64, ask: &Ask, host: &Host) -> Reply {
    match *ask {
        Ask::Status => Reply::Status(Box::new(snapshot(front, now, host))),
        Ask::Members => Reply::Members(Box::new(members(front, now))),
        Ask::PinLevel { level, seconds } => {
            if !(seconds > 0.0 && seconds <= MAX_PIN) {
                return Reply::Bad { why: format!("a pin lasts more than 0 and at most {MAX_PIN} s") };
            }
            match front.pin_level(now, Some((level, seconds))) {
                true => Reply::Done { what: format!("level {level} is held for {seconds} s") },
                false => Reply::Bad { why: available_levels(front) },
            }
        }
        // These questions are answered by the service, which has the connection to the fleet.
        Ask::Fleet | Ask::PinFleet { .. } | Ask::Site { .. } => {
            Reply::Bad { why: "this question is not answered by a single front".into() }
        }
        Ask::UnpinLevel => match front.pin_level(now, None) {
            true => Reply::Done { what: "the pin has ended".into() },
            false => Reply::Bad { why: "no level is pinned".into() },
        },
    }
}

fn available_levels(front: &Front) -> String {
    match front.deepest_level() {
        0 => "levels of reduced service are off".into(),
        deepest => format!("levels are 0 to {deepest}"),
    }
}

fn snapshot(front: &mut Front, now: f64, host: &Host) -> Snapshot {
    let quantile = |q| host.lag.value_at_quantile(q) as f64 / 1000.0;
    let (attaches_held, legs_held) = front.record_counts();
    let deepest = front.deepest_level();
    let level = front.level(now).map(|(status, takes)| LevelState {
        level: status.level,
        deepest,
        seconds: now - status.since,
        why: status.reason.to_string(),
        takes,
        pressure: status.pressure,
        pinned_for: status.pin.map(|pin| pin.until - now),
        taken: status.admitted,
        refused: status.refused,
        changes: status.changes,
    });
    Snapshot {
        front: front.host().to_string(),
        seconds_in_service: now - front.started(),
        ending: front.is_shutting_down(),
        level,
        in_hand: front.pending(),
        standing: front.established(),
        attaches_held,
        legs_held,
        datagrams_dropped: host.datagrams_dropped,
        lag_p50_ms: quantile(0.5),
        lag_p99_ms: quantile(0.99),
        counters: front.counters(),
    }
}

fn members(front: &Front, now: f64) -> Members {
    let name = |n: shalespindle_front::NameStatus| NameState {
        name: n.name,
        last: n.last.map(|l| l.0.to_string()),
        age: n.last.map(|l| l.1),
        next_in: Some(n.next_in).filter(|s| s.is_finite()),
    };
    Members {
        feed_away: front.feed_lost_for(now),
        names: front.names(now).into_iter().map(name).collect(),
        members: front.members().map(|m| member(m, now)).collect(),
        turned_away: front.servers_over_capacity(),
    }
}

fn member(member: &Member, now: f64) -> MemberState {
    let (list, dns) = member.source_statuses();
    // If several names have this address: the one whose answer stays valid for longest.
    let dns_report = member.dns_reports().max_by(|a, b| a.2.total_cmp(&b.2));
    let reason = match member.reason() {
        StatusReason::Row => row(list, dns).reason,
        StatusReason::Flapping => "it came and went too often recently",
        StatusReason::LastResort => "the last resort: no other server is left",
    };
    MemberState {
        address: member.address(),
        pool: member.pool(),
        verdict: format!("{:?}", member.status()).to_lowercase(),
        seconds: now - member.since(),
        list: list.to_string(),
        list_age: member.list_report().map(|l| now - l.1),
        dns: dns.to_string(),
        dns_age: dns_report.map(|n| now - n.1),
        dns_left: dns_report.map(|n| n.2 - now),
        rank: member.rank(),
        because: reason.into(),
        warned: member.needs_attention(),
    }
}
