//! Callers of the fronts under trial: they keep connections open and use them until a front's end, some leave early,
//! some write in pieces, some hand standing calls over to a front that has been restarted.

use crate::front::{Front, Settings};
use crate::record::{locked, CallId, Event, FrontId, Recorder};
use crate::server::server_that_described;
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
/// A set-up that was written so shortly before its connection's end may be sent once more, on a new one.
const CROSSES_WITHIN: f64 = 0.05;
/// What the reader of a connection may be late by when it sees the end.
const SEEN_LATE: f64 = 0.02;
const TICK: Duration = Duration::from_millis(2);

/// How callers behave; shares are of a hundred.
#[derive(Clone, Copy, Debug, Default)]
pub struct Habits {
    /// Set-ups a second over all fronts.
    pub rate: f64,
    /// Give up early.
    pub leaves: u32,
    /// Of those that are refused, ask again at once.
    pub repeats: u32,
    /// Write a message in two pieces.
    pub pieces: u32,
    /// Longest pause between two pieces, seconds.
    pub longest_pause: f64,
    /// Leave very little time.
    pub hurries: u32,
    /// End a call themselves.
    pub hangs_up: u32,
    /// Hand a standing call over when its front was restarted.
    pub hands_over: u32,
}

struct Pending {
    requested_at: f64,
}

struct Connection {
    front: FrontId,
    writing: Mutex<TcpStream>,
    is_open: AtomicBool,
    /// Set-ups without a final answer, and part of a message that is still to be written.
    pending: Mutex<HashMap<CallId, Pending>>,
    rest_waits: AtomicBool,
    /// What is to be written behind that part.
    behind_rest: Mutex<Vec<u8>>,
    /// Its caller has closed it.
    is_given_up: AtomicBool,
}

impl Connection {
    /// Open, and no part of a message waits to be written.
    fn is_free(&self) -> bool {
        self.is_open.load(Ordering::Acquire) && !self.rest_waits.load(Ordering::Acquire)
    }
}

/// A call that stands, for its caller.
struct Standing {
    front: FrontId,
    server: Option<String>,
}

enum Action {
    Request { again: bool },
    Rest { connection: Arc<Connection>, bytes: Vec<u8>, call: CallId, until: f64 },
    Leave { connection: Arc<Connection>, call: CallId, by_close: bool },
    HangUp { call: CallId },
}

struct Timed {
    at: f64,
    number: u64,
    action: Action,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Timed) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Timed) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    /// The earliest is the greatest: it comes first off the heap.
    fn cmp(&self, other: &Timed) -> std::cmp::Ordering {
        other.at.total_cmp(&self.at).then(other.number.cmp(&self.number))
    }
}

/// All callers of a trial.
pub struct Callers {
    fronts: Vec<Arc<Front>>,
    settings: Settings,
    habits: Mutex<Habits>,
    recorder: Recorder,
    connections: Mutex<Vec<Arc<Connection>>>,
    standing: Mutex<HashMap<CallId, Standing>>,
    /// Calls whose front's process ended under them.
    orphans: Mutex<Vec<(CallId, Standing)>>,
    actions: Mutex<BinaryHeap<Timed>>,
    next_call: AtomicU64,
    next_action: AtomicU64,
    rng: Mutex<ChaCha8Rng>,
    over: AtomicBool,
    pools: usize,
    pub served: AtomicU64,
    pub asked: AtomicU64,
}

impl Callers {
    pub fn start(
        fronts: Vec<Arc<Front>>,
        settings: Settings,
        habits: Habits,
        pools: usize,
        seed: u64,
        recorder: &Recorder,
    ) -> Arc<Callers> {
        let callers = Arc::new(Callers {
            fronts,
            settings,
            habits: Mutex::new(habits),
            recorder: recorder.clone(),
            connections: Mutex::default(),
            standing: Mutex::default(),
            orphans: Mutex::default(),
            actions: Mutex::default(),
            next_call: AtomicU64::new((seed << 32) + 1),
            next_action: AtomicU64::new(0),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            over: AtomicBool::new(false),
            pools,
            served: AtomicU64::new(0),
            asked: AtomicU64::new(0),
        });
        let (asking, connecting) = (callers.clone(), callers.clone());
        std::thread::spawn(move || asking.act());
        std::thread::spawn(move || connecting.keep_connected());
        callers
    }

