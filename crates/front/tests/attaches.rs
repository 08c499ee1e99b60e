//! A front driven by bytes and the test's own clock: what callers and servers receive.

mod common;

use common::*;
use shalespindle_front::router::replay;
use shalespindle_front::{Event, Front, Input, Outcome};
use shalespindle_signalling::message::Message;

#[test]
fn an_attach_is_established_and_released_by_its_caller() {
    let mut harness = Harness::new(1);
    harness.invite("1", "tg-1", 3000);
    let (to, invite_sent) = harness.last_invite_sent();
    assert_eq!(to, server(1), "the trunk group's pool is the first choice");
    let m = Message::parse(invite_sent.as_bytes()).unwrap();
    assert_eq!(m.session_id(), Some(format!("{:0>32}", 1).as_str()));
    assert_eq!(m.header("Max-Forwards"), Some("69"));
    harness.advance(0.1);
    harness.server_sends(
        1,
        &reply(&invite_sent, 200, "Contact: <sip:x@10.0.0.1>\r\nContent-Type: application/sdp\r\n"),
    );
    assert_eq!((harness.final_statuses(), harness.count("ACK sip:x@10.0.0.1")), (vec![200], 1));
    let ok = harness.answers.last().unwrap().clone();
    harness.caller_sends(&in_dialog_request(&ok, "ACK", "a"));
    harness.caller_sends(&in_dialog_request(&ok, "BYE", "b"));
    assert!(harness.answers.last().unwrap().starts_with("SIP/2.0 200"));
    let bye = harness.frames.last().unwrap().1.clone();
    assert!(bye.starts_with("BYE sip:x@10.0.0.1"));
    harness.server_sends(1, &reply(&bye, 200, ""));
    assert_eq!(harness.front.established(), 0);
    harness.advance(40.0);
    assert_eq!(harness.front.record_counts(), (0, 0), "nothing stays in memory");
}

#[test]
fn a_caller_gets_a_100_when_its_answer_takes_longer_than_200_ms() {
    let mut harness = Harness::new(1);
    harness.invite("1", "tg-1", 3000);
    harness.advance(0.19);
    assert!(harness.answers.is_empty());
    harness.advance(0.02);
    assert!(harness.answers[0].starts_with("SIP/2.0 100"));
    harness.invite("2", "tg-1", 3000);
    harness.invite("2", "tg-1", 3000);
    assert_eq!(harness.answers.len(), 2, "a retransmission gets a 100 at once");
    harness.advance(1.0);
    assert_eq!(harness.answers.len(), 2);
}

#[test]
fn a_bye_from_the_server_releases_the_caller() {
    let mut harness = Harness::new(1);
    harness.invite("1", "tg-0", 3000);
    let (_, invite_sent) = harness.last_invite_sent();
    harness.server_sends(0, &reply(&invite_sent, 200, ""));
    let m = Message::parse(invite_sent.as_bytes()).unwrap();
    let bye = format!(
        "BYE sip:front SIP/2.0\r\nVia: SIP/2.0/TCP s;branch=z9hG4bKq\r\nFrom: {};tag=s\r\nTo: {}\r\n\
         Call-ID: {}\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n",
        m.to().unwrap(),
        m.from().unwrap(),
        m.call_id().unwrap()
    );
    harness.server_sends(0, &bye);
    assert!(harness.frames.last().unwrap().1.starts_with("SIP/2.0 200"));
    assert!(harness.answers.last().unwrap().starts_with("BYE sip:r@127.0.0.1:5070"));
    let repeats = harness.answers.len();
    harness.advance(1.0);
    assert!(
        harness.answers.len() > repeats,
        "over datagrams the front's BYE is retransmitted until it is answered"
    );
    let bye = harness.answers.last().unwrap().clone();
    harness.caller_sends(&reply(&bye, 200, ""));
    let repeats = harness.answers.len();
    harness.advance(40.0);
    assert_eq!((harness.answers.len(), harness.front.record_counts()), (repeats, (0, 0)));
    // A server cannot end another server's call.
    harness.invite("2", "tg-0", 3000);
    let (_, invite_sent) = harness.last_invite_sent();
    harness.server_sends(0, &reply(&invite_sent, 200, ""));
    let id = Message::parse(invite_sent.as_bytes()).unwrap().call_id().unwrap().to_string();
    harness.server_sends(1, &bye.replace("Call-ID: 1", &format!("Call-ID: {id}")));
    assert_eq!(harness.front.established(), 1);
}

