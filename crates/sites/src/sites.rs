//! The whole: records, observations, their judging at each beat, and what follows for this front.

use crate::error::SitesError;
use crate::message::{RecordMessage, RelayedObservation, SitesMessage};
use crate::observation::{Observation, Observations, StoredObservation};
use crate::params::SitesParams;
use crate::plan::{plan, AdmissionPlan, Demand, SiteCapacity};
use crate::rates::{RateEstimator, Sample};
use crate::record::{SiteRecord, Stage};
use crate::table::SiteTable;
use crate::votes::Votes;
use serde::{Deserialize, Serialize};
use shalespindle_peers::{FrontId, Peers, Round, State};
use std::collections::{BTreeMap, VecDeque};

/// Beats in which a observation is passed on, each time to `fanout` fronts.
const RELAY_ROUNDS: u8 = 2;
/// Observations of one front come rarer in fleets of more than this: what all fronts take in grows with the fleet.
const FULL_RATE_FLEET_SIZE: f64 = 128.0;
/// Bytes that a message takes at most beside records and observations, a record, and each observation beside its sites and procedures.
const MESSAGE_OVERHEAD_BYTES: usize = 96;
const RECORD_BYTES: usize = 32;
const OBSERVATION_OVERHEAD_BYTES: usize = 40;
/// Messages to one front in one beat at most; what does not fit into them waits for the next.
const MAX_MESSAGES_PER_FRONT: usize = 4;
const SITE_BYTES: usize = 14;
/// AdmissionPlan stay on for so many observations after a site was last full.
const FULL_HOLD_INTERVALS: f64 = 10.0;
/// In one of so many beats those are requested that have not been heard to speak of sites.
const DISCOVERY_INTERVAL: u64 = 4;
/// Changes kept for the host at most.
const MAX_OUTPUTS: usize = 4096;

/// An operator's record on a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// It is lost, whatever fronts see.
    Lost,
    /// Nothing new goes there, from nobody.
    KeepOut,
    /// It may return, step by step.
    Return,
}

/// What this front may no longer do by what the fleet found; nothing is ever let in by it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Restrictions {
    /// Places of sites whose servers this front leaves alone, and whether an operator wants that even where nothing else
    /// is left.
    pub excluded: Vec<(usize, bool)>,
    /// Attaches a second that are taken at this front, by procedure; none: all. Empty: no plan is on.
    pub rate_limits: Vec<Option<f64>>,
    /// Part of each tenant's attaches that is taken whatever the parts say.
    pub floor: f64,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        to: FrontId,
        message: SitesMessage,
    },
    Restrict(Restrictions),
    /// For the log: a site's record changed.
    RecordChanged {
        site: usize,
        from: SiteRecord,
        to: SiteRecord,
        missed: usize,
        outside: usize,
    },
    /// For the log: this front hears too few others, or enough again.
    CutOff(bool),
}

/// VoteTimes when most fronts miss a site, or reach it.
#[derive(Clone, Copy, Debug, Default)]
struct VoteTimes {
    missed: Option<f64>,
    reached: Option<f64>,
}

pub struct Sites {
    pub(crate) params: SitesParams,
    pub(crate) table: SiteTable,
    pub(crate) own: FrontId,
    pub(crate) records: Vec<SiteRecord>,
    since: Vec<VoteTimes>,
    /// The last order given at this front on each site, while it is what this front says.
    own_orders: Vec<Option<SiteRecord>>,
    /// When a site last went a step back, as this front knows it.
    back_at: Vec<f64>,
    pub(crate) held: Vec<SiteCapacity>,
    /// When a site in service was last full.
    full_at: f64,
    pub(crate) observations: Observations,
    rates: RateEstimator,
    beat: u64,
    next_tick_at: f64,
    sample_at: f64,
    pub(crate) cut_off: Option<f64>,
    pub(crate) admission_plan: AdmissionPlan,
    restrictions: Restrictions,
    outputs: VecDeque<Output>,
    /// Where the telling of observations goes on.
    told_to: FrontId,
    round: Round,
    /// Fronts that were heard to speak of sites, and the number of the life in which they were.
    speak: BTreeMap<FrontId, u64>,
    pub(crate) other_tables: u64,
    pub(crate) invalid_messages: u64,
}

