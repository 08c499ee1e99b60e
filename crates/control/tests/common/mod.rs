//! One front in a made-up world that checks the five rules after every step.

use shalespindle_control::control::Control;
use shalespindle_control::interface::*;
use std::collections::BTreeMap;

pub const GUARD: f64 = 0.5;
const SLACK: f64 = 0.02;
const MULTIPLE: f64 = 2.0;
const WINDOW: f64 = 1.0;
pub const PATIENCE: f64 = 3.0;

pub fn deployment() -> Deployment {
    let procedure = |utility| Procedure {
        latency_target: 2.0,
        utility,
        late_share: 0.25,
        t_timer: 9.0,
        pools: vec![0, 1, 2],
    };
    Deployment {
        procedures: vec![procedure(1.0), procedure(2.0)],
        may_probe: true,
        may_cancel: true,
        max_tries: 4,
        release_guard: GUARD,
        max_pause: 2.0,
        cold: ColdStart {
            start_capacity: 0.3,
            warm_after: 15.0,
            overload_multiple: MULTIPLE,
            overload_window: 1.0,
        },
    }
}

pub fn entry(name: PoolId, started: f64, ready: bool) -> PoolEntry {
    PoolEntry { id: name, number: name as u16, started, ready }
}

#[derive(Clone, Copy, Debug)]
pub struct Try {
    pub pool: PoolId,
    pub sent: f64,
    pub ends: f64,
}

#[derive(Clone, Copy, Debug)]
struct Open {
    gives_up_at: f64,
    released_at: f64,
    out: Option<Try>,
}

pub struct World {
    pub control: Control,
    pub now: f64,
    pub decisions: Vec<Decision>,
    pub broken: Option<String>,
    pub started: f64,
    open: BTreeMap<UeId, Open>,
    ready: BTreeMap<PoolId, PoolEntry>,
    sent: BTreeMap<PoolId, Vec<f64>>,
    wakes: Vec<f64>,
    next_ue: UeId,
    arrivals: u32,
}

impl World {
    pub fn new(seed: u64, deployment: Deployment) -> World {
        let now = 1000.0;
        let mut world = World {
            control: Control::new(seed, deployment, now),
            now,
            decisions: Vec::new(),
            broken: None,
            started: now,
            open: BTreeMap::new(),
            ready: BTreeMap::new(),
            sent: BTreeMap::new(),
            wakes: Vec::new(),
            next_ue: 0,
            arrivals: 0,
        };
        world.list(&[entry(0, 0.0, true), entry(1, 0.0, true), entry(2, 0.0, true)], true);
        world
    }

    pub fn list(&mut self, entries: &[PoolEntry], whole: bool) {
        if whole {
            self.ready.clear();
        }
        for e in entries {
            if e.ready {
                self.ready.insert(e.id, *e);
            } else {
                self.ready.remove(&e.id);
            }
        }
        self.control.pools_listed(self.now, entries, whole);
        self.pull();
    }

    pub fn told(&mut self, pool: PoolId, probed: bool, report: Report) {
        self.control.pool_reported(self.now, pool, probed, report);
    }

    pub fn arrive(&mut self, procedure: usize, first_choice: u16, patience: f64) -> UeId {
        let ue = self.next_ue;
        self.next_ue += 1;
        self.arrivals += 1;
        let gives_up_at = self.now + patience;
        self.open.insert(ue, Open { gives_up_at, released_at: 0.0, out: None });
        self.control.attach_arrived(
            self.now,
            NewAttach { ue, procedure, first_choice, called_number: 0, gives_up_at },
        );
        self.pull();
        ue
    }

    pub fn out(&self) -> Vec<(UeId, Try)> {
        self.open.iter().filter_map(|(ue, o)| o.out.map(|t| (*ue, t))).collect()
    }

    pub fn stands(&mut self, ue: UeId) {
        let Some(Open { out: Some(sent), .. }) = self.open.remove(&ue) else {
            return;
        };
        self.control.attach_established(self.now, ue, sent.pool, self.now - sent.sent);
        self.pull();
    }

    pub fn ends(&mut self, ue: UeId, ended: EndReason, report: Report) {
        let Some(open) = self.open.get_mut(&ue) else {
            return;
        };
        let Some(sent) = open.out.take() else { return };
        if matches!(ended, EndReason::TimedOut | EndReason::Cut | EndReason::Cancelled) {
            open.released_at = self.now + GUARD;
        }
        self.control.try_ended(self.now, ue, sent.pool, ended, false, report);
        self.pull();
    }

