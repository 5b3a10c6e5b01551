//! The core: owns the decisions, tells them what came and settles each moment. It knows no socket and no
//! clock: what came is told by calls with the time, what goes out is put into outboxes.

use crate::core::durability::DurabilityQueue;
use crate::core::in_flight::{Deadline, InFlightRequests};
use crate::core::quota_gate::{QuotaGate, QuotaGroup, QuotaSource};
use crate::downstream::connections::Connections;
use crate::downstream::request_validation::{InvalidRequest, ValidatedRequest};
use crate::support::json::JsonObject;
use crate::support::metrics::{Counters, LoadGauges};
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
const TIDY: Duration = Duration::from_millis(1_000);

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
        self.in_flight.concurrency = Some(ConcurrencyLimiter::new(
            now,
            self.seed,
            plan,
            &crate::core::concurrency_limits::kinds(&self.settings),
        ));
    }

    /// Sets budgets of the fleet up: what may be used of them is asked of `to`.
    pub fn set_quota_source(&mut self, to: Rc<dyn QuotaSource>, groups: Vec<QuotaGroup>) {
        let kinds = crate::core::concurrency_limits::kinds(&self.settings);
        self.in_flight.quota_gate = Some(QuotaGate::new(to, groups, &kinds, &self.settings.below));
    }

    /// Sets backends up: calls of their handlers go where `to` says.
    pub fn set_backend_selector(&mut self, to: Rc<dyn crate::core::dispatch::BackendSelector>) {
        self.in_flight.backend_selector = Some(to);
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
        self.in_flight.report.clone()
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
        params: &JsonObject<'a>,
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
        loop {
            if let Some((id, how)) = self.in_flight.over.pop_front() {
                decider.on_run_ended(now, id, how, Duration::ZERO);
            } else if let Some(id) = self.in_flight.unmade.pop_front() {
                decider.on_call_finished(
                    now,
                    id,
                    Outcome::Unreachable,
                    Duration::ZERO,
                    &mut self.in_flight,
                );
            } else if let Some(id) = self.in_flight.unrun.pop_front() {
                self.in_flight
                    .never_ran(id, KEEP_AWAY.min(self.settings.callers.max_retry_after));
            } else {
                return;
            }
        }
    }

    /// When the next turn is due at the latest.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let due = self.in_flight.due.first().map(|d| d.0);
        [self.in_flight.wake, due].into_iter().flatten().min()
    }

    /// One moment: all that was ready has been taken in; due times, the module's timer, its settling.
    pub fn run_turn(&mut self, now: Timestamp) {
        self.in_flight.now = now;
        while let Some(&(at, what)) = self.in_flight.due.first().filter(|d| d.0 <= now) {
            self.in_flight.due.remove(&(at, what));
            match what {
                Deadline::Call(id) => self.patience_over(now, id),
                Deadline::Hedge(id) => self.in_flight.hedge(now, id),
                Deadline::Idle(no) => {
                    let again = self.in_flight.connections.idle_deadline_reached(now, no);
                    self.in_flight
                        .due
                        .extend(again.map(|at| (at, Deadline::Idle(no))));
                }
                Deadline::First(no) => {
                    let again = self
                        .in_flight
                        .connections
                        .first_request_deadline_reached(now, no);
                    self.in_flight
                        .due
                        .extend(again.map(|at| (at, Deadline::First(no))));
                }
                // The disk is too slow for the caller: its answer can't be a result that may not last.
                Deadline::Settle(id) => self.in_flight.answer_run(id, None),
                Deadline::Tidy => {
                    if let Some(keep) = &mut self.in_flight.durability {
                        keep.book.expire(now);
                    }
                    self.in_flight.calls.close_idle(now);
                    self.in_flight.idempotency.expire(now);
                    self.in_flight.connections.cut_stalled(now);
                    self.in_flight.due.insert((now + TIDY, Deadline::Tidy));
                }
            }
        }
        if let Some(wake) = self.in_flight.wake.filter(|w| *w <= now) {
            self.in_flight.wake = None;
            self.in_flight.rang = wake;
            self.in_flight.counters.tick(now - wake);
            let gauges = self.gauges;
            self.consider(now, |d, in_flight| d.on_tick(now, &gauges, in_flight));
            self.in_flight.engine_link.on_tick();
        }
        self.ceilings(now);
        self.consider(now, |d, in_flight| d.settle(now, in_flight));
        if let Some(keep) = &mut self.in_flight.durability {
            keep.flush();
        }
    }

    /// What pools and budgets may have now is handed to the module before it settles.
    pub(super) fn ceilings(&mut self, now: Timestamp) {
        let Some(decider) = &mut self.decider else {
            return;
        };
        let (pools, lent) = (
            &mut self.in_flight.concurrency,
            &mut self.in_flight.quota_gate,
        );
        let mut changed = false;
        if let Some(lent) = lent {
            changed = lent.look(now);
            if changed {
                decider.set_upstream_quota(now, lent.share());
                pools
                    .iter_mut()
                    .for_each(|p| p.set_call_quota(lent.share()));
            }
            let parts = lent.allowances(now);
            parts
                .into_iter()
                .for_each(|(tenant, per_second)| decider.set_tenant_rate(tenant, per_second));
        }
        if !changed && !pools.as_ref().is_some_and(|p| p.is_stale(now)) {
            return;
        }
        let workers = decider.status().concurrency_limit;
        let mut all = pools
            .as_mut()
            .map_or(vec![], |p| p.ceilings(now, workers).to_vec());
        all.extend(lent.iter().flat_map(QuotaGate::ceilings));
        decider.set_ceilings(&all);
        let Some(pools) = pools else { return };
        let limit_changes = pools.take_limit_changes();
        for change in limit_changes.changes {
            log::info!("concurrency: {change}");
        }
        let dropped = limit_changes.dropped;
        if dropped > 0 {
            log::info!("concurrency: changes not logged, count={dropped}");
        }
    }

    pub fn drain(&mut self, now: Timestamp, left: Duration) {
        self.in_flight.leaving = true;
        self.in_flight.report.notify_one();
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
        !self.in_flight.leaving && (self.in_flight.good || !self.settings.lists_follow_health)
    }

    /// All counters, one line each.
    pub fn counter_lines(&self) -> String {
        let h = &self.in_flight;
        let open = h.requests.values().filter(|r| !r.answered).count();
        let own = h.counters.lines(&LoadGauges {
            open_requests: open,
            requests_in_flight: h.requests.len(),
            connections: h.connections.len(),
            calls_in_flight: h.calls.calls_in_flight(),
            keys: h.idempotency.len(),
        });
        let pools = h
            .concurrency
            .as_ref()
            .map_or(String::new(), crate::core::concurrency_limits::counters);
        let routes = h
            .backend_selector
            .as_ref()
            .map_or(String::new(), |l| l.counters());
        own + &pools
            + &routes
            + &h.durability.as_ref().map_or(
                String::new(),
                crate::core::durability::DurabilityQueue::counters,
            )
    }
}
