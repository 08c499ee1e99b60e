//! Discovery with faults: it refuses, falls silent, breaks_next_event off in the middle of an event, or move_address to another address.

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
const COMMENT_INTERVAL: f64 = 1.0;
/// An address that fronts have left closes what is open there after this, seconds.
const OLD_ADDRESS_CLOSE_DELAY: f64 = 1.5;
/// A front is owed time to find discovery again, by the terms, seconds.
const RECEIVED_AFTER_FAILED_CONNECT: f64 = 6.0;
const RECEIVED_AFTER_SILENCE: f64 = 4.0;
const RECEIVED_AFTER_BREAK: f64 = 2.0;
const RECEIVED_AFTER_RELOAD: f64 = 4.0;

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
    endpoint: usize,
    front: FrontId,
    events_sent: usize,
    silent: bool,
    /// The next event is broken off in its middle, and the connection closed.
    breaks_next_event: bool,
    next_comment_at: f64,
}

struct Endpoint {
    port: u16,
    /// One for each front; none while discovery is down, or once fronts have left.
    listeners: Vec<TcpListener>,
    /// Since when fronts have been told of another.
    replaced_at: Option<f64>,
}

struct State {
    mode: Mode,
    events: Vec<String>,
    endpoints: Vec<Endpoint>,
    watches: Vec<Watch>,
    /// Times from which on, and until when, fronts are owed more time.
    grace_periods: Vec<GracePeriod>,
    down_since: Option<f64>,
    stopped: bool,
}

/// What comes within this time counts as told at `received_by` at the latest.
struct GracePeriod {
    from: f64,
    until: f64,
    received_by: f64,
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
        let endpoint = listen(&hosts, None)?;
        let state = State {
            mode: Mode::Up,
            events: vec![first_event],
            endpoints: vec![endpoint],
            watches: Vec::new(),
            grace_periods: Vec::new(),
            down_since: None,
            stopped: false,
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
        self.hosts.service_address(front, state.endpoints[state.endpoints.len() - 1].port)
    }

    /// All events so far, as a front is told them.
    pub fn events(&self, front: FrontId) -> Vec<String> {
        locked(&self.state).events.iter().map(|event| self.hosts.event_for(front, event)).collect()
    }

    /// Adds an event about these servers.
    pub fn publish_members(&self, members: &[Value]) {
        let mut state = locked(&self.state);
        let number = state.events.len() + 1;
        state.events.push(event(number, members));
    }

    /// When what came at that time counts as told.
    pub fn received_by(&self, at: f64) -> f64 {
        let state = locked(&self.state);
        let periods = state.grace_periods.iter().filter(|e| e.from <= at && at <= e.until);
        periods.fold(at, |latest, period| latest.max(period.received_by))
    }

    pub fn set_mode(&self, mode: Mode) -> io::Result<()> {
        let now = self.recorder.now();
        let mut state = locked(&self.state);
        state.mode = mode;
        match mode {
            Mode::Down => {
                state.down_since.get_or_insert(now);
                state.watches.clear();
                state.endpoints.iter_mut().for_each(|endpoint| endpoint.listeners.clear());
            }
            Mode::OpenWatchesSilent => {
                state.watches.iter_mut().for_each(|watch| watch.silent = true);
                let until = now + RECEIVED_AFTER_SILENCE;
                state.grace_periods.push(GracePeriod { from: now, until, received_by: until });
            }
            Mode::Up => {
                if let Some(from) = state.down_since.take() {
                    let until = now + RECEIVED_AFTER_FAILED_CONNECT;
                    state.grace_periods.push(GracePeriod { from, until, received_by: until });
                }
            }
        }
        if mode != Mode::Down {
            for endpoint in
                state.endpoints.iter_mut().filter(|p| p.listeners.is_empty() && p.replaced_at.is_none())
            {
                *endpoint = listen(&self.hosts, Some(endpoint.port))?;
            }
        }
        Ok(())
    }

