//! Runs every file in `tests/scenarios`; `scenario_runner` says how they are written.

mod scenario_runner;

use scenario_runner::Scenario;

#[test]
fn every_scenario_file_gives_the_expected_actions() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("the scenarios")
        .map(|f| f.expect("a file").path())
        .collect();
    files.sort();
    assert!(!files.is_empty());
    let mut failures = vec![];
    for file in files {
        let text = std::fs::read_to_string(&file).expect("a text file");
        let name = file.file_name().expect("a name").to_string_lossy();
        failures.append(&mut Scenario::run(&name, &text));
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
