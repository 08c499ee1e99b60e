//! A front whose servers DNS names.

mod common;

use common::*;
use shalespindle_front::params::{DnsParams, FirstChoice};
use shalespindle_front::{Front, Input, Params};
use shalespindle_membership::ServiceStatus;
use shalespindle_srv::{In, Name, ResolverParams};
use shalespindle_standin::nameserver::{Entry, NameServer, Script};
use std::net::SocketAddr;

fn name(text: &str) -> Name {
    Name::from_ascii(text).unwrap()
}

fn service() -> Name {
    name("_sip._tcp.auth.example.org.")
}

fn with_dns() -> Params {
    Params {
        // Groups 0 and 1 are dealt by the records.
        trunk_groups: [
            ("tg-0".to_string(), FirstChoice::Dns(0)),
            ("tg-1".to_string(), FirstChoice::Dns(1)),
            ("tg-2".to_string(), FirstChoice::Pool(2)),
        ]
        .into(),
        dns_groups: 2,
        dns: Some(DnsParams {
            resolver: ResolverParams {
                upstreams: vec![SocketAddr::from(([127, 0, 0, 1], 53))],
                names: vec![service()],
                try_within: 1.0,
                tries: 3,
                lifetime: (2.0, 600.0),
                negative_longest: 5.0,
                early: 0.3,
                pause: (1.0, 8.0),
                start_spread: 0.0,
                udp_size: 1232,
                most_records: 100,
            },
            pools: [("s0.example.org.".to_string(), 0), ("s1.example.org.".to_string(), 1)].into(),
            first_pool: 2,
        }),
        ..params()
    }
}

/// Targets by number, at the addresses of the bench's servers; each with its priority.
fn publish(core: &mut NameServer, targets: &[(u16, u16, u16)]) {
    let entry = |&(n, at, priority): &(u16, u16, u16)| Entry {
        target: name(&format!("s{n}.example.org.")),
        port: server(at).port(),
        priority,
        weight: 10,
    };
    let entries: Vec<Entry> = targets.iter().map(entry).collect();
    core.publish(&service(), &entries, 10);
    for entry in &entries {
        core.addresses(&entry.target, &[server(0).ip()], 10);
    }
}

/// Answers what the front asks until it asks nothing.
fn answer(b: &mut Bench, core: &mut NameServer) {
    while let Some((ticket, to, tcp, bytes)) = b.questions.pop() {
        let question = if tcp { &bytes[2..] } else { &bytes[..] };
        for reply in core.ask(b.now, question, tcp) {
            if tcp {
                let framed = [&(reply.bytes.len() as u16).to_be_bytes()[..], &reply.bytes].concat();
                b.take(Input::Dns(In::Stream { ticket, bytes: &framed }));
            } else {
                b.take(Input::Dns(In::Datagram { ticket, from: to, bytes: &reply.bytes }));
            }
        }
    }
}

/// Passes time in small steps, answering questions.
fn pass(b: &mut Bench, core: &mut NameServer, seconds: f64) {
    for _ in 0..(seconds * 10.0).round() as usize {
        b.pass(0.1);
        answer(b, core);
    }
}

fn started(targets: &[(u16, u16, u16)]) -> (Bench, NameServer) {
    let mut core = NameServer::new(name("example.org."), 3);
    publish(&mut core, targets);
    let mut b = Bench::bare(Front::new(with_dns(), 1, 1000.0));
    // What DNS alone names is cold at first: past that.
    pass(&mut b, &mut core, 20.0);
    b.frames.clear();
    (b, core)
}

fn verdict(b: &Bench, at: u16) -> Option<ServiceStatus> {
    b.front.members().find(|m| m.address() == server(at)).map(|m| m.status())
}

fn ok(b: &mut Bench, at: u16, set_up: &str) {
    b.server_sends(at, &reply(set_up, 200, "Contact: <sip:x@10.0.0.1>\r\n"));
}

#[test]
fn dns_alone_serves_and_deals_first_choices_by_priority() {
    let (mut b, _core) = started(&[(0, 0, 20), (1, 1, 10)]);
    b.invite("1", "tg-0", 3000);
    assert_eq!(b.last_set_up().0, server(1), "the lower priority is the first choice of every group");
    b.invite("2", "tg-1", 3000);
    assert_eq!(b.last_set_up().0, server(1));
}

#[test]
fn a_call_stands_on_while_its_target_moves() {
    let (mut b, mut core) = started(&[(0, 0, 10), (1, 1, 20)]);
    b.invite("1", "tg-0", 3000);
    let (to, set_up) = b.last_set_up();
    assert_eq!(to, server(0));
    ok(&mut b, 0, &set_up);
    assert_eq!(b.front.established(), 1);
    let answered = b.answers.last().unwrap().clone();
    b.caller_sends(&within(&answered, "ACK", "a"));
    // The same name, another address.
    publish(&mut core, &[(0, 2, 10), (1, 1, 20)]);
    pass(&mut b, &mut core, 11.0);
    assert_eq!((verdict(&b, 0), verdict(&b, 2)), (Some(ServiceStatus::Draining), Some(ServiceStatus::In)));
    // It is cold where it is now; then it is the first choice again.
    pass(&mut b, &mut core, 20.0);
    b.frames.clear();
    b.invite("2", "tg-0", 3000);
    assert_eq!(b.last_set_up().0, server(2), "new ones go where it is now");
    assert_eq!(b.front.established(), 1, "what stood stands");
    b.caller_sends(&within(&answered, "BYE", "b"));
    let bye = b.frames.iter().find(|f| f.1.starts_with("BYE")).expect("released where it stands");
    assert_eq!(bye.0, server(0));
}

#[test]
fn tcp_carries_look_ups_while_the_list_reports_a_deploy() {
    let (mut b, mut core) = started(&[(0, 0, 10), (1, 1, 10)]);
    core.script = Script::Truncates;
    b.list(true, &[(0, "ready"), (1, "ready")]);
    pass(&mut b, &mut core, 5.0);
    b.list(false, &[(0, "draining")]);
    b.frames.clear();
    for n in 0..20 {
        pass(&mut b, &mut core, 0.5);
        b.invite(&format!("{}", 100 + n), "tg-0", 3000);
        let (to, set_up) = b.last_set_up();
        assert_eq!(to, server(1), "DNS over TCP still names the other, but the list drains it");
        ok(&mut b, 1, &set_up);
    }
    assert!(core.asked.len() > 4 && verdict(&b, 0) == Some(ServiceStatus::Draining));
}

#[test]
fn a_name_server_that_goes_away_takes_nobody_out() {
    let (mut b, mut core) = started(&[(0, 0, 10), (1, 1, 10)]);
    core.script = Script::Silent;
    pass(&mut b, &mut core, 100.0);
    assert_eq!((verdict(&b, 0), verdict(&b, 1)), (Some(ServiceStatus::In), Some(ServiceStatus::In)));
    assert!(b.front.members().all(|m| m.needs_attention()), "with a warning by now");
    b.invite("1", "tg-0", 3000);
    assert_eq!(b.set_ups(), 1);
}
