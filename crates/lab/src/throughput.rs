//! Measures the throughput of one front in attaches per second, and the latency that it adds at half of that
//! rate.
//!
//! The reference is a bare relay on the same sockets: a stateless proxy (RFC 3261 section 16.11) that makes
//! no decisions, adds a Via to requests and removes it from responses.

use crate::resources::resident_bytes;
use crate::scenario::{Scenario, BAD_DAY};
use hdrhistogram::Histogram;
use may::net::{TcpListener, TcpStream, UdpSocket};
use shalespindle_signalling::message::{Message, Method};
use shalespindle_signalling::write::Writer;
use shalespindle_signalling::{Framer, Start};
use shalespindle_sockets::{
    end, start, Handle, MonotonicClock, StreamWriter, LARGE_STACK, READ_SIZE, SMALL_STACK,
};
use shalespindle_standin::feed::Feed;
use shalespindle_standin::net::{feed, Hosted, HostedServer};
use shalespindle_standin::server::Server;
use shalespindle_standin::trace::Trace;
use shalespindle_transport::{FrontStatus, Service};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Default number of servers.
pub(crate) const SERVERS: usize = 16;
/// Pending attaches in the closed loop.
pub(crate) const WINDOW: usize = 320;

const AT_ONCE: Duration = Duration::ZERO;

/// Results of one measurement.
#[derive(Clone, Debug)]
pub struct Measured {
    /// Attaches established per second.
    pub per_second: f64,
    /// Attaches without an answer.
    pub lost: u64,
    pub refused: u64,
    /// Median setup time, microseconds.
    pub p50_us: u64,
    /// 99th percentile of the setup time, microseconds.
    pub p99_us: u64,
}

/// Results of all rounds.
#[derive(Clone, Debug, Default)]
pub struct Throughput {
    /// Per round: relay and front in a closed loop, then relay and front at half of the front's rate.
    pub rounds: Vec<[Measured; 4]>,
    /// Status that the front reports at the end.
    pub snapshot: Option<FrontStatus>,
    /// Resident memory that each pending attach adds, bytes.
    pub bytes_an_attach: f64,
}

/// Rate control of the generated load.
#[derive(Clone, Copy)]
pub(crate) enum Pace {
    /// Closed loop with that many pending attaches.
    Closed(usize),
    /// Open loop with that many attaches per second.
    Open(f64),
}

/// Load generated on a front or on the relay.
pub(crate) struct Load {
    pub pace: Pace,
    pub seconds: f64,
    /// Duration of a call.
    pub stands: Duration,
    /// Number of trunk groups, and so of servers, over which the calls are distributed in turn.
    pub servers: usize,
}

impl Load {
    /// Load over the default number of servers.
    pub fn of(pace: Pace, seconds: f64, stands: Duration) -> Load {
        Load { pace, seconds, stands, servers: SERVERS }
    }
}

/// Stand-in servers and the feed that lists them.
pub(crate) struct Servers {
    hosted: Vec<HostedServer>,
    addresses: Vec<SocketAddr>,
    pub feed: SocketAddr,
    list: Hosted<Feed>,
}

impl Servers {
    pub fn finish(self) {
        for server in self.hosted {
            server.finish();
        }
        self.list.finish();
    }
}

/// Starts servers with negligible processing time; with `never`, they accept setups and never answer.
pub(crate) fn servers(scenario: &Scenario, ground: &MonotonicClock, never: bool) -> io::Result<Servers> {
    let trace = Trace::off();
    let mut list = Feed::new(1, 1, 0.0);
    let (mut hosted, mut addresses) = (Vec::new(), Vec::new());
    for s in 0..scenario.fleet.servers {
        let address = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        list.known(s, address, s as u16);
        let core =
            Server::new(s, address.to_string(), scenario.server(s), Arc::new(HashMap::new()), s as u64);
        let server = HostedServer::start(core, address, ground.clone(), trace.clone())?;
        server.core.act(move |core, _| core.faults.hung = never);
        hosted.push(server);
        addresses.push(address);
    }
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let list = feed(list, vec![listener], ground.clone(), trace)?;
    Ok(Servers { hosted, addresses, feed: address, list })
}

