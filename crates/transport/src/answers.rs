//! What a front and its host answer to operators' questions.

use hdrhistogram::Histogram;
use shalespindle_console::{Ask, LevelState, Reply, Snapshot};
use shalespindle_front::Front;

/// The longest pin, seconds: one that is forgotten must not outlive a day.
const LONGEST_PIN: f64 = 86_400.0;

/// What the host knows beside the front.
pub(crate) struct Host<'a> {
    /// How late the owner was, microseconds.
    pub lag: &'a Histogram<u64>,
    pub datagrams_dropped: u64,
}

pub(crate) fn answer(front: &mut Front, now: f64, ask: &Ask, host: &Host) -> Reply {
    match *ask {
        Ask::Status => Reply::Status(Box::new(snapshot(front, now, host))),
        Ask::PinLevel { level, seconds } => {
            if !(seconds > 0.0 && seconds <= LONGEST_PIN) {
                return Reply::Bad { why: format!("a pin lasts more than 0 and at most {LONGEST_PIN} s") };
            }
            match front.pin_level(now, Some((level, seconds))) {
                true => Reply::Done { what: format!("level {level} is held for {seconds} s") },
                false => Reply::Bad { why: levels_there(front) },
            }
        }
        Ask::UnpinLevel => match front.pin_level(now, None) {
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

fn snapshot(front: &mut Front, now: f64, host: &Host) -> Snapshot {
    let quantile = |q| host.lag.value_at_quantile(q) as f64 / 1000.0;
    let (attaches_held, legs_held) = front.held();
    let deepest = front.deepest_level();
    let level = front.level(now).map(|(status, takes)| LevelState {
        level: status.level,
        deepest,
        seconds: now - status.since,
        why: status.why.to_string(),
        takes,
        pressure: status.pressure,
        pinned_for: status.pin.map(|pin| pin.until - now),
        taken: status.taken,
        refused: status.refused,
        changes: status.changes,
    });
    Snapshot {
        front: front.host().to_string(),
        seconds_in_service: now - front.started(),
        ending: front.is_ending(),
        level,
        in_hand: front.in_hand(),
        standing: front.standing(),
        attaches_held,
        legs_held,
        datagrams_dropped: host.datagrams_dropped,
        lag_p50_ms: quantile(0.5),
        lag_p99_ms: quantile(0.99),
        counters: front.counters(),
    }
}
