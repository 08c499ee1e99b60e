//! Peers of a live front on sockets, from the platform's published pages: a signalling server of JSON lines
//! and a control feed of server-sent events. A test says what they do; everything they get comes out of a
//! channel.

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

/// A line that a signalling server got, and where to answer it.
pub struct Got {
    pub line: Value,
    stream: TcpStream,
}

impl Got {
    pub fn kind(&self) -> &str {
        self.line["type"].as_str().unwrap_or("")
    }

    pub fn id(&self) -> &str {
        self.line["id"].as_str().unwrap_or("")
    }

    /// Writes a line on the connection that this one came on.
    pub fn reply(&self, line: &Value) -> io::Result<()> {
        write_line(&self.stream, line)
    }

    /// Ends that connection.
    pub fn cut(&self) -> io::Result<()> {
        self.stream.shutdown(std::net::Shutdown::Both)
    }
}

fn write_line(mut stream: &TcpStream, line: &Value) -> io::Result<()> {
    stream.write_all(format!("{line}\n").as_bytes())
}

/// A signalling server: says its state first on every connection and answers tests by itself.
pub struct LineServer {
    pub address: SocketAddr,
    got: Receiver<Got>,
    held: Held,
    accepted: Arc<AtomicUsize>,
    presence: PresenceSwitch,
}

/// The connections whose first word is held back; none where it is not.
type Held = Shared<Option<Vec<TcpStream>>>;

impl LineServer {
    pub fn start() -> io::Result<LineServer> {
        LineServer::with(None)
    }

    /// One that takes connections and says nothing on them before [`LineServer::say_state`].
    pub fn silent() -> io::Result<LineServer> {
        LineServer::with(Some(Vec::new()))
    }

    fn with(held: Option<Vec<TcpStream>>) -> io::Result<LineServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (tell, got) = channel();
        let held = Arc::new(Mutex::new(held));
        let holding = held.clone();
        let accepted = Arc::new(AtomicUsize::new(0));
        let counting = accepted.clone();
        let presence = PresenceSwitch::new(vec![listener]);
        let switch = presence.clone();
        std::thread::spawn(move || {
            while let Ok(stream) = switch.accept(0) {
                counting.fetch_add(1, Ordering::Relaxed);
                let (tell, held, switch) = (tell.clone(), holding.clone(), switch.clone());
                std::thread::spawn(move || serve(stream, &tell, &held, &switch));
            }
        });
        Ok(LineServer { address, got, held, accepted, presence })
    }

    /// Hangs, vanishes or serves again.
    pub fn set_presence(&self, presence: Presence) -> io::Result<()> {
        self.presence.set(presence)
    }

    /// How many connections have been made to it so far.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    /// How many connections wait for its first word.
    pub fn held(&self) -> usize {
        locked(&self.held).as_ref().map_or(0, Vec::len)
    }

    /// Says its state on all connections that wait for it; from now on it is said at once.
    pub fn say_state(&self) -> io::Result<()> {
        locked(&self.held).take().into_iter().flatten().try_for_each(|stream| write_line(&stream, &state()))
    }

    /// All lines that have come so far, tests aside.
    pub fn so_far(&self) -> Vec<Got> {
        self.got.try_iter().collect()
    }

    /// The next line of that type; others before it are passed over.
    pub fn expect(&self, kind: &str, within: Duration) -> Result<Got, RecvTimeoutError> {
        loop {
            let got = self.got.recv_timeout(within)?;
            if got.kind() == kind {
                return Ok(got);
            }
        }
    }
}

fn state() -> Value {
    serde_json::json!({"type": "state", "id": "", "fields": {"load": "x0:40;x1:40"}})
}

/// Ends with its connection, whatever the reason.
fn serve(stream: TcpStream, tell: &Sender<Got>, held: &Held, presence: &PresenceSwitch) -> Option<()> {
    presence.wait_until_serving();
    match &mut *locked(held) {
        Some(waiting) => waiting.push(stream.try_clone().ok()?),
        None => write_line(&stream, &state()).ok()?,
    }
    for line in BufReader::new(stream.try_clone().ok()?).lines() {
        let line: Value = serde_json::from_str(&line.ok()?).ok()?;
        presence.wait_until_serving();
        if line["type"] == "ping" && locked(held).is_some() {
            // Silent altogether: an answer would be a first word too.
            continue;
        }
        if line["type"] == "ping" {
            let fields = serde_json::json!({"load": "x0:40;x1:40;latency_ms:1"});
            let pong = serde_json::json!({"type": "pong", "id": line["id"], "fields": fields, "cause": 1});
            write_line(&stream, &pong).ok()?;
            continue;
        }
        tell.send(Got { line, stream: stream.try_clone().ok()? }).ok()?;
    }
    Some(())
}