#[test]
fn retransmissions_are_absorbed_and_answers_repeated_until_the_ack() {
    let mut harness = Harness::new(1);
    for _ in 0..3 {
        harness.invite("1", "tg-0", 3000);
    }
    assert_eq!(
        (harness.invites_sent(), harness.front.counters().offered, harness.front.counters().repeats),
        (1, 1, 2)
    );
    let (_, invite_sent) = harness.last_invite_sent();
    harness.server_sends(0, &reply(&invite_sent, 200, ""));
    let before = harness.final_statuses().len();
    harness.advance(1.6);
    assert_eq!(harness.final_statuses().len(), before + 2, "at 0.5 and 1.5 s");
    let ok = harness.answers.last().unwrap().clone();
    harness.caller_sends(&in_dialog_request(&ok, "ACK", "a"));
    let before = harness.final_statuses().len();
    harness.advance(20.0);
    assert_eq!(harness.final_statuses().len(), before);
    // Without an ACK the call ends on both sides after 64 T1 (RFC 3261 section 13.3.1.4).
    harness.invite("2", "tg-0", 3000);
    let (_, invite_sent) = harness.last_invite_sent();
    harness.server_sends(0, &reply(&invite_sent, 200, ""));
    harness.advance(33.0);
    assert!(harness.answers.iter().any(|a| a.starts_with("BYE")) && harness.count("BYE") == 1);
}

#[test]
fn a_200_that_crosses_the_cancel_leaves_no_established_call() {
    let mut harness = Harness::new(1);
    harness.invite("1", "tg-0", 3000);
    let (_, invite_sent) = harness.last_invite_sent();
    harness.caller_sends(
        &invite("1", "tg-0", 3000).replace("INVITE sip", "CANCEL sip").replace("1 INVITE", "1 CANCEL"),
    );
    assert_eq!((harness.final_statuses(), harness.count("CANCEL")), (vec![487], 1));
    harness.server_sends(0, &reply(&invite_sent, 200, ""));
    assert_eq!(
        (harness.count("ACK"), harness.count("BYE")),
        (1, 1),
        "a late 200 is answered with ACK and BYE"
    );
    assert_eq!(harness.final_statuses(), [487]);
    assert_eq!(harness.front.counters().late_answers, 1);
}

#[test]
fn a_try_that_times_out_is_cancelled_and_not_retried_within_the_release_guard() {
    let mut harness = Harness::new(1);
    harness.invite("1", "tg-0", 8000);
    let first = harness.now;
    harness.advance(1.99);
    assert_eq!((harness.invites_sent(), harness.count("CANCEL")), (1, 0));
    harness.advance(0.02);
    assert_eq!((harness.invites_sent(), harness.count("CANCEL")), (1, 1));
    harness.advance(RELEASE_GUARD - 0.02);
    assert_eq!(harness.invites_sent(), 1, "{}", harness.now - first);
    harness.advance(0.05);
    assert_eq!(harness.invites_sent(), 2);
    let (to, _) = harness.last_invite_sent();
    assert_ne!(to, server(0), "the next try goes to another server");
}

