//! Why a command ends early.

use madderbay_simulation::HistoryError;
use plotters::drawing::DrawingAreaErrorKind;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The error of the plots, which are written to files.
pub(crate) type DrawingError = DrawingAreaErrorKind<io::Error>;

/// Why a command ends early, as one line for the operator.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// A file or folder cannot be read or written.
    #[error("{}: {source}", .path.display())]
    File { path: PathBuf, source: io::Error },
    /// A plot cannot be drawn or written.
    #[error("{}: {source}", .path.display())]
    Plot { path: PathBuf, source: DrawingError },
    /// A history is wrong.
    #[error(transparent)]
    History(#[from] HistoryError),
    /// The figures cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A history cannot be drawn for a fleet this small.
    #[error("at least two servers and one backend are wanted")]
    FleetTooSmall,
    /// The mixes of faults need more servers.
    #[error("at least four servers are wanted")]
    FleetTooSmallForTable,
    /// A history is to be shrunk that violates no invariant.
    #[error("{}: breaks nothing under seed {seed}", .path.display())]
    NothingViolated { path: PathBuf, seed: u64 },
}

impl CommandError {
    /// Names the file or folder in an error.
    pub(crate) fn at(path: &Path) -> impl FnOnce(io::Error) -> CommandError {
        move |source| CommandError::File {
            path: path.into(),
            source,
        }
    }
}
