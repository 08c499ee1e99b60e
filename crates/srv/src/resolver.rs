//! The resolver: starts look-ups by their schedule and sends each query in tries over the name servers,
//! over UDP and, after truncation, over TCP.

use crate::aliases::{self, ChainEnd};
use crate::cache::{Answer, Cache};
use crate::lookup::{Lookup, Progress, Question};
use crate::upstreams::Upstreams;
use crate::wire::{self, Reply};
use crate::{
    Counters, DropReason, Name, Outcome, RecordType, ResolverInput, ResolverOutput, ResolverParams, Step,
    Target, Ticket,
};
use hickory_proto::op::ResponseCode;
use hickory_proto::rr::Record;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;

/// Maximum number of cached answers, one per name and type.
const MAX_CACHED: usize = 4096;
/// Maximum number of steps stored until [`Resolver::next_step`] takes them; the oldest are removed first.
const MAX_STEPS: usize = 1024;
/// Maximum bytes of a message over TCP with its length prefix (RFC 1035 section 4.2.2).
const MAX_STREAM_BYTES: usize = 65_537;

/// A query for a question, with its current try.
#[derive(Clone, Debug)]
struct Query {
    question: Question,
    ticket: Ticket,
    /// Id of the DNS message.
    id: u16,
    /// Index of the name server of the current try.
    upstream: usize,
    /// Indices of the name servers of all tries, the current one included.
    tried: Vec<usize>,
    tcp: bool,
    /// When the first try was sent.
    asked_at: f64,
    /// When the current try times out.
    try_deadline: f64,
    /// Bytes received over TCP so far.
    received: Vec<u8>,
}

/// Schedule of a name's look-ups.
#[derive(Clone, Debug)]
struct Schedule {
    /// Time of the next look-up; infinite while one is in progress.
    next_at: f64,
    /// Look-ups in a row that failed or were empty.
    failures: u32,
}

/// A resolver that looks up the names of its parameters and refreshes them before they expire.
#[derive(Clone, Debug)]
pub struct Resolver {
    params: ResolverParams,
    rng: ChaCha8Rng,
    upstreams: Upstreams,
    cache: Cache,
    /// One schedule per name of the parameters, in their order.
    schedules: Vec<Schedule>,
    lookups: Vec<Lookup>,
    queries: Vec<Query>,
    /// Last known addresses of each target, by its lower-case name. They are used when the address queries
    /// fail, so that a failed query doesn't remove a server.
    last_known: BTreeMap<Name, Vec<IpAddr>>,
    last_ticket: Ticket,
    outputs: VecDeque<ResolverOutput>,
    steps: VecDeque<Step>,
    counters: Counters,
}

