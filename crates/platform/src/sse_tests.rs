//! Tests of the parser for server-sent events.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn read(stream: &[u8], steps: &[usize]) -> Result<Vec<String>, StreamError> {
    let (mut events, mut out, mut from, mut step) = (EventStream::default(), Vec::new(), 0, 0);
    while from < stream.len() {
        let size = steps[step % steps.len()].clamp(1, stream.len() - from);
        step += 1;
        events.push(&stream[from..from + size], |data| out.push(String::from_utf8_lossy(data).into()))?;
        from += size;
    }
    Ok(out)
}

const PLAIN: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n\
    : hello\n\nid: 4\ndata: {\"n\":4}\n\nid: 5\r\ndata: a\r\ndata:b\r\n\r\n: tick\n\ndata: half";

fn chunked() -> String {
    let (head, body) = PLAIN.split_once("\r\n\r\n").unwrap();
    let chunks: String = body
        .as_bytes()
        .chunks(7)
        .map(|c| format!("{:x}\r\n{}\r\n", c.len(), std::str::from_utf8(c).unwrap()))
        .collect();
    format!("{head}\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}")
}

#[test]
fn invalid_heads_chunks_and_long_events_are_errors() {
    assert_eq!(read(b"HTTP/1.1 404 No\r\n\r\n", &[9]), Err(StreamError::Head));
    assert_eq!(read(&[b'x'; 9000], &[100]), Err(StreamError::Head));
    let endless = format!("HTTP/1.1 200 OK\r\nX-Free: {}", "x".repeat(MAX_HEAD));
    assert_eq!(read(endless.as_bytes(), &[100]), Err(StreamError::Head));
    let bad = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n";
    assert_eq!(read(bad.as_bytes(), &[3]), Err(StreamError::Chunk));
    let long = format!("HTTP/1.1 200 OK\r\n\r\ndata: {}", "x".repeat(MAX_EVENT + 1));
    assert_eq!(read(long.as_bytes(), &[65_536]), Err(StreamError::TooLong));
}

/// Guards against a feed that is dropped on each connection because of header fields that its page leaves free.
#[test]
fn a_head_is_limited_by_its_size_alone() {
    let fields: String = (0..400).map(|n| format!("X-Free-{n}: {n}\r\n")).collect();
    let long = format!("X-Long: {}\r\n", "x".repeat(7_000));
    let stream = format!("HTTP/1.1 200 OK\r\n{fields}{long}\r\ndata: a\n\n");
    assert!(stream.len() < MAX_HEAD);
    assert_eq!(read(stream.as_bytes(), &[4096]), Ok(vec!["a".to_string()]));
    assert_eq!(read(stream.as_bytes(), &[1]), Ok(vec!["a".to_string()]));
}

proptest! {
    // The same cases in every run.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_split_and_either_body_give_the_same_events(steps in proptest::collection::vec(1usize..40, 1..20)) {
        let wanted = Ok(vec!["{\"n\":4}".to_string(), "a\nb".to_string()]);
        prop_assert_eq!(&read(PLAIN.as_bytes(), &steps), &wanted);
        prop_assert_eq!(&read(chunked().as_bytes(), &steps), &wanted);
    }

    #[test]
    fn noise_never_panics(noise in proptest::collection::vec(any::<u8>(), 0..2000), step in 1usize..50) {
        let _ = read(&noise, &[step]);
        let stream = [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", &noise[..]].concat();
        let _ = read(&stream, &[step]);
    }
}