impl Sites {
    pub fn new(params: SitesParams, table: SiteTable, own: FrontId, seed: u64, now: f64) -> Sites {
        let held = table
            .sites()
            .iter()
            .map(|s| SiteCapacity { capacity: s.capacity, ..SiteCapacity::default() })
            .collect();
        Sites {
            records: vec![SiteRecord::initial(now); table.len()],
            since: vec![VoteTimes::default(); table.len()],
            own_orders: vec![None; table.len()],
            back_at: vec![f64::NEG_INFINITY; table.len()],
            held,
            full_at: f64::NEG_INFINITY,
            observations: Observations::default(),
            rates: RateEstimator::default(),
            beat: 0,
            next_tick_at: now,
            sample_at: now,
            cut_off: None,
            admission_plan: AdmissionPlan::default(),
            restrictions: Restrictions::default(),
            outputs: VecDeque::new(),
            told_to: FrontId(0),
            round: Round::new(seed),
            speak: BTreeMap::new(),
            other_tables: 0,
            invalid_messages: 0,
            own,
            table,
            params,
        }
    }

    // ---- what is heard ----

    /// What this front sees; the host brings it when [`Sites::next_sample_at`] has come.
    pub fn record_sample(&mut self, now: f64, peers: &Peers, seen: &Sample) {
        self.sample_at = now + self.scaled_observation_interval(peers);
        let (observation, fell) = self.rates.observation(now, seen, &self.table);
        let incarnation = peers.life().number;
        self.observations.take(
            self.own,
            StoredObservation { incarnation, made_at: now, observation, relays_left: RELAY_ROUNDS },
        );
        for site in fell {
            self.fell(now, site);
        }
    }

    /// A server of a returning site fell: one step back, at once, whoever saw it. What is seen within half a step's stay
    /// of that is the same fall: fronts see it one after the other.
    fn fell(&mut self, now: f64, site: usize) {
        let record = self.records[site];
        let Stage::Returning { step } = record.stage else { return };
        if record.is_held(now) || now - self.back_at[site] < self.params.min_step_duration / 2.0 {
            return;
        }
        let back = step.saturating_sub(1);
        self.write(now, site, record.successor(now, Stage::Returning { step: back }), Votes::default());
    }

    /// A message of a front that has been told apart from a stranger by the codec.
    pub fn receive(&mut self, now: f64, peers: &Peers, from: FrontId, message: SitesMessage) {
        let Some(incarnation) = peers.life_of(from) else {
            self.invalid_messages += 1;
            return;
        };
        self.speak.insert(from, incarnation.number);
        if message.table_digest != self.table.digest() {
            self.other_tables += 1;
            return;
        }
        for told in message.records {
            let site = usize::from(told.site);
            let record =
                told.record(now, self.params.max_order_duration).filter(|_| site < self.records.len());
            let Some(record) = record else {
                self.invalid_messages += 1;
                continue;
            };
            let before = self.records[site];
            if self.records[site].merge(&record) {
                self.changed(now, site, before, Votes::default());
                self.say_order_again(now, site, &record);
            }
        }
        for relayed in message.observations {
            self.relayed(now, peers, relayed);
        }
    }

    fn relayed(&mut self, now: f64, peers: &Peers, relayed: RelayedObservation) {
        let front = FrontId(relayed.front);
        let sound = relayed.age.is_finite()
            && relayed.age >= 0.0
            && relayed.observation.is_sound(&self.table, &self.params);
        if !sound {
            self.invalid_messages += 1;
            return;
        }
        if front == self.own || !peers.is_listed(front) {
            return;
        }
        let made_at = now - f64::from(relayed.age);
        self.observations.take(
            front,
            StoredObservation {
                incarnation: relayed.incarnation,
                made_at,
                observation: relayed.observation,
                relays_left: RELAY_ROUNDS,
            },
        );
    }

