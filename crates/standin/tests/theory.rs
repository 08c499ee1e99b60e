//! The stand-in processor against queueing theory, where there is a formula. Seeds are fixed, so that each
//! run has one verdict; the stated error is that of its length.

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

/// Poisson arrivals at `load`; a share `ahead` of them are answers, which go first. Returns the mean time in
/// line of set-ups and of answers, and how many of each there were.
fn line(load: f64, ahead: f64, jobs: usize, seed: u64) -> [(f64, usize); 2] {
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

/// Pollaczek and Khinchine for a fixed service time (M/D/1): load / (2 (1 - load)) services in line.
#[test]
fn one_line_of_fixed_work_waits_as_m_d_1_says() {
    for (load, error) in [(0.3, 0.03), (0.6, 0.03), (0.8, 0.05), (0.9, 0.1)] {
        let theory = SERVICE * load / (2.0 * (1.0 - load));
        let [(mean, count), _] = line(load, 0.0, 400_000, 7);
        println!("load {load}: {mean} against {theory}");
        assert!(count >= 400_000);
        assert!((mean / theory - 1.0).abs() < error, "load {load}: {mean} against {theory}");
    }
}

/// Two classes, the first ahead without breaking in (Cobham 1954): with R the work left at an arrival, the
/// first waits R / (1 - load1), the second R / ((1 - load1) (1 - load)).
#[test]
fn answers_that_go_first_wait_as_cobham_says() {
    let (load, ahead) = (0.8, 0.4);
    let left = load * SERVICE / 2.0;
    let first = load * ahead;
    let theory = [left / ((1.0 - first) * (1.0 - load)), left / (1.0 - first)];
    let waits = line(load, ahead, 400_000, 11);
    for ((mean, count), theory) in waits.into_iter().zip(theory) {
        println!("{mean} against {theory}");
        assert!(count > 100_000);
        assert!((mean / theory - 1.0).abs() < 0.05, "{mean} against {theory}");
    }
}

/// The check can fail: a processor a fifth slower is not one of that service time.
#[test]
fn a_slower_processor_is_told_from_theory() {
    let theory = SERVICE * 0.6 / (2.0 * 0.4);
    let [(mean, _), _] = line(0.6 * 1.2, 0.0, 200_000, 7);
    assert!((mean / theory - 1.0).abs() > 0.3, "{mean} against {theory}");
}
