//! Plays every `.txt` file of this directory twice: once with each input in one piece, and once split at every byte.
//! [`step`] describes the grammar of their lines.

#[path = "../common/mod.rs"]
mod common;
mod player;
mod step;

use player::ScenarioPlayer;
use std::path::{Path, PathBuf};

fn scenario_files() -> Vec<PathBuf> {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut files: Vec<PathBuf> = std::fs::read_dir(directory)
        .expect("the scenarios")
        .map(|file| file.expect("a file").path())
        .filter(|path| path.extension().is_some_and(|e| e == "txt"))
        .collect();
    files.sort();
    files
}

/// Plays one file with inputs of at most `max_feed` bytes at a time. Returns a text for each line that failed.
fn play_file(file: &Path, max_feed: usize) -> Vec<String> {
    let text = std::fs::read_to_string(file)
        .expect("a text file")
        .replace("\\\n", "");
    let name = file.file_name().expect("a name").to_string_lossy();
    let mut player = ScenarioPlayer::new(max_feed);
    let mut failures = vec![];
    let lines = text.lines().map(str::trim);
    for line in lines.filter(|l| !l.is_empty() && !l.starts_with('#')) {
        if let Err(mismatch) = step::play(&mut player, line) {
            failures.push(format!("{name} cut {max_feed}: {line}\n    {mismatch}"));
        }
    }
    let counted = player.request_counts();
    if counted.read != counted.ended_or_open {
        let (read, accounted) = (counted.read, counted.ended_or_open);
        failures.push(format!(
            "{name} cut {max_feed}: {read} requests read, {accounted} accounted for"
        ));
    }
    failures
}

#[test]
fn plays_every_scenario_whole_and_byte_by_byte() {
    let files = scenario_files();
    assert!(!files.is_empty());
    let mut failures = vec![];
    for file in files {
        for max_feed in [usize::MAX, 1] {
            failures.extend(play_file(&file, max_feed));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
