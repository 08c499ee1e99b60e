//! What this process and thread have used, from the kernel's accounts.

use nix::sys::resource::{getrusage, UsageWho};
use nix::sys::time::TimeValLike;

/// Bytes of a page of memory in `/proc`.
const PAGE: u64 = 4096;

/// Resident memory of this process; 0 where the kernel does not tell.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE
}

/// Processor time of this thread, seconds; 0 where the kernel does not tell.
pub fn thread_seconds() -> f64 {
    let Ok(usage) = getrusage(UsageWho::RUSAGE_THREAD) else { return 0.0 };
    (usage.user_time().num_microseconds() + usage.system_time().num_microseconds()) as f64 / 1e6
}
