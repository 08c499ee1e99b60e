//! A simulated environment of one front, which checks the five rules after every step:
//!
//! 1. Each attach gets exactly one final answer, by the time its caller gives up; nothing is sent later.
//! 2. An attach has at most one setup try in progress.
//! 3. Set-ups go only to pools in service.
//! 4. A cold pool does not get more than the overload multiple of its present capacity.
//! 5. After a setup try without an answer, none is sent before the release guard ends.

use shalespindle_control::control::Control;
use shalespindle_control::interface::*;
use std::collections::BTreeMap;

pub const RELEASE_GUARD: f64 = 0.5;
/// Tolerance for timers, seconds.
const TIME_TOLERANCE: f64 = 0.02;
const OVERLOAD_MULTIPLE: f64 = 2.0;
const OVERLOAD_WINDOW: f64 = 1.0;
/// Seconds that a caller usually waits.
pub const PATIENCE: f64 = 3.0;

/// Two procedures of different utility and three pools.
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
        release_guard: RELEASE_GUARD,
        max_pause: 2.0,
        cold: ColdStart {
            start_capacity: 0.3,
            warm_after: 15.0,
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_window: 1.0,
        },
    }
}

pub fn entry(id: PoolId, started: f64, ready: bool) -> PoolEntry {
    PoolEntry { id, number: id as u16, started, ready }
}

/// A setup try in progress.
#[derive(Clone, Copy, Debug)]
pub struct SetupTry {
    pub pool: PoolId,
    pub sent_at: f64,
    pub times_out_at: f64,
}

/// An attach without a final answer.
#[derive(Clone, Copy, Debug)]
struct OpenAttach {
    gives_up_at: f64,
    guard_ends_at: f64,
    setup_try: Option<SetupTry>,
}

