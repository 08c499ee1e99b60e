//! What sockets report of questions, as the resolver takes it.

use shalespindle_sockets::QueryEvent;
use shalespindle_srv::ResolverInput;

/// The same report in the resolver's words.
pub fn resolver_input(report: &QueryEvent) -> ResolverInput<'_> {
    match report {
        QueryEvent::Datagram { ticket, from, bytes } => {
            ResolverInput::Datagram { ticket: *ticket, from: *from, bytes }
        }
        QueryEvent::Bytes { ticket, bytes } => ResolverInput::Stream { ticket: *ticket, bytes },
        QueryEvent::Failed { ticket } => ResolverInput::SocketLost { ticket: *ticket },
    }
}
