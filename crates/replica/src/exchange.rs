//! The exchange between two fronts: digests of how far copies go, and the parts that are missing.

use crate::copies::Applied;
use crate::fleet::{Fleet, Out, PART_ROOM};
use crate::message::{life, Known, Message, Part, PastReach, Reach};
use shalespindle_peers::{FrontId, Life, Word};
use std::collections::VecDeque;

/// Messages with parts that a beat's digest calls forth at most, unasked.
const UNASKED: usize = 1;
/// Beats after which somebody is asked again for what one that was asked has not told.
const ASKED_FOR: f64 = 0.5;

impl Fleet {
    pub(crate) fn digest(&mut self, now: f64, from: FrontId, known: &[Known], whole: bool, answer: bool) {
        self.counts.digests += 1;
        let (mut wants, mut gives) = (Vec::new(), Vec::new());
        let mut named = Vec::new();
        for k in known {
            let (front, life) = (FrontId(k.front), life(k.life));
            let own_life = self.peers.life();
            self.peers.hear(now, Word { front, life, beat: k.beat, left: k.left });
            if self.peers.life() != own_life {
                self.copies.renew(now, self.peers.life());
            }
            if !self.peers.is_listed(front) {
                continue;
            }
            named.push(front);
            self.digest_past(now, front, k, &mut wants, &mut gives);
            let Some(reach) = k.reach else { continue };
            let current = self.current(front);
            if life < current {
                gives.push((front, current, Reach::default()));
                continue;
            }
            if front == self.peers.own() {
                self.told_at.get_or_insert(now);
                gives.push((front, life, reach));
                continue;
            }
            self.seen_ahead(front, life, reach.seq);
            match self.copies.reach(front, life) {
                Some(held) if held.seq < reach.seq => wants.push(front),
                Some(_) => gives.push((front, life, reach)),
                None => {}
            }
        }
        if whole {
            for word in self.peers.words().into_iter().filter(|w| !named.contains(&w.front)) {
                let pasts = self.copies.pasts(word.front).into_iter().map(|p| p.0);
                gives.extend(pasts.chain([word.life]).map(|life| (word.front, life, Reach::default())));
            }
        }
        // A beat's digest goes to several fronts: what is much comes from the one that is asked for it.
        self.give(now, from, &gives, if answer { UNASKED } else { self.params.burst });
        if wants.is_empty() {
            self.caught_up = true;
        } else if answer && self.may_ask(now) {
            self.ask(now, from, &wants);
        }
    }

    /// The life that a front is known to have.
    fn current(&self, front: FrontId) -> Life {
        if front == self.peers.own() {
            return self.peers.life();
        }
        // What was kept may know a later life than any that was heard of since the start.
        self.peers.life_of(front).unwrap_or_default().max(self.copies.life(front))
    }

    /// What a digest says of a front's ended lives.
    fn digest_past(
        &mut self,
        now: f64,
        front: FrontId,
        k: &Known,
        wants: &mut Vec<FrontId>,
        gives: &mut Vec<(FrontId, Life, Reach)>,
    ) {
        let (theirs, current) = (life(k.life), self.current(front));
        let mut keys = Vec::new();
        // A life is settled only after it has ended.
        if life(k.settled) < theirs {
            keys.extend(self.copies.settle(front, life(k.settled)));
        }
        if front != self.peers.own() && current == theirs && !self.is_over(now, front) {
            keys.extend(self.copies.lives(now, front, theirs));
        }
        self.look(now, &keys);
        let over = |past: &&PastReach| life(past.life) < theirs.max(current);
        // What its sender takes for its life now may be over, too.
        let also = k.reach.filter(|_| theirs < current).map(|reach| PastReach { life: k.life, reach });
        for past in k.past.iter().filter(over).chain(&also) {
            match self.copies.past_reach(now, front, life(past.life), past.reach.seq) {
                Some(held) if held.seq < past.reach.seq => wants.push(front),
                Some(_) => gives.push((front, life(past.life), past.reach)),
                None => {}
            }
        }
        let named = |of: Life| of <= life(k.settled) || k.past.iter().any(|p| life(p.life) == of);
        let unnamed =
            self.copies.pasts(front).into_iter().map(|p| p.0).filter(|of| *of != theirs && !named(*of));
        gives.extend(unnamed.map(|of| (front, of, Reach::default())));
    }

    /// One ask is out at a time, until its last message has come or is late. Guards against asks that each call forth
    /// an answer whose end asks again: every one more would go on for as long as something is missing.
    fn may_ask(&self, now: f64) -> bool {
        self.asked.is_none_or(|(_, at)| now - at >= ASKED_FOR * self.params.peers.every)
    }

