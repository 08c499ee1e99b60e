//! The exchange between two fronts: digests of how far copies go, and the parts that are missing.

use crate::fleet::{Fleet, Output, MAX_DELTA_HEADER_BYTES};
use crate::message::{to_incarnation, Cursor, Delta, DigestEntry, EndedCursor, Message};
use crate::replicas::Applied;
use shalespindle_peers::{FrontId, Incarnation, PeerReport};
use std::collections::VecDeque;

/// Messages with parts that a beat's digest calls forth at most, unasked.
const MAX_UNREQUESTED_MESSAGES: usize = 1;
/// Beats after which somebody is asked again for what one that was asked has not told.
const REQUEST_TIMEOUT: f64 = 0.5;

impl Fleet {
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
                self.replicas.renew(now, self.peers.incarnation());
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
            for record in self.peers.reports().into_iter().filter(|w| !named.contains(&w.front)) {
                let ended = self.replicas.ended_cursors(record.front).into_iter().map(|p| p.0);
                offers.extend(
                    ended
                        .chain([record.incarnation])
                        .map(|incarnation| (record.front, incarnation, Cursor::default())),
                );
            }
        }
        // A beat's digest goes to several fronts: what is much comes from the one that is asked for it.
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

    /// The life that a front is known to have.
    fn current_incarnation(&self, front: FrontId) -> Incarnation {
        if front == self.peers.own() {
            return self.peers.incarnation();
        }
        // What was kept may know a later life than any that was heard of since the start.
        self.peers.incarnation_of(front).unwrap_or_default().max(self.replicas.incarnation(front))
    }

    /// What a digest says of a front's ended lives.
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
        // A life is settled only after it has ended.
        if to_incarnation(entry.obsolete_up_to) < theirs {
            keys.extend(self.replicas.discard_up_to(front, to_incarnation(entry.obsolete_up_to)));
        }
        if front != self.peers.own() && current == theirs && !self.is_expired(now, front) {
            keys.extend(self.replicas.advance_incarnation(now, front, theirs));
        }
        self.keys_changed(now, &keys);
        let over = |ended: &&EndedCursor| to_incarnation(ended.incarnation) < theirs.max(current);
        // What its sender takes for its life now may be over, too.
        let also = entry
            .cursor
            .filter(|_| theirs < current)
            .map(|cursor| EndedCursor { incarnation: entry.incarnation, cursor });
        for ended in entry.ended.iter().filter(over).chain(&also) {
            match self.replicas.ended_cursor(now, front, to_incarnation(ended.incarnation), ended.cursor.seq)
            {
                Some(held) if held.seq < ended.cursor.seq => wanted.push(front),
                Some(_) => offers.push((front, to_incarnation(ended.incarnation), ended.cursor)),
                None => {}
            }
        }
        let named = |of: Incarnation| {
            of <= to_incarnation(entry.obsolete_up_to)
                || entry.ended.iter().any(|p| to_incarnation(p.incarnation) == of)
        };
        let unnamed = self
            .replicas
            .ended_cursors(front)
            .into_iter()
            .map(|p| p.0)
            .filter(|of| *of != theirs && !named(*of));
        offers.extend(unnamed.map(|of| (front, of, Cursor::default())));
    }

    /// One ask is out at a time, until its last message has come or is late. Guards against asks that each call forth
    /// an answer whose end asks again: every one more would go on for as long as something is missing.
    fn may_request(&self, now: f64) -> bool {
        self.pending_request
            .is_none_or(|(_, at)| now - at >= REQUEST_TIMEOUT * self.params.peers.heartbeat_interval)
    }

    fn note_ahead(&mut self, front: FrontId, incarnation: Incarnation, seq: u64) {
        let ahead = self.ahead.entry(front).or_insert((incarnation, seq));
        if (incarnation, seq) > *ahead {
            *ahead = (incarnation, seq);
        }
    }

    /// Sends what the other lacks, as far as a burst holds it; the rest is asked for when that has come.
    fn send_missing(
        &mut self,
        now: f64,
        to: FrontId,
        offers: &[(FrontId, Incarnation, Cursor)],
        max_burst: usize,
    ) {
        let mut messages: Vec<Vec<Delta>> = Vec::new();
        let mut left = 0;
        for (front, of, cursor) in offers {
            let (mut of, mut cursor) = (*of, *cursor);
            loop {
                let room =
                    if left > 2 * MAX_DELTA_HEADER_BYTES { left } else { self.params.max_message_bytes };
                let Some(delta) = self.replicas.delta(now, *front, of, cursor, room - MAX_DELTA_HEADER_BYTES)
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
                of = to_incarnation(delta.incarnation);
                if size > left {
                    if messages.len() >= max_burst {
                        return self.send_deltas(to, messages);
                    }
                    messages.push(Vec::new());
                    left = self.params.max_message_bytes;
                }
                if let Some(message) = messages.last_mut() {
                    message.push(delta);
                }
                left = left.saturating_sub(size);
                if !more {
                    break;
                }
            }
        }
        self.send_deltas(to, messages);
    }

    fn send_deltas(&mut self, to: FrontId, messages: Vec<Vec<Delta>>) {
        let last = messages.len().saturating_sub(1);
        for (place, deltas) in messages.into_iter().enumerate() {
            let message = Message::Deltas { deltas, more_follow: place < last };
            self.out.push_back(Output::Send { to, message });
        }
    }

    fn request(&mut self, now: f64, to: FrontId, wanted: &[FrontId]) {
        self.pending_request = Some((to, now));
        let records: Vec<PeerReport> =
            self.peers.reports().into_iter().filter(|w| wanted.contains(&w.front)).collect();
        let entries = records.iter().map(|w| self.digest_entry(w)).collect();
        self.out.push_back(Output::Send {
            to,
            message: Message::Digest { entries, complete: false, wants_answer: false },
        });
    }

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
                    wanted.retain(|w| *w != front);
                    wanted.extend(more.then_some(front));
                    // What came before its turn may have it now.
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
        if self.pending_request.is_some_and(|pending_request| pending_request.0 == from) {
            self.pending_request = None;
        }
        // The last of a burst is here, and what has to come before some of it is not: lost, most likely.
        wanted.extend(self.out_of_order.iter().map(|p| FrontId(p.front)));
        if !wanted.is_empty() && self.may_request(now) {
            self.request(now, from, &wanted);
        }
    }

    /// None where nothing of its front is wanted any more.
    fn apply_delta(&mut self, now: f64, front: FrontId, delta: &Delta) -> Option<Applied> {
        let incarnation = to_incarnation(delta.incarnation);
        if front != self.peers.own() && incarnation >= self.current_incarnation(front) {
            // A part can be the first news of a life; its beat comes with the next digest.
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
