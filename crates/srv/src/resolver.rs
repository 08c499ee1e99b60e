//! The resolver: look-ups by their schedule, questions by tries over name servers, UDP and then TCP.

use crate::cache::{Cache, Known};
use crate::chain::End;
use crate::lookup::{Lookup, Progress, Want};
use crate::upstreams::Upstreams;
use crate::wire::{self, Reply};
use crate::{
    chain, Counters, DropReason, Name, Outcome, RecordType, ResolverInput, ResolverOutput, ResolverParams,
    Step, Target, Ticket,
};
use hickory_proto::op::ResponseCode;
use hickory_proto::rr::Record;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;

/// Names and types known at once.
const MOST_KNOWN: usize = 4096;
/// Steps kept for who asks; older ones go first.
const MOST_STEPS: usize = 1024;
/// The longest message over a stream (RFC 1035 section 4.2.2) with its length.
const MOST_STREAM: usize = 65_537;

/// One question and the try that is out for it.
#[derive(Clone, Debug)]
struct Query {
    want: Want,
    ticket: Ticket,
    id: u16,
    upstream: usize,
    tried: Vec<usize>,
    tcp: bool,
    asked_at: f64,
    due: f64,
    /// Bytes of the stream so far.
    stream: Vec<u8>,
}

/// When a name is looked up next, and how often it failed in a row.
#[derive(Clone, Debug)]
struct Schedule {
    next: f64,
    failures: u32,
}

/// A resolver for the names of its settings.
#[derive(Clone, Debug)]
pub struct Resolver {
    params: ResolverParams,
    rng: ChaCha8Rng,
    upstreams: Upstreams,
    cache: Cache,
    schedule: Vec<Schedule>,
    lookups: Vec<Lookup>,
    queries: Vec<Query>,
    /// Addresses last known of each target: an answer that cannot be had takes no server out.
    last_known: BTreeMap<Name, Vec<IpAddr>>,
    next_ticket: Ticket,
    out: VecDeque<ResolverOutput>,
    steps: VecDeque<Step>,
    counters: Counters,
}

