//! Runs the state machines (cores) on sockets. One coroutine owns each core and receives the input of its
//! readers through one bounded mailbox, so that cores share no state.

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

/// Capacity of a core's mailbox, messages.
const MAILBOX_CAPACITY: usize = 8192;
/// Messages handled before the core's next tick.
const BATCH: usize = 256;

/// A function to run on a core, in the core's own coroutine.
type Action<C> = Box<dyn FnOnce(&mut C, f64) + Send>;

/// A message to the coroutine that owns a core.
enum Message<C> {
    Opened { connection: u64, tag: usize, outgoing: StreamWriter },
    Bytes { connection: u64, bytes: Vec<u8> },
    Closed { connection: u64 },
    Datagram(Vec<u8>),
    Do(Action<C>),
    Stop(mpsc::Sender<C>),
}

/// A core that runs on sockets.
pub struct Hosted<C> {
    mailbox: Mailbox<Message<C>>,
    readers: Vec<Handle>,
    owner: Option<Handle>,
}

/// A state machine that is driven by socket input and time.
trait Core: Sized + Send + 'static {
    fn opened(&mut self, now: f64, connection: u64, tag: usize);
    fn bytes(&mut self, now: f64, connection: u64, bytes: &[u8]);
    fn closed(&mut self, now: f64, connection: u64, tag: usize);
    fn datagram(&mut self, now: f64, bytes: &[u8]);
    fn due(&self) -> f64;
    fn tick(&mut self, now: f64);
    /// Passes pending output to `out` and adds recorded events to the trace.
    fn drain(&mut self, out: &mut dyn FnMut(Output), trace: &Trace);
}

/// An output of a core.
enum Output {
    To(u64, Vec<u8>),
    /// Bytes for every connection with that tag.
    Tagged(usize, Vec<u8>),
    Close(u64),
    /// Closes every connection with that tag.
    CloseTagged(usize),
    Datagram(Vec<u8>),
}

impl<C> Hosted<C> {
    /// Runs a function on the core, in its own coroutine, without waiting for it.
    pub fn act(&self, what: impl FnOnce(&mut C, f64) + Send + 'static) {
        // The message is dropped when the core has ended.
        let _ = self.mailbox.send_unbounded(Message::Do(Box::new(what)));
    }

