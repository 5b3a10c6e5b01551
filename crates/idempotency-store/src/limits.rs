//! The limits of durable results on disk and in memory.
//!
//! This module owns the sums of bytes. It never measures the disk; it is given each change.

/// Part of the disk limit past which results are dropped, so that intents still fit.
const RESULTS_DISK_FRACTION: f64 = 0.75;

/// Bytes of the log on disk, with those on their way to it, and their limit.
pub(crate) struct DiskUsage {
    stored_bytes: u64,
    pending_bytes: u64,
    limit_bytes: u64,
}

impl DiskUsage {
    pub(crate) fn new(limit_bytes: u64) -> DiskUsage {
        DiskUsage {
            stored_bytes: 0,
            pending_bytes: 0,
            limit_bytes,
        }
    }

    /// Bytes stored and pending.
    pub(crate) fn total_bytes(&self) -> u64 {
        self.stored_bytes + self.pending_bytes
    }

    /// Whether this many more bytes stay within the limit.
    pub(crate) fn fits(&self, bytes: u64) -> bool {
        self.total_bytes() + bytes <= self.limit_bytes
    }

    /// Whether a result stays within the part of the disk that results may use.
    pub(crate) fn fits_result(&self, result: &[u8]) -> bool {
        let limit_bytes = (self.limit_bytes as f64 * RESULTS_DISK_FRACTION) as u64;
        self.total_bytes() + result.len() as u64 <= limit_bytes
    }

    pub(crate) fn add_pending(&mut self, bytes: u64) {
        self.pending_bytes += bytes;
    }

    pub(crate) fn remove_pending(&mut self, bytes: u64) {
        self.pending_bytes -= bytes;
    }

    pub(crate) fn set_stored(&mut self, bytes: u64) {
        self.stored_bytes = bytes;
    }
}

/// Bytes of results in memory and their limit.
pub(crate) struct ResultMemory {
    used_bytes: usize,
    limit_bytes: usize,
}

impl ResultMemory {
    pub(crate) fn new(limit_bytes: usize) -> ResultMemory {
        ResultMemory {
            used_bytes: 0,
            limit_bytes,
        }
    }

    /// Whether one more result stays within the limit.
    pub(crate) fn fits(&self, result: &[u8]) -> bool {
        self.used_bytes + result.len() <= self.limit_bytes
    }

    pub(crate) fn add(&mut self, result: &[u8]) {
        self.used_bytes += result.len();
    }

    pub(crate) fn release(&mut self, result: &[u8]) {
        self.used_bytes -= result.len();
    }
}
