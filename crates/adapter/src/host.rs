//! Hosts instances of the decision module: turns the event records of a batch into calls of the module and
//! its decisions into action records.

use crate::codec::{Batch, Fields, Reply, POOL_ENTRY_SIZE};
use shalespindle_control::control::Control;
use shalespindle_control::interface::{Decision, EndReason, NewAttach, PoolEntry, Report};
use shalespindle_startup::{decode, ReportLayout, Startup};
use std::collections::BTreeMap;

/// Codes of the event records.
mod event_code {
    pub const BOOT: u8 = 10;
    pub const ANNOUNCE: u8 = 20;
    pub const ARRIVED: u8 = 30;
    pub const ESTABLISHED: u8 = 40;
    pub const RESOLVED: u8 = 50;
    pub const CLIENT_LEFT: u8 = 60;
    pub const WAKE: u8 = 70;
    pub const POOL_REPORT: u8 = 80;
    /// Accepted and ignored.
    pub const IGNORED: u8 = 90;
    pub const KILL: u8 = 100;
    pub const REGISTER_LIST: u8 = 110;
    pub const TARGET: u8 = 120;
}

/// Codes of the action records.
pub mod action_code {
    pub const ABORT: u8 = 10;
    pub const SET_UP: u8 = 20;
    pub const REFUSE: u8 = 40;
    pub const ERROR: u8 = 50;
    pub const WAKE: u8 = 60;
    pub const TARGET: u8 = 70;
    pub const CANCEL: u8 = 80;
    pub const PROBE: u8 = 100;
}

/// One running instance of the decision module.
struct Instance {
    control: Control,
    report_layout: ReportLayout,
    /// Whether an event of this batch was addressed to the instance; only then its decisions are pulled.
    addressed: bool,
}

/// All instances of this process.
#[derive(Default)]
pub struct Host {
    /// By the number under which the bench addresses them.
    instances: BTreeMap<u32, Instance>,
    /// Registered pool lists by number. A number refers to the list registered last before the event that
    /// uses it.
    lists: BTreeMap<u32, Vec<PoolEntry>>,
}

impl Host {
    /// Applies a whole batch, then pulls the decisions of each instance that an event was addressed to. All
    /// events of a batch have the same clock, so no decision has to be made between two of them. A `kill`
    /// event drops an instance with its state before a later `boot` of the same number is applied.
    pub fn answer(&mut self, batch: &Batch, reply: &mut Reply) -> Result<(), String> {
        reply.clear();
        let mut target = None;
        for number in 0..batch.records {
            let event = batch.record(number);
            let applied = self.apply(batch, event, &mut target);
            applied.map_err(|e| format!("batch at {} s, record {number}: {e}", batch.clock))?;
        }
        for (number, instance) in self.instances.iter_mut().filter(|(_, i)| i.addressed) {
            instance.addressed = false;
            let mut is_target_written = false;
            while let Some(decision) = instance.control.next_decision(batch.clock) {
                if !is_target_written {
                    reply.push(action_code::TARGET, &[&number.to_be_bytes()]);
                    is_target_written = true;
                }
                encode(decision, reply);
            }
        }
        Ok(())
    }

