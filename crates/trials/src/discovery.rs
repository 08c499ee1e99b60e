//! Discovery with faults: it refuses, falls silent, breaks off in the middle of an event, or moves to another address.

use crate::address::Hosts;
use crate::record::{locked, FrontId, Recorder};
use crate::trial::event;
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(5);
/// A comment comes so often, seconds.
const COMMENT_EVERY: f64 = 1.0;
/// An address that fronts have left closes what is open there after this, seconds.
const CLOSES_AFTER: f64 = 1.5;
/// A front is owed time to find discovery again, by the terms, seconds.
const TOLD_AFTER_FAILED_CALL: f64 = 6.0;
const TOLD_AFTER_SILENCE: f64 = 4.0;
const TOLD_AFTER_BREAK: f64 = 2.0;
const TOLD_AFTER_RELOAD: f64 = 4.0;

/// What discovery does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// Connections are refused, those that were open are closed.
    Down,
    /// Open watches say nothing any more; new ones are served.
    OpenWatchesSilent,
}

struct Watch {
    stream: TcpStream,
    /// Which address it came to.
    place: usize,
    front: FrontId,
    sent: usize,
    silent: bool,
    /// The next event is broken off in its middle, and the connection closed.
    breaks: bool,
    comment_at: f64,
}

struct Place {
    port: u16,
    /// One for each front; none while discovery is down, or once fronts have left.
    listeners: Vec<TcpListener>,
    /// Since when fronts have been told of another.
    left_at: Option<f64>,
}

struct State {
    mode: Mode,
    events: Vec<String>,
    places: Vec<Place>,
    watches: Vec<Watch>,
    /// Times from which on, and until when, fronts are owed more time.
    excuses: Vec<Excuse>,
    down_since: Option<f64>,
    over: bool,
}

/// What comes within this time counts as told at `told_at` at the latest.
struct Excuse {
    from: f64,
    until: f64,
    told_at: f64,
}

/// One discovery service for all fronts of a trial.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<Mutex<State>>,
    recorder: Recorder,
    hosts: Hosts,
}

impl Discovery {
    pub fn start(first_event: String, hosts: Hosts, recorder: &Recorder) -> io::Result<Discovery> {
        let place = listen(&hosts, None)?;
        let state = State {
            mode: Mode::Up,
            events: vec![first_event],
            places: vec![place],
            watches: Vec::new(),
            excuses: Vec::new(),
            down_since: None,
            over: false,
        };
        let discovery = Discovery { state: Arc::new(Mutex::new(state)), recorder: recorder.clone(), hosts };
        let ticking = discovery.clone();
        std::thread::spawn(move || {
            while ticking.tick().unwrap_or(true) {
                std::thread::sleep(TICK);
            }
        });
        Ok(discovery)
    }

    /// Where a front finds it now.
    pub fn address(&self, front: FrontId) -> SocketAddr {
        let state = locked(&self.state);
        self.hosts.reached_by(front, state.places[state.places.len() - 1].port)
    }

    /// All events so far, as a front is told them.
    pub fn events(&self, front: FrontId) -> Vec<String> {
        locked(&self.state).events.iter().map(|event| self.hosts.told_to(front, event)).collect()
    }

    /// Adds an event about these servers.
    pub fn tell_members(&self, members: &[Value]) {
        let mut state = locked(&self.state);
        let number = state.events.len() + 1;
        state.events.push(event(number, members));
    }

    /// When what came at that time counts as told.
    pub fn told_at(&self, at: f64) -> f64 {
        let state = locked(&self.state);
        let owed = state.excuses.iter().filter(|e| e.from <= at && at <= e.until);
        owed.fold(at, |told, excuse| told.max(excuse.told_at))
    }

    pub fn set_mode(&self, mode: Mode) -> io::Result<()> {
        let now = self.recorder.now();
        let mut state = locked(&self.state);
        state.mode = mode;
        match mode {
            Mode::Down => {
                state.down_since.get_or_insert(now);
                state.watches.clear();
                state.places.iter_mut().for_each(|place| place.listeners.clear());
            }
            Mode::OpenWatchesSilent => {
                state.watches.iter_mut().for_each(|watch| watch.silent = true);
                let until = now + TOLD_AFTER_SILENCE;
                state.excuses.push(Excuse { from: now, until, told_at: until });
            }
            Mode::Up => {
                if let Some(from) = state.down_since.take() {
                    let until = now + TOLD_AFTER_FAILED_CALL;
                    state.excuses.push(Excuse { from, until, told_at: until });
                }
            }
        }
        if mode != Mode::Down {
            for place in state.places.iter_mut().filter(|p| p.listeners.is_empty() && p.left_at.is_none()) {
                *place = listen(&self.hosts, Some(place.port))?;
            }
        }
        Ok(())
    }

