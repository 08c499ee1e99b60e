//! The state machine: the records of all sites, their evaluation at each tick and the restrictions of this
//! front.

use crate::error::SitesError;
use crate::message::{RecordMessage, RelayedObservation, SitesMessage};
use crate::observation::{Observation, Observations, StoredObservation};
use crate::output::{Order, Output, Restrictions};
use crate::params::SitesParams;
use crate::plan::{plan_admission, AdmissionPlan, Demand, SiteCapacity};
use crate::rates::{RateEstimator, Sample};
use crate::record::{return_rank, SiteRecord, Stage};
use crate::table::SiteTable;
use crate::votes::{VoteTimes, Votes};
use shalespindle_peers::{FrontId, Peers, Round, State};
use std::collections::{BTreeMap, VecDeque};

/// Number of ticks in which an observation is relayed, each time to `fanout` fronts.
const RELAY_ROUNDS: u8 = 2;
/// In larger fleets than this, each front makes observations less often, so that the traffic that a front
/// receives does not grow with the fleet.
const FULL_RATE_FLEET_SIZE: f64 = 128.0;
/// Maximum encoded size of a message without its records and observations.
const MESSAGE_OVERHEAD_BYTES: usize = 96;
/// Maximum encoded size of a record.
const RECORD_BYTES: usize = 32;
/// Maximum encoded size of an observation without its sites and procedures.
const OBSERVATION_OVERHEAD_BYTES: usize = 40;
/// Maximum number of messages to one front in one tick; what does not fit waits for the next tick.
const MAX_MESSAGES_PER_FRONT: usize = 4;
/// Maximum encoded size of one site within an observation.
const SITE_BYTES: usize = 14;
/// Rate limits stay in force for this many observation intervals after a site was last busy.
const BUSY_HOLD_INTERVALS: f64 = 10.0;
/// In one of this many ticks, fronts that have not sent a message about sites yet get an empty one.
const DISCOVERY_TICKS: u64 = 4;
/// Maximum number of outputs that wait for the host.
const MAX_OUTPUTS: usize = 4096;

/// Decides on the loss and return of sites and on this front's restrictions. Times are seconds on the host's
/// clock; sites are identified by their index in the table.
pub struct Sites {
    pub(crate) params: SitesParams,
    pub(crate) table: SiteTable,
    pub(crate) own: FrontId,
    pub(crate) records: Vec<SiteRecord>,
    vote_times: Vec<VoteTimes>,
    /// The last order given at this front on each site, as long as its record is the current one.
    own_orders: Vec<Option<SiteRecord>>,
    /// When each returning site last went back a step, as far as this front knows.
    stepped_back_at: Vec<f64>,
    pub(crate) capacities: Vec<SiteCapacity>,
    /// When a site in service was last busy.
    busy_at: f64,
    pub(crate) observations: Observations,
    rates: RateEstimator,
    ticks: u64,
    next_tick_at: f64,
    next_sample_at: f64,
    /// Since when this front does not receive heartbeats from a majority of the fleet.
    pub(crate) cut_off: Option<f64>,
    pub(crate) admission_plan: AdmissionPlan,
    restrictions: Restrictions,
    outputs: VecDeque<Output>,
    /// The front with whose observation the next tick continues to relay.
    relay_cursor: FrontId,
    /// Selects the fronts that get messages.
    round: Round,
    /// Fronts that have sent messages about sites, with the number of the incarnation that sent them.
    site_aware: BTreeMap<FrontId, u64>,
    /// Number of messages from fronts with another table of sites.
    pub(crate) other_tables: u64,
    pub(crate) invalid_messages: u64,
}

