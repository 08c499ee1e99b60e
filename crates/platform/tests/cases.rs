//! Plain cases of the front: each message both ways, ends of setup tries, links, callers' ways to leave.

mod common;

use common::*;
use shalespindle_platform::{read_file, Loss};

#[test]
fn a_call_stands_and_ends_from_either_side() {
    let (mut w, links) = World::linked(2);
    let client = w.client();
    w.bytes(client, invite(1, 0).as_bytes());
    let set_up = w.took(links[0]);
    assert_eq!(
        set_up,
        "{\"type\":\"setup\",\"id\":\"0000000000000001\",\"fields\":{\"class\":\"voice\",\"left\":\"3000\",\
         \"key\":\"7f3a9c21e0b4d001\"},\"sdp\":\"9d41\\r\\nc=IN\\r\\n\"}\n"
    );
    w.say(links[0], r#"{"type":"progress","id":"0000000000000001","fields":{}}"#);
    assert_eq!(w.took(client), "");
    w.say(links[0], &answer(1));
    let text = w.took(client);
    assert!(
        text.starts_with("SIP/2.0 200 OK\r\n") && text.ends_with("\r\n\r\n77aa\r\nm=audio 1\r\n"),
        "{text}"
    );
    assert!(text.contains("CSeq: 1 INVITE"));
    // A second copy changes nothing.
    w.say(links[0], &answer(1));
    assert_eq!((w.took(client), w.took(links[0])), (String::new(), String::new()));
    w.bytes(client, request("ACK", 1).as_bytes());
    w.say(links[0], &release(1, 16, ""));
    assert!(w.took(links[0]).contains(r#""type":"released""#));
    let bye = w.took(client);
    assert!(bye.starts_with("BYE ") && bye.contains("Reason: Q.850;cause=16"), "{bye}");

    w.bytes(client, invite(2, 1).as_bytes());
    w.say(links[1], &answer(2));
    w.bytes(client, request("ACK", 2).as_bytes());
    let other = w.client();
    let bye = request("BYE", 2).replace("CSeq", "Reason: Q.850;cause=31\r\nCSeq");
    w.took(links[1]);
    w.bytes(other, bye.as_bytes());
    assert_eq!(w.first(other), "200");
    let told = w.took(links[1]);
    assert!(told.contains(r#""type":"release""#) && told.contains(r#""cause":31"#), "{told}");
    assert_eq!(w.edge.gauges()[..2], [0, 0]);
}

#[test]
fn every_cause_before_the_answer_is_told_to_the_module() {
    // Cause, fields, whether the attach may go elsewhere at once.
    for (cause, fields, at_once) in [
        (34, r#""note":"throttled""#, true),
        (34, r#""note":"congestion","load":"x0:0;x1:40""#, true),
        (17, "", true),
        (47, "", true),
        (102, "", true),
        (41, "", false),
        (99, "", false),
    ] {
        let (mut w, links) = World::linked(2);
        let client = w.client();
        w.bytes(client, invite(1, 0).as_bytes());
        assert!(w.took(links[0]).contains("setup"));
        w.say(links[0], &release(1, cause, fields));
        assert_eq!(w.took(links[1]).contains("setup"), at_once, "cause {cause} {fields}");
        if !at_once {
            w.pass(0.5);
            assert_eq!(w.took(links[1]), "", "cause {cause}: within the guard");
            w.pass(0.06);
            assert!(w.took(links[1]).contains("setup"), "cause {cause}");
        }
    }
}

/// Standing test, silent+mass: the answer of a set-up came after its call had ended. The front had set the call up again
/// elsewhere meanwhile, and its caller held it standing without a release.
#[test]
fn a_call_that_ended_before_its_answer_came_fails_at_once_and_is_never_set_up_again() {
    let (mut w, links) = World::linked(2);
    let client = w.client();
    w.bytes(client, invite(1, 0).as_bytes());
    assert!(w.took(links[0]).contains("setup"));
    w.say(links[0], &release(1, 16, ""));
    assert_eq!(w.answers(client), [("504".into(), id(1))], "one final answer, at once");
    w.pass(4.0);
    let set_ups = |w: &World| {
        let written = w.log.iter().filter_map(|(_, _, bytes)| bytes.as_deref());
        written.filter(|bytes| String::from_utf8_lossy(bytes).contains("setup")).count()
    };
    assert_eq!(set_ups(&w), 1, "it ran, so it is not repeated");
    // The answer at last: nothing may be left standing of it, and its caller hears nothing more.
    w.took(links[0]);
    w.say(links[0], &answer(1));
    assert!(w.took(links[0]).contains(r#""cause":16"#));
    assert_eq!(w.took(client), "", "nothing after the final answer");
    assert_eq!(w.edge.gauges()[..2], [0, 0]);
    let counters = w.edge.counters();
    assert_eq!((counters.ended_before_answer, counters.late_answers), (1, 1));
}

#[test]
fn the_end_of_a_call_that_stands_elsewhere_by_now_is_not_its_end() {
    let (mut w, links) = World::linked(2);
    let client = w.client();
    w.bytes(client, invite(1, 0).as_bytes());
    w.say(links[0], &release(1, 41, ""));
    w.pass(0.56);
    w.say(links[1], &answer(1));
    w.bytes(client, request("ACK", 1).as_bytes());
    w.took(client);
    w.say(links[0], &release(1, 16, ""));
    assert_eq!((w.took(client).as_str(), w.edge.gauges()[1]), ("", 1), "its server is another");
    w.say(links[1], &release(1, 16, ""));
    assert_eq!(w.first(client), "BYE");
}

#[test]
fn a_time_out_releases_the_try_and_a_late_answer_is_released_too() {
    let (mut w, links) = World::linked(1);
    let client = w.client();
    w.bytes(client, invite(1, 0).as_bytes());
    w.took(links[0]);
    w.pass(2.99);
    let told = w.took(links[0]);
    assert!(told.contains(r#""type":"release","id":"0000000000000001","fields":{},"cause":16"#), "{told}");
    w.pass(0.02);
    let status = w.first(client);
    assert!(matches!(status.as_str(), "503" | "504"), "{status}");
    w.say(links[0], &answer(1));
    assert_eq!(w.took(client), "", "nothing after the final answer");
    assert!(w.took(links[0]).contains(r#""cause":16"#));
    assert_eq!(w.edge.gauges()[..2], [0, 0]);
}

#[test]
fn cancel_and_answer_cross_in_both_orders() {
    let (mut w, links) = World::linked(1);
    let client = w.client();
    w.bytes(client, invite(1, 0).as_bytes());
    w.took(links[0]);
    w.bytes(client, request("CANCEL", 1).as_bytes());
    assert_eq!(w.answers(client), [("200".into(), id(1)), ("487".into(), id(1))]);
    assert!(w.took(links[0]).contains(r#""cause":16"#));
    w.say(links[0], &answer(1));
    assert_eq!(w.took(client), "");
    assert!(w.took(links[0]).contains(r#""cause":16"#));

    w.bytes(client, invite(2, 0).as_bytes());
    w.say(links[0], &answer(2));
    w.took(links[0]);
    w.bytes(client, request("CANCEL", 2).as_bytes());
    let answers: Vec<String> = w.answers(client).into_iter().map(|a| a.0).collect();
    assert_eq!(answers, ["200", "200", "BYE"]);
    assert!(w.took(links[0]).contains(r#""cause":16"#));
    assert_eq!(w.edge.gauges()[..2], [0, 0]);
}

#[test]
fn a_closed_caller_has_left_but_its_standing_call_stays() {
    let (mut w, links) = World::linked(1);
    let client = w.client();
    w.bytes(client, invite(1, 0).as_bytes());
    w.say(links[0], &answer(1));
    w.bytes(client, request("ACK", 1).as_bytes());
    w.bytes(client, invite(2, 0).as_bytes());
    w.took(links[0]);
    w.lose(client, Loss::Broken);
    let told = w.took(links[0]);
    assert!(told.contains(&id(2)) && !told.contains(&id(1)), "{told}");
    assert_eq!(w.edge.gauges()[..2], [0, 1]);
    // Its release waits for a connection that proves of use.
    w.say(links[0], &release(1, 16, ""));
    let other = w.client();
    assert_eq!(w.took(other), "");
    w.bytes(other, invite(3, 0).as_bytes());
    assert_eq!(w.answers(other), [("BYE".into(), id(1))]);
}

#[test]
fn a_set_up_waits_for_a_dial_and_a_drain_meanwhile_keeps_it_back() {
    let mut w = World::new(1);
    let feed = w.dialled_feed(4222);
    w.edge.connected(w.now, feed);
    let client = w.client();
    w.bytes(client, invite(1, 0).as_bytes());
    w.bytes(feed, b"HTTP/1.1 200 OK\r\n\r\n");
    let drain = event(2, false, &[member("s0", 0, "draining", 0)]);
    w.bytes(feed, format!("id: 2\ndata: {drain}\n\n").as_bytes());
    assert_eq!(w.first(client), "503");
    let connection = w.link(0);
    assert!(!w.took(connection).contains("setup"));
}

#[test]
fn a_refused_dial_proves_that_nothing_ran() {
    let mut w = World::new(2);
    let (dead, client) = (w.dialled(0), w.client());
    let alive = w.link(1);
    w.bytes(client, invite(1, 0).as_bytes());
    w.lose(dead, Loss::Refused);
    assert!(w.took(alive).contains("setup"), "at once, without the guard");
}

#[test]
fn a_link_that_takes_connections_and_says_nothing_is_not_up() {
    let mut w = World::new(2);
    let (hung, client) = (w.dialled(0), w.client());
    let alive = w.link(1);
    w.edge.connected(w.now, hung);
    w.bytes(client, invite(1, 0).as_bytes());
    assert_eq!((w.took(hung), w.took(alive)), (String::new(), String::new()));
    w.pass(0.51);
    assert!(w.closed.contains(&(hung, true)));
    assert!(w.took(alive).contains("setup") && !w.took(hung).contains("setup"));
}

#[test]
fn a_server_that_never_says_its_state_is_asked_once_and_then_taken_as_it_is() {
    let mut w = World::new(1);
    let (mute, client) = (w.dialled(0), w.client());
    w.edge.connected(w.now, mute);
    w.bytes(client, invite(1, 0).as_bytes());
    w.pass(0.11);
    let asked = w.took(mute);
    assert!(asked.contains(r#""type":"ping""#) && !asked.contains("setup"), "{asked}");
    w.say(mute, &asked.trim().replace("ping", "pong"));
    assert!(w.took(mute).contains(&id(1)));
    // The next link: the set-up goes out as soon as it is made.
    w.lose(mute, Loss::Broken);
    w.bytes(client, invite(2, 0).as_bytes());
    let next = w.dialled(0);
    w.edge.connected(w.now, next);
    w.poll();
    assert!(w.took(next).contains(&id(2)));
}

#[test]
fn a_lost_link_cuts_its_set_ups_only_and_is_made_again_for_what_stands() {
    let (mut w, links) = World::linked(2);
    let client = w.client();
    w.bytes(client, invite(1, 0).as_bytes());
    w.say(links[0], &answer(1));
    w.bytes(client, request("ACK", 1).as_bytes());
    w.bytes(client, invite(2, 0).as_bytes());
    w.took(client);
    w.lose(links[0], Loss::Broken);
    assert_eq!(w.edge.gauges()[..2], [1, 1]);
    let again = w.link(0);
    w.say(again, &release(1, 41, ""));
    assert_eq!(w.answers(client), [("BYE".into(), id(1))]);
    w.pass(0.56);
    assert!(w.took(links[1]).contains(&id(2)), "after the guard, elsewhere");
}

#[test]
fn a_new_server_at_an_old_address_gets_links_of_its_own() {
    let (mut w, links) = World::linked(1);
    let client = w.caller(links[0], 1);
    let feed = w.dialled_feed(4222);
    w.edge.connected(w.now, feed);
    w.bytes(feed, b"HTTP/1.1 200 OK\r\n\r\n");
    let replaced = event(2, false, &[member("s0", 0, "removed", 0), member("t0", 0, "up", 0)]);
    w.bytes(feed, format!("data: {replaced}\n\n").as_bytes());
    let new = w.link(0);
    w.took(links[0]);
    w.bytes(client, invite(2, 0).as_bytes());
    assert!(w.took(new).contains(&id(2)) && w.took(links[0]).is_empty());
    // What stood at the old one is over when it has had time for its last words.
    w.pass(0.6);
    assert_eq!(w.answers(client), [("BYE".into(), id(1))]);
    assert!(w.closed.contains(&(links[0], true)));
}

#[test]
fn a_spoilt_line_costs_its_link_and_no_more() {
    let endless = vec![b'x'; 17_000];
    for spoilt in
        [&b"noise\n"[..], b"{\"type\":\"answer\",\"id\":\"0000000000000001\",\"fields\":{}}\n", &endless]
    {
        let (mut w, links) = World::linked(2);
        let client = w.client();
        w.bytes(client, invite(1, 0).as_bytes());
        w.took(links[0]);
        w.bytes(links[0], spoilt);
        assert!(w.closed.contains(&(links[0], true)));
        assert_eq!(w.took(client), "");
        w.link(0);
        w.pass(0.56);
        assert!(w.took(links[1]).contains(&id(1)));
    }
    // What belongs to nobody is passed over, and nothing is left standing of it.
    let (mut w, links) = World::linked(1);
    w.say(links[0], &answer(77));
    assert!(w.took(links[0]).contains(r#""cause":16"#) && w.closed.is_empty());
}

#[test]
fn probes_are_answered_on_their_link_and_doubt_comes_only_from_silence() {
    let (mut w, links) = World::linked(1);
    for _ in 0..120 {
        w.pass(0.25);
        for line in w.took(links[0]).lines() {
            let ping = line.replace("ping", "pong").replace("{}", r#"{"load":"x0:1;x1:2;latency_ms:3"}"#);
            w.say(links[0], &ping);
        }
    }
    assert!(w.edge.counters().tests > 3, "{:?}", w.edge.counters());
    assert!(!w.closed.contains(&(links[0], true)) && w.dials.iter().all(|d| d.1 == 4222));
    // From here on silence: the next probe but one looks for another link.
    w.pass(40.0);
    assert!(w.dials.iter().any(|d| d.1 == 6000));
}

#[test]
fn calls_handed_over_are_held_and_released() {
    let (mut w, links) = World::linked(1);
    let client = w.client();
    let handed =
        |call, at: &str| invite_with(call, &format!("X-Setup-Ms: 3000\r\nX-Route: at:{at}\r\n"), "x");
    w.bytes(client, handed(1, "s0").as_bytes());
    w.bytes(client, handed(1, "s0").as_bytes());
    assert_eq!((w.took(client), w.took(links[0])), (String::new(), String::new()));
    assert_eq!(w.edge.gauges()[1], 1);
    w.say(links[0], &release(1, 16, ""));
    assert_eq!(w.answers(client), [("BYE".into(), id(1))]);
    // Of a server that is gone nothing stands; that it is gone, and not only unknown yet, shows when the list has had
    // its time.
    w.bytes(client, handed(2, "nobody").as_bytes());
    w.pass(1.9);
    assert_eq!(w.took(client), "", "its list may not have come yet");
    w.pass(0.2);
    assert_eq!(w.answers(client), [("BYE".into(), id(2))]);
    let feed = w.dialled_feed(4222);
    w.edge.connected(w.now, feed);
    w.bytes(client, handed(3, "nobody").as_bytes());
    w.pass(0.7);
    assert_eq!(w.answers(client), [("BYE".into(), id(3))], "the list is followed");
}

/// The front starts, or its feed is away, while a call is handed over that stands at a server which is new.
#[test]
fn a_call_handed_over_before_its_server_is_known_is_held_and_not_ended() {
    let (mut w, _) = World::linked(1);
    let client = w.client();
    let handed = |call| invite_with(call, "X-Setup-Ms: 3000\r\nX-Route: at:s1\r\n", "x");
    w.bytes(client, [handed(1), handed(1), handed(2)].concat().as_bytes());
    w.bytes(client, request("BYE", 2).as_bytes());
    assert_eq!(w.first(client), "200");
    w.pass(1.0);
    let feed = w.dialled_feed(4222);
    w.edge.connected(w.now, feed);
    let news = event(2, false, &[member("s1", 1, "up", 0)]);
    let stream = format!("HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: {news}\n\n");
    w.bytes(feed, stream.as_bytes());
    let link = w.link(1);
    // The one is released at its server as its caller wished, the other stands.
    let told = w.took(link);
    assert!(told.contains(r#""release","id":"0000000000000002""#) && !told.contains(&id(1)), "{told}");
    w.pass(3.0);
    assert_eq!((w.took(client), w.edge.gauges()[1]), (String::new(), 1));
    w.say(link, &release(1, 16, ""));
    assert_eq!(w.answers(client), [("BYE".into(), id(1))]);
}

#[test]
fn bad_files_are_named() {
    let good = file(&[], 4222);
    assert!(read_file(good.as_bytes()).is_ok());
    let fails = |from: &str, to: &str| read_file(good.replace(from, to).as_bytes()).unwrap_err();
    assert!(fails("8c1f30d27a5be964", "zebra").contains("seed"));
    assert!(fails("\"sockets\":256", "\"sockets\":3").contains("limits.sockets is 3; 64 or more"));
    assert!(fails("\"guard_s\": 0.5", "\"guard_s\": \"x\"").contains("settings.domain.guard_s"));
    assert!(fails("127.0.0.1:4222", "nowhere").contains("feed"));
    assert!(read_file(b"").is_err());
}