    /// An operator's record, for the whole fleet.
    pub fn order(&mut self, now: f64, name: &str, order: Order, lasts: f64) -> Result<(), SitesError> {
        let site = self.table.index_of(name)?;
        if !(lasts > 0.0 && lasts <= self.params.max_order_duration) {
            return Err(SitesError::InvalidDuration { most: self.params.max_order_duration });
        }
        if self.cut_off.is_some() {
            return Err(SitesError::CutOff);
        }
        let record = self.records[site];
        let (stage, held_until) = match order {
            Order::Lost => (Stage::Lost, Some(now + lasts)),
            Order::KeepOut => (Stage::KeptOut, Some(now + lasts)),
            Order::Return => (Stage::Returning { step: 0 }, None),
        };
        let next = SiteRecord { held_until, ..record.successor(now, stage) };
        self.write(now, site, next, Votes::default());
        self.own_orders[site] = Some(next);
        Ok(())
    }

    /// Guards an order given at a front that had not heard all records yet, as after its start: a record of before the order
    /// with an epoch as high would undo what the operator was told is done.
    fn say_order_again(&mut self, now: f64, site: usize, heard: &SiteRecord) {
        let Some(order) = self.own_orders[site].take() else { return };
        if heard.since < order.since {
            let again = SiteRecord { held_until: order.held_until, ..heard.successor(now, order.stage) };
            self.write(now, site, again, Votes::default());
            self.own_orders[site] = Some(again);
        }
    }

    fn write(&mut self, now: f64, site: usize, next: SiteRecord, votes: Votes) {
        debug_assert!(next.epoch > self.records[site].epoch);
        self.own_orders[site] = None;
        let from = std::mem::replace(&mut self.records[site], next);
        self.changed(now, site, from, votes);
    }

    fn changed(&mut self, now: f64, site: usize, from: SiteRecord, votes: Votes) {
        let to = self.records[site];
        if let (Stage::Returning { step: before }, Stage::Returning { step }) = (from.stage, to.stage) {
            if step <= before {
                self.back_at[site] = now;
            }
        }
        self.since[site] = VoteTimes::default();
        let (missed, outside) = (votes.missed, votes.outside);
        self.tell(Output::RecordChanged { site, from, to, missed, outside });
        // Told and heeded at once, not at the next beat.
        self.next_tick_at = self.next_tick_at.min(now);
    }

    fn tell(&mut self, out: Output) {
        if self.outputs.len() < MAX_OUTPUTS {
            self.outputs.push_back(out);
        }
    }

    // ---- time ----

    /// When [`Sites::observed`] is wanted.
    pub fn next_sample_at(&self) -> f64 {
        self.sample_at
    }

    /// When [`Sites::tick`] is due.
    pub fn next_tick_at(&self) -> f64 {
        self.next_tick_at
    }

    fn scaled_observation_interval(&self, peers: &Peers) -> f64 {
        let fleet = peers.listed() as f64 + 1.0;
        self.params.observation_interval * (fleet / FULL_RATE_FLEET_SIZE).max(1.0)
    }

    fn scaled_observation_lifetime(&self, peers: &Peers) -> f64 {
        self.params.observation_lifetime * self.scaled_observation_interval(peers)
            / self.params.observation_interval
    }

    /// Judges, plans and tells when it is time to. `bytes` is what one message may fill.
    pub fn tick(&mut self, now: f64, peers: &Peers, fanout: usize, bytes: usize) {
        if now < self.next_tick_at {
            return;
        }
        self.beat += 1;
        self.next_tick_at = now + peers.every();
        let fleet: Vec<FrontId> = peers.fleet().collect();
        self.observations.all.retain(|front, _| fleet.binary_search(front).is_ok());
        self.speak.retain(|front, _| fleet.binary_search(front).is_ok());
        self.hears(now, peers, fleet.len());
        for site in 0..self.table.len() {
            let record = self.records[site];
            if let Some((next, votes)) = self.judged(now, site, &record, peers, &fleet) {
                self.write(now, site, next, votes);
                self.next_tick_at = now + peers.every();
            }
        }
        self.look(now, peers, &fleet);
        self.narrow(now, peers, &fleet);
        self.send(now, peers, &fleet, fanout, bytes);
    }

    /// Whether this front hears more than half of all fronts, itself among them.
    fn hears(&mut self, now: f64, peers: &Peers, fleet: usize) {
        let heard = 1 + peers.all(now).filter(|p| p.1 == State::Alive).count();
        let cut_off = 2 * heard <= fleet;
        if cut_off != self.cut_off.is_some() {
            self.cut_off = cut_off.then_some(now);
            self.tell(Output::CutOff(cut_off));
        }
    }

