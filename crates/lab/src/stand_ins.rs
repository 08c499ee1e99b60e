//! Simulated servers and a pool list on fixed addresses, for manual trials of a front.

use crate::scenario::Scenario;
use may::net::TcpListener;
use shalespindle_sockets::MonotonicClock;
use shalespindle_standin::feed::Feed;
use shalespindle_standin::net::{feed, Hosted, HostedServer};
use shalespindle_standin::server::Server;
use shalespindle_standin::trace::Trace;
use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Simulated servers and pool list, which run until this is dropped.
pub struct StandIns {
    addresses: Vec<SocketAddr>,
    feeds: Vec<SocketAddr>,
    _servers: Vec<HostedServer>,
    _feed: Hosted<Feed>,
}

impl StandIns {
    /// The first front's pool list is served at `at`, those of further fronts on the ports after it; the
    /// servers listen on the ports after those.
    pub fn start(scenario: &Scenario, at: SocketAddr) -> io::Result<StandIns> {
        let (clock, trace) = (MonotonicClock::new(), Trace::default());
        let fronts = scenario.fleet.fronts;
        let port = |offset: usize| {
            let port = usize::from(at.port()) + offset;
            u16::try_from(port).map(|port| SocketAddr::new(at.ip(), port)).map_err(io::Error::other)
        };
        let mut list = Feed::new(1, fronts, scenario.fleet.list_delay);
        let mut servers = Vec::new();
        let mut addresses = Vec::new();
        for s in 0..scenario.fleet.servers {
            let address = port(fronts + s)?;
            list.known(s, address, s as u16);
            let core =
                Server::new(s, address.to_string(), scenario.server(s), Arc::new(HashMap::new()), s as u64);
            servers.push(HostedServer::start(core, address, clock.clone(), trace.clone())?);
            addresses.push(address);
        }
        let feeds = (0..fronts).map(port).collect::<io::Result<Vec<_>>>()?;
        let listeners = feeds.iter().map(TcpListener::bind).collect::<io::Result<Vec<_>>>()?;
        let hosted = feed(list, listeners, clock, trace)?;
        Ok(StandIns { addresses, feeds, _servers: servers, _feed: hosted })
    }
}

impl fmt::Display for StandIns {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list = |all: &[SocketAddr]| all.iter().map(|a| a.to_string()).collect::<Vec<_>>().join(" ");
        write!(f, "pool list for fronts at {}\nservers at {}", list(&self.feeds), list(&self.addresses))
    }
}
