//! The whole: words, sights, their judging at each beat, and what follows for this front.

use crate::fault::SitesFault;
use crate::judge::Votes;
use crate::message::{Rumour, SitesMessage, ToldWord};
use crate::params::SitesParams;
use crate::plan::{plan, Demand, Held, Parts};
use crate::rates::{Observed, Rates};
use crate::sights::{Kept, Sight, Sights};
use crate::table::Table;
use crate::word::{Stage, Word};
use serde::{Deserialize, Serialize};
use shalespindle_peers::{FrontId, Peers, Round, State};
use std::collections::{BTreeMap, VecDeque};

/// Beats in which a sight is passed on, each time to `fanout` fronts.
const TELLINGS: u8 = 2;
/// Sights of one front come rarer in fleets of more than this: what all fronts take in grows with the fleet.
const OFTEN_UP_TO: f64 = 128.0;
/// Bytes that a message takes at most beside words and sights, a word, and each sight beside its sites and procedures.
const MESSAGE_ROOM: usize = 96;
const WORD_ROOM: usize = 32;
const RUMOUR_ROOM: usize = 40;
/// Messages to one front in one beat at most; what does not fit into them waits for the next.
const MOST_MESSAGES: usize = 4;
const SITE_ROOM: usize = 14;
/// Parts stay on for so many sights after a site was last full.
const FULL_FOR: f64 = 10.0;
/// In one of so many beats those are asked that have not been heard to speak of sites.
const ASKED_EVERY: u64 = 4;
/// Changes kept for the host at most.
const MOST_OUT: usize = 4096;

/// An operator's word on a site.
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
pub struct Narrowing {
    /// Places of sites whose servers this front leaves alone, and whether an operator wants that even where nothing else
    /// is left.
    pub out: Vec<(usize, bool)>,
    /// Attaches a second that are taken at this front, by procedure; none: all. Empty: no plan is on.
    pub parts: Vec<Option<f64>>,
    /// Part of each tenant's attaches that is taken whatever the parts say.
    pub floor: f64,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Send {
        to: FrontId,
        message: SitesMessage,
    },
    Narrow(Narrowing),
    /// For the log: a site's word changed.
    Word {
        site: usize,
        from: Word,
        to: Word,
        missed: usize,
        outside: usize,
    },
    /// For the log: this front hears too few others, or enough again.
    CutOff(bool),
}

/// Since when most fronts miss a site, or reach it.
#[derive(Clone, Copy, Debug, Default)]
struct Since {
    missed: Option<f64>,
    reached: Option<f64>,
}

pub struct Sites {
    pub(crate) params: SitesParams,
    pub(crate) table: Table,
    pub(crate) own: FrontId,
    pub(crate) words: Vec<Word>,
    since: Vec<Since>,
    /// The last order given at this front on each site, while it is what this front says.
    own_orders: Vec<Option<Word>>,
    /// When a site last went a step back, as this front knows it.
    back_at: Vec<f64>,
    pub(crate) held: Vec<Held>,
    /// When a site in service was last full.
    full_at: f64,
    pub(crate) sights: Sights,
    rates: Rates,
    beat: u64,
    beat_at: f64,
    observe_at: f64,
    pub(crate) cut_off: Option<f64>,
    pub(crate) parts: Parts,
    narrowing: Narrowing,
    out: VecDeque<Out>,
    /// Where the telling of sights goes on.
    told_to: FrontId,
    round: Round,
    /// Fronts that were heard to speak of sites, and the number of the life in which they were.
    speak: BTreeMap<FrontId, u64>,
    pub(crate) other_tables: u64,
    pub(crate) bad: u64,
}

impl Sites {
    pub fn new(params: SitesParams, table: Table, own: FrontId, seed: u64, now: f64) -> Sites {
        let held = table.sites().iter().map(|s| Held { bears: s.bears, ..Held::default() }).collect();
        Sites {
            words: vec![Word::first(now); table.len()],
            since: vec![Since::default(); table.len()],
            own_orders: vec![None; table.len()],
            back_at: vec![f64::NEG_INFINITY; table.len()],
            held,
            full_at: f64::NEG_INFINITY,
            sights: Sights::default(),
            rates: Rates::default(),
            beat: 0,
            beat_at: now,
            observe_at: now,
            cut_off: None,
            parts: Parts::default(),
            narrowing: Narrowing::default(),
            out: VecDeque::new(),
            told_to: FrontId(0),
            round: Round::new(seed),
            speak: BTreeMap::new(),
            other_tables: 0,
            bad: 0,
            own,
            table,
            params,
        }
    }

