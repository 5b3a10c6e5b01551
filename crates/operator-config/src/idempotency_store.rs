//! Settings of the idempotency store, which keeps the results of requests with an idempotency key
//! across restarts (`[kept-results]`).

use crate::error::Problem;
use crate::file::OperatorFile;
use crate::keys::{ENABLED, NumberKey, WordKey};
use std::path::PathBuf;

const DIRECTORY: &str = "directory";
const DISK_MB: NumberKey<usize> = NumberKey {
    name: "disk_mb",
    range: 1..=MAX_MB,
    default: 64,
};
const MEMORY_MB: NumberKey<usize> = NumberKey {
    name: "memory_mb",
    range: 1..=MAX_MB,
    default: 16,
};
const SYNC: WordKey<bool> = WordKey {
    name: "sync",
    words: &[("grouped", true), ("each", false)],
    default: true,
};
const KEYS: &[&str] = &[
    DIRECTORY,
    DISK_MB.name,
    ENABLED.name,
    MEMORY_MB.name,
    SYNC.name,
];

/// Upper bound on sizes: 1 TiB in MiB, more than any server gives the store.
const MAX_MB: usize = 1 << 20;

/// Settings of the idempotency store.
#[derive(Clone, Debug, PartialEq)]
pub struct IdempotencyStoreConfig {
    /// Directory of the store, which must exist and must not be used by another process.
    pub directory: PathBuf,
    /// Maximum memory for results of earlier incarnations, in MiB.
    pub memory_mb: usize,
    /// Maximum size of all files together, in MiB.
    pub disk_mb: usize,
    /// Whether all waiting records share one sync to disk; otherwise each record is synced on its
    /// own.
    pub grouped: bool,
}

/// Reads `[kept-results]`.
pub(crate) fn read(file: &mut OperatorFile) -> Option<IdempotencyStoreConfig> {
    let section = file.take_one("kept-results", KEYS)?;
    let enabled = file.word(&section, &ENABLED);
    let directory = section.get(DIRECTORY).unwrap_or("");
    if enabled && directory.is_empty() {
        file.key_error(&section, DIRECTORY, Problem::NoDirectory);
    }
    let store = IdempotencyStoreConfig {
        directory: directory.into(),
        memory_mb: file.number(&section, MEMORY_MB),
        disk_mb: file.number(&section, DISK_MB),
        grouped: file.word(&section, &SYNC),
    };
    enabled.then_some(store)
}
