//! The routing and admission decisions of one front.
//!
//! The host creates a [`Control`] at start and reports events through its methods, which only update state.
//! It then calls [`Control::next_decision`] until that returns `None` and carries out each decision in order.
//! The types that cross this border are in [`crate::interface`]. Every method takes the host's clock, in
//! seconds; the same calls in the same order give the same decisions.

use crate::interface::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slab::Slab;
use std::collections::{HashMap, VecDeque};

/// Predicted wait below which a set-up may be sent, as a fraction of the shortest latency target.
const WAIT_BOUND: f64 = 0.3;
/// Measured delays are capped at this many wait bounds: beyond it the exact value does not matter.
const MAX_DELAY: f64 = 3.0;
/// A set-up is treated as lost once a set-up sent to the same pool this much later, in wait bounds, has been
/// answered.
const OVERTAKEN_GAP: f64 = 0.25;
/// Retry pause advised to a refused caller, in wait bounds.
const REFUSAL_PAUSE: f64 = 0.5;
/// Utilisation added by each unanswered set-up of this front and by the new one.
const UTILISATION_STEP: f64 = 0.01;
/// Shortest interval between two probes of a pool, seconds.
const MIN_PROBE_INTERVAL: f64 = 1.0;
/// Smoothed delay, in wait bounds, above which a pool is too busy to be probed at the shortest interval.
const BUSY_DELAY: f64 = 0.25;
/// Time over which the first probe of a new pool is spread at random, and the pool's initial probe interval,
/// seconds. The pool may be small, and all fronts may start at the same time.
const FIRST_PROBE_INTERVAL: f64 = 8.0 * MIN_PROBE_INTERVAL;
/// Longest interval between two probes of a busy pool, seconds; shorter where trials are more frequent.
const MAX_PROBE_INTERVAL: f64 = 16.0 * MIN_PROBE_INTERVAL;
/// Weight of a new measurement in the smoothed delay.
const SMOOTHING_WEIGHT: f64 = 0.5;
/// Added to every timer, in seconds: hosts may round times to microseconds, and a timer must not end early.
const CLOCK_RESOLUTION: f64 = 2e-6;
/// Fraction of the load that would overload a cold pool that this front allows itself to send.
const COLD_LOAD_SHARE: f64 = 0.8;
/// Smallest budget for a cold pool, as a fraction of this front's even share weighted by the pool's size. It
/// applies where the front sent the predecessor less.
const COLD_MIN_SHARE: f64 = 0.25;
/// Age of a measurement, as a fraction of the delay it measured, from which it is stale: by then this
/// fraction of the measured queue has been processed.
const STALE_AGE: f64 = 0.6;
/// Fraction of this front's even share, weighted by the pool's size, that may go to a pool as trials.
const TRIAL_SHARE: f64 = 1.0 / 3.0;
/// An attach that is not late is accepted at any utility while the predicted wait is below this many minimum
/// delays of the pool and below the wait bound.
const ACCEPT_ANY_WAIT: f64 = 3.0;
/// Capacity of a cold pool's token bucket, in set-ups; below two, so that two are never sent at once.
const COLD_MAX_TOKENS: f64 = 1.5;
/// Fraction of the overload window for which each slot for attaches with another first choice is open at a
/// cold pool.
const COLD_SLOT_SHARE: f64 = 0.5;

/// State of one pool as known to this front.
struct Pool {
    id: PoolId,
    /// Number of the pool in the deployment, which a replacement processor keeps.
    number: u16,
    /// Start of the processor on the host's clock; 0 if it has run for long.
    started_at: f64,
    /// Whether the pool was in service in the last list.
    ready: bool,
    /// Last reported number of free agents.
    free_agents: Option<f64>,
    /// Total number of agents; 0 if never reported.
    agents: f64,
    /// The pool reports the wait at its processor, so that value is used instead of delays measured here.
    reports_wait: bool,
    /// Shortest delay of an answered set-up, network time included, seconds.
    min_delay: Option<f64>,
    /// Smoothed set-up delay, or minimum delay plus reported wait, seconds.
    smoothed_delay: f64,
    /// When `smoothed_delay` was last updated.
    measured_at: f64,
    /// Set-ups sent whose end has not been reported, oldest first: attach and send time.
    unanswered: VecDeque<(UeId, f64)>,
    /// Send time of the first set-up after the last answered one; none if there is no such set-up.
    silent_since: Option<f64>,
    /// Latest send time among the answered set-ups.
    last_answered_sent_at: f64,
    /// Number of set-ups sent since then.
    sent_since_answer: u32,
    /// The pool recently answered promptly after leaving an earlier set-up unanswered.
    lossy: bool,
    /// When the last set-up was sent.
    last_sent_at: f64,
    /// Earliest time of the next trial.
    next_trial_at: f64,
    /// When the last answer to a probe arrived.
    probe_answered_at: f64,
    next_probe_at: f64,
    /// When the last probe was sent.
    last_probed_at: f64,
    /// Interval between the last probe and the next, before jitter.
    probe_interval: f64,
    /// Number of attaches established there, decayed over `warm_after`, as of `established_updated_at`.
    established: f64,
    established_updated_at: f64,
    /// Rate of attaches established through this front when the pool, or its predecessor, was last in
    /// service.
    last_rate: Option<f64>,
    /// Token bucket for set-ups while the pool is cold. It starts at a random level below one, so that
    /// hundreds of fronts reach a whole token neither all at once nor only after the pool is warm; the sum
    /// over all fronts is the same from the first second on.
    cold_tokens: f64,
    cold_tokens_updated_at: f64,
    /// Number of slots elapsed for attaches with another first choice, starting at a random value below one.
    /// Each slot is open only for a short time at its beginning.
    cold_slots: f64,
    /// Number of the last slot in which a set-up was sent.
    last_cold_slot: f64,
    /// Fraction of a slot for which it is open.
    cold_slot_open: f64,
}

