//! What happens to a simulated fleet while it is measured.

use clap::ValueEnum;
use serde::Serialize;

/// The troubles that a fleet is measured under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// A day's changes of configuration and restarts in ten minutes.
    Steady,
    /// All fronts of a zone are killed, and come back at once half a minute later.
    RestartZone,
    /// A region is cut off for five minutes, with changes on both sides, and heals.
    RegionCut,
    /// One coordinator after another is killed until none is left; a minute later all come back with nothing.
    CoordinatorsDown,
    /// All coordinators are killed and come back with nothing in one moment: every session is lost at once.
    SessionsLost,
}

/// A fault planted at the end of a run, so that its checks are seen to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// A front starts and is not given the time to learn anything: it is behind, and what its process of before said
    /// is still held.
    NewcomerWithoutTime,
    /// A front takes a version for newer than all that will be announced.
    VersionFromTheFuture,
}

/// What is measured.
#[derive(Clone, Debug)]
pub struct CoordinatedShape {
    /// Fronts.
    pub fronts: usize,
    /// Coordinators; a third of them in each region.
    pub coordinators: usize,
    /// Regions.
    pub regions: usize,
    /// Zones, over all regions.
    pub zones: usize,
    /// Servers that one front subscribes to.
    pub servers_in_scope: usize,
    /// Part of the frames that is lost.
    pub loss: f64,
    /// Draws everything that is left to chance.
    pub seed: u64,
    /// What happens.
    pub scenario: Scenario,
    /// None but in tests of the checks.
    pub planted: Option<Planted>,
}

impl CoordinatedShape {
    /// The operators' stated regions and zones, and 1% of the frames lost.
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