    /// The next event on each open watch stops in its middle.
    pub fn break_next_event(&self) {
        let now = self.recorder.now();
        let mut state = locked(&self.state);
        state.watches.iter_mut().for_each(|watch| watch.breaks_next_event = true);
        // Counted from the break itself, which is the next event.
        state.grace_periods.push(GracePeriod {
            from: now,
            until: now + RECEIVED_AFTER_BREAK,
            received_by: now + RECEIVED_AFTER_BREAK,
        });
    }

    /// Opens another address and leaves the one before: fronts are told of it by a new configuration.
    pub fn move_address(&self) -> io::Result<()> {
        let now = self.recorder.now();
        let mut state = locked(&self.state);
        let mut endpoint = listen(&self.hosts, None)?;
        if state.mode == Mode::Down {
            endpoint.listeners.clear();
        }
        state.endpoints.push(endpoint);
        let until = now + RECEIVED_AFTER_RELOAD;
        state.grace_periods.push(GracePeriod { from: now, until, received_by: until });
        Ok(())
    }

    /// The addresses before the last one take no new connection from now on.
    pub fn close_old_listeners(&self) {
        let now = self.recorder.now();
        let mut state = locked(&self.state);
        let last = state.endpoints.len() - 1;
        for endpoint in state.endpoints.iter_mut().take(last) {
            endpoint.listeners.clear();
            endpoint.replaced_at.get_or_insert(now);
        }
    }

    pub fn end(&self) {
        locked(&self.state).stopped = true;
    }

    /// False when the trial is over.
    fn tick(&self) -> io::Result<bool> {
        let now = self.recorder.now();
        let mut state = locked(&self.state);
        let State { events, endpoints, watches, stopped, .. } = &mut *state;
        for (number, endpoint) in endpoints.iter().enumerate() {
            for (front, listener) in endpoint.listeners.iter().enumerate() {
                while let Ok((stream, _)) = listener.accept() {
                    let Some(events_sent) = read_request(&stream) else { continue };
                    let (silent, breaks_next_event, next_comment_at) = (false, false, now);
                    watches.push(Watch {
                        stream,
                        endpoint: number,
                        front,
                        events_sent,
                        silent,
                        breaks_next_event,
                        next_comment_at,
                    });
                }
            }
        }
        watches.retain_mut(|watch| {
            let replaced_at = endpoints[watch.endpoint].replaced_at;
            if replaced_at.is_some_and(|at| now - at > OLD_ADDRESS_CLOSE_DELAY) {
                return false;
            }
            watch.silent
                || replaced_at.is_some()
                || send_events(watch, &self.hosts, events, now).is_ok_and(|goes_on| goes_on)
        });
        Ok(!*stopped)
    }
}

fn listen(hosts: &Hosts, port: Option<u16>) -> io::Result<Endpoint> {
    let listeners = hosts.listen(port)?;
    for listener in &listeners {
        listener.set_nonblocking(true)?;
    }
    Ok(Endpoint { port: listeners[0].local_addr()?.port(), listeners, replaced_at: None })
}

/// Reads a front's question: the number of the last event that it has.
fn read_request(mut stream: &TcpStream) -> Option<usize> {
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
fn send_events(watch: &mut Watch, hosts: &Hosts, events: &[String], now: f64) -> io::Result<bool> {
    while watch.events_sent < events.len() {
        let text = format!(
            "id: {}\ndata: {}\n\n",
            watch.events_sent + 1,
            hosts.event_for(watch.front, &events[watch.events_sent])
        );
        if watch.breaks_next_event {
            watch.stream.write_all(&text.as_bytes()[..text.len() / 2])?;
            return Ok(false);
        }
        watch.stream.write_all(text.as_bytes())?;
        watch.events_sent += 1;
    }
    if now >= watch.next_comment_at {
        watch.next_comment_at = now + COMMENT_INTERVAL;
        watch.stream.write_all(b": tick\n\n")?;
    }
    Ok(true)
}