    pub(crate) fn votes(&self, now: f64, site: usize, peers: &Peers, fleet: &[FrontId]) -> Votes {
        // What a front that is gone saw last says nothing of now.
        let heard =
            |f: FrontId| f == self.own || !matches!(peers.state(f), Some(State::Gone | State::Left) | None);
        let young =
            self.observations.young(now, self.scaled_observation_lifetime(peers)).filter(|(f, _)| heard(*f));
        Votes::of(&self.table, site, fleet, young)
    }

    /// The next record on a site, where it is time for one.
    fn judged(
        &mut self,
        now: f64,
        site: usize,
        record: &SiteRecord,
        peers: &Peers,
        fleet: &[FrontId],
    ) -> Option<(SiteRecord, Votes)> {
        let votes = self.votes(now, site, peers, fleet);
        let has_majority = self.cut_off.is_none();
        let since = &mut self.since[site];
        let hold = |on: bool, since: &mut Option<f64>| {
            *since = on.then(|| since.unwrap_or(now));
            since.map_or(0.0, |since| now - since)
        };
        let missed_for = hold(votes.majority_misses(has_majority), &mut since.missed);
        let reached_for = hold(votes.majority_reaches(has_majority), &mut since.reached);
        let (is_missed, is_reached) = (since.missed.is_some(), since.reached.is_some());
        if record.is_held(now) {
            return None;
        }
        let p = &self.params;
        let lost = || {
            let forgotten = record.stage == Stage::Up && now - record.since > p.forget_after;
            let losses = if forgotten { 1 } else { record.losses.saturating_add(1) };
            SiteRecord { losses, ..record.successor(now, Stage::Lost) }
        };
        let next = match record.stage {
            Stage::Up | Stage::Returning { .. } if is_missed && missed_for >= p.lost_after => lost(),
            Stage::Returning { step } => {
                let last = usize::from(step) + 1 >= p.return_steps.len();
                let stayed = now - record.since >= p.min_step_duration;
                if !stayed || !is_reached || !self.bears_its_step(now, site, peers) {
                    return None;
                }
                record.successor(now, if last { Stage::Up } else { Stage::Returning { step: step + 1 } })
            }
            // An operator's hold has ended: it returns as any lost site does.
            Stage::Lost | Stage::KeptOut if is_reached && reached_for >= self.pause(record.losses) => {
                record.successor(now, Stage::Returning { step: 0 })
            }
            Stage::KeptOut if record.held_until.is_some_and(|until| now >= until) => {
                record.successor(now, Stage::Lost)
            }
            _ => return None,
        };
        Some((next, votes))
    }

    /// How long a lost site must be reached before it returns: longer for one that comes and goes.
    pub(crate) fn pause(&self, losses: u8) -> f64 {
        let doubled = f64::from(losses.saturating_sub(1).min(30));
        (self.params.return_after * doubled.exp2()).min(self.params.max_return_after)
    }

    /// What was let in at this step stands there: none of those who may use the site finds it full.
    fn bears_its_step(&self, now: f64, site: usize, peers: &Peers) -> bool {
        let record = self.records[site];
        let mut users = self
            .observations
            .young(now, self.scaled_observation_lifetime(peers))
            .filter(|(front, _)| self.may_use(site, &record, *front))
            .filter_map(|(_, observation)| observation.sites.get(site).copied());
        !users.any(|s| {
            s.tried > 0 && s.reached == 0 || s.wait_seconds().is_some_and(|w| w >= self.params.busy_wait)
        })
    }

    /// Whether a front may use a site's servers by the record on it.
    pub(crate) fn may_use(&self, site: usize, record: &SiteRecord, front: FrontId) -> bool {
        let home = self.table.site_of_front(front) == Some(site);
        match record.stage {
            Stage::Up => true,
            Stage::KeptOut => false,
            // Its own fronts go by what they see themselves: nobody else can tell whether they reach it. But where an
            // operator said it, the site is lost for them too.
            Stage::Lost => home && record.held_until.is_none(),
            Stage::Returning { step } => {
                home || part_of(front, site)
                    < self.params.return_steps.get(usize::from(step)).copied().unwrap_or(1.0)
            }
        }
    }

