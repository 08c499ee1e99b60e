//! Separate loopback networks for fleets that run at the same time.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU8, Ordering};

/// Networks of one fleet: one for each kind of address in it.
const NETWORKS_PER_FLEET: u8 = 3;

/// Returns the first network of a new fleet; its other networks follow directly. Prevents two fleets of one
/// process from finding the same port free.
pub fn networks() -> u8 {
    static FLEETS: AtomicU8 = AtomicU8::new(0);
    const MAX_FLEETS: u8 = 60;
    10 + NETWORKS_PER_FLEET * (FLEETS.fetch_add(1, Ordering::Relaxed) % MAX_FLEETS)
}

/// Returns a port that is free for UDP and TCP, on a separate loopback address: no outgoing connection from
/// 127.0.0.1 can take the port before it is used. Two ports that are found free on one address in succession
/// are the same in one of 5,700 pairs, so that one owner with two uses needs two networks.
pub fn free_address(network: u8, number: usize) -> io::Result<SocketAddr> {
    let ip = [127, network, (number / 250) as u8, (number % 250) as u8 + 1];
    loop {
        let stream = TcpListener::bind(SocketAddr::from((ip, 0)))?;
        let address = stream.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}