#[test]
fn a_lost_connection_ends_established_calls_and_retries_pending_ones_after_the_guard() {
    let mut harness = Harness::new(1);
    harness.invite("1", "tg-0", 8000);
    let (_, invite_sent) = harness.last_invite_sent();
    harness.server_sends(0, &reply(&invite_sent, 200, ""));
    harness.invite("2", "tg-0", 8000);
    assert_eq!(harness.invites_sent(), 2);
    let id = harness.links[&server(0)];
    harness.input(Input::LinkLost { id });
    assert!(
        harness.answers.iter().any(|a| a.starts_with("BYE")),
        "the established call ends with a BYE to its caller"
    );
    assert_eq!(harness.invites_sent(), 2, "the other attach waits for the release guard");
    harness.advance(RELEASE_GUARD + 0.01);
    assert_eq!(harness.invites_sent(), 3);
    assert_ne!(harness.last_invite_sent().0, server(0));
    assert_eq!(harness.count("BYE"), 1, "the reconnected server gets a BYE for the call that was cut");
}

#[test]
fn a_refused_connection_sends_nothing_and_backs_off() {
    let mut harness = Harness::without_servers(Front::new(params(), 1, 1000.0));
    harness.refusing = vec![server(0), server(1), server(2)];
    harness.send_list(true, &[(0, "ready"), (1, "ready"), (2, "ready")]);
    harness.invite("1", "tg-0", 3000);
    assert_eq!(
        (harness.invites_sent(), harness.final_statuses().len()),
        (0, 1),
        "no server is reachable: answered at once, {:?}",
        harness.final_statuses()
    );
    let connects =
        |harness: &Harness| harness.events.iter().filter(|e| matches!(e, Event::LinkLost { .. })).count();
    harness.advance(10.0);
    assert!(
        (15..60).contains(&connects(&harness)),
        "{} connections to three servers in 10 s",
        connects(&harness)
    );
}

/// A set-up that waits for a socket is withdrawn by a drain, by the removal of its server, by its timeout and
/// by its caller's CANCEL.
#[test]
fn a_set_up_withdrawn_behind_a_full_socket_is_never_sent() {
    for cause in ["drain", "gone", "time-out", "caller"] {
        let mut harness = Harness::new(1);
        harness.full_sockets = vec![server(0)];
        harness.invite("1", "tg-0", 8000);
        assert_eq!(harness.last_invite_sent().0, server(0), "the first set-up fills the socket");
        harness.invite("2", "tg-0", 8000);
        assert_eq!(harness.invites_sent(), 1, "{cause}: the second set-up waits");
        match cause {
            "drain" => harness.send_list(false, &[(0, "draining")]),
            "gone" => harness.send_list(true, &[(1, "ready"), (2, "ready")]),
            "time-out" => harness.advance(2.1),
            _ => {
                let cancel = invite("2", "tg-0", 8000).replace("INVITE sip", "CANCEL sip");
                harness.caller_sends(&cancel.replace("1 INVITE", "1 CANCEL"));
            }
        }
        harness.full_sockets.clear();
        if let Some(&id) = harness.links.get(&server(0)) {
            harness.input(Input::Writable { id });
        }
        harness.advance(0.3);
        let again = harness.frames.iter().filter(|f| f.0 == server(0) && f.1.starts_with("INVITE")).count();
        assert_eq!(again, 1, "{cause}: nothing more is sent to that server");
        if cause == "time-out" {
            assert_eq!(
                harness.closed,
                [(server(0), true)],
                "a half-written set-up in a full socket is discarded with a reset"
            );
        }
        if cause == "drain" {
            assert_eq!(harness.front.counters().taken_back, 1);
        }
    }
}

#[test]
fn a_half_written_set_up_is_reset_within_the_drain_grace() {
    let mut harness = Harness::new(1);
    harness.full_sockets = vec![server(0)];
    harness.invite("1", "tg-0", 8000);
    harness.send_list(false, &[(0, "draining")]);
    assert!(harness.closed.is_empty());
    harness.advance(DRAIN_GRACE / 2.0 + 0.01);
    assert_eq!(harness.closed, [(server(0), true)]);
}