    // ---- the plan ----

    /// What all observations together say of what sites bear.
    fn look(&mut self, now: f64, peers: &Peers, fleet: &[FrontId]) {
        let young: Vec<(FrontId, &Observation)> =
            self.observations.young(now, self.scaled_observation_lifetime(peers)).collect();
        if young.is_empty() {
            return;
        }
        let live = self.in_service(peers, fleet).max(young.len());
        // Those that are missing are taken to send as much as the others.
        let scale = live as f64 / young.len() as f64;
        let refusing = self.admission_plan.refuses();
        for (site, held) in self.held.iter_mut().enumerate() {
            let of = || young.iter().filter_map(|(_, s)| s.sites.get(site));
            let established = scale * of().map(|s| s.established_per_second()).sum::<f64>();
            let mut waits: Vec<f64> = of().filter_map(|s| s.wait_seconds()).collect();
            waits.sort_by(f64::total_cmp);
            let wait = waits.get(waits.len() / 2).copied();
            let usable = self.records[site].stage == Stage::Up;
            held.update(established, wait.filter(|_| usable), self.params.busy_wait, refusing && usable);
            if held.busy {
                self.full_at = now;
            }
        }
    }

    fn in_service(&self, peers: &Peers, fleet: &[FrontId]) -> usize {
        let counts =
            |f: &&FrontId| **f == self.own || matches!(peers.state(**f), Some(State::Alive | State::Suspect));
        fleet.iter().filter(counts).count()
    }

    pub(crate) fn demand(&self, now: f64, peers: &Peers, fleet: &[FrontId]) -> Demand {
        let a_second = |s: &Observation| s.requested.iter().map(|h| f64::from(*h) / 100.0).collect();
        let known: Vec<(FrontId, Vec<f64>)> = self
            .observations
            .young(now, self.scaled_observation_lifetime(peers))
            .map(|(f, s)| (f, a_second(s)))
            .collect();
        let missing = self.in_service(peers, fleet).saturating_sub(known.len());
        Demand { known, missing }
    }

    /// Set-ups a second that the sites bear which `without` leaves; none where that is not known of one of them.
    pub(crate) fn capacity(&self, fleet: &[FrontId], without: impl Fn(usize) -> bool) -> Option<f64> {
        let mut all = 0.0;
        for site in (0..self.table.len()).filter(|s| !without(*s)) {
            let capacity = self.held[site].capacity?;
            all += match self.records[site].stage {
                Stage::Up => capacity,
                Stage::Lost | Stage::KeptOut => 0.0,
                Stage::Returning { .. } => {
                    let may = fleet.iter().filter(|f| self.may_use(site, &self.records[site], **f)).count();
                    capacity * may as f64 / fleet.len().max(1) as f64
                }
            };
        }
        Some(self.params.capacity_margin * all)
    }

    fn narrow(&mut self, now: f64, peers: &Peers, fleet: &[FrontId]) {
        // A front alone keeps its own unaided part: what it was told before it was cut off is old, but for what an
        // operator wants.
        let alone = self.cut_off.is_some_and(|since| now - since >= self.params.lost_after);
        let mut restrictions = Restrictions { floor: self.params.floor, ..Restrictions::default() };
        for (site, record) in self.records.iter().enumerate() {
            let firm = record.is_held(now);
            if (!alone || firm) && !self.may_use(site, record, self.own) {
                restrictions.excluded.push((site, firm));
            }
        }
        let on = !alone && self.records.iter().any(|w| w.stage != Stage::Up);
        // Only while a site that is left is full by what its servers tell: refusing ahead of that, by what is believed of
        // them, cost more than it saved (docs/design-notes/sites.md); short of it the module's own bound refuses.
        let full = now - self.full_at <= FULL_HOLD_INTERVALS * self.scaled_observation_interval(peers);
        let capacity = self.capacity(fleet, |_| false).filter(|_| on && full && self.params.enforce_plan);
        self.admission_plan = match capacity {
            Some(capacity) => {
                let demand = self.demand(now, peers, fleet).total_by_class(self.params.classes.len());
                plan(&self.params.classes, self.params.floor, capacity, &demand)
            }
            None => AdmissionPlan::default(),
        };
        if self.admission_plan.refuses() {
            let own = self.observations.all.get(&self.own).map(|k| &k.observation);
            let requested =
                |c: usize| own.and_then(|s| s.requested.get(c)).map_or(0.0, |h| f64::from(*h) / 100.0);
            let part = |(c, share): (usize, &f64)| (*share < 1.0).then(|| share * requested(c));
            restrictions.rate_limits = self.admission_plan.shares.iter().enumerate().map(part).collect();
        }
        if restrictions != self.restrictions {
            self.restrictions = restrictions.clone();
            self.tell(Output::Restrict(restrictions));
        }
    }

