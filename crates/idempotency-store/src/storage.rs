//! Storage of the write-ahead log: a flat set of named, append-only files.
//!
//! `DirectoryStorage` stores the files in a directory of the file system. `MemoryStorage` simulates
//! crashes and I/O failures in tests. A storage does not interpret the names or the contents of its
//! files.

mod directory;
mod memory;

pub use directory::DirectoryStorage;
pub use memory::{CrashEffect, MemoryStorage};

use crate::error::StoreError;
use std::io;

/// A flat set of files with explicit durability.
///
/// If [`append`](Storage::append) or [`sync`](Storage::sync) fails, it is unknown which of the
/// bytes are durable.
pub trait Storage {
    /// Returns the names of all files in ascending order.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the storage.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns all bytes of a file.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the storage; [`io::ErrorKind::NotFound`] if the file does not
    /// exist.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Appends bytes to a file, which is created if it does not exist. The bytes are not durable
    /// until [`sync`](Storage::sync) has succeeded.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the storage.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes a file and all bytes appended to it durable. The file must have been appended to
    /// before.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the storage.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the storage; [`io::ErrorKind::NotFound`] if the file does not
    /// exist.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the storage; [`io::ErrorKind::NotFound`] if the file does not
    /// exist.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// Returns all bytes of a segment. An error contains the file name of the segment.
pub(crate) fn read_segment(storage: &impl Storage, name: &str) -> Result<Vec<u8>, StoreError> {
    storage
        .read(name)
        .map_err(|source| StoreError::ReadSegment {
            segment: name.into(),
            source,
        })
}
