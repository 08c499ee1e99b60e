//! The operators' stricter terms, over the same trace as the rules: callers that have gone, the sum at a cold server,
//! restarts.

use crate::processor::{warmth, Cold};
use crate::trace::{Entry, FrontId, Seen, ServerId};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// The figures of the terms, seconds.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// No attempt begins later than this after its caller has closed or cancelled.
    pub gone_within: f64,
    /// What passing the sockets, and the far ends' own lateness, may add.
    pub passing: f64,
    pub cold: Cold,
    /// Nine in ten restarted fronts are ready within this.
    pub ready_within: f64,
}

/// What came to a cold server in one window, from all fronts.
#[derive(Clone, Debug, PartialEq)]
pub struct Window {
    pub server: ServerId,
    pub until: f64,
    pub sum: usize,
    /// N + 2 root N + 2, N being what it bears in a window by then.
    pub bound: f64,
}

/// What was found.
#[derive(Clone, Debug, Default)]
pub struct Found {
    /// Attempts that began after their caller had gone, and how long after.
    pub after_gone: Vec<(Arc<str>, f64)>,
    /// Callers that went while their attach was in hand.
    pub gone: usize,
    /// The window that came nearest to its bound, or passed it furthest.
    pub fullest: Option<Window>,
    /// Each launch of a front, and how long it took to be ready.
    pub ready: Vec<(FrontId, f64)>,
    /// Launched, neither ready nor killed since.
    pub never_ready: Vec<FrontId>,
}

impl Found {
    /// The longest time from a caller's going to an attempt of its begun, 0 where none began.
    pub fn longest_after_gone(&self) -> f64 {
        self.after_gone.iter().fold(0.0, |l: f64, g| l.max(g.1))
    }

    pub fn slowest(&self) -> f64 {
        self.ready.iter().fold(0.0, |l: f64, r| l.max(r.1))
    }

    /// What broke, in words.
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

/// Looks through a trace in order of time.
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
                let can = capacity * warmth(&terms.cold, now - since) * terms.cold.fall_after;
                let bears = terms.cold.tip_multiple * can;
                let bound = bears + 2.0 * bears.sqrt() + 2.0;
                let over = |w: &Window| w.sum as f64 - w.bound;
                let this = Window { server: *server, until: *now, sum: window.len(), bound };
                if found.fullest.as_ref().is_none_or(|w| over(w) < over(&this)) {
                    found.fullest = Some(this);
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
