//! Accounting of the bytes that durable results use on disk and in memory, against their limits.
//!
//! The disk is never measured here; callers report every change.

/// Fraction of the disk limit that results may fill. Results beyond it are dropped, so that
/// intents still fit.
const RESULTS_DISK_FRACTION: f64 = 0.75;

/// Tracks the bytes of the log, both on disk and waiting to be committed, against the disk limit.
pub(crate) struct DiskUsage {
    /// Bytes of all segments on disk.
    stored_bytes: u64,
    /// Bytes of records whose commit has not been reported yet.
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

    /// Returns the stored and the pending bytes together.
    pub(crate) fn total_bytes(&self) -> u64 {
        self.stored_bytes + self.pending_bytes
    }

    /// Reports whether `bytes` more bytes fit within the limit.
    pub(crate) fn fits(&self, bytes: u64) -> bool {
        self.total_bytes() + bytes <= self.limit_bytes
    }

    /// Reports whether `result` fits within the fraction of the disk limit that results may fill.
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

/// Tracks the bytes of results held in memory against the memory limit.
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

    /// Reports whether `result` fits within the limit in addition to the results held.
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