    /// Runs a function on the core and waits for its result; `None` after 10 seconds.
    pub fn ask<T: Send + 'static>(&self, what: impl FnOnce(&mut C) -> T + Send + 'static) -> Option<T> {
        let (to, from) = mpsc::channel();
        self.act(move |core, _| {
            let _ = to.send(what(core));
        });
        from.recv_timeout(Duration::from_secs(10)).ok()
    }

    /// Closes the sockets and returns the core.
    pub fn finish(mut self) -> Option<C> {
        let (to, from) = mpsc::channel();
        let _ = self.mailbox.send_unbounded(Message::Stop(to));
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

/// Runs a core until it is stopped.
fn run_core<C: Core>(
    mut core: C,
    inbox: MailboxReceiver<Message<C>>,
    clock: MonotonicClock,
    trace: Trace,
    udp: Option<(UdpSocket, SocketAddr)>,
) {
    let mut connections: BTreeMap<u64, (usize, StreamWriter)> = BTreeMap::new();
    loop {
        let mut next = inbox.recv_timeout(clock.duration_until(core.due()));
        let mut taken = 0;
        while let Some(letter) = next {
            let now = clock.now();
            match letter {
                Message::Opened { connection, tag, outgoing } => {
                    connections.insert(connection, (tag, outgoing));
                    core.opened(now, connection, tag);
                }
                Message::Bytes { connection, bytes } => core.bytes(now, connection, &bytes),
                Message::Closed { connection } => {
                    if let Some((tag, _)) = connections.remove(&connection) {
                        core.closed(now, connection, tag);
                    }
                }
                Message::Datagram(bytes) => core.datagram(now, &bytes),
                Message::Do(what) => what(&mut core, now),
                Message::Stop(to) => {
                    for (_, outgoing) in connections.values() {
                        outgoing.close(false);
                    }
                    // The core is dropped when nobody waits for it.
                    let _ = to.send(core);
                    return;
                }
            }
            taken += 1;
            next = if taken < BATCH { inbox.try_recv() } else { None };
        }
        core.tick(clock.now());
        let mut gone = Vec::new();
        let mut send = |what: Output| match what {
            Output::To(connection, bytes) => {
                if let Some((_, outgoing)) = connections.get_mut(&connection) {
                    outgoing.write(&bytes, || {});
                }
            }
            Output::Tagged(tag, bytes) => {
                for (_, outgoing) in connections.values_mut().filter(|c| c.0 == tag) {
                    outgoing.write(&bytes, || {});
                }
            }
            Output::Close(connection) => gone.push(connection),
            Output::CloseTagged(tag) => {
                gone.extend(connections.iter().filter(|c| c.1 .0 == tag).map(|c| *c.0));
            }
            Output::Datagram(bytes) => {
                if let Some((udp, to)) = &udp {
                    // A datagram that cannot be sent is lost; the sender retransmits it.
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
        // Readers that were woken on this worker run only once its owner yields.
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
    fn drain(&mut self, out: &mut dyn FnMut(Output), trace: &Trace) {
        // Events are added to the trace before their output can have an effect elsewhere.
        trace.extend(self.take_seen());
        while let Some(next) = self.next_output() {
            out(match next {
                ServerOut::Bytes { connection, bytes } => Output::To(connection, bytes),
                ServerOut::Close { connection } => Output::Close(connection),
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
    fn drain(&mut self, out: &mut dyn FnMut(Output), trace: &Trace) {
        trace.extend(self.take_seen());
        while let Some(next) = self.next_output() {
            out(match next.line {
                Some(line) => Output::Tagged(next.front, line),
                None => Output::CloseTagged(next.front),
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
    fn drain(&mut self, out: &mut dyn FnMut(Output), trace: &Trace) {
        trace.extend(self.take_seen());
        while let Some(bytes) = self.next_output() {
            out(Output::Datagram(bytes));
        }
    }
}

/// Accepts connections and reads each one in a separate coroutine.
fn accept<C: Send + 'static>(
    listener: TcpListener,
    tag: usize,
    next: Arc<Mutex<u64>>,
    mailbox: Mailbox<Message<C>>,
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
        if mailbox.send(Message::Opened { connection, tag, outgoing }).is_err() {
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
                        if mailbox.send(Message::Bytes { connection, bytes }).is_err() {
                            return;
                        }
                    }
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    _ => break,
                }
            }
            let _ = mailbox.send(Message::Closed { connection });
        });
        if reader.is_err() {
            let _ = lost.send(Message::Closed { connection });
        }
    })
}

/// A server whose listener can be closed and reopened, as when its process ends and restarts.
pub struct HostedServer {
    pub core: Hosted<Server>,
    address: SocketAddr,
    next: Arc<Mutex<u64>>,
    listener: Mutex<Option<Handle>>,
}

impl HostedServer {
    /// Starts a server on that address with a warm processor.
    pub fn start(
        core: Server,
        address: SocketAddr,
        clock: MonotonicClock,
        trace: Trace,
    ) -> io::Result<HostedServer> {
        let (outgoing, inbox) = mailbox(MAILBOX_CAPACITY);
        let owner = start(LARGE_STACK, move || run_core(core, inbox, clock, trace, None))?;
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

    /// Ends the process: connections are reset, new ones refused.
    pub fn stop(&self) {
        if let Some(listener) = self.listener.lock().unwrap_or_else(|e| e.into_inner()).take() {
            end(listener);
        }
        self.core.act(Server::stop);
    }

    /// Starts a new process with a cold processor.
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

/// Runs the pool list service with one listener for each front.
pub fn feed(
    core: Feed,
    listeners: Vec<TcpListener>,
    clock: MonotonicClock,
    trace: Trace,
) -> io::Result<Hosted<Feed>> {
    let (outgoing, inbox) = mailbox(MAILBOX_CAPACITY);
    let next = Arc::new(Mutex::new(0));
    let mut readers = Vec::new();
    for (front, listener) in listeners.into_iter().enumerate() {
        readers.push(accept(listener, front as FrontId, next.clone(), outgoing.clone())?);
    }
    let owner = start(LARGE_STACK, move || run_core(core, inbox, clock, trace, None))?;
    Ok(Hosted { mailbox: outgoing, readers, owner: Some(owner) })
}

/// Runs callers on their own UDP socket; their messages go to the front at `to`.
pub fn callers(
    core: Callers,
    udp: UdpSocket,
    to: SocketAddr,
    clock: MonotonicClock,
    trace: Trace,
) -> io::Result<Hosted<Callers>> {
    let (outgoing, inbox) = mailbox(MAILBOX_CAPACITY);
    let writer = udp.try_clone()?;
    let mailbox = outgoing.clone();
    let reader = start(SMALL_STACK, move || {
        let mut buffer = vec![0; 65_536];
        loop {
            let Ok((size, _)) = udp.recv_from(&mut buffer) else { continue };
            if mailbox.send(Message::Datagram(buffer[..size].to_vec())).is_err() {
                return;
            }
        }
    })?;
    let owner = start(LARGE_STACK, move || run_core(core, inbox, clock, trace, Some((writer, to))))?;
    Ok(Hosted { mailbox: outgoing, readers: vec![reader], owner: Some(owner) })
}