impl Sites {
    pub fn new(params: SitesParams, table: SiteTable, own: FrontId, seed: u64, now: f64) -> Sites {
        let capacities = table
            .sites()
            .iter()
            .map(|s| SiteCapacity { capacity: s.capacity, ..SiteCapacity::default() })
            .collect();
        Sites {
            records: vec![SiteRecord::initial(now); table.len()],
            vote_times: vec![VoteTimes::default(); table.len()],
            own_orders: vec![None; table.len()],
            stepped_back_at: vec![f64::NEG_INFINITY; table.len()],
            capacities,
            busy_at: f64::NEG_INFINITY,
            observations: Observations::default(),
            rates: RateEstimator::default(),
            ticks: 0,
            next_tick_at: now,
            next_sample_at: now,
            cut_off: None,
            admission_plan: AdmissionPlan::default(),
            restrictions: Restrictions::default(),
            outputs: VecDeque::new(),
            relay_cursor: FrontId(0),
            round: Round::new(seed),
            site_aware: BTreeMap::new(),
            other_tables: 0,
            invalid_messages: 0,
            own,
            table,
            params,
        }
    }

    // ---- inputs ----

    /// Takes a sample of the host's counters; the host calls it at [`Sites::next_sample_at`].
    pub fn record_sample(&mut self, now: f64, peers: &Peers, sample: &Sample) {
        self.next_sample_at = now + self.observation_interval(peers);
        let (observation, failed_sites) = self.rates.observation(now, sample, &self.table);
        let incarnation = peers.incarnation().number;
        self.observations.insert(
            self.own,
            StoredObservation { incarnation, made_at: now, observation, relays_left: RELAY_ROUNDS },
        );
        for site in failed_sites {
            self.step_back(now, site);
        }
    }

    /// Moves a returning site back one step because one of its servers failed. Failures within half a step's
    /// duration count as one, because the fronts observe the same failure one after the other.
    fn step_back(&mut self, now: f64, site: usize) {
        let record = self.records[site];
        let Stage::Returning { step } = record.stage else { return };
        if record.is_held(now) || now - self.stepped_back_at[site] < self.params.min_step_duration / 2.0 {
            return;
        }
        let next = record.successor(now, Stage::Returning { step: step.saturating_sub(1) });
        self.set_record(now, site, next, Votes::default());
    }

    /// Receives a message that the codec has authenticated.
    pub fn receive(&mut self, now: f64, peers: &Peers, from: FrontId, message: SitesMessage) {
        let Some(incarnation) = peers.incarnation_of(from) else {
            self.invalid_messages += 1;
            return;
        };
        self.site_aware.insert(from, incarnation.number);
        if message.table_digest != self.table.digest() {
            self.other_tables += 1;
            return;
        }
        for received in message.records {
            let site = usize::from(received.site);
            let record =
                received.record(now, self.params.max_order_duration).filter(|_| site < self.records.len());
            let Some(record) = record else {
                self.invalid_messages += 1;
                continue;
            };
            let before = self.records[site];
            if self.records[site].merge(&record) {
                self.record_changed(now, site, before, Votes::default());
                self.reassert_order(now, site, &record);
            }
        }
        for relayed in message.observations {
            self.receive_observation(now, peers, relayed);
        }
    }

    fn receive_observation(&mut self, now: f64, peers: &Peers, relayed: RelayedObservation) {
        let front = FrontId(relayed.front);
        let is_valid = relayed.age.is_finite()
            && relayed.age >= 0.0
            && relayed.observation.is_valid(&self.table, &self.params);
        if !is_valid {
            self.invalid_messages += 1;
            return;
        }
        if front == self.own || !peers.is_listed(front) {
            return;
        }
        let made_at = now - f64::from(relayed.age);
        self.observations.insert(
            front,
            StoredObservation {
                incarnation: relayed.incarnation,
                made_at,
                observation: relayed.observation,
                relays_left: RELAY_ROUNDS,
            },
        );
    }

    /// Applies an operator's order to the site of that name, for the whole fleet.
    pub fn apply_order(
        &mut self,
        now: f64,
        name: &str,
        order: Order,
        seconds: f64,
    ) -> Result<(), SitesError> {
        let site = self.table.index_of(name)?;
        if !(seconds > 0.0 && seconds <= self.params.max_order_duration) {
            return Err(SitesError::InvalidDuration { max: self.params.max_order_duration });
        }
        if self.cut_off.is_some() {
            return Err(SitesError::CutOff);
        }
        let record = self.records[site];
        let (stage, held_until) = match order {
            Order::Lost => (Stage::Lost, Some(now + seconds)),
            Order::KeepOut => (Stage::KeptOut, Some(now + seconds)),
            Order::Return => (Stage::Returning { step: 0 }, None),
        };
        let next = SiteRecord { held_until, ..record.successor(now, stage) };
        self.set_record(now, site, next, Votes::default());
        self.own_orders[site] = Some(next);
        Ok(())
    }

