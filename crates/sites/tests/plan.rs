//! The admission plan: totals, floors, the order of refusals, missing observations, and the merging of
//! records.

#[allow(dead_code)]
mod common;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_peers::FrontId;
use shalespindle_sites::{plan_admission, Demand, ProcedureClass, SiteCapacity, SiteRecord, Stage};

fn classes() -> Vec<ProcedureClass> {
    vec![
        ProcedureClass { utility: 0.2, late_share: 0.5, work: 1.0, repeatable: true },
        ProcedureClass { utility: 1.0, late_share: 0.5, work: 4.0, repeatable: true },
        ProcedureClass { utility: 1.0, late_share: 0.5, work: 2.0, repeatable: false },
    ]
}

#[test]
fn the_most_costly_procedure_is_refused_last_and_each_gets_its_floor() {
    let classes = classes();
    // Refusal costs: 0.1, 0.125, 0.5.
    let demand = [10.0, 10.0, 10.0];
    let whole = plan_admission(&classes, 0.3, 70.0, &demand);
    assert_eq!((whole.shares.as_slice(), whole.refuses()), ([1.0, 1.0, 1.0].as_slice(), false));
    let plan = plan_admission(&classes, 0.3, 42.0, &demand);
    assert!((plan.shares[2] - 1.0).abs() < 1e-9 && (plan.shares[0] - 0.3).abs() < 1e-9, "{plan:?}");
    assert!(plan.shares[1] > 0.3 && plan.shares[1] < 1.0, "{plan:?}");
    // If not even the floors fit, all procedures get the same share.
    let plan = plan_admission(&classes, 0.3, 7.0, &demand);
    assert!(plan.shares.iter().all(|s| (s - 0.1).abs() < 1e-9), "{plan:?}");
    assert!(plan_admission(&classes, 0.3, 0.0, &demand).shares.iter().all(|s| *s == 0.0));
}

#[test]
fn admitted_work_never_exceeds_the_capacity_and_each_class_gets_its_floor() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..20_000 {
        let count = rng.random_range(1..6);
        let class = |rng: &mut ChaCha8Rng| ProcedureClass {
            utility: rng.random_range(0.0..2.0),
            late_share: rng.random(),
            work: rng.random_range(0.1..5.0),
            repeatable: rng.random(),
        };
        let classes: Vec<ProcedureClass> = (0..count).map(|_| class(&mut rng)).collect();
        let demand: Vec<f64> = (0..count).map(|_| rng.random_range(0.0..50.0)).collect();
        let (floor, capacity) = (rng.random(), rng.random_range(0.0..300.0));
        let plan = plan_admission(&classes, floor, capacity, &demand);
        let admitted: f64 = (0..count).map(|c| plan.shares[c] * demand[c] * classes[c].work).sum();
        assert!(admitted <= capacity * (1.0 + 1e-9), "{admitted} of {capacity}");
        let min_share = floor.min(if plan.required > 0.0 { capacity / plan.required } else { 1.0 });
        assert!(plan.shares.iter().all(|s| *s >= min_share - 1e-9 && *s <= 1.0 + 1e-9), "{plan:?}");
        if plan.refuses() {
            assert!(admitted >= capacity * (1.0 - 1e-9), "capacity is left unused: {admitted} of {capacity}");
        }
    }
}

/// Each front knows its own demand and four fifths of the others'. Returns what all fronts together admit,
/// relative to the capacity.
fn admitted_fraction(fronts: usize, spread: f64, rng: &mut ChaCha8Rng) -> f64 {
    let classes = [ProcedureClass { utility: 1.0, late_share: 0.0, work: 1.0, repeatable: true }];
    let requested: Vec<f64> = (0..fronts).map(|_| spread.powf(rng.random_range(-1.0..1.0))).collect();
    let capacity = 0.7 * requested.iter().sum::<f64>();
    let mut sum = 0.0;
    for own in 0..fronts {
        let mut others: Vec<usize> = (0..fronts).filter(|f| *f != own).collect();
        others.shuffle(rng);
        let missing = others.len() / 5;
        let known = others[missing..].iter().chain([&own]);
        let demand =
            Demand { known: known.map(|f| (FrontId(*f as u64), vec![requested[*f]])).collect(), missing };
        let plan = plan_admission(&classes, 0.0, 0.95 * capacity, &demand.total_by_class(1));
        sum += plan.shares[0] * requested[own];
    }
    sum / capacity
}

#[test]
fn with_a_fifth_of_the_observations_missing_no_more_than_the_capacity_is_admitted() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    for fronts in [6, 8, 12, 30, 64, 281] {
        let worst = (0..200).map(|_| admitted_fraction(fronts, 4.0, &mut rng)).fold(0.0, f64::max);
        assert!(worst <= 1.0, "{fronts} fronts: {worst:.3}");
        // The cost of that caution: the mean use of the capacity stays above this fraction.
        let mean = (0..50).map(|_| admitted_fraction(fronts, 4.0, &mut rng)).sum::<f64>() / 50.0;
        assert!(mean > 0.6, "{fronts} fronts: {mean:.3}");
    }
}

#[test]
fn capacity_is_learned_from_a_busy_site_and_grows_while_it_is_not_busy() {
    let mut site = SiteCapacity::default();
    site.update(50.0, Some(0.0), 0.3, true);
    assert_eq!(site.capacity, None, "the capacity of a site that was never busy is unknown");
    site.update(80.0, Some(0.4), 0.3, false);
    assert_eq!(site.capacity, Some(80.0));
    (0..20).for_each(|_| site.update(60.0, Some(0.5), 0.3, false));
    assert!((site.capacity.unwrap() - 60.0).abs() < 1.0, "the site is slower now: {site:?}");
    let before = site.capacity.unwrap();
    site.update(55.0, Some(0.1), 0.3, false);
    assert_eq!(site.capacity, Some(before), "the estimate grows only while attaches are refused");
    (0..5).for_each(|_| site.update(55.0, Some(0.1), 0.3, true));
    assert!(site.capacity.unwrap() > 1.2 * before);
}

#[test]
fn merging_records_is_commutative_associative_and_idempotent() {
    let stages =
        [Stage::Up, Stage::Returning { step: 0 }, Stage::Returning { step: 3 }, Stage::Lost, Stage::KeptOut];
    let mut records = Vec::new();
    for epoch in 0..3 {
        for stage in stages {
            for losses in 0..2 {
                records.push(SiteRecord { epoch, stage, losses, since: 5.0, held_until: None });
            }
        }
    }
    let merge = |a: &SiteRecord, b: &SiteRecord| {
        let mut record = *a;
        record.merge(b);
        record
    };
    for a in &records {
        assert_eq!(merge(a, a), *a);
        for b in &records {
            assert_eq!(merge(a, b), merge(b, a));
            for c in &records {
                assert_eq!(merge(&merge(a, b), c), merge(a, &merge(b, c)));
            }
        }
    }
    // In one epoch an order to keep a site out precedes a loss, a loss a return, and an earlier step a later
    // one.
    let at_stage = |stage| SiteRecord { epoch: 4, stage, losses: 0, since: 5.0, held_until: None };
    assert_eq!(merge(&at_stage(Stage::Lost), &at_stage(Stage::KeptOut)).stage, Stage::KeptOut);
    assert_eq!(
        merge(&at_stage(Stage::Returning { step: 0 }), &at_stage(Stage::Returning { step: 1 })).stage,
        Stage::Returning { step: 0 }
    );
}
