//! Sockets of questions to name servers: one for each try, so that each has a port of its own.

use crate::owner::Letter;
use may::net::{TcpStream, UdpSocket};
use shalespindle_sockets::{end, start, Handle, Mailbox, READ, SMALL_STACK};
use shalespindle_srv::Ticket;
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// Questions out at once; the resolver asks far fewer.
const MOST: usize = 1024;

/// The questions that are out.
#[derive(Default)]
pub(crate) struct Questions(HashMap<Ticket, Handle>);

impl Questions {
    /// Sends a question and reports what comes until it is closed.
    pub fn ask(
        &mut self,
        ticket: Ticket,
        to: SocketAddr,
        tcp: bool,
        bytes: Vec<u8>,
        within: Duration,
        mailbox: &Mailbox<Letter>,
    ) {
        let own = mailbox.clone();
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
                    let _ = own.send(Letter::NameLost { ticket });
                }
            })
        };
        match started {
            Ok(handle) => {
                self.0.insert(ticket, handle);
            }
            Err(_) => {
                let _ = mailbox.send_urgent(Letter::NameLost { ticket });
            }
        }
    }

    pub fn close(&mut self, ticket: Ticket) {
        if let Some(handle) = self.0.remove(&ticket) {
            end(handle);
        }
    }
}

impl Drop for Questions {
    fn drop(&mut self) {
        for (_, handle) in self.0.drain() {
            end(handle);
        }
    }
}

fn datagram(ticket: Ticket, to: SocketAddr, bytes: &[u8], mailbox: &Mailbox<Letter>) -> io::Result<()> {
    let any: SocketAddr = match to {
        SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
        SocketAddr::V6(_) => ([0u16; 8], 0).into(),
    };
    let udp = UdpSocket::bind(any)?;
    udp.send_to(bytes, to)?;
    let mut buffer = vec![0; READ];
    loop {
        let (size, from) = udp.recv_from(&mut buffer)?;
        let letter = Letter::NameDatagram { ticket, from, bytes: buffer[..size].to_vec() };
        if mailbox.send(letter).is_err() {
            return Ok(());
        }
    }
}

fn stream(
    ticket: Ticket,
    to: SocketAddr,
    bytes: &[u8],
    within: Duration,
    mailbox: &Mailbox<Letter>,
) -> io::Result<()> {
    let mut tcp = TcpStream::connect_timeout(&to, within)?;
    tcp.write_all(bytes)?;
    let mut buffer = vec![0; READ];
    loop {
        let size = tcp.read(&mut buffer)?;
        if size == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if mailbox.send(Letter::NameBytes { ticket, bytes: buffer[..size].to_vec() }).is_err() {
            return Ok(());
        }
    }
}
