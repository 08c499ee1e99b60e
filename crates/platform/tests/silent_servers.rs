//! Servers that fall silent, are replaced at their address, or speak on some of their connections alone, while the list
//! tells nothing of it: when the calls that stand on them end.

mod common;

use common::*;
use shalespindle_platform::{ConnectionId, Loss};

/// A front whose call 1 stands on its one server, and the caller's connection.
fn with_a_call() -> (World, ConnectionId, ConnectionId) {
    let (mut w, links) = World::linked(1);
    let client = w.caller(links[0], 1);
    w.took(links[0]);
    (w, links[0], client)
}

fn byes(w: &mut World, client: ConnectionId) -> usize {
    w.answers(client).iter().filter(|a| a.0 == "BYE").count()
}

/// Time passes, and every dial to the server ends like this.
fn pass_with_dials(w: &mut World, seconds: f64, loss: Loss) {
    let until = w.now + seconds;
    while w.now < until {
        w.pass(0.1);
        while let Some(place) = w.dials.iter().position(|d| d.1 == 6000) {
            let dialled = w.dials.remove(place).0;
            w.lose(dialled, loss);
        }
    }
}

#[test]
fn calls_of_a_silent_server_end_within_the_platforms_time_and_it_is_told_when_it_is_heard_again() {
    let (mut w, link, client) = with_a_call();
    pass_with_dials(&mut w, 6.8, Loss::Broken);
    assert_eq!(byes(&mut w, client), 0, "it may only be cut off");
    assert!(w.took(link).contains(r#""type":"ping""#), "it is asked");
    pass_with_dials(&mut w, 0.4, Loss::Broken);
    assert_eq!(byes(&mut w, client), 1);
    assert_eq!(w.edge.counters().calls_at_silent_servers, 1);
    assert_eq!(w.edge.gauges()[1], 0);
    // It was only cut off: its call is not left standing there.
    w.took(link);
    w.say(link, STATE);
    let told = w.took(link);
    assert!(told.contains(r#""type":"release""#) && told.contains(&id(1)) && told.contains("41"), "{told}");
}

#[test]
fn a_server_that_answers_when_it_is_asked_keeps_its_calls() {
    let (mut w, link, client) = with_a_call();
    for _ in 0..300 {
        w.pass(0.1);
        for ping in w.took(link).lines().filter(|l| l.contains("ping")) {
            w.say(link, &ping.replace("ping", "pong"));
        }
    }
    assert_eq!((byes(&mut w, client), w.edge.gauges()[1]), (0, 1));
}

/// Where the deployment allows no tests a new connection asks, on which the server says its state first.
#[test]
fn where_tests_are_not_allowed_a_new_connection_asks() {
    let member = member("s0", 0, "up", 0);
    let text = file(&[event(1, true, &[member])], 4222).replace(r#""probes": true"#, r#""probes": false"#);
    let mut w = World::from(&text);
    let link = w.link(0);
    let client = w.caller(link, 1);
    w.took(link);
    for _ in 0..150 {
        w.pass(0.1);
        if w.dials.iter().any(|d| d.1 == 6000) {
            w.link(0);
        }
    }
    assert_eq!((byes(&mut w, client), w.edge.gauges()[1]), (0, 1));
    assert!(!w.took(link).contains("ping"));
    pass_with_dials(&mut w, 7.2, Loss::Broken);
    assert_eq!(byes(&mut w, client), 1, "nothing comes up any more");
}

/// Two links; the call's own leads nowhere any more, the other speaks. What the server could not say there it says on the
/// next connection that is made.
#[test]
fn a_link_that_is_silent_while_its_server_speaks_is_replaced() {
    let (mut w, links) = World::linked(1);
    let client = w.client();
    w.bytes(client, [invite(1, 0), invite(2, 0)].concat().as_bytes());
    let second = w.link(0);
    for call in [1, 2] {
        w.say(links[0], &answer(call));
        w.bytes(client, request("ACK", call).as_bytes());
    }
    w.took(client);
    let begin = w.now;
    while !w.closed.contains(&(links[0], true)) {
        w.pass(0.1);
        w.say(second, STATE);
        assert!(w.now - begin < 7.0, "{:?}", w.closed);
    }
    let next = w.link(0);
    w.say(next, &release(1, 16, ""));
    assert_eq!(byes(&mut w, client), 1);
    assert_eq!(w.edge.gauges()[1], 1, "the other call stands");
}

#[test]
fn calls_end_when_another_process_answers_at_their_servers_address() {
    let (mut w, link, client) = with_a_call();
    w.lose(link, Loss::Broken);
    let refused = w.dialled(0);
    w.lose(refused, Loss::Refused);
    w.pass(0.3);
    assert_eq!(byes(&mut w, client), 0, "a process may be restarting its listener");
    w.link(0);
    assert_eq!(byes(&mut w, client), 1);
    assert_eq!(w.edge.gauges()[1], 0);
}

#[test]
fn calls_stay_when_a_connection_was_reset_and_the_next_comes_up_at_once() {
    let (mut w, link, client) = with_a_call();
    w.lose(link, Loss::Broken);
    let again = w.link(0);
    assert_eq!((byes(&mut w, client), w.edge.gauges()[1]), (0, 1));
    // And the process that has no room for another connection, but speaks on this one, is there.
    w.bytes(client, [invite(2, 0), invite(3, 0)].concat().as_bytes());
    for _ in 0..60 {
        w.say(again, STATE);
        pass_with_dials(&mut w, 0.1, Loss::Refused);
    }
    assert_eq!((byes(&mut w, client), w.edge.gauges()[1]), (0, 1));
}

/// What a front knows at its start names a server, says that it was removed, and names its successor at its address.
#[test]
fn a_front_that_starts_dials_nobody_who_was_removed() {
    let (old, new) = (member("s0", 0, "up", 0), member("s1", 0, "up", 0));
    let removed = member("s0", 0, "removed", 0);
    let known = [event(1, true, &[old]), event(2, false, &[removed]), event(3, false, &[new])];
    let mut w = World::from(&file(&known, 4222));
    assert_eq!(w.dials.iter().filter(|d| d.1 == 6000).count(), 1);
    let link = w.link(0);
    let client = w.client();
    w.bytes(client, invite_with(1, "X-Setup-Ms: 3000\r\nX-Route: at:s1\r\n", "x").as_bytes());
    w.say(link, &release(1, 16, ""));
    assert_eq!(byes(&mut w, client), 1);
}

/// A call that was handed over names a server of which this front has never heard a word.
#[test]
fn a_call_handed_over_whose_server_cannot_be_reached_ends_sooner() {
    let mut w = World::new(1);
    let client = w.client();
    let handed = invite_with(1, "X-Setup-Ms: 3000\r\nX-Route: at:s0\r\n", "x");
    w.bytes(client, handed.as_bytes());
    pass_with_dials(&mut w, 2.8, Loss::Broken);
    assert_eq!(byes(&mut w, client), 0);
    pass_with_dials(&mut w, 0.5, Loss::Broken);
    assert_eq!(byes(&mut w, client), 1);
}

/// The server's machine takes connections, and its process says nothing.
#[test]
fn a_server_that_hangs_and_has_said_its_state_before_gets_no_set_up_on_a_connection_that_is_only_made() {
    let (mut w, link, _) = with_a_call();
    w.lose(link, Loss::Broken);
    for _ in 0..20 {
        w.pass(0.1);
        while let Some(place) = w.dials.iter().position(|d| d.1 == 6000) {
            let dialled = w.dials.remove(place).0;
            w.edge.connected(w.now, dialled);
            w.poll();
        }
    }
    let client = w.client();
    w.bytes(client, invite(2, 0).as_bytes());
    w.pass(0.4);
    assert!(!w.written.values().any(|b| String::from_utf8_lossy(b).contains(r#""type":"setup""#)));
}

#[test]
fn a_callers_connection_on_which_calls_stand_is_not_closed_for_idleness() {
    let (mut w, link, client) = with_a_call();
    for _ in 0..100 {
        w.pass(0.1);
        w.say(link, STATE);
    }
    assert!(!w.closed.contains(&(client, false)));
    w.say(link, &release(1, 16, ""));
    assert_eq!(byes(&mut w, client), 1);
    for _ in 0..70 {
        w.pass(0.1);
        w.say(link, STATE);
    }
    assert!(w.closed.contains(&(client, false)), "nothing is left on it");
}

/// The front has been restarted: its server says on the first new connection which calls are over, and only then their
/// caller hands them over.
#[test]
fn a_call_whose_end_was_read_before_it_was_handed_over_is_told_at_once() {
    let (mut w, links) = World::linked(1);
    w.say(links[0], &release(1, 16, ""));
    let client = w.client();
    w.bytes(client, invite_with(1, "X-Setup-Ms: 3000\r\nX-Route: at:s0\r\n", "x").as_bytes());
    assert_eq!(byes(&mut w, client), 1);
    assert_eq!(w.edge.gauges()[1], 0);
    // Also where the list does not name its server yet.
    w.bytes(client, invite_with(2, "X-Setup-Ms: 3000\r\nX-Route: at:s9\r\n", "x").as_bytes());
    assert_eq!(byes(&mut w, client), 0);
    w.say(links[0], &release(2, 16, ""));
    assert_eq!(byes(&mut w, client), 1);
}
