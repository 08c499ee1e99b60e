//! The thread that owns the fleet's state machines: handles messages, advances the state, sends frames.

use crate::persistence::{PersistenceState, Persister};
use crate::sites::SitesDriver;
use may::net::UdpSocket;
use serde::{Deserialize, Serialize};
use shalespindle_peer_store::Store;
use shalespindle_peer_wire::{front_id, Body, Codec, DropCounts};
use shalespindle_peers::{Change, FrontId, State};
use shalespindle_replica::{CallRecord, Fleet, FleetEvent, Output, ServerRecord};
use shalespindle_sites::{Order, Restrictions, Sample, SitesError, SitesStatus};
use shalespindle_sockets::{MailboxReceiver, MonotonicClock};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc;
use tracing::{info, warn};

/// Maximum number of messages that are handled before the state machines advance.
const MAX_BATCH: usize = 128;

/// A state change that this front publishes to the fleet, or a query of the fleet's state.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetCommand {
    /// The pool list of this front reported a state of a server.
    Server { address: SocketAddr, record: ServerRecord },
    /// An operator pinned a level on all fronts for `valid_for` seconds; `None` removes the pin.
    Level { level: Option<u8>, valid_for: f64 },
    /// A call was established here; without a record it has ended.
    Call { call: u64, record: Option<Box<CallRecord>> },
    /// This front's observations of the sites, and the load requested of it.
    SitesObserved(Sample),
    /// Finds a call by the hash of its dialog with the caller, or with the server if `by_leg`, and ends it.
    /// [`FleetNotice::CallFound`] is the answer.
    FindCall { ticket: u64, name: u64, by_leg: bool },
}

/// A message from the fleet to this front.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetNotice {
    /// A change of the fleet's state.
    Event(FleetEvent),
    /// The restrictions that follow from the states of the sites.
    SitesRestricted(Restrictions),
    /// The answer to [`FleetCommand::FindCall`]. `known`: the call is one of the fleet's; a known call
    /// without a record has been released already.
    CallFound { ticket: u64, known: bool, record: Option<Box<CallRecord>> },
}

/// A message to the owner.
pub(crate) enum OwnerMessage {
    /// A received datagram, not verified yet.
    Datagram(Vec<u8>),
    /// Commands of this front, in order.
    Publish(Vec<FleetCommand>),
    /// A request for the fleet's state.
    Status(mpsc::Sender<FleetStatus>),
    /// An operator's order on a site, for `lasts` seconds.
    SiteOrder { site: String, order: Order, lasts: f64, reply_to: mpsc::Sender<Result<(), SitesError>> },
    /// The new list of the other fronts: name and UDP address.
    SetPeers(Vec<(String, SocketAddr)>),
    /// The front is shutting down: announce the departure and end.
    Leave,
}

/// The state of this front and its peers, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    pub name: String,
    /// Number and nonce of this process's incarnation.
    #[serde(rename = "life")]
    pub incarnation: (u64, u64),
    /// Another process uses this front's name: this one publishes no facts of its own.
    pub silenced: bool,
    /// No other front is alive from here.
    #[serde(rename = "alone")]
    pub isolated: bool,
    /// A digest from a peer has arrived, and this front has everything that the digest named.
    pub caught_up: bool,
    /// Number of facts of its own that it publishes.
    pub own_facts: usize,
    #[serde(rename = "own_mark")]
    pub own_digest: u64,
    pub peers: Vec<PeerStatus>,
    /// How often fronts' reports on a server have conflicted, and the conflicts at present.
    #[serde(rename = "met")]
    pub conflict_count: u64,
    #[serde(rename = "differ")]
    pub conflicts: Vec<ServerConflict>,
    /// Calls that two or more fronts released: hexadecimal name, fronts.
    #[serde(rename = "doubles")]
    pub double_releases: Vec<(String, Vec<String>)>,
    pub counts: BTreeMap<String, u64>,
    /// Whether the state is persisted.
    #[serde(rename = "kept")]
    pub persistence: PersistenceState,
    /// None if the settings define no sites.
    #[serde(default)]
    pub sites: Option<SitesStatus>,
}

/// The state of one peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    pub name: String,
    pub state: String,
    /// Seconds since its heartbeat last increased.
    pub quiet_for: f64,
    /// Number of facts in the replica of it, and number of its changes known to be missing here.
    pub facts: usize,
    pub behind: u64,
    /// Equal on fronts whose replicas of it are equal.
    #[serde(rename = "mark")]
    pub digest: u64,
}

