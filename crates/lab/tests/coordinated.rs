//! The simulated fleet with coordinators keeps its promises at a size that CI bears, and its checks find what is planted.

use shalespindle_lab::coordinated::{measure, CoordinatedCost, CoordinatedShape, Planted, Scenario};

const FRONTS: usize = 24;
const COORDINATORS: usize = 9;

fn shape(scenario: Scenario, seed: u64) -> CoordinatedShape {
    CoordinatedShape::new(FRONTS, COORDINATORS, scenario, seed)
}

fn is_kept(cost: &CoordinatedCost) -> bool {
    cost.behind == 0 && cost.went_back == 0 && cost.resurrected == 0 && cost.suspected_wrongly == 0
}

#[test]
fn every_trouble_ends_with_all_fronts_up_to_date_within_seven_seconds() {
    let troubles =
        [Scenario::RestartZone, Scenario::RegionCut, Scenario::CoordinatorsDown, Scenario::SessionsLost];
    for scenario in troubles {
        for seed in 1..=3 {
            let cost = measure(&shape(scenario, seed));
            assert!(is_kept(&cost), "{cost:?}");
            assert!(cost.recovered_s <= 7.0, "{cost:?}");
            assert!(cost.front_bytes_max <= 2000.0, "{cost:?}");
        }
    }
}

#[test]
fn a_days_changes_in_ten_minutes_are_in_force_everywhere_within_seven_seconds_each() {
    let cost = measure(&shape(Scenario::Steady, 1));
    assert!(is_kept(&cost), "{cost:?}");
    assert!(cost.change_all_s <= 7.0 && cost.front_bytes_max <= 2000.0, "{cost:?}");
    assert!(cost.suspicions == 0 && cost.age_max_s <= 7.0, "{cost:?}");
}

#[test]
fn a_version_that_lost_is_listed_after_a_region_was_cut_off() {
    assert_eq!(measure(&shape(Scenario::RegionCut, 4)).lost_versions, 1);
}

#[test]
fn what_a_front_sends_and_is_sent_does_not_grow_with_the_fleet() {
    let idle = |fronts| {
        let shape = CoordinatedShape::new(fronts, COORDINATORS, Scenario::RestartZone, 5);
        measure(&shape).front_bytes_median
    };
    let (small, large) = (idle(FRONTS), idle(4 * FRONTS));
    assert!(large < 1.1 * small, "{small} and {large} bytes a second");
}

#[test]
fn the_checks_find_planted_faults() {
    let planted =
        |planted| measure(&CoordinatedShape { planted: Some(planted), ..shape(Scenario::RestartZone, 1) });
    let newcomer = planted(Planted::FrontWithoutCatchUp);
    assert!(newcomer.behind > 0 && newcomer.resurrected > 0, "{newcomer:?}");
    let future = planted(Planted::FutureVersion);
    assert!(future.went_back > 0, "{future:?}");
    // A network that loses all: nobody is up to date, and it is said.
    let silent = measure(&CoordinatedShape { loss: 1.0, ..shape(Scenario::RestartZone, 1) });
    assert!(silent.behind > 0 && silent.recovered_s.is_infinite(), "{silent:?}");
}

#[test]
fn one_seed_gives_one_run() {
    let run = || {
        let cost = measure(&shape(Scenario::RegionCut, 9));
        (cost.front_bytes_max, cost.coordinator_bytes_max, cost.recovered_s, cost.snapshots)
    };
    assert_eq!(run(), run());
}
