//! The core's event loop: owns the decision module, hands each event to it and settles each turn.
//!
//! Owns: the decision module, and the executor of its actions. Is given: each event by a method call with the
//! time, in `arrivals`, `stored_results`, `upstream_events` and `turns`. What it sends is put into outboxes. Knows no
//! socket and no clock.

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

/// Advertised Retry-After where connections or write-ahead records are short.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// The event loop as its drivers share it, all on one thread.
pub type SharedEventLoop = Rc<RefCell<EventLoop>>;

/// The core, sans I/O.
pub struct EventLoop {
    /// Created when the engine is up; nothing is decided before.
    decider: Option<Decider>,
    /// The platform's settings.
    settings: Settings,
    /// Seeds the decision module and the concurrency limiter.
    seed: u64,
    /// The index of the gauge that gives the engine's run queue.
    run_queue_gauge: Option<usize>,
    /// The engine's gauges, as they were read last.
    gauges: Gauges,
    /// Descriptors that downstream connections and upstream calls may take together.
    max_descriptors: usize,
    /// Carries out what the decision module decides.
    pub(super) executor: ActionExecutor,
    /// Notified when an event has to be settled by a turn.
    work_pending: Rc<Notify>,
}

/// Set-up.
impl EventLoop {
    /// An event loop without connections, before the engine is up. Results in memory take up to
    /// `max_cached_bytes`.
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

    /// Limits the descriptors that downstream connections and upstream calls take together.
    pub fn limit_descriptors(&mut self, descriptors: usize) {
        self.max_descriptors = descriptors;
    }

    /// Sets concurrency limits by pool. Without, nothing binds but the decision module's own limits.
    pub fn set_concurrency_limits(&mut self, now: Timestamp, plan: ConcurrencyConfig) {
        let calls = concurrency_limits::call_requirements(&self.settings);
        let limiter = ConcurrencyLimiter::new(now, self.seed, plan, &calls);
        self.executor.limits.set_concurrency(limiter);
    }

    /// Sets the fleet's quotas; what may be used of them is asked of `source`.
    pub fn set_quota_source(&mut self, source: Rc<dyn QuotaSource>, groups: Vec<QuotaGroup>) {
        let calls = concurrency_limits::call_requirements(&self.settings);
        let gate = QuotaGate::new(source, groups, &calls, &self.settings.upstream);
        self.executor.limits.set_quota_gate(gate);
    }

    /// Sets backends: the calls of their handlers go where `selector` says.
    pub fn set_backend_selector(&mut self, selector: Rc<dyn BackendSelector>) {
        self.executor.backends.set_selector(selector);
    }

    /// Makes results of requests with an idempotency key durable through `queue`.
    pub fn set_durability(&mut self, queue: DurabilityQueue) {
        self.executor.idempotent_runs.set_durability(queue);
    }
}

/// State, for drivers and operators.
impl EventLoop {
    /// Requests whose answer or run is still open.
    pub fn in_flight_count(&self) -> usize {
        self.executor.requests.len()
    }

    /// What was counted since the start.
    pub fn counters(&self) -> &Counters {
        &self.executor.counters
    }

    /// The same, for what is counted outside the core.
    pub fn counters_mut(&mut self) -> &mut Counters {
        &mut self.executor.counters
    }

    /// The calls that are out.
    pub fn calls(&self) -> &CallDispatcher {
        &self.executor.calls
    }

    /// The calls that are out or wait to be sent, for the driver that makes them.
    pub fn calls_mut(&mut self) -> &mut CallDispatcher {
        &mut self.executor.calls
    }

    /// The link to the engine, for the driver that keeps it.
    pub fn engine_link_mut(&mut self) -> &mut EngineLink {
        self.executor.engine_commands.link_mut()
    }

    /// The load balancers' connections.
    pub fn connections_mut(&mut self) -> &mut Connections {
        self.executor.downstream.connections_mut()
    }

    /// Asks for a turn.
    pub(super) fn request_turn(&self) {
        self.work_pending.notify_one();
    }

    /// Notified when the core has work that a turn settles.
    pub fn work_pending(&self) -> Rc<Notify> {
        self.work_pending.clone()
    }

    /// Notified when what the registry is told has changed.
    pub fn report_changed(&self) -> Rc<Notify> {
        self.executor.downstream.status().changed()
    }

