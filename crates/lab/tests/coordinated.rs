//! The simulated fleet with coordinators meets its requirements at a size that is fast enough for CI, and its
//! checks detect injected faults.

use shalespindle_lab::coordinated::{measure, CoordinatedCost, CoordinatedShape, Planted, Scenario};

const FRONTS: usize = 24;
const COORDINATORS: usize = 9;

fn shape(scenario: Scenario, seed: u64) -> CoordinatedShape {
    CoordinatedShape::new(FRONTS, COORDINATORS, scenario, seed)
}

fn meets_invariants(cost: &CoordinatedCost) -> bool {
    cost.behind == 0 && cost.went_back == 0 && cost.resurrected == 0 && cost.suspected_wrongly == 0
}

#[test]
fn all_fronts_are_up_to_date_within_seven_seconds_after_every_fault() {
    let faults =
        [Scenario::RestartZone, Scenario::RegionCut, Scenario::CoordinatorsDown, Scenario::SessionsLost];
    for scenario in faults {
        for seed in 1..=3 {
            let cost = measure(&shape(scenario, seed));
            assert!(meets_invariants(&cost), "{cost:?}");
            assert!(cost.recovered_s <= 7.0, "{cost:?}");
            assert!(cost.front_bytes_max <= 2000.0, "{cost:?}");
        }
    }
}

#[test]
fn each_change_of_the_steady_scenario_is_in_force_everywhere_within_seven_seconds() {
    let cost = measure(&shape(Scenario::Steady, 1));
    assert!(meets_invariants(&cost), "{cost:?}");
    assert!(cost.change_all_s <= 7.0 && cost.front_bytes_max <= 2000.0, "{cost:?}");
    assert!(cost.suspicions == 0 && cost.age_max_s <= 7.0, "{cost:?}");
}

#[test]
fn version_that_lost_a_conflict_is_listed_after_a_partition() {
    assert_eq!(measure(&shape(Scenario::RegionCut, 4)).lost_versions, 1);
}

#[test]
fn traffic_of_a_front_does_not_grow_with_the_fleet() {
    let median_traffic = |fronts| {
        let shape = CoordinatedShape::new(fronts, COORDINATORS, Scenario::RestartZone, 5);
        measure(&shape).front_bytes_median
    };
    let (small, large) = (median_traffic(FRONTS), median_traffic(4 * FRONTS));
    assert!(large < 1.1 * small, "{small} and {large} bytes a second");
}

#[test]
fn checks_detect_planted_faults() {
    let planted =
        |planted| measure(&CoordinatedShape { planted: Some(planted), ..shape(Scenario::RestartZone, 1) });
    let behind_front = planted(Planted::FrontWithoutCatchUp);
    assert!(behind_front.behind > 0 && behind_front.resurrected > 0, "{behind_front:?}");
    let future = planted(Planted::FutureVersion);
    assert!(future.went_back > 0, "{future:?}");
    // On a network that loses every frame no front is up to date, and the result reports it.
    let silent = measure(&CoordinatedShape { loss: 1.0, ..shape(Scenario::RestartZone, 1) });
    assert!(silent.behind > 0 && silent.recovered_s.is_infinite(), "{silent:?}");
}

#[test]
fn same_seed_gives_the_same_run() {
    let run = || {
        let cost = measure(&shape(Scenario::RegionCut, 9));
        (cost.front_bytes_max, cost.coordinator_bytes_max, cost.recovered_s, cost.snapshots)
    };
    assert_eq!(run(), run());
}
