//! The decisions of one front. The host makes a [`Control`] at start, reports what happens through its
//! methods (they only update what is known) and then pulls [`Control::next_decision`] until it returns
//! `None`, carrying out each decision in order. The types are in `interface`. Every method takes the
//! host's clock; the same calls in the same order give the same decisions.

use crate::interface::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slab::Slab;
use std::collections::{HashMap, VecDeque};

/// Predicted wait below which a first set-up goes out, in shortest latency targets.
const WAIT_BOUND: f64 = 0.3;
/// Delays are told apart only up to here, in bounds.
const MAX_DELAY: f64 = 3.0;
/// A set-up is taken for lost when one sent so much later, in bounds, was answered by the same pool.
const OVERTAKEN_GAP: f64 = 0.25;
/// Pause named to a refused caller, in bounds.
const REFUSAL_PAUSE: f64 = 0.5;
/// Utilisation added by each own unanswered set-up and by the newcomer (design).
const UTILISATION_STEP: f64 = 0.01;
/// Time between two probes of a pool (design).
const MIN_PROBE_INTERVAL: f64 = 1.0;
/// Smoothed delay, in bounds, from which a pool has no room to be probed each second.
const BUSY_DELAY: f64 = 0.25;
/// Time between the first probes of a pool not heard of before; it may be small, and all fronts start as one.
const FIRST_PROBE_INTERVAL: f64 = 8.0 * MIN_PROBE_INTERVAL;
/// Longest time between two probes of a pool that stays so, if its trials are not more frequent.
const MAX_PROBE_INTERVAL: f64 = 16.0 * MIN_PROBE_INTERVAL;
/// Share of the smoothed delay that a new measurement replaces.
const SMOOTHING_WEIGHT: f64 = 0.5;
/// Hosts may round times to microseconds: a wait is lengthened by so much that it never ends early.
const CLOCK_RESOLUTION: f64 = 2e-6;
/// Part of what would push a cold pool over that this front allows itself.
const COLD_LOAD_SHARE: f64 = 0.8;
/// The least part, of its own by a pool's size, that a front counts on where no more was borne.
const COLD_MIN_SHARE: f64 = 0.25;
/// Age, in its own delay, from which a measurement is stale: that part of the queue it saw has passed.
const STALE_AGE: f64 = 0.6;
/// Share of this front's part of the set-ups, by the pool's size, that may go there as trials.
const TRIAL_SHARE: f64 = 1.0 / 3.0;
/// A pool has room for any attach while its predicted wait is less than so many least delays.
const ACCEPT_ANY_WAIT: f64 = 3.0;
/// Set-ups that can be saved up for a cold pool; below two, so that never two go at once.
const COLD_MAX_TOKENS: f64 = 1.5;
/// Part of the window in which a cold pool falls for which a turn of attaches with another first choice
/// is open.
const COLD_SLOT_SHARE: f64 = 0.5;

/// What this front knows of one pool.
struct Pool {
    id: PoolId,
    number: u16,
    started_at: f64,
    /// Last told to be in service.
    ready: bool,
    free_agents: Option<f64>,
    /// All its agents; 0 where it never told.
    agents: f64,
    /// It reports its processor's wait, so its own figure replaces delays measured from here.
    reports_wait: bool,
    /// Least delay of an answered set-up, the network included.
    min_delay: Option<f64>,
    smoothed_delay: f64,
    /// When it was last measured.
    measured_at: f64,
    /// Set-ups sent and not ended, oldest first: attach, when sent.
    unanswered: VecDeque<(UeId, f64)>,
    /// When the first set-up was sent of those after the last that the pool answered.
    silent_since: Option<f64>,
    /// When the set-up was sent that was answered last.
    last_answered_sent_at: f64,
    /// Set-ups sent after that one.
    sent_since_answer: u32,
    /// It lately answered promptly after it had left an earlier set-up unanswered.
    lossy: bool,
    /// When a set-up was last sent.
    last_sent_at: f64,
    /// No trial before.
    next_trial_at: f64,
    /// When a probe was last answered.
    probe_answered_at: f64,
    next_probe_at: f64,
    /// When it was last probed.
    last_probed_at: f64,
    /// Time between the last probe and the next.
    probe_interval: f64,
    /// Attaches that stood there, smoothed over `warm_after`, as of `stood_at`.
    established: f64,
    established_updated_at: f64,
    /// Set-ups a second that this front brought to it when last in service, or to its predecessor.
    last_rate: Option<f64>,
    /// A token bucket. Begun anywhere below one set-up: guards against hundreds of fronts none of which has
    /// saved up a whole one by the time the pool is warm, or all at once. Their sum is the same from the
    /// first second on.
    cold_tokens: f64,
    cold_tokens_updated_at: f64,
    /// Turns of attaches with another first choice so far, each open for a moment, and the last one used.
    /// Begins anywhere below one.
    cold_slots: f64,
    last_cold_slot: f64,
    /// How much of a turn is open.
    cold_slot_open: f64,
}

