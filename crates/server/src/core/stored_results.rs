//! Durable results in the core: attempts of requests that an earlier incarnation ran are answered from its store,
//! and reports of the writer's thread release the runs and answers that wait for them.
//!
//! It owns no state; the table and the pending work are in the [`DurabilityQueue`](super::durability).

use super::downstream_answers::{Answer, Recipient};
use super::durability::{PendingWork, StorageEvent};
use super::event_loop::EventLoop;
use crate::downstream::idempotency_table::FingerprintMismatch;
use crate::downstream::request_validation::ValidatedRequest;
use madderbay::time::Timestamp;
use madderbay_idempotency_store::Lookup;

impl EventLoop {
    /// Answers an attempt of a request whose intent an earlier incarnation recorded; it never runs again. An attempt
    /// of a new request is rejected here where no intent can be recorded. Returns whether the attempt was answered.
    ///
    /// # Errors
    /// Where the key was used with another handler or body.
    pub(super) fn answer_from_store(
        &mut self,
        now: Timestamp,
        recipient: Recipient,
        request: &ValidatedRequest,
    ) -> Result<bool, FingerprintMismatch> {
        let Some(key) = request.key else {
            return Ok(false);
        };
        let executor = &mut self.executor;
        let Some(durability) = executor
            .durability
            .as_mut()
            .filter(|_| !executor.idempotency.contains(key))
        else {
            return Ok(false);
        };
        match durability.lookup(key, request.fingerprint) {
            Lookup::Mismatch => return Err(FingerprintMismatch),
            Lookup::NotFound if durability.admit_intent().is_ok() => return Ok(false),
            // No intent can be recorded now.
            Lookup::NotFound => {
                let answer = Answer::Rejected {
                    retry_after: self.unavailable_retry_after(),
                    is_final: false,
                };
                self.answer_at_once(now, recipient, answer);
            }
            Lookup::Completed(result) => {
                let result = String::from_utf8_lossy(&result);
                let answer = Answer::of_run(Some(&result), false);
                self.answer_at_once(now, recipient, answer);
            }
            Lookup::NoResult => self.answer_at_once(now, recipient, Answer::Failed),
        }
        self.executor.counters.request_read(request.arrival.handler);
        Ok(true)
    }

    /// Answers an attempt that is not entered into the table of requests.
    fn answer_at_once(&mut self, now: Timestamp, recipient: Recipient, answer: Answer) {
        let executor = &mut self.executor;
        let counters = &mut executor.counters;
        executor.downstream.answer(now, recipient, answer, counters);
    }

    /// The writer's thread has reported how far records are durable.
    pub fn storage_event(&mut self, now: Timestamp, event: StorageEvent) {
        self.executor.now = now;
        let Some(durability) = &mut self.executor.durability else {
            return;
        };
        match event {
            StorageEvent::Recovered { disk_bytes } => {
                log::info!("idempotency-store: write recovered");
                durability.on_storage_recovered(disk_bytes);
                return;
            }
            StorageEvent::Written {
                sequence,
                disk_bytes,
            } => {
                let released = durability.on_committed(sequence, disk_bytes);
                released.into_iter().for_each(|work| self.carry_out(work));
            }
            StorageEvent::Failed { sequence, error } => {
                log::error!("idempotency-store: write failed, error={error}");
                let released = durability.on_commit_failed(sequence);
                released.into_iter().for_each(|work| self.give_up(work));
            }
        }
        self.decide(now, |_, _| ());
    }

    /// The record of some work is durable.
    fn carry_out(&mut self, work: PendingWork) {
        match work {
            PendingWork::Run { request } => self.executor.release_run(request),
            PendingWork::Response { request, result } => {
                self.executor
                    .durable_answer_ready(request, result.as_deref());
            }
            PendingWork::Nothing => {}
        }
    }

    /// The record of some work can't be made durable: nothing runs, and no result is an answer.
    fn give_up(&mut self, work: PendingWork) {
        match work {
            PendingWork::Run { request } => self.executor.deferred_events.run_not_sent(request),
            PendingWork::Response { request, .. } => {
                self.executor.durable_answer_ready(request, None);
            }
            PendingWork::Nothing => {}
        }
    }
}
