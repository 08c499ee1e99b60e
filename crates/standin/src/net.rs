//! The cores on sockets. Each core has one coroutine that owns it; readers send it what came over one
//! bounded mailbox, so that nothing is shared between cores.

use crate::callers::Callers;
use crate::feed::Feed;
use crate::server::{Server, ServerOut};
use crate::trace::{FrontId, Trace};
use may::net::{TcpListener, UdpSocket};
use shalespindle_sockets::{
    end, mailbox, start, Handle, Mailbox, MailboxReceiver, MonotonicClock, StreamWriter,
};
use shalespindle_sockets::{LARGE_STACK, READ_SIZE, SMALL_STACK};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::{mpsc, Arc, Mutex};
use std::time::Duration;

/// Letters that may wait for a core.
const ROOM: usize = 8192;
/// Letters handled before the core's turn.
const BATCH: usize = 256;

/// Something to do with a core, in its own coroutine.
type Act<C> = Box<dyn FnOnce(&mut C, f64) + Send>;

/// What reaches a core's owner.
enum Letter<C> {
    Opened { connection: u64, tag: usize, outgoing: StreamWriter },
    Bytes { connection: u64, bytes: Vec<u8> },
    Closed { connection: u64 },
    Datagram(Vec<u8>),
    Do(Act<C>),
    Stop(mpsc::Sender<C>),
}

/// A core in service on sockets.
pub struct Hosted<C> {
    mailbox: Mailbox<Letter<C>>,
    readers: Vec<Handle>,
    owner: Option<Handle>,
}

/// What a kind of core does with what its sockets bring.
trait Core: Sized + Send + 'static {
    fn opened(&mut self, now: f64, connection: u64, tag: usize);
    fn bytes(&mut self, now: f64, connection: u64, bytes: &[u8]);
    fn closed(&mut self, now: f64, connection: u64, tag: usize);
    fn datagram(&mut self, now: f64, bytes: &[u8]);
    fn due(&self) -> f64;
    fn tick(&mut self, now: f64);
    /// Hands out what is to be sent and adds what passed to the trace.
    fn drain(&mut self, out: &mut dyn FnMut(Carry), trace: &Trace);
}

/// Something to send.
enum Carry {
    To(u64, Vec<u8>),
    /// To whichever connection has that tag.
    Tagged(usize, Vec<u8>),
    Close(u64),
    /// Whichever connection has that tag.
    CloseTagged(usize),
    Datagram(Vec<u8>),
}

impl<C> Hosted<C> {
    /// Does something with the core, in its own coroutine.
    pub fn act(&self, what: impl FnOnce(&mut C, f64) + Send + 'static) {
        // A core that has ended is acted on no more.
        let _ = self.mailbox.send_unbounded(Letter::Do(Box::new(what)));
    }

    /// Asks the core something and waits for the answer.
    pub fn ask<T: Send + 'static>(&self, what: impl FnOnce(&mut C) -> T + Send + 'static) -> Option<T> {
        let (to, from) = mpsc::channel();
        self.act(move |core, _| {
            let _ = to.send(what(core));
        });
        from.recv_timeout(Duration::from_secs(10)).ok()
    }

    /// Ends its sockets and gives the core back.
    pub fn finish(mut self) -> Option<C> {
        let (to, from) = mpsc::channel();
        let _ = self.mailbox.send_unbounded(Letter::Stop(to));
        let core = from.recv_timeout(Duration::from_secs(10)).ok();
        self.close();
        core
    }

    fn close(&mut self) {
        for reader in self.readers.drain(..).chain(self.owner.take()) {
            end(reader);
        }
    }
}

impl<C> Drop for Hosted<C> {
    fn drop(&mut self) {
        self.close();
    }
}