#[test]
fn no_caller_waits_past_its_patience() {
    let mut harness = Harness::new(3);
    harness.invite("1", "tg-0", 1500);
    harness.advance(1.46);
    assert_eq!(harness.final_statuses(), [480], "answered before the caller's 1.5 s have passed");
    // The front stalls for longer than its caller waits: the expired timeout counts before the server's late
    // answer.
    harness.invite("2", "tg-1", 1500);
    let (to, invite_sent) = harness.last_invite_sent();
    harness.now += 3.0;
    harness.server_sends(to.port() - 6000, &reply(&invite_sent, 200, ""));
    assert!(
        harness.final_statuses().iter().all(|s| *s == 480),
        "retransmitted until an ACK comes, but never changed"
    );
    assert_eq!((harness.front.established(), harness.front.counters().late_answers), (0, 1));
}

#[test]
fn invalid_requests_get_the_status_that_rfc_3261_asks_for() {
    let mut harness = Harness::new(1);
    let good = invite("9", "tg-0", 3000);
    let rows = [
        (good.replace("Call-ID: 9\r\n", ""), 400),
        (good.replace("1 INVITE", "1 BYE"), 400),
        (good.replace("Max-Forwards: 70", "Max-Forwards: 0"), 483),
        (good.replace("sip:+919;tgrp=tg-0;trunk-context=example.org@front SIP", "http:x SIP"), 404),
        (good.replace("To: <sip:+919@front>", "To: <sip:+919@front>;tag=old"), 481),
        (good.replace("INVITE sip", "BYE sip").replace("1 INVITE", "1 BYE"), 481),
        (good.replace("INVITE sip", "CANCEL sip").replace("1 INVITE", "1 CANCEL"), 481),
        (good.replace("INVITE sip", "REGISTER sip").replace("1 INVITE", "1 REGISTER"), 405),
        (good.replace("INVITE sip", "OPTIONS sip").replace("1 INVITE", "1 OPTIONS"), 200),
    ];
    for (text, status) in rows {
        harness.answers.clear();
        harness.caller_sends(&text);
        assert_eq!(harness.answers.len(), 1, "{text}");
        assert!(
            harness.answers[0].starts_with(&format!("SIP/2.0 {status} ")),
            "{text}\n{}",
            harness.answers[0]
        );
    }
    assert_eq!((harness.invites_sent(), harness.front.pending()), (0, 0));
    assert_eq!(harness.front.counters().bad_messages, 2);
}

#[test]
fn a_stream_of_single_bytes_is_closed_and_a_whole_message_served() {
    let mut harness = Harness::new(1);
    let text = invite("1", "tg-0", 3000);
    harness.input(Input::CallerBytes { stream: 1, bytes: &text.as_bytes()[..10] });
    let (mut fed, mut bad) = (10, 0);
    for byte in text.as_bytes()[10..].chunks(1) {
        harness.advance(1.0);
        harness.input(Input::CallerBytes { stream: 1, bytes: byte });
        fed += 1;
        bad = harness.front.counters().bad_messages;
        if bad > 0 {
            break;
        }
    }
    assert!(bad == 1 && fed < 30, "closed after {fed} bytes");
    harness.input(Input::CallerBytes { stream: 2, bytes: text.as_bytes() });
    assert_eq!(harness.invites_sent(), 1);
    harness.input(Input::CallerClosed { stream: 2 });
    assert_eq!(
        (harness.front.pending(), harness.count("CANCEL")),
        (0, 1),
        "a lost caller has abandoned its attach"
    );
}

#[test]
fn attaches_over_the_pending_limit_are_refused_and_memory_is_bounded() {
    let mut harness = Harness::new(1);
    for call in 0..5000 {
        harness.invite(&format!("{call}"), "tg-0", 8000);
    }
    let held = harness.front.record_counts();
    assert!(held.0 <= 8 * 200 && held.1 <= 200, "{held:?}");
    assert!(harness.front.counters().door_refused > 0);
    harness.advance(60.0);
    assert_eq!(harness.front.pending(), 0);
    harness.advance(40.0);
    assert_eq!(harness.front.record_counts(), (0, 0));
}

