//! Which client connection is closed if there are too many, and how many descriptors are reserved.

mod common;

use common::*;

/// A front with this limit of descriptors.
fn limited(sockets: usize, servers: u16) -> TestFront {
    let members: Vec<String> = (0..servers).map(|c| member(&format!("s{c}"), c, "up", 0)).collect();
    let text = file(&[event(1, true, &members)], 4222);
    TestFront::from(&text.replace("\"sockets\":256", &format!("\"sockets\":{sockets}")))
}

#[test]
fn a_connection_with_a_new_request_is_not_evicted() {
    let mut front = limited(64, 1);
    let link = front.bring_up_link(0);
    let most = front.edge.max_clients();
    let clients: Vec<_> = (0..most).map(|_| front.client()).collect();
    // Within one poll: one connection too many, and a set-up on the connection that was to be closed first.
    front.edge.accepted(front.now, 10_000);
    front.edge.bytes(front.now, front.now, clients[0], invite(1, 0).as_bytes());
    front.poll();
    assert!(!front.closed.contains(&(clients[0], false)) && front.closed.contains(&(clients[1], false)));
    assert!(front.take_written(link).contains(&id(1)));
}

#[test]
fn if_every_connection_has_a_pending_attach_the_newest_is_refused_and_none_is_closed_unanswered() {
    let mut front = limited(64, 1);
    let link = front.bring_up_link(0);
    let most = front.edge.max_clients();
    let clients: Vec<_> = (0..most as u64 + 5)
        .map(|call| {
            let client = front.client();
            front.bytes(client, invite(call, 0).as_bytes());
            client
        })
        .collect();
    front.advance(0.3);
    assert_eq!(front.edge.gauges()[2], most);
    let set_ups = front.take_written(link);
    for (call, client) in clients.iter().enumerate() {
        let answered = front.first_answer(*client);
        let open = !front.closed.contains(&(*client, false));
        // Either the connection is open and its answer pending, or it got its answer; a former fault closed
        // it with neither.
        assert!(open != matches!(answered.as_str(), "503" | "504"), "call {call}: open {open}, {answered:?}");
        assert!(open || call >= most || set_ups.contains(&id(call as u64)), "call {call}");
    }
}

#[test]
fn a_connection_with_an_unconfirmed_answer_is_evicted_after_idle_ones() {
    let mut front = limited(64, 1);
    let link = front.bring_up_link(0);
    let most = front.edge.max_clients();
    let answered = front.client();
    front.bytes(answered, invite(1, 0).as_bytes());
    front.send_line(link, &answer(1));
    // The answer is not confirmed yet; all other connections are used later.
    for call in 2..2 * most as u64 {
        front.establish_call(link, call);
    }
    assert!(!front.closed.contains(&(answered, false)));
    assert_eq!(front.edge.gauges()[2], most);
}

/// At any limit that a deployment may set, with any number of servers.
#[test]
fn descriptors_are_reserved_for_the_feed_and_servers_at_every_limit() {
    for sockets in [64, 65, 100, 128, 256, 576, 1024, 4096] {
        for servers in [0, 1, 3, 24, 100] {
            let mut front = limited(sockets, servers);
            let most = front.edge.max_clients();
            assert!(most >= sockets / 3, "{sockets} {servers}: callers may hold a third");
            for _ in 0..sockets {
                front.client();
            }
            // Every server that can have a link has one, and each set-up asks for another.
            let links = front.dials.iter().filter(|d| d.1 != 4222).count();
            for cell in 0..links as u16 {
                front.bring_up_link(cell);
            }
            for call in 0..200u64 {
                let client = front.client();
                front.bytes(client, invite(call, (call % 3) as u16).as_bytes());
            }
            front.advance(0.3);
            let [_, _, clients, links] = front.edge.gauges();
            assert!(clients <= most);
            // The front's own 12 descriptors, and 4 connections accepted and not yet reported.
            assert!(clients + links + 16 <= sockets, "{sockets} {servers}: {clients} callers, {links} links");
            assert!(
                links >= usize::from(servers).min(sockets - 16 - clients),
                "{sockets} {servers}: {links} links"
            );
        }
    }
}
