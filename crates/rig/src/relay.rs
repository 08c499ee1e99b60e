//! Datagram relays in user space, one for each ordered pair of fronts.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Interval at which a relay checks for datagrams whose delay has passed.
const TICK: Duration = Duration::from_millis(2);
/// Maximum number of datagrams that one relay delays; further ones are dropped.
const MAX_DELAYED: usize = 4096;

/// Faults that the relays apply to datagrams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Fractions of the datagrams that are lost, duplicated and corrupted.
    pub loss: f64,
    pub double: f64,
    pub garble: f64,
    /// Maximum delay; each datagram gets a random one, so that datagrams are reordered.
    pub delay: Duration,
    /// Paths that are cut: from, to.
    pub cut: BTreeSet<(usize, usize)>,
}

/// State shared by all relay threads.
struct Shared {
    faults: Mutex<Faults>,
    ended: AtomicBool,
    passed: AtomicU64,
    lost: AtomicU64,
    /// Number of frames received from a front, by front and version byte.
    versions: Mutex<BTreeMap<(usize, u8), u64>>,
}

impl Shared {
    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// All relays of a fleet.
pub struct Relays {
    shared: Arc<Shared>,
    /// `addresses[from][to]`: where front `from` sends datagrams for front `to`.
    addresses: Vec<Vec<SocketAddr>>,
    threads: Vec<JoinHandle<()>>,
}

impl Relays {
    /// Starts relays between fronts that listen on these addresses.
    pub fn start(fronts: &[SocketAddr], seed: u64) -> io::Result<Relays> {
        let shared = Arc::new(Shared {
            faults: Mutex::default(),
            ended: AtomicBool::new(false),
            passed: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            versions: Mutex::default(),
        });
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut addresses, mut threads) = (Vec::new(), Vec::new());
        for from in 0..fronts.len() {
            let mut row = Vec::new();
            for (to, address) in fronts.iter().enumerate() {
                let socket = UdpSocket::bind("127.0.0.1:0")?;
                socket.set_read_timeout(Some(TICK))?;
                row.push(socket.local_addr()?);
                let (shared, rng) = (shared.clone(), ChaCha8Rng::seed_from_u64(rng.random()));
                let address = *address;
                threads.push(std::thread::spawn(move || relay(&socket, address, (from, to), &shared, rng)));
            }
            addresses.push(row);
        }
        Ok(Relays { shared, addresses, threads })
    }

    /// No relays: fronts send directly to each other, and faults have no effect. For fleets too large for one thread
    /// per pair.
    pub fn direct(fronts: &[SocketAddr], seed: u64) -> io::Result<Relays> {
        let mut relays = Relays::start(&[], seed)?;
        relays.addresses = vec![fronts.to_vec(); fronts.len()];
        Ok(relays)
    }

    /// The address to which front `from` sends datagrams for front `to`.
    pub fn address(&self, from: usize, to: usize) -> SocketAddr {
        self.addresses[from][to]
    }

    /// Changes the faults of all relays.
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults());
    }

    /// Number of frames of a version that a front has sent.
    pub fn sent_in(&self, front: usize, version: u8) -> u64 {
        let versions = self.shared.versions.lock().unwrap_or_else(PoisonError::into_inner);
        versions.get(&(front, version)).copied().unwrap_or(0)
    }

    /// Number of datagrams forwarded, and dropped by the relays.
    pub fn counts(&self) -> (u64, u64) {
        (self.shared.passed.load(Ordering::Relaxed), self.shared.lost.load(Ordering::Relaxed))
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // The message of a panic has been printed by the thread already.
            let _ = thread.join();
        }
    }
}

/// Relays datagrams of one path until the relays are dropped.
fn relay(socket: &UdpSocket, to: SocketAddr, pair: (usize, usize), shared: &Shared, mut rng: ChaCha8Rng) {
    let mut delayed: Vec<(Instant, Vec<u8>)> = Vec::new();
    let mut buffer = vec![0; 65_536];
    while !shared.ended.load(Ordering::Relaxed) {
        if let Ok((size, _)) = socket.recv_from(&mut buffer) {
            let faults = shared.faults().clone();
            let mut bytes = buffer[..size].to_vec();
            if let Some(version) = bytes.get(2) {
                let mut versions = shared.versions.lock().unwrap_or_else(PoisonError::into_inner);
                *versions.entry((pair.0, *version)).or_default() += 1;
            }
            let lost = faults.cut.contains(&pair) || rng.random::<f64>() < faults.loss;
            if lost || delayed.len() >= MAX_DELAYED {
                shared.lost.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            if rng.random::<f64>() < faults.garble && size > 0 {
                bytes[rng.random_range(0..size)] ^= rng.random_range(1..=255u8);
            }
            let copies = if rng.random::<f64>() < faults.double { 2 } else { 1 };
            for _ in 0..copies {
                delayed.push((Instant::now() + faults.delay.mul_f64(rng.random()), bytes.clone()));
            }
        }
        let now = Instant::now();
        delayed.retain(|(send_at, bytes)| {
            if *send_at > now {
                return true;
            }
            // An error means that the front is down: the datagram is lost, as on a network.
            let _ = socket.send_to(bytes, to);
            shared.passed.fetch_add(1, Ordering::Relaxed);
            false
        });
    }
}
