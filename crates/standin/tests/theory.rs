//! The simulated processor against queueing theory, where a formula exists. Seeds are fixed, so that every
//! run has the same result; the tolerance follows from the number of jobs.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use shalespindle_standin::processor::{Cold, Job, Kind, Processor, Work};

const SERVICE: f64 = 0.01;

fn processor(first_out: bool) -> Processor<f64> {
    let work = Work { set_up: SERVICE, answer: SERVICE, release: SERVICE, probe: SERVICE, reject: SERVICE };
    let cold = Cold { start_capacity: 1.0, warm_after: 1.0, tip_multiple: 1e9, fall_after: 1.0 };
    let mut processor = Processor::new(work, cold, first_out);
    processor.start(0.0, false);
    processor
}

/// Poisson arrivals at `load`; a share `ahead` of them are answers, which are served first. Returns the mean
/// queueing time of set-ups and of answers, and the number of each.
fn mean_waits(load: f64, ahead: f64, jobs: usize, seed: u64) -> [(f64, usize); 2] {
    let mut processor = processor(ahead > 0.0);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let gap = Exp::new(load / SERVICE).unwrap();
    let mut waits = [(0.0, 0); 2];
    let mut arrives = 0.0;
    let mut done = 0;
    while done < jobs {
        while processor.due() <= arrives {
            let at = processor.due();
            while let Some(job) = processor.finished(at) {
                let place = usize::from(job.kind == Kind::Answer);
                waits[place].0 += at - job.token - SERVICE;
                waits[place].1 += 1;
                done += 1;
            }
        }
        let kind = if rng.random::<f64>() < ahead { Kind::Answer } else { Kind::SetUp };
        processor.add(arrives, Job { kind, token: arrives });
        arrives += gap.sample(&mut rng);
    }
    waits.map(|(sum, count)| (sum / count.max(1) as f64, count))
}

/// Pollaczek and Khinchine for a fixed service time (M/D/1): the mean wait is load / (2 (1 - load)) service
/// times.
#[test]
fn a_single_queue_with_fixed_service_time_waits_as_m_d_1_predicts() {
    for (load, error) in [(0.3, 0.03), (0.6, 0.03), (0.8, 0.05), (0.9, 0.1)] {
        let theory = SERVICE * load / (2.0 * (1.0 - load));
        let [(mean, count), _] = mean_waits(load, 0.0, 400_000, 7);
        println!("load {load}: {mean} against {theory}");
        assert!(count >= 400_000);
        assert!((mean / theory - 1.0).abs() < error, "load {load}: {mean} against {theory}");
    }
}

/// Two classes with non-preemptive priority (Cobham 1954): with R the residual work at an arrival, the
/// first waits R / (1 - load1), the second R / ((1 - load1) (1 - load)).
#[test]
fn answers_with_priority_wait_as_cobham_predicts() {
    let (load, ahead) = (0.8, 0.4);
    let residual = load * SERVICE / 2.0;
    let first = load * ahead;
    let theory = [residual / ((1.0 - first) * (1.0 - load)), residual / (1.0 - first)];
    let waits = mean_waits(load, ahead, 400_000, 11);
    for ((mean, count), theory) in waits.into_iter().zip(theory) {
        println!("{mean} against {theory}");
        assert!(count > 100_000);
        assert!((mean / theory - 1.0).abs() < 0.05, "{mean} against {theory}");
    }
}

/// The comparison can fail: a load that is a fifth higher does not match the formula.
#[test]
fn a_processor_a_fifth_slower_deviates_from_theory() {
    let theory = SERVICE * 0.6 / (2.0 * 0.4);
    let [(mean, _), _] = mean_waits(0.6 * 1.2, 0.0, 200_000, 7);
    assert!((mean / theory - 1.0).abs() > 0.3, "{mean} against {theory}");
}
