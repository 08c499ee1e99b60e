//! Changes of the server list at awkward moments: servers removed and listed again between two events, a feed
//! that moves while it is dialled, and one that repeats old events.

mod common;

use common::*;
use shalespindle_platform::{read_file, Loss};

/// A front with a connected feed: the front, its links and the feed's connection.
fn with_feed(servers: u16) -> (TestFront, Vec<u64>, u64) {
    let (mut front, links) = TestFront::with_links(servers);
    let feed = front.take_feed_dial(4222);
    front.edge.connected(front.now, feed);
    front.bytes(feed, b"HTTP/1.1 200 OK\r\n\r\n");
    (front, links, feed)
}

fn send_feed_event(front: &mut TestFront, feed: u64, n: u64, members: &[String]) {
    let update = event(n, false, members);
    front.bytes(feed, format!("id: {n}\ndata: {update}\n\n").as_bytes());
}

/// A client connection with an established call.
fn client_with_call(front: &mut TestFront, link: u64) -> u64 {
    let client = front.establish_call(link, 1);
    front.take_written(link);
    client
}

#[test]
fn a_server_removed_twice_gets_the_full_grace_period() {
    let (mut front, links, feed) = with_feed(1);
    let client = client_with_call(&mut front, links[0]);
    send_feed_event(&mut front, feed, 2, &[member("s0", 0, "removed", 0)]);
    front.advance(0.4);
    send_feed_event(&mut front, feed, 3, &[member("s0", 0, "up", 0)]);
    send_feed_event(&mut front, feed, 4, &[member("s0", 0, "removed", 0)]);
    // Half a second after the first removal, a tenth after the second.
    front.advance(0.2);
    assert_eq!(front.take_written(client), "", "ended within the grace period");
    front.send_line(links[0], &release(1, 16, ""));
    assert!(front.take_written(client).contains("Q.850;cause=16"));
    front.advance(0.6);
    assert!(front.closed.contains(&(links[0], true)));
}

#[test]
fn replacing_a_server_under_its_name_ends_the_calls_of_the_old_one() {
    for members in [
        vec![member("s0", 0, "removed", 0), member("s0", 0, "up", 1_700_000_000_000 + 500)],
        vec![member("s0", 0, "up", 1_700_000_000_000 + 500)],
    ] {
        let (mut front, links, feed) = with_feed(1);
        front.advance(1.0);
        let client = client_with_call(&mut front, links[0]);
        send_feed_event(&mut front, feed, 2, &members);
        assert!(front.closed.contains(&(links[0], true)), "{members:?}");
        assert!(front.take_written(client).contains("Q.850;cause=41"), "{members:?}");
        // The new server has a link of its own, and set-ups go only there.
        let new_link = front.bring_up_link(0);
        assert_ne!(new_link, links[0]);
        let other = front.client();
        front.bytes(other, invite(2, 0).as_bytes());
        assert!(!front.take_written(links[0]).contains("setup"));
    }
}

#[test]
fn a_new_server_at_the_address_of_a_removed_one_is_kept_apart() {
    let (mut front, links, feed) = with_feed(1);
    let client = client_with_call(&mut front, links[0]);
    send_feed_event(&mut front, feed, 2, &[member("s0", 0, "removed", 0), member("t0", 0, "up", 0)]);
    let new = front.bring_up_link(0);
    let other = front.client();
    front.bytes(other, invite(2, 0).as_bytes());
    assert!(front.take_written(new).contains(&id(2)) && !front.take_written(links[0]).contains(&id(2)));
    // The old server can still release its calls on its own link.
    front.send_line(links[0], &release(1, 16, ""));
    assert!(front.take_written(client).contains("Q.850;cause=16"));
}

