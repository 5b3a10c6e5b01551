//! Parses a whole scenario file before any of it is played.

use super::checks::Check;
use super::error::{Problem, ScriptError, WordError};
use super::events::{self, Event};
use super::setup::Setup;
use super::words::Words;

/// A parsed scenario file.
pub(crate) struct Script {
    pub(crate) name: String,
    pub(crate) setup: Setup,
    pub(crate) steps: Vec<Step>,
}

/// A line of a scenario with events or a check.
pub(crate) struct Step {
    /// Line number, counted from 1.
    pub(crate) line: usize,
    pub(crate) text: String,
    pub(crate) kind: StepKind,
}

/// The events or the check of a line.
pub(crate) enum StepKind {
    Events(Vec<Event>),
    Check(Check),
}

impl Script {
    /// Parses the text of a scenario file. The error names the first invalid word.
    pub(crate) fn parse(name: &str, text: &str) -> Result<Script, ScriptError> {
        let mut script = Script {
            name: name.to_string(),
            setup: Setup::new().map_err(|error| error.at(name, 0))?,
            steps: vec![],
        };
        for (index, line) in text.lines().enumerate() {
            let number = index + 1;
            let statement = line.split('#').next().unwrap_or("").trim();
            script
                .add_line(number, statement)
                .map_err(|error| error.at(name, number))?;
        }
        Ok(script)
    }

    fn add_line(&mut self, number: usize, text: &str) -> Result<(), WordError> {
        let mut words = Words::new(text);
        let Some(first) = words.peek() else {
            return Ok(());
        };
        let kind = if first.starts_with(|c: char| c.is_ascii_digit()) {
            StepKind::Events(events::parse(text, &self.setup)?)
        } else if Check::begins_with(first) {
            if self.steps.is_empty() {
                return Err(WordError::new(first, Problem::EarlyCheck));
            }
            words.next("check")?;
            StepKind::Check(Check::parse(first, words)?)
        } else {
            return self.add_setup(words);
        };
        self.steps.push(Step {
            line: number,
            text: text.to_string(),
            kind,
        });
        Ok(())
    }

    fn add_setup(&mut self, mut words: Words) -> Result<(), WordError> {
        let keyword = words.next("what to set up")?;
        if !self.steps.is_empty() {
            return Err(WordError::new(keyword, Problem::LateSetup));
        }
        self.setup.apply(keyword, words)
    }
}
