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
const BOUND: f64 = 0.3;
/// Delays are told apart only up to here, in bounds.
const FAR_TOO_LONG: f64 = 3.0;
/// A set-up is taken for lost when one sent so much later, in bounds, was answered by the same pool.
const OVERTAKEN: f64 = 0.25;
/// Pause named to a refused caller, in bounds.
const PAUSE: f64 = 0.5;
/// Utilisation added by each own unanswered set-up and by the newcomer (design).
const STEP: f64 = 0.01;
/// Time between two probes of a pool (design).
const PROBE_PERIOD: f64 = 1.0;
/// Smoothed delay, in bounds, from which a pool has no room to be probed each second.
const PRESSED: f64 = 0.25;
/// Time between the first probes of a pool not heard of before; it may be small, and all fronts start as one.
const FIRST_PROBES: f64 = 8.0 * PROBE_PERIOD;
/// Longest time between two probes of a pool that stays so, if its trials are not more frequent.
const RAREST_PROBE: f64 = 16.0 * PROBE_PERIOD;
/// Share of the smoothed delay that a new measurement replaces.
const SMOOTHING: f64 = 0.5;
/// Hosts may round times to microseconds: a wait is lengthened by so much that it never ends early.
const CLOCK_GRAIN: f64 = 2e-6;
/// Part of what would push a cold pool over that this front allows itself.
const COLD_SHARE: f64 = 0.8;
/// The least part, of its own by a pool's size, that a front counts on where no more was borne.
const COLD_LEAST: f64 = 0.25;
/// Age, in its own delay, from which a measurement is stale: that part of the queue it saw has passed.
const STALE: f64 = 0.6;
/// Share of this front's part of the set-ups, by the pool's size, that may go there as trials.
const TRIAL_SHARE: f64 = 1.0 / 3.0;
/// A pool has room for any attach while its predicted wait is less than so many least delays.
const ROOM: f64 = 3.0;
/// Set-ups that can be saved up for a cold pool; below two, so that never two go at once.
const COLD_SAVED: f64 = 1.5;
/// Part of the window in which a cold pool falls for which a turn of attaches with another first choice
/// is open.
const COLD_TURN: f64 = 0.5;

/// What this front knows of one pool.
struct Pool {
    name: PoolId,
    number: u16,
    started: f64,
    /// Last told to be in service.
    ready: bool,
    free_agents: Option<f64>,
    /// All its agents; 0 where it never told.
    agents: f64,
    /// It reports its processor's wait, so its own figure replaces delays measured from here.
    reports: bool,
    /// Least delay of an answered set-up, the network included.
    least: Option<f64>,
    smoothed: f64,
    /// When it was last measured.
    measured_at: f64,
    /// Set-ups sent and not ended, oldest first: attach, when sent.
    unanswered: VecDeque<(UeId, f64)>,
    /// When the first set-up was sent of those after the last that the pool answered.
    silent_from: Option<f64>,
    /// When the set-up was sent that was answered last.
    answered_to: f64,
    /// Set-ups sent after that one.
    misses: u32,
    /// It lately answered promptly after it had left an earlier set-up unanswered.
    lossy: bool,
    /// When a set-up was last sent.
    last_sent: f64,
    /// No trial before.
    trial_due: f64,
    /// When a probe was last answered.
    probe_answered: f64,
    probe_due: f64,
    /// When it was last probed.
    probed_at: f64,
    /// Time between the last probe and the next.
    probe_gap: f64,
    /// Attaches that stood there, smoothed over `warm_after`, as of `stood_at`.
    stood: f64,
    stood_at: f64,
    /// Set-ups a second that this front brought to it when last in service, or to its predecessor.
    part: Option<f64>,
    /// A token bucket. Begun anywhere below one set-up: guards against hundreds of fronts none of which has
    /// saved up a whole one by the time the pool is warm, or all at once. Their sum is the same from the
    /// first second on.
    cold_tokens: f64,
    cold_tokens_at: f64,
    /// Turns of attaches with another first choice so far, each open for a moment, and the last one used.
    /// Begins anywhere below one.
    cold_turns: f64,
    cold_turn_used: f64,
    /// How much of a turn is open.
    cold_open: f64,
}

