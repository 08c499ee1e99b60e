//! Whether a stand-in server is there: it serves, its process hangs, or its machine has vanished from the network.

use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Connections that wait to be accepted while the server serves or hangs.
const ORDINARY_BACKLOG: i32 = 128;
/// A connection on loopback that is not made within this is not made at all.
const NOT_MADE: Duration = Duration::from_millis(100);
/// Connections that fill the smallest queue of a listener, and some more.
const MOST_FILLERS: usize = 64;

/// What a server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    Serving,
    /// Its connections stay open and silent, and new ones are made by the system alone.
    Hanging,
    /// Its connections stay open and silent, and new ones never come up.
    Vanished,
}

/// The presence of one server, shared by its threads.
#[derive(Clone)]
pub struct PresenceSwitch {
    shared: Arc<(Mutex<Presence>, Condvar)>,
    listener: Arc<TcpListener>,
    fillers: Arc<Mutex<Vec<Socket>>>,
}

impl PresenceSwitch {
    pub fn new(listener: TcpListener) -> PresenceSwitch {
        PresenceSwitch {
            shared: Arc::new((Mutex::new(Presence::Serving), Condvar::new())),
            listener: Arc::new(listener),
            fillers: Arc::default(),
        }
    }

    /// Changes what the server does. What came meanwhile is dealt with when it serves again.
    pub fn set(&self, presence: Presence) -> io::Result<()> {
        *self.shared.0.lock().unwrap_or_else(PoisonError::into_inner) = presence;
        self.shared.1.notify_all();
        let listening = SockRef::from(&*self.listener);
        self.fillers.lock().unwrap_or_else(PoisonError::into_inner).clear();
        match presence {
            Presence::Vanished => {
                listening.listen(0)?;
                self.fill_queue()
            }
            Presence::Serving | Presence::Hanging => listening.listen(ORDINARY_BACKLOG),
        }
    }

    pub fn get(&self) -> Presence {
        *self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Blocks its caller for as long as the server does not serve.
    pub fn wait_until_serving(&self) {
        let presence = self.shared.0.lock().unwrap_or_else(PoisonError::into_inner);
        let not_serving = |presence: &mut Presence| *presence != Presence::Serving;
        drop(self.shared.1.wait_while(presence, not_serving));
    }

    /// The next connection, once the server serves.
    pub fn accept(&self) -> io::Result<TcpStream> {
        loop {
            let (stream, _) = self.listener.accept()?;
            if self.get() == Presence::Serving {
                return Ok(stream);
            }
            // Taken from the system's queue by a thread that waited there already: nothing is said on it until then.
            self.wait_until_serving();
            if stream.peer_addr().is_ok() {
                return Ok(stream);
            }
        }
    }

    /// Fills the listener's queue: a full one drops whatever else wants to connect, as no machine at all would.
    fn fill_queue(&self) -> io::Result<()> {
        let to: SocketAddr = self.listener.local_addr()?;
        let begin = Instant::now();
        for _ in 0..MOST_FILLERS {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            let made = filler.connect_timeout(&to.into(), NOT_MADE).is_ok();
            self.fillers.lock().unwrap_or_else(PoisonError::into_inner).push(filler);
            if !made {
                return Ok(());
            }
        }
        Err(io::Error::other(format!("the queue of {to} takes more and more: {:?}", begin.elapsed())))
    }
}
