//! The fronts' side of a simulation: delivers input to a front and executes its output.

use super::{name_server, FrontInput, Planted, SimEvent, Simulation, IGNORES_DNS_FROM};
use shalespindle_front::{Event, Input, LinkId, Output};
use shalespindle_membership::ServiceStatus;
use shalespindle_srv::ResolverInput;
use shalespindle_standin::trace::Seen;
use std::net::SocketAddr;

impl Simulation<'_> {
    /// Resumes a paused front. It reads all that arrived meanwhile before it decides anything.
    pub(super) fn resume_front(&mut self, front: usize) {
        let Some(queue) = self.hosts[front].paused.take() else { return };
        self.trace.add(self.now, Seen::FrontGoesOn { front });
        // A wake-up whose time passed during the pause was skipped; left in place it would suppress all later
        // ones.
        self.hosts[front].wake = f64::INFINITY;
        for (arrived, what) in queue {
            self.deliver(front, arrived, &what);
        }
        self.run_front(front);
    }

    /// Passes to a front what arrived for it at `arrived`.
    pub(super) fn deliver(&mut self, front: usize, arrived: f64, what: &FrontInput) {
        let now = self.now;
        let Some(running) = &mut self.hosts[front].front else { return };
        let from = SocketAddr::from(([127, 2, 0, 1], 5060));
        let altered;
        let input = match what {
            FrontInput::Datagram(bytes) => Input::Datagram { from, bytes },
            FrontInput::Connected(id) => Input::Connected { id: *id },
            FrontInput::Lost(id) => Input::LinkLost { id: *id },
            FrontInput::Bytes(id, bytes) => Input::LinkBytes { id: *id, bytes },
            FrontInput::Feed(bytes) if self.setup.planted == Some(Planted::IgnoresDrains) => {
                altered =
                    String::from_utf8_lossy(bytes).replace("draining", "ready").replace("gone", "ready");
                Input::FeedBytes { bytes: altered.as_bytes() }
            }
            FrontInput::Feed(bytes) => Input::FeedBytes { bytes },
            FrontInput::FeedUp => Input::FeedConnected,
            FrontInput::FeedLost => Input::FeedLost,
            FrontInput::DnsReply { .. }
                if self.setup.planted == Some(Planted::IgnoresDrains) && now > IGNORES_DNS_FROM =>
            {
                return;
            }
            FrontInput::DnsReply { ticket, tcp: true, bytes, .. } => {
                Input::Dns(ResolverInput::Stream { ticket: *ticket, bytes })
            }
            FrontInput::DnsReply { ticket, index, bytes, .. } => {
                Input::Dns(ResolverInput::Datagram { ticket: *ticket, from: name_server(*index), bytes })
            }
        };
        running.take(now, arrived, input);
    }

    /// Lets a front do its due work, executes its output and schedules its next turn.
    pub(super) fn run_front(&mut self, front: usize) {
        let now = self.now;
        let delay = self.scenario.fleet.link_delay;
        let incarnation = self.hosts[front].incarnation;
        let Some(mut running) = self.hosts[front].front.take() else { return };
        running.turn(now);
        while let Some(output) = running.next_output(now) {
            match output {
                Output::Datagram { bytes, .. } => self.send_datagram(front, bytes),
                Output::Connect { id, to } => self.connect(front, incarnation, id, to),
                Output::ToServer { id, bytes } => {
                    if let Some(&connection) = self.by_link.get(&(front, incarnation, id)) {
                        let server = self.connections[&connection].3;
                        self.send_second_try(front, incarnation, connection, &bytes);
                        self.events.set(now + delay, SimEvent::ToServer { server, connection, bytes });
                    }
                }
                Output::CloseLink { id, .. } => {
                    if let Some(&connection) = self.by_link.get(&(front, incarnation, id)) {
                        self.drop_connection(connection, false);
                    }
                }
                Output::Event(Event::ServerChanged { change, .. }) => {
                    if let Some(&server) = self.by_address.get(&change.address) {
                        let in_service = change.status == ServiceStatus::In;
                        self.status_changes.push((now, front, server, in_service));
                    }
                }
                Output::Event(Event::LevelChanged { from, to, .. }) => {
                    self.levels.push((now, front, from, to))
                }
                Output::DnsQuery { ticket, to, tcp, bytes } => {
                    let index = usize::from(to.port() - name_server(0).port());
                    let question = if tcp { bytes[2..].to_vec() } else { bytes };
                    let query = SimEvent::DnsQuery { front, incarnation, ticket, index, tcp, question };
                    self.events.set(now + delay, query);
                }
                // The front ignores replies with a ticket that it has closed.
                Output::DnsClose { .. } => {}
                Output::SitesObserved(sample) => {
                    if let Some(fleet_sites) = &mut self.fleet_sites {
                        fleet_sites.record_sample(now, front, &sample);
                    }
                }
                Output::ServerListed(_) | Output::CallChanged { .. } | Output::FindCall { .. } => {}
                Output::ToCaller { .. } | Output::CloseCaller { .. } | Output::Event(_) => {}
            }
        }
        let wake = running.wake_at();
        let host = &mut self.hosts[front];
        host.front = Some(running);
        if wake < host.wake {
            host.wake = wake;
            self.events.set(wake, SimEvent::Front(front));
        }
    }

    /// Delivers a front's datagram to its callers, altered or dropped where a planted fault says so.
    fn send_datagram(&mut self, front: usize, bytes: Vec<u8>) {
        let now = self.now;
        let refusal = bytes.starts_with(b"SIP/2.0 503");
        match self.setup.planted {
            Some(Planted::NoRefusal) if refusal => return,
            Some(Planted::SecondAnswer) if refusal => {
                let text = String::from_utf8_lossy(&bytes).replace("SIP/2.0 503", "SIP/2.0 480");
                self.events.set(now, SimEvent::ToCallers { front, bytes: text.into_bytes() });
            }
            _ => {}
        }
        self.events.set(now, SimEvent::ToCallers { front, bytes });
    }

    /// The planted fault of rule 2: sends the same INVITE, under another Call-ID, to a second server as well.
    fn send_second_try(&mut self, front: usize, incarnation: u64, connection: u64, bytes: &[u8]) {
        if self.setup.planted != Some(Planted::TwoTries) || !bytes.starts_with(b"INVITE") {
            return;
        }
        let other =
            self.connections.iter().find(|(c, to)| **c != connection && to.0 == front && to.1 == incarnation);
        if let Some((&connection, &(_, _, _, server))) = other {
            let text = String::from_utf8_lossy(bytes).replace("Call-ID: ", "Call-ID: x");
            let bytes = text.into_bytes();
            self.events.set(self.now, SimEvent::ToServer { server, connection, bytes });
        }
    }

    /// Opens a connection to a server; it is reported lost if no running server has that address.
    fn connect(&mut self, front: usize, incarnation: u64, id: LinkId, to: SocketAddr) {
        let delay = self.scenario.fleet.link_delay;
        let server = self.by_address.get(&to).copied();
        let running = server.filter(|&s| self.servers[s].is_running());
        let Some(server) = running else {
            let what = FrontInput::Lost(id);
            return self.events.set(self.now + 2.0 * delay, SimEvent::ToFront { front, incarnation, what });
        };
        self.next_connection += 1;
        let connection = self.next_connection;
        self.connections.insert(connection, (front, incarnation, id, server));
        self.by_link.insert((front, incarnation, id), connection);
        self.events.set(self.now + delay, SimEvent::ServerConnect { server, connection });
        let what = FrontInput::Connected(id);
        self.events.set(self.now + 2.0 * delay, SimEvent::ToFront { front, incarnation, what });
    }
}
