//! A plan of faults that depends on the seed alone, so that a failing plan can be run again and shortened.

use crate::State;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One step of a plan. `lab fleet` prints each step in its `Debug` form.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets the state of a server on the lists of these fronts only. `anew`, with the state ready: as a new
    /// incarnation.
    Tell { fronts: Vec<usize>, server: usize, state: State, anew: bool },
    /// Kills a front with SIGKILL.
    Kill(usize),
    /// Starts a front unless it runs.
    Start(usize),
    /// Shuts a front down gracefully.
    End(usize),
    /// Kills a front, saves a copy of its stored state and restarts it from its stored state.
    PutAside(usize),
    /// Kills a front and restarts it from the saved copy, whatever the age of the copy.
    StartOld(usize),
    /// Pauses a front's process (SIGSTOP).
    Hold(usize),
    /// Resumes a paused process (SIGCONT).
    Wake(usize),
    /// Cuts all paths between these fronts and the others, in both directions.
    CutOff(Vec<usize>),
    /// Cuts all paths from this front; it still receives from all others.
    Mute(usize),
    /// Restores all paths that are cut.
    Heal,
    /// Sets the percentages of datagrams that are lost, duplicated and corrupted.
    Spoil { loss: u8, double: u8, garble: u8 },
}

/// Draws the actions of a plan, in order; `play` runs them a few heartbeats apart.
pub fn plan(seed: u64, fronts: usize, servers: usize, steps: usize) -> Vec<Action> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut actions = Vec::new();
    for _ in 0..steps {
        let front = rng.random_range(0..fronts);
        actions.push(match rng.random_range(0..22) {
            0..=8 => {
                let state =
                    [State::Ready, State::Draining, State::Draining, State::Gone][rng.random_range(0..4)];
                let listing = (0..fronts).filter(|_| rng.random::<f64>() < 0.4).collect();
                Action::Tell {
                    fronts: listing,
                    server: rng.random_range(0..servers),
                    state,
                    anew: rng.random(),
                }
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
                let mut percentage = || rng.random_range(0..40);
                Action::Spoil { loss: percentage(), double: percentage(), garble: percentage() }
            }
        });
    }
    actions
}
