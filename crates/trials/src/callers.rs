//! Callers of the fronts under trial. They keep connections open and use them until a front closes them. Some
//! leave early, some write messages in pieces, some hand established calls over to a front that has been
//! restarted.

use crate::front::{Front, Settings};
use crate::record::{locked, CallId, Event, FrontId, Recorder, ServerId};
use crate::server::{server_in_description, server_name};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_signalling::{Framer, Message, Method, Start};
use std::collections::{BinaryHeap, HashMap};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Connections that callers keep to each front.
const CONNECTIONS: usize = 4;
/// A set-up that was written at most this long before the end of its connection may be sent once more on a
/// new one, seconds.
const CROSSED_CLOSE_WINDOW: f64 = 0.05;
/// Maximum delay with which the reader of a connection notices its end, seconds.
const CLOSE_DETECTION_DELAY: f64 = 0.02;
const TICK: Duration = Duration::from_millis(2);

/// Behaviour of the callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerBehaviour {
    /// Set-ups per second over all fronts.
    pub rate: f64,
    /// Percentage of set-ups that are cancelled or abandoned early.
    pub cancel_percent: u32,
    /// Percentage of refused set-ups that are tried again at once.
    pub retry_percent: u32,
    /// Percentage of set-ups that are written in two pieces.
    pub split_percent: u32,
    /// Maximum pause between the two pieces, seconds.
    pub max_split_pause: f64,
    /// Percentage of set-ups with a very short deadline.
    pub short_deadline_percent: u32,
    /// Percentage of established calls that the caller ends.
    pub hang_up_percent: u32,
    /// Percentage of established calls that are handed over after a restart of their front.
    pub hand_over_percent: u32,
}

/// A set-up without a final answer.
struct Pending {
    /// When its last byte was written; infinite until then.
    requested_at: f64,
}

struct Connection {
    front: FrontId,
    writer: Mutex<TcpStream>,
    is_open: AtomicBool,
    /// Set-ups without a final answer.
    pending: Mutex<HashMap<CallId, Pending>>,
    /// The second piece of a message is still to be written.
    remainder_pending: AtomicBool,
    /// Messages to be written after that piece.
    queued_after_remainder: Mutex<Vec<u8>>,
    /// The caller has closed it.
    is_closed_by_caller: AtomicBool,
}

impl Connection {
    /// Open, with no second piece still to be written.
    fn is_free(&self) -> bool {
        self.is_open.load(Ordering::Acquire) && !self.remainder_pending.load(Ordering::Acquire)
    }
}

/// An established call, as its caller knows it.
struct EstablishedCall {
    front: FrontId,
    /// Its server; none if the answer named no server.
    server: Option<ServerId>,
}

/// What a caller does at a scheduled time.
enum Action {
    Request { is_retry: bool },
    SendRemainder { connection: Arc<Connection>, bytes: Vec<u8>, call: CallId, until: f64 },
    Leave { connection: Arc<Connection>, call: CallId, by_close: bool },
    HangUp { call: CallId },
}

struct ScheduledAction {
    at: f64,
    number: u64,
    action: Action,
}

