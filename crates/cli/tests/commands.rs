//! Sub-commands, their exit codes and what they print.

use std::process::{Command, Output};

fn shalespindle(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_shalespindle")).args(args).output().unwrap()
}

fn file(text: &str) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    file
}

#[test]
fn bad_settings_are_named_and_nothing_starts() {
    let good = include_str!("../../../deploy/front.toml");
    let bad = file(&good.replace("utility = 3.0", "utility = -3.0"));
    let path = bad.path().to_str().unwrap();
    for command in ["check", "run"] {
        let out = shalespindle(&[command, "--config", path]);
        assert_eq!(out.status.code(), Some(2), "{command}");
        let text = String::from_utf8(out.stderr).unwrap();
        assert!(text.starts_with(&format!("{path}:23: procedures[1].utility: ")), "{text}");
    }
    let fine = file(good);
    assert!(shalespindle(&["check", "--config", fine.path().to_str().unwrap()]).status.success());
}

#[test]
fn bad_arguments_and_scenarios_exit_2() {
    assert_eq!(shalespindle(&["lab", "fly"]).status.code(), Some(2));
    let bad = file("name = 3");
    let out = shalespindle(&["lab", "sim", bad.path().to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8(out.stderr).unwrap().contains("name"));
}

#[test]
fn schemas_are_json() {
    for args in [&["schema"][..], &["schema", "--feed"]] {
        let out = shalespindle(args);
        let schema: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
        assert!(schema["properties"].is_object(), "{args:?}");
    }
}

#[test]
fn the_last_line_of_a_run_is_its_summary() {
    let day = concat!(env!("CARGO_MANIFEST_DIR"), "/../lab/scenarios/bad-day.toml");
    let out = shalespindle(&["lab", "sim", day, "--seed", "5"]);
    assert!(out.status.success());
    let text = String::from_utf8(out.stdout).unwrap();
    let summary: serde_json::Value = serde_json::from_str(text.lines().last().unwrap()).unwrap();
    for key in ["scenario", "attaches", "stood", "refused", "failed", "left", "p50_ms", "p99_ms"] {
        assert!(!summary[key].is_null(), "{key}");
    }
    assert_eq!((summary["seed"].as_u64(), summary["unanswered"].as_u64()), (Some(5), Some(0)));
    assert!((1..=5).all(|rule| summary["rules_broken"][rule.to_string()] == 0), "{summary}");
}
