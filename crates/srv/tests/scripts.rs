//! The resolver against scripted name servers under virtual time.

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

/// Resolver and name servers, with a link of 1 ms each way.
struct World {
    now: f64,
    resolver: Resolver,
    servers: Vec<NameServer>,
    /// What is on the way: when, which ticket, over what, from whom, bytes.
    wire: Vec<(f64, u64, bool, SocketAddr, Vec<u8>)>,
    open: Vec<u64>,
    steps: Vec<Step>,
}

impl World {
    fn new(params: ResolverParams, servers: Vec<NameServer>) -> World {
        let resolver = Resolver::new(params, 3, 0.0);
        World { now: 0.0, resolver, servers, wire: Vec::new(), open: Vec::new(), steps: Vec::new() }
    }

    /// Until a look-up is done or `until` has come.
    fn run(&mut self, until: f64) -> Option<Outcome> {
        loop {
            while let Some(step) = self.resolver.next_step() {
                self.steps.push(step);
            }
            while let Some(out) = self.resolver.next_output() {
                match out {
                    ResolverOutput::SendQuery { ticket, to, tcp, bytes } => {
                        self.open.push(ticket);
                        let question = if tcp { &bytes[2..] } else { &bytes[..] };
                        let server = &mut self.servers[usize::from(to.port() - 5300)];
                        for reply in server.ask(self.now, question, tcp) {
                            let mut bytes = reply.bytes;
                            if tcp {
                                bytes.splice(0..0, (bytes.len() as u16).to_be_bytes());
                            }
                            self.wire.push((self.now + 0.002 + reply.after, ticket, tcp, to, bytes));
                        }
                    }
                    ResolverOutput::CloseSocket { ticket } => self.open.retain(|t| *t != ticket),
                    ResolverOutput::LookupDone { outcome, .. } => return Some(outcome),
                }
            }
            let first = self.wire.iter().map(|w| w.0).fold(f64::INFINITY, f64::min);
            let next = first.min(self.resolver.next_deadline());
            if next > until {
                self.now = until;
                return None;
            }
            self.now = next.max(self.now);
            let arrived: Vec<_> = {
                let now = self.now;
                let (arrived, rest) = self.wire.drain(..).partition(|w| w.0 <= now);
                self.wire = rest;
                arrived
            };
            for (_, ticket, tcp, from, bytes) in arrived {
                if !self.open.contains(&ticket) {
                    continue;
                }
                if tcp {
                    // A stream comes in any parts.
                    for part in bytes.chunks(7) {
                        self.resolver.handle(self.now, ResolverInput::Stream { ticket, bytes: part });
                    }
                } else {
                    self.resolver.handle(self.now, ResolverInput::Datagram { ticket, from, bytes: &bytes });
                }
            }
            self.resolver.tick(self.now);
        }
    }

    fn first(&mut self) -> Outcome {
        self.run(60.0).expect("a look-up ends in a minute")
    }
}

fn targets(outcome: &Outcome) -> &[Target] {
    match outcome {
        Outcome::Servers { targets, .. } => targets,
        other => panic!("{other:?}"),
    }
}

fn scripted(script: Script) -> (World, Outcome) {
    let mut server = zone(3, 60);
    server.script = script;
    let mut world = World::new(params(1), vec![server]);
    let outcome = world.first();
    (world, outcome)
}

#[test]
fn records_with_their_addresses_in_the_order_of_priority_and_weight() {
    let (world, outcome) = scripted(Script::Plain);
    let found = targets(&outcome);
    assert_eq!(found.iter().map(|t| t.weight).collect::<Vec<_>>(), [12, 11, 10]);
    assert_eq!(found[0].addresses, [IpAddr::from([127, 3, 0, 3])]);
    assert_eq!(world.resolver.counters().asked, 1, "additional records are enough");
    assert!(matches!(outcome, Outcome::Servers { lifetime, .. } if lifetime == 60.0));
    assert!(world.open.is_empty());
}

#[test]
fn addresses_are_asked_for_where_they_are_not_added() {
    let (world, outcome) = scripted(Script::NoAdditional);
    assert_eq!(targets(&outcome).len(), 3);
    assert_eq!(world.resolver.counters().asked, 1 + 3 * 2, "A and AAAA of each target");
}

