//! Acceptance rules beyond the five rules, evaluated over the same trace: attempts for callers that have
//! left, the load of all fronts on a cold server, restarts of fronts.

use crate::processor::{warmth, Cold};
use crate::trace::{Entry, FrontId, Seen, ServerId};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Limits of the acceptance rules. Times are seconds.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Maximum time from a caller's close or CANCEL to an attempt that begins for it.
    pub gone_within: f64,
    /// Allowance for the sockets' delay and for the scheduling delay of the peers.
    pub passing: f64,
    pub cold: Cold,
    /// At least nine in ten restarted fronts are ready within this time.
    pub ready_within: f64,
}

/// Set-ups that a cold server received from all fronts in one window.
#[derive(Clone, Debug, PartialEq)]
pub struct Window {
    pub server: ServerId,
    /// End of the window.
    pub until: f64,
    pub sum: usize,
    /// N + 2 sqrt(N) + 2, where N is the server's capacity for one window at that time.
    pub bound: f64,
}

/// Measurements of one trace.
#[derive(Clone, Debug, Default)]
pub struct Found {
    /// Sessions with an attempt that began after their caller had left, and how long after, seconds.
    pub after_gone: Vec<(Arc<str>, f64)>,
    /// Callers that left while their attach was pending.
    pub gone: usize,
    /// The window with the greatest excess over its bound (negative while below it).
    pub fullest: Option<Window>,
    /// Each launch of a front, and the seconds until it was ready.
    pub ready: Vec<(FrontId, f64)>,
    /// Fronts that were launched and neither became ready nor were killed.
    pub never_ready: Vec<FrontId>,
}

impl Found {
    /// The longest time from a caller's leaving to the start of an attempt for it; 0 where there was none.
    pub fn longest_after_gone(&self) -> f64 {
        self.after_gone.iter().fold(0.0, |longest: f64, attempt| longest.max(attempt.1))
    }

    /// The longest time from a front's launch to its readiness, seconds.
    pub fn slowest(&self) -> f64 {
        self.ready.iter().fold(0.0, |longest: f64, launch| longest.max(launch.1))
    }

    /// One message for each violation.
    pub fn broken(&self, terms: &Terms) -> Vec<String> {
        let mut broken = Vec::new();
        for (session, after) in self.after_gone.iter().filter(|g| g.1 > terms.gone_within + terms.passing) {
            broken.push(format!("{session} is sent on {after:.3} s after its caller had gone"));
        }
        if let Some(w) = self.fullest.as_ref().filter(|w| w.sum as f64 > w.bound) {
            broken.push(format!(
                "{} set-ups in a window for cold server {}, {:.1} at most, at {:.3}",
                w.sum, w.server, w.bound, w.until
            ));
        }
        let slow = self.ready.iter().filter(|r| r.1 > terms.ready_within).count() + self.never_ready.len();
        let all = self.ready.len() + self.never_ready.len();
        if 10 * slow > all {
            broken.push(format!("{slow} of {all} starts took over {} s to be ready", terms.ready_within));
        }
        broken
    }
}

/// Evaluates a trace, which must be in order of time.
pub fn look(entries: &[Entry], terms: &Terms) -> Found {
    let mut found = Found::default();
    let mut gone: HashMap<Arc<str>, f64> = HashMap::new();
    let mut answered: HashMap<Arc<str>, f64> = HashMap::new();
    let mut started: HashMap<ServerId, (f64, f64)> = HashMap::new();
    let mut recent: HashMap<ServerId, VecDeque<f64>> = HashMap::new();
    let mut launched: BTreeMap<FrontId, f64> = BTreeMap::new();
    for (now, seen) in entries {
        match seen {
            Seen::Answered { session, .. } => {
                answered.entry(session.clone()).or_insert(*now);
            }
            Seen::Withdrawn { session } | Seen::Gone { session } if !answered.contains_key(session) => {
                gone.entry(session.clone()).or_insert(*now);
            }
            Seen::SetUp { server, session, .. } => {
                if let Some(at) = gone.get(session) {
                    found.after_gone.push((session.clone(), now - at));
                }
                let Some(&(since, capacity)) = started.get(server) else { continue };
                if now - since >= terms.cold.warm_after {
                    continue;
                }
                let window = recent.entry(*server).or_default();
                while window.front().is_some_and(|t| *t <= now - terms.cold.fall_after) {
                    window.pop_front();
                }
                window.push_back(*now);
                let served = capacity * warmth(&terms.cold, now - since) * terms.cold.fall_after;
                let tolerated = terms.cold.tip_multiple * served;
                let bound = tolerated + 2.0 * tolerated.sqrt() + 2.0;
                let excess = |w: &Window| w.sum as f64 - w.bound;
                let current = Window { server: *server, until: *now, sum: window.len(), bound };
                if found.fullest.as_ref().is_none_or(|w| excess(w) < excess(&current)) {
                    found.fullest = Some(current);
                }
            }
            Seen::Started { server, cold, capacity } => {
                recent.remove(server);
                started.remove(server);
                if *cold {
                    started.insert(*server, (*now, *capacity));
                }
            }
            Seen::FrontLaunched { front } => {
                launched.insert(*front, *now);
            }
            Seen::FrontUp { front } => {
                if let Some(at) = launched.remove(front) {
                    found.ready.push((*front, now - at));
                }
            }
            Seen::FrontKilled { front } => {
                launched.remove(front);
            }
            _ => {}
        }
    }
    found.gone = gone.len();
    found.never_ready = launched.into_keys().collect();
    found
}
