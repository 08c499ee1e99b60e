//! Coroutines that accept, dial and read.

use crate::owner::OwnerEvent;
use crate::slots::ConnectionSlots;
use crate::turns::Turns;
use may::net::{TcpListener, TcpStream};
use shalespindle_platform::{ConnectionId, Loss};
use shalespindle_sockets::{read_all, split, start, Handle, Mailbox, MonotonicClock, SMALL_STACK};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Buffer size of one read; most messages are far shorter, and every connection has such a buffer.
const READ_SIZE: usize = 4 * 1024;
/// Pause if a connection cannot be accepted because clients hold the limit or the system has no descriptor
/// left.
const ACCEPT_RETRY: Duration = Duration::from_millis(5);

pub(crate) fn accept(
    listener: TcpListener,
    mailbox: Mailbox<OwnerEvent>,
    clock: MonotonicClock,
    slots: ConnectionSlots,
) -> io::Result<Handle> {
    start(SMALL_STACK, move || {
        let mut last: ConnectionId = 0;
        loop {
            if slots.are_full() {
                may::coroutine::sleep(ACCEPT_RETRY);
                continue;
            }
            let Ok((stream, _)) = listener.accept() else {
                may::coroutine::sleep(ACCEPT_RETRY);
                continue;
            };
            let slot = slots.take();
            last += 2;
            // An error here means that the socket has ended, which its reader reports.
            let _ = stream.set_nodelay(true);
            let connection = last;
            let (reader_mailbox, clock) = (mailbox.clone(), clock.clone());
            let (mut reader, writer) = split(stream);
            if mailbox.send(OwnerEvent::Accepted { connection, writer }).is_err() {
                return;
            }
            let started = start(SMALL_STACK, move || {
                read(&mut reader, connection, &reader_mailbox, &clock);
                drop(reader);
                drop(slot);
                let _ = reader_mailbox.send(OwnerEvent::Lost { connection, loss: Loss::Broken });
            });
            if started.is_err() {
                let _ = mailbox.send(OwnerEvent::Lost { connection, loss: Loss::Broken });
            }
        }
    })
}

fn read(
    reader: &mut shalespindle_sockets::ReadHalf,
    connection: ConnectionId,
    mailbox: &Mailbox<OwnerEvent>,
    clock: &MonotonicClock,
) {
    let turns = Turns::new();
    read_all(reader, READ_SIZE, |bytes| {
        let (arrived, turn) = (clock.earliest_arrival(), turns.begin());
        let is_sent = mailbox.send(OwnerEvent::Bytes { arrived, connection, bytes, turn }).is_ok();
        if is_sent {
            turns.wait_until_handled();
        }
        is_sent
    });
}

/// Dials a peer and reads from the connection.
pub(crate) fn dial(
    connection: ConnectionId,
    to: SocketAddr,
    timeout: Duration,
    mailbox: &Mailbox<OwnerEvent>,
    clock: &MonotonicClock,
) {
    let (dial_mailbox, clock) = (mailbox.clone(), clock.clone());
    let started = start(SMALL_STACK, move || {
        let loss = match TcpStream::connect_timeout(&to, timeout) {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                let (mut reader, writer) = split(stream);
                if dial_mailbox.send(OwnerEvent::Connected { connection, writer }).is_err() {
                    return;
                }
                read(&mut reader, connection, &dial_mailbox, &clock);
                Loss::Broken
            }
            Err(why) if why.kind() == io::ErrorKind::ConnectionRefused => Loss::Refused,
            Err(_) => Loss::Broken,
        };
        let _ = dial_mailbox.send(OwnerEvent::Lost { connection, loss });
    });
    if started.is_err() {
        let _ = mailbox.send_unbounded(OwnerEvent::Lost { connection, loss: Loss::Broken });
    }
}
