//! The thread that owns the core: letters in, turns, frames out.

use crate::persistence::{PersistenceState, Persister};
use crate::sites::SitesOwner;
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

/// Letters handled before the core's turn.
const BATCH: usize = 128;

/// What this front tells the others.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetCommand {
    /// Its pool list told this of a server.
    Server { address: SocketAddr, record: ServerRecord },
    /// An operator's word on the level for all fronts; none lets it go.
    Level { level: Option<u8>, valid_for: f64 },
    /// A call stands here, or stands no more.
    Call { call: u64, record: Option<Box<CallRecord>> },
    /// What this front sees of sites, and what is asked of it.
    SitesObserved(Sample),
    /// Whose call is it, by the name of its dialog with the caller or with the server; [`FleetNotice::CallFound`] answers.
    FindCall { ticket: u64, name: u64, by_leg: bool },
}

/// What this front hears of the others.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetNotice {
    Event(FleetEvent),
    /// What the fleet's word on sites leaves this front.
    SitesRestricted(Restrictions),
    /// Known: one of the fleet's; without the word it has been released already.
    CallFound {
        ticket: u64,
        known: bool,
        record: Option<Box<CallRecord>>,
    },
}

/// What reaches the owner.
pub(crate) enum Letter {
    Datagram(Vec<u8>),
    /// What this front tells, in its order.
    Say(Vec<FleetCommand>),
    Ask(mpsc::Sender<FleetStatus>),
    /// An operator's order on a site.
    Order {
        site: String,
        order: Order,
        lasts: f64,
        to: mpsc::Sender<Result<(), SitesError>>,
    },
    /// The list of the other fronts changed.
    Relist(Vec<(String, SocketAddr)>),
    Leave,
}

/// How the fronts stand, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    pub name: String,
    /// Number and nonce of this process's life.
    #[serde(rename = "life")]
    pub incarnation: (u64, u64),
    /// Another process holds this name: this one says nothing of its own.
    pub silenced: bool,
    /// It misses every other front at once.
    #[serde(rename = "alone")]
    pub isolated: bool,
    /// Whether it has what a peer had.
    pub caught_up: bool,
    /// Facts of its own that it tells.
    pub own_facts: usize,
    #[serde(rename = "own_mark")]
    pub own_digest: u64,
    pub peers: Vec<PeerStatus>,
    /// How often copies that differ have met, and those that differ now.
    #[serde(rename = "met")]
    pub conflict_count: u64,
    #[serde(rename = "differ")]
    pub conflicts: Vec<ServerConflict>,
    /// Calls that two or more fronts released: name, fronts.
    #[serde(rename = "doubles")]
    pub double_releases: Vec<(String, Vec<String>)>,
    pub counts: BTreeMap<String, u64>,
    /// What outlives the process.
    #[serde(rename = "kept")]
    pub persistence: PersistenceState,
    /// None where the settings name no sites.
    #[serde(default)]
    pub sites: Option<SitesStatus>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    pub name: String,
    pub state: String,
    /// Seconds since its beat last rose.
    pub quiet_for: f64,
    /// Facts held of it, and how many changes of it are known to be missing here.
    pub facts: usize,
    pub behind: u64,
    /// Equal on fronts whose copies of it are equal.
    #[serde(rename = "mark")]
    pub digest: u64,
}

/// One server of which fronts were told different things.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerConflict {
    pub address: SocketAddr,
    pub incarnation: u64,
    /// Front and what it was told.
    #[serde(rename = "words")]
    pub reports: Vec<(String, String)>,
    #[serde(rename = "settled")]
    pub resolved: String,
    /// Seconds since they met.
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
        directory.relist(peers);
        directory
    }

    /// Names of those that left the list stay: what they said may still be shown.
    fn relist(&mut self, peers: Vec<(String, SocketAddr)>) {
        self.addresses = peers.iter().map(|(name, address)| (front_id(name), *address)).collect();
        self.names.extend(peers.into_iter().map(|(name, _)| (front_id(&name), name)));
    }

    /// The others on the list.
    pub fn listed(&self) -> Vec<FrontId> {
        self.addresses.keys().copied().collect()
    }

    fn name(&self, front: FrontId) -> String {
        self.names.get(&front).cloned().unwrap_or_else(|| format!("{:016x}", front.0))
    }
}

