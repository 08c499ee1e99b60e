//! Cost of a message: `cargo bench -p shalespindle-signalling`. Figures are of the machine at hand.

use shalespindle_signalling::message::Message;
use shalespindle_signalling::write::{ResponseHead, Writer};
use std::hint::black_box;
use std::time::Instant;

const INVITE: &str = "INVITE sip:+919876543210;tgrp=idukki;trunk-context=example.org@127.0.0.1 SIP/2.0\r\n\
    Via: SIP/2.0/UDP 127.0.0.1:5070;branch=z9hG4bKabc123;rport\r\nMax-Forwards: 70\r\n\
    From: <sip:router-12@coop.example.org>;tag=a1b2\r\nTo: <sip:+919876543210@127.0.0.1>\r\n\
    Call-ID: 0123456789abcdef@127.0.0.1\r\nCSeq: 1 INVITE\r\nContact: <sip:router-12@127.0.0.1:5070>\r\n\
    Session-ID: 0123456789abcdef0123456789abcdef;remote=00000000000000000000000000000000\r\nExpires: 3\r\n\
    Resource-Priority: wps.2\r\nContent-Length: 0\r\n\r\n";

fn time(what: &str, mut run: impl FnMut()) {
    const ROUNDS: u32 = 200_000;
    let mut best = f64::INFINITY;
    for _ in 0..5 {
        let begin = Instant::now();
        (0..ROUNDS).for_each(|_| run());
        best = best.min(begin.elapsed().as_nanos() as f64 / f64::from(ROUNDS));
    }
    println!("{what}: {best:.0} ns a message, the best of five rounds");
}

fn main() {
    let bytes = INVITE.as_bytes();
    time("read an INVITE", || {
        black_box(Message::parse(black_box(bytes)).is_ok());
    });
    time("read it with Via, CSeq, number and trunk group", || {
        if let Ok(message) = Message::parse(black_box(bytes)) {
            black_box((message.via().is_ok(), message.cseq().is_ok(), message.called_party()));
        }
    });
    let Ok(message) = Message::parse(bytes) else { return };
    let head = ResponseHead::for_request(&message, "own");
    time("write its 200", || {
        black_box(Writer::response(200, &head).with("Contact", "<sip:front>").finish());
    });
}
