//! Expands a scenario's faults into one list of timed actions, drawn from the seed; `sim` and `play` execute
//! the same list.

use crate::scenario::{Fault, FaultKind, Scenario};
use rand::seq::SliceRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use shalespindle_standin::feed::Listed;
use shalespindle_standin::nameserver::Script;

/// An action on the fleet, its callers or its sources of servers.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    StopServer(usize),
    /// The server starts again, cold.
    StartServer(usize),
    /// The pool list's state of a server changes; fronts receive it after the list's delay.
    /// `restarted`: the state is that of a new processor.
    List {
        server: usize,
        state: Listed,
        restarted: bool,
    },
    /// The server's work takes so many times as long.
    Slow(usize, f64),
    /// The server accepts everything and answers nothing, probes included.
    Silent(usize, bool),
    /// The server accepts set-ups and answers none; it does answer probes.
    Hung(usize, bool),
    /// That share of the server's answers is lost.
    AnswersLost(usize, f64),
    /// Delay of the pool list, seconds.
    ListDelay(f64),
    KillFront(usize),
    StartFront(usize),
    /// The front's process is stopped (SIGSTOP).
    PauseFront(usize),
    /// A stopped front continues (SIGCONT).
    ResumeFront(usize),
    /// The callers' rate is multiplied by the factor; none: the usual rate.
    Burst(Option<f64>),
    /// Callers give up after that share of their patience; none: the whole patience.
    GiveUp(Option<f64>),
    /// That tenant's callers redial at once, many times; none: no tenant's do.
    Abuse(Option<usize>),
    /// A server's record is added to the zone, or withdrawn.
    Publish(usize, bool),
    NameServer(usize, Script),
    /// The pool list sends nothing.
    FeedSilent(bool),
}

/// Seconds between the drain of a server and the end of its processor.
const DRAIN_TIME: f64 = 3.0;
/// Seconds that the successor of an ended server takes to start.
const START_TIME: f64 = 1.0;

/// All actions, in order of time.
pub fn plan(scenario: &Scenario, seed: u64) -> Vec<(f64, Action)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut actions = Vec::new();
    for fault in &scenario.faults {
        let mut fault = fault.clone();
        loop {
            expand(scenario, &fault, &mut rng, &mut actions);
            let Some(period) = fault.period else { break };
            fault.from += period;
            if fault.from >= scenario.seconds {
                break;
            }
        }
    }
    if let Some(dns) = &scenario.dns {
        // A change in the pool list is also made in the zone, with the zone's own delay.
        let to_zone = |(at, action): &(f64, Action)| match action {
            Action::List { server, state, .. } => {
                Some((at + dns.delay, Action::Publish(*server, *state == Listed::Ready)))
            }
            _ => None,
        };
        let published: Vec<(f64, Action)> = actions.iter().filter_map(to_zone).collect();
        actions.extend(published);
        if dns.alone {
            actions.push((0.0, Action::FeedSilent(true)));
        }
    }
    actions.sort_by(|a, b| a.0.total_cmp(&b.0));
    actions
}

/// Draws the indices of that share of `count`, rounded up, at least one.
fn draw_some(count: usize, share: f64, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let mut all: Vec<usize> = (0..count).collect();
    all.shuffle(rng);
    all.truncate(((count as f64 * share).ceil() as usize).clamp(1, count));
    all
}

