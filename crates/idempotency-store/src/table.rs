//! The table of durable results: the runs recovered from earlier incarnations, and the records that
//! the current incarnation has to write.
//!
//! [`DurableResults`] holds the recovered runs, the batch of records to be committed next, and the
//! limits on disk and memory. The caller reports the events of the current incarnation and the
//! outcome of each commit, and passes in the time. The table performs no I/O and reads no clock.

use crate::error::IntentError;
use crate::limits::{DiskUsage, ResultMemory};
use crate::record::{AttemptId, INTENT_BYTES, IdempotencyKey, KEY_RECORD_BYTES, Record};
use crate::recovery::{RecoveredRun, Recovery, RunState};
use crate::write_ahead_log::LogEntry;
use madderbay::time::{Duration, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Number of a record in the order in which records are committed, starting at 1.
pub type SequenceNumber = u64;

/// Disk space needed for an intent, in bytes: its own record and the shortest record that can end
/// its run.
const INTENT_RESERVATION_BYTES: u64 = (INTENT_BYTES + KEY_RECORD_BYTES) as u64;
/// Time for which a recovered run is remembered after its expiration, for attempts that are read
/// late.
const LATE_ATTEMPT_GRACE: Duration = Duration::from_millis(10_000);

/// What earlier incarnations recorded about an idempotent request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Nothing was recorded, so the request may run.
    NotFound,
    /// The run of the request returned this result.
    Completed(Box<[u8]>),
    /// The request ran or may have run, and no result is available. It must not run again.
    NoResult,
    /// The key was used with another handler or body.
    Mismatch,
}

/// Size of the table in memory and on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Number of requests recovered from earlier incarnations.
    pub recovered_runs: usize,
    /// Bytes on disk, including those of records whose commit has not been reported yet.
    pub disk_bytes: u64,
}

/// Counts of events since the table was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Number of lookups that returned a result.
    pub results_returned: u64,
    /// Number of lookups of a run without an available result.
    pub results_unavailable: u64,
    /// Number of intents that were recorded.
    pub intents_recorded: u64,
    /// Number of intents that were rejected.
    pub intents_rejected: u64,
    /// Number of commits that failed.
    pub commit_failures: u64,
}

/// Records to be committed together (group commit).
#[derive(Debug)]
pub struct Batch {
    /// Sequence number of the last entry.
    pub last: SequenceNumber,
    /// The entries in the order of their sequence numbers.
    pub entries: Vec<LogEntry>,
}

/// A run of an earlier incarnation.
struct RecoveredEntry {
    request_hash: u64,
    expires_at: Timestamp,
    attempt_id: AttemptId,
    state: RunState,
}

/// The result of a recovered run whose record is not durable yet. Lookups return the result only
/// once it is.
struct PendingResult {
    sequence: SequenceNumber,
    key: IdempotencyKey,
    result: Box<[u8]>,
}

/// A batch that was taken by the caller and whose commit has not been reported yet.
struct BatchInFlight {
    last: SequenceNumber,
    bytes: u64,
}

/// The durable results as one incarnation of the server sees them.
pub struct DurableResults {
    recovered: HashMap<IdempotencyKey, RecoveredEntry>,
    /// Keys of the recovered runs whose result may still be reported, by the attempt that started
    /// the run.
    unresolved: HashMap<AttemptId, IdempotencyKey>,
    /// Expiration times of the recovered runs, earliest first.
    expirations: BTreeSet<(Timestamp, IdempotencyKey)>,
    pending_results: VecDeque<PendingResult>,
    next_batch: Vec<LogEntry>,
    batches_in_flight: VecDeque<BatchInFlight>,
    last_sequence: SequenceNumber,
    disk: DiskUsage,
    memory: ResultMemory,
    /// Whether the last commit failed and the storage has not recovered since.
    storage_failed: bool,
    counters: Counters,
}

impl DurableResults {
    /// Creates an empty table. `memory_limit_bytes` bounds the results of earlier incarnations that
    /// are held in memory, and `disk_limit_bytes` bounds the size of all segments.
    pub fn new(memory_limit_bytes: usize, disk_limit_bytes: u64) -> DurableResults {
        DurableResults {
            recovered: HashMap::new(),
            unresolved: HashMap::new(),
            expirations: BTreeSet::new(),
            pending_results: VecDeque::new(),
            next_batch: vec![],
            batches_in_flight: VecDeque::new(),
            last_sequence: 0,
            disk: DiskUsage::new(disk_limit_bytes),
            memory: ResultMemory::new(memory_limit_bytes),
            storage_failed: false,
            counters: Counters::default(),
        }
    }

