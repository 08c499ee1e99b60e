//! The state machine of the levels: entry, exit, stays, pins and the admission of attaches.

use crate::pressure::PressureMeter;
use crate::rate_limits::RateLimits;
use crate::redials::Redials;
use crate::tenant_shares::TenantShares;
use crate::{Admission, AttachRequest, LevelParams, Outcome, RefusedBy, Ticket};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::fmt;

/// Upper bound of a stay in multiples of `min_stay`. The stay doubles each time a level is entered again
/// shortly after it was left.
const MAX_STAY_FACTOR: f64 = 8.0;
/// An entry counts as a re-entry within this multiple of the current stay since a level was last left.
const REENTRY_STAYS: f64 = 2.0;
/// Outcomes of attaches admitted at another level are ignored until the current level has lasted this many
/// windows.
const STALE_WINDOWS: f64 = 1.0;
/// Maximum number of changes that wait to be pulled; the oldest is dropped, the counters stay.
const MAX_CHANGES: usize = 64;

/// Why a level was entered. The variants' names appear in logs in Debug form.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChangeReason {
    /// Pressure crossed the threshold, upwards or downwards.
    Pressure {
        pressure: f64,
        threshold: f64,
    },
    /// For two windows there were too few outcomes to justify a level that reduces service.
    Silence,
    Pinned,
    /// A pin expired or was removed.
    Unpinned,
    /// The initial level.
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
            ChangeReason::Silence => {
                f.write_str("too few attaches to determine the pressure for two windows")
            }
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

/// A level that an operator holds until a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pin {
    pub level: usize,
    pub until: f64,
}

/// The state that is shown to operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelsStatus {
    pub level: usize,
    /// When the level was entered, seconds.
    pub since: f64,
    pub reason: ChangeReason,
    /// `None` if there are too few outcomes to determine it.
    pub pressure: Option<f64>,
    pub pin: Option<Pin>,
    pub admitted: u64,
    /// Refused by the level; refusals by the fleet's plan are not counted here.
    pub refused: u64,
    pub changes: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    admitted: u64,
    /// By the level.
    refused: u64,
    changes: u64,
}