impl Resolver {
    pub fn new(params: ResolverParams, seed: u64, now: f64) -> Resolver {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let first =
            |_: &Name| Schedule { next_at: now + params.start_spread * rng.random::<f64>(), failures: 0 };
        let schedules = params.names.iter().map(first).collect();
        Resolver {
            upstreams: Upstreams::new(&params.upstreams),
            cache: Cache::new(MAX_CACHED),
            schedules,
            lookups: Vec::new(),
            queries: Vec::new(),
            last_known: BTreeMap::new(),
            last_ticket: 0,
            outputs: VecDeque::new(),
            steps: VecDeque::new(),
            counters: Counters::default(),
            rng,
            params,
        }
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Takes the oldest output that was not taken yet.
    pub fn next_output(&mut self) -> Option<ResolverOutput> {
        self.outputs.pop_front()
    }

    /// Takes the oldest step that was not taken yet.
    pub fn next_step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    /// Returns the time at which [`Resolver::tick`] must be called at the latest.
    pub fn next_deadline(&self) -> f64 {
        let tries = self.queries.iter().map(|q| q.try_deadline);
        let scheduled = self.schedules.iter().map(|s| s.next_at);
        tries.chain(scheduled).fold(f64::INFINITY, f64::min)
    }

    /// Returns the time of the next look-up of a name; infinite while one is in progress.
    pub fn next_lookup(&self, name_index: usize) -> Option<f64> {
        self.schedules.get(name_index).map(|s| s.next_at)
    }

    /// Looks up a name now, regardless of its schedule.
    pub fn look_up_now(&mut self, now: f64, name_index: usize) {
        if let Some(schedule) = self.schedules.get_mut(name_index) {
            schedule.next_at = now;
        }
        self.tick(now);
    }

    /// Fails the tries that have timed out and starts the scheduled look-ups.
    pub fn tick(&mut self, now: f64) {
        while let Some(late) = self.queries.iter().position(|q| q.try_deadline <= now) {
            self.counters.timed_out += 1;
            self.try_failed(now, late, "no answer in time");
        }
        for name_index in 0..self.schedules.len() {
            if self.schedules[name_index].next_at <= now {
                // `finish` sets the time of the next one.
                self.schedules[name_index].next_at = f64::INFINITY;
                self.counters.lookups += 1;
                let name = self.params.names[name_index].clone();
                self.lookups.push(Lookup::new(name_index, name));
                self.advance(now);
            }
        }
    }

    /// Handles an event on a socket. Events of tickets that have ended are ignored.
    pub fn handle(&mut self, now: f64, input: ResolverInput) {
        match input {
            ResolverInput::Datagram { ticket, from, bytes } => {
                let Some(query_index) = self.queries.iter().position(|q| q.ticket == ticket && !q.tcp) else {
                    return;
                };
                if from != self.upstreams.address(self.queries[query_index].upstream) {
                    return self.drop_message(DropReason::WrongSource);
                }
                if bytes.len() > usize::from(self.params.udp_size.max(512)) {
                    return self.drop_message(DropReason::TooLarge);
                }
                self.handle_message(now, query_index, bytes);
            }
            ResolverInput::Stream { ticket, bytes } => {
                let Some(query_index) = self.queries.iter().position(|q| q.ticket == ticket && q.tcp) else {
                    return;
                };
                let received = &mut self.queries[query_index].received;
                let free = MAX_STREAM_BYTES - received.len().min(MAX_STREAM_BYTES);
                received.extend_from_slice(&bytes[..bytes.len().min(free)]);
                let Some(length) = received.get(..2).map(|b| usize::from(u16::from_be_bytes([b[0], b[1]])))
                else {
                    return;
                };
                if received.len() >= length + 2 {
                    let message = received[2..length + 2].to_vec();
                    self.queries[query_index].received.clear();
                    self.handle_message(now, query_index, &message);
                }
            }
            ResolverInput::SocketLost { ticket } => {
                if let Some(query_index) = self.queries.iter().position(|q| q.ticket == ticket) {
                    self.try_failed(now, query_index, "socket lost");
                }
            }
        }
    }

    /// Ignores a received message. The try continues to wait, because after a forged answer the genuine one
    /// may still arrive (RFC 5452 section 9).
    fn drop_message(&mut self, why: DropReason) {
        self.counters.dropped += 1;
        self.record_step(Step::Dropped { why });
    }

    fn record_step(&mut self, step: Step) {
        if self.steps.len() == MAX_STEPS {
            self.steps.pop_front();
        }
        self.steps.push_back(step);
    }

    fn handle_message(&mut self, now: f64, query_index: usize, bytes: &[u8]) {
        let query = &self.queries[query_index];
        match wire::decode_reply(query.id, &query.question, bytes, self.params.max_records) {
            Err(why) => self.drop_message(why),
            Ok(reply) => self.handle_reply(now, query_index, reply),
        }
    }

    fn handle_reply(&mut self, now: f64, query_index: usize, reply: Reply) {
        let query = &self.queries[query_index];
        let (upstream, tcp) = (query.upstream, query.tcp);
        let by = self.upstreams.address(upstream);
        if reply.truncated && !tcp {
            self.counters.truncated += 1;
            self.record_step(Step::Truncated { by });
            return self.retry(now, query_index, upstream, true);
        }
        match reply.code {
            ResponseCode::NoError | ResponseCode::NXDomain if !reply.lame => {}
            ResponseCode::FormErr if !self.upstreams.is_without_edns(upstream) => {
                self.upstreams.set_without_edns(upstream);
                return self.retry(now, query_index, upstream, tcp);
            }
            _ => {
                self.counters.refused += 1;
                let why = match reply.code {
                    ResponseCode::NoError => "lame: it sends elsewhere",
                    ResponseCode::ServFail => "SERVFAIL",
                    ResponseCode::Refused => "REFUSED",
                    _ => "an error code",
                };
                return self.try_failed(now, query_index, why);
            }
        }
        self.counters.answered += 1;
        self.upstreams.record_success(upstream);
        let query = self.queries.swap_remove(query_index);
        self.outputs.push_back(ResolverOutput::CloseSocket { ticket: query.ticket });
        self.record_step(Step::Answered {
            code: reply.code.to_string(),
            records: reply.answers.len(),
            after: now - query.asked_at,
        });
        self.store(now, &query.question, &reply);
        self.apply_answer(now, &query.question, &reply.answers, &reply.additionals);
        self.advance(now);
    }

    /// Stores an answer in the cache for its lifetime.
    fn store(&mut self, now: f64, question: &Question, reply: &Reply) {
        match aliases::follow(question.name.clone(), question.kind, &reply.answers, &mut Vec::new()) {
            ChainEnd::Records { ttl, .. } => {
                let lifetime = self.bounded_lifetime(f64::from(ttl));
                let records = Answer::Records(reply.answers.clone());
                self.cache.put(now, &question.name, question.kind, records, lifetime);
            }
            // RFC 2308 section 5: a negative answer without an SOA record is not cached.
            ChainEnd::NoRecords { .. } => {
                if let Some(ttl) = reply.negative_ttl {
                    let lifetime = f64::from(ttl).min(self.params.max_negative_lifetime);
                    self.cache.put(now, &question.name, question.kind, Answer::Negative, lifetime);
                }
            }
            ChainEnd::Loop { .. } => {}
        }
    }

    fn bounded_lifetime(&self, lifetime: f64) -> f64 {
        lifetime.clamp(self.params.lifetime_bounds.0, self.params.lifetime_bounds.1)
    }

    /// Applies an answer to every look-up that needs it.
    fn apply_answer(&mut self, now: f64, question: &Question, records: &[Record], additionals: &[Record]) {
        let mut index = 0;
        while index < self.lookups.len() {
            let lookup = &mut self.lookups[index];
            let known_aliases = lookup.aliases.len();
            if question.kind != RecordType::SRV {
                if let Some(at) = lookup.apply_addresses(question, records) {
                    self.record_step(Step::AliasLoop { at });
                }
            } else if lookup.srv_name.as_ref() == Some(&question.name) {
                let progress = lookup.apply_srv(records, additionals);
                let aliases: Vec<(Name, Name)> = lookup.aliases[known_aliases..].to_vec();
                for (from, to) in aliases {
                    self.record_step(Step::Alias { from, to });
                }
                match progress {
                    Progress::Continue => {}
                    Progress::Empty => {
                        self.finish(now, index, Outcome::Empty);
                        continue;
                    }
                    Progress::AliasLoop(at) => {
                        self.record_step(Step::AliasLoop { at });
                        self.finish(now, index, Outcome::Failed);
                        continue;
                    }
                }
            }
            index += 1;
        }
    }

    /// Answers the open questions of all look-ups from the cache or sends queries for them, and finishes the
    /// look-ups without open questions.
    fn advance(&mut self, now: f64) {
        loop {
            let questions: Vec<Question> = self.lookups.iter().flat_map(Lookup::questions).collect();
            let mut cached = None;
            for question in questions {
                if self.queries.iter().any(|q| q.question == question) {
                    continue;
                }
                if let Some(answer) = self.cache.get(now, &question.name, question.kind) {
                    cached = Some((question, answer.clone()));
                    break;
                }
                self.send_query(now, question);
            }
            let Some((question, answer)) = cached else { break };
            self.record_step(Step::Cached { name: question.name.clone(), kind: question.kind });
            let records = match answer {
                Answer::Records(records) => records,
                Answer::Negative => Vec::new(),
            };
            self.apply_answer(now, &question, &records, &[]);
        }
        while let Some(index) = self.lookups.iter().position(|l| l.questions().is_empty()) {
            let outcome = self.outcome_of(index);
            self.finish(now, index, outcome);
        }
    }

    /// Returns the outcome of a look-up whose questions have all been answered or failed.
    fn outcome_of(&mut self, index: usize) -> Outcome {
        let mut lifetime = self.lookups[index].lifetime;
        let mut targets: Vec<Target> = Vec::new();
        let mut failed = 0;
        for pending in self.lookups[index].targets.clone() {
            let mut target = pending.target;
            let key = target.name.to_lowercase();
            if pending.failed && target.addresses.is_empty() {
                failed += 1;
                // Without the last known addresses, a failed query would remove the server.
                let Some(known) = self.last_known.get(&key) else { continue };
                target.addresses = known.clone();
                lifetime = 0.0;
                self.record_step(Step::LastKnown { target: target.name.clone() });
            } else {
                self.last_known.insert(key, target.addresses.clone());
            }
            if !target.addresses.is_empty() {
                targets.push(target);
            }
        }
        // Bounds memory: beyond the number of records that the answers may hold, only the targets of this
        // look-up stay.
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
            (false, _) => Outcome::Servers { targets, lifetime: self.bounded_lifetime(lifetime) },
        }
    }

