//! The fronts' processes, their settings and what they answer.

use crate::feed::ListFeed;
use crate::relay::Relays;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use shalespindle_console::{ask, Members, Reply, Request};
use shalespindle_peer_service::FleetStatus;
use shalespindle_standin::loopback::{free_address, networks};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The longest wait for an answer of a front that runs.
const ANSWERED_WITHIN: Duration = Duration::from_secs(10);
/// The longest wait for a front to come up.
const UP_WITHIN: Duration = Duration::from_secs(20);

/// What a fleet is started with.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// The binary.
    pub program: PathBuf,
    pub fronts: usize,
    /// Time between two beats.
    pub heartbeat_interval: Duration,
    pub seed: u64,
    /// Fronts keep what they know on disk, so often; none: nothing outlives a process.
    pub keep_every: Option<Duration>,
    /// Bytes of a datagram at most.
    pub bytes: usize,
    /// Further lines for `[fleet]` in the settings, before its peers.
    pub more: String,
    /// Further tables at the settings' end.
    pub tables: String,
    /// Numbers of the pools that attaches may go to.
    pub pools: Vec<u16>,
    /// A relay on every path between fronts, for faults; without, they send straight to each other.
    pub relayed: bool,
}

impl FleetShape {
    pub fn new(program: impl Into<PathBuf>, fronts: usize, seed: u64) -> FleetShape {
        let heartbeat_interval = Duration::from_millis(100);
        FleetShape {
            program: program.into(),
            fronts,
            heartbeat_interval,
            seed,
            keep_every: None,
            bytes: 1200,
            more: String::new(),
            tables: String::new(),
            pools: vec![0, 1, 2],
            relayed: true,
        }
    }
}

struct Front {
    /// Where callers reach it.
    listen: SocketAddr,
    settings: PathBuf,
    console: PathBuf,
    log: PathBuf,
    kept: PathBuf,
    process: Option<Child>,
    stopped: bool,
}

/// Fronts as processes; killed when it is dropped.
pub struct Fleet {
    program: PathBuf,
    fronts: Vec<Front>,
    pub feeds: Vec<ListFeed>,
    pub relays: Relays,
    pub starts: u64,
    _folder: Option<tempfile::TempDir>,
}

/// Kinds of loopback network of a fleet: where fronts reach each other, where callers reach them.
const FRONTS: u8 = 0;
const CALLERS: u8 = 1;

impl Fleet {
    /// Writes settings into `folder`, or into a temporary one, and starts nothing yet.
    pub fn new(shape: &FleetShape, folder: Option<&Path>) -> io::Result<Fleet> {
        let temporary = match folder {
            Some(_) => None,
            None => Some(tempfile::tempdir()?),
        };
        let folder = match (folder, &temporary) {
            (Some(folder), _) => folder.to_path_buf(),
            (None, Some(temporary)) => temporary.path().to_path_buf(),
            (None, None) => return Err(io::Error::other("no folder")),
        };
        std::fs::create_dir_all(&folder)?;
        let key = folder.join("key");
        std::fs::write(&key, "5a".repeat(32))?;
        let networks = networks();
        // Rigs of several processes that run at once differ as well.
        let address =
            |kind, front| free_address(networks + kind, std::process::id() as usize % 250 * 250 + front);
        let listen: Vec<SocketAddr> =
            (0..shape.fronts).map(|front| address(FRONTS, front)).collect::<io::Result<_>>()?;
        let relays = match shape.relayed {
            true => Relays::start(&listen, shape.seed)?,
            false => Relays::direct(&listen, shape.seed)?,
        };
        let (mut fronts, mut feeds) = (Vec::new(), Vec::new());
        for (place, at) in listen.iter().enumerate() {
            let feed = ListFeed::start()?;
            let path = |what: &str| folder.join(format!("f{place}.{what}"));
            let front = Front {
                listen: address(CALLERS, place)?,
                settings: path("toml"),
                console: path("sock"),
                log: path("log"),
                kept: path("redb"),
                process: None,
                stopped: false,
            };
            let peer = |to: usize| {
                let address = relays.address(place, to);
                format!("[[fleet.peers]]\nname = \"f{to}\"\naddress = \"{address}\"\n")
            };
            let peers: String = (0..shape.fronts).map(peer).collect();
            let keeps = shape.keep_every.map_or(String::new(), |every| {
                format!("keep_file = {:?}\nkeep_every = \"{}ms\"\n", front.kept, every.as_millis())
            });
            let text = format!(
                "[front]\nlisten = \"{}\"\nend_within = \"200ms\"\n[pool_list]\nfeed = \"{}\"\n\
                 [[procedures]]\nname = \"any\"\nlatency_target = \"2s\"\nt_timer = \"9s\"\nutility = 1.0\n\
                 late_share = 0.25\npools = {:?}\n[rules]\ndrain_grace = \"250ms\"\nrelease_guard = \"500ms\"\n\
                 [rules.cold]\nstart_capacity = 0.3\nwarm_after = \"15s\"\ntip_multiple = 2.0\n\
                 [console]\nsocket = {:?}\n\
                 [fleet]\nname = \"f{place}\"\nlisten = \"{}\"\nkey_file = {key:?}\nevery = \"{}ms\"\n\
                 suspect_after = \"{}ms\"\ngone_after = \"{}ms\"\nbytes = {}\nwarnings_for = \"600s\"\n{keeps}{}\n{peers}{}",
                front.listen,
                feed.address,
                shape.pools,
                front.console,
                at,
                shape.heartbeat_interval.as_millis(),
                8 * shape.heartbeat_interval.as_millis(),
                20 * shape.heartbeat_interval.as_millis(),
                shape.bytes,
                shape.more,
                shape.tables,
            );
            std::fs::write(&front.settings, text)?;
            fronts.push(front);
            feeds.push(feed);
        }
        Ok(Fleet { program: shape.program.clone(), fronts, feeds, relays, starts: 0, _folder: temporary })
    }

