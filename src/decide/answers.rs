//! The steps that end a request: rejecting, failing, withdrawing and cancelling it.

use super::Decider;
use super::rejection::{Rejection, RejectionInputs, RejectionKind, ServerSpeed};
use crate::interface::{Actions, Cancellation};
use crate::request::{Request, Stage};
use crate::slots::{KeySlot, RequestSlot};
use crate::time::{Duration, Timestamp};
use crate::timers::Timer;

/// Time within which a run at an upstream call should end once nobody waits for it.
const CALL_END_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time after which the cancellation of a run is repeated, because cancellations are lost while the cores are stalled.
const CANCEL_REPEAT_INTERVAL: Duration = Duration::from_millis(300);

/// An attempt that was to run under its idempotency key and was removed before it started.
struct WithdrawnAttempt {
    id: u64,
    key: KeySlot,
    /// The other attempts that waited for its start.
    waiting: Vec<RequestSlot>,
}

impl Decider {
    /// Rejects a request that never started: it did not run here and may run elsewhere. The attempts that wait for its
    /// start are rejected as well.
    pub(super) fn reject(&mut self, now: Timestamp, slot: RequestSlot, out: &mut dyn Actions) {
        let Rejection { kind, retry_after } = self.rejection(now, slot);
        let is_final = kind == RejectionKind::Final;
        out.reject(self.requests[slot].id, retry_after, is_final);
        self.rejections.on_rejection();
        let Some(withdrawn) = self.remove_unstarted(slot) else {
            return;
        };
        self.remove_key(&withdrawn, out);
        for attempt in withdrawn.waiting {
            self.requests[attempt].key = None;
            self.reject(now, attempt, out);
        }
    }

    /// Decides what the rejection of a request tells its client.
    fn rejection(&mut self, now: Timestamp, slot: RequestSlot) -> Rejection {
        let inputs = RejectionInputs {
            expected_wait_secs: self.expected_wait_secs(slot),
            is_past_objective: now > self.requests[slot].objective,
            is_failing_or_draining: self.admission.is_failing() || self.drain.is_some(),
            has_local_slowdown: self.server_speed(now).has_local_slowdown(),
        };
        self.rejections.decide(&inputs, &mut self.random)
    }

    /// Returns the expected wait of a request of the same handler at the end of the queue, in seconds.
    fn expected_wait_secs(&self, slot: RequestSlot) -> f64 {
        let queued_secs = self.queue.iter().map(|queued| {
            let run = self.expected_run(queued);
            run.as_secs_f64()
        });
        let work_secs = queued_secs.sum::<f64>() + self.remaining_run_secs();
        let handlers = self
            .queue
            .iter()
            .map(|queued| self.requests[queued].handler);
        let queued = self.ceilings.count(handlers);
        let handler = self.requests[slot].handler;
        let delay = self.ceilings.start_delay(handler, &queued);
        (work_secs / self.concurrency.limit()).max(delay.seconds)
    }

    fn server_speed(&self, now: Timestamp) -> ServerSpeed {
        ServerSpeed {
            is_warming_up: self.concurrency.supported().is_warming_up(now),
            slowdown: self.stalls.slowdown(),
            run_queue_per_core: self.concurrency.run_queue_per_core(),
            mean_run_secs: self.run_times.mean_secs(),
            best_run_secs: self.run_times.best_secs(),
        }
    }

    /// Removes a request that never started and that nobody waits for. If other attempts wait for its start, one of
    /// them takes its place.
    pub(super) fn withdraw(&mut self, now: Timestamp, slot: RequestSlot, out: &mut dyn Actions) {
        let Some(withdrawn) = self.remove_unstarted(slot) else {
            return;
        };
        let key = withdrawn.key;
        match self.keys.promote(key, &withdrawn.waiting) {
            Some(next) => {
                self.requests.wait(next, Stage::Queued);
                self.store_key(now, key, next, out);
                self.admit_or_reject(now, next, out);
            }
            None => self.remove_key(&withdrawn, out),
        }
    }

    /// Removes a request that never started. Returns a [`WithdrawnAttempt`] if it was the attempt that was to run under
    /// its idempotency key.
    fn remove_unstarted(&mut self, slot: RequestSlot) -> Option<WithdrawnAttempt> {
        self.queue.remove(slot);
        let Request { id, key, .. } = self.requests[slot];
        self.requests.remove(slot);
        let key = key?;
        let waiting = self.keys.withdraw(key, slot)?;
        Some(WithdrawnAttempt { id, key, waiting })
    }

    /// Forgets an idempotency key under which nothing runs, and removes it from storage if it was stored.
    fn remove_key(&mut self, withdrawn: &WithdrawnAttempt, out: &mut dyn Actions) {
        if self.keys.remove(withdrawn.key) {
            out.remove_key(withdrawn.id);
        }
    }

    /// Answers a request with an error. Nobody waits for its run from then on.
    pub(super) fn fail(&mut self, now: Timestamp, slot: RequestSlot, out: &mut dyn Actions) {
        out.fail(self.requests[slot].id);
        if self.requests[slot].has_started() {
            self.cancel_settled(now, slot, out);
        } else {
            self.requests.remove(slot);
        }
    }

    /// Marks a started request as settled and cancels its run, if runs can be cancelled. A run that is at an upstream
    /// call is not cancelled: it ends by itself, or its place under the concurrency limit is released after a time.
    pub(super) fn cancel_settled(
        &mut self,
        now: Timestamp,
        slot: RequestSlot,
        out: &mut dyn Actions,
    ) {
        let request = &mut self.requests[slot];
        request.settled = true;
        if !request.is_running() {
            self.schedule_end_check(now, CALL_END_TIMEOUT, slot);
        } else if self.cancellation != Cancellation::Unsupported {
            out.cancel(request.id);
            self.schedule_end_check(now, CANCEL_REPEAT_INTERVAL, slot);
        }
    }

    /// Schedules another check of a run at an upstream call whose place under the concurrency limit was released.
    pub(super) fn reschedule_end_check(&mut self, now: Timestamp, slot: RequestSlot) {
        self.schedule_end_check(now, CANCEL_REPEAT_INTERVAL, slot);
    }

    /// Schedules a check whether a run has ended. `wait` counts from the last tick, or from `now` if that instant has
    /// already passed, because the clock may jump between two ticks.
    fn schedule_end_check(&mut self, now: Timestamp, wait: Duration, slot: RequestSlot) {
        let watch = &mut self.requests[slot].end_watch;
        self.unresponsive_runs.begin_check(watch);
        let since_tick = self.last_tick + wait;
        let due = if since_tick > now {
            since_tick
        } else {
            now + wait
        };
        self.timers.set(due, Timer::CheckEnded(slot));
    }

    /// Abandons a run that does not end and that nobody waits for, and ends its request.
    pub(super) fn abandon_run(&mut self, now: Timestamp, slot: RequestSlot, out: &mut dyn Actions) {
        self.abandon_call(now, slot);
        out.abandon(self.requests[slot].id);
        self.end_request(now, slot);
    }

    /// Removes a request whose run has ended. Its idempotency key is remembered as long as further attempts may arrive.
    pub(super) fn end_request(&mut self, now: Timestamp, slot: RequestSlot) {
        let handler = self.handler_of(slot);
        let forget_at = now + handler.idempotency_window + handler.timeout;
        let key = self.requests[slot].key;
        self.requests.remove(slot);
        if let Some(key) = key {
            self.timers.set(forget_at, Timer::ForgetKey(key));
        }
    }
}
