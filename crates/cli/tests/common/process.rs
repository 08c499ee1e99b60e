//! A front as a child process of a test, its sockets, and polling for conditions.

use std::fmt::Debug;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Limit of every wait; longer than anything here takes, so only a failing test reaches it.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// A front in a child process, killed on drop.
pub struct Front(pub Child);

impl Front {
    /// Starts one with that settings file; `log` gets its standard error.
    pub fn run(config: &Path, log: impl Into<Stdio>) -> Front {
        let mut command = Command::new(env!("CARGO_BIN_EXE_shalespindle"));
        command.args(["run", "--config"]).arg(config).stdout(Stdio::null()).stderr(log);
        spawn(&mut command)
    }
}

/// Held while a process is started: between fork and exec the child holds a copy of every descriptor of the
/// test.
static SPAWNING: Mutex<()> = Mutex::new(());

/// Runs `act`, which closes descriptors, while no concurrent test spawns a process that would hold copies of
/// them.
pub fn without_spawning<T>(act: impl FnOnce() -> T) -> T {
    let _guard = SPAWNING.lock().unwrap_or_else(PoisonError::into_inner);
    act()
}

/// Starts a front, and waits until it has closed the descriptors copied from the test.
pub fn spawn(command: &mut Command) -> Front {
    let _guard = SPAWNING.lock().unwrap_or_else(PoisonError::into_inner);
    let mut front = Front(command.spawn().unwrap());
    // The process name changes only after exec has closed the copied descriptors.
    let name_file = PathBuf::from(format!("/proc/{}/comm", front.0.id()));
    let is_program = |name: String| ["shalespindle", "sh"].contains(&name.trim());
    wait_until("the program to start", || {
        let has_exited = front.0.try_wait().is_ok_and(|status| status.is_some());
        has_exited || std::fs::read_to_string(&name_file).is_ok_and(is_program)
    });
    front
}

impl Drop for Front {
    fn drop(&mut self) {
        // In some tests the process has already exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The sockets that a process holds, according to /proc.
#[derive(Debug)]
pub struct Sockets {
    process: PathBuf,
    /// Inodes of the sockets.
    pub inodes: Vec<String>,
}

impl Sockets {
    pub fn of(front: &Front) -> Sockets {
        let process = PathBuf::from(format!("/proc/{}", front.0.id()));
        let inodes = std::fs::read_dir(process.join("fd"))
            .unwrap()
            .filter_map(|entry| std::fs::read_link(entry.unwrap().path()).ok())
            .filter_map(|to| Some(to.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_string()))
            .collect();
        Sockets { process, inodes }
    }

    /// Returns the rows of a table in /proc/PID/net, such as `tcp`, whose inode column names one of these
    /// sockets.
    pub fn rows(&self, table: &str, inode_column: usize) -> Vec<Vec<String>> {
        let text = std::fs::read_to_string(self.process.join("net").join(table)).unwrap_or_default();
        let rows = text.lines().skip(1).map(|l| l.split_whitespace().map(str::to_string).collect());
        rows.filter(|row: &Vec<String>| {
            row.get(inode_column).is_some_and(|inode| self.inodes.contains(inode))
        })
        .collect()
    }

    /// Returns the ids of the child processes, separated by spaces.
    pub fn children(&self) -> String {
        let tasks = std::fs::read_dir(self.process.join("task")).unwrap();
        tasks.filter_map(|task| std::fs::read_to_string(task.unwrap().path().join("children")).ok()).collect()
    }
}

/// Polls `get` until `expected` accepts the value, and returns it; panics after the timeout.
pub fn wait_for_value<T: Debug>(what: &str, mut get: impl FnMut() -> T, expected: impl Fn(&T) -> bool) -> T {
    let start = Instant::now();
    loop {
        let value = get();
        if expected(&value) {
            return value;
        }
        assert!(start.elapsed() < TIMEOUT, "timed out waiting for {what}: {value:?}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Polls a condition until it holds; panics after the timeout.
pub fn wait_until(what: &str, condition: impl FnMut() -> bool) {
    wait_for_value(what, condition, |holds| *holds);
}