/// The levels of one front. Times are seconds on the host's clock.
pub struct Levels {
    params: LevelParams,
    rng: ChaCha8Rng,
    level: usize,
    /// When the level was entered.
    since: f64,
    reason: ChangeReason,
    meter: PressureMeter,
    redials: Redials,
    tenant_shares: TenantShares,
    rate_limits: RateLimits,
    /// Number of callers that asked for the first time, by procedure.
    first_attempts: Vec<u64>,
    /// Random factor on this front's thresholds: keeps hundreds of fronts from changing level together.
    threshold_factor: f64,
    /// Minimum time that the current level lasts.
    stay: f64,
    /// Time for which the pressure must stay above the entry threshold before the next level is entered.
    entry_delay: f64,
    /// Since when the pressure has been above the entry threshold.
    above_since: Option<f64>,
    /// When a level was last left for a lower one.
    left_at: f64,
    /// When there was last enough evidence to determine the pressure.
    last_evidence_at: f64,
    pin: Option<Pin>,
    /// End of the last stall of the front's process; outcomes of attaches that arrived before it are ignored.
    valid_from: f64,
    changes: VecDeque<Change>,
    counts: Counts,
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
            meter: PressureMeter::default(),
            redials: Redials::default(),
            tenant_shares: TenantShares::new(&params.tenant_shares, now),
            rate_limits: RateLimits::default(),
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
            counts: Counts::default(),
            params,
        }
    }

    /// Decides on the admission of an attach by the current level and the rate limits. The level changes in
    /// [`Levels::tick`] and with outcomes.
    pub fn admit(&mut self, now: f64, request: &AttachRequest) -> Admission {
        self.tick(now);
        let first_asked_at =
            self.redials.first_asked_at(now, request.called_number, self.params.redial_memory);
        // A redial without enough of its latency target left for a set-up earns the late share at best.
        let late = now - first_asked_at > self.params.late_redial_fraction * request.latency_target;
        let tenant_exceeds =
            self.tenant_shares.count(now, self.params.window, request.tenant, self.params.min_evidence);
        let redial = first_asked_at < now;
        if !redial {
            // Each caller is counted once: a refused attach that is retried is no additional demand.
            if self.first_attempts.len() <= request.procedure {
                self.first_attempts.resize(request.procedure + 1, 0);
            }
            self.first_attempts[request.procedure] += 1;
        }
        let relative_utility =
            if late { request.relative_utility * request.late_share } else { request.relative_utility };
        let ticket = Ticket {
            first_asked_at,
            arrived_at: now,
            latency_target: request.latency_target,
            relative_utility,
            called_number: request.called_number,
            level: self.level,
        };
        let by = if !self.level_admits(relative_utility, late, redial && tenant_exceeds) {
            RefusedBy::Level
        } else if late && self.rate_limits.is_on()
            || !self.rate_limits.try_take(now, request.procedure, request.tenant)
        {
            // A late redial earns the least for its processor time, so it is refused first while limits are
            // set.
            RefusedBy::Plan
        } else {
            self.counts.admitted += 1;
            return Admission::Admit(ticket);
        };
        self.counts.refused += u64::from(by == RefusedBy::Level);
        self.redials.insert(now, request.called_number, first_asked_at);
        Admission::Refuse { pause: self.draw_pause(), by }
    }

    /// Number of callers that asked for the first time since the start, by procedure.
    pub fn first_attempts(&self) -> &[u64] {
        &self.first_attempts
    }

    /// Sets the limits that the fleet's plan leaves this front: attaches per second by procedure, `None`:
    /// unlimited. An empty slice ends the plan. `floor`: share of each tenant's attaches that is admitted
    /// ahead of the others'.
    pub fn set_rate_limits(&mut self, now: f64, rates: &[Option<f64>], floor: f64) {
        self.rate_limits.set(now, rates, floor);
    }

    /// Whether the current level admits an attach; `excess_redial`: a redial of a tenant that exceeds its
    /// share.
    fn level_admits(&mut self, relative_utility: f64, late: bool, excess_redial: bool) -> bool {
        let Some(step) = self.level.checked_sub(1).and_then(|l| self.params.steps.get(l).copied()) else {
            return true;
        };
        // Redials of a tenant that exceeds its share would use the capacity that is left for the others.
        if late || excess_redial {
            return false;
        }
        // Tolerates rounding of ratios: the highest utility must not fall below a `min_utility` of 1.
        let share =
            if relative_utility + 1e-9 >= step.min_utility { step.share_above } else { step.share_below };
        share >= 1.0 || share > 0.0 && self.rng.random::<f64>() < share
    }

    /// Returns the retry pause: it grows with the level and is randomized, so that callers refused together
    /// do not retry together.
    fn draw_pause(&mut self) -> f64 {
        let doubled =
            self.params.base_pause * f64::from(1u32 << (self.level.min(16) as u32).saturating_sub(1));
        let jitter = 0.5 + self.rng.random::<f64>();
        (doubled * jitter).min(self.params.max_pause)
    }

    /// Records how an admitted attach ended. It counts as in time if it was established within the latency
    /// target, measured from the caller's first attempt.
    pub fn record_outcome(&mut self, now: f64, ticket: &Ticket, outcome: Outcome) {
        let in_time = outcome == Outcome::Established && now - ticket.first_asked_at <= ticket.latency_target;
        if outcome != Outcome::Established {
            self.redials.insert(now, ticket.called_number, ticket.first_asked_at);
        }
        // Three kinds of outcomes say nothing about the servers at this level: those of attaches that arrived
        // before a stall of this front, late redials, which fail whatever the servers do, and attaches of an
        // earlier level.
        let fresh = ticket.arrived_at - ticket.first_asked_at <= ticket.latency_target;
        let protected = ticket.relative_utility + 1e-9 >= self.params.min_judged_utility;
        let is_current = ticket.level == self.level || now - self.since > STALE_WINDOWS * self.params.window;
        if outcome == Outcome::Abandoned
            || ticket.arrived_at < self.valid_from
            || !fresh
            || !is_current
            || !protected
        {
            return self.tick(now);
        }
        self.meter.add(now, self.params.window, ticket.relative_utility, in_time);
        self.tick(now);
    }

    /// Records that this front's process stalled until `now`: outcomes of attaches that arrived before say
    /// nothing about the servers.
    pub fn record_stall(&mut self, now: f64) {
        self.valid_from = now;
    }

    /// Changes the level if the time and the pressure call for it.
    pub fn tick(&mut self, now: f64) {
        if let Some(pin) = self.pin {
            if now < pin.until {
                return;
            }
            self.pin = None;
            // Full service is the fallback; the pressure then determines the level again.
            self.enter(now, 0, ChangeReason::Unpinned);
            return;
        }
        let pressure = self.meter.pressure(now, self.params.window, self.params.min_evidence);
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
                let skips = pressure >= self.params.skip_pressure && self.level + 1 < steps.len();
                let to = self.level + if skips { 2 } else { 1 };
                return self.enter(now, to, ChangeReason::Pressure { pressure, threshold });
            }
            return;
        }
        let Some(step) = self.level.checked_sub(1).and_then(|l| steps.get(l)) else { return };
        let threshold = step.exit_pressure * self.threshold_factor;
        match pressure {
            Some(pressure) if pressure <= threshold => {
                self.enter(now, self.level - 1, ChangeReason::Pressure { pressure, threshold });
            }
            None if now >= self.silence_deadline() => {
                self.enter(now, self.level - 1, ChangeReason::Silence);
            }
            _ => {}
        }
    }

    /// When the evidence has been too little for two windows.
    fn silence_deadline(&self) -> f64 {
        self.last_evidence_at + 2.0 * self.params.window
    }

    fn enter(&mut self, now: f64, to: usize, reason: ChangeReason) {
        let from = self.level;
        let jitter = 1.0 + self.params.jitter * self.rng.random::<f64>();
        let is_reentry = now - self.left_at < REENTRY_STAYS * self.stay;
        if to < from {
            self.left_at = now;
            self.stay = self.params.min_stay * jitter;
        } else {
            // Each re-entry makes the stay longer, against load that stays around a threshold.
            let stay = if is_reentry { 2.0 * self.stay } else { self.params.min_stay };
            self.stay = stay.min(MAX_STAY_FACTOR * self.params.min_stay) * jitter;
        }
        self.stay = self.stay.max(self.params.min_stay);
        self.entry_delay = self.params.max_entry_delay * self.rng.random::<f64>();
        self.above_since = None;
        self.level = to;
        self.since = now;
        self.reason = reason;
        self.last_evidence_at = now;
        self.meter.clear(now);
        self.counts.changes += 1;
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { at: now, from, to, reason });
    }

    /// Holds a level until a time; 0 is full service. Returns false if the level does not exist or the time
    /// has passed.
    pub fn pin(&mut self, now: f64, level: usize, until: f64) -> bool {
        if level > self.params.steps.len() || until <= now {
            return false;
        }
        self.pin = Some(Pin { level, until });
        if level != self.level {
            self.enter(now, level, ChangeReason::Pinned);
        }
        true
    }

    /// Removes the pin before it expires; returns false if there is none.
    pub fn unpin(&mut self, now: f64) -> bool {
        let Some(pin) = &mut self.pin else { return false };
        pin.until = pin.until.min(now);
        self.tick(now);
        true
    }

    /// Returns the oldest change that was not pulled yet.
    pub fn next_change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    /// When [`Levels::tick`] can next change the level; infinite at full service without a pin or pressure.
    pub fn deadline(&self) -> f64 {
        if let Some(pin) = self.pin {
            return pin.until;
        }
        let stayed = self.since + self.stay;
        let silence = if self.level > 0 { stayed.max(self.silence_deadline()) } else { f64::INFINITY };
        let entry = self.above_since.map_or(f64::INFINITY, |since| stayed.max(since + self.entry_delay));
        silence.min(entry)
    }

    pub fn status(&mut self, now: f64) -> LevelsStatus {
        LevelsStatus {
            level: self.level,
            since: self.since,
            reason: self.reason,
            pressure: self.meter.pressure(now, self.params.window, self.params.min_evidence),
            pin: self.pin,
            admitted: self.counts.admitted,
            refused: self.counts.refused,
            changes: self.counts.changes,
        }
    }

    pub fn level(&self) -> usize {
        self.level
    }

    /// Describes what a level admits.
    pub fn describe_level(&self, level: usize) -> String {
        let Some(step) = level.checked_sub(1).and_then(|l| self.params.steps.get(l)) else {
            return "everything".into();
        };
        let percent = |share: f64| format!("{:.0} %", share * 100.0);
        format!(
            "{} of attaches that earn {:.2} of the highest utility or more, {} of those that earn less; \
             no late redials",
            percent(step.share_above),
            step.min_utility,
            percent(step.share_below)
        )
    }

    /// Number of remembered callers, to check the bound on memory.
    pub fn remembered_callers(&self) -> usize {
        self.redials.len()
    }
}
