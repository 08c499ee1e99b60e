//! The interface to the decision module. Every call that the front makes of it can be recorded; replaying the
//! recording against the module alone must give the same decisions.

use shalespindle_control::control::Control;
use shalespindle_control::interface::*;

/// One call of the decision module.
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
        /// Seconds that the setup try took.
        delay: f64,
    },
    TryEnded {
        ue: UeId,
        pool: PoolId,
        ended: EndReason,
        /// The attach itself has ended, too; no other try follows.
        finished: bool,
        report: Report,
    },
    CallerLeft {
        ue: UeId,
    },
    PoolReport {
        pool: PoolId,
        /// A probe was answered with 2xx; false for reports in other messages.
        probed: bool,
        report: Report,
    },
    Wake,
    /// The front asked for the next decision and got this one.
    DecisionPulled(Option<Decision>),
}

/// Takes inputs and makes decisions: the decision module in every front in service; baselines and
/// deliberately faulty routers in the lab.
pub trait Router: Send {
    fn handle(&mut self, now: f64, input: &RouterInput);
    fn next_decision(&mut self, now: f64) -> Option<Decision>;
}

impl Router for Control {
    fn handle(&mut self, now: f64, input: &RouterInput) {
        apply(self, now, input);
    }
    fn next_decision(&mut self, now: f64) -> Option<Decision> {
        Control::next_decision(self, now)
    }
}

/// The router of one front, with an optional recording of all its calls.
pub struct RecordedRouter {
    router: Box<dyn Router>,
    recording: Option<Vec<(f64, RouterInput)>>,
}

impl RecordedRouter {
    pub fn new(router: Box<dyn Router>) -> RecordedRouter {
        RecordedRouter { router, recording: None }
    }

    /// Records every call from now on. The recording is not bounded: for tests and short captures only.
    pub fn record(&mut self) {
        self.recording.get_or_insert_default();
    }

    pub fn recording(&self) -> &[(f64, RouterInput)] {
        self.recording.as_deref().unwrap_or_default()
    }

    /// Makes the call and records it.
    pub fn handle(&mut self, now: f64, input: RouterInput) {
        self.router.handle(now, &input);
        if let Some(recording) = &mut self.recording {
            recording.push((now, input));
        }
    }

    pub fn next_decision(&mut self, now: f64) -> Option<Decision> {
        let decision = self.router.next_decision(now);
        if let Some(recording) = &mut self.recording {
            recording.push((now, RouterInput::DecisionPulled(decision)));
        }
        decision
    }
}

fn apply(control: &mut Control, now: f64, input: &RouterInput) {
    match input {
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

/// Replays a recording against a new decision module created at `started`. Returns the number of decisions,
/// or the position and both decisions (recorded, replayed) where they first differ.
pub fn replay(
    seed: u64,
    deployment: Deployment,
    started: f64,
    recording: &[(f64, RouterInput)],
) -> Result<usize, (usize, Option<Decision>, Option<Decision>)> {
    let mut control = Control::new(seed, deployment, started);
    let mut decisions = 0;
    for (position, (now, input)) in recording.iter().enumerate() {
        if let RouterInput::DecisionPulled(expected) = input {
            let replayed = control.next_decision(*now);
            if replayed != *expected {
                return Err((position, *expected, replayed));
            }
            decisions += usize::from(replayed.is_some());
        }
        apply(&mut control, *now, input);
    }
    Ok(decisions)
}
