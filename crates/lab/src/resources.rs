//! Memory and processor time used by this process and thread, from the kernel.

use nix::sys::resource::{getrusage, UsageWho};
use nix::sys::time::TimeValLike;

/// Size of a memory page, the unit of `/proc/self/statm`.
const PAGE_BYTES: u64 = 4096;

/// Resident memory of this process; 0 where the kernel does not report it.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Processor time of this thread, seconds; 0 where the kernel does not report it.
pub fn thread_seconds() -> f64 {
    let Ok(usage) = getrusage(UsageWho::RUSAGE_THREAD) else { return 0.0 };
    (usage.user_time().num_microseconds() + usage.system_time().num_microseconds()) as f64 / 1e6
}
