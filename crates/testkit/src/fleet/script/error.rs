//! Errors of parsing a script, of playing a script, and of a single action.

use madderbay::time::Duration;
use thiserror::Error;

/// Error of parsing a script. It is displayed as one line with the file and line number.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: '{word}': {expected}")]
pub struct ScriptError {
    /// Name of the script.
    pub file: String,
    /// Line number, from 1.
    pub line: usize,
    /// The invalid word, or the keyword of a line with the wrong arguments.
    pub word: String,
    /// What the parser expected in its place.
    pub expected: Expected,
}

/// What the parser expected in place of an invalid word.
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
    /// `on` or `off`.
    #[error("on or off is expected")]
    Switch,
    /// The name of one of the servers.
    #[error("a server is expected, as in n1")]
    Server,
    /// The state of a member, or `unknown`.
    #[error("a state is expected: joining, alive, suspect, draining, down, left or unknown")]
    State,
    /// How much of the fleet a server receives from.
    #[error("complete, partial or isolated is expected")]
    Connectivity,
    /// An assignment.
    #[error("KEY=VALUE is expected")]
    Assignment,
    /// A key of `set`.
    #[error("unknown key, or a key that needs capacity= before it")]
    Key,
    /// The keyword of a line.
    #[error("unknown keyword")]
    Keyword,
    /// The keyword's arguments in the given form.
    #[error("the expected form is: {0}")]
    Line(&'static str),
}

/// Error of an action.
#[derive(Debug, Error)]
pub enum ActionError {
    /// The server does not run.
    #[error("the server does not run")]
    NotRunning,
    /// The server was started without an operator file.
    #[error("the server has no operator file")]
    NoOperatorFile,
    /// The server's operator file can't be read or written.
    #[error(transparent)]
    OperatorFile(#[from] std::io::Error),
    /// Only simulated fleets support the action.
    #[error("the action is for simulated fleets only")]
    SimulatedOnly,
    /// More calls were in flight than a check allows.
    #[error("{peak} calls were in flight at once, more than {most}")]
    TooManyCalls {
        /// Maximum number of calls in flight.
        peak: u64,
        /// Maximum that the check allows.
        most: u32,
    },
    /// Servers were declared down although they ran and were connected.
    #[error("servers that ran and were connected were declared down {count} times")]
    WronglyDown {
        /// Number of wrong declarations.
        count: usize,
    },
}

/// Error of playing a script. It is displayed as one line with the line number.
#[derive(Debug, Error)]
pub enum ScriptFailure {
    /// An action failed.
    #[error("line {line}: {error}")]
    Action {
        /// Line number, from 1.
        line: usize,
        /// Error of the action.
        error: ActionError,
    },
    /// A condition did not hold within its time limit.
    #[error("line {line}: the condition did not hold within {} s: {unmet}", term.as_secs_f64())]
    Timeout {
        /// Line number, from 1.
        line: usize,
        /// Time limit of the condition.
        term: Duration,
        /// Why the condition did not hold at the last check.
        unmet: String,
    },
}