/// One attach that waits for a decision or whose setup try is in progress.
struct Attach {
    ue: UeId,
    procedure: usize,
    first_choice: u16,
    called_number: u64,
    /// When its caller first dialled, as far as this front knows.
    first_asked_at: f64,
    gives_up_at: f64,
    tries: u32,
    /// Pool of the last setup try; the next try avoids it.
    last_pool: Option<usize>,
    /// A setup try is in progress.
    try_pending: bool,
    /// The setup try in progress has been cancelled.
    cancelled: bool,
    /// Earliest time of the next setup try: the end of the release guard of the last one.
    not_before: f64,
}

/// The decision module of one front.
pub struct Control {
    deployment: Deployment,
    /// Predicted wait below which a set-up may be sent, seconds; far below any T-timer.
    wait_bound: f64,
    rng: ChaCha8Rng,
    pools: Vec<Pool>,
    attaches: Slab<Attach>,
    by_ue: HashMap<UeId, usize>,
    /// Attaches that wait for a decision.
    undecided: VecDeque<UeId>,
    /// Attaches that wait for the end of the release guard, in order of that time.
    awaiting_guard: VecDeque<(f64, UeId)>,
    /// Attaches whose setup try was overtaken by the answer to a later one and is to be cancelled.
    overtaken: VecDeque<UeId>,
    /// Earliest pending wake-up requested from the host.
    wake_at: f64,
    started_at: f64,
    /// Callers whose attach ended unserved and who may dial again: called number and time of the first dial.
    unserved: HashMap<u64, f64>,
    /// The same callers in order of that end; entries are dropped after the longest T-timer.
    unserved_order: VecDeque<(f64, u64)>,
    /// Longest remaining patience of a caller at arrival so far, seconds.
    max_patience: f64,
    /// When the host last pulled all decisions.
    last_pulled_at: f64,
    /// Number of arrivals, decayed over `warm_after`, as of `arrivals_updated_at`; redials are not counted.
    arrivals: f64,
    arrivals_updated_at: f64,
}

impl Control {
    /// Creates the module; equal seeds, deployments and calls give equal decisions.
    pub fn new(seed: u64, deployment: Deployment, now: f64) -> Control {
        let targets = deployment.procedures.iter().map(|p| p.latency_target);
        Control {
            wait_bound: WAIT_BOUND * targets.fold(f64::INFINITY, f64::min),
            deployment,
            rng: ChaCha8Rng::seed_from_u64(seed),
            pools: Vec::new(),
            attaches: Slab::new(),
            by_ue: HashMap::new(),
            undecided: VecDeque::new(),
            awaiting_guard: VecDeque::new(),
            overtaken: VecDeque::new(),
            wake_at: f64::INFINITY,
            started_at: now,
            unserved: HashMap::new(),
            unserved_order: VecDeque::new(),
            max_patience: 0.0,
            last_pulled_at: now,
            arrivals: 0.0,
            arrivals_updated_at: now,
        }
    }

    // ---- events reported by the host ----

