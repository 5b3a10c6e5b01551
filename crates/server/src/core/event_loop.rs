//! The event loop of the core: passes each event to the decision module, and lets the module settle
//! once per turn.
//!
//! `EventLoop` owns the decision module and the executor of its actions. Each event is a method
//! call with the current time; these methods are in `arrivals`, `stored_results`, `upstream_events`
//! and `turns`. Outgoing bytes are written to outboxes. The event loop uses no socket and no clock.

use super::backend_selector::BackendSelector;
use super::concurrency_limits;
use super::deferred_events::DeferredEvent;
use super::durability::DurabilityQueue;
use super::executor::ActionExecutor;
use super::quota_gate::{QuotaGate, QuotaGroup, QuotaSource};
use crate::downstream::connections::Connections;
use crate::downstream::request_validation::{InvalidRequest, ValidatedRequest};
use crate::support::json::JsonObject;
use crate::support::metrics::{Counters, LoadGauges};
use crate::upstream::calls::CallDispatcher;
use crate::upstream::engine::{EngineLink, RUN_QUEUE_GAUGE};
use madderbay::decide::Decider;
use madderbay::interface::{Gauges, HandlerId, Outcome};
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::{ConcurrencyConfig, ConcurrencyLimiter};
use madderbay_settings::Settings;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Retry-After that is advertised when the limit on connections is exceeded or no write-ahead
/// record can be made.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// The event loop as it is shared by its drivers, which all run on one thread.
pub type SharedEventLoop = Rc<RefCell<EventLoop>>;

/// The core of the server, which does no I/O itself.
pub struct EventLoop {
    /// The decision module, which is created when the engine is up. Nothing is decided before.
    decider: Option<Decider>,
    /// The platform's settings.
    settings: Settings,
    /// Seed of the decision module and of the concurrency limiter.
    seed: u64,
    /// Index of the gauge that gives the length of the engine's run queue, if the settings have it.
    run_queue_gauge: Option<usize>,
    /// The latest gauges read from the engine.
    gauges: Gauges,
    /// Maximum number of file descriptors of downstream connections and upstream calls together.
    max_descriptors: usize,
    /// Carries out the actions of the decision module.
    pub(super) executor: ActionExecutor,
    /// Notified when an event needs a turn.
    work_pending: Rc<Notify>,
}

/// Set-up.
impl EventLoop {
    /// Creates an event loop without connections, before the engine is up. Results in memory take
    /// at most `max_cached_bytes`.
    pub fn new(
        now: Timestamp,
        seed: u64,
        settings: Settings,
        max_cached_bytes: usize,
    ) -> EventLoop {
        let executor = ActionExecutor::new(now, &settings, max_cached_bytes);
        let run_queue_gauge = settings.gauge_index(RUN_QUEUE_GAUGE);
        EventLoop {
            decider: None,
            settings,
            seed,
            run_queue_gauge,
            gauges: Gauges::default(),
            max_descriptors: usize::MAX,
            executor,
            work_pending: Rc::default(),
        }
    }

    /// Limits the number of file descriptors of downstream connections and upstream calls together.
    pub fn limit_descriptors(&mut self, descriptors: usize) {
        self.max_descriptors = descriptors;
    }

    /// Sets the concurrency limits of the pools. Without them, only the decision module's own
    /// limits apply.
    pub fn set_concurrency_limits(&mut self, now: Timestamp, plan: ConcurrencyConfig) {
        let calls = concurrency_limits::call_requirements(&self.settings);
        let limiter = ConcurrencyLimiter::new(now, self.seed, plan, &calls);
        self.executor.limits.set_concurrency(limiter);
    }

    /// Sets the fleet's quotas; `source` tells how much of them this server may use.
    pub fn set_quota_source(&mut self, source: Rc<dyn QuotaSource>, groups: Vec<QuotaGroup>) {
        let calls = concurrency_limits::call_requirements(&self.settings);
        let gate = QuotaGate::new(source, groups, &calls, &self.settings.upstream);
        self.executor.limits.set_quota_gate(gate);
    }

    /// Sets backends: `selector` selects them for the calls of their handlers.
    pub fn set_backend_selector(&mut self, selector: Rc<dyn BackendSelector>) {
        self.executor.backends.set_selector(selector);
    }

