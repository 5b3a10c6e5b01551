//! The write-ahead log: a sequence of segments, each of which is removed as a whole once all its
//! records have expired.
//!
//! The log decides when a segment is closed and when it is removed. It never appends to a segment
//! of an earlier incarnation, so incomplete records occur only at the end of a segment. It reads no
//! clock; the caller passes in the current time.

use crate::error::StoreError;
use crate::record::Record;
use crate::recovery::{Recovery, SegmentFile, recover};
use crate::segment;
use crate::storage::Storage;
use std::collections::VecDeque;
use std::io;

/// Number of segments that fill the disk limit: a segment is closed once it reaches 1/16 of the
/// limit, so that expired records are removed from the disk soon.
const SEGMENTS_PER_DISK_LIMIT: u64 = 16;
/// Number of segments per retention period: a segment is closed once it is half a retention period
/// old, so that expired records are removed from the disk soon.
const SEGMENTS_PER_RETENTION: u64 = 2;
/// Lower bound on the size in bytes at which a segment is closed.
const MIN_SEGMENT_SIZE_BYTES: u64 = 4 << 10;
/// Lower bound on the age in microseconds at which a segment is closed.
const MIN_SEGMENT_AGE_MICROS: u64 = 1;

/// A record to be written, and the time until which it must be stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// The record.
    pub record: Record,
    /// Time until which the record must be stored, in Unix microseconds.
    pub expires_at_micros: u64,
}

/// Size and retention limits of a log.
#[derive(Clone, Copy, Debug)]
pub struct LogLimits {
    /// Upper bound on the total size of all segments, in bytes. The log only derives the size of
    /// its segments from it; [`DurableResults`](crate::DurableResults) enforces it.
    pub disk_bytes: u64,
    /// Longest period in which a client may send a key again, in microseconds.
    pub retention_micros: u64,
}

struct Segment {
    name: String,
    size_bytes: u64,
    /// Time at which all records of the segment have expired, in Unix microseconds.
    expires_at_micros: u64,
}

/// The segment to which records are appended.
struct ActiveSegment {
    segment: Segment,
    /// Time at which the segment is closed even if it is not full, in Unix microseconds.
    close_at_micros: u64,
}

/// A write-ahead log in the files of a storage.
pub struct WriteAheadLog<S: Storage> {
    storage: S,
    /// Segments that are no longer appended to, oldest first.
    closed: VecDeque<Segment>,
    active: Option<ActiveSegment>,
    next_segment_number: u64,
    segment_size_limit_bytes: u64,
    segment_age_limit_micros: u64,
}

impl<S: Storage> WriteAheadLog<S> {
    /// Opens the log of earlier incarnations and returns it with the runs they recorded.
    ///
    /// Stored expiration times are not trusted, because the clock may be stepped between
    /// incarnations. Instead, every recovered run expires one full retention period after
    /// `now_micros`, which is in Unix microseconds.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`recover`].
    pub fn open(
        storage: S,
        now_micros: u64,
        limits: LogLimits,
    ) -> Result<(WriteAheadLog<S>, Recovery), StoreError> {
        let mut recovery = recover(&storage)?;
        let expires_at_micros = now_micros.saturating_add(limits.retention_micros);
        for run in recovery.runs.values_mut() {
            run.expires_at_micros = expires_at_micros;
        }
        let files = std::mem::take(&mut recovery.segment_files);
        let size_limit = limits.disk_bytes / SEGMENTS_PER_DISK_LIMIT;
        let age_limit = limits.retention_micros / SEGMENTS_PER_RETENTION;
        let log = WriteAheadLog {
            storage,
            next_segment_number: next_number(files.last()),
            closed: files
                .into_iter()
                .map(|file| file.into_segment(expires_at_micros))
                .collect(),
            active: None,
            segment_size_limit_bytes: size_limit.max(MIN_SEGMENT_SIZE_BYTES),
            segment_age_limit_micros: age_limit.max(MIN_SEGMENT_AGE_MICROS),
        };
        Ok((log, recovery))
    }