    /// The next event on each open watch stops in its middle.
    pub fn break_next(&self) {
        let now = self.recorder.now();
        let mut state = locked(&self.state);
        state.watches.iter_mut().for_each(|watch| watch.breaks = true);
        // Counted from the break itself, which is the next event.
        state.excuses.push(Excuse {
            from: now,
            until: now + TOLD_AFTER_BREAK,
            told_at: now + TOLD_AFTER_BREAK,
        });
    }

    /// Opens another address and leaves the one before: fronts are told of it by a new configuration.
    pub fn moves(&self) -> io::Result<()> {
        let now = self.recorder.now();
        let mut state = locked(&self.state);
        let mut place = listen(&self.hosts, None)?;
        if state.mode == Mode::Down {
            place.listeners.clear();
        }
        state.places.push(place);
        let until = now + TOLD_AFTER_RELOAD;
        state.excuses.push(Excuse { from: now, until, told_at: until });
        Ok(())
    }

    /// The addresses before the last one take no new connection from now on.
    pub fn leaves_old_addresses(&self) {
        let now = self.recorder.now();
        let mut state = locked(&self.state);
        let last = state.places.len() - 1;
        for place in state.places.iter_mut().take(last) {
            place.listeners.clear();
            place.left_at.get_or_insert(now);
        }
    }

    pub fn end(&self) {
        locked(&self.state).over = true;
    }

    /// False when the trial is over.
    fn tick(&self) -> io::Result<bool> {
        let now = self.recorder.now();
        let mut state = locked(&self.state);
        let State { events, places, watches, over, .. } = &mut *state;
        for (number, place) in places.iter().enumerate() {
            for (front, listener) in place.listeners.iter().enumerate() {
                while let Ok((stream, _)) = listener.accept() {
                    let Some(sent) = asked_after(&stream) else { continue };
                    let (silent, breaks, comment_at) = (false, false, now);
                    watches.push(Watch { stream, place: number, front, sent, silent, breaks, comment_at });
                }
            }
        }
        watches.retain_mut(|watch| {
            let left_at = places[watch.place].left_at;
            if left_at.is_some_and(|at| now - at > CLOSES_AFTER) {
                return false;
            }
            watch.silent
                || left_at.is_some()
                || say(watch, &self.hosts, events, now).is_ok_and(|goes_on| goes_on)
        });
        Ok(!*over)
    }
}

fn listen(hosts: &Hosts, port: Option<u16>) -> io::Result<Place> {
    let listeners = hosts.listen(port)?;
    for listener in &listeners {
        listener.set_nonblocking(true)?;
    }
    Ok(Place { port: listeners[0].local_addr()?.port(), listeners, left_at: None })
}

/// Reads a front's question: the number of the last event that it has.
fn asked_after(mut stream: &TcpStream) -> Option<usize> {
    stream.set_nonblocking(false).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    stream.set_write_timeout(Some(Duration::from_millis(500))).ok()?;
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") && head.len() < 4096 {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.extend(byte);
    }
    let text = String::from_utf8(head).ok()?;
    let after = text.lines().find_map(|l| l.strip_prefix("Last-Event-ID: "))?.parse().ok()?;
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n").ok()?;
    Some(after)
}

/// Says what a watch has not been told yet; false where it is broken off.
fn say(watch: &mut Watch, hosts: &Hosts, events: &[String], now: f64) -> io::Result<bool> {
    while watch.sent < events.len() {
        let text =
            format!("id: {}\ndata: {}\n\n", watch.sent + 1, hosts.told_to(watch.front, &events[watch.sent]));
        if watch.breaks {
            watch.stream.write_all(&text.as_bytes()[..text.len() / 2])?;
            return Ok(false);
        }
        watch.stream.write_all(text.as_bytes())?;
        watch.sent += 1;
    }
    if now >= watch.comment_at {
        watch.comment_at = now + COMMENT_EVERY;
        watch.stream.write_all(b": tick\n\n")?;
    }
    Ok(true)
}
