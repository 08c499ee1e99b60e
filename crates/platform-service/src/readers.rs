//! Coroutines that accept, dial and read.

use crate::owner::OwnerEvent;
use crate::places::Places;
use may::net::{TcpListener, TcpStream};
use shalespindle_platform::{ConnectionId, Loss};
use shalespindle_sockets::{read_all, split, start, Handle, Mailbox, MonotonicClock, SMALL_STACK};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes read at once: most messages are far shorter, and every connection has such a buffer.
const READ: usize = 4 * 1024;
/// Wait where a connection cannot be accepted: callers hold all that they may, or the system has none left.
const NO_PLACE: Duration = Duration::from_millis(5);

pub(crate) fn accept(
    listener: TcpListener,
    mailbox: Mailbox<OwnerEvent>,
    ground: MonotonicClock,
    places: Places,
) -> io::Result<Handle> {
    start(SMALL_STACK, move || {
        let mut last: ConnectionId = 0;
        loop {
            if places.are_full() {
                may::coroutine::sleep(NO_PLACE);
                continue;
            }
            let Ok((stream, _)) = listener.accept() else {
                may::coroutine::sleep(NO_PLACE);
                continue;
            };
            let place = places.take();
            last += 2;
            // A socket that has ended already says so to its reader.
            let _ = stream.set_nodelay(true);
            let connection = last;
            let (mailbox_of, ground) = (mailbox.clone(), ground.clone());
            let (mut reading, writing) = split(stream);
            if mailbox.send(OwnerEvent::Accepted { connection, writing }).is_err() {
                return;
            }
            let started = start(SMALL_STACK, move || {
                read(&mut reading, connection, &mailbox_of, &ground);
                drop(reading);
                drop(place);
                let _ = mailbox_of.send(OwnerEvent::Lost { connection, loss: Loss::Broken });
            });
            if started.is_err() {
                let _ = mailbox.send(OwnerEvent::Lost { connection, loss: Loss::Broken });
            }
        }
    })
}

fn read(
    reading: &mut shalespindle_sockets::ReadHalf,
    connection: ConnectionId,
    mailbox: &Mailbox<OwnerEvent>,
    ground: &MonotonicClock,
) {
    read_all(reading, READ, |bytes| {
        mailbox.send(OwnerEvent::Bytes { arrived: ground.earliest_arrival(), connection, bytes }).is_ok()
    });
}

/// Dials and then reads.
pub(crate) fn dial(
    connection: ConnectionId,
    to: SocketAddr,
    within: Duration,
    mailbox: &Mailbox<OwnerEvent>,
    ground: &MonotonicClock,
) {
    let (own, ground) = (mailbox.clone(), ground.clone());
    let started = start(SMALL_STACK, move || {
        let loss = match TcpStream::connect_timeout(&to, within) {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                let (mut reading, writing) = split(stream);
                if own.send(OwnerEvent::Connected { connection, writing }).is_err() {
                    return;
                }
                read(&mut reading, connection, &own, &ground);
                Loss::Broken
            }
            Err(why) if why.kind() == io::ErrorKind::ConnectionRefused => Loss::Refused,
            Err(_) => Loss::Broken,
        };
        let _ = own.send(OwnerEvent::Lost { connection, loss });
    });
    if started.is_err() {
        let _ = mailbox.send_unbounded(OwnerEvent::Lost { connection, loss: Loss::Broken });
    }
}
