//! The processes of the fronts, their settings and their console replies.

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

/// Maximum wait for a console reply of a running front.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum wait until a started front answers.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Parameters of a fleet.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// Path of the binary.
    pub program: PathBuf,
    pub fronts: usize,
    /// Interval between two heartbeats.
    pub heartbeat_interval: Duration,
    pub seed: u64,
    /// Interval at which fronts store their state on disk; none: nothing is stored.
    pub keep_every: Option<Duration>,
    /// Maximum size of a datagram in bytes.
    pub max_datagram_bytes: usize,
    /// Further lines of `[fleet]` in the settings, before its peers.
    pub fleet_settings: String,
    /// Further tables at the end of the settings.
    pub tables: String,
    /// Numbers of the pools that attaches may go to.
    pub pools: Vec<u16>,
    /// Place a relay, which can apply faults, on every path between fronts; otherwise fronts send directly to
    /// each other.
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
            max_datagram_bytes: 1200,
            fleet_settings: String::new(),
            tables: String::new(),
            pools: vec![0, 1, 2],
            relayed: true,
        }
    }
}

struct Front {
    /// Address for callers.
    listen: SocketAddr,
    settings: PathBuf,
    console: PathBuf,
    log: PathBuf,
    /// File with the stored state.
    stored_file: PathBuf,
    process: Option<Child>,
    paused: bool,
}

/// Fronts as processes, which are killed when the fleet is dropped.
pub struct Fleet {
    program: PathBuf,
    fronts: Vec<Front>,
    pub feeds: Vec<ListFeed>,
    pub relays: Relays,
    /// Processes started so far.
    pub starts: u64,
    _folder: Option<tempfile::TempDir>,
}

