//! Releases that callers are owed, where connections come and go and some of them are not callers'.

mod common;

use common::*;
use shalespindle_platform::{ConnectionId, Loss};

/// A connection whose set-up came to a server and was an error there: all that a bad client needs to do.
fn bad_client(w: &mut World, link: ConnectionId, call: u64) -> ConnectionId {
    let client = w.client();
    w.bytes(client, invite(call, 0).as_bytes());
    w.say(link, &release(call, 47, ""));
    w.bytes(client, request("CANCEL", call).as_bytes());
    w.took(client);
    client
}

fn heard(w: &mut World, client: ConnectionId, call: u64) {
    let ok = format!("SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n", id(call));
    w.bytes(client, ok.as_bytes());
}

fn byes(w: &mut World, client: ConnectionId) -> usize {
    w.answers(client).iter().filter(|a| a.0 == "BYE").count()
}

/// Found while join+mass was looked into, and not its cause: whoever had asked last got such a release, and if that
/// was a bad client nobody else did.
#[test]
fn a_release_goes_where_a_caller_was_seen_not_where_something_was_asked_last() {
    let (mut w, links) = World::linked(1);
    let own = w.caller(links[0], 1);
    let other = w.caller(links[0], 2);
    let bad = bad_client(&mut w, links[0], 3);
    w.lose(own, Loss::Broken);
    w.say(links[0], &release(1, 16, ""));
    assert_eq!((byes(&mut w, other), byes(&mut w, bad)), (1, 0));
    heard(&mut w, other, 1);
    // The other call goes on standing: its server is not silent.
    for _ in 0..9 {
        w.pass(1.0);
        w.say(links[0], STATE);
    }
    assert_eq!((byes(&mut w, other), byes(&mut w, bad)), (0, 0), "heard once, never again");
}

#[test]
fn a_release_that_is_not_heard_goes_out_again_elsewhere_within_the_second() {
    let (mut w, links) = World::linked(1);
    let own = w.caller(links[0], 1);
    let bad = bad_client(&mut w, links[0], 2);
    w.lose(own, Loss::Broken);
    let over_at = w.now;
    w.say(links[0], &release(1, 16, ""));
    assert_eq!(byes(&mut w, bad), 1, "there is no other connection");
    w.pass(0.4);
    // A caller comes; nobody has answered on the bad client's connection.
    let next = w.client();
    w.bytes(next, invite(3, 0).as_bytes());
    w.pass(0.0);
    assert_eq!(byes(&mut w, next), 1);
    assert!(w.now - over_at < 1.0);
    assert_eq!(w.edge.counters().byes_again, 1);
}

#[test]
fn a_connection_that_is_open_and_silent_holds_no_release_up() {
    let (mut w, links) = World::linked(1);
    let own = w.caller(links[0], 1);
    let clients: Vec<ConnectionId> = (2..5).map(|call| w.caller(links[0], call)).collect();
    // Its own connection stands open, but nobody reads there any more.
    w.say(links[0], &release(1, 16, ""));
    assert_eq!(byes(&mut w, own), 1);
    w.pass(0.95);
    let sent: Vec<usize> = clients.iter().map(|client| byes(&mut w, *client)).collect();
    assert_eq!(sent, [1, 1, 1], "each once, all within the second");
}

#[test]
fn a_release_that_nobody_hears_is_bounded_counted_and_given_up() {
    let (mut w, links) = World::linked(1);
    let own = w.caller(links[0], 1);
    w.say(links[0], &release(1, 16, ""));
    let mut sent = byes(&mut w, own);
    for call in 0..60 {
        w.pass(0.2);
        let client = w.client();
        w.bytes(client, invite(100 + call, 0).as_bytes());
        sent += byes(&mut w, client);
        w.lose(client, Loss::Broken);
    }
    assert!((2..=8).contains(&sent), "{sent}");
    assert_eq!((w.edge.counters().byes_unheard, w.edge.counters().byes_heard), (1, 0));
}

#[test]
fn an_ending_front_does_not_wait_for_ever_for_a_release_to_be_heard() {
    let (mut w, links) = World::linked(1);
    w.caller(links[0], 1);
    w.say(links[0], &release(1, 16, ""));
    w.edge.begin_shutdown(w.now);
    w.pass(1.0);
    assert!(!w.edge.is_done(w.now), "it may be heard yet");
    w.pass(1.1);
    // The caller's connection is closed, and a moment is left for whoever comes again.
    w.pass(0.35);
    assert!(w.edge.is_done(w.now));
}

/// Standing test, join+mass: a server's process ended, and some of its links gave no sign of it.
#[test]
fn a_draining_server_that_ends_one_link_is_asked_on_the_others() {
    let (mut w, links) = World::linked(1);
    let client = w.client();
    // Two set-ups at once make a second link.
    w.bytes(client, [invite(1, 0), invite(2, 0)].concat().as_bytes());
    let second = w.link(0);
    for call in [1, 2] {
        w.say(links[0], &answer(call));
        w.bytes(client, request("ACK", call).as_bytes());
    }
    let feed = w.dialled_feed(4222);
    w.edge.connected(w.now, feed);
    let drain = event(2, false, &[member("s0", 0, "draining", 0)]);
    w.bytes(feed, format!("HTTP/1.1 200 OK\r\n\r\ndata: {drain}\n\n").as_bytes());
    w.took(second);
    w.lose(links[0], Loss::Broken);
    assert!(w.took(second).contains(r#""type":"ping""#));
    // Refused there too: the calls are over well before the list says so.
    w.took(client);
    w.lose(second, Loss::Broken);
    for _ in 0..10 {
        if let Some(place) = w.dials.iter().position(|d| d.1 == 6000) {
            let dialled = w.dials.remove(place).0;
            w.lose(dialled, Loss::Refused);
        }
        w.pass(0.5);
    }
    assert_eq!(byes(&mut w, client), 2);
}