/// Scenario of one front and `servers` servers whose capacity does not limit the measurement.
pub(crate) fn scenario(servers: usize) -> io::Result<Scenario> {
    let mut scenario = Scenario::read(BAD_DAY).map_err(io::Error::other)?;
    scenario.fleet.servers = servers;
    scenario.fleet.fronts = 1;
    scenario.servers.capacity = 1e6;
    scenario.servers.lines = 10_000_000;
    scenario.servers.speeds = vec![1.0];
    // Longer than the delay that busy sockets add: otherwise the front treats that delay as server overload.
    scenario.servers.ring = 0.008;
    Ok(scenario)
}

/// Measures `rounds` rounds of four measurements of `seconds` each, then the memory of pending attaches.
pub fn measure(seconds: f64, rounds: usize) -> io::Result<Throughput> {
    let scenario = scenario(SERVERS)?;
    let ground = MonotonicClock::new();
    let servers = servers(&scenario, &ground, false)?;
    let relay = Relay::start(&servers.addresses)?;
    let settings = scenario.settings(SocketAddr::from(([127, 0, 0, 1], 0)), servers.feed, &[], 0.05);
    let service = Service::start(&settings, 1, ground.clone())?;
    let front = service.address();
    std::thread::sleep(Duration::from_millis(500));
    let mut out = Throughput::default();
    for _ in 0..rounds {
        let closed = Load::of(Pace::Closed(WINDOW), seconds, AT_ONCE);
        let bare = drive(relay.address, &closed)?;
        let ours = drive(front, &closed)?;
        let half = Load::of(Pace::Open(ours.per_second / 2.0), seconds, AT_ONCE);
        let bare_half = drive(relay.address, &half)?;
        let ours_half = drive(front, &half)?;
        out.rounds.push([bare, ours, bare_half, ours_half]);
    }
    std::thread::sleep(Duration::from_millis(500));
    out.snapshot = service.status();

    drop(service);
    servers.finish();
    out.bytes_an_attach = memory()?;
    Ok(out)
}

/// Latency that a front adds to a setup at a given rate, compared with the bare relay.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Added {
    /// Setups per second.
    pub rate: f64,
    /// Number of servers.
    pub servers: usize,
    /// Median setup time through the relay, microseconds.
    pub relay_p50_us: u64,
    /// 99th percentile of the setup time through the relay, microseconds.
    pub relay_p99_us: u64,
    /// Median setup time through the front, microseconds.
    pub front_p50_us: u64,
    /// 99th percentile of the setup time through the front, microseconds.
    pub front_p99_us: u64,
    /// Difference of the medians, front minus relay, microseconds.
    pub added_p50_us: i64,
    /// Difference of the 99th percentiles, front minus relay, microseconds.
    pub added_p99_us: i64,
    /// Setups that were lost or refused at the front.
    pub failed: u64,
}

/// Measures the relay and the front in turn at a rate of setups per second, `rounds` times.
pub fn measure_added(seconds: f64, rounds: usize, rate: f64, in_scope: usize) -> io::Result<Vec<Added>> {
    let scenario = scenario(in_scope)?;
    let ground = MonotonicClock::new();
    let servers = servers(&scenario, &ground, false)?;
    let relay = Relay::start(&servers.addresses)?;
    let settings = scenario.settings(SocketAddr::from(([127, 0, 0, 1], 0)), servers.feed, &[], 0.05);
    let service = Service::start(&settings, 1, ground.clone())?;
    std::thread::sleep(Duration::from_millis(500));
    let load = Load { pace: Pace::Open(rate), seconds, stands: AT_ONCE, servers: in_scope };
    let mut out = Vec::new();
    for _ in 0..rounds {
        let bare = drive(relay.address, &load)?;
        let ours = drive(service.address(), &load)?;
        out.push(Added {
            rate,
            servers: in_scope,
            relay_p50_us: bare.p50_us,
            relay_p99_us: bare.p99_us,
            front_p50_us: ours.p50_us,
            front_p99_us: ours.p99_us,
            added_p50_us: ours.p50_us as i64 - bare.p50_us as i64,
            added_p99_us: ours.p99_us as i64 - bare.p99_us as i64,
            failed: ours.lost + ours.refused,
        });
    }
    drop(service);
    servers.finish();
    Ok(out)
}

