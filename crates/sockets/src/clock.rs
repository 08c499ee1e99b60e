//! A monotonic clock that detects when its process was stalled.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Reading of a new clock, seconds: far enough from 0, which the decision module reads as 'long ago'.
const START: f64 = 1e6;
/// Interval at which the watchdog thread records the time.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// A gap between two ticks above which the process is considered to have been stalled, seconds.
const STALL_THRESHOLD: f64 = 0.1;
/// Time after a stall during which bytes that are read may have arrived while it lasted, seconds.
const CATCH_UP: f64 = 0.02;

/// Times on the clock, each stored as the bits of an f64 in seconds.
struct Inner {
    base: Instant,
    last_tick: AtomicU64,
    stall_start: AtomicU64,
    stall_end: AtomicU64,
}

/// A monotonic clock in seconds with a watchdog thread. A process that was stopped for a while (by its
/// machine, or on purpose) finds bytes in its sockets that arrived long ago;
/// [`MonotonicClock::earliest_arrival`] gives the earliest possible time, so that the remaining time of a
/// caller is never overestimated.
#[derive(Clone)]
pub struct MonotonicClock(Arc<Inner>);

impl Default for MonotonicClock {
    fn default() -> MonotonicClock {
        MonotonicClock::new()
    }
}

fn load(cell: &AtomicU64) -> f64 {
    f64::from_bits(cell.load(Ordering::Acquire))
}

fn store(cell: &AtomicU64, value: f64) {
    cell.store(value.to_bits(), Ordering::Release);
}

impl MonotonicClock {
    /// Starts a clock and its watchdog thread, which ends after the last handle is dropped.
    pub fn new() -> MonotonicClock {
        let cell = |v: f64| AtomicU64::new(v.to_bits());
        let clock = MonotonicClock(Arc::new(Inner {
            base: Instant::now(),
            last_tick: cell(START),
            stall_start: cell(0.0),
            stall_end: cell(0.0),
        }));
        let watched = Arc::downgrade(&clock.0);
        std::thread::spawn(move || loop {
            std::thread::sleep(TICK_INTERVAL);
            let Some(inner) = watched.upgrade() else { return };
            MonotonicClock(inner).tick();
        });
        clock
    }

    /// Seconds on this clock.
    pub fn now(&self) -> f64 {
        START + self.0.base.elapsed().as_secs_f64()
    }

    /// Records the time, and a stall if the last tick was too long ago.
    fn tick(&self) {
        let (now, last) = (self.now(), load(&self.0.last_tick));
        if now - last > STALL_THRESHOLD {
            store(&self.0.stall_start, last);
            store(&self.0.stall_end, now);
        }
        store(&self.0.last_tick, now);
    }

    /// The earliest time at which bytes that are read now can have arrived.
    pub fn earliest_arrival(&self) -> f64 {
        let (now, last) = (self.now(), load(&self.0.last_tick));
        if now - last > STALL_THRESHOLD {
            return last;
        }
        if now - load(&self.0.stall_end) < CATCH_UP {
            return load(&self.0.stall_start);
        }
        now
    }

    /// Whether a stall has ended so recently that readers may not yet have read all that arrived during it.
    pub fn just_resumed(&self) -> bool {
        self.earliest_arrival() < self.now() - STALL_THRESHOLD
    }

    /// Time left until a deadline on this clock: zero if it has passed, one second at most.
    pub fn duration_until(&self, deadline: f64) -> Duration {
        Duration::from_secs_f64((deadline - self.now()).clamp(0.0, 1.0))
    }
}