    /// Returns the total size of all segments, in bytes.
    pub fn size_bytes(&self) -> u64 {
        let closed: u64 = self.closed.iter().map(|segment| segment.size_bytes).sum();
        closed
            + self
                .active
                .as_ref()
                .map_or(0, |active| active.segment.size_bytes)
    }

    /// Appends entries to the log and makes them durable with a single sync (group commit).
    /// `now_micros` is in Unix microseconds.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the storage. It is then unknown which of the entries are durable,
    /// and the next commit begins a new segment.
    pub fn commit(&mut self, now_micros: u64, entries: &[LogEntry]) -> io::Result<()> {
        self.close_full_or_old_segment(now_micros);
        let mut bytes = vec![];
        let mut active = match self.active.take() {
            Some(active) => active,
            None => self.begin_segment(now_micros, &mut bytes),
        };
        let segment = &mut active.segment;
        for entry in entries {
            entry.record.encode(&mut bytes);
            segment.expires_at_micros = segment.expires_at_micros.max(entry.expires_at_micros);
        }
        segment.size_bytes += bytes.len() as u64;
        let committed = self.append_and_sync(&segment.name, &bytes);
        if committed.is_ok() {
            self.active = Some(active);
        } else {
            // Some records of the failed commit may be durable, so the segment stays until they
            // have expired, like any other closed segment.
            self.closed.push_back(active.segment);
        }
        committed
    }

    /// Removes segments whose records have all expired, oldest first, up to the first segment with
    /// a record that has not. `now_micros` is in Unix microseconds. If a segment cannot be removed,
    /// it stays, and the next call tries again.
    pub fn remove_expired_segments(&mut self, now_micros: u64) {
        while let Some(segment) = self.closed.front()
            && segment.expires_at_micros < now_micros
        {
            if let Err(error) = self.storage.remove(&segment.name)
                && error.kind() != io::ErrorKind::NotFound
            {
                return;
            }
            self.closed.pop_front();
        }
    }

    /// Returns the storage of the log.
    pub fn storage(&self) -> &S {
        &self.storage
    }

    /// Returns the storage of the log for writing, so that tests can inject failures.
    pub fn storage_mut(&mut self) -> &mut S {
        &mut self.storage
    }

    /// Closes the active segment if it has reached its size or age limit, or if the clock has been
    /// stepped back to before the segment was begun.
    fn close_full_or_old_segment(&mut self, now_micros: u64) {
        let size_limit = self.segment_size_limit_bytes;
        let age_limit = self.segment_age_limit_micros;
        let must_close = |active: &mut ActiveSegment| {
            active.segment.size_bytes >= size_limit
                || now_micros >= active.close_at_micros
                || now_micros + age_limit < active.close_at_micros
        };
        if let Some(active) = self.active.take_if(must_close) {
            self.closed.push_back(active.segment);
        }
    }

    /// Begins a segment and appends its header to `buffer`.
    fn begin_segment(&mut self, now_micros: u64, buffer: &mut Vec<u8>) -> ActiveSegment {
        let name = segment::file_name(self.next_segment_number);
        self.next_segment_number += 1;
        segment::write_segment_header(buffer);
        ActiveSegment {
            segment: Segment {
                name,
                size_bytes: 0,
                expires_at_micros: 0,
            },
            close_at_micros: now_micros + self.segment_age_limit_micros,
        }
    }

    fn append_and_sync(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.storage.append(name, bytes)?;
        self.storage.sync(name)
    }
}

impl SegmentFile {
    fn into_segment(self, expires_at_micros: u64) -> Segment {
        Segment {
            name: self.name,
            size_bytes: self.size_bytes,
            expires_at_micros,
        }
    }
}

/// Returns the number of the segment that follows the last one, or 0 if there is none.
fn next_number(last: Option<&SegmentFile>) -> u64 {
    let number = last.and_then(|file| segment::parse_file_name(&file.name));
    number.map_or(0, |number| number + 1)
}
