//! The coroutine that owns a front: letters in, turns, outputs out.

use crate::answers::{answer, Host};
use crate::fleet::saying;
use crate::memory::Memory;
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

/// Letters handled before the front decides.
const BATCH: usize = 256;
/// Bytes that may wait for a caller that does not read.
const CALLER_BACKLOG: usize = 256 * 1024;
/// What readers get to read what came while the process stood still.
const SETTLE: Duration = Duration::from_millis(10);

/// What reaches the owner.
pub(crate) enum Letter {
    Datagram {
        arrived: f64,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    Caller {
        stream: u64,
        outgoing: StreamWriter,
    },
    CallerBytes {
        arrived: f64,
        stream: u64,
        bytes: Vec<u8>,
    },
    CallerClosed {
        stream: u64,
    },
    CallerThrough {
        stream: u64,
    },
    Connected {
        id: LinkId,
        outgoing: StreamWriter,
    },
    LinkLost {
        id: LinkId,
    },
    LinkBytes {
        arrived: f64,
        id: LinkId,
        bytes: Vec<u8>,
    },
    Through {
        id: LinkId,
    },
    FeedConnected,
    FeedBytes {
        bytes: Vec<u8>,
    },
    FeedLost,
    /// What became of a question to a name server.
    Name(QueryEvent),
    /// What other fronts made known.
    Fleet(FleetNotice),
    /// An operator's question.
    Console(Request, mpsc::Sender<Reply>),
    End,
    Stop,
}

struct Caller {
    outgoing: StreamWriter,
    /// Bytes that wait while the rest of an earlier write is under way.
    waiting: Vec<u8>,
    busy: bool,
}

/// A hook for each event, beside the log.
pub(crate) type Hook = Box<dyn FnMut(&Event) + Send>;

pub(crate) struct Owner {
    pub front: Front,
    pub ground: MonotonicClock,
    pub udp: UdpSocket,
    pub mailbox: Mailbox<Letter>,
    pub mail: MailboxReceiver<Letter>,
    pub hook: Hook,
    pub connect_within: Duration,
    pub connections: Arc<AtomicUsize>,
    pub memory: Option<Memory>,
    /// Tells other fronts, where there are any.
    pub teller: Option<FleetHandle>,
    /// What it is to be told at the end of this turn.
    sayings: Vec<FleetCommand>,
    /// The members changed since they were last offered.
    unkept: bool,
    questions: QuerySockets,
    callers: HashMap<u64, Caller>,
    links: HashMap<LinkId, StreamWriter>,
    /// Asked for and not yet there.
    connecting: HashMap<LinkId, ()>,
    /// How late the owner was, microseconds.
    lag: Histogram<u64>,
    dropped: u64,
}

impl Owner {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        front: Front,
        ground: MonotonicClock,
        udp: UdpSocket,
        mailbox: Mailbox<Letter>,
        mail: MailboxReceiver<Letter>,
        hook: Hook,
        connect_within: Duration,
        connections: Arc<AtomicUsize>,
        memory: Option<Memory>,
        teller: Option<FleetHandle>,
    ) -> Option<Owner> {
        // 1 us to 100 s, two figures: enough to tell a millisecond from two.
        let lag = Histogram::new_with_bounds(1, 100_000_000, 2).ok()?;
        Some(Owner {
            front,
            ground,
            udp,
            mailbox,
            mail,
            hook,
            connect_within,
            connections,
            memory,
            teller,
            sayings: Vec::new(),
            unkept: false,
            questions: QuerySockets::default(),
            callers: HashMap::new(),
            links: HashMap::new(),
            connecting: HashMap::new(),
            lag,
            dropped: 0,
        })
    }

    /// Runs until it is stopped, or until it was asked to end and nothing is left.
    pub fn run(mut self) {
        loop {
            let due = self.front.wake_at();
            let first = self.mail.recv_timeout(self.ground.duration_until(due));
            if self.ground.just_resumed() {
                // Guards rule 3 and callers' patience: all that came meanwhile is known before it decides.
                may::coroutine::sleep(SETTLE);
            }
            let now = self.ground.now();
            if first.is_none() && due.is_finite() && now > due {
                self.late(now - due);
            }
            let mut next = first;
            let mut taken = 0;
            while let Some(letter) = next {
                if !self.take(letter) {
                    return;
                }
                taken += 1;
                next = if taken < BATCH { self.mail.try_recv() } else { None };
            }
            let now = self.ground.now();
            self.front.turn(now);
            self.carry(now);
            self.keep();
            if self.front.is_done() {
                return;
            }
            // Readers woken on this worker wait behind its owner: without this they wait for an idle moment.
            may::coroutine::yield_now();
        }
    }

