//! The resolver against scripted name servers in simulated time.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_srv::{
    DropReason, Name, Outcome, Resolver, ResolverInput, ResolverOutput, ResolverParams, Step, Target,
};
use shalespindle_standin::nameserver::{Entry, NameServer, Script};
use std::net::{IpAddr, SocketAddr};

fn name(text: &str) -> Name {
    Name::from_ascii(text).unwrap()
}

fn service() -> Name {
    name("_sip._tcp.auth.example.org.")
}

fn upstream(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 5300 + n))
}

fn params(upstreams: u16) -> ResolverParams {
    ResolverParams {
        upstreams: (0..upstreams).map(upstream).collect(),
        names: vec![service()],
        try_timeout: 1.0,
        max_tries: 4,
        lifetime_bounds: (5.0, 3600.0),
        max_negative_lifetime: 30.0,
        refresh_fraction: 0.3,
        retry_pause: (1.0, 16.0),
        start_spread: 3.0,
        udp_size: 1232,
        max_records: 256,
    }
}

/// A name server of a zone with `targets` servers of the service, each with one address.
fn zone(targets: u8, ttl: u32) -> NameServer {
    let mut server = NameServer::new(name("example.org."), 7);
    let entry = |n: u8| Entry {
        target: name(&format!("s{n}.auth.example.org.")),
        port: 5070 + u16::from(n),
        priority: 10,
        weight: 10 + u16::from(n),
    };
    let entries: Vec<Entry> = (0..targets).map(entry).collect();
    for (n, e) in entries.iter().enumerate() {
        server.addresses(&e.target, &[IpAddr::from([127, 3, 0, n as u8 + 1])], ttl);
    }
    server.publish(&service(), &entries, ttl);
    server
}

/// A resolver and its name servers, connected by a simulated network with a delay of 1 ms each way.
struct Harness {
    now: f64,
    resolver: Resolver,
    servers: Vec<NameServer>,
    /// Answers in transit: time of arrival, ticket, whether over TCP, sender, bytes.
    in_transit: Vec<(f64, u64, bool, SocketAddr, Vec<u8>)>,
    /// Tickets of the open sockets.
    open_sockets: Vec<u64>,
    steps: Vec<Step>,
}

impl Harness {
    fn new(params: ResolverParams, servers: Vec<NameServer>) -> Harness {
        let resolver = Resolver::new(params, 3, 0.0);
        Harness {
            now: 0.0,
            resolver,
            servers,
            in_transit: Vec::new(),
            open_sockets: Vec::new(),
            steps: Vec::new(),
        }
    }

    /// Runs until a look-up is done, and returns its outcome, or until the time `until`.
    fn run(&mut self, until: f64) -> Option<Outcome> {
        loop {
            while let Some(step) = self.resolver.next_step() {
                self.steps.push(step);
            }
            while let Some(out) = self.resolver.next_output() {
                match out {
                    ResolverOutput::SendQuery { ticket, to, tcp, bytes } => {
                        self.open_sockets.push(ticket);
                        let question = if tcp { &bytes[2..] } else { &bytes[..] };
                        let server = &mut self.servers[usize::from(to.port() - 5300)];
                        for reply in server.ask(self.now, question, tcp) {
                            let mut bytes = reply.bytes;
                            if tcp {
                                bytes.splice(0..0, (bytes.len() as u16).to_be_bytes());
                            }
                            self.in_transit.push((self.now + 0.002 + reply.after, ticket, tcp, to, bytes));
                        }
                    }
                    ResolverOutput::CloseSocket { ticket } => self.open_sockets.retain(|t| *t != ticket),
                    ResolverOutput::LookupDone { outcome, .. } => return Some(outcome),
                }
            }
            let first = self.in_transit.iter().map(|a| a.0).fold(f64::INFINITY, f64::min);
            let next = first.min(self.resolver.next_deadline());
            if next > until {
                self.now = until;
                return None;
            }
            self.now = next.max(self.now);
            let arrived: Vec<_> = {
                let now = self.now;
                let (arrived, rest) = self.in_transit.drain(..).partition(|a| a.0 <= now);
                self.in_transit = rest;
                arrived
            };
            for (_, ticket, tcp, from, bytes) in arrived {
                if !self.open_sockets.contains(&ticket) {
                    continue;
                }
                if tcp {
                    // TCP may split a message anywhere.
                    for chunk in bytes.chunks(7) {
                        self.resolver.handle(self.now, ResolverInput::Stream { ticket, bytes: chunk });
                    }
                } else {
                    self.resolver.handle(self.now, ResolverInput::Datagram { ticket, from, bytes: &bytes });
                }
            }
            self.resolver.tick(self.now);
        }
    }

