//! The core's event loop: owns the decision module, hands each event to it and settles each turn.
//!
//! Owns: the decision module, and the executor of its actions. Is given: each event by a method call with the
//! time, here and in `arrivals`, `stored_results` and `upstream_events`. What it sends is put into outboxes.
//! Knows no socket and no clock.

use super::backend_selector::BackendSelector;
use super::concurrency_limits;
use super::deadlines::Deadline;
use super::deferred_events::DeferredEvent;
use super::durability::DurabilityQueue;
use super::executor::ActionExecutor;
use super::quota_gate::{QuotaGate, QuotaGroup, QuotaSource};
use crate::downstream::connections::Connections;
use crate::downstream::request_validation::{InvalidRequest, ValidatedRequest};
use crate::support::json::Members;
use crate::support::metrics::Counters;
use crate::upstream::calls::CallDispatcher;
use crate::upstream::engine::EngineLink;
use madderbay::decide::Decider;
use madderbay::interface::{Gauges, Outcome};
use madderbay::time::{Duration, Timestamp};
use madderbay_concurrency::{ConcurrencyConfig, ConcurrencyLimiter};
use madderbay_settings::Settings;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Advertised Retry-After where connections or write-ahead records are short.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Interval between two removals of expired entries and idle connections: much finer than the life of either.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The event loop as its drivers share it, all on one thread.
pub type SharedEventLoop = Rc<RefCell<EventLoop>>;

/// The core, sans I/O.
pub struct EventLoop {
    /// Created when the engine is up; nothing is decided before.
    pub(super) decider: Option<Decider>,
    pub(super) settings: Settings,
    pub(super) seed: u64,
    /// The index of the gauge that gives the engine's run queue.
    pub(super) run_queue_gauge: Option<usize>,
    pub(super) gauges: Gauges,
    /// Descriptors that downstream connections and upstream calls may take together.
    pub(super) max_descriptors: usize,
    pub(super) executor: ActionExecutor,
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
        let run_queue_gauge = settings.meter("on_cores");
        EventLoop {
            decider: None,
            settings,
            seed,
            run_queue_gauge,
            gauges: Gauges::default(),
            max_descriptors: usize::MAX,
            executor,
        }
    }

    /// Limits the descriptors that downstream connections and upstream calls take together.
    pub fn limit_descriptors(&mut self, descriptors: usize) {
        self.max_descriptors = descriptors;
    }

    /// Sets concurrency limits by pool. Without, nothing binds but the decision module's own limits.
    pub fn set_concurrency_limits(&mut self, now: Timestamp, plan: ConcurrencyConfig) {
        let profiles = concurrency_limits::kinds(&self.settings);
        let limiter = ConcurrencyLimiter::new(now, self.seed, plan, &profiles);
        self.executor.limits.set_concurrency(limiter);
    }

    /// Sets the fleet's quotas; what may be used of them is asked of `source`.
    pub fn set_quota_source(&mut self, source: Rc<dyn QuotaSource>, groups: Vec<QuotaGroup>) {
        let profiles = concurrency_limits::kinds(&self.settings);
        let gate = QuotaGate::new(source, groups, &profiles, &self.settings.below);
        self.executor.limits.set_quota_gate(gate);
    }

    /// Sets backends: the calls of their handlers go where `selector` says.
    pub fn set_backend_selector(&mut self, selector: Rc<dyn BackendSelector>) {
        self.executor.backends.set_selector(selector);
    }

    /// Makes results of requests with an idempotency key durable through `queue`.
    pub fn set_durability(&mut self, queue: DurabilityQueue) {
        self.executor.durability = Some(queue);
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
        &mut self.executor.engine_link
    }

    /// The load balancers' connections.
    pub fn connections_mut(&mut self) -> &mut Connections {
        &mut self.executor.connections
    }

    /// Notified when the core has work that a turn settles.
    pub fn work_pending(&self) -> Rc<Notify> {
        self.executor.work_pending.clone()
    }

    /// Notified when what the registry is told has changed.
    pub fn report_changed(&self) -> Rc<Notify> {
        self.executor.status.changed()
    }

    /// Whether the registry is told that this server takes work.
    pub fn is_ready(&self) -> bool {
        let status = &self.executor.status;
        !status.is_draining() && (status.is_healthy() || !self.settings.lists_follow_health)
    }

    /// Whether no request is open and nothing waits to be written on any connection.
    pub fn is_quiescent(&self) -> bool {
        self.executor.connections.is_quiescent()
    }

    /// Whether no connection is open.
    pub fn has_no_connections(&self) -> bool {
        self.executor.connections.is_empty()
    }

    /// The index of the handler of a method.
    pub fn handler(&self, method: &str) -> Option<usize> {
        self.executor.validator.handler(method)
    }

    /// Checks the parameters of a request to `handler`.
    ///
    /// # Errors
    /// As [`RequestValidator::validate`](crate::downstream::request_validation::RequestValidator::validate).
    pub fn validate<'a>(
        &mut self,
        now: Timestamp,
        handler: usize,
        params: &Members<'a>,
    ) -> Result<ValidatedRequest<'a>, InvalidRequest> {
        let executor = &mut self.executor;
        executor
            .validator
            .validate(now, handler, params, &executor.idempotency)
    }

    /// All counters, one line each.
    pub fn counter_lines(&self) -> String {
        let executor = &self.executor;
        let mut lines = executor.counters.lines(
            executor.requests.unanswered_count(),
            executor.requests.len(),
            executor.connections.len(),
            executor.calls.out(),
            executor.idempotency.len(),
        );
        lines += &executor.limits.counters();
        lines += &executor.backends.counters();
        if let Some(durability) = &executor.durability {
            lines += &durability.counters();
        }
        lines
    }
}

