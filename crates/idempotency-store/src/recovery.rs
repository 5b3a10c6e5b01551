//! Recovery: rebuilds the state of each idempotent request from the segments of earlier
//! incarnations. The storage is only read, never changed.

use crate::error::StoreError;
use crate::record::{AttemptId, IdempotencyKey, Record};
use crate::segment::{self, Header, Records};
use crate::storage::{self, Storage};
use std::collections::HashMap;
use std::collections::hash_map::Entry;

/// The last recorded state of a run of an earlier incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Only its intent was recorded, so it may have run.
    MayHaveRun,
    /// The run returned this result.
    Completed(Box<[u8]>),
    /// The run ended, but no result is available.
    NoResult,
}

/// A run that an earlier incarnation recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredRun {
    /// Hash of the handler and the body of the request.
    pub request_hash: u64,
    /// Time until which the run must be remembered, in Unix microseconds.
    pub expires_at_micros: u64,
    /// The attempt that started the run.
    pub attempt_id: AttemptId,
    /// The last recorded state of the run.
    pub state: RunState,
}

/// Name and size of a segment that recovery read.
#[derive(Debug)]
pub(crate) struct SegmentFile {
    pub(crate) name: String,
    pub(crate) size_bytes: u64,
}

/// The runs that earlier incarnations recorded, with statistics of the segments read.
#[derive(Debug, Default)]
pub struct Recovery {
    /// The runs that started or may have started, by the key of their request.
    pub runs: HashMap<IdempotencyKey, RecoveredRun>,
    /// Number of segments read.
    pub segments: usize,
    /// Total size of all segments, in bytes.
    pub size_bytes: u64,
    /// Number of complete records in all segments.
    pub records: u64,
    /// Number of segments with a torn end: trailing bytes that are not a complete record.
    pub torn_segments: usize,
    /// Total size of all torn ends, in bytes.
    pub torn_bytes: u64,
    /// The segments in ascending order of their numbers, which is the order of writing.
    pub(crate) segment_files: Vec<SegmentFile>,
}

/// Recovers the runs recorded in all segments of a storage. Files that do not have the name of a
/// segment are skipped.
///
/// # Errors
///
/// Returns [`StoreError::List`] or [`StoreError::ReadSegment`] if the storage fails, and
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

    /// Replays all complete records of a segment and returns the number of torn bytes after them.
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

    /// Replays an intent. If the last record of the key is also an intent, both belong to the same
    /// run: the new intent replaces the earlier one, except that the later expiration time applies.
    /// If the run has already ended, the intent is ignored, so that the recorded state of that run
    /// is not lost.
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

    /// Sets the state of a run. A result without an intent is ignored.
    fn set_state(&mut self, key: IdempotencyKey, state: RunState) {
        if let Some(run) = self.runs.get_mut(&key) {
            run.state = state;
        }
    }

    /// Removes the run of an intent that never started. A run that has ended is not affected.
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
