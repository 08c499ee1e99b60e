//! Runs a front's part in the fleet over UDP: one socket, a coroutine that reads it and a thread that owns
//! the state machines (`shalespindle_replica::Fleet` and `shalespindle_sites::Sites`), which make all
//! decisions.
//!
//! Notices from the fleet go to a callback. Commands of this front arrive over a mailbox whose senders never
//! block. Only datagrams count against the mailbox's capacity.

mod owner;
mod persistence;
mod sites;

pub use owner::{FleetCommand, FleetNotice, FleetStatus};
pub use persistence::{Persistence, PersistenceState};

use may::net::UdpSocket;
use owner::{Directory, Owner, OwnerMessage};
use persistence::Persister;
use shalespindle_peer_store::Store;
use shalespindle_peer_wire::{front_id, Codec};
use shalespindle_replica::{Fleet, FleetParams};
use shalespindle_sites::{Order, SiteTable, Sites, SitesError, SitesParams};
use shalespindle_sockets::{end, mailbox, start, Handle, Mailbox, MonotonicClock, SMALL_STACK};
use sites::SitesDriver;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Capacity of the owner's mailbox for datagrams. When it is full they wait in the socket's buffer, and the
/// kernel drops what does not fit there.
const MAILBOX_CAPACITY: usize = 1024;
/// Timeout of a request to the owner; an owner that exceeds it is treated as ended.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Configuration of a [`FleetService`].
#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub name: String,
    pub listen: SocketAddr,
    /// The other fronts: name and UDP address.
    pub peers: Vec<(String, SocketAddr)>,
    /// Key of the frames' hashes, the same on all fronts.
    pub key: [u8; 32],
    pub params: FleetParams,
    /// Seeds the random choice of peers, and is the nonce of this incarnation.
    pub seed: u64,
    /// None: no state is persisted.
    pub persistence: Option<Persistence>,
    /// The sites whose state the fleet decides; none: this front neither reports nor uses site states.
    pub sites: Option<(SitesParams, SiteTable)>,
}

/// A running member of the fleet. Dropping it announces the departure, then ends the thread and the
/// coroutine.
pub struct FleetService {
    address: SocketAddr,
    mailbox: Mailbox<OwnerMessage>,
    reader: Option<Handle>,
    owner: Option<JoinHandle<()>>,
    /// Yields the store once the owner has ended.
    store: mpsc::Receiver<Store>,
}

/// Sends commands and requests to a [`FleetService`]; cheap to clone.
#[derive(Clone)]
pub struct FleetHandle(Mailbox<OwnerMessage>);

impl FleetHandle {
    /// Queues commands without blocking. They come from the front itself and from operators, not from peers,
    /// so the mailbox's capacity does not apply to them.
    pub fn publish(&self, commands: Vec<FleetCommand>) {
        let _ = self.0.send_unbounded(OwnerMessage::Publish(commands));
    }

    /// Applies an operator's order on a site, for all fronts. Blocks the calling thread until the reply; none
    /// once the owner has ended. `lasts` is in seconds.
    pub fn order(&self, site: String, order: Order, lasts: f64) -> Option<Result<(), SitesError>> {
        let (reply_to, reply) = mpsc::channel();
        self.0.send_unbounded(OwnerMessage::SiteOrder { site, order, lasts, reply_to }).ok()?;
        reply.recv_timeout(REPLY_TIMEOUT).ok()
    }

    /// Replaces the list of the other fronts: name and UDP address.
    pub fn set_peers(&self, peers: Vec<(String, SocketAddr)>) {
        let _ = self.0.send_unbounded(OwnerMessage::SetPeers(peers));
    }

    /// Returns the state of the fleet as this front knows it. Blocks the calling thread until the reply; none
    /// once the owner has ended.
    pub fn status(&self) -> Option<FleetStatus> {
        let (reply_to, reply) = mpsc::channel();
        self.0.send_unbounded(OwnerMessage::Status(reply_to)).ok()?;
        reply.recv_timeout(REPLY_TIMEOUT).ok()
    }
}

impl FleetService {
    /// Opens the socket and starts the threads; port 0 selects any free one. `on_notice` is called on the
    /// owner's thread.
    pub fn start(
        config: FleetConfig,
        clock: MonotonicClock,
        on_notice: impl FnMut(FleetNotice) + Send + 'static,
    ) -> io::Result<FleetService> {
        let udp = UdpSocket::bind(config.listen)?;
        let address = udp.local_addr()?;
        let writer = udp.try_clone()?;
        let own = front_id(&config.name);
        let directory = Directory::new(&config.name, config.peers);
        let now = clock.now();
        let (mut persister, snapshot) = Persister::open(config.persistence.as_ref(), own, now);
        let incarnation = persistence::new_incarnation(snapshot.as_ref(), own, config.seed);
        let (max_fronts, fanout, max_message_bytes) =
            (config.params.peers.max_fronts, config.params.peers.fanout, config.params.max_message_bytes);
        let sites = config.sites.map(|(params, table)| Sites::new(params, table, own, config.seed, now));
        let mut fleet = Fleet::new(config.params, own, incarnation, &directory.listed(), config.seed, now);
        persister.restore(now, &mut fleet, snapshot);
        let codec = Codec::new(config.key, own, max_fronts);
        let (mailbox, receiver) = mailbox(MAILBOX_CAPACITY);
        let reader = read(udp, mailbox.clone())?;
        let (store_sender, store) = mpsc::channel();
        let (udp, on_notice, traffic) = (writer, Box::new(on_notice), Default::default());
        let sites = sites.map(|core| SitesDriver { core, fanout, max_message_bytes });
        let owner = Owner {
            fleet,
            sites,
            persister,
            codec,
            udp,
            directory,
            clock,
            receiver,
            on_notice,
            traffic,
            store_sender,
        };
        // A separate thread instead of a coroutine: a turn over many facts takes long and would delay a
        // front's owner that shares a coroutine worker with it.
        let owner = match std::thread::Builder::new().name("fleet".into()).spawn(move || owner.run()) {
            Ok(owner) => owner,
            Err(why) => {
                end(reader);
                return Err(why);
            }
        };
        Ok(FleetService { address, mailbox, reader: Some(reader), owner: Some(owner), store })
    }

    /// The local address of the UDP socket.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle for commands and requests.
    pub fn handle(&self) -> FleetHandle {
        FleetHandle(self.mailbox.clone())
    }
}

/// Starts the coroutine that passes datagrams to the owner.
fn read(udp: UdpSocket, mailbox: Mailbox<OwnerMessage>) -> io::Result<Handle> {
    start(SMALL_STACK, move || {
        let mut buffer = vec![0; 65_536];
        loop {
            // An error here reports an earlier datagram from this socket that was not delivered (ICMP).
            let Ok((size, _)) = udp.recv_from(&mut buffer) else { continue };
            if mailbox.send(OwnerMessage::Datagram(buffer[..size].to_vec())).is_err() {
                return;
            }
        }
    })
}

impl Drop for FleetService {
    fn drop(&mut self) {
        let _ = self.mailbox.send_unbounded(OwnerMessage::Leave);
        if let Some(owner) = self.owner.take() {
            // A panic in the owner has been reported by its own message.
            let _ = owner.join();
        }
        if let Some(reader) = self.reader.take() {
            end(reader);
        }
        // Dropping the store blocks the calling thread until the final write is done.
        drop(self.store.try_recv());
    }
}
