//! When calls end whose server falls silent, is replaced at its address, or sends on only some of its links,
//! without any news from the feed.

mod common;

use common::*;
use shalespindle_platform::{ConnectionId, Loss};

/// A front with one server at which call 1 is established; returns its link and client connection.
fn with_a_call() -> (TestFront, ConnectionId, ConnectionId) {
    let (mut front, links) = TestFront::with_links(1);
    let client = front.establish_call(links[0], 1);
    front.take_written(links[0]);
    (front, links[0], client)
}

fn count_byes(front: &mut TestFront, client: ConnectionId) -> usize {
    front.take_answers(client).iter().filter(|a| a.0 == "BYE").count()
}

/// Advances the clock while every dial to the server ends with `loss`.
fn pass_with_dials(front: &mut TestFront, seconds: f64, loss: Loss) {
    let until = front.now + seconds;
    while front.now < until {
        front.advance(0.1);
        while let Some(position) = front.dials.iter().position(|d| d.1 == 6000) {
            let dialled = front.dials.remove(position).0;
            front.lose_connection(dialled, loss);
        }
    }
}

#[test]
fn calls_of_a_silent_server_end_in_time_and_are_released_there_when_it_returns() {
    let (mut front, link, client) = with_a_call();
    pass_with_dials(&mut front, 6.8, Loss::Broken);
    assert_eq!(count_byes(&mut front, client), 0, "the server may only be unreachable");
    assert!(front.take_written(link).contains(r#""type":"ping""#), "the server is probed");
    pass_with_dials(&mut front, 0.4, Loss::Broken);
    assert_eq!(count_byes(&mut front, client), 1);
    assert_eq!(front.edge.counters().calls_at_silent_servers, 1);
    assert_eq!(front.edge.gauges()[1], 0);
    // The server was only unreachable: its call is released there when it returns.
    front.take_written(link);
    front.send_line(link, STATE);
    let written = front.take_written(link);
    assert!(
        written.contains(r#""type":"release""#) && written.contains(&id(1)) && written.contains("41"),
        "{written}"
    );
}

#[test]
fn a_server_that_answers_probes_keeps_its_calls() {
    let (mut front, link, client) = with_a_call();
    for _ in 0..300 {
        front.advance(0.1);
        for ping in front.take_written(link).lines().filter(|l| l.contains("ping")) {
            front.send_line(link, &ping.replace("ping", "pong"));
        }
    }
    assert_eq!((count_byes(&mut front, client), front.edge.gauges()[1]), (0, 1));
}

/// If the deployment allows no probes, a new connection is used instead, on which the server sends its state
/// first.
#[test]
fn without_probes_a_silent_server_is_checked_with_a_new_connection() {
    let member = member("s0", 0, "up", 0);
    let text = file(&[event(1, true, &[member])], 4222).replace(r#""probes": true"#, r#""probes": false"#);
    let mut front = TestFront::from(&text);
    let link = front.bring_up_link(0);
    let client = front.establish_call(link, 1);
    front.take_written(link);
    for _ in 0..150 {
        front.advance(0.1);
        if front.dials.iter().any(|d| d.1 == 6000) {
            front.bring_up_link(0);
        }
    }
    assert_eq!((count_byes(&mut front, client), front.edge.gauges()[1]), (0, 1));
    assert!(!front.take_written(link).contains("ping"));
    pass_with_dials(&mut front, 7.2, Loss::Broken);
    assert_eq!(count_byes(&mut front, client), 1, "nothing comes up any more");
}

/// The call's own link is broken while the server sends on another. What it could not send there it sends on
/// the next new connection.
#[test]
fn a_link_that_is_silent_while_its_server_sends_on_another_is_replaced() {
    let (mut front, links) = TestFront::with_links(1);
    let client = front.client();
    front.bytes(client, [invite(1, 0), invite(2, 0)].concat().as_bytes());
    let second = front.bring_up_link(0);
    for call in [1, 2] {
        front.send_line(links[0], &answer(call));
        front.bytes(client, request("ACK", call).as_bytes());
    }
    front.take_written(client);
    let begin = front.now;
    while !front.closed.contains(&(links[0], true)) {
        front.advance(0.1);
        front.send_line(second, STATE);
        assert!(front.now - begin < 7.0, "{:?}", front.closed);
    }
    let next = front.bring_up_link(0);
    front.send_line(next, &release(1, 16, ""));
    assert_eq!(count_byes(&mut front, client), 1);
    assert_eq!(front.edge.gauges()[1], 1, "the other call is established");
}

#[test]
fn calls_end_when_another_process_answers_at_their_servers_address() {
    let (mut front, link, client) = with_a_call();
    front.lose_connection(link, Loss::Broken);
    let refused = front.take_dial(0);
    front.lose_connection(refused, Loss::Refused);
    front.advance(0.3);
    assert_eq!(count_byes(&mut front, client), 0, "a process may be restarting its listener");
    front.bring_up_link(0);
    assert_eq!(count_byes(&mut front, client), 1);
    assert_eq!(front.edge.gauges()[1], 0);
}

#[test]
fn calls_stay_after_a_reset_if_the_next_connection_comes_up_at_once() {
    let (mut front, link, client) = with_a_call();
    front.lose_connection(link, Loss::Broken);
    let again = front.bring_up_link(0);
    assert_eq!((count_byes(&mut front, client), front.edge.gauges()[1]), (0, 1));
    // A process that refuses further connections but sends on this link is alive.
    front.bytes(client, [invite(2, 0), invite(3, 0)].concat().as_bytes());
    for _ in 0..60 {
        front.send_line(again, STATE);
        pass_with_dials(&mut front, 0.1, Loss::Refused);
    }
    assert_eq!((count_byes(&mut front, client), front.edge.gauges()[1]), (0, 1));
}

/// The known events of the start file list a server, remove it, and list its successor at the same address.
#[test]
fn a_starting_front_does_not_dial_removed_servers() {
    let (old, new) = (member("s0", 0, "up", 0), member("s1", 0, "up", 0));
    let removed = member("s0", 0, "removed", 0);
    let known = [event(1, true, &[old]), event(2, false, &[removed]), event(3, false, &[new])];
    let mut front = TestFront::from(&file(&known, 4222));
    assert_eq!(front.dials.iter().filter(|d| d.1 == 6000).count(), 1);
    let link = front.bring_up_link(0);
    let client = front.client();
    front.bytes(client, invite_with(1, "X-Setup-Ms: 3000\r\nX-Route: at:s1\r\n", "x").as_bytes());
    front.send_line(link, &release(1, 16, ""));
    assert_eq!(count_byes(&mut front, client), 1);
}

/// A handed-over call names a server from which this front has never received a line.
#[test]
fn a_call_handed_over_whose_server_cannot_be_reached_ends_sooner() {
    let mut front = TestFront::new(1);
    let client = front.client();
    let handed = invite_with(1, "X-Setup-Ms: 3000\r\nX-Route: at:s0\r\n", "x");
    front.bytes(client, handed.as_bytes());
    pass_with_dials(&mut front, 2.8, Loss::Broken);
    assert_eq!(count_byes(&mut front, client), 0);
    pass_with_dials(&mut front, 0.5, Loss::Broken);
    assert_eq!(count_byes(&mut front, client), 1);
}

/// The server's machine accepts connections, but its process sends nothing.
#[test]
fn a_hanging_server_that_announced_its_state_before_gets_no_set_up_on_a_silent_connection() {
    let (mut front, link, _) = with_a_call();
    front.lose_connection(link, Loss::Broken);
    for _ in 0..20 {
        front.advance(0.1);
        while let Some(position) = front.dials.iter().position(|d| d.1 == 6000) {
            let dialled = front.dials.remove(position).0;
            front.edge.connected(front.now, dialled);
            front.poll();
        }
    }
    let client = front.client();
    front.bytes(client, invite(2, 0).as_bytes());
    front.advance(0.4);
    assert!(!front.written.values().any(|b| String::from_utf8_lossy(b).contains(r#""type":"setup""#)));
}

#[test]
fn a_client_connection_with_established_calls_is_not_closed_as_idle() {
    let (mut front, link, client) = with_a_call();
    for _ in 0..100 {
        front.advance(0.1);
        front.send_line(link, STATE);
    }
    assert!(!front.closed.contains(&(client, false)));
    front.send_line(link, &release(1, 16, ""));
    assert_eq!(count_byes(&mut front, client), 1);
    for _ in 0..70 {
        front.advance(0.1);
        front.send_line(link, STATE);
    }
    assert!(front.closed.contains(&(client, false)), "no call is left on it");
}

/// After a restart of the front the server repeats its releases on the first new connection, before the
/// caller hands its call over.
#[test]
fn a_call_released_before_its_handover_is_ended_at_once() {
    let (mut front, links) = TestFront::with_links(1);
    front.send_line(links[0], &release(1, 16, ""));
    let client = front.client();
    front.bytes(client, invite_with(1, "X-Setup-Ms: 3000\r\nX-Route: at:s0\r\n", "x").as_bytes());
    assert_eq!(count_byes(&mut front, client), 1);
    assert_eq!(front.edge.gauges()[1], 0);
    // The same if the server is not listed yet.
    front.bytes(client, invite_with(2, "X-Setup-Ms: 3000\r\nX-Route: at:s9\r\n", "x").as_bytes());
    assert_eq!(count_byes(&mut front, client), 0);
    front.send_line(links[0], &release(2, 16, ""));
    assert_eq!(count_byes(&mut front, client), 1);
}