impl PartialEq for ScheduledAction {
    fn eq(&self, other: &ScheduledAction) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for ScheduledAction {}

impl PartialOrd for ScheduledAction {
    fn partial_cmp(&self, other: &ScheduledAction) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledAction {
    /// Reversed by time, so that the heap yields the earliest action first.
    fn cmp(&self, other: &ScheduledAction) -> std::cmp::Ordering {
        other.at.total_cmp(&self.at).then(other.number.cmp(&self.number))
    }
}

/// All callers of a trial.
pub struct Callers {
    fronts: Vec<Arc<Front>>,
    settings: Settings,
    behaviour: Mutex<CallerBehaviour>,
    recorder: Recorder,
    connections: Mutex<Vec<Arc<Connection>>>,
    established: Mutex<HashMap<CallId, EstablishedCall>>,
    /// Calls whose front has ended and that are to be handed over.
    to_hand_over: Mutex<Vec<(CallId, EstablishedCall)>>,
    actions: Mutex<BinaryHeap<ScheduledAction>>,
    next_call: AtomicU64,
    next_action: AtomicU64,
    rng: Mutex<ChaCha8Rng>,
    stopped: AtomicBool,
    pools: usize,
    /// Set-ups answered with 200.
    pub served: AtomicU64,
    /// Set-ups that callers began to send.
    pub asked: AtomicU64,
}

impl Callers {
    pub fn start(
        fronts: Vec<Arc<Front>>,
        settings: Settings,
        behaviour: CallerBehaviour,
        pools: usize,
        seed: u64,
        recorder: &Recorder,
    ) -> Arc<Callers> {
        let callers = Arc::new(Callers {
            fronts,
            settings,
            behaviour: Mutex::new(behaviour),
            recorder: recorder.clone(),
            connections: Mutex::default(),
            established: Mutex::default(),
            to_hand_over: Mutex::default(),
            actions: Mutex::default(),
            next_call: AtomicU64::new((seed << 32) + 1),
            next_action: AtomicU64::new(0),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            stopped: AtomicBool::new(false),
            pools,
            served: AtomicU64::new(0),
            asked: AtomicU64::new(0),
        });
        let (requesting, connecting) = (callers.clone(), callers.clone());
        std::thread::spawn(move || requesting.run());
        std::thread::spawn(move || connecting.maintain_connections());
        callers
    }

    /// Sends no more set-ups; established calls go on to their end.
    pub fn stop_requests(&self) {
        locked(&self.behaviour).rate = 0.0;
    }

    /// Sets the number of set-ups per second.
    pub fn set_rate(&self, rate: f64) {
        locked(&self.behaviour).rate = rate;
    }

