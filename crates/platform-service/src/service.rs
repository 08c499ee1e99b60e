//! A live front: its sockets, its coroutines, and the handle that asks it for things.

use crate::owner::{Owner, OwnerEvent};
use crate::places::Places;
use crate::readers;
use may::net::TcpListener;
use shalespindle_platform::{Edge, StartFile, UNCOUNTED};
use shalespindle_sockets::{end, mailbox, start, Handle, Mailbox, MonotonicClock, LARGE_STACK};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};
use tracing::warn;

/// Letters that may wait for the owner; each holds one read at most.
const ROOM: usize = 256;

/// An address that is taken is asked for again for so long, and so often.
const TAKEN_FOR: Duration = Duration::from_secs(5);
const BIND_AGAIN: Duration = Duration::from_millis(20);

/// Fits the coroutines' scheduler to a machine of one core. Called once, before the first coroutine.
pub fn one_core() {
    may::config().set_workers(1);
}

/// A live front in service.
pub struct Service {
    address: SocketAddr,
    mailbox: Mailbox<OwnerEvent>,
    accepting: Option<Handle>,
    owner: Option<Handle>,
}

impl Service {
    /// Takes the list as far as it is known, then listens and starts.
    pub fn start(file: StartFile) -> io::Result<Service> {
        let ground = MonotonicClock::new();
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or(Duration::ZERO);
        let listen = file.listen;
        let edge = Edge::new(file, ground.now(), unix.as_secs_f64()).map_err(io::Error::other)?;
        let listener = bind(listen)?;
        let address = listener.local_addr()?;
        let (mailbox, mail) = mailbox(ROOM);
        let places = Places::new(edge.most_clients() + UNCOUNTED);
        let accepting = readers::accept(listener, mailbox.clone(), ground.clone(), places.clone())?;
        let owner = Owner::new(edge, ground, mailbox.clone(), mail, places);
        let owner = start(LARGE_STACK, move || owner.run())?;
        Ok(Service { address, mailbox, accepting: Some(accepting), owner: Some(owner) })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The file was replaced. An owner that has ended takes nothing more.
    pub fn reload(&self, file: StartFile) {
        let _ = self.mailbox.send_unbounded(OwnerEvent::Reload(Box::new(file)));
    }

    /// Asks for an orderly end.
    pub fn end(&self) {
        let _ = self.mailbox.send_unbounded(OwnerEvent::End);
    }

    pub fn is_over(&self) -> bool {
        self.owner.as_ref().is_none_or(|o| o.is_done())
    }
}

/// Guards a restart against its own predecessor, whose listener the system may not have taken back yet.
fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    let begin = Instant::now();
    loop {
        match TcpListener::bind(listen) {
            Err(why) if why.kind() == io::ErrorKind::AddrInUse && begin.elapsed() < TAKEN_FOR => {
                warn!(target: "shalespindle::platform", %listen, %why, "asked for again");
                std::thread::sleep(BIND_AGAIN);
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
