//! The executor of the decision module's actions.
//!
//! Owns: the table of requests in flight, and one context each for what their runs, calls and answers go through: the
//! engine link, the calls, the connections, the runs with an idempotency key, the deadlines. A context has its state to
//! itself and is changed by its methods alone. Is given: the actions of the decision module, and what the event loop
//! reports. Decides nothing; knows no socket and no clock.
//!
//! The steps are in files of their own: [`actions`](super::actions) has the actions, [`answers`](super::answers) the
//! ways to an answer, [`dispatch`](super::dispatch) those to backends and catalogue.

use super::backend_selector::BackendRouting;
use super::deadlines::Deadlines;
use super::deferred_events::DeferredEvents;
use super::downstream_answers::DownstreamAnswers;
use super::engine_commands::EngineCommands;
use super::idempotent_runs::IdempotentRuns;
use super::in_flight::InFlightRequests;
use super::request_limits::RequestLimits;
use super::request_observer::RequestObserver;
use crate::downstream::request_validation::RequestValidator;
use crate::support::metrics::Counters;
use crate::upstream::calls::CallDispatcher;
use madderbay::time::Timestamp;
use madderbay_concurrency::RequestStage;
use madderbay_settings::Settings;

/// Carries out what the decision module decides.
pub(super) struct ActionExecutor {
    /// The time of the event that is being handled.
    pub(super) now: Timestamp,
    /// The requests whose answer or run is open.
    pub(super) requests: InFlightRequests,
    /// The downstream connections and the answers that leave by them.
    pub(super) downstream: DownstreamAnswers,
    /// Knows the handlers' names as the engine has them.
    pub(super) validator: RequestValidator,
    /// The runs of requests with an idempotency key.
    pub(super) idempotent_runs: IdempotentRuns,
    /// The commands of runs, on their way to the engine.
    pub(super) engine_commands: EngineCommands,
    /// The upstream calls that are out.
    pub(super) calls: CallDispatcher,
    /// The operator's limits, which follow each request.
    pub(super) limits: RequestLimits,
    /// The choice among backends.
    pub(super) backends: BackendRouting,
    /// What the decision module is told after it has acted.
    pub(super) deferred_events: DeferredEvents,
    /// What is due and when, with the decision module's timer.
    pub(super) deadlines: Deadlines,
    /// What is counted since the start.
    pub(super) counters: Counters,
}

impl ActionExecutor {
    /// An executor without requests. Results in memory take up to `max_cached_bytes`.
    pub(super) fn new(
        now: Timestamp,
        settings: &Settings,
        max_cached_bytes: usize,
    ) -> ActionExecutor {
        ActionExecutor {
            now,
            requests: InFlightRequests::default(),
            downstream: DownstreamAnswers::default(),
            validator: RequestValidator::new(settings),
            idempotent_runs: IdempotentRuns::new(settings, max_cached_bytes),
            engine_commands: EngineCommands::default(),
            calls: CallDispatcher::default(),
            limits: RequestLimits::default(),
            backends: BackendRouting::new(settings),
            deferred_events: DeferredEvents::default(),
            deadlines: Deadlines::new(now),
            counters: Counters::new(&settings.handler_names),
        }
    }

    /// Notifies the limits of an event of a request that is in flight.
    pub(super) fn observe(
        &mut self,
        id: u64,
        notify: impl Fn(&mut dyn RequestObserver, Timestamp),
    ) {
        if self.requests.get(id).is_some() {
            let now = self.now;
            self.limits.observe(|observer| notify(observer, now));
        }
    }

    /// Notifies the limits that a request is new or has reached another stage.
    pub(super) fn set_stage(&mut self, id: u64, stage: RequestStage) {
        if let Some(request) = self.requests.get(id) {
            let now = self.now;
            let handler = request.handler;
            self.limits
                .observe(|observer| observer.set_stage(now, id, handler, stage));
        }
    }
}
