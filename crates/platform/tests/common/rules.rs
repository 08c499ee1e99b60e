//! The five rules over what passed on the wires, and nothing else.

use std::collections::BTreeMap;

/// What passed, as an onlooker between the front and its peers sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Seen {
    /// A set-up came whole from a caller who waits until then.
    Asked { id: u64, until: f64 },
    /// Its caller left: cancelled, or closed its connection.
    Left { id: u64 },
    /// A final answer to it was written.
    Final { id: u64 },
    /// A setup try was written to a server.
    Tried { id: u64, server: u64 },
    /// A try ended; `unsure` after a time-out, a reset or a cancel.
    Over { id: u64, unsure: bool },
    /// The front was told that a server drains or is gone.
    Out { server: u64 },
    /// A server began cold; so many set-ups in a second push it over.
    Cold { server: u64, most: f64 },
}

pub const SLACK: f64 = 0.07;
pub const GRACE: f64 = 0.25;
pub const GUARD: f64 = 0.5;
const WINDOW: f64 = 1.0;

#[derive(Default)]
struct Call {
    until: f64,
    finals: u32,
    left: bool,
    out: bool,
    free_at: f64,
}

/// The first breach: the rule's number and what happened.
pub fn broken(seen: &[(f64, Seen)], end: f64) -> Option<(u8, String)> {
    let mut calls: BTreeMap<u64, Call> = BTreeMap::new();
    let mut out_at: BTreeMap<u64, f64> = BTreeMap::new();
    let mut cold: BTreeMap<u64, (f64, Vec<f64>)> = BTreeMap::new();
    for &(at, what) in seen {
        match what {
            Seen::Asked { id, until } => {
                calls.insert(id, Call { until, ..Call::default() });
            }
            Seen::Left { id } => calls.entry(id).or_default().left = true,
            Seen::Final { id } => {
                let call = calls.entry(id).or_default();
                call.finals += 1;
                if call.finals > 1 || call.left || call.until + SLACK < at {
                    return Some((
                        1,
                        format!("{id:x} at {at}: {} finals, until {}", call.finals, call.until),
                    ));
                }
            }
            Seen::Tried { id, server } => {
                let call = calls.entry(id).or_default();
                if call.finals > 0 || call.left {
                    return Some((1, format!("{id:x} tried at {at} though it is over")));
                }
                if std::mem::replace(&mut call.out, true) {
                    return Some((2, format!("{id:x} at {at}: two tries out")));
                }
                if out_at.get(&server).is_some_and(|told| at > told + GRACE) {
                    return Some((3, format!("{id:x} at {at} to {server}, told at {}", out_at[&server])));
                }
                if at < call.free_at {
                    return Some((5, format!("{id:x} at {at}, free at {}", call.free_at)));
                }
                if let Some((most, times)) = cold.get_mut(&server) {
                    times.push(at);
                    let within = times.iter().filter(|t| **t > at - WINDOW).count() as f64;
                    if within > *most {
                        return Some((
                            4,
                            format!("{within} to {server} within a second at {at}, {most} allowed"),
                        ));
                    }
                }
            }
            Seen::Over { id, unsure } => {
                let call = calls.entry(id).or_default();
                call.out = false;
                if unsure {
                    call.free_at = at + GUARD;
                }
            }
            Seen::Out { server } => {
                out_at.entry(server).or_insert(at);
            }
            Seen::Cold { server, most } => {
                cold.insert(server, (most, Vec::new()));
            }
        }
    }
    let owed = calls.iter().find(|(_, c)| c.finals == 0 && !c.left && c.until + SLACK < end);
    owed.map(|(id, c)| (1, format!("{id:x} never answered, until {}", c.until)))
}