    /// Loads the runs of earlier incarnations, those that expire last first. A result that does not
    /// fit in memory is dropped, and its request has no available result from then on.
    pub fn load_recovery(&mut self, recovery: Recovery) {
        self.disk.set_stored(recovery.size_bytes);
        let mut runs: Vec<_> = recovery.runs.into_iter().collect();
        runs.sort_by_key(|(key, run)| (Reverse(run.expires_at_micros), *key));
        for (key, run) in runs {
            self.load_run(key, run);
        }
    }

    fn load_run(&mut self, key: IdempotencyKey, run: RecoveredRun) {
        let expires_at = Timestamp::from_micros(run.expires_at_micros) + LATE_ATTEMPT_GRACE;
        let state = match run.state {
            RunState::Completed(result) if !self.memory.fits(&result) => RunState::NoResult,
            state => state,
        };
        match &state {
            RunState::Completed(result) => self.memory.add(result),
            RunState::MayHaveRun => {
                self.unresolved.insert(run.attempt_id, key);
            }
            RunState::NoResult => {}
        }
        let RecoveredRun {
            request_hash,
            attempt_id,
            ..
        } = run;
        self.expirations.insert((expires_at, key));
        self.recovered.insert(
            key,
            RecoveredEntry {
                request_hash,
                expires_at,
                attempt_id,
                state,
            },
        );
    }

    /// Returns the size of the table in memory and on disk.
    pub fn usage(&self) -> Usage {
        Usage {
            recovered_runs: self.recovered.len(),
            disk_bytes: self.disk.total_bytes(),
        }
    }

    /// Returns the counts of events since the table was created.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns what earlier incarnations recorded about a request.
    pub fn lookup(&mut self, key: IdempotencyKey, request_hash: u64) -> Lookup {
        let Some(entry) = self.recovered.get(&key) else {
            return Lookup::NotFound;
        };
        if entry.request_hash != request_hash {
            return Lookup::Mismatch;
        }
        match &entry.state {
            RunState::Completed(result) => {
                self.counters.results_returned += 1;
                Lookup::Completed(result.clone())
            }
            RunState::MayHaveRun | RunState::NoResult => {
                self.counters.results_unavailable += 1;
                Lookup::NoResult
            }
        }
    }

    /// Checks whether one more intent may be recorded. A rejection is counted.
    ///
    /// # Errors
    ///
    /// Returns [`IntentError::StorageUnavailable`] after a failed commit, and
    /// [`IntentError::DiskLimitReached`] if the record of the intent and the record that ends its
    /// run do not fit within the disk limit.
    pub fn admit_intent(&mut self) -> Result<(), IntentError> {
        let error = if self.storage_failed {
            IntentError::StorageUnavailable
        } else if !self.disk.fits(INTENT_RESERVATION_BYTES) {
            IntentError::DiskLimitReached
        } else {
            return Ok(());
        };
        self.counters.intents_rejected += 1;
        Err(error)
    }

    /// Records the intent to run a request and returns the sequence number of the record. The run
    /// may be sent once the record is durable.
    pub fn record_intent(
        &mut self,
        key: IdempotencyKey,
        request_hash: u64,
        attempt_id: AttemptId,
        expires_at: Timestamp,
    ) -> SequenceNumber {
        self.counters.intents_recorded += 1;
        let expires_at_micros = unix_micros(expires_at);
        let record = Record::Intent {
            key,
            request_hash,
            expires_at_micros,
            attempt_id,
        };
        self.enqueue(record, expires_at)
    }

    /// Records that a run ended and returns the sequence number of the record. The response may be
    /// sent once the record is durable. The result is dropped if it does not fit within the
    /// fraction of the disk limit that results may fill.
    pub fn record_result(
        &mut self,
        key: IdempotencyKey,
        result: Option<&[u8]>,
        expires_at: Timestamp,
    ) -> SequenceNumber {
        let record = match result.filter(|result| self.disk.fits_result(result)) {
            Some(result) => Record::Completed {
                key,
                result: result.into(),
            },
            None => Record::NoResult { key },
        };
        self.enqueue(record, expires_at)
    }

    /// Records that the run of an intent was never sent or never started, so that a later attempt
    /// may run. Returns the sequence number of the record.
    pub fn record_not_run(&mut self, key: IdempotencyKey, expires_at: Timestamp) -> SequenceNumber {
        self.enqueue(Record::NotRun { key }, expires_at)
    }

