//! The run of each idempotency key: its state in this incarnation, and its records on disk.
//!
//! [`IdempotentRuns`] owns the table of keys, and the queue of durable results if the operator has
//! enabled these. It is notified of the stages of runs whose requests have a key and of the reports
//! of the writer thread, and states which runs and answers wait for the disk. It neither sends runs
//! nor answers requests.

use super::durability::{DurabilityQueue, PendingWork, StorageEvent};
use crate::downstream::idempotency_table::{
    FingerprintMismatch, IdempotencyKey, IdempotencyTable, JoinedAttempt, KeyWindow,
};
use crate::support::attempt_name::AttemptName;
use madderbay::interface::{HandlerId, Outcome};
use madderbay::time::Timestamp;
use madderbay_idempotency_store::{IntentError, Lookup};
use madderbay_settings::Settings;

/// What the idempotency store holds for an attempt that has just been read.
pub(super) enum StoredOutcome {
    /// Nothing: the attempt belongs to a request of this incarnation or to a new one.
    NotStored,
    /// The request is new, but no write-ahead record of its run can be made now.
    IntentNotAdmitted,
    /// An earlier incarnation ran the request, with this result.
    Completed(String),
    /// An earlier incarnation may have run the request, but there is no result of it.
    NoResult,
}

/// When the command to run a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunRelease {
    /// At once.
    Now,
    /// Once its write-ahead record is durable.
    OnceDurable,
}

/// Work that waited for records which are durable now or never will be.
pub(super) enum ReleasedWork {
    /// Work whose records are durable.
    Durable(Vec<PendingWork>),
    /// Work whose records can't be made durable.
    NotDurable(Vec<PendingWork>),
}

/// The runs of requests with an idempotency key.
pub(super) struct IdempotentRuns {
    table: IdempotencyTable,
    durability: Option<DurabilityQueue>,
}

/// Set-up and state.
impl IdempotentRuns {
    /// Creates a table without keys. Results are in memory only, where they take at most
    /// `max_cached_bytes`.
    pub(super) fn new(settings: &Settings, max_cached_bytes: usize) -> IdempotentRuns {
        IdempotentRuns {
            table: IdempotencyTable::new(settings, max_cached_bytes),
            durability: None,
        }
    }

    /// Makes results durable through `queue`.
    pub(super) fn set_durability(&mut self, queue: DurabilityQueue) {
        self.durability = Some(queue);
    }

    /// Returns the keys of this incarnation.
    pub(super) fn table(&self) -> &IdempotencyTable {
        &self.table
    }

    /// Returns the counters of durable results, one line each; none if results are in memory only.
    pub(super) fn counters(&self) -> String {
        self.durability
            .as_ref()
            .map_or(String::new(), DurabilityQueue::counters)
    }

    /// Removes expired keys and results.
    pub(super) fn expire(&mut self, now: Timestamp) {
        if let Some(durability) = &mut self.durability {
            durability.expire(now);
        }
        self.table.expire(now);
    }
}

/// Attempts.
impl IdempotentRuns {
    /// Looks up what an earlier incarnation recorded for a key that this one does not know.
    ///
    /// # Errors
    /// If the key was used with another handler or body.
    pub(super) fn stored_outcome(
        &mut self,
        key: IdempotencyKey,
        fingerprint: u64,
    ) -> Result<StoredOutcome, FingerprintMismatch> {
        let Some(durability) = &mut self.durability else {
            return Ok(StoredOutcome::NotStored);
        };
        if self.table.contains(key) {
            return Ok(StoredOutcome::NotStored);
        }
        match durability.lookup(key, fingerprint) {
            Lookup::Mismatch => Err(FingerprintMismatch),
            Lookup::NotFound if durability.admit_intent().is_ok() => Ok(StoredOutcome::NotStored),
            Lookup::NotFound => Ok(StoredOutcome::IntentNotAdmitted),
            Lookup::Completed(result) => {
                let result = String::from_utf8_lossy(&result).into_owned();
                Ok(StoredOutcome::Completed(result))
            }
            Lookup::NoResult => Ok(StoredOutcome::NoResult),
        }
    }

    /// Adds an attempt with its key, which is kept until the end of its window.
    pub(super) fn insert_key(
        &mut self,
        id: u64,
        key: IdempotencyKey,
        handler: HandlerId,
        window: KeyWindow,
    ) {
        self.table.insert(id, key, handler, window);
    }

