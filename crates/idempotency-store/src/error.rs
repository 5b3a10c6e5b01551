//! Errors of the store. Each one is displayed to the operator as a single line.

use crate::segment::FORMAT_VERSION;
use std::io;
use std::path::PathBuf;

/// The reason why a directory of durable results cannot be opened or read.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The directory or its lock file cannot be opened.
    #[error("{}: {source}", directory.display())]
    OpenDirectory {
        /// The directory that was to be opened.
        directory: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The path exists but is not a directory.
    #[error("{}: not a directory", directory.display())]
    NotADirectory {
        /// The path that was to be opened.
        directory: PathBuf,
    },
    /// Another process holds the lock of the directory.
    #[error("{}: another process has it", directory.display())]
    Locked {
        /// The directory that was to be opened.
        directory: PathBuf,
    },
    /// The lock of the directory cannot be acquired, although no other process holds it.
    #[error("{}: cannot be locked: {source}", directory.display())]
    Lock {
        /// The directory that was to be opened.
        directory: PathBuf,
        /// The I/O error.
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
        /// The I/O error.
        source: io::Error,
    },
    /// The format version of a segment is newer than this program supports.
    #[error("{segment}: is of version {version}; this program knows {FORMAT_VERSION}")]
    NewerVersion {
        /// File name of the segment.
        segment: String,
        /// Format version of the segment.
        version: u16,
    },
    /// A file has the name of a segment, but its content is not a segment.
    #[error("{segment}: not a segment of durable results")]
    ForeignFile {
        /// Name of the file.
        segment: String,
    },
}

/// The reason why no intent can be recorded at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum IntentError {
    /// Records that have not expired use up the disk limit.
    #[error("the disk limit of durable results is reached")]
    DiskLimitReached,
    /// The last commit failed.
    #[error("durable results cannot be written")]
    StorageUnavailable,
}