/// What went over the socket.
#[derive(Default)]
pub(crate) struct Traffic {
    sent: u64,
    sent_bytes: u64,
    /// Frames that the socket did not take; what they said is told again.
    unsent: u64,
    taken_bytes: u64,
}

pub(crate) struct Owner {
    pub fleet: Fleet,
    pub sites: Option<SitesOwner>,
    pub persister: Persister,
    pub codec: Codec,
    pub udp: UdpSocket,
    pub directory: Directory,
    pub ground: MonotonicClock,
    pub mail: MailboxReceiver<Letter>,
    pub heard: Box<dyn FnMut(FleetNotice) + Send>,
    pub traffic: Traffic,
    /// Takes what is to be waited for on a thread, when this has ended.
    pub last: mpsc::Sender<Store>,
}

impl Owner {
    pub fn run(mut self) {
        loop {
            let sites = self.sites.as_ref().map_or(f64::INFINITY, |sites| sites.core.next_tick_at());
            let mut next =
                self.mail.recv_timeout(self.ground.duration_until(self.fleet.next_wakeup().min(sites)));
            let mut taken = 0;
            while let Some(letter) = next {
                if !self.take(letter) {
                    if let Some(store) = self.persister.end(self.ground.now(), &mut self.fleet) {
                        // Nobody waits for it: then it is dropped here.
                        let _ = self.last.send(store);
                    }
                    return;
                }
                taken += 1;
                next = if taken < BATCH { self.mail.try_recv() } else { None };
            }
            self.fleet.turn(self.ground.now());
            self.persister.turn(self.ground.now(), &mut self.fleet);
            if let Some(sites) = &mut self.sites {
                sites.turn(self.ground.now(), self.fleet.peers());
            }
            self.carry();
        }
    }

    fn take(&mut self, letter: Letter) -> bool {
        let now = self.ground.now();
        match letter {
            Letter::Datagram(bytes) => {
                self.traffic.taken_bytes += bytes.len() as u64;
                match (self.codec.read(&bytes), &mut self.sites) {
                    (Ok((from, Body::Fleet(message))), _) => self.fleet.receive(now, from, message),
                    (Ok((from, Body::Sites(message))), Some(sites)) => {
                        sites.core.receive(now, self.fleet.peers(), from, message);
                    }
                    // Dropped and counted, or of no use to a front without sites.
                    (Err(_), _) | (Ok((_, Body::Sites(_) | Body::Coordinator(_))), _) => {}
                }
            }
            Letter::Say(sayings) => sayings.into_iter().for_each(|saying| self.say(now, saying)),
            // Whoever asked may have gone; there is nobody to tell then.
            Letter::Ask(to) => drop(to.send(self.standing(now))),
            Letter::Order { site, order, lasts, to } => {
                let done = match &mut self.sites {
                    Some(sites) => sites.core.apply_order(now, &site, order, lasts),
                    None => Err(SitesError::Disabled),
                };
                // Whoever asked may have gone.
                let _ = to.send(done);
            }
            Letter::Relist(peers) => self.relist(now, peers),
            Letter::Leave => {
                self.fleet.leave(now);
                self.carry();
                return false;
            }
        }
        true
    }

    fn say(&mut self, now: f64, saying: FleetCommand) {
        match saying {
            FleetCommand::Server { address, record } => self.fleet.publish_server(now, address, record),
            FleetCommand::Level { level, valid_for } => {
                let by = self.directory.name(self.fleet.replicas().own());
                self.fleet.publish_level(now, level, valid_for, &by);
            }
            FleetCommand::Call { call, record } => {
                self.fleet.publish_call(now, call, record.map(|record| *record))
            }
            FleetCommand::SitesObserved(seen) => {
                if let Some(sites) = &mut self.sites {
                    sites.core.record_sample(now, self.fleet.peers(), &seen);
                }
            }
            FleetCommand::FindCall { ticket, name, by_leg } => {
                let found = self.fleet.end_call(now, name, by_leg);
                let (known, record) = (found.is_some(), found.and_then(|f| f.1).map(Box::new));
                (self.heard)(FleetNotice::CallFound { ticket, known, record });
            }
        }
    }

