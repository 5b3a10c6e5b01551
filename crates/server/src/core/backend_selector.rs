//! Selection of backends for the calls of the core.
//!
//! A `BackendSelector` selects among the backends that the operator has set. `BackendRouting` holds
//! the selector, and which handlers are idempotent; it neither selects backends nor sends calls
//! itself.

use madderbay::interface::{Handler, HandlerId};
use madderbay::time::Duration;
use madderbay_settings::Settings;
use madderbay_upstream::{
    AttemptOutcome, FailedCall, HedgeCandidate, HedgeRefusal, RetryRefusal, UpstreamAttempt,
};
use std::rc::Rc;

/// Selects backends for calls, judges them by the outcomes of attempts, and allows or refuses
/// retries and hedges. It has a clock of its own.
pub trait BackendSelector {
    /// Selects a backend for the call of a handler; `None` if its calls go to the catalogue.
    fn pick(&self, handler: HandlerId) -> Option<UpstreamAttempt>;
    /// Begins an immediate retry of a call, at another backend than the previous attempt.
    ///
    /// # Errors
    /// The reason why the call is not retried.
    fn retry(
        &self,
        previous: &UpstreamAttempt,
        call: FailedCall,
    ) -> Result<UpstreamAttempt, RetryRefusal>;
    /// Begins a retry of a call after the decision module has waited for the backoff.
    ///
    /// # Errors
    /// The reason why the call is not retried.
    fn retry_after_backoff(
        &self,
        previous: &UpstreamAttempt,
    ) -> Result<UpstreamAttempt, RetryRefusal>;
    /// Returns the time from the first attempt of a call until its hedge is due.
    ///
    /// # Errors
    /// The reason why the call is not hedged.
    fn hedge_delay(
        &self,
        first: &UpstreamAttempt,
        call: HedgeCandidate,
    ) -> Result<Duration, HedgeRefusal>;
    /// Begins the hedge of a call. `time_left` is the time until the deadline of the call.
    ///
    /// # Errors
    /// The reason why the call is not hedged.
    fn hedge(
        &self,
        in_flight: &UpstreamAttempt,
        time_left: Duration,
    ) -> Result<UpstreamAttempt, HedgeRefusal>;
    /// Records the outcome of an attempt that has ended, which counts for or against the backend.
    fn finish(&self, attempt: &UpstreamAttempt, outcome: AttemptOutcome);
    /// Returns the counters of the backends, one line each.
    fn counters(&self) -> String;
}

/// The selector, if the operator has set backends, and which handlers are idempotent.
pub(super) struct BackendRouting {
    selector: Option<Rc<dyn BackendSelector>>,
    /// For each handler, whether its calls may be made twice.
    idempotent: Vec<bool>,
}

impl BackendRouting {
    /// Creates a routing without a selector, which sends all calls to the catalogue.
    pub(super) fn new(settings: &Settings) -> BackendRouting {
        BackendRouting {
            selector: None,
            idempotent: settings
                .handlers
                .iter()
                .map(Handler::is_idempotent)
                .collect(),
        }
    }

    /// Sets the selector.
    pub(super) fn set_selector(&mut self, selector: Rc<dyn BackendSelector>) {
        self.selector = Some(selector);
    }

    /// Returns the selector, if there is one.
    pub(super) fn selector(&self) -> Option<&Rc<dyn BackendSelector>> {
        self.selector.as_ref()
    }

    /// Reports whether the calls of a handler may be made twice.
    pub(super) fn is_idempotent(&self, handler: HandlerId) -> bool {
        self.idempotent[handler.index()]
    }

    /// Passes the outcome of an attempt that has ended to the selector.
    pub(super) fn finish(&self, attempt: &UpstreamAttempt, outcome: AttemptOutcome) {
        if let Some(selector) = &self.selector {
            selector.finish(attempt, outcome);
        }
    }

    /// Returns the counters of the backends, one line each.
    pub(super) fn counters(&self) -> String {
        self.selector
            .as_ref()
            .map_or(String::new(), |selector| selector.counters())
    }
}