/// Measures the resident memory per pending attach, bytes, with thousands of attaches to servers that never
/// answer.
fn memory() -> io::Result<f64> {
    let scenario = scenario(SERVERS)?;
    let ground = MonotonicClock::new();
    let servers = servers(&scenario, &ground, true)?;
    let settings = scenario.settings(SocketAddr::from(([127, 0, 0, 1], 0)), servers.feed, &[], 0.05);
    let service = Service::start(&settings, 1, ground)?;
    std::thread::sleep(Duration::from_millis(500));
    let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
    let host = socket.local_addr()?.to_string();
    let before = resident_bytes();
    let count = 4000;
    for call in 0..count {
        socket.send_to(&invite(&host, service.address(), call, SERVERS), service.address())?;
        if call % 50 == 0 {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
    std::thread::sleep(Duration::from_millis(300));
    let held = service.status().map_or(0, |s| s.pending.max(s.attaches_held));
    let grown = resident_bytes().saturating_sub(before);
    Ok(grown as f64 / (held.max(1) as f64))
}

/// The INVITE that sets up a call.
fn invite(host: &str, to: SocketAddr, call: u64, servers: usize) -> Vec<u8> {
    Writer::request(
        Method::Invite,
        &format!("sip:+91{call:09};tgrp=tg-{};trunk-context=x@{to}", call % servers as u64),
    )
    .with_args("Via", format_args!("SIP/2.0/UDP {host};rport;branch=z9hG4bKi{call}"))
    .with("Max-Forwards", "70")
    .with_args("From", format_args!("<sip:r@example.org>;tag=g{call}"))
    .with_args("To", format_args!("<sip:+91{call:09}@{to}>"))
    .with_args("Call-ID", format_args!("{call}@{host}"))
    .with("CSeq", "1 INVITE")
    .with_args("Contact", format_args!("<sip:{host}>"))
    .with_args("Session-ID", format_args!("{call:032x}"))
    .with("Resource-Priority", "wps.4")
    .with("Expires", "9")
    .finish()
}

/// A request within the dialog of an established call: ACK or BYE.
fn within(host: &str, to: SocketAddr, call: u64, tag: &str, method: Method) -> Vec<u8> {
    let cseq = if method == Method::Ack { 1 } else { 2 };
    Writer::request(method, &format!("sip:+91{call:09}@{to}"))
        .with_args("Via", format_args!("SIP/2.0/UDP {host};rport;branch=z9hG4bK{method}{call}"))
        .with("Max-Forwards", "70")
        .with_args("From", format_args!("<sip:r@example.org>;tag=g{call}"))
        .with("To", tag)
        .with_args("Call-ID", format_args!("{call}@{host}"))
        .with_args("CSeq", format_args!("{cseq} {method}"))
        .finish()
}

/// Sets up calls and releases each after its duration, on the calling thread.
///
/// Calls that are established at the end of the measurement are released on schedule, too, so that the next
/// measurement does not start amid a burst of releases.
pub(crate) fn drive(to: SocketAddr, load: &Load) -> io::Result<Measured> {
    let Load { pace, seconds, stands, servers } = *load;
    let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
    socket.set_read_timeout(Some(Duration::from_micros(200)))?;
    let host = socket.local_addr()?.to_string();
    let mut delays = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
    // Scheduled sending time of each pending call. Delays in the open loop count from there, so that a slow
    // answer does not hide the delay of the calls behind it.
    let mut out: HashMap<u64, Instant> = HashMap::new();
    let (mut next, mut done, mut lost, mut refused) = (0u64, 0u64, 0u64, 0u64);
    let begin = Instant::now();
    let length = Duration::from_secs_f64(seconds);
    let mut buffer = vec![0; 65_536];
    let mut swept = begin;
    let mut standing: VecDeque<(Instant, u64, String)> = VecDeque::new();
    loop {
        let now = Instant::now();
        while let Some((_, call, tag)) = standing.pop_front_if(|(due, ..)| *due <= now) {
            socket.send_to(&within(&host, to, call, &tag, Method::Bye), to)?;
        }
        if now - begin > length {
            break;
        }
        loop {
            let due = match pace {
                Pace::Closed(window) if out.len() < window => now,
                Pace::Closed(_) => break,
                Pace::Open(rate) => {
                    let due = begin + Duration::from_secs_f64(next as f64 / rate);
                    if due > now {
                        break;
                    }
                    due
                }
            };
            let call = next + 1_000_000 * u64::from(to.port());
            socket.send_to(&invite(&host, to, call, servers), to)?;
            out.insert(call, due);
            next += 1;
        }
        if now - swept > Duration::from_millis(500) {
            swept = now;
            let before = out.len();
            out.retain(|_, sent| now - *sent < Duration::from_secs(2));
            lost += (before - out.len()) as u64;
        }
        let Ok((size, _)) = socket.recv_from(&mut buffer) else { continue };
        let Ok(message) = Message::parse(&buffer[..size]) else { continue };
        let Start::Response { status, .. } = message.start else { continue };
        let (Ok((_, method)), Ok(id)) = (message.cseq(), message.call_id()) else { continue };
        let Some(call) = id.split('@').next().and_then(|c| c.parse::<u64>().ok()) else { continue };
        if method == Method::Invite && status == 200 {
            if let Some(sent) = out.remove(&call) {
                delays.saturating_record(sent.elapsed().as_micros() as u64);
                done += 1;
                let tag = message.to().unwrap_or_default().to_string();
                socket.send_to(&within(&host, to, call, &tag, Method::Ack), to)?;
                standing.push_back((now + stands, call, tag));
            }
        } else if method == Method::Invite && status > 200 {
            refused += u64::from(out.remove(&call).is_some());
        }
    }
    for (due, call, tag) in standing {
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        socket.send_to(&within(&host, to, call, &tag, Method::Bye), to)?;
    }
    Ok(Measured {
        per_second: done as f64 / seconds,
        lost,
        refused,
        p50_us: delays.value_at_quantile(0.5),
        p99_us: delays.value_at_quantile(0.99),
    })
}

/// The bare relay: one UDP socket for callers and one TCP connection per server.
struct Relay {
    address: SocketAddr,
    handles: Vec<Handle>,
}

impl Relay {
    fn start(servers: &[SocketAddr]) -> io::Result<Relay> {
        let udp = UdpSocket::bind("127.0.0.1:0")?;
        let address = udp.local_addr()?;
        let writer = Arc::new(udp.try_clone()?);
        let mut handles = Vec::new();
        let mut links: Vec<Arc<Mutex<StreamWriter>>> = Vec::new();
        for server in servers {
            let mut stream = TcpStream::connect(server)?;
            stream.set_nodelay(true)?;
            links.push(Arc::new(Mutex::new(StreamWriter::new(&stream)?)));
            let writer = writer.clone();
            handles.push(start(SMALL_STACK, move || {
                let mut buffer = vec![0; READ_SIZE];
                let mut framer = Framer::default();
                while let Ok(size) = stream.read(&mut buffer) {
                    if size == 0 {
                        return;
                    }
                    framer.push(&buffer[..size]);
                    while let Ok(Some(frame)) = framer.next_frame() {
                        back(frame, &writer);
                    }
                }
            })?);
        }
        handles.push(start(LARGE_STACK, move || {
            let mut buffer = vec![0; 65_536];
            loop {
                let Ok((size, from)) = udp.recv_from(&mut buffer) else { continue };
                there(&buffer[..size], from, address, &links);
            }
        })?);
        Ok(Relay { address, handles })
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.handles.drain(..).for_each(end);
    }
}

/// Forwards a request with a Via added on top, to a server chosen by the call's number modulo the number of
/// servers.
fn there(bytes: &[u8], from: SocketAddr, own: SocketAddr, links: &[Arc<Mutex<StreamWriter>>]) {
    let Ok(message) = Message::parse(bytes) else { return };
    let (Ok(via), Ok(id)) = (message.via(), message.call_id()) else { return };
    let number: u64 = id.split('@').next().and_then(|c| c.parse().ok()).unwrap_or(0);
    let Some(line) = bytes.windows(2).position(|w| w == b"\r\n") else { return };
    let top = format!("Via: SIP/2.0/TCP {own};from={from};branch={}-r\r\n", via.branch);
    let mut out = Vec::with_capacity(bytes.len() + top.len());
    out.extend_from_slice(&bytes[..line + 2]);
    out.extend_from_slice(top.as_bytes());
    out.extend_from_slice(&bytes[line + 2..]);
    let link = &links[number as usize % links.len()];
    link.lock().unwrap_or_else(|e| e.into_inner()).write(&out, || {});
}

/// Forwards a response to the caller with the topmost Via removed.
fn back(frame: &[u8], udp: &UdpSocket) {
    let Ok(message) = Message::parse(frame) else { return };
    let Some(via) = message.header("Via") else { return };
    let from = via
        .split(";from=")
        .nth(1)
        .and_then(|r| r.split(';').next())
        .and_then(|a| a.parse::<SocketAddr>().ok());
    let (Some(from), Ok(text)) = (from, std::str::from_utf8(frame)) else { return };
    let Some(at) = text.find("Via: ") else { return };
    let Some(length) = text[at..].find("\r\n") else { return };
    let mut out = Vec::with_capacity(frame.len());
    out.extend_from_slice(&frame[..at]);
    out.extend_from_slice(&frame[at + length + 2..]);
    // A send error is not handled: the attach then counts as lost.
    let _ = udp.inner().send_to(&out, from);
}

impl fmt::Display for Throughput {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "closed loop of {WINDOW}; then open loop at half of the front's rate")?;
        for [bare, ours, bare_half, ours_half] in &self.rounds {
            writeln!(
                f,
                "attaches/s: relay {:.0}, front {:.0}, ratio {:.2}; lost {} and {}, refused {} and {}",
                bare.per_second,
                ours.per_second,
                ours.per_second / bare.per_second,
                bare.lost,
                ours.lost,
                bare.refused,
                ours.refused
            )?;
            writeln!(
                f,
                "  at half: relay p50 {} us p99 {} us, front p50 {} us p99 {} us, added p50 {} us p99 {} us; lost {} and {}, refused {}",
                bare_half.p50_us,
                bare_half.p99_us,
                ours_half.p50_us,
                ours_half.p99_us,
                ours_half.p50_us as i64 - bare_half.p50_us as i64,
                ours_half.p99_us as i64 - bare_half.p99_us as i64,
                bare_half.lost,
                ours_half.lost,
                ours_half.refused
            )?;
        }
        if let Some(s) = &self.snapshot {
            writeln!(
                f,
                "front: lag p50 {:.2} ms, p99 {:.2} ms, {:?}",
                s.lag_p50_ms, s.lag_p99_ms, s.counters
            )?;
        }
        writeln!(
            f,
            "resident bytes per pending attach (front and stand-in servers together): {:.0}",
            self.bytes_an_attach
        )
    }
}
