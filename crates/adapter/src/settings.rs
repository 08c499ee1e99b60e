//! The settings text of `boot`, decoded once into what the module needs.

use serde::Deserialize;
use shalespindle_control::interface::{ColdStart, Deployment, Procedure};

#[derive(Deserialize)]
struct Text {
    classes: Vec<Class>,
    domain: Domain,
    limits: Limits,
    safety: Safety,
    stats: Stats,
}

#[derive(Deserialize)]
struct Class {
    aim_s: f64,
    deadline_s: f64,
    late_share: f64,
    worth: f64,
}

#[derive(Deserialize)]
struct Domain {
    class_cells: Vec<Vec<u16>>,
    guard_s: f64,
    tells_wait: bool,
}

#[derive(Deserialize)]
struct Limits {
    cancelling: bool,
    max_attempts: u32,
    max_retry_after_s: f64,
    probes: bool,
    retry_after: bool,
}

#[derive(Deserialize)]
struct Safety {
    start_capacity: f64,
    warm_after_s: f64,
    tip_multiple: f64,
}

#[derive(Deserialize)]
struct Stats {
    fields: Vec<String>,
}

/// Where the wire puts what the module is told; needed to decode later events.
#[derive(Clone, Copy, Default)]
pub struct Reading {
    pub free_at: Option<usize>,
    pub agents_at: Option<usize>,
    pub wait_at: Option<usize>,
    pub tells_wait: bool,
}

pub fn decode(text: &[u8]) -> Result<(Deployment, Reading), String> {
    let text: Text = serde_json::from_slice(text).map_err(|e| format!("boot: settings: {e}"))?;
    let fields = &text.stats.fields;
    let reading = Reading {
        free_at: fields.iter().position(|f| f == "free"),
        agents_at: fields.iter().position(|f| f == "size"),
        wait_at: fields.iter().position(|f| f == "latency_ms"),
        tells_wait: text.domain.tells_wait,
    };
    let mut cells = text.domain.class_cells.into_iter();
    let procedures = text.classes.iter().map(|c| Procedure {
        latency_target: c.aim_s,
        utility: c.worth,
        late_share: c.late_share,
        t_timer: c.deadline_s,
        pools: cells.next().unwrap_or_default(),
    });
    let deployment = Deployment {
        procedures: procedures.collect(),
        may_cancel: text.limits.cancelling,
        may_probe: text.limits.probes,
        max_tries: text.limits.max_attempts,
        release_guard: text.domain.guard_s,
        longest_pause: if text.limits.retry_after { text.limits.max_retry_after_s } else { 0.0 },
        cold: ColdStart {
            start_capacity: text.safety.start_capacity,
            warm_after: text.safety.warm_after_s,
            tip_multiple: text.safety.tip_multiple,
        },
    };
    Ok((deployment, reading))
}
