//! Errors of the store. Each displays as the one line that an operator is shown.

use crate::segment::FORMAT_VERSION;
use std::io;
use std::path::PathBuf;

/// Why a directory of durable results cannot be opened or read.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The directory or its lock file cannot be opened.
    #[error("{}: {source}", directory.display())]
    OpenDirectory {
        /// The directory to be opened.
        directory: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The path exists and is not a directory.
    #[error("{}: is no folder", directory.display())]
    NotADirectory {
        /// The path to be opened.
        directory: PathBuf,
    },
    /// Another process has the lock of the directory.
    #[error("{}: another process has it", directory.display())]
    Locked {
        /// The directory to be opened.
        directory: PathBuf,
    },
    /// The lock of the directory cannot be taken, though no other process has it.
    #[error("{}: cannot be locked: {source}", directory.display())]
    Lock {
        /// The directory to be opened.
        directory: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The files of the storage cannot be listed.
    #[error(transparent)]
    List(io::Error),
    /// A segment cannot be read.
    #[error("{segment}: {source}")]
    ReadSegment {
        /// File name of the segment.
        segment: String,
        /// The cause.
        source: io::Error,
    },
    /// A segment was written in a format newer than this program's.
    #[error("{segment}: is of version {version}; this program knows {FORMAT_VERSION}")]
    NewerVersion {
        /// File name of the segment.
        segment: String,
        /// Format version of the segment.
        version: u16,
    },
    /// A file has the name of a segment and other content.
    #[error("{segment}: is no segment of kept results")]
    ForeignFile {
        /// File name of the segment.
        segment: String,
    },
}

/// Why no intent can be recorded now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IntentError {
    /// The disk limit is reached by records that have not expired.
    #[error("the disk limit of durable results is reached")]
    DiskLimitReached,
    /// The last commit failed.
    #[error("durable results cannot be written")]
    StorageUnavailable,
}