    /// Offers the last known members to be written, once a change.
    fn keep(&mut self) {
        if std::mem::take(&mut self.unkept) {
            if let Some(memory) = &self.memory {
                memory.offer(self.front.remember());
            }
        }
    }

    fn late(&mut self, seconds: f64) {
        self.lag.saturating_record((seconds * 1e6) as u64);
    }

    fn take(&mut self, letter: Letter) -> bool {
        let now = self.ground.now();
        let front = &mut self.front;
        match letter {
            Letter::Datagram { arrived, from, bytes } => {
                self.lag.saturating_record(((now - arrived) * 1e6) as u64);
                front.take(now, arrived, Input::Datagram { from, bytes: &bytes });
            }
            Letter::Caller { stream, outgoing } => {
                self.callers.insert(stream, Caller { outgoing, waiting: Vec::new(), busy: false });
            }
            Letter::CallerBytes { arrived, stream, bytes } => {
                front.take(now, arrived, Input::CallerBytes { stream, bytes: &bytes });
            }
            Letter::CallerClosed { stream } => {
                self.callers.remove(&stream);
                front.take(now, now, Input::CallerClosed { stream });
            }
            Letter::CallerThrough { stream } => {
                if let Some(caller) = self.callers.get_mut(&stream) {
                    caller.busy = false;
                    let waiting = std::mem::take(&mut caller.waiting);
                    self.write_caller(stream, waiting);
                }
            }
            Letter::Connected { id, outgoing } => {
                if self.connecting.remove(&id).is_none() {
                    outgoing.close(false);
                    return true;
                }
                self.links.insert(id, outgoing);
                front.take(now, now, Input::Connected { id });
            }
            Letter::LinkLost { id } => {
                self.connecting.remove(&id);
                self.links.remove(&id);
                front.take(now, now, Input::LinkLost { id });
            }
            Letter::LinkBytes { arrived, id, bytes } => {
                self.lag.saturating_record(((now - arrived) * 1e6) as u64);
                front.take(now, arrived, Input::LinkBytes { id, bytes: &bytes });
            }
            Letter::Through { id } => front.take(now, now, Input::Writable { id }),
            Letter::FeedConnected => front.take(now, now, Input::FeedConnected),
            Letter::FeedBytes { bytes } => front.take(now, now, Input::FeedBytes { bytes: &bytes }),
            Letter::FeedLost => front.take(now, now, Input::FeedLost),
            Letter::Name(report) => front.take(now, now, Input::Dns(resolver_input(&report))),
            Letter::Fleet(FleetNotice::CallFound { ticket, known, record }) => {
                front.take(now, now, Input::FindCallResult { ticket, known, call: record });
            }
            Letter::Fleet(FleetNotice::SitesRestricted(narrowing)) => {
                front.take(now, now, Input::SiteRestriction(narrowing));
            }
            Letter::Fleet(FleetNotice::Event(FleetEvent::Server(warning))) => {
                front.take(now, now, Input::ServerWarning(warning));
            }
            Letter::Fleet(FleetNotice::Event(FleetEvent::CallEnded { call })) => {
                front.take(now, now, Input::CallReleased { call });
            }
            Letter::Fleet(FleetNotice::Event(FleetEvent::Release { record, .. })) => {
                front.take(now, now, Input::ReleaseCall(record));
            }
            Letter::Fleet(FleetNotice::Event(FleetEvent::Level { level, until, .. })) => {
                // False where this front has no such level: its own settings stand.
                front.pin_level(now, level.map(|level| (usize::from(level), until - now)));
            }
            Letter::Console(ask, to) => {
                let host = Host { lag: &self.lag, datagrams_dropped: self.dropped };
                // Whoever asked may have gone; there is nobody to tell then.
                let _ = to.send(answer(front, now, &ask, &host));
            }
            Letter::End => front.take(now, now, Input::Shutdown),
            Letter::Stop => return false,
        }
        true
    }

