//! A plan of faults, drawn from a seed and nothing else, so that a failing one can be played again and cut down.

use crate::State;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What happens to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// These fronts' lists, and no others, tell this of a server.
    Tell {
        fronts: Vec<usize>,
        server: usize,
        state: State,
        anew: bool,
    },
    Kill(usize),
    Start(usize),
    /// Ends it in order.
    End(usize),
    /// Kills it and puts a copy of what it has kept aside; it starts again from what it kept.
    PutAside(usize),
    /// Kills it; it starts from what was put aside, however old that is.
    StartOld(usize),
    Hold(usize),
    Wake(usize),
    /// These hear nobody else and nobody else hears them.
    CutOff(Vec<usize>),
    /// What this front says is heard by nobody; it hears all.
    Mute(usize),
    Heal,
    /// Parts of the datagrams that are lost, doubled and garbled, in hundredths.
    Spoil {
        loss: u8,
        double: u8,
        garble: u8,
    },
}

/// Actions in order; each comes a few beats after the one before.
pub fn plan(seed: u64, fronts: usize, servers: usize, steps: usize) -> Vec<Action> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut actions = Vec::new();
    for _ in 0..steps {
        let front = rng.random_range(0..fronts);
        actions.push(match rng.random_range(0..22) {
            0..=8 => {
                let state =
                    [State::Ready, State::Draining, State::Draining, State::Gone][rng.random_range(0..4)];
                let some = (0..fronts).filter(|_| rng.random::<f64>() < 0.4).collect();
                Action::Tell { fronts: some, server: rng.random_range(0..servers), state, anew: rng.random() }
            }
            9 | 10 => Action::Kill(front),
            11 | 12 => Action::Start(front),
            13 => Action::End(front),
            14 => Action::Hold(front),
            15 => Action::Wake(front),
            16 => Action::CutOff((0..fronts).filter(|_| rng.random()).collect()),
            17 => Action::Mute(front),
            18 => Action::Heal,
            19 => Action::PutAside(front),
            20 => Action::StartOld(front),
            _ => {
                let mut part = || rng.random_range(0..40);
                Action::Spoil { loss: part(), double: part(), garble: part() }
            }
        });
    }
    actions
}
