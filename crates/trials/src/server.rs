//! A stand-in signalling server with faults. It answers set-ups, holds calls and ends them; as the plan or
//! its random numbers require, it hangs, vanishes, dies, malforms or loses answers, or resets connections.

use crate::address::Hosts;
use crate::record::{locked, CallId, Event, FrontId, Recorder, ServerId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use shalespindle_standin::presence::{Presence, PresenceSwitch};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Interval between two checks for due actions.
const TICK: Duration = Duration::from_millis(3);
/// Interval between unrequested state messages on each connection, seconds.
const STATE_INTERVAL: f64 = 0.5;
/// Q.850 causes of releases: normal clearing, no circuit available, temporary failure.
const CAUSE_CLEARED: u16 = 16;
const CAUSE_FULL: u16 = 34;
const CAUSE_CUT: u16 = 41;

/// Fault profile of a server. Percentages are of set-ups; at most one of these faults applies to a set-up.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultProfile {
    /// Released as full.
    pub full_percent: u32,
    /// Released with a temporary failure; the attempt may still be running.
    pub cut_percent: u32,
    /// Never answered.
    pub lost_percent: u32,
    /// Answered with a line that is not valid JSON.
    pub malformed_percent: u32,
    /// Answered twice.
    pub duplicate_percent: u32,
    /// The connection is reset instead of an answer.
    pub reset_percent: u32,
    /// Maximum time until an answer, seconds.
    pub max_answer_delay: f64,
    /// Maximum time until the first message on a new connection, seconds.
    pub max_first_message_delay: f64,
    /// Connections on which nothing was received for so long are closed, seconds; 0: none.
    pub idle_timeout: f64,
    /// Sends its state at intervals without being asked, not only once per connection.
    pub sends_state: bool,
    /// Maximum time that a call stays established, seconds.
    pub max_call_duration: f64,
}

/// How the server reacts to a set-up.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AttemptOutcome {
    Answer,
    AnswerTwice,
    Full,
    Cut,
    Lost,
    Malformed,
    Reset,
}

struct Attempt {
    call: CallId,
    connection: usize,
    answer_at: f64,
    outcome: AttemptOutcome,
}

struct EstablishedCall {
    connection: usize,
    front: FrontId,
    ends_at: f64,
    /// It ended while the server could send no release.
    has_ended: bool,
}

struct Connection {
    stream: TcpStream,
    front: FrontId,
    /// Time of the next state message.
    next_state_at: f64,
    /// The first message was sent on this connection.
    first_message_sent: bool,
    last_used_at: f64,
}

#[derive(Default)]
struct State {
    connections: BTreeMap<usize, Connection>,
    next_connection: usize,
    attempts: Vec<Attempt>,
    established: HashMap<CallId, EstablishedCall>,
    /// Releases that are sent again on the next new connection of their front.
    releases_to_repeat: Vec<(FrontId, CallId)>,
    /// The server has ended and does not come back.
    dead: bool,
}

struct Shared {
    id: ServerId,
    fault_profile: FaultProfile,
    recorder: Recorder,
    presence: PresenceSwitch,
    state: Mutex<State>,
    rng: Mutex<ChaCha8Rng>,
}

/// One server; it runs until it dies or its trial ends.
#[derive(Clone)]
pub struct Server {
    pub port: u16,
    shared: Arc<Shared>,
}

impl Server {
    /// Starts a server with a listener for each front on the given port, or on any free one.
    pub fn start(
        id: ServerId,
        hosts: &Hosts,
        port: Option<u16>,
        fault_profile: FaultProfile,
        seed: u64,
        recorder: &Recorder,
    ) -> io::Result<Server> {
        let listeners = hosts.listen(port)?;
        let port = listeners[0].local_addr()?.port();
        let fronts = listeners.len();
        let shared = Arc::new(Shared {
            id,
            fault_profile,
            recorder: recorder.clone(),
            presence: PresenceSwitch::new(listeners),
            state: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        });
        for front in 0..fronts {
            let accepting = shared.clone();
            std::thread::spawn(move || accept(&accepting, front));
        }
        let ticking = shared.clone();
        std::thread::spawn(move || tick(&ticking));
        Ok(Server { port, shared })
    }

