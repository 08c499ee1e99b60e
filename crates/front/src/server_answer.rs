//! Maps a server's SIP answer to the decision module's reason for the end of a setup try. The same table,
//! with its reasons, is in docs/wire.md.

use shalespindle_control::interface::{EndReason, Report};
use shalespindle_signalling::Message;

/// Header with the waiting time of a processor's queue, milliseconds.
pub const WAIT_HEADER: &str = "Processor-Wait-Ms";
/// Header with the number of lines that are free now.
pub const FREE_LINES_HEADER: &str = "Free-Lines";
/// Header with the total number of lines.
pub const LINES_HEADER: &str = "Lines";
/// Q.850 cause 'no circuit/channel available'.
const NO_CIRCUIT: u16 = 34;

/// Returns the end reason of a setup try that got this final answer other than 2xx.
pub fn end_reason(status: u16, answer: &Message) -> EndReason {
    match status {
        // With cause 34, 480 and 503 mean that no line is free. Without it, 503 means that the processor is
        // overloaded and 480 is an ordinary rejection.
        480 | 503 if answer.q850_cause() == Some(NO_CIRCUIT) => EndReason::NoAgent,
        503 => EndReason::Throttled { wait: answer.retry_after() },
        // Ended by this front's CANCEL or by the server's own timer; what the server reserved may stay
        // occupied.
        487 | 408 => EndReason::Cancelled,
        _ => EndReason::Rejected,
    }
}

/// Reads the load that a server reports in any message.
pub fn load_report(message: &Message) -> Report {
    Report {
        free_agents: message.count(FREE_LINES_HEADER),
        agents: message.count(LINES_HEADER),
        wait: message.millis(WAIT_HEADER),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_status_maps_to_its_end_reason() {
        let rows = [
            (486, "", EndReason::Rejected),
            (480, "Reason: Q.850;cause=34\r\n", EndReason::NoAgent),
            (503, "Reason: Q.850;cause=34\r\nRetry-After: 1\r\n", EndReason::NoAgent),
            (480, "", EndReason::Rejected),
            (503, "Retry-After: 2\r\n", EndReason::Throttled { wait: Some(2.0) }),
            (503, "Retry-After: 2;ms=1300\r\n", EndReason::Throttled { wait: Some(1.3) }),
            (503, "", EndReason::Throttled { wait: None }),
            (487, "", EndReason::Cancelled),
            (408, "", EndReason::Cancelled),
            (500, "", EndReason::Rejected),
            (604, "", EndReason::Rejected),
        ];
        for (status, lines, expected) in rows {
            let text = format!("SIP/2.0 {status} x\r\n{lines}\r\n");
            assert_eq!(
                end_reason(status, &Message::parse(text.as_bytes()).unwrap()),
                expected,
                "{status} {lines}"
            );
        }
    }

    #[test]
    fn load_headers_are_read_and_invalid_values_ignored() {
        let read = |lines: &str| {
            let text = format!("SIP/2.0 200 OK\r\n{lines}\r\n");
            let report = load_report(&Message::parse(text.as_bytes()).unwrap());
            (report.free_agents, report.agents, report.wait)
        };
        assert_eq!(
            read("Processor-Wait-Ms: 12.5\r\nFree-Lines: 3\r\nLines: 40\r\n"),
            (Some(3.0), Some(40.0), Some(0.0125))
        );
        assert_eq!(read("Processor-Wait-Ms: NaN\r\nFree-Lines: -3\r\nLines: inf\r\n"), (None, None, None));
    }
}