    /// Updates the list of pools: the complete list, or only the entries that changed.
    pub fn pools_listed(&mut self, now: f64, entries: &[PoolEntry], complete: bool) {
        if complete {
            for index in 0..self.pools.len() {
                if !entries.iter().any(|e| e.id == self.pools[index].id) {
                    self.mark_out_of_service(now, index);
                }
            }
        }
        for entry in entries {
            let last_rate = self.predecessor_rate(now, entry.number);
            let known = self.pools.iter().position(|p| p.id == entry.id);
            if known.is_none() && !entry.ready {
                continue;
            }
            let index = known.unwrap_or_else(|| self.index_for(now, entry, last_rate));
            if !entry.ready {
                self.mark_out_of_service(now, index);
            }
            let pool = &mut self.pools[index];
            if entry.started > pool.started_at {
                // A new processor: measurements of the old one do not apply to it.
                let (unanswered, next_probe_at) = (std::mem::take(&mut pool.unanswered), pool.next_probe_at);
                *pool = Pool { unanswered, last_rate, ..Pool::new(entry, next_probe_at, self.rng.random()) };
            }
            if entry.ready && !pool.ready {
                pool.cold_tokens_updated_at = now;
            }
            pool.ready = entry.ready;
        }
    }

    /// Index for a pool not known before: that of a predecessor out of service, otherwise a new one.
    fn index_for(&mut self, now: f64, entry: &PoolEntry, last_rate: Option<f64>) -> usize {
        let next_probe_at = now + self.rng.random::<f64>() * FIRST_PROBE_INTERVAL;
        let pool = Pool { last_rate, ..Pool::new(entry, next_probe_at, self.rng.random()) };
        let free = |p: &Pool| !p.ready && p.number == entry.number && p.unanswered.is_empty();
        if let Some(index) = self.pools.iter().position(free) {
            self.pools[index] = pool;
            return index;
        }
        self.pools.push(pool);
        self.pools.len() - 1
    }

    fn mark_out_of_service(&mut self, now: f64, index: usize) {
        self.pools[index].last_rate = self.established_rate(now, &self.pools[index]);
        self.pools[index].ready = false;
    }

    /// Takes a new attach, to be decided by the next [`Control::next_decision`].
    pub fn attach_arrived(&mut self, now: f64, new: NewAttach) {
        let max_t_timer =
            self.deployment.procedures.iter().fold(0.0, |longest: f64, p| longest.max(p.t_timer));
        while self.unserved_order.front().is_some_and(|u| now - u.0 > max_t_timer) {
            let called_number = self.unserved_order.pop_front().map(|u| u.1);
            called_number.map(|n| self.unserved.remove(&n));
        }
        let remaining = new.gives_up_at - now;
        self.max_patience = self.max_patience.max(remaining);
        // After this front itself was stalled, an attach may have waited unread: its age is estimated from
        // the longest patience seen, so that it is not treated as new.
        let unread_for = (self.max_patience - remaining).min(now - self.last_pulled_at);
        let redial = self.unserved.get(&new.called_number).copied();
        if redial.is_none() {
            let span = self.deployment.cold.warm_after;
            self.arrivals = 1.0 + self.arrivals * (-(now - self.arrivals_updated_at) / span).exp();
            self.arrivals_updated_at = now;
        }
        let key = self.attaches.insert(Attach {
            ue: new.ue,
            procedure: new.procedure,
            first_choice: new.first_choice,
            called_number: new.called_number,
            first_asked_at: redial.unwrap_or(now - unread_for),
            gives_up_at: new.gives_up_at,
            tries: 0,
            last_pool: None,
            try_pending: false,
            cancelled: false,
            not_before: now,
        });
        self.by_ue.insert(new.ue, key);
        self.undecided.push_back(new.ue);
    }

    /// Records that an attach was established at a pool, `delay` seconds after its set-up was sent.
    pub fn attach_established(&mut self, now: f64, ue: UeId, pool: PoolId, delay: f64) {
        self.remove(ue);
        let delay = delay.max(CLOCK_RESOLUTION);
        let max_delay = MAX_DELAY * self.wait_bound;
        if let Some(pool) = self.pools.iter_mut().find(|p| p.id == pool) {
            let sent = pool.remove_unanswered(ue);
            let span = self.deployment.cold.warm_after;
            pool.established = 1.0 + pool.established * ((pool.established_updated_at - now) / span).exp();
            pool.established_updated_at = now;
            if !pool.reports_wait {
                pool.record_delay(now, delay, max_delay);
            }
            pool.min_delay = Some(pool.min_delay.map_or(delay, |l| l.min(delay)));
            let missed = pool.record_answer(sent);
            if missed > 0 || delay > self.wait_bound {
                pool.lossy = delay <= self.wait_bound;
            }
            if let (Some(sent), true) = (sent, self.deployment.may_cancel) {
                let lost = pool.unanswered.iter().filter(|u| u.1 + OVERTAKEN_GAP * self.wait_bound < sent);
                self.overtaken.extend(lost.map(|u| u.0));
            }
        }
    }

