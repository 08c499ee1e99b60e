//! Addresses on loopback: each front reaches the services of its trial at a host that is its own, so that servers and
//! discovery know who is there.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Stands in an event for the host at which its reader reaches the servers.
const HOST_PLACEHOLDER: &str = "{host}";
/// Ports result until one is free on all hosts.
const MAX_PORT_ATTEMPTS: usize = 20;

/// The hosts of one trial, by front.
#[derive(Clone, Debug)]
pub struct Hosts {
    /// Where services reach a front.
    pub fronts: Vec<Ipv4Addr>,
    /// Where a front reaches services.
    pub services: Vec<Ipv4Addr>,
}

impl Hosts {
    /// Hosts that no other trial of this or another process uses.
    pub fn for_trial(seed: u64, fronts: usize) -> Hosts {
        let [.., high, low] = std::process::id().to_be_bytes();
        let network = 100 + high % 50 + (seed % 100) as u8;
        let host = |last: usize| Ipv4Addr::new(127, network, low, last as u8);
        Hosts {
            fronts: (0..fronts).map(|front| host(1 + front)).collect(),
            services: (0..fronts).map(|front| host(101 + front)).collect(),
        }
    }

    /// A listener for each front, all on one port: that one, or any that is free.
    pub fn listen(&self, port: Option<u16>) -> io::Result<Vec<TcpListener>> {
        let mut result = self.listen_once(port);
        for _ in 0..MAX_PORT_ATTEMPTS {
            if result.is_ok() || port.is_some() {
                break;
            }
            result = self.listen_once(None);
        }
        result
    }

    fn listen_once(&self, port: Option<u16>) -> io::Result<Vec<TcpListener>> {
        let mut listeners: Vec<TcpListener> = Vec::new();
        let mut port = port.unwrap_or(0);
        for host in &self.services {
            let listener = TcpListener::bind((*host, port))?;
            port = listener.local_addr()?.port();
            listeners.push(listener);
        }
        Ok(listeners)
    }

    /// Where a front reaches what listens on that port.
    pub fn service_address(&self, front: usize, port: u16) -> SocketAddr {
        SocketAddr::from((self.services[front], port))
    }

    /// An event as one front is told it.
    pub fn event_for(&self, front: usize, event: &str) -> String {
        event.replace(HOST_PLACEHOLDER, &self.services[front].to_string())
    }
}

/// A server's address in an event.
pub fn placeholder_address(port: u16) -> String {
    format!("{HOST_PLACEHOLDER}:{port}")
}
