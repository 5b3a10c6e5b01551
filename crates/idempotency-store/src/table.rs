//! The table of durable results: what an incarnation knows from earlier ones, and what it writes.
//!
//! [`DurableResults`] owns the runs recovered from earlier incarnations, the batch of records to be
//! committed next, and the limits on disk and memory. It is given recovered state, events of the
//! current incarnation and the outcome of each commit. It never does I/O and never reads a clock.

use crate::error::IntentError;
use crate::limits::{DiskUsage, ResultMemory};
use crate::record::{AttemptId, INTENT_BYTES, IdempotencyKey, KEY_RECORD_BYTES, Record};
use crate::recovery::{RecoveredRun, Recovery, RunState};
use crate::write_ahead_log::LogEntry;
use madderbay::time::{Duration, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Numbers the records handed out to be committed, in order, from 1.
pub type SequenceNumber = u64;

/// Disk bytes reserved for an intent: its record and the shortest record that ends its run.
const INTENT_RESERVATION_BYTES: u64 = (INTENT_BYTES + KEY_RECORD_BYTES) as u64;
/// How long a recovered run is remembered after its window, for attempts that are read late.
const LATE_ATTEMPT_GRACE: Duration = Duration::from_millis(10_000);

/// What is known of an idempotent request from earlier incarnations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Nothing; the request may run.
    NotFound,
    /// Its run returned this result.
    Completed(Box<[u8]>),
    /// It ran, or may have run, and no result is available. It must not run again.
    NoResult,
    /// The key was used with another handler or body.
    Mismatch,
}

/// Sizes of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Number of requests known from earlier incarnations.
    pub recovered_runs: usize,
    /// Bytes on disk and on their way to it.
    pub disk_bytes: u64,
}

/// Events since the table was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Lookups that returned a result.
    pub results_returned: u64,
    /// Lookups of a run without an available result.
    pub results_unavailable: u64,
    /// Recorded intents.
    pub intents_recorded: u64,
    /// Intents that were rejected.
    pub intents_rejected: u64,
    /// Failed commits.
    pub commit_failures: u64,
}

/// Records to be committed together.
#[derive(Debug)]
pub struct Batch {
    /// Sequence number of the last entry.
    pub last: SequenceNumber,
    /// The entries in order.
    pub entries: Vec<LogEntry>,
}

/// A run of an earlier incarnation.
struct RecoveredEntry {
    request_hash: u64,
    expires_at: Timestamp,
    attempt_id: AttemptId,
    state: RunState,
}

/// A result of a recovered run that is returned once its record is durable.
struct PendingResult {
    sequence: SequenceNumber,
    key: IdempotencyKey,
    result: Box<[u8]>,
}

/// A batch that was taken, and of which no commit was reported yet.
struct BatchInFlight {
    last: SequenceNumber,
    bytes: u64,
}

/// The durable results of one incarnation.
pub struct DurableResults {
    recovered: HashMap<IdempotencyKey, RecoveredEntry>,
    /// The recovered runs whose result may still be reported, by the attempt that started them.
    unresolved: HashMap<AttemptId, IdempotencyKey>,
    expirations: BTreeSet<(Timestamp, IdempotencyKey)>,
    pending_results: VecDeque<PendingResult>,
    next_batch: Vec<LogEntry>,
    batches_in_flight: VecDeque<BatchInFlight>,
    last_sequence: SequenceNumber,
    disk: DiskUsage,
    memory: ResultMemory,
    storage_failed: bool,
    counters: Counters,
}

impl DurableResults {
    /// Creates an empty table. `memory_limit_bytes` bounds the results of earlier incarnations in
    /// memory, `disk_limit_bytes` all segments.
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

    /// Takes over the runs of earlier incarnations. Results that do not fit in memory are dropped,
    /// those that expire first before the others; their requests have no result from then on.
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

    /// Sizes of the table.
    pub fn usage(&self) -> Usage {
        Usage {
            recovered_runs: self.recovered.len(),
            disk_bytes: self.disk.total_bytes(),
        }
    }

    /// Events since the table was created.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Looks up what earlier incarnations recorded for a request.
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

    /// Checks whether one more intent may be recorded, and counts a rejection.
    ///
    /// # Errors
    ///
    /// [`IntentError::StorageUnavailable`] after a failed commit,
    /// [`IntentError::DiskLimitReached`] if the intent and its end do not fit on the disk.
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

    /// Records the intent to run a request. The run may be sent once the returned number is
    /// durable.
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

    /// Records that a run ended. Its response may be sent once the returned number is durable. The
    /// result is dropped if it does not fit in the part of the disk that results may use.
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
    /// may run.
    pub fn record_not_run(&mut self, key: IdempotencyKey, expires_at: Timestamp) -> SequenceNumber {
        self.enqueue(Record::NotRun { key }, expires_at)
    }

    /// Takes the result of a run of an earlier incarnation, which is returned by lookups once it is
    /// durable. Returns false if no such run is unresolved.
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
        // What the record can't hold is no answer either: after the next restart it would be gone.
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

    /// Takes all records that are to be committed next.
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

    /// All records up to a sequence number are durable; the segments have `disk_bytes` now.
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

    /// The commit of all records up to a sequence number failed; none of them counts as durable.
    pub fn on_commit_failed(&mut self, sequence: SequenceNumber) {
        self.storage_failed = true;
        self.release_batches(sequence);
        self.counters.commit_failures += 1;
        while let Some(pending) = self.pop_pending_result(sequence) {
            self.memory.release(&pending.result);
        }
    }

    /// The storage can be written again; the segments have `disk_bytes` now.
    pub fn on_storage_recovered(&mut self, disk_bytes: u64) {
        self.storage_failed = false;
        self.disk.set_stored(disk_bytes);
    }

    /// Removes the runs of earlier incarnations that have expired.
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

    /// The bytes of the batches up to a sequence number are no longer on their way to the disk.
    fn release_batches(&mut self, up_to: SequenceNumber) {
        while let Some(batch) = self
            .batches_in_flight
            .pop_front_if(|batch| batch.last <= up_to)
        {
            self.disk.remove_pending(batch.bytes);
        }
    }

    fn pop_pending_result(&mut self, up_to: SequenceNumber) -> Option<PendingResult> {
        self.pending_results
            .pop_front_if(|pending| pending.sequence <= up_to)
    }
}

/// A time as it is stored, in Unix microseconds.
fn unix_micros(timestamp: Timestamp) -> u64 {
    (timestamp - Timestamp::from_micros(0)).as_micros()
}