/// A server of which the pool lists of several fronts report different states.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerConflict {
    pub address: SocketAddr,
    pub incarnation: u64,
    /// Front and the state reported to it.
    #[serde(rename = "words")]
    pub reports: Vec<(String, String)>,
    /// The state that counts on all fronts.
    #[serde(rename = "settled")]
    pub resolved: String,
    /// Seconds since the conflict was found.
    #[serde(rename = "for_s")]
    pub duration_s: f64,
}

/// Names and addresses of the fronts.
pub(crate) struct Directory {
    addresses: BTreeMap<FrontId, SocketAddr>,
    names: BTreeMap<FrontId, String>,
}

impl Directory {
    pub fn new(own: &str, peers: Vec<(String, SocketAddr)>) -> Directory {
        let names = BTreeMap::from([(front_id(own), own.to_string())]);
        let mut directory = Directory { addresses: BTreeMap::new(), names };
        directory.set_peers(peers);
        directory
    }

    /// Replaces the addresses. Names of fronts that left the list stay, because facts of theirs may still be
    /// shown.
    fn set_peers(&mut self, peers: Vec<(String, SocketAddr)>) {
        self.addresses = peers.iter().map(|(name, address)| (front_id(name), *address)).collect();
        self.names.extend(peers.into_iter().map(|(name, _)| (front_id(&name), name)));
    }

    /// Ids of the listed peers.
    pub fn listed(&self) -> Vec<FrontId> {
        self.addresses.keys().copied().collect()
    }

    /// The name of a front, or its id in hexadecimal if the name is unknown.
    fn name(&self, front: FrontId) -> String {
        self.names.get(&front).cloned().unwrap_or_else(|| format!("{:016x}", front.0))
    }
}

/// Counters of the socket's traffic.
#[derive(Default)]
pub(crate) struct Traffic {
    sent: u64,
    sent_bytes: u64,
    /// Frames that could not be sent; their content is sent again later.
    unsent: u64,
    received_bytes: u64,
}

/// The state of the owner's thread.
pub(crate) struct Owner {
    pub fleet: Fleet,
    pub sites: Option<SitesDriver>,
    pub persister: Persister,
    pub codec: Codec,
    pub udp: UdpSocket,
    pub directory: Directory,
    pub clock: MonotonicClock,
    pub receiver: MailboxReceiver<OwnerMessage>,
    pub on_notice: Box<dyn FnMut(FleetNotice) + Send>,
    pub traffic: Traffic,
    /// Receives the store when the owner ends, so that another thread waits for the final write.
    pub store_sender: mpsc::Sender<Store>,
}

impl Owner {
    /// Runs until [`OwnerMessage::Leave`].
    pub fn run(mut self) {
        loop {
            let sites = self.sites.as_ref().map_or(f64::INFINITY, |sites| sites.core.next_tick_at());
            let mut next =
                self.receiver.recv_timeout(self.clock.duration_until(self.fleet.next_wakeup().min(sites)));
            let mut handled = 0;
            while let Some(message) = next {
                if !self.handle(message) {
                    if let Some(store) = self.persister.finish(self.clock.now(), &mut self.fleet) {
                        // If nobody receives it, the store is dropped here.
                        let _ = self.store_sender.send(store);
                    }
                    return;
                }
                handled += 1;
                next = if handled < MAX_BATCH { self.receiver.try_recv() } else { None };
            }
            self.fleet.turn(self.clock.now());
            self.persister.turn(self.clock.now(), &mut self.fleet);
            if let Some(sites) = &mut self.sites {
                sites.tick(self.clock.now(), self.fleet.peers());
            }
            self.dispatch_outputs();
        }
    }

