//! One processor with one line: jobs, their work, cold start and warming, turning away, falling over.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Seconds of work on a warm processor at full speed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Work {
    pub set_up: f64,
    pub answer: f64,
    pub release: f64,
    pub probe: f64,
    pub reject: f64,
}

/// What a processor that has just started can bear.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Cold {
    /// Share of its capacity at the start.
    pub start_capacity: f64,
    pub warm_after: f64,
    /// It falls over at this multiple of what it can do at that moment,
    pub tip_multiple: f64,
    /// kept up for this long.
    pub fall_after: f64,
}

/// Kinds of job, by what they cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    SetUp,
    Answer,
    Release,
    Probe,
    Reject,
}

/// A job and the caller's word for it.
#[derive(Clone, Copy, Debug)]
pub struct Job<T> {
    pub kind: Kind,
    pub token: T,
}

/// The processor's line. Time never goes back from call to call.
#[derive(Clone, Debug)]
pub struct Processor<T> {
    work: Work,
    cold: Cold,
    /// Answers and releases go ahead of set-ups.
    first_out: bool,
    ahead: VecDeque<Job<T>>,
    line: VecDeque<Job<T>>,
    running: Option<(Job<T>, f64)>,
    free_at: f64,
    started: f64,
    was_cold: bool,
    /// 1 at full speed; 3 when three times slower.
    pub slow: f64,
    recent: VecDeque<f64>,
}

impl<T: Copy> Processor<T> {
    pub fn new(work: Work, cold: Cold, first_out: bool) -> Processor<T> {
        Processor {
            work,
            cold,
            first_out,
            ahead: VecDeque::new(),
            line: VecDeque::new(),
            running: None,
            free_at: 0.0,
            started: f64::NEG_INFINITY,
            was_cold: false,
            slow: 1.0,
            recent: VecDeque::new(),
        }
    }

    /// Starts anew with nothing in line.
    pub fn start(&mut self, now: f64, cold: bool) {
        self.ahead.clear();
        self.line.clear();
        self.recent.clear();
        self.running = None;
        self.free_at = now;
        self.started = if cold { now } else { f64::NEG_INFINITY };
        self.was_cold = cold;
        self.slow = 1.0;
    }

    /// Set-ups a second when warm, with the answer and the release that each brings.
    pub fn capacity(&self) -> f64 {
        1.0 / (self.work.set_up + self.work.answer + self.work.release)
    }

    /// Share of that which it can do now, apart from being slowed.
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

    fn takes(&self, kind: Kind, at: f64) -> f64 {
        self.cost(kind) * self.slow / self.warmth(at)
    }

    /// Seconds until a set-up that came now would begin.
    pub fn wait(&self, now: f64) -> f64 {
        let queued: f64 = self.ahead.iter().chain(&self.line).map(|j| self.takes(j.kind, now)).sum();
        let running = self.running.as_ref().map_or(0.0, |r| (r.1 - now).max(0.0));
        running + queued
    }

    /// Counts a set-up that was sent here; true when it pushes a cold processor over.
    pub fn pushed_over(&mut self, now: f64) -> bool {
        while self.recent.front().is_some_and(|&t| t <= now - self.cold.fall_after) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
        let can = self.capacity() * self.warmth(now) * self.cold.fall_after;
        self.was_cold
            && self.warmth(now) < 1.0
            && self.recent.len() as f64 > (self.cold.tip_multiple * can).max(2.0)
    }

    pub fn add(&mut self, now: f64, job: Job<T>) {
        let ahead = self.first_out && job.kind != Kind::SetUp;
        if ahead { &mut self.ahead } else { &mut self.line }.push_back(job);
        self.begin(now);
    }

    /// Takes a job out of the line before its turn.
    pub fn withdraw(&mut self, is: impl Fn(&T) -> bool) {
        self.line.retain(|j| !(j.kind == Kind::SetUp && is(&j.token)));
    }

    fn begin(&mut self, now: f64) {
        if self.running.is_some() {
            return;
        }
        let Some(job) = self.ahead.pop_front().or_else(|| self.line.pop_front()) else { return };
        let from = self.free_at.max(now);
        self.running = Some((job, from + self.takes(job.kind, from)));
    }

    /// When the running job ends.
    pub fn due(&self) -> f64 {
        self.running.as_ref().map_or(f64::INFINITY, |r| r.1)
    }

    /// The job that has ended by now. Late calls do not make the line slower.
    pub fn finished(&mut self, now: f64) -> Option<Job<T>> {
        let (job, end) = self.running.filter(|r| r.1 <= now)?;
        self.running = None;
        self.free_at = end;
        self.begin(end);
        Some(job)
    }
}

/// Share of its capacity that a processor of that age has.
pub fn warmth(cold: &Cold, age: f64) -> f64 {
    let part = (age / cold.warm_after).clamp(0.0, 1.0);
    cold.start_capacity + (1.0 - cold.start_capacity) * part
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
    fn one_line_with_answers_ahead() {
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
    fn a_cold_one_is_slow_and_can_be_pushed_over() {
        let mut p = processor();
        p.start(100.0, true);
        p.add(100.0, Job { kind: Kind::SetUp, token: 1 });
        assert!((p.due() - 100.04).abs() < 1e-9);
        // 50 a second warm, a quarter of it cold, twice that for a second: 25 and a few.
        let fell = (0..40).position(|i| p.pushed_over(100.0 + f64::from(i) * 0.01));
        assert!(fell.is_some_and(|n| (24..=28).contains(&n)), "{fell:?}");
        let mut warm = processor();
        warm.start(0.0, false);
        assert!(!(0..400).any(|i| warm.pushed_over(f64::from(i) * 0.001)));
    }
}
