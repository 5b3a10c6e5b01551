//! What can be wrong in a scenario file, and where it is wrong.

use thiserror::Error;

/// A wrong word of a scenario file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: '{word}': {problem}")]
pub(crate) struct ScriptError {
    pub(crate) file: String,
    /// The first line is 1.
    pub(crate) line: usize,
    pub(crate) word: String,
    pub(crate) problem: Problem,
}

/// A wrong word, before its file and line are known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WordError {
    pub(crate) word: String,
    pub(crate) problem: Problem,
}

/// What is wrong with a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum Problem {
    #[error("no line begins with it")]
    UnknownLine,
    #[error("not a word of this line, or the second of its kind")]
    UnknownWord,
    #[error("none of the values that this word takes")]
    UnknownValue,
    #[error("no such event")]
    UnknownEvent,
    #[error("no such action")]
    UnknownAction,
    #[error("no such part of the status")]
    UnknownStatus,
    #[error("no handler of this name is set up before")]
    UnknownHandler,
    #[error("not a number")]
    NotANumber,
    #[error("not a duration such as 250ms or 1.5s")]
    NotADuration,
    #[error("not a repetition such as x20/50ms")]
    NotARepetition,
    #[error("not a range such as 3 or 3..5")]
    NotARange,
    #[error("not a comparison, < or >")]
    NotAComparison,
    #[error("followed by no {0}")]
    Missing(&'static str),
    #[error("set up after the first event")]
    LateSetup,
    #[error("checked before the first event")]
    EarlyCheck,
}

impl WordError {
    pub(crate) fn new(word: &str, problem: Problem) -> WordError {
        WordError {
            word: word.to_string(),
            problem,
        }
    }

    pub(crate) fn at(self, file: &str, line: usize) -> ScriptError {
        ScriptError {
            file: file.to_string(),
            line,
            word: self.word,
            problem: self.problem,
        }
    }
}
