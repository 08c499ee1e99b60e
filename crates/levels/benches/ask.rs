//! Cost of an attach at the door, outcome included: `cargo bench -p shalespindle-levels`.

use shalespindle_levels::{Admission, AttachRequest, LevelParams, LevelStep, Levels, Outcome};
use std::hint::black_box;
use std::time::Instant;

fn main() {
    let step = |enter, floor| LevelStep {
        entry_pressure: enter,
        exit_pressure: enter / 3.0,
        min_utility: floor,
        share_below: 0.0,
        share_above: 1.0,
    };
    let params = LevelParams {
        steps: vec![step(0.1, 0.3), step(0.2, 0.5), step(0.3, 1.0)],
        min_stay: 2.0,
        window: 3.0,
        min_evidence: 8.0,
        min_judged_utility: 0.0,
        late_redial_fraction: 1.0,
        skip_pressure: 0.6,
        jitter: 0.2,
        max_entry_delay: 4.0,
        base_pause: 0.5,
        max_pause: 2.0,
        redial_memory: 9.0,
        tenant_shares: vec![0.5, 0.3, 0.2],
    };
    let mut best = f64::INFINITY;
    for round in 0..5 {
        let mut levels = Levels::new(1, params.clone(), 0.0);
        let begin = Instant::now();
        const COUNT: u32 = 1_000_000;
        for n in 0..COUNT {
            let now = f64::from(n) * 1e-4;
            let number = u64::from(n) + 1 + round;
            let ask = AttachRequest {
                called_number: number,
                relative_utility: 1.0,
                late_share: 0.2,
                latency_target: 2.0,
                tenant: Some(n as usize % 3),
                procedure: 0,
            };
            if let Admission::Admit(ticket) = black_box(levels.admit(now, &ask)) {
                levels.record_outcome(now + 1e-5, &ticket, Outcome::Established);
            }
        }
        best = best.min(begin.elapsed().as_nanos() as f64 / f64::from(COUNT));
    }
    println!("an attach asked for and ended: {best:.0} ns, the best of five rounds");
}
