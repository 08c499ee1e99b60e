//! The messages between callers, front and servers: establishing and releasing calls, the ends of setup
//! tries, links, and handovers.

mod common;

use common::*;
use shalespindle_platform::{read_file, Loss};

#[test]
fn a_call_is_established_and_released_from_either_side() {
    let (mut front, links) = TestFront::with_links(2);
    let client = front.client();
    front.bytes(client, invite(1, 0).as_bytes());
    let set_up = front.take_written(links[0]);
    assert_eq!(
        set_up,
        "{\"type\":\"setup\",\"id\":\"0000000000000001\",\"fields\":{\"class\":\"voice\",\"left\":\"3000\",\
         \"key\":\"7f3a9c21e0b4d001\"},\"sdp\":\"9d41\\r\\nc=IN\\r\\n\"}\n"
    );
    front.send_line(links[0], r#"{"type":"progress","id":"0000000000000001","fields":{}}"#);
    assert_eq!(front.take_written(client), "");
    front.send_line(links[0], &answer(1));
    let text = front.take_written(client);
    assert!(
        text.starts_with("SIP/2.0 200 OK\r\n") && text.ends_with("\r\n\r\n77aa\r\nm=audio 1\r\n"),
        "{text}"
    );
    assert!(text.contains("CSeq: 1 INVITE"));
    // A repeated answer has no effect.
    front.send_line(links[0], &answer(1));
    assert_eq!((front.take_written(client), front.take_written(links[0])), (String::new(), String::new()));
    front.bytes(client, request("ACK", 1).as_bytes());
    front.send_line(links[0], &release(1, 16, ""));
    assert!(front.take_written(links[0]).contains(r#""type":"released""#));
    let bye = front.take_written(client);
    assert!(bye.starts_with("BYE ") && bye.contains("Reason: Q.850;cause=16"), "{bye}");

    front.bytes(client, invite(2, 1).as_bytes());
    front.send_line(links[1], &answer(2));
    front.bytes(client, request("ACK", 2).as_bytes());
    let other = front.client();
    let bye = request("BYE", 2).replace("CSeq", "Reason: Q.850;cause=31\r\nCSeq");
    front.take_written(links[1]);
    front.bytes(other, bye.as_bytes());
    assert_eq!(front.first_answer(other), "200");
    let written = front.take_written(links[1]);
    assert!(written.contains(r#""type":"release""#) && written.contains(r#""cause":31"#), "{written}");
    assert_eq!(front.edge.gauges()[..2], [0, 0]);
}

#[test]
fn each_release_cause_decides_whether_a_retry_waits_for_the_guard() {
    // Cause, fields, and whether the attach may be tried elsewhere at once.
    for (cause, fields, at_once) in [
        (34, r#""note":"throttled""#, true),
        (34, r#""note":"congestion","load":"x0:0;x1:40""#, true),
        (17, "", true),
        (47, "", true),
        (102, "", true),
        (41, "", false),
        (99, "", false),
    ] {
        let (mut front, links) = TestFront::with_links(2);
        let client = front.client();
        front.bytes(client, invite(1, 0).as_bytes());
        assert!(front.take_written(links[0]).contains("setup"));
        front.send_line(links[0], &release(1, cause, fields));
        assert_eq!(front.take_written(links[1]).contains("setup"), at_once, "cause {cause} {fields}");
        if !at_once {
            front.advance(0.5);
            assert_eq!(front.take_written(links[1]), "", "cause {cause}: within the guard");
            front.advance(0.06);
            assert!(front.take_written(links[1]).contains("setup"), "cause {cause}");
        }
    }
}

/// Guards against a failure of the scenario silent+mass: the answer arrived after the call's release.
/// Meanwhile the front had set the call up again elsewhere, and its caller kept it as established without
/// ever getting a release.
#[test]
fn a_call_released_before_its_answer_fails_and_is_not_set_up_again() {
    let (mut front, links) = TestFront::with_links(2);
    let client = front.client();
    front.bytes(client, invite(1, 0).as_bytes());
    assert!(front.take_written(links[0]).contains("setup"));
    front.send_line(links[0], &release(1, 16, ""));
    assert_eq!(front.take_answers(client), [("504".into(), id(1))], "one final answer, at once");
    front.advance(4.0);
    let set_ups = |front: &TestFront| {
        let written = front.log.iter().filter_map(|(_, _, bytes)| bytes.as_deref());
        written.filter(|bytes| String::from_utf8_lossy(bytes).contains("setup")).count()
    };
    assert_eq!(set_ups(&front), 1, "it ran, so it is not repeated");
    // The late answer is released at the server, and the caller gets nothing more.
    front.take_written(links[0]);
    front.send_line(links[0], &answer(1));
    assert!(front.take_written(links[0]).contains(r#""cause":16"#));
    assert_eq!(front.take_written(client), "", "nothing after the final answer");
    assert_eq!(front.edge.gauges()[..2], [0, 0]);
    let counters = front.edge.counters();
    assert_eq!((counters.ended_before_answer, counters.late_answers), (1, 1));
}

#[test]
fn a_release_from_an_earlier_server_does_not_end_the_call() {
    let (mut front, links) = TestFront::with_links(2);
    let client = front.client();
    front.bytes(client, invite(1, 0).as_bytes());
    front.send_line(links[0], &release(1, 41, ""));
    front.advance(0.56);
    front.send_line(links[1], &answer(1));
    front.bytes(client, request("ACK", 1).as_bytes());
    front.take_written(client);
    front.send_line(links[0], &release(1, 16, ""));
    assert_eq!(
        (front.take_written(client).as_str(), front.edge.gauges()[1]),
        ("", 1),
        "its server is another"
    );
    front.send_line(links[1], &release(1, 16, ""));
    assert_eq!(front.first_answer(client), "BYE");
}

#[test]
fn a_timed_out_try_and_its_late_answer_are_released() {
    let (mut front, links) = TestFront::with_links(1);
    let client = front.client();
    front.bytes(client, invite(1, 0).as_bytes());
    front.take_written(links[0]);
    front.advance(2.99);
    let written = front.take_written(links[0]);
    assert!(
        written.contains(r#""type":"release","id":"0000000000000001","fields":{},"cause":16"#),
        "{written}"
    );
    front.advance(0.02);
    let status = front.first_answer(client);
    assert!(matches!(status.as_str(), "503" | "504"), "{status}");
    front.send_line(links[0], &answer(1));
    assert_eq!(front.take_written(client), "", "nothing after the final answer");
    assert!(front.take_written(links[0]).contains(r#""cause":16"#));
    assert_eq!(front.edge.gauges()[..2], [0, 0]);
}

#[test]
fn cancel_and_answer_cross_in_both_orders() {
    let (mut front, links) = TestFront::with_links(1);
    let client = front.client();
    front.bytes(client, invite(1, 0).as_bytes());
    front.take_written(links[0]);
    front.bytes(client, request("CANCEL", 1).as_bytes());
    assert_eq!(front.take_answers(client), [("200".into(), id(1)), ("487".into(), id(1))]);
    assert!(front.take_written(links[0]).contains(r#""cause":16"#));
    front.send_line(links[0], &answer(1));
    assert_eq!(front.take_written(client), "");
    assert!(front.take_written(links[0]).contains(r#""cause":16"#));

    front.bytes(client, invite(2, 0).as_bytes());
    front.send_line(links[0], &answer(2));
    front.take_written(links[0]);
    front.bytes(client, request("CANCEL", 2).as_bytes());
    let answers: Vec<String> = front.take_answers(client).into_iter().map(|a| a.0).collect();
    assert_eq!(answers, ["200", "200", "BYE"]);
    assert!(front.take_written(links[0]).contains(r#""cause":16"#));
    assert_eq!(front.edge.gauges()[..2], [0, 0]);
}

#[test]
fn closing_a_client_cancels_pending_attaches_but_keeps_established_calls() {
    let (mut front, links) = TestFront::with_links(1);
    let client = front.client();
    front.bytes(client, invite(1, 0).as_bytes());
    front.send_line(links[0], &answer(1));
    front.bytes(client, request("ACK", 1).as_bytes());
    front.bytes(client, invite(2, 0).as_bytes());
    front.take_written(links[0]);
    front.lose_connection(client, Loss::Broken);
    let written = front.take_written(links[0]);
    assert!(written.contains(&id(2)) && !written.contains(&id(1)), "{written}");
    assert_eq!(front.edge.gauges()[..2], [0, 1]);
    // The release waits for a connection with evidence of a client that uses it.
    front.send_line(links[0], &release(1, 16, ""));
    let other = front.client();
    assert_eq!(front.take_written(other), "");
    front.bytes(other, invite(3, 0).as_bytes());
    assert_eq!(front.take_answers(other), [("BYE".into(), id(1))]);
}

#[test]
fn a_set_up_waiting_for_a_link_is_refused_when_the_server_drains() {
    let mut front = TestFront::new(1);
    let feed = front.take_feed_dial(4222);
    front.edge.connected(front.now, feed);
    let client = front.client();
    front.bytes(client, invite(1, 0).as_bytes());
    front.bytes(feed, b"HTTP/1.1 200 OK\r\n\r\n");
    let drain = event(2, false, &[member("s0", 0, "draining", 0)]);
    front.bytes(feed, format!("id: 2\ndata: {drain}\n\n").as_bytes());
    assert_eq!(front.first_answer(client), "503");
    let connection = front.bring_up_link(0);
    assert!(!front.take_written(connection).contains("setup"));
}

#[test]
fn a_refused_dial_allows_a_retry_without_the_guard() {
    let mut front = TestFront::new(2);
    let (dead, client) = (front.take_dial(0), front.client());
    let alive = front.bring_up_link(1);
    front.bytes(client, invite(1, 0).as_bytes());
    front.lose_connection(dead, Loss::Refused);
    assert!(front.take_written(alive).contains("setup"), "at once, without the guard");
}

#[test]
fn a_connected_link_without_a_state_is_not_up() {
    let mut front = TestFront::new(2);
    let (hung, client) = (front.take_dial(0), front.client());
    let alive = front.bring_up_link(1);
    front.edge.connected(front.now, hung);
    front.bytes(client, invite(1, 0).as_bytes());
    assert_eq!((front.take_written(hung), front.take_written(alive)), (String::new(), String::new()));
    front.advance(0.51);
    assert!(front.closed.contains(&(hung, true)));
    assert!(front.take_written(alive).contains("setup") && !front.take_written(hung).contains("setup"));
}

#[test]
fn a_server_that_never_announces_its_state_is_probed_once_and_then_used() {
    let mut front = TestFront::new(1);
    let (mute, client) = (front.take_dial(0), front.client());
    front.edge.connected(front.now, mute);
    front.bytes(client, invite(1, 0).as_bytes());
    front.advance(0.11);
    let asked = front.take_written(mute);
    assert!(asked.contains(r#""type":"ping""#) && !asked.contains("setup"), "{asked}");
    front.send_line(mute, &asked.trim().replace("ping", "pong"));
    assert!(front.take_written(mute).contains(&id(1)));
    // On the next link the set-up is sent as soon as the connection is made.
    front.lose_connection(mute, Loss::Broken);
    front.bytes(client, invite(2, 0).as_bytes());
    let next = front.take_dial(0);
    front.edge.connected(front.now, next);
    front.poll();
    assert!(front.take_written(next).contains(&id(2)));
}

#[test]
fn a_lost_link_cuts_only_its_set_ups_and_is_dialled_again_for_established_calls() {
    let (mut front, links) = TestFront::with_links(2);
    let client = front.client();
    front.bytes(client, invite(1, 0).as_bytes());
    front.send_line(links[0], &answer(1));
    front.bytes(client, request("ACK", 1).as_bytes());
    front.bytes(client, invite(2, 0).as_bytes());
    front.take_written(client);
    front.lose_connection(links[0], Loss::Broken);
    assert_eq!(front.edge.gauges()[..2], [1, 1]);
    let again = front.bring_up_link(0);
    front.send_line(again, &release(1, 41, ""));
    assert_eq!(front.take_answers(client), [("BYE".into(), id(1))]);
    front.advance(0.56);
    assert!(front.take_written(links[1]).contains(&id(2)), "after the guard, elsewhere");
}

#[test]
fn a_new_server_at_an_old_address_gets_links_of_its_own() {
    let (mut front, links) = TestFront::with_links(1);
    let client = front.establish_call(links[0], 1);
    let feed = front.take_feed_dial(4222);
    front.edge.connected(front.now, feed);
    front.bytes(feed, b"HTTP/1.1 200 OK\r\n\r\n");
    let replaced = event(2, false, &[member("s0", 0, "removed", 0), member("t0", 0, "up", 0)]);
    front.bytes(feed, format!("data: {replaced}\n\n").as_bytes());
    let new = front.bring_up_link(0);
    front.take_written(links[0]);
    front.bytes(client, invite(2, 0).as_bytes());
    assert!(front.take_written(new).contains(&id(2)) && front.take_written(links[0]).is_empty());
    // Calls at the old server end once its grace period has passed.
    front.advance(0.6);
    assert_eq!(front.take_answers(client), [("BYE".into(), id(1))]);
    assert!(front.closed.contains(&(links[0], true)));
}

#[test]
fn an_unreadable_line_drops_only_its_link() {
    let endless = vec![b'x'; 17_000];
    for spoilt in
        [&b"noise\n"[..], b"{\"type\":\"answer\",\"id\":\"0000000000000001\",\"fields\":{}}\n", &endless]
    {
        let (mut front, links) = TestFront::with_links(2);
        let client = front.client();
        front.bytes(client, invite(1, 0).as_bytes());
        front.take_written(links[0]);
        front.bytes(links[0], spoilt);
        assert!(front.closed.contains(&(links[0], true)));
        assert_eq!(front.take_written(client), "");
        front.bring_up_link(0);
        front.advance(0.56);
        assert!(front.take_written(links[1]).contains(&id(1)));
    }
    // An answer to an unknown call is ignored apart from its release at the server.
    let (mut front, links) = TestFront::with_links(1);
    front.send_line(links[0], &answer(77));
    assert!(front.take_written(links[0]).contains(r#""cause":16"#) && front.closed.is_empty());
}

#[test]
fn a_link_with_answered_probes_stays_and_a_silent_one_is_replaced() {
    let (mut front, links) = TestFront::with_links(1);
    for _ in 0..120 {
        front.advance(0.25);
        for line in front.take_written(links[0]).lines() {
            let ping = line.replace("ping", "pong").replace("{}", r#"{"load":"x0:1;x1:2;latency_ms:3"}"#);
            front.send_line(links[0], &ping);
        }
    }
    assert!(front.edge.counters().tests > 3, "{:?}", front.edge.counters());
    assert!(!front.closed.contains(&(links[0], true)) && front.dials.iter().all(|d| d.1 == 4222));
    // From here on the server is silent; the next probe but one dials another link.
    front.advance(40.0);
    assert!(front.dials.iter().any(|d| d.1 == 6000));
}

#[test]
fn handed_over_calls_are_kept_and_released() {
    let (mut front, links) = TestFront::with_links(1);
    let client = front.client();
    let handed =
        |call, at: &str| invite_with(call, &format!("X-Setup-Ms: 3000\r\nX-Route: at:{at}\r\n"), "x");
    front.bytes(client, handed(1, "s0").as_bytes());
    front.bytes(client, handed(1, "s0").as_bytes());
    assert_eq!((front.take_written(client), front.take_written(links[0])), (String::new(), String::new()));
    assert_eq!(front.edge.gauges()[1], 1);
    front.send_line(links[0], &release(1, 16, ""));
    assert_eq!(front.take_answers(client), [("BYE".into(), id(1))]);
    // A call at an unlisted server ends only after the list had time to arrive, because the server may be
    // new.
    front.bytes(client, handed(2, "nobody").as_bytes());
    front.advance(2.4);
    assert_eq!(front.take_written(client), "", "its list may not have come yet");
    front.advance(0.2);
    assert_eq!(front.take_answers(client), [("BYE".into(), id(2))]);
    let feed = front.take_feed_dial(4222);
    front.edge.connected(front.now, feed);
    front.bytes(feed, b"HTTP/1.1 200 OK\r\n\r\n");
    front.bytes(client, handed(3, "nobody").as_bytes());
    front.advance(0.7);
    assert_eq!(front.take_answers(client), [("BYE".into(), id(3))], "the list is followed");
}

/// The front has just started, or its feed is down, when a call at a new server is handed over.
#[test]
fn a_call_handed_over_before_its_server_is_listed_is_kept() {
    let (mut front, _) = TestFront::with_links(1);
    let client = front.client();
    let handed = |call| invite_with(call, "X-Setup-Ms: 3000\r\nX-Route: at:s1\r\n", "x");
    front.bytes(client, [handed(1), handed(1), handed(2)].concat().as_bytes());
    front.bytes(client, request("BYE", 2).as_bytes());
    assert_eq!(front.first_answer(client), "200");
    front.advance(1.0);
    let feed = front.take_feed_dial(4222);
    front.edge.connected(front.now, feed);
    let update = event(2, false, &[member("s1", 1, "up", 0)]);
    let stream = format!("HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: {update}\n\n");
    front.bytes(feed, stream.as_bytes());
    let link = front.bring_up_link(1);
    // One call is released at its server because its caller ended it; the other stays established.
    let written = front.take_written(link);
    assert!(
        written.contains(r#""release","id":"0000000000000002""#) && !written.contains(&id(1)),
        "{written}"
    );
    front.advance(3.0);
    assert_eq!((front.take_written(client), front.edge.gauges()[1]), (String::new(), 1));
    front.send_line(link, &release(1, 16, ""));
    assert_eq!(front.take_answers(client), [("BYE".into(), id(1))]);
}

#[test]
fn an_invalid_file_is_rejected_with_the_field() {
    let good = file(&[], 4222);
    assert!(read_file(good.as_bytes()).is_ok());
    let fails = |from: &str, to: &str| read_file(good.replace(from, to).as_bytes()).unwrap_err();
    assert!(fails("8c1f30d27a5be964", "zebra").contains("seed"));
    assert!(fails("\"sockets\":256", "\"sockets\":3").contains("limits.sockets is 3; 64 or more"));
    assert!(fails("\"guard_s\": 0.5", "\"guard_s\": \"x\"").contains("settings.domain.guard_s"));
    assert!(fails("127.0.0.1:4222", "nowhere").contains("feed"));
    assert!(read_file(b"").is_err());
}
