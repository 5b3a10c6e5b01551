//! What the write-ahead log is stored on: a flat set of named files that only grow at their ends.
//!
//! `DirectoryStorage` is the file system. `MemoryStorage` simulates crashes and failures in tests.
//! A storage is given names and bytes. It never looks into them.

mod directory;
mod memory;

pub use directory::DirectoryStorage;
pub use memory::{CrashEffect, MemoryStorage};

use crate::error::StoreError;
use std::io;

/// A flat set of files with explicit durability.
///
/// After an error of [`append`](Storage::append) or [`sync`](Storage::sync) it is unknown which of
/// the bytes are durable.
pub trait Storage {
    /// Returns the names of all files in ascending order.
    ///
    /// # Errors
    ///
    /// The I/O error of the storage.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns all bytes of a file.
    ///
    /// # Errors
    ///
    /// The I/O error of the storage; [`io::ErrorKind::NotFound`] if there is no such file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Adds bytes to the end of a file and creates the file if it does not exist. The bytes are not
    /// durable before [`sync`](Storage::sync).
    ///
    /// # Errors
    ///
    /// The I/O error of the storage.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes a file and all bytes appended to it durable. The file must have been appended to.
    ///
    /// # Errors
    ///
    /// The I/O error of the storage.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file.
    ///
    /// # Errors
    ///
    /// The I/O error of the storage; [`io::ErrorKind::NotFound`] if there is no such file.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// The I/O error of the storage; [`io::ErrorKind::NotFound`] if there is no such file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// Returns all bytes of a segment; an error names it.
pub(crate) fn read_segment(storage: &impl Storage, name: &str) -> Result<Vec<u8>, StoreError> {
    storage
        .read(name)
        .map_err(|source| StoreError::ReadSegment {
            segment: name.into(),
            source,
        })
}