#[test]
fn what_is_truncated_is_asked_for_over_tcp() {
    let (world, outcome) = scripted(Script::Truncates);
    assert_eq!(targets(&outcome).len(), 3);
    let counters = world.resolver.counters();
    assert_eq!((counters.asked_tcp, counters.truncated), (1, 1));
    // A zone too large for a datagram leads there by itself.
    let mut world = World::new(params(1), vec![zone(40, 60)]);
    assert_eq!(targets(&world.first()).len(), 40);
    assert_eq!(world.resolver.counters().asked_tcp, 1);
}

#[test]
fn a_tcp_side_that_hangs_is_given_up_and_another_server_asked() {
    let mut hangs = zone(3, 60);
    hangs.script = Script::TcpHangs;
    let mut world = World::new(params(2), vec![hangs, zone(3, 60)]);
    assert_eq!(targets(&world.first()).len(), 3);
    assert_eq!(world.resolver.counters().timed_out, 1);
    let (_, alone) = scripted(Script::TcpHangs);
    assert_eq!(alone, Outcome::Failed);
}

#[test]
fn servers_that_fail_are_left_for_others_and_all_failing_is_a_failure() {
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
        let mut world = World::new(params(2), vec![bad, zone(3, 60)]);
        assert_eq!(targets(&world.first()).len(), 3, "{script:?}");
        let begun = world.servers[0].asked.len();
        assert!(begun >= 1);
        // The next look-up asks the healthy one first.
        assert!(world.run(world.now + 60.0).is_some());
        let (_, alone) = scripted(script);
        assert_eq!(alone, Outcome::Failed, "{script:?}");
    }
}

#[test]
fn empty_answers_are_told_from_failures_and_kept_for_their_time() {
    for script in [Script::Nxdomain, Script::Empty] {
        let (mut world, outcome) = scripted(script);
        assert_eq!(outcome, Outcome::Empty, "{script:?}");
        // RFC 2308: within its lifetime nobody is asked again.
        let asked = world.servers[0].asked.len();
        assert_eq!(world.run(world.now + 3.0), Some(Outcome::Empty));
        assert_eq!(world.servers[0].asked.len(), asked);
        world.servers[0].script = Script::Plain;
        let back = (0..20).find_map(|_| match world.run(world.now + 60.0) {
            Some(Outcome::Servers { targets, .. }) => Some(targets.len()),
            _ => None,
        });
        assert_eq!(back, Some(3));
    }
}