    pub fn leave(&mut self, ue: UeId) {
        self.open.remove(&ue);
        self.control.client_left(self.now, ue);
        self.pull();
    }

    /// Moves the clock on; time-outs and wake-ups come when they are due.
    pub fn pass(&mut self, seconds: f64) {
        let until = self.now + seconds;
        loop {
            let ends = self.out().iter().map(|(_, t)| t.ends).fold(f64::INFINITY, f64::min);
            let wake = self.wakes.iter().copied().fold(f64::INFINITY, f64::min);
            let next = ends.min(wake);
            if next > until {
                break;
            }
            self.now = next.max(self.now);
            let due: Vec<UeId> = self.out().iter().filter(|(_, t)| t.ends <= next).map(|o| o.0).collect();
            for ue in due {
                self.ends(ue, EndReason::TimedOut, Report::default());
            }
            if wake <= next {
                self.wakes.retain(|&w| w > next);
                self.control.wake(self.now);
                self.pull();
            }
        }
        self.now = until;
        self.check_answers();
    }

    pub fn pull(&mut self) {
        while let Some(decision) = self.control.next_decision(self.now) {
            self.decisions.push(decision);
            match decision {
                Decision::SetUp { ue, pool, timeout } => self.check_set_up(ue, pool, timeout),
                Decision::Refuse { ue, .. } | Decision::Abort { ue } => self.check_final(ue),
                Decision::Cancel { ue, .. } => self.ends(ue, EndReason::Cancelled, Report::default()),
                Decision::Probe { .. } => {}
                Decision::Wake { after } => self.wakes.push(self.now + after),
            }
        }
        self.check_answers();
    }

    fn fault(&mut self, rule: u32, what: String) {
        self.broken.get_or_insert(format!("rule {rule} at {}: {what}", self.now));
    }

    fn check_final(&mut self, ue: UeId) {
        match self.open.remove(&ue) {
            None => self.fault(1, format!("a second answer for {ue}")),
            Some(Open { out: Some(t), .. }) => self.fault(1, format!("{ue} answered with {t:?} out")),
            Some(_) => {}
        }
    }

    fn check_answers(&mut self) {
        let overdue = self.open.iter().find(|(_, o)| o.out.is_none() && self.now > o.gives_up_at + SLACK);
        if let Some((ue, _)) = overdue {
            self.fault(1, format!("{ue} has no answer"));
        }
    }

    fn check_set_up(&mut self, ue: UeId, pool: PoolId, timeout: f64) {
        let now = self.now;
        let Some(open) = self.open.get(&ue).copied() else {
            return self.fault(1, format!("{ue} is sent after its end"));
        };
        if now + timeout > open.gives_up_at + SLACK {
            self.fault(1, format!("{ue} is sent past its end"));
        }
        if open.out.is_some() {
            self.fault(2, format!("{ue} has two setup tries out"));
        }
        if now < open.released_at {
            self.fault(5, format!("{ue} is sent again inside the guard"));
        }
        let Some(listed) = self.ready.get(&pool).copied() else {
            return self.fault(3, format!("{ue} is sent to {pool}, which is not ready"));
        };
        let sent = self.sent.entry(pool).or_default();
        sent.push(now);
        let cold = deployment().cold;
        let age = (now - listed.started) / cold.warm_after;
        if age < 1.0 {
            // Load 1: each pool, warm, can just do its part of all arrivals.
            let rate = f64::from(self.arrivals) / (now - self.started).max(1.0);
            let capacity = rate / self.ready.len() as f64;
            let present = capacity * (cold.start_capacity + (1.0 - cold.start_capacity) * age);
            let window = sent.iter().filter(|&&s| s > now - WINDOW && s >= listed.started).count() as f64;
            // Room for one set-up saved up and for one begun by chance.
            if window > MULTIPLE * present * WINDOW + 2.0 {
                self.fault(4, format!("{window} set-ups to cold {pool}, which can do {present}"));
            }
        }
        self.open.get_mut(&ue).unwrap().out = Some(Try { pool, sent: now, ends: now + timeout });
    }
}