    // ---- what is heard ----

    /// What this front sees; the host brings it when [`Sites::observes_at`] has come.
    pub fn observed(&mut self, now: f64, peers: &Peers, seen: &Observed) {
        self.observe_at = now + self.sight_every(peers);
        let (sight, fell) = self.rates.sight(now, seen, &self.table);
        let life = peers.incarnation().number;
        self.sights.take(self.own, Kept { life, made: now, sight, tellings: TELLINGS });
        for site in fell {
            self.fell(now, site);
        }
    }

    /// A server of a returning site fell: one step back, at once, whoever saw it. What is seen within half a step's stay
    /// of that is the same fall: fronts see it one after the other.
    fn fell(&mut self, now: f64, site: usize) {
        let word = self.words[site];
        let Stage::Returning { step } = word.stage else { return };
        if word.is_held(now) || now - self.back_at[site] < self.params.step_stay / 2.0 {
            return;
        }
        let back = step.saturating_sub(1);
        self.write(now, site, word.next(now, Stage::Returning { step: back }), Votes::default());
    }

    /// A message of a front that has been told apart from a stranger by the codec.
    pub fn heard(&mut self, now: f64, peers: &Peers, from: FrontId, message: SitesMessage) {
        let Some(life) = peers.incarnation_of(from) else {
            self.bad += 1;
            return;
        };
        self.speak.insert(from, life.number);
        if message.table != self.table.digest() {
            self.other_tables += 1;
            return;
        }
        for told in message.words {
            let site = usize::from(told.site);
            let word = told.word(now, self.params.longest_order).filter(|_| site < self.words.len());
            let Some(word) = word else {
                self.bad += 1;
                continue;
            };
            let before = self.words[site];
            if self.words[site].meet(&word) {
                self.changed(now, site, before, Votes::default());
                self.say_order_again(now, site, &word);
            }
        }
        for rumour in message.sights {
            self.rumour(now, peers, rumour);
        }
    }

    fn rumour(&mut self, now: f64, peers: &Peers, rumour: Rumour) {
        let front = FrontId(rumour.front);
        let sound =
            rumour.age.is_finite() && rumour.age >= 0.0 && rumour.sight.is_sound(&self.table, &self.params);
        if !sound {
            self.bad += 1;
            return;
        }
        if front == self.own || !peers.is_listed(front) {
            return;
        }
        let made = now - f64::from(rumour.age);
        self.sights.take(front, Kept { life: rumour.life, made, sight: rumour.sight, tellings: TELLINGS });
    }

    /// An operator's word, for the whole fleet.
    pub fn order(&mut self, now: f64, name: &str, order: Order, lasts: f64) -> Result<(), SitesFault> {
        let site = self.table.named(name)?;
        if !(lasts > 0.0 && lasts <= self.params.longest_order) {
            return Err(SitesFault::Lasts { most: self.params.longest_order });
        }
        if self.cut_off.is_some() {
            return Err(SitesFault::CutOff);
        }
        let word = self.words[site];
        let (stage, held_until) = match order {
            Order::Lost => (Stage::Lost, Some(now + lasts)),
            Order::KeepOut => (Stage::KeptOut, Some(now + lasts)),
            Order::Return => (Stage::Returning { step: 0 }, None),
        };
        let next = Word { held_until, ..word.next(now, stage) };
        self.write(now, site, next, Votes::default());
        self.own_orders[site] = Some(next);
        Ok(())
    }

    /// Guards an order given at a front that had not heard all words yet, as after its start: a word of before the order
    /// with an epoch as high would undo what the operator was told is done.
    fn say_order_again(&mut self, now: f64, site: usize, heard: &Word) {
        let Some(order) = self.own_orders[site].take() else { return };
        if heard.since < order.since {
            let again = Word { held_until: order.held_until, ..heard.next(now, order.stage) };
            self.write(now, site, again, Votes::default());
            self.own_orders[site] = Some(again);
        }
    }

    fn write(&mut self, now: f64, site: usize, next: Word, votes: Votes) {
        debug_assert!(next.epoch > self.words[site].epoch);
        self.own_orders[site] = None;
        let from = std::mem::replace(&mut self.words[site], next);
        self.changed(now, site, from, votes);
    }

