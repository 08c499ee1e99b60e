//! The levels themselves: entry, exit, stays, pins, and what is said at the door.

use crate::gauge::Gauge;
use crate::parts::Parts;
use crate::redials::Redials;
use crate::shares::Shares;
use crate::{Ask, By, Door, LevelParams, Outcome, Ticket};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::fmt;

/// A level left and soon entered again is stayed in twice as long each time, up to so many least stays.
const LONGEST_STAY: f64 = 8.0;
/// 'Soon', in present stays.
const SOON: f64 = 2.0;
/// An attach taken this much before the present level, in windows, no longer tells of it.
const STALE: f64 = 1.0;
/// Changes that may wait to be pulled; older ones are dropped, the counters stay.
const MOST_CHANGES: usize = 64;

/// Why a level was entered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Why {
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

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Why::Pressure { pressure, threshold } if pressure >= threshold => {
                write!(f, "pressure {pressure:.3} reached {threshold:.3}")
            }
            Why::Pressure { pressure, threshold } => {
                write!(f, "pressure {pressure:.3} came down to {threshold:.3}")
            }
            Why::Silence => f.write_str("too few attaches to judge by for two windows"),
            Why::Pinned => f.write_str("pinned by an operator"),
            Why::Unpinned => f.write_str("a pin has ended"),
            Why::Start => f.write_str("since the start"),
        }
    }
}

/// One change of level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    pub at: f64,
    pub from: usize,
    pub to: usize,
    pub why: Why,
}

/// A level that an operator holds for a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pin {
    pub level: usize,
    pub until: f64,
}

/// What operators see.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Status {
    pub level: usize,
    pub since: f64,
    pub why: Why,
    pub pressure: Option<f64>,
    pub pin: Option<Pin>,
    pub taken: u64,
    pub refused: u64,
    pub changes: u64,
}

/// The levels of one front.
pub struct Levels {
    params: LevelParams,
    rng: ChaCha8Rng,
    level: usize,
    since: f64,
    why: Why,
    gauge: Gauge,
    redials: Redials,
    shares: Shares,
    parts: Parts,
    /// Callers that asked for the first time, by procedure.
    asked: Vec<u64>,
    /// This front's own factor on thresholds: guards against hundreds of fronts that step as one.
    lean: f64,
    stay: f64,
    /// How long a threshold must stay crossed before the next step up.
    patience: f64,
    /// Since when it is.
    over_since: Option<f64>,
    left_at: f64,
    /// When there was last evidence enough to judge by.
    last_judged: f64,
    pin: Option<Pin>,
    /// Attaches that arrived before this are not judged: their front stood still in their time.
    judge_from: f64,
    changes: VecDeque<Change>,
    counts: (u64, u64, u64),
}

impl Levels {
    pub fn new(seed: u64, params: LevelParams, now: f64) -> Levels {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let lean = 1.0 + params.spread * (2.0 * rng.random::<f64>() - 1.0);
        let patience = params.patience * rng.random::<f64>();
        Levels {
            rng,
            level: 0,
            since: now,
            why: Why::Start,
            gauge: Gauge::default(),
            redials: Redials::default(),
            shares: Shares::new(&params.tenant_shares, now),
            parts: Parts::default(),
            asked: Vec::new(),
            lean,
            stay: params.least_stay,
            patience,
            over_since: None,
            left_at: f64::NEG_INFINITY,
            last_judged: now,
            pin: None,
            judge_from: f64::NEG_INFINITY,
            changes: VecDeque::new(),
            counts: (0, 0, 0),
            params,
        }
    }