impl Resolver {
    pub fn new(params: ResolverParams, seed: u64, now: f64) -> Resolver {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let first =
            |_: &Name| Schedule { next: now + params.start_spread * rng.random::<f64>(), failures: 0 };
        let schedule = params.names.iter().map(first).collect();
        Resolver {
            upstreams: Upstreams::new(&params.upstreams),
            cache: Cache::new(MOST_KNOWN),
            schedule,
            lookups: Vec::new(),
            queries: Vec::new(),
            last_known: BTreeMap::new(),
            next_ticket: 0,
            out: VecDeque::new(),
            steps: VecDeque::new(),
            counters: Counters::default(),
            rng,
            params,
        }
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// What to do next, oldest first.
    pub fn next_output(&mut self) -> Option<ResolverOutput> {
        self.out.pop_front()
    }

    /// What happened, for operators, oldest first.
    pub fn next_step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    /// When [`Resolver::tick`] must be called at the latest.
    pub fn next_deadline(&self) -> f64 {
        let tries = self.queries.iter().map(|q| q.due);
        let scheduled = self.schedule.iter().map(|s| s.next);
        tries.chain(scheduled).fold(f64::INFINITY, f64::min)
    }

    /// When the name at that place is looked up next.
    pub fn next_lookup(&self, name: usize) -> Option<f64> {
        self.schedule.get(name).map(|s| s.next)
    }

    /// Looks a name up now, whatever its schedule says.
    pub fn look_up_now(&mut self, now: f64, name: usize) {
        if let Some(schedule) = self.schedule.get_mut(name) {
            schedule.next = now;
        }
        self.tick(now);
    }

    /// Begins what is due and gives up what has taken too long.
    pub fn tick(&mut self, now: f64) {
        while let Some(late) = self.queries.iter().position(|q| q.due <= now) {
            self.counters.timed_out += 1;
            self.try_failed(now, late, "no answer in time");
        }
        for place in 0..self.schedule.len() {
            if self.schedule[place].next <= now {
                // Under way until it is finished, which sets the next time.
                self.schedule[place].next = f64::INFINITY;
                self.counters.lookups += 1;
                let name = self.params.names[place].clone();
                self.lookups.push(Lookup::new(place, name));
                self.advance(now);
            }
        }
    }

    /// Takes one report.
    pub fn handle(&mut self, now: f64, report: ResolverInput) {
        match report {
            ResolverInput::Datagram { ticket, from, bytes } => {
                let Some(place) = self.queries.iter().position(|q| q.ticket == ticket && !q.tcp) else {
                    return;
                };
                if from != self.upstreams.address(self.queries[place].upstream) {
                    return self.drop_answer(DropReason::WrongSource);
                }
                if bytes.len() > usize::from(self.params.udp_size.max(512)) {
                    return self.drop_answer(DropReason::TooLarge);
                }
                self.bytes(now, place, bytes);
            }
            ResolverInput::Stream { ticket, bytes } => {
                let Some(place) = self.queries.iter().position(|q| q.ticket == ticket && q.tcp) else {
                    return;
                };
                let stream = &mut self.queries[place].stream;
                stream.extend_from_slice(
                    &bytes[..bytes.len().min(MOST_STREAM - stream.len().min(MOST_STREAM))],
                );
                let Some(length) = stream.get(..2).map(|b| usize::from(u16::from_be_bytes([b[0], b[1]])))
                else {
                    return;
                };
                if stream.len() >= length + 2 {
                    let message = stream[2..length + 2].to_vec();
                    self.queries[place].stream.clear();
                    self.bytes(now, place, &message);
                }
            }
            ResolverInput::SocketLost { ticket } => {
                if let Some(place) = self.queries.iter().position(|q| q.ticket == ticket) {
                    self.try_failed(now, place, "socket lost");
                }
            }
        }
    }

    fn drop_answer(&mut self, why: DropReason) {
        // Guards against forged answers: the true one may still come, so the try goes on (RFC 5452 section 9).
        self.counters.dropped += 1;
        self.step(Step::Dropped { why });
    }

    fn step(&mut self, step: Step) {
        if self.steps.len() == MOST_STEPS {
            self.steps.pop_front();
        }
        self.steps.push_back(step);
    }

    fn bytes(&mut self, now: f64, place: usize, bytes: &[u8]) {
        let query = &self.queries[place];
        match wire::read(query.id, &query.want, bytes, self.params.max_records) {
            Err(why) => self.drop_answer(why),
            Ok(reply) => self.reply(now, place, reply),
        }
    }

    fn reply(&mut self, now: f64, place: usize, reply: Reply) {
        let query = &self.queries[place];
        let (upstream, tcp) = (query.upstream, query.tcp);
        let by = self.upstreams.address(upstream);
        if reply.truncated && !tcp {
            self.counters.truncated += 1;
            self.step(Step::Truncated { by });
            return self.ask_again(now, place, upstream, true);
        }
        match reply.code {
            ResponseCode::NoError | ResponseCode::NXDomain if !reply.lame => {}
            ResponseCode::FormErr if !self.upstreams.is_plain(upstream) => {
                self.upstreams.knows_no_edns(upstream);
                return self.ask_again(now, place, upstream, tcp);
            }
            _ => {
                self.counters.refused += 1;
                let why = match reply.code {
                    ResponseCode::NoError => "lame: it sends elsewhere",
                    ResponseCode::ServFail => "SERVFAIL",
                    ResponseCode::Refused => "REFUSED",
                    _ => "an error code",
                };
                return self.try_failed(now, place, why);
            }
        }
        self.counters.answered += 1;
        self.upstreams.answered(upstream);
        let query = self.queries.swap_remove(place);
        self.out.push_back(ResolverOutput::CloseSocket { ticket: query.ticket });
        self.step(Step::Answered {
            code: reply.code.to_string(),
            records: reply.answers.len(),
            after: now - query.asked_at,
        });
        self.learn(now, &query.want, &reply);
        self.answered(now, &query.want, &reply.answers, &reply.additionals);
        self.advance(now);
    }

    /// Keeps what an answer says, by its lifetimes.
    fn learn(&mut self, now: f64, want: &Want, reply: &Reply) {
        match chain::follow(want.name.clone(), want.kind, &reply.answers, &mut Vec::new()) {
            End::Records { ttl, .. } => {
                let lifetime = self.bounded(f64::from(ttl));
                let records = Known::Records(reply.answers.clone());
                self.cache.put(now, &want.name, want.kind, records, lifetime);
            }
            // RFC 2308 section 5: without an SOA record a negative answer is not kept.
            End::Nothing { .. } => {
                if let Some(ttl) = reply.negative {
                    let lifetime = f64::from(ttl).min(self.params.max_negative_lifetime);
                    self.cache.put(now, &want.name, want.kind, Known::Nothing, lifetime);
                }
            }
            End::Loop { .. } => {}
        }
    }

    fn bounded(&self, lifetime: f64) -> f64 {
        lifetime.clamp(self.params.lifetime_bounds.0, self.params.lifetime_bounds.1)
    }

    /// Hands records to every look-up that wants them.
    fn answered(&mut self, now: f64, want: &Want, records: &[Record], more: &[Record]) {
        let mut place = 0;
        while place < self.lookups.len() {
            let lookup = &mut self.lookups[place];
            let known_aliases = lookup.aliases.len();
            if want.kind != RecordType::SRV {
                if let Some(at) = lookup.address(want, records) {
                    self.step(Step::AliasLoop { at });
                }
            } else if lookup.open.as_ref() == Some(&want.name) {
                let progress = lookup.srv(records, more);
                let aliases: Vec<(Name, Name)> = lookup.aliases[known_aliases..].to_vec();
                for (from, to) in aliases {
                    self.step(Step::Alias { from, to });
                }
                match progress {
                    Progress::On => {}
                    Progress::Empty => {
                        self.finish(now, place, Outcome::Empty);
                        continue;
                    }
                    Progress::Loop(at) => {
                        self.step(Step::AliasLoop { at });
                        self.finish(now, place, Outcome::Failed);
                        continue;
                    }
                }
            }
            place += 1;
        }
    }

    /// Asks what look-ups want and is neither known nor asked; finishes those that want nothing more.
    fn advance(&mut self, now: f64) {
        loop {
            let wants: Vec<Want> = self.lookups.iter().flat_map(Lookup::wants).collect();
            let mut known = None;
            for want in wants {
                if self.queries.iter().any(|q| q.want == want) {
                    continue;
                }
                if let Some(found) = self.cache.get(now, &want.name, want.kind) {
                    known = Some((want, found.clone()));
                    break;
                }
                self.ask(now, want);
            }
            let Some((want, found)) = known else { break };
            self.step(Step::Cached { name: want.name.clone(), kind: want.kind });
            let records = match found {
                Known::Records(records) => records,
                Known::Nothing => Vec::new(),
            };
            self.answered(now, &want, &records, &[]);
        }
        while let Some(place) = self.lookups.iter().position(|l| l.wants().is_empty()) {
            let outcome = self.outcome(place);
            self.finish(now, place, outcome);
        }
    }

    /// What the targets of a look-up come to.
    fn outcome(&mut self, place: usize) -> Outcome {
        let mut lifetime = self.lookups[place].lifetime;
        let mut targets: Vec<Target> = Vec::new();
        let mut failed = 0;
        for pending in self.lookups[place].targets.clone() {
            let mut target = pending.target;
            let key = target.name.to_lowercase();
            if pending.failed && target.addresses.is_empty() {
                failed += 1;
                // Guards against a server that would count as withdrawn because a question got no answer.
                let Some(known) = self.last_known.get(&key) else { continue };
                target.addresses = known.clone();
                lifetime = 0.0;
                self.step(Step::LastKnown { target: target.name.clone() });
            } else {
                self.last_known.insert(key, target.addresses.clone());
            }
            if !target.addresses.is_empty() {
                targets.push(target);
            }
        }
        // Kept only for targets that are still named: bounded by what one answer may hold.
        if self.last_known.len() > self.params.max_records * self.params.names.len().max(1) {
            let named: Vec<Name> = targets.iter().map(|t| t.name.to_lowercase()).collect();
            self.last_known.retain(|name, _| named.contains(name));
        }
        targets.sort_by(|a, b| {
            let weight = b.weight.cmp(&a.weight);
            a.priority
                .cmp(&b.priority)
                .then(weight)
                .then_with(|| a.name.cmp(&b.name))
                .then(a.port.cmp(&b.port))
        });
        match (targets.is_empty(), failed) {
            (true, 0) => Outcome::Empty,
            (true, _) => Outcome::Failed,
            (false, _) => Outcome::Servers { targets, lifetime: self.bounded(lifetime) },
        }
    }

    fn finish(&mut self, now: f64, place: usize, outcome: Outcome) {
        let lookup = self.lookups.swap_remove(place);
        let chance: f64 = self.rng.random();
        let schedule = &mut self.schedule[lookup.place];
        let in_words = match &outcome {
            Outcome::Servers { targets, lifetime } => {
                schedule.failures = 0;
                // Before its end, at a moment of this front's own.
                schedule.next = now + lifetime * (1.0 - self.params.refresh_fraction * chance);
                format!("{} targets, good for {lifetime} s", targets.len())
            }
            Outcome::Empty | Outcome::Failed => {
                let (least, longest) = self.params.retry_pause;
                let doubled = least * 2f64.powi(schedule.failures.min(16) as i32);
                schedule.failures += 1;
                schedule.next = now + doubled.min(longest) * (0.5 + 0.5 * chance);
                if outcome == Outcome::Empty {
                    self.counters.empty += 1;
                    "empty".into()
                } else {
                    self.counters.failed += 1;
                    "failed".into()
                }
            }
        };
        self.step(Step::Finished { name: self.params.names[lookup.place].clone(), outcome: in_words });
        self.out.push_back(ResolverOutput::LookupDone { name_index: lookup.place, outcome });
    }

    // ---- tries ----

    fn ask(&mut self, now: f64, want: Want) {
        let Some(upstream) = self.upstreams.choose(now, &[]) else {
            return self.gave_up(now, &want);
        };
        self.queries.push(Query {
            want,
            ticket: 0,
            id: 0,
            upstream,
            tried: Vec::new(),
            tcp: false,
            asked_at: now,
            due: now,
            stream: Vec::new(),
        });
        let place = self.queries.len() - 1;
        self.send(now, place);
    }

    /// Sends the question of that place anew, with a fresh id and ticket.
    fn send(&mut self, now: f64, place: usize) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let id = self.rng.random();
        let query = &mut self.queries[place];
        query.id = id;
        query.ticket = ticket;
        query.due = now + self.params.try_timeout;
        query.stream.clear();
        let upstream = query.upstream;
        query.tried.push(upstream);
        let (name, kind, tcp) = (query.want.name.clone(), query.want.kind, query.tcp);
        let to = self.upstreams.address(upstream);
        let size = Some(self.params.udp_size).filter(|_| !self.upstreams.is_plain(upstream));
        // A name that was read or parsed can be written; were it not, the try ends by its time.
        let mut bytes = wire::write(id, &self.queries[place].want, size).unwrap_or_default();
        if tcp {
            let length = (bytes.len() as u16).to_be_bytes();
            bytes.splice(0..0, length);
            self.counters.asked_tcp += 1;
        }
        self.counters.asked += 1;
        self.step(Step::Asked { name, kind, to, tcp });
        self.out.push_back(ResolverOutput::SendQuery { ticket, to, tcp, bytes });
    }

