//! Stand-in servers behind relays, one for each front and server, so that any link can be cut by itself.

use shalespindle_sockets::MonotonicClock;
use shalespindle_standin::loopback::{free_address, networks};
use shalespindle_standin::net::HostedServer;
use shalespindle_standin::processor::{Cold, Work};
use shalespindle_standin::server::{Server, ServerSpec};
use shalespindle_standin::trace::Trace;
use std::collections::{BTreeSet, HashMap};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Between two looks at whether a link is cut.
const TICK: Duration = Duration::from_millis(5);

/// Links that carry nothing now: front, server.
#[derive(Clone, Default)]
struct Cuts(Arc<Mutex<BTreeSet<(usize, usize)>>>);

impl Cuts {
    fn all(&self) -> MutexGuard<'_, BTreeSet<(usize, usize)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn holds(&self, link: (usize, usize)) -> bool {
        self.all().contains(&link)
    }
}

/// Servers of a fleet. A link that is cut stays open and silent, in both directions, until it is healed.
pub struct Servers {
    servers: Vec<HostedServer>,
    /// Where front `f` reaches server `s`.
    addresses: Vec<Vec<SocketAddr>>,
    cuts: Cuts,
    ended: Arc<AtomicBool>,
    accepting: Vec<JoinHandle<()>>,
}

fn spec() -> ServerSpec {
    // Fast beside what tests ask: nothing waits unless a test makes it.
    let work = Work { set_up: 0.000_5, answer: 0.000_2, release: 0.000_2, probe: 0.000_05, reject: 0.000_1 };
    ServerSpec {
        work,
        cold: Cold { start_capacity: 0.3, warm_after: 2.0, tip_multiple: 2.0, fall_after: 1.0 },
        lines: 10_000,
        ring: 0.0,
        full_wait: 2.0,
        tells_wait: true,
        report_every: 0.1,
        answers_first: true,
        drops_given_up: true,
    }
}

impl Servers {
    /// So many servers, each reached by each front at an address of its own.
    pub fn start(fronts: usize, servers: usize) -> io::Result<Servers> {
        let names = Arc::new(HashMap::new());
        let (cuts, ended) = (Cuts::default(), Arc::new(AtomicBool::new(false)));
        let network = networks();
        let (mut hosted, mut behind) = (Vec::new(), Vec::new());
        for server in 0..servers {
            // An address of its own: what goes out from the usual one cannot take the port.
            let at = free_address(network, std::process::id() as usize % 250 * 250 + server)?;
            let core = Server::new(server, at.to_string(), spec(), names.clone(), server as u64);
            hosted.push(HostedServer::start(core, at, MonotonicClock::new(), Trace::default())?);
            behind.push(at);
        }
        let (mut addresses, mut accepting) = (Vec::new(), Vec::new());
        for front in 0..fronts {
            let mut row = Vec::new();
            for (server, to) in behind.iter().enumerate() {
                let listener = TcpListener::bind("127.0.0.1:0")?;
                listener.set_nonblocking(true)?;
                row.push(listener.local_addr()?);
                let (to, link, cuts, ended) = (*to, (front, server), cuts.clone(), ended.clone());
                accepting.push(std::thread::spawn(move || accept(&listener, to, link, &cuts, &ended)));
            }
            addresses.push(row);
        }
        Ok(Servers { servers: hosted, addresses, cuts, ended, accepting })
    }

    pub fn count(&self) -> usize {
        self.servers.len()
    }

    /// Where a front reaches a server.
    pub fn address(&self, front: usize, server: usize) -> SocketAddr {
        self.addresses[front][server]
    }

    /// Cuts these links, and only these.
    pub fn cut(&self, links: impl IntoIterator<Item = (usize, usize)>) {
        *self.cuts.all() = links.into_iter().collect();
    }

    /// Its process ends.
    pub fn stop(&self, server: usize) {
        self.servers[server].stop();
    }

    /// A new process, cold.
    pub fn start_again(&self, server: usize) -> io::Result<()> {
        self.servers[server].start_again()
    }

    /// It takes what comes and says nothing, or is itself again.
    pub fn silence(&self, server: usize, silent: bool) {
        self.servers[server].core.act(move |core, _| core.faults.silent = silent);
    }

    /// Calls that stand there.
    pub fn standing(&self, server: usize) -> u32 {
        self.servers[server].core.ask(|core| core.standing()).unwrap_or(0)
    }
}

impl Drop for Servers {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        for thread in self.accepting.drain(..) {
            // A panic there has been reported by its own message.
            let _ = thread.join();
        }
    }
}

fn accept(
    listener: &TcpListener,
    to: SocketAddr,
    link: (usize, usize),
    cuts: &Cuts,
    ended: &Arc<AtomicBool>,
) {
    while !ended.load(Ordering::Relaxed) {
        let Ok((near, _)) = listener.accept() else {
            std::thread::sleep(TICK);
            continue;
        };
        let (cuts, ended) = (cuts.clone(), ended.clone());
        // Ends with its connection.
        std::thread::spawn(move || {
            while cuts.holds(link) && !ended.load(Ordering::Relaxed) {
                std::thread::sleep(TICK);
            }
            // A server that is down refuses: here the front sees its connection end at once.
            let Ok(far) = TcpStream::connect(to) else { return };
            let _ = (near.set_nonblocking(false), near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else { return };
            let (cuts_too, ended_too) = (cuts.clone(), ended.clone());
            let back = std::thread::spawn(move || pump(far_too, near_too, link, &cuts_too, &ended_too));
            pump(near, far, link, &cuts, &ended);
            let _ = back.join();
        });
    }
}

/// Carries bytes one way, none of them while the link is cut.
fn pump(mut from: TcpStream, mut to: TcpStream, link: (usize, usize), cuts: &Cuts, ended: &AtomicBool) {
    let _ = from.set_read_timeout(Some(TICK));
    let mut buffer = [0; 16_384];
    while !ended.load(Ordering::Relaxed) {
        if cuts.holds(link) {
            std::thread::sleep(TICK);
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(size) => {
                // Cut while it was read: it waits with all that comes after it.
                while cuts.holds(link) && !ended.load(Ordering::Relaxed) {
                    std::thread::sleep(TICK);
                }
                if to.write_all(&buffer[..size]).is_err() {
                    break;
                }
            }
            Err(why) if matches!(why.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
