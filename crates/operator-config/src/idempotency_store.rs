//! Results of keyed reqs that outlast a restart: `[kept-results]`.

use crate::file::File;
use std::path::PathBuf;

const KEYS: [&str; 5] = ["directory", "disk_mb", "enabled", "memory_mb", "sync"];
const MB_MOST: usize = 1 << 20;

#[derive(Clone, Debug, PartialEq)]
pub struct KeptResults {
    /// A folder that is there and is this server's own.
    pub directory: PathBuf,
    pub memory_mb: usize,
    pub disk_mb: usize,
    /// Whether all that wait share a sync, or each has its own.
    pub grouped: bool,
}

pub(crate) fn read(file: &mut File) -> Option<KeptResults> {
    let s = file.take_one("kept-results", &KEYS)?;
    let enabled = file.switch(&s, "enabled", false);
    let directory = s.get("directory").unwrap_or("").to_string();
    if enabled && directory.is_empty() {
        file.wrong(&s, "directory", "has to name a folder");
    }
    let kept = KeptResults {
        directory: directory.into(),
        memory_mb: file.number(&s, "memory_mb", 1..=MB_MOST, 16),
        disk_mb: file.number(&s, "disk_mb", 1..=MB_MOST, 64),
        grouped: file.word(&s, "sync", &[("grouped", true), ("each", false)], true),
    };
    enabled.then_some(kept)
}
