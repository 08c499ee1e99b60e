//! Delivery of releases to callers while connections come and go and some belong to bad clients.

mod common;

use common::*;
use shalespindle_platform::{ConnectionId, Loss};

/// A connection whose set-up reached a server and was rejected there, which any bad client can achieve.
fn bad_client(front: &mut TestFront, link: ConnectionId, call: u64) -> ConnectionId {
    let client = front.client();
    front.bytes(client, invite(call, 0).as_bytes());
    front.send_line(link, &release(call, 47, ""));
    front.bytes(client, request("CANCEL", call).as_bytes());
    front.take_written(client);
    client
}

fn confirm(front: &mut TestFront, client: ConnectionId, call: u64) {
    let ok = format!("SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n", id(call));
    front.bytes(client, ok.as_bytes());
}

fn count_byes(front: &mut TestFront, client: ConnectionId) -> usize {
    front.take_answers(client).iter().filter(|a| a.0 == "BYE").count()
}

/// Guards against sending a release to whichever client sent a request last: if that was a bad client, nobody
/// else received it.
#[test]
fn a_release_goes_to_a_callers_connection_before_a_recent_bad_client() {
    let (mut front, links) = TestFront::with_links(1);
    let own = front.establish_call(links[0], 1);
    let other = front.establish_call(links[0], 2);
    let bad = bad_client(&mut front, links[0], 3);
    front.lose_connection(own, Loss::Broken);
    front.send_line(links[0], &release(1, 16, ""));
    assert_eq!((count_byes(&mut front, other), count_byes(&mut front, bad)), (1, 0));
    confirm(&mut front, other, 1);
    // The other call stays established because its server keeps sending.
    for _ in 0..9 {
        front.advance(1.0);
        front.send_line(links[0], STATE);
    }
    assert_eq!(
        (count_byes(&mut front, other), count_byes(&mut front, bad)),
        (0, 0),
        "confirmed, so not repeated"
    );
}

#[test]
fn an_unconfirmed_release_is_repeated_on_another_connection_within_a_second() {
    let (mut front, links) = TestFront::with_links(1);
    let own = front.establish_call(links[0], 1);
    let bad = bad_client(&mut front, links[0], 2);
    front.lose_connection(own, Loss::Broken);
    let over_at = front.now;
    front.send_line(links[0], &release(1, 16, ""));
    assert_eq!(count_byes(&mut front, bad), 1, "there is no other connection");
    front.advance(0.4);
    // A caller connects; the release on the bad client's connection is unconfirmed.
    let next = front.client();
    front.bytes(next, invite(3, 0).as_bytes());
    front.advance(0.0);
    assert_eq!(count_byes(&mut front, next), 1);
    assert!(front.now - over_at < 1.0);
    assert_eq!(front.edge.counters().byes_again, 1);
}

#[test]
fn a_silent_connection_does_not_delay_a_release() {
    let (mut front, links) = TestFront::with_links(1);
    let own = front.establish_call(links[0], 1);
    let clients: Vec<ConnectionId> = (2..5).map(|call| front.establish_call(links[0], call)).collect();
    // The call's own connection is open, but nobody reads there.
    front.send_line(links[0], &release(1, 16, ""));
    assert_eq!(count_byes(&mut front, own), 1);
    front.advance(0.95);
    let sent: Vec<usize> = clients.iter().map(|client| count_byes(&mut front, *client)).collect();
    assert_eq!(sent, [1, 1, 1], "each once, all within the second");
}

/// A release is repeated at most once in this time, seconds.
const REPEAT_INTERVAL: f64 = 0.2;
/// A release is kept for this time, seconds.
const RELEASE_LIFETIME: f64 = 8.0;