/// The front with its callers and pools.
pub struct World {
    pub control: Control,
    pub now: f64,
    pub decisions: Vec<Decision>,
    /// The first violation of a rule.
    pub violation: Option<String>,
    pub started: f64,
    /// Attaches without a final answer.
    open: BTreeMap<UeId, OpenAttach>,
    /// Pools in service.
    ready: BTreeMap<PoolId, PoolEntry>,
    /// Send times of all set-ups.
    sent: BTreeMap<PoolId, Vec<f64>>,
    /// Times of the requested wake-ups.
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
            violation: None,
            started: now,
            open: BTreeMap::new(),
            ready: BTreeMap::new(),
            sent: BTreeMap::new(),
            wakes: Vec::new(),
            next_ue: 0,
            arrivals: 0,
        };
        world.update_list(&[entry(0, 0.0, true), entry(1, 0.0, true), entry(2, 0.0, true)], true);
        world
    }

    pub fn update_list(&mut self, entries: &[PoolEntry], complete: bool) {
        if complete {
            self.ready.clear();
        }
        for e in entries {
            if e.ready {
                self.ready.insert(e.id, *e);
            } else {
                self.ready.remove(&e.id);
            }
        }
        self.control.pools_listed(self.now, entries, complete);
        self.pull();
    }

    pub fn report(&mut self, pool: PoolId, probed: bool, report: Report) {
        self.control.pool_reported(self.now, pool, probed, report);
    }

    pub fn arrive(&mut self, procedure: usize, first_choice: u16, patience: f64) -> UeId {
        let ue = self.next_ue;
        self.next_ue += 1;
        self.arrivals += 1;
        let gives_up_at = self.now + patience;
        self.open.insert(ue, OpenAttach { gives_up_at, guard_ends_at: 0.0, setup_try: None });
        self.control.attach_arrived(
            self.now,
            NewAttach { ue, procedure, first_choice, called_number: 0, gives_up_at },
        );
        self.pull();
        ue
    }

    pub fn tries_in_progress(&self) -> Vec<(UeId, SetupTry)> {
        self.open.iter().filter_map(|(ue, o)| o.setup_try.map(|t| (*ue, t))).collect()
    }

    pub fn establish(&mut self, ue: UeId) {
        let Some(OpenAttach { setup_try: Some(setup_try), .. }) = self.open.remove(&ue) else {
            return;
        };
        self.control.attach_established(self.now, ue, setup_try.pool, self.now - setup_try.sent_at);
        self.pull();
    }

    pub fn end_try(&mut self, ue: UeId, reason: EndReason, report: Report) {
        let Some(open) = self.open.get_mut(&ue) else {
            return;
        };
        let Some(setup_try) = open.setup_try.take() else { return };
        if matches!(reason, EndReason::TimedOut | EndReason::Cut | EndReason::Cancelled) {
            open.guard_ends_at = self.now + RELEASE_GUARD;
        }
        self.control.try_ended(self.now, ue, setup_try.pool, reason, false, report);
        self.pull();
    }

    pub fn client_leaves(&mut self, ue: UeId) {
        self.open.remove(&ue);
        self.control.client_left(self.now, ue);
        self.pull();
    }

    /// Advances the clock; timeouts and wake-ups happen at their times.
    pub fn advance(&mut self, seconds: f64) {
        let until = self.now + seconds;
        loop {
            let times_out_at =
                self.tries_in_progress().iter().map(|(_, t)| t.times_out_at).fold(f64::INFINITY, f64::min);
            let wake = self.wakes.iter().copied().fold(f64::INFINITY, f64::min);
            let next = times_out_at.min(wake);
            if next > until {
                break;
            }
            self.now = next.max(self.now);
            let timed_out: Vec<UeId> = self
                .tries_in_progress()
                .iter()
                .filter(|(_, t)| t.times_out_at <= next)
                .map(|o| o.0)
                .collect();
            for ue in timed_out {
                self.end_try(ue, EndReason::TimedOut, Report::default());
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

    /// Carries out all decisions and checks them.
    pub fn pull(&mut self) {
        while let Some(decision) = self.control.next_decision(self.now) {
            self.decisions.push(decision);
            match decision {
                Decision::SetUp { ue, pool, timeout } => self.check_set_up(ue, pool, timeout),
                Decision::Refuse { ue, .. } | Decision::Abort { ue } => self.check_final(ue),
                Decision::Cancel { ue, .. } => self.end_try(ue, EndReason::Cancelled, Report::default()),
                Decision::Probe { .. } => {}
                Decision::Wake { after } => self.wakes.push(self.now + after),
            }
        }
        self.check_answers();
    }

    fn record_violation(&mut self, rule: u32, what: String) {
        self.violation.get_or_insert(format!("rule {rule} at {}: {what}", self.now));
    }

    fn check_final(&mut self, ue: UeId) {
        match self.open.remove(&ue) {
            None => self.record_violation(1, format!("second final answer for {ue}")),
            Some(OpenAttach { setup_try: Some(t), .. }) => {
                self.record_violation(1, format!("final answer for {ue} while {t:?} is in progress"))
            }
            Some(_) => {}
        }
    }

    fn check_answers(&mut self) {
        let overdue = self
            .open
            .iter()
            .find(|(_, o)| o.setup_try.is_none() && self.now > o.gives_up_at + TIME_TOLERANCE);
        if let Some((ue, _)) = overdue {
            self.record_violation(1, format!("no final answer for {ue}"));
        }
    }

    fn check_set_up(&mut self, ue: UeId, pool: PoolId, timeout: f64) {
        let now = self.now;
        let Some(open) = self.open.get(&ue).copied() else {
            return self.record_violation(1, format!("set-up of {ue} after its final answer"));
        };
        if now + timeout > open.gives_up_at + TIME_TOLERANCE {
            self.record_violation(1, format!("timeout of {ue} after its caller gives up"));
        }
        if open.setup_try.is_some() {
            self.record_violation(2, format!("two setup tries of {ue} in progress"));
        }
        if now < open.guard_ends_at {
            self.record_violation(5, format!("set-up of {ue} before the release guard ends"));
        }
        let Some(entry) = self.ready.get(&pool).copied() else {
            return self.record_violation(3, format!("set-up of {ue} to {pool}, which is not in service"));
        };
        let sent = self.sent.entry(pool).or_default();
        sent.push(now);
        let cold = deployment().cold;
        let age = (now - entry.started) / cold.warm_after;
        if age < 1.0 {
            // Load 1: the full capacity of a pool equals its even share of all arrivals.
            let rate = f64::from(self.arrivals) / (now - self.started).max(1.0);
            let capacity = rate / self.ready.len() as f64;
            let present_capacity = capacity * (cold.start_capacity + (1.0 - cold.start_capacity) * age);
            let recent =
                sent.iter().filter(|&&s| s > now - OVERLOAD_WINDOW && s >= entry.started).count() as f64;
            // Allows for one saved token and for the random initial level of the token bucket.
            if recent > OVERLOAD_MULTIPLE * present_capacity * OVERLOAD_WINDOW + 2.0 {
                self.record_violation(
                    4,
                    format!("{recent} set-ups to cold {pool}, capacity {present_capacity} a second"),
                );
            }
        }
        self.open.get_mut(&ue).unwrap().setup_try =
            Some(SetupTry { pool, sent_at: now, times_out_at: now + timeout });
    }
}
