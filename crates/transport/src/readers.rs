//! Coroutines that read datagrams, callers' and servers' connections and the feed, and send what arrives to
//! the owner.

use crate::owner::OwnerEvent;
use may::net::{TcpListener, TcpStream, UdpSocket};
use shalespindle_front::LinkId;
use shalespindle_sockets::{
    read_all, start, Handle, Mailbox, MonotonicClock, StreamWriter, LARGE_STACK, READ_SIZE, SMALL_STACK,
};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Reads datagrams until the owner has ended.
pub(crate) fn read_datagrams(
    udp: UdpSocket,
    mailbox: Mailbox<OwnerEvent>,
    clock: MonotonicClock,
) -> io::Result<Handle> {
    start(SMALL_STACK, move || {
        let mut buffer = vec![0; 65_536];
        loop {
            let Ok((size, from)) = udp.recv_from(&mut buffer) else { continue };
            let event = OwnerEvent::Datagram {
                arrived: clock.earliest_arrival(),
                from,
                bytes: buffer[..size].to_vec(),
            };
            if mailbox.send(event).is_err() {
                return;
            }
        }
    })
}

/// Accepts callers' connections until the owner has ended, and starts a reader for each.
pub(crate) fn accept_callers(
    listener: TcpListener,
    mailbox: Mailbox<OwnerEvent>,
    clock: MonotonicClock,
    max_connections: usize,
    open_connections: Arc<AtomicUsize>,
) -> io::Result<Handle> {
    start(LARGE_STACK, move || {
        let mut stream_number = 0;
        loop {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(_) => {
                    // Most likely there are no free descriptors: waits until some are closed.
                    may::coroutine::sleep(Duration::from_millis(20));
                    continue;
                }
            };
            if open_connections.load(Ordering::Relaxed) >= max_connections {
                // Limits the descriptors that a flood of connections can use; the caller may reconnect later.
                drop(stream);
                continue;
            }
            let Ok(writer) = StreamWriter::new(&stream) else { continue };
            stream_number += 1;
            if mailbox.send(OwnerEvent::CallerConnected { stream: stream_number, writer }).is_err() {
                return;
            }
            open_connections.fetch_add(1, Ordering::Relaxed);
            if read_caller(stream, stream_number, mailbox.clone(), clock.clone(), open_connections.clone())
                .is_err()
            {
                open_connections.fetch_sub(1, Ordering::Relaxed);
                let _ = mailbox.send(OwnerEvent::CallerClosed { stream: stream_number });
            }
        }
    })
}

/// Reads one caller's connection until it ends.
fn read_caller(
    mut tcp: TcpStream,
    stream: u64,
    mailbox: Mailbox<OwnerEvent>,
    clock: MonotonicClock,
    open_connections: Arc<AtomicUsize>,
) -> io::Result<Handle> {
    start(SMALL_STACK, move || {
        let deliver = |bytes| {
            let event = OwnerEvent::CallerBytes { arrived: clock.earliest_arrival(), stream, bytes };
            mailbox.send(event).is_ok()
        };
        read_all(&mut tcp, READ_SIZE, deliver);
        open_connections.fetch_sub(1, Ordering::Relaxed);
        let _ = mailbox.send(OwnerEvent::CallerClosed { stream });
    })
}

/// Connects to a server and reads the connection until it ends.
pub(crate) fn connect(
    id: LinkId,
    to: SocketAddr,
    connect_timeout: Duration,
    mailbox: Mailbox<OwnerEvent>,
    clock: MonotonicClock,
) {
    let failure_mailbox = mailbox.clone();
    let started = start(SMALL_STACK, move || {
        let connected = TcpStream::connect_timeout(&to, connect_timeout).and_then(|stream| {
            stream.set_nodelay(true)?;
            Ok((StreamWriter::new(&stream)?, stream))
        });
        if let Ok((writer, mut stream)) = connected {
            if mailbox.send(OwnerEvent::LinkConnected { id, writer }).is_err() {
                return;
            }
            read_all(&mut stream, READ_SIZE, |bytes| {
                let event = OwnerEvent::LinkBytes { arrived: clock.earliest_arrival(), id, bytes };
                mailbox.send(event).is_ok()
            });
        }
        let _ = mailbox.send(OwnerEvent::LinkLost { id });
    });
    if started.is_err() {
        let _ = failure_mailbox.send_unbounded(OwnerEvent::LinkLost { id });
    }
}

/// Reads the feed and reconnects when it is lost, with pauses that double from 1/16 of `max_pause` up to it.
pub(crate) fn follow_feed(
    to: SocketAddr,
    connect_timeout: Duration,
    max_pause: Duration,
    mailbox: Mailbox<OwnerEvent>,
) -> io::Result<Handle> {
    start(SMALL_STACK, move || {
        let min_pause = max_pause / 16;
        let mut pause = min_pause;
        loop {
            if let Ok(mut stream) = TcpStream::connect_timeout(&to, connect_timeout) {
                if mailbox.send(OwnerEvent::FeedConnected).is_err() {
                    return;
                }
                pause = min_pause;
                read_all(&mut stream, READ_SIZE, |bytes| {
                    mailbox.send(OwnerEvent::FeedBytes { bytes }).is_ok()
                });
                if mailbox.send(OwnerEvent::FeedLost).is_err() {
                    return;
                }
            }
            may::coroutine::sleep(pause);
            pause = (pause * 2).min(max_pause);
        }
    })
}
