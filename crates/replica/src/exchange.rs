//! The exchange between two fronts: digests of cursors, and the deltas that are missing.

use crate::fleet::{Fleet, Output, MAX_DELTA_HEADER_BYTES};
use crate::message::{to_incarnation, Cursor, Delta, DigestEntry, EndedCursor, Message};
use crate::replicas::Applied;
use shalespindle_peers::{FrontId, Incarnation, PeerReport};
use std::collections::VecDeque;

/// Maximum number of messages with deltas that answer the digest of a heartbeat without a request.
const MAX_UNREQUESTED_MESSAGES: usize = 1;
/// Heartbeat intervals after which another front may be asked for what the first one has not sent.
const REQUEST_TIMEOUT: f64 = 0.5;

impl Fleet {
    /// Compares a digest with the replicas here: sends what its sender lacks and requests what is missing here.
    pub(crate) fn receive_digest(
        &mut self,
        now: f64,
        from: FrontId,
        entries: &[DigestEntry],
        complete: bool,
        wants_answer: bool,
    ) {
        self.counts.digests += 1;
        let (mut wanted, mut offers) = (Vec::new(), Vec::new());
        let mut named = Vec::new();
        for entry in entries {
            let (front, incarnation) = (FrontId(entry.front), to_incarnation(entry.incarnation));
            let own_incarnation = self.peers.incarnation();
            self.peers
                .record(now, PeerReport { front, incarnation, heartbeat: entry.heartbeat, left: entry.left });
            if self.peers.incarnation() != own_incarnation {
                self.replicas.start_incarnation(now, self.peers.incarnation());
            }
            if !self.peers.is_listed(front) {
                continue;
            }
            named.push(front);
            self.compare_ended(now, front, entry, &mut wanted, &mut offers);
            let Some(cursor) = entry.cursor else { continue };
            let current = self.current_incarnation(front);
            if incarnation < current {
                offers.push((front, current, Cursor::default()));
                continue;
            }
            if front == self.peers.own() {
                self.reported_at.get_or_insert(now);
                offers.push((front, incarnation, cursor));
                continue;
            }
            self.note_ahead(front, incarnation, cursor.seq);
            match self.replicas.cursor(front, incarnation) {
                Some(held) if held.seq < cursor.seq => wanted.push(front),
                Some(_) => offers.push((front, incarnation, cursor)),
                None => {}
            }
        }
        if complete {
            for report in self.peers.reports().into_iter().filter(|report| !named.contains(&report.front)) {
                let ended = self.replicas.ended_cursors(report.front).into_iter().map(|p| p.0);
                offers.extend(
                    ended
                        .chain([report.incarnation])
                        .map(|incarnation| (report.front, incarnation, Cursor::default())),
                );
            }
        }
        // The digest of a heartbeat goes to several fronts, so a large answer is left to the front that is
        // asked for it.
        self.send_missing(
            now,
            from,
            &offers,
            if wants_answer { MAX_UNREQUESTED_MESSAGES } else { self.params.max_burst },
        );
        if wanted.is_empty() {
            self.caught_up = true;
        } else if wants_answer && self.may_request(now) {
            self.request(now, from, &wanted);
        }
    }

    /// The incarnation that a front is known to have.
    fn current_incarnation(&self, front: FrontId) -> Incarnation {
        if front == self.peers.own() {
            return self.peers.incarnation();
        }
        // A restored snapshot may know a later incarnation than any reported since the start.
        self.peers.incarnation_of(front).unwrap_or_default().max(self.replicas.incarnation(front))
    }

