//! The levels themselves: entry, exit, stays, pins, and what is said at the door.

use crate::pressure::PressureMeter;
use crate::rate_limits::RateLimits;
use crate::redials::Redials;
use crate::tenant_shares::TenantShares;
use crate::{Admission, AttachRequest, LevelParams, Outcome, RefusedBy, Ticket};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::fmt;

/// A level left and soon entered again is stayed in twice as long each time, up to so many least stays.
const MAX_STAY_FACTOR: f64 = 8.0;
/// 'Soon', in present stays.
const REENTRY_STAYS: f64 = 2.0;
/// An attach taken this much before the present level, in windows, no longer tells of it.
const STALE_WINDOWS: f64 = 1.0;
/// Changes that may wait to be pulled; older ones are dropped, the counters stay.
const MAX_CHANGES: usize = 64;

/// ChangeReason a level was entered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChangeReason {
    /// Pressure crossed the threshold, upwards or downwards.
    Pressure {
        pressure: f64,
        threshold: f64,
    },
    /// Too little was heard for two windows to keep a level that costs service.
    Silence,
    Pinned,
    /// A pin ended.
    Unpinned,
    /// Since the start.
    Start,
}

impl fmt::Display for ChangeReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeReason::Pressure { pressure, threshold } if pressure >= threshold => {
                write!(f, "pressure {pressure:.3} reached {threshold:.3}")
            }
            ChangeReason::Pressure { pressure, threshold } => {
                write!(f, "pressure {pressure:.3} came down to {threshold:.3}")
            }
            ChangeReason::Silence => f.write_str("too few attaches to judge by for two windows"),
            ChangeReason::Pinned => f.write_str("pinned by an operator"),
            ChangeReason::Unpinned => f.write_str("a pin has ended"),
            ChangeReason::Start => f.write_str("since the start"),
        }
    }
}

/// One change of level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    pub at: f64,
    pub from: usize,
    pub to: usize,
    pub reason: ChangeReason,
}

/// A level that an operator holds for a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pin {
    pub level: usize,
    pub until: f64,
}

/// What operators see.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelsStatus {
    pub level: usize,
    pub since: f64,
    pub reason: ChangeReason,
    pub pressure: Option<f64>,
    pub pin: Option<Pin>,
    pub admitted: u64,
    pub refused: u64,
    pub changes: u64,
}

/// The levels of one front.
pub struct Levels {
    params: LevelParams,
    rng: ChaCha8Rng,
    level: usize,
    since: f64,
    reason: ChangeReason,
    gauge: PressureMeter,
    redials: Redials,
    shares: TenantShares,
    parts: RateLimits,
    /// Callers that asked for the first time, by procedure.
    first_attempts: Vec<u64>,
    /// This front's own factor on thresholds: guards against hundreds of fronts that step as one.
    threshold_factor: f64,
    stay: f64,
    /// How long a threshold must stay crossed before the next step up.
    entry_delay: f64,
    /// Since when it is.
    above_since: Option<f64>,
    left_at: f64,
    /// When there was last min_evidence enough to judge by.
    last_evidence_at: f64,
    pin: Option<Pin>,
    /// Attaches that arrived before this are not judged: their front stood still in their time.
    valid_from: f64,
    changes: VecDeque<Change>,
    counts: (u64, u64, u64),
}

impl Levels {
    pub fn new(seed: u64, params: LevelParams, now: f64) -> Levels {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let threshold_factor = 1.0 + params.jitter * (2.0 * rng.random::<f64>() - 1.0);
        let entry_delay = params.max_entry_delay * rng.random::<f64>();
        Levels {
            rng,
            level: 0,
            since: now,
            reason: ChangeReason::Start,
            gauge: PressureMeter::default(),
            redials: Redials::default(),
            shares: TenantShares::new(&params.tenant_shares, now),
            parts: RateLimits::default(),
            first_attempts: Vec::new(),
            threshold_factor,
            stay: params.min_stay,
            entry_delay,
            above_since: None,
            left_at: f64::NEG_INFINITY,
            last_evidence_at: now,
            pin: None,
            valid_from: f64::NEG_INFINITY,
            changes: VecDeque::new(),
            counts: (0, 0, 0),
            params,
        }
    }