    fn carry(&mut self) {
        while let Some(out) = self.fleet.next_output() {
            match out {
                Output::Send { to, message } => self.send(to, message),
                Output::Peer(change) => self.log(change),
            }
        }
        while let Some(news) = self.fleet.next_event() {
            (self.heard)(FleetNotice::Event(news));
        }
        while let Some(out) = self.sites.as_mut().and_then(|sites| sites.core.next_output()) {
            match out {
                shalespindle_sites::Output::Send { to, message } => {
                    let frame = self.codec.write_sites(to, self.fleet.incarnation(), message);
                    self.send_frame(to, frame);
                }
                shalespindle_sites::Output::Restrict(narrowing) => {
                    (self.heard)(FleetNotice::SitesRestricted(narrowing))
                }
                out => {
                    if let Some(sites) = &self.sites {
                        sites.log(&out);
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
        // Never waits: what does not fit is lost like any datagram, and asked for again.
        match self.udp.inner().send_to(&frame, address) {
            Ok(size) => {
                (self.traffic.sent, self.traffic.sent_bytes) =
                    (self.traffic.sent + 1, self.traffic.sent_bytes + size as u64)
            }
            Err(_) => self.traffic.unsent += 1,
        }
    }

    fn relist(&mut self, now: f64, peers: Vec<(String, SocketAddr)>) {
        self.directory.relist(peers);
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
                info!(target: "shalespindle::fleet", peer = self.directory.name(front), "peer started anew")
            }
            Change::Renewed { incarnation } => warn!(
                target: "shalespindle::fleet", number = incarnation.number,
                "a later life of this front's name is known: a clock set back, or another process of this name"
            ),
            Change::Silenced => tracing::error!(
                target: "shalespindle::fleet", "another process holds this front's name; nothing of its own is told any more"
            ),
            Change::Isolated(true) => warn!(target: "shalespindle::fleet", "no other front is heard"),
            Change::Isolated(false) => info!(target: "shalespindle::fleet", "other fronts are heard again"),
        }
    }

    fn standing(&self, now: f64) -> FleetStatus {
        let status = self.fleet.status(now);
        let dropped = self.codec.dropped();
        let counts = status.counts;
        let DropCounts { large, foreign, version, forged, form, not_for_us, replayed } = dropped;
        let counted = [
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
            ("frames_large", large),
            ("frames_foreign", foreign),
            ("frames_of_other_versions", version),
            ("frames_forged", forged),
            ("frames_of_bad_form", form),
            ("frames_not_for_us", not_for_us),
            ("frames_replayed", replayed),
            ("frames_sent", self.traffic.sent),
            ("frames_unsent", self.traffic.unsent),
            ("bytes_sent", self.traffic.sent_bytes),
            ("bytes_taken", self.traffic.taken_bytes),
        ];
        let peers = status.peers.iter().map(|p| PeerStatus {
            name: self.directory.name(p.front),
            state: p.state.name().into(),
            quiet_for: p.quiet_for,
            facts: p.facts,
            behind: p.behind,
            digest: p.digest,
        });
        let differ = status.conflicts.iter().map(|m| ServerConflict {
            address: m.address,
            incarnation: m.incarnation,
            reports: m.reports.iter().map(|w| (self.directory.name(w.0), told(w.1))).collect(),
            resolved: told(m.resolved),
            duration_s: now - m.since,
        });
        let doubles = status.double_releases.iter().map(|(call, fronts)| {
            (format!("{call:016x}"), fronts.iter().map(|f| self.directory.name(*f)).collect::<Vec<String>>())
        });
        let mut counts: BTreeMap<String, u64> =
            counted.into_iter().map(|(name, n)| (name.to_string(), n)).collect();
        self.persister.count(now, &mut counts);
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
            conflicts: differ.collect(),
            double_releases: doubles.collect(),
            counts,
            persistence: self.persister.state(),
            sites: self.sites.as_ref().map(|sites| sites.core.status(now, self.fleet.peers())),
        }
    }
}

fn told(told: shalespindle_replica::ReportedState) -> String {
    format!("{told:?}").to_lowercase()
}
