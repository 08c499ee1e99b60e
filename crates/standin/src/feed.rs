//! The pool list service without I/O: it knows each server's state, writes whole lists and changes as JSON
//! lines, and pushes each of them late.

use crate::trace::{Entry, FrontId, Seen, ServerId};
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// State of a server's processor as the list tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
struct Row {
    address: SocketAddr,
    pool: u16,
    state: Listed,
    incarnation: u64,
    started: Option<f64>,
}

/// One push that is not due yet.
#[derive(Clone, Debug)]
struct Late {
    at: f64,
    front: FrontId,
    server: ServerId,
    row: Row,
}

/// A line to write to a front's connection.
#[derive(Clone, Debug)]
pub struct FeedOut {
    pub front: FrontId,
    /// None: its connection is closed.
    pub line: Option<Vec<u8>>,
}

/// The service.
pub struct Feed {
    epoch: u64,
    sequence: u64,
    now_rows: BTreeMap<ServerId, Row>,
    /// What each front has been told, or will be told first on connecting.
    told: BTreeMap<FrontId, BTreeMap<ServerId, Row>>,
    late: VecDeque<Late>,
    /// Seconds that a push is late.
    pub delay: f64,
    /// Says nothing, neither of changes nor to whom connects.
    stopped: bool,
    out: VecDeque<FeedOut>,
    seen: Vec<Entry>,
    connected: BTreeMap<FrontId, bool>,
}

impl Feed {
    pub fn new(epoch: u64, fronts: usize, delay: f64) -> Feed {
        Feed {
            epoch,
            sequence: 0,
            now_rows: BTreeMap::new(),
            told: (0..fronts).map(|f| (f, BTreeMap::new())).collect(),
            late: VecDeque::new(),
            delay,
            stopped: false,
            out: VecDeque::new(),
            seen: Vec::new(),
            connected: BTreeMap::new(),
        }
    }

    /// A server that was there before any front.
    pub fn known(&mut self, server: ServerId, address: SocketAddr, pool: u16) {
        let row = Row { address, pool, state: Listed::Ready, incarnation: 1, started: None };
        self.now_rows.insert(server, row.clone());
        for rows in self.told.values_mut() {
            rows.insert(server, row.clone());
        }
    }

    /// The state of a server changed; every front is told later.
    pub fn change(&mut self, now: f64, server: ServerId, state: Listed, started_anew: bool) {
        let Some(row) = self.now_rows.get_mut(&server) else { return };
        row.state = state;
        if started_anew {
            row.incarnation += 1;
            row.started = Some(now);
        }
        let row = row.clone();
        let at = now + self.delay;
        for &front in self.told.keys() {
            self.late.push_back(Late { at, front, server, row: row.clone() });
        }
    }

    /// A front's connection: it gets what it would have been told by now.
    pub fn connected(&mut self, now: f64, front: FrontId) {
        self.connected.insert(front, true);
        if self.stopped {
            self.out.push_back(FeedOut { front, line: None });
            return;
        }
        let rows: Vec<(ServerId, Row)> =
            self.told.get(&front).into_iter().flatten().map(|(s, r)| (*s, r.clone())).collect();
        self.write(now, front, true, &rows);
    }

    /// From now on it says nothing and holds no connection, or speaks again.
    pub fn silence(&mut self, silent: bool) {
        self.stopped = silent;
        if silent {
            for (&front, _) in self.connected.iter().filter(|(_, on)| **on) {
                self.out.push_back(FeedOut { front, line: None });
            }
        }
    }

    pub fn closed(&mut self, front: FrontId) {
        self.connected.insert(front, false);
    }

    pub fn due(&self) -> f64 {
        if self.stopped {
            return f64::INFINITY;
        }
        self.late.iter().map(|l| l.at).fold(f64::INFINITY, f64::min)
    }

    pub fn tick(&mut self, now: f64) {
        if self.stopped {
            return;
        }
        let (due, rest): (VecDeque<Late>, VecDeque<Late>) = self.late.drain(..).partition(|l| l.at <= now);
        self.late = rest;
        for Late { front, server, row, .. } in due {
            let known = self.told.entry(front).or_default();
            // A push made later but due sooner (the delay shrank) is not undone by an older one.
            if known.get(&server).is_some_and(|r| r.incarnation > row.incarnation) {
                continue;
            }
            known.insert(server, row.clone());
            if self.connected.get(&front) == Some(&true) {
                self.write(now, front, false, &[(server, row)]);
            }
        }
    }

    fn write(&mut self, now: f64, front: FrontId, whole: bool, rows: &[(ServerId, Row)]) {
        self.sequence += 1;
        let servers: Vec<_> = rows
            .iter()
            .map(|(server, row)| {
                let ready = row.state == Listed::Ready;
                self.seen.push((now, Seen::Told { front, server: *server, ready }));
                json!({
                    "address": row.address.to_string(),
                    "pool": row.pool,
                    "state": match row.state {
                        Listed::Ready => "ready",
                        Listed::Draining => "draining",
                        Listed::Gone => "gone",
                    },
                    "incarnation": row.incarnation,
                    "age_ms": row.started.map(|s| ((now - s) * 1000.0).max(0.0) as u64),
                })
            })
            .collect();
        let line =
            json!({ "epoch": self.epoch, "sequence": self.sequence, "whole": whole, "servers": servers });
        self.out.push_back(FeedOut { front, line: Some(format!("{line}\n").into_bytes()) });
    }

    pub fn next_output(&mut self) -> Option<FeedOut> {
        self.out.pop_front()
    }

    pub fn take_seen(&mut self) -> Vec<Entry> {
        std::mem::take(&mut self.seen)
    }
}
