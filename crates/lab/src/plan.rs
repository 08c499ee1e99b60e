//! A scenario's troubles as one list of timed actions, drawn from the seed; `sim` and `play` carry out the
//! same list.

use crate::scenario::{Scenario, Trouble, TroubleKind};
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use shalespindle_standin::feed::Listed;
use shalespindle_standin::nameserver::Script;

/// Something the lab does to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    ServerStops(usize),
    /// Starts anew, cold.
    ServerStarts(usize),
    /// The list's own knowledge changes; fronts are told later.
    List {
        server: usize,
        state: Listed,
        anew: bool,
    },
    Slow(usize, f64),
    Silent(usize, bool),
    Hung(usize, bool),
    AnswersLost(usize, f64),
    ListDelay(f64),
    FrontKilled(usize),
    FrontStarts(usize),
    FrontStops(usize),
    FrontGoesOn(usize),
    Burst(Option<f64>),
    GiveUp(Option<f64>),
    Abuse(Option<usize>),
    /// A server's record comes into the zone, or goes.
    Published(usize, bool),
    NameServer(usize, Script),
    FeedSilent(bool),
}

/// Seconds that a drained server has before its processor ends, and that its successor takes to start.
const DRAINS_FOR: f64 = 3.0;
const STARTS_AFTER: f64 = 1.0;

/// All actions, in order of time.
pub fn plan(scenario: &Scenario, seed: u64) -> Vec<(f64, Action)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut actions = Vec::new();
    for trouble in &scenario.troubles {
        let mut trouble = trouble.clone();
        loop {
            one(scenario, &trouble, &mut rng, &mut actions);
            let Some(every) = trouble.every else { break };
            trouble.from += every;
            if trouble.from >= scenario.seconds {
                break;
            }
        }
    }
    if let Some(dns) = &scenario.dns {
        // Whoever tells the list of a server's end tells the zone, which has its own delay.
        let told = |(at, action): &(f64, Action)| match action {
            Action::List { server, state, .. } => {
                Some((at + dns.delay, Action::Published(*server, *state == Listed::Ready)))
            }
            _ => None,
        };
        let published: Vec<(f64, Action)> = actions.iter().filter_map(told).collect();
        actions.extend(published);
        if dns.alone {
            actions.push((0.0, Action::FeedSilent(true)));
        }
    }
    actions.sort_by(|a, b| a.0.total_cmp(&b.0));
    actions
}

/// Some of `count`, as many as `part` says, at least one.
fn some(count: usize, part: f64, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let mut all: Vec<usize> = (0..count).collect();
    all.shuffle(rng);
    all.truncate(((count as f64 * part).ceil() as usize).clamp(1, count));
    all
}

fn one(scenario: &Scenario, trouble: &Trouble, rng: &mut ChaCha8Rng, out: &mut Vec<(f64, Action)>) {
    let (from, to) = (trouble.from, trouble.from + trouble.lasts);
    let fleet = &scenario.fleet;
    let gone = |server, at, out: &mut Vec<(f64, Action)>| {
        out.push((at, Action::List { server, state: Listed::Gone, anew: false }));
    };
    let back = |server, at, out: &mut Vec<(f64, Action)>| {
        out.push((at, Action::ServerStarts(server)));
        out.push((at, Action::List { server, state: Listed::Ready, anew: true }));
    };
    match trouble.kind {
        TroubleKind::Crash => {
            for server in some(fleet.servers, trouble.part, rng) {
                out.push((from, Action::ServerStops(server)));
                gone(server, from, out);
                back(server, to, out);
            }
        }
        TroubleKind::Vanish => {
            for server in some(fleet.servers, trouble.part, rng) {
                out.push((from, Action::Silent(server, true)));
                out.push((to, Action::ServerStops(server)));
                back(server, to + 0.01, out);
            }
        }
        TroubleKind::Hang => {
            for server in some(fleet.servers, trouble.part, rng) {
                out.push((from, Action::Hung(server, true)));
                out.push((to, Action::Hung(server, false)));
            }
        }
        TroubleKind::Slow => {
            for server in some(fleet.servers, trouble.part, rng) {
                out.push((from, Action::Slow(server, trouble.size)));
                out.push((to, Action::Slow(server, 1.0)));
            }
        }
        TroubleKind::AnswerLost => {
            for server in some(fleet.servers, trouble.part, rng) {
                out.push((from, Action::AnswersLost(server, trouble.size)));
                out.push((to, Action::AnswersLost(server, 0.0)));
            }
        }
        TroubleKind::Deploy => {
            // A few at a time: each drains, stops, and its successor starts cold.
            let servers = some(fleet.servers, trouble.part, rng);
            let step = trouble.lasts / servers.len() as f64;
            for (place, server) in servers.into_iter().enumerate() {
                let at = from + step * place as f64;
                out.push((at, Action::List { server, state: Listed::Draining, anew: false }));
                out.push((at + DRAINS_FOR, Action::ServerStops(server)));
                gone(server, at + DRAINS_FOR, out);
                back(server, at + DRAINS_FOR + STARTS_AFTER, out);
            }
        }
        TroubleKind::DiscoveryStale => {
            out.push((from, Action::ListDelay(fleet.list_delay + trouble.size)));
            out.push((to, Action::ListDelay(fleet.list_delay)));
        }
        TroubleKind::BalancerCrash => {
            for front in some(fleet.fronts, trouble.part, rng) {
                out.push((from, Action::FrontKilled(front)));
                out.push((to, Action::FrontStarts(front)));
            }
        }
        TroubleKind::BalancerStall => {
            for front in some(fleet.fronts, trouble.part, rng) {
                out.push((from, Action::FrontStops(front)));
                out.push((to, Action::FrontGoesOn(front)));
            }
        }
        TroubleKind::NameServer => {
            let count = scenario.dns.as_ref().map_or(0, |d| d.name_servers);
            for place in some(count.max(1), trouble.part, rng).into_iter().filter(|p| *p < count) {
                out.push((from, Action::NameServer(place, trouble.script)));
                out.push((to, Action::NameServer(place, Script::Plain)));
            }
        }
        TroubleKind::FeedSilent => {
            out.push((from, Action::FeedSilent(true)));
            out.push((to, Action::FeedSilent(false)));
        }
        TroubleKind::SiteLost => {
            for server in scenario.site_servers(trouble.size as usize) {
                out.push((from, Action::ServerStops(server)));
                back(server, to, out);
            }
        }
        TroubleKind::Burst => {
            out.push((from, Action::Burst(Some(trouble.size))));
            out.push((to, Action::Burst(None)));
        }
        TroubleKind::GiveUp => {
            out.push((from, Action::GiveUp(Some(trouble.size))));
            out.push((to, Action::GiveUp(None)));
        }
        TroubleKind::RetryAbuse => {
            let tenant = some(scenario.callers.tenants.len(), 0.0, rng)[0];
            out.push((from, Action::Abuse(Some(tenant))));
            out.push((to, Action::Abuse(None)));
        }
    }
}
