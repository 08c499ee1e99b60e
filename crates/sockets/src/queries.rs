//! Sockets for single queries over UDP or TCP: one socket for each query, so that each has its own port.

use crate::{end, start, Handle, READ_SIZE, SMALL_STACK};
use may::net::{TcpStream, UdpSocket};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of open queries.
const MAX_QUERIES: usize = 1024;

/// The open queries, by ticket; dropping it closes them all.
#[derive(Default)]
pub struct QuerySockets(HashMap<u64, Handle>);

/// What happened to a query. The ticket is the caller's number for the query.
#[derive(Debug)]
pub enum QueryEvent {
    /// A datagram came in on the query's socket, from any sender.
    Datagram { ticket: u64, from: SocketAddr, bytes: Vec<u8> },
    /// Bytes came in on the query's TCP connection, split at any point.
    Bytes { ticket: u64, bytes: Vec<u8> },
    /// The socket could not be opened, or has failed or ended.
    Failed { ticket: u64 },
}

impl QuerySockets {
    /// Sends a query on a new socket and passes what happens to `report` until the query is closed or
    /// `report` returns false. `report` is called from a coroutine; if none can be started, it is called
    /// before this returns.
    pub fn send(
        &mut self,
        ticket: u64,
        to: SocketAddr,
        tcp: bool,
        bytes: Vec<u8>,
        connect_timeout: Duration,
        report: impl Fn(QueryEvent) -> bool + Clone + Send + 'static,
    ) {
        let coroutine_report = report.clone();
        let started = if self.0.len() >= MAX_QUERIES {
            Err(io::ErrorKind::QuotaExceeded.into())
        } else {
            start(SMALL_STACK, move || {
                let result = if tcp {
                    query_tcp(ticket, to, &bytes, connect_timeout, &coroutine_report)
                } else {
                    query_udp(ticket, to, &bytes, &coroutine_report)
                };
                // The kind of error does not matter: the resolver retries, or asks another server.
                if result.is_err() {
                    coroutine_report(QueryEvent::Failed { ticket });
                }
            })
        };
        match started {
            Ok(handle) => {
                self.0.insert(ticket, handle);
            }
            Err(_) => {
                report(QueryEvent::Failed { ticket });
            }
        }
    }

    /// Closes the socket of a query; nothing more is reported of it.
    pub fn close(&mut self, ticket: u64) {
        if let Some(handle) = self.0.remove(&ticket) {
            end(handle);
        }
    }
}

impl Drop for QuerySockets {
    fn drop(&mut self) {
        for (_, handle) in self.0.drain() {
            end(handle);
        }
    }
}

fn query_udp(
    ticket: u64,
    to: SocketAddr,
    bytes: &[u8],
    report: &impl Fn(QueryEvent) -> bool,
) -> io::Result<()> {
    let unspecified: SocketAddr = match to {
        SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
        SocketAddr::V6(_) => ([0u16; 8], 0).into(),
    };
    let udp = UdpSocket::bind(unspecified)?;
    udp.send_to(bytes, to)?;
    let mut buffer = vec![0; READ_SIZE];
    loop {
        let (size, from) = udp.recv_from(&mut buffer)?;
        if !report(QueryEvent::Datagram { ticket, from, bytes: buffer[..size].to_vec() }) {
            return Ok(());
        }
    }
}

fn query_tcp(
    ticket: u64,
    to: SocketAddr,
    bytes: &[u8],
    connect_timeout: Duration,
    report: &impl Fn(QueryEvent) -> bool,
) -> io::Result<()> {
    let mut tcp = TcpStream::connect_timeout(&to, connect_timeout)?;
    tcp.write_all(bytes)?;
    let mut buffer = vec![0; READ_SIZE];
    loop {
        let size = tcp.read(&mut buffer)?;
        if size == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if !report(QueryEvent::Bytes { ticket, bytes: buffer[..size].to_vec() }) {
            return Ok(());
        }
    }
}