    /// No call is established and no set-up is pending.
    pub fn is_idle(&self) -> bool {
        let has_pending = locked(&self.connections).iter().any(|c| !locked(&c.pending).is_empty());
        !has_pending && locked(&self.established).is_empty() && locked(&self.to_hand_over).is_empty()
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    fn chance(&self, percent: u32) -> bool {
        locked(&self.rng).random_range(0..100) < percent
    }

    fn uniform(&self, min: f64, max: f64) -> f64 {
        locked(&self.rng).random_range(min..max.max(min + 1e-6))
    }

    fn schedule(&self, at: f64, action: Action) {
        let number = self.next_action.fetch_add(1, Ordering::Relaxed);
        locked(&self.actions).push(ScheduledAction { at, number, action });
    }

    /// Draws new set-ups and executes due actions until stopped.
    fn run(&self) {
        let mut next_request = self.recorder.now();
        while !self.stopped.load(Ordering::Acquire) {
            let now = self.recorder.now();
            let rate = locked(&self.behaviour).rate;
            if rate > 0.0 && next_request <= now {
                self.schedule(now, Action::Request { is_retry: false });
                next_request = now - (1.0 - self.uniform(0.0, 1.0)).ln() / rate;
            }
            while let Some(action) = self.next_due(now) {
                self.execute(action);
            }
            std::thread::sleep(TICK);
        }
    }

    fn next_due(&self, now: f64) -> Option<Action> {
        let mut actions = locked(&self.actions);
        if actions.peek().is_some_and(|scheduled| scheduled.at <= now) {
            return actions.pop().map(|scheduled| scheduled.action);
        }
        None
    }

    fn execute(&self, action: Action) {
        match action {
            Action::Request { is_retry } => self.request(is_retry),
            Action::SendRemainder { connection, bytes, call, until } => {
                let mut queued = locked(&connection.queued_after_remainder);
                connection.remainder_pending.store(false, Ordering::Release);
                let written = write_now(&connection, &bytes);
                write_now(&connection, &std::mem::take(&mut *queued));
                drop(queued);
                if written {
                    self.record_requested(&connection, call, until);
                }
            }
            Action::Leave { connection, call, by_close } => self.leave(&connection, call, by_close),
            Action::HangUp { call } => self.hang_up(call),
        }
    }

    /// Opens missing connections to each front that accepts them, and hands calls over.
    fn maintain_connections(self: &Arc<Callers>) {
        while !self.stopped.load(Ordering::Acquire) {
            for front in &self.fronts {
                if !front.accepts_connections.load(Ordering::Acquire) {
                    continue;
                }
                let open = locked(&self.connections).iter().filter(|c| c.front == front.id).count();
                if open < CONNECTIONS {
                    self.connect(front);
                }
            }
            self.hand_over();
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn connect(self: &Arc<Callers>, front: &Front) {
        // The front is down or full; nothing was sent.
        let Ok(stream) = TcpStream::connect_timeout(&front.listen, Duration::from_millis(500)) else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
        let Ok(reading) = stream.try_clone() else { return };
        let connection = Arc::new(Connection {
            front: front.id,
            writer: Mutex::new(stream),
            is_open: AtomicBool::new(true),
            pending: Mutex::default(),
            remainder_pending: AtomicBool::new(false),
            queued_after_remainder: Mutex::default(),
            is_closed_by_caller: AtomicBool::new(false),
        });
        locked(&self.connections).push(connection.clone());
        let callers = self.clone();
        std::thread::spawn(move || callers.read(&connection, reading));
    }

    fn request(&self, is_retry: bool) {
        let behaviour = *locked(&self.behaviour);
        let connection = {
            let connections = locked(&self.connections);
            let open: Vec<&Arc<Connection>> = connections.iter().filter(|c| c.is_free()).collect();
            if open.is_empty() {
                return;
            }
            let index = locked(&self.rng).random_range(0..open.len());
            open[index].clone()
        };
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let has_short_deadline = self.chance(behaviour.short_deadline_percent);
        let patience = if has_short_deadline {
            self.uniform(0.005, 0.08)
        } else {
            self.uniform(0.4, 1.0) * self.settings.deadline
        };
        let dest = locked(&self.rng).random_range(0..self.pools);
        let message = invite(call, patience, &format!("dest:{dest};width:1;via:-1"));
        self.asked.fetch_add(1, Ordering::Relaxed);
        // Inserted before the message is written, because the answer may come at once.
        locked(&connection.pending).insert(call, Pending { requested_at: f64::INFINITY });
        let now = self.recorder.now();
        if !is_retry && self.chance(behaviour.split_percent) {
            let index = locked(&self.rng).random_range(1..message.len());
            let queued = locked(&connection.queued_after_remainder);
            connection.remainder_pending.store(true, Ordering::Release);
            let written = write_now(&connection, &message[..index]);
            drop(queued);
            if written {
                let at = now + self.uniform(0.001, behaviour.max_split_pause);
                let bytes = message[index..].to_vec();
                self.schedule(at, Action::SendRemainder { connection, bytes, call, until: patience });
            }
            return;
        }
        if write_message(&connection, &message) {
            self.record_requested(&connection, call, patience);
        }
    }

    /// Records that the last byte of a set-up was written.
    fn record_requested(&self, connection: &Arc<Connection>, call: CallId, patience: f64) {
        let now = self.recorder.now();
        {
            let mut pending = locked(&connection.pending);
            let Some(entry) = pending.get_mut(&call) else {
                // It was answered before this point, or its connection has ended.
                return;
            };
            entry.requested_at = now;
            self.recorder
                .record_at(now, Event::Requested { call, front: connection.front, until: now + patience });
        }
        let behaviour = *locked(&self.behaviour);
        if self.chance(behaviour.cancel_percent) {
            let (after, by_close) = (self.uniform(0.0, 0.5 * patience), self.chance(10));
            self.schedule(now + after, Action::Leave { connection: connection.clone(), call, by_close });
        }
    }

    fn leave(&self, connection: &Connection, call: CallId, by_close: bool) {
        if locked(&connection.pending).remove(&call).is_none() {
            return;
        }
        if by_close {
            connection.is_closed_by_caller.store(true, Ordering::Release);
            let others: Vec<CallId> = locked(&connection.pending).drain().map(|p| p.0).collect();
            let _ = locked(&connection.writer).shutdown(Shutdown::Both);
            for call in others.into_iter().chain([call]) {
                self.recorder.record(Event::CallerLeft { call });
            }
        } else if write_message(connection, &request("CANCEL", call)) {
            self.recorder.record(Event::CallerLeft { call });
        } else {
            // The connection has ended, so the caller has left as well.
            self.recorder.record(Event::CallerLeft { call });
        }
    }

    /// A connection to that front on which a whole message can be written now.
    fn free_connection(&self, front: FrontId) -> Option<Arc<Connection>> {
        let connections = locked(&self.connections);
        connections.iter().find(|c| c.front == front && c.is_free()).cloned()
    }

    /// Ends an established call on any connection to its front.
    fn hang_up(&self, call: CallId) {
        let front = locked(&self.established).get(&call).map(|established| established.front);
        let Some(connection) = front.and_then(|front| self.free_connection(front)) else { return };
        if write_message(&connection, &request("BYE", call)) {
            locked(&self.established).remove(&call);
            self.recorder.record(Event::EndedByCaller { call });
        }
    }

    /// Hands the calls of an ended front over to its new process once that accepts connections.
    fn hand_over(&self) {
        let to_hand_over = std::mem::take(&mut *locked(&self.to_hand_over));
        for (call, established) in to_hand_over {
            let Some(server) = established.server else { continue };
            let message = invite(call, self.settings.deadline, &format!("at:{}", server_name(server)));
            let written =
                self.free_connection(established.front).is_some_and(|c| write_message(&c, &message));
            if written {
                self.recorder.record(Event::HandedOver { call, front: established.front });
                locked(&self.established).insert(call, established);
            } else {
                locked(&self.to_hand_over).push((call, established));
            }
        }
    }

    /// Reads a connection until it ends.
    fn read(&self, connection: &Arc<Connection>, mut reading: TcpStream) {
        let (mut framer, mut buffer) = (Framer::default(), [0; 4096]);
        'connection: while let Ok(size) = reading.read(&mut buffer) {
            if size == 0 {
                break;
            }
            framer.push(&buffer[..size]);
            loop {
                match framer.next_frame() {
                    Ok(Some(frame)) => match Message::parse(frame) {
                        Ok(message) => self.handle_message(connection, &message),
                        Err(_) => break 'connection,
                    },
                    Ok(None) => break,
                    Err(_) => break 'connection,
                }
            }
        }
        self.handle_close(connection);
    }

    fn handle_message(&self, connection: &Arc<Connection>, message: &Message) {
        let Ok(call) = message.call_id().map(|id| CallId::from_str_radix(id, 16).unwrap_or(0)) else {
            return;
        };
        match message.start {
            Start::Response { status, .. }
                if status >= 200 && message.cseq().is_ok_and(|c| c.1 == Method::Invite) =>
            {
                self.handle_answer(connection, call, status, message);
            }
            Start::Request { method: Method::Bye, .. } => {
                write_message(connection, &release_confirmation(call));
                self.recorder.record(Event::ReleasedToCaller { call });
                locked(&self.established).remove(&call);
                locked(&self.to_hand_over).retain(|(waiting, _)| *waiting != call);
            }
            _ => {}
        }
    }

    fn handle_answer(&self, connection: &Arc<Connection>, call: CallId, status: u16, message: &Message) {
        let was_pending = locked(&connection.pending).remove(&call);
        // A 487 answers a cancelled set-up; its caller no longer waits.
        if was_pending.is_none() && status != 200 {
            return;
        }
        let requested = was_pending.is_some_and(|p| p.requested_at.is_finite());
        if !requested {
            // The answer arrived before `record_requested` recorded the request.
            let now = self.recorder.now();
            let until = now + self.settings.deadline;
            self.recorder.record_at(now, Event::Requested { call, front: connection.front, until });
        }
        let server = server_in_description(call, message.body);
        self.recorder.record(Event::Answered { call, status, server });
        write_message(connection, &request("ACK", call));
        if status == 200 {
            self.served.fetch_add(1, Ordering::Relaxed);
            locked(&self.established).insert(call, EstablishedCall { front: connection.front, server });
            let behaviour = *locked(&self.behaviour);
            if self.chance(behaviour.hang_up_percent) {
                let after = self.uniform(0.05, 4.0);
                self.schedule(self.recorder.now() + after, Action::HangUp { call });
            }
        } else if status == 503 && self.chance(locked(&self.behaviour).retry_percent) {
            self.schedule(self.recorder.now(), Action::Request { is_retry: true });
        }
    }

    fn handle_close(&self, connection: &Arc<Connection>) {
        let now = self.recorder.now();
        connection.is_open.store(false, Ordering::Release);
        locked(&self.connections).retain(|c| !Arc::ptr_eq(c, connection));
        let pending: Vec<(CallId, Pending)> = locked(&connection.pending).drain().collect();
        let crossed_close = |p: &Pending| {
            p.requested_at.is_finite() && now - p.requested_at < CROSSED_CLOSE_WINDOW + CLOSE_DETECTION_DELAY
        };
        // A set-up that was only partly written does not count.
        let all_crossed = pending.iter().all(|(_, p)| crossed_close(p) || !p.requested_at.is_finite());
        for (call, pending) in pending.iter().filter(|(_, p)| p.requested_at.is_finite()) {
            if connection.is_closed_by_caller.load(Ordering::Acquire) {
                self.recorder.record_at(now, Event::CallerLeft { call: *call });
                continue;
            }
            self.recorder.record_at(now, Event::ConnectionEnded { call: *call });
            if all_crossed && crossed_close(pending) {
                self.recorder.record_at(now, Event::CrossedClose { call: *call });
                self.schedule(now, Action::Request { is_retry: true });
            }
        }
    }

    /// Called when the process of a front has ended: its established calls are kept for a hand-over or
    /// dropped.
    pub fn front_ended(&self, front: FrontId) {
        // The readers of its connections may not have seen the end yet. A call handed over on such a connection
        // would reach nobody.
        for connection in locked(&self.connections).iter().filter(|c| c.front == front) {
            connection.is_open.store(false, Ordering::Release);
        }
        let interrupted: Vec<(CallId, EstablishedCall)> =
            locked(&self.established).extract_if(|_, established| established.front == front).collect();
        let share = locked(&self.behaviour).hand_over_percent;
        let handed = interrupted.into_iter().filter(|_| self.chance(share));
        locked(&self.to_hand_over).extend(handed);
    }
}

/// Writes a whole message, or queues it if the second piece of another message is still to be written.
fn write_message(connection: &Connection, bytes: &[u8]) -> bool {
    let mut queued = locked(&connection.queued_after_remainder);
    if connection.remainder_pending.load(Ordering::Acquire) {
        queued.extend_from_slice(bytes);
        return connection.is_open.load(Ordering::Acquire);
    }
    write_now(connection, bytes)
}

fn write_now(connection: &Connection, bytes: &[u8]) -> bool {
    connection.is_open.load(Ordering::Acquire) && locked(&connection.writer).write_all(bytes).is_ok()
}

/// An INVITE with the given patience in seconds.
fn invite(call: CallId, patience: f64, route: &str) -> Vec<u8> {
    let body = "9d41\r\nc=IN IP4 10.4.7.9\r\n";
    format!(
        "INVITE sip:{:016x}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\nCSeq: 1 INVITE\r\n\
         X-Service: voice\r\nX-Setup-Ms: {:.0}\r\nX-Route: {route}\r\nContent-Length: {}\r\n\r\n{body}",
        0x7f3a_9c21_e0b4_0000_u64 + (call & 0xff),
        1000.0 * patience,
        body.len()
    )
    .into_bytes()
}

/// A request without a body.
fn request(method: &str, call: CallId) -> Vec<u8> {
    format!(
        "{method} sip:net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\nCSeq: 1 {method}\r\n\
         Content-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// The 200 to a BYE.
fn release_confirmation(call: CallId) -> Vec<u8> {
    format!(
        "SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}
