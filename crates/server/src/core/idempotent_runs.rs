//! The one run of each idempotency key: what this incarnation knows of it, and its records on disk.
//!
//! Owns: the table of keys, and the queue of durable results if the operator wants these. Is given: the stages of the
//! runs whose requests have a key, and the reports of the writer's thread. Says which runs and answers wait for the
//! disk. Never sends a run and never answers a request.

use super::durability::{DurabilityQueue, PendingWork, StorageEvent};
use crate::downstream::idempotency_table::{
    FingerprintMismatch, IdempotencyKey, IdempotencyTable, JoinedAttempt, KeyWindow,
};
use crate::support::attempt_name::AttemptName;
use madderbay::interface::{HandlerId, Outcome};
use madderbay::time::Timestamp;
use madderbay_idempotency_store::{IntentError, Lookup};
use madderbay_settings::Settings;

/// What the idempotency store says of an attempt that has just been read.
pub(super) enum StoredOutcome {
    /// The store has nothing to say: the attempt is one of this incarnation's, or of a new request.
    NotStored,
    /// The request is new, and no write-ahead record of its run can be made now.
    IntentNotAdmitted,
    /// An earlier incarnation ran the request, with this result.
    Completed(String),
    /// An earlier incarnation may have run the request, and has no result of it.
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

/// The work that waited for records that are on disk now, or never will be.
pub(super) enum ReleasedWork {
    /// Its records are durable.
    Durable(Vec<PendingWork>),
    /// Its records can't be made durable.
    NotDurable(Vec<PendingWork>),
}

/// The runs of requests with an idempotency key.
pub(super) struct IdempotentRuns {
    table: IdempotencyTable,
    durability: Option<DurabilityQueue>,
}

/// Set-up and state.
impl IdempotentRuns {
    /// No keys yet; results are in memory only, where they take up to `max_cached_bytes`.
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

    /// The keys of this incarnation.
    pub(super) fn table(&self) -> &IdempotencyTable {
        &self.table
    }

    /// The counters of durable results, a line each; none where results are in memory only.
    pub(super) fn counters(&self) -> String {
        self.durability
            .as_ref()
            .map_or(String::new(), DurabilityQueue::counters)
    }

    /// Removes what has expired.
    pub(super) fn expire(&mut self, now: Timestamp) {
        if let Some(durability) = &mut self.durability {
            durability.expire(now);
        }
        self.table.expire(now);
    }
}

/// Attempts.
impl IdempotentRuns {
    /// Looks up what an earlier incarnation recorded of a key that this one does not know.
    ///
    /// # Errors
    /// Where the key was used with another handler or body.
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

    /// Enters an attempt with its key until the end of its window.
    pub(super) fn insert_key(
        &mut self,
        id: u64,
        key: IdempotencyKey,
        handler: HandlerId,
        window: KeyWindow,
    ) {
        self.table.insert(id, key, handler, window);
    }

    /// Removes the key whose newest attempt has this id: a further attempt of it is a new request.
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
    /// The one run of a key is to start. Where results are durable, its intent is recorded first.
    ///
    /// # Errors
    /// Where no intent can be recorded now.
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

    /// The one run of a key ended, with its result if it completed. Gives the attempts that joined it.
    pub(super) fn run_ended(&mut self, key: IdempotencyKey, result: Option<&str>) -> Vec<u64> {
        self.table.run_ended(key, result)
    }

    /// Records the result of a run. Returns whether its answer waits for the record; it does not where results are in
    /// memory only.
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

    /// Records that the run of a key, recorded as intended, never took place.
    pub(super) fn record_not_run(&mut self, now: Timestamp, key: IdempotencyKey) {
        let expiry = self.expiry(now, key);
        if let Some(durability) = &mut self.durability {
            durability.record_not_run(key, expiry);
        }
    }

    /// When the window of a key ends.
    fn expiry(&self, now: Timestamp, key: IdempotencyKey) -> Timestamp {
        self.table.window(key).map_or(now, |window| window.end)
    }

    /// A run ended that this incarnation did not start. Returns whether it is one of an earlier incarnation that had no
    /// result so far; its outcome is recorded then.
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

/// The disk.
impl IdempotentRuns {
    /// Hands all records that are not yet on their way to the writer's thread. Gives their failure where that has ended.
    pub(super) fn flush(&mut self) -> Option<StorageEvent> {
        self.durability.as_mut()?.flush()
    }

    /// The writer's thread has reported how far records are durable. Gives the work that waited for that.
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
