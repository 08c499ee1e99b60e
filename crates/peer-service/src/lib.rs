//! A front's place among the others on sockets: one UDP socket, a coroutine that reads it and a thread that owns the
//! core. What becomes known goes to a callback; what this front tells comes over a bounded mailbox, and no
//! sender of it ever waits. Nothing is decided here.

mod owner;
mod persistence;
mod sites;

pub use owner::{FleetCommand, FleetNotice, FleetStatus};
pub use persistence::{Persistence, PersistenceState};

use may::net::UdpSocket;
use owner::{Directory, Letter, Owner};
use persistence::Persister;
use shalespindle_peer_store::Store;
use shalespindle_peer_wire::{front_id, Codec};
use shalespindle_replica::{Fleet, FleetParams};
use shalespindle_sites::{Order, SiteTable, Sites, SitesError, SitesParams};
use shalespindle_sockets::{end, mailbox, start, Handle, Mailbox, MonotonicClock, SMALL_STACK};
use sites::SitesOwner;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Letters that may wait for the owner; past that datagrams wait in their socket and are lost there.
const ROOM: usize = 1024;
/// An owner that does not answer a question within this has ended.
const ANSWERED_WITHIN: Duration = Duration::from_secs(5);

/// What a front among others is started with.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub name: String,
    pub listen: SocketAddr,
    /// The other fronts: name, and where their datagrams go.
    pub peers: Vec<(String, SocketAddr)>,
    pub key: [u8; 32],
    pub params: FleetParams,
    /// Draws the order in which others are told, and the nonce of this life.
    pub seed: u64,
    /// None: nothing outlives the process.
    pub persistence: Option<Persistence>,
    /// Sites that the fleet judges; none: nothing is told or heeded of any.
    pub sites: Option<(SitesParams, SiteTable)>,
}

/// A front among others; dropping it leaves in order and leaves nothing running.
pub struct FleetService {
    address: SocketAddr,
    mailbox: Mailbox<Letter>,
    reader: Option<Handle>,
    owner: Option<JoinHandle<()>>,
    /// What is kept, once the owner has ended.
    store: mpsc::Receiver<Store>,
}

/// Tells the others; cheap to clone.
#[derive(Clone)]
pub struct FleetHandle(Mailbox<Letter>);

impl FleetHandle {
    /// Never waits: what is said comes from the front's own list and operators, not from peers.
    pub fn publish(&self, sayings: Vec<FleetCommand>) {
        let _ = self.0.send_unbounded(Letter::Say(sayings));
    }

    /// An operator's order on a site, for all fronts, waited for on the caller's thread; none once the owner has ended.
    pub fn order(&self, site: String, order: Order, lasts: f64) -> Option<Result<(), SitesError>> {
        let (to, from) = mpsc::channel();
        self.0.send_unbounded(Letter::Order { site, order, lasts, to }).ok()?;
        from.recv_timeout(ANSWERED_WITHIN).ok()
    }

    /// The list of the other fronts changed: name, and where their datagrams go.
    pub fn set_peers(&self, peers: Vec<(String, SocketAddr)>) {
        let _ = self.0.send_unbounded(Letter::Relist(peers));
    }

    /// How the fronts stand, waited for on the caller's thread; none once the owner has ended.
    pub fn status(&self) -> Option<FleetStatus> {
        let (to, from) = mpsc::channel();
        self.0.send_unbounded(Letter::Ask(to)).ok()?;
        from.recv_timeout(ANSWERED_WITHIN).ok()
    }
}

impl FleetService {
    /// Opens the socket and starts; the port may be 0 for any free one.
    pub fn start(
        what: FleetConfig,
        ground: MonotonicClock,
        heard: impl FnMut(FleetNotice) + Send + 'static,
    ) -> io::Result<FleetService> {
        let udp = UdpSocket::bind(what.listen)?;
        let address = udp.local_addr()?;
        let writer = udp.try_clone()?;
        let own = front_id(&what.name);
        let directory = Directory::new(&what.name, what.peers);
        let now = ground.now();
        let (mut persister, kept) = Persister::open(what.persistence.as_ref(), own, now);
        let life = persistence::life(kept.as_ref(), own, what.seed);
        let (most, fanout, bytes) =
            (what.params.peers.max_fronts, what.params.peers.fanout, what.params.max_message_bytes);
        let sites = what.sites.map(|(params, table)| Sites::new(params, table, own, what.seed, now));
        let mut fleet = Fleet::new(what.params, own, life, &directory.listed(), what.seed, now);
        persister.restore(now, &mut fleet, kept);
        let codec = Codec::new(what.key, own, most);
        let (sending, mail) = mailbox(ROOM);
        let reader = read(udp, sending.clone())?;
        let (last, store) = mpsc::channel();
        let (udp, heard, traffic) = (writer, Box::new(heard), Default::default());
        let sites = sites.map(|core| SitesOwner { core, fanout, bytes });
        let owner =
            Owner { fleet, sites, persister, codec, udp, directory, ground, mail, heard, traffic, last };
        // A thread of its own: its turns over many facts are long, and would hold up a front's owner that shares a
        // worker of the coroutines with it.
        let owner = match std::thread::Builder::new().name("fleet".into()).spawn(move || owner.run()) {
            Ok(owner) => owner,
            Err(why) => {
                end(reader);
                return Err(why);
            }
        };
        Ok(FleetService { address, mailbox: sending, reader: Some(reader), owner: Some(owner), store })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn handle(&self) -> FleetHandle {
        FleetHandle(self.mailbox.clone())
    }
}

fn read(udp: UdpSocket, mailbox: Mailbox<Letter>) -> io::Result<Handle> {
    start(SMALL_STACK, move || {
        let mut buffer = vec![0; 65_536];
        loop {
            // An error here tells of a datagram of our own that nobody took.
            let Ok((size, _)) = udp.recv_from(&mut buffer) else { continue };
            if mailbox.send(Letter::Datagram(buffer[..size].to_vec())).is_err() {
                return;
            }
        }
    })
}

impl Drop for FleetService {
    fn drop(&mut self) {
        let _ = self.mailbox.send_unbounded(Letter::Leave);
        if let Some(owner) = self.owner.take() {
            // A panic in the owner has been reported by its own message.
            let _ = owner.join();
        }
        if let Some(reader) = self.reader.take() {
            end(reader);
        }
        // The last step is waited for here, on the caller's thread.
        drop(self.store.try_recv());
    }
}
