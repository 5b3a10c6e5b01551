//! Sends the upstream calls of runs: to the catalogue, or to backends with retries and hedges.
//!
//! The backend selector selects the backend of each attempt, decides whether there may be another
//! attempt, and judges the backends. Replies are read elsewhere.

use super::deadlines::Deadline;
use super::executor::ActionExecutor;
use super::upstream_call::BackendAttempt;
use madderbay::interface::Outcome;
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::limit::Completion;
use madderbay_upstream::{
    AttemptOutcome, FailedCall, HedgeCandidate, RetryRefusal, UpstreamAttempt,
};

/// Where a call goes.
pub(super) enum CallTarget {
    /// The catalogue, the one shared dependency of the configuration.
    Catalogue,
    /// A backend, with the attempt as the backend selector identifies it.
    Backend(UpstreamAttempt),
}

/// How an attempt ended, and on which upstream connection.
#[derive(Clone, Copy)]
pub(super) struct AttemptEnd {
    /// The number of the connection that carried it.
    pub(super) upstream_connection: u64,
    /// How it ended.
    pub(super) outcome: Outcome,
    /// Whether the upstream server itself reported this outcome.
    pub(super) replied: bool,
}

impl AttemptEnd {
    /// Returns the outcome that is reported to the backend selector.
    fn attempt_outcome(&self) -> AttemptOutcome {
        match self.outcome {
            Outcome::Completed => AttemptOutcome::Success,
            Outcome::Rejected => AttemptOutcome::Rejected,
            Outcome::Failed => AttemptOutcome::Failed,
            Outcome::TimedOut => AttemptOutcome::TimedOut,
            Outcome::Unreachable if self.replied => AttemptOutcome::NotRun,
            Outcome::Unreachable => AttemptOutcome::NotConnected,
            Outcome::Disconnected => AttemptOutcome::Disconnected,
            Outcome::Cancelled | Outcome::AlreadyEnded => AttemptOutcome::Cancelled,
        }
    }
}

/// Whether a call has ended with one of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallProgress {
    /// Another attempt of the call is in flight.
    Continues,
    /// The call has ended. So has a call that has no attempt at a backend: a call to the catalogue,
    /// or one of a request that has ended.
    Ended,
}

impl ActionExecutor {
    /// Selects where the next call of a request goes: to a backend if its handler has any, else to the
    /// catalogue.
    ///
    /// # Errors
    /// If the same call was made before and is not retried.
    pub(super) fn select_target(&self, id: u64) -> Result<CallTarget, RetryRefusal> {
        let (Some(selector), Some(request)) = (self.backends.selector(), self.requests.get(id))
        else {
            return Ok(CallTarget::Catalogue);
        };
        if let Some(previous) = request.call.previous_attempt() {
            return selector
                .retry_after_backoff(previous)
                .map(CallTarget::Backend);
        }
        let first = selector.pick(request.handler);
        Ok(first.map_or(CallTarget::Catalogue, CallTarget::Backend))
    }

    /// Releases a target that is not called after all.
    pub(super) fn release_target(&self, target: &CallTarget) {
        if let CallTarget::Backend(attempt) = target {
            self.backends.finish(attempt, AttemptOutcome::Cancelled);
        }
    }

    /// Sends the call that the run of a request waits for.
    pub(super) fn send_call(&mut self, id: u64, timeout: Duration, target: CallTarget) {
        match target {
            CallTarget::Catalogue => self.send_to_catalogue(id, timeout),
            CallTarget::Backend(attempt) => {
                let hedge_delay = self.hedge_delay(id, &attempt, timeout);
                self.send_attempt(id, attempt, timeout);
                if let Some(delay) = hedge_delay {
                    self.schedule_hedge(id, delay);
                }
            }
        }
    }

    /// Sends a call to the catalogue.
    fn send_to_catalogue(&mut self, id: u64, timeout: Duration) {
        if let Some(request) = self.requests.get(id) {
            let (name, body) = (&request.name, request.call.body());
            self.calls.fetch(self.now, id, name, timeout, body, None);
        }
    }

    /// Returns the time after which the first attempt of a call is hedged, or `None` if it is not
    /// hedged.
    fn hedge_delay(&self, id: u64, first: &UpstreamAttempt, timeout: Duration) -> Option<Duration> {
        let handler = self.requests.get(id)?.handler;
        let call = HedgeCandidate {
            is_idempotent: self.backends.is_idempotent(handler),
            is_under_quota: self.limits.has_quotas(),
            timeout,
        };
        self.backends.selector()?.hedge_delay(first, call).ok()
    }