    /// Asks for nothing more; what stands goes on to its end.
    pub fn rest(&self) {
        locked(&self.habits).rate = 0.0;
    }

    /// Asks so often from now on.
    pub fn set_rate(&self, rate: f64) {
        locked(&self.habits).rate = rate;
    }

    /// Nothing stands any more, and nobody waits.
    pub fn is_quiet(&self) -> bool {
        let waits = locked(&self.connections).iter().any(|c| !locked(&c.pending).is_empty());
        !waits && locked(&self.standing).is_empty() && locked(&self.orphans).is_empty()
    }

    pub fn end(&self) {
        self.over.store(true, Ordering::Release);
    }

    fn chance(&self, of_a_hundred: u32) -> bool {
        locked(&self.rng).random_range(0..100) < of_a_hundred
    }

    fn between(&self, least: f64, most: f64) -> f64 {
        locked(&self.rng).random_range(least..most.max(least + 1e-6))
    }

    fn plan(&self, at: f64, action: Action) {
        let number = self.next_action.fetch_add(1, Ordering::Relaxed);
        locked(&self.actions).push(Timed { at, number, action });
    }

    /// Does what is due, until the trial is over.
    fn act(&self) {
        let mut next_request = self.recorder.now();
        while !self.over.load(Ordering::Acquire) {
            let now = self.recorder.now();
            let rate = locked(&self.habits).rate;
            if rate > 0.0 && next_request <= now {
                self.plan(now, Action::Request { again: false });
                next_request = now - (1.0 - self.between(0.0, 1.0)).ln() / rate;
            }
            while let Some(action) = self.due(now) {
                self.carry_out(action);
            }
            std::thread::sleep(TICK);
        }
    }

    fn due(&self, now: f64) -> Option<Action> {
        let mut actions = locked(&self.actions);
        if actions.peek().is_some_and(|timed| timed.at <= now) {
            return actions.pop().map(|timed| timed.action);
        }
        None
    }

    fn carry_out(&self, action: Action) {
        match action {
            Action::Request { again } => self.request(again),
            Action::Rest { connection, bytes, call, until } => {
                let mut behind = locked(&connection.behind_rest);
                connection.rest_waits.store(false, Ordering::Release);
                let written = write_now(&connection, &bytes);
                write_now(&connection, &std::mem::take(&mut *behind));
                drop(behind);
                if written {
                    self.requested(&connection, call, until);
                }
            }
            Action::Leave { connection, call, by_close } => self.leave(&connection, call, by_close),
            Action::HangUp { call } => self.hang_up(call),
        }
    }

