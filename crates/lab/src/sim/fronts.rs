//! The fronts' side of a scenario under virtual time: what reaches a front, and what comes of its polls.

use super::{name_server, FrontNews, Happening, Planted, World, DEAF_FROM};
use shalespindle_front::{Event, Input, LinkId, Output};
use shalespindle_membership::ServiceStatus;
use shalespindle_srv::ResolverInput;
use shalespindle_standin::trace::Seen;
use std::net::SocketAddr;

impl World<'_> {
    /// A stopped front reads what came meanwhile, all of it before it decides anything.
    pub(super) fn goes_on(&mut self, front: usize) {
        let Some(kept) = self.hosts[front].stopped.take() else { return };
        self.trace.add(self.now, Seen::FrontGoesOn { front });
        // A wake that fell due meanwhile was passed over: without this it would hide all later ones.
        self.hosts[front].wake = f64::INFINITY;
        for (arrived, what) in kept {
            self.tell_front(front, arrived, &what);
        }
        self.front_turn(front);
    }

    pub(super) fn tell_front(&mut self, front: usize, arrived: f64, what: &FrontNews) {
        let now = self.now;
        let Some(made) = &mut self.hosts[front].front else { return };
        let from = SocketAddr::from(([127, 2, 0, 1], 5060));
        let deaf;
        let input = match what {
            FrontNews::Datagram(bytes) => Input::Datagram { from, bytes },
            FrontNews::Connected(id) => Input::Connected { id: *id },
            FrontNews::Lost(id) => Input::LinkLost { id: *id },
            FrontNews::Bytes(id, bytes) => Input::LinkBytes { id: *id, bytes },
            FrontNews::Feed(bytes) if self.setup.planted == Some(Planted::DeafToDrains) => {
                deaf = String::from_utf8_lossy(bytes).replace("draining", "ready").replace("gone", "ready");
                Input::FeedBytes { bytes: deaf.as_bytes() }
            }
            FrontNews::Feed(bytes) => Input::FeedBytes { bytes },
            FrontNews::FeedUp => Input::FeedConnected,
            FrontNews::FeedLost => Input::FeedLost,
            FrontNews::Name { .. }
                if self.setup.planted == Some(Planted::DeafToDrains) && now > DEAF_FROM =>
            {
                return;
            }
            FrontNews::Name { ticket, tcp: true, bytes, .. } => {
                Input::Dns(ResolverInput::Stream { ticket: *ticket, bytes })
            }
            FrontNews::Name { ticket, place, bytes, .. } => {
                Input::Dns(ResolverInput::Datagram { ticket: *ticket, from: name_server(*place), bytes })
            }
        };
        made.take(now, arrived, input);
    }

    pub(super) fn front_turn(&mut self, front: usize) {
        let now = self.now;
        let delay = self.scenario.fleet.link_delay;
        let life = self.hosts[front].life;
        let Some(mut made) = self.hosts[front].front.take() else { return };
        made.turn(now);
        while let Some(output) = made.next_output(now) {
            match output {
                Output::Datagram { bytes, .. } => self.datagram_out(front, bytes),
                Output::Connect { id, to } => self.connect(front, life, id, to),
                Output::ToServer { id, bytes } => {
                    if let Some(&connection) = self.by_link.get(&(front, life, id)) {
                        let server = self.connections[&connection].3;
                        self.second_try(front, life, connection, &bytes);
                        self.events.set(now + delay, Happening::ToServer { server, connection, bytes });
                    }
                }
                Output::CloseLink { id, .. } => {
                    if let Some(&connection) = self.by_link.get(&(front, life, id)) {
                        self.drop_connection(connection, false);
                    }
                }
                Output::Event(Event::ServerChanged { change, .. }) => {
                    if let Some(&server) = self.by_address.get(&change.address) {
                        let there = change.status == ServiceStatus::In;
                        self.verdicts.push((now, front, server, there));
                    }
                }
                Output::Event(Event::LevelChanged { from, to, .. }) => {
                    self.levels.push((now, front, from, to))
                }
                Output::DnsQuery { ticket, to, tcp, bytes } => {
                    let place = usize::from(to.port() - name_server(0).port());
                    let question = if tcp { bytes[2..].to_vec() } else { bytes };
                    let ask = Happening::NameAsk { front, life, ticket, place, tcp, question };
                    self.events.set(now + delay, ask);
                }
                // What comes after is of a ticket that is no more.
                Output::DnsClose { .. } => {}
                Output::SitesObserved(seen) => {
                    if let Some(country) = &mut self.country {
                        country.observed(now, front, &seen);
                    }
                }
                Output::ServerListed(_) | Output::CallChanged { .. } | Output::FindCall { .. } => {}
                Output::ToCaller { .. } | Output::CloseCaller { .. } | Output::Event(_) => {}
            }
        }
        let wake = made.wake_at();
        let host = &mut self.hosts[front];
        host.front = Some(made);
        if wake < host.wake {
            host.wake = wake;
            self.events.set(wake, Happening::Front(front));
        }
    }

    /// A front's datagram to its callers, or what a planted fault makes of it.
    fn datagram_out(&mut self, front: usize, bytes: Vec<u8>) {
        let now = self.now;
        let refusal = bytes.starts_with(b"SIP/2.0 503");
        match self.setup.planted {
            Some(Planted::NoRefusal) if refusal => return,
            Some(Planted::SecondAnswer) if refusal => {
                let text = String::from_utf8_lossy(&bytes).replace("SIP/2.0 503", "SIP/2.0 480");
                self.events.set(now, Happening::ToCallers { front, bytes: text.into_bytes() });
            }
            _ => {}
        }
        self.events.set(now, Happening::ToCallers { front, bytes });
    }

    /// The planted fault of rule 2: the same set-up, under another name, to another server as well.
    fn second_try(&mut self, front: usize, life: u64, connection: u64, bytes: &[u8]) {
        if self.setup.planted != Some(Planted::TwoTries) || !bytes.starts_with(b"INVITE") {
            return;
        }
        let other =
            self.connections.iter().find(|(c, to)| **c != connection && to.0 == front && to.1 == life);
        if let Some((&connection, &(_, _, _, server))) = other {
            let text = String::from_utf8_lossy(bytes).replace("Call-ID: ", "Call-ID: x");
            let bytes = text.into_bytes();
            self.events.set(self.now, Happening::ToServer { server, connection, bytes });
        }
    }

    fn connect(&mut self, front: usize, life: u64, id: LinkId, to: SocketAddr) {
        let delay = self.scenario.fleet.link_delay;
        let server = self.by_address.get(&to).copied();
        let running = server.filter(|&s| self.servers[s].is_running());
        let Some(server) = running else {
            let what = FrontNews::Lost(id);
            return self.events.set(self.now + 2.0 * delay, Happening::ToFront { front, life, what });
        };
        self.next_connection += 1;
        let connection = self.next_connection;
        self.connections.insert(connection, (front, life, id, server));
        self.by_link.insert((front, life, id), connection);
        self.events.set(self.now + delay, Happening::ServerConnect { server, connection });
        let what = FrontNews::Connected(id);
        self.events.set(self.now + 2.0 * delay, Happening::ToFront { front, life, what });
    }
}
