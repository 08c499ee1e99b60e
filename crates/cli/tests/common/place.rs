//! Fronts as processes, one server that all are connected to, and a caller's calls at them.

use crate::common::{reply, status, within, Caller, Server};
use shalespindle_rig::{Fleet, FleetShape, Row, State};
use shalespindle_signalling::Method;
use std::net::SocketAddr;
use std::time::Duration;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_shalespindle");

pub struct Place {
    pub fleet: Fleet,
    pub server: Server,
    /// Connections that the server has from fronts so far.
    links: usize,
}

impl Place {
    /// Three fronts and one server that all are connected to.
    pub fn new(more: &str) -> Place {
        Place::shaped(more, None)
    }

    /// The same with lines for `[fleet]`, and keeping what they know on disk so often.
    pub fn shaped(more: &str, keep_every: Option<Duration>) -> Place {
        let mut shape = FleetShape::new(PROGRAM, 3, 1);
        (shape.more, shape.keep_every) = (more.into(), keep_every);
        let mut place = Place { fleet: Fleet::new(&shape, None).unwrap(), server: Server::start(), links: 0 };
        for feed in &place.fleet.feeds {
            feed.set(place.server.address, Row { pool: 0, state: State::Ready, incarnation: 1 });
        }
        (0..3).for_each(|front| place.start(front));
        place.until("all fronts hear each other", |fleet| {
            (0..3).all(|f| fleet.standing(f).unwrap().peers.iter().all(|p| p.state == "alive"))
        });
        place
    }

    pub fn start(&mut self, front: usize) {
        self.fleet.start(front).unwrap();
        self.links += 1;
        self.server.connected();
    }

    pub fn until(&self, what: &str, holds: impl Fn(&Fleet) -> bool) {
        crate::common::until(what, || holds(&self.fleet));
    }

    pub fn front(&self, n: usize) -> SocketAddr {
        self.fleet.listen(n)
    }

    /// A call that stands at a front: the caller's answer and the server's set-up.
    pub fn stands(&mut self, caller: &Caller, nth: usize, front: usize) -> (String, String) {
        let (at, set_up) = self.server.expect(Method::Invite);
        let more = format!("Contact: <sip:s@{}>\r\n", self.server.address);
        self.server.send(at, &reply(&set_up, 200, &more));
        let ok = caller.next_but("");
        assert_eq!(status(&ok), 200);
        self.server.expect(Method::Ack);
        caller.send(&within(&ok, "ACK"));
        self.until("the call is known to all", |fleet| {
            (0..3).filter(|f| *f != front && fleet.is_up(*f)).all(|f| {
                let peers = fleet.standing(f).unwrap().peers;
                // Beside the server on its list.
                peers.iter().any(|p| p.name == format!("f{front}") && p.facts == 1 + nth)
            })
        });
        (ok, set_up)
    }
}

pub fn call_id(message: &str) -> &str {
    message.lines().find_map(|l| l.strip_prefix("Call-ID: ")).unwrap().trim()
}

/// The caller's BYE goes to another front.
pub fn bye_elsewhere(caller: &Caller, to: SocketAddr, ok: &str) -> String {
    caller.socket.send_to(within(ok, "BYE").as_bytes(), to).unwrap();
    caller.next_but(ok)
}
