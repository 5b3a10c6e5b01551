//! The steps to the end of a request: rejecting, failing, withdrawing and cancelling it.

use super::Decider;
use super::rejection::{Rejection, RejectionInputs, RejectionKind, ServerSpeed};
use crate::interface::{Actions, Cancellation};
use crate::request::{Request, Stage};
use crate::slots::{KeySlot, RequestSlot};
use crate::time::{Duration, Timestamp};
use crate::timers::Timer;

/// Time after which a run that is at a call, and that nobody waits for, should have ended.
const CALL_END_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time after which the cancellation of a run is repeated. It is lost where the cores are stalled.
const CANCEL_REPEAT_INTERVAL: Duration = Duration::from_millis(300);

/// What is left of an attempt that was to run and never started.
struct WithdrawnAttempt {
    id: u64,
    key: KeySlot,
    /// The attempts that waited for its start.
    waiting: Vec<RequestSlot>,
}

impl Decider {
    /// Final answer of a request that never started: it was not run here, and may run elsewhere. The attempts that
    /// wait for its start are rejected with it.
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

    /// What the rejection of a request says.
    fn rejection(&mut self, now: Timestamp, slot: RequestSlot) -> Rejection {
        let inputs = RejectionInputs {
            expected_wait_secs: self.expected_wait_secs(slot),
            is_past_objective: now > self.requests[slot].objective,
            is_failing_or_draining: self.admission.is_failing() || self.drain.is_some(),
            has_local_slowdown: self.server_speed(now).has_local_slowdown(),
        };
        self.rejections.decide(&inputs, &mut self.random)
    }

    /// Wait expected at the end of the queue, in seconds, for a request of the same handler.
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

    /// Nobody waits for a request that never started. One of the attempts that wait for its start takes its place.
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

    /// Removes a request that never started. Returns what is left of it if it was the attempt of a key that was to run.
    fn remove_unstarted(&mut self, slot: RequestSlot) -> Option<WithdrawnAttempt> {
        self.queue.remove(slot);
        let Request { id, key, .. } = self.requests[slot];
        self.requests.remove(slot);
        let key = key?;
        let waiting = self.keys.withdraw(key, slot)?;
        Some(WithdrawnAttempt { id, key, waiting })
    }

    /// Forgets a key under which nothing runs.
    fn remove_key(&mut self, withdrawn: &WithdrawnAttempt, out: &mut dyn Actions) {
        if self.keys.remove(withdrawn.key) {
            out.remove_key(withdrawn.id);
        }
    }

    /// Answers a request with an error. Nobody waits for its run from here on.
    pub(super) fn fail(&mut self, now: Timestamp, slot: RequestSlot, out: &mut dyn Actions) {
        out.fail(self.requests[slot].id);
        if self.requests[slot].has_started() {
            self.cancel_settled(now, slot, out);
        } else {
            self.requests.remove(slot);
        }
    }

    /// Cancels a run that nobody waits for any more, if runs can be cancelled. One that is at an upstream call is not
    /// cancelled: it ends by itself, or its place is given to others after a time.
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

    /// A run at a call, whose place was given to others, is waited for once more.
    pub(super) fn reschedule_end_check(&mut self, now: Timestamp, slot: RequestSlot) {
        self.schedule_end_check(now, CANCEL_REPEAT_INTERVAL, slot);
    }

    /// A run should have ended after `wait`, counted from the last tick, or from now where that has passed since: the clock
    /// may leap between two ticks.
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

    /// Ends a request that nobody waits for and whose run does not end.
    pub(super) fn abandon_run(&mut self, now: Timestamp, slot: RequestSlot, out: &mut dyn Actions) {
        self.abandon_call(now, slot);
        out.abandon(self.requests[slot].id);
        self.end_request(now, slot);
    }

    /// Removes a request whose run has ended. Its key is remembered while further attempts may arrive.
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
