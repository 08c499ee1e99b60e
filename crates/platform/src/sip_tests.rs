//! Tests of the SIP messages exchanged with callers.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn invite(from: &str, to: &str) -> String {
    "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f03aa5c7e2d41\r\n\
     CSeq: 1 INVITE\r\nX-Service: voice\r\nX-Setup-Ms: 1500\r\nX-Route: dest:2;width:1;via:-1\r\n\
     Content-Length: 4\r\n\r\na\r\nb"
        .replace(from, to)
}

fn read(text: &str) -> Result<(f64, Option<u16>), BadForm> {
    let message = Message::parse(text.as_bytes()).map_err(|_| BadForm("message"))?;
    id(&message).ok_or(BadForm("Call-ID"))?;
    let route = route(&message)?;
    read_set_up(&message, &route, &[("voice".into(), 9.0)]).map(|a| (a.patience, a.first_choice))
}

#[test]
fn a_malformed_set_up_is_rejected_with_the_bad_field() {
    assert_eq!(read(&invite("", "")), Ok((1.5, Some(2))));
    for (from, to, what) in [
        ("9b1f03aa5c7e2d41", "9b1f03aa5c7e2d4", "Call-ID"),
        ("9b1f03aa5c7e2d41", "9B1F03AA5C7E2D41", "Call-ID"),
        ("X-Service: voice", "X-Service: vice", "X-Service"),
        ("X-Service: voice\r\n", "", "X-Service"),
        ("1500", "NaN", "X-Setup-Ms"),
        ("1500", "inf", "X-Setup-Ms"),
        ("1500", "-5", "X-Setup-Ms"),
        ("1500", "0", "X-Setup-Ms"),
        ("1500", "99999999999", "X-Setup-Ms"),
        ("dest:2", "dest:-2", "X-Route dest"),
        ("dest:2", "dest:70000", "X-Route dest"),
        ("width:1", "width:nan", "X-Route width"),
        ("via:-1", "via:1e99", "X-Route via"),
        ("dest:2", "dest", "X-Route"),
        ("1 INVITE", "1 BYE", "CSeq"),
        ("a\r\nb", "\u{0}\u{0}\u{0}\u{0}", ""),
    ] {
        let got = read(&invite(from, to));
        match what {
            "" => assert!(got.is_ok(), "{to:?}"),
            _ => assert_eq!(got, Err(BadForm(what)), "{to}"),
        }
    }
    assert_eq!(read(&invite("Content-Length: 4", "Content-Length: 0")), Err(BadForm("description")));
}

proptest! {
    // The same cases in every run.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn noise_in_any_header_never_panics(noise in "\\PC{0,60}", place in 0usize..5) {
        let at = ["9b1f03aa5c7e2d41", "voice", "1500", "dest:2;width:1;via:-1", "7f3a9c21e0b4d655"][place];
        let _ = read(&invite(at, &noise));
    }
}