    /// Whether the registry is told that this server takes work.
    pub fn is_ready(&self) -> bool {
        let status = self.executor.downstream.status();
        !status.is_draining()
            && (status.is_healthy() || !self.settings.endpoint_lists_follow_health)
    }

    /// Whether no request is open and nothing waits to be written on any connection.
    pub fn is_quiescent(&self) -> bool {
        self.executor.downstream.connections().is_quiescent()
    }

    /// Whether no connection is open.
    pub fn has_no_connections(&self) -> bool {
        self.executor.downstream.connections().is_empty()
    }

    /// Whether a request of this handler can be answered without its call.
    pub(super) fn has_partial_answer(&self, handler: HandlerId) -> bool {
        self.settings.handlers[handler.index()].has_partial_answer()
    }

    /// Descriptors that the downstream connections leave for upstream calls.
    pub(super) fn descriptors_for_calls(&self) -> usize {
        let downstream = self.executor.downstream.connections().len();
        self.max_descriptors.saturating_sub(downstream)
    }

    /// The engine's gauges, as they were read last.
    pub(super) fn gauges(&self) -> Gauges {
        self.gauges
    }

    /// The engine's gauges were read, in the order of the settings.
    pub(super) fn record_gauges(&mut self, values: &[f64]) {
        let run_queue = self.run_queue_gauge.and_then(|index| values.get(index));
        self.gauges.run_queue = run_queue.copied();
    }

    /// The handler of a method.
    pub fn handler(&self, method: &str) -> Option<HandlerId> {
        self.executor.validator.handler(method)
    }

    /// Checks the parameters of a request to `handler`.
    ///
    /// # Errors
    /// As [`RequestValidator::validate`](crate::downstream::request_validation::RequestValidator::validate).
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

    /// All counters, one line each.
    pub fn counter_lines(&self) -> String {
        let executor = &self.executor;
        let requests_in_flight = executor.requests.len();
        let open_requests = executor.requests.unanswered_count();
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
    /// Whether there is a decision module: nothing runs before.
    pub(super) fn has_decider(&self) -> bool {
        self.decider.is_some()
    }

    /// Whether the decision module still counts a request: queued, or its run has not ended.
    pub(super) fn is_tracked_by_decider(&self, id: u64) -> bool {
        self.decider
            .as_ref()
            .is_some_and(|decider| decider.contains(id))
    }

    /// Creates the decision module. `engine_is_new`: the engine came up with this server, with cold caches.
    ///
    /// The module begins now and not when the engine did, which may be an hour ago: its timer would count as that
    /// late, and a stop requested before the first tick would never come due. An engine that came up cold a while
    /// ago so counts as colder than it is.
    pub(super) fn start_decider(&mut self, now: Timestamp, engine_is_new: bool) {
        self.settings.machine.starts_cold |= engine_is_new;
        let mut decider = self.settings.decider(now, self.seed);
        self.executor.now = now;
        self.executor.deadlines.tick_timer().restart(now);
        decider.on_start(&mut self.executor);
        self.decider = Some(decider);
    }

    /// Hands the operator's limits to the decision module before it settles.
    pub(super) fn update_limits(&mut self, now: Timestamp) {
        if let Some(decider) = &mut self.decider {
            self.executor.limits.update_decider(now, decider);
        }
    }

    /// Lets the decision module handle an event, and asks for a turn.
    pub(super) fn decide(
        &mut self,
        now: Timestamp,
        handle: impl FnOnce(&mut Decider, &mut ActionExecutor),
    ) {
        self.decide_within_turn(now, handle);
        self.request_turn();
    }

    /// Lets the decision module handle an event, then those that its actions gave rise to. Nothing happens before
    /// the engine is up.
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

    /// The Retry-After where connections or write-ahead records are short.
    pub(super) fn unavailable_retry_after(&self) -> Duration {
        UNAVAILABLE_RETRY_AFTER.min(self.settings.downstream.max_retry_after)
    }
}

/// Draining.
impl EventLoop {
    /// Begins draining: health checks and the registry are told so, clients are notified that their connections
    /// are to end, and the decision module ends its work within `remaining`.
    pub fn drain(&mut self, now: Timestamp, remaining: Duration) {
        self.executor.downstream.begin_draining();
        self.decide(now, |decider, _| decider.drain(now, remaining));
    }

    /// Ends every connection once its open requests are answered.
    pub fn close_connections(&mut self) {
        self.executor.downstream.connections_mut().close_all();
    }
}