/// Offsets of the fleet's loopback networks: between fronts, and from callers to fronts.
const FRONT_NETWORK: u8 = 0;
const CALLER_NETWORK: u8 = 1;

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
        // Fleets of concurrent test processes get different addresses too.
        let address =
            |kind, front| free_address(networks + kind, std::process::id() as usize % 250 * 250 + front);
        let listen: Vec<SocketAddr> =
            (0..shape.fronts).map(|front| address(FRONT_NETWORK, front)).collect::<io::Result<_>>()?;
        let relays = match shape.relayed {
            true => Relays::start(&listen, shape.seed)?,
            false => Relays::direct(&listen, shape.seed)?,
        };
        let (mut fronts, mut feeds) = (Vec::new(), Vec::new());
        for (index, at) in listen.iter().enumerate() {
            let feed = ListFeed::start()?;
            let path = |extension: &str| folder.join(format!("f{index}.{extension}"));
            let front = Front {
                listen: address(CALLER_NETWORK, index)?,
                settings: path("toml"),
                console: path("sock"),
                log: path("log"),
                stored_file: path("redb"),
                process: None,
                paused: false,
            };
            let peer = |to: usize| {
                let address = relays.address(index, to);
                format!("[[fleet.peers]]\nname = \"f{to}\"\naddress = \"{address}\"\n")
            };
            let peers: String = (0..shape.fronts).map(peer).collect();
            let storage = shape.keep_every.map_or(String::new(), |every| {
                format!("keep_file = {:?}\nkeep_every = \"{}ms\"\n", front.stored_file, every.as_millis())
            });
            let text = format!(
                "[front]\nlisten = \"{}\"\nend_within = \"200ms\"\n[pool_list]\nfeed = \"{}\"\n\
                 [[procedures]]\nname = \"any\"\nlatency_target = \"2s\"\nt_timer = \"9s\"\nutility = 1.0\n\
                 late_share = 0.25\npools = {:?}\n[rules]\ndrain_grace = \"250ms\"\nrelease_guard = \"500ms\"\n\
                 [rules.cold]\nstart_capacity = 0.3\nwarm_after = \"15s\"\ntip_multiple = 2.0\n\
                 [console]\nsocket = {:?}\n\
                 [fleet]\nname = \"f{index}\"\nlisten = \"{}\"\nkey_file = {key:?}\nevery = \"{}ms\"\n\
                 suspect_after = \"{}ms\"\ngone_after = \"{}ms\"\nbytes = {}\nwarnings_for = \"600s\"\n{storage}{}\n{peers}{}",
                front.listen,
                feed.address,
                shape.pools,
                front.console,
                at,
                shape.heartbeat_interval.as_millis(),
                8 * shape.heartbeat_interval.as_millis(),
                20 * shape.heartbeat_interval.as_millis(),
                shape.max_datagram_bytes,
                shape.fleet_settings,
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
    pub fn start(&mut self, index: usize) -> io::Result<()> {
        let front = &mut self.fronts[index];
        if front.process.is_some() {
            return Ok(());
        }
        // A killed process leaves its console socket behind.
        let _ = std::fs::remove_file(&front.console);
        let log = File::options().create(true).append(true).open(&front.log)?;
        let mut command = Command::new(&self.program);
        command.args(["run", "--config"]).arg(&front.settings).stdout(Stdio::null()).stderr(log);
        front.process = Some(command.spawn()?);
        self.starts += 1;
        let begin = Instant::now();
        while self.status(index).is_none() {
            if let Some(status) = self.ended(index)? {
                return Err(self.error_with_log(index, &format!("ended while starting: {status}")));
            }
            if begin.elapsed() > START_TIMEOUT {
                return Err(self.error_with_log(index, "did not answer in time after its start"));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// The exit status of a front that ended unexpectedly.
    pub fn ended(&mut self, index: usize) -> io::Result<Option<String>> {
        let Some(process) = &mut self.fronts[index].process else { return Ok(None) };
        Ok(process.try_wait()?.map(|status| status.to_string()))
    }

    /// An error about a front, with the front's log.
    pub fn error_with_log(&self, index: usize, what: &str) -> io::Error {
        let log = std::fs::read_to_string(&self.fronts[index].log).unwrap_or_default();
        io::Error::other(format!("front f{index} {what}:\n{log}"))
    }

    /// Kills a front with SIGKILL.
    pub fn kill(&mut self, index: usize) {
        let front = &mut self.fronts[index];
        front.paused = false;
        if let Some(mut process) = front.process.take() {
            // Fails if the process has ended already, which is fine.
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Shuts a front down gracefully (SIGTERM) and waits for it; returns whether it exited successfully.
    pub fn end(&mut self, index: usize) -> io::Result<bool> {
        let Some(mut process) = self.fronts[index].process.take() else { return Ok(true) };
        signal(&process, Signal::SIGTERM)?;
        Ok(process.wait()?.success())
    }

    /// Pauses (SIGSTOP) or resumes (SIGCONT) the process of a front.
    pub fn set_paused(&mut self, index: usize, paused: bool) -> io::Result<()> {
        let front = &mut self.fronts[index];
        let Some(process) = &front.process else { return Ok(()) };
        front.paused = paused;
        signal(process, if paused { Signal::SIGSTOP } else { Signal::SIGCONT })
    }

    /// Makes a front reload its settings (SIGHUP).
    pub fn reload(&self, index: usize) -> io::Result<()> {
        self.fronts[index].process.as_ref().map_or(Ok(()), |process| signal(process, Signal::SIGHUP))
    }

    /// The process id of a running front.
    pub fn process_id(&self, index: usize) -> Option<u32> {
        self.fronts[index].process.as_ref().map(Child::id)
    }

    /// Whether a front runs and is not paused.
    pub fn is_up(&self, index: usize) -> bool {
        self.fronts[index].process.is_some() && !self.fronts[index].paused
    }

    /// Sends a request to a front's console; none if it does not answer in time.
    pub fn ask(&self, index: usize, request: &Request) -> Option<Reply> {
        ask(&self.fronts[index].console, request, ANSWER_TIMEOUT).ok()
    }

    /// The fleet status that a front reports.
    pub fn status(&self, index: usize) -> Option<FleetStatus> {
        match self.ask(index, &Request::Fleet)? {
            Reply::Fleet(status) => Some(*status),
            _ => None,
        }
    }

    /// The state of the servers that a front reports.
    pub fn members(&self, index: usize) -> Option<Members> {
        match self.ask(index, &Request::Members)? {
            Reply::Members(members) => Some(*members),
            _ => None,
        }
    }

    /// The file with a front's stored state.
    pub fn stored_file(&self, index: usize) -> &Path {
        &self.fronts[index].stored_file
    }

    /// Path of the saved copy of a front's stored state.
    fn saved_copy(&self, index: usize) -> PathBuf {
        self.fronts[index].stored_file.with_extension("aside")
    }

    /// Kills a front and saves a copy of its stored state.
    pub fn save_stored_state(&mut self, index: usize) -> io::Result<()> {
        self.kill(index);
        match std::fs::copy(self.stored_file(index), self.saved_copy(index)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Kills a front and restores the saved copy of its stored state, if there is one; does not start the
    /// front.
    pub fn restore_stored_state(&mut self, index: usize) -> io::Result<()> {
        self.kill(index);
        match std::fs::copy(self.saved_copy(index), self.stored_file(index)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// The address at which callers connect to a front.
    pub fn listen(&self, index: usize) -> SocketAddr {
        self.fronts[index].listen
    }

    /// The settings file of a front.
    pub fn settings(&self, index: usize) -> &Path {
        &self.fronts[index].settings
    }
}

fn signal(process: &Child, signal: Signal) -> io::Result<()> {
    let pid = i32::try_from(process.id()).map_err(io::Error::other)?;
    kill(Pid::from_raw(pid), signal).map_err(io::Error::from)
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.fronts.len()).for_each(|index| self.kill(index));
    }
}