struct Attach {
    ue: UeId,
    procedure: usize,
    first_choice: u16,
    called_number: u64,
    /// When its caller first asked, as far as this front knows.
    first_asked_at: f64,
    gives_up_at: f64,
    tries: u32,
    /// The pool of the last try, avoided by the next.
    last_pool: Option<usize>,
    /// A setup try is out.
    try_pending: bool,
    /// That one has been cancelled.
    cancelled: bool,
    /// No setup try may go before: the release guard of the last one.
    not_before: f64,
}

pub struct Control {
    deployment: Deployment,
    /// Predicted wait below which a set-up goes out; far below any T-timer.
    wait_bound: f64,
    rng: ChaCha8Rng,
    pools: Vec<Pool>,
    attaches: Slab<Attach>,
    by_ue: HashMap<UeId, usize>,
    undecided: VecDeque<UeId>,
    /// Attaches that wait out the release guard, in order of when it ends.
    awaiting_guard: VecDeque<(f64, UeId)>,
    /// Attaches whose setup try was overtaken by an answer, to be cancelled.
    overtaken: VecDeque<UeId>,
    /// Earliest wake-up asked of the host and still to come.
    wake_at: f64,
    started_at: f64,
    /// Callers who went away unserved and may dial again: number called, when they first asked.
    unserved: HashMap<u64, f64>,
    /// The same in order of when they went, to be forgotten after the T-timer.
    unserved_order: VecDeque<(f64, u64)>,
    /// Longest time that a caller has been seen to wait, and when this front last had its turn.
    max_patience: f64,
    last_pulled_at: f64,
    /// Smoothed count of arrivals within `warm_after`, and when it was last brought up to date.
    arrivals: f64,
    arrivals_updated_at: f64,
}

impl Control {
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

    // ---- bookkeeping: what the host reports ----

