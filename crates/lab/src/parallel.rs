//! Runs independent jobs on several threads.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Number of available cores, 1 if it is unknown.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

/// Runs every job on `at_once` threads and returns the results in the order of the jobs.
pub fn each<J: Sync, R: Send>(jobs: &[J], at_once: usize, run: impl Fn(usize, &J) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::with_capacity(jobs.len()));
    std::thread::scope(|scope| {
        for _ in 0..at_once.max(1) {
            scope.spawn(|| loop {
                let place = next.fetch_add(1, Ordering::Relaxed);
                let Some(job) = jobs.get(place) else { return };
                let result = run(place, job);
                done.lock().unwrap_or_else(|e| e.into_inner()).push((place, result));
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(|e| e.into_inner());
    done.sort_by_key(|d| d.0);
    done.into_iter().map(|d| d.1).collect()
}
