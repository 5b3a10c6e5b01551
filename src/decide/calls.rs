//! The steps that handle the upstream calls of runs: attempting, retrying, skipping and abandoning them.

use super::Decider;
use super::call_policy::{
    CallDecision, CallInputs, FailedCall, RetryDecision, decide_call, decide_retry,
};
use crate::interface::{Actions, Ceiling, Handler, Outcome};
use crate::request::{Request, Stage};
use crate::slots::RequestSlot;
use crate::time::{Duration, Timestamp};
use crate::timers::Timer;

impl Decider {
    /// Handles a run that has reached an upstream call.
    pub(super) fn process_call_needed(
        &mut self,
        now: Timestamp,
        slot: RequestSlot,
        out: &mut dyn Actions,
    ) {
        self.requests.set_run_stage(slot, Stage::AtCall);
        self.attempt_call(now, slot, out);
    }

    /// Sends the call that a run waits at, skips it, lets it wait, or fails the request.
    fn attempt_call(&mut self, now: Timestamp, slot: RequestSlot, out: &mut dyn Actions) {
        let inputs = self.call_inputs(now, slot);
        match decide_call(now, &inputs, &mut self.calls) {
            CallDecision::Fail => self.fail(now, slot, out),
            CallDecision::Skip => self.requests.skip_call(slot, out),
            CallDecision::Wait => self.waiting_calls.push(slot),
            CallDecision::Send { timeout } => self.send_call(slot, timeout, out),
        }
    }

    fn call_inputs(&self, now: Timestamp, slot: RequestSlot) -> CallInputs {
        let request = &self.requests[slot];
        let handler = self.handler_of(slot);
        let has_room =
            |ceiling: &Ceiling| self.requests.load(&ceiling.handlers).calls < ceiling.calls;
        let has_overrun = now - request.started > request.allowance;
        CallInputs {
            is_optional: handler.has_partial_answer(),
            is_late_answer_useless: handler.late_weight == 0.0,
            is_allowance_spent: has_overrun && self.budget.exceeds_setpoint(),
            is_within_ceilings: self.ceilings.over(request.handler).all(has_room),
            yields_to_waiting_calls: !self.ceilings.is_empty() && !self.waiting_calls.is_empty(),
            rank: self.admission.rank(request.weight),
            objective: request.objective,
            deadline: request.deadline,
        }
    }

    fn send_call(&mut self, slot: RequestSlot, timeout: Duration, out: &mut dyn Actions) {
        out.call(self.requests[slot].id, timeout);
        self.calls.start_call();
        self.requests.set_run_stage(slot, Stage::Calling);
    }

    /// Attempts the calls that wait for capacity, starting with the one that began to wait last.
    pub(super) fn attempt_waiting_calls(&mut self, now: Timestamp, out: &mut dyn Actions) {
        for slot in self.waiting_calls.take_latest_first() {
            self.attempt_call_if_waiting(now, slot, out);
        }
        self.waiting_calls.restore_order();
    }

    /// Attempts a call that was delayed by a backoff or for lack of capacity, if the run still waits at it and its
    /// request is not settled.
    pub(super) fn attempt_call_if_waiting(
        &mut self,
        now: Timestamp,
        slot: RequestSlot,
        out: &mut dyn Actions,
    ) {
        let request = self.requests.get(slot);
        if request.is_some_and(|request| request.stage() == Stage::AtCall && !request.settled) {
            self.attempt_call(now, slot, out);
        }
    }

    /// Handles the end of a call in flight. After a success the run continues; after a failure the retry decision is
    /// carried out, unless the request is settled.
    pub(super) fn finish_call(
        &mut self,
        now: Timestamp,
        slot: RequestSlot,
        outcome: Outcome,
        spent: Duration,
        out: &mut dyn Actions,
    ) {
        let is_completed = outcome == Outcome::Completed;
        self.calls.finish_call(now, outcome, spent);
        self.requests.finish_call(slot, is_completed);
        if is_completed || self.requests[slot].settled {
            return;
        }
        let failed = self.failed_call(slot, outcome);
        match decide_retry(now, &failed, &self.calls) {
            RetryDecision::Skip => self.requests.skip_call(slot, out),
            RetryDecision::Fail => self.fail(now, slot, out),
            RetryDecision::Retry { backoff } => {
                self.timers.set(now + backoff, Timer::RetryCall(slot));
            }
        }
    }

    fn failed_call(&self, slot: RequestSlot, outcome: Outcome) -> FailedCall {
        let request = &self.requests[slot];
        let handler: &Handler = self.handler_of(slot);
        FailedCall {
            outcome,
            failures: request.failed_calls,
            is_optional: handler.has_partial_answer(),
            is_idempotent: handler.is_idempotent(),
            objective: request.objective,
        }
    }

    /// Removes a request from the waiting calls. If it has a call in flight, that call counts as abandoned.
    pub(super) fn abandon_call(&mut self, now: Timestamp, slot: RequestSlot) {
        let request: &Request = &self.requests[slot];
        if request.is_calling() {
            self.calls.abandon_call(now);
        }
        self.waiting_calls.remove(slot);
    }
}