    fn first_outcome(&mut self) -> Outcome {
        self.run(60.0).expect("the first look-up ends within a minute")
    }
}

fn targets(outcome: &Outcome) -> &[Target] {
    match outcome {
        Outcome::Servers { targets, .. } => targets,
        other => panic!("{other:?}"),
    }
}

/// Runs the first look-up with a single name server that follows `script`.
fn look_up_with(script: Script) -> (Harness, Outcome) {
    let mut server = zone(3, 60);
    server.script = script;
    let mut harness = Harness::new(params(1), vec![server]);
    let outcome = harness.first_outcome();
    (harness, outcome)
}

#[test]
fn targets_come_with_addresses_in_the_order_of_priority_and_weight() {
    let (harness, outcome) = look_up_with(Script::Plain);
    let found = targets(&outcome);
    assert_eq!(found.iter().map(|t| t.weight).collect::<Vec<_>>(), [12, 11, 10]);
    assert_eq!(found[0].addresses, [IpAddr::from([127, 3, 0, 3])]);
    assert_eq!(harness.resolver.counters().asked, 1, "the additional records suffice");
    assert!(matches!(outcome, Outcome::Servers { lifetime, .. } if lifetime == 60.0));
    assert!(harness.open_sockets.is_empty());
}

#[test]
fn addresses_missing_from_the_additional_records_are_queried() {
    let (harness, outcome) = look_up_with(Script::NoAdditional);
    assert_eq!(targets(&outcome).len(), 3);
    assert_eq!(harness.resolver.counters().asked, 1 + 3 * 2, "A and AAAA of each target");
}

#[test]
fn a_truncated_answer_is_queried_again_over_tcp() {
    let (harness, outcome) = look_up_with(Script::Truncates);
    assert_eq!(targets(&outcome).len(), 3);
    let counters = harness.resolver.counters();
    assert_eq!((counters.asked_tcp, counters.truncated), (1, 1));
    // An answer too large for a datagram is truncated by any name server.
    let mut harness = Harness::new(params(1), vec![zone(40, 60)]);
    assert_eq!(targets(&harness.first_outcome()).len(), 40);
    assert_eq!(harness.resolver.counters().asked_tcp, 1);
}

#[test]
fn after_a_tcp_timeout_another_name_server_is_asked() {
    let mut hangs = zone(3, 60);
    hangs.script = Script::TcpHangs;
    let mut harness = Harness::new(params(2), vec![hangs, zone(3, 60)]);
    assert_eq!(targets(&harness.first_outcome()).len(), 3);
    assert_eq!(harness.resolver.counters().timed_out, 1);
    let (_, alone) = look_up_with(Script::TcpHangs);
    assert_eq!(alone, Outcome::Failed);
}

#[test]
fn a_failing_name_server_is_replaced_by_another_and_the_lookup_fails_if_all_fail() {
    for script in [
        Script::Silent,
        Script::Servfail,
        Script::Refused,
        Script::Lame,
        Script::Garbage,
        Script::WrongQuestion,
        Script::TooLarge,
    ] {
        let mut bad = zone(3, 60);
        bad.script = script;
        let mut harness = Harness::new(params(2), vec![bad, zone(3, 60)]);
        assert_eq!(targets(&harness.first_outcome()).len(), 3, "{script:?}");
        assert!(!harness.servers[0].asked.is_empty());
        // The next look-up asks the healthy one first.
        assert!(harness.run(harness.now + 60.0).is_some());
        let (_, alone) = look_up_with(script);
        assert_eq!(alone, Outcome::Failed, "{script:?}");
    }
}

#[test]
fn empty_answers_are_distinct_from_failures_and_cached_for_their_lifetime() {
    for script in [Script::Nxdomain, Script::Empty] {
        let (mut harness, outcome) = look_up_with(script);
        assert_eq!(outcome, Outcome::Empty, "{script:?}");
        // RFC 2308: no query is sent within the lifetime of the negative answer.
        let asked = harness.servers[0].asked.len();
        assert_eq!(harness.run(harness.now + 3.0), Some(Outcome::Empty));
        assert_eq!(harness.servers[0].asked.len(), asked);
        harness.servers[0].script = Script::Plain;
        let back = (0..20).find_map(|_| match harness.run(harness.now + 60.0) {
            Some(Outcome::Servers { targets, .. }) => Some(targets.len()),
            _ => None,
        });
        assert_eq!(back, Some(3));
    }
}

