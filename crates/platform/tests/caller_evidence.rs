//! Messages that show that a caller uses a connection, on which the releases owed to callers are sent then.

mod common;

use common::*;
use shalespindle_platform::{ConnectionId, Loss};

/// The calls that end while their callers have no connection.
const CALLS: [u64; 3] = [1, 2, 3];
/// Time after which the front closes a connection without a useful message, with a margin, seconds.
const UNUSED_TIMEOUT: f64 = 2.6;

/// A front that owes the releases of [`CALLS`], whose callers have no connection.
fn with_owed_releases() -> TestFront {
    let (mut front, links) = TestFront::with_links(1);
    let own: Vec<ConnectionId> = CALLS.iter().map(|call| front.establish_call(links[0], *call)).collect();
    own.into_iter().for_each(|connection| front.lose_connection(connection, Loss::Broken));
    CALLS.iter().for_each(|call| front.send_line(links[0], &release(*call, 41, "")));
    front
}

/// Returns the calls released on a connection since the last call.
fn released_on(front: &mut TestFront, client: ConnectionId) -> Vec<String> {
    front.take_answers(client).into_iter().filter(|a| a.0 == "BYE").map(|a| a.1).collect()
}

fn ids(calls: &[u64]) -> Vec<String> {
    calls.iter().map(|call| id(*call)).collect()
}

/// Guards against review case 6: a caller connected and hung up a call that had been cut; its connection did not
/// count as a caller's, so that the releases of the other calls were not sent on it, and it was closed.
#[test]
fn a_bye_of_a_call_that_has_ended_shows_a_caller() {
    let mut front = with_owed_releases();
    let client = front.client();
    front.bytes(client, request("BYE", CALLS[0]).as_bytes());
    let answers = front.take_answers(client);
    let expected = [("200", CALLS[0]), ("BYE", CALLS[1]), ("BYE", CALLS[2])];
    assert_eq!(answers, expected.map(|(what, call)| (what.to_string(), id(call))));
    front.advance(UNUSED_TIMEOUT);
    assert!(!front.closed.contains(&(client, false)), "its connection was closed");
    assert_eq!(
        released_on(&mut front, client),
        ids(&[]),
        "the call that its caller has released is not owed"
    );
}

/// Guards against the same for the other messages that belong to a call.
#[test]
fn each_message_that_belongs_to_a_call_shows_a_caller() {
    const UNKNOWN: u64 = 77;
    for (method, call) in [("ACK", CALLS[0]), ("CANCEL", CALLS[0]), ("CANCEL", UNKNOWN), ("BYE", UNKNOWN)] {
        let mut front = with_owed_releases();
        let client = front.client();
        front.bytes(client, request(method, call).as_bytes());
        assert_eq!(released_on(&mut front, client), ids(&CALLS), "{method} of call {call}");
        front.advance(UNUSED_TIMEOUT);
        assert!(
            !front.closed.contains(&(client, false)),
            "{method} of call {call}: its connection was closed"
        );
    }
}

/// Guards against a call that has ended and is held again, since its caller hands it over before it is told.
#[test]
fn a_call_handed_over_whose_release_is_owed_is_released() {
    let mut front = with_owed_releases();
    let client = front.client();
    let text = invite_with(CALLS[1], "X-Setup-Ms: 3000\r\nX-Route: at:s0\r\n", "x");
    front.bytes(client, text.as_bytes());
    assert_eq!(released_on(&mut front, client), ids(&CALLS));
    assert_eq!(front.edge.gauges()[1], 0, "calls held as established");
}

/// Guards against a caller's connection that is closed as useless because its handover was not recorded.
#[test]
fn a_handover_beyond_the_limit_shows_a_caller() {
    const HELD: u64 = 50;
    let mut front = with_owed_releases();
    let hand_over = |front: &mut TestFront, client, call| {
        let text = invite_with(call, "X-Setup-Ms: 3000\r\nX-Route: at:s0\r\n", "x");
        front.bytes(client, text.as_bytes());
    };
    let client = front.client();
    (0..HELD).for_each(|call| hand_over(&mut front, client, 100 + call));
    front.take_answers(client);
    let next = front.client();
    front.advance(0.3);
    hand_over(&mut front, next, 200);
    assert_eq!(released_on(&mut front, next), ids(&CALLS));
}

/// Guards against a connection that the front closes while a release is still to be sent on it: its caller may
/// have no other one.
#[test]
fn releases_are_sent_on_a_connection_before_the_front_closes_it() {
    let (mut front, links) = TestFront::with_links(1);
    let link = links[0];
    let own = front.establish_call(link, 1);
    let other = front.client();
    let client = front.client();
    for (connection, call) in [(client, 2), (other, 3)] {
        front.bytes(connection, invite(call, 0).as_bytes());
        front.send_line(link, &release(call, 47, ""));
        front.take_written(connection);
    }
    front.lose_connection(own, Loss::Broken);
    front.send_line(link, &release(1, 16, ""));
    assert_eq!(released_on(&mut front, other), ids(&[1]), "the connection used last comes first");
    for _ in 0..4 {
        front.bytes(client, request("INFO", 4).as_bytes());
    }
    assert!(front.closed.contains(&(client, false)));
    assert_eq!(released_on(&mut front, client), ids(&[1]));
}
