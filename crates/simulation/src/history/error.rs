//! Why a history is rejected.

use crate::fault::Fault;
use thiserror::Error;

/// What is wrong with the text of a history, and where.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum HistoryError {
    /// A line is not of the grammar.
    #[error("{source_name}:{line}: {error}")]
    Line {
        /// The name of the text, as the caller gave it.
        source_name: String,
        /// The line, counted from 1.
        line: usize,
        /// What is wrong with it.
        error: LineError,
    },
    /// A fault is injected into a server or backend beyond those of the history.
    #[error("{source_name}: '{fault}' names a server or a backend that there is not")]
    OutOfRange {
        /// The name of the text, as the caller gave it.
        source_name: String,
        /// The first such fault.
        fault: Fault,
    },
}

/// What is wrong with one line. Each variant holds the word that is wrong.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum LineError {
    /// The line ends where a number must follow.
    #[error("a number is wanted")]
    MissingNumber,
    /// The line ends where a server must follow.
    #[error("a server is wanted")]
    MissingServer,
    /// A word is not a number, or not one of the wanted kind.
    #[error("'{0}' is no number")]
    InvalidNumber(String),
    /// A word is not the name of a server.
    #[error("no such server {0}")]
    InvalidServer(String),
    /// The first word of the line is unknown.
    #[error("no such line {0}")]
    UnknownLine(String),
    /// The word after the time is not a fault.
    #[error("no such deed '{0}'")]
    UnknownFault(String),
    /// The word after the backend is not a state of one.
    #[error("a backend is not '{0}'")]
    UnknownBackendFault(String),
    /// The word after `parts` is not a part.
    #[error("no such part {0}")]
    UnknownFeature(String),
    /// The word after `plant` is not a known defect.
    #[error("no such fault {0}")]
    UnknownDefect(String),
}