struct Attach {
    ue: UeId,
    procedure: usize,
    first_choice: u16,
    number: u64,
    /// When its caller first asked, as far as this front knows.
    asked_at: f64,
    gives_up_at: f64,
    tries: u32,
    /// The pool of the last try, avoided by the next.
    last_pool: Option<usize>,
    /// A setup try is out.
    out: bool,
    /// That one has been cancelled.
    cancelled: bool,
    /// No setup try may go before: the release guard of the last one.
    not_before: f64,
}

pub struct Control {
    deployment: Deployment,
    /// Predicted wait below which a set-up goes out; far below any T-timer.
    bound: f64,
    rng: ChaCha8Rng,
    pools: Vec<Pool>,
    attaches: Slab<Attach>,
    by_ue: HashMap<UeId, usize>,
    undecided: VecDeque<UeId>,
    /// Attaches that wait out the release guard, in order of when it ends.
    waiting: VecDeque<(f64, UeId)>,
    /// Attaches whose setup try was overtaken by an answer, to be cancelled.
    overtaken: VecDeque<UeId>,
    /// Earliest wake-up asked of the host and still to come.
    wake_at: f64,
    started: f64,
    /// Callers who went away unserved and may dial again: number called, when they first asked.
    unserved: HashMap<u64, f64>,
    /// The same in order of when they went, to be forgotten after the T-timer.
    unserved_order: VecDeque<(f64, u64)>,
    /// Longest time that a caller has been seen to wait, and when this front last had its turn.
    patience: f64,
    last_turn: f64,
    /// Smoothed count of arrivals within `warm_after`, and when it was last brought up to date.
    arrivals: f64,
    arrivals_at: f64,
}

impl Control {
    pub fn new(seed: u64, deployment: Deployment, now: f64) -> Control {
        let targets = deployment.procedures.iter().map(|p| p.latency_target);
        Control {
            bound: BOUND * targets.fold(f64::INFINITY, f64::min),
            deployment,
            rng: ChaCha8Rng::seed_from_u64(seed),
            pools: Vec::new(),
            attaches: Slab::new(),
            by_ue: HashMap::new(),
            undecided: VecDeque::new(),
            waiting: VecDeque::new(),
            overtaken: VecDeque::new(),
            wake_at: f64::INFINITY,
            started: now,
            unserved: HashMap::new(),
            unserved_order: VecDeque::new(),
            patience: 0.0,
            last_turn: now,
            arrivals: 0.0,
            arrivals_at: now,
        }
    }

    // ---- bookkeeping: what the host reports ----

    /// News of the list: all of it (`whole`), or the entries that changed.
    pub fn pools_listed(&mut self, now: f64, entries: &[PoolEntry], whole: bool) {
        if whole {
            for place in 0..self.pools.len() {
                if !entries.iter().any(|e| e.id == self.pools[place].name) {
                    self.out_of_service(now, place);
                }
            }
        }
        for entry in entries {
            let part = self.part_of_predecessor(now, entry.number);
            let known = self.pools.iter().position(|p| p.name == entry.id);
            if known.is_none() && !entry.ready {
                continue;
            }
            let place = known.unwrap_or_else(|| self.place_for(now, entry, part));
            if !entry.ready {
                self.out_of_service(now, place);
            }
            let pool = &mut self.pools[place];
            if entry.started > pool.started {
                // A new processor: what was measured of the old one says nothing of it.
                let (unanswered, probe_due) = (std::mem::take(&mut pool.unanswered), pool.probe_due);
                *pool = Pool { unanswered, part, ..Pool::unheard(entry, probe_due, self.rng.random()) };
            }
            if entry.ready && !pool.ready {
                pool.cold_tokens_at = now;
            }
            pool.ready = entry.ready;
        }
    }

    /// A place for a pool not heard of before: that of a predecessor out of service, else a new one.
    fn place_for(&mut self, now: f64, entry: &PoolEntry, part: Option<f64>) -> usize {
        let probe_due = now + self.rng.random::<f64>() * FIRST_PROBES;
        let pool = Pool { part, ..Pool::unheard(entry, probe_due, self.rng.random()) };
        let free = |p: &Pool| !p.ready && p.number == entry.number && p.unanswered.is_empty();
        if let Some(place) = self.pools.iter().position(free) {
            self.pools[place] = pool;
            return place;
        }
        self.pools.push(pool);
        self.pools.len() - 1
    }

    fn out_of_service(&mut self, now: f64, place: usize) {
        self.pools[place].part = self.part(now, &self.pools[place]);
        self.pools[place].ready = false;
    }