    /// Sets the deadline at which a call is hedged.
    fn schedule_hedge(&mut self, id: u64, delay: Duration) {
        if let Some(request) = self.requests.get_mut(id) {
            let deadline = self.now + delay;
            request.call.set_hedge_deadline(deadline);
            self.deadlines.insert(deadline, Deadline::Hedge(id));
        }
    }

    /// Sends one attempt of a call to its backend.
    fn send_attempt(&mut self, id: u64, attempt: UpstreamAttempt, timeout: Duration) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.call.set_last_attempt(attempt.clone());
        let (name, body) = (&request.name, request.call.body());
        let address = Some(attempt.address);
        let upstream_connection = self.calls.fetch(self.now, id, name, timeout, body, address);
        request.call.attempt_sent(BackendAttempt {
            upstream_connection,
            attempt,
            sent_at: self.now,
        });
    }

    /// Handles the end of an attempt of a call: reports it to the selector, and retries a failed
    /// call if no other attempt is in flight.
    pub(super) fn attempt_ended(
        &mut self,
        now: Timestamp,
        id: u64,
        end: AttemptEnd,
    ) -> CallProgress {
        self.now = now;
        let Some(request) = self.requests.get_mut(id) else {
            return CallProgress::Ended;
        };
        let Some(ended) = request.call.take_attempt(end.upstream_connection) else {
            return CallProgress::Ended;
        };
        let has_other_attempts = request.call.has_attempts();
        let attempt_outcome = end.attempt_outcome();
        self.backends.finish(&ended.attempt, attempt_outcome);
        if end.outcome == Outcome::Completed {
            self.end_remaining_attempts(id, ended.sent_at);
            CallProgress::Ended
        } else if has_other_attempts {
            CallProgress::Continues
        } else {
            self.retry(id, &ended.attempt, attempt_outcome)
        }
    }

    /// Ends the remaining attempts of a call after an attempt that was sent at `sent_at` has
    /// succeeded. If one of them was sent earlier, they lost to a hedge.
    fn end_remaining_attempts(&mut self, id: u64, sent_at: Timestamp) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let all_later = request.call.attempts().iter().all(|a| a.sent_at >= sent_at);
        let outcome = if all_later {
            AttemptOutcome::Cancelled
        } else {
            AttemptOutcome::LostToHedge
        };
        self.end_attempts(id, outcome);
    }

    /// Retries a call immediately at another backend, if the retry policy allows it.
    fn retry(
        &mut self,
        id: u64,
        previous: &UpstreamAttempt,
        outcome: AttemptOutcome,
    ) -> CallProgress {
        let (Some(selector), Some(request)) = (self.backends.selector(), self.requests.get(id))
        else {
            return CallProgress::Ended;
        };
        let deadline = request.call.deadline();
        let time_left = deadline.map_or(Duration::ZERO, |deadline| deadline - self.now);
        let call = FailedCall {
            outcome,
            is_idempotent: self.backends.is_idempotent(request.handler),
            time_left,
        };
        match selector.retry(previous, call) {
            Ok(attempt) => {
                self.send_attempt(id, attempt, time_left);
                CallProgress::Continues
            }
            Err(_) => CallProgress::Ended,
        }
    }

    /// Handles the deadline of a hedge: sends the hedge if only one attempt is in flight and the
    /// hedge policy allows it.
    pub(super) fn hedge_deadline_reached(&mut self, now: Timestamp, id: u64) {
        self.now = now;
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.call.take_hedge_deadline();
        let (Some(selector), [only], Some(deadline)) = (
            self.backends.selector(),
            request.call.attempts(),
            request.call.deadline(),
        ) else {
            return;
        };
        let time_left = deadline - now;
        if let Ok(hedge) = selector.hedge(&only.attempt, time_left) {
            self.send_attempt(id, hedge, time_left);
        }
    }

    /// Ends all attempts of a call that are in flight, all with the same outcome.
    pub(super) fn end_attempts(&mut self, id: u64, outcome: AttemptOutcome) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if let Some(deadline) = request.call.take_hedge_deadline() {
            self.deadlines.remove(deadline, Deadline::Hedge(id));
        }
        for ended in request.call.take_attempts() {
            self.calls.abandon_on(self.now, ended.upstream_connection);
            self.backends.finish(&ended.attempt, outcome);
        }
    }

    /// Gives up the call in flight of a request, if there is one.
    pub(super) fn cancel_call(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(deadline) = request.call.take_deadline() else {
            return;
        };
        self.deadlines.remove(deadline, Deadline::CallTimeout(id));
        if !request.call.has_attempts() {
            self.calls.abandon(self.now, &request.name);
        }
        self.end_attempts(id, AttemptOutcome::Cancelled);
        self.observe(id, |o, now| o.call_finished(now, id, Completion::Cancelled));
    }
}

#[cfg(test)]
mod tests;
