//! Hosts the instances: turns a batch's records into calls on the module and its decisions into records.

use crate::codec::{Batch, Fields, Reply, ENTRY};
use shalespindle_control::control::Control;
use shalespindle_control::interface::{Decision, EndReason, NewAttach, PoolEntry, Report};
use shalespindle_startup::{decode, ReportLayout, Startup};
use std::collections::BTreeMap;

struct Instance {
    control: Control,
    report_layout: ReportLayout,
    /// Whether an event in this batch was addressed to it, so that it may act.
    called: bool,
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
            let done = self.take(batch, event, &mut target);
            done.map_err(|e| format!("batch at {} s, record {number}: {e}", batch.clock))?;
        }
        for (number, instance) in self.instances.iter_mut().filter(|(_, i)| i.called) {
            instance.called = false;
            let mut named = false;
            while let Some(decision) = instance.control.next_decision(batch.clock) {
                if !named {
                    reply.push(70, &[&number.to_be_bytes()]);
                    named = true;
                }
                encode(decision, reply);
            }
        }
        Ok(())
    }

    fn take(&mut self, batch: &Batch, event: Fields, target: &mut Option<u32>) -> Result<(), String> {
        let now = batch.clock;
        match event.u8(0) {
            120 => {
                *target = Some(event.u32(1));
                return Ok(());
            }
            110 => {
                let rows = batch.tail(event, 5, ENTRY)?;
                self.lists.insert(event.u32(1), rows.chunks_exact(ENTRY).map(|r| entry(Fields(r))).collect());
                return Ok(());
            }
            _ => {}
        }
        let number = target.ok_or_else(|| format!("event {} comes before any target", event.u8(0)))?;
        if event.u8(0) == 10 {
            let Startup { deployment, report_layout, .. } = decode(batch.tail(event, 9, 1)?)?;
            let control = Control::new(event.u64(1), deployment, now);
            self.instances.insert(number, Instance { control, report_layout, called: true });
            return Ok(());
        }
        if event.u8(0) == 100 {
            self.instances.remove(&number);
            return Ok(());
        }
        let unknown = || format!("event {} for instance {number}, which does not run", event.u8(0));
        let instance = self.instances.get_mut(&number).ok_or_else(unknown)?;
        instance.called = true;
        let (control, layout) = (&mut instance.control, instance.report_layout);
        match event.u8(0) {
            20 => match event.u8(1) {
                3 => {}
                how @ 0..=2 => {
                    let list = event.u32(10);
                    let rows =
                        self.lists.get(&list).ok_or_else(|| format!("list {list} is not registered"))?;
                    control.pools_listed(now, rows, how != 0);
                }
                other => return Err(format!("announce of unknown kind {other}")),
            },
            30 => control.attach_arrived(
                now,
                NewAttach {
                    ue: event.u32(1),
                    procedure: usize::from(event.u16(5)),
                    first_choice: event.f32(35) as u16,
                    called_number: event.u64(11),
                    gives_up_at: event.f64(19),
                },
            ),
            40 => control.attach_established(now, event.u32(1), event.server(13), event.f64(5)),
            50 => {
                let ended = ended(event.u16(14), event.u32(24), layout)?;
                let report = report(event, 28, layout);
                control.try_ended(now, event.u32(1), event.server(8), ended, event.u8(5) != 0, report);
            }
            60 => control.client_left(now, event.u32(1)),
            70 => control.wake(now),
            80 => {
                // Unasked news of free lines is an answer that took no time at all.
                let probed = event.f64(9) > 0.0 && event.u16(7) == 100;
                let report = report(event, 17, layout);
                control.pool_reported(now, event.server(1), probed, report);
            }
            90 => {}
            other => return Err(format!("unknown event code {other}")),
        }
        Ok(())
    }
}

fn entry(row: Fields) -> PoolEntry {
    PoolEntry { id: row.server(18), number: row.u16(0), started: row.f64(10), ready: row.u8(24) == 1 }
}

fn report(event: Fields, at: usize, layout: ReportLayout) -> Report {
    let count = usize::from(event.u8(at));
    let value = |place: Option<usize>| {
        let found = place.filter(|&p| p < count.min(4)).map(|p| event.f32(at + 1 + 4 * p));
        found.filter(|&v| v >= 0.0)
    };
    Report {
        free_agents: value(layout.free_agents_index),
        agents: value(layout.agents_index),
        wait: value(layout.wait_index).map(|ms| ms / 1000.0),
    }
}

fn ended(disposition: u16, why: u32, layout: ReportLayout) -> Result<EndReason, String> {
    let wait = (layout.throttled_includes_wait && why % 16 == 3).then(|| f64::from(why / 16) / 1000.0);
    Ok(match disposition {
        100 => EndReason::Released,
        301 => EndReason::Rejected,
        302 if why % 16 == 1 => EndReason::NoAgent,
        302 => EndReason::Throttled { wait },
        303 => EndReason::TimedOut,
        304 | 307 => EndReason::Unreached,
        305 => EndReason::Cut,
        306 => EndReason::Cancelled,
        other => return Err(format!("resolved with unknown disposition {other}")),
    })
}

fn encode(decision: Decision, reply: &mut Reply) {
    let server = |name: u64| -> [u8; 6] {
        let bytes = name.to_be_bytes();
        [bytes[2], bytes[3], bytes[4], bytes[5], bytes[6], bytes[7]]
    };
    match decision {
        Decision::SetUp { ue, pool, timeout } => {
            reply.push(20, &[&ue.to_be_bytes(), &server(pool), &timeout.to_be_bytes()])
        }
        Decision::Cancel { ue, setup_try } => {
            reply.push(80, &[&ue.to_be_bytes(), &(setup_try as u16).to_be_bytes()])
        }
        Decision::Refuse { ue, pause } => reply.push(40, &[&ue.to_be_bytes(), &pause.to_be_bytes()]),
        Decision::Abort { ue } => reply.push(10, &[&ue.to_be_bytes()]),
        Decision::Probe { pool } => reply.push(100, &[&server(pool)]),
        Decision::Wake { after } => reply.push(60, &[&after.to_be_bytes(), &0u64.to_be_bytes()]),
    }
}