#[test]
fn answers_that_do_not_match_the_query_are_dropped_and_the_genuine_one_is_used() {
    let (harness, outcome) = look_up_with(Script::WrongId);
    assert_eq!(targets(&outcome).len(), 3);
    assert!(harness.steps.contains(&Step::Dropped { why: DropReason::WrongId }));
    let (harness, _) = look_up_with(Script::WrongQuestion);
    assert!(harness.steps.contains(&Step::Dropped { why: DropReason::WrongQuestion }));
    // An answer from another address than the one that was asked is dropped.
    let mut resolver = Resolver::new(ResolverParams { start_spread: 0.0, ..params(1) }, 1, 0.0);
    resolver.tick(0.0);
    let Some(ResolverOutput::SendQuery { ticket, bytes, .. }) = resolver.next_output() else {
        panic!("no query")
    };
    let answer = zone(3, 60).ask(0.0, &bytes, false).remove(0).bytes;
    resolver.handle(0.1, ResolverInput::Datagram { ticket, from: upstream(9), bytes: &answer });
    assert_eq!((resolver.counters().dropped, resolver.next_output()), (1, None));
    resolver.handle(0.1, ResolverInput::Datagram { ticket: ticket + 7, from: upstream(0), bytes: &answer });
    resolver.handle(0.1, ResolverInput::Datagram { ticket, from: upstream(0), bytes: &answer });
    assert_eq!(resolver.next_output(), Some(ResolverOutput::CloseSocket { ticket }));
    assert!(matches!(
        resolver.next_output(),
        Some(ResolverOutput::LookupDone { outcome: Outcome::Servers { .. }, .. })
    ));
}

#[test]
fn records_of_other_names_are_ignored() {
    let (_, outcome) = look_up_with(Script::Lies);
    assert_eq!(targets(&outcome).len(), 3);
    assert!(targets(&outcome).iter().all(|t| t.port != 6666));
}

#[test]
fn a_name_server_without_edns_is_asked_again_without_it() {
    let (harness, outcome) = look_up_with(Script::NoEdns);
    assert_eq!((targets(&outcome).len(), harness.resolver.counters().asked), (3, 2));
}

#[test]
fn aliases_are_followed_and_loops_are_detected() {
    let mut server = zone(3, 60);
    let other = name("_sip._tcp.other.example.org.");
    server.alias(&other, &service(), 20);
    let mut harness = Harness::new(ResolverParams { names: vec![other.clone()], ..params(1) }, vec![server]);
    let outcome = harness.first_outcome();
    assert!(
        matches!(&outcome, Outcome::Servers { targets, lifetime } if targets.len() == 3 && *lifetime == 20.0)
    );
    // A target may be an alias too.
    let mut server = zone(1, 60);
    server.addresses(&name("s0.auth.example.org."), &[], 60);
    server.alias(&name("s0.auth.example.org."), &name("real.example.org."), 60);
    server.addresses(&name("real.example.org."), &[IpAddr::from([127, 9, 9, 9])], 60);
    let mut harness = Harness::new(params(1), vec![server]);
    assert_eq!(targets(&harness.first_outcome())[0].addresses, [IpAddr::from([127, 9, 9, 9])]);
    let mut server = zone(3, 60);
    let back = name("_sip._tcp.back.example.org.");
    server.alias(&other, &back, 20);
    server.alias(&back, &other, 20);
    let mut harness = Harness::new(ResolverParams { names: vec![other], ..params(1) }, vec![server]);
    assert_eq!(harness.first_outcome(), Outcome::Failed);
    assert!(harness.steps.iter().any(|s| matches!(s, Step::AliasLoop { .. })));
}

#[test]
fn lifetimes_are_bounded_and_refreshes_start_before_they_end() {
    for (ttl, expected) in [(0, 5.0), (i32::MAX as u32, 3600.0), (60, 60.0)] {
        let mut harness = Harness::new(params(1), vec![zone(3, ttl)]);
        let outcome = harness.first_outcome();
        assert!(
            matches!(outcome, Outcome::Servers { lifetime, .. } if lifetime == expected),
            "{ttl}: {outcome:?}"
        );
        let (at, next) = (harness.now, harness.resolver.next_lookup(0).unwrap());
        assert!(next <= at + expected && next >= at + 0.7 * expected, "{ttl}: {next}");
        assert!(harness.run(at + expected).is_some(), "the refresh is within the lifetime");
    }
}