#[test]
fn a_feed_moved_during_its_dial_is_followed_only_at_the_new_address() {
    let mut front = TestFront::new(1);
    let old = front.take_feed_dial(4222);
    let moved = file(&[event(1, true, &[member("s0", 0, "up", 0)])], 4333);
    front.edge.reconfigured(front.now, read_file(moved.as_bytes()).unwrap());
    front.poll();
    assert!(front.closed.contains(&(old, false)));
    let new = front.take_feed_dial(4333);
    // The old dial succeeds nevertheless and is lost; neither is mistaken for the new connection.
    front.edge.connected(front.now, old);
    front.poll();
    assert_eq!(front.take_written(old), "");
    front.lose_connection(old, Loss::Broken);
    front.edge.connected(front.now, new);
    front.poll();
    assert!(front.take_written(new).contains("Last-Event-ID: 1"));
}

#[test]
fn a_feed_that_repeats_old_events_changes_nothing() {
    let (mut front, links, feed) = with_feed(1);
    send_feed_event(&mut front, feed, 2, &[member("s0", 0, "draining", 0)]);
    front.lose_connection(feed, Loss::Broken);
    front.advance(0.5);
    let again = front.take_feed_dial(4222);
    front.edge.connected(front.now, again);
    let first = event(1, true, &[member("s0", 0, "up", 0)]);
    front.bytes(again, format!("HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: {first}\n\n").as_bytes());
    let client = front.client();
    front.bytes(client, invite(1, 0).as_bytes());
    front.advance(1.0);
    assert!(
        !front.take_written(links[0]).contains("setup"),
        "an old event put a draining server back into service"
    );
}

/// Guards against set-ups to a server after its drain was told (dense trials, seeds 3012 and 3021): a server had
/// died, and the list said so later than it named the server that took its address, and drained.
#[test]
fn a_draining_server_gets_no_set_up_through_the_entry_of_the_one_whose_address_it_took() {
    let named = |id: &str, phase: &str, started: u64| member(id, 0, phase, started);
    let late = 1_700_000_000_000 + 500;
    // Told to drain at its first mention, or after it was listed as up.
    for events in
        [vec![named("t0", "draining", 0)], vec![named("t0", "up", late), named("t0", "draining", 0)]]
    {
        let (mut front, links, feed) = with_feed(1);
        // The successor accepts the connection of the old entry and is taken for its server.
        front.lose_connection(links[0], Loss::Broken);
        let link = front.bring_up_link(0);
        for (n, member) in events.iter().enumerate() {
            send_feed_event(&mut front, feed, 2 + n as u64, std::slice::from_ref(member));
        }
        front.advance(0.25);
        let client = front.client();
        front.bytes(client, invite(2, 0).as_bytes());
        front.advance(1.0);
        let written: String = front
            .written
            .keys()
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .filter(|connection| *connection != client)
            .map(|connection| front.take_written(connection))
            .collect();
        assert!(!written.contains("setup"), "{written}");
        assert!(!front.closed.contains(&(link, true)), "calls at the address may stand");
    }
}

/// The same where a starting front finds both in its first list: the one that started later is there.
#[test]
fn of_two_entries_with_one_address_only_the_one_that_started_later_is_used() {
    for is_first in [true, false] {
        let mut members = vec![member("s0", 0, "up", 0), member("t0", 0, "up", 1_700_000_000_000 + 500)];
        if !is_first {
            members.reverse();
        }
        let mut front = TestFront::from(&file(&[event(1, true, &members)], 4222));
        let feed = front.take_feed_dial(4222);
        front.edge.connected(front.now, feed);
        front.bytes(feed, b"HTTP/1.1 200 OK\r\n\r\n");
        while front.dials.iter().any(|d| d.1 == 6000) {
            front.bring_up_link(0);
        }
        send_feed_event(&mut front, feed, 2, &[member("t0", 0, "draining", 0)]);
        front.advance(0.25);
        front.written.clear();
        let client = front.client();
        front.bytes(client, invite(2, 0).as_bytes());
        front.advance(1.0);
        assert!(front.log.iter().all(|(_, _, bytes)| {
            !String::from_utf8_lossy(bytes.as_deref().unwrap_or_default()).contains("setup")
        }));
    }
}
