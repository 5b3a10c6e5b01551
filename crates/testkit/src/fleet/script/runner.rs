//! Plays scripts on fleets, step by step, and reads the scripts of a folder. [`Fleet`] is what real
//! and simulated fleets have in common; this file knows neither.

use super::{Action, ActionError, Condition, Script, ScriptFailure, Step};
use madderbay::time::Duration;
use std::path::Path;

/// A fleet that a script can be played on.
pub trait Fleet {
    /// Carries out an action.
    ///
    /// # Errors
    ///
    /// If the fleet can't do it, or if the action is a check that does not hold.
    fn act(&mut self, action: &Action) -> Result<(), ActionError>;

    /// What is missing of a condition, in one line; `None` while it holds.
    fn unmet(&mut self, condition: &Condition) -> Option<String>;

    /// Lets a short time pass, real or simulated, before a condition is checked again.
    fn pass(&mut self);

    /// The time since the fleet was made, real or simulated.
    fn at(&self) -> Duration;
}

/// How long a condition took to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConditionTime {
    /// The line number of the condition, from 1.
    pub line: usize,
    /// The time since the step before it.
    pub took: Duration,
}

impl Script {
    /// Plays the script; gives how long each condition took.
    ///
    /// # Errors
    ///
    /// The first action that failed, or the first condition that did not hold within its term.
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

/// Waits until the condition of a line holds, within its term.
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

/// Reads the scripts of a folder, sorted by file name; only those whose name contains the value of
/// the environment variable `FLEET_SCRIPT`, if it is set.
///
/// # Panics
///
/// If the folder or a script can't be read, or if a script can't be parsed: that is a fault of the
/// test.
pub fn load_scripts(folder: &Path) -> Vec<(String, Script)> {
    let only = std::env::var("FLEET_SCRIPT").unwrap_or_default();
    let entries = std::fs::read_dir(folder).expect("a folder of scripts");
    let mut scripts = vec![];
    for entry in entries.flatten() {
        let name = entry.file_name().to_string_lossy().to_string();
        if !name.contains(&only) {
            continue;
        }
        let text = std::fs::read_to_string(entry.path()).expect("text");
        let script = Script::read(&name, &text).unwrap_or_else(|error| panic!("{error}"));
        scripts.push((name, script));
    }
    scripts.sort_by(|(one, _), (other, _)| one.cmp(other));
    scripts
}
