//! The decision module behind a tap: every call that the front makes of it can be kept, so that a run is
//! replayed against the module alone and must give the same decisions.

use shalespindle_control::control::Control;
use shalespindle_control::interface::*;

/// One call of the module, with its time.
#[derive(Clone, Debug)]
pub enum Told {
    PoolsListed {
        entries: Vec<PoolEntry>,
        whole: bool,
    },
    Arrived(NewAttach),
    Stands {
        ue: UeId,
        pool: PoolId,
        delay: f64,
    },
    Ended {
        ue: UeId,
        pool: PoolId,
        ended: EndReason,
        finished: bool,
        report: Report,
    },
    Left {
        ue: UeId,
    },
    Heard {
        pool: PoolId,
        probed: bool,
        report: Report,
    },
    Wake,
    /// A pull, and what it gave.
    Pulled(Option<Decision>),
}

/// What takes calls and gives decisions: the decision module in every front in service; baselines and
/// planted faults in the lab.
pub trait Router: Send {
    fn tell(&mut self, now: f64, told: &Told);
    fn next_decision(&mut self, now: f64) -> Option<Decision>;
}

impl Router for Control {
    fn tell(&mut self, now: f64, told: &Told) {
        apply(self, now, told);
    }
    fn next_decision(&mut self, now: f64) -> Option<Decision> {
        Control::next_decision(self, now)
    }
}

/// The module of one front.
pub struct Tapped {
    router: Box<dyn Router>,
    tape: Option<Vec<(f64, Told)>>,
}

impl Tapped {
    pub fn new(router: Box<dyn Router>) -> Tapped {
        Tapped { router, tape: None }
    }

    /// Keeps every call from now on; for tests and short captures, since nothing bounds it.
    pub fn record(&mut self) {
        self.tape.get_or_insert_default();
    }

    pub fn tape(&self) -> &[(f64, Told)] {
        self.tape.as_deref().unwrap_or_default()
    }

    /// Makes the call and keeps it.
    pub fn tell(&mut self, now: f64, told: Told) {
        self.router.tell(now, &told);
        if let Some(tape) = &mut self.tape {
            tape.push((now, told));
        }
    }

    pub fn next_decision(&mut self, now: f64) -> Option<Decision> {
        let decision = self.router.next_decision(now);
        if let Some(tape) = &mut self.tape {
            tape.push((now, Told::Pulled(decision)));
        }
        decision
    }
}

fn apply(control: &mut Control, now: f64, told: &Told) {
    match told {
        Told::PoolsListed { entries, whole } => control.pools_listed(now, entries, *whole),
        Told::Arrived(new) => control.attach_arrived(now, *new),
        Told::Stands { ue, pool, delay } => control.attach_established(now, *ue, *pool, *delay),
        Told::Ended { ue, pool, ended, finished, report } => {
            control.try_ended(now, *ue, *pool, *ended, *finished, *report)
        }
        Told::Left { ue } => control.client_left(now, *ue),
        Told::Heard { pool, probed, report } => control.pool_reported(now, *pool, *probed, *report),
        Told::Wake => control.wake(now),
        Told::Pulled(_) => {}
    }
}

/// Replays a tape against a fresh module made at `started`; the place and both decisions where they first
/// differ.
pub fn replay(
    seed: u64,
    deployment: Deployment,
    started: f64,
    tape: &[(f64, Told)],
) -> Result<usize, (usize, Option<Decision>, Option<Decision>)> {
    let mut control = Control::new(seed, deployment, started);
    let mut decisions = 0;
    for (place, (now, told)) in tape.iter().enumerate() {
        if let Told::Pulled(expected) = told {
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