    /// A setup try or an established attach has ended; `finished` means that no final answer is due any more.
    pub fn try_ended(
        &mut self,
        now: f64,
        ue: UeId,
        pool: PoolId,
        reason: EndReason,
        finished: bool,
        report: Report,
    ) {
        let max_delay = MAX_DELAY * self.wait_bound;
        if let Some(pool) = self.pools.iter_mut().find(|p| p.id == pool) {
            let sent = pool.remove_unanswered(ue);
            pool.apply_report(now, report, max_delay);
            match reason {
                EndReason::Rejected => {
                    pool.record_answer(sent);
                }
                // Not a measurement of the processor: the pool is skipped until it reports free agents.
                EndReason::NoAgent => {
                    pool.record_answer(sent);
                    pool.free_agents = Some(0.0);
                }
                EndReason::Throttled { wait } => {
                    pool.record_delay(now, wait.unwrap_or(max_delay), max_delay);
                    pool.record_answer(sent);
                }
                // Silence has been counted since the set-up was sent.
                EndReason::Released
                | EndReason::Cancelled
                | EndReason::Unreached
                | EndReason::TimedOut
                | EndReason::Cut => {}
            }
        }
        if finished {
            self.remove(ue);
        }
        let Some(&key) = self.by_ue.get(&ue) else { return };
        let attach = &mut self.attaches[key];
        if !std::mem::take(&mut attach.try_pending) {
            return;
        }
        if matches!(reason, EndReason::TimedOut | EndReason::Cut | EndReason::Cancelled) {
            attach.not_before = now + self.deployment.release_guard + CLOCK_RESOLUTION;
            if attach.not_before < attach.gives_up_at {
                self.awaiting_guard.push_back((attach.not_before, ue));
                return;
            }
        }
        self.undecided.push_back(ue);
    }

    /// The caller gave up; nothing more is decided for the attach.
    pub fn client_left(&mut self, now: f64, ue: UeId) {
        self.end_unserved(now, ue);
    }

    /// A pool sent a report outside a set-up; `probed` means that it answered a probe.
    pub fn pool_reported(&mut self, now: f64, pool: PoolId, probed: bool, report: Report) {
        let max_delay = MAX_DELAY * self.wait_bound;
        let Some(pool) = self.pools.iter_mut().find(|p| p.id == pool) else {
            return;
        };
        pool.apply_report(now, report, max_delay);
        if probed {
            pool.probe_answered_at = now;
        }
    }

    /// A wake-up requested by [`Decision::Wake`] is due.
    pub fn wake(&mut self, now: f64) {
        if now >= self.wake_at {
            self.wake_at = f64::INFINITY;
        }
    }

    /// Ends an attach that was not established; its caller may dial again.
    fn end_unserved(&mut self, now: f64, ue: UeId) {
        let Some(&key) = self.by_ue.get(&ue) else { return };
        let Attach { called_number, first_asked_at, .. } = self.attaches[key];
        if called_number != 0 && self.unserved.insert(called_number, first_asked_at).is_none() {
            self.unserved_order.push_back((now, called_number));
        }
        self.remove(ue);
    }

    fn remove(&mut self, ue: UeId) {
        if let Some(key) = self.by_ue.remove(&ue) {
            self.attaches.remove(key);
        }
    }

    // ---- decisions pulled by the host ----

    /// Returns the next decision to carry out, or `None` until something new is reported or a wake-up is due.
    pub fn next_decision(&mut self, now: f64) -> Option<Decision> {
        while self.awaiting_guard.front().is_some_and(|w| w.0 <= now) {
            self.undecided.extend(self.awaiting_guard.pop_front().map(|w| w.1));
        }
        while let Some(ue) = self.overtaken.pop_front() {
            // The set-up or its answer was lost on the way; waiting longer would not help.
            let Some(&key) = self.by_ue.get(&ue) else { continue };
            let attach = &mut self.attaches[key];
            if attach.try_pending && !std::mem::replace(&mut attach.cancelled, true) {
                return Some(Decision::Cancel { ue, setup_try: attach.tries - 1 });
            }
        }
        // Newest first: after this front was stalled, a backlog of late attaches would otherwise delay those
        // that can still be served in time.
        while let Some(ue) = self.undecided.pop_back() {
            if let Some(&key) = self.by_ue.get(&ue) {
                return Some(self.decide(now, key));
            }
        }
        if self.deployment.may_probe {
            if let Some(index) = self.pools.iter().position(|p| p.ready && p.next_probe_at <= now) {
                let max_interval = (1.0 / self.trial_rate(now, index)).min(MAX_PROBE_INTERVAL);
                let pool = &mut self.pools[index];
                // Probes slow down at busy, silent and lost pools: one front probing every second means
                // hundreds of probes a second from all fronts, which would use up the pool's remaining
                // capacity or keep it overloaded. The cost is that a recovery is found later.
                let probe_was_answered = pool.probe_answered_at >= pool.last_probed_at;
                let is_busy = !probe_was_answered || pool.smoothed_delay > BUSY_DELAY * self.wait_bound;
                pool.last_probed_at = now;
                pool.probe_interval =
                    if is_busy { 2.0 * pool.probe_interval } else { pool.probe_interval / 2.0 }
                        .clamp(MIN_PROBE_INTERVAL, max_interval.max(MIN_PROBE_INTERVAL));
                // Slow probes get jitter, so that hundreds of fronts do not find a recovered pool at the same
                // time.
                let jitter = if pool.probe_interval > MIN_PROBE_INTERVAL {
                    0.5 + self.rng.random::<f64>()
                } else {
                    1.0
                };
                pool.next_probe_at = now + jitter * pool.probe_interval;
                return Some(Decision::Probe { pool: pool.id });
            }
        }
        let probes =
            self.pools.iter().filter(|p| p.ready && self.deployment.may_probe).map(|p| p.next_probe_at);
        let next = probes.chain(self.awaiting_guard.front().map(|w| w.0)).fold(f64::INFINITY, f64::min);
        if next < self.wake_at {
            self.wake_at = next;
            return Some(Decision::Wake { after: next - now + CLOCK_RESOLUTION });
        }
        self.last_pulled_at = now;
        None
    }

