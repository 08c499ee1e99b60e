//! Writes each event of a front as a structured log event; docs/operators/front.md explains them.

use shalespindle_front::{Event, Outcome};
use shalespindle_membership::table::row;
use shalespindle_membership::StatusReason;
use tracing::{debug, info, warn};

/// Writes an event to the log; `front` names the front.
pub fn log_event(front: &str, event: &Event) {
    match event {
        Event::FinalAnswer(a) => {
            let pool = a.last_server.map(|p| p.to_string()).unwrap_or_default();
            let (after_ms, set_up_ms) = (a.answered_after * 1000.0, a.set_up_delay * 1000.0);
            let outcome = a.outcome.name();
            match a.outcome {
                Outcome::Established | Outcome::Abandoned | Outcome::Refused => info!(
                    target: "shalespindle::attach", front, session = &*a.session, number = &*a.number,
                    outcome, status = a.status, pool, tries = a.tries, after_ms, set_up_ms, "final answer"
                ),
                Outcome::Failed => warn!(
                    target: "shalespindle::attach", front, session = &*a.session, number = &*a.number,
                    outcome, status = a.status, pool, tries = a.tries, after_ms, set_up_ms, "final answer"
                ),
            }
        }
        Event::Released { session, cut, established_for } => info!(
            target: "shalespindle::attach", front, session = &**session, cut, stood_for_s = established_for,
            "released"
        ),
        Event::ServerChanged { change: c, age } => {
            let reason = row(c.list, c.dns).reason;
            let (list, dns, state) = (c.list.name(), c.dns.name(), format!("{:?}", c.status));
            if c.needs_attention || c.reason != StatusReason::Row {
                warn!(
                    target: "shalespindle::members", front, server = %c.address, pool = c.pool, state, list,
                    dns, because = ?c.reason, reason, age_s = age, "server status changed, needs attention"
                )
            } else {
                info!(
                    target: "shalespindle::members", front, server = %c.address, pool = c.pool, state, list,
                    dns, reason, age_s = age, "server status changed"
                )
            }
        }
        Event::DnsStep { step, unusual: true } => {
            info!(target: "shalespindle::names", front, ?step, "DNS lookup")
        }
        Event::DnsStep { step, unusual: false } => {
            debug!(target: "shalespindle::names", front, ?step, "DNS lookup")
        }
        Event::LinkUp { server } => info!(target: "shalespindle::link", front, %server, "connected"),
        Event::LinkLost { server, cut, retry_after } => warn!(
            target: "shalespindle::link", front, %server, cut, retry_after_s = retry_after, "connection lost"
        ),
        Event::SetUpsWithdrawn { server, count } => {
            info!(target: "shalespindle::link", front, %server, count, "set-ups withdrawn")
        }
        Event::Feed { what, detail } => {
            warn!(target: "shalespindle::list", front, what, detail, "pool list feed")
        }
        Event::LevelChanged { from, to, why, admits } => {
            warn!(
                target: "shalespindle::level", front, from, to, %why, takes = admits,
                "level of reduced service changed"
            )
        }
        Event::LevelPinned { level: Some(level), seconds } => {
            warn!(target: "shalespindle::level", front, level, seconds, "level pinned by an operator")
        }
        Event::LevelPinned { level: None, .. } => {
            warn!(target: "shalespindle::level", front, "level unpinned by an operator")
        }
        Event::SitesRestricted { pools, rates } => {
            warn!(
                target: "shalespindle::sites", front, ?pools, parts = ?rates,
                "site restrictions of the fleet changed"
            )
        }
        Event::BadInput { from, why } => debug!(target: "shalespindle::input", front, from, why, "bad input"),
        Event::ShuttingDown { pending, established } => {
            info!(
                target: "shalespindle::front", front, in_hand = pending, standing = established,
                "shutting down"
            )
        }
    }
}