    pub fn attach_arrived(&mut self, now: f64, new: NewAttach) {
        let timer = self.deployment.procedures.iter().fold(0.0, |longest: f64, p| longest.max(p.t_timer));
        while self.unserved_order.front().is_some_and(|u| now - u.0 > timer) {
            let number = self.unserved_order.pop_front().map(|u| u.1);
            number.map(|n| self.unserved.remove(&n));
        }
        let left = new.gives_up_at - now;
        self.patience = self.patience.max(left);
        // Guards against a front held up that takes for fresh what came long ago.
        let held = (self.patience - left).min(now - self.last_turn);
        let redial = self.unserved.get(&new.called_number).copied();
        if redial.is_none() {
            let span = self.deployment.cold.warm_after;
            self.arrivals = 1.0 + self.arrivals * (-(now - self.arrivals_at) / span).exp();
            self.arrivals_at = now;
        }
        let key = self.attaches.insert(Attach {
            ue: new.ue,
            procedure: new.procedure,
            first_choice: new.first_choice,
            number: new.called_number,
            asked_at: redial.unwrap_or(now - held),
            gives_up_at: new.gives_up_at,
            tries: 0,
            last_pool: None,
            out: false,
            cancelled: false,
            not_before: now,
        });
        self.by_ue.insert(new.ue, key);
        self.undecided.push_back(new.ue);
    }

