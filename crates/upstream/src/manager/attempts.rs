//! The attempts of calls: selects the backend of each attempt, decides whether a call gets a further one, and processes
//! the end of each.
//!
//! The policies decide ([`crate::retry`], [`crate::hedge`]) and the registry selects the backend; this module carries
//! out and counts. The order of a further attempt is: policy, backend, budget. A refusal before the backend is selected
//! draws no random number, and one before the budget is checked spends nothing.

use super::UpstreamManager;
use crate::attempt::{AttemptOutcome, UpstreamAttempt};
use crate::backend_group::BackendGroup;
use crate::backend_id::BackendId;
use crate::hedge;
use crate::hedge::policy::{HedgeCandidate, HedgePolicy, HedgeRefusal};
use crate::registry::FinishEffect;
use crate::retry::policy::{FailedCall, RetryPolicy, RetryRefusal, RetryTarget};
use madderbay::interface::HandlerId;
use madderbay::time::{Duration, Timestamp};

impl UpstreamManager {
    /// Begins the first attempt of a call of a handler. Returns `None` if the handler has no backends.
    pub fn pick(&mut self, now: Timestamp, handler: HandlerId) -> Option<UpstreamAttempt> {
        self.registry.group(handler)?;
        // An evaluation that is due is done before a backend is selected, even if the caller has not run the timeout
        // yet.
        if now >= self.next_evaluation {
            self.evaluate(now);
        }
        let backend = self.registry.pick(now, handler, None, &mut self.rng)?;
        self.registry
            .group_mut(handler)?
            .retry_budget_mut()
            .record_first_attempt(now);
        self.totals.first_attempts += 1;
        Some(self.begin_attempt(now, handler, backend))
    }

    /// Retries a call at once, at another backend than that of its previous attempt. The retry budget is spent last.
    ///
    /// # Errors
    /// Returns the reason why there is no retry. In that case no attempt begins and nothing is spent.
    pub fn retry(
        &mut self,
        now: Timestamp,
        previous: &UpstreamAttempt,
        call: FailedCall,
    ) -> Result<UpstreamAttempt, RetryRefusal> {
        self.retry_policy(previous).check(call)?;
        self.begin_further_attempt(now, previous, RetryTarget::OtherBackend)
    }

    /// Retries a call after a backoff, at another backend if one is in selection. The caller, which waited for the
    /// backoff, has already decided that the call may run again and that there is time for it.
    ///
    /// # Errors
    /// Returns [`RetryRefusal::NoBackends`] or [`RetryRefusal::BudgetSpent`].
    pub fn retry_after_backoff(
        &mut self,
        now: Timestamp,
        previous: &UpstreamAttempt,
    ) -> Result<UpstreamAttempt, RetryRefusal> {
        self.begin_further_attempt(now, previous, RetryTarget::AnyBackend)
    }

    /// Returns the time from the start of the first attempt of a call until its hedge is due.
    ///
    /// # Errors
    /// Returns the reason why the call gets no hedge.
    pub fn hedge_delay(
        &mut self,
        now: Timestamp,
        first: &UpstreamAttempt,
        call: HedgeCandidate,
    ) -> Result<Duration, HedgeRefusal> {
        self.hedge_policy().check_call(call)?;
        let group = self.registry.group_mut(first.handler);
        let group = group.ok_or(RetryRefusal::NoBackends)?;
        RetryTarget::OtherBackend.check_group(group.has_alternatives())?;
        let estimate = group.hedge_delay_estimator_mut().delay(now);
        hedge::policy::hedge_delay(estimate, call.timeout)
    }

    /// Begins the hedge of a call whose hedge is due, at another backend than that of the attempt in flight.
    /// `time_left` is the time until the deadline of the call. The retry budget is spent last.
    ///
    /// # Errors
    /// Returns the reason why there is no hedge. In that case no attempt begins and nothing is spent.
    pub fn hedge(
        &mut self,
        now: Timestamp,
        in_flight: &UpstreamAttempt,
        time_left: Duration,
    ) -> Result<UpstreamAttempt, HedgeRefusal> {
        self.retry_policy(in_flight).check_time_left(time_left)?;
        self.hedge_policy().check_enabled()?;
        let hedge = self.begin_further_attempt(now, in_flight, RetryTarget::OtherBackend)?;
        self.totals.hedges += 1;
        Ok(hedge)
    }

    /// Ends an attempt. Its outcome counts for or against the backend.
    pub fn finish(&mut self, now: Timestamp, attempt: &UpstreamAttempt, outcome: AttemptOutcome) {
        match self
            .registry
            .finish_attempt(now, attempt, outcome, &mut self.rng)
        {
            FinishEffect::None => {}
            FinishEffect::ProbeEnded(event) => {
                self.record_events(event);
                self.bring_evaluation_forward(now);
            }
            FinishEffect::AttemptFailed => {
                self.bring_evaluation_forward(now);
                self.gossip.bring_round_forward(now);
            }
        }
    }

    /// Selects a backend for a further attempt of a call, spends one retry from the budget and begins the attempt.
    fn begin_further_attempt(
        &mut self,
        now: Timestamp,
        previous: &UpstreamAttempt,
        target: RetryTarget,
    ) -> Result<UpstreamAttempt, RetryRefusal> {
        let handler = previous.handler;
        let group = self.registry.group(handler);
        let group = group.ok_or(RetryRefusal::NoBackends)?;
        target.check_group(group.has_alternatives())?;
        let avoid = Some(previous.backend);
        let picked = self.registry.pick(now, handler, avoid, &mut self.rng);
        let picked = picked.ok_or(RetryRefusal::NoBackends)?;
        target.check_picked(previous.backend, picked)?;
        self.spend_retry(now, handler)?;
        Ok(self.begin_attempt(now, handler, picked))
    }

    /// Spends one retry from the budget of the group that serves a handler.
    fn spend_retry(&mut self, now: Timestamp, handler: HandlerId) -> Result<(), RetryRefusal> {
        let group = self.registry.group_mut(handler);
        let group = group.ok_or(RetryRefusal::NoBackends)?;
        if !group.retry_budget_mut().try_spend(now) {
            self.totals.retries_over_budget += 1;
            return Err(RetryRefusal::BudgetSpent);
        }
        self.totals.retries += 1;
        Ok(())
    }

    fn retry_policy(&self, attempt: &UpstreamAttempt) -> RetryPolicy {
        RetryPolicy {
            typical_latency: self.typical_latency(attempt.handler),
        }
    }

    fn hedge_policy(&self) -> HedgePolicy {
        HedgePolicy {
            is_enabled: self.settings.hedging,
        }
    }

    /// Returns the typical latency of the calls of a handler, or zero if it is not known.
    fn typical_latency(&self, handler: HandlerId) -> Duration {
        let group = self.registry.group(handler);
        let seconds = group.and_then(BackendGroup::typical_latency_seconds);
        seconds.map_or(Duration::ZERO, Duration::from_secs_f64)
    }

    fn begin_attempt(
        &mut self,
        now: Timestamp,
        handler: HandlerId,
        backend: BackendId,
    ) -> UpstreamAttempt {
        self.last_attempt_id += 1;
        self.registry
            .begin_attempt(now, handler, backend, self.last_attempt_id)
    }
}