    /// Repeats an order with a higher epoch if an older record has replaced it. A front that has not received
    /// all records yet, as after its start, may give an order an epoch that an older record has too; that
    /// record would then undo an order that was already confirmed to the operator.
    fn reassert_order(&mut self, now: f64, site: usize, received: &SiteRecord) {
        let Some(order) = self.own_orders[site].take() else { return };
        if received.since < order.since {
            let again = SiteRecord { held_until: order.held_until, ..received.successor(now, order.stage) };
            self.set_record(now, site, again, Votes::default());
            self.own_orders[site] = Some(again);
        }
    }

    /// Replaces the record of a site by a newer one that this front has written.
    fn set_record(&mut self, now: f64, site: usize, next: SiteRecord, votes: Votes) {
        debug_assert!(next.epoch > self.records[site].epoch);
        self.own_orders[site] = None;
        let from = std::mem::replace(&mut self.records[site], next);
        self.record_changed(now, site, from, votes);
    }

    fn record_changed(&mut self, now: f64, site: usize, from: SiteRecord, votes: Votes) {
        let to = self.records[site];
        if let (Stage::Returning { step: before }, Stage::Returning { step }) = (from.stage, to.stage) {
            if step <= before {
                self.stepped_back_at[site] = now;
            }
        }
        self.vote_times[site] = VoteTimes::default();
        let (missed, outside) = (votes.missed, votes.outside);
        self.push(Output::RecordChanged { site, from, to, missed, outside });
        // Sent and applied at once rather than at the next regular tick.
        self.next_tick_at = self.next_tick_at.min(now);
    }

    /// Queues an output; drops it if the host has not pulled the earlier ones.
    fn push(&mut self, output: Output) {
        if self.outputs.len() < MAX_OUTPUTS {
            self.outputs.push_back(output);
        }
    }

    // ---- timers ----

    /// When [`Sites::record_sample`] must be called next.
    pub fn next_sample_at(&self) -> f64 {
        self.next_sample_at
    }

    /// When [`Sites::tick`] must be called next.
    pub fn next_tick_at(&self) -> f64 {
        self.next_tick_at
    }

    /// The observation interval, longer in large fleets.
    fn observation_interval(&self, peers: &Peers) -> f64 {
        let fleet = peers.listed_count() as f64 + 1.0;
        self.params.observation_interval * (fleet / FULL_RATE_FLEET_SIZE).max(1.0)
    }

    /// The observation lifetime, scaled like the interval.
    fn observation_lifetime(&self, peers: &Peers) -> f64 {
        self.params.observation_lifetime * self.observation_interval(peers) / self.params.observation_interval
    }

    /// Once the deadline has passed: evaluates all sites, updates the restrictions and sends messages of at
    /// most `max_bytes` each to `fanout` fronts.
    pub fn tick(&mut self, now: f64, peers: &Peers, fanout: usize, max_bytes: usize) {
        if now < self.next_tick_at {
            return;
        }
        self.ticks += 1;
        self.next_tick_at = now + peers.heartbeat_interval();
        let fleet: Vec<FrontId> = peers.all_fronts().collect();
        self.observations.all.retain(|front, _| fleet.binary_search(front).is_ok());
        self.site_aware.retain(|front, _| fleet.binary_search(front).is_ok());
        self.update_cut_off(now, peers, fleet.len());
        for site in 0..self.table.len() {
            let record = self.records[site];
            if let Some((next, votes)) = self.evaluate(now, site, &record, peers, &fleet) {
                self.set_record(now, site, next, votes);
                self.next_tick_at = now + peers.heartbeat_interval();
            }
        }
        self.update_capacities(now, peers, &fleet);
        self.update_restrictions(now, peers, &fleet);
        self.send(now, peers, &fleet, fanout, max_bytes);
    }