    pub fn attach_established(&mut self, now: f64, ue: UeId, pool: PoolId, delay: f64) {
        self.forget(ue);
        let delay = delay.max(CLOCK_GRAIN);
        let limit = FAR_TOO_LONG * self.bound;
        if let Some(pool) = self.pools.iter_mut().find(|p| p.name == pool) {
            let sent = pool.ended(ue);
            let span = self.deployment.cold.warm_after;
            pool.stood = 1.0 + pool.stood * ((pool.stood_at - now) / span).exp();
            pool.stood_at = now;
            if !pool.reports {
                pool.measured(now, delay, limit);
            }
            pool.least = Some(pool.least.map_or(delay, |l| l.min(delay)));
            let missed = pool.answered(sent);
            if missed > 0 || delay > self.bound {
                pool.lossy = delay <= self.bound;
            }
            if let (Some(sent), true) = (sent, self.deployment.may_cancel) {
                let lost = pool.unanswered.iter().filter(|u| u.1 + OVERTAKEN * self.bound < sent);
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
        ended: EndReason,
        finished: bool,
        report: Report,
    ) {
        let limit = FAR_TOO_LONG * self.bound;
        if let Some(pool) = self.pools.iter_mut().find(|p| p.name == pool) {
            let sent = pool.ended(ue);
            pool.reported(now, report, limit);
            match ended {
                EndReason::Rejected => {
                    pool.answered(sent);
                }
                // No measure of the processor: the pool is skipped until it tells of free agents.
                EndReason::NoAgent => {
                    pool.answered(sent);
                    pool.free_agents = Some(0.0);
                }
                EndReason::Throttled { wait } => {
                    pool.measured(now, wait.unwrap_or(limit), limit);
                    pool.answered(sent);
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
            self.forget(ue);
        }
        let Some(&key) = self.by_ue.get(&ue) else { return };
        let attach = &mut self.attaches[key];
        if !std::mem::take(&mut attach.out) {
            return;
        }
        if matches!(ended, EndReason::TimedOut | EndReason::Cut | EndReason::Cancelled) {
            attach.not_before = now + self.deployment.release_guard + CLOCK_GRAIN;
            if attach.not_before < attach.gives_up_at {
                self.waiting.push_back((attach.not_before, ue));
                return;
            }
        }
        self.undecided.push_back(ue);
    }

    pub fn client_left(&mut self, now: f64, ue: UeId) {
        self.unserved(now, ue);
    }

    /// A pool was heard of outside a set-up; `probed` tells that it answered a probe.
    pub fn pool_reported(&mut self, now: f64, pool: PoolId, probed: bool, report: Report) {
        let limit = FAR_TOO_LONG * self.bound;
        let Some(pool) = self.pools.iter_mut().find(|p| p.name == pool) else {
            return;
        };
        pool.reported(now, report, limit);
        if probed {
            pool.probe_answered = now;
        }
    }

    pub fn wake(&mut self, now: f64) {
        if now >= self.wake_at {
            self.wake_at = f64::INFINITY;
        }
    }

    /// The attach ends without standing; its caller may dial again.
    fn unserved(&mut self, now: f64, ue: UeId) {
        let Some(&key) = self.by_ue.get(&ue) else { return };
        let Attach { number, asked_at, .. } = self.attaches[key];
        if number != 0 && self.unserved.insert(number, asked_at).is_none() {
            self.unserved_order.push_back((now, number));
        }
        self.forget(ue);
    }

    fn forget(&mut self, ue: UeId) {
        if let Some(key) = self.by_ue.remove(&ue) {
            self.attaches.remove(key);
        }
    }

    // ---- decisions: what the host pulls ----

    pub fn next_decision(&mut self, now: f64) -> Option<Decision> {
        while self.waiting.front().is_some_and(|w| w.0 <= now) {
            self.undecided.extend(self.waiting.pop_front().map(|w| w.1));
        }
        while let Some(ue) = self.overtaken.pop_front() {
            // Guards against set-ups that are lost on the way: waiting on for them is in vain.
            let Some(&key) = self.by_ue.get(&ue) else { continue };
            let attach = &mut self.attaches[key];
            if attach.out && !std::mem::replace(&mut attach.cancelled, true) {
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
            if let Some(place) = self.pools.iter().position(|p| p.ready && p.probe_due <= now) {
                let rarest = (1.0 / self.trials(now, place)).min(RAREST_PROBE);
                let pool = &mut self.pools[place];
                // Guards against probes that take what a pool has left, or keep it crowded: what one front
                // asks each second, hundreds do. Covers silent and lost pools; finds a recovery later.
                let answered = pool.probe_answered >= pool.probed_at;
                let pressed = !answered || pool.smoothed > PRESSED * self.bound;
                pool.probed_at = now;
                pool.probe_gap = if pressed { 2.0 * pool.probe_gap } else { pool.probe_gap / 2.0 }
                    .clamp(PROBE_PERIOD, rarest.max(PROBE_PERIOD));
                // Rare ones are spread: guards against hundreds of fronts that find a pool well together.
                let spread = if pool.probe_gap > PROBE_PERIOD { 0.5 + self.rng.random::<f64>() } else { 1.0 };
                pool.probe_due = now + spread * pool.probe_gap;
                return Some(Decision::Probe { pool: pool.name });
            }
        }
        let probes = self.pools.iter().filter(|p| p.ready && self.deployment.may_probe).map(|p| p.probe_due);
        let next = probes.chain(self.waiting.front().map(|w| w.0)).fold(f64::INFINITY, f64::min);
        if next < self.wake_at {
            self.wake_at = next;
            return Some(Decision::Wake { after: next - now + CLOCK_GRAIN });
        }
        self.last_turn = now;
        None
    }

    fn decide(&mut self, now: f64, key: usize) -> Decision {
        let attach = &self.attaches[key];
        let ue = attach.ue;
        let left = attach.gives_up_at - now;
        let unknown = attach.procedure >= self.deployment.procedures.len();
        if unknown || left <= 0.0 || now < attach.not_before || attach.tries >= self.deployment.max_tries {
            self.unserved(now, ue);
            return Decision::Abort { ue };
        }
        let Some(place) = self.route(now, key) else {
            self.unserved(now, ue);
            return Decision::Refuse { ue, pause: (PAUSE * self.bound).min(self.deployment.max_pause) };
        };
        let trials = self.trials(now, place);
        let spread = 0.5 + self.rng.random::<f64>();
        let attach = &mut self.attaches[key];
        let target = self.deployment.procedures[attach.procedure].latency_target;
        attach.tries += 1;
        attach.last_pool = Some(place);
        attach.out = true;
        attach.cancelled = false;
        let pool = &mut self.pools[place];
        pool.unanswered.push_back((ue, now));
        pool.silent_from.get_or_insert(now);
        pool.misses += 1;
        pool.last_sent = now;
        pool.trial_due = now + spread / trials;
        if pool.warmth(now, &self.deployment.cold) < 1.0 {
            pool.cold_tokens -= 1.0;
            pool.cold_turn_used = pool.cold_turns.floor();
        }
        // Guards against single lost set-ups or answers: where they are known, time is left for another try.
        let again = attach.asked_at + target - now - self.deployment.release_guard - self.bound;
        let timeout = if pool.lossy && again > self.bound { again } else { target };
        Decision::SetUp { ue, pool: pool.name, timeout: timeout.min(left) }
    }

    /// The design's route: the first choice while under the bound, else the lower wait of two others.
    fn route(&mut self, now: f64, key: usize) -> Option<usize> {
        let attach = &self.attaches[key];
        let allowed = &self.deployment.procedures[attach.procedure].pools;
        let (first, last) = (attach.first_choice, attach.last_pool);
        // Over all pools known: the fall of others does not make a cold one able to bear their part.
        let ready = self.pools.iter().filter(|p| p.ready).count() as f64;
        let even_part = self.even_part(now) * ready / self.pools.len().max(1) as f64;
        let worth = self.worth(attach, now);
        let whole = if self.late(attach, now) { 0.0 } else { self.bound };
        let asking = Asking { now, first, worth, bound: self.bound * worth, deployment: &self.deployment };
        let mut drawn = [None; 2];
        let mut seen = 0;
        for place in 0..self.pools.len() {
            let cold = self.pools[place].warmth(now, &self.deployment.cold) < 1.0;
            let size = if cold { self.size(place) } else { 1.0 };
            let pool = &mut self.pools[place];
            let usable = pool.ready && allowed.contains(&pool.number) && pool.free_agents != Some(0.0);
            if !usable || last == Some(place) {
                continue;
            }
            pool.refill(now, even_part * size, &self.deployment.cold);
            if pool.number == first {
                if pool.wait(&asking) < pool.bound(&asking, whole) {
                    return Some(place);
                }
            } else if !pool.closed(&asking) {
                // Each of those seen so far has the same chance to be one of the two drawn.
                let slot = if seen < 2 { seen } else { self.rng.random_range(0..=seen) };
                if slot < 2 {
                    drawn[slot] = Some(place);
                }
                seen += 1;
            }
        }
        let mut best = None;
        let mut least = f64::INFINITY;
        for place in drawn.into_iter().flatten() {
            let wait = self.pools[place].wait(&asking);
            if wait < least.min(self.pools[place].bound(&asking, whole)) {
                (best, least) = (Some(place), wait);
            }
        }
        best
    }

    /// What the attach would earn now, were it set up at the bound, as a share of the highest utility.
    fn worth(&self, attach: &Attach, now: f64) -> f64 {
        let procedure = &self.deployment.procedures[attach.procedure];
        let top = self.deployment.procedures.iter().fold(0.0, |top: f64, p| top.max(p.utility));
        procedure.utility / top * if self.late(attach, now) { procedure.late_share } else { 1.0 }
    }

    /// It can no longer stand within its latency target.
    fn late(&self, attach: &Attach, now: f64) -> bool {
        now + self.bound - attach.asked_at > self.deployment.procedures[attach.procedure].latency_target
    }

    /// Counts smoothed over `warm_after` become rates when divided by this.
    fn span_seen(&self, now: f64) -> f64 {
        let span = self.deployment.cold.warm_after;
        span * (1.0 - ((self.started - now) / span).exp()).max(1.0 / span)
    }

    /// What this front brought to the processor that a new one replaces; none where none was known.
    fn part_of_predecessor(&self, now: f64, number: u16) -> Option<f64> {
        let same = self.pools.iter().filter(|p| p.number == number);
        same.filter_map(|p| self.part(now, p)).max_by(f64::total_cmp)
    }

    /// Set-ups a second that stand at a pool through this front; for one out of service or cold, as it was.
    fn part(&self, now: f64, pool: &Pool) -> Option<f64> {
        let cold = &self.deployment.cold;
        if !pool.ready || pool.warmth(now, cold) < 1.0 {
            return pool.part;
        }
        Some(pool.stood * ((pool.stood_at - now) / cold.warm_after).exp() / self.span_seen(now))
    }

    /// Set-ups a second that this front may send to a pool to measure it.
    fn trials(&self, now: f64, place: usize) -> f64 {
        TRIAL_SHARE * self.even_part(now) * self.size(place)
    }

    /// Size of a pool against the mean of those in service, by their agents; 1 where some have not told.
    /// Guards small pools against trials by an even part, which alone can keep them crowded.
    fn size(&self, place: usize) -> f64 {
        let ready = || self.pools.iter().filter(|p| p.ready);
        let (all, least) = ready().fold((0.0, f64::INFINITY), |(a, l), p| (a + p.agents, p.agents.min(l)));
        if least > 0.0 {
            self.pools[place].agents * ready().count() as f64 / all
        } else {
            1.0
        }
    }

    /// This front's even part of what callers ask, a second, for each pool in service.
    fn even_part(&self, now: f64) -> f64 {
        let ready = self.pools.iter().filter(|p| p.ready).count().max(1) as f64;
        let span = self.deployment.cold.warm_after;
        self.arrivals * ((self.arrivals_at - now) / span).exp() / self.span_seen(now) / ready
    }
}

/// An attach that asks for a pool: what it is worth now, and the bound on its wait.
struct Asking<'a> {
    now: f64,
    first: u16,
    worth: f64,
    bound: f64,
    deployment: &'a Deployment,
}

impl Pool {
    fn unheard(entry: &PoolEntry, probe_due: f64, cold_tokens: f64) -> Pool {
        Pool {
            name: entry.id,
            number: entry.number,
            started: entry.started,
            ready: false,
            free_agents: None,
            agents: 0.0,
            reports: false,
            least: None,
            smoothed: 0.0,
            measured_at: f64::NEG_INFINITY,
            unanswered: VecDeque::new(),
            silent_from: None,
            answered_to: f64::NEG_INFINITY,
            misses: 0,
            lossy: false,
            last_sent: f64::NEG_INFINITY,
            trial_due: f64::NEG_INFINITY,
            probe_answered: f64::NEG_INFINITY,
            probe_due,
            probed_at: f64::NEG_INFINITY,
            probe_gap: FIRST_PROBES,
            stood: 0.0,
            stood_at: 0.0,
            part: None,
            cold_tokens,
            cold_tokens_at: 0.0,
            cold_turns: cold_tokens,
            cold_turn_used: 0.0,
            cold_open: 0.0,
        }
    }

    /// A stale measurement is replaced, not smoothed: most of the queue of that
    /// length has passed since.
    /// Guards against absurd figures and slow forgetting: past `limit` a delay only says 'far too long'. Also
    /// for reports frozen high and for queues long gone; where all pools are far too long it hides the least.
    fn measured(&mut self, now: f64, delay: f64, limit: f64) {
        let delay = delay.min(limit);
        let weight = if self.stale(now) { 1.0 } else { SMOOTHING };
        self.smoothed += weight * (delay - self.smoothed);
        self.measured_at = now;
    }

    fn stale(&self, now: f64) -> bool {
        now - self.measured_at > STALE * self.smoothed
    }

    fn reported(&mut self, now: f64, report: Report, limit: f64) {
        if report.free_agents.is_some() {
            self.free_agents = report.free_agents;
        }
        self.agents = report.agents.unwrap_or(self.agents);
        if let Some(wait) = report.wait {
            self.reports = true;
            self.measured(now, self.least.unwrap_or(0.0) + wait, limit);
        }
    }

    /// Takes a set-up off the unanswered ones; returns when it was sent.
    fn ended(&mut self, ue: UeId) -> Option<f64> {
        let place = self.unanswered.iter().position(|u| u.0 == ue)?;
        self.unanswered.remove(place).map(|u| u.1)
    }

    /// The processor has answered the set-up sent then: silence counts only from later ones.
    /// Returns how many before it were not.
    fn answered(&mut self, sent: Option<f64>) -> usize {
        let Some(sent) = sent.filter(|&s| s > self.answered_to) else {
            return 0;
        };
        self.answered_to = sent;
        let (first, after) = (self.in_line().next().copied(), self.in_line().count());
        let missed = (self.misses as usize).saturating_sub(after + 1);
        self.silent_from = first;
        self.misses = after as u32;
        missed
    }

    /// Unanswered set-ups that no answer has overtaken: guards against set-ups or answers that are lost on
    /// the way while the pool works on. Wrong for a pool that answers out of order on purpose.
    fn in_line(&self) -> impl Iterator<Item = &f64> {
        self.unanswered.iter().map(|u| &u.1).filter(|&&sent| sent > self.answered_to)
    }

    /// Share of its full capacity that the processor is sure to have.
    fn warmth(&self, now: f64, cold: &ColdStart) -> f64 {
        let age = ((now - self.started) / cold.warm_after).min(1.0);
        if self.started <= 0.0 {
            return 1.0;
        }
        cold.start_capacity + (1.0 - cold.start_capacity) * age
    }

    /// Guards rule 4: a cold processor gets no more than this front's even share of what it can do.
    fn refill(&mut self, now: f64, even_part: f64, cold: &ColdStart) {
        // Little where its predecessor bore next to nothing or none is known.
        let borne = self.part.unwrap_or(0.0) * cold.overload_multiple * COLD_SHARE;
        let rate = borne.max(COLD_LEAST * even_part);
        let grown = rate * self.warmth(now, cold) * (now - self.cold_tokens_at).max(0.0);
        self.cold_tokens = (self.cold_tokens + grown).min(COLD_SAVED);
        self.cold_turns += grown;
        self.cold_open = rate * self.warmth(now, cold) * COLD_TURN * cold.overload_window;
        self.cold_tokens_at = now;
    }

    /// Whether silence or an empty cold budget keeps the attach away. Such a pool is skipped like one
    /// without free agents, so that it does not use up one of the two draws.
    fn closed(&self, asking: &Asking) -> bool {
        if self.warmth(asking.now, &asking.deployment.cold) < 1.0 {
            // The less it is worth the more must be saved up: the budget must not go to late redials first.
            let needed = 1.0 + (COLD_SAVED - 1.0) * (1.0 - asking.worth);
            if self.cold_tokens < needed || self.in_line().next().is_some() {
                return true;
            }
            // Guards against what hundreds of fronts have saved up there while it was nobody's choice, and
            // spend in one moment when their first choices fall. Leaves out callers who all name it at once.
            let open =
                self.cold_turns.fract() < self.cold_open && self.cold_turns.floor() > self.cold_turn_used;
            if self.number != asking.first && !open {
                return true;
            }
        }
        self.silent_from.is_some_and(|from| asking.now - from > asking.bound) && !self.trial(asking)
    }

    /// Guards against being shut out by an old measurement: with nothing heard for as long as the wait
    /// last seen, one set-up goes to measure again; to a silent pool, only after news of it, where there
    /// are probes to bring them. Trials are spread, and those of all fronts together stay a part of what a
    /// pool can do: guards against hundreds of fronts that try a crowded pool at once and so keep it crowded.
    /// Covers any news that reaches all fronts together; a pool that recovers is found later. A pool known
    /// to answer promptly what it does not lose is not crowded and needs no such care: any report that tells
    /// of a short wait is news enough.
    fn trial(&self, asking: &Asking) -> bool {
        // Where probes tell no wait, an answered one is all the news that a lossy pool can bring.
        let told = if self.lossy { self.measured_at } else { f64::NEG_INFINITY };
        let heard = self.probe_answered.max(told);
        let alive = !asking.deployment.may_probe || heard > self.last_sent;
        let doubled = asking.bound * f64::from(1 << self.misses.min(4)) / 2.0;
        let gap = if self.lossy { doubled } else { PROBE_PERIOD };
        let clear = self.lossy || self.in_line().next().is_none();
        let rested = clear && alive && asking.now - self.last_sent > gap;
        let due = self.stale(asking.now) && (self.lossy || asking.now > self.trial_due);
        let prompt = self.lossy && self.smoothed < asking.bound;
        due && self.misses == 0 || (due || prompt) && rested
    }

    /// Bound on its wait for this attach: guards against pools so slow that one set-up takes longer than the
    /// bound of what earns less, which an idle pool would then refuse. `whole` is 0 for what is late already.
    fn bound(&self, asking: &Asking, whole: f64) -> f64 {
        asking.bound.max(whole.min(ROOM * self.least.unwrap_or(0.0)))
    }

    /// The design's predicted wait with the newcomer added; infinite where it must not go.
    fn wait(&self, asking: &Asking) -> f64 {
        if self.closed(asking) {
            return f64::INFINITY;
        }
        if self.trial(asking) {
            return self.least.unwrap_or(0.0).min(asking.bound / 2.0);
        }
        // Unheard counts as idle; heard of, but not by an answered set-up, the delay stands for itself.
        let Some(least) = self.least else {
            return self.smoothed;
        };
        // Guards against servers that fall silent (hung, gone, cut off, slowed): a set-up still unanswered is
        // a delay of its age. May close a pool too long where answers come out of order.
        let silence = self.silent_from.map_or(0.0, |from| asking.now - from);
        let delay = self.smoothed.max(least).max(silence);
        let utilisation = 1.0 - least / delay + STEP * (self.in_line().count() + 1) as f64;
        if utilisation >= 1.0 {
            return f64::INFINITY;
        }
        least / (1.0 - utilisation)
    }
}
