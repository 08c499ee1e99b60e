//! Feeds seeded mutations of messages to the parser and the front: no panic, bounded memory.

mod common;

use common::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_front::Input;
use shalespindle_membership::ServiceStatus;
use shalespindle_signalling::Message;

fn mutated(seeds: &[String], rng: &mut ChaCha8Rng) -> Vec<u8> {
    let mut bytes = seeds[rng.random_range(0..seeds.len())].clone().into_bytes();
    for _ in 0..rng.random_range(1..6) {
        let at = rng.random_range(0..bytes.len());
        match rng.random_range(0..6) {
            0 => bytes[at] = rng.random(),
            1 => bytes.truncate(at.max(1)),
            2 => {
                bytes.remove(at);
            }
            3 => bytes.insert(at, b"\r\n;=<>@:\0\xff 9"[rng.random_range(0..12)]),
            4 => {
                let to = (at + rng.random_range(0..40)).min(bytes.len());
                let part = bytes[at..to].to_vec();
                let into = rng.random_range(0..bytes.len());
                bytes.splice(into..into, part);
            }
            _ => {
                let other = seeds[rng.random_range(0..seeds.len())].as_bytes();
                let from = rng.random_range(0..other.len());
                bytes.splice(at.., other[from..].iter().copied());
            }
        }
        if bytes.is_empty() {
            bytes.push(b' ');
        }
    }
    bytes
}

/// Returns requests of callers and answers of servers that belong to pending attaches of the front.
fn seeds(harness: &mut Harness) -> Vec<String> {
    let mut all = Vec::new();
    for call in 0..8 {
        let text = invite(&format!("{call}"), "tg-0", 8000);
        harness.caller_sends(&text);
        // The 100 comes after 200 ms and carries the dialog's tags.
        harness.advance(0.25);
        let (_, invite_sent) = harness.last_invite_sent();
        for status in [100, 180, 200, 480, 486, 487, 503] {
            all.push(reply(
                &invite_sent,
                status,
                "Retry-After: 1;ms=20\r\nReason: Q.850;cause=34\r\nFree-Lines: 3\r\n",
            ));
        }
        all.push(text.replace("INVITE sip", "CANCEL sip").replace("1 INVITE", "1 CANCEL"));
        all.push(in_dialog_request(harness.answers.last().unwrap(), "BYE", "x"));
        all.push(in_dialog_request(harness.answers.last().unwrap(), "ACK", "y"));
        all.push(text);
    }
    all
}

#[test]
fn a_million_mutated_messages_cause_no_panic_and_no_memory_growth() {
    let mut rng = ChaCha8Rng::seed_from_u64(20261201);
    let mut harness = Harness::new(1);
    let seeds = seeds(&mut harness);
    let (mut read, mut most) = (0u32, (0, 0));
    for round in 0..1_000_000u32 {
        let bytes = mutated(&seeds, &mut rng);
        if let Ok(message) = Message::parse(&bytes) {
            read += 1;
            // Every accessor is called, whatever the message is.
            std::hint::black_box((message.via().is_ok(), message.cseq().is_ok(), message.called_party()));
            std::hint::black_box((
                message.retry_after(),
                message.q850_cause(),
                message.session_id().is_some(),
            ));
        }
        // The front gets every tenth message, through each kind of input in turn, and time passes now and
        // then.
        match round % 40 {
            0 => harness.input(Input::Datagram { from: caller(), bytes: &bytes }),
            10 => harness.input(Input::CallerBytes { stream: u64::from(round % 7), bytes: &bytes }),
            20 => {
                if let Some(&id) = harness.links.get(&server((round / 40 % 3) as u16)) {
                    harness.input(Input::LinkBytes { id, bytes: &bytes });
                }
            }
            30 => harness.input(Input::FeedBytes { bytes: &bytes }),
            _ => {}
        }
        if round % 4000 == 0 {
            harness.advance(0.5);
            let held = harness.front.record_counts();
            most = (most.0.max(held.0), most.1.max(held.1));
            harness.answers.clear();
            harness.frames.clear();
            harness.events.clear();
        }
    }
    assert!(read > 100_000, "too few of the mutations parse: {read}");
    assert!(most.0 <= 8 * 200 && most.1 <= 8 * 200, "{most:?}");
    harness.advance(100.0);
    assert_eq!(harness.front.pending(), 0, "every attach was answered");
    harness.input(Input::FeedConnected);
    harness.send_list(true, &[(0, "ready"), (1, "ready"), (2, "ready")]);
    assert_eq!(harness.front.members().filter(|m| m.status() == ServiceStatus::In).count(), 3);
    harness.advance(5.0);
    let offered = harness.front.counters().offered;
    harness.answers.clear();
    harness.invite("77777", "tg-0", 3000);
    harness.advance(3.0);
    assert!(
        harness.front.counters().offered == offered + 1 && !harness.final_statuses().is_empty(),
        "the front no longer serves"
    );
}
