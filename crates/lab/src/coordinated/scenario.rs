//! Scenarios and parameters of a measurement of a simulated fleet.

use clap::ValueEnum;
use serde::Serialize;

/// The load or fault under which a fleet is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// The configuration changes and restarts of a day, compressed into ten minutes.
    Steady,
    /// All fronts of a zone are killed and restart together half a minute later.
    RestartZone,
    /// A region is partitioned for five minutes, with changes on both sides, and then reconnected.
    RegionCut,
    /// The coordinators are killed one after the other; a minute after the last, all restart without state.
    CoordinatorsDown,
    /// All coordinators are killed and restart without state at the same time: all sessions are lost at once.
    SessionsLost,
}

/// A fault injected at the end of a run, to test that the checks of the run detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// A front restarts and the run ends at once: the front is behind, and coordinators still store the
    /// entries of its previous incarnation.
    FrontWithoutCatchUp,
    /// A front records a version number above all that will be announced.
    FutureVersion,
}

/// Parameters of one measurement.
#[derive(Clone, Debug)]
pub struct CoordinatedShape {
    /// Number of fronts.
    pub fronts: usize,
    /// Number of coordinators, distributed evenly over the regions.
    pub coordinators: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of zones in all regions together.
    pub zones: usize,
    /// Number of servers that one front subscribes to.
    pub servers_in_scope: usize,
    /// Fraction of the frames that is lost.
    pub loss: f64,
    /// Seed of the random generator.
    pub seed: u64,
    /// The scenario.
    pub scenario: Scenario,
    /// Injected fault; only tests of the checks set it.
    pub planted: Option<Planted>,
}

impl CoordinatedShape {
    /// Parameters with the numbers of regions and zones that the operators stated, and a loss of 1% of the
    /// frames.
    pub fn new(fronts: usize, coordinators: usize, scenario: Scenario, seed: u64) -> CoordinatedShape {
        CoordinatedShape {
            fronts,
            coordinators,
            regions: 3,
            zones: 8,
            servers_in_scope: 20,
            loss: 0.01,
            seed,
            scenario,
            planted: None,
        }
    }
}