    /// Opens connections again as soon as a front takes them.
    fn keep_connected(self: &Arc<Callers>) {
        while !self.over.load(Ordering::Acquire) {
            for front in &self.fronts {
                if !front.accepts.load(Ordering::Acquire) {
                    continue;
                }
                let held = locked(&self.connections).iter().filter(|c| c.front == front.id).count();
                if held < CONNECTIONS {
                    self.connect(front);
                }
            }
            self.hand_over();
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn connect(self: &Arc<Callers>, front: &Front) {
        // Not up, or full: nothing was asked.
        let Ok(stream) = TcpStream::connect_timeout(&front.listen, Duration::from_millis(500)) else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
        let Ok(reading) = stream.try_clone() else { return };
        let connection = Arc::new(Connection {
            front: front.id,
            writing: Mutex::new(stream),
            is_open: AtomicBool::new(true),
            pending: Mutex::default(),
            rest_waits: AtomicBool::new(false),
            behind_rest: Mutex::default(),
            is_given_up: AtomicBool::new(false),
        });
        locked(&self.connections).push(connection.clone());
        let callers = self.clone();
        std::thread::spawn(move || callers.read(&connection, reading));
    }

    fn request(&self, again: bool) {
        let habits = *locked(&self.habits);
        let connection = {
            let connections = locked(&self.connections);
            let open: Vec<&Arc<Connection>> = connections.iter().filter(|c| c.is_free()).collect();
            if open.is_empty() {
                return;
            }
            let place = locked(&self.rng).random_range(0..open.len());
            open[place].clone()
        };
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let hurries = self.chance(habits.hurries);
        let patience =
            if hurries { self.between(0.005, 0.08) } else { self.between(0.4, 1.0) * self.settings.deadline };
        let dest = locked(&self.rng).random_range(0..self.pools);
        let message = invite(call, patience, &format!("dest:{dest};width:1;via:-1"));
        self.asked.fetch_add(1, Ordering::Relaxed);
        // Known before it is written: its answer may come at once.
        locked(&connection.pending).insert(call, Pending { requested_at: f64::INFINITY });
        let now = self.recorder.now();
        if !again && self.chance(habits.pieces) {
            let place = locked(&self.rng).random_range(1..message.len());
            let behind = locked(&connection.behind_rest);
            connection.rest_waits.store(true, Ordering::Release);
            let written = write_now(&connection, &message[..place]);
            drop(behind);
            if written {
                let at = now + self.between(0.001, habits.longest_pause);
                let bytes = message[place..].to_vec();
                self.plan(at, Action::Rest { connection, bytes, call, until: patience });
            }
            return;
        }
        if write(&connection, &message) {
            self.requested(&connection, call, patience);
        }
    }

    /// The last byte of a set-up has been written.
    fn requested(&self, connection: &Arc<Connection>, call: CallId, patience: f64) {
        let now = self.recorder.now();
        {
            let mut pending = locked(&connection.pending);
            let Some(entry) = pending.get_mut(&call) else {
                // Answered before this is known, or its connection has ended under it.
                return;
            };
            entry.requested_at = now;
            self.recorder
                .saw_at(now, Event::Requested { call, front: connection.front, until: now + patience });
        }
        let habits = *locked(&self.habits);
        if self.chance(habits.leaves) {
            let (after, by_close) = (self.between(0.0, 0.5 * patience), self.chance(10));
            self.plan(now + after, Action::Leave { connection: connection.clone(), call, by_close });
        }
    }

    fn leave(&self, connection: &Connection, call: CallId, by_close: bool) {
        if locked(&connection.pending).remove(&call).is_none() {
            return;
        }
        if by_close {
            connection.is_given_up.store(true, Ordering::Release);
            let others: Vec<CallId> = locked(&connection.pending).drain().map(|p| p.0).collect();
            let _ = locked(&connection.writing).shutdown(Shutdown::Both);
            for call in others.into_iter().chain([call]) {
                self.recorder.saw(Event::CallerLeft { call });
            }
        } else if write(connection, &request("CANCEL", call)) {
            self.recorder.saw(Event::CallerLeft { call });
        } else {
            // Its connection has ended meanwhile: so has its interest.
            self.recorder.saw(Event::CallerLeft { call });
        }
    }

    /// A connection to that front on which a whole message can be written now.
    fn free_connection(&self, front: FrontId) -> Option<Arc<Connection>> {
        let connections = locked(&self.connections);
        connections.iter().find(|c| c.front == front && c.is_free()).cloned()
    }

    /// Ends a call that stands, on any connection to its front.
    fn hang_up(&self, call: CallId) {
        let front = locked(&self.standing).get(&call).map(|standing| standing.front);
        let Some(connection) = front.and_then(|front| self.free_connection(front)) else { return };
        if write(&connection, &request("BYE", call)) {
            locked(&self.standing).remove(&call);
            self.recorder.saw(Event::EndedByCaller { call });
        }
    }

    /// Calls whose front's process has ended are handed over to it once it is back.
    fn hand_over(&self) {
        let orphans = std::mem::take(&mut *locked(&self.orphans));
        for (call, standing) in orphans {
            let Some(server) = standing.server.clone() else { continue };
            let message = invite(call, self.settings.deadline, &format!("at:{server}"));
            let written = self.free_connection(standing.front).is_some_and(|c| write(&c, &message));
            if written {
                self.recorder.saw(Event::HandedOver { call, front: standing.front });
                locked(&self.standing).insert(call, standing);
            } else {
                locked(&self.orphans).push((call, standing));
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
                        Ok(message) => self.take(connection, &message),
                        Err(_) => break 'connection,
                    },
                    Ok(None) => break,
                    Err(_) => break 'connection,
                }
            }
        }
        self.ended(connection);
    }