#[test]
fn an_unconfirmed_release_has_limited_repeats_and_expires() {
    let (mut front, links) = TestFront::with_links(1);
    let own = front.establish_call(links[0], 1);
    front.send_line(links[0], &release(1, 16, ""));
    assert_eq!(count_byes(&mut front, own), 1);
    let over_at = front.now;
    // Between two checks for expired releases.
    front.advance(REPEAT_INTERVAL / 2.0);
    for call in 0..60 {
        front.advance(REPEAT_INTERVAL);
        let client = front.client();
        front.bytes(client, invite(100 + call, 0).as_bytes());
        let expected = usize::from(front.now - over_at < RELEASE_LIFETIME);
        assert_eq!(count_byes(&mut front, client), expected, "{} s after the end", front.now - over_at);
        front.lose_connection(client, Loss::Broken);
    }
    assert_eq!((front.edge.counters().byes_unheard, front.edge.counters().byes_heard), (1, 0));
}

/// Guards against review case 10: the eight connections on which a release was tried belonged to bad clients, and
/// the caller, who connected later, was never told.
#[test]
fn a_release_left_unconfirmed_by_many_bad_clients_is_sent_to_a_caller_who_connects_later() {
    const BAD_CLIENTS: u64 = 30;
    let (mut front, links) = TestFront::with_links(1);
    let own = front.establish_call(links[0], 1);
    let bad: Vec<ConnectionId> =
        (0..BAD_CLIENTS).map(|n| bad_client(&mut front, links[0], 100 + n)).collect();
    front.lose_connection(own, Loss::Broken);
    let over_at = front.now;
    front.send_line(links[0], &release(1, 16, ""));
    for round in 0..6 {
        front.advance(1.0);
        bad.iter().for_each(|client| front.bytes(*client, request("OPTIONS", 1_000 + round).as_bytes()));
    }
    let next = front.client();
    front.bytes(next, invite(2, 0).as_bytes());
    front.advance(1.0);
    assert_eq!(count_byes(&mut front, next), 1);
    assert!(front.now - over_at < RELEASE_LIFETIME);
}

/// Guards against review case 9: a bad client's 481 to a release that it got by chance counted as its confirmation.
#[test]
fn a_client_that_rejects_a_release_does_not_confirm_it() {
    let (mut front, links) = TestFront::with_links(1);
    let own = front.establish_call(links[0], 1);
    let bad = [100, 101].map(|call| {
        front.advance(0.01);
        bad_client(&mut front, links[0], call)
    });
    front.lose_connection(own, Loss::Broken);
    front.send_line(links[0], &release(1, 16, ""));
    assert_eq!(count_byes(&mut front, bad[1]), 1, "the connection used last comes first");
    let rejection =
        format!("SIP/2.0 481 Unknown\r\nCall-ID: {}\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n", id(1));
    front.bytes(bad[1], rejection.as_bytes());
    assert_eq!(count_byes(&mut front, bad[0]), 1, "sent on another connection at once");
    front.bytes(bad[0], rejection.as_bytes());
    front.advance(3.0);
    let next = front.client();
    front.bytes(next, invite(2, 0).as_bytes());
    front.advance(0.2);
    assert_eq!(count_byes(&mut front, next), 1);
    assert_eq!(front.edge.counters().byes_heard, 0);
}

/// Guards against the same for the limit of releases remembered: one client that hands over calls that never
/// stood, each of which ends, discarded the releases owed to others.
#[test]
fn releases_that_one_client_provokes_do_not_displace_those_of_others() {
    /// More than the releases remembered.
    const INVENTED: u64 = 6_000;
    let text = file(&[event(1, true, &[member("s0", 0, "up", 0)])], 4222)
        .replace("\"most_held\": 50", &format!("\"most_held\": {INVENTED}"));
    let mut front = TestFront::from(&text);
    let link = front.bring_up_link(0);
    let own = front.establish_call(link, 1);
    front.lose_connection(own, Loss::Broken);
    front.send_line(link, &release(1, 16, ""));
    let bad = front.client();
    for call in 0..INVENTED {
        let text = invite_with(10_000 + call, "X-Setup-Ms: 3000\r\nX-Route: at:s9\r\n", "x");
        front.edge.bytes(front.now, front.now, bad, text.as_bytes());
    }
    front.advance(3.0);
    let next = front.client();
    front.bytes(next, invite(2, 0).as_bytes());
    front.advance(0.5);
    let was_told = front.take_answers(next).contains(&("BYE".into(), id(1)));
    assert!(was_told, "its caller was not told");
}

