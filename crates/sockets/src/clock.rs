//! The clock of one process, and when it stood still.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Where the clock begins, seconds: far enough from 0, which means 'long ago' to the decision module.
const BEGIN: f64 = 1e6;
/// Time between two ticks of the watch.
const TICK: Duration = Duration::from_millis(10);
/// A gap between ticks from which the process is taken to have stood still.
const STILL: f64 = 0.1;
/// So long after it goes on, what is read may have come while it stood.
const SETTLE: f64 = 0.02;

struct Inner {
    base: Instant,
    /// Bits of f64 seconds.
    tick: AtomicU64,
    from: AtomicU64,
    until: AtomicU64,
}

/// A monotonic clock in seconds with a watch over it. A process that was stopped for a while (by its
/// machine, or on purpose) finds bytes in its sockets that came long ago; [`MonotonicClock::earliest_arrival`] says since
/// when at the earliest, so that a caller's patience is never taken for longer than it is.
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
    /// Starts a clock and its watch, a thread that ends with the last handle.
    pub fn new() -> MonotonicClock {
        let cell = |v: f64| AtomicU64::new(v.to_bits());
        let ground = MonotonicClock(Arc::new(Inner {
            base: Instant::now(),
            tick: cell(BEGIN),
            from: cell(0.0),
            until: cell(0.0),
        }));
        let watched = Arc::downgrade(&ground.0);
        std::thread::spawn(move || loop {
            std::thread::sleep(TICK);
            let Some(inner) = watched.upgrade() else { return };
            MonotonicClock(inner).ticked();
        });
        ground
    }

    /// Seconds on this clock.
    pub fn now(&self) -> f64 {
        BEGIN + self.0.base.elapsed().as_secs_f64()
    }

    fn ticked(&self) {
        let (now, last) = (self.now(), load(&self.0.tick));
        if now - last > STILL {
            store(&self.0.from, last);
            store(&self.0.until, now);
        }
        store(&self.0.tick, now);
    }

    /// The earliest time at which what is read now can have come.
    pub fn earliest_arrival(&self) -> f64 {
        let (now, tick) = (self.now(), load(&self.0.tick));
        if now - tick > STILL {
            return tick;
        }
        if now - load(&self.0.until) < SETTLE {
            return load(&self.0.from);
        }
        now
    }

    /// It went on only just now: readers have not yet read all that came meanwhile.
    pub fn just_resumed(&self) -> bool {
        self.earliest_arrival() < self.now() - STILL
    }

    /// How long to wait for a due time; nothing when it is past, at most a second.
    pub fn duration_until(&self, due: f64) -> Duration {
        Duration::from_secs_f64((due - self.now()).clamp(0.0, 1.0))
    }
}
