//! A running front: its sockets, its coroutines, and the handle that ends them.

use crate::fleet;
use crate::log::log_event;
use crate::member_store::{load, MemberStore};
use crate::owner::{Hook, Owner, OwnerEvent};
use crate::readers;
use may::net::{TcpListener, UdpSocket};
use miette::Diagnostic;
use shalespindle_console::{serve, Console, FrontStatus, Reply, Request};
use shalespindle_front::{Event, Front};
use shalespindle_peer_service::{FleetCommand, FleetHandle, FleetService, FleetStatus};
use shalespindle_settings::{FleetSettings, Settings};
use shalespindle_sites::SitesError;
use shalespindle_sockets::{end, mailbox, start, Handle, Mailbox, MonotonicClock, LARGE_STACK};
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::mpsc;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of events that wait for a front's owner.
const MAILBOX_CAPACITY: usize = 8192;
/// Receive buffer requested for the UDP socket, bytes: it holds what arrives while the process is stalled.
const DATAGRAM_BUFFER: usize = 4 << 20;

/// An owner that does not reply to a question within this time is considered to have ended.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// A running front. Dropping it stops the front and all its coroutines at once.
pub struct Service {
    address: SocketAddr,
    mailbox: Mailbox<OwnerEvent>,
    readers: Vec<Handle>,
    owner: Option<Handle>,
    feed: Option<Handle>,
    console: Option<Console>,
    fleet_service: Option<FleetService>,
}

impl Service {
    /// Opens the sockets and starts the coroutines; port 0 selects any free port. Events go to the log.
    pub fn start(settings: &Settings, seed: u64, clock: MonotonicClock) -> io::Result<Service> {
        Service::start_with(settings, seed, clock, |_| {})
    }

    /// Like [`Service::start`], and calls `hook` with each event as well.
    pub fn start_with(
        settings: &Settings,
        seed: u64,
        clock: MonotonicClock,
        mut hook: impl FnMut(&Event) + Send + 'static,
    ) -> io::Result<Service> {
        let (udp, listener) = bind(settings.front.listen)?;
        let address = listener.local_addr()?;
        // If the kernel refuses, fewer datagrams are held while the process is stalled.
        let _ = SockRef::from(udp.inner()).set_recv_buffer_size(DATAGRAM_BUFFER);
        let mut params = settings.front_params();
        if settings.front.host.is_none() {
            params.host = address.to_string();
        }
        let connect_timeout = Duration::from_secs_f64(params.connect_timeout);
        let name = params.host.clone();
        let mut front = Front::new(params, seed, clock.now());
        let mut member_store = None;
        if let Some(path) = &settings.membership.file {
            if let Some((members, age)) = load(path) {
                front.restore(clock.now(), age, &members);
                // Decides the members' status before any event is handled.
                front.turn(clock.now());
            }
            member_store = Some(MemberStore::start(path.clone())?);
        }
        let (mailbox, receiver) = mailbox(MAILBOX_CAPACITY);
        let open_connections = Arc::new(AtomicUsize::new(0));
        let writer = udp.try_clone()?;
        let max_connections = settings.limits.caller_connections;
        let readers = vec![
            readers::read_datagrams(udp, mailbox.clone(), clock.clone())?,
            readers::accept_callers(
                listener,
                mailbox.clone(),
                clock.clone(),
                max_connections,
                open_connections.clone(),
            )?,
        ];
        let max_pause = settings.pool_list.reconnect_longest.0;
        let feed =
            readers::follow_feed(settings.pool_list.feed, connect_timeout, max_pause, mailbox.clone())?;
        let fleet_service = match &settings.fleet {
            Some(fleet) => Some(fleet::start_fleet(
                fleet,
                settings.sites_params(),
                seed,
                clock.clone(),
                mailbox.clone(),
            )?),
            None => None,
        };
        let fleet_handle = fleet_service.as_ref().map(FleetService::handle);
        let hook: Hook = Box::new(move |event| {
            log_event(&name, event);
            hook(event);
        });
        let owner = Owner::new(
            front,
            clock,
            writer,
            mailbox.clone(),
            receiver,
            hook,
            connect_timeout,
            open_connections,
            member_store,
            fleet_handle.clone(),
        )
        .ok_or_else(|| io::Error::other("cannot create the histogram of delays"))?;
        let owner = start(LARGE_STACK, move || owner.run())?;
        // Built before the console: dropping it on an error from here on ends all coroutines.
        let mut service = Service {
            address,
            mailbox: mailbox.clone(),
            readers,
            owner: Some(owner),
            feed: Some(feed),
            console: None,
            fleet_service,
        };
        if let Some(path) = &settings.console.socket {
            let answer = move |question| {
                let reply = match (question, &fleet_handle) {
                    // The fleet is queried directly: the front's owner has no data of other fronts.
                    (Request::Fleet, Some(fleet_handle)) => {
                        fleet_handle.status().map(|s| Reply::Fleet(Box::new(s)))
                    }
                    (Request::PinFleet { level, seconds }, Some(fleet_handle)) => {
                        pin_fleet(&mailbox, fleet_handle, level, seconds)
                    }
                    (Request::Site { name, order, seconds }, Some(fleet_handle)) => fleet_handle
                        .order(name.clone(), order, seconds)
                        .map(|result| order_reply(&name, result)),
                    (Request::Fleet | Request::PinFleet { .. } | Request::Site { .. }, None) => {
                        Some(Reply::Bad { why: "this front has no fleet: [fleet] is not set".into() })
                    }
                    (question, _) => query_owner(&mailbox, question),
                };
                reply.unwrap_or(Reply::Bad { why: "the front has ended".into() })
            };
            service.console = Some(serve(path, answer)?);
        }
        Ok(service)
    }