    /// Ends a look-up: schedules the next one and yields the outcome.
    fn finish(&mut self, now: f64, index: usize, outcome: Outcome) {
        let lookup = self.lookups.swap_remove(index);
        let jitter: f64 = self.rng.random();
        let schedule = &mut self.schedules[lookup.name_index];
        let description = match &outcome {
            Outcome::Servers { targets, lifetime } => {
                schedule.failures = 0;
                // Refreshes before the lifetime ends, at a random time, so that fronts don't refresh
                // together.
                schedule.next_at = now + lifetime * (1.0 - self.params.refresh_fraction * jitter);
                format!("{} targets, good for {lifetime} s", targets.len())
            }
            Outcome::Empty | Outcome::Failed => {
                let (min_pause, max_pause) = self.params.retry_pause;
                let doubled = min_pause * 2f64.powi(schedule.failures.min(16) as i32);
                schedule.failures += 1;
                schedule.next_at = now + doubled.min(max_pause) * (0.5 + 0.5 * jitter);
                if outcome == Outcome::Empty {
                    self.counters.empty += 1;
                    "empty".into()
                } else {
                    self.counters.failed += 1;
                    "failed".into()
                }
            }
        };
        self.record_step(Step::Finished {
            name: self.params.names[lookup.name_index].clone(),
            outcome: description,
        });
        self.outputs.push_back(ResolverOutput::LookupDone { name_index: lookup.name_index, outcome });
    }

