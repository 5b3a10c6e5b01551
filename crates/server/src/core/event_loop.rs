//! The core: owns the decisions, tells them what came and settles each moment. It knows no socket and no
//! clock: what came is told by calls with the time, what goes out is put into outboxes.

use crate::core::backend_selector::BackendSelector;
use crate::core::deadlines::Deadline;
use crate::core::deferred_events::DeferredEvent;
use crate::core::durability::DurabilityQueue;
use crate::core::in_flight::InFlightRequests;
use crate::core::quota_gate::{QuotaGate, QuotaGroup, QuotaSource};
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

/// Where nothing can be promised, keyed reqs are told to come back after that.
pub(super) const KEEP_AWAY: Duration = Duration::from_millis(1_000);
/// Time between two looks for catalogue connections that stand idle and table entries whose term is over:
/// much finer than either's span.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(1_000);

pub type SharedEventLoop = Rc<RefCell<EventLoop>>;

pub struct EventLoop {
    pub(super) decider: Option<Decider>,
    pub(super) settings: Settings,
    pub(super) seed: u64,
    pub(super) on_cores: Option<usize>,
    pub(super) gauges: Gauges,
    /// Descriptors that balancers' connections and calls may take together.
    pub(super) descriptors: usize,
    pub(super) in_flight: InFlightRequests,
}

impl EventLoop {
    /// `results`: the bytes that kept results may take.
    pub fn new(now: Timestamp, seed: u64, settings: Settings, results: usize) -> EventLoop {
        let in_flight = InFlightRequests::new(now, &settings, results);
        let on_cores = settings.meter("on_cores");
        let gauges = Gauges::default();
        EventLoop {
            decider: None,
            settings,
            seed,
            on_cores,
            gauges,
            descriptors: usize::MAX,
            in_flight,
        }
    }

    /// No more descriptors than that are taken by balancers' connections and calls together.
    pub fn limit_descriptors(&mut self, descriptors: usize) {
        self.descriptors = descriptors;
    }

    /// Sets pools up; without, nothing binds but the module's own limits.
    pub fn set_concurrency_limits(&mut self, now: Timestamp, plan: ConcurrencyConfig) {
        let profiles = crate::core::concurrency_limits::kinds(&self.settings);
        let limiter = ConcurrencyLimiter::new(now, self.seed, plan, &profiles);
        self.in_flight.limits.set_concurrency(limiter);
    }

    /// Sets budgets of the fleet up: what may be used of them is asked of `to`.
    pub fn set_quota_source(&mut self, to: Rc<dyn QuotaSource>, groups: Vec<QuotaGroup>) {
        let kinds = crate::core::concurrency_limits::kinds(&self.settings);
        let gate = QuotaGate::new(to, groups, &kinds, &self.settings.below);
        self.in_flight.limits.set_quota_gate(gate);
    }

    /// Sets backends up: calls of their handlers go where `to` says.
    pub fn set_backend_selector(&mut self, to: Rc<dyn BackendSelector>) {
        self.in_flight.backends.set_selector(to);
    }

    /// Makes results of requests with an idempotency key durable through `queue`.
    pub fn set_durability(&mut self, queue: DurabilityQueue) {
        self.in_flight.durability = Some(queue);
    }

