//! Three fronts as processes, one scripted server to which all are connected, and calls through them.

use crate::common::{in_dialog, reply, status, Caller, Server};
use shalespindle_rig::{Fleet, FleetShape, Row, State};
use shalespindle_signalling::Method;
use std::net::SocketAddr;
use std::time::Duration;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_shalespindle");

/// A fleet of three fronts with one server.
pub struct Cluster {
    pub fleet: Fleet,
    pub server: Server,
    /// Number of connections that the server has accepted from fronts.
    links: usize,
}

impl Cluster {
    /// Starts the fronts with additional lines for `[fleet]` and waits until they know each other.
    pub fn new(settings: &str) -> Cluster {
        Cluster::with_storage(settings, None)
    }

    /// Like `new`; with an interval, the fronts store their state on disk that often.
    pub fn with_storage(settings: &str, keep_every: Option<Duration>) -> Cluster {
        let mut shape = FleetShape::new(PROGRAM, 3, 1);
        (shape.more, shape.keep_every) = (settings.into(), keep_every);
        let mut cluster =
            Cluster { fleet: Fleet::new(&shape, None).unwrap(), server: Server::start(), links: 0 };
        for feed in &cluster.fleet.feeds {
            feed.set(cluster.server.address, Row { pool: 0, state: State::Ready, incarnation: 1 });
        }
        (0..3).for_each(|front| cluster.start(front));
        cluster.wait_until("all fronts alive", |fleet| {
            (0..3).all(|f| fleet.standing(f).unwrap().peers.iter().all(|p| p.state == "alive"))
        });
        cluster
    }

    /// Starts a front and waits for its connection to the server.
    pub fn start(&mut self, front: usize) {
        self.fleet.start(front).unwrap();
        self.links += 1;
        self.server.wait_for_connection();
    }

    pub fn wait_until(&self, what: &str, condition: impl Fn(&Fleet) -> bool) {
        crate::common::wait_until(what, || condition(&self.fleet));
    }

    /// The address on which a front takes callers.
    pub fn front(&self, n: usize) -> SocketAddr {
        self.fleet.listen(n)
    }

    /// Answers an INVITE that the caller has sent and completes the call, the `nth` of that front, then waits
    /// until the other running fronts have replicated it. Returns the caller's answer and the server's
    /// set-up.
    pub fn establish_call(&mut self, caller: &Caller, nth: usize, front: usize) -> (String, String) {
        let (connection, set_up) = self.server.expect(Method::Invite);
        let contact = format!("Contact: <sip:s@{}>\r\n", self.server.address);
        self.server.send(connection, &reply(&set_up, 200, &contact));
        let ok = caller.next_except("");
        assert_eq!(status(&ok), 200);
        self.server.expect(Method::Ack);
        caller.send(&in_dialog(&ok, "ACK"));
        self.wait_until("the call replicated to all", |fleet| {
            (0..3).filter(|f| *f != front && fleet.is_up(*f)).all(|f| {
                let peers = fleet.standing(f).unwrap().peers;
                // Its calls and the one server on its list.
                peers.iter().any(|p| p.name == format!("f{front}") && p.facts == 1 + nth)
            })
        });
        (ok, set_up)
    }
}

pub fn call_id(message: &str) -> &str {
    message.lines().find_map(|l| l.strip_prefix("Call-ID: ")).unwrap().trim()
}

/// Sends the caller's BYE to the front at `to` and returns the answer.
pub fn send_bye_to(caller: &Caller, to: SocketAddr, ok: &str) -> String {
    caller.socket.send_to(in_dialog(ok, "BYE").as_bytes(), to).unwrap();
    caller.next_except(ok)
}
