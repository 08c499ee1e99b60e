//! Stand-in servers behind TCP relays, one for each pair of front and server, so that each link can be cut
//! individually.

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

/// Interval at which a waiting thread checks again whether its link is cut.
const TICK: Duration = Duration::from_millis(5);

/// Links that are cut now: front, server.
#[derive(Clone, Default)]
struct Cuts(Arc<Mutex<BTreeSet<(usize, usize)>>>);

impl Cuts {
    fn lock(&self) -> MutexGuard<'_, BTreeSet<(usize, usize)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn contains(&self, link: (usize, usize)) -> bool {
        self.lock().contains(&link)
    }
}

/// The servers of a fleet. A link that is cut stays open but carries nothing in either direction until it is
/// restored.
pub struct Servers {
    servers: Vec<HostedServer>,
    /// `addresses[f][s]`: the relay's address at which front `f` connects to server `s`.
    addresses: Vec<Vec<SocketAddr>>,
    cuts: Cuts,
    ended: Arc<AtomicBool>,
    accept_threads: Vec<JoinHandle<()>>,
}

fn spec() -> ServerSpec {
    // Fast compared to the load of the tests: nothing queues unless a test causes it.
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
    /// Starts the servers and, for each pair of front and server, a relay with an address of its own.
    pub fn start(fronts: usize, servers: usize) -> io::Result<Servers> {
        let names = Arc::new(HashMap::new());
        let (cuts, ended) = (Cuts::default(), Arc::new(AtomicBool::new(false)));
        let network = networks();
        let (mut hosted_servers, mut server_addresses) = (Vec::new(), Vec::new());
        for server in 0..servers {
            // An address of its own: on the usual loopback address, an outgoing connection could take the port.
            let at = free_address(network, std::process::id() as usize % 250 * 250 + server)?;
            let core = Server::new(server, at.to_string(), spec(), names.clone(), server as u64);
            hosted_servers.push(HostedServer::start(core, at, MonotonicClock::new(), Trace::default())?);
            server_addresses.push(at);
        }
        let (mut addresses, mut accept_threads) = (Vec::new(), Vec::new());
        for front in 0..fronts {
            let mut row = Vec::new();
            for (server, to) in server_addresses.iter().enumerate() {
                let listener = TcpListener::bind("127.0.0.1:0")?;
                listener.set_nonblocking(true)?;
                row.push(listener.local_addr()?);
                let (to, link, cuts, ended) = (*to, (front, server), cuts.clone(), ended.clone());
                accept_threads
                    .push(std::thread::spawn(move || accept_connections(&listener, to, link, &cuts, &ended)));
            }
            addresses.push(row);
        }
        Ok(Servers { servers: hosted_servers, addresses, cuts, ended, accept_threads })
    }

    pub fn count(&self) -> usize {
        self.servers.len()
    }

    /// The address at which a front connects to a server.
    pub fn address(&self, front: usize, server: usize) -> SocketAddr {
        self.addresses[front][server]
    }

    /// Cuts exactly these links; all others are restored.
    pub fn cut(&self, links: impl IntoIterator<Item = (usize, usize)>) {
        *self.cuts.lock() = links.into_iter().collect();
    }

    /// Stops a server as if its process had ended.
    pub fn stop(&self, server: usize) {
        self.servers[server].stop();
    }

    /// Starts a stopped server again as a new, cold process.
    pub fn start_again(&self, server: usize) -> io::Result<()> {
        self.servers[server].start_again()
    }

    /// While `silent`, the server accepts everything and answers nothing.
    pub fn silence(&self, server: usize, silent: bool) {
        self.servers[server].core.act(move |core, _| core.faults.silent = silent);
    }

    /// Number of calls established at a server.
    pub fn standing(&self, server: usize) -> u32 {
        self.servers[server].core.ask(|core| core.standing()).unwrap_or(0)
    }
}

impl Drop for Servers {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        for thread in self.accept_threads.drain(..) {
            // The message of a panic has been printed by the thread already.
            let _ = thread.join();
        }
    }
}

/// Accepts connections of one front and relays each to the server at `to`.
fn accept_connections(
    listener: &TcpListener,
    to: SocketAddr,
    link: (usize, usize),
    cuts: &Cuts,
    ended: &Arc<AtomicBool>,
) {
    while !ended.load(Ordering::Relaxed) {
        let Ok((front_stream, _)) = listener.accept() else {
            std::thread::sleep(TICK);
            continue;
        };
        let (cuts, ended) = (cuts.clone(), ended.clone());
        // The thread ends with its connection.
        std::thread::spawn(move || {
            while cuts.contains(link) && !ended.load(Ordering::Relaxed) {
                std::thread::sleep(TICK);
            }
            // A server that is down refuses the connection; the front sees its own connection closed at once.
            let Ok(server_stream) = TcpStream::connect(to) else { return };
            let _ = (
                front_stream.set_nonblocking(false),
                front_stream.set_nodelay(true),
                server_stream.set_nodelay(true),
            );
            let (Ok(front_writer), Ok(server_reader)) = (front_stream.try_clone(), server_stream.try_clone())
            else {
                return;
            };
            let (return_cuts, return_ended) = (cuts.clone(), ended.clone());
            let return_thread = std::thread::spawn(move || {
                copy_bytes(server_reader, front_writer, link, &return_cuts, &return_ended)
            });
            copy_bytes(front_stream, server_stream, link, &cuts, &ended);
            let _ = return_thread.join();
        });
    }
}

/// Copies bytes in one direction; pauses while the link is cut.
fn copy_bytes(mut from: TcpStream, mut to: TcpStream, link: (usize, usize), cuts: &Cuts, ended: &AtomicBool) {
    let _ = from.set_read_timeout(Some(TICK));
    let mut buffer = [0; 16_384];
    while !ended.load(Ordering::Relaxed) {
        if cuts.contains(link) {
            std::thread::sleep(TICK);
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(size) => {
                // If the link was cut during the read, these bytes and all later ones wait.
                while cuts.contains(link) && !ended.load(Ordering::Relaxed) {
                    std::thread::sleep(TICK);
                }
                if to.write_all(&buffer[..size]).is_err() {
                    break;
                }
            }
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
