//! The capacity page says what its runs gave, and nothing else.

use shalespindle_lab::capacity::{fill, Line, PageFault, Runs, RunsFault};
use std::path::{Path, PathBuf};

fn docs(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(file)
}

#[test]
fn the_page_and_its_runs_agree() {
    let runs = Runs::read(&docs("capacity")).unwrap();
    let page = std::fs::read_to_string(docs("CAPACITY.md")).unwrap();
    let filled = fill(&page, &runs).unwrap();
    assert_eq!(page, filled, "docs/CAPACITY.md is written by `shalespindle lab capacity-page`");
    // A figure changed by hand, or a run that is another one, is found.
    let digit = page.find("| 600 |").unwrap() + 2;
    let changed = format!("{}7{}", &page[..digit], &page[digit + 1..]);
    assert_ne!(fill(&changed, &runs).unwrap(), changed);
    let mut other = runs.clone();
    other.gossip[0].idle_bytes *= 1.5;
    assert_ne!(fill(&page, &other).unwrap(), page);
}

#[test]
fn a_page_or_a_run_that_cannot_be_read_is_named() {
    let runs = Runs::read(&docs("capacity")).unwrap();
    assert_eq!(fill("text", &runs), Err(PageFault::Missing("ranking")));
    let unknown = fill("<!-- table: nothing -->\n<!-- end -->", &runs);
    assert!(unknown.unwrap_err().to_string().contains("ranking, held-against"));
    assert_eq!(
        fill("<!-- table: gossip -->\n| 1 |", &runs),
        Err(PageFault::Unterminated("gossip -->".into()))
    );
    let folder = tempfile::tempdir().unwrap();
    assert!(
        matches!(Runs::read(folder.path()), Err(RunsFault::File { file, .. }) if file == "gossip-idle.jsonl")
    );
    std::fs::write(folder.path().join("gossip-idle.jsonl"), "{\"fronts\":8}\n").unwrap();
    let why = Runs::read(folder.path()).unwrap_err().to_string();
    assert!(why.contains("gossip-idle.jsonl, line 1"), "{why}");
}

#[test]
fn a_line_goes_through_points_that_lie_on_one_and_says_what_it_misses() {
    let line = Line::through(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((line.at(10.0) - 23.0).abs() < 1e-9 && line.residual < 1e-9);
    assert!(Line::through(&[(0.0, 0.0), (1.0, 1.0), (2.0, 0.0)]).unwrap().residual > 0.4);
    assert_eq!(Line::through(&[(3.0, 1.0), (3.0, 2.0)]), None);
}