    // ---- what it tells ----

    fn send(&mut self, now: f64, peers: &Peers, fleet: &[FrontId], fanout: usize, bytes: usize) {
        let table = self.table.digest();
        let told = |(site, record): (usize, &SiteRecord)| {
            (record.epoch > 0).then(|| RecordMessage::of(site, now, record))
        };
        let records: Vec<RecordMessage> = self.records.iter().enumerate().filter_map(told).collect();
        let room = OBSERVATION_OVERHEAD_BYTES + SITE_BYTES * self.table.len() + 5 * self.params.classes.len();
        let left = bytes.saturating_sub(MESSAGE_OVERHEAD_BYTES + RECORD_BYTES * records.len());
        let most = (left / room).max(1);
        let mut observations = Vec::new();
        // From where the last beat stopped on, so that none waits for ever.
        let after = std::mem::replace(&mut self.told_to, FrontId(0));
        let (first, then) = (self.observations.all.range(after..), self.observations.all.range(..after));
        let order: Vec<FrontId> =
            first.chain(then).filter(|(_, k)| k.relays_left > 0).map(|(f, _)| *f).collect();
        for front in order {
            if observations.len() == most * MAX_MESSAGES_PER_FRONT {
                self.told_to = front;
                break;
            }
            let Some(kept) = self.observations.all.get_mut(&front) else { continue };
            kept.relays_left -= 1;
            let age = (now - kept.made_at).max(0.0) as f32;
            observations.push(RelayedObservation {
                front: front.0,
                incarnation: kept.incarnation,
                age,
                observation: kept.observation.clone(),
            });
        }
        let mut messages: Vec<SitesMessage> = observations
            .chunks(most)
            .map(|some| SitesMessage {
                table_digest: table,
                records: records.clone(),
                observations: some.to_vec(),
            })
            .collect();
        if messages.is_empty() {
            messages.push(SitesMessage { table_digest: table, records, observations: Vec::new() });
        }
        // A front of an earlier version would drop it: it is requested with an empty one now and then whether it speaks.
        let empty = SitesMessage { table_digest: table, ..SitesMessage::default() };
        let asks = self.beat % DISCOVERY_INTERVAL == 1;
        let others: Vec<FrontId> = fleet.iter().copied().filter(|f| *f != self.own).collect();
        for to in self.round.next(fanout, &others) {
            let of = |life: &u64| peers.life_of(to).is_none_or(|l| l.number == *life);
            if self.speak.get(&to).is_some_and(of) {
                messages.iter().for_each(|message| self.tell(Output::Send { to, message: message.clone() }));
            } else if asks {
                self.tell(Output::Send { to, message: empty.clone() });
            }
        }
    }

    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    // ---- what is requested of it ----

    pub fn table(&self) -> &SiteTable {
        &self.table
    }

    pub fn record(&self, site: usize) -> &SiteRecord {
        &self.records[site]
    }

    pub fn admission_plan(&self) -> &AdmissionPlan {
        &self.admission_plan
    }

    pub fn restrictions(&self) -> &Restrictions {
        &self.restrictions
    }
}

/// Where a front stands in the order in which fronts are let back to a site: 0 to 1, the same on all fronts.
fn part_of(front: FrontId, site: usize) -> f64 {
    // SplitMix64's last step: mixes two numbers well and has no state.
    let mut x = front.0 ^ (site as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