    /// Decides on one attach: a set-up, a refusal or an abort.
    fn decide(&mut self, now: f64, key: usize) -> Decision {
        let attach = &self.attaches[key];
        let ue = attach.ue;
        let remaining = attach.gives_up_at - now;
        let unknown = attach.procedure >= self.deployment.procedures.len();
        if unknown || remaining <= 0.0 || now < attach.not_before || attach.tries >= self.deployment.max_tries
        {
            self.end_unserved(now, ue);
            return Decision::Abort { ue };
        }
        let Some(index) = self.route(now, key) else {
            self.end_unserved(now, ue);
            return Decision::Refuse {
                ue,
                pause: (REFUSAL_PAUSE * self.wait_bound).min(self.deployment.max_pause),
            };
        };
        let trial_rate = self.trial_rate(now, index);
        let jitter = 0.5 + self.rng.random::<f64>();
        let attach = &mut self.attaches[key];
        let target = self.deployment.procedures[attach.procedure].latency_target;
        attach.tries += 1;
        attach.last_pool = Some(index);
        attach.try_pending = true;
        attach.cancelled = false;
        let pool = &mut self.pools[index];
        pool.unanswered.push_back((ue, now));
        pool.silent_since.get_or_insert(now);
        pool.sent_since_answer += 1;
        pool.last_sent_at = now;
        pool.next_trial_at = now + jitter / trial_rate;
        if pool.capacity_fraction(now, &self.deployment.cold) < 1.0 {
            pool.cold_tokens -= 1.0;
            pool.last_cold_slot = pool.cold_slots.floor();
        }
        // At a pool known to lose single set-ups or answers, the timeout leaves time for another try within
        // the latency target.
        let time_before_retry =
            attach.first_asked_at + target - now - self.deployment.release_guard - self.wait_bound;
        let timeout =
            if pool.lossy && time_before_retry > self.wait_bound { time_before_retry } else { target };
        Decision::SetUp { ue, pool: pool.id, timeout: timeout.min(remaining) }
    }

    /// Chooses a pool: the first choice while its predicted wait is below the bound, otherwise the one with
    /// the lower predicted wait of two others drawn at random.
    fn route(&mut self, now: f64, key: usize) -> Option<usize> {
        let attach = &self.attaches[key];
        let allowed = &self.deployment.procedures[attach.procedure].pools;
        let (first_choice, last_pool) = (attach.first_choice, attach.last_pool);
        // Divided over all known pools: when others fail, a cold pool cannot take over their share.
        let ready = self.pools.iter().filter(|p| p.ready).count() as f64;
        let even_rate = self.even_rate(now) * ready / self.pools.len().max(1) as f64;
        let relative_utility = self.relative_utility(attach, now);
        let full_bound = if self.is_late(attach, now) { 0.0 } else { self.wait_bound };
        let request = RouteRequest {
            now,
            first_choice,
            relative_utility,
            wait_bound: self.wait_bound * relative_utility,
            deployment: &self.deployment,
        };
        let mut drawn = [None; 2];
        let mut seen = 0;
        for index in 0..self.pools.len() {
            let cold = self.pools[index].capacity_fraction(now, &self.deployment.cold) < 1.0;
            let size = if cold { self.relative_size(index) } else { 1.0 };
            let pool = &mut self.pools[index];
            let usable = pool.ready && allowed.contains(&pool.number) && pool.free_agents != Some(0.0);
            if !usable || last_pool == Some(index) {
                continue;
            }
            pool.refill_cold_tokens(now, even_rate * size, &self.deployment.cold);
            if pool.number == first_choice {
                if pool.predicted_wait(&request) < pool.max_wait(&request, full_bound) {
                    return Some(index);
                }
            } else if !pool.is_closed(&request) {
                // Reservoir sampling: each pool seen so far is equally likely to be one of the two drawn.
                let slot = if seen < 2 { seen } else { self.rng.random_range(0..=seen) };
                if slot < 2 {
                    drawn[slot] = Some(index);
                }
                seen += 1;
            }
        }
        let mut best = None;
        let mut lowest_wait = f64::INFINITY;
        for index in drawn.into_iter().flatten() {
            let wait = self.pools[index].predicted_wait(&request);
            if wait < lowest_wait.min(self.pools[index].max_wait(&request, full_bound)) {
                (best, lowest_wait) = (Some(index), wait);
            }
        }
        best
    }

