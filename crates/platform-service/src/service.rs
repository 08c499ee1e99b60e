//! A live front: its sockets, its coroutines, and the handle to control it.

use crate::owner::{Owner, OwnerEvent};
use crate::readers;
use crate::slots::ConnectionSlots;
use may::net::TcpListener;
use shalespindle_platform::{Edge, StartFile, UNCOUNTED_CONNECTIONS};
use shalespindle_sockets::{end, mailbox, start, Handle, Mailbox, MonotonicClock, LARGE_STACK};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};
use tracing::warn;

/// Events that may be queued for the owner; each holds one read at most.
const MAILBOX_CAPACITY: usize = 256;

/// Total time and interval for which binding is retried while the address is in use.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
const BIND_RETRY: Duration = Duration::from_millis(20);

/// Configures the coroutine scheduler for a machine with one core. Called once, before the first coroutine.
pub fn use_single_worker() {
    may::config().set_workers(1);
}

/// A running live front.
pub struct Service {
    address: SocketAddr,
    mailbox: Mailbox<OwnerEvent>,
    accepting: Option<Handle>,
    owner: Option<Handle>,
}

impl Service {
    /// Applies the known list of servers, then listens and starts.
    pub fn start(file: StartFile) -> io::Result<Service> {
        let ground = MonotonicClock::new();
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or(Duration::ZERO);
        let listen = file.listen;
        let edge = Edge::new(file, ground.now(), unix.as_secs_f64()).map_err(io::Error::other)?;
        let listener = bind(listen)?;
        let address = listener.local_addr()?;
        let (mailbox, mail) = mailbox(MAILBOX_CAPACITY);
        let slots = ConnectionSlots::new(edge.max_clients() + UNCOUNTED_CONNECTIONS);
        let accepting = readers::accept(listener, mailbox.clone(), ground.clone(), slots.clone())?;
        let owner = Owner::new(edge, ground, mailbox.clone(), mail, slots);
        let owner = start(LARGE_STACK, move || owner.run())?;
        Ok(Service { address, mailbox, accepting: Some(accepting), owner: Some(owner) })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Passes on a new start file; an owner that has ended ignores it.
    pub fn reload(&self, file: StartFile) {
        let _ = self.mailbox.send_unbounded(OwnerEvent::Reload(Box::new(file)));
    }

    /// Starts an orderly shutdown.
    pub fn end(&self) {
        let _ = self.mailbox.send_unbounded(OwnerEvent::End);
    }

    pub fn has_ended(&self) -> bool {
        self.owner.as_ref().is_none_or(|o| o.is_done())
    }
}

/// Binds the listener, with retries: after a restart the system may not have released the predecessor's
/// listener.
fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    let begin = Instant::now();
    loop {
        match TcpListener::bind(listen) {
            Err(why) if why.kind() == io::ErrorKind::AddrInUse && begin.elapsed() < BIND_TIMEOUT => {
                warn!(target: "shalespindle::platform", %listen, %why, "address in use, retrying");
                std::thread::sleep(BIND_RETRY);
            }
            bound => return bound,
        }
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            end(accepting);
        }
        if let Some(owner) = self.owner.take() {
            end(owner);
        }
    }
}