    /// Records the end of a run of an earlier incarnation. Lookups return its result once the
    /// record is durable. Returns false if the attempt did not start a run that still awaits its
    /// result.
    pub fn complete_recovered_run(
        &mut self,
        attempt_id: &AttemptId,
        result: Option<&[u8]>,
    ) -> bool {
        let Some(key) = self.unresolved.remove(attempt_id) else {
            return false;
        };
        let Some(entry) = self.recovered.get_mut(&key) else {
            return false;
        };
        entry.state = RunState::NoResult;
        let expires_at = entry.expires_at;
        // A result that is not recorded is not used as an answer either, because it would be lost
        // at the next restart.
        let result = result.filter(|r| self.memory.fits(r) && self.disk.fits_result(r));
        let sequence = self.record_result(key, result, expires_at);
        if let Some(result) = result {
            self.memory.add(result);
            self.pending_results.push_back(PendingResult {
                sequence,
                key,
                result: result.into(),
            });
        }
        true
    }

    /// Takes all records that are to be committed next. Returns `None` if there are none.
    pub fn take_batch(&mut self) -> Option<Batch> {
        if self.next_batch.is_empty() {
            return None;
        }
        let entries = std::mem::take(&mut self.next_batch);
        let last = self.last_sequence;
        let bytes = entries.iter().map(|e| e.record.size_bytes() as u64).sum();
        self.batches_in_flight
            .push_back(BatchInFlight { last, bytes });
        Some(Batch { last, entries })
    }

    /// Handles a successful commit: all records up to `sequence` are durable, and the segments now
    /// have a total size of `disk_bytes`.
    pub fn on_committed(&mut self, sequence: SequenceNumber, disk_bytes: u64) {
        self.disk.set_stored(disk_bytes);
        self.release_batches(sequence);
        self.storage_failed = false;
        while let Some(pending) = self.pop_pending_result(sequence) {
            match self.recovered.get_mut(&pending.key) {
                Some(entry) => entry.state = RunState::Completed(pending.result),
                None => self.memory.release(&pending.result),
            }
        }
    }

    /// Handles a failed commit: the records up to `sequence` that were not committed before do not
    /// count as durable.
    pub fn on_commit_failed(&mut self, sequence: SequenceNumber) {
        self.storage_failed = true;
        self.release_batches(sequence);
        self.counters.commit_failures += 1;
        while let Some(pending) = self.pop_pending_result(sequence) {
            self.memory.release(&pending.result);
        }
    }

    /// Handles the recovery of the storage: it can be written again, and the segments now have a
    /// total size of `disk_bytes`.
    pub fn on_storage_recovered(&mut self, disk_bytes: u64) {
        self.storage_failed = false;
        self.disk.set_stored(disk_bytes);
    }

    /// Removes the recovered runs that have expired at `now`.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some(&(expires_at, key)) = self.expirations.first()
            && expires_at <= now
        {
            self.expirations.pop_first();
            let Some(entry) = self.recovered.remove(&key) else {
                continue;
            };
            self.unresolved.remove(&entry.attempt_id);
            if let RunState::Completed(result) = &entry.state {
                self.memory.release(result);
            }
        }
    }

    /// Adds a record to the next batch and returns its sequence number.
    fn enqueue(&mut self, record: Record, expires_at: Timestamp) -> SequenceNumber {
        self.disk.add_pending(record.size_bytes() as u64);
        let expires_at_micros = unix_micros(expires_at);
        self.next_batch.push(LogEntry {
            record,
            expires_at_micros,
        });
        self.last_sequence += 1;
        self.last_sequence
    }

    /// Stops counting the bytes of the batches up to a sequence number as pending.
    fn release_batches(&mut self, up_to: SequenceNumber) {
        while let Some(batch) = self
            .batches_in_flight
            .pop_front_if(|batch| batch.last <= up_to)
        {
            self.disk.remove_pending(batch.bytes);
        }
    }

    /// Removes and returns the first pending result if the sequence number of its record is at most
    /// `up_to`.
    fn pop_pending_result(&mut self, up_to: SequenceNumber) -> Option<PendingResult> {
        self.pending_results
            .pop_front_if(|pending| pending.sequence <= up_to)
    }
}

/// Converts a timestamp to Unix microseconds, the representation of times in records.
fn unix_micros(timestamp: Timestamp) -> u64 {
    (timestamp - Timestamp::from_micros(0)).as_micros()
}
