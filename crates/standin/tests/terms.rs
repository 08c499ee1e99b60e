//! Each acceptance rule: no violation on a correct trace, a violation on a trace with a planted fault.

use shalespindle_standin::processor::Cold;
use shalespindle_standin::terms::{look, Terms};
use shalespindle_standin::trace::{Entry, Seen};
use std::sync::Arc;

fn terms() -> Terms {
    Terms {
        gone_within: 0.1,
        passing: 0.02,
        cold: Cold { start_capacity: 0.25, warm_after: 10.0, tip_multiple: 2.0, fall_after: 1.0 },
        ready_within: 10.0,
    }
}

fn session(n: usize) -> Arc<str> {
    format!("s{n}").into()
}

fn set_up(at: f64, n: usize) -> Entry {
    (at, Seen::SetUp { server: 0, front: n % 20, session: session(n), leg: format!("l{n}").into() })
}

fn broken(entries: &[Entry]) -> Vec<String> {
    look(entries, &terms()).broken(&terms())
}

#[test]
fn an_attempt_after_the_caller_has_gone_is_found_with_its_time() {
    for gone in [Seen::Withdrawn { session: session(1) }, Seen::Gone { session: session(1) }] {
        let trace = |after: f64| vec![set_up(1.0, 1), (2.0, gone.clone()), set_up(2.0 + after, 1)];
        assert_eq!(broken(&trace(0.11)), Vec::<String>::new());
        assert!((look(&trace(0.11), &terms()).longest_after_gone() - 0.11).abs() < 1e-9);
        assert!(broken(&trace(0.13))[0].contains("sent on 0.130 s after"), "{:?}", broken(&trace(0.13)));
    }
    // A caller that has received its answer may close.
    let answered = (1.5, Seen::Answered { session: session(1), status: 200, pause: None });
    let trace = [set_up(1.0, 1), answered, (2.0, Seen::Gone { session: session(1) }), set_up(3.0, 1)];
    assert_eq!((broken(&trace), look(&trace, &terms()).gone), (vec![], 0));
}

/// 100 set-ups a second when warm: 54 are tolerated in the window that ends at 0.27 s, and the bound is 70.8.
#[test]
fn the_load_on_a_cold_server_is_summed_over_all_fronts_in_every_window() {
    let trace = |many: usize| {
        let mut entries = vec![(0.0, Seen::Started { server: 0, cold: true, capacity: 100.0 })];
        entries.extend((0..many).map(|n| set_up(0.2 + 0.001 * n as f64, n)));
        // The same number a second later belongs to another window.
        entries.extend((0..many).map(|n| set_up(1.3 + 0.001 * n as f64, 1000 + n)));
        entries
    };
    assert_eq!(broken(&trace(65)), Vec::<String>::new());
    assert!(broken(&trace(75))[0].contains("set-ups in a window for cold server 0"));
    let fullest = look(&trace(75), &terms()).fullest.unwrap();
    assert_eq!(fullest.sum, 75);
    assert!((fullest.bound - 70.8).abs() < 0.2, "{fullest:?}");
    // A warm server has no bound.
    let mut warm = trace(500);
    warm[0].1 = Seen::Started { server: 0, cold: false, capacity: 100.0 };
    assert_eq!(broken(&warm), Vec::<String>::new());
}

#[test]
fn more_than_one_slow_start_in_ten_is_a_violation() {
    let trace = |slow: usize, never: usize| {
        let mut entries = Vec::new();
        for front in 0..20 {
            entries.push((0.0, Seen::FrontLaunched { front }));
            let took = if front < slow { 10.5 } else { 0.5 };
            if front < 20 - never {
                entries.push((took, Seen::FrontUp { front }));
            }
        }
        entries.sort_by(|a: &Entry, b| a.0.total_cmp(&b.0));
        entries
    };
    assert_eq!(broken(&trace(2, 0)), Vec::<String>::new());
    assert_eq!(look(&trace(2, 0), &terms()).slowest(), 10.5);
    assert_eq!(broken(&trace(3, 0)), ["3 of 20 starts took over 10 s to be ready"]);
    assert_eq!(broken(&trace(1, 2)), ["3 of 20 starts took over 10 s to be ready"]);
    // A front that was killed before it could become ready does not count.
    let killed = [(0.0, Seen::FrontLaunched { front: 0 }), (0.1, Seen::FrontKilled { front: 0 })];
    assert_eq!(broken(&killed), Vec::<String>::new());
}