    fn changed(&mut self, now: f64, site: usize, from: Word, votes: Votes) {
        let to = self.words[site];
        if let (Stage::Returning { step: before }, Stage::Returning { step }) = (from.stage, to.stage) {
            if step <= before {
                self.back_at[site] = now;
            }
        }
        self.since[site] = Since::default();
        let (missed, outside) = (votes.missed, votes.outside);
        self.tell(Out::Word { site, from, to, missed, outside });
        // Told and heeded at once, not at the next beat.
        self.beat_at = self.beat_at.min(now);
    }

    fn tell(&mut self, out: Out) {
        if self.out.len() < MOST_OUT {
            self.out.push_back(out);
        }
    }

    // ---- time ----

    /// When [`Sites::observed`] is wanted.
    pub fn observes_at(&self) -> f64 {
        self.observe_at
    }

    /// When [`Sites::turn`] is due.
    pub fn due(&self) -> f64 {
        self.beat_at
    }

    fn sight_every(&self, peers: &Peers) -> f64 {
        let fleet = peers.listed_count() as f64 + 1.0;
        self.params.every * (fleet / OFTEN_UP_TO).max(1.0)
    }

    fn sight_for(&self, peers: &Peers) -> f64 {
        self.params.sight_for * self.sight_every(peers) / self.params.every
    }

