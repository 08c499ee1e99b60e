//! Peers of a live front on sockets, according to the platform's published pages: a signalling server of JSON
//! lines and a control feed of server-sent events. Tests control them and receive every line from a channel.

use crate::presence::{Presence, PresenceSwitch};
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

type Shared<T> = Arc<Mutex<T>>;

fn locked<T>(shared: &Shared<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A line that a signalling server received, and the connection on which to answer it.
pub struct ReceivedLine {
    pub line: Value,
    stream: TcpStream,
}

impl ReceivedLine {
    pub fn kind(&self) -> &str {
        self.line["type"].as_str().unwrap_or("")
    }

    pub fn id(&self) -> &str {
        self.line["id"].as_str().unwrap_or("")
    }

    /// Writes a line on the connection on which this one arrived.
    pub fn reply(&self, line: &Value) -> io::Result<()> {
        write_line(&self.stream, line)
    }

    /// Shuts that connection down.
    pub fn cut(&self) -> io::Result<()> {
        self.stream.shutdown(std::net::Shutdown::Both)
    }
}

fn write_line(mut stream: &TcpStream, line: &Value) -> io::Result<()> {
    stream.write_all(format!("{line}\n").as_bytes())
}

/// A signalling server: sends its state first on every connection and answers pings automatically.
pub struct LineServer {
    pub address: SocketAddr,
    received: Receiver<ReceivedLine>,
    held: Held,
    accepted: Arc<AtomicUsize>,
    presence: PresenceSwitch,
}

/// The connections on which the state has not been sent; `None`: the state is sent at once.
type Held = Shared<Option<Vec<TcpStream>>>;

impl LineServer {
    pub fn start() -> io::Result<LineServer> {
        LineServer::with(None)
    }

    /// Starts a server that accepts connections and sends nothing on them before [`LineServer::send_state`].
    pub fn silent() -> io::Result<LineServer> {
        LineServer::with(Some(Vec::new()))
    }

    fn with(held: Option<Vec<TcpStream>>) -> io::Result<LineServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (sender, received) = channel();
        let held = Arc::new(Mutex::new(held));
        let holding = held.clone();
        let accepted = Arc::new(AtomicUsize::new(0));
        let counting = accepted.clone();
        let presence = PresenceSwitch::new(vec![listener]);
        let switch = presence.clone();
        std::thread::spawn(move || {
            while let Ok(stream) = switch.accept(0) {
                counting.fetch_add(1, Ordering::Relaxed);
                let (sender, held, switch) = (sender.clone(), holding.clone(), switch.clone());
                std::thread::spawn(move || serve(stream, &sender, &held, &switch));
            }
        });
        Ok(LineServer { address, received, held, accepted, presence })
    }

    /// Makes the server hang, vanish or serve again.
    pub fn set_presence(&self, presence: Presence) -> io::Result<()> {
        self.presence.set(presence)
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Number of connections on which the state has not been sent.
    pub fn held(&self) -> usize {
        locked(&self.held).as_ref().map_or(0, Vec::len)
    }

    /// Sends the state on all connections that wait for it; on later ones it is sent at once.
    pub fn send_state(&self) -> io::Result<()> {
        locked(&self.held).take().into_iter().flatten().try_for_each(|stream| write_line(&stream, &state()))
    }

    /// Takes all lines that have arrived, without the pings.
    pub fn take_received(&self) -> Vec<ReceivedLine> {
        self.received.try_iter().collect()
    }

    /// Waits for the next line of that type and discards others before it.
    pub fn expect(&self, kind: &str, within: Duration) -> Result<ReceivedLine, RecvTimeoutError> {
        loop {
            let received = self.received.recv_timeout(within)?;
            if received.kind() == kind {
                return Ok(received);
            }
        }
    }
}

fn state() -> Value {
    serde_json::json!({"type": "state", "id": "", "fields": {"load": "x0:40;x1:40"}})
}

/// Serves one connection until it ends for any reason.
fn serve(
    stream: TcpStream,
    sender: &Sender<ReceivedLine>,
    held: &Held,
    presence: &PresenceSwitch,
) -> Option<()> {
    presence.wait_until_serving();
    match &mut *locked(held) {
        Some(waiting) => waiting.push(stream.try_clone().ok()?),
        None => write_line(&stream, &state()).ok()?,
    }
    for line in BufReader::new(stream.try_clone().ok()?).lines() {
        let line: Value = serde_json::from_str(&line.ok()?).ok()?;
        presence.wait_until_serving();
        if line["type"] == "ping" && locked(held).is_some() {
            // No pong either: it would be the first message on the connection.
            continue;
        }
        if line["type"] == "ping" {
            let fields = serde_json::json!({"load": "x0:40;x1:40;latency_ms:1"});
            let pong = serde_json::json!({"type": "pong", "id": line["id"], "fields": fields, "cause": 1});
            write_line(&stream, &pong).ok()?;
            continue;
        }
        sender.send(ReceivedLine { line, stream: stream.try_clone().ok()? }).ok()?;
    }
    Some(())
}

/// A server that sends its state and reads nothing, with minimal socket buffers, until
/// [`NonReadingServer::read_set_ups`].
pub struct NonReadingServer {
    pub address: SocketAddr,
    streams: Shared<Vec<(SocketAddr, TcpStream)>>,
}

impl NonReadingServer {
    pub fn start() -> io::Result<NonReadingServer> {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        listener.set_recv_buffer_size(2048)?;
        // With small segments the client's socket gets a small buffer too.
        listener.set_tcp_mss(536)?;
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        listener.listen(64)?;
        let listener = TcpListener::from(listener);
        let (address, streams): (_, Shared<Vec<(SocketAddr, TcpStream)>>) =
            (listener.local_addr()?, Shared::default());
        let kept = streams.clone();
        std::thread::spawn(move || {
            while let Ok((stream, peer)) = listener.accept() {
                if write_line(&stream, &state()).is_ok() {
                    locked(&kept).push((peer, stream));
                }
            }
        });
        Ok(NonReadingServer { address, streams })
    }

    /// Reads every connection made so far until it ends or is silent for that long, and returns the ids of
    /// the set-ups that arrived complete.
    pub fn read_set_ups(&self, silent_for: Duration) -> io::Result<Vec<ReceivedSetUps>> {
        let mut received = Vec::new();
        for (peer, stream) in locked(&self.streams).drain(..) {
            let mut ids = Vec::new();
            stream.set_read_timeout(Some(silent_for))?;
            let mut reader = BufReader::new(stream);
            let mut line = Vec::new();
            // The loop ends when the connection is reset, ended or silent. A line without line feed is
            // incomplete.
            while reader.read_until(b'\n', &mut line).is_ok() && line.ends_with(b"\n") {
                let message: Value = serde_json::from_slice(&std::mem::take(&mut line))?;
                if message["type"] == "setup" {
                    ids.push(message["id"].as_str().unwrap_or("").to_string());
                }
            }
            received.push(ReceivedSetUps { peer, ids });
        }
        Ok(received)
    }
}

/// The set-ups that arrived complete on one connection, and their sender.
#[derive(Debug)]
pub struct ReceivedSetUps {
    pub peer: SocketAddr,
    pub ids: Vec<String>,
}

/// A control feed: stores all events and sends a front those after the number in its request.
pub struct EventFeed {
    pub address: SocketAddr,
    state: Shared<FeedState>,
}

#[derive(Default)]
struct FeedState {
    events: Vec<String>,
    open: Vec<TcpStream>,
    /// The numbers in the requests so far.
    asked: Vec<usize>,
    /// Connections are accepted and closed without an answer.
    away: bool,
    /// Time that each request waits for its response.
    response_delay: Duration,
}

impl EventFeed {
    /// Starts a feed with these past events.
    pub fn start(events: Vec<String>) -> io::Result<EventFeed> {
        EventFeed::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), events)
    }

    /// Starts a feed at an address that is already in the fronts' settings.
    pub fn start_at(at: SocketAddr, events: Vec<String>) -> io::Result<EventFeed> {
        let listener = TcpListener::bind(at)?;
        let address = listener.local_addr()?;
        let state: Shared<FeedState> = Arc::new(Mutex::new(FeedState { events, ..FeedState::default() }));
        let (for_requests, for_ticks) = (state.clone(), Arc::downgrade(&state));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = for_requests.clone();
                std::thread::spawn(move || answer_request(stream, &state));
            }
        });
        std::thread::spawn(move || {
            while let Some(state) = for_ticks.upgrade() {
                locked(&state).open.retain_mut(|stream| stream.write_all(b": tick\n\n").is_ok());
                drop(state);
                std::thread::sleep(Duration::from_millis(500));
            }
        });
        Ok(EventFeed { address, state })
    }

    /// Adds an event and sends it to all connected fronts.
    pub fn tell(&self, event: String) {
        let mut state = locked(&self.state);
        state.events.push(event);
        let (number, text) = (state.events.len(), state.events[state.events.len() - 1].clone());
        state.open.retain_mut(|stream| write!(stream, "id: {number}\ndata: {text}\n\n").is_ok());
    }

    /// Makes the feed unavailable, which closes all its connections, or available again. Events that are
    /// added in between are stored.
    pub fn set_away(&self, away: bool) {
        let mut state = locked(&self.state);
        state.away = away;
        if away {
            state.open.clear();
        }
    }

    /// Makes every later request wait for its response.
    pub fn set_response_delay(&self, delay: Duration) {
        locked(&self.state).response_delay = delay;
    }

    /// The event numbers after which fronts have requested events so far.
    pub fn asked(&self) -> Vec<usize> {
        locked(&self.state).asked.clone()
    }
}

/// Answers one HTTP request with the events after its Last-Event-ID.
fn answer_request(mut stream: TcpStream, state: &Shared<FeedState>) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") && head.len() < 4096 {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.extend(byte);
    }
    let text = String::from_utf8(head).ok()?;
    let after = text.lines().find_map(|l| l.strip_prefix("Last-Event-ID: "))?.parse::<usize>().ok()?;
    let delay = {
        let mut state = locked(state);
        if state.away {
            return None;
        }
        state.asked.push(after);
        state.response_delay
    };
    std::thread::sleep(delay);
    let mut state = locked(state);
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n").ok()?;
    for (index, event) in state.events.iter().enumerate().skip(after) {
        write!(stream, "id: {}\ndata: {event}\n\n", index + 1).ok()?;
    }
    state.open.push(stream);
    Some(())
}