    /// Utility of the attach if it were set up after the wait bound, as a fraction of the highest utility of
    /// any procedure.
    fn relative_utility(&self, attach: &Attach, now: f64) -> f64 {
        let procedure = &self.deployment.procedures[attach.procedure];
        let max_utility =
            self.deployment.procedures.iter().fold(0.0, |max_utility: f64, p| max_utility.max(p.utility));
        procedure.utility / max_utility * if self.is_late(attach, now) { procedure.late_share } else { 1.0 }
    }

    /// Whether the attach can no longer be established within its latency target.
    fn is_late(&self, attach: &Attach, now: f64) -> bool {
        now + self.wait_bound - attach.first_asked_at
            > self.deployment.procedures[attach.procedure].latency_target
    }

    /// Seconds by which a count decayed over `warm_after` is divided to get a rate; shorter soon after start.
    fn rate_span(&self, now: f64) -> f64 {
        let span = self.deployment.cold.warm_after;
        span * (1.0 - ((self.started_at - now) / span).exp()).max(1.0 / span)
    }

    /// Rate of attaches that this front established at the processor that a new one replaces; none if no such
    /// processor is known.
    fn predecessor_rate(&self, now: f64, number: u16) -> Option<f64> {
        let same = self.pools.iter().filter(|p| p.number == number);
        same.filter_map(|p| self.established_rate(now, p)).max_by(f64::total_cmp)
    }

    /// Attaches a second established at a pool through this front; for a pool out of service or cold, the
    /// last known rate.
    fn established_rate(&self, now: f64, pool: &Pool) -> Option<f64> {
        let cold = &self.deployment.cold;
        if !pool.ready || pool.capacity_fraction(now, cold) < 1.0 {
            return pool.last_rate;
        }
        Some(
            pool.established * ((pool.established_updated_at - now) / cold.warm_after).exp()
                / self.rate_span(now),
        )
    }

    /// Set-ups a second that this front may send to a pool as trials, to measure it.
    fn trial_rate(&self, now: f64, index: usize) -> f64 {
        TRIAL_SHARE * self.even_rate(now) * self.relative_size(index)
    }

    /// Size of a pool by its agents, relative to the mean of the pools in service; 1 if any of these has not
    /// reported its agents. Keeps trials at small pools rare: an equal rate for all pools can keep a small
    /// one overloaded.
    fn relative_size(&self, index: usize) -> f64 {
        let ready = || self.pools.iter().filter(|p| p.ready);
        let (all, fewest) = ready().fold((0.0, f64::INFINITY), |(a, l), p| (a + p.agents, p.agents.min(l)));
        if fewest > 0.0 {
            self.pools[index].agents * ready().count() as f64 / all
        } else {
            1.0
        }
    }

    /// Arrivals a second at this front, divided evenly among the pools in service.
    fn even_rate(&self, now: f64) -> f64 {
        let ready = self.pools.iter().filter(|p| p.ready).count().max(1) as f64;
        let span = self.deployment.cold.warm_after;
        self.arrivals * ((self.arrivals_updated_at - now) / span).exp() / self.rate_span(now) / ready
    }
}

/// An attach to be routed: its current relative utility and the bound on its wait.
struct RouteRequest<'a> {
    now: f64,
    first_choice: u16,
    relative_utility: f64,
    /// Wait bound times relative utility, seconds.
    wait_bound: f64,
    deployment: &'a Deployment,
}

