//! Errors in scenario files and their positions.

use thiserror::Error;

/// An invalid word in a scenario file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: '{word}': {problem}")]
pub(crate) struct ScriptError {
    pub(crate) file: String,
    /// Line number, counted from 1.
    pub(crate) line: usize,
    pub(crate) word: String,
    pub(crate) problem: Problem,
}

/// An invalid word whose file and line are not known yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WordError {
    pub(crate) word: String,
    pub(crate) problem: Problem,
}

/// Why a word is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum Problem {
    #[error("no set-up line or check begins with this word")]
    UnknownLine,
    #[error("not allowed in this line, or repeated")]
    UnknownWord,
    #[error("not one of the permitted values")]
    UnknownValue,
    #[error("unknown event")]
    UnknownEvent,
    #[error("unknown action")]
    UnknownAction,
    #[error("unknown figure of the status")]
    UnknownStatus,
    #[error("no handler of this name has been set up")]
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
    #[error("must be followed by: {0}")]
    Missing(&'static str),
    #[error("set-up line after the first event")]
    LateSetup,
    #[error("check before the first event")]
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