    /// The address at which callers reach this front.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The front's present state; none once it has ended.
    pub fn status(&self) -> Option<FrontStatus> {
        match query_owner(&self.mailbox, Request::Status)? {
            Reply::Status(status) => Some(*status),
            _ => None,
        }
    }

    /// The state of the other fronts; none if this front was started without a fleet.
    pub fn fleet(&self) -> Option<FleetStatus> {
        self.fleet_service.as_ref()?.handle().status()
    }

    /// Replaces the list of other fronts; false if this front was started without a fleet.
    pub fn set_peers(&self, settings: &FleetSettings) -> bool {
        if let Some(fleet_service) = &self.fleet_service {
            fleet_service.handle().set_peers(settings.other_fronts());
        }
        self.fleet_service.is_some()
    }

    /// Starts an orderly shutdown: new attaches are refused, pending ones are answered, and the front ends
    /// when its established ones have ended or the grace period has expired.
    pub fn end(&self) {
        let _ = self.mailbox.send_unbounded(OwnerEvent::Shutdown);
    }

    /// Whether the front has ended.
    pub fn has_ended(&self) -> bool {
        self.owner.as_ref().is_none_or(|o| o.is_done())
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.console = None;
        // The other fronts are notified of the departure before anything else is shut down.
        self.fleet_service = None;
        let _ = self.mailbox.send_unbounded(OwnerEvent::Stop);
        if let Some(owner) = self.owner.take() {
            // A panic of the owner has already been reported on standard error.
            let _ = owner.join();
        }
        for reader in self.readers.drain(..).chain(self.feed.take()) {
            end(reader);
        }
    }
}

/// Pins or unpins this front's level and, if that succeeds, the level of the whole fleet.
fn pin_fleet(
    mailbox: &Mailbox<OwnerEvent>,
    fleet_handle: &FleetHandle,
    level: Option<usize>,
    seconds: f64,
) -> Option<Reply> {
    let local = match level {
        Some(level) => Request::PinLevel { level, seconds },
        None => Request::UnpinLevel,
    };
    let reply = query_owner(mailbox, local)?;
    // The fleet can be unpinned also from a front that has no pin itself.
    if !matches!(reply, Reply::Done { .. }) && level.is_some() {
        return Some(reply);
    }
    let pinned = level.and_then(|l| u8::try_from(l).ok());
    fleet_handle.publish(vec![FleetCommand::Level {
        level: pinned,
        valid_for: if pinned.is_some() { seconds } else { 0.0 },
    }]);
    Some(Reply::Done { what: "sent to all fronts".into() })
}

/// The reply to an operator's order on a site.
fn order_reply(site: &str, result: Result<(), SitesError>) -> Reply {
    match result {
        Ok(()) => Reply::Done { what: format!("sent to all fronts of the site {site}") },
        Err(fault) => {
            let help = fault.help().map(|help| format!("; {help}")).unwrap_or_default();
            Reply::Bad { why: format!("{fault}{help}") }
        }
    }
}

/// Sends a question to the owner and waits for the reply on the caller's thread; none once the owner has
/// ended.
fn query_owner(mailbox: &Mailbox<OwnerEvent>, question: Request) -> Option<Reply> {
    let (reply_to, replies) = mpsc::channel();
    mailbox.send_unbounded(OwnerEvent::Console(question, reply_to)).ok()?;
    replies.recv_timeout(REPLY_TIMEOUT).ok()
}

/// Opens a UDP socket and a TCP listener on one port; for port 0, retries until a port is free for both.
fn bind(address: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let mut tries = 0;
    loop {
        let listener = TcpListener::bind(address)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(udp) => return Ok((udp, listener)),
            Err(why) if address.port() != 0 || tries == 20 => return Err(why),
            Err(_) => tries += 1,
        }
    }
}