    /// An attach at the door. What it says follows from the level alone; the level moves in [`Levels::tick`]
    /// and with outcomes.
    pub fn ask(&mut self, now: f64, ask: &Ask) -> Door {
        self.tick(now);
        let asked_at = self.redials.asked_at(now, ask.number, self.params.remember);
        // What is left of its target must do for a set-up: else it earns the late share at best.
        let late = now - asked_at > self.params.reach * ask.latency_target;
        let over = self.shares.ask(now, self.params.window, ask.tenant, self.params.evidence);
        let redial = asked_at < now;
        if !redial {
            // Counted once a caller, however often it asks: what is refused and comes back is no more demand.
            if self.asked.len() <= ask.procedure {
                self.asked.resize(ask.procedure + 1, 0);
            }
            self.asked[ask.procedure] += 1;
        }
        let worth = if late { ask.worth * ask.late_share } else { ask.worth };
        let ticket = Ticket {
            asked_at,
            arrived: now,
            latency_target: ask.latency_target,
            worth,
            number: ask.number,
            level: self.level,
        };
        let by = if !self.takes(worth, late, redial && over) {
            By::Level
        } else if late && self.parts.is_on() || !self.parts.ask(now, ask.procedure, ask.tenant) {
            // What comes too late earns least for its processor time: it goes before any procedure's part.
            By::Plan
        } else {
            self.counts.0 += 1;
            return Door::Take(ticket);
        };
        self.counts.1 += u64::from(by == By::Level);
        self.redials.unserved(now, ask.number, asked_at);
        Door::Refuse { pause: self.pause(), by }
    }

    /// Callers that asked for the first time so far, by the place of their procedure.
    pub fn asked(&self) -> &[u64] {
        &self.asked
    }

    /// What a plan for the whole fleet leaves this front, attaches a second by procedure; none: all of it. Empty ends
    /// the plan. `floor`: part of each tenant's attaches that is taken ahead of the others'.
    pub fn narrow(&mut self, now: f64, parts: &[Option<f64>], floor: f64) {
        self.parts.set(now, parts, floor);
    }

    fn takes(&mut self, worth: f64, late: bool, abuse: bool) -> bool {
        let Some(step) = self.level.checked_sub(1).and_then(|l| self.params.steps.get(l).copied()) else {
            return true;
        };
        // A tenant over its share that dials again takes the others' part of what is left.
        if late || abuse {
            return false;
        }
        // Rounding of ratios must not push the highest utility under a floor of 1.
        let share = if worth + 1e-9 >= step.floor { step.above } else { step.below };
        share >= 1.0 || share > 0.0 && self.rng.random::<f64>() < share
    }

    /// Grows with the level, and is spread so that those refused together do not come back together.
    fn pause(&mut self) -> f64 {
        let doubled = self.params.pause * f64::from(1u32 << (self.level.min(16) as u32).saturating_sub(1));
        let spread = 0.5 + self.rng.random::<f64>();
        (doubled * spread).min(self.params.longest_pause)
    }

    /// A taken attach has ended; `stood` is how long after `ticket.asked_at`.
    pub fn ended(&mut self, now: f64, ticket: &Ticket, outcome: Outcome) {
        let in_time = outcome == Outcome::Stood && now - ticket.asked_at <= ticket.latency_target;
        if outcome != Outcome::Stood {
            self.redials.unserved(now, ticket.number, ticket.asked_at);
        }
        // Guards against a pause of this front that would be read as slow servers, against late redials, which
        // are lost whatever the servers do, and against outcomes of a level long left.
        let fresh = ticket.arrived - ticket.asked_at <= ticket.latency_target;
        let protected = ticket.worth + 1e-9 >= self.params.judge_from;
        let told = ticket.level == self.level || now - self.since > STALE * self.params.window;
        if outcome == Outcome::Left || ticket.arrived < self.judge_from || !fresh || !told || !protected {
            return self.tick(now);
        }
        self.gauge.add(now, self.params.window, ticket.worth, in_time);
        self.tick(now);
    }

    /// This front stood still until `now`: what arrived before says nothing of the servers.
    pub fn stood_still(&mut self, now: f64) {
        self.judge_from = now;
    }