    fn seen_ahead(&mut self, front: FrontId, life: Life, seq: u64) {
        let ahead = self.ahead.entry(front).or_insert((life, seq));
        if (life, seq) > *ahead {
            *ahead = (life, seq);
        }
    }

    /// Sends what the other lacks, as far as a burst holds it; the rest is asked for when that has come.
    fn give(&mut self, now: f64, to: FrontId, gives: &[(FrontId, Life, Reach)], burst: usize) {
        let mut messages: Vec<Vec<Part>> = Vec::new();
        let mut left = 0;
        for (front, of, reach) in gives {
            let (mut of, mut reach) = (*of, *reach);
            loop {
                let room = if left > 2 * PART_ROOM { left } else { self.params.bytes };
                let Some(part) = self.copies.part(now, *front, of, reach, room - PART_ROOM) else { break };
                let size =
                    PART_ROOM + part.items.iter().map(|i| crate::facts::room(i.fact.as_ref())).sum::<usize>();
                let more = part.to < part.last;
                reach = Reach { seq: part.to, floor: part.floor };
                of = life(part.life);
                if size > left {
                    if messages.len() >= burst {
                        return self.send_parts(to, messages);
                    }
                    messages.push(Vec::new());
                    left = self.params.bytes;
                }
                if let Some(message) = messages.last_mut() {
                    message.push(part);
                }
                left = left.saturating_sub(size);
                if !more {
                    break;
                }
            }
        }
        self.send_parts(to, messages);
    }

    fn send_parts(&mut self, to: FrontId, messages: Vec<Vec<Part>>) {
        let last = messages.len().saturating_sub(1);
        for (place, parts) in messages.into_iter().enumerate() {
            let message = Message::Parts { parts, follow: place < last };
            self.out.push_back(Out::Send { to, message });
        }
    }

    fn ask(&mut self, now: f64, to: FrontId, wants: &[FrontId]) {
        self.asked = Some((to, now));
        let words: Vec<Word> = self.peers.words().into_iter().filter(|w| wants.contains(&w.front)).collect();
        let known = words.iter().map(|w| self.known(w)).collect();
        self.out.push_back(Out::Send { to, message: Message::Digest { known, whole: false, answer: false } });
    }

    pub(crate) fn parts(&mut self, now: f64, from: FrontId, parts: Vec<Part>, follow: bool) {
        let mut wants = Vec::new();
        let mut parts = VecDeque::from(parts);
        while let Some(part) = parts.pop_front() {
            let front = FrontId(part.front);
            if !self.peers.is_listed(front) {
                self.counts.strangers += 1;
                continue;
            }
            match self.part(now, front, &part) {
                Some(Applied::News { keys, more }) => {
                    self.look(now, &keys);
                    wants.retain(|w| *w != front);
                    wants.extend(more.then_some(front));
                    // What came before its turn may have it now.
                    let follows =
                        |p: &Part| (p.front, p.life) == (part.front, part.life) && p.from <= part.to;
                    let early = std::mem::take(&mut self.early).into_iter();
                    let (next, rest): (VecDeque<Part>, VecDeque<Part>) = early.partition(follows);
                    self.early = rest;
                    parts.extend(next);
                }
                Some(Applied::Gap) => {
                    self.counts.gaps += 1;
                    if self.early.len() >= self.params.burst {
                        self.early.pop_front();
                    }
                    self.early.push_back(part);
                }
                Some(Applied::Known) => self.counts.known += 1,
                Some(Applied::OldLife) => self.counts.old_lives += 1,
                Some(Applied::Bad) => self.counts.bad += 1,
                None => {}
            }
        }
        if follow {
            return;
        }
        if self.asked.is_some_and(|asked| asked.0 == from) {
            self.asked = None;
        }
        // The last of a burst is here, and what has to come before some of it is not: lost, most likely.
        wants.extend(self.early.iter().map(|p| FrontId(p.front)));
        if !wants.is_empty() && self.may_ask(now) {
            self.ask(now, from, &wants);
        }
    }

    /// None where nothing of its front is wanted any more.
    fn part(&mut self, now: f64, front: FrontId, part: &Part) -> Option<Applied> {
        let life = life(part.life);
        if front != self.peers.own() && life >= self.current(front) {
            // A part can be the first news of a life; its beat comes with the next digest.
            self.peers.hear(now, Word { front, life, beat: 0, left: false });
            if self.is_over(now, front) {
                return None;
            }
            self.seen_ahead(front, life, part.last);
        }
        self.counts.parts += 1;
        Some(self.copies.apply(now, part))
    }
}
