//! Tests of the JSON lines exchanged with signalling servers.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn read_all(stream: &[u8], steps: &[usize]) -> Result<Vec<Vec<u8>>, TooLong> {
    let (mut framer, mut out, mut start, mut step) = (LineFramer::default(), Vec::new(), 0, 0);
    while start < stream.len() {
        let size = steps[step % steps.len()].clamp(1, stream.len() - start);
        step += 1;
        framer.push(&stream[start..start + size]);
        while let Some(line) = framer.next_line()? {
            out.push(line.to_vec());
        }
        assert!(framer.bytes.len() <= MAX_MESSAGE_BYTES + size + 1, "holds a line and a read at most");
        start += size;
    }
    Ok(out)
}

const ID: &str = "9b1f03aa5c7e2d41";

#[test]
fn lines_without_required_fields_are_rejected() {
    let refusal = format!(
        r#"{{"type":"release","id":"{ID}","fields":{{"note":"throttled","load":"x0:12;x1:40;latency_ms:3.5;queue:-1"}},"cause":34}}"#
    );
    let line = read(refusal.as_bytes()).unwrap();
    assert_eq!((line.id, line.end_reason()), (call_id(ID), EndReason::Throttled { wait: None }));
    let layout = ReportLayout {
        free_agents_index: Some(0),
        agents_index: Some(1),
        wait_index: Some(2),
        throttled_includes_wait: false,
    };
    let report = line.report(&layout);
    assert_eq!((report.free_agents, report.agents, report.wait), (Some(12.0), Some(40.0), Some(0.0035)));
    assert_eq!(line.report(&ReportLayout::default()).wait, None);
    for bad in [
        "",
        "noise",
        r#"{"type":"release","id":"9b1f03aa5c7e2d41","fields":{}}"#,
        r#"{"type":"release","id":"9B1F03AA5C7E2D41","fields":{},"cause":34}"#,
        r#"{"type":"answer","id":"9b1f03aa5c7e2d41","fields":{}}"#,
        r#"{"type":"answer","fields":{},"sdp":"x"}"#,
        r#"{"type":"pong","id":"9b1f03aa5c7e2d41","fields":{},"cause":-1}"#,
        r#"{"type":"answer","id":"9b1f03aa5c7e2d41","fields":{},"sdp":"x"} more"#,
    ] {
        assert_eq!(read(bad.as_bytes()), None, "{bad}");
    }
}

#[test]
fn a_written_set_up_is_one_line_of_valid_json() {
    let description = "a\r\n\"\u{e9}\\\t";
    let bytes = set_up(7, "voice", "7f3a", 1.2345, description);
    assert_eq!(bytes.iter().filter(|b| **b == b'\n').count(), 1);
    let value: Value = serde_json::from_slice(&bytes).unwrap();
    assert_eq!((value["sdp"].as_str(), value["fields"]["left"].as_str()), (Some(description), Some("1234")));
}

proptest! {
    // The same cases in every run.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_split_gives_the_same_lines(
        wanted in proptest::collection::vec("[a-z]{0,30}", 0..20),
        steps in proptest::collection::vec(1usize..40, 1..10),
    ) {
        let stream: String = wanted.iter().map(|l| format!("{l}\n")).collect();
        let wanted: Vec<Vec<u8>> = wanted.iter().map(|l| l.as_bytes().to_vec()).collect();
        prop_assert_eq!(read_all(stream.as_bytes(), &steps), Ok(wanted));
    }

    #[test]
    fn noise_never_panics_and_an_endless_line_is_an_error(
        noise in proptest::collection::vec(any::<u8>(), 0..3000), step in 1usize..700,
    ) {
        for line in read_all(&noise, &[step]).unwrap_or_default() {
            if let Some(line) = read(&line) {
                line.report(&ReportLayout::default());
            }
        }
        let endless = vec![b'x'; MAX_MESSAGE_BYTES + 700];
        prop_assert_eq!(read_all(&endless, &[step]), Err(TooLong));
    }

    #[test]
    fn changed_lines_never_panic(place in 0usize..80, byte in any::<u8>()) {
        let mut line = format!(r#"{{"type":"answer","id":"{ID}","fields":{{"load":"x0:1"}},"sdp":"a"}}"#).into_bytes();
        let place = place % line.len();
        line[place] = byte;
        let _ = read(&line);
    }
}