#[test]
fn a_failed_address_query_removes_no_server() {
    let mut server = zone(3, 60);
    server.script = Script::NoAdditional;
    let mut harness = Harness::new(params(1), vec![server]);
    assert_eq!(targets(&harness.first_outcome()).len(), 3);
    // From now on only the SRV query is answered: the script changes after the first query of each look-up.
    let mut found = None;
    for _ in 0..4 {
        let before = harness.servers[0].asked.len();
        harness.servers[0].script = Script::NoAdditional;
        while harness.servers[0].asked.len() == before {
            let deadline = harness.resolver.next_deadline();
            assert!(harness.run(deadline).is_none());
        }
        harness.servers[0].script = Script::Servfail;
        found = harness.run(harness.now + 60.0);
        if harness.steps.iter().any(|s| matches!(s, Step::LastKnown { .. })) {
            break;
        }
    }
    assert_eq!(targets(&found.unwrap()).len(), 3, "with the last known addresses");
}

#[test]
fn fronts_started_together_spread_their_first_lookups_and_refreshes() {
    let mut firsts = Vec::new();
    let mut refreshes = Vec::new();
    for seed in 0..281 {
        let mut resolver = Resolver::new(params(1), seed, 0.0);
        firsts.push(resolver.next_deadline());
        let mut server = zone(3, 60);
        let now = resolver.next_deadline();
        resolver.tick(now);
        let Some(ResolverOutput::SendQuery { ticket, bytes, .. }) = resolver.next_output() else {
            panic!("no query")
        };
        let answer = server.ask(now, &bytes, false).remove(0).bytes;
        resolver.handle(now, ResolverInput::Datagram { ticket, from: upstream(0), bytes: &answer });
        refreshes.push(resolver.next_deadline());
    }
    let max_within_one_second =
        |times: &[f64]| times.iter().map(|t| times.iter().filter(|u| (**u - t).abs() < 0.5).count()).max();
    assert!(
        max_within_one_second(&firsts).unwrap() < 281 / 2,
        "{:?} within one second of the start",
        max_within_one_second(&firsts)
    );
    assert!(
        max_within_one_second(&refreshes).unwrap() < 281 / 8,
        "{:?} refreshes within one second",
        max_within_one_second(&refreshes)
    );
}

/// A million answers with some bytes changed, inserted or cut off cause no panic, and look-ups still
/// complete.
#[test]
fn mutated_answers_cause_no_panic_and_no_hang() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut mutated = 0u32;
    let mut done = 0u32;
    let mut seed = 0;
    while mutated < 1_000_000 {
        seed += 1;
        let mut resolver = Resolver::new(ResolverParams { start_spread: 0.0, ..params(2) }, seed, 0.0);
        let mut server = zone(3, 60);
        server.script =
            [Script::Plain, Script::NoAdditional, Script::Truncates, Script::Lies][seed as usize % 4];
        let mut now = 0.0;
        for _ in 0..60 {
            resolver.tick(now);
            while let Some(out) = resolver.next_output() {
                let ResolverOutput::SendQuery { ticket, to: from, tcp, bytes } = out else {
                    done += u32::from(matches!(out, ResolverOutput::LookupDone { .. }));
                    continue;
                };
                let question = if tcp { &bytes[2..] } else { &bytes[..] };
                let Some(reply) = server.ask(now, question, tcp).pop() else { continue };
                let mut last = None;
                for _ in 0..200 {
                    let mut bad = reply.bytes.clone();
                    for _ in 0..rng.random_range(1..6) {
                        let at = rng.random_range(2..bad.len());
                        match rng.random_range(0..4) {
                            0 => bad[at] = rng.random(),
                            1 => bad.truncate(at + 1),
                            2 => bad.insert(at, rng.random()),
                            _ => bad[at] ^= 1 << rng.random_range(0..8),
                        }
                        if bad.len() < 4 {
                            break;
                        }
                    }
                    let deliver = |bad: &[u8], to: &mut Resolver| {
                        if tcp {
                            let framed = [&(bad.len() as u16).to_be_bytes()[..], bad].concat();
                            to.handle(now, ResolverInput::Stream { ticket, bytes: &framed });
                        } else {
                            to.handle(now, ResolverInput::Datagram { ticket, from, bytes: bad });
                        }
                    };
                    // Each mutated answer goes to a copy of the resolver that still waits for it; the run
                    // continues with the last copy.
                    let mut copy = resolver.clone();
                    deliver(&bad, &mut copy);
                    let (before, after) = (resolver.counters(), copy.counters());
                    assert_ne!(before, after, "the answer was handled");
                    mutated += 1;
                    last = Some(copy);
                }
                resolver = last.unwrap_or(resolver);
            }
            now = resolver.next_deadline().max(now + 0.001);
        }
        while resolver.next_step().is_some() {}
    }
    assert!(done > 100, "{done} look-ups completed");
}