    /// Handles one message; false if the owner is to end.
    fn handle(&mut self, message: OwnerMessage) -> bool {
        let now = self.clock.now();
        match message {
            OwnerMessage::Datagram(bytes) => {
                self.traffic.received_bytes += bytes.len() as u64;
                match (self.codec.read(&bytes), &mut self.sites) {
                    (Ok((from, Body::Fleet(message))), _) => self.fleet.receive(now, from, message),
                    (Ok((from, Body::Sites(message))), Some(sites)) => {
                        sites.core.receive(now, self.fleet.peers(), from, message);
                    }
                    // Invalid frames, which the codec counts; messages on sites at a front without sites;
                    // messages of coordinators.
                    (Err(_), _) | (Ok((_, Body::Sites(_) | Body::Coordinator(_))), _) => {}
                }
            }
            OwnerMessage::Publish(commands) => {
                commands.into_iter().for_each(|command| self.publish(now, command))
            }
            // The requester may have stopped waiting.
            OwnerMessage::Status(reply_to) => drop(reply_to.send(self.status(now))),
            OwnerMessage::SiteOrder { site, order, lasts, reply_to } => {
                let result = match &mut self.sites {
                    Some(sites) => sites.core.apply_order(now, &site, order, lasts),
                    None => Err(SitesError::Disabled),
                };
                // The requester may have stopped waiting.
                let _ = reply_to.send(result);
            }
            OwnerMessage::SetPeers(peers) => self.set_peers(now, peers),
            OwnerMessage::Leave => {
                self.fleet.leave(now);
                self.dispatch_outputs();
                return false;
            }
        }
        true
    }

    fn publish(&mut self, now: f64, command: FleetCommand) {
        match command {
            FleetCommand::Server { address, record } => self.fleet.publish_server(now, address, record),
            FleetCommand::Level { level, valid_for } => {
                let by = self.directory.name(self.fleet.replicas().own());
                self.fleet.publish_level(now, level, valid_for, &by);
            }
            FleetCommand::Call { call, record } => {
                self.fleet.publish_call(now, call, record.map(|record| *record))
            }
            FleetCommand::SitesObserved(sample) => {
                if let Some(sites) = &mut self.sites {
                    sites.core.record_sample(now, self.fleet.peers(), &sample);
                }
            }
            FleetCommand::FindCall { ticket, name, by_leg } => {
                let found = self.fleet.end_call(now, name, by_leg);
                let (known, record) = (found.is_some(), found.and_then(|found| found.1).map(Box::new));
                (self.on_notice)(FleetNotice::CallFound { ticket, known, record });
            }
        }
    }

    /// Sends frames, reports notices and writes log lines for all pending outputs.
    fn dispatch_outputs(&mut self) {
        while let Some(output) = self.fleet.next_output() {
            match output {
                Output::Send { to, message } => self.send(to, message),
                Output::Peer(change) => self.log(change),
            }
        }
        while let Some(event) = self.fleet.next_event() {
            (self.on_notice)(FleetNotice::Event(event));
        }
        while let Some(output) = self.sites.as_mut().and_then(|sites| sites.core.next_output()) {
            match output {
                shalespindle_sites::Output::Send { to, message } => {
                    let frame = self.codec.write_sites(to, self.fleet.incarnation(), message);
                    self.send_frame(to, frame);
                }
                shalespindle_sites::Output::Restrict(restrictions) => {
                    (self.on_notice)(FleetNotice::SitesRestricted(restrictions))
                }
                output => {
                    if let Some(sites) = &self.sites {
                        sites.log(&output);
                    }
                }
            }
        }
    }

    fn send(&mut self, to: FrontId, message: shalespindle_replica::Message) {
        let frame = self.codec.write(to, self.fleet.incarnation(), message);
        self.send_frame(to, frame);
    }

    fn send_frame(&mut self, to: FrontId, frame: Option<Vec<u8>>) {
        let Some(address) = self.directory.addresses.get(&to) else { return };
        let Some(frame) = frame else {
            self.traffic.unsent += 1;
            return;
        };
        // Never blocks: a frame that does not fit into the socket's buffer is lost like any datagram, and its
        // content is requested again.
        match self.udp.inner().send_to(&frame, address) {
            Ok(size) => {
                (self.traffic.sent, self.traffic.sent_bytes) =
                    (self.traffic.sent + 1, self.traffic.sent_bytes + size as u64)
            }
            Err(_) => self.traffic.unsent += 1,
        }
    }

    fn set_peers(&mut self, now: f64, peers: Vec<(String, SocketAddr)>) {
        self.directory.set_peers(peers);
        let listed = self.directory.listed();
        info!(target: "shalespindle::fleet", fronts = listed.len(), "the list of fronts changed");
        self.fleet.relist(now, &listed);
    }