/// Adds the actions of one occurrence of a fault.
fn expand(scenario: &Scenario, fault: &Fault, rng: &mut ChaCha8Rng, out: &mut Vec<(f64, Action)>) {
    let (from, to) = (fault.from, fault.from + fault.duration);
    let fleet = &scenario.fleet;
    let list_gone = |server, at, out: &mut Vec<(f64, Action)>| {
        out.push((at, Action::List { server, state: Listed::Gone, restarted: false }));
    };
    let restart = |server, at, out: &mut Vec<(f64, Action)>| {
        out.push((at, Action::StartServer(server)));
        out.push((at, Action::List { server, state: Listed::Ready, restarted: true }));
    };
    match fault.kind {
        FaultKind::Crash => {
            for server in draw_some(fleet.servers, fault.share, rng) {
                out.push((from, Action::StopServer(server)));
                list_gone(server, from, out);
                restart(server, to, out);
            }
        }
        FaultKind::Vanish => {
            for server in draw_some(fleet.servers, fault.share, rng) {
                out.push((from, Action::Silent(server, true)));
                out.push((to, Action::StopServer(server)));
                restart(server, to + 0.01, out);
            }
        }
        FaultKind::Hang => {
            for server in draw_some(fleet.servers, fault.share, rng) {
                out.push((from, Action::Hung(server, true)));
                out.push((to, Action::Hung(server, false)));
            }
        }
        FaultKind::Slow => {
            for server in draw_some(fleet.servers, fault.share, rng) {
                out.push((from, Action::Slow(server, fault.size)));
                out.push((to, Action::Slow(server, 1.0)));
            }
        }
        FaultKind::AnswerLost => {
            for server in draw_some(fleet.servers, fault.share, rng) {
                out.push((from, Action::AnswersLost(server, fault.size)));
                out.push((to, Action::AnswersLost(server, 0.0)));
            }
        }
        FaultKind::Deploy => {
            // One after the other: each drains, stops, and its successor starts cold.
            let servers = draw_some(fleet.servers, fault.share, rng);
            let step = fault.duration / servers.len() as f64;
            for (index, server) in servers.into_iter().enumerate() {
                let at = from + step * index as f64;
                out.push((at, Action::List { server, state: Listed::Draining, restarted: false }));
                out.push((at + DRAIN_TIME, Action::StopServer(server)));
                list_gone(server, at + DRAIN_TIME, out);
                restart(server, at + DRAIN_TIME + START_TIME, out);
            }
        }
        FaultKind::DiscoveryStale => {
            out.push((from, Action::ListDelay(fleet.list_delay + fault.size)));
            out.push((to, Action::ListDelay(fleet.list_delay)));
        }
        FaultKind::BalancerCrash => {
            for front in draw_some(fleet.fronts, fault.share, rng) {
                out.push((from, Action::KillFront(front)));
                out.push((to, Action::StartFront(front)));
            }
        }
        FaultKind::BalancerStall => {
            for front in draw_some(fleet.fronts, fault.share, rng) {
                out.push((from, Action::PauseFront(front)));
                out.push((to, Action::ResumeFront(front)));
            }
        }
        FaultKind::NameServer => {
            let count = scenario.dns.as_ref().map_or(0, |d| d.name_servers);
            for index in draw_some(count.max(1), fault.share, rng).into_iter().filter(|p| *p < count) {
                out.push((from, Action::NameServer(index, fault.script)));
                out.push((to, Action::NameServer(index, Script::Plain)));
            }
        }
        FaultKind::FeedSilent => {
            out.push((from, Action::FeedSilent(true)));
            out.push((to, Action::FeedSilent(false)));
        }
        FaultKind::SiteLost => {
            for server in scenario.site_servers(fault.size as usize) {
                out.push((from, Action::StopServer(server)));
                restart(server, to, out);
            }
        }
        FaultKind::Burst => {
            out.push((from, Action::Burst(Some(fault.size))));
            out.push((to, Action::Burst(None)));
        }
        FaultKind::GiveUp => {
            out.push((from, Action::GiveUp(Some(fault.size))));
            out.push((to, Action::GiveUp(None)));
        }
        FaultKind::RetryAbuse => {
            let tenant = draw_some(scenario.callers.tenants.len(), 0.0, rng)[0];
            out.push((from, Action::Abuse(Some(tenant))));
            out.push((to, Action::Abuse(None)));
        }
    }
}
