//! The decision module behind a tap: every call that the front makes of it can be kept, so that a run is
//! replayed against the module alone and must give the same decisions.

use shalespindle_control::control::Control;
use shalespindle_control::interface::*;

/// One call of the module, with its time.
#[derive(Clone, Debug)]
pub enum RouterInput {
    PoolsListed {
        entries: Vec<PoolEntry>,
        whole: bool,
    },
    AttachArrived(NewAttach),
    AttachEstablished {
        ue: UeId,
        pool: PoolId,
        delay: f64,
    },
    TryEnded {
        ue: UeId,
        pool: PoolId,
        ended: EndReason,
        finished: bool,
        report: Report,
    },
    CallerLeft {
        ue: UeId,
    },
    PoolReport {
        pool: PoolId,
        probed: bool,
        report: Report,
    },
    Wake,
    /// A pull, and what it gave.
    DecisionPulled(Option<Decision>),
}

/// What takes calls and gives decisions: the decision module in every front in service; baselines and
/// planted faults in the lab.
pub trait Router: Send {
    fn handle(&mut self, now: f64, told: &RouterInput);
    fn next_decision(&mut self, now: f64) -> Option<Decision>;
}

impl Router for Control {
    fn handle(&mut self, now: f64, told: &RouterInput) {
        apply(self, now, told);
    }
    fn next_decision(&mut self, now: f64) -> Option<Decision> {
        Control::next_decision(self, now)
    }
}

/// The module of one front.
pub struct RecordedRouter {
    router: Box<dyn Router>,
    tape: Option<Vec<(f64, RouterInput)>>,
}

impl RecordedRouter {
    pub fn new(router: Box<dyn Router>) -> RecordedRouter {
        RecordedRouter { router, tape: None }
    }

    /// Keeps every call from now on; for tests and short captures, since nothing bounds it.
    pub fn record(&mut self) {
        self.tape.get_or_insert_default();
    }

    pub fn recording(&self) -> &[(f64, RouterInput)] {
        self.tape.as_deref().unwrap_or_default()
    }

    /// Makes the call and keeps it.
    pub fn handle(&mut self, now: f64, told: RouterInput) {
        self.router.handle(now, &told);
        if let Some(tape) = &mut self.tape {
            tape.push((now, told));
        }
    }

    pub fn next_decision(&mut self, now: f64) -> Option<Decision> {
        let decision = self.router.next_decision(now);
        if let Some(tape) = &mut self.tape {
            tape.push((now, RouterInput::DecisionPulled(decision)));
        }
        decision
    }
}

fn apply(control: &mut Control, now: f64, told: &RouterInput) {
    match told {
        RouterInput::PoolsListed { entries, whole } => control.pools_listed(now, entries, *whole),
        RouterInput::AttachArrived(new) => control.attach_arrived(now, *new),
        RouterInput::AttachEstablished { ue, pool, delay } => {
            control.attach_established(now, *ue, *pool, *delay)
        }
        RouterInput::TryEnded { ue, pool, ended, finished, report } => {
            control.try_ended(now, *ue, *pool, *ended, *finished, *report)
        }
        RouterInput::CallerLeft { ue } => control.client_left(now, *ue),
        RouterInput::PoolReport { pool, probed, report } => {
            control.pool_reported(now, *pool, *probed, *report)
        }
        RouterInput::Wake => control.wake(now),
        RouterInput::DecisionPulled(_) => {}
    }
}

/// Replays a tape against a fresh module made at `started`; the place and both decisions where they first
/// differ.
pub fn replay(
    seed: u64,
    deployment: Deployment,
    started: f64,
    tape: &[(f64, RouterInput)],
) -> Result<usize, (usize, Option<Decision>, Option<Decision>)> {
    let mut control = Control::new(seed, deployment, started);
    let mut decisions = 0;
    for (place, (now, told)) in tape.iter().enumerate() {
        if let RouterInput::DecisionPulled(expected) = told {
            let got = control.next_decision(*now);
            if got != *expected {
                return Err((place, *expected, got));
            }
            decisions += usize::from(got.is_some());
        }
        apply(&mut control, *now, told);
    }
    Ok(decisions)
}
