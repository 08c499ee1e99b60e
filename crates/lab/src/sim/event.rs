//! Events of the simulation and input of its fronts.

use crate::fleet_sites::Frame;
use shalespindle_front::LinkId;

/// A scheduled event of the simulation. `incarnation` of a front must still be the current one for the event
/// to count.
pub(super) enum SimEvent {
    ToFront {
        front: usize,
        incarnation: u64,
        what: FrontInput,
    },
    ToServer {
        server: usize,
        connection: u64,
        bytes: Vec<u8>,
    },
    ServerConnect {
        server: usize,
        connection: u64,
    },
    ServerLost {
        server: usize,
        connection: u64,
    },
    ToCallers {
        front: usize,
        bytes: Vec<u8>,
    },
    /// A timer of the front, of the server, of the front's callers, of the pool list.
    Front(usize),
    Server(usize),
    Callers(usize),
    Feed,
    /// A query arrives at the name server of that index.
    DnsQuery {
        front: usize,
        incarnation: u64,
        ticket: u64,
        index: usize,
        tcp: bool,
        question: Vec<u8>,
    },
    /// The action of that index is executed.
    Act(usize),
    /// A timer of the front's peer and site state.
    Fleet(usize),
    /// A frame of another front arrives.
    FleetFrame {
        front: usize,
        incarnation: u64,
        frame: Frame,
    },
}

/// Something that arrives at a front.
pub(super) enum FrontInput {
    Datagram(Vec<u8>),
    Connected(LinkId),
    Lost(LinkId),
    Bytes(LinkId, Vec<u8>),
    Feed(Vec<u8>),
    FeedUp,
    FeedLost,
    /// A reply of the name server of that index.
    DnsReply {
        ticket: u64,
        index: usize,
        tcp: bool,
        bytes: Vec<u8>,
    },
}
