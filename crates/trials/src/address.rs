//! Loopback addresses of a trial. Each front reaches servers and discovery at a host of its own, so that they
//! can tell the fronts apart by the listener that accepted the connection.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Placeholder in an event for the host at which its recipient reaches the servers.
const HOST_PLACEHOLDER: &str = "{host}";
/// Ports that are tried until one is free on all hosts.
const MAX_PORT_ATTEMPTS: usize = 20;

/// The hosts of one trial, indexed by front.
#[derive(Clone, Debug)]
pub struct Hosts {
    /// Host on which a front listens.
    pub fronts: Vec<Ipv4Addr>,
    /// Host at which a front reaches servers and discovery.
    pub services: Vec<Ipv4Addr>,
}

impl Hosts {
    /// Returns hosts derived from the process id and the seed, so that trials that run at the same time do
    /// not collide.
    pub fn for_trial(seed: u64, fronts: usize) -> Hosts {
        let [.., high, low] = std::process::id().to_be_bytes();
        let network = 100 + high % 50 + (seed % 100) as u8;
        let host = |last: usize| Ipv4Addr::new(127, network, low, last as u8);
        Hosts {
            fronts: (0..fronts).map(|front| host(1 + front)).collect(),
            services: (0..fronts).map(|front| host(101 + front)).collect(),
        }
    }

    /// Opens one listener per front, all on the same port: the given one, or any free one.
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

    /// Address at which a front reaches the service that listens on that port.
    pub fn service_address(&self, front: usize, port: u16) -> SocketAddr {
        SocketAddr::from((self.services[front], port))
    }

    /// Fills in the host placeholder of an event for one front.
    pub fn event_for(&self, front: usize, event: &str) -> String {
        event.replace(HOST_PLACEHOLDER, &self.services[front].to_string())
    }
}

/// A server's address in an event, with the host left as a placeholder.
pub fn placeholder_address(port: u16) -> String {
    format!("{HOST_PLACEHOLDER}:{port}")
}