impl Pool {
    /// A pool without any measurement.
    fn new(entry: &PoolEntry, next_probe_at: f64, cold_tokens: f64) -> Pool {
        Pool {
            id: entry.id,
            number: entry.number,
            started_at: entry.started,
            ready: false,
            free_agents: None,
            agents: 0.0,
            reports_wait: false,
            min_delay: None,
            smoothed_delay: 0.0,
            measured_at: f64::NEG_INFINITY,
            unanswered: VecDeque::new(),
            silent_since: None,
            last_answered_sent_at: f64::NEG_INFINITY,
            sent_since_answer: 0,
            lossy: false,
            last_sent_at: f64::NEG_INFINITY,
            next_trial_at: f64::NEG_INFINITY,
            probe_answered_at: f64::NEG_INFINITY,
            next_probe_at,
            last_probed_at: f64::NEG_INFINITY,
            probe_interval: FIRST_PROBE_INTERVAL,
            established: 0.0,
            established_updated_at: 0.0,
            last_rate: None,
            cold_tokens,
            cold_tokens_updated_at: 0.0,
            cold_slots: cold_tokens,
            last_cold_slot: 0.0,
            cold_slot_open: 0.0,
        }
    }

    /// Updates the smoothed delay. A stale measurement is replaced rather than smoothed: most of the queue
    /// that it measured has been processed since.
    ///
    /// `max_delay` caps absurd values, so that they are soon forgotten; this also covers reports that are
    /// stuck at a high value and queues that have long been empty. Where all pools are beyond the cap, the
    /// least loaded one cannot be told from the others.
    fn record_delay(&mut self, now: f64, delay: f64, max_delay: f64) {
        let delay = delay.min(max_delay);
        let weight = if self.is_stale(now) { 1.0 } else { SMOOTHING_WEIGHT };
        self.smoothed_delay += weight * (delay - self.smoothed_delay);
        self.measured_at = now;
    }

    fn is_stale(&self, now: f64) -> bool {
        now - self.measured_at > STALE_AGE * self.smoothed_delay
    }

    /// Updates the pool from a report; its wait replaces measured delays.
    fn apply_report(&mut self, now: f64, report: Report, max_delay: f64) {
        if report.free_agents.is_some() {
            self.free_agents = report.free_agents;
        }
        self.agents = report.agents.unwrap_or(self.agents);
        if let Some(wait) = report.wait {
            self.reports_wait = true;
            self.record_delay(now, self.min_delay.unwrap_or(0.0) + wait, max_delay);
        }
    }

    /// Removes a set-up from the unanswered ones; returns when it was sent.
    fn remove_unanswered(&mut self, ue: UeId) -> Option<f64> {
        let index = self.unanswered.iter().position(|u| u.0 == ue)?;
        self.unanswered.remove(index).map(|u| u.1)
    }

    /// Records that the set-up sent at `sent` was answered: silence counts only from later set-ups on.
    /// Returns how many set-ups sent before it remain unanswered.
    fn record_answer(&mut self, sent: Option<f64>) -> usize {
        let Some(sent) = sent.filter(|&s| s > self.last_answered_sent_at) else {
            return 0;
        };
        self.last_answered_sent_at = sent;
        let (oldest, later) = (self.not_overtaken().next().copied(), self.not_overtaken().count());
        let missed = (self.sent_since_answer as usize).saturating_sub(later + 1);
        self.silent_since = oldest;
        self.sent_since_answer = later as u32;
        missed
    }

    /// Send times of the unanswered set-ups that no answer has overtaken. The others are treated as lost,
    /// since set-ups or answers may be lost on the way while the pool works on. This is wrong for a pool that
    /// answers out of order on purpose.
    fn not_overtaken(&self) -> impl Iterator<Item = &f64> {
        self.unanswered.iter().map(|u| &u.1).filter(|&&sent| sent > self.last_answered_sent_at)
    }

    /// Fraction of its full capacity that the processor has for certain while it warms up.
    fn capacity_fraction(&self, now: f64, cold: &ColdStart) -> f64 {
        let age = ((now - self.started_at) / cold.warm_after).min(1.0);
        if self.started_at <= 0.0 {
            return 1.0;
        }
        cold.start_capacity + (1.0 - cold.start_capacity) * age
    }

    /// Refills the token bucket that keeps a cold processor from being overloaded: this front sends it no
    /// more than a share of the load that its predecessor had.
    fn refill_cold_tokens(&mut self, now: f64, even_rate: f64, cold: &ColdStart) {
        // The minimum applies where the predecessor had little load or is unknown.
        let previous_load = self.last_rate.unwrap_or(0.0) * cold.overload_multiple * COLD_LOAD_SHARE;
        let rate = previous_load.max(COLD_MIN_SHARE * even_rate);
        let added = rate * self.capacity_fraction(now, cold) * (now - self.cold_tokens_updated_at).max(0.0);
        self.cold_tokens = (self.cold_tokens + added).min(COLD_MAX_TOKENS);
        self.cold_slots += added;
        self.cold_slot_open =
            rate * self.capacity_fraction(now, cold) * COLD_SLOT_SHARE * cold.overload_window;
        self.cold_tokens_updated_at = now;
    }