    /// Hangs, vanishes or serves again. Established calls stay established.
    pub fn set_presence(&self, presence: Presence) -> io::Result<()> {
        if self.is_dead() {
            return Ok(());
        }
        self.shared.presence.set(presence)?;
        if presence == Presence::Vanished {
            // Releases from the fronts no longer arrive, so the attempts may still be running.
            let state = locked(&self.shared.state);
            state.attempts.iter().for_each(|a| self.shared.attempt_ended(a.call, true));
        }
        Ok(())
    }

    /// The machine is lost permanently: its calls and attempts end without a release.
    pub fn vanish_permanently(&self) -> io::Result<()> {
        if self.is_dead() {
            return Ok(());
        }
        self.shared.presence.set(Presence::Vanished)?;
        self.end_everything();
        Ok(())
    }

    /// The process dies: open connections are reset, new ones refused.
    pub fn die(&self) -> io::Result<()> {
        let mut state = locked(&self.shared.state);
        if std::mem::replace(&mut state.dead, true) {
            return Ok(());
        }
        self.shared.presence.close()?;
        for connection in std::mem::take(&mut state.connections).into_values() {
            reset(&connection.stream);
        }
        drop(state);
        self.end_everything();
        Ok(())
    }

    /// Ends all calls, each with a release, before the server leaves.
    pub fn end_calls(&self) {
        let now = self.shared.recorder.now();
        locked(&self.shared.state).established.values_mut().for_each(|call| call.ends_at = now);
    }

    fn is_dead(&self) -> bool {
        locked(&self.shared.state).dead
    }

    fn end_everything(&self) {
        let mut state = locked(&self.shared.state);
        for attempt in std::mem::take(&mut state.attempts) {
            self.shared.attempt_ended(attempt.call, true);
        }
        for call in std::mem::take(&mut state.established).into_keys() {
            let over = Event::CallOver { call, server: self.shared.id, released: false };
            self.shared.recorder.record(over);
        }
        state.dead = true;
    }
}

fn reset(stream: &TcpStream) {
    // Fails only if the connection has already ended.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

fn write_line(mut stream: &TcpStream, line: &Value) -> bool {
    stream.write_all(format!("{line}\n").as_bytes()).is_ok()
}

fn call_id(call: CallId) -> String {
    format!("{call:016x}")
}

/// Name of a server in the members list.
pub fn server_name(id: ServerId) -> String {
    format!("s-{id}")
}

/// Session description in an answer. It names the call and the server, so that the caller can check both.
fn description(call: CallId, server: ServerId) -> String {
    format!("77aa{call:016x} {}", server_name(server))
}

/// Returns the server that made the description for this call; `None` if no server did.
pub fn server_in_description(call: CallId, description: &[u8]) -> Option<ServerId> {
    let text = std::str::from_utf8(description).ok()?;
    let server = text.strip_prefix(&format!("77aa{call:016x} "))?;
    server.strip_prefix("s-")?.parse().ok()
}

fn release(call: CallId, cause: u16) -> Value {
    json!({"type": "release", "id": call_id(call), "fields": {}, "cause": cause})
}

fn state_line() -> Value {
    json!({"type": "state", "id": "", "fields": {"load": "x0:40;x1:40;latency_ms:1"}})
}

/// Accepts connections of one front until the server dies.
fn accept(shared: &Arc<Shared>, front: FrontId) {
    while let Ok(stream) = shared.presence.accept(front) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
        let Ok(reading) = stream.try_clone() else { continue };
        let now = shared.recorder.now();
        let max_delay = shared.fault_profile.max_first_message_delay;
        let delay = if max_delay > 0.0 { locked(&shared.rng).random_range(0.0..max_delay) } else { 0.0 };
        let mut state = locked(&shared.state);
        if state.dead {
            return reset(&stream);
        }
        state.next_connection += 1;
        let number = state.next_connection;
        state.connections.insert(
            number,
            Connection {
                stream,
                front,
                next_state_at: now + delay,
                first_message_sent: false,
                last_used_at: now,
            },
        );
        drop(state);
        let shared = shared.clone();
        std::thread::spawn(move || shared.read(number, reading));
    }
}