    /// Judges, plans and tells when it is time to. `bytes` is what one message may fill.
    pub fn turn(&mut self, now: f64, peers: &Peers, fanout: usize, bytes: usize) {
        if now < self.beat_at {
            return;
        }
        self.beat += 1;
        self.beat_at = now + peers.heartbeat_interval();
        let fleet: Vec<FrontId> = peers.all_fronts().collect();
        self.sights.all.retain(|front, _| fleet.binary_search(front).is_ok());
        self.speak.retain(|front, _| fleet.binary_search(front).is_ok());
        self.hears(now, peers, fleet.len());
        for site in 0..self.table.len() {
            let word = self.words[site];
            if let Some((next, votes)) = self.judged(now, site, &word, peers, &fleet) {
                self.write(now, site, next, votes);
                self.beat_at = now + peers.heartbeat_interval();
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
            self.tell(Out::CutOff(cut_off));
        }
    }

    pub(crate) fn votes(&self, now: f64, site: usize, peers: &Peers, fleet: &[FrontId]) -> Votes {
        // What a front that is gone saw last says nothing of now.
        let heard =
            |f: FrontId| f == self.own || !matches!(peers.state(f), Some(State::Gone | State::Left) | None);
        let young = self.sights.young(now, self.sight_for(peers)).filter(|(f, _)| heard(*f));
        Votes::of(&self.table, site, fleet, young)
    }

    /// The next word on a site, where it is time for one.
    fn judged(
        &mut self,
        now: f64,
        site: usize,
        word: &Word,
        peers: &Peers,
        fleet: &[FrontId],
    ) -> Option<(Word, Votes)> {
        let votes = self.votes(now, site, peers, fleet);
        let hears_most = self.cut_off.is_none();
        let since = &mut self.since[site];
        let hold = |on: bool, since: &mut Option<f64>| {
            *since = on.then(|| since.unwrap_or(now));
            since.map_or(0.0, |since| now - since)
        };
        let missed_for = hold(votes.say_lost(hears_most), &mut since.missed);
        let reached_for = hold(votes.say_reached(hears_most), &mut since.reached);
        let (is_missed, is_reached) = (since.missed.is_some(), since.reached.is_some());
        if word.is_held(now) {
            return None;
        }
        let p = &self.params;
        let lost = || {
            let forgotten = word.stage == Stage::Up && now - word.since > p.forget_after;
            let losses = if forgotten { 1 } else { word.losses.saturating_add(1) };
            Word { losses, ..word.next(now, Stage::Lost) }
        };
        let next = match word.stage {
            Stage::Up | Stage::Returning { .. } if is_missed && missed_for >= p.lost_after => lost(),
            Stage::Returning { step } => {
                let last = usize::from(step) + 1 >= p.steps.len();
                let stayed = now - word.since >= p.step_stay;
                if !stayed || !is_reached || !self.bears_its_step(now, site, peers) {
                    return None;
                }
                word.next(now, if last { Stage::Up } else { Stage::Returning { step: step + 1 } })
            }
            // An operator's hold has ended: it returns as any lost site does.
            Stage::Lost | Stage::KeptOut if is_reached && reached_for >= self.pause(word.losses) => {
                word.next(now, Stage::Returning { step: 0 })
            }
            Stage::KeptOut if word.held_until.is_some_and(|until| now >= until) => {
                word.next(now, Stage::Lost)
            }
            _ => return None,
        };
        Some((next, votes))
    }

    /// How long a lost site must be reached before it returns: longer for one that comes and goes.
    pub(crate) fn pause(&self, losses: u8) -> f64 {
        let doubled = f64::from(losses.saturating_sub(1).min(30));
        (self.params.return_after * doubled.exp2()).min(self.params.return_longest)
    }

    /// What was let in at this step stands there: none of those who may use the site finds it full.
    fn bears_its_step(&self, now: f64, site: usize, peers: &Peers) -> bool {
        let word = self.words[site];
        let mut users = self
            .sights
            .young(now, self.sight_for(peers))
            .filter(|(front, _)| self.may_use(site, &word, *front))
            .filter_map(|(_, sight)| sight.sites.get(site).copied());
        !users.any(|s| {
            s.listed > 0 && s.reached == 0 || s.wait_seconds().is_some_and(|w| w >= self.params.busy_wait)
        })
    }

    /// Whether a front may use a site's servers by the word on it.
    pub(crate) fn may_use(&self, site: usize, word: &Word, front: FrontId) -> bool {
        let home = self.table.of_front(front) == Some(site);
        match word.stage {
            Stage::Up => true,
            Stage::KeptOut => false,
            // Its own fronts go by what they see themselves: nobody else can tell whether they reach it. But where an
            // operator said it, the site is lost for them too.
            Stage::Lost => home && word.held_until.is_none(),
            Stage::Returning { step } => {
                home || part_of(front, site)
                    < self.params.steps.get(usize::from(step)).copied().unwrap_or(1.0)
            }
        }
    }

    // ---- the plan ----

    /// What all sights together say of what sites bear.
    fn look(&mut self, now: f64, peers: &Peers, fleet: &[FrontId]) {
        let young: Vec<(FrontId, &Sight)> = self.sights.young(now, self.sight_for(peers)).collect();
        if young.is_empty() {
            return;
        }
        let live = self.in_service(peers, fleet).max(young.len());
        // Those that are missing are taken to send as much as the others.
        let scale = live as f64 / young.len() as f64;
        let refusing = self.parts.refuses();
        for (site, held) in self.held.iter_mut().enumerate() {
            let of = || young.iter().filter_map(|(_, s)| s.sites.get(site));
            let stood = scale * of().map(|s| s.stood_a_second()).sum::<f64>();
            let mut waits: Vec<f64> = of().filter_map(|s| s.wait_seconds()).collect();
            waits.sort_by(f64::total_cmp);
            let wait = waits.get(waits.len() / 2).copied();
            let usable = self.words[site].stage == Stage::Up;
            held.seen(stood, wait.filter(|_| usable), self.params.busy_wait, refusing && usable);
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
        let a_second = |s: &Sight| s.asked.iter().map(|h| f64::from(*h) / 100.0).collect();
        let known: Vec<(FrontId, Vec<f64>)> =
            self.sights.young(now, self.sight_for(peers)).map(|(f, s)| (f, a_second(s))).collect();
        let missing = self.in_service(peers, fleet).saturating_sub(known.len());
        Demand { known, missing }
    }

    /// Set-ups a second that the sites bear which `without` leaves; none where that is not known of one of them.
    pub(crate) fn bears(&self, fleet: &[FrontId], without: impl Fn(usize) -> bool) -> Option<f64> {
        let mut all = 0.0;
        for site in (0..self.table.len()).filter(|s| !without(*s)) {
            let bears = self.held[site].bears?;
            all += match self.words[site].stage {
                Stage::Up => bears,
                Stage::Lost | Stage::KeptOut => 0.0,
                Stage::Returning { .. } => {
                    let may = fleet.iter().filter(|f| self.may_use(site, &self.words[site], **f)).count();
                    bears * may as f64 / fleet.len().max(1) as f64
                }
            };
        }
        Some(self.params.margin * all)
    }

    fn narrow(&mut self, now: f64, peers: &Peers, fleet: &[FrontId]) {
        // A front alone keeps its own unaided part: what it was told before it was cut off is old, but for what an
        // operator wants.
        let alone = self.cut_off.is_some_and(|since| now - since >= self.params.lost_after);
        let mut narrowing = Narrowing { floor: self.params.floor, ..Narrowing::default() };
        for (site, word) in self.words.iter().enumerate() {
            let firm = word.is_held(now);
            if (!alone || firm) && !self.may_use(site, word, self.own) {
                narrowing.out.push((site, firm));
            }
        }
        let on = !alone && self.words.iter().any(|w| w.stage != Stage::Up);
        // Only while a site that is left is full by what its servers tell: refusing ahead of that, by what is believed of
        // them, cost more than it saved (docs/design-notes/sites.md); short of it the module's own bound refuses.
        let full = now - self.full_at <= FULL_FOR * self.sight_every(peers);
        let bears = self.bears(fleet, |_| false).filter(|_| on && full && self.params.refuses);
        self.parts = match bears {
            Some(bears) => {
                let demand = self.demand(now, peers, fleet).whole(self.params.classes.len());
                plan(&self.params.classes, self.params.floor, bears, &demand)
            }
            None => Parts::default(),
        };
        if self.parts.refuses() {
            let own = self.sights.all.get(&self.own).map(|k| &k.sight);
            let asked = |c: usize| own.and_then(|s| s.asked.get(c)).map_or(0.0, |h| f64::from(*h) / 100.0);
            let part = |(c, share): (usize, &f64)| (*share < 1.0).then(|| share * asked(c));
            narrowing.parts = self.parts.shares.iter().enumerate().map(part).collect();
        }
        if narrowing != self.narrowing {
            self.narrowing = narrowing.clone();
            self.tell(Out::Narrow(narrowing));
        }
    }

    // ---- what it tells ----

    fn send(&mut self, now: f64, peers: &Peers, fleet: &[FrontId], fanout: usize, bytes: usize) {
        let table = self.table.digest();
        let told = |(site, word): (usize, &Word)| (word.epoch > 0).then(|| ToldWord::of(site, now, word));
        let words: Vec<ToldWord> = self.words.iter().enumerate().filter_map(told).collect();
        let room = RUMOUR_ROOM + SITE_ROOM * self.table.len() + 5 * self.params.classes.len();
        let left = bytes.saturating_sub(MESSAGE_ROOM + WORD_ROOM * words.len());
        let most = (left / room).max(1);
        let mut sights = Vec::new();
        // From where the last beat stopped on, so that none waits for ever.
        let after = std::mem::replace(&mut self.told_to, FrontId(0));
        let (first, then) = (self.sights.all.range(after..), self.sights.all.range(..after));
        let order: Vec<FrontId> =
            first.chain(then).filter(|(_, k)| k.tellings > 0).map(|(f, _)| *f).collect();
        for front in order {
            if sights.len() == most * MOST_MESSAGES {
                self.told_to = front;
                break;
            }
            let Some(kept) = self.sights.all.get_mut(&front) else { continue };
            kept.tellings -= 1;
            let age = (now - kept.made).max(0.0) as f32;
            sights.push(Rumour { front: front.0, life: kept.life, age, sight: kept.sight.clone() });
        }
        let mut messages: Vec<SitesMessage> = sights
            .chunks(most)
            .map(|some| SitesMessage { table, words: words.clone(), sights: some.to_vec() })
            .collect();
        if messages.is_empty() {
            messages.push(SitesMessage { table, words, sights: Vec::new() });
        }
        // A front of an earlier version would drop it: it is asked with an empty one now and then whether it speaks.
        let empty = SitesMessage { table, ..SitesMessage::default() };
        let asks = self.beat % ASKED_EVERY == 1;
        let others: Vec<FrontId> = fleet.iter().copied().filter(|f| *f != self.own).collect();
        for to in self.round.next(fanout, &others) {
            let of = |life: &u64| peers.incarnation_of(to).is_none_or(|l| l.number == *life);
            if self.speak.get(&to).is_some_and(of) {
                messages.iter().for_each(|message| self.tell(Out::Send { to, message: message.clone() }));
            } else if asks {
                self.tell(Out::Send { to, message: empty.clone() });
            }
        }
    }

    pub fn next_output(&mut self) -> Option<Out> {
        self.out.pop_front()
    }

    // ---- what is asked of it ----

    pub fn table(&self) -> &Table {
        &self.table
    }

    pub fn word(&self, site: usize) -> &Word {
        &self.words[site]
    }

    pub fn parts(&self) -> &Parts {
        &self.parts
    }

    pub fn narrowing(&self) -> &Narrowing {
        &self.narrowing
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