    /// Whether silence or an empty token bucket excludes the pool. Such a pool is skipped like one without
    /// free agents, so that it does not take one of the two draws.
    fn is_closed(&self, request: &RouteRequest) -> bool {
        if self.capacity_fraction(request.now, &request.deployment.cold) < 1.0 {
            // The lower the utility, the more tokens are required: late redials must not use up the budget
            // first.
            let needed = 1.0 + (COLD_MAX_TOKENS - 1.0) * (1.0 - request.relative_utility);
            if self.cold_tokens < needed || self.not_overtaken().next().is_some() {
                return true;
            }
            // Hundreds of fronts may have saved up tokens while no caller had this pool as first choice, and
            // would spend them at the same moment when their first choices fail. The slots spread these
            // set-ups; callers with this pool as first choice are not limited by them.
            let open = self.cold_slots.fract() < self.cold_slot_open
                && self.cold_slots.floor() > self.last_cold_slot;
            if self.number != request.first_choice && !open {
                return true;
            }
        }
        self.silent_since.is_some_and(|from| request.now - from > request.wait_bound)
            && !self.allows_trial(request)
    }

    /// Whether one set-up may be sent as a trial, to measure the pool again.
    ///
    /// Without trials, an old measurement could exclude a pool for good. A trial is due once nothing has been
    /// measured for a fraction of the last delay; at a silent pool it also requires a sign of life since the
    /// last set-up, where probes can bring one.
    ///
    /// Trials are spread in time, and those of all fronts together stay a fraction of what a pool can
    /// process: otherwise hundreds of fronts try an overloaded pool at once and keep it overloaded. This also
    /// covers any report that reaches all fronts at the same time. The cost is that a recovered pool is found
    /// later.
    ///
    /// A lossy pool answers promptly what it does not lose, so it is not overloaded and needs no such care:
    /// any report of a short wait allows a trial.
    fn allows_trial(&self, request: &RouteRequest) -> bool {
        // Where answers to probes carry no wait, an answer is the only sign of life of a lossy pool.
        let last_wait_report = if self.lossy { self.measured_at } else { f64::NEG_INFINITY };
        let last_sign_of_life = self.probe_answered_at.max(last_wait_report);
        let is_alive = !request.deployment.may_probe || last_sign_of_life > self.last_sent_at;
        let backoff = request.wait_bound * f64::from(1 << self.sent_since_answer.min(4)) / 2.0;
        let min_gap = if self.lossy { backoff } else { MIN_PROBE_INTERVAL };
        let none_pending = self.lossy || self.not_overtaken().next().is_none();
        let may_retry = none_pending && is_alive && request.now - self.last_sent_at > min_gap;
        let is_due = self.is_stale(request.now) && (self.lossy || request.now > self.next_trial_at);
        let reports_short_wait = self.lossy && self.smoothed_delay < request.wait_bound;
        is_due && self.sent_since_answer == 0 || (is_due || reports_short_wait) && may_retry
    }

    /// Highest predicted wait at which the pool accepts this attach. At a slow pool a single set-up may take
    /// longer than the bound of an attach of low utility, which an idle pool would then refuse; so the limit
    /// is at least some minimum delays of the pool, up to `full_bound`, which is 0 for an attach that is
    /// already late.
    fn max_wait(&self, request: &RouteRequest, full_bound: f64) -> f64 {
        request.wait_bound.max(full_bound.min(ACCEPT_ANY_WAIT * self.min_delay.unwrap_or(0.0)))
    }

    /// Predicted wait with this attach added; infinite if it must not be sent to the pool.
    fn predicted_wait(&self, request: &RouteRequest) -> f64 {
        if self.is_closed(request) {
            return f64::INFINITY;
        }
        if self.allows_trial(request) {
            return self.min_delay.unwrap_or(0.0).min(request.wait_bound / 2.0);
        }
        // A pool without any measurement counts as idle. If it was measured, but never by an answered set-up,
        // the smoothed delay is used as it is.
        let Some(min_delay) = self.min_delay else {
            return self.smoothed_delay;
        };
        // Covers servers that become silent (hung, crashed, disconnected or slowed down): the age of the
        // oldest unanswered set-up counts as its delay. Where answers come out of order, this may exclude a
        // pool for too long.
        let silence = self.silent_since.map_or(0.0, |from| request.now - from);
        let delay = self.smoothed_delay.max(min_delay).max(silence);
        let utilisation =
            1.0 - min_delay / delay + UTILISATION_STEP * (self.not_overtaken().count() + 1) as f64;
        if utilisation >= 1.0 {
            return f64::INFINITY;
        }
        min_delay / (1.0 - utilisation)
    }
}