    /// News of the list: all of it (`whole`), or the entries that changed.
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
                // A new processor: what was measured of the old one says nothing of it.
                let (unanswered, next_probe_at) = (std::mem::take(&mut pool.unanswered), pool.next_probe_at);
                *pool = Pool { unanswered, last_rate, ..Pool::new(entry, next_probe_at, self.rng.random()) };
            }
            if entry.ready && !pool.ready {
                pool.cold_tokens_updated_at = now;
            }
            pool.ready = entry.ready;
        }
    }

    /// A place for a pool not heard of before: that of a predecessor out of service, else a new one.
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

    pub fn attach_arrived(&mut self, now: f64, new: NewAttach) {
        let max_t_timer =
            self.deployment.procedures.iter().fold(0.0, |longest: f64, p| longest.max(p.t_timer));
        while self.unserved_order.front().is_some_and(|u| now - u.0 > max_t_timer) {
            let called_number = self.unserved_order.pop_front().map(|u| u.1);
            called_number.map(|n| self.unserved.remove(&n));
        }
        let remaining = new.gives_up_at - now;
        self.max_patience = self.max_patience.max(remaining);
        // Guards against a front held up that takes for fresh what came long ago.
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

    /// A setup try, or an attach that stood, has ended; `finished` says that no answer is owed any more.
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
                // No measure of the processor: the pool is skipped until it tells of free agents.
                EndReason::NoAgent => {
                    pool.record_answer(sent);
                    pool.free_agents = Some(0.0);
                }
                EndReason::Throttled { wait } => {
                    pool.record_delay(now, wait.unwrap_or(max_delay), max_delay);
                    pool.record_answer(sent);
                }
                // Silence has counted since it was sent.
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

    pub fn client_left(&mut self, now: f64, ue: UeId) {
        self.end_unserved(now, ue);
    }

    /// A pool was heard of outside a set-up; `probed` tells that it answered a probe.
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

    pub fn wake(&mut self, now: f64) {
        if now >= self.wake_at {
            self.wake_at = f64::INFINITY;
        }
    }

    /// The attach ends without standing; its caller may dial again.
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

    // ---- decisions: what the host pulls ----

    pub fn next_decision(&mut self, now: f64) -> Option<Decision> {
        while self.awaiting_guard.front().is_some_and(|w| w.0 <= now) {
            self.undecided.extend(self.awaiting_guard.pop_front().map(|w| w.1));
        }
        while let Some(ue) = self.overtaken.pop_front() {
            // Guards against set-ups that are lost on the way: waiting on for them is in vain.
            let Some(&key) = self.by_ue.get(&ue) else { continue };
            let attach = &mut self.attaches[key];
            if attach.try_pending && !std::mem::replace(&mut attach.cancelled, true) {
                return Some(Decision::Cancel { ue, setup_try: attach.tries - 1 });
            }
        }
        // Newest first: guards against a pile of late attaches (after this front was held up) that would
        // keep those who can still be served in time waiting behind them.
        while let Some(ue) = self.undecided.pop_back() {
            if let Some(&key) = self.by_ue.get(&ue) {
                return Some(self.decide(now, key));
            }
        }
        if self.deployment.may_probe {
            if let Some(index) = self.pools.iter().position(|p| p.ready && p.next_probe_at <= now) {
                let max_interval = (1.0 / self.trial_rate(now, index)).min(MAX_PROBE_INTERVAL);
                let pool = &mut self.pools[index];
                // Guards against probes that take what a pool has left, or keep it crowded: what one front
                // asks each second, hundreds do. Covers silent and lost pools; finds a recovery later.
                let probe_was_answered = pool.probe_answered_at >= pool.last_probed_at;
                let is_busy = !probe_was_answered || pool.smoothed_delay > BUSY_DELAY * self.wait_bound;
                pool.last_probed_at = now;
                pool.probe_interval =
                    if is_busy { 2.0 * pool.probe_interval } else { pool.probe_interval / 2.0 }
                        .clamp(MIN_PROBE_INTERVAL, max_interval.max(MIN_PROBE_INTERVAL));
                // Rare ones are spread: guards against hundreds of fronts that find a pool well together.
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
        // Guards against single lost set-ups or answers: where they are known, time is left for another try.
        let time_before_retry =
            attach.first_asked_at + target - now - self.deployment.release_guard - self.wait_bound;
        let timeout =
            if pool.lossy && time_before_retry > self.wait_bound { time_before_retry } else { target };
        Decision::SetUp { ue, pool: pool.id, timeout: timeout.min(remaining) }
    }

    /// The design's route: the first choice while under the bound, else the lower wait of two others.
    fn route(&mut self, now: f64, key: usize) -> Option<usize> {
        let attach = &self.attaches[key];
        let allowed = &self.deployment.procedures[attach.procedure].pools;
        let (first_choice, last_pool) = (attach.first_choice, attach.last_pool);
        // Over all pools known: the fall of others does not make a cold one able to bear their part.
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
                // Each of those seen so far has the same chance to be one of the two drawn.
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

    /// What the attach would earn now, were it set up at the bound, as a share of the highest utility.
    fn relative_utility(&self, attach: &Attach, now: f64) -> f64 {
        let procedure = &self.deployment.procedures[attach.procedure];
        let max_utility =
            self.deployment.procedures.iter().fold(0.0, |max_utility: f64, p| max_utility.max(p.utility));
        procedure.utility / max_utility * if self.is_late(attach, now) { procedure.late_share } else { 1.0 }
    }

    /// It can no longer stand within its latency target.
    fn is_late(&self, attach: &Attach, now: f64) -> bool {
        now + self.wait_bound - attach.first_asked_at
            > self.deployment.procedures[attach.procedure].latency_target
    }

    /// Counts smoothed over `warm_after` become rates when divided by this.
    fn rate_span(&self, now: f64) -> f64 {
        let span = self.deployment.cold.warm_after;
        span * (1.0 - ((self.started_at - now) / span).exp()).max(1.0 / span)
    }

    /// What this front brought to the processor that a new one replaces; none where none was known.
    fn predecessor_rate(&self, now: f64, number: u16) -> Option<f64> {
        let same = self.pools.iter().filter(|p| p.number == number);
        same.filter_map(|p| self.established_rate(now, p)).max_by(f64::total_cmp)
    }

    /// Set-ups a second that stand at a pool through this front; for one out of service or cold, as it was.
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

    /// Set-ups a second that this front may send to a pool to measure it.
    fn trial_rate(&self, now: f64, index: usize) -> f64 {
        TRIAL_SHARE * self.even_rate(now) * self.relative_size(index)
    }

    /// Size of a pool against the mean of those in service, by their agents; 1 where some have not told.
    /// Guards small pools against trials by an even part, which alone can keep them crowded.
    fn relative_size(&self, index: usize) -> f64 {
        let ready = || self.pools.iter().filter(|p| p.ready);
        let (all, fewest) = ready().fold((0.0, f64::INFINITY), |(a, l), p| (a + p.agents, p.agents.min(l)));
        if fewest > 0.0 {
            self.pools[index].agents * ready().count() as f64 / all
        } else {
            1.0
        }
    }

    /// This front's even part of what callers ask, a second, for each pool in service.
    fn even_rate(&self, now: f64) -> f64 {
        let ready = self.pools.iter().filter(|p| p.ready).count().max(1) as f64;
        let span = self.deployment.cold.warm_after;
        self.arrivals * ((self.arrivals_updated_at - now) / span).exp() / self.rate_span(now) / ready
    }
}

/// An attach that asks for a pool: what it is worth now, and the bound on its wait.
struct RouteRequest<'a> {
    now: f64,
    first_choice: u16,
    relative_utility: f64,
    wait_bound: f64,
    deployment: &'a Deployment,
}

impl Pool {
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

    /// A stale measurement is replaced, not smoothed: most of the queue of that
    /// length has passed since.
    /// Guards against absurd figures and slow forgetting: past `limit` a delay only says 'far too long'. Also
    /// for reports frozen high and for queues long gone; where all pools are far too long it hides the least.
    fn record_delay(&mut self, now: f64, delay: f64, max_delay: f64) {
        let delay = delay.min(max_delay);
        let weight = if self.is_stale(now) { 1.0 } else { SMOOTHING_WEIGHT };
        self.smoothed_delay += weight * (delay - self.smoothed_delay);
        self.measured_at = now;
    }

    fn is_stale(&self, now: f64) -> bool {
        now - self.measured_at > STALE_AGE * self.smoothed_delay
    }

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

    /// Takes a set-up off the unanswered ones; returns when it was sent.
    fn remove_unanswered(&mut self, ue: UeId) -> Option<f64> {
        let index = self.unanswered.iter().position(|u| u.0 == ue)?;
        self.unanswered.remove(index).map(|u| u.1)
    }

    /// The processor has answered the set-up sent then: silence counts only from later ones.
    /// Returns how many before it were not.
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

    /// Unanswered set-ups that no answer has overtaken: guards against set-ups or answers that are lost on
    /// the way while the pool works on. Wrong for a pool that answers out of order on purpose.
    fn not_overtaken(&self) -> impl Iterator<Item = &f64> {
        self.unanswered.iter().map(|u| &u.1).filter(|&&sent| sent > self.last_answered_sent_at)
    }

    /// Share of its full capacity that the processor is sure to have.
    fn capacity_fraction(&self, now: f64, cold: &ColdStart) -> f64 {
        let age = ((now - self.started_at) / cold.warm_after).min(1.0);
        if self.started_at <= 0.0 {
            return 1.0;
        }
        cold.start_capacity + (1.0 - cold.start_capacity) * age
    }

    /// Guards rule 4: a cold processor gets no more than this front's even share of what it can do.
    fn refill_cold_tokens(&mut self, now: f64, even_rate: f64, cold: &ColdStart) {
        // Little where its predecessor bore next to nothing or none is known.
        let previous_load = self.last_rate.unwrap_or(0.0) * cold.overload_multiple * COLD_LOAD_SHARE;
        let rate = previous_load.max(COLD_MIN_SHARE * even_rate);
        let added = rate * self.capacity_fraction(now, cold) * (now - self.cold_tokens_updated_at).max(0.0);
        self.cold_tokens = (self.cold_tokens + added).min(COLD_MAX_TOKENS);
        self.cold_slots += added;
        self.cold_slot_open =
            rate * self.capacity_fraction(now, cold) * COLD_SLOT_SHARE * cold.overload_window;
        self.cold_tokens_updated_at = now;
    }

    /// Whether silence or an empty cold budget keeps the attach away. Such a pool is skipped like one
    /// without free agents, so that it does not use up one of the two draws.
    fn is_closed(&self, request: &RouteRequest) -> bool {
        if self.capacity_fraction(request.now, &request.deployment.cold) < 1.0 {
            // The less it is worth the more must be saved up: the budget must not go to late redials first.
            let needed = 1.0 + (COLD_MAX_TOKENS - 1.0) * (1.0 - request.relative_utility);
            if self.cold_tokens < needed || self.not_overtaken().next().is_some() {
                return true;
            }
            // Guards against what hundreds of fronts have saved up there while it was nobody's choice, and
            // spend in one moment when their first choices fall. Leaves out callers who all name it at once.
            let open = self.cold_slots.fract() < self.cold_slot_open
                && self.cold_slots.floor() > self.last_cold_slot;
            if self.number != request.first_choice && !open {
                return true;
            }
        }
        self.silent_since.is_some_and(|from| request.now - from > request.wait_bound)
            && !self.allows_trial(request)
    }

    /// Guards against being shut out by an old measurement: with nothing heard for as long as the wait
    /// last seen, one set-up goes to measure again; to a silent pool, only after news of it, where there
    /// are probes to bring them. Trials are spread, and those of all fronts together stay a part of what a
    /// pool can do: guards against hundreds of fronts that try a crowded pool at once and so keep it crowded.
    /// Covers any news that reaches all fronts together; a pool that recovers is found later. A pool known
    /// to answer promptly what it does not lose is not crowded and needs no such care: any report that tells
    /// of a short wait is news enough.
    fn allows_trial(&self, request: &RouteRequest) -> bool {
        // Where probes tell no wait, an answered one is all the news that a lossy pool can bring.
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

    /// Bound on its wait for this attach: guards against pools so slow that one set-up takes longer than the
    /// bound of what earns less, which an idle pool would then refuse. `whole` is 0 for what is late already.
    fn max_wait(&self, request: &RouteRequest, full_bound: f64) -> f64 {
        request.wait_bound.max(full_bound.min(ACCEPT_ANY_WAIT * self.min_delay.unwrap_or(0.0)))
    }

    /// The design's predicted wait with the newcomer added; infinite where it must not go.
    fn predicted_wait(&self, request: &RouteRequest) -> f64 {
        if self.is_closed(request) {
            return f64::INFINITY;
        }
        if self.allows_trial(request) {
            return self.min_delay.unwrap_or(0.0).min(request.wait_bound / 2.0);
        }
        // Unheard counts as idle; heard of, but not by an answered set-up, the delay stands for itself.
        let Some(min_delay) = self.min_delay else {
            return self.smoothed_delay;
        };
        // Guards against servers that fall silent (hung, gone, cut off, slowed): a set-up still unanswered is
        // a delay of its age. May close a pool too long where answers come out of order.
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
