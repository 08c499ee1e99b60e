//! Decoding and checking of the start-up settings.

use super::*;

const VALID: &str = r#"{"classes": [{"aim_s": 2.0, "deadline_s": 9.0, "late_share": 0.25, "name": "login",
    "worth": 1.0}], "domain": {"class_cells": [[0, 1]], "guard_s": 0.5, "tells_wait": false},
    "limits": {"cancelling": true, "dial_timeout_s": 0.5, "max_attempts": 4, "max_retry_after_s": 2.0,
    "most_held": 20000, "probes": true, "retry_after": true}, "safety": {"start_capacity": 0.29,
    "tip_multiple": 2.0, "warm_after_s": 15.0}, "stats": {"fields": ["free", "size", "latency_ms"]}}"#;

#[test]
fn settings_are_divided_into_module_and_host_parameters() {
    let startup = decode(VALID.as_bytes()).unwrap();
    assert_eq!(startup.host.procedure_names, ["login"]);
    assert_eq!(
        (startup.report_layout.wait_index, startup.report_layout.throttled_includes_wait),
        (Some(2), false)
    );
    assert_eq!(startup.deployment.procedures[0].pools, [0, 1]);
    assert_eq!((startup.host.max_pending_attaches, startup.deployment.max_pause), (20_000, 2.0));
}

#[test]
fn errors_name_the_key_and_the_allowed_range() {
    let error_after = |from: &str, to: &str| decode(VALID.replace(from, to).as_bytes()).unwrap_err();
    let error = error_after("\"aim_s\": 2.0", "\"aim_s\": 0");
    assert!(error.contains("classes[0].aim_s is 0; more than 0"), "{error}");
    assert!(error_after("\"guard_s\": 0.5", "\"guard_s\": -1").contains("domain.guard_s is -1; 0 or more"));
    assert!(error_after("\"guard_s\": 0.5, ", "").contains("guard_s"));
    assert!(decode(b"nonsense").unwrap_err().contains("line 1"));
}
