//! The daemon as a process of a test, and waiting for what must come true.

use std::fmt::Debug;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longer than anything here takes; reached only by a failure.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A front in service, killed when the test leaves it.
pub struct Front(pub Child);

impl Front {
    /// Starts one with that settings file; `log` gets its standard error.
    pub fn run(config: &Path, log: impl Into<Stdio>) -> Front {
        let mut command = Command::new(env!("CARGO_BIN_EXE_shalespindle"));
        command.args(["run", "--config"]).arg(config).stdout(Stdio::null()).stderr(log);
        Front(command.spawn().unwrap())
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        // Already ended by itself in some tests.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// What the kernel's tables say of the sockets that a process holds.
#[derive(Debug)]
pub struct Sockets {
    process: PathBuf,
    /// Inodes of the sockets it holds.
    pub own: Vec<String>,
}

impl Sockets {
    pub fn of(front: &Front) -> Sockets {
        let process = PathBuf::from(format!("/proc/{}", front.0.id()));
        let own = std::fs::read_dir(process.join("fd"))
            .unwrap()
            .filter_map(|entry| std::fs::read_link(entry.unwrap().path()).ok())
            .filter_map(|to| Some(to.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_string()))
            .collect();
        Sockets { process, own }
    }

    /// Rows of a table, such as `tcp`, whose column of inodes names one of them.
    pub fn rows(&self, table: &str, column: usize) -> Vec<Vec<String>> {
        let text = std::fs::read_to_string(self.process.join("net").join(table)).unwrap_or_default();
        let rows = text.lines().skip(1).map(|l| l.split_whitespace().map(str::to_string).collect());
        rows.filter(|row: &Vec<String>| row.get(column).is_some_and(|inode| self.own.contains(inode)))
            .collect()
    }

    /// Its child processes.
    pub fn children(&self) -> String {
        let tasks = std::fs::read_dir(self.process.join("task")).unwrap();
        tasks.filter_map(|task| std::fs::read_to_string(task.unwrap().path().join("children")).ok()).collect()
    }
}

/// Waits until what is got is as wanted.
pub fn until_got<T: Debug>(what: &str, mut get: impl FnMut() -> T, wanted: impl Fn(&T) -> bool) -> T {
    let begin = Instant::now();
    loop {
        let got = get();
        if wanted(&got) {
            return got;
        }
        assert!(begin.elapsed() < PATIENCE, "{what} never came: {got:?}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Waits until something holds.
pub fn until(what: &str, holds: impl FnMut() -> bool) {
    until_got(what, holds, |holds| *holds);
}