    fn carry(&mut self, now: f64) {
        while let Some(output) = self.front.next_output(now) {
            match output {
                // A datagram that does not fit is lost like any other; its sender repeats it.
                Output::Datagram { to, bytes } => {
                    if self.udp.inner().send_to(&bytes, to).is_err() {
                        self.dropped += 1;
                    }
                }
                Output::ToCaller { stream, bytes } => self.write_caller(stream, bytes),
                Output::CloseCaller { stream } => {
                    if let Some(caller) = self.callers.remove(&stream) {
                        caller.outgoing.close(false);
                    }
                }
                Output::Connect { id, to } => {
                    self.connecting.insert(id, ());
                    readers::connect(id, to, self.connect_within, self.mailbox.clone(), self.ground.clone());
                }
                Output::ToServer { id, bytes } => {
                    let mailbox = self.mailbox.clone();
                    let Some(outgoing) = self.links.get_mut(&id) else { continue };
                    let through = move || {
                        let _ = mailbox.send_unbounded(Letter::Through { id });
                    };
                    match outgoing.write(&bytes, through) {
                        WriteStatus::Complete => {}
                        // Of a loss the reader reports; until then nothing more is tried.
                        WriteStatus::Pending | WriteStatus::Lost => {
                            self.front.take(now, now, Input::Blocked { id })
                        }
                    }
                }
                Output::CloseLink { id, reset } => {
                    self.connecting.remove(&id);
                    if let Some(outgoing) = self.links.remove(&id) {
                        outgoing.close(reset);
                    }
                }
                Output::DnsQuery { ticket, to, tcp, bytes } => {
                    let mailbox = self.mailbox.clone();
                    // A loss is reported once, by the owner itself at times; what peers send waits for room.
                    let report = move |report| match report {
                        QueryEvent::Failed { .. } => mailbox.send_unbounded(Letter::Name(report)).is_ok(),
                        _ => mailbox.send(Letter::Name(report)).is_ok(),
                    };
                    self.questions.send(ticket, to, tcp, bytes, self.connect_within, report);
                }
                Output::DnsClose { ticket } => self.questions.close(ticket),
                Output::ServerListed(listed) => self.sayings.push(saying(now, &listed)),
                Output::SitesObserved(seen) => self.sayings.push(FleetCommand::SitesObserved(seen)),
                Output::CallChanged { call, record } => {
                    self.sayings.push(FleetCommand::Call { call, record })
                }
                Output::FindCall { ticket, name, by_leg } => {
                    self.sayings.push(FleetCommand::FindCall { ticket, name, by_leg })
                }
                Output::Event(event) => {
                    self.unkept |= matches!(event, Event::ServerChanged { .. });
                    (self.hook)(&event);
                }
            }
        }
        self.say();
    }

    /// Tells the other fronts, where there are any, all of a turn at once: each letter wakes whoever reads it.
    fn say(&mut self) {
        let sayings = std::mem::take(&mut self.sayings);
        if let Some(teller) = self.teller.as_ref().filter(|_| !sayings.is_empty()) {
            teller.publish(sayings);
        }
    }

    fn write_caller(&mut self, stream: u64, bytes: Vec<u8>) {
        let Some(caller) = self.callers.get_mut(&stream) else { return };
        if bytes.is_empty() {
            return;
        }
        if caller.busy {
            caller.waiting.extend_from_slice(&bytes);
            if caller.waiting.len() > CALLER_BACKLOG {
                // Guards memory against callers that ask and never read.
                caller.outgoing.close(true);
            }
            return;
        }
        let mailbox = self.mailbox.clone();
        let through = move || {
            let _ = mailbox.send_unbounded(Letter::CallerThrough { stream });
        };
        match caller.outgoing.write(&bytes, through) {
            WriteStatus::Complete => {}
            WriteStatus::Pending => caller.busy = true,
            WriteStatus::Lost => caller.outgoing.close(false),
        }
    }
}

impl Drop for Owner {
    fn drop(&mut self) {
        for outgoing in self.links.values() {
            outgoing.close(false);
        }
        for caller in self.callers.values() {
            caller.outgoing.close(false);
        }
        self.connections.store(0, Ordering::Relaxed);
    }
}