#[test]
fn answers_that_are_not_to_the_question_are_dropped_and_the_true_one_taken() {
    let (world, outcome) = scripted(Script::WrongId);
    assert_eq!(targets(&outcome).len(), 3);
    assert!(world.steps.contains(&Step::Dropped { why: DropReason::WrongId }));
    let (world, _) = scripted(Script::WrongQuestion);
    assert!(world.steps.contains(&Step::Dropped { why: DropReason::WrongQuestion }));
    // From elsewhere.
    let mut resolver = Resolver::new(ResolverParams { start_spread: 0.0, ..params(1) }, 1, 0.0);
    resolver.tick(0.0);
    let Some(ResolverOutput::SendQuery { ticket, bytes, .. }) = resolver.next_output() else {
        panic!("a question")
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
fn records_of_other_names_count_for_nothing() {
    let (_, outcome) = scripted(Script::Lies);
    assert_eq!(targets(&outcome).len(), 3);
    assert!(targets(&outcome).iter().all(|t| t.port != 6666));
}

#[test]
fn a_server_without_edns_is_asked_without() {
    let (world, outcome) = scripted(Script::NoEdns);
    assert_eq!((targets(&outcome).len(), world.resolver.counters().asked), (3, 2));
}

#[test]
fn aliases_are_followed_and_their_loops_seen() {
    let mut server = zone(3, 60);
    let other = name("_sip._tcp.other.example.org.");
    server.alias(&other, &service(), 20);
    let mut world = World::new(ResolverParams { names: vec![other.clone()], ..params(1) }, vec![server]);
    let outcome = world.first();
    assert!(
        matches!(&outcome, Outcome::Servers { targets, lifetime } if targets.len() == 3 && *lifetime == 20.0)
    );
    // Targets may be aliases too.
    let mut server = zone(1, 60);
    server.addresses(&name("s0.auth.example.org."), &[], 60);
    server.alias(&name("s0.auth.example.org."), &name("real.example.org."), 60);
    server.addresses(&name("real.example.org."), &[IpAddr::from([127, 9, 9, 9])], 60);
    let mut world = World::new(params(1), vec![server]);
    assert_eq!(targets(&world.first())[0].addresses, [IpAddr::from([127, 9, 9, 9])]);
    let mut server = zone(3, 60);
    let back = name("_sip._tcp.back.example.org.");
    server.alias(&other, &back, 20);
    server.alias(&back, &other, 20);
    let mut world = World::new(ResolverParams { names: vec![other], ..params(1) }, vec![server]);
    assert_eq!(world.first(), Outcome::Failed);
    assert!(world.steps.iter().any(|s| matches!(s, Step::AliasLoop { .. })));
}

#[test]
fn lifetimes_have_a_floor_and_a_ceiling_and_a_refresh_comes_before_their_end() {
    for (ttl, expected) in [(0, 5.0), (i32::MAX as u32, 3600.0), (60, 60.0)] {
        let mut world = World::new(params(1), vec![zone(3, ttl)]);
        let outcome = world.first();
        assert!(
            matches!(outcome, Outcome::Servers { lifetime, .. } if lifetime == expected),
            "{ttl}: {outcome:?}"
        );
        let (at, next) = (world.now, world.resolver.next_lookup(0).unwrap());
        assert!(next <= at + expected && next >= at + 0.7 * expected, "{ttl}: {next}");
        assert!(world.run(at + expected).is_some(), "it is asked again within the lifetime");
    }
}

#[test]
fn an_address_that_cannot_be_had_takes_no_server_out() {
    let mut server = zone(3, 60);
    server.script = Script::NoAdditional;
    let mut world = World::new(params(1), vec![server]);
    assert_eq!(targets(&world.first()).len(), 3);
    // Only the SRV question is answered now: by a script that changes after the first question.
    let mut found = None;
    for _ in 0..4 {
        let before = world.servers[0].asked.len();
        world.servers[0].script = Script::NoAdditional;
        while world.servers[0].asked.len() == before {
            let due = world.resolver.next_deadline();
            assert!(world.run(due).is_none());
        }
        world.servers[0].script = Script::Servfail;
        found = world.run(world.now + 60.0);
        if world.steps.iter().any(|s| matches!(s, Step::LastKnown { .. })) {
            break;
        }
    }
    assert_eq!(targets(&found.unwrap()).len(), 3, "those last known");
}

#[test]
fn fronts_started_together_ask_apart_and_stay_apart() {
    let mut firsts = Vec::new();
    let mut refreshes = Vec::new();
    for seed in 0..281 {
        let mut resolver = Resolver::new(params(1), seed, 0.0);
        firsts.push(resolver.next_deadline());
        let mut server = zone(3, 60);
        let now = resolver.next_deadline();
        resolver.tick(now);
        let Some(ResolverOutput::SendQuery { ticket, bytes, .. }) = resolver.next_output() else {
            panic!("a question")
        };
        let answer = server.ask(now, &bytes, false).remove(0).bytes;
        resolver.handle(now, ResolverInput::Datagram { ticket, from: upstream(0), bytes: &answer });
        refreshes.push(resolver.next_deadline());
    }
    let most =
        |times: &[f64]| times.iter().map(|t| times.iter().filter(|u| (**u - t).abs() < 0.5).count()).max();
    assert!(most(&firsts).unwrap() < 281 / 2, "{:?} within one second of the start", most(&firsts));
    assert!(most(&refreshes).unwrap() < 281 / 8, "{:?} refreshes within one second", most(&refreshes));
}

/// A million answers, each with some bytes changed, cut or doubled: never a panic, never a state that hangs.
#[test]
fn mutated_answers_do_no_harm() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut taken = 0u32;
    let mut done = 0u32;
    let mut seed = 0;
    while taken < 1_000_000 {
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
                    let report = |bad: &[u8], to: &mut Resolver| {
                        if tcp {
                            let framed = [&(bad.len() as u16).to_be_bytes()[..], bad].concat();
                            to.handle(now, ResolverInput::Stream { ticket, bytes: &framed });
                        } else {
                            to.handle(now, ResolverInput::Datagram { ticket, from, bytes: bad });
                        }
                    };
                    // Each at a resolver that still waits for it; the last one goes on with what it took.
                    let mut other = resolver.clone();
                    report(&bad, &mut other);
                    let (before, after) = (resolver.counters(), other.counters());
                    assert_ne!(before, after, "it was read");
                    taken += 1;
                    last = Some(other);
                }
                resolver = last.unwrap_or(resolver);
            }
            now = resolver.next_deadline().max(now + 0.001);
        }
        while resolver.next_step().is_some() {}
    }
    assert!(done > 100, "{done} look-ups came to an end");
}
