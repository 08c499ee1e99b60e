//! What a front and its host answer to operators' questions.

use hdrhistogram::Histogram;
use shalespindle_console::{FrontStatus, LevelState, MemberState, Members, NameState, Reply, Request};
use shalespindle_front::Front;
use shalespindle_membership::table::row;
use shalespindle_membership::{Member, StatusReason};

/// The longest pin, seconds: one that is forgotten must not outlive a day.
const LONGEST_PIN: f64 = 86_400.0;

/// What the host knows beside the front.
pub(crate) struct Host<'a> {
    /// How late the owner was, microseconds.
    pub lag: &'a Histogram<u64>,
    pub datagrams_dropped: u64,
}

pub(crate) fn answer(front: &mut Front, now: f64, ask: &Request, host: &Host) -> Reply {
    match *ask {
        Request::Status => Reply::Status(Box::new(snapshot(front, now, host))),
        Request::Members => Reply::Members(Box::new(members(front, now))),
        Request::PinLevel { level, seconds } => {
            if !(seconds > 0.0 && seconds <= LONGEST_PIN) {
                return Reply::Bad { why: format!("a pin lasts more than 0 and at most {LONGEST_PIN} s") };
            }
            match front.pin_level(now, Some((level, seconds))) {
                true => Reply::Done { what: format!("level {level} is held for {seconds} s") },
                false => Reply::Bad { why: levels_there(front) },
            }
        }
        // Answered where the fleet is known.
        Request::Fleet | Request::PinFleet { .. } | Request::Site { .. } => {
            Reply::Bad { why: "not a question to a front alone".into() }
        }
        Request::UnpinLevel => match front.pin_level(now, None) {
            true => Reply::Done { what: "the pin has ended".into() },
            false => Reply::Bad { why: "no level is pinned".into() },
        },
    }
}

fn levels_there(front: &Front) -> String {
    match front.deepest_level() {
        0 => "levels of reduced service are off".into(),
        deepest => format!("levels are 0 to {deepest}"),
    }
}

fn snapshot(front: &mut Front, now: f64, host: &Host) -> FrontStatus {
    let quantile = |q| host.lag.value_at_quantile(q) as f64 / 1000.0;
    let (attaches_held, legs_held) = front.record_counts();
    let deepest = front.deepest_level();
    let level = front.level(now).map(|(status, takes)| LevelState {
        level: status.level,
        max_level: deepest,
        seconds: now - status.since,
        reason: status.reason.to_string(),
        admits: takes,
        pressure: status.pressure,
        pinned_for: status.pin.map(|pin| pin.until - now),
        admitted: status.admitted,
        refused: status.refused,
        changes: status.changes,
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
    let name = |n: shalespindle_front::NameStatus| NameState {
        name: n.name,
        last: n.last.map(|l| l.0.to_string()),
        age: n.last.map(|l| l.1),
        next_in: Some(n.next_in).filter(|s| s.is_finite()),
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
    // Of several names the one whose answer is good for longest.
    let named = member.dns_reports().max_by(|a, b| a.2.total_cmp(&b.2));
    let because = match member.reason() {
        StatusReason::Row => row(list, dns).reason,
        StatusReason::Flapping => "it came and went too often of late",
        StatusReason::LastResort => "the last resort: nothing else is left",
    };
    MemberState {
        address: member.address(),
        pool: member.pool(),
        status: format!("{:?}", member.status()).to_lowercase(),
        seconds: now - member.since(),
        list: list.to_string(),
        list_age: member.list_report().map(|l| now - l.1),
        dns: dns.to_string(),
        dns_age: named.map(|n| now - n.1),
        dns_left: named.map(|n| n.2 - now),
        rank: member.rank(),
        reason: because.into(),
        needs_attention: member.needs_attention(),
    }
}
