//! Storage in a directory of the file system.

use super::Storage;
use crate::error::StoreError;
use std::collections::HashMap;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

/// Name of the lock file, which the process that writes to the directory keeps locked. The file is
/// not listed.
const LOCK_FILE_NAME: &str = "lock";

/// Storage in a directory. At most one process at a time can open it for writing.
pub struct DirectoryStorage {
    directory: PathBuf,
    /// Files that were appended to, by name.
    open_files: HashMap<String, File>,
    /// Whether a file may have been created since the directory was last synced, so that its
    /// directory entry may not be durable.
    has_unsynced_entries: bool,
    /// Holds the lock until the storage is dropped. `None` if the directory was opened read-only.
    _lock: Option<File>,
}

impl DirectoryStorage {
    /// Opens an existing directory for writing and locks it.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::OpenDirectory`] if the directory or its lock file cannot be opened,
    /// [`StoreError::NotADirectory`] if the path is not a directory, [`StoreError::Locked`] if
    /// another process holds the lock, and [`StoreError::Lock`] if the lock cannot be acquired for
    /// another reason.
    pub fn open(directory: &Path) -> Result<DirectoryStorage, StoreError> {
        let open_error = |source| StoreError::OpenDirectory {
            directory: directory.into(),
            source,
        };
        if !directory.metadata().map_err(open_error)?.is_dir() {
            return Err(StoreError::NotADirectory {
                directory: directory.into(),
            });
        }
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(directory.join(LOCK_FILE_NAME))
            .map_err(open_error)?;
        lock.try_lock()
            .map_err(|error| lock_error(directory, error))?;
        Ok(DirectoryStorage::with_lock(directory, Some(lock)))
    }

    /// Opens a directory for reading only, without acquiring the lock. Another process may have it
    /// open for writing. A missing directory is reported by the first method that reads from it.
    pub fn open_read_only(directory: &Path) -> DirectoryStorage {
        DirectoryStorage::with_lock(directory, None)
    }

    fn with_lock(directory: &Path, lock: Option<File>) -> DirectoryStorage {
        DirectoryStorage {
            directory: directory.into(),
            open_files: HashMap::new(),
            has_unsynced_entries: false,
            _lock: lock,
        }
    }
}

/// Returns the error for a lock that could not be acquired.
fn lock_error(directory: &Path, error: TryLockError) -> StoreError {
    let directory = directory.into();
    match error {
        TryLockError::WouldBlock => StoreError::Locked { directory },
        TryLockError::Error(source) => StoreError::Lock { directory, source },
    }
}

impl Storage for DirectoryStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = vec![];
        for entry in std::fs::read_dir(&self.directory)? {
            if let Ok(name) = entry?.file_name().into_string()
                && name != LOCK_FILE_NAME
            {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        std::fs::read(self.directory.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if !self.open_files.contains_key(name) {
            let path = self.directory.join(name);
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            self.open_files.insert(name.into(), file);
            self.has_unsynced_entries = true;
        }
        self.open_files
            .get_mut(name)
            .ok_or(ErrorKind::NotFound)?
            .write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_files
            .get(name)
            .ok_or(ErrorKind::NotFound)?
            .sync_data()?;
        if self.has_unsynced_entries {
            File::open(&self.directory)?.sync_all()?;
            self.has_unsynced_entries = false;
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_files.remove(from);
        std::fs::rename(self.directory.join(from), self.directory.join(to))?;
        File::open(&self.directory)?.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
        std::fs::remove_file(self.directory.join(name))
    }
}

#[cfg(test)]
mod tests;
