//! A simulated processor with one queue: jobs and their work, cold start and warm-up, collapse under
//! overload.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Service time of each kind of job on a warm processor at full speed, seconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Work {
    pub set_up: f64,
    pub answer: f64,
    pub release: f64,
    pub probe: f64,
    pub reject: f64,
}

/// Capacity of a processor after its start. Times are seconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Cold {
    /// Share of its capacity at the start.
    pub start_capacity: f64,
    pub warm_after: f64,
    /// A cold processor collapses when the set-ups of one window exceed this multiple of its capacity then.
    pub tip_multiple: f64,
    /// Length of that window.
    pub fall_after: f64,
}

/// Kinds of job, each with its own service time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    SetUp,
    Answer,
    Release,
    Probe,
    Reject,
}

/// A job and the token by which the owner of the processor identifies it.
#[derive(Clone, Copy, Debug)]
pub struct Job<T> {
    pub kind: Kind,
    pub token: T,
}

/// A processor and its queue. The times passed to its methods must not decrease.
#[derive(Clone, Debug)]
pub struct Processor<T> {
    work: Work,
    cold: Cold,
    /// All other jobs are served before set-ups.
    first_out: bool,
    priority_queue: VecDeque<Job<T>>,
    queue: VecDeque<Job<T>>,
    running: Option<(Job<T>, f64)>,
    free_at: f64,
    started: f64,
    was_cold: bool,
    /// Factor on all service times: 1 at full speed, 3 when three times slower.
    pub slow: f64,
    recent: VecDeque<f64>,
}

impl<T: Copy> Processor<T> {
    pub fn new(work: Work, cold: Cold, first_out: bool) -> Processor<T> {
        Processor {
            work,
            cold,
            first_out,
            priority_queue: VecDeque::new(),
            queue: VecDeque::new(),
            running: None,
            free_at: 0.0,
            started: f64::NEG_INFINITY,
            was_cold: false,
            slow: 1.0,
            recent: VecDeque::new(),
        }
    }

    /// Restarts with an empty queue.
    pub fn start(&mut self, now: f64, cold: bool) {
        self.priority_queue.clear();
        self.queue.clear();
        self.recent.clear();
        self.running = None;
        self.free_at = now;
        self.started = if cold { now } else { f64::NEG_INFINITY };
        self.was_cold = cold;
        self.slow = 1.0;
    }

    /// Set-ups a second when warm, each with its answer and its release.
    pub fn capacity(&self) -> f64 {
        1.0 / (self.work.set_up + self.work.answer + self.work.release)
    }

    /// Fraction of the capacity that is available at this age, without the factor `slow`.
    pub fn warmth(&self, now: f64) -> f64 {
        warmth(&self.cold, now - self.started)
    }

    fn cost(&self, kind: Kind) -> f64 {
        match kind {
            Kind::SetUp => self.work.set_up,
            Kind::Answer => self.work.answer,
            Kind::Release => self.work.release,
            Kind::Probe => self.work.probe,
            Kind::Reject => self.work.reject,
        }
    }

    fn service_time(&self, kind: Kind, at: f64) -> f64 {
        self.cost(kind) * self.slow / self.warmth(at)
    }

    /// Seconds that a set-up arriving now would wait in the queue.
    pub fn wait(&self, now: f64) -> f64 {
        let queued: f64 =
            self.priority_queue.iter().chain(&self.queue).map(|j| self.service_time(j.kind, now)).sum();
        let running = self.running.as_ref().map_or(0.0, |r| (r.1 - now).max(0.0));
        running + queued
    }

    /// Counts a received set-up; returns true when it makes a cold processor collapse.
    pub fn pushed_over(&mut self, now: f64) -> bool {
        while self.recent.front().is_some_and(|&t| t <= now - self.cold.fall_after) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
        let served = self.capacity() * self.warmth(now) * self.cold.fall_after;
        self.was_cold
            && self.warmth(now) < 1.0
            && self.recent.len() as f64 > (self.cold.tip_multiple * served).max(2.0)
    }

    pub fn add(&mut self, now: f64, job: Job<T>) {
        let has_priority = self.first_out && job.kind != Kind::SetUp;
        if has_priority { &mut self.priority_queue } else { &mut self.queue }.push_back(job);
        self.begin(now);
    }

    /// Removes the matching set-ups that have not begun.
    pub fn withdraw(&mut self, is: impl Fn(&T) -> bool) {
        self.queue.retain(|j| !(j.kind == Kind::SetUp && is(&j.token)));
    }

    fn begin(&mut self, now: f64) {
        if self.running.is_some() {
            return;
        }
        let Some(job) = self.priority_queue.pop_front().or_else(|| self.queue.pop_front()) else { return };
        let from = self.free_at.max(now);
        self.running = Some((job, from + self.service_time(job.kind, from)));
    }

    /// Time at which the running job ends; infinity when idle.
    pub fn due(&self) -> f64 {
        self.running.as_ref().map_or(f64::INFINITY, |r| r.1)
    }

    /// Returns a job that has ended by now. The next one begins at the end of this job, not at the time of
    /// the call, so that late calls do not slow the queue down.
    pub fn finished(&mut self, now: f64) -> Option<Job<T>> {
        let (job, end) = self.running.filter(|r| r.1 <= now)?;
        self.running = None;
        self.free_at = end;
        self.begin(end);
        Some(job)
    }
}

/// Fraction of its full capacity that a processor has at that age, seconds.
pub fn warmth(cold: &Cold, age: f64) -> f64 {
    let progress = (age / cold.warm_after).clamp(0.0, 1.0);
    cold.start_capacity + (1.0 - cold.start_capacity) * progress
}

#[cfg(test)]
mod tests {
    use super::*;

    fn processor() -> Processor<u32> {
        let work = Work { set_up: 0.01, answer: 0.005, release: 0.005, probe: 0.001, reject: 0.002 };
        Processor::new(
            work,
            Cold { start_capacity: 0.25, warm_after: 10.0, tip_multiple: 2.0, fall_after: 1.0 },
            true,
        )
    }

    #[test]
    fn releases_are_served_before_waiting_set_ups() {
        let mut p = processor();
        p.start(0.0, false);
        for token in 0..3 {
            p.add(0.0, Job { kind: Kind::SetUp, token });
        }
        p.add(0.0, Job { kind: Kind::Release, token: 9 });
        assert!((p.wait(0.0) - 0.035).abs() < 1e-9);
        let mut order = Vec::new();
        while p.due().is_finite() {
            let due = p.due();
            order.push((p.finished(due).unwrap().token, (due * 1000.0).round()));
        }
        assert_eq!(order, [(0, 10.0), (9, 15.0), (1, 25.0), (2, 35.0)]);
    }

    #[test]
    fn a_cold_processor_is_slow_and_can_collapse() {
        let mut p = processor();
        p.start(100.0, true);
        p.add(100.0, Job { kind: Kind::SetUp, token: 1 });
        assert!((p.due() - 100.04).abs() < 1e-9);
        // 50 a second when warm, a quarter of that when cold, twice that within a second: slightly above 25.
        let fell = (0..40).position(|i| p.pushed_over(100.0 + f64::from(i) * 0.01));
        assert!(fell.is_some_and(|n| (24..=28).contains(&n)), "{fell:?}");
        let mut warm = processor();
        warm.start(0.0, false);
        assert!(!(0..400).any(|i| warm.pushed_over(f64::from(i) * 0.001)));
    }
}
