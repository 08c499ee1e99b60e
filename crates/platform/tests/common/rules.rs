//! Checks the platform's five rules on recorded wire events alone: 1, each set-up gets exactly one final
//! answer in time; 2, one setup try at a time; 3, no try to a server that drains or was removed; 4, no
//! overload of a cold server; 5, no retry within the guard after an uncertain end.

use std::collections::BTreeMap;

/// An event as observed on the wire between the front and its peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WireEvent {
    /// A complete set-up arrived from a caller who waits until the given time.
    SetUpReceived { id: u64, patience_ends_at: f64 },
    /// The caller cancelled, or closed its connection.
    CallerLeft { id: u64 },
    /// A final answer to the set-up was written.
    FinalAnswer { id: u64 },
    /// A setup try was written to a server.
    TrySent { id: u64, server: u64 },
    /// A setup try ended; `uncertain` after a time-out, a reset or a cancel.
    TryEnded { id: u64, uncertain: bool },
    /// The front was informed that a server drains or was removed.
    OutOfService { server: u64 },
    /// A server started cold; more than this many set-ups in one second overload it.
    ColdStart { server: u64, max_per_second: f64 },
}

/// Time by which a final answer may exceed the caller's patience, seconds.
pub const SLACK: f64 = 0.07;
/// Time in which a try may still go to a server after it went out of service, seconds.
pub const GRACE: f64 = 0.25;
/// Pause before another try after an uncertain end, seconds.
pub const GUARD: f64 = 0.5;
/// Time over which set-ups to a cold server are counted, seconds.
const WINDOW: f64 = 1.0;

#[derive(Default)]
struct Call {
    patience_ends_at: f64,
    final_answers: u32,
    left: bool,
    try_out: bool,
    retry_allowed_at: f64,
}

/// Returns the first violation: the number of the rule and a description.
pub fn first_violation(observed: &[(f64, WireEvent)], end: f64) -> Option<(u8, String)> {
    let mut calls: BTreeMap<u64, Call> = BTreeMap::new();
    let mut out_of_service_since: BTreeMap<u64, f64> = BTreeMap::new();
    let mut cold: BTreeMap<u64, (f64, Vec<f64>)> = BTreeMap::new();
    for &(at, what) in observed {
        match what {
            WireEvent::SetUpReceived { id, patience_ends_at } => {
                calls.insert(id, Call { patience_ends_at, ..Call::default() });
            }
            WireEvent::CallerLeft { id } => calls.entry(id).or_default().left = true,
            WireEvent::FinalAnswer { id } => {
                let call = calls.entry(id).or_default();
                call.final_answers += 1;
                if call.final_answers > 1 || call.left || call.patience_ends_at + SLACK < at {
                    return Some((
                        1,
                        format!(
                            "{id:x} at {at}: {} final answers, until {}",
                            call.final_answers, call.patience_ends_at
                        ),
                    ));
                }
            }
            WireEvent::TrySent { id, server } => {
                let call = calls.entry(id).or_default();
                if call.final_answers > 0 || call.left {
                    return Some((1, format!("{id:x} tried at {at} though it has ended")));
                }
                if std::mem::replace(&mut call.try_out, true) {
                    return Some((2, format!("{id:x} at {at}: two tries out")));
                }
                if out_of_service_since.get(&server).is_some_and(|since| at > since + GRACE) {
                    return Some((
                        3,
                        format!(
                            "{id:x} at {at} to {server}, out of service since {}",
                            out_of_service_since[&server]
                        ),
                    ));
                }
                if at < call.retry_allowed_at {
                    return Some((5, format!("{id:x} at {at}, allowed from {}", call.retry_allowed_at)));
                }
                if let Some((max_per_second, times)) = cold.get_mut(&server) {
                    times.push(at);
                    let within = times.iter().filter(|t| **t > at - WINDOW).count() as f64;
                    if within > *max_per_second {
                        return Some((
                            4,
                            format!("{within} to {server} within a second at {at}, {max_per_second} allowed"),
                        ));
                    }
                }
            }
            WireEvent::TryEnded { id, uncertain } => {
                let call = calls.entry(id).or_default();
                call.try_out = false;
                if uncertain {
                    call.retry_allowed_at = at + GUARD;
                }
            }
            WireEvent::OutOfService { server } => {
                out_of_service_since.entry(server).or_insert(at);
            }
            WireEvent::ColdStart { server, max_per_second } => {
                cold.insert(server, (max_per_second, Vec::new()));
            }
        }
    }
    let owed =
        calls.iter().find(|(_, c)| c.final_answers == 0 && !c.left && c.patience_ends_at + SLACK < end);
    owed.map(|(id, c)| (1, format!("{id:x} never answered, until {}", c.patience_ends_at)))
}
