//! Errors in the text of a history.

use crate::fault::Fault;
use thiserror::Error;

/// An error in the text of a history, and its location.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum HistoryError {
    /// A line does not match the grammar.
    #[error("{source_name}:{line}: {error}")]
    Line {
        /// The name of the text, as the caller passed it.
        source_name: String,
        /// The line number, counted from 1.
        line: usize,
        /// The error in the line.
        error: LineError,
    },
    /// A fault names a server or backend that the history does not have.
    #[error("{source_name}: '{fault}' names a server or backend that does not exist")]
    OutOfRange {
        /// The name of the text, as the caller passed it.
        source_name: String,
        /// The first such fault.
        fault: Fault,
    },
}

/// An error in one line. Each variant about an invalid word holds that word.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum LineError {
    /// The line ends where a number must follow.
    #[error("expected a number")]
    MissingNumber,
    /// The line ends where a server must follow.
    #[error("expected the name of a server")]
    MissingServer,
    /// A word is not a number of the expected type.
    #[error("invalid number '{0}'")]
    InvalidNumber(String),
    /// A word is not the name of a server.
    #[error("invalid server name '{0}'")]
    InvalidServer(String),
    /// The first word of the line is unknown.
    #[error("unknown keyword '{0}'")]
    UnknownLine(String),
    /// The word after the time is not a fault.
    #[error("unknown fault '{0}'")]
    UnknownFault(String),
    /// The word after the number of a backend is not a state of a backend.
    #[error("unknown backend state '{0}'")]
    UnknownBackendFault(String),
    /// The word after `parts` is not a feature.
    #[error("unknown part '{0}'")]
    UnknownFeature(String),
    /// The word after `plant` is not a known defect.
    #[error("unknown defect '{0}'")]
    UnknownDefect(String),
}