    /// Makes results of requests with an idempotency key durable through `queue`.
    pub fn set_durability(&mut self, queue: DurabilityQueue) {
        self.executor.idempotent_runs.set_durability(queue);
    }
}

/// State for drivers and operators.
impl EventLoop {
    /// Returns the number of requests that are not answered or whose run has not ended.
    pub fn in_flight_count(&self) -> usize {
        self.executor.requests.len()
    }

    /// Returns the number of requests that still need an answer.
    pub fn unanswered_count(&self) -> usize {
        self.executor.requests.unanswered_count()
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.executor.counters
    }

    /// Returns the counters, to count events outside the core.
    pub fn counters_mut(&mut self) -> &mut Counters {
        &mut self.executor.counters
    }

    /// Returns the upstream calls that are in flight.
    pub fn calls(&self) -> &CallDispatcher {
        &self.executor.calls
    }

    /// Returns the upstream calls that are in flight or wait to be sent, for the driver that makes
    /// them.
    pub fn calls_mut(&mut self) -> &mut CallDispatcher {
        &mut self.executor.calls
    }

    /// Returns the link to the engine, for the driver that maintains it.
    pub fn engine_link_mut(&mut self) -> &mut EngineLink {
        self.executor.engine_commands.link_mut()
    }

    /// Returns the connections of the load balancers.
    pub fn connections_mut(&mut self) -> &mut Connections {
        self.executor.downstream.connections_mut()
    }

    /// Requests a turn.
    pub(super) fn request_turn(&self) {
        self.work_pending.notify_one();
    }

    /// Returns the handle that is notified when the core has work for a turn.
    pub fn work_pending(&self) -> Rc<Notify> {
        self.work_pending.clone()
    }

    /// Returns the handle that is notified when the status that is reported to the registry has
    /// changed.
    pub fn report_changed(&self) -> Rc<Notify> {
        self.executor.downstream.status().changed()
    }

    /// Reports whether the registry is told that this server accepts requests.
    pub fn is_ready(&self) -> bool {
        let status = self.executor.downstream.status();
        !status.is_draining()
            && (status.is_healthy() || !self.settings.endpoint_lists_follow_health)
    }

    /// Reports whether no request is open and no bytes wait to be written on any connection.
    pub fn is_quiescent(&self) -> bool {
        self.executor.downstream.connections().is_quiescent()
    }

    /// Reports whether no connection is open.
    pub fn has_no_connections(&self) -> bool {
        self.executor.downstream.connections().is_empty()
    }

    /// Reports whether a request of this handler can be answered without its upstream call.
    pub(super) fn has_partial_answer(&self, handler: HandlerId) -> bool {
        self.settings.handlers[handler.index()].has_partial_answer()
    }

    /// Returns the number of file descriptors that downstream connections leave for upstream calls.
    pub(super) fn descriptors_for_calls(&self) -> usize {
        let downstream = self.executor.downstream.connections().len();
        self.max_descriptors.saturating_sub(downstream)
    }

    /// Returns the latest gauges read from the engine.
    pub(super) fn gauges(&self) -> Gauges {
        self.gauges
    }

    /// Stores gauges that were read from the engine. `values` are in the order of the settings.
    pub(super) fn record_gauges(&mut self, values: &[f64]) {
        let run_queue = self.run_queue_gauge.and_then(|index| values.get(index));
        self.gauges.run_queue = run_queue.copied();
    }

    /// Returns the handler of a method, if there is one.
    pub fn handler(&self, method: &str) -> Option<HandlerId> {
        self.executor.validator.handler(method)
    }

    /// Checks the parameters of a request to `handler`.
    ///
    /// # Errors
    /// The errors of
    /// [`RequestValidator::validate`](crate::downstream::request_validation::RequestValidator::validate).
    pub fn validate<'a>(
        &mut self,
        now: Timestamp,
        handler: HandlerId,
        params: &JsonObject<'a>,
    ) -> Result<ValidatedRequest<'a>, InvalidRequest> {
        let executor = &mut self.executor;
        let keys = executor.idempotent_runs.table();
        executor.validator.validate(now, handler, params, keys)
    }

    /// Returns all counters, one line each.
    pub fn counter_lines(&self) -> String {
        let executor = &self.executor;
        let requests_in_flight = executor.requests.len();
        let open_requests = self.unanswered_count();
        let mut lines = executor.counters.lines(&LoadGauges {
            open_requests,
            requests_in_flight,
            requests_answered: requests_in_flight - open_requests,
            connections: executor.downstream.connections().len(),
            calls_in_flight: executor.calls.calls_in_flight(),
            keys: executor.idempotent_runs.table().len(),
        });
        lines += &executor.limits.counters();
        lines += &executor.backends.counters();
        lines += &executor.idempotent_runs.counters();
        lines
    }
}