/// Carries out due actions until the server is dead.
fn tick(shared: &Arc<Shared>) {
    loop {
        std::thread::sleep(TICK);
        let mut state = locked(&shared.state);
        if state.dead {
            return;
        }
        let now = shared.recorder.now();
        if shared.presence.get() == Presence::Serving {
            shared.send_states(now, &mut state);
            shared.send_answers(now, &mut state);
            shared.close_idle(now, &mut state);
        }
        shared.end_calls(now, &mut state);
    }
}

impl Shared {
    fn attempt_ended(&self, call: CallId, unsure: bool) {
        self.recorder.record(Event::AttemptEnded { call, server: self.id, unsure });
    }

    /// Reads a connection until it ends.
    fn read(&self, connection: usize, stream: TcpStream) {
        for line in BufReader::new(stream).lines() {
            let Ok(line) = line else { break };
            // Nothing reaches a machine that has vanished.
            if self.presence.get() == Presence::Vanished {
                continue;
            }
            let Ok(message) = serde_json::from_str::<Value>(&line) else { break };
            self.handle_message(connection, &message);
        }
        let mut state = locked(&self.state);
        state.connections.remove(&connection);
        let (ended, left) = std::mem::take(&mut state.attempts)
            .into_iter()
            .partition(|a: &Attempt| a.connection == connection);
        state.attempts = left;
        ended.into_iter().for_each(|a| self.attempt_ended(a.call, true));
    }

    fn handle_message(&self, connection: usize, message: &Value) {
        let id = message["id"].as_str().unwrap_or("");
        let call = CallId::from_str_radix(id, 16).unwrap_or(0);
        let now = self.recorder.now();
        let mut state = locked(&self.state);
        if let Some(connection) = state.connections.get_mut(&connection) {
            connection.last_used_at = now;
        }
        match message["type"].as_str().unwrap_or("") {
            "setup" => {
                self.recorder.record(Event::SetUp { call, server: self.id });
                let (outcome, answer_at) = self.draw_outcome(now);
                state.attempts.push(Attempt { call, connection, answer_at, outcome });
            }
            "release" => {
                if let Some(index) = state.attempts.iter().position(|a| a.call == call) {
                    state.attempts.remove(index);
                    self.attempt_ended(call, true);
                }
                state.established.remove(&call);
            }
            // A hanging server drops pings; they are not answered later.
            "ping" if self.presence.get() == Presence::Serving => {
                let fields = json!({"load": "x0:40;x1:40;latency_ms:1"});
                let pong = json!({"type": "pong", "id": id, "fields": fields, "cause": 1});
                if let Some(connection) = state.connections.get(&connection) {
                    write_line(&connection.stream, &pong);
                }
            }
            _ => {}
        }
    }

    fn draw_outcome(&self, now: f64) -> (AttemptOutcome, f64) {
        let fault_profile = self.fault_profile;
        let mut rng = locked(&self.rng);
        let answer_at = now + rng.random_range(0.002..fault_profile.max_answer_delay.max(0.003));
        let mut roll = rng.random_range(0..100);
        let shares = [
            (fault_profile.full_percent, AttemptOutcome::Full),
            (fault_profile.cut_percent, AttemptOutcome::Cut),
            (fault_profile.lost_percent, AttemptOutcome::Lost),
            (fault_profile.malformed_percent, AttemptOutcome::Malformed),
            (fault_profile.duplicate_percent, AttemptOutcome::AnswerTwice),
            (fault_profile.reset_percent, AttemptOutcome::Reset),
        ];
        for (percent, outcome) in shares {
            if roll < percent {
                return (outcome, answer_at);
            }
            roll -= percent;
        }
        (AttemptOutcome::Answer, answer_at)
    }

