//! What sockets report of questions, as the resolver takes it.

use shalespindle_sockets::Report;
use shalespindle_srv::ResolverInput;

/// The same report in the resolver's words.
pub fn as_in(report: &Report) -> ResolverInput<'_> {
    match report {
        Report::Datagram { ticket, from, bytes } => {
            ResolverInput::Datagram { ticket: *ticket, from: *from, bytes }
        }
        Report::Bytes { ticket, bytes } => ResolverInput::Stream { ticket: *ticket, bytes },
        Report::Lost { ticket } => ResolverInput::SocketLost { ticket: *ticket },
    }
}
