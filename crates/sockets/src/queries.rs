//! Sockets of single questions, over UDP or TCP: one for each, so that each has a port of its own.

use crate::{end, start, Handle, READ_SIZE, SMALL_STACK};
use may::net::{TcpStream, UdpSocket};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// QuerySockets out at once.
const MOST: usize = 1024;

/// The questions that are out.
#[derive(Default)]
pub struct QuerySockets(HashMap<u64, Handle>);

/// What became of a question.
#[derive(Debug)]
pub enum QueryEvent {
    Datagram {
        ticket: u64,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Bytes of a stream, in any parts.
    Bytes {
        ticket: u64,
        bytes: Vec<u8>,
    },
    /// Its socket could not be opened or has ended.
    Failed {
        ticket: u64,
    },
}

impl QuerySockets {
    /// Sends a question and reports what comes until it is closed; `report` is called from a coroutine, or
    /// at once, and says whether it wants more.
    pub fn send(
        &mut self,
        ticket: u64,
        to: SocketAddr,
        tcp: bool,
        bytes: Vec<u8>,
        within: Duration,
        report: impl Fn(QueryEvent) -> bool + Clone + Send + 'static,
    ) {
        let own = report.clone();
        let started = if self.0.len() >= MOST {
            Err(io::ErrorKind::QuotaExceeded.into())
        } else {
            start(SMALL_STACK, move || {
                let asked = if tcp {
                    stream(ticket, to, &bytes, within, &own)
                } else {
                    datagram(ticket, to, &bytes, &own)
                };
                // Whatever the error, the resolver asks again or elsewhere.
                if asked.is_err() {
                    own(QueryEvent::Failed { ticket });
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

fn datagram(
    ticket: u64,
    to: SocketAddr,
    bytes: &[u8],
    report: &impl Fn(QueryEvent) -> bool,
) -> io::Result<()> {
    let any: SocketAddr = match to {
        SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
        SocketAddr::V6(_) => ([0u16; 8], 0).into(),
    };
    let udp = UdpSocket::bind(any)?;
    udp.send_to(bytes, to)?;
    let mut buffer = vec![0; READ_SIZE];
    loop {
        let (size, from) = udp.recv_from(&mut buffer)?;
        if !report(QueryEvent::Datagram { ticket, from, bytes: buffer[..size].to_vec() }) {
            return Ok(());
        }
    }
}

fn stream(
    ticket: u64,
    to: SocketAddr,
    bytes: &[u8],
    within: Duration,
    report: &impl Fn(QueryEvent) -> bool,
) -> io::Result<()> {
    let mut tcp = TcpStream::connect_timeout(&to, within)?;
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