/// Decisions.
impl EventLoop {
    /// Reports whether the decision module has been created; no request runs before.
    pub(super) fn has_decider(&self) -> bool {
        self.decider.is_some()
    }

    /// Reports whether the decision module still tracks a request: it is queued, or its run has not
    /// ended.
    pub(super) fn is_tracked_by_decider(&self, id: u64) -> bool {
        self.decider
            .as_ref()
            .is_some_and(|decider| decider.contains(id))
    }

    /// Creates the decision module. `engine_is_new` is set if the engine was started together with
    /// this server, so that its caches are cold.
    ///
    /// The decision module starts now and not when the engine did, which may be an hour ago.
    /// Otherwise its timer would count as an hour late, and a stop that is requested before the
    /// first tick would never become due. Therefore an engine that started cold a while ago is
    /// treated as colder than it is.
    pub(super) fn start_decider(&mut self, now: Timestamp, engine_is_new: bool) {
        self.settings.machine.starts_cold |= engine_is_new;
        let mut decider = self.settings.decider(now, self.seed);
        self.executor.now = now;
        self.executor.deadlines.tick_timer().restart(now);
        decider.on_start(&mut self.executor);
        self.decider = Some(decider);
    }

    /// Passes the operator's limits to the decision module before it settles.
    pub(super) fn update_limits(&mut self, now: Timestamp) {
        if let Some(decider) = &mut self.decider {
            self.executor.limits.update_decider(now, decider);
        }
    }

    /// Lets the decision module handle an event, and requests a turn.
    pub(super) fn decide(
        &mut self,
        now: Timestamp,
        handle: impl FnOnce(&mut Decider, &mut ActionExecutor),
    ) {
        self.decide_within_turn(now, handle);
        self.request_turn();
    }

    /// Lets the decision module handle an event, then processes the deferred events that its
    /// actions have caused. Does nothing before the engine is up.
    pub(super) fn decide_within_turn(
        &mut self,
        now: Timestamp,
        handle: impl FnOnce(&mut Decider, &mut ActionExecutor),
    ) {
        let retry_after = self.unavailable_retry_after();
        let Some(decider) = &mut self.decider else {
            return;
        };
        let executor = &mut self.executor;
        executor.now = now;
        handle(decider, executor);
        while let Some(event) = executor.deferred_events.pop() {
            match event {
                DeferredEvent::Ended { request, outcome } => {
                    decider.on_run_ended(now, request, outcome, Duration::ZERO);
                }
                DeferredEvent::CallNotMade { request } => {
                    let outcome = Outcome::Unreachable;
                    decider.on_call_finished(now, request, outcome, Duration::ZERO, executor);
                }
                DeferredEvent::RunNotSent { request } => {
                    executor.reject_run_not_sent(request, retry_after);
                }
                DeferredEvent::RunAbandoned { request } => executor.run_abandoned(request),
            }
        }
    }

    /// Returns the Retry-After for requests that are rejected because the limit on connections is
    /// exceeded or no write-ahead record can be made.
    pub(super) fn unavailable_retry_after(&self) -> Duration {
        UNAVAILABLE_RETRY_AFTER.min(self.settings.downstream.max_retry_after)
    }
}

/// Draining.
impl EventLoop {
    /// Begins draining: health checks and the registry report it, clients are notified that their
    /// connections will end, and the decision module ends its work within `remaining`.
    pub fn drain(&mut self, now: Timestamp, remaining: Duration) {
        self.executor.downstream.begin_draining();
        self.decide(now, |decider, _| decider.drain(now, remaining));
    }

    /// Ends each connection once its open requests are answered.
    pub fn close_connections(&mut self) {
        self.executor.downstream.connections_mut().close_all();
    }
}
