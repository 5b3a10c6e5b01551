//! Runs all scripts of a folder on simulated fleets.

use super::SimulatedFleet;
use crate::fleet::script::load_scripts;
use std::path::Path;

/// Executes each script of a folder with each seed from 0 to `seeds - 1`. Returns the number of
/// scripts and one line for each script run that failed. If the folder has only one script, or
/// `FLEET_SCRIPT` selects only one, also prints the log of the first script run that failed.
///
/// # Panics
///
/// If the folder or a script cannot be read, or if a script cannot be parsed.
pub fn run_all_scripts(folder: &Path, seeds: u64) -> (usize, Vec<String>) {
    let scripts = load_scripts(folder);
    let mut failed = vec![];
    for (name, script) in &scripts {
        for seed in 0..seeds {
            let mut fleet = SimulatedFleet::new(script.setup.clone(), seed);
            fleet.log = Some(vec![]);
            let Err(failure) = script.play(&mut fleet) else {
                continue;
            };
            if failed.is_empty() && scripts.len() == 1 {
                let log = fleet.log.iter().flatten();
                log.for_each(|line| println!("{line}"));
            }
            failed.push(format!("{name}, seed {seed}: {failure}"));
        }
    }
    (scripts.len(), failed)
}
