//! The executor of the decision module's actions.
//!
//! [`ActionExecutor`] owns the table of requests in flight and the components that their runs,
//! calls and answers use: the engine link, the calls, the connections, the runs with an idempotency
//! key, and the deadlines. The state of a component is private and changes through its methods
//! only. The executor carries out the actions of the decision module and handles the events that
//! the event loop reports. It makes no decisions and uses no socket and no clock.
//!
//! The steps are in separate files: [`actions`](super::actions) has the actions,
//! [`answers`](super::answers) how requests are answered, and [`dispatch`](super::dispatch) how
//! calls are sent to backends and the catalogue.

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

/// Carries out the actions of the decision module.
pub(super) struct ActionExecutor {
    /// The time of the event that is being handled.
    pub(super) now: Timestamp,
    /// The requests that are not answered or whose run has not ended.
    pub(super) requests: InFlightRequests,
    /// The downstream connections, and the answers that are sent on them.
    pub(super) downstream: DownstreamAnswers,
    /// Validates requests, and knows the names that the engine uses for handlers.
    pub(super) validator: RequestValidator,
    /// The runs of requests with an idempotency key.
    pub(super) idempotent_runs: IdempotentRuns,
    /// Sends the commands of runs to the engine.
    pub(super) engine_commands: EngineCommands,
    /// The upstream calls that are in flight.
    pub(super) calls: CallDispatcher,
    /// The operator's limits, which observe each request.
    pub(super) limits: RequestLimits,
    /// Selection of backends.
    pub(super) backends: BackendRouting,
    /// The events that the decision module is given after it has acted.
    pub(super) deferred_events: DeferredEvents,
    /// The deadlines, with the decision module's timer.
    pub(super) deadlines: Deadlines,
    /// The counters since the start.
    pub(super) counters: Counters,
}

impl ActionExecutor {
    /// Creates an executor without requests. Results in memory take at most `max_cached_bytes`.
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
            engine_commands: EngineCommands::new(settings.machine.cancellation),
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
