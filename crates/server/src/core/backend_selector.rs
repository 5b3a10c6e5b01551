//! The choice among several backends, as the core asks for it.
//!
//! Owns: the selector that the operator's backends give, and which handlers are idempotent. Never chooses a
//! backend itself and never sends a call.

use madderbay::interface::{Handler, HandlerId};
use madderbay::time::Duration;
use madderbay_settings::Settings;
use madderbay_upstream::{
    AttemptOutcome, FailedCall, HedgeCandidate, HedgeRefusal, RetryRefusal, UpstreamAttempt,
};
use std::rc::Rc;

/// Selects backends for calls, judges them by the outcomes, and allows retries and hedges. It reads a clock of its own.
pub trait BackendSelector {
    /// Selects a backend for the call of a handler; `None` if its calls go to the catalogue.
    fn pick(&self, handler: HandlerId) -> Option<UpstreamAttempt>;
    /// Begins a retry of a call, at once and at another backend than the former attempt.
    ///
    /// # Errors
    /// Why the call gets no retry.
    fn retry(
        &self,
        previous: &UpstreamAttempt,
        call: FailedCall,
    ) -> Result<UpstreamAttempt, RetryRefusal>;
    /// Begins a retry of a call after the backoff that the decision module has waited for.
    ///
    /// # Errors
    /// Why the call gets no retry.
    fn retry_after_backoff(
        &self,
        previous: &UpstreamAttempt,
    ) -> Result<UpstreamAttempt, RetryRefusal>;
    /// The time from the first attempt of a call until its hedge is due.
    ///
    /// # Errors
    /// Why the call gets no hedge.
    fn hedge_delay(
        &self,
        first: &UpstreamAttempt,
        call: HedgeCandidate,
    ) -> Result<Duration, HedgeRefusal>;
    /// Begins the hedge of a call that is due, `time_left` before the deadline of the call.
    ///
    /// # Errors
    /// Why the call gets no hedge.
    fn hedge(
        &self,
        in_flight: &UpstreamAttempt,
        time_left: Duration,
    ) -> Result<UpstreamAttempt, HedgeRefusal>;
    /// An attempt ended. Its outcome counts for or against the backend.
    fn finish(&self, attempt: &UpstreamAttempt, outcome: AttemptOutcome);
    /// The counters of the backends, a line each.
    fn counters(&self) -> String;
}

/// The selector, if the operator set backends, and what it may do with the calls of each handler.
pub(super) struct BackendRouting {
    selector: Option<Rc<dyn BackendSelector>>,
    /// By handler: its calls may be made twice.
    idempotent: Vec<bool>,
}

impl BackendRouting {
    /// Without a selector: all calls go to the catalogue.
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

    /// The selector, if there is one.
    pub(super) fn selector(&self) -> Option<&Rc<dyn BackendSelector>> {
        self.selector.as_ref()
    }

    /// Whether the calls of a handler may be made twice.
    pub(super) fn is_idempotent(&self, handler: HandlerId) -> bool {
        self.idempotent[handler.index()]
    }

    /// An attempt ended.
    pub(super) fn finish(&self, attempt: &UpstreamAttempt, outcome: AttemptOutcome) {
        if let Some(selector) = &self.selector {
            selector.finish(attempt, outcome);
        }
    }

    /// The counters of the backends, a line each.
    pub(super) fn counters(&self) -> String {
        self.selector
            .as_ref()
            .map_or(String::new(), |selector| selector.counters())
    }
}
