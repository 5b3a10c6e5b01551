//! Plays scripts on fleets, and loads the scripts of a folder. [`Fleet`] is the interface that real
//! and simulated fleets share.

use super::{Action, ActionError, Condition, Script, ScriptFailure, Step};
use madderbay::time::Duration;
use std::path::Path;

/// A fleet that a script can be played on.
pub trait Fleet {
    /// Performs an action.
    ///
    /// # Errors
    ///
    /// If the fleet cannot perform the action, or if the action is a check that fails.
    fn act(&mut self, action: &Action) -> Result<(), ActionError>;

    /// Describes in one line why a condition does not hold; `None` if it holds.
    fn unmet(&mut self, condition: &Condition) -> Option<String>;

    /// Waits for a short time, real or simulated, before a condition is checked again.
    fn pass(&mut self);

    /// Returns the time since the fleet was created, real or simulated.
    fn at(&self) -> Duration;
}

/// How long a condition took to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConditionTime {
    /// Line number of the condition, from 1.
    pub line: usize,
    /// Time from the end of the previous step until the condition held.
    pub took: Duration,
}

impl Script {
    /// Plays the script and returns how long each condition took to hold.
    ///
    /// # Errors
    ///
    /// Returns the first action that failed, or the first condition that did not hold within its
    /// time limit.
    pub fn play(&self, fleet: &mut impl Fleet) -> Result<Vec<ConditionTime>, ScriptFailure> {
        let mut times = vec![];
        for (line, step) in &self.steps {
            let line = *line;
            match step {
                Step::Action(action) => fleet
                    .act(action)
                    .map_err(|error| ScriptFailure::Action { line, error })?,
                Step::Within(condition, term) => {
                    times.push(wait_for(fleet, condition, line, *term)?);
                }
            }
        }
        Ok(times)
    }
}

/// Waits until the condition of a line holds. Fails if it does not hold within `term`.
fn wait_for(
    fleet: &mut impl Fleet,
    condition: &Condition,
    line: usize,
    term: Duration,
) -> Result<ConditionTime, ScriptFailure> {
    let began = fleet.at();
    while let Some(unmet) = fleet.unmet(condition) {
        if fleet.at().saturating_sub(began) > term {
            return Err(ScriptFailure::Timeout { line, term, unmet });
        }
        fleet.pass();
    }
    let took = fleet.at().saturating_sub(began);
    Ok(ConditionTime { line, took })
}

/// Loads the scripts of a folder, sorted by file name. If the environment variable `FLEET_SCRIPT`
/// is set, loads only those whose name contains its value.
///
/// # Panics
///
/// If the folder or a script cannot be read, or if a script cannot be parsed. Either is an error in
/// the test.
pub fn load_scripts(folder: &Path) -> Vec<(String, Script)> {
    let only = std::env::var("FLEET_SCRIPT").unwrap_or_default();
    let entries = std::fs::read_dir(folder).expect("a folder of scripts");
    let mut scripts = vec![];
    for entry in entries.flatten() {
        let name = entry.file_name().to_string_lossy().to_string();
        if !name.contains(&only) {
            continue;
        }
        let text = std::fs::read_to_string(entry.path()).expect("a readable script");
        let script = Script::read(&name, &text).unwrap_or_else(|error| panic!("{error}"));
        scripts.push((name, script));
    }
    scripts.sort_by(|(one, _), (other, _)| one.cmp(other));
    scripts
}