    fn log(&self, change: Change) {
        match change {
            Change::State { front, from, to } => {
                let (peer, from, to) = (self.directory.name(front), from.name(), to.name());
                match change {
                    Change::State { to: State::Suspect | State::Gone, .. } => {
                        warn!(target: "shalespindle::fleet", peer, from, to, "peer")
                    }
                    _ => info!(target: "shalespindle::fleet", peer, from, to, "peer"),
                }
            }
            Change::Restarted { front } => {
                info!(target: "shalespindle::fleet", peer = self.directory.name(front), "peer restarted")
            }
            Change::Renewed { incarnation } => warn!(
                target: "shalespindle::fleet", number = incarnation.number,
                "peers know a later incarnation of this front: a clock set back, or a second process"
            ),
            Change::Silenced => tracing::error!(
                target: "shalespindle::fleet",
                "another process uses this front's name: this one publishes nothing any more"
            ),
            Change::Isolated(true) => warn!(target: "shalespindle::fleet", "no other front is alive"),
            Change::Isolated(false) => info!(target: "shalespindle::fleet", "other fronts are alive again"),
        }
    }

    fn status(&self, now: f64) -> FleetStatus {
        let status = self.fleet.status(now);
        let dropped = self.codec.dropped();
        let counts = status.counts;
        let DropCounts { too_large, not_a_frame, version, forged, malformed, not_for_us, replayed } = dropped;
        let values = [
            ("digests", counts.digests),
            ("parts", counts.deltas),
            ("parts_known", counts.already_known),
            ("parts_after_a_gap", counts.gaps),
            ("of_old_lives", counts.old_incarnations),
            ("parts_bad", counts.invalid),
            ("of_strangers", counts.unlisted),
            ("held_up", counts.late_turns),
            ("facts_without_room", counts.rejected_full),
            ("calls_held_for_the_dead", status.calls.orphans as u64),
            ("calls_claimed", status.calls.claims as u64),
            ("calls_taken_back", status.calls.recovered),
            ("calls_released_for_the_dead", status.calls.released),
            ("calls_found", status.calls.found),
            ("calls_released_twice", status.calls.double_releases),
            ("frames_large", too_large),
            ("frames_foreign", not_a_frame),
            ("frames_of_other_versions", version),
            ("frames_forged", forged),
            ("frames_of_bad_form", malformed),
            ("frames_not_for_us", not_for_us),
            ("frames_replayed", replayed),
            ("frames_sent", self.traffic.sent),
            ("frames_unsent", self.traffic.unsent),
            ("bytes_sent", self.traffic.sent_bytes),
            ("bytes_taken", self.traffic.received_bytes),
        ];
        let peers = status.peers.iter().map(|peer| PeerStatus {
            name: self.directory.name(peer.front),
            state: peer.state.name().into(),
            quiet_for: peer.quiet_for,
            facts: peer.facts,
            behind: peer.behind,
            digest: peer.digest,
        });
        let conflicts = status.conflicts.iter().map(|conflict| ServerConflict {
            address: conflict.address,
            incarnation: conflict.incarnation,
            reports: conflict
                .reports
                .iter()
                .map(|report| (self.directory.name(report.0), state_name(report.1)))
                .collect(),
            resolved: state_name(conflict.resolved),
            duration_s: now - conflict.since,
        });
        let double_releases = status.double_releases.iter().map(|(call, fronts)| {
            (format!("{call:016x}"), fronts.iter().map(|f| self.directory.name(*f)).collect::<Vec<String>>())
        });
        let mut counts: BTreeMap<String, u64> =
            values.into_iter().map(|(name, n)| (name.to_string(), n)).collect();
        self.persister.add_counts(now, &mut counts);
        FleetStatus {
            name: self.directory.name(self.fleet.replicas().own()),
            incarnation: (status.incarnation.number, status.incarnation.nonce),
            silenced: status.silenced,
            isolated: status.isolated,
            caught_up: status.caught_up,
            own_facts: status.own_facts,
            own_digest: status.own_digest,
            peers: peers.collect(),
            conflict_count: status.conflict_count,
            conflicts: conflicts.collect(),
            double_releases: double_releases.collect(),
            counts,
            persistence: self.persister.state(),
            sites: self.sites.as_ref().map(|sites| sites.core.status(now, self.fleet.peers())),
        }
    }
}

/// The state as operators see it: the variant's name in lower case.
fn state_name(state: shalespindle_replica::ReportedState) -> String {
    format!("{state:?}").to_lowercase()
}