/// Guards against the same for the limit of calls handed over before their server is listed.
#[test]
fn handovers_that_one_client_invents_do_not_take_the_place_of_others() {
    let (mut front, _) = TestFront::with_links(1);
    let hand_over = |front: &mut TestFront, client, call| {
        let text = invite_with(call, "X-Setup-Ms: 3000\r\nX-Route: at:s9\r\n", "x");
        front.bytes(client, text.as_bytes());
    };
    let bad = front.client();
    (0..200).for_each(|call| hand_over(&mut front, bad, 1_000 + call));
    let client = front.client();
    hand_over(&mut front, client, 1);
    front.bytes(client, request("BYE", 1).as_bytes());
    assert_eq!(front.first_answer(client), "200", "the call is held");
}

/// Guards against the same for CANCELs that are read before their set-ups: the set-up of a caller that has left
/// was sent on, since another client's CANCELs of unknown calls had displaced its own.
#[test]
fn unknown_cancels_of_one_client_do_not_displace_those_of_others() {
    let (mut front, links) = TestFront::with_links(1);
    let (setting_up, cancelling, bad) = (front.client(), front.client(), front.client());
    front.bytes(cancelling, request("CANCEL", 1).as_bytes());
    (0..2_000).for_each(|call| front.bytes(bad, request("CANCEL", 1_000 + call).as_bytes()));
    front.bytes(setting_up, invite(1, 0).as_bytes());
    assert_eq!(front.first_answer(setting_up), "487");
    assert!(!front.take_written(links[0]).contains("setup"));
}

/// Guards against the same for the two connections that a front in shutdown keeps for releases: those of bad
/// clients were kept, and that of the caller was closed before the release was sent on it.
#[test]
fn a_front_in_shutdown_closes_no_connection_on_which_a_release_is_still_to_be_sent() {
    let (mut front, links) = TestFront::with_links(1);
    let own = front.establish_call(links[0], 1);
    let bad: Vec<ConnectionId> = (0..4).map(|n| bad_client(&mut front, links[0], 100 + n)).collect();
    front.lose_connection(own, Loss::Broken);
    front.edge.begin_shutdown(front.now);
    front.advance(0.75);
    front.send_line(links[0], &release(1, 16, ""));
    let next = front.client();
    front.bytes(next, invite(2, 0).as_bytes());
    front.advance(0.01);
    for (n, client) in (0..).zip(&bad) {
        front.bytes(*client, invite(200 + n, 0).as_bytes());
    }
    front.advance(1.0);
    assert_eq!(count_byes(&mut front, next), 1);
}

#[test]
fn a_shutdown_waits_a_limited_time_for_a_confirmation() {
    let (mut front, links) = TestFront::with_links(1);
    front.establish_call(links[0], 1);
    front.send_line(links[0], &release(1, 16, ""));
    front.edge.begin_shutdown(front.now);
    front.advance(1.0);
    assert!(!front.edge.is_done(front.now), "it may still be confirmed");
    front.advance(1.1);
    // The client connection is closed, and the front waits briefly for clients that connect again.
    front.advance(0.35);
    assert!(front.edge.is_done(front.now));
}