    /// Checks whether this front receives heartbeats from more than half of all fronts, itself included.
    fn update_cut_off(&mut self, now: f64, peers: &Peers, fleet: usize) {
        let alive = 1 + peers.all(now).filter(|p| p.1 == State::Alive).count();
        let cut_off = 2 * alive <= fleet;
        if cut_off != self.cut_off.is_some() {
            self.cut_off = cut_off.then_some(now);
            self.push(Output::CutOff(cut_off));
        }
    }

    /// Counts the votes of the fronts on a site.
    pub(crate) fn votes(&self, now: f64, site: usize, peers: &Peers, fleet: &[FrontId]) -> Votes {
        // The last observation of a front that has left or failed says nothing about the present.
        let counts =
            |f: FrontId| f == self.own || !matches!(peers.state(f), Some(State::Gone | State::Left) | None);
        let fresh =
            self.observations.fresh(now, self.observation_lifetime(peers)).filter(|(f, _)| counts(*f));
        Votes::of(&self.table, site, fleet, fresh)
    }

    /// Returns the next record of a site if its stage must change.
    fn evaluate(
        &mut self,
        now: f64,
        site: usize,
        record: &SiteRecord,
        peers: &Peers,
        fleet: &[FrontId],
    ) -> Option<(SiteRecord, Votes)> {
        let votes = self.votes(now, site, peers, fleet);
        let has_majority = self.cut_off.is_none();
        let times = &mut self.vote_times[site];
        let duration = |on: bool, since: &mut Option<f64>| {
            *since = on.then(|| since.unwrap_or(now));
            since.map_or(0.0, |since| now - since)
        };
        let missed_for = duration(votes.majority_misses(has_majority), &mut times.missed);
        let reached_for = duration(votes.majority_reaches(has_majority), &mut times.reached);
        let (is_missed, is_reached) = (times.missed.is_some(), times.reached.is_some());
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
                if !stayed || !is_reached || !self.step_has_capacity(now, site, peers) {
                    return None;
                }
                record.successor(now, if last { Stage::Up } else { Stage::Returning { step: step + 1 } })
            }
            // For `KeptOut` the operator's hold has expired; the site then returns like a lost one.
            Stage::Lost | Stage::KeptOut if is_reached && reached_for >= self.return_delay(record.losses) => {
                record.successor(now, Stage::Returning { step: 0 })
            }
            Stage::KeptOut if record.held_until.is_some_and(|until| now >= until) => {
                record.successor(now, Stage::Lost)
            }
            _ => return None,
        };
        Some((next, votes))
    }

    /// How long a lost site must be reached before it returns; doubled with each repeated loss.
    fn return_delay(&self, losses: u8) -> f64 {
        let doublings = f64::from(losses.saturating_sub(1).min(30));
        (self.params.return_after * doublings.exp2()).min(self.params.max_return_after)
    }

    /// Whether the site copes with the load of its current step: none of the fronts that may use it fails to
    /// reach it or observes busy servers.
    fn step_has_capacity(&self, now: f64, site: usize, peers: &Peers) -> bool {
        let record = self.records[site];
        let mut users = self
            .observations
            .fresh(now, self.observation_lifetime(peers))
            .filter(|(front, _)| self.may_use(site, &record, *front))
            .filter_map(|(_, observation)| observation.sites.get(site).copied());
        !users.any(|s| {
            s.tried > 0 && s.reached == 0 || s.wait_seconds().is_some_and(|w| w >= self.params.busy_wait)
        })
    }

    /// Whether a front may use a site's servers according to the site's record.
    pub(crate) fn may_use(&self, site: usize, record: &SiteRecord, front: FrontId) -> bool {
        let home = self.table.site_of_front(front) == Some(site);
        match record.stage {
            Stage::Up => true,
            Stage::KeptOut => false,
            // The site's own fronts go by their own observations, since no other front knows whether they
            // reach it. An operator's order applies to them too.
            Stage::Lost => home && record.held_until.is_none(),
            Stage::Returning { step } => {
                home || return_rank(front, site)
                    < self.params.return_steps.get(usize::from(step)).copied().unwrap_or(1.0)
            }
        }
    }

    // ---- plan ----

    /// Updates the estimated capacity of each site from all fresh observations.
    fn update_capacities(&mut self, now: f64, peers: &Peers, fleet: &[FrontId]) {
        let fresh: Vec<(FrontId, &Observation)> =
            self.observations.fresh(now, self.observation_lifetime(peers)).collect();
        if fresh.is_empty() {
            return;
        }
        let in_service = self.fronts_in_service(peers, fleet).max(fresh.len());
        // Fronts without a fresh observation are assumed to send as much as the others.
        let scale = in_service as f64 / fresh.len() as f64;
        let refusing = self.admission_plan.refuses();
        for (site, capacity) in self.capacities.iter_mut().enumerate() {
            let site_observations = || fresh.iter().filter_map(|(_, s)| s.sites.get(site));
            let established = scale * site_observations().map(|s| s.established_per_second()).sum::<f64>();
            let mut waits: Vec<f64> = site_observations().filter_map(|s| s.wait_seconds()).collect();
            waits.sort_by(f64::total_cmp);
            let wait = waits.get(waits.len() / 2).copied();
            let usable = self.records[site].stage == Stage::Up;
            capacity.update(established, wait.filter(|_| usable), self.params.busy_wait, refusing && usable);
            if capacity.busy {
                self.busy_at = now;
            }
        }
    }

    /// Number of fronts in service, this one included.
    fn fronts_in_service(&self, peers: &Peers, fleet: &[FrontId]) -> usize {
        let counts =
            |f: &&FrontId| **f == self.own || matches!(peers.state(**f), Some(State::Alive | State::Suspect));
        fleet.iter().filter(counts).count()
    }

    /// The attaches that are requested of the fleet.
    pub(crate) fn demand(&self, now: f64, peers: &Peers, fleet: &[FrontId]) -> Demand {
        let per_second = |s: &Observation| s.requested.iter().map(|h| f64::from(*h) / 100.0).collect();
        let known: Vec<(FrontId, Vec<f64>)> = self
            .observations
            .fresh(now, self.observation_lifetime(peers))
            .map(|(f, s)| (f, per_second(s)))
            .collect();
        let missing = self.fronts_in_service(peers, fleet).saturating_sub(known.len());
        Demand { known, missing }
    }

    /// Set-ups per second that all sites but those of `without` can take, less the safety margin; `None` if
    /// the capacity of one of them is unknown.
    pub(crate) fn capacity(&self, fleet: &[FrontId], without: impl Fn(usize) -> bool) -> Option<f64> {
        let mut total = 0.0;
        for site in (0..self.table.len()).filter(|s| !without(*s)) {
            let capacity = self.capacities[site].capacity?;
            total += match self.records[site].stage {
                Stage::Up => capacity,
                Stage::Lost | Stage::KeptOut => 0.0,
                Stage::Returning { .. } => {
                    let users = fleet.iter().filter(|f| self.may_use(site, &self.records[site], **f)).count();
                    capacity * users as f64 / fleet.len().max(1) as f64
                }
            };
        }
        Some(self.params.capacity_margin * total)
    }

    /// Works out what this front must not do, and the plan for the load while a site is out of service.
    fn update_restrictions(&mut self, now: f64, peers: &Peers, fleet: &[FrontId]) {
        // A front that has been cut off for a while ignores the fleet's findings, which are out of date;
        // operators' orders still apply.
        let isolated = self.cut_off.is_some_and(|since| now - since >= self.params.lost_after);
        let mut restrictions = Restrictions { floor: self.params.floor, ..Restrictions::default() };
        for (site, record) in self.records.iter().enumerate() {
            let ordered = record.is_held(now);
            if (!isolated || ordered) && !self.may_use(site, record, self.own) {
                restrictions.excluded.push((site, ordered));
            }
        }
        let site_out = !isolated && self.records.iter().any(|record| record.stage != Stage::Up);
        // The plan refuses only while the servers of a remaining site report that they are busy. Refusing
        // earlier, by estimated capacity, cost more than it saved (docs/design-notes/sites.md); until then
        // the router's own limits refuse.
        let busy = now - self.busy_at <= BUSY_HOLD_INTERVALS * self.observation_interval(peers);
        let capacity =
            self.capacity(fleet, |_| false).filter(|_| site_out && busy && self.params.enforce_plan);
        self.admission_plan = match capacity {
            Some(capacity) => {
                let demand = self.demand(now, peers, fleet).total_by_class(self.params.classes.len());
                plan_admission(&self.params.classes, self.params.floor, capacity, &demand)
            }
            None => AdmissionPlan::default(),
        };
        if self.admission_plan.refuses() {
            let own = self.observations.all.get(&self.own).map(|stored| &stored.observation);
            let requested =
                |c: usize| own.and_then(|s| s.requested.get(c)).map_or(0.0, |h| f64::from(*h) / 100.0);
            let limit = |(c, share): (usize, &f64)| (*share < 1.0).then(|| share * requested(c));
            restrictions.rate_limits = self.admission_plan.shares.iter().enumerate().map(limit).collect();
        }
        if restrictions != self.restrictions {
            self.restrictions = restrictions.clone();
            self.push(Output::Restrict(restrictions));
        }
    }

    // ---- messages ----

    fn send(&mut self, now: f64, peers: &Peers, fleet: &[FrontId], fanout: usize, max_bytes: usize) {
        let table = self.table.digest();
        let message = |(site, record): (usize, &SiteRecord)| {
            (record.epoch > 0).then(|| RecordMessage::of(site, now, record))
        };
        let records: Vec<RecordMessage> = self.records.iter().enumerate().filter_map(message).collect();
        let observation_bytes =
            OBSERVATION_OVERHEAD_BYTES + SITE_BYTES * self.table.len() + 5 * self.params.classes.len();
        let available = max_bytes.saturating_sub(MESSAGE_OVERHEAD_BYTES + RECORD_BYTES * records.len());
        let per_message = (available / observation_bytes).max(1);
        let mut observations = Vec::new();
        // Continues where the last tick stopped, so that every observation gets its turn.
        let cursor = std::mem::replace(&mut self.relay_cursor, FrontId(0));
        let (rest, start) = (self.observations.all.range(cursor..), self.observations.all.range(..cursor));
        let relay_order: Vec<FrontId> =
            rest.chain(start).filter(|(_, stored)| stored.relays_left > 0).map(|(f, _)| *f).collect();
        for front in relay_order {
            if observations.len() == per_message * MAX_MESSAGES_PER_FRONT {
                self.relay_cursor = front;
                break;
            }
            let Some(stored) = self.observations.all.get_mut(&front) else { continue };
            stored.relays_left -= 1;
            let age = (now - stored.made_at).max(0.0) as f32;
            observations.push(RelayedObservation {
                front: front.0,
                incarnation: stored.incarnation,
                age,
                observation: stored.observation.clone(),
            });
        }
        let mut messages: Vec<SitesMessage> = observations
            .chunks(per_message)
            .map(|chunk| SitesMessage {
                table_digest: table,
                records: records.clone(),
                observations: chunk.to_vec(),
            })
            .collect();
        if messages.is_empty() {
            messages.push(SitesMessage { table_digest: table, records, observations: Vec::new() });
        }
        // A front of an earlier version drops messages about sites. An empty one now and then finds out
        // whether a front supports them: it then sends messages back.
        let empty = SitesMessage { table_digest: table, ..SitesMessage::default() };
        let discovers = self.ticks % DISCOVERY_TICKS == 1;
        let others: Vec<FrontId> = fleet.iter().copied().filter(|f| *f != self.own).collect();
        for to in self.round.next(fanout, &others) {
            let is_current = |number: &u64| peers.incarnation_of(to).is_none_or(|l| l.number == *number);
            if self.site_aware.get(&to).is_some_and(is_current) {
                messages.iter().for_each(|message| self.push(Output::Send { to, message: message.clone() }));
            } else if discovers {
                self.push(Output::Send { to, message: empty.clone() });
            }
        }
    }

    /// Returns the next output for the host.
    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    // ---- state ----

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
