//! What sockets report of questions, as the resolver takes it.

use shalespindle_sockets::Report;
use shalespindle_srv::In;

/// The same report in the resolver's words.
pub fn as_in(report: &Report) -> In<'_> {
    match report {
        Report::Datagram { ticket, from, bytes } => In::Datagram { ticket: *ticket, from: *from, bytes },
        Report::Bytes { ticket, bytes } => In::Stream { ticket: *ticket, bytes },
        Report::Lost { ticket } => In::Lost { ticket: *ticket },
    }
}
