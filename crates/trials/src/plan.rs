//! What goes wrong in a trial, drawn from its seed: two or three kinds of fault at once, and the behaviour of servers and
//! callers beside them.

use crate::callers::CallerBehaviour;
use crate::front::Settings;
use crate::server::FaultProfile;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// When faults begin and end, seconds from the first request.
const FIRST_FAULT: f64 = 2.0;
const LAST_FAULT: f64 = 9.0;

/// One thing that goes wrong, at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// SIGTERM to a front, further signals meanwhile, SIGKILL at the earliest; then it starts again.
    Restart {
        front: usize,
        signals_between: u32,
    },
    /// SIGKILL alone.
    Kill {
        front: usize,
    },
    /// So many servers vanish for good; the list says so so much later.
    Vanish {
        first: usize,
        count: usize,
        listed_after: f64,
    },
    Hang {
        server: usize,
        seconds: f64,
    },
    Cut {
        server: usize,
        seconds: f64,
    },
    /// A server's process dies; a new one takes its address after a while.
    Die {
        server: usize,
        replaced_after: f64,
        listed_after: f64,
    },
    /// A server drains, ends its calls, leaves, and a new one takes its address.
    Replace {
        server: usize,
    },
    DiscoveryDown {
        seconds: f64,
    },
    DiscoverySilent,
    DiscoveryBreaks,
    /// New configurations in quick succession.
    Reloads {
        count: u32,
    },
    BadClients {
        count: u32,
    },
    /// Connections that say nothing, and a burst of requests.
    Crowd {
        connections: usize,
        rate: f64,
    },
}

/// A trial's whole script.
#[derive(Clone, Debug)]
pub struct Plan {
    pub settings: Settings,
    pub fronts: usize,
    pub servers: usize,
    pub fault_profile: FaultProfile,
    pub behaviour: CallerBehaviour,
    /// In order of time.
    pub faults: Vec<(f64, Fault)>,
}

/// Kinds of fault that are drawn from.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum FaultKind {
    Restarts,
    Kills,
    Vanishing,
    Hanging,
    Cuts,
    Deaths,
    Replacements,
    Discovery,
    Reloads,
    BadClients,
    Crowd,
    Answers,
    Connections,
    Callers,
    Writers,
}

const FAULT_KINDS: [FaultKind; 15] = [
    FaultKind::Restarts,
    FaultKind::Kills,
    FaultKind::Vanishing,
    FaultKind::Hanging,
    FaultKind::Cuts,
    FaultKind::Deaths,
    FaultKind::Replacements,
    FaultKind::Discovery,
    FaultKind::Reloads,
    FaultKind::BadClients,
    FaultKind::Crowd,
    FaultKind::Answers,
    FaultKind::Connections,
    FaultKind::Callers,
    FaultKind::Writers,
];

/// The plan of a seed.
pub fn plan(seed: u64) -> Plan {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let settings = Settings {
        deadline: [0.8, 1.5, 3.0][rng.random_range(0..3)],
        guard: [0.2, 0.5][rng.random_range(0..2)],
        dial_timeout: [0.3, 0.5][rng.random_range(0..2)],
        max_descriptors: [96, 128, 256][rng.random_range(0..3)],
        probes: rng.random_range(0..5) > 0,
    };
    let mut plan = Plan {
        settings,
        fronts: rng.random_range(2..=3),
        servers: rng.random_range(3..=4),
        fault_profile: FaultProfile {
            max_answer_delay: 0.04,
            sends_state: rng.random_range(0..3) > 0,
            max_call_duration: 6.0,
            ..FaultProfile::default()
        },
        behaviour: CallerBehaviour {
            rate: rng.random_range(25.0..60.0),
            cancel_percent: 4,
            retry_percent: 20,
            max_split_pause: 0.02,
            short_deadline_percent: 2,
            hang_up_percent: 30,
            hand_over_percent: 60,
            ..CallerBehaviour::default()
        },
        faults: Vec::new(),
    };
    let mut kinds = FAULT_KINDS;
    kinds.shuffle(&mut rng);
    let mut drawn: Vec<FaultKind> = kinds.into_iter().take(rng.random_range(2..=3)).collect();
    // Half of the trials have restarts, whatever else they have: those are what meets all the rest. One front is under
    // one signal at a time, so kills are left to the other half.
    if seed.is_multiple_of(2) {
        drawn.retain(|kind| ![FaultKind::Restarts, FaultKind::Kills].contains(kind));
        drawn.push(FaultKind::Restarts);
    } else if drawn.contains(&FaultKind::Restarts) {
        drawn.retain(|kind| *kind != FaultKind::Kills);
    }
    for kind in drawn {
        plan.add_kind(kind, &mut rng);
    }
    plan.faults.sort_by(|a, b| a.0.total_cmp(&b.0));
    plan
}

