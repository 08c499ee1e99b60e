//! Fronts that tell each other over a network of the test's own: loss, doubling, reordering, cuts, crashes.

// Each test program uses a part of it.
#![allow(dead_code)]

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_peers::{FrontId, Life};
use shalespindle_replica::{CallWord, Fleet, FleetParams, Message, News, Out, ServerWord};
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub const EVERY: f64 = 0.2;

pub fn server(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], n))
}

/// A call of that number.
pub fn word(n: u64) -> CallWord {
    CallWord {
        epoch: 1,
        server: "127.0.0.1:5070".parse().unwrap(),
        leg_call_id: format!("leg-{n}"),
        leg_from: "<sip:a>;tag=1".into(),
        leg_to: "<sip:b>;tag=2".into(),
        leg_target: "sip:b@127.0.0.1:5070".into(),
        call_id: format!("c{n}"),
        local: "<sip:b>;tag=3".into(),
        remote: "<sip:a>;tag=4".into(),
        target: "sip:a@127.0.0.1:5080".into(),
        caller: Some("127.0.0.1:5080".parse().unwrap()),
    }
}

pub struct Net {
    params: FleetParams,
    pub fronts: Vec<Option<Fleet>>,
    rng: ChaCha8Rng,
    pub now: f64,
    /// Due time, to, from, message.
    pub under_way: Vec<(f64, usize, usize, Message)>,
    /// Parts of messages lost and doubled.
    pub loss: f64,
    /// Longest delay of a message beside a step of the clock, seconds; each has one of its own.
    pub late: f64,
    /// Pairs that do not hear: from, to.
    pub cut: Vec<(usize, usize)>,
    pub news: BTreeMap<usize, Vec<News>>,
    pub sent: usize,
}

impl Net {
    pub fn new(count: usize, seed: u64, params: FleetParams) -> Net {
        let mut net = Net {
            params,
            fronts: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0.0,
            under_way: Vec::new(),
            loss: 0.0,
            late: 0.0,
            cut: Vec::new(),
            news: BTreeMap::new(),
            sent: 0,
        };
        net.fronts = (0..count).map(|n| Some(net.front(n, count, 1))).collect();
        net
    }

    fn front(&self, own: usize, of: usize, life: u64) -> Fleet {
        let listed: Vec<FrontId> = (0..of as u64).map(FrontId).collect();
        let life = Life { number: life, nonce: own as u64 };
        Fleet::new(
            self.params.clone(),
            FrontId(own as u64),
            life,
            &listed,
            own as u64 + 10 * life.number,
            self.now,
        )
    }

    pub fn restart(&mut self, n: usize, life: u64) {
        self.fronts[n] = Some(self.front(n, self.fronts.len(), life));
    }

    pub fn pass(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += EVERY / 8.0;
            let (due, later) = std::mem::take(&mut self.under_way).into_iter().partition(|u| u.0 <= self.now);
            self.under_way = later;
            let due: Vec<(f64, usize, usize, Message)> = due;
            for (_, to, from, message) in due {
                if let Some(front) = &mut self.fronts[to] {
                    front.heard(self.now, FrontId(from as u64), message);
                }
            }
            for place in 0..self.fronts.len() {
                let Some(front) = &mut self.fronts[place] else { continue };
                front.turn(self.now);
                while let Some(news) = front.next_news() {
                    self.news.entry(place).or_default().push(news);
                }
                while let Some(out) = front.next_output() {
                    let Out::Send { to, message } = out else { continue };
                    let to = to.0 as usize;
                    self.sent += 1;
                    for _ in 0..2 {
                        let lost = self.rng.random::<f64>() < self.loss || self.cut.contains(&(place, to));
                        let late = self.late * self.rng.random::<f64>();
                        if !lost {
                            self.under_way.push((self.now + late, to, place, message.clone()));
                        }
                        // Doubled as often as lost.
                        if self.rng.random::<f64>() >= self.loss {
                            break;
                        }
                    }
                }
            }
        }
    }

    pub fn at(&mut self, n: usize) -> &mut Fleet {
        self.fronts[n].as_mut().unwrap()
    }

    /// Calls of these numbers stand at a front.
    pub fn stands(&mut self, front: usize, calls: std::ops::Range<u64>) {
        let now = self.now;
        calls.for_each(|n| self.at(front).tell_call(now, n, Some(word(n))));
    }

    /// All copies of all fronts that live are equal.
    pub fn is_equal(&self) -> bool {
        let living = || self.fronts.iter().flatten();
        (0..self.fronts.len() as u64).all(|of| {
            let mut copies = living().map(|f| f.copies().facts(FrontId(of)));
            let first = copies.next();
            copies.all(|c| Some(&c) == first.as_ref())
        })
    }

    pub fn tell(&mut self, front: usize, n: u16, word: ServerWord) {
        let now = self.now;
        self.fronts[front].as_mut().unwrap().tell_server(now, server(n), word);
    }

    pub fn forget(&mut self, front: usize, n: u16) {
        let now = self.now;
        self.fronts[front].as_mut().unwrap().forget_server(now, server(n));
    }

    pub fn owned(&self, front: usize) -> usize {
        self.fronts[front].as_ref().unwrap().copies().calls_of(FrontId(front as u64)).count()
    }

    /// What a front was to release for one that died.
    pub fn released(&self, front: usize) -> Vec<u64> {
        let news = self.news.get(&front).into_iter().flatten();
        news.filter_map(|n| if let News::Release { call, .. } = n { Some(*call) } else { None }).collect()
    }

    /// What a front was told of its own calls, in their order.
    pub fn over(&self, front: usize) -> Vec<u64> {
        let news = self.news.get(&front).into_iter().flatten();
        let over = news.filter_map(|n| if let News::CallOver { call } = n { Some(*call) } else { None });
        let mut over: Vec<u64> = over.collect();
        over.sort();
        over
    }

    pub fn all_released(&self) -> Vec<u64> {
        let mut all: Vec<u64> = (0..self.fronts.len()).flat_map(|front| self.released(front)).collect();
        all.sort();
        all
    }
}