/// Guards against a failure of the scenario join+mass: a server's process ended, and some of its links gave
/// no sign of it.
#[test]
fn a_lost_link_causes_probes_on_the_servers_other_links() {
    let (mut front, links) = TestFront::with_links(1);
    let client = front.client();
    // Two simultaneous set-ups lead to a second link.
    front.bytes(client, [invite(1, 0), invite(2, 0)].concat().as_bytes());
    let second = front.bring_up_link(0);
    for call in [1, 2] {
        front.send_line(links[0], &answer(call));
        front.bytes(client, request("ACK", call).as_bytes());
    }
    let feed = front.take_feed_dial(4222);
    front.edge.connected(front.now, feed);
    let drain = event(2, false, &[member("s0", 0, "draining", 0)]);
    front.bytes(feed, format!("HTTP/1.1 200 OK\r\n\r\ndata: {drain}\n\n").as_bytes());
    front.take_written(second);
    front.lose_connection(links[0], Loss::Broken);
    assert!(front.take_written(second).contains(r#""type":"ping""#));
    // The server refuses there too, so the calls end well before the list reports its removal.
    front.take_written(client);
    front.lose_connection(second, Loss::Broken);
    for _ in 0..10 {
        if let Some(position) = front.dials.iter().position(|d| d.1 == 6000) {
            let dialled = front.dials.remove(position).0;
            front.lose_connection(dialled, Loss::Refused);
        }
        front.advance(0.5);
    }
    assert_eq!(count_byes(&mut front, client), 2);
}

/// A front, its link to a server, and the client with a call there; two set-ups at once make it dial a second link.
fn with_a_call_and_a_second_dial() -> (TestFront, ConnectionId, ConnectionId) {
    let (mut front, links) = TestFront::with_links(1);
    let client = front.establish_call(links[0], 1);
    let others = front.client();
    front.bytes(others, [invite(2, 0), invite(3, 0)].concat().as_bytes());
    (front, links[0], client)
}

/// Guards against calls left standing: the front reset a connection on which a server had released a call, and
/// opened no other one, on which the server would have repeated the release, since one was open already.
#[test]
fn a_release_lost_with_a_link_that_the_front_resets_is_repeated_on_a_new_one() {
    let (mut front, link, client) = with_a_call_and_a_second_dial();
    front.bring_up_link(0);
    assert!(front.dials.iter().all(|d| d.1 != 6000), "no dial without a loss");
    front.send_line(link, "unreadable");
    assert!(front.closed.contains(&(link, true)));
    // A dial that fails is repeated.
    let failed = front.take_dial(0);
    front.lose_connection(failed, Loss::Broken);
    front.advance(0.06);
    let link = front.bring_up_link(0);
    front.send_line(link, &release(1, 16, ""));
    assert_eq!(count_byes(&mut front, client), 1);
    assert!(front.dials.iter().all(|d| d.1 != 6000), "one new link is enough");
}

/// Guards against the same loss where the other link was being dialled already: its server may release the call
/// after it has accepted that one, and repeats the release on a later one only.
#[test]
fn a_link_dialled_before_a_loss_does_not_replace_the_one_lost() {
    let (mut front, link, client) = with_a_call_and_a_second_dial();
    front.advance(0.01);
    front.send_line(link, "unreadable");
    front.bring_up_link(0);
    assert_eq!(front.take_answers(client), []);
    let link = front.bring_up_link(0);
    front.send_line(link, &release(1, 16, ""));
    assert_eq!(count_byes(&mut front, client), 1);
}

/// Guards against review case 1: of the releases that a restarted front reads on its first connection, before
/// their callers hand the calls over, only the last 1,024 were remembered; the other calls were left standing.
#[test]
fn every_call_that_ended_while_its_front_was_down_is_released_at_its_handover() {
    /// Calls that end in 6.9 s, the longest outage of a front, at 190 calls a second.
    const CALLS: u64 = 1_311;
    /// Releases of earlier calls, which the server repeats as well.
    const EARLIER_RELEASES: u64 = 5_700;
    let (mut front, links) = TestFront::with_links(1);
    for call in 1..=EARLIER_RELEASES {
        front.edge.bytes(front.now, front.now, links[0], format!("{}\n", release(call, 16, "")).as_bytes());
    }
    let calls = EARLIER_RELEASES - CALLS + 1..=EARLIER_RELEASES;
    let client = front.client();
    for call in calls.clone() {
        let text = invite_with(call, "X-Setup-Ms: 3000\r\nX-Route: at:s0\r\n", "x");
        front.edge.bytes(front.now, front.now, client, text.as_bytes());
    }
    front.poll();
    let expected: Vec<(String, String)> = calls.map(|call| ("BYE".into(), id(call))).collect();
    assert_eq!(front.take_answers(client), expected);
    assert_eq!(front.edge.gauges()[1], 0, "calls held as established");
}
