//! Cost of an attach at the door, outcome included: `cargo bench -p shalespindle-levels`.

use shalespindle_levels::{Ask, Door, LevelParams, Levels, Outcome, Step};
use std::hint::black_box;
use std::time::Instant;

fn main() {
    let step = |enter, floor| Step { enter, exit: enter / 3.0, floor, below: 0.0, above: 1.0 };
    let params = LevelParams {
        steps: vec![step(0.1, 0.3), step(0.2, 0.5), step(0.3, 1.0)],
        least_stay: 2.0,
        window: 3.0,
        evidence: 8.0,
        judge_from: 0.0,
        reach: 1.0,
        leap: 0.6,
        spread: 0.2,
        patience: 4.0,
        pause: 0.5,
        longest_pause: 2.0,
        remember: 9.0,
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
            let ask = Ask {
                number,
                worth: 1.0,
                late_share: 0.2,
                latency_target: 2.0,
                tenant: Some(n as usize % 3),
                procedure: 0,
            };
            if let Door::Take(ticket) = black_box(levels.ask(now, &ask)) {
                levels.ended(now + 1e-5, &ticket, Outcome::Stood);
            }
        }
        best = best.min(begin.elapsed().as_nanos() as f64 / f64::from(COUNT));
    }
    println!("an attach asked for and ended: {best:.0} ns, the best of five rounds");
}
