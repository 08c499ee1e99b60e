//! Availability of a scripted server: it serves, its process hangs, or its machine has vanished from the
//! network.

use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Connections that wait to be accepted while the server serves or hangs.
const ORDINARY_BACKLOG: i32 = 128;
/// A loopback connection that is not established within this time meets a full accept queue.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which a vanished server checks whether it is back.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Upper bound on the connections that fill a listener's smallest accept queue.
const MAX_FILLERS: usize = 64;

/// State of a server as its clients experience it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    Serving,
    /// Its connections stay open and silent; new ones are established by the kernel and never served.
    Hanging,
    /// Its connections stay open and silent; new ones are never established.
    Vanished,
}

/// The presence of one server, shared by its threads.
#[derive(Clone)]
pub struct PresenceSwitch {
    shared: Arc<(Mutex<Presence>, Condvar)>,
    listeners: Arc<Vec<TcpListener>>,
    fillers: Arc<Mutex<Vec<Socket>>>,
}

impl PresenceSwitch {
    /// Creates the switch of a server with these listeners.
    pub fn new(listeners: Vec<TcpListener>) -> PresenceSwitch {
        PresenceSwitch {
            shared: Arc::new((Mutex::new(Presence::Serving), Condvar::new())),
            listeners: Arc::new(listeners),
            fillers: Arc::default(),
        }
    }

    /// Changes the state. Input that arrives in between is handled when the server serves again.
    pub fn set(&self, presence: Presence) -> io::Result<()> {
        // The fillers are closed first, so that `accept` does not return them as clients.
        self.fillers.lock().unwrap_or_else(PoisonError::into_inner).clear();
        *self.shared.0.lock().unwrap_or_else(PoisonError::into_inner) = presence;
        self.shared.1.notify_all();
        let backlog = if presence == Presence::Vanished { 0 } else { ORDINARY_BACKLOG };
        for listener in self.listeners.iter() {
            SockRef::from(listener).listen(backlog)?;
        }
        if presence == Presence::Vanished {
            self.listeners.iter().try_for_each(|listener| self.fill_queue(listener))?;
        }
        Ok(())
    }

    pub fn get(&self) -> Presence {
        *self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the process: from then on its address refuses connections.
    pub fn close(&self) -> io::Result<()> {
        self.fillers.lock().unwrap_or_else(PoisonError::into_inner).clear();
        // A shut-down listener no longer accepts, and a thread that waits in `accept` is woken with an error.
        let mut listeners = self.listeners.iter();
        listeners.try_for_each(|listener| SockRef::from(listener).shutdown(std::net::Shutdown::Both))
    }

    /// Blocks the calling thread until the server serves.
    pub fn wait_until_serving(&self) {
        let presence = self.shared.0.lock().unwrap_or_else(PoisonError::into_inner);
        let not_serving = |presence: &mut Presence| *presence != Presence::Serving;
        drop(self.shared.1.wait_while(presence, not_serving));
    }

    /// Returns the next connection of that listener, also for a hanging server, whose connections the kernel
    /// establishes.
    pub fn accept(&self, listener: usize) -> io::Result<TcpStream> {
        loop {
            let (stream, _) = self.listeners[listener].accept()?;
            while self.get() == Presence::Vanished {
                std::thread::sleep(POLL_INTERVAL);
            }
            // A filler, or a connection that its client has closed since, has ended.
            stream.set_nonblocking(true)?;
            let has_ended = matches!(stream.peek(&mut [0]), Ok(0));
            stream.set_nonblocking(false)?;
            if !has_ended {
                return Ok(stream);
            }
        }
    }

    /// Fills the listener's accept queue. The kernel drops further connection attempts, as if there were no
    /// machine.
    fn fill_queue(&self, listener: &TcpListener) -> io::Result<()> {
        let to: SocketAddr = listener.local_addr()?;
        let begin = Instant::now();
        for _ in 0..MAX_FILLERS {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            let established = filler.connect_timeout(&to.into(), CONNECT_TIMEOUT).is_ok();
            self.fillers.lock().unwrap_or_else(PoisonError::into_inner).push(filler);
            if !established {
                return Ok(());
            }
        }
        Err(io::Error::other(format!(
            "the accept queue of {to} is not full after {MAX_FILLERS} connections in {:?}",
            begin.elapsed()
        )))
    }
}