    /// Moves the level as far as time and pressure say.
    pub fn tick(&mut self, now: f64) {
        if let Some(pin) = self.pin {
            if now < pin.until {
                return;
            }
            self.pin = None;
            // It falls back by itself, to where it would find its own way again.
            self.go(now, 0, Why::Unpinned);
            return;
        }
        let pressure = self.gauge.pressure(now, self.params.window, self.params.evidence);
        if pressure.is_some() {
            self.last_judged = now;
        }
        let steps = &self.params.steps;
        let threshold =
            steps.get(self.level).map_or(f64::INFINITY, |next| (next.enter * self.lean).min(0.99));
        let over_since = pressure.filter(|p| *p >= threshold).map(|_| self.over_since.unwrap_or(now));
        self.over_since = over_since;
        if now - self.since < self.stay {
            return;
        }
        if let (Some(pressure), Some(over_since)) = (pressure, over_since) {
            if now - over_since >= self.patience {
                let leap = pressure >= self.params.leap && self.level + 1 < steps.len();
                let to = self.level + if leap { 2 } else { 1 };
                return self.go(now, to, Why::Pressure { pressure, threshold });
            }
            return;
        }
        let Some(step) = self.level.checked_sub(1).and_then(|l| steps.get(l)) else { return };
        let threshold = step.exit * self.lean;
        match pressure {
            Some(pressure) if pressure <= threshold => {
                self.go(now, self.level - 1, Why::Pressure { pressure, threshold });
            }
            None if now >= self.silent_at() => {
                self.go(now, self.level - 1, Why::Silence);
            }
            _ => {}
        }
    }

    /// When too little has been heard for too long.
    fn silent_at(&self) -> f64 {
        self.last_judged + 2.0 * self.params.window
    }

    fn go(&mut self, now: f64, to: usize, why: Why) {
        let from = self.level;
        let spread = 1.0 + self.params.spread * self.rng.random::<f64>();
        let soon = now - self.left_at < SOON * self.stay;
        if to < from {
            self.left_at = now;
            self.stay = self.params.least_stay * spread;
        } else {
            // Guards against load that hovers at a threshold: each return makes the stay longer.
            let longer = if soon { 2.0 * self.stay } else { self.params.least_stay };
            self.stay = longer.min(LONGEST_STAY * self.params.least_stay) * spread;
        }
        self.stay = self.stay.max(self.params.least_stay);
        self.patience = self.params.patience * self.rng.random::<f64>();
        self.over_since = None;
        self.level = to;
        self.since = now;
        self.why = why;
        self.last_judged = now;
        self.gauge.clear(now);
        self.counts.2 += 1;
        if self.changes.len() == MOST_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { at: now, from, to, why });
    }

    /// Holds a level until a time; 0 is full service. Returns false for a level that there is not.
    pub fn pin(&mut self, now: f64, level: usize, until: f64) -> bool {
        if level > self.params.steps.len() || until <= now {
            return false;
        }
        self.pin = Some(Pin { level, until });
        if level != self.level {
            self.go(now, level, Why::Pinned);
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
    pub fn due(&self) -> f64 {
        if let Some(pin) = self.pin {
            return pin.until;
        }
        let stayed = self.since + self.stay;
        let silent = if self.level > 0 { stayed.max(self.silent_at()) } else { f64::INFINITY };
        let patient = self.over_since.map_or(f64::INFINITY, |since| stayed.max(since + self.patience));
        silent.min(patient)
    }

    pub fn status(&mut self, now: f64) -> Status {
        Status {
            level: self.level,
            since: self.since,
            why: self.why,
            pressure: self.gauge.pressure(now, self.params.window, self.params.evidence),
            pin: self.pin,
            taken: self.counts.0,
            refused: self.counts.1,
            changes: self.counts.2,
        }
    }

    pub fn level(&self) -> usize {
        self.level
    }

    /// What a level takes, in words.
    pub fn takes_in_words(&self, level: usize) -> String {
        let Some(step) = level.checked_sub(1).and_then(|l| self.params.steps.get(l)) else {
            return "everything".into();
        };
        let percent = |share: f64| format!("{:.0} %", share * 100.0);
        let first =
            format!("{} of what earns {:.2} of the highest utility or more", percent(step.above), step.floor);
        format!("{first}, {} of what earns less; no late redials", percent(step.below))
    }

    /// Numbers remembered, for bounds on memory.
    pub fn remembered(&self) -> usize {
        self.redials.len()
    }
}