/// Owns a core until it is stopped.
fn own<C: Core>(
    mut core: C,
    mail: MailboxReceiver<Letter<C>>,
    ground: MonotonicClock,
    trace: Trace,
    udp: Option<(UdpSocket, SocketAddr)>,
) {
    let mut connections: BTreeMap<u64, (usize, StreamWriter)> = BTreeMap::new();
    loop {
        let mut next = mail.recv_timeout(ground.duration_until(core.due()));
        let mut taken = 0;
        while let Some(letter) = next {
            let now = ground.now();
            match letter {
                Letter::Opened { connection, tag, outgoing } => {
                    connections.insert(connection, (tag, outgoing));
                    core.opened(now, connection, tag);
                }
                Letter::Bytes { connection, bytes } => core.bytes(now, connection, &bytes),
                Letter::Closed { connection } => {
                    if let Some((tag, _)) = connections.remove(&connection) {
                        core.closed(now, connection, tag);
                    }
                }
                Letter::Datagram(bytes) => core.datagram(now, &bytes),
                Letter::Do(what) => what(&mut core, now),
                Letter::Stop(to) => {
                    for (_, outgoing) in connections.values() {
                        outgoing.close(false);
                    }
                    // Nobody to give it to: then it is dropped here.
                    let _ = to.send(core);
                    return;
                }
            }
            taken += 1;
            next = if taken < BATCH { mail.try_recv() } else { None };
        }
        core.tick(ground.now());
        let mut gone = Vec::new();
        let mut send = |what: Carry| match what {
            Carry::To(connection, bytes) => {
                if let Some((_, outgoing)) = connections.get_mut(&connection) {
                    outgoing.write(&bytes, || {});
                }
            }
            Carry::Tagged(tag, bytes) => {
                for (_, outgoing) in connections.values_mut().filter(|c| c.0 == tag) {
                    outgoing.write(&bytes, || {});
                }
            }
            Carry::Close(connection) => gone.push(connection),
            Carry::CloseTagged(tag) => {
                gone.extend(connections.iter().filter(|c| c.1 .0 == tag).map(|c| *c.0));
            }
            Carry::Datagram(bytes) => {
                if let Some((udp, to)) = &udp {
                    // Lost like any other datagram; its sender repeats it.
                    let _ = udp.inner().send_to(&bytes, *to);
                }
            }
        };
        core.drain(&mut send, &trace);
        for connection in gone {
            if let Some((_, outgoing)) = connections.remove(&connection) {
                outgoing.close(true);
            }
        }
        // Readers woken on this worker wait behind its owner.
        may::coroutine::yield_now();
    }
}

impl Core for Server {
    fn opened(&mut self, _: f64, connection: u64, _: usize) {
        self.connected(connection);
    }
    fn bytes(&mut self, now: f64, connection: u64, bytes: &[u8]) {
        Server::bytes(self, now, connection, bytes);
    }
    fn closed(&mut self, now: f64, connection: u64, _: usize) {
        Server::closed(self, now, connection);
    }
    fn datagram(&mut self, _: f64, _: &[u8]) {}
    fn due(&self) -> f64 {
        Server::due(self)
    }
    fn tick(&mut self, now: f64) {
        Server::tick(self, now);
    }
    fn drain(&mut self, out: &mut dyn FnMut(Carry), trace: &Trace) {
        // What passed is in the trace before it can have an effect elsewhere.
        trace.extend(self.take_seen());
        while let Some(next) = self.next_output() {
            out(match next {
                ServerOut::Bytes { connection, bytes } => Carry::To(connection, bytes),
                ServerOut::Close { connection } => Carry::Close(connection),
            });
        }
    }
}

impl Core for Feed {
    fn opened(&mut self, now: f64, _: u64, tag: usize) {
        self.connected(now, tag);
    }
    fn bytes(&mut self, _: f64, _: u64, _: &[u8]) {}
    fn closed(&mut self, _: f64, _: u64, tag: usize) {
        Feed::closed(self, tag);
    }
    fn datagram(&mut self, _: f64, _: &[u8]) {}
    fn due(&self) -> f64 {
        Feed::due(self)
    }
    fn tick(&mut self, now: f64) {
        Feed::tick(self, now);
    }
    fn drain(&mut self, out: &mut dyn FnMut(Carry), trace: &Trace) {
        trace.extend(self.take_seen());
        while let Some(next) = self.next_output() {
            out(match next.line {
                Some(line) => Carry::Tagged(next.front, line),
                None => Carry::CloseTagged(next.front),
            });
        }
    }
}

impl Core for Callers {
    fn opened(&mut self, _: f64, _: u64, _: usize) {}
    fn bytes(&mut self, _: f64, _: u64, _: &[u8]) {}
    fn closed(&mut self, _: f64, _: u64, _: usize) {}
    fn datagram(&mut self, now: f64, bytes: &[u8]) {
        Callers::datagram(self, now, bytes);
    }
    fn due(&self) -> f64 {
        Callers::due(self)
    }
    fn tick(&mut self, now: f64) {
        Callers::tick(self, now);
    }
    fn drain(&mut self, out: &mut dyn FnMut(Carry), trace: &Trace) {
        trace.extend(self.take_seen());
        while let Some(bytes) = self.next_output() {
            out(Carry::Datagram(bytes));
        }
    }
}

