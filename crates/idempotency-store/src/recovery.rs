//! Recovery: what the segments of earlier incarnations say about each idempotent request.
//!
//! This module is given a storage, reads it and never changes it.

use crate::error::StoreError;
use crate::record::{AttemptId, IdempotencyKey, Record};
use crate::segment::{self, Header, Records};
use crate::storage::{self, Storage};
use std::collections::HashMap;
use std::collections::hash_map::Entry;

/// Last known state of a run of an earlier incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Its intent was recorded and nothing after it, so it may have run.
    MayHaveRun,
    /// It returned this result.
    Completed(Box<[u8]>),
    /// It ended and no result is available.
    NoResult,
}

/// A run that an earlier incarnation recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredRun {
    /// Hash of the handler and the body.
    pub request_hash: u64,
    /// Until when the run must be remembered, in Unix microseconds.
    pub expires_at_micros: u64,
    /// The attempt that started the run.
    pub attempt_id: AttemptId,
    /// Last known state.
    pub state: RunState,
}

/// A segment that recovery read.
#[derive(Debug)]
pub(crate) struct SegmentFile {
    pub(crate) name: String,
    pub(crate) size_bytes: u64,
}

/// What earlier incarnations left.
#[derive(Debug, Default)]
pub struct Recovery {
    /// The runs that are not known to have never started.
    pub runs: HashMap<IdempotencyKey, RecoveredRun>,
    /// Number of segments.
    pub segments: usize,
    /// Bytes of all segments.
    pub size_bytes: u64,
    /// Number of complete records.
    pub records: u64,
    /// Number of segments that end in bytes that are no complete record.
    pub torn_segments: usize,
    /// Bytes of all torn ends together.
    pub torn_bytes: u64,
    /// The segments in ascending order of their numbers.
    pub(crate) segment_files: Vec<SegmentFile>,
}

/// Reads all segments of a storage. Other files are skipped.
///
/// # Errors
///
/// [`StoreError::List`] or [`StoreError::ReadSegment`] if the storage fails,
/// [`StoreError::NewerVersion`] or [`StoreError::ForeignFile`] for a segment that this program
/// cannot read.
pub fn recover(storage: &impl Storage) -> Result<Recovery, StoreError> {
    let mut recovery = Recovery::default();
    for name in storage.list().map_err(StoreError::List)? {
        if segment::parse_file_name(&name).is_some() {
            recovery.read_segment(storage, name)?;
        }
    }
    Ok(recovery)
}

impl Recovery {
    fn read_segment(&mut self, storage: &impl Storage, name: String) -> Result<(), StoreError> {
        let bytes = storage::read_segment(storage, &name)?;
        let torn_bytes = match Header::read(&bytes) {
            Header::Valid => self.replay_segment(&bytes),
            Header::Torn => bytes.len(),
            Header::Newer(version) => {
                return Err(StoreError::NewerVersion {
                    segment: name,
                    version,
                });
            }
            Header::Foreign => return Err(StoreError::ForeignFile { segment: name }),
        };
        let size_bytes = bytes.len() as u64;
        self.segments += 1;
        self.size_bytes += size_bytes;
        self.segment_files.push(SegmentFile { name, size_bytes });
        self.torn_segments += usize::from(torn_bytes > 0);
        self.torn_bytes += torn_bytes as u64;
        Ok(())
    }

    /// Replays all complete records of a segment and returns the torn bytes after them.
    fn replay_segment(&mut self, bytes: &[u8]) -> usize {
        let mut records = Records::of_segment(bytes);
        for record in records.by_ref() {
            self.records += 1;
            self.replay(record);
        }
        records.remaining_bytes()
    }

    fn replay(&mut self, record: Record) {
        match record {
            Record::Intent {
                key,
                request_hash,
                expires_at_micros,
                attempt_id,
            } => {
                let state = RunState::MayHaveRun;
                let run = RecoveredRun {
                    request_hash,
                    expires_at_micros,
                    attempt_id,
                    state,
                };
                self.replay_intent(key, run);
            }
            Record::Completed { key, result } => self.set_state(key, RunState::Completed(result)),
            Record::NoResult { key } => self.set_state(key, RunState::NoResult),
            Record::NotRun { key } => self.replay_not_run(key),
        }
    }

    /// An intent that follows another one without an end between them belongs to the same run. An
    /// intent after an end does not replace what is known of the run that ended.
    fn replay_intent(&mut self, key: IdempotencyKey, run: RecoveredRun) {
        match self.runs.entry(key) {
            Entry::Vacant(entry) => {
                entry.insert(run);
            }
            Entry::Occupied(mut entry) if entry.get().state == RunState::MayHaveRun => {
                let expires_at_micros = entry.get().expires_at_micros.max(run.expires_at_micros);
                entry.insert(RecoveredRun {
                    expires_at_micros,
                    ..run
                });
            }
            Entry::Occupied(_) => {}
        }
    }

    /// A result without an intent is ignored.
    fn set_state(&mut self, key: IdempotencyKey, state: RunState) {
        if let Some(run) = self.runs.get_mut(&key) {
            run.state = state;
        }
    }

    fn replay_not_run(&mut self, key: IdempotencyKey) {
        if self
            .runs
            .get(&key)
            .is_some_and(|run| run.state == RunState::MayHaveRun)
        {
            self.runs.remove(&key);
        }
    }
}
