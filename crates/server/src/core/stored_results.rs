//! Durable results in the core: attempts of requests that an earlier incarnation ran are answered from its store,
//! and reports of the writer's thread release the runs and answers that wait for them.
//!
//! It owns no state; the table and the pending work are in the [`DurabilityQueue`](super::durability).

use super::durability::{PendingWork, StorageEvent};
use super::event_loop::{EventLoop, KEEP_AWAY};
use crate::downstream::idempotency_table::FingerprintMismatch;
use crate::downstream::response;
use madderbay::time::Timestamp;
use madderbay_idempotency_store::Lookup;

impl EventLoop {
    /// Answers an attempt of a request whose intent an earlier incarnation recorded; it never runs again. An attempt
    /// of a new request is rejected here where no intent can be recorded. Returns whether the attempt was answered.
    ///
    /// `connection` and `rpc_id` say where the answer goes.
    ///
    /// # Errors
    /// Where the key was used with another handler or body.
    pub(super) fn answer_from_store(
        &mut self,
        now: Timestamp,
        (connection, rpc_id): (u64, u64),
        handler: usize,
        key: u128,
        request_hash: u64,
    ) -> Result<bool, FingerprintMismatch> {
        let in_flight = &mut self.in_flight;
        let Some(durability) = in_flight
            .durability
            .as_mut()
            .filter(|_| !in_flight.idempotency.knows(key))
        else {
            return Ok(false);
        };
        match durability.lookup(key, request_hash) {
            Lookup::Mismatch => return Err(FingerprintMismatch),
            Lookup::NotFound if durability.admit_intent().is_ok() => return Ok(false),
            Lookup::NotFound => self.reject_without_intent(now, connection, rpc_id),
            Lookup::Completed(result) => {
                let result = String::from_utf8_lossy(&result);
                self.answer_stored(now, connection, rpc_id, Some(&result));
            }
            Lookup::NoResult => self.answer_stored(now, connection, rpc_id, None),
        }
        self.in_flight.counters.read[handler] += 1;
        Ok(true)
    }

    /// No intent can be recorded now: the attempt is rejected with a Retry-After.
    fn reject_without_intent(&mut self, now: Timestamp, connection: u64, rpc_id: u64) {
        let retry_after = KEEP_AWAY.min(self.settings.callers.max_retry_after);
        let in_flight = &mut self.in_flight;
        let report = in_flight.load_report;
        in_flight.connections.answer(now, connection, |out| {
            response::shed(out, rpc_id, retry_after, false, report)
        });
        in_flight.counters.shed += 1;
    }

    /// Answers with the result of the earlier run; without one, the attempt fails.
    fn answer_stored(
        &mut self,
        now: Timestamp,
        connection: u64,
        rpc_id: u64,
        result: Option<&str>,
    ) {
        let in_flight = &mut self.in_flight;
        let report = in_flight.load_report;
        in_flight
            .connections
            .answer(now, connection, |out| match result {
                Some(result) => response::done(out, rpc_id, result, report),
                None => response::errored(out, rpc_id, report),
            });
        in_flight.counters.answered(result.is_some(), false);
    }

    /// The writer's thread has reported how far records are durable.
    pub fn storage_event(&mut self, now: Timestamp, event: StorageEvent) {
        self.in_flight.now = now;
        let Some(durability) = &mut self.in_flight.durability else {
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
            PendingWork::Run { request } => self.in_flight.release(request),
            PendingWork::Response { request, result } => {
                self.in_flight.settled(request, result.as_deref());
            }
            PendingWork::Nothing => {}
        }
    }

    /// The record of some work can't be made durable: nothing runs, and no result is an answer.
    fn give_up(&mut self, work: PendingWork) {
        match work {
            PendingWork::Run { request } => self.in_flight.unrun.push_back(request),
            PendingWork::Response { request, .. } => self.in_flight.settled(request, None),
            PendingWork::Nothing => {}
        }
    }
}