    fn send_states(&self, now: f64, state: &mut State) {
        let State { connections, releases_to_repeat, .. } = state;
        for connection in connections.values_mut().filter(|c| c.next_state_at <= now) {
            write_line(&connection.stream, &state_line());
            connection.next_state_at =
                if self.fault_profile.sends_state { now + STATE_INTERVAL } else { f64::INFINITY };
            if !std::mem::replace(&mut connection.first_message_sent, true) {
                // Releases that the front may have missed on an earlier connection.
                let own = releases_to_repeat.extract_if(.., |(front, _)| *front == connection.front);
                for (_, call) in own.collect::<Vec<_>>() {
                    write_line(&connection.stream, &release(call, CAUSE_CLEARED));
                }
            }
        }
    }

    fn send_answers(&self, now: f64, state: &mut State) {
        let (due, left) =
            std::mem::take(&mut state.attempts).into_iter().partition(|a: &Attempt| a.answer_at <= now);
        state.attempts = left;
        for mut attempt in due {
            if attempt.outcome == AttemptOutcome::Lost {
                // Keeps running until the front gives it up.
                attempt.answer_at = f64::INFINITY;
                state.attempts.push(attempt);
                continue;
            }
            let Some(connection) = state.connections.get(&attempt.connection) else { continue };
            let (stream, call) = (&connection.stream, attempt.call);
            let answer = json!({"type": "answer", "id": call_id(call), "fields": {}, "sdp": description(call, self.id)});
            match attempt.outcome {
                AttemptOutcome::Answer | AttemptOutcome::AnswerTwice => {
                    self.attempt_ended(call, false);
                    write_line(stream, &answer);
                    if attempt.outcome == AttemptOutcome::AnswerTwice {
                        write_line(stream, &answer);
                    }
                    let max_duration = self.fault_profile.max_call_duration.max(0.2);
                    let ends_at = now + locked(&self.rng).random_range(0.1..max_duration);
                    let (connection, front) = (attempt.connection, connection.front);
                    state
                        .established
                        .insert(call, EstablishedCall { connection, front, ends_at, has_ended: false });
                }
                AttemptOutcome::Full => {
                    self.attempt_ended(call, false);
                    write_line(stream, &release(call, CAUSE_FULL));
                }
                AttemptOutcome::Cut => {
                    self.attempt_ended(call, true);
                    write_line(stream, &release(call, CAUSE_CUT));
                }
                AttemptOutcome::Malformed => {
                    self.attempt_ended(call, true);
                    let _ = (&mut &*stream).write_all(b"{\"type\":\"answer\",\"id\":\"noise\n");
                }
                AttemptOutcome::Reset => {
                    self.attempt_ended(call, true);
                    reset(stream);
                }
                AttemptOutcome::Lost => {}
            }
        }
    }

    fn close_idle(&self, now: f64, state: &mut State) {
        let idle_timeout = self.fault_profile.idle_timeout;
        if idle_timeout <= 0.0 {
            return;
        }
        for connection in state.connections.values().filter(|c| now - c.last_used_at > idle_timeout) {
            let _ = connection.stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Ends the calls whose time has come. A server that hangs or has vanished sends their releases when it
    /// serves again.
    fn end_calls(&self, now: f64, state: &mut State) {
        let is_serving = self.presence.get() == Presence::Serving;
        let ended: Vec<CallId> =
            state.established.iter().filter(|s| s.1.ends_at <= now).map(|s| *s.0).collect();
        for call in ended {
            let Some(established) = state.established.get_mut(&call) else { continue };
            let had_ended = std::mem::replace(&mut established.has_ended, true);
            if !is_serving {
                if !had_ended {
                    self.recorder.record(Event::CallOver { call, server: self.id, released: false });
                }
                continue;
            }
            let (own, front) = (established.connection, established.front);
            let mut others = state.connections.values().filter(|c| c.front == front);
            let connection = state.connections.get(&own).or_else(|| others.next());
            let released = connection.is_some_and(|c| write_line(&c.stream, &release(call, CAUSE_CLEARED)));
            if !had_ended {
                self.recorder.record(Event::CallOver { call, server: self.id, released });
            }
            state.releases_to_repeat.push((front, call));
            state.established.remove(&call);
        }
    }
}
