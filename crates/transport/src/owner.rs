//! The coroutine that owns a front: passes it events in batches, runs its turns and carries out its outputs.

use crate::answers::{answer, Host};
use crate::fleet::server_report;
use crate::member_store::MemberStore;
use crate::names::resolver_input;
use crate::readers;
use hdrhistogram::Histogram;
use may::net::UdpSocket;
use shalespindle_console::{Reply, Request};
use shalespindle_front::{Event, Front, Input, LinkId, Output};
use shalespindle_peer_service::{FleetCommand, FleetHandle, FleetNotice};
use shalespindle_replica::FleetEvent;
use shalespindle_sockets::{
    Mailbox, MailboxReceiver, MonotonicClock, QueryEvent, QuerySockets, StreamWriter, WriteStatus,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of events handled before the front decides.
const MAX_BATCH: usize = 256;
/// Maximum number of bytes that wait for a caller that does not read.
const CALLER_BACKLOG: usize = 256 * 1024;
/// Time that readers get after a stall to read what arrived during it.
const CATCH_UP: Duration = Duration::from_millis(10);

/// An event sent to the owner. `arrived` is the earliest time at which the bytes can have arrived, in seconds
/// on the process's clock; `stream` is the number of a caller's connection.
pub(crate) enum OwnerEvent {
    Datagram {
        arrived: f64,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    CallerConnected {
        stream: u64,
        writer: StreamWriter,
    },
    CallerBytes {
        arrived: f64,
        stream: u64,
        bytes: Vec<u8>,
    },
    CallerClosed {
        stream: u64,
    },
    /// The rest of a write to a caller has been written.
    CallerWritable {
        stream: u64,
    },
    LinkConnected {
        id: LinkId,
        writer: StreamWriter,
    },
    /// The connection to a server was lost or could not be made.
    LinkLost {
        id: LinkId,
    },
    LinkBytes {
        arrived: f64,
        id: LinkId,
        bytes: Vec<u8>,
    },
    /// The rest of a write to a server has been written.
    LinkWritable {
        id: LinkId,
    },
    FeedConnected,
    FeedBytes {
        bytes: Vec<u8>,
    },
    FeedLost,
    /// An event of a DNS query's socket.
    Dns(QueryEvent),
    /// A notice of the fleet.
    Fleet(FleetNotice),
    /// An operator's question, and where the reply goes.
    Console(Request, mpsc::Sender<Reply>),
    /// Ends the front in order: it admits no new attaches and waits for its calls.
    Shutdown,
    /// Ends the owner at once.
    Stop,
}

/// A caller's connection.
struct Caller {
    writer: StreamWriter,
    /// Bytes that wait until the rest of an earlier write has been written.
    waiting: Vec<u8>,
    busy: bool,
}

/// Called with each event of the front, in addition to the log.
pub(crate) type Hook = Box<dyn FnMut(&Event) + Send>;

/// The front, its sockets and their state.
pub(crate) struct Owner {
    pub front: Front,
    pub clock: MonotonicClock,
    pub udp: UdpSocket,
    pub mailbox: Mailbox<OwnerEvent>,
    pub receiver: MailboxReceiver<OwnerEvent>,
    pub hook: Hook,
    pub connect_timeout: Duration,
    pub connections: Arc<AtomicUsize>,
    pub member_store: Option<MemberStore>,
    /// Sends to the other fronts; none if this front has no fleet.
    pub fleet_handle: Option<FleetHandle>,
    /// Commands to be sent to the other fronts at the end of this turn.
    fleet_commands: Vec<FleetCommand>,
    /// Whether members changed since they were last stored.
    members_changed: bool,
    queries: QuerySockets,
    callers: HashMap<u64, Caller>,
    links: HashMap<LinkId, StreamWriter>,
    /// Connections that are being made.
    connecting: HashMap<LinkId, ()>,
    /// Delay before the owner handled an event or a timer, microseconds.
    lag: Histogram<u64>,
    /// Datagrams that could not be sent.
    datagrams_dropped: u64,
}

impl Owner {
    #[allow(clippy::too_many_arguments)]
    /// Creates an owner; none if the histogram cannot be created.
    pub fn new(
        front: Front,
        clock: MonotonicClock,
        udp: UdpSocket,
        mailbox: Mailbox<OwnerEvent>,
        receiver: MailboxReceiver<OwnerEvent>,
        hook: Hook,
        connect_timeout: Duration,
        connections: Arc<AtomicUsize>,
        member_store: Option<MemberStore>,
        fleet_handle: Option<FleetHandle>,
    ) -> Option<Owner> {
        // 1 us to 100 s with two significant digits, enough to distinguish one millisecond from two.
        let lag = Histogram::new_with_bounds(1, 100_000_000, 2).ok()?;
        Some(Owner {
            front,
            clock,
            udp,
            mailbox,
            receiver,
            hook,
            connect_timeout,
            connections,
            member_store,
            fleet_handle,
            fleet_commands: Vec::new(),
            members_changed: false,
            queries: QuerySockets::default(),
            callers: HashMap::new(),
            links: HashMap::new(),
            connecting: HashMap::new(),
            lag,
            datagrams_dropped: 0,
        })
    }

    /// Runs until it is stopped, or until a shutdown has finished.
    pub fn run(mut self) {
        loop {
            let deadline = self.front.wake_at();
            let first = self.receiver.recv_timeout(self.clock.duration_until(deadline));
            if self.clock.just_resumed() {
                // After a stall the front must know all that arrived meanwhile before it decides: a server
                // may have begun to drain (rule 3), and callers' deadlines may have passed.
                may::coroutine::sleep(CATCH_UP);
            }
            let now = self.clock.now();
            if first.is_none() && deadline.is_finite() && now > deadline {
                self.record_lag(now - deadline);
            }
            let mut next = first;
            let mut handled = 0;
            while let Some(event) = next {
                if !self.handle(event) {
                    return;
                }
                handled += 1;
                next = if handled < MAX_BATCH { self.receiver.try_recv() } else { None };
            }
            let now = self.clock.now();
            self.front.turn(now);
            self.process_outputs(now);
            self.store_members();
            if self.front.is_done() {
                return;
            }
            // Readers woken on this worker thread run only when the owner yields; without this they
            // would wait until it is idle.
            may::coroutine::yield_now();
        }
    }

    /// Stores the members if any changed in this turn.
    fn store_members(&mut self) {
        if std::mem::take(&mut self.members_changed) {
            if let Some(member_store) = &self.member_store {
                member_store.offer(self.front.remember());
            }
        }
    }

    fn record_lag(&mut self, seconds: f64) {
        self.lag.saturating_record((seconds * 1e6) as u64);
    }

    /// Handles one event; false if the owner must stop.
    fn handle(&mut self, event: OwnerEvent) -> bool {
        let now = self.clock.now();
        let front = &mut self.front;
        match event {
            OwnerEvent::Datagram { arrived, from, bytes } => {
                self.lag.saturating_record(((now - arrived) * 1e6) as u64);
                front.take(now, arrived, Input::Datagram { from, bytes: &bytes });
            }
            OwnerEvent::CallerConnected { stream, writer } => {
                self.callers.insert(stream, Caller { writer, waiting: Vec::new(), busy: false });
            }
            OwnerEvent::CallerBytes { arrived, stream, bytes } => {
                front.take(now, arrived, Input::CallerBytes { stream, bytes: &bytes });
            }
            OwnerEvent::CallerClosed { stream } => {
                self.callers.remove(&stream);
                front.take(now, now, Input::CallerClosed { stream });
            }
            OwnerEvent::CallerWritable { stream } => {
                if let Some(caller) = self.callers.get_mut(&stream) {
                    caller.busy = false;
                    let waiting = std::mem::take(&mut caller.waiting);
                    self.write_caller(stream, waiting);
                }
            }
            OwnerEvent::LinkConnected { id, writer } => {
                if self.connecting.remove(&id).is_none() {
                    writer.close(false);
                    return true;
                }
                self.links.insert(id, writer);
                front.take(now, now, Input::Connected { id });
            }
            OwnerEvent::LinkLost { id } => {
                self.connecting.remove(&id);
                self.links.remove(&id);
                front.take(now, now, Input::LinkLost { id });
            }
            OwnerEvent::LinkBytes { arrived, id, bytes } => {
                self.lag.saturating_record(((now - arrived) * 1e6) as u64);
                front.take(now, arrived, Input::LinkBytes { id, bytes: &bytes });
            }
            OwnerEvent::LinkWritable { id } => front.take(now, now, Input::Writable { id }),
            OwnerEvent::FeedConnected => front.take(now, now, Input::FeedConnected),
            OwnerEvent::FeedBytes { bytes } => front.take(now, now, Input::FeedBytes { bytes: &bytes }),
            OwnerEvent::FeedLost => front.take(now, now, Input::FeedLost),
            OwnerEvent::Dns(event) => front.take(now, now, Input::Dns(resolver_input(&event))),
            OwnerEvent::Fleet(FleetNotice::CallFound { ticket, known, record }) => {
                front.take(now, now, Input::FindCallResult { ticket, known, call: record });
            }
            OwnerEvent::Fleet(FleetNotice::SitesRestricted(restrictions)) => {
                front.take(now, now, Input::SiteRestriction(restrictions));
            }
            OwnerEvent::Fleet(FleetNotice::Event(FleetEvent::Server(warning))) => {
                front.take(now, now, Input::ServerWarning(warning));
            }
            OwnerEvent::Fleet(FleetNotice::Event(FleetEvent::CallEnded { call })) => {
                front.take(now, now, Input::CallReleased { call });
            }
            OwnerEvent::Fleet(FleetNotice::Event(FleetEvent::Release { record, .. })) => {
                front.take(now, now, Input::ReleaseCall(record));
            }
            OwnerEvent::Fleet(FleetNotice::Event(FleetEvent::Level { level, until, .. })) => {
                // The result is false if this front has no such level; its level then stays as it is.
                front.pin_level(now, level.map(|level| (usize::from(level), until - now)));
            }
            OwnerEvent::Console(question, reply_to) => {
                let host = Host { lag: &self.lag, datagrams_dropped: self.datagrams_dropped };
                // An error means that the operator's connection has ended; the reply is dropped.
                let _ = reply_to.send(answer(front, now, &question, &host));
            }
            OwnerEvent::Shutdown => front.take(now, now, Input::Shutdown),
            OwnerEvent::Stop => return false,
        }
        true
    }

    /// Carries out the front's outputs of this turn.
    fn process_outputs(&mut self, now: f64) {
        while let Some(output) = self.front.next_output(now) {
            match output {
                // A datagram that the socket does not accept is treated as lost; SIP retransmits it.
                Output::Datagram { to, bytes } => {
                    if self.udp.inner().send_to(&bytes, to).is_err() {
                        self.datagrams_dropped += 1;
                    }
                }
                Output::ToCaller { stream, bytes } => self.write_caller(stream, bytes),
                Output::CloseCaller { stream } => {
                    if let Some(caller) = self.callers.remove(&stream) {
                        caller.writer.close(false);
                    }
                }
                Output::Connect { id, to } => {
                    self.connecting.insert(id, ());
                    readers::connect(id, to, self.connect_timeout, self.mailbox.clone(), self.clock.clone());
                }
                Output::ToServer { id, bytes } => {
                    let mailbox = self.mailbox.clone();
                    let Some(writer) = self.links.get_mut(&id) else { continue };
                    let on_complete = move || {
                        let _ = mailbox.send_unbounded(OwnerEvent::LinkWritable { id });
                    };
                    match writer.write(&bytes, on_complete) {
                        WriteStatus::Complete => {}
                        // A lost connection is reported by its reader; the front must not write until
                        // then.
                        WriteStatus::Pending | WriteStatus::Lost => {
                            self.front.take(now, now, Input::Blocked { id })
                        }
                    }
                }
                Output::CloseLink { id, reset } => {
                    self.connecting.remove(&id);
                    if let Some(writer) = self.links.remove(&id) {
                        writer.close(reset);
                    }
                }
                Output::DnsQuery { ticket, to, tcp, bytes } => {
                    let mailbox = self.mailbox.clone();
                    // A failure is reported once, at times by this coroutine itself, which must not wait for
                    // its own mailbox; data from peers waits for capacity.
                    let report = move |event| match event {
                        QueryEvent::Failed { .. } => mailbox.send_unbounded(OwnerEvent::Dns(event)).is_ok(),
                        _ => mailbox.send(OwnerEvent::Dns(event)).is_ok(),
                    };
                    self.queries.send(ticket, to, tcp, bytes, self.connect_timeout, report);
                }
                Output::DnsClose { ticket } => self.queries.close(ticket),
                Output::ServerListed(listed) => self.fleet_commands.push(server_report(now, &listed)),
                Output::SitesObserved(sample) => {
                    self.fleet_commands.push(FleetCommand::SitesObserved(sample))
                }
                Output::CallChanged { call, record } => {
                    self.fleet_commands.push(FleetCommand::Call { call, record })
                }
                Output::FindCall { ticket, name, by_leg } => {
                    self.fleet_commands.push(FleetCommand::FindCall { ticket, name, by_leg })
                }
                Output::Event(event) => {
                    self.members_changed |= matches!(event, Event::ServerChanged { .. });
                    (self.hook)(&event);
                }
            }
        }
        self.send_to_fleet();
    }

    /// Sends all commands of a turn to the other fronts at once, since each send wakes the receiver.
    fn send_to_fleet(&mut self) {
        let commands = std::mem::take(&mut self.fleet_commands);
        if let Some(fleet_handle) = self.fleet_handle.as_ref().filter(|_| !commands.is_empty()) {
            fleet_handle.publish(commands);
        }
    }

    /// Writes to a caller, or queues the bytes while an earlier write is unfinished.
    fn write_caller(&mut self, stream: u64, bytes: Vec<u8>) {
        let Some(caller) = self.callers.get_mut(&stream) else { return };
        if bytes.is_empty() {
            return;
        }
        if caller.busy {
            caller.waiting.extend_from_slice(&bytes);
            if caller.waiting.len() > CALLER_BACKLOG {
                // Limits the memory used by callers that send requests and never read.
                caller.writer.close(true);
            }
            return;
        }
        let mailbox = self.mailbox.clone();
        let on_complete = move || {
            let _ = mailbox.send_unbounded(OwnerEvent::CallerWritable { stream });
        };
        match caller.writer.write(&bytes, on_complete) {
            WriteStatus::Complete => {}
            WriteStatus::Pending => caller.busy = true,
            WriteStatus::Lost => caller.writer.close(false),
        }
    }
}

impl Drop for Owner {
    fn drop(&mut self) {
        for writer in self.links.values() {
            writer.close(false);
        }
        for caller in self.callers.values() {
            caller.writer.close(false);
        }
        self.connections.store(0, Ordering::Relaxed);
    }
}