    fn ask_again(&mut self, now: f64, place: usize, upstream: usize, tcp: bool) {
        let ticket = self.queries[place].ticket;
        self.out.push_back(ResolverOutput::CloseSocket { ticket });
        self.queries[place].upstream = upstream;
        self.queries[place].tcp = tcp;
        self.send(now, place);
    }

    fn try_failed(&mut self, now: f64, place: usize, why: &'static str) {
        let query = &self.queries[place];
        let (upstream, tried) = (query.upstream, query.tried.clone());
        self.upstreams.failed(now, upstream);
        let by = self.upstreams.address(upstream);
        self.step(Step::TryFailed { by, why });
        if tried.len() < self.params.max_tries as usize {
            if let Some(next) = self.upstreams.choose(now, &tried) {
                return self.ask_again(now, place, next, false);
            }
        }
        let query = self.queries.swap_remove(place);
        self.out.push_back(ResolverOutput::CloseSocket { ticket: query.ticket });
        self.gave_up(now, &query.want);
        self.advance(now);
    }

    /// No answer is to be had to that question.
    fn gave_up(&mut self, now: f64, want: &Want) {
        if want.kind != RecordType::SRV {
            self.lookups.iter_mut().for_each(|l| l.failed(want));
            return;
        }
        while let Some(place) = self.lookups.iter().position(|l| l.open.as_ref() == Some(&want.name)) {
            self.finish(now, place, Outcome::Failed);
        }
    }
}