/// Decisions.
impl EventLoop {
    /// Lets the decision module handle an event, and asks for a turn.
    pub(super) fn decide(
        &mut self,
        now: Timestamp,
        handle: impl FnOnce(&mut Decider, &mut ActionExecutor),
    ) {
        self.consider(now, handle);
        self.executor.work_pending.notify_one();
    }

    /// Lets the decision module handle an event, then those that its actions gave rise to. Nothing happens before
    /// the engine is up.
    fn consider(&mut self, now: Timestamp, handle: impl FnOnce(&mut Decider, &mut ActionExecutor)) {
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
                DeferredEvent::CallNotMade(request) => {
                    let outcome = Outcome::Unreachable;
                    decider.on_call_finished(now, request, outcome, Duration::ZERO, executor);
                }
                DeferredEvent::RunNotSent(request) => {
                    executor.reject_run_not_sent(request, retry_after);
                }
            }
        }
    }

    /// The Retry-After where connections or write-ahead records are short.
    pub(super) fn unavailable_retry_after(&self) -> Duration {
        UNAVAILABLE_RETRY_AFTER.min(self.settings.callers.max_retry_after)
    }
}

/// Turns and draining.
impl EventLoop {
    /// When the next turn is due at the latest.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let executor = &self.executor;
        [executor.tick_timer.deadline(), executor.deadlines.next()]
            .into_iter()
            .flatten()
            .min()
    }

    /// One turn, after all that was ready has been taken in: the deadlines that have been reached, the decision
    /// module's tick, and its decisions.
    pub fn run_turn(&mut self, now: Timestamp) {
        self.executor.now = now;
        while let Some(deadline) = self.executor.deadlines.pop_due(now) {
            self.deadline_reached(now, deadline);
        }
        self.tick_if_due(now);
        self.update_limits(now);
        self.consider(now, |d, executor| d.settle(now, executor));
        if let Some(durability) = &mut self.executor.durability {
            durability.flush();
        }
    }

    fn deadline_reached(&mut self, now: Timestamp, deadline: Deadline) {
        match deadline {
            Deadline::CallTimeout(id) => self.call_timed_out(now, id),
            Deadline::Hedge(id) => self.executor.hedge_deadline_reached(now, id),
            Deadline::ConnectionIdle(connection) => self.idle_deadline_reached(now, connection),
            Deadline::FirstRequest(connection) => {
                self.first_request_deadline_reached(now, connection);
            }
            // The disk is slower than the client's timeout: a result that is not durable can't be its answer.
            Deadline::DurableAnswer(id) => self.executor.answer_run(id, None),
            Deadline::Maintenance => self.maintain(now),
        }
    }

    fn idle_deadline_reached(&mut self, now: Timestamp, connection: u64) {
        let executor = &mut self.executor;
        if let Some(at) = executor.connections.idle_deadline_reached(now, connection) {
            let deadline = Deadline::ConnectionIdle(connection);
            executor.deadlines.insert(at, deadline);
        }
    }

    fn first_request_deadline_reached(&mut self, now: Timestamp, connection: u64) {
        let executor = &mut self.executor;
        let next_check = executor
            .connections
            .first_request_deadline_reached(now, connection);
        if let Some(at) = next_check {
            let deadline = Deadline::FirstRequest(connection);
            executor.deadlines.insert(at, deadline);
        }
    }

    /// Removes what has expired and closes what is idle or stalled.
    fn maintain(&mut self, now: Timestamp) {
        let executor = &mut self.executor;
        if let Some(durability) = &mut executor.durability {
            durability.book.expire(now);
        }
        executor.calls.tidy(now);
        executor.idempotency.expire(now);
        executor.connections.cut_stalled(now);
        executor
            .deadlines
            .insert(now + MAINTENANCE_INTERVAL, Deadline::Maintenance);
    }

    /// The decision module's tick, if its timer has reached the deadline.
    fn tick_if_due(&mut self, now: Timestamp) {
        let Some(deadline) = self.executor.tick_timer.take_due(now) else {
            return;
        };
        self.executor.counters.tick(now - deadline);
        let gauges = self.gauges;
        self.consider(now, |d, executor| d.on_tick(now, &gauges, executor));
        self.executor.engine_link.rang();
    }

    /// Hands the operator's limits to the decision module before it settles.
    fn update_limits(&mut self, now: Timestamp) {
        if let Some(decider) = &mut self.decider {
            self.executor.limits.update_decider(now, decider);
        }
    }

    /// Begins draining: health checks and the registry are told so, clients are notified that their connections
    /// are to end, and the decision module ends its work within `remaining`.
    pub fn drain(&mut self, now: Timestamp, remaining: Duration) {
        self.executor.status.begin_draining();
        self.executor.connections.drain();
        self.decide(now, |d, _| d.drain(now, remaining));
    }

    /// Ends every connection once its open requests are answered.
    pub fn close_connections(&mut self) {
        self.executor.connections.close_all();
    }
}