    /// Compares what a digest says about the ended incarnations of a front with the replicas here.
    fn compare_ended(
        &mut self,
        now: f64,
        front: FrontId,
        entry: &DigestEntry,
        wanted: &mut Vec<FrontId>,
        offers: &mut Vec<(FrontId, Incarnation, Cursor)>,
    ) {
        let (theirs, current) = (to_incarnation(entry.incarnation), self.current_incarnation(front));
        let mut keys = Vec::new();
        // An incarnation becomes obsolete only after it has ended.
        if to_incarnation(entry.obsolete_up_to) < theirs {
            keys.extend(self.replicas.discard_up_to(front, to_incarnation(entry.obsolete_up_to)));
        }
        if front != self.peers.own() && current == theirs && !self.is_expired(now, front) {
            keys.extend(self.replicas.advance_incarnation(now, front, theirs));
        }
        self.keys_changed(now, &keys);
        let has_ended = |ended: &&EndedCursor| to_incarnation(ended.incarnation) < theirs.max(current);
        // The incarnation that the sender takes for the current one may have ended as well.
        let also = entry
            .cursor
            .filter(|_| theirs < current)
            .map(|cursor| EndedCursor { incarnation: entry.incarnation, cursor });
        for ended in entry.ended.iter().filter(has_ended).chain(&also) {
            match self.replicas.ended_cursor(now, front, to_incarnation(ended.incarnation), ended.cursor.seq)
            {
                Some(held) if held.seq < ended.cursor.seq => wanted.push(front),
                Some(_) => offers.push((front, to_incarnation(ended.incarnation), ended.cursor)),
                None => {}
            }
        }
        let named = |incarnation: Incarnation| {
            incarnation <= to_incarnation(entry.obsolete_up_to)
                || entry.ended.iter().any(|p| to_incarnation(p.incarnation) == incarnation)
        };
        let unnamed = self
            .replicas
            .ended_cursors(front)
            .into_iter()
            .map(|p| p.0)
            .filter(|i| *i != theirs && !named(*i));
        offers.extend(unnamed.map(|i| (front, i, Cursor::default())));
    }

    /// Whether a request may be sent: only one is pending at a time, until the last message of its answer has
    /// arrived or is late. Guards against requests that each cause an answer whose end causes the next
    /// request: every additional one would go on for as long as something is missing.
    fn may_request(&self, now: f64) -> bool {
        self.pending_request
            .is_none_or(|(_, at)| now - at >= REQUEST_TIMEOUT * self.params.peers.heartbeat_interval)
    }

    /// Notes the highest number that another front has named for an incarnation.
    fn note_ahead(&mut self, front: FrontId, incarnation: Incarnation, seq: u64) {
        let ahead = self.ahead.entry(front).or_insert((incarnation, seq));
        if (incarnation, seq) > *ahead {
            *ahead = (incarnation, seq);
        }
    }

    /// Sends what the other front lacks, up to `max_burst` messages; it requests the rest when those have
    /// arrived.
    fn send_missing(
        &mut self,
        now: f64,
        to: FrontId,
        offers: &[(FrontId, Incarnation, Cursor)],
        max_burst: usize,
    ) {
        let mut messages: Vec<Vec<Delta>> = Vec::new();
        let mut bytes_left = 0;
        for (front, incarnation, cursor) in offers {
            let (mut incarnation, mut cursor) = (*incarnation, *cursor);
            loop {
                let budget = if bytes_left > 2 * MAX_DELTA_HEADER_BYTES {
                    bytes_left
                } else {
                    self.params.max_message_bytes
                };
                let Some(delta) =
                    self.replicas.delta(now, *front, incarnation, cursor, budget - MAX_DELTA_HEADER_BYTES)
                else {
                    break;
                };
                let size = MAX_DELTA_HEADER_BYTES
                    + delta
                        .items
                        .iter()
                        .map(|i| crate::facts::max_encoded_size(i.fact.as_ref()))
                        .sum::<usize>();
                let more = delta.to < delta.sender_seq;
                cursor = Cursor { seq: delta.to, floor: delta.floor };
                incarnation = to_incarnation(delta.incarnation);
                if size > bytes_left {
                    if messages.len() >= max_burst {
                        return self.send_deltas(to, messages);
                    }
                    messages.push(Vec::new());
                    bytes_left = self.params.max_message_bytes;
                }
                if let Some(message) = messages.last_mut() {
                    message.push(delta);
                }
                bytes_left = bytes_left.saturating_sub(size);
                if !more {
                    break;
                }
            }
        }
        self.send_deltas(to, messages);
    }

