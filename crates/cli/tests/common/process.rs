//! The daemon as a process of a test, and waiting for what must come true.

use std::fmt::Debug;
use std::path::Path;
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
