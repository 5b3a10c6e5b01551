//! What the log stands on: a folder of files that are appended to. One on the file system, one in memory that
//! loses, cuts and tears what was not synced, and fails when it is told to.

use std::collections::{BTreeMap, HashMap};
use std::fs::{File, OpenOptions};
use std::io::{Error, ErrorKind, Result, Write};
use std::path::{Path, PathBuf};

pub trait Storage {
    /// The names of all files, in order.
    fn list(&self) -> Result<Vec<String>>;
    fn read(&self, name: &str) -> Result<Vec<u8>>;
    /// Adds to the end of a file, which is made if there is none. Not lasting before `sync`.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// What was appended to a file, and that it is there, lasts from now on.
    fn sync(&mut self, name: &str) -> Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;
    fn remove(&mut self, name: &str) -> Result<()>;
}

/// A folder on the file system, locked for this process.
pub struct DirectoryStorage {
    folder: PathBuf,
    open: HashMap<String, File>,
    /// DirectoryStorage made since the folder itself was synced.
    fresh: bool,
    _lock: Option<File>,
}

const LOCK: &str = "lock";

impl DirectoryStorage {
    /// Opens a folder that is there; says in one line why it can't be.
    pub fn open(folder: &Path) -> std::result::Result<DirectoryStorage, String> {
        let told = |e: Error| format!("{}: {e}", folder.display());
        if !folder.metadata().map_err(told)?.is_dir() {
            return Err(format!("{}: is no folder", folder.display()));
        }
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join(LOCK));
        let lock = lock.map_err(told)?;
        lock.try_lock()
            .map_err(|_| format!("{}: another process has it", folder.display()))?;
        Ok(DirectoryStorage {
            folder: folder.into(),
            open: HashMap::new(),
            fresh: false,
            _lock: Some(lock),
        })
    }

    /// A folder to be read only, whoever else has it.
    pub fn open_read_only(folder: &Path) -> DirectoryStorage {
        DirectoryStorage {
            folder: folder.into(),
            open: HashMap::new(),
            fresh: false,
            _lock: None,
        }
    }
}

impl Storage for DirectoryStorage {
    fn list(&self) -> Result<Vec<String>> {
        let mut names = vec![];
        for entry in std::fs::read_dir(&self.folder)? {
            if let Ok(name) = entry?.file_name().into_string()
                && name != LOCK
            {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        std::fs::read(self.folder.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        if !self.open.contains_key(name) {
            let file = OpenOptions::new()
                .create(true)
                .append(true)
                .open(self.folder.join(name))?;
            self.open.insert(name.into(), file);
            self.fresh = true;
        }
        self.open
            .get_mut(name)
            .ok_or(ErrorKind::NotFound)?
            .write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.open
            .get(name)
            .ok_or(ErrorKind::NotFound)?
            .sync_data()?;
        if self.fresh {
            File::open(&self.folder)?.sync_all()?;
            self.fresh = false;
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.open.remove(from);
        std::fs::rename(self.folder.join(from), self.folder.join(to))?;
        File::open(&self.folder)?.sync_all()
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.open.remove(name);
        std::fs::remove_file(self.folder.join(name))
    }
}

/// How a file in memory fares in a crash, beyond what was synced.
#[derive(Clone, Copy, Debug)]
pub enum Crash {
    /// Nothing of it is left.
    Lost,
    /// So many bytes are left.
    Cut(usize),
    /// As many bytes are there, all from this one on nulls.
    Nulls(usize),
    /// As many bytes are there, this one changed.
    Torn(usize),
}

#[derive(Clone, Debug, Default)]
struct Kept {
    lasting: Vec<u8>,
    loose: Vec<u8>,
    /// That it is there at all lasts.
    known: bool,
}

/// A folder in memory.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    files: BTreeMap<String, Kept>,
    /// Operations left until one fails, and then all; nothing where none does.
    pub fails_after: Option<usize>,
    /// Bytes that may be stored in all.
    pub room: Option<usize>,
    pub syncs: u64,
}

impl Memory {
    /// What is there after a crash. `loose` tells what becomes of each file's bytes that were not synced.
    pub fn crashed(&self, mut loose: impl FnMut(&str, &[u8]) -> Crash) -> Memory {
        let mut left = Memory::default();
        for (name, file) in &self.files {
            let mut bytes = file.lasting.clone();
            let crash = loose(name, &file.loose);
            if matches!(crash, Crash::Lost) && !file.known {
                continue;
            }
            match crash {
                Crash::Lost => {}
                Crash::Cut(n) => bytes.extend_from_slice(&file.loose[..n.min(file.loose.len())]),
                Crash::Nulls(n) => {
                    bytes.extend_from_slice(&file.loose[..n.min(file.loose.len())]);
                    bytes.resize(file.lasting.len() + file.loose.len(), 0);
                }
                Crash::Torn(n) => {
                    bytes.extend_from_slice(&file.loose);
                    if let Some(byte) = bytes.get_mut(file.lasting.len() + n) {
                        *byte ^= 0x55;
                    }
                }
            }
            left.files.insert(
                name.clone(),
                Kept {
                    lasting: bytes,
                    loose: vec![],
                    known: true,
                },
            );
        }
        left
    }

    /// Cuts a file as it lasts to so many bytes, as a broken disk would.
    pub fn cut(&mut self, name: &str, len: usize) {
        if let Some(file) = self.files.get_mut(name) {
            file.lasting.truncate(len);
        }
    }

    fn step(&mut self) -> Result<()> {
        match &mut self.fails_after {
            Some(0) => Err(Error::other("told to fail")),
            Some(n) => {
                *n -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

impl Storage for Memory {
    fn list(&self) -> Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        let file = self.files.get(name).ok_or(ErrorKind::NotFound)?;
        Ok([file.lasting.clone(), file.loose.clone()].concat())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.step()?;
        let used: usize = self
            .files
            .values()
            .map(|f| f.lasting.len() + f.loose.len())
            .sum();
        let room = self.room.map_or(usize::MAX, |r| r.saturating_sub(used));
        let file = self.files.entry(name.into()).or_default();
        // What fits is written before the disk is found full.
        file.loose
            .extend_from_slice(&bytes[..bytes.len().min(room)]);
        if bytes.len() > room {
            Err(ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.step()?;
        self.syncs += 1;
        let file = self.files.get_mut(name).ok_or(ErrorKind::NotFound)?;
        let loose = std::mem::take(&mut file.loose);
        file.lasting.extend_from_slice(&loose);
        file.known = true;
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.step()?;
        let file = self.files.remove(from).ok_or(ErrorKind::NotFound)?;
        self.files.insert(to.into(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.step()?;
        self.files
            .remove(name)
            .map(|_| ())
            .ok_or_else(|| ErrorKind::NotFound.into())
    }
}