    fn send_deltas(&mut self, to: FrontId, messages: Vec<Vec<Delta>>) {
        let last = messages.len().saturating_sub(1);
        for (index, deltas) in messages.into_iter().enumerate() {
            let message = Message::Deltas { deltas, more_follow: index < last };
            self.outputs.push_back(Output::Send { to, message });
        }
    }

    /// Requests what is missing here of the `wanted` fronts, by a digest of them.
    fn request(&mut self, now: f64, to: FrontId, wanted: &[FrontId]) {
        self.pending_request = Some((to, now));
        let reports: Vec<PeerReport> =
            self.peers.reports().into_iter().filter(|report| wanted.contains(&report.front)).collect();
        let entries = reports.iter().map(|report| self.digest_entry(report)).collect();
        self.outputs.push_back(Output::Send {
            to,
            message: Message::Digest { entries, complete: false, wants_answer: false },
        });
    }

    /// Applies deltas, and requests what is still missing after the last message of an answer.
    pub(crate) fn receive_deltas(&mut self, now: f64, from: FrontId, deltas: Vec<Delta>, more_follow: bool) {
        let mut wanted = Vec::new();
        let mut deltas = VecDeque::from(deltas);
        while let Some(delta) = deltas.pop_front() {
            let front = FrontId(delta.front);
            if !self.peers.is_listed(front) {
                self.counts.unlisted += 1;
                continue;
            }
            match self.apply_delta(now, front, &delta) {
                Some(Applied::Changed { keys, more }) => {
                    self.keys_changed(now, &keys);
                    wanted.retain(|wanted| *wanted != front);
                    wanted.extend(more.then_some(front));
                    // Deltas that arrived out of order may be applicable now.
                    let follows = |p: &Delta| {
                        (p.front, p.incarnation) == (delta.front, delta.incarnation) && p.from <= delta.to
                    };
                    let out_of_order = std::mem::take(&mut self.out_of_order).into_iter();
                    let (next, rest): (VecDeque<Delta>, VecDeque<Delta>) = out_of_order.partition(follows);
                    self.out_of_order = rest;
                    deltas.extend(next);
                }
                Some(Applied::Gap) => {
                    self.counts.gaps += 1;
                    if self.out_of_order.len() >= self.params.max_burst {
                        self.out_of_order.pop_front();
                    }
                    self.out_of_order.push_back(delta);
                }
                Some(Applied::AlreadyKnown) => self.counts.already_known += 1,
                Some(Applied::OldIncarnation) => self.counts.old_incarnations += 1,
                Some(Applied::Invalid) => self.counts.invalid += 1,
                None => {}
            }
        }
        if more_follow {
            return;
        }
        if self.pending_request.is_some_and(|pending| pending.0 == from) {
            self.pending_request = None;
        }
        // The last message of a burst has arrived, but deltas that must precede some of it have not: they are
        // most likely lost.
        wanted.extend(self.out_of_order.iter().map(|p| FrontId(p.front)));
        if !wanted.is_empty() && self.may_request(now) {
            self.request(now, from, &wanted);
        }
    }

    /// Returns none if nothing of that front is wanted any more.
    fn apply_delta(&mut self, now: f64, front: FrontId, delta: &Delta) -> Option<Applied> {
        let incarnation = to_incarnation(delta.incarnation);
        if front != self.peers.own() && incarnation >= self.current_incarnation(front) {
            // A delta can be the first sign of an incarnation; its heartbeat arrives with the next digest.
            self.peers.record(now, PeerReport { front, incarnation, heartbeat: 0, left: false });
            if self.is_expired(now, front) {
                return None;
            }
            self.note_ahead(front, incarnation, delta.sender_seq);
        }
        self.counts.deltas += 1;
        Some(self.replicas.apply(now, delta))
    }
}