    /// An attach at the door. What it says follows from the level alone; the level moves in [`Levels::tick`]
    /// and with outcomes.
    pub fn admit(&mut self, now: f64, ask: &AttachRequest) -> Admission {
        self.tick(now);
        let first_asked_at = self.redials.first_asked_at(now, ask.called_number, self.params.redial_memory);
        // What is left of its target must do for a set-up: else it earns the late share at best.
        let late = now - first_asked_at > self.params.late_redial_fraction * ask.latency_target;
        let over = self.shares.ask(now, self.params.window, ask.tenant, self.params.min_evidence);
        let redial = first_asked_at < now;
        if !redial {
            // Counted once a caller, however often it asks: what is refused and comes back is no more demand.
            if self.first_attempts.len() <= ask.procedure {
                self.first_attempts.resize(ask.procedure + 1, 0);
            }
            self.first_attempts[ask.procedure] += 1;
        }
        let relative_utility =
            if late { ask.relative_utility * ask.late_share } else { ask.relative_utility };
        let ticket = Ticket {
            first_asked_at,
            arrived_at: now,
            latency_target: ask.latency_target,
            relative_utility,
            called_number: ask.called_number,
            level: self.level,
        };
        let by = if !self.takes(relative_utility, late, redial && over) {
            RefusedBy::Level
        } else if late && self.parts.is_on() || !self.parts.ask(now, ask.procedure, ask.tenant) {
            // What comes too late earns least for its processor time: it goes before any procedure's part.
            RefusedBy::Plan
        } else {
            self.counts.0 += 1;
            return Admission::Admit(ticket);
        };
        self.counts.1 += u64::from(by == RefusedBy::Level);
        self.redials.unserved(now, ask.called_number, first_asked_at);
        Admission::Refuse { pause: self.pause(), by }
    }

    /// Callers that asked for the first time so far, by the place of their procedure.
    pub fn first_attempts(&self) -> &[u64] {
        &self.first_attempts
    }

    /// What a plan for the whole fleet leaves this front, attaches a second by procedure; none: all of it. Empty ends
    /// the plan. `floor`: part of each tenant's attaches that is taken ahead of the others'.
    pub fn set_rate_limits(&mut self, now: f64, parts: &[Option<f64>], floor: f64) {
        self.parts.set(now, parts, floor);
    }

    fn takes(&mut self, relative_utility: f64, late: bool, abuse: bool) -> bool {
        let Some(step) = self.level.checked_sub(1).and_then(|l| self.params.steps.get(l).copied()) else {
            return true;
        };
        // A tenant over its share that dials again takes the others' part of what is left.
        if late || abuse {
            return false;
        }
        // Rounding of ratios must not push the highest utility under a floor of 1.
        let share =
            if relative_utility + 1e-9 >= step.min_utility { step.share_above } else { step.share_below };
        share >= 1.0 || share > 0.0 && self.rng.random::<f64>() < share
    }

    /// Grows with the level, and is jitter so that those refused together do not come back together.
    fn pause(&mut self) -> f64 {
        let doubled =
            self.params.base_pause * f64::from(1u32 << (self.level.min(16) as u32).saturating_sub(1));
        let jitter = 0.5 + self.rng.random::<f64>();
        (doubled * jitter).min(self.params.max_pause)
    }

    /// A taken attach has ended; `stood` is how long after `ticket.first_asked_at`.
    pub fn record_outcome(&mut self, now: f64, ticket: &Ticket, outcome: Outcome) {
        let in_time = outcome == Outcome::Established && now - ticket.first_asked_at <= ticket.latency_target;
        if outcome != Outcome::Established {
            self.redials.unserved(now, ticket.called_number, ticket.first_asked_at);
        }
        // Guards against a pause of this front that would be read as slow servers, against late redials, which
        // are lost whatever the servers do, and against outcomes of a level long left.
        let fresh = ticket.arrived_at - ticket.first_asked_at <= ticket.latency_target;
        let protected = ticket.relative_utility + 1e-9 >= self.params.min_judged_utility;
        let told = ticket.level == self.level || now - self.since > STALE_WINDOWS * self.params.window;
        if outcome == Outcome::Abandoned
            || ticket.arrived_at < self.valid_from
            || !fresh
            || !told
            || !protected
        {
            return self.tick(now);
        }
        self.gauge.add(now, self.params.window, ticket.relative_utility, in_time);
        self.tick(now);
    }

    /// This front stood still until `now`: what arrived before says nothing of the servers.
    pub fn record_stall(&mut self, now: f64) {
        self.valid_from = now;
    }

