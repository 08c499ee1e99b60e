//! Converts what happens to DNS queries into input of the resolver.

use shalespindle_sockets::QueryEvent;
use shalespindle_srv::ResolverInput;

/// Converts an event of a query's socket into input of the resolver.
pub fn resolver_input(event: &QueryEvent) -> ResolverInput<'_> {
    match event {
        QueryEvent::Datagram { ticket, from, bytes } => {
            ResolverInput::Datagram { ticket: *ticket, from: *from, bytes }
        }
        QueryEvent::Bytes { ticket, bytes } => ResolverInput::Stream { ticket: *ticket, bytes },
        QueryEvent::Failed { ticket } => ResolverInput::SocketLost { ticket: *ticket },
    }
}