/// A server that says its state and reads nothing, with sockets that hold next to nothing, until it is told
/// to.
pub struct DeafServer {
    pub address: SocketAddr,
    streams: Shared<Vec<(SocketAddr, TcpStream)>>,
}

impl DeafServer {
    pub fn start() -> io::Result<DeafServer> {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        listener.set_recv_buffer_size(2048)?;
        // With small segments the other side gives its socket a small buffer too.
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
        Ok(DeafServer { address, streams })
    }

    /// Reads at last: the ids of all set-ups that come whole on each connection made so far, until it has
    /// ended or has been silent for that long.
    pub fn hear(&self, silent_for: Duration) -> io::Result<Vec<Heard>> {
        let mut heard = Vec::new();
        for (peer, stream) in locked(&self.streams).drain(..) {
            let mut ids = Vec::new();
            stream.set_read_timeout(Some(silent_for))?;
            let mut reader = BufReader::new(stream);
            let mut line = Vec::new();
            // Reset, ended or silent: nothing more comes on it. What has no line feed has not come whole.
            while reader.read_until(b'\n', &mut line).is_ok() && line.ends_with(b"\n") {
                let message: Value = serde_json::from_slice(&std::mem::take(&mut line))?;
                if message["type"] == "setup" {
                    ids.push(message["id"].as_str().unwrap_or("").to_string());
                }
            }
            heard.push(Heard { peer, ids });
        }
        Ok(heard)
    }
}

/// The set-ups that came whole on one connection, and who sent them.
#[derive(Debug)]
pub struct Heard {
    pub peer: SocketAddr,
    pub ids: Vec<String>,
}

/// A control feed: keeps all events, and tells a front those after the number it names.
pub struct EventFeed {
    pub address: SocketAddr,
    told: Shared<Told>,
}

#[derive(Default)]
struct Told {
    events: Vec<String>,
    open: Vec<TcpStream>,
    asked: Vec<usize>,
    /// Takes connections and ends them without a word.
    away: bool,
}

impl EventFeed {
    /// A feed that has so many events behind it already.
    pub fn start(events: Vec<String>) -> io::Result<EventFeed> {
        EventFeed::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), events)
    }

    /// The same at an address that fronts have been told already.
    pub fn start_at(at: SocketAddr, events: Vec<String>) -> io::Result<EventFeed> {
        let listener = TcpListener::bind(at)?;
        let address = listener.local_addr()?;
        let told: Shared<Told> = Arc::new(Mutex::new(Told { events, ..Told::default() }));
        let (asking, ticking) = (told.clone(), Arc::downgrade(&told));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                asked(stream, &asking);
            }
        });
        std::thread::spawn(move || {
            while let Some(told) = ticking.upgrade() {
                locked(&told).open.retain_mut(|stream| stream.write_all(b": tick\n\n").is_ok());
                drop(told);
                std::thread::sleep(Duration::from_millis(500));
            }
        });
        Ok(EventFeed { address, told })
    }

    pub fn tell(&self, event: String) {
        let mut told = locked(&self.told);
        told.events.push(event);
        let (number, text) = (told.events.len(), told.events[told.events.len() - 1].clone());
        told.open.retain_mut(|stream| write!(stream, "id: {number}\ndata: {text}\n\n").is_ok());
    }

    /// Goes away, and with it all who listen, or comes back; what is told meanwhile is kept.
    pub fn set_away(&self, away: bool) {
        let mut told = locked(&self.told);
        told.away = away;
        if away {
            told.open.clear();
        }
    }

    /// The numbers after which fronts have asked so far.
    pub fn asked(&self) -> Vec<usize> {
        locked(&self.told).asked.clone()
    }
}

fn asked(mut stream: TcpStream, told: &Shared<Told>) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") && head.len() < 4096 {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.extend(byte);
    }
    let text = String::from_utf8(head).ok()?;
    let after = text.lines().find_map(|l| l.strip_prefix("Last-Event-ID: "))?.parse::<usize>().ok()?;
    let mut told = locked(told);
    if told.away {
        return None;
    }
    told.asked.push(after);
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n").ok()?;
    for (place, event) in told.events.iter().enumerate().skip(after) {
        write!(stream, "id: {}\ndata: {event}\n\n", place + 1).ok()?;
    }
    told.open.push(stream);
    Some(())
}