    fn take(&self, connection: &Arc<Connection>, message: &Message) {
        let Ok(call) = message.call_id().map(|id| CallId::from_str_radix(id, 16).unwrap_or(0)) else {
            return;
        };
        match message.start {
            Start::Response { status, .. }
                if status >= 200 && message.cseq().is_ok_and(|c| c.1 == Method::Invite) =>
            {
                self.answered(connection, call, status, message);
            }
            Start::Request { method: Method::Bye, .. } => {
                write(connection, &confirmation(call));
                self.recorder.saw(Event::ReleasedToCaller { call });
                locked(&self.standing).remove(&call);
                locked(&self.orphans).retain(|(orphan, _)| *orphan != call);
            }
            _ => {}
        }
    }

    fn answered(&self, connection: &Arc<Connection>, call: CallId, status: u16, message: &Message) {
        let was_pending = locked(&connection.pending).remove(&call);
        // A 487 belongs to a cancel, and nobody waits for it.
        if was_pending.is_none() && status != 200 {
            return;
        }
        let requested = was_pending.is_some_and(|p| p.requested_at.is_finite());
        if !requested {
            // The answer overtook the note of the request's last byte.
            let now = self.recorder.now();
            let until = now + self.settings.deadline;
            self.recorder.saw_at(now, Event::Requested { call, front: connection.front, until });
        }
        let server = server_that_described(call, message.body);
        let sound = status != 200 || server.is_some();
        self.recorder.saw(Event::Answered { call, status, sound });
        write(connection, &request("ACK", call));
        if status == 200 {
            self.served.fetch_add(1, Ordering::Relaxed);
            locked(&self.standing).insert(call, Standing { front: connection.front, server });
            let habits = *locked(&self.habits);
            if self.chance(habits.hangs_up) {
                let after = self.between(0.05, 4.0);
                self.plan(self.recorder.now() + after, Action::HangUp { call });
            }
        } else if status == 503 && self.chance(locked(&self.habits).repeats) {
            self.plan(self.recorder.now(), Action::Request { again: true });
        }
    }

    fn ended(&self, connection: &Arc<Connection>) {
        let now = self.recorder.now();
        connection.is_open.store(false, Ordering::Release);
        locked(&self.connections).retain(|c| !Arc::ptr_eq(c, connection));
        let pending: Vec<(CallId, Pending)> = locked(&connection.pending).drain().collect();
        let crosses =
            |p: &Pending| p.requested_at.is_finite() && now - p.requested_at < CROSSES_WITHIN + SEEN_LATE;
        // One of which only a part was written asks for nothing yet.
        let all_cross = pending.iter().all(|(_, p)| crosses(p) || !p.requested_at.is_finite());
        for (call, pending) in pending.iter().filter(|(_, p)| p.requested_at.is_finite()) {
            if connection.is_given_up.load(Ordering::Acquire) {
                self.recorder.saw_at(now, Event::CallerLeft { call: *call });
                continue;
            }
            self.recorder.saw_at(now, Event::ConnectionEnded { call: *call });
            if all_cross && crosses(pending) {
                self.recorder.saw_at(now, Event::CrossedClose { call: *call });
                self.plan(now, Action::Request { again: true });
            }
        }
    }

    /// The process of a front has ended: what stood there is handed over, or given up.
    pub fn front_ended(&self, front: FrontId) {
        let stood: Vec<(CallId, Standing)> =
            locked(&self.standing).extract_if(|_, standing| standing.front == front).collect();
        let share = locked(&self.habits).hands_over;
        let handed = stood.into_iter().filter(|_| self.chance(share));
        locked(&self.orphans).extend(handed);
    }
}

/// Writes a whole message; behind the rest of another one where that is still to come.
fn write(connection: &Connection, bytes: &[u8]) -> bool {
    let mut behind = locked(&connection.behind_rest);
    if connection.rest_waits.load(Ordering::Acquire) {
        behind.extend_from_slice(bytes);
        return connection.is_open.load(Ordering::Acquire);
    }
    write_now(connection, bytes)
}

fn write_now(connection: &Connection, bytes: &[u8]) -> bool {
    connection.is_open.load(Ordering::Acquire) && locked(&connection.writing).write_all(bytes).is_ok()
}

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

fn request(method: &str, call: CallId) -> Vec<u8> {
    format!(
        "{method} sip:net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\nCSeq: 1 {method}\r\n\
         Content-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

fn confirmation(call: CallId) -> Vec<u8> {
    format!(
        "SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}
