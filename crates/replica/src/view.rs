//! What the facts of several origins come to, by the rule of each class, the same on every front.

use crate::copies::Copies;
use crate::facts::{CallWord, Fact, Key, LevelWord, ServerWord};
use shalespindle_membership::{PeerWarning, ReportedState};
use shalespindle_peers::FrontId;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Meetings of copies that differ that are kept for operators.
const MOST_MEETINGS: usize = 1000;

/// What changed by what other fronts said.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// What others' lists say of a server, settled.
    Server(PeerWarning),
    /// The level that operators hold, and until when; none: it is let go.
    Level { level: Option<u8>, until: f64, by: String },
    /// A call of this front was released by another.
    CallOver { call: u64 },
    /// This front is to release a call of one that died, in both directions.
    Release { call: u64, word: Box<CallWord> },
}

/// Two or more origins that say different things of one start of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct Meeting {
    pub address: SocketAddr,
    pub incarnation: u64,
    pub words: Vec<(FrontId, ReportedState)>,
    pub settled: ReportedState,
    pub since: f64,
}

/// The settled view, and what of it has been told.
#[derive(Clone, Debug)]
pub struct View {
    warnings_for: f64,
    servers: BTreeMap<SocketAddr, PeerWarning>,
    /// Version of the word on the level that counts, and who said it.
    level: (u64, String),
    heeded: Option<LevelWord>,
    news: VecDeque<News>,
    open: BTreeMap<SocketAddr, Meeting>,
    meetings: u64,
}

impl View {
    /// A warning of another front counts for so many seconds from when it was written.
    pub fn new(warnings_for: f64) -> View {
        View {
            warnings_for,
            servers: BTreeMap::new(),
            level: (0, String::new()),
            heeded: None,
            news: VecDeque::new(),
            open: BTreeMap::new(),
            meetings: 0,
        }
    }

    /// A key's facts may have changed.
    pub fn changed(&mut self, now: f64, copies: &Copies, key: &Key) {
        match key {
            Key::Server(address) => self.server(now, copies, key, *address),
            Key::Level => self.level(now, copies),
            // Settled by the calls' own rule.
            Key::Call(_) | Key::Over(_) => {}
        }
    }

    /// The highest incarnation; of it the most careful word, and the youngest start.
    fn server(&mut self, now: f64, copies: &Copies, key: &Key, address: SocketAddr) {
        let words: Vec<(FrontId, f64, ServerWord)> = copies
            .of(*key)
            .filter_map(|(front, written, fact)| match fact {
                Fact::Server(word) => Some((front, written, *word)),
                _ => None,
            })
            .collect();
        let highest = words.iter().map(|w| w.2.incarnation).max();
        let of_it = || words.iter().filter(|w| Some(w.2.incarnation) == highest);
        self.met(now, address, of_it().map(|w| (w.0, w.2.told)).collect(), highest);
        // What this front itself said it knows already.
        let others = of_it().filter(|w| w.0 != copies.own());
        let started = others.clone().filter_map(|w| Some(w.1 - w.2.age?)).reduce(f64::max);
        // The same word of two fronts: the later one, since it counts for longer.
        let most = others.max_by(|a, b| a.2.told.cmp(&b.2.told).then(a.1.total_cmp(&b.1)));
        let Some(&(_, written, word)) = most else {
            self.servers.remove(&address);
            return;
        };
        let until = written + self.warnings_for;
        let (pool, incarnation, told) = (word.pool, word.incarnation, word.told);
        let news = PeerWarning { address, pool, incarnation, state: told, started, until };
        let before = self.servers.insert(address, news);
        let same = |b: PeerWarning| {
            let close = |a: f64, b: f64| (a - b).abs() < 1.0;
            let starts = match (b.started, started) {
                (Some(a), Some(b)) => close(a, b),
                (a, b) => a.is_none() && b.is_none(),
            };
            (b.incarnation, b.state) == (news.incarnation, news.state) && starts && close(b.until, until)
        };
        if until > now && !before.is_some_and(same) {
            self.news.push_back(News::Server(news));
        }
    }

    fn met(
        &mut self,
        now: f64,
        address: SocketAddr,
        words: Vec<(FrontId, ReportedState)>,
        highest: Option<u64>,
    ) {
        let settled = words.iter().map(|w| w.1).max();
        let differ = words.iter().any(|w| Some(w.1) != settled);
        let (Some(settled), Some(incarnation), true) = (settled, highest, differ) else {
            self.open.remove(&address);
            return;
        };
        match self.open.get_mut(&address).filter(|m| m.incarnation == incarnation) {
            Some(meeting) => (meeting.words, meeting.settled) = (words, settled),
            None => {
                self.meetings += 1;
                if self.open.len() < MOST_MEETINGS {
                    self.open.insert(address, Meeting { address, incarnation, words, settled, since: now });
                }
            }
        }
    }

    /// The word of the highest version, then of the higher name of who said it: the same whoever passes it on.
    fn level(&mut self, now: f64, copies: &Copies) {
        let Some((front, written, word)) = highest(copies) else { return };
        if word.rank() <= (self.level.0, self.level.1.as_str()) {
            return;
        }
        self.level = (word.version, word.by.clone());
        let until = written + word.lasts;
        if front != copies.own() {
            let level = word.level.filter(|_| until > now);
            self.news.push_back(News::Level { level, until, by: word.by.clone() });
            // Passed on as this front's own, so that it outlives the front that was asked.
            self.heeded = Some(LevelWord { lasts: (until - now).max(0.0), ..word.clone() });
        }
    }

    /// An operator's word that was taken up since this was last asked.
    pub fn take_heeded(&mut self) -> Option<LevelWord> {
        self.heeded.take()
    }

    /// The version that a new word on the level must have to count.
    pub fn next_version(&self) -> u64 {
        self.level.0 + 1
    }

    pub fn tell(&mut self, news: News) {
        self.news.push_back(news);
    }

    pub fn next_news(&mut self) -> Option<News> {
        self.news.pop_front()
    }

    /// Copies that differ now, and how that is settled.
    pub fn meetings(&self) -> impl Iterator<Item = &Meeting> {
        self.open.values()
    }

    /// How often copies that differ have met so far.
    pub fn met_so_far(&self) -> u64 {
        self.meetings
    }
}

fn highest(copies: &Copies) -> Option<(FrontId, f64, &LevelWord)> {
    let words = copies.of(Key::Level).filter_map(|(front, written, fact)| match fact {
        Fact::Level(word) => Some((front, written, word)),
        _ => None,
    });
    words.max_by_key(|w| w.2.rank())
}
