//! Sub-commands: exit codes and output.

#[path = "common/process.rs"]
#[allow(dead_code)]
mod process;

use process::{wait_until, Front};
use std::path::Path;
use std::process::{Command, Output};

fn shalespindle(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_shalespindle")).args(args).output().unwrap()
}

/// A temporary file with this content.
fn file(text: &str) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    file
}

#[test]
fn invalid_settings_are_reported_and_the_front_does_not_start() {
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
fn invalid_arguments_and_scenarios_exit_with_code_2() {
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

#[test]
fn a_running_front_reports_its_level_and_can_be_pinned_to_another() {
    let folder = tempfile::tempdir().unwrap();
    let (config, log) = (folder.path().join("front.toml"), folder.path().join("front.log"));
    let socket = folder.path().join("front.sock");
    let text = include_str!("../../../deploy/front.toml").replace("127.0.0.1:5060", "127.0.0.1:0");
    std::fs::write(&config, format!("{text}\n[console]\nsocket = {socket:?}\n")).unwrap();
    let config = config.to_str().unwrap();
    let unreachable = shalespindle(&["status", "--config", config]);
    assert_eq!(unreachable.status.code(), Some(1));
    let front = Front::run(Path::new(config), std::fs::File::create(&log).unwrap());
    let run = |args: &[&str]| {
        let out = shalespindle(args);
        (out.status.code(), String::from_utf8(out.stdout).unwrap())
    };
    let status = || -> serde_json::Value {
        let (code, text) = run(&["status", "--config", config, "--json"]);
        if code == Some(0) {
            serde_json::from_str(&text).unwrap()
        } else {
            serde_json::Value::Null
        }
    };
    wait_until("full service", || status()["level"]["level"] == 0);
    let (code, output) = run(&["pin", "2", "--for", "1h", "--config", config]);
    assert_eq!((code, output.trim()), (Some(0), "level 2 is held for 3600 s"));
    let level = &status()["level"];
    assert_eq!((&level["level"], &level["why"]), (&2.into(), &"pinned by an operator".into()), "{level}");
    assert!(level["pinned_for"].as_f64().is_some_and(|left| left > 3000.0 && left <= 3600.0), "{level}");
    assert!(run(&["status", "--config", config]).1.contains("level 2 of 4 for"));
    assert_eq!(run(&["pin", "9", "--for", "1h", "--config", config]).0, Some(1));
    assert_eq!(run(&["pin", "1", "--for", "2days", "--config", config]).0, Some(1));
    // The pin expires automatically.
    assert_eq!(run(&["pin", "3", "--for", "50ms", "--config", config]).0, Some(0));
    wait_until("the pin to expire", || status()["level"]["why"] == "a pin has ended");
    assert_eq!(status()["level"]["level"], 0);
    assert_eq!(run(&["unpin", "--config", config]).0, Some(1));
    drop(front);
    let log = std::fs::read_to_string(log).unwrap();
    assert!(log.contains("level pinned by an operator") && log.contains("a pin has ended"), "{log}");
}