/// Accepts connections and reads each in a coroutine of its own.
fn accept<C: Send + 'static>(
    listener: TcpListener,
    tag: usize,
    next: Arc<Mutex<u64>>,
    mailbox: Mailbox<Letter<C>>,
) -> io::Result<Handle> {
    start(LARGE_STACK, move || loop {
        let Ok((mut stream, _)) = listener.accept() else { continue };
        let made = stream.set_nodelay(true).and_then(|()| StreamWriter::new(&stream));
        let Ok(outgoing) = made else { continue };
        let connection = {
            let mut next = next.lock().unwrap_or_else(|e| e.into_inner());
            *next += 1;
            *next
        };
        if mailbox.send(Letter::Opened { connection, tag, outgoing }).is_err() {
            return;
        }
        let mailbox = mailbox.clone();
        let lost = mailbox.clone();
        let reader = start(SMALL_STACK, move || {
            let mut buffer = vec![0; READ_SIZE];
            loop {
                match stream.read(&mut buffer) {
                    Ok(n) if n > 0 => {
                        let bytes = buffer[..n].to_vec();
                        if mailbox.send(Letter::Bytes { connection, bytes }).is_err() {
                            return;
                        }
                    }
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    _ => break,
                }
            }
            let _ = mailbox.send(Letter::Closed { connection });
        });
        if reader.is_err() {
            let _ = lost.send(Letter::Closed { connection });
        }
    })
}

/// A server whose listener can be closed and opened again, as its process ends and starts.
pub struct HostedServer {
    pub core: Hosted<Server>,
    address: SocketAddr,
    next: Arc<Mutex<u64>>,
    listener: Mutex<Option<Handle>>,
}

impl HostedServer {
    /// Starts a server on that address, its processor warm.
    pub fn start(
        core: Server,
        address: SocketAddr,
        ground: MonotonicClock,
        trace: Trace,
    ) -> io::Result<HostedServer> {
        let (outgoing, mail) = mailbox(ROOM);
        let owner = start(LARGE_STACK, move || own(core, mail, ground, trace, None))?;
        let server = HostedServer {
            core: Hosted { mailbox: outgoing, readers: Vec::new(), owner: Some(owner) },
            address,
            next: Arc::new(Mutex::new(0)),
            listener: Mutex::new(None),
        };
        server.listen()?;
        server.core.act(|core, now| core.start(now, false));
        Ok(server)
    }

    fn listen(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        let accepting = accept(listener, 0, self.next.clone(), self.core.mailbox.clone())?;
        *self.listener.lock().unwrap_or_else(|e| e.into_inner()) = Some(accepting);
        Ok(())
    }

    /// Its process ends: connections are reset, new ones refused.
    pub fn stop(&self) {
        if let Some(listener) = self.listener.lock().unwrap_or_else(|e| e.into_inner()).take() {
            end(listener);
        }
        self.core.act(Server::stop);
    }

    /// A new process, cold.
    pub fn start_again(&self) -> io::Result<()> {
        self.core.act(|core, now| core.start(now, true));
        if self.listener.lock().unwrap_or_else(|e| e.into_inner()).is_none() {
            self.listen()?;
        }
        Ok(())
    }

    pub fn finish(self) -> Option<Server> {
        if let Some(listener) = self.listener.lock().unwrap_or_else(|e| e.into_inner()).take() {
            end(listener);
        }
        self.core.finish()
    }
}

/// The feed, with one listening address for each front.
pub fn feed(
    core: Feed,
    listeners: Vec<TcpListener>,
    ground: MonotonicClock,
    trace: Trace,
) -> io::Result<Hosted<Feed>> {
    let (outgoing, mail) = mailbox(ROOM);
    let next = Arc::new(Mutex::new(0));
    let mut readers = Vec::new();
    for (front, listener) in listeners.into_iter().enumerate() {
        readers.push(accept(listener, front as FrontId, next.clone(), outgoing.clone())?);
    }
    let owner = start(LARGE_STACK, move || own(core, mail, ground, trace, None))?;
    Ok(Hosted { mailbox: outgoing, readers, owner: Some(owner) })
}

/// Callers on a datagram socket of their own, asking the front at `to`.
pub fn callers(
    core: Callers,
    udp: UdpSocket,
    to: SocketAddr,
    ground: MonotonicClock,
    trace: Trace,
) -> io::Result<Hosted<Callers>> {
    let (outgoing, mail) = mailbox(ROOM);
    let writer = udp.try_clone()?;
    let mailbox = outgoing.clone();
    let reader = start(SMALL_STACK, move || {
        let mut buffer = vec![0; 65_536];
        loop {
            let Ok((size, _)) = udp.recv_from(&mut buffer) else { continue };
            if mailbox.send(Letter::Datagram(buffer[..size].to_vec())).is_err() {
                return;
            }
        }
    })?;
    let owner = start(LARGE_STACK, move || own(core, mail, ground, trace, Some((writer, to))))?;
    Ok(Hosted { mailbox: outgoing, readers: vec![reader], owner: Some(owner) })
}