    /// Moves the level as far as time and pressure say.
    pub fn tick(&mut self, now: f64) {
        if let Some(pin) = self.pin {
            if now < pin.until {
                return;
            }
            self.pin = None;
            // It falls back by itself, to where it would find its own way again.
            self.go(now, 0, ChangeReason::Unpinned);
            return;
        }
        let pressure = self.gauge.pressure(now, self.params.window, self.params.min_evidence);
        if pressure.is_some() {
            self.last_evidence_at = now;
        }
        let steps = &self.params.steps;
        let threshold = steps
            .get(self.level)
            .map_or(f64::INFINITY, |next| (next.entry_pressure * self.threshold_factor).min(0.99));
        let above_since = pressure.filter(|p| *p >= threshold).map(|_| self.above_since.unwrap_or(now));
        self.above_since = above_since;
        if now - self.since < self.stay {
            return;
        }
        if let (Some(pressure), Some(above_since)) = (pressure, above_since) {
            if now - above_since >= self.entry_delay {
                let skip_pressure = pressure >= self.params.skip_pressure && self.level + 1 < steps.len();
                let to = self.level + if skip_pressure { 2 } else { 1 };
                return self.go(now, to, ChangeReason::Pressure { pressure, threshold });
            }
            return;
        }
        let Some(step) = self.level.checked_sub(1).and_then(|l| steps.get(l)) else { return };
        let threshold = step.exit_pressure * self.threshold_factor;
        match pressure {
            Some(pressure) if pressure <= threshold => {
                self.go(now, self.level - 1, ChangeReason::Pressure { pressure, threshold });
            }
            None if now >= self.silence_deadline() => {
                self.go(now, self.level - 1, ChangeReason::Silence);
            }
            _ => {}
        }
    }

    /// When too little has been heard for too long.
    fn silence_deadline(&self) -> f64 {
        self.last_evidence_at + 2.0 * self.params.window
    }

    fn go(&mut self, now: f64, to: usize, reason: ChangeReason) {
        let from = self.level;
        let jitter = 1.0 + self.params.jitter * self.rng.random::<f64>();
        let soon = now - self.left_at < REENTRY_STAYS * self.stay;
        if to < from {
            self.left_at = now;
            self.stay = self.params.min_stay * jitter;
        } else {
            // Guards against load that hovers at a threshold: each return makes the stay longer.
            let longer = if soon { 2.0 * self.stay } else { self.params.min_stay };
            self.stay = longer.min(MAX_STAY_FACTOR * self.params.min_stay) * jitter;
        }
        self.stay = self.stay.max(self.params.min_stay);
        self.entry_delay = self.params.max_entry_delay * self.rng.random::<f64>();
        self.above_since = None;
        self.level = to;
        self.since = now;
        self.reason = reason;
        self.last_evidence_at = now;
        self.gauge.clear(now);
        self.counts.2 += 1;
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { at: now, from, to, reason });
    }

    /// Holds a level until a time; 0 is full service. Returns false for a level that there is not.
    pub fn pin(&mut self, now: f64, level: usize, until: f64) -> bool {
        if level > self.params.steps.len() || until <= now {
            return false;
        }
        self.pin = Some(Pin { level, until });
        if level != self.level {
            self.go(now, level, ChangeReason::Pinned);
        }
        true
    }

    /// Ends a pin before its time; false where there is none.
    pub fn unpin(&mut self, now: f64) -> bool {
        let Some(pin) = &mut self.pin else { return false };
        pin.until = pin.until.min(now);
        self.tick(now);
        true
    }

    /// The next change, oldest first.
    pub fn next_change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    /// When [`Levels::tick`] can matter next; infinite at full service without a pin or trouble.
    pub fn deadline(&self) -> f64 {
        if let Some(pin) = self.pin {
            return pin.until;
        }
        let stayed = self.since + self.stay;
        let silent = if self.level > 0 { stayed.max(self.silence_deadline()) } else { f64::INFINITY };
        let patient = self.above_since.map_or(f64::INFINITY, |since| stayed.max(since + self.entry_delay));
        silent.min(patient)
    }

    pub fn status(&mut self, now: f64) -> LevelsStatus {
        LevelsStatus {
            level: self.level,
            since: self.since,
            reason: self.reason,
            pressure: self.gauge.pressure(now, self.params.window, self.params.min_evidence),
            pin: self.pin,
            admitted: self.counts.0,
            refused: self.counts.1,
            changes: self.counts.2,
        }
    }

    pub fn level(&self) -> usize {
        self.level
    }

    /// What a level takes, in words.
    pub fn describe_level(&self, level: usize) -> String {
        let Some(step) = level.checked_sub(1).and_then(|l| self.params.steps.get(l)) else {
            return "everything".into();
        };
        let percent = |share: f64| format!("{:.0} %", share * 100.0);
        let first = format!(
            "{} of what earns {:.2} of the highest utility or more",
            percent(step.share_above),
            step.min_utility
        );
        format!("{first}, {} of what earns less; no late redials", percent(step.share_below))
    }

    /// Numbers remembered_callers, for bounds on memory.
    pub fn remembered_callers(&self) -> usize {
        self.redials.len()
    }
}
