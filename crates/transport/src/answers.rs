//! Answers operators' questions to a front.

use hdrhistogram::Histogram;
use shalespindle_console::{FrontStatus, LevelState, MemberState, Members, NameState, Reply, Request};
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

pub(crate) fn answer(front: &mut Front, now: f64, question: &Request, host: &Host) -> Reply {
    match *question {
        Request::Status => Reply::Status(Box::new(status(front, now, host))),
        Request::Members => Reply::Members(Box::new(members(front, now))),
        Request::PinLevel { level, seconds } => {
            if !(seconds > 0.0 && seconds <= MAX_PIN) {
                return Reply::Bad { why: format!("a pin lasts more than 0 and at most {MAX_PIN} s") };
            }
            match front.pin_level(now, Some((level, seconds))) {
                true => Reply::Done { what: format!("level {level} is held for {seconds} s") },
                false => Reply::Bad { why: available_levels(front) },
            }
        }
        // These questions are answered by the service, which has the connection to the fleet.
        Request::Fleet | Request::PinFleet { .. } | Request::Site { .. } => {
            Reply::Bad { why: "this question is not answered by a single front".into() }
        }
        Request::UnpinLevel => match front.pin_level(now, None) {
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

fn status(front: &mut Front, now: f64, host: &Host) -> FrontStatus {
    let quantile = |q| host.lag.value_at_quantile(q) as f64 / 1000.0;
    let (attaches_held, legs_held) = front.record_counts();
    let deepest = front.deepest_level();
    let level = front.level(now).map(|(level, admits)| LevelState {
        level: level.level,
        max_level: deepest,
        seconds: now - level.since,
        reason: level.reason.to_string(),
        admits,
        pressure: level.pressure,
        pinned_for: level.pin.map(|pin| pin.until - now),
        admitted: level.admitted,
        refused: level.refused,
        changes: level.changes,
    });
    FrontStatus {
        front: front.host().to_string(),
        seconds_in_service: now - front.started(),
        shutting_down: front.is_shutting_down(),
        level,
        pending: front.pending(),
        established: front.established(),
        attaches_held,
        legs_held,
        datagrams_dropped: host.datagrams_dropped,
        lag_p50_ms: quantile(0.5),
        lag_p99_ms: quantile(0.99),
        counters: front.counters(),
    }
}

fn members(front: &Front, now: f64) -> Members {
    let name = |name: shalespindle_front::NameStatus| NameState {
        name: name.name,
        last: name.last.map(|l| l.0.to_string()),
        age: name.last.map(|l| l.1),
        next_in: Some(name.next_in).filter(|s| s.is_finite()),
    };
    Members {
        feed_lost_for: front.feed_lost_for(now),
        names: front.names(now).into_iter().map(name).collect(),
        members: front.members().map(|m| member(m, now)).collect(),
        over_capacity: front.servers_over_capacity(),
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
        status: format!("{:?}", member.status()).to_lowercase(),
        seconds: now - member.since(),
        list: list.to_string(),
        list_age: member.list_report().map(|l| now - l.1),
        dns: dns.to_string(),
        dns_age: dns_report.map(|n| now - n.1),
        dns_left: dns_report.map(|n| n.2 - now),
        rank: member.rank(),
        reason: reason.into(),
        needs_attention: member.needs_attention(),
    }
}
