//! Connections that several attaches share, where one message or a limit makes the front end the connection.

mod common;

use common::*;
use shalespindle_platform::{ConnectionId, Loss};

/// Time after which the front closes a connection with an incomplete message, with a margin, seconds.
const PARTIAL_MESSAGE_TIMEOUT: f64 = 2.6;

/// A connection on which one attach is out at a server and one waits for a link.
struct SharedConnection {
    front: TestFront,
    link: ConnectionId,
    client: ConnectionId,
}

const SENT: u64 = 1;
const UNSENT: u64 = 2;

impl SharedConnection {
    fn new() -> SharedConnection {
        let mut front = TestFront::new(2);
        let link = front.bring_up_link(0);
        let client = front.client();
        for (call, dest) in [(SENT, 0), (UNSENT, 1)] {
            let lines = format!("X-Setup-Ms: 9000\r\nX-Route: dest:{dest};width:1;via:-1\r\n");
            front.bytes(client, invite_with(call, &lines, "9d41\r\n").as_bytes());
        }
        let written = front.take_written(link);
        assert!(written.contains(&id(SENT)) && !written.contains(&id(UNSENT)), "{written}");
        SharedConnection { front, link, client }
    }

    /// Checks that both attaches have exactly one answer, written before the close, and that the server was
    /// told of the end of the attach that it had.
    fn assert_answered_before_the_close(&mut self, case: &str) {
        assert!(self.front.closed.contains(&(self.client, false)), "{case}");
        let closed = self.front.log.iter().position(|(_, c, bytes)| *c == self.client && bytes.is_none());
        let last = self.front.log.iter().rposition(|(_, c, bytes)| *c == self.client && bytes.is_some());
        assert!(last < closed, "{case}: nothing is written after the close");
        let mut answers = self.front.take_answers(self.client);
        answers.retain(|(_, call)| !call.is_empty());
        answers.sort_by(|a, b| a.1.cmp(&b.1));
        // 504 where a try was sent, because a retry by the caller might run the call twice.
        assert_eq!(answers, [("504".into(), id(SENT)), ("503".into(), id(UNSENT))], "{case}");
        assert!(self.front.take_written(self.link).contains(r#""cause":16"#), "{case}");
    }
}

fn oversized_set_up() -> String {
    invite_with(3, "X-Setup-Ms: 9000\r\n", &"x".repeat(20_000))
}

/// Guards against review case 3: the front closed a connection because of one message on it, and the other
/// attaches on it were never answered.
#[test]
fn attaches_are_answered_before_the_front_closes_their_connection() {
    let negative_length = request("OPTIONS", 3).replace("Content-Length: 0", "Content-Length: -1");
    let no_length = "noise\r\n\r\n".to_string();
    let endless_head = format!("INVITE sip:1@net SIP/2.0\r\nX-Free: {}", "x".repeat(20_000));
    for text in [oversized_set_up(), negative_length, no_length, endless_head] {
        let mut shared = SharedConnection::new();
        shared.front.bytes(shared.client, text.as_bytes());
        shared.assert_answered_before_the_close(&format!("{text:.60}"));
    }
    let mut shared = SharedConnection::new();
    shared.front.bytes(shared.client, &invite(3, 0).as_bytes()[..50]);
    // The second server accepts no connection meanwhile; its attach still waits for a link or for a retry.
    shared.front.advance(PARTIAL_MESSAGE_TIMEOUT);
    assert!(shared.front.closed.contains(&(shared.client, false)), "incomplete message");
    let mut calls: Vec<String> = shared.front.take_answers(shared.client).into_iter().map(|a| a.1).collect();
    calls.retain(|call| !call.is_empty());
    calls.sort();
    assert_eq!(calls, [id(SENT), id(UNSENT)], "incomplete message");
}

/// Guards against review case 3: limits below the platform's 16 KiB rejected set-ups with many or long header
/// fields, which the platform leaves free, and ended their connection.
#[test]
fn set_ups_up_to_the_longest_message_are_sent_on_whatever_their_header_fields() {
    let many_fields: String = (0..70).map(|n| format!("X-Free-{n}: {n}\r\n")).collect();
    let long_fields: String = (0..10).map(|n| format!("X-Free-{n}: {}\r\n", "x".repeat(950))).collect();
    let beside = |lines: &str| {
        invite_with(1, &format!("X-Setup-Ms: 3000\r\nX-Route: dest:0;width:1;via:-1\r\n{lines}"), "9d41\r\n")
    };
    let longest_line = format!("X-Free: {}\r\n", "x".repeat(15_000));
    let set_ups = [
        beside(&many_fields),
        beside(&long_fields),
        invite_of_size(MAX_MESSAGE_BYTES, "a:\r\n"),
        invite_of_size(MAX_MESSAGE_BYTES, "X-Free: 1\r\n"),
        invite_of_size(MAX_MESSAGE_BYTES, &longest_line),
    ];
    for set_up in set_ups {
        let (mut front, links) = TestFront::with_links(1);
        let client = front.client();
        front.bytes(client, invite(2, 0).as_bytes());
        front.bytes(client, set_up.as_bytes());
        assert!(!front.closed.contains(&(client, false)), "{} bytes", set_up.len());
        assert!(front.take_written(links[0]).contains(&id(1)), "{} bytes", set_up.len());
        front.send_line(links[0], &answer(1));
        front.send_line(links[0], &answer(2));
        let answers = front.take_answers(client);
        assert_eq!(answers, [("200".into(), id(1)), ("200".into(), id(2))], "{} bytes", set_up.len());
    }
}

/// Guards against lines over the platform's 16 KiB, on which a server closes its connection with all that is
/// open on it: a description grows when it is written as JSON.
#[test]
fn a_set_up_too_long_for_a_server_is_refused_and_not_sent() {
    let route = "X-Setup-Ms: 3000\r\nX-Route: dest:0;width:1;via:-1\r\n";
    let mut longest_sent = 0;
    for size in [2_000, 2_600, 2_700, 4_000, 4_080, 5_000, 8_000, 16_000] {
        for text in ["\r\n", "\u{1}", "x"] {
            let (mut front, links) = TestFront::with_links(1);
            let client = front.client();
            front.bytes(client, invite(2, 0).as_bytes());
            front.take_written(links[0]);
            front.bytes(client, invite_with(1, route, &text.repeat(size / text.len())).as_bytes());
            let sent = front.take_written(links[0]);
            let answer = front.first_answer(client);
            let was_sent = sent.contains(&id(1));
            assert!(
                was_sent && answer.is_empty() || !was_sent && answer == "513",
                "{size} {text:?}: {answer}"
            );
            assert!(sent.lines().all(|line| line.len() < MAX_MESSAGE_BYTES), "{size} {text:?}");
            assert!(was_sent || text != "x", "{size}: nothing is escaped");
            longest_sent = longest_sent.max(sent.len());
            assert!(!front.closed.contains(&(client, false)));
        }
    }
    assert!(longest_sent > 16_000, "{longest_sent}");
}

/// Guards against answers over the platform's 16 KiB, which a caller cannot read.
#[test]
fn an_answer_too_long_for_its_caller_fails_and_is_released() {
    let (mut front, links) = TestFront::with_links(1);
    let client = front.client();
    let via = format!("Via: SIP/2.0/TCP {}\r\n", "x".repeat(9_000));
    let route = "X-Setup-Ms: 3000\r\nX-Route: dest:0;width:1;via:-1\r\n";
    front.bytes(client, invite_with(1, &format!("{via}{route}"), "9d41\r\n").as_bytes());
    front.bytes(client, invite(2, 0).as_bytes());
    front.take_written(links[0]);
    for call in [1, 2] {
        let description = "y".repeat(9_000);
        front.send_line(
            links[0],
            &format!(r#"{{"type":"answer","id":"{}","fields":{{}},"sdp":"{description}"}}"#, id(call)),
        );
    }
    assert_eq!(front.take_answers(client), [("502".into(), id(1)), ("200".into(), id(2))]);
    let written = front.take_written(links[0]);
    assert!(written.contains(&release(1, 16, "")) && !written.contains(&id(2)), "{written}");
    front.advance(5.0);
    assert!(!front.take_written(links[0]).contains("setup"), "it is not set up again");
}

/// Guards against attaches that fail for another message's sake: where a bad message ends is known, so its
/// connection need not end.
#[test]
fn bad_messages_whose_end_is_known_do_not_end_a_connection_with_pending_attaches() {
    let bad_header = request("OPTIONS", 3).replace("Via:", "no colon\r\nVia:");
    let bad_version = request("OPTIONS", 3).replace("SIP/2.0\r\n", "SIP/1.0\r\n");
    let unknown_method = request("INFO", 3);
    let repeated_id = invite(SENT, 0);
    for text in [bad_header, bad_version, unknown_method, repeated_id] {
        let (mut front, links) = TestFront::with_links(1);
        let (client, other) = (front.client(), front.client());
        front.bytes(other, invite(SENT, 0).as_bytes());
        front.bytes(client, invite(2, 0).as_bytes());
        for _ in 0..10 {
            front.bytes(client, text.as_bytes());
            let answers = front.take_answers(client);
            assert!(matches!(&answers[..], [(status, call)] if status.starts_with('4') && !call.is_empty()));
        }
        front.send_line(links[0], &answer(2));
        assert_eq!(front.take_answers(client), [("200".into(), id(2))], "{text:.60}");
        // Without a pending attach the connection is of no further use.
        front.bytes(client, text.as_bytes());
        assert!(front.closed.contains(&(client, false)), "{text:.60}");
    }
}

/// Guards against memory use that grows with free header fields: what is kept of pending set-ups is bounded
/// as a whole.
#[test]
fn set_ups_with_long_heads_are_refused_beyond_the_share_of_memory() {
    let small = file(&[event(1, true, &[member("s0", 0, "up", 0)])], 4222)
        .replace("\"memory_mb\":64", "\"memory_mb\":8")
        .replace("\"most_held\": 50", "\"most_held\": 500");
    let mut front = TestFront::from(&small);
    let client = front.client();
    let via = format!("Via: SIP/2.0/TCP {}\r\n", "x".repeat(14_000));
    let route = "X-Setup-Ms: 9000\r\nX-Route: dest:0;width:1;via:-1\r\n";
    // All arrive before the first decision.
    let set_ups: String =
        (1..=100).map(|call| invite_with(call, &format!("{route}{via}"), "9d41\r\n")).collect();
    front.bytes(client, set_ups.as_bytes());
    // An eighth of 8 MB holds 70 heads of somewhat more than 14,000 bytes.
    assert_eq!(front.edge.counters().no_place, 30);
}

/// Guards against a call cut for another message's sake: an answer written before an orderly close is
/// delivered, so the call must stay established although its confirmation can no longer arrive.
#[test]
fn a_call_whose_answer_is_unconfirmed_survives_the_close_of_its_connection() {
    let (mut front, links) = TestFront::with_links(1);
    let client = front.client();
    front.bytes(client, invite(1, 0).as_bytes());
    front.send_line(links[0], &answer(1));
    assert_eq!(front.first_answer(client), "200");
    front.take_written(links[0]);
    front.bytes(client, oversized_set_up().as_bytes());
    assert!(front.closed.contains(&(client, false)));
    assert_eq!(front.take_written(links[0]), "", "the call is not released at its server");
    assert_eq!(front.edge.gauges()[1], 1);
    // Its end is told on the caller's next connection.
    let again = front.client();
    front.bytes(again, invite(2, 0).as_bytes());
    front.send_line(links[0], &release(1, 16, ""));
    assert!(front.take_answers(again).contains(&("BYE".into(), id(1))));
}

/// Guards against a connection closed under a call that stands: its caller names the call on a new connection,
/// which counted as unused and was closed before the release.
#[test]
fn a_connection_on_which_a_held_call_is_named_stays_open_for_its_release() {
    let (mut front, links) = TestFront::with_links(1);
    let first = front.establish_call(links[0], 1);
    front.lose_connection(first, Loss::Broken);
    let second = front.client();
    front.bytes(second, invite_with(1, "X-Setup-Ms: 3000\r\nX-Route: at:s0\r\n", "x").as_bytes());
    for _ in 0..9 {
        front.advance(1.0);
        // The server keeps sending, so its calls stay.
        front.send_line(links[0], STATE);
    }
    assert!(!front.closed.contains(&(second, false)), "longer than an unused or idle connection is kept");
    front.send_line(links[0], &release(1, 16, ""));
    assert_eq!(front.take_answers(second), [("BYE".into(), id(1))]);
}
