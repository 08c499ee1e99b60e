//! The list at awkward moments: servers that come and go between two events, a feed that moves while it is dialled, that
//! comes back with what is known already.

mod common;

use common::*;
use shalespindle_platform::{read_file, Loss};

/// A world whose feed is connected, and its connection.
fn followed(servers: u16) -> (World, Vec<u64>, u64) {
    let (mut w, links) = World::linked(servers);
    let feed = w.dialled_feed(4222);
    w.edge.connected(w.now, feed);
    w.bytes(feed, b"HTTP/1.1 200 OK\r\n\r\n");
    (w, links, feed)
}

fn tell(w: &mut World, feed: u64, n: u64, members: &[String]) {
    let news = event(n, false, members);
    w.bytes(feed, format!("id: {n}\ndata: {news}\n\n").as_bytes());
}

/// The connection of a caller whose call stands.
fn standing(w: &mut World, link: u64) -> u64 {
    let client = w.caller(link, 1);
    w.took(link);
    client
}

#[test]
fn a_server_that_is_back_and_removed_again_has_its_last_words_in_full() {
    let (mut w, links, feed) = followed(1);
    let client = standing(&mut w, links[0]);
    tell(&mut w, feed, 2, &[member("s0", 0, "removed", 0)]);
    w.pass(0.4);
    tell(&mut w, feed, 3, &[member("s0", 0, "up", 0)]);
    tell(&mut w, feed, 4, &[member("s0", 0, "removed", 0)]);
    // Half a second after the first removal, a tenth after the second.
    w.pass(0.2);
    assert_eq!(w.took(client), "", "cut off in the middle of its last words");
    w.say(links[0], &release(1, 16, ""));
    assert!(w.took(client).contains("Q.850;cause=16"));
    w.pass(0.6);
    assert!(w.closed.contains(&(links[0], true)));
}

#[test]
fn a_server_replaced_under_its_name_between_two_events_ends_what_stood_at_the_old_one() {
    for members in [
        vec![member("s0", 0, "removed", 0), member("s0", 0, "up", 1_700_000_000_000 + 500)],
        vec![member("s0", 0, "up", 1_700_000_000_000 + 500)],
    ] {
        let (mut w, links, feed) = followed(1);
        w.pass(1.0);
        let client = standing(&mut w, links[0]);
        tell(&mut w, feed, 2, &members);
        assert!(w.closed.contains(&(links[0], true)), "{members:?}");
        assert!(w.took(client).contains("Q.850;cause=41"), "{members:?}");
        // The new one has a link of its own, and set-ups go there alone.
        let anew = w.link(0);
        assert_ne!(anew, links[0]);
        let other = w.client();
        w.bytes(other, invite(2, 0).as_bytes());
        assert!(!w.took(links[0]).contains("setup"));
    }
}

#[test]
fn a_new_server_at_the_address_of_one_removed_in_the_same_event_is_not_taken_for_it() {
    let (mut w, links, feed) = followed(1);
    let client = standing(&mut w, links[0]);
    tell(&mut w, feed, 2, &[member("s0", 0, "removed", 0), member("t0", 0, "up", 0)]);
    let new = w.link(0);
    let other = w.client();
    w.bytes(other, invite(2, 0).as_bytes());
    assert!(w.took(new).contains(&id(2)) && !w.took(links[0]).contains(&id(2)));
    // The old one's last words still come on its own link.
    w.say(links[0], &release(1, 16, ""));
    assert!(w.took(client).contains("Q.850;cause=16"));
}

#[test]
fn a_feed_that_moves_while_it_is_dialled_is_followed_at_its_new_address_alone() {
    let mut w = World::new(1);
    let old = w.dialled_feed(4222);
    let moved = file(&[event(1, true, &[member("s0", 0, "up", 0)])], 4333);
    w.edge.reconfigured(w.now, read_file(moved.as_bytes()).unwrap());
    w.poll();
    assert!(w.closed.contains(&(old, false)));
    let new = w.dialled_feed(4333);
    // The old dial comes up all the same, and is lost; neither is taken for the new one.
    w.edge.connected(w.now, old);
    w.poll();
    assert_eq!(w.took(old), "");
    w.lose(old, Loss::Broken);
    w.edge.connected(w.now, new);
    w.poll();
    assert!(w.took(new).contains("Last-Event-ID: 1"));
}

#[test]
fn a_feed_that_comes_back_with_an_older_state_changes_nothing() {
    let (mut w, links, feed) = followed(1);
    tell(&mut w, feed, 2, &[member("s0", 0, "draining", 0)]);
    w.lose(feed, Loss::Broken);
    w.pass(0.5);
    let again = w.dialled_feed(4222);
    w.edge.connected(w.now, again);
    let first = event(1, true, &[member("s0", 0, "up", 0)]);
    w.bytes(again, format!("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: {first}\n\n").as_bytes());
    let client = w.client();
    w.bytes(client, invite(1, 0).as_bytes());
    w.pass(1.0);
    assert!(!w.took(links[0]).contains("setup"), "a drained server is taken in again by an old event");
}
