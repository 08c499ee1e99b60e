//! The pool list service without I/O: it holds each server's state, writes full lists and changes as JSON
//! lines, and sends each change after a delay.

use crate::trace::{Entry, FrontId, Seen, ServerId};
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// State of a server's processor as the list reports it.
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

/// A change that has not been sent yet.
#[derive(Clone, Debug)]
struct Pending {
    at: f64,
    front: FrontId,
    server: ServerId,
    row: Row,
}

/// A line to write to a front's connection.
#[derive(Clone, Debug)]
pub struct FeedOut {
    pub front: FrontId,
    /// `None`: the connection is closed.
    pub line: Option<Vec<u8>>,
}

/// The state machine of the service.
pub struct Feed {
    epoch: u64,
    sequence: u64,
    current: BTreeMap<ServerId, Row>,
    /// The rows that each front has been sent, or will be sent on connecting.
    sent: BTreeMap<FrontId, BTreeMap<ServerId, Row>>,
    pending: VecDeque<Pending>,
    /// Delay of a change, seconds.
    pub delay: f64,
    /// Sends no changes and closes new connections.
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
            current: BTreeMap::new(),
            sent: (0..fronts).map(|f| (f, BTreeMap::new())).collect(),
            pending: VecDeque::new(),
            delay,
            stopped: false,
            out: VecDeque::new(),
            seen: Vec::new(),
            connected: BTreeMap::new(),
        }
    }

    /// Adds a server that was present before any front.
    pub fn known(&mut self, server: ServerId, address: SocketAddr, pool: u16) {
        let row = Row { address, pool, state: Listed::Ready, incarnation: 1, started: None };
        self.current.insert(server, row.clone());
        for rows in self.sent.values_mut() {
            rows.insert(server, row.clone());
        }
    }

    /// Records a server's new state, which is sent to every front after the delay.
    pub fn change(&mut self, now: f64, server: ServerId, state: Listed, restarted: bool) {
        let Some(row) = self.current.get_mut(&server) else { return };
        row.state = state;
        if restarted {
            row.incarnation += 1;
            row.started = Some(now);
        }
        let row = row.clone();
        let at = now + self.delay;
        for &front in self.sent.keys() {
            self.pending.push_back(Pending { at, front, server, row: row.clone() });
        }
    }

    /// Handles a front's new connection: sends the rows whose delay has passed.
    pub fn connected(&mut self, now: f64, front: FrontId) {
        self.connected.insert(front, true);
        if self.stopped {
            self.out.push_back(FeedOut { front, line: None });
            return;
        }
        let rows: Vec<(ServerId, Row)> =
            self.sent.get(&front).into_iter().flatten().map(|(s, r)| (*s, r.clone())).collect();
        self.write(now, front, true, &rows);
    }

    /// Closes all connections and sends nothing, or resumes.
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

    /// Time at which the next change is sent.
    pub fn due(&self) -> f64 {
        if self.stopped {
            return f64::INFINITY;
        }
        self.pending.iter().map(|l| l.at).fold(f64::INFINITY, f64::min)
    }

    pub fn tick(&mut self, now: f64) {
        if self.stopped {
            return;
        }
        let (due, rest): (VecDeque<Pending>, VecDeque<Pending>) =
            self.pending.drain(..).partition(|l| l.at <= now);
        self.pending = rest;
        for Pending { front, server, row, .. } in due {
            let known = self.sent.entry(front).or_default();
            // When the delay has been reduced, an older change may expire after a newer one; it is discarded.
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

    /// Takes the trace entries since the last call.
    pub fn take_seen(&mut self) -> Vec<Entry> {
        std::mem::take(&mut self.seen)
    }
}
