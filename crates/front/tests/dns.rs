//! A front whose servers come from DNS.

mod common;

use common::*;
use shalespindle_front::params::{DnsParams, FirstChoice};
use shalespindle_front::{Front, Input, Params};
use shalespindle_membership::ServiceStatus;
use shalespindle_srv::{Name, ResolverInput, ResolverParams};
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
        // The first choices of groups 0 and 1 come from the DNS records.
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
                try_timeout: 1.0,
                max_tries: 3,
                lifetime_bounds: (2.0, 600.0),
                max_negative_lifetime: 5.0,
                refresh_fraction: 0.3,
                retry_pause: (1.0, 8.0),
                start_spread: 0.0,
                udp_size: 1232,
                max_records: 100,
            },
            pools: [("s0.example.org.".to_string(), 0), ("s1.example.org.".to_string(), 1)].into(),
            first_pool: 2,
        }),
        ..params()
    }
}

/// Publishes targets as (number, index of the harness's server at its address, priority).
fn publish(name_server: &mut NameServer, targets: &[(u16, u16, u16)]) {
    let entry = |&(n, at, priority): &(u16, u16, u16)| Entry {
        target: name(&format!("s{n}.example.org.")),
        port: server(at).port(),
        priority,
        weight: 10,
    };
    let entries: Vec<Entry> = targets.iter().map(entry).collect();
    name_server.publish(&service(), &entries, 10);
    for entry in &entries {
        name_server.addresses(&entry.target, &[server(0).ip()], 10);
    }
}

/// Answers the front's queries until there are none.
fn answer_queries(harness: &mut Harness, name_server: &mut NameServer) {
    while let Some((ticket, to, tcp, bytes)) = harness.questions.pop() {
        let question = if tcp { &bytes[2..] } else { &bytes[..] };
        for reply in name_server.ask(harness.now, question, tcp) {
            if tcp {
                let framed = [&(reply.bytes.len() as u16).to_be_bytes()[..], &reply.bytes].concat();
                harness.input(Input::Dns(ResolverInput::Stream { ticket, bytes: &framed }));
            } else {
                harness.input(Input::Dns(ResolverInput::Datagram { ticket, from: to, bytes: &reply.bytes }));
            }
        }
    }
}

/// Advances the clock in small steps and answers queries.
fn advance(harness: &mut Harness, name_server: &mut NameServer, seconds: f64) {
    for _ in 0..(seconds * 10.0).round() as usize {
        harness.advance(0.1);
        answer_queries(harness, name_server);
    }
}

fn started_front(targets: &[(u16, u16, u16)]) -> (Harness, NameServer) {
    let mut name_server = NameServer::new(name("example.org."), 3);
    publish(&mut name_server, targets);
    let mut harness = Harness::without_servers(Front::new(with_dns(), 1, 1000.0));
    // Servers known from DNS alone count as cold at first; 20 s is past that.
    advance(&mut harness, &mut name_server, 20.0);
    harness.frames.clear();
    (harness, name_server)
}

fn status_of(harness: &Harness, at: u16) -> Option<ServiceStatus> {
    harness.front.members().find(|m| m.address() == server(at)).map(|m| m.status())
}

fn accept(harness: &mut Harness, at: u16, invite_sent: &str) {
    harness.server_sends(at, &reply(invite_sent, 200, "Contact: <sip:x@10.0.0.1>\r\n"));
}

#[test]
fn dns_alone_provides_servers_and_first_choices_by_priority() {
    let (mut harness, _core) = started_front(&[(0, 0, 20), (1, 1, 10)]);
    harness.invite("1", "tg-0", 3000);
    assert_eq!(
        harness.last_invite_sent().0,
        server(1),
        "the target with the lower priority value is the first choice of every group"
    );
    harness.invite("2", "tg-1", 3000);
    assert_eq!(harness.last_invite_sent().0, server(1));
}

#[test]
fn a_call_survives_an_address_change_of_its_target() {
    let (mut harness, mut name_server) = started_front(&[(0, 0, 10), (1, 1, 20)]);
    harness.invite("1", "tg-0", 3000);
    let (to, invite_sent) = harness.last_invite_sent();
    assert_eq!(to, server(0));
    accept(&mut harness, 0, &invite_sent);
    assert_eq!(harness.front.established(), 1);
    let answered = harness.answers.last().unwrap().clone();
    harness.caller_sends(&in_dialog_request(&answered, "ACK", "a"));
    // The same target name, at another address.
    publish(&mut name_server, &[(0, 2, 10), (1, 1, 20)]);
    advance(&mut harness, &mut name_server, 11.0);
    assert_eq!(
        (status_of(&harness, 0), status_of(&harness, 2)),
        (Some(ServiceStatus::Draining), Some(ServiceStatus::In))
    );
    // The server at the new address is cold at first; then it is the first choice again.
    advance(&mut harness, &mut name_server, 20.0);
    harness.frames.clear();
    harness.invite("2", "tg-0", 3000);
    assert_eq!(harness.last_invite_sent().0, server(2), "new attaches go to the new address");
    assert_eq!(harness.front.established(), 1, "the established call stays established");
    harness.caller_sends(&in_dialog_request(&answered, "BYE", "b"));
    let bye = harness.frames.iter().find(|f| f.1.starts_with("BYE")).expect("a BYE to the call's server");
    assert_eq!(bye.0, server(0));
}

#[test]
fn truncated_answers_are_read_over_tcp_while_the_list_drains_a_server() {
    let (mut harness, mut name_server) = started_front(&[(0, 0, 10), (1, 1, 10)]);
    name_server.script = Script::Truncates;
    harness.send_list(true, &[(0, "ready"), (1, "ready")]);
    advance(&mut harness, &mut name_server, 5.0);
    harness.send_list(false, &[(0, "draining")]);
    harness.frames.clear();
    for n in 0..20 {
        advance(&mut harness, &mut name_server, 0.5);
        harness.invite(&format!("{}", 100 + n), "tg-0", 3000);
        let (to, invite_sent) = harness.last_invite_sent();
        assert_eq!(to, server(1), "DNS over TCP still names server 0, but the list drains it");
        accept(&mut harness, 1, &invite_sent);
    }
    assert!(name_server.asked.len() > 4 && status_of(&harness, 0) == Some(ServiceStatus::Draining));
}

#[test]
fn a_silent_name_server_removes_no_server() {
    let (mut harness, mut name_server) = started_front(&[(0, 0, 10), (1, 1, 10)]);
    name_server.script = Script::Silent;
    advance(&mut harness, &mut name_server, 100.0);
    assert_eq!(
        (status_of(&harness, 0), status_of(&harness, 1)),
        (Some(ServiceStatus::In), Some(ServiceStatus::In))
    );
    assert!(harness.front.members().all(|m| m.needs_attention()), "all servers carry a warning by now");
    harness.invite("1", "tg-0", 3000);
    assert_eq!(harness.invites_sent(), 1);
}
