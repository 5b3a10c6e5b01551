//! Durable results in the core: attempts of requests that an earlier incarnation ran are answered
//! from its store, and reports of the writer thread release the runs and answers that wait for
//! them.
//!
//! The state is in [`idempotent_runs`](super::idempotent_runs).

use super::downstream_answers::{Answer, Recipient};
use super::durability::{PendingWork, StorageEvent};
use super::event_loop::EventLoop;
use super::idempotent_runs::{ReleasedWork, StoredOutcome};
use crate::downstream::idempotency_table::FingerprintMismatch;
use crate::downstream::request_validation::ValidatedRequest;
use madderbay::time::Timestamp;

impl EventLoop {
    /// Answers an attempt of a request whose intent was recorded by an earlier incarnation; such a
    /// request never runs again. Rejects an attempt of a new request if no intent can be recorded.
    /// Returns whether the attempt was answered.
    ///
    /// # Errors
    /// If the key was used with another handler or body.
    pub(super) fn answer_from_store(
        &mut self,
        now: Timestamp,
        recipient: Recipient,
        request: &ValidatedRequest,
    ) -> Result<bool, FingerprintMismatch> {
        let Some(key) = request.key else {
            return Ok(false);
        };
        let runs = &mut self.executor.idempotent_runs;
        let stored = runs.stored_outcome(key, request.fingerprint)?;
        let answer = match &stored {
            StoredOutcome::NotStored => return Ok(false),
            StoredOutcome::IntentNotAdmitted => Answer::Rejected {
                retry_after: self.unavailable_retry_after(),
                is_final: false,
            },
            StoredOutcome::Completed(result) => Answer::of_run(Some(result), false),
            StoredOutcome::NoResult => Answer::Failed,
        };
        let executor = &mut self.executor;
        let counters = &mut executor.counters;
        counters.request_read(request.arrival.handler);
        executor.downstream.answer(now, recipient, answer, counters);
        Ok(true)
    }

    /// Handles a report of the writer thread on how far records are durable.
    pub fn storage_event(&mut self, now: Timestamp, event: StorageEvent) {
        self.executor.now = now;
        let Some(released) = self.executor.idempotent_runs.storage_event(event) else {
            return;
        };
        match released {
            ReleasedWork::Durable(work) => {
                for work in work {
                    self.release_work(work);
                }
            }
            ReleasedWork::NotDurable(work) => {
                for work in work {
                    self.fail_work(work);
                }
            }
        }
        self.decide(now, |_, _| ());
    }

    /// Carries out work whose record is durable.
    fn release_work(&mut self, work: PendingWork) {
        match work {
            PendingWork::Run { request } => self.executor.release_run(request),
            PendingWork::Response { request, result } => {
                self.executor
                    .durable_answer_ready(request, result.as_deref());
            }
            PendingWork::Nothing => {}
        }
    }

    /// Handles work whose record can't be made durable: its run is not sent, and its result is not
    /// used as an answer.
    fn fail_work(&mut self, work: PendingWork) {
        match work {
            PendingWork::Run { request } => self.executor.deferred_events.run_not_sent(request),
            PendingWork::Response { request, .. } => {
                self.executor.durable_answer_ready(request, None);
            }
            PendingWork::Nothing => {}
        }
    }
}