    /// Removes the key whose newest attempt has this id. A further attempt with the key is a new
    /// request.
    pub(super) fn remove_key_of_newest_attempt(&mut self, id: u64) {
        self.table.remove_key_of_newest_attempt(id);
    }

    /// Joins an attempt to the run of its key.
    pub(super) fn join(&mut self, id: u64, key: Option<IdempotencyKey>) -> JoinedAttempt {
        self.table.join(id, key)
    }
}

/// Runs.
impl IdempotentRuns {
    /// Marks the run of a key as started. If results are durable, its intent is recorded before it
    /// is sent.
    ///
    /// # Errors
    /// If no intent can be recorded now.
    pub(super) fn begin_run(
        &mut self,
        now: Timestamp,
        id: u64,
        key: IdempotencyKey,
        attempt: AttemptName,
    ) -> Result<RunRelease, IntentError> {
        self.table.run_started(key);
        let Some(durability) = &mut self.durability else {
            return Ok(RunRelease::Now);
        };
        let window = self.table.window(key).unwrap_or(KeyWindow {
            fingerprint: 0,
            end: now,
        });
        durability.record_intent(id, key, window, attempt)?;
        Ok(RunRelease::OnceDurable)
    }

    /// Records that the run of a key has ended, with its result if it completed. Returns the
    /// attempts that joined it.
    pub(super) fn run_ended(&mut self, key: IdempotencyKey, result: Option<&str>) -> Vec<u64> {
        self.table.run_ended(key, result)
    }

    /// Records the result of a run. Returns whether its answer waits for the record; it does not if
    /// results are in memory only.
    pub(super) fn record_result(
        &mut self,
        now: Timestamp,
        id: u64,
        key: IdempotencyKey,
        result: Option<&str>,
    ) -> bool {
        let expiry = self.expiry(now, key);
        let Some(durability) = &mut self.durability else {
            return false;
        };
        durability.record_result(id, key, result, expiry);
        true
    }

    /// Records that the run of a key never took place, although its intent was recorded.
    pub(super) fn record_not_run(&mut self, now: Timestamp, key: IdempotencyKey) {
        let expiry = self.expiry(now, key);
        if let Some(durability) = &mut self.durability {
            durability.record_not_run(key, expiry);
        }
    }

    /// Returns when the window of a key ends, or `now` if the key is unknown.
    fn expiry(&self, now: Timestamp, key: IdempotencyKey) -> Timestamp {
        self.table.window(key).map_or(now, |window| window.end)
    }

    /// Handles the end of a run that this incarnation did not start. Returns whether it is a run of
    /// an earlier incarnation without a result so far; its outcome is recorded in that case.
    pub(super) fn complete_recovered_run(
        &mut self,
        attempt: &AttemptName,
        outcome: Outcome,
        result: Option<&str>,
    ) -> bool {
        let took_place = matches!(
            outcome,
            Outcome::Completed | Outcome::Failed | Outcome::Cancelled
        );
        let Some(durability) = &mut self.durability else {
            return false;
        };
        took_place && durability.complete_recovered_run(attempt, result.map(str::as_bytes))
    }
}

/// Durable storage.
impl IdempotentRuns {
    /// Sends all records that were not sent yet to the writer thread. Returns their failure if the
    /// thread has ended.
    pub(super) fn flush(&mut self) -> Option<StorageEvent> {
        self.durability.as_mut()?.flush()
    }

    /// Handles a report of the writer thread on how far records are durable. Returns the work that
    /// waited for these records.
    pub(super) fn storage_event(&mut self, event: StorageEvent) -> Option<ReleasedWork> {
        let durability = self.durability.as_mut()?;
        match event {
            StorageEvent::Recovered { disk_bytes } => {
                log::info!("idempotency-store: write recovered");
                durability.on_storage_recovered(disk_bytes);
                None
            }
            StorageEvent::Written {
                sequence,
                disk_bytes,
            } => {
                let released = durability.on_committed(sequence, disk_bytes);
                Some(ReleasedWork::Durable(released))
            }
            StorageEvent::Failed { sequence, error } => {
                log::error!("idempotency-store: write failed, error={error}");
                let released = durability.on_commit_failed(sequence);
                Some(ReleasedWork::NotDurable(released))
            }
        }
    }
}

#[cfg(test)]
mod tests;
