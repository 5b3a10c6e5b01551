//! In-memory storage for tests that simulates crashes, full disks and I/O failures.

use super::Storage;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

/// Bits that are flipped in a corrupted byte.
const CORRUPTION_MASK: u8 = 0x55;

/// Effect of a crash on the unsynced bytes of one file.
#[derive(Clone, Copy, Debug)]
pub enum CrashEffect {
    /// All unsynced bytes are lost. A file that was never synced no longer exists.
    Lost,
    /// Only the first unsynced bytes, as many as given, remain.
    Truncated(usize),
    /// The file keeps its full length, but the unsynced bytes from this index on are zero.
    Zeroed(usize),
    /// All unsynced bytes remain, but the one at this index is changed.
    Corrupted(usize),
}

#[derive(Clone, Debug, Default)]
struct MemoryFile {
    durable: Vec<u8>,
    unsynced: Vec<u8>,
    /// Whether the directory entry of the file is durable.
    entry_is_durable: bool,
}

impl MemoryFile {
    fn len(&self) -> usize {
        self.durable.len() + self.unsynced.len()
    }

    /// Returns the content of the file after a crash.
    fn after_crash(&self, effect: CrashEffect) -> Vec<u8> {
        let mut bytes = self.durable.clone();
        let unsynced_prefix = |n: usize| &self.unsynced[..n.min(self.unsynced.len())];
        match effect {
            CrashEffect::Lost => {}
            CrashEffect::Truncated(length) => bytes.extend_from_slice(unsynced_prefix(length)),
            CrashEffect::Zeroed(from) => {
                bytes.extend_from_slice(unsynced_prefix(from));
                bytes.resize(self.len(), 0);
            }
            CrashEffect::Corrupted(index) => {
                bytes.extend_from_slice(&self.unsynced);
                if let Some(byte) = bytes.get_mut(self.durable.len() + index) {
                    *byte ^= CORRUPTION_MASK;
                }
            }
        }
        bytes
    }
}

/// An in-memory replacement for a directory of files.
#[derive(Clone, Debug, Default)]
pub struct MemoryStorage {
    files: BTreeMap<String, MemoryFile>,
    /// Number of writing operations that still succeed before all further ones fail. `None` if no
    /// failure is injected.
    operations_until_failure: Option<usize>,
    /// Upper bound on the size of all files together. `None` if there is none.
    capacity_bytes: Option<usize>,
    sync_count: u64,
}

impl MemoryStorage {
    /// Lets the given number of writing operations succeed and fails all later ones. `None` ends
    /// the failure.
    pub fn fail_after(&mut self, operations: Option<usize>) {
        self.operations_until_failure = operations;
    }

    /// Sets the upper bound on the size of all files together. `None` removes the bound.
    pub fn set_capacity(&mut self, bytes: Option<usize>) {
        self.capacity_bytes = bytes;
    }

    /// Returns the number of syncs so far, without those that failed by injection.
    pub fn sync_count(&self) -> u64 {
        self.sync_count
    }

    /// Returns the storage as it is after a crash. `effect` is called with the name and the
    /// unsynced bytes of each file, in ascending order of names.
    #[must_use]
    pub fn after_crash(&self, mut effect: impl FnMut(&str, &[u8]) -> CrashEffect) -> MemoryStorage {
        let mut remaining = MemoryStorage::default();
        for (name, file) in &self.files {
            let effect = effect(name, &file.unsynced);
            if matches!(effect, CrashEffect::Lost) && !file.entry_is_durable {
                continue;
            }
            let durable = file.after_crash(effect);
            let file = MemoryFile {
                durable,
                unsynced: vec![],
                entry_is_durable: true,
            };
            remaining.files.insert(name.clone(), file);
        }
        remaining
    }

    /// Truncates the durable content of a file to `length` bytes, as a damaged disk might.
    pub fn truncate(&mut self, name: &str, length: usize) {
        if let Some(file) = self.files.get_mut(name) {
            file.durable.truncate(length);
        }
    }

    /// Counts a writing operation, or fails it if a failure is injected.
    fn begin_operation(&mut self) -> io::Result<()> {
        match &mut self.operations_until_failure {
            Some(0) => Err(io::Error::other("injected failure")),
            Some(operations) => {
                *operations -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn free_bytes(&self) -> usize {
        let used: usize = self.files.values().map(MemoryFile::len).sum();
        self.capacity_bytes
            .map_or(usize::MAX, |capacity| capacity.saturating_sub(used))
    }
}

impl Storage for MemoryStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let file = self.files.get(name).ok_or(ErrorKind::NotFound)?;
        Ok([file.durable.clone(), file.unsynced.clone()].concat())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.begin_operation()?;
        let free = self.free_bytes();
        let file = self.files.entry(name.into()).or_default();
        // A full disk writes the bytes that still fit before it reports the error.
        file.unsynced
            .extend_from_slice(&bytes[..bytes.len().min(free)]);
        if bytes.len() > free {
            Err(ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.begin_operation()?;
        self.sync_count += 1;
        let file = self.files.get_mut(name).ok_or(ErrorKind::NotFound)?;
        file.durable.append(&mut file.unsynced);
        file.entry_is_durable = true;
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.begin_operation()?;
        let file = self.files.remove(from).ok_or(ErrorKind::NotFound)?;
        self.files.insert(to.into(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.begin_operation()?;
        self.files
            .remove(name)
            .map(|_| ())
            .ok_or_else(|| ErrorKind::NotFound.into())
    }
}
