//! What sockets report of questions, as the resolver takes it.

use shalespindle_sockets::QueryEvent;
use shalespindle_srv::In;

/// The same report in the resolver's words.
pub fn resolver_input(report: &QueryEvent) -> In<'_> {
    match report {
        QueryEvent::Datagram { ticket, from, bytes } => In::Datagram { ticket: *ticket, from: *from, bytes },
        QueryEvent::Bytes { ticket, bytes } => In::Stream { ticket: *ticket, bytes },
        QueryEvent::Failed { ticket } => In::Lost { ticket: *ticket },
    }
}
