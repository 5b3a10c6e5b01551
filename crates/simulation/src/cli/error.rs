//! The errors of commands.

use madderbay_simulation::HistoryError;
use plotters::drawing::DrawingAreaErrorKind;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The error of drawing a plot to a file.
pub(crate) type DrawingError = DrawingAreaErrorKind<io::Error>;

/// The reason why a command failed, as one line for the operator.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// A file or folder cannot be read or written.
    #[error("{}: {source}", .path.display())]
    File { path: PathBuf, source: io::Error },
    /// A plot cannot be drawn or written.
    #[error("{}: {source}", .path.display())]
    Plot { path: PathBuf, source: DrawingError },
    /// A history is invalid.
    #[error(transparent)]
    History(#[from] HistoryError),
    /// The figures cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A random history needs a larger fleet.
    #[error("at least two servers and one backend are required")]
    FleetTooSmall,
    /// The mixes of faults need more servers.
    #[error("at least four servers are required")]
    FleetTooSmallForTable,
    /// The history that is to be shrunk violates no invariant.
    #[error("{}: violates no invariant with seed {seed}", .path.display())]
    NothingViolated { path: PathBuf, seed: u64 },
}

impl CommandError {
    /// Returns a function that adds the path of a file or folder to an I/O error.
    pub(crate) fn at(path: &Path) -> impl FnOnce(io::Error) -> CommandError {
        move |source| CommandError::File {
            path: path.into(),
            source,
        }
    }
}