impl Plan {
    fn push_fault(&mut self, at: f64, fault: Fault) {
        self.faults.push((at, fault));
    }

    fn add_kind(&mut self, kind: FaultKind, rng: &mut ChaCha8Rng) {
        let at = rng.random_range(FIRST_FAULT..LAST_FAULT - 2.0);
        let server = rng.random_range(0..self.servers);
        match kind {
            FaultKind::Restarts => {
                let gap = rng.random_range(0.0..2.5);
                for front in 0..self.fronts {
                    let signals_between = rng.random_range(0..4);
                    self.push_fault(at + gap * front as f64, Fault::Restart { front, signals_between });
                }
            }
            FaultKind::Kills => {
                let front = rng.random_range(0..self.fronts);
                self.push_fault(at, Fault::Kill { front });
            }
            FaultKind::Vanishing => {
                let count = rng.random_range(1..self.servers);
                let listed_after = rng.random_range(1.0..11.0);
                self.push_fault(at, Fault::Vanish { first: server, count, listed_after });
                if rng.random_bool(0.6) {
                    let down = rng.random_range(0.0..1.0);
                    self.push_fault(
                        (at - down).max(0.0),
                        Fault::DiscoveryDown { seconds: rng.random_range(4.0..11.0) },
                    );
                }
            }
            FaultKind::Hanging => {
                let seconds = rng.random_range(1.0..12.0);
                self.push_fault(at, Fault::Hang { server, seconds });
            }
            FaultKind::Cuts => {
                let seconds = rng.random_range(0.5..9.0);
                self.push_fault(at, Fault::Cut { server, seconds });
            }
            FaultKind::Deaths => {
                let replaced_after = rng.random_range(0.3..3.0);
                let listed_after = rng.random_range(0.5..9.0);
                self.push_fault(at, Fault::Die { server, replaced_after, listed_after });
            }
            FaultKind::Replacements => {
                let gap = rng.random_range(0.2..2.0);
                for server in 0..self.servers {
                    self.push_fault(at + gap * server as f64, Fault::Replace { server });
                }
            }
            FaultKind::Discovery => {
                let fault = match rng.random_range(0..3) {
                    0 => Fault::DiscoveryDown { seconds: rng.random_range(1.0..9.0) },
                    1 => Fault::DiscoverySilent,
                    _ => Fault::DiscoveryBreaks,
                };
                self.push_fault(at, fault);
                self.push_fault(at + rng.random_range(0.0..4.0), Fault::Replace { server });
            }
            FaultKind::Reloads => {
                let count = rng.random_range(2..6);
                self.push_fault(at, Fault::Reloads { count });
                self.push_fault(at + rng.random_range(0.0..2.0), Fault::Replace { server });
            }
            FaultKind::BadClients => {
                let count = rng.random_range(5..20);
                self.push_fault(at, Fault::BadClients { count });
            }
            FaultKind::Crowd => {
                let connections = rng.random_range(50..200);
                self.push_fault(at, Fault::Crowd { connections, rate: 4.0 * self.behaviour.rate });
            }
            FaultKind::Answers => {
                (
                    self.fault_profile.full_percent,
                    self.fault_profile.cut_percent,
                    self.fault_profile.lost_percent,
                ) = (4, 4, 4);
                (self.fault_profile.malformed_percent, self.fault_profile.duplicate_percent) = (3, 4);
                self.fault_profile.max_answer_delay = rng.random_range(0.04..1.2);
            }
            FaultKind::Connections => {
                self.fault_profile.reset_percent = 4;
                self.fault_profile.max_first_message_delay = rng.random_range(0.0..1.0);
                self.fault_profile.idle_timeout = rng.random_range(0.0..1.5);
            }
            FaultKind::Callers => {
                (
                    self.behaviour.cancel_percent,
                    self.behaviour.retry_percent,
                    self.behaviour.short_deadline_percent,
                ) = (25, 90, 15);
            }
            FaultKind::Writers => {
                self.behaviour.split_percent = 40;
                self.behaviour.max_split_pause = rng.random_range(0.01..0.5);
            }
        }
    }
}
