//! The errors of scripts: of parsing one, of playing one, and of a single action.

use madderbay::time::Duration;
use thiserror::Error;

/// Why a script can't be parsed. Displays as one line with the place.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: '{word}': {expected}")]
pub struct ScriptError {
    /// The name of the script.
    pub file: String,
    /// The line number, from 1.
    pub line: usize,
    /// The word that was not understood, or the keyword of a line that has too many or too few.
    pub word: String,
    /// What can stand in its place.
    pub expected: Expected,
}

/// What a script was expected to have in the place of a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Expected {
    /// A time.
    #[error("a time is expected, as in 8s or 40ms")]
    Time,
    /// A whole number.
    #[error("a number is expected")]
    Number,
    /// A fraction of all datagrams.
    #[error("a fraction from 0 to 1 is expected")]
    Fraction,
    /// Whether something is on.
    #[error("on or off is expected")]
    Switch,
    /// The name of one of the servers.
    #[error("a server is expected, as in n1")]
    Server,
    /// The state of a member.
    #[error("a state is expected: joining, alive, suspect, draining, down, left or unknown")]
    State,
    /// How much of the fleet a server receives from.
    #[error("complete, partial or isolated is expected")]
    Connectivity,
    /// An assignment.
    #[error("KEY=VALUE is expected")]
    Assignment,
    /// A key of `set`.
    #[error("no such key, or one that needs capacity= before it")]
    Key,
    /// The keyword of a line.
    #[error("no such step")]
    Keyword,
    /// The arguments of a keyword.
    #[error("the line has to read: {0}")]
    Line(&'static str),
}

/// Why an action failed.
#[derive(Debug, Error)]
pub enum ActionError {
    /// The server does not run.
    #[error("it does not run")]
    NotRunning,
    /// The server was started without an operator file.
    #[error("it has no operator file")]
    NoOperatorFile,
    /// The server's operator file can't be read or written.
    #[error(transparent)]
    OperatorFile(#[from] std::io::Error),
    /// Only simulated fleets can do it.
    #[error("is for simulated fleets")]
    SimulatedOnly,
    /// More calls than allowed were in flight.
    #[error("{peak} calls were in flight, more than {most}")]
    TooManyCalls {
        /// The most calls in flight.
        peak: u64,
        /// The most that are allowed.
        most: u32,
    },
    /// Servers that ran and were connected were declared down.
    #[error("{count} were declared down while they ran")]
    WronglyDown {
        /// How many.
        count: usize,
    },
}

/// Why a play of a script failed. Displays as one line with the place.
#[derive(Debug, Error)]
pub enum ScriptFailure {
    /// An action failed.
    #[error("line {line}: {error}")]
    Action {
        /// The line number, from 1.
        line: usize,
        /// Why it failed.
        error: ActionError,
    },
    /// A condition did not hold within its term.
    #[error("line {line}: not within {} s: {unmet}", term.as_secs_f64())]
    Timeout {
        /// The line number, from 1.
        line: usize,
        /// The time within which it had to hold.
        term: Duration,
        /// What was still missing.
        unmet: String,
    },
}
