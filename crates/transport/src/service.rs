//! A front in service: its sockets, its coroutines, and the handle that ends them.

use crate::fleet;
use crate::log::log_event;
use crate::memory::{recall, Memory};
use crate::owner::{Hook, Letter, Owner};
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

/// Letters that may wait for a front.
const ROOM: usize = 8192;
/// Asked of the kernel for each front's datagrams: what comes while the process stands still.
const DATAGRAM_BUFFER: usize = 4 << 20;

/// An owner that does not answer a question within this has ended.
const ANSWERED_WITHIN: Duration = Duration::from_secs(5);

/// A front in service. Dropping it stops the front at once and leaves nothing running.
pub struct Service {
    address: SocketAddr,
    mailbox: Mailbox<Letter>,
    readers: Vec<Handle>,
    owner: Option<Handle>,
    feed: Option<Handle>,
    console: Option<Console>,
    fronts: Option<FleetService>,
}

impl Service {
    /// Opens the sockets and starts the coroutines; the port may be 0 for any free one. Events go to the log.
    pub fn start(settings: &Settings, seed: u64, ground: MonotonicClock) -> io::Result<Service> {
        Service::start_with(settings, seed, ground, |_| {})
    }

    /// The same, with a hook for each event beside the log.
    pub fn start_with(
        settings: &Settings,
        seed: u64,
        ground: MonotonicClock,
        mut hook: impl FnMut(&Event) + Send + 'static,
    ) -> io::Result<Service> {
        let (udp, listener) = bind(settings.front.listen)?;
        let address = listener.local_addr()?;
        // A refusal costs only room for datagrams while the process stands still.
        let _ = SockRef::from(udp.inner()).set_recv_buffer_size(DATAGRAM_BUFFER);
        let mut params = settings.front_params();
        if settings.front.host.is_none() {
            params.host = address.to_string();
        }
        let connect_within = Duration::from_secs_f64(params.connect_timeout);
        let name = params.host.clone();
        let mut front = Front::new(params, seed, ground.now());
        let mut memory = None;
        if let Some(path) = &settings.membership.file {
            if let Some((members, age)) = recall(path) {
                front.restore(ground.now(), age, &members);
                // Ruled before anybody can ask.
                front.turn(ground.now());
            }
            memory = Some(Memory::start(path.clone())?);
        }
        let (outgoing, mail) = mailbox(ROOM);
        let open = Arc::new(AtomicUsize::new(0));
        let writer = udp.try_clone()?;
        let most = settings.limits.caller_connections;
        let readers = vec![
            readers::datagrams(udp, outgoing.clone(), ground.clone())?,
            readers::callers(listener, outgoing.clone(), ground.clone(), most, open.clone())?,
        ];
        let longest = settings.pool_list.reconnect_longest.0;
        let feed = readers::feed(settings.pool_list.feed, connect_within, longest, outgoing.clone())?;
        let fronts = match &settings.fleet {
            Some(fleet) => {
                Some(fleet::fronts(fleet, settings.sites_params(), seed, ground.clone(), outgoing.clone())?)
            }
            None => None,
        };
        let teller = fronts.as_ref().map(FleetService::handle);
        let hook: Hook = Box::new(move |event| {
            log_event(&name, event);
            hook(event);
        });
        let owner = Owner::new(
            front,
            ground,
            writer,
            outgoing.clone(),
            mail,
            hook,
            connect_within,
            open,
            memory,
            teller.clone(),
        )
        .ok_or_else(|| io::Error::other("no histogram of that range"))?;
        let owner = start(LARGE_STACK, move || owner.run())?;
        // From here on an error must end what runs already: dropping the service does.
        let mut service = Service {
            address,
            mailbox: outgoing.clone(),
            readers,
            owner: Some(owner),
            feed: Some(feed),
            console: None,
            fronts,
        };
        if let Some(path) = &settings.console.socket {
            let answer = move |question| {
                let reply = match (question, &teller) {
                    // Of other fronts the front itself knows nothing: its owner is not kept from its work.
                    (Request::Fleet, Some(teller)) => teller.status().map(|s| Reply::Fleet(Box::new(s))),
                    (Request::PinFleet { level, seconds }, Some(teller)) => {
                        pin_fleet(&outgoing, teller, level, seconds)
                    }
                    (Request::Site { name, order, seconds }, Some(teller)) => {
                        teller.order(name.clone(), order, seconds).map(|done| ordered(&name, done))
                    }
                    (Request::Fleet | Request::PinFleet { .. } | Request::Site { .. }, None) => {
                        Some(Reply::Bad { why: "this front knows no others: [fleet] is not set".into() })
                    }
                    (question, _) => ask(&outgoing, question),
                };
                reply.unwrap_or(Reply::Bad { why: "the front has ended".into() })
            };
            service.console = Some(serve(path, answer)?);
        }
        Ok(service)
    }

