//! Relays of datagrams, one for each ordered pair of fronts, in user space.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Between two looks at what is due.
const TICK: Duration = Duration::from_millis(2);
/// Datagrams held by one relay at most.
const MOST_HELD: usize = 4096;

/// What relays do to what passes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Parts of the datagrams that are lost, doubled, garbled.
    pub loss: f64,
    pub double: f64,
    pub garble: f64,
    /// Longest delay; each datagram gets one of its own, so that they overtake each other.
    pub delay: Duration,
    /// Pairs that do not hear: from, to.
    pub cut: BTreeSet<(usize, usize)>,
}

struct Shared {
    faults: Mutex<Faults>,
    ended: AtomicBool,
    passed: AtomicU64,
    lost: AtomicU64,
    /// Frames by their version byte, as they came from a front.
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
    /// Where front `from` sends what is for front `to`.
    addresses: Vec<Vec<SocketAddr>>,
    threads: Vec<JoinHandle<()>>,
}

impl Relays {
    /// Between fronts that listen there.
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

    /// No relays: fronts send straight to each other, and no fault can be set. For fleets too large for a thread a pair.
    pub fn direct(fronts: &[SocketAddr], seed: u64) -> io::Result<Relays> {
        let mut relays = Relays::start(&[], seed)?;
        relays.addresses = vec![fronts.to_vec(); fronts.len()];
        Ok(relays)
    }

    pub fn address(&self, from: usize, to: usize) -> SocketAddr {
        self.addresses[from][to]
    }

    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults());
    }

    /// Frames that a front sent in that version.
    pub fn sent_in(&self, front: usize, version: u8) -> u64 {
        let versions = self.shared.versions.lock().unwrap_or_else(PoisonError::into_inner);
        versions.get(&(front, version)).copied().unwrap_or(0)
    }

    /// Datagrams passed on, and lost here.
    pub fn counts(&self) -> (u64, u64) {
        (self.shared.passed.load(Ordering::Relaxed), self.shared.lost.load(Ordering::Relaxed))
    }
}

impl Drop for Relays {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A panic in a relay has been reported by its own message.
            let _ = thread.join();
        }
    }
}

fn relay(socket: &UdpSocket, to: SocketAddr, pair: (usize, usize), shared: &Shared, mut rng: ChaCha8Rng) {
    let mut held: Vec<(Instant, Vec<u8>)> = Vec::new();
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
            if lost || held.len() >= MOST_HELD {
                shared.lost.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            if rng.random::<f64>() < faults.garble && size > 0 {
                bytes[rng.random_range(0..size)] ^= rng.random_range(1..=255u8);
            }
            let times = if rng.random::<f64>() < faults.double { 2 } else { 1 };
            for _ in 0..times {
                held.push((Instant::now() + faults.delay.mul_f64(rng.random()), bytes.clone()));
            }
        }
        let now = Instant::now();
        held.retain(|(due, bytes)| {
            if *due > now {
                return true;
            }
            // A front that is down takes nothing: lost like any datagram.
            let _ = socket.send_to(bytes, to);
            shared.passed.fetch_add(1, Ordering::Relaxed);
            false
        });
    }
}
