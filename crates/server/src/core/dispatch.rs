//! The upstream calls of runs: to the catalogue, or to backends with retries and hedges.
//!
//! Is given: a call to be made, and how each of its attempts ended. Asks the backend selector where an attempt
//! goes, and whether there may be another. Never reads a reply and never judges a backend.

use super::deadlines::Deadline;
use super::executor::ActionExecutor;
use super::upstream_call::BackendAttempt;
use madderbay::interface::Outcome;
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::limit::Completion;
use madderbay_upstream::{AttemptOutcome, RetryKind, UpstreamAttempt};

/// Where a call goes.
pub(super) enum CallTarget {
    /// The one catalogue of the configuration.
    Catalogue,
    /// A backend, as its selector knows the attempt.
    Backend(UpstreamAttempt),
}

/// A call that was made before can't be made again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the retry budget or the backends allow no further attempt")]
pub(super) struct RetryNotAllowed;

/// How an attempt ended, on which upstream connection.
#[derive(Clone, Copy)]
pub(super) struct AttemptEnd {
    /// The number of the connection that carried it.
    pub(super) upstream_connection: u64,
    /// How it ended.
    pub(super) outcome: Outcome,
    /// The upstream server said so itself.
    pub(super) replied: bool,
}

impl AttemptEnd {
    /// What this says about a backend.
    fn attempt_outcome(&self) -> AttemptOutcome {
        match self.outcome {
            Outcome::Completed => AttemptOutcome::Success,
            Outcome::Rejected => AttemptOutcome::Rejected,
            Outcome::Failed => AttemptOutcome::Failed,
            Outcome::TimedOut => AttemptOutcome::TimedOut,
            // No run waited for it, or the backend was not reached.
            Outcome::Unreachable if self.replied => AttemptOutcome::Cancelled,
            Outcome::Unreachable => AttemptOutcome::NotConnected,
            Outcome::Disconnected => AttemptOutcome::Disconnected,
            Outcome::Cancelled | Outcome::AlreadyEnded => AttemptOutcome::Cancelled,
        }
    }
}

/// Whether a call is over with one of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallProgress {
    /// Another attempt of it is out.
    Continues,
    /// It is over.
    Ended,
}

impl ActionExecutor {
    /// Selects where the next call of a request goes: to a backend if its handler has any, else to the
    /// catalogue.
    ///
    /// # Errors
    /// The same call was made before, and no retry is allowed.
    pub(super) fn select_target(&self, id: u64) -> Result<CallTarget, RetryNotAllowed> {
        let (Some(selector), Some(request)) = (self.backends.selector(), self.requests.get(id))
        else {
            return Ok(CallTarget::Catalogue);
        };
        if let Some(former) = request.call.former_attempt() {
            let retry = selector.retry(former, RetryKind::AfterBackoff);
            return retry.map(CallTarget::Backend).ok_or(RetryNotAllowed);
        }
        let first = selector.pick(request.handler);
        Ok(first.map_or(CallTarget::Catalogue, CallTarget::Backend))
    }

    /// Gives back a target that is not called after all.
    pub(super) fn release_target(&self, target: &CallTarget) {
        if let CallTarget::Backend(attempt) = target {
            self.backends.finish(attempt, AttemptOutcome::Cancelled);
        }
    }

    /// Sends the call that the run of a request waits at.
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

    /// The time after which an attempt may be hedged; `None` for a handler that is not idempotent, under a quota
    /// of the fleet, and where it would come too late.
    fn hedge_delay(
        &self,
        id: u64,
        attempt: &UpstreamAttempt,
        timeout: Duration,
    ) -> Option<Duration> {
        let handler = self.requests.get(id)?.handler;
        if self.limits.has_quotas() || !self.backends.is_idempotent(handler) {
            return None;
        }
        let delay = self.backends.selector()?.hedge_delay(attempt);
        delay.filter(|delay| *delay < timeout)
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
            since: self.now,
        });
    }

    /// An attempt of a call ended. Reports it to the selector, and makes another one if none is out.
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
        let other_attempts = request.call.has_attempts();
        let attempt_outcome = end.attempt_outcome();
        self.backends.finish(&ended.attempt, attempt_outcome);
        if end.outcome == Outcome::Completed {
            self.end_overtaken_attempts(id, ended.since);
            CallProgress::Ended
        } else if other_attempts {
            CallProgress::Continues
        } else {
            self.retry(id, &ended.attempt, attempt_outcome)
        }
    }

    /// An attempt succeeded that was sent at `since`: ends the others. One that was sent before lost to a hedge.
    fn end_overtaken_attempts(&mut self, id: u64, since: Timestamp) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let all_later = request.call.attempts().iter().all(|a| a.since >= since);
        let outcome = if all_later {
            AttemptOutcome::Cancelled
        } else {
            AttemptOutcome::LostToHedge
        };
        self.end_attempts(id, outcome);
    }

    /// Makes another attempt of a call at once: only if the former one surely never ran or may run twice, and
    /// only if there is time for it.
    fn retry(
        &mut self,
        id: u64,
        former: &UpstreamAttempt,
        outcome: AttemptOutcome,
    ) -> CallProgress {
        let (Some(selector), Some(request)) = (self.backends.selector(), self.requests.get(id))
        else {
            return CallProgress::Ended;
        };
        let deadline = request.call.deadline();
        let remaining = deadline.map_or(Duration::ZERO, |deadline| deadline - self.now);
        let may_repeat = outcome.never_executed() || self.backends.is_idempotent(request.handler);
        if !may_repeat
            || remaining <= selector.typical_latency(former)
            || remaining == Duration::ZERO
        {
            return CallProgress::Ended;
        }
        match selector.retry(former, RetryKind::OtherBackend) {
            Some(attempt) => {
                self.send_attempt(id, attempt, remaining);
                CallProgress::Continues
            }
            None => CallProgress::Ended,
        }
    }

    /// A call is out for longer than nearly all others: hedges its one attempt, if there is time for that.
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
        let remaining = deadline - now;
        if remaining > selector.typical_latency(&only.attempt)
            && let Some(hedge) = selector.retry(&only.attempt, RetryKind::Hedge)
        {
            self.send_attempt(id, hedge, remaining);
        }
    }

    /// Ends all attempts of a call that are out, all with the same outcome.
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

    /// Gives up the call that is out for a request, if there is one.
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