    /// Where callers reach it.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its state now; none once it has ended.
    pub fn snapshot(&self) -> Option<FrontStatus> {
        match ask(&self.mailbox, Request::Status)? {
            Reply::Status(snapshot) => Some(*snapshot),
            _ => None,
        }
    }

    /// How the other fronts stand; none where this front was started without any.
    pub fn fleet(&self) -> Option<FleetStatus> {
        self.fronts.as_ref()?.handle().status()
    }

    /// The list of other fronts changed; false where this front was started without any.
    pub fn set_peers(&self, fleet: &FleetSettings) -> bool {
        if let Some(fronts) = &self.fronts {
            fronts.handle().set_peers(fleet.other_fronts());
        }
        self.fronts.is_some()
    }

    /// Asks for an orderly end: no new attaches, those in hand answered, standing ones waited for.
    pub fn end(&self) {
        let _ = self.mailbox.send_unbounded(Letter::End);
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        self.owner.as_ref().is_none_or(|o| o.is_done())
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.console = None;
        // Others are told of the departure before anything else is torn down.
        self.fronts = None;
        let _ = self.mailbox.send_unbounded(Letter::Stop);
        if let Some(owner) = self.owner.take() {
            // A panic in the owner has been reported by its own message.
            let _ = owner.join();
        }
        for reader in self.readers.drain(..).chain(self.feed.take()) {
            end(reader);
        }
    }
}

/// Pins this front's level, or lets it go, and where that is done tells the others.
fn pin_fleet(
    own: &Mailbox<Letter>,
    teller: &FleetHandle,
    level: Option<usize>,
    seconds: f64,
) -> Option<Reply> {
    let here = match level {
        Some(level) => Request::PinLevel { level, seconds },
        None => Request::UnpinLevel,
    };
    let reply = ask(own, here)?;
    // To let go on all fronts must be possible from one that holds nothing.
    if !matches!(reply, Reply::Done { .. }) && level.is_some() {
        return Some(reply);
    }
    let told = level.and_then(|l| u8::try_from(l).ok());
    teller.publish(vec![FleetCommand::Level {
        level: told,
        valid_for: if told.is_some() { seconds } else { 0.0 },
    }]);
    Some(Reply::Done { what: "told to all fronts".into() })
}

/// What became of an order on a site.
fn ordered(site: &str, done: Result<(), SitesError>) -> Reply {
    match done {
        Ok(()) => Reply::Done { what: format!("told to all fronts of the site {site}") },
        Err(fault) => {
            let help = fault.help().map(|help| format!("; {help}")).unwrap_or_default();
            Reply::Bad { why: format!("{fault}{help}") }
        }
    }
}

/// Puts a question to the owner and waits, on a thread of its own; none once the owner has ended.
fn ask(mailbox: &Mailbox<Letter>, question: Request) -> Option<Reply> {
    let (to, from) = mpsc::channel();
    mailbox.send_unbounded(Letter::Console(question, to)).ok()?;
    from.recv_timeout(ANSWERED_WITHIN).ok()
}

/// Datagrams and streams on one port; with port 0, tries until one is free for both.
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
