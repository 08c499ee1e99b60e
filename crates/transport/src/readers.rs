//! Coroutines that read: datagrams, callers' connections, servers' connections, the feed.

use crate::owner::Letter;
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

pub(crate) fn datagrams(
    udp: UdpSocket,
    mailbox: Mailbox<Letter>,
    ground: MonotonicClock,
) -> io::Result<Handle> {
    start(SMALL_STACK, move || {
        let mut buffer = vec![0; 65_536];
        loop {
            let Ok((size, from)) = udp.recv_from(&mut buffer) else { continue };
            let letter =
                Letter::Datagram { arrived: ground.earliest_arrival(), from, bytes: buffer[..size].to_vec() };
            if mailbox.send(letter).is_err() {
                return;
            }
        }
    })
}

pub(crate) fn callers(
    listener: TcpListener,
    mailbox: Mailbox<Letter>,
    ground: MonotonicClock,
    most: usize,
    open: Arc<AtomicUsize>,
) -> io::Result<Handle> {
    start(LARGE_STACK, move || {
        let mut next = 0;
        loop {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(_) => {
                    // Out of descriptors, most likely: waits for some to come back.
                    may::coroutine::sleep(Duration::from_millis(20));
                    continue;
                }
            };
            if open.load(Ordering::Relaxed) >= most {
                // Guards descriptors against a flood of connections: dropped, the caller may try again.
                drop(stream);
                continue;
            }
            let Ok(outgoing) = StreamWriter::new(&stream) else { continue };
            next += 1;
            if mailbox.send(Letter::Caller { stream: next, outgoing }).is_err() {
                return;
            }
            open.fetch_add(1, Ordering::Relaxed);
            if caller(stream, next, mailbox.clone(), ground.clone(), open.clone()).is_err() {
                open.fetch_sub(1, Ordering::Relaxed);
                let _ = mailbox.send(Letter::CallerClosed { stream: next });
            }
        }
    })
}

fn caller(
    mut tcp: TcpStream,
    stream: u64,
    mailbox: Mailbox<Letter>,
    ground: MonotonicClock,
    open: Arc<AtomicUsize>,
) -> io::Result<Handle> {
    start(SMALL_STACK, move || {
        let sent = |bytes| {
            let letter = Letter::CallerBytes { arrived: ground.earliest_arrival(), stream, bytes };
            mailbox.send(letter).is_ok()
        };
        read_all(&mut tcp, READ_SIZE, sent);
        open.fetch_sub(1, Ordering::Relaxed);
        let _ = mailbox.send(Letter::CallerClosed { stream });
    })
}

/// Connects to a server and then reads from it.
pub(crate) fn connect(
    id: LinkId,
    to: SocketAddr,
    within: Duration,
    mailbox: Mailbox<Letter>,
    ground: MonotonicClock,
) {
    let lost = mailbox.clone();
    let started = start(SMALL_STACK, move || {
        let made = TcpStream::connect_timeout(&to, within).and_then(|stream| {
            stream.set_nodelay(true)?;
            Ok((StreamWriter::new(&stream)?, stream))
        });
        if let Ok((outgoing, mut stream)) = made {
            if mailbox.send(Letter::Connected { id, outgoing }).is_err() {
                return;
            }
            read_all(&mut stream, READ_SIZE, |bytes| {
                let letter = Letter::LinkBytes { arrived: ground.earliest_arrival(), id, bytes };
                mailbox.send(letter).is_ok()
            });
        }
        let _ = mailbox.send(Letter::LinkLost { id });
    });
    if started.is_err() {
        let _ = lost.send_unbounded(Letter::LinkLost { id });
    }
}

/// Follows the feed, connecting again with doubling pauses.
pub(crate) fn feed(
    to: SocketAddr,
    within: Duration,
    longest: Duration,
    mailbox: Mailbox<Letter>,
) -> io::Result<Handle> {
    start(SMALL_STACK, move || {
        let first = longest / 16;
        let mut pause = first;
        loop {
            if let Ok(mut stream) = TcpStream::connect_timeout(&to, within) {
                if mailbox.send(Letter::FeedConnected).is_err() {
                    return;
                }
                pause = first;
                read_all(&mut stream, READ_SIZE, |bytes| mailbox.send(Letter::FeedBytes { bytes }).is_ok());
                if mailbox.send(Letter::FeedLost).is_err() {
                    return;
                }
            }
            may::coroutine::sleep(pause);
            pause = (pause * 2).min(longest);
        }
    })
}