    /// Requests whose answer or run is still open.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.requests.len()
    }

    /// What was counted since the start.
    pub fn counters(&self) -> &Counters {
        &self.in_flight.counters
    }

    /// The same, for what is counted outside the core.
    pub fn counters_mut(&mut self) -> &mut Counters {
        &mut self.in_flight.counters
    }

    /// The calls that are out.
    pub fn calls(&self) -> &CallDispatcher {
        &self.in_flight.calls
    }

    /// The calls that are out or wait to be sent, for the driver that makes them.
    pub fn calls_mut(&mut self) -> &mut CallDispatcher {
        &mut self.in_flight.calls
    }

    /// The link to the engine, for the driver that keeps it.
    pub fn engine_link_mut(&mut self) -> &mut EngineLink {
        &mut self.in_flight.engine_link
    }

    /// The load balancers' connections.
    pub fn connections_mut(&mut self) -> &mut Connections {
        &mut self.in_flight.connections
    }

    /// Notified when the core has work that a turn settles.
    pub fn work_pending(&self) -> Rc<Notify> {
        self.in_flight.changed.clone()
    }

    /// Notified when what the registry is told has changed.
    pub fn report_changed(&self) -> Rc<Notify> {
        self.in_flight.status.changed()
    }

    /// The handler of a method, by its index.
    pub fn handler(&self, method: &str) -> Option<usize> {
        self.in_flight.validator.handler(method)
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
        let in_flight = &mut self.in_flight;
        in_flight
            .validator
            .validate(now, handler, params, &in_flight.idempotency)
    }

    /// Lets the module decide; what that ends at once is told to it as well.
    pub(super) fn decide(
        &mut self,
        now: Timestamp,
        act: impl FnOnce(&mut Decider, &mut InFlightRequests),
    ) {
        self.consider(now, act);
        self.in_flight.changed.notify_one();
    }

    pub(super) fn consider(
        &mut self,
        now: Timestamp,
        act: impl FnOnce(&mut Decider, &mut InFlightRequests),
    ) {
        let Some(decider) = &mut self.decider else {
            return;
        };
        self.in_flight.now = now;
        act(decider, &mut self.in_flight);
        while let Some(event) = self.in_flight.deferred_events.pop() {
            match event {
                DeferredEvent::Ended { request, outcome } => {
                    decider.on_run_ended(now, request, outcome, Duration::ZERO);
                }
                DeferredEvent::CallNotMade(request) => decider.on_call_finished(
                    now,
                    request,
                    Outcome::Unreachable,
                    Duration::ZERO,
                    &mut self.in_flight,
                ),
                DeferredEvent::RunNotSent(request) => {
                    let retry_after = KEEP_AWAY.min(self.settings.callers.max_retry_after);
                    self.in_flight.never_ran(request, retry_after);
                }
            }
        }
    }

    /// When the next turn is due at the latest.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let in_flight = &self.in_flight;
        [in_flight.tick_timer.deadline(), in_flight.deadlines.next()]
            .into_iter()
            .flatten()
            .min()
    }

    /// One turn, after all that was ready has been taken in: the deadlines that have been reached, the decision
    /// module's tick, and its decisions.
    pub fn run_turn(&mut self, now: Timestamp) {
        self.in_flight.now = now;
        while let Some(deadline) = self.in_flight.deadlines.pop_due(now) {
            self.deadline_reached(now, deadline);
        }
        self.tick_if_due(now);
        self.update_limits(now);
        self.consider(now, |d, in_flight| d.settle(now, in_flight));
        if let Some(durability) = &mut self.in_flight.durability {
            durability.flush();
        }
    }

    fn deadline_reached(&mut self, now: Timestamp, deadline: Deadline) {
        match deadline {
            Deadline::CallTimeout(id) => self.patience_over(now, id),
            Deadline::Hedge(id) => self.in_flight.hedge(now, id),
            Deadline::ConnectionIdle(connection) => self.idle_deadline_reached(now, connection),
            Deadline::FirstRequest(connection) => {
                self.first_request_deadline_reached(now, connection);
            }
            // The disk is slower than the client's timeout: a result that is not durable can't be its answer.
            Deadline::DurableAnswer(id) => self.in_flight.answer_run(id, None),
            Deadline::Maintenance => self.maintain(now),
        }
    }

    fn idle_deadline_reached(&mut self, now: Timestamp, connection: u64) {
        let in_flight = &mut self.in_flight;
        if let Some(at) = in_flight.connections.idle_deadline_reached(now, connection) {
            let deadline = Deadline::ConnectionIdle(connection);
            in_flight.deadlines.insert(at, deadline);
        }
    }

    fn first_request_deadline_reached(&mut self, now: Timestamp, connection: u64) {
        let in_flight = &mut self.in_flight;
        let next_check = in_flight
            .connections
            .first_request_deadline_reached(now, connection);
        if let Some(at) = next_check {
            let deadline = Deadline::FirstRequest(connection);
            in_flight.deadlines.insert(at, deadline);
        }
    }

    /// Removes what has expired and closes what is idle or stalled.
    fn maintain(&mut self, now: Timestamp) {
        let in_flight = &mut self.in_flight;
        if let Some(durability) = &mut in_flight.durability {
            durability.book.expire(now);
        }
        in_flight.calls.tidy(now);
        in_flight.idempotency.expire(now);
        in_flight.connections.cut_stalled(now);
        in_flight
            .deadlines
            .insert(now + MAINTENANCE_INTERVAL, Deadline::Maintenance);
    }

    /// The decision module's tick, if its timer has reached the deadline.
    fn tick_if_due(&mut self, now: Timestamp) {
        let Some(deadline) = self.in_flight.tick_timer.take_due(now) else {
            return;
        };
        self.in_flight.counters.tick(now - deadline);
        let gauges = self.gauges;
        self.consider(now, |d, in_flight| d.on_tick(now, &gauges, in_flight));
        self.in_flight.engine_link.rang();
    }

    /// Hands the operator's limits to the decision module before it settles.
    fn update_limits(&mut self, now: Timestamp) {
        if let Some(decider) = &mut self.decider {
            self.in_flight.limits.update_decider(now, decider);
        }
    }

    pub fn drain(&mut self, now: Timestamp, left: Duration) {
        self.in_flight.status.begin_draining();
        self.in_flight.connections.drain();
        self.decide(now, |d, _| d.drain(now, left));
    }

    /// All connections end that owe nothing.
    pub fn close_connections(&mut self) {
        self.in_flight.connections.close_all();
    }

    /// Nothing is owed and nothing waits to be written.
    pub fn is_quiescent(&self) -> bool {
        self.in_flight.connections.is_quiescent()
    }

    pub fn has_no_connections(&self) -> bool {
        self.in_flight.connections.is_empty()
    }

    /// What the registry is told: whether this server takes work.
    pub fn is_ready(&self) -> bool {
        let status = &self.in_flight.status;
        !status.is_draining() && (status.is_healthy() || !self.settings.lists_follow_health)
    }

    /// All counters, one line each.
    pub fn counter_lines(&self) -> String {
        let h = &self.in_flight;
        let open = h.requests.values().filter(|r| !r.answered).count();
        let own = h.counters.lines(
            open,
            h.requests.len(),
            h.connections.len(),
            h.calls.out(),
            h.idempotency.len(),
        );
        own + &h.limits.counters()
            + &h.backends.counters()
            + &h.durability.as_ref().map_or(
                String::new(),
                crate::core::durability::DurabilityQueue::counters,
            )
    }
}