#[test]
fn a_shutdown_answers_pending_attaches_and_refuses_new_ones() {
    let mut harness = Harness::new(1);
    harness.invite("1", "tg-0", 3000);
    let (_, invite_sent) = harness.last_invite_sent();
    harness.input(Input::Shutdown);
    harness.invite("2", "tg-0", 3000);
    assert_eq!(harness.final_statuses(), [503]);
    assert!(harness.answers.last().unwrap().contains("Retry-After: "));
    assert!(!harness.front.is_done());
    harness.server_sends(0, &reply(&invite_sent, 200, ""));
    assert!(!harness.front.is_done(), "its call is established");
    harness.advance(10.1);
    assert!(
        harness.front.is_done() && harness.count("BYE") == 1,
        "established calls are released at the shutdown timeout"
    );
}

#[test]
fn two_fronts_share_no_state_and_a_seed_determines_the_run() {
    let run = |seed, beside: bool| {
        let mut harness = Harness::new(seed);
        let mut other = Harness::new(99);
        for call in 0..200 {
            if beside {
                other.invite(&format!("{call}"), "tg-1", 2000);
            }
            harness.invite(&format!("{call}"), "tg-0", 2000);
            harness.advance(0.02);
            let (to, invite_sent) = harness.last_invite_sent();
            if call % 3 == 0 {
                harness.server_sends(to.port() - 6000, &reply(&invite_sent, 200, "Processor-Wait-Ms: 5\r\n"));
            }
        }
        (harness.answers, harness.frames)
    };
    assert_eq!(run(5, false), run(5, true));
    assert_ne!(run(5, false).1, run(6, false).1, "another seed gives another run");
}

/// The recorded inputs of the decision module, replayed to a new module alone, give the same decisions.
#[test]
fn replaying_the_recording_gives_the_same_decisions() {
    let mut harness = Harness::new(7);
    for call in 0..600u32 {
        harness.invite(
            &format!("{call}"),
            ["tg-0", "tg-1", "tg-2"][call as usize % 3],
            500 + call * 7 % 3000,
        );
        harness.advance(0.013);
        let (to, invite_sent) = harness.last_invite_sent();
        let n = to.port() - 6000;
        match call % 7 {
            0 | 3 | 5 | 6 => {
                harness.server_sends(n, &reply(&invite_sent, 200, "Processor-Wait-Ms: 4\r\nLines: 50\r\n"))
            }
            2 if call % 70 == 2 => harness
                .server_sends(n, &reply(&invite_sent, 480, "Reason: Q.850;cause=34\r\nFree-Lines: 0\r\n")),
            4 if call % 100 == 4 => harness.send_list(false, &[(n, "draining")]),
            1 if call % 50 == 8 || call % 50 == 15 => {
                harness.send_list(true, &[(0, "ready"), (1, "ready"), (2, "ready")])
            }
            1 => harness.server_sends(n, &reply(&invite_sent, 503, "Retry-After: 1;ms=20\r\n")),
            _ => {}
        }
    }
    harness.advance(10.0);
    let seed = Front::control_seed(7);
    let decisions = replay(seed, params().deployment, 1000.0, harness.front.recording()).unwrap();
    assert!(decisions > 600, "{decisions}");
    // The check can fail: another seed makes other decisions.
    assert!(replay(seed + 1, params().deployment, 1000.0, harness.front.recording()).is_err());
    let answered = harness.events.iter().filter(|e| matches!(e, Event::FinalAnswer(_))).count();
    let stood = |e: &&Event| matches!(e, Event::FinalAnswer(a) if a.outcome == Outcome::Established);
    assert_eq!(answered, 600);
    let stood = harness.events.iter().filter(stood).count();
    assert!(stood > 30, "{stood}");
}
