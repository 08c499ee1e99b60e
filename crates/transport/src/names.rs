//! Converts what happens to DNS queries into input of the resolver.

use shalespindle_sockets::QueryEvent;
use shalespindle_srv::In;

/// Converts an event of a query's socket into input of the resolver.
pub fn resolver_input(event: &QueryEvent) -> In<'_> {
    match event {
        QueryEvent::Datagram { ticket, from, bytes } => In::Datagram { ticket: *ticket, from: *from, bytes },
        QueryEvent::Bytes { ticket, bytes } => In::Stream { ticket: *ticket, bytes },
        QueryEvent::Failed { ticket } => In::Lost { ticket: *ticket },
    }
}