    pub fn count(&self) -> usize {
        self.fronts.len()
    }

    /// Starts a front that is down and waits until it answers.
    pub fn start(&mut self, place: usize) -> io::Result<()> {
        let front = &mut self.fronts[place];
        if front.process.is_some() {
            return Ok(());
        }
        // A socket left behind by a killed process answers to nobody.
        let _ = std::fs::remove_file(&front.console);
        let log = File::options().create(true).append(true).open(&front.log)?;
        let mut command = Command::new(&self.program);
        command.args(["run", "--config"]).arg(&front.settings).stdout(Stdio::null()).stderr(log);
        front.process = Some(command.spawn()?);
        self.starts += 1;
        let begin = Instant::now();
        while self.standing(place).is_none() {
            if let Some(why) = self.ended(place)? {
                return Err(self.error_with_log(place, &format!("ended at its start, {why}")));
            }
            if begin.elapsed() > UP_WITHIN {
                return Err(self.error_with_log(place, "never came up"));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// How a front that should run has ended by itself.
    pub fn ended(&mut self, place: usize) -> io::Result<Option<String>> {
        let Some(process) = &mut self.fronts[place].process else { return Ok(None) };
        Ok(process.try_wait()?.map(|status| status.to_string()))
    }

    /// A failure of a front, with what it has logged.
    pub fn error_with_log(&self, place: usize, what: &str) -> io::Error {
        let log = std::fs::read_to_string(&self.fronts[place].log).unwrap_or_default();
        io::Error::other(format!("front f{place} {what}:\n{log}"))
    }

    /// Kills it outright.
    pub fn kill(&mut self, place: usize) {
        let front = &mut self.fronts[place];
        front.stopped = false;
        if let Some(mut process) = front.process.take() {
            // Ended by itself already: so much the better.
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Asks it to end in order and waits until it has.
    pub fn end(&mut self, place: usize) -> io::Result<bool> {
        let Some(mut process) = self.fronts[place].process.take() else { return Ok(true) };
        signal(&process, Signal::SIGTERM)?;
        Ok(process.wait()?.success())
    }

    /// Stops it where it stands, or lets it go on.
    pub fn hold(&mut self, place: usize, still: bool) -> io::Result<()> {
        let front = &mut self.fronts[place];
        let Some(process) = &front.process else { return Ok(()) };
        front.stopped = still;
        signal(process, if still { Signal::SIGSTOP } else { Signal::SIGCONT })
    }

    /// Has a front read its settings again.
    pub fn reload(&self, place: usize) -> io::Result<()> {
        self.fronts[place].process.as_ref().map_or(Ok(()), |process| signal(process, Signal::SIGHUP))
    }

    /// The process id of a front that runs.
    pub fn process_id(&self, place: usize) -> Option<u32> {
        self.fronts[place].process.as_ref().map(Child::id)
    }

    pub fn is_up(&self, place: usize) -> bool {
        self.fronts[place].process.is_some() && !self.fronts[place].stopped
    }

    pub fn ask(&self, place: usize, question: &Request) -> Option<Reply> {
        ask(&self.fronts[place].console, question, ANSWERED_WITHIN).ok()
    }

    /// The other fronts, as this one knows them.
    pub fn standing(&self, place: usize) -> Option<FleetStatus> {
        match self.ask(place, &Request::Fleet)? {
            Reply::Fleet(standing) => Some(*standing),
            _ => None,
        }
    }

    /// The servers, as a front judges them.
    pub fn members(&self, place: usize) -> Option<Members> {
        match self.ask(place, &Request::Members)? {
            Reply::Members(members) => Some(*members),
            _ => None,
        }
    }

    /// The file in which a front keeps what it knows.
    pub fn kept(&self, place: usize) -> &Path {
        &self.fronts[place].kept
    }

    /// Where a copy of it is put aside.
    fn aside(&self, place: usize) -> PathBuf {
        self.fronts[place].kept.with_extension("aside")
    }

    /// Kills a front and puts a copy of what it has kept aside.
    pub fn put_aside(&mut self, place: usize) -> io::Result<()> {
        self.kill(place);
        match std::fs::copy(self.kept(place), self.aside(place)) {
            Err(why) if why.kind() != io::ErrorKind::NotFound => Err(why),
            _ => Ok(()),
        }
    }

    /// Kills a front and gives it what was put aside, if anything was; it is not started.
    pub fn put_back(&mut self, place: usize) -> io::Result<()> {
        self.kill(place);
        match std::fs::copy(self.aside(place), self.kept(place)) {
            Err(why) if why.kind() != io::ErrorKind::NotFound => Err(why),
            _ => Ok(()),
        }
    }

    /// Where callers reach a front.
    pub fn listen(&self, place: usize) -> SocketAddr {
        self.fronts[place].listen
    }

    pub fn settings(&self, place: usize) -> &Path {
        &self.fronts[place].settings
    }
}

fn signal(process: &Child, signal: Signal) -> io::Result<()> {
    let pid = i32::try_from(process.id()).map_err(io::Error::other)?;
    kill(Pid::from_raw(pid), signal).map_err(io::Error::from)
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.fronts.len()).for_each(|place| self.kill(place));
    }
}