    // ---- tries ----

    /// Starts a query for a question.
    fn send_query(&mut self, now: f64, question: Question) {
        let Some(upstream) = self.upstreams.choose(now, &[]) else {
            return self.query_failed(now, &question);
        };
        self.queries.push(Query {
            question,
            ticket: 0,
            id: 0,
            upstream,
            tried: Vec::new(),
            tcp: false,
            asked_at: now,
            try_deadline: now,
            received: Vec::new(),
        });
        let query_index = self.queries.len() - 1;
        self.send_try(now, query_index);
    }

    /// Sends a try of a query, with a fresh id and ticket.
    fn send_try(&mut self, now: f64, query_index: usize) {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let id = self.rng.random();
        let query = &mut self.queries[query_index];
        query.id = id;
        query.ticket = ticket;
        query.try_deadline = now + self.params.try_timeout;
        query.received.clear();
        let upstream = query.upstream;
        query.tried.push(upstream);
        let (name, kind, tcp) = (query.question.name.clone(), query.question.kind, query.tcp);
        let to = self.upstreams.address(upstream);
        let size = Some(self.params.udp_size).filter(|_| !self.upstreams.is_without_edns(upstream));
        // A name that was parsed can be encoded. If it can't, the bytes are empty and the try times out.
        let mut bytes = wire::encode_query(id, &self.queries[query_index].question, size).unwrap_or_default();
        if tcp {
            let length = (bytes.len() as u16).to_be_bytes();
            bytes.splice(0..0, length);
            self.counters.asked_tcp += 1;
        }
        self.counters.asked += 1;
        self.record_step(Step::Asked { name, kind, to, tcp });
        self.outputs.push_back(ResolverOutput::SendQuery { ticket, to, tcp, bytes });
    }

    /// Closes the socket of the current try and sends the next one.
    fn retry(&mut self, now: f64, query_index: usize, upstream: usize, tcp: bool) {
        let ticket = self.queries[query_index].ticket;
        self.outputs.push_back(ResolverOutput::CloseSocket { ticket });
        self.queries[query_index].upstream = upstream;
        self.queries[query_index].tcp = tcp;
        self.send_try(now, query_index);
    }

    /// Ends a failed try: sends the next one to another name server if any tries are left.
    fn try_failed(&mut self, now: f64, query_index: usize, why: &'static str) {
        let query = &self.queries[query_index];
        let (upstream, tried) = (query.upstream, query.tried.clone());
        self.upstreams.record_failure(now, upstream);
        let by = self.upstreams.address(upstream);
        self.record_step(Step::TryFailed { by, why });
        if tried.len() < self.params.max_tries as usize {
            if let Some(next) = self.upstreams.choose(now, &tried) {
                return self.retry(now, query_index, next, false);
            }
        }
        let query = self.queries.swap_remove(query_index);
        self.outputs.push_back(ResolverOutput::CloseSocket { ticket: query.ticket });
        self.query_failed(now, &query.question);
        self.advance(now);
    }

    /// Reports to the look-ups that no try of a question got a usable answer.
    fn query_failed(&mut self, now: f64, question: &Question) {
        if question.kind != RecordType::SRV {
            self.lookups.iter_mut().for_each(|l| l.question_failed(question));
            return;
        }
        while let Some(index) = self.lookups.iter().position(|l| l.srv_name.as_ref() == Some(&question.name))
        {
            self.finish(now, index, Outcome::Failed);
        }
    }
}