    /// Applies one event; `target` is the instance that it is addressed to, as set by an earlier event.
    fn apply(&mut self, batch: &Batch, event: Fields, target: &mut Option<u32>) -> Result<(), String> {
        let now = batch.clock;
        match event.u8(0) {
            event_code::TARGET => {
                *target = Some(event.u32(1));
                return Ok(());
            }
            event_code::REGISTER_LIST => {
                let rows = batch.tail(event, 5, POOL_ENTRY_SIZE)?;
                self.lists.insert(
                    event.u32(1),
                    rows.chunks_exact(POOL_ENTRY_SIZE).map(|r| pool_entry(Fields(r))).collect(),
                );
                return Ok(());
            }
            _ => {}
        }
        let number = target.ok_or_else(|| format!("event {} comes before the first target", event.u8(0)))?;
        if event.u8(0) == event_code::BOOT {
            let Startup { deployment, report_layout, .. } = decode(batch.tail(event, 9, 1)?)?;
            let control = Control::new(event.u64(1), deployment, now);
            self.instances.insert(number, Instance { control, report_layout, addressed: true });
            return Ok(());
        }
        if event.u8(0) == event_code::KILL {
            self.instances.remove(&number);
            return Ok(());
        }
        let unknown = || format!("event {} for instance {number}, which is not running", event.u8(0));
        let instance = self.instances.get_mut(&number).ok_or_else(unknown)?;
        instance.addressed = true;
        let (control, layout) = (&mut instance.control, instance.report_layout);
        match event.u8(0) {
            event_code::ANNOUNCE => match event.u8(1) {
                3 => {}
                how @ 0..=2 => {
                    let list = event.u32(10);
                    let rows =
                        self.lists.get(&list).ok_or_else(|| format!("list {list} is not registered"))?;
                    control.pools_listed(now, rows, how != 0);
                }
                other => return Err(format!("announce event of unknown kind {other}")),
            },
            event_code::ARRIVED => control.attach_arrived(
                now,
                NewAttach {
                    ue: event.u32(1),
                    procedure: usize::from(event.u16(5)),
                    first_choice: event.f32(35) as u16,
                    called_number: event.u64(11),
                    gives_up_at: event.f64(19),
                },
            ),
            event_code::ESTABLISHED => {
                control.attach_established(now, event.u32(1), event.server(13), event.f64(5))
            }
            event_code::RESOLVED => {
                let reason = end_reason(event.u16(14), event.u32(24), layout)?;
                let report = report(event, 28, layout);
                control.try_ended(now, event.u32(1), event.server(8), reason, event.u8(5) != 0, report);
            }
            event_code::CLIENT_LEFT => control.client_left(now, event.u32(1)),
            event_code::WAKE => control.wake(now),
            event_code::POOL_REPORT => {
                // A report of free lines that no probe asked for comes as an answer that took no time.
                let probed = event.f64(9) > 0.0 && event.u16(7) == 100;
                let report = report(event, 17, layout);
                control.pool_reported(now, event.server(1), probed, report);
            }
            event_code::IGNORED => {}
            other => return Err(format!("unknown event code {other}")),
        }
        Ok(())
    }
}

/// Decodes one row of a pool list.
fn pool_entry(row: Fields) -> PoolEntry {
    PoolEntry { id: row.server(18), number: row.u16(0), started: row.f64(10), ready: row.u8(24) == 1 }
}

/// Decodes the statistics at byte `offset` of an event: a count and up to four numbers. A negative number
/// means that the value is absent.
fn report(event: Fields, offset: usize, layout: ReportLayout) -> Report {
    let count = usize::from(event.u8(offset));
    let value = |index: Option<usize>| {
        let found = index.filter(|&i| i < count.min(4)).map(|i| event.f32(offset + 1 + 4 * i));
        found.filter(|&v| v >= 0.0)
    };
    Report {
        free_agents: value(layout.free_agents_index),
        agents: value(layout.agents_index),
        wait: value(layout.wait_index).map(|ms| ms / 1000.0),
    }
}

/// Decodes how a setup try or an established attach ended. The low four bits of `cause` tell why a processor
/// was too busy: 1 means no free agent, 3 means that the remaining bits hold the wait in milliseconds.
fn end_reason(disposition: u16, cause: u32, layout: ReportLayout) -> Result<EndReason, String> {
    let wait = (layout.throttled_includes_wait && cause % 16 == 3).then(|| f64::from(cause / 16) / 1000.0);
    Ok(match disposition {
        100 => EndReason::Released,
        301 => EndReason::Rejected,
        302 if cause % 16 == 1 => EndReason::NoAgent,
        302 => EndReason::Throttled { wait },
        303 => EndReason::TimedOut,
        304 | 307 => EndReason::Unreached,
        305 => EndReason::Cut,
        306 => EndReason::Cancelled,
        other => return Err(format!("resolved event with unknown disposition {other}")),
    })
}

/// Appends a decision to the reply as an action record.
fn encode(decision: Decision, reply: &mut Reply) {
    let server = |id: u64| -> [u8; 6] {
        let bytes = id.to_be_bytes();
        [bytes[2], bytes[3], bytes[4], bytes[5], bytes[6], bytes[7]]
    };
    match decision {
        Decision::SetUp { ue, pool, timeout } => {
            reply.push(action_code::SET_UP, &[&ue.to_be_bytes(), &server(pool), &timeout.to_be_bytes()])
        }
        Decision::Cancel { ue, setup_try } => {
            reply.push(action_code::CANCEL, &[&ue.to_be_bytes(), &(setup_try as u16).to_be_bytes()])
        }
        Decision::Refuse { ue, pause } => {
            reply.push(action_code::REFUSE, &[&ue.to_be_bytes(), &pause.to_be_bytes()])
        }
        Decision::Abort { ue } => reply.push(action_code::ABORT, &[&ue.to_be_bytes()]),
        Decision::Probe { pool } => reply.push(action_code::PROBE, &[&server(pool)]),
        Decision::Wake { after } => {
            reply.push(action_code::WAKE, &[&after.to_be_bytes(), &0u64.to_be_bytes()])
        }
    }
}
