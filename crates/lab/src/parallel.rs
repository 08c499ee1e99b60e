//! Runs independent jobs on several threads.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Number of available cores, 1 if it is unknown.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

/// Runs every job on `threads` threads and returns the results in the order of the jobs.
pub fn each<J: Sync, R: Send>(jobs: &[J], threads: usize, run: impl Fn(usize, &J) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::with_capacity(jobs.len()));
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                let Some(job) = jobs.get(index) else { return };
                let result = run(index, job);
                results.lock().unwrap_or_else(|e| e.into_inner()).push((index, result));
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(|e| e.into_inner());
    results.sort_by_key(|result| result.0);
    results.into_iter().map(|result| result.1).collect()
}
