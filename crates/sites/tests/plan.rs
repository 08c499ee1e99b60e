//! What is taken when a site is out: sums, floors, order, and what missing facts cost.

#[allow(dead_code)]
mod common;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalespindle_peers::FrontId;
use shalespindle_sites::{plan, Demand, ProcedureClass, SiteCapacity, SiteRecord, Stage};

fn classes() -> Vec<ProcedureClass> {
    vec![
        ProcedureClass { utility: 0.2, late_share: 0.5, work: 1.0, repeatable: true },
        ProcedureClass { utility: 1.0, late_share: 0.5, work: 4.0, repeatable: true },
        ProcedureClass { utility: 1.0, late_share: 0.5, work: 2.0, repeatable: false },
    ]
}

#[test]
fn what_is_dearest_to_refuse_for_its_processor_time_goes_last_and_none_is_starved() {
    let classes = classes();
    // Losses of a refusal a unit of time: 0.1, 0.125, 0.5.
    let demand = [10.0, 10.0, 10.0];
    let all = plan(&classes, 0.3, 70.0, &demand);
    assert_eq!((all.shares.as_slice(), all.refuses()), ([1.0, 1.0, 1.0].as_slice(), false));
    let parts = plan(&classes, 0.3, 42.0, &demand);
    assert!((parts.shares[2] - 1.0).abs() < 1e-9 && (parts.shares[0] - 0.3).abs() < 1e-9, "{parts:?}");
    assert!(parts.shares[1] > 0.3 && parts.shares[1] < 1.0, "{parts:?}");
    // Where not even the floors fit, all get the same.
    let parts = plan(&classes, 0.3, 7.0, &demand);
    assert!(parts.shares.iter().all(|s| (s - 0.1).abs() < 1e-9), "{parts:?}");
    assert!(plan(&classes, 0.3, 0.0, &demand).shares.iter().all(|s| *s == 0.0));
}

#[test]
fn promised_work_never_passes_what_is_borne_and_no_class_falls_under_its_floor() {
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
        let parts = plan(&classes, floor, capacity, &demand);
        let promised: f64 = (0..count).map(|c| parts.shares[c] * demand[c] * classes[c].work).sum();
        assert!(promised <= capacity * (1.0 + 1e-9), "{promised} of {capacity}");
        let least = floor.min(if parts.required > 0.0 { capacity / parts.required } else { 1.0 });
        assert!(parts.shares.iter().all(|s| *s >= least - 1e-9 && *s <= 1.0 + 1e-9), "{parts:?}");
        if parts.refuses() {
            assert!(promised >= capacity * (1.0 - 1e-9), "nothing is left over: {promised} of {capacity}");
        }
    }
}

/// Each front knows its own demand and four fifths of the others': what all of them take together, beside what is borne.
fn promised(fronts: usize, spread: f64, rng: &mut ChaCha8Rng) -> f64 {
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
        let parts = plan(&classes, 0.0, 0.95 * capacity, &demand.total_by_class(1));
        sum += parts.shares[0] * requested[own];
    }
    sum / capacity
}

#[test]
fn with_a_fifth_of_the_facts_missing_helpers_are_not_promised_more_than_they_bear() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    for fronts in [6, 8, 12, 30, 64, 281] {
        let worst = (0..200).map(|_| promised(fronts, 4.0, &mut rng)).fold(0.0, f64::max);
        assert!(worst <= 1.0, "{fronts} fronts: {worst:.3}");
        // The price of that caution, as a part of what is borne.
        let mean = (0..50).map(|_| promised(fronts, 4.0, &mut rng)).sum::<f64>() / 50.0;
        assert!(mean > 0.6, "{fronts} fronts: {mean:.3}");
    }
}

#[test]
fn what_a_site_bears_is_learned_when_it_is_full_and_grows_while_it_is_not() {
    let mut held = SiteCapacity::default();
    held.update(50.0, Some(0.0), 0.3, true);
    assert_eq!(held.capacity, None, "a site that was never full is of unknown size");
    held.update(80.0, Some(0.4), 0.3, false);
    assert_eq!(held.capacity, Some(80.0));
    (0..20).for_each(|_| held.update(60.0, Some(0.5), 0.3, false));
    assert!((held.capacity.unwrap() - 60.0).abs() < 1.0, "slower now: {held:?}");
    let before = held.capacity.unwrap();
    held.update(55.0, Some(0.1), 0.3, false);
    assert_eq!(held.capacity, Some(before), "nobody is refused: nothing is tried");
    (0..5).for_each(|_| held.update(55.0, Some(0.1), 0.3, true));
    assert!(held.capacity.unwrap() > 1.2 * before);
}

#[test]
fn words_of_one_site_meet_in_one_word_whatever_their_order() {
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
    // The more careful of equals: an operator's over the fleet's, the loss over the return, the earlier step.
    let of = |stage| SiteRecord { epoch: 4, stage, losses: 0, since: 5.0, held_until: None };
    assert_eq!(merge(&of(Stage::Lost), &of(Stage::KeptOut)).stage, Stage::KeptOut);
    assert_eq!(
        merge(&of(Stage::Returning { step: 0 }), &of(Stage::Returning { step: 1 })).stage,
        Stage::Returning { step: 0 }
    );
}
