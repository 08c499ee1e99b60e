//! Hosts the instances: turns a batch's records into calls on the module and its decisions into records.

use crate::codec::{Batch, Fields, Reply, POOL_ENTRY_SIZE};
use shalespindle_control::control::Control;
use shalespindle_control::interface::{Decision, EndReason, NewAttach, PoolEntry, Report};
use shalespindle_startup::{decode, ReportLayout, Startup};
use std::collections::BTreeMap;

mod event_code {
    pub const BOOT: u8 = 10;
    pub const ANNOUNCE: u8 = 20;
    pub const ARRIVED: u8 = 30;
    pub const ESTABLISHED: u8 = 40;
    pub const RESOLVED: u8 = 50;
    pub const CLIENT_LEFT: u8 = 60;
    pub const WAKE: u8 = 70;
    pub const POOL_REPORT: u8 = 80;
    pub const IGNORED: u8 = 90;
    pub const KILL: u8 = 100;
    pub const REGISTER_LIST: u8 = 110;
    pub const TARGET: u8 = 120;
}

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

struct Instance {
    control: Control,
    report_layout: ReportLayout,
    /// Whether an event in this batch was addressed to it, so that it may act.
    addressed: bool,
}

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    /// The numbered lists of this process; a number is resolved in the order of events.
    lists: BTreeMap<u32, Vec<PoolEntry>>,
}

impl Host {
    /// Takes in a whole batch, then pulls each called instance's decisions. All of an instance's events
    /// carry the same clock, so none of its decisions has to come between two of them; a `kill` drops
    /// what it held before the next `boot` is read.
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
                // Unasked news of free lines is an answer that took no time at all.
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

fn pool_entry(row: Fields) -> PoolEntry {
    PoolEntry { id: row.server(18), number: row.u16(0), started: row.f64(10), ready: row.u8(24) == 1 }
}

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
